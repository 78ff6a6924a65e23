//! Load reports of engines: their evaluation, their lifetime, and requests for a report before a
//! send.

use crate::capacity::{OTHER_GATEWAYS_THREADS_FACTOR, PRESSURE_THREADS_PER_CORE};
use crate::cost_model::SMOOTHING_FACTOR;
use crate::deployment::ReportField;
use crate::engine::Engine;
use crate::output::Output;
use crate::scheduler::Scheduler;
use crate::statement::Statement;
use ivypitch_types::{EngineIndex, Nanos, SECOND, StatementIndex};

/// Time for which a load report is fresh.
pub(crate) const REPORT_LIFETIME: Nanos = SECOND * 3 / 10;
/// Time without a reply to a request after which an engine counts as unresponsive.
const REPORT_REQUEST_TIMEOUT: Nanos = SECOND * 3 / 100;
/// Time after which another report is requested from an engine that has not replied.
const REPORT_REQUEST_INTERVAL: Nanos = SECOND;
/// Load reports requested for one statement, not counting those without a reply.
const MAX_REPORT_REQUESTS_PER_STATEMENT: usize = 2;
/// Time for which an engine counts as under pressure after its last sign of pressure.
const PRESSURE_DURATION: Nanos = SECOND / 2;
/// Reported processor or memory utilization from which an engine shows pressure.
const PRESSURE_UTILIZATION: f64 = 0.93;
/// Reported number of waiting attempts from which an engine shows pressure.
const PRESSURE_WAITING: f64 = 1.0;
/// Ratio of an engine's slowness to its best above which the engine shows pressure.
const PRESSURE_SLOWNESS_RATIO: f64 = 3.0;

impl Engine {
    pub(crate) fn has_fresh_report(&self, now: Nanos) -> bool {
        now < self.reported_at + REPORT_LIFETIME
    }

    /// Whether a request for a load report has timed out and it is too early for the next one.
    pub(crate) fn is_unresponsive(&self, now: Nanos) -> bool {
        self.report_requested_at.is_some_and(|at| {
            now >= at + REPORT_REQUEST_TIMEOUT && now < at + REPORT_REQUEST_INTERVAL
        })
    }

    /// Whether the engine's last report is stale and none is requested.
    pub(crate) fn needs_report_request(&self, now: Nanos) -> bool {
        self.report_requested_at.is_none() && !self.has_fresh_report(now)
    }

    fn can_request_report(&self, now: Nanos) -> bool {
        self.report_requested_at
            .is_none_or(|at| now >= at + REPORT_REQUEST_INTERVAL)
    }

    /// Updates the slowness with a short statement's. Slowness far above the best is a sign of
    /// pressure.
    pub(crate) fn update_slowness(&mut self, now: Nanos, sample: f64) {
        self.slowness.update(sample);
        if self.slowness.current > PRESSURE_SLOWNESS_RATIO * self.slowness.best {
            self.pressure_until = now + PRESSURE_DURATION;
        }
    }
}

impl Scheduler {
    /// Applies a load report; an empty one is ignored.
    pub(crate) fn read_load_report(&mut self, now: Nanos, index: EngineIndex, report: &[f32]) {
        if report.is_empty() {
            return;
        }
        let cores = self.engine_cores(index);
        let own = self.in_flight();
        let threads_per_attempt = (own.threads + 1.0) / f64::from(own.attempts + 1);
        let engine = &mut self.engines[index.0];
        engine.report_requested_at = None;
        let mut is_busy = false;
        for (field, &value) in self.deployment.report_fields.iter().zip(report) {
            let value = f64::from(value);
            match field {
                ReportField::CpuUtilization | ReportField::GrantedMemoryFraction => {
                    is_busy |= value >= PRESSURE_UTILIZATION;
                }
                ReportField::WaitingAttempts => is_busy |= value >= PRESSURE_WAITING,
                ReportField::InFlightAttempts => {
                    let other_gateways_attempts = (value - f64::from(engine.in_flight)).max(0.0);
                    engine.other_gateways_threads = other_gateways_attempts * threads_per_attempt;
                    engine.reported_at = now;
                }
                ReportField::MeanLatencyMs
                | ReportField::CompletedPerSecond
                | ReportField::FailedPerSecond
                | ReportField::DiskUtilization
                | ReportField::Unknown => {}
            }
        }
        if is_busy {
            engine.pressure_until = now + PRESSURE_DURATION;
        }
        let threads =
            engine.threads.total() + OTHER_GATEWAYS_THREADS_FACTOR * engine.other_gateways_threads;
        is_busy |= threads >= PRESSURE_THREADS_PER_CORE * cores;
        self.pressure_fraction += SMOOTHING_FACTOR * (f64::from(is_busy) - self.pressure_fraction);
    }

    /// Whether a statement must wait for a fresh load report of its engine, which is requested
    /// here.
    ///
    /// Only long statements wait, since a request costs a round trip. Guards against fleets so
    /// large that each gateway sees little of an engine's load, and detects unresponsive engines.
    pub(crate) fn awaits_load_report(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        engine_index: EngineIndex,
        output: &mut dyn Output,
    ) -> bool {
        let Some(statement) = self.statements[index.0].as_mut() else {
            return false;
        };
        let engine = &mut self.engines[engine_index.0];
        let is_known = engine.has_fresh_report(now) || engine.is_unresponsive(now);
        let is_long = self.workloads[statement.workload].is_long;
        if is_known || !self.deployment.can_request_load_reports || !is_long {
            return false;
        }
        if engine.can_request_report(now) {
            output.request_load_report(engine_index);
            engine.report_requested_at = Some(now);
            statement.report_requests += 1;
        }
        true
    }

    /// Whether a long statement has used up its report requests and may only be sent to engines
    /// that need no further one.
    pub(crate) fn has_no_report_requests_left(
        &self,
        now: Nanos,
        statement: &Statement,
        candidates: &[&Engine],
    ) -> bool {
        let is_long = self.workloads[statement.workload].is_long;
        if !is_long || !self.deployment.can_request_load_reports {
            return false;
        }
        let unresponsive = candidates
            .iter()
            .filter(|engine| engine.is_unresponsive(now))
            .count();
        statement.report_requests >= MAX_REPORT_REQUESTS_PER_STATEMENT + unresponsive
    }
}
