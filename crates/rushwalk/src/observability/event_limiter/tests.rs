use super::*;
use tokio::time::advance;

#[tokio::test(start_paused = true)]
async fn lines_above_the_limit_are_left_out_and_counted() {
    let limiter = EventLimiter::new(3);
    let admitted = (0..2_700).filter(|_| limiter.admit().is_some()).count();
    assert_eq!(admitted, 3);
    advance(INTERVAL).await;
    assert_eq!(limiter.admit(), Some(2_697));
    assert_eq!(limiter.admit(), Some(0));
}
