//! Links and shared state of the simulated gateways.

use std::sync::{Arc, Mutex, MutexGuard};

use bytes::BytesMut;
use ivypitch_gateway::actors::peer_links::PeerLinksMessage;
use ivypitch_gateway::wire::peer_frames::{Frame, MAX_FRAME_BYTES, decode_frame, encode_frame};
use ivypitch_types::MemberId;
use smol::channel::{self, Receiver, Sender};

use super::{Counts, SimulatedGateways};

/// Maximum number of unread messages of a simulated gateway; more are dropped, as on a link whose peer does not read.
const MAX_WAITING_MESSAGES: usize = 4096;

/// A message from another simulated gateway.
pub(super) struct LinkMessage {
    pub(super) from: MemberId,
    pub(super) frame: Frame,
}

/// Receives the messages of the other simulated gateways.
pub(super) type Inbox = Receiver<LinkMessage>;

/// State shared by all simulated gateways of the process.
pub(super) struct SharedState {
    first: MemberId,
    /// By position after `first`.
    inboxes: Vec<Sender<LinkMessage>>,
    counts: Mutex<Vec<Counts>>,
    /// Number of members, real and simulated.
    pub(super) members: usize,
    pub(super) prints_events: bool,
}

impl SharedState {
    /// Returns the state and an inbox for each simulated gateway.
    pub(super) fn new(config: &SimulatedGateways) -> (SharedState, Vec<Inbox>) {
        let simulated = config.routes.len();
        let (senders, inboxes) = (0..simulated).map(|_| channel::unbounded()).unzip();
        let counts = |i: usize| Counts {
            member: config.first + i,
            ..Counts::default()
        };
        let shared = SharedState {
            first: MemberId(config.first as u16),
            inboxes: senders,
            counts: Mutex::new((0..simulated).map(counts).collect()),
            members: config.first + simulated,
            prints_events: config.prints_events,
        };
        (shared, inboxes)
    }

    pub(super) fn counts_as_json(&self) -> String {
        serde_json::to_string(&*self.lock_counts()).unwrap_or_default()
    }

    pub(super) fn count(&self, member: MemberId, change: impl FnOnce(&mut Counts)) {
        if let Some(counts) = self.lock_counts().get_mut(self.position(member)) {
            change(counts);
        }
    }

    fn lock_counts(&self) -> MutexGuard<'_, Vec<Counts>> {
        self.counts
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn position(&self, member: MemberId) -> usize {
        usize::from(member.0 - self.first.0)
    }

    fn is_simulated(&self, member: MemberId) -> bool {
        member >= self.first
    }

    /// Encodes and decodes a frame as a link does, and delivers it.
    fn hand_over(&self, from: MemberId, to: MemberId, frame: &Frame) {
        let mut bytes = BytesMut::from(&encode_frame(frame)[..]);
        let length = bytes.len() as u64;
        let Ok(Some(frame)) = decode_frame(&mut bytes, MAX_FRAME_BYTES) else {
            return;
        };
        let is_delivered = self.inboxes.get(self.position(to)).is_some_and(|inbox| {
            let message = LinkMessage { from, frame };
            inbox.len() < MAX_WAITING_MESSAGES && inbox.try_send(message).is_ok()
        });
        self.count(from, |counts| {
            counts.handed_over += 1;
            counts.handed_over_bytes += length;
            counts.dropped += u64::from(!is_delivered);
        });
    }
}

/// Forwards the messages of a simulated gateway: to others within the process, or to its real peer links.
pub(super) async fn route(
    outgoing: Receiver<PeerLinksMessage>,
    peer_links: Sender<PeerLinksMessage>,
    from: MemberId,
    shared: Arc<SharedState>,
) {
    while let Ok(message) = outgoing.recv().await {
        match message {
            PeerLinksMessage::SendOwnership { to, message } if shared.is_simulated(to) => {
                shared.hand_over(from, to, &Frame::Ownership(message));
            }
            PeerLinksMessage::SendCoordination { to, message } if shared.is_simulated(to) => {
                shared.hand_over(from, to, &Frame::Coordination(message));
            }
            other => {
                let _ = peer_links.try_send(other);
            }
        }
    }
}
