//! Shards of the machines: their assignment to controllers by the leader, and what the
//! owner of a shard does. The owner reconciles what workers report with the state, places
//! assigned tasks on machines, and commands workers, all under the fencing token of its
//! shard lease.

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
