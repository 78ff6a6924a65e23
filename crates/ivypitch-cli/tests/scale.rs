//! Real and simulated gateways during a burst of endpoint changes, with lost and late messages and
//! a gateway that is killed and restarted. The applied changes are read only from the starts at the
//! engines.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ivypitch_testbed::processes::engine::timestamp_us;
use ivypitch_testbed::processes::relay::LinkEnd;
use ivypitch_testbed::processes::simulated_engines::{Counts, gateway_of_id, id_for_gateway};
use ivypitch_testbed::processes::{Fleet, FleetConfig, FleetEngines, row};
use ivypitch_testbed::test_servers::*;
use ivypitch_testbed::virtual_time::faults::{Fault, FaultKind, FaultPlan};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const REAL_GATEWAYS: usize = 4;
const SIMULATED_GATEWAYS: usize = 16;
/// Engines listed from the start; only the last change lists one more.
const LISTED_ENGINES: usize = 5;
const CHANGES: u64 = 100;
/// Milliseconds between changes.
const CHANGE_INTERVAL_MS: u64 = 12;
/// Added to the gateway byte of the ids of statements in the last round.
const LAST_ROUND: usize = 0x40;
/// Statements at the new engine after the last change is applied.
const STARTS_AFTER_LAST_CHANGE: usize = 20;
const MAX_STATEMENT_TIMEOUT_MS: u64 = 3000;
/// Each gateway applies a change within this time, in microseconds.
const MAX_PROPAGATION_US: u64 = 6_000_000;
/// Long enough that a busy machine does not cause false member losses.
const PEER_SETTINGS: &str = r#""period_ms":200,"suspicion_ms":700,"custody":{"remembered_ms":400},
    "shares":{"enabled":true,"span_ms":1000}"#;

struct Faults {
    plan: FaultPlan,
    /// The gateway whose discovery watch is silent until the end: it gets changes only from
    /// members.
    silent_watch: usize,
    /// The gateway whose link to the discovery service breaks in the middle of the burst.
    broken_watch: usize,
    /// Fraction of the datagrams between gateways that are lost.
    drop: f64,
}

fn random_faults(seed: u64) -> Faults {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let killed = rng.random_range(0..REAL_GATEWAYS);
    let (silent_watch, broken_watch) = ((killed + 1) % REAL_GATEWAYS, (killed + 2) % REAL_GATEWAYS);
    let span = CHANGES * CHANGE_INTERVAL_MS;
    let back = rng.random_range(100..span / 3);
    let mut faults = vec![Fault {
        at_ms: rng.random_range(span / 6..span / 2),
        kind: FaultKind::Kill {
            gateway: killed,
            restart_after_ms: back,
        },
    }];
    for n in 0..8 {
        let from = rng.random_range(0..REAL_GATEWAYS + SIMULATED_GATEWAYS);
        let to = (from + rng.random_range(1..REAL_GATEWAYS + SIMULATED_GATEWAYS))
            % (REAL_GATEWAYS + SIMULATED_GATEWAYS);
        let span = rng.random_range(200..900);
        let what = match n % 3 {
            0 => FaultKind::DropMessages {
                from,
                to,
                duration_ms: span,
            },
            1 => FaultKind::DelayMessages {
                from,
                to,
                delay_ms: rng.random_range(20..600),
                duration_ms: span,
            },
            _ => FaultKind::ResetLinks {
                from: from % REAL_GATEWAYS,
                to,
            },
        };
        faults.push(Fault {
            at_ms: rng.random_range(0..CHANGES * CHANGE_INTERVAL_MS),
            kind: what,
        });
    }
    faults.push(Fault {
        at_ms: span / 2,
        kind: FaultKind::PartitionGateway {
            gateway: broken_watch,
            duration_ms: 400,
        },
    });
    Faults {
        plan: FaultPlan { faults },
        silent_watch,
        broken_watch,
        drop: rng.random_range(0.01..0.1),
    }
}

fn lookup(client: &mut Option<Client>, fleet_at: std::net::SocketAddr, id: u64) -> bool {
    if client.is_none() {
        *client = Client::try_connect(fleet_at);
    }
    let Some(answer) = client
        .as_mut()
        .and_then(|open| open.try_execute(&statement("lookup", id, MAX_STATEMENT_TIMEOUT_MS)))
    else {
        *client = None;
        return false;
    };
    if answer == Answer::Closed {
        *client = None;
    }
    matches!(answer, Answer::Rows(_))
}

/// Time in microseconds, engine, gateway byte and id of each start.
fn starts(fleet: &Fleet) -> Vec<(u64, usize, usize, String)> {
    let lines = fleet.simulated_engines.as_ref().unwrap().lines.all();
    let read = |line: &String| {
        let words: Vec<&str> = line.split(' ').collect();
        let [at, "start", engine, id] = words[..] else {
            return None;
        };
        Some((
            at.parse().unwrap(),
            engine.parse().unwrap(),
            gateway_of_id(id),
            id.to_owned(),
        ))
    };
    lines.iter().filter_map(read).collect()
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn all_gateways_apply_the_last_change_of_a_burst_and_none_an_undone_one(seed: u64) {
    let Faults {
        plan,
        silent_watch,
        broken_watch,
        drop,
    } = random_faults(seed);
    // Printed if the test fails.
    println!(
        "seed {seed}: discovery watch of n{silent_watch} silent, of n{broken_watch} broken, {drop:.3} lost\n{plan}"
    );
    let mut fleet = Fleet::start(FleetConfig {
        gateways: REAL_GATEWAYS,
        simulated_gateways: SIMULATED_GATEWAYS,
        prints_simulated_events: true,
        engines: FleetEngines::Simulated {
            count: LISTED_ENGINES,
            unlisted: 1,
        },
        direct_engines: true,
        max_statement_timeout_ms: MAX_STATEMENT_TIMEOUT_MS,
        peer_settings: Some(PEER_SETTINGS.into()),
        seed,
        ..FleetConfig::default()
    })
    .unwrap();
    let at: Vec<_> = fleet.gateways.iter().map(|seat| seat.address).collect();
    for from in 0..REAL_GATEWAYS + SIMULATED_GATEWAYS {
        for to in (0..REAL_GATEWAYS + SIMULATED_GATEWAYS).filter(|&to| to != from) {
            fleet
                .network
                .change(LinkEnd::Gateway(from), LinkEnd::Gateway(to), |way| {
                    way.datagram_loss = drop
                });
        }
    }
    fleet
        .network
        .block(LinkEnd::Journal, LinkEnd::Gateway(silent_watch));
    let is_over = AtomicBool::new(false);
    let last_published_us = thread::scope(|scope| {
        for (g, &at) in at.iter().enumerate() {
            let is_over = &is_over;
            scope.spawn(move || {
                let mut client = None;
                for n in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    lookup(&mut client, at, id_for_gateway(g, n));
                    // Limits the rate; the test does not depend on the number of answers.
                    thread::sleep(Duration::from_millis(3));
                }
            });
        }
        publish_changes(&mut fleet, &plan, broken_watch, seed);
        let published_us = timestamp_us();
        is_over.store(true, Ordering::Relaxed);
        published_us
    });
    // The last round: each gateway gets statements until it applies the last change, then some
    // more.
    let engine_lines = &fleet.simulated_engines.as_ref().unwrap().lines;
    thread::scope(|scope| {
        for (g, &at) in at.iter().enumerate() {
            scope.spawn(move || {
                let (mut client, mut after) = (None, 0);
                let until = Instant::now() + WAIT_TIMEOUT;
                for n in 0.. {
                    assert!(Instant::now() < until, "n{g} never applies the last change");
                    let id = id_for_gateway(LAST_ROUND + g, n);
                    if lookup(&mut client, at, id) {
                        let text = format!("{id:016x}");
                        let line = engine_lines.wait("start", |line| line.ends_with(&text));
                        after += usize::from(line.contains(&format!(" start {LISTED_ENGINES} ")));
                    }
                    if after > STARTS_AFTER_LAST_CHANGE {
                        return;
                    }
                }
            });
        }
    });
    // Checks the starts that the engines logged.
    let mut first: BTreeMap<usize, u64> = BTreeMap::new();
    let mut rounds = starts(&fleet);
    rounds.sort();
    for (at, engine, by, id) in &rounds {
        assert!(
            *engine == LISTED_ENGINES || *at < last_published_us + MAX_PROPAGATION_US,
            "{id} at engine {engine}, which had drained"
        );
        if *engine == LISTED_ENGINES && *by >= LAST_ROUND {
            first.entry(*by - LAST_ROUND).or_insert(*at);
        } else if *by >= LAST_ROUND {
            let acted = first.get(&(by - LAST_ROUND));
            assert!(
                acted.is_none(),
                "{id} at engine {engine}: the gateway had applied the last change before"
            );
        }
    }
    for g in 0..REAL_GATEWAYS {
        let took = first[&g].saturating_sub(last_published_us);
        assert!(
            took <= MAX_PROPAGATION_US,
            "n{g} applies the last change after {took} us"
        );
    }
    let gateway_lines = &fleet.simulated_gateways.as_ref().unwrap().lines;
    for place in REAL_GATEWAYS..REAL_GATEWAYS + SIMULATED_GATEWAYS {
        let ends = format!(" event {place} {}", CHANGES + 1);
        let line = gateway_lines.wait("last change", |line| line.ends_with(&ends));
        let at: u64 = line.split(' ').next().unwrap().parse().unwrap();
        assert!(
            at <= last_published_us + MAX_PROPAGATION_US,
            "simulated n{place} applied the last change late"
        );
    }
    // Every start was logged.
    let counts = fleet
        .simulated_engines
        .as_mut()
        .unwrap()
        .request("count", "counts ");
    let counts: Vec<Counts> = serde_json::from_str(&counts).unwrap();
    assert_eq!(
        counts.iter().map(|c| c.starts).sum::<u64>(),
        starts(&fleet).len() as u64
    );
    fleet.shut_down();
    assert!(fleet.crashes.is_empty(), "{:?}", fleet.crashes);
}

/// Publishes random engine states by the seed; at last all listed engines drain and a new one is
/// listed.
fn publish_changes(fleet: &mut Fleet, plan: &FaultPlan, broken_watch: usize, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xb0);
    let mut steps: Vec<(u64, bool, Fault)> = Vec::new();
    for &fault in &plan.faults {
        steps.push((fault.at_ms, true, fault));
        steps.extend(
            fault
                .duration_ms()
                .map(|span| (fault.at_ms + span, false, fault)),
        );
    }
    steps.sort_by_key(|&(at, begins, _)| (at, begins));
    let mut steps = steps.into_iter().peekable();
    let from = Instant::now();
    for change in 0..CHANGES {
        while let Some((_, begins, fault)) =
            steps.next_if(|&(at, ..)| at <= change * CHANGE_INTERVAL_MS)
        {
            fleet.apply_fault(fault, begins);
        }
        if change == CHANGES / 2 {
            fleet
                .network
                .reset(LinkEnd::Gateway(broken_watch), LinkEnd::Journal);
        }
        let due = from + Duration::from_millis(change * CHANGE_INTERVAL_MS);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        match CHANGES - 1 - change {
            0 => fleet.publish_endpoint(&row("s-last", fleet.unlisted_engines[0], 0, "in_service")),
            left @ 1..=5 => fleet.publish_engine_state(left as usize - 1, "terminating"),
            _ => {
                let state = if rng.random_bool(0.5) {
                    "terminating"
                } else {
                    "in_service"
                };
                fleet.publish_engine_state(rng.random_range(0..LISTED_ENGINES), state);
            }
        }
    }
    // Ends the remaining faults: a partitioned gateway can't apply changes.
    for (_, begins, fault) in steps {
        fleet.apply_fault(fault, begins);
    }
}

#[test]
fn a_gateway_counts_the_bytes_that_relays_and_engines_count() {
    let mut fleet = Fleet::start(FleetConfig {
        gateways: 2,
        simulated_gateways: 6,
        engines: FleetEngines::Simulated {
            count: 2,
            unlisted: 0,
        },
        direct_engines: true,
        max_statement_timeout_ms: MAX_STATEMENT_TIMEOUT_MS,
        peer_settings: Some(PEER_SETTINGS.into()),
        ..FleetConfig::default()
    })
    .unwrap();
    let (at, mut client) = (fleet.gateways[0].address, None);
    let served = (0..200)
        .filter(|&n| lookup(&mut client, at, id_for_gateway(0, n)))
        .count();
    for g in 0..2 {
        let sample = fleet.sample(g).unwrap();
        let relative_difference = |own: u64, met: u64| own.abs_diff(met) as f64 / met as f64;
        let (out, into) = (
            relative_difference(
                sample.traffic.bytes_out,
                sample.relay.bytes_from + sample.engines.bytes_in,
            ),
            relative_difference(
                sample.traffic.bytes_in,
                sample.relay.bytes_to + sample.engines.bytes_out,
            ),
        );
        assert!(
            out < 0.1 && into < 0.1,
            "n{g}: {out:.3} and {into:.3} apart: {sample:?}"
        );
        let of_engines =
            relative_difference(sample.traffic.to_engines, sample.engines.bytes_in.max(1));
        assert!(g > 0 || of_engines < 0.01, "calls: {sample:?}");
        assert_eq!(
            sample.engines.starts as usize,
            if g == 0 { served } else { 0 }
        );
    }
    assert!(served > 190, "{served}");
}
