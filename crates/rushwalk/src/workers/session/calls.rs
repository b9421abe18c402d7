//! Calls to a worker's own address, and start commands in responses to heartbeats.

use rushwalk_state::Revision;

/// Kind of a call to a worker's own address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallInFlight {
    /// Asks for a heartbeat; starts no task.
    Probe,
    /// Carries commands, which may start tasks.
    Commands,
}

/// A start command in the response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentStart {
    /// Name of the task as in commands and heartbeats.
    pub task: String,
    /// Attempt that the worker is to start.
    pub attempt: Revision,
}
