//! The protocols that the gateway speaks: parsers and writers on buffers, without sockets or
//! decisions.
//!
//! Names that a protocol prescribes are mapped to the terms of this code base here and nowhere
//! else.

pub mod discovery;
pub mod fields;
pub mod gateway_statements;
pub mod http;
pub mod lines;
pub mod mysql;
pub mod peer_frames;
pub mod table_group;
