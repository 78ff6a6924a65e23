//! Loads the operators' settings file at start and reload.
//!
//! A file of records is evaluated by a child process, `ivypitch check --emit`, so that the
//! evaluator's memory does not stay in the server; plain JSON is read directly.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use ivypitch_config::operator::{self, OperatorConfig};
use ivypitch_config::schema::SettingsError;

/// Time after which the child process is killed; a typical file takes well under 0.1 s.
const EVALUATION_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a plain JSON file.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// The operators' settings file.
#[derive(Clone, Debug)]
pub struct OperatorConfigFile {
    /// A file of records, or plain JSON with the extension `.json`.
    pub path: PathBuf,
}

/// The operators' settings and their file.
pub struct LoadedOperatorConfig {
    /// The file, which a reload reads again.
    pub file: OperatorConfigFile,
    /// The settings in the file.
    pub config: OperatorConfig,
}

/// Why the operators' settings cannot be used, with messages for the operator.
#[derive(Debug, thiserror::Error)]
pub enum OperatorConfigError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is too large.
    #[error("{}: file has {bytes} bytes, more than the maximum of {MAX_FILE_BYTES}", path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// Size of the file.
        bytes: u64,
    },
    /// The path of this executable, which evaluates the file, cannot be determined.
    #[error("path of this executable: {0}")]
    OwnExecutable(io::Error),
    /// The evaluation could not be run, or timed out.
    #[error("{}: {source}", path.display())]
    Evaluation {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The evaluation found errors; its output is joined into one line.
    #[error("{0}")]
    EvaluationFailed(String),
    /// The settings are invalid, or do not fit the deployment.
    #[error("{}", InFile { path, errors })]
    Settings {
        /// The file.
        path: PathBuf,
        /// All errors found.
        errors: Vec<SettingsError>,
    },
}

/// Formats errors in one line, each prefixed with the file.
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
    /// Loads the file and blocks until it is done; used before the gateway serves.
    pub fn load(&self) -> Result<OperatorConfig, OperatorConfigError> {
        async_io::block_on(self.load_async())
    }

    /// Loads the file while the gateway serves.
    pub async fn load_async(&self) -> Result<OperatorConfig, OperatorConfigError> {
        if self.is_plain_json() {
            self.read_json()
        } else {
            self.evaluate().await
        }
    }

    /// Wraps errors in the settings with the path of this file.
    pub fn settings_error(&self, errors: Vec<SettingsError>) -> OperatorConfigError {
        OperatorConfigError::Settings {
            path: self.path.clone(),
            errors,
        }
    }

    fn is_plain_json(&self) -> bool {
        self.path
            .extension()
            .is_some_and(|extension| extension == "json")
    }

    fn read_json(&self) -> Result<OperatorConfig, OperatorConfigError> {
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
        let program = std::env::current_exe().map_err(OperatorConfigError::OwnExecutable)?;
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
