//! Tasks: assigned to shards, placed on machines, seen running, stopped, ended.

use super::{ClusterState, MachineState, TaskState};
use crate::mutation::{
    AssignTasks, PlaceTasks, StopTasks, TaskOnMachine, TasksEnded, TasksStarted, UnassignTasks,
};
use crate::records::{
    AttemptOutcome, CachedImage, JobPhase, MachineLifecycle, MachineTypes, StopReason, TaskRecord,
};
use crate::{Revision, UnixMillis};
use rushwalk_protocol::ids::{JobId, MachineId, TaskId};
use rushwalk_protocol::jobs::{JobSpec, Shape};

/// Completed tasks over which a machine's run time ratio is averaged.
const RATIO_WINDOW: usize = 4;

/// A single wild run time must not mark a machine as slow for long.
const MAX_RATIO: f64 = 4.0;

impl ClusterState {
    pub(super) fn assign(&mut self, assign: AssignTasks, revision: Revision) {
        let Some(job) = self.jobs.get(&assign.job) else {
            return;
        };
        if job.phase != JobPhase::Active {
            return;
        }
        let is_free =
            |task: &TaskOnMachine| task.task < job.spec.tasks && job.is_unassigned(task.task);
        let mut all = assign.shards.iter().flat_map(|shard| &shard.tasks);
        if job.spec.shape == Shape::Gang && !all.all(is_free) {
            return;
        }
        let mut records = Vec::new();
        for shard in &assign.shards {
            for task in shard.tasks.iter().filter(|task| is_free(task)) {
                let record = TaskRecord {
                    shard: shard.shard.clone(),
                    attempt: revision,
                    machine: None,
                    scheduled_ms: assign.assigned_ms,
                    started_ms: None,
                    stop_reason: None,
                    placement_hint: Some(task.machine.clone()),
                };
                records.push((task.task, record));
            }
        }
        for (index, record) in records {
            self.add_task(&assign.job, index, record);
        }
    }

    /// Adds an assigned task.
    pub(super) fn add_task(&mut self, job: &JobId, index: u32, record: TaskRecord) {
        let Some((id, _)) = self.jobs.get_key_value(job) else {
            return;
        };
        let id = id.clone();
        let task = TaskId {
            job: id.clone(),
            index,
        };
        self.link_task(task, record.machine.as_ref());
        if let Some(job) = self.jobs.get_mut(&id) {
            if record.started_ms.is_some() {
                job.mark_started(&mut self.service_counts);
            }
            let state = TaskState {
                record,
                cold_start: None,
            };
            job.tasks.insert(index, state);
        }
        self.jobs_with_tasks.insert(id);
    }

    /// Removes an assigned task that has certainly ended, or never was on a machine.
    pub(super) fn remove_task(&mut self, id: &JobId, index: u32) -> Option<TaskRecord> {
        let job = self.jobs.get_mut(id)?;
        let state = job.tasks.remove(&index)?;
        job.first_unassigned = job.first_unassigned.min(index);
        if job.tasks.is_empty() {
            self.jobs_with_tasks.remove(id);
        }
        let task = TaskId {
            job: id.clone(),
            index,
        };
        self.unlink_task(&task, state.record.machine.as_ref());
        Some(state.record)
    }

    /// Lists a task under its machine, or among the unplaced ones if it has none.
    fn link_task(&mut self, task: TaskId, machine: Option<&MachineId>) {
        let Some(id) = machine else {
            self.unplaced.insert(task);
            return;
        };
        if let Some(machine) = self.machines.get_mut(id) {
            machine.tasks.insert(task);
        }
        self.changed_machines.insert(id.clone());
    }

    /// The reverse of [`ClusterState::link_task`].
    fn unlink_task(&mut self, task: &TaskId, machine: Option<&MachineId>) {
        let Some(id) = machine else {
            self.unplaced.remove(task);
            return;
        };
        if let Some(machine) = self.machines.get_mut(id) {
            machine.tasks.remove(task);
        }
        self.changed_machines.insert(id.clone());
    }

    pub(super) fn place(&mut self, place: PlaceTasks) {
        let Some((id, job)) = self.jobs.get_key_value(&place.job) else {
            return;
        };
        if job.phase != JobPhase::Active {
            return;
        }
        let id = id.clone();
        for task in &place.tasks {
            self.place_task(&id, place.attempt, place.placed_ms, task);
        }
    }

    fn place_task(
        &mut self,
        id: &JobId,
        attempt: Revision,
        placed_ms: UnixMillis,
        placement: &TaskOnMachine,
    ) {
        let Some(machine) = self.usable_machine(id, attempt, placement) else {
            return;
        };
        let cold_start = self.expected_cold_start(id, &machine);
        if let Some(task) = self.task_mut(id, placement.task) {
            task.cold_start = cold_start;
            task.record.machine = Some(machine.clone());
            task.record.scheduled_ms = placed_ms;
        }
        let task = TaskId {
            job: id.clone(),
            index: placement.task,
        };
        self.unlink_task(&task, None);
        self.link_task(task, Some(&machine));
    }

    /// The machine of a placement, if the attempt still waits for one and the machine is
    /// an active one of the task's shard.
    fn usable_machine(
        &self,
        id: &JobId,
        attempt: Revision,
        placement: &TaskOnMachine,
    ) -> Option<MachineId> {
        let record = &self.current_attempt(id, attempt, placement.task)?.record;
        let (machine_id, machine) = self.machines.get_key_value(&placement.machine)?;
        let is_open = record.machine.is_none() && record.stop_reason.is_none();
        let is_usable = machine.record.lifecycle == MachineLifecycle::Active
            && machine.record.shard == record.shard;
        (is_open && is_usable).then(|| machine_id.clone())
    }

    /// Whether a job's task that is placed on a machine now has to wait for its image;
    /// `None` if its start would be no measure of the fetch rate, because another task on the
    /// machine may still be fetching: concurrent fetches share the rate.
    fn expected_cold_start(&self, id: &JobId, machine: &MachineId) -> Option<bool> {
        let image = &self.jobs.get(id)?.spec.image;
        let has_image = self.machines.get(machine)?.has_image(image);
        self.all_tasks_started(machine).then_some(!has_image)
    }

    fn task_mut(&mut self, job: &JobId, index: u32) -> Option<&mut TaskState> {
        self.jobs.get_mut(job)?.tasks.get_mut(&index)
    }

    /// Whether no task on a machine may still be fetching its image.
    fn all_tasks_started(&self, machine: &MachineId) -> bool {
        let Some(machine) = self.machines.get(machine) else {
            return true;
        };
        machine.tasks.iter().all(|id| {
            let assigned = self.task(id);
            assigned.is_none_or(|assigned| assigned.task.record.started_ms.is_some())
        })
    }

    pub(super) fn mark_tasks_started(&mut self, started: &TasksStarted) {
        for index in &started.tasks {
            self.mark_task_started(&started.job, started.attempt, *index, started.started_ms);
        }
    }

    fn mark_task_started(
        &mut self,
        id: &JobId,
        attempt: Revision,
        index: u32,
        started_ms: UnixMillis,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(&index) else {
            return;
        };
        if task.record.attempt != attempt || task.record.started_ms.is_some() {
            return;
        }
        task.record.started_ms = Some(started_ms);
        let scheduled_ms = task.record.scheduled_ms;
        let cold_start = task.cold_start;
        let machine = task.record.machine.clone();
        job.mark_started(&mut self.service_counts);
        let spec = job.spec.clone();
        let Some(machine) = machine.and_then(|id| self.machines.get_mut(&id)) else {
            return;
        };
        // The start of a gang includes the wait for its other tasks, not the fetch alone.
        if let Some(cold_start) = cold_start
            && spec.shape != Shape::Gang
        {
            let start_s = started_ms.saturating_sub(scheduled_ms) as f64 / 1000.0;
            let machine_type = &machine.record.machine_type;
            self.durations
                .record_start(machine_type, spec.image_gb, cold_start, start_s);
        }
        cache_image(machine, &spec, self.machine_types.as_deref());
        machine.intern_images(&mut self.image_ids);
    }

    pub(super) fn end_tasks(&mut self, ended: &TasksEnded) {
        for index in &ended.tasks {
            self.end_task(ended, *index);
        }
        self.retire_if_finished(&ended.job);
    }

    fn end_task(&mut self, ended: &TasksEnded, index: u32) {
        let id = &ended.job;
        if self.current_attempt(id, ended.attempt, index).is_none() {
            return;
        }
        let Some(task) = self.remove_task(id, index) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.phase != JobPhase::Active {
            return;
        }
        match ended.outcome {
            AttemptOutcome::Lost => {}
            AttemptOutcome::Failed => {
                job.failures.record(ended.ended_ms, task.machine.as_ref());
                let machine = task.machine.and_then(|id| self.machines.get_mut(&id));
                if let Some(machine) = machine {
                    machine.failed_jobs.insert(id.clone());
                }
            }
            AttemptOutcome::Completed => {
                job.completed.insert(index);
                let spec = job.spec.clone();
                let is_done = spec.shape == Shape::Gang || job.completed.count() >= spec.tasks;
                self.learn_run_time(&spec, &task, ended.ended_ms);
                if is_done {
                    self.finish_job(id, JobPhase::Done);
                }
            }
        }
    }

    /// Learns from the run time of a completed task.
    fn learn_run_time(&mut self, spec: &JobSpec, task: &TaskRecord, ended_ms: UnixMillis) {
        let (Some(started_ms), Some(machine)) = (task.started_ms, &task.machine) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(machine) else {
            return;
        };
        let run_s = ended_ms.saturating_sub(started_ms) as f64 / 1000.0;
        let machine_type = &machine.record.machine_type;
        let predicted_s = self.durations.run_time(spec, machine_type);
        machine.failed_jobs.clear();
        machine.prediction_error_s = run_s - predicted_s;
        if predicted_s.is_finite() && predicted_s > 0.0 {
            let ratio = (run_s / predicted_s).min(MAX_RATIO);
            machine.run_time_ratios.push(ratio, RATIO_WINDOW);
        }
        self.durations.record_run(spec, machine_type, run_s);
    }

    pub(super) fn stop_tasks(&mut self, stop: &StopTasks) {
        for index in &stop.tasks {
            self.stop_task(&stop.job, stop.attempt, stop.reason, *index);
        }
        self.retire_if_finished(&stop.job);
    }

    fn stop_task(&mut self, id: &JobId, attempt: Revision, reason: StopReason, index: u32) {
        let Some(task) = self.task_mut(id, index) else {
            return;
        };
        if task.record.attempt != attempt {
            return;
        }
        match task.record.machine.clone() {
            Some(machine) => {
                task.record.stop_reason.get_or_insert(reason);
                self.changed_machines.insert(machine);
            }
            None => {
                self.remove_task(id, index);
            }
        }
    }

    pub(super) fn unassign(&mut self, unassign: &UnassignTasks) {
        for index in &unassign.tasks {
            let task = self.current_attempt(&unassign.job, unassign.attempt, *index);
            if task.is_some_and(|task| task.record.machine.is_none()) {
                self.remove_task(&unassign.job, *index);
            }
        }
        self.retire_if_finished(&unassign.job);
    }
}

/// Adds a job's image to a machine's cache, from which the oldest ones are evicted.
fn cache_image(machine: &mut MachineState, spec: &JobSpec, types: Option<&MachineTypes>) {
    let types = types.iter().flat_map(|types| &types.types);
    let capacity_gb = types
        .filter(|t| *t.name == *machine.record.machine_type)
        .map(|t| t.cache_gb)
        .fold(0.0, f64::max);
    let images = &mut machine.record.images;
    images.retain(|image| *image.name != *spec.image);
    images.push(CachedImage {
        name: spec.image.as_str().into(),
        size_gb: spec.image_gb,
    });
    while images.len() > 1 && images.iter().map(|image| image.size_gb).sum::<f64>() > capacity_gb {
        images.remove(0);
    }
}
