//! One link: its connection, the handshake, and the frames in both directions.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bytes::{Bytes, BytesMut};
use futures_lite::{AsyncWriteExt, FutureExt, future::yield_now};
use ivypitch_types::MemberId;

use super::MESSAGES_BEFORE_YIELD;
use super::context::PeerContext;
use super::links::{LinkSerial, Outbox};
use super::messages::{AcceptedLink, MessageGuard, PeerEvent, PeerLinksMessage};
use super::unidentified::{UnidentifiedConnection, UnidentifiedConnections};
use crate::actors::socket::read_some;
use crate::wire::peer_frames::{
    Frame, MAX_FRAME_BYTES, MAX_HELLO_BYTES, decode_frame, encode_frame,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// A link on which nothing arrives for this time is dead.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// A link closes if writing a frame takes longer than this.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on a link's messages that have not been handled yet. At this limit nothing more is read
/// from the link.
const MAX_UNHANDLED_MESSAGES: usize = 64;
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Connections accepted in a row before other tasks may run.
const ACCEPTS_BEFORE_YIELD: usize = 16;
/// Limit on the open links that one member has opened: a new process may connect before the end of
/// the old one's link is noticed.
const MAX_ACCEPTED_LINKS_PER_MEMBER: usize = 2;

/// Whether the peer's first frame has been validated.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Handshake {
    Expected,
    Done,
}

/// Accepts and serves links from other members until the program ends.
pub(super) async fn accept_all(listener: Async<TcpListener>, context: Rc<PeerContext>) {
    let unidentified = UnidentifiedConnections::default();
    let accepted_links = AcceptedLinks::default();
    let mut accepted: usize = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let task = serve_accepted(
            context.clone(),
            stream,
            unidentified.enter(),
            accepted_links.clone(),
        );
        context.executor.spawn(task).detach();
        accepted += 1;
        if accepted.is_multiple_of(ACCEPTS_BEFORE_YIELD) {
            yield_now().await;
        }
    }
}

/// Numbers of open links that each member has opened.
#[derive(Clone, Default)]
struct AcceptedLinks(Rc<RefCell<BTreeMap<MemberId, usize>>>);

/// Counts a link as open until it is dropped.
struct AcceptedLinkGuard {
    links: AcceptedLinks,
    member: MemberId,
}

impl AcceptedLinks {
    /// Counts a link of the member; `None` at the limit.
    fn open(&self, member: MemberId) -> Option<AcceptedLinkGuard> {
        let mut counts = self.0.borrow_mut();
        let count = counts.entry(member).or_default();
        if *count == MAX_ACCEPTED_LINKS_PER_MEMBER {
            return None;
        }
        *count += 1;
        Some(AcceptedLinkGuard {
            links: self.clone(),
            member,
        })
    }
}

impl Drop for AcceptedLinkGuard {
    fn drop(&mut self) {
        let mut counts = self.links.0.borrow_mut();
        if let Some(count) = counts.get_mut(&self.member) {
            *count -= 1;
        }
    }
}

async fn serve_accepted(
    context: Rc<PeerContext>,
    stream: Async<TcpStream>,
    unidentified: UnidentifiedConnection,
    accepted_links: AcceptedLinks,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let mut input = BytesMut::new();
    let evicted = async {
        unidentified.evicted().await;
        None
    };
    let hello = read_hello(&context, &stream, &mut input);
    let Some(member) = hello.or(evicted).await else {
        return;
    };
    drop(unidentified);
    let Some(_open) = accepted_links.open(member) else {
        return;
    };
    let (outbox, queue) = Outbox::new(context.next_serial());
    let link = Link::new(context.clone(), member, stream, &outbox, queue);
    let accepted = AcceptedLink { member, outbox };
    let message = PeerLinksMessage::LinkAccepted(accepted);
    let _ = context.mailbox.try_send(message);
    link.run(input, Handshake::Done).await;
}

/// Opens a link and serves it until it ends.
pub(super) async fn dial(
    context: Rc<PeerContext>,
    member: MemberId,
    address: SocketAddr,
    outbox: Outbox,
    queue: Receiver<Bytes>,
) {
    let connect = async { Async::<TcpStream>::connect(address).await.ok() };
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        None
    };
    let Some(stream) = connect.or(timeout).await else {
        notify_closed(&context, member, outbox.serial);
        return;
    };
    let _ = stream.get_ref().set_nodelay(true);
    let link = Link::new(context, member, stream, &outbox, queue);
    // Only the outbox in the table of links keeps the link open.
    drop(outbox);
    link.run(BytesMut::new(), Handshake::Expected).await;
}

/// Returns the member that opened the link; `None` if it is incompatible or sends no valid frame in
/// time.
async fn read_hello(
    context: &PeerContext,
    stream: &Async<TcpStream>,
    input: &mut BytesMut,
) -> Option<MemberId> {
    let timeout = async {
        Timer::after(HELLO_TIMEOUT).await;
        None
    };
    let first = read_frame(context, stream, input, MAX_HELLO_BYTES)
        .or(timeout)
        .await?;
    context.validate_hello(&first)
}

async fn read_frame(
    context: &PeerContext,
    stream: &Async<TcpStream>,
    input: &mut BytesMut,
    max_bytes: usize,
) -> Option<Frame> {
    loop {
        match decode_frame(input, max_bytes) {
            Ok(Some(frame)) => return Some(frame),
            Ok(None) => {}
            Err(_) => return None,
        }
        match read_some(stream, input).await.ok()? {
            0 => return None,
            bytes => context.traffic.links.record_received(bytes),
        }
    }
}

fn notify_closed(context: &PeerContext, member: MemberId, serial: LinkSerial) {
    let closed = PeerLinksMessage::LinkClosed { member, serial };
    let _ = context.mailbox.try_send(closed);
}

/// The next frame to write.
enum Outgoing {
    Queued(Bytes),
    Heartbeat,
}

struct Link {
    context: Rc<PeerContext>,
    member: MemberId,
    stream: Async<TcpStream>,
    serial: LinkSerial,
    queue: Receiver<Bytes>,
    queued_bytes: Rc<Cell<usize>>,
}

impl Link {
    fn new(
        context: Rc<PeerContext>,
        member: MemberId,
        stream: Async<TcpStream>,
        outbox: &Outbox,
        queue: Receiver<Bytes>,
    ) -> Link {
        Link {
            context,
            member,
            stream,
            serial: outbox.serial,
            queue,
            queued_bytes: outbox.queued_bytes.clone(),
        }
    }

    /// Runs both directions until one of them fails or times out.
    async fn run(self, mut input: BytesMut, handshake: Handshake) {
        let reading = self.read_frames(&mut input, handshake);
        self.write_frames().or(reading).await;
        notify_closed(&self.context, self.member, self.serial);
    }

    async fn write_frames(&self) {
        let mut next = self.context.hello();
        loop {
            if !self.write(&next).await {
                return;
            }
            self.context.traffic.links.record_sent(next.len());
            next = match self.next_outgoing().await {
                Some(Outgoing::Queued(frame)) => {
                    let queued_bytes = self.queued_bytes.get().saturating_sub(frame.len());
                    self.queued_bytes.set(queued_bytes);
                    frame
                }
                Some(Outgoing::Heartbeat) => encode_frame(&Frame::Heartbeat),
                None => return,
            };
        }
    }

    async fn write(&self, frame: &[u8]) -> bool {
        let write = async { (&self.stream).write_all(frame).await.is_ok() };
        let timeout = async {
            Timer::after(WRITE_TIMEOUT).await;
            false
        };
        write.or(timeout).await
    }

    /// Waits for the next queued frame or heartbeat. Returns `None` when the last outbox is
    /// dropped.
    async fn next_outgoing(&self) -> Option<Outgoing> {
        let queued = async { self.queue.recv().await.ok().map(Outgoing::Queued) };
        let heartbeat = async {
            Timer::after(HEARTBEAT_INTERVAL).await;
            Some(Outgoing::Heartbeat)
        };
        queued.or(heartbeat).await
    }

    async fn read_frames(&self, input: &mut BytesMut, mut handshake: Handshake) {
        let (unhandled, guard_slots) = async_channel::bounded(MAX_UNHANDLED_MESSAGES);
        let mut silence_deadline = Instant::now() + SILENCE_TIMEOUT;
        let mut frames: usize = 0;
        while let Some(frame) = self.read_until(input, silence_deadline).await {
            if handshake == Handshake::Expected
                && self.context.validate_hello(&frame) != Some(self.member)
            {
                return;
            }
            handshake = Handshake::Done;
            if !self.deliver(frame, &unhandled, &guard_slots).await {
                return;
            }
            silence_deadline = Instant::now() + SILENCE_TIMEOUT;
            frames += 1;
            if frames.is_multiple_of(MESSAGES_BEFORE_YIELD) {
                yield_now().await;
            }
        }
    }

    async fn read_until(&self, input: &mut BytesMut, silence_deadline: Instant) -> Option<Frame> {
        let silent = async {
            Timer::at(silence_deadline).await;
            None
        };
        read_frame(&self.context, &self.stream, input, MAX_FRAME_BYTES)
            .or(silent)
            .await
    }

    /// Passes a message to the scheduler. Waits while [`MAX_UNHANDLED_MESSAGES`] earlier ones are
    /// unhandled. Returns false if the link has to close.
    async fn deliver(
        &self,
        frame: Frame,
        unhandled: &Sender<()>,
        guard_slots: &Receiver<()>,
    ) -> bool {
        if let Frame::Hello { .. } | Frame::Heartbeat = frame {
            return true;
        }
        if unhandled.send(()).await.is_err() {
            return false;
        }
        let from = self.member;
        let guard = MessageGuard(guard_slots.clone());
        let event = match frame {
            Frame::Ownership(message) => PeerEvent::Ownership {
                from,
                message: Box::new(message),
                guard,
            },
            Frame::Coordination(message) => PeerEvent::Coordination {
                from,
                message: Box::new(message),
                guard,
            },
            Frame::Hello { .. } | Frame::Heartbeat => return true,
        };
        self.context.notify_scheduler(event);
        true
    }
}
