//! The controller's side of the consensus-backed key-value store: the replica that follows
//! it, the member lease, and how changes are committed.

pub mod committer;
pub mod log_writer;
pub mod membership;
pub mod replica;
mod user_writes;

pub use committer::{Committer, WritePriority};
pub use log_writer::LogWriter;
pub use membership::Membership;
pub use replica::Replica;
pub use user_writes::{UserWriteQueue, UserWrites};
