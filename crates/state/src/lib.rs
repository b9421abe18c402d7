//! The replicated state machine: the data that rushwalk keeps in its consensus-backed
//! key-value store, and the replica that each controller builds from it.
//!
//! The leader, the members, the shard leases, the machine types and the manifest of the
//! current snapshot are stored as one record per key ([`records`]). All other state is a log
//! of [`Mutation`]s, so that a change costs a few bytes instead of a key of its own. A log
//! entry is one key that holds a batch of mutations. The store's revisions give the entries
//! of all controllers one total order, and every replica ([`ClusterState`]) applies them in
//! that order by the same rules. A mutation has no effect if its preconditions no longer
//! hold, so it does no harm if it is committed late or twice. The leader regularly writes a
//! snapshot; the keys of the log entries that it covers are then reused
//! ([`EntryKeyAllocator`]).
//!
//! This crate does no I/O, spawns no tasks and reads no clock: the time is passed as an
//! argument.

#![deny(missing_docs)]

pub mod cluster_state;
pub mod codec;
pub mod keys;
mod log_keys;
pub mod mutation;
pub mod records;
pub mod service_counts;
mod task_bitmap;

pub use cluster_state::{AssignedTask, ClusterState, JobState, MachineState, TaskState, Versioned};
pub use log_keys::{EntryKey, EntryKeyAllocator};
pub use mutation::Mutation;
pub use task_bitmap::TaskBitmap;

/// A revision of the key-value store. Every change of any key increases it.
pub type Revision = u64;

/// A point in time in milliseconds since the Unix epoch, or the difference of two.
pub type UnixMillis = u64;
