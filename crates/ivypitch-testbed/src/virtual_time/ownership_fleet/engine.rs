//! Engines, which drop queries that are no longer polled.

use std::collections::BTreeMap;

use ivypitch_ownership::StatementId;
use ivypitch_types::{MILLISECOND, Nanos};

/// Time after which an engine drops a query that has not been polled.
pub(super) const MAX_POLL_GAP: Nanos = 2_000 * MILLISECOND;

/// One process of one gateway.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct Poller {
    pub(super) gateway: usize,
    pub(super) incarnation: u64,
}

/// A running query.
pub(super) struct Query {
    pub(super) ends_at: Nanos,
    pub(super) polled_at: Nanos,
    /// The process that polled last. The first poll by another process marks the takeover in the
    /// measurements.
    pub(super) polled_by: Poller,
}

/// An engine and its running queries.
#[derive(Default)]
pub(super) struct Engine {
    pub(super) queries: BTreeMap<StatementId, Query>,
    pub(super) is_draining: bool,
}
