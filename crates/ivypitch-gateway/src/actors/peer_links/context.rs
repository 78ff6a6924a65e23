//! What the parts of the peer links share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use bytes::Bytes;
use ivypitch_membership::MemberList;
use ivypitch_types::{Incarnation, MemberId, ProcessId};

use super::PROTOCOL_VERSION;
use super::links::LinkSerial;
use super::messages::{PeerEvent, PeerLinksMessage};
use crate::actors::messages::SchedulerMessage;
use crate::lifecycle::clock::Clock;
use crate::state::traffic::Traffic;
use crate::wire::peer_frames::{Frame, encode_frame};

pub(super) struct PeerContext {
    pub(super) members: MemberList,
    pub(super) process: ProcessId,
    pub(super) clock: Clock,
    pub(super) scheduler: Sender<SchedulerMessage>,
    pub(super) mailbox: Sender<PeerLinksMessage>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) traffic: Rc<Traffic>,
    last_serial: Cell<LinkSerial>,
    /// The process of each member that was rejected last, to log it once.
    rejected: RefCell<BTreeMap<MemberId, Incarnation>>,
}

/// What a [`PeerContext`] is made of.
pub(super) struct PeerContextParts {
    pub(super) members: MemberList,
    pub(super) process: ProcessId,
    pub(super) clock: Clock,
    pub(super) scheduler: Sender<SchedulerMessage>,
    pub(super) mailbox: Sender<PeerLinksMessage>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) traffic: Rc<Traffic>,
}

impl PeerContext {
    pub(super) fn new(parts: PeerContextParts) -> PeerContext {
        PeerContext {
            members: parts.members,
            process: parts.process,
            clock: parts.clock,
            scheduler: parts.scheduler,
            mailbox: parts.mailbox,
            executor: parts.executor,
            traffic: parts.traffic,
            last_serial: Cell::new(LinkSerial(0)),
            rejected: RefCell::default(),
        }
    }

    /// The member's name, for log lines.
    pub(super) fn name(&self, member: MemberId) -> &str {
        self.members
            .get(member)
            .map_or("?", |address| &address.name)
    }

    pub(super) fn notify_scheduler(&self, event: PeerEvent) {
        // Fails only as the program ends.
        let _ = self.scheduler.try_send(SchedulerMessage::PeerEvent(event));
    }

    pub(super) fn next_serial(&self) -> LinkSerial {
        let serial = LinkSerial(self.last_serial.get().0 + 1);
        self.last_serial.set(serial);
        serial
    }

    /// This process' first frame on each link.
    pub(super) fn hello(&self) -> Bytes {
        encode_frame(&Frame::Hello {
            version: PROTOCOL_VERSION,
            list_fingerprint: self.members.fingerprint(),
            member: self.process.member,
            incarnation: self.process.incarnation,
        })
    }

    /// The sender of a link's first frame, if it has this version and member list.
    pub(super) fn check_hello(&self, first: &Frame) -> Option<MemberId> {
        let &Frame::Hello {
            version,
            list_fingerprint,
            member,
            incarnation,
        } = first
        else {
            return None;
        };
        let own_fingerprint = self.members.fingerprint();
        let is_listed = member.as_usize() < self.members.len();
        let is_compatible = version == PROTOCOL_VERSION && list_fingerprint == own_fingerprint;
        if is_compatible && member != self.process.member {
            return is_listed.then_some(member);
        }
        if is_listed && self.rejected.borrow_mut().insert(member, incarnation) != Some(incarnation)
        {
            log::warn!(
                member = self.name(member), version, own_version = PROTOCOL_VERSION,
                list:% = format_args!("{list_fingerprint:08x}"), own_list:% = format_args!("{own_fingerprint:08x}");
                "link from incompatible member is rejected"
            );
        }
        None
    }
}
