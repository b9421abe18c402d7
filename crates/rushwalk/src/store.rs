//! How a controller uses the consensus-backed key-value store: the replica of its contents,
//! the member lease, and commits.

pub(crate) mod committer;
pub(crate) mod log_writer;
pub(crate) mod membership;
pub(crate) mod replica;
mod user_writes;

pub(crate) use committer::{Committer, WritePriority};
pub(crate) use log_writer::LogWriter;
pub(crate) use membership::Membership;
pub(crate) use replica::Replica;
pub(crate) use user_writes::{UserWriteQueue, UserWrites};
