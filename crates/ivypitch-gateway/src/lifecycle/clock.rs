//! The clock of the process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ivypitch_types::Nanos;

/// Unix time at the start plus the monotonic time since then, so that it never goes back.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_at_start: Duration,
    started_at: Instant,
}

impl Clock {
    /// Creates the clock from the system's clocks.
    pub fn start() -> Self {
        let unix_at_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix_at_start,
            started_at: Instant::now(),
        }
    }

    /// Returns the Unix time in nanoseconds.
    pub fn now(&self) -> Nanos {
        (self.unix_at_start + self.started_at.elapsed()).as_nanos() as Nanos
    }

    /// Converts a time of [`Clock::now`] to an instant; times before the start become the start.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.started_at + Duration::from_nanos(at).saturating_sub(self.unix_at_start)
    }
}
