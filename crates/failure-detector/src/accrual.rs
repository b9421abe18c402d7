//! The φ accrual failure detector: a suspicion level that rises with the time since a peer's
//! last heartbeat, relative to the peer's own history.
//!
//! After Hayashibara, Défago, Yared and Katayama, "The φ Accrual Failure Detector" (2004):
//! φ is the negative decimal logarithm of the probability that a live peer sends nothing for
//! this long. A fixed time-out detects failures late on a fast network or reports false
//! failures on a slow one; φ adapts to the intervals between the peer's recent heartbeats.

use statrs::function::erf::erfc;
use std::collections::VecDeque;

/// The number of intervals in the history. Heartbeats are sent a few times a second, so this
/// covers about the last half minute.
const WINDOW: usize = 100;

/// Upper bound of φ: beyond it the normal distribution is not a valid model of a network.
const MAX_PHI: f64 = 100.0;

/// The expected interval counts as this many samples, since the first few observed intervals
/// are not yet enough to estimate the distribution.
const PRIOR_WEIGHT: f64 = 8.0;

/// The longest interval in the history, as a multiple of the expected interval. Longer ones
/// are shortened to it.
const MAX_INTERVAL_FACTOR: f64 = 8.0;

/// The latest intervals between the heartbeats of one peer.
#[derive(Debug, Clone)]
pub struct HeartbeatHistory {
    /// In seconds, the oldest first.
    intervals: VecDeque<f64>,
    /// When the latest heartbeat was recorded, in seconds of the observer's clock.
    last_s: Option<f64>,
    /// The interval at which the peer should send heartbeats, in seconds.
    expected_s: f64,
}

/// The normal distribution that models the intervals between heartbeats.
struct IntervalDistribution {
    mean_s: f64,
    deviation_s: f64,
}

impl HeartbeatHistory {
    /// An empty history of a peer that should send a heartbeat every `expected_s` seconds.
    pub fn new(expected_s: f64) -> HeartbeatHistory {
        HeartbeatHistory {
            intervals: VecDeque::with_capacity(WINDOW),
            last_s: None,
            expected_s,
        }
    }

    /// Records a heartbeat; ignored if `now_s` is not after the previous one.
    pub fn record(&mut self, now_s: f64) {
        if let Some(last) = self.last_s {
            if now_s <= last {
                return;
            }
            if self.intervals.len() == WINDOW {
                self.intervals.pop_front();
            }
            // The history includes long intervals, but shortened: at full length, one outage
            // would hide the next for half a minute.
            let longest = MAX_INTERVAL_FACTOR * self.expected_s;
            self.intervals.push_back((now_s - last).min(longest));
        }
        self.last_s = Some(now_s);
    }

    /// Clears the history, for instance for a new process of the peer.
    pub fn reset(&mut self) {
        self.intervals.clear();
        self.last_s = None;
    }

    /// When the latest heartbeat was recorded, in seconds of the observer's clock; `None` if
    /// none was since the last reset.
    pub fn last_s(&self) -> Option<f64> {
        self.last_s
    }

    /// The distribution of the recorded intervals, with the expected interval as prior samples.
    fn distribution(&self) -> IntervalDistribution {
        let samples = PRIOR_WEIGHT + self.intervals.len() as f64;
        let sum: f64 = self.intervals.iter().sum();
        let mean = (PRIOR_WEIGHT * self.expected_s + sum) / samples;
        let squared_deviation = |interval: f64| (interval - mean) * (interval - mean);
        let observed_squares = self
            .intervals
            .iter()
            .map(|i| squared_deviation(*i))
            .sum::<f64>();
        let squares = PRIOR_WEIGHT * squared_deviation(self.expected_s) + observed_squares;
        // The deviation is at least half an interval, since packets are lost and retransmitted.
        let deviation = (squares / samples).sqrt().max(self.expected_s / 2.0);
        IntervalDistribution {
            mean_s: mean,
            deviation_s: deviation,
        }
    }

    /// φ at `now_s`: how improbable it is that a live peer has sent nothing since its last
    /// heartbeat; 0 before the first heartbeat. `lag_s` is the observer's own event-loop lag. A
    /// heartbeat may have waited that long in the observer's queue, so the lag is deducted from the
    /// time without a heartbeat and added to the deviation (the local health of Lifeguard: Dadgar,
    /// Phillips and Currey, 2018). An observer that is short of processor time thus does not
    /// suspect peers because of its own delay.
    pub fn phi(&self, now_s: f64, lag_s: f64) -> f64 {
        let Some(last) = self.last_s else {
            return 0.0;
        };
        let intervals = self.distribution();
        let silence_s = now_s - last - lag_s;
        let deviation = intervals.deviation_s + lag_s;
        let erfc_argument = (silence_s - intervals.mean_s) / (deviation * std::f64::consts::SQRT_2);
        let tail = 0.5 * erfc(erfc_argument);
        (-tail.log10()).clamp(0.0, MAX_PHI)
    }
}

#[cfg(test)]
mod tests;
