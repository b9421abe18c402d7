//! The intervals from which the thresholds of event-loop lag and load follow.

/// Intervals that follow from the settings, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct DetectorTiming {
    /// The interval between two heartbeats to the same peer. Candidates for leadership are
    /// compared by their lag in whole intervals.
    pub heartbeat_s: f64,
    /// The interval of the leader's scheduling rounds.
    pub round_s: f64,
}

impl DetectorTiming {
    /// The mean event-loop lag from which on a controller counts as slow, in seconds.
    pub fn slow_threshold_s(&self) -> f64 {
        self.round_s / 8.0
    }

    /// Whether a mean event-loop lag is below a quarter of the slowness threshold. A few
    /// milliseconds of lag are usual.
    pub fn is_on_time(&self, lag_s: f64) -> bool {
        lag_s < self.slow_threshold_s() / 4.0
    }

    /// Whether a controller can take over another's work: its mean lag is on time, and its thread
    /// is busy for less than a third of the time (`busy_share`, 0 to 1). If the work itself causes
    /// the lag, a controller with less headroom would only lag next.
    pub fn has_headroom(&self, lag_s: f64, busy_share: f64) -> bool {
        self.is_on_time(lag_s) && busy_share < 1.0 / 3.0
    }
}
