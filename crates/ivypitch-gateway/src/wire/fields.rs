//! What a statement says about itself: the fields in the comment ahead of it, and the group of tables that it
//! reads or writes.

use std::hash::Hasher;

use bytes::Bytes;

const STAGING: &[u8] = b"staging";

/// The fields of a statement, names and words still as the client wrote them.
#[derive(Debug, Default, PartialEq)]
pub struct Fields {
    pub workload: Bytes,
    /// 16 hex digits.
    pub statement_id: Bytes,
    pub timeout_ms: u64,
    pub tenant: Option<Bytes>,
    pub work_ms: Option<f64>,
    pub memory_mb: Option<f32>,
    pub is_repeat: bool,
    /// The mark by which engines know a repeat of it; goes on unchanged.
    pub idempotency_key: Option<Bytes>,
    /// Statements of one key run in order, where their workload keeps it; goes on unchanged.
    pub ordering_key: Option<Bytes>,
    /// The statement without the comment.
    pub statement: Bytes,
    pub table_group: u32,
}

impl Fields {
    /// The id as a number; [`parse`] has checked its digits.
    pub fn statement_id_number(&self) -> u64 {
        std::str::from_utf8(&self.statement_id)
            .ok()
            .and_then(|req| u64::from_str_radix(req, 16).ok())
            .unwrap_or(0)
    }

    /// The key as a number; 0: none.
    pub fn ordering_key_number(&self) -> u64 {
        let Some(key) = &self.ordering_key else {
            return 0;
        };
        let mut hasher = siphasher::sip::SipHasher13::new();
        hasher.write(key);
        hasher.finish().max(1)
    }

    /// As a client would send it, with so much of its time.
    pub fn write(&self, timeout_ms: u64) -> Vec<u8> {
        let word = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
        let mut text = format!(
            "/* kind={},req={},timeout={}",
            word(&self.workload),
            word(&self.statement_id),
            timeout_ms
        );
        if let Some(owner) = &self.tenant {
            text += &format!(",owner={}", word(owner));
        }
        if let Some(ms) = self.work_ms {
            text += &format!(",ms={ms}");
        }
        if let Some(mb) = self.memory_mb {
            text += &format!(",space={mb}");
        }
        for (name, field) in [
            ("opkey", &self.idempotency_key),
            ("subject", &self.ordering_key),
        ] {
            if let Some(value) = field {
                text += &format!(",{name}={}", word(value));
            }
        }
        text += " */ ";
        [text.as_bytes(), &self.statement].concat()
    }

    /// Differs where another statement is sent under the same id.
    pub fn digest(&self) -> u64 {
        let mut hasher = siphasher::sip::SipHasher13::new();
        for part in [
            &self.workload,
            self.tenant.as_ref().unwrap_or(&Bytes::new()),
            &self.statement,
        ] {
            hasher.write_usize(part.len());
            hasher.write(part);
        }
        hasher.finish()
    }
}

/// A day, and 16 TB: what is longer or larger is no figure of a statement.
const MOST_MS: f64 = 86_400_000.0;
const MOST_MB: f64 = 16_777_216.0;
const LONGEST_MARK: usize = 256;

/// Digits, with a fraction perhaps, and no more than `most`.
fn number(value: &[u8], most: f64) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?;
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    (digits(whole) && digits(fraction))
        .then(|| text.parse().ok())?
        .filter(|n| *n <= most)
}

/// A word that goes on as a header of the call to an engine.
fn mark(word: Bytes) -> Option<Bytes> {
    let is_usable =
        (1..=LONGEST_MARK).contains(&word.len()) && word.iter().all(u8::is_ascii_graphic);
    is_usable.then_some(word)
}

/// Reads them; an error is a text for the client.
pub fn parse(text: &Bytes) -> Result<Fields, &'static str> {
    let start = text
        .iter()
        .position(|b| !b.is_ascii_whitespace())
        .unwrap_or(text.len());
    let opened = text[start..]
        .strip_prefix(b"/*")
        .ok_or("no comment with fields stands ahead of the statement")?;
    let length = opened
        .windows(2)
        .position(|w| w == b"*/")
        .ok_or("the comment with fields has no end")?;
    let comment = text.slice(start + 2..start + 2 + length);
    let rest = &text[start + 2 + length + 2..];
    let body = start + 2 + length + 2 + rest.iter().take_while(|b| b.is_ascii_whitespace()).count();
    let mut fields = Fields {
        statement: text.slice(body..),
        ..Fields::default()
    };
    let mut timeout = None;
    let mut named: Vec<&[u8]> = Vec::new();
    for field in comment.split(|&b| b == b',') {
        let field = field.trim_ascii();
        let Some(equals) = field.iter().position(|&b| b == b'=') else {
            return Err("a field has no value");
        };
        let (name, value) = (&field[..equals], &field[equals + 1..]);
        let word = || comment.slice_ref(value);
        if named.contains(&name) {
            return Err("a field stands twice");
        }
        named.push(name);
        match name {
            b"kind" => fields.workload = word(),
            b"req" => fields.statement_id = word(),
            b"timeout" => timeout = number(value, MOST_MS).filter(|ms| *ms >= 1.0),
            b"owner" => fields.tenant = Some(word()),
            b"ms" => {
                fields.work_ms =
                    Some(number(value, MOST_MS).ok_or("the estimate of work is no usable number")?);
            }
            b"space" => {
                let mb =
                    number(value, MOST_MB).ok_or("the estimate of memory is no usable number")?;
                fields.memory_mb = Some(mb as f32);
            }
            b"opkey" => {
                fields.idempotency_key =
                    Some(mark(word()).ok_or("the mark against repeats is no usable word")?)
            }
            b"subject" => {
                fields.ordering_key = Some(mark(word()).ok_or("the key is no usable word")?)
            }
            b"resent" => fields.is_repeat = value != b"0",
            _ => {}
        }
    }
    if fields.statement_id.len() != 16 || !fields.statement_id.iter().all(u8::is_ascii_hexdigit) {
        return Err("req is not 16 hex digits");
    }
    fields.timeout_ms = timeout.ok_or("timeout is not a usable number of milliseconds")? as u64;
    fields.table_group =
        table_group(&fields.statement).ok_or("the statement names no group of tables")?;
    Ok(fields)
}

enum Token<'a> {
    Name(&'a [u8]),
    Dot,
    Other,
}

/// The number behind the underscore in the name of the schema. Strings and comments don't count, nor does the
/// schema `staging`.
pub fn table_group(statement: &[u8]) -> Option<u32> {
    let mut rest = statement;
    // The name just read, if what follows may be its dot; and whether the name before it ended in a dot.
    let mut name: Option<&[u8]> = None;
    let mut after_dot = false;
    while let Some(token) = next_token(&mut rest) {
        match token {
            Token::Name(text) => {
                name = (!after_dot).then_some(text);
                after_dot = false;
            }
            Token::Dot => {
                if let Some(group) = name.take().and_then(group_of_schema) {
                    return Some(group);
                }
                after_dot = true;
            }
            Token::Other => {
                name = None;
                after_dot = false;
            }
        }
    }
    None
}

fn group_of_schema(name: &[u8]) -> Option<u32> {
    if name.eq_ignore_ascii_case(STAGING) {
        return None;
    }
    let digits = &name[name.iter().rposition(|&b| b == b'_')? + 1..];
    let all_digits = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(digits)
        .ok()
        .filter(|_| all_digits)?
        .parse()
        .ok()
}

fn next_token<'a>(rest: &mut &'a [u8]) -> Option<Token<'a>> {
    loop {
        let text = *rest;
        let &first = text.first()?;
        let (skip, token) = match first {
            b if b.is_ascii_whitespace() => (1, None),
            b'#' => (line(text), None),
            b'-' if text.starts_with(b"--")
                && text
                    .get(2)
                    .is_none_or(|b| b.is_ascii_whitespace() || b.is_ascii_control()) =>
            {
                (line(text), None)
            }
            b'/' if text.starts_with(b"/*") => {
                let end = text[2..].windows(2).position(|w| w == b"*/");
                (end.map_or(text.len(), |at| 2 + at + 2), None)
            }
            b'\'' | b'"' => (quoted(text, true).1, Some(Token::Other)),
            b'`' => {
                let (inner, length) = quoted(text, false);
                (length, Some(Token::Name(inner)))
            }
            b'.' => (1, Some(Token::Dot)),
            b if is_name(b) => {
                let length = text.iter().take_while(|&&b| is_name(b)).count();
                (length, Some(Token::Name(&text[..length])))
            }
            _ => (1, Some(Token::Other)),
        };
        *rest = &text[skip..];
        if token.is_some() {
            return token;
        }
    }
}

fn is_name(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b == b'_' || b == b'$' || b >= 0x80
}

fn line(text: &[u8]) -> usize {
    text.iter()
        .position(|&b| b == b'\n')
        .map_or(text.len(), |at| at + 1)
}

/// What stands between the quote that `text` starts with and its end, and the length of the whole. A doubled
/// quote is part of it, and where `escapes` hold, what follows a backslash.
fn quoted(text: &[u8], escapes: bool) -> (&[u8], usize) {
    let quote = text[0];
    let mut at = 1;
    while at < text.len() {
        let doubled = text[at] == quote && text.get(at + 1) == Some(&quote);
        if doubled || (escapes && text[at] == b'\\') {
            at += 2;
        } else if text[at] == quote {
            return (&text[1..at], at + 1);
        } else {
            at += 1;
        }
    }
    (&text[1..], text.len())
}
