//! How much to keep ready: arrivals expected while a machine would boot.

/// Arrivals a second over a window of `buckets` counts, each `seconds` long.
/// The largest count is left out: a burst at the start, say, is no rate, and
/// one count alone tells nothing.
pub fn rate(buckets: &[u32], seconds: f64) -> f64 {
    let Some(most) = buckets.iter().max() else {
        return 0.0;
    };
    let sum: u32 = buckets.iter().sum();
    match buckets.len() {
        1 => 0.0,
        n => f64::from(sum - most) / (seconds * (n - 1) as f64),
    }
}

/// How many arrivals to be ready for: the expected number and `z` deviations.
pub fn ready_for(rate: f64, lead_s: f64, z: f64) -> u32 {
    let expected = rate * lead_s;
    (expected + z * expected.sqrt()).round() as u32
}
