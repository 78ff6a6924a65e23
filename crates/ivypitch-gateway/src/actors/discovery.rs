//! Watches the endpoint list at the discovery service, at the address that the configuration gave
//! last. The watch reconnects when a connection is lost and continues after the last known event.
//! [`EndpointWatch`] decides which events are accepted and when a lost connection is retried.

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
use crate::wire::lines::LineBuffer;

/// The discovery service sends a line at least once a second; a connection on which nothing arrives
/// for this time counts as dead.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A message to this actor.
#[derive(Debug)]
pub enum DiscoveryMessage {
    /// The discovery service has a new address.
    SetAddress(SocketAddr),
    /// An event line that another gateway relayed.
    RelayedEvent(Bytes),
}

/// Why a watch connection ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("connect timed out")]
    ConnectTimeout,
    #[error("silent")]
    Silent,
    #[error("closed")]
    Closed,
    #[error("events missing")]
    EventsMissing,
    #[error("line too long")]
    LineTooLong,
    #[error("line too slow")]
    LineTooSlow,
    #[error("malformed line: {0}")]
    MalformedLine(#[from] discovery::LineError),
    #[error("event {position} after {last_position}")]
    Gap { position: u64, last_position: u64 },
}

/// Parameters of a [`DiscoveryActor`].
pub struct DiscoveryParams {
    /// The watch, positioned after the last event in the configuration.
    pub watch: EndpointWatch,
    /// The gateway's clock.
    pub clock: Clock,
    /// A connection that sends a longer line is closed.
    pub max_line_bytes: usize,
    /// Receives the changes of the endpoint list.
    pub scheduler: Sender<SchedulerMessage>,
    /// Whether the scheduler's actor also receives each line, to relay events to other gateways.
    pub reports_lines: bool,
    /// Counts sent and received bytes.
    pub traffic: Rc<Traffic>,
}

/// Watches the endpoint list. While the discovery service cannot be reached, the list stays
/// unchanged. An event is accepted from the first source that delivers it, the service or another
/// gateway.
pub struct DiscoveryActor {
    watch: RefCell<EndpointWatch>,
    clock: Clock,
    max_line_bytes: usize,
    scheduler: Sender<SchedulerMessage>,
    reports_lines: bool,
    traffic: Rc<Traffic>,
}

impl DiscoveryActor {
    /// Creates an actor that is not connected.
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

    /// Watches at the most recent address. A new address takes effect at once and continues after
    /// the last event from the old one. Ends when all senders of `mailbox` are dropped.
    pub async fn run(self, address: Option<SocketAddr>, mailbox: Receiver<DiscoveryMessage>) {
        let mut following = self.follow(address);
        loop {
            let message = async { Ok(mailbox.recv().await) };
            match message.or(async { Err(following.as_mut().await) }).await {
                Ok(Ok(DiscoveryMessage::SetAddress(address))) => {
                    following = self.follow(Some(address));
                }
                Ok(Ok(DiscoveryMessage::RelayedEvent(line))) => {
                    // A relayed event that is not the next one is ignored.
                    let _ = self.on_line(&line);
                }
                // The program is shutting down.
                Ok(Err(_)) => return,
            }
        }
    }

    /// Watches at `address`. Never completes.
    fn follow(&self, address: Option<SocketAddr>) -> Pin<Box<dyn Future<Output = Never> + '_>> {
        Box::pin(async move {
            let Some(address) = address else {
                return std::future::pending().await;
            };
            let mut subscription = Subscription {
                actor: self,
                address,
                is_watch_up: true,
            };
            subscription.keep_open().await
        })
    }

    fn last_position(&self) -> u64 {
        self.watch.borrow().last_position()
    }

    fn notify_scheduler(&self, message: SchedulerMessage) {
        // Fails only when the program shuts down.
        let _ = self.scheduler.try_send(message);
    }

    /// Handles one line. An error requires a new subscription.
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

/// The result type of a future that never completes.
enum Never {}

/// The watch at one address, over successive connections.
struct Subscription<'a> {
    actor: &'a DiscoveryActor,
    address: SocketAddr,
    /// False from the loss of a connection until a line of the next one is accepted. Each change is
    /// logged once.
    is_watch_up: bool,
}

impl Subscription<'_> {
    async fn keep_open(&mut self) -> Never {
        loop {
            let error = match self.open().await {
                Ok(never) => match never {},
                Err(error) => error,
            };
            if self.is_watch_up {
                let address = self.address;
                let position = self.actor.last_position();
                log::warn!(
                    address:%, position, reason:% = error;
                    "endpoint watch lost"
                );
            }
            self.is_watch_up = false;
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
        let mut lines = LineBuffer::default();
        let mut line_deadline = None;
        loop {
            while let Some(line) = lines.next_line() {
                self.on_line(&line)?;
                line_deadline = None;
            }
            if lines.len() > self.actor.max_line_bytes {
                return Err(WatchError::LineTooLong);
            }
            if !lines.is_empty() {
                line_deadline.get_or_insert_with(|| Instant::now() + self.line_timeout());
            }
            self.read(&stream, lines.input_mut(), line_deadline).await?;
        }
    }

    fn line_timeout(&self) -> Duration {
        Duration::from_nanos(self.actor.watch.borrow().line_timeout())
    }

    fn on_line(&mut self, line: &[u8]) -> Result<(), WatchError> {
        self.actor.on_line(line)?;
        if self.actor.reports_lines {
            let message = SchedulerMessage::WatchLineRead { event: None };
            self.actor.notify_scheduler(message);
        }
        if !self.is_watch_up {
            let address = self.address;
            let position = self.actor.last_position();
            log::info!(address:%, position; "endpoint watch resumed");
            self.is_watch_up = true;
        }
        Ok(())
    }

    /// Waits for more input. While a line arrives, which has to be complete at `line_deadline`, no
    /// event counts as missing: it may be that line.
    async fn read(
        &self,
        stream: &Async<TcpStream>,
        input: &mut BytesMut,
        line_deadline: Option<Instant>,
    ) -> Result<(), WatchError> {
        let watch = &self.actor.watch;
        let missing_events_at = watch
            .borrow()
            .missing_events_deadline()
            .filter(|_| line_deadline.is_none())
            .map(|at| self.actor.clock.instant(at));
        let read = async { Ok(read_some(stream, input).await?) };
        let events_missing = async {
            match missing_events_at {
                Some(at) => fail_at(at, WatchError::EventsMissing).await,
                None => std::future::pending().await,
            }
        };
        let line_too_slow = async {
            match line_deadline {
                Some(at) => fail_at(at, WatchError::LineTooSlow).await,
                None => std::future::pending().await,
            }
        };
        let silent = fail_at(Instant::now() + SILENCE_TIMEOUT, WatchError::Silent);
        match read.or(events_missing).or(line_too_slow).or(silent).await {
            Ok(0) => Err(WatchError::Closed),
            Ok(bytes) => {
                self.actor.traffic.journal.record_received(bytes);
                Ok(())
            }
            Err(error) => {
                match error {
                    WatchError::EventsMissing => watch.borrow_mut().on_events_missing(),
                    WatchError::LineTooSlow => watch.borrow_mut().on_line_timed_out(),
                    _ => {}
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
