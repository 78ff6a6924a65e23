//! Detection of outlier engines from the observations of all members.
//!
//! Only a few outcomes of each member count, so that no single member can eject an engine for all
//! members or keep a faulty one in use. A member that reports failures of most engines counts as
//! faulty itself. At most a fraction of the engines is ejected, those with the highest failure
//! rates first.

use std::hash::Hasher;

use ivypitch_types::{MemberId, Nanos, SECOND};
use siphasher::sip::SipHasher13;

use crate::observations::{EngineNumber, FreshObservation, ObservationTable};

/// Maximum number of members whose observations of an engine count, those with the newest
/// observations first. Local detection likewise uses the last few outcomes only.
const MAX_MEMBERS_PER_ENGINE: usize = 8;
/// Maximum number of outcomes that count for one member.
const MAX_OUTCOMES_PER_MEMBER: f64 = 2.0;
/// Minimum number of failures, weighted by age, for which an engine is ejected.
const MIN_FAILURES: f64 = 3.0;
/// Minimum number of members with more failures than successes for which an engine is ejected; a
/// majority of the members in a small fleet.
const MIN_FAILURE_REPORTERS: usize = 3;
/// An engine is ejected only if its success rate is below this.
const EJECT_BELOW_SUCCESS_RATE: f64 = 0.375;
/// An ejected engine is readmitted at this success rate, or once no member has observed a failure
/// within [`OBSERVATION_TTL`](crate::OBSERVATION_TTL).
const READMIT_FROM_SUCCESS_RATE: f64 = 0.6;
/// Minimum number of members with more successes than failures for which an engine is confirmed
/// healthy.
const MIN_SUCCESS_REPORTERS: usize = 2;
/// An engine counts as unreachable only if it is unreachable from more than this fraction of the
/// zones with observations.
const MIN_UNREACHABLE_ZONE_FRACTION: f64 = 0.5;
/// A member is faulty only if it reports failures of more than this fraction of the engines that it
/// observes.
const FAULTY_MEMBER_ENGINE_FRACTION: f64 = 0.5;
/// A member is faulty only if that fraction is larger than the other members' by more than this
/// factor.
const FAULTY_MEMBER_RATIO: f64 = 2.0;
/// Minimum number of observed engines for which a member can count as faulty.
const MIN_ENGINES_TO_EVALUATE_MEMBER: usize = 3;
/// Maximum fraction of the engines that is ejected.
pub const MAX_EJECTED_FRACTION: f64 = 0.34;
/// Mean number of members that probe an ejected engine in each [`PROBE_INTERVAL`].
const MEAN_PROBERS_PER_INTERVAL: f64 = 3.0;
/// Time after which the members that probe an engine are selected anew.
const PROBE_INTERVAL: Nanos = SECOND;

/// Result of the evaluation of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierDecision {
    /// The engine.
    pub engine: EngineNumber,
    /// Whether no statements except probes may be sent to it.
    pub is_ejected: bool,
    /// Number of failures, weighted by age.
    pub failures: f64,
    /// Number of outcomes, weighted by age.
    pub outcomes: f64,
    /// Number of members with a fresh observation of it, without the faulty ones.
    pub reporting_members: usize,
    /// Whether members of most zones cannot connect to it.
    pub is_unreachable: bool,
    /// Whether several members used it successfully within the lifetime of observations.
    pub is_confirmed_healthy: bool,
}

/// Evaluates engines. Keeps the ejected engines, because readmission takes a higher success rate
/// than ejection.
#[derive(Default)]
pub struct OutlierConsensus {
    ejected: Vec<EngineNumber>,
}

impl OutlierConsensus {
    /// Engines that the last evaluation ejected.
    pub fn ejected(&self) -> &[EngineNumber] {
        &self.ejected
    }

    /// Evaluates the ready engines and returns one decision for each, in their order. `zones`: the
    /// zone of each member.
    pub fn evaluate(
        &mut self,
        now: Nanos,
        table: &ObservationTable,
        zones: &[u16],
        ready: &[EngineNumber],
    ) -> Vec<OutlierDecision> {
        let faulty = faulty_members(now, table, zones.len());
        let mut decisions: Vec<OutlierDecision> = Vec::with_capacity(ready.len());
        for &engine in ready {
            let observations = trusted_observations(now, table, &faulty, engine);
            decisions.push(self.evaluate_engine(engine, &observations, zones));
        }
        limit_ejections(&mut decisions);
        self.ejected = decisions
            .iter()
            .filter(|decision| decision.is_ejected)
            .map(|decision| decision.engine)
            .collect();
        decisions
    }

    fn evaluate_engine(
        &self,
        engine: EngineNumber,
        observations: &[FreshObservation],
        zones: &[u16],
    ) -> OutlierDecision {
        let totals = OutcomeTotals::from_observations(observations);
        let reporting_members = observations.len();
        let min_reporters = MIN_FAILURE_REPORTERS.min(zones.len() / 2 + 1);
        let is_unreachable = reporting_members >= min_reporters
            && is_unreachable_from_most_zones(observations, zones);
        let success_rate = 1.0 - totals.failures / totals.outcomes.max(1e-9);
        let is_failing = if self.ejected.contains(&engine) {
            totals.failures > 0.0 && success_rate < READMIT_FROM_SUCCESS_RATE
        } else {
            totals.failures >= MIN_FAILURES
                && totals.failure_reporters >= min_reporters
                && success_rate < EJECT_BELOW_SUCCESS_RATE
        };
        let is_ejected = is_unreachable || is_failing;
        OutlierDecision {
            engine,
            is_ejected,
            failures: totals.failures,
            outcomes: totals.outcomes,
            reporting_members,
            is_unreachable,
            is_confirmed_healthy: !is_ejected
                && totals.success_reporters >= MIN_SUCCESS_REPORTERS
                && success_rate >= READMIT_FROM_SUCCESS_RATE,
        }
    }
}

/// Outcomes of an engine at the members that it answered last.
#[derive(Default)]
struct OutcomeTotals {
    failures: f64,
    outcomes: f64,
    /// Number of members with more failures than successes.
    failure_reporters: usize,
    /// Number of members with more successes than failures.
    success_reporters: usize,
}

impl OutcomeTotals {
    /// Sums up `observations`, which are sorted with the newest first.
    fn from_observations(observations: &[FreshObservation]) -> OutcomeTotals {
        let mut totals = OutcomeTotals::default();
        let answered = observations
            .iter()
            .filter(|observed| observed.observation.answered_attempts() > 0.0)
            .take(MAX_MEMBERS_PER_ENGINE);
        for FreshObservation {
            observation,
            weight,
            ..
        } in answered
        {
            let answered = observation.answered_attempts();
            let counted = answered.min(MAX_OUTCOMES_PER_MEMBER) * weight;
            totals.failures += counted * f64::from(observation.failures) / answered;
            totals.outcomes += counted;
            totals.failure_reporters += usize::from(observation.failures > observation.successes);
            totals.success_reporters += usize::from(observation.successes > observation.failures);
        }
        totals
    }
}

/// Returns the observations of an engine by members that are not faulty, the newest first.
fn trusted_observations(
    now: Nanos,
    table: &ObservationTable,
    faulty: &[bool],
    engine: EngineNumber,
) -> Vec<FreshObservation> {
    let is_faulty = |member: MemberId| faulty.get(member.as_usize()) == Some(&true);
    let mut observations: Vec<FreshObservation> = table
        .fresh_observations(engine, now)
        .filter(|observed| !is_faulty(observed.member))
        .collect();
    observations.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.member.cmp(&b.member)));
    observations
}

/// Total weights of a zone's observations of an engine.
struct ZoneReachability {
    zone: u16,
    unreachable_weight: f64,
    total_weight: f64,
}

/// In a fleet of several zones, a single zone that cannot reach an engine may itself be
/// partitioned.
fn is_unreachable_from_most_zones(observations: &[FreshObservation], zones: &[u16]) -> bool {
    let by_zone = reachability_by_zone(observations, zones);
    let unreachable_zones = by_zone
        .iter()
        .filter(|zone| zone.unreachable_weight > 0.5 * zone.total_weight)
        .count();
    let is_single_zone = zones.iter().all(|zone| Some(zone) == zones.first());
    unreachable_zones as f64 > MIN_UNREACHABLE_ZONE_FRACTION * by_zone.len() as f64
        && (unreachable_zones > 1 || is_single_zone)
}

fn reachability_by_zone(observations: &[FreshObservation], zones: &[u16]) -> Vec<ZoneReachability> {
    let mut by_zone: Vec<ZoneReachability> = Vec::new();
    for observed in observations {
        let zone = zones
            .get(observed.member.as_usize())
            .copied()
            .unwrap_or(u16::MAX);
        let position = by_zone.iter().position(|known| known.zone == zone);
        let position = position.unwrap_or_else(|| {
            by_zone.push(ZoneReachability {
                zone,
                unreachable_weight: 0.0,
                total_weight: 0.0,
            });
            by_zone.len() - 1
        });
        let reachability = &mut by_zone[position];
        let observation = observed.observation;
        if observation.unreachable > 0 && observation.answered_attempts() == 0.0 {
            reachability.unreachable_weight += observed.weight;
        }
        reachability.total_weight += observed.weight;
    }
    by_zone
}

/// Keeps the ejections with the highest failure rates, up to [`MAX_EJECTED_FRACTION`] of the
/// engines.
fn limit_ejections(decisions: &mut [OutlierDecision]) {
    let max_ejected = (decisions.len() as f64 * MAX_EJECTED_FRACTION).floor() as usize;
    let failure_rate = |decision: &OutlierDecision| decision.failures / decision.outcomes.max(1.0);
    let mut worst_first: Vec<usize> = (0..decisions.len())
        .filter(|&i| decisions[i].is_ejected)
        .collect();
    worst_first.sort_by(|&a, &b| {
        failure_rate(&decisions[b])
            .total_cmp(&failure_rate(&decisions[a]))
            .then(decisions[a].engine.cmp(&decisions[b].engine))
    });
    for &i in worst_first.iter().skip(max_ejected) {
        decisions[i].is_ejected = false;
    }
}

/// Numbers of the engines that a member reports on.
#[derive(Clone, Copy, Default)]
struct MemberReports {
    engines: usize,
    /// Number of engines for which it reports more failures than successes.
    failing_engines: usize,
}

/// Returns for each member whether it counts as faulty, so that its observations are ignored.
fn faulty_members(now: Nanos, table: &ObservationTable, members: usize) -> Vec<bool> {
    let mut reports_by_member = vec![MemberReports::default(); members];
    for &engine in table.engines() {
        for observed in table.fresh_observations(engine, now) {
            if let Some(reports) = reports_by_member.get_mut(observed.member.as_usize()) {
                reports.engines += 1;
                reports.failing_engines += usize::from(observed.observation.has_mostly_failed());
            }
        }
    }
    let mut all = MemberReports::default();
    for reports in &reports_by_member {
        all.engines += reports.engines;
        all.failing_engines += reports.failing_engines;
    }
    reports_by_member
        .iter()
        .map(|reports| is_faulty_member(reports, &all))
        .collect()
}

fn is_faulty_member(own: &MemberReports, all: &MemberReports) -> bool {
    let others_rate = (all.failing_engines - own.failing_engines) as f64
        / ((all.engines - own.engines).max(1)) as f64;
    let own_rate = own.failing_engines as f64 / own.engines.max(1) as f64;
    own.engines >= MIN_ENGINES_TO_EVALUATE_MEMBER
        && own_rate > FAULTY_MEMBER_ENGINE_FRACTION
        && own_rate > FAULTY_MEMBER_RATIO * others_rate
}

/// Whether a member is among the few that probe an ejected engine now. The selection changes with
/// each interval.
///
/// `reachable_members` is the number of members that share the probes, including this one; `seed`
/// is the same at all members.
pub fn is_prober(
    now: Nanos,
    engine: EngineNumber,
    member: MemberId,
    reachable_members: usize,
    seed: u64,
) -> bool {
    let mut hasher = SipHasher13::new_with_keys(engine, seed);
    hasher.write_u16(member.0);
    hasher.write_u64(now / PROBE_INTERVAL);
    unit_interval(hasher.finish()) <= MEAN_PROBERS_PER_INTERVAL / reachable_members.max(1) as f64
}

/// Maps a hash to a number from 0 to 1.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
