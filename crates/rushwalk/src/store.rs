//! The controller's side of the state service: the replica, the log and its snapshots.

pub mod log_writer;
pub mod replica;
pub mod snapshot;
