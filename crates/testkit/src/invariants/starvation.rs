//! Invariant: after the end of all faults, no job waits for long while suitable machines have
//! enough free capacity for it and its team's quota allows it to start.

use super::team_limit::ROUNDING;
use super::{InvariantChecker, Placement, TaskKey, TeamLimit};
use rushwalk_protocol::jobs::{JobSpec, Shape};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The capacity of a machine that no active task uses.
#[derive(Debug, Clone)]
pub struct FreeCapacity {
    /// The machine's name, which identifies it among all machines of a run.
    pub machine: String,
    /// The zone in which the machine runs.
    pub zone: String,
    /// The label of the machine's type.
    pub machine_type: String,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Number of CPUs that no active task uses.
    pub cpus: f64,
    /// Number of GPUs that no active task uses.
    pub gpus: f64,
    /// Memory in GB that no active task uses.
    pub memory_gb: f64,
}

impl FreeCapacity {
    fn placement(&self) -> Placement<'_> {
        Placement {
            machine: &self.machine,
            zone: &self.zone,
            machine_type: &self.machine_type,
            spot: self.spot,
        }
    }

    /// Whether a task of a job fits into the free capacity.
    pub(crate) fn fits(&self, spec: &JobSpec) -> bool {
        self.task_slots(spec) > 0
    }

    /// Number of tasks of a job that fit into the free capacity.
    fn task_slots(&self, spec: &JobSpec) -> usize {
        let slots = |free: f64, per_task: f64| {
            if per_task > 0.0 {
                ((free + ROUNDING) / per_task).max(0.0) as usize
            } else {
                usize::MAX
            }
        };
        slots(self.cpus, spec.cpus)
            .min(slots(self.gpus, spec.gpus))
            .min(slots(self.memory_gb, spec.memory_gb))
    }
}

/// Maximum time for which a job may wait although it could start.
const WAIT_LIMIT: Duration = Duration::from_secs(90);

impl InvariantChecker {
    /// Checks for how long jobs have waited although they could start; does nothing until all
    /// faults have ended. To be called about once per second, with the free capacity of all
    /// machines that can run tasks. Failing jobs and those whose cancellation was requested
    /// are exempt.
    pub fn check_starvation(&mut self, machines: &[FreeCapacity]) {
        if self.faults_ended_at.is_none() {
            return;
        }
        let startable: Vec<String> = self
            .histories
            .iter()
            .filter(|(_, h)| h.accepted_at.is_some() && !h.is_cancellation_requested())
            .map(|(job, _)| job)
            .filter(|job| !self.failing_jobs.contains(*job) && self.could_start(job, machines))
            .cloned()
            .collect();
        self.startable_since
            .retain(|job, _| startable.contains(job));
        for job in startable {
            let since = self.startable_since.entry(job.clone());
            let waited = since.or_insert_with(Instant::now).elapsed();
            self.longest_wait = self.longest_wait.max(waited);
            if waited > WAIT_LIMIT {
                self.violations.push(format!("left waiting: {job}"));
            }
        }
    }

    /// Whether a pending task of the job could start now or, if the job is a gang, all its tasks.
    fn could_start(&self, job: &str, machines: &[FreeCapacity]) -> bool {
        let Some(spec) = self.jobs.get(job) else {
            return false;
        };
        let pending: Vec<u32> = (0..spec.tasks)
            .filter(|index| self.is_pending(&TaskKey::new(job, *index)))
            .collect();
        let Some(first) = pending.first() else {
            return false;
        };
        let gang = spec.shape == Shape::Gang;
        // A gang can't start while tasks of an earlier attempt still run.
        if gang && pending.len() < spec.tasks as usize {
            return false;
        }
        let tasks = if gang { spec.tasks } else { 1 };
        if !self.is_within_limit(spec, tasks) {
            return false;
        }
        let slots = machines
            .iter()
            .filter(|free| !self.violates_constraints(job, *first, &free.placement()))
            .map(|free| (free.zone.as_str(), free.task_slots(spec)));
        if gang && spec.one_zone {
            let mut by_zone: BTreeMap<&str, usize> = BTreeMap::new();
            slots.for_each(|(zone, slots)| *by_zone.entry(zone).or_default() += slots);
            by_zone.values().any(|slots| *slots >= tasks as usize)
        } else if gang {
            slots.map(|(_, slots)| slots).sum::<usize>() >= tasks as usize
        } else {
            slots.map(|(_, slots)| slots).any(|slots| slots > 0)
        }
    }

    /// Whether a task is neither done nor running.
    fn is_pending(&self, task: &TaskKey) -> bool {
        let running = self.running_on.get(task);
        !self.done_tasks.contains(task) && running.is_none_or(Vec::is_empty)
    }

    /// Whether the team's quota allows this number of further tasks of the job.
    fn is_within_limit(&self, spec: &JobSpec, tasks: u32) -> bool {
        let used = self.usage_by_team().get(spec.team.as_str()).copied();
        let used = used.unwrap_or_default();
        let tasks = f64::from(tasks);
        let usage = TeamLimit {
            cpus: used.cpus + tasks * spec.cpus,
            gpus: used.gpus + tasks * spec.gpus,
        };
        let limit = self.limits.get(&spec.team).copied().unwrap_or_default();
        !limit.is_exceeded_by(usage)
    }
}
