//! A token bucket: so many a second, with one or more seconds' worth at once.

use std::time::Duration;
use tokio::time::Instant;

/// What several clients of one service may spend. Each has its share for sure; what
/// the others leave shows only in that nothing is refused, so the rate grows with
/// each success and falls back to the share when the service says that it was too
/// much.
#[derive(Debug)]
pub struct RateLimiter {
    share: f64,
    most: f64,
    rate: f64,
    level: f64,
    at: Instant,
}

/// By how much of its share each success raises the rate.
const GROWTH: f64 = 0.05;

impl RateLimiter {
    /// A share that is all there is.
    pub fn new(rate: f64, now: Instant) -> Self {
        RateLimiter::with_share(rate, rate, now)
    }

    /// A share of the `most` that all clients may spend.
    pub fn with_share(share: f64, most: f64, now: Instant) -> Self {
        RateLimiter {
            share,
            most,
            rate: share,
            level: share.max(LEAST),
            at: now,
        }
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        // A second's worth at once, or what the smallest share needs for one go.
        let burst = self.rate.max(LEAST);
        self.level = (self.level + passed * self.rate).min(burst);
        self.at = now;
    }

    /// How much must be there for `amount`. A large one begins as soon as a small
    /// one could, and those behind it wait the longer: if it had to wait until all
    /// is there, small ones would take it away for ever. So a leader that had
    /// fourteen blocks to lend lent none for half a minute.
    fn needed(&self, amount: f64, reserve: f64) -> f64 {
        (amount.min(1.0) + reserve).min(self.rate.max(LEAST))
    }

    /// Takes `amount`, once as much as one is there beside `reserve`.
    pub fn try_take(&mut self, amount: f64, reserve: f64, now: Instant) -> bool {
        self.refill(now);
        let fits = self.level >= self.needed(amount, reserve);
        if fits {
            self.level -= amount;
        }
        fits
    }

    /// How long until `amount` could be taken beside `reserve`.
    pub fn time_until(&mut self, amount: f64, reserve: f64, now: Instant) -> Duration {
        self.refill(now);
        let lacking = self.needed(amount, reserve) - self.level;
        Duration::from_secs_f64((lacking / self.rate).clamp(0.0, 3600.0))
    }

    /// What was taken was served.
    pub fn on_success(&mut self) {
        self.rate = (self.rate + GROWTH * self.share).min(self.most);
    }

    /// The service said that it was too much: back to the share, and to nothing.
    pub fn on_throttled(&mut self, now: Instant) {
        self.refill(now);
        self.rate = self.share;
        self.level = self.level.min(0.0);
    }
}

/// The least that can be had at once.
const LEAST: f64 = 4.0;

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn a_bucket_spends_no_more_than_its_rate() {
        let start = Instant::now();
        let mut budget = RateLimiter::new(10.0, start);
        let mut taken = 0;
        for step in 0..400 {
            let now = start + Duration::from_millis(step * 10);
            taken += u32::from(budget.try_take(1.0, 0.0, now));
        }
        assert!((48..=50).contains(&taken), "{taken}");
        assert!(!budget.try_take(1.0, 5.0, start + Duration::from_secs(4)));
        assert!(budget.time_until(1.0, 5.0, start + Duration::from_secs(4)) > Duration::ZERO);
    }

    /// Small changes took away what a large one waited for, again and again.
    #[tokio::test(start_paused = true)]
    async fn a_large_amount_is_not_kept_waiting_by_small_ones() {
        let start = Instant::now();
        let mut budget = RateLimiter::new(4.0, start);
        let (mut large, mut small) = (None, 0);
        for step in 0..1000u64 {
            let now = start + Duration::from_millis(step * 10);
            small += u32::from(budget.try_take(1.0, 0.0, now));
            if large.is_none() && budget.try_take(14.0, 2.0, now) {
                large = Some(step);
            }
        }
        assert!(large.is_some_and(|step| step < 100), "{large:?}");
        // As much as the rate allows in 10 s, beside a second's worth, and not more.
        assert!((40..=44).contains(&(small + 14)), "{small}");
    }

    #[tokio::test(start_paused = true)]
    async fn what_others_leave_is_used_until_it_is_too_much() {
        let start = Instant::now();
        let mut budget = RateLimiter::with_share(3.0, 20.0, start);
        let spend = |seconds: std::ops::Range<u64>, budget: &mut RateLimiter| {
            let mut taken = 0;
            for step in seconds.start * 100..seconds.end * 100 {
                if budget.try_take(1.0, 0.0, start + Duration::from_millis(step * 10)) {
                    taken += 1;
                    budget.on_success();
                }
            }
            taken
        };
        assert!(spend(0..10, &mut budget) > 60);
        budget.on_throttled(start + Duration::from_secs(10));
        let taken = spend(10..11, &mut budget);
        assert!((1..=5).contains(&taken), "{taken}");
    }
}
