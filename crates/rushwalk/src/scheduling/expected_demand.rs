//! Expected demand: jobs that are likely to arrive, and services that may have to restart.

use super::queue::MIN_TASK_LIMIT;
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

/// The length of the time buckets in which arrivals are counted, in milliseconds.
const BUCKET_MS: UnixMillis = 30_000;

/// The number of latest buckets from which the arrival rate is estimated.
const MAX_BUCKETS: u64 = 5;

/// A place for the restart of a service is planned this many times the longest boot time before
/// the worker lease of its machine expires.
const RESTART_LEAD_BOOT_TIMES: f64 = 1.5;

/// A job whose tasks are expected to become pending.
pub(super) struct ExpectedJob {
    /// When the job is expected, in seconds from now.
    pub(super) due_in_s: f64,
    /// The job with its expected tasks.
    pub(super) job: PendingJob,
}

/// A class of jobs with recent arrivals.
struct JobClass<'a> {
    /// The latest arrivals, the oldest first.
    arrivals: &'a VecDeque<Arrival>,
    /// The specification of the job that arrived last.
    spec: &'a JobSpec,
}

/// Tasks of a service that may have to restart.
struct ExpectedRestart {
    /// When the worker lease of the tasks' machine expires, in seconds from now; 0 if it has
    /// expired. If the tasks are on several machines, the first of these in the order of their
    /// names counts.
    due_in_s: f64,
    /// The indexes of the tasks in the job.
    tasks: Vec<u32>,
}

/// Jobs that are expected to arrive within the boot time of a machine, and services that may have
/// to restart, in the order in which they are expected. They are planned like pending jobs, so
/// that a machine is ready when they come.
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
        for (due_in_s, arrival) in times.into_iter().zip(latest) {
            let mut job = scheduler_inputs::pending_job(state, &arrival.spec, types);
            job.tasks = (0..arrival.spec.tasks.min(MIN_TASK_LIMIT as u32)).collect();
            expected.push(ExpectedJob { due_in_s, job });
        }
    }
    expected.extend(expected_restarts(context, state, types, now_ms));
    expected.sort_by(|a, b| a.due_in_s.total_cmp(&b.due_in_s));
    expected
}

/// The classes with recent arrivals, the most urgent first.
fn job_classes(state: &ClusterState) -> Vec<JobClass<'_>> {
    let with_arrivals = state.arrivals.values().filter_map(|arrivals| {
        let spec = &arrivals.back()?.spec;
        Some(JobClass { arrivals, spec })
    });
    let mut classes: Vec<JobClass> = with_arrivals.collect();
    classes.sort_by_key(|class| (class.spec.priority, class.spec.class.clone()));
    classes
}

/// The estimated arrival rate of a class, in jobs per second.
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

/// The longest boot time of the machine types that a job can use, in seconds.
fn slowest_boot_s(spec: &JobSpec, types: &MachineTypes) -> f64 {
    let types = types.types.iter();
    let usable = types.filter(|machine_type| is_usable_type(spec, machine_type));
    usable
        .map(|machine_type| machine_type.boot_s)
        .fold(0.0, f64::max)
}

/// The number of standard deviations above the mean number of arrivals for which capacity is
/// planned. A job without an objective for its start can wait a short time, until a burst ends,
/// unless its priority is production or high.
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

/// Services on unreachable machines that may have to restart when the worker leases of these have
/// expired. They are planned early enough for a new machine to boot.
fn expected_restarts(
    context: &Context,
    state: &ClusterState,
    types: &MachineTypes,
    now_ms: UnixMillis,
) -> Vec<ExpectedJob> {
    let restarts = expected_restarts_by_job(context, state, types, now_ms).into_iter();
    let expected = restarts.filter_map(|(id, restart)| {
        let mut job = scheduler_inputs::pending_job(state, &state.jobs.get(id)?.spec, types);
        job.tasks = restart.tasks;
        Some(ExpectedJob {
            due_in_s: restart.due_in_s,
            job,
        })
    });
    expected.collect()
}

/// By job, the service tasks on unreachable machines whose worker lease has expired, or expires
/// within [`RESTART_LEAD_BOOT_TIMES`] times the longest boot time.
fn expected_restarts_by_job<'a>(
    context: &Context,
    state: &'a ClusterState,
    types: &MachineTypes,
    now_ms: UnixMillis,
) -> BTreeMap<&'a JobId, ExpectedRestart> {
    let timing = &context.timing;
    // A silent machine counts as unreachable `unreachable_after` after its last contact. A
    // previous owner of its shard may have renewed the worker lease for `lease_validity` longer.
    let lease_expiry_s = (timing.worker_lease + timing.lease_validity)
        .saturating_sub(timing.unreachable_after)
        .as_secs_f64();
    let boot_times = types.types.iter().map(|t| t.boot_s);
    let lead_s = boot_times.fold(0.0, f64::max) * RESTART_LEAD_BOOT_TIMES;
    let mut by_job: BTreeMap<&JobId, ExpectedRestart> = BTreeMap::new();
    for machine in state.machines.values() {
        let Some(unreachable_since_ms) = machine.record.unreachable_since_ms else {
            continue;
        };
        let due_in_s = seconds(unreachable_since_ms) + lease_expiry_s - seconds(now_ms);
        if due_in_s > lead_s {
            continue;
        }
        let services = machine
            .tasks
            .iter()
            .filter(|id| is_active_service(state, &id.job));
        for id in services {
            let restart = by_job.entry(&id.job).or_insert_with(|| ExpectedRestart {
                due_in_s: due_in_s.max(0.0),
                tasks: Vec::new(),
            });
            restart.tasks.push(id.index);
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
