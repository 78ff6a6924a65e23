//! Planned restarts of a fleet's gateways, and changes of their configuration files.

use std::io;
use std::process::ExitStatus;

use super::Fleet;
use super::relay::LinkEnd;
use super::usage::Usage;

/// Change of a configuration file before a SIGHUP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationChange {
    /// The same settings with a current snapshot of the endpoint events.
    Same,
    /// A truncated file.
    Broken,
    /// A new address of the discovery server.
    Moved,
}

impl Fleet {
    /// Rewrites a gateway's configuration file.
    pub fn write_configuration(
        &mut self,
        gateway: usize,
        change: ConfigurationChange,
    ) -> io::Result<()> {
        if change == ConfigurationChange::Moved {
            let discovery = self.gateways[gateway].discovery.address;
            self.gateways[gateway].discovery_address = self.network.open(
                LinkEnd::Gateway(gateway),
                LinkEnd::Journal,
                discovery,
                false,
            )?;
        }
        let slot = &self.gateways[gateway];
        let text = std::fs::read_to_string(&slot.config_path)?;
        let complete = if slot.complete_config.is_empty() {
            text
        } else {
            slot.complete_config.clone()
        };
        let journal = format!("\"journal\":\"{}\"", slot.discovery_address);
        let known = format!("\"known\":{},\"settings\":", slot.discovery.snapshot());
        let text = replace_between(&complete, "\"journal\":\"", "\"", &journal)
            .and_then(|text| replace_between(&text, "\"known\":", ",\"settings\":", &known))
            .ok_or(io::Error::from(io::ErrorKind::InvalidData))?;
        let written = match change {
            ConfigurationChange::Broken => &text[..text.len() / 2],
            ConfigurationChange::Same | ConfigurationChange::Moved => &text,
        };
        std::fs::write(&slot.config_path, written)?;
        self.gateways[gateway].complete_config = text;
        Ok(())
    }

    /// Returns the exit status of the gateway's process if it has ended, and drops its handle.
    pub fn try_wait(&mut self, gateway: usize) -> Option<ExitStatus> {
        let status = self.gateways[gateway]
            .child
            .as_mut()?
            .try_wait()
            .ok()
            .flatten()?;
        self.gateways[gateway].child = None;
        Some(status)
    }

    /// Current resource use of the gateway's process.
    pub fn usage(&self, gateway: usize) -> Option<Usage> {
        Usage::of(self.gateways[gateway].child.as_ref()?.id())
    }
}

/// Replaces the text from the first `prefix` to the next `suffix`, both included.
fn replace_between(text: &str, prefix: &str, suffix: &str, replacement: &str) -> Option<String> {
    let from = text.find(prefix)?;
    let inner = from + prefix.len();
    let to = inner + text[inner..].find(suffix)? + suffix.len();
    Some(format!("{}{replacement}{}", &text[..from], &text[to..]))
}
