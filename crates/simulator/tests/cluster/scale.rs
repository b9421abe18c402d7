//! Large jobs and fleets with few writes to the store and little work for each controller.

use rushwalk_simulator::{ClusterConfig, SimulatedCluster, inspect};
use std::time::Duration;

/// A cluster whose team may use a thousand machines.
async fn large_cluster(seed: u64) -> SimulatedCluster {
    SimulatedCluster::warmed_up(ClusterConfig::with_gpus(4000.0), seed).await
}

#[tokio::test(start_paused = true)]
async fn a_job_of_100_000_tasks_does_not_block_small_ones() {
    let mut cluster = SimulatedCluster::new(6);
    let big = cluster.submit(1, "sweep", 100_000, 1.0, 5.0).await;
    let small = vec![cluster.submit(2, "sweep", 1, 1.0, 5.0).await];
    cluster.wait_until_done(&small, 120).await;
    let state = cluster.job_status(&big).await;
    assert!(state.done > 0 && state.running <= 20, "{state:?}");
    cluster.cancel(&big).await;
    cluster.run_for(20).await;
    assert_eq!(cluster.platform.checker().running_tasks(), 0);
    cluster.assert_invariants();
}

/// The store takes a few dozen writes per second, whatever the size of the fleet: a key for
/// each task or machine would be too many.
#[tokio::test(start_paused = true)]
async fn writes_grow_with_rounds_not_with_tasks() {
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
    assert!(cluster.platform.workers().len() >= 250, "machines of four");
    assert!(writes < started / 2, "{writes} changes for {started} tasks");
    cluster.assert_invariants();
}

/// On the smallest hosts a shard owner that reconciled each of its machines in each round, or
/// asked all workers for their status at once after a crash, had no time left to respond to
/// them. It reconciles those with heartbeats or changes; most workers find it by themselves.
#[tokio::test(start_paused = true)]
async fn owners_reconcile_what_changes_and_ask_few_workers_at_a_time() {
    let mut cluster = large_cluster(10).await;
    let service = cluster.submit(1, "standing", 250, 4.0, 0.0).await;
    cluster.run_for(40).await;
    assert_eq!(cluster.job_status(&service).await.running, 250);
    let reconciled = |cluster: &SimulatedCluster| -> u64 {
        let processes = cluster.processes.iter().flatten();
        processes
            .map(|process| inspect::reconciled_machines(&process.controller))
            .sum()
    };
    let before = reconciled(&cluster);
    cluster.run_for(30).await;
    // A heartbeat every 3 s or so: 2,500 in 30 s, and as many rounds of 250.
    let reconciled = reconciled(&cluster) - before;
    assert!(
        reconciled < 3_500,
        "{reconciled} machines reconciled for 2,500 heartbeats"
    );
    cluster.crash_all();
    cluster.run_for(4).await;
    cluster.start_all();
    cluster.run_for(40).await;
    assert_eq!(cluster.job_status(&service).await.running, 250);
    let most = cluster
        .platform
        .max_status_requests_within(Duration::from_millis(300));
    assert!(most <= 80, "{most} of 250 workers asked in a tick");
    cluster.assert_invariants();
}

/// Concurrent queries share one read of the store, also during a failover, and submissions and
/// cancellations don't wait behind them.
#[tokio::test(start_paused = true)]
async fn many_queries_during_a_failover_delay_no_other_request() {
    let mut cluster = SimulatedCluster::new(16);
    let service = cluster.submit(1, "standing", 4, 1.0, 0.0).await;
    cluster.run_for(20).await;
    let leader = cluster.leader();
    cluster.crash(leader);
    let path = format!("/api/jobs/{service}");
    let mut polls = tokio::task::JoinSet::new();
    for number in 0..2000u64 {
        let (platform, path) = (cluster.platform.clone(), path.clone());
        let controller = (leader + 1 + number as usize % 2) % 3;
        polls.spawn(async move {
            tokio::time::sleep(Duration::from_millis(2 * number)).await;
            let call = platform.user_request(controller, "GET", &path, Vec::new());
            tokio::time::timeout(Duration::from_secs(2), call).await
        });
    }
    let began = tokio::time::Instant::now();
    let job = cluster.submit(2, "sweep", 2, 1.0, 5.0).await;
    cluster.cancel(&service).await;
    let took = began.elapsed();
    assert!(took < Duration::from_secs(3), "{took:?} for two changes");
    let (mut answered, mut refused) = (0, 0);
    while let Some(answer) = polls.join_next().await {
        match answer.unwrap() {
            Ok(Some(response)) if response.status == 200 => answered += 1,
            Ok(Some(response)) if matches!(response.status, 429 | 503) => refused += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(answered > 1900, "{answered} answered, {refused} refused");
    cluster.wait_until_done(&[job], 60).await;
    cluster.assert_invariants();
}

/// The leader crashes half way through an array of thousands of short tasks.
#[tokio::test(start_paused = true)]
async fn a_long_array_continues_over_a_crash_with_few_writes() {
    let mut cluster = SimulatedCluster::warmed_up(ClusterConfig::with_gpus(200.0), 17).await;
    let array = cluster.submit(1, "sweep", 2000, 1.0, 4.0).await;
    cluster.run_for(30).await;
    let half = cluster.job_status(&array).await.done;
    assert!((100..1900).contains(&half), "{half} done at the crash");
    let leader = cluster.leader();
    cluster.crash(leader);
    cluster.run_for(1).await;
    cluster.start(leader);
    let before = cluster.platform.write_count();
    cluster.wait_until_done(&[array], 120).await;
    assert_eq!(
        cluster.platform.checker().started,
        2000,
        "none was started twice"
    );
    let writes = cluster.platform.write_count() - before;
    assert!(writes < 1200, "{writes} changes for {} tasks", 2000 - half);
    cluster.assert_invariants();
}
