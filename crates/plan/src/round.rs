//! One round: waiting tasks, in order, go where their predicted finish is
//! smallest; what finds no good place says what the fleet lacks.

use crate::Amount;
use crate::predict::Averages;
use crate::quota::{Places, Usage};
use crate::slot::{Finish, Slot};
use rushwalk_wire::jobs::{JobSpec, Shape};
use rushwalk_wire::settings::Team;
use std::sync::Arc;

/// A job with tasks that have no machine.
#[derive(Debug, Clone)]
pub struct Waiting {
    pub spec: Arc<JobSpec>,
    pub at: u64,
    pub indexes: Vec<u32>,
    pub places: Places,
    /// Machines on which this job failed.
    pub avoid: Vec<String>,
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
    pub kind: rushwalk_wire::cloud::MachineType,
    pub zone: String,
    pub spot: bool,
    /// Machines of ours in that zone: the emptier zone wins a tie.
    pub ours: usize,
}

pub struct Round<'a> {
    pub now: f64,
    pub slots: Vec<Slot>,
    pub offers: Vec<Offer>,
    pub averages: &'a Averages,
    pub teams: &'a [Team],
    pub usage: Usage,
    /// Finishes closer than this count as equal; then the fuller machine wins.
    pub tie_s: f64,
    /// Booting takes this many times the nominal boot time.
    pub boot_factor: f64,
    /// Slots beyond this index are rentals decided in this round.
    pub rent_from: usize,
}

#[derive(Debug, Default)]
pub struct Decisions {
    pub placed: Vec<Placed>,
    /// Job, and why it waits.
    pub waits: Vec<(String, &'static str)>,
}

impl Round<'_> {
    /// Index and finish of the best machine for one task of `spec`.
    pub fn best(&self, job: &Waiting, free_now: bool) -> Option<(usize, Finish)> {
        let mut best: Option<(usize, Finish, f64, (f64, usize))> = None;
        for (i, slot) in self.slots.iter().enumerate() {
            let spec = &job.spec;
            if !slot.allowed(spec)
                || !job.places.allows(spec, &slot.zone)
                || job.avoid.contains(&slot.name)
            {
                continue;
            }
            let Some(finish) = slot.finish(spec, self.averages, self.now) else {
                continue;
            };
            if free_now && (finish.start > self.now || !slot.up) {
                continue;
            }
            let score = self.score(slot, spec, &finish);
            let left = slot.free_at(finish.start.max(self.now));
            let room = left.share_of(&slot.whole);
            let rank = (
                slot.price / (1.0 / Amount::of_task(spec).share_of(&slot.whole)).max(1.0)
                    * (0.5 + room),
                i,
            );
            let better = match &best {
                None => true,
                Some((_, _, score2, rank2)) => {
                    if (score - score2).abs() <= self.tie_s {
                        rank < *rank2
                    } else {
                        score < *score2
                    }
                }
            };
            if better {
                best = Some((i, finish, score, rank));
            }
        }
        best.map(|(i, finish, _, _)| (i, finish))
    }

    /// What decides between machines, in seconds; the least is best.
    fn score(&self, slot: &Slot, spec: &JobSpec, finish: &Finish) -> f64 {
        // A service never finishes: the time at which it runs decides.
        let score = match finish.finish.is_finite() {
            true => finish.finish,
            false => finish.runs,
        };
        // Exception to the smallest finish: waking an idle ordinary machine
        // for work that a spot machine may do costs as if it had to boot, so
        // that warm machines stay free for what needs them.
        match spec.spot && !slot.spot && slot.tasks == 0 {
            true => score + self.tie_s * 8.0,
            false => score,
        }
    }

    /// The cheapest new machine for a task whose best score is `otherwise`.
    fn offer(&self, job: &Waiting, otherwise: f64) -> Option<Slot> {
        let spec = &job.spec;
        let mut best: Option<(f64, usize, Slot)> = None;
        for offer in &self.offers {
            let ready = self.now + offer.kind.boot_s * self.boot_factor;
            let slot = Slot::new("", &offer.kind, &offer.zone, offer.spot, ready);
            if !slot.allowed(spec) || !job.places.allows(spec, &offer.zone) {
                continue;
            }
            let Some(finish) = slot.finish(spec, self.averages, self.now) else {
                continue;
            };
            // By the same measure as machines that are there: with another
            // one, a rental decided now would be found wanting in the next
            // round, and each round would rent more.
            if self.score(&slot, spec, &finish) + self.tie_s >= otherwise {
                continue;
            }
            let fit = Amount::of_task(spec).times_in(&slot.whole, u32::MAX).max(1);
            let cost = slot.price / f64::from(fit);
            let new = self.slots[self.rent_from.min(self.slots.len())..]
                .iter()
                .filter(|s| s.zone == offer.zone)
                .count();
            let ours = offer.ours + new;
            if best
                .as_ref()
                .is_none_or(|(c, o, _)| (cost, ours) < (*c, *o))
            {
                best = Some((cost, ours, slot));
            }
        }
        best.map(|(_, _, slot)| slot)
    }

    /// Plans one task; true if it can start on a machine that is up.
    fn place_one(&mut self, job: &Waiting) -> Option<(usize, bool)> {
        let best = self.best(job, false);
        let now = best.filter(|(i, f)| f.start <= self.now && self.slots[*i].up);
        if let Some((i, finish)) = now {
            self.slots[i].place(&job.spec, &finish);
            return Some((i, true));
        }
        let otherwise = best.map_or(f64::INFINITY, |(i, f)| {
            self.score(&self.slots[i], &job.spec, &f)
        });
        if let Some(slot) = self.offer(job, otherwise) {
            self.slots.push(slot);
            let i = self.slots.len() - 1;
            if let Some(finish) = self.slots[i].finish(&job.spec, self.averages, self.now) {
                self.slots[i].place(&job.spec, &finish);
            }
            return Some((i, false));
        }
        let (i, finish) = best?;
        self.slots[i].place(&job.spec, &finish);
        Some((i, false))
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

    fn each(&mut self, job: &Waiting, out: &mut Decisions) -> Option<&'static str> {
        let amount = Amount::of_task(&job.spec);
        let team = self.teams.iter().find(|t| t.name == job.spec.team);
        let mut job = job.clone();
        let mut why = None;
        for index in std::mem::take(&mut job.indexes) {
            if team.is_none_or(|t| !self.usage.allows(t, amount)) {
                return Some("its team's limit is reached");
            }
            match self.place_one(&job) {
                Some((slot, starts)) => {
                    self.usage.add(&job.spec.team, amount);
                    job.places.add(&self.slots[slot].zone);
                    if starts {
                        out.placed.push(Placed {
                            uid: job.spec.uid.clone(),
                            index,
                            slot,
                        });
                    } else {
                        why = Some("its machine is busy or boots");
                    }
                }
                None => return Some("no machine has room, and none can be rented"),
            }
        }
        why
    }

    /// All tasks on machines that are free now, or none.
    fn gang(&mut self, job: &Waiting, out: &mut Decisions) -> Option<&'static str> {
        let amount = Amount::of_task(&job.spec);
        let team = self.teams.iter().find(|t| t.name == job.spec.team);
        let n = job.indexes.len() as f64;
        let all = Amount {
            cpus: amount.cpus * n,
            gpus: amount.gpus * n,
            memory_gb: 0.0,
        };
        if team.is_none_or(|t| !self.usage.allows(t, all)) {
            return Some("its team's limit is reached");
        }
        // With one zone for all, each zone is tried; the earliest wins.
        let mut zones: Vec<Option<String>> = vec![None];
        if job.spec.one_zone {
            let mut names: Vec<String> = self.slots.iter().map(|s| s.zone.clone()).collect();
            names.extend(self.offers.iter().map(|o| o.zone.clone()));
            names.sort();
            names.dedup();
            zones = names.into_iter().map(Some).collect();
        }
        let mut best: Option<(f64, Vec<Slot>, Vec<usize>)> = None;
        for zone in &zones {
            let mut slots = self.slots.clone();
            let mut places = job.places.clone();
            let mut chosen = Vec::new();
            let mut last: f64 = 0.0;
            for _ in &job.indexes {
                let mut probe = job.clone();
                probe.places = places.clone();
                probe.spec = match zone {
                    Some(zone) if probe.spec.zone.is_none() => {
                        let mut spec = (*job.spec).clone();
                        spec.zone = Some(zone.clone());
                        Arc::new(spec)
                    }
                    Some(zone) if probe.spec.zone.as_ref() != Some(zone) => break,
                    _ => probe.spec,
                };
                std::mem::swap(&mut self.slots, &mut slots);
                let found = self.best(&probe, true);
                std::mem::swap(&mut self.slots, &mut slots);
                let Some((i, finish)) = found else { break };
                last = last.max(finish.runs);
                places.add(&slots[i].zone);
                slots[i].place(&job.spec, &finish);
                chosen.push(i);
            }
            if chosen.len() == job.indexes.len()
                && best.as_ref().is_none_or(|(time, _, _)| last < *time)
            {
                best = Some((last, slots, chosen));
            }
        }
        if let Some((_, slots, chosen)) = best {
            self.slots = slots;
            self.usage.add(&job.spec.team, all);
            for (index, slot) in job.indexes.iter().zip(chosen) {
                out.placed.push(Placed {
                    uid: job.spec.uid.clone(),
                    index: *index,
                    slot,
                });
            }
            return None;
        }
        // Reserve what it will need, so that the fleet grows and later jobs
        // do not take the places it waits for; it starts once all are free.
        self.usage.add(&job.spec.team, all);
        let mut probe = job.clone();
        for _ in &job.indexes {
            let Some((slot, _)) = self.place_one(&probe) else {
                return Some("no machine has room, and none can be rented");
            };
            let zone = self.slots[slot].zone.clone();
            probe.places.add(&zone);
        }
        Some("it waits until all its tasks can start together")
    }
}
