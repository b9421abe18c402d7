//! Discrete-event simulation of controllers that send each other heartbeats.

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

/// The failure of a controller.
#[derive(Debug, Clone, Copy)]
pub(super) struct FailedController {
    pub(super) controller: usize,
    /// When it fails, in seconds from the start.
    pub(super) at_s: f64,
    pub(super) mode: FailureMode,
}

/// A simulated event. Controllers are given by their indexes.
enum Event {
    /// `from` sends a heartbeat to `to`.
    SendHeartbeat { from: usize, to: usize },
    /// The response to a heartbeat of `from` arrives.
    ResponseReceived {
        from: usize,
        response: Box<PeerHeartbeat>,
    },
    /// `from` learns that its heartbeat to `to` has failed.
    ProbeFailed {
        from: usize,
        to: usize,
        failure: ProbeFailure,
    },
    /// A controller evaluates the health of its peers.
    EvaluatePeers(usize),
    /// A controller's pause begins.
    Pause(usize),
}

impl Event {
    /// The controller that handles the event.
    fn controller(&self) -> usize {
        match self {
            Event::SendHeartbeat { from, .. }
            | Event::ResponseReceived { from, .. }
            | Event::ProbeFailed { from, .. } => *from,
            Event::EvaluatePeers(controller) | Event::Pause(controller) => *controller,
        }
    }
}

/// A time in microseconds from the start. Integers have a total order, which the queue needs.
type Micros = u64;

/// Converts seconds to microseconds. Rounds up: an event that is deferred to the end of a pause
/// must not come before that end, because it would be deferred again without end.
fn micros(seconds: f64) -> Micros {
    (seconds * 1e6).ceil() as Micros
}

/// An event's position in the queue: events are ordered by time, and events at the same time by
/// the order in which they were scheduled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedEvent {
    at: Micros,
    id: u64,
}

/// A controller's latest pause; zero before the first.
#[derive(Debug, Clone, Copy, Default)]
struct LatestPause {
    end_s: f64,
    duration_s: f64,
}

/// The state of the simulation. Times are in seconds from its start; vectors are indexed by
/// controller.
pub(super) struct Model {
    pub(super) random: SmallRng,
    /// The failure to simulate, also before it happens; `None` if no controller fails.
    pub(super) failed: Option<FailedController>,
    /// Errors of the detectors so far.
    pub(super) errors: ErrorCounts,
    /// Time from the failure until a controller declared the failed one failed; `None` before.
    pub(super) detected_after_s: Option<f64>,
    network: Network,
    config: DetectorConfig,
    detectors: Vec<FailureDetector>,
    /// The end of each controller's latest pause.
    paused_until_s: Vec<f64>,
    latest_pauses: Vec<LatestPause>,
    /// The queued events, the earliest first.
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    /// The queued events by their ids.
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
            latest_pauses: vec![LatestPause::default(); controllers],
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
            let first_heartbeat_s = self.random.random_range(0.0..self.config.heartbeat_s);
            let from = controller;
            self.schedule(first_heartbeat_s, Event::SendHeartbeat { from, to });
        }
        self.schedule(1.0, Event::EvaluatePeers(controller));
        let pause_at_s = self.draw_time_to_pause_s();
        self.schedule(pause_at_s, Event::Pause(controller));
    }

    fn schedule(&mut self, at_s: f64, event: Event) {
        let id = self.next_event_id;
        let at = micros(at_s);
        self.events.insert(id, event);
        self.queue.push(Reverse(QueuedEvent { at, id }));
        self.next_event_id += 1;
    }

    /// Simulates until `until_s`, or until the failure is detected.
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
            // A paused controller handles its events when the pause ends.
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
            Event::Pause(controller) => self.begin_pause(now_s, controller),
        }
    }

    /// How a controller has failed by `now_s`; `None` if it has not.
    fn failure_of(&self, controller: usize, now_s: f64) -> Option<FailureMode> {
        let failed = self.failed?;
        (failed.controller == controller && now_s >= failed.at_s).then_some(failed.mode)
    }

    /// Draws the time to a controller's next pause from an exponential distribution.
    fn draw_time_to_pause_s(&mut self) -> f64 {
        let uniform_sample: f64 = self.random.random_range(1e-9..1.0);
        -uniform_sample.ln() * self.network.mean_time_between_pauses_s
    }

    /// Draws the latency of a message.
    fn draw_latency_s(&mut self) -> f64 {
        if self.random.random_bool(self.network.slow_share) {
            self.random.random_range(0.0..self.network.slow_max_s)
        } else {
            self.random.random_range(0.001..0.02)
        }
    }

    /// How late a controller's timers fire, in seconds. At the end of a pause this is the duration
    /// of the pause; it then halves with each second.
    fn timer_lag_s(&self, controller: usize, now_s: f64) -> f64 {
        let pause = self.latest_pauses[controller];
        pause.duration_s * 0.5f64.powf(now_s - pause.end_s)
    }

    /// A controller's heartbeat. The model has no store, so the time in microseconds serves as the
    /// revision, which increases as it would with a store.
    fn new_heartbeat(&self, controller: usize, now_s: f64) -> Box<PeerHeartbeat> {
        Box::new(PeerHeartbeat {
            member: member_name(controller),
            incarnation: controller as u64 + 1,
            revision: micros(now_s),
            lag_ms: (self.timer_lag_s(controller, now_s) * 1000.0) as u64,
            observations: self.detectors[controller].observations(now_s),
            ..PeerHeartbeat::default()
        })
    }

    /// Evaluates a controller's peers. Records the time to detection of the controller whose
    /// failure is simulated, and counts it as an error if another peer is suspected or declared
    /// failed.
    fn evaluate_peers(&mut self, now_s: f64, controller: usize) {
        let lag_s = self.timer_lag_s(controller, now_s);
        let local_health = LocalHealth {
            recent_lag_s: lag_s,
            mean_lag_s: lag_s,
            busy_share: 0.1,
            staleness_s: 0.05,
            since_leadership_moved_s: f64::INFINITY,
            revision: micros(now_s),
        };
        for change in self.detectors[controller].evaluate(now_s, local_health) {
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

    fn begin_pause(&mut self, now_s: f64, controller: usize) {
        let duration_s = self.random.random_range(0.0..self.network.pause_max_s);
        let end_s = now_s + duration_s;
        self.paused_until_s[controller] = end_s;
        self.latest_pauses[controller] = LatestPause { end_s, duration_s };
        let next_s = now_s + duration_s + self.draw_time_to_pause_s();
        self.schedule(next_s, Event::Pause(controller));
    }

    /// Sends a heartbeat, and schedules the next one after its response, refusal or time-out.
    fn send_heartbeat(&mut self, now_s: f64, from: usize, to: usize) {
        let wait_s = match self.failure_of(to, now_s) {
            Some(FailureMode::Refuses) => {
                let latency_s = self.draw_latency_s();
                let failure = ProbeFailure::Refused;
                self.schedule(now_s + latency_s, Event::ProbeFailed { from, to, failure });
                latency_s
            }
            Some(FailureMode::Silent) => self.schedule_timeout(now_s, from, to),
            None if self.random.random_bool(self.network.loss_share) => {
                self.schedule_timeout(now_s, from, to)
            }
            None => self.deliver_heartbeat(now_s, from, to),
        };
        let next_s = now_s + wait_s + self.config.heartbeat_s;
        self.schedule(next_s, Event::SendHeartbeat { from, to });
    }

    /// Schedules the time-out of a heartbeat whose response does not arrive within a round.
    /// Returns how long the sender waits, in seconds.
    fn schedule_timeout(&mut self, now_s: f64, from: usize, to: usize) -> f64 {
        let timeout_s = self.config.round_s;
        let failure = ProbeFailure::TimedOut;
        self.schedule(now_s + timeout_s, Event::ProbeFailed { from, to, failure });
        timeout_s
    }

    /// Delivers a heartbeat to `to`, which responds with a heartbeat of its own. If the response
    /// takes longer than a round, neither is recorded and the heartbeat times out. Returns how
    /// long the sender waits, in seconds.
    fn deliver_heartbeat(&mut self, now_s: f64, from: usize, to: usize) -> f64 {
        let received_s = (now_s + self.draw_latency_s()).max(self.paused_until_s[to]);
        let responded_s = received_s + self.draw_latency_s();
        if responded_s > now_s + self.config.round_s {
            return self.schedule_timeout(now_s, from, to);
        }
        let heartbeat = self.new_heartbeat(from, now_s);
        self.detectors[to].record_heartbeat(received_s, *heartbeat);
        let response = self.new_heartbeat(to, received_s);
        self.schedule(responded_s, Event::ResponseReceived { from, response });
        responded_s - now_s
    }
}

/// The detector of each controller. All controllers are registered members from the start.
fn new_detectors(controllers: usize, config: &DetectorConfig) -> Vec<FailureDetector> {
    let names: Vec<String> = (0..controllers).map(member_name).collect();
    let detectors = names.iter().map(|local| {
        let peers = names.iter().filter(|peer| *peer != local);
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
