//! Scheduling decisions without I/O; the current time is always an argument.
//!
//! A controller passes in its view of the cluster (machines, pending jobs, boot and run
//! times) and carries out the decisions that are returned.

#![deny(missing_docs)]

pub mod arrivals;
pub mod boot_times;
pub mod capacity;
pub mod deadlines;
pub mod durations;
mod pending_job;
pub mod quota;
pub mod resources;
pub mod retry;
pub mod round;
pub mod shard_assignment;
pub mod timeline;
pub mod timeline_index;

pub use resources::Resources;
