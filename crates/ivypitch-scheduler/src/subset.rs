//! The part of the engines that one gateway uses, where the fleet is large and its own traffic thin.
//!
//! Each engine ranks all gateways by a permutation of its own; a gateway uses the engines that rank it
//! lowest. The subset is the same after a restart, and an engine more or less changes few subsets by one
//! engine.

use crate::deployment::EngineKind;
use crate::engine::Engine;
use crate::events::EngineEndpoint;
use crate::load_reports::REPORT_LIFETIME;
use crate::safety_rules::Action;
use crate::scheduler::Scheduler;
use crate::statement::Statement;
use ivypitch_types::{
    EngineIndex, Nanos, SECOND, StatementIndex, hash_to_unit_interval, secs_from_nanos,
};
use std::collections::BTreeSet;

/// Own statements bring so many load reports of each engine in the subset while a report is fresh.
const REPORTS_PER_LIFETIME: f64 = 2.0;
/// Upper end by traffic: what a statement may cost.
const MAX_SIZE_BY_TRAFFIC: f64 = 80.0;
/// Lower end: a choice is left where one engine fails, one drains and one warms up.
const MIN_SIZE: f64 = 5.0;
/// Gateways that share each engine at least: one more or less changes its load by a seventh.
const MIN_GATEWAYS_PER_ENGINE: f64 = 7.0;
/// A subset of more than this part of the engines is replaced by all of them.
const MAX_FRACTION: f64 = 0.25;
/// Without capacity the subset widens to so many times its size.
const MAX_WIDENING: usize = 2;
/// It looks at so many times its size for engines that may be used.
const MAX_LOOKUPS_PER_ENGINE: usize = 4;

/// The rank of gateway `member_index` at an engine: each rank below `gateways` goes to one gateway, and two
/// gateways are near each other at some engines only (a multiplier without a common factor with their number,
/// and a shift).
pub fn gateway_rank(engine_id: u64, member_index: usize, gateways: usize) -> usize {
    let draw =
        |purpose: u8| (hash_to_unit_interval(&(engine_id, purpose)) * gateways as f64) as usize;
    let mut multiplier = draw(2).max(1);
    while greatest_common_divisor(multiplier, gateways) > 1 {
        multiplier = multiplier % gateways + 1;
    }
    (multiplier * member_index + draw(3)) % gateways.max(1)
}

fn greatest_common_divisor(a: usize, b: usize) -> usize {
    if b == 0 {
        a
    } else {
        greatest_common_divisor(b, a % b)
    }
}

/// Order of the engines at one gateway: by the gateway's rank at the engine, then by a hash of the engine's
/// id.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub(crate) struct EngineRank {
    gateway_rank: u32,
    id_hash: u32,
    engine: EngineIndex,
}

impl EngineRank {
    pub fn new(endpoint: &EngineEndpoint, member_index: usize, gateways: usize) -> Self {
        EngineRank {
            gateway_rank: gateway_rank(endpoint.id, member_index, gateways) as u32,
            id_hash: (hash_to_unit_interval(&endpoint.id) * f64::from(u32::MAX)) as u32,
            engine: endpoint.engine,
        }
    }

    /// This gateway's rank at the engine.
    pub fn gateway_rank(self) -> u32 {
        self.gateway_rank
    }
}

/// The engines that are ready and may run a workload. A change costs the logarithm of their number.
#[derive(Default)]
struct EligibleEngines {
    ranks: BTreeSet<EngineRank>,
    /// How many there are of each kind.
    count_by_kind: Vec<u32>,
}

impl EligibleEngines {
    fn insert(&mut self, rank: EngineRank, kind: u16) {
        let kind = usize::from(kind);
        if self.count_by_kind.len() <= kind {
            self.count_by_kind.resize(kind + 1, 0);
        }
        if self.ranks.insert(rank) {
            self.count_by_kind[kind] += 1;
        }
    }

    fn remove(&mut self, rank: EngineRank, kind: u16) {
        if self.ranks.remove(&rank) {
            self.count_by_kind[usize::from(kind)] -= 1;
        }
    }

    /// The cores of all; a kind that is not configured has one.
    fn cores(&self, kinds: &[EngineKind]) -> f64 {
        let cores = |kind: usize| kinds.get(kind).map_or(1.0, |k| k.cores).max(1.0);
        self.count_by_kind
            .iter()
            .zip(0..)
            .map(|(&count, kind)| f64::from(count) * cores(kind))
            .sum()
    }
}

/// The engines of one workload, of which this gateway uses the first `size` by rank.
#[derive(Default)]
pub(crate) struct Subset {
    eligible: EligibleEngines,
    /// The cores of all eligible engines.
    pub eligible_cores: f64,
    pub size: usize,
    /// How many gateways have each engine in their subset, in the mean.
    pub gateways_per_engine: f64,
}

impl Subset {
    fn is_partial(&self) -> bool {
        self.size < self.eligible.ranks.len()
    }

    /// `size_by_traffic` is how many engines own statements keep reported on.
    fn resize(&mut self, size_by_traffic: f64, kinds: &[EngineKind], gateways: usize) {
        self.eligible_cores = self.eligible.cores(kinds).max(1.0);
        let eligible = self.eligible.ranks.len() as f64;
        let gateways = gateways as f64;
        let min_size = MIN_SIZE.max(MIN_GATEWAYS_PER_ENGINE * eligible / gateways);
        let size = size_by_traffic
            .min(MAX_SIZE_BY_TRAFFIC)
            .max(min_size)
            .ceil();
        // A larger part gains little, and table groups have their homes in all engines.
        let size = if size > MAX_FRACTION * eligible {
            eligible
        } else {
            size
        };
        self.size = size as usize;
        self.gateways_per_engine = gateways * size / eligible.max(1.0);
    }
}

impl Scheduler {
    /// The one place where an engine becomes eligible for workloads, and ceases to be.
    pub(crate) fn set_listed(&mut self, index: EngineIndex, is_listed: bool) {
        let engine = &mut self.engines[index.0];
        self.listed_engines =
            self.listed_engines + usize::from(is_listed) - usize::from(engine.is_listed);
        engine.is_listed = is_listed;
        let endpoint = engine.endpoint;
        let rank = engine.rank;
        let is_ready = engine.is_ready();
        for (state, workload) in self.workloads.iter_mut().zip(&self.deployment.workloads) {
            if !workload.allows(&endpoint) {
                continue;
            }
            let eligible = &mut state.subset.eligible;
            if is_ready {
                eligible.insert(rank, endpoint.kind);
            } else {
                eligible.remove(rank, endpoint.kind);
            }
        }
    }

    /// Sizes the subset of each workload, so that own statements keep its engines reported on.
    ///
    /// Guards against traffic so thin that no report is fresh. Hurts where what few engines have cached is in
    /// few subsets.
    pub(crate) fn resize_subsets(&mut self, now: Nanos) {
        let span = now
            .saturating_sub(self.started_at)
            .clamp(SECOND, self.retry_budget.window().max(SECOND));
        let arrivals = self.retry_budget.arrivals_since(now - span.min(now)) as f64;
        let size_by_traffic = arrivals / secs_from_nanos(span) * secs_from_nanos(REPORT_LIFETIME)
            / REPORTS_PER_LIFETIME;
        let kinds = &self.deployment.engine_kinds;
        let gateways = self.deployment.gateways;
        for state in &mut self.workloads {
            state.subset.resize(size_by_traffic, kinds, gateways);
        }
        let partial_sizes = self
            .workloads
            .iter()
            .filter(|state| state.subset.is_partial())
            .map(|state| state.subset.size);
        self.engines_in_use = partial_sizes.max().unwrap_or(self.listed_engines);
    }

    /// The engines that the statement may be sent to now, by rank: those of the subset first, then those that
    /// it widens by. Engines that may not be used make way for the next.
    pub(crate) fn candidate_engines(
        &self,
        now: Nanos,
        index: StatementIndex,
        statement: &Statement,
    ) -> Vec<&Engine> {
        let subset = &self.workloads[statement.workload].subset;
        // Only some engines may recognize a repeat: they can be anywhere in the order.
        let max_lookups = if statement.possible_run.is_some() {
            usize::MAX
        } else {
            MAX_LOOKUPS_PER_ENGINE * subset.size
        };
        let ranks = subset.eligible.ranks.iter().take(max_lookups);
        ranks
            .map(|rank| rank.engine)
            .filter(|&engine| self.is_permitted(now, index, Action::Send(engine)))
            .take(MAX_WIDENING * subset.size)
            .map(|engine| &self.engines[engine.0])
            .collect()
    }
}
