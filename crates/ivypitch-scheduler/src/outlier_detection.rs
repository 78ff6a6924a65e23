//! Outlier detection: ejects engines by the outcomes of attempts and detects lost attempts.

use crate::deployment::Idempotency;
use crate::engine::{Engine, EngineHealth, HealthEvidence};
use crate::events::OutlierStatus;
use crate::output::Output;
use crate::scheduler::Scheduler;
use crate::statement::Statement;
use ivypitch_types::{EngineIndex, Nanos, SECOND, StatementIndex, nanos_from_secs};
use std::collections::VecDeque;

/// Number of recent outcomes by which an engine's success rate is computed.
const MAX_RECENT_OUTCOMES: usize = 8;
/// Age beyond which an outcome no longer counts.
const OUTCOME_LIFETIME: Nanos = SECOND * 10;
/// Success rate below which an engine is ejected.
const MIN_SUCCESS_RATE: f64 = 0.375;
/// Time from this gateway's last send to an ejected engine until the next engine probe.
pub(crate) const PROBE_INTERVAL: Nanos = SECOND;
/// Number of this gateway's sends after an engine probe before another statement may serve as one.
pub(crate) const MIN_SENDS_PER_PROBE: u32 = 16;
/// If more than this fraction of the candidates is ejected or unresponsive, all are used, because
/// the fault is probably not in the engines.
const MAX_EXCLUDED_FRACTION: f64 = 0.5;
/// Number of one statement's errors on healthy engines that count against the engines: if two
/// engines return errors, the statement may be at fault.
pub(crate) const MAX_COUNTED_ERRORS_PER_STATEMENT: u32 = 1;
/// Multiple of its expected time after which an attempt without a progress report counts as lost.
const LOST_ATTEMPT_TIME_RATIO: f64 = 3.0;
/// Least time without a progress report after which an attempt counts as lost by its expected time.
const MIN_LOST_ATTEMPT_TIMEOUT: Nanos = SECOND * 6 / 10;

struct RecentOutcome {
    at: Nanos,
    is_success: bool,
}

/// The most recent outcomes of attempts on one engine.
#[derive(Default)]
pub(crate) struct RecentOutcomes(VecDeque<RecentOutcome>);

impl RecentOutcomes {
    pub fn clear(&mut self) {
        self.0.clear();
    }

    fn push(&mut self, now: Nanos, is_success: bool) {
        self.0.push_back(RecentOutcome {
            at: now,
            is_success,
        });
        while self.0.len() > MAX_RECENT_OUTCOMES || self.0[0].at + OUTCOME_LIFETIME < now {
            self.0.pop_front();
        }
    }

    /// Fraction of successes; NaN if there are no outcomes.
    fn success_rate(&self) -> f64 {
        let successes = self.0.iter().filter(|outcome| outcome.is_success).count();
        successes as f64 / self.0.len() as f64
    }
}

impl Engine {
    /// Whether the engine must not get a statement because it is ejected or unresponsive. A
    /// statement that can serve as a probe may be sent to an ejected engine from time to time.
    pub(crate) fn is_excluded(&self, now: Nanos, can_probe: bool) -> bool {
        let is_probe_allowed = can_probe && now >= self.next_probe_at;
        let is_ejected = self.health == EngineHealth::Ejected && !is_probe_allowed;
        let is_ejected_by_fleet =
            self.is_ejected_by_fleet && !(is_probe_allowed && self.is_probe_assigned);
        is_ejected || is_ejected_by_fleet || self.is_unresponsive(now)
    }
}

/// Whether so many of the candidates are ejected or unresponsive that exclusions are ignored.
pub(crate) fn should_ignore_exclusions(now: Nanos, candidates: &[&Engine]) -> bool {
    let usable = candidates
        .iter()
        .filter(|engine| !engine.is_ejected() && !engine.is_unresponsive(now))
        .count();
    (usable as f64) < (1.0 - MAX_EXCLUDED_FRACTION) * candidates.len() as f64
}

impl Scheduler {
    /// Applies the fleet's common decision. If other gateways report that the engine has recovered,
    /// its earlier outcomes at this gateway are dropped.
    pub(crate) fn apply_outlier_status(
        &mut self,
        index: EngineIndex,
        status: OutlierStatus,
        output: &mut dyn Output,
    ) {
        let Some(engine) = self.engines.get_mut(index.0) else {
            return;
        };
        engine.is_ejected_by_fleet = status.is_ejected;
        engine.is_probe_assigned = status.is_probe_assigned;
        if status.has_recovered {
            engine.outcomes.clear();
            let evidence = HealthEvidence::RecoveredAtPeers;
            engine.transition(EngineHealth::Healthy, evidence, output);
        }
    }

    /// Records an outcome and ejects or readmits the engine by the success rate of its recent
    /// outcomes.
    ///
    /// Guards against engines that fail fast and so attract work, and against crashes, refused
    /// connections and lost attempts before the endpoint list reports them. Drawback: engines are
    /// ejected if statements are at fault, but even then most engines stay in use.
    pub(crate) fn record_engine_outcome(
        &mut self,
        now: Nanos,
        index: EngineIndex,
        is_success: bool,
        output: &mut dyn Output,
    ) {
        let engine = &mut self.engines[index.0];
        engine.outcomes.push(now, is_success);
        let success_rate = engine.outcomes.success_rate();
        let evidence = HealthEvidence::SuccessRate(success_rate);
        if success_rate < MIN_SUCCESS_RATE {
            engine.transition(EngineHealth::Ejected, evidence, output);
        } else if is_success {
            engine.transition(EngineHealth::Healthy, evidence, output);
        }
    }

    /// Whether the statement may probe an ejected engine: it must be cheap and safe to lose, and
    /// probes must be rare.
    pub(crate) fn can_probe(&self, statement: &Statement) -> bool {
        let workload = &self.deployment.workloads[statement.workload];
        let is_cheap = !self.workloads[statement.workload].is_long
            && workload.idempotency == Idempotency::Idempotent
            && !statement.is_retry();
        is_cheap && self.sends_since_probe >= MIN_SENDS_PER_PROBE
    }

    /// Detects lost attempts: those without a progress report or result for far longer than such
    /// statements take.
    ///
    /// Guards against unresponsive engines, lost results, partitions and crashes that the endpoint
    /// list has not reported. Each lost attempt counts as a failure of its engine. An idempotent
    /// statement is retried elsewhere once; where all engines are slow, further retries would
    /// double the work.
    pub(crate) fn detect_lost_attempts(&mut self, now: Nanos, output: &mut dyn Output) {
        for index in 0..self.statements.len() {
            let index = StatementIndex(index);
            let Some(lost_timeout) = self.lost_attempt_timeout(index) else {
                continue;
            };
            let Some(statement) = self.statement_mut(index) else {
                continue;
            };
            let Some(attempt) = statement.attempt.as_mut() else {
                continue;
            };
            if now.saturating_sub(attempt.last_progress_at) < lost_timeout {
                continue;
            }
            attempt.last_progress_at = Nanos::MAX;
            let engine = attempt.engine;
            let is_first_attempt = statement.sent_attempts() == 1;
            let workload = statement.workload;
            let idempotency = self.deployment.workloads[workload].idempotency;
            let can_retry = is_first_attempt && idempotency == Idempotency::Idempotent;
            self.record_engine_outcome(now, engine, false, output);
            if can_retry && self.is_within_retry_budget(now, 1) {
                self.cancel_attempt(index, output);
            }
        }
    }

    /// Returns how long the statement's attempt may stay without a progress report or result, or
    /// `None` if no attempt runs.
    fn lost_attempt_timeout(&self, index: StatementIndex) -> Option<Nanos> {
        let statement = self.statement(index)?;
        let attempt = statement.attempt.as_ref()?;
        let has_no_progress = attempt.last_progress_at == attempt.started_at;
        let lost_timeout = if has_no_progress {
            let workload = &self.deployment.workloads[statement.workload];
            let slowness = self.workloads[statement.workload].cost.slowness;
            let expected_secs = statement.work_secs / workload.threads.max(1.0);
            let lost_timeout_secs = expected_secs * LOST_ATTEMPT_TIME_RATIO * slowness;
            nanos_from_secs(lost_timeout_secs).max(MIN_LOST_ATTEMPT_TIMEOUT)
        } else {
            Nanos::MAX
        };
        let progress_interval = self.deployment.progress_interval;
        if progress_interval > 0 {
            // One and a half progress intervals, plus half a second for transmission.
            Some(lost_timeout.min(progress_interval * 3 / 2 + SECOND / 2))
        } else {
            Some(lost_timeout)
        }
    }
}
