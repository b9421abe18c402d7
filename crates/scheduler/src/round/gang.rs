//! Gang scheduling: all tasks of a job start together or none does.

use super::trial::PlanScope;
use super::{PendingJob, PendingReason, SchedulingDecisions, SchedulingRound};

/// What planning a gang within one scope would come to; the least is best.
struct GangOption {
    scope: PlanScope,
    /// The span in which the last task would run (see [`SchedulingRound::tie_s`]).
    span: i64,
    /// Price per hour of the machines rented for it.
    rental_price: f64,
    /// Machines in the zone. The zone with fewer is preferred: all gangs in the first zone
    /// would use up what can be rented there.
    machines_in_zone: usize,
}

impl GangOption {
    fn is_better_than(&self, other: &GangOption) -> bool {
        let key = |o: &GangOption| (o.span, o.rental_price, o.machines_in_zone);
        key(self) < key(other)
    }
}

impl SchedulingRound<'_> {
    /// Places all tasks of a gang on machines that are free now, or none; returns why none.
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
        for _ in 0..count {
            self.usage.add(&job.spec.team, job.resources);
        }
        if let Some(scope) = self.earliest_scope(job, true) {
            let choices = self.plan(job, count, scope);
            for (task, choice) in job.tasks.iter().zip(choices) {
                decisions.place(job, *task, choice.machine);
            }
            return None;
        }
        if job.single_probe {
            return Some(PendingReason::FailsEverywhere);
        }
        // Reserve what it will need, so that the fleet grows and later jobs don't take the
        // machines that it waits for; it starts once all are free.
        match self.earliest_scope(job, false) {
            Some(scope) => {
                self.plan(job, count, scope);
                Some(PendingReason::GangNotReady)
            }
            None => Some(PendingReason::NoCapacity),
        }
    }

    /// The scope in which all tasks would run earliest, then cheapest, if there is one. A
    /// gang that must be in one zone is tried in each.
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

    /// What planning a gang within a scope would come to; `None` if a task finds no machine.
    fn gang_option(&mut self, job: &PendingJob, scope: PlanScope) -> Option<GangOption> {
        let in_zone = |zone: usize| Some(zone) == scope.zone;
        let machines_in_zone = self.machines.iter().filter(|m| in_zone(m.zone)).count();
        let outcome = self.try_plan(job, job.tasks.len(), scope);
        (outcome.tasks == job.tasks.len()).then(|| GangOption {
            scope,
            span: self.tie_span(outcome.last_running_s),
            rental_price: outcome.rental_price,
            machines_in_zone,
        })
    }
}
