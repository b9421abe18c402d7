//! What there is to place on: machines, those under way, and what may be rented.

use crate::leader::{LeaderMemory, zone_of};
use crate::node::Node;
use crate::slots;
use crate::view::{Name, View};
use rushwalk_protocol::cloud::{MAX_RENT, MachineType};
use rushwalk_protocol::records::{Machine, Rental, Stage, Types};
use rushwalk_scheduler::Amount;
use rushwalk_scheduler::boot_times::{Boots, Group, Seen};
use rushwalk_scheduler::capacity::Kind;
use rushwalk_scheduler::quota::Usage;
use rushwalk_scheduler::round::{Offer, Round};
use rushwalk_scheduler::timeline::Slot;
use rushwalk_scheduler::timeline_index::Slots;
use std::collections::BTreeMap;

/// The machines there are, and those under way.
pub fn machines<'a>(
    node: &'a Node,
    view: &View,
    memory: &mut LeaderMemory,
    types: &Types,
    now: u64,
) -> Round<'a> {
    let seconds = now as f64 / 1000.0;
    let zones = slots::zones(types, &node.settings.site);
    let mut round = Round {
        now: seconds,
        clock: seconds,
        slots: Slots::new(seconds, view.machines.len() + 64),
        offers: offers(view, memory, types, &zones, seconds, node.uptime()),
        zones,
        teams: &node.settings.site.teams,
        usage: Usage::default(),
        tie_s: node.times.tie.as_secs_f64(),
        rent_from: usize::MAX,
        looked: Default::default(),
    };
    for (name, row) in &view.machines {
        if row.machine.stage == Stage::Use && row.machine.silent.is_none() {
            let ready = match row.machine.up {
                Some(_) => seconds,
                None => ready(&memory.boots, &row.machine, types, &round.zones, seconds),
            };
            let times = (seconds, ready);
            let slot = slots::slot(view, name, row, types, &round.zones, times);
            slot.into_iter().for_each(|slot| round.slots.push(slot));
        }
    }
    for rental in view.rentals.values() {
        let Some(group) = types.types.iter().position(|t| t.name == rental.kind) else {
            continue;
        };
        let kind = &types.types[group];
        let Some(zone) = round.zones.iter().position(|z| **z == *rental.zone) else {
            continue;
        };
        let boots = memory.boots.fresh((group, zone), kind.boot_s);
        let ready = (rental.at as f64 / 1000.0 + boots).max(seconds + 1.0);
        let slot = Slot::new("".into(), group, kind, zone, rental.spot, ready);
        let all = std::iter::repeat_n(slot, rental.count as usize);
        all.for_each(|slot| round.slots.push(slot));
    }
    round.rent_from = round.slots.len();
    round
}

/// How machines boot, by those there are and those that were given up.
pub fn boots(
    view: &View,
    memory: &mut LeaderMemory,
    types: &Types,
    zones: &[Name],
    (now, report_s): (u64, f64),
) -> Boots {
    let seconds = now as f64 / 1000.0;
    let mut boots = Boots::new(seconds, report_s);
    for row in view.machines.values() {
        let machine = &row.machine;
        let Some((group, kind)) = booting(machine, types, zones) else {
            continue;
        };
        let rented = machine.rented as f64 / 1000.0;
        let until = machine.up.map_or(seconds, |up| up as f64 / 1000.0);
        let seen = Seen {
            rented,
            took: (until - rented).max(0.0),
            up: machine.up.is_some(),
        };
        boots.seen(group, kind.boot_s, seen);
    }
    memory
        .given_up
        .retain(|(_, nominal, seen)| seconds - seen.rented < 8.0 * nominal);
    for (group, nominal, seen) in &memory.given_up {
        boots.seen(*group, *nominal, *seen);
    }
    boots.settle();
    boots
}

/// The group that a machine boots with, and its type.
pub fn booting<'a>(
    machine: &Machine,
    types: &'a Types,
    zones: &[Name],
) -> Option<(Group, &'a MachineType)> {
    let zone = zones.iter().position(|z| *z == machine.zone)?;
    let kind = types.types.iter().position(|t| *t.name == *machine.kind)?;
    Some(((kind, zone), &types.types[kind]))
}

/// When one that boots should be up.
fn ready(boots: &Boots, machine: &Machine, types: &Types, zones: &[Name], now: f64) -> f64 {
    let left = booting(machine, types, zones).map_or(0.0, |(group, kind)| {
        boots.left(group, kind.boot_s, machine.rented as f64 / 1000.0)
    });
    now + left.max(1.0)
}

/// What may be rented now, and how much of it.
fn offers(
    view: &View,
    memory: &mut LeaderMemory,
    types: &Types,
    zones: &[Name],
    seconds: f64,
    uptime: f64,
) -> Vec<Offer> {
    // Machines of ours in each zone, and how many of them are silent.
    let mut ours: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for (block, machines) in &view.blocks {
        let there = ours.entry(zone_of(block)).or_default();
        there.0 += machines.len();
        there.1 += view.pulse(block).1;
    }
    let have = view.by_kind();
    let mut asked: BTreeMap<Kind, u32> = BTreeMap::new();
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
                let key = Kind::new(kind.name.as_str(), zones[zone].clone(), spot);
                let have = have.get(&key).copied().unwrap_or_default();
                memory.market.seen(&key, have);
                let asked = asked.get(&key).copied().unwrap_or_default();
                let left = memory.market.room(&key, have + asked, uptime, MAX_RENT);
                if left == 0 {
                    continue;
                }
                let ready = seconds + memory.boots.fresh((group, zone), kind.boot_s);
                out.push(Offer {
                    slot: Slot::new("".into(), group, kind, zone, spot, ready),
                    ours: all,
                    left,
                    taken: 0,
                });
            }
        }
    }
    out
}

/// What a rental asks for.
pub fn kind_of(rental: &Rental) -> Kind {
    Kind::new(rental.kind.as_str(), rental.zone.as_str(), rental.spot)
}

/// By how much dearer each group counts for each class. Where no zone has more
/// of a kind to rent, its machines should serve those for whom another kind would
/// be dearest: the others count them dearer by as much as they would lose less.
pub fn scarcity(
    view: &View,
    memory: &LeaderMemory,
    types: &Types,
) -> BTreeMap<String, Vec<[f64; 2]>> {
    const MOST: f64 = 4.0;
    let kinds = &types.types;
    let scarce = |group: usize, spot: bool| {
        let kind = &kinds[group];
        let key = |zone: &String| Kind::new(kind.name.as_str(), zone.as_str(), spot);
        kind.zones.iter().all(|z| memory.market.scarce(&key(z)))
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
        let amount = Amount::of_task(spec);
        let cost = |group: usize, spot: bool| {
            let kind = &kinds[group];
            let named = spec.types.as_ref().is_none_or(|t| t.contains(&kind.name));
            let price = match spot {
                true => kind.spot_price.filter(|_| spec.spot),
                false => Some(kind.price),
            };
            let fit = amount.times_in(&Amount::of_type(kind), u32::MAX);
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
