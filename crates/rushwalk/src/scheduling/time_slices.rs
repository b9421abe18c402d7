//! Planning in time slices, because planning many jobs takes longer than the other asynchronous
//! tasks of this thread should wait.

use super::expected_demand::ExpectedJob;
use crate::observability::runtime_lag::RuntimeLag;
use crate::observability::work_profile::{WorkKind, WorkProfile};
use rushwalk_scheduler::round::{PendingJob, SchedulingDecisions, SchedulingRound};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum number of jobs planned in one slice. With fewer, a round would need more slices,
/// and on a busy thread each of them starts late.
const MAX_JOBS_PER_SLICE: usize = 16;

/// The maximum duration of a slice is the round interval divided by this.
const SLICES_PER_ROUND: u32 = 48;

/// Plans jobs in time slices, between which the other asynchronous tasks of this thread run.
pub(super) struct TimeSlicedPlanner {
    /// The interval of scheduling rounds.
    pub(super) round: Duration,
    /// Measures the event-loop lag of this thread, and yields to its other tasks between slices.
    pub(super) runtime_lag: Arc<RuntimeLag>,
    /// Measures the time that planning takes.
    pub(super) work_profile: Arc<WorkProfile>,
}

impl TimeSlicedPlanner {
    /// Plans the pending jobs in their order, in slices. Ends when all are planned, or when one
    /// round interval is over and at least one decision was made. The limit is a time rather than
    /// a number of tasks: a limit of 3,000 tasks covered all waiting tasks of one fleet, but only a
    /// third of those of a fleet four times as large, where nothing was rented for the other two
    /// thirds.
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
                let decided = round.schedule(&rest[done..=done]);
                decisions.placements.extend(decided.placements);
                decisions.pending_reasons.extend(decided.pending_reasons);
                done += 1;
            }
            timer.add_items(round.take_evaluations());
            drop(timer);
            rest = &rest[done..];
            self.runtime_lag.yield_after(slice_began.elapsed()).await;
        }
        decisions
    }

    /// Plans all expected jobs in slices, each for the time at which it is expected. Returns the
    /// number of tasks that could not start at that time.
    pub(super) async fn plan_expected(
        &self,
        round: &mut SchedulingRound<'_>,
        expected: &[ExpectedJob],
    ) -> usize {
        let mut waiting = 0;
        let mut rest = expected;
        while !rest.is_empty() {
            let mut timer = self.work_profile.start(WorkKind::ScaleOut);
            let slice_began = Instant::now();
            let mut done = 0;
            while done < rest.len() && self.slice_continues(done, slice_began) {
                let ExpectedJob { due_in_s, job } = &rest[done];
                round.planned_time_s = round.current_time_s + due_in_s;
                let decisions = round.schedule(std::slice::from_ref(job));
                waiting += job.tasks.len() - decisions.placements.len();
                done += 1;
            }
            timer.add_items(round.take_evaluations());
            drop(timer);
            rest = &rest[done..];
            self.runtime_lag.yield_after(slice_began.elapsed()).await;
        }
        round.planned_time_s = round.current_time_s;
        waiting
    }

    /// Whether another job is planned in a slice that has planned `done` jobs. The time limit is
    /// for slow controllers, which need long even for a few jobs: responses to workers and users
    /// must not wait for so long.
    fn slice_continues(&self, done: usize, began: Instant) -> bool {
        let max_slice = self.round / SLICES_PER_ROUND;
        done == 0 || (done < MAX_JOBS_PER_SLICE && began.elapsed() < max_slice)
    }
}
