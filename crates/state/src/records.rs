//! The records as they are stored. The stored field names are short and must never change:
//! data of earlier versions must stay readable (`tests/stored_data.rs`).

use crate::mutation::Mutation;
use crate::{Revision, UnixMillis};
use rushwalk_protocol::cloud::MachineType;
use rushwalk_protocol::ids::{MachineId, ShardId};
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use std::sync::Arc;

/// The record of the leader. Its key is attached to the same lease of the store as the
/// leader's [`MemberRecord`] and disappears when that lease expires.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The name of the member that leads.
    pub member: String,
    /// A random number that identifies the election. A leader with commits of unknown
    /// outcome writes the record again with a new number: commits conditioned on the old
    /// version of the key then fail.
    #[serde(rename = "nonce")]
    pub election_id: u64,
}

/// The record of a running controller. Its key is attached to the controller's member lease,
/// which the controller renews in the store, and disappears when that lease expires.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The zone in which the controller runs.
    pub zone: String,
    /// A random number that identifies the process, so that a restart is detected even if the
    /// member lease of the previous process has not expired.
    #[serde(rename = "nonce")]
    pub incarnation: u64,
    /// When the process registered.
    #[serde(rename = "since_ms")]
    pub registered_ms: UnixMillis,
}

/// The assignment of a shard to a controller. The version of its key is the fencing token
/// of every command that the owner sends to the shard's workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLease {
    /// The member that owns the shard.
    #[serde(rename = "holder")]
    pub owner: String,
    /// The incarnation of the owning process: a restarted process of the same name does not
    /// inherit the lease.
    #[serde(rename = "nonce")]
    pub incarnation: u64,
}

/// The machine types that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types, in the cloud's order.
    pub types: Vec<MachineType>,
}

impl MachineTypes {
    /// The index of the type called `name`; `None` if the cloud does not offer it.
    pub fn position(&self, name: &str) -> Option<usize> {
        self.types.iter().position(|t| t.name == name)
    }

    /// The type called `name`; `None` if the cloud does not offer it.
    pub fn get(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }
}

/// The manifest of a snapshot. It is written after all chunks; only this makes the snapshot
/// the current one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotManifest {
    /// The snapshot covers all changes up to this revision.
    #[serde(rename = "at")]
    pub revision: Revision,
    /// Increases by 1 with every snapshot; its parity selects the keys of the chunks.
    pub generation: u64,
    /// The number of chunks.
    pub chunks: usize,
}

/// An entry of the log, or a chunk of a snapshot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogEntry {
    /// In a log entry, the version that its key had before the write: a replica that knows
    /// a different version has missed an entry. In a chunk, the revision of its snapshot.
    #[serde(rename = "p")]
    pub previous_version: Revision,
    /// The mutations, in the order in which they are applied.
    #[serde(rename = "o")]
    pub mutations: Vec<Mutation>,
}

/// The phase of an accepted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// The job is neither done nor cancelled.
    #[serde(rename = "a")]
    Active,
    /// All tasks of the job have completed or, for a gang, one of them has.
    #[serde(rename = "d")]
    Done,
    /// The user has cancelled the job before it was done.
    #[serde(rename = "c")]
    Cancelled,
}

/// Why a task is to be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StopReason {
    /// Another task of the same gang has ended or is being stopped.
    #[serde(rename = "g")]
    GangBroken,
    /// The task's resources go to a job that may preempt it. This version of rushwalk never
    /// writes the reason, but stored data may contain it.
    #[serde(rename = "p")]
    Preempted,
    /// The task's machine is being drained.
    #[serde(rename = "d")]
    Evicted,
    /// The task runs much longer than predicted, and another machine has room to start it
    /// again at once.
    #[serde(rename = "o")]
    Straggler,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The task completed: it is never assigned again.
    #[serde(rename = "d")]
    Completed,
    /// The attempt neither completed nor counts as a failure of the task. It was stopped,
    /// ended with its gang or never started, its worker's lease expired, or its worker no
    /// longer has it. An exit cause that this version of rushwalk does not know counts as
    /// this outcome, too.
    #[serde(rename = "g")]
    Lost,
    /// The task exited with an error, or its worker refused to start it because the machine
    /// had no room for it or there is no such job or task.
    #[serde(rename = "f")]
    Failed,
}

/// The lifecycle of a machine, which only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MachineLifecycle {
    /// The machine accepts tasks once it is ready.
    #[serde(rename = "u")]
    Active,
    /// The machine accepts no new tasks.
    #[serde(rename = "d")]
    Draining,
    /// The machine is to be deleted; this stage is final.
    #[serde(rename = "x")]
    Deleting,
}

/// A request to rent machines, which was or will be sent to the cloud.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentalRequest {
    /// The name of the machine type.
    #[serde(rename = "k")]
    pub machine_type: String,
    /// The name of the zone in which the machines are requested.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether spot instances are requested.
    #[serde(rename = "s")]
    pub spot: bool,
    /// The number of machines.
    #[serde(rename = "n")]
    pub count: u32,
    /// When the leader began the scheduling round that decided the request.
    #[serde(rename = "at")]
    pub requested_ms: UnixMillis,
}

/// An image in a machine's cache.
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct CachedImage {
    /// The name of the image, which identifies it.
    pub name: Arc<str>,
    /// The size of the image in GB.
    pub size_gb: f64,
}

/// The replicated record of a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The name of the machine's type; see [`MachineRecord::has_known_type`].
    #[serde(rename = "k")]
    pub machine_type: Arc<str>,
    /// The zone of the machine.
    #[serde(rename = "z")]
    pub zone: Arc<str>,
    /// Whether the machine is a spot instance.
    #[serde(rename = "s")]
    pub spot: bool,
    /// The shard of the machine; it never changes.
    #[serde(rename = "b")]
    pub shard: ShardId,
    /// Whether the machine accepts tasks, is drained or is to be deleted.
    #[serde(rename = "g")]
    pub lifecycle: MachineLifecycle,
    /// When the machine's rental was requested; of an adopted machine, when the cloud
    /// created it.
    #[serde(rename = "r")]
    pub rented_ms: UnixMillis,
    /// When the first heartbeat was received; `None` while the machine boots.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub ready_ms: Option<UnixMillis>,
    /// The address at which the machine's worker accepts commands, as `IP:port`; empty until
    /// it is known.
    #[serde(rename = "a", default, skip_serializing_if = "str::is_empty")]
    pub address: Arc<str>,
    /// The images that the machine's cache is expected to hold, as derived from the tasks that
    /// have run there; the most recently used one is last.
    #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<CachedImage>,
    /// When the cloud reclaims the machine; `None` unless it sent a reclaim notice.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub reclaim_ms: Option<UnixMillis>,
    /// When the owner of the shard detected that it receives no heartbeats from the machine, or
    /// that messages between them are lost in one direction; `None` while the machine counts
    /// as reachable.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub unreachable_since_ms: Option<UnixMillis>,
}

impl MachineRecord {
    /// The record of a newly rented machine: active and booting.
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

    /// The record of a machine of which only a task on it is known. Its type is empty.
    pub fn of_unknown_type(task: &TaskRecord) -> MachineRecord {
        let zone = task.shard.zone().into();
        MachineRecord::rented(
            "".into(),
            zone,
            false,
            task.shard.clone(),
            task.scheduled_ms,
        )
    }

    /// Whether the machine's type is known. It is not if the machine was restored from a snapshot
    /// that lacked its record.
    pub fn has_known_type(&self) -> bool {
        !self.machine_type.is_empty()
    }
}

/// The replicated record of an assigned task. It exists from the assignment to a shard
/// until it is certain that the task does not run, and counts against the team's quota all
/// that time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The shard to which the task is assigned.
    #[serde(rename = "b")]
    pub shard: ShardId,
    /// The revision of the log entry that assigned the task. It identifies the attempt, since
    /// every assignment of the task has another revision.
    #[serde(rename = "a")]
    pub attempt: Revision,
    /// The machine on which the shard's owner has placed the task; `None` before that.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub machine: Option<MachineId>,
    /// When the task was placed; before its placement, when it was assigned.
    #[serde(rename = "t")]
    pub scheduled_ms: UnixMillis,
    /// When the task was first observed running; `None` before that.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<UnixMillis>,
    /// Why the task is to be stopped; `None` unless a stop was requested.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub stop_reason: Option<StopReason>,
    /// The machine for which the leader planned the task; the shard's owner may place it on
    /// another one. The name is empty if the leader planned no machine; the field is `None` if
    /// the record was read from a snapshot.
    #[serde(skip)]
    pub placement_hint: Option<MachineId>,
}

/// The failed attempts of a job's tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureHistory {
    /// The number of failed attempts.
    #[serde(rename = "n")]
    pub count: u32,
    /// When the end of the latest failed attempt was detected; 0 before the first.
    #[serde(rename = "l")]
    pub last_ms: UnixMillis,
    /// The machines of the latest failures, each once, the most recent last; at most 8.
    #[serde(rename = "m")]
    pub machines: Vec<MachineId>,
}

/// The maximum number of machines in a [`FailureHistory`].
const MAX_FAILED_MACHINES: usize = 8;

impl FailureHistory {
    /// Records a failed attempt and its machine, if the attempt was placed.
    pub fn record(&mut self, failed_ms: UnixMillis, machine: Option<&MachineId>) {
        self.count += 1;
        self.last_ms = failed_ms;
        let Some(machine) = machine else {
            return;
        };
        self.machines.retain(|earlier| earlier != machine);
        self.machines.push(machine.clone());
        let excess = self.machines.len().saturating_sub(MAX_FAILED_MACHINES);
        self.machines.drain(..excess);
    }
}
