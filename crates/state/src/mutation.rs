//! Mutations: the changes that log entries and snapshots consist of.
//!
//! A mutation takes effect only if its preconditions still hold when it is applied; see
//! [`ClusterState::apply`](crate::ClusterState::apply). In JSON a mutation is an object with
//! one short key for its kind. The value of a kind with several fields is an array of them,
//! in the order in which they are declared here.

use crate::records::{
    AttemptOutcome, FailureHistory, JobPhase, MachineLifecycle, MachineRecord, RentalRequest,
    StopReason, TaskRecord,
};
use crate::{Revision, UnixMillis};
use rushwalk_protocol::ids::{JobId, MachineId, RentalId, ShardId};
use rushwalk_protocol::jobs::JobSpec;
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use std::sync::Arc;

mod split;

/// One change of the cluster's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Mutation {
    /// Accepts a user's job, unless a job with the same ID was accepted before.
    #[serde(rename = "j")]
    Submit(SubmitJob),
    /// Cancels a job, unless it is already finished.
    #[serde(rename = "c")]
    Cancel(JobId),
    /// Assigns tasks to shards. The tasks of a gang are assigned all together or not at all.
    #[serde(rename = "a")]
    Assign(AssignTasks),
    /// Places assigned tasks on machines; written by the owner of their shard.
    #[serde(rename = "p")]
    Place(PlaceTasks),
    /// Records that tasks were observed running.
    #[serde(rename = "r")]
    Started(TasksStarted),
    /// Records that attempts have ended and certainly no longer run on their machines.
    #[serde(rename = "e")]
    Ended(TasksEnded),
    /// Requests that placed tasks be stopped; tasks that are not placed become unassigned.
    #[serde(rename = "x")]
    Stop(StopTasks),
    /// Makes tasks unassigned that the owner of their shard has not placed.
    #[serde(rename = "b")]
    Unassign(UnassignTasks),
    /// Records the intent to rent machines, before the request is sent to the cloud.
    #[serde(rename = "R")]
    RequestRental(RequestRental),
    /// Closes a rental for which the cloud has no machine.
    #[serde(rename = "N")]
    RentalRefused(RentalId),
    /// Closes a rental and adds the machines that the cloud has provided for it.
    #[serde(rename = "M")]
    RentalFulfilled(RentalFulfilled),
    /// In the log, adds a machine that belongs to no known rental; in a snapshot, any machine. A
    /// machine with a long list of images has several of these in a snapshot; all but the first
    /// add images that were used less recently.
    #[serde(rename = "F")]
    MachineAdopted(MachineAdopted),
    /// Moves machines forward in their lifecycle.
    #[serde(rename = "S")]
    SetLifecycle(SetLifecycle),
    /// Removes machines whose deletion the cloud has confirmed, with all tasks placed on them.
    #[serde(rename = "G")]
    MachinesDeleted(Vec<MachineId>),
    /// Records that machines sent their first heartbeat, or one from a new address.
    #[serde(rename = "U")]
    MachinesReady(MachinesReady),
    /// Records the cloud's notice that it will reclaim a spot instance, and drains it.
    #[serde(rename = "T")]
    ReclaimNotice(ReclaimNotice),
    /// Records that the owner of the machines' shard receives no heartbeats from them, or that
    /// messages between them are lost in one direction.
    #[serde(rename = "Q")]
    MachinesUnreachable(MachinesUnreachable),
    /// Records that the owner of the machines' shard exchanges messages with them again.
    #[serde(rename = "H")]
    MachinesReachable(Vec<MachineId>),
    /// Restores finished jobs without assigned tasks. This kind and the following ones occur
    /// only in snapshots.
    #[serde(rename = "O")]
    RestoreFinished(RestoreFinished),
    /// Restores the phase of a finished job of which some tasks still terminate. The mutation
    /// follows the job's [`Mutation::Submit`].
    #[serde(rename = "L")]
    RestoreTerminating(RestoreTerminating),
    /// Restores the completed tasks of a job.
    #[serde(rename = "D")]
    RestoreCompleted(RestoreCompleted),
    /// Restores assigned tasks of a job.
    #[serde(rename = "V")]
    RestoreTasks(RestoreTasks),
    /// Restores the failed attempts of a job's tasks.
    #[serde(rename = "W")]
    RestoreFailures(RestoreFailures),
}

impl Mutation {
    /// The name of the mutation's kind, for log lines and errors.
    pub fn kind(&self) -> &'static str {
        match self {
            Mutation::Submit(_) => "Submit",
            Mutation::Cancel(_) => "Cancel",
            Mutation::Assign(_) => "Assign",
            Mutation::Place(_) => "Place",
            Mutation::Started(_) => "Started",
            Mutation::Ended(_) => "Ended",
            Mutation::Stop(_) => "Stop",
            Mutation::Unassign(_) => "Unassign",
            Mutation::RequestRental(_) => "RequestRental",
            Mutation::RentalRefused(_) => "RentalRefused",
            Mutation::RentalFulfilled(_) => "RentalFulfilled",
            Mutation::MachineAdopted(_) => "MachineAdopted",
            Mutation::SetLifecycle(_) => "SetLifecycle",
            Mutation::MachinesDeleted(_) => "MachinesDeleted",
            Mutation::MachinesReady(_) => "MachinesReady",
            Mutation::ReclaimNotice(_) => "ReclaimNotice",
            Mutation::MachinesUnreachable(_) => "MachinesUnreachable",
            Mutation::MachinesReachable(_) => "MachinesReachable",
            Mutation::RestoreFinished(_) => "RestoreFinished",
            Mutation::RestoreTerminating(_) => "RestoreTerminating",
            Mutation::RestoreCompleted(_) => "RestoreCompleted",
            Mutation::RestoreTasks(_) => "RestoreTasks",
            Mutation::RestoreFailures(_) => "RestoreFailures",
        }
    }
}

/// The maximum length of a list in one mutation. A longer list is split into several mutations
/// (see [`in_batches`]), except the tasks of a gang, which are assigned by a single mutation. A
/// list that still exceeds the size limit of a value is split again when it is packed.
pub const MAX_BATCH: usize = 100;

/// Splits a list into mutations of at most [`MAX_BATCH`] items each.
pub fn in_batches<T: Clone>(
    items: &[T],
    mutation: impl Fn(Vec<T>) -> Mutation,
) -> impl Iterator<Item = Mutation> {
    items
        .chunks(MAX_BATCH)
        .map(move |batch| mutation(batch.to_vec()))
}

/// A job that a user has submitted; see [`Mutation::Submit`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct SubmitJob {
    /// The job as submitted by its user.
    pub spec: Arc<JobSpec>,
    /// When the job was accepted.
    pub accepted_ms: UnixMillis,
}

/// Tasks of one job that the leader assigns to shards; see [`Mutation::Assign`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct AssignTasks {
    /// The job to which all the tasks belong.
    pub job: JobId,
    /// When the leader assigned the tasks.
    pub assigned_ms: UnixMillis,
    /// The tasks assigned to each shard.
    pub shards: Vec<ShardTasks>,
}

/// Tasks of one job that are assigned to one shard.
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct ShardTasks {
    /// The shard to which the tasks are assigned.
    pub shard: ShardId,
    /// The tasks, each with the machine for which the leader planned it; the machine's ID is
    /// empty if the leader planned none.
    pub tasks: Vec<TaskOnMachine>,
}

/// A task with the machine on which it is placed or for which it is planned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct TaskOnMachine {
    /// The task's index in its job.
    pub task: u32,
    /// The ID of the machine; empty in an [`AssignTasks`] if no machine is planned.
    pub machine: MachineId,
}

/// Tasks of one attempt that are placed on machines; see [`Mutation::Place`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct PlaceTasks {
    /// The job to which the tasks belong.
    pub job: JobId,
    /// The attempt; tasks whose current attempt is another one are skipped.
    pub attempt: Revision,
    /// When the shard's owner placed the tasks.
    pub placed_ms: UnixMillis,
    /// The tasks, each with the machine on which it is placed.
    pub tasks: Vec<TaskOnMachine>,
}

/// Tasks of one attempt that were observed running; see [`Mutation::Started`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct TasksStarted {
    /// The job to which the tasks belong.
    pub job: JobId,
    /// The attempt; tasks whose current attempt is another one are skipped.
    pub attempt: Revision,
    /// When the tasks were first observed running.
    pub started_ms: UnixMillis,
    /// The indexes of the tasks in the job.
    pub tasks: Vec<u32>,
}

/// Tasks of one attempt that have ended with the same outcome; see [`Mutation::Ended`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct TasksEnded {
    /// The job to which the tasks belong.
    pub job: JobId,
    /// The attempt; tasks whose current attempt is another one are skipped.
    pub attempt: Revision,
    /// When the owner of the shard detected the end of the tasks.
    pub ended_ms: UnixMillis,
    /// The outcome, the same for all tasks of the list.
    pub outcome: AttemptOutcome,
    /// The indexes of the tasks in the job.
    pub tasks: Vec<u32>,
}

/// Tasks of one attempt that are to be stopped; see [`Mutation::Stop`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct StopTasks {
    /// The job to which the tasks belong.
    pub job: JobId,
    /// The attempt; tasks whose current attempt is another one are skipped.
    pub attempt: Revision,
    /// Why the tasks are stopped.
    pub reason: StopReason,
    /// The indexes of the tasks in the job.
    pub tasks: Vec<u32>,
}

/// Tasks of one attempt that were not placed; see [`Mutation::Unassign`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct UnassignTasks {
    /// The job to which the tasks belong.
    pub job: JobId,
    /// The attempt; tasks whose current attempt is another one are skipped.
    pub attempt: Revision,
    /// The indexes of the tasks in the job.
    pub tasks: Vec<u32>,
}

/// A rental that the leader has decided; see [`Mutation::RequestRental`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct RequestRental {
    /// The idempotency key of the request to the cloud.
    pub rental: RentalId,
    /// The request that is sent to the cloud.
    pub request: RentalRequest,
}

/// The machines that the cloud provided for a rental; see [`Mutation::RentalFulfilled`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct RentalFulfilled {
    /// The rental; it must be open.
    pub rental: RentalId,
    /// The rented machines, each with the shard that it joins.
    pub machines: Vec<RentedMachine>,
}

/// A rented machine with the shard that it joins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct RentedMachine {
    /// The ID of the machine, as assigned by the cloud.
    pub machine: MachineId,
    /// The shard that the machine joins for its whole life.
    pub shard: ShardId,
}

/// A machine with its record; see [`Mutation::MachineAdopted`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct MachineAdopted {
    /// The ID of the machine, as assigned by the cloud.
    pub machine: MachineId,
    /// The record that the machine starts with.
    pub record: MachineRecord,
}

/// Machines that enter a lifecycle stage; see [`Mutation::SetLifecycle`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct SetLifecycle {
    /// The new lifecycle stage; machines at a later stage keep theirs.
    pub lifecycle: MachineLifecycle,
    /// The machines that enter the stage.
    pub machines: Vec<MachineId>,
}

/// Machines whose workers have sent a heartbeat; see [`Mutation::MachinesReady`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct MachinesReady {
    /// When the shard's owner recorded the heartbeats; ignored for machines that are ready
    /// already.
    pub ready_ms: UnixMillis,
    /// The machines with their current addresses.
    pub machines: Vec<MachineAddress>,
}

/// A machine with the address at which its worker accepts commands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct MachineAddress {
    /// The ID of the machine.
    pub machine: MachineId,
    /// The address, as `IP:port`.
    pub address: Arc<str>,
}

/// The cloud's notice for one spot instance; see [`Mutation::ReclaimNotice`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct ReclaimNotice {
    /// The ID of the spot instance.
    pub machine: MachineId,
    /// When the cloud reclaims the machine.
    pub reclaim_ms: UnixMillis,
}

/// Machines that became unreachable for the owner of their shard; see
/// [`Mutation::MachinesUnreachable`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct MachinesUnreachable {
    /// When the owner of the shard detected this; ignored for machines that are unreachable
    /// already.
    pub since_ms: UnixMillis,
    /// The machines that became unreachable.
    pub machines: Vec<MachineId>,
}

/// Finished jobs that ended in the same phase; see [`Mutation::RestoreFinished`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct RestoreFinished {
    /// Whether the jobs are all done or all cancelled.
    pub phase: JobPhase,
    /// The jobs, each with its number of tasks.
    pub jobs: Vec<FinishedJob>,
}

/// A finished job with its number of tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct FinishedJob {
    /// The ID of the job.
    pub job: JobId,
    /// The job's number of tasks.
    pub tasks: u32,
}

/// A finished job with tasks that still terminate; see [`Mutation::RestoreTerminating`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct RestoreTerminating {
    /// The ID of the finished job.
    pub job: JobId,
    /// Whether the job is done or cancelled.
    pub phase: JobPhase,
}

/// Completed tasks of a job, as a part of its bitmap; see [`Mutation::RestoreCompleted`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct RestoreCompleted {
    /// The job to which the tasks belong.
    pub job: JobId,
    /// Index of the first task that the digits describe.
    pub first_task: u32,
    /// Two hexadecimal digits for every eight tasks, as written by
    /// [`TaskBitmap::to_hex_parts`](crate::TaskBitmap::to_hex_parts).
    pub bitmap_hex: String,
}

/// Assigned tasks of a job; see [`Mutation::RestoreTasks`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct RestoreTasks {
    /// The job to which the tasks belong.
    pub job: JobId,
    /// The assigned tasks with their records.
    pub tasks: Vec<RestoredTask>,
}

/// An assigned task with its record.
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct RestoredTask {
    /// The task's index in its job.
    pub task: u32,
    /// The replicated record of the task, without its placement hint.
    pub record: TaskRecord,
}

/// The failed attempts of a job's tasks; see [`Mutation::RestoreFailures`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct RestoreFailures {
    /// The job to which the attempts belong.
    pub job: JobId,
    /// The failed attempts of the job's tasks.
    pub failures: FailureHistory,
}
