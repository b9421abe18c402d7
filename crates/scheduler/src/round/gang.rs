//! Gang scheduling: either all tasks of a job start at the same time or none does.

#[cfg(test)]
mod tests;

use super::trial::PlanScope;
use super::{MachineChoice, PendingJob, PendingReason, SchedulingDecisions, SchedulingRound};

/// The result of a trial plan for a gang within one scope.
struct GangOption {
    scope: PlanScope,
    /// Bucket of the time at which the last task would begin to run (see
    /// [`SchedulingRound::tie_s`]).
    tie_bucket: i64,
    /// Price per hour of all machines that would be rented for the gang.
    rental_price: f64,
    /// Number of machines in the zone; 0 if the scope is not limited to one zone. The zone
    /// with fewer machines is preferred, because gangs that all go to the first zone would
    /// exhaust the capacity that can be rented there.
    machines_in_zone: usize,
}

impl GangOption {
    fn is_better_than(&self, other: &GangOption) -> bool {
        let key = |option: &GangOption| {
            (
                option.tie_bucket,
                option.rental_price,
                option.machines_in_zone,
            )
        };
        key(self) < key(other)
    }
}

impl SchedulingRound<'_> {
    /// Places all tasks of a gang on machines that are free now. If they can't all start now,
    /// none is placed, and capacity is reserved for a later start unless the gang is a single
    /// probe. Returns why none was placed, or `None` if all were. A job whose team is not in the
    /// settings is not planned and gets no reason.
    pub(super) fn schedule_gang(
        &mut self,
        job: &PendingJob,
        decisions: &mut SchedulingDecisions,
    ) -> Option<PendingReason> {
        let team = self.team_of(job)?;
        let count = job.tasks.len();
        if self.usage.tasks_within_limit(team, job.resources, count) < count {
            return Some(PendingReason::TeamLimitReached);
        }
        if let Some(scope) = self.earliest_scope(job, true) {
            let choices = self.plan(job, count, scope);
            self.count_gang_against_limit(job, &choices);
            for (task, choice) in job.tasks.iter().zip(choices) {
                decisions.place(job, *task, choice.machine);
            }
            return None;
        }
        if job.single_probe {
            return Some(PendingReason::FailsEverywhere);
        }
        // Reserve capacity for the gang, so that missing machines are rented and later jobs
        // don't take the machines that the gang waits for. It starts once all are free.
        let Some(scope) = self.earliest_scope(job, false) else {
            return Some(PendingReason::NoCapacity);
        };
        let choices = self.plan(job, count, scope);
        self.count_gang_against_limit(job, &choices);
        Some(PendingReason::GangNotReady)
    }

    /// Counts all tasks of a planned gang against the limit of its team. They start when the last
    /// of them can.
    fn count_gang_against_limit(&mut self, job: &PendingJob, choices: &[MachineChoice]) {
        let starts = choices.iter().map(|choice| choice.finish.start_s);
        let start_s = starts.fold(0.0, f64::max);
        for _ in choices {
            self.count_against_limit(job, start_s);
        }
    }

    /// The scope in which all tasks would run earliest, and of equally early ones the
    /// cheapest; `None` if no scope has room for all tasks. For a gang that must be in one
    /// zone, each zone is a scope; otherwise the only scope is that of all zones.
    fn earliest_scope(&mut self, job: &PendingJob, free_now: bool) -> Option<PlanScope> {
        let zones: Vec<Option<usize>> = if job.spec.one_zone {
            (0..self.zones.len()).map(Some).collect()
        } else {
            vec![None]
        };
        let mut best: Option<GangOption> = None;
        for zone in zones {
            let Some(option) = self.gang_option(job, PlanScope { zone, free_now }) else {
                continue;
            };
            if best.as_ref().is_none_or(|best| option.is_better_than(best)) {
                best = Some(option);
            }
        }
        best.map(|option| option.scope)
    }

    /// Result of a trial plan for a gang within a scope; `None` if a task finds no machine.
    fn gang_option(&mut self, job: &PendingJob, scope: PlanScope) -> Option<GangOption> {
        let in_zone = |zone: usize| Some(zone) == scope.zone;
        let machines_in_zone = self.machines.iter().filter(|m| in_zone(m.zone)).count();
        let outcome = self.try_plan(job, job.tasks.len(), scope);
        (outcome.tasks == job.tasks.len()).then(|| GangOption {
            scope,
            tie_bucket: self.tie_bucket(outcome.last_running_s),
            rental_price: outcome.rental_price,
            machines_in_zone,
        })
    }
}
