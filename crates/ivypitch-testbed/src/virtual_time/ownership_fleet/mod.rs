//! Ownership of statements by a whole fleet in virtual time: the deciding crate of many gateways over a fault plan, with
//! engines that count every start by id and clients that come back. What engines and clients counted is the verdict.

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
    /// Milliseconds in which clients submit statements; the run goes on until all have their answer.
    pub duration_ms: u64,
    /// Mean milliseconds between statements, of the whole fleet.
    pub statement_gap_ms: u64,
    /// Mean milliseconds between faults.
    pub fault_gap_ms: u64,
    /// Part of the statements that are loads, which are not idempotent.
    pub load_fraction: f64,
    /// False: loads are dispatched without a grant, for the test that shows what it is for.
    pub requires_grants: bool,
    /// What a gateway without a quorum does.
    pub no_quorum: NoQuorumPolicy,
    /// False: as without peers.
    pub has_peers: bool,
    /// Requests have a realistic size, and messages are counted in bytes.
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

/// The fault plan of a run of this fleet. With `losses_only` gateways are lost and nothing else happens.
pub fn draw_faults(fleet: &Fleet, seed: u64, losses_only: bool) -> FaultPlan {
    let params = FaultPlanParams {
        gateways: fleet.gateways,
        zones: fleet.zones,
        engines: fleet.engines,
        duration_ms: fleet.duration_ms,
        mean_gap_ms: fleet.fault_gap_ms,
        has_only_losses: losses_only,
    };
    FaultPlan::draw(params, seed)
}

/// Runs the fleet over the plan. The same arguments give the same verdict.
pub fn run(fleet: &Fleet, plan: &FaultPlan, seed: u64) -> Verdict {
    Simulation::new(fleet, plan, seed).run()
}
