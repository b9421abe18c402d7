//! Broken gangs, assignments that no owner placed, evictions, and machines that are
//! quarantined or deleted.

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

/// So many jobs that fail on a machine, with none completing in between, show that it is
/// faulty; one or two may have been submitted with a mistake.
const FAULTY_JOBS: usize = 3;

/// Rounds after which an assigned task that its owner has not placed becomes unassigned.
const STUCK_ROUNDS: f64 = 4.0;

/// Rounds after its notice for which a reclaimed machine may still be there.
const RECLAIM_ROUNDS: u64 = 3;

/// Why a machine is deleted at once, with the tasks on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DeletionReason {
    /// It does not boot.
    NotBooting,
    /// The cloud has reclaimed it.
    Reclaimed,
    /// It has been unreachable for too long.
    Unreachable,
}

/// An attempt that is stopped, and why.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct StoppedAttempt {
    attempt: JobAttempt,
    reason: StopReason,
}

/// Tasks and machines that maintenance changes.
#[derive(Default)]
struct Changes {
    unassigned: BTreeMap<JobAttempt, Vec<u32>>,
    stopped: BTreeMap<StoppedAttempt, Vec<u32>>,
    quarantined: Vec<MachineId>,
    deleted: Vec<MachineId>,
}

/// The mutations that maintain jobs and machines. `abandoned` are machines that do not boot.
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
            tracing::info!(machine = &**id, ?reason, "machine given up");
            changes.deleted.push(id.clone());
            continue;
        }
        if lifecycle == MachineLifecycle::Active && machine.failed_jobs.len() >= FAULTY_JOBS {
            tracing::info!(machine = &**id, jobs = ?machine.failed_jobs, "machine quarantined");
            changes.quarantined.push(id.clone());
        }
        if lifecycle == MachineLifecycle::Draining {
            evict_tasks(state, machine, now_ms, &mut changes);
        }
    }
    changes.into_mutations()
}

/// Unassigns tasks that the owner of their shard has not placed in time: it found no room,
/// or has failed.
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

/// Stops all tasks of a gang of which a task has ended or is stopping.
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
        let is_open = task.record.stop_reason.is_none() && job.phase == JobPhase::Active;
        if is_open && must_leave(state, job, task, machine, now_ms) {
            changes.stop(&id.job, task, id.index, StopReason::Evicted);
        }
    }
}

/// Whether a task should leave a draining machine: a service always, others if the machine
/// is reclaimed and they save checkpoints, or would not be finished by then. On one that is
/// only to be returned they run to their end.
fn must_leave(
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
        // Its notice has run out: it is gone, or will be in a moment.
        return Some(DeletionReason::Reclaimed);
    }
    let unreachable_since_ms = machine.unreachable_since_ms?;
    // Spot instances whose heartbeats stop were mostly reclaimed without notice. Other machines
    // rarely fail, and whole shards rarely do: that is rather a network partition, behind
    // which the tasks continue. Until their leases expire they are kept, and after that the
    // machine may still return, empty but with its images.
    let is_partitioned = state.shard_counts(&machine.shard).mostly_unreachable();
    let grace = if machine.spot && !is_partitioned {
        Duration::ZERO
    } else {
        2 * timing.worker_lease + timing.lease_validity
    };
    let is_over = now_ms >= unreachable_since_ms + grace.as_millis() as u64;
    is_over.then_some(DeletionReason::Unreachable)
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
        mutations.extend(set_lifecycle(&self.quarantined, MachineLifecycle::Draining));
        mutations.extend(set_lifecycle(&self.deleted, MachineLifecycle::Deleting));
        mutations
    }
}

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
