//! Slow start: how much work an engine gets while it warms up after its start.

use crate::engine::Engine;
use crate::safety_rules::ProposedAttempt;
use crate::scheduler::Scheduler;
use ivypitch_types::{Nanos, secs_from_nanos};

/// Part of a warming-up engine's capacity that its limit uses.
const LIMIT_SAFETY: f64 = 0.85;
/// The limit grows at this part of an even pace.
const GROWTH_FRACTION: f64 = 0.7;

impl Engine {
    /// Whether it started so lately that its limit applies.
    pub(crate) fn is_warming_up(&self, now: Nanos, slow_start_duration: Nanos) -> bool {
        let started_at = self.endpoint.started_at;
        started_at > 0 && now < started_at.saturating_add(slow_start_duration)
    }
}

impl Scheduler {
    /// Work in seconds that all gateways together may send to the engine within an overload window.
    fn slow_start_limit_secs(&self, now: Nanos, engine: &Engine) -> f64 {
        let deployment = &self.deployment;
        let age = secs_from_nanos(now.saturating_sub(engine.endpoint.started_at))
            / secs_from_nanos(deployment.slow_start_duration);
        let initial = deployment.slow_start_initial_fraction;
        let warmth = initial + GROWTH_FRACTION * (1.0 - initial).max(0.0) * age;
        let window_secs = secs_from_nanos(deployment.overload_window);
        LIMIT_SAFETY
            * deployment.overload_factor
            * self.engine_cores(engine.endpoint.engine)
            * warmth
            * window_secs
    }

    /// Whether an attempt is within this gateway's part of a warming-up engine's limit.
    ///
    /// Work and calls are bounded apart, since engines are overloaded by either: the limit holds so many
    /// calls of mean work, which the gateways that the engine ranks lowest share in whole calls. The ranks
    /// are the same at every gateway, so the parts add up to the limit without a message among them.
    pub(crate) fn is_within_slow_start_limit(&self, proposed: &ProposedAttempt) -> bool {
        let now = proposed.now;
        let engine = proposed.engine;
        let limit_secs = self.slow_start_limit_secs(now, engine);
        let gateways = self.deployment.gateways as f64;
        let calls = (limit_secs / self.arrival_mix.mean_work_secs)
            .floor()
            .max(1.0);
        let sharing_gateways = calls.min(gateways);
        let rank = f64::from(engine.rank.gateway_rank());
        let max_calls = ((calls + rank) / sharing_gateways).floor();

        let window_start = now.saturating_sub(self.deployment.overload_window);
        // A gateway that restarted does not know what it sent before.
        let knows_sends = engine.endpoint.started_at.max(window_start) >= self.started_at;
        if !knows_sends || rank >= sharing_gateways {
            return false;
        }
        // An attempt that is about to leave was counted when it was decided.
        let (new_calls, new_work_secs) = if proposed.is_leaving {
            (0, 0.0)
        } else {
            (1, proposed.statement.charged_work_secs)
        };
        let sent_calls = (engine.sends.count_since(window_start) + new_calls) as f64;
        let sent_work_secs = engine.sends.cost_since(window_start) + new_work_secs;
        let exceeds_calls = sent_calls > max_calls;
        let exceeds_work = sent_work_secs > limit_secs / sharing_gateways;
        !exceeds_calls && !exceeds_work
    }
}
