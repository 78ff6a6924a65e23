//! How often members ask after each other, and how long they wait. All follows from two spans that the own file may
//! state, and from the number of members.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use ivypitch_types::{MILLISECOND, Nanos};

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Each member asks one other in each of these.
    pub period: Nanos,
    /// Longest usual way there and back.
    pub round_trip: Nanos,
    /// A suspected member has so long to say that it lives.
    pub suspicion: Nanos,
    /// Members asked to ask in turn, where the first question brought no answer.
    pub indirect: usize,
}

impl Default for Terms {
    /// Loss within a second at 300 members: a member is asked by somebody within 4.6 periods with 0.99 (each period
    /// with 1 - 1/e), then a period until it is suspected, then the suspicion, and few datagrams until all know.
    fn default() -> Terms {
        Terms {
            period: 100 * MILLISECOND,
            round_trip: 30 * MILLISECOND,
            suspicion: 280 * MILLISECOND,
            indirect: 8,
        }
    }
}

/// A datagram never needs to be cut up.
const LARGEST_DATAGRAM: usize = 1200;
/// So often, to so many members, news go out beside the questions.
const GOSSIP_PERIODS: (u32, u32, usize) = (3, 10, 4);
/// A lost member is told so, and may come back, for so long.
const REMEMBERED: Duration = Duration::from_secs(24 * 3600);
const LOST_ASKED: Duration = Duration::from_millis(400);
const ALL_ASKED: Duration = Duration::from_secs(5);

impl Terms {
    pub(crate) fn of_library(&self, members: usize) -> foca::Config {
        let span = |nanos: Nanos| Duration::from_nanos(nanos.max(1));
        let count = |n: usize| NonZeroUsize::new(n.max(1)).unwrap_or(NonZeroUsize::MIN);
        // Each piece of news goes out so often: three times the logarithm reaches all but one in some thousands.
        let times = 3.0 * (members.max(2) as f64).log2() + 4.0;
        let (part, of, to) = GOSSIP_PERIODS;
        let every = |frequency, num_members| {
            Some(foca::PeriodicParams {
                frequency,
                num_members,
            })
        };
        foca::Config {
            probe_period: span(self.period),
            probe_rtt: span(self.round_trip.min(self.period * 2 / 5)),
            num_indirect_probes: count(self.indirect),
            max_transmissions: NonZeroU8::new(times as u8).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: span(self.suspicion),
            remove_down_after: Some(REMEMBERED),
            max_packet_size: count(LARGEST_DATAGRAM),
            notify_down_members: true,
            periodic_announce: every(ALL_ASKED, count(1)),
            periodic_announce_to_down_members: every(LOST_ASKED, count(2)),
            periodic_gossip: every(span(self.period) * part / of, count(to)),
        }
    }
}
