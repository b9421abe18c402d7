//! Planning several tasks of one job, for good or as a trial that is undone.

use super::candidates::CandidateQueue;
use super::{MachineChoice, PendingJob, SchedulingRound};
use crate::timeline::{MachineTimeline, PredictedFinish};
use rushwalk_protocol::jobs::Shape;

/// Which machines may take the tasks.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlanScope {
    /// Index of the only zone for all tasks, if there is one.
    pub(super) zone: Option<usize>,
    /// Only machines on which a task can start at once; none is rented.
    pub(super) free_now: bool,
}

/// A machine as it was before a task was planned on it (see [`SchedulingRound::snapshot`]).
pub struct MachineSnapshot {
    index: usize,
    machine: MachineTimeline,
}

/// Tasks of one job that were planned.
struct TaskPlan {
    choices: Vec<MachineChoice>,
    /// In the order of the changes.
    snapshots: Vec<MachineSnapshot>,
    /// How many machines there were before.
    machines_before: usize,
}

/// What a plan that was tried would come to.
pub(super) struct TrialOutcome {
    /// How many tasks found a machine.
    pub(super) tasks: usize,
    /// When the last of them would run, in seconds since the Unix epoch.
    pub(super) last_running_s: f64,
    /// Price per hour of the machines rented for them.
    pub(super) rental_price: f64,
}

impl SchedulingRound<'_> {
    /// Plans as many of `count` tasks of a job as find a machine, one after the other, each
    /// on the machine that is best for it then.
    pub(super) fn plan(
        &mut self,
        job: &PendingJob,
        count: usize,
        scope: PlanScope,
    ) -> Vec<MachineChoice> {
        let side_by_side = must_run_side_by_side(job, scope);
        let plan = self.place_tasks(job, count, scope, side_by_side);
        if side_by_side {
            self.reserve_until_finished(job, plan)
        } else {
            plan.choices
        }
    }

    /// What [`Self::plan`] would come to; changes nothing.
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

    /// Places up to `count` tasks, with snapshots of the machines if `keep_snapshots`.
    fn place_tasks(
        &mut self,
        job: &PendingJob,
        count: usize,
        scope: PlanScope,
        keep_snapshots: bool,
    ) -> TaskPlan {
        let mut queue = self.candidates(job, scope);
        let mut job = job.clone();
        let side_by_side = must_run_side_by_side(&job, scope);
        let mut plan = TaskPlan {
            choices: Vec::with_capacity(count),
            snapshots: Vec::new(),
            machines_before: self.machines.len(),
        };
        while plan.choices.len() < count {
            let Some(choice) = self.take_machine(&mut queue, &job, scope) else {
                break;
            };
            let index = choice.machine;
            if keep_snapshots {
                plan.snapshots.push(self.snapshot(index));
            }
            let mut finish = choice.finish;
            if side_by_side {
                finish.finish_s = f64::INFINITY;
            }
            self.machines.place(index, &job, &finish);
            let zone = self.machines[index].zone;
            job.tasks_per_zone.add(&self.zones[zone]);
            plan.choices.push(choice);
            queue.push_evaluated(self.candidate(index, &job, scope.free_now));
        }
        plan
    }

    /// The machine for the next task, removed from the queue: the best of those there are,
    /// or a rental if that is better.
    fn take_machine(
        &mut self,
        queue: &mut CandidateQueue,
        job: &PendingJob,
        scope: PlanScope,
    ) -> Option<MachineChoice> {
        let best = self.peek_best(queue, job, scope.free_now);
        let can_start_now = best.is_some_and(|best| self.can_start_now(&best));
        if !can_start_now && !scope.free_now && !job.single_probe {
            let best_score = best.map_or(f64::INFINITY, |best| self.score_of(&best, job));
            if let Some(rental) = self.cheapest_rental(job, scope.zone, best_score) {
                return self.rent(rental, job);
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

    /// Reserves the machines of a gang from when the last of them is free until the gang
    /// has run; they were reserved for ever so far.
    fn reserve_until_finished(&mut self, job: &PendingJob, plan: TaskPlan) -> Vec<MachineChoice> {
        let running_s = last_running_s(&plan.choices);
        self.restore_snapshots(plan.snapshots);
        for choice in &plan.choices {
            let finish = &choice.finish;
            let together = PredictedFinish {
                finish_s: running_s + (finish.finish_s - finish.running_s),
                ..*finish
            };
            self.machines.place(choice.machine, job, &together);
        }
        plan.choices
    }

    /// A machine as it is now, by its index.
    pub fn snapshot(&self, index: usize) -> MachineSnapshot {
        MachineSnapshot {
            index,
            machine: self.machines[index].clone(),
        }
    }

    /// Undoes what was planned since snapshots were taken, which are in the order of the
    /// changes.
    pub fn restore_snapshots(&mut self, snapshots: Vec<MachineSnapshot>) {
        for snapshot in snapshots.into_iter().rev() {
            self.machines.restore(snapshot.index, snapshot.machine);
        }
    }

    /// Takes a plan back, rentals included.
    fn undo(&mut self, plan: TaskPlan) {
        self.restore_snapshots(plan.snapshots);
        for index in plan.machines_before..self.machines.len() {
            let machine = self.machines[index].clone();
            if let Some(rentable) = self.rentable_kind(&machine) {
                rentable.used -= 1;
            }
        }
        self.machines.truncate(plan.machines_before);
    }
}

/// Whether no task of a job may be planned after another one of it.
///
/// (With boots that were predicted to take longer than its run, a gang's task was planned
/// after another, nothing was rented, and the gang waited for ever beside too few machines.)
fn must_run_side_by_side(job: &PendingJob, scope: PlanScope) -> bool {
    job.spec.shape == Shape::Gang && !scope.free_now
}

/// When the last of the tasks would run; 0 if there are none.
fn last_running_s(choices: &[MachineChoice]) -> f64 {
    let running = choices.iter().map(|choice| choice.finish.running_s);
    running.fold(0.0, f64::max)
}
