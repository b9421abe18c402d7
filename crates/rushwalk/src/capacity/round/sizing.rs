//! What to rent, and what to give back.

use crate::capacity::timelines;
use crate::leadership::leader::{LISTED, LeaderState, zone_of};
use crate::random;
use crate::view::{ClusterState, Name};
use rushwalk_protocol::cloud::MAX_RENT;
use rushwalk_protocol::jobs::Shape;
use rushwalk_protocol::records::{
    JobPhase, MachineLifecycle, MachineTypes, Mutation, RentalRequest,
};
use rushwalk_scheduler::capacity::{self, InstanceKind, Shortfall};
use rushwalk_scheduler::round::{PendingJob, SchedulingRound};
use rushwalk_scheduler::timeline::MachineTimeline;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Machines that the round found lacking: those beyond `waiting` are for what is
/// only expected. Not looked at in each round, so what was lacking for it last
/// time still is, unless it was `sized` anew.
pub fn lack(
    round: &SchedulingRound,
    types: &MachineTypes,
    waiting: usize,
    sized: bool,
    lacking: &mut BTreeMap<InstanceKind, Shortfall>,
) {
    for lack in lacking.values_mut() {
        lack.pending = 0;
        lack.total = if sized { 0 } else { lack.total };
    }
    let mut found: BTreeMap<InstanceKind, Shortfall> = BTreeMap::new();
    for (i, slot) in round.machines.iter().enumerate().skip(round.first_rental) {
        let name = types.types[slot.group].name.as_str();
        let kind = InstanceKind::new(name, round.zones[slot.zone].clone(), slot.spot);
        let lack = found.entry(kind).or_default();
        lack.total += 1;
        lack.pending += u32::from(i < waiting);
    }
    for (kind, now) in found {
        let lack = lacking.entry(kind).or_default();
        lack.pending = now.pending;
        lack.total = lack.total.max(now.total);
    }
    lacking.retain(|_, lack| lack.total > 0);
}

/// Rents what is lacking, as far as there are calls for it until the next round.
/// What was wished for beyond them used to stand in a queue of requests, many of
/// them for kinds refused meanwhile, in front of what was needed by then.
pub fn rent(
    memory: &mut LeaderState,
    (version, uptime): (u64, f64),
    most: usize,
    now: u64,
) -> Vec<Mutation> {
    let free = most.saturating_sub(memory.rentals_in_flight.len());
    let mut ops = Vec::new();
    for (kind, count) in capacity::calls(&mut memory.shortfall, free, MAX_RENT) {
        let rental = RentalRequest {
            machine_type: kind.machine_type.to_string(),
            zone: kind.zone.to_string(),
            spot: kind.spot,
            count,
            requested_ms: now,
        };
        tracing::info!(?rental, "renting");
        let request: Name = format!("r-{:x}", random::random_u64()).into();
        memory
            .unsent_rentals
            .insert(request.clone(), (version, uptime));
        ops.push(Mutation::RequestRental(request, rental));
    }
    ops
}

/// Drains machines that nothing needs, and deletes drained ones.
pub fn idle(
    view: &ClusterState,
    memory: &mut LeaderState,
    round: &SchedulingRound,
) -> Vec<Mutation> {
    let needed: BTreeSet<&str> = round
        .machines
        .iter()
        .filter(|s| s.tasks > 0)
        .map(|s| &*s.name)
        .collect();
    memory
        .idle_since
        .retain(|name, _| view.machines.contains_key(name) && !needed.contains(&**name));
    let mut stages: BTreeMap<MachineLifecycle, Vec<Name>> = BTreeMap::new();
    for (name, row) in &view.machines {
        if needed.contains(&**name) || !row.tasks.is_empty() {
            continue;
        }
        let stage = match row.record.lifecycle {
            MachineLifecycle::Draining => MachineLifecycle::Deleting,
            MachineLifecycle::Active if row.record.unreachable_since_ms.is_none() => {
                let since = *memory
                    .idle_since
                    .entry(name.clone())
                    .or_insert_with(Instant::now);
                let types = view.machine_types.iter().flat_map(|t| &t.types);
                let kind = types.clone().find(|t| *t.name == *row.record.machine_type);
                // It costs a boot to have it again.
                let hold = kind.map_or(60.0, |t| 0.5 * t.boot_s);
                if since.elapsed().as_secs_f64() < hold {
                    continue;
                }
                MachineLifecycle::Draining
            }
            _ => continue,
        };
        stages.entry(stage).or_default().push(name.clone());
    }
    let mut ops = Vec::new();
    for (stage, machines) in stages {
        tracing::info!(?stage, ?machines, "machines not needed");
        for some in machines.chunks(LISTED) {
            ops.push(Mutation::SetLifecycle(stage, some.to_vec()));
        }
    }
    ops
}

/// Machines that one round may empty at most, and the share above which a
/// machine is not worth it.
pub const EMPTIED: usize = 64;
const WELL_USED: f64 = 0.7;

/// Machines to do without, if what waits and is expected finds its places all
/// the same: the dearest for what is on them first. They are closed in the plan.
/// Batch tasks end where they are; services move, one machine's at a time, to
/// where their images are already. How many are tried doubles while it works.
pub fn shrink(
    view: &ClusterState,
    memory: &mut LeaderState,
    round: &mut SchedulingRound,
    types: &MachineTypes,
    now: u64,
) -> Vec<Name> {
    let shortest = types.types.iter().map(|t| t.boot_s).fold(60.0, f64::min);
    let wait = Duration::from_secs_f64(0.3 * shortest);
    let lately = |at: Option<Instant>| at.is_some_and(|at| at.elapsed() < wait);
    if lately(memory.scale_in_failed) {
        return Vec::new();
    }
    memory.scale_in_batch = memory.scale_in_batch.max(1);
    let mut candidates: Vec<(f64, usize)> = Vec::new();
    for (i, slot) in round.machines.iter().enumerate() {
        let Some(row) = view.machines.get(&slot.name) else {
            continue;
        };
        // What is planned for it beside its tasks must not be lost.
        let fixed = slot.up && slot.tasks > 0 && slot.tasks == row.tasks.len();
        let used = 1.0
            - slot
                .free_at(round.planned_time)
                .least_share_of(&slot.capacity);
        if fixed && used < WELL_USED {
            candidates.push((used / slot.price, i));
        }
    }
    candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut closed = Vec::new();
    for (_, i) in candidates.into_iter().take(2 * EMPTIED) {
        if closed.len() >= memory.scale_in_batch {
            break;
        }
        let name = round.machines[i].name.clone();
        let Some(row) = view.machines.get(&name) else {
            continue;
        };
        let Some(services) = leaving(view, row, types, now) else {
            continue;
        };
        if !services.is_empty() && lately(memory.service_moved) {
            continue;
        }
        let mut before: Vec<(usize, MachineTimeline)> = Vec::new();
        let fits = services.iter().all(|job| {
            let Some((to, finish)) = round.best_machine(job, true) else {
                return false;
            };
            let warm = finish.running_s <= round.planned_time + job.overhead_s + 0.1;
            let slot = &round.machines[to];
            let used = slot.tasks > 0;
            before.push((to, slot.clone()));
            round.machines.place(to, job, &finish);
            used && warm
        });
        if fits {
            round.machines.set_closed(i, true);
            if !services.is_empty() {
                memory.service_moved = Some(Instant::now());
            }
            closed.push(name);
        } else {
            for (to, slot) in before.into_iter().rev() {
                round.machines.restore(to, slot);
            }
        }
    }
    closed
}

/// A machine's services as if they waited; `None` if it should stay as it is:
/// gangs keep what they have, and what has just started is not disturbed.
pub fn leaving(
    view: &ClusterState,
    row: &crate::view::MachineState,
    types: &MachineTypes,
    now: u64,
) -> Option<Vec<PendingJob>> {
    let mut out = Vec::new();
    for (uid, index) in &row.tasks {
        let job = view.jobs.get(uid)?;
        let task = &job.tasks.get(index)?.record;
        let service = job.spec.shape == Shape::Service;
        let settled = task.started_ms.is_some_and(|ran| now > ran + SETTLED_MS);
        let open = job.phase == JobPhase::Active && task.stop_reason.is_none();
        if !open || job.spec.shape == Shape::Gang || (service && !settled) {
            return None;
        }
        if !service {
            continue;
        }
        let mut waiting = timelines::waiting(view, &job.spec, types);
        for (i, t) in &job.tasks {
            if i != index {
                waiting.tasks_per_zone.add(zone_of(&t.record.shard));
            }
        }
        waiting.avoided_machines = vec![task.machine.clone()?];
        out.push(waiting);
    }
    Some(out)
}

/// A start that is stopped within this time does not count for the users.
const SETTLED_MS: u64 = 30_000;
