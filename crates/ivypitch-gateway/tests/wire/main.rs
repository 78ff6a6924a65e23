//! Encoding and parsing of each protocol of the gateway.

mod damaged_input;
mod discovery;
mod fields;
mod http;
mod mysql;
