//! What gateways say to each other about statements in hand. Spans travel as what is left of them: no clock is
//! shared.

use serde::{Deserialize, Serialize};

/// Of these messages: members of another version are not spoken to.
pub const VERSION: u16 = 1;

/// A statement's id as its client gave it, the same however often the client comes.
pub type Id = u64;

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
pub struct Facts {
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
pub struct Grant {
    pub epoch: Epoch,
    pub number: u32,
    /// The engine's id as a number, the same at every gateway.
    pub engine: u64,
    /// Proved never to have run.
    pub void: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum End {
    /// `rows_at`: where its rows are, as long as they are kept.
    Completed { rows_at: u16, birth: u64 },
    /// May have run; nobody knows more.
    Aborted,
    /// Had no effect.
    Rejected,
}

/// What a witness has of a statement.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct Told {
    pub id: Id,
    /// Of whoever may act for it.
    pub epoch: Epoch,
    pub facts: Option<Facts>,
    pub grants: Vec<Grant>,
    pub end: Option<End>,
}

/// The answer to a client that came back, or where to ask.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum Answered {
    /// Nothing is known of it.
    Unknown,
    /// Ask there.
    At(u16),
    Word(Word),
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum Word {
    /// All pages of its rows.
    Rows(Vec<serde_bytes::ByteBuf>),
    /// It completed; its rows are kept no more.
    Completed,
    Rejected {
        come_back_ms: u32,
    },
    Aborted,
    /// Under this id another statement is known.
    Different,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum Message {
    /// News without an answer: statements that need no grant, ends, grants that never ran.
    Tell(Vec<Told>),
    Grant {
        told: Told,
        grant: Grant,
    },
    /// To a grant: it stands here, or what stands against it.
    Granted {
        id: Id,
        grant: Grant,
        against: Option<Told>,
    },
    Claim {
        id: Id,
        epoch: Epoch,
    },
    /// To a claim. `promised`: this witness lets no lower epoch act. With what it has, if anything.
    Promise {
        id: Id,
        epoch: Epoch,
        promised: bool,
        told: Option<Told>,
    },
    /// This witness began lately and can't vote on the id yet.
    Abstain {
        id: Id,
        epoch: Epoch,
    },
    /// A client came back.
    Ask {
        id: Id,
        digest: u64,
        serial: u64,
    },
    Answer {
        serial: u64,
        id: Id,
        answered: Answered,
    },
    /// The sender ends; the receiver is to take it over now.
    HandOver(Told),
    /// What the sender knows of statements that the receiver bears witness of. The last part says so, and what the
    /// sender's word of votes is worth.
    Relearn {
        told: Vec<Told>,
        last: Option<Memory>,
    },
}

/// How much a gateway's word of what was voted on is worth.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum Memory {
    Whole,
    /// It began lately and was told by these.
    ToldBy(Vec<u16>),
}
