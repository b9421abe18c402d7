//! The leader's work: lending blocks, giving waiting tasks to a block within
//! the teams' limits, and sizing the fleet. Every commit is conditioned on the
//! version of the leader key.

use crate::capacity::round;
use crate::capacity::timelines;
use crate::controller::{Controller, WritePriority, lock, now_ms};
use crate::leadership::election::{self, ShardReachability};
use crate::observability::work_profile::WorkKind;
use crate::view::{ClusterState, JobState, Name, TaskState};
use rushwalk_clients::store::CommitOutcome;
use rushwalk_protocol::jobs::Shape;
use rushwalk_protocol::records::{
    self as rec, JobPhase, LEADER, MachineLifecycle, MachineRecord, Mutation, StopReason,
};
use rushwalk_protocol::store::Transaction;
use rushwalk_scheduler::boot_times::{BootGroup, BootLateness, BootSample, BootTimeEstimator};
use rushwalk_scheduler::capacity::{CapacityEstimator, InstanceKind, Shortfall};
use rushwalk_scheduler::shards::{self, OwnerCandidate, ShardStatus};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// What a leader remembers; a new one starts with nothing.
#[derive(Default)]
pub struct LeaderState {
    pub election_id: Option<u64>,
    /// A commit of ours was not answered: it may come late, until the leader
    /// key is rewritten.
    pub uncertain: bool,
    /// What is known of what can be rented.
    pub capacity: CapacityEstimator,
    /// Machines found lacking that no call was made for as yet.
    pub shortfall: BTreeMap<InstanceKind, Shortfall>,
    pub idle_since: HashMap<Name, Instant>,
    pub pending_reasons: BTreeMap<String, &'static str>,
    /// When a machine was last emptied for want of use.
    pub service_moved: Option<Instant>,
    /// How many machines to try to do without, and when that last failed.
    pub scale_in_batch: usize,
    pub scale_in_failed: Option<Instant>,
    /// When the fleet was last sized.
    pub sized_at: Option<Instant>,
    /// Expected tasks that would have to wait on the whole fleet.
    pub expected_late: usize,
    /// When a block was last taken from a holder that was cut off.
    moved_for_need: HashMap<Name, Instant>,
    /// When a block was last taken from a holder to whom its machines don't come.
    moved_to_reachable: HashMap<Name, Instant>,
    /// When a member was last found cut off from its machines.
    owner_cut_off: HashMap<String, Instant>,
    /// When a block was last given to a member, beyond what had no holder.
    assigned_to: HashMap<String, Instant>,
    /// When a block was last moved for being better off elsewhere.
    rebalanced: Option<Instant>,
    /// Tasks restarted once because they were overdue.
    pub restarted_stragglers: BTreeSet<(Name, u32)>,
    /// Rentals whose request is under way.
    pub rentals_in_flight: BTreeSet<Name>,
    /// Rentals that were never asked for, with the leader key's version under
    /// which they were written (nobody else can have asked for them either) and
    /// the time by our uptime.
    pub unsent_rentals: BTreeMap<Name, (u64, f64)>,
    /// How machines boot, as of the latest round.
    pub boot_times: BootTimeEstimator,
    /// Machines given up before they came, with their nominal boot time.
    pub abandoned_boots: Vec<(BootGroup, f64, BootSample)>,
    /// When one of many late machines was given up to try another.
    trial_abandonments: Vec<(BootGroup, Instant)>,
    /// Since when this process leads.
    pub leader_since: Option<Instant>,
    /// Deleted machines, which the late list still shows for a while.
    pub deleted_machines: HashMap<Name, Instant>,
}

/// Items of a list in one change: no change outgrows a value.
pub const LISTED: usize = 100;

pub async fn leader_loop(node: Arc<Controller>) {
    loop {
        let started = Instant::now();
        let leading = {
            let view = node.view();
            node.leadership(&view)
        };
        let uncertain = lock(&node.leader_state).uncertain;
        if let Some(version) = leading
            && !uncertain
        {
            round(&node, version).await;
            let before = lock(&node.last_round).replace(Instant::now());
            if let Some(gap) = before.map(|at| at.elapsed()) {
                let mut pace = lock(&node.round_interval);
                *pace = (*pace * 7 + gap.min(node.timing.member_lease)) / 8;
            }
        }
        // A round each second or so; one that took long leaves as much time
        // to the others on this thread.
        let spent = started.elapsed();
        let pause = node.timing.round.saturating_sub(spent).max(spent);
        // Who has just come to lead begins at once.
        let _ = tokio::time::timeout(pause, node.leadership_acquired.notified()).await;
    }
}

/// Lending has a loop of its own: while blocks have no holder their workers ask
/// again every second, and a controller that is busy refusing them finds no time
/// for its rounds. That once kept blocks without a holder until all leases ran
/// out.
pub async fn lend_loop(node: Arc<Controller>) {
    loop {
        sleep(node.timing.round / 4).await;
        let leading = {
            let view = node.view();
            node.leadership(&view)
        };
        if let Some(version) = leading
            && !lock(&node.leader_state).uncertain
            && let Some((txn, needed, strayed)) = {
                let _turn = node.work_profile.start(WorkKind::AssignShards);
                lend(&node, version)
            }
        {
            if commit(&node, txn, WritePriority::Coordination).await {
                let (now, mut memory) = (Instant::now(), lock(&node.leader_state));
                match needed.is_empty() && strayed.is_empty() {
                    true => memory.rebalanced = Some(now),
                    false => memory
                        .moved_for_need
                        .extend(needed.into_iter().map(|b| (b, now))),
                }
                memory
                    .moved_to_reachable
                    .extend(strayed.into_iter().map(|b| (b, now)));
            }
            node.linearizable_read(node.timing.round).await;
        }
    }
}

/// Appends to the log under our leadership; false if it should not go on.
pub async fn append(
    node: &Controller,
    version: u64,
    ops: &[Mutation],
    whom: WritePriority,
) -> bool {
    if ops.is_empty() {
        return true;
    }
    let outcome = node.append(&[(LEADER.into(), version)], ops, whom).await;
    judge(node, &outcome)
}

/// Commits under our leadership.
pub async fn commit(node: &Controller, txn: Transaction, whom: WritePriority) -> bool {
    let outcome = node.commit(txn, whom).await;
    judge(node, &outcome)
}

/// Whether a commit under our leadership was taken; one of unknown fate is fenced
/// before anything else is decided.
pub fn judge(node: &Controller, outcome: &CommitOutcome) -> bool {
    match outcome {
        CommitOutcome::Committed(_) => true,
        CommitOutcome::Unanswered(_) => {
            // It may come late: rewrite the leader key before all else.
            lock(&node.leader_state).uncertain = true;
            node.read_requested.notify_one();
            false
        }
        _ => false,
    }
}

async fn round(node: &Arc<Controller>, version: u64) {
    let mut ops = {
        let _turn = node.work_profile.start(WorkKind::Schedule);
        upkeep(node)
    };
    let leads = |node: &Controller| {
        let view = node.view();
        node.leadership(&view) == Some(version)
    };
    if !ops.is_empty() && !append(node, version, &ops, WritePriority::WorkKind).await {
        return;
    }
    if !leads(node) {
        return;
    }
    ops = round::plan(node, version).await;
    append(node, version, &ops, WritePriority::WorkKind).await;
}

/// Who left more often than this of late gets no blocks while others can have them.
const FLIGHTY: usize = 2;

/// Lends blocks that nobody holds, or whose holder is cut off from them, and one
/// that is better off elsewhere. With those that had a holder and needed another, and
/// those whose machines turned up elsewhere.
fn lend(node: &Controller, version: u64) -> Option<(Transaction, Vec<Name>, Vec<Name>)> {
    let reach = ShardReachability::now(node);
    let view = node.view();
    let now = now_ms();
    let mut memory = lock(&node.leader_state);
    let lately = |at: Option<&Instant>, span: Duration| at.is_some_and(|at| at.elapsed() < span);
    let detector = lock(&node.detector);
    let uptime = node.uptime_s();
    // Started again and again: it may go before anybody has come to it. Not if that is
    // what most do: the others could not bear it all.
    let flighty = |name: &str| {
        let damping = &detector.damping;
        damping.departures(uptime, name) > FLIGHTY && !damping.is_eligible(uptime, name)
    };
    let few = 2 * view.members.keys().filter(|name| flighty(name)).count() < view.members.len();
    // One that is judged has nothing, whether or not its lease lasts.
    let there = |(name, m): &(&String, &rec::MemberRecord)| {
        let leaves = few && flighty(name);
        !leaves && !detector.has_lost_shards(name, m.incarnation)
    };
    let names: Vec<&String> = view.members.iter().filter(there).map(|m| m.0).collect();
    // Leading takes about as much as half a share of the machines.
    let share = view.machines.len() / names.len().max(1) / 2;
    let members: Vec<OwnerCandidate> = (view.members.iter())
        .filter(there)
        .map(|(name, m)| {
            // A member that has just come back gets its zone after a while only, which
            // grows if it comes and goes.
            let pause = (detector.damping.delay_s(uptime, name) * 1000.0) as u64;
            let slow = detector.is_slow(name);
            let lag = match name == node.member() {
                true => node.runtime_lag.mean_lag().as_secs_f64(),
                false => detector
                    .last_heartbeat(name, uptime)
                    .map_or(0.0, |h| h.heartbeat.lag_ms as f64 / 1000.0),
            };
            let busy = match name == node.member() {
                true => node.busy_permille.load(Ordering::Relaxed),
                false => detector
                    .last_heartbeat(name, uptime)
                    .map_or(0, |h| h.heartbeat.busy_permille),
            };
            let spans = detector.config().timing();
            // Step by step: the next block when it has shown that it serves the last.
            let step = node.timing.member_lease.max(node.timing.heartbeat);
            let unproven = detector.damping.departures(uptime, name) > 1
                || lately(
                    memory.owner_cut_off.get(name.as_str()),
                    node.timing.worker_lease,
                );
            let fit = detector.damping.is_eligible(uptime, name);
            let proven = !unproven || !lately(memory.assigned_to.get(name.as_str()), step);
            OwnerCandidate {
                name,
                zone: &m.zone,
                eligible_for_moves: now > m.registered_ms + pause && fit && proven,
                extra_load: if name == node.member() { share } else { 0 },
                trusted: !detector.is_doubtful(name) && !slow,
                slow,
                has_headroom: spans.has_headroom(lag, f64::from(busy) / 1000.0),
            }
        })
        .collect();
    // One whose lease has ended may still live and hold its blocks, by its last read: if
    // it says so to us it is given the time to come back.
    let grace = node.timing.member_lease.as_secs_f64() / 2.0;
    let lingers = |g: &rec::ShardLease| {
        !view.is_owner_registered(g)
            && detector.lingers_after_expiry(&g.owner, g.incarnation, uptime, grace)
    };
    // Every zone has a block, before its first machine.
    let zones = node.settings.site.zones.iter().map(|z| z.as_str().into());
    let blocks: BTreeSet<Name> = zones.chain(view.shards.keys().cloned()).collect();
    // One that ended is mostly back before its lease ends.
    let busy = detector.last_heartbeats(uptime).filter(|h| h.age_s < grace);
    let busy = busy.map(|hello| hello.heartbeat.busy_permille);
    let own = node.busy_permille.load(Ordering::Relaxed);
    let roomy = election::roomy(busy.chain([own]));
    let returns = |g: &rec::ShardLease| {
        !roomy && view.is_owner_registered(g) && detector.failed_by_refusal(&g.owner, g.incarnation)
    };
    let wait = |b: &Name| {
        let grant = view.shard_leases.get(b).map(|(_, g)| g);
        grant.is_some_and(|g| lingers(g) || returns(g))
    };
    let blocks: Vec<Name> = blocks.into_iter().filter(|b| !wait(b)).collect();
    drop(detector);
    let mut strayed = Vec::new();
    let lent: Vec<ShardStatus> = (blocks.iter())
        .map(|block| {
            let grant = view.shard_leases.get(block).map(|(_, g)| g);
            let valid = grant.filter(|g| view.is_owner_registered(g));
            // A holder that hears nothing of most of its machines is cut off from
            // them. Only once while their leases last: if the next one hears
            // nothing either, the machines are cut off, and each new holder would
            // have to wait anew for their leases to run out, which takes so long.
            let settle = node.timing.worker_lease
                + node.timing.lease_validity
                + node.timing.unreachable_after;
            let strayed_at = memory.moved_to_reachable.get(block);
            let moved =
                lately(memory.moved_for_need.get(block), settle) || lately(strayed_at, settle);
            // That they turn up at somebody else shows that they can be reached; but not
            // if they turn up at everybody in turn. Those hear nobody, and with a block
            // that went round their tasks were not known to be gone for as long as that
            // lasted.
            let (up, silent) = view.shard_counts(block);
            let again = match silent > 0 {
                true => lately(strayed_at, settle),
                false => lately(strayed_at, node.timing.member_lease),
            };
            let at = valid
                .filter(|_| !again)
                .map(|g| reach.elsewhere(block, &g.owner, up.saturating_sub(silent)));
            let at = at.unwrap_or_default();
            let place = |name: &&str| names.binary_search_by(|n| n.as_str().cmp(name)).ok();
            if !at.is_empty() {
                strayed.push(block.clone());
            }
            ShardStatus {
                zone: zone_of(block),
                machines: view.shards.get(block).map_or(0, BTreeSet::len),
                owner: valid.and_then(|g| names.binary_search(&&g.owner).ok()),
                has_unreachable: view.shard_counts(block).1 > 0,
                owner_cut_off: !at.is_empty()
                    || valid.is_some() && !moved && mostly_silent(&view, block),
                reachable_from: at.iter().filter_map(place).collect(),
            }
        })
        .collect();
    // Each move leads a block's workers elsewhere: one at a time.
    let more = !lately(memory.rebalanced.as_ref(), node.timing.round);
    let mut txn = Transaction::default().expect_version(LEADER, version);
    let mut needed = Vec::new();
    for (i, to) in shards::lend(&members, &lent, more) {
        if txn.writes.len() >= node.settings.site.store.txn_ops {
            break;
        }
        let (block, to) = (&blocks[i], members[to].name);
        let Some(member) = view.members.get(to) else {
            continue;
        };
        let taken = lent[i].owner_cut_off && !strayed.contains(block) || lent[i].owner.is_none();
        if taken && view.shard_leases.contains_key(block) {
            needed.push(block.clone());
        }
        let why = why(&lent[i], &members);
        if lent[i].owner.is_some() && !lent[i].owner_cut_off {
            memory.assigned_to.insert(to.into(), Instant::now());
        }
        tracing::info!(
            block = &**block,
            to,
            machines = lent[i].machines,
            why,
            "block lent"
        );
        if lent[i].owner_cut_off
            && strayed.contains(block)
            && let Some((_, grant)) = view.shard_leases.get(block)
        {
            election::lost_reach(node, &grant.owner, grant.incarnation);
            memory
                .owner_cut_off
                .insert(grant.owner.clone(), Instant::now());
        }
        let key = rec::grant_key(block);
        let grant = rec::ShardLease {
            owner: to.into(),
            incarnation: member.incarnation,
        };
        txn = txn
            .expect_version(&key, view.key_version(&key))
            .put(&key, &grant);
    }
    (!txn.writes.is_empty()).then_some((txn, needed, strayed))
}

/// Why a block is lent anew, for the log.
fn why(block: &ShardStatus, members: &[OwnerCandidate]) -> &'static str {
    match block.owner {
        None => "it has no holder",
        Some(_) if !block.reachable_from.is_empty() => "its machines come to others",
        Some(_) if block.owner_cut_off => "its machines are silent",
        Some(holder) if members[holder].slow => "its holder is too slow",
        Some(_) => "balance",
    }
}

/// So many jobs that fail on a machine, with none finishing in between, show that
/// it is faulty; one or two may have been submitted with a mistake.
const FAULTY: usize = 3;

/// Broken gangs, assignments that no holder took up, machines to be given up.
fn upkeep(node: &Controller) -> Vec<Mutation> {
    let view = node.view();
    let now = now_ms();
    let mut memory = lock(&node.leader_state);
    let late = late(node, &view, &mut memory, now);
    let mut back: BTreeMap<(Name, u64), Vec<u32>> = BTreeMap::new();
    let mut stops: BTreeMap<(Name, u64, u8), Vec<u32>> = BTreeMap::new();
    let mut ops = Vec::new();
    let stuck = (4.0 * node.timing.round.as_secs_f64() * 1000.0) as u64;
    for (uid, index) in &view.unplaced {
        let task = view.jobs.get(uid).and_then(|j| j.tasks.get(index));
        if let Some(t) = task
            && now > t.record.scheduled_ms + stuck
        {
            // Its holder found no room, or is gone: back to the waiting.
            let key = (uid.clone(), t.record.attempt);
            back.entry(key).or_default().push(*index);
        }
    }
    for uid in &view.with_tasks {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        if job.spec.shape != Shape::Gang || job.phase != JobPhase::Active {
            continue;
        }
        let missing = (job.tasks.len() as u32) < job.spec.tasks;
        let stopping = job.tasks.values().any(|t| t.record.stop_reason.is_some());
        if missing || stopping {
            for (index, t) in job
                .tasks
                .iter()
                .filter(|(_, t)| t.record.stop_reason.is_none())
            {
                let key = (uid.clone(), t.record.attempt, 0);
                stops.entry(key).or_default().push(*index);
            }
        }
    }
    let mut given_up = Vec::new();
    let mut aside = Vec::new();
    for (name, row) in &view.machines {
        if row.record.lifecycle == MachineLifecycle::Deleting {
            continue;
        }
        let why = match late.contains(name) {
            true => Some("it does not come up"),
            false => give_up(node, &view, &row.record, now),
        };
        if let Some(why) = why {
            tracing::info!(machine = &**name, why, "machine given up");
            given_up.push(name.clone());
            continue;
        }
        if row.record.lifecycle == MachineLifecycle::Active && row.failed_jobs.len() >= FAULTY {
            tracing::info!(machine = &**name, jobs = ?row.failed_jobs, "machine set aside");
            aside.push(name.clone());
        }
        if row.record.lifecycle != MachineLifecycle::Draining {
            continue;
        }
        for (uid, index) in &row.tasks {
            let Some((job, t)) = view.task(uid, *index) else {
                continue;
            };
            let open = t.record.stop_reason.is_none() && job.phase == JobPhase::Active;
            if open && drains(&view, job, t, row, now) {
                let key = (uid.clone(), t.record.attempt, 1);
                stops.entry(key).or_default().push(*index);
            }
        }
    }
    for ((uid, attempt), tasks) in back {
        for some in tasks.chunks(LISTED) {
            ops.push(Mutation::Unassign(uid.clone(), attempt, some.to_vec()));
        }
    }
    for ((uid, attempt, why), tasks) in stops {
        let why = [StopReason::GangBroken, StopReason::Evicted][usize::from(why.min(1))];
        for some in tasks.chunks(LISTED) {
            ops.push(Mutation::Stop(uid.clone(), attempt, why, some.to_vec()));
        }
    }
    for some in aside.chunks(LISTED) {
        ops.push(Mutation::SetLifecycle(
            MachineLifecycle::Draining,
            some.to_vec(),
        ));
    }
    for some in given_up.chunks(LISTED) {
        ops.push(Mutation::SetLifecycle(
            MachineLifecycle::Deleting,
            some.to_vec(),
        ));
    }
    ops
}

/// Whether a task should leave its machine: a service always, others if it is
/// being taken back and they save, or would not be finished by then. On one that
/// is only to be given back they run to their end.
fn drains(
    view: &ClusterState,
    job: &JobState,
    t: &TaskState,
    row: &crate::view::MachineState,
    now: u64,
) -> bool {
    if job.spec.shape == Shape::Service {
        return true;
    }
    row.record.reclaim_ms.is_some_and(|taken| {
        let end = timelines::predicted_end(view, job, t, row, now as f64 / 1000.0);
        job.spec.checkpoint_s > 0.0 || end > taken as f64 / 1000.0
    })
}

/// One in so many of the machines that are late, as all rented with them are, is given up
/// in a boot time to see how another one fares.
const TRIED: usize = 8;

/// Machines to give up since others would come sooner. One that never comes holds what
/// can be rented of its kind: 580 did for 250 s, and all others were in use.
fn late(
    node: &Controller,
    view: &ClusterState,
    memory: &mut LeaderState,
    now: u64,
) -> BTreeSet<Name> {
    let Some(types) = view.machine_types.clone() else {
        return BTreeSet::new();
    };
    let zones = timelines::zones(&types, &node.settings.site);
    let report_s = node.timing.heartbeat.as_secs_f64();
    memory.boot_times = round::boots(view, memory, &types, &zones, (now, report_s));
    // Who has just come to lead does not know what the holders are about to say.
    let settled = memory
        .leader_since
        .is_some_and(|at| at.elapsed() > node.timing.unreachable_after);
    if !settled {
        return BTreeSet::new();
    }
    let mut out = BTreeSet::new();
    let mut alike: Vec<(BootGroup, u64, &Name, f64)> = Vec::new();
    for (name, row) in &view.machines {
        let m = &row.record;
        let held = || {
            view.shard_leases
                .get(&m.shard)
                .is_some_and(|(_, g)| view.is_owner_registered(g))
        };
        if m.ready_ms.is_some() || m.lifecycle == MachineLifecycle::Deleting || !held() {
            continue;
        }
        let Some((group, kind)) = round::booting(m, &types, &zones) else {
            continue;
        };
        match memory
            .boot_times
            .lateness(group, kind.boot_s, m.rented_ms as f64 / 1000.0)
        {
            BootLateness::OnTime => {}
            BootLateness::LateLikeOthers => alike.push((group, m.rented_ms, name, kind.boot_s)),
            BootLateness::ReplaceNow => {
                out.insert(name.clone());
            }
        }
    }
    // Are they all late still? If work waits it is worth a try now and then.
    alike.sort_by_key(|(group, rented, ..)| (*group, *rented));
    if memory.pending_reasons.is_empty() {
        alike.clear();
    }
    for some in alike.chunk_by(|a, b| a.0 == b.0) {
        let (group, boot_s) = (some[0].0, some[0].3);
        let tried = &mut memory.trial_abandonments;
        tried.retain(|(g, at)| *g != group || at.elapsed().as_secs_f64() < boot_s);
        let lately = tried.iter().filter(|(g, _)| *g == group).count();
        let more = (some.len() / TRIED).saturating_sub(lately);
        for (_, _, name, _) in some.iter().take(more) {
            tried.push((group, Instant::now()));
            out.insert((*name).clone());
        }
    }
    for m in out.iter().filter_map(|name| view.machines.get(name)) {
        let m = &m.record;
        if let Some((group, kind)) = round::booting(m, &types, &zones) {
            let seen = BootSample {
                rented_s: m.rented_ms as f64 / 1000.0,
                elapsed_s: now.saturating_sub(m.rented_ms) as f64 / 1000.0,
                booted: false,
            };
            memory.abandoned_boots.push((group, kind.boot_s, seen));
        }
    }
    out
}

/// Why a machine is to be deleted at once, whatever is on it.
fn give_up(
    node: &Controller,
    view: &ClusterState,
    m: &MachineRecord,
    now: u64,
) -> Option<&'static str> {
    if let Some(taken) = m.reclaim_ms
        && now > taken + node.timing.round.as_millis() as u64 * 3
    {
        // Its notice has run out: it is gone, or will be in a moment.
        return Some("it was taken back");
    }
    let silent = m.unreachable_since_ms?;
    // Spot machines that fall silent were mostly taken without notice. Others
    // rarely die, and so do whole blocks: that is rather a cut, behind which
    // the tasks go on. Until their lease runs out they are not given up, and
    // then the machine may yet come back, empty but with its images.
    let patience = match m.spot && !mostly_silent(view, &m.shard) {
        true => Duration::ZERO,
        false => 2 * node.timing.worker_lease + node.timing.lease_validity,
    };
    (now >= silent + patience.as_millis() as u64).then_some("it is silent")
}

/// Whether most machines of a block are silent: its holder is cut off.
fn mostly_silent(view: &ClusterState, block: &str) -> bool {
    let (all, quiet) = view.shard_counts(block);
    quiet > 2 && quiet * 2 > all
}

/// Blocks are called after their zone, with a number behind `#` if split.
pub fn zone_of(block: &str) -> &str {
    block.split_once('#').map_or(block, |(zone, _)| zone)
}
