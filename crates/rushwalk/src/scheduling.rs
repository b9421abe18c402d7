//! The leader's rounds: which waiting tasks are assigned to which shard, what keeps jobs
//! going, and how many machines there should be.

mod assignment;
mod expected_demand;
mod maintenance;
mod queue;
mod scheduler;
mod stragglers;
mod time_slices;
mod usage;

pub(crate) use scheduler::{PendingReasons, Scheduler, SchedulerParts};
