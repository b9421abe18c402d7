//! Scale-out, and retries of failing tasks.

use rushwalk_simulator::cluster::TeamQuota;
use rushwalk_simulator::{ClusterConfig, SimulatedCluster};
use rushwalk_testkit::{Fault, ZONES};
use serde_json::json;

/// When rental requests for exhausted zones were sent before those for zones with capacity, three
/// of four requests were refused at twice the usual fleet size, and machines were minutes late.
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
    let (fulfilled, refused) = (rentals.fulfilled, rentals.refused);
    let machines = cluster.platform.workers().len();
    assert!(
        machines >= 450,
        "{machines} machines from {fulfilled} fulfilled requests"
    );
    assert!(
        refused <= 4,
        "{refused} rental requests refused, {fulfilled} fulfilled"
    );
    cluster.assert_invariants();
}

/// Machines that never became ready were always expected to be ready within another fifth of the
/// boot time, so no others were rented in their place until they were abandoned after four boot
/// times. They must be replaced sooner.
#[tokio::test(start_paused = true)]
async fn tasks_do_not_wait_for_machines_that_never_boot() {
    let mut cluster = SimulatedCluster::new(14);
    cluster.run_for(30).await;
    cluster.platform.inject(Fault::BootsFail);
    let service = cluster.submit(1, "standing", 12, 1.0, 0.0).await;
    cluster.run_for(2).await;
    cluster.platform.clear(Fault::BootsFail);
    let mut waited_s = 2;
    while cluster.job_status(&service).await.running < 12 {
        cluster.run_for(1).await;
        waited_s += 1;
    }
    assert!(
        waited_s <= 24,
        "{waited_s} s until all tasks ran, at a boot time of 5 s"
    );
    // Machines that no task needs are returned.
    cluster.run_for(60).await;
    let machines = cluster.platform.live_machines();
    assert!(machines <= 6, "{machines} machines for 12 GPUs");
    cluster.assert_invariants();
}

/// Each retry of a job whose tasks always fail used as many machines as the job has tasks, and
/// when tasks of another job failed on one faulty machine, all its other tasks were delayed.
#[tokio::test(start_paused = true)]
async fn a_failing_job_is_retried_with_few_tasks_and_a_faulty_machine_delays_no_job() {
    let mut cluster = SimulatedCluster::warmed_up(ClusterConfig::with_gpus(400.0), 15).await;
    let service = cluster.submit(1, "standing", 20, 4.0, 0.0).await;
    cluster.run_for(30).await;
    cluster.platform.checker().failing_jobs = ["j-000010", "j-000011"].map(String::from).into();
    let next_machine = cluster.platform.workers().len();
    let array = cluster.submit(10, "sweep", 60, 1.0, 10.0).await;
    let gang = cluster.submit(11, "gang", 4, 4.0, 10.0).await;
    cluster.run_for(200).await;
    // The first attempt starts all tasks, each retry one task of the array or the whole gang.
    let failed = cluster.platform.checker().failed_starts;
    assert!(failed <= 60 + 3 * 4 + 8, "{failed} failed starts");
    // All tasks fail on the first machine that was rented after the failing jobs were submitted,
    // and on the 15th, 30th and 45th machine after it.
    let mut faulty = Vec::new();
    faulty.extend((next_machine..next_machine + 1).map(|index| format!("i-{index:06}")));
    faulty.extend(
        (next_machine + 15..next_machine + 60)
            .step_by(15)
            .map(|index| format!("i-{index:06}")),
    );
    cluster.platform.checker().faulty_machines = faulty.into_iter().collect();
    let working_jobs = vec![
        cluster.submit(20, "sweep", 60, 1.0, 10.0).await,
        cluster.submit(21, "gang", 4, 4.0, 10.0).await,
    ];
    cluster.wait_until_done(&working_jobs, 60).await;
    assert_eq!(cluster.job_status(&service).await.running, 20);
    for id in [&array, &gang] {
        assert_eq!(cluster.job_status(id).await.done, 0);
        cluster.cancel(id).await;
    }
    let failed = cluster.platform.checker().failed_starts;
    cluster.run_for(70).await;
    assert_eq!(
        cluster.platform.checker().failed_starts,
        failed,
        "tasks of cancelled jobs were started"
    );
    cluster.assert_invariants();
}

/// A gang for which the cloud had too few machines was counted against its team's limit while it
/// waited. No other job of the team started, though the team used nothing of its limit.
#[tokio::test(start_paused = true)]
async fn a_gang_that_can_not_start_does_not_hold_up_other_jobs_of_its_team() {
    let teams = [("red", 4.0), ("blue", 0.0)];
    let config = ClusterConfig {
        teams: teams.map(|(team, gpus)| TeamQuota { team, gpus }).to_vec(),
        ..ClusterConfig::default()
    };
    let mut cluster = SimulatedCluster::warmed_up(config, 15).await;
    for (number, zone) in ZONES.into_iter().enumerate() {
        cluster.platform.limit_zone(zone, 1);
        // A service of another team keeps the only machine of each zone.
        let fields = json!({"crew": "blue", "yard": zone});
        let service = cluster.submit_with(number as u32 + 1, "standing", 1, 0.0, 0.0, fields);
        service.await;
    }
    cluster.run_for(30).await;
    // Two tasks with ten CPUs each don't fit on one machine.
    let fields = json!({"cpus": 10.0, "together": true, "rank": "urgent"});
    let gang = cluster.submit_with(10, "gang", 2, 2.0, 8.0, fields).await;
    cluster.run_for(3).await;
    let array = cluster.submit(11, "sweep", 2, 1.0, 8.0).await;
    cluster.wait_until_done(&[array], 90).await;
    assert_eq!(cluster.job_status(&gang).await.running, 0);
    cluster.assert_invariants();
}

/// A gang whose assignment exceeded a value of the store was accepted and never started. Any gang
/// that is accepted must start, and arrays must start also if values are small.
#[tokio::test(start_paused = true)]
async fn accepted_jobs_start_whatever_the_size_of_values() {
    for (value_kb, gang_tasks) in [(1.0, 60), (16.0, 1_200)] {
        let config = ClusterConfig {
            value_kb,
            ..ClusterConfig::default()
        };
        let mut cluster = SimulatedCluster::warmed_up(config, 16).await;
        let fields = json!({"cpus": 0.01, "memoryGb": 0.01});
        let gang = cluster.submit_with(1, "gang", gang_tasks, 0.0, 5.0, fields.clone());
        let gang = gang.await;
        let array = cluster.submit_with(2, "sweep", 500, 0.0, 5.0, fields).await;
        cluster.wait_until_done(&[gang, array], 120).await;
        cluster.assert_invariants();
    }
}

/// The planner placed any number of small tasks on one machine. Its heartbeats exceeded the size
/// limit of a request and were rejected, its lease expired, and all tasks were lost each time.
#[tokio::test(start_paused = true)]
async fn a_machine_gets_no_more_tasks_than_its_heartbeats_can_list() {
    let mut cluster = SimulatedCluster::warmed_up(ClusterConfig::default(), 17).await;
    let fields = json!({"cpus": 0.004, "memoryGb": 0.01});
    let array = cluster.submit_with(1, "sweep", 2_000, 0.0, 60.0, fields);
    let array = array.await;
    cluster.wait_until_done(&[array], 240).await;
    cluster.assert_invariants();
}

/// Exited attempts that a worker has to keep fill its heartbeats, also while the store is down and
/// the token of the shard can't be advanced.
#[tokio::test(start_paused = true)]
async fn many_short_tasks_keep_heartbeats_within_their_limit_also_in_an_outage() {
    let mut cluster = SimulatedCluster::warmed_up(ClusterConfig::default(), 18).await;
    let fields = json!({"cpus": 0.004, "memoryGb": 0.01});
    let array = cluster.submit_with(1, "sweep", 4_000, 0.0, 2.0, fields);
    let array = array.await;
    cluster.run_for(12).await;
    cluster.platform.inject(Fault::StoreOutage);
    cluster.run_for(50).await;
    cluster.platform.clear(Fault::StoreOutage);
    cluster.wait_until_done(&[array], 240).await;
    cluster.assert_invariants();
}
