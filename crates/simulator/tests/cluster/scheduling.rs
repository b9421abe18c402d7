//! Scale out, and retries of failing tasks.

use rushwalk_simulator::{ClusterConfig, SimulatedCluster};
use rushwalk_testkit::Fault;

/// Rental requests in exhausted zones came before those in zones with capacity: at twice a
/// fleet's size three of four brought nothing, and machines were minutes late.
#[tokio::test(start_paused = true)]
async fn rentals_go_to_zones_with_capacity() {
    let config = ClusterConfig {
        cloud_rps: 2.0,
        ..ClusterConfig::with_gpus(4000.0)
    };
    let mut cluster = SimulatedCluster::with_config(config, 13);
    cluster.platform.limit_zone("east", 10);
    cluster.platform.limit_zone("west", 10);
    cluster.run_for(10).await;
    for number in 0..12 {
        cluster.submit(number, "standing", 150, 1.0, 0.0).await;
    }
    cluster.run_for(45).await;
    let rentals = cluster.platform.rental_counts();
    let (brought, nothing) = (rentals.fulfilled, rentals.refused);
    let machines = cluster.platform.workers().len();
    assert!(machines >= 450, "{machines} machines by {brought} calls");
    assert!(
        nothing <= 4,
        "{nothing} calls brought nothing, {brought} did"
    );
    cluster.assert_invariants();
}

/// Machines that never became ready were expected within a fifth of the boot time, again and
/// again: nothing was rented in their place until their boot was abandoned after four times
/// that time.
#[tokio::test(start_paused = true)]
async fn tasks_do_not_wait_for_machines_that_never_boot() {
    let mut cluster = SimulatedCluster::new(14);
    cluster.run_for(30).await;
    cluster.platform.inject(Fault::BootsFail);
    let service = cluster.submit(1, "standing", 12, 1.0, 0.0).await;
    cluster.run_for(2).await;
    cluster.platform.clear(Fault::BootsFail);
    let mut waited = 2;
    while cluster.job_status(&service).await.running < 12 {
        cluster.run_for(1).await;
        waited += 1;
    }
    assert!(waited <= 24, "{waited} s, with boots of 5 s");
    // Superfluous machines are returned.
    cluster.run_for(60).await;
    let machines = cluster.platform.live_machines();
    assert!(machines <= 6, "{machines} machines for 12 GPUs");
    cluster.assert_invariants();
}

/// Each retry of a failing job took as many machines as it has tasks, and tasks of a good job
/// that failed on one machine delayed all its others.
#[tokio::test(start_paused = true)]
async fn a_failing_job_costs_little_and_a_faulty_machine_delays_no_job() {
    let mut cluster = SimulatedCluster::warmed_up(ClusterConfig::with_gpus(400.0), 15).await;
    let base = cluster.submit(1, "standing", 20, 4.0, 0.0).await;
    cluster.run_for(30).await;
    cluster.platform.checker().failing_jobs = ["j-000010", "j-000011"].map(String::from).into();
    let first = cluster.platform.workers().len();
    let array = cluster.submit(10, "sweep", 60, 1.0, 10.0).await;
    let gang = cluster.submit(11, "gang", 4, 4.0, 10.0).await;
    cluster.run_for(200).await;
    // All tasks start at first; afterwards one task, or one gang, at a time.
    let failed = cluster.platform.checker().failed_starts;
    assert!(failed <= 60 + 3 * 4 + 8, "{failed} starts for nothing");
    // All tasks on the next machine fail.
    let mut faulty = Vec::new();
    faulty.extend((first..first + 1).map(|index| format!("i-{index:06}")));
    faulty.extend(
        (first + 15..first + 60)
            .step_by(15)
            .map(|index| format!("i-{index:06}")),
    );
    cluster.platform.checker().faulty_machines = faulty.into_iter().collect();
    let good = vec![
        cluster.submit(20, "sweep", 60, 1.0, 10.0).await,
        cluster.submit(21, "gang", 4, 4.0, 10.0).await,
    ];
    cluster.wait_until_done(&good, 60).await;
    assert_eq!(cluster.job_status(&base).await.running, 20);
    for id in [&array, &gang] {
        assert_eq!(cluster.job_status(id).await.done, 0);
        cluster.cancel(id).await;
    }
    let failed = cluster.platform.checker().failed_starts;
    cluster.run_for(70).await;
    assert_eq!(
        cluster.platform.checker().failed_starts,
        failed,
        "cancelled jobs start nothing"
    );
    cluster.assert_invariants();
}
