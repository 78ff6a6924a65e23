//! Settings of a gateway's ownership decisions.

use ivypitch_types::{MILLISECOND, Nanos, SECOND};

/// What becomes of a non-idempotent statement whose attempt finds no quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoQuorumPolicy {
    /// It is rejected at once.
    Reject,
    /// It is dispatched as if there were no peers, and never taken over. If its client reaches the other side of a
    /// partition meanwhile, that side knows nothing of it.
    ProceedAlone,
}

/// Settings that must be the same at all gateways of a fleet, except for the sizes.
#[derive(Clone, Debug)]
pub struct OwnershipConfig {
    /// Voters of each statement.
    pub voters_per_statement: usize,
    /// How many of them are notified of idempotent statements, which need no grant.
    pub voters_of_idempotent_statements: usize,
    /// An attempt that finds no quorum within this time is denied, unless voters that are connected and not suspected have
    /// still to answer: those are waited for until [`Self::grant_validity`] ends.
    pub grant_timeout: Nanos,
    /// A grant is used within this time after its votes were requested, or not at all.
    pub grant_validity: Nanos,
    /// Each voter waits this much longer than the one ranked before it before it takes an orphaned statement over.
    pub takeover_stagger: Nanos,
    /// A takeover without a quorum is tried again after this time; later tries wait longer.
    pub takeover_timeout: Nanos,
    /// A voter that was asked about a statement answers within this time, or the next one is asked.
    pub lookup_timeout: Nanos,
    /// The gateway that acts for a statement is asked for its result again after this time.
    pub follow_interval: Nanos,
    /// Updates to voters are collected for this time.
    pub update_interval: Nanos,
    /// No client waits longer for a statement.
    pub max_statement_timeout: Nanos,
    /// How long after its timeout a statement's client may come back.
    pub retention: Nanos,
    /// What happens without a quorum.
    pub no_quorum_policy: NoQuorumPolicy,
    /// Results that are cached for the clients of one tenant, in bytes.
    pub result_cache_bytes_per_tenant: usize,
    /// Bound of the vote log, and of the statements that are remembered after their end.
    pub max_entries: usize,
}

impl Default for OwnershipConfig {
    fn default() -> OwnershipConfig {
        OwnershipConfig {
            voters_per_statement: 5,
            voters_of_idempotent_statements: 3,
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
        }
    }
}
