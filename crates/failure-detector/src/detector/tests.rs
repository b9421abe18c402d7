//! Tests of the failure detector.

use super::*;
use crate::damping::MembershipTerm;
use rushwalk_protocol::peers::{PeerHeartbeat, PeerObservation};

const LOCAL: LocalHealth = LocalHealth {
    recent_lag_s: 0.0,
    mean_lag_s: 0.002,
    busy_share: 0.1,
    staleness_s: 0.1,
    since_leadership_moved_s: f64::INFINITY,
    revision: 100,
};

fn new_detector(peers: &[&str]) -> FailureDetector {
    let config = DetectorConfig {
        heartbeat_s: 0.3,
        round_s: 0.9,
        member_lease_s: 5.0,
        worker_lease_s: 36.0,
        phi_threshold: 8.0,
        refusal_threshold: 2,
    };
    let mut detector = FailureDetector::new(config, peers.iter().copied(), 0.0);
    for (index, peer) in peers.iter().enumerate() {
        let incarnation = index as u64 + 1;
        detector.record_membership(
            0.0,
            peer,
            Some(MembershipTerm {
                incarnation,
                since: 0,
            }),
        );
    }
    detector
}

fn heartbeat(member: &str, incarnation: u64, observations: &[PeerObservation]) -> PeerHeartbeat {
    PeerHeartbeat {
        member: member.into(),
        incarnation,
        revision: 100,
        observations: observations.to_vec(),
        ..PeerHeartbeat::default()
    }
}

/// Another controller's observation of `a`.
fn observation_of_a(contact_age_ms: u64, refused: bool) -> PeerObservation {
    PeerObservation {
        member: "a".into(),
        incarnation: 1,
        contact_age_ms: Some(contact_age_ms),
        refused,
    }
}

/// The health of `a` after it has refused heartbeats from 10 s on. Meanwhile `b` responds and
/// reports its observation of `a`.
fn health_of_refusing(
    contact_age_ms: u64,
    refuses: bool,
    local: LocalHealth,
    wrote: bool,
) -> PeerHealth {
    let mut detector = new_detector(&["a", "b"]);
    detector.record_response(9.9, heartbeat("a", 1, &[]));
    for step in 0..10u32 {
        let now = 10.0 + 0.3 * f64::from(step);
        detector.record_probe_failure("a", ProbeFailure::Refused);
        detector.record_response(
            now,
            heartbeat("b", 2, &[observation_of_a(contact_age_ms, refuses)]),
        );
        if wrote {
            detector.record_write(now, "a");
        }
        detector.evaluate(now, local);
    }
    detector.health("a")
}

#[test]
fn a_refusing_peer_fails_if_a_witness_agrees_and_nothing_shows_that_it_still_runs() {
    assert_eq!(
        health_of_refusing(9000, true, LOCAL, false),
        PeerHealth::Failed
    );
    // The witness has had contact with the peer since the suspicion began.
    assert_eq!(
        health_of_refusing(10, false, LOCAL, false),
        PeerHealth::Suspected
    );
    // The peer writes to the log, so it still runs, behind a packet filter or without free sockets.
    assert_eq!(
        health_of_refusing(9000, true, LOCAL, true),
        PeerHealth::Suspected
    );
    // The observer itself is cut off from the store, or lags.
    let cut_off = LocalHealth {
        staleness_s: 30.0,
        ..LOCAL
    };
    assert_eq!(
        health_of_refusing(9000, true, cut_off, false),
        PeerHealth::Suspected
    );
    let lagging = LocalHealth {
        recent_lag_s: 2.0,
        ..LOCAL
    };
    assert_eq!(
        health_of_refusing(9000, true, lagging, false),
        PeerHealth::Suspected
    );
}

#[test]
fn refusals_after_a_time_out_or_without_witnesses_are_not_conclusive() {
    let mut detector = new_detector(&["a", "b"]);
    detector.record_probe_failure("a", ProbeFailure::TimedOut);
    for step in 0..10u32 {
        let now = 10.0 + 0.3 * f64::from(step);
        detector.record_probe_failure("a", ProbeFailure::Refused);
        detector.record_response(now, heartbeat("b", 2, &[observation_of_a(9000, true)]));
        detector.evaluate(now, LOCAL);
    }
    assert_eq!(
        detector.health("a"),
        PeerHealth::Healthy,
        "refusals after a time-out do not count"
    );
    for step in 0..100u32 {
        let now = 20.0 + 0.3 * f64::from(step);
        detector.record_probe_failure("b", ProbeFailure::Refused);
        detector.evaluate(now, LOCAL);
    }
    assert_ne!(
        detector.health("b"),
        PeerHealth::Failed,
        "there are no witnesses"
    );
    assert!(
        !detector.is_suspected_by_majority("b"),
        "a suspicion without witnesses must not stop assignments"
    );
}

#[test]
fn a_response_ends_suspicion_but_not_failure_and_a_delayed_heartbeat_ends_neither() {
    let mut detector = new_detector(&["a", "b"]);
    detector.record_response(9.9, heartbeat("a", 1, &[]));
    let refuse_heartbeats = |detector: &mut FailureDetector, from: f64, steps: u32| {
        for step in 0..steps {
            let now = from + 0.3 * f64::from(step);
            detector.record_probe_failure("a", ProbeFailure::Refused);
            detector.record_response(now, heartbeat("b", 2, &[observation_of_a(9000, true)]));
            detector.evaluate(now, LOCAL);
        }
    };
    refuse_heartbeats(&mut detector, 10.0, 2);
    assert_eq!(detector.health("a"), PeerHealth::Suspected);
    // This heartbeat was sent before the suspicion began and delayed by the network.
    detector.record_heartbeat(
        10.5,
        PeerHeartbeat {
            revision: 50,
            ..heartbeat("a", 1, &[])
        },
    );
    detector.evaluate(10.5, LOCAL);
    assert_eq!(detector.health("a"), PeerHealth::Suspected);
    detector.record_response(10.6, heartbeat("a", 1, &[]));
    detector.evaluate(10.6, LOCAL);
    assert_eq!(detector.health("a"), PeerHealth::Healthy);
    refuse_heartbeats(&mut detector, 11.0, 6);
    assert!(detector.is_failed("a", 1));
    detector.record_response(13.0, heartbeat("a", 1, &[]));
    detector.evaluate(13.0, LOCAL);
    assert_eq!(
        detector.health("a"),
        PeerHealth::Failed,
        "a single response"
    );
    detector.record_response(18.5, heartbeat("a", 1, &[]));
    detector.evaluate(18.5, LOCAL);
    assert_eq!(
        detector.health("a"),
        PeerHealth::Healthy,
        "it has responded for the length of a member lease"
    );
    // A new process of the same member has not failed.
    refuse_heartbeats(&mut detector, 30.0, 6);
    detector.record_membership(
        33.0,
        "a",
        Some(MembershipTerm {
            incarnation: 7,
            since: 9,
        }),
    );
    assert!(!detector.is_failed("a", 7) && detector.is_failed("a", 1));
}

/// Guards against leadership that circulates: two restarted controllers took it from each other
/// six times in 0.2 s.
#[test]
fn a_stalled_leader_fails_once_per_lease_and_only_for_an_observer_with_headroom() {
    let health_of_stalled = |local: LocalHealth| {
        let mut detector = new_detector(&["a", "b"]);
        for step in 0..30u32 {
            let now = 10.0 + 0.3 * f64::from(step);
            let slow = PeerHeartbeat {
                lag_ms: 300,
                last_round_ms: Some(5000),
                ..heartbeat("a", 1, &[])
            };
            detector.record_response(now, slow);
            detector.evaluate(now, local);
        }
        detector.health("a")
    };
    assert_eq!(health_of_stalled(LOCAL), PeerHealth::Failed);
    assert_eq!(
        health_of_stalled(LocalHealth {
            since_leadership_moved_s: 9.0,
            ..LOCAL
        }),
        PeerHealth::Suspected
    );
    assert_eq!(
        health_of_stalled(LocalHealth {
            busy_share: 0.6,
            ..LOCAL
        }),
        PeerHealth::Healthy
    );
    assert_eq!(
        health_of_stalled(LocalHealth {
            mean_lag_s: 0.2,
            ..LOCAL
        }),
        PeerHealth::Healthy
    );
}

/// The administration API has had these JSON names and values since its first version; they must
/// not change.
#[test]
fn the_status_of_a_peer_keeps_its_json_form() {
    let mut detector = new_detector(&["a"]);
    detector.record_response(9.9, heartbeat("a", 1, &[]));
    detector.record_write(9.0, "a");
    detector.record_probe_failure("a", ProbeFailure::Refused);
    detector.record_probe_failure("a", ProbeFailure::Refused);
    detector.evaluate(10.0, LOCAL);
    assert_eq!(
        serde_json::to_string(&detector.statuses(10.0, LOCAL)).unwrap(),
        r#"[{"member":"a","standing":"suspect","why":"refused","since_s":0.0,"phi":0.0,"heard_s":0.1,"refused":2,"wrote_s":1.0,"late_ms":0,"departures":0,"fit":true}]"#
    );
}
