//! Percentiles of the times that the measures report.

use hdrhistogram::Histogram;

const SIGNIFICANT_DIGITS: u8 = 3;

/// Returns the smallest value that at least `percent` % of the values don't exceed, to
/// three significant digits; zero if there are no values.
pub fn percentile(values: impl IntoIterator<Item = u64>, percent: u32) -> u64 {
    let mut histogram = Histogram::<u64>::new(SIGNIFICANT_DIGITS)
        .expect("the histogram supports three significant digits");
    for value in values {
        histogram.record(value).expect("the histogram grows with its values");
    }
    histogram.value_at_percentile(f64::from(percent))
}
