//! The checker of the soak run on constructed records: a correct run passes, and each injected
//! fault is reported.

use ivypitch_testbed::experiments::soak::checker::{AllowedLoss, FindingKind, check};
use ivypitch_testbed::experiments::soak::observations::*;
use ivypitch_testbed::processes::EngineEvent;
use test_case::test_case;

const SECOND: u64 = 1_000_000;
const ID: u64 = 7;

fn event(at_us: u64, kind: &str) -> EngineEvent {
    EngineEvent {
        at_us,
        engine: 0,
        kind: kind.to_owned(),
        id: format!("{ID:016x}"),
        gateway: 0,
    }
}

/// A bulk load at gateway 0 that ran from 2.0 to 2.2 s. The gateway got SIGTERM at 3 s and exited
/// 0.8 s later.
fn correct_run() -> Observations {
    let request = Request {
        id: ID,
        is_load: true,
        gateway: 0,
        sent_at: 2 * SECOND,
        timeout: SECOND,
        outcome: Outcome::Rows(format!("{ID:016x}")),
        ended_at: 2 * SECOND + SECOND / 5,
        abandoned_at: None,
        is_first: false,
    };
    let process = Process {
        gateway: 0,
        spawned_at: SECOND,
        ready_at: Some(SECOND + SECOND / 20),
        terminated_at: Some(3 * SECOND),
        ended_at: Some(3 * SECOND + SECOND * 4 / 5),
        end: Some(ProcessEnd::Exited(Some(0))),
        descriptors: 50,
        resident_bytes: 9 << 20,
    };
    Observations {
        has_peers: false,
        has_idle_connections: false,
        limits: Limits {
            descriptors: 1024,
            resident_bytes: 192 << 20,
            kill_after: 2 * SECOND,
        },
        requests: vec![request],
        processes: vec![process],
        drains: Vec::new(),
        engine_lines: vec![
            event(2 * SECOND + 1000, "start"),
            event(2 * SECOND + 190_000, "end"),
        ],
    }
}

fn restart_with_descriptors(run: &mut Observations, descriptors: u64) {
    let next = Process {
        descriptors,
        ..run.processes[0].clone()
    };
    run.processes.push(next);
}

#[test]
fn a_correct_run_passes() {
    let verdict = check(&correct_run());
    assert!(verdict.holds(), "{verdict}");
    assert_eq!((verdict.requests, verdict.served), (1, 1));
}

#[test_case(|run| run.requests[0].outcome = Outcome::NoAnswer, FindingKind::LostAnswer; "an answer that never comes")]
#[test_case(|run| run.requests[0].ended_at += 2 * SECOND, FindingKind::LostAnswer; "an answer that comes late")]
#[test_case(|run| run.requests[0].outcome = Outcome::Closed, FindingKind::LostAnswer; "a close without an answer to a statement that ran")]
#[test_case(|run| run.requests[0].outcome = Outcome::Rows("8".into()), FindingKind::OtherRows; "rows of another statement")]
#[test_case(|run| run.engine_lines.push(event(2 * SECOND + 100_000, "start")), FindingKind::EffectTwice; "a second start")]
#[test_case(|run| run.requests[0].outcome = Outcome::Rejected, FindingKind::RejectedButRan; "a rejection of a statement that ran")]
#[test_case(|run| run.requests[0].abandoned_at = Some(SECOND), FindingKind::LateAttempt; "an attempt long after its client has gone")]
#[test_case(|run| run.drains.push(Drain { engine: 0, announced_at: SECOND, until: 9 * SECOND }), FindingKind::StartAtDrainingEngine; "a start at a draining engine")]
#[test_case(|run| run.processes[0].end = Some(ProcessEnd::Exited(Some(101))), FindingKind::ExitCode; "a panic")]
#[test_case(|run| run.processes[0].end = Some(ProcessEnd::Exited(None)), FindingKind::ExitCode; "an end by a signal")]
#[test_case(|run| run.processes[0].end = Some(ProcessEnd::KilledAfterTerm), FindingKind::EndedLate; "a process that does not end with nothing open")]
#[test_case(|run| run.processes[0].ready_at = Some(20 * SECOND), FindingKind::ReadyLate; "a process that is ready late")]
#[test_case(|run| run.processes[0].descriptors = 2000, FindingKind::OverLimit; "more descriptors than allowed")]
#[test_case(|run| run.processes[0].resident_bytes = 200 << 20, FindingKind::OverLimit; "more memory than allowed")]
#[test_case(|run| restart_with_descriptors(run, 200), FindingKind::DescriptorGrowth; "a descriptor that leaks from restart to restart")]
#[test_case(|run| run.engine_lines[1].at_us = 5 * SECOND, FindingKind::Orphan; "an orphan at an engine")]
fn an_injected_fault_is_reported(inject: fn(&mut Observations), kind: FindingKind) {
    let mut run = correct_run();
    inject(&mut run);
    let verdict = check(&run);
    let found: Vec<_> = verdict.findings.keys().copied().collect();
    assert_eq!(found, [kind], "{verdict}");
}

fn kill(run: &mut Observations, end: ProcessEnd) {
    run.requests[0].ended_at += SECOND / 2;
    run.processes[0].end = Some(end);
    run.processes[0].ended_at = Some(run.requests[0].ended_at);
    run.requests[0].outcome = Outcome::Closed;
}

fn cross_close(run: &mut Observations) {
    let request = &mut run.requests[0];
    request.outcome = Outcome::Closed;
    request.ended_at = request.sent_at + 20_000;
    run.engine_lines.clear();
}

#[test_case(|run| kill(run, ProcessEnd::Killed), AllowedLoss::KilledOutright; "its gateway was killed")]
#[test_case(|run| {
    run.processes[0].terminated_at = Some(SECOND);
    kill(run, ProcessEnd::KilledAfterTerm);
}, AllowedLoss::LateAfterTerm; "it arrived a second after the signal")]
#[test_case(cross_close, AllowedLoss::CrossedClose; "it crossed the close of an idle connection")]
fn an_allowed_loss_is_counted_and_not_reported(inject: fn(&mut Observations), loss: AllowedLoss) {
    let mut run = correct_run();
    inject(&mut run);
    let verdict = check(&run);
    assert!(verdict.holds(), "{verdict}");
    assert_eq!(verdict.allowed.get(&loss), Some(&1));
}

#[test]
fn a_request_within_the_drain_period_must_not_be_lost_to_the_kill() {
    let mut run = correct_run();
    run.processes[0].terminated_at = Some(2 * SECOND - SECOND / 2);
    kill(&mut run, ProcessEnd::KilledAfterTerm);
    let verdict = check(&run);
    assert!(
        verdict.findings.contains_key(&FindingKind::LostAnswer),
        "{verdict}"
    );
}
