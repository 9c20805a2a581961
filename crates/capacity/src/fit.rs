//! A line through measured points.

/// The line `base + rise * x` that has the least sum of squared distances in y to the points it was made from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    pub base: f64,
    pub rise: f64,
    /// Root of the mean squared distance of the points from the line, in y's unit.
    pub residual: f64,
    /// The largest distance of a point from the line, as a part of the largest measured y; 0 if all y are.
    pub worst: f64,
}

impl Fit {
    /// What the line says at `x`; a line that falls below zero says zero, as nothing measured here can be less.
    pub fn at(&self, x: f64) -> f64 {
        (self.base + self.rise * x).max(0.0)
    }
}

/// Least squares; `None` for fewer than two sizes, through which no line goes.
pub fn fit(points: &[[f64; 2]]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean = |of: usize| points.iter().map(|point| point[of]).sum::<f64>() / count;
    // Distances from the means: sums of large squares would lose the small ones.
    let (x, y) = (mean(0), mean(1));
    let wide = points.iter().map(|point| (point[0] - x).powi(2)).sum::<f64>();
    if points.len() < 2 || wide <= 0.0 {
        return None;
    }
    let rise = points.iter().map(|point| (point[0] - x) * (point[1] - y)).sum::<f64>() / wide;
    let base = y - rise * x;
    let off = |point: &[f64; 2]| (point[1] - base - rise * point[0]).abs();
    let residual = (points.iter().map(|point| off(point).powi(2)).sum::<f64>() / count).sqrt();
    let most = points.iter().map(|point| point[1]).fold(0.0, f64::max);
    let worst = points.iter().map(off).fold(0.0, f64::max);
    Some(Fit { base, rise, residual, worst: if most > 0.0 { worst / most } else { 0.0 } })
}
