//! Reserves resources for tasks that are already assigned, and assigns planned tasks that can
//! start now to the shards of their machines.

#[cfg(test)]
mod tests;

use crate::scheduler_inputs;
use rushwalk_protocol::ids::{JobId, MachineId, ShardId};
use rushwalk_protocol::jobs::{JobSpec, Shape};
use rushwalk_scheduler::Resources;
use rushwalk_scheduler::round::{PendingJob, Placement, SchedulingDecisions, SchedulingRound};
use rushwalk_state::codec::packed_size;
use rushwalk_state::mutation::{AssignTasks, MAX_BATCH, ShardTasks, TaskOnMachine};
use rushwalk_state::records::MachineTypes;
use rushwalk_state::{AssignedTask, ClusterState, Mutation, UnixMillis};
use std::collections::BTreeMap;

/// The machine in the assignment of a task for which none is planned.
const NO_HINT: &str = "";

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

/// Properties that all assignments of a scheduling round share.
pub(super) struct AssignmentContext {
    /// When the tasks are assigned.
    pub(super) assigned_ms: UnixMillis,
    /// The size limit of a mutation in bytes.
    pub(super) max_bytes: usize,
}

/// Assigns tasks that can start now to the shards of their machines. Leaves out tasks of shards
/// that accept no more work, for instance because the owner has failed or is suspected; a
/// gang with such a task is left out as a whole. The places of the tasks that are left out stay
/// reserved in this round, since it would cost more to rent other machines for them.
pub(super) fn assign(
    state: &ClusterState,
    round: &SchedulingRound,
    decisions: &SchedulingDecisions,
    context: &AssignmentContext,
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
        mutations.extend(context.assignments(id, job.spec.shape, by_shard));
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

impl AssignmentContext {
    /// The mutations that assign a job's tasks to shards. Only a gang is assigned by a single
    /// mutation; the tasks of other jobs are split into batches. Without batches, an array job with
    /// free places for 900 tasks needed a mutation too large for a value of the store, so none of
    /// its tasks started in any round while that many places were free.
    fn assignments(&self, id: &JobId, shape: Shape, by_shard: TasksByShard) -> Vec<Mutation> {
        if shape == Shape::Gang {
            return vec![self.gang_assignment(id, by_shard)];
        }
        let mut mutations = Vec::new();
        for (shard, tasks) in by_shard {
            for batch in tasks.chunks(MAX_BATCH) {
                self.assign_batch(id, &shard, batch, &mut mutations);
            }
        }
        mutations
    }

    /// Assigns tasks to one shard, by as many mutations as the size limit requires.
    fn assign_batch(
        &self,
        id: &JobId,
        shard: &ShardId,
        tasks: &[TaskOnMachine],
        mutations: &mut Vec<Mutation>,
    ) {
        let shards = vec![ShardTasks {
            shard: shard.clone(),
            tasks: tasks.to_vec(),
        }];
        let mutation = assignment(id, self.assigned_ms, shards);
        if tasks.len() > 1 && packed_size(&mutation) > self.max_bytes {
            let (first, second) = tasks.split_at(tasks.len() / 2);
            self.assign_batch(id, shard, first, mutations);
            self.assign_batch(id, shard, second, mutations);
        } else {
            mutations.push(mutation);
        }
    }

    /// Assigns a gang, with placement hints if the size limit allows it. The hint of a task is the
    /// machine for which it is planned; without hints, the owners of the shards choose machines.
    fn gang_assignment(&self, id: &JobId, by_shard: TasksByShard) -> Mutation {
        let mut shards: Vec<ShardTasks> = by_shard
            .into_iter()
            .map(|(shard, tasks)| ShardTasks { shard, tasks })
            .collect();
        let mutation = assignment(id, self.assigned_ms, shards.clone());
        if packed_size(&mutation) <= self.max_bytes {
            return mutation;
        }
        for task in shards.iter_mut().flat_map(|shard| &mut shard.tasks) {
            task.machine = NO_HINT.into();
        }
        assignment(id, self.assigned_ms, shards)
    }
}

fn assignment(id: &JobId, assigned_ms: UnixMillis, shards: Vec<ShardTasks>) -> Mutation {
    Mutation::Assign(AssignTasks {
        job: id.clone(),
        assigned_ms,
        shards,
    })
}

/// The largest mutation that may have to assign a gang: without placement hints, and with tasks in
/// as many of these shards as possible.
pub(crate) fn largest_gang_assignment(spec: &JobSpec, shards: Vec<ShardId>) -> Mutation {
    let mut by_shard: Vec<ShardTasks> = shards
        .into_iter()
        .take(spec.tasks as usize)
        .map(|shard| ShardTasks {
            shard,
            tasks: Vec::new(),
        })
        .collect();
    if by_shard.is_empty() {
        by_shard.push(ShardTasks {
            shard: "".into(),
            tasks: Vec::new(),
        });
    }
    let shard_count = by_shard.len();
    let no_hint = MachineId::from(NO_HINT);
    for task in 0..spec.tasks {
        let task_on_machine = TaskOnMachine {
            task,
            machine: no_hint.clone(),
        };
        by_shard[task as usize % shard_count]
            .tasks
            .push(task_on_machine);
    }
    assignment(&spec.id.as_str().into(), UnixMillis::MAX, by_shard)
}
