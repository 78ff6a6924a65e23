//! The operator's settings file, which is separate from the platform's JSON.
//!
//! Without the file, every feature that it configures is off. This module reads plain JSON;
//! `ivypitch-config-eval` evaluates a file in Nickel to it. The file's keys have stable names; the
//! structs use the terms of this code.

mod peers;
mod teams;

use ivypitch_types::{MILLISECOND, Nanos};
use serde_json::Value;

pub use peers::{CoordinationSettings, OwnershipSettings, PeerNetwork, PeersSettings};
pub use teams::TeamsSettings;

use crate::schema::{self, Field, Kind, SettingsError, SourceValue, settings_record};

settings_record! {
    /// The operator's settings file.
    pub struct OperatorConfig, OPERATOR_FIELDS {
        /// Budgets and queues by team; off by default.
        "teams" => pub teams: Option<TeamsSettings>,
            Kind::Record(teams::TEAMS_FIELDS), default "";
        /// The other gateways: membership, links and takeover; off by default.
        "peers" => pub peers: Option<PeersSettings>,
            Kind::Record(peers::PEERS_FIELDS), default "";
        /// Logging.
        "log" => pub log: LogSettings,
            Kind::Record(LOG_FIELDS), default "{}";
    }
}

settings_record! {
    /// Settings of the log.
    pub struct LogSettings, LOG_FIELDS {
        /// Format of log lines.
        "format" => pub format: String,
            Kind::OneOf(&["text", "logfmt", "json"]), default "\"text\"";
    }
}

/// Returns the schema of the operator's settings file.
pub fn fields() -> &'static [Field] {
    OPERATOR_FIELDS
}

/// Validates a file's value against the schema and returns it with all defaults.
///
/// # Errors
///
/// All errors of the file.
pub fn check(value: &SourceValue) -> Result<Value, Vec<SettingsError>> {
    schema::check(OPERATOR_FIELDS, value)
}

/// Validates and deserializes the settings from JSON.
///
/// # Errors
///
/// All errors of the file.
pub fn read(json: &[u8]) -> Result<OperatorConfig, Vec<SettingsError>> {
    let value: Value =
        serde_json::from_slice(json).map_err(|error| vec![SettingsError::unreadable(error)])?;
    let complete = check(&SourceValue::from_json(&value))?;
    serde_json::from_value(complete).map_err(|error| vec![SettingsError::unreadable(error)])
}

fn nanos_from_millis(millis: f64) -> Nanos {
    (millis * MILLISECOND as f64) as Nanos
}
