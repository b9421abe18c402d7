//! The plan of one machine: which resources are free from when on, and when a task would
//! start and finish there.

use crate::Resources;
use crate::pending_job::{PendingJob, TaskEstimate};
use rushwalk_protocol::cloud::MachineType;
use std::sync::Arc;

/// An image by its number: names are compared once, not for each machine.
pub type ImageId = u32;

/// A machine with the tasks planned on it. Times are in seconds since the Unix epoch.
#[derive(Debug, Clone)]
pub struct MachineTimeline {
    /// Name of the machine; empty for one that is still to be rented.
    pub name: Arc<str>,
    /// Index of its type among the round's types: the paper's machine group.
    pub group: usize,
    /// Index of its zone among the round's zones.
    pub zone: usize,
    /// The shard that it belongs to.
    pub shard: Arc<str>,
    /// Whether it is a spot instance, which the cloud may reclaim.
    pub spot: bool,
    /// When it can take tasks: in the past for a machine that is up.
    pub ready_s: f64,
    /// False for a machine that boots, or is still to be rented.
    pub up: bool,
    /// It takes no more tasks in this plan.
    pub cordoned: bool,
    /// What it has when empty.
    pub capacity: Resources,
    /// Images that it has or fetches. Treating a fetch in progress as finished made tasks
    /// wait for machines that were still booting.
    pub images: Vec<MachineImage>,
    /// Price per hour.
    pub price: f64,
    /// By how many seconds its latest finished task missed the prediction.
    pub pending_error_s: f64,
    /// How many times longer than on its group tasks take on it, as far as is known.
    pub slowdown: f64,
    /// Number of tasks on it, planned ones included.
    pub tasks: usize,
    /// In the order of their times; the first begins when the machine is ready.
    free: Vec<FreeStep>,
}

/// An image on a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineImage {
    /// The image.
    pub image: ImageId,
    /// When its fetch is finished, in seconds since the Unix epoch.
    pub available_s: f64,
}

impl MachineImage {
    /// An image that is there already.
    pub fn present(image: ImageId) -> MachineImage {
        MachineImage {
            image,
            available_s: 0.0,
        }
    }
}

/// What is free on a machine from one time until the next step.
#[derive(Debug, Clone, Copy)]
struct FreeStep {
    from_s: f64,
    free: Resources,
}

/// What is free on a machine at a time, and for how long.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FreeInterval {
    /// Since when, in seconds since the Unix epoch.
    pub(crate) from_s: f64,
    /// Until when; infinite if nothing changes any more.
    pub(crate) until_s: f64,
    /// What is free.
    pub(crate) free: Resources,
}

/// When a task would start and finish on a machine, in seconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PredictedFinish {
    /// When it would be started.
    pub start_s: f64,
    /// When it would run, with its image fetched.
    pub running_s: f64,
    /// When it would finish; infinite for a service.
    pub finish_s: f64,
}

/// The uncertainty of a wait for other tasks counts at most this many boot times.
const MAX_UNCERTAINTY_BOOT_TIMES: f64 = 1.0;

/// When a task is predicted to start on a machine that is up and would be free for it at
/// `start_s`. Only a machine with pending tasks has a pending error.
///
/// A wait for the end of other tasks is less certain than a fetch: ends that come early help
/// little, late ones add up. So it counts twice, up to the boot time of another machine: a
/// long queue is worked off meanwhile.
pub(crate) fn start_with_uncertainty(
    start_s: f64,
    now_s: f64,
    pending_error_s: f64,
    estimate: &TaskEstimate,
    job: &PendingJob,
) -> f64 {
    if start_s <= now_s {
        return start_s;
    }
    let wait_s = start_s - now_s;
    let uncertainty_s = wait_s.min(MAX_UNCERTAINTY_BOOT_TIMES * estimate.boot_s);
    now_s + (wait_s + uncertainty_s + pending_error_s).max(job.overhead_s)
}

impl MachineTimeline {
    /// An empty machine that is not up and takes tasks from `ready_s` on.
    pub fn new(
        name: Arc<str>,
        group: usize,
        machine_type: &MachineType,
        zone: usize,
        spot: bool,
        ready_s: f64,
    ) -> MachineTimeline {
        let price = if spot {
            machine_type.spot_price.unwrap_or(machine_type.price)
        } else {
            machine_type.price
        };
        let capacity = Resources::of_type(machine_type);
        MachineTimeline {
            shard: name.clone(),
            name,
            group,
            zone,
            spot,
            ready_s,
            up: false,
            cordoned: false,
            capacity,
            images: Vec::new(),
            price,
            pending_error_s: 0.0,
            slowdown: 1.0,
            tasks: 0,
            free: vec![FreeStep {
                from_s: ready_s,
                free: capacity,
            }],
        }
    }

    /// What is free at a time or, before the machine is ready, once it is.
    pub fn free_at(&self, time_s: f64) -> Resources {
        let step = self.free.iter().rev().find(|step| step.from_s <= time_s);
        step.or(self.free.first())
            .map_or(Resources::default(), |step| step.free)
    }

    /// Reserves `amount` from `start_s` until `finish_s`.
    pub fn reserve(&mut self, amount: Resources, start_s: f64, finish_s: f64) {
        let start_s = start_s.max(self.free[0].from_s);
        self.split_at(start_s);
        if finish_s.is_finite() {
            self.split_at(finish_s);
        }
        for step in &mut self.free {
            if step.from_s >= start_s && step.from_s < finish_s {
                step.free = step.free - amount;
            }
        }
        self.tasks += 1;
    }

    /// Makes sure that a step begins at a time.
    fn split_at(&mut self, time_s: f64) {
        let found = self
            .free
            .binary_search_by(|step| step.from_s.total_cmp(&time_s));
        if let Err(index) = found {
            let index = index.max(1);
            let free = self.free[index - 1].free;
            let from_s = time_s;
            self.free.insert(index, FreeStep { from_s, free });
        }
    }

    /// A time before which `amount` is not free: cheaper than [`Self::earliest_start`].
    pub(crate) fn not_before(&self, amount: &Resources, now_s: f64) -> Option<f64> {
        // Few steps are past: a plan begins at the present.
        let interval = self.free_interval(now_s);
        if amount.fits_in(&interval.free) {
            Some(interval.from_s.max(now_s))
        } else {
            interval.until_s.is_finite().then_some(interval.until_s)
        }
    }

    /// What is free at a time or, before the machine is ready, once it is.
    pub(crate) fn free_interval(&self, time_s: f64) -> FreeInterval {
        let after = self.free.iter().position(|step| step.from_s > time_s);
        let index = after.unwrap_or(self.free.len()).saturating_sub(1);
        let step = self.free[index];
        FreeInterval {
            from_s: step.from_s,
            until_s: self.step_end(index),
            free: step.free,
        }
    }

    fn step_end(&self, index: usize) -> f64 {
        let next = self.free.get(index + 1);
        next.map_or(f64::INFINITY, |step| step.from_s)
    }

    /// The earliest time from which `amount` is free for `duration_s` seconds.
    fn earliest_start(&self, amount: &Resources, now_s: f64, duration_s: f64) -> Option<f64> {
        let mut start: Option<f64> = None;
        for (index, step) in self.free.iter().enumerate() {
            let until_s = self.step_end(index);
            if until_s <= now_s {
                continue;
            }
            if !amount.fits_in(&step.free) {
                start = None;
                continue;
            }
            let start_s = *start.get_or_insert(step.from_s.max(now_s));
            if until_s >= start_s + duration_s || until_s.is_infinite() {
                return Some(start_s);
            }
        }
        start
    }

    /// Predicts when a task would finish: the sum of overhead, fetch time, pending time with
    /// its error, and run time (§4.3.5-6 of the paper). `None` if it can't run here.
    pub fn predict(&self, job: &PendingJob, now_s: f64) -> Option<PredictedFinish> {
        if !job.resources.fits_in(&self.capacity) {
            return None;
        }
        let estimate = job.estimates.get(self.group)?;
        let run_s = estimate.run_s * self.slowdown;
        let from_s = now_s.max(self.ready_s);
        let present = self.image_available_s(job.image);
        let available_s = present.unwrap_or_else(|| self.fetch_end_s(estimate.fetch_s, from_s));
        let fetch_s = (available_s - from_s).max(0.0);
        let duration_s = job.overhead_s + fetch_s + run_s;
        let mut start_s = self.earliest_start(&job.resources, now_s, duration_s)?;
        if self.up {
            start_s = start_with_uncertainty(start_s, now_s, self.pending_error_s, estimate, job);
        }
        // An image is fetched from the task's start on, unless it is there or its fetch for
        // another task is in progress.
        let running_s = match present {
            Some(_) => (start_s + job.overhead_s).max(available_s),
            None => start_s + job.overhead_s + fetch_s,
        };
        Some(PredictedFinish {
            start_s,
            running_s,
            finish_s: running_s + run_s,
        })
    }

    /// When an image is available here, if it is there or being fetched.
    fn image_available_s(&self, image: ImageId) -> Option<f64> {
        let entry = self.images.iter().find(|entry| entry.image == image);
        entry.map(|entry| entry.available_s)
    }

    /// When an image would be available if its fetch began at `from_s`: fetches on one
    /// machine share its rate, so it waits for those in progress.
    fn fetch_end_s(&self, fetch_s: f64, from_s: f64) -> f64 {
        let available = self.images.iter().map(|entry| entry.available_s);
        available.fold(from_s, f64::max) + fetch_s
    }

    /// Plans a task on this machine, with the fetch of its image.
    pub fn place(&mut self, job: &PendingJob, finish: &PredictedFinish) {
        self.reserve(job.resources, finish.start_s, finish.finish_s);
        self.record_fetch(job.image, finish.running_s);
    }

    /// Records that an image is or will be available from a time on.
    pub fn record_fetch(&mut self, image: ImageId, available_s: f64) {
        if self.image_available_s(image).is_none() {
            self.images.push(MachineImage { image, available_s });
        }
    }
}
