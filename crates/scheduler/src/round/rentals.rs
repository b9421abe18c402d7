//! Machines that a round plans to rent.

use super::{MachineChoice, PendingJob, SchedulingRound};
use crate::timeline::MachineTimeline;
use crate::timeline_index::TimelineIndex;

/// A kind of machine that may be rented now.
#[derive(Debug, Clone)]
pub struct RentableCapacity {
    /// A machine of that kind, rented at the round's time.
    pub machine: MachineTimeline,
    /// Machines of ours in that zone: the zone with fewer is preferred.
    pub owned_in_zone: usize,
    /// How many may be rented, as far as is known.
    pub available: u32,
    /// How many of them this plan rents.
    pub used: u32,
}

impl RentableCapacity {
    fn is_kind_of(&self, machine: &MachineTimeline) -> bool {
        self.machine.group == machine.group
            && self.machine.zone == machine.zone
            && self.machine.spot == machine.spot
    }
}

/// A kind that would do for a task.
struct RentalOption {
    /// Index in [`SchedulingRound::rentable`].
    index: usize,
    /// Price per hour and task.
    cost: f64,
    /// Machines of ours in the zone, planned rentals included.
    owned_in_zone: usize,
}

impl RentalOption {
    fn is_better_than(&self, other: &RentalOption) -> bool {
        (self.cost, self.owned_in_zone) < (other.cost, other.owned_in_zone)
    }
}

impl SchedulingRound<'_> {
    /// Index of the cheapest kind of machine to rent for a task that has the score
    /// `best_score` on the machines there are.
    pub(super) fn cheapest_rental(
        &self,
        job: &PendingJob,
        zone: Option<usize>,
        best_score: f64,
    ) -> Option<usize> {
        let planned = self.planned_rentals_by_zone();
        let mut best: Option<RentalOption> = None;
        for (index, rentable) in self.rentable.iter().enumerate() {
            let machine = &rentable.machine;
            let is_open = zone.is_none_or(|zone| zone == machine.zone)
                && job.allows_zone(&self.zones[machine.zone]);
            let is_available = rentable.used < rentable.available;
            if !is_open || !is_available || !job.allows_machine(machine) {
                continue;
            }
            if !self.is_worth_renting(machine, job, best_score) {
                continue;
            }
            let tasks_that_fit = job.resources.count_in(&machine.capacity, u32::MAX).max(1);
            let option = RentalOption {
                index,
                cost: machine.price / f64::from(tasks_that_fit) * job.price_bias_of(machine),
                owned_in_zone: rentable.owned_in_zone + planned[machine.zone],
            };
            if best.as_ref().is_none_or(|best| option.is_better_than(best)) {
                best = Some(option);
            }
        }
        best.map(|option| option.index)
    }

    fn planned_rentals_by_zone(&self) -> Vec<usize> {
        let mut planned = vec![0; self.zones.len()];
        for rentable in &self.rentable {
            planned[rentable.machine.zone] += rentable.used as usize;
        }
        planned
    }

    /// Whether a task would finish earlier on a rented machine, by more than a tie.
    ///
    /// Measured in the same way as for machines that are there: otherwise a rental planned
    /// now would not be used in the next round, and each round would rent more.
    fn is_worth_renting(
        &self,
        machine: &MachineTimeline,
        job: &PendingJob,
        best_score: f64,
    ) -> bool {
        let Some(finish) = machine.predict(job, self.planned_time_s) else {
            return false;
        };
        self.score(machine.spot, true, &job.spec, &finish) + self.tie_s < best_score
    }

    /// Adds a machine of a rentable kind to the plan.
    pub(super) fn rent(&mut self, index: usize, job: &PendingJob) -> Option<MachineChoice> {
        let rentable = &mut self.rentable[index];
        let finish = rentable.machine.predict(job, self.planned_time_s)?;
        rentable.used += 1;
        self.machines.push(rentable.machine.clone());
        Some(MachineChoice {
            machine: self.machines.len() - 1,
            finish,
        })
    }

    /// The rentable kind of a machine that is to be rented.
    pub(super) fn rentable_kind(
        &mut self,
        machine: &MachineTimeline,
    ) -> Option<&mut RentableCapacity> {
        self.rentable
            .iter_mut()
            .find(|rentable| rentable.is_kind_of(machine))
    }

    /// Takes the plan back to the machines as they were before.
    pub fn restore(&mut self, machines: TimelineIndex) {
        for rentable in &mut self.rentable {
            rentable.used = 0;
        }
        for machine in machines.iter().skip(self.first_rental) {
            if let Some(rentable) = self.rentable_kind(machine) {
                rentable.used += 1;
            }
        }
        self.machines = machines;
    }
}
