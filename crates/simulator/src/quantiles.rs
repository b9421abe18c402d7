//! Summary of a distribution of times.

use hdrhistogram::Histogram;

/// Values above an hour count as an hour.
const MAX_MS: u64 = 3_600_000;

/// Median, 95% quantile and maximum of some times in seconds, as columns of a table.
pub(crate) fn format_quantiles(seconds: impl Iterator<Item = f64>) -> String {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return String::new();
    };
    for value in seconds {
        let _ = histogram.record(((value * 1000.0) as u64).min(MAX_MS));
    }
    if histogram.is_empty() {
        return format!("{:>18}", "-");
    }
    let quantile = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
    format!(
        "{:5.1} {:5.1} {:5.1} ",
        quantile(0.5),
        quantile(0.95),
        quantile(1.0)
    )
}
