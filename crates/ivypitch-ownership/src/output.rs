//! What the decisions return to their caller.

use ivypitch_types::{MemberId, Nanos};

use crate::message::{FinalAnswer, Message, StatementId, StatementSpec};

/// What the decisions ask of their caller, in the order in which it is to be carried out.
pub trait Output {
    /// Sends a message to another member. It may be lost; nothing waits for it to arrive.
    fn send(&mut self, to: MemberId, message: Message);
    /// A quorum granted the attempt: it may be dispatched.
    fn on_attempt_granted(&mut self, id: StatementId, attempt: u32);
    /// The attempt must not be dispatched.
    fn on_attempt_denied(&mut self, id: StatementId, attempt: u32, denial: GrantDenial);
    /// No other gateway knows the statement: it proceeds as a new one.
    fn proceed(&mut self, id: StatementId);
    /// This gateway acts for the statement from now on. `engine` is where an attempt may be running: that engine is
    /// polled for it and nothing is started. `None` starts the statement.
    fn take_over(
        &mut self,
        id: StatementId,
        spec: &StatementSpec,
        remaining: Nanos,
        engine: Option<u64>,
    );
    /// Answers a client that waits here.
    fn answer(&mut self, waiter_token: u64, answer: &FinalAnswer);
    /// One line for the log.
    fn log(&mut self, line: &str);
}

/// What happens to a client's statement that has just arrived.
#[derive(Clone, Debug, PartialEq)]
pub enum ArrivalDecision {
    /// It is new: it goes to the scheduler, and this gateway acts for it.
    Proceed,
    /// [`Output::answer`] or [`Output::proceed`] follows.
    Wait,
    /// The client gets this at once.
    Answer(FinalAnswer),
}

/// Why an attempt was denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantDenial {
    /// No quorum of its voters can be reached, and [`NoQuorumPolicy::Reject`](crate::NoQuorumPolicy::Reject) holds.
    NoQuorum {
        /// Nobody else can have dispatched the statement. False where a member was lost lately, because the client may
        /// have come from there.
        is_provably_unsent: bool,
    },
    /// Another gateway acts for the statement; the client waits here for that one's answer.
    OwnedElsewhere,
}

/// Whether an attempt may be dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantDecision {
    /// Now.
    Granted,
    /// [`Output::on_attempt_granted`] or [`Output::on_attempt_denied`] follows.
    Pending,
    /// Not at all.
    Denied(GrantDenial),
}

/// Events counted since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnershipCounters {
    /// Statements whose owner was lost or shut down.
    pub orphaned: u64,
    /// Takeovers that a quorum allowed.
    pub taken_over: u64,
    /// Of these, statements with an attempt that may have been running.
    pub polled: u64,
    /// Results of taken-over statements that were cached.
    pub cached: u64,
    /// Ends that were delivered to clients that came back.
    pub delivered: u64,
    /// Non-idempotent statements that may have run.
    pub unknown: u64,
    /// Attempts denied for want of a quorum.
    pub no_quorum: u64,
    /// Attempts denied because another gateway acts for the statement.
    pub owned_elsewhere: u64,
}

/// Sizes of the tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnershipSizes {
    /// Statements that are not over.
    pub open_statements: usize,
    /// Statements that this member remembers as a voter.
    pub vote_log_entries: usize,
    /// Bytes of cached results.
    pub cached_bytes: usize,
}
