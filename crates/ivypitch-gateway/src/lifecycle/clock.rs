//! Unix time at the start plus the monotonic time since: it never goes back.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ivypitch_types::Nanos;

#[derive(Clone, Copy)]
pub struct Clock {
    unix: Duration,
    started: Instant,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix,
            started: Instant::now(),
        }
    }

    pub fn now(&self) -> Nanos {
        (self.unix + self.started.elapsed()).as_nanos() as Nanos
    }

    pub fn instant(&self, at: Nanos) -> Instant {
        self.started + Duration::from_nanos(at).saturating_sub(self.unix)
    }
}
