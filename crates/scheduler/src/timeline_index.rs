//! Index over the machine timelines of a round. It keeps a summary of each machine, from
//! which a lower bound on the finish of a task there is cheap to compute. For most machines
//! this bound alone shows that they are not the best for a task.

mod image_sets;

use crate::Resources;
use crate::pending_job::{PendingJob, TaskEstimate};
use crate::timeline::{MachineTimeline, PredictedFinish, start_with_uncertainty};
use image_sets::{ImageSets, MachineSet};
use std::ops::Deref;

/// The values from which a lower bound on a machine's finish is computed. They are kept apart
/// from the timelines and contiguous in memory, because for most machines nothing else is
/// read. A summary is replaced whenever its machine's timeline changes.
#[derive(Debug, Clone)]
struct TimelineSummary {
    /// Index of the machine.
    machine: u32,
    cordoned: bool,
    /// Whether the machine has no task.
    empty: bool,
    /// Begin, end and resources of the free interval at [`TimelineIndex::now_s`].
    free_from_s: f64,
    free_until_s: f64,
    free: Resources,
    slowdown: f64,
    prediction_error_s: f64,
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
            prediction_error_s: machine.prediction_error_s,
        }
    }
}

/// Machines with the same type, zone, kind of rental (spot or on demand) and boot status. A
/// job's requirements on these properties exclude either all machines of a class or none.
#[derive(Debug, Clone)]
struct MachineClass {
    type_index: usize,
    zone: usize,
    spot: bool,
    up: bool,
    summaries: Vec<TimelineSummary>,
}

impl MachineClass {
    fn of(machine: &MachineTimeline) -> MachineClass {
        MachineClass {
            type_index: machine.type_index,
            zone: machine.zone,
            spot: machine.spot,
            up: machine.up,
            summaries: Vec::new(),
        }
    }

    fn contains(&self, machine: &MachineTimeline) -> bool {
        self.type_index == machine.type_index
            && self.zone == machine.zone
            && self.spot == machine.spot
            && self.up == machine.up
    }
}

/// Position of a machine's summary.
#[derive(Debug, Clone, Copy)]
struct SummaryPosition {
    /// Index in [`TimelineIndex::classes`].
    class: u32,
    /// Index in [`MachineClass::summaries`].
    index: u32,
}

/// The machines of a round, in the order in which they were added, with their summaries.
/// Dereferences to the slice of the machines.
#[derive(Debug, Clone, Default)]
pub struct TimelineIndex {
    machines: Vec<MachineTimeline>,
    classes: Vec<MachineClass>,
    /// Position of each machine's summary, by the index of the machine.
    positions: Vec<SummaryPosition>,
    image_sets: ImageSets,
    /// The time for which the summaries hold the free interval, in seconds since the Unix
    /// epoch.
    now_s: f64,
}

impl Deref for TimelineIndex {
    type Target = [MachineTimeline];

    fn deref(&self) -> &[MachineTimeline] {
        &self.machines
    }
}

/// A lower bound on the finish of a task on one machine.
pub struct FinishBound {
    /// Index of the machine.
    pub machine: usize,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Whether it has no task.
    pub empty: bool,
    /// Lower bounds on the times that [`MachineTimeline::predict`] returns for the machine.
    pub finish: PredictedFinish,
}

/// The job and the planned time for which bounds are computed.
struct BoundQuery<'a> {
    job: &'a PendingJob,
    machines_with_image: MachineSet<'a>,
    /// The time at which the tasks are planned, in seconds since the Unix epoch. May be later
    /// than [`TimelineIndex::now_s`].
    now_s: f64,
    /// Leaves out machines on which no task of the job can start at `now_s`.
    free_now: bool,
}

impl TimelineIndex {
    /// An index without machines, with memory allocated for `capacity` of them. The summaries
    /// will describe the machines at `now_s` (seconds since the Unix epoch).
    pub fn new(now_s: f64, capacity: usize) -> TimelineIndex {
        TimelineIndex {
            machines: Vec::with_capacity(capacity),
            classes: Vec::new(),
            positions: Vec::with_capacity(capacity),
            image_sets: ImageSets::default(),
            now_s,
        }
    }

    /// Adds a machine; its index is the number of machines before.
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

    /// Index of the class that contains a machine; a new class is added if none does.
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

    /// Replaces a machine by an earlier copy of it.
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

    /// Sets [`MachineTimeline::cordoned`] of a machine.
    pub fn set_cordoned(&mut self, index: usize, cordoned: bool) {
        self.machines[index].cordoned = cordoned;
        self.update_summary(index);
    }

    /// Calls `visit` with a lower bound on the predicted finish for every machine that a job
    /// may use. `open_zones` says for each zone, by its index, whether the job may use it.
    /// With `free_now`, machines that certainly can't start a task at `now_s` are left out.
    pub fn for_each_bound(
        &self,
        job: &PendingJob,
        open_zones: &[bool],
        now_s: f64,
        free_now: bool,
        mut visit: impl FnMut(FinishBound),
    ) {
        let query = BoundQuery {
            job,
            machines_with_image: self.image_sets.machines_with(job.image),
            now_s,
            free_now,
        };
        for class in &self.classes {
            let estimate = job.estimates.get(class.type_index).filter(|e| e.usable);
            let Some(estimate) = estimate else { continue };
            let is_excluded = (class.spot && !job.spec.spot)
                || (free_now && !class.up)
                || open_zones.get(class.zone) != Some(&true);
            if is_excluded {
                continue;
            }
            for summary in class.summaries.iter().filter(|s| !s.cordoned) {
                if let Some(bound) = self.bound(&query, class, estimate, summary) {
                    visit(bound);
                }
            }
        }
    }

    /// The bound of one machine; `None` if the machine can't take a task of the job or, with
    /// `free_now`, can't start one at the planned time.
    fn bound(
        &self,
        query: &BoundQuery,
        class: &MachineClass,
        estimate: &TaskEstimate,
        summary: &TimelineSummary,
    ) -> Option<FinishBound> {
        let job = query.job;
        let index = summary.machine as usize;
        let mut start_s = self.earliest_start_bound(query, summary);
        if start_s == f64::INFINITY || (query.free_now && start_s > query.now_s) {
            return None;
        }
        let avoided = &job.avoided_machines;
        if !avoided.is_empty() && avoided.contains(&self.machines[index].name) {
            return None;
        }
        if class.up {
            let error_s = summary.prediction_error_s;
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

    /// A lower bound on the time from which a machine has room for a task; infinite if it
    /// never has.
    fn earliest_start_bound(&self, query: &BoundQuery, summary: &TimelineSummary) -> f64 {
        let amount = &query.job.resources;
        if query.now_s >= summary.free_until_s {
            // The planned time is after the interval that the summary describes.
            let machine = &self.machines[summary.machine as usize];
            let start_s = machine.earliest_start_bound(amount, query.now_s);
            start_s.unwrap_or(f64::INFINITY)
        } else if amount.fits_in(&summary.free) {
            summary.free_from_s.max(query.now_s)
        } else {
            summary.free_until_s
        }
    }
}
