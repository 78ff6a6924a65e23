//! Resource use of a process by the kernel's counters; CPU time and memory each from two sources, for comparison.

use std::fs;
use std::path::Path;
use std::time::Instant;

use crate::processes::relay::LinkTotals;

/// Resource use of one process at one time.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    pub at: Instant,
    /// CPU time since the start by `schedstat`, summed over the threads.
    pub cpu_ns: u64,
    /// CPU time since the start by `stat`, in steps of 10 ms.
    pub cpu_ticks_ns: u64,
    /// Resident memory by `status`.
    pub resident_bytes: u64,
    /// Resident memory summed over the mappings.
    pub mapped_resident_bytes: u64,
    pub descriptors: u64,
}

/// Resolution of the CPU time in `stat`.
pub const TICK_NS: u64 = 10_000_000;

/// The first number of a text.
fn number(text: &str) -> Option<u64> {
    text.split_whitespace().find_map(|word| word.parse().ok())
}

/// Bytes of the line with this prefix, which has kilobytes.
fn read_bytes(file: &Path, prefix: &str) -> Option<u64> {
    let text = fs::read_to_string(file).ok()?;
    text.lines()
        .find_map(|line| number(line.strip_prefix(prefix)?))
        .map(|kilobytes| kilobytes << 10)
}

/// The most memory that a process has had resident so far; `None`: it has ended.
pub fn peak_resident_bytes(pid: u32) -> Option<u64> {
    let proc = Path::new("/proc").join(pid.to_string());
    read_bytes(&proc.join("status"), "VmHWM:")
}

/// CPU time of a process by `stat`, over all its threads.
pub fn cpu_ticks_ns(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let rest: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = rest.get(11)?.parse::<u64>().ok()? + rest.get(12)?.parse::<u64>().ok()?;
    Some(ticks * TICK_NS)
}

impl Usage {
    /// Reads the counters of a process; `None`: it has ended.
    pub fn of(pid: u32) -> Option<Usage> {
        let proc = Path::new("/proc").join(pid.to_string());
        let threads = fs::read_dir(proc.join("task")).ok()?;
        let thread_cpu_ns = |thread: fs::DirEntry| {
            fs::read_to_string(thread.path().join("schedstat"))
                .ok()
                .and_then(|text| number(&text))
        };
        Some(Usage {
            at: Instant::now(),
            cpu_ns: threads.flatten().filter_map(thread_cpu_ns).sum(),
            cpu_ticks_ns: cpu_ticks_ns(pid)?,
            resident_bytes: read_bytes(&proc.join("status"), "VmRSS:")?,
            mapped_resident_bytes: read_bytes(&proc.join("smaps_rollup"), "Rss:")?,
            descriptors: fs::read_dir(proc.join("fd")).ok()?.flatten().count() as u64,
        })
    }
}

/// Traffic by a gateway's own counters, without that of clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayTraffic {
    pub bytes_out: u64,
    pub bytes_in: u64,
    pub to_engines: u64,
    pub from_engines: u64,
}

impl GatewayTraffic {
    /// Reads the counters from the view in a row of `SHOW FLEET`.
    pub fn read(view: &serde_json::Value) -> Option<GatewayTraffic> {
        let traffic = view.get("traffic")?.as_object()?;
        let total = |name: &str| {
            traffic
                .values()
                .filter_map(|kind| kind[name].as_u64())
                .sum::<u64>()
        };
        let engines = |name: &str| traffic.get("engines").and_then(|kind| kind[name].as_u64());
        Some(GatewayTraffic {
            bytes_out: total("bytes_out"),
            bytes_in: total("bytes_in"),
            to_engines: engines("bytes_out")?,
            from_engines: engines("bytes_in")?,
        })
    }
}

/// Resource use and traffic of one gateway at one time.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub usage: Usage,
    pub traffic: GatewayTraffic,
    pub relay: LinkTotals,
    /// Traffic with engines by the counters of the simulated engines.
    pub engines: EngineTraffic,
    /// Number of members that it logged as lost since its start.
    pub lost_members: u64,
}

/// Traffic of one gateway with all simulated engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineTraffic {
    pub starts: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// Open connections.
    pub open: u64,
}
