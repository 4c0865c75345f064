//! Percentiles of measured times.

use hdrhistogram::Histogram;

const SIGNIFICANT_DIGITS: u8 = 3;

/// Smallest of the values that at least `percent` of them do not exceed; zero for none.
pub fn percentile(values: impl IntoIterator<Item = u64>, percent: u32) -> u64 {
    let mut histogram =
        Histogram::<u64>::new(SIGNIFICANT_DIGITS).expect("the number of digits is allowed");
    values.into_iter().for_each(|value| histogram.saturating_record(value));
    histogram.value_at_percentile(f64::from(percent))
}
