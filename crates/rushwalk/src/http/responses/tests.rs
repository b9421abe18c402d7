use super::*;

#[test]
fn retry_after_is_rounded_up_and_limited() {
    for (wait, seconds) in [(0.2, "1"), (1.2, "2"), (90.0, "30")] {
        let wait = Duration::from_secs_f64(wait);
        let response = error_with_retry_after(StatusCode::TOO_MANY_REQUESTS, "too many", wait);
        assert_eq!(response.headers()["retry-after"], seconds);
    }
}
