//! What a simulation came to.

/// What was counted while the fleet ran.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Instants at which all gateways together might use more than the level quota.
    pub level_exceeded: u64,
    /// Instants at which more than the window quota was spent within a window.
    pub window_exceeded: u64,
    /// The most that all gateways together might use, as a part of the level quota.
    pub max_usable: f64,
    /// The most that was spent within a window, as a part of the window quota.
    pub max_spent: f64,
    /// Instants at which a gateway might use less than its reserved minimum.
    pub below_reserved: u64,
    /// Part of the demand that could be used, from 2 s on.
    pub usable: f64,
    /// Milliseconds from an engine's failure until 99 in 100 gateways send it nothing but probes;
    /// `u64::MAX`: never.
    pub ejected_ms: u64,
    /// Milliseconds from its recovery until 99 in 100 use it again; `u64::MAX`: never.
    pub returned_ms: u64,
    /// The most that was sent to a recovered engine in a quarter second, over its usual.
    pub max_return_load: f64,
    /// Statements sent to a failing engine, as a part of all.
    pub sent_to_failing: f64,
    /// Engines that some gateway ejected though nothing was wrong, in engine-seconds a gateway.
    pub falsely_ejected: f64,
    /// Bytes of gossip a gateway a second.
    pub gossip_bytes: f64,
    /// Bytes on links a gateway a second.
    pub link_bytes: f64,
    /// Statements sent.
    pub sent: u64,
}

impl Verdict {
    /// Whether every guarantee held.
    pub fn holds(&self) -> bool {
        self.level_exceeded + self.window_exceeded + self.below_reserved == 0
    }
}
