//! One TCP connection to an engine, which serves one call at a time, and the errors of a call.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use bytes::BytesMut;
use futures_lite::{AsyncWriteExt, FutureExt};

use super::socket::read_some;
use crate::state::permits::ConnectionPermit;
use crate::state::result_pages::ConnectionUse;
use crate::state::traffic::Traffic;
use crate::wire::http::{self, Response};

/// Limit on the 1xx responses that are skipped before a final response.
const MAX_INFORMATIONAL_RESPONSES: usize = 8;

/// Why a call to an engine got no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection was refused: no process listens at the address.
    #[error("connection refused")]
    ConnectionRefused,
    /// The connection was not opened in time, or the request was not sent completely.
    #[error("request not sent")]
    NotSent,
    /// The engine closed its side before the first byte of a response.
    #[error("connection closed before a response")]
    StreamEnded,
    /// The connection broke before the first byte of a response.
    #[error("connection reset before a response")]
    ConnectionReset,
    /// The request was sent, but no complete response arrived in time, or malformed data did.
    #[error("no complete response")]
    NoResponse,
}

/// Input on a connection after the last response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum UnreadInput {
    /// No input; the connection is open.
    Nothing,
    /// Bytes that belong to no request.
    Bytes,
    /// The end of the stream.
    Closed,
    /// The connection broke.
    Reset,
}

/// An open connection to an engine. It holds one of the
/// [permits](crate::state::permits::ConnectionPermits).
pub struct EngineConnection {
    stream: Async<TcpStream>,
    address: SocketAddr,
    input: BytesMut,
    connection_use: ConnectionUse,
    had_informational_response: bool,
    /// Time from the first byte of the last response to its last.
    transfer_time: Duration,
    traffic: Rc<Traffic>,
    _permit: ConnectionPermit,
}

impl EngineConnection {
    /// Wraps the connected `stream` to `address`. Sent and received bytes are counted in `traffic`.
    pub(crate) fn new(
        stream: Async<TcpStream>,
        address: SocketAddr,
        traffic: Rc<Traffic>,
        permit: ConnectionPermit,
    ) -> Self {
        EngineConnection {
            stream,
            address,
            input: BytesMut::new(),
            connection_use: ConnectionUse::First,
            had_informational_response: false,
            transfer_time: Duration::ZERO,
            traffic,
            _permit: permit,
        }
    }

    /// The address it was opened to. The engine may have moved to another address since then.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the connection has served another statement before.
    pub(crate) fn connection_use(&self) -> ConnectionUse {
        self.connection_use
    }

    /// Marks the connection as one that has served a statement.
    pub(crate) fn mark_used(&mut self) {
        self.connection_use = ConnectionUse::Reused;
    }

    /// Whether an unrequested 1xx response arrived on the connection.
    pub(crate) fn had_informational_response(&self) -> bool {
        self.had_informational_response
    }

    /// Time from the first byte of the last response to its last.
    pub(crate) fn transfer_time(&self) -> Duration {
        self.transfer_time
    }

    /// Checks for unread input without reading it.
    pub(crate) fn unread_input(&self) -> UnreadInput {
        match self.stream.get_ref().peek(&mut [0]) {
            _ if !self.input.is_empty() => UnreadInput::Bytes,
            Err(error) if error.kind() == ErrorKind::WouldBlock => UnreadInput::Nothing,
            Ok(0) => UnreadInput::Closed,
            Ok(_) => UnreadInput::Bytes,
            Err(_) => UnreadInput::Reset,
        }
    }

    /// Whether the connection is open and has no unread input.
    pub(crate) fn is_clean(&self) -> bool {
        self.unread_input() == UnreadInput::Nothing
    }

    /// Whether the end of the stream follows the last response within `timeout`, and thus confirms
    /// its length. On a reused connection the response may be an earlier statement's.
    pub(crate) async fn confirms_by_close(&mut self, timeout: Duration) -> bool {
        if self.connection_use == ConnectionUse::Reused {
            return false;
        }
        let ended = async {
            let read = read_some(&self.stream, &mut self.input).await;
            matches!(read, Ok(0)) && self.input.is_empty()
        };
        let timed_out = async {
            Timer::after(timeout).await;
            false
        };
        ended.or(timed_out).await
    }

    /// Sends a request.
    pub(crate) async fn write(&mut self, request: &[u8]) -> Result<(), CallError> {
        (&self.stream)
            .write_all(request)
            .await
            .map_err(|_| CallError::NotSent)?;
        self.traffic.engines.record_sent(request.len());
        Ok(())
    }

    /// Reads the complete response, for at most `timeout`.
    pub(crate) async fn response(&mut self, timeout: Duration) -> Result<Response, CallError> {
        let timed_out = async {
            Timer::after(timeout).await;
            Err(CallError::NoResponse)
        };
        self.next_response().or(timed_out).await
    }

    async fn next_response(&mut self) -> Result<Response, CallError> {
        let mut informational = 0;
        let mut first_bytes_at = None;
        loop {
            match http::next_response(&mut self.input) {
                Ok(Some(response)) if response.status >= 200 => {
                    self.transfer_time = first_bytes_at
                        .as_ref()
                        .map_or(Duration::ZERO, Instant::elapsed);
                    return Ok(response);
                }
                Ok(Some(_)) if informational < MAX_INFORMATIONAL_RESPONSES => {
                    informational += 1;
                    self.had_informational_response = true;
                    continue;
                }
                Ok(None) => {}
                Ok(Some(_)) | Err(_) => return Err(CallError::NoResponse),
            }
            let is_first_byte = informational == 0 && self.input.is_empty();
            match read_some(&self.stream, &mut self.input).await {
                Ok(0) if is_first_byte => return Err(CallError::StreamEnded),
                Err(_) if is_first_byte => return Err(CallError::ConnectionReset),
                Ok(0) | Err(_) => return Err(CallError::NoResponse),
                Ok(byte_count) => {
                    first_bytes_at.get_or_insert_with(Instant::now);
                    self.traffic.engines.record_received(byte_count);
                }
            }
        }
    }
}
