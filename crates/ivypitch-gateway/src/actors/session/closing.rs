//! Graceful close: the client can read its last answer, whatever the reason for the close.

use std::net::Shutdown;
use std::time::{Duration, Instant};

use bytes::BytesMut;

use super::commands::TOO_MANY_CONNECTIONS;
use super::{Session, SessionEnd, with_deadline};
use crate::actors::socket::read_some;

/// How long input is read and discarded after the last byte was sent to a client. A close with
/// unread input resets the connection, and the client loses the data that it has not read yet.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on the input that is discarded before the close.
const MAX_LINGER_BYTES: usize = 256 << 10;

impl Session {
    /// Rejects the connection because there are too many: the client receives an error and the
    /// connection is closed.
    pub(super) async fn reject(mut self) {
        self.close(SessionEnd::Error(TOO_MANY_CONNECTIONS)).await;
    }

    /// Closes the session; every session closes this way, whatever the reason. No further command
    /// is read. The last answer is sent, with the error if there is one, and the write half is shut
    /// down. Input is then read and discarded until the client closes too or [`LINGER_TIMEOUT`]
    /// passes; only then is the connection closed.
    pub(super) async fn close(&mut self, end: SessionEnd) {
        self.presence.has_disconnected.set(true);
        self.state.is_busy.set(false);
        self.state.is_closing.set(true);
        self.input = BytesMut::new();
        if self.send_final_error(end).await.is_ok() {
            let deadline = Instant::now() + LINGER_TIMEOUT;
            let _ = with_deadline(deadline, self.discard_input()).await;
        }
        let _ = self.stream.get_ref().shutdown(Shutdown::Both);
        self.sessions.on_closed(self.connection);
    }

    /// Sends the error, if there is one, and shuts down the write half. Fails if the client has
    /// disconnected.
    async fn send_final_error(&mut self, end: SessionEnd) -> Result<(), SessionEnd> {
        match end {
            SessionEnd::Disconnected => return Err(SessionEnd::Disconnected),
            SessionEnd::Idle => {}
            SessionEnd::Error(error) => {
                self.writer().error(&error);
                self.flush().await?;
            }
        }
        self.stream.get_ref().shutdown(Shutdown::Write)?;
        Ok(())
    }

    async fn discard_input(&mut self) -> Result<(), SessionEnd> {
        let mut discarded_bytes = 0;
        while discarded_bytes < MAX_LINGER_BYTES {
            self.input.clear();
            match read_some(&self.stream, &mut self.input).await? {
                0 => break,
                bytes => discarded_bytes += bytes,
            }
        }
        Ok(())
    }
}
