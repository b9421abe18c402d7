//! Service levels at the end of a run: how many of the accepted jobs have started, and how
//! soon.

use super::InvariantChecker;
use super::job_history::JobHistory;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum time from the acceptance of one of a class's largest jobs to its first task start.
const LARGEST_START_LIMIT: Duration = Duration::from_secs(240);

/// A job and its size, by which the largest jobs of a class are found.
#[derive(Clone, Copy)]
struct SizedJob<'a> {
    /// Number of GPUs or of CPUs of all the job's tasks, whichever is greater.
    size: f64,
    job: &'a str,
}

impl InvariantChecker {
    /// Violations of the service levels, one line each. At least half of the jobs of each
    /// class, of each team and of the largest third of each class must have started; those of
    /// the largest third that started must have done so within four minutes of their
    /// acceptance. Jobs cancelled before they started don't count.
    pub fn service_violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (group, mut jobs) in self.jobs_by_group() {
            violations.extend(self.check_half_started(&group, &jobs));
            if !group.starts_with("class") {
                continue;
            }
            jobs.sort_by(|a, b| b.size.total_cmp(&a.size));
            let largest = &jobs[..jobs.len().div_ceil(3)];
            violations.extend(self.check_half_started(&format!("largest of {group}"), largest));
            violations.extend(self.check_started_in_time(largest));
        }
        violations
    }

    /// Accepted jobs except those cancelled before they started, by class and by team.
    fn jobs_by_group(&self) -> BTreeMap<String, Vec<SizedJob<'_>>> {
        let mut groups: BTreeMap<String, Vec<SizedJob>> = BTreeMap::new();
        let expected = self.histories.iter().filter(|(job, history)| {
            history.accepted_at.is_some() && !self.cancelled_before_start(job, history)
        });
        for (job, _) in expected {
            let Some(spec) = self.jobs.get(job) else {
                continue;
            };
            let size = f64::from(spec.tasks) * spec.gpus.max(spec.cpus);
            for group in [
                format!("class {}", spec.class),
                format!("team {}", spec.team),
            ] {
                groups
                    .entry(group)
                    .or_default()
                    .push(SizedJob { size, job });
            }
        }
        groups
    }

    /// Whether a user requested the job's cancellation and no task of it has started.
    fn cancelled_before_start(&self, job: &str, history: &JobHistory) -> bool {
        history.is_cancellation_requested() && !self.first_started_at.contains_key(job)
    }

    /// The violation if fewer than half of a group's jobs have started.
    fn check_half_started(&self, name: &str, jobs: &[SizedJob]) -> Option<String> {
        let started = jobs
            .iter()
            .filter(|sized| self.first_started_at.contains_key(sized.job))
            .count();
        let all = jobs.len();
        (2 * started < all).then(|| format!("half served: {started} of {all} of {name}"))
    }

    /// A violation for each job that started too long after its acceptance. Jobs that haven't
    /// started are no violation here.
    fn check_started_in_time(&self, largest: &[SizedJob]) -> Vec<String> {
        let late = largest.iter().filter(|sized| {
            let accepted = self.histories.get(sized.job).and_then(|h| h.accepted_at);
            let started = self.first_started_at.get(sized.job);
            accepted
                .zip(started)
                .is_some_and(|(accepted, started)| *started > accepted + LARGEST_START_LIMIT)
        });
        late.map(|sized| format!("largest begun late: {}", sized.job))
            .collect()
    }
}
