//! What deciding code costs: processor time of this thread, and memory of this process. Both are the machine's: only
//! their ratios between sizes of one run are judged.

use rustix::time::{ClockId, clock_gettime};

/// Seconds of processor time that this thread has had.
pub fn thread_cpu_s() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 * 1e-9
}

/// Microseconds of processor time of a call: the middle one of so many batches of so many calls.
pub fn median_call_us(batches: usize, calls: usize, mut call: impl FnMut()) -> f64 {
    let mut batch = || {
        let began = thread_cpu_s();
        (0..calls).for_each(|_| call());
        (thread_cpu_s() - began) * 1e6 / calls.max(1) as f64
    };
    let mut all: Vec<f64> = (0..batches.max(1)).map(|_| batch()).collect();
    all.sort_by(f64::total_cmp);
    all[all.len() / 2]
}

/// Bytes that the process holds more after it, in whole pages as the system counts them, and what was made. What was
/// freed before and is used again is not counted: sizes rise, and nothing else runs.
pub fn measure_memory<T>(make: impl FnOnce() -> T) -> (f64, T) {
    let before = resident_bytes();
    let made = make();
    ((resident_bytes() - before).max(0.0), made)
}

pub fn resident_bytes() -> f64 {
    let told = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = told
        .split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(0.0);
    pages * rustix::param::page_size() as f64
}
