//! The leader's work: lending blocks, giving waiting tasks to a block within
//! the teams' limits, and sizing the fleet. Every commit is conditioned on the
//! version of the leader key.

use crate::node::{For, Node, lock, now_ms};
use crate::slots;
use crate::view::View;
use rushwalk_clients::state::Outcome;
use rushwalk_plan::Amount;
use rushwalk_plan::fleet;
use rushwalk_plan::quota::{Places, Usage};
use rushwalk_plan::round::{Decisions, Offer, Round, Waiting};
use rushwalk_plan::slot::Slot;
use rushwalk_plan::urgency::{Needs, start_by};
use rushwalk_wire::cloud::{ListedState, MAX_DELETE, MachineType, RentRequest};
use rushwalk_wire::jobs::{Priority, Shape};
use rushwalk_wire::records::{self as rec, LEADER, MachineStage, Phase, StopWhy};
use rushwalk_wire::state::Transaction;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// What a leader remembers; a new one starts with nothing.
#[derive(Default)]
pub struct LeaderMemory {
    pub nonce: Option<u64>,
    /// A commit of ours was not answered: it may come late, until the leader
    /// key is rewritten.
    pub uncertain: bool,
    /// Kinds of machine that were refused: until when, and how often in a row.
    refused: HashMap<(String, String, bool), (Instant, u32)>,
    idle: HashMap<String, Instant>,
    /// The machine that the plan had in mind for an assigned task.
    hints: HashMap<(String, u32), String>,
    pub waits: BTreeMap<String, &'static str>,
    /// When a machine was last emptied for want of use.
    gathered: Option<Instant>,
    /// When a block was last taken from a holder that was cut off.
    moved: HashMap<String, Instant>,
    /// Tasks restarted once because they were overdue.
    restarted: BTreeSet<(String, u32)>,
    /// Rentals whose request is under way.
    asking: BTreeSet<String>,
    /// Deleted machines, which the late list still shows for a while.
    gone: HashMap<String, Instant>,
}

/// Tasks planned in a round, for all jobs and for one.
const PLANNED: usize = 400;
const PLANNED_EACH: usize = 64;

pub async fn leader_loop(node: Arc<Node>) {
    let mut changed = node.changed.subscribe();
    let gap = node.times.round / 8;
    loop {
        let _ = timeout(node.times.round, changed.changed()).await;
        changed.mark_unchanged();
        let leading = {
            let view = node.view();
            node.leadership(&view)
        };
        let uncertain = lock(&node.leading).uncertain;
        if let Some(version) = leading
            && !uncertain
        {
            round(&node, version).await;
        }
        sleep(gap).await;
    }
}

/// Commits under our leadership; false if it should not go on this round.
async fn commit(node: &Node, txn: Transaction, whom: For) -> bool {
    match node.commit(txn, whom).await {
        Outcome::Done(_) => true,
        Outcome::Unknown(_) => {
            // It may come late: rewrite the leader key before all else.
            lock(&node.leading).uncertain = true;
            node.fresh_wanted.notify_one();
            false
        }
        _ => false,
    }
}

async fn round(node: &Arc<Node>, version: u64) {
    for txn in lend(node, version) {
        if !commit(node, txn, For::Work).await {
            return;
        }
    }
    for txn in upkeep(node, version) {
        if !commit(node, txn, For::Work).await {
            return;
        }
    }
    let (assign, rent, stages) = plan(node, version);
    for txn in assign.into_iter().chain(rent) {
        if !commit(node, txn, For::Work).await {
            return;
        }
    }
    for txn in stages {
        if !commit(node, txn, For::Upkeep).await {
            return;
        }
    }
}

/// Lends blocks: to their zone's controller where it lives, else to the
/// living one with the fewest.
fn lend(node: &Node, version: u64) -> Vec<Transaction> {
    let view = node.view();
    let mut blocks: BTreeSet<(String, String)> = node
        .settings
        .site
        .zones
        .iter()
        .map(|z| (z.clone(), z.clone()))
        .collect();
    for row in view.machines.values() {
        blocks.insert((row.machine.block.clone(), row.machine.zone.clone()));
    }
    let mut load: BTreeMap<&String, usize> = view.members.keys().map(|m| (m, 0)).collect();
    for (_, grant) in view.grants.values() {
        if let Some(n) = load.get_mut(&grant.holder) {
            *n += 1;
        }
    }
    let now = now_ms();
    // A member that has just come back gets its zone after a while only.
    let settled = node.times.member.as_millis() as u64;
    let mut txns = Vec::new();
    for (block, zone) in blocks {
        let grant = view.grants.get(&block);
        let valid = grant.is_some_and(|(_, g)| {
            let member = view.members.get(&g.holder);
            member.is_some_and(|m| m.nonce == g.nonce)
        });
        let at_home = grant
            .and_then(|(_, g)| view.members.get(&g.holder))
            .is_some_and(|m| m.zone == zone);
        let home = view.members.iter().find(|(_, m)| m.zone == zone);
        // A holder that hears nothing of most of its machines is cut off from
        // them: another may reach them. Not twice within the silence.
        let cut = valid && mostly_silent(&view, &block);
        let mut moved = lock(&node.leading);
        let lately = moved
            .moved
            .get(&block)
            .is_some_and(|at| at.elapsed() < node.times.silent * 3);
        if cut && !lately {
            let holder = grant.map(|(_, g)| g.holder.clone());
            let others = view.members.keys().filter(|m| Some(*m) != holder.as_ref());
            if let Some(to) = others.min_by_key(|m| load.get(m).copied().unwrap_or(0)) {
                moved.moved.insert(block.clone(), Instant::now());
                drop(moved);
                txns.extend(give(&view, &block, to, version));
            }
            continue;
        }
        drop(moved);
        if lately && valid {
            continue;
        }
        let to = match home {
            Some((name, m)) if !valid || (!at_home && now > m.since_ms + settled) => name.clone(),
            _ if valid => continue,
            _ => match load.iter().min_by_key(|(_, n)| **n) {
                Some((name, _)) => name.to_string(),
                None => continue,
            },
        };
        if let Some(n) = load.get_mut(&to) {
            *n += 1;
        }
        txns.extend(give(&view, &block, &to, version));
    }
    txns
}

fn give(view: &View, block: &str, to: &str, version: u64) -> Option<Transaction> {
    let member = view.members.get(to)?;
    tracing::info!(block, to, "block lent");
    let key = rec::grant_key(block);
    let grant = rec::Grant {
        holder: to.to_string(),
        nonce: member.nonce,
    };
    let txn = Transaction::default().when(LEADER, version);
    Some(txn.when(&key, view.version(&key)).put(&key, &grant))
}

/// Broken gangs, assignments that no holder took up, machines to be given up.
fn upkeep(node: &Node, version: u64) -> Vec<Transaction> {
    let view = node.view();
    let now = now_ms();
    let ops = node.settings.site.state.txn_ops;
    let mut writes: Vec<Transaction> = Vec::new();
    let stuck = (2.0 * node.settings.site.workers.report_s * 1000.0) as u64;
    for uid in &view.live {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let spec = &job.job.spec;
        let active = job.job.phase == Phase::Active;
        let missing = (job.tasks.len() as u32) < spec.tasks;
        let started = job.tasks.values().any(|t| t.task.machine.is_some());
        let broken = spec.shape == Shape::Gang && active && missing && started;
        let stopping = job.tasks.values().any(|t| t.task.stop.is_some());
        for (index, t) in &job.tasks {
            let key = rec::task_key(uid, *index);
            let unit = Transaction::default().when(&key, t.version);
            let unplaced = t.task.machine.is_none() && now > t.task.at + stuck;
            let machine = t.task.machine.as_ref();
            if machine.is_some_and(|m| !view.machines.contains_key(m)) {
                // Its machine's record went after the deletion was confirmed;
                // this placement had not reached us by then.
                writes.push(unit.delete(&key));
                continue;
            }
            if unplaced && !stopping {
                // Its holder found no room, or is gone: back to the waiting.
                writes.push(unit.delete(&key));
                continue;
            }
            if t.task.stop.is_some() || !active {
                continue;
            }
            let why = if broken || (stopping && spec.shape == Shape::Gang) {
                Some(StopWhy::Gang)
            } else if drains(&view, job, t, now) {
                Some(StopWhy::Drain)
            } else {
                None
            };
            if why.is_some() {
                let task = rec::Task {
                    stop: why,
                    ..t.task.clone()
                };
                writes.push(unit.put(&key, &task));
            }
        }
    }
    for (name, row) in &view.machines {
        if let Some(why) = give_up(node, &view, name, now)
            && row.machine.stage != MachineStage::Delete
        {
            tracing::info!(machine = name, why, "machine given up");
            let machine = rec::Machine {
                stage: MachineStage::Delete,
                ..row.machine.clone()
            };
            let key = rec::machine_key(name);
            let txn = Transaction::default().when(&key, row.version);
            writes.push(txn.put(&key, &machine));
        }
    }
    batch(writes, version, ops)
}

/// Whether a task should leave its machine, which is being taken back: one
/// that saves, a service, and what would not be finished in time. Others stay.
fn drains(view: &View, job: &crate::view::JobRow, t: &crate::view::TaskRow, now: u64) -> bool {
    let spec = &job.job.spec;
    let machine = t.task.machine.as_ref().and_then(|m| view.machines.get(m));
    let Some(row) = machine.filter(|m| m.machine.stage == MachineStage::Drain) else {
        return false;
    };
    if spec.shape == Shape::Service || spec.checkpoint_s > 0.0 {
        return true;
    }
    row.machine.taken.is_some_and(|taken| {
        let end = slots::predicted_end(view, job, t, row, now as f64 / 1000.0);
        end > taken as f64 / 1000.0
    })
}

/// Why a machine is to be deleted at once, whatever is on it.
fn give_up(node: &Node, view: &View, name: &str, now: u64) -> Option<&'static str> {
    let row = view.machines.get(name)?;
    let m = &row.machine;
    let types = view.types.as_ref()?;
    let kind = types.types.iter().find(|t| t.name == m.kind)?;
    if m.up.is_none() {
        // Some take several times as long; a few never come up.
        let limit = (4.0 * kind.boot_s * 1000.0) as u64;
        return (now > m.rented + limit).then_some("it never came up");
    }
    if let Some(taken) = m.taken
        && now > taken + node.times.report.as_millis() as u64
    {
        // Its notice has run out: it is gone, or will be in a moment.
        return Some("it was taken back");
    }
    let silent = m.silent?;
    // Spot machines that fall silent were mostly taken without notice. Others
    // rarely die, and so do whole blocks: that is rather a cut, behind which
    // the tasks go on until the worker's lease runs out. Then all is lost
    // anyway; a little earlier is the better guess for services.
    let patience = match m.spot && !mostly_silent(view, &m.block) {
        true => Duration::ZERO,
        false => (node.times.lease * 3 / 4).saturating_sub(node.times.silent),
    };
    (now >= silent + patience.as_millis() as u64).then_some("it is silent")
}

/// Whether most machines of a block are silent: its holder is cut off.
fn mostly_silent(view: &View, block: &str) -> bool {
    let up = view.machines.values().map(|r| &r.machine);
    let up = up.filter(|m| m.block == block && m.up.is_some());
    let (all, quiet) = up.fold((0, 0), |(all, quiet), m| {
        (all + 1, quiet + usize::from(m.silent.is_some()))
    });
    quiet > 2 && quiet * 2 > all
}

/// Puts single-write transactions together, under the leader's condition.
fn batch(units: Vec<Transaction>, version: u64, ops: usize) -> Vec<Transaction> {
    let mut out: Vec<Transaction> = Vec::new();
    for unit in units {
        let n = unit.writes.len();
        // Four times as many conditions as writes are allowed; one is ours.
        let fits = out.last().is_some_and(|t| {
            t.writes.len() + n <= ops && t.conditions.len() + unit.conditions.len() < 4 * ops
        });
        if !fits {
            out.push(Transaction::default().when(LEADER, version));
        }
        if let Some(last) = out.last_mut() {
            let mut txn = std::mem::take(last);
            for c in unit.conditions {
                txn = txn.when(c.key, c.version);
            }
            txn.writes.extend(unit.writes);
            *last = txn;
        }
    }
    out
}

type Plans = (Vec<Transaction>, Vec<Transaction>, Vec<Transaction>);

/// One round of placing and sizing.
fn plan(node: &Node, version: u64) -> Plans {
    let view = node.view();
    let mut memory = lock(&node.leading);
    let Some(types) = view.types.clone() else {
        return Plans::default();
    };
    let site = &node.settings.site;
    let now = now_ms();
    let seconds = now as f64 / 1000.0;
    let mut round = Round {
        now: seconds,
        slots: Vec::new(),
        offers: offers(&view, &memory, &types.types),
        averages: &view.averages,
        teams: &site.teams,
        usage: Usage::default(),
        tie_s: site.workers.report_s,
        boot_factor: 1.1,
        rent_from: usize::MAX,
    };
    for (name, row) in &view.machines {
        let kind = types.types.iter().find(|t| t.name == row.machine.kind);
        if let (MachineStage::Use, None, Some(kind)) = (row.machine.stage, row.machine.silent, kind)
        {
            round
                .slots
                .push(slots::slot(&view, name, row, kind, seconds));
        }
    }
    for (_, rental) in view.rentals.values() {
        let Some(kind) = types.types.iter().find(|t| t.name == rental.kind) else {
            continue;
        };
        let ready = (rental.at as f64 / 1000.0 + 1.1 * kind.boot_s).max(seconds + 1.0);
        for _ in 0..rental.count {
            round
                .slots
                .push(Slot::new("", kind, &rental.zone, rental.spot, ready));
        }
    }
    round.rent_from = round.slots.len();
    assigned(&view, &mut memory, &mut round);
    let waiting = waiting(&view, now, site);
    let decisions = round.run(&waiting);
    let assign = assign(&view, &mut memory, &round, &decisions, now, version, site);
    memory.waits = decisions.waits.into_iter().collect();
    let overdue = overdue(&view, &mut memory, &mut round, now);
    spare(&view, &mut round, now);
    let rent = rent(&round, now, version, site.state.txn_ops);
    let mut stages = idle(&view, &mut memory, &round, version, site.state.txn_ops);
    if rent.is_empty() && assign.is_empty() {
        stages.extend(gather(&view, &mut memory, &mut round, version));
    }
    let mut assign = assign;
    assign.extend(batch(overdue, version, site.state.txn_ops));
    (assign, rent, stages)
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
    now: u64,
) -> Vec<Transaction> {
    let mut units = Vec::new();
    let seconds = now as f64 / 1000.0;
    memory.restarted.retain(|(uid, _)| {
        view.jobs
            .get(uid)
            .is_some_and(|j| j.job.phase == Phase::Active)
    });
    for uid in &view.live {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let spec = &job.job.spec;
        if job.job.phase != Phase::Active || spec.shape != Shape::Array {
            continue;
        }
        for (index, t) in &job.tasks {
            let name = (uid.clone(), *index);
            let (Some(ran), Some(machine), None) = (t.task.ran, &t.task.machine, t.task.stop)
            else {
                continue;
            };
            let Some(row) = view.machines.get(machine) else {
                continue;
            };
            let kind = &row.machine.kind;
            let known = view.averages.knows(uid, kind) || row.slow() > OVERDUE;
            let run = view.averages.run_time(spec, kind);
            let elapsed = seconds - ran as f64 / 1000.0;
            if !known || elapsed < OVERDUE * run || memory.restarted.contains(&name) {
                continue;
            }
            let probe = Waiting {
                spec: spec.clone(),
                at: job.job.at,
                indexes: vec![*index],
                places: Places::default(),
                avoid: vec![machine.clone()],
            };
            let Some((i, finish)) = round.best(&probe, true) else {
                continue;
            };
            round.slots[i].place(spec, &finish);
            memory.restarted.insert(name);
            let key = rec::task_key(uid, *index);
            tracing::info!(task = key, machine, elapsed, run, "overdue task restarted");
            let task = rec::Task {
                stop: Some(StopWhy::Overdue),
                ..t.task.clone()
            };
            let txn = Transaction::default().when(&key, t.version);
            units.push(txn.put(&key, &task));
        }
    }
    units
}

fn offers(view: &View, memory: &LeaderMemory, types: &[MachineType]) -> Vec<Offer> {
    let now = Instant::now();
    let mut out = Vec::new();
    for kind in types {
        for zone in &kind.zones {
            let ours = view.machines.values().filter(|m| m.machine.zone == *zone);
            let ours = ours.count();
            for spot in [true, false] {
                if spot && kind.spot_price.is_none() {
                    continue;
                }
                let key = (kind.name.clone(), zone.clone(), spot);
                if memory
                    .refused
                    .get(&key)
                    .is_some_and(|(until, _)| now < *until)
                {
                    continue;
                }
                out.push(Offer {
                    kind: kind.clone(),
                    zone: zone.clone(),
                    spot,
                    ours,
                });
            }
        }
    }
    out
}

/// Counts live tasks into the usage, and plans room for those that their
/// holder has not placed yet.
fn assigned(view: &View, memory: &mut LeaderMemory, round: &mut Round) {
    memory
        .hints
        .retain(|(uid, i), _| view.jobs.get(uid).is_some_and(|j| j.tasks.contains_key(i)));
    for uid in &view.live {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let spec = &job.job.spec;
        let amount = Amount::of_task(spec);
        for (index, t) in &job.tasks {
            round.usage.add(&spec.team, amount);
            if t.task.machine.is_some() {
                continue;
            }
            let hint = memory.hints.get(&(uid.clone(), *index));
            let slot = round
                .slots
                .iter_mut()
                .find(|s| Some(&s.name) == hint && s.block == t.task.block);
            if let Some(slot) = slot
                && let Some(finish) = slot.finish(spec, round.averages, round.now)
            {
                slot.place(spec, &finish);
            }
        }
    }
}

/// Jobs with tasks that have no place, in order.
fn waiting(view: &View, now: u64, site: &rushwalk_wire::settings::Site) -> Vec<Waiting> {
    let mut out: Vec<Waiting> = Vec::new();
    let mut planned = 0;
    // Of all unfinished jobs in order of arrival, per team: a job is within
    // its guarantee if it fits into it together with the earlier ones.
    let mut unfinished = Usage::default();
    let mut by_arrival: Vec<&String> = view.active.iter().map(|(_, _, uid)| uid).collect();
    by_arrival.sort_by_key(|uid| view.jobs.get(*uid).map_or(0, |j| j.job.at));
    let mut order: Vec<(Priority, f64, u64, &String)> = Vec::new();
    for uid in by_arrival {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let spec = &job.job.spec;
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
        // As if on a machine without its image: the type is not known yet.
        let kind = view.types.iter().flat_map(|t| &t.types).next();
        let needs = Needs {
            fetch_s: kind.map_or(0.0, |k| {
                view.averages
                    .fetch_time(spec.image_gb, &k.name, k.fetch_gb_per_s)
            }),
            run_s: kind.map_or(0.0, |k| view.averages.run_time(spec, &k.name)),
            guaranteed,
        };
        let at = job.job.at as f64 / 1000.0;
        let by = start_by(spec, at, now as f64 / 1000.0, needs, &site.objectives);
        order.push((spec.priority, by, job.job.at, uid));
    }
    order.sort_by(|a, b| {
        (a.0.cmp(&b.0))
            .then(a.1.total_cmp(&b.1))
            .then(a.2.cmp(&b.2))
    });
    for (_, _, _, uid) in order {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let spec = &job.job.spec;
        if spec.shape == Shape::Gang && !job.tasks.is_empty() {
            continue;
        }
        let trouble = view.troubles.get(uid).map(|(_, t)| t.clone());
        let trouble = trouble.unwrap_or_default();
        // A job that fails wherever it runs is tried ever more rarely.
        let pause = 1000u64 << trouble.count.min(6);
        if trouble.count > 1 && now < trouble.last + pause {
            continue;
        }
        let most = match spec.shape {
            Shape::Gang => spec.tasks as usize,
            _ => PLANNED_EACH,
        };
        let indexes = view.waiting(uid, most);
        if indexes.is_empty() {
            continue;
        }
        planned += indexes.len();
        let mut places = Places::default();
        for t in job.tasks.values() {
            let machine = t.task.machine.as_ref().and_then(|m| view.machines.get(m));
            let zone = machine.map(|m| m.machine.zone.as_str());
            places.add(zone.unwrap_or_else(|| zone_of(&t.task.block)));
        }
        // After failing in many places it may as well be tried anywhere.
        let avoid = match trouble.machines.len() > 3 {
            true => Vec::new(),
            false => trouble.machines,
        };
        out.push(Waiting {
            spec: spec.clone(),
            at: job.job.at,
            indexes,
            places,
            avoid,
        });
        if planned > PLANNED {
            break;
        }
    }
    out
}

/// Blocks are called after their zone, with a number behind `#` if split.
fn zone_of(block: &str) -> &str {
    block.split_once('#').map_or(block, |(zone, _)| zone)
}

/// Gives tasks that can start now to the blocks of their machines.
fn assign(
    view: &View,
    memory: &mut LeaderMemory,
    round: &Round,
    decisions: &Decisions,
    now: u64,
    version: u64,
    site: &rushwalk_wire::settings::Site,
) -> Vec<Transaction> {
    let mut units = Vec::new();
    for placed in &decisions.placed {
        let slot = &round.slots[placed.slot];
        let key = rec::task_key(&placed.uid, placed.index);
        let job = rec::job_key(&placed.uid);
        let task = rec::Task {
            block: slot.block.clone(),
            // Revisions only rise, so no attempt of a task repeats.
            attempt: view.revision.max(view.version(&job)),
            machine: None,
            at: now,
            ran: None,
            stop: None,
        };
        let name = (placed.uid.clone(), placed.index);
        memory.hints.insert(name, slot.name.clone());
        if view
            .jobs
            .get(&placed.uid)
            .is_some_and(|j| j.job.spec.shape == Shape::Gang)
        {
            tracing::info!(task = key, block = slot.block, "gang task assigned");
        }
        units.push(
            Transaction::default()
                .when(&job, view.version(&job))
                .when(&key, 0)
                .put(&key, &task),
        );
    }
    batch(units, version, site.state.txn_ops)
}

/// Plans room for the arrivals to be expected while a machine would boot, so
/// that they find one that is warm.
fn spare(view: &View, round: &mut Round, now: u64) {
    const BUCKETS: usize = 5;
    let boot = |kind: &str| {
        let types = view.types.iter().flat_map(|t| &t.types);
        types
            .filter(|t| t.name == kind)
            .map(|t| t.boot_s)
            .fold(0.0, f64::max)
    };
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
        let slowest = view.types.iter().flat_map(|t| &t.types).fold(0.0, |a, t| {
            let allowed = spec.types.as_ref().is_none_or(|n| n.contains(&t.name));
            match allowed && Amount::of_task(&spec).fits(&Amount::of_type(t)) {
                true => f64::max(a, boot(&t.name)),
                false => a,
            }
        });
        let rate = fleet::rate(&buckets, span as f64 / 1000.0);
        let z = match spec.priority {
            Priority::Production | Priority::High => 0.7,
            _ => 0.0,
        };
        let jobs = fleet::ready_for(rate, slowest, z);
        for (_, spec) in times.iter().rev().cycle().take(jobs as usize) {
            let phantom = Waiting {
                spec: spec.clone(),
                at: now,
                indexes: (0..spec.tasks.min(16)).collect(),
                places: Places::default(),
                avoid: Vec::new(),
            };
            // What is expected is no reason to go beyond a team's limit.
            round.run(&[phantom]);
        }
    }
}

/// Rents what the round found lacking.
fn rent(round: &Round, now: u64, version: u64, ops: usize) -> Vec<Transaction> {
    let mut wanted: BTreeMap<(String, String, bool), u32> = BTreeMap::new();
    for slot in round.slots.iter().skip(round.rent_from) {
        *wanted
            .entry((slot.kind.clone(), slot.zone.clone(), slot.spot))
            .or_default() += 1;
    }
    let most = (ops as u32).saturating_sub(2).clamp(1, 8);
    let units = wanted
        .into_iter()
        .map(|((kind, zone, spot), count)| {
            let rental = rec::Rental {
                kind,
                zone,
                spot,
                count: count.min(most),
                at: now,
            };
            tracing::info!(?rental, "renting");
            let key = rec::rental_key(&format!("r-{:x}", rand::random::<u64>()));
            Transaction::default().when(&key, 0).put(&key, &rental)
        })
        .collect();
    batch(units, version, ops)
}

/// Drains machines that nothing needs, and deletes drained ones.
fn idle(
    view: &View,
    memory: &mut LeaderMemory,
    round: &Round,
    version: u64,
    ops: usize,
) -> Vec<Transaction> {
    let needed: BTreeSet<&str> = round
        .slots
        .iter()
        .filter(|s| s.tasks > 0)
        .map(|s| s.name.as_str())
        .collect();
    memory
        .idle
        .retain(|name, _| view.machines.contains_key(name) && !needed.contains(name.as_str()));
    let mut units = Vec::new();
    for (name, row) in &view.machines {
        if needed.contains(name.as_str()) || !row.tasks.is_empty() {
            continue;
        }
        let stage = match row.machine.stage {
            MachineStage::Drain => MachineStage::Delete,
            MachineStage::Use if row.machine.silent.is_none() => {
                let since = *memory.idle.entry(name.clone()).or_insert_with(Instant::now);
                let types = view.types.iter().flat_map(|t| &t.types);
                let kind = types.clone().find(|t| t.name == row.machine.kind);
                // It costs a boot to have it again.
                let hold = kind.map_or(60.0, |t| 0.5 * t.boot_s);
                if since.elapsed().as_secs_f64() < hold {
                    continue;
                }
                MachineStage::Drain
            }
            _ => continue,
        };
        tracing::info!(machine = name, ?stage, "machine not needed");
        let machine = rec::Machine {
            stage,
            ..row.machine.clone()
        };
        let key = rec::machine_key(name);
        units.push(
            Transaction::default()
                .when(&key, row.version)
                .put(&key, &machine),
        );
    }
    batch(units, version, ops)
}

/// Empties a machine that holds few services by moving them to others where
/// their images are, once room beyond the expected arrivals allows it.
fn gather(
    view: &View,
    memory: &mut LeaderMemory,
    round: &mut Round,
    version: u64,
) -> Option<Transaction> {
    let boot = |kind: &str| {
        let types = view.types.iter().flat_map(|t| &t.types);
        types.filter(|t| t.name == kind).map(|t| t.boot_s).next()
    };
    let mut candidates: Vec<_> = view
        .machines
        .iter()
        .filter(|(_, row)| row.machine.stage == MachineStage::Use && !row.tasks.is_empty())
        .filter(|(_, row)| row.machine.up.is_some() && row.machine.silent.is_none())
        .collect();
    candidates.sort_by_key(|(_, row)| row.tasks.len());
    for (name, row) in candidates {
        let wait = Duration::from_secs_f64(0.3 * boot(&row.machine.kind).unwrap_or(60.0));
        if memory.gathered.is_some_and(|at| at.elapsed() < wait) {
            return None;
        }
        let settled = |t: &rec::Task| t.ran.is_some() && t.stop.is_none();
        let services: Option<Vec<Waiting>> = row
            .tasks
            .iter()
            .map(|(uid, index)| {
                let job = view.jobs.get(uid)?;
                let spec = &job.job.spec;
                let movable = spec.shape == Shape::Service
                    && job.job.phase == Phase::Active
                    && settled(&job.tasks.get(index)?.task);
                let mut places = Places::default();
                for (i, t) in &job.tasks {
                    if i != index {
                        places.add(zone_of(&t.task.block));
                    }
                }
                movable.then(|| Waiting {
                    spec: spec.clone(),
                    at: job.job.at,
                    indexes: vec![*index],
                    places,
                    avoid: vec![name.clone()],
                })
            })
            .collect();
        let Some(services) = services else { continue };
        // What is planned for this machine beside its tasks must not be lost.
        let planned = round.slots.iter().find(|s| s.name == *name);
        if planned.is_none_or(|s| s.tasks > row.tasks.len()) {
            continue;
        }
        let before = round.slots.clone();
        let fits = services.iter().all(|job| {
            let Some((i, finish)) = round.best(job, true) else {
                return false;
            };
            let warm = finish.runs <= round.now + round.averages.overhead() + 0.1;
            let slot = &mut round.slots[i];
            let used = slot.tasks > 0;
            slot.place(&job.spec, &finish);
            warm && used
        });
        if fits {
            memory.gathered = Some(Instant::now());
            tracing::info!(machine = name, tasks = row.tasks.len(), "machine emptied");
            let machine = rec::Machine {
                stage: MachineStage::Drain,
                ..row.machine.clone()
            };
            let key = rec::machine_key(name);
            let txn = Transaction::default().when(LEADER, version);
            return Some(txn.when(&key, row.version).put(&key, &machine));
        }
        round.slots = before;
    }
    None
}

/// Carries out rentals and deletions that are committed; reads the list.
pub async fn cloud_loop(node: Arc<Node>) {
    let site = &node.settings.site;
    let mut listed_at: Option<Instant> = None;
    let mut typed_at: Option<Instant> = None;
    // Three kinds of calls share the budget with a margin.
    let gap = Duration::from_secs_f64(1.5 / site.cloud.rps);
    let list_every = Duration::from_secs_f64(site.cloud.list_lag_s.max(2.0));
    loop {
        sleep(gap).await;
        let leading = {
            let view = node.view();
            node.leadership(&view)
        };
        if leading.is_none() {
            continue;
        }
        if typed_at.is_none_or(|at| at.elapsed() > node.times.lease * 2) && types(&node).await {
            typed_at = Some(Instant::now());
            sleep(gap).await;
        }
        if delete(&node).await {
            sleep(gap).await;
        }
        let rentals: Vec<_> = {
            let view = node.view();
            let list = view.rentals.iter();
            list.map(|(name, (v, r))| (name.clone(), *v, r.clone()))
                .collect()
        };
        // Side by side: at the start of a day many are wanted at once.
        for (name, version, rental) in rentals {
            if lock(&node.leading).asking.insert(name.clone()) {
                tokio::spawn(rent_one(node.clone(), name, version, rental));
                sleep(gap).await;
            }
        }
        if listed_at.is_none_or(|at| at.elapsed() > list_every) {
            listed_at = Some(Instant::now());
            list(&node).await;
        }
    }
}

async fn types(node: &Node) -> bool {
    let answer = match node.cloud.types().await {
        Ok(answer) => answer,
        Err(error) => {
            tracing::debug!(%error, "no machine types");
            return false;
        }
    };
    let txn = {
        let view = node.view();
        let types = rec::Types {
            types: answer.types,
        };
        let Some(version) = node.leadership(&view) else {
            return false;
        };
        if view.types.as_deref() == Some(&types) {
            return true;
        }
        Transaction::default()
            .when(LEADER, version)
            .put(rec::TYPES, &types)
    };
    commit(node, txn, For::Work).await
}

/// Deletes what is to be deleted; afterwards all on it is surely gone.
async fn delete(node: &Node) -> bool {
    let names: Vec<String> = {
        let view = node.view();
        let list = view.machines.iter();
        list.filter(|(_, m)| m.machine.stage == MachineStage::Delete)
            .map(|(name, _)| name.clone())
            .take(MAX_DELETE)
            .collect()
    };
    if names.is_empty() {
        return false;
    }
    if let Err(error) = node.cloud.delete(names.clone()).await {
        tracing::info!(%error, "deletion not confirmed");
        return true;
    }
    let txns = {
        let view = node.view();
        let Some(version) = node.leadership(&view) else {
            return true;
        };
        let mut units = Vec::new();
        let now = Instant::now();
        let mut memory = lock(&node.leading);
        memory.gone.extend(names.iter().map(|n| (n.clone(), now)));
        drop(memory);
        for name in &names {
            let Some(row) = view.machines.get(name) else {
                continue;
            };
            tracing::info!(machine = name, tasks = row.tasks.len(), "machine gone");
            for (uid, index) in &row.tasks {
                let key = rec::task_key(uid, *index);
                let txn = Transaction::default().when(&key, view.version(&key));
                units.push(txn.delete(&key));
            }
            let key = rec::machine_key(name);
            let txn = Transaction::default().when(&key, row.version);
            units.push(txn.delete(&key));
        }
        batch(units, version, node.settings.site.state.txn_ops)
    };
    for txn in txns {
        // Its tasks' records go first; the machine's last, so that what does
        // not go through now is done again after another deletion.
        if !commit(node, txn, For::Work).await {
            node.fresh(node.times.round).await;
            return true;
        }
    }
    true
}

async fn rent_one(node: Arc<Node>, name: String, rental_version: u64, rental: rec::Rental) {
    ask_one(&node, &name, rental_version, rental).await;
    // Unanswered ones are asked for again, under the same name.
    sleep(node.times.round).await;
    lock(&node.leading).asking.remove(&name);
}

async fn ask_one(node: &Node, name: &str, rental_version: u64, rental: rec::Rental) {
    let request = RentRequest {
        request: name.to_string(),
        kind: rental.kind.clone(),
        zone: rental.zone.clone(),
        spot: rental.spot,
        count: rental.count,
    };
    let kind = (rental.kind.clone(), rental.zone.clone(), rental.spot);
    let answer = node.cloud.rent(&request).await;
    let key = rec::rental_key(name);
    let drop = Transaction::default()
        .when(&key, rental_version)
        .delete(&key);
    let (got, txn) = match answer {
        Ok(answer) => {
            let n = answer.machines.len();
            tracing::info!(request = name, n, of = rental.count, machines = ?answer.machines, ?kind, "rented");
            let view = node.view();
            let mut txn = drop;
            for machine in answer.machines {
                let key = rec::machine_key(&machine);
                if view.version(&key) != 0 {
                    continue;
                }
                let record = rec::Machine {
                    kind: rental.kind.clone(),
                    zone: rental.zone.clone(),
                    spot: rental.spot,
                    block: block_for(&view, &rental.zone),
                    stage: MachineStage::Use,
                    rented: rental.at,
                    up: None,
                    address: String::new(),
                    images: Vec::new(),
                    taken: None,
                    silent: None,
                };
                txn = txn.when(&key, 0).put(&key, &record);
            }
            (n as u32 >= rental.count, txn)
        }
        Err(error) if error.status() == Some(503) || error.status() == Some(400) => {
            tracing::info!(request = name, ?kind, %error, "rental refused");
            (false, drop)
        }
        Err(error) => {
            // It may have been carried out: asked again under the same name.
            tracing::info!(request = name, %error, "rental unanswered");
            return;
        }
    };
    let leading = {
        let view = node.view();
        node.leadership(&view)
    };
    let Some(version) = leading else { return };
    {
        let mut memory = lock(&node.leading);
        match got {
            true => {
                memory.refused.remove(&kind);
            }
            false => {
                let (_, n) = memory
                    .refused
                    .get(&kind)
                    .copied()
                    .unwrap_or((Instant::now(), 0));
                let pause = node.times.report * 2u32.pow(n.min(3)) * 2;
                memory.refused.insert(kind, (Instant::now() + pause, n + 1));
            }
        }
    }
    commit(node, txn.when(LEADER, version), For::Work).await;
}

/// The zone's block with room; a zone with many machines has several blocks.
fn block_for(view: &View, zone: &str) -> String {
    const LARGE: usize = 64;
    let mut n = 0;
    loop {
        let block = match n {
            0 => zone.to_string(),
            n => format!("{zone}#{n}"),
        };
        let used = view.machines.values().filter(|m| m.machine.block == block);
        if used.count() < LARGE {
            return block;
        }
        n += 1;
    }
}

/// Reads the list: machines that are not ours yet are taken in, and those
/// that failed are given up.
async fn list(node: &Node) {
    let mut all = Vec::new();
    let mut since = String::new();
    loop {
        match node.cloud.list(&since).await {
            Ok(page) => {
                let more = page.more && !page.machines.is_empty();
                all.extend(page.machines);
                if let Some(last) = all.last() {
                    since = last.name.clone();
                }
                if !more {
                    break;
                }
            }
            Err(error) => {
                tracing::debug!(%error, "no machine list");
                return;
            }
        }
    }
    let txns = {
        let view = node.view();
        let Some(version) = node.leadership(&view) else {
            return;
        };
        let pending = !view.rentals.is_empty();
        let now = now_ms();
        let mut units = Vec::new();
        // The list is late: a machine just deleted may still be on it.
        let lag = node.settings.site.cloud.list_lag_s;
        let mut memory = lock(&node.leading);
        memory
            .gone
            .retain(|_, at| at.elapsed().as_secs_f64() < 4.0 * lag + 10.0);
        for listed in &all {
            if memory.gone.contains_key(&listed.name) {
                continue;
            }
            let key = rec::machine_key(&listed.name);
            match view.machines.get(&listed.name) {
                None if listed.state == ListedState::Failed || (!pending && listed.age_s > lag) => {
                    // Unexpected: a rental that came late. It is returned.
                    let record = rec::Machine {
                        kind: listed.kind.clone(),
                        zone: listed.zone.clone(),
                        spot: listed.spot,
                        block: block_for(&view, &listed.zone),
                        stage: MachineStage::Delete,
                        rented: now.saturating_sub((listed.age_s * 1000.0) as u64),
                        up: None,
                        address: listed.address.clone(),
                        images: Vec::new(),
                        taken: None,
                        silent: None,
                    };
                    units.push(Transaction::default().when(&key, 0).put(&key, &record));
                }
                Some(row)
                    if listed.state == ListedState::Failed
                        && row.machine.stage != MachineStage::Delete =>
                {
                    tracing::info!(machine = listed.name, "machine failed");
                    let machine = rec::Machine {
                        stage: MachineStage::Delete,
                        ..row.machine.clone()
                    };
                    let txn = Transaction::default().when(&key, row.version);
                    units.push(txn.put(&key, &machine));
                }
                _ => {}
            }
        }
        batch(units, version, node.settings.site.state.txn_ops)
    };
    for txn in txns {
        if !commit(node, txn, For::Upkeep).await {
            return;
        }
    }
}
