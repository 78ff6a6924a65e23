//! Errors in the simulator's input.

use ivypitch_config::DeploymentError;
use std::io;
use thiserror::Error;

/// The input cannot be read or decoded.
#[derive(Debug, Error)]
pub enum InputError {
    /// Reading the input failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The bytes are not a valid batch.
    #[error(transparent)]
    Malformed(#[from] DecodeError),
}

/// The bytes at an offset of a frame cannot be decoded.
#[derive(Debug, Error)]
#[error("{record} at byte {offset}: {problem}")]
pub struct DecodeError {
    /// The record being decoded.
    pub record: &'static str,
    /// Offset from the start of the frame.
    pub offset: usize,
    /// The problem with the bytes.
    pub problem: DecodeProblem,
}

/// A problem with the bytes of a frame.
#[derive(Debug, Error)]
pub enum DecodeProblem {
    /// The input ends inside a batch header.
    #[error("the input ends inside the header")]
    HeaderTruncated,
    /// A frame's length is below the header's size or above the maximum.
    #[error("frame length of {0} bytes is out of range")]
    FrameLengthOutOfRange(usize),
    /// The input ends inside a frame of this length.
    #[error("the input ends inside a frame of {0} bytes")]
    FrameTruncated(usize),
    /// A field needs more bytes than are left in the frame.
    #[error("field needs {needed} bytes, but {left} are left in the frame")]
    RecordTruncated {
        /// Bytes that the field needs.
        needed: usize,
        /// Bytes left in the frame.
        left: usize,
    },
    /// This many bytes follow the last record.
    #[error("{0} bytes follow the last record")]
    TrailingBytes(usize),
    /// A record has an unknown code.
    #[error("unknown record code {0}")]
    UnknownCode(u8),
    /// An endpoint update has an unknown kind.
    #[error("unknown kind of endpoint update {0}")]
    UnknownUpdateKind(u8),
    /// An endpoint update refers to a list that was never sent.
    #[error("no endpoint list has the number {0}")]
    UnknownList(u16),
    /// An endpoint list exceeds its frame.
    #[error("endpoint list of {0} entries exceeds the frame")]
    ListTooLong(usize),
    /// An engine has an unknown state.
    #[error("unknown engine state {0}")]
    UnknownEngineState(u8),
    /// An attempt or a load report request has an unknown result.
    #[error("unknown result {0}")]
    UnknownResult(u16),
    /// A progress report has an unknown topic.
    #[error("unknown topic {0}")]
    UnknownTopic(u8),
    /// The settings of an instance are invalid.
    #[error("settings: {0}")]
    Settings(#[source] DeploymentError),
}
