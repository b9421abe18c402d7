//! The API between controllers and workers: heartbeats, their responses and commands.

use serde::{Deserialize, Serialize};

/// A task's state on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// The machine is fetching the task's image.
    Fetching,
    /// The image is fetched, and the task waits for the other tasks of its gang.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// The task is running. The tasks of a gang that is stopping or broken also stay in this
    /// state until they exit.
    Running,
    /// The task was commanded to stop and is saving a checkpoint.
    Saving,
    /// The task has ended or was refused, for the reason in [`TaskStatus::exit_cause`].
    #[serde(rename = "ended")]
    Exited,
    /// A state that this version does not know. The task counts as being on the machine.
    #[serde(other)]
    Other,
}

/// The reason why a task has ended or was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExitCause {
    /// Completed. The result is kept: another attempt would only fetch the image and complete
    /// again.
    Done,
    /// Stopped by a [`Command::Stop`].
    Stopped,
    /// Ended because another task of the gang is gone.
    #[serde(rename = "peers")]
    GangPeerLost,
    /// Ended because the gang was not complete within
    /// [`WorkerTiming::gang_wait_s`](crate::settings::WorkerTiming::gang_wait_s).
    #[serde(rename = "alone")]
    GangIncomplete,
    /// Failed, mostly because the machine is faulty, sometimes because the job itself is.
    Error,
    /// Refused: the machine lacks free resources. A task occupies its resources from the
    /// start of its image fetch.
    #[serde(rename = "full")]
    NoRoom,
    /// Refused: another attempt of the same task is on the machine.
    Busy,
    /// Refused: there is no such job or task.
    Unknown,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

/// The status of one task on a machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task's name, see [`TaskId`](crate::ids::TaskId).
    #[serde(rename = "piece")]
    pub task: String,
    /// The number of the attempt, see [`AttemptId`](crate::ids::AttemptId).
    #[serde(rename = "try")]
    pub attempt: u64,
    /// The task's state when the worker reported it.
    #[serde(rename = "stance")]
    pub phase: TaskPhase,
    /// The reason why the task ended or was refused; `None` until it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "cause")]
    pub exit_cause: Option<ExitCause>,
    /// Whether the progress of a stopped task was saved; `None` if the worker doesn't report
    /// it.
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report of its state. The worker sends it at intervals and also returns it as
/// its response to direct requests. Of two reports, the one with the larger pair
/// (`session`, `sequence`) is the newer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The name of the machine that the worker runs on.
    #[serde(rename = "rig")]
    pub machine: String,
    /// The worker's `IP:port` for direct commands and status queries.
    #[serde(default)]
    pub address: String,
    /// The name of the machine's type.
    #[serde(rename = "build", default)]
    pub machine_type: String,
    /// The name of the machine's zone.
    #[serde(rename = "yard", default)]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// The number of the worker session (epoch), starting at 1. A new session begins when
    /// the worker's lease expires.
    #[serde(rename = "stint")]
    pub session: u64,
    /// The heartbeat's sequence number, which increases with each heartbeat that the worker
    /// sends or returns.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton", default)]
    pub token: u64,
    /// Seconds until the cloud reclaims the machine; `None` if the cloud has announced no
    /// reclaim.
    #[serde(rename = "recallS", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine. Exited tasks are included until a [`Command::Forget`].
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker. Commands are idempotent, with one exception: a [`Command::Run`]
/// that is repeated after the [`Command::Forget`] of its attempt starts the attempt again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Start a task. The command has no effect if the worker already knows the attempt, even
    /// as refused or exited.
    Run {
        /// The name of the task to start, see [`TaskId`](crate::ids::TaskId).
        #[serde(rename = "piece")]
        task: String,
        /// The number of the attempt, see [`AttemptId`](crate::ids::AttemptId).
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task. The task first saves a checkpoint if it is running, its job has
    /// checkpoints and the grace period is long enough; otherwise it exits immediately. A
    /// second stop with a grace period of 0 ends a task that is saving.
    Stop {
        /// The name of the task to stop, see [`TaskId`](crate::ids::TaskId).
        #[serde(rename = "piece")]
        task: String,
        /// The number of the attempt, see [`AttemptId`](crate::ids::AttemptId).
        #[serde(rename = "try")]
        attempt: u64,
        /// The time for saving a checkpoint, in seconds. A task needs
        /// [`JobSpec::save_s`](crate::jobs::JobSpec::save_s).
        #[serde(rename = "leewayS")]
        grace_s: f64,
    },
    /// Remove an exited task from the worker, and so from its heartbeats.
    Forget {
        /// The name of the task to remove, see [`TaskId`](crate::ids::TaskId).
        #[serde(rename = "piece")]
        task: String,
        /// The number of the attempt, see [`AttemptId`](crate::ids::AttemptId).
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The response to a heartbeat. Unless its token is too low, it renews the worker's lease,
/// counted from the time at which the worker sent that heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The fencing token of the controller that responds. The worker drops a response whose
    /// token is lower than the highest that it has seen, since another controller has
    /// superseded the one that responds.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The commands. The worker executes them in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands that a controller sends directly to a worker's address. They don't renew the
/// worker's lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The fencing token of the controller that sends the commands.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The worker session that the commands are for. A worker that is in another session
    /// executes none of them.
    #[serde(rename = "stint")]
    pub session: u64,
    /// The commands. The worker executes them in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The body of a response with status 421, which redirects a worker's heartbeats to another
/// controller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Redirect {
    /// The name of the controller to send heartbeats to. If it is `None`, the worker tries
    /// the next controller that it knows.
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

#[cfg(test)]
mod tests;
