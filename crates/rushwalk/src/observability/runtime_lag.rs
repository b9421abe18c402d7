//! Whether the event loop, which is this controller's only thread, keeps up.
//!
//! It is measured by how late timers fire, which shows overload from any cause: too many
//! clients, an exhausted share of a processor, a long time slice. While the loop lags, work that
//! can be omitted is: after a restart of all controllers each used to ask thousands of
//! workers for heartbeats that were coming by themselves, and answered those so late that
//! the workers went to the next controller, and so on.

#[cfg(test)]
mod tests;

use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Samples over which the lag is averaged: about one scheduling round.
const MEAN_SAMPLES: u32 = 8;

/// One sample counts in the mean for at most this many intervals.
const MAX_SAMPLE_INTERVALS: u32 = 4;

/// While the event loop lags, a task sleeps this many times as long as its slice took.
const YIELD_FACTOR: u32 = 3;

/// The lag of the event loop, by how late its timers fire.
pub struct RuntimeLag {
    /// The time between two samples.
    interval: Duration,
    lag: Mutex<Lag>,
    /// Added to each sample in simulations.
    simulated: Mutex<Duration>,
}

#[derive(Default)]
struct Lag {
    recent: Duration,
    mean: Duration,
}

impl RuntimeLag {
    /// Measures with one sample in each `interval`.
    pub fn new(interval: Duration) -> RuntimeLag {
        RuntimeLag {
            interval,
            lag: Mutex::default(),
            simulated: Mutex::default(),
        }
    }

    /// The mean lag of about the last scheduling round. A thread with less processor than
    /// work lags again and again with good samples in between: the mean shows that where
    /// [`RuntimeLag::recent_lag`] does not.
    pub fn mean_lag(&self) -> Duration {
        self.lag.lock().mean
    }

    /// The lag of the latest samples: it rises with one sample and decays over several.
    pub fn recent_lag(&self) -> Duration {
        self.lag.lock().recent
    }

    /// Whether the recent lag exceeds the time between two samples.
    pub fn is_lagging(&self) -> bool {
        self.recent_lag() > self.interval
    }

    /// Lets other tasks run after a time slice of length `slice`; while the event loop lags,
    /// for three times as long as that.
    pub async fn yield_after(&self, slice: Duration) {
        if self.is_lagging() {
            sleep(YIELD_FACTOR * slice).await;
        } else {
            tokio::task::yield_now().await;
        }
    }

    /// Adds a lag to all samples from now on: with virtual time no timer is ever late, so
    /// simulations must set it.
    pub fn set_simulated_lag(&self, lag: Duration) {
        *self.simulated.lock() = lag;
    }

    /// Takes samples, for ever.
    pub async fn sampling_loop(self: Arc<RuntimeLag>) {
        loop {
            let due = Instant::now() + self.interval;
            sleep(self.interval).await;
            let simulated = *self.simulated.lock();
            self.record(due.elapsed() + simulated);
        }
    }

    /// Records that a timer was `sample` late. The recent lag rises at once and decays by a
    /// quarter with each sample below it: one good sample does not end an overload.
    fn record(&self, sample: Duration) {
        let mut lag = self.lag.lock();
        lag.recent = sample.max(lag.recent * 3 / 4);
        // However long it was, it is one sample: a pause of seconds is no slowness.
        let limited = sample.min(self.interval * MAX_SAMPLE_INTERVALS);
        lag.mean = (lag.mean * (MEAN_SAMPLES - 1) + limited) / MEAN_SAMPLES;
    }
}
