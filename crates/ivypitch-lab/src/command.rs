//! `ivypitch lab`.

use std::process::ExitCode;

#[derive(clap::Args)]
pub struct Lab {}

impl Lab {
    pub fn run(self) -> ExitCode {
        ExitCode::FAILURE
    }
}
