//! Subsetting: the engines that one gateway uses if the fleet is large and its own traffic is low.
//!
//! Each engine ranks all gateways by its own permutation; a gateway uses the engines that rank it
//! lowest. The subset is the same after a restart, and adding or removing an engine changes few
//! subsets, each by one engine.

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

/// Target number of load reports that this gateway's own statements return from each engine of the
/// subset within the lifetime of a report.
const REPORTS_PER_LIFETIME: f64 = 2.0;
/// Upper limit of the subset size derived from traffic; it bounds the scheduling cost per
/// statement.
const MAX_SUBSET_SIZE_BY_TRAFFIC: f64 = 80.0;
/// Lower limit of the subset size; it leaves a choice of engines while one has failed, one drains
/// and one warms up.
const MIN_SUBSET_SIZE: f64 = 5.0;
/// Least mean number of gateways per engine; one gateway more or less then changes an engine's load
/// by a seventh.
const MIN_GATEWAYS_PER_ENGINE: f64 = 7.0;
/// A subset larger than this fraction of the eligible engines is replaced by all of them.
const MAX_SUBSET_FRACTION: f64 = 0.25;
/// Multiple of its size to which a subset widens when its engines have no capacity.
const MAX_WIDENING_FACTOR: usize = 2;
/// Maximum number of ranks examined for permitted engines, as a multiple of the subset's size.
const MAX_LOOKUPS_PER_SUBSET_ENGINE: usize = 4;

/// Returns the rank of gateway `member_index` at an engine.
///
/// Each rank below `gateways` belongs to exactly one gateway. The permutation is affine, with a
/// multiplier that is coprime to `gateways` and an offset, both hashed from the engine's id, so
/// that two gateways have neighboring ranks at some engines only.
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

/// Sort key of an engine at one gateway: the gateway's rank at the engine, then a hash of the
/// engine's id.
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

    /// Returns this gateway's rank at the engine.
    pub fn gateway_rank(self) -> u32 {
        self.gateway_rank
    }
}

/// The engines that are ready and may run a workload. Insertion and removal take logarithmic time.
#[derive(Default)]
struct EligibleEngines {
    ranks: BTreeSet<EngineRank>,
    /// Number of eligible engines, indexed by engine kind.
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

    /// Total cores; an engine of a kind that is not configured counts as one core.
    fn cores(&self, kinds: &[EngineKind]) -> f64 {
        let cores = |kind: usize| kinds.get(kind).map_or(1.0, |k| k.cores).max(1.0);
        self.count_by_kind
            .iter()
            .zip(0..)
            .map(|(&count, kind)| f64::from(count) * cores(kind))
            .sum()
    }
}

/// The eligible engines of one workload, of which this gateway uses the first `size` by rank.
#[derive(Default)]
pub(crate) struct Subset {
    eligible: EligibleEngines,
    /// Total cores of the eligible engines.
    pub eligible_cores: f64,
    pub size: usize,
    /// Mean number of gateways that have an engine in their subset.
    pub gateways_per_engine: f64,
}

impl Subset {
    fn is_partial(&self) -> bool {
        self.size < self.eligible.ranks.len()
    }

    /// Sets the size. `size_by_traffic` is the number of engines for which this gateway's own
    /// statements return enough load reports.
    fn resize(&mut self, size_by_traffic: f64, kinds: &[EngineKind], gateways: usize) {
        self.eligible_cores = self.eligible.cores(kinds).max(1.0);
        let eligible = self.eligible.ranks.len() as f64;
        let gateways = gateways as f64;
        let min_size = MIN_SUBSET_SIZE.max(MIN_GATEWAYS_PER_ENGINE * eligible / gateways);
        let size = size_by_traffic
            .min(MAX_SUBSET_SIZE_BY_TRAFFIC)
            .max(min_size)
            .ceil();
        // A larger subset saves little, and table groups are placed over all engines.
        let size = if size > MAX_SUBSET_FRACTION * eligible {
            eligible
        } else {
            size
        };
        self.size = size as usize;
        self.gateways_per_engine = gateways * size / eligible.max(1.0);
    }
}

impl Scheduler {
    /// Adds an engine to the eligible engines of its workloads or removes it. No other function
    /// changes eligibility.
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

    /// Sizes the subset of each workload so that this gateway's own statements return load reports
    /// often enough from each of its engines.
    ///
    /// Guards against traffic so low that no load report is fresh. Drawback: table groups that only
    /// a few engines have cached are in few subsets.
    pub(crate) fn resize_subsets(&mut self, now: Nanos) {
        let window = now
            .saturating_sub(self.started_at)
            .clamp(SECOND, self.retry_budget.window().max(SECOND));
        let arrivals = self.retry_budget.arrivals_since(now - window.min(now)) as f64;
        let size_by_traffic = arrivals / secs_from_nanos(window) * secs_from_nanos(REPORT_LIFETIME)
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

    /// Returns the engines that the statement may be sent to now, by rank: first those of the
    /// subset, then those by which it widens. Engines that may not be used are replaced by the next
    /// in rank.
    pub(crate) fn candidate_engines(
        &self,
        now: Nanos,
        index: StatementIndex,
        statement: &Statement,
    ) -> Vec<&Engine> {
        let subset = &self.workloads[statement.workload].subset;
        // Only some engines may recognize a repeated idempotency key, and they can have any rank.
        let max_lookups = if statement.possible_run.is_some() {
            usize::MAX
        } else {
            MAX_LOOKUPS_PER_SUBSET_ENGINE * subset.size
        };
        let ranks = subset.eligible.ranks.iter().take(max_lookups);
        ranks
            .map(|rank| rank.engine)
            .filter(|&engine| self.is_permitted(now, index, Action::Send(engine)))
            .take(MAX_WIDENING_FACTOR * subset.size)
            .map(|engine| &self.engines[engine.0])
            .collect()
    }
}
