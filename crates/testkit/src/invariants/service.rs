//! Service levels at the end of a run: how many of the accepted jobs have begun, and when.

use super::InvariantChecker;
use super::job_history::JobHistory;
use std::collections::BTreeMap;
use std::time::Duration;

/// Within this time of their acceptance a class's largest jobs begin.
const LARGEST_BEGIN_WITHIN: Duration = Duration::from_secs(240);

#[derive(Clone, Copy)]
struct SizedJob<'a> {
    /// GPUs, or CPUs if that is more, of all tasks.
    size: f64,
    job: &'a str,
}

impl InvariantChecker {
    /// Violations of the service levels: half of each class, of each team and of a class's
    /// largest jobs must have begun, the largest within four minutes. Jobs cancelled before
    /// they began don't count.
    pub fn service_violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (group, mut jobs) in self.jobs_by_group() {
            violations.extend(self.check_half_begun(&group, &jobs));
            if !group.starts_with("class") {
                continue;
            }
            jobs.sort_by(|a, b| b.size.total_cmp(&a.size));
            let largest = &jobs[..jobs.len().div_ceil(3)];
            violations.extend(self.check_half_begun(&format!("largest of {group}"), largest));
            violations.extend(self.check_begun_in_time(largest));
        }
        violations
    }

    /// Jobs that should begin, by class and by team.
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

    fn cancelled_before_start(&self, job: &str, history: &JobHistory) -> bool {
        history.is_cancellation_requested() && !self.first_started_at.contains_key(job)
    }

    fn check_half_begun(&self, name: &str, jobs: &[SizedJob]) -> Option<String> {
        let begun = jobs
            .iter()
            .filter(|sized| self.first_started_at.contains_key(sized.job))
            .count();
        let all = jobs.len();
        (2 * begun < all).then(|| format!("half served: {begun} of {all} of {name}"))
    }

    fn check_begun_in_time(&self, largest: &[SizedJob]) -> Vec<String> {
        let late = largest.iter().filter(|sized| {
            let accepted = self.histories.get(sized.job).and_then(|h| h.accepted_at);
            let begun = self.first_started_at.get(sized.job);
            accepted
                .zip(begun)
                .is_some_and(|(accepted, begun)| *begun > accepted + LARGEST_BEGIN_WITHIN)
        });
        late.map(|sized| format!("largest begun late: {}", sized.job))
            .collect()
    }
}
