//! `ivypitch check`: prints all errors of an operator settings file, or its complete form as JSON.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use ivypitch_config::operator;
use ivypitch_config::schema::{Problem, SettingsError, SourceValue, describe};
use ivypitch_gateway::lifecycle::configuration;

/// The arguments of `ivypitch check`.
#[derive(clap::Args)]
pub struct Check {
    /// The operator settings file, in Nickel (.ncl) or plain JSON (.json).
    #[arg(required_unless_present = "fields")]
    file: Option<PathBuf>,
    /// Also check its names against a platform's configuration.
    #[arg(long, value_name = "CONFIG")]
    against: Option<PathBuf>,
    /// Print the complete settings, with defaults, as plain JSON.
    #[arg(long)]
    emit: bool,
    /// Print every field with its type, bounds and default.
    #[arg(long)]
    fields: bool,
}

impl Check {
    /// Prints the result on standard output, or all errors with line and path on standard error.
    pub fn run(self) -> ExitCode {
        if self.fields {
            print_fields();
            return ExitCode::SUCCESS;
        }
        let Some(file) = &self.file else {
            return ExitCode::SUCCESS;
        };
        match self.check(file) {
            Ok(()) => ExitCode::SUCCESS,
            Err(mut errors) => {
                errors.sort();
                for error in &errors {
                    eprintln!("{}: {error}", file.display());
                }
                if errors.len() > 1 {
                    eprintln!("{} errors", errors.len());
                }
                ExitCode::FAILURE
            }
        }
    }

    fn check(&self, file: &Path) -> Result<(), Vec<SettingsError>> {
        let settings = ivypitch_config_eval::read(file)?;
        let checked = operator::check(&settings)?;
        if let Some(path) = &self.against {
            check_against(path, &settings, &checked)?;
        }
        if self.emit {
            println!("{checked}");
        } else {
            println!("{}: valid", file.display());
        }
        Ok(())
    }
}

fn print_fields() {
    let mut lines = Vec::new();
    describe(operator::fields(), "", &mut lines);
    for line in lines {
        println!("{line}");
    }
}

/// Checks the names of gateways, teams and workloads against a platform's configuration.
fn check_against(
    path: &Path,
    settings: &SourceValue,
    checked: &serde_json::Value,
) -> Result<(), Vec<SettingsError>> {
    let configuration = configuration::from_file(path).map_err(|error| {
        vec![SettingsError::new(
            "",
            Problem::Unreadable(error.to_string()),
        )]
    })?;
    let config = operator::read(checked.to_string().as_bytes())?;
    if let Some(peers) = config.peers.as_ref().filter(|peers| peers.enabled) {
        peers.network(&configuration.name)?;
    }
    let Some(teams) = &config.teams else {
        return Ok(());
    };
    let budgets = teams.budgets(&configuration.deployment, configuration.bounds.clients);
    match budgets {
        Ok(_) => Ok(()),
        Err(errors) => Err(errors
            .into_iter()
            .map(|error| with_line(error, settings))
            .collect()),
    }
}

fn with_line(error: SettingsError, settings: &SourceValue) -> SettingsError {
    let line = settings.line_of(&error.path);
    error.at_line(line)
}
