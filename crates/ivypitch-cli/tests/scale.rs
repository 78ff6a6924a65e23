//! Real gateways beside hollow ones while a burst of changes goes through the journal, links drop
//! and come late, and a gateway is killed and starts again. Who acts by what is read from the
//! engines' starts alone.

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

const REAL: usize = 4;
const HOLLOW: usize = 16;
/// Listed engines; the one behind them is listed by the last change alone.
const LISTED: usize = 5;
const CHANGES: u64 = 100;
/// Milliseconds between changes.
const APART: u64 = 12;
/// Statements of the last round are told apart by this in their gateway's byte.
const LAST_ROUND: usize = 0x40;
/// So many more are asked for once the last change is acted by.
const AFTER: usize = 20;
const LONGEST: u64 = 3000;
/// Every gateway acts by a change after so many microseconds.
const IN_FORCE: u64 = 6_000_000;
/// Patient enough that nobody is taken for lost because the machine is busy.
const PEERS: &str = r#""period_ms":200,"suspicion_ms":700,"custody":{"remembered_ms":400},
    "shares":{"enabled":true,"span_ms":1000}"#;

struct Faults {
    plan: FaultPlan,
    /// Its journal says nothing until the end: it hears of changes from members alone.
    silent: usize,
    /// Its link to the journal breaks in the middle of the burst.
    broken: usize,
    /// Part of all datagrams between gateways that are lost.
    drop: f64,
}

fn draw(seed: u64) -> Faults {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let killed = rng.random_range(0..REAL);
    let (silent, broken) = ((killed + 1) % REAL, (killed + 2) % REAL);
    let span = CHANGES * APART;
    let back = rng.random_range(100..span / 3);
    let mut faults = vec![Fault {
        at_ms: rng.random_range(span / 6..span / 2),
        kind: FaultKind::Kill {
            gateway: killed,
            restart_after_ms: back,
        },
    }];
    for n in 0..8 {
        let from = rng.random_range(0..REAL + HOLLOW);
        let to = (from + rng.random_range(1..REAL + HOLLOW)) % (REAL + HOLLOW);
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
                from: from % REAL,
                to,
            },
        };
        faults.push(Fault {
            at_ms: rng.random_range(0..CHANGES * APART),
            kind: what,
        });
    }
    faults.push(Fault {
        at_ms: span / 2,
        kind: FaultKind::PartitionGateway {
            gateway: broken,
            duration_ms: 400,
        },
    });
    Faults {
        plan: FaultPlan { faults },
        silent,
        broken,
        drop: rng.random_range(0.01..0.1),
    }
}

fn lookup(client: &mut Option<Client>, fleet_at: std::net::SocketAddr, id: u64) -> bool {
    if client.is_none() {
        *client = Client::try_connect(fleet_at);
    }
    let Some(answer) = client
        .as_mut()
        .and_then(|open| open.try_execute(&statement("lookup", id, LONGEST)))
    else {
        *client = None;
        return false;
    };
    if answer == Answer::Closed {
        *client = None;
    }
    matches!(answer, Answer::Rows(_))
}

/// When each start came, at which engine, by the byte of its gateway and its id.
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
fn all_act_by_the_last_change_of_a_burst_and_none_by_an_undone_one(seed: u64) {
    let Faults {
        plan,
        silent,
        broken,
        drop,
    } = draw(seed);
    // Shown where the test fails.
    println!(
        "seed {seed}: journal of n{silent} silent, of n{broken} broken, {drop:.3} lost\n{plan}"
    );
    let mut fleet = Fleet::start(FleetConfig {
        gateways: REAL,
        simulated_gateways: HOLLOW,
        prints_simulated_events: true,
        engines: FleetEngines::Simulated {
            count: LISTED,
            unlisted: 1,
        },
        direct_engines: true,
        max_statement_timeout_ms: LONGEST,
        peer_settings: Some(PEERS.into()),
        seed,
        ..FleetConfig::default()
    })
    .unwrap();
    let at: Vec<_> = fleet.gateways.iter().map(|seat| seat.address).collect();
    for from in 0..REAL + HOLLOW {
        for to in (0..REAL + HOLLOW).filter(|&to| to != from) {
            fleet
                .network
                .change(LinkEnd::Gateway(from), LinkEnd::Gateway(to), |way| {
                    way.datagram_loss = drop
                });
        }
    }
    fleet
        .network
        .block(LinkEnd::Journal, LinkEnd::Gateway(silent));
    let is_over = AtomicBool::new(false);
    let last_told = thread::scope(|scope| {
        for (g, &at) in at.iter().enumerate() {
            let is_over = &is_over;
            scope.spawn(move || {
                let mut client = None;
                for n in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    lookup(&mut client, at, id_for_gateway(g, n));
                    // A pace, no wait: nothing is read from how much came through.
                    thread::sleep(Duration::from_millis(3));
                }
            });
        }
        burst(&mut fleet, &plan, broken, seed);
        let told = timestamp_us();
        is_over.store(true, Ordering::Relaxed);
        told
    });
    // The last round: each gateway is asked until it acts by the last change, and then some more.
    let park = &fleet.simulated_engines.as_ref().unwrap().lines;
    thread::scope(|scope| {
        for (g, &at) in at.iter().enumerate() {
            scope.spawn(move || {
                let (mut client, mut after) = (None, 0);
                let until = Instant::now() + WAIT_TIMEOUT;
                for n in 0.. {
                    assert!(Instant::now() < until, "n{g} never acts by the last change");
                    let id = id_for_gateway(LAST_ROUND + g, n);
                    if lookup(&mut client, at, id) {
                        let text = format!("{id:016x}");
                        let line = park.wait("start", |line| line.ends_with(&text));
                        after += usize::from(line.contains(&format!(" start {LISTED} ")));
                    }
                    if after > AFTER {
                        return;
                    }
                }
            });
        }
    });
    // By what the engines counted.
    let mut first: BTreeMap<usize, u64> = BTreeMap::new();
    let mut rounds = starts(&fleet);
    rounds.sort();
    for (at, engine, by, id) in &rounds {
        assert!(
            *engine == LISTED || *at < last_told + IN_FORCE,
            "{id} at engine {engine}, which had drained"
        );
        if *engine == LISTED && *by >= LAST_ROUND {
            first.entry(*by - LAST_ROUND).or_insert(*at);
        } else if *by >= LAST_ROUND {
            let acted = first.get(&(by - LAST_ROUND));
            assert!(
                acted.is_none(),
                "{id} at engine {engine}: undone by a change that was acted by before"
            );
        }
    }
    for g in 0..REAL {
        let took = first[&g].saturating_sub(last_told);
        assert!(
            took <= IN_FORCE,
            "n{g} acts by the last change after {took} us"
        );
    }
    let crowd = &fleet.simulated_gateways.as_ref().unwrap().lines;
    for place in REAL..REAL + HOLLOW {
        let ends = format!(" event {place} {}", CHANGES + 1);
        let line = crowd.wait("last change", |line| line.ends_with(&ends));
        let at: u64 = line.split(' ').next().unwrap().parse().unwrap();
        assert!(
            at <= last_told + IN_FORCE,
            "hollow n{place} took the last change late"
        );
    }
    // No start went by untold.
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

/// Engines come and go by the seed; at last all that were listed drain, and one that nobody knew is
/// listed.
fn burst(fleet: &mut Fleet, plan: &FaultPlan, broken: usize, seed: u64) {
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
        while let Some((_, begins, fault)) = steps.next_if(|&(at, ..)| at <= change * APART) {
            fleet.apply_fault(fault, begins);
        }
        if change == CHANGES / 2 {
            fleet
                .network
                .reset(LinkEnd::Gateway(broken), LinkEnd::Journal);
        }
        let due = from + Duration::from_millis(change * APART);
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
                fleet.publish_engine_state(rng.random_range(0..LISTED), state);
            }
        }
    }
    // What the plan began is over: a gateway that is away can't act.
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
        max_statement_timeout_ms: LONGEST,
        peer_settings: Some(PEERS.into()),
        ..FleetConfig::default()
    })
    .unwrap();
    let (at, mut client) = (fleet.gateways[0].address, None);
    let served = (0..200)
        .filter(|&n| lookup(&mut client, at, id_for_gateway(0, n)))
        .count();
    for g in 0..2 {
        let sample = fleet.sample(g).unwrap();
        let apart = |own: u64, met: u64| own.abs_diff(met) as f64 / met as f64;
        let (out, into) = (
            apart(
                sample.traffic.bytes_out,
                sample.relay.bytes_from + sample.engines.bytes_in,
            ),
            apart(
                sample.traffic.bytes_in,
                sample.relay.bytes_to + sample.engines.bytes_out,
            ),
        );
        assert!(
            out < 0.1 && into < 0.1,
            "n{g}: {out:.3} and {into:.3} apart: {sample:?}"
        );
        let of_engines = apart(sample.traffic.to_engines, sample.engines.bytes_in.max(1));
        assert!(g > 0 || of_engines < 0.01, "calls: {sample:?}");
        assert_eq!(
            sample.engines.starts as usize,
            if g == 0 { served } else { 0 }
        );
    }
    assert!(served > 190, "{served}");
}
