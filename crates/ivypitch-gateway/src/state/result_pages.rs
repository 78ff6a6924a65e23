//! A result while its pages are fetched from an engine.
//!
//! A page whose stated length is too small looks complete as soon as that many bytes have arrived;
//! the rest of its body may arrive at any later time. Only what follows on the connection proves the
//! length: the next response begins where the body ends, and so does the end of a stream that the
//! engine closes. Until then the last page is unconfirmed. It is dropped if its connection is lost;
//! where nothing spoke against its length, the same page on another connection confirms it.

use bytes::Bytes;

use super::rows::{PageError, Rows};
use crate::wire::http::{Response, status};

/// The number of the first page. Requested again, it confirms the last page.
const FIRST_PAGE: usize = 0;

/// What to do next to complete a result.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ResultStep {
    /// Nothing: all pages are confirmed.
    Complete,
    /// Request the page with this number, on the connection of the last page if that is unconfirmed.
    Request(usize),
    /// Poll for the end of the statement: the first page was dropped.
    Restart,
}

/// Whether a connection served an earlier statement, whose late responses may arrive on it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ConnectionUse {
    /// The connection has served this statement alone.
    First,
    /// The connection has served another statement before.
    Reused,
}

/// How the connection of the last page was lost.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ConnectionLoss {
    /// The connection broke, and nothing had followed the page.
    Reset,
    /// No response followed in time, or something else than a response.
    Unusable,
}

/// Why a response does not continue a result.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum ResultError {
    /// The response is not the requested page.
    #[error("not the requested page")]
    OtherPage,
    /// The engine no longer knows the requested page.
    #[error("the page is lost")]
    PageLost,
    /// The first page was repeated with other rows.
    #[error("the repeated first page differs")]
    RepeatDiffers,
    /// The rows of the page are invalid.
    #[error(transparent)]
    Page(#[from] PageError),
}

/// The pages of a result that were received so far; all but the last are confirmed.
#[derive(Debug)]
pub struct ResultPages {
    page_count: usize,
    rows: Rows,
    is_last_confirmed: bool,
    /// The page after the last one, if it was received on a connection that broke then.
    lost_page: Option<Bytes>,
}

impl ResultPages {
    /// Begins with the response that reports the end of a statement. `lost_page` is the first page
    /// as it was received on a connection that broke then. Fails if the response is not the first
    /// page of a result.
    pub fn begin(end: &Response, lost_page: Option<Bytes>) -> Result<ResultPages, ResultError> {
        let page_count = end
            .page_count
            .filter(|_| is_first_page(end))
            .ok_or(ResultError::OtherPage)?;
        let mut result = ResultPages {
            page_count,
            rows: Rows::default(),
            is_last_confirmed: true,
            lost_page,
        };
        result.push(end.body.clone(), end.closes_connection)?;
        Ok(result)
    }

    /// Returns what to do next.
    pub fn next_step(&self) -> ResultStep {
        match self.rows.page_count() {
            0 => ResultStep::Restart,
            received if received < self.page_count => ResultStep::Request(received),
            _ if self.is_last_confirmed => ResultStep::Complete,
            _ => ResultStep::Request(FIRST_PAGE),
        }
    }

    /// Handles the response to the request of [`Self::next_step`]. If the last page is unconfirmed,
    /// the response must have arrived on the same connection. On an error nothing changes.
    pub fn on_response(
        &mut self,
        response: &Response,
        connection: ConnectionUse,
    ) -> Result<(), ResultError> {
        let received = self.rows.page_count();
        if received == self.page_count {
            return self.on_repeat(response, connection);
        }
        if response.status == status::FAILED {
            return Err(ResultError::PageLost);
        }
        if response.status != status::COMPLETED || response.page != Some(received) {
            return Err(ResultError::OtherPage);
        }
        self.push(response.body.clone(), response.closes_connection)
    }

    /// Handles the repeated first page. An engine that has forgotten the statement meanwhile
    /// confirms the last page too, unless the pages may be those of an earlier statement.
    fn on_repeat(
        &mut self,
        response: &Response,
        connection: ConnectionUse,
    ) -> Result<(), ResultError> {
        if response.status == status::FAILED && connection == ConnectionUse::First {
            self.is_last_confirmed = true;
            return Ok(());
        }
        if !is_first_page(response) {
            return Err(ResultError::OtherPage);
        }
        let has_other_count = response
            .page_count
            .is_some_and(|count| count != self.page_count);
        if has_other_count || self.rows.first_page() != Some(&response.body) {
            return Err(ResultError::RepeatDiffers);
        }
        self.is_last_confirmed = true;
        Ok(())
    }

    /// Handles the end of the stream on which the last page arrived, which follows the page.
    pub fn on_stream_ended(&mut self, connection: ConnectionUse) {
        match connection {
            ConnectionUse::First => self.is_last_confirmed = true,
            // The page may be that of an earlier statement.
            ConnectionUse::Reused => {
                self.on_connection_lost(ConnectionLoss::Reset);
            }
        }
    }

    /// Handles the loss of the connection on which the last page arrived. Returns whether that page
    /// was unconfirmed, and is dropped.
    pub fn on_connection_lost(&mut self, loss: ConnectionLoss) -> bool {
        if self.is_last_confirmed {
            return false;
        }
        let dropped = self.rows.pop_page();
        self.lost_page = dropped.filter(|_| loss == ConnectionLoss::Reset);
        self.is_last_confirmed = true;
        true
    }

    /// Removes the page that is to be compared with the next one received.
    pub fn take_lost_page(&mut self) -> Option<Bytes> {
        self.lost_page.take()
    }

    /// Returns the rows of a complete result.
    pub fn into_rows(self) -> Rows {
        self.rows
    }

    /// Appends the next page. `is_closed` is true if the end of the stream followed it.
    fn push(&mut self, page: Bytes, is_closed: bool) -> Result<(), ResultError> {
        self.rows.push_page(page.clone())?;
        let is_repeated = self.lost_page.take() == Some(page);
        self.is_last_confirmed = is_closed || is_repeated;
        Ok(())
    }
}

fn is_first_page(response: &Response) -> bool {
    response.status == status::COMPLETED && matches!(response.page, None | Some(FIRST_PAGE))
}
