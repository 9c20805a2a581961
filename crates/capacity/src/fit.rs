//! Linear regression through measured points.

/// The least-squares line `intercept + gradient * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    pub intercept: f64,
    pub gradient: f64,
    /// Root mean square error, in the unit of y.
    pub residual: f64,
    /// Largest error of a point, as a fraction of the largest measured y; 0 if every y is 0.
    pub max_relative_error: f64,
}

impl Fit {
    /// The value of the line at `x`, but no less than 0: no measured quantity can be negative.
    pub fn evaluate(&self, x: f64) -> f64 {
        (self.intercept + self.gradient * x).max(0.0)
    }
}

/// Fits a line by least squares; `None` with fewer than two distinct sizes.
pub fn fit(points: &[[f64; 2]]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean = |axis: usize| points.iter().map(|point| point[axis]).sum::<f64>() / count;
    // Uses deviations from the means, since sums of large squares lose the precision of small differences.
    let (mean_x, mean_y) = (mean(0), mean(1));
    let spread = points.iter().map(|point| (point[0] - mean_x).powi(2)).sum::<f64>();
    if points.len() < 2 || spread <= 0.0 {
        return None;
    }
    let gradient = points.iter().map(|point| (point[0] - mean_x) * (point[1] - mean_y)).sum::<f64>() / spread;
    let intercept = mean_y - gradient * mean_x;
    let deviation = |point: &[f64; 2]| (point[1] - intercept - gradient * point[0]).abs();
    let residual = (points.iter().map(|point| deviation(point).powi(2)).sum::<f64>() / count).sqrt();
    let max_y = points.iter().map(|point| point[1]).fold(0.0, f64::max);
    let max_error = points.iter().map(deviation).fold(0.0, f64::max);
    Some(Fit {
        intercept,
        gradient,
        residual,
        max_relative_error: if max_y > 0.0 { max_error / max_y } else { 0.0 },
    })
}
