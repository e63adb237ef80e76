//! Linear fit through measured points.

use derive_more::Display;
use serde::Serialize;

/// Least-squares line.
#[derive(Clone, Copy, Debug, Display, PartialEq, Serialize)]
#[display("{intercept:.2} + {slope:.3} per daemon, largest residual {residual:.2}")]
pub struct Line {
    /// Value at zero.
    pub intercept: f64,
    /// Increase per unit.
    pub slope: f64,
    /// Largest vertical distance of a point from the line.
    pub residual: f64,
}

impl Line {
    /// Fits a line to `points`; all fields are zero with fewer than two distinct x values.
    #[must_use]
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let square = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
        if !square.is_normal() {
            return Self { intercept: 0.0, slope: 0.0, residual: 0.0 };
        }
        let product = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
        let slope = product / square;
        let intercept = mean_y - slope * mean_x;
        let distance = |(x, y): &(f64, f64)| (y - intercept - slope * x).abs();
        let residual = points.iter().map(distance).fold(0.0, f64::max);
        Self { intercept, slope, residual }
    }
}

#[cfg(test)]
mod tests {
    use super::Line;

    #[test]
    fn can_find_a_line_and_its_residual() {
        let line = Line::through(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]);
        assert_eq!(line, Line { intercept: 1.0, slope: 2.0, residual: 0.0 });
        assert!(Line::through(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]).residual > 1.9);
        assert_eq!(Line::through(&[(1.0, 1.0)]).slope, 0.0);
    }
}
