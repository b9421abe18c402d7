//! Shards, which are groups of machines: their assignment to controllers by the leader, and
//! the work of a shard's owner. The owner reconciles the heartbeats of workers with the
//! cluster's state, places assigned tasks on machines, and commands workers, all under the
//! fencing token of its shard lease.

pub(crate) mod assignment;
mod dispatch;
pub(crate) mod fencing;
mod findings;
mod outcomes;
mod placement;
mod reachability;
pub(crate) mod reconciler;

pub(crate) use assignment::ShardAssigner;
pub(crate) use dispatch::Dispatcher;
pub(crate) use fencing::Fencing;
pub(crate) use reconciler::Reconciler;
