//! The protocols that the gateway speaks: parsing and writing on buffers, no sockets and no decisions.
//!
//! Names that a protocol fixes are mapped to the field's terms here and nowhere else.

pub mod discovery;
pub mod fields;
pub mod gateway_statements;
pub mod http;
pub mod mysql;
pub mod peer_frames;
pub mod table_group;
