//! SVG plots of a cost by size on logarithmic axes, with the budget as a line and its crossing
//! marked.

use std::fmt::Write;

use serde::Serialize;

/// One plot.
#[derive(Clone, Debug, Serialize)]
pub struct Plot {
    pub title: String,
    /// Label of the x axis.
    #[serde(rename = "x")]
    pub x_label: String,
    /// Measured points, joined by a line.
    pub points: Vec<(f64, f64)>,
    /// Points of the extrapolation, drawn as a dashed line.
    pub fit: Vec<(f64, f64)>,
    pub budget: Option<f64>,
    /// The size at which the cost exceeds the budget.
    pub crossing: Option<f64>,
}

const PLOT_WIDTH: f64 = 440.0;
const PLOT_HEIGHT: f64 = 260.0;
const LEFT_MARGIN: f64 = 60.0;
const RIGHT_MARGIN: f64 = 20.0;
const TOP_MARGIN: f64 = 36.0;
const BOTTOM_MARGIN: f64 = 40.0;
const PLOTS_PER_ROW: usize = 2;
/// A longer title would run into the next plot.
const MAX_TITLE_CHARS: usize = 70;

/// Exponents of the whole decades that enclose all values; they span at least one decade.
fn decades(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let logs: Vec<f64> = values
        .filter(|value| *value > 0.0 && value.is_finite())
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

fn tick_label(decade: f64) -> String {
    let value = 10f64.powf(decade);
    match decade {
        exponent if exponent >= 9.0 => format!("{:.0}G", value / 1e9),
        exponent if exponent >= 6.0 => format!("{:.0}M", value / 1e6),
        exponent if exponent >= 3.0 => format!("{:.0}k", value / 1e3),
        exponent if exponent >= 0.0 => format!("{value:.0}"),
        exponent if exponent >= -3.0 => format!("{value:.*}", -exponent as usize),
        exponent => format!("1e{exponent:.0}"),
    }
}

impl Plot {
    fn draw(&self, svg: &mut String, (origin_x, origin_y): (f64, f64)) {
        let all = || self.points.iter().chain(&self.fit);
        let (min_x, max_x) = decades(all().map(|p| p.0).chain(self.crossing));
        let (min_y, max_y) = decades(all().map(|p| p.1).chain(self.budget));
        let (width, height) = (
            PLOT_WIDTH - LEFT_MARGIN - RIGHT_MARGIN,
            PLOT_HEIGHT - TOP_MARGIN - BOTTOM_MARGIN,
        );
        let x =
            |value: f64| origin_x + LEFT_MARGIN + (value.log10() - min_x) / (max_x - min_x) * width;
        let y =
            |value: f64| origin_y + TOP_MARGIN + (max_y - value.log10()) / (max_y - min_y) * height;
        let (left, right) = (origin_x + LEFT_MARGIN, origin_x + LEFT_MARGIN + width);
        let (top, bottom) = (origin_y + TOP_MARGIN, origin_y + TOP_MARGIN + height);
        let mut line = |x1: f64, y1: f64, x2: f64, y2: f64, style: &str| {
            let _ = write!(
                svg,
                "<line x1=\"{x1:.1}\" y1=\"{y1:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" {style}/>"
            );
        };
        let grid_style = "stroke=\"#ddd\"";
        (min_x as i32..=max_x as i32).for_each(|decade| {
            let tick_x = x(10f64.powi(decade));
            line(tick_x, top, tick_x, bottom, grid_style);
        });
        (min_y as i32..=max_y as i32).for_each(|decade| {
            let tick_y = y(10f64.powi(decade));
            line(left, tick_y, right, tick_y, grid_style);
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
            let (anchor, offset) = if cx > (left + right) / 2.0 {
                ("end", -8.0)
            } else {
                ("start", 8.0)
            };
            let (tx, ty) = (cx + offset, cy - 7.0);
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
        let mut text = |x: f64, y: f64, anchor: &str, content: &str| {
            let content = content.replace('&', "&amp;").replace('<', "&lt;");
            let _ = write!(
                svg,
                "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\">{content}</text>"
            );
        };
        (min_x as i32..=max_x as i32).for_each(|decade| {
            text(
                x(10f64.powi(decade)),
                bottom + 14.0,
                "middle",
                &tick_label(f64::from(decade)),
            )
        });
        (min_y as i32..=max_y as i32).for_each(|decade| {
            text(
                left - 5.0,
                y(10f64.powi(decade)) + 4.0,
                "end",
                &tick_label(f64::from(decade)),
            )
        });
        text(
            origin_x + 8.0,
            origin_y + 20.0,
            "start",
            &self.title.chars().take(MAX_TITLE_CHARS).collect::<String>(),
        );
        text((left + right) / 2.0, bottom + 30.0, "middle", &self.x_label);
    }
}

/// All plots on one sheet.
pub fn svg(title: &str, plots: &[Plot]) -> String {
    let rows = plots.len().div_ceil(PLOTS_PER_ROW);
    let (width, height) = (
        PLOT_WIDTH * PLOTS_PER_ROW as f64,
        PLOT_HEIGHT * rows as f64 + 30.0,
    );
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width:.0}\" height=\"{height:.0}\" font-family=\"sans-serif\" \
         font-size=\"11\"><rect width=\"{width:.0}\" height=\"{height:.0}\" fill=\"white\"/><text x=\"8\" y=\"20\" \
         font-size=\"14\">{title}; orange: budget and its crossing; dashed: extrapolated</text>"
    );
    for (index, plot) in plots.iter().enumerate() {
        plot.draw(
            &mut svg,
            (
                (index % PLOTS_PER_ROW) as f64 * PLOT_WIDTH,
                (index / PLOTS_PER_ROW) as f64 * PLOT_HEIGHT + 30.0,
            ),
        );
    }
    svg + "</svg>\n"
}
