use super::*;
use crate::keys;
use crate::mutation::{
    AssignTasks, MachineAddress, MachineAdopted, MachinesReady, MachinesUnreachable, Mutation,
    PlaceTasks, RentalFulfilled, RentedMachine, ShardTasks, StopTasks, SubmitJob, TaskOnMachine,
    TasksEnded, TasksStarted, UnassignTasks,
};
use crate::records::{AttemptOutcome, StopReason};
use rushwalk_protocol::store::WatchResponse;

fn spec(id: &str, shape: &str, tasks: u32) -> Arc<JobSpec> {
    let text = format!(
        r#"{{"uid":"{id}","lane":"a","crew":"red","shape":"{shape}","rank":"normal",
        "pieces":{tasks},"cpus":1,"gpus":1,"memoryGb":1,"kit":"i","sizeGb":1,
        "together":false,"spread":false,"loaners":true,"guessS":60,"waypointS":0,
        "stashS":0}}"#
    );
    Arc::new(JobSpec::parse(text.as_bytes()).unwrap())
}

fn submit(id: &str, shape: &str, tasks: u32, accepted_ms: UnixMillis) -> Mutation {
    Mutation::Submit(SubmitJob {
        spec: spec(id, shape, tasks),
        accepted_ms,
    })
}

fn adopt(machine: &str) -> Mutation {
    Mutation::MachineAdopted(MachineAdopted {
        machine: machine.into(),
        record: MachineRecord::rented("box".into(), "east".into(), false, "east".into(), 5),
    })
}

fn assign(job: &str, assigned_ms: UnixMillis, tasks: &[u32]) -> Mutation {
    let tasks = tasks.iter().map(|task| TaskOnMachine {
        task: *task,
        machine: "m-1".into(),
    });
    Mutation::Assign(AssignTasks {
        job: job.into(),
        assigned_ms,
        shards: vec![ShardTasks {
            shard: "east".into(),
            tasks: tasks.collect(),
        }],
    })
}

fn place(
    job: &str,
    attempt: Revision,
    placed_ms: UnixMillis,
    placements: &[(u32, &str)],
) -> Mutation {
    let tasks = placements.iter().map(|(task, machine)| TaskOnMachine {
        task: *task,
        machine: (*machine).into(),
    });
    Mutation::Place(PlaceTasks {
        job: job.into(),
        attempt,
        placed_ms,
        tasks: tasks.collect(),
    })
}

fn end(
    job: &str,
    attempt: Revision,
    ended_ms: UnixMillis,
    outcome: AttemptOutcome,
    task: u32,
) -> Mutation {
    Mutation::Ended(TasksEnded {
        job: job.into(),
        attempt,
        ended_ms,
        outcome,
        tasks: vec![task],
    })
}

/// A mutation with the revision at which it is committed.
type Committed = (Revision, Mutation);

/// A short history with jobs of all shapes, one of them cancelled; tasks that are assigned,
/// placed, completed and stopping; and an unreachable machine.
fn sample_history() -> Vec<Committed> {
    vec![
        (1, submit("j-1", "sweep", 3, 100)),
        (1, submit("j-2", "gang", 2, 110)),
        (1, submit("j-3", "standing", 1, 120)),
        (2, adopt("m-1")),
        (2, adopt("m-2")),
        (
            3,
            Mutation::MachinesReady(MachinesReady {
                ready_ms: 200,
                machines: vec![MachineAddress {
                    machine: "m-1".into(),
                    address: "10.0.0.9:9000".into(),
                }],
            }),
        ),
        (4, assign("j-1", 300, &[0, 1, 2])),
        (4, assign("j-2", 300, &[0, 1])),
        (4, assign("j-3", 300, &[0])),
        (5, place("j-1", 4, 310, &[(0, "m-1"), (1, "m-2")])),
        (5, place("j-3", 4, 310, &[(0, "m-2")])),
        (
            6,
            Mutation::Started(TasksStarted {
                job: "j-1".into(),
                attempt: 4,
                started_ms: 320,
                tasks: vec![0],
            }),
        ),
        (7, end("j-1", 4, 400, AttemptOutcome::Completed, 0)),
        (8, Mutation::Cancel("j-3".into())),
        (
            9,
            Mutation::Stop(StopTasks {
                job: "j-1".into(),
                attempt: 4,
                reason: StopReason::Straggler,
                tasks: vec![1],
            }),
        ),
        (
            9,
            Mutation::MachinesUnreachable(MachinesUnreachable {
                since_ms: 410,
                machines: vec!["m-2".into()],
            }),
        ),
    ]
}

fn empty() -> ClusterState {
    ClusterState::new(DurationEstimator::new(4, 1.0))
}

fn state_after(history: Vec<Committed>) -> ClusterState {
    let mut state = empty();
    for (revision, mutation) in history {
        state.apply(mutation, revision, 500);
    }
    state
}

/// The replicated state as text, so that two states can be compared.
fn state_text(state: &ClusterState) -> String {
    let mutations = state.to_mutations();
    let mut lines: Vec<String> = mutations.iter().map(|m| format!("{m:?}")).collect();
    lines.sort();
    // Placement hints are not stored in snapshots.
    lines.join("\n").replace("Some(\"m-1\") }", "None }")
}

#[test]
fn a_snapshot_restores_the_state() {
    let original = state_after(sample_history());
    let mutations = original.to_mutations().into_iter();
    let restored = state_after(mutations.map(|mutation| (9, mutation)).collect());
    assert_eq!(state_text(&original), state_text(&restored));
    for job in ["j-1", "j-2", "j-3"] {
        assert_eq!(original.job_status(job), restored.job_status(job));
    }
    assert_eq!(original.unplaced, restored.unplaced);
    assert_eq!(
        original.machines["m-2"].tasks,
        restored.machines["m-2"].tasks
    );
}

/// Guards against jobs that are counted twice when mutations are repeated. No other counts per
/// team exist, and they show whether at least half of a team's jobs start, which the service
/// levels demand for each day.
#[test]
fn jobs_are_counted_once_per_class_and_team() {
    let mut repeated = sample_history();
    repeated.extend(
        sample_history()
            .into_iter()
            .map(|(revision, mutation)| (revision + 20, mutation)),
    );
    for state in [state_after(sample_history()), state_after(repeated)] {
        let counts = state.service_counts.teams["red"];
        let main_counts = [
            counts.accepted,
            counts.started,
            counts.completed,
            counts.cancelled,
        ];
        assert_eq!((main_counts, counts.withdrawn), ([3, 1, 0, 1], 1));
        let least_served = state.service_counts.least_served_class().unwrap();
        assert_eq!((least_served.name, least_served.counts), ("a", counts));
        assert_eq!(
            counts.started_share(),
            0.5,
            "one of the two jobs that were not withdrawn"
        );
    }
}

/// Log entries can be committed late, twice, or by a former owner of a shard.
#[test]
fn mutations_whose_preconditions_no_longer_hold_do_nothing() {
    let before = state_text(&state_after(sample_history()));
    let stale = [
        submit("j-1", "sweep", 7, 90),
        // The job is cancelled: no task of it is assigned again.
        assign("j-3", 600, &[0]),
        // The attempt is not the current one; the task is already placed.
        place("j-1", 3, 600, &[(2, "m-1")]),
        place("j-1", 4, 600, &[(1, "m-1")]),
        // The machine does not exist; an existing machine was never marked for deletion.
        place("j-1", 4, 600, &[(2, "m-9")]),
        Mutation::MachinesDeleted(vec!["m-1".into()]),
        // The task has already ended; the attempt is not the current one.
        end("j-1", 4, 600, AttemptOutcome::Lost, 0),
        end("j-1", 2, 600, AttemptOutcome::Completed, 1),
        // The task is already placed.
        Mutation::Unassign(UnassignTasks {
            job: "j-1".into(),
            attempt: 4,
            tasks: vec![1],
        }),
        // A task of the gang is already assigned, and a gang is assigned as a whole.
        assign("j-2", 600, &[0]),
        Mutation::RentalFulfilled(RentalFulfilled {
            rental: "r-none".into(),
            machines: vec![RentedMachine {
                machine: "m-7".into(),
                shard: "east".into(),
            }],
        }),
    ];
    for mutation in stale {
        let mut state = state_after(sample_history());
        state.apply(mutation.clone(), 20, 700);
        assert_eq!(state_text(&state), before, "{mutation:?}");
    }
}

const RENT_1: &str = r#"{"R":["r-1",{"k":"box","z":"east","s":false,"n":2,"at":1}]}"#;
const RENT_2: &str = r#"{"R":["r-2",{"k":"box","z":"east","s":false,"n":2,"at":1}]}"#;

/// The response to a watch with one log entry. `previous` is the version that the entry's
/// key had before.
fn watch_response(
    revision: Revision,
    key: &str,
    previous: Revision,
    mutations: &str,
) -> WatchResponse {
    let text = format!(
        r#"{{"ledger":{revision},"events":[{{"write":"{key}","stamp":{revision},
        "v":{{"p":{previous},"o":[{mutations}]}}}}]}}"#
    );
    serde_json::from_str(&text).unwrap()
}

/// Keys of the log are reused. A replica that has missed an entry must detect this from the
/// next entry under the same key, or it would continue with an incomplete state.
#[test]
fn missed_entries_are_detected_and_overlapping_responses_are_applied_once() {
    let mut state = empty();
    let key = keys::log_entry("node-0", 3);
    let other_key = keys::log_entry("node-1", 0);
    let fulfilled = r#"{"M":["r-1",[["m-1","east"],["m-2","east"]]]}"#;
    let apply = |state: &mut ClusterState, response| {
        state.apply_watch(state.revision, response, 10).unwrap();
    };
    apply(&mut state, watch_response(5, &key, 0, RENT_1));
    apply(&mut state, watch_response(6, &other_key, 0, fulfilled));
    apply(&mut state, watch_response(5, &key, 0, RENT_1));
    assert_eq!((state.rentals.len(), state.machines.len()), (0, 2));
    assert!(!state.has_gap);
    apply(&mut state, watch_response(9, &key, 7, RENT_1));
    assert!(state.has_gap);
}

/// A record of an old or unknown format must be neither interpreted nor skipped: its key is
/// reported, and no decisions are made from the state.
#[test]
fn the_key_of_an_unreadable_record_is_reported() {
    for (key, value) in [
        ("w/t/j-1/0", r#"{"block":"east"}"#),
        ("w/l/node-0/0", r#"{"p":0,"o":[{"zz":[]}]}"#),
        ("w/g/east", "7"),
    ] {
        let text =
            format!(r#"{{"ledger":3,"events":[{{"write":"{key}","stamp":3,"v":{value}}}]}}"#);
        let mut state = empty();
        let response = serde_json::from_str(&text).unwrap();
        state.apply_watch(0, response, 10).unwrap();
        assert_eq!(state.unreadable.as_deref(), Some(key));
    }
}

/// A snapshot with a part of a job but not the job itself was taken for whole: the job's tasks ran
/// on while the controller did not know them. The next snapshot must be read.
#[test]
fn a_snapshot_that_lacks_a_job_is_refused_until_the_next_one() {
    let is_submit = |mutation: &Mutation| matches!(mutation, Mutation::Submit(_));
    let mutations = state_after(sample_history()).to_mutations();
    assert!(mutations.iter().any(is_submit));
    let kept = mutations.into_iter().filter(|m| !is_submit(m));
    let mut state = state_after(kept.map(|mutation| (9, mutation)).collect());
    assert_eq!(state.unreadable.as_deref(), Some(keys::SNAPSHOT_MANIFEST));
    let next = format!(
        r#"{{"ledger":12,"events":[{{"write":"{}","stamp":12,"v":{}}}]}}"#,
        keys::SNAPSHOT_MANIFEST,
        r#"{"at":11,"generation":2,"chunks":1}"#
    );
    state.revision = 11;
    let response = serde_json::from_str(&next).unwrap();
    state.apply_watch(11, response, 10).unwrap();
    assert!(state.has_gap, "the store is listed again");
}

/// While the store is listed, watches may advance the current state beyond the listing. If
/// the older listing then replaced the state, the next watch response would begin after the
/// listing, and the changes in between would be lost.
#[test]
fn older_listings_and_watches_with_a_gap_are_rejected() {
    let key = |n| keys::log_entry("node-0", n);
    let mut state = empty();
    assert!(
        state
            .apply_watch(0, watch_response(5, &key(0), 0, RENT_1), 10)
            .is_ok()
    );
    let mut older = empty();
    older.revision = 4;
    assert!(state.replace_with(older).is_err(), "the listing is older");
    assert_eq!((state.revision, state.rentals.len()), (5, 1));
    let gap = state.apply_watch(7, watch_response(8, &key(1), 0, RENT_2), 10);
    assert!(gap.is_err(), "the response begins after the state");
    assert_eq!((state.revision, state.rentals.len()), (5, 1));
    let mut newer = empty();
    newer.revision = 7;
    assert!(state.replace_with(newer).is_ok());
    assert!(
        state
            .apply_watch(7, watch_response(8, &key(1), 0, RENT_2), 10)
            .is_ok()
    );
    assert_eq!((state.revision, state.rentals.len()), (8, 1));
}
