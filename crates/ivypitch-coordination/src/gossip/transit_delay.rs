//! How long datagrams are in transit, without synchronized clocks: against the fastest datagram of the same sender.

use std::collections::BTreeMap;

use ivypitch_types::{Incarnation, MILLISECOND, MemberId, Nanos, ProcessId, SECOND};

/// A datagram that took so much longer than the fastest is not used.
const MAX_TRANSIT_DELAY: Nanos = SECOND / 2;
/// By which fraction two clocks may run apart at most.
const MAX_CLOCK_DRIFT: f64 = 0.02;

/// The fastest datagram of a sender.
#[derive(Clone, Copy, Debug)]
struct Fastest {
    incarnation: Incarnation,
    /// Arrival by this member's clock less departure by the sender's, in nanoseconds.
    clock_offset: i64,
    arrived_at: Nanos,
}

#[derive(Default)]
pub(super) struct TransitDelays {
    fastest: BTreeMap<MemberId, Fastest>,
    late_datagrams: u64,
}

impl TransitDelays {
    pub(super) fn late_datagrams(&self) -> u64 {
        self.late_datagrams
    }

    /// The datagram's delay beyond the fastest of its sender. `None`: it is too late, or from an earlier process.
    pub(super) fn on_datagram(
        &mut self,
        now: Nanos,
        from: ProcessId,
        sent_at_ms: u64,
    ) -> Option<Nanos> {
        let clock_offset = now as i64 - (sent_at_ms * MILLISECOND) as i64;
        let this = Fastest {
            incarnation: from.incarnation,
            clock_offset,
            arrived_at: now,
        };
        let fastest = self.fastest.entry(from.member).or_insert(this);
        if fastest.incarnation > from.incarnation {
            return None;
        }
        if fastest.incarnation < from.incarnation {
            *fastest = this;
        }
        let since_fastest = now.saturating_sub(fastest.arrived_at);
        let drift = (since_fastest as f64 * MAX_CLOCK_DRIFT) as i64;
        if clock_offset <= fastest.clock_offset + drift {
            fastest.clock_offset = clock_offset;
            fastest.arrived_at = now;
            return Some(0);
        }
        let delay = (clock_offset - fastest.clock_offset) as Nanos;
        if delay > MAX_TRANSIT_DELAY + drift as Nanos {
            self.late_datagrams += 1;
            return None;
        }
        Some(delay)
    }
}
