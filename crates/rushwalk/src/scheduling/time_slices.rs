//! Planning in time slices: a plan of many jobs takes longer than the other tasks of this
//! thread should wait.

use super::expected_demand::ExpectedJob;
use crate::observability::runtime_lag::RuntimeLag;
use crate::observability::work_profile::{WorkKind, WorkProfile};
use rushwalk_scheduler::round::{PendingJob, SchedulingDecisions, SchedulingRound};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The most jobs planned in one slice. On a busy thread the next slice comes late, so a round
/// must not take many.
const MAX_JOBS_PER_SLICE: usize = 16;

/// A slice may take a round divided by this.
const SLICES_PER_ROUND: u32 = 48;

/// Plans jobs in time slices, between which the other tasks of this thread run.
pub(super) struct TimeSlicedPlanner {
    /// The interval of rounds.
    pub(super) round: Duration,
    /// Yields to the other tasks of this thread.
    pub(super) runtime_lag: Arc<RuntimeLag>,
    /// Measures the work that is done.
    pub(super) work_profile: Arc<WorkProfile>,
}

impl TimeSlicedPlanner {
    /// Plans the pending jobs in their order, in slices. The plan ends when its time is over,
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
            let slice_began = Instant::now();
            let mut done = 0;
            while done < rest.len() && self.slice_continues(done, slice_began) {
                let some = round.schedule(&rest[done..=done]);
                decisions.placements.extend(some.placements);
                decisions.pending_reasons.extend(some.pending_reasons);
                done += 1;
            }
            timer.add_items(round.take_evaluations());
            drop(timer);
            rest = &rest[done..];
            self.runtime_lag.yield_after(slice_began.elapsed()).await;
        }
        decisions
    }

    /// Plans the expected jobs, each for its time; returns how many tasks would wait.
    pub(super) async fn plan_expected(
        &self,
        round: &mut SchedulingRound<'_>,
        expected: &[ExpectedJob],
    ) -> usize {
        let mut late = 0;
        let mut rest = expected;
        while !rest.is_empty() {
            let mut timer = self.work_profile.start(WorkKind::ScaleOut);
            let slice_began = Instant::now();
            let mut done = 0;
            while done < rest.len() && self.slice_continues(done, slice_began) {
                let ExpectedJob { in_s, job } = &rest[done];
                round.planned_time_s = round.current_time_s + in_s;
                let decisions = round.schedule(std::slice::from_ref(job));
                late += job.tasks.len() - decisions.placements.len();
                done += 1;
            }
            timer.add_items(round.take_evaluations());
            drop(timer);
            rest = &rest[done..];
            self.runtime_lag.yield_after(slice_began.elapsed()).await;
        }
        round.planned_time_s = round.current_time_s;
        late
    }

    /// Whether a slice of planning continues. On a slow controller even a few jobs take long, and
    /// answers to workers and users must not wait for them.
    fn slice_continues(&self, done: usize, began: Instant) -> bool {
        let max_slice = self.round / SLICES_PER_ROUND;
        done == 0 || (done < MAX_JOBS_PER_SLICE && began.elapsed() < max_slice)
    }
}
