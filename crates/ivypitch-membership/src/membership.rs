//! The members as this gateway sees them.

use std::collections::VecDeque;

use foca::{Codec, Foca, PostcardCodec};
use ivypitch_types::{Incarnation, MemberId, Nanos, ProcessId, SECOND};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::partition_suspicion::PartitionDetector;
use crate::status::{Notice, Transition};
use crate::swim_runtime::{SwimNotice, SwimRuntime};
use crate::{
    Connectivity, MemberIdentity, MemberList, MemberStatus, MembershipConfig, OutgoingDatagram,
    PartitionSuspicion,
};

/// Members that are asked to join at once at the start and while nobody is reachable; else one.
const MAX_JOIN_REQUESTS: usize = 5;
const JOIN_INTERVAL: Nanos = SECOND / 4;
/// Spreads the seeds of the members over the range.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// What has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A process is there that was not.
    MemberUp(ProcessId),
    /// A process is gone: it is lost, or another one runs in its place.
    MemberDown(ProcessId),
    /// Whether this gateway may be partitioned.
    PartitionSuspicionChanged(PartitionSuspicion),
    /// A process speaks another version or has another member list, and is ignored. Reported once for each process.
    IncompatibleMember {
        /// The member as which it speaks.
        member: MemberId,
        /// Its version.
        protocol_version: u16,
        /// The fingerprint of its member list.
        list_fingerprint: u32,
    },
}

/// What a [`Membership`] starts with.
pub struct MembershipParams {
    /// The fleet.
    pub member_list: MemberList,
    /// This process.
    pub process: ProcessId,
    /// Version of all messages between gateways.
    pub protocol_version: u16,
    /// Failure detection.
    pub config: MembershipConfig,
    /// For random choices.
    pub seed: u64,
    /// The time.
    pub now: Nanos,
}

/// Failure detection of one gateway.
pub struct Membership {
    swim: Foca<MemberIdentity, PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    runtime: SwimRuntime,
    member_list: MemberList,
    me: MemberIdentity,
    /// By member.
    statuses: Vec<MemberStatus>,
    /// By member: the incompatible process that was reported last.
    incompatible: Vec<Incarnation>,
    detector: PartitionDetector,
    partition_suspicion: PartitionSuspicion,
    changed_at: Nanos,
    events: VecDeque<MembershipEvent>,
    next_join: Nanos,
    /// How far behind this gateway's own position in the list the last member stands that was asked to join.
    join_offset: usize,
    has_left: bool,
}

impl Membership {
    /// A process that has heard from nobody.
    pub fn new(params: MembershipParams) -> Membership {
        let MembershipParams {
            member_list,
            process,
            protocol_version,
            config,
            seed,
            now,
        } = params;
        let me = MemberIdentity {
            member: process.member,
            incarnation: process.incarnation,
            renewals: 0,
            protocol_version,
            list_fingerprint: member_list.fingerprint(),
        };
        let member_seed = u64::from(process.member.0).wrapping_mul(SEED_MULTIPLIER);
        let rng = ChaCha8Rng::seed_from_u64(seed ^ member_seed);
        let swim_config = config.for_swim(member_list.len());
        Membership {
            swim: Foca::new(me, swim_config, rng, PostcardCodec),
            runtime: SwimRuntime::new(now),
            me,
            statuses: vec![MemberStatus::default(); member_list.len()],
            incompatible: vec![Incarnation(0); member_list.len()],
            member_list,
            detector: PartitionDetector::new(now, config.probe_interval),
            partition_suspicion: PartitionSuspicion::None,
            changed_at: now,
            events: VecDeque::new(),
            next_join: now,
            join_offset: 0,
            has_left: false,
        }
    }

    /// How this process identifies itself.
    pub fn identity(&self) -> MemberIdentity {
        self.me
    }

    /// The fleet.
    pub fn member_list(&self) -> &MemberList {
        &self.member_list
    }

    /// What is known of a member.
    pub fn status(&self, member: MemberId) -> MemberStatus {
        self.statuses
            .get(member.as_usize())
            .copied()
            .unwrap_or_default()
    }

    /// Whether a member's process is there, as far as is known.
    pub fn is_reachable(&self, member: MemberId) -> bool {
        member == self.me.member || self.status(member).state.is_reachable()
    }

    /// How much of the fleet is reachable.
    pub fn connectivity(&self) -> Connectivity {
        let zones = self.member_list.zones.len().max(1);
        let mut reachable = vec![0; zones];
        let mut members = vec![0; zones];
        for (i, member) in self.member_list.members.iter().enumerate() {
            let zone = usize::from(member.zone).min(zones - 1);
            members[zone] += 1;
            reachable[zone] += u16::from(self.is_reachable(MemberId(i as u16)));
        }
        Connectivity {
            reachable,
            members,
            since: self.changed_at,
            partition_suspicion: self.partition_suspicion,
        }
    }

    /// A datagram arrived. It is dropped if it is unreadable or its sender incompatible.
    pub fn on_datagram(&mut self, now: Nanos, data: &[u8]) {
        if self.has_left {
            return;
        }
        self.runtime.now = now;
        let Some(from) = sender(data) else {
            return;
        };
        if from.member == self.me.member || from.member.as_usize() >= self.member_list.len() {
            return;
        }
        if !from.is_compatible_with(&self.me) {
            self.report_incompatible(from);
            return;
        }
        self.detector.on_datagram(now);
        // A datagram that the library cannot use leaves it as it was.
        let _ = self.swim.handle_data(data, &mut self.runtime);
        self.apply_notices(now);
    }

    /// When [`Membership::on_timer`] is due.
    pub fn next_timer(&self) -> Nanos {
        let swim_timer = self.runtime.next_timer();
        if self.has_left {
            swim_timer
        } else {
            swim_timer.min(self.next_join)
        }
    }

    /// Does what is due.
    pub fn on_timer(&mut self, now: Nanos) {
        self.runtime.now = now;
        while let Some(timer) = self.runtime.take_due_timer() {
            let _ = self.swim.handle_timer(timer, &mut self.runtime);
        }
        if now >= self.next_join && !self.has_left {
            self.next_join = now + JOIN_INTERVAL;
            // Whoever is reachable passes on whom it reaches, but two parts of a fleet that each know only themselves
            // would never meet: unreachable members are asked as long as there are any.
            let is_alone = self.swim.num_members() == 0;
            self.request_join(if is_alone { MAX_JOIN_REQUESTS } else { 1 });
        }
        self.apply_notices(now);
    }

    /// Tells the others that this process ends. Nothing is received after.
    pub fn leave(&mut self, now: Nanos) {
        if !self.has_left {
            self.runtime.now = now;
            let _ = self.swim.leave_cluster(&mut self.runtime);
            self.has_left = true;
        }
    }

    /// The next datagram to be sent.
    pub fn pop_datagram(&mut self) -> Option<OutgoingDatagram> {
        self.runtime.take_datagram()
    }

    /// The next change that was not taken yet.
    pub fn pop_event(&mut self) -> Option<MembershipEvent> {
        self.events.pop_front()
    }

    /// Asks the next unreachable members of the list, behind this one's position, who is there.
    fn request_join(&mut self, max_requests: usize) {
        let members = self.member_list.len();
        let mut requests = 0;
        for _ in 1..members {
            if requests == max_requests {
                return;
            }
            self.join_offset = self.join_offset % (members - 1) + 1;
            let position = (self.me.member.as_usize() + self.join_offset) % members;
            let member = MemberId(position as u16);
            if self.is_reachable(member) {
                continue;
            }
            requests += 1;
            let any_process = MemberIdentity {
                member,
                incarnation: Incarnation(0),
                renewals: 0,
                ..self.me
            };
            let _ = self.swim.announce(any_process, &mut self.runtime);
        }
    }

    fn report_incompatible(&mut self, from: MemberIdentity) {
        let reported = &mut self.incompatible[from.member.as_usize()];
        if *reported == from.incarnation {
            return;
        }
        *reported = from.incarnation;
        self.events.push_back(MembershipEvent::IncompatibleMember {
            member: from.member,
            protocol_version: from.protocol_version,
            list_fingerprint: from.list_fingerprint,
        });
    }

    /// Turns what the library noticed into events.
    fn apply_notices(&mut self, now: Nanos) {
        self.runtime.drop_excess_datagrams();
        for notice in self.runtime.take_notices() {
            match notice {
                SwimNotice::Up(identity) => self.apply(now, identity, Notice::Up),
                SwimNotice::Down(identity) => self.apply(now, identity, Notice::Down),
                SwimNotice::Renamed { from, to } => self.apply_rename(now, from, to),
            }
        }
        self.update_suspected(now);
        self.update_partition_suspicion(now);
    }

    fn apply_rename(&mut self, now: Nanos, from: MemberIdentity, to: MemberIdentity) {
        // The same process under a renewed identity is no loss.
        if from.incarnation != to.incarnation {
            self.apply(now, from, Notice::Down);
        }
        if self.swim.iter_members().any(|member| *member.id() == to) {
            self.apply(now, to, Notice::Up);
        }
    }

    fn apply(&mut self, now: Nanos, identity: MemberIdentity, notice: Notice) {
        if identity.member == self.me.member {
            return;
        }
        let Some(status) = self.statuses.get_mut(identity.member.as_usize()) else {
            return;
        };
        let Some(transition) = status.transition(now, identity, notice) else {
            return;
        };
        let Transition {
            down,
            is_refuted,
            up,
        } = transition;
        if let Some(process) = down {
            self.events.push_back(MembershipEvent::MemberDown(process));
            self.detector.on_loss(now);
        }
        if is_refuted {
            self.detector.on_loss_refuted(now);
        }
        if let Some(process) = up {
            self.events.push_back(MembershipEvent::MemberUp(process));
        }
        self.changed_at = now;
    }

    /// The library does not notify of suspicions: they are read off its list.
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
        let suspicion = self.detector.suspicion(now, reachable);
        if suspicion != self.partition_suspicion {
            self.partition_suspicion = suspicion;
            self.events
                .push_back(MembershipEvent::PartitionSuspicionChanged(suspicion));
        }
    }
}

fn sender(data: &[u8]) -> Option<MemberIdentity> {
    let header: foca::Header<MemberIdentity> = PostcardCodec.decode_header(data).ok()?;
    Some(header.src)
}
