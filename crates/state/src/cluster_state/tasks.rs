//! The lifecycle of tasks: assigned to a shard, placed on a machine, running, stopped,
//! ended.

use super::{ClusterState, TaskState, image_cache};
use crate::mutation::{
    AssignTasks, PlaceTasks, StopTasks, TaskOnMachine, TasksEnded, TasksStarted, UnassignTasks,
};
use crate::records::{AttemptOutcome, JobPhase, MachineLifecycle, StopReason, TaskRecord};
use crate::{Revision, UnixMillis};
use rushwalk_protocol::ids::{JobId, MachineId, TaskId};
use rushwalk_protocol::jobs::{JobSpec, Shape};

/// The number of completed tasks over which a machine's ratio of actual to predicted run
/// time is averaged.
const RUN_TIME_RATIO_WINDOW: usize = 4;

/// Ratios of actual to predicted run time are capped at this value, so that a single
/// outlier does not mark a machine as slow for long.
const MAX_RUN_TIME_RATIO: f64 = 4.0;

impl ClusterState {
    pub(super) fn assign(&mut self, assign: AssignTasks, revision: Revision) {
        let Some(job) = self.jobs.get(&assign.job) else {
            return;
        };
        if job.phase != JobPhase::Active {
            return;
        }
        let is_assignable =
            |task: &TaskOnMachine| task.task < job.spec.tasks && job.is_unassigned(task.task);
        let mut requested = assign.shards.iter().flat_map(|shard| &shard.tasks);
        if job.spec.shape == Shape::Gang && !requested.all(is_assignable) {
            return;
        }
        let mut records = Vec::new();
        for shard in &assign.shards {
            for task in shard.tasks.iter().filter(|task| is_assignable(task)) {
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

    /// Adds an assigned task to its job, and to its machine or to the unplaced tasks. Does
    /// nothing if the job is unknown.
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

    /// Removes an assigned task whose end is confirmed, or that was never placed. Returns its
    /// record.
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

    /// Adds a task to its machine, or to the unplaced tasks if `machine` is `None`.
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

    /// Removes a task from its machine, or from the unplaced tasks if `machine` is `None`.
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

    /// The machine of a placement; `None` if the placement is no longer valid. The attempt must
    /// be current, and neither placed nor being stopped. The machine must be active and in the
    /// shard to which the task is assigned.
    fn usable_machine(
        &self,
        id: &JobId,
        attempt: Revision,
        placement: &TaskOnMachine,
    ) -> Option<MachineId> {
        let record = &self.current_attempt(id, attempt, placement.task)?.record;
        let (machine_id, machine) = self.machines.get_key_value(&placement.machine)?;
        let awaits_placement = record.machine.is_none() && record.stop_reason.is_none();
        let is_usable = machine.record.lifecycle == MachineLifecycle::Active
            && machine.record.shard == record.shard;
        (awaits_placement && is_usable).then(|| machine_id.clone())
    }

    /// Whether a task that is about to be placed on a machine must wait there for the image of
    /// its job to be fetched. `None` if another task on the machine may still be fetching its
    /// image: concurrent fetches share the machine's bandwidth, so the time to the start would
    /// not measure the fetch rate.
    fn expected_cold_start(&self, id: &JobId, machine: &MachineId) -> Option<bool> {
        let image = &self.jobs.get(id)?.spec.image;
        let has_image = self.machines.get(machine)?.has_image(image);
        self.all_tasks_started(machine).then_some(!has_image)
    }

    fn task_mut(&mut self, job: &JobId, index: u32) -> Option<&mut TaskState> {
        self.jobs.get_mut(job)?.tasks.get_mut(&index)
    }

    /// Whether all tasks on a machine were observed running, so that none of them can still be
    /// fetching its image.
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
        // The time to the start of a gang's task does not measure the fetch: it includes
        // the wait for the other tasks of the gang.
        if let Some(cold_start) = cold_start
            && spec.shape != Shape::Gang
        {
            let start_s = started_ms.saturating_sub(scheduled_ms) as f64 / 1000.0;
            let machine_type = &machine.record.machine_type;
            self.durations
                .record_start(machine_type, spec.image_gb, cold_start, start_s);
        }
        let types = self.machine_types.as_deref();
        let machine_type = types.and_then(|types| types.get(&machine.record.machine_type));
        let capacity_gb = machine_type.map_or(0.0, |machine_type| machine_type.cache_gb);
        image_cache::record_use(&mut machine.record.images, &spec, capacity_gb);
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
                self.record_run_time(&spec, &task, ended.ended_ms);
                if is_done {
                    self.finish_job(id, JobPhase::Done);
                }
            }
        }
    }

    /// Updates the run time estimates and the machine's statistics with a completed task.
    fn record_run_time(&mut self, spec: &JobSpec, task: &TaskRecord, ended_ms: UnixMillis) {
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
            let ratio = (run_s / predicted_s).min(MAX_RUN_TIME_RATIO);
            machine.run_time_ratios.push(ratio, RUN_TIME_RATIO_WINDOW);
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
