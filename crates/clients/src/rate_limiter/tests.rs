//! Tests of the rate limiter.

use super::*;

#[tokio::test(start_paused = true)]
async fn a_limiter_grants_no_more_than_its_rate() {
    let start = Instant::now();
    let mut limiter = RateLimiter::new(10.0, start);
    let mut taken = 0;
    for step in 0..400 {
        let now = start + Duration::from_millis(step * 10);
        taken += u32::from(limiter.try_acquire(1.0, 0.0, now));
    }
    assert!((48..=50).contains(&taken), "{taken}");
    assert!(!limiter.try_acquire(1.0, 5.0, start + Duration::from_secs(4)));
    assert!(
        limiter.time_until_available(1.0, 5.0, start + Duration::from_secs(4)) > Duration::ZERO
    );
}

/// Small amounts took away what a large one waited for, again and again.
#[tokio::test(start_paused = true)]
async fn a_large_amount_is_not_starved_by_small_ones() {
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
    // As much as the rate allows in 10 s, beside a second's worth, and not more.
    assert!((40..=44).contains(&(small + 14)), "{small}");
}

#[tokio::test(start_paused = true)]
async fn the_rate_grows_until_the_service_throttles() {
    let start = Instant::now();
    let mut limiter = RateLimiter::with_share(3.0, 20.0, start);
    let spend = |seconds: std::ops::Range<u64>, limiter: &mut RateLimiter| {
        let mut taken = 0;
        for step in seconds.start * 100..seconds.end * 100 {
            if limiter.try_acquire(1.0, 0.0, start + Duration::from_millis(step * 10)) {
                taken += 1;
                limiter.on_success();
            }
        }
        taken
    };
    assert!(spend(0..10, &mut limiter) > 60);
    limiter.on_throttled(start + Duration::from_secs(10));
    let taken = spend(10..11, &mut limiter);
    assert!((1..=5).contains(&taken), "{taken}");
}
