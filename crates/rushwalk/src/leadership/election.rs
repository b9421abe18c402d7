//! From judgement to action: who leads, who lays the lead down, and what is told of
//! blocks whose holder does not hear them. The judgement itself is in
//! `crates/failure-detector`; here it meets the view and the state service.

use crate::controller::{Controller, WritePriority, lock, now_ms};
use crate::random;
use crate::view::{ClusterState, Name};
use rushwalk_clients::store::CommitOutcome;
use rushwalk_failure_detector::damping::MembershipTerm;
use rushwalk_failure_detector::reachability::{self, due_s, enough};
use rushwalk_failure_detector::succession::{self, LeaderCandidate, SlownessTracker};
use rushwalk_failure_detector::{LocalHealth, PeerHealth};
use rushwalk_protocol::peers::PeerHeartbeat;
use rushwalk_protocol::records::{self as rec, LEADER};
use rushwalk_protocol::store::Transaction;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The share of time in which the thread was busy of late.
fn share(node: &Controller) -> f64 {
    f64::from(node.busy_permille.load(Ordering::Relaxed)) / 1000.0
}

/// What this controller knows of itself.
pub fn own(node: &Controller) -> LocalHealth {
    let revision = node.view().revision;
    let passed = *lock(&node.leadership_moved);
    LocalHealth {
        recent_lag_s: node.runtime_lag.recent_lag().as_secs_f64(),
        mean_lag_s: node.runtime_lag.mean_lag().as_secs_f64(),
        busy_share: share(node),
        staleness_s: node.staleness().as_secs_f64(),
        since_leadership_moved_s: passed.map_or(f64::INFINITY, |at| at.elapsed().as_secs_f64()),
        revision,
    }
}

/// If this controller leads, how long ago its last planning round was finished.
pub fn planned(node: &Controller) -> Option<Duration> {
    node.leadership(&node.view())?;
    lock(&node.last_round).map(|at| at.elapsed())
}

/// Blocks lent to us of whose machines none is heard though some are overdue.
pub fn deaf(node: &Controller) -> Vec<String> {
    let view = node.view();
    let mut reports = lock(&node.workers_seen);
    let report = node.timing.heartbeat.as_secs_f64();
    let mut out = Vec::new();
    reports
        .owned_since
        .retain(|block, _| view.shard_leases.contains_key(block));
    for block in view.shard_leases.keys() {
        let Some(token) = node.fencing_token(&view, block) else {
            reports.owned_since.remove(block);
            continue;
        };
        let heard = reports.shard_last_heard.get(block).copied();
        let lent = reports.owned_since.entry(block.clone());
        let lent = lent.or_insert((token, Instant::now()));
        if lent.0 != token {
            *lent = (token, Instant::now());
        }
        let lent = lent.1;
        let quiet = heard
            .map_or(lent, |at| at.max(lent))
            .elapsed()
            .as_secs_f64();
        let (up, silent) = view.shard_counts(block);
        let machines = up.saturating_sub(silent);
        // Few blocks are quiet at all: the machines of the others aren't looked at.
        if !reachability::deaf(machines, machines, quiet, report) {
            continue;
        }
        let ago = |at: Instant| -at.elapsed().as_secs_f64();
        let overdue = |name: &&Name| {
            let there = view.machines.get(*name).map(|row| &row.record);
            let heard = reports
                .sessions
                .get(*name)
                .and_then(|w| w.last_heard)
                .map(ago);
            there.is_some_and(|m| m.ready_ms.is_some() && m.unreachable_since_ms.is_none())
                && due_s(heard, ago(lent), report) < 0.0
        };
        let overdue = view.shards.get(block).into_iter().flatten().filter(overdue);
        if reachability::deaf(machines, overdue.count(), quiet, report) {
            out.push(block.to_string());
        }
    }
    out
}

/// The terms of all members as the state service has them, and who wrote lately.
#[derive(Default)]
struct ObservedMembership {
    wrote: BTreeMap<String, u64>,
    leader: Option<(u64, String)>,
    /// When an entry of ours was last seen.
    ours: Option<Instant>,
}

fn term(member: &rec::MemberRecord) -> MembershipTerm {
    MembershipTerm {
        incarnation: member.incarnation,
        since: member.registered_ms,
    }
}

/// The share of time in which a thread is busy, over some rounds.
struct BusyShare {
    looked: Instant,
    busy_s: f64,
    share: f64,
}

impl BusyShare {
    fn look(&mut self, node: &Controller) {
        let passed = self.looked.elapsed().as_secs_f64();
        if passed < node.timing.round.as_secs_f64() {
            return;
        }
        let (_, busy_s) = node.busy_seconds();
        let share = ((busy_s - self.busy_s) / passed).clamp(0.0, 1.0);
        self.share += (share - self.share) / 4.0;
        (self.looked, self.busy_s) = (Instant::now(), busy_s);
        let thousandths = (self.share * 1000.0) as u16;
        node.busy_permille.store(thousandths, Ordering::Relaxed);
    }
}

/// Follows the evidence, and judges a few times between two greetings.
pub async fn standing_loop(node: Arc<Controller>) {
    let mut followed = ObservedMembership::default();
    let mut busy = BusyShare {
        looked: Instant::now(),
        busy_s: 0.0,
        share: 1.0,
    };
    loop {
        sleep(node.timing.peer_heartbeat / 2).await;
        busy.look(&node);
        let own = own(&node);
        follow(&node, &mut followed);
        let changes = lock(&node.detector).evaluate(node.uptime_s(), own);
        for change in changes {
            let (member, why) = (&change.member, change.reason);
            let (phi, after_s) = (tenths(change.phi), tenths(change.previous_lasted_s));
            let (agree, of) = (change.agreeing, change.witnesses);
            match change.to {
                PeerHealth::Healthy => tracing::info!(member, after_s, "trusted again"),
                PeerHealth::Suspected => {
                    // A verdict needs a read made since; the watch may be waiting.
                    node.read_requested.notify_one();
                    tracing::info!(member, ?why, phi, agree, of, "suspected");
                }
                PeerHealth::Failed => {
                    tracing::info!(member, ?why, phi, after_s, agree, of, "judged to be gone");
                }
            }
            node.notify_changed();
        }
        sign_of_life(&node, &followed).await;
    }
}

fn tenths(s: f64) -> f64 {
    (s * 10.0).round() / 10.0
}

/// Takes what the view shows into the evidence.
fn follow(node: &Controller, followed: &mut ObservedMembership) {
    let view = node.view();
    if node.last_read_sent.get().is_none() {
        return;
    }
    let now = node.uptime_s();
    let mut detector = lock(&node.detector);
    for peer in &node.settings.peers {
        let member = view.members.get(&peer.member);
        detector.record_membership(now, &peer.member, member.map(term));
    }
    for (name, revision) in &view.last_writes {
        if followed.wrote.insert(name.clone(), *revision) != Some(*revision) {
            match name == node.member() {
                true => followed.ours = Some(Instant::now()),
                false => detector.record_write(now, name),
            }
        }
    }
    // Laid down, or taken by a verdict, if its holder is still a member.
    let leader = view.leader.as_ref().map(|(v, l)| (*v, l.member.clone()));
    let after = leader.as_ref().map(|(_, member)| member);
    if let Some((version, before)) = &followed.leader
        && after != Some(before)
        && view.members.contains_key(before)
    {
        if after.is_none() {
            let term = MembershipTerm {
                incarnation: 0,
                since: *version,
            };
            detector.record_departure(now, before, term);
        }
        *lock(&node.leadership_moved) = Some(Instant::now());
    }
    followed.leader = leader;
}

/// One whom no other controller answers shows in the log that it lives, if nothing
/// else that it writes does: its member key, written again as it is.
async fn sign_of_life(node: &Controller, followed: &ObservedMembership) {
    let quiet = node.timing.round * 2;
    let lately = |at: Option<Instant>| at.is_some_and(|at| at.elapsed() < quiet);
    let heard = lock(&node.detector)
        .last_heartbeats(node.uptime_s())
        .any(|(age, _)| age < 4.0 * node.timing.peer_heartbeat.as_secs_f64());
    if heard
        || lately(followed.ours)
        || node.settings.peers.is_empty()
        || !node.shard_leases_valid()
    {
        return;
    }
    let Some(lease) = *lock(&node.member_lease) else {
        return;
    };
    let key = rec::member_key(node.member());
    let txn = {
        let view = node.view();
        let mine = view.members.get(node.member());
        let Some(mine) = mine.filter(|m| m.incarnation == node.incarnation) else {
            return;
        };
        Transaction::default()
            .expect_version(&key, view.key_version(&key))
            .put_leased(&key, mine, lease)
    };
    if let CommitOutcome::LeaseExpired = node.commit(txn, WritePriority::Maintenance).await {
        *lock(&node.member_lease) = None;
    }
}

/// Takes the lead when nobody has it or its holder is judged, in the order of the
/// candidates; lays it down when somebody else would do better.
pub async fn lead_loop(node: Arc<Controller>) {
    let mut seen = node.changed.get();
    let mut leaderless: Option<Instant> = None;
    let mut pace = SlownessTracker::default();
    let look = node.timing.peer_heartbeat / 2;
    loop {
        // A change shows at once; time alone changes the rest.
        let changed = node.changed.wait_for(|n| n != seen);
        let _ = tokio::time::timeout(look, changed).await;
        seen = node.changed.get();
        let lease = *lock(&node.member_lease);
        let Some(lease) = lease.filter(|_| node.is_registered()) else {
            leaderless = None;
            continue;
        };
        let leading = {
            let view = node.view();
            node.leadership(&view)
        };
        if let Some(version) = leading {
            leaderless = None;
            if lock(&node.leader_state).uncertain {
                elect(&node, lease).await;
                sleep(look).await;
            } else if let Some(to) = should_stand_down(&node, &mut pace) {
                stand_down(&node, version, &to).await;
                sleep(look).await;
            }
            continue;
        }
        if !open(&node) {
            leaderless = None;
            continue;
        }
        if node.is_crash_looping() {
            leave_to_others(&node).await;
        }
        let since = *leaderless.get_or_insert_with(Instant::now);
        if since.elapsed() < turn(&node) {
            // Nothing may change meanwhile but the time.
            sleep(look / 4).await;
            continue;
        }
        elect(&node, lease).await;
        // If it came to nothing, the state service has enough to do.
        sleep(look).await;
    }
}

/// Whether the lead can be taken: nobody has it, a process of ours before this one, or
/// somebody who is judged. The commit is conditioned on the key as we have seen it.
fn open(node: &Controller) -> bool {
    let view = node.view();
    match &view.leader {
        None => true,
        Some((_, leader)) if leader.member == node.member() => true,
        Some((_, leader)) => gone(node, &view, &leader.member),
    }
}

/// Whether the process that a member's key stands for is judged.
pub fn gone(node: &Controller, view: &ClusterState, member: &str) -> bool {
    let there = view.members.get(member);
    there.is_some_and(|m| lock(&node.detector).is_failed(member, m.incarnation))
}

/// How long to wait for those who come before us.
fn turn(node: &Controller) -> Duration {
    let detector = lock(&node.detector);
    let now = node.uptime_s();
    let others = detector.candidates(now);
    let fit = detector.damping.is_eligible(now, node.member());
    let me = LeaderCandidate {
        name: node.member(),
        trusted: true,
        eligible: fit,
        mean_lag_s: node.runtime_lag.mean_lag().as_secs_f64(),
        busy_share: share(node),
        staleness_s: node.staleness().as_secs_f64(),
    };
    let place = succession::place(&me, &others, detector.config().timing());
    let step = node.timing.round / 4;
    let line = (step * place as u32).min(node.timing.member_lease / 2);
    // Who laid it down or lost it of late leaves it to others, if there are any.
    let unfit = match place > 0 && !fit || !others.is_empty() && node.is_crash_looping() {
        true => node.timing.round * 2,
        false => Duration::ZERO,
    };
    line + unfit
}

/// So many rounds after its last one a leader whose timers are late does not make them.
const ROUNDS: f64 = 2.5;

fn should_stand_down(node: &Controller, pace: &mut SlownessTracker) -> Option<String> {
    let planned = lock(&node.last_round).map(|at| at.elapsed());
    let detector = lock(&node.detector);
    let (now, late) = (node.uptime_s(), node.runtime_lag.mean_lag().as_secs_f64());
    let spans = detector.config().timing();
    // Late for two rounds; or late, and its rounds don't come.
    let slow = pace.observe(now, late, spans, 2.0);
    // As compared to its own of late: many jobs take long to plan, wherever that is done.
    let pace = (*lock(&node.round_interval)).max(node.timing.round);
    let rounds = planned.is_some_and(|age| age > pace.mul_f64(ROUNDS));
    let stalled = rounds && late >= spans.slow_threshold_s() / 2.0;
    if !(slow || stalled) {
        return None;
    }
    // Once in a lease, whoever it was: if the next one can't keep up either, it is the
    // load, and it would go round.
    if lock(&node.leadership_moved).is_some_and(|at| at.elapsed() < node.timing.worker_lease) {
        return None;
    }
    let to = succession::better(&detector.candidates(now), spans);
    to.map(str::to_string)
}

/// Lays the lead down by removing its key: whatever of ours is still under way is
/// conditioned on it and fails.
async fn stand_down(node: &Controller, version: u64, to: &str) {
    let late_ms = node.runtime_lag.mean_lag().as_millis() as u64;
    tracing::info!(late_ms, to, "laying down the lead: too slow for it");
    let txn = Transaction::default()
        .expect_version(LEADER, version)
        .delete(LEADER);
    match node.commit(txn, WritePriority::Coordination).await {
        CommitOutcome::Committed(revision) => {
            let term = MembershipTerm {
                incarnation: 0,
                since: version,
            };
            lock(&node.detector).record_departure(node.uptime_s(), node.member(), term);
            node.wait_for_revision(revision, node.timing.round * 2)
                .await;
        }
        CommitOutcome::Unanswered(_) => lock(&node.leader_state).uncertain = true,
        _ => {}
    }
}

/// The lead still belongs to our process before this one, which ended as soon as it had
/// it: its key is removed, so that somebody takes it who may live longer. One that ended
/// again and again while it started took the lead each time, for 20 s, and its machines
/// were heard by nobody.
async fn leave_to_others(node: &Controller) {
    let txn = {
        let view = node.view();
        let ours = |l: &rec::LeaderRecord| l.member == node.member() && view.members.len() > 1;
        match &view.leader {
            Some((version, leader)) if ours(leader) => Transaction::default()
                .expect_version(LEADER, *version)
                .delete(LEADER),
            _ => return,
        }
    };
    if let CommitOutcome::Committed(revision) = node.commit(txn, WritePriority::Coordination).await
    {
        tracing::info!("leaving the lead to others: the process before ended soon");
        node.wait_for_revision(revision, node.timing.round * 2)
            .await;
    }
}

/// Takes the lead if nobody has it who lives.
pub async fn elect(node: &Controller, lease: u64) {
    if !node.is_registered() {
        // A leader that was no member as yet lent all blocks to others.
        return;
    }
    let nonce = random::random_id();
    let led;
    let txn = {
        let view = node.view();
        let mine = node.leadership(&view).is_some();
        let (uncertain, nonce_known) = {
            let memory = lock(&node.leader_state);
            (memory.uncertain, memory.election_id)
        };
        let leader = view.leader.as_ref();
        led = leader.is_some_and(|(_, l)| Some(l.election_id) == nonce_known);
        match &view.leader {
            // Our own earlier process, or commits of ours that may come late.
            Some((_, l))
                if l.member == node.member() && !mine && Some(l.election_id) == nonce_known =>
            {
                // Ours, and only not yet caught up with.
                return;
            }
            Some((_, l)) if l.member == node.member() && (!mine || uncertain) => {}
            Some((_, l)) if gone(node, &view, &l.member) => {}
            Some(_) => return,
            None => {}
        }
        let leader = rec::LeaderRecord {
            member: node.member().into(),
            election_id: nonce,
        };
        Transaction::default()
            .expect_version(LEADER, view.key_version(LEADER))
            .put_leased(LEADER, &leader, lease)
    };
    lock(&node.leader_state).election_id = Some(nonce);
    match node.commit(txn, WritePriority::Coordination).await {
        CommitOutcome::Committed(revision) => {
            {
                let mut memory = lock(&node.leader_state);
                memory.uncertain = false;
                if !led {
                    memory.leader_since = Some(Instant::now());
                }
            }
            *lock(&node.last_round) = Some(Instant::now());
            *lock(&node.round_interval) = node.timing.round;
            tracing::info!(revision, "leading");
            node.wait_for_revision(revision, node.timing.round * 2)
                .await;
            node.leadership_acquired.notify_one();
        }
        CommitOutcome::LeaseExpired => *lock(&node.member_lease) = None,
        // The next turn looks at what came of it.
        _ => {}
    }
}

/// Whether controllers have room for the machines of one that ended, for the few seconds
/// until it is back: less than a third of their time is taken. Else the workers wait for
/// it: to move a thousand of them there and back took more than all had to give.
pub fn roomy(busy: impl Iterator<Item = u16>) -> bool {
    let (count, sum) = busy.fold((0u32, 0u32), |(n, sum), b| (n + 1, sum + u32::from(b)));
    count > 0 && sum < count * 1000 / 3
}

/// What is known of a block whose holder may not hear its machines.
pub struct ShardReachability {
    /// Hellos of all others, by their names.
    hellos: BTreeMap<String, PeerHeartbeat>,
}

impl ShardReachability {
    pub fn now(node: &Controller) -> ShardReachability {
        let detector = lock(&node.detector);
        let fresh = detector.config().round_s * 2.0;
        let told = detector
            .last_heartbeats(node.uptime_s())
            .filter(|(age, _)| *age < fresh);
        let mut hellos: BTreeMap<String, PeerHeartbeat> =
            told.map(|(_, h)| (h.member.clone(), h.clone())).collect();
        drop(detector);
        let ours = PeerHeartbeat {
            member: node.member().into(),
            unreachable_shards: deaf(node),
            misrouted_workers: lock(&node.misrouted)
                .counts(node.uptime_s(), node.timing.heartbeat.as_secs_f64()),
            ..PeerHeartbeat::default()
        };
        hellos.insert(node.member().into(), ours);
        ShardReachability { hellos }
    }

    /// If its holder says that it hears nothing of a block with so many machines up,
    /// and enough of them turned up elsewhere: at whom.
    pub fn elsewhere(&self, block: &Name, holder: &str, up: usize) -> Vec<&str> {
        let deaf = |h: &PeerHeartbeat| h.unreachable_shards.iter().any(|b| **b == **block);
        if !self.hellos.get(holder).is_some_and(deaf) {
            return Vec::new();
        }
        let at = |h: &&PeerHeartbeat| h.member != holder;
        let counts = self.hellos.values().filter(at).filter_map(|h| {
            let count = h.misrouted_workers.iter().find(|(b, _)| **b == **block)?.1;
            Some((h.member.as_str(), count as usize))
        });
        let counts: Vec<_> = counts.collect();
        let all: usize = counts.iter().map(|(_, n)| n).sum();
        match all >= enough(up) {
            true => counts.into_iter().map(|(name, _)| name).collect(),
            false => Vec::new(),
        }
    }
}

/// A holder that was found cut off from its machines: it gets blocks back after its
/// pause. All of its blocks that are found so together are one departure.
pub fn lost_reach(node: &Controller, holder: &str, nonce: u64) {
    let span = node.timing.member_lease.as_millis() as u64;
    let term = MembershipTerm {
        incarnation: nonce,
        since: now_ms() / span.max(1),
    };
    lock(&node.detector).record_departure(node.uptime_s(), holder, term);
}

/// Where to send a worker whose block another holds: not to one who is gone, or who
/// says that it hears nothing of that block, since it would come back after a time-out.
pub fn steward(node: &Controller, block: &str, grant: &rec::ShardLease) -> Option<String> {
    let detector = lock(&node.detector);
    if detector.has_lost_shards(&grant.owner, grant.incarnation) {
        return None;
    }
    let hello = detector.last_heartbeat(&grant.owner, node.uptime_s());
    let deaf = hello.is_some_and(|(age, h)| {
        age < detector.config().round_s * 2.0 && h.unreachable_shards.iter().any(|b| b == block)
    });
    (!deaf).then(|| grant.owner.clone())
}

/// Whether a block may be given more work: it is lent to one of whom most have no
/// doubt.
pub fn takes_more(node: &Controller, view: &ClusterState, block: &str) -> bool {
    let Some((_, grant)) = view.shard_leases.get(block) else {
        return false;
    };
    // One that is only slow still takes its turn; it leaves its blocks by itself.
    view.is_owner_registered(grant) && !lock(&node.detector).is_doubtful(&grant.owner)
}
