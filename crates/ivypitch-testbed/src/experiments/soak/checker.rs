//! Checks the records of a soak run: each request and each process against the rules of the
//! platform.

use std::collections::BTreeMap;
use std::fmt;

use super::observations::{Observations, Outcome, Process, ProcessEnd, Request};
use crate::processes::EngineEvent;

/// A millisecond in microseconds.
const MS: u64 = 1000;
/// An answer may come this much after the deadline; it has no value then.
const MAX_ANSWER_DELAY: u64 = 500 * MS;
/// Tolerance for the delay with which engines and clients of the testbed record events on a busy
/// machine.
const OBSERVATION_SLACK: u64 = 250 * MS;
/// An attempt may begin this long after its client has gone: 0.1 s, plus the 50 ms added to every
/// limit.
const MAX_ATTEMPT_DELAY_AFTER_CLIENT: u64 = 150 * MS;
/// An attempt may start at an engine this long after its drain was announced: 0.25 s, plus the 50
/// ms added to every limit.
const MAX_START_DELAY_AFTER_DRAIN: u64 = 300 * MS;
/// A request may cross the close of an idle connection on the wire within this time.
const MAX_CLOSE_CROSSING_TIME: u64 = 50 * MS;
/// A request that arrives later than this after SIGTERM may be lost.
const DRAIN_PERIOD: u64 = 700 * MS;
/// Longest start of a gateway.
const MAX_START_TIME: u64 = 10_000 * MS;
/// A later process of a gateway may have twice the descriptors of its first one and this many more.
const MAX_DESCRIPTOR_GROWTH: u64 = 40;
/// Number of findings of one kind that are kept.
const MAX_FINDINGS_PER_KIND: usize = 5;

/// Kind of a violated guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingKind {
    /// The answer is missing or late.
    LostAnswer,
    /// The rows belong to another statement.
    OtherRows,
    /// A bulk load ran twice.
    EffectTwice,
    RejectedButRan,
    /// An attempt started after its client had gone.
    LateAttempt,
    StartAtDrainingEngine,
    ExitCode,
    /// The process had to be killed although no request was open.
    EndedLate,
    ReadyLate,
    OverLimit,
    DescriptorGrowth,
    /// An attempt ran on after its gateway had exited.
    Orphan,
}

/// A lost answer that the rules of the platform allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AllowedLoss {
    /// The gateway was killed by a planned SIGKILL.
    KilledOutright,
    /// The request arrived over 0.7 s after SIGTERM.
    LateAfterTerm,
    /// The request crossed the close of an idle connection.
    CrossedClose,
    /// A new connection was closed unread while idle connections exhausted the descriptors.
    ClosedUnread,
}

/// Result of checking a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub requests: usize,
    pub served: usize,
    pub rejected: usize,
    pub failed: usize,
    pub abandoned: usize,
    pub allowed: BTreeMap<AllowedLoss, usize>,
    /// Violated guarantees, a line for each.
    pub findings: BTreeMap<FindingKind, Vec<String>>,
}

impl Verdict {
    /// No guarantee was violated.
    pub fn holds(&self) -> bool {
        self.findings.is_empty()
    }

    fn add(&mut self, kind: FindingKind, description: String) {
        let lines = self.findings.entry(kind).or_default();
        if lines.len() < MAX_FINDINGS_PER_KIND {
            lines.push(description);
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{} requests: {} served, {} rejected, {} failed, {} abandoned by their clients; allowed losses",
            self.requests, self.served, self.rejected, self.failed, self.abandoned
        )?;
        for (loss, count) in &self.allowed {
            write!(f, " {loss:?} {count}")?;
        }
        for (kind, lines) in &self.findings {
            for line in lines {
                write!(f, "\n  {kind:?}: {line}")?;
            }
        }
        Ok(())
    }
}

/// Checks a run.
pub fn check(run: &Observations) -> Verdict {
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
        check_answer(run, request, lines, &mut verdict);
        check_attempts(run, request, lines, &mut verdict);
    }
    check_effects(run, &lines_by_id, &mut verdict);
    check_drains(run, &mut verdict);
    for process in &run.processes {
        check_process(run, process, &mut verdict);
    }
    check_descriptors(run, &mut verdict);
    verdict
}

fn lines_by_id(lines: &[EngineEvent]) -> BTreeMap<&str, Vec<&EngineEvent>> {
    let mut by_id: BTreeMap<&str, Vec<&EngineEvent>> = BTreeMap::new();
    for line in lines {
        by_id.entry(line.id.as_str()).or_default().push(line);
    }
    by_id
}

/// Each request has one final answer in time, or an allowed loss.
fn check_answer(
    run: &Observations,
    request: &Request,
    lines: &[&EngineEvent],
    verdict: &mut Verdict,
) {
    let answer_deadline = request.sent_at + request.timeout + MAX_ANSWER_DELAY + OBSERVATION_SLACK;
    let is_late = request.ended_at > answer_deadline;
    match &request.outcome {
        Outcome::Abandoned => verdict.abandoned += 1,
        Outcome::Rows(row) if *row != format!("{:016x}", request.id) => {
            verdict.add(FindingKind::OtherRows, format!("{request:?}"));
        }
        _ if is_late => verdict.add(FindingKind::LostAnswer, format!("late: {request:?}")),
        Outcome::Rows(_) => verdict.served += 1,
        Outcome::Rejected => verdict.rejected += 1,
        Outcome::Failed(_) => verdict.failed += 1,
        Outcome::Closed | Outcome::NoAnswer => match allowed_loss(run, request, lines) {
            Some(loss) => *verdict.allowed.entry(loss).or_default() += 1,
            None => verdict.add(FindingKind::LostAnswer, format!("{request:?}")),
        },
    }
}

/// The allowed loss that explains a request without an answer; `None`: there is none.
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
    let elapsed = request.ended_at.saturating_sub(request.sent_at);
    // A client resends a request that crossed a close, so the request must not have run.
    let has_run = lines.iter().any(|line| line.kind == "start");
    if request.outcome == Outcome::Closed
        && !has_run
        && elapsed <= MAX_CLOSE_CROSSING_TIME + OBSERVATION_SLACK
    {
        if !request.is_first {
            return Some(AllowedLoss::CrossedClose);
        }
        if run.has_idle_connections {
            return Some(AllowedLoss::ClosedUnread);
        }
    }
    None
}

/// No attempt begins after the client has gone. With peers, statements outlive their clients.
fn check_attempts(
    run: &Observations,
    request: &Request,
    lines: &[&EngineEvent],
    verdict: &mut Verdict,
) {
    let Some(abandoned_at) = request.abandoned_at.filter(|_| !run.has_peers) else {
        return;
    };
    let latest_start = abandoned_at + MAX_ATTEMPT_DELAY_AFTER_CLIENT + OBSERVATION_SLACK;
    if let Some(start) = lines
        .iter()
        .find(|line| line.kind == "start" && line.at_us > latest_start)
    {
        let after_ms = (start.at_us - abandoned_at) / MS;
        verdict.add(
            FindingKind::LateAttempt,
            format!("{after_ms} ms after the client had gone: {request:?}"),
        );
    }
}

/// A bulk load runs at most once, and not at all if its client was told that nothing ran.
fn check_effects(
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

/// No attempt starts at a draining engine once the announcement has had time to arrive.
fn check_drains(run: &Observations, verdict: &mut Verdict) {
    for drain in &run.drains {
        let from = drain.announced_at + MAX_START_DELAY_AFTER_DRAIN + OBSERVATION_SLACK;
        let is_late = |line: &&EngineEvent| {
            line.kind == "start"
                && line.engine == drain.engine
                && line.at_us > from
                && line.at_us < drain.until
        };
        if let Some(start) = run.engine_lines.iter().find(is_late) {
            let after_ms = (start.at_us - drain.announced_at) / MS;
            verdict.add(
                FindingKind::StartAtDrainingEngine,
                format!("{after_ms} ms after the announcement: {start:?} {drain:?}"),
            );
        }
    }
}

fn check_process(run: &Observations, process: &Process, verdict: &mut Verdict) {
    if let Some(ProcessEnd::Exited(code)) = process.end
        && code != Some(0)
    {
        verdict.add(FindingKind::ExitCode, format!("{process:?}"));
    }
    let ready_deadline = process.spawned_at + MAX_START_TIME;
    if process.ready_at.is_some_and(|at| at > ready_deadline) {
        verdict.add(FindingKind::ReadyLate, format!("{process:?}"));
    }
    let is_over_limit = process.descriptors > run.limits.descriptors
        || process.resident_bytes > run.limits.resident_bytes;
    if is_over_limit {
        verdict.add(FindingKind::OverLimit, format!("{process:?}"));
    }
    if process.end == Some(ProcessEnd::KilledAfterTerm) {
        let killed_at = process.ended_at.unwrap_or(u64::MAX);
        let is_busy = run.requests.iter().any(|request| {
            request.gateway == process.gateway && request.is_open_at(killed_at - OBSERVATION_SLACK)
        });
        if !is_busy {
            verdict.add(FindingKind::EndedLate, format!("{process:?}"));
        }
    }
    check_orphans(run, process, verdict);
}

/// No attempt of a gateway runs on after the gateway has exited. With peers, another gateway takes
/// the attempts over.
fn check_orphans(run: &Observations, process: &Process, verdict: &mut Verdict) {
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

/// Later processes of a gateway do not hold more descriptors than the first one, up to the allowed
/// growth.
fn check_descriptors(run: &Observations, verdict: &mut Verdict) {
    let mut first_by_gateway: BTreeMap<usize, u64> = BTreeMap::new();
    for process in run
        .processes
        .iter()
        .filter(|process| process.descriptors > 0)
    {
        let first_descriptors = *first_by_gateway
            .entry(process.gateway)
            .or_insert(process.descriptors);
        if process.descriptors > 2 * first_descriptors + MAX_DESCRIPTOR_GROWTH {
            verdict.add(
                FindingKind::DescriptorGrowth,
                format!("{first_descriptors} at first: {process:?}"),
            );
        }
    }
}
