//! Simulation of statement ownership in a whole fleet in virtual time: the ownership crate of many
//! gateways under a fault plan, with engines that count every start by statement id and clients
//! that retry. Violations are counted at the engines and the clients, independently of the
//! gateways.

mod action;
mod clients;
mod engine;
mod event;
mod faults;
mod membership;
mod network;
mod scheduling;
mod simulation;
mod verdict;

use ivypitch_ownership::NoQuorumPolicy;

use crate::virtual_time::faults::{FaultPlan, FaultPlanParams};
use simulation::Simulation;
pub use verdict::Verdict;

/// A fleet and its load.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of zones that the gateways are spread over.
    pub zones: usize,
    /// Number of engines.
    pub engines: usize,
    /// Time in milliseconds in which clients submit statements. The run continues until all have an
    /// answer.
    pub duration_ms: u64,
    /// Mean time between statements of the whole fleet in milliseconds.
    pub statement_gap_ms: u64,
    /// Mean time between faults in milliseconds.
    pub fault_gap_ms: u64,
    /// Fraction of the statements that are bulk loads, which are not idempotent.
    pub load_fraction: f64,
    /// Whether attempts need a grant. False only for the test that shows that without grants bulk
    /// loads run twice.
    pub requires_grants: bool,
    /// What a gateway does with a statement for which it has no quorum.
    pub no_quorum: NoQuorumPolicy,
    /// Whether gateways know each other. If not, each one runs without ownership.
    pub has_peers: bool,
    /// Whether requests have a realistic size and the bytes of messages are counted.
    pub counts_bytes: bool,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            gateways: 9,
            zones: 3,
            engines: 4,
            duration_ms: 12_000,
            statement_gap_ms: 12,
            fault_gap_ms: 700,
            load_fraction: 0.4,
            requires_grants: true,
            no_quorum: NoQuorumPolicy::Reject,
            has_peers: true,
            counts_bytes: false,
        }
    }
}

/// Draws a fault plan for the fleet from the seed. With `has_only_losses`, gateways are only
/// killed, suspended and shut down.
pub fn draw_faults(fleet: &Fleet, seed: u64, has_only_losses: bool) -> FaultPlan {
    let params = FaultPlanParams {
        gateways: fleet.gateways,
        zones: fleet.zones,
        engines: fleet.engines,
        duration_ms: fleet.duration_ms,
        mean_gap_ms: fleet.fault_gap_ms,
        has_only_losses,
    };
    FaultPlan::draw(params, seed)
}

/// Runs the fleet under a fault plan. The same arguments give the same result.
pub fn run(fleet: &Fleet, plan: &FaultPlan, seed: u64) -> Verdict {
    Simulation::new(fleet, plan, seed).run()
}
