//! The combinations of two faults that `docs/FAULT_COMBINATIONS.md` lists, tested with complete
//! controllers in virtual time. The comment of a test describes the failure that it guards
//! against.

mod common;

use common::small_cluster;

use rushwalk_protocol::jobs::StatusPhase;
use rushwalk_simulator::cluster::request;
use rushwalk_simulator::{SimulatedCluster, inspect};
use rushwalk_testkit::{Fault, Request};
use std::time::Duration;

/// Limits the number of machines in each zone.
fn limit_zones(cluster: &SimulatedCluster, machines: usize) {
    for zone in ["east", "west", "north"] {
        cluster.platform.limit_zone(zone, machines);
    }
}

/// The store refuses one controller, the leader or another; with `isolated` that controller
/// also loses its peers. Another controller confirms cancellations, then the store refuses all
/// controllers for `outage_s` seconds. All of this happens twice. Each time the cancelled tasks
/// must end within 65 s (shard lease 20 s, worker lease 40 s). Returns the longest time from a
/// confirmed cancellation to the end of the job's last task.
async fn cancel_before_outage(is_leader: bool, isolated: bool, outage_s: u64) -> Duration {
    let mut cluster = small_cluster(20 + outage_s, 50.0).await;
    let mut number = 0;
    for _ in 0..2 {
        let mut jobs = Vec::new();
        for (shape, tasks, gpus) in [("standing", 6, 1.0), ("sweep", 6, 1.0), ("gang", 2, 4.0)] {
            number += 1;
            jobs.push(cluster.submit(number, shape, tasks, gpus, 900.0).await);
        }
        cluster.run_for(20).await;
        let leader = cluster.leader();
        let affected = if is_leader { leader } else { (leader + 1) % 3 };
        cluster.platform.inject(Fault::StoreUnreachable(affected));
        if isolated {
            cluster.platform.inject(Fault::PeersUnreachable(affected));
        }
        cluster.run_for(1).await;
        let other = (affected + 1) % 3;
        for id in &jobs {
            let response = request(&cluster.platform, other, Request::Cancel, id, "").await;
            let response = response.unwrap();
            assert_eq!(
                (response.status, response.phase()),
                (200, Some(StatusPhase::Cancelled))
            );
        }
        cluster.platform.inject(Fault::StoreOutage);
        cluster.run_for(13).await;
        cluster.platform.clear(Fault::StoreUnreachable(affected));
        cluster.platform.clear(Fault::PeersUnreachable(affected));
        cluster.run_for(outage_s.saturating_sub(13)).await;
        cluster.platform.clear(Fault::StoreOutage);
        cluster.run_for(20).await;
    }
    cluster.run_for(70).await;
    assert_eq!(cluster.platform.checker().running_tasks(), 0);
    cluster.assert_invariants();
    cluster.platform.checker().longest_cancellation
}

#[tokio::test(start_paused = true)]
async fn cancellations_meet_their_deadline_when_one_controller_loses_the_store_before_an_outage() {
    let mut longest = Duration::ZERO;
    for outage_s in [13, 30, 62, 80] {
        for (is_leader, isolated) in [(true, false), (true, true), (false, false)] {
            longest = longest.max(cancel_before_outage(is_leader, isolated, outage_s).await);
        }
    }
    // The bound: 20 s of shard lease after the owner's last read of the store, then 40 s of
    // worker lease after the last heartbeat that it responded to.
    assert!(longest < Duration::from_secs(61), "{longest:?}");
    assert!(
        longest > Duration::from_secs(30),
        "{longest:?}: no owner kept tasks of a cancelled job running"
    );
}

/// A controller that is partitioned from the store and the other controllers must fail its
/// health check. When the check succeeded, its users got no response until the partition ended.
#[tokio::test(start_paused = true)]
async fn isolated_controller_fails_its_health_check() {
    let mut cluster = SimulatedCluster::new(31);
    let service = cluster.submit(1, "standing", 4, 1.0, 0.0).await;
    cluster.run_for(20).await;
    let leader = cluster.leader();
    cluster.platform.inject(Fault::StoreUnreachable(leader));
    cluster.platform.inject(Fault::PeersUnreachable(leader));
    cluster.run_for(8).await;
    let health = async |controller| {
        let response = cluster
            .platform
            .user_request(controller, "GET", "/healthz", Vec::new())
            .await;
        response.unwrap().status
    };
    assert_eq!(health(leader).await, 503);
    assert_eq!(health((leader + 1) % 3).await, 200);
    cluster.run_for(100).await;
    cluster.platform.clear(Fault::StoreUnreachable(leader));
    cluster.platform.clear(Fault::PeersUnreachable(leader));
    cluster.run_for(10).await;
    assert_eq!(health(leader).await, 200);
    // In an outage no controller reaches the store, so all stay healthy.
    cluster.platform.inject(Fault::StoreOutage);
    cluster.run_for(20).await;
    for controller in 0..3 {
        assert_eq!(health(controller).await, 200);
    }
    cluster.platform.clear(Fault::StoreOutage);
    cluster.run_for(10).await;
    assert_eq!(cluster.job_status(&service).await.running, 4);
    cluster.assert_invariants();
}

/// The heartbeats of some machines arrive, but responses and commands to them are lost. Such
/// machines were assigned tasks until the fault ended, although their worker leases had expired.
/// Their tasks must move to other machines. With `with_crash` the leader also crashes and restarts.
async fn move_tasks_after_inbound_loss(with_crash: bool) {
    let mut cluster = small_cluster(32, 50.0).await;
    let service = cluster.submit(1, "standing", 10, 4.0, 0.0).await;
    cluster.run_for(25).await;
    let machines = cluster.platform.checker().machines_of(&service);
    assert_eq!(machines.len(), 10);
    cluster
        .platform
        .inject_each(Fault::MachineInboundLoss, &machines[..3]);
    if with_crash {
        let leader = cluster.leader();
        cluster.crash(leader);
        cluster.run_for(5).await;
        cluster.start(leader);
    }
    // The limit covers a shard lease, a worker lease, the detection of the fault and the boot of
    // other machines.
    let mut waited_s = 0;
    loop {
        let moved_to = cluster.platform.checker().machines_of(&service);
        let on_affected = moved_to
            .iter()
            .filter(|m| machines[..3].contains(m))
            .count();
        if moved_to.len() == 10 && on_affected == 0 {
            break;
        }
        cluster.run_for(1).await;
        waited_s += 1;
        assert!(
            waited_s < 140,
            "tasks run on {moved_to:?}, first on {machines:?}"
        );
    }
    // Tasks of a new job are placed on machines that can start them.
    let new_job = cluster.submit(2, "sweep", 8, 1.0, 10.0).await;
    cluster.wait_until_done(&[new_job], 30).await;
    cluster
        .platform
        .clear_each(Fault::MachineInboundLoss, &machines[..3]);
    cluster.run_for(40).await;
    assert_eq!(cluster.job_status(&service).await.running, 10);
    cluster.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn tasks_of_machines_with_inbound_loss_are_moved() {
    move_tasks_after_inbound_loss(false).await;
}

#[tokio::test(start_paused = true)]
async fn tasks_of_machines_with_inbound_loss_are_moved_when_the_leader_crashes_too() {
    move_tasks_after_inbound_loss(true).await;
}

/// A task must not be started again while the commit that records its end may still be applied.
/// When such a commit got no response and the machine became reachable again, the task was
/// started there once more. Then the commit was applied, and the task was started elsewhere
/// while the first attempt was still being stopped.
#[tokio::test(start_paused = true)]
async fn a_task_whose_outcome_may_be_committed_late_is_not_started_again() {
    let mut cluster = small_cluster(33, 50.0).await;
    let service = cluster.submit(1, "standing", 6, 4.0, 0.0).await;
    cluster.run_for(25).await;
    let machines = cluster.platform.checker().machines_of(&service);
    // The array is placed on suspended machines, so none of its tasks is observed running.
    cluster.cancel(&service).await;
    cluster.run_for(1).await;
    limit_zones(&cluster, 0);
    cluster
        .platform
        .inject_each(Fault::MachineFrozen, &machines);
    let array = cluster.submit(2, "sweep", 3, 4.0, 300.0).await;
    // The commit that records the end of these tasks is applied 7 s late.
    cluster
        .platform
        .delay_next_commit(r#"{"e":["j-000002""#, Duration::from_secs(7));
    let mut polls = 0;
    while !cluster.platform.all_commit_delays_used() {
        tokio::time::sleep(Duration::from_millis(100)).await;
        polls += 1;
        assert!(polls < 2000, "no commit recorded an ended task");
    }
    cluster.platform.clear_each(Fault::MachineFrozen, &machines);
    cluster.run_for(30).await;
    // Each task has started exactly once: after the commit was applied, on another machine or in
    // a new attempt.
    assert_eq!(cluster.platform.checker().starts_by_job[&array], 3);
    cluster.assert_invariants();
}

/// A snapshot's chunk or manifest that was written late replaced that of the next snapshot.
/// Controllers that listed the store afterwards could not read the snapshot, and after a crash
/// of all controllers none could.
#[tokio::test(start_paused = true)]
async fn a_delayed_write_of_a_snapshot_does_not_corrupt_the_next_snapshot() {
    // The keys of a snapshot's chunks and of its manifest.
    for (delayed_commit, seed) in [("w/s/", 34), (r#""write":"w/base""#, 35)] {
        let mut cluster = small_cluster(seed, 10.0).await;
        let service = cluster.submit(1, "standing", 4, 1.0, 0.0).await;
        cluster
            .platform
            .delay_next_commit(delayed_commit, Duration::from_secs(10));
        let mut jobs = Vec::new();
        let mut number = 10;
        while !cluster.platform.all_commit_delays_used() {
            number += 1;
            assert!(number < 300, "no snapshot was written");
            jobs.push(cluster.submit(number, "sweep", 2, 1.0, 8.0).await);
            cluster.run_for(2).await;
        }
        cluster.run_for(12).await;
        let started = cluster.platform.checker().started;
        cluster.crash_all();
        cluster.run_for(1).await;
        cluster.start_all();
        cluster.wait_until_done(&jobs, 120).await;
        assert_eq!(
            cluster.job_status(&service).await.running,
            4,
            "{delayed_commit}"
        );
        let restarted = cluster.platform.checker().started - started;
        assert!(restarted <= 12, "{restarted} tasks started after the crash");
        cluster.assert_invariants();
    }
}

/// The tasks of an array run for 5 s, 70 s and 150 s. Those that are done must not be started
/// again after a snapshot, a leader change, a crash of all controllers or a new listing of the
/// store.
#[tokio::test(start_paused = true)]
async fn finished_array_tasks_are_not_started_again_while_others_run() {
    let mut cluster = small_cluster(36, 10.0).await;
    for number in 1..=6u32 {
        let id = format!("j-{number:06}");
        let mut checker = cluster.platform.checker();
        for (index, run_time_s) in [(0, 5.0), (1, 70.0), (2, 150.0)] {
            checker.set_run_time(&id, index, run_time_s);
        }
    }
    let mut arrays = Vec::new();
    for number in 1..=6 {
        arrays.push(
            cluster
                .submit(number, "sweep", 2 + number % 2, 1.0, 90.0)
                .await,
        );
    }
    cluster.run_for(30).await;
    for iteration in 0..3u32 {
        // Short jobs fill the log until a snapshot is written.
        let generation = inspect::snapshot_generation(cluster.first_controller());
        for short_job in 0..40 {
            cluster
                .submit(100 + iteration * 40 + short_job, "sweep", 1, 1.0, 2.0)
                .await;
            cluster.run_for(1).await;
            if inspect::snapshot_generation(cluster.first_controller()) > generation {
                break;
            }
        }
        let leader = cluster.leader();
        match iteration {
            0 => cluster.crash(leader),
            _ => cluster.crash_all(),
        }
        cluster.run_for(u64::from(iteration)).await;
        for index in 0..3 {
            cluster.start_if_stopped(index);
        }
        cluster.run_for(8).await;
    }
    cluster.wait_until_done(&arrays, 200).await;
    // A straggler may be started once more on another machine, but a finished task must not.
    assert_eq!(
        cluster.platform.checker().starts_after_completion,
        0,
        "a finished task was started again"
    );
    cluster.assert_invariants();
}

/// The leader crashes and restarts four times with pauses of 50 ms or 900 ms, so that leadership
/// and shards change owners within a second. Then all controllers crash and only one restarts,
/// which must serve all jobs without restarting tasks.
#[tokio::test(start_paused = true)]
async fn a_single_restarted_controller_serves_all_jobs() {
    for (seed, pause_ms) in [(37, 50), (38, 900)] {
        let mut cluster = small_cluster(seed, 50.0).await;
        let service = cluster.submit(1, "standing", 8, 1.0, 0.0).await;
        cluster.run_for(20).await;
        let started = cluster.platform.checker().started;
        for _ in 0..4 {
            let leader = cluster.leader();
            cluster.crash(leader);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            cluster.start(leader);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        let last = cluster.leader();
        cluster.crash_all();
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        cluster.start(last);
        let job = cluster.submit(2, "sweep", 4, 1.0, 10.0).await;
        cluster.wait_until_done(&[job], 60).await;
        assert_eq!(cluster.job_status(&service).await.running, 8);
        assert_eq!(
            cluster.platform.checker().started,
            started + 4,
            "running tasks were started again"
        );
        cluster.assert_invariants();
    }
}

/// Commands to suspended machines are delayed while shards move to another owner and back. The
/// machines resume before or after their worker leases (40 s) expire, and then execute the
/// delayed commands, which must start no task twice.
#[tokio::test(start_paused = true)]
async fn commands_delayed_across_a_change_of_shard_owners_start_no_task_twice() {
    for (seed, duration_s) in [(39, 12), (40, 30), (41, 55)] {
        let mut cluster = small_cluster(seed, 50.0).await;
        let service = cluster.submit(1, "standing", 6, 4.0, 0.0).await;
        cluster.run_for(25).await;
        let machines = cluster.platform.checker().machines_of(&service);
        cluster
            .platform
            .inject_each(Fault::MachineFrozen, &machines);
        // The commands that start the tasks of these jobs, or stop tasks because of a
        // cancellation, are sent and delayed.
        let job = cluster.submit(2, "sweep", 6, 1.0, 30.0).await;
        let cancelled = cluster.submit(3, "gang", 2, 2.0, 200.0).await;
        cluster.run_for(2).await;
        cluster.cancel(&service).await;
        for _ in 0..2 {
            let leader = cluster.leader();
            cluster.crash(leader);
            cluster.run_for(duration_s / 4).await;
            cluster.start(leader);
            cluster.run_for(duration_s / 4).await;
        }
        cluster.platform.clear_each(Fault::MachineFrozen, &machines);
        cluster.cancel(&cancelled).await;
        cluster.wait_until_done(&[job], 150).await;
        cluster.run_for(70).await;
        cluster.assert_invariants();
    }
}

/// A query needs a read of the store that begins after the query. When that read also had to
/// end within 0.6 s, hardly any query succeeded while the store took 0.4 to 0.9 s for each
/// response.
#[tokio::test(start_paused = true)]
async fn queries_succeed_while_the_store_is_slow() {
    let mut cluster = small_cluster(42, 50.0).await;
    let service = cluster.submit(1, "standing", 4, 1.0, 0.0).await;
    cluster.run_for(20).await;
    cluster.platform.inject(Fault::StoreSlow);
    cluster.run_for(5).await;
    let path = format!("/api/jobs/{service}");
    let (mut succeeded, mut sent) = (0, 0);
    for number in 0..60 {
        tokio::time::sleep(Duration::from_millis(330)).await;
        let call = cluster
            .platform
            .user_request(number % 3, "GET", &path, Vec::new());
        let result = tokio::time::timeout(Duration::from_secs(2), call).await;
        sent += 1;
        succeeded += usize::from(matches!(result, Ok(Some(response)) if response.status == 200));
    }
    assert!(
        succeeded * 10 >= sent * 9,
        "{succeeded} of {sent} queries succeeded"
    );
    // The leader alone loses the store, then all controllers lose it for longer than the
    // deadline of a cancellation.
    let leader = cluster.leader();
    cluster.platform.inject(Fault::StoreUnreachable(leader));
    cluster.cancel(&service).await;
    cluster.platform.inject(Fault::StoreOutage);
    cluster.run_for(80).await;
    cluster.platform.clear(Fault::StoreUnreachable(leader));
    cluster.platform.clear(Fault::StoreOutage);
    cluster.platform.clear(Fault::StoreSlow);
    assert_eq!(
        cluster.job_status(&service).await.phase,
        StatusPhase::Cancelled
    );
    cluster.assert_invariants();
}

/// Copies of old heartbeats arrive while shard owners change, so the first heartbeat that a new
/// process receives from a machine may be outdated. It must not count as evidence that a task
/// runs or has ended.
#[tokio::test(start_paused = true)]
async fn duplicated_heartbeats_are_no_evidence_to_a_new_shard_owner() {
    let mut cluster = small_cluster(43, 50.0).await;
    cluster.platform.inject(Fault::HeartbeatsDuplicated);
    let service = cluster.submit(1, "standing", 8, 1.0, 0.0).await;
    let mut jobs = Vec::new();
    for number in 0..12u32 {
        jobs.push(cluster.submit(10 + number, "sweep", 3, 1.0, 12.0).await);
        cluster.run_for(4).await;
        let controller = number as usize % 3;
        cluster.crash(controller);
        tokio::time::sleep(Duration::from_millis(200)).await;
        cluster.start(controller);
        cluster.run_for(4).await;
    }
    cluster.wait_until_done(&jobs, 100).await;
    assert_eq!(cluster.job_status(&service).await.running, 8);
    assert_eq!(
        cluster.platform.checker().starts_after_completion,
        0,
        "a finished task was started again"
    );
    cluster.assert_invariants();
}
