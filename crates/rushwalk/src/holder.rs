//! A block's holder: places tasks on its machines, commits outcomes, and only
//! then commands. All that a tick decides and learns goes into one entry.

#[cfg(test)]
mod tests;

use crate::meter::Work;
use crate::node::{For, Node, lock, now_ms};
use crate::reports::{Heard, Reports, commands};
use crate::slots;
use crate::view::{MachineRow, Name, View};
use rushwalk_clients::Error;
use rushwalk_clients::store::Outcome;
use rushwalk_protocol::jobs::Shape;
use rushwalk_protocol::records::{self as rec, How, Op, Phase, Stage};
use rushwalk_protocol::store::Transaction;
use rushwalk_protocol::worker::{Command, DirectCommands, ExitCause, TaskState};
use rushwalk_scheduler::quota::Usage;
use rushwalk_scheduler::round::Round;
use rushwalk_scheduler::timeline_index::Slots;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tokio::time::{Instant, sleep};

/// Items of a list in one change: no change outgrows a value.
const LISTED: usize = 100;

/// Workers that may be asked in a tick however few there are.
const ASKED: f64 = 8.0;

pub async fn holder_loop(node: Arc<Node>) {
    let tick = node.times.round / 3;
    let mut looked: Option<Instant> = None;
    let mut known: BTreeMap<Name, u64> = BTreeMap::new();
    let mut dirty: BTreeSet<Name> = BTreeSet::new();
    loop {
        sleep(tick).await;
        if !node.loan_valid() {
            looked = None;
            continue;
        }
        // What changed is looked at in each tick; once a round also what time
        // alone changes: machines that were not heard of lately, or that have
        // come under another token.
        let all = looked.is_none_or(|at| at.elapsed() >= node.times.round);
        if all {
            looked = Some(Instant::now());
        }
        let held = {
            let mut turn = node.meter.turn(Work::Hold);
            let mut view = node.view();
            let mut reports = lock(&node.reports);
            dirty.append(&mut view.dirty);
            dirty.append(&mut reports.dirty);
            let held = held(&node, &view);
            if all || known != held {
                if reports.all.len() > view.machines.len() {
                    reports
                        .all
                        .retain(|name, _| view.machines.contains_key(name));
                }
                for (block, token) in &held {
                    let machines = view.blocks.get(block).into_iter().flatten();
                    let due = machines.filter(|name| {
                        let worker = reports.all.get(*name);
                        worker.is_none_or(|worker| {
                            worker.overdue(&node.times)
                                || worker.since.is_none_or(|s| s.0 != *token)
                        })
                    });
                    dirty.extend(due.cloned());
                }
                known.clone_from(&held);
            }
            turn.looked_at(dirty.len());
            held
        };
        // All blocks in one entry, unless the conditions on their grants would be
        // too many for it: one controller may be left with the blocks of nine.
        let most = 2 * node.settings.site.state.txn_ops;
        let held: Vec<_> = held.into_iter().collect();
        let mut committed = true;
        for some in held.chunks(most) {
            committed &= decide(&node, some, &dirty).await;
        }
        if !committed {
            looked = None;
            continue;
        }
        let _turn = node.meter.turn(Work::Hold);
        dirty.append(&mut node.view().dirty);
        dirty = send(&node, &std::mem::take(&mut dirty));
    }
}

/// Commits what is decided and learnt of some blocks; false if it was not taken.
async fn decide(node: &Node, blocks: &[(Name, u64)], dirty: &BTreeSet<Name>) -> bool {
    let ops = {
        let _turn = node.meter.turn(Work::Hold);
        let view = node.view();
        let mut reports = lock(&node.reports);
        // Still ours, as far as is known by now.
        let ours = |(b, t): &&(Name, u64)| node.token(&view, b) == Some(*t);
        let held = blocks.iter().filter(ours).cloned().collect();
        let mut ops = outcomes(node, &view, &mut reports, &held, dirty);
        ops.extend(placements(node, &view, &held));
        ops
    };
    if ops.is_empty() {
        return true;
    }
    let conditions = blocks.iter().map(|(b, t)| (rec::grant_key(b), *t));
    let conditions: Vec<_> = conditions.collect();
    match node.append(&conditions, &ops, For::Work).await {
        Outcome::Done(_) => true,
        outcome => {
            tracing::debug!(?outcome, "changes not committed");
            if let Outcome::Conflict = outcome {
                node.fresh(node.times.round).await;
            }
            false
        }
    }
}

/// Blocks that we hold, with their tokens.
fn held(node: &Node, view: &View) -> BTreeMap<Name, u64> {
    view.grants
        .keys()
        .filter_map(|b| Some((b.clone(), node.token(view, b)?)))
        .collect()
}

/// What reports tell of several machines or tasks, put together.
#[derive(Default)]
struct Gathered {
    up: Vec<(Name, Name)>,
    silent: Vec<Name>,
    heard: Vec<Name>,
    ran: BTreeMap<(Name, u64), Vec<u32>>,
    ended: BTreeMap<(Name, u64, u8), Vec<u32>>,
    ops: Vec<Op>,
}

impl Gathered {
    fn ends(&mut self, uid: &Name, attempt: u64, how: How, index: u32) {
        let key = (uid.clone(), attempt, how as u8);
        self.ended.entry(key).or_default().push(index);
    }

    fn into_ops(mut self, now: u64) -> Vec<Op> {
        let mut ops = std::mem::take(&mut self.ops);
        for some in self.up.chunks(LISTED) {
            ops.push(Op::Up(now, some.to_vec()));
        }
        for some in self.silent.chunks(LISTED) {
            ops.push(Op::Silent(now, some.to_vec()));
        }
        for some in self.heard.chunks(LISTED) {
            ops.push(Op::Heard(some.to_vec()));
        }
        for ((uid, attempt), tasks) in self.ran {
            for some in tasks.chunks(LISTED) {
                ops.push(Op::Ran(uid.clone(), attempt, now, some.to_vec()));
            }
        }
        for ((uid, attempt, how), tasks) in self.ended {
            let how = [How::Done, How::Gone, How::Failed][usize::from(how.min(2))];
            for some in tasks.chunks(LISTED) {
                ops.push(Op::End(uid.clone(), attempt, now, how, some.to_vec()));
            }
        }
        ops
    }
}

/// What reports tell that the records do not say yet.
fn outcomes(
    node: &Node,
    view: &View,
    reports: &mut Reports,
    held: &BTreeMap<Name, u64>,
    machines: &BTreeSet<Name>,
) -> Vec<Op> {
    let mut out = Gathered::default();
    let now = now_ms();
    for name in machines {
        let Some(row) = view.machines.get(name) else {
            continue;
        };
        let Some(&token) = held.get(&row.machine.block) else {
            continue;
        };
        let Some(worker) = reports.all.get_mut(name) else {
            continue;
        };
        marks(node, name, row, token, worker, &mut out);
        if !worker.ended.is_empty() {
            worker.ended.retain(|(uid, index, attempt)| {
                let task = view.task(uid, *index);
                task.is_some_and(|(_, t)| t.task.attempt == *attempt)
            });
        }
        let silent = row.machine.silent.is_some();
        let lost = silent && worker.lease_over(token, &node.times);
        for (uid, index) in &row.tasks {
            let Some((job, t)) = view.task(uid, *index) else {
                continue;
            };
            let attempt = t.task.attempt;
            let active = job.phase == Phase::Active;
            let mut end = None;
            match worker.says(uid, *index, attempt) {
                Some(r) if r.state == TaskState::Exited => {
                    let how = match r.cause {
                        Some(ExitCause::Done) => How::Done,
                        Some(ExitCause::Error | ExitCause::Unknown | ExitCause::NoRoom) => {
                            How::Failed
                        }
                        _ => How::Gone,
                    };
                    if how != How::Done {
                        tracing::info!(task = r.task, machine = &**name, cause = ?r.cause, "task ended");
                    }
                    end = Some(how);
                }
                _ if lost => {
                    tracing::info!(job = &**uid, index, machine = &**name, "lease ran out");
                    end = Some(How::Gone);
                }
                Some(r) => {
                    if r.state == TaskState::Running && t.task.ran.is_none() {
                        let (class, since) = (&job.spec.class, now.saturating_sub(job.at));
                        let placed_ms = now.saturating_sub(t.task.at);
                        tracing::debug!(
                            task = r.task,
                            machine = &**name,
                            class,
                            kind = &*row.machine.kind,
                            spot = row.machine.spot,
                            since,
                            placed_ms,
                            image_gb = job.spec.image_gb,
                            "task runs"
                        );
                        let key = (uid.clone(), attempt);
                        out.ran.entry(key).or_default().push(*index);
                    }
                }
                None => {
                    let over = !active || t.task.stop.is_some() || t.task.ran.is_some();
                    let ended = worker.ended.contains(&(uid.clone(), *index, attempt));
                    // What a machine that can't be told of it has not started goes
                    // elsewhere.
                    let unwanted = over || ended || silent;
                    let absent = unwanted && worker.proves_absence(token);
                    if absent || worker.lapsed(token) {
                        tracing::info!(job = &**uid, index, machine = &**name, "task gone");
                        end = Some(How::Gone);
                    }
                }
            }
            if let Some(how) = end {
                worker.ended.insert((uid.clone(), *index, attempt));
                out.ends(uid, attempt, how, *index);
            }
        }
    }
    out.into_ops(now)
}

/// Marks on a machine's record: up, recalled, silent.
fn marks(
    node: &Node,
    name: &Name,
    row: &MachineRow,
    token: u64,
    worker: &mut Heard,
    out: &mut Gathered,
) {
    let machine = &row.machine;
    if worker.heard.is_some() {
        if machine.up.is_none() || *machine.address != *worker.address {
            out.up.push((name.clone(), worker.address.as_str().into()));
        }
        if let (Some(at), None) = (worker.recalled, machine.taken) {
            tracing::info!(machine = &**name, "recalled");
            out.ops.push(Op::Taken(name.clone(), at));
        }
    }
    // A new holder gives every worker time to find it, and asks those that it
    // does not hear of: a lost report is no silence.
    let last = worker.heard.max(worker.since.map(|s| s.1));
    let unreachable = worker.deaf(&node.times) || worker.mute(token, &node.times);
    if machine.up.is_some()
        && let Some(last) = last
    {
        // One that can be told nothing, or can report nothing, is of no more use.
        let asked = unreachable || worker.probed_at.is_some_and(|at| at > last);
        let asked = asked && !worker.inflight;
        if last.elapsed() > node.times.silent || unreachable {
            if machine.silent.is_none() && asked {
                if !std::mem::replace(&mut worker.told, true) {
                    tracing::info!(machine = &**name, "silent");
                }
                out.silent.push(name.clone());
            }
        } else if machine.silent.is_some()
            // It must have heard us, too: each new holder took one that hears nobody to
            // be well, and gave it work.
            && worker.token >= token
            && worker
                .heard
                .is_some_and(|h| h.elapsed() <= node.times.silent)
        {
            out.heard.push(name.clone());
        }
    }
}

/// Picks machines for the tasks assigned to our blocks.
fn placements(node: &Node, view: &View, held: &BTreeMap<Name, u64>) -> Vec<Op> {
    let Some(types) = view.types.clone() else {
        return Vec::new();
    };
    let mut wanted: BTreeMap<&Name, Vec<(rushwalk_protocol::jobs::Priority, u64, &Name, u32)>> =
        BTreeMap::new();
    for (uid, index) in &view.unplaced {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let Some(t) = job.tasks.get(index) else {
            continue;
        };
        let whole = job.spec.shape != Shape::Gang || job.tasks.len() == job.spec.tasks as usize;
        if whole && held.contains_key(&t.task.block) {
            let entry = (job.spec.priority, job.at, uid, *index);
            wanted.entry(&t.task.block).or_default().push(entry);
        }
    }
    let now = now_ms();
    let seconds = now as f64 / 1000.0;
    let zones = slots::zones(&types, &node.settings.site);
    let mut placed: BTreeMap<(Name, u64), Vec<(u32, Name)>> = BTreeMap::new();
    for (block, mut tasks) in wanted {
        tasks.sort();
        let mut round = Round {
            now: seconds,
            clock: seconds,
            zones: zones.clone(),
            slots: Slots::new(seconds, view.blocks.get(block).map_or(0, BTreeSet::len)),
            offers: Vec::new(),
            teams: &node.settings.site.teams,
            usage: Usage::default(),
            tie_s: node.times.tie.as_secs_f64(),
            rent_from: usize::MAX,
            looked: Default::default(),
        };
        for name in view.blocks.get(block).into_iter().flatten() {
            let Some(row) = view.machines.get(name) else {
                continue;
            };
            let m = &row.machine;
            if m.stage == Stage::Use && m.up.is_some() && m.silent.is_none() {
                let slot = slots::slot(view, name, row, &types, &zones, (seconds, seconds));
                slot.into_iter().for_each(|slot| round.slots.push(slot));
            }
        }
        // A job's tasks in one go.
        for some in tasks.chunk_by(|a, b| a.2 == b.2) {
            let uid = some[0].2;
            let Some(job) = view.jobs.get(uid) else {
                continue;
            };
            let mut waiting = slots::waiting(view, &job.spec, &types);
            waiting.indexes = some.iter().map(|t| t.3).collect();
            waiting.avoid = job.trouble.machines.clone();
            let hints: Vec<_> = some
                .iter()
                .map(|t| job.tasks.get(&t.3)?.task.hint.clone())
                .collect();
            for (index, i) in round.start(&waiting, &hints) {
                let Some(t) = job.tasks.get(&index) else {
                    continue;
                };
                let machine = round.slots[i].name.clone();
                let key = (uid.clone(), t.task.attempt);
                placed.entry(key).or_default().push((index, machine));
            }
        }
    }
    let mut ops = Vec::new();
    for ((uid, attempt), on) in placed {
        for some in on.chunks(LISTED) {
            ops.push(Op::Place(uid.clone(), attempt, now, some.to_vec()));
        }
    }
    ops
}

/// How many workers one tick asks for news: at most `all`, and of those not heard of
/// since we came to hold them at most `new`.
struct Asking {
    all: usize,
    new: usize,
}

impl Asking {
    /// Those that are new come by themselves, unless this thread is too late for them:
    /// while it is behind few are asked. Not so those that were heard and fell silent:
    /// asked later, a third of the fleet was found dead later.
    fn new(most: usize, behind: bool) -> Asking {
        let new = if behind { ASKED as usize } else { most };
        Asking { all: most, new }
    }

    fn may(&mut self, new: bool) -> bool {
        if self.all == 0 || (new && self.new == 0) {
            return false;
        }
        self.all -= 1;
        self.new -= usize::from(new);
        true
    }
}

/// Sends what can't wait for the next report to the workers' own addresses;
/// those to whom it is too early to send again are to be looked at again.
fn send(node: &Arc<Node>, machines: &BTreeSet<Name>) -> BTreeSet<Name> {
    let mut again = BTreeSet::new();
    let view = node.view();
    let mut reports = lock(&node.reports);
    let held = held(node, &view);
    let report = node.times.report;
    // Who takes over a thousand machines does not ask them all at once: most will
    // report by themselves meanwhile. Twice as many as report in a tick are asked,
    // or as many as a small site has.
    let ours = held.keys().filter_map(|b| view.blocks.get(b));
    let ours: usize = ours.map(BTreeSet::len).sum();
    let ticks = report.as_secs_f64() / node.times.round.as_secs_f64() * 3.0;
    let most = (2.0 * ours as f64 / ticks).ceil().max(ASKED) as usize;
    let mut asking = Asking::new(most, node.load.behind());
    for name in machines {
        let Some(row) = view.machines.get(name) else {
            continue;
        };
        let Some(&token) = held.get(&row.machine.block) else {
            continue;
        };
        if row.machine.up.is_none() || row.machine.stage == Stage::Delete {
            continue;
        }
        let worker = reports.of(name);
        if worker.since.is_none_or(|(t, _)| t != token) {
            worker.since = Some((token, Instant::now()));
        }
        if worker.inflight {
            continue;
        }
        let address = match worker.address.is_empty() {
            true => row.machine.address.to_string(),
            false => worker.address.clone(),
        };
        if worker.overdue(&node.times) || worker.unheeded() {
            // Not heard of: it may report to an earlier holder, or be cut off. Or it is
            // heard, and does not hear us.
            let pause = match worker.heard {
                None => report / 2,
                Some(_) => report,
            };
            if worker.probed_at.is_some_and(|at| at.elapsed() < pause) {
                continue;
            }
            if !asking.may(worker.heard.is_none()) {
                again.insert(name.clone());
                continue;
            }
            worker.probed_at = Some(Instant::now());
            (worker.inflight, worker.probing) = (true, true);
            let block = row.machine.block.clone();
            tokio::spawn(probe(node.clone(), name.clone(), address, block));
            continue;
        }
        let commands = commands(&view, worker, name, token);
        let urgent = commands
            .iter()
            .any(|c| !matches!(c, Command::Forget { .. }));
        let due = worker
            .sent_at
            .is_none_or(|at| at.elapsed() > node.times.round);
        if urgent && !due {
            again.insert(name.clone());
        }
        if urgent && due && worker.session > 0 {
            worker.sent_at = Some(Instant::now());
            (worker.inflight, worker.probing) = (true, false);
            let commands = DirectCommands {
                token,
                session: worker.session,
                commands,
            };
            let block = row.machine.block.clone();
            tokio::spawn(direct(node.clone(), name.clone(), address, block, commands));
        }
    }
    again
}

async fn direct(
    node: Arc<Node>,
    name: Name,
    address: String,
    block: Name,
    commands: DirectCommands,
) {
    let patience = node.times.round * 3;
    let result = node.workers.command(&address, &commands, patience).await;
    let mut reports = lock(&node.reports);
    reports.dirty.insert(name.clone());
    let worker = reports.of(&name);
    worker.inflight = false;
    match result {
        Ok((_, report)) => {
            worker.take(&report, false);
            reports.blocks.insert(block, Instant::now());
        }
        Err(Error::Unknown(error)) => {
            tracing::debug!(machine = &*name, error, "direct commands unanswered");
            let starts = |c: &Command| matches!(c, Command::Run { .. });
            let there = worker.session <= commands.session && worker.token <= commands.token;
            if there && commands.commands.iter().any(starts) {
                worker.tainted = Some((commands.token, commands.session));
            }
        }
        Err(error) => tracing::debug!(machine = &*name, %error, "direct commands failed"),
    }
}

/// Asks a silent worker for its report, and shows it our token: a worker that
/// still reports to an earlier holder is thereby led away from it.
async fn probe(node: Arc<Node>, name: Name, address: String, block: Name) {
    let patience = node.times.round * 2;
    let mut result = node.workers.status(&address, patience).await;
    let token = {
        let view = node.view();
        node.token(&view, &block)
    };
    if let (Ok(report), Some(token)) = (&result, token)
        && report.token < token
    {
        let empty = DirectCommands {
            token,
            session: report.session,
            commands: Vec::new(),
        };
        let answer = node.workers.command(&address, &empty, patience).await;
        result = answer.map(|(_, report)| report);
    }
    let mut reports = lock(&node.reports);
    reports.dirty.insert(name.clone());
    let worker = reports.of(&name);
    worker.inflight = false;
    if let Ok(report) = result {
        worker.take(&report, false);
        reports.blocks.insert(block, Instant::now());
    }
}

/// A start whose fate is unknown keeps its block from judging absences; a new
/// token, given by us to ourselves, fences it.
pub async fn fence_loop(node: Arc<Node>) {
    loop {
        sleep(node.times.silent).await;
        let tainted: BTreeMap<Name, u64> = {
            let view = node.view();
            let reports = lock(&node.reports);
            let held = held(&node, &view);
            let tainted = reports.all.iter().filter_map(|(name, worker)| {
                let (under, _) = worker.tainted?;
                let row = view.machines.get(name)?;
                let token = *held.get(&row.machine.block)?;
                // Nothing to judge on it, or soon gone with all on it.
                // A silent machine's starts end with its lease.
                let quiet = row.machine.silent.is_some() || row.machine.stage == Stage::Delete;
                let matters = !row.tasks.is_empty() && !quiet;
                (matters && under >= token).then(|| (row.machine.block.clone(), token))
            });
            tainted.collect()
        };
        for (block, token) in tainted {
            tracing::info!(block = &*block, "new token to fence unanswered starts");
            let grant = rec::Grant {
                holder: node.me().into(),
                nonce: node.nonce,
            };
            let key = rec::grant_key(&block);
            let txn = Transaction::default().when(&key, token).put(&key, &grant);
            if let Outcome::Done(new) = node.commit(txn, For::Upkeep).await {
                // Nobody else held it in between: what is known stays known.
                for worker in lock(&node.reports).all.values_mut() {
                    worker.since = worker
                        .since
                        .map(|(t, at)| (if t == token { new } else { t }, at));
                }
            }
        }
    }
}
