//! The decisions, as plain functions: no I/O, time is an argument.

pub mod arrivals;
pub mod boot_times;
pub mod capacity;
pub mod deadlines;
pub mod durations;
pub mod quota;
pub mod resources;
pub mod retry;
pub mod round;
pub mod shard_assignment;
pub mod timeline;
pub mod timeline_index;

pub use resources::Resources;
