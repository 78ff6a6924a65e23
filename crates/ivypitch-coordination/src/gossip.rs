//! Gossip of health observations with bounded bandwidth.
//!
//! A new observation is sent at once to a few random members, each of which forwards it, often
//! enough that all but a few members receive it (rumor mongering). Digests of the known versions,
//! exchanged with random members, repair missed observations (anti-entropy). Both follow Demers et
//! al., "Epidemic Algorithms for Replicated Database Maintenance".
//!
//! An observation carries its age. The receiver adds the time in transit, measured against the
//! sender's fastest datagram, so that an observation with a long delay does not count as new.

mod known_versions;
mod repair;
mod transit_delay;

use std::cmp::Reverse;
use std::collections::VecDeque;

use ivypitch_types::{MILLISECOND, MemberId, Nanos, ProcessId, SECOND};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::message::{GossipMessage, KnownVersion, ObservationUpdate};
use crate::observations::ObservationTable;
use known_versions::{BUCKET_COUNT, KnownVersions};
use transit_delay::TransitDelays;

/// Number of members that each round of updates is sent to.
const FANOUT: usize = 3;
/// Delay of a new observation, so that others can be sent in the same datagram.
const UPDATE_BATCHING_DELAY: Nanos = 20 * MILLISECOND;
/// Minimum time between the starts of two rounds of updates.
const MIN_ROUND_INTERVAL: Nanos = 50 * MILLISECOND;
/// Mean time between two digests.
const MEAN_ANTI_ENTROPY_INTERVAL: Nanos = SECOND;
/// Maximum size of a datagram's content.
const MAX_DATAGRAM_CONTENT_BYTES: usize = 1100;
/// Mean encoded size of an update.
const MEAN_UPDATE_BYTES: usize = 24;
/// Maximum number of updates in one datagram.
const MAX_UPDATES_PER_DATAGRAM: usize = MAX_DATAGRAM_CONTENT_BYTES / MEAN_UPDATE_BYTES;
/// Mean encoded size of a known version.
const MEAN_KNOWN_VERSION_BYTES: usize = 14;
/// Maximum number of known versions in one datagram.
const MAX_KNOWN_VERSIONS_PER_DATAGRAM: usize =
    MAX_DATAGRAM_CONTENT_BYTES / MEAN_KNOWN_VERSION_BYTES;
/// Mean encoded size of the other fields of an update datagram.
const MEAN_UPDATE_HEADER_BYTES: usize = 24;
/// Mean encoded size of the leasable units of one quota.
const MEAN_LEASABLE_UNITS_BYTES: usize = 3;
/// Size of a digest's hashes, of 4 bytes each.
const DIGEST_BYTES: usize = 4 * BUCKET_COUNT;
/// Maximum number of updates that wait to be sent; beyond it the oldest are dropped.
const MAX_PENDING_UPDATES: usize = 4096;

/// Content of every update datagram besides the updates.
pub(crate) struct Announcement {
    /// Number of the last endpoint event.
    pub(crate) last_event: u64,
    /// Units that this member can lease out, by quota.
    pub(crate) leasable_units: Vec<u32>,
}

/// A datagram for another member.
pub(crate) struct OutgoingGossip {
    pub(crate) to: MemberId,
    pub(crate) message: GossipMessage,
}

/// An update that has transmissions left.
struct PendingUpdate {
    update: ObservationUpdate,
    /// Time of the observation, by this member's clock.
    observed_at: Nanos,
    transmissions_left: u32,
}

/// A token bucket that holds the bytes of one second.
struct ByteBudget {
    available: f64,
    bytes_per_second: f64,
    refilled_at: Nanos,
}

impl ByteBudget {
    fn refill(&mut self, now: Nanos) {
        let seconds = now.saturating_sub(self.refilled_at) as f64 / SECOND as f64;
        self.available =
            (self.available + seconds * self.bytes_per_second).min(self.bytes_per_second);
        self.refilled_at = now;
    }

    fn try_take(&mut self, bytes: usize) -> bool {
        let is_enough = self.available >= bytes as f64;
        if is_enough {
            self.available -= bytes as f64;
        }
        is_enough
    }
}

/// The gossip of one member.
pub(crate) struct Gossiper {
    own_process: ProcessId,
    started_at: Nanos,
    member_count: usize,
    /// In order of arrival. An update is removed when it has no transmissions left; the oldest are
    /// dropped beyond the limit.
    pending: VecDeque<PendingUpdate>,
    known_versions: KnownVersions,
    transit_delays: TransitDelays,
    next_round: Nanos,
    last_round: Nanos,
    next_anti_entropy: Nanos,
    byte_budget: ByteBudget,
}

impl Gossiper {
    pub(crate) fn new(
        own_process: ProcessId,
        member_count: usize,
        bytes_per_second: f64,
        now: Nanos,
    ) -> Gossiper {
        Gossiper {
            own_process,
            started_at: now,
            member_count,
            pending: VecDeque::new(),
            known_versions: KnownVersions::default(),
            transit_delays: TransitDelays::default(),
            next_round: Nanos::MAX,
            last_round: 0,
            next_anti_entropy: now + MEAN_ANTI_ENTROPY_INTERVAL,
            byte_budget: ByteBudget {
                available: bytes_per_second,
                bytes_per_second,
                refilled_at: now,
            },
        }
    }

    /// Number of datagrams that arrived too late to be used.
    pub(crate) fn late_datagrams(&self) -> u64 {
        self.transit_delays.late_datagrams()
    }

    /// Known version of the latest process of a member.
    pub(crate) fn known_version(&self, member: MemberId) -> Option<KnownVersion> {
        self.known_versions.get(member)
    }

    /// Queues a new observation, of this member or another, for sending.
    pub(crate) fn on_new_observation(
        &mut self,
        now: Nanos,
        update: ObservationUpdate,
        observed_at: Nanos,
    ) {
        self.known_versions.record(update.observer, update.version);
        // The new observation supersedes an older one of the same engine by the same member.
        self.pending.retain(|pending| {
            (pending.update.observer, pending.update.engine) != (update.observer, update.engine)
        });
        self.pending.push_back(PendingUpdate {
            update,
            observed_at,
            transmissions_left: self.transmissions(),
        });
        if self.pending.len() > MAX_PENDING_UPDATES {
            self.pending.pop_front();
        }
        let earliest_round =
            (now + UPDATE_BATCHING_DELAY).max(self.last_round + MIN_ROUND_INTERVAL);
        self.next_round = self.next_round.min(earliest_round);
    }

    /// Starts the next round soon, because the announcement has changed.
    pub(crate) fn on_announcement_changed(&mut self, now: Nanos) {
        self.next_round = self.next_round.min(now + UPDATE_BATCHING_DELAY);
    }

    /// The datagram's time in transit beyond that of its sender's fastest datagram. `None`: the
    /// datagram must be ignored.
    pub(crate) fn transit_delay(
        &mut self,
        now: Nanos,
        from: ProcessId,
        sent_at_ms: u64,
    ) -> Option<Nanos> {
        self.transit_delays.on_datagram(now, from, sent_at_ms)
    }

    /// Handles the versions up to which a repair by another member is complete.
    pub(crate) fn on_repaired(&mut self, complete_up_to: &[KnownVersion]) {
        self.known_versions.on_repaired(complete_up_to);
    }

    /// Returns the reply to a digest: this member's known versions in the buckets that differ.
    pub(crate) fn on_digest(&self, now: Nanos, buckets: &[u32]) -> Option<GossipMessage> {
        let mut known = self.known_versions.versions_in_differing_buckets(buckets)?;
        known.truncate(MAX_KNOWN_VERSIONS_PER_DATAGRAM);
        Some(self.versions_message(now, known))
    }

    /// Returns the replies to another member's versions: the observations that it lacks and, if it
    /// has newer versions, this member's known versions.
    pub(crate) fn on_versions(
        &self,
        now: Nanos,
        peer_versions: &[KnownVersion],
        table: &ObservationTable,
    ) -> Vec<GossipMessage> {
        let mut replies = Vec::new();
        let behind = self.known_versions.peer_versions_behind(peer_versions);
        if !behind.is_empty() {
            let repair = repair::build_repair(now, &behind, table, &self.known_versions);
            replies.push(GossipMessage::Update {
                sent_at_ms: self.clock_ms(now),
                from: self.own_process,
                last_event: 0,
                leasable_units: Vec::new(),
                updates: repair.updates,
                complete_up_to: repair.complete_up_to,
            });
        }
        if self.known_versions.is_behind(peer_versions) {
            replies.push(
                self.versions_message(
                    now,
                    self.known_versions
                        .own_versions_of_same_observers(peer_versions),
                ),
            );
        }
        replies
    }

    /// The time at which [`Gossiper::on_timer`] must be called next.
    pub(crate) fn next_timer(&self) -> Nanos {
        self.next_round.min(self.next_anti_entropy)
    }

    /// Returns the datagrams to send now. `reachable`: the other reachable members, in ascending
    /// order.
    pub(crate) fn on_timer(
        &mut self,
        now: Nanos,
        reachable: &[MemberId],
        announcement: &Announcement,
        rng: &mut ChaCha8Rng,
    ) -> Vec<OutgoingGossip> {
        self.byte_budget.refill(now);
        let mut outgoing = Vec::new();
        if now >= self.next_round {
            self.start_round(now, reachable, announcement, rng, &mut outgoing);
        }
        if now >= self.next_anti_entropy {
            self.start_anti_entropy(now, reachable, announcement, rng, &mut outgoing);
        }
        outgoing
    }

    fn start_round(
        &mut self,
        now: Nanos,
        reachable: &[MemberId],
        announcement: &Announcement,
        rng: &mut ChaCha8Rng,
        outgoing: &mut Vec<OutgoingGossip>,
    ) {
        self.next_round = Nanos::MAX;
        self.last_round = now;
        for to in choose_random_members(reachable, FANOUT, rng) {
            let updates = self.next_updates(now);
            let size = MEAN_UPDATE_HEADER_BYTES
                + announcement.leasable_units.len() * MEAN_LEASABLE_UNITS_BYTES
                + updates.len() * MEAN_UPDATE_BYTES;
            if !self.byte_budget.try_take(size) {
                break;
            }
            let message = self.update_message(now, announcement, updates);
            outgoing.push(OutgoingGossip { to, message });
        }
        self.pending
            .retain(|pending| pending.transmissions_left > 0);
        if !self.pending.is_empty() {
            self.next_round = now + MIN_ROUND_INTERVAL;
        }
    }

    fn start_anti_entropy(
        &mut self,
        now: Nanos,
        reachable: &[MemberId],
        announcement: &Announcement,
        rng: &mut ChaCha8Rng,
        outgoing: &mut Vec<OutgoingGossip>,
    ) {
        let jitter = rng.random_range(0..MEAN_ANTI_ENTROPY_INTERVAL);
        self.next_anti_entropy = now + MEAN_ANTI_ENTROPY_INTERVAL / 2 + jitter;
        let Some(to) = choose_random_members(reachable, 1, rng).pop() else {
            return;
        };
        if !self.byte_budget.try_take(DIGEST_BYTES) {
            return;
        }
        let digest = GossipMessage::Digest {
            sent_at_ms: self.clock_ms(now),
            from: self.own_process,
            buckets: self.known_versions.digest(),
        };
        outgoing.push(OutgoingGossip {
            to,
            message: digest,
        });
        // The announcement is also sent when there are no updates.
        let message = self.update_message(now, announcement, Vec::new());
        outgoing.push(OutgoingGossip { to, message });
    }

    /// Returns the updates with the most transmissions left, and counts one transmission of each.
    fn next_updates(&mut self, now: Nanos) -> Vec<ObservationUpdate> {
        let mut least_sent_first: Vec<usize> = (0..self.pending.len()).collect();
        least_sent_first.sort_by_key(|&i| Reverse(self.pending[i].transmissions_left));
        least_sent_first.truncate(MAX_UPDATES_PER_DATAGRAM);
        let mut updates = Vec::with_capacity(least_sent_first.len());
        for i in least_sent_first {
            let pending = &mut self.pending[i];
            if pending.transmissions_left == 0 {
                continue;
            }
            pending.transmissions_left -= 1;
            updates.push(ObservationUpdate {
                age_ms: age_ms(now, pending.observed_at),
                ..pending.update
            });
        }
        updates
    }

    /// Number of times that each member sends an update: enough that only about one in several
    /// thousand members misses it when one datagram in twenty is lost.
    fn transmissions(&self) -> u32 {
        let log2_member_count = (self.member_count.max(2) as f64).log2();
        (0.75 * log2_member_count).ceil() as u32 + 1
    }

    fn update_message(
        &self,
        now: Nanos,
        announcement: &Announcement,
        updates: Vec<ObservationUpdate>,
    ) -> GossipMessage {
        GossipMessage::Update {
            sent_at_ms: self.clock_ms(now),
            from: self.own_process,
            last_event: announcement.last_event,
            leasable_units: announcement.leasable_units.clone(),
            updates,
            complete_up_to: Vec::new(),
        }
    }

    fn versions_message(&self, now: Nanos, known: Vec<KnownVersion>) -> GossipMessage {
        GossipMessage::Versions {
            sent_at_ms: self.clock_ms(now),
            from: self.own_process,
            known,
        }
    }

    fn clock_ms(&self, now: Nanos) -> u64 {
        now.saturating_sub(self.started_at) / MILLISECOND
    }
}

/// Age of an observation in milliseconds, as it is encoded.
fn age_ms(now: Nanos, observed_at: Nanos) -> u32 {
    (now.saturating_sub(observed_at) / MILLISECOND).min(u64::from(u32::MAX)) as u32
}

/// Chooses up to `count` different members at random.
fn choose_random_members(
    reachable: &[MemberId],
    count: usize,
    rng: &mut ChaCha8Rng,
) -> Vec<MemberId> {
    let mut chosen = Vec::with_capacity(count);
    while chosen.len() < count.min(reachable.len()) {
        let member = reachable[rng.random_range(0..reachable.len())];
        if !chosen.contains(&member) {
            chosen.push(member);
        }
    }
    chosen
}
