//! One engine: its address and the calls to it. Executions run as tasks of their own on these. A connection serves
//! one execution at a time; `ivypitch_connection_pool` decides which are kept for the next. A kept one is asked first for the
//! query that is about to start there: only the answer that the engine does not know it proves the connection alive and
//! clean. An end that then comes at once has to come twice: what an engine sends late can't be taken for another
//! statement's answer.

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bytes::BytesMut;
use futures_lite::{AsyncWriteExt, FutureExt};
use ivypitch_connection_pool::{Pool, PoolParams};

use super::socket::read_some;
use crate::lifecycle::clock::Clock;
use crate::state::connections::{ConnectPurpose, ConnectionCounters};
use crate::state::permits::{ConnectionPermit, ConnectionPermits};
use crate::state::traffic::Traffic;
use crate::wire::http::{self, Answer};

/// An engine holds its news back for 250 ms at most, and answers to all else at once. What takes so much longer is
/// taken for lost and asked for again, each time with more patience, within the 2 s that an engine waits for that.
pub const NEWS: Duration = Duration::from_millis(350);
pub const AT_ONCE: Duration = Duration::from_millis(100);
const LONGEST: Duration = Duration::from_secs(1);
/// So many 1xx answers in front of one are passed over.
const MOST_INFORMATION: usize = 8;

pub enum EngineMessage {
    Start(Box<super::attempt::Attempt>),
    Address(SocketAddr),
}

pub struct Connection {
    stream: Async<TcpStream>,
    /// Where it goes: an engine may come back at another address while it is dialled.
    address: SocketAddr,
    input: BytesMut,
    /// It has served another statement before.
    pub is_used: bool,
    /// A 1xx answer came on it, which nobody asked for.
    informed: bool,
    traffic: Rc<Traffic>,
    _permit: ConnectionPermit,
}

/// Why a call brought no answer.
#[derive(Debug)]
pub enum CallFault {
    /// No connection: refused, so no process is there.
    Refused,
    /// No connection in time, or the call did not go out whole.
    Unsent,
    /// The call had gone out: the connection broke, fell silent or brought what can't be its whole answer.
    NoAnswer,
}

/// What executions use of their engine.
pub struct Link {
    address: Cell<SocketAddr>,
    connect_timeout: Duration,
    permits: Rc<ConnectionPermits>,
    connects: Rc<ConnectionCounters>,
    traffic: Rc<Traffic>,
    pool: RefCell<Pool<Connection>>,
    clock: Clock,
    /// Told as a connection is kept, for the actor to close it in time.
    kept: (Sender<()>, Receiver<()>),
}

impl Link {
    pub fn new(
        address: SocketAddr,
        connect_timeout: Duration,
        pool: PoolParams,
        clock: Clock,
        permits: Rc<ConnectionPermits>,
        connects: Rc<ConnectionCounters>,
        traffic: Rc<Traffic>,
    ) -> Rc<Link> {
        Rc::new(Link {
            address: Cell::new(address),
            connect_timeout,
            permits,
            connects,
            traffic,
            pool: RefCell::new(Pool::new(pool)),
            clock,
            kept: async_channel::bounded(1),
        })
    }

    pub fn host(&self) -> String {
        self.address.get().to_string()
    }

    /// A connection for the start of this query: a kept one that is alive and clean, else a new one.
    pub async fn connection(&self, id: &[u8]) -> Result<Connection, CallFault> {
        while let Some(mut kept) = self.take_kept() {
            let call = http::write_get(id, 0, &self.host());
            let asked = async {
                kept.write(&call).await.ok()?;
                kept.answer(AT_ONCE).await.ok()
            };
            let unknown =
                |answer: &Answer| answer.status == 500 && !answer.never_ran && !answer.closes;
            if asked.await.is_some_and(|answer| unknown(&answer)) && kept.rest() == Rest::Quiet {
                self.connects.record_reused();
                return Ok(kept);
            }
            self.connects.record_discarded();
            drop(self.pool.borrow_mut().surprise());
        }
        self.connect(ConnectPurpose::Start).await
    }

    /// It goes to where the engine is now, and nothing has come on it since it was made or proved.
    pub fn is_fit(&self, connection: &mut Connection) -> bool {
        connection.address == self.address.get() && connection.rest() == Rest::Quiet
    }

    /// One that was proved or dialled in vain: its start is not wanted any more.
    pub fn give_unused(&self, mut connection: Connection) {
        if self.is_fit(&mut connection) {
            self.give(&mut Some(connection));
        }
    }

    fn take_kept(&self) -> Option<Connection> {
        let now = self.clock.now();
        let mut pool = self.pool.borrow_mut();
        loop {
            // One that the engine has closed as idle is no surprise.
            let kept = pool.take(now)?;
            match kept.rest() {
                Rest::Quiet => return Some(kept),
                Rest::Closed => {}
                Rest::More => drop(pool.surprise()),
            }
        }
    }

    /// The connection of a statement that is over: kept, or closed.
    pub fn give(&self, connection: &mut Option<Connection>) {
        let Some(mut connection) = connection
            .take()
            .filter(|connection| connection.rest() == Rest::Quiet)
        else {
            return;
        };
        connection.is_used = true;
        // Others need the place more than a statement that may come.
        if self.permits.is_scarce() {
            return;
        }
        let refused = self.pool.borrow_mut().give(self.clock.now(), connection);
        if refused.is_none() {
            let _ = self.kept.0.try_send(());
        }
    }

    pub async fn connect(&self, why: ConnectPurpose) -> Result<Connection, CallFault> {
        if self.permits.is_scarce() {
            drop(self.pool.borrow_mut().take_all());
        }
        let permit = self.permits.acquire().await;
        self.connects.record_connect(why);
        let address = self.address.get();
        let connected = async { Async::<TcpStream>::connect(address).await };
        let late = async {
            Timer::after(self.connect_timeout).await;
            Err(io::Error::from(ErrorKind::TimedOut))
        };
        match connected.or(late).await {
            Ok(stream) => {
                let _ = stream.get_ref().set_nodelay(true);
                Ok(Connection {
                    stream,
                    address,
                    input: BytesMut::new(),
                    is_used: false,
                    informed: false,
                    traffic: self.traffic.clone(),
                    _permit: permit,
                })
            }
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                drop(self.pool.borrow_mut().take_all());
                self.connects.record_refused();
                Err(CallFault::Refused)
            }
            Err(_) => {
                drop(self.pool.borrow_mut().take_all());
                self.connects.record_timed_out();
                Err(CallFault::Unsent)
            }
        }
    }

    /// One call on the execution's connection, or on a new one where that can't be used any more. It is kept in
    /// `own` only while nothing but whole answers has come on it.
    pub async fn call(
        &self,
        own: &mut Option<Connection>,
        request: &[u8],
        limit: Duration,
        why: ConnectPurpose,
    ) -> Result<Answer, CallFault> {
        let connection = match own.take().filter(|kept| kept.rest() == Rest::Quiet) {
            Some(kept) => kept,
            // A give-up lost on a kept connection is repeated on a new one.
            None => match self
                .take_kept()
                .filter(|_| matches!(why, ConnectPurpose::Cancel))
            {
                Some(kept) => kept,
                None => self.connect(why).await?,
            },
        };
        self.exchange(connection, own, request, limit).await
    }

    /// One call on this connection and no other; its first byte leaves before this waits for anything.
    pub async fn exchange(
        &self,
        mut connection: Connection,
        own: &mut Option<Connection>,
        request: &[u8],
        limit: Duration,
    ) -> Result<Answer, CallFault> {
        connection.write(request).await?;
        let answer = match connection.answer(limit.min(LONGEST)).await {
            Ok(answer) => answer,
            Err(fault) => {
                drop(self.pool.borrow_mut().surprise());
                return Err(fault);
            }
        };
        match connection.rest() {
            Rest::Quiet if !answer.closes => {
                if connection.informed {
                    drop(self.pool.borrow_mut().surprise());
                } else {
                    self.pool.borrow_mut().exact();
                    *own = Some(connection);
                }
            }
            Rest::More => {
                drop(self.pool.borrow_mut().surprise());
                // What follows may be the rest of a result whose length is wrong.
                if answer.status == 200 {
                    return Err(CallFault::NoAnswer);
                }
            }
            _ => {}
        }
        Ok(answer)
    }

    /// Closes kept pool as their time is over; returns when the engine's mailbox has something.
    async fn tend(&self) {
        loop {
            let over = self.pool.borrow().next_over();
            match over {
                None => drop(self.kept.1.recv().await),
                Some(at) => {
                    Timer::at(self.clock.instant(at)).await;
                    drop(self.pool.borrow_mut().over(self.clock.now()));
                }
            }
        }
    }
}

/// What is on a connection behind the last answer.
#[derive(PartialEq)]
enum Rest {
    Quiet,
    More,
    Closed,
}

impl Connection {
    fn rest(&self) -> Rest {
        match self.stream.get_ref().peek(&mut [0]) {
            _ if !self.input.is_empty() => Rest::More,
            Err(e) if e.kind() == ErrorKind::WouldBlock => Rest::Quiet,
            Ok(1..) => Rest::More,
            _ => Rest::Closed,
        }
    }

    pub async fn write(&mut self, request: &[u8]) -> Result<(), CallFault> {
        (&self.stream)
            .write_all(request)
            .await
            .map_err(|_| CallFault::Unsent)?;
        self.traffic.engines.record_sent(request.len());
        Ok(())
    }

    /// The whole answer, in time.
    pub async fn answer(&mut self, limit: Duration) -> Result<Answer, CallFault> {
        let late = async {
            Timer::after(limit).await;
            Err(CallFault::NoAnswer)
        };
        self.next_answer().or(late).await
    }

    async fn next_answer(&mut self) -> Result<Answer, CallFault> {
        let mut information = 0;
        loop {
            match http::next_answer(&mut self.input) {
                Ok(Some(answer)) if answer.status >= 200 => return Ok(answer),
                Ok(Some(_)) if information < MOST_INFORMATION => {
                    information += 1;
                    self.informed = true;
                    continue;
                }
                Ok(None) => {}
                Ok(Some(_)) | Err(_) => return Err(CallFault::NoAnswer),
            }
            match read_some(&self.stream, &mut self.input).await {
                Ok(0) | Err(_) => return Err(CallFault::NoAnswer),
                Ok(n) => self.traffic.engines.record_received(n),
            }
        }
    }
}

/// Ends as the list says that the engine is gone; executions that are out keep its link until their end.
pub async fn run(
    link: Rc<Link>,
    mailbox: Receiver<EngineMessage>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let letters = async {
        while let Ok(mail) = mailbox.recv().await {
            match mail {
                EngineMessage::Start(attempt) => executor.spawn(attempt.run(link.clone())).detach(),
                EngineMessage::Address(address) => {
                    drop(link.pool.borrow_mut().take_all());
                    link.address.set(address);
                }
            }
        }
    };
    letters.or(link.tend()).await;
    drop(link.pool.borrow_mut().close());
}
