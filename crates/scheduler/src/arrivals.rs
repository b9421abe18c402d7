//! Forecast of job arrivals: how much capacity to keep ready for the time that a machine
//! takes to boot.

#[cfg(test)]
mod tests;

/// The share of the latest bucket's rate that the estimate has at least.
const BURST_WEIGHT: f64 = 0.8;
/// The rate is at most this many times that of the latest two buckets.
const RECENT_LIMIT: f64 = 1.5;

/// Arrivals per second, from counts per bucket of `bucket_s` seconds, the latest first.
///
/// The largest count is left out: a burst at the start, for instance, is no rate, and a
/// single bucket gives none. Two corrections follow the latest buckets: the rate is at
/// least four fifths of that in the latest one (if there are more than two), so that a
/// burst counts for the most part at once, and at most half as high again as in the
/// latest two, so that arrivals that have nearly stopped are not waited for.
pub fn arrival_rate(buckets: &[u32], bucket_s: f64) -> f64 {
    let Some(largest) = buckets.iter().max() else {
        return 0.0;
    };
    let count = buckets.len();
    if count == 1 {
        return 0.0;
    }
    let sum: u32 = buckets.iter().sum();
    let average = f64::from(sum - largest) / (bucket_s * (count - 1) as f64);
    let latest = f64::from(buckets[0] + buckets[1]) / (2.0 * bucket_s);
    let burst = if count == 2 {
        0.0
    } else {
        BURST_WEIGHT * f64::from(buckets[0]) / bucket_s
    };
    average.max(burst).min(RECENT_LIMIT * latest)
}

/// When the arrivals to be ready for come, in seconds from now.
///
/// `deviations` standard deviations of the expected number come at once, since arrivals
/// cluster; the expected number is spread evenly over `lead_s` seconds. Tasks that end
/// meanwhile make room for those: planning all of them for now kept nearly twice the fleet
/// that short tasks need.
pub fn expected_arrival_times(rate: f64, lead_s: f64, deviations: f64) -> Vec<f64> {
    let expected = rate * lead_s;
    let immediate = (deviations * expected.sqrt()).round() as usize;
    let steady = expected.round() as usize;
    let spread = (0..steady).map(|i| lead_s * (i as f64 + 0.5) / expected);
    std::iter::repeat_n(0.0, immediate).chain(spread).collect()
}
