//! One scheduling round: assigns pending tasks, in order, to the machines with the earliest
//! predicted finish, and plans rentals for tasks that would finish sooner on a new machine.
//!
//! For each job, a machine is evaluated only when it may be the best one, and then kept in a
//! priority queue. After a task is planned, only the machine that received it is evaluated
//! again. The result is the same as if every machine were evaluated for every task.

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

/// A planned task that starts later than this reserves nothing of its team's limit, in seconds. A
/// job may wait for at most 90 s while a machine has room and its team is below its limit.
const MAX_LIMIT_RESERVATION_S: f64 = 60.0;

/// The state of a scheduling round: the machines with the tasks planned on them, and the
/// machines that may be rented. Times are in seconds since the Unix epoch.
pub struct SchedulingRound<'a> {
    /// The earliest time at which the planned tasks may start: [`Self::current_time_s`] for
    /// pending jobs, a later time while the caller plans jobs that it expects to arrive.
    pub planned_time_s: f64,
    /// The time at which a machine rented in this round begins to boot.
    pub current_time_s: f64,
    /// Names of all zones; [`crate::timeline::MachineTimeline::zone`] is an index into them.
    pub zones: Vec<Arc<str>>,
    /// Machines that are up, booting or already being rented. From
    /// [`Self::first_planned_rental`] on: machines that this round plans to rent.
    pub machines: TimelineIndex,
    /// The kinds of machines that may be rented.
    pub rentable: Vec<RentableCapacity>,
    /// The teams from the settings, with their limits and guarantees.
    pub teams: &'a [Team],
    /// Resources in use per team, including the tasks that are planned in this round to start
    /// within a minute.
    pub usage: QuotaUsage,
    /// Predicted finishes are sorted into buckets of this many seconds. Finishes in the same
    /// bucket count as equal; then the cheaper and fuller machine is preferred.
    pub tie_s: f64,
    /// Machines from this index on are rentals planned in this round.
    pub first_planned_rental: usize,
    /// Number of machine evaluations since the last call of [`Self::take_evaluations`]: a
    /// measure of the cost of planning.
    pub evaluations: Cell<usize>,
}

impl<'a> SchedulingRound<'a> {
    /// Returns the number of machine evaluations since the last call, and resets it.
    pub fn take_evaluations(&self) -> usize {
        self.evaluations.take()
    }

    /// Plans the pending jobs in the order given.
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

    /// Plans the tasks of a job independently of each other. Returns why some of them can't
    /// start now, or `None` if all can. A job whose team is not in the settings is not planned
    /// and gets no reason.
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
            self.count_against_limit(job, choice.finish.start_s);
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

    /// Counts a planned task against the limit of its team in this round, unless it starts so late
    /// that other jobs of the team should not wait for it.
    fn count_against_limit(&mut self, job: &PendingJob, start_s: f64) {
        if start_s <= self.planned_time_s + MAX_LIMIT_RESERVATION_S {
            self.usage.add(&job.spec.team, job.resources);
        }
    }

    /// The team of a job; `None` if it is not in the settings.
    fn team_of(&self, job: &PendingJob) -> Option<&'a Team> {
        self.teams.iter().find(|team| team.name == job.spec.team)
    }

    /// Whether a task can start at [`Self::planned_time_s`] on the chosen machine.
    fn can_start_now(&self, choice: &MachineChoice) -> bool {
        choice.finish.start_s <= self.planned_time_s && self.machines[choice.machine].up
    }

    /// Index of the bucket of [`Self::tie_s`] seconds that a time falls into.
    fn tie_bucket(&self, time_s: f64) -> i64 {
        ((time_s - self.planned_time_s) / self.tie_s) as i64
    }
}
