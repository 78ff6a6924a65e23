//! The table of links: one for each pair of members, opened by whoever first has something to send.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use ivypitch_types::MemberId;

use super::connection;
use super::context::PeerContext;
use super::messages::AcceptedLink;
use crate::wire::peer_frames::{Frame, encode_frame};

/// Bytes that wait for a peer that does not read; what comes beyond is dropped, as with a broken link.
const MAX_QUEUED_BYTES: usize = 1 << 20;

/// Numbers the links of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkSerial(pub(super) u64);

/// Takes the frames that are to be written on a link. The link ends with its last outbox.
#[derive(Clone)]
pub(super) struct Outbox {
    pub(super) serial: LinkSerial,
    frames: Sender<Bytes>,
    /// Bytes of the frames that were not taken for writing yet.
    pub(super) queued_bytes: Rc<Cell<usize>>,
}

impl Outbox {
    /// With the other end of its queue.
    pub(super) fn new(serial: LinkSerial) -> (Outbox, Receiver<Bytes>) {
        let (frames, queue) = async_channel::unbounded();
        let outbox = Outbox {
            serial,
            frames,
            queued_bytes: Rc::default(),
        };
        (outbox, queue)
    }

    /// False: the queue is full and the frame dropped.
    fn send(&self, frame: Bytes) -> bool {
        let queued_bytes = self.queued_bytes.get() + frame.len();
        if queued_bytes > MAX_QUEUED_BYTES {
            return false;
        }
        self.queued_bytes.set(queued_bytes);
        let _ = self.frames.try_send(frame);
        true
    }
}

pub(super) struct LinkTable {
    context: Rc<PeerContext>,
    by_member: BTreeMap<MemberId, Outbox>,
    /// The link of each member that was full, to log it once.
    full: BTreeMap<MemberId, LinkSerial>,
}

impl LinkTable {
    pub(super) fn new(context: Rc<PeerContext>) -> LinkTable {
        LinkTable {
            context,
            by_member: BTreeMap::new(),
            full: BTreeMap::new(),
        }
    }

    /// Sends on the member's link, which is opened if there is none.
    pub(super) fn send(&mut self, to: MemberId, frame: &Frame) {
        let Some(address) = self.context.members.get(to).map(|member| member.address) else {
            return;
        };
        let context = &self.context;
        let outbox = self.by_member.entry(to).or_insert_with(|| {
            let (outbox, queue) = Outbox::new(context.next_serial());
            let task = connection::dial(context.clone(), to, address, outbox.clone(), queue);
            context.executor.spawn(task).detach();
            outbox
        });
        let serial = outbox.serial;
        if !outbox.send(encode_frame(frame)) && self.full.insert(to, serial) != Some(serial) {
            let member = self.context.name(to);
            log::warn!(member; "member does not read, messages to it are dropped");
        }
    }

    /// Another member has opened a link. Where both did at once, the one that the lower member opened stays.
    pub(super) fn on_accepted(&mut self, link: AcceptedLink) {
        let is_opener_lower = link.member < self.context.process.member;
        if !self.by_member.contains_key(&link.member) || is_opener_lower {
            self.by_member.insert(link.member, link.outbox);
        }
    }

    pub(super) fn on_closed(&mut self, member: MemberId, serial: LinkSerial) {
        let is_current = self
            .by_member
            .get(&member)
            .is_some_and(|link| link.serial == serial);
        if is_current {
            self.by_member.remove(&member);
        }
    }

    pub(super) fn on_member_down(&mut self, member: MemberId) {
        self.by_member.remove(&member);
    }
}
