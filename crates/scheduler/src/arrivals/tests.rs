use super::*;

#[test]
fn rate_ignores_the_largest_count_and_arrivals_spread_over_the_lead() {
    assert_eq!(arrival_rate(&[300], 30.0), 0.0);
    assert_eq!(arrival_rate(&[30, 300, 30], 30.0), 1.0);
    assert_eq!(arrival_rate(&[0, 0, 60, 60, 60], 30.0), 0.0);
    assert_eq!(arrival_rate(&[150, 30, 30, 30, 30], 30.0), 4.0);
    let times = expected_arrival_times(1.0, 16.0, 1.0);
    assert_eq!(times.len(), 20);
    assert_eq!(&times[..4], &[0.0; 4]);
    assert_eq!(&times[4..6], &[0.5, 1.5]);
    assert!(expected_arrival_times(0.0, 16.0, 1.0).is_empty());
}
