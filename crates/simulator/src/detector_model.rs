//! The failure detector alone, against a model of the network: thousands of
//! controller-hours in seconds, where trials of whole controllers play minutes.
//!
//! Controllers greet each other; greetings and answers take some milliseconds, now and
//! then hundreds, and some are lost; controllers stand still at times, as processes with
//! a share of a processor do. Nobody writes to the log and no lease ends: what is judged
//! here is judged by greetings alone, which is the least that there is.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rushwalk_failure_detector::damping::MembershipTerm;
use rushwalk_failure_detector::{
    DetectorConfig, FailureDetector, LocalHealth, PeerHealth, ProbeFailure,
};
use rushwalk_protocol::peers::PeerHeartbeat;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, Gamma};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What the network and the controllers do. Times are in seconds.
#[derive(Debug, Clone, Serialize)]
pub struct Network {
    pub controllers: usize,
    /// Share of greetings that come to nothing.
    pub loss: f64,
    /// Share of answers that take up to `slow_s`.
    pub slow: f64,
    pub slow_s: f64,
    /// Mean time between a controller's pauses, and the longest of them.
    pub pause_each_s: f64,
    pub pause_s: f64,
}

/// How a controller ends in the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Its host refuses connections.
    Refuses,
    /// Its host is silent.
    Silent,
}

#[derive(Debug, Clone, Default, Serialize)]
pub struct Hours {
    pub controller_hours: f64,
    /// Suspicions and verdicts of one controller about another that lived.
    pub suspected: u64,
    pub judged: u64,
}

impl Hours {
    pub fn add(&mut self, other: &Hours) {
        self.controller_hours += other.controller_hours;
        self.suspected += other.suspected;
        self.judged += other.judged;
    }
}

/// Events an hour with their 95% interval, by the exact one for Poisson counts (Garwood).
pub fn rate(count: u64, hours: f64) -> (f64, f64, f64) {
    let quantile = |shape: f64, p: f64| Gamma::new(shape, 1.0).map_or(0.0, |g| g.inverse_cdf(p));
    let n = count as f64;
    let low = if count == 0 { 0.0 } else { quantile(n, 0.025) };
    (n / hours, low / hours, quantile(n + 1.0, 0.975) / hours)
}

enum Act {
    Greet(usize, usize),
    Answer(usize, Box<PeerHeartbeat>),
    Fail(usize, usize, ProbeFailure),
    Judge(usize),
    Pause(usize),
}

/// In microseconds, so that order is total.
type At = u64;

fn at(s: f64) -> At {
    // Upwards: what is due at the end of a pause must not come before it.
    (s * 1e6).ceil() as At
}

struct Model {
    network: Network,
    limits: DetectorConfig,
    random: SmallRng,
    detectors: Vec<FailureDetector>,
    paused: Vec<f64>,
    /// How late each controller was of late.
    late: Vec<(f64, f64)>,
    queue: BinaryHeap<Reverse<(At, u64)>>,
    acts: std::collections::HashMap<u64, Act>,
    next: u64,
    dead: Option<(usize, f64, End)>,
    hours: Hours,
    verdict: Option<f64>,
}

fn name(i: usize) -> String {
    format!("node-{i}")
}

impl Model {
    fn new(network: Network, limits: DetectorConfig, seed: u64) -> Model {
        let n = network.controllers;
        let names: Vec<String> = (0..n).map(name).collect();
        let detectors = (0..n).map(|i| {
            let peers = names.iter().filter(|p| **p != names[i]);
            let mut detector = FailureDetector::new(limits.clone(), peers.map(String::as_str), 0.0);
            for (k, peer) in names.iter().enumerate() {
                let term = MembershipTerm {
                    incarnation: k as u64 + 1,
                    since: 0,
                };
                detector.record_membership(0.0, peer, Some(term));
            }
            detector
        });
        let mut model = Model {
            detectors: detectors.collect(),
            paused: vec![0.0; n],
            late: vec![(0.0, 0.0); n],
            network,
            limits,
            random: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            acts: std::collections::HashMap::new(),
            next: 0,
            dead: None,
            hours: Hours::default(),
            verdict: None,
        };
        for i in 0..n {
            for k in (0..n).filter(|k| *k != i) {
                let phase = model.random.random_range(0.0..model.limits.heartbeat_s);
                model.put(phase, Act::Greet(i, k));
            }
            model.put(1.0, Act::Judge(i));
            let pause = model.until_pause();
            model.put(pause, Act::Pause(i));
        }
        model
    }

    fn put(&mut self, time: f64, act: Act) {
        self.acts.insert(self.next, act);
        self.queue.push(Reverse((at(time), self.next)));
        self.next += 1;
    }

    fn until_pause(&mut self) -> f64 {
        let u: f64 = self.random.random_range(1e-9..1.0);
        -u.ln() * self.network.pause_each_s
    }

    fn delay(&mut self) -> f64 {
        match self.random.random_bool(self.network.slow) {
            true => self.random.random_range(0.0..self.network.slow_s),
            false => self.random.random_range(0.001..0.02),
        }
    }

    /// How late a controller's timers are: half of what they were a second ago.
    fn late(&self, i: usize, now: f64) -> f64 {
        let (when, late) = self.late[i];
        late * 0.5f64.powf(now - when)
    }

    fn hello(&self, i: usize, now: f64) -> Box<PeerHeartbeat> {
        Box::new(PeerHeartbeat {
            member: name(i),
            incarnation: i as u64 + 1,
            revision: at(now),
            lag_ms: (self.late(i, now) * 1000.0) as u64,
            observations: self.detectors[i].observations(now),
            ..PeerHeartbeat::default()
        })
    }

    fn act(&mut self, now: f64, act: Act) {
        let who = match &act {
            Act::Greet(i, _) | Act::Answer(i, ..) | Act::Fail(i, ..) => *i,
            Act::Judge(i) | Act::Pause(i) => *i,
        };
        if self
            .dead
            .is_some_and(|(dead, since, _)| dead == who && now >= since)
        {
            return;
        }
        if self.paused[who] > now {
            // It goes on with everything when its pause is over.
            let until = self.paused[who];
            return self.put(until, act);
        }
        match act {
            Act::Greet(i, k) => self.greet(now, i, k),
            Act::Answer(i, hello) => self.detectors[i].record_response(now, *hello),
            Act::Fail(i, k, contact) => self.detectors[i].record_probe_failure(&name(k), contact),
            Act::Judge(i) => {
                let own = LocalHealth {
                    recent_lag_s: self.late(i, now),
                    mean_lag_s: self.late(i, now),
                    busy_share: 0.1,
                    staleness_s: 0.05,
                    since_leadership_moved_s: f64::INFINITY,
                    revision: at(now),
                };
                for change in self.detectors[i].evaluate(now, own) {
                    let dead = self.dead.filter(|(d, ..)| name(*d) == change.member);
                    match (dead, change.to) {
                        (Some((_, since, _)), PeerHealth::Failed) => {
                            self.verdict.get_or_insert(now - since);
                        }
                        (None, PeerHealth::Suspected) => self.hours.suspected += 1,
                        (None, PeerHealth::Failed) => self.hours.judged += 1,
                        _ => {}
                    }
                }
                self.put(now + self.limits.heartbeat_s / 2.0, Act::Judge(i));
            }
            Act::Pause(i) => {
                let took = self.random.random_range(0.0..self.network.pause_s);
                self.paused[i] = now + took;
                self.late[i] = (now + took, took);
                let pause = self.until_pause();
                self.put(now + took + pause, Act::Pause(i));
            }
        }
    }

    fn greet(&mut self, now: f64, i: usize, k: usize) {
        let patience = self.limits.round_s;
        let end = self
            .dead
            .filter(|(dead, since, _)| *dead == k && now >= *since);
        let wait = match end {
            Some((.., End::Refuses)) => {
                let delay = self.delay();
                self.put(now + delay, Act::Fail(i, k, ProbeFailure::Refused));
                delay
            }
            Some((.., End::Silent)) => {
                self.put(now + patience, Act::Fail(i, k, ProbeFailure::TimedOut));
                patience
            }
            None if self.random.random_bool(self.network.loss) => {
                self.put(now + patience, Act::Fail(i, k, ProbeFailure::TimedOut));
                patience
            }
            None => {
                let there = (now + self.delay()).max(self.paused[k]);
                let back = there + self.delay();
                if back > now + patience {
                    self.put(now + patience, Act::Fail(i, k, ProbeFailure::TimedOut));
                    patience
                } else {
                    // What it heard of us, and what it has to say.
                    let ours = self.hello(i, now);
                    self.detectors[k].record_heartbeat(there, *ours);
                    let hello = self.hello(k, there);
                    self.put(back, Act::Answer(i, hello));
                    back - now
                }
            }
        };
        self.put(now + wait + self.limits.heartbeat_s, Act::Greet(i, k));
    }

    fn run(&mut self, until: f64) {
        while let Some(Reverse((time, id))) = self.queue.pop() {
            let now = time as f64 / 1e6;
            if now >= until || self.verdict.is_some() {
                return;
            }
            if let Some(act) = self.acts.remove(&id) {
                self.act(now, act);
            }
        }
    }
}

/// Lets controllers live for some hours of which nothing fails.
pub fn live(network: &Network, limits: &DetectorConfig, hours: f64, seed: u64) -> Hours {
    let mut model = Model::new(network.clone(), limits.clone(), seed);
    model.run(hours * 3600.0);
    model.hours.controller_hours = hours * network.controllers as f64;
    model.hours
}

/// From one controller's end to the first verdict on it, in seconds; none if there was
/// none within a minute.
pub fn end(network: &Network, limits: &DetectorConfig, how: End, seed: u64) -> Option<f64> {
    let mut model = Model::new(network.clone(), limits.clone(), seed);
    let when = 60.0 + model.random.random_range(0.0..10.0);
    let who = model.random.random_range(0..network.controllers);
    model.dead = Some((who, when, how));
    model.run(when + 60.0);
    model.verdict
}

#[cfg(test)]
mod tests {
    use super::*;

    fn limits() -> DetectorConfig {
        DetectorConfig {
            heartbeat_s: 0.33,
            round_s: 1.0,
            member_lease_s: 5.7,
            worker_lease_s: 40.0,
            phi_threshold: 8.0,
            refusal_threshold: 2,
        }
    }

    fn network(controllers: usize) -> Network {
        Network {
            controllers,
            loss: 0.02,
            slow: 0.05,
            slow_s: 0.5,
            pause_each_s: 300.0,
            pause_s: 3.0,
        }
    }

    #[test]
    fn nobody_who_lives_is_judged_and_the_dead_are_soon() {
        for n in [3, 7] {
            let hours = live(&network(n), &limits(), 0.4, n as u64);
            assert_eq!(hours.judged, 0, "{hours:?}");
            for seed in 0..20 {
                let took = end(&network(n), &limits(), End::Refuses, seed).unwrap();
                assert!(took < 3.0, "{n} controllers, seed {seed}: {took} s");
                let took = end(&network(n), &limits(), End::Silent, seed).unwrap();
                assert!(took < 6.5, "{n} controllers, seed {seed}: {took} s");
            }
        }
    }

    #[test]
    fn no_count_still_bounds_a_rate() {
        let (rate, low, high) = rate(0, 1000.0);
        assert_eq!((rate, low), (0.0, 0.0));
        assert!((high * 1000.0 - 3.689).abs() < 0.01);
    }
}
