//! Starts the ivypitch query gateway by its environment.

use std::process::ExitCode;

use ivypitch_gateway::life::{clock::Clock, configuration, logger, program};

fn main() -> ExitCode {
    let clock = Clock::start();
    logger::install(clock);
    let outcome = program::signals().and_then(|signals| {
        let configuration = configuration::from_environment()?;
        program::Program::start(configuration, clock, signals)?.run()
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log::error!("{what}");
            ExitCode::FAILURE
        }
    }
}
