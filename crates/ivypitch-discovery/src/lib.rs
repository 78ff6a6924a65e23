//! The watch on the discovery service's numbered events: decides which events are accepted and when
//! the watch is resubscribed.
//!
//! Each event is accepted once and in order, and accepted events are never revoked. A watch that
//! cannot be continued must neither be resubscribed in a tight loop nor stop for good. This crate
//! does no I/O and reads no clock.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

mod backoff;
mod endpoint_watch;

pub use endpoint_watch::{EndpointWatch, WatchDecision, WatchLine};
