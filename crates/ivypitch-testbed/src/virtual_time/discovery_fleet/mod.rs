//! Changes of the endpoint list on their way to a whole fleet in virtual time: each gateway's real watch over connections with
//! loss and restarts, with a region partitioned or a zone lost, from servers that share the connections evenly. Counted is the
//! time from an event at the discovery service until each gateway that can be reached has applied it.
//!
//! Taken as given: a lost segment is sent again after 0.2 s, after twice that when lost again, and so on, and holds up what is
//! behind it; a connection on which nothing arrives for 2 s is closed (`actors/discovery.rs`); the scheduler's actor takes
//! [`Fleet::apply_change`] for each change, one after the other; a gateway that restarts reads the whole list first, and then
//! all changes behind it.

mod gateway;
mod network;
mod simulation;

use ivypitch_types::Nanos;

use simulation::Simulation;

/// Seconds of the run in which something is out.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Its begin.
    pub from_second: u64,
    /// Its end.
    pub until_second: u64,
}

/// A fleet, its servers and its faults.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of zones that they are spread over.
    pub zones: usize,
    /// Number of regions that the zones are spread over.
    pub regions: usize,
    /// Machines that serve the watch.
    pub servers: usize,
    /// What each of them can send.
    pub server_bytes_per_second: f64,
    /// Part of the segments that are lost.
    pub segment_loss: f64,
    /// Seconds with a change in each.
    pub seconds: u64,
    /// Changes in every tenth of them.
    pub burst: usize,
    /// Size of a change of one row.
    pub change_bytes: u64,
    /// Size of the whole list.
    pub list_bytes: u64,
    /// Rows of a zone, which change at once as it is lost and as it is back.
    pub zone_rows: u64,
    /// Time to apply a change.
    pub apply_change: Nanos,
    /// Time to apply the whole list.
    pub apply_list: Nanos,
    /// Restarts of gateways a second.
    pub restarts_per_second: f64,
    /// Region 0 reaches nobody.
    pub region_outage: Option<Outage>,
    /// Zone 1 is gone.
    pub zone_outage: Option<Outage>,
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Changes that were made.
    pub changes: u64,
    /// Milliseconds, sorted: each change at each gateway that could be reached.
    pub latencies_ms: Vec<u32>,
    /// Gateways that have not applied the last change at the end.
    pub behind: u64,
    /// Restarts of gateways.
    pub restarts: u64,
    /// Bytes from all servers.
    pub sent_bytes: u64,
    /// Bytes of the busiest server in its busiest second.
    pub peak_server_bytes: u64,
    /// Connections that were opened.
    pub connects: u64,
    /// Connections in the busiest second.
    pub peak_connects: u64,
}

impl Verdict {
    /// The latency in milliseconds that this part of all does not exceed.
    pub fn latency_ms(&self, quantile: f64) -> u32 {
        let last = self.latencies_ms.len().saturating_sub(1);
        let index = (last as f64 * quantile).round() as usize;
        self.latencies_ms.get(index).copied().unwrap_or(0)
    }
}

/// Runs the fleet.
pub fn run(fleet: Fleet, seed: u64) -> Verdict {
    Simulation::new(fleet, seed).run()
}
