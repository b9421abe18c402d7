//! Checker of the protocol's invariants, fed with starts and ends of tasks and with users'
//! requests and responses.
//!
//! What users see is checked as a history of invocations and responses: a request sent
//! after a response arrived, from whichever controller, must not get anything older;
//! requests that overlap may be answered in either order.

mod availability;
mod job_history;
mod service;
mod starvation;
#[cfg(test)]
mod tests;

pub use job_history::Request;
pub use starvation::FreeCapacity;

use availability::QueryLog;
use job_history::{Interval, JobHistory};
use rushwalk_protocol::jobs::{JobSpec, Shape, StatusPhase};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

/// Where a task runs.
#[derive(Clone, Copy)]
pub struct Placement<'a> {
    /// The machine's name.
    pub machine: &'a str,
    /// The machine's zone.
    pub zone: &'a str,
    /// The machine's type.
    pub machine_type: &'a str,
    /// Whether it is a spot instance.
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

/// A team's quota; 0 means no limit.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamLimit {
    /// Most CPUs in use.
    pub cpus: f64,
    /// Most GPUs in use.
    pub gpus: f64,
}

/// Tolerance for sums of CPUs, GPUs and memory.
const ROUNDING: f64 = 1e-6;

impl TeamLimit {
    /// Whether some usage is over the limit.
    fn is_exceeded_by(&self, usage: TeamLimit) -> bool {
        let exceeded = |used: f64, most: f64| most > 0.0 && used > most + ROUNDING;
        exceeded(usage.cpus, self.cpus) || exceeded(usage.gpus, self.gpus)
    }
}

/// Starts of tasks after the cancellation of their job was confirmed to a user.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StartsAfterCancellation {
    /// How many there were.
    pub count: usize,
    /// The longest time from a confirmation to a start.
    pub longest_delay: Duration,
}

/// A task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct TaskId {
    job: String,
    index: u32,
}

impl TaskId {
    fn new(job: &str, index: u32) -> TaskId {
        let job = job.to_string();
        TaskId { job, index }
    }
}

/// The checker's state. Violations are collected, never raised.
#[derive(Default)]
pub struct InvariantChecker {
    /// Jobs that users submit, by id.
    pub jobs: HashMap<String, JobSpec>,
    /// Limits by team.
    pub limits: BTreeMap<String, TeamLimit>,
    /// Time from a confirmed cancellation within which all tasks must have ended.
    pub cancellation_deadline: Duration,
    /// Violations so far, a line each: the invariant's name, a colon and the details.
    pub violations: Vec<String>,
    /// Starts of tasks.
    pub started: usize,
    /// Starts of tasks by job.
    pub starts_by_job: HashMap<String, usize>,
    /// Starts of tasks that were done already.
    pub starts_after_completion: usize,
    /// Starts of tasks of cancelled jobs.
    pub starts_after_cancellation: StartsAfterCancellation,
    /// Jobs whose tasks fail as they start, on any machine.
    pub failing_jobs: HashSet<String>,
    /// Machines on which all tasks fail as they start.
    pub faulty_machines: HashSet<String>,
    /// Starts that failed for either reason.
    pub failed_starts: usize,
    /// Jobs whose submission must be refused.
    pub invalid_jobs: HashSet<String>,
    /// When the last fault ended: from then on stricter invariants hold.
    pub faults_ended_at: Option<Instant>,
    /// The longest time from a confirmed cancellation to the end of the job's last task.
    pub longest_cancellation: Duration,
    /// The longest that a job waited after all faults though it could have started.
    pub longest_wait: Duration,
    /// Gets the id of each job whose last task is done.
    pub completions: Option<UnboundedSender<String>>,
    /// Machines that each task runs on.
    running_on: BTreeMap<TaskId, Vec<String>>,
    /// The zone in which each task last started.
    last_zones: HashMap<TaskId, String>,
    done_tasks: BTreeSet<TaskId>,
    /// Run times that differ from the job's estimate, in seconds.
    run_times_s: HashMap<TaskId, f64>,
    /// When a user first got the response that a job is cancelled.
    cancelled_at: HashMap<String, Instant>,
    histories: BTreeMap<String, JobHistory>,
    /// Logical clock of requests and responses: two may fall on one instant.
    clock: u64,
    queries: QueryLog,
    /// When a task of each job first started.
    first_started_at: HashMap<String, Instant>,
    /// Since when each job waits though it could start.
    starved_since: BTreeMap<String, Instant>,
}

impl InvariantChecker {
    /// Sets the run time of a task that differs from its job's estimate.
    pub fn set_run_time(&mut self, job: &str, index: u32, seconds: f64) {
        self.run_times_s.insert(TaskId::new(job, index), seconds);
    }

    /// How long a task runs.
    pub(crate) fn run_time(&self, job: &str, index: u32) -> Duration {
        const FOREVER: Duration = Duration::from_secs(1 << 30);
        let spec = self.jobs.get(job);
        if spec.is_some_and(|spec| spec.shape == Shape::Service) {
            return FOREVER;
        }
        let own = self.run_times_s.get(&TaskId::new(job, index)).copied();
        let seconds = own.or(spec.map(|spec| spec.estimate_s));
        Duration::from_secs_f64(seconds.unwrap_or(0.0))
    }

    /// Whether a task fails as it starts.
    pub(crate) fn fails_at_start(&mut self, job: &str, machine: &str) -> bool {
        let fails = self.failing_jobs.contains(job) || self.faulty_machines.contains(machine);
        self.failed_starts += usize::from(fails);
        fails
    }

    /// Records that a user sends a request. Returns its logical time, which
    /// [`InvariantChecker::response_received`] takes with the response.
    pub fn request_sent(&mut self, request: Request, job: &str) -> u64 {
        if request == Request::Cancel {
            self.cancellation_requested(job);
        }
        self.clock += 1;
        self.clock
    }

    /// A user is about to request a cancellation.
    pub fn cancellation_requested(&mut self, job: &str) {
        self.histories
            .entry(job.into())
            .or_default()
            .request_cancellation();
    }

    /// The response to a user's request, with its status and the phase that it gives;
    /// `None` if there was none.
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
        let accepted = matches!(status, Some(200 | 201));
        if accepted && request == Request::Submit && self.invalid_jobs.contains(job) {
            self.violations.push(format!("accepted though bad: {job}"));
        }
        if let Some(phase) = phase.filter(|_| accepted) {
            self.check_phase(job, phase);
        }
        if request == Request::Query {
            self.check_availability(job, status);
        }
    }

    /// Checks a phase that was reported to a user.
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

    /// Whether the job's constraints forbid a placement, because of where its other tasks run.
    fn violates_constraints(&self, job: &str, index: u32, placement: &Placement) -> bool {
        let Some(spec) = self.jobs.get(job) else {
            return false;
        };
        let others = self
            .running_on
            .range(TaskId::new(job, 0)..=TaskId::new(job, u32::MAX))
            .filter(|(task, machines)| task.index != index && !machines.is_empty());
        let zones: Vec<&String> = others
            .filter_map(|(task, _)| self.last_zones.get(task))
            .collect();
        let same_zone = zones.iter().filter(|z| *z == &placement.zone).count();
        let most_in_zone = (spec.tasks as usize).div_ceil(2);
        let wrong_zone = spec.zone.as_ref().is_some_and(|z| z != placement.zone);
        let wrong_type = spec
            .types
            .as_ref()
            .is_some_and(|types| !types.iter().any(|t| t == placement.machine_type));
        wrong_zone
            || wrong_type
            || spec.one_zone && same_zone < zones.len()
            || spec.spread && same_zone + 1 > most_in_zone
            || placement.spot && !spec.spot
    }

    /// CPUs and GPUs that each team's tasks use.
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

    /// A task starts.
    pub(crate) fn task_started(&mut self, job: &str, index: u32, placement: &Placement) {
        let task = TaskId::new(job, index);
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

    fn check_limits(&mut self) {
        let usage = self.usage_by_team();
        let exceeded = self.limits.iter().filter(|(team, limit)| {
            let usage = usage.get(team.as_str()).copied().unwrap_or_default();
            limit.is_exceeded_by(usage)
        });
        let violations: Vec<String> = exceeded.map(|(team, _)| format!("quota: {team}")).collect();
        self.violations.extend(violations);
    }

    /// A task has ended on a machine, and is done or not.
    pub(crate) fn task_ended(&mut self, job: &str, index: u32, machine: &str, done: bool) {
        let task = TaskId::new(job, index);
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

    fn task_done(&mut self, task: TaskId) {
        let job = task.job.clone();
        // A gang's tasks complete together: when one is done, all are.
        let spec = self.jobs.get(&job);
        let gang_tasks = spec
            .filter(|spec| spec.shape == Shape::Gang)
            .map_or(0, |spec| spec.tasks);
        let gang = (0..gang_tasks).map(|index| TaskId::new(&job, index));
        self.done_tasks.extend(gang);
        self.done_tasks.insert(task);
        if let Some(completions) = self.completions.as_ref().filter(|_| self.is_complete(&job)) {
            let _ = completions.send(job);
        }
    }

    /// Whether all tasks of a job are done.
    fn is_complete(&self, job: &str) -> bool {
        let Some(spec) = self.jobs.get(job) else {
            return false;
        };
        let all = TaskId::new(job, 0)..=TaskId::new(job, u32::MAX);
        self.done_tasks.range(all).count() as u32 >= spec.tasks
    }

    /// Checks that no task of a cancelled job runs after its deadline.
    pub fn check_cancellations(&mut self) {
        for (task, machines) in &self.running_on {
            let cancelled_at = self.cancelled_at.get(&task.job);
            let late = cancelled_at.is_some_and(|at| at.elapsed() > self.cancellation_deadline);
            if late && !machines.is_empty() {
                let TaskId { job, index } = task;
                self.violations
                    .push(format!("ran_cancelled: {job}/{index}"));
            }
        }
    }

    /// Indexes of the machines that a job's tasks run on.
    pub fn machines_of(&self, job: &str) -> Vec<usize> {
        let of_job = self.running_on.iter().filter(|(task, _)| task.job == job);
        of_job
            .flat_map(|(_, machines)| machines)
            .filter_map(|name| name.strip_prefix("i-")?.parse().ok())
            .collect()
    }

    /// Number of tasks that run.
    pub fn running_tasks(&self) -> usize {
        let machines = self.running_on.values();
        machines.filter(|machines| !machines.is_empty()).count()
    }
}
