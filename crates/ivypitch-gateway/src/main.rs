//! Starts the ivypitch query gateway by its environment.

use std::process::ExitCode;

use ivypitch_gateway::life::{clock::Clock, configuration, logger, program::Program};

fn main() -> ExitCode {
    let clock = Clock::start();
    logger::install(clock);
    let outcome = configuration::from_environment()
        .and_then(|configuration| Program::start(configuration, clock))
        .and_then(Program::run);
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log::error!("{what}");
            ExitCode::FAILURE
        }
    }
}
