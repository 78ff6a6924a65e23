//! Polling of a started attempt until the engine reports its end.

use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use ivypitch_scheduler::AttemptProgress;
use ivypitch_types::Outcome;

use super::{AttemptRun, RETRY_BACKOFF};
use crate::actors::engine_client::{POLL_TIMEOUT, RESPONSE_TIMEOUT};
use crate::actors::engine_connection::{CallError, EngineConnection};
use crate::actors::messages::{AttemptEnd, AttemptMessage, SchedulerMessage};
use crate::state::connections::ConnectPurpose;
use crate::state::result_pages::ConnectionUse;
use crate::wire::http::{self, Response, status};

/// Page of a running statement's progress, and of the first rows once the statement completed.
const PROGRESS_PAGE: usize = 0;

/// The first event while an attempt waited for a response.
enum PollOutcome {
    Response(Response),
    Error(CallError),
    Message(AttemptMessage),
}

impl AttemptRun<'_> {
    /// Confirms a final response without a result on a reused connection, where it may belong to an
    /// earlier statement: the engine has to repeat it. Returns `None` if it does not; the attempt is
    /// then polled. A result is confirmed on every connection, as its pages are fetched.
    pub(super) async fn confirm_failure(
        &mut self,
        response: Option<Response>,
    ) -> Result<Option<Response>, AttemptEnd> {
        let connection_use = self
            .connection
            .as_ref()
            .map_or(ConnectionUse::First, EngineConnection::connection_use);
        let is_reused = connection_use == ConnectionUse::Reused;
        let Some(end) = response
            .as_ref()
            .filter(|response| is_reused && is_failure(response.status))
        else {
            return Ok(response);
        };
        match self.poll(RESPONSE_TIMEOUT).await {
            // An engine that forgot the statement responds that it does not know it.
            PollOutcome::Response(repeated)
                if repeated.status == end.status || repeated.status == status::FAILED =>
            {
                Ok(response)
            }
            PollOutcome::Message(AttemptMessage::Cancel) => Err(self.cancel().await),
            PollOutcome::Message(AttemptMessage::Detach) => {
                Err(AttemptEnd::without_answer(Outcome::Cancelled))
            }
            _ => {
                self.connection = None;
                Ok(None)
            }
        }
    }

    /// Polls until the engine reports the end, beginning with the response to the start.
    pub(super) async fn poll_until_end(&mut self, mut response: Option<Response>) -> AttemptEnd {
        let mut failures = 0;
        // An attempt that another gateway started has no first response, which is not a failure.
        let mut has_failed = !self.attempt.is_already_started;
        loop {
            if let Some(response) = &response
                && let Some(end) = self.on_response(response, failures).await
            {
                return end;
            }
            let is_running = response.is_some_and(|response| response.status == status::RUNNING);
            failures = if is_running || !has_failed {
                0
            } else {
                failures + 1
            };
            has_failed = true;
            if failures > 1 {
                Timer::after(RETRY_BACKOFF).await;
            }
            self.send_priority().await;
            response = match self.poll_progress(failures).await {
                Ok(response) => response,
                Err(end) => return end,
            };
        }
    }

    /// Polls once; the timeout grows with `failures`. Returns `None` without a complete response.
    async fn poll_progress(&mut self, failures: u32) -> Result<Option<Response>, AttemptEnd> {
        let timeout = POLL_TIMEOUT * (1 + failures);
        match self.poll(timeout).await {
            PollOutcome::Response(response) => Ok(Some(response)),
            PollOutcome::Error(CallError::ConnectionRefused) => {
                Err(AttemptEnd::without_answer(Outcome::Reset))
            }
            PollOutcome::Error(_) => Ok(None),
            PollOutcome::Message(AttemptMessage::Cancel) => Err(self.cancel().await),
            PollOutcome::Message(AttemptMessage::Detach) => {
                Err(AttemptEnd::without_answer(Outcome::Cancelled))
            }
            PollOutcome::Message(AttemptMessage::Priority(priority)) => {
                self.attempt.unsent_priority.set(Some(priority));
                // This gateway interrupted the poll, so that it is not a failure.
                Ok(Some(Response {
                    status: status::RUNNING,
                    ..Response::default()
                }))
            }
        }
    }

    /// Handles the response to a start or a poll and returns the attempt's end, if it ended. A
    /// response that is neither progress nor an end counts as incomplete, and its connection is
    /// closed. `failures` counts the polls that failed in a row before.
    async fn on_response(&mut self, response: &Response, failures: u32) -> Option<AttemptEnd> {
        match response.status {
            status::RUNNING => {
                self.report_progress(response);
                None
            }
            status if is_failure(status) => Some(self.end(response, None)),
            _ => {
                let completed = self.fetch_result(response, failures).await;
                if completed.is_none() {
                    self.connection = None;
                }
                completed
            }
        }
    }

    fn report_progress(&self, response: &Response) {
        let Some((name, figure)) = &response.note else {
            return;
        };
        let progress = match (name.as_str(), *figure) {
            ("done", fraction) => AttemptProgress::FractionDone(fraction),
            ("spills", mb) => AttemptProgress::SpilledMb(mb),
            ("waits", 1.0) => AttemptProgress::WaitingForMemory,
            ("waits", _) => AttemptProgress::WaitingForBulkLoad,
            _ => return,
        };
        let _ = self
            .attempt
            .scheduler
            .try_send(SchedulerMessage::AttemptProgressed {
                key: self.attempt.key,
                progress,
            });
    }

    /// Sends a pending priority to the engine and ignores the response.
    async fn send_priority(&self) {
        let Some(priority) = self.attempt.unsent_priority.take() else {
            return;
        };
        let statement_id = &self.attempt.start.statement_id;
        let request = http::write_priority(statement_id, priority, &self.engine.host());
        let mut separate_connection = None;
        let slot = &mut separate_connection;
        let purpose = ConnectPurpose::Priority;
        let call = self.engine.call(slot, &request, RESPONSE_TIMEOUT, purpose);
        let _ = call.await;
    }

    /// Requests the attempt's progress or end.
    async fn poll(&mut self, timeout: Duration) -> PollOutcome {
        let attempt = self.attempt;
        let statement_id = &attempt.start.statement_id;
        let request = http::write_get(statement_id, PROGRESS_PAGE, &self.engine.host());
        let slot = &mut self.connection;
        let call = self
            .engine
            .call(slot, &request, timeout, ConnectPurpose::Poll);
        let responded = async {
            match call.await {
                Ok(response) => PollOutcome::Response(response),
                Err(error) => PollOutcome::Error(error),
            }
        };
        let message = async { PollOutcome::Message(attempt.next_message().await) };
        responded.or(message).await
    }
}

/// Whether the status reports the end of a statement without a result.
fn is_failure(status: u16) -> bool {
    matches!(
        status,
        status::FAILED | status::UNAVAILABLE | status::TIMED_OUT
    )
}
