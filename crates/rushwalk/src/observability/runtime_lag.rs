//! Whether the event loop, which is this controller's only thread, keeps up with its work.
//!
//! The lag is the delay with which timers fire, which shows overload from any cause: too many
//! clients, an exhausted CPU quota, or a task that runs for long without yielding. While the loop
//! lags, optional work is left out. Without this, after a restart of all controllers, each of
//! them asked thousands of workers for heartbeats that the workers would have sent anyway. The
//! responses to the heartbeats came so late that the workers went to the next controller, where
//! the same happened.

#[cfg(test)]
mod tests;

use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Number of samples over which the mean lag is averaged: about one scheduling round.
const MEAN_SAMPLES: u32 = 8;

/// A sample counts in the mean lag as at most this many sampling intervals.
const MAX_SAMPLE_INTERVALS: u32 = 4;

/// While the event loop lags, a task sleeps for this many times the duration of its time slice.
const YIELD_FACTOR: u32 = 3;

/// The lag of the event loop, which is the delay with which its timers fire.
pub struct RuntimeLag {
    /// The time between two samples.
    interval: Duration,
    lag: Mutex<Lag>,
    /// The lag that is added to each sample; zero except in simulations.
    simulated: Mutex<Duration>,
}

#[derive(Default)]
struct Lag {
    /// The value of [`RuntimeLag::recent_lag`].
    recent: Duration,
    /// The value of [`RuntimeLag::mean_lag`].
    mean: Duration,
}

impl RuntimeLag {
    /// Creates a record without lag. [`RuntimeLag::sampling_loop`] takes one sample per `interval`.
    pub fn new(interval: Duration) -> RuntimeLag {
        RuntimeLag {
            interval,
            lag: Mutex::default(),
            simulated: Mutex::default(),
        }
    }

    /// The mean lag over about the last scheduling round. A thread that needs more CPU time than
    /// it gets lags intermittently, with low samples in between: the mean shows that, whereas
    /// [`RuntimeLag::recent_lag`] does not.
    pub fn mean_lag(&self) -> Duration {
        self.lag.lock().mean
    }

    /// The lag by the latest samples: it rises with one sample and decays over several.
    pub fn recent_lag(&self) -> Duration {
        self.lag.lock().recent
    }

    /// Whether the recent lag exceeds the sampling interval.
    pub fn is_lagging(&self) -> bool {
        self.recent_lag() > self.interval
    }

    /// Lets other tasks run after a time slice of length `slice`: once, or, while the event loop
    /// lags, for three times that length.
    pub async fn yield_after(&self, slice: Duration) {
        if self.is_lagging() {
            sleep(YIELD_FACTOR * slice).await;
        } else {
            tokio::task::yield_now().await;
        }
    }

    /// Adds `lag` to all further samples. With virtual time no timer fires late, so simulations
    /// have to set the lag.
    pub fn set_simulated_lag(&self, lag: Duration) {
        *self.simulated.lock() = lag;
    }

    /// Takes one sample per interval; never returns.
    pub async fn sampling_loop(self: Arc<RuntimeLag>) {
        loop {
            let due = Instant::now() + self.interval;
            sleep(self.interval).await;
            let simulated = *self.simulated.lock();
            self.record(due.elapsed() + simulated);
        }
    }

    /// Records that a timer fired late by `sample`. The recent lag rises to a higher sample
    /// directly, and decays by a quarter with each lower one, so that one low sample does not end
    /// an overload.
    fn record(&self, sample: Duration) {
        let mut lag = self.lag.lock();
        lag.recent = sample.max(lag.recent * 3 / 4);
        // A single long sample, such as a pause of seconds, does not show that the thread is
        // slow, so its weight in the mean is limited.
        let limited = sample.min(self.interval * MAX_SAMPLE_INTERVALS);
        lag.mean = (lag.mean * (MEAN_SAMPLES - 1) + limited) / MEAN_SAMPLES;
    }
}
