//! The processes' half: real gateways beside hollow gateways and engines, side by side on the machine, each fleet at one
//! size; what the real ones use is read from the system over a window, and laid beside a second source.

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

/// The real gateways of a fleet: statements come to the first, the second bears witness as the hollow ones do.
const REAL: usize = 2;
/// As a fleet has them where another size is varied.
const PEERS: usize = 10;
const ENGINES: usize = 80;
/// Two sources of a figure may differ by so much of it.
const APART: f64 = 0.1;
/// Custody links each pair; less than this and links broke for want of a processor.
const LINKED: f64 = 0.9;
/// Hollow gateways that have less of a core to spare answer late, and their peers pay for it.
const BUSIEST: f64 = 0.8;
/// A statement's client waits so long.
const TIMEOUT_MS: u64 = 1000;
/// Patient, so that nobody is taken for lost because the machine is busy; at rest it costs nothing.
const SUSPICION_MS: u64 = 2000;
/// Connections of clients that statements come on in turn: one that waits holds up none of the others' times.
const SESSIONS: u64 = 4;

/// One fleet, at rest but for what stands here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Size {
    peers: usize,
    engines: usize,
    /// A second, to the first gateway.
    statements: u64,
    /// A second, by the journal to all.
    changes: u64,
}

const REST: Size = Size {
    peers: PEERS,
    engines: ENGINES,
    statements: 0,
    changes: 0,
};

/// How long each part takes.
#[derive(Clone, Copy)]
struct Spans {
    window: Duration,
    /// The window begins once no real gateway has said anything for so long: those that began lately teach each other
    /// and lend nothing.
    settle: Duration,
    /// Or after so long.
    settles_by: Duration,
    longest_ms: u64,
    remembered_ms: u64,
}

const QUICK: Spans = Spans {
    window: Duration::from_secs(8),
    settle: Duration::from_secs(3),
    settles_by: Duration::from_secs(5),
    longest_ms: 1000,
    remembered_ms: 400,
};
const FULL: Spans = Spans {
    window: Duration::from_secs(40),
    settle: Duration::from_secs(10),
    settles_by: Duration::from_secs(60),
    longest_ms: 3000,
    remembered_ms: 5000,
};

/// The sizes, and how many of them run beside each other.
fn sizes(quick: bool) -> Vec<Vec<Size>> {
    let peers = |peers| Size { peers, ..REST };
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
        true => vec![[small, vec![peers(30), peers(100)]].concat()],
        false => vec![small, vec![peers(30), peers(100)], vec![peers(300)]],
    }
}

/// One real gateway over the window.
#[derive(Clone, Copy, Debug)]
struct Used {
    seconds: f64,
    begin: Sample,
    end: Sample,
}

impl Used {
    fn rate(&self, of: impl Fn(&Sample) -> u64) -> f64 {
        of(&self.end).saturating_sub(of(&self.begin)) as f64 / self.seconds
    }

    fn cpu_us(&self) -> f64 {
        self.rate(|s| s.usage.cpu_ns) / 1000.0
    }

    fn cpu_ticks_us(&self) -> f64 {
        self.rate(|s| s.usage.cpu_ticks_ns) / 1000.0
    }

    fn bytes_out(&self) -> f64 {
        self.rate(|s| s.traffic.bytes_out)
    }

    fn bytes_in(&self) -> f64 {
        self.rate(|s| s.traffic.bytes_in)
    }

    /// The same by the relays and the engines.
    fn met_out(&self) -> f64 {
        self.rate(|s| s.relay.bytes_from + s.engines.bytes_in)
    }

    fn met_in(&self) -> f64 {
        self.rate(|s| s.relay.bytes_to + s.engines.bytes_out)
    }

    /// Descriptors beside the connections that the others count.
    fn beside(&self) -> f64 {
        self.end.usage.descriptors as f64 - (self.end.relay.open + self.end.engines.open) as f64
    }
}

/// What one fleet came to: its real gateways, and what the lab did to it.
struct Played {
    size: Size,
    used: Vec<Used>,
    /// Part of a core that each thread of hollow gateways took.
    crowd: f64,
    /// As they came, a second.
    statements: f64,
    changes: f64,
}

/// Statements at their times until the window is over; each connection has a part of them.
fn ask(address: std::net::SocketAddr, size: Size, session: u64, until: Instant) {
    if size.statements == 0 {
        return;
    }
    let (begun, each) = (
        Instant::now(),
        Duration::from_secs(1) / size.statements as u32,
    );
    let mut client = None;
    for n in (session..).step_by(SESSIONS as usize) {
        let due = begun + each * n as u32;
        if due >= until {
            return;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if client.is_none() {
            client = Client::try_connect(address);
        }
        let text = statement("lookup", id_for_gateway(0, n), TIMEOUT_MS);
        if client
            .as_mut()
            .is_some_and(|client| client.try_execute(&text).is_none())
        {
            client = None;
        }
    }
}

/// Events at their times, each of one engine that goes and comes back, until the window is over; their number.
fn change(fleet: &Fleet, size: Size, until: Instant) -> u64 {
    if size.changes == 0 {
        thread::sleep(until.saturating_duration_since(Instant::now()));
        return 0;
    }
    let (begun, each) = (Instant::now(), Duration::from_secs(1) / size.changes as u32);
    for n in 0.. {
        let due = begun + each * n as u32;
        if due >= until {
            thread::sleep(until.saturating_duration_since(Instant::now()));
            return n;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let state = if n % 2 == 0 {
            "terminating"
        } else {
            "in_service"
        };
        fleet.publish_engine_state((n / 2) as usize % size.engines, state);
    }
    0
}

fn settle(fleet: &Fleet, spans: Spans) {
    let said = || {
        fleet
            .gateways
            .iter()
            .map(|seat| seat.log.all().len())
            .sum::<usize>()
    };
    let late = Instant::now() + spans.settles_by;
    let (mut last, mut since) = (said(), Instant::now());
    while since.elapsed() < spans.settle && Instant::now() < late {
        thread::sleep(Duration::from_millis(100));
        let now = said();
        if now != last {
            (last, since) = (now, Instant::now());
        }
    }
}

fn play(size: Size, spans: Spans, seed: u64) -> Result<Played, String> {
    let mut fleet = Fleet::start(FleetConfig {
        gateways: REAL,
        simulated_gateways: size.peers + 1 - REAL,
        engines: FleetEngines::Simulated {
            count: size.engines,
            unlisted: 0,
        },
        direct_engines: true,
        max_statement_timeout_ms: spans.longest_ms,
        peer_settings: Some(format!(
            r#""suspicion_ms":{SUSPICION_MS},"custody":{{"remembered_ms":{}}},"shares":{{"enabled":true}}"#,
            spans.remembered_ms
        )),
        seed,
        ..FleetConfig::default()
    })?;
    settle(&fleet, spans);
    let sample = |fleet: &mut Fleet| {
        (0..REAL)
            .map(|g| fleet.sample(g).ok_or(format!("n{g} shows nothing")))
            .collect::<Result<Vec<_>, _>>()
    };
    // Traffic runs before the window begins and goes on behind it.
    let until = Instant::now() + spans.window + Duration::from_secs(2);
    let address = fleet.gateways[0].address;
    let asking: Vec<_> = (0..SESSIONS)
        .map(|s| thread::spawn(move || ask(address, size, s, until)))
        .collect();
    change(&fleet, size, until - spans.window - Duration::from_secs(1));
    let crowd = fleet
        .simulated_gateways
        .as_ref()
        .map_or(0, TestbedProcess::id);
    let begin = sample(&mut fleet)?;
    let (from, crowd_began) = (Instant::now(), cpu_ticks_ns(crowd).unwrap_or(0));
    let events = change(&fleet, size, from + spans.window);
    let crowd_used = cpu_ticks_ns(crowd).unwrap_or(0).saturating_sub(crowd_began) as f64 * 1e-9;
    let seconds = from.elapsed().as_secs_f64();
    let crowd = crowd_used
        / seconds
        / fleet
            .config
            .simulated_gateways
            .div_ceil(GATEWAYS_PER_THREAD) as f64;
    let end = sample(&mut fleet)?;
    for asking in asking {
        asking.join().map_err(|_| "a client failed".to_owned())?;
    }
    fleet.shut_down();
    if let Some(crash) = fleet.crashes.first() {
        return Err(crash.clone());
    }
    let used: Vec<Used> = begin
        .into_iter()
        .zip(end)
        .map(|(begin, end)| Used {
            seconds: (end.usage.at - begin.usage.at).as_secs_f64(),
            begin,
            end,
        })
        .collect();
    let statements = used[0].rate(|s| s.engines.starts);
    Ok(Played {
        size,
        crowd,
        statements,
        changes: events as f64 / seconds,
        used,
    })
}

/// As a part of the larger; figures below `noise` are not told apart.
fn apart(a: f64, b: f64, noise: f64) -> f64 {
    ((a - b).abs() - noise).max(0.0) / a.max(b).max(f64::MIN_POSITIVE)
}

/// Both sources of each figure of each real gateway, no more than a tenth apart.
fn checks(played: &[Played]) -> Vec<Bound> {
    let beside = played
        .iter()
        .find(|p| p.size == REST)
        .map_or(0.0, |p| p.used[0].beside());
    let mut bounds = Vec::new();
    for Played {
        size, used, crowd, ..
    } in played
    {
        let Size {
            peers,
            engines,
            statements,
            changes,
        } = size;
        let what = format!("hollow gateways at {peers} peers: part of a core by thread");
        bounds.push(Bound::new(&what, *crowd, 0.0, BUSIEST));
        for (g, used) in used.iter().enumerate() {
            let place = format!(
                "n{g} at {peers} peers, {engines} engines, {statements} statements/s, {changes} changes/s"
            );
            // Where the machine is too busy for the hollow ones they are taken for lost and links break: what that
            // costs is not the cost of rest.
            let lost = (used.end.lost_members - used.begin.lost_members) as f64;
            bounds.push(Bound::new(
                &format!("{place}: members lost though they lived"),
                lost,
                0.0,
                0.0,
            ));
            let linked =
                used.end.relay.open.saturating_sub(1).min(*peers as u64) as f64 / *peers as f64;
            bounds.push(Bound::new(
                &format!("{place}: links up, part of peers"),
                linked,
                LINKED,
                1.0,
            ));
            // Two steps of the clock of `stat`, a page list that grows while it is read, what is under way.
            let ticks = 2.0 * TICK_NS as f64 / 1000.0 / used.seconds;
            let end = &used.end.usage;
            let known = (used.end.relay.open + used.end.engines.open) as f64 + beside;
            let both = [
                (
                    "processor time, scheduler and stat",
                    apart(used.cpu_us(), used.cpu_ticks_us(), ticks),
                ),
                (
                    "memory, status and mappings",
                    apart(
                        end.resident_bytes as f64,
                        end.mapped_resident_bytes as f64,
                        0.0,
                    ),
                ),
                (
                    "bytes out, gateway and those it met",
                    apart(used.bytes_out(), used.met_out(), 0.0),
                ),
                (
                    "bytes in, gateway and those it met",
                    apart(used.bytes_in(), used.met_in(), 0.0),
                ),
                (
                    "descriptors, system and those it met",
                    apart(end.descriptors as f64, known, 0.0),
                ),
            ];
            for (what, apart) in both {
                bounds.push(Bound::new(
                    &format!("{place}: {what} apart, part"),
                    apart,
                    0.0,
                    APART,
                ));
            }
        }
    }
    bounds
}

type Of = fn(&Used) -> f64;

const FIGURES: [(&str, &str, Of); 5] = [
    ("processor time", "us/s", Used::cpu_us),
    ("memory", "bytes", |used| {
        used.end.usage.resident_bytes as f64
    }),
    ("descriptors", "", |used| used.end.usage.descriptors as f64),
    ("bytes out", "bytes/s", Used::bytes_out),
    ("bytes in", "bytes/s", Used::bytes_in),
];

/// What engines see of the gateway that statements come to, over all of them.
const ENGINE_FIGURES: [(&str, &str, Of); 3] = [
    ("descriptors", "", |used| used.end.engines.open as f64),
    ("bytes out", "bytes/s", |used| {
        used.rate(|s| s.engines.bytes_out)
    }),
    ("bytes in", "bytes/s", |used| {
        used.rate(|s| s.engines.bytes_in)
    }),
];

fn measures(played: &[Played]) -> Vec<Measure> {
    let mut all = Vec::new();
    // Whether a fleet varies only in this, and by how much.
    type Varies = (&'static str, fn(&Size) -> Size, fn(&Played) -> f64);
    let varied: [Varies; 4] = [
        (
            "peers",
            |size| Size {
                peers: PEERS,
                ..*size
            },
            |p| p.size.peers as f64,
        ),
        (
            "engines",
            |size| Size {
                engines: ENGINES,
                ..*size
            },
            |p| p.size.engines as f64,
        ),
        (
            "statements",
            |size| Size {
                statements: 0,
                ..*size
            },
            |p| p.statements,
        ),
        (
            "changes",
            |size| Size {
                changes: 0,
                ..*size
            },
            |p| p.changes,
        ),
    ];
    for (by, rest, x) in varied {
        let series = |figure: Of| {
            let these = played.iter().filter(|p| rest(&p.size) == REST);
            // Where statements come, the first alone has them.
            let gateways = |p: &Played| if by == "statements" { 1 } else { p.used.len() };
            let mean = |p: &Played| {
                p.used[..gateways(p)].iter().map(figure).sum::<f64>() / gateways(p) as f64
            };
            let mut points: Vec<(f64, f64)> = these.map(|p| (x(p), mean(p))).collect();
            points.sort_by(|a, b| a.0.total_cmp(&b.0));
            points
        };
        for (what, unit, figure) in FIGURES {
            let points = series(figure);
            all.push(Measure {
                role: "gateway",
                what,
                unit,
                by,
                points,
                is_simulated: false,
            });
        }
        if by == "statements" {
            for (what, unit, figure) in ENGINE_FIGURES {
                let points = series(figure);
                all.push(Measure {
                    role: "engine",
                    what,
                    unit,
                    by,
                    points,
                    is_simulated: false,
                });
            }
        }
    }
    all
}

/// The measures, and beside them what their two sources say, each fleet that was not played among it.
pub fn measure_checked(quick: bool, seed: u64) -> (Vec<Measure>, Vec<Bound>) {
    let spans = if quick { QUICK } else { FULL };
    let (mut played, mut bounds) = (Vec::new(), Vec::new());
    for beside in sizes(quick) {
        let runs: Vec<Result<Played, String>> = thread::scope(|scope| {
            let runs: Vec<_> = beside
                .iter()
                .map(|&size| scope.spawn(move || play(size, spans, seed)))
                .collect();
            let joined = runs
                .into_iter()
                .map(|run| run.join().unwrap_or_else(|_| Err("it failed".into())));
            joined.collect()
        });
        for (size, run) in beside.iter().zip(runs) {
            match run {
                Ok(run) => played.push(run),
                Err(why) => {
                    bounds.push(Bound::new(
                        &format!("{size:?} is played: {why}"),
                        0.0,
                        1.0,
                        f64::MAX,
                    ));
                }
            }
        }
    }
    bounds.extend(checks(&played));
    (measures(&played), bounds)
}

/// The measures; what their two sources differ by is printed where it is too much.
pub fn measure(quick: bool, seed: u64) -> Vec<Measure> {
    let (measures, bounds) = measure_checked(quick, seed);
    for bound in bounds.iter().filter(|bound| !bound.holds()) {
        println!("failed: {}: {:.3}", bound.what, bound.is);
    }
    measures
}
