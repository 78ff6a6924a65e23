//! How often members probe each other, and how long they wait for an answer.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use ivypitch_types::{MILLISECOND, Nanos};

/// Failure detection. What is not here follows from these and from the number of members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Each member probes one other in each of these.
    pub probe_interval: Nanos,
    /// The longest usual round trip.
    pub max_round_trip: Nanos,
    /// How long a suspected member has to refute that it is lost.
    pub suspicion_timeout: Nanos,
    /// Members that are asked to probe as well where a direct probe was not answered.
    pub indirect_probes: usize,
}

impl Default for MembershipConfig {
    /// A loss is known within a second at 300 members: a member is probed by somebody within 4.6 intervals with
    /// probability 0.99 (in each with 1 - 1/e), is suspected after one more, then the suspicion times out, and a few
    /// datagrams later all know.
    fn default() -> MembershipConfig {
        MembershipConfig {
            probe_interval: 100 * MILLISECOND,
            max_round_trip: 30 * MILLISECOND,
            suspicion_timeout: 280 * MILLISECOND,
            indirect_probes: 8,
        }
    }
}

/// Stays below the usual path MTU, so that no datagram is fragmented.
const MAX_DATAGRAM_BYTES: usize = 1200;
/// Updates go out beside the probes in this fraction of the probe interval ...
const GOSSIP_INTERVAL_NUMERATOR: u32 = 3;
const GOSSIP_INTERVAL_DENOMINATOR: u32 = 10;
/// ... to so many members.
const GOSSIP_FANOUT: usize = 4;
/// A lost member is remembered for so long: it is told that it was declared lost, and may come back.
const LOST_MEMBER_RETENTION: Duration = Duration::from_secs(24 * 3600);
const LOST_MEMBER_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);
const LOST_MEMBERS_PER_ANNOUNCE: usize = 2;
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);

impl MembershipConfig {
    /// The configuration of the SWIM library in a fleet of so many members.
    pub(crate) fn for_swim(&self, members: usize) -> foca::Config {
        // Three times the logarithm reaches all but one in some thousands.
        let transmissions = 3.0 * (members.max(2) as f64).log2() + 4.0;
        let probe_interval = duration(self.probe_interval);
        let gossip_interval =
            probe_interval * GOSSIP_INTERVAL_NUMERATOR / GOSSIP_INTERVAL_DENOMINATOR;
        let max_round_trip = self.max_round_trip.min(self.probe_interval * 2 / 5);
        foca::Config {
            probe_period: probe_interval,
            probe_rtt: duration(max_round_trip),
            num_indirect_probes: non_zero(self.indirect_probes),
            max_transmissions: NonZeroU8::new(transmissions as u8).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: duration(self.suspicion_timeout),
            remove_down_after: Some(LOST_MEMBER_RETENTION),
            max_packet_size: non_zero(MAX_DATAGRAM_BYTES),
            notify_down_members: true,
            periodic_announce: periodic(ANNOUNCE_INTERVAL, 1),
            periodic_announce_to_down_members: periodic(
                LOST_MEMBER_ANNOUNCE_INTERVAL,
                LOST_MEMBERS_PER_ANNOUNCE,
            ),
            periodic_gossip: periodic(gossip_interval, GOSSIP_FANOUT),
        }
    }
}

fn duration(nanos: Nanos) -> Duration {
    Duration::from_nanos(nanos.max(1))
}

fn non_zero(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count.max(1)).unwrap_or(NonZeroUsize::MIN)
}

fn periodic(frequency: Duration, members: usize) -> Option<foca::PeriodicParams> {
    Some(foca::PeriodicParams {
        frequency,
        num_members: non_zero(members),
    })
}
