//! Messages between gateways. Durations travel as what remains of them, because no clock is shared.
//!
//! The encoding goes by position: fields and variants may be renamed, never reordered.

use ivypitch_types::{MemberId, ProcessId};
use serde::{Deserialize, Serialize};

/// Version of these messages. Members of different versions do not talk to each other.
pub const VERSION: u16 = 1;

/// Identifies a statement. The client chooses it and sends the same one however often it comes back.
pub type StatementId = u64;

/// Names who may act for a statement. Every takeover makes a higher epoch.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct Epoch {
    /// How often ownership has moved, roughly; it decides before the process does.
    pub number: u32,
    /// The process that acts under this epoch.
    pub process: ProcessId,
}

/// What a gateway needs to run a statement.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct StatementSpec {
    /// Of all that the client sent under the id, except its timeout: with another digest it is another statement.
    pub digest: u64,
    /// Index of the workload.
    pub workload: u16,
    /// Index of the tenant.
    pub tenant: u16,
    /// Running it twice has the same effect as running it once.
    pub is_idempotent: bool,
    /// What remains of its client's timeout, in milliseconds.
    pub remaining_ms: u32,
    /// The request as the client sent it, with all its fields; empty where it need not travel again.
    #[serde(with = "serde_bytes")]
    pub request: Vec<u8>,
}

/// Permission to dispatch one attempt. Once given it is never taken back.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct AttemptGrant {
    /// Under which it was given.
    pub epoch: Epoch,
    /// Number of the attempt within the epoch.
    pub attempt: u32,
    /// The engine's id as a number, the same at every gateway.
    pub engine: u64,
    /// The attempt is proved never to have run.
    pub never_ran: bool,
}

impl AttemptGrant {
    /// Whether both permit the same attempt.
    pub fn is_same_attempt(&self, other: &AttemptGrant) -> bool {
        self.epoch == other.epoch && self.attempt == other.attempt
    }
}

/// How a statement ended.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum StatementEnd {
    /// It completed.
    Completed {
        /// The process that has its rows, as long as they are cached.
        rows_at: ProcessId,
    },
    /// It may have run; nobody knows more.
    Aborted,
    /// It had no effect.
    Rejected,
}

/// What a voter knows of a statement.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct StatementRecord {
    /// Which statement.
    pub id: StatementId,
    /// Who may act for it.
    pub epoch: Epoch,
    /// What is needed to run it, where that is known.
    pub spec: Option<StatementSpec>,
    /// All attempts that were granted.
    pub grants: Vec<AttemptGrant>,
    /// How it ended, if it has.
    pub end: Option<StatementEnd>,
}

impl StatementRecord {
    /// The record says more than that somebody voted on the id.
    pub(crate) fn has_content(&self) -> bool {
        self.spec.is_some() || self.end.is_some()
    }

    /// The record is of another statement under the same id.
    pub(crate) fn contradicts(&self, digest: u64) -> bool {
        self.spec.as_ref().is_some_and(|spec| spec.digest != digest)
    }
}

/// Answers a [`Message::LookupRequest`].
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum LookupAnswer {
    /// Nothing is known of the statement.
    Unknown,
    /// That member acts for it or has its result.
    HeldBy(MemberId),
    /// How it ended.
    Final(FinalAnswer),
}

/// What a client is told in the end.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum FinalAnswer {
    /// All pages of its rows.
    Rows(Vec<serde_bytes::ByteBuf>),
    /// It completed; its rows are no longer cached.
    CompletedWithoutRows,
    /// Nothing ran, and nothing of it will.
    Rejected {
        /// When the client may try again, in milliseconds from now.
        retry_after_ms: u32,
    },
    /// It may have run; nobody knows more.
    Aborted,
    /// Another statement is known under this id.
    IdReused,
}

/// A message from one gateway to another.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum Message {
    /// News that need no answer: idempotent statements, ends, attempts that never ran.
    Update(Vec<StatementRecord>),
    /// Asks for a vote on one attempt.
    GrantRequest {
        /// The statement, as its owner knows it.
        record: StatementRecord,
        /// What is to be granted.
        grant: AttemptGrant,
    },
    /// The vote on a [`Message::GrantRequest`].
    GrantReply {
        /// Which statement.
        id: StatementId,
        /// The grant that was asked for.
        grant: AttemptGrant,
        /// `None`: granted. Otherwise what the voter knows that forbids it.
        conflict: Option<StatementRecord>,
    },
    /// Asks for a vote on acting for a statement under a new epoch.
    TakeoverRequest {
        /// Which statement.
        id: StatementId,
        /// The new epoch.
        epoch: Epoch,
    },
    /// The vote on a [`Message::TakeoverRequest`].
    TakeoverReply {
        /// Which statement.
        id: StatementId,
        /// The epoch that was asked for.
        epoch: Epoch,
        /// The voter lets no lower epoch act from now on.
        promised: bool,
        /// What the voter knows of the statement, if anything.
        record: Option<StatementRecord>,
    },
    /// The voter restarted lately and can't vote on the id yet.
    Abstention {
        /// Which statement.
        id: StatementId,
        /// The epoch of the request.
        epoch: Epoch,
    },
    /// Asks what became of a statement whose client came back.
    LookupRequest {
        /// Which statement.
        id: StatementId,
        /// Digest of what the client sent.
        digest: u64,
        /// Returned with the reply.
        request_id: u64,
    },
    /// Answers a [`Message::LookupRequest`], at once or when the statement ends.
    LookupReply {
        /// Of the request.
        request_id: u64,
        /// Which statement.
        id: StatementId,
        /// What is known.
        answer: LookupAnswer,
    },
    /// The sender shuts down; the receiver takes the statement over now.
    Handoff(StatementRecord),
    /// What the sender knows of statements on which the receiver votes.
    StateTransfer {
        /// One part of the records.
        records: Vec<StatementRecord>,
        /// Set in the last part: how complete the sender's vote log is.
        completeness: Option<VoteLogCompleteness>,
    },
}

/// How much a member remembers of the votes that were given.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum VoteLogCompleteness {
    /// All that may still matter.
    Complete,
    /// It restarted lately and has what these members transferred since.
    RestoredFrom(Vec<MemberId>),
}
