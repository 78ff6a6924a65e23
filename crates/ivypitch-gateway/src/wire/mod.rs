//! What is spoken: reading and writing on buffers, no sockets.

pub mod discovery;
pub mod fields;
pub mod gateway_statements;
pub mod http;
pub mod mysql;
pub mod peers;
pub mod table_group;
