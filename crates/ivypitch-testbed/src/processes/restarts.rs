//! Planned restarts of a fleet's gateways, and their configuration files as an operator changes them.

use std::io;
use std::process::ExitStatus;

use super::Fleet;
use super::relay::LinkEnd;
use super::usage::Usage;

/// What an operator writes before a SIGHUP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationChange {
    /// The same configuration, with what the discovery service has told since.
    Same,
    /// Half of a file.
    Broken,
    /// The discovery service is at another address.
    Moved,
}

impl Fleet {
    /// Writes a gateway's configuration file anew.
    pub fn write_configuration(&mut self, g: usize, change: ConfigurationChange) -> io::Result<()> {
        if change == ConfigurationChange::Moved {
            let discovery = self.gateways[g].discovery.address;
            self.gateways[g].discovery_address =
                self.network
                    .open(LinkEnd::Gateway(g), LinkEnd::Journal, discovery, false)?;
        }
        let seat = &self.gateways[g];
        let text = std::fs::read_to_string(&seat.config_path)?;
        let whole = if seat.complete_config.is_empty() {
            text
        } else {
            seat.complete_config.clone()
        };
        let journal = format!("\"journal\":\"{}\"", seat.discovery_address);
        let known = format!("\"known\":{},\"settings\":", seat.discovery.snapshot());
        let text = replace_between(&whole, "\"journal\":\"", "\"", &journal)
            .and_then(|text| replace_between(&text, "\"known\":", ",\"settings\":", &known))
            .ok_or(io::Error::from(io::ErrorKind::InvalidData))?;
        let written = match change {
            ConfigurationChange::Broken => &text[..text.len() / 2],
            ConfigurationChange::Same | ConfigurationChange::Moved => &text,
        };
        std::fs::write(&seat.config_path, written)?;
        self.gateways[g].complete_config = text;
        Ok(())
    }

    /// How its process has ended, if it has; it is forgotten then.
    pub fn try_wait(&mut self, g: usize) -> Option<ExitStatus> {
        let status = self.gateways[g].child.as_mut()?.try_wait().ok().flatten()?;
        self.gateways[g].child = None;
        Some(status)
    }

    /// What its process uses now.
    pub fn usage(&self, g: usize) -> Option<Usage> {
        Usage::of(self.gateways[g].child.as_ref()?.id())
    }
}

/// Replaces from the first `begins` up to the next `ends`, both included.
fn replace_between(text: &str, begins: &str, ends: &str, with: &str) -> Option<String> {
    let from = text.find(begins)?;
    let inner = from + begins.len();
    let to = inner + text[inner..].find(ends)? + ends.len();
    Some(format!("{}{with}{}", &text[..from], &text[to..]))
}
