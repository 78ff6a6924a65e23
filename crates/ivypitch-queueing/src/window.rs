//! Window of threads that may be released at once, so that statements queue here, where they can
//! be ordered, and not at the engines. It starts at a size for this gateway's share of the
//! engines' cores and follows the measured slowness of attempts.

use ivypitch_types::Nanos;

/// Threads per core of the initial window: they keep the engines busy without slowing them down.
const INITIAL_THREADS_PER_CORE: f64 = 1.5;
/// The initial window grows by this factor times the square root of its threads: a small share
/// of cores needs relatively more room for random variation than a large one.
const INITIAL_HEADROOM_FACTOR: f64 = 0.5;
/// Lower bound of the window, as a multiple of the initial one.
const MIN_WINDOW_FACTOR: f64 = 0.7;
/// Upper bound of the window, as a multiple of the initial one.
const MAX_WINDOW_FACTOR: f64 = 2.0;
/// Minimum time between two adjustments of the window.
const ADJUSTMENT_INTERVAL: Nanos = 100_000_000;
/// Minimum number of attempts between two adjustments.
const MIN_ATTEMPTS_PER_ADJUSTMENT: u32 = 8;
/// The window shrinks when the slowness exceeds the best slowness by this factor.
const MAX_SLOWNESS_RATIO: f64 = 2.5;
/// Below this utilization of the cores, slowness does not shrink the window: the attempts wait
/// for disks or for other statements, and the cores have capacity left.
const MIN_UTILIZATION_TO_SHRINK: f64 = 0.8;
/// Largest reduction by one adjustment.
const MIN_STEP_FACTOR: f64 = 0.9;
/// Largest growth by one adjustment.
const MAX_STEP_FACTOR: f64 = 1.05;
/// Weight of one attempt in the slowness, and of one adjustment in the utilization.
const SMOOTHING: f64 = 0.1;
/// Fraction by which the best slowness moves to the present one at each adjustment.
const BEST_SLOWNESS_DECAY: f64 = 0.002;
/// Threads that the additive policy adds to the window.
const ADDITIVE_INCREASE_THREADS: f64 = 1.0;
/// Factor by which the additive policy shrinks the window.
const MULTIPLICATIVE_DECREASE_FACTOR: f64 = 0.85;

/// How the window follows the slowness of attempts.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum WindowPolicy {
    /// Constant threads per core.
    Fixed,
    /// Grows and shrinks in proportion to the best slowness over the present one.
    #[default]
    Gradient,
    /// Additive increase while attempts are fast, multiplicative decrease while they are slow.
    Additive,
}

/// The window.
pub struct Window {
    policy: WindowPolicy,
    /// This gateway's share of the engines' cores.
    cores: f64,
    /// Threads of the widest workload: a smaller window could never release its statements.
    max_statement_threads: f64,
    threads: f64,
    /// Measured over expected run time of attempts, smoothed.
    slowness: f64,
    best_slowness: f64,
    /// Attempts since the last adjustment.
    attempts: u32,
    /// Work (ns) since the last adjustment.
    work: f64,
    /// Used fraction of the cores' time, smoothed.
    utilization: f64,
    adjusted_at: Nanos,
    /// Whether the window was full since the last adjustment: only then may it grow.
    was_full: bool,
}

impl Window {
    /// A window without cores.
    pub fn new(policy: WindowPolicy, max_statement_threads: f64) -> Window {
        Window {
            policy,
            cores: 0.0,
            max_statement_threads,
            threads: 0.0,
            slowness: 1.0,
            best_slowness: f64::INFINITY,
            attempts: 0,
            work: 0.0,
            utilization: 1.0,
            adjusted_at: 0,
            was_full: false,
        }
    }

    /// Threads that may be released at once.
    pub fn threads(&self) -> f64 {
        self.threads
    }

    /// Threads of the widest workload.
    pub fn max_statement_threads(&self) -> f64 {
        self.max_statement_threads
    }

    /// This gateway's share of the engines' cores.
    pub fn cores(&self) -> f64 {
        self.cores
    }

    /// Changes the policy and the threads of the widest workload.
    pub fn set_policy(&mut self, policy: WindowPolicy, max_statement_threads: f64) {
        (self.policy, self.max_statement_threads) = (policy, max_statement_threads);
        self.set_cores(self.cores);
    }

    /// Sets this gateway's share of the cores of ready engines; 0 closes the window.
    pub fn set_cores(&mut self, cores: f64) {
        let keeps_ratio = self.cores > 0.0 && self.policy != WindowPolicy::Fixed;
        let ratio = if keeps_ratio {
            self.threads / self.initial_threads()
        } else {
            1.0
        };
        self.cores = cores;
        self.threads = ratio * self.initial_threads();
        self.clamp_threads();
    }

    fn initial_threads(&self) -> f64 {
        let threads = INITIAL_THREADS_PER_CORE * self.cores;
        if self.policy == WindowPolicy::Fixed {
            threads
        } else {
            threads + INITIAL_HEADROOM_FACTOR * threads.sqrt()
        }
    }

    fn clamp_threads(&mut self) {
        if self.cores <= 0.0 {
            self.threads = 0.0;
            return;
        }
        let initial = self.initial_threads();
        self.threads = self
            .threads
            .clamp(MIN_WINDOW_FACTOR * initial, MAX_WINDOW_FACTOR * initial)
            .max(self.max_statement_threads);
    }

    /// Records that the window was full.
    pub fn on_full(&mut self) {
        self.was_full = true;
    }

    /// An attempt succeeded: its run time on the engine, its work, and the run time expected for
    /// that work.
    pub fn on_attempt_succeeded(
        &mut self,
        now: Nanos,
        run_time: Nanos,
        work: Nanos,
        expected_run_time: Nanos,
    ) {
        if expected_run_time == 0 || run_time == 0 {
            return;
        }
        self.work += work as f64;
        let slowness = run_time as f64 / expected_run_time as f64;
        self.slowness += SMOOTHING * (slowness - self.slowness);
        self.attempts += 1;
        if now < self.adjusted_at + ADJUSTMENT_INTERVAL
            || self.attempts < MIN_ATTEMPTS_PER_ADJUSTMENT
        {
            return;
        }
        // The best of the smoothed values: single fast attempts (warm tables) would set a baseline
        // that the average of attempts cannot reach.
        self.best_slowness = if self.best_slowness.is_finite() {
            (self.best_slowness + BEST_SLOWNESS_DECAY * (self.slowness - self.best_slowness))
                .min(self.slowness)
        } else {
            self.slowness
        };
        let elapsed = now.saturating_sub(self.adjusted_at).max(1) as f64;
        if self.adjusted_at > 0 && self.was_full {
            self.utilization +=
                SMOOTHING * (self.work / elapsed / self.cores.max(1e-9) - self.utilization);
        }
        let ratio = MAX_SLOWNESS_RATIO * self.best_slowness / self.slowness.max(1e-9);
        let ratio = if self.utilization < MIN_UTILIZATION_TO_SHRINK {
            ratio.max(MAX_STEP_FACTOR)
        } else {
            ratio
        };
        match self.policy {
            WindowPolicy::Fixed => {}
            WindowPolicy::Gradient => {
                let step = ratio.clamp(MIN_STEP_FACTOR, MAX_STEP_FACTOR);
                if step < 1.0 || self.was_full {
                    self.threads *= step;
                }
            }
            WindowPolicy::Additive if ratio < 1.0 => self.threads *= MULTIPLICATIVE_DECREASE_FACTOR,
            WindowPolicy::Additive if self.was_full => self.threads += ADDITIVE_INCREASE_THREADS,
            WindowPolicy::Additive => {}
        }
        self.clamp_threads();
        (self.attempts, self.work, self.adjusted_at, self.was_full) = (0, 0.0, now, false);
    }
}
