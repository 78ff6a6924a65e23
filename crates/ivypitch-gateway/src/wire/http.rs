//! The client's side of HTTP/1.1 to the engines: requests as bytes, and responses parsed off a buffer. No sockets.
//!
//! A statement starts with `POST /c`, is polled for with `GET /c/<id>/0` until it has ended, has its further pages
//! fetched with `GET /c/<id>/<page>`, its priority changed with `PUT /c/<id>` and is cancelled with `DELETE /c/<id>`.

use std::fmt::Write;

use bytes::{Buf, Bytes, BytesMut};

/// A page is 6,000 bytes at most; a longer body is no engine's.
pub const MAX_BODY_BYTES: usize = 6_000;
/// A result holds 48,000 bytes, a page one row of three columns at least.
const MAX_PAGES: usize = 16_000;
const MAX_HEAD_BYTES: usize = 8 << 10;
const MAX_HEADERS: usize = 32;
/// The highest priority that an engine knows.
const MAX_PRIORITY: u8 = 3;

/// The status codes with which engines respond.
pub mod status {
    /// The statement has completed; a page of its result is the body.
    pub const COMPLETED: u16 = 200;
    /// The statement is accepted or still runs.
    pub const RUNNING: u16 = 202;
    /// The statement is cancelled.
    pub const CANCELLED: u16 = 204;
    /// The statement failed, or the engine does not know it.
    pub const FAILED: u16 = 500;
    /// The engine has no capacity for the statement.
    pub const UNAVAILABLE: u16 = 503;
    /// The statement's time was over at the engine.
    pub const TIMED_OUT: u16 = 504;
}

/// Names of the headers of a start.
mod request_header {
    pub(super) const STATEMENT_ID: &str = "Via-Id";
    pub(super) const WORKLOAD: &str = "Via-Class";
    pub(super) const REMAINING_MS: &str = "Via-Wait";
    pub(super) const PRIORITY: &str = "Rank";
    pub(super) const GRANT_MB: &str = "Grant-Mb";
    pub(super) const IDEMPOTENCY_KEY: &str = "Via-Token";
    pub(super) const ORDERING_KEY: &str = "Via-Key";
}

/// Names of the headers of a response, in any case.
mod response_header {
    pub(super) const CONTENT_LENGTH: &str = "Content-Length";
    pub(super) const TRANSFER_ENCODING: &str = "Transfer-Encoding";
    pub(super) const CONNECTION: &str = "Connection";
    pub(super) const NEVER_RAN: &str = "Srv-Untouched";
    pub(super) const PAGE_COUNT: &str = "Page-Count";
    pub(super) const PAGE_NUMBER: &str = "Page-No";
    pub(super) const NOTE_NAME: &str = "Srv-Note";
    pub(super) const NOTE_FIGURE: &str = "Figure";
    pub(super) const WORK_MS: &str = "Work-Ms";
    pub(super) const PEAK_MB: &str = "Peak-Mb";
    pub(super) const LOAD_REPORT: &str = "Srv-Load";
}

/// The request that starts a statement at an engine.
#[derive(Clone, Debug)]
pub struct StartRequest {
    /// 16 hex digits.
    pub statement_id: Bytes,
    /// The workload's name.
    pub workload: Bytes,
    /// So long the client waits from now on.
    pub remaining_ms: u64,
    /// Higher goes first.
    pub priority: u8,
    /// The memory that the statement may use; 0: as the engine sees fit.
    pub grant_mb: u64,
    /// By which the engine knows a repeated start of the statement.
    pub idempotency_key: Option<Bytes>,
    /// Statements of one ordering key run in order.
    pub ordering_key: Option<Bytes>,
    /// The statement's text.
    pub statement: Bytes,
}

/// The id goes into paths and headers as text: the session has checked that it is 16 hex digits.
fn text(id: &[u8]) -> &str {
    std::str::from_utf8(id).unwrap_or_default()
}

/// The request that starts a statement.
pub fn write_start(start: &StartRequest, host: &str) -> BytesMut {
    use request_header as header;
    let mut head = format!("POST /c HTTP/1.1\r\nHost: {host}\r\n");
    let mut put = |name: &str, value: &dyn std::fmt::Display| {
        let _ = write!(head, "{name}: {value}\r\n");
    };
    put(header::STATEMENT_ID, &text(&start.statement_id));
    put(header::WORKLOAD, &text(&start.workload));
    put(header::REMAINING_MS, &start.remaining_ms);
    put(header::PRIORITY, &start.priority);
    if start.grant_mb > 0 {
        put(header::GRANT_MB, &start.grant_mb);
    }
    if let Some(key) = &start.idempotency_key {
        put(header::IDEMPOTENCY_KEY, &text(key));
    }
    if let Some(key) = &start.ordering_key {
        put(header::ORDERING_KEY, &text(key));
    }
    put(response_header::CONTENT_LENGTH, &start.statement.len());
    head += "\r\n";
    let mut bytes = BytesMut::from(head.as_bytes());
    bytes.extend_from_slice(&start.statement);
    bytes
}

/// The request for a statement's progress or first page (page 0), or for a further page.
pub fn write_get(statement_id: &[u8], page: usize, host: &str) -> BytesMut {
    let id = text(statement_id);
    let request = format!("GET /c/{id}/{page} HTTP/1.1\r\nHost: {host}\r\n\r\n");
    BytesMut::from(request.as_bytes())
}

/// The request that changes a running statement's priority.
pub fn write_priority(statement_id: &[u8], priority: u8, host: &str) -> BytesMut {
    let id = text(statement_id);
    let priority = priority.min(MAX_PRIORITY);
    let request =
        format!("PUT /c/{id} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 1\r\n\r\n{priority}");
    BytesMut::from(request.as_bytes())
}

/// The request that cancels a statement.
pub fn write_delete(statement_id: &[u8], host: &str) -> BytesMut {
    let id = text(statement_id);
    let request = format!("DELETE /c/{id} HTTP/1.1\r\nHost: {host}\r\n\r\n");
    BytesMut::from(request.as_bytes())
}

/// An engine's response.
#[derive(Debug, Default, PartialEq)]
pub struct Response {
    /// One of [`status`]; 1xx is passed on, too.
    pub status: u16,
    /// The engine vouches that the statement has not run there.
    pub never_ran: bool,
    /// Of a completed result.
    pub page_count: Option<usize>,
    /// The number of the page in the body.
    pub page: Option<usize>,
    /// A progress note: its name and its figure.
    pub note: Option<(String, f64)>,
    /// The work that the statement took.
    pub work_ms: Option<f64>,
    /// The most memory that the statement held.
    pub peak_mb: Option<f64>,
    /// The load report as it came: `name:value` with semicolons between.
    pub load: String,
    /// A page of rows, or nothing of account.
    pub body: Bytes,
    /// The engine closes the connection after this response.
    pub closes_connection: bool,
}

/// Why bytes from an engine can't be a response; the connection is of no use any more.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum ResponseError {
    /// Longer than 8 KB without an end.
    #[error("head too long")]
    HeadTooLong,
    /// No HTTP, or too many headers.
    #[error("head unreadable")]
    HeadUnreadable,
    /// A header's value is no UTF-8.
    #[error("header is no text")]
    HeaderNotText,
    /// `Content-Length` is no number.
    #[error("length unreadable")]
    LengthUnreadable,
    /// Two values of `Content-Length`.
    #[error("two lengths")]
    TwoLengths,
    /// Engines send lengths.
    #[error("transfer encoding not understood")]
    TransferEncoding,
    /// `Page-Count` is no number, or out of bounds.
    #[error("page count unreadable")]
    PageCountUnreadable,
    /// `Page-No` is no number.
    #[error("page number unreadable")]
    PageNumberUnreadable,
    /// A status that has a body came without a length.
    #[error("no length")]
    NoLength,
    /// Over [`MAX_BODY_BYTES`].
    #[error("body too long")]
    BodyTooLong,
    /// None of [`status`].
    #[error("no status of an engine")]
    UnknownStatus,
}

/// Takes the next complete response off the front of `input`, a 1xx too; `None` until all of it is there.
pub fn next_response(input: &mut BytesMut) -> Result<Option<Response>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let head_bytes = match parsed.parse(input) {
        Ok(httparse::Status::Complete(bytes)) => bytes,
        Ok(httparse::Status::Partial) if input.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(ResponseError::HeadTooLong),
        Err(_) => return Err(ResponseError::HeadUnreadable),
    };
    let mut head = ResponseHead::default();
    head.response.status = parsed.code.unwrap_or(0);
    head.response.closes_connection = parsed.version == Some(0);
    for header in parsed.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(|_| ResponseError::HeaderNotText)?;
        head.read_header(header.name, value.trim())?;
    }
    let body_bytes = head.body_bytes()?;
    if input.len() < head_bytes + body_bytes {
        return Ok(None);
    }
    input.advance(head_bytes);
    let mut response = head.response;
    response.note = head.note_name.zip(head.note_figure);
    response.body = input.split_to(body_bytes).freeze();
    Ok(Some(response))
}

/// A response whose headers are being read.
#[derive(Default)]
struct ResponseHead {
    response: Response,
    content_length: Option<usize>,
    note_name: Option<String>,
    note_figure: Option<f64>,
}

impl ResponseHead {
    fn read_header(&mut self, name: &str, value: &str) -> Result<(), ResponseError> {
        use response_header as header;
        let is = |header: &str| name.eq_ignore_ascii_case(header);
        let response = &mut self.response;
        if is(header::CONTENT_LENGTH) {
            self.read_content_length(value)?;
        } else if is(header::TRANSFER_ENCODING) {
            return Err(ResponseError::TransferEncoding);
        } else if is(header::CONNECTION) {
            response.closes_connection |= value.eq_ignore_ascii_case("close");
        } else if is(header::NEVER_RAN) {
            response.never_ran = value == "1";
        } else if is(header::PAGE_COUNT) {
            let count = value.parse().ok().filter(|n| (1..=MAX_PAGES).contains(n));
            response.page_count = Some(count.ok_or(ResponseError::PageCountUnreadable)?);
        } else if is(header::PAGE_NUMBER) {
            let number = value.parse();
            response.page = Some(number.map_err(|_| ResponseError::PageNumberUnreadable)?);
        } else if is(header::NOTE_NAME) {
            self.note_name = Some(value.to_owned());
        } else if is(header::NOTE_FIGURE) {
            self.note_figure = non_negative(value);
        } else if is(header::WORK_MS) {
            response.work_ms = non_negative(value);
        } else if is(header::PEAK_MB) {
            response.peak_mb = non_negative(value);
        } else if is(header::LOAD_REPORT) {
            value.clone_into(&mut response.load);
        }
        Ok(())
    }

    fn read_content_length(&mut self, value: &str) -> Result<(), ResponseError> {
        let length = value.parse().map_err(|_| ResponseError::LengthUnreadable)?;
        if self.content_length.is_some_and(|before| before != length) {
            return Err(ResponseError::TwoLengths);
        }
        self.content_length = Some(length);
        Ok(())
    }

    fn body_bytes(&self) -> Result<usize, ResponseError> {
        let status = self.response.status;
        if matches!(status, 100..200 | status::CANCELLED) {
            return Ok(0);
        }
        let has_body = matches!(
            status,
            status::COMPLETED
                | status::RUNNING
                | status::FAILED
                | status::UNAVAILABLE
                | status::TIMED_OUT
        );
        match self.content_length {
            None if has_body => Err(ResponseError::NoLength),
            Some(length) if length > MAX_BODY_BYTES => Err(ResponseError::BodyTooLong),
            Some(length) if has_body => Ok(length),
            _ => Err(ResponseError::UnknownStatus),
        }
    }
}

fn non_negative(value: &str) -> Option<f64> {
    value
        .parse::<f64>()
        .ok()
        .filter(|n| n.is_finite() && *n >= 0.0)
}

/// The values of a load report in the order of `fields`; empty unless it holds a number for each of them.
pub fn parse_load_report(load: &str, fields: &[String]) -> Vec<f32> {
    let value_of = |name: &String| {
        let mut pairs = load.split(';').filter_map(|pair| pair.split_once(':'));
        let (_, value) = pairs.find(|(key, _)| key.trim() == name)?;
        let value = value.trim().parse::<f32>().ok();
        value.filter(|v| v.is_finite())
    };
    fields
        .iter()
        .map(value_of)
        .collect::<Option<_>>()
        .unwrap_or_default()
}
