//! The search for the best machine for a task.
//!
//! Machines are ordered by lower bounds on their scores, which are cheap to compute. They are
//! evaluated in this order, until the bounds show that none of the others can be better than
//! the best machine evaluated so far.

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
    /// When the task would start and finish on that machine.
    pub finish: PredictedFinish,
}

/// A machine that could take the next task of a job. The smallest in [`Ord`] is the best.
pub(super) struct MachineCandidate {
    /// Bucket of the score; scores in one bucket count as equal (see
    /// [`SchedulingRound::tie_s`]).
    tie_bucket: i64,
    /// Orders candidates of the same bucket: lower for a lower price per task and for a
    /// fuller machine.
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
        (self.tie_bucket.cmp(&other.tie_bucket))
            .then(self.rank.total_cmp(&other.rank))
            .then(self.choice.machine.cmp(&other.choice.machine))
    }
}

/// A machine that was not evaluated yet, with a lower bound on its tie bucket.
#[derive(Debug, Clone, Copy)]
struct CandidateBound {
    tie_bucket: i32,
    machine: u32,
}

/// The machines that may take a job's tasks, sorted only as far as needed.
pub(super) struct CandidateQueue {
    /// Machines with bounds above `next_bucket`. They are not sorted, because few of them are
    /// ever evaluated.
    bounds: Vec<CandidateBound>,
    /// The lowest bound of the machines that were not evaluated; valid while `next_machines`
    /// is not empty.
    next_bucket: i32,
    /// Indices of the machines with the bound `next_bucket`.
    next_machines: Vec<u32>,
    /// Machines that were evaluated and can take a task, the best on top.
    evaluated: BinaryHeap<Reverse<MachineCandidate>>,
}

impl CandidateQueue {
    fn new(bounds: Vec<CandidateBound>) -> CandidateQueue {
        CandidateQueue {
            bounds,
            next_bucket: i32::MIN,
            next_machines: Vec::new(),
            evaluated: BinaryHeap::new(),
        }
    }

    /// A machine with the lowest bound of those that were not evaluated.
    fn peek_bound(&mut self) -> Option<CandidateBound> {
        if self.next_machines.is_empty() {
            self.next_bucket = self.bounds.iter().map(|bound| bound.tie_bucket).min()?;
            let tie_bucket = self.next_bucket;
            let next_machines = &mut self.next_machines;
            self.bounds.retain(|bound| {
                if bound.tie_bucket == tie_bucket {
                    next_machines.push(bound.machine);
                }
                bound.tie_bucket != tie_bucket
            });
        }
        let machine = *self.next_machines.last()?;
        Some(CandidateBound {
            tie_bucket: self.next_bucket,
            machine,
        })
    }

    /// Removes the machine that [`Self::peek_bound`] returned last.
    fn pop_bound(&mut self) {
        self.next_machines.pop();
    }

    fn peek_evaluated(&self) -> Option<&MachineCandidate> {
        self.evaluated.peek().map(|Reverse(candidate)| candidate)
    }

    /// Removes the best evaluated machine.
    pub(super) fn pop_evaluated(&mut self) {
        self.evaluated.pop();
    }

    /// Adds an evaluated machine. `None` stands for a machine that can't take a task; nothing is
    /// added then.
    pub(super) fn push_evaluated(&mut self, candidate: Option<MachineCandidate>) {
        self.evaluated.extend(candidate.map(Reverse));
    }
}

/// For a job that may run on spot instances, the score of an idle on-demand machine is raised
/// by this many times [`SchedulingRound::tie_s`].
const IDLE_ON_DEMAND_PENALTY_TIES: f64 = 8.0;

impl SchedulingRound<'_> {
    /// Evaluates a machine for the next task of a job. `None` if the task can't run there
    /// or, with `free_now`, can't start there at the planned time.
    pub(super) fn evaluate(
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
            tie_bucket: self.tie_bucket(score),
            rank: price_per_task * (0.5 + free_share) * job.price_bias_of(machine),
            choice: MachineChoice {
                machine: index,
                finish,
            },
        })
    }

    /// Builds the queue of the machines that may take a job's tasks. None is evaluated yet.
    pub(super) fn candidate_queue(&self, job: &PendingJob, scope: PlanScope) -> CandidateQueue {
        let in_scope = |zone: usize| scope.zone.is_none_or(|only| only == zone);
        let zones = self.zones.iter().enumerate();
        let open_zones: Vec<bool> = zones
            .map(|(index, zone)| in_scope(index) && job.allows_zone(zone))
            .collect();
        let mut bounds = Vec::new();
        let add_bound = |bound: FinishBound| {
            let score = self.score(bound.spot, bound.empty, &job.spec, &bound.finish);
            bounds.push(CandidateBound {
                tie_bucket: ((score - self.planned_time_s) / self.tie_s) as i32,
                machine: bound.machine as u32,
            });
        };
        let now_s = self.planned_time_s;
        self.machines
            .for_each_bound(job, &open_zones, now_s, scope.free_now, add_bound);
        CandidateQueue::new(bounds)
    }

    /// The best machine for the next task; it stays in the queue. Evaluates machines until the
    /// bounds of all others rule out a better one. `None` if no machine can take the task.
    pub(super) fn peek_best(
        &self,
        queue: &mut CandidateQueue,
        job: &PendingJob,
        free_now: bool,
    ) -> Option<MachineChoice> {
        loop {
            self.pop_closed_zones(queue, job);
            let bound = queue.peek_bound();
            let best = queue.peek_evaluated();
            match (best, bound) {
                (Some(best), None) => return Some(best.choice),
                (Some(best), Some(bound)) if best.tie_bucket < i64::from(bound.tie_bucket) => {
                    return Some(best.choice);
                }
                (_, Some(bound)) => {
                    queue.pop_bound();
                    let index = bound.machine as usize;
                    if self.is_zone_open(index, job) {
                        queue.push_evaluated(self.evaluate(index, job, free_now));
                    }
                }
                (None, None) => return None,
            }
        }
    }

    /// Removes evaluated machines from the top of the queue while their zones allow no
    /// further task of the job. Such a zone stays closed while the job is planned, because
    /// the number of the job's tasks there only grows.
    fn pop_closed_zones(&self, queue: &mut CandidateQueue, job: &PendingJob) {
        while queue
            .peek_evaluated()
            .is_some_and(|best| !self.is_zone_open(best.choice.machine, job))
        {
            queue.pop_evaluated();
        }
    }

    /// Whether a job's next task may be placed in the zone of a machine.
    fn is_zone_open(&self, index: usize, job: &PendingJob) -> bool {
        job.allows_zone(&self.zones[self.machines[index].zone])
    }

    /// The best machine for one task of a job; `None` if no machine can take it. With
    /// `free_now`, only machines on which the task can start at the planned time count.
    pub fn best_machine(&self, job: &PendingJob, free_now: bool) -> Option<MachineChoice> {
        let scope = PlanScope {
            zone: None,
            free_now,
        };
        let mut queue = self.candidate_queue(job, scope);
        self.peek_best(&mut queue, job, free_now)
    }

    /// The score of a machine for a task, as a time in seconds since the Unix epoch. The
    /// earliest is best.
    pub(super) fn score(
        &self,
        spot: bool,
        empty: bool,
        spec: &JobSpec,
        finish: &PredictedFinish,
    ) -> f64 {
        // A service never finishes, so the time at which it starts running is used.
        let score = if finish.finish_s.is_finite() {
            finish.finish_s
        } else {
            finish.running_s
        };
        // Exception to the earliest finish: for a job that may use spot instances, an idle
        // on-demand machine gets a penalty about as large as a boot time, so that it stays
        // free for jobs that need on-demand machines.
        if spec.spot && !spot && empty {
            score + self.tie_s * IDLE_ON_DEMAND_PENALTY_TIES
        } else {
            score
        }
    }
}
