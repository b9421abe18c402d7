//! Maintenance of running jobs and existing machines: unassigns tasks that were not placed in
//! time, stops broken gangs, evicts tasks, and quarantines or deletes machines.

use crate::context::Context;
use crate::job_attempt::JobAttempt;
use crate::scheduler_inputs::{predicted_end, seconds};
use rushwalk_protocol::ids::{JobId, MachineId};
use rushwalk_protocol::jobs::Shape;
use rushwalk_state::mutation::{SetLifecycle, StopTasks, UnassignTasks, in_batches};
use rushwalk_state::records::{JobPhase, MachineLifecycle, MachineRecord, StopReason};
use rushwalk_state::{
    AssignedTask, ClusterState, JobState, MachineState, Mutation, TaskState, UnixMillis,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A machine is quarantined as faulty once this many jobs have failed on it without a task
/// completing in between. One or two failing jobs may have been submitted with a mistake.
const FAULTY_JOBS: usize = 3;

/// The number of scheduling rounds after which an assigned task is unassigned if the owner of
/// its shard has not placed it.
const STUCK_ROUNDS: f64 = 4.0;

/// The number of scheduling rounds after the announced time for which a reclaimed machine is kept,
/// since it may still exist.
const RECLAIM_ROUNDS: u64 = 3;

/// Why a machine is deleted without waiting for the tasks on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DeletionReason {
    /// The machine takes too long to boot.
    NotBooting,
    /// The cloud has reclaimed the machine.
    Reclaimed,
    /// The machine has been unreachable for too long.
    Unreachable,
}

/// An attempt whose tasks are stopped, with the reason.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct StoppedAttempt {
    attempt: JobAttempt,
    reason: StopReason,
}

/// The changes that one round of maintenance makes.
#[derive(Default)]
struct Changes {
    /// The indexes of the tasks to unassign.
    unassigned: BTreeMap<JobAttempt, Vec<u32>>,
    /// The indexes of the tasks to stop.
    stopped: BTreeMap<StoppedAttempt, Vec<u32>>,
    drained: Vec<MachineId>,
    deleted: Vec<MachineId>,
}

/// The mutations that maintain jobs and machines. `abandoned` are machines that take too long to
/// boot.
pub(super) fn maintenance(
    context: &Context,
    state: &ClusterState,
    abandoned: &BTreeSet<MachineId>,
    now_ms: UnixMillis,
) -> Vec<Mutation> {
    let mut changes = Changes::default();
    unassign_stuck_tasks(context, state, now_ms, &mut changes);
    stop_broken_gangs(state, &mut changes);
    for (id, machine) in &state.machines {
        let lifecycle = machine.record.lifecycle;
        if lifecycle == MachineLifecycle::Deleting {
            continue;
        }
        let reason = if abandoned.contains(id) {
            Some(DeletionReason::NotBooting)
        } else {
            deletion_reason(context, state, &machine.record, now_ms)
        };
        if let Some(reason) = reason {
            tracing::info!(machine = &**id, ?reason, "deleting machine");
            changes.deleted.push(id.clone());
            continue;
        }
        if lifecycle == MachineLifecycle::Active && should_be_drained(id, machine) {
            changes.drained.push(id.clone());
        }
        if lifecycle == MachineLifecycle::Draining {
            evict_tasks(state, machine, now_ms, &mut changes);
        }
    }
    changes.into_mutations()
}

/// Whether to drain a machine: it is faulty, or no task can be planned on it since its type is
/// unknown.
fn should_be_drained(id: &MachineId, machine: &MachineState) -> bool {
    if !machine.record.has_known_type() {
        tracing::info!(machine = &**id, "draining machine of unknown type");
        return true;
    }
    let is_faulty = machine.failed_jobs.len() >= FAULTY_JOBS;
    if is_faulty {
        tracing::info!(machine = &**id, jobs = ?machine.failed_jobs, "machine quarantined");
    }
    is_faulty
}

/// Unassigns tasks that the owner of their shard has not placed in time, because it found no
/// machine with room for them or has failed.
fn unassign_stuck_tasks(
    context: &Context,
    state: &ClusterState,
    now_ms: UnixMillis,
    changes: &mut Changes,
) {
    let stuck_s = STUCK_ROUNDS * context.timing.round.as_secs_f64();
    let stuck_ms = (stuck_s * 1000.0) as UnixMillis;
    for id in &state.unplaced {
        if let Some(AssignedTask { task, .. }) = state.task(id)
            && now_ms > task.record.scheduled_ms + stuck_ms
        {
            let attempt = JobAttempt {
                job: id.job.clone(),
                attempt: task.record.attempt,
            };
            changes
                .unassigned
                .entry(attempt)
                .or_default()
                .push(id.index);
        }
    }
}

/// Stops all tasks of each gang in which a task has ended or is stopping.
fn stop_broken_gangs(state: &ClusterState, changes: &mut Changes) {
    for id in &state.jobs_with_tasks {
        let Some(job) = state.jobs.get(id) else {
            continue;
        };
        if job.spec.shape != Shape::Gang || job.phase != JobPhase::Active {
            continue;
        }
        let is_missing_tasks = (job.tasks.len() as u32) < job.spec.tasks;
        let is_stopping = |task: &TaskState| task.record.stop_reason.is_some();
        if !is_missing_tasks && !job.tasks.values().any(is_stopping) {
            continue;
        }
        for (index, task) in &job.tasks {
            if !is_stopping(task) {
                changes.stop(id, task, *index, StopReason::GangBroken);
            }
        }
    }
}

/// Stops the tasks of a draining machine that should leave it.
fn evict_tasks(
    state: &ClusterState,
    machine: &MachineState,
    now_ms: UnixMillis,
    changes: &mut Changes,
) {
    for id in &machine.tasks {
        let Some(AssignedTask { job, task }) = state.task(id) else {
            continue;
        };
        let is_active = task.record.stop_reason.is_none() && job.phase == JobPhase::Active;
        if is_active && should_be_evicted(state, job, task, machine, now_ms) {
            changes.stop(&id.job, task, id.index, StopReason::Evicted);
        }
    }
}

/// Whether to evict a task from a draining machine. A service is always evicted. On a machine that
/// is to be reclaimed, any other task is evicted if it saves checkpoints or would not finish
/// before that. On a machine that is not reclaimed, it runs to its end.
fn should_be_evicted(
    state: &ClusterState,
    job: &JobState,
    task: &TaskState,
    machine: &MachineState,
    now_ms: UnixMillis,
) -> bool {
    if job.spec.shape == Shape::Service {
        return true;
    }
    machine.record.reclaim_ms.is_some_and(|reclaim_ms| {
        let end_s = predicted_end(state, job, task, machine, seconds(now_ms));
        job.spec.checkpoint_s > 0.0 || end_s > seconds(reclaim_ms)
    })
}

/// Why to delete a machine now; `None` to keep it.
fn deletion_reason(
    context: &Context,
    state: &ClusterState,
    machine: &MachineRecord,
    now_ms: UnixMillis,
) -> Option<DeletionReason> {
    let timing = &context.timing;
    if let Some(reclaim_ms) = machine.reclaim_ms
        && now_ms > reclaim_ms + timing.round.as_millis() as u64 * RECLAIM_ROUNDS
    {
        // The announced time is over: the machine is gone or will be very soon.
        return Some(DeletionReason::Reclaimed);
    }
    let unreachable_since_ms = machine.unreachable_since_ms?;
    // A single spot instance that becomes unreachable was mostly reclaimed without notice, so it
    // is deleted without delay. An on-demand machine rarely fails, and most machines of a shard
    // rarely fail together. In both cases a network partition is more likely, and the tasks behind
    // it continue. The machine is therefore kept until its worker lease has expired, and then for
    // one more lease, since it may return without tasks but with its cached images.
    let is_partitioned = state.shard_counts(&machine.shard).mostly_unreachable();
    let grace = if machine.spot && !is_partitioned {
        Duration::ZERO
    } else {
        2 * timing.worker_lease + timing.lease_validity
    };
    let is_grace_over = now_ms >= unreachable_since_ms + grace.as_millis() as u64;
    is_grace_over.then_some(DeletionReason::Unreachable)
}

impl Changes {
    fn stop(&mut self, job: &JobId, task: &TaskState, index: u32, reason: StopReason) {
        let attempt = JobAttempt {
            job: job.clone(),
            attempt: task.record.attempt,
        };
        let stopped = StoppedAttempt { attempt, reason };
        self.stopped.entry(stopped).or_default().push(index);
    }

    fn into_mutations(self) -> Vec<Mutation> {
        let mut mutations = Vec::new();
        for (JobAttempt { job, attempt }, tasks) in &self.unassigned {
            mutations.extend(in_batches(tasks, |tasks| {
                Mutation::Unassign(UnassignTasks {
                    job: job.clone(),
                    attempt: *attempt,
                    tasks,
                })
            }));
        }
        for (StoppedAttempt { attempt, reason }, tasks) in &self.stopped {
            mutations.extend(in_batches(tasks, |tasks| {
                Mutation::Stop(StopTasks {
                    job: attempt.job.clone(),
                    attempt: attempt.attempt,
                    reason: *reason,
                    tasks,
                })
            }));
        }
        mutations.extend(set_lifecycle(&self.drained, MachineLifecycle::Draining));
        mutations.extend(set_lifecycle(&self.deleted, MachineLifecycle::Deleting));
        mutations
    }
}

/// The mutations that set the lifecycle of machines, in batches.
fn set_lifecycle(
    machines: &[MachineId],
    lifecycle: MachineLifecycle,
) -> impl Iterator<Item = Mutation> {
    in_batches(machines, move |machines| {
        Mutation::SetLifecycle(SetLifecycle {
            lifecycle,
            machines,
        })
    })
}
