//! All machines of a plan, with what is needed to see at a glance which of them
//! can't be the best for a task.

use crate::Resources;
use crate::round::PendingJob;
use crate::timeline::{ImageId, MachineTimeline, PredictedFinish};
use std::ops::Deref;

/// What a bound on a machine's finish is found from, in one place: most machines
/// are only glanced at. Made anew whenever the machine's plan changes.
#[derive(Debug, Clone)]
struct TimelineSummary {
    slot: u32,
    closed: bool,
    empty: bool,
    /// What is free from a time on until the next change.
    from: f64,
    next: f64,
    free: Resources,
    slow: f64,
    pending_error: f64,
}

/// Machines that a job either may use or not, all of them.
#[derive(Debug, Clone)]
struct MachineClass {
    group: usize,
    zone: usize,
    spot: bool,
    up: bool,
    glances: Vec<TimelineSummary>,
}

/// The machines of a round, in their order.
#[derive(Debug, Clone, Default)]
pub struct TimelineIndex {
    slots: Vec<MachineTimeline>,
    classes: Vec<MachineClass>,
    /// Where each machine's glance is: its class, and its place there.
    at: Vec<(u32, u32)>,
    /// Machines with an image, a bit each. A bit that is set without need only
    /// lowers a bound, so none is ever cleared.
    with: Vec<Vec<u64>>,
    clock: f64,
}

impl Deref for TimelineIndex {
    type Target = [MachineTimeline];

    fn deref(&self) -> &[MachineTimeline] {
        &self.slots
    }
}

/// What a machine could offer at best.
pub struct FinishBound {
    pub slot: usize,
    pub spot: bool,
    pub empty: bool,
    pub finish: PredictedFinish,
}

impl TimelineIndex {
    /// Room for machines as they are at a time.
    pub fn new(clock: f64, room: usize) -> TimelineIndex {
        TimelineIndex {
            slots: Vec::with_capacity(room),
            classes: Vec::new(),
            at: Vec::with_capacity(room),
            with: Vec::new(),
            clock,
        }
    }

    pub fn push(&mut self, slot: MachineTimeline) {
        let i = self.slots.len();
        for (image, _) in &slot.images {
            self.has(i, *image);
        }
        let same = |c: &MachineClass| {
            (c.group, c.zone, c.spot, c.up) == (slot.group, slot.zone, slot.spot, slot.up)
        };
        let class = self.classes.iter().position(same);
        let class = class.unwrap_or_else(|| {
            self.classes.push(MachineClass {
                group: slot.group,
                zone: slot.zone,
                spot: slot.spot,
                up: slot.up,
                glances: Vec::new(),
            });
            self.classes.len() - 1
        });
        let glances = &mut self.classes[class].glances;
        self.at.push((class as u32, glances.len() as u32));
        glances.push(glance(i, &slot, self.clock));
        self.slots.push(slot);
    }

    fn look(&mut self, i: usize) {
        let (class, at) = self.at[i];
        let glances = &mut self.classes[class as usize].glances;
        glances[at as usize] = glance(i, &self.slots[i], self.clock);
    }

    pub fn place(&mut self, i: usize, job: &PendingJob, finish: &PredictedFinish) {
        self.slots[i].place(job, finish);
        self.has(i, job.image);
        self.look(i);
    }

    /// Puts a machine back as it was.
    pub fn restore(&mut self, i: usize, slot: MachineTimeline) {
        self.slots[i] = slot;
        self.look(i);
    }

    /// Takes out the machines that came last.
    pub fn truncate(&mut self, len: usize) {
        for (class, _) in self.at.drain(len..) {
            self.classes[class as usize].glances.pop();
        }
        self.slots.truncate(len);
    }

    /// It takes nothing more in this plan, or does so again.
    pub fn set_closed(&mut self, i: usize, closed: bool) {
        self.slots[i].closed = closed;
        self.look(i);
    }

    fn has(&mut self, i: usize, image: ImageId) {
        let image = image as usize;
        if self.with.len() <= image {
            self.with.resize(image + 1, Vec::new());
        }
        let bits = &mut self.with[image];
        if bits.len() <= i / 64 {
            bits.resize(i / 64 + 1, 0);
        }
        bits[i / 64] |= 1 << (i % 64);
    }

    /// Bounds for all machines that a job may use in the zones `open` to it: no
    /// machine's true finish falls below its own. With `free_now` only those that
    /// may start at once.
    pub fn bounds(
        &self,
        job: &PendingJob,
        open: &[bool],
        now: f64,
        free_now: bool,
        mut each: impl FnMut(FinishBound),
    ) {
        let with = self.with.get(job.image as usize);
        let with = with.map_or(&[][..], |bits| bits);
        for class in &self.classes {
            let times = job.estimates.get(class.group).filter(|t| t.allowed);
            let Some(times) = times else {
                continue;
            };
            let barred = (class.spot && !job.spec.spot)
                || (free_now && !class.up)
                || open.get(class.zone) != Some(&true);
            if barred {
                continue;
            }
            for glance in class.glances.iter().filter(|g| !g.closed) {
                let i = glance.slot as usize;
                let start = if now >= glance.next {
                    // A plan for later: the glance says nothing of then.
                    let start = self.slots[i].not_before(&job.resources, now);
                    start.unwrap_or(f64::INFINITY)
                } else if job.resources.fits_in(&glance.free) {
                    glance.from.max(now)
                } else {
                    glance.next
                };
                if start == f64::INFINITY || (free_now && start > now) {
                    continue;
                }
                if !job.avoided_machines.is_empty()
                    && job.avoided_machines.contains(&self.slots[i].name)
                {
                    continue;
                }
                let start = match class.up {
                    true => crate::timeline::doubted(start, now, glance.pending_error, times, job),
                    false => start,
                };
                let there = with.get(i / 64).is_some_and(|b| b & (1 << (i % 64)) != 0);
                let fetch = if there { 0.0 } else { times.fetch_s };
                let runs = start + job.overhead_s + fetch;
                each(FinishBound {
                    slot: i,
                    spot: class.spot,
                    empty: glance.empty,
                    finish: PredictedFinish {
                        start_s: start,
                        running_s: runs,
                        finish_s: runs + times.run_s * glance.slow,
                    },
                });
            }
        }
    }
}

fn glance(i: usize, slot: &MachineTimeline, clock: f64) -> TimelineSummary {
    let (from, free, next) = slot.step(clock);
    TimelineSummary {
        slot: i as u32,
        closed: slot.closed,
        empty: slot.tasks == 0,
        from,
        next,
        free,
        slow: slot.slowdown,
        pending_error: slot.pending_error,
    }
}
