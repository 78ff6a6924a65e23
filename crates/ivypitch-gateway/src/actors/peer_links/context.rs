//! State that the parts of the peer links share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use bytes::Bytes;
use ivypitch_membership::{IncompatibleReports, MemberList};
use ivypitch_types::{MemberId, ProcessId};

use super::PROTOCOL_VERSION;
use super::links::LinkSerial;
use super::messages::{PeerEvent, PeerLinksMessage};
use crate::actors::messages::SchedulerMessage;
use crate::lifecycle::clock::Clock;
use crate::state::traffic::Traffic;
use crate::wire::peer_frames::{Frame, encode_frame};

pub(super) struct PeerContext {
    pub(super) members: MemberList,
    pub(super) own_process: ProcessId,
    pub(super) clock: Clock,
    pub(super) scheduler: Sender<SchedulerMessage>,
    pub(super) mailbox: Sender<PeerLinksMessage>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) traffic: Rc<Traffic>,
    last_serial: Cell<LinkSerial>,
    /// Limits the log lines about rejected links.
    rejected_links: RefCell<IncompatibleReports>,
}

/// Parameters of a [`PeerContext`].
pub(super) struct PeerContextParams {
    pub(super) members: MemberList,
    pub(super) own_process: ProcessId,
    pub(super) clock: Clock,
    pub(super) scheduler: Sender<SchedulerMessage>,
    pub(super) mailbox: Sender<PeerLinksMessage>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) traffic: Rc<Traffic>,
}

impl PeerContext {
    pub(super) fn new(params: PeerContextParams) -> PeerContext {
        let rejected_links = RefCell::new(IncompatibleReports::new(params.members.len()));
        PeerContext {
            members: params.members,
            own_process: params.own_process,
            clock: params.clock,
            scheduler: params.scheduler,
            mailbox: params.mailbox,
            executor: params.executor,
            traffic: params.traffic,
            last_serial: Cell::new(LinkSerial(0)),
            rejected_links,
        }
    }

    /// Returns the member's name, for log lines.
    pub(super) fn name(&self, member: MemberId) -> &str {
        self.members
            .get(member)
            .map_or("?", |address| &address.name)
    }

    pub(super) fn notify_scheduler(&self, event: PeerEvent) {
        // Fails only when the program shuts down.
        let _ = self.scheduler.try_send(SchedulerMessage::PeerEvent(event));
    }

    pub(super) fn next_serial(&self) -> LinkSerial {
        let serial = LinkSerial(self.last_serial.get().0 + 1);
        self.last_serial.set(serial);
        serial
    }

    /// Encodes the first frame that this process sends on each link.
    pub(super) fn hello(&self) -> Bytes {
        encode_frame(&Frame::Hello {
            version: PROTOCOL_VERSION,
            list_fingerprint: self.members.fingerprint(),
            member: self.own_process.member,
            incarnation: self.own_process.incarnation,
        })
    }

    /// Returns the sender of a link's first frame if it has the same protocol version and member
    /// list.
    pub(super) fn validate_hello(&self, first: &Frame) -> Option<MemberId> {
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
        if is_compatible && member != self.own_process.member {
            return is_listed.then_some(member);
        }
        let mut rejected_links = self.rejected_links.borrow_mut();
        if rejected_links.should_report(self.clock.now(), member, incarnation) {
            log::warn!(
                member = self.name(member), version, own_version = PROTOCOL_VERSION,
                list:% = format_args!("{list_fingerprint:08x}"), own_list:% = format_args!("{own_fingerprint:08x}");
                "link from incompatible member is rejected"
            );
        }
        None
    }
}
