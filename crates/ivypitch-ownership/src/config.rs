//! Configuration of statement ownership.

use ivypitch_types::{MILLISECOND, Nanos, SECOND};

/// How a non-idempotent statement is handled if no quorum grants its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoQuorumPolicy {
    /// It is rejected immediately.
    Reject,
    /// It is dispatched as if there were no other gateways, and is never taken over. If its client
    /// reaches the other side of a partition meanwhile, that side does not know the statement.
    ProceedAlone,
}

/// Configuration of ownership. Must be the same at all gateways of a fleet, except for the sizes.
#[derive(Clone, Debug)]
pub struct OwnershipConfig {
    /// Number of voters of each statement.
    pub voters_per_statement: usize,
    /// Number of those voters that are notified of idempotent statements, which need no grant.
    pub voters_per_idempotent_statement: usize,
    /// Time after which an attempt without a quorum is denied, unless votes are missing from
    /// connected voters that are not suspected: those are awaited until [`Self::grant_validity`]
    /// ends.
    pub grant_timeout: Nanos,
    /// Time after the vote request within which a grant must be used; afterwards it is void.
    pub grant_validity: Nanos,
    /// Delay by which each voter takes over an orphaned statement later than the voter ranked
    /// before it.
    pub takeover_stagger: Nanos,
    /// Backoff before a takeover without a quorum is retried; it grows with each retry.
    pub takeover_timeout: Nanos,
    /// Time that a voter has to answer a lookup before the next voter is asked.
    pub lookup_timeout: Nanos,
    /// Interval at which a statement's owner is asked again for its result.
    pub follow_interval: Nanos,
    /// Time over which updates to voters are batched.
    pub update_interval: Nanos,
    /// Longest timeout of any statement.
    pub max_statement_timeout: Nanos,
    /// How long after its timeout a statement's client may return.
    pub retention: Nanos,
    /// How attempts without a quorum are handled.
    pub no_quorum_policy: NoQuorumPolicy,
    /// Maximum size of the cached results of one tenant, in bytes.
    pub result_cache_bytes_per_tenant: usize,
    /// Maximum number of statements in the vote log, and of ended statements that are kept.
    pub max_entries: usize,
    /// Maximum size of the vote log in bytes, including overhead.
    pub max_vote_log_bytes: usize,
    /// Maximum number of ended statements that are kept; their voters still know how they ended.
    pub max_ended_statements: usize,
}

/// Approximate memory of an ended statement: its state, its grants and its place in the tables.
const ENDED_STATEMENT_BYTES: usize = 1024;

impl OwnershipConfig {
    /// Lowers the bounds of all tables so that together they take about `bytes`: half for the vote
    /// log, a quarter for ended statements, and a quarter for the cached results of all tenants.
    pub fn limit_memory(&mut self, bytes: usize, tenants: usize) {
        let quarter = bytes / 4;
        self.max_vote_log_bytes = self.max_vote_log_bytes.min(2 * quarter);
        self.max_ended_statements = self
            .max_ended_statements
            .min(quarter / ENDED_STATEMENT_BYTES);
        self.result_cache_bytes_per_tenant = self
            .result_cache_bytes_per_tenant
            .min(quarter / tenants.max(1));
    }
}

impl Default for OwnershipConfig {
    fn default() -> OwnershipConfig {
        OwnershipConfig {
            voters_per_statement: 5,
            voters_per_idempotent_statement: 3,
            grant_timeout: 100 * MILLISECOND,
            grant_validity: 400 * MILLISECOND,
            takeover_stagger: 120 * MILLISECOND,
            takeover_timeout: 150 * MILLISECOND,
            lookup_timeout: 40 * MILLISECOND,
            follow_interval: 400 * MILLISECOND,
            update_interval: 20 * MILLISECOND,
            max_statement_timeout: 25 * SECOND,
            retention: 5 * SECOND,
            no_quorum_policy: NoQuorumPolicy::Reject,
            result_cache_bytes_per_tenant: 4 << 20,
            max_entries: 200_000,
            max_vote_log_bytes: 256 << 20,
            max_ended_statements: 200_000,
        }
    }
}
