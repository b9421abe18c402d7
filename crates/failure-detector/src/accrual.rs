//! Suspicion that accrues with the time since a peer's last heartbeat, relative to the peer's
//! own history.
//!
//! After Hayashibara, Défago, Yared and Katayama, "The φ Accrual Failure Detector"
//! (2004): φ is the negative decimal logarithm of the probability that a live peer is
//! silent for this long. A fixed time-out is either slow on a quiet network or
//! over-sensitive on a slow one; φ adapts to the peer's recent heartbeats.

use statrs::function::erf::erfc;
use std::collections::VecDeque;

/// Intervals in the history. Heartbeats come a few times a second, so this is about the last
/// half minute.
const WINDOW: usize = 100;

/// Upper bound of φ: beyond it the normal distribution is no model of a network.
const MAX_PHI: f64 = 100.0;

/// The expected interval counts as so many samples: a few observed ones are no evidence yet.
const PRIOR_WEIGHT: f64 = 8.0;

/// A longer silence enters the history as so many expected intervals.
const MAX_INTERVALS_PER_SAMPLE: f64 = 8.0;

/// Arrival times of one peer's heartbeats.
#[derive(Debug, Clone)]
pub struct HeartbeatHistory {
    /// In seconds, the oldest first.
    intervals: VecDeque<f64>,
    last_s: Option<f64>,
    /// The interval expected of a peer of which little is known, in seconds.
    expected_s: f64,
}

/// The distribution of intervals, in seconds.
struct IntervalDistribution {
    mean_s: f64,
    deviation_s: f64,
}

impl HeartbeatHistory {
    /// An empty history of a peer that should send a heartbeat each `expected_s` seconds.
    pub fn new(expected_s: f64) -> HeartbeatHistory {
        HeartbeatHistory {
            intervals: VecDeque::with_capacity(WINDOW),
            last_s: None,
            expected_s,
        }
    }

    /// Records a heartbeat; one that is not after the last is ignored.
    pub fn record(&mut self, now_s: f64) {
        if let Some(last) = self.last_s {
            if now_s <= last {
                return;
            }
            if self.intervals.len() == WINDOW {
                self.intervals.pop_front();
            }
            // A long silence that ended belongs to the history, but not with all of
            // its length: one outage would hide the next for half a minute.
            let longest = MAX_INTERVALS_PER_SAMPLE * self.expected_s;
            self.intervals.push_back((now_s - last).min(longest));
        }
        self.last_s = Some(now_s);
    }

    /// Clears the history, because the peer's process is another one.
    pub fn reset(&mut self) {
        self.intervals.clear();
        self.last_s = None;
    }

    /// When the latest heartbeat was recorded, in seconds of the observer's clock.
    pub fn last_s(&self) -> Option<f64> {
        self.last_s
    }

    fn distribution(&self) -> IntervalDistribution {
        let samples = PRIOR_WEIGHT + self.intervals.len() as f64;
        let sum: f64 = self.intervals.iter().sum();
        let mean = (PRIOR_WEIGHT * self.expected_s + sum) / samples;
        let squared = |interval: f64| (interval - mean) * (interval - mean);
        let observed = self.intervals.iter().map(|i| squared(*i)).sum::<f64>();
        let squares = PRIOR_WEIGHT * squared(self.expected_s) + observed;
        // Never more certain than by half an interval: packets are lost and resent.
        let deviation = (squares / samples).sqrt().max(self.expected_s / 2.0);
        IntervalDistribution {
            mean_s: mean,
            deviation_s: deviation,
        }
    }

    /// How improbable it is that a live peer has sent nothing since its last heartbeat.
    /// `lag_s` is the observer's own event-loop lag: a response may wait in its own
    /// queue for as long (the local health of Lifeguard: Dadgar, Phillips and Currey,
    /// 2018), so a controller that is short of processor time suspects no peer.
    pub fn phi(&self, now_s: f64, lag_s: f64) -> f64 {
        let Some(last) = self.last_s else {
            return 0.0;
        };
        let intervals = self.distribution();
        let silent = now_s - last - lag_s;
        let deviation = intervals.deviation_s + lag_s;
        let deviations = (silent - intervals.mean_s) / (deviation * std::f64::consts::SQRT_2);
        let tail = 0.5 * erfc(deviations);
        (-tail.log10()).clamp(0.0, MAX_PHI)
    }
}

#[cfg(test)]
mod tests;
