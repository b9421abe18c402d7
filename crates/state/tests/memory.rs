//! What a controller holds at full size, by counted allocations.

use rushwalk_protocol::ids::{JobId, MachineId};
use rushwalk_protocol::jobs::JobSpec;
use rushwalk_protocol::store::KeyValue;
use rushwalk_scheduler::durations::DurationEstimator;
use rushwalk_state::mutation::{
    AssignTasks, FinishedJob, MachineAdopted, Mutation, PlaceTasks, RestoreFinished, ShardTasks,
    SubmitJob, TaskOnMachine,
};
use rushwalk_state::records::{CachedImage, JobPhase, MachineRecord, SnapshotManifest};
use rushwalk_state::{ClusterState, codec, keys};
use std::sync::Arc;

const MACHINES: usize = 2100;
const JOBS: usize = 1000;
const TASKS: usize = 8;

fn spec(n: usize) -> Arc<JobSpec> {
    let text = format!(
        r#"{{"uid":"j-{n:06}","lane":"a","crew":"red","shape":"sweep","rank":"normal",
        "pieces":{TASKS},"cpus":1,"gpus":1,"memoryGb":1,"kit":"img-{:02}","sizeGb":1,
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

/// The tasks of one job, each on a machine.
fn tasks_of(n: usize) -> Vec<TaskOnMachine> {
    let task = |t: usize| TaskOnMachine {
        task: t as u32,
        machine: machine_id((n * TASKS + t) % MACHINES),
    };
    (0..TASKS).map(task).collect()
}

/// A full fleet under a thousand jobs, and twenty thousand that are finished.
fn full() -> ClusterState {
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

/// The same records as the store would list them.
fn listing(state: &ClusterState) -> Vec<KeyValue> {
    let packed = codec::pack(&state.to_mutations(), 16_000);
    let manifest = SnapshotManifest {
        revision: 9,
        generation: 1,
        chunks: packed.len(),
    };
    let head = KeyValue {
        key: keys::SNAPSHOT_MANIFEST.into(),
        value: serde_json::value::to_raw_value(&manifest).unwrap(),
        version: 10,
    };
    let chunks = packed.iter().enumerate().map(|(i, text)| KeyValue {
        key: keys::snapshot_chunk(1, i),
        value: codec::frame(9, text).unwrap(),
        version: 10,
    });
    std::iter::once(head).chain(chunks).collect()
}

/// The smallest controllers have 142 MB for everything, connections included: the state, a
/// snapshot of it, and a listing beside the old state must leave most.
#[test]
fn a_full_fleet_leaves_most_of_the_memory() {
    const MB: u64 = 1 << 20;
    let mut state = None;
    let made = allocation_counter::measure(|| state = Some(full()));
    let state = state.unwrap();
    let tasks: usize = state.machines.values().map(|m| m.tasks.len()).sum();
    assert_eq!(tasks, JOBS * TASKS, "each task has its machine");
    assert!(made.bytes_current < 9 * MB as i64, "{made:?}");
    let mut listed = None;
    let dumped = allocation_counter::measure(|| listed = Some(listing(&state)));
    assert!(dumped.bytes_max < 14 * MB, "{dumped:?}");
    let mut again = None;
    let listed = listed.unwrap();
    let replica =
        allocation_counter::measure(|| again = Some(ClusterState::from_listing(listed, 10, 40)));
    assert!(replica.bytes_max < 16 * MB, "{replica:?}");
    assert_eq!(again.unwrap().unwrap().machines.len(), MACHINES);
}
