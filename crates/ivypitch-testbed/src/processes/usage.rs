//! What a process uses, as the system counts it; each figure from two of its files, to be laid beside each other.

use std::fs;
use std::path::Path;
use std::time::Instant;

use crate::processes::relay::LinkTotals;

/// Of one process at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    pub at: Instant,
    /// Nanoseconds of processor time since its start, by the scheduler's count over its threads.
    pub cpu_ns: u64,
    /// The same by `stat`, in steps of 10 ms.
    pub cpu_ticks_ns: u64,
    /// Resident bytes by `status`, and by the sum over its mappings.
    pub resident_bytes: u64,
    pub mapped_resident_bytes: u64,
    pub descriptors: u64,
}

/// One step of `stat`.
pub const TICK_NS: u64 = 10_000_000;

fn number(text: &str) -> Option<u64> {
    text.split_whitespace().find_map(|word| word.parse().ok())
}

/// A line that begins so, in kilobytes.
fn kilobytes(file: &Path, begins: &str) -> Option<u64> {
    let text = fs::read_to_string(file).ok()?;
    text.lines()
        .find_map(|line| number(line.strip_prefix(begins)?))
        .map(|kilobytes| kilobytes << 10)
}

/// Processor time of a process by `stat`, of all its threads.
pub fn cpu_ticks_ns(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let rest: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = rest.get(11)?.parse::<u64>().ok()? + rest.get(12)?.parse::<u64>().ok()?;
    Some(ticks * TICK_NS)
}

impl Usage {
    /// `None`: it has ended.
    pub fn of(pid: u32) -> Option<Usage> {
        let proc = Path::new("/proc").join(pid.to_string());
        let threads = fs::read_dir(proc.join("task")).ok()?;
        let ran = |thread: fs::DirEntry| {
            fs::read_to_string(thread.path().join("schedstat"))
                .ok()
                .and_then(|text| number(&text))
        };
        Some(Usage {
            at: Instant::now(),
            cpu_ns: threads.flatten().filter_map(ran).sum(),
            cpu_ticks_ns: cpu_ticks_ns(pid)?,
            resident_bytes: kilobytes(&proc.join("status"), "VmRSS:")?,
            mapped_resident_bytes: kilobytes(&proc.join("smaps_rollup"), "Rss:")?,
            descriptors: fs::read_dir(proc.join("fd")).ok()?.flatten().count() as u64,
        })
    }
}

/// What a gateway counted itself, clients apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayTraffic {
    pub bytes_out: u64,
    pub bytes_in: u64,
    pub to_engines: u64,
    pub from_engines: u64,
}

impl GatewayTraffic {
    /// Of the row of `SHOW FLEET`.
    pub fn read(view: &serde_json::Value) -> Option<GatewayTraffic> {
        let traffic = view.get("traffic")?.as_object()?;
        let all = |name: &str| {
            traffic
                .values()
                .filter_map(|kind| kind[name].as_u64())
                .sum::<u64>()
        };
        let engines = |name: &str| traffic.get("engines").and_then(|kind| kind[name].as_u64());
        Some(GatewayTraffic {
            bytes_out: all("bytes_out"),
            bytes_in: all("bytes_in"),
            to_engines: engines("bytes_out")?,
            from_engines: engines("bytes_in")?,
        })
    }
}

/// All that is known of one gateway at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub usage: Usage,
    pub traffic: GatewayTraffic,
    pub relay: LinkTotals,
    /// By what the hollow engines counted.
    pub engines: EngineTraffic,
    /// Members that it told as lost since its start.
    pub lost_members: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct EngineTraffic {
    pub starts: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub open: u64,
}
