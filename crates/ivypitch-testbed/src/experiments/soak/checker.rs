//! The verdict on a run of the soak: each request and each process against the platform's rules.

use std::collections::BTreeMap;
use std::fmt;

use super::observations::{Observations, Outcome, Process, ProcessEnd, Request};
use crate::processes::EngineEvent;

const MS: u64 = 1000;
/// An answer may come so long after the request's time; it earns nothing then.
const LATE_ANSWER: u64 = 500 * MS;
/// Engines and clients of the testbed note what happens as they get to run.
const OBSERVATION_SLACK: u64 = 250 * MS;
/// An attempt may begin so long after its client has gone: 0.1 s, and 50 ms by which all limits are longer.
const ATTEMPT_AFTER_CLIENT: u64 = 150 * MS;
/// Nothing starts at a draining engine so long after the word: 0.25 s, and 50 ms by which all limits are longer.
const START_AFTER_DRAIN: u64 = 300 * MS;
/// A request may cross the close of a resting connection within this time.
const CROSSED_CLOSE: u64 = 50 * MS;
/// What arrives later than this after SIGTERM may be lost.
const DRAIN_PERIOD: u64 = 700 * MS;
const READY_WITHIN: u64 = 10_000 * MS;
/// Descriptors of a gateway's later processes: at most twice those of its first, and so many more.
const DESCRIPTOR_GROWTH: u64 = 40;
/// Lines of one kind that are kept.
const MAX_FINDINGS_OF_A_KIND: usize = 5;

/// A promise that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingKind {
    LostAnswer,
    OtherRows,
    EffectTwice,
    RejectedButRan,
    LateAttempt,
    StartAtDrainingEngine,
    ExitCode,
    EndedLate,
    ReadyLate,
    OverLimit,
    DescriptorGrowth,
    Orphan,
}

/// A loss that the platform's pages allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AllowedLoss {
    /// Its gateway was killed outright.
    KilledOutright,
    /// It arrived over 0.7 s after SIGTERM.
    LateAfterTerm,
    /// It crossed the close of a resting connection.
    CrossedClose,
    /// A new connection was shut unread among a crowd.
    ShutUnread,
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub requests: usize,
    pub served: usize,
    pub rejected: usize,
    pub failed: usize,
    pub left: usize,
    pub allowed: BTreeMap<AllowedLoss, usize>,
    pub broken: BTreeMap<FindingKind, Vec<String>>,
}

impl Verdict {
    pub fn holds(&self) -> bool {
        self.broken.is_empty()
    }

    fn add(&mut self, kind: FindingKind, what: String) {
        let lines = self.broken.entry(kind).or_default();
        if lines.len() < MAX_FINDINGS_OF_A_KIND {
            lines.push(what);
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{} requests: {} served, {} rejected, {} failed, {} left by their clients; allowed losses",
            self.requests, self.served, self.rejected, self.failed, self.left
        )?;
        for (loss, count) in &self.allowed {
            write!(f, " {loss:?} {count}")?;
        }
        for (kind, lines) in &self.broken {
            for line in lines {
                write!(f, "\n  {kind:?}: {line}")?;
            }
        }
        Ok(())
    }
}

/// Judges a run.
pub fn judge(run: &Observations) -> Verdict {
    let mut verdict = Verdict {
        requests: run.requests.len(),
        ..Verdict::default()
    };
    let lines_by_id = lines_by_id(&run.engine_lines);
    for request in &run.requests {
        let text = format!("{:016x}", request.id);
        let lines = lines_by_id
            .get(text.as_str())
            .map_or(&[][..], Vec::as_slice);
        judge_answer(run, request, lines, &mut verdict);
        judge_attempts(run, request, lines, &mut verdict);
    }
    judge_effects(run, &lines_by_id, &mut verdict);
    judge_drains(run, &mut verdict);
    for process in &run.processes {
        judge_process(run, process, &mut verdict);
    }
    judge_descriptors(run, &mut verdict);
    verdict
}

fn lines_by_id(lines: &[EngineEvent]) -> BTreeMap<&str, Vec<&EngineEvent>> {
    let mut by_id: BTreeMap<&str, Vec<&EngineEvent>> = BTreeMap::new();
    for line in lines {
        by_id.entry(line.id.as_str()).or_default().push(line);
    }
    by_id
}

/// One final answer in time, or a loss that is allowed.
fn judge_answer(
    run: &Observations,
    request: &Request,
    lines: &[&EngineEvent],
    verdict: &mut Verdict,
) {
    let answer_by = request.sent_at + request.timeout + LATE_ANSWER + OBSERVATION_SLACK;
    let is_late = request.ended_at > answer_by;
    match &request.outcome {
        Outcome::Left => verdict.left += 1,
        Outcome::Rows(row) if *row != format!("{:016x}", request.id) => {
            verdict.add(FindingKind::OtherRows, format!("{request:?}"));
        }
        _ if is_late => verdict.add(FindingKind::LostAnswer, format!("late: {request:?}")),
        Outcome::Rows(_) => verdict.served += 1,
        Outcome::Rejected => verdict.rejected += 1,
        Outcome::Failed(_) => verdict.failed += 1,
        Outcome::Closed | Outcome::Silence => match allowed_loss(run, request, lines) {
            Some(loss) => *verdict.allowed.entry(loss).or_default() += 1,
            None => verdict.add(FindingKind::LostAnswer, format!("{request:?}")),
        },
    }
}

/// The loss that explains a request without an answer; `None`: it is not allowed.
fn allowed_loss(
    run: &Observations,
    request: &Request,
    lines: &[&EngineEvent],
) -> Option<AllowedLoss> {
    let killed = run.processes.iter().find(|process| {
        let was_killed = matches!(
            process.end,
            Some(ProcessEnd::Killed | ProcessEnd::KilledAfterTerm)
        );
        let ended_at = process.ended_at.unwrap_or(u64::MAX);
        process.gateway == request.gateway
            && was_killed
            && request.sent_at <= ended_at + OBSERVATION_SLACK
            && ended_at <= request.ended_at + OBSERVATION_SLACK
    });
    if let Some(process) = killed {
        if process.end == Some(ProcessEnd::Killed) {
            return Some(AllowedLoss::KilledOutright);
        }
        let terminated_at = process.terminated_at.unwrap_or(u64::MAX);
        if request.sent_at > terminated_at.saturating_add(DRAIN_PERIOD) {
            return Some(AllowedLoss::LateAfterTerm);
        }
        return None;
    }
    let took = request.ended_at.saturating_sub(request.sent_at);
    // A client sends what crossed a close again: none of it may have run.
    let has_run = lines.iter().any(|line| line.kind == "start");
    if request.outcome == Outcome::Closed && !has_run && took <= CROSSED_CLOSE + OBSERVATION_SLACK {
        if !request.is_first {
            return Some(AllowedLoss::CrossedClose);
        }
        if run.has_crowd {
            return Some(AllowedLoss::ShutUnread);
        }
    }
    None
}

/// No attempt begins once the client has gone. Where gateways talk, statements outlive their clients.
fn judge_attempts(
    run: &Observations,
    request: &Request,
    lines: &[&EngineEvent],
    verdict: &mut Verdict,
) {
    let Some(left_at) = request.left_at.filter(|_| !run.has_peers) else {
        return;
    };
    let last = left_at + ATTEMPT_AFTER_CLIENT + OBSERVATION_SLACK;
    if let Some(start) = lines
        .iter()
        .find(|line| line.kind == "start" && line.at_us > last)
    {
        let after_ms = (start.at_us - left_at) / MS;
        verdict.add(
            FindingKind::LateAttempt,
            format!("{after_ms} ms after its client had gone: {request:?}"),
        );
    }
}

/// A load has no effect twice, and none where its client was told that nothing ran.
fn judge_effects(
    run: &Observations,
    lines_by_id: &BTreeMap<&str, Vec<&EngineEvent>>,
    verdict: &mut Verdict,
) {
    for request in run.requests.iter().filter(|request| request.is_load) {
        let text = format!("{:016x}", request.id);
        let Some(lines) = lines_by_id.get(text.as_str()) else {
            continue;
        };
        let starts = lines.iter().filter(|line| line.kind == "start").count();
        if starts > 1 {
            verdict.add(
                FindingKind::EffectTwice,
                format!("{starts} starts: {request:?} {lines:?}"),
            );
        }
        if starts > 0 && request.outcome == Outcome::Rejected {
            verdict.add(
                FindingKind::RejectedButRan,
                format!("{request:?} {lines:?}"),
            );
        }
    }
}

/// Nothing starts at a draining engine once the word has had its time.
fn judge_drains(run: &Observations, verdict: &mut Verdict) {
    for drain in &run.drains {
        let from = drain.told_at + START_AFTER_DRAIN + OBSERVATION_SLACK;
        let is_late = |line: &&EngineEvent| {
            line.kind == "start"
                && line.engine == drain.engine
                && line.at_us > from
                && line.at_us < drain.until
        };
        if let Some(start) = run.engine_lines.iter().find(is_late) {
            let after_ms = (start.at_us - drain.told_at) / MS;
            verdict.add(
                FindingKind::StartAtDrainingEngine,
                format!("{after_ms} ms after the word: {start:?} {drain:?}"),
            );
        }
    }
}

fn judge_process(run: &Observations, process: &Process, verdict: &mut Verdict) {
    if let Some(ProcessEnd::Exited(code)) = process.end
        && code != Some(0)
    {
        verdict.add(FindingKind::ExitCode, format!("{process:?}"));
    }
    let ready_by = process.spawned_at + READY_WITHIN;
    if process.ready_at.is_some_and(|at| at > ready_by) {
        verdict.add(FindingKind::ReadyLate, format!("{process:?}"));
    }
    let is_over_limit = process.descriptors > run.limits.descriptors
        || process.resident_bytes > run.limits.resident_bytes;
    if is_over_limit {
        verdict.add(FindingKind::OverLimit, format!("{process:?}"));
    }
    if process.end == Some(ProcessEnd::KilledAfterTerm) {
        let killed_at = process.ended_at.unwrap_or(u64::MAX);
        let is_busy = run
            .requests
            .iter()
            .any(|r| r.gateway == process.gateway && r.is_open_at(killed_at - OBSERVATION_SLACK));
        if !is_busy {
            verdict.add(FindingKind::EndedLate, format!("{process:?}"));
        }
    }
    judge_orphans(run, process, verdict);
}

/// Once a gateway has ended by itself, nothing of its own runs on. Where gateways talk, another goes on with it.
fn judge_orphans(run: &Observations, process: &Process, verdict: &mut Verdict) {
    let (Some(ended_at), Some(ProcessEnd::Exited(_)), false) =
        (process.ended_at, process.end, run.has_peers)
    else {
        return;
    };
    let is_own = |line: &&EngineEvent| {
        line.gateway == process.gateway && line.at_us >= process.spawned_at && line.at_us < ended_at
    };
    let starts = run.engine_lines.iter().filter(|line| line.kind == "start");
    for start in starts.filter(is_own) {
        let end = run.engine_lines.iter().find(|line| {
            line.id == start.id
                && line.at_us >= start.at_us
                && matches!(line.kind.as_str(), "end" | "fail" | "drop" | "stop")
        });
        let runs_until = end.map_or(u64::MAX, |line| line.at_us);
        if runs_until > ended_at + OBSERVATION_SLACK {
            verdict.add(
                FindingKind::Orphan,
                format!("{start:?} {end:?} {process:?}"),
            );
        }
    }
}

/// A gateway's later processes hold no more descriptors than its first ones.
fn judge_descriptors(run: &Observations, verdict: &mut Verdict) {
    let mut first: BTreeMap<usize, u64> = BTreeMap::new();
    for process in run.processes.iter().filter(|p| p.descriptors > 0) {
        let first = *first.entry(process.gateway).or_insert(process.descriptors);
        if process.descriptors > 2 * first + DESCRIPTOR_GROWTH {
            verdict.add(
                FindingKind::DescriptorGrowth,
                format!("{first} at first: {process:?}"),
            );
        }
    }
}
