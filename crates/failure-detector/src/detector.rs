//! What a controller thinks of each of the others, and why.
//!
//! | standing | what it allows | how it ends |
//! | --- | --- | --- |
//! | trusted | everything | doubt |
//! | suspect | what can be taken back: nothing new is given to it, nobody's change is passed to it, a successor gets ready | an answer of the same process to a greeting sent since |
//! | judged | what the state service fences: the lead and the blocks are taken by conditioned commits | another process of that name, or a while of answers |
//!
//! A verdict needs, beside the doubt, that most of the other controllers that can be
//! heard and that reach the state service have the same doubt, that none of them has
//! heard of the suspect since, that the suspect has written nothing to the log since,
//! and that the judge itself has read the state service since. So one that is cut off
//! can pass no verdict, and a packet filter between all controllers leads to none.

use crate::accrual::HeartbeatHistory;
use crate::damping::{FlapDamping, MembershipTerm};
use crate::succession::{DetectorTiming, LeaderCandidate};
use rushwalk_protocol::peers::{PeerHeartbeat, PeerObservation};
use std::collections::BTreeMap;

/// Spans that follow from the settings.
#[derive(Debug, Clone)]
pub struct DetectorConfig {
    /// Seconds between two greetings of the same peer.
    pub heartbeat_s: f64,
    /// A planning round.
    pub round_s: f64,
    /// The member lease: by its end the state service itself says who is gone.
    pub member_lease_s: f64,
    /// The workers' lease.
    pub worker_lease_s: f64,
    /// Suspicion begins at this φ.
    pub phi_threshold: f64,
    /// Greetings refused in a row before that is a doubt.
    pub refusal_threshold: u32,
}

impl DetectorConfig {
    pub fn timing(&self) -> DetectorTiming {
        DetectorTiming {
            heartbeat_s: self.heartbeat_s,
            round_s: self.round_s,
        }
    }
}

/// What became of a greeting of ours.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeFailure {
    /// Its host answered that nobody listens there. That is a dead process, or one
    /// without sockets, or a packet filter.
    Refused,
    /// No answer in time.
    TimedOut,
    /// The connection broke: that may be the process's end, or a packet filter.
    ConnectionBroken,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerHealth {
    #[serde(rename = "trusted")]
    Healthy,
    #[serde(rename = "suspect")]
    Suspected,
    #[serde(rename = "judged")]
    Failed,
}

/// What speaks against a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspicionReason {
    /// Its port refuses greetings.
    Refused,
    /// It is silent for longer than its history explains.
    #[serde(rename = "silent")]
    Unresponsive,
    /// It leads, says itself that its timers are late, and plans no rounds.
    Stalled,
    /// It says itself that its timers are late, round after round.
    Slow,
    /// Its member lease has ended: the state service's word.
    #[serde(rename = "left")]
    LeaseExpired,
}

/// A change of somebody's standing, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthTransition {
    pub member: String,
    pub from: PeerHealth,
    pub to: PeerHealth,
    pub reason: Option<SuspicionReason>,
    /// How long the standing before had lasted, in seconds.
    pub previous_lasted_s: f64,
    pub phi: f64,
    /// Controllers that could be asked, and those that had the same doubt.
    pub witnesses: usize,
    pub agreeing: usize,
}

/// What the observer knows of itself.
#[derive(Debug, Clone, Copy)]
pub struct LocalHealth {
    /// How late its timers are, the latest ones, in seconds.
    pub recent_lag_s: f64,
    /// How late they are in the mean of a round, in seconds.
    pub mean_lag_s: f64,
    /// The share of time in which its thread is busy.
    pub busy_share: f64,
    /// Since when its last answered read of the state service was sent, in seconds.
    pub staleness_s: f64,
    /// Since when the lead last passed from one who lives to another, in seconds.
    pub since_leadership_moved_s: f64,
    /// The newest revision it has seen.
    pub revision: u64,
}

#[derive(Debug, Clone)]
struct PeerState {
    /// Its present process, as far as is known; 0 if it never was a member.
    nonce: u64,
    /// Its present term as a member, and whether one was seen to end since.
    term: Option<MembershipTerm>,
    ended: bool,
    arrivals: HeartbeatHistory,
    /// What it said last, and when that came.
    hello: Option<(f64, PeerHeartbeat)>,
    /// Since when greetings are refused, and how many were.
    refused: Option<(f64, u32)>,
    /// A greeting came to no end since it was last heard.
    hung: bool,
    /// When an entry of its in the log was last seen.
    wrote_s: f64,
    /// Since when it says that it is late.
    late_since: Option<f64>,
    standing: PeerHealth,
    why: Option<SuspicionReason>,
    /// Whether most of those who could be asked have the same doubt.
    agreed: bool,
    /// When the standing began, and the term and the observer's revision then.
    since_s: f64,
    doubted: Option<MembershipTerm>,
    revision: u64,
    /// Of one that was judged: since when it answers again.
    back_s: Option<f64>,
}

/// The observer's judgement of all others.
#[derive(Debug, Clone)]
pub struct FailureDetector {
    limits: DetectorConfig,
    peers: BTreeMap<String, PeerState>,
    pub damping: FlapDamping,
    /// When verdicts were passed, the latest last.
    verdicts: Vec<f64>,
}

/// What is to be said of a suspect at a moment.
struct Assessment {
    closed: bool,
    agreed: bool,
    witnesses: usize,
    agree: usize,
}

impl FailureDetector {
    pub fn new<'a>(
        limits: DetectorConfig,
        peers: impl Iterator<Item = &'a str>,
        now_s: f64,
    ) -> FailureDetector {
        let peer = |_| PeerState {
            nonce: 0,
            term: None,
            ended: false,
            arrivals: HeartbeatHistory::new(limits.heartbeat_s),
            hello: None,
            refused: None,
            hung: false,
            wrote_s: f64::NEG_INFINITY,
            late_since: None,
            standing: PeerHealth::Healthy,
            why: None,
            agreed: false,
            since_s: now_s,
            doubted: None,
            revision: 0,
            back_s: None,
        };
        FailureDetector {
            peers: peers.map(|name| (name.to_string(), peer(name))).collect(),
            damping: FlapDamping::new(limits.member_lease_s),
            limits,
            verdicts: Vec::new(),
        }
    }

    pub fn config(&self) -> &DetectorConfig {
        &self.limits
    }

    /// It answered a greeting of ours.
    pub fn record_response(&mut self, now_s: f64, hello: PeerHeartbeat) {
        self.listen(now_s, hello, true);
    }

    /// It greeted us. Such a message may have been held back by the network for
    /// minutes: it speaks for its sender only if it knows of what the state service
    /// held when the doubt began.
    pub fn record_heartbeat(&mut self, now_s: f64, hello: PeerHeartbeat) {
        let Some(peer) = self.peers.get(&hello.member) else {
            return;
        };
        let late = peer.standing != PeerHealth::Healthy && hello.revision < peer.revision;
        let older = peer
            .hello
            .as_ref()
            .is_some_and(|(_, known)| hello.revision < known.revision);
        if !late && !older {
            self.listen(now_s, hello, false);
        }
    }

    fn listen(&mut self, now_s: f64, hello: PeerHeartbeat, answer: bool) {
        let spans = self.limits.timing();
        let Some(peer) = self.peers.get_mut(&hello.member) else {
            return;
        };
        if peer.nonce != hello.incarnation && hello.incarnation != 0 {
            peer.nonce = hello.incarnation;
            peer.arrivals.reset();
            peer.late_since = None;
        }
        peer.arrivals.record(now_s);
        (peer.refused, peer.hung) = (None, false);
        let late = hello.lag_ms as f64 / 1000.0;
        // Well in time again, not just below: or its blocks would come and go.
        if spans.is_on_time(late) {
            peer.late_since = None;
        } else if late >= spans.slow_threshold_s() {
            peer.late_since.get_or_insert(now_s);
        }
        if answer && peer.standing == PeerHealth::Failed {
            peer.back_s.get_or_insert(now_s);
        }
        peer.hello = Some((now_s, hello));
    }

    /// A greeting of ours was not answered.
    pub fn record_probe_failure(&mut self, now_s: f64, member: &str, contact: ProbeFailure) {
        let Some(peer) = self.peers.get_mut(member) else {
            return;
        };
        match contact {
            ProbeFailure::Refused if peer.hung => {}
            ProbeFailure::Refused => {
                let (_, count) = peer.refused.get_or_insert((now_s, 0));
                *count += 1;
            }
            // It hangs: if it refuses connections next, it has more callers than it can
            // take, or no sockets left. Under an overload of all, living controllers were
            // judged for that again and again.
            ProbeFailure::TimedOut => (peer.refused, peer.hung) = (None, true),
            ProbeFailure::ConnectionBroken => {}
        }
        peer.back_s = None;
    }

    /// An entry of its came into the log. One that was written before its end may
    /// come late, so it only speaks against a verdict, for a while.
    pub fn record_write(&mut self, now_s: f64, member: &str) {
        if let Some(peer) = self.peers.get_mut(member) {
            peer.wrote_s = now_s;
        }
    }

    /// What the state service says of a member: its process and the time of its
    /// registration, or none.
    pub fn record_membership(&mut self, now_s: f64, name: &str, term: Option<MembershipTerm>) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        if peer.term == term {
            return;
        }
        if let Some(before) = peer.term {
            self.damping.record_departure(now_s, name, before);
        }
        peer.ended = term.is_none();
        peer.term = term;
        if let Some(term) = term
            && term.incarnation != peer.nonce
        {
            peer.nonce = term.incarnation;
            peer.arrivals.reset();
            (peer.refused, peer.hung) = (None, false);
            peer.late_since = None;
        }
    }

    /// It laid down the lead by itself, or lost a block's machines, in a term.
    pub fn record_departure(&mut self, now_s: f64, name: &str, term: MembershipTerm) {
        self.damping.record_departure(now_s, name, term);
    }

    pub fn health(&self, member: &str) -> PeerHealth {
        self.peers
            .get(member)
            .map_or(PeerHealth::Healthy, |p| p.standing)
    }

    /// Whether nothing new should be given to a member: it is judged, or others have the
    /// same doubt and it writes nothing. Behind a packet filter between controllers all
    /// suspect all, and each serves as before.
    pub fn is_doubtful(&self, member: &str) -> bool {
        let doubtful = |p: &PeerState| match p.standing {
            PeerHealth::Healthy => false,
            PeerHealth::Suspected => p.agreed,
            PeerHealth::Failed => true,
        };
        self.peers.get(member).is_some_and(doubtful)
    }

    /// Whether a process has lost its blocks: it is judged, and not only for the rounds
    /// that it does not make.
    pub fn has_lost_shards(&self, member: &str, nonce: u64) -> bool {
        let stalled = |p: &PeerState| p.why == Some(SuspicionReason::Stalled);
        self.is_failed(member, nonce) && !self.peers.get(member).is_some_and(stalled)
    }

    /// Whether a process is judged for the port that refuses.
    pub fn failed_by_refusal(&self, member: &str, nonce: u64) -> bool {
        let refused = |p: &PeerState| p.why == Some(SuspicionReason::Refused);
        self.is_failed(member, nonce) && self.peers.get(member).is_some_and(refused)
    }

    /// Whether this process of a member is judged: a new one of its name is not.
    pub fn is_failed(&self, member: &str, nonce: u64) -> bool {
        let peer = self.peers.get(member);
        let of = |p: &PeerState| p.doubted.is_some_and(|term| term.incarnation == nonce);
        peer.is_some_and(|p| p.standing == PeerHealth::Failed && of(p))
    }

    /// Whether a process whose lease ended not longer than `grace_s` ago is still heard
    /// of, cut off from the state service alone.
    pub fn lingers_after_expiry(&self, member: &str, nonce: u64, now_s: f64, grace_s: f64) -> bool {
        let lingers = |p: &PeerState| {
            let heard = p
                .arrivals
                .last_s()
                .is_some_and(|at| now_s - at < 2.0 * self.limits.round_s);
            let left = p.why == Some(SuspicionReason::LeaseExpired) && now_s - p.since_s < grace_s;
            p.nonce == nonce && left && heard && p.refused.is_none()
        };
        self.peers.get(member).is_some_and(lingers)
    }

    /// Whether it is too slow for what it has.
    pub fn is_slow(&self, member: &str) -> bool {
        let slow = |p: &PeerState| {
            matches!(
                p.why,
                Some(SuspicionReason::Slow | SuspicionReason::Stalled)
            )
        };
        self.peers.get(member).is_some_and(slow)
    }

    /// What a peer said last, and how long ago that was, in seconds.
    pub fn last_heartbeat(&self, member: &str, now_s: f64) -> Option<(f64, &PeerHeartbeat)> {
        let (at, hello) = self.peers.get(member)?.hello.as_ref()?;
        Some((now_s - at, hello))
    }

    /// What all peers said last.
    pub fn last_heartbeats(&self, now_s: f64) -> impl Iterator<Item = (f64, &PeerHeartbeat)> {
        let hellos = self.peers.values().filter_map(|p| p.hello.as_ref());
        hellos.map(move |(at, hello)| (now_s - at, hello))
    }

    /// What is told to the others.
    pub fn observations(&self, now_s: f64) -> Vec<PeerObservation> {
        let told = self.peers.iter().filter(|(_, p)| p.nonce != 0);
        let sight = |(name, p): (&String, &PeerState)| PeerObservation {
            member: name.clone(),
            incarnation: p.nonce,
            last_heard_ms: p
                .arrivals
                .last_s()
                .map(|at| ((now_s - at) * 1000.0).max(0.0) as u64),
            refused: p
                .refused
                .is_some_and(|(_, n)| n >= self.limits.refusal_threshold),
        };
        told.map(sight).collect()
    }

    /// All others as candidates for the lead.
    pub fn candidates(&self, now_s: f64) -> Vec<LeaderCandidate<'_>> {
        let fresh_s = 2.0 * self.limits.round_s;
        let mut out = Vec::new();
        for (name, p) in &self.peers {
            let Some((at, hello)) = p.hello.as_ref() else {
                continue;
            };
            let age = now_s - at;
            out.push(LeaderCandidate {
                name,
                trusted: p.standing == PeerHealth::Healthy && p.term.is_some() && age < fresh_s,
                eligible: self.damping.is_eligible(now_s, name),
                mean_lag_s: hello.lag_ms as f64 / 1000.0,
                busy_share: f64::from(hello.busy_permille) / 1000.0,
                staleness_s: age + hello.staleness_ms as f64 / 1000.0,
            });
        }
        out
    }

    fn doubt(&self, peer: &PeerState, now_s: f64, own: &LocalHealth) -> Option<SuspicionReason> {
        let limits = &self.limits;
        if peer.term.is_none() {
            // One that greets before its key is seen has not left.
            return peer.ended.then_some(SuspicionReason::LeaseExpired);
        }
        if peer
            .refused
            .is_some_and(|(_, n)| n >= limits.refusal_threshold)
        {
            return Some(SuspicionReason::Refused);
        }
        if peer.arrivals.phi(now_s, own.recent_lag_s) > limits.phi_threshold {
            return Some(SuspicionReason::Unresponsive);
        }
        let late = peer.late_since.map(|since| now_s - since)?;
        // Who has no room itself would do no better. After an end of all nobody has, and
        // each took the lead and the blocks from the others in turn.
        let (_, hello) = peer.hello.as_ref()?;
        if !limits.timing().has_headroom(own.mean_lag_s, own.busy_share) {
            return None;
        }
        let planned = hello.last_round_ms;
        let pace = (hello.round_interval_ms as f64 / 1000.0).max(limits.round_s);
        if planned.is_some_and(|ms| ms as f64 / 1000.0 > 3.0 * pace) && late > limits.round_s {
            return Some(SuspicionReason::Stalled);
        }
        (late > 3.0 * limits.round_s).then_some(SuspicionReason::Slow)
    }

    /// Controllers whose word counts on a suspect: those that could be asked, those
    /// that have the same doubt, and whether any has heard of it since the doubt.
    fn witnesses(&self, name: &str, peer: &PeerState, now_s: f64) -> (usize, usize, bool) {
        let limits = &self.limits;
        let (mut all, mut agree, mut heard) = (0, 0, false);
        for (other, witness) in &self.peers {
            let Some((at, hello)) = witness.hello.as_ref() else {
                continue;
            };
            // Only what was said since the doubt began, by one that reaches the state
            // service and is no suspect itself.
            let fresh = *at >= peer.since_s && now_s - at < 2.0 * limits.round_s;
            let able = (hello.staleness_ms as f64) < 2000.0 * limits.round_s;
            if other == name || !fresh || !able || witness.standing != PeerHealth::Healthy {
                continue;
            }
            let sight = hello
                .observations
                .iter()
                .find(|s| s.member == name && s.incarnation == peer.nonce);
            let Some(sight) = sight else {
                continue;
            };
            all += 1;
            let ago = sight
                .last_heard_ms
                .map(|ms| ms as f64 / 1000.0 + (now_s - at));
            let since = now_s - peer.since_s;
            heard |= ago.is_some_and(|ago| ago < since);
            let silent = ago.is_none_or(|ago| ago > 4.0 * limits.heartbeat_s);
            agree += usize::from(sight.refused || silent);
        }
        (all, agree, heard)
    }

    /// Whether a suspect's case is closed, and what the others say.
    fn verdict(&self, name: &str, peer: &PeerState, now_s: f64, own: &LocalHealth) -> Assessment {
        let limits = &self.limits;
        let since = now_s - peer.since_s;
        let (all, agree, heard) = self.witnesses(name, peer, now_s);
        // The judge must be whole itself.
        let able = own.recent_lag_s < limits.round_s && own.staleness_s < since;
        // An entry written before its end may be seen a little after.
        let idle = peer.wrote_s < peer.since_s + limits.heartbeat_s / 2.0
            || now_s - peer.wrote_s > 2.0 * limits.round_s;
        let agreed = agree > 0 && 2 * agree > all && !heard;
        let alone = self.peers.len() == 1;
        let silent = peer.arrivals.last_s().map_or(since, |at| now_s - at);
        let closed = match peer.why {
            Some(SuspicionReason::LeaseExpired) => true,
            Some(SuspicionReason::Refused) if alone => {
                able && idle && since >= 2.0 * limits.round_s
            }
            Some(SuspicionReason::Refused) => able && idle && agreed && since >= limits.heartbeat_s,
            // Its lease is about to end, unless somebody lives there who renews it and
            // does nothing else.
            Some(SuspicionReason::Unresponsive) => {
                let gone = 0.75 * limits.member_lease_s;
                let quiet = silent >= gone && now_s - peer.wrote_s >= gone;
                able && agreed && quiet && limits.timing().is_on_time(own.mean_lag_s)
            }
            // Once in a lease, whoever it was: if the next one can't keep up either, it is
            // the load, and the lead would go round.
            Some(SuspicionReason::Stalled) => {
                able && since >= limits.round_s
                    && own.since_leadership_moved_s > limits.worker_lease_s
            }
            Some(SuspicionReason::Slow) | None => false,
        };
        Assessment {
            closed,
            agreed: agreed && idle,
            witnesses: all,
            agree,
        }
    }

    /// Whether one more verdict may be passed: in the time of a member lease no more
    /// than half of all controllers are judged by evidence of ours. What the state
    /// service says is not bounded.
    fn may_judge(&mut self, now_s: f64) -> bool {
        let span = self.limits.member_lease_s;
        self.verdicts.retain(|at| now_s - at < span);
        2 * self.verdicts.len() < self.peers.len().max(2)
    }

    /// Works out all standings anew. Called a few times a second.
    pub fn evaluate(&mut self, now_s: f64, own: LocalHealth) -> Vec<HealthTransition> {
        let mut changes = Vec::new();
        let names: Vec<String> = self.peers.keys().cloned().collect();
        for name in names {
            let peer = &self.peers[&name];
            let doubt = self.doubt(peer, now_s, &own);
            let verdict = self.verdict(&name, peer, now_s, &own);
            let back = peer
                .back_s
                .is_some_and(|at| now_s - at >= self.limits.member_lease_s);
            let to = match (peer.standing, doubt) {
                (PeerHealth::Healthy, None) => PeerHealth::Healthy,
                (PeerHealth::Healthy, Some(SuspicionReason::LeaseExpired)) => PeerHealth::Failed,
                (PeerHealth::Healthy, Some(_)) => PeerHealth::Suspected,
                (PeerHealth::Suspected, None) => PeerHealth::Healthy,
                (PeerHealth::Suspected, Some(SuspicionReason::LeaseExpired)) => PeerHealth::Failed,
                (PeerHealth::Suspected, Some(why)) if verdict.closed && peer.why == Some(why) => {
                    match self.may_judge(now_s) {
                        true => PeerHealth::Failed,
                        false => PeerHealth::Suspected,
                    }
                }
                (PeerHealth::Suspected, Some(_)) => PeerHealth::Suspected,
                // Another process, or the same one heard for a while: a late answer to
                // an old suspicion does not undo what was done upon it.
                (PeerHealth::Failed, None) if peer.term != peer.doubted || back => {
                    PeerHealth::Healthy
                }
                (PeerHealth::Failed, _) => PeerHealth::Failed,
            };
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.agreed = verdict.agreed;
            }
            let peer = &self.peers[&name];
            let (from, phi) = (peer.standing, peer.arrivals.phi(now_s, own.recent_lag_s));
            let why = doubt.or(if to == PeerHealth::Failed {
                peer.why
            } else {
                None
            });
            if from == to && (why == peer.why || to == PeerHealth::Failed) {
                continue;
            }
            if to == PeerHealth::Failed && why != Some(SuspicionReason::LeaseExpired) {
                self.verdicts.push(now_s);
                if let Some(term) = peer.term {
                    self.damping.record_departure(now_s, &name, term);
                }
            }
            let was_slow = matches!(
                peer.why,
                Some(SuspicionReason::Slow | SuspicionReason::Stalled)
            );
            if to == PeerHealth::Healthy
                && was_slow
                && let Some(term) = peer.term
            {
                // It gets its work back as one that was away.
                let since = (now_s * 1000.0) as u64;
                self.damping
                    .record_departure(now_s, &name, MembershipTerm { since, ..term });
            }
            let Some(peer) = self.peers.get_mut(&name) else {
                continue;
            };
            changes.push(HealthTransition {
                member: name,
                from,
                to,
                reason: why,
                previous_lasted_s: now_s - peer.since_s,
                phi,
                witnesses: verdict.witnesses,
                agreeing: verdict.agree,
            });
            (peer.standing, peer.why) = (to, why);
            (peer.since_s, peer.doubted, peer.revision) = (now_s, peer.term, own.revision);
            peer.back_s = None;
        }
        changes
    }

    /// Each peer with its standing, reason and evidence, for the administration.
    pub fn statuses(&self, now_s: f64, own: LocalHealth) -> Vec<PeerStatus> {
        let told = |(name, p): (&String, &PeerState)| PeerStatus {
            member: name.clone(),
            standing: p.standing,
            why: p.why,
            since_s: tenths(now_s - p.since_s),
            phi: tenths(p.arrivals.phi(now_s, own.recent_lag_s)),
            heard_s: p.arrivals.last_s().map(|at| tenths(now_s - at)),
            refused: p.refused.map_or(0, |(_, n)| n),
            wrote_s: p.wrote_s.is_finite().then(|| tenths(now_s - p.wrote_s)),
            late_ms: p.hello.as_ref().map_or(0, |(_, hello)| hello.lag_ms),
            departures: self.damping.departures(now_s, name),
            fit: self.damping.is_eligible(now_s, name),
        };
        self.peers.iter().map(told).collect()
    }
}

fn tenths(s: f64) -> f64 {
    (s * 10.0).round() / 10.0
}

/// One peer as an operator sees it. Times are in seconds ago.
#[derive(Debug, Clone, serde::Serialize)]
pub struct PeerStatus {
    pub member: String,
    pub standing: PeerHealth,
    pub why: Option<SuspicionReason>,
    pub since_s: f64,
    pub phi: f64,
    pub heard_s: Option<f64>,
    /// Greetings that its port refused in a row.
    pub refused: u32,
    /// When its latest entry in the log was seen.
    pub wrote_s: Option<f64>,
    pub late_ms: u64,
    /// Departures that still lengthen its pause.
    pub departures: usize,
    /// Whether the pause after the latest is over.
    pub fit: bool,
}

#[cfg(test)]
mod tests {
    use super::*;

    const ME: LocalHealth = LocalHealth {
        recent_lag_s: 0.0,
        mean_lag_s: 0.002,
        busy_share: 0.1,
        staleness_s: 0.1,
        since_leadership_moved_s: f64::INFINITY,
        revision: 100,
    };

    fn detector(peers: &[&str]) -> FailureDetector {
        let limits = DetectorConfig {
            heartbeat_s: 0.3,
            round_s: 0.9,
            member_lease_s: 5.0,
            worker_lease_s: 36.0,
            phi_threshold: 8.0,
            refusal_threshold: 2,
        };
        let mut detector = FailureDetector::new(limits, peers.iter().copied(), 0.0);
        for (i, peer) in peers.iter().enumerate() {
            let nonce = i as u64 + 1;
            detector.record_membership(
                0.0,
                peer,
                Some(MembershipTerm {
                    incarnation: nonce,
                    since: 0,
                }),
            );
        }
        detector
    }

    fn hello(member: &str, nonce: u64, of: &[(&str, u64, u64, bool)]) -> PeerHeartbeat {
        let sight = |(m, nonce, heard, refused): &(&str, u64, u64, bool)| PeerObservation {
            member: m.to_string(),
            incarnation: *nonce,
            last_heard_ms: Some(*heard),
            refused: *refused,
        };
        PeerHeartbeat {
            member: member.into(),
            incarnation: nonce,
            revision: 100,
            observations: of.iter().map(sight).collect(),
            ..PeerHeartbeat::default()
        }
    }

    /// `a` refuses from 10 s on; `b` is heard, and says what it sees of `a`.
    fn refused(heard_ms: u64, refuses: bool, own: LocalHealth, wrote: bool) -> PeerHealth {
        let mut d = detector(&["a", "b"]);
        d.record_response(9.9, hello("a", 1, &[]));
        for step in 0..10u32 {
            let now = 10.0 + 0.3 * f64::from(step);
            d.record_probe_failure(now, "a", ProbeFailure::Refused);
            d.record_response(now, hello("b", 2, &[("a", 1, heard_ms, refuses)]));
            if wrote {
                d.record_write(now, "a");
            }
            d.evaluate(now, own);
        }
        d.health("a")
    }

    #[test]
    fn a_refusal_is_a_verdict_if_another_says_so_and_nothing_speaks_against_it() {
        assert_eq!(refused(9000, true, ME, false), PeerHealth::Failed);
        // The other has heard it since.
        assert_eq!(refused(10, false, ME, false), PeerHealth::Suspected);
        // It writes: it lives behind a packet filter, or has no sockets.
        assert_eq!(refused(9000, true, ME, true), PeerHealth::Suspected);
        // The judge is the one that is cut off, or late.
        let cut = LocalHealth {
            staleness_s: 30.0,
            ..ME
        };
        assert_eq!(refused(9000, true, cut, false), PeerHealth::Suspected);
        let late = LocalHealth {
            recent_lag_s: 2.0,
            ..ME
        };
        assert_eq!(refused(9000, true, late, false), PeerHealth::Suspected);
    }

    #[test]
    fn refusals_after_a_time_out_and_of_all_peers_are_no_verdict() {
        let mut d = detector(&["a", "b"]);
        d.record_probe_failure(9.0, "a", ProbeFailure::TimedOut);
        for step in 0..10u32 {
            let now = 10.0 + 0.3 * f64::from(step);
            d.record_probe_failure(now, "a", ProbeFailure::Refused);
            d.record_response(now, hello("b", 2, &[("a", 1, 9000, true)]));
            d.evaluate(now, ME);
        }
        assert_eq!(d.health("a"), PeerHealth::Healthy, "it was overloaded");
        for step in 0..100u32 {
            let now = 20.0 + 0.3 * f64::from(step);
            d.record_probe_failure(now, "b", ProbeFailure::Refused);
            d.evaluate(now, ME);
        }
        assert_ne!(d.health("b"), PeerHealth::Failed, "nobody else was heard");
        assert!(!d.is_doubtful("b"), "it is given work as before");
    }

    #[test]
    fn an_answer_ends_a_suspicion_but_not_a_verdict_and_an_old_greeting_neither() {
        let mut d = detector(&["a", "b"]);
        d.record_response(9.9, hello("a", 1, &[]));
        let suspect = |d: &mut FailureDetector, from: f64, steps: u32| {
            for step in 0..steps {
                let now = from + 0.3 * f64::from(step);
                d.record_probe_failure(now, "a", ProbeFailure::Refused);
                d.record_response(now, hello("b", 2, &[("a", 1, 9000, true)]));
                d.evaluate(now, ME);
            }
        };
        suspect(&mut d, 10.0, 2);
        assert_eq!(d.health("a"), PeerHealth::Suspected);
        // Held back by the network since before.
        d.record_heartbeat(
            10.5,
            PeerHeartbeat {
                revision: 50,
                ..hello("a", 1, &[])
            },
        );
        d.evaluate(10.5, ME);
        assert_eq!(d.health("a"), PeerHealth::Suspected);
        d.record_response(10.6, hello("a", 1, &[]));
        d.evaluate(10.6, ME);
        assert_eq!(d.health("a"), PeerHealth::Healthy);
        suspect(&mut d, 11.0, 6);
        assert!(d.is_failed("a", 1));
        d.record_response(13.0, hello("a", 1, &[]));
        d.evaluate(13.0, ME);
        assert_eq!(d.health("a"), PeerHealth::Failed, "too late");
        d.record_response(18.5, hello("a", 1, &[]));
        d.evaluate(18.5, ME);
        assert_eq!(d.health("a"), PeerHealth::Healthy, "it answers for a while");
        // Of the name, but not the process that was judged.
        suspect(&mut d, 30.0, 6);
        d.record_membership(
            33.0,
            "a",
            Some(MembershipTerm {
                incarnation: 7,
                since: 9,
            }),
        );
        assert!(!d.is_failed("a", 7) && d.is_failed("a", 1));
    }

    /// Two that came back took the lead from each other six times in 0.2 s.
    #[test]
    fn a_leader_that_stalls_is_judged_once_in_a_lease_by_one_with_room() {
        let stalls = |own: LocalHealth| {
            let mut d = detector(&["a", "b"]);
            for step in 0..30u32 {
                let now = 10.0 + 0.3 * f64::from(step);
                let slow = PeerHeartbeat {
                    lag_ms: 300,
                    last_round_ms: Some(5000),
                    ..hello("a", 1, &[])
                };
                d.record_response(now, slow);
                d.evaluate(now, own);
            }
            d.health("a")
        };
        assert_eq!(stalls(ME), PeerHealth::Failed);
        assert_eq!(
            stalls(LocalHealth {
                since_leadership_moved_s: 9.0,
                ..ME
            }),
            PeerHealth::Suspected
        );
        assert_eq!(
            stalls(LocalHealth {
                busy_share: 0.6,
                ..ME
            }),
            PeerHealth::Healthy
        );
        assert_eq!(
            stalls(LocalHealth {
                mean_lag_s: 0.2,
                ..ME
            }),
            PeerHealth::Healthy
        );
    }
}
