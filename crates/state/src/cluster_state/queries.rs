//! Queries of the state.

use super::{ClusterState, JobState, MachineState, ShardCounts, TaskState};
use crate::Revision;
use crate::records::{JobPhase, ShardLease};
use rushwalk_protocol::ids::TaskId;
use rushwalk_protocol::jobs::{JobStatus, StatusPhase};
use rushwalk_scheduler::capacity::InstanceKind;
use rushwalk_scheduler::timeline::ImageId;
use std::collections::BTreeMap;

/// A machine whose tasks take this many times as long as predicted is slow. A lower ratio
/// is within the error of the predictions.
const SLOW_RATIO: f64 = 1.5;

/// An assigned task, with its job.
#[derive(Debug, Clone, Copy)]
pub struct AssignedTask<'a> {
    /// The job.
    pub job: &'a JobState,
    /// The task.
    pub task: &'a TaskState,
}

impl MachineState {
    /// Whether an image is in the machine's cache, as far as is known.
    pub fn has_image(&self, name: &str) -> bool {
        self.record.images.iter().any(|image| *image.name == *name)
    }

    /// How many times as long its tasks take as on other machines of its type; 1 if it is
    /// not known to be slow.
    pub fn slowdown(&self) -> f64 {
        match self.run_time_ratios.mean() {
            Some(ratio) if ratio > SLOW_RATIO => ratio,
            _ => 1.0,
        }
    }
}

impl ClusterState {
    /// The number of an image. All images of jobs and machines have one. One that is
    /// unknown gets the next, since numbers index tables.
    pub fn image_id(&self, name: &str) -> ImageId {
        let next = self.image_ids.len() as ImageId;
        self.image_ids.get(name).copied().unwrap_or(next)
    }

    /// The version of a key that is not in the log; 0 if there is no such key.
    pub fn key_version(&self, key: &str) -> Revision {
        self.key_versions.get(key).copied().unwrap_or(0)
    }

    /// Whether the process that owns a lease is a registered member.
    pub fn is_owner_registered(&self, lease: &ShardLease) -> bool {
        let member = self.members.get(&lease.owner);
        member.is_some_and(|member| member.incarnation == lease.incarnation)
    }

    /// Whether a shard is still leased to an earlier process of a member.
    pub fn has_stale_lease(&self, member: &str, incarnation: u64) -> bool {
        let mut leases = self.shard_leases.values().map(|lease| &lease.value);
        leases.any(|lease| lease.owner == member && lease.incarnation != incarnation)
    }

    /// An assigned task, with its job.
    pub fn task(&self, id: &TaskId) -> Option<AssignedTask<'_>> {
        let job = self.jobs.get(&id.job)?;
        let task = job.tasks.get(&id.index)?;
        Some(AssignedTask { job, task })
    }

    /// An assigned task, if `attempt` is the one under way.
    pub(super) fn current_attempt(
        &self,
        job: &str,
        attempt: Revision,
        index: u32,
    ) -> Option<&TaskState> {
        let task = self.jobs.get(job)?.tasks.get(&index)?;
        (task.record.attempt == attempt).then_some(task)
    }

    /// The number of machines of each kind.
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

    /// The number of machines of one kind.
    pub fn count_of_kind(&self, kind: &InstanceKind) -> u32 {
        let records = self.machines.values().map(|machine| &machine.record);
        let same = records.filter(|record| {
            record.spot == kind.spot
                && record.machine_type == kind.machine_type
                && record.zone == kind.zone
        });
        same.count() as u32
    }

    /// How many machines of a shard are ready, and how many of these unreachable.
    pub fn shard_counts(&self, shard: &str) -> ShardCounts {
        self.shard_counts.get(shard).copied().unwrap_or_default()
    }

    /// Whether a job is done or cancelled.
    pub fn is_finished(&self, job: &str) -> bool {
        let terminating = |job: &JobState| job.phase != JobPhase::Active;
        self.finished.contains_key(job) || self.jobs.get(job).is_some_and(terminating)
    }

    /// Whether a job was accepted.
    pub fn knows_job(&self, job: &str) -> bool {
        self.finished.contains_key(job) || self.jobs.contains_key(job)
    }

    /// What users are answered about a job; `None` if it was never accepted.
    pub fn job_status(&self, id: &str) -> Option<JobStatus> {
        if let Some(job) = self.jobs.get(id) {
            return Some(active_status(id, job));
        }
        let finished = self.finished.get(id)?;
        Some(finished_status(id, finished.phase, finished.tasks))
    }

    /// Tasks of a job that are neither assigned nor completed, at most `max`.
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

fn active_status(id: &str, job: &JobState) -> JobStatus {
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
