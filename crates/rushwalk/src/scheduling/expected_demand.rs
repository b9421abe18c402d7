//! Expected demand: jobs that may arrive, and services that may have to start anew.

use super::queue::MIN_TASKS_PER_JOB;
use crate::context::Context;
use crate::scheduler_inputs::{self, is_usable_type, seconds};
use rushwalk_protocol::ids::JobId;
use rushwalk_protocol::jobs::{JobSpec, Priority, Shape};
use rushwalk_protocol::settings::ObjectiveKind;
use rushwalk_scheduler::arrivals::{arrival_rate, expected_arrival_times};
use rushwalk_scheduler::round::PendingJob;
use rushwalk_state::cluster_state::Arrival;
use rushwalk_state::records::{JobPhase, MachineTypes};
use rushwalk_state::{ClusterState, UnixMillis};
use std::collections::{BTreeMap, VecDeque};

/// The length of a bucket in which arrivals are counted, in milliseconds.
const BUCKET_MS: UnixMillis = 30_000;

/// The latest buckets from which the rate of arrivals is estimated.
const MAX_BUCKETS: u64 = 5;

/// Boot times before the end of a worker lease at which a place is made ready for a service.
const LEAD_BOOT_TIMES: f64 = 1.5;

/// A job that is expected.
pub(super) struct ExpectedJob {
    /// In how many seconds.
    pub(super) in_s: f64,
    /// The job.
    pub(super) job: PendingJob,
}

/// A class of jobs.
struct JobClass<'a> {
    /// Its latest arrivals, in order.
    arrivals: &'a VecDeque<Arrival>,
    /// The job that arrived last.
    spec: &'a JobSpec,
}

/// Tasks of a service that may have to start anew.
struct ReturningTasks {
    /// In how many seconds.
    in_s: f64,
    tasks: Vec<u32>,
}

/// Arrivals to be expected while a machine would boot, and services that may come back:
/// they are planned as pending jobs are, so that they find a machine that is ready.
pub(super) fn expected_jobs(
    context: &Context,
    state: &ClusterState,
    types: &MachineTypes,
    now_ms: UnixMillis,
) -> Vec<ExpectedJob> {
    let mut expected = Vec::new();
    for JobClass { arrivals, spec } in job_classes(state) {
        let rate = recent_arrival_rate(arrivals, now_ms);
        let lead_s = slowest_boot_s(spec, types);
        let deviations = deviations(context, spec);
        let times = expected_arrival_times(rate, lead_s, deviations);
        let latest = arrivals.iter().rev().cycle();
        for (in_s, arrival) in times.into_iter().zip(latest) {
            let mut job = scheduler_inputs::pending_job(state, &arrival.spec, types);
            job.tasks = (0..arrival.spec.tasks.min(MIN_TASKS_PER_JOB as u32)).collect();
            expected.push(ExpectedJob { in_s, job });
        }
    }
    expected.extend(returning_services(context, state, types, now_ms));
    expected.sort_by(|a, b| a.in_s.total_cmp(&b.in_s));
    expected
}

/// The classes of which jobs have arrived, the most urgent first.
fn job_classes(state: &ClusterState) -> Vec<JobClass<'_>> {
    let with_arrivals = state.arrivals.values().filter_map(|arrivals| {
        let spec = &arrivals.back()?.spec;
        Some(JobClass { arrivals, spec })
    });
    let mut classes: Vec<JobClass> = with_arrivals.collect();
    classes.sort_by_key(|class| (class.spec.priority, class.spec.class.clone()));
    classes
}

/// Arrivals a second.
fn recent_arrival_rate(arrivals: &VecDeque<Arrival>, now_ms: UnixMillis) -> f64 {
    let first_ms = arrivals.front().map_or(now_ms, |first| first.accepted_ms);
    let known = now_ms.saturating_sub(first_ms) / BUCKET_MS + 1;
    let mut buckets = vec![0u32; known.min(MAX_BUCKETS) as usize];
    for arrival in arrivals {
        let age = now_ms.saturating_sub(arrival.accepted_ms) / BUCKET_MS;
        if let Some(count) = buckets.get_mut(age as usize) {
            *count += 1;
        }
    }
    arrival_rate(&buckets, seconds(BUCKET_MS))
}

/// The longest boot time of a machine that a job may use, in seconds.
fn slowest_boot_s(spec: &JobSpec, types: &MachineTypes) -> f64 {
    let types = types.types.iter();
    let usable = types.filter(|machine_type| is_usable_type(spec, machine_type));
    usable
        .map(|machine_type| machine_type.boot_s)
        .fold(0.0, f64::max)
}

/// How many standard deviations above the mean number of arrivals there should be room for. A
/// job that only has a deadline can wait a little for the end of a burst.
fn deviations(context: &Context, spec: &JobSpec) -> f64 {
    let objectives = &context.settings.site.objectives;
    let has_start_objective = objectives.iter().any(|objective| {
        objective.kind == ObjectiveKind::QueueTime && objective.class == spec.class
    });
    match spec.priority {
        Priority::Production | Priority::High => 1.5,
        _ if has_start_objective => 1.0,
        _ => 0.0,
    }
}

/// Services on unreachable machines that may have to start anew when the worker leases have
/// expired: a place is made ready for them while a machine would boot.
fn returning_services(
    context: &Context,
    state: &ClusterState,
    types: &MachineTypes,
    now_ms: UnixMillis,
) -> Vec<ExpectedJob> {
    let returning = returning_tasks(context, state, types, now_ms).into_iter();
    let expected = returning.filter_map(|(id, returning)| {
        let mut job = scheduler_inputs::pending_job(state, &state.jobs.get(id)?.spec, types);
        job.tasks = returning.tasks;
        Some(ExpectedJob {
            in_s: returning.in_s,
            job,
        })
    });
    expected.collect()
}

/// The services' tasks on machines whose worker lease expires within the time that it takes
/// to make a place ready, by job.
fn returning_tasks<'a>(
    context: &Context,
    state: &'a ClusterState,
    types: &MachineTypes,
    now_ms: UnixMillis,
) -> BTreeMap<&'a JobId, ReturningTasks> {
    let timing = &context.timing;
    let expiry = (timing.worker_lease + timing.lease_validity)
        .saturating_sub(timing.unreachable_after)
        .as_secs_f64();
    let boot_times = types.types.iter().map(|t| t.boot_s);
    let lead_s = boot_times.fold(0.0, f64::max) * LEAD_BOOT_TIMES;
    let mut by_job: BTreeMap<&JobId, ReturningTasks> = BTreeMap::new();
    for machine in state.machines.values() {
        let Some(unreachable_since_ms) = machine.record.unreachable_since_ms else {
            continue;
        };
        let in_s = seconds(unreachable_since_ms) + expiry - seconds(now_ms);
        if in_s > lead_s {
            continue;
        }
        let services = machine
            .tasks
            .iter()
            .filter(|id| is_active_service(state, &id.job));
        for id in services {
            let returning = by_job.entry(&id.job).or_insert_with(|| ReturningTasks {
                in_s: in_s.max(0.0),
                tasks: Vec::new(),
            });
            returning.tasks.push(id.index);
        }
    }
    by_job
}

fn is_active_service(state: &ClusterState, id: &JobId) -> bool {
    state
        .jobs
        .get(id)
        .is_some_and(|job| job.phase == JobPhase::Active && job.spec.shape == Shape::Service)
}
