//! The records as they are stored. Stored field names are short and stay as they are for
//! good: data of earlier versions must stay readable (`tests/stored_data.rs`).

use crate::mutation::Mutation;
use crate::{Revision, UnixMillis};
use rushwalk_protocol::cloud::MachineType;
use rushwalk_protocol::ids::{MachineId, ShardId};
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use std::sync::Arc;

/// The leader's key, attached to its member lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leading member.
    pub member: String,
    /// Rewritten to fence the leader's own commits whose outcome is unknown.
    #[serde(rename = "nonce")]
    pub election_id: u64,
}

/// A running controller, attached to its member lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The zone in which it runs.
    pub zone: String,
    /// Drawn once per process, so that a restart is noticed even within the lease.
    #[serde(rename = "nonce")]
    pub incarnation: u64,
    /// When it registered.
    #[serde(rename = "since_ms")]
    pub registered_ms: UnixMillis,
}

/// A shard assigned to a controller. The version of this key is the fencing token of every
/// command that the owner sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLease {
    /// The member that owns the shard.
    #[serde(rename = "holder")]
    pub owner: String,
    /// The process of that member; a restarted one inherits nothing by its name.
    #[serde(rename = "nonce")]
    pub incarnation: u64,
}

/// The machine types that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// In the cloud's order.
    pub types: Vec<MachineType>,
}

impl MachineTypes {
    /// The index of a type, by its name.
    pub fn position(&self, name: &str) -> Option<usize> {
        self.types.iter().position(|t| t.name == name)
    }

    /// A type, by its name.
    pub fn get(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }
}

/// The manifest of a snapshot, written after all of its chunks: it makes them count.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotManifest {
    /// The snapshot holds everything up to this revision.
    #[serde(rename = "at")]
    pub revision: Revision,
    /// Rises with every snapshot; its parity selects the keys of the chunks.
    pub generation: u64,
    /// The number of chunks.
    pub chunks: usize,
}

/// An entry of the log, or a chunk of a snapshot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogEntry {
    /// Of a log entry, the version that its key had before: a replica that knows another
    /// one has missed an entry. Of a chunk, the revision of its snapshot.
    #[serde(rename = "p")]
    pub previous_version: Revision,
    /// The mutations, in the order in which they are applied.
    #[serde(rename = "o")]
    pub mutations: Vec<Mutation>,
}

/// The phase of an accepted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Neither done nor cancelled.
    #[serde(rename = "a")]
    Active,
    /// All of its tasks have completed.
    #[serde(rename = "d")]
    Done,
    /// Its user has cancelled it.
    #[serde(rename = "c")]
    Cancelled,
}

/// Why a task is to be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StopReason {
    /// Another task of its gang is gone.
    #[serde(rename = "g")]
    GangBroken,
    /// A more urgent job needs its place.
    #[serde(rename = "p")]
    Preempted,
    /// Its machine is drained.
    #[serde(rename = "d")]
    Evicted,
    /// It runs much longer than predicted and would finish sooner elsewhere.
    #[serde(rename = "o")]
    Straggler,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// It ran to its end.
    #[serde(rename = "d")]
    Completed,
    /// It was stopped, was lost, or never started.
    #[serde(rename = "g")]
    Lost,
    /// It failed.
    #[serde(rename = "f")]
    Failed,
}

/// The lifecycle of a machine, which only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MachineLifecycle {
    /// It takes tasks, once it is ready.
    #[serde(rename = "u")]
    Active,
    /// It takes no new tasks.
    #[serde(rename = "d")]
    Draining,
    /// It is to be deleted; that is final.
    #[serde(rename = "x")]
    Deleting,
}

/// A rental that was or will be requested from the cloud.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentalRequest {
    /// The name of the machine type.
    #[serde(rename = "k")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether spot instances are requested.
    #[serde(rename = "s")]
    pub spot: bool,
    /// The number of machines.
    #[serde(rename = "n")]
    pub count: u32,
    /// When the request was decided.
    #[serde(rename = "at")]
    pub requested_ms: UnixMillis,
}

/// An image in a machine's cache.
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct CachedImage {
    /// The image's name.
    pub name: Arc<str>,
    /// Its size in GB.
    pub size_gb: f64,
}

/// A machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The name of its type.
    #[serde(rename = "k")]
    pub machine_type: Arc<str>,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: Arc<str>,
    /// Whether it is a spot instance.
    #[serde(rename = "s")]
    pub spot: bool,
    /// The shard to which it belongs, for good.
    #[serde(rename = "b")]
    pub shard: ShardId,
    /// Whether it takes tasks.
    #[serde(rename = "g")]
    pub lifecycle: MachineLifecycle,
    /// When it was rented.
    #[serde(rename = "r")]
    pub rented_ms: UnixMillis,
    /// When its first heartbeat came; `None` while it boots.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub ready_ms: Option<UnixMillis>,
    /// The address at which its worker takes commands; empty while it is unknown.
    #[serde(rename = "a", default, skip_serializing_if = "str::is_empty")]
    pub address: Arc<str>,
    /// Images that ran on it, the latest last.
    #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<CachedImage>,
    /// When the cloud reclaims it, by its notice.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub reclaim_ms: Option<UnixMillis>,
    /// Since when its shard's owner has received no heartbeat of it.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub unreachable_since_ms: Option<UnixMillis>,
}

impl MachineRecord {
    /// A machine that has just been rented.
    pub fn rented(
        machine_type: Arc<str>,
        zone: Arc<str>,
        spot: bool,
        shard: ShardId,
        rented_ms: UnixMillis,
    ) -> MachineRecord {
        MachineRecord {
            machine_type,
            zone,
            spot,
            shard,
            lifecycle: MachineLifecycle::Active,
            rented_ms,
            ready_ms: None,
            address: "".into(),
            images: Vec::new(),
            reclaim_ms: None,
            unreachable_since_ms: None,
        }
    }
}

/// A task that may be on a machine. It exists from its assignment to a shard until it is
/// surely gone, and counts against its team's quota all that time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The shard to which it is assigned.
    #[serde(rename = "b")]
    pub shard: ShardId,
    /// The revision of its assignment, so that no attempt's number repeats.
    #[serde(rename = "a")]
    pub attempt: Revision,
    /// The machine on which the shard's owner has placed it.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub machine: Option<MachineId>,
    /// When it was assigned; once it is placed, when that was.
    #[serde(rename = "t")]
    pub scheduled_ms: UnixMillis,
    /// When it was first seen running.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<UnixMillis>,
    /// Why it is to be stopped, if it is.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub stop_reason: Option<StopReason>,
    /// The machine for which the leader planned it; the owner may choose another.
    #[serde(skip)]
    pub placement_hint: Option<MachineId>,
}

/// The failures of a job's tasks so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureHistory {
    /// How many attempts have failed.
    #[serde(rename = "n")]
    pub count: u32,
    /// When the latest failed.
    #[serde(rename = "l")]
    pub last_ms: UnixMillis,
    /// Where they failed, each machine once, the latest last.
    #[serde(rename = "m")]
    pub machines: Vec<MachineId>,
}

/// Only so many machines are kept in a [`FailureHistory`].
const MAX_FAILED_MACHINES: usize = 8;

impl FailureHistory {
    /// Counts a failed attempt.
    pub fn record(&mut self, failed_ms: UnixMillis, machine: Option<&MachineId>) {
        self.count += 1;
        self.last_ms = failed_ms;
        let Some(machine) = machine else {
            return;
        };
        self.machines.retain(|known| known != machine);
        self.machines.push(machine.clone());
        let excess = self.machines.len().saturating_sub(MAX_FAILED_MACHINES);
        self.machines.drain(..excess);
    }
}
