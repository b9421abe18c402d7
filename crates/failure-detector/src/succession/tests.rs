//! Tests of the order of succession.

use super::*;

const TIMING: DetectorTiming = DetectorTiming {
    heartbeat_s: 0.3,
    round_s: 0.9,
};

fn candidate(name: &str) -> LeaderCandidate<'_> {
    LeaderCandidate {
        name,
        trusted: true,
        eligible: true,
        mean_lag_s: 0.0,
        busy_share: 0.1,
        staleness_s: 0.1,
    }
}

#[test]
fn observers_with_the_same_observations_agree_on_the_ranks() {
    let mut all: Vec<_> = ["a", "b", "c", "d"].map(candidate).into();
    all[0].eligible = false;
    all[1].mean_lag_s = 1.0;
    all[2].staleness_s = 9.0;
    let ranks = all.iter().map(|me| {
        let others: Vec<_> = all.iter().filter(|c| *c != me).cloned().collect();
        election_rank(me, &others, TIMING)
    });
    assert_eq!(ranks.collect::<Vec<_>>(), [3, 1, 2, 0]);
}

#[test]
fn a_slow_leader_steps_down_only_for_a_better_candidate() {
    let mut tracker = SlownessTracker::default();
    assert!(
        !tracker.observe(0.0, 0.4, TIMING, 1.0),
        "a single long iteration of the event loop"
    );
    assert!(!tracker.observe(0.5, 0.1, TIMING, 1.0));
    assert!(!tracker.observe(0.6, 0.8, TIMING, 1.0));
    assert!(tracker.observe(1.6, 0.7, TIMING, 1.0));
    let mut others: Vec<_> = ["b", "c"].map(candidate).into();
    assert_eq!(preferred_successor(&others, TIMING), Some("b"));
    others[0].trusted = false;
    assert_eq!(preferred_successor(&others, TIMING), Some("c"));
    // If all lag, as after an outage of all controllers, there is no better candidate.
    others.iter_mut().for_each(|c| c.mean_lag_s = 0.1);
    assert_eq!(preferred_successor(&others, TIMING), None);
    // If all are on time but busy for half of the time, there is no better candidate either.
    others
        .iter_mut()
        .for_each(|c| (c.mean_lag_s, c.busy_share) = (0.0, 0.5));
    assert_eq!(preferred_successor(&others, TIMING), None);
}
