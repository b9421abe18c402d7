//! A machine as the planner sees it: what is free on it from when on.

use crate::Amount;
use crate::predict::Averages;
use rushwalk_wire::cloud::MachineType;
use rushwalk_wire::jobs::JobSpec;
use std::collections::HashMap;

#[derive(Debug, Clone)]
pub struct Slot {
    pub name: String,
    pub kind: String,
    pub zone: String,
    pub block: String,
    pub spot: bool,
    /// When it can take tasks: in the past for a machine that is up.
    pub ready: f64,
    /// False for a machine that boots, or is only about to be rented.
    pub up: bool,
    pub whole: Amount,
    /// Images it has or fetches, and from when on each is there. Treating one
    /// under way as there made tasks wait for machines that still booted.
    pub images: HashMap<String, f64>,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    /// Miss of the prediction for its latest finished task.
    pub pending_error: f64,
    /// How many times longer than its group it takes, as far as is known.
    pub slow: f64,
    /// Tasks on it, planned ones included.
    pub tasks: usize,
    /// What is free from each time on; times rise, the first is the ready time.
    free: Vec<(f64, Amount)>,
}

/// When a task would start and finish on a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Finish {
    pub start: f64,
    /// With the image there.
    pub runs: f64,
    pub finish: f64,
}

impl Slot {
    pub fn new(name: &str, kind: &MachineType, zone: &str, spot: bool, ready: f64) -> Slot {
        Slot {
            name: name.into(),
            kind: kind.name.clone(),
            zone: zone.into(),
            block: zone.into(),
            spot,
            ready,
            up: false,
            whole: Amount::of_type(kind),
            images: HashMap::new(),
            fetch_gb_per_s: kind.fetch_gb_per_s,
            price: match spot {
                true => kind.spot_price.unwrap_or(kind.price),
                false => kind.price,
            },
            pending_error: 0.0,
            slow: 1.0,
            tasks: 0,
            free: vec![(ready, Amount::of_type(kind))],
        }
    }

    pub fn free_at(&self, time: f64) -> Amount {
        let step = self.free.iter().rev().find(|(from, _)| *from <= time);
        step.or(self.free.first())
            .map_or(Amount::default(), |s| s.1)
    }

    /// Takes `amount` from `start` until `finish`.
    pub fn take(&mut self, amount: Amount, start: f64, finish: f64) {
        let start = start.max(self.free[0].0);
        self.split(start);
        if finish.is_finite() {
            self.split(finish);
        }
        for (from, free) in &mut self.free {
            if *from >= start && *from < finish {
                *free = *free - amount;
            }
        }
        self.tasks += 1;
    }

    fn split(&mut self, at: f64) {
        if let Err(i) = self.free.binary_search_by(|(from, _)| from.total_cmp(&at)) {
            let i = i.max(1);
            let before = self.free[i - 1].1;
            self.free.insert(i, (at, before));
        }
    }

    /// The earliest time from which `amount` is free for `seconds`.
    fn earliest(&self, amount: &Amount, now: f64, seconds: f64) -> Option<f64> {
        let mut start: Option<f64> = None;
        for (i, (from, free)) in self.free.iter().enumerate() {
            let until = self.free.get(i + 1).map_or(f64::INFINITY, |s| s.0);
            if until <= now {
                continue;
            }
            if !amount.fits(free) {
                start = None;
                continue;
            }
            let begin = *start.get_or_insert(from.max(now));
            if until >= begin + seconds || until.is_infinite() {
                return Some(begin);
            }
        }
        start
    }

    /// Overhead, fetch, pending time with its error, and run time (§4.3.5-6).
    pub fn finish(&self, spec: &JobSpec, averages: &Averages, now: f64) -> Option<Finish> {
        let amount = Amount::of_task(spec);
        if !amount.fits(&self.whole) {
            return None;
        }
        let overhead = averages.overhead();
        let run = averages.run_time(spec, &self.kind) * self.slow;
        let image = self.image_at(spec, averages, now.max(self.ready));
        let fetch = (image - now.max(self.ready)).max(0.0);
        let mut start = self.earliest(&amount, now, overhead + fetch + run)?;
        if start > now && self.up {
            // Only a machine with pending tasks has a pending error.
            start = (start + self.pending_error).max(now + overhead);
        }
        // An image is fetched from the task's start on, unless it is there or
        // under way for another.
        let runs = match self.images.contains_key(&spec.image) {
            true => (start + overhead).max(image),
            false => start + overhead + fetch,
        };
        Some(Finish {
            start,
            runs,
            finish: runs + run,
        })
    }

    /// When the image would be there if its fetch began at `from`: fetches on
    /// one machine share its rate, so one waits for those under way.
    fn image_at(&self, spec: &JobSpec, averages: &Averages, from: f64) -> f64 {
        if let Some(at) = self.images.get(&spec.image) {
            return *at;
        }
        let busy = self.images.values().copied().fold(from, f64::max);
        busy + averages.fetch_time(spec.image_gb, &self.kind, self.fetch_gb_per_s)
    }

    /// Plans a task on this machine, with the fetch of its image.
    pub fn place(&mut self, spec: &JobSpec, finish: &Finish) {
        self.take(Amount::of_task(spec), finish.start, finish.finish);
        self.images.entry(spec.image.clone()).or_insert(finish.runs);
    }

    pub fn allowed(&self, spec: &JobSpec) -> bool {
        (spec.spot || !self.spot)
            && spec.zone.as_ref().is_none_or(|z| *z == self.zone)
            && spec.types.as_ref().is_none_or(|t| t.contains(&self.kind))
    }
}
