//! Engine health as one member sees it: its own observations, those of all, and what follows for each engine.

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

/// Own outcomes of which an observation consists.
const MAX_OWN_OUTCOMES: usize = 3;
/// A member reports on an engine no more often.
const REPORT_INTERVAL: Nanos = SECOND / 10;
/// Once so many others have reported the same of an engine, one more need not.
const ENOUGH_REPORTS: usize = 8;
/// An engine that has recovered is used again by all members within this span, by each from a moment of its own.
const RETURN_SPREAD: Nanos = 2 * SECOND;
/// Makes the moments of return independent of the choice of probers.
const RETURN_HASH_SALT: u64 = 0x7e7;

#[derive(Clone, Copy)]
struct OwnOutcome {
    at: Nanos,
    health: AttemptHealth,
}

/// This member's outcomes on one engine, and what it reported last.
#[derive(Default)]
struct OwnOutcomes {
    /// Removed when too many and when older than an observation counts.
    latest: VecDeque<OwnOutcome>,
    reported_at: Nanos,
    reported: HealthObservation,
}

impl OwnOutcomes {
    fn push(&mut self, now: Nanos, health: AttemptHealth) {
        self.latest.push_back(OwnOutcome { at: now, health });
        while self.latest.len() > MAX_OWN_OUTCOMES
            || self
                .latest
                .front()
                .is_some_and(|outcome| outcome.at + OBSERVATION_TTL < now)
        {
            self.latest.pop_front();
        }
    }

    fn observation(&self) -> HealthObservation {
        let count = |health: AttemptHealth| {
            let same = self
                .latest
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

pub(crate) struct EngineHealthMonitor {
    me: ProcessId,
    /// Of each member.
    zones: Vec<u16>,
    /// The same at all members.
    seed: u64,
    table: ObservationTable,
    consensus: OutlierConsensus,
    own: BTreeMap<EngineNumber, OwnOutcomes>,
    own_version: u32,
    ready_engines: Vec<EngineNumber>,
    statuses: BTreeMap<EngineNumber, OutlierStatus>,
    /// When this member uses engines again that have recovered.
    return_at: BTreeMap<EngineNumber, Nanos>,
    decisions: Vec<OutlierDecision>,
}

/// A status that is different from the one before.
pub(crate) struct StatusChange {
    pub(crate) engine: EngineNumber,
    pub(crate) status: OutlierStatus,
}

impl EngineHealthMonitor {
    pub(crate) fn new(
        me: ProcessId,
        zones: Vec<u16>,
        max_engines: usize,
        seed: u64,
        now: Nanos,
    ) -> EngineHealthMonitor {
        EngineHealthMonitor {
            me,
            seed,
            table: ObservationTable::new(zones.len(), max_engines, now),
            zones,
            consensus: OutlierConsensus::default(),
            own: BTreeMap::new(),
            own_version: 0,
            ready_engines: Vec::new(),
            statuses: BTreeMap::new(),
            return_at: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }

    pub(crate) fn table(&self) -> &ObservationTable {
        &self.table
    }

    pub(crate) fn ejected_engines(&self) -> usize {
        self.consensus.ejected().len()
    }

    pub(crate) fn ready_engines(&self) -> usize {
        self.ready_engines.len()
    }

    pub(crate) fn set_ready_engines(&mut self, engines: &[EngineNumber]) {
        self.ready_engines = engines.to_vec();
        let is_ready = |engine: EngineNumber| engines.contains(&engine);
        self.table.retain_engines(is_ready);
        self.own.retain(|&engine, _| is_ready(engine));
        self.statuses.retain(|&engine, _| is_ready(engine));
        self.return_at.retain(|&engine, _| is_ready(engine));
    }

    pub(crate) fn forget_member(&mut self, member: MemberId) {
        self.table.forget_member(member);
    }

    /// An own attempt has ended. Returns the observation to be reported, if any.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Nanos,
        engine: EngineNumber,
        health: AttemptHealth,
    ) -> Option<ObservationUpdate> {
        if !self.ready_engines.contains(&engine) {
            return None;
        }
        let own = self.own.entry(engine).or_default();
        own.push(now, health);
        let observation = own.observation();
        let last_reported = own.reported;
        if now < own.reported_at + REPORT_INTERVAL
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
        let own = self.own.entry(engine).or_default();
        own.reported_at = now;
        own.reported = observation;
        self.own_version += 1;
        let version = self.own_version;
        let stored = StoredObservation {
            version,
            observation,
            observed_at: now,
        };
        self.table.insert_if_newer(engine, self.me.member, stored);
        ObservationUpdate {
            observer: self.me,
            engine,
            version,
            age_ms: 0,
            observation,
        }
    }

    /// A fault is reported at once, a success only where somebody finds fault. Neither is once enough others agree.
    fn is_worth_reporting(
        &self,
        now: Nanos,
        engine: EngineNumber,
        health: AttemptHealth,
        observation: HealthObservation,
        last_reported: HealthObservation,
    ) -> bool {
        let mut accusers = 0;
        let mut defenders = 0;
        for other in self.table.fresh(engine, now) {
            if other.member != self.me.member {
                accusers += usize::from(other.observation.is_negative());
                defenders += usize::from(other.observation.is_positive());
            }
        }
        let has_reported_fault = last_reported.failures + last_reported.unreachable > 0;
        match health {
            AttemptHealth::Success => {
                (accusers > 0 || has_reported_fault) && defenders < ENOUGH_REPORTS
            }
            // One fault among many successes says nothing about the engine.
            AttemptHealth::Failure | AttemptHealth::Unreachable => {
                let faults = observation.failures + observation.unreachable;
                accusers < ENOUGH_REPORTS && faults >= observation.successes / 2
            }
        }
    }

    /// Another member's observation has arrived. True: it is new.
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

    /// Evaluates all ready engines; returns the statuses that have changed. `reachable_members` counts this one too.
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
        let member = self.me.member;
        let has_recovered = previous.is_ejected && !decision.is_ejected;
        if has_recovered && !self.return_at.contains_key(&engine) {
            // Not all members at once, when all learn of it.
            self.return_at
                .insert(engine, now + self.return_delay(engine));
        }
        let is_return_due = self.return_at.get(&engine).is_some_and(|&at| now >= at);
        if decision.is_ejected || is_return_due {
            self.return_at.remove(&engine);
        }
        let is_ejected = decision.is_ejected || self.return_at.contains_key(&engine);
        let is_probing =
            decision.is_ejected && is_prober(now, engine, member, reachable_members, self.seed);
        OutlierStatus {
            is_ejected,
            is_probe_assigned: is_probing,
            has_recovered: decision.is_confirmed_healthy && !is_ejected,
        }
    }

    fn return_delay(&self, engine: EngineNumber) -> Nanos {
        let mut hasher = SipHasher13::new_with_keys(engine, self.seed ^ RETURN_HASH_SALT);
        hasher.write_u16(self.me.member.0);
        (RETURN_SPREAD as f64 * unit_interval(hasher.finish())) as Nanos
    }

    /// The engines that any member speaks about.
    pub(crate) fn views(&self, now: Nanos) -> Vec<EngineHealthView> {
        self.decisions
            .iter()
            .filter(|decision| decision.members > 0)
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
                .fresh(decision.engine, now)
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
