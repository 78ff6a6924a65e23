//! Checks a run of processes: compares the events that engines recorded with the answers that clients received. Nothing
//! that a gateway reports about itself counts as evidence.

use std::collections::BTreeMap;

use super::clients::{Outcome, PlannedStatement, StatementHistory};
use super::{EngineEvent, InjectedFault};
use crate::virtual_time::faults::FaultKind;

/// Result of a run.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Verdict {
    pub statements: u64,
    pub loads: u64,
    pub starts: u64,
    /// Repeated starts under the same id.
    pub again: u64,
    /// Bulk loads started more than once under one id.
    pub doubled: u64,
    /// Bulk loads that ran although their clients were told that nothing ran.
    pub refused_and_ran: u64,
    /// Clients that received contradicting results, or rows of another statement.
    pub two_ends: u64,
    /// Second clients of a completed bulk load that received "may have run": correct, though the exact result was known.
    pub unsure: u64,
    /// Attempts without any answer although their gateway was running all the time.
    pub silent: u64,
    pub served: u64,
    /// Statements that were not served, by the outcome of their last attempt.
    pub unserved: BTreeMap<String, u64>,
    /// Statements that were running at an engine when their gateway was lost and whose client tried again.
    pub caught: u64,
    /// Those of `caught` that completed without another start.
    pub carried: u64,
    /// Milliseconds from the loss of a gateway to the first poll of the engine by another one: median and 99th percentile.
    pub first_ask_p50: u64,
    pub first_ask_p99: u64,
    pub crashes: Vec<String>,
    pub p50_ms: u64,
    pub p99_ms: u64,
    /// Violations, one line each.
    pub broken: Vec<String>,
}

impl Verdict {
    /// Whether no guarantee was violated.
    pub fn holds(&self) -> bool {
        self.doubled + self.refused_and_ran + self.two_ends + self.silent == 0
            && self.crashes.is_empty()
    }

    /// Fraction of the statements that were served.
    pub fn service(&self) -> f64 {
        self.served as f64 / self.statements.max(1) as f64
    }
}

/// Maximum number of reported violations.
const MAX_VIOLATION_LINES: usize = 20;
/// Microseconds after the statement timeout within which a gateway has to answer.
const ANSWER_TOLERANCE_US: u64 = 400_000;

/// Compares the statements and their histories with the engines' events and the injected faults.
pub fn judge(
    statements: &[PlannedStatement],
    histories: &[StatementHistory],
    engine_events: &[EngineEvent],
    injected_faults: &[InjectedFault],
    crashes: &[String],
) -> Verdict {
    let mut verdict = Verdict {
        statements: statements.len() as u64,
        crashes: crashes.to_vec(),
        ..Verdict::default()
    };
    let mut by_id: BTreeMap<&str, Vec<&EngineEvent>> = BTreeMap::new();
    for event in engine_events.iter().filter(|event| event.kind != "ready") {
        by_id.entry(event.id.as_str()).or_default().push(event);
    }
    let down_intervals = down_intervals(injected_faults);
    let was_down = |index: usize, from: u64, to: u64| {
        down_intervals
            .iter()
            .any(|&(gateway, begins, ends)| gateway == index && begins <= to && from <= ends)
    };
    let losses = losses(injected_faults);
    let mut poll_delays_ms = Vec::new();
    let mut service_times_ms = Vec::new();
    for (statement, history) in statements.iter().zip(histories) {
        let mut report_violation = |violation: &str, id: u64| {
            if verdict.broken.len() < MAX_VIOLATION_LINES {
                verdict.broken.push(format!(
                    "{violation}: {id:016x} {:?} {:?}",
                    history.attempts, history.second_client
                ));
            }
        };
        verdict.loads += u64::from(statement.is_bulk_load);
        let mut ids: Vec<u64> = history.attempts.iter().map(|attempt| attempt.req).collect();
        ids.dedup();
        for req in ids {
            let text = format!("{req:016x}");
            let events = by_id.get(text.as_str()).map_or(&[][..], Vec::as_slice);
            let starts = events.iter().filter(|event| event.kind == "start").count() as u64;
            verdict.starts += starts;
            // The second client of an idempotent statement may cause another run once the first has its result.
            let completed_at = history
                .attempts
                .last()
                .filter(|_| history.served_after_us.is_some())
                .map_or(u64::MAX, |attempt| attempt.ended_us);
            let before_first_result =
                |event: &&&EngineEvent| event.kind == "start" && event.at_us <= completed_at;
            verdict.again +=
                (events.iter().filter(before_first_result).count() as u64).saturating_sub(1);
            if statement.is_bulk_load && starts > 1 {
                verdict.doubled += 1;
                report_violation("started twice", req);
            }
            let attempts = || history.attempts.iter().filter(|attempt| attempt.req == req);
            let is_rejected = attempts().any(|attempt| attempt.outcome == Outcome::Refused);
            if statement.is_bulk_load && is_rejected && starts > 0 {
                verdict.refused_and_ran += 1;
                report_violation("rejected and ran", req);
            }
            let second = history
                .second_client
                .iter()
                .filter(|attempt| attempt.req == req);
            let is_completed = |attempt: &&super::clients::Attempt| {
                matches!(attempt.outcome, Outcome::Rows(_) | Outcome::Completed)
            };
            let is_rejection = |attempt: &super::clients::Attempt| {
                attempt.outcome == Outcome::Refused && statement.is_bulk_load
            };
            let is_unknown = |attempt: &super::clients::Attempt| {
                attempt.outcome == Outcome::Unknown && statement.is_bulk_load
            };
            verdict.unsure += u64::from(second.clone().any(is_unknown));
            let has_wrong_rows = |attempt: &super::clients::Attempt| matches!(&attempt.outcome, Outcome::Rows(row) if *row != text);
            let has_completed_and_rejected = attempts().any(|attempt| is_completed(&attempt))
                && second.clone().any(is_rejection);
            if has_completed_and_rejected || attempts().chain(second).any(has_wrong_rows) {
                verdict.two_ends += 1;
                report_violation("contradicting results, or another statement's rows", req);
            }
            // Running at an engine when the gateway that had started it, or polled last, was lost.
            for &(gateway, lost_at) in &losses {
                let is_running = |event: &&&EngineEvent| {
                    event.at_us < lost_at && matches!(event.kind.as_str(), "start" | "ask")
                };
                let Some(last) = events
                    .iter()
                    .rfind(is_running)
                    .filter(|event| event.gateway == gateway)
                else {
                    continue;
                };
                let has_ended = |event: &&EngineEvent| {
                    event.at_us < lost_at
                        && matches!(event.kind.as_str(), "end" | "fail" | "drop" | "stop")
                };
                let has_retried = attempts().any(|attempt| attempt.started_us > lost_at);
                if events.iter().any(has_ended) || last.at_us > lost_at || !has_retried {
                    continue;
                }
                verdict.caught += 1;
                let again = events
                    .iter()
                    .filter(before_first_result)
                    .filter(|event| event.at_us >= lost_at)
                    .count();
                verdict.carried += u64::from(again == 0 && history.served_after_us.is_some());
                let poll = events
                    .iter()
                    .find(|event| event.kind == "ask" && event.at_us >= lost_at);
                poll_delays_ms.extend(poll.map(|event| (event.at_us - lost_at) / 1000));
            }
        }
        for attempt in history
            .attempts
            .iter()
            .filter(|attempt| attempt.outcome == Outcome::Silence)
        {
            let deadline = history
                .attempts
                .first()
                .map_or(0, |attempt| attempt.started_us)
                + statement.timeout_ms * 1000;
            if attempt.ended_us > deadline + ANSWER_TOLERANCE_US
                && !was_down(attempt.gateway, attempt.started_us, attempt.ended_us)
            {
                verdict.silent += 1;
                report_violation("no answer from a running gateway", attempt.req);
            }
        }
        match history.served_after_us {
            Some(time) => {
                verdict.served += 1;
                service_times_ms.push(time / 1000);
            }
            None => {
                let last = history
                    .attempts
                    .last()
                    .map_or("never asked".to_owned(), |attempt| {
                        format!("{:?}", attempt.outcome)
                    });
                *verdict.unserved.entry(last).or_default() += 1;
            }
        }
    }
    poll_delays_ms.sort_unstable();
    service_times_ms.sort_unstable();
    let percentile = |all: &[u64], fraction: f64| {
        let last = all.len().saturating_sub(1);
        all.get((last as f64 * fraction).round() as usize)
            .copied()
            .unwrap_or(0)
    };
    (verdict.first_ask_p50, verdict.first_ask_p99) = (
        percentile(&poll_delays_ms, 0.5),
        percentile(&poll_delays_ms, 0.99),
    );
    (verdict.p50_ms, verdict.p99_ms) = (
        percentile(&service_times_ms, 0.5),
        percentile(&service_times_ms, 0.99),
    );
    verdict
}

/// Gateways that were killed, or stopped long enough to be declared lost, with the time of the fault.
fn losses(injected_faults: &[InjectedFault]) -> Vec<(usize, u64)> {
    let loss_of = |injected: &InjectedFault| match injected.fault.kind {
        FaultKind::Kill { gateway, .. } => Some((gateway, injected.at_us)),
        FaultKind::Suspend {
            gateway,
            duration_ms,
        } if duration_ms >= 2000 => Some((gateway, injected.at_us)),
        _ => None,
    };
    injected_faults.iter().filter_map(loss_of).collect()
}

/// Intervals in which a gateway was killed, stopped or restarting, with 1.5 s for its return.
fn down_intervals(injected_faults: &[InjectedFault]) -> Vec<(usize, u64, u64)> {
    let mut down_intervals = Vec::new();
    for injected in injected_faults {
        let until = injected.at_us + (injected.fault.duration_ms().unwrap_or(0) + 1500) * 1000;
        let gateways: Vec<usize> = match injected.fault.kind {
            FaultKind::Kill { gateway, .. }
            | FaultKind::Suspend { gateway, .. }
            | FaultKind::ShutDown { gateway, .. } => {
                vec![gateway]
            }
            _ => Vec::new(),
        };
        down_intervals.extend(
            gateways
                .into_iter()
                .map(|gateway| (gateway, injected.at_us, until)),
        );
    }
    down_intervals
}
