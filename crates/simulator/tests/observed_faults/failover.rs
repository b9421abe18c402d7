//! Jobs continue while leaders change and while controllers are stopped.

use crate::common::small_cluster;
use crate::sleep_ms;
use rushwalk_protocol::jobs::StatusPhase;
use rushwalk_simulator::cluster::{job, request, send_requests_to_all_controllers};
use rushwalk_simulator::{ClusterConfig, SimulatedCluster, inspect};
use rushwalk_testkit::{Fault, Request};
use std::time::Duration;
use tokio::time::Instant;

/// Old heartbeats are replayed to every controller right after the election of a new leader:
/// heartbeats of earlier worker sessions and attempts, and of machines that were deleted since.
/// They must not count as evidence that a task runs or has ended, and must not restore deleted
/// machines.
#[tokio::test(start_paused = true)]
async fn replayed_heartbeats_are_no_evidence_to_a_new_leader() {
    for seed in 121..=124 {
        let mut cluster = small_cluster(seed, 20.0).await;
        let service = cluster.submit(1, "standing", 6, 1.0, 0.0).await;
        let cancelled_service = cluster.submit(2, "standing", 12, 4.0, 0.0).await;
        cluster.run_for(20).await;
        cluster.platform.inject(Fault::HeartbeatsRecorded);
        let mut jobs = Vec::new();
        for number in 10..18 {
            jobs.push(cluster.submit(number, "sweep", 3, 1.0, 8.0).await);
            cluster.run_for(3).await;
        }
        // A quarter of the workers restart with a new session. The machines of the cancelled
        // service are returned.
        for (index, worker) in cluster.platform.workers().iter_mut().enumerate() {
            if index % 4 == seed as usize % 4 {
                worker.restart(&cluster.platform);
            }
        }
        cluster.cancel(&cancelled_service).await;
        cluster.run_for(70).await;
        let deleted: Vec<String> = (cluster.platform.workers().iter())
            .filter(|w| w.deleted)
            .map(|w| w.name.clone())
            .collect();
        assert!(!deleted.is_empty(), "no machine was returned");
        let long_array = cluster.submit(30, "sweep", 6, 1.0, 40.0).await;
        while cluster.platform.checker().starts_by_job.get(&long_array) != Some(&6) {
            cluster.run_for(1).await;
        }
        let leader = cluster.leader();
        cluster.crash(leader);
        while cluster.elected_leader().is_none() {
            sleep_ms(50).await;
        }
        cluster.platform.replay_heartbeats().await;
        sleep_ms(300).await;
        cluster.platform.replay_heartbeats().await;
        cluster.start(leader);
        cluster.run_for(10).await;
        for name in &deleted {
            let controller = cluster.first_controller();
            assert!(
                !inspect::has_machine(controller, name),
                "deleted machine {name} was restored"
            );
        }
        jobs.push(long_array.clone());
        cluster.platform.clear(Fault::HeartbeatsRecorded);
        cluster.declare_faults_ended();
        cluster.wait_until_done(&jobs, 100).await;
        assert_eq!(
            cluster.platform.checker().starts_by_job[&long_array],
            6,
            "a running task was started again"
        );
        assert_eq!(cluster.job_status(&service).await.running, 6);
        cluster.assert_invariants();
    }
}

/// Jobs of one task are submitted at four per second for 150 s, and a quarter of them are
/// cancelled. The controllers' settings allow 30 writes to the store per second, and the leader
/// crashes halfway.
#[tokio::test(start_paused = true)]
async fn four_jobs_per_second_for_minutes_are_all_served() {
    let config = ClusterConfig {
        write_rps: 30.0,
        ..ClusterConfig::with_gpus(200.0)
    };
    let mut cluster = SimulatedCluster::warmed_up(config, 131).await;
    let writes_before = cluster.platform.write_count();
    let mut users = tokio::task::JoinSet::new();
    let mut crashed_leader = 0;
    const JOBS: u32 = 4 * 150;
    for number in 0..JOBS {
        let (id, platform) = (format!("j-{number:06}"), cluster.platform.clone());
        let body = job(&id, "sweep", 1, 1.0, 10.0);
        cluster.register_job(&id, &body);
        users.spawn(async move {
            let mut controller = number as usize;
            let mut retry = async |kind, body: &str| {
                for _ in 0..60 {
                    controller += 1;
                    let response = request(&platform, controller % 3, kind, &id, body).await;
                    if let Some(response) = response
                        && response.is_success()
                    {
                        return response.job;
                    }
                    sleep_ms(1_000).await;
                }
                panic!("{id}: {kind:?} did not succeed within 60 attempts");
            };
            retry(Request::Submit, &body).await;
            if number % 4 == 0 {
                sleep_ms(u64::from(number % 7) * 1_500).await;
                retry(Request::Cancel, "").await;
            }
            let began = Instant::now();
            loop {
                let job = retry(Request::Query, "").await.unwrap();
                if matches!(job.phase, StatusPhase::Done | StatusPhase::Cancelled) {
                    return began.elapsed();
                }
                sleep_ms(5_000).await;
            }
        });
        sleep_ms(250).await;
        if number == JOBS / 2 {
            crashed_leader = cluster.leader();
            cluster.crash(crashed_leader);
        }
        if number == JOBS / 2 + 1 {
            cluster.start(crashed_leader);
        }
        cluster.platform.check_invariants();
    }
    cluster.declare_faults_ended();
    let mut longest = Duration::ZERO;
    while let Some(result) = users.join_next().await {
        longest = longest.max(result.unwrap());
    }
    let seconds = f64::from(JOBS) / 4.0;
    let rate = (cluster.platform.write_count() - writes_before) as f64 / seconds;
    assert!(rate < 0.9 * 30.0, "{rate} writes per second");
    assert!(longest < Duration::from_secs(60), "longest: {longest:?}");
    let after_cancellation = cluster.platform.checker().starts_after_cancellation;
    assert!(
        after_cancellation.longest_delay < Duration::from_secs(3),
        "{after_cancellation:?}"
    );
    cluster.assert_invariants();
}

/// All controllers are stopped for 55 s, longer than a worker lease (40 s).
#[tokio::test(start_paused = true)]
async fn jobs_complete_after_all_controllers_were_stopped_for_longer_than_a_worker_lease() {
    let mut cluster = small_cluster(161, 20.0).await;
    let service = cluster.submit(1, "standing", 6, 1.0, 0.0).await;
    let array = cluster.submit(2, "sweep", 6, 1.0, 60.0).await;
    let gang = cluster.submit(3, "gang", 3, 4.0, 60.0).await;
    cluster.run_for(20).await;
    cluster.crash_all();
    cluster.run_for(55).await;
    cluster.start_all();
    cluster.run_for(3).await;
    let later_array = cluster.submit(4, "sweep", 2, 1.0, 5.0).await;
    cluster.declare_faults_ended();
    cluster
        .wait_until_done(&[array, gang, later_array], 160)
        .await;
    assert_eq!(cluster.job_status(&service).await.running, 6);
    cluster.assert_invariants();
}

/// The leader crashes ten times in two minutes while users query all controllers. In the second
/// case the store also has outages during some of the leader changes.
#[tokio::test(start_paused = true)]
async fn ten_leader_crashes_in_two_minutes_start_no_task_twice() {
    for (seed, with_outages) in [(171, false), (172, true)] {
        let mut cluster = small_cluster(seed, 20.0).await;
        let service = cluster.submit(1, "standing", 6, 1.0, 0.0).await;
        let mut jobs = Vec::new();
        for iteration in 0..10u32 {
            jobs.push(cluster.submit(10 + iteration, "sweep", 2, 1.0, 15.0).await);
            let leader = cluster.leader();
            if with_outages && iteration % 3 == 1 {
                cluster.platform.inject(Fault::StoreOutage);
            }
            cluster.crash(leader);
            sleep_ms(200).await;
            cluster.start(leader);
            cluster.run_for(6).await;
            cluster.platform.clear(Fault::StoreOutage);
            let id = &jobs[jobs.len() - 1];
            let body = job(id, "sweep", 2, 1.0, 15.0);
            send_requests_to_all_controllers(&cluster.platform, id, &body).await;
            cluster.run_for(5).await;
        }
        cluster.declare_faults_ended();
        cluster.wait_until_done(&jobs, 100).await;
        // Tasks of the service may still be moving off a machine that is being returned.
        cluster.run_for(8).await;
        assert_eq!(cluster.job_status(&service).await.running, 6);
        for id in &jobs {
            assert_eq!(
                cluster.platform.checker().starts_by_job[id],
                2,
                "tasks of {id} were started again"
            );
        }
        cluster.assert_invariants();
    }
}
