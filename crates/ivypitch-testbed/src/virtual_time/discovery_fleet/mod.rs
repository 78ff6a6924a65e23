//! Simulation of the delivery of endpoint list changes to a whole fleet in virtual time: the real
//! watch of each gateway over connections with segment loss and restarts, with a region partitioned
//! or a zone lost, from servers that share the connections evenly. Measured is the time from a
//! change at the discovery service until each reachable gateway has applied it.
//!
//! Assumptions: a lost segment is sent again after 0.2 s, with twice the delay after each further
//! loss, and delays the segments behind it; a connection without data for 2 s is closed
//! (`actors/discovery.rs`); the scheduler's actor applies changes one after the other and takes
//! [`Fleet::apply_change`] for each; a restarted gateway reads the whole list first and then all
//! changes after it.

mod gateway;
mod network;
mod simulation;

use ivypitch_types::Nanos;

use simulation::Simulation;

/// The time of an outage, in seconds after the first change.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Begin of the outage.
    pub from_second: u64,
    /// End of the outage.
    pub until_second: u64,
}

/// A fleet, the servers of the discovery service, and faults.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of zones that the gateways are spread over.
    pub zones: usize,
    /// Number of regions that the zones are spread over.
    pub regions: usize,
    /// Number of servers of the discovery service.
    pub servers: usize,
    /// Bandwidth of a server, in bytes per second.
    pub server_bytes_per_second: f64,
    /// Fraction of the segments that are lost.
    pub segment_loss: f64,
    /// Duration in seconds; each second has at least one change.
    pub seconds: u64,
    /// Number of changes in every tenth second.
    pub burst: usize,
    /// Size of a change of one row, in bytes.
    pub change_bytes: u64,
    /// Size of the whole list, in bytes.
    pub list_bytes: u64,
    /// Number of rows of a zone, which change at once when the zone is lost and when it returns.
    pub zone_rows: u64,
    /// Time that a gateway takes to apply a change.
    pub apply_change: Nanos,
    /// Time that a gateway takes to apply the whole list.
    pub apply_list: Nanos,
    /// Rate of gateway restarts, per second.
    pub restarts_per_second: f64,
    /// Outage of region 0, in which its gateways are partitioned from the discovery service.
    pub region_outage: Option<Outage>,
    /// Outage of zone 1, in which its gateways and engines are down.
    pub zone_outage: Option<Outage>,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Number of changes.
    pub changes: u64,
    /// Latency of each change at each reachable gateway in milliseconds, sorted.
    pub latencies_ms: Vec<u32>,
    /// Number of gateways that have not applied the last change at the end.
    pub behind: u64,
    /// Number of gateway restarts.
    pub restarts: u64,
    /// Bytes that all servers sent.
    pub sent_bytes: u64,
    /// Maximum of bytes that one server sent in one second.
    pub peak_server_bytes: u64,
    /// Number of connections that were opened.
    pub connects: u64,
    /// Maximum number of connections that were opened in one second.
    pub peak_connects: u64,
}

impl Verdict {
    /// The quantile of the latencies, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> u32 {
        let last = self.latencies_ms.len().saturating_sub(1);
        let index = (last as f64 * quantile).round() as usize;
        self.latencies_ms.get(index).copied().unwrap_or(0)
    }
}

/// Runs the fleet. The same arguments give the same result.
pub fn run(fleet: Fleet, seed: u64) -> Verdict {
    Simulation::new(fleet, seed).run()
}
