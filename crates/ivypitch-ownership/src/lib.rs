//! Ownership of the statements in flight in a fleet of gateways.
//!
//! When a gateway is lost, exactly one other takes each of its statements over: it keeps the
//! attempt at the engine alive, fetches the result and caches it for the client's return. A
//! non-idempotent statement is never dispatched twice.
//!
//! The crate only decides: no I/O, no clock, no threads. The caller passes messages and the time to
//! [`Ownership`] and carries out what it gets through [`Output`]. `docs/ownership.md` describes the
//! guarantees, the alternatives, and why no statement runs twice.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

mod arrival;
mod attempt_grant;
mod completion;
mod config;
mod handoff;
mod lookup;
mod lookup_reply;
mod members;
mod message;
mod output;
mod ownership;
mod recent_completions;
mod result_cache;
mod state_transfer;
mod statement;
mod statement_table;
mod takeover;
mod takeover_outcome;
mod updates;
mod vote_log;
mod vote_log_entry;
mod voters;

pub use arrival::Arrival;
pub use config::{NoQuorumPolicy, OwnershipConfig};
pub use message::{
    AttemptGrant, Epoch, FinalAnswer, LookupAnswer, Message, StatementEnd, StatementId,
    StatementRecord, StatementSpec, VERSION, VoteLogCompleteness,
};
pub use output::{
    ArrivalDecision, DisconnectDecision, GrantDecision, GrantDenial, Output, OwnershipCounters,
    OwnershipSizes,
};
pub use ownership::Ownership;
pub use result_cache::{Pages, ResultCache};
pub use statement::StatementState;
pub use vote_log::{VoteDenial, VoteLog, VoteLogConfig};
pub use voters::VoterAssignment;
