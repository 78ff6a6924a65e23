//! Engine health at one member: records its own observations, collects those of all members, and
//! derives the status of each engine.

use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;

use ivypitch_scheduler::OutlierStatus;
use ivypitch_types::{MILLISECOND, MemberId, Nanos, ProcessId, SECOND};
use siphasher::sip::SipHasher13;

use crate::message::ObservationUpdate;
use crate::observations::{
    AttemptHealth, EngineNumber, FreshObservation, HealthObservation, OBSERVATION_TTL,
    ObservationTable, StoredObservation,
};
use crate::outlier_consensus::{OutlierConsensus, OutlierDecision, is_prober, unit_interval};
use crate::view::{EngineHealthView, MemberObservationView};

/// Maximum number of own attempt outcomes that an observation counts.
const MAX_OUTCOMES_PER_OBSERVATION: usize = 3;
/// Minimum time between two reports of a member on one engine.
const MIN_REPORT_INTERVAL: Nanos = SECOND / 10;
/// A report is omitted once this many other members have reported the same about the engine.
const MAX_AGREEING_REPORTERS: usize = 8;
/// The members readmit a recovered engine at different times, all within this time.
const READMISSION_SPREAD: Nanos = 2 * SECOND;
/// Hash salt that makes the readmission times independent of the selection of probers.
const READMISSION_HASH_SALT: u64 = 0x7e7;

#[derive(Clone, Copy)]
struct AttemptOutcome {
    ended_at: Nanos,
    health: AttemptHealth,
}

/// Recent outcomes of this member's attempts on one engine, and its last report on it.
#[derive(Default)]
struct EngineRecord {
    /// Outcomes are removed beyond [`MAX_OUTCOMES_PER_OBSERVATION`] and after [`OBSERVATION_TTL`].
    recent_outcomes: VecDeque<AttemptOutcome>,
    last_report_at: Nanos,
    last_reported: HealthObservation,
}

impl EngineRecord {
    fn push(&mut self, now: Nanos, health: AttemptHealth) {
        self.recent_outcomes.push_back(AttemptOutcome {
            ended_at: now,
            health,
        });
        while self.recent_outcomes.len() > MAX_OUTCOMES_PER_OBSERVATION
            || self
                .recent_outcomes
                .front()
                .is_some_and(|outcome| outcome.ended_at + OBSERVATION_TTL < now)
        {
            self.recent_outcomes.pop_front();
        }
    }

    fn observation(&self) -> HealthObservation {
        let count = |health: AttemptHealth| {
            let same = self
                .recent_outcomes
                .iter()
                .filter(|outcome| outcome.health == health);
            same.count() as u8
        };
        HealthObservation {
            successes: count(AttemptHealth::Success),
            failures: count(AttemptHealth::Failure),
            unreachable: count(AttemptHealth::Unreachable),
        }
    }
}

/// Engine health at one member.
pub(crate) struct EngineHealthMonitor {
    own_process: ProcessId,
    /// Zone of each member.
    zones: Vec<u16>,
    /// Seed of the random choices, the same at all members.
    seed: u64,
    table: ObservationTable,
    consensus: OutlierConsensus,
    own_records: BTreeMap<EngineNumber, EngineRecord>,
    own_version: u32,
    ready_engines: Vec<EngineNumber>,
    statuses: BTreeMap<EngineNumber, OutlierStatus>,
    /// Times at which this member readmits engines that have recovered.
    readmit_at: BTreeMap<EngineNumber, Nanos>,
    decisions: Vec<OutlierDecision>,
}

/// An engine status that differs from the previous one.
pub(crate) struct StatusChange {
    pub(crate) engine: EngineNumber,
    pub(crate) status: OutlierStatus,
}

impl EngineHealthMonitor {
    pub(crate) fn new(
        own_process: ProcessId,
        zones: Vec<u16>,
        max_engines: usize,
        seed: u64,
        now: Nanos,
    ) -> EngineHealthMonitor {
        EngineHealthMonitor {
            own_process,
            seed,
            table: ObservationTable::new(zones.len(), max_engines, now),
            zones,
            consensus: OutlierConsensus::default(),
            own_records: BTreeMap::new(),
            own_version: 0,
            ready_engines: Vec::new(),
            statuses: BTreeMap::new(),
            readmit_at: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }

    pub(crate) fn table(&self) -> &ObservationTable {
        &self.table
    }

    pub(crate) fn ejected_engine_count(&self) -> usize {
        self.consensus.ejected().len()
    }

    pub(crate) fn ready_engine_count(&self) -> usize {
        self.ready_engines.len()
    }

    pub(crate) fn set_ready_engines(&mut self, engines: &[EngineNumber]) {
        self.ready_engines = engines.to_vec();
        let is_ready = |engine: EngineNumber| engines.contains(&engine);
        self.table.retain_engines(is_ready);
        self.own_records.retain(|&engine, _| is_ready(engine));
        self.statuses.retain(|&engine, _| is_ready(engine));
        self.readmit_at.retain(|&engine, _| is_ready(engine));
    }

    pub(crate) fn clear_member(&mut self, member: MemberId) {
        self.table.clear_member(member);
    }

    /// Records the outcome of an own attempt. Returns the observation to be reported, if any.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Nanos,
        engine: EngineNumber,
        health: AttemptHealth,
    ) -> Option<ObservationUpdate> {
        if !self.ready_engines.contains(&engine) {
            return None;
        }
        let record = self.own_records.entry(engine).or_default();
        record.push(now, health);
        let observation = record.observation();
        let last_reported = record.last_reported;
        if now < record.last_report_at + MIN_REPORT_INTERVAL
            || !self.is_worth_reporting(now, engine, health, observation, last_reported)
        {
            return None;
        }
        Some(self.report(now, engine, observation))
    }

    fn report(
        &mut self,
        now: Nanos,
        engine: EngineNumber,
        observation: HealthObservation,
    ) -> ObservationUpdate {
        let record = self.own_records.entry(engine).or_default();
        record.last_report_at = now;
        record.last_reported = observation;
        self.own_version += 1;
        let version = self.own_version;
        let stored = StoredObservation {
            version,
            observation,
            observed_at: now,
        };
        self.table
            .insert_if_newer(engine, self.own_process.member, stored);
        ObservationUpdate {
            observer: self.own_process,
            engine,
            version,
            age_ms: 0,
            observation,
        }
    }

    /// A fault is reported at once, a success only for an engine that has a reported fault. Neither
    /// is reported if enough other members have reported the same.
    fn is_worth_reporting(
        &self,
        now: Nanos,
        engine: EngineNumber,
        health: AttemptHealth,
        observation: HealthObservation,
        last_reported: HealthObservation,
    ) -> bool {
        let mut failure_reporters = 0;
        let mut success_reporters = 0;
        for other in self.table.fresh_observations(engine, now) {
            if other.member != self.own_process.member {
                failure_reporters += usize::from(other.observation.has_mostly_failed());
                success_reporters += usize::from(other.observation.has_mostly_succeeded());
            }
        }
        let has_reported_fault = last_reported.failures + last_reported.unreachable > 0;
        match health {
            AttemptHealth::Success => {
                (failure_reporters > 0 || has_reported_fault)
                    && success_reporters < MAX_AGREEING_REPORTERS
            }
            // One fault among many successes does not indicate a fault of the engine.
            AttemptHealth::Failure | AttemptHealth::Unreachable => {
                let faults = observation.failures + observation.unreachable;
                failure_reporters < MAX_AGREEING_REPORTERS && faults >= observation.successes / 2
            }
        }
    }

    /// Stores an observation of another member. Returns whether it is newer than the stored one.
    pub(crate) fn on_update(&mut self, update: &ObservationUpdate, observed_at: Nanos) -> bool {
        if !self.ready_engines.contains(&update.engine) {
            return false;
        }
        let stored = StoredObservation {
            version: update.version,
            observation: update.observation,
            observed_at,
        };
        self.table
            .insert_if_newer(update.engine, update.observer.member, stored)
    }

    /// Evaluates all ready engines and returns the statuses that have changed. `reachable_members`
    /// includes this member.
    pub(crate) fn evaluate(&mut self, now: Nanos, reachable_members: usize) -> Vec<StatusChange> {
        self.decisions =
            self.consensus
                .evaluate(now, &self.table, &self.zones, &self.ready_engines);
        let mut changes = Vec::new();
        for i in 0..self.decisions.len() {
            let decision = self.decisions[i];
            let engine = decision.engine;
            let previous = self.statuses.get(&engine).copied().unwrap_or_default();
            let status = self.next_status(now, &decision, previous, reachable_members);
            if status != previous {
                self.statuses.insert(engine, status);
                changes.push(StatusChange { engine, status });
            }
        }
        changes
    }

    fn next_status(
        &mut self,
        now: Nanos,
        decision: &OutlierDecision,
        previous: OutlierStatus,
        reachable_members: usize,
    ) -> OutlierStatus {
        let engine = decision.engine;
        let member = self.own_process.member;
        let has_recovered = previous.is_ejected && !decision.is_ejected;
        if has_recovered && !self.readmit_at.contains_key(&engine) {
            // All members learn of the recovery together; they must not readmit the engine at the
            // same time.
            self.readmit_at
                .insert(engine, now + self.readmission_delay(engine));
        }
        let can_be_readmitted = self.readmit_at.get(&engine).is_some_and(|&at| now >= at);
        if decision.is_ejected || can_be_readmitted {
            self.readmit_at.remove(&engine);
        }
        let is_ejected = decision.is_ejected || self.readmit_at.contains_key(&engine);
        let is_probing =
            decision.is_ejected && is_prober(now, engine, member, reachable_members, self.seed);
        OutlierStatus {
            is_ejected,
            is_probe_assigned: is_probing,
            has_recovered: decision.is_confirmed_healthy && !is_ejected,
        }
    }

    fn readmission_delay(&self, engine: EngineNumber) -> Nanos {
        let mut hasher = SipHasher13::new_with_keys(engine, self.seed ^ READMISSION_HASH_SALT);
        hasher.write_u16(self.own_process.member.0);
        (READMISSION_SPREAD as f64 * unit_interval(hasher.finish())) as Nanos
    }

    /// Views of the engines with at least one fresh observation by a member that is not faulty.
    pub(crate) fn views(&self, now: Nanos) -> Vec<EngineHealthView> {
        self.decisions
            .iter()
            .filter(|decision| decision.reporting_members > 0)
            .map(|decision| self.view(now, decision))
            .collect()
    }

    fn view(&self, now: Nanos, decision: &OutlierDecision) -> EngineHealthView {
        let status = self.statuses.get(&decision.engine);
        EngineHealthView {
            engine: decision.engine,
            is_ejected: decision.is_ejected,
            is_probing: status.is_some_and(|status| status.is_probe_assigned),
            is_unreachable: decision.is_unreachable,
            failures: decision.failures,
            outcomes: decision.outcomes,
            observations: self
                .table
                .fresh_observations(decision.engine, now)
                .map(|fresh| MemberObservationView {
                    member: fresh.member,
                    age_ms: age_ms(&fresh),
                    observation: fresh.observation,
                })
                .collect(),
        }
    }
}

fn age_ms(fresh: &FreshObservation) -> u32 {
    ((1.0 - fresh.weight) * (OBSERVATION_TTL / MILLISECOND) as f64) as u32
}
