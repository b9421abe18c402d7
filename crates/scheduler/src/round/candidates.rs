//! The search for the best machine for a task.
//!
//! Machines are ordered by cheap bounds on their scores; a machine is evaluated only when
//! none that was evaluated before is certainly better.

use super::trial::PlanScope;
use super::{PendingJob, SchedulingRound};
use crate::timeline::PredictedFinish;
use crate::timeline_index::FinishBound;
use rushwalk_protocol::jobs::JobSpec;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// The best machine for a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineChoice {
    /// Index of the machine in the round.
    pub machine: usize,
    /// When the task would start and finish there.
    pub finish: PredictedFinish,
}

/// A machine that could take the next task of a job; the least is best.
pub(super) struct MachineCandidate {
    /// The span of finishes that count as equal (see [`SchedulingRound::tie_s`]).
    span: i64,
    /// Among those the lower price, and the fuller machine.
    rank: f64,
    pub(super) choice: MachineChoice,
}

impl PartialEq for MachineCandidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for MachineCandidate {}

impl PartialOrd for MachineCandidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for MachineCandidate {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.span.cmp(&other.span))
            .then(self.rank.total_cmp(&other.rank))
            .then(self.choice.machine.cmp(&other.choice.machine))
    }
}

/// A machine that was not evaluated, with a lower bound on its span.
#[derive(Debug, Clone, Copy)]
struct CandidateBound {
    span: i32,
    machine: u32,
}

/// The machines that may take a job's tasks, as far as they are sorted.
pub(super) struct CandidateQueue {
    /// Machines with bounds above `next_span`, unsorted: few of them are ever evaluated.
    bounds: Vec<CandidateBound>,
    /// The least bound.
    next_span: i32,
    /// Machines with that bound.
    next: Vec<u32>,
    evaluated: BinaryHeap<Reverse<MachineCandidate>>,
}

impl CandidateQueue {
    fn new(bounds: Vec<CandidateBound>) -> CandidateQueue {
        CandidateQueue {
            bounds,
            next_span: i32::MIN,
            next: Vec::new(),
            evaluated: BinaryHeap::new(),
        }
    }

    /// A machine with the least bound of those that were not evaluated.
    fn peek_bound(&mut self) -> Option<CandidateBound> {
        if self.next.is_empty() {
            self.next_span = self.bounds.iter().map(|bound| bound.span).min()?;
            let span = self.next_span;
            let next = &mut self.next;
            self.bounds.retain(|bound| {
                if bound.span == span {
                    next.push(bound.machine);
                }
                bound.span != span
            });
        }
        let machine = *self.next.last()?;
        Some(CandidateBound {
            span: self.next_span,
            machine,
        })
    }

    /// Removes the machine that [`Self::peek_bound`] returned.
    fn pop_bound(&mut self) {
        self.next.pop();
    }

    fn peek_evaluated(&self) -> Option<&MachineCandidate> {
        self.evaluated.peek().map(|Reverse(candidate)| candidate)
    }

    /// Removes the best evaluated machine.
    pub(super) fn pop_evaluated(&mut self) {
        self.evaluated.pop();
    }

    /// Adds an evaluated machine, if it can take a task.
    pub(super) fn push_evaluated(&mut self, candidate: Option<MachineCandidate>) {
        self.evaluated.extend(candidate.map(Reverse));
    }
}

/// Idle on-demand machines count as this many ties later for work that may run on spot
/// instances.
const IDLE_ON_DEMAND_TIES: f64 = 8.0;

impl SchedulingRound<'_> {
    /// Evaluates a machine for the next task of a job; `None` if it can't take the task or,
    /// with `free_now`, not at once.
    pub(super) fn candidate(
        &self,
        index: usize,
        job: &PendingJob,
        free_now: bool,
    ) -> Option<MachineCandidate> {
        self.evaluations.set(self.evaluations.get() + 1);
        let machine = &self.machines[index];
        let finish = machine.predict(job, self.planned_time_s)?;
        if free_now && (finish.start_s > self.planned_time_s || !machine.up) {
            return None;
        }
        let score = self.score(machine.spot, machine.tasks == 0, &job.spec, &finish);
        let free_share = machine
            .free_at(finish.start_s.max(self.planned_time_s))
            .dominant_share_of(&machine.capacity);
        let tasks_that_fit = 1.0 / job.resources.dominant_share_of(&machine.capacity);
        let price_per_task = machine.price / tasks_that_fit.max(1.0);
        Some(MachineCandidate {
            span: self.tie_span(score),
            rank: price_per_task * (0.5 + free_share) * job.price_bias_of(machine),
            choice: MachineChoice {
                machine: index,
                finish,
            },
        })
    }

    /// The machines that may take a job's tasks, with bounds.
    pub(super) fn candidates(&self, job: &PendingJob, scope: PlanScope) -> CandidateQueue {
        let in_scope = |zone: usize| scope.zone.is_none_or(|only| only == zone);
        let zones = self.zones.iter().enumerate();
        let open_zones: Vec<bool> = zones
            .map(|(index, zone)| in_scope(index) && job.allows_zone(zone))
            .collect();
        let mut bounds = Vec::new();
        let add_bound = |bound: FinishBound| {
            let score = self.score(bound.spot, bound.empty, &job.spec, &bound.finish);
            bounds.push(CandidateBound {
                span: ((score - self.planned_time_s) / self.tie_s) as i32,
                machine: bound.machine as u32,
            });
        };
        let now_s = self.planned_time_s;
        self.machines
            .for_each_bound(job, &open_zones, now_s, scope.free_now, add_bound);
        CandidateQueue::new(bounds)
    }

    /// The best machine, which stays in the queue.
    pub(super) fn peek_best(
        &self,
        queue: &mut CandidateQueue,
        job: &PendingJob,
        free_now: bool,
    ) -> Option<MachineChoice> {
        loop {
            self.drop_closed_zones(queue, job);
            let bound = queue.peek_bound();
            let best = queue.peek_evaluated();
            match (best, bound) {
                (Some(best), None) => return Some(best.choice),
                (Some(best), Some(bound)) if best.span < i64::from(bound.span) => {
                    return Some(best.choice);
                }
                (_, Some(bound)) => {
                    queue.pop_bound();
                    let index = bound.machine as usize;
                    if self.is_zone_open(index, job) {
                        queue.push_evaluated(self.candidate(index, job, free_now));
                    }
                }
                (None, None) => return None,
            }
        }
    }

    /// Removes the best machines as long as their zones are closed to the job. A closed zone
    /// stays closed, since the number of tasks in it only grows.
    fn drop_closed_zones(&self, queue: &mut CandidateQueue, job: &PendingJob) {
        while queue
            .peek_evaluated()
            .is_some_and(|best| !self.is_zone_open(best.choice.machine, job))
        {
            queue.pop_evaluated();
        }
    }

    /// Whether a job's next task may go to the zone of a machine.
    fn is_zone_open(&self, index: usize, job: &PendingJob) -> bool {
        job.allows_zone(&self.zones[self.machines[index].zone])
    }

    /// The best machine for one task; with `free_now` of those on which it can start at
    /// once.
    pub fn best_machine(&self, job: &PendingJob, free_now: bool) -> Option<MachineChoice> {
        let scope = PlanScope {
            zone: None,
            free_now,
        };
        let mut queue = self.candidates(job, scope);
        self.peek_best(&mut queue, job, free_now)
    }

    /// What decides between machines, as a time: the earliest is best.
    pub(super) fn score(
        &self,
        spot: bool,
        empty: bool,
        spec: &JobSpec,
        finish: &PredictedFinish,
    ) -> f64 {
        // A service never finishes: the time at which it runs decides.
        let score = if finish.finish_s.is_finite() {
            finish.finish_s
        } else {
            finish.running_s
        };
        // Exception to the earliest finish: using an idle on-demand machine for work that
        // a spot instance may do costs as much as a boot, so that idle machines stay free
        // for work that needs them.
        if spec.spot && !spot && empty {
            score + self.tie_s * IDLE_ON_DEMAND_TIES
        } else {
            score
        }
    }
}
