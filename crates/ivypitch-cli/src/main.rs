//! The command `ivypitch`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use ivypitch_cli::{check, fleet};
use ivypitch_gateway::lifecycle::logger::{self, Format};
use ivypitch_gateway::lifecycle::own::OwnFile;
use ivypitch_gateway::lifecycle::{clock::Clock, configuration, program};

/// Query gateway: decides which statement runs, on which engine, with how much memory and at which priority.
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a gateway until SIGTERM.
    #[command(
        after_help = "Example: ivypitch serve --config config.json --own deploy/ivypitch.ncl"
    )]
    Serve(Serve),
    /// Check an own settings file: every fault with its place.
    #[command(after_help = "Example: ivypitch check deploy/ivypitch.ncl --against config.json")]
    Check(check::Check),
    /// What gateways share, as each sees it, as JSON, and where their views differ.
    #[command(after_help = "Example: ivypitch fleet 10.0.0.4:3306 10.0.1.4:3306 --differences")]
    Fleet(fleet::Fleet),
    /// Emulated engines, load and experiments on this machine's loopback addresses.
    #[command(visible_alias = "lab", after_help = "Example: ivypitch testbed demo")]
    Testbed(ivypitch_testbed::command::Testbed),
}

#[derive(clap::Args)]
struct Serve {
    /// The platform's configuration, one JSON object; the variables PROXY_LISTEN and PROXY_NAME win over it.
    #[arg(long, env = "PROXY_CONFIG", value_name = "FILE")]
    config: PathBuf,
    /// The own settings: records in Nickel (.ncl) or plain JSON (.json). Without it all that they set up is off.
    #[arg(long, env = "IVYPITCH_OWN", value_name = "FILE")]
    own: Option<PathBuf>,
    /// How log lines are written; wins over the own settings.
    #[arg(long, env = "IVYPITCH_LOG_FORMAT", value_name = "FORMAT", value_parser = ["text", "logfmt", "json"])]
    log_format: Option<String>,
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Serve(arguments) => serve(arguments),
        Command::Check(arguments) => arguments.run(),
        Command::Fleet(arguments) => arguments.run(),
        Command::Testbed(arguments) => arguments.run(),
    }
}

fn serve(arguments: Serve) -> ExitCode {
    let clock = Clock::start();
    logger::install(clock);
    let stated = arguments.log_format.as_deref().and_then(Format::of);
    logger::set_format(stated.unwrap_or_default());
    let outcome = program::signals().and_then(|signals| {
        let configuration = configuration::from_environment(&arguments.config)?;
        let own = match arguments.own {
            Some(path) => {
                let file = OwnFile { path };
                let own = file.load()?;
                logger::set_format(
                    stated
                        .or_else(|| Format::of(&own.log.format))
                        .unwrap_or_default(),
                );
                Some((file, own))
            }
            None => None,
        };
        let program = program::Program::start(configuration, own, clock, signals)?;
        program.map_or(Ok(()), program::Program::run)
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log::error!("{what}");
            ExitCode::FAILURE
        }
    }
}
