//! Calls to one engine over connections that serve one attempt at a time.
//!
//! `ivypitch_connection_pool` decides which connections stay open for the next attempt. An idle
//! connection is probed before reuse with a poll for the statement that is about to start: only the
//! response that the engine does not know it proves that the connection is open and clean. A final
//! response that follows at once has to be repeated (see [`super::attempt`]), so that a late
//! response is never taken for the response to another statement. On any connection, a page of a
//! result counts only once what follows proves its length (see [`crate::state::result_pages`]).

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use ivypitch_connection_pool::{ConnectionPool, PoolParams};

use super::engine_connection::{CallError, EngineConnection, UnreadInput};
use crate::lifecycle::clock::Clock;
use crate::state::connections::{ConnectPurpose, ConnectionCounters};
use crate::state::permits::ConnectionPermits;
use crate::state::traffic::Traffic;
use crate::wire::http::{self, Response, status};

/// Timeout of a start or a poll. An engine delays its response by at most 250 ms (long polling). A
/// response that takes longer than this timeout counts as lost; the attempt is polled again with a
/// longer timeout, within the 2 s after which an engine drops a statement that is not polled.
pub(crate) const POLL_TIMEOUT: Duration = Duration::from_millis(350);
/// Timeout of all other requests, to which an engine responds at once.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Upper bound on a timeout that grows with each retry.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Parameters of an [`EngineClient`].
pub struct EngineClientParams {
    /// The engine's current address.
    pub address: SocketAddr,
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// Limits on the number and age of idle connections.
    pub pool: PoolParams,
    /// The gateway's clock.
    pub clock: Clock,
    /// Limits the connections to all engines together.
    pub permits: Rc<ConnectionPermits>,
    /// Counts connections by purpose.
    pub connects: Rc<ConnectionCounters>,
    /// Counts sent and received bytes.
    pub traffic: Rc<Traffic>,
}

/// The client through which attempts call their engine.
pub struct EngineClient {
    address: Cell<SocketAddr>,
    connect_timeout: Duration,
    permits: Rc<ConnectionPermits>,
    connects: Rc<ConnectionCounters>,
    traffic: Rc<Traffic>,
    pool: RefCell<ConnectionPool<EngineConnection>>,
    clock: Clock,
    /// Wakes [`Self::close_expired`] when a connection becomes idle.
    idle_signal: (Sender<()>, Receiver<()>),
}

impl EngineClient {
    /// Creates a client without connections.
    pub fn new(params: EngineClientParams) -> Rc<EngineClient> {
        Rc::new(EngineClient {
            address: Cell::new(params.address),
            connect_timeout: params.connect_timeout,
            permits: params.permits,
            connects: params.connects,
            traffic: params.traffic,
            pool: RefCell::new(ConnectionPool::new(params.pool)),
            clock: params.clock,
            idle_signal: async_channel::bounded(1),
        })
    }

    /// The value of the `Host` header.
    pub(crate) fn host(&self) -> String {
        self.address.get().to_string()
    }

    /// Sets a new address of the engine and closes idle connections to the old one.
    pub(crate) fn set_address(&self, address: SocketAddr) {
        self.close_idle();
        self.address.set(address);
    }

    /// Returns a connection for the start of this statement: an idle one that passes the probe,
    /// else a new one.
    pub(crate) async fn acquire(&self, statement_id: &[u8]) -> Result<EngineConnection, CallError> {
        while let Some(mut idle) = self.take_idle() {
            if self.probe_is_clean(&mut idle, statement_id).await {
                self.connects.record_reused();
                return Ok(idle);
            }
            self.connects.record_discarded();
            self.on_unexpected_input();
        }
        self.connect(ConnectPurpose::Start).await
    }

    /// Probes an idle connection by polling for a statement that has not started. Returns true if
    /// the engine responds that it does not know the statement and no other input arrived.
    async fn probe_is_clean(&self, idle: &mut EngineConnection, statement_id: &[u8]) -> bool {
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

    /// Whether the connection leads to the engine's current address and has received nothing since
    /// it was opened or probed.
    pub(crate) fn is_usable_for_start(&self, connection: &EngineConnection) -> bool {
        connection.address() == self.address.get() && connection.is_clean()
    }

    /// Releases a connection whose start was withdrawn before it was sent.
    pub(crate) fn release_unused(&self, connection: EngineConnection) {
        if self.is_usable_for_start(&connection) {
            self.release(Some(connection));
        }
    }

    /// Releases the connection of an attempt that has ended: it becomes idle or closes.
    pub(crate) fn release(&self, connection: Option<EngineConnection>) {
        let is_reusable = |connection: &EngineConnection| {
            connection.is_clean() && !connection.had_informational_response()
        };
        let Some(mut connection) = connection.filter(is_reusable) else {
            return;
        };
        connection.mark_used();
        // Calls to other engines need the permit now; a future statement here may not come.
        if self.permits.is_scarce() {
            return;
        }
        let discarded = self.pool.borrow_mut().release(self.clock.now(), connection);
        if discarded.is_none() {
            let _ = self.idle_signal.0.try_send(());
        }
    }

    fn take_idle(&self) -> Option<EngineConnection> {
        let now = self.clock.now();
        let mut pool = self.pool.borrow_mut();
        loop {
            let idle = pool.acquire(now)?;
            match idle.unread_input() {
                UnreadInput::Nothing => return Some(idle),
                // The engine may close a connection that was idle for long.
                UnreadInput::Closed | UnreadInput::Reset => {}
                UnreadInput::Bytes => drop(pool.on_unexpected_answer()),
            }
        }
    }

    /// Opens a connection once a permit is available.
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
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
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

    /// Calls the engine on the connection in `slot` if it is clean, else on another. The connection
    /// is put back only if nothing but a complete response arrived on it.
    pub(crate) async fn call(
        &self,
        slot: &mut Option<EngineConnection>,
        request: &[u8],
        timeout: Duration,
        purpose: ConnectPurpose,
    ) -> Result<Response, CallError> {
        let connection = slot.take().filter(EngineConnection::is_clean);
        self.call_on(connection, slot, request, timeout, purpose)
            .await
    }

    /// Calls the engine on `connection`, or on another if there is none. The connection is put into
    /// `slot` as by [`Self::call`].
    pub(crate) async fn call_on(
        &self,
        connection: Option<EngineConnection>,
        slot: &mut Option<EngineConnection>,
        request: &[u8],
        timeout: Duration,
        purpose: ConnectPurpose,
    ) -> Result<Response, CallError> {
        let connection = match connection {
            Some(connection) => connection,
            None => self.connection_for_call(purpose).await?,
        };
        self.exchange(connection, slot, request, timeout).await
    }

    /// Returns a connection for a call that is not a start. A cancellation may use an idle one,
    /// since it is retried on a new one if it is lost; for other calls the idle one is closed.
    async fn connection_for_call(
        &self,
        purpose: ConnectPurpose,
    ) -> Result<EngineConnection, CallError> {
        let idle = self.take_idle();
        match idle.filter(|_| matches!(purpose, ConnectPurpose::Cancel)) {
            Some(idle) => Ok(idle),
            None => self.connect(purpose).await,
        }
    }

    /// Sends a request on this connection, its first byte without any wait, and reads the response.
    /// The connection is put into `slot` if the attempt can call on it again. A completed response
    /// that closes its connection is returned only if the end of the stream follows it.
    pub(crate) async fn exchange(
        &self,
        mut connection: EngineConnection,
        slot: &mut Option<EngineConnection>,
        request: &[u8],
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let timeout = timeout.min(MAX_RESPONSE_TIMEOUT);
        connection.write(request).await?;
        let response = match connection.response(timeout).await {
            Ok(response) => response,
            // An engine may close a connection between two calls.
            Err(CallError::StreamEnded) => return Err(CallError::StreamEnded),
            Err(error) => {
                self.on_unexpected_input();
                return Err(error);
            }
        };
        let is_completed = response.status == status::COMPLETED;
        match connection.unread_input() {
            UnreadInput::Nothing | UnreadInput::Closed | UnreadInput::Reset
                if response.closes_connection =>
            {
                if is_completed && !connection.confirms_by_close(timeout).await {
                    self.on_unexpected_input();
                    return Err(CallError::NoResponse);
                }
            }
            UnreadInput::Nothing => {
                if connection.had_informational_response() {
                    self.on_unexpected_input();
                } else {
                    self.pool.borrow_mut().on_exact_answer();
                }
                *slot = Some(connection);
            }
            UnreadInput::Bytes => {
                self.on_unexpected_input();
                // The extra bytes may be the rest of a result with a wrong content length.
                if is_completed {
                    return Err(CallError::NoResponse);
                }
            }
            // What ended the connection tells whether the response is complete.
            UnreadInput::Closed | UnreadInput::Reset => *slot = Some(connection),
        }
        Ok(response)
    }

    /// Counts a page that is fetched again because nothing confirmed its length.
    pub(crate) fn record_unconfirmed_page(&self) {
        self.connects.record_unconfirmed_page();
    }

    /// Handles missing, unexpected or extra input: closes all idle connections; for a while no
    /// connection is kept open.
    fn on_unexpected_input(&self) {
        let closed = self.pool.borrow_mut().on_unexpected_answer();
        drop(closed);
    }

    fn close_idle(&self) {
        let closed = self.pool.borrow_mut().take_all();
        drop(closed);
    }

    /// Closes idle connections when they expire. Never returns.
    pub(crate) async fn close_expired<T>(&self) -> T {
        loop {
            let expires_at = self.pool.borrow().next_expiry();
            match expires_at {
                None => drop(self.idle_signal.1.recv().await),
                Some(at) => {
                    Timer::at(self.clock.instant(at)).await;
                    drop(self.pool.borrow_mut().take_expired(self.clock.now()));
                }
            }
        }
    }

    /// Closes all idle connections, and from now on each connection that is released.
    pub(crate) fn close(&self) {
        let closed = self.pool.borrow_mut().close();
        drop(closed);
    }
}
