//! Measurements on processes: gateway processes among simulated gateways and engines, several
//! fleets at a time, each at one size. The resource use of the gateway processes over a window is
//! read from the operating system and compared with a second source.

use std::thread;
use std::time::{Duration, Instant};

use super::slope::Measure;
use crate::processes::simulated_engines::id_for_gateway;
use crate::processes::simulated_gateways::GATEWAYS_PER_THREAD;
use crate::processes::testbed_process::TestbedProcess;
use crate::processes::usage::{Sample, TICK_NS, cpu_ticks_ns};
use crate::processes::{Fleet, FleetConfig, FleetEngines};
use crate::report::Bound;
use crate::test_servers::{Client, statement};

/// Gateway processes of a fleet. The first receives the statements; the second votes, as the
/// simulated gateways do.
const REAL_GATEWAYS: usize = 2;
/// Peers of a gateway when another quantity is varied.
const PEERS: usize = 10;
/// Engines when another quantity is varied.
const ENGINES: usize = 80;
/// Maximum relative difference between the two sources of a value.
const MAX_SOURCE_DIFFERENCE: f64 = 0.1;
/// Minimum fraction of peers with a link. Ownership links each pair of gateways; fewer links mean
/// that some broke because the machine was too busy.
const MIN_LINKED_PEERS: f64 = 0.9;
/// Maximum CPU use per thread of simulated gateways, as a fraction of a core. Busier threads answer
/// late, which adds work for their peers.
const MAX_SIMULATOR_CPU: f64 = 0.8;
/// Statement timeout.
const TIMEOUT_MS: u64 = 1000;
/// Long enough that no gateway is reported lost because the machine is busy; it adds no cost at
/// rest.
const SUSPICION_MS: u64 = 2000;
/// Client connections that send statements in turn, so that a waiting statement does not delay the
/// others.
const SESSIONS: u64 = 4;

/// Sizes and load of one fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Size {
    peers: usize,
    engines: usize,
    /// Statements per second to the first gateway.
    statements: u64,
    /// Endpoint changes per second to all gateways.
    changes: u64,
}

/// A fleet at rest.
const REST: Size = Size {
    peers: PEERS,
    engines: ENGINES,
    statements: 0,
    changes: 0,
};

/// Durations of a measurement.
#[derive(Clone, Copy)]
struct Durations {
    window: Duration,
    /// The window begins once no gateway process has logged anything for this time. Gateways that
    /// have just started exchange state and do not grant leases.
    quiet_time: Duration,
    /// Maximum time until the window begins.
    max_settle_time: Duration,
    /// Longest statement timeout.
    max_timeout_ms: u64,
    /// Retention of vote logs beyond the longest statement timeout.
    vote_retention_ms: u64,
}

const QUICK: Durations = Durations {
    window: Duration::from_secs(8),
    quiet_time: Duration::from_secs(3),
    max_settle_time: Duration::from_secs(5),
    max_timeout_ms: 1000,
    vote_retention_ms: 400,
};
const FULL: Durations = Durations {
    window: Duration::from_secs(40),
    quiet_time: Duration::from_secs(10),
    max_settle_time: Duration::from_secs(60),
    max_timeout_ms: 3000,
    vote_retention_ms: 5000,
};

/// The measured sizes; those of an inner list run in parallel.
fn sizes(quick: bool) -> Vec<Vec<Size>> {
    let with_peers = |peers| Size { peers, ..REST };
    let small = vec![
        REST,
        Size {
            engines: 10,
            ..REST
        },
        Size {
            engines: 300,
            ..REST
        },
        Size {
            statements: 50,
            ..REST
        },
        Size {
            statements: 200,
            ..REST
        },
        Size { changes: 1, ..REST },
        Size {
            changes: 20,
            ..REST
        },
    ];
    match quick {
        true => vec![[small, vec![with_peers(30), with_peers(100)]].concat()],
        false => vec![
            small,
            vec![with_peers(30), with_peers(100)],
            vec![with_peers(300)],
        ],
    }
}

/// Resource use of one gateway process over the window.
#[derive(Clone, Copy, Debug)]
struct ResourceUse {
    seconds: f64,
    begin: Sample,
    end: Sample,
}

impl ResourceUse {
    /// Increase of a counter per second.
    fn rate(&self, of: impl Fn(&Sample) -> u64) -> f64 {
        of(&self.end).saturating_sub(of(&self.begin)) as f64 / self.seconds
    }

    fn cpu_us(&self) -> f64 {
        self.rate(|sample| sample.usage.cpu_ns) / 1000.0
    }

    fn cpu_ticks_us(&self) -> f64 {
        self.rate(|sample| sample.usage.cpu_ticks_ns) / 1000.0
    }

    fn bytes_out(&self) -> f64 {
        self.rate(|sample| sample.traffic.bytes_out)
    }

    fn bytes_in(&self) -> f64 {
        self.rate(|sample| sample.traffic.bytes_in)
    }

    /// Bytes out as counted by the relays and the engines.
    fn counterpart_bytes_out(&self) -> f64 {
        self.rate(|sample| sample.relay.bytes_from + sample.engines.bytes_in)
    }

    /// Bytes in as counted by the relays and the engines.
    fn counterpart_bytes_in(&self) -> f64 {
        self.rate(|sample| sample.relay.bytes_to + sample.engines.bytes_out)
    }

    /// Descriptors other than the connections counted by the relays and the engines.
    fn other_descriptors(&self) -> f64 {
        self.end.usage.descriptors as f64 - (self.end.relay.open + self.end.engines.open) as f64
    }
}

/// Measurements of one fleet.
struct FleetMeasurement {
    size: Size,
    /// By gateway process.
    resource_use: Vec<ResourceUse>,
    /// CPU use per thread of simulated gateways, as a fraction of a core.
    simulator_cpu: f64,
    /// Statements that actually started, per second.
    statements: f64,
    /// Endpoint changes that were actually sent, per second.
    changes: f64,
}

/// Sends the statements of one session at their scheduled times until `until`.
fn send_statements(address: std::net::SocketAddr, size: Size, session: u64, until: Instant) {
    if size.statements == 0 {
        return;
    }
    let (started_at, interval) = (
        Instant::now(),
        Duration::from_secs(1) / size.statements as u32,
    );
    let mut client = None;
    for number in (session..).step_by(SESSIONS as usize) {
        let scheduled_at = started_at + interval * number as u32;
        if scheduled_at >= until {
            return;
        }
        thread::sleep(scheduled_at.saturating_duration_since(Instant::now()));
        if client.is_none() {
            client = Client::try_connect(address);
        }
        let text = statement("lookup", id_for_gateway(0, number), TIMEOUT_MS);
        if client
            .as_mut()
            .is_some_and(|client| client.try_execute(&text).is_none())
        {
            client = None;
        }
    }
}

/// Sends endpoint changes at their scheduled times until `until`: one engine at a time terminates
/// and returns. Returns the number of changes.
fn send_changes(fleet: &Fleet, size: Size, until: Instant) -> u64 {
    if size.changes == 0 {
        thread::sleep(until.saturating_duration_since(Instant::now()));
        return 0;
    }
    let (started_at, interval) = (Instant::now(), Duration::from_secs(1) / size.changes as u32);
    for number in 0.. {
        let scheduled_at = started_at + interval * number as u32;
        if scheduled_at >= until {
            thread::sleep(until.saturating_duration_since(Instant::now()));
            return number;
        }
        thread::sleep(scheduled_at.saturating_duration_since(Instant::now()));
        let state = if number % 2 == 0 {
            "terminating"
        } else {
            "in_service"
        };
        fleet.publish_engine_state((number / 2) as usize % size.engines, state);
    }
    0
}

/// Waits until the gateway processes have logged nothing for the quiet time.
fn wait_until_settled(fleet: &Fleet, durations: Durations) {
    let log_lines = || {
        fleet
            .gateways
            .iter()
            .map(|seat| seat.log.all().len())
            .sum::<usize>()
    };
    let deadline = Instant::now() + durations.max_settle_time;
    let (mut last_lines, mut quiet_since) = (log_lines(), Instant::now());
    while quiet_since.elapsed() < durations.quiet_time && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(100));
        let lines = log_lines();
        if lines != last_lines {
            (last_lines, quiet_since) = (lines, Instant::now());
        }
    }
}

/// Runs one fleet.
fn measure_fleet(size: Size, durations: Durations, seed: u64) -> Result<FleetMeasurement, String> {
    let mut fleet = Fleet::start(FleetConfig {
        gateways: REAL_GATEWAYS,
        simulated_gateways: size.peers + 1 - REAL_GATEWAYS,
        engines: FleetEngines::Simulated {
            count: size.engines,
            unlisted: 0,
        },
        direct_engines: true,
        max_statement_timeout_ms: durations.max_timeout_ms,
        peer_settings: Some(format!(
            r#""suspicion_ms":{SUSPICION_MS},"custody":{{"remembered_ms":{}}},"shares":{{"enabled":true}}"#,
            durations.vote_retention_ms
        )),
        seed,
        ..FleetConfig::default()
    })?;
    wait_until_settled(&fleet, durations);
    let sample = |fleet: &mut Fleet| {
        (0..REAL_GATEWAYS)
            .map(|gateway| {
                fleet
                    .sample(gateway)
                    .ok_or(format!("no usage data of n{gateway}"))
            })
            .collect::<Result<Vec<_>, _>>()
    };
    // The traffic begins before the window and continues after it.
    let until = Instant::now() + durations.window + Duration::from_secs(2);
    let address = fleet.gateways[0].address;
    let clients: Vec<_> = (0..SESSIONS)
        .map(|session| thread::spawn(move || send_statements(address, size, session, until)))
        .collect();
    send_changes(
        &fleet,
        size,
        until - durations.window - Duration::from_secs(1),
    );
    let simulator = fleet
        .simulated_gateways
        .as_ref()
        .map_or(0, TestbedProcess::id);
    let begin = sample(&mut fleet)?;
    let (started_at, simulator_cpu_before) = (Instant::now(), cpu_ticks_ns(simulator).unwrap_or(0));
    let changes = send_changes(&fleet, size, started_at + durations.window);
    let simulator_cpu_s = cpu_ticks_ns(simulator)
        .unwrap_or(0)
        .saturating_sub(simulator_cpu_before) as f64
        * 1e-9;
    let seconds = started_at.elapsed().as_secs_f64();
    let simulator_cpu = simulator_cpu_s
        / seconds
        / fleet
            .config
            .simulated_gateways
            .div_ceil(GATEWAYS_PER_THREAD) as f64;
    let end = sample(&mut fleet)?;
    for client in clients {
        client
            .join()
            .map_err(|_| "a client thread panicked".to_owned())?;
    }
    fleet.shut_down();
    if let Some(crash) = fleet.crashes.first() {
        return Err(crash.clone());
    }
    let resource_use: Vec<ResourceUse> = begin
        .into_iter()
        .zip(end)
        .map(|(begin, end)| ResourceUse {
            seconds: (end.usage.at - begin.usage.at).as_secs_f64(),
            begin,
            end,
        })
        .collect();
    let statements = resource_use[0].rate(|sample| sample.engines.starts);
    Ok(FleetMeasurement {
        size,
        simulator_cpu,
        statements,
        changes: changes as f64 / seconds,
        resource_use,
    })
}

/// Difference relative to the larger value; differences up to `noise` count as 0.
fn relative_difference(a: f64, b: f64, noise: f64) -> f64 {
    ((a - b).abs() - noise).max(0.0) / a.max(b).max(f64::MIN_POSITIVE)
}

/// Bounds on the validity of the measurements; the two sources of each value must differ by at most
/// a tenth.
fn validity_bounds(fleets: &[FleetMeasurement]) -> Vec<Bound> {
    let other_descriptors = fleets
        .iter()
        .find(|fleet| fleet.size == REST)
        .map_or(0.0, |fleet| fleet.resource_use[0].other_descriptors());
    let mut bounds = Vec::new();
    for FleetMeasurement {
        size,
        resource_use,
        simulator_cpu,
        ..
    } in fleets
    {
        let Size {
            peers,
            engines,
            statements,
            changes,
        } = size;
        let name = format!("simulated gateways at {peers} peers: fraction of a core per thread");
        bounds.push(Bound::new(&name, *simulator_cpu, 0.0, MAX_SIMULATOR_CPU));
        for (gateway, used) in resource_use.iter().enumerate() {
            let scenario = format!(
                "n{gateway} at {peers} peers, {engines} engines, {statements} statements/s, {changes} changes/s"
            );
            // On an overloaded machine, simulated gateways are reported lost and links break; the
            // cost of that is not the cost at rest.
            let lost = (used.end.lost_members - used.begin.lost_members) as f64;
            bounds.push(Bound::new(
                &format!("{scenario}: live members reported lost"),
                lost,
                0.0,
                0.0,
            ));
            let linked =
                used.end.relay.open.saturating_sub(1).min(*peers as u64) as f64 / *peers as f64;
            bounds.push(Bound::new(
                &format!("{scenario}: links, fraction of peers"),
                linked,
                MIN_LINKED_PEERS,
                1.0,
            ));
            // Reasons for differences: two ticks of the clock of `stat`, a list of mappings that
            // grows while it is read, and bytes in transit.
            let tick_noise_us = 2.0 * TICK_NS as f64 / 1000.0 / used.seconds;
            let end = &used.end.usage;
            let known_descriptors =
                (used.end.relay.open + used.end.engines.open) as f64 + other_descriptors;
            let differences = [
                (
                    "processor time, scheduler and stat",
                    relative_difference(used.cpu_us(), used.cpu_ticks_us(), tick_noise_us),
                ),
                (
                    "memory, status and mappings",
                    relative_difference(
                        end.resident_bytes as f64,
                        end.mapped_resident_bytes as f64,
                        0.0,
                    ),
                ),
                (
                    "bytes out, gateway and counterparts",
                    relative_difference(used.bytes_out(), used.counterpart_bytes_out(), 0.0),
                ),
                (
                    "bytes in, gateway and counterparts",
                    relative_difference(used.bytes_in(), used.counterpart_bytes_in(), 0.0),
                ),
                (
                    "descriptors, system and counterparts",
                    relative_difference(end.descriptors as f64, known_descriptors, 0.0),
                ),
            ];
            for (quantity, difference) in differences {
                bounds.push(Bound::new(
                    &format!("{scenario}: {quantity}: relative difference"),
                    difference,
                    0.0,
                    MAX_SOURCE_DIFFERENCE,
                ));
            }
        }
    }
    bounds
}

type Quantity = fn(&ResourceUse) -> f64;

/// Measured quantities of a gateway: name, unit and value.
const GATEWAY_QUANTITIES: [(&str, &str, Quantity); 5] = [
    ("processor time", "us/s", ResourceUse::cpu_us),
    ("memory", "bytes", |used| {
        used.end.usage.resident_bytes as f64
    }),
    ("descriptors", "", |used| used.end.usage.descriptors as f64),
    ("bytes out", "bytes/s", ResourceUse::bytes_out),
    ("bytes in", "bytes/s", ResourceUse::bytes_in),
];

/// Quantities of all engines together, caused by the gateway that receives the statements.
const ENGINE_QUANTITIES: [(&str, &str, Quantity); 3] = [
    ("descriptors", "", |used| used.end.engines.open as f64),
    ("bytes out", "bytes/s", |used| {
        used.rate(|s| s.engines.bytes_out)
    }),
    ("bytes in", "bytes/s", |used| {
        used.rate(|s| s.engines.bytes_in)
    }),
];

/// The measures by each varied quantity.
fn measures(fleets: &[FleetMeasurement]) -> Vec<Measure> {
    let mut measures = Vec::new();
    // Name, the size with this quantity reset to that at rest, and the value of the quantity.
    type VariedQuantity = (
        &'static str,
        fn(&Size) -> Size,
        fn(&FleetMeasurement) -> f64,
    );
    let varied: [VariedQuantity; 4] = [
        (
            "peers",
            |size| Size {
                peers: PEERS,
                ..*size
            },
            |fleet| fleet.size.peers as f64,
        ),
        (
            "engines",
            |size| Size {
                engines: ENGINES,
                ..*size
            },
            |fleet| fleet.size.engines as f64,
        ),
        (
            "statements",
            |size| Size {
                statements: 0,
                ..*size
            },
            |fleet| fleet.statements,
        ),
        (
            "changes",
            |size| Size {
                changes: 0,
                ..*size
            },
            |fleet| fleet.changes,
        ),
    ];
    for (by, reset, value) in varied {
        let series = |quantity: Quantity| {
            let matching = fleets.iter().filter(|fleet| reset(&fleet.size) == REST);
            // Only the first gateway receives statements.
            let gateways = |fleet: &FleetMeasurement| {
                if by == "statements" {
                    1
                } else {
                    fleet.resource_use.len()
                }
            };
            let mean = |fleet: &FleetMeasurement| {
                fleet.resource_use[..gateways(fleet)]
                    .iter()
                    .map(quantity)
                    .sum::<f64>()
                    / gateways(fleet) as f64
            };
            let mut points: Vec<(f64, f64)> =
                matching.map(|fleet| (value(fleet), mean(fleet))).collect();
            points.sort_by(|a, b| a.0.total_cmp(&b.0));
            points
        };
        for (name, unit, quantity) in GATEWAY_QUANTITIES {
            let points = series(quantity);
            measures.push(Measure {
                role: "gateway",
                name,
                unit,
                by,
                points,
                is_simulated: false,
            });
        }
        if by == "statements" {
            for (name, unit, quantity) in ENGINE_QUANTITIES {
                let points = series(quantity);
                measures.push(Measure {
                    role: "engine",
                    name,
                    unit,
                    by,
                    points,
                    is_simulated: false,
                });
            }
        }
    }
    measures
}

/// Runs all fleets. Returns the measures and the bounds on their validity; a failed run becomes a
/// violated bound.
pub fn measure_with_bounds(quick: bool, seed: u64) -> (Vec<Measure>, Vec<Bound>) {
    let durations = if quick { QUICK } else { FULL };
    let (mut fleets, mut bounds) = (Vec::new(), Vec::new());
    for parallel in sizes(quick) {
        let runs: Vec<Result<FleetMeasurement, String>> = thread::scope(|scope| {
            let runs: Vec<_> = parallel
                .iter()
                .map(|&size| scope.spawn(move || measure_fleet(size, durations, seed)))
                .collect();
            let joined = runs.into_iter().map(|run| {
                run.join()
                    .unwrap_or_else(|_| Err("the run panicked".into()))
            });
            joined.collect()
        });
        for (size, run) in parallel.iter().zip(runs) {
            match run {
                Ok(run) => fleets.push(run),
                Err(error) => {
                    bounds.push(Bound::new(
                        &format!("{size:?} completes: {error}"),
                        0.0,
                        1.0,
                        f64::MAX,
                    ));
                }
            }
        }
    }
    bounds.extend(validity_bounds(&fleets));
    (measures(&fleets), bounds)
}

/// Runs all fleets and prints the bounds that do not hold.
pub fn measure(quick: bool, seed: u64) -> Vec<Measure> {
    let (measures, bounds) = measure_with_bounds(quick, seed);
    for bound in bounds.iter().filter(|bound| !bound.holds()) {
        println!("failed: {}: {:.3}", bound.name, bound.value);
    }
    measures
}
