//! All machines of a plan, with a summary of each that shows cheaply which of them can't be
//! the best for a task.

mod image_sets;

use crate::Resources;
use crate::pending_job::{PendingJob, TaskEstimate};
use crate::timeline::{MachineTimeline, PredictedFinish, start_with_uncertainty};
use image_sets::{ImageSets, MachineSet};
use std::ops::Deref;

/// What a bound on a machine's finish is worked out from, contiguous in memory: most
/// machines are looked at no further. Made anew whenever the machine's plan changes.
#[derive(Debug, Clone)]
struct TimelineSummary {
    machine: u32,
    cordoned: bool,
    empty: bool,
    /// What is free at the index's time: since when, until when, how much.
    free_from_s: f64,
    free_until_s: f64,
    free: Resources,
    slowdown: f64,
    pending_error_s: f64,
}

impl TimelineSummary {
    fn new(index: usize, machine: &MachineTimeline, now_s: f64) -> TimelineSummary {
        let interval = machine.free_interval(now_s);
        TimelineSummary {
            machine: index as u32,
            cordoned: machine.cordoned,
            empty: machine.tasks == 0,
            free_from_s: interval.from_s,
            free_until_s: interval.until_s,
            free: interval.free,
            slowdown: machine.slowdown,
            pending_error_s: machine.pending_error_s,
        }
    }
}

/// Machines that a job may either use all or not at all.
#[derive(Debug, Clone)]
struct MachineClass {
    group: usize,
    zone: usize,
    spot: bool,
    up: bool,
    summaries: Vec<TimelineSummary>,
}

impl MachineClass {
    fn of(machine: &MachineTimeline) -> MachineClass {
        MachineClass {
            group: machine.group,
            zone: machine.zone,
            spot: machine.spot,
            up: machine.up,
            summaries: Vec::new(),
        }
    }

    fn contains(&self, machine: &MachineTimeline) -> bool {
        self.group == machine.group
            && self.zone == machine.zone
            && self.spot == machine.spot
            && self.up == machine.up
    }
}

/// Where a machine's summary is.
#[derive(Debug, Clone, Copy)]
struct SummaryPosition {
    class: u32,
    index: u32,
}

/// The machines of a round, in their order.
#[derive(Debug, Clone, Default)]
pub struct TimelineIndex {
    machines: Vec<MachineTimeline>,
    classes: Vec<MachineClass>,
    /// One for each machine.
    positions: Vec<SummaryPosition>,
    image_sets: ImageSets,
    /// The time of the summaries, in seconds since the Unix epoch.
    now_s: f64,
}

impl Deref for TimelineIndex {
    type Target = [MachineTimeline];

    fn deref(&self) -> &[MachineTimeline] {
        &self.machines
    }
}

/// The earliest that a machine could finish a task.
pub struct FinishBound {
    /// Index of the machine.
    pub machine: usize,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Whether it has no task.
    pub empty: bool,
    /// No time of the true prediction is earlier.
    pub finish: PredictedFinish,
}

/// The tasks for which bounds are worked out.
struct BoundQuery<'a> {
    job: &'a PendingJob,
    machines_with_image: MachineSet<'a>,
    now_s: f64,
    free_now: bool,
}

impl TimelineIndex {
    /// An empty index with room for `capacity` machines, as of `now_s` (seconds since the
    /// Unix epoch).
    pub fn new(now_s: f64, capacity: usize) -> TimelineIndex {
        TimelineIndex {
            machines: Vec::with_capacity(capacity),
            classes: Vec::new(),
            positions: Vec::with_capacity(capacity),
            image_sets: ImageSets::default(),
            now_s,
        }
    }

    /// Adds a machine as the last.
    pub fn push(&mut self, machine: MachineTimeline) {
        let index = self.machines.len();
        for entry in &machine.images {
            self.image_sets.insert(entry.image, index);
        }
        let class = self.class_of(&machine);
        let summaries = &mut self.classes[class].summaries;
        self.positions.push(SummaryPosition {
            class: class as u32,
            index: summaries.len() as u32,
        });
        summaries.push(TimelineSummary::new(index, &machine, self.now_s));
        self.machines.push(machine);
    }

    /// Index of a machine's class, which is added if there is none.
    fn class_of(&mut self, machine: &MachineTimeline) -> usize {
        let class = self.classes.iter().position(|c| c.contains(machine));
        class.unwrap_or_else(|| {
            self.classes.push(MachineClass::of(machine));
            self.classes.len() - 1
        })
    }

    fn update_summary(&mut self, index: usize) {
        let position = self.positions[index];
        let summaries = &mut self.classes[position.class as usize].summaries;
        summaries[position.index as usize] =
            TimelineSummary::new(index, &self.machines[index], self.now_s);
    }

    /// Plans a task on a machine.
    pub fn place(&mut self, index: usize, job: &PendingJob, finish: &PredictedFinish) {
        self.machines[index].place(job, finish);
        self.image_sets.insert(job.image, index);
        self.update_summary(index);
    }

    /// Puts a machine back as it was.
    pub fn restore(&mut self, index: usize, machine: MachineTimeline) {
        self.machines[index] = machine;
        self.update_summary(index);
    }

    /// Removes all but the first `len` machines.
    pub fn truncate(&mut self, len: usize) {
        for position in self.positions.drain(len..) {
            self.classes[position.class as usize].summaries.pop();
        }
        self.machines.truncate(len);
    }

    /// Sets whether a machine takes no more tasks in this plan.
    pub fn set_cordoned(&mut self, index: usize, cordoned: bool) {
        self.machines[index].cordoned = cordoned;
        self.update_summary(index);
    }

    /// Calls `each` with a bound for every machine that a job may use in the zones that are
    /// open to it (`open_zones`, by index): no machine's true finish is earlier than its
    /// bound. With `free_now` only for those that may start a task at once.
    pub fn for_each_bound(
        &self,
        job: &PendingJob,
        open_zones: &[bool],
        now_s: f64,
        free_now: bool,
        mut each: impl FnMut(FinishBound),
    ) {
        let query = BoundQuery {
            job,
            machines_with_image: self.image_sets.machines_with(job.image),
            now_s,
            free_now,
        };
        for class in &self.classes {
            let estimate = job.estimates.get(class.group).filter(|e| e.allowed);
            let Some(estimate) = estimate else { continue };
            let is_excluded = (class.spot && !job.spec.spot)
                || (free_now && !class.up)
                || open_zones.get(class.zone) != Some(&true);
            if is_excluded {
                continue;
            }
            for summary in class.summaries.iter().filter(|s| !s.cordoned) {
                if let Some(bound) = self.bound(&query, class, estimate, summary) {
                    each(bound);
                }
            }
        }
    }

    /// The bound of one machine; `None` if it can't take a task.
    fn bound(
        &self,
        query: &BoundQuery,
        class: &MachineClass,
        estimate: &TaskEstimate,
        summary: &TimelineSummary,
    ) -> Option<FinishBound> {
        let job = query.job;
        let index = summary.machine as usize;
        let mut start_s = self.earliest_start(query, summary);
        if start_s == f64::INFINITY || (query.free_now && start_s > query.now_s) {
            return None;
        }
        let avoided = &job.avoided_machines;
        if !avoided.is_empty() && avoided.contains(&self.machines[index].name) {
            return None;
        }
        if class.up {
            let error_s = summary.pending_error_s;
            start_s = start_with_uncertainty(start_s, query.now_s, error_s, estimate, job);
        }
        let has_image = query.machines_with_image.contains(index);
        let fetch_s = if has_image { 0.0 } else { estimate.fetch_s };
        let running_s = start_s + job.overhead_s + fetch_s;
        Some(FinishBound {
            machine: index,
            spot: class.spot,
            empty: summary.empty,
            finish: PredictedFinish {
                start_s,
                running_s,
                finish_s: running_s + estimate.run_s * summary.slowdown,
            },
        })
    }

    /// A time before which a machine isn't free for a task; infinite if it never is.
    fn earliest_start(&self, query: &BoundQuery, summary: &TimelineSummary) -> f64 {
        let amount = &query.job.resources;
        if query.now_s >= summary.free_until_s {
            // The plan is for a time that the summary doesn't cover.
            let machine = &self.machines[summary.machine as usize];
            let start_s = machine.not_before(amount, query.now_s);
            start_s.unwrap_or(f64::INFINITY)
        } else if amount.fits_in(&summary.free) {
            summary.free_from_s.max(query.now_s)
        } else {
            summary.free_until_s
        }
    }
}
