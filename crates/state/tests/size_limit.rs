//! Snapshots of states whose records exceed the size limit of a value of the store.

mod common;

use common::{snapshot, snapshot_contents};
use proptest::prelude::*;
use rushwalk_protocol::jobs::JobSpec;
use rushwalk_scheduler::durations::DurationEstimator;
use rushwalk_state::mutation::{
    AssignTasks, MachineAdopted, PlaceTasks, ShardTasks, SubmitJob, TaskOnMachine, TasksEnded,
    TasksStarted,
};
use rushwalk_state::records::{AttemptOutcome, CachedImage, MachineRecord, MachineTypes};
use rushwalk_state::{ClusterState, Mutation, codec};
use std::sync::Arc;

/// The revision of the snapshots.
const REVISION: u64 = 1_000;
/// The time at which the snapshots are read.
const READ_MS: u64 = 30;
/// The size limit of a value in the settings of a real site, less the frame, in bytes.
const SITE_VALUE_BYTES: usize = (16 << 10) - 64;

/// A size limit of a value that a machine's list of images exceeds, in bytes.
const SMALL_VALUE_BYTES: usize = 1_500;

fn image_name(number: usize) -> String {
    format!("registry.example/batch/scan-{number:04}@sha256:{number:064x}")
}

fn spec(id: &str, shape: &str, tasks: u32, image: &str) -> Arc<JobSpec> {
    let text = format!(
        r#"{{"uid":"{id}","lane":"a","crew":"red","shape":"{shape}","rank":"normal",
        "pieces":{tasks},"cpus":0.25,"gpus":0,"memoryGb":1,"kit":"{image}","sizeGb":0.02,
        "together":false,"spread":false,"loaners":true,"guessS":60,"waypointS":0,
        "stashS":0}}"#
    );
    Arc::new(JobSpec::parse(text.as_bytes()).unwrap())
}

fn adopt(machine: &str, images: Vec<CachedImage>) -> Mutation {
    let record = MachineRecord {
        images,
        ..MachineRecord::rented("box".into(), "east".into(), false, "east".into(), 5)
    };
    Mutation::MachineAdopted(MachineAdopted {
        machine: machine.into(),
        record,
    })
}

fn machine_types() -> MachineTypes {
    let text = r#"{"types":[{"label":"box","cpus":64,"gpus":8,"memoryGb":512,"localGb":120,
        "pullGbPerS":1.0,"hourly":12.0,"lowPrice":4.5,"startupS":45,"yards":["east"]}]}"#;
    serde_json::from_str(text).unwrap()
}

/// A state with machine types and without machines and jobs.
fn empty_state() -> ClusterState {
    let mut state = ClusterState::new(DurationEstimator::new(10, 0.0));
    state.machine_types = Some(Arc::new(machine_types()));
    state
}

/// Starts tasks of a job on a machine, in the same attempt.
fn start(state: &mut ClusterState, job: &str, attempt: u64, machine: &str, tasks: &[u32]) {
    let on_machine = |machine: &str| -> Vec<TaskOnMachine> {
        let tasks = tasks.iter().map(|task| TaskOnMachine {
            task: *task,
            machine: machine.into(),
        });
        tasks.collect()
    };
    let assign = AssignTasks {
        job: job.into(),
        assigned_ms: 10,
        shards: vec![ShardTasks {
            shard: "east".into(),
            tasks: on_machine(machine),
        }],
    };
    state.apply(Mutation::Assign(assign), attempt, READ_MS);
    let place = PlaceTasks {
        job: job.into(),
        attempt,
        placed_ms: 11,
        tasks: on_machine(machine),
    };
    state.apply(Mutation::Place(place), attempt + 1, READ_MS);
    let started = TasksStarted {
        job: job.into(),
        attempt,
        started_ms: 12,
        tasks: tasks.to_vec(),
    };
    state.apply(Mutation::Started(started), attempt + 2, READ_MS);
}

fn submit(state: &mut ClusterState, spec: Arc<JobSpec>) {
    let submit = SubmitJob {
        spec,
        accepted_ms: 9,
    };
    state.apply(Mutation::Submit(submit), 1, READ_MS);
}

fn complete(state: &mut ClusterState, job: &str, attempt: u64, tasks: &[u32]) {
    let ended = TasksEnded {
        job: job.into(),
        attempt,
        ended_ms: 13,
        outcome: AttemptOutcome::Completed,
        tasks: tasks.to_vec(),
    };
    state.apply(Mutation::Ended(ended), attempt + 3, READ_MS);
}

/// The state that a controller restores from a snapshot of `state`, whose values have at most
/// `max_bytes` bytes.
fn restored(state: &ClusterState, max_bytes: usize) -> ClusterState {
    restored_from(&state.to_mutations(), max_bytes)
}

/// The state that a controller restores from a snapshot with these mutations.
fn restored_from(mutations: &[Mutation], max_bytes: usize) -> ClusterState {
    let entries = snapshot(mutations, max_bytes, REVISION);
    let mut state = ClusterState::from_listing(entries, REVISION + 1, READ_MS).unwrap();
    state.machine_types = Some(Arc::new(machine_types()));
    state
}

/// Fails if a snapshot of one state differs from a snapshot of the other.
fn assert_equal(state: &ClusterState, expected: &ClusterState) {
    let (state, expected) = (snapshot_contents(state), snapshot_contents(expected));
    let first_difference = state.symmetric_difference(&expected).next();
    assert_eq!(first_difference, None);
}

/// The snapshot left out a machine with so many images that its record exceeded the size limit
/// of a value. A controller that started from the snapshot did not know the machine: placements
/// there had no effect on its state, and it started the tasks a second time.
#[test]
fn a_machine_with_many_images_is_restored_from_a_snapshot() {
    let mut state = empty_state();
    state.apply(adopt("m-1", Vec::new()), 1, READ_MS);
    submit(&mut state, spec("j-000999", "standing", 1, "img-07"));
    start(&mut state, "j-000999", 2, "m-1", &[0]);
    for number in 0..400 {
        let id = format!("j-{number:06}");
        let attempt = 10 + 4 * number as u64;
        submit(&mut state, spec(&id, "sweep", 1, &image_name(number)));
        start(&mut state, &id, attempt, "m-1", &[0]);
        complete(&mut state, &id, attempt, &[0]);
    }
    let mut split = restored(&state, SMALL_VALUE_BYTES);
    let mut restored = restored(&state, SITE_VALUE_BYTES);
    assert_equal(&split, &state);
    // A placement takes effect on all.
    for state in [&mut state, &mut restored, &mut split] {
        submit(state, spec("j-001000", "sweep", 1, "img-07"));
        start(state, "j-001000", 5_000, "m-1", &[0]);
    }
    assert_equal(&restored, &state);
    assert_equal(&split, &state);
    let machine = &restored.machines["m-1"];
    assert_eq!(machine.tasks.len(), 2);
    assert_eq!(
        machine.record.images.last().map(|image| &*image.name),
        Some("img-07")
    );
}

/// Images that take no space were never evicted from the list, so that a machine's record, each
/// snapshot and the memory of each controller grew with every image that ran there.
#[test]
fn the_images_of_a_machine_are_limited_in_number() {
    let mut state = empty_state();
    state.apply(adopt("m-1", Vec::new()), 1, READ_MS);
    for number in 0..2_000 {
        let id = format!("j-{number:06}");
        let attempt = 10 + 4 * number as u64;
        let mut spec = JobSpec::clone(&spec(&id, "sweep", 1, &image_name(number)));
        spec.image_gb = 0.0;
        submit(&mut state, Arc::new(spec));
        start(&mut state, &id, attempt, "m-1", &[0]);
        complete(&mut state, &id, attempt, &[0]);
    }
    let record = &state.machines["m-1"].record;
    let last = record.images.last().unwrap();
    assert_eq!(*last.name, *image_name(1_999));
    let bytes = serde_json::to_string(record).unwrap().len();
    assert!(bytes < 5 << 10, "{bytes}");
    // Records that earlier versions stored are limited when they are read.
    let images = (0..300).map(|number| CachedImage {
        name: image_name(number).into(),
        size_gb: 0.0,
    });
    state.apply(adopt("m-2", images.collect()), 9_000, READ_MS);
    let images = &state.machines["m-2"].record.images;
    assert!((2..300).contains(&images.len()));
    assert_eq!(*images.last().unwrap().name, *image_name(299));
}

/// A previous version wrote snapshots without a machine that had tasks. Mutations of tasks there
/// must have the same effect as on a controller that knows the machine, or the two act on
/// different states.
#[test]
fn tasks_are_placed_on_a_machine_that_a_stored_snapshot_lacks() {
    let mut complete = empty_state();
    complete.apply(adopt("m-1", Vec::new()), 1, READ_MS);
    submit(&mut complete, spec("j-000001", "standing", 1, "img-07"));
    start(&mut complete, "j-000001", 2, "m-1", &[0]);
    let mut mutations = complete.to_mutations();
    mutations.retain(|mutation| !matches!(mutation, Mutation::MachineAdopted(_)));
    let mut restored = restored_from(&mutations, SITE_VALUE_BYTES);
    for state in [&mut complete, &mut restored] {
        submit(state, spec("j-000002", "sweep", 1, "img-07"));
        start(state, "j-000002", 5_000, "m-1", &[0]);
        assert_eq!(state.machines["m-1"].tasks.len(), 2);
        assert!(state.unplaced.is_empty());
    }
    assert!(complete.machines["m-1"].record.has_known_type());
    assert!(!restored.machines["m-1"].record.has_known_type());
}

/// A previous version stored records with any number of images in the log's order, and reads
/// only the first mutation of a machine. That one must contain the images used last.
#[test]
fn the_first_part_of_a_split_machine_has_the_images_used_last() {
    let images: Vec<CachedImage> = (0..300)
        .map(|number| CachedImage {
            name: image_name(number).into(),
            size_gb: 0.02,
        })
        .collect();
    let packed = codec::pack(&[adopt("m-1", images.clone())], SITE_VALUE_BYTES).unwrap();
    let texts = packed.iter().map(|text| codec::frame(1, text).unwrap());
    let entries = texts.flat_map(|value| codec::unframe(&value));
    let mutations: Vec<Mutation> = entries.flat_map(|entry| entry.mutations).collect();
    let Mutation::MachineAdopted(first) = &mutations[0] else {
        panic!("{:?}", mutations[0]);
    };
    assert!(mutations.len() > 1);
    assert!(images.ends_with(&first.record.images));
}

/// A mutation that can't be split is refused with an error instead of being left out.
#[test]
fn a_snapshot_that_would_lack_a_job_is_refused() {
    let mut state = empty_state();
    let mut large = JobSpec::clone(&spec("j-000001", "sweep", 1, "img-07"));
    large.types = Some((0..100).map(|number| format!("{number:0>199}")).collect());
    submit(&mut state, Arc::new(large));
    submit(&mut state, spec("j-000002", "sweep", 1, "img-07"));
    let error = codec::pack(&state.to_mutations(), SITE_VALUE_BYTES).unwrap_err();
    assert_eq!(error.kind, "Submit");
    assert!(error.bytes > SITE_VALUE_BYTES);
}

/// Restored tasks, completed tasks, finished jobs and machines, with names of any length and at
/// any size limit of a value that their parts fit into.
fn any_state() -> impl Strategy<Value = (ClusterState, usize)> {
    let sizes = (1_u32..400, 1_usize..150, 1_usize..120, 1_u32..4_000);
    (sizes, SMALL_VALUE_BYTES..20_000).prop_map(
        |((tasks, images, name_length, done), max_bytes)| {
            let mut state = empty_state();
            let machine = format!("i-{}", "m".repeat(name_length));
            let images = (0..images).map(|number| CachedImage {
                name: format!("{number}-{}", "k".repeat(name_length)).into(),
                size_gb: 0.0,
            });
            state.apply(adopt(&machine, images.collect()), 1, READ_MS);
            let mut next_revision = 2;
            for (id, tasks, is_completed) in [("j-000001", tasks, false), ("j-000002", done, true)]
            {
                submit(&mut state, spec(id, "sweep", tasks + 1, "img-07"));
                let indexes: Vec<u32> = (0..tasks).collect();
                start(&mut state, id, next_revision, &machine, &indexes);
                if is_completed {
                    complete(&mut state, id, next_revision, &indexes);
                }
                next_revision += 4;
            }
            for number in 0..tasks {
                let id = format!("j-1{number:05}");
                submit(&mut state, spec(&id, "sweep", 1, "img-07"));
                let cancel = Mutation::Cancel(id.as_str().into());
                state.apply(cancel, next_revision, READ_MS);
            }
            (state, max_bytes)
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Lists of any length are restored completely from values of any size limit.
    #[test]
    fn a_snapshot_restores_the_whole_state((state, max_bytes) in any_state()) {
        assert_equal(&restored(&state, max_bytes), &state);
    }
}
