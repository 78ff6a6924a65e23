//! Time in whole nanoseconds of a monotonic clock.

/// A point in time or a duration, in nanoseconds.
///
/// Points in time are relative to an origin that the caller chooses; they must never go backwards.
pub type Nanos = u64;

/// One microsecond in nanoseconds.
pub const MICROSECOND: Nanos = 1_000;

/// One millisecond in nanoseconds.
pub const MILLISECOND: Nanos = 1_000_000;

/// One second in nanoseconds.
pub const SECOND: Nanos = 1_000_000_000;

/// Converts a duration to seconds, for arithmetic with rates per second.
pub fn secs_from_nanos(duration: Nanos) -> f64 {
    duration as f64 / SECOND as f64
}

/// Converts seconds to a duration. Negative values and NaN become zero; too large values saturate.
pub fn nanos_from_secs(seconds: f64) -> Nanos {
    (seconds * SECOND as f64) as Nanos
}
