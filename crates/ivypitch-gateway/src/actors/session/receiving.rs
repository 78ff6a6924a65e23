//! Receiving a client's next message, with timeouts.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;

use super::{Session, SessionEnd};
use crate::actors::socket::{read_now, read_some};
use crate::state::sessions::{RECENT_ACTIVITY_PERIOD, SessionStage};
use crate::wire::mysql::{self, Packet};

/// Time for the login and the first command: within 3 s a connection has to get an answer or close.
const FIRST_COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for the rest of a message after its first bytes.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Clients close idle connections after 4 s; a connection that is idle for longer is abandoned.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The result of waiting for a client's input.
enum WaitOutcome {
    /// Number of bytes read; 0 at the end of the client's stream.
    Read(usize),
    /// The session has to end as soon as no statement is open on it.
    EndRequested,
    TimedOut,
}

/// How far the next message has been received.
struct ReceiveProgress {
    idle_since: Instant,
    /// When the first bytes of the message arrived.
    first_bytes_at: Option<Instant>,
    is_end_requested: bool,
}

impl Session {
    /// Receives the next complete message, with timeouts. A session that has to end or timed out
    /// checks its input once more: a request that arrived at that moment is served or rejected, not
    /// reset.
    pub(super) async fn next_packet(&mut self) -> Result<Packet, SessionEnd> {
        let mut progress = ReceiveProgress {
            idle_since: Instant::now(),
            first_bytes_at: None,
            is_end_requested: false,
        };
        loop {
            if let Some(packet) = self.take_packet()? {
                return Ok(packet);
            }
            if !self.input.is_empty() {
                progress.first_bytes_at.get_or_insert_with(Instant::now);
                self.state.has_partial_message.set(true);
            }
            progress.is_end_requested = self.state.is_end_requested();
            match self.wait_for_bytes(&progress).await? {
                WaitOutcome::Read(0) => return Err(SessionEnd::Disconnected),
                WaitOutcome::Read(_) | WaitOutcome::EndRequested => {}
                WaitOutcome::TimedOut => self.check_input_at_timeout(&progress)?,
            }
        }
    }

    /// Takes the message at the front of the input if it is complete. The answer's sequence number
    /// follows the message's own.
    fn take_packet(&mut self) -> Result<Option<Packet>, SessionEnd> {
        if let Some(&[_, _, _, sequence]) = self.input.first_chunk() {
            self.sequence = sequence.wrapping_add(1);
        }
        let packet = mysql::next_packet(&mut self.input, self.sessions.max_message_bytes())?;
        if packet.is_some() {
            self.state.has_partial_message.set(false);
        }
        Ok(packet)
    }

    async fn wait_for_bytes(
        &mut self,
        progress: &ReceiveProgress,
    ) -> Result<WaitOutcome, SessionEnd> {
        if let Some(bytes) = read_now(&self.stream, &mut self.input)? {
            return Ok(WaitOutcome::Read(bytes));
        }
        self.state.on_input_taken();
        let outcome = self.wait_for_more(progress).await;
        self.state.is_waiting_for_input.set(false);
        outcome
    }

    /// Waits until input arrives, the session has to end, or the deadline passes.
    async fn wait_for_more(
        &mut self,
        progress: &ReceiveProgress,
    ) -> Result<WaitOutcome, SessionEnd> {
        let deadline = self.deadline(progress);
        let timed_out = async {
            Timer::at(deadline).await;
            Ok(WaitOutcome::TimedOut)
        };
        let end_requested = async {
            if progress.is_end_requested {
                std::future::pending::<()>().await;
            }
            self.state.end_requested().await;
            Ok(WaitOutcome::EndRequested)
        };
        let read = async {
            self.stream.readable().await?;
            let bytes = read_some(&self.stream, &mut self.input).await?;
            Ok(WaitOutcome::Read(bytes))
        };
        read.or(end_requested).or(timed_out).await
    }

    fn deadline(&self, progress: &ReceiveProgress) -> Instant {
        let stage = self.state.stage.get();
        let deadline = match (stage, progress.first_bytes_at) {
            (SessionStage::Connected | SessionStage::LoggedIn, _) => {
                self.connected_at + FIRST_COMMAND_TIMEOUT
            }
            (SessionStage::Answered, Some(first_bytes_at)) => first_bytes_at + MESSAGE_TIMEOUT,
            (SessionStage::Answered, None) => progress.idle_since + IDLE_TIMEOUT,
        };
        if !progress.is_end_requested || progress.first_bytes_at.is_some() {
            deadline
        } else if stage == SessionStage::Answered {
            progress.idle_since
        } else {
            // A client that connected or logged in just now may be about to send its statement.
            deadline.min(self.state.last_progress_at.get() + RECENT_ACTIVITY_PERIOD)
        }
    }

    /// Ends the session after a timeout, unless a new message arrived at that moment.
    fn check_input_at_timeout(&mut self, progress: &ReceiveProgress) -> Result<(), SessionEnd> {
        match read_now(&self.stream, &mut self.input)? {
            Some(0) => Err(SessionEnd::Disconnected),
            // First bytes of a message; more bytes of a message that timed out do not count.
            Some(_) if progress.first_bytes_at.is_none() => Ok(()),
            _ => Err(SessionEnd::Idle),
        }
    }
}
