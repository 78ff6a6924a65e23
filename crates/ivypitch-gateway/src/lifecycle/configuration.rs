//! The platform's configuration file, one JSON object, and the environment variables that override
//! it.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ivypitch_config::{DeploymentConfig, DeploymentError};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::bounds::Bounds;
use crate::wire::discovery::Snapshot;

/// Limit on sockets if the configuration has none.
const DEFAULT_SOCKETS: usize = 1024;
/// Limit on memory if the configuration has none.
const DEFAULT_MEMORY_MB: usize = 192;
/// Environment variable that overrides `listen`.
const LISTEN_VARIABLE: &str = "PROXY_LISTEN";
/// Environment variable that overrides `name`.
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

/// Limits of the process; 0 selects the default.
#[derive(Deserialize, Default)]
#[serde(default)]
struct FileLimits {
    sockets: usize,
    memory_mb: usize,
}

/// The configuration of a gateway.
pub struct Configuration {
    /// The file, which a reload reads again.
    pub path: PathBuf,
    /// Name of this gateway in the fleet.
    pub name: String,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Bounds derived from the limits.
    pub bounds: Bounds,
    /// Address of the discovery service, if there is one.
    pub discovery: Option<SocketAddr>,
    /// The initial endpoint list.
    pub snapshot: Snapshot,
    /// The platform's settings.
    pub deployment: DeploymentConfig,
}

/// Why the configuration cannot be used, with messages for the operator.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The content of the file is invalid.
    #[error("{}: {source}", path.display())]
    Content {
        /// The file.
        path: PathBuf,
        /// The error in the content.
        source: ContentError,
    },
    /// An environment variable is not an address.
    #[error("{variable} {value:?} is not an address and port")]
    Variable {
        /// Name of the variable.
        variable: &'static str,
        /// Value of the variable.
        value: String,
    },
}

/// Why the content of a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ContentError {
    /// The text is not JSON, or a field has another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field is not an address.
    #[error("{field} {value:?} is not an address and port")]
    Address {
        /// Key of the field.
        field: &'static str,
        /// Value of the field.
        value: String,
    },
    /// The platform's settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] DeploymentError),
}

/// Parses the text of a configuration; `path` stays empty.
pub fn parse(text: &str) -> Result<Configuration, ContentError> {
    let file: File = serde_json::from_str(text)?;
    let listen = parse_address("listen", &file.listen)?;
    let discovery = if file.discovery.is_empty() {
        None
    } else {
        Some(parse_address("journal", &file.discovery)?)
    };
    let bounds = Bounds::new(
        limit_or_default(file.limits.sockets, DEFAULT_SOCKETS),
        limit_or_default(file.limits.memory_mb, DEFAULT_MEMORY_MB),
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

fn limit_or_default(limit: usize, default: usize) -> usize {
    if limit == 0 { default } else { limit }
}

/// Reads the file; environment variables override the address and the name.
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

/// Reads the file without the environment variables.
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
