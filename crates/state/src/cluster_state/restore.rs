//! Conversion of the state to the mutations of a snapshot, and the application of those
//! kinds of mutations that occur only in snapshots.

use super::{ClusterState, FinishedJobState, JobState};
use crate::keys;
use crate::mutation::{
    FinishedJob, MachineAdopted, Mutation, RequestRental, RestoreCompleted, RestoreFailures,
    RestoreFinished, RestoreTasks, RestoreTerminating, RestoredTask, SubmitJob, in_batches,
};
use crate::records::{FailureHistory, JobPhase, MachineRecord, TaskRecord};
use rushwalk_protocol::ids::JobId;

impl ClusterState {
    /// The state as mutations for a snapshot. Applied in order to an empty state, they
    /// restore jobs, tasks, machines and rentals. They contain neither the records that are
    /// stored under keys of their own nor what only this process has learnt, such as durations
    /// and prediction errors of machines.
    pub fn to_mutations(&self) -> Vec<Mutation> {
        let mut mutations = Vec::new();
        for phase in [JobPhase::Done, JobPhase::Cancelled] {
            mutations.extend(self.finished_as_mutations(phase));
        }
        for (id, machine) in &self.machines {
            mutations.push(Mutation::MachineAdopted(MachineAdopted {
                machine: id.clone(),
                record: machine.record.clone(),
            }));
        }
        for (rental, request) in &self.rentals {
            mutations.push(Mutation::RequestRental(RequestRental {
                rental: rental.clone(),
                request: request.clone(),
            }));
        }
        for (id, job) in &self.jobs {
            append_job(&mut mutations, id, job);
        }
        mutations
    }

    fn finished_as_mutations(&self, phase: JobPhase) -> Vec<Mutation> {
        let jobs = self.finished.iter().filter(|(_, job)| job.phase == phase);
        let jobs: Vec<FinishedJob> = jobs
            .map(|(id, job)| FinishedJob {
                job: id.clone(),
                tasks: job.tasks,
            })
            .collect();
        let restore = |jobs| Mutation::RestoreFinished(RestoreFinished { phase, jobs });
        in_batches(&jobs, restore).collect()
    }

    pub(super) fn restore_finished(&mut self, restore: RestoreFinished) {
        for job in restore.jobs {
            let state = FinishedJobState {
                phase: restore.phase,
                tasks: job.tasks,
            };
            self.finished.insert(job.job, state);
        }
    }

    pub(super) fn restore_terminating(&mut self, restore: RestoreTerminating) {
        let Some(job) = self.jobs.get_mut(&restore.job) else {
            return self.refuse_snapshot(&restore.job, SnapshotDamage::UnknownJob);
        };
        job.phase = restore.phase;
        self.dequeue(restore.job);
    }

    pub(super) fn restore_completed(&mut self, restore: &RestoreCompleted) {
        let Some(job) = self.jobs.get_mut(&restore.job) else {
            return self.refuse_snapshot(&restore.job, SnapshotDamage::UnknownJob);
        };
        let inserted = job
            .completed
            .insert_hex(restore.first_task, &restore.bitmap_hex);
        let has_completed = job.completed.count() > 0;
        if has_completed {
            job.mark_started(&mut self.service_counts);
        }
        if inserted.is_err() {
            self.refuse_snapshot(&restore.job, SnapshotDamage::InvalidBitmap);
        }
    }

    pub(super) fn restore_tasks(&mut self, restore: RestoreTasks) {
        if !self.jobs.contains_key(&restore.job) {
            return self.refuse_snapshot(&restore.job, SnapshotDamage::UnknownJob);
        }
        for task in restore.tasks {
            self.restore_machine_of(&task.record);
            self.add_task(&restore.job, task.task, task.record);
        }
    }

    /// Adds the machine of a task if the snapshot lacks it. Earlier versions left a machine out if
    /// its record exceeded the size limit of a value. Without the machine, later mutations of its
    /// tasks would have no effect here, but on the controllers that know it.
    fn restore_machine_of(&mut self, task: &TaskRecord) {
        let Some(machine) = &task.machine else {
            return;
        };
        if self.machines.contains_key(machine) {
            return;
        }
        tracing::error!(
            machine = &**machine,
            "snapshot lacks a machine that has tasks; it will be replaced"
        );
        self.add_machine(machine.clone(), MachineRecord::of_unknown_type(task));
    }

    pub(super) fn restore_failures(&mut self, restore: RestoreFailures) {
        let Some(job) = self.jobs.get_mut(&restore.job) else {
            return self.refuse_snapshot(&restore.job, SnapshotDamage::UnknownJob);
        };
        job.failures = restore.failures;
    }

    /// Marks a snapshot that lacks a part of the state as unreadable, so that no decisions are made
    /// from it. The store is listed again when the next snapshot is written.
    fn refuse_snapshot(&mut self, job: &JobId, damage: SnapshotDamage) {
        if self.unreadable.is_none() {
            tracing::error!(
                job = &**job,
                ?damage,
                "snapshot is damaged: this controller makes no decisions"
            );
            self.unreadable = Some(keys::SNAPSHOT_MANIFEST.to_string());
        }
    }
}

/// Why a snapshot does not restore the whole state.
#[derive(Debug, Clone, Copy)]
enum SnapshotDamage {
    /// The snapshot has a part of a job, but not the job itself.
    UnknownJob,
    /// The completed tasks of a job can't be read.
    InvalidBitmap,
}

fn append_job(mutations: &mut Vec<Mutation>, id: &JobId, job: &JobState) {
    mutations.push(Mutation::Submit(SubmitJob {
        spec: job.spec.clone(),
        accepted_ms: job.accepted_ms,
    }));
    if job.phase != JobPhase::Active {
        mutations.push(Mutation::RestoreTerminating(RestoreTerminating {
            job: id.clone(),
            phase: job.phase,
        }));
    }
    for part in job.completed.to_hex_parts() {
        mutations.push(Mutation::RestoreCompleted(RestoreCompleted {
            job: id.clone(),
            first_task: part.first_task,
            bitmap_hex: part.digits,
        }));
    }
    if job.failures != FailureHistory::default() {
        mutations.push(Mutation::RestoreFailures(RestoreFailures {
            job: id.clone(),
            failures: job.failures.clone(),
        }));
    }
    let tasks: Vec<RestoredTask> = job
        .tasks
        .iter()
        .map(|(index, task)| RestoredTask {
            task: *index,
            record: task.record.clone(),
        })
        .collect();
    mutations.extend(in_batches(&tasks, |tasks| {
        Mutation::RestoreTasks(RestoreTasks {
            job: id.clone(),
            tasks,
        })
    }));
}
