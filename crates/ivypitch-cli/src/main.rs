//! The command `ivypitch`: runs a gateway, checks settings, shows the fleet and runs the testbed.

#![warn(missing_docs)]

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use ivypitch_cli::{check, fleet};
use ivypitch_gateway::lifecycle::logger::{self, Format};
use ivypitch_gateway::lifecycle::operator_config::{
    LoadedOperatorConfig, OperatorConfigError, OperatorConfigFile,
};
use ivypitch_gateway::lifecycle::startup::{self, StartupError};
use ivypitch_gateway::lifecycle::{clock::Clock, configuration, gateway::Gateway};

/// Query gateway: decides which statement runs, on which engine, with how much memory and at which
/// priority.
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
    /// Check an operator settings file and print every error with its line and path.
    #[command(after_help = "Example: ivypitch check deploy/ivypitch.ncl --against config.json")]
    Check(check::Check),
    /// Print the shared state of the fleet as each gateway sees it, as JSON, and the differences.
    #[command(after_help = "Example: ivypitch fleet 10.0.0.4:3306 10.0.1.4:3306 --differences")]
    Fleet(fleet::Fleet),
    /// Emulated engines, load and experiments on this machine's loopback addresses.
    #[command(visible_alias = "lab", after_help = "Example: ivypitch testbed demo")]
    Testbed(ivypitch_testbed::command::Testbed),
}

#[derive(clap::Args)]
struct Serve {
    /// The platform's configuration, one JSON object. The variables PROXY_LISTEN and PROXY_NAME
    /// override it.
    #[arg(long, env = "PROXY_CONFIG", value_name = "FILE")]
    config: PathBuf,
    /// The operator settings, in Nickel (.ncl) or plain JSON (.json). Without them, all that they
    /// configure is off.
    #[arg(long, env = "IVYPITCH_OWN", value_name = "FILE")]
    own: Option<PathBuf>,
    /// Format of log lines; overrides the operator settings.
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
    match run_gateway(arguments, clock) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts a gateway and runs it until SIGTERM.
fn run_gateway(arguments: Serve, clock: Clock) -> Result<(), StartupError> {
    let explicit_format = arguments.log_format.as_deref().and_then(Format::from_name);
    logger::set_format(explicit_format.unwrap_or_default());
    let signals = startup::catch_signals()?;
    let configuration = configuration::from_environment(&arguments.config)?;
    let operator = match arguments.own {
        Some(path) => Some(load_operator_config(path, explicit_format)?),
        None => None,
    };
    if let Some(gateway) = Gateway::start(configuration, operator, clock, signals)? {
        gateway.run();
    }
    Ok(())
}

/// Loads the operator settings and sets the log format, which `explicit_format` overrides.
fn load_operator_config(
    path: PathBuf,
    explicit_format: Option<Format>,
) -> Result<LoadedOperatorConfig, OperatorConfigError> {
    let file = OperatorConfigFile { path };
    let config = file.load()?;
    let format = explicit_format.or_else(|| Format::from_name(&config.log.format));
    logger::set_format(format.unwrap_or_default());
    Ok(LoadedOperatorConfig { file, config })
}
