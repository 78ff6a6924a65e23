//! Client sessions: login, one statement at a time with one answer each, and a graceful close.
//!
//! The buffers, counters and waits of each session, and of all sessions together, are bounded,
//! whatever a client sends or omits.

mod admission;
mod answers;
mod closing;
mod commands;
mod login;
mod receiving;

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use bytes::BytesMut;
use futures_lite::{AsyncWriteExt, FutureExt, future::yield_now};

use super::messages::ClientPresence;
use crate::state::sessions::SessionState;
use crate::wire::mysql::{self, ErrorPacket, Writer};

pub use admission::{SessionCounts, Sessions};

/// A client that reads nothing for this time counts as disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// MySQL error code of a malformed packet.
const MALFORMED_PACKET: u16 = 1835;

/// One client's connection, from the greeting to the close.
struct Session {
    stream: Rc<Async<TcpStream>>,
    input: BytesMut,
    output: BytesMut,
    connection: u32,
    connected_at: Instant,
    /// Sequence number of the next packet to the client.
    sequence: u8,
    state: Rc<SessionState>,
    presence: Rc<ClientPresence>,
    sessions: Rc<Sessions>,
}

/// Why a session ends. None of the reasons is logged.
enum SessionEnd {
    /// The client disconnected or does not read: nothing more is sent.
    Disconnected,
    /// No statement is open, and the client was idle for too long, the session makes room for
    /// another, or the gateway shuts down.
    Idle,
    /// The client receives this error, then its connection is closed.
    Error(ErrorPacket),
}

impl From<io::Error> for SessionEnd {
    fn from(_: io::Error) -> Self {
        SessionEnd::Disconnected
    }
}

impl From<mysql::ProtocolError> for SessionEnd {
    fn from(error: mysql::ProtocolError) -> Self {
        SessionEnd::Error(ErrorPacket {
            code: MALFORMED_PACKET,
            sql_state: "HY000",
            message: error.to_string().into(),
        })
    }
}

impl Session {
    async fn serve(mut self) {
        let Err(end) = self.run().await;
        self.close(end).await;
    }

    async fn run(&mut self) -> Result<Infallible, SessionEnd> {
        self.log_in().await?;
        loop {
            let packet = self.next_packet().await?;
            self.state.is_busy.set(true);
            let received_at = self.sessions.clock().now();
            self.on_command(packet.payload, received_at).await?;
            self.flush().await?;
            self.state.is_busy.set(false);
            // Lets other sessions run, even if more commands have already arrived on this one.
            yield_now().await;
        }
    }

    /// Returns a writer for the answer to the last command.
    fn writer(&mut self) -> Writer<'_> {
        self.writer_from(self.sequence)
    }

    /// Returns a writer for the rest of an answer, beginning at this sequence number.
    fn writer_from(&mut self, sequence: u8) -> Writer<'_> {
        Writer {
            out: &mut self.output,
            sequence,
        }
    }

    /// Sends the buffered output.
    async fn flush(&mut self) -> Result<(), SessionEnd> {
        let mut stream = &*self.stream;
        let timeout_at = Instant::now() + WRITE_TIMEOUT;
        let write = async { Ok(stream.write_all(&self.output).await?) };
        with_deadline(timeout_at, write).await?;
        self.output = BytesMut::new();
        Ok(())
    }
}

/// Runs `work`. After the deadline the client counts as disconnected.
async fn with_deadline<T>(
    deadline: Instant,
    work: impl Future<Output = Result<T, SessionEnd>>,
) -> Result<T, SessionEnd> {
    let timed_out = async {
        Timer::at(deadline).await;
        Err(SessionEnd::Disconnected)
    };
    work.or(timed_out).await
}
