//! Tests of the φ accrual failure detector.

use super::*;
use proptest::prelude::*;

fn regular(interval: f64) -> HeartbeatHistory {
    let mut history = HeartbeatHistory::new(interval);
    (0..50).for_each(|i| history.record(f64::from(i) * interval));
    history
}

#[test]
fn phi_depends_on_the_peers_own_history() {
    let frequent = regular(0.3);
    let last = frequent.last_s().unwrap();
    assert!(frequent.phi(last + 0.5, 0.0) < 2.0, "a lost heartbeat");
    assert!(frequent.phi(last + 1.5, 0.0) > 8.0);
    // For a peer with irregular heartbeats φ rises more slowly.
    let mut irregular = HeartbeatHistory::new(0.3);
    let mut at = 0.0;
    for index in 0..100 {
        at += if index % 5 == 0 { 1.6 } else { 0.3 };
        irregular.record(at);
    }
    assert!(irregular.phi(at + 1.5, 0.0) < 4.0);
}

#[test]
fn phi_stays_low_for_a_lagging_observer() {
    let peer = regular(0.3);
    let last = peer.last_s().unwrap();
    assert!(peer.phi(last + 2.0, 2.0) < 1.0);
    assert_eq!(
        HeartbeatHistory::new(0.3).phi(100.0, 0.0),
        0.0,
        "no heartbeat was recorded"
    );
}

proptest! {
    /// For any history φ is finite, grows with the time since the last heartbeat, and does not
    /// grow with the observer's own lag.
    #[test]
    fn phi_grows_with_silence(gaps in prop::collection::vec(0.001f64..20.0, 0..200), first_s in 0.0f64..30.0, second_s in 0.0f64..30.0, lag_s in 0.0f64..5.0) {
        let mut history = HeartbeatHistory::new(0.3);
        let mut at = 0.0;
        for gap in gaps {
            at += gap;
            history.record(at);
        }
        let (short, long) = (first_s.min(second_s), first_s.max(second_s));
        let phi = |silence_s: f64, lag_s: f64| history.phi(at + silence_s, lag_s);
        prop_assert!(phi(short, 0.0).is_finite());
        prop_assert!(phi(short, 0.0) <= phi(long, 0.0) + 1e-9);
        // φ up to 0.31 means a probability of about one half or more: no suspicion.
        prop_assert!(phi(long, lag_s) <= phi(long, 0.0).max(0.31));
    }
}
