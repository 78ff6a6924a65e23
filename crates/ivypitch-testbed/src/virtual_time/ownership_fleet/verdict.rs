//! The result of a run, as counted by engines and clients.

use ivypitch_ownership::Ownership;
use ivypitch_types::MILLISECOND;

use super::clients::{ClientAnswer, SubmittedStatement};
use super::simulation::Simulation;

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Number of submitted statements.
    pub statements: u64,
    /// Number of submitted bulk loads.
    pub loads: u64,
    /// Number of bulk loads that were dispatched more than once.
    pub dispatched_twice: u64,
    /// Number of bulk loads that ran although their clients received a rejection, which promises
    /// that nothing ran.
    pub rejected_but_ran: u64,
    /// Number of bulk loads whose clients received contradicting answers.
    pub contradicting_answers: u64,
    /// Number of clients that never received an answer.
    pub unanswered: u64,
    /// Number of statements that completed according to their clients.
    pub served: u64,
    /// Number of statements that were rejected at least once.
    pub rejected: u64,
    /// Number of statements that were aborted at least once.
    pub aborted: u64,
    /// Number of statements that ran at an engine when their gateway was lost and whose client
    /// retried.
    pub in_flight_at_loss: u64,
    /// Number of these statements that completed without running again.
    pub completed_after_loss: u64,
    /// 99th percentile of the time in milliseconds from the loss of a gateway to the first poll of
    /// the statement by another gateway.
    pub first_poll_p99_ms: u64,
    /// Number of statements that were taken over with an attempt to poll.
    pub polled: u64,
    /// Number of messages between gateways.
    pub messages: u64,
    /// Bytes of these messages, if they are counted.
    pub bytes: u64,
    /// Maximum number of entries in the vote log of a gateway.
    pub max_vote_log_entries: usize,
    /// Number of faults of the plan.
    pub faults: u64,
}

impl Verdict {
    /// Whether all guarantees held that must hold under every fault plan.
    pub fn holds(&self) -> bool {
        self.dispatched_twice == 0
            && self.rejected_but_ran == 0
            && self.contradicting_answers == 0
            && self.unanswered == 0
    }
}

impl Simulation<'_> {
    /// Returns the measurements.
    pub(super) fn into_verdict(mut self) -> Verdict {
        let running = self
            .gateways
            .iter()
            .filter_map(|gateway| gateway.ownership.as_ref())
            .map(Ownership::counters);
        self.counters.extend(running);
        let mut verdict = Verdict {
            statements: self.statements.len() as u64,
            messages: self.messages,
            bytes: self.bytes,
            max_vote_log_entries: self.max_vote_log_entries,
            faults: self.plan.faults.len() as u64,
            polled: self.counters.iter().map(|counters| counters.polled).sum(),
            ..Verdict::default()
        };
        for statement in &self.statements {
            self.count_statement(&mut verdict, statement);
        }
        self.first_polls_ms.sort_unstable();
        let index = self.first_polls_ms.len().saturating_sub(1) * 99 / 100;
        verdict.first_poll_p99_ms = self.first_polls_ms.get(index).copied().unwrap_or(0);
        verdict
    }

    fn count_statement(&self, verdict: &mut Verdict, statement: &SubmittedStatement) {
        let id = statement.id;
        let is_load = !statement.spec.is_idempotent;
        let has_answer = |answer: ClientAnswer| statement.answers.contains(&answer);
        let is_served = has_answer(ClientAnswer::Rows) || has_answer(ClientAnswer::Completed);
        verdict.loads += u64::from(is_load);
        if is_load && statement.starts > 1 {
            self.trace(|| format!("load {id:x} started {} times", statement.starts));
            verdict.dispatched_twice += 1;
        }
        if is_load && has_answer(ClientAnswer::Rejected) && statement.starts > 0 {
            self.trace(|| format!("load {id:x} rejected and started"));
            verdict.rejected_but_ran += 1;
        }
        if is_load
            && is_served
            && (has_answer(ClientAnswer::Rejected) || has_answer(ClientAnswer::Aborted))
        {
            verdict.contradicting_answers += 1;
        }
        verdict.unanswered += u64::from(!statement.is_over);
        verdict.served += u64::from(is_served);
        verdict.rejected += u64::from(has_answer(ClientAnswer::Rejected));
        verdict.aborted += u64::from(has_answer(ClientAnswer::Aborted));
        let Some(starts_at_loss) = statement.starts_at_loss.filter(|_| statement.has_retried)
        else {
            return;
        };
        verdict.in_flight_at_loss += 1;
        if is_served && statement.starts == starts_at_loss {
            verdict.completed_after_loss += 1;
            return;
        }
        self.trace(|| {
            format!(
                "not completed after a loss: {id:x}, load {is_load}, work {}, answers {:?}, starts {} after {starts_at_loss}",
                statement.work / MILLISECOND,
                statement.answers,
                statement.starts
            )
        });
    }
}
