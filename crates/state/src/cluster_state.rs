//! A controller's replica of what the key-value store holds.
//!
//! Mutations come in the order of their revisions and are applied by rules that depend on
//! nothing else, so all replicas that have reached a revision agree. A mutation whose
//! preconditions no longer hold (another attempt, a finished job, a machine further in its
//! lifecycle) does nothing: that makes late and repeated entries harmless. Whoever commits
//! a mutation must look here for what became of it.

mod apply;
mod jobs;
mod machines;
mod queries;
mod replication;
mod restore;
mod tasks;

#[cfg(test)]
mod tests;

pub use queries::AssignedTask;

use crate::records::{
    FailureHistory, JobPhase, LeaderRecord, MachineRecord, MachineTypes, MemberRecord,
    RentalRequest, ShardLease, SnapshotManifest, TaskRecord,
};
use crate::service_counts::ServiceCounts;
use crate::task_bitmap::TaskBitmap;
use crate::{Revision, UnixMillis};
use rushwalk_protocol::ids::{JobId, MachineId, RentalId, ShardId, TaskId};
use rushwalk_protocol::jobs::{JobSpec, Priority};
use rushwalk_random::SeededMap;
use rushwalk_scheduler::durations::{DurationEstimator, RollingMean};
use rushwalk_scheduler::timeline::ImageId;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

/// A record with the version of its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The revision at which the key was last written.
    pub version: Revision,
    /// What it holds.
    pub value: T,
}

/// A job that is active, or of which tasks are still terminating.
#[derive(Debug)]
pub struct JobState {
    /// The job as its user describes it.
    pub spec: Arc<JobSpec>,
    /// Whether it is active.
    pub phase: JobPhase,
    /// When it was accepted.
    pub accepted_ms: UnixMillis,
    /// Its assigned tasks, by index, until they are surely gone.
    pub tasks: BTreeMap<u32, TaskState>,
    /// Its completed tasks.
    pub completed: TaskBitmap,
    /// Its failed attempts.
    pub failures: FailureHistory,
    /// Whether a task of it was seen running.
    pub started: bool,
    /// All tasks below this index are assigned or completed.
    first_unassigned: u32,
}

/// An assigned task.
#[derive(Debug)]
pub struct TaskState {
    /// Its record.
    pub record: TaskRecord,
    /// Whether its image had to be fetched, if that fetch shared its machine with no other
    /// and so measures the fetch rate.
    cold_start: Option<bool>,
}

/// A machine.
#[derive(Debug)]
pub struct MachineState {
    /// Its record.
    pub record: MachineRecord,
    /// The tasks placed on it.
    pub tasks: BTreeSet<TaskId>,
    /// The run time of its latest completed task less the predicted one, in seconds.
    pub prediction_error_s: f64,
    /// Run times over predicted ones, of its latest completed tasks.
    run_time_ratios: RollingMean,
    /// Jobs of which an attempt failed on it since a task completed there.
    pub failed_jobs: BTreeSet<JobId>,
    /// The images of its record, by their numbers.
    pub image_ids: Vec<ImageId>,
}

/// Machines of a shard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShardCounts {
    /// Machines that have booted.
    pub ready: usize,
    /// Of these, the machines whose heartbeats do not reach the shard's owner.
    pub unreachable: usize,
}

impl ShardCounts {
    /// Whether most machines are unreachable: rather a network partition between them and
    /// the owner than machines that failed one by one.
    pub fn mostly_unreachable(&self) -> bool {
        self.unreachable > 2 && self.unreachable * 2 > self.ready
    }
}

/// The place of an active job in the queue: by priority, then by arrival.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// The job's priority, the most urgent first.
    pub priority: Priority,
    /// When it was accepted.
    pub accepted_ms: UnixMillis,
    /// The job.
    pub job: JobId,
}

/// The arrival of a job.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it was accepted.
    pub accepted_ms: UnixMillis,
    /// The job.
    pub spec: Arc<JobSpec>,
}

/// A finished job that has no task left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FinishedJobState {
    phase: JobPhase,
    tasks: u32,
}

/// A replica of the cluster's state.
#[derive(Debug)]
pub struct ClusterState {
    /// Everything up to this revision is applied.
    pub revision: Revision,
    /// The snapshot that counts.
    pub snapshot: SnapshotManifest,
    /// A change was missed: everything must be listed again.
    pub has_gap: bool,
    /// The key of a record that this version can't read. Nothing is decided on a state that
    /// lacks a part: neither guessing nor deleting would be safe.
    pub unreadable: Option<String>,
    /// Log entries since the snapshot.
    pub entries_since_snapshot: usize,
    /// Run times, fetch rates and start overhead, learnt from the log by this process.
    pub durations: DurationEstimator,
    /// The leader, with the version that fences its commits.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The registered controllers, by name.
    pub members: BTreeMap<String, MemberRecord>,
    /// The shard leases; a lease's version is its fencing token.
    pub shard_leases: BTreeMap<ShardId, Versioned<ShardLease>>,
    /// The newest revision at which each member was seen to write a log entry or its record.
    pub last_writes: BTreeMap<String, Revision>,
    /// Versions of the keys that are not in the log.
    key_versions: HashMap<String, Revision>,
    /// Versions of the log's keys.
    pub(crate) log_versions: HashMap<String, Revision>,
    /// The machine types that the cloud offers, once they are known.
    pub machine_types: Option<Arc<MachineTypes>>,
    /// All machines.
    pub machines: BTreeMap<MachineId, MachineState>,
    /// The machines of each shard.
    pub shards: BTreeMap<ShardId, BTreeSet<MachineId>>,
    shard_counts: HashMap<ShardId, ShardCounts>,
    /// Rentals whose outcome is open.
    pub rentals: BTreeMap<RentalId, RentalRequest>,
    /// Jobs that are active or have tasks.
    pub jobs: SeededMap<JobId, JobState>,
    /// Finished jobs that have no task left.
    finished: SeededMap<JobId, FinishedJobState>,
    /// Active jobs in their order.
    pub queue: BTreeSet<QueueKey>,
    /// Jobs that have assigned tasks.
    pub jobs_with_tasks: BTreeSet<JobId>,
    /// Assigned tasks that their shard's owner has not placed.
    pub unplaced: BTreeSet<TaskId>,
    /// Machines whose tasks have changed since this was last emptied.
    pub changed_machines: BTreeSet<MachineId>,
    /// The latest arrivals of each class, in their order.
    pub arrivals: SeededMap<String, VecDeque<Arrival>>,
    /// Numbers of images, which are this process's own.
    image_ids: HashMap<Arc<str>, ImageId>,
    /// Which jobs were served, since this process first listed everything.
    pub service_counts: ServiceCounts,
}

impl ClusterState {
    /// An empty state.
    pub fn new(durations: DurationEstimator) -> ClusterState {
        ClusterState {
            revision: 0,
            snapshot: SnapshotManifest::default(),
            has_gap: false,
            unreadable: None,
            entries_since_snapshot: 0,
            durations,
            leader: None,
            members: BTreeMap::new(),
            shard_leases: BTreeMap::new(),
            last_writes: BTreeMap::new(),
            key_versions: HashMap::new(),
            log_versions: HashMap::new(),
            machine_types: None,
            machines: BTreeMap::new(),
            shards: BTreeMap::new(),
            shard_counts: HashMap::new(),
            rentals: BTreeMap::new(),
            jobs: SeededMap::default(),
            finished: SeededMap::default(),
            queue: BTreeSet::new(),
            jobs_with_tasks: BTreeSet::new(),
            unplaced: BTreeSet::new(),
            changed_machines: BTreeSet::new(),
            arrivals: SeededMap::default(),
            image_ids: HashMap::new(),
            service_counts: ServiceCounts::default(),
        }
    }
}
