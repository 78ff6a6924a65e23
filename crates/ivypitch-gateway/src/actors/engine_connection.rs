//! One TCP connection to an engine, which serves one call at a time, and what a call can fail with.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use bytes::BytesMut;
use futures_lite::{AsyncWriteExt, FutureExt};

use super::socket::read_some;
use crate::state::permits::ConnectionPermit;
use crate::state::traffic::Traffic;
use crate::wire::http::{self, Response};

/// So many 1xx responses ahead of a final one are skipped.
const MAX_INFORMATIONAL_RESPONSES: usize = 8;

/// Why a call to an engine brought no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection: refused, so no process is there.
    #[error("connection refused")]
    ConnectionRefused,
    /// No connection in time, or the request did not leave complete.
    #[error("request not sent")]
    NotSent,
    /// The request had left: the connection broke, fell silent or brought what can't be a complete response.
    #[error("no complete response")]
    NoResponse,
}

/// What is there on a connection behind the last response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Pending {
    /// Nothing: the connection is open and clean.
    Nothing,
    /// Bytes that nobody asked for.
    Bytes,
    /// The engine's end of stream, or an error.
    Closed,
}

/// An open connection to an engine; it holds one of the [permits](crate::state::permits::ConnectionPermits).
pub struct EngineConnection {
    stream: Async<TcpStream>,
    address: SocketAddr,
    input: BytesMut,
    is_used: bool,
    had_informational_response: bool,
    traffic: Rc<Traffic>,
    _permit: ConnectionPermit,
}

impl EngineConnection {
    /// Takes over the connected `stream` to `address`; what is sent and received is counted in `traffic`.
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
            is_used: false,
            had_informational_response: false,
            traffic,
            _permit: permit,
        }
    }

    /// Where it goes: an engine may have moved to another address while it was dialled.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// It has served another statement before.
    pub(crate) fn is_used(&self) -> bool {
        self.is_used
    }

    /// From now on it has served another statement before.
    pub(crate) fn mark_used(&mut self) {
        self.is_used = true;
    }

    /// A 1xx response came on it, which nobody asked for.
    pub(crate) fn had_informational_response(&self) -> bool {
        self.had_informational_response
    }

    /// Looks at what is there to be read, without reading it.
    pub(crate) fn pending(&self) -> Pending {
        match self.stream.get_ref().peek(&mut [0]) {
            _ if !self.input.is_empty() => Pending::Bytes,
            Err(e) if e.kind() == ErrorKind::WouldBlock => Pending::Nothing,
            Ok(1..) => Pending::Bytes,
            _ => Pending::Closed,
        }
    }

    /// It is open, and nothing came on it that nobody asked for.
    pub(crate) fn is_clean(&self) -> bool {
        self.pending() == Pending::Nothing
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

    /// The complete response, if it is there within `timeout`.
    pub(crate) async fn response(&mut self, timeout: Duration) -> Result<Response, CallError> {
        let timed_out = async {
            Timer::after(timeout).await;
            Err(CallError::NoResponse)
        };
        self.next_response().or(timed_out).await
    }

    async fn next_response(&mut self) -> Result<Response, CallError> {
        let mut informational = 0;
        loop {
            match http::next_response(&mut self.input) {
                Ok(Some(response)) if response.status >= 200 => return Ok(response),
                Ok(Some(_)) if informational < MAX_INFORMATIONAL_RESPONSES => {
                    informational += 1;
                    self.had_informational_response = true;
                    continue;
                }
                Ok(None) => {}
                Ok(Some(_)) | Err(_) => return Err(CallError::NoResponse),
            }
            match read_some(&self.stream, &mut self.input).await {
                Ok(0) | Err(_) => return Err(CallError::NoResponse),
                Ok(n) => self.traffic.engines.record_received(n),
            }
        }
    }
}
