//! Calls to one engine over connections that serve one attempt at a time.
//!
//! `ivypitch_connection_pool` decides which connections stay open for the next attempt. An idle one is first asked for
//! the statement that is about to start there: only the response that the engine does not know it proves the connection
//! open and clean. A final response that then comes at once has to come twice (see [`super::attempt`]): what an engine
//! sends late can't be taken for the response to another statement.

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use ivypitch_connection_pool::{ConnectionPool, PoolParams};

use super::engine_connection::{CallError, EngineConnection, Pending};
use crate::lifecycle::clock::Clock;
use crate::state::connections::{ConnectPurpose, ConnectionCounters};
use crate::state::permits::ConnectionPermits;
use crate::state::traffic::Traffic;
use crate::wire::http::{self, Response, status};

/// An engine holds the response to a poll back for 250 ms at most. One that takes so much longer counts as lost and is
/// polled for again, each time with more patience, within the 2 s that an engine waits for that.
pub(crate) const POLL_TIMEOUT: Duration = Duration::from_millis(350);
/// To all else an engine responds at once.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// No call waits for longer, however often it was repeated.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// What an [`EngineClient`] is made of.
pub struct EngineClientParams {
    /// Where the engine is now.
    pub address: SocketAddr,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Duration,
    /// How many idle connections stay open, and for how long.
    pub pool: PoolParams,
    /// The gateway's clock.
    pub clock: Clock,
    /// Bounds the connections to all engines together.
    pub permits: Rc<ConnectionPermits>,
    /// Counts connections by what they were opened for.
    pub connects: Rc<ConnectionCounters>,
    /// Counts bytes.
    pub traffic: Rc<Traffic>,
}

/// What attempts use of their engine.
pub struct EngineClient {
    address: Cell<SocketAddr>,
    connect_timeout: Duration,
    permits: Rc<ConnectionPermits>,
    connects: Rc<ConnectionCounters>,
    traffic: Rc<Traffic>,
    pool: RefCell<ConnectionPool<EngineConnection>>,
    clock: Clock,
    /// Notified as a connection becomes idle, so that it is closed in time.
    became_idle: (Sender<()>, Receiver<()>),
}

impl EngineClient {
    /// A client without connections.
    pub fn new(params: EngineClientParams) -> Rc<EngineClient> {
        Rc::new(EngineClient {
            address: Cell::new(params.address),
            connect_timeout: params.connect_timeout,
            permits: params.permits,
            connects: params.connects,
            traffic: params.traffic,
            pool: RefCell::new(ConnectionPool::new(params.pool)),
            clock: params.clock,
            became_idle: async_channel::bounded(1),
        })
    }

    /// The value of the `Host` header.
    pub(crate) fn host(&self) -> String {
        self.address.get().to_string()
    }

    /// The engine is at another address from now on: idle connections to the old one close.
    pub(crate) fn set_address(&self, address: SocketAddr) {
        self.close_idle();
        self.address.set(address);
    }

    /// A connection for the start of this statement: an idle one that is open and clean, else a new one.
    pub(crate) async fn acquire(&self, statement_id: &[u8]) -> Result<EngineConnection, CallError> {
        while let Some(mut idle) = self.take_idle() {
            if self.is_proved_clean(&mut idle, statement_id).await {
                self.connects.record_reused();
                return Ok(idle);
            }
            self.connects.record_discarded();
            self.on_surprise();
        }
        self.connect(ConnectPurpose::Start).await
    }

    /// Asks on an idle connection for a statement that has not started: the engine has to say that it does not know it.
    async fn is_proved_clean(&self, idle: &mut EngineConnection, statement_id: &[u8]) -> bool {
        let request = http::write_get(statement_id, 0, &self.host());
        if idle.write(&request).await.is_err() {
            return false;
        }
        let Ok(response) = idle.response(RESPONSE_TIMEOUT).await else {
            return false;
        };
        let is_unknown =
            response.status == status::FAILED && !response.never_ran && !response.closes_connection;
        is_unknown && idle.is_clean()
    }

    /// It goes to where the engine is now, and nothing has come on it since it was opened or proved clean.
    pub(crate) fn is_fit(&self, connection: &EngineConnection) -> bool {
        connection.address() == self.address.get() && connection.is_clean()
    }

    /// Returns one that was acquired for a start that is not wanted any more.
    pub(crate) fn release_unused(&self, connection: EngineConnection) {
        if self.is_fit(&connection) {
            self.release(Some(connection));
        }
    }

    /// Returns the connection of an attempt that is over: it becomes idle, or closes.
    pub(crate) fn release(&self, connection: Option<EngineConnection>) {
        let Some(mut connection) = connection.filter(EngineConnection::is_clean) else {
            return;
        };
        connection.mark_used();
        // Other engines need the permit more than a statement that may come.
        if self.permits.is_scarce() {
            return;
        }
        let refused = self.pool.borrow_mut().release(self.clock.now(), connection);
        if refused.is_none() {
            let _ = self.became_idle.0.try_send(());
        }
    }

    fn take_idle(&self) -> Option<EngineConnection> {
        let now = self.clock.now();
        let mut pool = self.pool.borrow_mut();
        loop {
            let idle = pool.acquire(now)?;
            match idle.pending() {
                Pending::Nothing => return Some(idle),
                // One that the engine has closed as idle is no surprise.
                Pending::Closed => {}
                Pending::Bytes => drop(pool.on_unexpected_answer()),
            }
        }
    }

    /// Opens a connection, as soon as there is a permit for it.
    async fn connect(&self, purpose: ConnectPurpose) -> Result<EngineConnection, CallError> {
        if self.permits.is_scarce() {
            self.close_idle();
        }
        let permit = self.permits.acquire().await;
        self.connects.record_connect(purpose);
        let address = self.address.get();
        let connected = async { Async::<TcpStream>::connect(address).await };
        let timed_out = async {
            Timer::after(self.connect_timeout).await;
            Err(io::Error::from(ErrorKind::TimedOut))
        };
        match connected.or(timed_out).await {
            Ok(stream) => {
                let _ = stream.get_ref().set_nodelay(true);
                let traffic = self.traffic.clone();
                Ok(EngineConnection::new(stream, address, traffic, permit))
            }
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                self.close_idle();
                self.connects.record_refused();
                Err(CallError::ConnectionRefused)
            }
            Err(_) => {
                self.close_idle();
                self.connects.record_timed_out();
                Err(CallError::NotSent)
            }
        }
    }

    /// One call on the attempt's connection, or on another where that can't be used any more. The connection stays in
    /// `held` only while nothing but complete responses has come on it.
    pub(crate) async fn call(
        &self,
        held: &mut Option<EngineConnection>,
        request: &[u8],
        timeout: Duration,
        purpose: ConnectPurpose,
    ) -> Result<Response, CallError> {
        let connection = match held.take().filter(EngineConnection::is_clean) {
            Some(connection) => connection,
            None => self.replace(purpose).await?,
        };
        self.exchange(connection, held, request, timeout).await
    }

    /// A connection for a call that is no start. A cancellation that is lost on an idle one is repeated on a new one, so
    /// it may use that; an idle one that any other call takes is closed.
    async fn replace(&self, purpose: ConnectPurpose) -> Result<EngineConnection, CallError> {
        let idle = self.take_idle();
        match idle.filter(|_| matches!(purpose, ConnectPurpose::Cancel)) {
            Some(idle) => Ok(idle),
            None => self.connect(purpose).await,
        }
    }

    /// One call on this connection and no other; its first byte leaves before this waits for anything. The connection
    /// then is in `held` if it can be used again.
    pub(crate) async fn exchange(
        &self,
        mut connection: EngineConnection,
        held: &mut Option<EngineConnection>,
        request: &[u8],
        timeout: Duration,
    ) -> Result<Response, CallError> {
        connection.write(request).await?;
        let response = match connection.response(timeout.min(MAX_RESPONSE_TIMEOUT)).await {
            Ok(response) => response,
            Err(error) => {
                self.on_surprise();
                return Err(error);
            }
        };
        match connection.pending() {
            Pending::Nothing if !response.closes_connection => {
                if connection.had_informational_response() {
                    self.on_surprise();
                } else {
                    self.pool.borrow_mut().on_exact_answer();
                    *held = Some(connection);
                }
            }
            Pending::Bytes => {
                self.on_surprise();
                // What follows may be the rest of a result whose length is wrong.
                if response.status == status::COMPLETED {
                    return Err(CallError::NoResponse);
                }
            }
            _ => {}
        }
        Ok(response)
    }

    /// Something came that should not have: idle connections close, and for a while none stays open.
    fn on_surprise(&self) {
        let closed = self.pool.borrow_mut().on_unexpected_answer();
        drop(closed);
    }

    fn close_idle(&self) {
        let closed = self.pool.borrow_mut().take_all();
        drop(closed);
    }

    /// Closes idle connections as their time is over; never returns.
    pub(crate) async fn close_expired<T>(&self) -> T {
        loop {
            let expires_at = self.pool.borrow().next_expiry();
            match expires_at {
                None => drop(self.became_idle.1.recv().await),
                Some(at) => {
                    Timer::at(self.clock.instant(at)).await;
                    drop(self.pool.borrow_mut().take_expired(self.clock.now()));
                }
            }
        }
    }

    /// Closes idle connections, and each one that is released from now on.
    pub(crate) fn close(&self) {
        let closed = self.pool.borrow_mut().close();
        drop(closed);
    }
}
