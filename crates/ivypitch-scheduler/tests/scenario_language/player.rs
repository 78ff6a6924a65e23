//! Runs the steps of a scenario as one gateway.

use super::configuration;
use super::fields::{Fields, parse_yes_or_no};
use super::recorder::{LastAttempt, Recorder};
use ivypitch_scheduler::{
    AttemptEnded, AttemptProgress, Deployment, EndpointUpdateKind, EngineKind, InFlight, Scheduler,
    Tenant, bulk_load_tag,
};
use ivypitch_types::{EngineIndex, MILLISECOND, Nanos, Outcome, StatementIndex};
use std::collections::{BTreeMap, BTreeSet};

const SEED: u64 = 7;

pub struct Player {
    deployment: Deployment,
    /// `None` until the first event.
    scheduler: Option<Scheduler>,
    recorder: Recorder,
    /// Names of workloads, by index.
    workloads: Vec<String>,
    /// How often each engine index was reused for another engine.
    reuses: BTreeMap<usize, u64>,
}

impl Player {
    pub fn new(member_index: usize) -> Player {
        Player {
            deployment: configuration::deployment(member_index),
            scheduler: None,
            recorder: Recorder::default(),
            workloads: vec![],
            reuses: BTreeMap::new(),
        }
    }

    pub fn engines_used(&self) -> &BTreeSet<EngineIndex> {
        &self.recorder.engines_used
    }

    /// Returns the number of sends that no check has removed.
    pub fn unchecked_sends(&self) -> usize {
        let actions = self.recorder.actions.iter();
        actions.filter(|action| action.starts_with("send ")).count()
    }

    pub fn play(&mut self, step: &str) {
        let words: Vec<String> = step
            .split_whitespace()
            .map(|word| self.resolve(word))
            .collect();
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        if !self.play_configuration(&words)
            && !self.play_event(&words)
            && !self.play_statement_event(&words)
            && !self.play_composite_step(&words)
            && !self.play_check(step, &words)
        {
            panic!("unknown step {step}");
        }
    }

    /// Replaces `@S` by the engine of S's last attempt.
    fn resolve(&self, word: &str) -> String {
        let Some(statement) = word.strip_prefix('@') else {
            return word.into();
        };
        let attempt = self.last_attempt(self.statement(statement));
        self.recorder.engines[attempt.engine.0].clone()
    }

    fn scheduler(&mut self) -> (&mut Scheduler, &mut Recorder) {
        let (deployment, recorder) = (&self.deployment, &mut self.recorder);
        let scheduler = self.scheduler.get_or_insert_with(|| {
            let mut scheduler = Scheduler::new(deployment.clone(), SEED, recorder.now);
            scheduler.start(recorder.now, recorder);
            scheduler
        });
        (scheduler, recorder)
    }

    /// Returns the index of an engine; a new name gets a new index.
    fn engine(&mut self, name: &str) -> EngineIndex {
        let engines = &mut self.recorder.engines;
        let known = engines.iter().position(|engine| engine == name);
        EngineIndex(known.unwrap_or_else(|| {
            engines.push(name.into());
            engines.len() - 1
        }))
    }

    fn statement(&self, name: &str) -> StatementIndex {
        let mut statements = self.recorder.statements.iter();
        let index = statements.position(|statement| statement == name);
        StatementIndex(index.expect("a statement that arrived"))
    }

    fn last_attempt(&self, statement: StatementIndex) -> LastAttempt {
        self.recorder.attempts[&statement.0]
    }

    fn play_configuration(&mut self, words: &[&str]) -> bool {
        let fields = Fields(words.to_vec());
        let deployment = &mut self.deployment;
        match words[0] {
            "set" => configuration::set(deployment, words[1], words[2].parse().unwrap()),
            "workload" => {
                self.workloads.push(words[1].into());
                deployment.workloads.push(configuration::workload(&fields));
            }
            "engine_kind" => deployment.engine_kinds.push(EngineKind {
                cores: fields.number("cores", 8.0),
                memory_mb: 16384.0,
            }),
            "tenant" => deployment.tenants.push(Tenant {
                quota_per_second: fields.number("quota_per_second", 1.0),
            }),
            _ => return false,
        }
        true
    }

    /// Runs events that concern no single statement.
    fn play_event(&mut self, words: &[&str]) -> bool {
        let now = self.recorder.now;
        match words[0] {
            "at" => self.play_clock(words[1].parse::<Nanos>().unwrap() * MILLISECOND),
            "endpoints_updated" => self.update_endpoints(words),
            "endpoint_watch_failed" => {
                let (scheduler, recorder) = self.scheduler();
                scheduler.on_endpoint_watch_failed(now, recorder);
            }
            "outlier_status" => {
                let engine = self.engine(words[1]);
                let status = configuration::outlier_status(words[2]);
                let (scheduler, recorder) = self.scheduler();
                scheduler.on_outlier_status(engine, status, recorder);
            }
            "quota_share" => {
                let (tenant, share) = (words[1].parse().unwrap(), words[2].parse().unwrap());
                self.scheduler().0.set_quota_share(tenant, share);
            }
            "load_report" => {
                let engine = self.engine(words[1]);
                let report: Vec<f32> = words[2].split(',').map(|v| v.parse().unwrap()).collect();
                let (scheduler, recorder) = self.scheduler();
                scheduler.on_load_report(now, engine, &report, recorder);
            }
            "peer_message" => {
                let begin_bit = match words[2] {
                    "bulk_load_begins" => 1,
                    "bulk_load_ends" => 0,
                    other => panic!("unknown message {other}"),
                };
                let engine = self.engine(words[3]);
                let tag = bulk_load_tag(engine_id(engine, 0), words[4].parse().unwrap());
                let message = (tag << 1 | begin_bit).to_le_bytes();
                self.scheduler().0.on_peer_message(now, &message);
            }
            "peer_message_bytes" => {
                let bytes: Vec<u8> = words[1].split(',').map(|b| b.parse().unwrap()).collect();
                self.scheduler().0.on_peer_message(now, &bytes);
            }
            _ => return false,
        }
        true
    }

    fn play_clock(&mut self, until: Nanos) {
        loop {
            let timers = self.recorder.timers.iter().copied();
            let Some(next) = timers.filter(|timer| timer.at <= until).min() else {
                break;
            };
            self.recorder.timers.retain(|timer| *timer != next);
            self.recorder.now = next.at;
            let (scheduler, recorder) = self.scheduler();
            scheduler.on_timer(next.at, next.timer, recorder);
        }
        self.recorder.now = until;
    }

    fn update_endpoints(&mut self, words: &[&str]) {
        let kind = match words[1] {
            "full" => EndpointUpdateKind::Full,
            "snapshot" => EndpointUpdateKind::Snapshot,
            "delta" => EndpointUpdateKind::Delta,
            other => panic!("unknown update {other}"),
        };
        let mut endpoints = Vec::new();
        for row in words[2..].split(|&word| word == "/") {
            let Some(name) = row.first() else {
                continue;
            };
            let engine = self.engine(name);
            let reuses = self.reuses.get(&engine.0).copied().unwrap_or(0);
            let fields = Fields(row.to_vec());
            endpoints.push(configuration::endpoint(
                &fields,
                engine,
                engine_id(engine, reuses),
            ));
        }
        let now = self.recorder.now;
        let (scheduler, recorder) = self.scheduler();
        scheduler.on_endpoints_updated(now, kind, &endpoints, recorder);
    }

    fn play_statement_event(&mut self, words: &[&str]) -> bool {
        let now = self.recorder.now;
        match words[0] {
            "statement_arrived" | "adopt_statement" => self.add_statement(words),
            "attempt_ended" => self.end_attempt(words),
            "progress" => {
                let value = words[3].parse().unwrap();
                let progress = match words[2] {
                    "fraction_done" => AttemptProgress::FractionDone(value),
                    "spilled_mb" => AttemptProgress::SpilledMb(value),
                    other => panic!("unknown progress {other}"),
                };
                let statement = self.statement(words[1]);
                let attempt = self.last_attempt(statement).number;
                let (scheduler, recorder) = self.scheduler();
                scheduler.on_progress(now, statement, attempt, progress, recorder);
            }
            "response_started" => {
                let statement = self.statement(words[1]);
                let attempt = self.last_attempt(statement).number;
                let (scheduler, _) = self.scheduler();
                scheduler.on_response_started(now, statement, attempt);
            }
            "statement_expired" => {
                let statement = self.statement(words[1]);
                let (scheduler, recorder) = self.scheduler();
                scheduler.on_statement_expired(now, statement, recorder);
            }
            "client_disconnected" => {
                let statement = self.statement(words[1]);
                let (scheduler, recorder) = self.scheduler();
                scheduler.on_client_disconnected(now, statement, recorder);
            }
            _ => return false,
        }
        true
    }

    fn add_statement(&mut self, words: &[&str]) {
        let now = self.recorder.now;
        let statement = StatementIndex(self.recorder.statements.len());
        self.recorder.statements.push(words[1].into());
        let mut workloads = self.workloads.iter();
        let workload = workloads.position(|name| name == words[2]);
        let fields = Fields(words.to_vec());
        let arrival = configuration::arrival(&fields, workload.unwrap_or(usize::MAX));
        if words[0] == "statement_arrived" {
            let (scheduler, recorder) = self.scheduler();
            scheduler.on_statement_arrived(now, statement, arrival, recorder);
            return;
        }
        let slash = words.iter().position(|word| *word == "/");
        let engine = self.engine(words[slash.expect("an engine") + 1]);
        let attempt = LastAttempt { engine, number: 0 };
        self.recorder.attempts.insert(statement.0, attempt);
        let (scheduler, recorder) = self.scheduler();
        scheduler.take_over_statement(now, statement, arrival, engine, recorder);
    }

    fn end_attempt(&mut self, words: &[&str]) {
        let now = self.recorder.now;
        let fields = Fields(words.to_vec());
        let statement = self.statement(words[1]);
        let last = self.last_attempt(statement);
        let report: Vec<f32> = fields.list("report").unwrap_or_default();
        let outcome = configuration::outcome(words[2]);
        let ended = AttemptEnded {
            attempt: fields.number("attempt", f64::from(last.number)) as u32,
            engine: last.engine,
            outcome,
            duration: fields.millis("took", 100.0),
            has_final_answer: outcome == Outcome::Completed || fields.flag("closed"),
            measured_cost: fields
                .text("true_cost")
                .map(|work_ms| (work_ms.parse().unwrap(), 0.0)),
            load_report: &report,
        };
        let (scheduler, recorder) = self.scheduler();
        scheduler.on_attempt_ended(now, statement, &ended, recorder);
    }

    /// Runs steps that consist of several others.
    fn play_composite_step(&mut self, words: &[&str]) -> bool {
        match words[0] {
            "many_endpoints" => {
                let fields = words[2..].join(" ");
                let rows = 0..words[1].parse::<usize>().unwrap();
                let rows: Vec<String> = rows.map(|i| format!("e{i} {fields}")).collect();
                self.play(&format!("endpoints_updated full {}", rows.join(" / ")));
            }
            "many_statements_arrived" => {
                for i in 0..words[1].parse::<usize>().unwrap() {
                    let name = format!("m{i}-{}", self.recorder.statements.len());
                    self.play(&format!(
                        "statement_arrived {name} {}",
                        words[2..].join(" ")
                    ));
                }
            }
            "serve" => {
                let fields = Fields(words.to_vec());
                let outcome = fields.text("outcome").unwrap_or("completed");
                for table_group in 0..words[1].parse::<usize>().unwrap() {
                    self.serve(words[2], table_group, outcome);
                }
            }
            "first_gateways" => {
                if self.deployment.member_index < words[1].parse().unwrap() {
                    self.play(&words[2..].join(" "));
                }
            }
            "restart" => self.scheduler = None,
            _ => return false,
        }
        true
    }

    /// Sends a statement and ends each of its attempts immediately until no further one follows.
    fn serve(&mut self, workload: &str, table_group: usize, outcome: &str) {
        let index = self.recorder.statements.len();
        let name = format!("s{table_group}-{index}");
        self.play(&format!(
            "statement_arrived {name} {workload} table_group={table_group}"
        ));
        let last_number = |player: &Player| player.recorder.attempts.get(&index).map(|a| a.number);
        let mut ended = None;
        while last_number(self) != ended {
            ended = last_number(self);
            self.play(&format!("attempt_ended {name} {outcome}"));
        }
    }

    fn play_check(&mut self, step: &str, words: &[&str]) -> bool {
        let now = self.recorder.now;
        match words[0] {
            "expect" => self.recorder.expect(&words[1..].join(" ")),
            "never" => self.recorder.expect_never(&words[1..].join(" ")),
            "confirm_send" => {
                let statement = self.statement(words[1]);
                let attempt = self.last_attempt(statement).number;
                let is_confirmed = self.scheduler().0.confirm_send(now, statement, attempt);
                assert_eq!(is_confirmed, parse_yes_or_no(words[2]), "{step}");
            }
            "is_engine_referenced" => {
                let engine = self.engine(words[1]);
                let is_referenced = self.scheduler().0.is_engine_referenced(engine);
                assert_eq!(is_referenced, parse_yes_or_no(words[2]), "{step}");
            }
            "reuse_engine_index" => {
                let engine = self.engine(words[1]);
                self.recorder.engines[engine.0] = words[2].into();
                *self.reuses.entry(engine.0).or_default() += 1;
            }
            "engines_used" => {
                let bounds: Vec<usize> = words[1..].iter().map(|n| n.parse().unwrap()).collect();
                let used = self.recorder.engines_used.len();
                assert!(
                    (bounds[0]..=bounds[1]).contains(&used),
                    "{used} engines used, {bounds:?} wanted"
                );
            }
            "idle" => {
                let in_flight = self.scheduler().0.in_flight();
                assert_eq!(in_flight, InFlight::default(), "{step}");
            }
            _ => return false,
        }
        true
    }
}

/// Returns the id of an engine whose index was reused `reuses` times.
fn engine_id(engine: EngineIndex, reuses: u64) -> u64 {
    engine.0 as u64 * 77 + 5 + reuses
}
