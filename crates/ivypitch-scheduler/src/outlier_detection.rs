//! Which engines are left out: outlier detection by the outcomes of attempts, and attempts that are lost.

use crate::deployment::Idempotency;
use crate::engine::{Engine, EngineHealth, HealthEvidence};
use crate::events::OutlierStatus;
use crate::output::Output;
use crate::scheduler::Scheduler;
use crate::statement::Statement;
use ivypitch_types::{EngineIndex, Nanos, SECOND, StatementIndex, nanos_from_secs};
use std::collections::VecDeque;

/// An engine is judged by so many outcomes, none of them older than their lifetime.
const MAX_OUTCOMES: usize = 8;
const OUTCOME_LIFETIME: Nanos = SECOND * 10;
/// It is ejected below this part of successes.
const MIN_SUCCESS_RATE: f64 = 0.375;
/// A suspected engine gets a trial so long after its last attempt.
pub(crate) const TRIAL_INTERVAL: Nanos = SECOND;
/// At most one of so many sends of this gateway is a trial.
pub(crate) const SENDS_PER_TRIAL: u32 = 16;
/// If more than this part of the candidates is suspected, all are used: the fault is elsewhere.
const MAX_SUSPECTED_FRACTION: f64 = 0.5;
/// Errors of one statement by healthy engines that count against engines: where two of them answer with
/// errors the statement may be at fault.
pub(crate) const MAX_ERRORS_AGAINST_ENGINES: u32 = 1;
/// An attempt is lost without a report for so many times its usual time ...
const LOST_AFTER_USUAL_TIMES: f64 = 3.0;
/// ... and not before this.
const MIN_LOST_AFTER: Nanos = SECOND * 6 / 10;

struct RecentOutcome {
    at: Nanos,
    is_success: bool,
}

/// The last few outcomes at one engine.
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
        while self.0.len() > MAX_OUTCOMES || self.0[0].at + OUTCOME_LIFETIME < now {
            self.0.pop_front();
        }
    }

    /// Undefined without outcomes.
    fn success_rate(&self) -> f64 {
        let successes = self.0.iter().filter(|outcome| outcome.is_success).count();
        successes as f64 / self.0.len() as f64
    }
}

impl Engine {
    /// Whether suspicion keeps a statement away, which may serve as a trial or not.
    pub(crate) fn is_left_out(&self, now: Nanos, can_be_trial: bool) -> bool {
        let is_trial_due = can_be_trial && now >= self.next_trial_at;
        let is_ejected = self.health == EngineHealth::Ejected && !is_trial_due;
        let is_ejected_by_fleet =
            self.is_ejected_by_fleet && !(is_trial_due && self.is_probe_assigned);
        is_ejected || is_ejected_by_fleet || self.is_unresponsive(now)
    }
}

/// Whether so many of the candidates are suspected that suspicion is not trusted.
pub(crate) fn must_use_suspected(now: Nanos, candidates: &[&Engine]) -> bool {
    let trusted = candidates
        .iter()
        .filter(|engine| !engine.is_suspected() && !engine.is_unresponsive(now))
        .count();
    (trusted as f64) < (1.0 - MAX_SUSPECTED_FRACTION) * candidates.len() as f64
}

impl Scheduler {
    /// Applies the fleet's common decision. An engine that recovered at other gateways is judged anew.
    pub(crate) fn apply_outlier_status(
        &mut self,
        index: EngineIndex,
        status: OutlierStatus,
        out: &mut dyn Output,
    ) {
        let Some(engine) = self.engines.get_mut(index.0) else {
            return;
        };
        engine.is_ejected_by_fleet = status.is_ejected;
        engine.is_probe_assigned = status.is_probe_assigned;
        if status.has_recovered {
            engine.outcomes.clear();
            let evidence = HealthEvidence::RecoveredAtPeers;
            engine.transition(EngineHealth::Healthy, evidence, out);
        }
    }

    /// Judges an engine by the successes among its recent outcomes.
    ///
    /// Guards against engines that fail fast and attract work, crashes, refused connections and lost attempts
    /// before the endpoint list tells. Hurts when statements are at fault: then most engines stay in use all
    /// the same.
    pub(crate) fn record_outcome(
        &mut self,
        now: Nanos,
        index: EngineIndex,
        is_success: bool,
        out: &mut dyn Output,
    ) {
        let engine = &mut self.engines[index.0];
        engine.outcomes.push(now, is_success);
        let success_rate = engine.outcomes.success_rate();
        let evidence = HealthEvidence::SuccessRate(success_rate);
        if success_rate < MIN_SUCCESS_RATE {
            engine.transition(EngineHealth::Ejected, evidence, out);
        } else if is_success {
            engine.transition(EngineHealth::Healthy, evidence, out);
        }
    }

    /// Whether the statement may be a trial of a suspected engine: cheap and safe to lose, and not too often.
    pub(crate) fn can_be_trial(&self, statement: &Statement) -> bool {
        let workload = &self.deployment.workloads[statement.workload];
        let is_cheap = !self.workloads[statement.workload].is_long
            && workload.idempotency == Idempotency::Idempotent
            && !statement.is_retry();
        is_cheap && self.sends_since_trial >= SENDS_PER_TRIAL
    }

    /// Finds lost attempts: those without a report for far longer than such statements take.
    ///
    /// Guards against engines that answer nothing, lost results, partitions and crashes that the endpoint
    /// list has not told. Each counts as a failure of its engine. An idempotent statement is retried
    /// elsewhere once: where all engines are slow, more would double the work.
    pub(crate) fn detect_lost_attempts(&mut self, now: Nanos, out: &mut dyn Output) {
        for index in 0..self.statements.len() {
            let index = StatementIndex(index);
            let Some(patience) = self.lost_after(index) else {
                continue;
            };
            let Some(statement) = self.statement_mut(index) else {
                continue;
            };
            let Some(attempt) = statement.attempt.as_mut() else {
                continue;
            };
            if now.saturating_sub(attempt.last_progress_at) < patience {
                continue;
            }
            attempt.last_progress_at = Nanos::MAX;
            let engine = attempt.engine;
            let is_first = statement.sent_attempts() == 1;
            let workload = statement.workload;
            let idempotency = self.deployment.workloads[workload].idempotency;
            let can_retry = is_first && idempotency == Idempotency::Idempotent;
            self.record_outcome(now, engine, false, out);
            if can_retry && self.is_within_retry_budget(now, 1) {
                self.cancel_attempt(index, out);
            }
        }
    }

    /// How long the statement's attempt may stay without a report; `None`: no attempt runs.
    fn lost_after(&self, index: StatementIndex) -> Option<Nanos> {
        let statement = self.statement(index)?;
        let attempt = statement.attempt.as_ref()?;
        let has_no_progress = attempt.last_progress_at == attempt.started_at;
        let patience = if has_no_progress {
            let workload = &self.deployment.workloads[statement.workload];
            let slowness = self.workloads[statement.workload].cost.slowness;
            let usual_secs = statement.work_secs / workload.threads.max(1.0);
            let patience_secs = usual_secs * LOST_AFTER_USUAL_TIMES * slowness;
            nanos_from_secs(patience_secs).max(MIN_LOST_AFTER)
        } else {
            Nanos::MAX
        };
        let progress_interval = self.deployment.progress_interval;
        if progress_interval > 0 {
            // One report and a half, and half a second for its way.
            Some(patience.min(progress_interval * 3 / 2 + SECOND / 2))
        } else {
            Some(patience)
        }
    }
}
