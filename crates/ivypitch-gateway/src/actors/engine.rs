//! One engine: its address and the calls to it. Executions run as tasks of their own on these. A connection serves
//! one execution and then goes: what an engine sends late on it can't be taken for another statement's answer.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bytes::BytesMut;
use futures_lite::{AsyncWriteExt, FutureExt};

use super::session::read_some;
use crate::memory::permits::{Permit, Permits};
use crate::wire::http::{self, Answer};

/// An engine holds its news back for 250 ms at most, and answers to all else at once. What takes so much longer is
/// taken for lost and asked for again, each time with more patience, within the 2 s that an engine waits for that.
pub const NEWS: Duration = Duration::from_millis(350);
pub const AT_ONCE: Duration = Duration::from_millis(100);
const LONGEST: Duration = Duration::from_secs(1);
/// So many 1xx answers in front of one are passed over.
const MOST_INFORMATION: usize = 8;

pub enum EngineMail {
    Start(super::execution::Execution),
    Address(SocketAddr),
}

pub struct Connection {
    stream: Async<TcpStream>,
    input: BytesMut,
    _permit: Permit,
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
    permits: Rc<Permits>,
}

impl Link {
    pub fn new(address: SocketAddr, connect_timeout: Duration, permits: Rc<Permits>) -> Rc<Link> {
        Rc::new(Link { address: Cell::new(address), connect_timeout, permits })
    }

    pub fn host(&self) -> String {
        self.address.get().to_string()
    }

    pub async fn connect(&self) -> Result<Connection, CallFault> {
        let permit = self.permits.take().await;
        let connected = async { Async::<TcpStream>::connect(self.address.get()).await };
        let late = async {
            Timer::after(self.connect_timeout).await;
            Err(io::Error::from(ErrorKind::TimedOut))
        };
        match connected.or(late).await {
            Ok(stream) => {
                let _ = stream.get_ref().set_nodelay(true);
                Ok(Connection { stream, input: BytesMut::new(), _permit: permit })
            }
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => Err(CallFault::Refused),
            Err(_) => Err(CallFault::Unsent),
        }
    }

    /// One call on the execution's connection, or on a new one where that can't be used any more. It is kept in
    /// `line` only while nothing but whole answers has come on it.
    pub async fn call(
        &self,
        line: &mut Option<Connection>,
        request: &[u8],
        limit: Duration,
    ) -> Result<Answer, CallFault> {
        let mut connection = match line.take().filter(|kept| kept.rest() == Rest::Quiet) {
            Some(kept) => kept,
            None => self.connect().await?,
        };
        connection.write(request).await?;
        let answer = connection.answer(limit.min(LONGEST)).await?;
        match connection.rest() {
            Rest::Quiet if !answer.closes => *line = Some(connection),
            // What follows may be the rest of a result whose length is wrong.
            Rest::More if answer.status == 200 => return Err(CallFault::NoAnswer),
            _ => {}
        }
        Ok(answer)
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
        (&self.stream).write_all(request).await.map_err(|_| CallFault::Unsent)
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
                    continue;
                }
                Ok(None) => {}
                Ok(Some(_)) | Err(_) => return Err(CallFault::NoAnswer),
            }
            match read_some(&self.stream, &mut self.input).await {
                Ok(0) | Err(_) => return Err(CallFault::NoAnswer),
                Ok(_) => {}
            }
        }
    }
}

/// Ends as the list says that the engine is gone; executions that are out keep its link until their end.
pub async fn run(link: Rc<Link>, mailbox: Receiver<EngineMail>, executor: Rc<LocalExecutor<'static>>) {
    while let Ok(mail) = mailbox.recv().await {
        match mail {
            EngineMail::Start(execution) => executor.spawn(execution.run(link.clone())).detach(),
            EngineMail::Address(address) => link.address.set(address),
        }
    }
}
