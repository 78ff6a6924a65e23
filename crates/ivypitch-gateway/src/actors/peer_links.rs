//! The other gateways: members by datagrams, and one link to each that something is said to. The only actor that talks
//! to a peer; what it hears goes to the module's actor as calls.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bytes::{Bytes, BytesMut};
use futures_lite::{AsyncWriteExt, FutureExt};
use ivypitch_coordination::{CoordinationMessage, GossipMessage};
use ivypitch_membership::{
    MemberList, MemberState, Membership, MembershipConfig, MembershipEvent, MembershipParams,
    OutgoingDatagram,
};
use ivypitch_ownership::Message;
use ivypitch_types::{MemberId, ProcessId};

use super::messages::SchedulerMessage;
use super::socket::read_some;
use crate::lifecycle::clock::Clock;
use crate::state::traffic::Traffic;
use crate::wire::peers::{self, Frame};

const CONNECT: Duration = Duration::from_millis(250);
const HELLO: Duration = Duration::from_secs(1);
const BEAT: Duration = Duration::from_millis(200);
/// A link on which nothing comes for so long is dead.
const SILENT: Duration = Duration::from_secs(1);
/// What is written and not taken in this time ends the link.
const UNTAKEN: Duration = Duration::from_secs(1);
/// Bytes that wait for a peer that does not read; what comes beyond is dropped, as a broken link would.
const MOST_WAITING: usize = 1 << 20;
/// Messages of one peer that the module has not taken yet; then nothing more is read from it.
const MOST_UNTAKEN: usize = 64;
/// Links that others may have opened to here at once, over the number of seats.
const MORE_LINKS: usize = 32;
const LARGEST_DATAGRAM: usize = 2048;
/// Datagrams of what is shared that the module has not taken yet; then they are dropped.
const MOST_GOSSIP: usize = 256;
/// Of all that gateways say to each other: members of another version are not spoken to.
pub const VERSION: u16 =
    ivypitch_ownership::VERSION * 100 + ivypitch_coordination::PROTOCOL_VERSION;

/// To this actor.
pub enum PeersMessage {
    Tell {
        to: u16,
        message: Message,
    },
    /// Of what is shared: on the link, and as a datagram.
    Say {
        to: u16,
        message: CoordinationMessage,
    },
    Gossip {
        to: u16,
        gossip: GossipMessage,
    },
    /// This process ends.
    GrantDecision,
    Linked {
        place: u16,
        outbox: Outbox,
        by_them: bool,
    },
    Over {
        place: u16,
        serial: u64,
    },
}

/// What the module hears of peers.
pub enum Peer {
    Heard {
        from: u16,
        message: Box<Message>,
        _receipt: Receipt,
    },
    Shared {
        from: u16,
        message: Box<CoordinationMessage>,
        _receipt: Receipt,
    },
    Gossip(Box<GossipMessage>, Taken),
    Up {
        place: u16,
        birth: u64,
    },
    Down {
        place: u16,
        birth: u64,
    },
    Suspected {
        place: u16,
        is: bool,
    },
}

/// Dropped as the module has taken the message: the peer's next may be read.
pub struct Receipt(Receiver<()>);

impl Drop for Receipt {
    fn drop(&mut self) {
        let _ = self.0.try_recv();
    }
}

/// Dropped as the module has taken the datagram.
pub struct Taken(Rc<Cell<usize>>);

impl Drop for Taken {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// What is to be written on a link.
#[derive(Clone)]
pub struct Outbox {
    serial: u64,
    frames: Sender<Bytes>,
    waiting: Rc<Cell<usize>>,
}

pub struct Start {
    pub members: MemberList,
    pub process: ProcessId,
    pub listen: SocketAddr,
    pub membership: MembershipConfig,
    pub seed: u64,
    pub traffic: Rc<Traffic>,
}

struct Shared {
    roster: MemberList,
    place: u16,
    birth: u64,
    clock: Clock,
    module: Sender<SchedulerMessage>,
    mailbox: Sender<PeersMessage>,
    executor: Rc<LocalExecutor<'static>>,
    traffic: Rc<Traffic>,
    serial: Cell<u64>,
    /// Links that others opened to here.
    accepted: Cell<usize>,
    /// Births that were refused, each told once.
    strangers: RefCell<BTreeMap<u16, u64>>,
}

pub struct Peers {
    shared: Rc<Shared>,
    members: Membership,
    datagrams: Async<UdpSocket>,
    links: BTreeMap<u16, Outbox>,
    suspected: Vec<bool>,
    /// A peer whose link is full is told of once.
    full: BTreeMap<u16, u64>,
    gossip_waits: Rc<Cell<usize>>,
}

impl Peers {
    /// Binds both sockets; an error ends the program before it has taken anything.
    pub fn start(
        start: Start,
        clock: Clock,
        module: Sender<SchedulerMessage>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Result<Sender<PeersMessage>, String> {
        let bound = |e: std::io::Error| format!("peers.listen {}: {e}", start.listen);
        let datagrams = Async::<UdpSocket>::bind(start.listen).map_err(bound)?;
        let listener = Async::<TcpListener>::bind(start.listen).map_err(bound)?;
        let (mailbox, letters) = async_channel::unbounded();
        let seats = start.members.len();
        let members = Membership::new(MembershipParams {
            members: start.members.clone(),
            process: start.process,
            protocol_version: VERSION,
            config: start.membership,
            seed: start.seed,
            now: clock.now(),
        });
        let shared = Rc::new(Shared {
            roster: start.members,
            place: start.process.member.0,
            birth: start.process.incarnation.0,
            clock,
            module,
            mailbox: mailbox.clone(),
            executor: executor.clone(),
            traffic: start.traffic,
            serial: Cell::new(0),
            accepted: Cell::new(0),
            strangers: RefCell::default(),
        });
        let peers = Peers {
            shared: shared.clone(),
            members,
            datagrams,
            links: BTreeMap::new(),
            suspected: vec![false; seats],
            full: BTreeMap::new(),
            gossip_waits: Rc::default(),
        };
        executor.spawn(accept(listener, shared)).detach();
        executor.spawn(peers.run(letters)).detach();
        log::info!(
            "peers: {seats} gateways listed, this one is {} at {}",
            start.process.member.0,
            start.listen
        );
        Ok(mailbox)
    }

    async fn run(mut self, letters: Receiver<PeersMessage>) {
        let mut datagram = [0; LARGEST_DATAGRAM];
        loop {
            self.settle();
            let due = self.shared.clock.instant(self.members.next_timer());
            let timer = async {
                Timer::at(due).await;
                Step::Woken
            };
            let came = async {
                Step::Datagram(
                    self.datagrams
                        .recv_from(&mut datagram)
                        .await
                        .map_or(0, |(n, _)| n),
                )
            };
            let mail = async {
                letters
                    .recv()
                    .await
                    .map_or(Step::AttemptEnd, |mail| Step::Mail(Box::new(mail)))
            };
            // Mail first: it is bounded by what the module says; a flood of datagrams must not hold it up.
            let step = mail.or(came).or(timer).await;
            let now = self.shared.clock.now();
            if let Step::Datagram(n) = step {
                self.shared.traffic.datagrams.record_received(n);
            }
            match step {
                Step::Datagram(n) => match peers::read_gossip(&datagram[..n]) {
                    None => self.members.on_datagram(now, &datagram[..n]),
                    Some(Some(gossip)) if self.gossip_waits.get() < MOST_GOSSIP => {
                        self.gossip_waits.set(self.gossip_waits.get() + 1);
                        let taken = Taken(self.gossip_waits.clone());
                        let heard = Peer::Gossip(Box::new(gossip), taken);
                        let _ = self
                            .shared
                            .module
                            .try_send(SchedulerMessage::PeerEvent(heard));
                    }
                    // Not readable, or more than the module takes: dropped, as a network would.
                    Some(_) => {}
                },
                Step::Mail(mail) => self.take(*mail),
                Step::Woken => {}
                Step::AttemptEnd => return,
            }
            // However many datagrams come, what is due is done.
            if self.members.next_timer() <= now {
                self.members.on_timer(now);
            }
        }
    }

    /// Sends what the members want sent, and tells the module what they say.
    fn settle(&mut self) {
        while let Some(OutgoingDatagram { to, data }) = self.members.next_datagram() {
            let Some(seat) = self.shared.roster.get(to) else {
                continue;
            };
            // A full socket drops it, as a network would.
            if self
                .datagrams
                .get_ref()
                .send_to(&data, seat.address)
                .is_ok()
            {
                self.shared.traffic.datagrams.record_sent(data.len());
            }
        }
        let tell = |peer| {
            drop(
                self.shared
                    .module
                    .try_send(SchedulerMessage::PeerEvent(peer)),
            )
        };
        while let Some(news) = self.members.next_event() {
            match news {
                MembershipEvent::MemberUp(process) => {
                    let (place, birth) = (process.member.0, process.incarnation.0);
                    log::info!("member {} is up", self.shared.name(place));
                    tell(Peer::Up { place, birth });
                }
                MembershipEvent::MemberDown(process) => {
                    let (place, birth) = (process.member.0, process.incarnation.0);
                    let heard = self.members.connectivity().reachable_members();
                    let of = self.shared.roster.len();
                    log::warn!(
                        "member {} is lost, {heard} of {of} heard",
                        self.shared.name(place)
                    );
                    self.links.remove(&place);
                    tell(Peer::Down { place, birth });
                }
                MembershipEvent::PartitionSuspicionChanged(doubt) => {
                    let heard = self.members.connectivity().reachable_members();
                    log::warn!("members: doubt of this gateway itself {doubt:?}, {heard} heard");
                }
                MembershipEvent::IncompatibleMember {
                    member,
                    protocol_version: version,
                    list_fingerprint: roster,
                } => log::warn!(
                    "member at place {} not spoken to: version {version}, list {roster:08x}; here {VERSION}, {:08x}",
                    member.0,
                    self.shared.roster.fingerprint()
                ),
            }
        }
        for place in 0..self.suspected.len() {
            let is = self.members.status(MemberId(place as u16)).state == MemberState::Suspected;
            if is != self.suspected[place] {
                self.suspected[place] = is;
                tell(Peer::Suspected {
                    place: place as u16,
                    is,
                });
            }
        }
    }

    fn take(&mut self, mail: PeersMessage) {
        match mail {
            PeersMessage::Tell { to, message } => self.tell(to, &Frame::Body(message)),
            PeersMessage::Say { to, message } => self.tell(to, &Frame::Coordination(message)),
            PeersMessage::Gossip { to, gossip } => {
                if let Some(seat) = self.shared.roster.get(MemberId(to)) {
                    let data = peers::write_gossip(&gossip);
                    if self
                        .datagrams
                        .get_ref()
                        .send_to(&data, seat.address)
                        .is_ok()
                    {
                        self.shared.traffic.datagrams.record_sent(data.len());
                    }
                }
            }
            PeersMessage::GrantDecision => self.members.leave(self.shared.clock.now()),
            PeersMessage::Linked {
                place,
                outbox,
                by_them,
            } => {
                // One link a pair: where both opened one, that of the lower place stays.
                let keep =
                    !self.links.contains_key(&place) || by_them == (place < self.shared.place);
                if keep {
                    self.links.insert(place, outbox);
                }
            }
            PeersMessage::Over { place, serial } => {
                if self
                    .links
                    .get(&place)
                    .is_some_and(|link| link.serial == serial)
                {
                    self.links.remove(&place);
                }
            }
        }
    }

    fn tell(&mut self, to: u16, frame: &Frame) {
        let Some(seat) = self.shared.roster.get(MemberId(to)) else {
            return;
        };
        let address = seat.address;
        let link = self.links.entry(to).or_insert_with(|| {
            let (outbox, frames) = self.shared.outbox();
            let task = dial(self.shared.clone(), to, address, outbox.clone(), frames);
            self.shared.executor.spawn(task).detach();
            outbox
        });
        let frame = peers::write(frame);
        if link.waiting.get() + frame.len() > MOST_WAITING {
            if self.full.insert(to, link.serial) != Some(link.serial) {
                log::warn!(
                    "member {} does not read: messages to it are dropped",
                    self.shared.name(to)
                );
            }
            return;
        }
        link.waiting.set(link.waiting.get() + frame.len());
        let _ = link.frames.try_send(frame);
    }
}

enum Step {
    Datagram(usize),
    Mail(Box<PeersMessage>),
    Woken,
    AttemptEnd,
}

impl Shared {
    fn name(&self, place: u16) -> &str {
        self.roster
            .get(MemberId(place))
            .map_or("?", |seat| &seat.name)
    }

    fn outbox(&self) -> (Outbox, Receiver<Bytes>) {
        self.serial.set(self.serial.get() + 1);
        let (frames, to_write) = async_channel::unbounded();
        (
            Outbox {
                serial: self.serial.get(),
                frames,
                waiting: Rc::new(Cell::new(0)),
            },
            to_write,
        )
    }

    /// Whose first frame this is, where it is of this version and list; a stranger is told of once.
    fn spoken_to(&self, first: &Frame) -> Option<u16> {
        let &Frame::Hello {
            version,
            roster,
            place,
            birth,
        } = first
        else {
            return None;
        };
        if version == VERSION && roster == self.roster.fingerprint() && place != self.place {
            return (usize::from(place) < self.roster.len()).then_some(place);
        }
        if usize::from(place) < self.roster.len()
            && self.strangers.borrow_mut().insert(place, birth) != Some(birth)
        {
            log::warn!(
                "link from place {place} refused: version {version}, list {roster:08x}; here {VERSION}, {:08x}",
                self.roster.fingerprint()
            );
        }
        None
    }

    fn hello(&self) -> Bytes {
        let (roster, place, birth) = (self.roster.fingerprint(), self.place, self.birth);
        peers::write(&Frame::Hello {
            version: VERSION,
            roster,
            place,
            birth,
        })
    }
}

async fn accept(listener: Async<TcpListener>, shared: Rc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if shared.accepted.get() >= shared.roster.len() + MORE_LINKS {
                    continue;
                }
                shared.accepted.set(shared.accepted.get() + 1);
                let on = shared.clone();
                let task = async move {
                    accepted(&on, stream).await;
                    on.accepted.set(on.accepted.get() - 1);
                };
                shared.executor.spawn(task).detach();
            }
            Err(_) => {
                Timer::after(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn accepted(shared: &Rc<Shared>, stream: Async<TcpStream>) {
    let _ = stream.get_ref().set_nodelay(true);
    let mut input = BytesMut::new();
    let Some(place) = hear_hello(shared, &stream, &mut input).await else {
        return;
    };
    let (outbox, frames) = shared.outbox();
    let linked = PeersMessage::Linked {
        place,
        outbox: outbox.clone(),
        by_them: true,
    };
    let _ = shared.mailbox.try_send(linked);
    converse(shared, place, true, stream, input, outbox, frames).await;
}

async fn dial(
    shared: Rc<Shared>,
    place: u16,
    address: SocketAddr,
    outbox: Outbox,
    frames: Receiver<Bytes>,
) {
    let connect = async { Async::<TcpStream>::connect(address).await.ok() };
    let late = async {
        Timer::after(CONNECT).await;
        None
    };
    let serial = outbox.serial;
    if let Some(stream) = connect.or(late).await {
        let _ = stream.get_ref().set_nodelay(true);
        converse(
            &shared,
            place,
            false,
            stream,
            BytesMut::new(),
            outbox,
            frames,
        )
        .await;
    }
    let _ = shared
        .mailbox
        .try_send(PeersMessage::Over { place, serial });
}

/// Who is there; `None`: nobody that is spoken to.
async fn hear_hello(
    shared: &Shared,
    stream: &Async<TcpStream>,
    input: &mut BytesMut,
) -> Option<u16> {
    let late = async {
        Timer::after(HELLO).await;
        None
    };
    let first = async { next_frame(shared, stream, input).await };
    first
        .or(late)
        .await
        .and_then(|frame| shared.spoken_to(&frame))
}

async fn next_frame(
    shared: &Shared,
    stream: &Async<TcpStream>,
    input: &mut BytesMut,
) -> Option<Frame> {
    loop {
        match peers::next(input) {
            Ok(Some(frame)) => return Some(frame),
            Ok(None) => {}
            Err(_) => return None,
        }
        match read_some(stream, input).await.ok()? {
            0 => return None,
            n => shared.traffic.links.record_received(n),
        }
    }
}

/// Both ways until either breaks or falls silent. `greeted`: the other's first frame has been looked at.
async fn converse(
    shared: &Rc<Shared>,
    place: u16,
    mut greeted: bool,
    stream: Async<TcpStream>,
    mut input: BytesMut,
    outbox: Outbox,
    frames: Receiver<Bytes>,
) {
    let stream = Rc::new(stream);
    let serial = outbox.serial;
    let waiting = outbox.waiting.clone();
    // The outbox that is left in the table of links keeps the writing up.
    drop(outbox);
    let writing = async {
        let mut next = shared.hello();
        loop {
            let written = async { (&*stream).write_all(&next).await.is_ok() };
            let late = async {
                Timer::after(UNTAKEN).await;
                false
            };
            if !written.or(late).await {
                return;
            }
            shared.traffic.links.record_sent(next.len());
            let said = async { frames.recv().await.ok().map(|frame| (frame.len(), frame)) };
            let beat = async {
                Timer::after(BEAT).await;
                Some((0, peers::write(&Frame::Beat)))
            };
            let Some((bytes, frame)) = said.or(beat).await else {
                return;
            };
            waiting.set(waiting.get().saturating_sub(bytes));
            next = frame;
        }
    };
    let reading = async {
        let (untaken, receipts) = async_channel::bounded(MOST_UNTAKEN);
        let mut silent_at = Instant::now() + SILENT;
        loop {
            let late = async {
                Timer::at(silent_at).await;
                None
            };
            let frame = async { next_frame(shared, &stream, &mut input).await };
            let Some(frame) = frame.or(late).await else {
                return;
            };
            if !std::mem::replace(&mut greeted, true) && shared.spoken_to(&frame) != Some(place) {
                return;
            }
            if let Frame::Body(_) | Frame::Coordination(_) = frame {
                // Nothing more is read until the module has taken enough of what came before.
                if untaken.send(()).await.is_err() {
                    return;
                }
                let _receipt = Receipt(receipts.clone());
                let heard = match frame {
                    Frame::Body(message) => Peer::Heard {
                        from: place,
                        message: Box::new(message),
                        _receipt,
                    },
                    Frame::Coordination(message) => Peer::Shared {
                        from: place,
                        message: Box::new(message),
                        _receipt,
                    },
                    Frame::Hello { .. } | Frame::Beat => return,
                };
                let _ = shared.module.try_send(SchedulerMessage::PeerEvent(heard));
            }
            silent_at = Instant::now() + SILENT;
        }
    };
    writing.or(reading).await;
    let _ = shared
        .mailbox
        .try_send(PeersMessage::Over { place, serial });
}
