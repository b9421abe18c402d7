//! Reserves resources for tasks that are already assigned, and assigns planned tasks that can
//! start now to the shards of their machines.

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

/// The largest number of tasks of a gang that is assigned with placement hints. The hint of a
/// task is the machine for which it is planned. A gang is assigned by a single mutation, which
/// with the hints of more tasks would exceed the smallest size limit of a store's values. A
/// larger gang is therefore assigned without hints, and the owners of its shards choose the
/// machines.
const MAX_GANG_WITH_HINTS: usize = 8 * MAX_BATCH;

/// Adds assigned tasks to the usage of their teams, and reserves places for those that the owner
/// of their shard has not placed yet.
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

/// A job for whose tasks places are being reserved.
struct ReservedJob<'a> {
    id: &'a JobId,
    pending: PendingJob,
}

/// Reserves places for assigned tasks that are not placed yet and have a placement hint.
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

/// Reserves a place for a task on the machine in its placement hint, if that machine is in the
/// round.
fn reserve_hinted_machine(round: &mut SchedulingRound, pending: &PendingJob, hint: &MachineId) {
    // The machines of the state come first, in the order of their names. Machines that are not
    // rented yet follow and have no name.
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

/// Assigns tasks that can start now to the shards of their machines. Leaves out tasks of shards
/// that accept no more work, for instance because the owner has failed or is suspected; a
/// gang with such a task is left out as a whole. The places of the tasks that are left out stay
/// reserved in this round, since it would cost more to rent other machines for them.
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
        let assignable = placements.iter().filter(|placement| {
            let shard = &*round.machines[placement.machine].shard;
            *accepting
                .entry(shard)
                .or_insert_with(|| accepts_more_work(shard))
        });
        let assignable: Vec<&Placement> = assignable.collect();
        let is_gang = job.spec.shape == Shape::Gang;
        if assignable.is_empty() || (is_gang && assignable.len() < placements.len()) {
            continue;
        }
        if is_gang {
            tracing::info!(job = &**id, tasks = placements.len(), "gang assigned");
        }
        let by_shard = by_shard(round, &assignable);
        mutations.extend(assignments(id, job.spec.shape, now_ms, by_shard));
    }
    mutations
}

/// Tasks to assign, with their planned machines, by shard.
type TasksByShard = BTreeMap<ShardId, Vec<TaskOnMachine>>;

/// Groups placements by the shards of their machines.
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

/// The mutations that assign a job's tasks to shards. Only a gang is assigned by a single
/// mutation; the tasks of other jobs are split into batches. Without batches, an array job with
/// free places for 900 tasks needed a mutation too large for a value of the store, so none of
/// its tasks started in any round while that many places were free.
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

/// The tasks of a gang by shard, without placement hints if there are more than
/// [`MAX_GANG_WITH_HINTS`].
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
