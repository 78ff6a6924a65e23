//! Frames and records of the simulator's wire: little-endian, no padding. Reading names the record and the
//! offset where it fails and never allocates more than has arrived.

use std::fmt;
use std::io::{self, Read};

/// Frames are refused above this; the largest batches run to megabytes.
pub const LARGEST_FRAME: usize = 256 << 20;
pub const BATCH_HEADER: usize = 20;
pub const REPLY_HEADER: usize = 12;
pub const LIST_ROW: usize = 25;

/// What is wrong with the input: one plain line.
#[derive(Debug, PartialEq)]
pub struct Malformed {
    pub record: &'static str,
    pub offset: usize,
    pub what: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at byte {}: {}", self.record, self.offset, self.what)
    }
}

/// An engine's address and port, as they came.
pub type EngineId = [u8; 6];

#[derive(Debug, PartialEq)]
pub struct Batch {
    pub records: u32,
    pub clock: u64,
    pub number: u32,
    /// The records, without the header.
    pub body: Vec<u8>,
}

/// The next batch; `None` at a clean end of the input.
pub fn read_batch(input: &mut impl Read) -> io::Result<Result<Option<Batch>, Malformed>> {
    let malformed = |offset, what: String| {
        Ok(Err(Malformed {
            record: "batch header",
            offset,
            what,
        }))
    };
    let mut header = Vec::with_capacity(BATCH_HEADER);
    input
        .by_ref()
        .take(BATCH_HEADER as u64)
        .read_to_end(&mut header)?;
    if header.is_empty() {
        return Ok(Ok(None));
    }
    if header.len() < BATCH_HEADER {
        return malformed(header.len(), "the input ends inside the header".into());
    }
    let mut fields = Cursor {
        bytes: &header,
        at: 0,
        base: 0,
        record: "batch header",
    };
    let (length, records, clock, number) =
        match (fields.u32(), fields.u32(), fields.u64(), fields.u32()) {
            (Ok(length), Ok(records), Ok(clock), Ok(number)) => {
                (length as usize, records, clock, number)
            }
            _ => return malformed(0, "unreadable".into()),
        };
    if !(BATCH_HEADER..=LARGEST_FRAME).contains(&length) {
        return malformed(0, format!("a length of {length} bytes is out of range"));
    }
    let mut body = Vec::new();
    input
        .by_ref()
        .take((length - BATCH_HEADER) as u64)
        .read_to_end(&mut body)?;
    if body.len() < length - BATCH_HEADER {
        let what = format!("the input ends inside a frame of {length} bytes");
        return malformed(BATCH_HEADER + body.len(), what);
    }
    Ok(Ok(Some(Batch {
        records,
        clock,
        number,
        body,
    })))
}

/// Reads fields in turn; offsets in its errors count from the start of the frame.
pub struct Cursor<'a> {
    pub bytes: &'a [u8],
    pub at: usize,
    pub base: usize,
    pub record: &'static str,
}

impl<'a> Cursor<'a> {
    pub fn malformed(&self, what: impl Into<String>) -> Malformed {
        Malformed {
            record: self.record,
            offset: self.base + self.at,
            what: what.into(),
        }
    }

    pub fn take(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        let left = self.bytes.len() - self.at;
        if n > left {
            return Err(self.malformed(format!("{n} bytes wanted, {left} left in the frame")));
        }
        let taken = &self.bytes[self.at..self.at + n];
        self.at += n;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    pub fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(self.array::<1>()?[0])
    }
    pub fn u16(&mut self) -> Result<u16, Malformed> {
        Ok(u16::from_le_bytes(self.array()?))
    }
    pub fn u32(&mut self) -> Result<u32, Malformed> {
        Ok(u32::from_le_bytes(self.array()?))
    }
    pub fn u64(&mut self) -> Result<u64, Malformed> {
        Ok(u64::from_le_bytes(self.array()?))
    }
    pub fn f32(&mut self) -> Result<f32, Malformed> {
        Ok(f32::from_le_bytes(self.array()?))
    }
    pub fn engine(&mut self) -> Result<EngineId, Malformed> {
        self.array()
    }
    /// A count of u8 and as many values.
    pub fn report(&mut self, into: &mut Vec<f32>) -> Result<(), Malformed> {
        into.clear();
        for _ in 0..self.u8()? {
            into.push(self.f32()?);
        }
        Ok(())
    }
}

/// A reply in the making.
#[derive(Default)]
pub struct Reply {
    bytes: Vec<u8>,
    records: u32,
}

impl Reply {
    pub fn start(&mut self) {
        self.bytes.clear();
        self.bytes.resize(REPLY_HEADER, 0);
        self.records = 0;
    }

    pub fn record(&mut self, code: u8, gateway: u32) -> &mut Self {
        self.records += 1;
        self.bytes.push(code);
        self.put(&gateway.to_le_bytes())
    }

    pub fn put(&mut self, bytes: &[u8]) -> &mut Self {
        self.bytes.extend_from_slice(bytes);
        self
    }

    /// A count of u16 and the bytes; what is over the count's range is cut off.
    pub fn put_counted(&mut self, bytes: &[u8]) -> &mut Self {
        let bytes = &bytes[..bytes.len().min(u16::MAX as usize)];
        self.put(&(bytes.len() as u16).to_le_bytes()).put(bytes)
    }

    pub fn finish(&mut self, number: u32) -> &[u8] {
        let length = self.bytes.len() as u32;
        self.bytes[0..4].copy_from_slice(&length.to_le_bytes());
        self.bytes[4..8].copy_from_slice(&self.records.to_le_bytes());
        self.bytes[8..12].copy_from_slice(&number.to_le_bytes());
        &self.bytes
    }
}
