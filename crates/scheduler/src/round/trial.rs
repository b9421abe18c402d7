//! Planning several tasks of one job, either to keep the plan or as a trial that is undone.

use super::candidates::CandidateQueue;
use super::{MachineChoice, PendingJob, SchedulingRound};
use crate::timeline::{MachineTimeline, PredictedFinish};
use rushwalk_protocol::jobs::Shape;

/// Which machines may take the tasks.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlanScope {
    /// Index of the zone in which all tasks must be; `None` allows all zones.
    pub(super) zone: Option<usize>,
    /// Restricts the plan to machines on which a task can start at the planned time; no
    /// machine is rented.
    pub(super) free_now: bool,
}

/// Copy of a machine from before a task was planned on it (see
/// [`SchedulingRound::snapshot`]).
pub struct MachineSnapshot {
    index: usize,
    machine: MachineTimeline,
}

/// The planned tasks of one job, with the data that undoing the plan needs.
struct TaskPlan {
    /// The machine of each task, in the order in which the tasks were planned.
    choices: Vec<MachineChoice>,
    /// Copies of the machines from before each change, in the order of the changes; empty
    /// if they were not requested.
    snapshots: Vec<MachineSnapshot>,
    /// Number of machines in the round before the plan. Machines from this index on are
    /// rentals of the plan.
    machines_before: usize,
}

/// The result of a trial plan.
pub(super) struct TrialOutcome {
    /// Number of tasks that found a machine.
    pub(super) tasks: usize,
    /// When the last of these tasks would begin to run, in seconds since the Unix epoch.
    pub(super) last_running_s: f64,
    /// Price per hour of all machines that would be rented for these tasks.
    pub(super) rental_price: f64,
}

impl SchedulingRound<'_> {
    /// Plans up to `count` tasks of a job, one after the other, each on the machine that is
    /// best given the tasks planned before. Stops at the first task that finds no machine.
    pub(super) fn plan(
        &mut self,
        job: &PendingJob,
        count: usize,
        scope: PlanScope,
    ) -> Vec<MachineChoice> {
        let concurrent = must_run_concurrently(job, scope);
        let plan = self.place_tasks(job, count, scope, concurrent);
        if concurrent {
            self.reserve_until_finished(job, plan)
        } else {
            plan.choices
        }
    }

    /// Makes the same plan as [`Self::plan`], undoes it and returns its result.
    pub(super) fn try_plan(
        &mut self,
        job: &PendingJob,
        count: usize,
        scope: PlanScope,
    ) -> TrialOutcome {
        let plan = self.place_tasks(job, count, scope, true);
        let rentals = self.machines[plan.machines_before..].iter();
        let outcome = TrialOutcome {
            tasks: plan.choices.len(),
            last_running_s: last_running_s(&plan.choices),
            rental_price: rentals.fold(0.0, |sum, machine| sum + machine.price),
        };
        self.undo(plan);
        outcome
    }

    /// Places up to `count` tasks, and takes a snapshot of each machine before it changes if
    /// `keep_snapshots` is set. Tasks that must run concurrently get reservations without end.
    fn place_tasks(
        &mut self,
        job: &PendingJob,
        count: usize,
        scope: PlanScope,
        keep_snapshots: bool,
    ) -> TaskPlan {
        let mut queue = self.candidate_queue(job, scope);
        let mut job = job.clone();
        let concurrent = must_run_concurrently(&job, scope);
        let mut plan = TaskPlan {
            choices: Vec::with_capacity(count),
            snapshots: Vec::new(),
            machines_before: self.machines.len(),
        };
        while plan.choices.len() < count {
            let Some(choice) = self.take_best_machine(&mut queue, &job, scope) else {
                break;
            };
            let index = choice.machine;
            if keep_snapshots {
                plan.snapshots.push(self.snapshot(index));
            }
            let mut finish = choice.finish;
            if concurrent {
                finish.finish_s = f64::INFINITY;
            }
            self.machines.place(index, &job, &finish);
            let zone = self.machines[index].zone;
            job.tasks_per_zone.add(&self.zones[zone]);
            plan.choices.push(choice);
            queue.push_evaluated(self.evaluate(index, &job, scope.free_now));
        }
        plan
    }

    /// Removes the best machine for the next task from the queue or, if a rental is better,
    /// adds the rented machine to the round. `None` if neither is possible.
    fn take_best_machine(
        &mut self,
        queue: &mut CandidateQueue,
        job: &PendingJob,
        scope: PlanScope,
    ) -> Option<MachineChoice> {
        let best = self.peek_best(queue, job, scope.free_now);
        let can_start_now = best.is_some_and(|best| self.can_start_now(&best));
        if !can_start_now && !scope.free_now && !job.single_probe {
            let best_score = best.map_or(f64::INFINITY, |best| self.score_of(&best, job));
            if let Some(rental_index) = self.cheapest_rental(job, scope.zone, best_score) {
                return self.plan_rental(rental_index, job);
            }
        }
        let best = best?;
        queue.pop_evaluated();
        Some(best)
    }

    fn score_of(&self, choice: &MachineChoice, job: &PendingJob) -> f64 {
        let machine = &self.machines[choice.machine];
        self.score(machine.spot, machine.tasks == 0, &job.spec, &choice.finish)
    }

    /// Replaces the unlimited reservations that [`Self::place_tasks`] made for a gang by
    /// limited ones. All tasks of the gang begin to run when the last of them can. The resources
    /// of each task are reserved from its own start until it would then finish.
    fn reserve_until_finished(&mut self, job: &PendingJob, plan: TaskPlan) -> Vec<MachineChoice> {
        let running_s = last_running_s(&plan.choices);
        self.restore_snapshots(plan.snapshots);
        for choice in &plan.choices {
            let finish = &choice.finish;
            let until_gang_ends = PredictedFinish {
                finish_s: running_s + (finish.finish_s - finish.running_s),
                ..*finish
            };
            self.machines.place(choice.machine, job, &until_gang_ends);
        }
        plan.choices
    }

    /// Copies the current state of the machine with this index.
    pub fn snapshot(&self, index: usize) -> MachineSnapshot {
        MachineSnapshot {
            index,
            machine: self.machines[index].clone(),
        }
    }

    /// Restores machines to their snapshots, which must be in the order of the changes.
    pub fn restore_snapshots(&mut self, snapshots: Vec<MachineSnapshot>) {
        for snapshot in snapshots.into_iter().rev() {
            self.machines.restore(snapshot.index, snapshot.machine);
        }
    }

    /// Undoes a plan, including its rentals.
    fn undo(&mut self, plan: TaskPlan) {
        self.restore_snapshots(plan.snapshots);
        for index in plan.machines_before..self.machines.len() {
            let machine = self.machines[index].clone();
            if let Some(rentable) = self.rentable_kind(&machine) {
                rentable.planned -= 1;
            }
        }
        self.machines.truncate(plan.machines_before);
    }
}

/// Whether all tasks of a job must be planned to run at the same time, so that none may wait
/// on a machine for another task of the job to finish. (With `free_now` all tasks start at
/// the planned time anyway.)
///
/// Without this rule, if boots are predicted to take longer than a gang's run time, one task
/// of the gang is planned after another on the same machine, no machine is rented, and the
/// gang never starts because it has too few machines.
fn must_run_concurrently(job: &PendingJob, scope: PlanScope) -> bool {
    job.spec.shape == Shape::Gang && !scope.free_now
}

/// When the last of the tasks would begin to run, in seconds since the Unix epoch; 0 if there
/// are no tasks.
fn last_running_s(choices: &[MachineChoice]) -> f64 {
    let running = choices.iter().map(|choice| choice.finish.running_s);
    running.fold(0.0, f64::max)
}
