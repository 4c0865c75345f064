//! Least-squares regression, by which the measure `slopes` relates costs to sizes.

/// Line fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value of the line at size zero.
    pub intercept: f64,
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
}

/// Fits a line to points of a size and a value; all fields are zero if there are fewer
/// than two distinct sizes.
pub fn fit(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 2 || sum_xx == 0.0 {
        return Line { intercept: 0.0, slope: 0.0, slope_error: 0.0 };
    }
    let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = sum_xy / sum_xx;
    let intercept = mean_y - slope * mean_x;
    let sum_squared_residuals: f64 =
        points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
    let degrees_of_freedom = (count - 2.0).max(1.0);
    Line {
        intercept,
        slope,
        slope_error: (sum_squared_residuals / degrees_of_freedom / sum_xx).sqrt(),
    }
}
