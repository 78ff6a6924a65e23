//! The datagram socket, used by the membership protocol and gossip.

use std::cell::Cell;
use std::io;
use std::net::UdpSocket;
use std::rc::Rc;

use async_io::Async;
use ivypitch_coordination::GossipMessage;
use ivypitch_membership::{Membership, MembershipEvent, PartitionSuspicion};
use ivypitch_types::{MemberId, Nanos, ProcessId};

use super::PROTOCOL_VERSION;
use super::context::PeerContext;
use super::messages::{GossipGuard, PeerEvent};
use crate::log_events::MEMBER_LOST;
use crate::wire::peer_frames::{PeerDatagram, decode_datagram, encode_gossip};

/// Longer datagrams are truncated and then rejected as malformed.
pub(super) const MAX_DATAGRAM_BYTES: usize = 2048;
/// Limit on gossip datagrams that have not been handled yet. Beyond it, gossip is dropped.
const MAX_UNHANDLED_GOSSIP: usize = 256;

pub(super) struct Datagrams {
    context: Rc<PeerContext>,
    socket: Async<UdpSocket>,
    membership: Membership,
    /// Whether each member is suspected, as last reported to the scheduler.
    suspected: Vec<bool>,
    unhandled_gossip: Rc<Cell<usize>>,
}

impl Datagrams {
    pub(super) fn new(
        context: Rc<PeerContext>,
        socket: Async<UdpSocket>,
        membership: Membership,
    ) -> Datagrams {
        Datagrams {
            suspected: vec![false; context.members.len()],
            context,
            socket,
            membership,
            unhandled_gossip: Rc::default(),
        }
    }

    /// Receives the next datagram and returns its length, or 0 if the socket fails.
    pub(super) async fn receive(&self, buffer: &mut [u8]) -> usize {
        let received: io::Result<_> = self.socket.recv_from(buffer).await;
        received.map_or(0, |(bytes, _)| bytes)
    }

    pub(super) fn on_datagram(&mut self, now: Nanos, datagram: &[u8]) {
        self.context
            .traffic
            .datagrams
            .record_received(datagram.len());
        match decode_datagram(datagram) {
            PeerDatagram::Membership(datagram) => self.membership.on_datagram(now, datagram),
            PeerDatagram::Gossip(gossip) if self.unhandled_gossip.get() < MAX_UNHANDLED_GOSSIP => {
                let guard = GossipGuard::new(&self.unhandled_gossip);
                self.context
                    .notify_scheduler(PeerEvent::Gossip { gossip, guard });
            }
            // Malformed gossip, and gossip beyond the limit, is dropped as a network would drop it.
            PeerDatagram::Gossip(_) | PeerDatagram::MalformedGossip => {}
        }
    }

    pub(super) fn send_gossip(&self, to: MemberId, gossip: &GossipMessage) {
        self.send(to, &encode_gossip(gossip));
    }

    pub(super) fn next_timer(&self) -> Nanos {
        self.membership.next_timer()
    }

    pub(super) fn on_timer(&mut self, now: Nanos) {
        if self.membership.next_timer() <= now {
            self.membership.on_timer(now);
        }
    }

    /// Notifies the other members that this process shuts down.
    pub(super) fn leave(&mut self, now: Nanos) {
        self.membership.leave(now);
    }

    /// Sends the pending datagrams of the membership protocol.
    pub(super) fn flush(&mut self) {
        while let Some(datagram) = self.membership.pop_datagram() {
            self.send(datagram.to, &datagram.data);
        }
    }

    /// Takes the next membership event, logs it and notifies the scheduler. Returns `None` if there
    /// are no more events.
    pub(super) fn take_event(&mut self) -> Option<MembershipEvent> {
        let event = self.membership.pop_event()?;
        match event {
            MembershipEvent::MemberUp(process) => {
                let member = self.context.name(process.member);
                log::info!(member; "member is up");
                self.context.notify_scheduler(PeerEvent::MemberUp(process));
            }
            MembershipEvent::MemberDown(process) => self.on_member_down(process),
            MembershipEvent::PartitionSuspicionChanged(suspicion) => {
                self.log_partition_suspicion(suspicion);
            }
            MembershipEvent::IncompatibleMember {
                member,
                protocol_version,
                list_fingerprint,
            } => self.log_incompatible(member, protocol_version, list_fingerprint),
        }
        Some(event)
    }

    /// Notifies the scheduler of members that are newly suspected or no longer suspected.
    pub(super) fn report_suspicions(&mut self) {
        for (index, was_suspected) in self.suspected.iter_mut().enumerate() {
            let member = MemberId(index as u16);
            let is_suspected = self.membership.status(member).state.is_suspected();
            if is_suspected == *was_suspected {
                continue;
            }
            *was_suspected = is_suspected;
            self.context.notify_scheduler(if is_suspected {
                PeerEvent::MemberSuspected(member)
            } else {
                PeerEvent::SuspicionCleared(member)
            });
        }
    }

    fn on_member_down(&self, process: ProcessId) {
        let member = self.context.name(process.member);
        let reachable = self.membership.connectivity().reachable_members();
        let members = self.context.members.len();
        log::warn!(
            member, reachable, members;
            "{MEMBER_LOST}"
        );
        self.context
            .notify_scheduler(PeerEvent::MemberDown(process));
    }

    fn log_partition_suspicion(&self, suspicion: PartitionSuspicion) {
        let reachable = self.membership.connectivity().reachable_members();
        let members = self.context.members.len();
        log::warn!(
            suspicion:%, reachable, members;
            "partition suspicion changed"
        );
    }

    fn log_incompatible(&self, member: MemberId, version: u16, fingerprint: u32) {
        let own_fingerprint = self.context.members.fingerprint();
        log::warn!(
            member = self.context.name(member), version, own_version = PROTOCOL_VERSION,
            list:% = format_args!("{fingerprint:08x}"), own_list:% = format_args!("{own_fingerprint:08x}");
            "incompatible member is ignored"
        );
    }

    /// Sends a datagram. It is dropped if the socket's buffer is full, like one that the network
    /// loses.
    fn send(&self, to: MemberId, data: &[u8]) {
        let Some(member) = self.context.members.get(to) else {
            return;
        };
        let sent = self.socket.get_ref().send_to(data, member.address);
        if sent.is_ok() {
            self.context.traffic.datagrams.record_sent(data.len());
        }
    }
}
