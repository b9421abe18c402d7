//! A job and one attempt, the key by which changes of several tasks are combined into one
//! mutation.

use rushwalk_protocol::ids::{AttemptId, JobId};
use rushwalk_state::Revision;

/// One attempt to run tasks of a job; tasks that are assigned together share an attempt.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct JobAttempt {
    /// The job whose tasks were assigned.
    pub job: JobId,
    /// The revision at which the tasks were assigned, which identifies the attempt.
    pub attempt: Revision,
}

impl JobAttempt {
    /// The job of a task's attempt, with the revision at which the task was assigned.
    pub(crate) fn of(attempt: &AttemptId) -> JobAttempt {
        JobAttempt {
            job: attempt.task.job.clone(),
            attempt: attempt.attempt,
        }
    }
}
