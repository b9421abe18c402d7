//! How much to keep ready: arrivals expected while a machine would boot.

/// Arrivals a second over a window of `buckets` counts, each `seconds` long, the
/// latest first. The largest count is left out: a burst at the start, say, is no
/// rate, and one count alone tells nothing. What has nearly stopped is not
/// waited for, and a burst is believed in for the most part at once: the rate is
/// at least four fifths of that in the latest count, once that is not the first,
/// and at most half as high again as in the latest two.
pub fn rate(buckets: &[u32], seconds: f64) -> f64 {
    let Some(most) = buckets.iter().max() else {
        return 0.0;
    };
    let n = buckets.len();
    if n == 1 {
        return 0.0;
    }
    let sum: u32 = buckets.iter().sum();
    let all = f64::from(sum - most) / (seconds * (n - 1) as f64);
    let latest = f64::from(buckets[0] + buckets[1]) / (2.0 * seconds);
    let burst = match n {
        2 => 0.0,
        _ => 0.8 * f64::from(buckets[0]) / seconds,
    };
    all.max(burst).min(1.5 * latest)
}

/// When the arrivals to be ready for come, in seconds from now: `z` deviations
/// at once, for arrivals come in heaps, and the expected number evenly over the
/// lead. What ends meanwhile makes room for those: planning all of them for now
/// kept nearly twice the fleet that short tasks need.
pub fn arrivals(rate: f64, lead_s: f64, z: f64) -> Vec<f64> {
    let expected = rate * lead_s;
    let sudden = (z * expected.sqrt()).round() as usize;
    let steady = expected.round() as usize;
    let spread = (0..steady).map(|i| lead_s * (i as f64 + 0.5) / expected);
    std::iter::repeat_n(0.0, sudden).chain(spread).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_largest_count_is_no_rate_and_arrivals_spread_over_the_lead() {
        assert_eq!(rate(&[300], 30.0), 0.0);
        assert_eq!(rate(&[30, 300, 30], 30.0), 1.0);
        assert_eq!(rate(&[0, 0, 60, 60, 60], 30.0), 0.0);
        assert_eq!(rate(&[150, 30, 30, 30, 30], 30.0), 4.0);
        let at = arrivals(1.0, 16.0, 1.0);
        assert_eq!(at.len(), 20);
        assert_eq!(&at[..4], &[0.0; 4]);
        assert_eq!(&at[4..6], &[0.5, 1.5]);
        assert!(arrivals(0.0, 16.0, 1.0).is_empty());
    }
}
