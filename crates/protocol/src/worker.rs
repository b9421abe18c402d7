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
    /// Runs; also while its gang is stopped or has lost a task.
    Running,
    /// Was told to stop and saves a checkpoint.
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
    /// Completed; the result is kept.
    Done,
    /// Stopped by command.
    Stopped,
    /// Another task of its gang is gone.
    #[serde(rename = "peers")]
    GangPeerLost,
    /// Its gang was not complete in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// Failed: mostly the machine is faulty, sometimes the job.
    Error,
    /// Refused: the machine lacks free resources.
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
    /// Which start of the task it is.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "stance")]
    pub phase: TaskPhase,
    /// Why it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "cause")]
    pub exit_cause: Option<ExitCause>,
    /// Whether a stopped task's progress was saved.
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
    /// The worker's session (epoch): counts up when its lease expires, from 1.
    #[serde(rename = "stint")]
    pub session: u64,
    /// Counts up with each heartbeat.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton", default)]
    pub token: u64,
    /// Seconds until the cloud takes the machine away, once that is announced.
    #[serde(rename = "recallS", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine; exited ones until they are forgotten.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker. Each is idempotent, but a run repeated after its forget.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Start a task; without effect if the worker has this attempt in any state.
    Run {
        /// The task's name.
        #[serde(rename = "piece")]
        task: String,
        /// Which start of the task it is.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    Stop {
        /// The task's name.
        #[serde(rename = "piece")]
        task: String,
        /// Which start of the task it is.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time for saving, in seconds: with less than the task needs it exits at once.
        #[serde(rename = "leewayS")]
        grace_s: f64,
    },
    /// Drop an exited task from the heartbeats.
    Forget {
        /// The task's name.
        #[serde(rename = "piece")]
        task: String,
        /// Which start of the task it is.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The response to a heartbeat. It renews the worker's lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The sender's fencing token: the worker drops a response with a lower one than the
    /// highest that it has seen.
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
    /// The worker's session: the commands count for no other.
    #[serde(rename = "stint")]
    pub session: u64,
    /// Executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of a 421: which controller the worker should send its heartbeats to.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Redirect {
    /// That controller's name as a member; none: the worker tries the next.
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

#[cfg(test)]
mod tests;
