use super::*;

#[test]
fn recent_lag_decays_over_several_samples() {
    let lag = RuntimeLag::new(Duration::from_millis(100));
    assert!(!lag.is_lagging());
    lag.record(Duration::from_millis(300));
    assert!(lag.is_lagging());
    lag.record(Duration::from_millis(2));
    assert!(lag.is_lagging(), "one low sample does not end an overload");
    for _ in 0..4 {
        lag.record(Duration::from_millis(2));
    }
    assert!(!lag.is_lagging());
}

/// Fault: a controller that ran at an eighth of its speed was late in only two of three samples, so
/// by its recent lag it often seemed to be on time.
#[test]
fn intermittent_lag_shows_in_the_mean() {
    let lag = RuntimeLag::new(Duration::from_millis(100));
    lag.record(Duration::from_millis(30_000));
    assert!(
        lag.mean_lag() <= Duration::from_millis(50),
        "a single pause has limited weight"
    );
    (0..20).for_each(|i| lag.record(Duration::from_millis([2, 300, 500][i % 3])));
    assert!(lag.mean_lag() > Duration::from_millis(200));
    (0..40).for_each(|_| lag.record(Duration::from_millis(2)));
    assert!(lag.mean_lag() < Duration::from_millis(10));
}
