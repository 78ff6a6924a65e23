//! Load reports of engines: what they tell, when they are fresh, and when one is requested before a send.

use crate::capacity::{OTHERS_THREADS_FACTOR, PRESSURE_THREADS_PER_CORE};
use crate::cost_model::LEARNING_RATE;
use crate::deployment::ReportField;
use crate::engine::Engine;
use crate::output::Output;
use crate::scheduler::Scheduler;
use crate::statement::Statement;
use ivypitch_types::{EngineIndex, Nanos, SECOND, StatementIndex};

/// How long a load report is fresh.
pub(crate) const REPORT_LIFETIME: Nanos = SECOND * 3 / 10;
/// An engine that does not answer a request for that long is passed over.
const REQUEST_TIMEOUT: Nanos = SECOND * 3 / 100;
/// Another report of an engine that has not answered is requested after so long.
const REQUEST_INTERVAL: Nanos = SECOND;
/// Reports requested for one statement, apart from those that were not answered.
const MAX_REQUESTS_PER_STATEMENT: usize = 2;
/// Pressure lasts this long after its last sign.
const PRESSURE_DURATION: Nanos = SECOND / 2;
/// Sign of pressure: processor or memory utilization by a report.
const PRESSURE_UTILIZATION: f64 = 0.93;
/// Sign of pressure: attempts that wait, by a report.
const PRESSURE_WAITING: f64 = 1.0;
/// Sign of pressure: slowness against its best.
const PRESSURE_SLOWNESS_RATIO: f64 = 3.0;

impl Engine {
    pub(crate) fn has_fresh_report(&self, now: Nanos) -> bool {
        now < self.reported_at + REPORT_LIFETIME
    }

    /// A request for a load report has timed out, and it is too early for the next.
    pub(crate) fn is_unresponsive(&self, now: Nanos) -> bool {
        self.report_requested_at
            .is_some_and(|at| now >= at + REQUEST_TIMEOUT && now < at + REQUEST_INTERVAL)
    }

    /// Its last report is stale and none has been requested since.
    pub(crate) fn needs_report_request(&self, now: Nanos) -> bool {
        self.report_requested_at.is_none() && !self.has_fresh_report(now)
    }

    fn can_request_report(&self, now: Nanos) -> bool {
        self.report_requested_at
            .is_none_or(|at| now >= at + REQUEST_INTERVAL)
    }

    /// Learns the slowness of a short statement; far above the best is a sign of pressure.
    pub(crate) fn learn_slowness(&mut self, now: Nanos, sample: f64) {
        self.slowness.learn(sample);
        if self.slowness.current > PRESSURE_SLOWNESS_RATIO * self.slowness.best {
            self.pressure_until = now + PRESSURE_DURATION;
        }
    }
}

impl Scheduler {
    /// Reads a load report; an empty one tells nothing.
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
                    let attempts_of_others = (value - f64::from(engine.in_flight)).max(0.0);
                    engine.threads_of_others = attempts_of_others * threads_per_attempt;
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
        let threads = engine.threads.total() + OTHERS_THREADS_FACTOR * engine.threads_of_others;
        is_busy |= threads >= PRESSURE_THREADS_PER_CORE * cores;
        self.pressure_fraction += LEARNING_RATE * (f64::from(is_busy) - self.pressure_fraction);
    }

    /// Whether a statement waits for a fresh load report of its engine, which is requested here.
    ///
    /// Only long statements do, since it costs them a round trip. Guards against gateways so many that each
    /// sees little of what an engine runs, and finds engines that answer nothing.
    pub(crate) fn awaits_load_report(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        engine_index: EngineIndex,
        out: &mut dyn Output,
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
            out.request_load_report(engine_index);
            engine.report_requested_at = Some(now);
            statement.report_requests += 1;
        }
        true
    }

    /// Whether a long statement has used up its requests, so that it goes only where no further one is needed.
    pub(crate) fn has_no_requests_left(
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
        statement.report_requests >= MAX_REQUESTS_PER_STATEMENT + unresponsive
    }
}
