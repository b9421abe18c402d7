//! Invariant: queries about a job must not go unanswered for long while most other queries
//! are answered, or after the end of all faults. A query counts as answered if its status is
//! 200 or 404.

use super::InvariantChecker;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time for which all queries about one job may go unanswered while more than half of
/// all users' queries are answered. Whether more than half are answered is determined from the
/// queries that ended within this time.
const MOST_ANSWERED_LIMIT: Duration = Duration::from_secs(90);
/// Maximum time for which all queries about one job may go unanswered after the end of all
/// faults, whether or not other queries are answered.
const AFTER_FAULTS_LIMIT: Duration = Duration::from_secs(75);

/// The outcome of a query about any job.
pub(super) struct Query {
    /// When the response arrived, or the user stopped waiting for it.
    at: Instant,
    answered: bool,
}

/// Outcomes of users' queries.
#[derive(Default)]
pub(super) struct QueryLog {
    /// Queries of all users within the last [`MOST_ANSWERED_LIMIT`], oldest first.
    pub(super) recent: VecDeque<Query>,
    /// By job id: when the first of the latest consecutive unanswered queries ended. Jobs whose
    /// last query was answered have no entry.
    unanswered_since: HashMap<String, Instant>,
}

impl QueryLog {
    /// Adds a query that ended now, and removes outdated ones.
    fn record(&mut self, answered: bool) {
        let at = Instant::now();
        self.recent.push_back(Query { at, answered });
        let outdated = |query: &Query| query.at.elapsed() > MOST_ANSWERED_LIMIT;
        while self.recent.front().is_some_and(outdated) {
            self.recent.pop_front();
        }
    }

    /// Whether more than half of the recent queries were answered.
    fn most_answered(&self) -> bool {
        let answered = self.recent.iter().filter(|query| query.answered).count();
        2 * answered > self.recent.len()
    }
}

impl InvariantChecker {
    /// Records the status of a query about a job, and checks for how long queries about the
    /// job have gone unanswered. `status` is `None` if there was no response.
    pub(super) fn check_availability(&mut self, job: &str, status: Option<u16>) {
        let answered = matches!(status, Some(200 | 404));
        self.queries.record(answered);
        if answered {
            self.queries.unanswered_since.remove(job);
            return;
        }
        let unanswered_since = self.queries.unanswered_since.entry(job.into());
        let unanswered_since = *unanswered_since.or_insert_with(Instant::now);
        let unanswered_without_faults_since =
            self.faults_ended_at.map(|at| at.max(unanswered_since));
        let unanswered_too_long = self.queries.most_answered()
            && unanswered_since.elapsed() > MOST_ANSWERED_LIMIT
            || unanswered_without_faults_since
                .is_some_and(|since| since.elapsed() > AFTER_FAULTS_LIMIT);
        if unanswered_too_long {
            self.violations.push(format!("forgotten: {job}"));
        }
    }
}
