//! A block's holder: places tasks on its machines, commits outcomes, and only
//! then commands. All that a tick decides and learns goes into one entry.

#[cfg(test)]
mod tests;

use crate::capacity::timelines;
use crate::controller::{Controller, WritePriority, lock, now_ms};
use crate::observability::work_profile::WorkKind;
use crate::view::{ClusterState, MachineState, Name};
use crate::workers::registry::{WorkerRegistry, WorkerSession, commands};
use rushwalk_clients::Error;
use rushwalk_clients::store::CommitOutcome;
use rushwalk_protocol::jobs::Shape;
use rushwalk_protocol::records::{
    self as rec, AttemptOutcome, JobPhase, MachineLifecycle, Mutation,
};
use rushwalk_protocol::store::Transaction;
use rushwalk_protocol::worker::{Command, CommandBatch, ExitCause, TaskPhase};
use rushwalk_scheduler::quota::QuotaUsage;
use rushwalk_scheduler::round::SchedulingRound;
use rushwalk_scheduler::timeline_index::TimelineIndex;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tokio::time::{Instant, sleep};

/// Items of a list in one change: no change outgrows a value.
const LISTED: usize = 100;

/// Workers that may be asked in a tick however few there are.
const ASKED: f64 = 8.0;

pub async fn holder_loop(node: Arc<Controller>) {
    let tick = node.timing.round / 3;
    let mut looked: Option<Instant> = None;
    let mut known: BTreeMap<Name, u64> = BTreeMap::new();
    let mut dirty: BTreeSet<Name> = BTreeSet::new();
    loop {
        sleep(tick).await;
        if !node.shard_leases_valid() {
            looked = None;
            continue;
        }
        // What changed is looked at in each tick; once a round also what time
        // alone changes: machines that were not heard of lately, or that have
        // come under another token.
        let all = looked.is_none_or(|at| at.elapsed() >= node.timing.round);
        if all {
            looked = Some(Instant::now());
        }
        let held = {
            let mut turn = node.work_profile.start(WorkKind::Reconcile);
            let mut view = node.view();
            let mut reports = lock(&node.workers_seen);
            dirty.append(&mut view.changed_machines);
            dirty.append(&mut reports.changed);
            let held = held(&node, &view);
            if all || known != held {
                if reports.sessions.len() > view.machines.len() {
                    reports
                        .sessions
                        .retain(|name, _| view.machines.contains_key(name));
                }
                for (block, token) in &held {
                    let machines = view.shards.get(block).into_iter().flatten();
                    let due = machines.filter(|name| {
                        let worker = reports.sessions.get(*name);
                        worker.is_none_or(|worker| {
                            worker.heartbeat_overdue(&node.timing)
                                || worker.owned_since.is_none_or(|s| s.0 != *token)
                        })
                    });
                    dirty.extend(due.cloned());
                }
                known.clone_from(&held);
            }
            turn.add_items(dirty.len());
            held
        };
        // All blocks in one entry, unless the conditions on their grants would be
        // too many for it: one controller may be left with the blocks of nine.
        let most = 2 * node.settings.site.store.txn_ops;
        let held: Vec<_> = held.into_iter().collect();
        let mut committed = true;
        for some in held.chunks(most) {
            committed &= decide(&node, some, &dirty).await;
        }
        if !committed {
            looked = None;
            continue;
        }
        let _turn = node.work_profile.start(WorkKind::Reconcile);
        dirty.append(&mut node.view().changed_machines);
        dirty = send(&node, &std::mem::take(&mut dirty));
    }
}

/// Commits what is decided and learnt of some blocks; false if it was not taken.
async fn decide(node: &Controller, blocks: &[(Name, u64)], dirty: &BTreeSet<Name>) -> bool {
    let ops = {
        let _turn = node.work_profile.start(WorkKind::Reconcile);
        let view = node.view();
        let mut reports = lock(&node.workers_seen);
        // Still ours, as far as is known by now.
        let ours = |(b, t): &&(Name, u64)| node.fencing_token(&view, b) == Some(*t);
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
    match node
        .append(&conditions, &ops, WritePriority::WorkKind)
        .await
    {
        CommitOutcome::Committed(_) => true,
        outcome => {
            tracing::debug!(?outcome, "changes not committed");
            if let CommitOutcome::Conflict = outcome {
                node.linearizable_read(node.timing.round).await;
            }
            false
        }
    }
}

/// Blocks that we hold, with their tokens.
fn held(node: &Controller, view: &ClusterState) -> BTreeMap<Name, u64> {
    view.shard_leases
        .keys()
        .filter_map(|b| Some((b.clone(), node.fencing_token(view, b)?)))
        .collect()
}

/// What reports tell of several machines or tasks, put together.
#[derive(Default)]
struct HeartbeatFindings {
    up: Vec<(Name, Name)>,
    silent: Vec<Name>,
    heard: Vec<Name>,
    ran: BTreeMap<(Name, u64), Vec<u32>>,
    ended: BTreeMap<(Name, u64, u8), Vec<u32>>,
    ops: Vec<Mutation>,
}

impl HeartbeatFindings {
    fn ends(&mut self, uid: &Name, attempt: u64, how: AttemptOutcome, index: u32) {
        let key = (uid.clone(), attempt, how as u8);
        self.ended.entry(key).or_default().push(index);
    }

    fn into_ops(mut self, now: u64) -> Vec<Mutation> {
        let mut ops = std::mem::take(&mut self.ops);
        for some in self.up.chunks(LISTED) {
            ops.push(Mutation::MachinesReady(now, some.to_vec()));
        }
        for some in self.silent.chunks(LISTED) {
            ops.push(Mutation::MachinesUnreachable(now, some.to_vec()));
        }
        for some in self.heard.chunks(LISTED) {
            ops.push(Mutation::MachinesReachable(some.to_vec()));
        }
        for ((uid, attempt), tasks) in self.ran {
            for some in tasks.chunks(LISTED) {
                ops.push(Mutation::Started(uid.clone(), attempt, now, some.to_vec()));
            }
        }
        for ((uid, attempt, how), tasks) in self.ended {
            let how = [
                AttemptOutcome::Completed,
                AttemptOutcome::Lost,
                AttemptOutcome::Failed,
            ][usize::from(how.min(2))];
            for some in tasks.chunks(LISTED) {
                ops.push(Mutation::Ended(
                    uid.clone(),
                    attempt,
                    now,
                    how,
                    some.to_vec(),
                ));
            }
        }
        ops
    }
}

/// What reports tell that the records do not say yet.
fn outcomes(
    node: &Controller,
    view: &ClusterState,
    reports: &mut WorkerRegistry,
    held: &BTreeMap<Name, u64>,
    machines: &BTreeSet<Name>,
) -> Vec<Mutation> {
    let mut out = HeartbeatFindings::default();
    let now = now_ms();
    for name in machines {
        let Some(row) = view.machines.get(name) else {
            continue;
        };
        let Some(&token) = held.get(&row.record.shard) else {
            continue;
        };
        let Some(worker) = reports.sessions.get_mut(name) else {
            continue;
        };
        marks(node, name, row, token, worker, &mut out);
        if !worker.ended_attempts.is_empty() {
            worker.ended_attempts.retain(|(uid, index, attempt)| {
                let task = view.task(uid, *index);
                task.is_some_and(|(_, t)| t.record.attempt == *attempt)
            });
        }
        let silent = row.record.unreachable_since_ms.is_some();
        let lost = silent && worker.lease_surely_expired(token, &node.timing);
        for (uid, index) in &row.tasks {
            let Some((job, t)) = view.task(uid, *index) else {
                continue;
            };
            let attempt = t.record.attempt;
            let active = job.phase == JobPhase::Active;
            let mut end = None;
            match worker.reported(uid, *index, attempt) {
                Some(r) if r.phase == TaskPhase::Exited => {
                    let how = match r.exit_cause {
                        Some(ExitCause::Done) => AttemptOutcome::Completed,
                        Some(ExitCause::Error | ExitCause::Unknown | ExitCause::NoRoom) => {
                            AttemptOutcome::Failed
                        }
                        _ => AttemptOutcome::Lost,
                    };
                    if how != AttemptOutcome::Completed {
                        tracing::info!(task = r.task, machine = &**name, cause = ?r.exit_cause, "task ended");
                    }
                    end = Some(how);
                }
                _ if lost => {
                    tracing::info!(job = &**uid, index, machine = &**name, "lease ran out");
                    end = Some(AttemptOutcome::Lost);
                }
                Some(r) => {
                    if r.phase == TaskPhase::Running && t.record.started_ms.is_none() {
                        let (class, since) = (&job.spec.class, now.saturating_sub(job.accepted_ms));
                        let placed_ms = now.saturating_sub(t.record.scheduled_ms);
                        tracing::debug!(
                            task = r.task,
                            machine = &**name,
                            class,
                            kind = &*row.record.machine_type,
                            spot = row.record.spot,
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
                    let over =
                        !active || t.record.stop_reason.is_some() || t.record.started_ms.is_some();
                    let ended = worker
                        .ended_attempts
                        .contains(&(uid.clone(), *index, attempt));
                    // What a machine that can't be told of it has not started goes
                    // elsewhere.
                    let unwanted = over || ended || silent;
                    let absent = unwanted && worker.proves_absence(token);
                    if absent || worker.lease_expired(token) {
                        tracing::info!(job = &**uid, index, machine = &**name, "task gone");
                        end = Some(AttemptOutcome::Lost);
                    }
                }
            }
            if let Some(how) = end {
                worker.ended_attempts.insert((uid.clone(), *index, attempt));
                out.ends(uid, attempt, how, *index);
            }
        }
    }
    out.into_ops(now)
}

/// Marks on a machine's record: up, recalled, silent.
fn marks(
    node: &Controller,
    name: &Name,
    row: &MachineState,
    token: u64,
    worker: &mut WorkerSession,
    out: &mut HeartbeatFindings,
) {
    let machine = &row.record;
    if worker.last_heard.is_some() {
        if machine.ready_ms.is_none() || *machine.address != *worker.address {
            out.up.push((name.clone(), worker.address.as_str().into()));
        }
        if let (Some(at), None) = (worker.reclaim_ms, machine.reclaim_ms) {
            tracing::info!(machine = &**name, "recalled");
            out.ops.push(Mutation::ReclaimNotice(name.clone(), at));
        }
    }
    // A new holder gives every worker time to find it, and asks those that it
    // does not hear of: a lost report is no silence.
    let last = worker.last_heard.max(worker.owned_since.map(|s| s.1));
    let unreachable =
        worker.has_inbound_loss(&node.timing) || worker.has_outbound_loss(token, &node.timing);
    if machine.ready_ms.is_some()
        && let Some(last) = last
    {
        // One that can be told nothing, or can report nothing, is of no more use.
        let asked = unreachable || worker.last_probe.is_some_and(|at| at > last);
        let asked = asked && !worker.call_in_flight;
        if last.elapsed() > node.timing.unreachable_after || unreachable {
            if machine.unreachable_since_ms.is_none() && asked {
                if !std::mem::replace(&mut worker.unreachable_logged, true) {
                    tracing::info!(machine = &**name, "silent");
                }
                out.silent.push(name.clone());
            }
        } else if machine.unreachable_since_ms.is_some()
            // It must have heard us, too: each new holder took one that hears nobody to
            // be well, and gave it work.
            && worker.token >= token
            && worker
                .last_heard
                .is_some_and(|h| h.elapsed() <= node.timing.unreachable_after)
        {
            out.heard.push(name.clone());
        }
    }
}

/// Picks machines for the tasks assigned to our blocks.
fn placements(node: &Controller, view: &ClusterState, held: &BTreeMap<Name, u64>) -> Vec<Mutation> {
    let Some(types) = view.machine_types.clone() else {
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
        if whole && held.contains_key(&t.record.shard) {
            let entry = (job.spec.priority, job.accepted_ms, uid, *index);
            wanted.entry(&t.record.shard).or_default().push(entry);
        }
    }
    let now = now_ms();
    let seconds = now as f64 / 1000.0;
    let zones = timelines::zones(&types, &node.settings.site);
    let mut placed: BTreeMap<(Name, u64), Vec<(u32, Name)>> = BTreeMap::new();
    for (block, mut tasks) in wanted {
        tasks.sort();
        let mut round = SchedulingRound {
            planned_time: seconds,
            current_time: seconds,
            zones: zones.clone(),
            machines: TimelineIndex::new(seconds, view.shards.get(block).map_or(0, BTreeSet::len)),
            rentable: Vec::new(),
            teams: &node.settings.site.teams,
            usage: QuotaUsage::default(),
            tie_s: node.timing.tie.as_secs_f64(),
            first_rental: usize::MAX,
            evaluations: Default::default(),
        };
        for name in view.shards.get(block).into_iter().flatten() {
            let Some(row) = view.machines.get(name) else {
                continue;
            };
            let m = &row.record;
            if m.lifecycle == MachineLifecycle::Active
                && m.ready_ms.is_some()
                && m.unreachable_since_ms.is_none()
            {
                let slot = timelines::slot(view, name, row, &types, &zones, (seconds, seconds));
                slot.into_iter().for_each(|slot| round.machines.push(slot));
            }
        }
        // A job's tasks in one go.
        for some in tasks.chunk_by(|a, b| a.2 == b.2) {
            let uid = some[0].2;
            let Some(job) = view.jobs.get(uid) else {
                continue;
            };
            let mut waiting = timelines::waiting(view, &job.spec, &types);
            waiting.tasks = some.iter().map(|t| t.3).collect();
            waiting.avoided_machines = job.failures.machines.clone();
            let hints: Vec<_> = some
                .iter()
                .map(|t| job.tasks.get(&t.3)?.record.placement_hint.clone())
                .collect();
            for (index, i) in round.start_now(&waiting, &hints) {
                let Some(t) = job.tasks.get(&index) else {
                    continue;
                };
                let machine = round.machines[i].name.clone();
                let key = (uid.clone(), t.record.attempt);
                placed.entry(key).or_default().push((index, machine));
            }
        }
    }
    let mut ops = Vec::new();
    for ((uid, attempt), on) in placed {
        for some in on.chunks(LISTED) {
            ops.push(Mutation::Place(uid.clone(), attempt, now, some.to_vec()));
        }
    }
    ops
}

/// How many workers one tick asks for news: at most `all`, and of those not heard of
/// since we came to hold them at most `new`.
struct ProbeBudget {
    all: usize,
    new: usize,
}

impl ProbeBudget {
    /// Those that are new come by themselves, unless this thread is too late for them:
    /// while it is behind few are asked. Not so those that were heard and fell silent:
    /// asked later, a third of the fleet was found dead later.
    fn new(most: usize, behind: bool) -> ProbeBudget {
        let new = if behind { ASKED as usize } else { most };
        ProbeBudget { all: most, new }
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
fn send(node: &Arc<Controller>, machines: &BTreeSet<Name>) -> BTreeSet<Name> {
    let mut again = BTreeSet::new();
    let view = node.view();
    let mut reports = lock(&node.workers_seen);
    let held = held(node, &view);
    let report = node.timing.heartbeat;
    // Who takes over a thousand machines does not ask them all at once: most will
    // report by themselves meanwhile. Twice as many as report in a tick are asked,
    // or as many as a small site has.
    let ours = held.keys().filter_map(|b| view.shards.get(b));
    let ours: usize = ours.map(BTreeSet::len).sum();
    let ticks = report.as_secs_f64() / node.timing.round.as_secs_f64() * 3.0;
    let most = (2.0 * ours as f64 / ticks).ceil().max(ASKED) as usize;
    let mut asking = ProbeBudget::new(most, node.runtime_lag.is_lagging());
    for name in machines {
        let Some(row) = view.machines.get(name) else {
            continue;
        };
        let Some(&token) = held.get(&row.record.shard) else {
            continue;
        };
        if row.record.ready_ms.is_none() || row.record.lifecycle == MachineLifecycle::Deleting {
            continue;
        }
        let worker = reports.session_mut(name);
        if worker.owned_since.is_none_or(|(t, _)| t != token) {
            worker.owned_since = Some((token, Instant::now()));
        }
        if worker.call_in_flight {
            continue;
        }
        let address = match worker.address.is_empty() {
            true => row.record.address.to_string(),
            false => worker.address.clone(),
        };
        if worker.heartbeat_overdue(&node.timing) || worker.has_undelivered_response() {
            // Not heard of: it may report to an earlier holder, or be cut off. Or it is
            // heard, and does not hear us.
            let pause = match worker.last_heard {
                None => report / 2,
                Some(_) => report,
            };
            if worker.last_probe.is_some_and(|at| at.elapsed() < pause) {
                continue;
            }
            if !asking.may(worker.last_heard.is_none()) {
                again.insert(name.clone());
                continue;
            }
            worker.last_probe = Some(Instant::now());
            (worker.call_in_flight, worker.probing) = (true, true);
            let block = row.record.shard.clone();
            tokio::spawn(probe(node.clone(), name.clone(), address, block));
            continue;
        }
        let commands = commands(&view, worker, name, token);
        let urgent = commands
            .iter()
            .any(|c| !matches!(c, Command::Forget { .. }));
        let due = worker
            .last_command
            .is_none_or(|at| at.elapsed() > node.timing.round);
        if urgent && !due {
            again.insert(name.clone());
        }
        if urgent && due && worker.session > 0 {
            worker.last_command = Some(Instant::now());
            (worker.call_in_flight, worker.probing) = (true, false);
            let commands = CommandBatch {
                token,
                session: worker.session,
                commands,
            };
            let block = row.record.shard.clone();
            tokio::spawn(direct(node.clone(), name.clone(), address, block, commands));
        }
    }
    again
}

async fn direct(
    node: Arc<Controller>,
    name: Name,
    address: String,
    block: Name,
    commands: CommandBatch,
) {
    let patience = node.timing.round * 3;
    let result = node.workers.command(&address, &commands, patience).await;
    let mut reports = lock(&node.workers_seen);
    reports.changed.insert(name.clone());
    let worker = reports.session_mut(&name);
    worker.call_in_flight = false;
    match result {
        Ok(response) => {
            worker.apply_heartbeat(&response.heartbeat, false);
            reports.shard_last_heard.insert(block, Instant::now());
        }
        Err(Error::Unanswered(error)) => {
            tracing::debug!(machine = &*name, error, "direct commands unanswered");
            let starts = |c: &Command| matches!(c, Command::Run { .. });
            let there = worker.session <= commands.session && worker.token <= commands.token;
            if there && commands.commands.iter().any(starts) {
                worker.unresolved_start = Some((commands.token, commands.session));
            }
        }
        Err(error) => tracing::debug!(machine = &*name, %error, "direct commands failed"),
    }
}

/// Asks a silent worker for its report, and shows it our token: a worker that
/// still reports to an earlier holder is thereby led away from it.
async fn probe(node: Arc<Controller>, name: Name, address: String, block: Name) {
    let patience = node.timing.round * 2;
    let mut result = node.workers.heartbeat(&address, patience).await;
    let token = {
        let view = node.view();
        node.fencing_token(&view, &block)
    };
    if let (Ok(report), Some(token)) = (&result, token)
        && report.token < token
    {
        let empty = CommandBatch {
            token,
            session: report.session,
            commands: Vec::new(),
        };
        let answer = node.workers.command(&address, &empty, patience).await;
        result = answer.map(|response| response.heartbeat);
    }
    let mut reports = lock(&node.workers_seen);
    reports.changed.insert(name.clone());
    let worker = reports.session_mut(&name);
    worker.call_in_flight = false;
    if let Ok(report) = result {
        worker.apply_heartbeat(&report, false);
        reports.shard_last_heard.insert(block, Instant::now());
    }
}

/// A start whose fate is unknown keeps its block from judging absences; a new
/// token, given by us to ourselves, fences it.
pub async fn fence_loop(node: Arc<Controller>) {
    loop {
        sleep(node.timing.unreachable_after).await;
        let tainted: BTreeMap<Name, u64> = {
            let view = node.view();
            let reports = lock(&node.workers_seen);
            let held = held(&node, &view);
            let tainted = reports.sessions.iter().filter_map(|(name, worker)| {
                let (under, _) = worker.unresolved_start?;
                let row = view.machines.get(name)?;
                let token = *held.get(&row.record.shard)?;
                // Nothing to judge on it, or soon gone with all on it.
                // A silent machine's starts end with its lease.
                let quiet = row.record.unreachable_since_ms.is_some()
                    || row.record.lifecycle == MachineLifecycle::Deleting;
                let matters = !row.tasks.is_empty() && !quiet;
                (matters && under >= token).then(|| (row.record.shard.clone(), token))
            });
            tainted.collect()
        };
        for (block, token) in tainted {
            tracing::info!(block = &*block, "new token to fence unanswered starts");
            let grant = rec::ShardLease {
                owner: node.member().into(),
                incarnation: node.incarnation,
            };
            let key = rec::grant_key(&block);
            let txn = Transaction::default()
                .expect_version(&key, token)
                .put(&key, &grant);
            if let CommitOutcome::Committed(new) =
                node.commit(txn, WritePriority::Maintenance).await
            {
                // Nobody else held it in between: what is known stays known.
                for worker in lock(&node.workers_seen).sessions.values_mut() {
                    worker.owned_since = worker
                        .owned_since
                        .map(|(t, at)| (if t == token { new } else { t }, at));
                }
            }
        }
    }
}
