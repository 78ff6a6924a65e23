//! The findings of a takeover and their consequences.
//!
//! Quorums intersect, so the promises of one quorum contain every grant of any earlier quorum. A
//! statement with such a grant is polled at its engine and never dispatched again.

use std::collections::BTreeMap;

use ivypitch_types::{MILLISECOND, Nanos, ProcessId, SECOND};

use crate::message::{
    AttemptGrant, Epoch, FinalAnswer, StatementEnd, StatementId, StatementRecord, StatementSpec,
};
use crate::output::Output;
use crate::ownership::Ownership;
use crate::statement::{PendingRejection, Statement, StatementState};

/// Minimum time for which a taken-over statement is polled.
const MIN_POLL_TIME: Nanos = SECOND;

/// Findings of a takeover.
struct TakeoverFindings {
    end: Option<StatementEnd>,
    /// The last attempt that may have run.
    last_dispatched: Option<AttemptGrant>,
    rejection: Option<PendingRejection>,
    spec: StatementSpec,
    remaining: Nanos,
    has_waiters: bool,
}

impl Ownership {
    /// Acts on a takeover that a quorum has promised.
    pub(crate) fn complete_takeover(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let max_statement_timeout = self.config.max_statement_timeout;
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        let findings = merge_promises(now, statement, max_statement_timeout);
        match findings.end {
            Some(StatementEnd::Completed { cached_at }) => {
                self.take_over_completed(now, id, &findings, cached_at, out);
            }
            Some(StatementEnd::Aborted) if !findings.spec.is_idempotent => {
                self.answer_waiters(id, &FinalAnswer::Aborted, out);
                self.statements.transition(id, StatementState::Unknown);
            }
            None if findings.last_dispatched.is_some() && findings.has_interested_client() => {
                self.poll_engine(id, &findings, out);
            }
            _ => self.take_over_undispatched(now, id, &findings, out),
        }
    }

    /// Handles a statement that completed. Its rows may be at a connected process, or still at its
    /// engine.
    fn take_over_completed(
        &mut self,
        now: Nanos,
        id: StatementId,
        findings: &TakeoverFindings,
        cached_at: ProcessId,
        out: &mut dyn Output,
    ) {
        if self.members.is_process_connected(cached_at) {
            if findings.has_waiters && cached_at.member != self.own_member() {
                self.follow(now, id, cached_at.member, out);
            } else {
                self.statements.transition(id, StatementState::Closed);
            }
        } else if findings.last_dispatched.is_some() && findings.has_interested_client() {
            self.poll_engine(id, findings, out);
        } else {
            self.answer_waiters(id, &FinalAnswer::CompletedWithoutRows, out);
            self.statements.transition(id, StatementState::Cached);
        }
    }

    /// Polls the engine of an attempt that may be running or has just ended; starts no attempt.
    fn poll_engine(&mut self, id: StatementId, findings: &TakeoverFindings, out: &mut dyn Output) {
        self.counters.polled += 1;
        self.statements.transition(id, StatementState::TakenOver);
        self.mark_known_to_voters(id);
        let remaining = findings.remaining.max(MIN_POLL_TIME);
        let engine_hash = findings.last_dispatched.map(|grant| grant.engine_hash);
        out.take_over(id, &findings.spec, remaining, engine_hash);
    }

    /// Handles a statement without an attempt to poll: no attempt that may have run was granted and
    /// no lower epoch can get a grant any more, or the statement is idempotent.
    fn take_over_undispatched(
        &mut self,
        now: Nanos,
        id: StatementId,
        findings: &TakeoverFindings,
        out: &mut dyn Output,
    ) {
        if !findings.has_interested_client() {
            self.statements.transition(id, StatementState::Closed);
        } else if let Some(PendingRejection { retry_after_ms }) = findings.rejection {
            let answer = FinalAnswer::Rejected { retry_after_ms };
            self.answer_waiters(id, &answer, out);
            self.queue_update(now, id, Some(StatementEnd::Rejected));
            self.mark_known_to_voters(id);
            self.statements.transition(id, StatementState::Closed);
        } else if findings.spec.is_idempotent || findings.has_waiters {
            self.statements.transition(id, StatementState::Owned);
            out.take_over(id, &findings.spec, findings.remaining, None);
        } else {
            // A non-idempotent statement starts only once its client has returned: the client may
            // have been told that nothing ran, and then sends the statement under another id.
            self.statements.transition(id, StatementState::Closed);
        }
    }

    fn mark_known_to_voters(&mut self, id: StatementId) {
        if let Some(statement) = self.statements.get_mut(id) {
            statement.is_known_to_voters = true;
        }
    }
}

impl TakeoverFindings {
    /// Whether a client or gateway waits for the statement, or its client may still return in time.
    fn has_interested_client(&self) -> bool {
        self.remaining > 0 || self.has_waiters
    }
}

/// Merges the promises of a quorum, which contain every grant that any quorum gave.
fn merge_promises(
    now: Nanos,
    statement: &mut Statement,
    max_statement_timeout: Nanos,
) -> TakeoverFindings {
    let promises = std::mem::take(&mut statement.takeover.promises);
    let records: Vec<StatementRecord> = promises.into_values().flatten().collect();
    statement.grants = merge_grants(&records, &statement.grants);
    let has_waiters = !statement.waiters.is_empty();
    let mut end = None;
    for record in records {
        end = merge_ends(end, record.end);
        let Some(spec) = record.spec else {
            continue;
        };
        if statement.spec.request.is_empty() {
            statement.spec.request = spec.request;
        }
        if !has_waiters {
            let remaining = u64::from(spec.remaining_ms) * MILLISECOND;
            let deadline = now + remaining.min(max_statement_timeout);
            statement.deadline = statement.deadline.max(deadline);
        }
    }
    TakeoverFindings {
        end,
        last_dispatched: statement
            .grants
            .iter()
            .rev()
            .find(|grant| !grant.never_ran)
            .copied(),
        rejection: statement.takeover.rejection.take(),
        spec: statement.spec.clone(),
        remaining: statement.remaining(now),
        has_waiters,
    }
}

/// Merges all grants by epoch and attempt. An attempt did not run if any voter knows that it never
/// ran.
fn merge_grants(records: &[StatementRecord], own: &[AttemptGrant]) -> Vec<AttemptGrant> {
    let mut grants: BTreeMap<(Epoch, u32), AttemptGrant> = BTreeMap::new();
    let voter_grants = records.iter().flat_map(|record| &record.grants);
    for grant in voter_grants.chain(own) {
        let known = grants.entry((grant.epoch, grant.attempt)).or_insert(*grant);
        known.never_ran |= grant.never_ran;
    }
    grants.into_values().collect()
}

/// Merges two ends. Completion is a fact and overrides all other ends; of two other ends,
/// `reported` counts.
fn merge_ends(known: Option<StatementEnd>, reported: Option<StatementEnd>) -> Option<StatementEnd> {
    match (known, reported) {
        (Some(StatementEnd::Completed { .. }), _) | (_, None) => known,
        (_, reported) => reported,
    }
}
