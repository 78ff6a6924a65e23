//! What gateways say to each other about statements in hand. Spans travel as what is left of them: no clock is
//! shared.

use serde::{Deserialize, Serialize};

/// Of these messages: members of another version are not spoken to.
pub const VERSION: u16 = 1;

/// A statement's id as its client gave it, the same however often the client comes.
pub type StatementId = u64;

/// Names who may act for a statement; each taking over makes a higher one.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct Epoch {
    pub count: u32,
    pub place: u16,
    /// Of the process: the same place with another birth has forgotten all.
    pub birth: u64,
}

/// What is needed to run a statement, wherever it is.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct StatementSpec {
    /// Of all that the client sent under the id, but for its time: another one is another statement.
    pub digest: u64,
    pub workload: u16,
    pub tenant: u16,
    /// Running it twice does the same as once.
    pub idempotent: bool,
    /// What is left of its client's time.
    pub left_ms: u32,
    /// As the client sent it, fields and all; empty where it need not travel again.
    #[serde(with = "serde_bytes")]
    pub text: Vec<u8>,
}

/// Leave to send one execution; written once, it never moves.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct AttemptGrant {
    pub epoch: Epoch,
    pub number: u32,
    /// The engine's id as a number, the same at every gateway.
    pub engine: u64,
    /// Proved never to have run.
    pub void: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum StatementEnd {
    /// `rows_at`: where its rows are, as long as they are kept.
    Completed { rows_at: u16, birth: u64 },
    /// May have run; nobody knows more.
    Aborted,
    /// Had no effect.
    Rejected,
}

/// What a witness has of a statement.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct StatementRecord {
    pub id: StatementId,
    /// Of whoever may act for it.
    pub epoch: Epoch,
    pub facts: Option<StatementSpec>,
    pub grants: Vec<AttemptGrant>,
    pub end: Option<StatementEnd>,
}

/// The answer to a client that came back, or where to ask.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum LookupAnswer {
    /// Nothing is known of it.
    Unknown,
    /// Ask there.
    HeldBy(u16),
    Final(FinalAnswer),
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum FinalAnswer {
    /// All pages of its rows.
    Rows(Vec<serde_bytes::ByteBuf>),
    /// It completed; its rows are kept no more.
    CompletedWithoutRows,
    Rejected {
        come_back_ms: u32,
    },
    Aborted,
    /// Under this id another statement is known.
    IdReused,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum Message {
    /// News without an answer: statements that need no grant, ends, grants that never ran.
    Update(Vec<StatementRecord>),
    GrantRequest {
        told: StatementRecord,
        grant: AttemptGrant,
    },
    /// To a grant: it stands here, or what stands against it.
    GrantReply {
        id: StatementId,
        grant: AttemptGrant,
        against: Option<StatementRecord>,
    },
    TakeoverRequest {
        id: StatementId,
        epoch: Epoch,
    },
    /// To a claim. `promised`: this witness lets no lower epoch act. With what it has, if anything.
    TakeoverReply {
        id: StatementId,
        epoch: Epoch,
        promised: bool,
        told: Option<StatementRecord>,
    },
    /// This witness began lately and can't vote on the id yet.
    Abstention {
        id: StatementId,
        epoch: Epoch,
    },
    /// A client came back.
    LookupRequest {
        id: StatementId,
        digest: u64,
        serial: u64,
    },
    LookupReply {
        serial: u64,
        id: StatementId,
        answered: LookupAnswer,
    },
    /// The sender ends; the receiver is to take it over now.
    Handoff(StatementRecord),
    /// What the sender knows of statements that the receiver bears witness of. The last part says so, and what the
    /// sender's word of votes is worth.
    StateTransfer {
        told: Vec<StatementRecord>,
        last: Option<VoteLogCompleteness>,
    },
}

/// How much a gateway's word of what was voted on is worth.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum VoteLogCompleteness {
    Complete,
    /// It began lately and was told by these.
    RestoredFrom(Vec<u16>),
}
