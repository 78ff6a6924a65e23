//! What the gateway is told at its start.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ivypitch_config::DeploymentConfig;
use serde::Deserialize;
use serde_json::value::RawValue;

use super::bounds::Bounds;
use crate::wire::discovery::Snapshot;

/// Used where the configuration states no limit.
const SOCKETS: usize = 1024;
const MEMORY_MB: usize = 192;

#[derive(Deserialize)]
struct File<'a> {
    #[serde(default)]
    name: String,
    listen: String,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: FileLimits,
    #[serde(default)]
    journal: String,
    #[serde(default)]
    known: Snapshot,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct FileLimits {
    sockets: usize,
    memory_mb: usize,
}

pub struct Configuration {
    /// Where it came from, to be read again there.
    pub path: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub bounds: Bounds,
    pub journal: Option<SocketAddr>,
    pub known: Snapshot,
    pub given: DeploymentConfig,
}

pub fn read(text: &str) -> Result<Configuration, String> {
    let stated = |limit: usize, or: usize| if limit == 0 { or } else { limit };
    let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let address = |text: &str, what| {
        text.parse()
            .map_err(|_| format!("{what} {text:?} is no address and port"))
    };
    Ok(Configuration {
        listen: address(&file.listen, "listen")?,
        journal: if file.journal.is_empty() {
            None
        } else {
            Some(address(&file.journal, "journal")?)
        },
        seed: u64::from_str_radix(&file.seed, 16).unwrap_or(0),
        bounds: Bounds::new(
            stated(file.limits.sockets, SOCKETS),
            stated(file.limits.memory_mb, MEMORY_MB),
        ),
        given: ivypitch_config::read(file.settings.get().as_bytes())
            .map_err(|e| format!("settings: {e}"))?,
        known: file.known,
        path: PathBuf::new(),
        name: file.name,
    })
}

/// Reads the file; what the environment says of address and name wins.
pub fn from_environment(path: &Path) -> Result<Configuration, String> {
    let mut configuration = from_file(path)?;
    if let Ok(listen) = std::env::var("PROXY_LISTEN") {
        configuration.listen = listen
            .parse()
            .map_err(|_| format!("PROXY_LISTEN {listen:?} is no address and port"))?;
    }
    if let Ok(name) = std::env::var("PROXY_NAME") {
        configuration.name = name;
    }
    Ok(configuration)
}

pub fn from_file(path: &Path) -> Result<Configuration, String> {
    let named = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
    let configuration = read(&text).map_err(named)?;
    Ok(Configuration {
        path: path.to_owned(),
        ..configuration
    })
}
