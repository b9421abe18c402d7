//! A controller's replica of the cluster's state in the key-value store.
//!
//! Mutations are applied in the order of their revisions, by rules that depend only on the
//! mutations before them, so all replicas at the same revision agree on the replicated
//! state. (Learnt durations, recent arrivals and job counts are local to each process.) A
//! mutation whose preconditions no longer hold (a newer attempt, a finished job, a machine
//! at a later stage of its lifecycle) has no effect, so late and repeated entries are
//! harmless. A successful commit therefore does not mean that the mutation took effect: the
//! committer must check the result in this state.

mod apply;
mod image_cache;
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
    /// The record that was written at that revision.
    pub value: T,
}

/// A job that is active, or that is finished while some of its tasks still terminate.
#[derive(Debug)]
pub struct JobState {
    /// The job as submitted by its user.
    pub spec: Arc<JobSpec>,
    /// Active, done or cancelled.
    pub phase: JobPhase,
    /// When the job was accepted.
    pub accepted_ms: UnixMillis,
    /// The job's assigned tasks, by index. A task stays here until it is certain that it
    /// no longer runs.
    pub tasks: BTreeMap<u32, TaskState>,
    /// The job's completed tasks.
    pub completed: TaskBitmap,
    /// The failed attempts of the job's tasks.
    pub failures: FailureHistory,
    /// Whether any task of the job has been observed running.
    pub started: bool,
    /// All tasks below this index are assigned or completed: the search for unassigned
    /// tasks begins here.
    first_unassigned: u32,
}

/// An assigned task: its replicated record, and what this process knows of its start.
#[derive(Debug)]
pub struct TaskState {
    /// The replicated record of the task.
    pub record: TaskRecord,
    /// Whether the task had to wait for its image to be fetched. `None` before the placement,
    /// and if neither fetch rate nor start overhead can be learnt from the time until the task
    /// started: another task on the machine may have been fetching at the same time, or the
    /// placement was read from a snapshot.
    cold_start: Option<bool>,
}

/// A machine, from its rental or adoption until its deletion is confirmed.
#[derive(Debug)]
pub struct MachineState {
    /// The replicated record of the machine.
    pub record: MachineRecord,
    /// The tasks placed on the machine whose end is not confirmed.
    pub tasks: BTreeSet<TaskId>,
    /// Actual minus predicted run time of the machine's latest completed task, in seconds;
    /// 0 before the first.
    pub prediction_error_s: f64,
    /// Ratios of actual to predicted run time of the machine's latest completed tasks.
    run_time_ratios: RollingMean,
    /// Jobs with an attempt that failed on the machine since a task last completed there.
    pub failed_jobs: BTreeSet<JobId>,
    /// The IDs of the images in the machine's cache, in the order of the record's list.
    pub image_ids: Vec<ImageId>,
}

/// Numbers of machines of a shard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShardCounts {
    /// Machines that have sent their first heartbeat, reachable or not.
    pub ready: usize,
    /// Ready machines that are unreachable for the shard's owner: it receives no heartbeats from
    /// them, or messages are lost in one direction.
    pub unreachable: usize,
}

impl ShardCounts {
    /// Whether more than two ready machines, and more than half of them, are unreachable.
    /// This indicates a network partition between the owner and the machines rather than
    /// independent machine failures.
    pub fn mostly_unreachable(&self) -> bool {
        self.unreachable > 2 && self.unreachable * 2 > self.ready
    }
}

/// The position of an active job in the queue: ordered by priority, then by time of
/// acceptance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// The job's priority; the highest priority comes first.
    pub priority: Priority,
    /// When the job was accepted.
    pub accepted_ms: UnixMillis,
    /// The job's ID, which orders jobs that were accepted in the same millisecond.
    pub job: JobId,
}

/// The arrival of a job, kept to estimate the arrival rate of its class.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When the job was accepted.
    pub accepted_ms: UnixMillis,
    /// The job as submitted by its user.
    pub spec: Arc<JobSpec>,
}

/// A finished job without assigned tasks: what a status query needs of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FinishedJobState {
    phase: JobPhase,
    tasks: u32,
}

/// A replica of the cluster's state.
#[derive(Debug)]
pub struct ClusterState {
    /// All changes up to this revision are applied.
    pub revision: Revision,
    /// The manifest of the current snapshot; all zero before the first one.
    pub snapshot: SnapshotManifest,
    /// Whether a log entry was missed: the state is incomplete and must be replaced by a
    /// new listing of the store.
    pub has_gap: bool,
    /// The first key whose record this version of rushwalk can't read; `None` if it has read
    /// all. No decisions are made from an incomplete state, since neither guessing nor
    /// deleting the record would be safe.
    pub unreadable: Option<String>,
    /// The number of log entries after the current snapshot.
    pub entries_since_snapshot: usize,
    /// Estimates of run times, image fetch rates and the overhead of task starts, which this
    /// process learns from the log entries that it applies.
    pub durations: DurationEstimator,
    /// The leader; the version of its key fences the leader's commits. `None` while no
    /// leader is elected.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The registered controllers, by name.
    pub members: BTreeMap<String, MemberRecord>,
    /// The shard leases; a lease's version is its fencing token.
    pub shard_leases: BTreeMap<ShardId, Versioned<ShardLease>>,
    /// The revision at which each member last wrote its member record or a log entry, by
    /// member name. Log entries count only if a watch returned them, not a listing.
    pub last_writes: BTreeMap<String, Revision>,
    /// Versions of all keys outside the log.
    key_versions: HashMap<String, Revision>,
    /// Versions of the keys of log entries.
    pub(crate) log_versions: HashMap<String, Revision>,
    /// The machine types that the cloud offers; `None` until they are stored.
    pub machine_types: Option<Arc<MachineTypes>>,
    /// All machines whose deletion is not yet confirmed.
    pub machines: BTreeMap<MachineId, MachineState>,
    /// The machines of each shard. A shard whose machines are all deleted stays, empty.
    pub shards: BTreeMap<ShardId, BTreeSet<MachineId>>,
    shard_counts: HashMap<ShardId, ShardCounts>,
    /// Rentals that the cloud has neither fulfilled nor refused.
    pub rentals: BTreeMap<RentalId, RentalRequest>,
    /// Jobs that are active or have assigned tasks.
    pub jobs: SeededMap<JobId, JobState>,
    /// Finished jobs without assigned tasks.
    finished: SeededMap<JobId, FinishedJobState>,
    /// Active jobs in scheduling order.
    pub queue: BTreeSet<QueueKey>,
    /// Jobs that have assigned tasks.
    pub jobs_with_tasks: BTreeSet<JobId>,
    /// Tasks that are assigned to a shard but not yet placed by its owner.
    pub unplaced: BTreeSet<TaskId>,
    /// Machines that this process has yet to examine, since a task on them was added, removed
    /// or requested to stop; after a listing, all machines.
    pub changed_machines: BTreeSet<MachineId>,
    /// The latest arrivals of each class, ordered by time of acceptance.
    pub arrivals: SeededMap<String, VecDeque<Arrival>>,
    /// IDs of images by name. Each process numbers the images on its own.
    image_ids: HashMap<Arc<str>, ImageId>,
    /// Counts of accepted, started and finished jobs, from the mutations that this process has
    /// applied. From its first listing of the store it counts the jobs that the snapshot
    /// contains as active or terminating, and the changes in the log entries after the
    /// snapshot.
    pub service_counts: ServiceCounts,
}

impl ClusterState {
    /// An empty state at revision 0.
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
