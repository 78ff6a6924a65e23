//! `ivypitch testbed`; `ivypitch lab` is an alias.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Subcommand};

use crate::report::Report;
use crate::{demo, experiments};

/// Exit code of a run that shows nothing.
const SHOWS_NOTHING: u8 = 2;

#[derive(Args)]
pub struct Testbed {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Name the experiments.
    List,
    /// Play an experiment; exits 0 where all its bounds hold, 2 where they do and the run shows nothing.
    #[command(
        after_help = "Example: ivypitch testbed run team-flood --quick --seed 7 --report /tmp/flood"
    )]
    Run(Run),
    /// Emulated engines, a gateway and traffic on loopback for 20 s, with a line a second.
    Demo,
    /// One emulated engine as a process; the laboratory starts it.
    #[command(hide = true)]
    Engine(crate::processes::engine::EngineProcess),
    /// Many gateways without clients in one process; the laboratory starts it.
    #[command(hide = true)]
    HollowGateways,
    /// Many engines without work in one process; the laboratory starts it.
    #[command(hide = true)]
    HollowEngines,
}

#[derive(Args)]
struct Run {
    /// Its name; `ivypitch testbed list` names them.
    name: String,
    /// Smaller and shorter, within 40 s.
    #[arg(long)]
    quick: bool,
    /// Replays a run; without it one is drawn and printed.
    #[arg(long)]
    seed: Option<u64>,
    /// Plays so many seeds in turn, from --seed on; exits 0 where all hold.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// The figures as JSON into this file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// The report as text, JSON and plot into this folder.
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
}

impl Testbed {
    pub fn run(self) -> ExitCode {
        match self.what {
            What::List => {
                experiments::ALL
                    .iter()
                    .for_each(|e| println!("{}: {}", e.name, e.description));
                ExitCode::SUCCESS
            }
            What::Run(run) => run.play(),
            What::Demo => demo::run(),
            What::Engine(engine) => engine.run(),
            What::HollowGateways => crate::processes::simulated_gateways::serve(),
            What::HollowEngines => crate::processes::simulated_engines::serve(),
        }
    }
}

impl Run {
    /// A line a seed, and the whole report of each that fails.
    fn play_seeds(&self, experiment: &experiments::Experiment, first: u64) -> ExitCode {
        let mut failed = 0;
        for seed in first..first + self.seeds {
            let report = (experiment.run)(self.quick, seed);
            if let Some(why) = report
                .inconclusive_reason
                .as_ref()
                .filter(|_| report.holds())
            {
                println!("seed {seed} shows nothing: {why}");
            } else if report.holds() {
                println!("seed {seed} holds: {}", report.notes.join("; "));
            } else {
                failed += 1;
                println!("seed {seed} FAILS\n{}", report.text());
            }
        }
        println!("{failed} of {} seeds failed", self.seeds);
        if failed == 0 {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }

    fn play(self) -> ExitCode {
        let Some(experiment) = experiments::ALL.iter().find(|e| e.name == self.name) else {
            let names: Vec<&str> = experiments::ALL.iter().map(|e| e.name).collect();
            eprintln!(
                "no experiment {:?}; there is {}",
                self.name,
                names.join(", ")
            );
            return ExitCode::FAILURE;
        };
        let seed = self
            .seed
            .unwrap_or_else(|| rand::random::<u64>() % 1_000_000);
        if self.seeds > 1 {
            return self.play_seeds(experiment, seed);
        }
        let report = (experiment.run)(self.quick, seed);
        print!("{}", report.text());
        let mut written = Ok(());
        if let Some(file) = &self.json {
            written = serde_json::to_string_pretty(&report)
                .map_err(Into::into)
                .and_then(|text| std::fs::write(file, text));
        }
        if let Some(folder) = &self.report {
            written = written.and_then(|()| report.write(folder));
        }
        if let Err(e) = written {
            eprintln!("report not written: {e}");
            return ExitCode::FAILURE;
        }
        exit_code(&report)
    }
}

/// A run that broke no bound and shows nothing is told apart from a pass.
fn exit_code(report: &Report) -> ExitCode {
    match (report.holds(), &report.inconclusive_reason) {
        (false, _) => ExitCode::FAILURE,
        (true, Some(_)) => ExitCode::from(SHOWS_NOTHING),
        (true, None) => ExitCode::SUCCESS,
    }
}
