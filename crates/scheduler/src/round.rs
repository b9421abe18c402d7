//! One scheduling round: pending tasks, in order, go where their predicted finish is
//! earliest; what finds no good machine shows what the fleet lacks.
//!
//! A job's machines are evaluated once; then they are kept in order, and only the machine
//! to which a task has just been assigned is evaluated again. That finds the same machines as
//! evaluating all of them for every task.

mod candidates;
mod decisions;
mod gang;
mod immediate;
mod rentals;
#[cfg(test)]
mod tests;
mod trial;

pub use crate::pending_job::{PendingJob, TaskEstimate};
pub use candidates::MachineChoice;
pub use decisions::{PendingReason, Placement, SchedulingDecisions};
pub use immediate::TaskAssignment;
pub use rentals::RentableCapacity;

use crate::quota::QuotaUsage;
use crate::timeline_index::TimelineIndex;
use rushwalk_protocol::jobs::Shape;
use rushwalk_protocol::settings::Team;
use std::cell::Cell;
use std::sync::Arc;
pub use trial::MachineSnapshot;
use trial::PlanScope;

/// The state of a round: the machines with what is planned on them, and what may be rented.
/// Times are in seconds since the Unix epoch.
pub struct SchedulingRound<'a> {
    /// The time for which tasks are planned.
    pub planned_time_s: f64,
    /// The time at which a machine rented now begins to boot.
    pub current_time_s: f64,
    /// Names of the zones.
    pub zones: Vec<Arc<str>>,
    /// Machines that are up, boot, or were planned to be rented in this round.
    pub machines: TimelineIndex,
    /// What may be rented.
    pub rentable: Vec<RentableCapacity>,
    /// The teams of the settings.
    pub teams: &'a [Team],
    /// What teams use, with the tasks planned in this round.
    pub usage: QuotaUsage,
    /// Finishes within the same span of this many seconds count as equal; then the cheaper
    /// and fuller machine is preferred.
    pub tie_s: f64,
    /// Machines from this index on are rentals planned in this round.
    pub first_rental: usize,
    /// Machines evaluated since [`Self::take_evaluations`]: the cost of planning.
    pub evaluations: Cell<usize>,
}

impl<'a> SchedulingRound<'a> {
    /// How many machines were evaluated since the last call.
    pub fn take_evaluations(&self) -> usize {
        self.evaluations.take()
    }

    /// Plans the pending jobs in their order.
    pub fn schedule(&mut self, jobs: &[PendingJob]) -> SchedulingDecisions {
        let mut decisions = SchedulingDecisions::default();
        for job in jobs {
            let reason = match job.spec.shape {
                Shape::Gang => self.schedule_gang(job, &mut decisions),
                _ => self.schedule_each(job, &mut decisions),
            };
            if let Some(reason) = reason {
                let job = job.spec.id.clone();
                decisions.pending_reasons.insert(job, reason);
            }
        }
        decisions
    }

    /// Plans each task of a job by itself; returns why some of them can't start now.
    fn schedule_each(
        &mut self,
        job: &PendingJob,
        decisions: &mut SchedulingDecisions,
    ) -> Option<PendingReason> {
        let team = self.team_of(job)?;
        let count = job.tasks.len();
        let allowed = self.usage.tasks_within_limit(team, job.resources, count);
        let scope = PlanScope {
            zone: None,
            free_now: job.single_probe,
        };
        let planned = self.plan(job, allowed, scope);
        let mut reason = None;
        for (task, choice) in job.tasks.iter().zip(&planned) {
            self.usage.add(&job.spec.team, job.resources);
            if self.can_start_now(choice) {
                decisions.place(job, *task, choice.machine);
            } else {
                reason = Some(PendingReason::MachineNotReady);
            }
        }
        if planned.len() < allowed {
            Some(PendingReason::NoCapacity)
        } else if allowed < count {
            Some(PendingReason::TeamLimitReached)
        } else {
            reason
        }
    }

    /// The team of a job; `None` if the settings don't have it.
    fn team_of(&self, job: &PendingJob) -> Option<&'a Team> {
        self.teams.iter().find(|team| team.name == job.spec.team)
    }

    /// Whether a task can start at once on a chosen machine.
    fn can_start_now(&self, choice: &MachineChoice) -> bool {
        choice.finish.start_s <= self.planned_time_s && self.machines[choice.machine].up
    }

    /// The span of [`Self::tie_s`] seconds that a time falls into.
    fn tie_span(&self, time_s: f64) -> i64 {
        ((time_s - self.planned_time_s) / self.tie_s) as i64
    }
}
