//! A controller that starts from a snapshot must reach the same state as its peers, which have
//! applied the whole log: the effect of each later mutation depends on the state.

mod common;

use common::{snapshot, snapshot_contents};
use proptest::prelude::*;
use proptest::sample::{select, subsequence};
use rushwalk_protocol::jobs::JobSpec;
use rushwalk_scheduler::durations::DurationEstimator;
use rushwalk_state::mutation::{
    AssignTasks, MachineAdopted, MachinesUnreachable, PlaceTasks, ReclaimNotice, RentalFulfilled,
    RentedMachine, RequestRental, SetLifecycle, ShardTasks, StopTasks, SubmitJob, TaskOnMachine,
    TasksEnded, TasksStarted, UnassignTasks,
};
use rushwalk_state::records::{
    AttemptOutcome, MachineLifecycle, MachineRecord, RentalRequest, StopReason,
};
use rushwalk_state::{ClusterState, Mutation, Revision};
use std::collections::BTreeSet;
use std::sync::Arc;

const JOBS: [&str; 4] = ["j-1", "j-2", "j-3", "j-4"];
const SHAPES: [&str; 4] = ["sweep", "gang", "standing", "sweep"];
const MACHINES: [&str; 4] = ["m-1", "m-2", "m-3", "m-4"];
const RENTALS: [&str; 2] = ["r-1", "r-2"];
const SHARDS: [&str; 2] = ["east", "west"];
const TASKS: u32 = 3;

/// The time at which mutations are applied, long after the jobs have arrived, so that no arrivals
/// are recorded.
const NOW_MS: u64 = 10_000_000;

fn submit(index: usize) -> Mutation {
    let (id, shape) = (JOBS[index], SHAPES[index]);
    let text = format!(
        r#"{{"uid":"{id}","lane":"a","crew":"red","shape":"{shape}","rank":"normal",
        "pieces":{TASKS},"cpus":1,"gpus":1,"memoryGb":1,"kit":"i-{index}","sizeGb":1,
        "together":false,"spread":false,"loaners":true,"guessS":60,"waypointS":0,
        "stashS":0}}"#
    );
    Mutation::Submit(SubmitJob {
        spec: Arc::new(JobSpec::parse(text.as_bytes()).unwrap()),
        accepted_ms: 1,
    })
}

fn adopt(machine: &str, shard: &str) -> Mutation {
    Mutation::MachineAdopted(MachineAdopted {
        machine: machine.into(),
        record: MachineRecord::rented("box".into(), "east".into(), false, shard.into(), 5),
    })
}

fn on_machine(tasks: &[u32], machine: &str) -> Vec<TaskOnMachine> {
    let tasks = tasks.iter().map(|task| TaskOnMachine {
        task: *task,
        machine: machine.into(),
    });
    tasks.collect()
}

/// A change of a job's tasks in the attempt that began at a revision.
#[derive(Debug, Clone)]
struct TaskChange {
    job: &'static str,
    machine: &'static str,
    shard: &'static str,
    tasks: Vec<u32>,
    /// Which of the latest assignments began the attempt: 0 for the last one.
    attempt_age: usize,
    kind: u8,
}

impl TaskChange {
    fn mutation(&self, attempt: Revision) -> Mutation {
        let job = self.job.into();
        let tasks = self.tasks.clone();
        match self.kind {
            0..=4 => Mutation::Assign(AssignTasks {
                job,
                assigned_ms: 6,
                shards: vec![ShardTasks {
                    shard: self.shard.into(),
                    tasks: on_machine(&self.tasks, self.machine),
                }],
            }),
            5..=10 => Mutation::Place(PlaceTasks {
                job,
                attempt,
                placed_ms: 7,
                tasks: on_machine(&self.tasks, self.machine),
            }),
            11..=14 => Mutation::Started(TasksStarted {
                job,
                attempt,
                started_ms: 8,
                tasks,
            }),
            15 => Mutation::Stop(StopTasks {
                job,
                attempt,
                reason: StopReason::Evicted,
                tasks,
            }),
            16 => Mutation::Unassign(UnassignTasks {
                job,
                attempt,
                tasks,
            }),
            17 => Mutation::Cancel(job),
            ended => Mutation::Ended(TasksEnded {
                job,
                attempt,
                ended_ms: 9,
                outcome: match ended {
                    18 => AttemptOutcome::Lost,
                    19 => AttemptOutcome::Failed,
                    _ => AttemptOutcome::Completed,
                },
                tasks,
            }),
        }
    }
}

/// A mutation of the log, as it is drawn.
#[derive(Debug, Clone)]
enum Change {
    Task(TaskChange),
    Other(Mutation),
}

fn any_task_change() -> impl Strategy<Value = Change> {
    let tasks = subsequence(vec![0, 1, 2], 1..=3);
    (
        select(&JOBS),
        select(&MACHINES),
        select(&SHARDS),
        tasks,
        0_usize..3,
        0_u8..21,
    )
        .prop_map(|(job, machine, shard, tasks, attempt_age, kind)| {
            Change::Task(TaskChange {
                job,
                machine,
                shard,
                tasks,
                attempt_age,
                kind,
            })
        })
}

fn any_machine_change() -> impl Strategy<Value = Change> {
    (
        select(&MACHINES),
        select(&SHARDS),
        select(&RENTALS),
        0_u8..12,
    )
        .prop_map(|(machine, shard, rental, kind)| {
            Change::Other(match kind {
                0..=3 => adopt(machine, shard),
                4 => Mutation::RequestRental(RequestRental {
                    rental: rental.into(),
                    request: RentalRequest {
                        machine_type: "box".into(),
                        zone: "east".into(),
                        spot: true,
                        count: 1,
                        requested_ms: 4,
                    },
                }),
                5 => Mutation::RentalFulfilled(RentalFulfilled {
                    rental: rental.into(),
                    machines: vec![RentedMachine {
                        machine: machine.into(),
                        shard: shard.into(),
                    }],
                }),
                6 => Mutation::RentalRefused(rental.into()),
                7 => Mutation::ReclaimNotice(ReclaimNotice {
                    machine: machine.into(),
                    reclaim_ms: 99,
                }),
                8 => Mutation::MachinesUnreachable(MachinesUnreachable {
                    since_ms: 9,
                    machines: vec![machine.into()],
                }),
                9 => Mutation::MachinesReachable(vec![machine.into()]),
                10 => Mutation::SetLifecycle(SetLifecycle {
                    lifecycle: MachineLifecycle::Deleting,
                    machines: vec![machine.into()],
                }),
                _ => Mutation::MachinesDeleted(vec![machine.into()]),
            })
        })
}

fn any_change() -> impl Strategy<Value = Change> {
    prop_oneof![
        1 => (0..JOBS.len()).prop_map(|index| Change::Other(submit(index))),
        4 => any_task_change(),
        1 => any_machine_change(),
    ]
}

/// The log: all jobs and half of the machines, then drawn mutations.
fn log(changes: Vec<Change>) -> Vec<Mutation> {
    let mut mutations: Vec<Mutation> = (0..JOBS.len()).map(submit).collect();
    mutations.extend([adopt("m-1", "east"), adopt("m-2", "west")]);
    let mut attempts: Vec<Revision> = Vec::new();
    for change in changes {
        let revision = mutations.len() as Revision + 1;
        mutations.push(match change {
            Change::Other(mutation) => mutation,
            Change::Task(change) => {
                let index = attempts.len().checked_sub(change.attempt_age + 1);
                let attempt = index.map_or(0, |index| attempts[index]);
                change.mutation(attempt)
            }
        });
        if let Some(Mutation::Assign(_)) = mutations.last() {
            attempts.push(revision);
        }
    }
    mutations
}

/// Applies the mutations of a log from an index on, each at a revision of its own.
fn apply_from(state: &mut ClusterState, log: &[Mutation], first: usize) {
    for (index, mutation) in log.iter().enumerate().skip(first) {
        state.apply(mutation.clone(), index as Revision + 1, NOW_MS);
    }
}

/// The state that a controller restores from a snapshot with small values.
fn restored(state: &ClusterState, revision: Revision) -> ClusterState {
    let entries = snapshot(&state.to_mutations(), 600, revision);
    ClusterState::from_listing(entries, revision + 1, NOW_MS).unwrap()
}

/// Everything of a state on which the effect of a mutation depends.
fn contents(state: &ClusterState) -> BTreeSet<String> {
    let mut texts = snapshot_contents(state);
    for (id, machine) in &state.machines {
        texts.insert(format!("{id:?}: {:?}", machine.tasks));
    }
    for shard in SHARDS {
        let machines = state.shards.get(shard).filter(|set| !set.is_empty());
        texts.insert(format!(
            "{shard}: {machines:?} {:?}",
            state.shard_counts(shard)
        ));
    }
    texts.insert(format!("queue {:?}", state.queue));
    texts.insert(format!("unplaced {:?}", state.unplaced));
    texts.insert(format!("with tasks {:?}", state.jobs_with_tasks));
    texts
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against a part of the state that a snapshot lacks.
    #[test]
    fn a_snapshot_at_any_revision_leads_to_the_same_state(
        changes in prop::collection::vec(any_change(), 0..120),
        cut in 0.0..1.0_f64,
    ) {
        let log = log(changes);
        let first = (cut * log.len() as f64) as usize;
        let mut state = ClusterState::new(DurationEstimator::new(10, 0.0));
        apply_from(&mut state, &log[..first], 0);
        let mut restarted = restored(&state, first as Revision);
        apply_from(&mut state, &log, first);
        apply_from(&mut restarted, &log, first);
        let (expected, actual) = (contents(&state), contents(&restarted));
        let difference: Vec<_> = actual.symmetric_difference(&expected).collect();
        prop_assert!(difference.is_empty(), "{difference:#?}");
    }
}
