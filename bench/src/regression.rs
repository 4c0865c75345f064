//! Least-squares lines.

/// Line through measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub at_zero: f64,
    pub slope: f64,
    /// Standard error of the slope.
    pub spread: f64,
}

/// Fits a line; all zeros for fewer than two distinct sizes.
pub fn fit(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let square_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 2 || square_x == 0.0 {
        return Line { at_zero: 0.0, slope: 0.0, spread: 0.0 };
    }
    let product: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = product / square_x;
    let at_zero = mean_y - slope * mean_x;
    let errors: f64 = points.iter().map(|(x, y)| (y - at_zero - slope * x).powi(2)).sum();
    let freedom = (count - 2.0).max(1.0);
    Line { at_zero, slope, spread: (errors / freedom / square_x).sqrt() }
}
