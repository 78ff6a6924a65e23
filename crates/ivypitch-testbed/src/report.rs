//! Reports: figures beside the bounds that must hold, as text, JSON and a plot.

use std::fmt::Write;
use std::path::Path;

use serde::Serialize;

use crate::figures::Figures;
use crate::plot::{self, Plot};

#[derive(Debug, Serialize)]
pub struct Bound {
    pub what: String,
    pub is: f64,
    pub least: f64,
    pub most: f64,
}

impl Bound {
    pub fn new(what: &str, is: f64, least: f64, most: f64) -> Bound {
        Bound {
            what: what.to_owned(),
            is,
            least,
            most,
        }
    }

    /// A figure that is told beside the bounds and judges nothing.
    pub fn told_only(&self) -> bool {
        self.most > 1e9 && self.least <= 0.0
    }

    pub fn holds(&self) -> bool {
        self.is >= self.least && self.is <= self.most
    }
}

#[derive(Debug, Serialize)]
pub struct Run {
    pub place: String,
    pub name: String,
    pub figures: Figures,
}

#[derive(Debug, Serialize)]
pub struct Report {
    pub experiment: String,
    pub seed: u64,
    pub runs: Vec<Run>,
    pub bounds: Vec<Bound>,
    /// Why the run shows nothing, where it does not: it is neither a pass nor a failure then.
    #[serde(rename = "shows_nothing")]
    pub inconclusive_reason: Option<String>,
    /// Lines that stand before the bounds.
    pub notes: Vec<String>,
    pub plots: Vec<Plot>,
    /// Further files of the report: name and contents.
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

    pub fn run(&mut self, place: &str, name: &str, figures: Figures) {
        self.runs.push(Run {
            place: place.to_owned(),
            name: name.to_owned(),
            figures,
        });
    }

    pub fn holds(&self) -> bool {
        let judged = self.bounds.iter().filter(|bound| !bound.told_only());
        judged.clone().count() > 0 && judged.clone().all(Bound::holds)
    }

    pub fn text(&self) -> String {
        let mut text = format!("{} seed {}\n", self.experiment, self.seed);
        let mut place = "";
        for run in &self.runs {
            if place != run.place {
                place = &run.place;
                let _ = writeln!(text, "\n{place}");
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
                let asked: u64 = run.figures.teams.iter().map(|t| t.attempts).sum();
                let each = run.figures.gateway_cpu_s * 1e6 / asked.max(1) as f64;
                let _ = writeln!(
                    text,
                    "  {:<18} gateway's CPU {each:.0} us a statement",
                    run.name
                );
            }
            if run.figures.wait_estimates > 0 {
                let f = &run.figures;
                let good = f.good_wait_estimates as f64 / f.wait_estimates as f64;
                let _ = writeln!(
                    text,
                    "  {:<18} {} waits told, {good:.3} good, median error {:.3}",
                    run.name, f.wait_estimates, f.median_wait_estimate_error
                );
            }
        }
        text.push('\n');
        for note in &self.notes {
            let _ = writeln!(text, "{note}");
        }
        if let Some(why) = &self.inconclusive_reason {
            let _ = writeln!(text, "SHOWS NOTHING  {why}");
        }
        for bound in &self.bounds {
            let holds = match bound.holds() {
                _ if bound.told_only() => "told ",
                true => "holds",
                false => "FAILS",
            };
            let wanted = match (bound.least, bound.most) {
                (least, most) if least == most => format!("{least}"),
                _ if bound.told_only() => "told only".to_owned(),
                (least, most) if most > 1e9 => format!("at least {least}"),
                (least, most) => format!("{least} to {most}"),
            };
            let _ = writeln!(text, "{holds}  {}: {:.3} ({wanted})", bound.what, bound.is);
        }
        text
    }

    /// The plots; or service by team and run as bars, where there are none.
    pub fn svg(&self) -> String {
        if !self.plots.is_empty() {
            return plot::svg(
                &format!("{}, seed {}", self.experiment, self.seed),
                &self.plots,
            );
        }
        const BAR: usize = 22;
        let rows: Vec<(String, f64)> = self
            .runs
            .iter()
            .flat_map(|run| {
                let (name, place) = (&run.name, &run.place);
                let of = |t: &crate::figures::TeamFigures| {
                    (
                        format!(
                            "{}, {name} ({})",
                            t.name,
                            place.split(',').next().unwrap_or("")
                        ),
                        t.service_ratio(),
                    )
                };
                run.figures.teams.iter().map(of).collect::<Vec<_>>()
            })
            .collect();
        let height = rows.len() * BAR + 40;
        let mut svg = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"900\" height=\"{height}\" font-family=\"sans-serif\" \
             font-size=\"12\"><rect width=\"900\" height=\"{height}\" fill=\"white\"/><text x=\"10\" y=\"20\">{}: importance \
             served within the SLO time, seed {}</text>",
            self.experiment, self.seed
        );
        for (i, (name, service)) in rows.iter().enumerate() {
            let y = 32 + i * BAR;
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
                BAR - 6,
                366.0 + service * 460.0,
                y + 14
            );
        }
        svg + "</svg>\n"
    }

    /// The report as files of a folder.
    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        std::fs::create_dir_all(folder)?;
        let name = |ending: &str| folder.join(format!("{}.{ending}", self.experiment));
        std::fs::write(name("txt"), self.text())?;
        std::fs::write(name("json"), serde_json::to_string_pretty(self)?)?;
        for (name, contents) in &self.files {
            std::fs::write(folder.join(name), contents)?;
        }
        std::fs::write(name("svg"), self.svg())
    }
}
