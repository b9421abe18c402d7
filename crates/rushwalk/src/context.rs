//! What does not change while a controller's process lives.

use crate::clock;
use crate::timing::Timing;
use rushwalk_protocol::settings::Settings;
use std::time::Duration;
use tokio::time::Instant;

/// The identity and settings of one process of a controller.
#[derive(Debug)]
pub struct Context {
    /// The settings with which it was started.
    pub settings: Settings,
    /// Intervals and time-outs that follow from them.
    pub timing: Timing,
    /// Drawn once per process: a restarted controller inherits nothing by its name.
    pub incarnation: u64,
    started: Instant,
}

/// How much of its life a process has been busy.
#[derive(Debug, Clone, Copy)]
pub struct ProcessTimes {
    /// Seconds since the start, to a tenth.
    pub up_s: f64,
    /// Seconds in which its thread was busy, to a tenth.
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

    /// This controller's name.
    pub fn member(&self) -> &str {
        &self.settings.member
    }

    /// The number of controllers that are configured, this one included.
    pub fn controllers(&self) -> usize {
        1 + self.settings.peers.len()
    }

    /// Time since the start, by the steady clock.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Seconds since the start, by the steady clock.
    pub fn uptime_s(&self) -> f64 {
        self.uptime().as_secs_f64()
    }

    /// How long the process lives, and for how long it was busy.
    pub fn process_times(&self) -> ProcessTimes {
        let metrics = tokio::runtime::Handle::current().metrics();
        // Virtual time stands still while the thread works.
        let busy = if clock::is_virtual() {
            Duration::ZERO
        } else {
            metrics.worker_total_busy_duration(0)
        };
        ProcessTimes {
            up_s: tenths(self.uptime()),
            busy_s: tenths(busy),
        }
    }
}

fn tenths(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 10.0).round() / 10.0
}
