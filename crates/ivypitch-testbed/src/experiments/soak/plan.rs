//! The plan of a soak run, drawn from its seed: operations on processes, engines and links with
//! their times.

use std::fmt;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::processes::restarts::ConfigurationChange;

/// A time in milliseconds.
type Ms = u64;

/// Mean time between two operations.
const OPERATION_INTERVAL_MS: Ms = 900;
/// No operation begins within this time before the end of the traffic.
const QUIET_PERIOD_AT_END_MS: Ms = 4000;
/// Minimum time from a restart or kill of a gateway to its next one.
const MIN_RESTART_INTERVAL_MS: Ms = 4500;

/// An additional signal to a draining gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainSignal {
    Term,
    Hup,
}

/// A planned restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restart {
    pub gateway: usize,
    /// How long after SIGTERM the gateway still gets new connections.
    pub new_connections_for: Ms,
    /// Additional signals with their times after SIGTERM.
    pub signals: Vec<(Ms, DrainSignal)>,
    /// The next process starts as soon as this one has ended; otherwise at the time of the SIGKILL.
    pub starts_at_once: bool,
    /// Time after which the next process gets SIGTERM while it starts; another process follows it.
    pub term_while_starting: Option<Ms>,
}

/// An operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    Restart(Restart),
    /// SIGKILL; the next process starts at once.
    Kill {
        gateway: usize,
    },
    /// SIGHUP after each of these configuration changes, `gap` apart.
    Reload {
        gateway: usize,
        changes: Vec<ConfigurationChange>,
        gap: Ms,
    },
    /// The engine drains for `span`.
    Drain {
        engine: usize,
        span: Ms,
    },
    /// The engine does not answer for `span`.
    Hang {
        engine: usize,
        span: Ms,
    },
    /// All connections between the two are reset.
    Reset {
        gateway: usize,
        engine: usize,
    },
    /// The watch on the endpoint list delivers nothing for `span`.
    SilentWatch {
        gateway: usize,
        span: Ms,
    },
    /// The gateway is partitioned from the other gateways for `span`.
    CutOff {
        gateway: usize,
        span: Ms,
    },
}

/// An operation and its time since the start of the traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOperation {
    pub at: Ms,
    pub operation: Operation,
}

/// The plan of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakPlan {
    pub has_peers: bool,
    /// Idle client connections exhaust the descriptors of the gateways.
    pub has_idle_connections: bool,
    pub span: Ms,
    pub operations: Vec<PlannedOperation>,
}

impl fmt::Display for SoakPlan {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(
            f,
            "peers={} crowd={} span={} ms",
            self.has_peers, self.has_idle_connections, self.span
        )?;
        for planned in &self.operations {
            writeln!(f, "at={} {:?}", planned.at, planned.operation)?;
        }
        Ok(())
    }
}

/// Sizes of a run.
#[derive(Clone, Copy, Debug)]
pub struct SoakSize {
    pub gateways: usize,
    pub engines: usize,
    pub span: Ms,
}

impl SoakPlan {
    /// Draws a plan. Every second seed has peers, every third one idle connections.
    pub fn draw(size: SoakSize, seed: u64) -> SoakPlan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x50a4);
        let has_peers = seed.is_multiple_of(2);
        let has_idle_connections = seed.is_multiple_of(3);
        // A silent watch reports a drain late, which is allowed; so a run has either drains or
        // silent watches.
        let has_drains = rng.random_bool(0.5);
        let mut operations = Vec::new();
        let mut next_restart_at = vec![0; size.gateways];
        let mut at = OPERATION_INTERVAL_MS;
        while at + QUIET_PERIOD_AT_END_MS < size.span {
            let gateway = rng.random_range(0..size.gateways);
            let can_restart = next_restart_at[gateway] <= at;
            let operation = draw_operation(&mut rng, size, gateway, has_peers, has_drains);
            let ends_process = matches!(operation, Operation::Restart(_) | Operation::Kill { .. });
            if can_restart || !ends_process {
                if ends_process {
                    next_restart_at[gateway] = at + MIN_RESTART_INTERVAL_MS;
                }
                operations.push(PlannedOperation { at, operation });
            }
            at += rng.random_range(OPERATION_INTERVAL_MS / 3..OPERATION_INTERVAL_MS * 5 / 3);
        }
        SoakPlan {
            has_peers,
            has_idle_connections,
            span: size.span,
            operations,
        }
    }
}

fn draw_operation(
    rng: &mut ChaCha8Rng,
    size: SoakSize,
    gateway: usize,
    has_peers: bool,
    has_drains: bool,
) -> Operation {
    let engine = rng.random_range(0..size.engines);
    match rng.random_range(0..20) {
        0..=8 => Operation::Restart(draw_restart(rng, gateway)),
        9 => Operation::Kill { gateway },
        10..=12 => Operation::Reload {
            gateway,
            changes: draw_changes(rng),
            gap: rng.random_range(0..400),
        },
        13..=14 if has_drains => Operation::Drain {
            engine,
            span: rng.random_range(800..2500),
        },
        13..=14 => Operation::SilentWatch {
            gateway,
            span: rng.random_range(500..3000),
        },
        15..=17 => Operation::Hang {
            engine,
            span: rng.random_range(200..2500),
        },
        18 if has_peers => Operation::CutOff {
            gateway,
            span: rng.random_range(200..2500),
        },
        _ => Operation::Reset { gateway, engine },
    }
}

fn draw_restart(rng: &mut ChaCha8Rng, gateway: usize) -> Restart {
    let mut signals = Vec::new();
    for _ in 0..rng.random_range(0..3) {
        let signal = if rng.random_bool(0.5) {
            DrainSignal::Term
        } else {
            DrainSignal::Hup
        };
        signals.push((rng.random_range(0..1500), signal));
    }
    signals.sort_by_key(|&(at, _)| at);
    Restart {
        gateway,
        new_connections_for: rng.random_range(200..400),
        signals,
        starts_at_once: rng.random_bool(0.5),
        term_while_starting: rng.random_bool(0.25).then(|| rng.random_range(0..80)),
    }
}

fn draw_changes(rng: &mut ChaCha8Rng) -> Vec<ConfigurationChange> {
    let kinds = [
        ConfigurationChange::Same,
        ConfigurationChange::Broken,
        ConfigurationChange::Moved,
    ];
    let count = rng.random_range(1..5);
    (0..count)
        .map(|_| kinds[rng.random_range(0..kinds.len())])
        .collect()
}
