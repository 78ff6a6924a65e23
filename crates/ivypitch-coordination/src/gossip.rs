//! Gossip of health observations, in bounded bandwidth.
//!
//! A new observation goes out at once to a few random members, and from each of them again, often enough that all but a
//! few members receive it (rumor mongering). Digests of the known versions, exchanged with random members, repair what
//! was missed (anti-entropy). Both after Demers et al., "Epidemic Algorithms for Replicated Database Maintenance".
//!
//! An observation travels with its age. The receiver adds the time in transit, measured against the sender's fastest
//! datagram: one that was delayed for long is not taken for new.

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
use known_versions::{BUCKETS, KnownVersions};
use transit_delay::TransitDelays;

/// Members that each round of updates goes to.
const FANOUT: usize = 3;
/// A new observation waits so long for others to go with it.
const UPDATE_DELAY: Nanos = 20 * MILLISECOND;
/// Rounds of updates start no closer together.
const ROUND_INTERVAL: Nanos = 50 * MILLISECOND;
/// Mean time between digests.
const ANTI_ENTROPY_INTERVAL: Nanos = SECOND;
/// Size of a datagram's content.
const MAX_DATAGRAM_BYTES: usize = 1100;
/// An update on the wire, on average.
const UPDATE_BYTES: usize = 24;
const MAX_UPDATES_PER_DATAGRAM: usize = MAX_DATAGRAM_BYTES / UPDATE_BYTES;
/// A known version on the wire, on average.
const KNOWN_VERSION_BYTES: usize = 14;
const MAX_KNOWN_VERSIONS_PER_DATAGRAM: usize = MAX_DATAGRAM_BYTES / KNOWN_VERSION_BYTES;
/// What else is in an update datagram, on average.
const UPDATE_HEADER_BYTES: usize = 24;
const LEASABLE_UNITS_BYTES: usize = 3;
const DIGEST_BYTES: usize = 4 * BUCKETS;
/// Updates that wait to be sent again; beyond it the oldest are dropped.
const MAX_PENDING_UPDATES: usize = 4096;

/// What goes out with every datagram of updates.
pub(crate) struct Announcement {
    /// The number of the last endpoint event.
    pub(crate) last_event: u64,
    /// Units that could be leased out, by quota.
    pub(crate) leasable_units: Vec<u32>,
}

/// A datagram for another member.
pub(crate) struct OutgoingGossip {
    pub(crate) to: MemberId,
    pub(crate) message: GossipMessage,
}

/// An update that still goes out.
struct PendingUpdate {
    update: ObservationUpdate,
    /// When the observation was made, by this member's clock.
    observed_at: Nanos,
    transmissions_left: u32,
}

/// A token bucket of one second's bytes.
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

/// One member's part in the gossip.
pub(crate) struct Gossiper {
    me: ProcessId,
    started_at: Nanos,
    members: usize,
    /// The newest last. Removed once sent often enough, and from the front beyond the limit.
    pending: VecDeque<PendingUpdate>,
    versions: KnownVersions,
    transit_delays: TransitDelays,
    next_round: Nanos,
    last_round: Nanos,
    next_anti_entropy: Nanos,
    budget: ByteBudget,
}

impl Gossiper {
    pub(crate) fn new(
        me: ProcessId,
        members: usize,
        bytes_per_second: f64,
        now: Nanos,
    ) -> Gossiper {
        Gossiper {
            me,
            started_at: now,
            members,
            pending: VecDeque::new(),
            versions: KnownVersions::default(),
            transit_delays: TransitDelays::default(),
            next_round: Nanos::MAX,
            last_round: 0,
            next_anti_entropy: now + ANTI_ENTROPY_INTERVAL,
            budget: ByteBudget {
                available: bytes_per_second,
                bytes_per_second,
                refilled_at: now,
            },
        }
    }

    /// Datagrams that arrived too late to be used.
    pub(crate) fn late_datagrams(&self) -> u64 {
        self.transit_delays.late_datagrams()
    }

    /// The version known of the latest process of a member.
    pub(crate) fn known_version(&self, member: MemberId) -> Option<KnownVersion> {
        self.versions.get(member)
    }

    /// A new observation, of this member or another: it goes on.
    pub(crate) fn on_new_observation(
        &mut self,
        now: Nanos,
        update: ObservationUpdate,
        observed_at: Nanos,
    ) {
        self.versions.record(update.observer, update.version);
        // An older observation of the same engine by the same member need not travel any more.
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
        let soon = (now + UPDATE_DELAY).max(self.last_round + ROUND_INTERVAL);
        self.next_round = self.next_round.min(soon);
    }

    /// The announcement has changed: the next round starts soon.
    pub(crate) fn expedite(&mut self, now: Nanos) {
        self.next_round = self.next_round.min(now + UPDATE_DELAY);
    }

    /// How much longer a datagram was in transit than the fastest of its sender. `None`: it is to be ignored.
    pub(crate) fn transit_delay(
        &mut self,
        now: Nanos,
        from: ProcessId,
        sent_at_ms: u64,
    ) -> Option<Nanos> {
        self.transit_delays.on_datagram(now, from, sent_at_ms)
    }

    /// A member has filled gaps here.
    pub(crate) fn on_repaired(&mut self, complete_up_to: &[KnownVersion]) {
        self.versions.on_repaired(complete_up_to);
    }

    /// The reply to a digest: what is known here of the buckets that differ.
    pub(crate) fn on_digest(&self, now: Nanos, buckets: &[u32]) -> Option<GossipMessage> {
        let mut known = self.versions.differing(buckets)?;
        known.truncate(MAX_KNOWN_VERSIONS_PER_DATAGRAM);
        Some(self.versions_message(now, known))
    }

    /// The replies to another member's versions: what it lacks, and, if it knows more of some, what is known here.
    pub(crate) fn on_versions(
        &self,
        now: Nanos,
        theirs: &[KnownVersion],
        table: &ObservationTable,
    ) -> Vec<GossipMessage> {
        let mut replies = Vec::new();
        let behind = self.versions.newer_than(theirs);
        if !behind.is_empty() {
            let repair = repair::repair(now, &behind, table, &self.versions);
            replies.push(GossipMessage::Update {
                sent_at_ms: self.clock_ms(now),
                from: self.me,
                last_event: 0,
                leasable_units: Vec::new(),
                updates: repair.updates,
                complete_up_to: repair.complete_up_to,
            });
        }
        if self.versions.is_behind(theirs) {
            replies.push(self.versions_message(now, self.versions.of_same_observers(theirs)));
        }
        replies
    }

    /// When [`Gossiper::on_timer`] is due.
    pub(crate) fn next_timer(&self) -> Nanos {
        self.next_round.min(self.next_anti_entropy)
    }

    /// What goes out now. `reachable`: the other members that are up, in order.
    pub(crate) fn on_timer(
        &mut self,
        now: Nanos,
        reachable: &[MemberId],
        announcement: &Announcement,
        rng: &mut ChaCha8Rng,
    ) -> Vec<OutgoingGossip> {
        self.budget.refill(now);
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
        for to in random_members(reachable, FANOUT, rng) {
            let updates = self.next_updates(now);
            let size = UPDATE_HEADER_BYTES
                + announcement.leasable_units.len() * LEASABLE_UNITS_BYTES
                + updates.len() * UPDATE_BYTES;
            if !self.budget.try_take(size) {
                break;
            }
            let message = self.update_message(now, announcement, updates);
            outgoing.push(OutgoingGossip { to, message });
        }
        self.pending
            .retain(|pending| pending.transmissions_left > 0);
        if !self.pending.is_empty() {
            self.next_round = now + ROUND_INTERVAL;
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
        let jitter = rng.random_range(0..ANTI_ENTROPY_INTERVAL);
        self.next_anti_entropy = now + ANTI_ENTROPY_INTERVAL / 2 + jitter;
        let Some(to) = random_members(reachable, 1, rng).pop() else {
            return;
        };
        if !self.budget.try_take(DIGEST_BYTES) {
            return;
        }
        let digest = GossipMessage::Digest {
            sent_at_ms: self.clock_ms(now),
            from: self.me,
            buckets: self.versions.digest(),
        };
        outgoing.push(OutgoingGossip {
            to,
            message: digest,
        });
        // The announcement goes out in quiet times too.
        let message = self.update_message(now, announcement, Vec::new());
        outgoing.push(OutgoingGossip { to, message });
    }

    /// The updates that were sent least, each counted as sent.
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

    /// How often each member that receives an update sends it: enough for all but one in some thousands to receive it
    /// with one datagram in twenty lost.
    fn transmissions(&self) -> u32 {
        let doublings = (self.members.max(2) as f64).log2();
        (0.75 * doublings).ceil() as u32 + 1
    }

    fn update_message(
        &self,
        now: Nanos,
        announcement: &Announcement,
        updates: Vec<ObservationUpdate>,
    ) -> GossipMessage {
        GossipMessage::Update {
            sent_at_ms: self.clock_ms(now),
            from: self.me,
            last_event: announcement.last_event,
            leasable_units: announcement.leasable_units.clone(),
            updates,
            complete_up_to: Vec::new(),
        }
    }

    fn versions_message(&self, now: Nanos, known: Vec<KnownVersion>) -> GossipMessage {
        GossipMessage::Versions {
            sent_at_ms: self.clock_ms(now),
            from: self.me,
            known,
        }
    }

    fn clock_ms(&self, now: Nanos) -> u64 {
        now.saturating_sub(self.started_at) / MILLISECOND
    }
}

/// The age of an observation as it goes on the wire.
fn age_ms(now: Nanos, observed_at: Nanos) -> u32 {
    (now.saturating_sub(observed_at) / MILLISECOND).min(u64::from(u32::MAX)) as u32
}

/// So many different members, drawn at random.
fn random_members(reachable: &[MemberId], count: usize, rng: &mut ChaCha8Rng) -> Vec<MemberId> {
    let mut chosen = Vec::with_capacity(count);
    while chosen.len() < count.min(reachable.len()) {
        let member = reachable[rng.random_range(0..reachable.len())];
        if !chosen.contains(&member) {
            chosen.push(member);
        }
    }
    chosen
}
