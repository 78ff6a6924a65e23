//! Communication with the other gateways: datagrams for the membership protocol and gossip, and a
//! TCP link to each gateway that is sent messages. Only this actor communicates with other
//! gateways; it passes received messages to the scheduler's actor as [`PeerEvent`]s.

mod connection;
mod context;
mod datagrams;
mod links;
mod messages;
mod unidentified;

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future::yield_now};
use ivypitch_membership::{
    MemberList, Membership, MembershipConfig, MembershipEvent, MembershipParams,
};
use ivypitch_types::ProcessId;

use self::context::{PeerContext, PeerContextParams};
use self::datagrams::{Datagrams, MAX_DATAGRAM_BYTES};
pub use self::links::LinkSerial;
use self::links::LinkTable;
pub use self::messages::{AcceptedLink, GossipGuard, MessageGuard, PeerEvent, PeerLinksMessage};
pub(crate) use self::unidentified::MAX_UNIDENTIFIED_CONNECTIONS;
use super::messages::SchedulerMessage;
use crate::lifecycle::clock::Clock;
use crate::state::traffic::Traffic;
use crate::wire::peer_frames::Frame;

/// Version of all messages between gateways. Messages of another version are ignored.
pub const PROTOCOL_VERSION: u16 =
    ivypitch_ownership::VERSION * 100 + ivypitch_coordination::PROTOCOL_VERSION;

/// Messages handled in a row, from one source, before other tasks may run.
const MESSAGES_BEFORE_YIELD: usize = 32;

/// Parameters of [`PeerLinks`].
pub struct PeerLinksParams {
    /// The gateways of the fleet.
    pub members: MemberList,
    /// This process.
    pub process: ProcessId,
    /// The address on which datagrams are received and links are accepted.
    pub listen: SocketAddr,
    /// Settings of the failure detector.
    pub membership: MembershipConfig,
    /// Seed of the random numbers that the membership protocol draws.
    pub seed: u64,
    /// Counts sent and received bytes.
    pub traffic: Rc<Traffic>,
    /// The gateway's clock.
    pub clock: Clock,
    /// Receives the events.
    pub scheduler: Sender<SchedulerMessage>,
    /// Runs the tasks of the actor and its links.
    pub executor: Rc<LocalExecutor<'static>>,
}

/// The address for other gateways cannot be bound.
#[derive(Debug, thiserror::Error)]
#[error("peers.listen {address}: {source}")]
pub struct BindError {
    address: SocketAddr,
    source: io::Error,
}

/// The actor that communicates with the other gateways.
pub struct PeerLinks {
    context: Rc<PeerContext>,
    datagrams: Datagrams,
    links: LinkTable,
}

/// The event that ends a wait of the actor.
enum Wakeup {
    Datagram {
        bytes: usize,
    },
    Message(Box<PeerLinksMessage>),
    Timer,
    /// The program is shutting down.
    MailboxClosed,
}

impl PeerLinks {
    /// Binds the sockets, starts the actor and returns its mailbox.
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
        let context = Rc::new(PeerContext::new(PeerContextParams {
            members: params.members,
            own_process: params.process,
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
        let mut wakeups: usize = 0;
        loop {
            wakeups += 1;
            if wakeups.is_multiple_of(MESSAGES_BEFORE_YIELD) {
                yield_now().await;
            }
            self.apply_membership();
            let wakeup = self.next_wakeup(&messages, &mut buffer).await;
            let now = self.context.clock.now();
            match wakeup {
                Wakeup::Datagram { bytes } => self.datagrams.on_datagram(now, &buffer[..bytes]),
                Wakeup::Message(message) => self.on_message(*message),
                Wakeup::Timer => {}
                Wakeup::MailboxClosed => return,
            }
            // Timers also fire while many datagrams arrive.
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
        // Messages first: the scheduler bounds them, and a flood of datagrams must not delay them.
        message.or(datagram).or(timer).await
    }

    /// Sends the membership protocol's datagrams and applies its events and suspicions.
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
    let member = context.name(context.own_process.member);
    let members = context.members.len();
    log::info!(
        member, members, address:%;
        "peer links started"
    );
}
