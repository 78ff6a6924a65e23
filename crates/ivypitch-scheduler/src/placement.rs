//! The choice of an engine: BEMA, the balanced policy of B. Nam, D. Hwang, J. Kim and M. Shin,
//! "High-Throughput Query Scheduling with Spatial Clustering based on Distributed Exponential Moving Average
//! (EMA)" (2012), Algorithm 1.
//!
//! How the paper's terms map to this file, Algorithm 1 line by line:
//!
//! - The query *Q*, its center point: [`Scheduler::draw_statement_point`], the hash of the statement's table
//!   group with a small random offset.
//! - *EMA\[s\]*: `Engine::ema_point`.
//! - Lines 3 and 11 to 16, the server with the least weighted distance: [`Scheduler::choose_engine`], among
//!   the engines of the subset that have capacity.
//! - Lines 4 to 8, a server without a point gets the query: not here. A point starts at the hash of the
//!   engine's id, [`point_of`], so that all gateways agree on it.
//! - Line 9, *Load\[s\]*, the assignment count among the last N queries: `Engine::recent_sends` plus one,
//!   over the engine's cores. Each gateway counts its own sends.
//! - Line 10, *WeightedDistance*: [`Scheduler::weighted_distance`]. Distance counts at least
//!   [`MIN_DISTANCE`].
//! - Line 17, the query is forwarded: `Scheduler::send` in `attempts.rs`.
//! - Line 18 and equation 2, *EMA\[s\] ← αQ + (1 - α)EMA\[s\]*: [`Scheduler::record_send`].
//!
//! What differs from the paper, and why, is in `docs/design.md`.

use crate::capacity::Capacity;
use crate::engine::Engine;
use crate::outlier_detection::must_use_suspected;
use crate::scheduler::Scheduler;
use crate::statement::Statement;
use ivypitch_types::{EngineIndex, Nanos, StatementIndex, hash_to_unit_interval};

/// The paper's α: how far the chosen engine's EMA point moves towards the query point (its
/// best is near 0.1).
const ALPHA: f64 = 0.1;
/// The paper's N, for each engine in use.
const RECENT_SENDS_PER_ENGINE: usize = 9;
/// Half the side of the square around a table group's point in which query points lie; the plane's side is 1.
const MAX_POINT_OFFSET: f64 = 0.04;
/// Distance counts at least this part of the plane's side, so that load still spreads a hot table group.
const MIN_DISTANCE: f64 = 0.1;

/// A point on the unit square.
pub(crate) type Point = [f64; 2];

/// Where an id lies on the unit square.
pub(crate) fn point_of(id: u64) -> Point {
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

/// The fields are compared in order: an engine without signs of pressure is better than any with.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Score {
    is_under_pressure: bool,
    weighted_distance: f64,
    engine: EngineIndex,
}

impl Scheduler {
    /// Draws the query point of a statement. Bulk loads that are kept apart from readers have points of their
    /// own.
    pub(crate) fn draw_statement_point(&mut self, table_group: u32, is_kept_apart: bool) -> Point {
        let group_point = point_of(u64::from(table_group) | u64::from(is_kept_apart) << 32);
        [0, 1].map(|axis| {
            let offset = MAX_POINT_OFFSET * (2.0 * self.random.next_unit() - 1.0);
            group_point[axis] + offset
        })
    }

    /// The engine with the least weighted distance among those of the subset that have capacity; `None`: none
    /// has.
    ///
    /// Engines that are left out make way for the next by rank. Beyond the subset's size the search goes on
    /// only while no engine has capacity.
    pub(crate) fn choose_engine(&self, now: Nanos, index: StatementIndex) -> Option<EngineIndex> {
        let statement = self.statement(index)?;
        let state = &self.workloads[statement.workload];
        let candidates = self.candidate_engines(now, index, statement);
        let uses_suspected = must_use_suspected(now, &candidates);
        let is_kept_apart = self.is_kept_apart_from_readers(statement);
        if is_kept_apart && self.exceeds_locked_fraction(now, &candidates, statement.table_group) {
            return None;
        }
        let can_be_trial = self.can_be_trial(statement);
        let has_no_requests_left = self.has_no_requests_left(now, statement, &candidates);
        let mut best: Option<Score> = None;
        let mut tried = 0;
        for &engine in &candidates {
            if tried >= state.subset.size && best.is_some() {
                break;
            }
            if engine.is_left_out(now, can_be_trial) && !uses_suspected {
                continue;
            }
            tried += 1;
            let capacity = self.capacity(now, statement, engine);
            if capacity == Capacity::Exhausted
                || has_no_requests_left && engine.needs_report_request(now)
            {
                continue;
            }
            let score = Score {
                is_under_pressure: capacity == Capacity::AvailableUnderPressure,
                weighted_distance: self.weighted_distance(statement, engine, is_kept_apart),
                engine: engine.endpoint.engine,
            };
            if best.is_none_or(|least| score < least) {
                best = Some(score);
            }
        }
        best.map(|score| score.engine)
    }

    /// The paper's *WeightedDistance*, with load per core. Bulk loads that are kept apart from readers also
    /// spread from the recent sends of their own table group.
    fn weighted_distance(
        &self,
        statement: &Statement,
        engine: &Engine,
        is_kept_apart: bool,
    ) -> f64 {
        let difference = [0, 1].map(|axis| engine.ema_point[axis] - statement.point[axis]);
        let distance = difference[0].hypot(difference[1]).max(MIN_DISTANCE);
        let load = (engine.recent_sends + 1) as f64;
        let weighted = distance * load / self.remaining_cores(statement.workload, engine);
        if !is_kept_apart {
            return weighted;
        }
        let same = RecentSend {
            engine: engine.endpoint.engine,
            table_group: statement.table_group,
        };
        let same_sends = self.recent_sends.iter().filter(|&&send| send == same);
        weighted * (1.0 + same_sends.count() as f64)
    }

    /// Moves the chosen engine's EMA point and counts the send among the last N.
    pub(crate) fn record_send(
        &mut self,
        engine_index: EngineIndex,
        point: Point,
        table_group: u32,
    ) {
        let engine = &mut self.engines[engine_index.0];
        engine.ema_point =
            [0, 1].map(|axis| ALPHA * point[axis] + (1.0 - ALPHA) * engine.ema_point[axis]);
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
