//! Processor time of the current thread and memory of the current process. Both depend on the
//! machine, so experiments judge only their ratios between sizes within one run.

use rustix::time::{ClockId, clock_gettime};

/// Processor time that the current thread has used, in seconds.
pub fn thread_cpu_s() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 * 1e-9
}

/// Processor time of one call in microseconds: the median over `batches` batches of `calls` calls
/// each.
pub fn median_call_us(batches: usize, calls: usize, mut call: impl FnMut()) -> f64 {
    let mut batch = || {
        let started_s = thread_cpu_s();
        (0..calls).for_each(|_| call());
        (thread_cpu_s() - started_s) * 1e6 / calls.max(1) as f64
    };
    let mut batch_us: Vec<f64> = (0..batches.max(1)).map(|_| batch()).collect();
    batch_us.sort_by(f64::total_cmp);
    batch_us[batch_us.len() / 2]
}

/// Calls `make` and returns the growth of the resident memory in bytes, counted in whole pages,
/// with the made value. Reused memory that was freed before is not counted: callers measure rising
/// sizes while nothing else runs.
pub fn measure_memory<T>(make: impl FnOnce() -> T) -> (f64, T) {
    let before_bytes = resident_bytes();
    let made = make();
    ((resident_bytes() - before_bytes).max(0.0), made)
}

/// Resident memory of the process in bytes, or 0 if it cannot be read.
pub fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0.0);
    pages * rustix::param::page_size() as f64
}
