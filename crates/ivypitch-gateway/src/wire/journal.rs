//! The journal service: lines of events about the list of engines.

use serde::Deserialize;

#[derive(Debug, Deserialize, PartialEq)]
pub struct Event {
    pub pos: u64,
    pub hosts: Option<Hosts>,
}

#[derive(Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct Hosts {
    pub version: u64,
    pub full: bool,
    pub servers: Vec<Server>,
}

#[derive(Debug, Deserialize, PartialEq)]
pub struct Server {
    pub id: String,
    #[serde(default)]
    pub addr: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub cell: u16,
    pub state: String,
    #[serde(default)]
    pub weight: f64,
    #[serde(default)]
    pub started_ms: u64,
}

/// The events that a configuration holds.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Known {
    pub pos: u64,
    pub entries: Vec<Event>,
}

#[derive(Debug, PartialEq)]
pub enum Line {
    /// The number of the last event, once a second.
    Last(u64),
    Event(Event),
}

pub fn read_line(line: &[u8]) -> Result<Line, String> {
    let line = line.trim_ascii();
    if line.first().is_some_and(u8::is_ascii_digit) {
        let number = std::str::from_utf8(line).ok().and_then(|l| l.parse().ok());
        return number
            .map(Line::Last)
            .ok_or_else(|| "number unreadable".into());
    }
    serde_json::from_slice(line)
        .map(Line::Event)
        .map_err(|e| e.to_string())
}

pub fn tail(last: u64) -> String {
    format!("tail {last}\n")
}
