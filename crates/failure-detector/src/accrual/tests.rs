//! Tests of the accrual of suspicion.

use super::*;
use proptest::prelude::*;

fn regular(interval: f64) -> HeartbeatHistory {
    let mut history = HeartbeatHistory::new(interval);
    (0..50).for_each(|i| history.record(f64::from(i) * interval));
    history
}

#[test]
fn phi_depends_on_the_peers_own_history() {
    let quick = regular(0.3);
    let last = quick.last_s().unwrap();
    assert!(quick.phi(last + 0.5, 0.0) < 2.0, "a lost heartbeat");
    assert!(quick.phi(last + 1.5, 0.0) > 8.0);
    // One that was always irregular is given more time.
    let mut irregular = HeartbeatHistory::new(0.3);
    let mut at = 0.0;
    for i in 0..100 {
        at += if i % 5 == 0 { 1.6 } else { 0.3 };
        irregular.record(at);
    }
    assert!(irregular.phi(at + 1.5, 0.0) < 4.0);
}

#[test]
fn a_lagging_observer_suspects_nobody() {
    let peer = regular(0.3);
    let last = peer.last_s().unwrap();
    assert!(peer.phi(last + 2.0, 2.0) < 1.0);
    assert_eq!(
        HeartbeatHistory::new(0.3).phi(100.0, 0.0),
        0.0,
        "never heard from"
    );
}

proptest! {
    /// Whatever came before: φ is a number, grows with the time since the last
    /// heartbeat, and shrinks with the observer's own lag.
    #[test]
    fn phi_accrues(gaps in prop::collection::vec(0.001f64..20.0, 0..200), a in 0.0f64..30.0, b in 0.0f64..30.0, late in 0.0f64..5.0) {
        let mut history = HeartbeatHistory::new(0.3);
        let mut at = 0.0;
        for gap in gaps {
            at += gap;
            history.record(at);
        }
        let (short, long) = (a.min(b), a.max(b));
        let phi = |silent: f64, late: f64| history.phi(at + silent, late);
        prop_assert!(phi(short, 0.0).is_finite());
        prop_assert!(phi(short, 0.0) <= phi(long, 0.0) + 1e-9);
        // Below a probability of one half there is no suspicion either way.
        prop_assert!(phi(long, late) <= phi(long, 0.0).max(0.31));
    }
}
