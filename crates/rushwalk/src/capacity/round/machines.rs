//! What there is to place on: machines, those under way, and what may be rented.

use crate::capacity::timelines;
use crate::controller::Controller;
use crate::leadership::leader::{LeaderState, zone_of};
use crate::view::{ClusterState, Name};
use rushwalk_protocol::cloud::{MAX_RENT, MachineType};
use rushwalk_protocol::records::{MachineLifecycle, MachineRecord, MachineTypes, RentalRequest};
use rushwalk_scheduler::Resources;
use rushwalk_scheduler::boot_times::{BootGroup, BootSample, BootTimeEstimator};
use rushwalk_scheduler::capacity::InstanceKind;
use rushwalk_scheduler::quota::QuotaUsage;
use rushwalk_scheduler::round::{RentableCapacity, SchedulingRound};
use rushwalk_scheduler::timeline::MachineTimeline;
use rushwalk_scheduler::timeline_index::TimelineIndex;
use std::collections::BTreeMap;

/// The machines there are, and those under way.
pub fn machines<'a>(
    node: &'a Controller,
    view: &ClusterState,
    memory: &mut LeaderState,
    types: &MachineTypes,
    now: u64,
) -> SchedulingRound<'a> {
    let seconds = now as f64 / 1000.0;
    let zones = timelines::zones(types, &node.settings.site);
    let mut round = SchedulingRound {
        planned_time_s: seconds,
        current_time_s: seconds,
        machines: TimelineIndex::new(seconds, view.machines.len() + 64),
        rentable: offers(view, memory, types, &zones, seconds, node.uptime_s()),
        zones,
        teams: &node.settings.site.teams,
        usage: QuotaUsage::default(),
        tie_s: node.timing.tie.as_secs_f64(),
        first_rental: usize::MAX,
        evaluations: Default::default(),
    };
    for (name, row) in &view.machines {
        if row.record.lifecycle == MachineLifecycle::Active
            && row.record.unreachable_since_ms.is_none()
        {
            let ready = match row.record.ready_ms {
                Some(_) => seconds,
                None => ready(
                    &memory.boot_times,
                    &row.record,
                    types,
                    &round.zones,
                    seconds,
                ),
            };
            let times = (seconds, ready);
            let slot = timelines::slot(view, name, row, types, &round.zones, times);
            slot.into_iter().for_each(|slot| round.machines.push(slot));
        }
    }
    for rental in view.rentals.values() {
        let Some(group) = types
            .types
            .iter()
            .position(|t| t.name == rental.machine_type)
        else {
            continue;
        };
        let kind = &types.types[group];
        let Some(zone) = round.zones.iter().position(|z| **z == *rental.zone) else {
            continue;
        };
        let boots = memory
            .boot_times
            .expected_boot_s(BootGroup::new(group, zone), kind.boot_s);
        let ready = (rental.requested_ms as f64 / 1000.0 + boots).max(seconds + 1.0);
        let slot = MachineTimeline::new("".into(), group, kind, zone, rental.spot, ready);
        let all = std::iter::repeat_n(slot, rental.count as usize);
        all.for_each(|slot| round.machines.push(slot));
    }
    round.first_rental = round.machines.len();
    round
}

/// How machines boot, by those there are and those that were given up.
pub fn boots(
    view: &ClusterState,
    memory: &mut LeaderState,
    types: &MachineTypes,
    zones: &[Name],
    (now, report_s): (u64, f64),
) -> BootTimeEstimator {
    let seconds = now as f64 / 1000.0;
    let mut boots = BootTimeEstimator::new(seconds, report_s);
    for row in view.machines.values() {
        let machine = &row.record;
        let Some((group, kind)) = booting(machine, types, zones) else {
            continue;
        };
        let rented = machine.rented_ms as f64 / 1000.0;
        let until = machine.ready_ms.map_or(seconds, |up| up as f64 / 1000.0);
        let seen = BootSample {
            rented_s: rented,
            elapsed_s: (until - rented).max(0.0),
            booted: machine.ready_ms.is_some(),
        };
        boots.add_sample(group, kind.boot_s, seen);
    }
    memory
        .abandoned_boots
        .retain(|(_, nominal, seen)| seconds - seen.rented_s < 8.0 * nominal);
    for (group, nominal, seen) in &memory.abandoned_boots {
        boots.add_sample(*group, *nominal, *seen);
    }
    boots.finish_sampling();
    boots
}

/// The group that a machine boots with, and its type.
pub fn booting<'a>(
    machine: &MachineRecord,
    types: &'a MachineTypes,
    zones: &[Name],
) -> Option<(BootGroup, &'a MachineType)> {
    let zone = zones.iter().position(|z| *z == machine.zone)?;
    let kind = types
        .types
        .iter()
        .position(|t| *t.name == *machine.machine_type)?;
    Some((BootGroup::new(kind, zone), &types.types[kind]))
}

/// When one that boots should be up.
fn ready(
    boots: &BootTimeEstimator,
    machine: &MachineRecord,
    types: &MachineTypes,
    zones: &[Name],
    now: f64,
) -> f64 {
    let left = booting(machine, types, zones).map_or(0.0, |(group, kind)| {
        boots.remaining_s(group, kind.boot_s, machine.rented_ms as f64 / 1000.0)
    });
    now + left.max(1.0)
}

/// What may be rented now, and how much of it.
fn offers(
    view: &ClusterState,
    memory: &mut LeaderState,
    types: &MachineTypes,
    zones: &[Name],
    seconds: f64,
    uptime: f64,
) -> Vec<RentableCapacity> {
    // Machines of ours in each zone, and how many of them are silent.
    let mut ours: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for (block, machines) in &view.shards {
        let there = ours.entry(zone_of(block)).or_default();
        there.0 += machines.len();
        there.1 += view.shard_counts(block).1;
    }
    let have = view.machines_by_kind();
    let mut asked: BTreeMap<InstanceKind, u32> = BTreeMap::new();
    for rental in view.rentals.values() {
        *asked.entry(kind_of(rental)).or_default() += rental.count;
    }
    let mut out = Vec::new();
    for (group, kind) in types.types.iter().enumerate() {
        for name in &kind.zones {
            let (all, silent) = ours.get(name.as_str()).copied().unwrap_or_default();
            if silent > 2 && silent * 2 > all {
                // A zone that is cut off: what is rented there is so too.
                continue;
            }
            let Some(zone) = zones.iter().position(|z| **z == **name) else {
                continue;
            };
            for spot in [true, false] {
                if spot && kind.spot_price.is_none() {
                    continue;
                }
                let key = InstanceKind::new(kind.name.as_str(), zones[zone].clone(), spot);
                let have = have.get(&key).copied().unwrap_or_default();
                memory.capacity.record_owned(&key, have);
                let asked = asked.get(&key).copied().unwrap_or_default();
                let left = memory
                    .capacity
                    .headroom(&key, have + asked, uptime, MAX_RENT);
                if left == 0 {
                    continue;
                }
                let ready = seconds
                    + memory
                        .boot_times
                        .expected_boot_s(BootGroup::new(group, zone), kind.boot_s);
                out.push(RentableCapacity {
                    machine: MachineTimeline::new("".into(), group, kind, zone, spot, ready),
                    owned_in_zone: all,
                    available: left,
                    used: 0,
                });
            }
        }
    }
    out
}

/// What a rental asks for.
pub fn kind_of(rental: &RentalRequest) -> InstanceKind {
    InstanceKind::new(
        rental.machine_type.as_str(),
        rental.zone.as_str(),
        rental.spot,
    )
}

/// By how much dearer each group counts for each class. Where no zone has more
/// of a kind to rent, its machines should serve those for whom another kind would
/// be dearest: the others count them dearer by as much as they would lose less.
pub fn scarcity(
    view: &ClusterState,
    memory: &LeaderState,
    types: &MachineTypes,
) -> BTreeMap<String, Vec<[f64; 2]>> {
    const MOST: f64 = 4.0;
    let kinds = &types.types;
    let scarce = |group: usize, spot: bool| {
        let kind = &kinds[group];
        let key = |zone: &String| InstanceKind::new(kind.name.as_str(), zone.as_str(), spot);
        kind.zones
            .iter()
            .all(|z| memory.capacity.is_exhausted(&key(z)))
    };
    let scarce: Vec<[bool; 2]> = (0..kinds.len())
        .map(|g| [scarce(g, false), scarce(g, true)])
        .collect();
    if !scarce.iter().flatten().any(|s| *s) {
        return BTreeMap::new();
    }
    // What it loses without the scarce kind: the next price over this one's.
    let mut losses: BTreeMap<String, Vec<[f64; 2]>> = BTreeMap::new();
    for times in view.arrivals.values() {
        let Some((_, spec)) = times.back() else {
            continue;
        };
        let amount = Resources::of_task(spec);
        let cost = |group: usize, spot: bool| {
            let kind = &kinds[group];
            let named = spec.types.as_ref().is_none_or(|t| t.contains(&kind.name));
            let price = match spot {
                true => kind.spot_price.filter(|_| spec.spot),
                false => Some(kind.price),
            };
            let fit = amount.count_in(&Resources::of_type(kind), u32::MAX);
            price
                .filter(|_| named && fit > 0)
                .map(|p| p / f64::from(fit))
        };
        let all = (0..kinds.len()).flat_map(|g| [(g, false), (g, true)]);
        let open = all.filter(|(g, s)| !scarce[*g][usize::from(*s)]);
        let next = open
            .filter_map(|(g, s)| cost(g, s))
            .fold(f64::INFINITY, f64::min);
        let loss = |group: usize, spot: bool| {
            let lost = cost(group, spot).map_or(1.0, |c| next / c.max(1e-9));
            lost.clamp(1.0 / MOST, MOST)
        };
        let losses_each = (0..kinds.len()).map(|g| [loss(g, false), loss(g, true)]);
        losses.insert(spec.class.clone(), losses_each.collect());
    }
    let mut most = vec![[0.0f64; 2]; kinds.len()];
    for each in losses.values() {
        for (most, loss) in most.iter_mut().zip(each) {
            most[0] = most[0].max(loss[0]);
            most[1] = most[1].max(loss[1]);
        }
    }
    for each in losses.values_mut() {
        for (group, loss) in each.iter_mut().enumerate() {
            for spot in [0, 1] {
                loss[spot] = match scarce[group][spot] {
                    true => most[group][spot] / loss[spot],
                    false => 1.0,
                };
            }
        }
    }
    losses
}
