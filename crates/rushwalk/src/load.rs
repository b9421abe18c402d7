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

pub struct Load {
    /// How often it is looked at.
    every: Duration,
    late: Mutex<Duration>,
}

impl Load {
    pub fn new(every: Duration) -> Load {
        Load {
            every,
            late: Mutex::default(),
        }
    }

    /// How late timers are of late.
    pub fn late(&self) -> Duration {
        *lock(&self.late)
    }

    /// Whether they are later than the time between two looks.
    pub fn behind(&self) -> bool {
        self.late() > self.every
    }

    /// A timer was so late. Rises at once, and falls by a quarter with each that was
    /// in time: one good turn doesn't end a storm.
    fn saw(&self, late: Duration) {
        let mut before = lock(&self.late);
        *before = late.max(*before * 3 / 4);
    }

    /// Lets the others on this thread go on after a turn that took so long: while
    /// timers are late, for three times as long.
    pub async fn give_way(&self, took: Duration) {
        match self.behind() {
            true => sleep(3 * took).await,
            false => tokio::task::yield_now().await,
        }
    }

    pub async fn watch_loop(self: Arc<Load>) {
        loop {
            let due = Instant::now() + self.every;
            sleep(self.every).await;
            self.saw(due.elapsed());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn late_timers_are_remembered_for_some_turns() {
        let load = Load::new(Duration::from_millis(100));
        assert!(!load.behind());
        load.saw(Duration::from_millis(300));
        assert!(load.behind());
        load.saw(Duration::from_millis(2));
        assert!(load.behind(), "one good turn");
        for _ in 0..4 {
            load.saw(Duration::from_millis(2));
        }
        assert!(!load.behind());
    }
}
