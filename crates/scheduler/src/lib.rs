//! Scheduling decisions as pure functions: no I/O, and the time is an argument.
//!
//! The service calls this crate with what it knows (machines, pending jobs, boot and run
//! times) and carries out what comes back.

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
