//! Assigned tasks in the plan, and the assignment of tasks that can start now to the shards
//! of their machines.

#[cfg(test)]
mod tests;

use crate::scheduler_inputs;
use rushwalk_protocol::ids::{JobId, MachineId, ShardId};
use rushwalk_protocol::jobs::Shape;
use rushwalk_scheduler::Resources;
use rushwalk_scheduler::round::{PendingJob, Placement, SchedulingDecisions, SchedulingRound};
use rushwalk_state::mutation::{AssignTasks, MAX_BATCH, ShardTasks, TaskOnMachine};
use rushwalk_state::records::MachineTypes;
use rushwalk_state::{AssignedTask, ClusterState, Mutation, UnixMillis};
use std::collections::BTreeMap;

/// The most tasks whose mutation, with their machines, fits the smallest value of the store. A
/// larger gang, which is assigned at once, is assigned without machines, and the owners of its
/// shards choose them.
const MAX_GANG_WITH_HINTS: usize = 8 * MAX_BATCH;

/// Counts assigned tasks into the usage, and plans places for those that the owner of their
/// shard has not placed yet.
pub(super) fn reserve_assigned(
    state: &ClusterState,
    types: &MachineTypes,
    round: &mut SchedulingRound,
) {
    for id in &state.jobs_with_tasks {
        let Some(job) = state.jobs.get(id) else {
            continue;
        };
        let resources = Resources::of_task(&job.spec);
        for _ in &job.tasks {
            round.usage.add(&job.spec.team, resources);
        }
    }
    reserve_unplaced(state, types, round);
}

/// A job whose tasks are being reserved.
struct ReservedJob<'a> {
    id: &'a JobId,
    pending: PendingJob,
}

/// Plans places for assigned tasks that are not placed yet.
fn reserve_unplaced(state: &ClusterState, types: &MachineTypes, round: &mut SchedulingRound) {
    let mut last: Option<ReservedJob> = None;
    for id in &state.unplaced {
        let Some(AssignedTask { job, task }) = state.task(id) else {
            continue;
        };
        let Some(hint) = &task.record.placement_hint else {
            continue;
        };
        let pending = match &last {
            Some(reserved) if *reserved.id == id.job => &reserved.pending,
            _ => {
                let pending = scheduler_inputs::pending_job(state, &job.spec, types);
                let id = &id.job;
                &last.insert(ReservedJob { id, pending }).pending
            }
        };
        reserve_hinted_machine(round, pending, hint);
    }
}

/// Plans a task on the machine for which it was assigned.
fn reserve_hinted_machine(round: &mut SchedulingRound, pending: &PendingJob, hint: &MachineId) {
    // Machines come in the order of their names.
    let index = round
        .machines
        .partition_point(|machine| !machine.name.is_empty() && *machine.name < **hint);
    let Some(machine) = round.machines.get(index) else {
        return;
    };
    if *machine.name != **hint {
        return;
    }
    if let Some(finish) = machine.predict(pending, round.planned_time_s) {
        round.machines.place(index, pending, &finish);
    }
}

/// Assigns tasks that can start now to the shards of their machines. Not to a shard that
/// takes no more work, whose owner has failed or is suspected: the place stays reserved for
/// this round, since renting another would cost more.
pub(super) fn assign(
    state: &ClusterState,
    round: &SchedulingRound,
    decisions: &SchedulingDecisions,
    now_ms: UnixMillis,
    accepts_more_work: impl Fn(&str) -> bool,
) -> Vec<Mutation> {
    let mut mutations = Vec::new();
    let mut accepting: BTreeMap<&str, bool> = BTreeMap::new();
    for placements in decisions.placements.chunk_by(|a, b| a.job == b.job) {
        let Some((id, job)) = state.jobs.get_key_value(&*placements[0].job) else {
            continue;
        };
        let open = placements.iter().filter(|placement| {
            let shard = &*round.machines[placement.machine].shard;
            *accepting
                .entry(shard)
                .or_insert_with(|| accepts_more_work(shard))
        });
        let open: Vec<&Placement> = open.collect();
        let is_gang = job.spec.shape == Shape::Gang;
        if open.is_empty() || (is_gang && open.len() < placements.len()) {
            continue;
        }
        if is_gang {
            tracing::info!(job = &**id, tasks = placements.len(), "gang assigned");
        }
        let by_shard = by_shard(round, &open);
        mutations.extend(assignments(id, job.spec.shape, now_ms, by_shard));
    }
    mutations
}

/// Tasks to assign, by shard.
type TasksByShard = BTreeMap<ShardId, Vec<TaskOnMachine>>;

fn by_shard(round: &SchedulingRound, placements: &[&Placement]) -> TasksByShard {
    let mut by_shard = TasksByShard::new();
    for placement in placements {
        let machine = &round.machines[placement.machine];
        let task = TaskOnMachine {
            task: placement.task,
            machine: machine.name.clone().into(),
        };
        let shard = ShardId::from(machine.shard.clone());
        by_shard.entry(shard).or_default().push(task);
    }
    by_shard
}

/// The mutations that assign a job's tasks to shards. An array's are split: with 900 places
/// free at a time its one mutation fitted no value, so none of it started, in any
/// round, for as long as there was room for so many.
fn assignments(
    id: &JobId,
    shape: Shape,
    assigned_ms: UnixMillis,
    by_shard: TasksByShard,
) -> Vec<Mutation> {
    let assign = |shards: Vec<ShardTasks>| {
        Mutation::Assign(AssignTasks {
            job: id.clone(),
            assigned_ms,
            shards,
        })
    };
    if shape == Shape::Gang {
        return vec![assign(gang_shards(by_shard))];
    }
    let mut mutations = Vec::new();
    for (shard, tasks) in by_shard {
        for batch in tasks.chunks(MAX_BATCH) {
            mutations.push(assign(vec![ShardTasks {
                shard: shard.clone(),
                tasks: batch.to_vec(),
            }]));
        }
    }
    mutations
}

fn gang_shards(by_shard: TasksByShard) -> Vec<ShardTasks> {
    let tasks: usize = by_shard.values().map(Vec::len).sum();
    let shards = by_shard.into_iter().map(|(shard, mut tasks_of_shard)| {
        if tasks > MAX_GANG_WITH_HINTS {
            for task in &mut tasks_of_shard {
                task.machine = "".into();
            }
        }
        ShardTasks {
            shard,
            tasks: tasks_of_shard,
        }
    });
    shards.collect()
}
