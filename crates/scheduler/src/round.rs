//! One round: waiting tasks, in order, go where their predicted finish is
//! smallest; what finds no good place says what the fleet lacks.
//!
//! A job's machines are looked at once; then they are kept in order, and only
//! the machine that has just taken a task is looked at again. That finds the
//! same places as looking at every machine for every task.

#[cfg(test)]
mod tests;

use crate::Amount;
use crate::quota::{Places, Usage};
use crate::timeline::{Finish, ImageId, Slot};
use crate::timeline_index::Slots;
use rushwalk_protocol::jobs::{JobSpec, Shape};
use rushwalk_protocol::settings::Team;
use std::cell::Cell;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::sync::Arc;

/// What a task takes on machines of one group.
#[derive(Debug, Clone, Copy, Default)]
pub struct Estimate {
    pub run_s: f64,
    pub fetch_s: f64,
    /// How long another machine of the group would boot.
    pub boot_s: f64,
    /// Whether the job may use the group, and a task fits an empty machine.
    pub allowed: bool,
}

/// A job with tasks that have no machine.
#[derive(Debug, Clone)]
pub struct Waiting {
    pub spec: Arc<JobSpec>,
    pub amount: Amount,
    pub image: ImageId,
    /// Per group, in the order of the round's types.
    pub estimates: Vec<Estimate>,
    pub overhead_s: f64,
    pub indexes: Vec<u32>,
    pub places: Places,
    /// Machines on which this job failed.
    pub avoid: Vec<Arc<str>>,
    /// By how much dearer ordinary and spot machines of a group count for this
    /// job, because there are no more of them and others gain more by them.
    pub bias: Vec<[f64; 2]>,
    /// It failed wherever it ran: it is tried where there is room now, and nothing is
    /// rented or kept for it.
    pub probe: bool,
}

impl Waiting {
    fn allows(&self, slot: &Slot) -> bool {
        !slot.closed
            && (self.spec.spot || !slot.spot)
            && self.estimates.get(slot.group).is_some_and(|e| e.allowed)
    }

    /// Whether its next task may go to a zone.
    fn open(&self, zone: &str) -> bool {
        self.spec.zone.as_ref().is_none_or(|z| **z == *zone) && self.places.allows(&self.spec, zone)
    }

    fn bias(&self, group: usize, spot: bool) -> f64 {
        self.bias.get(group).map_or(1.0, |b| b[usize::from(spot)])
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct Placed {
    pub uid: String,
    pub index: u32,
    pub slot: usize,
}

/// A kind of machine that may be rented now.
#[derive(Debug, Clone)]
pub struct Offer {
    /// A machine of that kind, rented at the round's time.
    pub slot: Slot,
    /// Machines of ours in that zone: the emptier zone wins a tie.
    pub ours: usize,
    /// So many may be had, as far as is known.
    pub left: u32,
    /// Those that this plan has taken.
    pub taken: u32,
}

pub struct Round<'a> {
    /// The time for which tasks are planned.
    pub now: f64,
    /// The time at which a machine rented now begins to boot.
    pub clock: f64,
    pub zones: Vec<Arc<str>>,
    pub slots: Slots,
    pub offers: Vec<Offer>,
    pub teams: &'a [Team],
    pub usage: Usage,
    /// Finishes within the same span of this length count as equal; then the
    /// cheaper and fuller machine wins.
    pub tie_s: f64,
    /// Slots beyond this index are rentals decided in this round.
    pub rent_from: usize,
    /// Machines worked out since somebody asked: what planning costs.
    pub looked: Cell<usize>,
}

#[derive(Debug, Default)]
pub struct Decisions {
    pub placed: Vec<Placed>,
    /// Job, and why it waits.
    pub waits: Vec<(String, &'static str)>,
}

impl Decisions {
    pub fn is_empty(&self) -> bool {
        self.placed.is_empty() && self.waits.is_empty()
    }
}

/// A machine that could take the next task of a job.
struct Candidate {
    span: i64,
    rank: f64,
    slot: usize,
    finish: Finish,
}

/// A job's machines: by bounds on their spans, and those that were worked out,
/// since none could come before them.
struct Order {
    /// Bounds above `span`, in no order: few of them are ever asked for.
    bounds: Vec<(i32, u32)>,
    /// Machines whose bound is `span`, the least.
    span: i32,
    next: Vec<u32>,
    exact: BinaryHeap<Reverse<Candidate>>,
}

impl Order {
    fn new(bounds: Vec<(i32, u32)>) -> Order {
        Order {
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

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Candidate {}
impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.span.cmp(&other.span))
            .then(self.rank.total_cmp(&other.rank))
            .then(self.slot.cmp(&other.slot))
    }
}

/// What a plan that is only tried has changed.
#[derive(Default)]
struct Undo {
    slots: Vec<(usize, Slot)>,
    len: usize,
}

struct Tried {
    chosen: Vec<(usize, Finish)>,
    undo: Undo,
    /// When the last task would run.
    last: f64,
    /// What the rentals among them cost an hour.
    rented: f64,
}

impl Round<'_> {
    /// How many machines were worked out since this was last asked.
    pub fn worked_out(&self) -> usize {
        self.looked.take()
    }

    fn candidate(&self, i: usize, job: &Waiting, free_now: bool) -> Option<Candidate> {
        self.looked.set(self.looked.get() + 1);
        let slot = &self.slots[i];
        let finish = slot.finish(job, self.now)?;
        if free_now && (finish.start > self.now || !slot.up) {
            return None;
        }
        let score = self.score(slot.spot, slot.tasks == 0, &job.spec, &finish) - self.now;
        let room = slot
            .free_at(finish.start.max(self.now))
            .share_of(&slot.whole);
        let fit = (1.0 / job.amount.share_of(&slot.whole)).max(1.0);
        Some(Candidate {
            span: (score / self.tie_s) as i64,
            rank: slot.price / fit * (0.5 + room) * job.bias(slot.group, slot.spot),
            slot: i,
            finish,
        })
    }

    fn candidates(&self, job: &Waiting, zone: Option<usize>, free_now: bool) -> Order {
        let here = |z: usize| zone.is_none_or(|zone| zone == z);
        let zones = self.zones.iter().enumerate();
        let open: Vec<bool> = zones.map(|(i, z)| here(i) && job.open(z)).collect();
        let mut bounds = Vec::new();
        self.slots.bounds(job, &open, self.now, free_now, |bound| {
            let score = self.score(bound.spot, bound.empty, &job.spec, &bound.finish);
            let span = ((score - self.now) / self.tie_s) as i32;
            bounds.push((span, bound.slot as u32));
        });
        Order::new(bounds)
    }

    /// The best machine, left in its place, once no other can be better.
    fn first(&self, order: &mut Order, job: &Waiting, free_now: bool) -> Option<(usize, Finish)> {
        let open = |i: usize| job.open(&self.zones[self.slots[i].zone]);
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
    pub fn best(&self, job: &Waiting, free_now: bool) -> Option<(usize, Finish)> {
        let mut order = self.candidates(job, None, free_now);
        self.first(&mut order, job, free_now)
    }

    /// What decides between machines, in seconds; the least is best.
    fn score(&self, spot: bool, empty: bool, spec: &JobSpec, finish: &Finish) -> f64 {
        // A service never finishes: the time at which it runs decides.
        let score = match finish.finish.is_finite() {
            true => finish.finish,
            false => finish.runs,
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
    fn offer(&self, job: &Waiting, zone: Option<usize>, otherwise: f64) -> Option<usize> {
        let spec = &job.spec;
        let mut best: Option<(f64, usize, usize)> = None;
        let mut new = vec![0; self.zones.len()];
        for offer in &self.offers {
            new[offer.slot.zone] += offer.taken as usize;
        }
        for (i, offer) in self.offers.iter().enumerate() {
            let slot = &offer.slot;
            let there = zone.is_none_or(|z| z == slot.zone) && job.open(&self.zones[slot.zone]);
            if !there || offer.taken >= offer.left || !job.allows(slot) {
                continue;
            }
            let Some(finish) = slot.finish(job, self.now) else {
                continue;
            };
            // By the same measure as machines that are there: with another
            // one, a rental decided now would be found wanting in the next
            // round, and each round would rent more.
            if self.score(slot.spot, true, spec, &finish) + self.tie_s >= otherwise {
                continue;
            }
            let fit = job.amount.times_in(&slot.whole, u32::MAX).max(1);
            let cost = slot.price / f64::from(fit) * job.bias(slot.group, slot.spot);
            let ours = offer.ours + new[slot.zone];
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
    fn offered(&mut self, slot: &Slot) -> Option<&mut Offer> {
        let same = |s: &Slot| (s.group, s.zone, s.spot) == (slot.group, slot.zone, slot.spot);
        self.offers.iter_mut().find(|o| same(&o.slot))
    }

    /// Takes the plan back to machines as they were before.
    pub fn restore(&mut self, slots: Slots) {
        self.offers.iter_mut().for_each(|offer| offer.taken = 0);
        for slot in slots.iter().skip(self.rent_from) {
            if let Some(offer) = self.offered(slot) {
                offer.taken += 1;
            }
        }
        self.slots = slots;
    }

    /// Plans as many of `n` tasks of a job as there are places for, one after
    /// the other, each on the machine that is best for it then. What is only
    /// `trial` can be undone.
    fn plan(
        &mut self,
        job: &Waiting,
        n: usize,
        zone: Option<usize>,
        free_now: bool,
        trial: bool,
    ) -> Tried {
        let mut order = self.candidates(job, zone, free_now);
        let mut job = job.clone();
        // Tasks of a gang run side by side: none can have its place after another. (With
        // boots that were thought to take longer than its run, one was planned so, nothing
        // was rented, and the gang waited for good beside too few machines.)
        let gang = job.spec.shape == Shape::Gang && !free_now;
        let mut before: Vec<(usize, Slot)> = Vec::new();
        let mut tried = Tried {
            chosen: Vec::with_capacity(n),
            undo: Undo {
                slots: Vec::new(),
                len: self.slots.len(),
            },
            last: 0.0,
            rented: 0.0,
        };
        while tried.chosen.len() < n {
            let best = self.first(&mut order, &job, free_now);
            let startable = best.is_some_and(|(i, f)| f.start <= self.now && self.slots[i].up);
            let mut rented = None;
            if !startable && !free_now && !job.probe {
                let otherwise = best.map_or(f64::INFINITY, |(i, f)| {
                    let slot = &self.slots[i];
                    self.score(slot.spot, slot.tasks == 0, &job.spec, &f)
                });
                rented = self.offer(&job, zone, otherwise);
            }
            let (i, finish) = match rented {
                Some(k) => {
                    let offer = &mut self.offers[k];
                    let Some(finish) = offer.slot.finish(&job, self.now) else {
                        break;
                    };
                    offer.taken += 1;
                    tried.rented += offer.slot.price;
                    self.slots.push(offer.slot.clone());
                    (self.slots.len() - 1, finish)
                }
                None => {
                    let Some((i, finish)) = best else { break };
                    order.exact.pop();
                    if trial && i < tried.undo.len {
                        tried.undo.slots.push((i, self.slots[i].clone()));
                    }
                    (i, finish)
                }
            };
            if gang {
                before.push((i, self.slots[i].clone()));
                let endless = Finish {
                    finish: f64::INFINITY,
                    ..finish
                };
                self.slots.place(i, &job, &endless);
            } else {
                self.slots.place(i, &job, &finish);
            }
            job.places.add(&self.zones[self.slots[i].zone]);
            tried.last = tried.last.max(finish.runs);
            tried.chosen.push((i, finish));
            let again = self.candidate(i, &job, free_now);
            order.exact.extend(again.map(Reverse));
        }
        if !trial {
            // Its places are kept until it has run, from when the last of them is free.
            for (i, slot) in before.into_iter().rev() {
                self.slots.put(i, slot);
            }
            for (i, finish) in tried.chosen.iter().filter(|_| gang) {
                let together = Finish {
                    finish: tried.last + (finish.finish - finish.runs),
                    ..*finish
                };
                self.slots.place(*i, &job, &together);
            }
        }
        tried
    }

    /// Starts what tasks of a job can start now: index and slot of each. `hints`
    /// are the machines found best for them a moment ago, by the same rule over
    /// all blocks; the others are searched for.
    pub fn start(&mut self, job: &Waiting, hints: &[Option<Arc<str>>]) -> Vec<(u32, usize)> {
        let mut out = Vec::new();
        let mut rest = job.clone();
        rest.indexes.clear();
        for (index, hint) in job.indexes.iter().zip(hints) {
            match hint.as_ref().and_then(|name| self.hinted(job, name)) {
                Some(slot) => out.push((*index, slot)),
                None => rest.indexes.push(*index),
            }
        }
        if !rest.indexes.is_empty() {
            let tried = self.plan(&rest, rest.indexes.len(), None, true, false);
            let slots = tried.chosen.into_iter().map(|(slot, _)| slot);
            out.extend(rest.indexes.iter().copied().zip(slots));
        }
        out
    }

    /// Places a task on a machine named before, if it can start there now.
    fn hinted(&mut self, job: &Waiting, name: &Arc<str>) -> Option<usize> {
        // A block's machines come in the order of their names.
        let found = self.slots.binary_search_by(|s| s.name.cmp(name));
        let i = found.ok()?;
        let slot = &self.slots[i];
        let zone = job.spec.zone.as_ref();
        let named = zone.is_none_or(|z| **z == *self.zones[slot.zone]);
        if !named || !job.allows(slot) || job.avoid.contains(name) {
            return None;
        }
        let finish = self.candidate(i, job, true)?.finish;
        self.slots.place(i, job, &finish);
        Some(i)
    }

    fn undo(&mut self, undo: Undo) {
        for (i, slot) in undo.slots.into_iter().rev() {
            self.slots.put(i, slot);
        }
        for i in undo.len..self.slots.len() {
            let slot = self.slots[i].clone();
            if let Some(offer) = self.offered(&slot) {
                offer.taken -= 1;
            }
        }
        self.slots.truncate(undo.len);
    }

    /// Plans the waiting jobs in the order given.
    pub fn run(&mut self, jobs: &[Waiting]) -> Decisions {
        let mut out = Decisions::default();
        for job in jobs {
            let why = match job.spec.shape {
                Shape::Gang => self.gang(job, &mut out),
                _ => self.each(job, &mut out),
            };
            if let Some(why) = why {
                out.waits.push((job.spec.uid.clone(), why));
            }
        }
        out
    }

    fn place(&self, job: &Waiting, index: u32, slot: usize, out: &mut Decisions) {
        out.placed.push(Placed {
            uid: job.spec.uid.clone(),
            index,
            slot,
        });
    }

    fn each(&mut self, job: &Waiting, out: &mut Decisions) -> Option<&'static str> {
        let team = self.teams.iter().find(|t| t.name == job.spec.team)?;
        let allowed = self.usage.room(team, job.amount, job.indexes.len());
        let tried = self.plan(job, allowed, None, job.probe, false);
        let mut why = None;
        let placed = tried.chosen.len();
        for (index, (i, finish)) in job.indexes.iter().zip(tried.chosen) {
            self.usage.add(&job.spec.team, job.amount);
            if finish.start <= self.now && self.slots[i].up {
                self.place(job, *index, i, out);
            } else {
                why = Some("its machine is busy or boots");
            }
        }
        if placed < allowed {
            return Some("no machine has room, and none can be rented");
        }
        if allowed < job.indexes.len() {
            return Some("its team's limit is reached");
        }
        why
    }

    /// All tasks on machines that are free now, or none.
    fn gang(&mut self, job: &Waiting, out: &mut Decisions) -> Option<&'static str> {
        let team = self.teams.iter().find(|t| t.name == job.spec.team)?;
        let n = job.indexes.len();
        if self.usage.room(team, job.amount, n) < n {
            return Some("its team's limit is reached");
        }
        for _ in 0..n {
            self.usage.add(&job.spec.team, job.amount);
        }
        // With one zone for all, each zone is tried; the earliest wins.
        let zones: Vec<Option<usize>> = match job.spec.one_zone {
            true => (0..self.zones.len()).map(Some).collect(),
            false => vec![None],
        };
        if let Some(zone) = self.earliest(job, &zones, true) {
            let tried = self.plan(job, n, zone, true, false);
            for (index, (slot, _)) in job.indexes.iter().zip(tried.chosen) {
                self.place(job, *index, slot, out);
            }
            return None;
        }
        if job.probe {
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
        job: &Waiting,
        zones: &[Option<usize>],
        free_now: bool,
    ) -> Option<Option<usize>> {
        let mut best: Option<(i64, f64, usize, Option<usize>)> = None;
        for &zone in zones {
            // Of zones that are as good, the one with fewer machines: all gangs
            // in the first would use up what can be rented there.
            let there = self.slots.iter().filter(|s| Some(s.zone) == zone);
            let there = there.count();
            let tried = self.plan(job, job.indexes.len(), zone, free_now, true);
            let whole = tried.chosen.len() == job.indexes.len();
            let span = ((tried.last - self.now) / self.tie_s) as i64;
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
