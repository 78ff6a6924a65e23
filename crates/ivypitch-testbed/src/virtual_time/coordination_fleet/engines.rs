//! Statements sent to engines, the gateways' own outlier detection, and the engines that the fleet
//! has ejected.

use ivypitch_coordination::AttemptHealth;
use ivypitch_scheduler::OutlierStatus;
use ivypitch_types::{MILLISECOND, Nanos, SECOND};
use rand::Rng;

use super::MEASUREMENT_INTERVAL;
use super::event::Event;
use super::gateway::{OwnOutcome, Process};
use super::simulation::Simulation;

/// Number of the engine with index 0.
const FIRST_ENGINE_NUMBER: u64 = 1000;
/// Index of the faulty gateway that observes all engines as failing.
const ACCUSING_GATEWAY: usize = 3;
/// Index of the faulty gateway that observes failing engines as healthy.
const BLIND_GATEWAY: usize = 4;
/// Minimum number of sends of a gateway between two engine probes.
const SENDS_BETWEEN_PROBES: u32 = 16;
/// Minimum time between two probes of an engine by one gateway.
const PROBE_INTERVAL: Nanos = SECOND;
/// Number of recent outcomes per engine, as in the scheduler's outlier detection.
const MAX_OWN_OUTCOMES: usize = 8;
/// Time after which an outcome no longer counts, as in the scheduler's outlier detection.
const OWN_OUTCOME_TTL: Nanos = 10 * SECOND;
/// Success rate below which an engine is ejected, as in the scheduler's outlier detection.
const MIN_SUCCESS_RATE: f64 = 0.375;
/// Fraction of the gateways that counts as all of them.
const NEARLY_ALL: f64 = 0.99;
/// Fraction of the gateways that counts as none of them.
const NEARLY_NONE: f64 = 0.01;
/// Number of measurements in the interval over which sends are counted.
const LOAD_MEASUREMENTS: u64 = 12;
/// Length of that interval in seconds.
const LOAD_INTERVAL_SECONDS: f64 = 0.24;

/// The number by which all gateways identify an engine.
pub(super) fn engine_number(engine: usize) -> u64 {
    FIRST_ENGINE_NUMBER + engine as u64
}

/// Measurements of engines.
pub(super) struct EngineCounts {
    /// Sends to each engine in the current interval.
    sends: Vec<u32>,
    /// Statements sent to failing engines.
    pub(super) sent_to_failing: u64,
    /// Time at which nearly all gateways had ejected the failing engines.
    pub(super) ejected_at: Option<Nanos>,
    /// Time at which nearly all gateways used the recovered engines again.
    pub(super) returned_at: Option<Nanos>,
    /// Time for which healthy engines were ejected, in engine-seconds of all gateways.
    pub(super) falsely_ejected: f64,
}

impl EngineCounts {
    pub(super) fn new(engines: usize) -> EngineCounts {
        EngineCounts {
            sends: vec![0; engines],
            sent_to_failing: 0,
            ejected_at: None,
            returned_at: None,
            falsely_ejected: 0.0,
        }
    }
}

impl Simulation<'_> {
    pub(super) fn set_status(&mut self, gateway: usize, engine: u64, status: OutlierStatus) {
        let gateway = &mut self.gateways[gateway];
        gateway.fleet_status.insert(engine, status);
        if status.has_recovered {
            let engine = (engine - FIRST_ENGINE_NUMBER) as usize;
            gateway.own_ejected.remove(&engine);
            gateway.own_outcomes.remove(&engine);
        }
    }

    /// Draws an engine and sends it a statement unless it is ejected; an ejected engine gets a
    /// probe from time to time, as in the scheduler.
    pub(super) fn send_statement(&mut self, by: Process) {
        if !self.is_current(by) {
            return;
        }
        let rate = self.gateways[by.gateway].demand.statements_per_second;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate.max(0.01);
        let next = self.now + (gap * SECOND as f64) as Nanos + 1;
        self.schedule(next, Event::Send(by));
        let engine = self.rng.random_range(0..self.fleet.engines);
        if !self.may_send(by.gateway, engine) {
            return;
        }
        let is_failing = self.failing.contains(&engine);
        self.engine_counts.sends[engine] += 1;
        self.engine_counts.sent_to_failing += u64::from(is_failing);
        self.verdict.sent += 1;
        let health = self.outcome(by.gateway, engine);
        let duration = self.rng.random_range(2 * MILLISECOND..120 * MILLISECOND);
        let ended = Event::AttemptEnded { by, engine, health };
        self.schedule(self.now + duration, ended);
    }

    fn may_send(&mut self, gateway: usize, engine: usize) -> bool {
        let now = self.now;
        let gateway = &mut self.gateways[gateway];
        let status = gateway
            .fleet_status
            .get(&engine_number(engine))
            .copied()
            .unwrap_or_default();
        gateway.sends_since_probe += 1;
        if !gateway.own_ejected.contains(&engine) && !status.is_ejected {
            return true;
        }
        let may_probe = !status.is_ejected || status.is_probe_assigned;
        let next_probe = gateway.next_probe.get(&engine).copied().unwrap_or(0);
        if gateway.sends_since_probe <= SENDS_BETWEEN_PROBES || !may_probe || now < next_probe {
            return false;
        }
        gateway.sends_since_probe = 0;
        gateway.next_probe.insert(engine, now + PROBE_INTERVAL);
        true
    }

    fn outcome(&self, gateway: usize, engine: usize) -> AttemptHealth {
        let has_faulty = self.fleet.has_faulty_gateways;
        let is_failing = self.failing.contains(&engine);
        if has_faulty && gateway == ACCUSING_GATEWAY {
            AttemptHealth::Failure
        } else if has_faulty && self.is_cut_off(gateway, engine) {
            AttemptHealth::Unreachable
        } else if is_failing && !(has_faulty && gateway == BLIND_GATEWAY) {
            AttemptHealth::Failure
        } else {
            AttemptHealth::Success
        }
    }

    /// Whether the gateway cannot reach the engine: with faulty gateways, every other one cannot
    /// reach the last engine.
    fn is_cut_off(&self, gateway: usize, engine: usize) -> bool {
        engine == self.fleet.engines - 1 && gateway.is_multiple_of(2)
    }

    pub(super) fn on_attempt_ended(&mut self, by: Process, engine: usize, health: AttemptHealth) {
        if !self.is_current(by) {
            return;
        }
        self.record_own_outcome(by.gateway, engine, health == AttemptHealth::Success);
        self.call(by.gateway, |coordinator, now, _| {
            coordinator.on_attempt_ended(now, engine_number(engine), health);
        });
    }

    fn record_own_outcome(&mut self, gateway: usize, engine: usize, is_success: bool) {
        let now = self.now;
        let gateway = &mut self.gateways[gateway];
        let outcomes = gateway.own_outcomes.entry(engine).or_default();
        outcomes.push_back(OwnOutcome {
            at: now,
            is_success,
        });
        while outcomes.len() > MAX_OWN_OUTCOMES
            || outcomes
                .front()
                .is_some_and(|outcome| outcome.at + OWN_OUTCOME_TTL < now)
        {
            outcomes.pop_front();
        }
        let successes = outcomes.iter().filter(|outcome| outcome.is_success).count();
        let success_rate = successes as f64 / outcomes.len() as f64;
        if success_rate < MIN_SUCCESS_RATE {
            gateway.own_ejected.insert(engine);
        } else if is_success {
            gateway.own_ejected.remove(&engine);
        }
    }

    fn has_ejected(&self, gateway: usize, engine: usize) -> bool {
        let gateway = &self.gateways[gateway];
        let is_ejected_by_fleet = gateway
            .fleet_status
            .get(&engine_number(engine))
            .is_some_and(|status| status.is_ejected);
        gateway.own_ejected.contains(&engine) || is_ejected_by_fleet
    }

    pub(super) fn count_engines(&mut self) {
        let running: Vec<usize> = (0..self.fleet.gateways)
            .filter(|&gateway| self.gateways[gateway].is_running())
            .collect();
        self.count_failing(&running);
        self.count_falsely_ejected(&running);
        if (self.now / MEASUREMENT_INTERVAL).is_multiple_of(LOAD_MEASUREMENTS) {
            self.count_load();
        }
    }

    fn count_failing(&mut self, running: &[usize]) {
        let ejected_fraction = |engine: usize| {
            let ejected = running
                .iter()
                .filter(|&&gateway| self.has_ejected(gateway, engine));
            ejected.count() as f64 / running.len().max(1) as f64
        };
        // The blind gateway keeps using the failing engines.
        let tolerance = if self.fleet.has_faulty_gateways {
            1.0 / running.len().max(1) as f64
        } else {
            0.0
        };
        let mut failing = 0..self.fleet.failing_engines;
        let is_ejected = failing
            .clone()
            .all(|engine| ejected_fraction(engine) >= NEARLY_ALL - tolerance);
        let is_returned = failing.all(|engine| ejected_fraction(engine) <= NEARLY_NONE + tolerance);
        let counts = &mut self.engine_counts;
        if counts.ejected_at.is_none() && self.now >= self.schedule.engines_fail && is_ejected {
            counts.ejected_at = Some(self.now);
        }
        if counts.returned_at.is_none() && self.now >= self.schedule.engines_recover && is_returned
        {
            counts.returned_at = Some(self.now);
        }
    }

    /// Counts ejections of healthy engines, except by the accusing gateway and by gateways that
    /// cannot reach the engine.
    fn count_falsely_ejected(&mut self, running: &[usize]) {
        let has_reason = |gateway: usize, engine: usize| {
            self.fleet.has_faulty_gateways
                && (gateway == ACCUSING_GATEWAY || self.is_cut_off(gateway, engine))
        };
        let mut falsely_ejected = 0;
        for engine in self.fleet.failing_engines..self.fleet.engines {
            falsely_ejected += running
                .iter()
                .filter(|&&gateway| {
                    !has_reason(gateway, engine) && self.has_ejected(gateway, engine)
                })
                .count();
        }
        self.engine_counts.falsely_ejected +=
            falsely_ejected as f64 * MEASUREMENT_INTERVAL as f64 / SECOND as f64;
    }

    fn count_load(&mut self) {
        let usual = self.fleet.statements_per_second * self.fleet.gateways as f64
            / self.fleet.engines as f64
            * LOAD_INTERVAL_SECONDS;
        if self.now >= self.schedule.engines_recover {
            for engine in 0..self.fleet.failing_engines {
                let load = f64::from(self.engine_counts.sends[engine]) / usual.max(1.0);
                self.verdict.max_return_load = self.verdict.max_return_load.max(load);
            }
        }
        self.engine_counts.sends.fill(0);
    }
}
