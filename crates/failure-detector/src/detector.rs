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

use crate::accrual::Arrivals;
use crate::damping::{Damping, Term};
use crate::succession::{Candidate, Spans};
use rushwalk_protocol::peers::{Hello, Sight};
use std::collections::BTreeMap;

/// Spans that follow from the settings.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Seconds between two greetings of the same peer.
    pub every_s: f64,
    /// A planning round.
    pub round_s: f64,
    /// The member lease: by its end the state service itself says who is gone.
    pub member_s: f64,
    /// The workers' lease.
    pub lease_s: f64,
    /// Suspicion begins at this φ.
    pub phi: f64,
    /// Greetings refused in a row before that is a doubt.
    pub refusals: u32,
}

impl Limits {
    pub fn spans(&self) -> Spans {
        Spans {
            every_s: self.every_s,
            round_s: self.round_s,
        }
    }
}

/// What became of a greeting of ours.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// Its host answered that nobody listens there. That is a dead process, or one
    /// without sockets, or a packet filter.
    Refused,
    /// No answer in time.
    Silent,
    /// The connection broke: that may be the process's end, or a packet filter.
    Broken,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    Trusted,
    Suspect,
    Judged,
}

/// What speaks against a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// Its port refuses greetings.
    Refused,
    /// It is silent for longer than its history explains.
    Silent,
    /// It leads, says itself that its timers are late, and plans no rounds.
    Stalled,
    /// It says itself that its timers are late, round after round.
    Slow,
    /// Its member lease has ended: the state service's word.
    Left,
}

/// A change of somebody's standing, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    pub member: String,
    pub from: Standing,
    pub to: Standing,
    pub why: Option<Why>,
    /// How long the standing before had lasted, in seconds.
    pub after_s: f64,
    pub phi: f64,
    /// Controllers that could be asked, and those that had the same doubt.
    pub witnesses: usize,
    pub agree: usize,
}

/// What the observer knows of itself.
#[derive(Debug, Clone, Copy)]
pub struct Own {
    /// How late its timers are, the latest ones, in seconds.
    pub late_s: f64,
    /// How late they are in the mean of a round, in seconds.
    pub lag_s: f64,
    /// The share of time in which its thread is busy.
    pub busy: f64,
    /// Since when its last answered read of the state service was sent, in seconds.
    pub state_age_s: f64,
    /// Since when the lead last passed from one who lives to another, in seconds.
    pub passed_s: f64,
    /// The newest revision it has seen.
    pub revision: u64,
}

#[derive(Debug, Clone)]
struct Peer {
    /// Its present process, as far as is known; 0 if it never was a member.
    nonce: u64,
    /// Its present term as a member, and whether one was seen to end since.
    term: Option<Term>,
    ended: bool,
    arrivals: Arrivals,
    /// What it said last, and when that came.
    hello: Option<(f64, Hello)>,
    /// Since when greetings are refused, and how many were.
    refused: Option<(f64, u32)>,
    /// A greeting came to no end since it was last heard.
    hung: bool,
    /// When an entry of its in the log was last seen.
    wrote_s: f64,
    /// Since when it says that it is late.
    late_since: Option<f64>,
    standing: Standing,
    why: Option<Why>,
    /// Whether most of those who could be asked have the same doubt.
    agreed: bool,
    /// When the standing began, and the term and the observer's revision then.
    since_s: f64,
    doubted: Option<Term>,
    revision: u64,
    /// Of one that was judged: since when it answers again.
    back_s: Option<f64>,
}

/// The observer's judgement of all others.
#[derive(Debug, Clone)]
pub struct Detector {
    limits: Limits,
    peers: BTreeMap<String, Peer>,
    pub damping: Damping,
    /// When verdicts were passed, the latest last.
    verdicts: Vec<f64>,
}

/// What is to be said of a suspect at a moment.
struct Verdict {
    closed: bool,
    agreed: bool,
    witnesses: usize,
    agree: usize,
}

impl Detector {
    pub fn new<'a>(limits: Limits, peers: impl Iterator<Item = &'a str>, now_s: f64) -> Detector {
        let peer = |_| Peer {
            nonce: 0,
            term: None,
            ended: false,
            arrivals: Arrivals::new(limits.every_s),
            hello: None,
            refused: None,
            hung: false,
            wrote_s: f64::NEG_INFINITY,
            late_since: None,
            standing: Standing::Trusted,
            why: None,
            agreed: false,
            since_s: now_s,
            doubted: None,
            revision: 0,
            back_s: None,
        };
        Detector {
            peers: peers.map(|name| (name.to_string(), peer(name))).collect(),
            damping: Damping::new(limits.member_s),
            limits,
            verdicts: Vec::new(),
        }
    }

    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// It answered a greeting of ours.
    pub fn answered(&mut self, now_s: f64, hello: Hello) {
        self.listen(now_s, hello, true);
    }

    /// It greeted us. Such a message may have been held back by the network for
    /// minutes: it speaks for its sender only if it knows of what the state service
    /// held when the doubt began.
    pub fn greeted(&mut self, now_s: f64, hello: Hello) {
        let Some(peer) = self.peers.get(&hello.member) else {
            return;
        };
        let late = peer.standing != Standing::Trusted && hello.revision < peer.revision;
        let older = peer
            .hello
            .as_ref()
            .is_some_and(|(_, known)| hello.revision < known.revision);
        if !late && !older {
            self.listen(now_s, hello, false);
        }
    }

    fn listen(&mut self, now_s: f64, hello: Hello, answer: bool) {
        let spans = self.limits.spans();
        let Some(peer) = self.peers.get_mut(&hello.member) else {
            return;
        };
        if peer.nonce != hello.nonce && hello.nonce != 0 {
            peer.nonce = hello.nonce;
            peer.arrivals.restart();
            peer.late_since = None;
        }
        peer.arrivals.heard(now_s);
        (peer.refused, peer.hung) = (None, false);
        let late = hello.late_ms as f64 / 1000.0;
        // Well in time again, not just below: or its blocks would come and go.
        if spans.calm(late) {
            peer.late_since = None;
        } else if late >= spans.late_s() {
            peer.late_since.get_or_insert(now_s);
        }
        if answer && peer.standing == Standing::Judged {
            peer.back_s.get_or_insert(now_s);
        }
        peer.hello = Some((now_s, hello));
    }

    /// A greeting of ours was not answered.
    pub fn failed(&mut self, now_s: f64, member: &str, contact: Contact) {
        let Some(peer) = self.peers.get_mut(member) else {
            return;
        };
        match contact {
            Contact::Refused if peer.hung => {}
            Contact::Refused => {
                let (_, count) = peer.refused.get_or_insert((now_s, 0));
                *count += 1;
            }
            // It hangs: if it refuses connections next, it has more callers than it can
            // take, or no sockets left. Under an overload of all, living controllers were
            // judged for that again and again.
            Contact::Silent => (peer.refused, peer.hung) = (None, true),
            Contact::Broken => {}
        }
        peer.back_s = None;
    }

    /// An entry of its came into the log. One that was written before its end may
    /// come late, so it only speaks against a verdict, for a while.
    pub fn wrote(&mut self, now_s: f64, member: &str) {
        if let Some(peer) = self.peers.get_mut(member) {
            peer.wrote_s = now_s;
        }
    }

    /// What the state service says of a member: its process and the time of its
    /// registration, or none.
    pub fn member(&mut self, now_s: f64, name: &str, term: Option<Term>) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        if peer.term == term {
            return;
        }
        if let Some(before) = peer.term {
            self.damping.left(now_s, name, before);
        }
        peer.ended = term.is_none();
        peer.term = term;
        if let Some(term) = term
            && term.nonce != peer.nonce
        {
            peer.nonce = term.nonce;
            peer.arrivals.restart();
            (peer.refused, peer.hung) = (None, false);
            peer.late_since = None;
        }
    }

    /// It laid down the lead by itself, or lost a block's machines, in a term.
    pub fn stood_down(&mut self, now_s: f64, name: &str, term: Term) {
        self.damping.left(now_s, name, term);
    }

    pub fn standing(&self, member: &str) -> Standing {
        self.peers
            .get(member)
            .map_or(Standing::Trusted, |p| p.standing)
    }

    /// Whether nothing new should be given to a member: it is judged, or others have the
    /// same doubt and it writes nothing. Behind a packet filter between controllers all
    /// suspect all, and each serves as before.
    pub fn doubtful(&self, member: &str) -> bool {
        let doubtful = |p: &Peer| match p.standing {
            Standing::Trusted => false,
            Standing::Suspect => p.agreed,
            Standing::Judged => true,
        };
        self.peers.get(member).is_some_and(doubtful)
    }

    /// Whether a process has lost its blocks: it is judged, and not only for the rounds
    /// that it does not make.
    pub fn dead(&self, member: &str, nonce: u64) -> bool {
        let stalled = |p: &Peer| p.why == Some(Why::Stalled);
        self.judged(member, nonce) && !self.peers.get(member).is_some_and(stalled)
    }

    /// Whether a process is judged for the port that refuses.
    pub fn refuses(&self, member: &str, nonce: u64) -> bool {
        let refused = |p: &Peer| p.why == Some(Why::Refused);
        self.judged(member, nonce) && self.peers.get(member).is_some_and(refused)
    }

    /// Whether this process of a member is judged: a new one of its name is not.
    pub fn judged(&self, member: &str, nonce: u64) -> bool {
        let peer = self.peers.get(member);
        let of = |p: &Peer| p.doubted.is_some_and(|term| term.nonce == nonce);
        peer.is_some_and(|p| p.standing == Standing::Judged && of(p))
    }

    /// Whether a process whose lease ended not longer than `grace_s` ago is still heard
    /// of, cut off from the state service alone.
    pub fn lingers(&self, member: &str, nonce: u64, now_s: f64, grace_s: f64) -> bool {
        let lingers = |p: &Peer| {
            let heard = p
                .arrivals
                .last_s()
                .is_some_and(|at| now_s - at < 2.0 * self.limits.round_s);
            let left = p.why == Some(Why::Left) && now_s - p.since_s < grace_s;
            p.nonce == nonce && left && heard && p.refused.is_none()
        };
        self.peers.get(member).is_some_and(lingers)
    }

    /// Whether it is too slow for what it has.
    pub fn slow(&self, member: &str) -> bool {
        let slow = |p: &Peer| matches!(p.why, Some(Why::Slow | Why::Stalled));
        self.peers.get(member).is_some_and(slow)
    }

    /// What a peer said last, and how long ago that was, in seconds.
    pub fn hello(&self, member: &str, now_s: f64) -> Option<(f64, &Hello)> {
        let (at, hello) = self.peers.get(member)?.hello.as_ref()?;
        Some((now_s - at, hello))
    }

    /// What all peers said last.
    pub fn hellos(&self, now_s: f64) -> impl Iterator<Item = (f64, &Hello)> {
        let hellos = self.peers.values().filter_map(|p| p.hello.as_ref());
        hellos.map(move |(at, hello)| (now_s - at, hello))
    }

    /// What is told to the others.
    pub fn sights(&self, now_s: f64) -> Vec<Sight> {
        let told = self.peers.iter().filter(|(_, p)| p.nonce != 0);
        let sight = |(name, p): (&String, &Peer)| Sight {
            member: name.clone(),
            nonce: p.nonce,
            heard_ms: p
                .arrivals
                .last_s()
                .map(|at| ((now_s - at) * 1000.0).max(0.0) as u64),
            refused: p.refused.is_some_and(|(_, n)| n >= self.limits.refusals),
        };
        told.map(sight).collect()
    }

    /// All others as candidates for the lead.
    pub fn candidates(&self, now_s: f64) -> Vec<Candidate<'_>> {
        let fresh_s = 2.0 * self.limits.round_s;
        let mut out = Vec::new();
        for (name, p) in &self.peers {
            let Some((at, hello)) = p.hello.as_ref() else {
                continue;
            };
            let age = now_s - at;
            out.push(Candidate {
                name,
                trusted: p.standing == Standing::Trusted && p.term.is_some() && age < fresh_s,
                fit: self.damping.fit(now_s, name),
                late_s: hello.late_ms as f64 / 1000.0,
                busy: f64::from(hello.busy) / 1000.0,
                state_age_s: age + hello.state_age_ms as f64 / 1000.0,
            });
        }
        out
    }

    fn doubt(&self, peer: &Peer, now_s: f64, own: &Own) -> Option<Why> {
        let limits = &self.limits;
        if peer.term.is_none() {
            // One that greets before its key is seen has not left.
            return peer.ended.then_some(Why::Left);
        }
        if peer.refused.is_some_and(|(_, n)| n >= limits.refusals) {
            return Some(Why::Refused);
        }
        if peer.arrivals.phi(now_s, own.late_s) > limits.phi {
            return Some(Why::Silent);
        }
        let late = peer.late_since.map(|since| now_s - since)?;
        // Who has no room itself would do no better. After an end of all nobody has, and
        // each took the lead and the blocks from the others in turn.
        let (_, hello) = peer.hello.as_ref()?;
        if !limits.spans().room(own.lag_s, own.busy) {
            return None;
        }
        let planned = hello.planned_ms;
        let pace = (hello.pace_ms as f64 / 1000.0).max(limits.round_s);
        if planned.is_some_and(|ms| ms as f64 / 1000.0 > 3.0 * pace) && late > limits.round_s {
            return Some(Why::Stalled);
        }
        (late > 3.0 * limits.round_s).then_some(Why::Slow)
    }

    /// Controllers whose word counts on a suspect: those that could be asked, those
    /// that have the same doubt, and whether any has heard of it since the doubt.
    fn witnesses(&self, name: &str, peer: &Peer, now_s: f64) -> (usize, usize, bool) {
        let limits = &self.limits;
        let (mut all, mut agree, mut heard) = (0, 0, false);
        for (other, witness) in &self.peers {
            let Some((at, hello)) = witness.hello.as_ref() else {
                continue;
            };
            // Only what was said since the doubt began, by one that reaches the state
            // service and is no suspect itself.
            let fresh = *at >= peer.since_s && now_s - at < 2.0 * limits.round_s;
            let able = (hello.state_age_ms as f64) < 2000.0 * limits.round_s;
            if other == name || !fresh || !able || witness.standing != Standing::Trusted {
                continue;
            }
            let sight = hello
                .sights
                .iter()
                .find(|s| s.member == name && s.nonce == peer.nonce);
            let Some(sight) = sight else {
                continue;
            };
            all += 1;
            let ago = sight.heard_ms.map(|ms| ms as f64 / 1000.0 + (now_s - at));
            let since = now_s - peer.since_s;
            heard |= ago.is_some_and(|ago| ago < since);
            let silent = ago.is_none_or(|ago| ago > 4.0 * limits.every_s);
            agree += usize::from(sight.refused || silent);
        }
        (all, agree, heard)
    }

    /// Whether a suspect's case is closed, and what the others say.
    fn verdict(&self, name: &str, peer: &Peer, now_s: f64, own: &Own) -> Verdict {
        let limits = &self.limits;
        let since = now_s - peer.since_s;
        let (all, agree, heard) = self.witnesses(name, peer, now_s);
        // The judge must be whole itself.
        let able = own.late_s < limits.round_s && own.state_age_s < since;
        // An entry written before its end may be seen a little after.
        let idle = peer.wrote_s < peer.since_s + limits.every_s / 2.0
            || now_s - peer.wrote_s > 2.0 * limits.round_s;
        let agreed = agree > 0 && 2 * agree > all && !heard;
        let alone = self.peers.len() == 1;
        let silent = peer.arrivals.last_s().map_or(since, |at| now_s - at);
        let closed = match peer.why {
            Some(Why::Left) => true,
            Some(Why::Refused) if alone => able && idle && since >= 2.0 * limits.round_s,
            Some(Why::Refused) => able && idle && agreed && since >= limits.every_s,
            // Its lease is about to end, unless somebody lives there who renews it and
            // does nothing else.
            Some(Why::Silent) => {
                let gone = 0.75 * limits.member_s;
                let quiet = silent >= gone && now_s - peer.wrote_s >= gone;
                able && agreed && quiet && limits.spans().calm(own.lag_s)
            }
            // Once in a lease, whoever it was: if the next one can't keep up either, it is
            // the load, and the lead would go round.
            Some(Why::Stalled) => able && since >= limits.round_s && own.passed_s > limits.lease_s,
            Some(Why::Slow) | None => false,
        };
        Verdict {
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
        let span = self.limits.member_s;
        self.verdicts.retain(|at| now_s - at < span);
        2 * self.verdicts.len() < self.peers.len().max(2)
    }

    /// Works out all standings anew. Called a few times a second.
    pub fn judge(&mut self, now_s: f64, own: Own) -> Vec<Change> {
        let mut changes = Vec::new();
        let names: Vec<String> = self.peers.keys().cloned().collect();
        for name in names {
            let peer = &self.peers[&name];
            let doubt = self.doubt(peer, now_s, &own);
            let verdict = self.verdict(&name, peer, now_s, &own);
            let back = peer
                .back_s
                .is_some_and(|at| now_s - at >= self.limits.member_s);
            let to = match (peer.standing, doubt) {
                (Standing::Trusted, None) => Standing::Trusted,
                (Standing::Trusted, Some(Why::Left)) => Standing::Judged,
                (Standing::Trusted, Some(_)) => Standing::Suspect,
                (Standing::Suspect, None) => Standing::Trusted,
                (Standing::Suspect, Some(Why::Left)) => Standing::Judged,
                (Standing::Suspect, Some(why)) if verdict.closed && peer.why == Some(why) => {
                    match self.may_judge(now_s) {
                        true => Standing::Judged,
                        false => Standing::Suspect,
                    }
                }
                (Standing::Suspect, Some(_)) => Standing::Suspect,
                // Another process, or the same one heard for a while: a late answer to
                // an old suspicion does not undo what was done upon it.
                (Standing::Judged, None) if peer.term != peer.doubted || back => Standing::Trusted,
                (Standing::Judged, _) => Standing::Judged,
            };
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.agreed = verdict.agreed;
            }
            let peer = &self.peers[&name];
            let (from, phi) = (peer.standing, peer.arrivals.phi(now_s, own.late_s));
            let why = doubt.or(if to == Standing::Judged {
                peer.why
            } else {
                None
            });
            if from == to && (why == peer.why || to == Standing::Judged) {
                continue;
            }
            if to == Standing::Judged && why != Some(Why::Left) {
                self.verdicts.push(now_s);
                if let Some(term) = peer.term {
                    self.damping.left(now_s, &name, term);
                }
            }
            let was_slow = matches!(peer.why, Some(Why::Slow | Why::Stalled));
            if to == Standing::Trusted
                && was_slow
                && let Some(term) = peer.term
            {
                // It gets its work back as one that was away.
                let since = (now_s * 1000.0) as u64;
                self.damping.left(now_s, &name, Term { since, ..term });
            }
            let Some(peer) = self.peers.get_mut(&name) else {
                continue;
            };
            changes.push(Change {
                member: name,
                from,
                to,
                why,
                after_s: now_s - peer.since_s,
                phi,
                witnesses: verdict.witnesses,
                agree: verdict.agree,
            });
            (peer.standing, peer.why) = (to, why);
            (peer.since_s, peer.doubted, peer.revision) = (now_s, peer.term, own.revision);
            peer.back_s = None;
        }
        changes
    }

    /// Each peer with its standing, reason and evidence, for the administration.
    pub fn told(&self, now_s: f64, own: Own) -> Vec<Told> {
        let told = |(name, p): (&String, &Peer)| Told {
            member: name.clone(),
            standing: p.standing,
            why: p.why,
            since_s: tenths(now_s - p.since_s),
            phi: tenths(p.arrivals.phi(now_s, own.late_s)),
            heard_s: p.arrivals.last_s().map(|at| tenths(now_s - at)),
            refused: p.refused.map_or(0, |(_, n)| n),
            wrote_s: p.wrote_s.is_finite().then(|| tenths(now_s - p.wrote_s)),
            late_ms: p.hello.as_ref().map_or(0, |(_, hello)| hello.late_ms),
            departures: self.damping.count(now_s, name),
            fit: self.damping.fit(now_s, name),
        };
        self.peers.iter().map(told).collect()
    }
}

fn tenths(s: f64) -> f64 {
    (s * 10.0).round() / 10.0
}

/// One peer as an operator sees it. Times are in seconds ago.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Told {
    pub member: String,
    pub standing: Standing,
    pub why: Option<Why>,
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

    const ME: Own = Own {
        late_s: 0.0,
        lag_s: 0.002,
        busy: 0.1,
        state_age_s: 0.1,
        passed_s: f64::INFINITY,
        revision: 100,
    };

    fn detector(peers: &[&str]) -> Detector {
        let limits = Limits {
            every_s: 0.3,
            round_s: 0.9,
            member_s: 5.0,
            lease_s: 36.0,
            phi: 8.0,
            refusals: 2,
        };
        let mut detector = Detector::new(limits, peers.iter().copied(), 0.0);
        for (i, peer) in peers.iter().enumerate() {
            let nonce = i as u64 + 1;
            detector.member(0.0, peer, Some(Term { nonce, since: 0 }));
        }
        detector
    }

    fn hello(member: &str, nonce: u64, of: &[(&str, u64, u64, bool)]) -> Hello {
        let sight = |(m, nonce, heard, refused): &(&str, u64, u64, bool)| Sight {
            member: m.to_string(),
            nonce: *nonce,
            heard_ms: Some(*heard),
            refused: *refused,
        };
        Hello {
            member: member.into(),
            nonce,
            revision: 100,
            sights: of.iter().map(sight).collect(),
            ..Hello::default()
        }
    }

    /// `a` refuses from 10 s on; `b` is heard, and says what it sees of `a`.
    fn refused(heard_ms: u64, refuses: bool, own: Own, wrote: bool) -> Standing {
        let mut d = detector(&["a", "b"]);
        d.answered(9.9, hello("a", 1, &[]));
        for step in 0..10u32 {
            let now = 10.0 + 0.3 * f64::from(step);
            d.failed(now, "a", Contact::Refused);
            d.answered(now, hello("b", 2, &[("a", 1, heard_ms, refuses)]));
            if wrote {
                d.wrote(now, "a");
            }
            d.judge(now, own);
        }
        d.standing("a")
    }

    #[test]
    fn a_refusal_is_a_verdict_if_another_says_so_and_nothing_speaks_against_it() {
        assert_eq!(refused(9000, true, ME, false), Standing::Judged);
        // The other has heard it since.
        assert_eq!(refused(10, false, ME, false), Standing::Suspect);
        // It writes: it lives behind a packet filter, or has no sockets.
        assert_eq!(refused(9000, true, ME, true), Standing::Suspect);
        // The judge is the one that is cut off, or late.
        let cut = Own {
            state_age_s: 30.0,
            ..ME
        };
        assert_eq!(refused(9000, true, cut, false), Standing::Suspect);
        let late = Own { late_s: 2.0, ..ME };
        assert_eq!(refused(9000, true, late, false), Standing::Suspect);
    }

    #[test]
    fn refusals_after_a_time_out_and_of_all_peers_are_no_verdict() {
        let mut d = detector(&["a", "b"]);
        d.failed(9.0, "a", Contact::Silent);
        for step in 0..10u32 {
            let now = 10.0 + 0.3 * f64::from(step);
            d.failed(now, "a", Contact::Refused);
            d.answered(now, hello("b", 2, &[("a", 1, 9000, true)]));
            d.judge(now, ME);
        }
        assert_eq!(d.standing("a"), Standing::Trusted, "it was overloaded");
        for step in 0..100u32 {
            let now = 20.0 + 0.3 * f64::from(step);
            d.failed(now, "b", Contact::Refused);
            d.judge(now, ME);
        }
        assert_ne!(d.standing("b"), Standing::Judged, "nobody else was heard");
        assert!(!d.doubtful("b"), "it is given work as before");
    }

    #[test]
    fn an_answer_ends_a_suspicion_but_not_a_verdict_and_an_old_greeting_neither() {
        let mut d = detector(&["a", "b"]);
        d.answered(9.9, hello("a", 1, &[]));
        let suspect = |d: &mut Detector, from: f64, steps: u32| {
            for step in 0..steps {
                let now = from + 0.3 * f64::from(step);
                d.failed(now, "a", Contact::Refused);
                d.answered(now, hello("b", 2, &[("a", 1, 9000, true)]));
                d.judge(now, ME);
            }
        };
        suspect(&mut d, 10.0, 2);
        assert_eq!(d.standing("a"), Standing::Suspect);
        // Held back by the network since before.
        d.greeted(
            10.5,
            Hello {
                revision: 50,
                ..hello("a", 1, &[])
            },
        );
        d.judge(10.5, ME);
        assert_eq!(d.standing("a"), Standing::Suspect);
        d.answered(10.6, hello("a", 1, &[]));
        d.judge(10.6, ME);
        assert_eq!(d.standing("a"), Standing::Trusted);
        suspect(&mut d, 11.0, 6);
        assert!(d.judged("a", 1));
        d.answered(13.0, hello("a", 1, &[]));
        d.judge(13.0, ME);
        assert_eq!(d.standing("a"), Standing::Judged, "too late");
        d.answered(18.5, hello("a", 1, &[]));
        d.judge(18.5, ME);
        assert_eq!(d.standing("a"), Standing::Trusted, "it answers for a while");
        // Of the name, but not the process that was judged.
        suspect(&mut d, 30.0, 6);
        d.member(33.0, "a", Some(Term { nonce: 7, since: 9 }));
        assert!(!d.judged("a", 7) && d.judged("a", 1));
    }

    /// Two that came back took the lead from each other six times in 0.2 s.
    #[test]
    fn a_leader_that_stalls_is_judged_once_in_a_lease_by_one_with_room() {
        let stalls = |own: Own| {
            let mut d = detector(&["a", "b"]);
            for step in 0..30u32 {
                let now = 10.0 + 0.3 * f64::from(step);
                let slow = Hello {
                    late_ms: 300,
                    planned_ms: Some(5000),
                    ..hello("a", 1, &[])
                };
                d.answered(now, slow);
                d.judge(now, own);
            }
            d.standing("a")
        };
        assert_eq!(stalls(ME), Standing::Judged);
        assert_eq!(
            stalls(Own {
                passed_s: 9.0,
                ..ME
            }),
            Standing::Suspect
        );
        assert_eq!(stalls(Own { busy: 0.6, ..ME }), Standing::Trusted);
        assert_eq!(stalls(Own { lag_s: 0.2, ..ME }), Standing::Trusted);
    }
}
