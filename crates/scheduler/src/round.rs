//! One round: waiting tasks, in order, go where their predicted finish is
//! smallest; what finds no good place says what the fleet lacks.
//!
//! A job's machines are looked at once; then they are kept in order, and only
//! the machine that has just taken a task is looked at again. That finds the
//! same places as looking at every machine for every task.

#[cfg(test)]
mod tests;

use crate::Resources;
use crate::quota::{QuotaUsage, TasksPerZone};
use crate::timeline::{ImageId, MachineTimeline, PredictedFinish};
use crate::timeline_index::TimelineIndex;
use rushwalk_protocol::jobs::{JobSpec, Shape};
use rushwalk_protocol::settings::Team;
use std::cell::Cell;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::sync::Arc;

/// What a task takes on machines of one group.
#[derive(Debug, Clone, Copy, Default)]
pub struct TaskEstimate {
    pub run_s: f64,
    pub fetch_s: f64,
    /// How long another machine of the group would boot.
    pub boot_s: f64,
    /// Whether the job may use the group, and a task fits an empty machine.
    pub allowed: bool,
}

/// A job with tasks that have no machine.
#[derive(Debug, Clone)]
pub struct PendingJob {
    pub spec: Arc<JobSpec>,
    pub resources: Resources,
    pub image: ImageId,
    /// Per group, in the order of the round's types.
    pub estimates: Vec<TaskEstimate>,
    pub overhead_s: f64,
    pub tasks: Vec<u32>,
    pub tasks_per_zone: TasksPerZone,
    /// Machines on which this job failed.
    pub avoided_machines: Vec<Arc<str>>,
    /// By how much dearer ordinary and spot machines of a group count for this
    /// job, because there are no more of them and others gain more by them.
    pub price_bias: Vec<[f64; 2]>,
    /// It failed wherever it ran: it is tried where there is room now, and nothing is
    /// rented or kept for it.
    pub single_probe: bool,
}

impl PendingJob {
    fn allows(&self, slot: &MachineTimeline) -> bool {
        !slot.closed
            && (self.spec.spot || !slot.spot)
            && self.estimates.get(slot.group).is_some_and(|e| e.allowed)
    }

    /// Whether its next task may go to a zone.
    fn open(&self, zone: &str) -> bool {
        self.spec.zone.as_ref().is_none_or(|z| **z == *zone)
            && self.tasks_per_zone.allows(&self.spec, zone)
    }

    fn bias(&self, group: usize, spot: bool) -> f64 {
        self.price_bias
            .get(group)
            .map_or(1.0, |b| b[usize::from(spot)])
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    pub job: String,
    pub task: u32,
    pub machine: usize,
}

/// A kind of machine that may be rented now.
#[derive(Debug, Clone)]
pub struct RentableCapacity {
    /// A machine of that kind, rented at the round's time.
    pub machine: MachineTimeline,
    /// Machines of ours in that zone: the emptier zone wins a tie.
    pub owned_in_zone: usize,
    /// So many may be had, as far as is known.
    pub available: u32,
    /// Those that this plan has taken.
    pub used: u32,
}

pub struct SchedulingRound<'a> {
    /// The time for which tasks are planned.
    pub planned_time: f64,
    /// The time at which a machine rented now begins to boot.
    pub current_time: f64,
    pub zones: Vec<Arc<str>>,
    pub machines: TimelineIndex,
    pub rentable: Vec<RentableCapacity>,
    pub teams: &'a [Team],
    pub usage: QuotaUsage,
    /// Finishes within the same span of this length count as equal; then the
    /// cheaper and fuller machine wins.
    pub tie_s: f64,
    /// Slots beyond this index are rentals decided in this round.
    pub first_rental: usize,
    /// Machines worked out since somebody asked: what planning costs.
    pub evaluations: Cell<usize>,
}

#[derive(Debug, Default)]
pub struct SchedulingDecisions {
    pub placements: Vec<Placement>,
    /// Job, and why it waits.
    pub pending_reasons: Vec<(String, &'static str)>,
}

impl SchedulingDecisions {
    pub fn is_empty(&self) -> bool {
        self.placements.is_empty() && self.pending_reasons.is_empty()
    }
}

/// A machine that could take the next task of a job.
struct MachineCandidate {
    span: i64,
    rank: f64,
    slot: usize,
    finish: PredictedFinish,
}

/// A job's machines: by bounds on their spans, and those that were worked out,
/// since none could come before them.
struct CandidateQueue {
    /// Bounds above `span`, in no order: few of them are ever asked for.
    bounds: Vec<(i32, u32)>,
    /// Machines whose bound is `span`, the least.
    span: i32,
    next: Vec<u32>,
    exact: BinaryHeap<Reverse<MachineCandidate>>,
}

impl CandidateQueue {
    fn new(bounds: Vec<(i32, u32)>) -> CandidateQueue {
        CandidateQueue {
            bounds,
            span: i32::MIN,
            next: Vec::new(),
            exact: BinaryHeap::new(),
        }
    }

    /// A machine of the least bound that was not worked out as yet.
    fn least(&mut self) -> Option<(i32, usize)> {
        if self.next.is_empty() {
            self.span = self.bounds.iter().map(|b| b.0).min()?;
            let span = self.span;
            let next = &mut self.next;
            self.bounds.retain(|(at, slot)| {
                if *at == span {
                    next.push(*slot);
                }
                *at != span
            });
        }
        self.next.last().map(|slot| (self.span, *slot as usize))
    }
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
            .then(self.slot.cmp(&other.slot))
    }
}

/// What a plan that is only tried has changed.
#[derive(Default)]
struct UndoLog {
    slots: Vec<(usize, MachineTimeline)>,
    len: usize,
}

struct TrialPlan {
    chosen: Vec<(usize, PredictedFinish)>,
    undo: UndoLog,
    /// When the last task would run.
    last: f64,
    /// What the rentals among them cost an hour.
    rented: f64,
}

impl SchedulingRound<'_> {
    /// How many machines were worked out since this was last asked.
    pub fn take_evaluations(&self) -> usize {
        self.evaluations.take()
    }

    fn candidate(&self, i: usize, job: &PendingJob, free_now: bool) -> Option<MachineCandidate> {
        self.evaluations.set(self.evaluations.get() + 1);
        let slot = &self.machines[i];
        let finish = slot.predict(job, self.planned_time)?;
        if free_now && (finish.start_s > self.planned_time || !slot.up) {
            return None;
        }
        let score = self.score(slot.spot, slot.tasks == 0, &job.spec, &finish) - self.planned_time;
        let room = slot
            .free_at(finish.start_s.max(self.planned_time))
            .dominant_share_of(&slot.capacity);
        let fit = (1.0 / job.resources.dominant_share_of(&slot.capacity)).max(1.0);
        Some(MachineCandidate {
            span: (score / self.tie_s) as i64,
            rank: slot.price / fit * (0.5 + room) * job.bias(slot.group, slot.spot),
            slot: i,
            finish,
        })
    }

    fn candidates(&self, job: &PendingJob, zone: Option<usize>, free_now: bool) -> CandidateQueue {
        let here = |z: usize| zone.is_none_or(|zone| zone == z);
        let zones = self.zones.iter().enumerate();
        let open: Vec<bool> = zones.map(|(i, z)| here(i) && job.open(z)).collect();
        let mut bounds = Vec::new();
        self.machines
            .bounds(job, &open, self.planned_time, free_now, |bound| {
                let score = self.score(bound.spot, bound.empty, &job.spec, &bound.finish);
                let span = ((score - self.planned_time) / self.tie_s) as i32;
                bounds.push((span, bound.slot as u32));
            });
        CandidateQueue::new(bounds)
    }

    /// The best machine, left in its place, once no other can be better.
    fn first(
        &self,
        order: &mut CandidateQueue,
        job: &PendingJob,
        free_now: bool,
    ) -> Option<(usize, PredictedFinish)> {
        let open = |i: usize| job.open(&self.zones[self.machines[i].zone]);
        loop {
            // A zone that is closed to the job stays so: its tasks only grow.
            while (order.exact.peek()).is_some_and(|Reverse(c)| !open(c.slot)) {
                order.exact.pop();
            }
            let next = order.least();
            let best = order.exact.peek().map(|Reverse(c)| c);
            match (best, next) {
                (Some(best), None) => return Some((best.slot, best.finish)),
                (Some(best), Some((span, _))) if best.span < i64::from(span) => {
                    return Some((best.slot, best.finish));
                }
                (_, Some((_, slot))) => {
                    order.next.pop();
                    if open(slot) {
                        let exact = self.candidate(slot, job, free_now);
                        order.exact.extend(exact.map(Reverse));
                    }
                }
                (None, None) => return None,
            }
        }
    }

    /// Index and finish of the best machine for one task.
    pub fn best_machine(
        &self,
        job: &PendingJob,
        free_now: bool,
    ) -> Option<(usize, PredictedFinish)> {
        let mut order = self.candidates(job, None, free_now);
        self.first(&mut order, job, free_now)
    }

    /// What decides between machines, in seconds; the least is best.
    fn score(&self, spot: bool, empty: bool, spec: &JobSpec, finish: &PredictedFinish) -> f64 {
        // A service never finishes: the time at which it runs decides.
        let score = match finish.finish_s.is_finite() {
            true => finish.finish_s,
            false => finish.running_s,
        };
        // Exception to the smallest finish: waking an idle ordinary machine
        // for work that a spot machine may do costs as if it had to boot, so
        // that warm machines stay free for what needs them.
        match spec.spot && !spot && empty {
            true => score + self.tie_s * 8.0,
            false => score,
        }
    }

    /// The cheapest new machine for a task whose best score is `otherwise`.
    fn offer(&self, job: &PendingJob, zone: Option<usize>, otherwise: f64) -> Option<usize> {
        let spec = &job.spec;
        let mut best: Option<(f64, usize, usize)> = None;
        let mut new = vec![0; self.zones.len()];
        for offer in &self.rentable {
            new[offer.machine.zone] += offer.used as usize;
        }
        for (i, offer) in self.rentable.iter().enumerate() {
            let slot = &offer.machine;
            let there = zone.is_none_or(|z| z == slot.zone) && job.open(&self.zones[slot.zone]);
            if !there || offer.used >= offer.available || !job.allows(slot) {
                continue;
            }
            let Some(finish) = slot.predict(job, self.planned_time) else {
                continue;
            };
            // By the same measure as machines that are there: with another
            // one, a rental decided now would be found wanting in the next
            // round, and each round would rent more.
            if self.score(slot.spot, true, spec, &finish) + self.tie_s >= otherwise {
                continue;
            }
            let fit = job.resources.count_in(&slot.capacity, u32::MAX).max(1);
            let cost = slot.price / f64::from(fit) * job.bias(slot.group, slot.spot);
            let ours = offer.owned_in_zone + new[slot.zone];
            if best
                .as_ref()
                .is_none_or(|(c, o, _)| (cost, ours) < (*c, *o))
            {
                best = Some((cost, ours, i));
            }
        }
        best.map(|(_, _, i)| i)
    }

    /// The offer that a machine to be rented came from.
    fn offered(&mut self, slot: &MachineTimeline) -> Option<&mut RentableCapacity> {
        let same =
            |s: &MachineTimeline| (s.group, s.zone, s.spot) == (slot.group, slot.zone, slot.spot);
        self.rentable.iter_mut().find(|o| same(&o.machine))
    }

    /// Takes the plan back to machines as they were before.
    pub fn restore(&mut self, slots: TimelineIndex) {
        self.rentable.iter_mut().for_each(|offer| offer.used = 0);
        for slot in slots.iter().skip(self.first_rental) {
            if let Some(offer) = self.offered(slot) {
                offer.used += 1;
            }
        }
        self.machines = slots;
    }

    /// Plans as many of `n` tasks of a job as there are places for, one after
    /// the other, each on the machine that is best for it then. What is only
    /// `trial` can be undone.
    fn plan(
        &mut self,
        job: &PendingJob,
        n: usize,
        zone: Option<usize>,
        free_now: bool,
        trial: bool,
    ) -> TrialPlan {
        let mut order = self.candidates(job, zone, free_now);
        let mut job = job.clone();
        // Tasks of a gang run side by side: none can have its place after another. (With
        // boots that were thought to take longer than its run, one was planned so, nothing
        // was rented, and the gang waited for good beside too few machines.)
        let gang = job.spec.shape == Shape::Gang && !free_now;
        let mut before: Vec<(usize, MachineTimeline)> = Vec::new();
        let mut tried = TrialPlan {
            chosen: Vec::with_capacity(n),
            undo: UndoLog {
                slots: Vec::new(),
                len: self.machines.len(),
            },
            last: 0.0,
            rented: 0.0,
        };
        while tried.chosen.len() < n {
            let best = self.first(&mut order, &job, free_now);
            let startable =
                best.is_some_and(|(i, f)| f.start_s <= self.planned_time && self.machines[i].up);
            let mut rented = None;
            if !startable && !free_now && !job.single_probe {
                let otherwise = best.map_or(f64::INFINITY, |(i, f)| {
                    let slot = &self.machines[i];
                    self.score(slot.spot, slot.tasks == 0, &job.spec, &f)
                });
                rented = self.offer(&job, zone, otherwise);
            }
            let (i, finish) = match rented {
                Some(k) => {
                    let offer = &mut self.rentable[k];
                    let Some(finish) = offer.machine.predict(&job, self.planned_time) else {
                        break;
                    };
                    offer.used += 1;
                    tried.rented += offer.machine.price;
                    self.machines.push(offer.machine.clone());
                    (self.machines.len() - 1, finish)
                }
                None => {
                    let Some((i, finish)) = best else { break };
                    order.exact.pop();
                    if trial && i < tried.undo.len {
                        tried.undo.slots.push((i, self.machines[i].clone()));
                    }
                    (i, finish)
                }
            };
            if gang {
                before.push((i, self.machines[i].clone()));
                let endless = PredictedFinish {
                    finish_s: f64::INFINITY,
                    ..finish
                };
                self.machines.place(i, &job, &endless);
            } else {
                self.machines.place(i, &job, &finish);
            }
            job.tasks_per_zone.add(&self.zones[self.machines[i].zone]);
            tried.last = tried.last.max(finish.running_s);
            tried.chosen.push((i, finish));
            let again = self.candidate(i, &job, free_now);
            order.exact.extend(again.map(Reverse));
        }
        if !trial {
            // Its places are kept until it has run, from when the last of them is free.
            for (i, slot) in before.into_iter().rev() {
                self.machines.restore(i, slot);
            }
            for (i, finish) in tried.chosen.iter().filter(|_| gang) {
                let together = PredictedFinish {
                    finish_s: tried.last + (finish.finish_s - finish.running_s),
                    ..*finish
                };
                self.machines.place(*i, &job, &together);
            }
        }
        tried
    }

    /// Starts what tasks of a job can start now: index and slot of each. `hints`
    /// are the machines found best for them a moment ago, by the same rule over
    /// all blocks; the others are searched for.
    pub fn start_now(&mut self, job: &PendingJob, hints: &[Option<Arc<str>>]) -> Vec<(u32, usize)> {
        let mut out = Vec::new();
        let mut rest = job.clone();
        rest.tasks.clear();
        for (index, hint) in job.tasks.iter().zip(hints) {
            match hint.as_ref().and_then(|name| self.hinted(job, name)) {
                Some(slot) => out.push((*index, slot)),
                None => rest.tasks.push(*index),
            }
        }
        if !rest.tasks.is_empty() {
            let tried = self.plan(&rest, rest.tasks.len(), None, true, false);
            let slots = tried.chosen.into_iter().map(|(slot, _)| slot);
            out.extend(rest.tasks.iter().copied().zip(slots));
        }
        out
    }

    /// Places a task on a machine named before, if it can start there now.
    fn hinted(&mut self, job: &PendingJob, name: &Arc<str>) -> Option<usize> {
        // A block's machines come in the order of their names.
        let found = self.machines.binary_search_by(|s| s.name.cmp(name));
        let i = found.ok()?;
        let slot = &self.machines[i];
        let zone = job.spec.zone.as_ref();
        let named = zone.is_none_or(|z| **z == *self.zones[slot.zone]);
        if !named || !job.allows(slot) || job.avoided_machines.contains(name) {
            return None;
        }
        let finish = self.candidate(i, job, true)?.finish;
        self.machines.place(i, job, &finish);
        Some(i)
    }

    fn undo(&mut self, undo: UndoLog) {
        for (i, slot) in undo.slots.into_iter().rev() {
            self.machines.restore(i, slot);
        }
        for i in undo.len..self.machines.len() {
            let slot = self.machines[i].clone();
            if let Some(offer) = self.offered(&slot) {
                offer.used -= 1;
            }
        }
        self.machines.truncate(undo.len);
    }

    /// Plans the waiting jobs in the order given.
    pub fn schedule(&mut self, jobs: &[PendingJob]) -> SchedulingDecisions {
        let mut out = SchedulingDecisions::default();
        for job in jobs {
            let why = match job.spec.shape {
                Shape::Gang => self.gang(job, &mut out),
                _ => self.each(job, &mut out),
            };
            if let Some(why) = why {
                out.pending_reasons.push((job.spec.id.clone(), why));
            }
        }
        out
    }

    fn place(&self, job: &PendingJob, index: u32, slot: usize, out: &mut SchedulingDecisions) {
        out.placements.push(Placement {
            job: job.spec.id.clone(),
            task: index,
            machine: slot,
        });
    }

    fn each(&mut self, job: &PendingJob, out: &mut SchedulingDecisions) -> Option<&'static str> {
        let team = self.teams.iter().find(|t| t.name == job.spec.team)?;
        let allowed = self
            .usage
            .tasks_within_limit(team, job.resources, job.tasks.len());
        let tried = self.plan(job, allowed, None, job.single_probe, false);
        let mut why = None;
        let placed = tried.chosen.len();
        for (index, (i, finish)) in job.tasks.iter().zip(tried.chosen) {
            self.usage.add(&job.spec.team, job.resources);
            if finish.start_s <= self.planned_time && self.machines[i].up {
                self.place(job, *index, i, out);
            } else {
                why = Some("its machine is busy or boots");
            }
        }
        if placed < allowed {
            return Some("no machine has room, and none can be rented");
        }
        if allowed < job.tasks.len() {
            return Some("its team's limit is reached");
        }
        why
    }

    /// All tasks on machines that are free now, or none.
    fn gang(&mut self, job: &PendingJob, out: &mut SchedulingDecisions) -> Option<&'static str> {
        let team = self.teams.iter().find(|t| t.name == job.spec.team)?;
        let n = job.tasks.len();
        if self.usage.tasks_within_limit(team, job.resources, n) < n {
            return Some("its team's limit is reached");
        }
        for _ in 0..n {
            self.usage.add(&job.spec.team, job.resources);
        }
        // With one zone for all, each zone is tried; the earliest wins.
        let zones: Vec<Option<usize>> = match job.spec.one_zone {
            true => (0..self.zones.len()).map(Some).collect(),
            false => vec![None],
        };
        if let Some(zone) = self.earliest(job, &zones, true) {
            let tried = self.plan(job, n, zone, true, false);
            for (index, (slot, _)) in job.tasks.iter().zip(tried.chosen) {
                self.place(job, *index, slot, out);
            }
            return None;
        }
        if job.single_probe {
            return Some("it fails wherever it runs");
        }
        // Reserve what it will need, so that the fleet grows and later jobs
        // do not take the places it waits for; it starts once all are free.
        match self.earliest(job, &zones, false) {
            Some(zone) => {
                self.plan(job, n, zone, false, false);
                Some("it waits until all its tasks can start together")
            }
            None => Some("no machine has room, and none can be rented"),
        }
    }

    /// The zone in which all tasks would run soonest, then cheapest, if any.
    fn earliest(
        &mut self,
        job: &PendingJob,
        zones: &[Option<usize>],
        free_now: bool,
    ) -> Option<Option<usize>> {
        let mut best: Option<(i64, f64, usize, Option<usize>)> = None;
        for &zone in zones {
            // Of zones that are as good, the one with fewer machines: all gangs
            // in the first would use up what can be rented there.
            let there = self.machines.iter().filter(|s| Some(s.zone) == zone);
            let there = there.count();
            let tried = self.plan(job, job.tasks.len(), zone, free_now, true);
            let whole = tried.chosen.len() == job.tasks.len();
            let span = ((tried.last - self.planned_time) / self.tie_s) as i64;
            let rented = tried.rented;
            self.undo(tried.undo);
            if whole
                && best
                    .as_ref()
                    .is_none_or(|(s, r, n, _)| (span, rented, there) < (*s, *r, *n))
            {
                best = Some((span, rented, there, zone));
            }
        }
        best.map(|(_, _, _, zone)| zone)
    }
}
