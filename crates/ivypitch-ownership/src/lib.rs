//! Who may act for a statement that is in hand somewhere in the fleet. When its gateway is lost exactly one other
//! takes it over: keeps its execution alive, fetches its end, has the answer ready for the client that comes back.
//! No I/O, no clock, no threads: the caller brings messages and the time, and carries out what is asked for.
//! Promises, ways weighed and the argument why nothing runs twice: `docs/custody.md`.

mod message;
mod ownership;
mod result_cache;
mod vote_log;
mod voters;

pub use message::{
    AttemptGrant, Epoch, FinalAnswer, LookupAnswer, Message, StatementEnd, StatementId,
    StatementRecord, StatementSpec, VERSION, VoteLogCompleteness,
};
pub use ownership::{
    ArrivalDecision, GrantDecision, GrantDenial, NoQuorumPolicy, Output, Ownership,
    OwnershipConfig, OwnershipCounters, StatementState,
};
pub use result_cache::ResultCache;
pub use vote_log::{VoteLog, VoteRefusal};
pub use voters::VoterAssignment;
