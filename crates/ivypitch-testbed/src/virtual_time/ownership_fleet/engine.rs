//! Engines that count starts and forget what nobody polls for.

use std::collections::BTreeMap;

use ivypitch_ownership::StatementId;
use ivypitch_types::{MILLISECOND, Nanos};

/// An engine drops a query that nobody polled for in this time.
pub(super) const MAX_POLL_GAP: Nanos = 2_000 * MILLISECOND;

/// One process of one gateway.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct Poller {
    pub(super) gateway: usize,
    pub(super) incarnation: u64,
}

pub(super) struct Query {
    pub(super) ends_at: Nanos,
    pub(super) polled_at: Nanos,
    /// Who polled last. The first poll by another process is what a takeover is measured by.
    pub(super) polled_by: Poller,
}

#[derive(Default)]
pub(super) struct Engine {
    pub(super) queries: BTreeMap<StatementId, Query>,
    pub(super) is_draining: bool,
}
