//! What is spoken: reading and writing on buffers, no sockets.

pub mod fields;
pub mod http;
pub mod journal;
pub mod mysql;
pub mod peers;
