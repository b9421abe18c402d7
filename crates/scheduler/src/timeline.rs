//! A machine as the planner sees it: what is free on it from when on.

use crate::Resources;
use crate::round::{PendingJob, TaskEstimate};
use rushwalk_protocol::cloud::MachineType;
use std::sync::Arc;

#[derive(Debug, Clone)]
pub struct MachineTimeline {
    pub name: Arc<str>,
    /// Its type, by its place among the round's types: the paper's group.
    pub group: usize,
    /// Its zone, by its place among the round's.
    pub zone: usize,
    pub shard: Arc<str>,
    pub spot: bool,
    /// When it can take tasks: in the past for a machine that is up.
    pub ready_s: f64,
    /// False for a machine that boots, or is only about to be rented.
    pub up: bool,
    /// It takes nothing more in this plan.
    pub closed: bool,
    pub capacity: Resources,
    /// Images it has or fetches, and from when on each is there. Treating one
    /// under way as there made tasks wait for machines that still booted.
    pub images: Vec<(ImageId, f64)>,
    pub price: f64,
    /// Miss of the prediction for its latest finished task.
    pub pending_error: f64,
    /// How many times longer than its group it takes, as far as is known.
    pub slowdown: f64,
    /// Tasks on it, planned ones included.
    pub tasks: usize,
    /// What is free from each time on; times rise, the first is the ready time.
    free: Vec<(f64, Resources)>,
}

/// An image by its number: names are compared once, not for each machine.
pub type ImageId = u32;

/// When a task would start and finish on a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PredictedFinish {
    pub start_s: f64,
    /// With the image there.
    pub running_s: f64,
    pub finish_s: f64,
}

/// By how much of a boot a predicted wait for other tasks' ends may count more.
const DOUBT: f64 = 1.0;

/// When a task is taken to start on a machine that is up and would be free for it
/// at `start`. Only a machine with pending tasks has a pending error. A wait for
/// others' ends is not known like a fetch: ends that come early help little, late
/// ones add up. So it counts twice, up to what another machine would boot: a long
/// queue is worked off meanwhile.
pub fn doubted(
    start: f64,
    now: f64,
    pending_error: f64,
    times: &TaskEstimate,
    job: &PendingJob,
) -> f64 {
    if start <= now {
        return start;
    }
    let wait = start - now;
    let doubt = wait.min(DOUBT * times.boot_s);
    now + (wait + doubt + pending_error).max(job.overhead_s)
}

impl MachineTimeline {
    pub fn new(
        name: Arc<str>,
        group: usize,
        kind: &MachineType,
        zone: usize,
        spot: bool,
        ready: f64,
    ) -> MachineTimeline {
        MachineTimeline {
            shard: name.clone(),
            name,
            group,
            zone,
            spot,
            ready_s: ready,
            up: false,
            closed: false,
            capacity: Resources::of_type(kind),
            images: Vec::new(),
            price: match spot {
                true => kind.spot_price.unwrap_or(kind.price),
                false => kind.price,
            },
            pending_error: 0.0,
            slowdown: 1.0,
            tasks: 0,
            free: vec![(ready, Resources::of_type(kind))],
        }
    }

    pub fn free_at(&self, time: f64) -> Resources {
        let step = self.free.iter().rev().find(|(from, _)| *from <= time);
        step.or(self.free.first())
            .map_or(Resources::default(), |s| s.1)
    }

    /// Takes `amount` from `start` until `finish`.
    pub fn reserve(&mut self, amount: Resources, start: f64, finish: f64) {
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

    /// A time before which `amount` is not free: cheaper than `earliest`.
    pub fn not_before(&self, amount: &Resources, now: f64) -> Option<f64> {
        // Steps that are past are few: a plan begins at the present.
        let (from, free, next) = self.step(now);
        match amount.fits_in(&free) {
            true => Some(from.max(now)),
            false => next.is_finite().then_some(next),
        }
    }

    /// What is free at a time, or as soon as it is ready: since when, and until
    /// when.
    pub fn step(&self, time: f64) -> (f64, Resources, f64) {
        let after = self.free.iter().position(|(from, _)| *from > time);
        let at = after.unwrap_or(self.free.len()).saturating_sub(1);
        let next = self.free.get(at + 1).map_or(f64::INFINITY, |s| s.0);
        let (from, free) = self.free[at];
        (from, free, next)
    }

    /// The earliest time from which `amount` is free for `seconds`.
    fn earliest(&self, amount: &Resources, now: f64, seconds: f64) -> Option<f64> {
        let mut start: Option<f64> = None;
        for (i, (from, free)) in self.free.iter().enumerate() {
            let until = self.free.get(i + 1).map_or(f64::INFINITY, |s| s.0);
            if until <= now {
                continue;
            }
            if !amount.fits_in(free) {
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
    pub fn predict(&self, job: &PendingJob, now: f64) -> Option<PredictedFinish> {
        if !job.resources.fits_in(&self.capacity) {
            return None;
        }
        let times = job.estimates.get(self.group)?;
        let run = times.run_s * self.slowdown;
        let from = now.max(self.ready_s);
        let there = self.image(job.image);
        let image = there.unwrap_or_else(|| self.fetched(times.fetch_s, from));
        let fetch = (image - from).max(0.0);
        let mut start = self.earliest(&job.resources, now, job.overhead_s + fetch + run)?;
        if self.up {
            start = doubted(start, now, self.pending_error, times, job);
        }
        // An image is fetched from the task's start on, unless it is there or
        // under way for another.
        let runs = match there {
            Some(_) => (start + job.overhead_s).max(image),
            None => start + job.overhead_s + fetch,
        };
        Some(PredictedFinish {
            start_s: start,
            running_s: runs,
            finish_s: runs + run,
        })
    }

    fn image(&self, image: ImageId) -> Option<f64> {
        let there = self.images.iter().find(|(i, _)| *i == image);
        there.map(|(_, at)| *at)
    }

    /// When an image would be there if its fetch began at `from`: fetches on
    /// one machine share its rate, so one waits for those under way.
    fn fetched(&self, seconds: f64, from: f64) -> f64 {
        self.images.iter().map(|i| i.1).fold(from, f64::max) + seconds
    }

    /// Plans a task on this machine, with the fetch of its image.
    pub fn place(&mut self, job: &PendingJob, finish: &PredictedFinish) {
        self.reserve(job.resources, finish.start_s, finish.finish_s);
        self.record_fetch(job.image, finish.running_s);
    }

    /// An image is or will be there from a time on.
    pub fn record_fetch(&mut self, image: ImageId, at: f64) {
        if self.image(image).is_none() {
            self.images.push((image, at));
        }
    }
}
