//! Planned rentals of a scheduling round.

use super::{MachineChoice, PendingJob, SchedulingRound};
use crate::timeline::MachineTimeline;
use crate::timeline_index::TimelineIndex;

/// A kind of machine (type, zone, spot or on demand) that may be rented now.
#[derive(Debug, Clone)]
pub struct RentableCapacity {
    /// Timeline of a machine of this kind if it is rented at the round's current time.
    pub machine: MachineTimeline,
    /// Number of machines that are already rented in this zone, of any type. At equal cost
    /// the zone with fewer is preferred.
    pub owned_in_zone: usize,
    /// Estimate of how many more machines of this kind may be rented; [`u32::MAX`] if the
    /// cloud has shown no limit.
    pub available: u32,
    /// Number of machines of this kind that the round plans to rent; never above
    /// `available`.
    pub planned: u32,
}

impl RentableCapacity {
    fn is_kind_of(&self, machine: &MachineTimeline) -> bool {
        self.machine.type_index == machine.type_index
            && self.machine.zone == machine.zone
            && self.machine.spot == machine.spot
    }
}

/// A kind of machine that could be rented for a task.
struct RentalOption {
    /// Index of the kind in [`SchedulingRound::rentable`].
    index: usize,
    /// Price per hour divided by the number of tasks that fit on a machine, weighted with the
    /// job's price bias.
    cost: f64,
    /// Number of machines rented in the zone, including planned rentals.
    owned_in_zone: usize,
}

impl RentalOption {
    fn is_better_than(&self, other: &RentalOption) -> bool {
        (self.cost, self.owned_in_zone) < (other.cost, other.owned_in_zone)
    }
}

impl SchedulingRound<'_> {
    /// Index in [`Self::rentable`] of the cheapest kind of machine that is worth renting for
    /// a task, or `None`. `best_score` is the task's score on the best machine of the round;
    /// infinite if it fits on none.
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
            let is_available = rentable.planned < rentable.available;
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

    /// Number of machines that the round plans to rent, by the index of the zone.
    fn planned_rentals_by_zone(&self) -> Vec<usize> {
        let mut planned = vec![0; self.zones.len()];
        for rentable in &self.rentable {
            planned[rentable.machine.zone] += rentable.planned as usize;
        }
        planned
    }

    /// Whether a rented machine would have a better score than `best_score`, by more than
    /// [`Self::tie_s`].
    ///
    /// The score is computed in the same way as for machines that already exist. Otherwise the
    /// next round might not use a machine that this round rents, and every round would rent
    /// more.
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

    /// Adds a machine of the kind with this index in [`Self::rentable`] to the round, and
    /// returns it as the choice for a task of the job. `None` if the task can't run there.
    pub(super) fn plan_rental(&mut self, index: usize, job: &PendingJob) -> Option<MachineChoice> {
        let rentable = &mut self.rentable[index];
        let finish = rentable.machine.predict(job, self.planned_time_s)?;
        rentable.planned += 1;
        self.machines.push(rentable.machine.clone());
        Some(MachineChoice {
            machine: self.machines.len() - 1,
            finish,
        })
    }

    /// The entry of [`Self::rentable`] for the kind of a machine whose rental is planned.
    pub(super) fn rentable_kind(
        &mut self,
        machine: &MachineTimeline,
    ) -> Option<&mut RentableCapacity> {
        self.rentable
            .iter_mut()
            .find(|rentable| rentable.is_kind_of(machine))
    }

    /// Replaces the round's machines with an earlier copy, and counts the planned rentals in
    /// this copy again.
    pub fn restore(&mut self, machines: TimelineIndex) {
        for rentable in &mut self.rentable {
            rentable.planned = 0;
        }
        for machine in machines.iter().skip(self.first_planned_rental) {
            if let Some(rentable) = self.rentable_kind(machine) {
                rentable.planned += 1;
            }
        }
        self.machines = machines;
    }
}
