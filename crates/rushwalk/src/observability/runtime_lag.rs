//! Whether this controller's one thread keeps up.
//!
//! A timer that fires late shows it, whatever the reason: too many callers, a share of
//! a processor that is used up, a long turn. What can be left out then is left out,
//! instead of taking its time from what can't: after an end of all controllers each
//! asked thousands of workers for news, who were coming by themselves, and answered
//! these so late that they went to the next controller, and so on.

use crate::lock::lock;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

pub struct RuntimeLag {
    /// How often it is looked at.
    every: Duration,
    late: Mutex<Duration>,
    /// How late they are in the mean of some looks.
    lag: Mutex<Duration>,
    /// What is added to each look in trials.
    pretended: Mutex<Duration>,
}

/// Looks over which lateness is averaged: about a round.
const AVERAGED: u32 = 8;

impl RuntimeLag {
    pub fn new(every: Duration) -> RuntimeLag {
        RuntimeLag {
            every,
            late: Mutex::default(),
            lag: Mutex::default(),
            pretended: Mutex::default(),
        }
    }

    /// How late timers are in the mean of the last round or so. A thread that has less
    /// processor than work is late again and again, with good turns in between: the
    /// mean shows it where the latest turns don't.
    pub fn mean_lag(&self) -> Duration {
        *lock(&self.lag)
    }

    /// How late timers are of late.
    pub fn recent_lag(&self) -> Duration {
        *lock(&self.late)
    }

    /// Whether they are later than the time between two looks.
    pub fn is_lagging(&self) -> bool {
        self.recent_lag() > self.every
    }

    /// A timer was so late. Rises at once, and falls by a quarter with each that was
    /// in time: one good turn doesn't end a storm.
    fn record(&self, late: Duration) {
        let mut before = lock(&self.late);
        *before = late.max(*before * 3 / 4);
        // However long it was, it is one look: who stood still for seconds is not slow.
        let mut lag = lock(&self.lag);
        *lag = (*lag * (AVERAGED - 1) + late.min(self.every * 4)) / AVERAGED;
    }

    /// Lets the others on this thread go on after a turn that took so long: while
    /// timers are late, for three times as long.
    pub async fn give_way(&self, took: Duration) {
        match self.is_lagging() {
            true => sleep(3 * took).await,
            false => tokio::task::yield_now().await,
        }
    }

    /// From now on each look counts as so much later: on virtual time no thread is ever
    /// late, so trials must say so.
    pub fn set_simulated_lag(&self, late: Duration) {
        *lock(&self.pretended) = late;
    }

    pub async fn watch_loop(self: Arc<RuntimeLag>) {
        loop {
            let due = Instant::now() + self.every;
            sleep(self.every).await;
            let pretended = *lock(&self.pretended);
            self.record(due.elapsed() + pretended);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn late_timers_are_remembered_for_some_turns() {
        let load = RuntimeLag::new(Duration::from_millis(100));
        assert!(!load.is_lagging());
        load.record(Duration::from_millis(300));
        assert!(load.is_lagging());
        load.record(Duration::from_millis(2));
        assert!(load.is_lagging(), "one good turn");
        for _ in 0..4 {
            load.record(Duration::from_millis(2));
        }
        assert!(!load.is_lagging());
    }

    /// A controller eight times slower was late in two looks of three, and by the
    /// latest ones in time again and again.
    #[test]
    fn lateness_that_comes_and_goes_shows_in_the_mean() {
        let load = RuntimeLag::new(Duration::from_millis(100));
        load.record(Duration::from_millis(30_000));
        assert!(
            load.mean_lag() <= Duration::from_millis(50),
            "it stood still"
        );
        (0..20).for_each(|i| load.record(Duration::from_millis([2, 300, 500][i % 3])));
        assert!(load.mean_lag() > Duration::from_millis(200));
        (0..40).for_each(|_| load.record(Duration::from_millis(2)));
        assert!(load.mean_lag() < Duration::from_millis(10));
    }
}
