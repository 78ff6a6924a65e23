//! The table of links. Each pair of members has one link, opened by the member that first has
//! something to send.

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

/// Limit on the bytes queued for a peer that does not read. Messages beyond it are dropped, as on a
/// broken link.
const MAX_QUEUED_BYTES: usize = 1 << 20;

/// Serial number of a link of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkSerial(pub(super) u64);

/// Sending half of a link's queue of frames. The link closes when its last outbox is dropped.
#[derive(Clone)]
pub(super) struct Outbox {
    pub(super) serial: LinkSerial,
    frames: Sender<Bytes>,
    /// Total size of the frames in the queue.
    pub(super) queued_bytes: Rc<Cell<usize>>,
}

impl Outbox {
    /// Creates an outbox, and the receiving half of its queue.
    pub(super) fn new(serial: LinkSerial) -> (Outbox, Receiver<Bytes>) {
        let (frames, queue) = async_channel::unbounded();
        let outbox = Outbox {
            serial,
            frames,
            queued_bytes: Rc::default(),
        };
        (outbox, queue)
    }

    /// Queues a frame. Returns false if the queue is full and the frame is dropped.
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
    /// The last link to each member whose queue was full, so that each such link is logged once.
    last_full_link: BTreeMap<MemberId, LinkSerial>,
}

impl LinkTable {
    pub(super) fn new(context: Rc<PeerContext>) -> LinkTable {
        LinkTable {
            context,
            by_member: BTreeMap::new(),
            last_full_link: BTreeMap::new(),
        }
    }

    /// Sends a frame on the member's link. Opens a link if there is none.
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
        if !outbox.send(encode_frame(frame))
            && self.last_full_link.insert(to, serial) != Some(serial)
        {
            let member = self.context.name(to);
            log::warn!(member; "member does not read, messages to it are dropped");
        }
    }

    /// Enters a link that another member opened. If both members opened a link at once, the one
    /// from the member with the lower id is kept.
    pub(super) fn on_accepted(&mut self, link: AcceptedLink) {
        let is_opener_lower = link.member < self.context.own_process.member;
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
