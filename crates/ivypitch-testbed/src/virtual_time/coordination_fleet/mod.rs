//! Simulation of the coordination of a whole fleet in virtual time: the coordination crate of many
//! gateways under a fault plan, with uneven and changing demand and with engines that fail and
//! recover. Quota use is counted where it happens, independently of what the gateways report.

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

/// Index of the quota whose demand is a level.
const LEVEL_QUOTA: QuotaIndex = QuotaIndex(0);
/// Index of the quota that is spent within a sliding window.
const WINDOW_QUOTA: QuotaIndex = QuotaIndex(1);
/// Window of the window quota.
const SPEND_WINDOW: Nanos = SECOND;
/// Duration of a quota lease.
const LEASE_DURATION: Nanos = 2 * SECOND;
/// Interval in which quotas and engines are measured.
const MEASUREMENT_INTERVAL: Nanos = 20 * MILLISECOND;

/// A fleet and its load.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of zones that the gateways are spread over.
    pub zones: usize,
    /// Number of engines.
    pub engines: usize,
    /// Simulated duration in milliseconds.
    pub duration_ms: u64,
    /// Mean time between faults in milliseconds.
    pub fault_gap_ms: u64,
    /// Mean rate of statements of a gateway, per second.
    pub statements_per_second: f64,
    /// Fraction of the datagrams that are lost.
    pub datagram_loss: f64,
    /// Whether gateways coordinate. If not, quotas are divided evenly and each gateway judges the
    /// engines alone.
    pub is_coordinated: bool,
    /// Whether one in ten gateways has ten times the demand of the others. Other gateways have it
    /// after half of the duration.
    pub has_uneven_demand: bool,
    /// Number of engines that fail from one third to two thirds of the duration.
    pub failing_engines: usize,
    /// Whether one gateway observes all engines as failing, another observes failing engines as
    /// healthy, and half of the gateways cannot reach one engine.
    pub has_faulty_gateways: bool,
    /// Whether the clocks of the gateways run at different rates.
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
    /// Total units of each quota.
    fn total_units(&self) -> u32 {
        UNITS_PER_MEMBER * self.gateways as u32
    }
}

/// Draws a fault plan for the fleet from the seed.
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

/// Runs the fleet under a fault plan. The same arguments give the same result.
pub fn run(fleet: &Fleet, plan: &FaultPlan, seed: u64) -> Verdict {
    Simulation::new(fleet, plan, seed).run()
}

/// The coordination settings of the gateways in a fleet of this size.
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
