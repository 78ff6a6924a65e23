//! The result of a simulation.

/// Violations and measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Number of measurements at which all gateways together were allowed more than the level
    /// quota.
    pub level_exceeded: u64,
    /// Number of measurements at which more than the window quota had been spent within the window.
    pub window_exceeded: u64,
    /// Maximum that all gateways together were allowed to use, as a fraction of the level quota.
    pub max_usable: f64,
    /// Maximum that was spent within a window, as a fraction of the window quota.
    pub max_spent: f64,
    /// Number of measurements at which a gateway was allowed less than its reserved minimum.
    pub below_reserved: u64,
    /// Fraction of the demand for the level quota that was usable, from 2 s after the start on.
    pub usable: f64,
    /// Milliseconds from the engines' failure until 99 % of the gateways have ejected them and send
    /// them only probes; `u64::MAX`: never.
    pub ejected_ms: u64,
    /// Milliseconds from the engines' recovery until 99 % of the gateways use them again;
    /// `u64::MAX`: never.
    pub returned_ms: u64,
    /// Maximum number of statements sent to a recovered engine in 0.24 s, relative to the usual
    /// number.
    pub max_return_load: f64,
    /// Fraction of all statements that were sent to failing engines.
    pub sent_to_failing: f64,
    /// Time for which healthy engines were ejected, in engine-seconds per gateway.
    pub falsely_ejected: f64,
    /// Bytes of gossip per gateway and second.
    pub gossip_bytes: f64,
    /// Bytes on links per gateway and second.
    pub link_bytes: f64,
    /// Number of statements sent.
    pub sent: u64,
}

impl Verdict {
    /// Whether all guarantees on quotas held.
    pub fn holds(&self) -> bool {
        self.level_exceeded + self.window_exceeded + self.below_reserved == 0
    }
}
