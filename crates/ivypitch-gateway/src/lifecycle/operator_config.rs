//! The operators' own settings file at start and reload.
//!
//! A file of records is evaluated by a short-lived child, `ivypitch check --emit`, so that nothing of the evaluator stays
//! in the server; plain JSON is read directly.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use ivypitch_config::operator::{self, OperatorConfig};
use ivypitch_config::schema::SettingsError;

/// A child that takes longer is ended; a usual file takes well under a tenth of a second.
const EVALUATION_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_FILE_BYTES: u64 = 16 << 20;

/// Where the operators' settings are.
#[derive(Clone, Debug)]
pub struct OperatorConfigFile {
    /// A file of records, or plain JSON with the ending `.json`.
    pub path: PathBuf,
}

/// The operators' settings and where they came from.
pub struct LoadedOperatorConfig {
    /// To be read again there.
    pub file: OperatorConfigFile,
    /// What it said.
    pub config: OperatorConfig,
}

/// Why the operators' settings can't be used, in words for the operator.
#[derive(Debug, thiserror::Error)]
pub enum OperatorConfigError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// The file is too large.
    #[error("{}: {bytes} bytes, {MAX_FILE_BYTES} at most", path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// Its size.
        bytes: u64,
    },
    /// The path of this program, which is to evaluate the file, is not known.
    #[error("own program: {0}")]
    OwnProgram(io::Error),
    /// The evaluation could not be run, or took too long.
    #[error("{}: {source}", path.display())]
    Evaluation {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// The evaluation found errors: what it wrote, in one line.
    #[error("{0}")]
    EvaluationFailed(String),
    /// Settings that are wrong, or don't fit the deployment.
    #[error("{}", InFile { path, errors })]
    Settings {
        /// The file.
        path: PathBuf,
        /// All that is wrong.
        errors: Vec<SettingsError>,
    },
}

/// Errors in one line, each with its file.
struct InFile<'a> {
    path: &'a Path,
    errors: &'a [SettingsError],
}

impl fmt::Display for InFile<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            let separator = if index > 0 { "; " } else { "" };
            write!(f, "{separator}{}: {error}", self.path.display())?;
        }
        Ok(())
    }
}

impl OperatorConfigFile {
    /// Reads it before the gateway serves: waits for it.
    pub fn load(&self) -> Result<OperatorConfig, OperatorConfigError> {
        async_io::block_on(self.load_async())
    }

    /// Reads it while the gateway serves.
    pub async fn load_async(&self) -> Result<OperatorConfig, OperatorConfigError> {
        if self.is_plain_json() {
            self.read_plain()
        } else {
            self.evaluate().await
        }
    }

    /// Names this file in errors about its settings.
    pub fn settings_error(&self, errors: Vec<SettingsError>) -> OperatorConfigError {
        OperatorConfigError::Settings {
            path: self.path.clone(),
            errors,
        }
    }

    fn is_plain_json(&self) -> bool {
        self.path.extension().is_some_and(|ending| ending == "json")
    }

    fn read_plain(&self) -> Result<OperatorConfig, OperatorConfigError> {
        let unreadable = |source| OperatorConfigError::Read {
            path: self.path.clone(),
            source,
        };
        let bytes = std::fs::metadata(&self.path).map_err(unreadable)?.len();
        if bytes > MAX_FILE_BYTES {
            return Err(OperatorConfigError::TooLarge {
                path: self.path.clone(),
                bytes,
            });
        }
        let text = std::fs::read(&self.path).map_err(unreadable)?;
        self.parse(&text)
    }

    async fn evaluate(&self) -> Result<OperatorConfig, OperatorConfigError> {
        let program = std::env::current_exe().map_err(OperatorConfigError::OwnProgram)?;
        let child = async_process::Command::new(program)
            .args(["check", "--emit"])
            .arg(&self.path)
            .stdin(async_process::Stdio::null())
            .kill_on_drop(true)
            .output();
        let timed_out = async {
            Timer::after(EVALUATION_TIMEOUT).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        let output =
            child
                .or(timed_out)
                .await
                .map_err(|source| OperatorConfigError::Evaluation {
                    path: self.path.clone(),
                    source,
                })?;
        if !output.status.success() {
            let errors = String::from_utf8_lossy(&output.stderr);
            let line = errors.trim().replace('\n', "; ");
            return Err(OperatorConfigError::EvaluationFailed(line));
        }
        self.parse(&output.stdout)
    }

    fn parse(&self, text: &[u8]) -> Result<OperatorConfig, OperatorConfigError> {
        operator::read(text).map_err(|errors| self.settings_error(errors))
    }
}
