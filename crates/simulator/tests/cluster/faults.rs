//! Crashes, loss of the store, outages, and random sequences of faults.

use rushwalk_simulator::SimulatedCluster;
use rushwalk_testkit::Fault;

#[tokio::test(start_paused = true)]
async fn jobs_of_all_shapes_run_without_faults() {
    let mut cluster = SimulatedCluster::new(1);
    let array = cluster.submit(1, "sweep", 5, 1.0, 20.0).await;
    let gang = cluster.submit(2, "gang", 3, 4.0, 30.0).await;
    let service = cluster.submit(3, "standing", 2, 1.0, 0.0).await;
    cluster.wait_until_done(&[array, gang], 200).await;
    assert_eq!(cluster.job_status(&service).await.running, 2);
    cluster.cancel(&service).await;
    cluster.run_for(20).await;
    assert_eq!(cluster.platform.checker().running_tasks(), 0);
    // Without jobs, all machines are returned.
    cluster.run_for(200).await;
    assert!(cluster.platform.workers().iter().all(|w| w.deleted));
    cluster.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn crashes_of_one_then_all_controllers_restart_no_task() {
    let mut cluster = SimulatedCluster::new(2);
    let jobs = vec![
        cluster.submit(1, "sweep", 8, 1.0, 60.0).await,
        cluster.submit(2, "gang", 2, 4.0, 70.0).await,
    ];
    cluster.run_for(25).await;
    let started = cluster.platform.checker().started;
    assert!(started >= 10, "only {started} of 10 tasks started");
    let leader = cluster.leader();
    cluster.crash(leader);
    cluster.run_for(5).await;
    cluster.start(leader);
    cluster.run_for(10).await;
    for index in 0..3 {
        cluster.crash(index);
    }
    cluster.run_for(5).await;
    for index in 0..3 {
        cluster.start(index);
    }
    cluster.wait_until_done(&jobs, 300).await;
    assert_eq!(
        cluster.platform.checker().started,
        started,
        "a task was restarted after a crash"
    );
    cluster.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn a_shard_owner_that_loses_the_store_is_replaced() {
    let mut cluster = SimulatedCluster::new(3);
    let service = cluster.submit(1, "standing", 6, 1.0, 0.0).await;
    cluster.run_for(25).await;
    let started = cluster.platform.checker().started;
    for index in 0..3 {
        cluster.platform.inject(Fault::StoreUnreachable(index));
        // A cancellation must reach every task, whichever controller confirms it.
        let cancelled = cluster
            .submit(10 + index as u32, "standing", 3, 1.0, 0.0)
            .await;
        cluster.run_for(30).await;
        cluster.cancel(&cancelled).await;
        cluster.run_for(70).await;
        cluster.platform.clear(Fault::StoreUnreachable(index));
        cluster.run_for(20).await;
    }
    assert_eq!(cluster.job_status(&service).await.running, 6);
    let later_starts = cluster.platform.checker().started - started;
    assert_eq!(later_starts, 9, "tasks of the first service were restarted");
    cluster.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn a_store_outage_shorter_than_the_worker_lease_restarts_no_task() {
    let mut cluster = SimulatedCluster::new(4);
    let jobs = vec![cluster.submit(1, "sweep", 6, 1.0, 90.0).await];
    cluster.run_for(25).await;
    cluster.platform.inject(Fault::StoreOutage);
    cluster.run_for(25).await;
    cluster.platform.clear(Fault::StoreOutage);
    cluster.wait_until_done(&jobs, 200).await;
    assert_eq!(cluster.platform.checker().started, 6);
    cluster.assert_invariants();
}

/// Submits and cancels jobs while responses to commits are lost, commits and messages to workers
/// are delayed, controllers crash, and one or all controllers lose the store.
async fn run_random_faults(seed: u64) {
    let mut cluster = SimulatedCluster::new(seed);
    cluster.platform.inject(Fault::CommitResponsesLost);
    cluster.platform.inject(Fault::FewCommitsDelayed);
    let mut finite_jobs = Vec::new();
    let mut services = Vec::new();
    for iteration in 0..12u64 {
        let controller = ((seed * 31 + iteration * 7) % 3) as usize;
        let number = (iteration * 10) as u32;
        finite_jobs.push(cluster.submit(number, "sweep", 4, 1.0, 15.0).await);
        finite_jobs.push(cluster.submit(number + 1, "gang", 2, 4.0, 20.0).await);
        services.push(cluster.submit(number + 2, "standing", 2, 1.0, 0.0).await);
        match (seed + iteration) % 4 {
            0 => cluster.crash(controller),
            1 => cluster
                .platform
                .inject(Fault::WorkerMessagesDelayed(controller)),
            2 => cluster.platform.inject(Fault::StoreUnreachable(controller)),
            _ => cluster.platform.inject(Fault::StoreOutage),
        }
        cluster.run_for(12).await;
        // During an outage of the store no cancellation can be confirmed.
        cluster.platform.clear(Fault::StoreOutage);
        if iteration % 2 == 1 {
            let service = services.remove(0);
            cluster.cancel(&service).await;
        }
        cluster.run_for(8).await;
        cluster
            .platform
            .clear(Fault::WorkerMessagesDelayed(controller));
        cluster.platform.clear(Fault::StoreUnreachable(controller));
        cluster.platform.clear(Fault::StoreOutage);
        cluster.start_if_stopped(controller);
    }
    cluster.platform.clear(Fault::CommitResponsesLost);
    cluster.platform.clear(Fault::FewCommitsDelayed);
    for service in services {
        cluster.cancel(&service).await;
    }
    cluster.wait_until_done(&finite_jobs, 600).await;
    cluster.run_for(70).await;
    cluster.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn random_faults_violate_no_invariant() {
    for seed in 1..=4 {
        run_random_faults(seed).await;
    }
}
