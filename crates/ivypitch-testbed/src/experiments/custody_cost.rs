//! The experiment `custody-cost`: what it costs that work in hand outlives its gateway, where nothing is lost. Latency
//! and processor time on real processes, with and without peers side by side; bytes among gateways, counted at their
//! links, and how they grow with the fleet, in virtual time.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::processes::clients::{self, ClientConfig, PlannedStatement, StatementHistory};
use crate::processes::{Fleet, FleetConfig, FleetEngines};
use crate::report::{Bound, Report};
use crate::virtual_time::faults::FaultPlan;
use crate::virtual_time::ownership_fleet;

const LONGEST_MS: u64 = 3000;
const REMEMBERED_MS: u64 = 500;

#[derive(Default)]
struct Cost {
    /// Microseconds from the client's time to its rows.
    loads: Vec<u64>,
    lookups: Vec<u64>,
    unserved: usize,
    /// Microseconds of processor time a statement.
    cpu: f64,
    /// Among gateways, beyond what they say when nothing runs, a statement.
    bytes: f64,
    /// Of members and links at rest, a gateway a second.
    idle_bytes: f64,
}

fn traffic(span: u64, gap: u64, seed: u64) -> Vec<PlannedStatement> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let all = Arc::new(Vec::new());
    let (mut asks, mut at) = (Vec::new(), 0);
    while at < span {
        asks.push(PlannedStatement {
            at_ms: at,
            req: rng.random::<u64>() & 0xff_ffff_ffff,
            is_bulk_load: rng.random_bool(0.4),
            work_ms: rng.random_range(2..12),
            timeout_ms: LONGEST_MS,
            has_second_client: false,
            gateway_weights: all.clone(),
            owner: "acme",
        });
        at += rng.random_range(1..=2 * gap);
    }
    asks
}

fn run(gateways: usize, peers: bool, span: u64, seed: u64) -> Result<Cost, String> {
    let custody = format!(r#""custody":{{"remembered_ms":{REMEMBERED_MS}}}"#);
    let mut fleet = Fleet::start(FleetConfig {
        gateways,
        engines: FleetEngines::Processes {
            count: 4,
            cores: 16.0,
        },
        max_statement_timeout_ms: LONGEST_MS,
        peer_settings: peers.then_some(custody),
        seed,
        ..FleetConfig::default()
    })?;
    // Witnesses vote after this; what members say at rest is counted in its second half.
    let warm = Duration::from_millis(LONGEST_MS + REMEMBERED_MS + 1000);
    thread::sleep(warm / 2);
    let (before, _) = fleet.network.gateway_traffic();
    thread::sleep(warm / 2);
    let (after, _) = fleet.network.gateway_traffic();
    let idle_rate = (after - before) as f64 / (warm / 2).as_secs_f64();
    let asks = traffic(span, 8, seed);
    let addresses: Vec<_> = fleet.gateways.iter().map(|seat| seat.address).collect();
    let (cpu, (bytes, _), begun) = (
        fleet.cpu_time_us(),
        fleet.network.gateway_traffic(),
        Instant::now(),
    );
    let manners = ClientConfig {
        answer_timeout: Duration::from_secs(4),
        seed,
    };
    let stories: Vec<StatementHistory> = clients::run_clients(&asks, &addresses, manners, begun);
    let took = begun.elapsed().as_secs_f64();
    let used = fleet.cpu_time_us() - cpu;
    let said = (fleet.network.gateway_traffic().0 - bytes) as f64 - idle_rate * took;
    fleet.shut_down();
    if let Some(crash) = fleet.crashes.first() {
        return Err(crash.clone());
    }
    let of = |load: bool| {
        let all = asks
            .iter()
            .zip(&stories)
            .filter(|(ask, _)| ask.is_bulk_load == load);
        let mut times: Vec<u64> = all.filter_map(|(_, story)| story.served_after_us).collect();
        times.sort_unstable();
        times
    };
    Ok(Cost {
        loads: of(true),
        lookups: of(false),
        unserved: stories
            .iter()
            .filter(|s| s.served_after_us.is_none())
            .count(),
        cpu: used as f64 / asks.len() as f64,
        bytes: said.max(0.0) / asks.len() as f64,
        idle_bytes: idle_rate / gateways as f64,
    })
}

fn at(times: &[u64], part: f64) -> f64 {
    let last = times.len().saturating_sub(1);
    times
        .get((last as f64 * part).round() as usize)
        .copied()
        .unwrap_or(0) as f64
        / 1000.0
}

pub fn play(quick: bool, seed: u64) -> Report {
    let mut report = Report::new("custody-cost", seed);
    let span = if quick { 6_000 } else { 30_000 };
    for gateways in [3, 8] {
        // One after the other: what is compared must not share the cores.
        let (off, with) = (
            run(gateways, false, span, seed),
            run(gateways, true, span, seed),
        );
        let place = format!(
            "{gateways} gateways, 4 engines as processes, {} s",
            span / 1000
        );
        let mut bound = |what: &str, is: f64, least: f64, most: f64| {
            report
                .bounds
                .push(Bound::new(&format!("{place}: {what}"), is, least, most))
        };
        let (off, with) = match (off, with) {
            (Ok(off), Ok(with)) => (off, with),
            (off, with) => {
                [off, with]
                    .into_iter()
                    .filter_map(Result::err)
                    .for_each(|e| eprintln!("not played: {e}"));
                bound("the runs end", 0.0, 1.0, f64::MAX);
                continue;
            }
        };
        bound(
            "statements not served",
            (off.unserved + with.unserved) as f64,
            0.0,
            0.0,
        );
        for (name, off, with) in [
            ("load", &off.loads, &with.loads),
            ("lookup", &off.lookups, &with.lookups),
        ] {
            for (what, part) in [("median", 0.5), ("99th", 0.99)] {
                bound(
                    &format!("{name}, {what} ms without peers"),
                    at(off, part),
                    0.0,
                    f64::MAX,
                );
                bound(
                    &format!("{name}, {what} ms with"),
                    at(with, part),
                    0.0,
                    f64::MAX,
                );
            }
        }
        bound(
            "CPU of all gateways, us a statement without peers",
            off.cpu,
            0.0,
            f64::MAX,
        );
        bound(
            "CPU of all gateways, us a statement with, members' own in it",
            with.cpu,
            0.0,
            f64::MAX,
        );
        bound(
            "bytes among gateways a statement",
            with.bytes,
            0.0,
            f64::MAX,
        );
        bound(
            "bytes at rest a gateway a second",
            with.idle_bytes,
            0.0,
            f64::MAX,
        );
    }
    for gateways in if quick { vec![3, 30] } else { vec![3, 30, 300] } {
        let fleet = ownership_fleet::Fleet {
            gateways,
            counts_bytes: true,
            ..ownership_fleet::Fleet::default()
        };
        let verdict = ownership_fleet::run(&fleet, &FaultPlan::default(), seed);
        let place = format!("virtual time, {gateways} gateways, no faults");
        let all = verdict.statements.max(1) as f64;
        let mut bound = |what: &str, is: f64, least: f64, most: f64| {
            report
                .bounds
                .push(Bound::new(&format!("{place}: {what}"), is, least, most))
        };
        bound(
            "promises broken",
            f64::from(u8::from(!verdict.holds())),
            0.0,
            0.0,
        );
        bound(
            "messages a statement",
            verdict.messages as f64 / all,
            0.0,
            f64::MAX,
        );
        bound(
            "bytes a statement, text of 200 bytes",
            verdict.bytes as f64 / all,
            0.0,
            f64::MAX,
        );
        bound(
            "most statements held as a witness",
            verdict.max_vote_log_entries as f64,
            0.0,
            f64::MAX,
        );
    }
    report
}
