//! Placement of tasks on machines by the owner of the shard that they are assigned to.

use crate::clock::now_ms;
use crate::context::Context;
use crate::job_attempt::JobAttempt;
use crate::scheduler_inputs::{self, TimelineInputs};
use rushwalk_protocol::ids::{MachineId, ShardId, TaskId};
use rushwalk_protocol::jobs::{Priority, Shape};
use rushwalk_scheduler::round::SchedulingRound;
use rushwalk_state::mutation::{PlaceTasks, TaskOnMachine, in_batches};
use rushwalk_state::records::{MachineLifecycle, MachineTypes};
use rushwalk_state::{AssignedTask, ClusterState, Mutation, Revision, UnixMillis};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An assigned task that is not placed yet. The order of the fields is the order of placement.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingTask {
    priority: Priority,
    accepted_ms: UnixMillis,
    task: TaskId,
}

/// Placed tasks by job and attempt.
type Placements = BTreeMap<JobAttempt, Vec<TaskOnMachine>>;

/// Mutations that place the tasks assigned to the owned shards; empty while the machine types
/// are not known.
pub(super) fn placements(
    context: &Context,
    state: &ClusterState,
    owned: &BTreeMap<ShardId, Revision>,
) -> Vec<Mutation> {
    let Some(types) = state.machine_types.clone() else {
        return Vec::new();
    };
    let now_ms = now_ms();
    let zones = scheduler_inputs::zones(&types, &context.settings.site);
    let mut placements = Placements::new();
    for (shard, mut tasks) in waiting_tasks(state, owned) {
        tasks.sort();
        let inputs = TimelineInputs {
            state,
            types: &types,
            zones: &zones,
            now_s: scheduler_inputs::seconds(now_ms),
        };
        let mut round = round_of_shard(context, &inputs, shard);
        // Tasks of the same job are adjacent after sorting, and are placed together.
        for tasks in tasks.chunk_by(|a, b| a.task.job == b.task.job) {
            place_tasks_of_job(state, &types, &mut round, tasks, &mut placements);
        }
    }
    let mut mutations = Vec::new();
    for (JobAttempt { job, attempt }, tasks) in &placements {
        mutations.extend(in_batches(tasks, |tasks| {
            Mutation::Place(PlaceTasks {
                job: job.clone(),
                attempt: *attempt,
                placed_ms: now_ms,
                tasks,
            })
        }));
    }
    mutations
}

/// The tasks that are assigned to the owned shards and not placed, by shard. Tasks of a gang
/// are left out until all tasks of the gang are assigned.
fn waiting_tasks<'a>(
    state: &'a ClusterState,
    owned: &BTreeMap<ShardId, Revision>,
) -> BTreeMap<&'a ShardId, Vec<WaitingTask>> {
    let mut by_shard: BTreeMap<&ShardId, Vec<WaitingTask>> = BTreeMap::new();
    for id in &state.unplaced {
        let Some(AssignedTask { job, task }) = state.task(id) else {
            continue;
        };
        let may_be_placed =
            job.spec.shape != Shape::Gang || job.tasks.len() == job.spec.tasks as usize;
        if may_be_placed && owned.contains_key(&task.record.shard) {
            let waiting = WaitingTask {
                priority: job.spec.priority,
                accepted_ms: job.accepted_ms,
                task: id.clone(),
            };
            by_shard
                .entry(&task.record.shard)
                .or_default()
                .push(waiting);
        }
    }
    by_shard
}

/// A scheduling round over the usable machines of a shard: those that are active, ready and
/// not unreachable.
fn round_of_shard<'a>(
    context: &'a Context,
    inputs: &TimelineInputs,
    shard: &ShardId,
) -> SchedulingRound<'a> {
    let state = inputs.state;
    let machines = state.shards.get(shard);
    let zones = inputs.zones.to_vec();
    let count = machines.map_or(0, BTreeSet::len);
    let mut round = scheduler_inputs::empty_round(context, inputs.now_s, zones, count);
    for id in machines.into_iter().flatten() {
        let Some(machine) = state.machines.get(id) else {
            continue;
        };
        let record = &machine.record;
        let is_usable = record.lifecycle == MachineLifecycle::Active
            && record.ready_ms.is_some()
            && record.unreachable_since_ms.is_none();
        if is_usable && let Some(timeline) = inputs.timeline(id, machine, inputs.now_s) {
            round.machines.push(timeline);
        }
    }
    round
}

/// Places `tasks`, which belong to one job, on machines of `round`, as far as they can start
/// now.
fn place_tasks_of_job(
    state: &ClusterState,
    types: &MachineTypes,
    round: &mut SchedulingRound,
    tasks: &[WaitingTask],
    placements: &mut Placements,
) {
    let id = &tasks[0].task.job;
    let Some(job) = state.jobs.get(id) else {
        return;
    };
    let mut pending = scheduler_inputs::pending_job(state, &job.spec, types);
    pending.tasks = tasks.iter().map(|waiting| waiting.task.index).collect();
    pending.avoided_machines = machine_names(&job.failures.machines);
    let hint = |waiting: &WaitingTask| -> Option<Arc<str>> {
        let task = job.tasks.get(&waiting.task.index)?;
        Some(task.record.placement_hint.clone()?.into())
    };
    let hints: Vec<Option<Arc<str>>> = tasks.iter().map(hint).collect();
    for assignment in round.start_now(&pending, &hints) {
        let Some(task) = job.tasks.get(&assignment.task) else {
            continue;
        };
        let key = JobAttempt {
            job: id.clone(),
            attempt: task.record.attempt,
        };
        let machine = MachineId::from(round.machines[assignment.machine].name.clone());
        let placed = TaskOnMachine {
            task: assignment.task,
            machine,
        };
        placements.entry(key).or_default().push(placed);
    }
}

/// Machine ids as the strings by which the scheduler identifies machines.
fn machine_names(machines: &[MachineId]) -> Vec<Arc<str>> {
    machines.iter().map(|id| id.clone().into()).collect()
}
