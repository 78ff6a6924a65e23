//! The watch on the discovery service's numbered events: which of them are accepted, and when the watch is resubscribed.
//!
//! Each event is accepted once and in order; what was accepted stays. A watch that cannot be continued as it is served
//! must neither be resubscribed in a tight loop nor stop for good. There is no I/O and no clock.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

mod backoff;
mod endpoint_watch;

pub use endpoint_watch::{EndpointWatch, WatchDecision, WatchLine};
