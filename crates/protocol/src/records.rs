//! What rushwalk keeps in the state service.
//!
//! Few keys hold facts of their own: the leader, members, grants, machine types.
//! All the rest is a log. An entry is one key that holds the changes (`Op`) of a
//! round; the store's revisions put the entries of all controllers in one order,
//! and everybody applies them in that order by the same rules. So a change costs
//! a few bytes, not a key, and an entry that comes late or twice changes nothing
//! that has moved on. Now and then the leader writes a snapshot, after which the
//! keys of the entries before it are used again.

use crate::{cloud::MachineType, jobs::JobSpec};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Everything of ours lies below this prefix.
pub const ROOT: &str = "w/";
pub const LEADER: &str = "w/leader";
pub const TYPES: &str = "w/types";
/// Which snapshot counts, and up to which revision it holds everything.
pub const BASE: &str = "w/base";
/// Tasks per part of a job's finished tasks in a snapshot.
pub const PART: u32 = 16_384;

pub fn grant_key(block: &str) -> String {
    format!("w/g/{block}")
}
pub fn member_key(member: &str) -> String {
    format!("w/m/{member}")
}
pub fn entry_key(member: &str, slot: u64) -> String {
    format!("w/l/{member}/{slot}")
}
pub fn chunk_key(generation: u64, index: usize) -> String {
    format!("w/s/{}/{index:05}", generation % 2)
}

/// The leader's key, attached to its member lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub member: String,
    /// Rewritten to fence the leader's own commits whose fate is unknown.
    #[serde(rename = "nonce")]
    pub election_id: u64,
}

/// A running controller, attached to its member lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub zone: String,
    /// One per process, so that a restart is seen even within the lease.
    #[serde(rename = "nonce")]
    pub incarnation: u64,
    #[serde(rename = "since_ms")]
    pub registered_ms: u64,
}

/// A block lent to a controller; the token is this key's version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLease {
    #[serde(rename = "holder")]
    pub owner: String,
    #[serde(rename = "nonce")]
    pub incarnation: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    pub types: Vec<MachineType>,
}

/// A snapshot's head, written after all its chunks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotManifest {
    /// All changes up to this revision are in.
    #[serde(rename = "at")]
    pub revision: u64,
    pub generation: u64,
    pub chunks: usize,
}

/// An entry of the log, or a chunk of a snapshot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogEntry {
    /// For an entry, the version its key had before: whoever knows another one
    /// has missed a change. For a chunk, its snapshot's revision.
    #[serde(rename = "p")]
    pub previous_version: u64,
    #[serde(rename = "o")]
    pub mutations: Vec<Mutation>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    #[serde(rename = "a")]
    Active,
    #[serde(rename = "d")]
    Done,
    #[serde(rename = "c")]
    Cancelled,
}

/// Why a live task is to be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReason {
    /// Another task of its gang is gone.
    #[serde(rename = "g")]
    GangBroken,
    #[serde(rename = "p")]
    Preempted,
    #[serde(rename = "d")]
    Evicted,
    #[serde(rename = "o")]
    Straggler,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    #[serde(rename = "d")]
    Completed,
    /// Stopped, lost, or never started.
    #[serde(rename = "g")]
    Lost,
    #[serde(rename = "f")]
    Failed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MachineLifecycle {
    #[serde(rename = "u")]
    Active,
    /// Takes no new tasks.
    #[serde(rename = "d")]
    Draining,
    /// Its deletion is intended; that is final.
    #[serde(rename = "x")]
    Deleting,
}

/// A rental that was or will be asked for. The name is used once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentalRequest {
    #[serde(rename = "k")]
    pub machine_type: String,
    #[serde(rename = "z")]
    pub zone: String,
    #[serde(rename = "s")]
    pub spot: bool,
    #[serde(rename = "n")]
    pub count: u32,
    #[serde(rename = "at")]
    pub requested_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    #[serde(rename = "k")]
    pub machine_type: Arc<str>,
    #[serde(rename = "z")]
    pub zone: Arc<str>,
    #[serde(rename = "s")]
    pub spot: bool,
    #[serde(rename = "b")]
    pub shard: Arc<str>,
    #[serde(rename = "g")]
    pub lifecycle: MachineLifecycle,
    /// Time of day of the rental, in milliseconds.
    #[serde(rename = "r")]
    pub rented_ms: u64,
    /// Time of day of its first report, and the address it gave.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub ready_ms: Option<u64>,
    #[serde(rename = "a", default, skip_serializing_if = "str::is_empty")]
    pub address: Arc<str>,
    /// Images that ran on it, the latest last, with their sizes.
    #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<(Arc<str>, f64)>,
    /// Time of day at which the cloud takes it back, by its notice.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub reclaim_ms: Option<u64>,
    /// Since when its holder has heard nothing of it.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub unreachable_since_ms: Option<u64>,
}

/// A task that may be on a machine: it exists from its assignment to a block
/// until it is surely gone, and holds its quota all that time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskRecord {
    #[serde(rename = "b")]
    pub shard: Arc<str>,
    /// The revision of its assignment, so that none repeats.
    #[serde(rename = "a")]
    pub attempt: u64,
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub machine: Option<Arc<str>>,
    /// Time of day of its assignment, then placement, in milliseconds.
    #[serde(rename = "t")]
    pub scheduled_ms: u64,
    /// Time of day at which it was first seen running.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub stop_reason: Option<StopReason>,
    /// The machine that the leader had in mind; nothing relies on it.
    #[serde(skip)]
    pub placement_hint: Option<Arc<str>>,
}

/// The failures of a job's tasks so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureHistory {
    #[serde(rename = "n")]
    pub count: u32,
    #[serde(rename = "l")]
    pub last_ms: u64,
    #[serde(rename = "m")]
    pub machines: Vec<Arc<str>>,
}

/// Tasks, each with a machine.
pub type PlacementHints = Vec<(u32, Arc<str>)>;

/// One change. Each is applied only if what it rests on still holds; the rules
/// are in the view's `apply`. Times of day are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Mutation {
    /// A user's job, unless it is known.
    #[serde(rename = "j")]
    Submit(Arc<JobSpec>, u64),
    #[serde(rename = "c")]
    Cancel(Arc<str>),
    /// Tasks given to blocks, for a gang all or none, each with the machine that
    /// the leader had in mind.
    #[serde(rename = "a")]
    Assign(Arc<str>, u64, Vec<(Arc<str>, PlacementHints)>),
    /// Tasks of an attempt given to machines by their holder.
    #[serde(rename = "p")]
    Place(Arc<str>, u64, u64, Vec<(u32, Arc<str>)>),
    /// Tasks of an attempt seen running.
    #[serde(rename = "r")]
    Started(Arc<str>, u64, u64, Vec<u32>),
    /// Tasks of an attempt that are surely off their machines.
    #[serde(rename = "e")]
    Ended(Arc<str>, u64, u64, AttemptOutcome, Vec<u32>),
    /// Tasks of an attempt that are to be stopped.
    #[serde(rename = "x")]
    Stop(Arc<str>, u64, StopReason, Vec<u32>),
    /// Tasks of an attempt that no holder placed: back to the waiting.
    #[serde(rename = "b")]
    Unassign(Arc<str>, u64, Vec<u32>),
    /// A rental is intended.
    #[serde(rename = "R")]
    RequestRental(Arc<str>, RentalRequest),
    #[serde(rename = "N")]
    RentalRefused(Arc<str>),
    /// A rental's machines, each with its block.
    #[serde(rename = "M")]
    RentalFulfilled(Arc<str>, Vec<(Arc<str>, Arc<str>)>),
    /// A machine that nobody asked for, to be returned; or, in a snapshot, any.
    #[serde(rename = "F")]
    MachineAdopted(Arc<str>, MachineRecord),
    /// A later stage for machines.
    #[serde(rename = "S")]
    SetLifecycle(MachineLifecycle, Vec<Arc<str>>),
    /// Machines whose deletion the cloud has confirmed, with all on them.
    #[serde(rename = "G")]
    MachinesDeleted(Vec<Arc<str>>),
    /// First reports: names and addresses.
    #[serde(rename = "U")]
    MachinesReady(u64, Vec<(Arc<str>, Arc<str>)>),
    /// A machine will be taken back at the time given.
    #[serde(rename = "T")]
    ReclaimNotice(Arc<str>, u64),
    #[serde(rename = "Q")]
    MachinesUnreachable(u64, Vec<Arc<str>>),
    #[serde(rename = "H")]
    MachinesReachable(Vec<Arc<str>>),
    /// In snapshots: jobs that are over, with their number of tasks.
    #[serde(rename = "O")]
    RestoreFinished(JobPhase, Vec<(Arc<str>, u32)>),
    /// In snapshots: a job that is over while tasks of it linger.
    #[serde(rename = "L")]
    RestoreTerminating(Arc<str>, JobPhase),
    /// In snapshots: finished tasks from an index on, four a digit.
    #[serde(rename = "D")]
    RestoreCompletedTasks(Arc<str>, u32, String),
    /// In snapshots: live tasks.
    #[serde(rename = "V")]
    RestoreTasks(Arc<str>, Vec<(u32, TaskRecord)>),
    #[serde(rename = "W")]
    FailureSummary(Arc<str>, FailureHistory),
}

/// Finished tasks of a job, a bit each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskBitmap {
    bytes: Vec<u8>,
    count: u32,
}

impl TaskBitmap {
    pub fn contains(&self, index: u32) -> bool {
        let byte = self.bytes.get(index as usize / 8).copied().unwrap_or(0);
        byte & (1 << (index % 8)) != 0
    }

    /// True if it was not set before.
    pub fn insert(&mut self, index: u32) -> bool {
        if self.contains(index) {
            return false;
        }
        let at = index as usize / 8;
        if self.bytes.len() <= at {
            self.bytes.resize(at + 1, 0);
        }
        self.bytes[at] |= 1 << (index % 8);
        self.count += 1;
        true
    }

    pub fn count(&self) -> u32 {
        self.count
    }

    /// In parts of at most `PART` bits: the first index of each, and its digits.
    pub fn to_hex_parts(&self) -> Vec<(u32, String)> {
        let parts = self.bytes.chunks(PART as usize / 8).enumerate();
        parts
            .map(|(i, part)| {
                let text = part.iter().map(|b| format!("{b:02x}")).collect();
                (i as u32 * PART, text)
            })
            .collect()
    }

    /// Sets what `parts` wrote; false if it is not that.
    pub fn insert_hex(&mut self, from: u32, digits: &str) -> bool {
        let digit = |c: u8| (c as char).to_digit(16);
        for (i, pair) in digits.as_bytes().chunks(2).enumerate() {
            let [Some(high), Some(low)] = [digit(pair[0]), pair.get(1).and_then(|c| digit(*c))]
            else {
                return false;
            };
            for bit in 0..8 {
                if (high << 4 | low) & (1 << bit) != 0 {
                    self.insert(from + i as u32 * 8 + bit);
                }
            }
        }
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn finished_tasks_survive_a_snapshot_in_parts_that_fit_the_smallest_value() {
        let mut bits = TaskBitmap::default();
        for i in (0..100_000).filter(|i| i % 3 != 0) {
            assert!(bits.insert(i));
        }
        assert!(!bits.insert(1));
        let mut again = TaskBitmap::default();
        for (from, digits) in bits.to_hex_parts() {
            assert!(digits.len() <= 4096);
            assert!(again.insert_hex(from, &digits));
        }
        assert_eq!(again, bits);
        assert!(!again.insert_hex(0, "0x"));
    }

    #[test]
    fn changes_are_short() {
        let ran = Mutation::Started("j-000412".into(), 4711, 1000, vec![0, 1, 7]);
        let text = serde_json::to_string(&ran).unwrap();
        assert_eq!(text, r#"{"r":["j-000412",4711,1000,[0,1,7]]}"#);
        assert_eq!(serde_json::from_str::<Mutation>(&text).unwrap(), ran);
    }
}
