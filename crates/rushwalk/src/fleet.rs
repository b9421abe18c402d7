//! One round of the leader: which waiting tasks start now and in which block,
//! what to rent, and what to give back.

use crate::leader::{LISTED, LeaderMemory, zone_of};
use crate::meter::Work;
use crate::node::{Node, lock, now_ms};
use crate::slots;
use crate::view::{Name, View};
use rushwalk_plan::Amount;
use rushwalk_plan::fleet;
use rushwalk_plan::quota::Usage;
use rushwalk_plan::round::{Decisions, Offer, Round, Waiting};
use rushwalk_plan::slot::Slot;
use rushwalk_plan::slots::Slots;
use rushwalk_plan::urgency::{Needs, start_by};
use rushwalk_wire::cloud::MAX_RENT;
use rushwalk_wire::jobs::{Priority, Shape};
use rushwalk_wire::records::{Op, Phase, Rental, Stage, StopWhy, Types};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Tasks planned in a round, for all jobs and for one; the rest comes next.
const PLANNED: usize = 3000;
const PLANNED_EACH: usize = 160;
/// Jobs planned before the others on this thread have their turn. On a busy
/// thread a turn comes late, so a round must not take many.
const AT_ONCE: usize = 16;

/// One round of placing and sizing.
pub async fn plan(node: &Node) -> Vec<Op> {
    let now = now_ms();
    let (mut round, waiting, types) = {
        let _turn = node.meter.turn(Work::Place);
        let mut view = node.view();
        let Some(types) = view.types.clone() else {
            return Vec::new();
        };
        let memory = lock(&node.leading);
        let mut round = machines(node, &view, &memory, &types, now);
        assigned(&view, &types, &mut round);
        let mut waiting = waiting(&mut view, now, node, &types);
        let scarce = scarcity(&view, &memory, &types);
        for job in &mut waiting {
            job.bias = scarce.get(&job.spec.class).cloned().unwrap_or_default();
        }
        (round, waiting, types)
    };
    let mut decisions = Decisions::default();
    for some in waiting.chunks(AT_ONCE) {
        let turn = node.meter.turn(Work::Place);
        let some = round.run(some);
        drop(turn);
        decisions.placed.extend(some.placed);
        decisions.waits.extend(some.waits);
        yield_now().await;
    }
    let mut ops = {
        let _turn = node.meter.turn(Work::Place);
        let view = node.view();
        let mut memory = lock(&node.leading);
        let mut ops = assign(&view, &round, &decisions, now);
        memory.waits = decisions.waits.into_iter().collect();
        ops.extend(overdue(&view, &mut memory, &mut round, &types, now));
        ops
    };
    tell(&round, &types);
    // The fleet is sized by what is expected in every third round only: a plan
    // of many jobs, most of which come out as they did a moment ago.
    let due = {
        let mut memory = lock(&node.leading);
        let due = memory
            .sized
            .is_none_or(|at| at.elapsed() > node.times.round * 5 / 2);
        if due {
            memory.sized = Some(Instant::now());
        }
        due
    };
    if !due {
        ops.extend(rent(&round, &types, now));
        return ops;
    }
    let expected = {
        let _turn = node.meter.turn(Work::Size);
        let view = node.view();
        let scarce = scarcity(&view, &lock(&node.leading), &types);
        let mut expected = spare(&view, node, &types, now);
        for (_, job) in &mut expected {
            job.bias = scarce.get(&job.spec.class).cloned().unwrap_or_default();
        }
        expected
    };
    let missing = round.slots.len() > round.rent_from;
    // Would fewer machines do, for what waits and what is expected?
    let turn = node.meter.turn(Work::Size);
    let mut closed = match missing {
        true => Vec::new(),
        false => shrink(
            &node.view(),
            &mut lock(&node.leading),
            &mut round,
            &types,
            now,
        ),
    };
    drop(turn);
    let before = (!closed.is_empty()).then(|| round.slots.clone());
    let late = expect(node, &mut round, &expected).await;
    if let Some(before) = before {
        // Not more may be late than were with all machines, but for a few.
        let all: usize = expected.iter().map(|(_, job)| job.indexes.len()).sum();
        let allowed = lock(&node.leading).late + all / 50;
        let enough = round.slots.len() == round.rent_from && late <= allowed;
        let again = {
            let mut memory = lock(&node.leading);
            memory.shrinking = match enough {
                true => (memory.shrinking * 2).min(EMPTIED),
                false => (memory.shrinking / 2).max(1),
            };
            if !enough {
                memory.shrunk = Some(Instant::now());
            }
            !enough
        };
        if again {
            // Not without them: planned once more, with all.
            round.slots = before;
            (0..round.slots.len()).for_each(|i| round.slots.close(i, false));
            closed.clear();
            lock(&node.leading).late = expect(node, &mut round, &expected).await;
        }
    } else {
        lock(&node.leading).late = late;
    }
    let _turn = node.meter.turn(Work::Size);
    let rent = rent(&round, &types, now);
    let view = node.view();
    let mut memory = lock(&node.leading);
    ops.extend(idle(&view, &mut memory, &round));
    if !closed.is_empty() {
        tracing::info!(machines = ?closed, "machines emptied");
        ops.push(Op::Stage(Stage::Drain, closed));
    }
    ops.extend(rent);
    ops
}

/// How the fleet is used, for whoever follows the log.
fn tell(round: &Round, types: &Types) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let mut groups: BTreeMap<(usize, bool), (usize, usize, usize, f64)> = BTreeMap::new();
    for slot in round.slots.iter() {
        let group = groups.entry((slot.group, slot.spot)).or_default();
        group.0 += 1;
        group.1 += usize::from(slot.up);
        group.2 += usize::from(slot.tasks == 0);
        group.3 += 1.0 - slot.free_at(round.now).least_share_of(&slot.whole);
    }
    for ((kind, spot), (all, up, idle, used)) in groups {
        let kind = &types.types[kind].name;
        tracing::debug!(kind, spot, all, up, idle, used, "fleet");
    }
}

/// Plans what is expected, each job for its time; how many tasks would wait.
async fn expect(node: &Node, round: &mut Round<'_>, expected: &[(f64, Waiting)]) -> usize {
    let mut late = 0;
    for some in expected.chunks(AT_ONCE) {
        let turn = node.meter.turn(Work::Size);
        for (at, job) in some {
            round.now = round.clock + at;
            let decisions = round.run(std::slice::from_ref(job));
            late += job.indexes.len() - decisions.placed.len();
        }
        drop(turn);
        yield_now().await;
    }
    round.now = round.clock;
    late
}

/// The machines there are, and those under way.
fn machines<'a>(
    node: &'a Node,
    view: &View,
    memory: &LeaderMemory,
    types: &Types,
    now: u64,
) -> Round<'a> {
    let seconds = now as f64 / 1000.0;
    let zones = slots::zones(types, &node.settings.site);
    let mut round = Round {
        now: seconds,
        clock: seconds,
        slots: Slots::new(seconds, view.machines.len() + 64),
        offers: offers(view, memory, types, &zones, seconds),
        zones,
        teams: &node.settings.site.teams,
        usage: Usage::default(),
        tie_s: node.times.tie.as_secs_f64(),
        rent_from: usize::MAX,
    };
    for (name, row) in &view.machines {
        if row.machine.stage == Stage::Use && row.machine.silent.is_none() {
            let slot = slots::slot(view, name, row, types, &round.zones, seconds);
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
        let ready = (rental.at as f64 / 1000.0 + BOOT * kind.boot_s).max(seconds + 1.0);
        let slot = Slot::new("".into(), group, kind, zone, rental.spot, ready);
        let all = std::iter::repeat_n(slot, rental.count as usize);
        all.for_each(|slot| round.slots.push(slot));
    }
    round.rent_from = round.slots.len();
    round
}

/// Booting takes this many times the nominal boot time.
const BOOT: f64 = 1.1;

fn offers(
    view: &View,
    memory: &LeaderMemory,
    types: &Types,
    zones: &[Name],
    seconds: f64,
) -> Vec<Offer> {
    let now = Instant::now();
    // Machines of ours in each zone, and how many of them are silent.
    let mut ours: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for (block, machines) in &view.blocks {
        let there = ours.entry(zone_of(block)).or_default();
        there.0 += machines.len();
        there.1 += view.pulse(block).1;
    }
    let mut out = Vec::new();
    for (group, kind) in types.types.iter().enumerate() {
        for zone in &kind.zones {
            let (all, silent) = ours.get(zone.as_str()).copied().unwrap_or_default();
            if silent > 2 && silent * 2 > all {
                // A zone that is cut off: what is rented there is so too.
                continue;
            }
            for spot in [true, false] {
                if spot && kind.spot_price.is_none() {
                    continue;
                }
                let key = (kind.name.clone(), zone.clone(), spot);
                let refused = memory.refused.get(&key);
                if refused.is_some_and(|(until, _)| now < *until) {
                    continue;
                }
                let Some(zone) = zones.iter().position(|z| **z == **zone) else {
                    continue;
                };
                let ready = seconds + kind.boot_s * BOOT;
                out.push(Offer {
                    slot: Slot::new("".into(), group, kind, zone, spot, ready),
                    ours: all,
                });
            }
        }
    }
    out
}

/// By how much dearer each group counts for each class. Where no zone has more
/// of a kind to rent, its machines should serve those for whom another kind would
/// be dearest: the others count them dearer by as much as they would lose less.
fn scarcity(view: &View, memory: &LeaderMemory, types: &Types) -> BTreeMap<String, Vec<[f64; 2]>> {
    const MOST: f64 = 4.0;
    let kinds = &types.types;
    let scarce = |group: usize, spot: bool| {
        let kind = &kinds[group];
        let key = |zone: &String| (kind.name.clone(), zone.clone(), spot);
        kind.zones
            .iter()
            .all(|z| memory.refused.contains_key(&key(z)))
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

/// Counts live tasks into the usage, and plans room for those that their
/// holder has not placed yet.
fn assigned(view: &View, types: &Types, round: &mut Round) {
    for uid in &view.live {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let amount = Amount::of_task(&job.spec);
        for _ in &job.tasks {
            round.usage.add(&job.spec.team, amount);
        }
    }
    let mut last: Option<(&Name, Waiting)> = None;
    for (uid, index) in &view.unplaced {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let Some(hint) = job.tasks.get(index).and_then(|t| t.task.hint.as_ref()) else {
            continue;
        };
        let waiting = match &last {
            Some((name, waiting)) if *name == uid => waiting,
            _ => {
                let waiting = slots::waiting(view, &job.spec, types);
                &last.insert((uid, waiting)).1
            }
        };
        // Machines come in the order of their names.
        let at = round
            .slots
            .partition_point(|s| !s.name.is_empty() && s.name < *hint);
        if let Some(slot) = round.slots.get(at).filter(|s| s.name == *hint)
            && let Some(finish) = slot.finish(waiting, round.now)
        {
            round.slots.place(at, waiting, &finish);
        }
    }
}

/// Jobs with tasks that have no place, in order.
fn waiting(view: &mut View, now: u64, node: &Node, types: &Types) -> Vec<Waiting> {
    let site = &node.settings.site;
    // Of all unfinished jobs in order of arrival, per team: a job is within
    // its guarantee if it fits into it together with the earlier ones.
    let mut unfinished = Usage::default();
    let mut by_arrival: Vec<(u64, &Name)> = view.active.iter().map(|a| (a.1, &a.2)).collect();
    by_arrival.sort_unstable();
    let mut order: Vec<(Priority, f64, u64, Name)> = Vec::new();
    for (_, uid) in by_arrival {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let spec = &job.spec;
        let amount = Amount::of_task(spec);
        let n = f64::from(spec.tasks);
        let all = Amount {
            cpus: amount.cpus * n,
            gpus: amount.gpus * n,
            memory_gb: 0.0,
        };
        let team = site.teams.iter().find(|t| t.name == spec.team);
        let guaranteed = team.is_some_and(|t| unfinished.guaranteed(t, all));
        unfinished.add(&spec.team, all);
        if job.tasks.len() as u32 + job.done.count() >= spec.tasks {
            continue;
        }
        // As if on a machine without its image: the type is not known yet.
        let kind = types.types.first();
        let needs = Needs {
            fetch_s: kind.map_or(0.0, |k| {
                view.averages
                    .fetch_time(spec.image_gb, &k.name, k.fetch_gb_per_s)
            }),
            run_s: kind.map_or(0.0, |k| view.averages.run_time(spec, &k.name)),
            guaranteed,
        };
        let at = job.at as f64 / 1000.0;
        let by = start_by(spec, at, now as f64 / 1000.0, needs, &site.objectives);
        order.push((spec.priority, by, job.at, uid.clone()));
    }
    order.sort_by(|a, b| {
        (a.0.cmp(&b.0))
            .then(a.1.total_cmp(&b.1))
            .then(a.2.cmp(&b.2))
    });
    let mut out: Vec<Waiting> = Vec::new();
    let mut planned = 0;
    for (_, _, _, uid) in order {
        let Some(job) = view.jobs.get(&uid) else {
            continue;
        };
        let spec = job.spec.clone();
        if spec.shape == Shape::Gang && !job.tasks.is_empty() {
            continue;
        }
        // A job that fails wherever it runs is tried ever more rarely.
        let trouble = &job.trouble;
        let pause = 1000u64 << trouble.count.min(6);
        if trouble.count > 1 && now < trouble.last + pause {
            continue;
        }
        let most = match spec.shape {
            Shape::Gang => spec.tasks as usize,
            _ => PLANNED_EACH,
        };
        let mut waiting = slots::waiting(view, &spec, types);
        for t in job.tasks.values() {
            let machine = t.task.machine.as_ref().and_then(|m| view.machines.get(m));
            let zone = machine.map(|m| &*m.machine.zone);
            waiting
                .places
                .add(zone.unwrap_or_else(|| zone_of(&t.task.block)));
        }
        // After failing in many places it may as well be tried anywhere.
        if trouble.machines.len() <= 3 {
            waiting.avoid = trouble.machines.clone();
        }
        waiting.indexes = view.waiting(&uid, most);
        if waiting.indexes.is_empty() {
            continue;
        }
        planned += waiting.indexes.len();
        out.push(waiting);
        if planned > PLANNED {
            break;
        }
    }
    out
}

/// Gives tasks that can start now to the blocks of their machines.
fn assign(view: &View, round: &Round, decisions: &Decisions, now: u64) -> Vec<Op> {
    let mut ops = Vec::new();
    for placed in decisions.placed.chunk_by(|a, b| a.uid == b.uid) {
        let Some((uid, job)) = view.jobs.get_key_value(&*placed[0].uid) else {
            continue;
        };
        let mut to: BTreeMap<Name, Vec<(u32, Name)>> = BTreeMap::new();
        for one in placed {
            let slot = &round.slots[one.slot];
            let task = (one.index, slot.name.clone());
            to.entry(slot.block.clone()).or_default().push(task);
        }
        if job.spec.shape == Shape::Gang {
            tracing::info!(job = &**uid, tasks = placed.len(), "gang assigned");
        }
        ops.push(Op::Assign(uid.clone(), now, to.into_iter().collect()));
    }
    ops
}

/// A task that runs this many times its predicted time is overdue (§4.4).
const OVERDUE: f64 = 2.0;

/// Stops overdue batch tasks that would be finished sooner elsewhere, each at
/// most once. Not while its job's run time is unknown: a wrong guess is not a
/// slow machine. Each restart takes a place of its own in the plan, so that the
/// tasks of one machine, whose times run out together, don't pile up.
fn overdue(
    view: &View,
    memory: &mut LeaderMemory,
    round: &mut Round,
    types: &Types,
    now: u64,
) -> Vec<Op> {
    let mut ops = Vec::new();
    let seconds = now as f64 / 1000.0;
    memory
        .restarted
        .retain(|(uid, _)| view.jobs.get(uid).is_some_and(|j| j.phase == Phase::Active));
    for uid in &view.live {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let spec = &job.spec;
        if job.phase != Phase::Active || spec.shape != Shape::Array {
            continue;
        }
        for (index, t) in &job.tasks {
            let (Some(ran), Some(machine), None) = (t.task.ran, &t.task.machine, t.task.stop)
            else {
                continue;
            };
            let elapsed = seconds - ran as f64 / 1000.0;
            // The shortest there are last a while: most are not looked up.
            if elapsed < 10.0 {
                continue;
            }
            let Some(row) = view.machines.get(machine) else {
                continue;
            };
            let kind = &row.machine.kind;
            let run = view.averages.run_time(spec, kind);
            if elapsed < OVERDUE * run {
                continue;
            }
            let name = (uid.clone(), *index);
            let known = view.averages.knows(uid, kind) || row.slow() > OVERDUE;
            if !known || memory.restarted.contains(&name) {
                continue;
            }
            let mut probe = slots::waiting(view, spec, types);
            probe.avoid.push(machine.clone());
            let Some((i, finish)) = round.best(&probe, true) else {
                continue;
            };
            round.slots.place(i, &probe, &finish);
            memory.restarted.insert(name);
            tracing::info!(
                job = &**uid,
                index,
                machine = &**machine,
                elapsed,
                run,
                "overdue task restarted"
            );
            let stop = Op::Stop(uid.clone(), t.task.attempt, StopWhy::Overdue, vec![*index]);
            ops.push(stop);
            if ops.len() >= LISTED {
                return ops;
            }
        }
    }
    ops
}

/// Arrivals to be expected while a machine would boot: planned in the same
/// way, so that they find one that is warm.
fn spare(view: &View, node: &Node, types: &Types, now: u64) -> Vec<(f64, Waiting)> {
    const BUCKETS: usize = 5;
    let mut out = Vec::new();
    let mut classes: Vec<_> = view
        .arrivals
        .values()
        .filter_map(|times| Some((times, times.back()?.1.clone())))
        .collect();
    classes.sort_by_key(|(_, spec)| (spec.priority, spec.class.clone()));
    for (times, spec) in classes {
        let span = 30_000;
        let first = times.front().map_or(now, |t| t.0);
        let known = (now.saturating_sub(first) / span + 1).min(BUCKETS as u64) as usize;
        let mut buckets = vec![0u32; known];
        for (at, _) in times {
            let age = (now.saturating_sub(*at) / span) as usize;
            if let Some(n) = buckets.get_mut(age) {
                *n += 1;
            }
        }
        let slowest = types.types.iter().fold(0.0, |a, t| {
            let allowed = spec.types.as_ref().is_none_or(|n| n.contains(&t.name));
            match allowed && Amount::of_task(&spec).fits(&Amount::of_type(t)) {
                true => f64::max(a, t.boot_s),
                false => a,
            }
        });
        let rate = fleet::rate(&buckets, span as f64 / 1000.0);
        // Who only has to finish by a time can wait a little for a heap's end.
        let aims = &node.settings.site.objectives;
        let hurried = aims
            .iter()
            .any(|a| a.kind == "wait" && a.class == spec.class);
        let z = match spec.priority {
            Priority::Production | Priority::High => 1.5,
            _ if hurried => 1.0,
            _ => 0.0,
        };
        let latest = times.iter().rev().cycle();
        for (at, (_, spec)) in fleet::arrivals(rate, slowest, z).into_iter().zip(latest) {
            let mut phantom = slots::waiting(view, spec, types);
            phantom.indexes = (0..spec.tasks.min(PLANNED_EACH as u32)).collect();
            // What is expected is no reason to go beyond a team's limit.
            out.push((at, phantom));
        }
    }
    out.extend(returning(view, node, types, now));
    out.sort_by(|a, b| a.0.total_cmp(&b.0));
    out
}

/// Services on silent machines that may have to start anew when the leases have
/// run out: a place is made ready for them while a machine would boot.
fn returning(view: &View, node: &Node, types: &Types, now: u64) -> Vec<(f64, Waiting)> {
    let times = &node.times;
    let last = (times.lease + times.loan).saturating_sub(times.silent);
    let lead = types.types.iter().map(|t| t.boot_s).fold(0.0, f64::max) * 1.5;
    let mut jobs: BTreeMap<&Name, (f64, Vec<u32>)> = BTreeMap::new();
    for row in view.machines.values() {
        let Some(silent) = row.machine.silent else {
            continue;
        };
        let until = silent as f64 / 1000.0 + last.as_secs_f64() - now as f64 / 1000.0;
        if until > lead {
            continue;
        }
        for (uid, index) in &row.tasks {
            let job = view.jobs.get(uid).filter(|j| j.phase == Phase::Active);
            if job.is_some_and(|j| j.spec.shape == Shape::Service) {
                let entry = jobs.entry(uid).or_insert((until.max(0.0), Vec::new()));
                entry.1.push(*index);
            }
        }
    }
    let mut out = Vec::new();
    for (uid, (until, tasks)) in jobs {
        if let Some(job) = view.jobs.get(uid) {
            let mut waiting = slots::waiting(view, &job.spec, types);
            waiting.indexes = tasks;
            out.push((until, waiting));
        }
    }
    out
}

/// Rents what the round found lacking.
fn rent(round: &Round, types: &Types, now: u64) -> Vec<Op> {
    let mut wanted: BTreeMap<(usize, usize, bool), u32> = BTreeMap::new();
    for slot in round.slots.iter().skip(round.rent_from) {
        *wanted
            .entry((slot.group, slot.zone, slot.spot))
            .or_default() += 1;
    }
    let mut ops = Vec::new();
    for ((kind, zone, spot), mut count) in wanted {
        while count > 0 {
            let some = count.min(MAX_RENT);
            count -= some;
            let rental = Rental {
                kind: types.types[kind].name.clone(),
                zone: round.zones[zone].to_string(),
                spot,
                count: some,
                at: now,
            };
            tracing::info!(?rental, "renting");
            let request = format!("r-{:x}", rand::random::<u64>());
            ops.push(Op::Rent(request.into(), rental));
        }
    }
    ops
}

/// Drains machines that nothing needs, and deletes drained ones.
fn idle(view: &View, memory: &mut LeaderMemory, round: &Round) -> Vec<Op> {
    let needed: BTreeSet<&str> = round
        .slots
        .iter()
        .filter(|s| s.tasks > 0)
        .map(|s| &*s.name)
        .collect();
    memory
        .idle
        .retain(|name, _| view.machines.contains_key(name) && !needed.contains(&**name));
    let mut stages: BTreeMap<Stage, Vec<Name>> = BTreeMap::new();
    for (name, row) in &view.machines {
        if needed.contains(&**name) || !row.tasks.is_empty() {
            continue;
        }
        let stage = match row.machine.stage {
            Stage::Drain => Stage::Delete,
            Stage::Use if row.machine.silent.is_none() => {
                let since = *memory.idle.entry(name.clone()).or_insert_with(Instant::now);
                let types = view.types.iter().flat_map(|t| &t.types);
                let kind = types.clone().find(|t| *t.name == *row.machine.kind);
                // It costs a boot to have it again.
                let hold = kind.map_or(60.0, |t| 0.5 * t.boot_s);
                if since.elapsed().as_secs_f64() < hold {
                    continue;
                }
                Stage::Drain
            }
            _ => continue,
        };
        stages.entry(stage).or_default().push(name.clone());
    }
    let mut ops = Vec::new();
    for (stage, machines) in stages {
        tracing::info!(?stage, ?machines, "machines not needed");
        for some in machines.chunks(LISTED) {
            ops.push(Op::Stage(stage, some.to_vec()));
        }
    }
    ops
}

/// Machines that one round may empty at most, and the share above which a
/// machine is not worth it.
const EMPTIED: usize = 64;
const WELL_USED: f64 = 0.7;

/// Machines to do without, if what waits and is expected finds its places all
/// the same: the dearest for what is on them first. They are closed in the plan.
/// Batch tasks end where they are; services move, one machine's at a time, to
/// where their images are already. How many are tried doubles while it works.
fn shrink(
    view: &View,
    memory: &mut LeaderMemory,
    round: &mut Round,
    types: &Types,
    now: u64,
) -> Vec<Name> {
    let shortest = types.types.iter().map(|t| t.boot_s).fold(60.0, f64::min);
    let wait = Duration::from_secs_f64(0.3 * shortest);
    let lately = |at: Option<Instant>| at.is_some_and(|at| at.elapsed() < wait);
    if lately(memory.shrunk) {
        return Vec::new();
    }
    memory.shrinking = memory.shrinking.max(1);
    let mut candidates: Vec<(f64, usize)> = Vec::new();
    for (i, slot) in round.slots.iter().enumerate() {
        let Some(row) = view.machines.get(&slot.name) else {
            continue;
        };
        // What is planned for it beside its tasks must not be lost.
        let fixed = slot.up && slot.tasks > 0 && slot.tasks == row.tasks.len();
        let used = 1.0 - slot.free_at(round.now).least_share_of(&slot.whole);
        if fixed && used < WELL_USED {
            candidates.push((used / slot.price, i));
        }
    }
    candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut closed = Vec::new();
    for (_, i) in candidates.into_iter().take(2 * EMPTIED) {
        if closed.len() >= memory.shrinking {
            break;
        }
        let name = round.slots[i].name.clone();
        let Some(row) = view.machines.get(&name) else {
            continue;
        };
        let Some(services) = leaving(view, row, types, now) else {
            continue;
        };
        if !services.is_empty() && lately(memory.gathered) {
            continue;
        }
        let mut before: Vec<(usize, Slot)> = Vec::new();
        let fits = services.iter().all(|job| {
            let Some((to, finish)) = round.best(job, true) else {
                return false;
            };
            let warm = finish.runs <= round.now + job.overhead_s + 0.1;
            let slot = &round.slots[to];
            let used = slot.tasks > 0;
            before.push((to, slot.clone()));
            round.slots.place(to, job, &finish);
            used && warm
        });
        if fits {
            round.slots.close(i, true);
            if !services.is_empty() {
                memory.gathered = Some(Instant::now());
            }
            closed.push(name);
        } else {
            for (to, slot) in before.into_iter().rev() {
                round.slots.put(to, slot);
            }
        }
    }
    closed
}

/// A machine's services as if they waited; `None` if it should stay as it is:
/// gangs keep what they have, and what has just started is not disturbed.
fn leaving(
    view: &View,
    row: &crate::view::MachineRow,
    types: &Types,
    now: u64,
) -> Option<Vec<Waiting>> {
    let mut out = Vec::new();
    for (uid, index) in &row.tasks {
        let job = view.jobs.get(uid)?;
        let task = &job.tasks.get(index)?.task;
        let service = job.spec.shape == Shape::Service;
        let settled = task.ran.is_some_and(|ran| now > ran + SETTLED_MS);
        let open = job.phase == Phase::Active && task.stop.is_none();
        if !open || job.spec.shape == Shape::Gang || (service && !settled) {
            return None;
        }
        if !service {
            continue;
        }
        let mut waiting = slots::waiting(view, &job.spec, types);
        for (i, t) in &job.tasks {
            if i != index {
                waiting.places.add(zone_of(&t.task.block));
            }
        }
        waiting.avoid = vec![task.machine.clone()?];
        out.push(waiting);
    }
    Some(out)
}

/// A start that is stopped within this time does not count for the users.
const SETTLED_MS: u64 = 30_000;
