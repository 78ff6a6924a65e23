//! Decisions returned to the caller.

use ivypitch_types::{MemberId, Nanos};

use crate::message::{FinalAnswer, Message, StatementId, StatementSpec};

/// Actions that the caller carries out, in the order of the calls.
pub trait Output {
    /// Sends a message to another member. Delivery is not guaranteed and is not awaited.
    fn send(&mut self, to: MemberId, message: Message);
    /// A quorum granted the attempt: it may be dispatched.
    fn on_attempt_granted(&mut self, id: StatementId, attempt: u32);
    /// The attempt must not be dispatched.
    fn on_attempt_denied(&mut self, id: StatementId, attempt: u32, denial: GrantDenial);
    /// No other gateway knows the statement: it proceeds as a new one.
    fn proceed(&mut self, id: StatementId);
    /// This gateway owns the statement from now on. `engine_hash` names the engine where an attempt
    /// may be running: that engine is polled and no attempt is started. `None` starts the
    /// statement.
    fn take_over(
        &mut self,
        id: StatementId,
        spec: &StatementSpec,
        remaining: Nanos,
        engine_hash: Option<u64>,
    );
    /// Answers a client that waits at this gateway.
    fn answer(&mut self, waiter_token: u64, answer: &FinalAnswer);
    /// Writes one line to the log.
    fn log(&mut self, line: &str);
}

/// Decision on a client's statement on its arrival.
#[derive(Clone, Debug, PartialEq)]
pub enum ArrivalDecision {
    /// The statement is new: it goes to the scheduler, and this gateway owns it.
    Proceed,
    /// [`Output::answer`] or [`Output::proceed`] follows.
    Wait,
    /// The client gets this answer immediately.
    Answer(FinalAnswer),
}

/// Why an attempt was denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantDenial {
    /// No quorum of the statement's voters is reachable, and
    /// [`NoQuorumPolicy::Reject`](crate::NoQuorumPolicy::Reject) is configured.
    NoQuorum {
        /// Whether no other gateway can have dispatched the statement. False if a member was lost
        /// recently, because the client may have come from that member.
        is_provably_unsent: bool,
    },
    /// Another gateway owns the statement; the client waits here for the owner's answer.
    OwnedElsewhere,
}

/// What becomes of a statement when one of its clients has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectDecision {
    /// Another client waits for the statement, which goes on.
    Continue,
    /// The attempt may have run: it goes on to its end, which is kept for a client that returns. No
    /// further attempt may begin.
    FinishAttempt,
    /// The statement has ended here: its attempt is cancelled, and none may begin.
    End,
}

/// Whether an attempt may be dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantDecision {
    /// It may be dispatched immediately.
    Granted,
    /// [`Output::on_attempt_granted`] or [`Output::on_attempt_denied`] follows.
    Pending,
    /// It must not be dispatched.
    Denied(GrantDenial),
}

/// Events counted since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnershipCounters {
    /// Statements whose owner was lost or shut down.
    pub orphaned: u64,
    /// Takeovers that a quorum permitted.
    pub taken_over: u64,
    /// Takeovers of statements with an attempt that may have been running.
    pub polled: u64,
    /// Results of taken-over statements that were cached.
    pub cached: u64,
    /// Answers delivered to clients that returned.
    pub delivered: u64,
    /// Non-idempotent statements that may have run and whose outcome is unknown.
    pub unknown: u64,
    /// Attempts denied because there was no quorum.
    pub no_quorum: u64,
    /// Attempts denied because another gateway owns the statement.
    pub owned_elsewhere: u64,
}

/// Sizes of the tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnershipSizes {
    /// Statements that have not ended.
    pub open_statements: usize,
    /// Statements in this member's vote log.
    pub vote_log_entries: usize,
    /// Bytes of cached results.
    pub cached_bytes: usize,
}
