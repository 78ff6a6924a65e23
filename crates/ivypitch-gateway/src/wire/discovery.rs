//! The discovery service's line protocol: one watch event on the endpoint list a line, as JSON, and once a second the
//! position of the last event.
//!
//! The JSON keys are the platform's; each is mapped here and nowhere else.

use serde::Deserialize;

/// One numbered event of the watch.
#[derive(Debug, Deserialize, PartialEq)]
pub struct WatchEvent {
    /// Its number: each event's is one more than the one's before.
    #[serde(rename = "pos")]
    pub position: u64,
    /// The change of the endpoint list; an event may be about something else.
    #[serde(rename = "hosts")]
    pub update: Option<EndpointUpdate>,
}

/// A change of the endpoint list, or all of it.
#[derive(Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct EndpointUpdate {
    /// The list's version after this update.
    pub version: u64,
    /// Endpoints that are not named are gone.
    #[serde(rename = "full")]
    pub is_full: bool,
    /// The endpoints that were added or changed.
    #[serde(rename = "servers")]
    pub endpoints: Vec<Endpoint>,
}

/// One engine as the discovery service lists it.
#[derive(Debug, Deserialize, PartialEq)]
pub struct Endpoint {
    /// Names the engine for as long as it is listed.
    pub id: String,
    /// Address and port.
    #[serde(default, rename = "addr")]
    pub address: String,
    /// The availability zone.
    #[serde(default)]
    pub zone: String,
    /// The kind of machine, by its name in the settings.
    #[serde(default)]
    pub kind: String,
    /// The failure domain within its zone.
    #[serde(default)]
    pub cell: u16,
    /// Whether it takes statements, in the service's words.
    pub state: String,
    /// Its part of the load relative to others.
    #[serde(default)]
    pub weight: f64,
    /// When its process started, Unix time in ms.
    #[serde(default)]
    pub started_ms: u64,
}

/// The endpoint list as the configuration file holds it: the events up to a position.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Snapshot {
    /// The position to watch from.
    #[serde(rename = "pos")]
    pub position: u64,
    /// The events up to there.
    #[serde(rename = "entries")]
    pub events: Vec<WatchEvent>,
}

/// A line of the watch.
#[derive(Debug, PartialEq)]
pub enum Line {
    /// The position of the last event, once a second.
    LastPosition(u64),
    /// The next event.
    Event(WatchEvent),
}

/// Why a line can't be used.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// It begins with a digit and is no number.
    #[error("number unreadable")]
    Position,
    /// It is no event as JSON.
    #[error(transparent)]
    Event(#[from] serde_json::Error),
}

/// Parses one line of the watch, with or without its line end.
pub fn parse_line(line: &[u8]) -> Result<Line, LineError> {
    let line = line.trim_ascii();
    if line.first().is_some_and(u8::is_ascii_digit) {
        let number = std::str::from_utf8(line).ok().and_then(|l| l.parse().ok());
        return number.map(Line::LastPosition).ok_or(LineError::Position);
    }
    Ok(Line::Event(serde_json::from_slice(line)?))
}

/// The request that starts a watch behind the event at `position`.
pub fn watch_request(position: u64) -> String {
    format!("tail {position}\n")
}
