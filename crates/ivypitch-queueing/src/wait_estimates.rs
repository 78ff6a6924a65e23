//! How fast the order moves, what a wait will be, and how good such words were.

use hdrhistogram::Histogram;
use ivypitch_types::Nanos;

/// Evidence of a pace fades with this time, in seconds.
const FADE: f64 = 5.0;
/// Until there is more evidence, so many seconds of the pace that the engines' cores promise.
const PRIOR: f64 = 1.0;
/// Spread: the first guess of the relative error, its smoothing, and what of it is told on each side.
const FIRST_ERROR: f64 = 0.2;
const LEARN: f64 = 0.02;
const SPREAD: f64 = 2.0;
/// What estimates are corrected by: evidence fades in so many seconds; so many ns of waits stand for none; ends.
const BIAS_FADE: f64 = 4.0;
const BIAS_PRIOR: f64 = 1e9;
const LEAST_BIAS: f64 = 0.5;
const MOST_BIAS: f64 = 2.0;
/// What can't be told more finely.
pub const GRAIN: Nanos = 50_000_000;
const MS: Nanos = 1_000_000;
const LONGEST_MS: u64 = 3_600_000;

/// What a statement is told of its wait.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct WaitEstimate {
    pub low: Nanos,
    pub mid: Nanos,
    pub high: Nanos,
}

/// Something that goes on while somebody waits, measured over such times only.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    done: f64,
    span: f64,
}

impl Pace {
    pub fn went_on(&mut self, done: f64, span: Nanos) {
        let span = span as f64 / 1e9;
        let kept = (-span / FADE).exp();
        self.done = self.done * kept + done;
        self.span = self.span * kept + span;
    }

    /// A second's worth; `promised` stands for it until there is evidence.
    pub fn per_s(&self, promised: f64) -> f64 {
        (self.done + promised * PRIOR) / (self.span + PRIOR)
    }
}

/// A rate of what comes, fading.
#[derive(Clone, Debug)]
pub(crate) struct Rate {
    fade: f64,
    sum: f64,
    at: Nanos,
}

impl Rate {
    pub fn fading(fade: f64) -> Rate {
        Rate {
            fade,
            sum: 0.0,
            at: 0,
        }
    }

    pub fn add(&mut self, now: Nanos, amount: f64) {
        self.sum = self.left(now) + amount;
        self.at = self.at.max(now);
    }

    pub fn per_s(&self, now: Nanos) -> f64 {
        self.left(now) / self.fade
    }

    fn left(&self, now: Nanos) -> f64 {
        let span = now.saturating_sub(self.at) as f64 / 1e9;
        self.sum * (-span / self.fade).exp()
    }
}

/// Waits as they were, and how far the words about them were off.
pub struct WaitStatistics {
    pub waits_ms: Histogram<u64>,
    /// |true - told| in percent of the true wait, of those that waited longer than the grain.
    pub errors_percent: Histogram<u64>,
    pub estimates: u64,
    /// Within a quarter of the true wait, or within the grain of it.
    pub good_estimates: u64,
    error: f64,
    /// Waits of late as they were, and as they were estimated before any correction: fading sums.
    were: Rate,
    estimated: Rate,
}

impl Default for WaitStatistics {
    fn default() -> Self {
        let of = |most| Histogram::new_with_bounds(1, most, 2).unwrap_or_else(|_| unreachable!());
        WaitStatistics {
            waits_ms: of(LONGEST_MS),
            errors_percent: of(10_000),
            estimates: 0,
            good_estimates: 0,
            error: FIRST_ERROR,
            were: Rate::fading(BIAS_FADE),
            estimated: Rate::fading(BIAS_FADE),
        }
    }
}

impl WaitStatistics {
    pub fn wait(&self, mid: Nanos) -> WaitEstimate {
        let off = (mid as f64 * (SPREAD * self.error).min(0.9)) as Nanos;
        WaitEstimate {
            low: mid.saturating_sub(off),
            mid,
            high: mid.saturating_add(off).saturating_add(GRAIN),
        }
    }

    /// What an estimate is multiplied by so that it is right in the mean.
    pub(crate) fn bias(&self, now: Nanos) -> f64 {
        let prior = BIAS_PRIOR / BIAS_FADE;
        let bias = (self.were.per_s(now) + prior) / (self.estimated.per_s(now) + prior);
        bias.clamp(LEAST_BIAS, MOST_BIAS)
    }

    /// One that waited: what it was told, the estimate before its correction, and what came of it.
    pub(crate) fn released(&mut self, now: Nanos, told: Nanos, estimated: Nanos, was: Nanos) {
        let off = told.abs_diff(was);
        self.estimates += 1;
        self.good_estimates += u64::from(off <= GRAIN || off <= was / 4);
        self.waits_ms.saturating_record(was / MS);
        let relative = off as f64 / was.max(1) as f64;
        if was.max(told) > GRAIN {
            self.were.add(now, was as f64);
            self.estimated.add(now, estimated as f64);
        }
        if was > GRAIN {
            self.errors_percent
                .saturating_record((relative * 100.0) as u64);
            self.error += LEARN * (relative.min(1.0) - self.error);
        }
    }
}
