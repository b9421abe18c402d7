//! The discrete-event model of controllers that send each other heartbeats.

use super::{ErrorCounts, FailureMode, Network};
use crate::cluster::member_name;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rushwalk_failure_detector::damping::MembershipTerm;
use rushwalk_failure_detector::{
    DetectorConfig, FailureDetector, LocalHealth, PeerHealth, ProbeFailure,
};
use rushwalk_protocol::peers::PeerHeartbeat;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// A controller that fails.
#[derive(Debug, Clone, Copy)]
pub(super) struct FailedController {
    pub(super) controller: usize,
    /// When it fails, in seconds.
    pub(super) at_s: f64,
    pub(super) mode: FailureMode,
}

/// Something that happens to a controller.
enum Event {
    SendHeartbeat {
        from: usize,
        to: usize,
    },
    ResponseReceived {
        from: usize,
        response: Box<PeerHeartbeat>,
    },
    ProbeFailed {
        from: usize,
        to: usize,
        failure: ProbeFailure,
    },
    EvaluatePeers(usize),
    Pause(usize),
}

impl Event {
    /// The controller that it happens to.
    fn controller(&self) -> usize {
        match self {
            Event::SendHeartbeat { from, .. }
            | Event::ResponseReceived { from, .. }
            | Event::ProbeFailed { from, .. } => *from,
            Event::EvaluatePeers(controller) | Event::Pause(controller) => *controller,
        }
    }
}

/// A time in microseconds, so that its order is total.
type Micros = u64;

/// Rounds up: what is due at the end of a pause must not come before it.
fn micros(seconds: f64) -> Micros {
    (seconds * 1e6).ceil() as Micros
}

/// An event's place in the queue: by time, and in the order of scheduling at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedEvent {
    at: Micros,
    id: u64,
}

/// A controller's latest pause.
#[derive(Debug, Clone, Copy, Default)]
struct PauseEnd {
    at_s: f64,
    duration_s: f64,
}

/// The state of the simulation. Times are in seconds from its start.
pub(super) struct Model {
    pub(super) random: SmallRng,
    pub(super) failed: Option<FailedController>,
    pub(super) errors: ErrorCounts,
    pub(super) detected_after_s: Option<f64>,
    network: Network,
    config: DetectorConfig,
    detectors: Vec<FailureDetector>,
    /// Until when each controller is paused.
    paused_until_s: Vec<f64>,
    latest_pauses: Vec<PauseEnd>,
    /// The earliest event comes first.
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    events: HashMap<u64, Event>,
    next_event_id: u64,
}

impl Model {
    pub(super) fn new(network: Network, config: DetectorConfig, seed: u64) -> Model {
        let controllers = network.controllers;
        let mut model = Model {
            random: SmallRng::seed_from_u64(seed),
            failed: None,
            errors: ErrorCounts::default(),
            detected_after_s: None,
            detectors: new_detectors(controllers, &config),
            network,
            config,
            paused_until_s: vec![0.0; controllers],
            latest_pauses: vec![PauseEnd::default(); controllers],
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event_id: 0,
        };
        for controller in 0..controllers {
            model.schedule_first_events(controller);
        }
        model
    }

    fn schedule_first_events(&mut self, controller: usize) {
        for to in (0..self.network.controllers).filter(|to| *to != controller) {
            let offset_s = self.random.random_range(0.0..self.config.heartbeat_s);
            let from = controller;
            self.schedule(offset_s, Event::SendHeartbeat { from, to });
        }
        self.schedule(1.0, Event::EvaluatePeers(controller));
        let pause_at_s = self.time_to_pause_s();
        self.schedule(pause_at_s, Event::Pause(controller));
    }

    fn schedule(&mut self, at_s: f64, event: Event) {
        let id = self.next_event_id;
        let at = micros(at_s);
        self.events.insert(id, event);
        self.queue.push(Reverse(QueuedEvent { at, id }));
        self.next_event_id += 1;
    }

    /// Runs until a time, or until a failure is detected.
    pub(super) fn run(&mut self, until_s: f64) {
        while let Some(Reverse(QueuedEvent { at, id })) = self.queue.pop() {
            let now_s = at as f64 / 1e6;
            if now_s >= until_s || self.detected_after_s.is_some() {
                return;
            }
            if let Some(event) = self.events.remove(&id) {
                self.handle(now_s, event);
            }
        }
    }

    fn handle(&mut self, now_s: f64, event: Event) {
        let controller = event.controller();
        if self.failure_of(controller, now_s).is_some() {
            return;
        }
        let paused_until_s = self.paused_until_s[controller];
        if paused_until_s > now_s {
            // It handles everything when its pause is over.
            return self.schedule(paused_until_s, event);
        }
        match event {
            Event::SendHeartbeat { from, to } => self.send_heartbeat(now_s, from, to),
            Event::ResponseReceived { from, response } => {
                self.detectors[from].record_response(now_s, *response);
            }
            Event::ProbeFailed { from, to, failure } => {
                self.detectors[from].record_probe_failure(&member_name(to), failure);
            }
            Event::EvaluatePeers(controller) => self.evaluate_peers(now_s, controller),
            Event::Pause(controller) => self.pause(now_s, controller),
        }
    }

    /// How a controller has failed, if it has.
    fn failure_of(&self, controller: usize, now_s: f64) -> Option<FailureMode> {
        let failed = self.failed?;
        (failed.controller == controller && now_s >= failed.at_s).then_some(failed.mode)
    }

    /// A random time to a controller's next pause.
    fn time_to_pause_s(&mut self) -> f64 {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        -uniform.ln() * self.network.mean_time_between_pauses_s
    }

    /// A random latency of a message.
    fn latency_s(&mut self) -> f64 {
        if self.random.random_bool(self.network.slow_share) {
            self.random.random_range(0.0..self.network.slow_max_s)
        } else {
            self.random.random_range(0.001..0.02)
        }
    }

    /// How late a controller's timers are: after a pause, half of what they were a second ago.
    fn timer_lag_s(&self, controller: usize, now_s: f64) -> f64 {
        let pause = self.latest_pauses[controller];
        pause.duration_s * 0.5f64.powf(now_s - pause.at_s)
    }

    fn heartbeat(&self, controller: usize, now_s: f64) -> Box<PeerHeartbeat> {
        Box::new(PeerHeartbeat {
            member: member_name(controller),
            incarnation: controller as u64 + 1,
            revision: micros(now_s),
            lag_ms: (self.timer_lag_s(controller, now_s) * 1000.0) as u64,
            observations: self.detectors[controller].observations(now_s),
            ..PeerHeartbeat::default()
        })
    }

    fn evaluate_peers(&mut self, now_s: f64, controller: usize) {
        let lag_s = self.timer_lag_s(controller, now_s);
        let own = LocalHealth {
            recent_lag_s: lag_s,
            mean_lag_s: lag_s,
            busy_share: 0.1,
            staleness_s: 0.05,
            since_leadership_moved_s: f64::INFINITY,
            revision: micros(now_s),
        };
        for change in self.detectors[controller].evaluate(now_s, own) {
            let failed = self
                .failed
                .filter(|failed| member_name(failed.controller) == change.member);
            match (failed, change.to) {
                (Some(failed), PeerHealth::Failed) => {
                    self.detected_after_s.get_or_insert(now_s - failed.at_s);
                }
                (None, PeerHealth::Suspected) => self.errors.suspicions += 1,
                (None, PeerHealth::Failed) => self.errors.false_positives += 1,
                _ => {}
            }
        }
        let next_s = now_s + self.config.heartbeat_s / 2.0;
        self.schedule(next_s, Event::EvaluatePeers(controller));
    }

    fn pause(&mut self, now_s: f64, controller: usize) {
        let duration_s = self.random.random_range(0.0..self.network.pause_max_s);
        let at_s = now_s + duration_s;
        self.paused_until_s[controller] = at_s;
        self.latest_pauses[controller] = PauseEnd { at_s, duration_s };
        let next_s = now_s + duration_s + self.time_to_pause_s();
        self.schedule(next_s, Event::Pause(controller));
    }

    fn send_heartbeat(&mut self, now_s: f64, from: usize, to: usize) {
        let wait_s = match self.failure_of(to, now_s) {
            Some(FailureMode::Refuses) => {
                let latency_s = self.latency_s();
                let failure = ProbeFailure::Refused;
                self.schedule(now_s + latency_s, Event::ProbeFailed { from, to, failure });
                latency_s
            }
            Some(FailureMode::Silent) => self.time_out(now_s, from, to),
            None if self.random.random_bool(self.network.loss_share) => {
                self.time_out(now_s, from, to)
            }
            None => self.deliver_heartbeat(now_s, from, to),
        };
        let next_s = now_s + wait_s + self.config.heartbeat_s;
        self.schedule(next_s, Event::SendHeartbeat { from, to });
    }

    /// The response does not arrive in time. Returns how long the sender waits.
    fn time_out(&mut self, now_s: f64, from: usize, to: usize) -> f64 {
        let timeout_s = self.config.round_s;
        let failure = ProbeFailure::TimedOut;
        self.schedule(now_s + timeout_s, Event::ProbeFailed { from, to, failure });
        timeout_s
    }

    /// The receiver gets the heartbeat and responds with its own. Returns how long the
    /// sender waits.
    fn deliver_heartbeat(&mut self, now_s: f64, from: usize, to: usize) -> f64 {
        let received_s = (now_s + self.latency_s()).max(self.paused_until_s[to]);
        let responded_s = received_s + self.latency_s();
        if responded_s > now_s + self.config.round_s {
            return self.time_out(now_s, from, to);
        }
        let heartbeat = self.heartbeat(from, now_s);
        self.detectors[to].record_heartbeat(received_s, *heartbeat);
        let response = self.heartbeat(to, received_s);
        self.schedule(responded_s, Event::ResponseReceived { from, response });
        responded_s - now_s
    }
}

fn new_detectors(controllers: usize, config: &DetectorConfig) -> Vec<FailureDetector> {
    let names: Vec<String> = (0..controllers).map(member_name).collect();
    let detectors = names.iter().map(|own| {
        let peers = names.iter().filter(|peer| *peer != own);
        let mut detector = FailureDetector::new(config.clone(), peers.map(String::as_str), 0.0);
        for (index, member) in names.iter().enumerate() {
            let term = MembershipTerm {
                incarnation: index as u64 + 1,
                since: 0,
            };
            detector.record_membership(0.0, member, Some(term));
        }
        detector
    });
    detectors.collect()
}
