//! Messages to the peer links' actor, and what it tells the scheduler's.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::Receiver;
use ivypitch_coordination::{CoordinationMessage, GossipMessage};
use ivypitch_ownership::Message as OwnershipMessage;
use ivypitch_types::{MemberId, ProcessId};

use super::links::{LinkSerial, Outbox};

/// A message to the peer links' actor.
pub enum PeerLinksMessage {
    /// Send on the link to this member.
    SendOwnership {
        /// The recipient.
        to: MemberId,
        /// The message.
        message: OwnershipMessage,
    },
    /// Send on the link to this member.
    SendCoordination {
        /// The recipient.
        to: MemberId,
        /// The message.
        message: CoordinationMessage,
    },
    /// Send as a datagram.
    SendGossip {
        /// The recipient.
        to: MemberId,
        /// The message.
        gossip: GossipMessage,
    },
    /// This process ends: the others are notified.
    Leave,
    /// Another member has opened a link to here.
    LinkAccepted(AcceptedLink),
    /// A link has ended.
    LinkClosed {
        /// The member at its other end.
        member: MemberId,
        /// Which of its links.
        serial: LinkSerial,
    },
}

/// A link that another member has opened.
pub struct AcceptedLink {
    /// The member.
    pub(super) member: MemberId,
    /// Takes what is to be sent.
    pub(super) outbox: Outbox,
}

/// Something happened to the other members, or a message of one arrived.
pub enum PeerEvent {
    /// A message about the ownership of statements arrived.
    Ownership {
        /// The sender.
        from: MemberId,
        /// The message.
        message: Box<OwnershipMessage>,
        /// To be dropped once it is handled.
        guard: MessageGuard,
    },
    /// A message about what gateways coordinate arrived.
    Coordination {
        /// The sender.
        from: MemberId,
        /// The message.
        message: Box<CoordinationMessage>,
        /// To be dropped once it is handled.
        guard: MessageGuard,
    },
    /// A gossip datagram arrived.
    Gossip {
        /// The message.
        gossip: Box<GossipMessage>,
        /// To be dropped once it is handled.
        guard: GossipGuard,
    },
    /// A process is there.
    MemberUp(ProcessId),
    /// A process is gone.
    MemberDown(ProcessId),
    /// A member is suspected to be lost.
    MemberSuspected(MemberId),
    /// A member is no longer suspected.
    SuspicionCleared(MemberId),
}

/// Held as long as a message of a link is not handled; then the link may read another.
pub struct MessageGuard(pub(super) Receiver<()>);

impl Drop for MessageGuard {
    fn drop(&mut self) {
        let _ = self.0.try_recv();
    }
}

/// Held as long as a gossip datagram is not handled; then another may be taken.
pub struct GossipGuard(Rc<Cell<usize>>);

impl GossipGuard {
    /// Counts one more in `unhandled`.
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
