//! Plots of a cost by size on log axes, with the budget as a line and the crossing marked.

use std::fmt::Write;

use serde::Serialize;

#[derive(Clone, Debug, Serialize)]
pub struct Plot {
    pub title: String,
    pub x: String,
    /// Measured ones, joined by a line.
    pub points: Vec<(f64, f64)>,
    /// What the fit says further on.
    pub fit: Vec<(f64, f64)>,
    pub budget: Option<f64>,
    /// The size at which the budget is passed.
    pub crossing: Option<f64>,
}

const WIDE: f64 = 440.0;
const HIGH: f64 = 260.0;
const LEFT: f64 = 60.0;
const RIGHT: f64 = 20.0;
const ABOVE: f64 = 36.0;
const BELOW: f64 = 40.0;
const ACROSS: usize = 2;
/// More would run into the next plot.
const LONGEST_TITLE: usize = 70;

/// Whole decades around all values, at least one.
fn decades(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let logs: Vec<f64> = values
        .filter(|v| *v > 0.0 && v.is_finite())
        .map(f64::log10)
        .collect();
    let low = logs.iter().copied().fold(f64::INFINITY, f64::min).floor();
    let high = logs
        .iter()
        .copied()
        .fold(f64::NEG_INFINITY, f64::max)
        .ceil();
    if low.is_finite() {
        (low, high.max(low + 1.0))
    } else {
        (0.0, 1.0)
    }
}

fn tick(decade: f64) -> String {
    let figure = 10f64.powf(decade);
    match decade {
        d if d >= 9.0 => format!("{:.0}G", figure / 1e9),
        d if d >= 6.0 => format!("{:.0}M", figure / 1e6),
        d if d >= 3.0 => format!("{:.0}k", figure / 1e3),
        d if d >= 0.0 => format!("{figure:.0}"),
        d if d >= -3.0 => format!("{figure:.*}", -d as usize),
        d => format!("1e{d:.0}"),
    }
}

impl Plot {
    fn draw(&self, svg: &mut String, (at_x, at_y): (f64, f64)) {
        let all = || self.points.iter().chain(&self.fit);
        let (x0, x1) = decades(all().map(|p| p.0).chain(self.crossing));
        let (y0, y1) = decades(all().map(|p| p.1).chain(self.budget));
        let (wide, high) = (WIDE - LEFT - RIGHT, HIGH - ABOVE - BELOW);
        let x = |v: f64| at_x + LEFT + (v.log10() - x0) / (x1 - x0) * wide;
        let y = |v: f64| at_y + ABOVE + (y1 - v.log10()) / (y1 - y0) * high;
        let (left, right) = (at_x + LEFT, at_x + LEFT + wide);
        let (top, bottom) = (at_y + ABOVE, at_y + ABOVE + high);
        let mut line = |x1: f64, y1: f64, x2: f64, y2: f64, style: &str| {
            let _ = write!(
                svg,
                "<line x1=\"{x1:.1}\" y1=\"{y1:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" {style}/>"
            );
        };
        let thin = "stroke=\"#ddd\"";
        (x0 as i32..=x1 as i32).for_each(|d| {
            let v = x(10f64.powi(d));
            line(v, top, v, bottom, thin);
        });
        (y0 as i32..=y1 as i32).for_each(|d| {
            let v = y(10f64.powi(d));
            line(left, v, right, v, thin);
        });
        for pair in self.points.windows(2) {
            let style = "stroke=\"#3070a0\" stroke-width=\"2\"";
            line(
                x(pair[0].0),
                y(pair[0].1),
                x(pair[1].0),
                y(pair[1].1),
                style,
            );
        }
        for pair in self.fit.windows(2) {
            let style = "stroke=\"#3070a0\" stroke-dasharray=\"4 4\"";
            line(
                x(pair[0].0),
                y(pair[0].1),
                x(pair[1].0),
                y(pair[1].1),
                style,
            );
        }
        if let Some(budget) = self.budget {
            line(
                left,
                y(budget),
                right,
                y(budget),
                "stroke=\"#c06030\" stroke-width=\"1.5\"",
            );
        }
        if let (Some(crossing), Some(budget)) = (self.crossing, self.budget) {
            line(
                x(crossing),
                top,
                x(crossing),
                bottom,
                "stroke=\"#c06030\" stroke-dasharray=\"2 3\"",
            );
            let (cx, cy) = (x(crossing), y(budget));
            let _ = write!(
                svg,
                "<circle cx=\"{cx:.1}\" cy=\"{cy:.1}\" r=\"5\" fill=\"none\" stroke=\"#c06030\"/>"
            );
            let (anchor, by) = if cx > (left + right) / 2.0 {
                ("end", -8.0)
            } else {
                ("start", 8.0)
            };
            let (tx, ty) = (cx + by, cy - 7.0);
            let _ = write!(
                svg,
                "<text x=\"{tx:.1}\" y=\"{ty:.1}\" text-anchor=\"{anchor}\" fill=\"#c06030\">{crossing:.0}</text>"
            );
        }
        for &(px, py) in &self.points {
            let (cx, cy) = (x(px), y(py));
            let _ = write!(
                svg,
                "<circle cx=\"{cx:.1}\" cy=\"{cy:.1}\" r=\"3\" fill=\"#3070a0\"/>"
            );
        }
        let mut text = |x: f64, y: f64, anchor: &str, what: &str| {
            let what = what.replace('&', "&amp;").replace('<', "&lt;");
            let _ = write!(
                svg,
                "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\">{what}</text>"
            );
        };
        (x0 as i32..=x1 as i32).for_each(|d| {
            text(
                x(10f64.powi(d)),
                bottom + 14.0,
                "middle",
                &tick(f64::from(d)),
            )
        });
        (y0 as i32..=y1 as i32).for_each(|d| {
            text(
                left - 5.0,
                y(10f64.powi(d)) + 4.0,
                "end",
                &tick(f64::from(d)),
            )
        });
        text(
            at_x + 8.0,
            at_y + 20.0,
            "start",
            &self.title.chars().take(LONGEST_TITLE).collect::<String>(),
        );
        text((left + right) / 2.0, bottom + 30.0, "middle", &self.x);
    }
}

pub fn svg(title: &str, plots: &[Plot]) -> String {
    let rows = plots.len().div_ceil(ACROSS);
    let (wide, high) = (WIDE * ACROSS as f64, HIGH * rows as f64 + 30.0);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{wide:.0}\" height=\"{high:.0}\" font-family=\"sans-serif\" \
         font-size=\"11\"><rect width=\"{wide:.0}\" height=\"{high:.0}\" fill=\"white\"/><text x=\"8\" y=\"20\" \
         font-size=\"14\">{title}; orange: budget and where it is passed; dashed: on from what was measured</text>"
    );
    for (i, plot) in plots.iter().enumerate() {
        plot.draw(
            &mut svg,
            (
                (i % ACROSS) as f64 * WIDE,
                (i / ACROSS) as f64 * HIGH + 30.0,
            ),
        );
    }
    svg + "</svg>\n"
}
