//! Frames and fields of the simulator's wire format: little-endian, without padding.
//!
//! Decoding errors name the record and the offset. Decoding never allocates more than was received.

use crate::error::{DecodeError, DecodeProblem, InputError};
use std::io::Read;

/// Maximum size of a frame; the largest batches have some megabytes.
pub const MAX_FRAME_BYTES: usize = 256 << 20;
/// Size of a batch's header.
pub const BATCH_HEADER_BYTES: usize = 20;
/// Size of a reply's header.
pub const REPLY_HEADER_BYTES: usize = 12;

const BATCH_HEADER: &str = "batch header";

/// An engine's address and port, as received.
pub type EngineId = [u8; 6];

/// A batch of events.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// Number of records in the body.
    pub records: u32,
    /// Time of the events, in nanoseconds.
    pub clock: u64,
    /// Sequence number of the batch, which the reply repeats.
    pub sequence_number: u32,
    /// The records, without the header.
    pub body: Vec<u8>,
}

/// Reads the next batch; returns `None` if the input ends between batches.
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

/// Decodes consecutive fields.
pub struct Cursor<'a> {
    bytes: &'a [u8],
    position: usize,
    /// Offset of the bytes in the frame.
    base_offset: usize,
    record: &'static str,
}

impl<'a> Cursor<'a> {
    /// Creates a cursor over bytes at the offset `base_offset` of a frame. Errors name `record`.
    pub fn new(bytes: &'a [u8], base_offset: usize, record: &'static str) -> Self {
        Cursor {
            bytes,
            position: 0,
            base_offset,
            record,
        }
    }

    /// Sets the record that subsequent errors name.
    pub fn set_record(&mut self, record: &'static str) {
        self.record = record;
    }

    /// Returns the number of bytes left.
    pub fn remaining(&self) -> usize {
        self.bytes.len() - self.position
    }

    /// Returns an error at the current position.
    pub fn error(&self, problem: DecodeProblem) -> DecodeError {
        self.error_before(0, problem)
    }

    /// Returns an error that is `bytes` before the current position.
    pub fn error_before(&self, bytes: usize, problem: DecodeProblem) -> DecodeError {
        DecodeError {
            record: self.record,
            offset: self.base_offset + self.position - bytes,
            problem,
        }
    }

    /// Takes the next `count` bytes.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let left = self.remaining();
        if count > left {
            let needed = count;
            return Err(self.error(DecodeProblem::RecordTruncated { needed, left }));
        }
        let taken = &self.bytes[self.position..self.position + count];
        self.position += count;
        Ok(taken)
    }

    fn take_array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    /// Decodes a byte.
    pub fn u8(&mut self) -> Result<u8, DecodeError> {
        Ok(self.take_array::<1>()?[0])
    }

    /// Decodes a 16-bit unsigned integer.
    pub fn u16(&mut self) -> Result<u16, DecodeError> {
        Ok(u16::from_le_bytes(self.take_array()?))
    }

    /// Decodes a 32-bit unsigned integer.
    pub fn u32(&mut self) -> Result<u32, DecodeError> {
        Ok(u32::from_le_bytes(self.take_array()?))
    }

    /// Decodes a 64-bit unsigned integer.
    pub fn u64(&mut self) -> Result<u64, DecodeError> {
        Ok(u64::from_le_bytes(self.take_array()?))
    }

    /// Decodes a 32-bit floating-point number.
    pub fn f32(&mut self) -> Result<f32, DecodeError> {
        Ok(f32::from_le_bytes(self.take_array()?))
    }

    /// Decodes an engine's id.
    pub fn engine(&mut self) -> Result<EngineId, DecodeError> {
        self.take_array()
    }

    /// Decodes a load report into `report`: a count of one byte, then as many values.
    pub fn load_report(&mut self, report: &mut Vec<f32>) -> Result<(), DecodeError> {
        report.clear();
        for _ in 0..self.u8()? {
            report.push(self.f32()?);
        }
        Ok(())
    }
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    bytes: Vec<u8>,
    records: u32,
}

impl Reply {
    /// Starts a new reply.
    pub fn start(&mut self) {
        self.bytes.clear();
        self.bytes.resize(REPLY_HEADER_BYTES, 0);
        self.records = 0;
    }

    /// Starts a record of an instance; its fields follow.
    pub fn record(&mut self, code: u8, instance: u32) -> &mut Self {
        self.records += 1;
        self.bytes.push(code);
        self.put(&instance.to_le_bytes())
    }

    /// Appends a field.
    pub fn put(&mut self, bytes: &[u8]) -> &mut Self {
        self.bytes.extend_from_slice(bytes);
        self
    }

    /// Appends a count of two bytes and the bytes, truncated to the range of the count.
    pub fn put_counted(&mut self, bytes: &[u8]) -> &mut Self {
        let bytes = &bytes[..bytes.len().min(u16::MAX as usize)];
        self.put(&(bytes.len() as u16).to_le_bytes()).put(bytes)
    }

    /// Completes the reply to the batch with this sequence number.
    pub fn finish(&mut self, sequence_number: u32) -> &[u8] {
        let length = self.bytes.len() as u32;
        self.bytes[0..4].copy_from_slice(&length.to_le_bytes());
        self.bytes[4..8].copy_from_slice(&self.records.to_le_bytes());
        self.bytes[8..12].copy_from_slice(&sequence_number.to_le_bytes());
        &self.bytes
    }
}
