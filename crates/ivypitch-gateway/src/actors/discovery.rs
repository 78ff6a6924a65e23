//! Follows the discovery service: every event after the last one known, over connections that come and go, at the address
//! that the configuration last gave. Which events are accepted, and when a lost connection is retried, is decided by
//! [`EndpointWatch`].

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bytes::{Bytes, BytesMut};
use futures_lite::{AsyncWriteExt, FutureExt};
use ivypitch_discovery::{EndpointWatch, WatchDecision, WatchLine};

use super::messages::{SchedulerMessage, WatchEventLine};
use super::socket::read_some;
use crate::lifecycle::clock::Clock;
use crate::state::traffic::Traffic;
use crate::wire::discovery::{self, Line, WatchEvent};

/// A line comes at least each second; after two without one the connection counts as dead.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A message to this actor.
#[derive(Debug)]
pub enum DiscoveryMessage {
    /// The discovery service is at another address from now on.
    SetAddress(SocketAddr),
    /// The line of an event that another gateway relayed.
    RelayedEvent(Bytes),
}

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("no connection in time")]
    ConnectTimeout,
    #[error("silent")]
    Silent,
    #[error("closed")]
    Closed,
    #[error("events missing")]
    EventsMissing,
    #[error("line too long")]
    LineTooLong,
    #[error("line not understood: {0}")]
    MalformedLine(#[from] discovery::LineError),
    #[error("event {position} after {last_position}")]
    Gap { position: u64, last_position: u64 },
}

/// What a [`DiscoveryActor`] starts with.
pub struct DiscoveryParams {
    /// The watch, behind the last event that the configuration holds.
    pub watch: EndpointWatch,
    /// The gateway's clock.
    pub clock: Clock,
    /// A connection with a longer line is closed.
    pub max_line_bytes: usize,
    /// Gets the changes of the endpoint list.
    pub scheduler: Sender<SchedulerMessage>,
    /// Whether the scheduler's actor also gets each line, to relay events to other gateways.
    pub reports_lines: bool,
    /// Counts the bytes.
    pub traffic: Rc<Traffic>,
}

/// Follows the discovery service. The endpoint list stays as it is while the service cannot be reached; the next event is
/// accepted from whoever brings it first, the service or another gateway.
pub struct DiscoveryActor {
    watch: RefCell<EndpointWatch>,
    clock: Clock,
    max_line_bytes: usize,
    scheduler: Sender<SchedulerMessage>,
    reports_lines: bool,
    traffic: Rc<Traffic>,
}

impl DiscoveryActor {
    /// An actor that is not connected.
    pub fn new(params: DiscoveryParams) -> DiscoveryActor {
        DiscoveryActor {
            watch: RefCell::new(params.watch),
            clock: params.clock,
            max_line_bytes: params.max_line_bytes,
            scheduler: params.scheduler,
            reports_lines: params.reports_lines,
            traffic: params.traffic,
        }
    }

    /// Follows the address given last; from a new one at once, behind the last event of the old one. Ends with the
    /// senders of `mailbox`.
    pub async fn run(self, address: Option<SocketAddr>, mailbox: Receiver<DiscoveryMessage>) {
        let mut following = self.follow(address);
        loop {
            let message = async { Ok(mailbox.recv().await) };
            match message.or(async { Err(following.as_mut().await) }).await {
                Ok(Ok(DiscoveryMessage::SetAddress(address))) => {
                    following = self.follow(Some(address));
                }
                Ok(Ok(DiscoveryMessage::RelayedEvent(line))) => {
                    // A relayed event that does not come next is ignored.
                    let _ = self.on_line(&line);
                }
                // The program has ended.
                Ok(Err(_)) => return,
            }
        }
    }

    /// Never completes.
    fn follow(&self, address: Option<SocketAddr>) -> Pin<Box<dyn Future<Output = Never> + '_>> {
        Box::pin(async move {
            let Some(address) = address else {
                return std::future::pending().await;
            };
            let mut subscription = Subscription {
                actor: self,
                address,
                is_healthy: true,
            };
            subscription.keep_open().await
        })
    }

    fn last_position(&self) -> u64 {
        self.watch.borrow().last_position()
    }

    fn notify_scheduler(&self, message: SchedulerMessage) {
        // Fails only as the program ends.
        let _ = self.scheduler.try_send(message);
    }

    /// Acts on one line. An error asks for a new subscription.
    fn on_line(&self, line: &[u8]) -> Result<(), WatchError> {
        match discovery::parse_line(line) {
            Ok(Line::LastPosition(position)) => {
                self.decide(WatchLine::LastPosition(position));
                Ok(())
            }
            Ok(Line::Event(event)) => self.on_event(event, line),
            Err(error) => match self.decide(WatchLine::Unusable) {
                WatchDecision::Resubscribe => Err(WatchError::MalformedLine(error)),
                _ => Ok(()),
            },
        }
    }

    fn on_event(&self, event: WatchEvent, line: &[u8]) -> Result<(), WatchError> {
        let last_position = self.last_position();
        let position = event.position;
        match self.decide(WatchLine::Event(position)) {
            WatchDecision::Accept => {}
            WatchDecision::AcceptOverGap => log::warn!(
                position, last_position;
                "endpoint event accepted over a gap"
            ),
            WatchDecision::Ignore => return Ok(()),
            WatchDecision::Resubscribe => {
                return Err(WatchError::Gap {
                    position,
                    last_position,
                });
            }
        }
        if let Some(update) = event.update {
            self.notify_scheduler(SchedulerMessage::EndpointsUpdated { update });
        }
        if self.reports_lines {
            let line = Bytes::copy_from_slice(line);
            self.notify_scheduler(SchedulerMessage::WatchLineRead {
                event: Some(WatchEventLine { position, line }),
            });
        }
        Ok(())
    }

    fn decide(&self, line: WatchLine) -> WatchDecision {
        self.watch.borrow_mut().on_line(self.clock.now(), line)
    }
}

/// The result of a future that never completes.
enum Never {}

/// The connections to one address, one after the other.
struct Subscription<'a> {
    actor: &'a DiscoveryActor,
    address: SocketAddr,
    /// False from the end of a connection until a line of the next one is accepted; each change is logged once.
    is_healthy: bool,
}

impl Subscription<'_> {
    async fn keep_open(&mut self) -> Never {
        loop {
            let error = match self.open().await {
                Ok(never) => match never {},
                Err(error) => error,
            };
            if self.is_healthy {
                let address = self.address;
                let position = self.actor.last_position();
                log::warn!(
                    address:%, position, reason:% = error;
                    "endpoint watch lost"
                );
            }
            self.is_healthy = false;
            let backoff = self.actor.watch.borrow_mut().next_backoff();
            Timer::after(Duration::from_nanos(backoff)).await;
        }
    }

    /// Connects, subscribes and reads until the connection ends.
    async fn open(&mut self) -> Result<Never, WatchError> {
        let connect = async { Ok(Async::<TcpStream>::connect(self.address).await?) };
        let connect_by = Instant::now() + CONNECT_TIMEOUT;
        let stream = connect
            .or(fail_at(connect_by, WatchError::ConnectTimeout))
            .await?;
        self.actor.watch.borrow_mut().on_subscribed();
        let request = discovery::watch_request(self.actor.last_position());
        (&stream).write_all(request.as_bytes()).await?;
        self.actor.traffic.journal.record_sent(request.len());
        let mut input = BytesMut::new();
        let mut silent_at = Instant::now() + SILENCE_TIMEOUT;
        loop {
            while let Some(end) = input.iter().position(|&byte| byte == b'\n') {
                self.on_line(&input.split_to(end + 1))?;
                silent_at = Instant::now() + SILENCE_TIMEOUT;
            }
            if input.len() > self.actor.max_line_bytes {
                return Err(WatchError::LineTooLong);
            }
            self.read(&stream, &mut input, silent_at).await?;
        }
    }

    fn on_line(&mut self, line: &[u8]) -> Result<(), WatchError> {
        self.actor.on_line(line)?;
        if self.actor.reports_lines {
            let message = SchedulerMessage::WatchLineRead { event: None };
            self.actor.notify_scheduler(message);
        }
        if !self.is_healthy {
            let address = self.address;
            let position = self.actor.last_position();
            log::info!(address:%, position; "endpoint watch resumed");
            self.is_healthy = true;
        }
        Ok(())
    }

    /// Waits for more input.
    async fn read(
        &self,
        stream: &Async<TcpStream>,
        input: &mut BytesMut,
        silent_at: Instant,
    ) -> Result<(), WatchError> {
        let watch = &self.actor.watch;
        let missing_at = watch
            .borrow()
            .missing_events_deadline()
            .map(|at| self.actor.clock.instant(at));
        let read = async { Ok(read_some(stream, input).await?) };
        let events_missing = async {
            match missing_at {
                Some(at) => fail_at(at, WatchError::EventsMissing).await,
                None => std::future::pending().await,
            }
        };
        let silent = fail_at(silent_at, WatchError::Silent);
        match read.or(events_missing).or(silent).await {
            Ok(0) => Err(WatchError::Closed),
            Ok(bytes) => {
                self.actor.traffic.journal.record_received(bytes);
                Ok(())
            }
            Err(error) => {
                if missing_at.is_some_and(|at| at <= Instant::now()) {
                    watch.borrow_mut().on_events_missing();
                }
                Err(error)
            }
        }
    }
}

async fn fail_at<T>(at: Instant, error: WatchError) -> Result<T, WatchError> {
    Timer::at(at).await;
    Err(error)
}
