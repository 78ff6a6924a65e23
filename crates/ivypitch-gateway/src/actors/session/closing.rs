//! Closing in order: the client reads its last answer, whatever the reason of the close.

use std::net::Shutdown;
use std::time::{Duration, Instant};

use bytes::BytesMut;

use super::commands::TOO_MANY_CONNECTIONS;
use super::{Session, SessionEnd, with_deadline};
use crate::actors::socket::read_some;

/// Behind the last byte to a client what it still sends is read and dropped for so long: a close over unread bytes
/// resets the connection, and what the client has not read yet is lost.
const LINGER: Duration = Duration::from_millis(500);
/// And no more than so much of it.
const MAX_LINGER_BYTES: usize = 256 << 10;

impl Session {
    /// There is no room for it: the client gets an error and the connection is closed.
    pub(super) async fn refuse(mut self) {
        self.close(SessionEnd::Error(TOO_MANY_CONNECTIONS)).await;
    }

    /// The one way in which a session closes, whatever the reason: no command is read any more; the last answer, with
    /// the error where one is due; our half is closed; what the client still sends is read and dropped until it has
    /// closed too, for a while; only then the connection.
    pub(super) async fn close(&mut self, end: SessionEnd) {
        self.presence.has_left.set(true);
        self.state.is_busy.set(false);
        self.state.is_closing.set(true);
        self.input = BytesMut::new();
        if self.send_last(end).await.is_ok() {
            let deadline = Instant::now() + LINGER;
            let _ = with_deadline(deadline, self.drop_input()).await;
        }
        let _ = self.stream.get_ref().shutdown(Shutdown::Both);
        self.sessions.on_closed(self.connection);
    }

    /// Sends the error, where one is due, and closes our half; an error if the client has gone.
    async fn send_last(&mut self, end: SessionEnd) -> Result<(), SessionEnd> {
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

    async fn drop_input(&mut self) -> Result<(), SessionEnd> {
        let mut dropped_bytes = 0;
        while dropped_bytes < MAX_LINGER_BYTES {
            self.input.clear();
            match read_some(&self.stream, &mut self.input).await? {
                0 => break,
                bytes => dropped_bytes += bytes,
            }
        }
        Ok(())
    }
}
