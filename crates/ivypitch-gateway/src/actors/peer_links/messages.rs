//! Messages to the peer links' actor, and the events that it reports to the scheduler's actor.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::Receiver;
use ivypitch_coordination::{CoordinationMessage, GossipMessage};
use ivypitch_ownership::Message as OwnershipMessage;
use ivypitch_types::{MemberId, ProcessId};

use super::links::{LinkSerial, Outbox};

/// A message to the peer links' actor.
pub enum PeerLinksMessage {
    /// Sends an ownership message on the link to this member.
    SendOwnership {
        /// The recipient.
        to: MemberId,
        /// The message.
        message: OwnershipMessage,
    },
    /// Sends a coordination message on the link to this member.
    SendCoordination {
        /// The recipient.
        to: MemberId,
        /// The message.
        message: CoordinationMessage,
    },
    /// Sends gossip as a datagram.
    SendGossip {
        /// The recipient.
        to: MemberId,
        /// The message.
        gossip: GossipMessage,
    },
    /// This process shuts down: the other members are notified.
    Leave,
    /// Another member has opened a link to this gateway.
    LinkAccepted(AcceptedLink),
    /// A link has ended.
    LinkClosed {
        /// The member at its other end.
        member: MemberId,
        /// Identifies the link among those to this member.
        serial: LinkSerial,
    },
}

/// A link that another member has opened.
pub struct AcceptedLink {
    /// The member.
    pub(super) member: MemberId,
    /// Queue of the frames to be sent on the link.
    pub(super) outbox: Outbox,
}

/// A change of the membership, or a message from another member.
pub enum PeerEvent {
    /// A message about the ownership of statements arrived.
    Ownership {
        /// The sender.
        from: MemberId,
        /// The message.
        message: Box<OwnershipMessage>,
        /// Dropped when the message has been handled.
        guard: MessageGuard,
    },
    /// A coordination message arrived.
    Coordination {
        /// The sender.
        from: MemberId,
        /// The message.
        message: Box<CoordinationMessage>,
        /// Dropped when the message has been handled.
        guard: MessageGuard,
    },
    /// A gossip datagram arrived.
    Gossip {
        /// The message.
        gossip: Box<GossipMessage>,
        /// Dropped when the message has been handled.
        guard: GossipGuard,
    },
    /// A member's process has joined.
    MemberUp(ProcessId),
    /// A member's process has left or failed.
    MemberDown(ProcessId),
    /// A member is suspected to have failed.
    MemberSuspected(MemberId),
    /// A member is no longer suspected.
    SuspicionCleared(MemberId),
}

/// Guard of an unhandled message from a link, which may read another once this is dropped.
pub struct MessageGuard(pub(super) Receiver<()>);

impl Drop for MessageGuard {
    fn drop(&mut self) {
        let _ = self.0.try_recv();
    }
}

/// Guard of an unhandled gossip datagram; another may be accepted once this is dropped.
pub struct GossipGuard(Rc<Cell<usize>>);

impl GossipGuard {
    /// Increments `unhandled` until the guard is dropped.
    pub(super) fn new(unhandled: &Rc<Cell<usize>>) -> GossipGuard {
        unhandled.set(unhandled.get() + 1);
        GossipGuard(unhandled.clone())
    }
}

impl Drop for GossipGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
