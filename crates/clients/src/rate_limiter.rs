//! A token bucket whose rate adapts to what other clients leave unused.

use std::time::Duration;
use tokio::time::Instant;

/// By how much of its share each success raises the rate.
const GROWTH: f64 = 0.05;

/// The smallest burst, in tokens.
const MIN_BURST: f64 = 4.0;

/// The longest wait that is predicted, in seconds.
const MAX_WAIT_S: f64 = 3600.0;

/// One client's part of the rate limit of a service that several share. Each has its
/// share for sure; what the others leave shows only in that nothing is throttled, so the
/// rate grows with each success and falls back to the share when the service throttles.
#[derive(Debug)]
pub struct RateLimiter {
    /// The guaranteed rate, in tokens a second.
    share: f64,
    max_rate: f64,
    /// The present rate, in tokens a second.
    rate: f64,
    /// Negative after a large amount was taken in advance.
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// A limiter of a constant rate, in tokens a second.
    pub fn new(rate: f64, now: Instant) -> Self {
        RateLimiter::with_share(rate, rate, now)
    }

    /// A limiter with a share of the `max_rate` that all clients have together, in tokens
    /// a second.
    pub fn with_share(share: f64, max_rate: f64, now: Instant) -> Self {
        RateLimiter {
            share,
            max_rate,
            rate: share,
            tokens: share.max(MIN_BURST),
            refilled_at: now,
        }
    }

    /// The bucket's size: a second's worth, or what the smallest share needs at once.
    fn burst(&self) -> f64 {
        self.rate.max(MIN_BURST)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.tokens + elapsed.as_secs_f64() * self.rate;
        self.tokens = refilled.min(self.burst());
        self.refilled_at = now;
    }

    /// How many tokens must be there for `amount`. A large amount is granted as soon as a
    /// small one could be, and those behind it wait the longer: if it had to wait until
    /// all is there, small ones would take it away for ever. So a leader that had
    /// fourteen shards to assign assigned none for half a minute.
    fn required(&self, amount: f64, reserve: f64) -> f64 {
        (amount.min(1.0) + reserve).min(self.burst())
    }

    /// Takes `amount` tokens, if one is there beside `reserve`.
    pub fn try_acquire(&mut self, amount: f64, reserve: f64, now: Instant) -> bool {
        self.refill(now);
        let available = self.tokens >= self.required(amount, reserve);
        if available {
            self.tokens -= amount;
        }
        available
    }

    /// How long until `amount` could be taken beside `reserve`.
    pub fn time_until_available(&mut self, amount: f64, reserve: f64, now: Instant) -> Duration {
        self.refill(now);
        let lacking = self.required(amount, reserve) - self.tokens;
        Duration::from_secs_f64((lacking / self.rate).clamp(0.0, MAX_WAIT_S))
    }

    /// The service carried out what was taken.
    pub fn on_success(&mut self) {
        self.rate = (self.rate + GROWTH * self.share).min(self.max_rate);
    }

    /// The service throttled a request: back to the share, and to an empty bucket.
    pub fn on_throttled(&mut self, now: Instant) {
        self.refill(now);
        self.rate = self.share;
        self.tokens = self.tokens.min(0.0);
    }
}

#[cfg(test)]
mod tests;
