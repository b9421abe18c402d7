//! Shards of the machines: their assignment to controllers by the leader, and what the
//! owner of a shard does. The owner reconciles what workers report with the state, places
//! assigned tasks on machines, and commands workers, all under the fencing token of its
//! shard lease.

pub mod assignment;
mod dispatch;
pub mod fencing;
mod findings;
mod outcomes;
mod placement;
mod reachability;
pub mod reconciler;

pub use assignment::ShardAssigner;
pub use dispatch::Dispatcher;
pub use fencing::Fencing;
pub use reconciler::Reconciler;
