//! The ivypitch query gateway on real sockets; every decision is the module's.

mod actors;
mod life;
mod memory;
mod wire;

use std::process::ExitCode;

use life::{clock::Clock, configuration, logger, program::Program};

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
