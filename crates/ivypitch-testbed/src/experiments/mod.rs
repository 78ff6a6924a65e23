//! The experiments. Each performs its runs, prints the results with the bounds that they must
//! satisfy, and reports whether all bounds hold.

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

/// An experiment that `ivypitch testbed run` can run by name.
pub struct Experiment {
    pub name: &'static str,
    pub description: &'static str,
    pub run: fn(quick: bool, seed: u64) -> Report,
}

/// All experiments.
pub const ALL: &[Experiment] = &[
    Experiment {
        name: "team-flood",
        description: "one of three teams at 10 times its traffic, with and without team queues, in virtual time and over sockets",
        run: team_flood::run,
    },
    Experiment {
        name: "members",
        description: "time until all gateways detect the loss of one, and false detections, in virtual time",
        run: members::run,
    },
    Experiment {
        name: "custody",
        description: "ownership of statements under fault plans: gateways take over statements of lost ones, in virtual time",
        run: custody::run,
    },
    Experiment {
        name: "shares",
        description: "quota leases and shared outlier detection under fault plans, usage checked where it occurs, in virtual time",
        run: shares::run,
    },
    Experiment {
        name: "fleet-cut",
        description: "gateway processes with coordination under partitions and restarts, traffic skewed 10 to 1, compared with no coordination",
        run: fleet_cut::run,
    },
    Experiment {
        name: "gateway-loss",
        description: "gateway and engine processes, a gateway lost every 3 s while clients retry, compared with no losses and with no peers",
        run: gateway_loss::run,
    },
    Experiment {
        name: "custody-cost",
        description: "cost of statement ownership in latency, processor time and bytes, without faults",
        run: custody_cost::run,
    },
    Experiment {
        name: "soak",
        description: "gateway processes restarted, reloaded and signalled in series while clients keep using their connections",
        run: soak::run,
    },
    Experiment {
        name: "scale",
        description: "cost of each component at 30 to 3,800 gateways and 80 to 44,000 engines, with fitted slopes, in virtual time",
        run: scale::run,
    },
];

/// Runs consecutive seeds from `seed` on, on as many threads as there are cores; results in the
/// order of the seeds.
fn run_seeds_in_parallel<T: Send>(count: u64, seed: u64, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let threads = std::thread::available_parallelism()
        .map_or(1, |n| n.get() as u64)
        .min(count)
        .max(1);
    let first_seed = |thread: u64| seed + count * thread / threads;
    std::thread::scope(|scope| {
        let run = &run;
        let spawn = |thread| {
            scope.spawn(move || {
                (first_seed(thread)..first_seed(thread + 1))
                    .map(run)
                    .collect::<Vec<T>>()
            })
        };
        let handles: Vec<_> = (0..threads).map(spawn).collect();
        handles
            .into_iter()
            .flat_map(|handle| handle.join().unwrap_or_default())
            .collect()
    })
}
