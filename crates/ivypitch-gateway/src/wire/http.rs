//! HTTP/1.1 to the engines: the calls, and the answers read off a buffer.

use std::fmt::Write;

use bytes::{Buf, Bytes, BytesMut};

/// A page is 6,000 bytes at most; a longer body is no answer of an engine.
pub const LARGEST_BODY: usize = 6_000;
/// A result holds 48,000 bytes, a page one row of three columns at least.
const MOST_PAGES: usize = 16_000;
const LARGEST_HEAD: usize = 8 << 10;
const MOST_HEADERS: usize = 32;

/// What a start tells the engine beside the statement.
#[derive(Clone, Debug)]
pub struct Start {
    pub statement_id: Bytes,
    pub workload: Bytes,
    pub remaining_ms: u64,
    pub priority: u8,
    pub grant_mb: u64,
    /// The client's mark against repeats, and its key of the order.
    pub idempotency_key: Option<Bytes>,
    pub ordering_key: Option<Bytes>,
    pub statement: Bytes,
}

/// The id goes into paths and headers as text: it is 16 hex digits from the door on.
fn text(id: &[u8]) -> &str {
    std::str::from_utf8(id).unwrap_or_default()
}

pub fn write_start(start: &Start, host: &str) -> BytesMut {
    let mut head = format!(
        "POST /c HTTP/1.1\r\nHost: {host}\r\nVia-Id: {}\r\nVia-Class: {}\r\nVia-Wait: {}\r\nRank: {}\r\n",
        text(&start.statement_id),
        text(&start.workload),
        start.remaining_ms,
        start.priority
    );
    if start.grant_mb > 0 {
        let _ = write!(head, "Grant-Mb: {}\r\n", start.grant_mb);
    }
    for (name, value) in [
        ("Via-Token", &start.idempotency_key),
        ("Via-Key", &start.ordering_key),
    ] {
        if let Some(value) = value {
            let _ = write!(head, "{name}: {}\r\n", text(value));
        }
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", start.statement.len());
    let mut bytes = BytesMut::from(head.as_bytes());
    bytes.extend_from_slice(&start.statement);
    bytes
}

pub fn write_get(id: &[u8], page: usize, host: &str) -> BytesMut {
    BytesMut::from(
        format!(
            "GET /c/{}/{page} HTTP/1.1\r\nHost: {host}\r\n\r\n",
            text(id)
        )
        .as_bytes(),
    )
}

pub fn write_priority(id: &[u8], priority: u8, host: &str) -> BytesMut {
    let call = format!(
        "PUT /c/{} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 1\r\n\r\n{}",
        text(id),
        priority.min(3)
    );
    BytesMut::from(call.as_bytes())
}

pub fn write_delete(id: &[u8], host: &str) -> BytesMut {
    BytesMut::from(format!("DELETE /c/{} HTTP/1.1\r\nHost: {host}\r\n\r\n", text(id)).as_bytes())
}

#[derive(Debug, Default, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub never_ran: bool,
    pub page_count: Option<usize>,
    pub page: Option<usize>,
    pub note: Option<(String, f64)>,
    pub work_ms: Option<f64>,
    pub peak_mb: Option<f64>,
    /// The load report as it came: `name:value` with semicolons between.
    pub load: String,
    pub body: Bytes,
    /// The engine closes the connection after this answer.
    pub closes: bool,
}

#[derive(Debug, PartialEq)]
pub struct Malformed(pub &'static str);

/// Takes the next whole answer off the front of `input`, a 1xx too; `None` until all of it is there.
pub fn next_answer(input: &mut BytesMut) -> Result<Option<Answer>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if input.len() <= LARGEST_HEAD => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(Malformed("head too long")),
        Err(_) => return Err(Malformed("head unreadable")),
    };
    let mut answer = Answer {
        status: response.code.unwrap_or(0),
        ..Answer::default()
    };
    answer.closes = response.version == Some(0);
    let mut length = None;
    let (mut note, mut figure) = (None, None);
    for header in response.headers.iter() {
        let value = std::str::from_utf8(header.value)
            .map_err(|_| Malformed("header is no text"))?
            .trim();
        let number = || {
            value
                .parse::<f64>()
                .ok()
                .filter(|n| n.is_finite() && *n >= 0.0)
        };
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("Content-Length") {
            let n = value
                .parse::<usize>()
                .map_err(|_| Malformed("length unreadable"))?;
            if length.is_some_and(|l| l != n) {
                return Err(Malformed("two lengths"));
            }
            length = Some(n);
        } else if is("Transfer-Encoding") {
            return Err(Malformed("transfer encoding not understood"));
        } else if is("Connection") {
            answer.closes |= value.eq_ignore_ascii_case("close");
        } else if is("Srv-Untouched") {
            answer.never_ran = value == "1";
        } else if is("Page-Count") {
            let count = value.parse().ok().filter(|n| (1..=MOST_PAGES).contains(n));
            answer.page_count = Some(count.ok_or(Malformed("page count unreadable"))?);
        } else if is("Page-No") {
            answer.page = Some(
                value
                    .parse()
                    .map_err(|_| Malformed("page number unreadable"))?,
            );
        } else if is("Srv-Note") {
            note = Some(value.to_owned());
        } else if is("Figure") {
            figure = number();
        } else if is("Work-Ms") {
            answer.work_ms = number();
        } else if is("Peak-Mb") {
            answer.peak_mb = number();
        } else if is("Srv-Load") {
            value.clone_into(&mut answer.load);
        }
    }
    answer.note = note.zip(figure);
    let length = match (answer.status, length) {
        (100..200 | 204, _) => 0,
        (200 | 202 | 500 | 503 | 504, None) => return Err(Malformed("no length")),
        (_, Some(length)) if length > LARGEST_BODY => return Err(Malformed("body too long")),
        (200 | 202 | 500 | 503 | 504, Some(length)) => length,
        _ => return Err(Malformed("no status of an engine")),
    };
    if input.len() < head + length {
        return Ok(None);
    }
    input.advance(head);
    answer.body = input.split_to(length).freeze();
    Ok(Some(answer))
}

/// The values of a load report in the order of `fields`; empty unless it holds a number for each of them.
pub fn load_report(load: &str, fields: &[String]) -> Vec<f32> {
    let value_of = |name: &String| {
        let mut parts = load.split(';').filter_map(|part| part.split_once(':'));
        let found = parts
            .find(|(n, _)| n.trim() == name)?
            .1
            .trim()
            .parse::<f32>()
            .ok();
        found.filter(|v| v.is_finite())
    };
    fields
        .iter()
        .map(value_of)
        .collect::<Option<_>>()
        .unwrap_or_default()
}
