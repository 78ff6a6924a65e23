//! The choice of an engine: BEMA, the balanced policy of B. Nam, D. Hwang, J. Kim and M. Shin,
//! "High-Throughput Query Scheduling with Spatial Clustering based on Distributed Exponential
//! Moving Average (EMA)" (2012), Algorithm 1.
//!
//! The paper's terms in this file, by the lines of Algorithm 1:
//!
//! - The query *Q*, its center point: [`Scheduler::draw_query_point`], the hash of the statement's
//!   table group with a small random offset.
//! - *EMA\[s\]*: `Engine::ema_point`.
//! - Lines 3 and 11 to 16, the server with the least weighted distance:
//!   [`Scheduler::choose_engine`], among the engines of the subset that have capacity.
//! - Lines 4 to 8, a server without a point gets the query: not implemented. A point starts at the
//!   hash of the engine's id, [`hash_to_point`], so that all gateways agree on it.
//! - Line 9, *Load\[s\]*, the assignment count among the last N queries: `Engine::recent_sends`
//!   plus one, divided by the engine's cores. Each gateway counts its own sends.
//! - Line 10, *WeightedDistance*: [`Scheduler::weighted_distance`]. Distance counts as at least
//!   [`MIN_DISTANCE`].
//! - Line 17, the query is forwarded: `Scheduler::send` in `attempts.rs`.
//! - Line 18 and equation 2, *EMA\[s\] ← αQ + (1 - α)EMA\[s\]*: [`Scheduler::record_send`].
//!
//! The differences from the paper, with reasons, are in `docs/design.md`.

use crate::capacity::Capacity;
use crate::engine::Engine;
use crate::outlier_detection::should_ignore_exclusions;
use crate::scheduler::Scheduler;
use crate::statement::Statement;
use ivypitch_types::{EngineIndex, Nanos, StatementIndex, hash_to_unit_interval};

/// The paper's α: the fraction of the distance to the query point by which the chosen engine's EMA
/// point moves. The paper found values near 0.1 to be best.
const ALPHA: f64 = 0.1;
/// The paper's N, divided by the number of engines in use.
const RECENT_SENDS_PER_ENGINE: usize = 9;
/// Largest offset of a query point from its table group's point on each axis of the unit square.
const MAX_POINT_OFFSET: f64 = 0.04;
/// Least distance on the unit square that counts, so that load still spreads a hot table group.
const MIN_DISTANCE: f64 = 0.1;

/// A point on the unit square.
pub(crate) type Point = [f64; 2];

/// Hashes an id to a point on the unit square.
pub(crate) fn hash_to_point(id: u64) -> Point {
    [
        hash_to_unit_interval(&(id, 0u8)),
        hash_to_unit_interval(&(id, 1u8)),
    ]
}

/// One of this gateway's recent sends.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct RecentSend {
    pub engine: EngineIndex,
    pub table_group: u32,
}

/// The score of a candidate engine; the lowest is best. The fields are compared in order, so that
/// any engine without signs of pressure is better than any engine with them.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct EngineScore {
    is_under_pressure: bool,
    weighted_distance: f64,
    engine: EngineIndex,
}

impl Scheduler {
    /// Draws the query point of a statement. Bulk loads that avoid the readers of their table group
    /// use another point for the group than its readers do.
    pub(crate) fn draw_query_point(&mut self, table_group: u32, avoids_readers: bool) -> Point {
        let group_point = hash_to_point(u64::from(table_group) | u64::from(avoids_readers) << 32);
        [0, 1].map(|axis| {
            let offset = MAX_POINT_OFFSET * (2.0 * self.random.next_f64() - 1.0);
            group_point[axis] + offset
        })
    }

    /// Returns the engine with the least weighted distance among those of the subset that have
    /// capacity, or `None` if none has.
    ///
    /// Excluded engines are replaced by the next in rank. Beyond the subset's size the search
    /// continues only while no engine has been found to have capacity.
    pub(crate) fn choose_engine(&self, now: Nanos, index: StatementIndex) -> Option<EngineIndex> {
        let statement = self.statement(index)?;
        let state = &self.workloads[statement.workload];
        let candidates = self.candidate_engines(now, index, statement);
        let ignores_exclusions = should_ignore_exclusions(now, &candidates);
        let avoids_readers = self.avoids_readers(statement);
        if avoids_readers && self.exceeds_locked_fraction(now, &candidates, statement.table_group) {
            return None;
        }
        let can_probe = self.can_probe(statement);
        let has_no_report_requests_left =
            self.has_no_report_requests_left(now, statement, &candidates);
        let mut best: Option<EngineScore> = None;
        let mut examined = 0;
        for &engine in &candidates {
            if examined >= state.subset.size && best.is_some() {
                break;
            }
            if engine.is_excluded(now, can_probe) && !ignores_exclusions {
                continue;
            }
            examined += 1;
            let capacity = self.capacity(now, statement, engine);
            if capacity == Capacity::Exhausted
                || has_no_report_requests_left && engine.needs_report_request(now)
            {
                continue;
            }
            let score = EngineScore {
                is_under_pressure: capacity == Capacity::AvailableUnderPressure,
                weighted_distance: self.weighted_distance(statement, engine, avoids_readers),
                engine: engine.endpoint.engine,
            };
            if best.is_none_or(|least| score < least) {
                best = Some(score);
            }
        }
        best.map(|score| score.engine)
    }

    /// Computes the paper's *WeightedDistance*, with load per core. Bulk loads that avoid the
    /// readers of their table group are also spread away from recent sends of that group.
    fn weighted_distance(
        &self,
        statement: &Statement,
        engine: &Engine,
        avoids_readers: bool,
    ) -> f64 {
        let difference = [0, 1].map(|axis| engine.ema_point[axis] - statement.query_point[axis]);
        let distance = difference[0].hypot(difference[1]).max(MIN_DISTANCE);
        let load = (engine.recent_sends + 1) as f64;
        let weighted = distance * load / self.remaining_cores(statement.workload, engine);
        if !avoids_readers {
            return weighted;
        }
        let same_group_send = RecentSend {
            engine: engine.endpoint.engine,
            table_group: statement.table_group,
        };
        let same_group_sends = self
            .recent_sends
            .iter()
            .filter(|&&send| send == same_group_send);
        weighted * (1.0 + same_group_sends.count() as f64)
    }

    /// Moves the chosen engine's EMA point and adds the send to the last N.
    pub(crate) fn record_send(
        &mut self,
        engine_index: EngineIndex,
        query_point: Point,
        table_group: u32,
    ) {
        let engine = &mut self.engines[engine_index.0];
        engine.ema_point =
            [0, 1].map(|axis| ALPHA * query_point[axis] + (1.0 - ALPHA) * engine.ema_point[axis]);
        engine.recent_sends += 1;
        self.recent_sends.push_back(RecentSend {
            engine: engine_index,
            table_group,
        });
        while self.recent_sends.len() > RECENT_SENDS_PER_ENGINE * self.engines_in_use {
            if let Some(oldest) = self.recent_sends.pop_front() {
                self.engines[oldest.engine.0].recent_sends -= 1;
            }
        }
    }
}
