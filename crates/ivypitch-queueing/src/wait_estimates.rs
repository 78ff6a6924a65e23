//! Service rates, ranges of estimated waits, and statistics on the accuracy of the estimates.

use hdrhistogram::Histogram;
use ivypitch_types::Nanos;

/// Time constant with which the evidence of a service rate decays.
const SERVICE_RATE_TIME_CONSTANT_S: f64 = 5.0;
/// Weight of the expected rate, which the engines' cores determine, against measured time.
const EXPECTED_RATE_WEIGHT_S: f64 = 1.0;
/// Mean relative error that is assumed before the first measurement.
const INITIAL_RELATIVE_ERROR: f64 = 0.2;
/// Weight of one statement in the mean relative error.
const RELATIVE_ERROR_SMOOTHING: f64 = 0.02;
/// A reported range extends by this many mean relative errors to each side.
const RANGE_MEAN_ERRORS: f64 = 2.0;
/// Time constant with which the evidence for the correction of estimates decays.
const CORRECTION_TIME_CONSTANT_S: f64 = 4.0;
/// Wait that is added to the measured and to the estimated waits: with little evidence, estimates
/// are hardly corrected.
const CORRECTION_PRIOR_NS: f64 = 1e9;
const MIN_CORRECTION_FACTOR: f64 = 0.5;
const MAX_CORRECTION_FACTOR: f64 = 2.0;
/// Resolution of estimates: differences up to it do not count as errors.
pub const WAIT_RESOLUTION: Nanos = 50_000_000;
const NANOS_PER_MS: Nanos = 1_000_000;
const MAX_RECORDED_WAIT_MS: u64 = 3_600_000;

/// Estimated wait of a statement, as a range.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct WaitEstimate {
    /// Lower end of the range.
    pub low: Nanos,
    /// The estimate.
    pub mid: Nanos,
    /// Upper end of the range.
    pub high: Nanos,
}

/// Rate of work that is done while statements wait; other times do not count.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceRate {
    work: f64,
    time_s: f64,
}

impl ServiceRate {
    /// Adds work that was done in a time during which statements waited.
    pub fn record(&mut self, work: f64, time: Nanos) {
        let time_s = time as f64 / 1e9;
        let kept_fraction = (-time_s / SERVICE_RATE_TIME_CONSTANT_S).exp();
        self.work = self.work * kept_fraction + work;
        self.time_s = self.time_s * kept_fraction + time_s;
    }

    /// Work per second; close to `expected` until there is evidence.
    pub fn per_s(&self, expected: f64) -> f64 {
        (self.work + expected * EXPECTED_RATE_WEIGHT_S) / (self.time_s + EXPECTED_RATE_WEIGHT_S)
    }
}

/// Rate of amounts that are added over time, with exponential decay.
#[derive(Clone, Debug)]
pub(crate) struct DecayingRate {
    time_constant_s: f64,
    sum: f64,
    updated_at: Nanos,
}

impl DecayingRate {
    /// A rate of 0 that decays with this time constant.
    pub fn new(time_constant_s: f64) -> DecayingRate {
        DecayingRate {
            time_constant_s,
            sum: 0.0,
            updated_at: 0,
        }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Nanos, amount: f64) {
        self.sum = self.decayed_sum(now) + amount;
        self.updated_at = self.updated_at.max(now);
    }

    /// Amount per second.
    pub fn per_s(&self, now: Nanos) -> f64 {
        self.decayed_sum(now) / self.time_constant_s
    }

    fn decayed_sum(&self, now: Nanos) -> f64 {
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / 1e9;
        self.sum * (-elapsed_s / self.time_constant_s).exp()
    }
}

/// Actual waits and the accuracy of the estimates for them.
pub struct WaitStatistics {
    /// Actual waits.
    pub waits_ms: Histogram<u64>,
    /// |measured - estimated| in percent of the measured wait, of waits longer than the resolution.
    pub errors_percent: Histogram<u64>,
    /// Number of estimates.
    pub estimates: u64,
    /// Estimates within a quarter of the measured wait, or within the resolution of it.
    pub good_estimates: u64,
    mean_relative_error: f64,
    /// Recent measured waits.
    measured_waits: DecayingRate,
    /// Recent estimates before any correction.
    uncorrected_estimates: DecayingRate,
}

impl Default for WaitStatistics {
    fn default() -> Self {
        let histogram =
            |max| Histogram::new_with_bounds(1, max, 2).unwrap_or_else(|_| unreachable!());
        WaitStatistics {
            waits_ms: histogram(MAX_RECORDED_WAIT_MS),
            errors_percent: histogram(10_000),
            estimates: 0,
            good_estimates: 0,
            mean_relative_error: INITIAL_RELATIVE_ERROR,
            measured_waits: DecayingRate::new(CORRECTION_TIME_CONSTANT_S),
            uncorrected_estimates: DecayingRate::new(CORRECTION_TIME_CONSTANT_S),
        }
    }
}

impl WaitStatistics {
    /// The range to report for an estimated wait.
    pub fn estimate_range(&self, mid: Nanos) -> WaitEstimate {
        let margin =
            (mid as f64 * (RANGE_MEAN_ERRORS * self.mean_relative_error).min(0.9)) as Nanos;
        WaitEstimate {
            low: mid.saturating_sub(margin),
            mid,
            high: mid.saturating_add(margin).saturating_add(WAIT_RESOLUTION),
        }
    }

    /// Factor by which estimates are multiplied so that they are right on average.
    pub(crate) fn correction_factor(&self, now: Nanos) -> f64 {
        let prior = CORRECTION_PRIOR_NS / CORRECTION_TIME_CONSTANT_S;
        let factor = (self.measured_waits.per_s(now) + prior)
            / (self.uncorrected_estimates.per_s(now) + prior);
        factor.clamp(MIN_CORRECTION_FACTOR, MAX_CORRECTION_FACTOR)
    }

    /// Records the wait of a released statement: its estimate, the estimate before correction,
    /// and the measured wait.
    pub(crate) fn record_wait(
        &mut self,
        now: Nanos,
        estimated: Nanos,
        uncorrected: Nanos,
        measured: Nanos,
    ) {
        let error = estimated.abs_diff(measured);
        self.estimates += 1;
        self.good_estimates += u64::from(error <= WAIT_RESOLUTION || error <= measured / 4);
        self.waits_ms.saturating_record(measured / NANOS_PER_MS);
        let relative_error = error as f64 / measured.max(1) as f64;
        if measured.max(estimated) > WAIT_RESOLUTION {
            self.measured_waits.add(now, measured as f64);
            self.uncorrected_estimates.add(now, uncorrected as f64);
        }
        if measured > WAIT_RESOLUTION {
            self.errors_percent
                .saturating_record((relative_error * 100.0) as u64);
            self.mean_relative_error +=
                RELATIVE_ERROR_SMOOTHING * (relative_error.min(1.0) - self.mean_relative_error);
        }
    }
}
