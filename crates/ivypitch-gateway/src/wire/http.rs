//! The client side of HTTP/1.1 to the engines: writes requests and parses responses on buffers,
//! without sockets.
//!
//! `POST /c` starts a statement, `GET /c/<id>/0` polls until it has ended, `GET /c/<id>/<page>`
//! fetches further pages, `PUT /c/<id>` changes the priority and `DELETE /c/<id>` cancels.

use std::fmt::Write;

use bytes::{Buf, Bytes, BytesMut};

/// Maximum size of a response body: a page has at most 6,000 bytes.
pub const MAX_BODY_BYTES: usize = 6_000;
/// Maximum pages of a result: it has at most 48,000 bytes, and a page at least one row of three
/// columns.
const MAX_PAGES: usize = 16_000;
const MAX_HEAD_BYTES: usize = 8 << 10;
const MAX_HEADERS: usize = 32;
/// The highest priority that engines support.
const MAX_PRIORITY: u8 = 3;

/// Status codes of engine responses.
pub mod status {
    /// The statement has completed; the body is a page of its result.
    pub const COMPLETED: u16 = 200;
    /// The statement was accepted or is still running.
    pub const RUNNING: u16 = 202;
    /// The statement was cancelled.
    pub const CANCELLED: u16 = 204;
    /// The statement failed, or the engine does not know its id.
    pub const FAILED: u16 = 500;
    /// The engine has no capacity for the statement.
    pub const UNAVAILABLE: u16 = 503;
    /// The statement timed out at the engine.
    pub const TIMED_OUT: u16 = 504;
}

/// Header names of the request that starts a statement.
mod request_header {
    pub(super) const STATEMENT_ID: &str = "Via-Id";
    pub(super) const WORKLOAD: &str = "Via-Class";
    pub(super) const REMAINING_MS: &str = "Via-Wait";
    pub(super) const PRIORITY: &str = "Rank";
    pub(super) const GRANT_MB: &str = "Grant-Mb";
    pub(super) const IDEMPOTENCY_KEY: &str = "Via-Token";
    pub(super) const ORDERING_KEY: &str = "Via-Key";
}

/// Header names of a response, matched without regard to case.
mod response_header {
    pub(super) const CONTENT_LENGTH: &str = "Content-Length";
    pub(super) const TRANSFER_ENCODING: &str = "Transfer-Encoding";
    pub(super) const CONNECTION: &str = "Connection";
    pub(super) const NEVER_RAN: &str = "Srv-Untouched";
    pub(super) const PAGE_COUNT: &str = "Page-Count";
    pub(super) const PAGE_NUMBER: &str = "Page-No";
    pub(super) const NOTE_NAME: &str = "Srv-Note";
    pub(super) const NOTE_VALUE: &str = "Figure";
    pub(super) const WORK_MS: &str = "Work-Ms";
    pub(super) const PEAK_MB: &str = "Peak-Mb";
    pub(super) const LOAD_REPORT: &str = "Srv-Load";
}

/// The request that starts a statement at an engine.
#[derive(Clone, Debug)]
pub struct StartRequest {
    /// The statement id: 16 hex digits.
    pub statement_id: Bytes,
    /// The workload's name.
    pub workload: Bytes,
    /// How long the client still waits, in ms.
    pub remaining_ms: u64,
    /// Priority at the engine; higher runs first.
    pub priority: u8,
    /// Memory that the statement may use, in MB; 0 lets the engine decide.
    pub grant_mb: u64,
    /// The engine detects a repeated start of the statement by this key.
    pub idempotency_key: Option<Bytes>,
    /// Statements with the same ordering key run in order.
    pub ordering_key: Option<Bytes>,
    /// The statement's text.
    pub statement: Bytes,
}

/// Converts an id, name or key to text for paths and headers. The session has checked that a
/// statement id is 16 hex digits.
fn as_text(value: &[u8]) -> &str {
    std::str::from_utf8(value).unwrap_or_default()
}

/// Writes the request that starts a statement.
pub fn write_start(start: &StartRequest, host: &str) -> BytesMut {
    use request_header as header;
    let mut head = format!("POST /c HTTP/1.1\r\nHost: {host}\r\n");
    let mut put = |name: &str, value: &dyn std::fmt::Display| {
        let _ = write!(head, "{name}: {value}\r\n");
    };
    put(header::STATEMENT_ID, &as_text(&start.statement_id));
    put(header::WORKLOAD, &as_text(&start.workload));
    put(header::REMAINING_MS, &start.remaining_ms);
    put(header::PRIORITY, &start.priority);
    if start.grant_mb > 0 {
        put(header::GRANT_MB, &start.grant_mb);
    }
    if let Some(key) = &start.idempotency_key {
        put(header::IDEMPOTENCY_KEY, &as_text(key));
    }
    if let Some(key) = &start.ordering_key {
        put(header::ORDERING_KEY, &as_text(key));
    }
    put(response_header::CONTENT_LENGTH, &start.statement.len());
    head += "\r\n";
    let mut bytes = BytesMut::from(head.as_bytes());
    bytes.extend_from_slice(&start.statement);
    bytes
}

/// Writes the request for a statement's progress or first page (page 0), or for a further page.
pub fn write_get(statement_id: &[u8], page: usize, host: &str) -> BytesMut {
    let id = as_text(statement_id);
    let request = format!("GET /c/{id}/{page} HTTP/1.1\r\nHost: {host}\r\n\r\n");
    BytesMut::from(request.as_bytes())
}

/// Writes the request that changes the priority of a running statement.
pub fn write_priority(statement_id: &[u8], priority: u8, host: &str) -> BytesMut {
    let id = as_text(statement_id);
    let priority = priority.min(MAX_PRIORITY);
    let request =
        format!("PUT /c/{id} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 1\r\n\r\n{priority}");
    BytesMut::from(request.as_bytes())
}

/// Writes the request that cancels a statement.
pub fn write_delete(statement_id: &[u8], host: &str) -> BytesMut {
    let id = as_text(statement_id);
    let request = format!("DELETE /c/{id} HTTP/1.1\r\nHost: {host}\r\n\r\n");
    BytesMut::from(request.as_bytes())
}

/// An engine's response.
#[derive(Debug, Default, PartialEq)]
pub struct Response {
    /// One of [`status`], or an informational 1xx status.
    pub status: u16,
    /// The engine guarantees that the statement has not run there.
    pub never_ran: bool,
    /// Number of pages of a completed result.
    pub page_count: Option<usize>,
    /// The number of the page in the body.
    pub page: Option<usize>,
    /// A progress note: name and value.
    pub note: Option<(String, f64)>,
    /// The measured work of the statement, in ms.
    pub work_ms: Option<f64>,
    /// The peak memory of the statement, in MB.
    pub peak_mb: Option<f64>,
    /// The unparsed load report: `name:value` pairs separated by semicolons.
    pub load: String,
    /// A page of rows if the statement has completed; not used otherwise.
    pub body: Bytes,
    /// The engine closes the connection after this response.
    pub closes_connection: bool,
}

/// Why bytes from an engine are not a valid response; the connection must be closed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum ResponseError {
    /// The head is longer than 8 KB.
    #[error("response head larger than {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    /// The head is not HTTP, or has too many headers.
    #[error("malformed response head")]
    HeadUnreadable,
    /// A header value is not UTF-8.
    #[error("header value is not UTF-8")]
    HeaderNotText,
    /// `Content-Length` is not a number.
    #[error("malformed Content-Length")]
    LengthUnreadable,
    /// `Content-Length` occurs with two values.
    #[error("conflicting Content-Length headers")]
    TwoLengths,
    /// `Transfer-Encoding` is set; engines send `Content-Length` instead.
    #[error("unsupported Transfer-Encoding")]
    TransferEncoding,
    /// `Page-Count` is not a number or out of bounds.
    #[error("invalid Page-Count")]
    PageCountUnreadable,
    /// `Page-No` is not a number.
    #[error("malformed Page-No")]
    PageNumberUnreadable,
    /// A response that must have a body has no `Content-Length`.
    #[error("missing Content-Length")]
    NoLength,
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("response body larger than {MAX_BODY_BYTES} bytes")]
    BodyTooLong,
    /// The status is none of [`status`].
    #[error("unexpected status code")]
    UnknownStatus,
}

/// Removes the next complete response, 1xx included, from the front of `input`; `None` if it is
/// incomplete.
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
        head.parse_header(header.name, value.trim())?;
    }
    let body_bytes = head.body_bytes()?;
    if input.len() < head_bytes + body_bytes {
        return Ok(None);
    }
    input.advance(head_bytes);
    let mut response = head.response;
    response.note = head.note_name.zip(head.note_value);
    response.body = input.split_to(body_bytes).freeze();
    Ok(Some(response))
}

/// A response whose headers are being parsed.
#[derive(Default)]
struct ResponseHead {
    response: Response,
    content_length: Option<usize>,
    note_name: Option<String>,
    note_value: Option<f64>,
}

impl ResponseHead {
    fn parse_header(&mut self, name: &str, value: &str) -> Result<(), ResponseError> {
        use response_header as header;
        let is_header = |header: &str| name.eq_ignore_ascii_case(header);
        let response = &mut self.response;
        if is_header(header::CONTENT_LENGTH) {
            self.parse_content_length(value)?;
        } else if is_header(header::TRANSFER_ENCODING) {
            return Err(ResponseError::TransferEncoding);
        } else if is_header(header::CONNECTION) {
            response.closes_connection |= value.eq_ignore_ascii_case("close");
        } else if is_header(header::NEVER_RAN) {
            response.never_ran = value == "1";
        } else if is_header(header::PAGE_COUNT) {
            let count = value
                .parse()
                .ok()
                .filter(|count| (1..=MAX_PAGES).contains(count));
            response.page_count = Some(count.ok_or(ResponseError::PageCountUnreadable)?);
        } else if is_header(header::PAGE_NUMBER) {
            let number = value.parse();
            response.page = Some(number.map_err(|_| ResponseError::PageNumberUnreadable)?);
        } else if is_header(header::NOTE_NAME) {
            self.note_name = Some(value.to_owned());
        } else if is_header(header::NOTE_VALUE) {
            self.note_value = parse_non_negative(value);
        } else if is_header(header::WORK_MS) {
            response.work_ms = parse_non_negative(value);
        } else if is_header(header::PEAK_MB) {
            response.peak_mb = parse_non_negative(value);
        } else if is_header(header::LOAD_REPORT) {
            value.clone_into(&mut response.load);
        }
        Ok(())
    }

    fn parse_content_length(&mut self, value: &str) -> Result<(), ResponseError> {
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

fn parse_non_negative(value: &str) -> Option<f64> {
    value
        .parse::<f64>()
        .ok()
        .filter(|n| n.is_finite() && *n >= 0.0)
}

/// Parses a load report into values in the order of `fields`; empty unless each field has a finite
/// number.
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
