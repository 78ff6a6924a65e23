//! Coordination of a whole fleet in virtual time: the deciding crate of many gateways over a fault plan, with demand that is
//! uneven and moves, and engines that fail and recover. Quotas are counted where they are used, not by what any gateway says.

mod engines;
mod event;
mod faults;
mod gateway;
mod membership;
mod network;
mod quotas;
mod simulation;
mod verdict;

use ivypitch_coordination::{
    CoordinationConfig, QuotaIndex, QuotaLeaseConfig, SharedQuotaConfig, UNITS_PER_MEMBER,
};
use ivypitch_types::{MILLISECOND, Nanos, SECOND};

use crate::virtual_time::faults::{FaultPlan, FaultPlanParams};
use simulation::Simulation;
pub use verdict::Verdict;

/// The quota whose demand is a level.
const LEVEL_QUOTA: QuotaIndex = QuotaIndex(0);
/// The quota that is spent over a window.
const WINDOW_QUOTA: QuotaIndex = QuotaIndex(1);
const SPEND_WINDOW: Nanos = SECOND;
const LEASE_DURATION: Nanos = 2 * SECOND;
/// How often quotas and engines are counted.
const STEP: Nanos = 20 * MILLISECOND;

/// A fleet and its load.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of zones that the gateways are spread over.
    pub zones: usize,
    /// Number of engines.
    pub engines: usize,
    /// Milliseconds that are simulated.
    pub duration_ms: u64,
    /// Mean milliseconds between faults.
    pub fault_gap_ms: u64,
    /// Statements a second of a gateway in the mean.
    pub statements_per_second: f64,
    /// Part of the datagrams that are lost.
    pub datagram_loss: f64,
    /// False: even quotas, and engines judged by each gateway alone.
    pub is_coordinated: bool,
    /// One in ten gateways has ten times the demand of the others; which ones changes in the middle.
    pub has_uneven_demand: bool,
    /// Engines that fail from a third of the duration to two thirds.
    pub failing_engines: usize,
    /// One gateway sees all engines as failing, another sees failing ones as healthy, half cannot reach one engine.
    pub has_faulty_gateways: bool,
    /// Clocks of gateways run at different rates.
    pub has_clock_drift: bool,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            gateways: 30,
            zones: 3,
            engines: 20,
            duration_ms: 9_000,
            fault_gap_ms: 700,
            statements_per_second: 20.0,
            datagram_loss: 0.05,
            is_coordinated: true,
            has_uneven_demand: true,
            failing_engines: 2,
            has_faulty_gateways: false,
            has_clock_drift: true,
        }
    }
}

impl Fleet {
    /// Units of each quota.
    fn total_units(&self) -> u32 {
        UNITS_PER_MEMBER * self.gateways as u32
    }
}

/// Draws a fault plan for this fleet.
pub fn draw_faults(fleet: &Fleet, seed: u64) -> FaultPlan {
    let params = FaultPlanParams {
        gateways: fleet.gateways,
        zones: fleet.zones,
        engines: fleet.engines,
        duration_ms: fleet.duration_ms,
        mean_gap_ms: fleet.fault_gap_ms,
        has_only_losses: false,
    };
    FaultPlan::draw(params, seed)
}

/// Runs the fleet over a fault plan.
pub fn run(fleet: &Fleet, plan: &FaultPlan, seed: u64) -> Verdict {
    Simulation::new(fleet, plan, seed).run()
}

/// The gateways' configuration in a fleet of this size.
pub fn config(gateways: usize) -> CoordinationConfig {
    let quota = |name: &str, window| SharedQuotaConfig {
        name: name.into(),
        leases: QuotaLeaseConfig {
            total_units: UNITS_PER_MEMBER * gateways as u32,
            member_count: gateways as u16,
            reserved_fraction: 0.1,
            spend_window: window,
            lease_duration: LEASE_DURATION,
            max_clock_drift: 0.01,
        },
        demand_window: window,
    };
    CoordinationConfig {
        quotas: vec![quota("level", 0), quota("window", SPEND_WINDOW)],
        gossip_bytes_per_second: 40_000.0,
        max_engines: 200,
        max_events: 256,
        max_event_bytes: 1 << 20,
    }
}
