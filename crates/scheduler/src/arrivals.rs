//! Forecast of the jobs that arrive while a new machine would boot, for which capacity must be
//! ready in advance.

#[cfg(test)]
mod tests;

/// The estimated rate is at least this share of the rate in the latest bucket.
const BURST_WEIGHT: f64 = 0.8;
/// The estimated rate is at most this many times the mean rate of the latest two buckets.
const RECENT_LIMIT: f64 = 1.5;

/// Estimates the arrivals per second from the numbers of arrivals in time buckets of
/// `bucket_s` seconds each, the latest bucket first.
///
/// The estimate is the mean rate of all buckets but the one with the most arrivals, which may
/// be a burst, for instance at the start. A single bucket therefore gives 0. Two bounds depend
/// on the latest buckets. If there are more than two buckets, the estimate is at least four
/// fifths of the rate in the latest one, so that most of a new burst counts immediately. It is
/// never more than one and a half times the mean rate of the latest two, so that no capacity
/// is kept for arrivals that have nearly stopped.
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

/// The times, in seconds from now, of the arrivals for which capacity should be ready.
///
/// Arrivals cluster, so `deviations` standard deviations of the expected number are assumed to
/// arrive immediately. The expected number itself is spread evenly over the next `lead_s`
/// seconds, because tasks that end during that time make room for later arrivals. Planning all
/// arrivals for the current time kept the fleet at nearly twice the size that short tasks need.
pub fn expected_arrival_times(rate: f64, lead_s: f64, deviations: f64) -> Vec<f64> {
    let expected = rate * lead_s;
    let immediate = (deviations * expected.sqrt()).round() as usize;
    let steady = expected.round() as usize;
    let spread = (0..steady).map(|i| lead_s * (i as f64 + 0.5) / expected);
    std::iter::repeat_n(0.0, immediate).chain(spread).collect()
}
