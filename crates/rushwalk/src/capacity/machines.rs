//! The machines of a scheduling round: those that exist, those that are being rented, and those
//! that may be rented.

use super::boot_supervision::BootSupervisor;
use super::rentals::{RentalState, kind_of};
use crate::context::Context;
use crate::scheduler_inputs::{self, TimelineInputs, seconds};
use rushwalk_protocol::cloud::{MAX_RENT, MachineType};
use rushwalk_scheduler::boot_times::BootGroup;
use rushwalk_scheduler::capacity::InstanceKind;
use rushwalk_scheduler::round::{RentableCapacity, SchedulingRound};
use rushwalk_scheduler::timeline::MachineTimeline;
use rushwalk_state::ClusterState;
use rushwalk_state::records::{MachineLifecycle, MachineTypes, RentalRequest};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of machines rented in a round for which memory is reserved in advance.
const RESERVED_RENTALS: usize = 64;

/// Builds scheduling rounds from the cluster state.
pub(crate) struct RoundBuilder<'c, 's> {
    /// Settings and timing of this process.
    pub context: &'c Context,
    /// The cluster state from which the rounds are built.
    pub state: &'s ClusterState,
    /// The machine types that the cloud offers.
    pub types: &'s MachineTypes,
    /// Names of all zones; the index of a zone in this list identifies it in the round.
    pub zones: Vec<Arc<str>>,
    /// The estimates of when booting machines become ready.
    pub boot_supervisor: &'s BootSupervisor,
    /// The current time, in seconds since the Unix epoch.
    pub now_s: f64,
}

/// Numbers of machines in one zone.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneCounts {
    machines: usize,
    unreachable: usize,
}

impl ZoneCounts {
    /// Whether most machines of the zone, and more than two, are unreachable. The zone then
    /// counts as partitioned, and machines rented there would be unreachable, too.
    fn is_partitioned(self) -> bool {
        self.unreachable > 2 && self.unreachable * 2 > self.machines
    }
}

impl<'c> RoundBuilder<'c, '_> {
    /// Builds a round with all active and reachable machines, the machines of open rentals, and
    /// the machine kinds that may be rented.
    pub(crate) fn build(&self, rentals: &mut RentalState) -> SchedulingRound<'c> {
        let rentable = self.rentable(rentals);
        let machines = self.state.machines.len() + RESERVED_RENTALS;
        let zones = self.zones.clone();
        let mut round = scheduler_inputs::empty_round(self.context, self.now_s, zones, machines);
        round.rentable = rentable;
        self.add_machines(&mut round);
        for request in self.state.rentals.values() {
            self.add_rental(&mut round, request);
        }
        round.first_planned_rental = round.machines.len();
        round
    }

    fn add_machines(&self, round: &mut SchedulingRound) {
        let inputs = TimelineInputs {
            state: self.state,
            types: self.types,
            zones: &self.zones,
            now_s: self.now_s,
        };
        for (id, machine) in &self.state.machines {
            let record = &machine.record;
            if record.lifecycle != MachineLifecycle::Active || record.unreachable_since_ms.is_some()
            {
                continue;
            }
            let ready_s = match record.ready_ms {
                Some(_) => self.now_s,
                None => self.boot_supervisor.expected_ready_s(
                    record,
                    self.types,
                    &self.zones,
                    self.now_s,
                ),
            };
            if let Some(timeline) = inputs.timeline(id, machine, ready_s) {
                round.machines.push(timeline);
            }
        }
    }

    /// Adds the machines that an open rental has requested, as if the cloud granted all of them.
    fn add_rental(&self, round: &mut SchedulingRound, request: &RentalRequest) {
        let Some(type_index) = self.types.position(&request.machine_type) else {
            return;
        };
        let Some(zone) = self.zones.iter().position(|z| **z == *request.zone) else {
            return;
        };
        let machine_type = &self.types.types[type_index];
        let boot_s = self.expected_boot_s(type_index, zone, machine_type);
        let ready_s = (seconds(request.requested_ms) + boot_s).max(self.now_s + 1.0);
        let timeline = MachineTimeline::new(
            "".into(),
            type_index,
            machine_type,
            zone,
            request.spot,
            ready_s,
        );
        for _ in 0..request.count {
            round.machines.push(timeline.clone());
        }
    }

    /// Expected seconds from the request for a machine until it has booted.
    fn expected_boot_s(&self, type_index: usize, zone: usize, machine_type: &MachineType) -> f64 {
        self.boot_supervisor
            .boot_times()
            .expected_boot_s(BootGroup::new(type_index, zone), machine_type.boot_s)
    }

    /// The machine kinds that may be rented now, and how many of each.
    fn rentable(&self, rentals: &mut RentalState) -> Vec<RentableCapacity> {
        let zone_counts = self.zone_counts();
        let owned = self.state.machines_by_kind();
        let requested = self.requested_by_kind();
        let mut rentable = Vec::new();
        for (type_index, machine_type) in self.types.types.iter().enumerate() {
            for zone_name in &machine_type.zones {
                let counts = zone_counts
                    .get(zone_name.as_str())
                    .copied()
                    .unwrap_or_default();
                if counts.is_partitioned() {
                    continue;
                }
                let Some(zone) = self.zones.iter().position(|z| **z == **zone_name) else {
                    continue;
                };
                for spot in [true, false] {
                    if spot && machine_type.spot_price.is_none() {
                        continue;
                    }
                    let name = machine_type.name.as_str();
                    let kind = InstanceKind::new(name, self.zones[zone].clone(), spot);
                    let owned = owned.get(&kind).copied().unwrap_or_default();
                    let requested = requested.get(&kind).copied().unwrap_or_default();
                    let available = self.available(rentals, &kind, owned, requested);
                    if available > 0 {
                        rentable.push(RentableCapacity {
                            machine: self.rentable_machine(type_index, zone, spot),
                            owned_in_zone: counts.machines,
                            available,
                            planned: 0,
                        });
                    }
                }
            }
        }
        rentable
    }

    /// How many machines of a kind may be rented beyond those owned and requested.
    fn available(
        &self,
        rentals: &mut RentalState,
        kind: &InstanceKind,
        owned: u32,
        requested: u32,
    ) -> u32 {
        let capacity = &mut rentals.capacity;
        capacity.record_owned(kind, owned);
        capacity.headroom(kind, owned + requested, self.context.uptime_s(), MAX_RENT)
    }

    /// The timeline of a machine that is rented now.
    fn rentable_machine(&self, type_index: usize, zone: usize, spot: bool) -> MachineTimeline {
        let machine_type = &self.types.types[type_index];
        let ready_s = self.now_s + self.expected_boot_s(type_index, zone, machine_type);
        MachineTimeline::new("".into(), type_index, machine_type, zone, spot, ready_s)
    }

    fn zone_counts(&self) -> BTreeMap<&str, ZoneCounts> {
        let mut counts: BTreeMap<&str, ZoneCounts> = BTreeMap::new();
        for (shard, machines) in &self.state.shards {
            let zone = counts.entry(shard.zone()).or_default();
            zone.machines += machines.len();
            zone.unreachable += self.state.shard_counts(shard).unreachable;
        }
        counts
    }

    /// How many machines the open rentals have requested, by kind.
    fn requested_by_kind(&self) -> BTreeMap<InstanceKind, u32> {
        let mut requested: BTreeMap<InstanceKind, u32> = BTreeMap::new();
        for request in self.state.rentals.values() {
            *requested.entry(kind_of(request)).or_default() += request.count;
        }
        requested
    }
}
