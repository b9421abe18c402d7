//! Formats quantiles of times as table columns.

use hdrhistogram::Histogram;

/// Upper limit of recorded times: one hour, in milliseconds. Longer times count as this.
const MAX_MS: u64 = 3_600_000;

/// Median, 95% quantile and maximum of times in seconds, as three table columns; a dash if there
/// are no times.
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
    let quantile_s = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    format!(
        "{:5.1} {:5.1} {:5.1} ",
        quantile_s(0.5),
        quantile_s(0.95),
        quantile_s(1.0)
    )
}
