//! Mutations: the changes of which the log and the snapshots are made.
//!
//! Each takes effect only if what it rests on still holds; the rules are in
//! [`ClusterState::apply`](crate::ClusterState::apply). In JSON a mutation is an object
//! with one short key, whose value lists the fields in their order here.

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

/// One change of the cluster's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Mutation {
    /// Accepts a user's job, unless it is known.
    #[serde(rename = "j")]
    Submit(SubmitJob),
    /// Cancels a job, unless it is done.
    #[serde(rename = "c")]
    Cancel(JobId),
    /// Assigns tasks to shards; the tasks of a gang all or none.
    #[serde(rename = "a")]
    Assign(AssignTasks),
    /// Places assigned tasks on machines, by the owner of their shard.
    #[serde(rename = "p")]
    Place(PlaceTasks),
    /// Tasks were seen running.
    #[serde(rename = "r")]
    Started(TasksStarted),
    /// Tasks are surely off their machines.
    #[serde(rename = "e")]
    Ended(TasksEnded),
    /// Tasks are to be stopped.
    #[serde(rename = "x")]
    Stop(StopTasks),
    /// Tasks that their shard's owner has not placed become unassigned.
    #[serde(rename = "b")]
    Unassign(UnassignTasks),
    /// A rental is intended.
    #[serde(rename = "R")]
    RequestRental(RequestRental),
    /// The cloud has no machine for a rental.
    #[serde(rename = "N")]
    RentalRefused(RentalId),
    /// The cloud has rented machines.
    #[serde(rename = "M")]
    RentalFulfilled(RentalFulfilled),
    /// A machine becomes known that no rental announced; in a snapshot, any machine.
    #[serde(rename = "F")]
    MachineAdopted(MachineAdopted),
    /// Machines move forward in their lifecycle.
    #[serde(rename = "S")]
    SetLifecycle(SetLifecycle),
    /// The cloud has confirmed the deletion of machines, and of all on them.
    #[serde(rename = "G")]
    MachinesDeleted(Vec<MachineId>),
    /// Machines sent their first heartbeat, or one from another address.
    #[serde(rename = "U")]
    MachinesReady(MachinesReady),
    /// The cloud will reclaim a spot instance.
    #[serde(rename = "T")]
    ReclaimNotice(ReclaimNotice),
    /// The owner of their shard receives no heartbeats of machines.
    #[serde(rename = "Q")]
    MachinesUnreachable(MachinesUnreachable),
    /// The owner of their shard receives heartbeats of machines again.
    #[serde(rename = "H")]
    MachinesReachable(Vec<MachineId>),
    /// In snapshots: jobs that are finished and have no task left.
    #[serde(rename = "O")]
    RestoreFinished(RestoreFinished),
    /// In snapshots: a job that is finished while tasks of it are still terminating.
    #[serde(rename = "L")]
    RestoreTerminating(RestoreTerminating),
    /// In snapshots: completed tasks of a job.
    #[serde(rename = "D")]
    RestoreCompleted(RestoreCompleted),
    /// In snapshots: assigned tasks of a job.
    #[serde(rename = "V")]
    RestoreTasks(RestoreTasks),
    /// In snapshots: the failures of a job.
    #[serde(rename = "W")]
    RestoreFailures(RestoreFailures),
}

/// The most items of a list in one mutation, so that every mutation fits a value of the
/// store. A longer list becomes several mutations (see [`in_batches`]).
pub const MAX_BATCH: usize = 100;

/// Makes mutations of a list, each of at most [`MAX_BATCH`] items.
pub fn in_batches<T: Clone>(
    items: &[T],
    mutation: impl Fn(Vec<T>) -> Mutation,
) -> impl Iterator<Item = Mutation> {
    items
        .chunks(MAX_BATCH)
        .map(move |batch| mutation(batch.to_vec()))
}

/// See [`Mutation::Submit`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct SubmitJob {
    /// The job as its user describes it.
    pub spec: Arc<JobSpec>,
    /// When it was accepted.
    pub accepted_ms: UnixMillis,
}

/// See [`Mutation::Assign`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct AssignTasks {
    /// The job.
    pub job: JobId,
    /// When they are assigned.
    pub assigned_ms: UnixMillis,
    /// The shards, with the tasks that each gets.
    pub shards: Vec<ShardTasks>,
}

/// Tasks of one job that are assigned to one shard.
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct ShardTasks {
    /// The shard.
    pub shard: ShardId,
    /// The tasks, each with the machine for which the leader planned it (empty for none).
    pub tasks: Vec<TaskOnMachine>,
}

/// A task with a machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct TaskOnMachine {
    /// The task's index in its job.
    pub task: u32,
    /// The machine.
    pub machine: MachineId,
}

/// See [`Mutation::Place`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct PlaceTasks {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: Revision,
    /// When they are placed.
    pub placed_ms: UnixMillis,
    /// The tasks with their machines.
    pub tasks: Vec<TaskOnMachine>,
}

/// See [`Mutation::Started`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct TasksStarted {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: Revision,
    /// When they were seen running.
    pub started_ms: UnixMillis,
    /// The tasks.
    pub tasks: Vec<u32>,
}

/// See [`Mutation::Ended`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct TasksEnded {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: Revision,
    /// When their end was noticed.
    pub ended_ms: UnixMillis,
    /// How they ended.
    pub outcome: AttemptOutcome,
    /// The tasks.
    pub tasks: Vec<u32>,
}

/// See [`Mutation::Stop`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct StopTasks {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: Revision,
    /// Why.
    pub reason: StopReason,
    /// The tasks.
    pub tasks: Vec<u32>,
}

/// See [`Mutation::Unassign`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct UnassignTasks {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: Revision,
    /// The tasks.
    pub tasks: Vec<u32>,
}

/// See [`Mutation::RequestRental`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct RequestRental {
    /// The idempotency key of the request to the cloud.
    pub rental: RentalId,
    /// What is requested.
    pub request: RentalRequest,
}

/// See [`Mutation::RentalFulfilled`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct RentalFulfilled {
    /// The rental.
    pub rental: RentalId,
    /// The machines, each with the shard that it joins.
    pub machines: Vec<RentedMachine>,
}

/// A rented machine with its shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct RentedMachine {
    /// The machine.
    pub machine: MachineId,
    /// The shard that it joins.
    pub shard: ShardId,
}

/// See [`Mutation::MachineAdopted`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct MachineAdopted {
    /// The machine.
    pub machine: MachineId,
    /// Its record.
    pub record: MachineRecord,
}

/// See [`Mutation::SetLifecycle`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct SetLifecycle {
    /// Where they move to; machines that are further stay there.
    pub lifecycle: MachineLifecycle,
    /// The machines.
    pub machines: Vec<MachineId>,
}

/// See [`Mutation::MachinesReady`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct MachinesReady {
    /// When their heartbeats came.
    pub ready_ms: UnixMillis,
    /// The machines with their addresses.
    pub machines: Vec<MachineAddress>,
}

/// A machine with the address at which its worker takes commands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct MachineAddress {
    /// The machine.
    pub machine: MachineId,
    /// The address, as `IP:port`.
    pub address: Arc<str>,
}

/// See [`Mutation::ReclaimNotice`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct ReclaimNotice {
    /// The machine.
    pub machine: MachineId,
    /// When the cloud reclaims it.
    pub reclaim_ms: UnixMillis,
}

/// See [`Mutation::MachinesUnreachable`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct MachinesUnreachable {
    /// When that was noticed.
    pub since_ms: UnixMillis,
    /// The machines.
    pub machines: Vec<MachineId>,
}

/// See [`Mutation::RestoreFinished`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct RestoreFinished {
    /// How they finished.
    pub phase: JobPhase,
    /// The jobs.
    pub jobs: Vec<FinishedJob>,
}

/// A finished job with its number of tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct FinishedJob {
    /// The job.
    pub job: JobId,
    /// How many tasks it has.
    pub tasks: u32,
}

/// See [`Mutation::RestoreTerminating`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct RestoreTerminating {
    /// The job.
    pub job: JobId,
    /// How it finished.
    pub phase: JobPhase,
}

/// See [`Mutation::RestoreCompleted`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct RestoreCompleted {
    /// The job.
    pub job: JobId,
    /// Index of the first task that the digits describe.
    pub first_task: u32,
    /// Hexadecimal digits, of four tasks each; see [`TaskBitmap`](crate::TaskBitmap).
    pub bitmap_hex: String,
}

/// See [`Mutation::RestoreTasks`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct RestoreTasks {
    /// The job.
    pub job: JobId,
    /// Its tasks.
    pub tasks: Vec<RestoredTask>,
}

/// A task with its record.
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct RestoredTask {
    /// The task's index in its job.
    pub task: u32,
    /// Its record.
    pub record: TaskRecord,
}

/// See [`Mutation::RestoreFailures`].
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct RestoreFailures {
    /// The job.
    pub job: JobId,
    /// Its failures.
    pub failures: FailureHistory,
}
