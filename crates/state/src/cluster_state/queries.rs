//! Read access to the state.

use super::{ClusterState, JobState, MachineState, ShardCounts, TaskState};
use crate::Revision;
use crate::records::{JobPhase, ShardLease};
use rushwalk_protocol::ids::TaskId;
use rushwalk_protocol::jobs::{JobStatus, StatusPhase};
use rushwalk_scheduler::capacity::InstanceKind;
use rushwalk_scheduler::timeline::ImageId;
use std::collections::BTreeMap;

/// A machine is slow if the mean ratio of actual to predicted run time of its tasks exceeds
/// this. A lower ratio is within the error of the predictions.
const SLOW_MACHINE_RATIO: f64 = 1.5;

/// An assigned task, with its job.
#[derive(Debug, Clone, Copy)]
pub struct AssignedTask<'a> {
    /// The job to which the task belongs.
    pub job: &'a JobState,
    /// The state of the task.
    pub task: &'a TaskState,
}

impl MachineState {
    /// Whether the machine's cache is expected to hold an image, as derived from the tasks that
    /// have run there.
    pub fn has_image(&self, name: &str) -> bool {
        self.record.images.iter().any(|image| *image.name == *name)
    }

    /// The mean ratio of actual to predicted run time of the machine's latest completed tasks,
    /// if the machine is slow; otherwise 1. Run times are predicted for the machine's type.
    pub fn slowdown(&self) -> f64 {
        match self.run_time_ratios.mean() {
            Some(ratio) if ratio > SLOW_MACHINE_RATIO => ratio,
            _ => 1.0,
        }
    }
}

impl ClusterState {
    /// The ID of an image. Every image of a job in [`Self::jobs`] or of a machine has one. For
    /// any other image this returns the next free ID without assigning it. IDs have no gaps,
    /// since they are used as table indexes.
    pub fn image_id(&self, name: &str) -> ImageId {
        let next_id = self.image_ids.len() as ImageId;
        self.image_ids.get(name).copied().unwrap_or(next_id)
    }

    /// The version of a key that is not a log entry; 0 if the key does not exist.
    pub fn key_version(&self, key: &str) -> Revision {
        self.key_versions.get(key).copied().unwrap_or(0)
    }

    /// Whether the process that owns a shard lease is registered as a member: a lease of an
    /// earlier process of the same name does not count.
    pub fn is_owner_registered(&self, lease: &ShardLease) -> bool {
        let member = self.members.get(&lease.owner);
        member.is_some_and(|member| member.incarnation == lease.incarnation)
    }

    /// Whether any shard is still leased to an earlier process of `member`, that is, to an
    /// incarnation other than `incarnation`.
    pub fn has_stale_lease(&self, member: &str, incarnation: u64) -> bool {
        let mut leases = self.shard_leases.values().map(|lease| &lease.value);
        leases.any(|lease| lease.owner == member && lease.incarnation != incarnation)
    }

    /// An assigned task with its job; `None` if the task is not assigned.
    pub fn task(&self, id: &TaskId) -> Option<AssignedTask<'_>> {
        let job = self.jobs.get(&id.job)?;
        let task = job.tasks.get(&id.index)?;
        Some(AssignedTask { job, task })
    }

    /// An assigned task; `None` unless `attempt` is its current attempt.
    pub(super) fn current_attempt(
        &self,
        job: &str,
        attempt: Revision,
        index: u32,
    ) -> Option<&TaskState> {
        let task = self.jobs.get(job)?.tasks.get(&index)?;
        (task.record.attempt == attempt).then_some(task)
    }

    /// The number of machines of each kind, in all stages of their lifecycle.
    pub fn machines_by_kind(&self) -> BTreeMap<InstanceKind, u32> {
        let mut counts = BTreeMap::new();
        for machine in self.machines.values() {
            let record = &machine.record;
            let kind = InstanceKind::new(
                record.machine_type.clone(),
                record.zone.clone(),
                record.spot,
            );
            *counts.entry(kind).or_default() += 1;
        }
        counts
    }

    /// The number of machines of one kind, in all stages of their lifecycle.
    pub fn count_of_kind(&self, kind: &InstanceKind) -> u32 {
        let records = self.machines.values().map(|machine| &machine.record);
        let matching = records.filter(|record| {
            record.spot == kind.spot
                && record.machine_type == kind.machine_type
                && record.zone == kind.zone
        });
        matching.count() as u32
    }

    /// The numbers of ready and of unreachable machines of a shard; 0 for an unknown shard.
    pub fn shard_counts(&self, shard: &str) -> ShardCounts {
        self.shard_counts.get(shard).copied().unwrap_or_default()
    }

    /// Whether a job is done or cancelled.
    pub fn is_finished(&self, job: &str) -> bool {
        let is_finished = |job: &JobState| job.phase != JobPhase::Active;
        self.finished.contains_key(job) || self.jobs.get(job).is_some_and(is_finished)
    }

    /// Whether a job was accepted, be it active or finished.
    pub fn knows_job(&self, job: &str) -> bool {
        self.finished.contains_key(job) || self.jobs.contains_key(job)
    }

    /// The status of a job as reported to users; `None` if the job was never accepted.
    pub fn job_status(&self, id: &str) -> Option<JobStatus> {
        if let Some(job) = self.jobs.get(id) {
            return Some(status_of_job(id, job));
        }
        let finished = self.finished.get(id)?;
        Some(finished_status(id, finished.phase, finished.tasks))
    }

    /// The indexes of the first tasks of a job that are neither assigned nor completed, at
    /// most `max`.
    pub fn unassigned_tasks(&mut self, id: &str, max: usize) -> Vec<u32> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let total = job.spec.tasks;
        let mut first = job.first_unassigned;
        while first < total && !job.is_unassigned(first) {
            first += 1;
        }
        job.first_unassigned = first;
        (first..total)
            .filter(|index| job.is_unassigned(*index))
            .take(max)
            .collect()
    }
}

impl JobState {
    /// Whether a task is neither assigned nor completed.
    pub(super) fn is_unassigned(&self, index: u32) -> bool {
        !self.tasks.contains_key(&index) && !self.completed.contains(index)
    }
}

fn status_of_job(id: &str, job: &JobState) -> JobStatus {
    if job.phase != JobPhase::Active {
        return finished_status(id, job.phase, job.spec.tasks);
    }
    let started = job.tasks.values().filter(|t| t.record.started_ms.is_some());
    let running = started.count() as u32;
    let phase = if running > 0 {
        StatusPhase::Running
    } else {
        StatusPhase::Queued
    };
    JobStatus {
        job: id.into(),
        phase,
        done: job.completed.count(),
        running,
    }
}

fn finished_status(id: &str, phase: JobPhase, tasks: u32) -> JobStatus {
    let (phase, done) = match phase {
        JobPhase::Cancelled => (StatusPhase::Cancelled, 0),
        JobPhase::Active | JobPhase::Done => (StatusPhase::Done, tasks),
    };
    JobStatus {
        job: id.into(),
        phase,
        done,
        running: 0,
    }
}
