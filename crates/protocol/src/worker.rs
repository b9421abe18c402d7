//! Workers' heartbeats and the commands sent to them.

use serde::{Deserialize, Serialize};

/// A task's state on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// Waits for its image.
    Fetching,
    /// Has its image and waits for the other tasks of its gang.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// Runs. The tasks of a gang that is stopping or broken stay in this state until they
    /// exit.
    Running,
    /// Was commanded to stop, and saves a checkpoint.
    Saving,
    /// Has ended, see its [`ExitCause`].
    #[serde(rename = "ended")]
    Exited,
    /// A state that this version does not know: the task is there.
    #[serde(other)]
    Other,
}

/// Why a task has ended, or was never started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExitCause {
    /// Completed. The result is kept: another attempt would only fetch the image and complete.
    Done,
    /// Stopped by command.
    Stopped,
    /// Another task of its gang is gone.
    #[serde(rename = "peers")]
    GangPeerLost,
    /// Its gang was not complete within the gang wait time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// Failed: mostly because the machine is faulty, sometimes because the job itself is.
    Error,
    /// Refused: the machine lacks free resources. Tasks use theirs from the image fetch on.
    #[serde(rename = "full")]
    NoRoom,
    /// Refused: the task is on the machine under another attempt.
    Busy,
    /// Refused: there is no such job or task.
    Unknown,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

/// One task on a machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task's name, see [`TaskId`](crate::ids::TaskId).
    #[serde(rename = "piece")]
    pub task: String,
    /// The attempt: which start of the task it is.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "stance")]
    pub phase: TaskPhase,
    /// Why it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "cause")]
    pub exit_cause: Option<ExitCause>,
    /// Whether the progress of a task that was stopped has been saved.
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report of itself: sent by it, and its response to direct requests. The one
/// with the larger (`session`, `sequence`) is the newer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine's name.
    #[serde(rename = "rig")]
    pub machine: String,
    /// The worker's `IP:port` for direct commands.
    #[serde(default)]
    pub address: String,
    /// The machine type's name.
    #[serde(rename = "build", default)]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "yard", default)]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// The worker session (epoch), from 1; a new one begins when the worker's lease
    /// expires.
    #[serde(rename = "stint")]
    pub session: u64,
    /// Increases with each heartbeat, sent or returned to a direct request.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton", default)]
    pub token: u64,
    /// Seconds until the cloud takes the machine away, once that is announced.
    #[serde(rename = "recallS", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine; exited ones until a [`Command::Forget`].
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker. All are idempotent, with one exception: a [`Command::Run`] that
/// is repeated after the [`Command::Forget`] of its attempt starts the attempt again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Start a task. Without effect if the worker already knows this attempt, even as refused
    /// or exited.
    Run {
        /// The task's name.
        #[serde(rename = "piece")]
        task: String,
        /// The attempt: which start of the task it is.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task. It saves a checkpoint first if it runs, its job has checkpoints and the
    /// grace period suffices; otherwise it exits at once. A second stop with a grace period
    /// of 0 ends a task that saves.
    Stop {
        /// The task's name.
        #[serde(rename = "piece")]
        task: String,
        /// The attempt: which start of the task it is.
        #[serde(rename = "try")]
        attempt: u64,
        /// The grace period for saving, in seconds; see
        /// [`JobSpec::save_s`](crate::jobs::JobSpec::save_s).
        #[serde(rename = "leewayS")]
        grace_s: f64,
    },
    /// Drop an exited task from the heartbeats.
    Forget {
        /// The task's name.
        #[serde(rename = "piece")]
        task: String,
        /// The attempt: which start of the task it is.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The response to a heartbeat. It renews the worker's lease from the time at which that
/// heartbeat was sent, unless its token is too low.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The sender's fencing token. The worker drops a response whose token is lower than the
    /// highest that it has seen, as from a controller that has been superseded.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands sent to a worker's own address. They don't renew its lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The sender's fencing token.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The worker session; a worker that is in another one executes nothing.
    #[serde(rename = "stint")]
    pub session: u64,
    /// Executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of a 421: which controller the worker should send its heartbeats to.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Redirect {
    /// The name of that controller; none: the worker tries the next one.
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

#[cfg(test)]
mod tests;
