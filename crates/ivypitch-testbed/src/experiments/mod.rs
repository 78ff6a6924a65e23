//! The experiments: each plays its runs, prints their figures beside the bounds that must hold, and tells whether
//! all hold.

pub mod custody;
pub mod custody_cost;
pub mod fleet_cut;
pub mod gateway_loss;
pub mod members;
pub mod scale;
pub mod shares;
pub mod soak;
pub mod team_flood;

use crate::report::Report;

pub struct Experiment {
    pub name: &'static str,
    pub description: &'static str,
    pub run: fn(quick: bool, seed: u64) -> Report,
}

pub const ALL: &[Experiment] = &[
    Experiment {
        name: "team-flood",
        description: "one of three teams at 10 times its traffic, with and without the teams' queues, in virtual time and on sockets",
        run: team_flood::play,
    },
    Experiment {
        name: "members",
        description: "how soon the loss of a gateway is known to all, and who is taken for lost that lives, in virtual time",
        run: members::play,
    },
    Experiment {
        name: "custody",
        description: "fault plans over a fleet whose gateways take each other's statements over, in virtual time",
        run: custody::play,
    },
    Experiment {
        name: "shares",
        description: "budgets lent and judgements shared over fault plans, bounds counted where they are used, in virtual time",
        run: shares::play,
    },
    Experiment {
        name: "fleet-cut",
        description: "real gateways that share, cut and restarted, with traffic ten to one, beside the same without sharing",
        run: fleet_cut::play,
    },
    Experiment {
        name: "gateway-loss",
        description: "real gateways and engines, a gateway lost every 3 s while clients come back, beside the same without losses and without peers",
        run: gateway_loss::play,
    },
    Experiment {
        name: "custody-cost",
        description: "latency, processor time and bytes that it costs to outlive a gateway, where nothing is lost",
        run: custody_cost::play,
    },
    Experiment {
        name: "soak",
        description: "real gateways restarted, reloaded and signalled in series while clients go on using their connections",
        run: soak::play,
    },
    Experiment {
        name: "scale",
        description: "what each part costs at 30 to 3,800 gateways and 80 to 44,000 engines, with slopes, in virtual time",
        run: scale::play,
    },
];

/// Plans by the seed and those that follow it, over as many threads as there are cores.
fn side_by_side<T: Send>(plans: u64, seed: u64, play: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let parts = std::thread::available_parallelism()
        .map_or(1, |n| n.get() as u64)
        .min(plans)
        .max(1);
    let at = |part: u64| seed + plans * part / parts;
    std::thread::scope(|scope| {
        let play = &play;
        let run = |p| scope.spawn(move || (at(p)..at(p + 1)).map(play).collect::<Vec<T>>());
        let runs: Vec<_> = (0..parts).map(run).collect();
        runs.into_iter()
            .flat_map(|run| run.join().unwrap_or_default())
            .collect()
    })
}
