//! What engines and clients counted.

use ivypitch_ownership::Ownership;
use ivypitch_types::MILLISECOND;

use super::clients::{ClientAnswer, SubmittedStatement};
use super::simulation::Simulation;

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Statements submitted.
    pub statements: u64,
    /// Of these, loads.
    pub loads: u64,
    /// Loads dispatched more than once.
    pub dispatched_twice: u64,
    /// Loads whose clients were told that nothing had run, though it had.
    pub rejected_but_ran: u64,
    /// Loads whose clients were told two ends that can't both be.
    pub contradicting_answers: u64,
    /// Clients that never got an answer.
    pub unanswered: u64,
    /// Statements that completed, as far as their clients know.
    pub served: u64,
    /// Statements that were rejected at least once.
    pub rejected: u64,
    /// Statements that were aborted at least once.
    pub aborted: u64,
    /// Statements that ran at an engine when their gateway was lost, and whose client came back.
    pub in_flight_at_loss: u64,
    /// Of these, statements that completed without running again.
    pub completed_after_loss: u64,
    /// Milliseconds from a loss to the first poll of the engine by another gateway: the longest of
    /// 99 in 100.
    pub first_poll_p99_ms: u64,
    /// Statements that were taken over with an attempt.
    pub polled: u64,
    /// Messages between gateways.
    pub messages: u64,
    /// Their bytes, where they are counted.
    pub bytes: u64,
    /// Statements that one gateway remembered as a voter, at most.
    pub max_vote_log_entries: usize,
    /// Faults of the plan.
    pub faults: u64,
}

impl Verdict {
    /// The promises that hold whatever happens.
    pub fn holds(&self) -> bool {
        self.dispatched_twice == 0
            && self.rejected_but_ran == 0
            && self.contradicting_answers == 0
            && self.unanswered == 0
    }
}

impl Simulation<'_> {
    pub(super) fn verdict(mut self) -> Verdict {
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
        let position = self.first_polls_ms.len().saturating_sub(1) * 99 / 100;
        verdict.first_poll_p99_ms = self.first_polls_ms.get(position).copied().unwrap_or(0);
        verdict
    }

    fn count_statement(&self, verdict: &mut Verdict, statement: &SubmittedStatement) {
        let id = statement.id;
        let is_load = !statement.spec.is_idempotent;
        let got = |answer: ClientAnswer| statement.answers.contains(&answer);
        let is_served = got(ClientAnswer::Rows) || got(ClientAnswer::Completed);
        verdict.loads += u64::from(is_load);
        if is_load && statement.starts > 1 {
            self.trace(|| format!("load {id:x} started {} times", statement.starts));
            verdict.dispatched_twice += 1;
        }
        if is_load && got(ClientAnswer::Rejected) && statement.starts > 0 {
            self.trace(|| format!("load {id:x} rejected and started"));
            verdict.rejected_but_ran += 1;
        }
        if is_load && is_served && (got(ClientAnswer::Rejected) || got(ClientAnswer::Aborted)) {
            verdict.contradicting_answers += 1;
        }
        verdict.unanswered += u64::from(!statement.is_over);
        verdict.served += u64::from(is_served);
        verdict.rejected += u64::from(got(ClientAnswer::Rejected));
        verdict.aborted += u64::from(got(ClientAnswer::Aborted));
        let Some(starts_at_loss) = statement.starts_at_loss.filter(|_| statement.has_returned)
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
