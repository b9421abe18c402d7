//! The queue of pending jobs, those with tasks that are neither assigned nor completed, in the
//! order in which they are planned.

use crate::context::Context;
use crate::scheduler_inputs::{self, seconds};
use rushwalk_protocol::ids::JobId;
use rushwalk_protocol::jobs::{Priority, Shape};
use rushwalk_protocol::settings::Team;
use rushwalk_scheduler::Resources;
use rushwalk_scheduler::deadlines::{TaskDurations, latest_useful_start};
use rushwalk_scheduler::quota::{QuotaUsage, TasksPerZone};
use rushwalk_scheduler::retry::{FailureSummary, RetryDecision, retry_decision};
use rushwalk_scheduler::round::PendingJob;
use rushwalk_state::cluster_state::QueueKey;
use rushwalk_state::records::MachineTypes;
use rushwalk_state::{ClusterState, JobState, UnixMillis};
use std::sync::Arc;

/// A round plans at most as many tasks of one job as there are machines, or this many if there
/// are fewer machines. The remaining tasks are planned in later rounds. Gangs have no such
/// limit, as they are planned as a whole.
pub(super) const MIN_TASK_LIMIT: usize = 160;

/// A job avoids the machines on which it failed, unless there are more than this: then the
/// machines are unlikely to be the cause.
const MAX_AVOIDED_MACHINES: usize = 3;

/// A job with the keys by which the queue is sorted.
struct QueuedJob {
    priority: Priority,
    /// The time by which the job should start, in seconds since the Unix epoch.
    start_by_s: f64,
    accepted_ms: UnixMillis,
    id: JobId,
}

/// The pending jobs with the tasks to plan in this round: by priority, then by the time by which
/// they should start, then by arrival.
pub(super) fn pending_jobs(
    context: &Context,
    state: &mut ClusterState,
    types: &MachineTypes,
    now_ms: UnixMillis,
) -> Vec<PendingJob> {
    let mut queued = queued_jobs(context, state, types, now_ms);
    queued.sort_by(|a, b| {
        (a.priority.cmp(&b.priority))
            .then(a.start_by_s.total_cmp(&b.start_by_s))
            .then(a.accepted_ms.cmp(&b.accepted_ms))
    });
    let mut pending = Vec::new();
    for job in queued {
        pending.extend(pending_job(context, state, types, now_ms, &job.id));
    }
    pending
}

/// The jobs with tasks that are neither assigned nor completed, in the order of arrival.
fn queued_jobs(
    context: &Context,
    state: &ClusterState,
    types: &MachineTypes,
    now_ms: UnixMillis,
) -> Vec<QueuedJob> {
    let site = &context.settings.site;
    // The resources of the unfinished jobs that arrived earlier, per team.
    let mut unfinished = QuotaUsage::default();
    let mut by_arrival: Vec<&QueueKey> = state.queue.iter().collect();
    by_arrival.sort_unstable_by_key(|key| (key.accepted_ms, &key.job));
    let mut queued = Vec::new();
    for key in by_arrival {
        let Some(job) = state.jobs.get(&key.job) else {
            continue;
        };
        let guaranteed = is_within_guarantee(&site.teams, &mut unfinished, job);
        if job.tasks.len() as u32 + job.completed.count() >= job.spec.tasks {
            continue;
        }
        let durations = task_durations(state, job, types, guaranteed);
        queued.push(QueuedJob {
            priority: job.spec.priority,
            start_by_s: latest_useful_start(
                &job.spec,
                seconds(job.accepted_ms),
                seconds(now_ms),
                durations,
                &site.objectives,
            ),
            accepted_ms: job.accepted_ms,
            id: key.job.clone(),
        });
    }
    queued
}

/// Whether a job fits into its team's guaranteed resources together with the `unfinished` jobs
/// that arrived earlier. Adds the job to them.
fn is_within_guarantee(teams: &[Team], unfinished: &mut QuotaUsage, job: &JobState) -> bool {
    let spec = &job.spec;
    let resources = resources_of_job(job);
    let team = teams.iter().find(|team| team.name == spec.team);
    let is_within = team.is_some_and(|team| unfinished.is_within_guarantee(team, resources));
    unfinished.add(&spec.team, resources);
    is_within
}

/// The resources of all tasks of a job together. Memory is left out, since quotas do not count
/// it.
fn resources_of_job(job: &JobState) -> Resources {
    let task = Resources::of_task(&job.spec);
    let tasks = f64::from(job.spec.tasks);
    Resources {
        cpus: task.cpus * tasks,
        gpus: task.gpus * tasks,
        memory_gb: 0.0,
    }
}

/// The durations of a task on a machine of the first type that has to fetch the job's image. The
/// machine on which the task will run is not known yet.
fn task_durations(
    state: &ClusterState,
    job: &JobState,
    types: &MachineTypes,
    guaranteed: bool,
) -> TaskDurations {
    let spec = &job.spec;
    let durations = &state.durations;
    let machine_type = types.types.first();
    TaskDurations {
        fetch_s: machine_type.map_or(0.0, |machine_type| {
            let rate = machine_type.fetch_gb_per_s;
            durations.fetch_time(spec.image_gb, &machine_type.name, rate)
        }),
        run_s: machine_type.map_or(0.0, |machine_type| {
            durations.run_time(spec, &machine_type.name)
        }),
        guaranteed,
    }
}

/// A job with its tasks to plan in this round. `None` if all its tasks are assigned or completed,
/// if its back-off after failures has not elapsed, or if it is a gang that still has assigned
/// tasks.
fn pending_job(
    context: &Context,
    state: &mut ClusterState,
    types: &MachineTypes,
    now_ms: UnixMillis,
    id: &JobId,
) -> Option<PendingJob> {
    let job = state.jobs.get(id)?;
    if job.spec.shape == Shape::Gang && !job.tasks.is_empty() {
        return None;
    }
    let retry = decide_retry(context, job, now_ms);
    if retry == RetryDecision::BackOff {
        return None;
    }
    let max_tasks = max_planned_tasks(state, job, retry);
    let mut pending = scheduler_inputs::pending_job(state, &job.spec, types);
    pending.tasks_per_zone = tasks_per_zone(state, job);
    pending.avoided_machines = avoided_machines(job);
    pending.single_probe = retry == RetryDecision::SingleProbe;
    let is_new_probe = pending.single_probe && job.tasks.is_empty();
    let machines = job.failures.machines.len();
    pending.tasks = state.unassigned_tasks(id, max_tasks);
    if pending.tasks.is_empty() {
        return None;
    }
    if is_new_probe {
        tracing::debug!(
            job = &**id,
            machines,
            "job failed on several machines; planning only one task or its whole gang"
        );
    }
    Some(pending)
}

/// The largest number of tasks of a job to plan in a round.
fn max_planned_tasks(state: &ClusterState, job: &JobState, retry: RetryDecision) -> usize {
    match (job.spec.shape, retry) {
        (Shape::Gang, _) => job.spec.tasks as usize,
        (_, RetryDecision::SingleProbe) => 1,
        _ => MIN_TASK_LIMIT.max(state.machines.len()),
    }
}

/// The number of assigned tasks of a job in each zone. A task that is not placed yet counts in
/// the zone of its shard.
fn tasks_per_zone(state: &ClusterState, job: &JobState) -> TasksPerZone {
    let mut per_zone = TasksPerZone::default();
    for task in job.tasks.values() {
        let machine = task.record.machine.as_ref();
        let machine = machine.and_then(|machine| state.machines.get(machine));
        let zone = machine.map(|machine| &*machine.record.zone);
        per_zone.add(zone.unwrap_or_else(|| task.record.shard.zone()));
    }
    per_zone
}

/// The machines on which a job has failed; empty if there are more than
/// [`MAX_AVOIDED_MACHINES`].
fn avoided_machines(job: &JobState) -> Vec<Arc<str>> {
    let failed = &job.failures.machines;
    if failed.len() > MAX_AVOIDED_MACHINES {
        return Vec::new();
    }
    failed.iter().map(|id| id.clone().into()).collect()
}

/// How to plan a job after its failures.
fn decide_retry(context: &Context, job: &JobState, now_ms: UnixMillis) -> RetryDecision {
    let mut tasks = job.tasks.values();
    let is_running = tasks.any(|task| task.record.started_ms.is_some());
    let failures = FailureSummary {
        machines: job.failures.machines.len(),
        succeeded_somewhere: job.completed.count() > 0 || is_running,
        since_s: seconds(now_ms.saturating_sub(job.failures.last_ms)),
    };
    retry_decision(failures, context.timing.round.as_secs_f64())
}
