//! What a takeover finds, and what follows from it.
//!
//! Quorums intersect, so the promises of one contain every grant that any quorum gave before. A statement with such a
//! grant is polled for at its engine and never dispatched again.

use std::collections::BTreeMap;

use ivypitch_types::{MILLISECOND, Nanos, ProcessId, SECOND};

use crate::message::{
    AttemptGrant, Epoch, FinalAnswer, StatementEnd, StatementId, StatementRecord, StatementSpec,
};
use crate::output::Output;
use crate::ownership::Ownership;
use crate::statement::{PendingRejection, Statement, StatementState};

/// A statement that was taken over is polled for at least this long.
const MIN_POLL_TIME: Nanos = SECOND;

/// What a takeover found.
struct TakenOver {
    end: Option<StatementEnd>,
    /// The last attempt that may have run.
    dispatched: Option<AttemptGrant>,
    rejection: Option<PendingRejection>,
    spec: StatementSpec,
    remaining: Nanos,
    has_waiters: bool,
}

impl Ownership {
    /// A quorum lets this gateway act.
    pub(crate) fn complete_takeover(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let max_statement_timeout = self.config.max_statement_timeout;
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        let found = merge_promises(now, statement, max_statement_timeout);
        match found.end {
            Some(StatementEnd::Completed { rows_at }) => {
                self.take_over_completed(now, id, &found, rows_at, out);
            }
            Some(StatementEnd::Aborted) if !found.spec.is_idempotent => {
                self.answer_waiters(id, &FinalAnswer::Aborted, out);
                self.statements.transition(id, StatementState::Unknown);
            }
            None if found.dispatched.is_some() && found.is_wanted() => {
                self.poll_engine(id, &found, out);
            }
            _ => self.take_over_undispatched(now, id, &found, out),
        }
    }

    /// The statement is over. Its rows may be at a connected process, or still at its engine.
    fn take_over_completed(
        &mut self,
        now: Nanos,
        id: StatementId,
        found: &TakenOver,
        rows_at: ProcessId,
        out: &mut dyn Output,
    ) {
        if self.members.is_process_connected(rows_at) {
            if found.has_waiters && rows_at.member != self.this_member() {
                self.follow(now, id, rows_at.member, out);
            } else {
                self.statements.transition(id, StatementState::Closed);
            }
        } else if found.dispatched.is_some() && found.is_wanted() {
            self.poll_engine(id, found, out);
        } else {
            self.answer_waiters(id, &FinalAnswer::CompletedWithoutRows, out);
            self.statements.transition(id, StatementState::Cached);
        }
    }

    /// An attempt may be running, or has just ended: its engine is polled for it and nothing is started.
    fn poll_engine(&mut self, id: StatementId, found: &TakenOver, out: &mut dyn Output) {
        self.counters.polled += 1;
        self.statements.transition(id, StatementState::TakenOver);
        self.set_known_to_voters(id);
        let remaining = found.remaining.max(MIN_POLL_TIME);
        let engine = found.dispatched.map(|grant| grant.engine);
        out.take_over(id, &found.spec, remaining, engine);
    }

    /// No attempt is to be polled for. None was granted that may have run, and none can be any more, or the statement is
    /// idempotent.
    fn take_over_undispatched(
        &mut self,
        now: Nanos,
        id: StatementId,
        found: &TakenOver,
        out: &mut dyn Output,
    ) {
        if !found.is_wanted() {
            self.statements.transition(id, StatementState::Closed);
        } else if let Some(PendingRejection { retry_after_ms }) = found.rejection {
            let answer = FinalAnswer::Rejected { retry_after_ms };
            self.answer_waiters(id, &answer, out);
            self.queue_update(now, id, Some(StatementEnd::Rejected));
            self.set_known_to_voters(id);
            self.statements.transition(id, StatementState::Closed);
        } else if found.spec.is_idempotent || found.has_waiters {
            self.statements.transition(id, StatementState::Owned);
            out.take_over(id, &found.spec, found.remaining, None);
        } else {
            // A non-idempotent statement starts only once its client has come back: that one may have been told that
            // nothing ran, and then comes under another id.
            self.statements.transition(id, StatementState::Closed);
        }
    }

    fn set_known_to_voters(&mut self, id: StatementId) {
        if let Some(statement) = self.statements.get_mut(id) {
            statement.is_known_to_voters = true;
        }
    }
}

impl TakenOver {
    /// Somebody waits for the statement, or its client may still come back in time.
    fn is_wanted(&self) -> bool {
        self.remaining > 0 || self.has_waiters
    }
}

/// Learns from the promises of a quorum: every grant that any quorum gave is among them.
fn merge_promises(
    now: Nanos,
    statement: &mut Statement,
    max_statement_timeout: Nanos,
) -> TakenOver {
    let promises = std::mem::take(&mut statement.takeover.promises);
    let records: Vec<StatementRecord> = promises.into_values().flatten().collect();
    statement.grants = merge_grants(&records, &statement.grants);
    let has_waiters = !statement.waiters.is_empty();
    let mut end = None;
    for record in records {
        end = stronger_end(end, record.end);
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
    TakenOver {
        end,
        dispatched: statement
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

/// All grants, by epoch and attempt. One that any voter knows never to have run did not.
fn merge_grants(records: &[StatementRecord], own: &[AttemptGrant]) -> Vec<AttemptGrant> {
    let mut grants: BTreeMap<(Epoch, u32), AttemptGrant> = BTreeMap::new();
    let of_voters = records.iter().flat_map(|record| &record.grants);
    for grant in of_voters.chain(own) {
        let known = grants.entry((grant.epoch, grant.attempt)).or_insert(*grant);
        known.never_ran |= grant.never_ran;
    }
    grants.into_values().collect()
}

/// That a statement completed is a fact; of other ends the later one counts.
fn stronger_end(
    known: Option<StatementEnd>,
    reported: Option<StatementEnd>,
) -> Option<StatementEnd> {
    match (known, reported) {
        (Some(StatementEnd::Completed { .. }), _) | (_, None) => known,
        (_, reported) => reported,
    }
}
