//! Follows the journal service: every event after the last one held, over connections that come and go, at the
//! address that the configuration gives last. What is taken, and when a lost one is asked for again, is
//! `ivypitch_discovery`'s.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bytes::{Bytes, BytesMut};
use futures_lite::{AsyncWriteExt, FutureExt};
use ivypitch_discovery::{Feed, Told, Verdict};

use super::messages::{SchedulerMessage, WatchEventLine};
use super::socket::read_some;
use crate::lifecycle::clock::Clock;
use crate::state::traffic::Traffic;
use crate::wire::discovery::{self, Line};

/// A whole line comes each second; after two without one the connection is taken for dead.
const SILENT: Duration = Duration::from_secs(2);
const CONNECT: Duration = Duration::from_millis(500);

async fn late<T>(at: Instant, what: &str) -> Result<T, String> {
    Timer::at(at).await;
    Err(what.to_owned())
}

/// To this actor.
pub enum ListMessage {
    /// The journal service is followed there from now on.
    Address(SocketAddr),
    /// A line of the journal that another gateway has told.
    Event(Bytes),
}

/// What is held of the list stays, whatever the service does. The next event is taken from whoever tells it first.
pub struct List {
    pub feed: RefCell<Feed>,
    pub clock: Clock,
    /// Longer lines are not read.
    pub longest_line: usize,
    pub module: Sender<SchedulerMessage>,
    /// The module's actor wants to hear of all that the journal says, for the other gateways.
    pub shares: bool,
    pub traffic: Rc<Traffic>,
}

impl List {
    /// Follows the address told last; a new one is followed at once, from where the old one was.
    pub async fn run(self, address: Option<SocketAddr>, mailbox: Receiver<ListMessage>) {
        let list = &self;
        let following = |address: Option<SocketAddr>| async move {
            match address {
                Some(at) => list.follow(at).await,
                None => std::future::pending().await,
            }
        };
        let mut follow: Pin<Box<dyn Future<Output = ListMessage>>> = Box::pin(following(address));
        loop {
            let told = async { mailbox.recv().await };
            match told.or(async { Ok(follow.as_mut().await) }).await {
                Ok(ListMessage::Address(new)) => follow = Box::pin(following(Some(new))),
                Ok(ListMessage::Event(line)) => drop(self.take(&line)),
                // The program has ended.
                Err(_) => return,
            }
        }
    }

    /// Never returns.
    async fn follow<T>(&self, address: SocketAddr) -> T {
        let mut well = true;
        loop {
            let why = self.follow_once(address, &mut well).await;
            if well {
                log::warn!("journal {address} lost at {}: {why}", self.last());
            }
            well = false;
            let wait = self.feed.borrow_mut().ask_again();
            Timer::after(Duration::from_nanos(wait)).await;
        }
    }

    async fn follow_once(&self, address: SocketAddr, well: &mut bool) -> String {
        let connect = async {
            Async::<TcpStream>::connect(address)
                .await
                .map_err(|e| e.to_string())
        };
        let stream = match connect
            .or(late(Instant::now() + CONNECT, "no connection in time"))
            .await
        {
            Ok(stream) => stream,
            Err(e) => return e,
        };
        self.feed.borrow_mut().connected();
        let tail = discovery::watch_request(self.last());
        if let Err(e) = (&stream).write_all(tail.as_bytes()).await {
            return e.to_string();
        }
        self.traffic.journal.record_sent(tail.len());
        let mut input = BytesMut::new();
        let mut silent_at = Instant::now() + SILENT;
        loop {
            while let Some(end) = input.iter().position(|&b| b == b'\n') {
                if let Err(why) = self.take(&input.split_to(end + 1)) {
                    return why;
                }
                silent_at = Instant::now() + SILENT;
                if self.shares {
                    let _ = self
                        .module
                        .try_send(SchedulerMessage::WatchLineRead { event: None });
                }
                if !*well {
                    log::info!("journal {address} followed again from {}", self.last());
                    *well = true;
                }
            }
            if input.len() > self.longest_line {
                return "line too long".into();
            }
            let read = async {
                read_some(&stream, &mut input)
                    .await
                    .map_err(|e| e.to_string())
            };
            let ahead = self
                .feed
                .borrow()
                .ahead_until()
                .map(|at| self.clock.instant(at));
            let never_came = async {
                match ahead {
                    Some(at) => late(at, "events missing").await,
                    None => std::future::pending().await,
                }
            };
            match read.or(never_came).or(late(silent_at, "silent")).await {
                Ok(0) => return "closed".into(),
                Ok(n) => self.traffic.journal.record_received(n),
                Err(e) => {
                    if ahead.is_some_and(|at| at <= Instant::now()) {
                        self.feed.borrow_mut().never_came();
                    }
                    return e;
                }
            }
        }
    }

    fn last(&self) -> u64 {
        self.feed.borrow().last()
    }

    /// The next event goes to the module; one that is held already passes. A gap is told again from its begin.
    fn take(&self, line: &[u8]) -> Result<(), String> {
        let last = self.last();
        let (told, event, why) = match discovery::parse_line(line) {
            Ok(Line::LastPosition(number)) => (Told::Last(number), None, String::new()),
            Ok(Line::Event(event)) => (Told::Event(event.position), Some(event), String::new()),
            Err(e) => (Told::Unusable, None, format!("line not understood: {e}")),
        };
        let verdict = self.feed.borrow_mut().take(self.clock.now(), told);
        match (verdict, event) {
            (Verdict::Take | Verdict::TakeOver, Some(event)) => {
                if verdict == Verdict::TakeOver {
                    log::warn!(
                        "journal: events after {last} never came, {} is taken all the same",
                        event.position
                    );
                }
                if let Some(update) = event.update {
                    let _ = self
                        .module
                        .try_send(SchedulerMessage::EndpointsUpdated { update });
                }
                if self.shares {
                    let event = Some(WatchEventLine {
                        position: event.position,
                        line: Bytes::copy_from_slice(line),
                    });
                    let _ = self
                        .module
                        .try_send(SchedulerMessage::WatchLineRead { event });
                }
                Ok(())
            }
            (Verdict::AskAgain, Some(event)) => {
                Err(format!("event {} after {last}", event.position))
            }
            (Verdict::AskAgain, None) => Err(why),
            _ => Ok(()),
        }
    }
}
