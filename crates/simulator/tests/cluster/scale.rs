//! Large jobs and fleets need few writes to the store and little work of each controller.

use rushwalk_simulator::{ClusterConfig, SimulatedCluster, inspect};
use std::time::Duration;

/// A cluster whose team may use a thousand machines.
async fn large_cluster(seed: u64) -> SimulatedCluster {
    SimulatedCluster::warmed_up(ClusterConfig::with_gpus(4000.0), seed).await
}

#[tokio::test(start_paused = true)]
async fn a_job_of_100_000_tasks_does_not_block_small_jobs() {
    let mut cluster = SimulatedCluster::new(6);
    let large_job = cluster.submit(1, "sweep", 100_000, 1.0, 5.0).await;
    let small_jobs = vec![cluster.submit(2, "sweep", 1, 1.0, 5.0).await];
    cluster.wait_until_done(&small_jobs, 120).await;
    let status = cluster.job_status(&large_job).await;
    assert!(status.done > 0 && status.running <= 20, "{status:?}");
    cluster.cancel(&large_job).await;
    cluster.run_for(20).await;
    assert_eq!(cluster.platform.checker().running_tasks(), 0);
    cluster.assert_invariants();
}

/// The store accepts a few dozen writes per second, whatever the size of the fleet. Writing one
/// key for each task or machine would exceed that.
#[tokio::test(start_paused = true)]
async fn store_writes_grow_with_rounds_not_with_tasks() {
    let mut cluster = large_cluster(8).await;
    let before = cluster.platform.write_count();
    let mut jobs = Vec::new();
    for number in 0..20 {
        jobs.push(cluster.submit(number, "sweep", 100, 1.0, 30.0).await);
    }
    cluster.wait_until_done(&jobs, 300).await;
    let (writes, started) = (
        cluster.platform.write_count() - before,
        cluster.platform.checker().started,
    );
    assert!(started >= 2000, "{started}");
    assert!(
        cluster.platform.workers().len() >= 250,
        "fewer than 250 machines of four GPUs were rented"
    );
    assert!(writes < started / 2, "{writes} writes for {started} tasks");
    cluster.assert_invariants();
}

/// On the smallest hosts, a shard owner had no time left to respond to its workers when it
/// reconciled all its machines in each round, or queried the status of all workers together
/// after a crash. It reconciles only machines with a heartbeat or a change, and queries few
/// workers at a time, since most workers find a new owner by themselves.
#[tokio::test(start_paused = true)]
async fn owners_reconcile_changed_machines_only_and_query_few_workers_at_a_time() {
    let mut cluster = large_cluster(10).await;
    let service = cluster.submit(1, "standing", 250, 4.0, 0.0).await;
    cluster.run_for(40).await;
    assert_eq!(cluster.job_status(&service).await.running, 250);
    let count_reconciled = |cluster: &SimulatedCluster| -> u64 {
        let processes = cluster.processes.iter().flatten();
        processes
            .map(|process| inspect::reconciled_machines(&process.controller))
            .sum()
    };
    let reconciled_before = count_reconciled(&cluster);
    cluster.run_for(30).await;
    // With a heartbeat about every 3 s, 250 machines send 2,500 heartbeats in 30 s. Reconciling
    // all machines in each of the 30 rounds would make 7,500.
    let reconciled = count_reconciled(&cluster) - reconciled_before;
    assert!(
        reconciled < 3_500,
        "{reconciled} machines reconciled for 2,500 heartbeats"
    );
    cluster.crash_all();
    cluster.run_for(4).await;
    cluster.start_all();
    cluster.run_for(40).await;
    assert_eq!(cluster.job_status(&service).await.running, 250);
    let max_queried = cluster
        .platform
        .max_status_requests_within(Duration::from_millis(300));
    assert!(
        max_queried <= 80,
        "{max_queried} of 250 workers queried within 300 ms"
    );
    cluster.assert_invariants();
}

/// Concurrent queries share one read of the store, also during a failover. Submissions and
/// cancellations must not wait behind them.
#[tokio::test(start_paused = true)]
async fn many_queries_during_a_failover_delay_no_other_request() {
    let mut cluster = SimulatedCluster::new(16);
    let service = cluster.submit(1, "standing", 4, 1.0, 0.0).await;
    cluster.run_for(20).await;
    let leader = cluster.leader();
    cluster.crash(leader);
    let path = format!("/api/jobs/{service}");
    let mut queries = tokio::task::JoinSet::new();
    for number in 0..2000u64 {
        let (platform, path) = (cluster.platform.clone(), path.clone());
        let controller = (leader + 1 + number as usize % 2) % 3;
        queries.spawn(async move {
            tokio::time::sleep(Duration::from_millis(2 * number)).await;
            let call = platform.user_request(controller, "GET", &path, Vec::new());
            tokio::time::timeout(Duration::from_secs(2), call).await
        });
    }
    let began = tokio::time::Instant::now();
    let job = cluster.submit(2, "sweep", 2, 1.0, 5.0).await;
    cluster.cancel(&service).await;
    let elapsed = began.elapsed();
    assert!(
        elapsed < Duration::from_secs(3),
        "{elapsed:?} for a submission and a cancellation"
    );
    let (mut succeeded, mut rejected) = (0, 0);
    while let Some(result) = queries.join_next().await {
        match result.unwrap() {
            Ok(Some(response)) if response.status == 200 => succeeded += 1,
            Ok(Some(response)) if matches!(response.status, 429 | 503) => rejected += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(
        succeeded > 1900,
        "{succeeded} queries succeeded, {rejected} were rejected"
    );
    cluster.wait_until_done(&[job], 60).await;
    cluster.assert_invariants();
}

/// The leader crashes halfway through an array of 2,000 short tasks.
#[tokio::test(start_paused = true)]
async fn a_long_array_continues_after_a_leader_crash_with_few_writes() {
    let mut cluster = SimulatedCluster::warmed_up(ClusterConfig::with_gpus(200.0), 17).await;
    let array = cluster.submit(1, "sweep", 2000, 1.0, 4.0).await;
    cluster.run_for(30).await;
    let done = cluster.job_status(&array).await.done;
    assert!((100..1900).contains(&done), "{done} done at the crash");
    let leader = cluster.leader();
    cluster.crash(leader);
    cluster.run_for(1).await;
    cluster.start(leader);
    let before = cluster.platform.write_count();
    cluster.wait_until_done(&[array], 120).await;
    assert_eq!(
        cluster.platform.checker().started,
        2000,
        "a task was started twice"
    );
    let writes = cluster.platform.write_count() - before;
    assert!(writes < 1200, "{writes} writes for {} tasks", 2000 - done);
    cluster.assert_invariants();
}
