//! Reports of experiments: results and the bounds they are checked against, as text, JSON and
//! plots.

use std::fmt::Write;
use std::path::Path;

use serde::Serialize;

use crate::figures::Figures;
use crate::plot::{self, Plot};

/// A measured value with the range that it must lie in.
#[derive(Debug, Serialize)]
pub struct Bound {
    #[serde(rename = "what")]
    pub name: String,
    #[serde(rename = "is")]
    pub value: f64,
    #[serde(rename = "least")]
    pub min: f64,
    #[serde(rename = "most")]
    pub max: f64,
}

impl Bound {
    pub fn new(name: &str, value: f64, min: f64, max: f64) -> Bound {
        Bound {
            name: name.to_owned(),
            value,
            min,
            max,
        }
    }

    /// The value is reported for information only and has no effect on the result.
    pub fn is_informational(&self) -> bool {
        self.max > 1e9 && self.min <= 0.0
    }

    pub fn holds(&self) -> bool {
        self.value >= self.min && self.value <= self.max
    }
}

/// Results of one run under one configuration.
#[derive(Debug, Serialize)]
pub struct Run {
    /// Scenario of the run: virtual time or sockets, sizes and duration.
    #[serde(rename = "place")]
    pub scenario: String,
    pub name: String,
    pub figures: Figures,
}

/// Report of an experiment.
#[derive(Debug, Serialize)]
pub struct Report {
    pub experiment: String,
    pub seed: u64,
    pub runs: Vec<Run>,
    pub bounds: Vec<Bound>,
    /// Why the run is inconclusive, so that it counts neither as a pass nor as a failure.
    #[serde(rename = "shows_nothing")]
    pub inconclusive_reason: Option<String>,
    /// Lines printed before the bounds.
    pub notes: Vec<String>,
    pub plots: Vec<Plot>,
    /// Additional files of the report: name and contents.
    #[serde(skip)]
    pub files: Vec<(String, String)>,
}

impl Report {
    pub fn new(experiment: &str, seed: u64) -> Report {
        Report {
            experiment: experiment.to_owned(),
            seed,
            runs: Vec::new(),
            bounds: Vec::new(),
            inconclusive_reason: None,
            notes: Vec::new(),
            plots: Vec::new(),
            files: Vec::new(),
        }
    }

    pub fn add_run(&mut self, scenario: &str, name: &str, figures: Figures) {
        self.runs.push(Run {
            scenario: scenario.to_owned(),
            name: name.to_owned(),
            figures,
        });
    }

    /// There is at least one bound that is not informational, and all of those hold.
    pub fn holds(&self) -> bool {
        let checked = self.bounds.iter().filter(|bound| !bound.is_informational());
        checked.clone().count() > 0 && checked.clone().all(Bound::holds)
    }

    /// The report as text tables.
    pub fn text(&self) -> String {
        let mut text = format!("{} seed {}\n", self.experiment, self.seed);
        let mut scenario = "";
        for run in &self.runs {
            if scenario != run.scenario {
                scenario = &run.scenario;
                let _ = writeln!(text, "\n{scenario}");
                let _ = writeln!(
                    text,
                    "  {:<18} {:<10} {:>7} {:>7} {:>7} {:>8} {:>9} {:>7} {:>7} {:>7} {:>9}",
                    "run",
                    "team",
                    "asked",
                    "tries",
                    "served",
                    "in time",
                    "service",
                    "core-s",
                    "p50 ms",
                    "p99 ms",
                    "refused"
                );
            }
            for team in &run.figures.teams {
                let _ = writeln!(
                    text,
                    "  {:<18} {:<10} {:>7} {:>7} {:>7} {:>8} {:>9.3} {:>7.0} {:>7} {:>7} {:>4}+{:<4}",
                    run.name,
                    team.name,
                    team.statements,
                    team.attempts,
                    team.served,
                    team.served_in_time,
                    team.service_ratio(),
                    team.completed_core_s,
                    team.latency_quantile_ms(0.5),
                    team.latency_quantile_ms(0.99),
                    team.rejected_by_queues,
                    team.rejected_by_scheduler
                );
            }
            if run.figures.gateway_cpu_s > 0.0 {
                let attempts: u64 = run.figures.teams.iter().map(|team| team.attempts).sum();
                let us_per_attempt = run.figures.gateway_cpu_s * 1e6 / attempts.max(1) as f64;
                let _ = writeln!(
                    text,
                    "  {:<18} gateway CPU {us_per_attempt:.0} us per statement",
                    run.name
                );
            }
            if run.figures.wait_estimates > 0 {
                let figures = &run.figures;
                let good_ratio = figures.good_wait_estimates as f64 / figures.wait_estimates as f64;
                let _ = writeln!(
                    text,
                    "  {:<18} {} wait estimates, {good_ratio:.3} good, median error {:.3}",
                    run.name, figures.wait_estimates, figures.median_wait_estimate_error
                );
            }
        }
        text.push('\n');
        for note in &self.notes {
            let _ = writeln!(text, "{note}");
        }
        if let Some(reason) = &self.inconclusive_reason {
            let _ = writeln!(text, "INCONCLUSIVE  {reason}");
        }
        for bound in &self.bounds {
            let result = match bound.holds() {
                _ if bound.is_informational() => "info ",
                true => "holds",
                false => "FAILS",
            };
            let range = match (bound.min, bound.max) {
                (min, max) if min == max => format!("{min}"),
                _ if bound.is_informational() => "no bound".to_owned(),
                (min, max) if max > 1e9 => format!("at least {min}"),
                (min, max) => format!("{min} to {max}"),
            };
            let _ = writeln!(
                text,
                "{result}  {}: {:.3} ({range})",
                bound.name, bound.value
            );
        }
        text
    }

    /// The plots as SVG; without plots, bars of the service ratio by team and run.
    pub fn svg(&self) -> String {
        if !self.plots.is_empty() {
            return plot::svg(
                &format!("{}, seed {}", self.experiment, self.seed),
                &self.plots,
            );
        }
        const BAR_HEIGHT: usize = 22;
        let rows: Vec<(String, f64)> = self
            .runs
            .iter()
            .flat_map(|run| {
                let (name, scenario) = (&run.name, &run.scenario);
                let bar = |team: &crate::figures::TeamFigures| {
                    (
                        format!(
                            "{}, {name} ({})",
                            team.name,
                            scenario.split(',').next().unwrap_or("")
                        ),
                        team.service_ratio(),
                    )
                };
                run.figures.teams.iter().map(bar).collect::<Vec<_>>()
            })
            .collect();
        let height = rows.len() * BAR_HEIGHT + 40;
        let mut svg = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"900\" height=\"{height}\" font-family=\"sans-serif\" \
             font-size=\"12\"><rect width=\"900\" height=\"{height}\" fill=\"white\"/><text x=\"10\" y=\"20\">{}: priority \
             weight served within the latency objective, seed {}</text>",
            self.experiment, self.seed
        );
        for (i, (name, service)) in rows.iter().enumerate() {
            let y = 32 + i * BAR_HEIGHT;
            let colour = if name.contains("no queues") {
                "#c06030"
            } else {
                "#3070a0"
            };
            let _ = write!(
                svg,
                "<text x=\"10\" y=\"{}\">{name}</text><rect x=\"360\" y=\"{y}\" width=\"{:.0}\" height=\"{}\" \
                 fill=\"{colour}\"/><text x=\"{:.0}\" y=\"{}\">{service:.3}</text>",
                y + 14,
                service * 460.0,
                BAR_HEIGHT - 6,
                366.0 + service * 460.0,
                y + 14
            );
        }
        svg + "</svg>\n"
    }

    /// Writes the report as files into a folder.
    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        std::fs::create_dir_all(folder)?;
        let path = |extension: &str| folder.join(format!("{}.{extension}", self.experiment));
        std::fs::write(path("txt"), self.text())?;
        std::fs::write(path("json"), serde_json::to_string_pretty(self)?)?;
        for (name, contents) in &self.files {
            std::fs::write(folder.join(name), contents)?;
        }
        std::fs::write(path("svg"), self.svg())
    }
}
