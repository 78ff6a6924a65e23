//! Failure detection of one gateway, and the events that it reports.

use std::collections::VecDeque;

use foca::{Codec, Foca, PostcardCodec};
use ivypitch_types::{Incarnation, MemberId, Nanos, ProcessId, SECOND};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::partition_suspicion::PartitionDetector;
use crate::status::{LivenessChange, Transition};
use crate::swim_runtime::{SwimNotification, SwimRuntime};
use crate::{
    Connectivity, IncompatibleReports, MemberIdentity, MemberList, MemberStatus, MembershipConfig,
    OutgoingDatagram, PartitionSuspicion,
};

/// Maximum number of members that a join request is sent to at a time while no other member is
/// reachable; otherwise 1.
const MAX_JOIN_REQUESTS_WHEN_ISOLATED: usize = 5;
/// Time between two rounds of join requests.
const JOIN_INTERVAL: Nanos = SECOND / 4;
/// Multiplier that spreads the seeds of the members over the range of the seed.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A change that a [`Membership`] reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A process has become reachable.
    MemberUp(ProcessId),
    /// A process is lost, or another process of its member has replaced it.
    MemberDown(ProcessId),
    /// The suspicion that this gateway is partitioned has changed.
    PartitionSuspicionChanged(PartitionSuspicion),
    /// A process has another protocol version or member list, and is ignored. Reported as
    /// [`IncompatibleReports`] allows.
    IncompatibleMember {
        /// Member id that the process uses.
        member: MemberId,
        /// Protocol version of the process.
        protocol_version: u16,
        /// Fingerprint of its member list.
        list_fingerprint: u32,
    },
}

/// Parameters of a new [`Membership`].
pub struct MembershipParams {
    /// The gateways of the fleet.
    pub member_list: MemberList,
    /// The process that the membership runs in.
    pub process: ProcessId,
    /// Version of all messages between gateways.
    pub protocol_version: u16,
    /// Configuration of failure detection.
    pub config: MembershipConfig,
    /// Seed of random choices.
    pub seed: u64,
    /// Current time.
    pub now: Nanos,
}

/// Failure detection of one gateway.
pub struct Membership {
    swim: Foca<MemberIdentity, PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    runtime: SwimRuntime,
    member_list: MemberList,
    own_identity: MemberIdentity,
    /// Status of each member.
    statuses: Vec<MemberStatus>,
    incompatible_reports: IncompatibleReports,
    partition_detector: PartitionDetector,
    partition_suspicion: PartitionSuspicion,
    changed_at: Nanos,
    events: VecDeque<MembershipEvent>,
    next_join: Nanos,
    /// Distance in the member list from this gateway to the last member that a join request was
    /// sent to.
    join_offset: usize,
    has_left: bool,
}

impl Membership {
    /// Creates a membership that reaches no other member yet.
    pub fn new(params: MembershipParams) -> Membership {
        let MembershipParams {
            member_list,
            process,
            protocol_version,
            config,
            seed,
            now,
        } = params;
        let own_identity = MemberIdentity {
            member: process.member,
            incarnation: process.incarnation,
            renewals: 0,
            protocol_version,
            list_fingerprint: member_list.fingerprint(),
        };
        let member_seed = u64::from(process.member.0).wrapping_mul(SEED_MULTIPLIER);
        let rng = ChaCha8Rng::seed_from_u64(seed ^ member_seed);
        let swim_config = config.swim_config(member_list.len());
        Membership {
            swim: Foca::new(own_identity, swim_config, rng, PostcardCodec),
            runtime: SwimRuntime::new(now),
            own_identity,
            statuses: vec![MemberStatus::default(); member_list.len()],
            incompatible_reports: IncompatibleReports::new(member_list.len()),
            member_list,
            partition_detector: PartitionDetector::new(now, config.probe_interval),
            partition_suspicion: PartitionSuspicion::None,
            changed_at: now,
            events: VecDeque::new(),
            next_join: now,
            join_offset: 0,
            has_left: false,
        }
    }

    /// Identity of this process.
    pub fn identity(&self) -> MemberIdentity {
        self.own_identity
    }

    /// The gateways of the fleet.
    pub fn member_list(&self) -> &MemberList {
        &self.member_list
    }

    /// Status of a member.
    pub fn status(&self, member: MemberId) -> MemberStatus {
        self.statuses
            .get(member.as_usize())
            .copied()
            .unwrap_or_default()
    }

    /// Whether a member counts as reachable. This member always does.
    pub fn is_reachable(&self, member: MemberId) -> bool {
        member == self.own_identity.member || self.status(member).state.is_reachable()
    }

    /// The part of the fleet that is reachable.
    pub fn connectivity(&self) -> Connectivity {
        let zone_count = self.member_list.zones.len().max(1);
        let mut reachable_by_zone = vec![0; zone_count];
        let mut members_by_zone = vec![0; zone_count];
        for (i, member) in self.member_list.members.iter().enumerate() {
            let zone = usize::from(member.zone).min(zone_count - 1);
            members_by_zone[zone] += 1;
            reachable_by_zone[zone] += u16::from(self.is_reachable(MemberId(i as u16)));
        }
        Connectivity {
            reachable_by_zone,
            members_by_zone,
            changed_at: self.changed_at,
            partition_suspicion: self.partition_suspicion,
        }
    }

    /// Handles a datagram. It is dropped if it cannot be decoded or its sender is incompatible.
    pub fn on_datagram(&mut self, now: Nanos, data: &[u8]) {
        if self.has_left {
            return;
        }
        self.runtime.now = now;
        let Some(from) = decode_sender(data) else {
            return;
        };
        if from.member == self.own_identity.member
            || from.member.as_usize() >= self.member_list.len()
        {
            return;
        }
        if !from.is_compatible_with(&self.own_identity) {
            self.report_incompatible(now, from);
            return;
        }
        self.partition_detector.on_datagram(now);
        // If the library rejects a datagram, its state is unchanged.
        let _ = self.swim.handle_data(data, &mut self.runtime);
        self.apply_notifications(now);
    }

    /// The time at which [`Membership::on_timer`] must be called next.
    pub fn next_timer(&self) -> Nanos {
        let swim_timer = self.runtime.next_timer();
        if self.has_left {
            swim_timer
        } else {
            swim_timer.min(self.next_join)
        }
    }

    /// Handles the timers that have expired.
    pub fn on_timer(&mut self, now: Nanos) {
        self.runtime.now = now;
        while let Some(timer) = self.runtime.pop_expired_timer() {
            let _ = self.swim.handle_timer(timer, &mut self.runtime);
        }
        if now >= self.next_join && !self.has_left {
            self.next_join = now + JOIN_INTERVAL;
            // Reachable members pass on the members that they reach, but two parts of a fleet that
            // know only their own members would never find each other. Join requests are therefore
            // sent as long as any member is unreachable.
            let is_isolated = self.swim.num_members() == 0;
            self.request_join(if is_isolated {
                MAX_JOIN_REQUESTS_WHEN_ISOLATED
            } else {
                1
            });
        }
        self.apply_notifications(now);
    }

    /// Notifies the other members that this process ends. Later datagrams are ignored.
    pub fn leave(&mut self, now: Nanos) {
        if !self.has_left {
            self.runtime.now = now;
            let _ = self.swim.leave_cluster(&mut self.runtime);
            self.has_left = true;
        }
    }

    /// Removes and returns the next datagram to send.
    pub fn pop_datagram(&mut self) -> Option<OutgoingDatagram> {
        self.runtime.pop_datagram()
    }

    /// Removes and returns the next event.
    pub fn pop_event(&mut self) -> Option<MembershipEvent> {
        self.events.pop_front()
    }

    /// Sends join requests to the next unreachable members of the list, starting after the last one
    /// that was sent to.
    fn request_join(&mut self, max_requests: usize) {
        let member_count = self.member_list.len();
        let mut requests = 0;
        for _ in 1..member_count {
            if requests == max_requests {
                return;
            }
            self.join_offset = self.join_offset % (member_count - 1) + 1;
            let position = (self.own_identity.member.as_usize() + self.join_offset) % member_count;
            let member = MemberId(position as u16);
            if self.is_reachable(member) {
                continue;
            }
            requests += 1;
            let any_process = MemberIdentity {
                member,
                incarnation: Incarnation(0),
                renewals: 0,
                ..self.own_identity
            };
            let _ = self.swim.announce(any_process, &mut self.runtime);
        }
    }

    fn report_incompatible(&mut self, now: Nanos, from: MemberIdentity) {
        if !self
            .incompatible_reports
            .should_report(now, from.member, from.incarnation)
        {
            return;
        }
        self.events.push_back(MembershipEvent::IncompatibleMember {
            member: from.member,
            protocol_version: from.protocol_version,
            list_fingerprint: from.list_fingerprint,
        });
    }

    /// Translates the notifications of the library into events.
    fn apply_notifications(&mut self, now: Nanos) {
        self.runtime.drop_excess_datagrams();
        for notification in self.runtime.take_notifications() {
            match notification {
                SwimNotification::Up(identity) => {
                    self.apply_liveness_change(now, identity, LivenessChange::Up)
                }
                SwimNotification::Down(identity) => {
                    self.apply_liveness_change(now, identity, LivenessChange::Down)
                }
                SwimNotification::Renamed { from, to } => self.apply_identity_change(now, from, to),
            }
        }
        self.update_suspected(now);
        self.update_partition_suspicion(now);
    }

    fn apply_identity_change(&mut self, now: Nanos, from: MemberIdentity, to: MemberIdentity) {
        // A process that renewed its identity is not lost.
        if from.incarnation != to.incarnation {
            self.apply_liveness_change(now, from, LivenessChange::Down);
        }
        if self.swim.iter_members().any(|member| *member.id() == to) {
            self.apply_liveness_change(now, to, LivenessChange::Up);
        }
    }

    fn apply_liveness_change(
        &mut self,
        now: Nanos,
        identity: MemberIdentity,
        change: LivenessChange,
    ) {
        if identity.member == self.own_identity.member {
            return;
        }
        let Some(status) = self.statuses.get_mut(identity.member.as_usize()) else {
            return;
        };
        let Some(transition) = status.transition(now, identity, change) else {
            return;
        };
        let Transition {
            down,
            is_refuted,
            up,
        } = transition;
        if let Some(process) = down {
            self.events.push_back(MembershipEvent::MemberDown(process));
            self.partition_detector.on_loss(now);
        }
        if is_refuted {
            self.partition_detector.on_loss_refuted(now);
        }
        if let Some(process) = up {
            self.events.push_back(MembershipEvent::MemberUp(process));
        }
        self.changed_at = now;
    }

    /// Updates the suspected members from the library's list, because it sends no notifications of
    /// suspicions.
    fn update_suspected(&mut self, now: Nanos) {
        for member in self.swim.iter_members() {
            let Some(status) = self.statuses.get_mut(member.id().member.as_usize()) else {
                continue;
            };
            match member.state() {
                foca::State::Suspect => status.set_suspected(now, true),
                foca::State::Alive => status.set_suspected(now, false),
                foca::State::Down => {}
            }
        }
    }

    fn update_partition_suspicion(&mut self, now: Nanos) {
        let reachable = self
            .statuses
            .iter()
            .filter(|status| status.state.is_reachable())
            .count();
        let suspicion = self.partition_detector.suspicion(now, reachable);
        if suspicion != self.partition_suspicion {
            self.partition_suspicion = suspicion;
            self.events
                .push_back(MembershipEvent::PartitionSuspicionChanged(suspicion));
        }
    }
}

fn decode_sender(data: &[u8]) -> Option<MemberIdentity> {
    let header: foca::Header<MemberIdentity> = PostcardCodec.decode_header(data).ok()?;
    Some(header.src)
}
