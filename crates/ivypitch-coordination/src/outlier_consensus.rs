//! Which engines the fleet takes for outliers, from the observations of all members.
//!
//! Only a few outcomes of each member count, so that no single member can get an engine ejected for all or keep a faulty
//! one in use. A member that finds fault with most engines is itself taken for faulty. No more than a fraction of the
//! engines is ejected, the worst first.

use std::hash::Hasher;

use ivypitch_types::{MemberId, Nanos, SECOND};
use siphasher::sip::SipHasher13;

use crate::observations::{EngineNumber, FreshObservation, ObservationTable};

/// As an engine is judged locally by its last few outcomes, it is judged here by the last few members that used it.
const MAX_COUNTED_MEMBERS: usize = 8;
/// Outcomes that count for one member.
const MAX_OUTCOMES_PER_MEMBER: f64 = 2.0;
/// An engine is ejected once so many failures were observed ...
const MIN_FAILURES: f64 = 3.0;
/// ... by so many members (by most, in a small fleet) ...
const MIN_ACCUSERS: usize = 3;
/// ... and a smaller fraction than this succeeded.
const EJECT_BELOW_SUCCESS_RATE: f64 = 0.375;
/// An ejected engine returns at this success rate, or once nobody has observed a failure for the observations' lifetime.
const RETURN_FROM_SUCCESS_RATE: f64 = 0.6;
/// An engine is confirmed healthy once so many members say so.
const MIN_DEFENDERS: usize = 2;
/// An engine counts as unreachable only if it is so for more than this fraction of the zones that say anything.
const MIN_UNREACHABLE_ZONES: f64 = 0.5;
/// A member is faulty if it finds fault with more than this fraction of the engines that it speaks about ...
const FAULTY_MEMBER_RATE: f64 = 0.5;
/// ... and with so many times the fraction that the others do.
const FAULTY_MEMBER_RATIO: f64 = 2.0;
/// Below this number of engines a member is not judged.
const MIN_ENGINES_TO_JUDGE_MEMBER: usize = 3;
/// No larger fraction of the engines is ejected.
pub const MAX_EJECTED_FRACTION: f64 = 0.34;
/// How many members, on average, probe an ejected engine in each [`PROBE_INTERVAL`].
const PROBERS: f64 = 3.0;
const PROBE_INTERVAL: Nanos = SECOND;

/// What the fleet says about one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierDecision {
    /// Which engine.
    pub engine: EngineNumber,
    /// No statements are to be sent to it, but for probes.
    pub is_ejected: bool,
    /// Failures, weighted by age.
    pub failures: f64,
    /// Outcomes, weighted by age.
    pub outcomes: f64,
    /// Members that speak about it.
    pub members: usize,
    /// Members of most zones cannot connect to it.
    pub is_unreachable: bool,
    /// Several members used it lately with success.
    pub is_confirmed_healthy: bool,
}

/// Remembers which engines are ejected: to return takes more than not to be ejected.
#[derive(Default)]
pub struct OutlierConsensus {
    ejected: Vec<EngineNumber>,
}

impl OutlierConsensus {
    /// The engines ejected by the last evaluation.
    pub fn ejected(&self) -> &[EngineNumber] {
        &self.ejected
    }

    /// Evaluates the ready engines; one decision for each, in their order. `zones`: of each member.
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
        let tally = Tally::of(observations);
        let members = observations.len();
        let min_members = MIN_ACCUSERS.min(zones.len() / 2 + 1);
        let is_unreachable =
            members >= min_members && is_unreachable_from_most_zones(observations, zones);
        let success_rate = 1.0 - tally.failures / tally.outcomes.max(1e-9);
        let is_failing = if self.ejected.contains(&engine) {
            tally.failures > 0.0 && success_rate < RETURN_FROM_SUCCESS_RATE
        } else {
            tally.failures >= MIN_FAILURES
                && tally.accusers >= min_members
                && success_rate < EJECT_BELOW_SUCCESS_RATE
        };
        let is_ejected = is_unreachable || is_failing;
        OutlierDecision {
            engine,
            is_ejected,
            failures: tally.failures,
            outcomes: tally.outcomes,
            members,
            is_unreachable,
            is_confirmed_healthy: !is_ejected
                && tally.defenders >= MIN_DEFENDERS
                && success_rate >= RETURN_FROM_SUCCESS_RATE,
        }
    }
}

/// The outcomes of the members that reached an engine last.
#[derive(Default)]
struct Tally {
    failures: f64,
    outcomes: f64,
    /// Members with more failures than successes.
    accusers: usize,
    /// Members with more successes than failures.
    defenders: usize,
}

impl Tally {
    /// `observations`: the newest first.
    fn of(observations: &[FreshObservation]) -> Tally {
        let mut tally = Tally::default();
        let answered = observations
            .iter()
            .filter(|observed| observed.observation.answered() > 0.0)
            .take(MAX_COUNTED_MEMBERS);
        for FreshObservation {
            observation,
            weight,
            ..
        } in answered
        {
            let answered = observation.answered();
            let counted = answered.min(MAX_OUTCOMES_PER_MEMBER) * weight;
            tally.failures += counted * f64::from(observation.failures) / answered;
            tally.outcomes += counted;
            tally.accusers += usize::from(observation.failures > observation.successes);
            tally.defenders += usize::from(observation.successes > observation.failures);
        }
        tally
    }
}

/// The observations of an engine by members that are not faulty, the newest first.
fn trusted_observations(
    now: Nanos,
    table: &ObservationTable,
    faulty: &[bool],
    engine: EngineNumber,
) -> Vec<FreshObservation> {
    let is_faulty = |member: MemberId| faulty.get(member.as_usize()) == Some(&true);
    let mut observations: Vec<FreshObservation> = table
        .fresh(engine, now)
        .filter(|observed| !is_faulty(observed.member))
        .collect();
    observations.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.member.cmp(&b.member)));
    observations
}

/// Members of one zone that speak about an engine, by weight.
struct ZoneReachability {
    zone: u16,
    unreachable: f64,
    all: f64,
}

/// In a fleet of several zones, a single one that cannot reach an engine may itself be cut off.
fn is_unreachable_from_most_zones(observations: &[FreshObservation], zones: &[u16]) -> bool {
    let by_zone = reachability_by_zone(observations, zones);
    let unreachable_zones = by_zone
        .iter()
        .filter(|zone| zone.unreachable > 0.5 * zone.all)
        .count();
    let is_single_zone = zones.iter().all(|zone| Some(zone) == zones.first());
    unreachable_zones as f64 > MIN_UNREACHABLE_ZONES * by_zone.len() as f64
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
                unreachable: 0.0,
                all: 0.0,
            });
            by_zone.len() - 1
        });
        let reachability = &mut by_zone[position];
        let observation = observed.observation;
        if observation.unreachable > 0 && observation.answered() == 0.0 {
            reachability.unreachable += observed.weight;
        }
        reachability.all += observed.weight;
    }
    by_zone
}

/// Keeps the worst ejections, up to the allowed fraction of the engines.
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

/// The engines that a member speaks about.
#[derive(Clone, Copy, Default)]
struct MemberRecord {
    engines: usize,
    /// Those that it finds fault with.
    accused: usize,
}

/// By member: whether its observations are ignored now.
fn faulty_members(now: Nanos, table: &ObservationTable, members: usize) -> Vec<bool> {
    let mut records = vec![MemberRecord::default(); members];
    for &engine in table.engines() {
        for observed in table.fresh(engine, now) {
            if let Some(record) = records.get_mut(observed.member.as_usize()) {
                record.engines += 1;
                record.accused += usize::from(observed.observation.is_negative());
            }
        }
    }
    let mut all = MemberRecord::default();
    for record in &records {
        all.engines += record.engines;
        all.accused += record.accused;
    }
    records
        .iter()
        .map(|record| is_faulty_member(record, &all))
        .collect()
}

fn is_faulty_member(own: &MemberRecord, all: &MemberRecord) -> bool {
    let others_rate =
        (all.accused - own.accused) as f64 / ((all.engines - own.engines).max(1)) as f64;
    let own_rate = own.accused as f64 / own.engines.max(1) as f64;
    own.engines >= MIN_ENGINES_TO_JUDGE_MEMBER
        && own_rate > FAULTY_MEMBER_RATE
        && own_rate > FAULTY_MEMBER_RATIO * others_rate
}

/// Whether a member is among the few that probe an ejected engine now. Others take their turn in the next interval.
///
/// `reachable_members` is the number of members that share the probes, this one included; `seed` is the same at all.
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
    unit_interval(hasher.finish()) <= PROBERS / reachable_members.max(1) as f64
}

/// Maps a hash to a number from 0 to 1.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
