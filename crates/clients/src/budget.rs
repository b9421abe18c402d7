//! A token bucket: so many a second, with one or more seconds' worth at once.

use std::time::Duration;
use tokio::time::Instant;

#[derive(Debug)]
pub struct Budget {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
}

impl Budget {
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Budget {
            rate,
            burst,
            level: burst,
            at: now,
        }
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.at = now;
    }

    /// Takes `amount` if it is there, leaving at least `reserve`.
    pub fn take(&mut self, amount: f64, reserve: f64, now: Instant) -> bool {
        self.refill(now);
        // A demand above the burst could never be met; the full bucket must do.
        let fits = self.level >= (amount + reserve).min(self.burst);
        if fits {
            self.level -= amount;
        }
        fits
    }

    /// How long until `amount` beside `reserve` would be there.
    pub fn wait(&mut self, amount: f64, reserve: f64, now: Instant) -> Duration {
        self.refill(now);
        let lacking = (amount + reserve).min(self.burst) - self.level;
        Duration::from_secs_f64((lacking / self.rate).clamp(0.0, 3600.0))
    }

    /// The service said that it was too much: start again from nothing.
    pub fn drain(&mut self, now: Instant) {
        self.refill(now);
        self.level = self.level.min(0.0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn a_bucket_spends_no_more_than_its_rate() {
        let start = Instant::now();
        let mut budget = Budget::new(10.0, 10.0, start);
        let mut taken = 0;
        for step in 0..400 {
            let now = start + Duration::from_millis(step * 10);
            taken += u32::from(budget.take(1.0, 0.0, now));
        }
        assert!((48..=50).contains(&taken), "{taken}");
        assert!(!budget.take(1.0, 5.0, start + Duration::from_secs(4)));
        assert!(budget.wait(1.0, 5.0, start + Duration::from_secs(4)) > Duration::ZERO);
    }
}
