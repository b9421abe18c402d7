//! Intervals by which event-loop lag and load are compared.

/// Intervals that follow from the settings, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct DetectorTiming {
    /// Between two heartbeats to the same peer: a smaller difference in lag is none.
    pub heartbeat_s: f64,
    /// A scheduling round.
    pub round_s: f64,
}

impl DetectorTiming {
    /// Mean event-loop lag from which on a controller is too slow, in seconds.
    pub fn slow_threshold_s(&self) -> f64 {
        self.round_s / 8.0
    }

    /// Whether a mean lag is well below the threshold: a few milliseconds are usual.
    pub fn is_on_time(&self, lag_s: f64) -> bool {
        lag_s < self.slow_threshold_s() / 4.0
    }

    /// Whether a controller can take over another's work: on time, and idle for two
    /// thirds of the time. A lag that comes from the load would follow the work.
    pub fn has_headroom(&self, lag_s: f64, busy_share: f64) -> bool {
        self.is_on_time(lag_s) && busy_share < 1.0 / 3.0
    }
}
