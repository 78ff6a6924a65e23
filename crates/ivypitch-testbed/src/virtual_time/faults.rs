//! Fault plans: drawn from a seed, printed, parsed from a file and minimized to the faults that
//! still make a run fail. The same plan is applied to processes and to simulations in virtual time.

use std::fmt;
use std::str::FromStr;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The kind of a fault. Gateways, engines and zones are given by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The gateway's process is killed; a new one starts after `restart_after_ms` without any
    /// state.
    Kill {
        gateway: usize,
        restart_after_ms: u64,
    },
    /// The gateway's process is suspended for `duration_ms` and then resumes with its state.
    Suspend { gateway: usize, duration_ms: u64 },
    /// The gateway is asked to shut down; a new process starts after `restart_after_ms`.
    ShutDown {
        gateway: usize,
        restart_after_ms: u64,
    },
    /// The links between this zone and the other zones are cut.
    PartitionZone { zone: usize, duration_ms: u64 },
    /// The links between this gateway and the other gateways are cut; its engines stay reachable.
    PartitionGateway { gateway: usize, duration_ms: u64 },
    /// Messages from one gateway to another are lost; the opposite direction works.
    DropMessages {
        from: usize,
        to: usize,
        duration_ms: u64,
    },
    /// Messages from one gateway to another arrive `delay_ms` later.
    DelayMessages {
        from: usize,
        to: usize,
        delay_ms: u64,
        duration_ms: u64,
    },
    /// All links between the two gateways are reset once.
    ResetLinks { from: usize, to: usize },
    /// The engine's process crashes and a new one starts.
    CrashEngine { engine: usize },
    /// The engine drains for `duration_ms` and then serves again.
    DrainEngine { engine: usize, duration_ms: u64 },
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Milliseconds from the start of the run.
    pub at_ms: u64,
    /// The kind of the fault.
    pub kind: FaultKind,
}

impl Fault {
    /// Milliseconds until the fault ends or its gateway restarts; `None` for a fault without an
    /// end.
    pub fn duration_ms(&self) -> Option<u64> {
        match self.kind {
            FaultKind::Kill {
                restart_after_ms, ..
            }
            | FaultKind::ShutDown {
                restart_after_ms, ..
            } => Some(restart_after_ms),
            FaultKind::Suspend { duration_ms, .. }
            | FaultKind::PartitionZone { duration_ms, .. }
            | FaultKind::PartitionGateway { duration_ms, .. }
            | FaultKind::DropMessages { duration_ms, .. }
            | FaultKind::DelayMessages { duration_ms, .. }
            | FaultKind::DrainEngine { duration_ms, .. } => Some(duration_ms),
            FaultKind::ResetLinks { .. } | FaultKind::CrashEngine { .. } => None,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "at={} ", self.at_ms)?;
        match self.kind {
            FaultKind::Kill {
                gateway,
                restart_after_ms,
            } => write!(f, "kill gateway={gateway} back={restart_after_ms}"),
            FaultKind::Suspend {
                gateway,
                duration_ms,
            } => write!(f, "stop gateway={gateway} span={duration_ms}"),
            FaultKind::ShutDown {
                gateway,
                restart_after_ms,
            } => write!(f, "end gateway={gateway} back={restart_after_ms}"),
            FaultKind::PartitionZone { zone, duration_ms } => {
                write!(f, "cut-zone zone={zone} span={duration_ms}")
            }
            FaultKind::PartitionGateway {
                gateway,
                duration_ms,
            } => write!(f, "cut-off gateway={gateway} span={duration_ms}"),
            FaultKind::DropMessages {
                from,
                to,
                duration_ms,
            } => write!(f, "mute from={from} to={to} span={duration_ms}"),
            FaultKind::DelayMessages {
                from,
                to,
                delay_ms,
                duration_ms,
            } => {
                write!(
                    f,
                    "late from={from} to={to} by={delay_ms} span={duration_ms}"
                )
            }
            FaultKind::ResetLinks { from, to } => write!(f, "reset from={from} to={to}"),
            FaultKind::CrashEngine { engine } => write!(f, "engine-dies engine={engine}"),
            FaultKind::DrainEngine {
                engine,
                duration_ms,
            } => {
                write!(f, "engine-drains engine={engine} span={duration_ms}")
            }
        }
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(line: &str) -> Result<Fault, String> {
        let tokens: Vec<&str> = line.split_whitespace().collect();
        let number = |name: &str| {
            let value = tokens
                .iter()
                .find_map(|token| token.strip_prefix(name)?.strip_prefix('='));
            value
                .and_then(|v| v.parse::<u64>().ok())
                .ok_or_else(|| format!("{line:?}: {name}=NUMBER is missing"))
        };
        let index = |name: &str| number(name).map(|n| n as usize);
        let name = tokens
            .iter()
            .find(|token| !token.contains('='))
            .copied()
            .unwrap_or_default();
        let kind = match name {
            "kill" => FaultKind::Kill {
                gateway: index("gateway")?,
                restart_after_ms: number("back")?,
            },
            "stop" => FaultKind::Suspend {
                gateway: index("gateway")?,
                duration_ms: number("span")?,
            },
            "end" => FaultKind::ShutDown {
                gateway: index("gateway")?,
                restart_after_ms: number("back")?,
            },
            "cut-zone" => FaultKind::PartitionZone {
                zone: index("zone")?,
                duration_ms: number("span")?,
            },
            "cut-off" => FaultKind::PartitionGateway {
                gateway: index("gateway")?,
                duration_ms: number("span")?,
            },
            "mute" => FaultKind::DropMessages {
                from: index("from")?,
                to: index("to")?,
                duration_ms: number("span")?,
            },
            "late" => FaultKind::DelayMessages {
                from: index("from")?,
                to: index("to")?,
                delay_ms: number("by")?,
                duration_ms: number("span")?,
            },
            "reset" => FaultKind::ResetLinks {
                from: index("from")?,
                to: index("to")?,
            },
            "engine-dies" => FaultKind::CrashEngine {
                engine: index("engine")?,
            },
            "engine-drains" => FaultKind::DrainEngine {
                engine: index("engine")?,
                duration_ms: number("span")?,
            },
            other => return Err(format!("{line:?}: no fault is called {other:?}")),
        };
        Ok(Fault {
            at_ms: number("at")?,
            kind,
        })
    }
}

/// The faults of a run, in order of time. Written and parsed as one line per fault.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// The faults.
    pub faults: Vec<Fault>,
}

impl fmt::Display for FaultPlan {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.faults
            .iter()
            .try_for_each(|fault| writeln!(f, "{fault}"))
    }
}

impl FromStr for FaultPlan {
    type Err = String;

    /// Parses one fault per line; empty lines and text after `#` are ignored.
    fn from_str(text: &str) -> Result<FaultPlan, String> {
        let lines = text
            .lines()
            .map(|line| line.split('#').next().unwrap_or("").trim());
        let faults = lines
            .filter(|line| !line.is_empty())
            .map(str::parse)
            .collect::<Result<_, _>>()?;
        Ok(FaultPlan { faults })
    }
}

/// The fleet and the intensity for which a plan is drawn.
#[derive(Clone, Copy, Debug)]
pub struct FaultPlanParams {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of engines.
    pub engines: usize,
    /// Duration of the run in milliseconds. Its last sixth has no new faults, so that earlier ones
    /// can end.
    pub duration_ms: u64,
    /// Mean time between faults in milliseconds.
    pub mean_gap_ms: u64,
    /// Whether gateways are only killed, suspended and shut down.
    pub has_only_losses: bool,
}

impl FaultPlan {
    /// Draws a plan from the seed.
    pub fn draw(params: FaultPlanParams, seed: u64) -> FaultPlan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed_fa17);
        let mut faults = Vec::new();
        let mut at_ms = params.mean_gap_ms / 2;
        // A gateway that is down gets no further process faults until it has run again for 1 s.
        let mut down_until_ms = vec![0u64; params.gateways];
        while at_ms + params.duration_ms / 6 < params.duration_ms {
            let gateway = rng.random_range(0..params.gateways);
            let other = (gateway + rng.random_range(1..params.gateways.max(2))) % params.gateways;
            let duration_ms = rng.random_range(300..3000);
            let restart_after_ms = [80, 400, 1500, 4000][rng.random_range(0..4usize)];
            let kind_count = if params.has_only_losses { 4 } else { 12 };
            let kind = match rng.random_range(0..kind_count) {
                0 | 1 => FaultKind::Kill {
                    gateway,
                    restart_after_ms,
                },
                2 => FaultKind::Suspend {
                    gateway,
                    duration_ms: [700, 2500, 5000][rng.random_range(0..3usize)],
                },
                3 => FaultKind::ShutDown {
                    gateway,
                    restart_after_ms,
                },
                4 => FaultKind::PartitionZone {
                    zone: rng.random_range(0..params.zones.max(1)),
                    duration_ms,
                },
                5 => FaultKind::PartitionGateway {
                    gateway,
                    duration_ms,
                },
                6 | 7 => FaultKind::DropMessages {
                    from: gateway,
                    to: other,
                    duration_ms,
                },
                8 | 9 => FaultKind::DelayMessages {
                    from: gateway,
                    to: other,
                    delay_ms: rng.random_range(20..2000),
                    duration_ms,
                },
                10 => FaultKind::ResetLinks {
                    from: gateway,
                    to: other,
                },
                _ if rng.random_bool(0.5) => FaultKind::CrashEngine {
                    engine: rng.random_range(0..params.engines),
                },
                _ => FaultKind::DrainEngine {
                    engine: rng.random_range(0..params.engines),
                    duration_ms,
                },
            };
            let until_ms = match kind {
                FaultKind::Kill {
                    restart_after_ms, ..
                }
                | FaultKind::ShutDown {
                    restart_after_ms, ..
                } => at_ms + restart_after_ms + 1000,
                FaultKind::Suspend { duration_ms, .. } => at_ms + duration_ms + 1000,
                _ => 0,
            };
            if until_ms == 0 || down_until_ms[gateway] <= at_ms {
                down_until_ms[gateway] = down_until_ms[gateway].max(until_ms);
                faults.push(Fault { at_ms, kind });
            }
            at_ms += rng.random_range(params.mean_gap_ms / 2..params.mean_gap_ms * 3 / 2 + 1);
        }
        FaultPlan { faults }
    }

    /// Returns a smaller plan that still fails: leaves out ever smaller groups of faults, from
    /// halves to single ones, as long as the run fails without them. Uses at most `max_runs` runs.
    pub fn minimize(
        &self,
        max_runs: usize,
        mut fails: impl FnMut(&FaultPlan) -> bool,
    ) -> FaultPlan {
        let mut minimal = self.clone();
        let mut group_size = minimal.faults.len().div_ceil(2).max(1);
        let mut runs = 0;
        while runs < max_runs && !minimal.faults.is_empty() {
            let mut start = 0;
            let faults_before = minimal.faults.len();
            while start < minimal.faults.len() && runs < max_runs {
                let end = (start + group_size).min(minimal.faults.len());
                let mut candidate = minimal.clone();
                candidate.faults.drain(start..end);
                runs += 1;
                if fails(&candidate) {
                    minimal = candidate;
                } else {
                    start = end;
                }
            }
            if group_size == 1 && minimal.faults.len() == faults_before {
                break;
            }
            group_size = (group_size / 2).max(1);
        }
        minimal
    }
}
