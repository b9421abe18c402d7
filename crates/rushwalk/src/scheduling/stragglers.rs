//! Stops stragglers, tasks that run much longer than predicted, so that they restart on another
//! machine and are probably finished sooner there.

use crate::scheduler_inputs::{self, seconds};
use rushwalk_protocol::ids::{JobId, MachineId, TaskId};
use rushwalk_protocol::jobs::Shape;
use rushwalk_scheduler::round::SchedulingRound;
use rushwalk_state::mutation::{MAX_BATCH, StopTasks};
use rushwalk_state::records::{JobPhase, MachineTypes, StopReason};
use rushwalk_state::{ClusterState, JobState, Mutation, TaskState, UnixMillis};
use std::collections::BTreeSet;

/// A task that has run for this many times its predicted run time is a straggler (§4.4 of the
/// paper "Coding the Computing Continuum").
const STRAGGLER_RATIO: f64 = 2.0;

/// Tasks that have run for less than this, in seconds, are never stragglers, so that the run
/// times of most tasks need not be predicted.
const MIN_ELAPSED_S: f64 = 10.0;

/// Stops stragglers, and no task more than once. Another process that leads later may stop a task
/// again.
#[derive(Default)]
pub(super) struct Stragglers {
    /// The tasks that this process has stopped, as long as their job is active.
    stopped: BTreeSet<TaskId>,
}

impl Stragglers {
    /// Stops tasks of array jobs that run much longer than predicted and can start on another
    /// machine now. If no run time of the job is known for the type of the task's machine, the
    /// prediction may be wrong; the task is then stopped only if the slowdown of the machine
    /// exceeds [`STRAGGLER_RATIO`]. Each restart reserves a place in the round, so that the tasks
    /// of a slow machine, which become stragglers together, are not all planned for the same
    /// place.
    pub(super) fn stop(
        &mut self,
        state: &ClusterState,
        round: &mut SchedulingRound,
        types: &MachineTypes,
        now_ms: UnixMillis,
    ) -> Vec<Mutation> {
        let mut mutations = Vec::new();
        self.stopped.retain(|task| {
            let job = state.jobs.get(&task.job);
            job.is_some_and(|job| job.phase == JobPhase::Active)
        });
        for id in &state.jobs_with_tasks {
            let Some(job) = state.jobs.get(id) else {
                continue;
            };
            if job.phase != JobPhase::Active || job.spec.shape != Shape::Array {
                continue;
            }
            for (index, task) in &job.tasks {
                let Some(straggler) = find_straggler(state, id, job, *index, task, now_ms) else {
                    continue;
                };
                if self.stopped.contains(&straggler.task)
                    || !reserve_place_elsewhere(state, round, types, job, &straggler)
                {
                    continue;
                }
                mutations.push(straggler.stop(task));
                self.stopped.insert(straggler.task);
                if mutations.len() >= MAX_BATCH {
                    return mutations;
                }
            }
        }
        mutations
    }
}

/// A task that runs much longer than predicted, with its run times in seconds.
struct Straggler<'a> {
    task: TaskId,
    machine: &'a MachineId,
    elapsed_s: f64,
    predicted_s: f64,
}

impl Straggler<'_> {
    /// Logs the straggler and returns the mutation that stops it.
    fn stop(&self, task: &TaskState) -> Mutation {
        tracing::info!(
            task = %self.task,
            machine = &**self.machine,
            elapsed_s = self.elapsed_s,
            predicted_s = self.predicted_s,
            "straggler stopped"
        );
        Mutation::Stop(StopTasks {
            job: self.task.job.clone(),
            attempt: task.record.attempt,
            reason: StopReason::Straggler,
            tasks: vec![self.task.index],
        })
    }
}

/// The task as a straggler; `None` if it is not one.
fn find_straggler<'a>(
    state: &ClusterState,
    id: &JobId,
    job: &JobState,
    index: u32,
    task: &'a TaskState,
    now_ms: UnixMillis,
) -> Option<Straggler<'a>> {
    let record = &task.record;
    let machine = record.machine.as_ref()?;
    let elapsed_s = seconds(now_ms) - seconds(record.started_ms?);
    if record.stop_reason.is_some() || elapsed_s < MIN_ELAPSED_S {
        return None;
    }
    let machine_state = state.machines.get(machine)?;
    let machine_type = &machine_state.record.machine_type;
    let predicted_s = state.durations.run_time(&job.spec, machine_type);
    if elapsed_s < STRAGGLER_RATIO * predicted_s {
        return None;
    }
    let is_evident = state.durations.has_run_time(id, machine_type)
        || machine_state.slowdown() > STRAGGLER_RATIO;
    is_evident.then(|| Straggler {
        task: TaskId {
            job: id.clone(),
            index,
        },
        machine,
        elapsed_s,
        predicted_s,
    })
}

/// Reserves a place for the restart of a straggler on the best of the other machines on which it
/// can start now. Returns false if there is no such machine.
fn reserve_place_elsewhere(
    state: &ClusterState,
    round: &mut SchedulingRound,
    types: &MachineTypes,
    job: &JobState,
    straggler: &Straggler,
) -> bool {
    let mut restart = scheduler_inputs::pending_job(state, &job.spec, types);
    restart
        .avoided_machines
        .push(straggler.machine.clone().into());
    let Some(choice) = round.best_machine(&restart, true) else {
        return false;
    };
    round
        .machines
        .place(choice.machine, &restart, &choice.finish);
    true
}
