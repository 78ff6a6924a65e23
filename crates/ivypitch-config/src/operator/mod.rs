//! The operator's settings file: typed records of the project's own, apart from the platform's JSON.
//!
//! Without the file, every feature that it configures is off. It is read here as plain JSON; `ivypitch-config-eval` makes
//! that of a file in Nickel. Keys of the file keep their names; the structs use the code's terms.

mod peers;
mod teams;

use ivypitch_types::{MILLISECOND, Nanos};
use serde_json::Value;

pub use peers::{CoordinationSettings, OwnershipSettings, PeerNetwork, PeersSettings};
pub use teams::TeamsSettings;

use crate::schema::{self, Field, Kind, SettingsError, SourceValue, settings_record};

settings_record! {
    /// All that the operator's settings file may hold.
    pub struct OperatorConfig, OPERATOR_FIELDS {
        /// Budgets and queues by team; left out: off.
        "teams" => pub teams: Option<TeamsSettings>,
            Kind::Record(teams::TEAMS_FIELDS), default "";
        /// The other gateways: members, links, taking over; left out: off.
        "peers" => pub peers: Option<PeersSettings>,
            Kind::Record(peers::PEERS_FIELDS), default "";
        /// The log.
        "log" => pub log: LogSettings,
            Kind::Record(LOG_FIELDS), default "{}";
    }
}

settings_record! {
    /// How the program logs.
    pub struct LogSettings, LOG_FIELDS {
        /// How log lines are written.
        "format" => pub format: String,
            Kind::OneOf(&["text", "logfmt", "json"]), default "\"text\"";
    }
}

/// The fields of the operator's settings file.
pub fn fields() -> &'static [Field] {
    OPERATOR_FIELDS
}

/// Checks the form of a file's value.
///
/// # Errors
///
/// All errors of the file.
pub fn check(value: &SourceValue) -> Result<Value, Vec<SettingsError>> {
    schema::check(OPERATOR_FIELDS, value)
}

/// Reads the settings from JSON, checked before or not.
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
