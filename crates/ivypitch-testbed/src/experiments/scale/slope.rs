//! Costs measured at several sizes and their growth: a line and an exponent fitted by least
//! squares, with the residual.

use serde::{Deserialize, Serialize};

/// One cost of one role at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Measure {
    /// One of gateway, engine, relay and client.
    pub role: &'static str,
    #[serde(rename = "what")]
    pub name: &'static str,
    pub unit: &'static str,
    /// The varied quantity: engines, gateways, peers, sessions, statements or changes.
    pub by: &'static str,
    /// Pairs of size and cost by increasing size.
    pub points: Vec<(f64, f64)>,
    pub is_simulated: bool,
}

/// Growth of a cost with the size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Cost = `base` + `per_unit` * size, by least squares of the relative errors; with absolute
    /// errors the largest size alone would determine the cost of the smallest.
    pub base: f64,
    #[serde(rename = "per")]
    pub per_unit: f64,
    /// The cost grows as the size to this power, by least squares on logarithmic axes.
    pub exponent: f64,
    /// Root mean square of the relative errors of the line.
    pub residual: f64,
}

impl Slope {
    /// Fits the points. Points without a size and a cost above 0 have no place on logarithmic axes
    /// and are left out; fewer than two points give no slope.
    pub fn of(points: &[(f64, f64)]) -> Slope {
        let points: Vec<(f64, f64)> = points
            .iter()
            .copied()
            .filter(|&(x, y)| x > 0.0 && y > 0.0)
            .collect();
        let Some(&(_, first)) = points.first() else {
            return Slope::default();
        };
        if points.len() < 2 {
            return Slope {
                base: first,
                ..Slope::default()
            };
        }
        let weighted: Vec<(f64, f64, f64)> =
            points.iter().map(|&(x, y)| (x, y, 1.0 / (y * y))).collect();
        let (base, per_unit) = fit_line(&weighted);
        let logs: Vec<(f64, f64, f64)> =
            points.iter().map(|&(x, y)| (x.ln(), y.ln(), 1.0)).collect();
        let (_, exponent) = fit_line(&logs);
        let squared_errors: f64 = points
            .iter()
            .map(|&(x, y)| ((base + per_unit * x - y) / y).powi(2))
            .sum();
        Slope {
            base,
            per_unit,
            exponent,
            residual: (squared_errors / points.len() as f64).sqrt(),
        }
    }
}

/// Base and slope of the line by weighted least squares; a point is `(x, y, weight)`.
fn fit_line(points: &[(f64, f64, f64)]) -> (f64, f64) {
    let sum = |of: fn(&(f64, f64, f64)) -> f64| points.iter().map(of).sum::<f64>();
    let weight = sum(|p| p.2);
    let (mean_x, mean_y) = (sum(|p| p.2 * p.0) / weight, sum(|p| p.2 * p.1) / weight);
    let covariance: f64 = points
        .iter()
        .map(|p| p.2 * (p.0 - mean_x) * (p.1 - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|p| p.2 * (p.0 - mean_x).powi(2)).sum();
    let per_unit = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    (mean_y - per_unit * mean_x, per_unit)
}

/// The cost at a size, interpolated on logarithmic axes and extrapolated from the outermost two
/// points.
pub fn cost_at(points: &[(f64, f64)], size: f64) -> f64 {
    let points: Vec<(f64, f64)> = points
        .iter()
        .copied()
        .filter(|&(x, y)| x > 0.0 && y > 0.0)
        .collect();
    let Some(&last) = points.last() else {
        return 0.0;
    };
    if points.len() < 2 || size <= 0.0 {
        return last.1;
    }
    let right = points
        .partition_point(|&(x, _)| x < size)
        .clamp(1, points.len() - 1);
    let (a, b) = (points[right - 1], points[right]);
    let exponent = (b.1 / a.1).ln() / (b.0 / a.0).ln();
    a.1 * (size / a.0).powf(exponent)
}

/// The smallest size, accurate to 1%, from which on the cost exceeds the budget; `None`: none up to
/// `largest`.
pub fn budget_exceeded_at(
    cost: impl Fn(f64) -> f64,
    budget: f64,
    smallest: f64,
    largest: f64,
) -> Option<f64> {
    if cost(largest) <= budget {
        return None;
    }
    let (mut low, mut high) = (smallest, largest);
    while high / low > 1.01 {
        let middle = (low * high).sqrt();
        if cost(middle) > budget {
            high = middle
        } else {
            low = middle
        }
    }
    Some(high)
}

impl Measure {
    /// The slope over all points.
    pub fn slope(&self) -> Slope {
        Slope::of(&self.points)
    }

    /// Ratio of the cost at the largest size to that at the smallest.
    pub fn ratio(&self) -> f64 {
        let (first, last) = (self.points.first(), self.points.last());
        first
            .zip(last)
            .map_or(0.0, |(first, last)| last.1 / first.1.max(f64::MIN_POSITIVE))
    }

    /// The measure as one line of text.
    pub fn line(&self) -> String {
        let Slope {
            base,
            per_unit,
            exponent,
            residual,
        } = self.slope();
        let points: Vec<String> = self
            .points
            .iter()
            .map(|(x, y)| format!("{x:.0}: {}", format_short(*y)))
            .collect();
        format!(
            "{}, {} ({}): {} + {} * {}, exponent {exponent:.2}, residual {residual:.2}; {}",
            self.role,
            self.name,
            self.unit,
            format_short(base),
            format_short(per_unit),
            self.by,
            points.join(", ")
        )
    }
}

/// A number with three significant digits.
pub fn format_short(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return "0".into();
    }
    let digits = (2 - value.abs().log10().floor() as i32).max(0) as usize;
    if digits > 6 {
        format!("{value:.2e}")
    } else {
        format!("{value:.digits$}")
    }
}
