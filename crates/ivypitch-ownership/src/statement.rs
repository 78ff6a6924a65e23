//! One statement: its state, the allowed moves between states, and what is known of it here.

use std::collections::{BTreeMap, BTreeSet};

use ivypitch_types::{MILLISECOND, MemberId, Nanos};

use crate::message::{AttemptGrant, Epoch, StatementId, StatementRecord, StatementSpec};

/// What this gateway has to do with a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StatementState {
    /// A client came; voters are asked whether the statement is known.
    LookingUp,
    /// This gateway acts for it; no attempt is granted under its epoch.
    Owned,
    /// This gateway acts for it, and a quorum holds the grant of an attempt.
    Replicated,
    /// Its owner was lost; this gateway may be the one to take it over.
    Orphaned,
    /// This gateway asks for votes to act for it.
    TakingOver,
    /// Taken over: this gateway acts for an attempt that another one dispatched.
    TakenOver,
    /// Another gateway acts for it; clients here wait for that one's answer.
    OwnedElsewhere,
    /// Its end is known here, with its rows as long as they are cached.
    Cached,
    /// A client that came back has been given the end.
    Delivered,
    /// Over, or another gateway's.
    Closed,
    /// An attempt may have run and nobody can say more.
    Unknown,
}

impl StatementState {
    /// The statement has not ended as far as this gateway knows.
    pub(crate) fn is_open(self) -> bool {
        match self {
            Self::LookingUp
            | Self::Owned
            | Self::Replicated
            | Self::Orphaned
            | Self::TakingOver
            | Self::TakenOver
            | Self::OwnedElsewhere => true,
            Self::Cached | Self::Delivered | Self::Closed | Self::Unknown => false,
        }
    }

    /// This gateway acts for the statement.
    pub(crate) fn is_owner(self) -> bool {
        matches!(self, Self::Owned | Self::Replicated | Self::TakenOver)
    }

    fn can_become(self, to: StatementState) -> bool {
        use StatementState::{
            Cached, Closed, Delivered, LookingUp, Orphaned, Owned, OwnedElsewhere, Replicated,
            TakenOver, TakingOver, Unknown,
        };
        match (self, to) {
            (from, to) if from == to => true,
            (LookingUp, Owned | OwnedElsewhere | Orphaned | Closed | Unknown) => true,
            (Owned, Replicated) => true,
            (
                Owned | Replicated | TakenOver,
                LookingUp | OwnedElsewhere | Orphaned | Cached | Delivered | Closed | Unknown,
            ) => true,
            (Orphaned, TakingOver | OwnedElsewhere | Closed) => true,
            (TakingOver, Owned | TakenOver | OwnedElsewhere | Cached | Closed | Unknown) => true,
            (OwnedElsewhere, LookingUp | Orphaned | Closed) => true,
            (Cached | Unknown, Delivered) => true,
            _ => false,
        }
    }
}

/// Who waits for a statement's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Waiter {
    /// A client of this gateway, by the token that it arrived with.
    Local(u64),
    /// Another gateway that sent a lookup.
    Remote { member: MemberId, request_id: u64 },
}

/// An attempt whose votes are being collected.
pub(crate) struct PendingGrant {
    pub(crate) grant: AttemptGrant,
    pub(crate) requested_at: Nanos,
    pub(crate) granted_by: BTreeSet<MemberId>,
    /// With what the voter knows that forbids the attempt, if it said so.
    pub(crate) refused_by: BTreeMap<MemberId, Option<StatementRecord>>,
}

/// Whom this gateway asks about the statement.
pub(crate) struct LookupProgress {
    /// Voters that are still to be asked, the next one last.
    pub(crate) candidates: Vec<MemberId>,
    /// Who was asked last, or acts for the statement.
    pub(crate) asked: MemberId,
    /// Of the last request, if there was one.
    pub(crate) request_id: Option<u64>,
    /// This gateway can't say how its own attempt ended: where no voter knows more, its clients are told so.
    pub(crate) is_before_abort: bool,
}

/// Collecting votes to act for the statement.
#[derive(Default)]
pub(crate) struct TakeoverProgress {
    /// Voters that let no lower epoch act, with what they know.
    pub(crate) promises: BTreeMap<MemberId, Option<StatementRecord>>,
    /// The statement was rejected here; the client is told once it is sealed that nobody else has dispatched it.
    pub(crate) rejection: Option<PendingRejection>,
}

/// A rejection that must not be answered yet.
#[derive(Clone, Copy)]
pub(crate) struct PendingRejection {
    pub(crate) retry_after_ms: u32,
}

pub(crate) struct Statement {
    state: StatementState,
    /// Under which this gateway acts, or asks to.
    pub(crate) epoch: Epoch,
    pub(crate) spec: StatementSpec,
    pub(crate) deadline: Nanos,
    pub(crate) grants: Vec<AttemptGrant>,
    pub(crate) pending_grant: Option<PendingGrant>,
    /// The client whose statement is on its way to the scheduler here.
    pub(crate) submitter: Option<u64>,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) lookup: LookupProgress,
    pub(crate) takeover: TakeoverProgress,
    /// Lookups or takeovers that were started over.
    pub(crate) tries: u32,
    /// Voters have been notified of it.
    pub(crate) is_known_to_voters: bool,
    /// When its timer fires, if one is set.
    pub(crate) timer: Option<Nanos>,
    /// When no client can ask for it any more.
    pub(crate) expires_at: Nanos,
}

impl Statement {
    /// A statement that is met here for the first time. `epoch` names this process as its owner.
    pub(crate) fn new(
        state: StatementState,
        epoch: Epoch,
        spec: StatementSpec,
        deadline: Nanos,
        expires_at: Nanos,
    ) -> Statement {
        Statement {
            state,
            epoch,
            spec,
            deadline,
            grants: Vec::new(),
            pending_grant: None,
            submitter: None,
            waiters: Vec::new(),
            lookup: LookupProgress {
                candidates: Vec::new(),
                asked: epoch.process.member,
                request_id: None,
                is_before_abort: false,
            },
            takeover: TakeoverProgress::default(),
            tries: 0,
            is_known_to_voters: false,
            timer: None,
            expires_at,
        }
    }

    pub(crate) fn state(&self) -> StatementState {
        self.state
    }

    pub(crate) fn is_open(&self) -> bool {
        self.state.is_open()
    }

    pub(crate) fn is_owner(&self) -> bool {
        self.state.is_owner()
    }

    /// The only function that changes a statement's state. Returns whether the move is allowed; one that is not leaves
    /// the statement as it is.
    pub(crate) fn transition(&mut self, to: StatementState) -> bool {
        let is_allowed = self.state.can_become(to);
        debug_assert!(is_allowed, "{:?} -> {to:?}", self.state);
        if is_allowed {
            self.state = to;
            if !to.is_open() {
                self.pending_grant = None;
                self.spec.request = Vec::new();
            }
        }
        is_allowed
    }

    /// An attempt was granted that may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.grants.iter().any(|grant| !grant.never_ran)
    }

    /// What remains of its client's timeout.
    pub(crate) fn remaining(&self, now: Nanos) -> Nanos {
        self.deadline.saturating_sub(now)
    }

    /// The client that submitted the statement waits from now on like all others.
    pub(crate) fn submitter_waits(&mut self) {
        if let Some(submitter) = self.submitter.take() {
            self.waiters.push(Waiter::Local(submitter));
        }
    }

    /// The statement with its request, for another member.
    pub(crate) fn record(&self, now: Nanos, id: StatementId) -> StatementRecord {
        self.record_with_request(now, id, self.spec.request.clone())
    }

    /// The statement for a member that has its request already.
    pub(crate) fn record_without_request(&self, now: Nanos, id: StatementId) -> StatementRecord {
        self.record_with_request(now, id, Vec::new())
    }

    fn record_with_request(
        &self,
        now: Nanos,
        id: StatementId,
        request: Vec<u8>,
    ) -> StatementRecord {
        let spec = StatementSpec {
            digest: self.spec.digest,
            workload: self.spec.workload,
            tenant: self.spec.tenant,
            is_idempotent: self.spec.is_idempotent,
            remaining_ms: (self.remaining(now) / MILLISECOND) as u32,
            request,
        };
        StatementRecord {
            id,
            epoch: self.epoch,
            spec: Some(spec),
            grants: self.grants.clone(),
            end: None,
        }
    }
}
