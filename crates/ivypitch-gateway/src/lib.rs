//! The ivypitch query gateway on real sockets.
//!
//! Clients connect with the MySQL protocol, and engines are called over HTTP. The decisions when
//! and where a statement runs are made by crates without sockets, clocks or threads. This crate
//! connects them to the outside:
//!
//! - [`lifecycle`]: configuration, startup, reload and graceful shutdown of the process;
//! - [`actors`]: single-threaded tasks that own the sockets and the decision-making crates and
//!   communicate by messages;
//! - [`wire`]: encoding and parsing of the protocols, without I/O;
//! - [`state`]: data that actors share or own, without decisions;
//! - [`log_events`]: names of log events that tests and other programs search for.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

pub mod actors;
pub mod lifecycle;
pub mod log_events;
pub mod state;
pub mod wire;
