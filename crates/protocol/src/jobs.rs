//! The users' API: submitting, querying and cancelling jobs.

mod validation;

pub use validation::Malformed;

use serde::{Deserialize, Serialize};

/// How a job's tasks belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Hash)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// A job array: independent tasks, each runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Gang scheduling: all tasks run at the same time or none does.
    Gang,
    /// A service: its tasks are replicas that run until it is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priorities, the highest first, so that the derived order sorts them.
///
/// A job may preempt tasks of lower priority. Apart from that, tasks of any priority may be
/// preempted if their team exceeds its guarantee while another team is short of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Hash)]
pub enum Priority {
    /// The highest: may preempt tasks of all other priorities.
    #[serde(rename = "prod")]
    Production,
    /// May preempt normal and low-priority tasks.
    #[serde(rename = "urgent")]
    High,
    /// May preempt low-priority tasks only.
    #[serde(rename = "normal")]
    Normal,
    /// The lowest: preempts a task only to give its team its guarantee.
    #[serde(rename = "best_effort")]
    Low,
}

/// A job as its user describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Its id, chosen by the user, see [`is_job_id`].
    #[serde(rename = "uid")]
    pub id: String,
    /// The class of jobs for which service-level objectives are set.
    #[serde(rename = "lane")]
    pub class: String,
    /// The team whose guarantee and quota apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// How its tasks belong together.
    pub shape: Shape,
    /// Its priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// The number of tasks; their indices start at 0.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Processors for each task.
    pub cpus: f64,
    /// Graphics processors for each task.
    pub gpus: f64,
    /// Memory for each task, in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// The image that a machine must have fetched before a task can start.
    #[serde(rename = "kit")]
    pub image: String,
    /// The image's size in GB.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// The machine types that it may use; none: any.
    #[serde(rename = "builds", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only zone that it may use; none: any.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks must be in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// Whether it may use spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of a task's run time, in seconds without the image fetch; often
    /// wrong, and 0 for services.
    #[serde(rename = "guessS")]
    pub estimate_s: f64,
    /// Seconds of progress between checkpoints; 0: the tasks save none, not even when they
    /// are stopped.
    #[serde(rename = "waypointS")]
    pub checkpoint_s: f64,
    /// The time that a task needs to save a checkpoint when it is stopped, in seconds.
    #[serde(rename = "stashS")]
    pub save_s: f64,
    /// When it should be complete, in seconds from its submission; none: no deadline.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Whether a text has the form of a job id: `j-` and up to 20 digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|n| (1..=20).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// A job's state, as its user sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StatusPhase {
    /// No task runs.
    Queued,
    /// Some tasks run.
    Running,
    /// All tasks are done. Final.
    Done,
    /// Cancelled by its user. Final.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The response to every request about a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    #[serde(rename = "uid")]
    pub job: String,
    /// Its state.
    #[serde(rename = "stance")]
    pub phase: StatusPhase,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

/// The body of a refusal.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorBody {
    /// One line for the user.
    pub error: String,
}

#[cfg(test)]
mod tests;
