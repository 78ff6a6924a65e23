//! One statement: its state, the permitted state transitions, and the data known here.

use std::collections::{BTreeMap, BTreeSet};

use ivypitch_types::{MILLISECOND, MemberId, Nanos};

use crate::message::{AttemptGrant, Epoch, StatementId, StatementRecord, StatementSpec};

/// State of a statement at this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StatementState {
    /// A client arrived; voters are asked whether the statement is known.
    LookingUp,
    /// This gateway owns it; no quorum has granted an attempt in its epoch.
    Owned,
    /// This gateway owns it, and a quorum has recorded the grant of an attempt.
    Replicated,
    /// Its owner was lost or shut down; this gateway may take it over.
    Orphaned,
    /// This gateway requests votes to own it.
    TakingOver,
    /// Taken over: this gateway owns an attempt that another one dispatched.
    TakenOver,
    /// Another gateway owns it; clients here wait for the owner's answer.
    OwnedElsewhere,
    /// Its end is known here; its rows may be cached.
    Cached,
    /// A client that returned has received the answer.
    Delivered,
    /// It has ended or another gateway owns it; no answer is kept here.
    Closed,
    /// An attempt may have run; its outcome is unknown.
    Unknown,
}

impl StatementState {
    /// Whether the statement has not ended as far as this gateway knows.
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

    /// Whether this gateway owns the statement.
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

/// A client or gateway that waits for a statement's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Waiter {
    /// A client of this gateway, by the token from its arrival.
    Local(u64),
    /// Another gateway that sent a lookup.
    Remote { member: MemberId, request_id: u64 },
}

/// An attempt whose votes are being collected.
pub(crate) struct PendingGrant {
    pub(crate) grant: AttemptGrant,
    pub(crate) requested_at: Nanos,
    pub(crate) granted_by: BTreeSet<MemberId>,
    /// With the voter's record that forbids the attempt, if it sent one.
    pub(crate) denied_by: BTreeMap<MemberId, Option<StatementRecord>>,
}

/// Progress of asking other members about the statement.
pub(crate) struct LookupProgress {
    /// Voters still to be asked, in reverse order.
    pub(crate) candidates: Vec<MemberId>,
    /// The member that was asked last, or the owner.
    pub(crate) asked_member: MemberId,
    /// Id of the last request, if there was one.
    pub(crate) request_id: Option<u64>,
    /// The lookup precedes an abort: this gateway does not know how its own attempt ended, and its
    /// clients are told that the outcome is unknown if no voter knows it.
    pub(crate) is_before_abort: bool,
}

/// Votes collected to own the statement.
#[derive(Default)]
pub(crate) struct TakeoverProgress {
    /// Voters that grant nothing to lower epochs any more, with their records.
    pub(crate) promises: BTreeMap<MemberId, Option<StatementRecord>>,
    /// The rejection of the statement here; the client gets it once a quorum rules out a dispatch
    /// by any other gateway.
    pub(crate) rejection: Option<PendingRejection>,
}

/// A rejection that must not be answered yet.
#[derive(Clone, Copy)]
pub(crate) struct PendingRejection {
    pub(crate) retry_after_ms: u32,
}

pub(crate) struct Statement {
    state: StatementState,
    /// The epoch in which this gateway owns the statement, or requests to.
    pub(crate) epoch: Epoch,
    pub(crate) spec: StatementSpec,
    pub(crate) deadline: Nanos,
    pub(crate) grants: Vec<AttemptGrant>,
    pub(crate) pending_grant: Option<PendingGrant>,
    /// Token of the client whose statement goes to this gateway's scheduler.
    pub(crate) submitter: Option<u64>,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) lookup: LookupProgress,
    pub(crate) takeover: TakeoverProgress,
    /// Takeover rounds, or repeated lookup rounds; determines the backoff.
    pub(crate) rounds: u32,
    /// Whether voters have been notified of the statement.
    pub(crate) is_known_to_voters: bool,
    /// When its timer fires, if one is set.
    pub(crate) timer: Option<Nanos>,
    /// When no client can ask for it any more.
    pub(crate) expires_at: Nanos,
}

impl Statement {
    /// Creates a statement that is new to this gateway. `epoch` names this process as its owner.
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
                asked_member: epoch.process.member,
                request_id: None,
                is_before_abort: false,
            },
            takeover: TakeoverProgress::default(),
            rounds: 0,
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

    /// The only function that changes a statement's state. Returns whether the transition is
    /// permitted; if not, the statement is unchanged.
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

    /// Whether a granted attempt may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.grants.iter().any(|grant| !grant.never_ran)
    }

    /// Ends the vote on an attempt that has not started and will not: a voter that granted it must
    /// not take it for one that may have run.
    pub(crate) fn withdraw_pending_grant(&mut self) {
        if let Some(pending) = self.pending_grant.take() {
            self.grants.push(AttemptGrant {
                never_ran: true,
                ..pending.grant
            });
        }
    }

    /// Remaining time of the client's timeout.
    pub(crate) fn remaining(&self, now: Nanos) -> Nanos {
        self.deadline.saturating_sub(now)
    }

    /// Moves the client that submitted the statement to the waiting clients.
    pub(crate) fn move_submitter_to_waiters(&mut self) {
        if let Some(submitter) = self.submitter.take() {
            self.waiters.push(Waiter::Local(submitter));
        }
    }

    /// The statement's record with its request, for another member.
    pub(crate) fn record(&self, now: Nanos, id: StatementId) -> StatementRecord {
        self.record_with_request(now, id, self.spec.request.clone())
    }

    /// The statement's record for a member that already has the request.
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
