//! Plays the text scenarios. `;` or a new line ends a step; `#` begins a comment, times are milliseconds.
//!
//! `set NAME VALUE` changes a fact; `workload NAME k=v ..`, `kind cores=8`, `tenant allowance=1` add rows; `list
//! full|delta|cached A k=v / B ..` starts the gateway at first use; `at T` plays the clock with its wakes; `arrive S
//! WORKLOAD k=v ..`, `end S OUTCOME [report=a,b] [cost=MS]`, `note S share|spills|memory|load [X]`, `under-way S`,
//! `expire S` and `peer FROM begins|ends ENGINE GROUP` tell; `expect WORDS` takes the first
//! action that begins so and drops those before it, `never WORDS` forbids it since then, `idle` wants all sums zero.
//! `begin S yes|no` asks whether the last execution of S may leave now. `names A yes|no` asks whether the module names an engine, `pass A B` gives its index to another.
//! `adopt S WORKLOAD k=v .. / ENGINE` takes over an execution there; `advise ENGINE out|tries|well|none` and `part C X` tell what
//! all gateways say and hold. `answer ENGINE REPORT` answers a probe; `list-many N k=v ..` lists N engines alike, `peer-bytes` sends raw bytes. `fleet N` plays the steps as each of N gateways; `together A B` bounds
//! their sends in all, `first N STEP` is a step of the first N alone. `arrive-many N WORKLOAD k=v ..` are N statements alike,
//! `serve N WORKLOAD [outcome=O]` N of as many table groups, each ended at once. `used A B` bounds the engines that the gateway has
//! sent to, `held A B` the gateways of a fleet that have sent to an engine, `restart` begins it anew with nothing but its facts.

use ivypitch_scheduler::Scheduler;
use ivypitch_scheduler::*;
use ivypitch_types::*;
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

const MS: Nanos = SECOND / 1000;

#[derive(Default)]
struct Seen {
    actions: Vec<String>,
    stmts: Vec<String>,
    engines: Vec<String>,
    /// The engine and number of each statement's last execution.
    sent: BTreeMap<usize, (EngineIndex, u32)>,
    used: BTreeSet<EngineIndex>,
    wakes: Vec<(Nanos, u64)>,
    now: Nanos,
}

impl Seen {
    fn act(&mut self, verb: &str, stmt: StatementIndex, more: &str) {
        self.actions
            .push(format!("{verb} {} {more}", self.stmts[stmt.0]));
    }
}

impl Output for Seen {
    fn send(&mut self, stmt: StatementIndex, engine: EngineIndex, _timeout: Nanos) {
        let number = self.sent.get(&stmt.0).map_or(0, |s| s.1 + 1);
        self.sent.insert(stmt.0, (engine, number));
        self.used.insert(engine);
        let name = self.engines[engine.0].clone();
        self.act("send", stmt, &name);
    }
    fn cancel(&mut self, stmt: StatementIndex, _execution: u32) {
        self.act("withdraw", stmt, "");
    }
    fn set_resources(&mut self, stmt: StatementIndex, grant_mb: f64, priority: u8) {
        self.act("terms", stmt, &format!("{grant_mb:.0} {priority}"));
    }
    fn reject(&mut self, stmt: StatementIndex, retry_after: Nanos) {
        self.act("reject", stmt, &format!("{}", retry_after / MS));
    }
    fn abort(&mut self, stmt: StatementIndex) {
        self.act("abort", stmt, "");
    }
    fn forget(&mut self, stmt: StatementIndex) {
        self.act("forget", stmt, "");
    }
    fn set_timer(&mut self, mark: u64, after: Nanos) {
        self.wakes.push((self.now + after, mark));
    }
    fn request_load_report(&mut self, engine: EngineIndex) {
        self.actions
            .push(format!("probe {}", self.engines[engine.0]));
    }
    fn broadcast(&mut self, bytes: &[u8]) {
        self.actions.push(format!("publish {}", bytes[0] & 1));
    }
    fn watch_endpoints(&mut self) {
        self.actions.push("watch".into());
    }
    fn log(&mut self, line: &str) {
        self.actions.push(format!("log {line}"));
    }
}

struct Fields<'a>(Vec<&'a str>);

impl Fields<'_> {
    fn text(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
    }
    fn number(&self, name: &str, otherwise: f64) -> f64 {
        self.text(name)
            .map_or(otherwise, |v| v.parse().expect(name))
    }
    fn ms(&self, name: &str, otherwise: f64) -> Nanos {
        (self.number(name, otherwise) * MS as f64) as Nanos
    }
    fn list<T: std::str::FromStr<Err: std::fmt::Debug>>(&self, name: &str) -> Option<Vec<T>> {
        self.text(name)
            .map(|v| v.split(',').map(|n| n.parse().expect(name)).collect())
    }
}

fn facts() -> Deployment {
    Deployment {
        gateways: 1,
        tick: 5 * MS,
        over_quota_priority_weight: 0.1,
        max_open_statements: usize::MAX,
        report_fields: vec![ReportField::Inflight, ReportField::Cpu],
        progress_interval: 2 * SECOND,
        can_cancel: true,
        honors_retry_after: true,
        max_retry_after: SECOND,
        max_attempts: 4,
        slow_start_initial_fraction: 0.3,
        slow_start_duration: 15 * SECOND,
        overload_factor: 2.0,
        overload_window: SECOND,
        key_settle_time: Some(SECOND),
        ..Deployment::default()
    }
}

fn set(facts: &mut Deployment, name: &str, value: f64) {
    let on = value != 0.0;
    match name {
        "gateways" => facts.gateways = value as usize,
        "me" => facts.member_index = value as usize,
        "probes" => facts.can_request_load_reports = on,
        "ask" => facts.must_request_endpoints = on,
        "publish" => facts.can_broadcast = on,
        "memory" => facts.honors_memory_grants = on,
        "executions" => facts.max_attempts = value as u32,
        "places" => facts.max_open_statements = value as usize,
        "priority" => facts.honors_priorities = on,
        "budget-free" => {
            let window = 5 * SECOND;
            facts.retry_budget = Some(RetryBudget {
                window,
                base: value,
                per_statement: 0.0,
            });
        }
        other => panic!("unknown fact {other}"),
    }
}

fn workload(f: &Fields) -> Workload {
    Workload {
        latency_objective: f.ms("slo", 500.0),
        latency_objective_stretch: 1.5,
        statement_timeout: f.ms("timeout", 4000.0),
        priority_weight: f.number("importance", 1.0),
        idempotency: match f.text("effect") {
            Some("deduplicated") => Idempotency::IdempotentWithKey,
            Some("non-idempotent") => Idempotency::NonIdempotent,
            _ => Idempotency::Idempotent,
        },
        deduplication_scope: match f.text("dedup") {
            Some("all") => DeduplicationScope::All,
            Some("zone") => DeduplicationScope::Zone,
            _ => DeduplicationScope::Cell,
        },
        deduplication_window: f.ms("window", 1000.0),
        is_ordered_by_key: f.text("order").is_some(),
        allowed_zones: f.list("zones"),
        allowed_engine_kinds: f.list("kinds"),
        threads: f.number("threads", 1.0),
        is_bulk_load: f.text("load").is_some(),
        waits_for_bulk_loads: f.text("waits").is_some(),
    }
}

fn outcome(word: &str) -> Outcome {
    match word {
        "completed" => Outcome::Completed,
        "error" => Outcome::Error,
        "full" => Outcome::Overloaded,
        "timed-out" => Outcome::TimedOut,
        "connect-failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "moot" => Outcome::NeverDispatched,
        "unsent" => Outcome::NotSent,
        other => panic!("unknown outcome {other}"),
    }
}

struct Play {
    facts: Deployment,
    gateway: Option<Scheduler>,
    seen: Seen,
    names: Vec<String>,
    /// How often an engine's index has passed to another.
    passed: BTreeMap<usize, u64>,
}

impl Play {
    fn gateway(&mut self) -> (&mut Scheduler, &mut Seen) {
        let (facts, seen) = (&self.facts, &mut self.seen);
        let gateway = self.gateway.get_or_insert_with(|| {
            let mut gateway = Scheduler::new(facts.clone(), 7, seen.now);
            gateway.start(seen.now, seen);
            gateway
        });
        (gateway, seen)
    }

    fn engine(&mut self, name: &str) -> EngineIndex {
        let engines = &mut self.seen.engines;
        EngineIndex(engines.iter().position(|e| e == name).unwrap_or_else(|| {
            engines.push(name.into());
            engines.len() - 1
        }))
    }

    /// `@S` stands for the engine that S was sent to last.
    fn home(&self, word: &str) -> String {
        let Some(stmt) = word.strip_prefix('@') else {
            return word.into();
        };
        self.seen.engines[self.seen.sent[&self.stmt(stmt).0].0.0].clone()
    }

    fn stmt(&self, name: &str) -> StatementIndex {
        StatementIndex(
            self.seen
                .stmts
                .iter()
                .position(|s| s == name)
                .expect("a statement that came"),
        )
    }

    fn step(&mut self, line: &str) {
        let homes: Vec<String> = line
            .split_whitespace()
            .map(|word| self.home(word))
            .collect();
        let words: Vec<&str> = homes.iter().map(String::as_str).collect();
        let f = Fields(words.clone());
        let now = self.seen.now;
        match words[0] {
            "set" => set(&mut self.facts, words[1], words[2].parse().unwrap()),
            "workload" => {
                self.names.push(words[1].into());
                self.facts.workloads.push(workload(&f));
            }
            "kind" => self.facts.kinds.push(EngineKind {
                cores: f.number("cores", 8.0),
                memory_mb: 16384.0,
            }),
            "customer" => self.facts.tenants.push(Tenant {
                quota_per_second: f.number("allowance", 1.0),
            }),
            "list" => {
                let mut rows = Vec::new();
                for part in words[2..].split(|&w| w == "/").filter(|p| !p.is_empty()) {
                    let f = Fields(part.to_vec());
                    let engine = self.engine(part[0]);
                    rows.push(EngineEndpoint {
                        engine,
                        id: engine.0 as u64 * 77
                            + 5
                            + self.passed.get(&engine.0).copied().unwrap_or(0),
                        zone: f.number("zone", 0.0) as u16,
                        kind: f.number("kind", 0.0) as u16,
                        cell: f.number("cell", 0.0) as u16,
                        phase: match f.text("phase") {
                            Some("draining") => EngineState::Draining,
                            Some("gone") => EngineState::Gone,
                            _ => EngineState::Ready,
                        },
                        weight: f.number("weight", 1.0),
                        started_at: f.ms("started", 0.0),
                    });
                }
                let kind = match words[1] {
                    "full" => Some(EndpointUpdateKind::Full),
                    "cached" => Some(EndpointUpdateKind::Snapshot),
                    "delta" => Some(EndpointUpdateKind::Delta),
                    _ => None,
                };
                let (gateway, seen) = self.gateway();
                match kind {
                    Some(kind) => gateway.on_endpoints_updated(now, kind, &rows, seen),
                    None => gateway.on_endpoint_watch_failed(now, seen),
                }
            }
            "at" => {
                let until = words[1].parse::<Nanos>().unwrap() * MS;
                while let Some(next) = self
                    .seen
                    .wakes
                    .iter()
                    .copied()
                    .filter(|w| w.0 <= until)
                    .min()
                {
                    self.seen.wakes.retain(|w| *w != next);
                    self.seen.now = next.0;
                    let (gateway, seen) = self.gateway();
                    gateway.on_timer(next.0, next.1, seen);
                }
                self.seen.now = until;
            }
            "advise" => {
                let engine = self.engine(words[1]);
                let is = |what: &str| words[2] == what;
                let advice = OutlierStatus {
                    is_out: is("out") || is("tries"),
                    tries: is("tries"),
                    is_well: is("well"),
                };
                let (gateway, seen) = self.gateway();
                gateway.on_outlier_status(engine, advice, seen);
            }
            "part" => {
                let (tenant, part) = (words[1].parse().unwrap(), words[2].parse().unwrap());
                self.gateway().0.set_quota_share(tenant, part);
            }
            "arrive" | "adopt" => {
                let stmt = StatementIndex(self.seen.stmts.len());
                self.seen.stmts.push(words[1].into());
                let arrival = Arrival {
                    workload: self
                        .names
                        .iter()
                        .position(|n| n == words[2])
                        .unwrap_or(usize::MAX),
                    key: f.number("key", 0.0) as u64,
                    table_group: f.number("group", 1.0) as u32,
                    time_left: f.ms("left", 4000.0),
                    is_repeat: false,
                    tenant: f.number("customer", 0.0) as usize,
                    estimated_mb: f.number("mb", 0.0),
                    estimated_work: f.ms("work", 100.0),
                };
                let at = words
                    .iter()
                    .position(|w| *w == "/")
                    .map(|i| self.engine(words[i + 1]));
                if let Some(at) = at {
                    self.seen.sent.insert(stmt.0, (at, 0));
                }
                let (gateway, seen) = self.gateway();
                match at {
                    Some(at) => gateway.adopt_statement(now, stmt, arrival, at, seen),
                    None => gateway.on_statement_arrived(now, stmt, arrival, seen),
                }
            }
            "end" => {
                let stmt = self.stmt(words[1]);
                let (engine, number) = self.seen.sent[&stmt.0];
                let report: Vec<f32> = f.list("report").unwrap_or_default();
                let outcome = outcome(words[2]);
                let ended = AttemptEnded {
                    attempt: f.number("execution", f64::from(number)) as u32,
                    engine,
                    outcome,
                    took: f.ms("took", 100.0),
                    closed: outcome == Outcome::Completed || f.text("closed").is_some(),
                    true_cost: f.text("cost").map(|c| (c.parse().unwrap(), 0.0)),
                    report: &report,
                };
                let (gateway, seen) = self.gateway();
                gateway.on_attempt_ended(now, stmt, &ended, seen);
            }
            "note" => {
                let stmt = self.stmt(words[1]);
                let x = || words[3].parse().unwrap();
                let note = match words[2] {
                    "share" => AttemptProgress::FractionDone(x()),
                    "spills" => AttemptProgress::SpilledMb(x()),
                    _ => AttemptProgress::WaitingForMemory,
                };
                let number = self.seen.sent[&stmt.0].1;
                let (gateway, seen) = self.gateway();
                gateway.on_progress(now, stmt, number, note, seen);
            }
            "under-way" | "expire" => {
                let stmt = self.stmt(words[1]);
                let number = self.seen.sent.get(&stmt.0).map_or(0, |s| s.1);
                let (gateway, seen) = self.gateway();
                match words[0] {
                    "expire" => gateway.on_statement_expired(now, stmt, seen),
                    _ => gateway.on_response_started(now, stmt, number),
                }
            }
            "answer" => {
                let engine = self.engine(words[1]);
                let report: Vec<f32> = words[2].split(',').map(|v| v.parse().unwrap()).collect();
                let (gateway, seen) = self.gateway();
                gateway.on_load_report(now, engine, &report, seen);
            }
            "begin" => {
                let stmt = self.stmt(words[1]);
                let number = self.seen.sent[&stmt.0].1;
                assert_eq!(
                    self.gateway().0.confirm_send(now, stmt, number),
                    words[2] == "yes",
                    "{line}"
                );
            }
            "names" => {
                let engine = self.engine(words[1]);
                assert_eq!(
                    self.gateway().0.is_engine_referenced(engine),
                    words[2] == "yes",
                    "{line}"
                );
            }
            "pass" => {
                let engine = self.engine(words[1]);
                self.seen.engines[engine.0] = words[2].into();
                *self.passed.entry(engine.0).or_default() += 1;
            }
            "arrive-many" => {
                for i in 0..words[1].parse::<usize>().unwrap() {
                    let name = format!("m{i}-{}", self.seen.stmts.len());
                    self.step(&format!("arrive {name} {}", words[2..].join(" ")));
                }
            }
            "serve" => {
                for i in 0..words[1].parse::<usize>().unwrap() {
                    let name = format!("s{i}-{}", self.seen.stmts.len());
                    let stmt = self.seen.stmts.len();
                    self.step(&format!("arrive {name} {} group={i}", words[2]));
                    let mut ended = None;
                    // As often as it is sent, once each.
                    while self.seen.sent.get(&stmt).map(|sent| sent.1) != ended {
                        ended = self.seen.sent.get(&stmt).map(|sent| sent.1);
                        self.step(&format!(
                            "end {name} {}",
                            f.text("outcome").unwrap_or("completed")
                        ));
                    }
                }
            }
            "used" => {
                let bounds: Vec<usize> = words[1..].iter().map(|n| n.parse().unwrap()).collect();
                let used = self.seen.used.len();
                assert!(
                    (bounds[0]..=bounds[1]).contains(&used),
                    "{used} engines used, {bounds:?} wanted"
                );
            }
            "restart" => self.gateway = None,
            "first" => {
                if self.facts.member_index < words[1].parse().unwrap() {
                    self.step(&words[2..].join(" "));
                }
            }
            "peer-bytes" => {
                let bytes: Vec<u8> = words[1].split(',').map(|b| b.parse().unwrap()).collect();
                self.gateway().0.on_peer_message(now, &bytes);
            }
            "list-many" => {
                let rows = words[1].parse::<usize>().unwrap();
                let line = (0..rows).map(|i| format!("e{i} {}", words[2..].join(" ")));
                self.step(&format!(
                    "list full {}",
                    line.collect::<Vec<_>>().join(" / ")
                ));
            }
            "peer" => {
                let engine = self.engine(words[3]);
                let tag = bulk_load_tag(engine.0 as u64 * 77 + 5, words[4].parse().unwrap());
                let bytes = (tag << 1 | u32::from(words[2] == "begins")).to_le_bytes();
                self.gateway().0.on_peer_message(now, &bytes);
            }
            "expect" => {
                let wanted = words[1..].join(" ");
                let at = self.seen.actions.iter().position(|a| begins(a, &wanted));
                let at = at.unwrap_or_else(|| panic!("no {wanted:?} in {:#?}", self.seen.actions));
                self.seen.actions.drain(..=at);
            }
            "never" => {
                let forbidden = words[1..].join(" ");
                let found = self.seen.actions.iter().find(|a| begins(a, &forbidden));
                assert!(found.is_none(), "{found:?} in {:#?}", self.seen.actions);
            }
            "idle" => {
                let (gateway, _) = self.gateway();
                assert_eq!(
                    gateway.in_flight(),
                    InFlight::default(),
                    "statements, executions, threads"
                );
            }
            other => panic!("unknown step {other}"),
        }
    }
}

fn begins(action: &str, wanted: &str) -> bool {
    format!("{} ", action.trim_end()).starts_with(&format!("{wanted} "))
}

#[test_case("ordinary")]
#[test_case("rules")]
#[test_case("endings")]
#[test_case("health")]
#[test_case("odd")]
#[test_case("fleet")]
#[test_case("leaving")]
#[test_case("crowded")]
#[test_case("subset")]
fn scenario(name: &str) {
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the scenario's file");
    // Each `scenario` line starts afresh.
    for scenario in text.split("\nscenario ").skip(1) {
        let (title, steps) = scenario.split_once('\n').expect("a title and steps");
        let fleet = steps
            .lines()
            .find_map(|l| l.strip_prefix("fleet "))
            .map_or(1, |n| n.parse().unwrap());
        let (mut sends, mut holders) = (0, BTreeMap::<EngineIndex, usize>::new());
        for me in 0..fleet {
            let mut play = Play {
                facts: facts(),
                gateway: None,
                seen: Seen::default(),
                names: vec![],
                passed: BTreeMap::new(),
            };
            play.facts.member_index = me;
            for (i, line) in steps.lines().enumerate() {
                let line = line.split('#').next().unwrap_or("").trim();
                let of_all = ["fleet ", "together ", "held "];
                if line.is_empty() || of_all.iter().any(|word| line.starts_with(word)) {
                    continue;
                }
                println!("{title}, line {}: {line}", i + 1);
                line.split("; ").for_each(|step| play.step(step));
            }
            play.seen
                .used
                .iter()
                .for_each(|&engine| *holders.entry(engine).or_default() += 1);
            sends += play
                .seen
                .actions
                .iter()
                .filter(|a| a.starts_with("send "))
                .count();
        }
        let bounds = |word: &str| {
            let line = steps.lines().find_map(|l| l.strip_prefix(word))?;
            Some(
                line.split(' ')
                    .map(|n| n.parse().unwrap())
                    .collect::<Vec<usize>>(),
            )
        };
        if let Some(bounds) = bounds("together ") {
            assert!(
                (bounds[0]..=bounds[1]).contains(&sends),
                "{title}: {sends} sends together"
            );
        }
        if let Some(bounds) = bounds("held ") {
            println!("{title}: {holders:?}");
            let within = |held: &usize| (bounds[0]..=bounds[1]).contains(held);
            assert!(holders.values().all(within), "{title}: {holders:?}");
        }
    }
}
