//! Calls to a worker's own address, and start commands that a worker may or may not execute.

use rushwalk_state::Revision;

/// A start command in a call to a worker's own address that was not answered. The worker
/// may still execute it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnresolvedStart {
    /// Fencing token of the command batch.
    pub token: Revision,
    /// Worker session of the command batch; in a later session the worker ignores it.
    pub session: u64,
}

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
