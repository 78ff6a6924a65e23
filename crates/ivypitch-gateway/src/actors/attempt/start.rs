//! Starting an attempt: the connection, the last check, and the response to the start.

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

/// The response to a start that is cancelled is awaited for so long: a cancellation on another connection might
/// overtake the start.
const CANCELLED_START_TIMEOUT: Duration = Duration::from_millis(500);
/// So many connections in a row may close, or bring bytes, before the start has left.
const MAX_UNFIT_CONNECTIONS: usize = 3;

/// What came first after a start had been written.
enum StartOutcome {
    Responded(Result<Response, CallError>),
    /// It was cancelled, and no response came in time.
    Unanswered,
    Detached,
}

impl AttemptRun<'_> {
    /// The start, up to its response; `None` where none came complete: it may run all the same and is polled for.
    pub(super) async fn start(&mut self) -> Result<Option<Response>, AttemptEnd> {
        let connection = self.connection_for_start().await?;
        let attempt = self.attempt;
        let start = StartRequest {
            remaining_ms: attempt.gate.remaining_ms(attempt.times_out_at),
            ..attempt.start.clone()
        };
        let request = http::write_start(&start, &self.engine.host());
        let is_wanted = Cell::new(true);
        let held = &mut self.connection;
        let call = self
            .engine
            .exchange(connection, held, &request, POLL_TIMEOUT);
        let responded = async { StartOutcome::Responded(call.await) };
        let withdrawn = async {
            if attempt.withdrawn().await == Withdrawal::Detached {
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

    /// A connection on which the start may leave now. Whether it is wanted is asked once the connection is there:
    /// nothing waits between that and the first byte.
    async fn connection_for_start(&self) -> Result<EngineConnection, AttemptEnd> {
        let attempt = self.attempt;
        let mut unfit = 0;
        loop {
            let connection = self.acquire_unless_withdrawn().await?;
            if !self.engine.is_fit(&connection) {
                // Something came on it, or its engine has moved meanwhile: another one, and the question anew.
                unfit += 1;
                if unfit == MAX_UNFIT_CONNECTIONS {
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
            self.attempt.withdrawn().await;
            Err(AttemptEnd::without_answer(Outcome::NotSent))
        };
        withdrawn.or(acquire).await
    }
}

impl Attempt {
    /// Nobody has cancelled it, and its client, where it has one here, has neither closed nor sent anything more: a
    /// client that does is about to be disconnected.
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
