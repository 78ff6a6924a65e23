//! One gateway's view of the fleet, as `SHOW FLEET` returns it.

use std::collections::BTreeSet;

use serde_json::Value;

/// The view of one gateway. Missing keys count as 0 or empty, because gateways of other versions
/// may omit some.
#[derive(Clone, Debug)]
pub struct GatewayView {
    gateway: String,
    json: Value,
}

/// A gateway's view of one quota.
pub(super) struct QuotaView<'a> {
    pub(super) name: Option<&'a str>,
    pub(super) usable_units: u64,
    pub(super) total_units: u64,
}

impl GatewayView {
    /// Creates a view from the JSON that a gateway returned. `gateway` is its name or address.
    pub fn new(gateway: impl Into<String>, json: Value) -> GatewayView {
        GatewayView {
            gateway: gateway.into(),
            json,
        }
    }

    /// Name or address of the gateway.
    pub fn gateway(&self) -> &str {
        &self.gateway
    }

    /// The JSON as received.
    pub fn json(&self) -> &Value {
        &self.json
    }

    /// Position of the last endpoint event that the gateway has received.
    pub(super) fn watch_position(&self) -> u64 {
        number(&self.json, "journal")
    }

    /// Whether the gateway can reach a majority of the fleet.
    pub(super) fn reaches_majority(&self) -> bool {
        self.json["hearing"] == "Most"
    }

    /// Member id of the gateway.
    pub(super) fn member(&self) -> u64 {
        number(&self.json, "place")
    }

    /// Member ids that the gateway can reach.
    pub(super) fn reachable_members(&self) -> &[Value] {
        self.list("heard")
    }

    pub(super) fn can_reach(&self, member: u64) -> bool {
        let reachable = self.reachable_members().iter();
        reachable
            .filter_map(Value::as_u64)
            .any(|reachable| reachable == member)
    }

    /// Engines that the gateway has ejected as outliers.
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
            usable_units: number(quota, "held"),
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
