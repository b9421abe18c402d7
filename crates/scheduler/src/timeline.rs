//! The timeline of one machine: how much of its resources is free at which time, and when a
//! task would start and finish on it.

use crate::Resources;
use crate::pending_job::{PendingJob, TaskEstimate};
use rushwalk_protocol::MAX_BODY;
use rushwalk_protocol::cloud::MachineType;
use std::sync::Arc;

/// Number that stands for the name of a container image, so that planning compares numbers
/// instead of names.
pub type ImageId = u32;

/// The size of a task in a heartbeat is at most this, in bytes.
const TASK_BYTES_IN_HEARTBEAT: usize = 128;

/// The number of tasks that may run on a machine at the same time. Its heartbeats list them in one
/// request, together with about as many that have exited and are not forgotten yet.
const MAX_TASKS_PER_MACHINE: f64 = (MAX_BODY / (2 * TASK_BYTES_IN_HEARTBEAT)) as f64;

/// A machine with the tasks planned on it. Times are in seconds since the Unix epoch.
#[derive(Debug, Clone)]
pub struct MachineTimeline {
    /// Name of the machine; empty for a machine that is not rented yet.
    pub name: Arc<str>,
    /// Index of its machine type among the round's types. The paper "Coding the Computing
    /// Continuum", which the design follows, calls this the machine group.
    pub type_index: usize,
    /// Index of its zone among the round's zones.
    pub zone: usize,
    /// Name of the shard that the machine belongs to; the machine's own name until the
    /// caller sets it.
    pub shard: Arc<str>,
    /// Whether it is a spot instance, which the cloud may reclaim.
    pub spot: bool,
    /// The time from which it can take tasks. For a machine that is up this is not in the
    /// future.
    pub ready_s: f64,
    /// Whether it has booted. False also for a machine that is not rented yet.
    pub up: bool,
    /// If set, no further task is planned on the machine in this round.
    pub cordoned: bool,
    /// Resources of the machine without any task.
    pub capacity: Resources,
    /// Images that the machine has or is fetching, each with the time at which it is
    /// available. When a fetch that was still in progress counted as finished, tasks were assigned
    /// to machines that were still booting, and waited for their boots.
    pub images: Vec<MachineImage>,
    /// Price per hour; the spot price for a spot instance if its type has one.
    pub price: f64,
    /// Run time of the latest completed task minus its predicted run time, in seconds;
    /// negative if the task finished early.
    pub prediction_error_s: f64,
    /// Estimated run time of a task on this machine divided by the run time predicted for
    /// its machine type; 1 unless completed tasks show that the machine is slow.
    pub slowdown: f64,
    /// Number of tasks on the machine, including planned ones.
    pub tasks: usize,
    /// Free resources over time, in chronological order. The first step begins when the
    /// machine is ready.
    free: Vec<FreeStep>,
}

/// An image on a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineImage {
    /// Number of the image.
    pub image: ImageId,
    /// When its fetch is finished, in seconds since the Unix epoch; 0 if it was fetched
    /// before.
    pub available_s: f64,
}

impl MachineImage {
    /// An image that the machine has already.
    pub fn present(image: ImageId) -> MachineImage {
        MachineImage {
            image,
            available_s: 0.0,
        }
    }
}

/// The resources that are free on a machine from `from_s` until the next step begins.
#[derive(Debug, Clone, Copy)]
struct FreeStep {
    from_s: f64,
    free: Resources,
}

/// An interval during which the same resources are free on a machine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FreeInterval {
    /// Begin of the interval, in seconds since the Unix epoch.
    pub(crate) from_s: f64,
    /// End of the interval, in seconds since the Unix epoch; infinite if no later change is
    /// planned.
    pub(crate) until_s: f64,
    /// The resources that are free throughout the interval.
    pub(crate) free: Resources,
}

/// When a task would start and finish on a machine, in seconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PredictedFinish {
    /// When the machine would start the task, beginning with the fetch of its image.
    pub start_s: f64,
    /// When the task would begin to run, after the overhead and the fetch of its image.
    pub running_s: f64,
    /// When the task would finish; infinite for a service.
    pub finish_s: f64,
}

/// The uncertainty that is added to a predicted wait for other tasks is at most this many
/// boot times.
const MAX_UNCERTAINTY_BOOT_TIMES: f64 = 1.0;

/// When a task is predicted to start on a machine that is up and has room for it from
/// `start_s` on. The machine's `prediction_error_s` counts only if `start_s` is after `now_s`,
/// that is, if the task has to wait for others. A negative error can't make the wait shorter
/// than the start-up overhead.
///
/// A wait for other tasks to finish is less certain than a fetch: tasks that finish early
/// shorten the wait little, while delays add up. So the wait is extended by its own length, but
/// at most by the boot time of another machine: a long queue gets shorter during that boot.
pub(crate) fn start_with_uncertainty(
    start_s: f64,
    now_s: f64,
    prediction_error_s: f64,
    estimate: &TaskEstimate,
    job: &PendingJob,
) -> f64 {
    if start_s <= now_s {
        return start_s;
    }
    let wait_s = start_s - now_s;
    let uncertainty_s = wait_s.min(MAX_UNCERTAINTY_BOOT_TIMES * estimate.boot_s);
    now_s + (wait_s + uncertainty_s + prediction_error_s).max(job.overhead_s)
}

impl MachineTimeline {
    /// A machine without tasks that is not up yet and can take tasks from `ready_s` on.
    pub fn new(
        name: Arc<str>,
        type_index: usize,
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
            type_index,
            zone,
            spot,
            ready_s,
            up: false,
            cordoned: false,
            capacity,
            images: Vec::new(),
            price,
            prediction_error_s: 0.0,
            slowdown: 1.0,
            tasks: 0,
            free: vec![FreeStep {
                from_s: ready_s,
                free: capacity,
            }],
        }
    }

    /// The resources that are free at `time_s` or, if the machine is not ready by then, at the
    /// time at which it becomes ready.
    pub fn free_at(&self, time_s: f64) -> Resources {
        let step = self.free.iter().rev().find(|step| step.from_s <= time_s);
        step.or(self.free.first())
            .map_or(Resources::default(), |step| step.free)
    }

    /// Reserves `amount` for one task from `start_s` until `finish_s`, in seconds since the
    /// Unix epoch; an infinite `finish_s` reserves it without end.
    pub fn reserve(&mut self, amount: Resources, start_s: f64, finish_s: f64) {
        let amount = self.occupied_by(&amount);
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

    /// The resources of this machine that a task with the request `amount` occupies. They are so
    /// large that at most [`MAX_TASKS_PER_MACHINE`] tasks fit.
    fn occupied_by(&self, amount: &Resources) -> Resources {
        Resources {
            cpus: amount.cpus.max(self.capacity.cpus / MAX_TASKS_PER_MACHINE),
            ..*amount
        }
    }

    /// Splits the step that contains `time_s`, so that a step begins at that time.
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

    /// A lower bound on [`Self::earliest_start`] that is cheaper to compute; `None` if
    /// `amount` is never free.
    pub(crate) fn earliest_start_bound(&self, amount: &Resources, now_s: f64) -> Option<f64> {
        // The search is short, because few steps of a timeline are in the past.
        let interval = self.free_interval(now_s);
        if amount.fits_in(&interval.free) {
            Some(interval.from_s.max(now_s))
        } else {
            interval.until_s.is_finite().then_some(interval.until_s)
        }
    }

    /// The interval that contains `time_s` or, if the machine is not ready by then, the first
    /// one.
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

    /// The time at which a step ends; infinite for the last one.
    fn step_end(&self, index: usize) -> f64 {
        let next = self.free.get(index + 1);
        next.map_or(f64::INFINITY, |step| step.from_s)
    }

    /// The earliest time, not before `now_s`, from which `amount` is free for `duration_s`
    /// seconds; `None` if there is no such time.
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

    /// Predicts when a task of the job would start and finish on this machine if it is planned
    /// at `now_s`. The time until it finishes is the sum of the start-up overhead, the image
    /// fetch, the wait for other tasks with its prediction error, and the run time (§4.3.5-6
    /// of the paper). `None` if the job has no estimate for the machine's type, or the machine
    /// never has room for the task.
    pub fn predict(&self, job: &PendingJob, now_s: f64) -> Option<PredictedFinish> {
        let amount = self.occupied_by(&job.resources);
        if !amount.fits_in(&self.capacity) {
            return None;
        }
        let estimate = job.estimates.get(self.type_index)?;
        let run_s = estimate.run_s * self.slowdown;
        let from_s = now_s.max(self.ready_s);
        let recorded_s = self.image_available_s(job.image);
        let available_s = recorded_s.unwrap_or_else(|| self.fetch_end_s(estimate.fetch_s, from_s));
        let fetch_s = (available_s - from_s).max(0.0);
        let duration_s = job.overhead_s + fetch_s + run_s;
        let mut start_s = self.earliest_start(&amount, now_s, duration_s)?;
        if self.up {
            start_s =
                start_with_uncertainty(start_s, now_s, self.prediction_error_s, estimate, job);
        }
        // The fetch begins when the task starts, unless the machine already has the image or
        // is fetching it for another task.
        let running_s = match recorded_s {
            Some(_) => (start_s + job.overhead_s).max(available_s),
            None => start_s + job.overhead_s + fetch_s,
        };
        Some(PredictedFinish {
            start_s,
            running_s,
            finish_s: running_s + run_s,
        })
    }

    /// When an image is available on this machine; `None` if it neither has the image nor
    /// is fetching it.
    fn image_available_s(&self, image: ImageId) -> Option<f64> {
        let entry = self.images.iter().find(|entry| entry.image == image);
        entry.map(|entry| entry.available_s)
    }

    /// When an image would be available if its fetch, which takes `fetch_s` seconds, were
    /// requested at `from_s`. Fetches of one machine share its bandwidth, so the fetch is
    /// counted from the end of those in progress.
    fn fetch_end_s(&self, fetch_s: f64, from_s: f64) -> f64 {
        let available = self.images.iter().map(|entry| entry.available_s);
        available.fold(from_s, f64::max) + fetch_s
    }

    /// Plans a task on this machine: reserves its resources and records the fetch of its
    /// image.
    pub fn place(&mut self, job: &PendingJob, finish: &PredictedFinish) {
        self.reserve(job.resources, finish.start_s, finish.finish_s);
        self.record_fetch(job.image, finish.running_s);
    }

    /// Records that an image is available from `available_s` on. Does nothing if the machine
    /// already has the image or is fetching it.
    pub fn record_fetch(&mut self, image: ImageId, available_s: f64) {
        if self.image_available_s(image).is_none() {
            self.images.push(MachineImage { image, available_s });
        }
    }
}
