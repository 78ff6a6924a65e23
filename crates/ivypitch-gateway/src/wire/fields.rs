//! The fields of a statement, which a client writes in a comment before it:
//! `/* kind=report,req=9b1f03aa5c7e2d41,timeout=1500 */`.
//!
//! The field names that clients write are mapped to the terms of this code base here and nowhere
//! else.

use std::hash::Hasher;

use bytes::Bytes;
use siphasher::sip::SipHasher13;

use super::table_group::find_table_group;

/// Field names as clients write them.
mod name {
    pub(super) const WORKLOAD: &[u8] = b"kind";
    pub(super) const STATEMENT_ID: &[u8] = b"req";
    pub(super) const TIMEOUT_MS: &[u8] = b"timeout";
    pub(super) const TENANT: &[u8] = b"owner";
    pub(super) const WORK_MS: &[u8] = b"ms";
    pub(super) const MEMORY_MB: &[u8] = b"space";
    pub(super) const IDEMPOTENCY_KEY: &[u8] = b"opkey";
    pub(super) const ORDERING_KEY: &[u8] = b"subject";
    pub(super) const IS_REPEAT: &[u8] = b"resent";
}

/// Maximum number of fields of a statement, unknown ones included. It bounds the search for
/// duplicates, whatever the length of the comment.
const MAX_FIELDS: usize = 64;
const STATEMENT_ID_DIGITS: usize = 16;
/// Upper bound of a statement's times: one day.
const MAX_MS: f64 = 86_400_000.0;
/// Upper bound of a statement's memory: 16 TB.
const MAX_MB: f64 = 16_777_216.0;
/// Maximum length of idempotency and ordering keys.
const MAX_KEY_BYTES: usize = 256;

/// The fields of a statement, with values as the client wrote them.
#[derive(Debug, Default, PartialEq)]
pub struct Fields {
    /// The workload's name.
    pub workload: Bytes,
    /// The statement id: 16 hex digits.
    pub statement_id: Bytes,
    /// How long the client waits for its answer, in ms.
    pub timeout_ms: u64,
    /// The tenant's name.
    pub tenant: Option<Bytes>,
    /// The client's estimate of the work, in ms.
    pub work_ms: Option<f64>,
    /// The client's estimate of the memory, in MB.
    pub memory_mb: Option<f32>,
    /// The client has sent the statement before.
    pub is_repeat: bool,
    /// Engines detect repeats of the statement by this key; forwarded unchanged.
    pub idempotency_key: Option<Bytes>,
    /// Statements with the same ordering key run in order if their workload requires it; forwarded
    /// unchanged.
    pub ordering_key: Option<Bytes>,
    /// The statement without the comment.
    pub statement: Bytes,
    /// The table group that the statement reads or writes.
    pub table_group: u32,
}

/// Why the fields of a statement are rejected, with messages for the client.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum FieldsError {
    /// The text does not begin with `/*`.
    #[error("no comment with fields stands ahead of the statement")]
    NoComment,
    /// The comment has no `*/`.
    #[error("the comment with fields has no end")]
    UnterminatedComment,
    /// A field has no `=`.
    #[error("a field has no value")]
    NoValue,
    /// The comment has more than [`MAX_FIELDS`] fields.
    #[error("more than {MAX_FIELDS} fields stand ahead of the statement")]
    TooMany,
    /// Two fields have the same name.
    #[error("a field stands twice")]
    Duplicate,
    /// `ms` is not a number within its bounds.
    #[error("the estimate of work is no usable number")]
    WorkEstimate,
    /// `space` is not a number within its bounds.
    #[error("the estimate of memory is no usable number")]
    MemoryEstimate,
    /// `opkey` cannot be sent as a header value.
    #[error("the mark against repeats is no usable word")]
    IdempotencyKey,
    /// `subject` cannot be sent as a header value.
    #[error("the key is no usable word")]
    OrderingKey,
    /// `req` is missing or not 16 hex digits.
    #[error("req is not 16 hex digits")]
    StatementId,
    /// `timeout` is missing or not a number within its bounds.
    #[error("timeout is not a usable number of milliseconds")]
    Timeout,
    /// No schema in the statement has a number in its name.
    #[error("the statement names no group of tables")]
    NoTableGroup,
}

/// Parses the fields before a statement and finds its table group.
pub fn parse(text: &Bytes) -> Result<Fields, FieldsError> {
    let (comment, statement) = split_comment(text)?;
    let mut fields = Fields {
        statement,
        ..Fields::default()
    };
    let mut timeout_ms = None;
    let mut seen: Vec<&[u8]> = Vec::new();
    for field in comment.split(|&b| b == b',') {
        let field = field.trim_ascii();
        let Some(equals) = field.iter().position(|&b| b == b'=') else {
            return Err(FieldsError::NoValue);
        };
        let (name, value) = (&field[..equals], &field[equals + 1..]);
        if seen.len() == MAX_FIELDS {
            return Err(FieldsError::TooMany);
        }
        if seen.contains(&name) {
            return Err(FieldsError::Duplicate);
        }
        seen.push(name);
        if name == name::TIMEOUT_MS {
            timeout_ms = parse_number(value, MAX_MS).filter(|ms| *ms >= 1.0);
        } else {
            fields.set(name, comment.slice_ref(value))?;
        }
    }
    if !is_statement_id(&fields.statement_id) {
        return Err(FieldsError::StatementId);
    }
    fields.timeout_ms = timeout_ms.ok_or(FieldsError::Timeout)? as u64;
    fields.table_group = find_table_group(&fields.statement).ok_or(FieldsError::NoTableGroup)?;
    Ok(fields)
}

/// Returns the content of the comment and the statement after it.
fn split_comment(text: &Bytes) -> Result<(Bytes, Bytes), FieldsError> {
    let text = text.slice_ref(text.trim_ascii_start());
    let after_open = text.strip_prefix(b"/*").ok_or(FieldsError::NoComment)?;
    let length = after_open
        .windows(2)
        .position(|pair| pair == b"*/")
        .ok_or(FieldsError::UnterminatedComment)?;
    let comment = text.slice_ref(&after_open[..length]);
    let statement = text.slice_ref(after_open[length + 2..].trim_ascii_start());
    Ok((comment, statement))
}

fn is_statement_id(id: &[u8]) -> bool {
    id.len() == STATEMENT_ID_DIGITS && id.iter().all(u8::is_ascii_hexdigit)
}

/// Parses decimal digits with an optional fraction, up to `max`.
fn parse_number(value: &[u8], max: f64) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?;
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    if !digits(whole) || !digits(fraction) {
        return None;
    }
    text.parse().ok().filter(|n| *n <= max)
}

/// Whether a key can be sent to an engine as a header value.
fn is_header_value(key: &[u8]) -> bool {
    (1..=MAX_KEY_BYTES).contains(&key.len()) && key.iter().all(u8::is_ascii_graphic)
}

fn parse_key(value: Bytes, error: FieldsError) -> Result<Option<Bytes>, FieldsError> {
    if is_header_value(&value) {
        Ok(Some(value))
    } else {
        Err(error)
    }
}

impl Fields {
    /// Sets one field; unknown fields are ignored.
    fn set(&mut self, name: &[u8], value: Bytes) -> Result<(), FieldsError> {
        match name {
            name::WORKLOAD => self.workload = value,
            name::STATEMENT_ID => self.statement_id = value,
            name::TENANT => self.tenant = Some(value),
            name::WORK_MS => {
                let ms = parse_number(&value, MAX_MS).ok_or(FieldsError::WorkEstimate)?;
                self.work_ms = Some(ms);
            }
            name::MEMORY_MB => {
                let mb = parse_number(&value, MAX_MB).ok_or(FieldsError::MemoryEstimate)?;
                self.memory_mb = Some(mb as f32);
            }
            name::IDEMPOTENCY_KEY => {
                self.idempotency_key = parse_key(value, FieldsError::IdempotencyKey)?;
            }
            name::ORDERING_KEY => self.ordering_key = parse_key(value, FieldsError::OrderingKey)?,
            name::IS_REPEAT => self.is_repeat = value[..] != *b"0",
            _ => {}
        }
        Ok(())
    }

    /// The statement id as a number; [`parse`] has checked its digits.
    pub fn statement_id_number(&self) -> u64 {
        std::str::from_utf8(&self.statement_id)
            .ok()
            .and_then(|id| u64::from_str_radix(id, 16).ok())
            .unwrap_or(0)
    }

    /// Hash of the ordering key; 0 if there is none.
    pub fn ordering_key_number(&self) -> u64 {
        let Some(key) = &self.ordering_key else {
            return 0;
        };
        let mut hasher = SipHasher13::new();
        hasher.write(key);
        hasher.finish().max(1)
    }

    /// Writes the statement as a client would send it, with `timeout_ms` as its remaining time.
    pub fn write(&self, timeout_ms: u64) -> Vec<u8> {
        let mut text = b"/* ".to_vec();
        append_field(&mut text, name::WORKLOAD, &self.workload);
        append_field(&mut text, name::STATEMENT_ID, &self.statement_id);
        append_field(
            &mut text,
            name::TIMEOUT_MS,
            timeout_ms.to_string().as_bytes(),
        );
        if let Some(tenant) = &self.tenant {
            append_field(&mut text, name::TENANT, tenant);
        }
        if let Some(ms) = self.work_ms {
            append_field(&mut text, name::WORK_MS, ms.to_string().as_bytes());
        }
        if let Some(mb) = self.memory_mb {
            append_field(&mut text, name::MEMORY_MB, mb.to_string().as_bytes());
        }
        if let Some(key) = &self.idempotency_key {
            append_field(&mut text, name::IDEMPOTENCY_KEY, key);
        }
        if let Some(key) = &self.ordering_key {
            append_field(&mut text, name::ORDERING_KEY, key);
        }
        // Each field ends with a comma; remove the last one.
        text.pop();
        text.extend_from_slice(b" */ ");
        text.extend_from_slice(&self.statement);
        text
    }

    /// A digest that tells apart different statements sent under the same id.
    pub fn digest(&self) -> u64 {
        let no_tenant = Bytes::new();
        let tenant = self.tenant.as_ref().unwrap_or(&no_tenant);
        let mut hasher = SipHasher13::new();
        for part in [&self.workload, tenant, &self.statement] {
            hasher.write_usize(part.len());
            hasher.write(part);
        }
        hasher.finish()
    }
}

fn append_field(text: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    text.extend_from_slice(name);
    text.push(b'=');
    text.extend_from_slice(value);
    text.push(b',');
}
