//! Invariant: queries about a job don't fail forever while others are answered.

use super::InvariantChecker;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// How long all queries about one job may fail while most others are answered; and over
/// what time the others are counted.
const MOST_ANSWERED_LIMIT: Duration = Duration::from_secs(90);
/// How long they may fail after the end of all faults, however others fare.
const AFTER_FAULTS_LIMIT: Duration = Duration::from_secs(75);

pub(super) struct Query {
    at: Instant,
    answered: bool,
}

/// Recent queries of all users.
#[derive(Default)]
pub(super) struct QueryLog {
    pub(super) recent: VecDeque<Query>,
    /// Since when each job's queries fail.
    failing_since: HashMap<String, Instant>,
}

impl QueryLog {
    fn record(&mut self, answered: bool) {
        let at = Instant::now();
        self.recent.push_back(Query { at, answered });
        let outdated = |query: &Query| query.at.elapsed() > MOST_ANSWERED_LIMIT;
        while self.recent.front().is_some_and(outdated) {
            self.recent.pop_front();
        }
    }

    fn most_answered(&self) -> bool {
        let answered = self.recent.iter().filter(|query| query.answered).count();
        2 * answered > self.recent.len()
    }
}

impl InvariantChecker {
    /// Checks for how long queries about a job have failed.
    pub(super) fn check_availability(&mut self, job: &str, status: Option<u16>) {
        let answered = matches!(status, Some(200 | 404));
        self.queries.record(answered);
        if answered {
            self.queries.failing_since.remove(job);
            return;
        }
        let failing_since = self.queries.failing_since.entry(job.into());
        let failing_since = *failing_since.or_insert_with(Instant::now);
        let after_faults = self.faults_ended_at.map(|at| at.max(failing_since));
        let forgotten = self.queries.most_answered()
            && failing_since.elapsed() > MOST_ANSWERED_LIMIT
            || after_faults.is_some_and(|since| since.elapsed() > AFTER_FAULTS_LIMIT);
        if forgotten {
            self.violations.push(format!("forgotten: {job}"));
        }
    }
}
