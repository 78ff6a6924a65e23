//! What is measured at several sizes, and how it grows: a line and an exponent by least squares, with what they miss.

use serde::{Deserialize, Serialize};

/// One cost of one role at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Measure {
    /// gateway, engine, relay or client.
    pub role: &'static str,
    pub what: &'static str,
    pub unit: &'static str,
    /// engines, gateways, peers, sessions, statements or changes.
    pub by: &'static str,
    /// Size and cost, sizes rising.
    pub points: Vec<(f64, f64)>,
    pub is_simulated: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Cost = `base` + `per` * size, by least squares of the errors as parts of the cost: else the largest size alone
    /// would say what the smallest costs.
    pub base: f64,
    pub per: f64,
    /// Cost grows as size to this power, by least squares on log axes.
    pub exponent: f64,
    /// Root of the mean square error of the line, as a part of the cost.
    pub residual: f64,
}

impl Slope {
    /// Points without a size or a cost above 0 can't stand on log axes and are left out; of fewer than two nothing is told.
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
        let (base, per) = line(&weighted);
        let logs: Vec<(f64, f64, f64)> =
            points.iter().map(|&(x, y)| (x.ln(), y.ln(), 1.0)).collect();
        let (_, exponent) = line(&logs);
        let missed: f64 = points
            .iter()
            .map(|&(x, y)| ((base + per * x - y) / y).powi(2))
            .sum();
        Slope {
            base,
            per,
            exponent,
            residual: (missed / points.len() as f64).sqrt(),
        }
    }
}

/// Base and slope of the line with the least squares; each point with its weight.
fn line(points: &[(f64, f64, f64)]) -> (f64, f64) {
    let sum = |of: fn(&(f64, f64, f64)) -> f64| points.iter().map(of).sum::<f64>();
    let weight = sum(|p| p.2);
    let (mean_x, mean_y) = (sum(|p| p.2 * p.0) / weight, sum(|p| p.2 * p.1) / weight);
    let across: f64 = points
        .iter()
        .map(|p| p.2 * (p.0 - mean_x) * (p.1 - mean_y))
        .sum();
    let along: f64 = points.iter().map(|p| p.2 * (p.0 - mean_x).powi(2)).sum();
    let per = if along > 0.0 { across / along } else { 0.0 };
    (mean_y - per * mean_x, per)
}

/// The cost at a size: on log axes between the points beside it, beyond them on as the last two go.
pub fn at(points: &[(f64, f64)], size: f64) -> f64 {
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
    let behind = points
        .partition_point(|&(x, _)| x < size)
        .clamp(1, points.len() - 1);
    let (a, b) = (points[behind - 1], points[behind]);
    let exponent = (b.1 / a.1).ln() / (b.0 / a.0).ln();
    a.1 * (size / a.0).powf(exponent)
}

/// The smallest size, to a hundredth, from which on the cost is above the budget; `None`: not below `largest`.
pub fn passes_at(
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
    pub fn slope(&self) -> Slope {
        Slope::of(&self.points)
    }

    /// The cost at the largest size over that at the smallest.
    pub fn ratio(&self) -> f64 {
        let (first, last) = (self.points.first(), self.points.last());
        first
            .zip(last)
            .map_or(0.0, |(first, last)| last.1 / first.1.max(f64::MIN_POSITIVE))
    }

    pub fn line(&self) -> String {
        let Slope {
            base,
            per,
            exponent,
            residual,
        } = self.slope();
        let points: Vec<String> = self
            .points
            .iter()
            .map(|(x, y)| format!("{x:.0}: {}", short(*y)))
            .collect();
        format!(
            "{}, {} ({}): {} + {} * {}, exponent {exponent:.2}, residual {residual:.2}; {}",
            self.role,
            self.what,
            self.unit,
            short(base),
            short(per),
            self.by,
            points.join(", ")
        )
    }
}

/// Three digits that count.
pub fn short(figure: f64) -> String {
    if figure == 0.0 || !figure.is_finite() {
        return "0".into();
    }
    let digits = (2 - figure.abs().log10().floor() as i32).max(0) as usize;
    if digits > 6 {
        format!("{figure:.2e}")
    } else {
        format!("{figure:.digits$}")
    }
}
