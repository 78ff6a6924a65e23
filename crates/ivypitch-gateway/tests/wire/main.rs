//! Bytes in and out of each protocol of the gateway.

mod damaged_input;
mod discovery;
mod fields;
mod http;
mod mysql;
