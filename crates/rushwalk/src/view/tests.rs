use super::*;
use rushwalk_protocol::records::{
    AttemptOutcome, MachineLifecycle, Mutation, StopReason, entry_key,
};

fn spec(uid: &str, shape: &str, tasks: u32) -> Arc<JobSpec> {
    let text = format!(
        r#"{{"uid":"{uid}","lane":"a","crew":"red","shape":"{shape}","rank":"normal",
        "pieces":{tasks},"cpus":1,"gpus":1,"memoryGb":1,"kit":"i","sizeGb":1,
        "together":false,"spread":false,"loaners":true,"guessS":60,"waypointS":0,
        "stashS":0}}"#
    );
    Arc::new(JobSpec::parse(text.as_bytes()).unwrap())
}

fn machine(block: &str) -> MachineRecord {
    MachineRecord {
        machine_type: "box".into(),
        zone: "east".into(),
        spot: false,
        shard: block.into(),
        lifecycle: MachineLifecycle::Active,
        rented_ms: 5,
        ready_ms: None,
        address: "".into(),
        images: Vec::new(),
        reclaim_ms: None,
        unreachable_since_ms: None,
    }
}

/// A day in a few changes: (revision, change).
fn day() -> Vec<(u64, Mutation)> {
    let east = |tasks: &[u32]| {
        let tasks = tasks.iter().map(|i| (*i, "m-1".into())).collect();
        vec![("east".into(), tasks)]
    };
    vec![
        (1, Mutation::Submit(spec("j-1", "sweep", 3), 100)),
        (1, Mutation::Submit(spec("j-2", "gang", 2), 110)),
        (1, Mutation::Submit(spec("j-3", "standing", 1), 120)),
        (2, Mutation::MachineAdopted("m-1".into(), machine("east"))),
        (2, Mutation::MachineAdopted("m-2".into(), machine("east"))),
        (
            3,
            Mutation::MachinesReady(200, vec![("m-1".into(), "10.0.0.9:9000".into())]),
        ),
        (4, Mutation::Assign("j-1".into(), 300, east(&[0, 1, 2]))),
        (4, Mutation::Assign("j-2".into(), 300, east(&[0, 1]))),
        (4, Mutation::Assign("j-3".into(), 300, east(&[0]))),
        (
            5,
            Mutation::Place(
                "j-1".into(),
                4,
                310,
                vec![(0, "m-1".into()), (1, "m-2".into())],
            ),
        ),
        (
            5,
            Mutation::Place("j-3".into(), 4, 310, vec![(0, "m-2".into())]),
        ),
        (6, Mutation::Started("j-1".into(), 4, 320, vec![0])),
        (
            7,
            Mutation::Ended("j-1".into(), 4, 400, AttemptOutcome::Completed, vec![0]),
        ),
        (8, Mutation::Cancel("j-3".into())),
        (
            9,
            Mutation::Stop("j-1".into(), 4, StopReason::Straggler, vec![1]),
        ),
        (9, Mutation::MachinesUnreachable(410, vec!["m-2".into()])),
    ]
}

fn view(day: Vec<(u64, Mutation)>) -> ClusterState {
    let mut view = ClusterState::new(DurationEstimator::new(4, 1.0));
    day.into_iter().for_each(|(at, op)| view.apply(op, at, 500));
    view
}

fn told(view: &ClusterState) -> String {
    let mut lines: Vec<String> = view
        .to_mutations()
        .iter()
        .map(|op| format!("{op:?}"))
        .collect();
    lines.sort();
    // What the leader had in mind is not kept.
    lines.join("\n").replace("Some(\"m-1\") }", "None }")
}

#[test]
fn a_snapshot_makes_the_same_view() {
    let first = view(day());
    let second = view(first.to_mutations().into_iter().map(|op| (9, op)).collect());
    assert_eq!(told(&first), told(&second));
    for uid in ["j-1", "j-2", "j-3"] {
        assert_eq!(first.job_status(uid), second.job_status(uid));
    }
    assert_eq!(first.unplaced, second.unplaced);
    assert_eq!(first.machines["m-2"].tasks, second.machines["m-2"].tasks);
}

/// Teams are seen nowhere else, and less than half of one served fails a day.
#[test]
fn who_is_served_is_counted_once_by_class_and_by_team() {
    let mut twice = day();
    twice.extend(day().into_iter().map(|(at, op)| (at + 20, op)));
    for view in [view(day()), view(twice)] {
        let count = view.service_counts.teams["red"];
        let all = [
            count.accepted,
            count.started,
            count.completed,
            count.cancelled,
        ];
        assert_eq!((all, count.withdrawn), ([3, 1, 0, 1], 1));
        assert_eq!(view.service_counts.least_served()[0], Some(("a", count)));
        assert_eq!(
            count.started_share(),
            0.5,
            "one of two that were not withdrawn"
        );
    }
}

/// Entries may come late, twice, or from a holder that was replaced.
#[test]
fn changes_whose_ground_has_moved_do_nothing() {
    let before = told(&view(day()));
    let stale = [
        Mutation::Submit(spec("j-1", "sweep", 7), 90),
        // Cancelled: not placed, not assigned any more.
        Mutation::Assign(
            "j-3".into(),
            600,
            vec![("east".into(), vec![(0, "m-1".into())])],
        ),
        // Another attempt, or placed already.
        Mutation::Place("j-1".into(), 3, 600, vec![(2, "m-1".into())]),
        Mutation::Place("j-1".into(), 4, 600, vec![(1, "m-1".into())]),
        // No such machine; one whose deletion was never intended.
        Mutation::Place("j-1".into(), 4, 600, vec![(2, "m-9".into())]),
        Mutation::MachinesDeleted(vec!["m-1".into()]),
        // Over already, or not this attempt.
        Mutation::Ended("j-1".into(), 4, 600, AttemptOutcome::Lost, vec![0]),
        Mutation::Ended("j-1".into(), 2, 600, AttemptOutcome::Completed, vec![1]),
        Mutation::Unassign("j-1".into(), 4, vec![1]),
        // A gang is assigned whole or not at all.
        Mutation::Assign(
            "j-2".into(),
            600,
            vec![("east".into(), vec![(0, "m-1".into())])],
        ),
        Mutation::RentalFulfilled("r-none".into(), vec![("m-7".into(), "east".into())]),
    ];
    for op in stale {
        let mut view = view(day());
        view.apply(op.clone(), 20, 700);
        assert_eq!(told(&view), before, "{op:?}");
    }
}

fn changes(revision: u64, key: &str, before: u64, ops: &str) -> WatchResponse {
    let text = format!(
        r#"{{"ledger":{revision},"events":[{{"write":"{key}","stamp":{revision},
        "v":{{"p":{before},"o":[{ops}]}}}}]}}"#
    );
    serde_json::from_str(&text).unwrap()
}

/// A key of the log is used again; who has not seen all its entries must
/// not go on as if it had.
#[test]
fn a_missed_entry_is_noticed_and_overlapping_answers_count_once() {
    let mut view = ClusterState::new(DurationEstimator::new(4, 1.0));
    let key = entry_key("node-0", 3);
    let rent = r#"{"R":["r-1",{"k":"box","z":"east","s":false,"n":2,"at":1}]}"#;
    let rented = r#"{"M":["r-1",[["m-1","east"],["m-2","east"]]]}"#;
    view.apply_watch(view.revision, changes(5, &key, 0, rent), 10);
    view.apply_watch(
        view.revision,
        changes(6, &entry_key("node-1", 0), 0, rented),
        10,
    );
    view.apply_watch(view.revision, changes(5, &key, 0, rent), 10);
    assert_eq!((view.rentals.len(), view.machines.len()), (0, 2));
    assert!(!view.has_gap);
    view.apply_watch(view.revision, changes(9, &key, 7, rent), 10);
    assert!(view.has_gap);
}

/// Old records, or nonsense, must neither be guessed at nor skipped.
#[test]
fn a_record_of_another_layout_is_named() {
    for (key, value) in [
        ("w/t/j-1/0", r#"{"block":"east"}"#),
        ("w/l/node-0/0", r#"{"p":0,"o":[{"zz":[]}]}"#),
        ("w/g/east", "7"),
    ] {
        let text =
            format!(r#"{{"ledger":3,"events":[{{"write":"{key}","stamp":3,"v":{value}}}]}}"#);
        let mut view = ClusterState::new(DurationEstimator::new(4, 1.0));
        view.apply_watch(0, serde_json::from_str(&text).unwrap(), 10);
        assert_eq!(view.unreadable.as_deref(), Some(key));
    }
}

/// A listing takes a while: the view may have gone further meanwhile, and a read that began
/// there would leave a gap in what the listing shows.
#[test]
fn no_view_goes_back_or_has_a_gap() {
    let rent = r#"{"R":["r-1",{"k":"box","z":"east","s":false,"n":2,"at":1}]}"#;
    let key = |n| entry_key("node-0", n);
    let mut view = ClusterState::new(DurationEstimator::new(4, 1.0));
    assert!(view.apply_watch(0, changes(5, &key(0), 0, rent), 10));
    let mut older = ClusterState::new(DurationEstimator::new(4, 1.0));
    older.revision = 4;
    assert!(view.replace_with(older).is_err(), "older");
    assert_eq!((view.revision, view.rentals.len()), (5, 1));
    let late = r#"{"R":["r-2",{"k":"box","z":"east","s":false,"n":2,"at":1}]}"#;
    assert!(
        !view.apply_watch(7, changes(8, &key(1), 0, late), 10),
        "a gap"
    );
    assert_eq!((view.revision, view.rentals.len()), (5, 1));
    let mut newer = ClusterState::new(DurationEstimator::new(4, 1.0));
    newer.revision = 7;
    assert!(view.replace_with(newer).is_ok());
    assert!(view.apply_watch(7, changes(8, &key(1), 0, late), 10));
    assert_eq!((view.revision, view.rentals.len()), (8, 1));
}
