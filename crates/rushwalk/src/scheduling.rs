//! The leader's scheduling rounds: they maintain running jobs and machines, assign pending
//! tasks to shards, and adapt the number of machines.

mod assignment;
mod expected_demand;
mod maintenance;
mod parts;
mod pending_reasons;
mod queue;
mod scheduler;
mod stragglers;
mod time_slices;
mod usage;

pub(crate) use assignment::largest_gang_assignment;
pub(crate) use parts::SchedulerParts;
pub(crate) use pending_reasons::PendingReasons;
pub(crate) use scheduler::Scheduler;
