//! The verdict on a run of processes: what engines counted laid beside what clients heard. No promise is taken from a
//! gateway's own word.

use std::collections::BTreeMap;

use super::clients::{Outcome, PlannedStatement, StatementHistory};
use super::{EngineEvent, InjectedFault};
use crate::virtual_time::faults::FaultKind;

/// What a run came to.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Verdict {
    pub statements: u64,
    pub loads: u64,
    pub starts: u64,
    /// Starts of statements that had run before under the same id.
    pub again: u64,
    /// Loads started more than once under one id.
    pub doubled: u64,
    /// Loads whose clients heard that nothing ran, though it did.
    pub refused_and_ran: u64,
    /// Clients that heard two ends that can't both be, or rows of another statement.
    pub two_ends: u64,
    /// Second clients of a load that had completed that heard "may have run": true, and less than they might have.
    pub unsure: u64,
    /// A gateway that was there all the time left its client without a word.
    pub silent: u64,
    pub served: u64,
    /// Not served, by the last word heard.
    pub unserved: BTreeMap<String, u64>,
    /// Statements that ran at an engine as their gateway was lost and whose client came back: all, and those that
    /// completed without running again.
    pub caught: u64,
    pub carried: u64,
    /// Milliseconds from a loss to the first question to the engine by another gateway.
    pub first_ask_p50: u64,
    pub first_ask_p99: u64,
    pub crashes: Vec<String>,
    pub p50_ms: u64,
    pub p99_ms: u64,
    /// What broke a promise, one line each.
    pub broken: Vec<String>,
}

impl Verdict {
    pub fn holds(&self) -> bool {
        self.doubled + self.refused_and_ran + self.two_ends + self.silent == 0
            && self.crashes.is_empty()
    }

    pub fn service(&self) -> f64 {
        self.served as f64 / self.statements.max(1) as f64
    }
}

const MOST_LINES: usize = 20;
/// A gateway's word comes no later than so long after its client's time.
const SLACK: u64 = 400_000;

/// `longest`: microseconds that a loss may still be told of after it happened.
pub fn judge(
    asks: &[PlannedStatement],
    stories: &[StatementHistory],
    said: &[EngineEvent],
    done: &[InjectedFault],
    crashes: &[String],
) -> Verdict {
    let mut verdict = Verdict {
        statements: asks.len() as u64,
        crashes: crashes.to_vec(),
        ..Verdict::default()
    };
    let mut by_id: BTreeMap<&str, Vec<&EngineEvent>> = BTreeMap::new();
    for line in said.iter().filter(|line| line.kind != "ready") {
        by_id.entry(line.id.as_str()).or_default().push(line);
    }
    let away = away(done);
    let was_away = |g: usize, from: u64, to: u64| {
        away.iter()
            .any(|&(gateway, begins, ends)| gateway == g && begins <= to && from <= ends)
    };
    let losses = losses(done);
    let mut asked_after = Vec::new();
    let mut times = Vec::new();
    for (ask, story) in asks.iter().zip(stories) {
        let mut broken = |what: &str, id: u64| {
            if verdict.broken.len() < MOST_LINES {
                verdict.broken.push(format!(
                    "{what}: {id:016x} {:?} {:?}",
                    story.attempts, story.second_client
                ));
            }
        };
        verdict.loads += u64::from(ask.is_bulk_load);
        let mut ids: Vec<u64> = story.attempts.iter().map(|v| v.req).collect();
        ids.dedup();
        for req in ids {
            let text = format!("{req:016x}");
            let lines = by_id.get(text.as_str()).map_or(&[][..], Vec::as_slice);
            let starts = lines.iter().filter(|l| l.kind == "start").count() as u64;
            verdict.starts += starts;
            // A second client of what is harmless may have it run anew once the first has its end.
            let ended_at = story
                .attempts
                .last()
                .filter(|_| story.served_after_us.is_some())
                .map_or(u64::MAX, |v| v.ended_us);
            let for_first = |l: &&&EngineEvent| l.kind == "start" && l.at_us <= ended_at;
            verdict.again += (lines.iter().filter(for_first).count() as u64).saturating_sub(1);
            if ask.is_bulk_load && starts > 1 {
                verdict.doubled += 1;
                broken("started twice", req);
            }
            let words = || story.attempts.iter().filter(|v| v.req == req);
            let refused = words().any(|v| v.outcome == Outcome::Refused);
            if ask.is_bulk_load && refused && starts > 0 {
                verdict.refused_and_ran += 1;
                broken("refused and ran", req);
            }
            let second = story.second_client.iter().filter(|v| v.req == req);
            let ended = |v: &&super::clients::Attempt| {
                matches!(v.outcome, Outcome::Rows(_) | Outcome::Completed)
            };
            let no_end =
                |v: &super::clients::Attempt| v.outcome == Outcome::Refused && ask.is_bulk_load;
            let unsure =
                |v: &super::clients::Attempt| v.outcome == Outcome::Unknown && ask.is_bulk_load;
            verdict.unsure += u64::from(second.clone().any(unsure));
            let wrong = |v: &super::clients::Attempt| matches!(&v.outcome, Outcome::Rows(row) if *row != text);
            let both = words().any(|v| ended(&v)) && second.clone().any(no_end);
            if both || words().chain(second).any(wrong) {
                verdict.two_ends += 1;
                broken("two ends, or another's rows", req);
            }
            // Running at an engine as the gateway that had started it, or asked last, was lost.
            for &(gateway, at) in &losses {
                let running =
                    |l: &&&EngineEvent| l.at_us < at && matches!(l.kind.as_str(), "start" | "ask");
                let Some(last) = lines.iter().rfind(running).filter(|l| l.gateway == gateway)
                else {
                    continue;
                };
                let over = |l: &&EngineEvent| {
                    l.at_us < at && matches!(l.kind.as_str(), "end" | "fail" | "drop" | "stop")
                };
                let back = words().any(|v| v.started_us > at);
                if lines.iter().any(over) || last.at_us > at || !back {
                    continue;
                }
                verdict.caught += 1;
                let again = lines
                    .iter()
                    .filter(for_first)
                    .filter(|l| l.at_us >= at)
                    .count();
                verdict.carried += u64::from(again == 0 && story.served_after_us.is_some());
                let ask = lines.iter().find(|l| l.kind == "ask" && l.at_us >= at);
                asked_after.extend(ask.map(|l| (l.at_us - at) / 1000));
            }
        }
        for visit in story
            .attempts
            .iter()
            .filter(|v| v.outcome == Outcome::Silence)
        {
            let by = story.attempts.first().map_or(0, |v| v.started_us) + ask.timeout_ms * 1000;
            if visit.ended_us > by + SLACK
                && !was_away(visit.gateway, visit.started_us, visit.ended_us)
            {
                verdict.silent += 1;
                broken("no word from a gateway that was there", visit.req);
            }
        }
        match story.served_after_us {
            Some(time) => {
                verdict.served += 1;
                times.push(time / 1000);
            }
            None => {
                let last = story
                    .attempts
                    .last()
                    .map_or("never asked".to_owned(), |v| format!("{:?}", v.outcome));
                *verdict.unserved.entry(last).or_default() += 1;
            }
        }
    }
    asked_after.sort_unstable();
    times.sort_unstable();
    let at = |all: &[u64], part: f64| {
        let last = all.len().saturating_sub(1);
        all.get((last as f64 * part).round() as usize)
            .copied()
            .unwrap_or(0)
    };
    (verdict.first_ask_p50, verdict.first_ask_p99) =
        (at(&asked_after, 0.5), at(&asked_after, 0.99));
    (verdict.p50_ms, verdict.p99_ms) = (at(&times, 0.5), at(&times, 0.99));
    verdict
}

/// When which gateway was killed, or stopped for so long that others take it for lost.
fn losses(done: &[InjectedFault]) -> Vec<(usize, u64)> {
    let lost = |done: &InjectedFault| match done.fault.kind {
        FaultKind::Kill { gateway, .. } => Some((gateway, done.at_us)),
        FaultKind::Suspend {
            gateway,
            duration_ms,
        } if duration_ms >= 2000 => Some((gateway, done.at_us)),
        _ => None,
    };
    done.iter().filter_map(lost).collect()
}

/// Gateways that were not there, from and until when; links that failed count for both of their ends.
fn away(done: &[InjectedFault]) -> Vec<(usize, u64, u64)> {
    let mut away = Vec::new();
    for done in done {
        let until = done.at_us + (done.fault.duration_ms().unwrap_or(0) + 1500) * 1000;
        let whose: Vec<usize> = match done.fault.kind {
            FaultKind::Kill { gateway, .. }
            | FaultKind::Suspend { gateway, .. }
            | FaultKind::ShutDown { gateway, .. } => {
                vec![gateway]
            }
            _ => Vec::new(),
        };
        away.extend(whose.into_iter().map(|g| (g, done.at_us, until)));
    }
    away
}
