//! What one gateway says of the fleet.

use std::collections::BTreeSet;

use serde_json::Value;

/// The view of one gateway. What is missing in it counts as 0 or as empty: gateways of another version may say less.
#[derive(Clone, Debug)]
pub struct GatewayView {
    gateway: String,
    json: Value,
}

/// How much of a quota a gateway holds.
pub(super) struct QuotaView<'a> {
    pub(super) name: Option<&'a str>,
    pub(super) held_units: u64,
    pub(super) total_units: u64,
}

impl GatewayView {
    /// The view that the gateway of this name or address gave.
    pub fn new(gateway: impl Into<String>, json: Value) -> GatewayView {
        GatewayView {
            gateway: gateway.into(),
            json,
        }
    }

    /// The gateway's name or address.
    pub fn gateway(&self) -> &str {
        &self.gateway
    }

    /// The view as it came.
    pub fn json(&self) -> &Value {
        &self.json
    }

    /// The last event of the endpoint list that the gateway has.
    pub(super) fn watch_position(&self) -> u64 {
        number(&self.json, "journal")
    }

    /// The gateway hears most of the fleet.
    pub(super) fn is_connected(&self) -> bool {
        self.json["hearing"] == "Most"
    }

    /// Its member id.
    pub(super) fn member(&self) -> u64 {
        number(&self.json, "place")
    }

    /// The members that it hears.
    pub(super) fn heard_members(&self) -> &[Value] {
        self.list("heard")
    }

    pub(super) fn hears(&self, member: u64) -> bool {
        let heard = self.heard_members().iter();
        heard.filter_map(Value::as_u64).any(|heard| heard == member)
    }

    /// The engines that it has ejected as outliers.
    pub(super) fn ejected_engines(&self) -> BTreeSet<u64> {
        let engines = self.list("engines").iter();
        engines
            .filter(|engine| engine["out"] == true)
            .filter_map(|engine| engine["engine"].as_u64())
            .collect()
    }

    pub(super) fn quota_count(&self) -> usize {
        self.list("bounds").len()
    }

    pub(super) fn quota(&self, index: usize) -> QuotaView<'_> {
        let quota = &self.json["bounds"][index];
        QuotaView {
            name: quota["name"].as_str(),
            held_units: number(quota, "held"),
            total_units: number(quota, "units"),
        }
    }

    fn list(&self, key: &str) -> &[Value] {
        self.json[key].as_array().map_or(&[], Vec::as_slice)
    }
}

fn number(json: &Value, key: &str) -> u64 {
    json[key].as_u64().unwrap_or(0)
}
