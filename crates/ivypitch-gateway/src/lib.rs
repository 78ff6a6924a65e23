//! The ivypitch query gateway on real sockets.
//!
//! Clients connect with the MySQL protocol, and engines are called over HTTP. Crates without
//! sockets, clocks or threads decide which statement runs where and when; this crate drives them:
//!
//! - [`lifecycle`]: configuration, startup, reload and graceful shutdown of the process;
//! - [`actors`]: tasks on one thread that own sockets and the decision crates, and exchange
//!   messages;
//! - [`wire`]: parsers and writers of the protocols, on buffers;
//! - [`state`]: state that actors own or share, without decisions;
//! - [`log_events`]: names of log events that tests and other programs match.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

pub mod actors;
pub mod lifecycle;
pub mod log_events;
pub mod state;
pub mod wire;
