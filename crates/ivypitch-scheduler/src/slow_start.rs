//! Slow start: limits the work that an engine gets while it warms up after its start.

use crate::engine::Engine;
use crate::safety_rules::ProposedAttempt;
use crate::scheduler::Scheduler;
use ivypitch_types::{Nanos, secs_from_nanos};

/// Fraction of a warming-up engine's overload threshold that its slow-start limit uses.
const LIMIT_SAFETY_FACTOR: f64 = 0.85;
/// Growth rate of the slow-start limit as a fraction of linear growth to full capacity.
const CAPACITY_GROWTH_FACTOR: f64 = 0.7;

impl Engine {
    /// Whether the engine started so recently that its slow-start limit applies.
    pub(crate) fn is_warming_up(&self, now: Nanos, slow_start_duration: Nanos) -> bool {
        let started_at = self.endpoint.started_at;
        started_at > 0 && now < started_at.saturating_add(slow_start_duration)
    }
}

impl Scheduler {
    /// Returns the work in seconds that all gateways together may send to the engine within an
    /// overload window.
    fn slow_start_limit_secs(&self, now: Nanos, engine: &Engine) -> f64 {
        let deployment = &self.deployment;
        let age_fraction = secs_from_nanos(now.saturating_sub(engine.endpoint.started_at))
            / secs_from_nanos(deployment.slow_start_duration);
        let initial = deployment.slow_start_initial_fraction;
        let capacity_fraction =
            initial + CAPACITY_GROWTH_FACTOR * (1.0 - initial).max(0.0) * age_fraction;
        let window_secs = secs_from_nanos(deployment.overload_window);
        LIMIT_SAFETY_FACTOR
            * deployment.overload_factor
            * self.engine_cores(engine.endpoint.engine)
            * capacity_fraction
            * window_secs
    }

    /// Whether an attempt is within this gateway's part of a warming-up engine's slow-start limit.
    ///
    /// Work and attempts are bounded separately, since either can overload an engine. The limit is
    /// divided by the mean work into a number of attempts, which is distributed in whole attempts
    /// over the gateways that the engine ranks lowest. The ranks are the same at every gateway, so
    /// the parts add up to the limit without communication.
    pub(crate) fn is_within_slow_start_limit(&self, proposed: &ProposedAttempt) -> bool {
        let now = proposed.now;
        let engine = proposed.engine;
        let limit_secs = self.slow_start_limit_secs(now, engine);
        let gateways = self.deployment.gateways as f64;
        let fleet_attempts = (limit_secs / self.arrival_mix.mean_work_secs)
            .floor()
            .max(1.0);
        let sharing_gateways = fleet_attempts.min(gateways);
        let rank = f64::from(engine.rank.gateway_rank());
        let max_attempts = ((fleet_attempts + rank) / sharing_gateways).floor();

        let window_start = now.saturating_sub(self.deployment.overload_window);
        // A gateway that has restarted does not know what it sent before.
        let has_complete_send_history =
            engine.endpoint.started_at.max(window_start) >= self.started_at;
        if !has_complete_send_history || rank >= sharing_gateways {
            return false;
        }
        // A confirmed attempt was counted when it was sent.
        let (new_attempts, new_work_secs) = if proposed.is_confirmation {
            (0, 0.0)
        } else {
            (1, proposed.statement.charged_work_secs)
        };
        let sent_attempts = (engine.sends.count_since(window_start) + new_attempts) as f64;
        let sent_work_secs = engine.sends.cost_since(window_start) + new_work_secs;
        let exceeds_attempts = sent_attempts > max_attempts;
        let exceeds_work = sent_work_secs > limit_secs / sharing_gateways;
        !exceeds_attempts && !exceeds_work
    }
}
