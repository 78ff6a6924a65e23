//! Frames and fields of the simulator's wire: little-endian, without padding.
//!
//! Decoding names the record and the offset where it fails, and never allocates more than has arrived.

use crate::error::{DecodeError, DecodeProblem, InputError};
use std::io::Read;

/// Larger frames are rejected; the largest batches run to megabytes.
pub const MAX_FRAME_BYTES: usize = 256 << 20;
/// Size of a batch's header.
pub const BATCH_HEADER_BYTES: usize = 20;
/// Size of a reply's header.
pub const REPLY_HEADER_BYTES: usize = 12;

const BATCH_HEADER: &str = "batch header";

/// An engine's address and port, as they came.
pub type EngineId = [u8; 6];

/// A batch of events.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// Number of records in the body.
    pub records: u32,
    /// Time of the events in nanoseconds.
    pub clock: u64,
    /// Number of the batch, to be repeated in the reply.
    pub sequence_number: u32,
    /// The records, without the header.
    pub body: Vec<u8>,
}

/// Reads the next batch; `None` at a clean end of the input.
///
/// # Errors
///
/// The input cannot be read, ends inside a frame, or a frame's length is out of range.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, InputError> {
    let header = read_at_most(input, BATCH_HEADER_BYTES)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < BATCH_HEADER_BYTES {
        return Err(header_error(header.len(), DecodeProblem::HeaderTruncated).into());
    }
    let mut fields = Cursor::new(&header, 0, BATCH_HEADER);
    let length = fields.u32()? as usize;
    let records = fields.u32()?;
    let clock = fields.u64()?;
    let sequence_number = fields.u32()?;
    if !(BATCH_HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(header_error(0, DecodeProblem::FrameLengthOutOfRange(length)).into());
    }
    let body = read_at_most(input, length - BATCH_HEADER_BYTES)?;
    let read = BATCH_HEADER_BYTES + body.len();
    if read < length {
        return Err(header_error(read, DecodeProblem::FrameTruncated(length)).into());
    }
    Ok(Some(Batch {
        records,
        clock,
        sequence_number,
        body,
    }))
}

fn read_at_most(input: &mut impl Read, bytes: usize) -> Result<Vec<u8>, InputError> {
    let mut read = Vec::new();
    input.by_ref().take(bytes as u64).read_to_end(&mut read)?;
    Ok(read)
}

fn header_error(offset: usize, problem: DecodeProblem) -> DecodeError {
    DecodeError {
        record: BATCH_HEADER,
        offset,
        problem,
    }
}

/// Decodes fields in turn.
pub struct Cursor<'a> {
    bytes: &'a [u8],
    position: usize,
    /// Offset of the bytes in the frame.
    base: usize,
    record: &'static str,
}

impl<'a> Cursor<'a> {
    /// A cursor over bytes at the offset `base` of a frame. Errors name `record`.
    pub fn new(bytes: &'a [u8], base: usize, record: &'static str) -> Self {
        Cursor {
            bytes,
            position: 0,
            base,
            record,
        }
    }

    /// Sets the record that errors name from now on.
    pub fn set_record(&mut self, record: &'static str) {
        self.record = record;
    }

    /// Number of bytes that are left.
    pub fn remaining(&self) -> usize {
        self.bytes.len() - self.position
    }

    /// An error at the current position.
    pub fn error(&self, problem: DecodeProblem) -> DecodeError {
        self.error_before(0, problem)
    }

    /// An error so many bytes before the current position.
    pub fn error_before(&self, bytes: usize, problem: DecodeProblem) -> DecodeError {
        DecodeError {
            record: self.record,
            offset: self.base + self.position - bytes,
            problem,
        }
    }

    /// The next `count` bytes.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let left = self.remaining();
        if count > left {
            let wanted = count;
            return Err(self.error(DecodeProblem::RecordTruncated { wanted, left }));
        }
        let taken = &self.bytes[self.position..self.position + count];
        self.position += count;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    /// The next byte.
    pub fn u8(&mut self) -> Result<u8, DecodeError> {
        Ok(self.array::<1>()?[0])
    }

    /// The next two bytes.
    pub fn u16(&mut self) -> Result<u16, DecodeError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    /// The next four bytes.
    pub fn u32(&mut self) -> Result<u32, DecodeError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    /// The next eight bytes.
    pub fn u64(&mut self) -> Result<u64, DecodeError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    /// The next four bytes as a number with a fraction.
    pub fn f32(&mut self) -> Result<f32, DecodeError> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    /// An engine's id.
    pub fn engine(&mut self) -> Result<EngineId, DecodeError> {
        self.array()
    }

    /// A load report: a count of one byte and as many values, which replace those of `report`.
    pub fn load_report(&mut self, report: &mut Vec<f32>) -> Result<(), DecodeError> {
        report.clear();
        for _ in 0..self.u8()? {
            report.push(self.f32()?);
        }
        Ok(())
    }
}

/// A reply that is being written.
#[derive(Default)]
pub struct Reply {
    bytes: Vec<u8>,
    records: u32,
}

impl Reply {
    /// Begins a new reply.
    pub fn start(&mut self) {
        self.bytes.clear();
        self.bytes.resize(REPLY_HEADER_BYTES, 0);
        self.records = 0;
    }

    /// Begins a record of an instance; its fields follow.
    pub fn record(&mut self, code: u8, instance: u32) -> &mut Self {
        self.records += 1;
        self.bytes.push(code);
        self.put(&instance.to_le_bytes())
    }

    /// Adds a field.
    pub fn put(&mut self, bytes: &[u8]) -> &mut Self {
        self.bytes.extend_from_slice(bytes);
        self
    }

    /// Adds a count of two bytes and the bytes; what is beyond the count's range is cut off.
    pub fn put_counted(&mut self, bytes: &[u8]) -> &mut Self {
        let bytes = &bytes[..bytes.len().min(u16::MAX as usize)];
        self.put(&(bytes.len() as u16).to_le_bytes()).put(bytes)
    }

    /// Completes the reply to the batch of that number.
    pub fn finish(&mut self, sequence_number: u32) -> &[u8] {
        let length = self.bytes.len() as u32;
        self.bytes[0..4].copy_from_slice(&length.to_le_bytes());
        self.bytes[4..8].copy_from_slice(&self.records.to_le_bytes());
        self.bytes[8..12].copy_from_slice(&sequence_number.to_le_bytes());
        &self.bytes
    }
}
