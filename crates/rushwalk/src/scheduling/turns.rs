//! Planning in turns: a plan of many jobs takes longer than the others on this thread should
//! wait.

use super::expected_demand::ExpectedJob;
use crate::observability::runtime_lag::RuntimeLag;
use crate::observability::work_profile::{WorkKind, WorkProfile};
use rushwalk_scheduler::round::{PendingJob, SchedulingDecisions, SchedulingRound};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Jobs planned before the others on this thread have their turn. On a busy thread a turn
/// comes late, so a round must not take many.
const MAX_JOBS_PER_TURN: usize = 16;

/// Parts of a round that a turn of planning may take.
const TURNS_PER_ROUND: u32 = 48;

/// Plans jobs in turns, between which the others on this thread go on.
pub(super) struct TurnPlanner {
    /// The interval of rounds.
    pub(super) round: Duration,
    /// Lets others have their turn.
    pub(super) runtime_lag: Arc<RuntimeLag>,
    /// Where the time goes.
    pub(super) work_profile: Arc<WorkProfile>,
}

impl TurnPlanner {
    /// Plans the waiting jobs in their order, in turns. The plan ends when its time is over,
    /// not after so many tasks: 3,000 were all that waited on one fleet, and a third of it
    /// on one four times as large, so that nothing was rented for the others.
    pub(super) async fn plan_pending(
        &self,
        round: &mut SchedulingRound<'_>,
        pending: &[PendingJob],
    ) -> SchedulingDecisions {
        let mut decisions = SchedulingDecisions::default();
        let mut rest = pending;
        let began = Instant::now();
        while !rest.is_empty() && (began.elapsed() < self.round || decisions.is_empty()) {
            let mut timer = self.work_profile.start(WorkKind::Schedule);
            let turn_began = Instant::now();
            let mut done = 0;
            while done < rest.len() && self.goes_on(done, turn_began) {
                let some = round.schedule(&rest[done..=done]);
                decisions.placements.extend(some.placements);
                decisions.pending_reasons.extend(some.pending_reasons);
                done += 1;
            }
            timer.add_items(round.take_evaluations());
            drop(timer);
            rest = &rest[done..];
            self.runtime_lag.yield_after(turn_began.elapsed()).await;
        }
        decisions
    }

    /// Plans what is expected, each job for its time; how many tasks would wait.
    pub(super) async fn plan_expected(
        &self,
        round: &mut SchedulingRound<'_>,
        expected: &[ExpectedJob],
    ) -> usize {
        let mut late = 0;
        let mut rest = expected;
        while !rest.is_empty() {
            let mut timer = self.work_profile.start(WorkKind::ScaleOut);
            let turn_began = Instant::now();
            let mut done = 0;
            while done < rest.len() && self.goes_on(done, turn_began) {
                let ExpectedJob { in_s, job } = &rest[done];
                round.planned_time_s = round.current_time_s + in_s;
                let decisions = round.schedule(std::slice::from_ref(job));
                late += job.tasks.len() - decisions.placements.len();
                done += 1;
            }
            timer.add_items(round.take_evaluations());
            drop(timer);
            rest = &rest[done..];
            self.runtime_lag.yield_after(turn_began.elapsed()).await;
        }
        round.planned_time_s = round.current_time_s;
        late
    }

    /// Whether a turn of planning goes on. On a slow controller even a few jobs take long, and
    /// answers to workers and users must not wait for them.
    fn goes_on(&self, done: usize, began: Instant) -> bool {
        let max_turn = self.round / TURNS_PER_ROUND;
        done == 0 || (done < MAX_JOBS_PER_TURN && began.elapsed() < max_turn)
    }
}
