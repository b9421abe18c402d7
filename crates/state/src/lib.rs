//! The replicated state machine: what rushwalk keeps in its consensus-backed key-value
//! store, and what a controller knows from it.
//!
//! A few keys hold records of their own: the leader, the members, shard leases and machine
//! types ([`records`]). All else is a log of [`Mutation`]s. A log entry is one key that
//! holds the mutations of one round; the store's revisions put the entries of all
//! controllers in one order, and every replica ([`ClusterState`]) applies them in that
//! order by the same rules. So a change costs a few bytes instead of a key, and an entry
//! that arrives late or twice changes nothing that has moved on. From time to time the
//! leader writes a snapshot, after which the keys of the entries before it are reused
//! ([`EntryKeyAllocator`]).
//!
//! No loops, no network and nothing of the service itself: time is an argument.

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

/// A revision of the key-value store. It rises with every change of any key.
pub type Revision = u64;

/// A time of day in milliseconds since the Unix epoch.
pub type UnixMillis = u64;
