//! The module before more and more engines: what a statement, a change of one row and a whole list cost it.

use ivypitch_gateway::wire::discovery;
use ivypitch_scheduler::{
    Arrival, AttemptEnded, DeduplicationScope, Deployment, EndpointUpdateKind, EngineEndpoint,
    EngineKind, EngineState, Idempotency, LoadReporting, Output, ReportField, RetryBudget, Tenant,
    Workload,
};
use ivypitch_types::{EngineIndex, Nanos, Outcome, SECOND, StatementIndex};

use super::slope::Measure;
use crate::test_servers::{endpoint_event, row_at};
use crate::virtual_time::resource_usage;

const MS: Nanos = 1_000_000;
/// Statements in hand at a time.
const IN_HAND: usize = 32;
/// Engines a gateway at the target: the module is told of as many gateways as that makes.
const ENGINES_A_GATEWAY: f64 = 44_000.0 / 3_800.0;
/// Each cost is the middle one of so many batches.
const BATCHES: usize = 5;

#[derive(Default)]
struct Sent(Vec<(StatementIndex, EngineIndex)>);

impl Output for Sent {
    fn send(&mut self, stmt: StatementIndex, engine: EngineIndex, _timeout: Nanos) {
        self.0.push((stmt, engine));
    }
    fn cancel(&mut self, _stmt: StatementIndex, _execution: u32) {}
    fn set_resources(&mut self, _stmt: StatementIndex, _grant_mb: f64, _priority: u8) {}
    fn reject(&mut self, _stmt: StatementIndex, _come_back: Nanos) {}
    fn abort(&mut self, _stmt: StatementIndex) {}
    fn forget(&mut self, _stmt: StatementIndex) {}
    fn set_timer(&mut self, _mark: u64, _after: Nanos) {}
    fn request_load_report(&mut self, _engine: EngineIndex) {}
    fn broadcast(&mut self, _bytes: &[u8]) {}
    fn watch_endpoints(&mut self) {}
    fn log(&mut self, _line: &str) {}
}

fn facts(engines: usize) -> Deployment {
    let workload = |slo: u64, threads: f64, priority_weight: f64| Workload {
        latency_objective: slo * MS,
        latency_objective_stretch: 2.0,
        statement_timeout: 20 * SECOND,
        priority_weight,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0,
        is_ordered_by_key: false,
        allowed_zones: None,
        allowed_engine_kinds: None,
        threads,
        is_bulk_load: false,
        waits_for_bulk_loads: false,
    };
    Deployment {
        gateways: (engines as f64 / ENGINES_A_GATEWAY).round() as usize,
        tick: MS,
        workloads: vec![workload(300, 1.0, 1.0), workload(3000, 2.0, 8.0)],
        engine_kinds: vec![EngineKind {
            cores: 16.0,
            memory_mb: 65536.0,
        }],
        tenants: vec![Tenant {
            quota_per_second: 1e9,
        }],
        over_quota_priority_weight: 0.1,
        max_open_statements: 20_000,
        report_fields: vec![ReportField::InFlightAttempts],
        load_reporting: LoadReporting::WithResults,
        honors_priorities: true,
        reports_measured_cost: true,
        can_cancel: true,
        max_attempts: 4,
        slow_start_initial_fraction: 0.3,
        slow_start_duration: 14 * SECOND,
        overload_factor: 2.5,
        overload_window: 3 * SECOND,
        retry_budget: Some(RetryBudget {
            window: 5 * SECOND,
            base: 5.0,
            per_statement: 0.2,
        }),
        ..Deployment::default()
    }
}

pub fn rows(engines: usize) -> Vec<EngineEndpoint> {
    let row = |e: usize| EngineEndpoint {
        engine: EngineIndex(e),
        id: e as u64 * 7919 + 17,
        zone: (e % 24) as u16,
        state: EngineState::Ready,
        weight: 1.0,
        ..EngineEndpoint::default()
    };
    (0..engines).map(row).collect()
}

/// A module that lists so many engines and has statements in hand.
pub struct Played {
    module: Scheduler,
    out: Sent,
    now: Nanos,
    seed: u64,
    statement: usize,
    in_hand: std::collections::VecDeque<(StatementIndex, EngineIndex)>,
    pub unserved: u64,
}

use ivypitch_scheduler::Scheduler;

impl Played {
    pub fn new(engines: usize, seed: u64) -> Played {
        let mut module = Scheduler::new(facts(engines), seed, 0);
        let mut out = Sent::default();
        module.on_endpoints_updated(0, EndpointUpdateKind::Full, &rows(engines), &mut out);
        let in_hand = std::collections::VecDeque::new();
        Played {
            module,
            out,
            now: SECOND,
            seed,
            statement: 0,
            in_hand,
            unserved: 0,
        }
    }

    /// `arrive` and `begins` of one statement, `on_attempt_ended` of the one that has been out longest.
    pub fn statement(&mut self) {
        self.statement += 1;
        self.now += 271_000;
        let ix = StatementIndex(self.statement % (4 * IN_HAND));
        let arrival = Arrival {
            workload: usize::from(self.statement.is_multiple_of(8)),
            key: 0,
            table_group: ((self.statement as u64 + self.seed) % 61) as u32,
            time_left: 20 * SECOND,
            is_repeat: false,
            tenant: 0,
            estimated_memory_mb: 0.0,
            estimated_work: 40 * MS,
        };
        self.module
            .on_statement_arrived(self.now, ix, arrival, &mut self.out);
        for (stmt, engine) in std::mem::take(&mut self.out.0) {
            if self.module.confirm_send(self.now, stmt, 0) {
                self.in_hand.push_back((stmt, engine));
            } else {
                self.unserved += 1;
            }
        }
        if self.in_hand.len() > IN_HAND
            && let Some((stmt, engine)) = self.in_hand.pop_front()
        {
            let ended = AttemptEnded {
                attempt: 0,
                engine,
                outcome: Outcome::Completed,
                duration: 9 * MS,
                has_final_answer: true,
                measured_cost: Some((40.0, 0.0)),
                load_report: &[1.0],
            };
            self.module
                .on_attempt_ended(self.now, stmt, &ended, &mut self.out);
        }
    }

    pub fn change(&mut self, engines: usize) {
        self.now += MS;
        self.statement += 1;
        let mut row = rows(1)[0];
        let e = self.statement % engines;
        (row.engine, row.id) = (EngineIndex(e), e as u64 * 7919 + 17);
        (row.zone, row.weight) = ((e % 24) as u16, 1.0 + self.statement as f64 * 1e-6);
        self.module.on_endpoints_updated(
            self.now,
            EndpointUpdateKind::Delta,
            &[row],
            &mut self.out,
        );
    }

    pub fn whole_list(&mut self, rows: &[EngineEndpoint]) {
        self.now += MS;
        self.module
            .on_endpoints_updated(self.now, EndpointUpdateKind::Full, rows, &mut self.out);
    }
}

/// A line of the journal with so many rows.
pub fn line(engines: usize, full: bool) -> String {
    let row = |e: usize| {
        let address = ([10, (e >> 16) as u8, (e >> 8) as u8, e as u8], 8123).into();
        row_at(
            address,
            &format!("engine-{e:05}"),
            "ready",
            1_790_000_000_000 + e as u64,
        )
    };
    endpoint_event(1, full, &(0..engines).map(row).collect::<Vec<String>>())
}

pub const SIZES: [usize; 5] = [80, 800, 1833, 8000, 44_000];

pub fn measure(quick: bool, seed: u64) -> Vec<Measure> {
    let mut costs: [Vec<(f64, f64)>; 6] = Default::default();
    // First, and nothing dropped in between: memory that was freed would be used again and not seen.
    let mut held = Vec::new();
    for size in SIZES {
        let copies = (80_000 / size).max(2);
        let make = || {
            (0..copies)
                .map(|_| Played::new(size, seed))
                .collect::<Vec<_>>()
        };
        let (bytes, made) = resource_usage::measure_memory(make);
        held.push(made);
        costs[5].push((size as f64, bytes / copies as f64));
    }
    drop(held);
    for size in SIZES {
        let (x, mut played) = (size as f64, Played::new(size, seed));
        // Warm up: as many sends as are counted as recent, as far as there is time for it.
        let calls = (if quick { 400_000 } else { 4_000_000 } / size).clamp(400, 4000);
        (0..(4 * calls).max(4 * IN_HAND)).for_each(|_| played.statement());
        costs[0].push((
            x,
            resource_usage::median_call_us(BATCHES, calls, || played.statement()),
        ));
        costs[1].push((
            x,
            resource_usage::median_call_us(BATCHES, calls, || played.change(size)),
        ));
        let rows = rows(size);
        let again = if size > 10_000 { 1 } else { 3 };
        costs[2].push((
            x,
            resource_usage::median_call_us(again, 1, || played.whole_list(&rows)),
        ));
        let line = line(size, true);
        costs[3].push((x, line.len() as f64));
        costs[4].push((
            x,
            resource_usage::median_call_us(3, 1, || drop(discovery::parse_line(line.as_bytes()))),
        ));
    }
    let told = [
        ("module: processor time of a statement", "us"),
        ("module: processor time of a change of one row", "us"),
        ("module: processor time of a whole list told again", "us"),
        ("journal: bytes of a whole list", "bytes"),
        ("journal: processor time to read a whole list", "us"),
        ("module: memory", "bytes"),
    ];
    let measure = |((what, unit), points)| Measure {
        role: "gateway",
        what,
        unit,
        by: "engines",
        points,
        is_simulated: true,
    };
    told.into_iter().zip(costs).map(measure).collect()
}
