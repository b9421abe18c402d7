//! The lifecycle of jobs: accepted, then done or cancelled.

use super::machines::intern_image;
use super::{Arrival, ClusterState, FinishedJobState, JobState, QueueKey};
use crate::UnixMillis;
use crate::mutation::SubmitJob;
use crate::records::{FailureHistory, JobPhase};
use crate::service_counts::ServiceCounts;
use crate::task_bitmap::TaskBitmap;
use rushwalk_protocol::ids::JobId;
use std::collections::BTreeMap;

/// The maximum number of arrivals that are kept per class.
const MAX_ARRIVALS_PER_CLASS: usize = 512;

/// Arrivals that are older than this when their mutation is applied are not recorded: they do
/// not help to predict future arrivals.
const MAX_ARRIVAL_AGE_MS: UnixMillis = 600_000;

impl JobState {
    /// The job's position in the queue.
    fn queue_key(&self, job: JobId) -> QueueKey {
        QueueKey {
            priority: self.spec.priority,
            accepted_ms: self.accepted_ms,
            job,
        }
    }

    /// Records that a task of the job was observed running. The job is counted as started with
    /// the first such task.
    pub(super) fn mark_started(&mut self, counts: &mut ServiceCounts) {
        if !std::mem::replace(&mut self.started, true) {
            counts.update(&self.spec, |counts| counts.started += 1);
        }
    }
}

impl ClusterState {
    pub(super) fn submit(&mut self, submit: SubmitJob, now_ms: UnixMillis) {
        let SubmitJob { spec, accepted_ms } = submit;
        let id: JobId = spec.id.as_str().into();
        if self.knows_job(&id) {
            return;
        }
        if accepted_ms + MAX_ARRIVAL_AGE_MS > now_ms {
            self.record_arrival(Arrival {
                accepted_ms,
                spec: spec.clone(),
            });
        }
        intern_image(&mut self.image_ids, &spec.image);
        self.service_counts
            .update(&spec, |counts| counts.accepted += 1);
        let job = JobState {
            spec,
            phase: JobPhase::Active,
            accepted_ms,
            tasks: BTreeMap::new(),
            completed: TaskBitmap::default(),
            failures: FailureHistory::default(),
            started: false,
            first_unassigned: 0,
        };
        self.queue.insert(job.queue_key(id.clone()));
        self.jobs.insert(id, job);
    }

    fn record_arrival(&mut self, arrival: Arrival) {
        let class = arrival.spec.class.clone();
        let arrivals = self.arrivals.entry(class).or_default();
        let position = arrivals.partition_point(|a| a.accepted_ms <= arrival.accepted_ms);
        arrivals.insert(position, arrival);
        if arrivals.len() > MAX_ARRIVALS_PER_CLASS {
            arrivals.pop_front();
        }
    }

    pub(super) fn cancel(&mut self, id: &JobId) {
        let job = self.jobs.get(id);
        if job.is_some_and(|job| job.phase == JobPhase::Active) {
            self.finish_job(id, JobPhase::Cancelled);
        }
    }

    /// Finishes a job as done or cancelled. Tasks that are not placed are removed; placed
    /// tasks stay until their end is confirmed.
    pub(super) fn finish_job(&mut self, id: &JobId, phase: JobPhase) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.phase = phase;
        let started = job.started;
        self.service_counts.update(&job.spec, |counts| match phase {
            JobPhase::Done => {
                counts.completed += 1;
                // The tasks of a very short job can end before they are observed running.
                counts.started += u32::from(!started);
            }
            _ => {
                counts.cancelled += 1;
                counts.withdrawn += u32::from(!started);
            }
        });
        self.queue.remove(&job.queue_key(id.clone()));
        let mut unplaced = Vec::new();
        for (index, task) in &job.tasks {
            match &task.record.machine {
                Some(machine) => {
                    self.changed_machines.insert(machine.clone());
                }
                None => unplaced.push(*index),
            }
        }
        for index in unplaced {
            self.remove_task(id, index);
        }
        self.retire_if_finished(id);
    }

    /// Reduces a finished job without assigned tasks to the data that a status query needs.
    pub(super) fn retire_if_finished(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.phase == JobPhase::Active || !job.tasks.is_empty() {
            return;
        }
        let finished = FinishedJobState {
            phase: job.phase,
            tasks: job.spec.tasks,
        };
        if let Some((id, _)) = self.jobs.remove_entry(id) {
            self.finished.insert(id, finished);
        }
    }

    /// Removes a finished job from the queue.
    pub(super) fn dequeue(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get(&id) {
            self.queue.remove(&job.queue_key(id));
        }
    }
}
