//! Conversion of a final response into an [`AttemptEnd`], and fetching the pages of a result.

use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use ivypitch_types::Outcome;

use super::{AttemptRun, RETRY_BACKOFF, Withdrawal};
use crate::actors::engine_client::RESPONSE_TIMEOUT;
use crate::actors::engine_connection::{CallError, EngineConnection, UnreadInput};
use crate::actors::messages::{AttemptEnd, MeasuredCost};
use crate::state::connections::ConnectPurpose;
use crate::state::result_pages::{
    ConnectionLoss, ConnectionUse, ResultError, ResultPages, ResultStep,
};
use crate::state::rows::Rows;
use crate::wire::http::{self, Response, status};

/// Allowance for a page, as a multiple of the time in which the response before it arrived.
const TRANSFER_TIME_FACTOR: u32 = 2;

/// The first event after a page was requested.
enum PageOutcome {
    Response(Response),
    Error(CallError),
    Withdrawn(Withdrawal),
}

impl AttemptRun<'_> {
    /// Converts the final response into the attempt's end. `rows` is the complete result, if there
    /// is one.
    pub(super) fn end(&self, response: &Response, rows: Option<Rows>) -> AttemptEnd {
        let outcome = match (response.status, response.never_ran) {
            (status::COMPLETED, _) => Outcome::Completed,
            (status::UNAVAILABLE, true) => Outcome::Overloaded,
            (status::TIMED_OUT, true) => Outcome::NeverDispatched,
            _ => Outcome::Error,
        };
        let measured_cost = response.work_ms.map(|work_ms| MeasuredCost {
            work_ms,
            peak_mb: response.peak_mb.unwrap_or(0.0),
        });
        AttemptEnd {
            outcome,
            measured_cost: measured_cost.filter(|_| rows.is_some()),
            load_report: http::parse_load_report(&response.load, &self.attempt.report_fields),
            rows,
        }
    }

    /// Fetches the result that begins with `end` and returns the attempt's end. Returns `None` if
    /// `end` is not the first page of a result, or was not confirmed as complete: the attempt is to
    /// be polled. Timeouts grow with `failures`, the polls that failed in a row before.
    pub(super) async fn fetch_result(
        &mut self,
        end: &Response,
        mut failures: u32,
    ) -> Option<AttemptEnd> {
        let mut result = ResultPages::begin(end, self.lost_first_page.take()).ok()?;
        loop {
            let connection = self.take_connection(&mut result);
            let page = match result.next_step() {
                ResultStep::Request(page) => page,
                ResultStep::Restart => {
                    self.lost_first_page = result.take_lost_page();
                    return None;
                }
                ResultStep::Complete => {
                    self.connection = connection;
                    return Some(self.end(end, Some(result.into_rows())));
                }
            };
            let connection_use = connection.as_ref().map(EngineConnection::connection_use);
            match self.request_page(page, connection, failures).await {
                PageOutcome::Response(response) => {
                    let connection_use = connection_use.unwrap_or(ConnectionUse::First);
                    match result.on_response(&response, connection_use) {
                        // The timeout stays: a slow engine needs it for the next page too.
                        Ok(()) => continue,
                        Err(ResultError::PageLost) => return Some(self.end(&response, None)),
                        Err(_) => self.drop_unconfirmed(&mut result, ConnectionLoss::Unusable),
                    }
                }
                PageOutcome::Error(CallError::ConnectionRefused) => {
                    return Some(AttemptEnd::without_answer(Outcome::Reset));
                }
                PageOutcome::Error(error) => {
                    self.on_page_error(&mut result, &error, connection_use);
                }
                PageOutcome::Withdrawn(Withdrawal::Cancelled) => return Some(self.cancel().await),
                PageOutcome::Withdrawn(Withdrawal::Detached) => {
                    return Some(AttemptEnd::without_answer(Outcome::Cancelled));
                }
            }
            self.connection = None;
            failures += 1;
            if failures > 1 {
                Timer::after(RETRY_BACKOFF).await;
            }
        }
    }

    /// Takes the connection of the last page if a call can be sent on it; otherwise its end decides
    /// whether the last page is confirmed.
    fn take_connection(&mut self, result: &mut ResultPages) -> Option<EngineConnection> {
        let Some(connection) = self.connection.take() else {
            self.drop_unconfirmed(result, ConnectionLoss::Unusable);
            return None;
        };
        match connection.unread_input() {
            UnreadInput::Nothing => return Some(connection),
            UnreadInput::Closed => result.on_stream_ended(connection.connection_use()),
            UnreadInput::Reset => self.drop_unconfirmed(result, ConnectionLoss::Reset),
            UnreadInput::Bytes => self.drop_unconfirmed(result, ConnectionLoss::Unusable),
        }
        None
    }

    /// Handles a call without a response; `connection_use` is that of the last page's connection if
    /// the call was sent on it.
    fn on_page_error(
        &self,
        result: &mut ResultPages,
        error: &CallError,
        connection_use: Option<ConnectionUse>,
    ) {
        match (error, connection_use) {
            (CallError::StreamEnded, Some(connection)) => result.on_stream_ended(connection),
            (CallError::ConnectionReset | CallError::NotSent, _) => {
                self.drop_unconfirmed(result, ConnectionLoss::Reset);
            }
            _ => self.drop_unconfirmed(result, ConnectionLoss::Unusable),
        }
    }

    fn drop_unconfirmed(&self, result: &mut ResultPages, loss: ConnectionLoss) {
        if result.on_connection_lost(loss) {
            self.engine.record_unconfirmed_page();
        }
    }

    /// Requests a page of a result on `connection`, or on another if there is none. The timeout
    /// grows with `failures`, and where the response before took long to arrive. A change of the
    /// priority no longer matters.
    async fn request_page(
        &mut self,
        page: usize,
        connection: Option<EngineConnection>,
        failures: u32,
    ) -> PageOutcome {
        let attempt = self.attempt;
        let request = http::write_get(&attempt.start.statement_id, page, &self.engine.host());
        let last_transfer_time = connection
            .as_ref()
            .map_or(Duration::ZERO, EngineConnection::transfer_time);
        let timeout =
            (RESPONSE_TIMEOUT + last_transfer_time * TRANSFER_TIME_FACTOR) * (1 + failures);
        let slot = &mut self.connection;
        let call = self
            .engine
            .call_on(connection, slot, &request, timeout, ConnectPurpose::Poll);
        let responded = async {
            match call.await {
                Ok(response) => PageOutcome::Response(response),
                Err(error) => PageOutcome::Error(error),
            }
        };
        let withdrawn = async { PageOutcome::Withdrawn(attempt.wait_for_withdrawal().await) };
        responded.or(withdrawn).await
    }
}
