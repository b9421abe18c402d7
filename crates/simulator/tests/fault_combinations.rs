//! Combinations of two faults, as `docs/FAULT_COMBINATIONS.md` lists them, with whole controllers on
//! virtual time. Each test says what happened before the service was guarded against it.

mod common;

use common::small_cluster;

use rushwalk_protocol::jobs::StatusPhase;
use rushwalk_simulator::cluster::request;
use rushwalk_simulator::{SimulatedCluster, inspect};
use rushwalk_testkit::{Fault, Request};
use std::time::Duration;

/// Limits the machines of each zone.
fn limit_zones(cluster: &SimulatedCluster, machines: usize) {
    for zone in ["east", "west", "north"] {
        cluster.platform.limit_zone(zone, machines);
    }
}

/// The store refuses one controller, which may also lose the other controllers; those
/// confirm cancellations; then the store refuses everybody. The tasks end within 65 s (shard
/// lease 20 s, worker lease 40 s), also the second time. Returns the longest cancellation.
async fn cancel_before_outage(leads: bool, isolated: bool, outage_s: u64) -> Duration {
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
        let victim = if leads { leader } else { (leader + 1) % 3 };
        cluster.platform.inject(Fault::StoreUnreachable(victim));
        if isolated {
            cluster.platform.inject(Fault::PeersUnreachable(victim));
        }
        cluster.run_for(1).await;
        let other = (victim + 1) % 3;
        for id in &jobs {
            let answer = request(&cluster.platform, other, Request::Cancel, id, "").await;
            let response = answer.unwrap();
            assert_eq!(
                (response.status, response.phase()),
                (200, Some(StatusPhase::Cancelled))
            );
        }
        cluster.platform.inject(Fault::StoreOutage);
        cluster.run_for(13).await;
        cluster.platform.clear(Fault::StoreUnreachable(victim));
        cluster.platform.clear(Fault::PeersUnreachable(victim));
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
    let mut most = Duration::ZERO;
    for outage_s in [13, 30, 62, 80] {
        for (leads, isolated) in [(true, false), (true, true), (false, false)] {
            most = most.max(cancel_before_outage(leads, isolated, outage_s).await);
        }
    }
    // The bound: the shard lease after the last read, then the lease of the last heartbeat.
    assert!(most < Duration::from_secs(61), "{most:?}");
    assert!(
        most > Duration::from_secs(30),
        "{most:?}: no owner went on unaware"
    );
}

/// Users of a controller that was partitioned from the store and the other controllers got
/// no response for as long as that lasted: its health check succeeded.
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
        let answer = cluster
            .platform
            .user_request(controller, "GET", "/healthz", Vec::new())
            .await;
        answer.unwrap().status
    };
    assert_eq!(health(leader).await, 503);
    assert_eq!(health((leader + 1) % 3).await, 200);
    cluster.run_for(100).await;
    cluster.platform.clear(Fault::StoreUnreachable(leader));
    cluster.platform.clear(Fault::PeersUnreachable(leader));
    cluster.run_for(10).await;
    assert_eq!(health(leader).await, 200);
    // In an outage no controller is better: all stay healthy.
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

/// Machines whose heartbeats arrive but that get no responses were assigned tasks for as long
/// as that lasted, though their leases had expired.
async fn inbound_loss(with_crash: bool) {
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
    // A shard lease, a worker lease, and the time to notice and to boot other machines.
    let mut waited = 0;
    loop {
        let moved_to = cluster.platform.checker().machines_of(&service);
        let still = moved_to
            .iter()
            .filter(|m| machines[..3].contains(m))
            .count();
        if moved_to.len() == 10 && still == 0 {
            break;
        }
        cluster.run_for(1).await;
        waited += 1;
        assert!(waited < 140, "on {moved_to:?} of {machines:?}");
    }
    // More tasks are placed where they can start.
    let more = cluster.submit(2, "sweep", 8, 1.0, 10.0).await;
    cluster.wait_until_done(&[more], 30).await;
    cluster
        .platform
        .clear_each(Fault::MachineInboundLoss, &machines[..3]);
    cluster.run_for(40).await;
    assert_eq!(cluster.job_status(&service).await.running, 10);
    cluster.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn tasks_of_machines_with_inbound_loss_are_moved() {
    inbound_loss(false).await;
}

#[tokio::test(start_paused = true)]
async fn tasks_of_machines_with_inbound_loss_are_moved_also_when_the_leader_crashes() {
    inbound_loss(true).await;
}

/// A task was to be recorded as ended, the commit got no response, the machine came back and
/// the task was started there again; then the commit was applied, and the task was started
/// elsewhere while the first attempt was being stopped.
#[tokio::test(start_paused = true)]
async fn a_task_whose_outcome_may_be_committed_late_is_not_started_again() {
    let mut cluster = small_cluster(33, 50.0).await;
    let service = cluster.submit(1, "standing", 6, 4.0, 0.0).await;
    cluster.run_for(25).await;
    let machines = cluster.platform.checker().machines_of(&service);
    // An array is placed on suspended machines, so none of its tasks was seen to run.
    cluster.cancel(&service).await;
    cluster.run_for(1).await;
    limit_zones(&cluster, 0);
    cluster
        .platform
        .inject_each(Fault::MachineFrozen, &machines);
    let array = cluster.submit(2, "sweep", 3, 4.0, 300.0).await;
    cluster
        .platform
        .delay_next_commit(r#"{"e":["j-000002""#, Duration::from_secs(7));
    let mut waited = 0;
    while !cluster.platform.all_commit_delays_used() {
        tokio::time::sleep(Duration::from_millis(100)).await;
        waited += 1;
        assert!(waited < 2000, "no outcome was committed");
    }
    cluster.platform.clear_each(Fault::MachineFrozen, &machines);
    cluster.run_for(30).await;
    // Each once: not again before the commit was applied, and then elsewhere or anew.
    assert_eq!(cluster.platform.checker().starts_by_job[&array], 3);
    cluster.assert_invariants();
}

/// A snapshot's chunk or manifest that was written late replaced one of the next snapshot:
/// controllers that listed then could not read it, and after a crash of all none could.
#[tokio::test(start_paused = true)]
async fn a_delayed_write_of_a_snapshot_does_not_corrupt_the_next() {
    for (text, seed) in [("w/s/", 34), (r#""write":"w/base""#, 35)] {
        let mut cluster = small_cluster(seed, 10.0).await;
        let service = cluster.submit(1, "standing", 4, 1.0, 0.0).await;
        cluster
            .platform
            .delay_next_commit(text, Duration::from_secs(10));
        let mut jobs = Vec::new();
        let mut number = 10;
        while !cluster.platform.all_commit_delays_used() {
            number += 1;
            assert!(number < 300, "no snapshot was begun");
            jobs.push(cluster.submit(number, "sweep", 2, 1.0, 8.0).await);
            cluster.run_for(2).await;
        }
        cluster.run_for(12).await;
        let started = cluster.platform.checker().started;
        cluster.crash_all();
        cluster.run_for(1).await;
        cluster.start_all();
        cluster.wait_until_done(&jobs, 120).await;
        assert_eq!(cluster.job_status(&service).await.running, 4, "{text}");
        let again = cluster.platform.checker().started - started;
        assert!(again <= 12, "{again} tasks started anew");
        cluster.assert_invariants();
    }
}

/// Tasks of an array end far apart: those that are done stay done over a snapshot, a change
/// of the leader, a crash of all and a listing, and are not started again.
#[tokio::test(start_paused = true)]
async fn array_tasks_that_end_far_apart_run_once() {
    let mut cluster = small_cluster(36, 10.0).await;
    for number in 1..=6u32 {
        let id = format!("j-{number:06}");
        let mut checker = cluster.platform.checker();
        for (index, s) in [(0, 5.0), (1, 70.0), (2, 150.0)] {
            checker.set_run_time(&id, index, s);
        }
    }
    let mut far = Vec::new();
    for number in 1..=6 {
        far.push(
            cluster
                .submit(number, "sweep", 2 + number % 2, 1.0, 90.0)
                .await,
        );
    }
    cluster.run_for(30).await;
    for number in 0..3u32 {
        // Other jobs fill the log until a snapshot is made.
        let before = inspect::snapshot_generation(cluster.first_controller());
        for k in 0..40 {
            cluster
                .submit(100 + number * 40 + k, "sweep", 1, 1.0, 2.0)
                .await;
            cluster.run_for(1).await;
            if inspect::snapshot_generation(cluster.first_controller()) > before {
                break;
            }
        }
        let leader = cluster.leader();
        match number {
            0 => cluster.crash(leader),
            _ => cluster.crash_all(),
        }
        cluster.run_for(u64::from(number)).await;
        for index in 0..3 {
            cluster.start_if_stopped(index);
        }
        cluster.run_for(8).await;
    }
    cluster.wait_until_done(&far, 200).await;
    // A straggler may be restarted elsewhere, once; tasks that are done never.
    assert_eq!(
        cluster.platform.checker().starts_after_completion,
        0,
        "started anew"
    );
    cluster.assert_invariants();
}

/// Leadership and shards move back and forth within a second, then all controllers crash and
/// one returns: it does the work alone.
#[tokio::test(start_paused = true)]
async fn a_single_returning_controller_does_all_work() {
    for (seed, after_ms) in [(37, 50), (38, 900)] {
        let mut cluster = small_cluster(seed, 50.0).await;
        let service = cluster.submit(1, "standing", 8, 1.0, 0.0).await;
        cluster.run_for(20).await;
        let started = cluster.platform.checker().started;
        for _ in 0..4 {
            let leader = cluster.leader();
            cluster.crash(leader);
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            cluster.start(leader);
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
        }
        let last = cluster.leader();
        cluster.crash_all();
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
        cluster.start(last);
        let job = cluster.submit(2, "sweep", 4, 1.0, 10.0).await;
        cluster.wait_until_done(&[job], 60).await;
        assert_eq!(cluster.job_status(&service).await.running, 8);
        assert_eq!(
            cluster.platform.checker().started,
            started + 4,
            "started anew"
        );
        cluster.assert_invariants();
    }
}

/// Commands are delayed while a shard moves to another owner and back; the machines resume
/// within their leases, or after them.
#[tokio::test(start_paused = true)]
async fn commands_delayed_over_a_change_of_shard_owners_start_nothing_twice() {
    for (seed, duration_s) in [(39, 12), (40, 30), (41, 55)] {
        let mut cluster = small_cluster(seed, 50.0).await;
        let service = cluster.submit(1, "standing", 6, 4.0, 0.0).await;
        cluster.run_for(25).await;
        let machines = cluster.platform.checker().machines_of(&service);
        cluster
            .platform
            .inject_each(Fault::MachineFrozen, &machines);
        // Starts, stops and cancellations are sent, and delayed.
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

/// While the store took most of a second for each response, hardly any query succeeded: a
/// read had to begin after the query and end within 0.6 s.
#[tokio::test(start_paused = true)]
async fn queries_succeed_while_the_store_is_slow() {
    let mut cluster = small_cluster(42, 50.0).await;
    let service = cluster.submit(1, "standing", 4, 1.0, 0.0).await;
    cluster.run_for(20).await;
    cluster.platform.inject(Fault::StoreSlow);
    cluster.run_for(5).await;
    let path = format!("/api/jobs/{service}");
    let (mut answered, mut sent) = (0, 0);
    for number in 0..60 {
        tokio::time::sleep(Duration::from_millis(330)).await;
        let call = cluster
            .platform
            .user_request(number % 3, "GET", &path, Vec::new());
        let answer = tokio::time::timeout(Duration::from_secs(2), call).await;
        sent += 1;
        answered += usize::from(matches!(answer, Ok(Some(answer)) if answer.status == 200));
    }
    assert!(answered * 10 >= sent * 9, "{answered} of {sent}");
    // The leader alone loses the store, then everybody for longer than a cancellation may take.
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

/// Copies of old heartbeats arrive while shard owners change: the first that a new process
/// gets of a machine may be one. They prove nothing.
#[tokio::test(start_paused = true)]
async fn duplicated_heartbeats_prove_nothing_to_a_new_shard_owner() {
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
        "started anew"
    );
    cluster.assert_invariants();
}
