//! The command `ivypitch testbed`; `ivypitch lab` is an alias.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Subcommand};

use crate::report::Report;
use crate::{demo, experiments};

/// Exit code of a run that meets its bounds without evidence.
const NO_EVIDENCE_EXIT_CODE: u8 = 2;

#[derive(Args)]
pub struct Testbed {
    #[command(subcommand)]
    command: TestbedCommand,
}

#[derive(Subcommand)]
enum TestbedCommand {
    /// List the experiments.
    List,
    /// Run an experiment; exits 0 if all its bounds hold, 2 if they hold but the run shows nothing.
    #[command(
        after_help = "Example: ivypitch testbed run team-flood --quick --seed 7 --report /tmp/flood"
    )]
    Run(Run),
    /// Run emulated engines, a gateway and traffic on loopback for 20 s; prints a line per second.
    Demo,
    /// One emulated engine as a process; started by the testbed.
    #[command(hide = true)]
    Engine(crate::processes::engine::EngineProcess),
    /// Many simulated gateways in one process; started by the testbed.
    #[command(hide = true, name = "hollow-gateways")]
    SimulatedGateways,
    /// Many simulated engines in one process; started by the testbed.
    #[command(hide = true, name = "hollow-engines")]
    SimulatedEngines,
}

#[derive(Args)]
struct Run {
    /// Name of the experiment; see `ivypitch testbed list`.
    name: String,
    /// Run a smaller version that takes at most 40 s.
    #[arg(long)]
    quick: bool,
    /// Seed of the run; by default a random one, which is printed.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of consecutive seeds to run, starting at --seed; exits 0 if the bounds hold for all.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Write the figures as JSON to this file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write the report as text, JSON and plots to this folder.
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
}

impl Testbed {
    /// Runs the command and returns the exit code of the process.
    pub fn run(self) -> ExitCode {
        match self.command {
            TestbedCommand::List => {
                experiments::ALL
                    .iter()
                    .for_each(|e| println!("{}: {}", e.name, e.description));
                ExitCode::SUCCESS
            }
            TestbedCommand::Run(run) => run.run_experiment(),
            TestbedCommand::Demo => demo::run(),
            TestbedCommand::Engine(engine) => engine.run(),
            TestbedCommand::SimulatedGateways => crate::processes::simulated_gateways::serve(),
            TestbedCommand::SimulatedEngines => crate::processes::simulated_engines::serve(),
        }
    }
}

impl Run {
    /// Prints a line per seed, and the whole report of each seed that fails.
    fn run_seeds(&self, experiment: &experiments::Experiment, first: u64) -> ExitCode {
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

    fn run_experiment(self) -> ExitCode {
        let Some(experiment) = experiments::ALL.iter().find(|e| e.name == self.name) else {
            let names: Vec<&str> = experiments::ALL.iter().map(|e| e.name).collect();
            eprintln!(
                "unknown experiment {:?}; available: {}",
                self.name,
                names.join(", ")
            );
            return ExitCode::FAILURE;
        };
        let seed = self
            .seed
            .unwrap_or_else(|| rand::random::<u64>() % 1_000_000);
        if self.seeds > 1 {
            return self.run_seeds(experiment, seed);
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
            eprintln!("cannot write the report: {e}");
            return ExitCode::FAILURE;
        }
        exit_code(&report)
    }
}

/// A run that meets its bounds and shows nothing gets an exit code of its own.
fn exit_code(report: &Report) -> ExitCode {
    match (report.holds(), &report.inconclusive_reason) {
        (false, _) => ExitCode::FAILURE,
        (true, Some(_)) => ExitCode::from(NO_EVIDENCE_EXIT_CODE),
        (true, None) => ExitCode::SUCCESS,
    }
}
