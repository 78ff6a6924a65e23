//! Time in transit of datagrams, measured without synchronized clocks against the fastest datagram
//! of the same sender.

use std::collections::BTreeMap;

use ivypitch_types::{Incarnation, MILLISECOND, MemberId, Nanos, ProcessId, SECOND};

/// A datagram whose time in transit exceeds that of the fastest by more than this is not used.
const MAX_EXTRA_TRANSIT_DELAY: Nanos = SECOND / 2;
/// Maximum relative difference between the rates of two clocks, as a fraction.
const MAX_CLOCK_DRIFT_FRACTION: f64 = 0.02;

/// The fastest datagram of a sender process.
#[derive(Clone, Copy, Debug)]
struct FastestDatagram {
    incarnation: Incarnation,
    /// Arrival time by this member's clock minus sending time by the sender's clock.
    clock_offset_ns: i64,
    arrived_at: Nanos,
}

/// The fastest datagram of each sender.
#[derive(Default)]
pub(super) struct TransitDelays {
    fastest_by_member: BTreeMap<MemberId, FastestDatagram>,
    late_datagrams: u64,
}

impl TransitDelays {
    pub(super) fn late_datagrams(&self) -> u64 {
        self.late_datagrams
    }

    /// Returns the datagram's delay beyond that of its sender's fastest datagram. `None`: the
    /// datagram is too late, or from an earlier process of the member.
    pub(super) fn on_datagram(
        &mut self,
        now: Nanos,
        from: ProcessId,
        sent_at_ms: u64,
    ) -> Option<Nanos> {
        let clock_offset_ns = now as i64 - (sent_at_ms * MILLISECOND) as i64;
        let current = FastestDatagram {
            incarnation: from.incarnation,
            clock_offset_ns,
            arrived_at: now,
        };
        let fastest = self.fastest_by_member.entry(from.member).or_insert(current);
        if fastest.incarnation > from.incarnation {
            return None;
        }
        if fastest.incarnation < from.incarnation {
            *fastest = current;
        }
        let since_fastest = now.saturating_sub(fastest.arrived_at);
        let drift_ns = (since_fastest as f64 * MAX_CLOCK_DRIFT_FRACTION) as i64;
        if clock_offset_ns <= fastest.clock_offset_ns + drift_ns {
            fastest.clock_offset_ns = clock_offset_ns;
            fastest.arrived_at = now;
            return Some(0);
        }
        let delay = (clock_offset_ns - fastest.clock_offset_ns) as Nanos;
        if delay > MAX_EXTRA_TRANSIT_DELAY + drift_ns as Nanos {
            self.late_datagrams += 1;
            return None;
        }
        Some(delay)
    }
}
