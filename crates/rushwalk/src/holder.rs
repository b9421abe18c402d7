//! A block's holder: answers its workers, places tasks on its machines,
//! commits outcomes, and only then commands.

use crate::node::{For, Node, lock, now_ms};
use crate::slots;
use crate::view::View;
use rushwalk_clients::Error;
use rushwalk_clients::state::Outcome;
use rushwalk_plan::quota::{Places, Usage};
use rushwalk_plan::round::{Round, Waiting};
use rushwalk_wire::jobs::{Shape, parse_task, task_name};
use rushwalk_wire::records::{self as rec, MachineStage, PART, Phase};
use rushwalk_wire::state::{Transaction, Write};
use rushwalk_wire::worker::{
    Answer, Command, DirectCommands, ExitCause, Report, TaskReport, TaskState,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

pub type Rigs = HashMap<String, Rig>;

/// What a worker last said.
#[derive(Default)]
pub struct Rig {
    pub session: u64,
    seq: u64,
    /// Highest token it has seen.
    token: u64,
    pub heard: Option<Instant>,
    address: String,
    /// Time of day at which it is taken back, in milliseconds.
    recalled: Option<u64>,
    tasks: HashMap<(String, u32, u64), TaskReport>,
    /// A start sent to its own address was not answered: with this token, in
    /// this session, it may still be carried out. Until either is past, an
    /// absent task proves nothing, and nothing may be forgotten.
    tainted: Option<(u64, u64)>,
    inflight: bool,
    /// Report whose answer carried starts; a report that was already under
    /// way elsewhere does not show their effect.
    answered: Option<u64>,
    /// The token under which it is looked after, and since when.
    since: Option<(u64, Instant)>,
    sent_at: Option<Instant>,
    probed_at: Option<Instant>,
}

impl Rig {
    /// Takes in a report; older ones than the newest are ignored.
    fn take(&mut self, report: &Report, beat: bool) {
        let newer = (report.session, report.seq) > (self.session, self.seq);
        if !newer {
            return;
        }
        if beat && (report.session > self.session || self.answered.is_some_and(|a| report.seq > a))
        {
            self.answered = None;
        }
        self.session = report.session;
        self.seq = report.seq;
        self.token = self.token.max(report.token);
        if let Some((token, session)) = self.tainted
            && (self.token > token || self.session > session)
        {
            self.tainted = None;
        }
        self.heard = Some(Instant::now());
        if !report.address.is_empty() {
            self.address = report.address.clone();
        }
        self.recalled = report
            .notice_s
            .map(|s| now_ms() + (s.clamp(0.0, 3600.0) * 1000.0) as u64);
        self.tasks.clear();
        for task in &report.tasks {
            if let Some((uid, index)) = parse_task(&task.task) {
                self.tasks
                    .insert((uid.to_string(), index, task.attempt), task.clone());
            }
        }
    }

    /// Whether a task missing from the latest report is surely not there.
    fn proves_absence(&self, token: u64) -> bool {
        self.heard.is_some()
            && self.token == token
            && !self.inflight
            && self.answered.is_none()
            && self.tainted.is_none()
    }
}

/// Commands that bring a machine from what it reports to what is wanted.
fn commands(view: &View, rig: &Rig, name: &str, token: u64) -> Vec<Command> {
    let mut out = Vec::new();
    let Some(row) = view.machines.get(name) else {
        return out;
    };
    for (uid, index) in &row.tasks {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let Some(t) = job.tasks.get(index) else {
            continue;
        };
        let attempt = t.task.attempt;
        let piece = task_name(uid, *index);
        let cancelled = job.job.phase != Phase::Active;
        let stop = cancelled || t.task.stop.is_some();
        match rig.tasks.get(&(uid.clone(), *index, attempt)) {
            // A task that ran and is gone was lost; it is not started again
            // under the same attempt.
            None if stop || t.task.ran.is_some() => {}
            None => out.push(Command::Run { piece, attempt }),
            Some(r) if r.state == TaskState::Exited || !stop => {}
            Some(r) => {
                let spec = &job.job.spec;
                let grace_s = match !cancelled && spec.checkpoint_s > 0.0 {
                    true => spec.save_s + 1.0,
                    false => 0.0,
                };
                if r.state != TaskState::Saving || cancelled {
                    out.push(Command::Stop {
                        piece,
                        attempt,
                        grace_s,
                    });
                }
            }
        }
    }
    for ((uid, index, attempt), report) in &rig.tasks {
        let wanted = row.tasks.contains(&(uid.clone(), *index))
            && view
                .jobs
                .get(uid)
                .and_then(|j| j.tasks.get(index))
                .is_some_and(|t| t.task.attempt == *attempt);
        if wanted {
            continue;
        }
        let (piece, attempt) = (report.task.clone(), *attempt);
        if report.state != TaskState::Exited {
            out.push(Command::Stop {
                piece,
                attempt,
                grace_s: 0.0,
            });
        } else if rig.tainted.is_none() && !rig.inflight && rig.token <= token {
            // A start that may come late must find the task still known.
            out.push(Command::Forget { piece, attempt });
        }
    }
    out
}

/// What a worker's report is answered with.
pub enum Reply {
    Here(Answer),
    Elsewhere(Option<String>),
    NotNow,
}

pub fn beat(node: &Arc<Node>, report: &Report) -> Reply {
    let view = node.view();
    let Some(row) = view.machines.get(&report.machine) else {
        return Reply::NotNow;
    };
    let block = &row.machine.block;
    let Some(token) = node.token(&view, block) else {
        return match view.grants.get(block) {
            Some((_, grant)) if grant.holder != node.me() => {
                Reply::Elsewhere(Some(grant.holder.clone()))
            }
            _ => {
                // Not entitled to answer, but it shows that the worker lives.
                let mut rigs = lock(&node.rigs);
                let rig = rigs.entry(report.machine.clone()).or_default();
                rig.take(report, true);
                Reply::NotNow
            }
        };
    };
    if report.token > token {
        // Somebody holds the block by a newer grant that we have not seen.
        node.fresh_wanted.notify_one();
        return Reply::Elsewhere(None);
    }
    let mut rigs = lock(&node.rigs);
    let rig = rigs.entry(report.machine.clone()).or_default();
    rig.take(report, true);
    // A late report is no base for commands, but it may be answered.
    let current = (report.session, report.seq) == (rig.session, rig.seq);
    let commands = match current && !rig.inflight {
        true => commands(&view, rig, &report.machine, token),
        false => Vec::new(),
    };
    if commands.iter().any(|c| matches!(c, Command::Run { .. })) {
        rig.answered = Some(report.seq);
    }
    drop(rigs);
    drop(view);
    node.poke();
    Reply::Here(Answer { token, commands })
}

/// A change that is made whole or not at all.
#[derive(Default, Clone)]
struct Unit(Transaction);

impl Unit {
    fn when(self, key: String, version: u64) -> Self {
        Unit(self.0.when(key, version))
    }
    fn put(self, key: String, value: &impl serde::Serialize) -> Self {
        Unit(self.0.put(key, value))
    }
    fn delete(self, key: String) -> Self {
        Unit(self.0.delete(key))
    }
}

/// Commits units, as many as fit into a transaction at once.
async fn commit_all(node: &Node, units: Vec<Unit>) {
    let ops = node.settings.site.state.txn_ops;
    let mut batch: Vec<Unit> = Vec::new();
    let mut size = 0;
    let mut units = units.into_iter().peekable();
    while let Some(unit) = units.next() {
        size += unit.0.writes.len();
        batch.push(unit);
        let next = units.peek().map_or(usize::MAX, |u| u.0.writes.len());
        if size.saturating_add(next) <= ops && batch.len() < ops / 2 + 1 {
            continue;
        }
        let batch = std::mem::take(&mut batch);
        size = 0;
        match node.commit(merge(&batch), For::Work).await {
            Outcome::Done(_) => {}
            // One stale unit must not keep the others from going through.
            Outcome::Conflict if batch.len() > 1 => {
                node.fresh(node.times.round).await;
                for unit in batch {
                    let _ = node.commit(unit.0, For::Work).await;
                }
            }
            Outcome::Conflict => {
                node.fresh(node.times.round).await;
            }
            _ => return,
        }
    }
}

fn merge(batch: &[Unit]) -> Transaction {
    let mut txn = Transaction::default();
    for unit in batch {
        for c in &unit.0.conditions {
            txn = txn.when(c.key.clone(), c.version);
        }
        txn.writes.extend(unit.0.writes.iter().cloned());
    }
    txn
}

pub async fn holder_loop(node: Arc<Node>) {
    let mut changed = node.changed.subscribe();
    let gap = Duration::from_millis(50);
    loop {
        let _ = timeout(node.times.round, changed.changed()).await;
        changed.mark_unchanged();
        if node.loan_valid() {
            let units = outcomes(&node);
            commit_all(&node, units).await;
            let units = placements(&node);
            commit_all(&node, units).await;
            send(&node);
        }
        sleep(gap).await;
    }
}

/// Blocks that we hold, with their tokens.
fn held(node: &Node, view: &View) -> BTreeMap<String, u64> {
    view.grants
        .keys()
        .filter_map(|b| Some((b.clone(), node.token(view, b)?)))
        .collect()
}

/// What reports tell that the records do not say yet.
fn outcomes(node: &Node) -> Vec<Unit> {
    let view = node.view();
    let mut rigs = lock(&node.rigs);
    rigs.retain(|name, _| view.machines.contains_key(name));
    let held = held(node, &view);
    let mut units = Vec::new();
    let mut done: BTreeMap<String, Vec<(u32, String)>> = BTreeMap::new();
    let now = now_ms();
    for (name, row) in &view.machines {
        let Some(&token) = held.get(&row.machine.block) else {
            continue;
        };
        let guard = || Unit::default().when(rec::grant_key(&row.machine.block), token);
        let Some(rig) = rigs.get(name) else { continue };
        marks(node, &view, name, row, rig, now, guard(), &mut units);
        for (uid, index) in &row.tasks {
            let Some(job) = view.jobs.get(uid) else {
                continue;
            };
            let Some(t) = job.tasks.get(index) else {
                continue;
            };
            let key = rec::task_key(uid, *index);
            let unit = guard().when(key.clone(), t.version);
            let active = job.job.phase == Phase::Active;
            let report = rig.tasks.get(&(uid.clone(), *index, t.task.attempt));
            let gone = match report {
                Some(r) if r.state == TaskState::Exited => {
                    if r.cause == Some(ExitCause::Done) && active {
                        let block = row.machine.block.clone();
                        done.entry(uid.clone()).or_default().push((*index, block));
                        continue;
                    }
                    tracing::info!(task = r.task, machine = name, cause = ?r.cause, "task ended");
                    let failed = matches!(
                        r.cause,
                        Some(ExitCause::Error | ExitCause::Unknown | ExitCause::NoRoom)
                    );
                    let mut unit = unit.clone().delete(key.clone());
                    if failed && active {
                        unit = with_trouble(&view, unit, uid, name, now);
                    }
                    units.push(unit);
                    continue;
                }
                Some(r) => {
                    if r.state == TaskState::Running && t.task.ran.is_none() {
                        tracing::debug!(task = r.task, machine = name, "task runs");
                        let task = rec::Task {
                            ran: Some(now),
                            ..t.task.clone()
                        };
                        units.push(unit.clone().put(key.clone(), &task));
                    }
                    false
                }
                None => {
                    let unwanted = !active || t.task.stop.is_some() || t.task.ran.is_some();
                    unwanted && rig.proves_absence(token)
                }
            };
            if gone {
                tracing::info!(task = key, machine = name, "task gone");
                units.push(unit.delete(key));
            }
        }
    }
    for (uid, tasks) in done {
        finished(node, &view, &held, &uid, &tasks, &mut units);
    }
    // Tasks assigned to a block, never placed, and wanted no more.
    for uid in &view.live {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        for (index, t) in &job.tasks {
            let unwanted = job.job.phase != Phase::Active || t.task.stop.is_some();
            if let (None, true, Some(&token)) = (&t.task.machine, unwanted, held.get(&t.task.block))
            {
                let key = rec::task_key(uid, *index);
                let unit = Unit::default()
                    .when(rec::grant_key(&t.task.block), token)
                    .when(key.clone(), t.version);
                units.push(unit.delete(key));
            }
        }
    }
    units
}

fn with_trouble(view: &View, unit: Unit, uid: &str, machine: &str, now: u64) -> Unit {
    let key = rec::trouble_key(uid);
    let (version, mut trouble) = view.troubles.get(uid).cloned().unwrap_or_default();
    // Several tasks of a job may fail in one batch; one of them is noted.
    trouble.count += 1;
    trouble.last = now;
    trouble.machines.retain(|m| m != machine);
    trouble.machines.push(machine.to_string());
    let excess = trouble.machines.len().saturating_sub(32);
    trouble.machines.drain(..excess);
    unit.when(key.clone(), version).put(key, &trouble)
}

/// Finished tasks of one job: their bits, and the job itself if these were
/// the last. A gang's tasks finish together.
fn finished(
    node: &Node,
    view: &View,
    held: &BTreeMap<String, u64>,
    uid: &str,
    tasks: &[(u32, String)],
    units: &mut Vec<Unit>,
) {
    let Some(job) = view.jobs.get(uid) else {
        return;
    };
    let most = node.settings.site.state.txn_ops.saturating_sub(6).max(1);
    // One transaction a turn: the next sees the bits of this one.
    let part = tasks[0].0 / PART;
    let now: Vec<_> = tasks
        .iter()
        .filter(|t| t.0 / PART == part)
        .take(most)
        .collect();
    let mut unit = Unit::default().when(rec::job_key(uid), job.version);
    let (version, mut bits) = view.part(uid, part);
    let key = rec::done_key(uid, part);
    let mut fresh = 0;
    for (index, block) in &now {
        let Some(t) = job.tasks.get(index) else {
            continue;
        };
        let Some(&token) = held.get(block) else {
            continue;
        };
        fresh += u32::from(!bits.get(index % PART));
        bits.set(index % PART);
        unit = unit
            .when(rec::grant_key(block), token)
            .when(rec::task_key(uid, *index), t.version)
            .delete(rec::task_key(uid, *index));
    }
    let all =
        job.job.spec.shape == Shape::Gang || view.done_count(uid) + fresh >= job.job.spec.tasks;
    unit = unit.when(key.clone(), version);
    if all {
        let over = rec::Job {
            phase: Phase::Done,
            ..job.job.clone()
        };
        for (part, version) in view.part_versions(uid) {
            let key = rec::done_key(uid, part);
            unit = unit.when(key.clone(), version).delete(key);
        }
        unit = unit.put(rec::job_key(uid), &over);
        tracing::info!(job = uid, "job done");
    } else {
        unit = unit.put(key, &bits);
    }
    units.push(unit);
}

/// Marks on a machine's record: up, recalled, silent.
#[allow(clippy::too_many_arguments)]
fn marks(
    node: &Node,
    view: &View,
    name: &str,
    row: &crate::view::MachineRow,
    rig: &Rig,
    now: u64,
    guard: Unit,
    units: &mut Vec<Unit>,
) {
    let mut machine = row.machine.clone();
    if rig.heard.is_some() {
        if machine.up.is_none() || machine.address != rig.address {
            machine.up.get_or_insert(now);
            machine.address = rig.address.clone();
        }
        if let (Some(at), None) = (rig.recalled, machine.taken) {
            tracing::info!(machine = name, "recalled");
            machine.taken = Some(at);
            if machine.stage == MachineStage::Use {
                machine.stage = MachineStage::Drain;
            }
        }
    }
    // A new holder gives every worker time to find it.
    let last = rig.heard.max(rig.since.map(|s| s.1));
    if machine.up.is_some()
        && let Some(last) = last
    {
        match last.elapsed() > node.times.silent {
            true if machine.silent.is_none() => {
                tracing::info!(machine = name, "silent");
                machine.silent = Some(now);
            }
            false if rig.heard.is_some_and(|h| h.elapsed() <= node.times.silent) => {
                machine.silent = None;
            }
            _ => {}
        }
    }
    fetched(view, row, rig, &mut machine);
    if machine != row.machine {
        let key = rec::machine_key(name);
        units.push(guard.when(key.clone(), row.version).put(key, &machine));
    }
}

/// Notes images that tasks show to be there; the oldest give way once the
/// machine's cache is full.
fn fetched(view: &View, row: &crate::view::MachineRow, rig: &Rig, machine: &mut rec::Machine) {
    for (uid, index) in &row.tasks {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let attempt = job.tasks.get(index).map_or(0, |t| t.task.attempt);
        let spec = &job.job.spec;
        let there = rig
            .tasks
            .get(&(uid.clone(), *index, attempt))
            .is_some_and(|r| {
                matches!(
                    r.state,
                    TaskState::Waiting | TaskState::Running | TaskState::Saving
                )
            });
        if there && !machine.images.iter().any(|(i, _)| *i == spec.image) {
            machine.images.push((spec.image.clone(), spec.image_gb));
        }
    }
    let types = view.types.iter().flat_map(|t| &t.types);
    let cache = types
        .filter(|t| t.name == machine.kind)
        .map(|t| t.cache_gb)
        .fold(0.0, f64::max);
    while machine.images.len() > 1 && machine.images.iter().map(|i| i.1).sum::<f64>() > cache {
        machine.images.remove(0);
    }
}

/// Picks machines for the tasks assigned to our blocks.
fn placements(node: &Node) -> Vec<Unit> {
    let view = node.view();
    let Some(types) = view.types.clone() else {
        return Vec::new();
    };
    let now = now_ms();
    let seconds = now as f64 / 1000.0;
    let mut units = Vec::new();
    for (block, token) in held(node, &view) {
        let mut tasks = Vec::new();
        for uid in &view.live {
            let Some(job) = view.jobs.get(uid) else {
                continue;
            };
            let spec = &job.job.spec;
            let whole = spec.shape != Shape::Gang || job.tasks.len() == spec.tasks as usize;
            if job.job.phase != Phase::Active || !whole {
                continue;
            }
            for (index, t) in &job.tasks {
                if t.task.block == block && t.task.machine.is_none() && t.task.stop.is_none() {
                    tasks.push((spec.priority, job.job.at, uid.clone(), *index));
                }
            }
        }
        if tasks.is_empty() {
            continue;
        }
        tasks.sort();
        let mut round = Round {
            now: seconds,
            slots: Vec::new(),
            offers: Vec::new(),
            averages: &view.averages,
            teams: &node.settings.site.teams,
            usage: Usage::default(),
            tie_s: node.settings.site.workers.report_s,
            boot_factor: 1.0,
            rent_from: usize::MAX,
        };
        for (name, row) in &view.machines {
            let usable = row.machine.block == block
                && row.machine.stage == MachineStage::Use
                && row.machine.up.is_some()
                && row.machine.silent.is_none();
            let kind = types.types.iter().find(|t| t.name == row.machine.kind);
            if let (true, Some(kind)) = (usable, kind) {
                round
                    .slots
                    .push(slots::slot(&view, name, row, kind, seconds));
            }
        }
        for (_, _, uid, index) in tasks {
            let job = &view.jobs[&uid];
            let t = &job.tasks[&index];
            let waiting = Waiting {
                spec: job.job.spec.clone(),
                at: job.job.at,
                indexes: vec![index],
                places: Places::default(),
                avoid: view
                    .troubles
                    .get(&uid)
                    .map(|(_, t)| t.machines.clone())
                    .unwrap_or_default(),
            };
            let Some((i, finish)) = round.best(&waiting, true) else {
                continue;
            };
            round.slots[i].place(&job.job.spec, &finish);
            let name = round.slots[i].name.clone();
            let class = &job.job.spec.class;
            tracing::debug!(
                uid,
                index,
                machine = name,
                class,
                image = job.job.spec.image,
                "placed"
            );
            let task = rec::Task {
                machine: Some(name.clone()),
                at: now,
                ..t.task.clone()
            };
            let key = rec::task_key(&uid, index);
            units.push(
                Unit::default()
                    .when(rec::grant_key(&block), token)
                    .when(rec::job_key(&uid), job.version)
                    .when(rec::machine_key(&name), view.machines[&name].version)
                    .when(key.clone(), t.version)
                    .put(key, &task),
            );
        }
    }
    units
}

/// Sends what can't wait for the next report to the workers' own addresses.
fn send(node: &Arc<Node>) {
    let view = node.view();
    let mut rigs = lock(&node.rigs);
    let held = held(node, &view);
    let report = node.times.report;
    for (name, row) in &view.machines {
        let Some(&token) = held.get(&row.machine.block) else {
            continue;
        };
        if row.machine.up.is_none() || row.machine.stage == MachineStage::Delete {
            continue;
        }
        let rig = rigs.entry(name.clone()).or_default();
        if rig.since.is_none_or(|(t, _)| t != token) {
            rig.since = Some((token, Instant::now()));
        }
        if rig.inflight {
            continue;
        }
        let address = match rig.address.is_empty() {
            true => row.machine.address.clone(),
            false => rig.address.clone(),
        };
        let quiet = rig.heard.is_none_or(|at| at.elapsed() > report * 2);
        if quiet {
            // Not heard of: it may report to an earlier holder, or be cut off.
            if rig.probed_at.is_some_and(|at| at.elapsed() < report) {
                continue;
            }
            rig.probed_at = Some(Instant::now());
            rig.inflight = true;
            tokio::spawn(probe(
                node.clone(),
                name.clone(),
                address,
                row.machine.block.clone(),
            ));
            continue;
        }
        let commands = commands(&view, rig, name, token);
        let urgent = commands
            .iter()
            .any(|c| !matches!(c, Command::Forget { .. }));
        let due = rig.sent_at.is_none_or(|at| at.elapsed() > report / 2);
        if urgent && due && rig.session > 0 {
            rig.sent_at = Some(Instant::now());
            rig.inflight = true;
            let commands = DirectCommands {
                token,
                session: rig.session,
                commands,
            };
            tokio::spawn(direct(node.clone(), name.clone(), address, commands));
        }
    }
}

async fn direct(node: Arc<Node>, name: String, address: String, commands: DirectCommands) {
    let patience = node.times.report;
    let result = node.workers.command(&address, &commands, patience).await;
    {
        let mut rigs = lock(&node.rigs);
        let rig = rigs.entry(name.clone()).or_default();
        rig.inflight = false;
        match result {
            Ok((_, report)) => rig.take(&report, false),
            Err(Error::Unknown(error)) => {
                tracing::debug!(machine = name, error, "direct commands unanswered");
                let starts = |c: &Command| matches!(c, Command::Run { .. });
                if commands.commands.iter().any(starts) {
                    rig.tainted = Some((commands.token, commands.session));
                }
            }
            Err(error) => tracing::debug!(machine = name, %error, "direct commands failed"),
        }
    }
    node.poke();
}

/// Asks a silent worker for its report, and shows it our token: a worker that
/// still reports to an earlier holder is thereby led away from it.
async fn probe(node: Arc<Node>, name: String, address: String, block: String) {
    let patience = node.times.report;
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
    let mut rigs = lock(&node.rigs);
    let rig = rigs.entry(name).or_default();
    rig.inflight = false;
    if let Ok(report) = result {
        rig.take(&report, false);
    }
    drop(rigs);
    node.poke();
}

/// A start whose fate is unknown keeps its block from judging absences; a new
/// token, given by us to ourselves, fences it.
pub async fn fence_loop(node: Arc<Node>) {
    loop {
        sleep(node.times.silent).await;
        let mut txns = Vec::new();
        {
            let view = node.view();
            let rigs = lock(&node.rigs);
            for (block, token) in held(&node, &view) {
                let tainted = view.machines.iter().any(|(name, row)| {
                    row.machine.block == block
                        && rigs
                            .get(name)
                            .is_some_and(|r| r.tainted.is_some_and(|(t, _)| t >= token))
                });
                if tainted {
                    let grant = rec::Grant {
                        holder: node.me().into(),
                        nonce: node.nonce,
                    };
                    let key = rec::grant_key(&block);
                    txns.push(Transaction::default().when(&key, token).put(&key, &grant));
                }
            }
        }
        for txn in txns {
            if let Some(Write::Put { key, .. }) = txn.writes.first() {
                tracing::info!(key, "new token to fence unanswered starts");
            }
            let _ = node.commit(txn, For::Upkeep).await;
        }
    }
}
