//! Configuration of failure detection: probe interval, timeouts and gossip.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use ivypitch_types::{MILLISECOND, Nanos};

/// Configuration of failure detection. The other parameters of SWIM are derived from it and from
/// the number of members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Time between two probes of a member; each probe goes to one other member.
    pub probe_interval: Nanos,
    /// Maximum usual round-trip time.
    pub max_round_trip: Nanos,
    /// Time within which a suspected member can refute that it is lost.
    pub suspicion_timeout: Nanos,
    /// Number of members that are asked to probe a member indirectly when it did not answer the
    /// direct probe.
    pub indirect_probes: usize,
}

impl Default for MembershipConfig {
    /// With 300 members a loss is detected within one second: with probability 0.99, some member
    /// probes the lost one within 4.6 intervals (in each interval with probability 1 - 1/e). It is
    /// suspected one interval later, the suspicion times out, and a few datagrams spread the loss
    /// to all members.
    fn default() -> MembershipConfig {
        MembershipConfig {
            probe_interval: 100 * MILLISECOND,
            max_round_trip: 30 * MILLISECOND,
            suspicion_timeout: 280 * MILLISECOND,
            indirect_probes: 8,
        }
    }
}

/// Maximum size of a datagram, below the usual path MTU, so that no datagram is fragmented.
const MAX_DATAGRAM_BYTES: usize = 1200;
/// Numerator of the gossip interval as a fraction of the probe interval.
const GOSSIP_INTERVAL_NUMERATOR: u32 = 3;
/// Denominator of the gossip interval as a fraction of the probe interval.
const GOSSIP_INTERVAL_DENOMINATOR: u32 = 10;
/// Number of members to which updates are sent in each gossip interval, in addition to those on
/// probes.
const GOSSIP_FANOUT: usize = 4;
/// Time for which a lost member is remembered, so that it can be notified of its loss and rejoin.
const LOST_MEMBER_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Time between two announcements to lost members.
const LOST_MEMBER_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(400);
/// Number of lost members that each announcement is sent to.
const LOST_MEMBERS_PER_ANNOUNCEMENT: usize = 2;
/// Time between two announcements to a reachable member.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(5);

impl MembershipConfig {
    /// The configuration of the SWIM library in a fleet of `member_count` members.
    pub(crate) fn swim_config(&self, member_count: usize) -> foca::Config {
        // Three times the binary logarithm of the number of members reaches all but one member in
        // some thousands.
        let transmissions = 3.0 * (member_count.max(2) as f64).log2() + 4.0;
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
            periodic_announce: periodic(ANNOUNCEMENT_INTERVAL, 1),
            periodic_announce_to_down_members: periodic(
                LOST_MEMBER_ANNOUNCEMENT_INTERVAL,
                LOST_MEMBERS_PER_ANNOUNCEMENT,
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

fn periodic(frequency: Duration, member_count: usize) -> Option<foca::PeriodicParams> {
    Some(foca::PeriodicParams {
        frequency,
        num_members: non_zero(member_count),
    })
}
