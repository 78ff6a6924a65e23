//! `ivypitch check`: all faults of an own settings file at once, or its checked form as plain JSON.

use std::path::PathBuf;
use std::process::ExitCode;

use ivypitch_config::operator;
use ivypitch_config::schema::{Problem, SettingsError, describe};
use ivypitch_gateway::lifecycle::configuration;

#[derive(clap::Args)]
pub struct Check {
    /// The file: records in Nickel (.ncl) or plain JSON (.json).
    #[arg(required_unless_present = "fields")]
    file: Option<PathBuf>,
    /// Check its names, too, against a platform's configuration.
    #[arg(long, value_name = "CONFIG")]
    against: Option<PathBuf>,
    /// Print the whole of it, with defaults, as plain JSON.
    #[arg(long)]
    emit: bool,
    /// Print every field with its type, bounds and default.
    #[arg(long)]
    fields: bool,
}

impl Check {
    pub fn run(self) -> ExitCode {
        if self.fields {
            let mut lines = Vec::new();
            describe(operator::fields(), "", &mut lines);
            lines.iter().for_each(|line| println!("{line}"));
            return ExitCode::SUCCESS;
        }
        match self.checked() {
            Ok(()) => ExitCode::SUCCESS,
            Err(mut faults) => {
                faults.sort();
                let file = self
                    .file
                    .as_ref()
                    .map(|f| f.display().to_string())
                    .unwrap_or_default();
                faults.iter().for_each(|fault| eprintln!("{file}: {fault}"));
                if faults.len() > 1 {
                    eprintln!("{} faults", faults.len());
                }
                ExitCode::FAILURE
            }
        }
    }

    fn checked(&self) -> Result<(), Vec<SettingsError>> {
        let Some(file) = &self.file else {
            return Ok(());
        };
        let node = ivypitch_config_eval::read(file)?;
        let whole = operator::check(&node)?;
        let fault = |cause: String| vec![SettingsError::new("", Problem::Unreadable(cause))];
        if let Some(config) = &self.against {
            let configuration = configuration::from_file(config).map_err(fault)?;
            let own = operator::read(whole.to_string().as_bytes())?;
            if let Some(peers) = own.peers.as_ref().filter(|peers| peers.enabled) {
                peers.network(&configuration.name)?;
            }
            if let Some(teams) = &own.teams {
                teams
                    .budgets(&configuration.given, configuration.bounds.clients)
                    .map_err(|faults| {
                        faults
                            .into_iter()
                            .map(|error| {
                                let line = node.line_of(&error.path);
                                error.at_line(line)
                            })
                            .collect::<Vec<_>>()
                    })?;
            }
        }
        if self.emit {
            println!("{whole}");
        } else {
            println!("{}: good", file.display());
        }
        Ok(())
    }
}
