//! Who may act for a statement that is in flight somewhere in the fleet.
//!
//! When its gateway is lost exactly one other takes the statement over: it keeps the attempt at its engine alive, fetches
//! the result, and has it ready for the client that comes back. A non-idempotent statement is never dispatched twice.
//!
//! The crate decides and does nothing else: no I/O, no clock, no threads. The caller brings messages and the time to
//! [`Ownership`], and carries out what comes back through [`Output`]. `docs/ownership.md` states the promises, the
//! alternatives, and why nothing runs twice.

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
    ArrivalDecision, GrantDecision, GrantDenial, Output, OwnershipCounters, OwnershipSizes,
};
pub use ownership::Ownership;
pub use result_cache::{Pages, ResultCache};
pub use statement::StatementState;
pub use vote_log::{VoteDenial, VoteLog, VoteLogConfig};
pub use voters::VoterAssignment;
