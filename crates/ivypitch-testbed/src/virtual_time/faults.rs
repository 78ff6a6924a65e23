//! Fault plans: drawn from a seed, printed, read back from a file, cut down to the least that still fails. The same
//! plan is played on processes and in virtual time.

use std::fmt;
use std::str::FromStr;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What happens; gateways and engines by number, zones by number, spans in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// Killed outright; it starts again after so long with nothing kept.
    Kill { gateway: usize, back: u64 },
    /// Stopped for so long, then goes on where it was.
    Stop { gateway: usize, span: u64 },
    /// Told to end; it starts again after so long.
    End { gateway: usize, back: u64 },
    /// No link between this zone and the others.
    CutZone { zone: usize, span: u64 },
    /// No link between this gateway and the others; its engines stay.
    CutOff { gateway: usize, span: u64 },
    /// Nothing from one to the other arrives; back it does.
    Mute { from: usize, to: usize, span: u64 },
    /// All from one to the other comes so much later.
    Late {
        from: usize,
        to: usize,
        by: u64,
        span: u64,
    },
    /// All links between the two break once.
    Reset { from: usize, to: usize },
    /// The engine's process dies and begins anew.
    EngineDies { engine: usize },
    /// The engine drains for so long, then serves again.
    EngineDrains { engine: usize, span: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Milliseconds from the start of the run.
    pub at: u64,
    pub what: What,
}

impl Fault {
    /// Milliseconds until it is over, or what it took away is back; `None` where nothing follows.
    pub fn span(&self) -> Option<u64> {
        match self.what {
            What::Kill { back, .. } | What::End { back, .. } => Some(back),
            What::Stop { span, .. }
            | What::CutZone { span, .. }
            | What::CutOff { span, .. }
            | What::Mute { span, .. }
            | What::Late { span, .. }
            | What::EngineDrains { span, .. } => Some(span),
            What::Reset { .. } | What::EngineDies { .. } => None,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "at={} ", self.at)?;
        match self.what {
            What::Kill { gateway, back } => write!(f, "kill gateway={gateway} back={back}"),
            What::Stop { gateway, span } => write!(f, "stop gateway={gateway} span={span}"),
            What::End { gateway, back } => write!(f, "end gateway={gateway} back={back}"),
            What::CutZone { zone, span } => write!(f, "cut-zone zone={zone} span={span}"),
            What::CutOff { gateway, span } => write!(f, "cut-off gateway={gateway} span={span}"),
            What::Mute { from, to, span } => write!(f, "mute from={from} to={to} span={span}"),
            What::Late { from, to, by, span } => {
                write!(f, "late from={from} to={to} by={by} span={span}")
            }
            What::Reset { from, to } => write!(f, "reset from={from} to={to}"),
            What::EngineDies { engine } => write!(f, "engine-dies engine={engine}"),
            What::EngineDrains { engine, span } => {
                write!(f, "engine-drains engine={engine} span={span}")
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
        let kind = words
            .iter()
            .find(|w| !w.contains('='))
            .copied()
            .unwrap_or_default();
        let what = match kind {
            "kill" => What::Kill {
                gateway: index("gateway")?,
                back: number("back")?,
            },
            "stop" => What::Stop {
                gateway: index("gateway")?,
                span: number("span")?,
            },
            "end" => What::End {
                gateway: index("gateway")?,
                back: number("back")?,
            },
            "cut-zone" => What::CutZone {
                zone: index("zone")?,
                span: number("span")?,
            },
            "cut-off" => What::CutOff {
                gateway: index("gateway")?,
                span: number("span")?,
            },
            "mute" => What::Mute {
                from: index("from")?,
                to: index("to")?,
                span: number("span")?,
            },
            "late" => What::Late {
                from: index("from")?,
                to: index("to")?,
                by: number("by")?,
                span: number("span")?,
            },
            "reset" => What::Reset {
                from: index("from")?,
                to: index("to")?,
            },
            "engine-dies" => What::EngineDies {
                engine: index("engine")?,
            },
            "engine-drains" => What::EngineDrains {
                engine: index("engine")?,
                span: number("span")?,
            },
            other => return Err(format!("{line:?}: no fault is called {other:?}")),
        };
        Ok(Fault {
            at: number("at")?,
            what,
        })
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    pub faults: Vec<Fault>,
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.faults
            .iter()
            .try_for_each(|fault| writeln!(f, "{fault}"))
    }
}

impl FromStr for Plan {
    type Err = String;

    /// A fault a line; empty lines and what follows `#` are passed over.
    fn from_str(text: &str) -> Result<Plan, String> {
        let lines = text
            .lines()
            .map(|line| line.split('#').next().unwrap_or("").trim());
        let faults = lines
            .filter(|line| !line.is_empty())
            .map(str::parse)
            .collect::<Result<_, _>>()?;
        Ok(Plan { faults })
    }
}

/// What a plan is drawn for.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    pub gateways: usize,
    pub zones: usize,
    pub engines: usize,
    /// Milliseconds; the last faults leave time for what they do to end.
    pub span: u64,
    /// Mean milliseconds between faults.
    pub gap: u64,
    /// Only gateways are killed, stopped and ended.
    pub losses_only: bool,
}

impl Plan {
    pub fn draw(field: Field, seed: u64) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed_fa17);
        let mut faults = Vec::new();
        let mut at = field.gap / 2;
        // A gateway that is away is left alone until it is back.
        let mut away = vec![0u64; field.gateways];
        while at + field.span / 6 < field.span {
            let gateway = rng.random_range(0..field.gateways);
            let other = (gateway + rng.random_range(1..field.gateways.max(2))) % field.gateways;
            let span = rng.random_range(300..3000);
            let back = [80, 400, 1500, 4000][rng.random_range(0..4usize)];
            let kinds = if field.losses_only { 4 } else { 12 };
            let what = match rng.random_range(0..kinds) {
                0 | 1 => What::Kill { gateway, back },
                2 => What::Stop {
                    gateway,
                    span: [700, 2500, 5000][rng.random_range(0..3usize)],
                },
                3 => What::End { gateway, back },
                4 => What::CutZone {
                    zone: rng.random_range(0..field.zones.max(1)),
                    span,
                },
                5 => What::CutOff { gateway, span },
                6 | 7 => What::Mute {
                    from: gateway,
                    to: other,
                    span,
                },
                8 | 9 => What::Late {
                    from: gateway,
                    to: other,
                    by: rng.random_range(20..2000),
                    span,
                },
                10 => What::Reset {
                    from: gateway,
                    to: other,
                },
                _ if rng.random_bool(0.5) => What::EngineDies {
                    engine: rng.random_range(0..field.engines),
                },
                _ => What::EngineDrains {
                    engine: rng.random_range(0..field.engines),
                    span,
                },
            };
            let until = match what {
                What::Kill { back, .. } | What::End { back, .. } => at + back + 1000,
                What::Stop { span, .. } => at + span + 1000,
                _ => 0,
            };
            if until == 0 || away[gateway] <= at {
                away[gateway] = away[gateway].max(until);
                faults.push(Fault { at, what });
            }
            at += rng.random_range(field.gap / 2..field.gap * 3 / 2 + 1);
        }
        Plan { faults }
    }

    /// The least of it that still fails: faults are left out in halves, then one by one, as long as it does. At most
    /// `most` plays.
    pub fn cut_down(&self, most: usize, mut fails: impl FnMut(&Plan) -> bool) -> Plan {
        let mut least = self.clone();
        let mut size = least.faults.len().div_ceil(2).max(1);
        let mut plays = 0;
        while plays < most && !least.faults.is_empty() {
            let mut begin = 0;
            let before = least.faults.len();
            while begin < least.faults.len() && plays < most {
                let end = (begin + size).min(least.faults.len());
                let mut fewer = least.clone();
                fewer.faults.drain(begin..end);
                plays += 1;
                if fails(&fewer) {
                    least = fewer;
                } else {
                    begin = end;
                }
            }
            if size == 1 && least.faults.len() == before {
                break;
            }
            size = (size / 2).max(1);
        }
        least
    }
}
