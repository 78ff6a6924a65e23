//! Conversion of a final response into an [`AttemptEnd`], and fetching the pages of a result.

use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use ivypitch_types::Outcome;

use super::{AttemptRun, RETRY_BACKOFF, Withdrawal};
use crate::actors::engine_client::RESPONSE_TIMEOUT;
use crate::actors::engine_connection::{CallError, EngineConnection};
use crate::actors::messages::{AttemptEnd, MeasuredCost};
use crate::state::connections::ConnectPurpose;
use crate::state::result_pages::{ConnectionUse, ResultError, ResultPages, ResultStep};
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
        let mut result = ResultPages::begin(end).ok()?;
        loop {
            let connection = self.connection.take().filter(EngineConnection::is_clean);
            if connection.is_none() && result.on_connection_lost() {
                self.engine.record_unconfirmed_page();
            }
            let page = match result.next_step() {
                ResultStep::Request(page) => page,
                ResultStep::Restart => return None,
                ResultStep::Complete => {
                    self.connection = connection;
                    return Some(self.end(end, Some(result.into_rows())));
                }
            };
            let connection_use = connection
                .as_ref()
                .map_or(ConnectionUse::First, EngineConnection::connection_use);
            match self.request_page(page, connection, failures).await {
                PageOutcome::Response(response) => {
                    match result.on_response(&response, connection_use) {
                        // The timeout stays: a slow engine needs it for the next page too.
                        Ok(()) => {}
                        Err(ResultError::PageLost) => return Some(self.end(&response, None)),
                        Err(_) => self.on_page_failure(&mut failures).await,
                    }
                }
                PageOutcome::Error(CallError::ConnectionRefused) => {
                    return Some(AttemptEnd::without_answer(Outcome::Reset));
                }
                PageOutcome::Error(_) => self.on_page_failure(&mut failures).await,
                PageOutcome::Withdrawn(Withdrawal::Cancelled) => return Some(self.cancel().await),
                PageOutcome::Withdrawn(Withdrawal::Detached) => {
                    return Some(AttemptEnd::without_answer(Outcome::Cancelled));
                }
            }
        }
    }

    /// Closes the connection of a page that did not arrive, and waits before the next retry.
    async fn on_page_failure(&mut self, failures: &mut u32) {
        self.connection = None;
        *failures += 1;
        if *failures > 1 {
            Timer::after(RETRY_BACKOFF).await;
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
