//! What can be wrong with the simulator's input.

use ivypitch_config::DeploymentError;
use std::io;
use thiserror::Error;

/// The input cannot be read or decoded.
#[derive(Debug, Error)]
pub enum InputError {
    /// Reading it failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Its bytes are no valid batch.
    #[error(transparent)]
    Malformed(#[from] DecodeError),
}

/// A place in a frame whose bytes cannot be decoded.
#[derive(Debug, Error)]
#[error("{record} at byte {offset}: {problem}")]
pub struct DecodeError {
    /// The record that was being decoded.
    pub record: &'static str,
    /// Offset from the start of the frame.
    pub offset: usize,
    /// What is wrong there.
    pub problem: DecodeProblem,
}

/// What is wrong with the bytes.
#[derive(Debug, Error)]
pub enum DecodeProblem {
    /// The input ends inside a batch header.
    #[error("the input ends inside the header")]
    HeaderTruncated,
    /// A frame's length is below the header's or above the limit.
    #[error("a length of {0} bytes is out of range")]
    FrameLengthOutOfRange(usize),
    /// The input ends inside a frame of that length.
    #[error("the input ends inside a frame of {0} bytes")]
    FrameTruncated(usize),
    /// A field needs more bytes than are left in the frame.
    #[error("{wanted} bytes wanted, {left} left in the frame")]
    RecordTruncated {
        /// Bytes that the field needs.
        wanted: usize,
        /// Bytes that are left.
        left: usize,
    },
    /// That many bytes follow the last record.
    #[error("{0} bytes follow the last record")]
    TrailingBytes(usize),
    /// An event has no known code.
    #[error("unknown record code {0}")]
    UnknownCode(u8),
    /// An endpoint update is of no known kind.
    #[error("unknown kind {0}")]
    UnknownUpdateKind(u8),
    /// An endpoint update names a list that was never sent.
    #[error("no list has the number {0}")]
    UnknownList(u16),
    /// An endpoint list is longer than its frame.
    #[error("{0} entries run past the frame")]
    ListTooLong(usize),
    /// An engine is in no known phase.
    #[error("unknown phase {0}")]
    UnknownPhase(u8),
    /// An attempt or a request for a load report ended in no known way.
    #[error("unknown result {0}")]
    UnknownResult(u16),
    /// A progress report is about no known topic.
    #[error("unknown topic {0}")]
    UnknownTopic(u8),
    /// An instance's settings cannot be used.
    #[error("settings: {0}")]
    Settings(#[source] DeploymentError),
}
