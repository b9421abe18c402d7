//! The memory that the replicated state takes at full fleet size, from counted allocations.

mod common;

use common::snapshot;
use rushwalk_protocol::ids::{JobId, MachineId};
use rushwalk_protocol::jobs::JobSpec;
use rushwalk_scheduler::durations::DurationEstimator;
use rushwalk_state::ClusterState;
use rushwalk_state::mutation::{
    AssignTasks, FinishedJob, MachineAdopted, Mutation, PlaceTasks, RestoreFinished, ShardTasks,
    SubmitJob, TaskOnMachine,
};
use rushwalk_state::records::{CachedImage, JobPhase, MachineRecord};
use std::sync::Arc;

const MACHINES: usize = 2100;
const JOBS: usize = 1000;
const TASKS_PER_JOB: usize = 8;

fn spec(n: usize) -> Arc<JobSpec> {
    let text = format!(
        r#"{{"uid":"j-{n:06}","lane":"a","crew":"red","shape":"sweep","rank":"normal",
        "pieces":{TASKS_PER_JOB},"cpus":1,"gpus":1,"memoryGb":1,"kit":"img-{:02}","sizeGb":1,
        "together":false,"spread":false,"loaners":true,"guessS":60,"waypointS":0,
        "stashS":0}}"#,
        n % 12
    );
    Arc::new(JobSpec::parse(text.as_bytes()).unwrap())
}

fn machine_id(n: usize) -> MachineId {
    format!("i-{n:06}").into()
}

fn machine(n: usize) -> MachineRecord {
    let shard = format!("east#{}", n / 256).into();
    let images = (0..4).map(|k| CachedImage {
        name: format!("img-{k:02}").into(),
        size_gb: 6.0,
    });
    MachineRecord {
        ready_ms: Some(7),
        address: format!("10.1.{}.{}:9000", n / 250, n % 250).into(),
        images: images.collect(),
        ..MachineRecord::rented("wheatbox".into(), "east".into(), false, shard, 5)
    }
}

/// The tasks of job `n`, each with the machine on which it is placed.
fn tasks_of(n: usize) -> Vec<TaskOnMachine> {
    let task = |t: usize| TaskOnMachine {
        task: t as u32,
        machine: machine_id((n * TASKS_PER_JOB + t) % MACHINES),
    };
    (0..TASKS_PER_JOB).map(task).collect()
}

/// A state with a full fleet, 1000 active jobs and 20,000 finished ones.
fn full_state() -> ClusterState {
    let mut state = ClusterState::new(DurationEstimator::new(10, 1.0));
    for n in 0..MACHINES {
        let adopted = MachineAdopted {
            machine: machine_id(n),
            record: machine(n),
        };
        state.apply(Mutation::MachineAdopted(adopted), 1, 10);
    }
    for n in 0..JOBS {
        let job: JobId = format!("j-{n:06}").into();
        let submit = SubmitJob {
            spec: spec(n),
            accepted_ms: 10,
        };
        state.apply(Mutation::Submit(submit), 2, 20);
        let tasks = tasks_of(n);
        for task in &tasks {
            let assign = AssignTasks {
                job: job.clone(),
                assigned_ms: 20,
                shards: vec![ShardTasks {
                    shard: state.machines[&task.machine].record.shard.clone(),
                    tasks: vec![task.clone()],
                }],
            };
            state.apply(Mutation::Assign(assign), 3, 20);
        }
        let place = PlaceTasks {
            job,
            attempt: 3,
            placed_ms: 30,
            tasks,
        };
        state.apply(Mutation::Place(place), 4, 30);
    }
    let finished = (0..20_000).map(|n| FinishedJob {
        job: format!("j-9{n:05}").into(),
        tasks: 4,
    });
    let restore = RestoreFinished {
        phase: JobPhase::Done,
        jobs: finished.collect(),
    };
    state.apply(Mutation::RestoreFinished(restore), 5, 30);
    state
}

/// The smallest controllers have 142 MB for everything, connections included. The state, the
/// writing of a snapshot, and a state that is built from a listing beside the old one must
/// leave most of this free.
#[test]
fn the_state_of_a_full_fleet_takes_a_small_part_of_the_memory() {
    const MB: u64 = 1 << 20;
    let mut state = None;
    let state_memory = allocation_counter::measure(|| state = Some(full_state()));
    let state = state.unwrap();
    let tasks: usize = state.machines.values().map(|m| m.tasks.len()).sum();
    assert_eq!(tasks, JOBS * TASKS_PER_JOB, "every task is placed");
    assert!(
        state_memory.bytes_current < 9 * MB as i64,
        "{state_memory:?}"
    );
    let mut listed = None;
    let snapshot_memory =
        allocation_counter::measure(|| listed = Some(snapshot(&state.to_mutations(), 16_000, 9)));
    assert!(snapshot_memory.bytes_max < 14 * MB, "{snapshot_memory:?}");
    let mut restored = None;
    let listed = listed.unwrap();
    let replica_memory =
        allocation_counter::measure(|| restored = Some(ClusterState::from_listing(listed, 10, 40)));
    assert!(replica_memory.bytes_max < 16 * MB, "{replica_memory:?}");
    assert_eq!(restored.unwrap().unwrap().machines.len(), MACHINES);
}
