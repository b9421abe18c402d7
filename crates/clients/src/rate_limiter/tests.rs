//! Tests of the rate limiter.

use super::*;

#[tokio::test(start_paused = true)]
async fn granted_tokens_stay_within_the_rate() {
    let start = Instant::now();
    let mut limiter = RateLimiter::new(10.0, start);
    let mut granted = 0;
    for step in 0..400 {
        let now = start + Duration::from_millis(step * 10);
        granted += u32::from(limiter.try_acquire(1.0, 0.0, now));
    }
    assert!((48..=50).contains(&granted), "{granted}");
    assert!(!limiter.try_acquire(1.0, 5.0, start + Duration::from_secs(4)));
    assert!(
        limiter.time_until_available(1.0, 5.0, start + Duration::from_secs(4)) > Duration::ZERO
    );
}

/// Fault: if a large amount had to wait until the bucket held all of it, small amounts would
/// keep taking the tokens, and the large one would never be granted.
#[tokio::test(start_paused = true)]
async fn large_amount_is_not_starved_by_small_amounts() {
    let start = Instant::now();
    let mut limiter = RateLimiter::new(4.0, start);
    let (mut large, mut small) = (None, 0);
    for step in 0..1000u64 {
        let now = start + Duration::from_millis(step * 10);
        small += u32::from(limiter.try_acquire(1.0, 0.0, now));
        if large.is_none() && limiter.try_acquire(14.0, 2.0, now) {
            large = Some(step);
        }
    }
    assert!(large.is_some_and(|step| step < 100), "{large:?}");
    // The rate yields 40 tokens in 10 s, and the full bucket holds 4 more at the start.
    assert!((40..=44).contains(&(small + 14)), "{small}");
}

#[tokio::test(start_paused = true)]
async fn rate_increases_until_the_service_throttles() {
    let start = Instant::now();
    let mut limiter = RateLimiter::with_share(3.0, 20.0, start);
    let acquire_during = |seconds: std::ops::Range<u64>, limiter: &mut RateLimiter| {
        let mut granted = 0;
        for step in seconds.start * 100..seconds.end * 100 {
            if limiter.try_acquire(1.0, 0.0, start + Duration::from_millis(step * 10)) {
                granted += 1;
                limiter.on_success();
            }
        }
        granted
    };
    assert!(acquire_during(0..10, &mut limiter) > 60);
    limiter.on_throttled(start + Duration::from_secs(10));
    let granted = acquire_during(10..11, &mut limiter);
    assert!((1..=5).contains(&granted), "{granted}");
}
