//! The platform's configuration file, one JSON object, and what the environment says in place of it.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ivypitch_config::{DeploymentConfig, DeploymentError};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::bounds::Bounds;
use crate::wire::discovery::Snapshot;

/// Used where the configuration states no limit.
const DEFAULT_SOCKETS: usize = 1024;
/// Used where the configuration states no limit.
const DEFAULT_MEMORY_MB: usize = 192;
/// Wins over `listen`.
const LISTEN_VARIABLE: &str = "PROXY_LISTEN";
/// Wins over `name`.
const NAME_VARIABLE: &str = "PROXY_NAME";

#[derive(Deserialize)]
struct File<'a> {
    #[serde(default)]
    name: String,
    listen: String,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: FileLimits,
    #[serde(default, rename = "journal")]
    discovery: String,
    #[serde(default, rename = "known")]
    snapshot: Snapshot,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// 0: not stated.
#[derive(Deserialize, Default)]
#[serde(default)]
struct FileLimits {
    sockets: usize,
    memory_mb: usize,
}

/// What a gateway starts with.
pub struct Configuration {
    /// Where it came from, to be read again there.
    pub path: PathBuf,
    /// This gateway's name in the fleet.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Of all random numbers.
    pub seed: u64,
    /// What the stated limits allow.
    pub bounds: Bounds,
    /// The discovery service, if there is one.
    pub discovery: Option<SocketAddr>,
    /// The endpoint list to begin with.
    pub snapshot: Snapshot,
    /// The platform's settings.
    pub deployment: DeploymentConfig,
}

/// Why there is no configuration, in words for the operator.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// The file's content can't be used.
    #[error("{}: {source}", path.display())]
    Content {
        /// The file.
        path: PathBuf,
        /// What is wrong in it.
        source: ContentError,
    },
    /// A variable of the environment is no address.
    #[error("{variable} {value:?} is no address and port")]
    Variable {
        /// Its name.
        variable: &'static str,
        /// Its value.
        value: String,
    },
}

/// What is wrong in a configuration's text.
#[derive(Debug, thiserror::Error)]
pub enum ContentError {
    /// No JSON, or a field of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field is no address.
    #[error("{field} {value:?} is no address and port")]
    Address {
        /// Its key.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The platform's settings can't be used.
    #[error("settings: {0}")]
    Settings(#[from] DeploymentError),
}

/// Parses a configuration's text; its `path` is left empty.
pub fn parse(text: &str) -> Result<Configuration, ContentError> {
    let file: File = serde_json::from_str(text)?;
    let listen = parse_address("listen", &file.listen)?;
    let discovery = if file.discovery.is_empty() {
        None
    } else {
        Some(parse_address("journal", &file.discovery)?)
    };
    let bounds = Bounds::new(
        stated_or(file.limits.sockets, DEFAULT_SOCKETS),
        stated_or(file.limits.memory_mb, DEFAULT_MEMORY_MB),
    );
    let deployment = ivypitch_config::read_deployment(file.settings.get().as_bytes())?;
    Ok(Configuration {
        path: PathBuf::new(),
        name: file.name,
        listen,
        seed: u64::from_str_radix(&file.seed, 16).unwrap_or(0),
        bounds,
        discovery,
        snapshot: file.snapshot,
        deployment,
    })
}

fn parse_address(field: &'static str, value: &str) -> Result<SocketAddr, ContentError> {
    value.parse().map_err(|_| ContentError::Address {
        field,
        value: value.to_owned(),
    })
}

fn stated_or(limit: usize, default: usize) -> usize {
    if limit == 0 { default } else { limit }
}

/// Reads the file; what the environment says of address and name wins.
pub fn from_environment(path: &Path) -> Result<Configuration, ConfigurationError> {
    let mut configuration = from_file(path)?;
    if let Ok(value) = std::env::var(LISTEN_VARIABLE) {
        let Ok(listen) = value.parse() else {
            return Err(ConfigurationError::Variable {
                variable: LISTEN_VARIABLE,
                value,
            });
        };
        configuration.listen = listen;
    }
    if let Ok(name) = std::env::var(NAME_VARIABLE) {
        configuration.name = name;
    }
    Ok(configuration)
}

/// Reads the file alone.
pub fn from_file(path: &Path) -> Result<Configuration, ConfigurationError> {
    let text = std::fs::read_to_string(path).map_err(|source| ConfigurationError::Read {
        path: path.to_owned(),
        source,
    })?;
    let configuration = parse(&text).map_err(|source| ConfigurationError::Content {
        path: path.to_owned(),
        source,
    })?;
    Ok(Configuration {
        path: path.to_owned(),
        ..configuration
    })
}
