//! The key by which mutations of several tasks of a job are combined.

use rushwalk_protocol::ids::{AttemptId, JobId};
use rushwalk_state::Revision;

/// One attempt at some tasks of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct JobAttempt {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: Revision,
}

impl JobAttempt {
    /// The key of a task's attempt.
    pub(crate) fn of(attempt: &AttemptId) -> JobAttempt {
        JobAttempt {
            job: attempt.task.job.clone(),
            attempt: attempt.attempt,
        }
    }
}
