//! The discovery service's line protocol: each line is one watch event on the endpoint list, as
//! JSON, or, once a second, the position of the last event.
//!
//! The platform defines the JSON keys; they are mapped here and nowhere else.

use serde::Deserialize;

/// One numbered event of the watch.
#[derive(Debug, Deserialize, PartialEq)]
pub struct WatchEvent {
    /// The position of the event, one more than that of the event before.
    #[serde(rename = "pos")]
    pub position: u64,
    /// The change of the endpoint list; `None` for events about something else.
    #[serde(rename = "hosts")]
    pub update: Option<EndpointUpdate>,
}

/// A change of the endpoint list, or the complete list.
#[derive(Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct EndpointUpdate {
    /// The version of the list after this update.
    pub version: u64,
    /// The list is complete: endpoints that it does not contain are removed.
    #[serde(rename = "full")]
    pub is_full: bool,
    /// The added or changed endpoints.
    #[serde(rename = "servers")]
    pub endpoints: Vec<Endpoint>,
}

/// One engine as the discovery service lists it.
#[derive(Debug, Deserialize, PartialEq)]
pub struct Endpoint {
    /// Identifies the engine as long as it is listed.
    pub id: String,
    /// IP address and port.
    #[serde(default, rename = "addr")]
    pub address: String,
    /// The availability zone.
    #[serde(default)]
    pub zone: String,
    /// The kind of engine, by its name in the settings.
    #[serde(default)]
    pub kind: String,
    /// The failure domain within its zone.
    #[serde(default)]
    pub cell: u16,
    /// Whether the engine accepts statements, as the service names the state.
    pub state: String,
    /// Weight of the engine in load balancing, relative to others.
    #[serde(default)]
    pub weight: f64,
    /// When the engine process started, Unix time in ms.
    #[serde(default)]
    pub started_ms: u64,
}

/// The endpoint list in the configuration file: all events up to a position.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Snapshot {
    /// The position after which the watch starts.
    #[serde(rename = "pos")]
    pub position: u64,
    /// The events up to that position.
    #[serde(rename = "entries")]
    pub events: Vec<WatchEvent>,
}

/// A line of the watch.
#[derive(Debug, PartialEq)]
pub enum Line {
    /// The position of the last event, sent once a second.
    LastPosition(u64),
    /// The next event.
    Event(WatchEvent),
}

/// Why a line cannot be parsed.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line begins with a digit but is not a number.
    #[error("malformed position")]
    Position,
    /// The line is not an event in JSON.
    #[error(transparent)]
    Event(#[from] serde_json::Error),
}

/// Parses one line of the watch, with or without the terminating newline.
pub fn parse_line(line: &[u8]) -> Result<Line, LineError> {
    let line = line.trim_ascii();
    if line.first().is_some_and(u8::is_ascii_digit) {
        let position = std::str::from_utf8(line)
            .ok()
            .and_then(|text| text.parse().ok());
        return position.map(Line::LastPosition).ok_or(LineError::Position);
    }
    Ok(Line::Event(serde_json::from_slice(line)?))
}

/// Returns the request that starts a watch after the event at `position`.
pub fn watch_request(position: u64) -> String {
    format!("tail {position}\n")
}
