//! Checker of the protocol's invariants. Workers report starts and ends of tasks to it;
//! simulated users report their requests and the responses.
//!
//! Users' requests and responses are checked like a linearizability history: whichever
//! controllers are involved, a request sent after a response has arrived must not get an older
//! state than that response showed. Requests that overlap in time may take effect in either
//! order.

mod availability;
mod job_history;
mod service;
mod starvation;
mod team_limit;
#[cfg(test)]
mod tests;

pub use job_history::Request;
pub use starvation::FreeCapacity;
pub use team_limit::TeamLimit;

use availability::QueryLog;
use job_history::{Interval, JobHistory};
use rushwalk_protocol::jobs::{JobSpec, Shape, StatusPhase};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

/// The machine that a task runs on.
#[derive(Clone, Copy)]
pub struct Placement<'a> {
    /// The machine's name, which identifies it among all machines of a run.
    pub machine: &'a str,
    /// The zone in which the machine runs.
    pub zone: &'a str,
    /// The label of the machine's type.
    pub machine_type: &'a str,
    /// Whether the machine is a spot instance.
    pub spot: bool,
}

impl fmt::Display for Placement<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "Place {{ machine: {:?}, zone: {:?}, kind: {:?}, spot: {:?} }}",
            self.machine, self.zone, self.machine_type, self.spot
        )
    }
}

/// Counts task starts after a user got the response that the job is cancelled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StartsAfterCancellation {
    /// Number of these starts.
    pub count: usize,
    /// The longest time from that response to a start.
    pub longest_delay: Duration,
}

/// Key of a task in the checker's maps; ordered by job, then by index.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct TaskKey {
    job: String,
    index: u32,
}

impl TaskKey {
    fn new(job: &str, index: u32) -> TaskKey {
        let job = job.to_string();
        TaskKey { job, index }
    }
}

/// The checker's state. Violations are collected in a list; the checker never panics on one.
#[derive(Default)]
pub struct InvariantChecker {
    /// Specifications of the jobs that users submit, by job id.
    pub jobs: HashMap<String, JobSpec>,
    /// Quotas by team; a team without an entry has no limit.
    pub limits: BTreeMap<String, TeamLimit>,
    /// Maximum time from the first response to a user that a job is cancelled until all its
    /// tasks have ended.
    pub cancellation_deadline: Duration,
    /// Violations so far, one line each: the invariant's name, a colon and the details.
    pub violations: Vec<String>,
    /// Number of task starts, repeated ones included.
    pub started: usize,
    /// Number of task starts by job id, repeated ones included.
    pub starts_by_job: HashMap<String, usize>,
    /// Number of starts of tasks that had already completed.
    pub starts_after_completion: usize,
    /// Task starts after a confirmed cancellation of their job.
    pub starts_after_cancellation: StartsAfterCancellation,
    /// Ids of jobs whose tasks fail when they start, whatever the machine. Set by tests.
    pub failing_jobs: HashSet<String>,
    /// Names of machines on which every task fails when it starts. Set by tests.
    pub faulty_machines: HashSet<String>,
    /// Number of starts that failed because of `failing_jobs` or `faulty_machines`.
    pub failed_starts: usize,
    /// Ids of jobs whose submission controllers must refuse. Set by tests.
    pub invalid_jobs: HashSet<String>,
    /// When the test declared that all faults of the run have ended; `None` before. From then
    /// on the check for starvation and the stricter limit for unanswered queries apply.
    pub faults_ended_at: Option<Instant>,
    /// The longest time so far from the first response to a user that a job is cancelled to
    /// the end of a task of the job.
    pub longest_cancellation: Duration,
    /// The longest time so far for which a job waited after the end of all faults although
    /// it could have started.
    pub longest_wait: Duration,
    /// Receives a job's id when a task completes and all tasks of the job are then complete;
    /// `None` if completions are not to be reported.
    pub completions: Option<UnboundedSender<String>>,
    /// Names of the machines that each task runs on: more than one is a violation.
    running_on: BTreeMap<TaskKey, Vec<String>>,
    /// The zone in which each task last started.
    last_zones: HashMap<TaskKey, String>,
    /// Tasks that have completed.
    done_tasks: BTreeSet<TaskKey>,
    /// Run times in seconds of the tasks for which they differ from the job's estimate.
    run_times_s: HashMap<TaskKey, f64>,
    /// When a user first got the response that the job is cancelled, by job id.
    cancelled_at: HashMap<String, Instant>,
    /// Users' requests and responses by job id.
    histories: BTreeMap<String, JobHistory>,
    /// Logical clock, incremented by each request and response. Orders also those that happen
    /// at the same instant of virtual time.
    clock: u64,
    /// Outcomes of users' queries about all jobs.
    queries: QueryLog,
    /// When the first task of each job started, by job id.
    first_started_at: HashMap<String, Instant>,
    /// By id of a job that waits although it could start: when it was first found to do so.
    startable_since: BTreeMap<String, Instant>,
}

impl InvariantChecker {
    /// Sets the run time of a task in place of its job's estimate.
    pub fn set_run_time(&mut self, job: &str, index: u32, seconds: f64) {
        self.run_times_s.insert(TaskKey::new(job, index), seconds);
    }

    /// Time from a task's start until it completes. Tasks of services never complete.
    pub(crate) fn run_time(&self, job: &str, index: u32) -> Duration {
        const FOREVER: Duration = Duration::from_secs(1 << 30);
        let spec = self.jobs.get(job);
        if spec.is_some_and(|spec| spec.shape == Shape::Service) {
            return FOREVER;
        }
        let task_run_time_s = self.run_times_s.get(&TaskKey::new(job, index)).copied();
        let seconds = task_run_time_s.or(spec.map(|spec| spec.estimate_s));
        Duration::from_secs_f64(seconds.unwrap_or(0.0))
    }

    /// Whether a task of the job fails when it starts on the machine. If so, increments
    /// `failed_starts`.
    pub(crate) fn fails_at_start(&mut self, job: &str, machine: &str) -> bool {
        let fails = self.failing_jobs.contains(job) || self.faulty_machines.contains(machine);
        self.failed_starts += usize::from(fails);
        fails
    }

    /// Records that a user sends a request about a job. Returns the request's logical time, to
    /// be passed to [`InvariantChecker::response_received`] with the response.
    pub fn request_sent(&mut self, request: Request, job: &str) -> u64 {
        if request == Request::Cancel {
            self.cancellation_requested(job);
        }
        self.clock += 1;
        self.clock
    }

    /// Records that a user is about to request the cancellation of a job.
    pub fn cancellation_requested(&mut self, job: &str) {
        self.histories
            .entry(job.into())
            .or_default()
            .request_cancellation();
    }

    /// Records and checks the response to a user's request. `sent` is the result of
    /// [`InvariantChecker::request_sent`]. `status` is `None` if there was no response, `phase`
    /// is `None` if the response gives no job phase.
    pub fn response_received(
        &mut self,
        request: Request,
        job: &str,
        sent: u64,
        status: Option<u16>,
        phase: Option<StatusPhase>,
    ) {
        self.clock += 1;
        let interval = Interval {
            sent,
            received: self.clock,
        };
        let history = self.histories.entry(job.into()).or_default();
        let violations = history.check_response(request, interval, status, phase);
        let violations = violations.into_iter().map(|line| format!("{line} ({job})"));
        self.violations.extend(violations);
        let succeeded = matches!(status, Some(200 | 201));
        if succeeded && request == Request::Submit && self.invalid_jobs.contains(job) {
            self.violations.push(format!("accepted though bad: {job}"));
        }
        if let Some(phase) = phase.filter(|_| succeeded) {
            self.check_phase(job, phase);
        }
        if request == Request::Query {
            self.check_availability(job, status);
        }
    }

    /// Checks a job's phase that a user got in a response.
    fn check_phase(&mut self, job: &str, phase: StatusPhase) {
        if !self.jobs.contains_key(job) {
            self.violations.push(format!("invented: {job}"));
        }
        match phase {
            StatusPhase::Done if self.jobs.contains_key(job) && !self.is_complete(job) => {
                self.violations.push(format!("not_done: {job}"));
            }
            StatusPhase::Cancelled => {
                let confirmed = self.cancelled_at.entry(job.to_string());
                confirmed.or_insert_with(Instant::now);
            }
            _ => {}
        }
    }

    /// Whether a placement violates the job's constraints on zone, machine type and spot
    /// instances, or those relative to the zones in which the job's other tasks run: all in
    /// one zone, or spread so that no zone runs more than half of the job's tasks, rounded up.
    fn violates_constraints(&self, job: &str, index: u32, placement: &Placement) -> bool {
        let Some(spec) = self.jobs.get(job) else {
            return false;
        };
        let others = self
            .running_on
            .range(TaskKey::new(job, 0)..=TaskKey::new(job, u32::MAX))
            .filter(|(task, machines)| task.index != index && !machines.is_empty());
        let zones: Vec<&String> = others
            .filter_map(|(task, _)| self.last_zones.get(task))
            .collect();
        let same_zone = zones.iter().filter(|zone| *zone == &placement.zone).count();
        let max_in_zone = (spec.tasks as usize).div_ceil(2);
        let wrong_zone = spec
            .zone
            .as_ref()
            .is_some_and(|zone| zone != placement.zone);
        let wrong_type = spec
            .types
            .as_ref()
            .is_some_and(|types| !types.iter().any(|t| t == placement.machine_type));
        wrong_zone
            || wrong_type
            || spec.one_zone && same_zone < zones.len()
            || spec.spread && same_zone + 1 > max_in_zone
            || placement.spot && !spec.spot
    }

    /// CPUs and GPUs that the running tasks of each team use. A task that runs on several
    /// machines counts once.
    fn usage_by_team(&self) -> HashMap<&str, TeamLimit> {
        let mut usage: HashMap<&str, TeamLimit> = HashMap::new();
        let running = self.running_on.iter().filter(|(_, on)| !on.is_empty());
        for spec in running.filter_map(|(task, _)| self.jobs.get(&task.job)) {
            let team = usage.entry(&spec.team).or_default();
            team.cpus += spec.cpus;
            team.gpus += spec.gpus;
        }
        usage
    }

    /// Records and checks the start of a task on a machine.
    pub(crate) fn task_started(&mut self, job: &str, index: u32, placement: &Placement) {
        let task = TaskKey::new(job, index);
        self.started += 1;
        *self.starts_by_job.entry(job.into()).or_default() += 1;
        let first_start = self.first_started_at.entry(job.into());
        first_start.or_insert_with(Instant::now);
        self.starts_after_completion += usize::from(self.done_tasks.contains(&task));
        if self.violates_constraints(job, index, placement) {
            self.violations
                .push(format!("wrong_place: {job}/{index} {placement}"));
        }
        self.last_zones.insert(task.clone(), placement.zone.into());
        let machines = self.running_on.entry(task).or_default();
        if machines.iter().any(|machine| machine != placement.machine) {
            let machine = placement.machine;
            self.violations.push(format!(
                "ran_twice: {job}/{index} on {machine} and {machines:?}"
            ));
        }
        machines.push(placement.machine.to_string());
        self.check_start_after_cancellation(job, index);
        self.check_limits();
    }

    /// Counts a task's start if its job's cancellation is confirmed; it is a violation after
    /// the cancellation deadline.
    fn check_start_after_cancellation(&mut self, job: &str, index: u32) {
        let Some(delay) = self.cancelled_at.get(job).map(Instant::elapsed) else {
            return;
        };
        let starts = &mut self.starts_after_cancellation;
        starts.count += 1;
        starts.longest_delay = starts.longest_delay.max(delay);
        if delay > self.cancellation_deadline {
            self.violations
                .push(format!("ran_cancelled: {job}/{index}"));
        }
    }

    /// Checks that no team uses more than its quota.
    fn check_limits(&mut self) {
        let usage = self.usage_by_team();
        let exceeded = self.limits.iter().filter(|(team, limit)| {
            let usage = usage.get(team.as_str()).copied().unwrap_or_default();
            limit.is_exceeded_by(usage)
        });
        let violations: Vec<String> = exceeded.map(|(team, _)| format!("quota: {team}")).collect();
        self.violations.extend(violations);
    }

    /// Records the end of a task on a machine. `done` is true if the task completed.
    pub(crate) fn task_ended(&mut self, job: &str, index: u32, machine: &str, done: bool) {
        let task = TaskKey::new(job, index);
        let Some(machines) = self.running_on.get_mut(&task) else {
            return;
        };
        let before = machines.len();
        machines.retain(|known| known != machine);
        let ended = machines.len() < before;
        if let Some(cancelled_at) = self.cancelled_at.get(job).filter(|_| ended) {
            self.longest_cancellation = self.longest_cancellation.max(cancelled_at.elapsed());
        }
        if done {
            self.task_done(task);
        }
    }

    /// Records that a task completed, and reports the job if that completed it.
    fn task_done(&mut self, task: TaskKey) {
        let job = task.job.clone();
        // A gang completes as a whole: when one task is done, all are.
        let spec = self.jobs.get(&job);
        let gang_tasks = spec
            .filter(|spec| spec.shape == Shape::Gang)
            .map_or(0, |spec| spec.tasks);
        let gang = (0..gang_tasks).map(|index| TaskKey::new(&job, index));
        self.done_tasks.extend(gang);
        self.done_tasks.insert(task);
        if let Some(completions) = self.completions.as_ref().filter(|_| self.is_complete(&job)) {
            let _ = completions.send(job);
        }
    }

    /// Whether all tasks of a job are done; false for an unknown job.
    fn is_complete(&self, job: &str) -> bool {
        let Some(spec) = self.jobs.get(job) else {
            return false;
        };
        let all = TaskKey::new(job, 0)..=TaskKey::new(job, u32::MAX);
        self.done_tasks.range(all).count() as u32 >= spec.tasks
    }

    /// Checks that no task of a cancelled job runs after the cancellation deadline.
    pub fn check_cancellations(&mut self) {
        for (task, machines) in &self.running_on {
            let cancelled_at = self.cancelled_at.get(&task.job);
            let late = cancelled_at.is_some_and(|at| at.elapsed() > self.cancellation_deadline);
            if late && !machines.is_empty() {
                let TaskKey { job, index } = task;
                self.violations
                    .push(format!("ran_cancelled: {job}/{index}"));
            }
        }
    }

    /// Indexes of the machines that the tasks of a job run on, by ascending task index; a
    /// machine appears once for each of its tasks.
    pub fn machines_of(&self, job: &str) -> Vec<usize> {
        let of_job = self.running_on.iter().filter(|(task, _)| task.job == job);
        of_job
            .flat_map(|(_, machines)| machines)
            .filter_map(|name| name.strip_prefix("i-")?.parse().ok())
            .collect()
    }

    /// Number of tasks that run on at least one machine.
    pub fn running_tasks(&self) -> usize {
        let machines = self.running_on.values();
        machines.filter(|machines| !machines.is_empty()).count()
    }
}
