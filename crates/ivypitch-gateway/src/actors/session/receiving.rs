//! Waiting for a client's next message, in time.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;

use super::{Session, SessionEnd};
use crate::actors::socket::{read_now, read_some};
use crate::state::sessions::{RECENT_ACTIVITY_PERIOD, SessionStage};
use crate::wire::mysql::{self, Packet};

/// A connection is owed an answer or a close within 3 s: so long it may take to log in and give its first command.
const FIRST_COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// And so long for the rest of a message that it has begun.
const REST_OF_MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Clients close idle connections after 4 s; one that is idle for longer has been left behind.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// What a session has waited for.
enum WaitOutcome {
    /// So many bytes came; 0: the client's end of stream.
    Read(usize),
    /// The session is to end once nothing is open on it.
    EndRequested,
    TimedOut,
}

/// How far the next message is.
struct Receiving {
    idle_since: Instant,
    /// When its first bytes came.
    begun_at: Option<Instant>,
    is_end_requested: bool,
}

impl Session {
    /// The next complete message, in time. A session that is to end, or whose time is over, looks once more at what has
    /// come: a request that arrived in that very moment is served, or rejected, and not reset.
    pub(super) async fn next_packet(&mut self) -> Result<Packet, SessionEnd> {
        let mut receiving = Receiving {
            idle_since: Instant::now(),
            begun_at: None,
            is_end_requested: false,
        };
        loop {
            if let Some(packet) = self.take_packet()? {
                return Ok(packet);
            }
            if !self.input.is_empty() {
                receiving.begun_at.get_or_insert_with(Instant::now);
                self.state.has_partial_message.set(true);
            }
            receiving.is_end_requested = self.state.is_end_requested();
            match self.wait_for_bytes(&receiving).await? {
                WaitOutcome::Read(0) => return Err(SessionEnd::Disconnected),
                WaitOutcome::Read(_) | WaitOutcome::EndRequested => {}
                WaitOutcome::TimedOut => self.look_once_more(&receiving)?,
            }
        }
    }

    /// The message at the front of the input, if it is complete. The answer takes the sequence number after its own.
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

    async fn wait_for_bytes(&mut self, receiving: &Receiving) -> Result<WaitOutcome, SessionEnd> {
        if let Some(bytes) = read_now(&self.stream, &mut self.input)? {
            return Ok(WaitOutcome::Read(bytes));
        }
        self.state.on_input_taken();
        let outcome = self.wait_for_more(receiving).await;
        self.state.is_waiting_for_input.set(false);
        outcome
    }

    /// Nothing is there: waits until something is.
    async fn wait_for_more(&mut self, receiving: &Receiving) -> Result<WaitOutcome, SessionEnd> {
        let deadline = self.deadline(receiving);
        let timed_out = async {
            Timer::at(deadline).await;
            Ok(WaitOutcome::TimedOut)
        };
        let end_requested = async {
            if receiving.is_end_requested {
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

    fn deadline(&self, receiving: &Receiving) -> Instant {
        let stage = self.state.stage.get();
        let deadline = match (stage, receiving.begun_at) {
            (SessionStage::Connected | SessionStage::LoggedIn, _) => {
                self.connected_at + FIRST_COMMAND_TIMEOUT
            }
            (SessionStage::Answered, Some(begun_at)) => begun_at + REST_OF_MESSAGE_TIMEOUT,
            (SessionStage::Answered, None) => receiving.idle_since + IDLE_TIMEOUT,
        };
        if !receiving.is_end_requested || receiving.begun_at.is_some() {
            deadline
        } else if stage == SessionStage::Answered {
            receiving.idle_since
        } else {
            // One that has come just now may be about to send its statement.
            deadline.min(self.state.last_progress_at.get() + RECENT_ACTIVITY_PERIOD)
        }
    }

    /// Its time is over: ends the session, unless a message has come in that moment.
    fn look_once_more(&mut self, receiving: &Receiving) -> Result<(), SessionEnd> {
        match read_now(&self.stream, &mut self.input)? {
            Some(0) => Err(SessionEnd::Disconnected),
            // The first of a message; more of a message whose time is over does not count.
            Some(_) if receiving.begun_at.is_none() => Ok(()),
            _ => Err(SessionEnd::Idle),
        }
    }
}
