//! Restarts of controllers, after snapshots and after a crash of all controllers.

use rushwalk_protocol::jobs::StatusPhase;
use rushwalk_simulator::{ClusterConfig, SimulatedCluster, inspect};
use std::time::Duration;
use tokio::task::JoinHandle;

/// After a snapshot the keys of the log are reused. Controllers that start afterwards must still
/// know the content of all earlier entries, and running tasks must continue.
#[tokio::test(start_paused = true)]
async fn a_restart_after_a_snapshot_loses_no_job() {
    // With few writes per second, two snapshots are due after few log entries.
    let config = ClusterConfig {
        write_rps: 10.0,
        ..ClusterConfig::default()
    };
    let mut cluster = SimulatedCluster::with_config(config, 9);
    let service = cluster.submit(1, "standing", 4, 1.0, 0.0).await;
    let mut jobs = Vec::new();
    let mut number = 10;
    let mut snapshots = 0;
    while snapshots < 2 {
        number += 1;
        assert!(number < 400, "fewer than two snapshots were written");
        jobs.push(cluster.submit(number, "sweep", 2, 1.0, 8.0).await);
        cluster.run_for(2).await;
        let process = cluster.processes[0].as_ref().unwrap();
        let generation = inspect::snapshot_generation(&process.controller);
        snapshots = snapshots.max(generation);
        assert_eq!(cluster.platform.has_key("w/base"), generation > 0);
    }
    let started = cluster.platform.checker().started;
    let cancelled = cluster.submit(5, "standing", 1, 1.0, 0.0).await;
    cluster.cancel(&cancelled).await;
    cluster.crash_all();
    cluster.run_for(4).await;
    cluster.start_all();
    cluster.wait_until_done(&jobs, 200).await;
    assert_eq!(cluster.job_status(&service).await.running, 4);
    assert_eq!(
        cluster.job_status(&cancelled).await.phase,
        StatusPhase::Cancelled
    );
    let restarted = cluster.platform.checker().started - started;
    assert!(restarted <= 12, "{restarted} tasks started after the crash");
    cluster.assert_invariants();
}

/// A restarted controller can only reject workers until the shards that its previous process
/// owned are assigned again, so its port for users and workers stays closed until then.
#[tokio::test(start_paused = true)]
async fn after_a_crash_of_all_controllers_ports_open_when_shards_are_assigned() {
    let mut cluster = SimulatedCluster::new(11);
    cluster.submit(1, "standing", 6, 1.0, 0.0).await;
    cluster.run_for(20).await;
    cluster.crash_all();
    cluster.run_for(4).await;
    cluster.start_all();
    for process in cluster.processes.iter().flatten() {
        let ready = tokio::time::timeout(
            Duration::from_secs(8),
            process.controller.replica.wait_until_ready(),
        );
        ready.await.unwrap();
        let controller = &process.controller;
        assert!(inspect::is_registered_without_earlier_leases(controller));
    }
    cluster.assert_invariants();
}

/// A process that campaigned before it was registered as a member assigned all shards to other
/// controllers when it became the leader. Its campaign must have no effect.
#[tokio::test(start_paused = true)]
async fn only_a_registered_member_is_elected() {
    let mut cluster = SimulatedCluster::new(12);
    cluster.crash_all();
    cluster.run_for(10).await;
    // Without its background tasks, the new process doesn't register as a member.
    cluster.start(0);
    let process = cluster.processes[0].as_ref().unwrap();
    process.loops.iter().for_each(JoinHandle::abort);
    inspect::campaign(&process.controller).await;
    assert!(!cluster.platform.has_key("w/leader"));
}
