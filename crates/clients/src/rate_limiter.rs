//! A token bucket whose rate adapts to the capacity that other clients leave unused.

use std::time::Duration;
use tokio::time::Instant;

/// The increase of the rate with each successful request, as a fraction of the share.
const RATE_INCREASE: f64 = 0.05;

/// Minimum bucket size, in tokens.
const MIN_BURST: f64 = 4.0;

/// Upper bound of predicted waits, in seconds.
const MAX_WAIT_S: f64 = 3600.0;

/// Limits the request rate of one client of a service whose rate limit several clients share.
///
/// Each client has a guaranteed share of the limit and may also use what the others leave
/// unused. A client can only tell that capacity is unused from the fact that the service
/// doesn't throttle it. The rate therefore increases with each successful request, and is reset
/// to the share when the service throttles a request.
#[derive(Debug)]
pub struct RateLimiter {
    /// The guaranteed rate, in tokens per second.
    share: f64,
    /// The upper bound of `rate`, in tokens per second.
    max_rate: f64,
    /// The current rate, in tokens per second.
    rate: f64,
    /// The tokens in the bucket. Negative after a large amount was granted before the bucket
    /// held it.
    tokens: f64,
    /// When `tokens` was last updated.
    refilled_at: Instant,
}

impl RateLimiter {
    /// Creates a limiter with a constant rate, in tokens per second.
    pub fn new(rate: f64, now: Instant) -> Self {
        RateLimiter::with_share(rate, rate, now)
    }

    /// Creates a limiter with a guaranteed share of `max_rate`, the rate limit of all clients
    /// together. Both are in tokens per second.
    pub fn with_share(share: f64, max_rate: f64, now: Instant) -> Self {
        RateLimiter {
            share,
            max_rate,
            rate: share,
            tokens: share.max(MIN_BURST),
            refilled_at: now,
        }
    }

    /// The bucket's size in tokens: one second's worth, but at least [`MIN_BURST`], as even a
    /// client with a very small share needs that many at a time.
    fn burst(&self) -> f64 {
        self.rate.max(MIN_BURST)
    }

    /// Adds the tokens that have accrued since the last refill.
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.tokens + elapsed.as_secs_f64() * self.rate;
        self.tokens = refilled.min(self.burst());
        self.refilled_at = now;
    }

    /// The number of tokens that the bucket must hold for `amount` to be granted. A full bucket
    /// always suffices.
    ///
    /// A large amount is granted as soon as a single token would be; the balance then becomes
    /// negative, and later requests wait longer. If a large amount had to wait until the
    /// bucket holds all of it, small requests would keep taking the tokens: a leader with 14
    /// shards to assign assigned none for 30 seconds.
    fn required_tokens(&self, amount: f64, reserve: f64) -> f64 {
        (amount.min(1.0) + reserve).min(self.burst())
    }

    /// Takes `amount` tokens if the bucket is full, or if it holds at least one token (or
    /// `amount`, if less) in addition to `reserve`. Returns whether it took them.
    pub fn try_acquire(&mut self, amount: f64, reserve: f64, now: Instant) -> bool {
        self.refill(now);
        let available = self.tokens >= self.required_tokens(amount, reserve);
        if available {
            self.tokens -= amount;
        }
        available
    }

    /// How long it takes until [`RateLimiter::try_acquire`] can succeed for the same arguments,
    /// if no other tokens are taken until then.
    pub fn time_until_available(&mut self, amount: f64, reserve: f64, now: Instant) -> Duration {
        self.refill(now);
        let shortfall = self.required_tokens(amount, reserve) - self.tokens;
        Duration::from_secs_f64((shortfall / self.rate).clamp(0.0, MAX_WAIT_S))
    }

    /// Raises the rate after the service has carried out a request.
    pub fn on_success(&mut self) {
        self.rate = (self.rate + RATE_INCREASE * self.share).min(self.max_rate);
    }

    /// Resets the rate to the share and empties the bucket, after the service has throttled a
    /// request.
    pub fn on_throttled(&mut self, now: Instant) {
        self.refill(now);
        self.rate = self.share;
        self.tokens = self.tokens.min(0.0);
    }
}

#[cfg(test)]
mod tests;
