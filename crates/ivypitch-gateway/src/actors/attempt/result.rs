//! Conversion of a final response into an [`AttemptEnd`], and fetching the pages of a result.

use async_io::Timer;
use ivypitch_types::Outcome;

use super::polling::PollOutcome;
use super::{AttemptRun, RETRY_BACKOFF};
use crate::actors::engine_client::RESPONSE_TIMEOUT;
use crate::actors::engine_connection::CallError;
use crate::actors::messages::{AttemptEnd, AttemptMessage, MeasuredCost};
use crate::state::rows::Rows;
use crate::wire::http::{self, Response, status};

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

    /// Fetches the result that begins with `response` and returns the attempt's end. Returns `None`
    /// if `response` is not the first page of a result.
    pub(super) async fn fetch_result(&mut self, response: &Response) -> Option<AttemptEnd> {
        let first = first_page(response)?;
        let page_count = response.page_count.unwrap_or(1);
        Some(match self.fetch_pages(first, page_count).await {
            Ok(rows) => self.end(response, Some(rows)),
            Err(end) => end,
        })
    }

    /// Fetches the pages after the first. A page that is incomplete or does not belong to the
    /// result is requested again.
    async fn fetch_pages(&mut self, mut rows: Rows, page_count: usize) -> Result<Rows, AttemptEnd> {
        let mut failures = 0;
        while rows.page_count() < page_count {
            let number = rows.page_count();
            let timeout = RESPONSE_TIMEOUT * (1 + failures);
            match self.poll(number, timeout).await {
                PollOutcome::Response(page) if page.status == status::FAILED => {
                    return Err(self.end(&page, None));
                }
                PollOutcome::Response(page) if push_page(&mut rows, number, &page) => failures = 0,
                PollOutcome::Error(CallError::ConnectionRefused) => {
                    return Err(AttemptEnd::without_answer(Outcome::Reset));
                }
                PollOutcome::Message(AttemptMessage::Cancel) => return Err(self.cancel().await),
                PollOutcome::Message(AttemptMessage::Detach) => {
                    return Err(AttemptEnd::without_answer(Outcome::Cancelled));
                }
                PollOutcome::Message(AttemptMessage::Priority(_)) => {}
                PollOutcome::Response(_) | PollOutcome::Error(_) => {
                    self.connection = None;
                    failures += 1;
                    if failures > 1 {
                        Timer::after(RETRY_BACKOFF).await;
                    }
                }
            }
        }
        Ok(rows)
    }
}

/// Appends a page and returns true if `page` has this number and holds rows.
fn push_page(rows: &mut Rows, number: usize, page: &Response) -> bool {
    page.page == Some(number) && rows.push_page(page.body.clone()).is_ok()
}

/// Parses the first page of a completed result; `None` if `response` is something else.
fn first_page(response: &Response) -> Option<Rows> {
    let is_first = response.status == status::COMPLETED
        && response.page_count.is_some()
        && matches!(response.page, None | Some(0));
    if !is_first {
        return None;
    }
    let mut rows = Rows::default();
    rows.push_page(response.body.clone()).ok()?;
    Some(rows)
}
