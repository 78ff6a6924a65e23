//! Messages between gateways. Times are sent as remaining durations, because clocks are not shared.
//!
//! The encoding is positional: fields and variants may be renamed but not reordered.

use ivypitch_types::{MemberId, ProcessId};
use serde::{Deserialize, Serialize};

/// Version of these messages. Members of different versions do not communicate.
pub const VERSION: u16 = 1;

/// Id of a statement, chosen by the client and sent again on each return.
pub type StatementId = u64;

/// Identifies the owner of a statement. Every takeover uses a higher epoch.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Approximate number of ownership changes; compared before `process`.
    pub number: u32,
    /// The process that owns the statement in this epoch.
    pub process: ProcessId,
}

/// What a gateway needs to run a statement.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct StatementSpec {
    /// Digest of everything that the client sent under the id except its timeout. A different
    /// digest means a different statement.
    pub digest: u64,
    /// Index of the workload.
    pub workload: u16,
    /// Index of the tenant.
    pub tenant: u16,
    /// Whether running the statement twice has the same effect as running it once.
    pub is_idempotent: bool,
    /// Remaining time of the client's timeout, in milliseconds.
    pub remaining_ms: u32,
    /// The request as the client sent it, with all its fields; empty if it need not be sent again.
    #[serde(with = "serde_bytes")]
    pub request: Vec<u8>,
}

/// Permission to dispatch one attempt. A grant is never revoked.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct AttemptGrant {
    /// The epoch in which the grant was given.
    pub epoch: Epoch,
    /// Number of the attempt within the epoch.
    pub attempt: u32,
    /// Hash of the engine's id, the same at every gateway.
    pub engine_hash: u64,
    /// Whether the attempt is proved never to have run.
    pub never_ran: bool,
}

impl AttemptGrant {
    /// Whether both grants permit the same attempt.
    pub fn is_same_attempt(&self, other: &AttemptGrant) -> bool {
        self.epoch == other.epoch && self.attempt == other.attempt
    }
}

/// How a statement ended.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum StatementEnd {
    /// It completed.
    Completed {
        /// The process that caches its rows.
        cached_at: ProcessId,
    },
    /// It may have run; its outcome is unknown.
    Aborted,
    /// It had no effect.
    Rejected,
}

/// A voter's record of a statement.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct StatementRecord {
    /// The statement's id.
    pub id: StatementId,
    /// Epoch of the statement's owner, or of the takeover that the voter promised last.
    pub epoch: Epoch,
    /// The data needed to run the statement, if known.
    pub spec: Option<StatementSpec>,
    /// All attempts that were granted.
    pub grants: Vec<AttemptGrant>,
    /// How the statement ended, if it has.
    pub end: Option<StatementEnd>,
}

impl StatementRecord {
    /// Whether the record says more than that a member voted on the id.
    pub(crate) fn has_content(&self) -> bool {
        self.spec.is_some() || self.end.is_some()
    }

    /// Whether the record is of another statement with the same id.
    pub(crate) fn contradicts(&self, digest: u64) -> bool {
        self.spec.as_ref().is_some_and(|spec| spec.digest != digest)
    }
}

/// Answer to a [`Message::LookupRequest`].
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum LookupAnswer {
    /// The statement is not known.
    Unknown,
    /// The member owns the statement or has its result.
    LocatedAt(MemberId),
    /// The statement has ended.
    Final(FinalAnswer),
}

/// A client's final answer.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum FinalAnswer {
    /// All pages of the result.
    Rows(Vec<serde_bytes::ByteBuf>),
    /// The statement completed; its rows are no longer cached.
    CompletedWithoutRows,
    /// The statement did not run and will not run.
    Rejected {
        /// Time after which the client may retry, in milliseconds.
        retry_after_ms: u32,
    },
    /// The statement may have run; its outcome is unknown.
    Aborted,
    /// Another statement is known under this id.
    IdReused,
}

/// A message from one gateway to another.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Records that need no reply: idempotent statements, ends, attempts that never ran.
    Update(Vec<StatementRecord>),
    /// Requests a vote on one attempt.
    GrantRequest {
        /// The statement as its owner knows it.
        record: StatementRecord,
        /// The requested grant.
        grant: AttemptGrant,
    },
    /// The vote on a [`Message::GrantRequest`].
    GrantReply {
        /// The statement's id.
        id: StatementId,
        /// The requested grant.
        grant: AttemptGrant,
        /// `None` if granted, else the voter's record that forbids the grant.
        conflict: Option<StatementRecord>,
    },
    /// Requests a vote on owning a statement under a new epoch.
    TakeoverRequest {
        /// The statement's id.
        id: StatementId,
        /// The new epoch.
        epoch: Epoch,
    },
    /// The vote on a [`Message::TakeoverRequest`].
    TakeoverReply {
        /// The statement's id.
        id: StatementId,
        /// The requested epoch.
        epoch: Epoch,
        /// Whether the voter promises to grant nothing to lower epochs from now on.
        is_promised: bool,
        /// The voter's record of the statement, if it has one.
        record: Option<StatementRecord>,
    },
    /// The voter restarted recently and can't vote on the id yet.
    Abstention {
        /// The statement's id.
        id: StatementId,
        /// The epoch of the request.
        epoch: Epoch,
    },
    /// Asks for the end of a statement whose client returned.
    LookupRequest {
        /// The statement's id.
        id: StatementId,
        /// Digest of the client's request.
        digest: u64,
        /// Returned with the reply.
        request_id: u64,
    },
    /// Answers a [`Message::LookupRequest`], immediately or when the statement ends.
    LookupReply {
        /// Id of the request.
        request_id: u64,
        /// The statement's id.
        id: StatementId,
        /// What the sender knows.
        answer: LookupAnswer,
    },
    /// The sender shuts down; the receiver takes the statement over immediately.
    Handoff(StatementRecord),
    /// The sender's records of statements on which the receiver votes.
    StateTransfer {
        /// One part of the records.
        records: Vec<StatementRecord>,
        /// Set in the last part: completeness of the sender's vote log.
        completeness: Option<VoteLogCompleteness>,
    },
}

/// Completeness of a member's vote log.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum VoteLogCompleteness {
    /// The log contains all votes that may still matter.
    Complete,
    /// The member restarted recently and has the records that these members have transferred since.
    RestoredFrom(Vec<MemberId>),
}
