//! The other gateways: the membership protocol and gossip by datagrams, and a link to each gateway that something is sent
//! to. This is the only actor that talks to them; what it receives goes to the scheduler's actor as [`PeerEvent`]s.

mod connection;
mod context;
mod datagrams;
mod links;
mod messages;

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use ivypitch_membership::{
    MemberList, Membership, MembershipConfig, MembershipEvent, MembershipParams,
};
use ivypitch_types::ProcessId;

use self::context::{PeerContext, PeerContextParts};
use self::datagrams::{Datagrams, MAX_DATAGRAM_BYTES};
pub use self::links::LinkSerial;
use self::links::LinkTable;
pub use self::messages::{AcceptedLink, GossipGuard, MessageGuard, PeerEvent, PeerLinksMessage};
use super::messages::SchedulerMessage;
use crate::lifecycle::clock::Clock;
use crate::state::traffic::Traffic;
use crate::wire::peer_frames::Frame;

/// Version of all messages between gateways: those of another version are ignored.
pub const PROTOCOL_VERSION: u16 =
    ivypitch_ownership::VERSION * 100 + ivypitch_coordination::PROTOCOL_VERSION;

/// What the peer links start with.
pub struct PeerLinksParams {
    /// The fleet.
    pub members: MemberList,
    /// This process.
    pub process: ProcessId,
    /// Where datagrams are received and links accepted.
    pub listen: SocketAddr,
    /// Failure detection.
    pub membership: MembershipConfig,
    /// For random choices.
    pub seed: u64,
    /// Counts the bytes.
    pub traffic: Rc<Traffic>,
    /// The gateway's clock.
    pub clock: Clock,
    /// Gets the events.
    pub scheduler: Sender<SchedulerMessage>,
    /// Runs the actor and its links.
    pub executor: Rc<LocalExecutor<'static>>,
}

/// The address for other gateways cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("peers.listen {address}: {source}")]
pub struct BindError {
    address: SocketAddr,
    source: io::Error,
}

/// The actor.
pub struct PeerLinks {
    context: Rc<PeerContext>,
    datagrams: Datagrams,
    links: LinkTable,
}

/// What the actor wakes up for.
enum Wakeup {
    Datagram {
        bytes: usize,
    },
    Message(Box<PeerLinksMessage>),
    Timer,
    /// The program has ended.
    MailboxClosed,
}

impl PeerLinks {
    /// Binds the sockets and starts the actor. Returns its mailbox.
    ///
    /// # Errors
    ///
    /// One of the sockets cannot be bound.
    pub fn start(params: PeerLinksParams) -> Result<Sender<PeerLinksMessage>, BindError> {
        let address = params.listen;
        let bind_error = |source| BindError { address, source };
        let socket = Async::<UdpSocket>::bind(address).map_err(bind_error)?;
        let listener = Async::<TcpListener>::bind(address).map_err(bind_error)?;
        let (mailbox, messages) = async_channel::unbounded();
        let membership = Membership::new(MembershipParams {
            member_list: params.members.clone(),
            process: params.process,
            protocol_version: PROTOCOL_VERSION,
            config: params.membership,
            seed: params.seed,
            now: params.clock.now(),
        });
        let executor = params.executor;
        let context = Rc::new(PeerContext::new(PeerContextParts {
            members: params.members,
            process: params.process,
            clock: params.clock,
            scheduler: params.scheduler,
            mailbox: mailbox.clone(),
            executor: executor.clone(),
            traffic: params.traffic,
        }));
        let actor = PeerLinks {
            context: context.clone(),
            datagrams: Datagrams::new(context.clone(), socket, membership),
            links: LinkTable::new(context.clone()),
        };
        log_start(&context, address);
        executor
            .spawn(connection::accept_all(listener, context))
            .detach();
        executor.spawn(actor.run(messages)).detach();
        Ok(mailbox)
    }

    async fn run(mut self, messages: Receiver<PeerLinksMessage>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            self.apply_membership();
            let wakeup = self.next_wakeup(&messages, &mut buffer).await;
            let now = self.context.clock.now();
            match wakeup {
                Wakeup::Datagram { bytes } => self.datagrams.on_datagram(now, &buffer[..bytes]),
                Wakeup::Message(message) => self.on_message(*message),
                Wakeup::Timer => {}
                Wakeup::MailboxClosed => return,
            }
            // However many datagrams come, what is due is done.
            self.datagrams.on_timer(now);
        }
    }

    async fn next_wakeup(
        &self,
        messages: &Receiver<PeerLinksMessage>,
        buffer: &mut [u8],
    ) -> Wakeup {
        let timer_at = self.context.clock.instant(self.datagrams.next_timer());
        let timer = async {
            Timer::at(timer_at).await;
            Wakeup::Timer
        };
        let datagram = async {
            let bytes = self.datagrams.receive(buffer).await;
            Wakeup::Datagram { bytes }
        };
        let message = async {
            match messages.recv().await {
                Ok(message) => Wakeup::Message(Box::new(message)),
                Err(_) => Wakeup::MailboxClosed,
            }
        };
        // Messages first: the scheduler bounds them; a flood of datagrams must not hold them up.
        message.or(datagram).or(timer).await
    }

    /// Carries out what the membership protocol wants.
    fn apply_membership(&mut self) {
        self.datagrams.flush();
        while let Some(event) = self.datagrams.take_event() {
            if let MembershipEvent::MemberDown(process) = event {
                self.links.on_member_down(process.member);
            }
        }
        self.datagrams.report_suspicions();
    }

    fn on_message(&mut self, message: PeerLinksMessage) {
        match message {
            PeerLinksMessage::SendOwnership { to, message } => {
                self.links.send(to, &Frame::Ownership(message));
            }
            PeerLinksMessage::SendCoordination { to, message } => {
                self.links.send(to, &Frame::Coordination(message));
            }
            PeerLinksMessage::SendGossip { to, gossip } => self.datagrams.send_gossip(to, &gossip),
            PeerLinksMessage::Leave => self.datagrams.leave(self.context.clock.now()),
            PeerLinksMessage::LinkAccepted(link) => self.links.on_accepted(link),
            PeerLinksMessage::LinkClosed { member, serial } => self.links.on_closed(member, serial),
        }
    }
}

fn log_start(context: &PeerContext, address: SocketAddr) {
    let member = context.name(context.process.member);
    let members = context.members.len();
    log::info!(
        member, members, address:%;
        "peer links started"
    );
}
