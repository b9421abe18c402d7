//! From judgement to action: who leads, who lays the lead down, and what is told of
//! blocks whose holder does not hear them. The judgement itself is in
//! `crates/failure-detector`; here it meets the view and the state service.

use crate::chance;
use crate::node::{For, Node, lock, now_ms};
use crate::view::{Name, View};
use rushwalk_clients::store::Outcome;
use rushwalk_failure_detector::damping::Term;
use rushwalk_failure_detector::reachability::{self, due_s, enough};
use rushwalk_failure_detector::succession::{self, Candidate, Pace};
use rushwalk_failure_detector::{Own, Standing};
use rushwalk_protocol::peers::Hello;
use rushwalk_protocol::records::{self as rec, LEADER};
use rushwalk_protocol::store::Transaction;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The share of time in which the thread was busy of late.
fn share(node: &Node) -> f64 {
    f64::from(node.busy_share.load(Ordering::Relaxed)) / 1000.0
}

/// What this controller knows of itself.
pub fn own(node: &Node) -> Own {
    let revision = node.view().revision;
    let passed = *lock(&node.passed);
    Own {
        late_s: node.load.late().as_secs_f64(),
        lag_s: node.load.lag().as_secs_f64(),
        busy: share(node),
        state_age_s: node.state_age().as_secs_f64(),
        passed_s: passed.map_or(f64::INFINITY, |at| at.elapsed().as_secs_f64()),
        revision,
    }
}

/// If this controller leads, how long ago its last planning round was finished.
pub fn planned(node: &Node) -> Option<Duration> {
    node.leadership(&node.view())?;
    lock(&node.planned).map(|at| at.elapsed())
}

/// Blocks lent to us of whose machines none is heard though some are overdue.
pub fn deaf(node: &Node) -> Vec<String> {
    let view = node.view();
    let mut reports = lock(&node.reports);
    let report = node.times.report.as_secs_f64();
    let mut out = Vec::new();
    reports
        .lent
        .retain(|block, _| view.grants.contains_key(block));
    for block in view.grants.keys() {
        let Some(token) = node.token(&view, block) else {
            reports.lent.remove(block);
            continue;
        };
        let heard = reports.blocks.get(block).copied();
        let lent = reports.lent.entry(block.clone());
        let lent = lent.or_insert((token, Instant::now()));
        if lent.0 != token {
            *lent = (token, Instant::now());
        }
        let lent = lent.1;
        let quiet = heard
            .map_or(lent, |at| at.max(lent))
            .elapsed()
            .as_secs_f64();
        let (up, silent) = view.pulse(block);
        let machines = up.saturating_sub(silent);
        // Few blocks are quiet at all: the machines of the others aren't looked at.
        if !reachability::deaf(machines, machines, quiet, report) {
            continue;
        }
        let ago = |at: Instant| -at.elapsed().as_secs_f64();
        let overdue = |name: &&Name| {
            let there = view.machines.get(*name).map(|row| &row.machine);
            let heard = reports.all.get(*name).and_then(|w| w.heard).map(ago);
            there.is_some_and(|m| m.up.is_some() && m.silent.is_none())
                && due_s(heard, ago(lent), report) < 0.0
        };
        let overdue = view.blocks.get(block).into_iter().flatten().filter(overdue);
        if reachability::deaf(machines, overdue.count(), quiet, report) {
            out.push(block.to_string());
        }
    }
    out
}

/// The terms of all members as the state service has them, and who wrote lately.
#[derive(Default)]
struct Followed {
    wrote: BTreeMap<String, u64>,
    leader: Option<(u64, String)>,
    /// When an entry of ours was last seen.
    ours: Option<Instant>,
}

fn term(member: &rec::Member) -> Term {
    Term {
        nonce: member.nonce,
        since: member.since_ms,
    }
}

/// The share of time in which a thread is busy, over some rounds.
struct Busy {
    looked: Instant,
    busy_s: f64,
    share: f64,
}

impl Busy {
    fn look(&mut self, node: &Node) {
        let passed = self.looked.elapsed().as_secs_f64();
        if passed < node.times.round.as_secs_f64() {
            return;
        }
        let (_, busy_s) = node.busy();
        let share = ((busy_s - self.busy_s) / passed).clamp(0.0, 1.0);
        self.share += (share - self.share) / 4.0;
        (self.looked, self.busy_s) = (Instant::now(), busy_s);
        let thousandths = (self.share * 1000.0) as u16;
        node.busy_share.store(thousandths, Ordering::Relaxed);
    }
}

/// Follows the evidence, and judges a few times between two greetings.
pub async fn standing_loop(node: Arc<Node>) {
    let mut followed = Followed::default();
    let mut busy = Busy {
        looked: Instant::now(),
        busy_s: 0.0,
        share: 1.0,
    };
    loop {
        sleep(node.times.greet / 2).await;
        busy.look(&node);
        let own = own(&node);
        follow(&node, &mut followed);
        let changes = lock(&node.detector).judge(node.uptime(), own);
        for change in changes {
            let (member, why) = (&change.member, change.why);
            let (phi, after_s) = (tenths(change.phi), tenths(change.after_s));
            let (agree, of) = (change.agree, change.witnesses);
            match change.to {
                Standing::Trusted => tracing::info!(member, after_s, "trusted again"),
                Standing::Suspect => {
                    // A verdict needs a read made since; the watch may be waiting.
                    node.fresh_wanted.notify_one();
                    tracing::info!(member, ?why, phi, agree, of, "suspected");
                }
                Standing::Judged => {
                    tracing::info!(member, ?why, phi, after_s, agree, of, "judged to be gone");
                }
            }
            node.poke();
        }
        sign_of_life(&node, &followed).await;
    }
}

fn tenths(s: f64) -> f64 {
    (s * 10.0).round() / 10.0
}

/// Takes what the view shows into the evidence.
fn follow(node: &Node, followed: &mut Followed) {
    let view = node.view();
    if node.synced.get().is_none() {
        return;
    }
    let now = node.uptime();
    let mut detector = lock(&node.detector);
    for peer in &node.settings.peers {
        let member = view.members.get(&peer.member);
        detector.member(now, &peer.member, member.map(term));
    }
    for (name, revision) in &view.wrote {
        if followed.wrote.insert(name.clone(), *revision) != Some(*revision) {
            match name == node.me() {
                true => followed.ours = Some(Instant::now()),
                false => detector.wrote(now, name),
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
            let term = Term {
                nonce: 0,
                since: *version,
            };
            detector.stood_down(now, before, term);
        }
        *lock(&node.passed) = Some(Instant::now());
    }
    followed.leader = leader;
}

/// One whom no other controller answers shows in the log that it lives, if nothing
/// else that it writes does: its member key, written again as it is.
async fn sign_of_life(node: &Node, followed: &Followed) {
    let quiet = node.times.round * 2;
    let lately = |at: Option<Instant>| at.is_some_and(|at| at.elapsed() < quiet);
    let heard = lock(&node.detector)
        .hellos(node.uptime())
        .any(|(age, _)| age < 4.0 * node.times.greet.as_secs_f64());
    if heard || lately(followed.ours) || node.settings.peers.is_empty() || !node.loan_valid() {
        return;
    }
    let Some(lease) = *lock(&node.member_lease) else {
        return;
    };
    let key = rec::member_key(node.me());
    let txn = {
        let view = node.view();
        let mine = view.members.get(node.me());
        let Some(mine) = mine.filter(|m| m.nonce == node.nonce) else {
            return;
        };
        Transaction::default()
            .when(&key, view.version(&key))
            .put_leased(&key, mine, lease)
    };
    if let Outcome::NoLease = node.commit(txn, For::Upkeep).await {
        *lock(&node.member_lease) = None;
    }
}

/// Takes the lead when nobody has it or its holder is judged, in the order of the
/// candidates; lays it down when somebody else would do better.
pub async fn lead_loop(node: Arc<Node>) {
    let mut seen = node.changed.get();
    let mut leaderless: Option<Instant> = None;
    let mut pace = Pace::default();
    let look = node.times.greet / 2;
    loop {
        // A change shows at once; time alone changes the rest.
        let changed = node.changed.wait_for(|n| n != seen);
        let _ = tokio::time::timeout(look, changed).await;
        seen = node.changed.get();
        let lease = *lock(&node.member_lease);
        let Some(lease) = lease.filter(|_| node.registered()) else {
            leaderless = None;
            continue;
        };
        let leading = {
            let view = node.view();
            node.leadership(&view)
        };
        if let Some(version) = leading {
            leaderless = None;
            if lock(&node.leading).uncertain {
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
        if node.unsteady() {
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
fn open(node: &Node) -> bool {
    let view = node.view();
    match &view.leader {
        None => true,
        Some((_, leader)) if leader.member == node.me() => true,
        Some((_, leader)) => gone(node, &view, &leader.member),
    }
}

/// Whether the process that a member's key stands for is judged.
pub fn gone(node: &Node, view: &View, member: &str) -> bool {
    let there = view.members.get(member);
    there.is_some_and(|m| lock(&node.detector).judged(member, m.nonce))
}

/// How long to wait for those who come before us.
fn turn(node: &Node) -> Duration {
    let detector = lock(&node.detector);
    let now = node.uptime();
    let others = detector.candidates(now);
    let fit = detector.damping.fit(now, node.me());
    let me = Candidate {
        name: node.me(),
        trusted: true,
        fit,
        late_s: node.load.lag().as_secs_f64(),
        busy: share(node),
        state_age_s: node.state_age().as_secs_f64(),
    };
    let place = succession::place(&me, &others, detector.limits().spans());
    let step = node.times.round / 4;
    let line = (step * place as u32).min(node.times.member / 2);
    // Who laid it down or lost it of late leaves it to others, if there are any.
    let unfit = match place > 0 && !fit || !others.is_empty() && node.unsteady() {
        true => node.times.round * 2,
        false => Duration::ZERO,
    };
    line + unfit
}

/// So many rounds after its last one a leader whose timers are late does not make them.
const ROUNDS: f64 = 2.5;

fn should_stand_down(node: &Node, pace: &mut Pace) -> Option<String> {
    let planned = lock(&node.planned).map(|at| at.elapsed());
    let detector = lock(&node.detector);
    let (now, late) = (node.uptime(), node.load.lag().as_secs_f64());
    let spans = detector.limits().spans();
    // Late for two rounds; or late, and its rounds don't come.
    let slow = pace.slow(now, late, spans, 2.0);
    // As compared to its own of late: many jobs take long to plan, wherever that is done.
    let pace = (*lock(&node.pace)).max(node.times.round);
    let rounds = planned.is_some_and(|age| age > pace.mul_f64(ROUNDS));
    let stalled = rounds && late >= spans.late_s() / 2.0;
    if !(slow || stalled) {
        return None;
    }
    // Once in a lease, whoever it was: if the next one can't keep up either, it is the
    // load, and it would go round.
    if lock(&node.passed).is_some_and(|at| at.elapsed() < node.times.lease) {
        return None;
    }
    let to = succession::better(&detector.candidates(now), spans);
    to.map(str::to_string)
}

/// Lays the lead down by removing its key: whatever of ours is still under way is
/// conditioned on it and fails.
async fn stand_down(node: &Node, version: u64, to: &str) {
    let late_ms = node.load.lag().as_millis() as u64;
    tracing::info!(late_ms, to, "laying down the lead: too slow for it");
    let txn = Transaction::default().when(LEADER, version).delete(LEADER);
    match node.commit(txn, For::Order).await {
        Outcome::Done(revision) => {
            let term = Term {
                nonce: 0,
                since: version,
            };
            lock(&node.detector).stood_down(node.uptime(), node.me(), term);
            node.reached(revision, node.times.round * 2).await;
        }
        Outcome::Unknown(_) => lock(&node.leading).uncertain = true,
        _ => {}
    }
}

/// The lead still belongs to our process before this one, which ended as soon as it had
/// it: its key is removed, so that somebody takes it who may live longer. One that ended
/// again and again while it started took the lead each time, for 20 s, and its machines
/// were heard by nobody.
async fn leave_to_others(node: &Node) {
    let txn = {
        let view = node.view();
        let ours = |l: &rec::Leader| l.member == node.me() && view.members.len() > 1;
        match &view.leader {
            Some((version, leader)) if ours(leader) => {
                Transaction::default().when(LEADER, *version).delete(LEADER)
            }
            _ => return,
        }
    };
    if let Outcome::Done(revision) = node.commit(txn, For::Order).await {
        tracing::info!("leaving the lead to others: the process before ended soon");
        node.reached(revision, node.times.round * 2).await;
    }
}

/// Takes the lead if nobody has it who lives.
pub async fn elect(node: &Node, lease: u64) {
    if !node.registered() {
        // A leader that was no member as yet lent all blocks to others.
        return;
    }
    let nonce = chance::nonce();
    let led;
    let txn = {
        let view = node.view();
        let mine = node.leadership(&view).is_some();
        let (uncertain, nonce_known) = {
            let memory = lock(&node.leading);
            (memory.uncertain, memory.nonce)
        };
        let leader = view.leader.as_ref();
        led = leader.is_some_and(|(_, l)| Some(l.nonce) == nonce_known);
        match &view.leader {
            // Our own earlier process, or commits of ours that may come late.
            Some((_, l)) if l.member == node.me() && !mine && Some(l.nonce) == nonce_known => {
                // Ours, and only not yet caught up with.
                return;
            }
            Some((_, l)) if l.member == node.me() && (!mine || uncertain) => {}
            Some((_, l)) if gone(node, &view, &l.member) => {}
            Some(_) => return,
            None => {}
        }
        let leader = rec::Leader {
            member: node.me().into(),
            nonce,
        };
        Transaction::default()
            .when(LEADER, view.version(LEADER))
            .put_leased(LEADER, &leader, lease)
    };
    lock(&node.leading).nonce = Some(nonce);
    match node.commit(txn, For::Order).await {
        Outcome::Done(revision) => {
            {
                let mut memory = lock(&node.leading);
                memory.uncertain = false;
                if !led {
                    memory.since = Some(Instant::now());
                }
            }
            *lock(&node.planned) = Some(Instant::now());
            *lock(&node.pace) = node.times.round;
            tracing::info!(revision, "leading");
            node.reached(revision, node.times.round * 2).await;
            node.led.notify_one();
        }
        Outcome::NoLease => *lock(&node.member_lease) = None,
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
pub struct Reach {
    /// Hellos of all others, by their names.
    hellos: BTreeMap<String, Hello>,
}

impl Reach {
    pub fn now(node: &Node) -> Reach {
        let detector = lock(&node.detector);
        let fresh = detector.limits().round_s * 2.0;
        let told = detector
            .hellos(node.uptime())
            .filter(|(age, _)| *age < fresh);
        let mut hellos: BTreeMap<String, Hello> =
            told.map(|(_, h)| (h.member.clone(), h.clone())).collect();
        drop(detector);
        let ours = Hello {
            member: node.me().into(),
            deaf: deaf(node),
            strays: lock(&node.strays).told(node.uptime(), node.times.report.as_secs_f64()),
            ..Hello::default()
        };
        hellos.insert(node.me().into(), ours);
        Reach { hellos }
    }

    /// If its holder says that it hears nothing of a block with so many machines up,
    /// and enough of them turned up elsewhere: at whom.
    pub fn elsewhere(&self, block: &Name, holder: &str, up: usize) -> Vec<&str> {
        let deaf = |h: &Hello| h.deaf.iter().any(|b| **b == **block);
        if !self.hellos.get(holder).is_some_and(deaf) {
            return Vec::new();
        }
        let at = |h: &&Hello| h.member != holder;
        let counts = self.hellos.values().filter(at).filter_map(|h| {
            let count = h.strays.iter().find(|(b, _)| **b == **block)?.1;
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
pub fn lost_reach(node: &Node, holder: &str, nonce: u64) {
    let span = node.times.member.as_millis() as u64;
    let term = Term {
        nonce,
        since: now_ms() / span.max(1),
    };
    lock(&node.detector).stood_down(node.uptime(), holder, term);
}

/// Where to send a worker whose block another holds: not to one who is gone, or who
/// says that it hears nothing of that block, since it would come back after a time-out.
pub fn steward(node: &Node, block: &str, grant: &rec::Grant) -> Option<String> {
    let detector = lock(&node.detector);
    if detector.dead(&grant.holder, grant.nonce) {
        return None;
    }
    let hello = detector.hello(&grant.holder, node.uptime());
    let deaf = hello.is_some_and(|(age, h)| {
        age < detector.limits().round_s * 2.0 && h.deaf.iter().any(|b| b == block)
    });
    (!deaf).then(|| grant.holder.clone())
}

/// Whether a block may be given more work: it is lent to one of whom most have no
/// doubt.
pub fn takes_more(node: &Node, view: &View, block: &str) -> bool {
    let Some((_, grant)) = view.grants.get(block) else {
        return false;
    };
    // One that is only slow still takes its turn; it leaves its blocks by itself.
    view.held(grant) && !lock(&node.detector).doubtful(&grant.holder)
}
