//! Fault plans: drawn from a seed, printed, read back from a file, cut down to the least that still fails. The same
//! plan is played on processes and in virtual time.

use std::fmt;
use std::str::FromStr;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What happens; gateways and engines by number, zones by number, spans in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Killed outright; it starts again after so long with nothing kept.
    Kill {
        gateway: usize,
        restart_after_ms: u64,
    },
    /// Stopped for so long, then goes on where it was.
    Suspend { gateway: usize, duration_ms: u64 },
    /// Told to end; it starts again after so long.
    ShutDown {
        gateway: usize,
        restart_after_ms: u64,
    },
    /// No link between this zone and the others.
    PartitionZone { zone: usize, duration_ms: u64 },
    /// No link between this gateway and the others; its engines stay.
    PartitionGateway { gateway: usize, duration_ms: u64 },
    /// Nothing from one to the other arrives; back it does.
    DropMessages {
        from: usize,
        to: usize,
        duration_ms: u64,
    },
    /// All from one to the other comes so much later.
    DelayMessages {
        from: usize,
        to: usize,
        delay_ms: u64,
        duration_ms: u64,
    },
    /// All links between the two break once.
    ResetLinks { from: usize, to: usize },
    /// The engine's process dies and begins anew.
    CrashEngine { engine: usize },
    /// The engine drains for so long, then serves again.
    DrainEngine { engine: usize, duration_ms: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Milliseconds from the start of the run.
    pub at_ms: u64,
    pub kind: FaultKind,
}

impl Fault {
    /// Milliseconds until it is over, or what it took away is back; `None` where nothing follows.
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
        let words: Vec<&str> = line.split_whitespace().collect();
        let number = |name: &str| {
            let value = words
                .iter()
                .find_map(|w| w.strip_prefix(name)?.strip_prefix('='));
            value
                .and_then(|v| v.parse::<u64>().ok())
                .ok_or_else(|| format!("{line:?}: {name}=NUMBER is missing"))
        };
        let index = |name: &str| number(name).map(|n| n as usize);
        let name = words
            .iter()
            .find(|w| !w.contains('='))
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

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
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

    /// A fault a line; empty lines and what follows `#` are passed over.
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

/// What a plan is drawn for.
#[derive(Clone, Copy, Debug)]
pub struct FaultPlanParams {
    pub gateways: usize,
    pub zones: usize,
    pub engines: usize,
    /// Milliseconds; the last faults leave time for what they do to end.
    pub duration_ms: u64,
    /// Mean milliseconds between faults.
    pub mean_gap_ms: u64,
    /// Only gateways are killed, stopped and ended.
    pub has_only_losses: bool,
}

impl FaultPlan {
    pub fn draw(params: FaultPlanParams, seed: u64) -> FaultPlan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed_fa17);
        let mut faults = Vec::new();
        let mut at_ms = params.mean_gap_ms / 2;
        // A gateway that is away is left alone until it is back.
        let mut down_until_ms = vec![0u64; params.gateways];
        while at_ms + params.duration_ms / 6 < params.duration_ms {
            let gateway = rng.random_range(0..params.gateways);
            let other = (gateway + rng.random_range(1..params.gateways.max(2))) % params.gateways;
            let duration_ms = rng.random_range(300..3000);
            let restart_after_ms = [80, 400, 1500, 4000][rng.random_range(0..4usize)];
            let kinds = if params.has_only_losses { 4 } else { 12 };
            let kind = match rng.random_range(0..kinds) {
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

    /// The least of it that still fails: faults are left out in halves, then one by one, as long as it does. At most
    /// `most` plays.
    pub fn minimize(
        &self,
        max_runs: usize,
        mut fails: impl FnMut(&FaultPlan) -> bool,
    ) -> FaultPlan {
        let mut minimal = self.clone();
        let mut size = minimal.faults.len().div_ceil(2).max(1);
        let mut runs = 0;
        while runs < max_runs && !minimal.faults.is_empty() {
            let mut begin = 0;
            let before = minimal.faults.len();
            while begin < minimal.faults.len() && runs < max_runs {
                let end = (begin + size).min(minimal.faults.len());
                let mut candidate = minimal.clone();
                candidate.faults.drain(begin..end);
                runs += 1;
                if fails(&candidate) {
                    minimal = candidate;
                } else {
                    begin = end;
                }
            }
            if size == 1 && minimal.faults.len() == before {
                break;
            }
            size = (size / 2).max(1);
        }
        minimal
    }
}
