//! Start of an attempt: its connection, the last check before sending, and the response.

use std::cell::Cell;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use ivypitch_types::Outcome;

use super::{Attempt, AttemptRun, Withdrawal};
use crate::actors::engine_client::POLL_TIMEOUT;
use crate::actors::engine_connection::{CallError, EngineConnection};
use crate::actors::messages::{AttemptEnd, AttemptMessage};
use crate::wire::http::{self, Response, StartRequest, status};

/// How long the response to a cancelled start is awaited, since a cancellation on another
/// connection might overtake the start.
const CANCELLED_START_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on connections in a row that close or receive bytes before the start is sent.
const MAX_UNUSABLE_CONNECTIONS: usize = 3;

/// The first event after a start request was written.
enum StartOutcome {
    Responded(Result<Response, CallError>),
    /// The attempt was cancelled, and no response arrived in time.
    Unanswered,
    Detached,
}

impl AttemptRun<'_> {
    /// Sends the start and waits for its response. Returns `None` without a complete response: the
    /// statement may be running and is polled.
    pub(super) async fn start(&mut self) -> Result<Option<Response>, AttemptEnd> {
        let connection = self.connection_for_start().await?;
        let attempt = self.attempt;
        let start = StartRequest {
            remaining_ms: attempt.gate.remaining_ms(attempt.times_out_at),
            ..attempt.start.clone()
        };
        let request = http::write_start(&start, &self.engine.host());
        let is_wanted = Cell::new(true);
        let slot = &mut self.connection;
        let call = self
            .engine
            .exchange(connection, slot, &request, POLL_TIMEOUT);
        let responded = async { StartOutcome::Responded(call.await) };
        let withdrawn = async {
            if attempt.wait_for_withdrawal().await == Withdrawal::Detached {
                return StartOutcome::Detached;
            }
            is_wanted.set(false);
            Timer::after(CANCELLED_START_TIMEOUT).await;
            StartOutcome::Unanswered
        };
        match responded.or(withdrawn).await {
            StartOutcome::Responded(Err(CallError::NotSent | CallError::ConnectionRefused)) => {
                Err(AttemptEnd::without_answer(Outcome::ConnectFailed))
            }
            StartOutcome::Responded(Ok(response))
                if response.status != status::RUNNING || is_wanted.get() =>
            {
                Ok(Some(response))
            }
            StartOutcome::Detached => Err(AttemptEnd::without_answer(Outcome::Cancelled)),
            _ if is_wanted.get() => Ok(None),
            _ => Err(self.cancel().await),
        }
    }

    /// Acquires a connection on which the start may be sent now. There is no wait between the check
    /// that the start is still wanted and its first byte.
    async fn connection_for_start(&self) -> Result<EngineConnection, AttemptEnd> {
        let attempt = self.attempt;
        let mut unusable = 0;
        loop {
            let connection = self.acquire_unless_withdrawn().await?;
            if !self.engine.is_usable_for_start(&connection) {
                // The connection received bytes, or the engine moved: try another.
                unusable += 1;
                if unusable == MAX_UNUSABLE_CONNECTIONS {
                    return Err(AttemptEnd::without_answer(Outcome::ConnectFailed));
                }
                continue;
            }
            if !attempt.is_wanted() || !attempt.gate.allows_send(attempt.key) {
                self.engine.release_unused(connection);
                return Err(AttemptEnd::without_answer(Outcome::NotSent));
            }
            return Ok(connection);
        }
    }

    async fn acquire_unless_withdrawn(&self) -> Result<EngineConnection, AttemptEnd> {
        let acquire = async {
            self.engine
                .acquire(&self.attempt.start.statement_id)
                .await
                .map_err(|_| AttemptEnd::without_answer(Outcome::ConnectFailed))
        };
        let withdrawn = async {
            self.attempt.wait_for_withdrawal().await;
            Err(AttemptEnd::without_answer(Outcome::NotSent))
        };
        withdrawn.or(acquire).await
    }
}

impl Attempt {
    /// Whether the attempt has not been cancelled and its client, if it has one here, has neither
    /// closed the connection nor sent more. A client that sends more before its answer is about to
    /// be disconnected.
    fn is_wanted(&self) -> bool {
        while let Ok(message) = self.mailbox.try_recv() {
            match message {
                AttemptMessage::Priority(priority) => self.unsent_priority.set(Some(priority)),
                AttemptMessage::Cancel | AttemptMessage::Detach => return false,
            }
        }
        self.client
            .as_ref()
            .is_none_or(|client| client.is_waiting())
    }
}
