//! A simulated engine in virtual time: queries share its cores by priority, slow down together
//! above a number of threads per core, read warm table groups faster and get bad plans at random.
//! It can start cold, reject queries when full, stall, fail queries and restart. Its constants are
//! the testbed's own and model no particular engine.

use std::collections::VecDeque;

use ivypitch_types::{Nanos, SECOND};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Threads per core up to which throughput does not fall.
const MAX_EFFICIENT_THREADS_PER_CORE: f64 = 1.8;
/// Weight of the threads above that limit, relative to the limit, in the divisor of the throughput.
const OVERLOAD_PENALTY: f64 = 0.6;
/// Weight of a thread in the division of the cores, by priority 0 to 3.
const PRIORITY_WEIGHTS: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// Number of table groups that stay warm.
const MAX_WARM_TABLE_GROUPS: usize = 4;
/// Fraction of its work that a query on a warm table group saves.
const WARM_WORK_REDUCTION: f64 = 0.3;
/// Factor by which a bad plan multiplies the work of a query.
const BAD_PLAN_WORK_FACTOR: std::ops::Range<f64> = 5.0..15.0;

/// Capacity and faults of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Number of cores.
    pub cores: f64,
    /// Maximum number of running queries; a query above it is rejected as overload.
    pub max_queries: usize,
    /// Fraction of the queries that get a bad plan.
    pub bad_plan_fraction: f64,
    /// Fraction of the queries that end in an error.
    pub error_fraction: f64,
    /// Fraction of the full speed at which a restarted process begins.
    pub cold_speed_fraction: f64,
    /// Time in which a restarted process reaches its full speed.
    pub warm_up_duration: Nanos,
}

impl Default for EngineConfig {
    fn default() -> Self {
        EngineConfig {
            cores: 8.0,
            max_queries: 200,
            bad_plan_fraction: 0.0,
            error_fraction: 0.0,
            cold_speed_fraction: 0.4,
            warm_up_duration: 10 * SECOND,
        }
    }
}

/// A query as it is started.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    /// Identifies the query at this engine.
    pub id: u64,
    /// Work of all threads in core-seconds with a good plan and a cold table group.
    pub work_core_s: f64,
    /// Number of threads, which limits the cores that the query can use.
    pub threads: f64,
    /// Priority from 0 to 3.
    pub priority: u8,
    /// Table group that the query reads.
    pub table_group: u32,
}

/// How a query ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QueryEnd {
    /// Completed, with its measured work in core-seconds.
    Completed(f64),
    /// Ended in an error.
    Error,
}

struct RunningQuery {
    spec: Query,
    /// Remaining work in core-seconds.
    remaining_core_s: f64,
    /// Whole work in core-seconds, with the plan and the cache state that the query got.
    total_work_core_s: f64,
    /// Cores that it uses now.
    used_cores: f64,
    is_failing: bool,
}

/// A simulated engine.
pub struct Engine {
    config: EngineConfig,
    running: Vec<RunningQuery>,
    /// Warm table groups, the most recently used one last.
    warm_table_groups: VecDeque<u32>,
    /// Time up to which the queries' work is computed.
    computed_until: Nanos,
    started_at: Nanos,
    stalled_until: Nanos,
    rng: ChaCha8Rng,
    /// Core-seconds used by queries that completed.
    pub useful_core_s: f64,
    /// Core-seconds used by queries that failed, were cancelled or were lost.
    pub wasted_core_s: f64,
}

impl Engine {
    /// Creates an idle engine whose process started at `started_at`; 0 means that it is warm.
    pub fn new(config: EngineConfig, rng: ChaCha8Rng, started_at: Nanos) -> Engine {
        Engine {
            config,
            running: Vec::new(),
            warm_table_groups: VecDeque::new(),
            computed_until: started_at,
            started_at,
            stalled_until: 0,
            rng,
            useful_core_s: 0.0,
            wasted_core_s: 0.0,
        }
    }

    /// Number of running queries.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Whether the query is running.
    pub fn has_query(&self, id: u64) -> bool {
        self.running.iter().any(|query| query.spec.id == id)
    }

    /// Number of cores.
    pub fn cores(&self) -> f64 {
        self.config.cores
    }

    /// Suspends all work until that time.
    pub fn stall(&mut self, until: Nanos) {
        self.stalled_until = until;
    }

    /// Replaces the process by a cold one and returns the ids of the queries that were lost.
    pub fn restart(&mut self, now: Nanos) -> Vec<u64> {
        self.advance_to(now);
        self.started_at = now;
        self.warm_table_groups.clear();
        let lost: Vec<u64> = self.running.iter().map(|query| query.spec.id).collect();
        self.wasted_core_s += self
            .running
            .iter()
            .map(|query| query.total_work_core_s - query.remaining_core_s)
            .sum::<f64>();
        self.running.clear();
        lost
    }

    /// Starts the query. Returns false if the engine is full or already runs the id; the query has
    /// then not run.
    pub fn start(&mut self, now: Nanos, query: Query) -> bool {
        self.advance_to(now);
        if self.running.len() >= self.config.max_queries || self.has_query(query.id) {
            return false;
        }
        let is_warm = self.warm_table_groups.contains(&query.table_group);
        self.warm_table_groups
            .retain(|&group| group != query.table_group);
        self.warm_table_groups.push_back(query.table_group);
        if self.warm_table_groups.len() > MAX_WARM_TABLE_GROUPS {
            self.warm_table_groups.pop_front();
        }
        let has_bad_plan = self.rng.random_bool(self.config.bad_plan_fraction);
        let plan_factor = if has_bad_plan {
            self.rng.random_range(BAD_PLAN_WORK_FACTOR)
        } else {
            1.0
        };
        let total_work_core_s = query.work_core_s
            * plan_factor
            * if is_warm {
                1.0 - WARM_WORK_REDUCTION
            } else {
                1.0
            };
        let is_failing = self.rng.random_bool(self.config.error_fraction);
        self.running.push(RunningQuery {
            spec: query,
            remaining_core_s: total_work_core_s,
            total_work_core_s,
            used_cores: 0.0,
            is_failing,
        });
        self.allocate_cores();
        true
    }

    /// Removes the query, if it runs, and counts its work as wasted.
    pub fn cancel(&mut self, now: Nanos, id: u64) {
        self.advance_to(now);
        if let Some(index) = self.running.iter().position(|query| query.spec.id == id) {
            let cancelled = self.running.swap_remove(index);
            self.wasted_core_s += cancelled.total_work_core_s - cancelled.remaining_core_s;
        }
        self.allocate_cores();
    }

    /// Changes the priority of a running query.
    pub fn set_priority(&mut self, now: Nanos, id: u64, priority: u8) {
        self.advance_to(now);
        for query in self.running.iter_mut().filter(|query| query.spec.id == id) {
            query.spec.priority = priority;
        }
        self.allocate_cores();
    }

    /// Removes and returns the queries that have ended by `now`.
    pub fn take_ended(&mut self, now: Nanos) -> Vec<(u64, QueryEnd)> {
        self.advance_to(now);
        let mut ended = Vec::new();
        self.running.retain(|query| {
            if query.remaining_core_s > 1e-9 {
                return true;
            }
            ended.push((query.spec.id, query.total_work_core_s, query.is_failing));
            false
        });
        if !ended.is_empty() {
            self.allocate_cores();
        }
        let mut query_ends = Vec::new();
        for (id, work, is_failing) in ended {
            if is_failing {
                self.wasted_core_s += work;
                query_ends.push((id, QueryEnd::Error));
            } else {
                self.useful_core_s += work;
                query_ends.push((id, QueryEnd::Completed(work)));
            }
        }
        query_ends
    }

    /// Time at which the next query ends if nothing changes; `None` if no query makes progress.
    pub fn next_end(&self) -> Option<Nanos> {
        let remaining_s = self
            .running
            .iter()
            .filter(|query| query.used_cores > 0.0)
            .map(|query| query.remaining_core_s / query.used_cores);
        let remaining_s = remaining_s.min_by(f64::total_cmp)?;
        Some(
            self.computed_until.max(self.stalled_until) + (remaining_s.max(0.0) * 1e9) as Nanos + 1,
        )
    }

    /// Computes the queries' work up to `now`. Only [`Engine::take_ended`] removes ended queries.
    fn advance_to(&mut self, now: Nanos) {
        let working_since = self.computed_until.max(self.stalled_until.min(now));
        let elapsed_s = now.saturating_sub(working_since) as f64 / 1e9;
        self.computed_until = self.computed_until.max(now);
        for query in &mut self.running {
            query.remaining_core_s =
                (query.remaining_core_s - query.used_cores * elapsed_s).max(0.0);
        }
        if self.computed_until < self.started_at + self.config.warm_up_duration {
            self.allocate_cores();
        }
    }

    /// Fraction of the full speed, which rises linearly during warm-up.
    fn speed(&self) -> f64 {
        if self.started_at == 0 || self.config.warm_up_duration == 0 {
            return 1.0;
        }
        let warm_fraction =
            (self.computed_until - self.started_at) as f64 / self.config.warm_up_duration as f64;
        (self.config.cold_speed_fraction + (1.0 - self.config.cold_speed_fraction) * warm_fraction)
            .min(1.0)
    }

    /// Divides the cores among the queries by priority and threads. A query gets at most one core
    /// per thread; the cores that this limit leaves go to the others.
    fn allocate_cores(&mut self) {
        let threads: f64 = self.running.iter().map(|query| query.spec.threads).sum();
        let excess = (threads / self.config.cores / MAX_EFFICIENT_THREADS_PER_CORE - 1.0).max(0.0);
        let speed = self.speed();
        let mut free_cores = self.config.cores * speed / (1.0 + OVERLOAD_PENALTY * excess);
        let weight = |query: &RunningQuery| {
            PRIORITY_WEIGHTS[usize::from(query.spec.priority.min(3))] * query.spec.threads
        };
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        // Highest priority first: these queries reach their limit of one core per thread first.
        order.sort_by_key(|&index| std::cmp::Reverse(self.running[index].spec.priority));
        let mut total_weight: f64 = self.running.iter().map(weight).sum();
        for index in order {
            let query = &self.running[index];
            let query_weight = weight(query);
            let used_cores = (free_cores * query_weight / total_weight.max(1e-9))
                .min(query.spec.threads * speed);
            free_cores -= used_cores;
            total_weight -= query_weight;
            self.running[index].used_cores = used_cores;
        }
    }
}
