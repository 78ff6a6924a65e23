//! The plan of a run, drawn from its seed: what happens to which process, engine and link, and when.

use std::fmt;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::processes::restarts::ConfigurationChange;

/// Milliseconds.
type Ms = u64;

/// Mean time between two operations.
const OPERATION_GAP: Ms = 900;
/// Nothing new begins so long before the end of the traffic.
const QUIET_END: Ms = 4000;
/// A gateway that was restarted or killed is left alone for so long.
const REST: Ms = 4500;

/// A further signal to a gateway that drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainSignal {
    Term,
    Hup,
}

/// A planned restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restart {
    pub gateway: usize,
    /// New connections go on coming for so long after SIGTERM.
    pub new_connections_for: Ms,
    /// Further signals, each so long after SIGTERM.
    pub signals: Vec<(Ms, DrainSignal)>,
    /// The next process starts as soon as this one has ended, or not before the time of the kill.
    pub starts_at_once: bool,
    /// The next process gets SIGTERM so long after its start, and another follows.
    pub term_while_starting: Option<Ms>,
}

/// What happens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    Restart(Restart),
    /// Killed outright; the next process starts at once.
    Kill {
        gateway: usize,
    },
    /// SIGHUP after each of these changes, so far apart.
    Reload {
        gateway: usize,
        changes: Vec<ConfigurationChange>,
        gap: Ms,
    },
    /// The engine drains for so long.
    Drain {
        engine: usize,
        span: Ms,
    },
    /// The engine answers nothing for so long.
    Hang {
        engine: usize,
        span: Ms,
    },
    /// All links between the two break.
    Reset {
        gateway: usize,
        engine: usize,
    },
    /// The watch on the endpoint list says nothing for so long.
    SilentWatch {
        gateway: usize,
        span: Ms,
    },
    /// No link between this gateway and the others.
    CutOff {
        gateway: usize,
        span: Ms,
    },
}

/// An operation and its time from the start of the traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOperation {
    pub at: Ms,
    pub operation: Operation,
}

/// The plan of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakPlan {
    pub has_peers: bool,
    /// Idle clients fill the gateways' descriptors.
    pub has_crowd: bool,
    pub span: Ms,
    pub operations: Vec<PlannedOperation>,
}

impl fmt::Display for SoakPlan {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(
            f,
            "peers={} crowd={} span={} ms",
            self.has_peers, self.has_crowd, self.span
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
    /// Every second seed has peers, every third a crowd.
    pub fn draw(size: SoakSize, seed: u64) -> SoakPlan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x50a4);
        let has_peers = seed.is_multiple_of(2);
        let has_crowd = seed.is_multiple_of(3);
        // A watch that is silent learns of a drain late, as it may: a run has the one or the other.
        let has_drains = rng.random_bool(0.5);
        let mut operations = Vec::new();
        let mut free_at = vec![0; size.gateways];
        let mut at = OPERATION_GAP;
        while at + QUIET_END < size.span {
            let gateway = rng.random_range(0..size.gateways);
            let is_free = free_at[gateway] <= at;
            let operation = draw_operation(&mut rng, size, gateway, has_peers, has_drains);
            let ends_process = matches!(operation, Operation::Restart(_) | Operation::Kill { .. });
            if is_free || !ends_process {
                if ends_process {
                    free_at[gateway] = at + REST;
                }
                operations.push(PlannedOperation { at, operation });
            }
            at += rng.random_range(OPERATION_GAP / 3..OPERATION_GAP * 5 / 3);
        }
        SoakPlan {
            has_peers,
            has_crowd,
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
