//! The identity, settings and timing of a controller's process, which do not change while it runs.

use crate::clock;
use crate::timing::Timing;
use rushwalk_protocol::settings::Settings;
use std::time::Duration;
use tokio::time::Instant;

/// The identity, settings and timing of one process of a controller.
#[derive(Debug)]
pub struct Context {
    /// The settings with which the process was started.
    pub settings: Settings,
    /// Intervals and time-outs, which follow from the settings.
    pub timing: Timing,
    /// A random number drawn at the start of the process. A restarted controller keeps its name
    /// but has a new incarnation, so nothing that its previous process held, such as shard leases,
    /// passes to it by the name alone.
    pub incarnation: u64,
    started: Instant,
}

/// How long a process has been running, and how long its thread has been busy.
#[derive(Debug, Clone, Copy)]
pub struct ProcessTimes {
    /// Seconds since the start, rounded to tenths.
    pub up_s: f64,
    /// Seconds in which its thread was busy, rounded to tenths; 0 in simulations.
    pub busy_s: f64,
}

impl Context {
    /// The context of a process that starts now.
    pub fn new(settings: Settings) -> Context {
        Context {
            timing: Timing::new(&settings),
            incarnation: rushwalk_random::random_id(),
            started: Instant::now(),
            settings,
        }
    }

    /// This controller's name as a member, from the settings.
    pub fn member(&self) -> &str {
        &self.settings.member
    }

    /// The number of controllers that are configured, this one included.
    pub fn controllers(&self) -> usize {
        1 + self.settings.peers.len()
    }

    /// Time since the start of the process, by the monotonic clock.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Seconds since the start of the process, by the monotonic clock.
    pub fn uptime_s(&self) -> f64 {
        self.uptime().as_secs_f64()
    }

    /// How long the process has been running, and how long its thread has been busy.
    pub fn process_times(&self) -> ProcessTimes {
        let metrics = tokio::runtime::Handle::current().metrics();
        // Virtual time does not advance while the thread works, so it has no busy time.
        let busy = if clock::is_virtual() {
            Duration::ZERO
        } else {
            metrics.worker_total_busy_duration(0)
        };
        ProcessTimes {
            up_s: round_to_tenths(self.uptime()),
            busy_s: round_to_tenths(busy),
        }
    }
}

fn round_to_tenths(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 10.0).round() / 10.0
}
