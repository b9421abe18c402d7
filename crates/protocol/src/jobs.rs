//! The API for users: submission, status and cancellation of jobs.

mod validation;

pub use validation::JobSpecError;

use serde::{Deserialize, Serialize};

/// The kind of a job, which determines how its tasks are run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Hash)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// A job array: tasks run independently of each other, each to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Gang scheduling: all tasks run at the same time, or none runs.
    Gang,
    /// A service: the tasks are replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// The priority of a job. The variants are declared from the highest to the lowest, so that
/// the derived order sorts the highest first.
///
/// A job may preempt tasks of lower priority. Independently of priority, tasks may be
/// preempted if their team uses more than its guarantee while another team gets less than
/// its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Hash)]
pub enum Priority {
    /// The highest priority: may preempt tasks of all other priorities.
    #[serde(rename = "prod")]
    Production,
    /// May preempt normal and low-priority tasks.
    #[serde(rename = "urgent")]
    High,
    /// May preempt low-priority tasks only.
    #[serde(rename = "normal")]
    Normal,
    /// The lowest priority: may preempt a task only if the job's team gets less than its
    /// guarantee.
    #[serde(rename = "best_effort")]
    Low,
}

/// A job as its user submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id, chosen by the user. [`is_job_id`] checks its form.
    #[serde(rename = "uid")]
    pub id: String,
    /// The job's class. Service-level objectives may be set for a class, see
    /// [`Objective`](crate::settings::Objective).
    #[serde(rename = "lane")]
    pub class: String,
    /// The team that the job's resources count for; its guarantee and quota apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// The kind of the job.
    pub shape: Shape,
    /// The job's priority, by which jobs are ordered and may preempt tasks of other jobs.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// The number of tasks. Task indices start at 0.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPU cores for each task.
    pub cpus: f64,
    /// GPUs for each task.
    pub gpus: f64,
    /// Memory for each task, in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// The name of the image that a machine must have fetched before a task can start on it.
    #[serde(rename = "kit")]
    pub image: String,
    /// The image's size in GB.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// The names of the machine types that the job may use; `None` allows all types.
    #[serde(rename = "builds", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only zone that the job may use; `None` allows all zones.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must be in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in any one zone.
    pub spread: bool,
    /// Whether the job may use spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of a task's run time in seconds, without the image fetch. It is
    /// often wrong, and 0 for services.
    #[serde(rename = "guessS")]
    pub estimate_s: f64,
    /// Seconds of progress between checkpoints. 0 means that tasks never save a checkpoint,
    /// not even when they are stopped.
    #[serde(rename = "waypointS")]
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save a checkpoint when it is stopped.
    #[serde(rename = "stashS")]
    pub save_s: f64,
    /// The time by which the job should be complete, in seconds from its submission; `None`
    /// means that it has no deadline.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Whether a text has the form of a job id: `j-` and 1 to 20 digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|n| (1..=20).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// A job's state as reported to its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StatusPhase {
    /// The job is not complete, and no task is running.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks are complete. This state is final.
    Done,
    /// The user has cancelled the job. This state is final.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The response to every successful request about a job: submission, query or
/// cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id, as in [`JobSpec::id`].
    #[serde(rename = "uid")]
    pub job: String,
    /// The job's state, derived from its tasks and from whether it was cancelled.
    #[serde(rename = "stance")]
    pub phase: StatusPhase,
    /// The number of tasks that are complete.
    pub done: u32,
    /// The number of tasks that are running.
    pub running: u32,
}

/// The body of an error response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error message for the user, on one line.
    pub error: String,
}

#[cfg(test)]
mod tests;
