//! Copies of direct calls to workers that were carried out and answered arrive once more, while
//! token and session still match. None of them may start a task.

mod common;

use common::small_cluster;
use rushwalk_simulator::{ClusterConfig, SimulatedCluster};
use rushwalk_testkit::{Fault, MachineType};
use serde_json::json;
use std::time::Duration;

/// The machine that is rented first.
const FIRST_MACHINE: &str = "i-000000";

/// A fault of the machine with an index.
type MachineFault = fn(usize) -> Fault;

/// A warmed-up cluster that records the calls that its workers carry out.
async fn recording_cluster(seed: u64) -> SimulatedCluster {
    let cluster = small_cluster(seed, 50.0).await;
    cluster.platform.inject(Fault::CommandsRecorded);
    cluster
}

/// Makes tasks fail on the first machine, which stays in use by a service, submits a job, and
/// lets the machine recover once the job's tasks have moved.
async fn submit_and_move_off_first_machine(
    cluster: &mut SimulatedCluster,
    shape: &str,
    tasks: u32,
) -> String {
    cluster.submit(90, "standing", 1, 1.0, 0.0).await;
    cluster.run_for(12).await;
    cluster.platform.checker().faulty_machines = [FIRST_MACHINE.to_string()].into();
    let job = cluster.submit(1, shape, tasks, 3.0, 900.0).await;
    cluster.run_for(22).await;
    assert!(cluster.platform.checker().failed_starts > 0);
    assert_eq!(cluster.job_status(&job).await.running, tasks);
    cluster.platform.checker().faulty_machines.clear();
    job
}

/// The names of all machines that were rented so far.
fn machine_names(cluster: &SimulatedCluster) -> Vec<String> {
    let workers = cluster.platform.workers();
    workers.iter().map(|worker| worker.name.clone()).collect()
}

/// Replays the recorded calls, and checks that none of them starts a task.
async fn assert_copies_start_nothing(cluster: &SimulatedCluster) {
    let started = cluster.platform.checker().started;
    let copies = cluster.platform.replay_commands().await;
    assert!(copies > 0, "no call with a start was recorded");
    let restarted = cluster.platform.checker().started - started;
    assert_eq!(restarted, 0, "tasks were started by a copy");
    cluster.run_for(10).await;
    cluster.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn copy_of_a_failed_start_starts_no_task_that_has_moved() {
    let mut cluster = recording_cluster(401).await;
    let job = submit_and_move_off_first_machine(&mut cluster, "standing", 2).await;
    assert_copies_start_nothing(&cluster).await;
    assert_eq!(cluster.job_status(&job).await.running, 2);
}

#[tokio::test(start_paused = true)]
async fn copy_of_a_start_before_a_spot_notice_starts_no_task_that_has_moved() {
    let mut cluster = recording_cluster(402).await;
    cluster.platform.offer_machine_type(MachineType {
        label: "crate",
        cpus: 16.0,
        gpus: 4.0,
        memory_gb: 64.0,
        hourly: 1.0,
        spot_hourly: Some(0.2),
    });
    let spot = json!({"loaners": true});
    let job = cluster.submit_with(1, "standing", 1, 4.0, 0.0, spot).await;
    cluster.run_for(15).await;
    let machine = cluster.platform.checker().machines_of(&job)[0];
    cluster
        .platform
        .reclaim(machine, Some(Duration::from_secs(60)));
    for _ in 0..200 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        if cluster.platform.checker().machines_of(&job) != [machine] {
            break;
        }
    }
    // The machine is returned shortly after the end of its last task.
    for _ in 0..30 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        if cluster.platform.workers()[machine].tasks.is_empty() {
            break;
        }
    }
    assert_copies_start_nothing(&cluster).await;
}

#[tokio::test(start_paused = true)]
async fn copy_of_a_straggler_start_starts_no_task_that_has_moved() {
    let mut cluster = recording_cluster(403).await;
    let service = cluster.submit(2, "standing", 4, 3.0, 0.0).await;
    cluster.run_for(15).await;
    let job = cluster.submit(1, "sweep", 4, 1.0, 10.0).await;
    cluster.platform.checker().set_run_time(&job, 3, 900.0);
    cluster.run_for(15).await;
    let slow = cluster.platform.checker().machines_of(&job);
    for _ in 0..60 {
        cluster.run_for(1).await;
        let machines = cluster.platform.checker().machines_of(&job);
        if machines.len() == 1 && machines != slow {
            break;
        }
    }
    assert_ne!(
        cluster.platform.checker().machines_of(&job),
        slow,
        "the straggler was not moved"
    );
    assert_copies_start_nothing(&cluster).await;
    assert_eq!(cluster.job_status(&service).await.running, 4);
}

#[tokio::test(start_paused = true)]
async fn copy_of_a_start_starts_no_cancelled_task() {
    for (seed, shape) in [(404, "standing"), (405, "gang"), (406, "sweep")] {
        let mut cluster = recording_cluster(seed).await;
        let job = cluster.submit(1, shape, 4, 2.0, 900.0).await;
        cluster.run_for(20).await;
        cluster.cancel(&job).await;
        cluster.run_for(6).await;
        assert_copies_start_nothing(&cluster).await;
    }
}

/// The copy arrives after the deadline of the cancellation.
#[tokio::test(start_paused = true)]
async fn late_copy_of_a_start_starts_no_cancelled_task() {
    let mut cluster = recording_cluster(420).await;
    // Keeps the machines in use.
    cluster.submit(90, "standing", 2, 3.0, 0.0).await;
    cluster.run_for(12).await;
    let job = cluster.submit(1, "standing", 2, 1.0, 0.0).await;
    cluster.run_for(10).await;
    cluster.cancel(&job).await;
    cluster.run_for(70).await;
    assert_copies_start_nothing(&cluster).await;
}

#[tokio::test(start_paused = true)]
async fn copy_of_a_start_starts_no_completed_task() {
    let mut cluster = recording_cluster(407).await;
    let job = cluster.submit(1, "sweep", 6, 2.0, 5.0).await;
    cluster.wait_until_done(&[job], 40).await;
    cluster.run_for(3).await;
    assert_copies_start_nothing(&cluster).await;
}

/// The copies are held back while the machines are suspended or partitioned: for a second, and for
/// shorter and for longer than a worker lease and the deadline of a cancellation.
#[tokio::test(start_paused = true)]
async fn copy_held_back_on_its_way_to_a_machine_starts_no_cancelled_task() {
    let faults: [MachineFault; 2] = [Fault::MachineFrozen, Fault::MachinePartitioned];
    for (fault, (seed, held_s)) in faults
        .into_iter()
        .flat_map(|f| [(f, (407, 1)), (f, (408, 25)), (f, (409, 75))])
    {
        let mut cluster = recording_cluster(seed).await;
        // Keeps the machines in use.
        cluster.submit(90, "standing", 2, 3.0, 0.0).await;
        cluster.run_for(12).await;
        let job = cluster.submit(1, "standing", 2, 1.0, 0.0).await;
        cluster.run_for(10).await;
        let machines = cluster.platform.checker().machines_of(&job);
        cluster.cancel(&job).await;
        cluster.run_for(6).await;
        cluster.platform.inject_each(fault, &machines);
        let started = cluster.platform.checker().starts_by_job[&job];
        assert!(cluster.platform.replay_commands().await > 0);
        cluster.run_for(held_s).await;
        cluster.platform.clear_each(fault, &machines);
        cluster.run_for(15).await;
        let restarted = cluster.platform.checker().starts_by_job[&job] - started;
        assert_eq!(restarted, 0, "tasks were started by a copy");
        cluster.assert_invariants();
    }
}

#[tokio::test(start_paused = true)]
async fn copy_of_a_start_does_not_exceed_the_limit_of_a_team() {
    let config = ClusterConfig::with_gpus(7.0);
    let mut cluster = SimulatedCluster::warmed_up(config, 410).await;
    cluster.platform.inject(Fault::CommandsRecorded);
    // Keeps two machines in use, with more GPUs free than the limit leaves.
    let cpus = json!({"cpus": 9.0});
    cluster.submit_with(90, "standing", 2, 1.0, 0.0, cpus).await;
    cluster.run_for(12).await;
    let first = cluster.submit(1, "sweep", 5, 1.0, 8.0).await;
    let second = cluster.submit(2, "sweep", 5, 1.0, 900.0).await;
    cluster.wait_until_done(&[first], 40).await;
    cluster.run_for(4).await;
    assert_eq!(cluster.job_status(&second).await.running, 5);
    assert_copies_start_nothing(&cluster).await;
}

#[tokio::test(start_paused = true)]
async fn copy_of_a_start_starts_no_task_outside_the_zone_of_its_job() {
    let mut cluster = recording_cluster(411).await;
    for (zone, machines) in [("east", 2), ("west", 0), ("north", 0)] {
        cluster.platform.limit_zone(zone, machines);
    }
    // Keeps both machines in use.
    let cpus = json!({"cpus": 9.0});
    cluster.submit_with(90, "standing", 2, 1.0, 0.0, cpus).await;
    cluster.run_for(12).await;
    cluster.platform.checker().faulty_machines =
        (0..9).map(|index| format!("i-{index:06}")).collect();
    let one_zone = json!({"together": true});
    let job = cluster
        .submit_with(1, "standing", 2, 3.0, 0.0, one_zone)
        .await;
    cluster.run_for(15).await;
    let in_east = machine_names(&cluster);
    cluster.platform.checker().faulty_machines = in_east.into_iter().collect();
    cluster.platform.limit_zone("east", 0);
    cluster.platform.limit_zone("west", 2);
    for _ in 0..60 {
        cluster.run_for(1).await;
        if cluster.platform.checker().machines_of(&job).len() == 2 {
            break;
        }
    }
    cluster.run_for(3).await;
    assert_eq!(cluster.job_status(&job).await.running, 2);
    cluster.platform.checker().faulty_machines.clear();
    assert_copies_start_nothing(&cluster).await;
}

#[tokio::test(start_paused = true)]
async fn copy_of_a_start_starts_no_single_task_of_a_gang() {
    let mut cluster = recording_cluster(412).await;
    let job = submit_and_move_off_first_machine(&mut cluster, "gang", 2).await;
    assert_copies_start_nothing(&cluster).await;
    assert_eq!(cluster.job_status(&job).await.running, 2);
}

/// All controllers, or one after the other, restart within a second, so that each shard changes its
/// owner and may return to it. The copies arrive while the owner is away, right after the restart
/// or some seconds later.
#[tokio::test(start_paused = true)]
async fn copy_of_a_start_before_a_restart_of_the_owner_starts_no_task() {
    for (seed, wait_ms) in [(413, 0), (414, 300), (415, 2_000), (416, 8_000)] {
        for at_once in [true, false] {
            let mut cluster = recording_cluster(seed).await;
            let job = submit_and_move_off_first_machine(&mut cluster, "standing", 2).await;
            let started = cluster.platform.checker().starts_by_job[&job];
            let groups = if at_once {
                vec![vec![0, 1, 2]]
            } else {
                vec![vec![0], vec![1], vec![2]]
            };
            for group in groups {
                group.iter().for_each(|index| cluster.crash(*index));
                tokio::time::sleep(Duration::from_millis(300)).await;
                if wait_ms == 0 {
                    cluster.platform.replay_commands().await;
                }
                group.iter().for_each(|index| cluster.start(*index));
            }
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            cluster.platform.replay_commands().await;
            cluster.run_for(12).await;
            assert_eq!(cluster.job_status(&job).await.running, 2);
            let restarted = cluster.platform.checker().starts_by_job[&job] - started;
            assert_eq!(restarted, 0, "tasks were started by a copy");
            cluster.assert_invariants();
        }
    }
}

#[tokio::test(start_paused = true)]
async fn copy_of_a_start_in_an_earlier_session_of_the_worker_starts_no_task() {
    let mut cluster = recording_cluster(419).await;
    let job = submit_and_move_off_first_machine(&mut cluster, "standing", 2).await;
    cluster.platform.workers()[0].restart(&cluster.platform);
    cluster.run_for(4).await;
    assert_copies_start_nothing(&cluster).await;
    assert_eq!(cluster.job_status(&job).await.running, 2);
}

/// The copied calls stop a service and forget its tasks; a second service runs on the same
/// machines.
#[tokio::test(start_paused = true)]
async fn copies_of_stops_and_forgets_end_no_other_attempt() {
    let mut cluster = recording_cluster(417).await;
    let first = cluster.submit(1, "standing", 4, 2.0, 0.0).await;
    cluster.run_for(20).await;
    cluster.cancel(&first).await;
    let second = cluster.submit(2, "standing", 8, 2.0, 0.0).await;
    cluster.run_for(20).await;
    assert_eq!(cluster.job_status(&second).await.running, 8);
    assert_copies_start_nothing(&cluster).await;
    assert_eq!(cluster.job_status(&second).await.running, 8);
}

/// Attempts that are kept because of possible copies must not stay in the heartbeats for ever.
#[tokio::test(start_paused = true)]
async fn exited_attempts_are_forgotten_within_a_minute() {
    let mut cluster = recording_cluster(418).await;
    let service = cluster.submit(1, "standing", 2, 1.0, 0.0).await;
    let job = cluster.submit(2, "sweep", 6, 1.0, 5.0).await;
    cluster.wait_until_done(&[job], 60).await;
    cluster.run_for(60).await;
    let workers = cluster.platform.workers();
    let live = workers.iter().filter(|worker| !worker.deleted);
    let kept: usize = live.map(|worker| worker.tasks.len()).sum();
    assert_eq!(kept, 2, "tasks in the heartbeats besides {service}");
}
