//! The cost of a statement, a change of one row and a whole endpoint list in the scheduler at
//! growing numbers of engines.

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
/// Statements in flight at a time.
const MAX_IN_FLIGHT: usize = 32;
/// Engines per gateway at the target; determines the number of gateways given to the scheduler.
const ENGINES_PER_GATEWAY: f64 = 44_000.0 / 3_800.0;
/// Number of batches; a cost is their median.
const BATCHES: usize = 5;

/// Collects the attempts that the scheduler sends.
#[derive(Default)]
struct SentAttempts(Vec<(StatementIndex, EngineIndex)>);

impl Output for SentAttempts {
    fn send(&mut self, statement: StatementIndex, engine: EngineIndex, _timeout: Nanos) {
        self.0.push((statement, engine));
    }
    fn cancel(&mut self, _statement: StatementIndex, _execution: u32) {}
    fn set_resources(&mut self, _statement: StatementIndex, _grant_mb: f64, _priority: u8) {}
    fn reject(&mut self, _statement: StatementIndex, _retry_after: Nanos) {}
    fn abort(&mut self, _statement: StatementIndex) {}
    fn forget(&mut self, _statement: StatementIndex) {}
    fn set_timer(&mut self, _timer: u64, _after: Nanos) {}
    fn request_load_report(&mut self, _engine: EngineIndex) {}
    fn broadcast(&mut self, _bytes: &[u8]) {}
    fn watch_endpoints(&mut self) {}
    fn log(&mut self, _line: &str) {}
}

fn deployment(engines: usize) -> Deployment {
    let workload = |latency_objective_ms: u64, threads: f64, priority_weight: f64| Workload {
        latency_objective: latency_objective_ms * MS,
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
        gateways: (engines as f64 / ENGINES_PER_GATEWAY).round() as usize,
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

/// The endpoint list with this many engines.
pub fn endpoints(engines: usize) -> Vec<EngineEndpoint> {
    let endpoint = |engine: usize| EngineEndpoint {
        engine: EngineIndex(engine),
        id: engine as u64 * 7919 + 17,
        zone: (engine % 24) as u16,
        state: EngineState::Ready,
        weight: 1.0,
        ..EngineEndpoint::default()
    };
    (0..engines).map(endpoint).collect()
}

/// A scheduler with an endpoint list and statements in flight.
pub struct LoadedScheduler {
    scheduler: Scheduler,
    output: SentAttempts,
    now: Nanos,
    seed: u64,
    /// Number of statements and endpoint changes so far.
    operations: usize,
    in_flight: std::collections::VecDeque<(StatementIndex, EngineIndex)>,
    /// Attempts that were not sent.
    pub unserved: u64,
}

use ivypitch_scheduler::Scheduler;

impl LoadedScheduler {
    /// Creates a scheduler with this many engines.
    pub fn new(engines: usize, seed: u64) -> LoadedScheduler {
        let mut scheduler = Scheduler::new(deployment(engines), seed, 0);
        let mut output = SentAttempts::default();
        scheduler.on_endpoints_updated(
            0,
            EndpointUpdateKind::Full,
            &endpoints(engines),
            &mut output,
        );
        let in_flight = std::collections::VecDeque::new();
        LoadedScheduler {
            scheduler,
            output,
            now: SECOND,
            seed,
            operations: 0,
            in_flight,
            unserved: 0,
        }
    }

    /// Performs the calls of one statement: `on_statement_arrived` and `confirm_send`, and
    /// `on_attempt_ended` of the oldest attempt in flight.
    pub fn run_statement(&mut self) {
        self.operations += 1;
        self.now += 271_000;
        let statement = StatementIndex(self.operations % (4 * MAX_IN_FLIGHT));
        let arrival = Arrival {
            workload: usize::from(self.operations.is_multiple_of(8)),
            key: 0,
            table_group: ((self.operations as u64 + self.seed) % 61) as u32,
            time_left: 20 * SECOND,
            is_repeat: false,
            tenant: 0,
            estimated_memory_mb: 0.0,
            estimated_work: 40 * MS,
        };
        self.scheduler
            .on_statement_arrived(self.now, statement, arrival, &mut self.output);
        for (statement, engine) in std::mem::take(&mut self.output.0) {
            if self.scheduler.confirm_send(self.now, statement, 0) {
                self.in_flight.push_back((statement, engine));
            } else {
                self.unserved += 1;
            }
        }
        if self.in_flight.len() > MAX_IN_FLIGHT
            && let Some((statement, engine)) = self.in_flight.pop_front()
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
            self.scheduler
                .on_attempt_ended(self.now, statement, &ended, &mut self.output);
        }
    }

    /// Applies a change of one row.
    pub fn apply_change(&mut self, engines: usize) {
        self.now += MS;
        self.operations += 1;
        let mut endpoint = endpoints(1)[0];
        let engine = self.operations % engines;
        (endpoint.engine, endpoint.id) = (EngineIndex(engine), engine as u64 * 7919 + 17);
        (endpoint.zone, endpoint.weight) =
            ((engine % 24) as u16, 1.0 + self.operations as f64 * 1e-6);
        self.scheduler.on_endpoints_updated(
            self.now,
            EndpointUpdateKind::Delta,
            &[endpoint],
            &mut self.output,
        );
    }

    /// Applies a whole endpoint list.
    pub fn apply_full_list(&mut self, endpoints: &[EngineEndpoint]) {
        self.now += MS;
        self.scheduler.on_endpoints_updated(
            self.now,
            EndpointUpdateKind::Full,
            endpoints,
            &mut self.output,
        );
    }
}

/// An event line of the endpoint watch with this many rows.
pub fn endpoint_event_line(engines: usize, is_full: bool) -> String {
    let row = |engine: usize| {
        let address = (
            [10, (engine >> 16) as u8, (engine >> 8) as u8, engine as u8],
            8123,
        )
            .into();
        row_at(
            address,
            &format!("engine-{engine:05}"),
            "ready",
            1_790_000_000_000 + engine as u64,
        )
    };
    endpoint_event(1, is_full, &(0..engines).map(row).collect::<Vec<String>>())
}

/// Measured numbers of engines.
pub const ENGINE_COUNTS: [usize; 5] = [80, 800, 1833, 8000, 44_000];

/// Measures all costs at all sizes.
pub fn measure(quick: bool, seed: u64) -> Vec<Measure> {
    let mut costs: [Vec<(f64, f64)>; 6] = Default::default();
    // Memory comes first, and nothing is dropped in between: reuse of freed memory would hide
    // allocations.
    let mut retained = Vec::new();
    for size in ENGINE_COUNTS {
        let copies = (80_000 / size).max(2);
        let create = || {
            (0..copies)
                .map(|_| LoadedScheduler::new(size, seed))
                .collect::<Vec<_>>()
        };
        let (bytes, schedulers) = resource_usage::measure_memory(create);
        retained.push(schedulers);
        costs[5].push((size as f64, bytes / copies as f64));
    }
    drop(retained);
    for size in ENGINE_COUNTS {
        let (x, mut loaded) = (size as f64, LoadedScheduler::new(size, seed));
        // Warm-up: fills the window of recent attempts as far as the time allows.
        let calls = (if quick { 400_000 } else { 4_000_000 } / size).clamp(400, 4000);
        (0..(4 * calls).max(4 * MAX_IN_FLIGHT)).for_each(|_| loaded.run_statement());
        costs[0].push((
            x,
            resource_usage::median_call_us(BATCHES, calls, || loaded.run_statement()),
        ));
        costs[1].push((
            x,
            resource_usage::median_call_us(BATCHES, calls, || loaded.apply_change(size)),
        ));
        let endpoints = endpoints(size);
        let batches = if size > 10_000 { 1 } else { 3 };
        costs[2].push((
            x,
            resource_usage::median_call_us(batches, 1, || loaded.apply_full_list(&endpoints)),
        ));
        let line = endpoint_event_line(size, true);
        costs[3].push((x, line.len() as f64));
        costs[4].push((
            x,
            resource_usage::median_call_us(3, 1, || drop(discovery::parse_line(line.as_bytes()))),
        ));
    }
    let names = [
        ("module: processor time of a statement", "us"),
        ("module: processor time of a change of one row", "us"),
        ("module: processor time of a whole list told again", "us"),
        ("journal: bytes of a whole list", "bytes"),
        ("journal: processor time to read a whole list", "us"),
        ("module: memory", "bytes"),
    ];
    let measure = |((name, unit), points)| Measure {
        role: "gateway",
        name,
        unit,
        by: "engines",
        points,
        is_simulated: true,
    };
    names.into_iter().zip(costs).map(measure).collect()
}
