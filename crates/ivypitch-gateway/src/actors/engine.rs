//! One engine: its address, its connections, the calls to it. Executions run as tasks of their own on these.

use std::cell::{Cell, RefCell};
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
use crate::memory::pool::{Permit, Permits, Pool};
use crate::wire::http::{self, Answer};

pub enum EngineMail {
    Start(super::execution::Execution),
    Address(SocketAddr),
    /// The list says that it is gone: no connection to it is kept.
    Gone,
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
    /// The connection broke, fell silent or brought nonsense after the call had gone out.
    NoAnswer,
}

/// What executions use of their engine.
pub struct Link {
    address: Cell<SocketAddr>,
    connect_timeout: Duration,
    pool: RefCell<Pool<Connection>>,
    permits: Rc<Permits>,
}

impl Link {
    pub fn new(
        address: SocketAddr,
        connect_timeout: Duration,
        idle: Duration,
        permits: Rc<Permits>,
    ) -> Rc<Link> {
        Rc::new(Link {
            address: Cell::new(address),
            connect_timeout,
            pool: RefCell::new(Pool::new(idle)),
            permits,
        })
    }

    pub fn host(&self) -> String {
        self.address.get().to_string()
    }

    /// A kept connection that is still open, or a new one.
    pub async fn connection(&self) -> Result<Connection, CallFault> {
        loop {
            let kept = self.pool.borrow_mut().take();
            match kept {
                Some(connection) if connection.is_quiet() => return Ok(connection),
                Some(_) => {}
                None => return self.connect().await,
            }
        }
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

    /// One call on a connection, which is kept for the next if it may be.
    pub async fn call(&self, mut connection: Connection, request: &[u8]) -> Result<Answer, CallFault> {
        connection.write(request).await?;
        let answer = connection.answer().await?;
        self.keep(connection, &answer);
        Ok(answer)
    }

    /// Keeps a connection for the next call if its last answer allows it.
    pub fn keep(&self, connection: Connection, last: &Answer) {
        if !last.closes && connection.input.is_empty() {
            self.pool.borrow_mut().put(connection);
        }
    }
}

impl Connection {
    /// Nothing has come on it and it has not been closed.
    fn is_quiet(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        self.input.is_empty() && matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    pub async fn write(&mut self, request: &[u8]) -> Result<(), CallFault> {
        (&self.stream).write_all(request).await.map_err(|_| CallFault::Unsent)
    }

    pub async fn answer(&mut self) -> Result<Answer, CallFault> {
        loop {
            match http::next_answer(&mut self.input) {
                Ok(Some(answer)) => return Ok(answer),
                Ok(None) => {}
                Err(_) => return Err(CallFault::NoAnswer),
            }
            match read_some(&self.stream, &mut self.input).await {
                Ok(0) | Err(_) => return Err(CallFault::NoAnswer),
                Ok(_) => {}
            }
        }
    }
}

pub async fn run(link: Rc<Link>, mailbox: Receiver<EngineMail>, executor: Rc<LocalExecutor<'static>>) {
    loop {
        let old = async {
            if link.pool.borrow().is_empty() {
                std::future::pending::<()>().await;
            }
            Timer::after(Duration::from_secs(1)).await;
            Ok(None)
        };
        match async { mailbox.recv().await.map(Some) }.or(old).await {
            Ok(Some(EngineMail::Start(execution))) => executor.spawn(execution.run(link.clone())).detach(),
            Ok(Some(EngineMail::Address(address))) => {
                link.address.set(address);
                link.pool.borrow_mut().clear();
            }
            Ok(Some(EngineMail::Gone)) => link.pool.borrow_mut().clear(),
            Ok(None) => link.pool.borrow_mut().drop_old(),
            Err(_) => return,
        }
    }
}
