//! Tests of the detection of partitions between owners and workers.

use super::*;

fn receives_no_heartbeats(
    machines: usize,
    overdue: usize,
    contact_age_s: f64,
    heartbeat_s: f64,
) -> bool {
    let reception = ShardReception {
        machines,
        overdue,
        contact_age_s,
    };
    reception.owner_receives_no_heartbeats(heartbeat_s)
}

#[test]
fn a_gap_between_simultaneous_heartbeats_is_not_inbound_loss() {
    let heartbeat = 8.0;
    // All workers send at 0.5 s. At 9 s none is overdue, though nothing arrived since.
    let due: Vec<f64> = (0..20)
        .map(|_| next_heartbeat_due_s(Some(0.5), 0.0, heartbeat))
        .collect();
    let overdue = |now: f64| due.iter().filter(|at| **at < now).count();
    assert!(!receives_no_heartbeats(20, overdue(9.0), 8.5, heartbeat));
    assert!(receives_no_heartbeats(20, overdue(11.0), 10.5, heartbeat));
    // Many workers are overdue, but heartbeats of others still arrive.
    assert!(!receives_no_heartbeats(200, 60, 0.1, heartbeat));
    assert!(receives_no_heartbeats(200, 12, 1.5, heartbeat));
    // Workers get more time to find a new owner.
    assert_eq!(next_heartbeat_due_s(Some(3.0), 100.0, heartbeat), 114.0);
    assert!(!receives_no_heartbeats(0, 0, 100.0, heartbeat));
    assert_eq!([1, 4, 30, 256].map(evidence_threshold), [1, 3, 3, 16]);
}

#[test]
fn a_worker_counts_once_and_not_after_its_shard_has_a_new_lease() {
    let mut misrouted = MisroutedWorkers::default();
    misrouted.record(1.0, "east", 7, "i-1");
    misrouted.record(2.0, "east", 7, "i-1");
    misrouted.record(2.0, "east", 7, "i-2");
    let count = |workers| MisroutedCount {
        shard: "east".to_string(),
        workers,
    };
    assert_eq!(misrouted.counts(3.0, 8.0), [count(2)]);
    misrouted.record(4.0, "east", 9, "i-1");
    assert_eq!(misrouted.counts(4.0, 8.0), [count(1)]);
    assert!(misrouted.counts(13.0, 8.0).is_empty());
}
