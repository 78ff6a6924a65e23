//! The soak's checker on recorded stories: a run in order holds, and each planted fault makes it fail.

use ivypitch_testbed::experiments::soak::checker::{AllowedLoss, FindingKind, judge};
use ivypitch_testbed::experiments::soak::observations::*;
use ivypitch_testbed::processes::EngineEvent;
use test_case::test_case;

const SECOND: u64 = 1_000_000;
const ID: u64 = 7;

fn line(at: u64, what: &str) -> EngineEvent {
    EngineEvent {
        at_us: at,
        engine: 0,
        kind: what.to_owned(),
        id: format!("{ID:016x}"),
        gateway: 0,
    }
}

/// A load of gateway 0 that ran from 2.0 to 2.2 s, whose process got SIGTERM at 3 s and ended 0.8 s later.
fn in_order() -> Observations {
    let request = Request {
        id: ID,
        is_load: true,
        gateway: 0,
        sent_at: 2 * SECOND,
        timeout: SECOND,
        outcome: Outcome::Rows(format!("{ID:016x}")),
        ended_at: 2 * SECOND + SECOND / 5,
        left_at: None,
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
        has_crowd: false,
        limits: Limits {
            descriptors: 1024,
            resident_bytes: 192 << 20,
            kill_after: 2 * SECOND,
        },
        requests: vec![request],
        processes: vec![process],
        drains: Vec::new(),
        engine_lines: vec![
            line(2 * SECOND + 1000, "start"),
            line(2 * SECOND + 190_000, "end"),
        ],
    }
}

fn restarted_with(run: &mut Observations, descriptors: u64) {
    let next = Process {
        descriptors,
        ..run.processes[0].clone()
    };
    run.processes.push(next);
}

#[test]
fn a_run_in_order_holds() {
    let verdict = judge(&in_order());
    assert!(verdict.holds(), "{verdict}");
    assert_eq!((verdict.requests, verdict.served), (1, 1));
}

#[test_case(|run| run.requests[0].outcome = Outcome::Silence, FindingKind::LostAnswer; "an answer that never comes")]
#[test_case(|run| run.requests[0].ended_at += 2 * SECOND, FindingKind::LostAnswer; "an answer that comes late")]
#[test_case(|run| run.requests[0].outcome = Outcome::Closed, FindingKind::LostAnswer; "a close without an answer to what ran")]
#[test_case(|run| run.requests[0].outcome = Outcome::Rows("8".into()), FindingKind::OtherRows; "rows of another statement")]
#[test_case(|run| run.engine_lines.push(line(2 * SECOND + 100_000, "start")), FindingKind::EffectTwice; "a second start")]
#[test_case(|run| run.requests[0].outcome = Outcome::Rejected, FindingKind::RejectedButRan; "a rejection of what ran")]
#[test_case(|run| run.requests[0].left_at = Some(SECOND), FindingKind::LateAttempt; "an attempt long after its client has gone")]
#[test_case(|run| run.drains.push(Drain { engine: 0, told_at: SECOND, until: 9 * SECOND }), FindingKind::StartAtDrainingEngine; "a start at a draining engine")]
#[test_case(|run| run.processes[0].end = Some(ProcessEnd::Exited(Some(101))), FindingKind::ExitCode; "a panic")]
#[test_case(|run| run.processes[0].end = Some(ProcessEnd::Exited(None)), FindingKind::ExitCode; "a death by a signal")]
#[test_case(|run| run.processes[0].end = Some(ProcessEnd::KilledAfterTerm), FindingKind::EndedLate; "a process that does not end with nothing open")]
#[test_case(|run| run.processes[0].ready_at = Some(20 * SECOND), FindingKind::ReadyLate; "a process that is ready late")]
#[test_case(|run| run.processes[0].descriptors = 2000, FindingKind::OverLimit; "more descriptors than allowed")]
#[test_case(|run| run.processes[0].resident_bytes = 200 << 20, FindingKind::OverLimit; "more memory than allowed")]
#[test_case(|run| restarted_with(run, 200), FindingKind::DescriptorGrowth; "a descriptor that leaks from restart to restart")]
#[test_case(|run| run.engine_lines[1].at_us = 5 * SECOND, FindingKind::Orphan; "an orphan at an engine")]
fn a_planted_fault_is_found(plant: fn(&mut Observations), kind: FindingKind) {
    let mut run = in_order();
    plant(&mut run);
    let verdict = judge(&run);
    let found: Vec<_> = verdict.broken.keys().copied().collect();
    assert_eq!(found, [kind], "{verdict}");
}

fn killed(run: &mut Observations, end: ProcessEnd) {
    run.requests[0].ended_at += SECOND / 2;
    run.processes[0].end = Some(end);
    run.processes[0].ended_at = Some(run.requests[0].ended_at);
    run.requests[0].outcome = Outcome::Closed;
}

fn crossed(run: &mut Observations) {
    let request = &mut run.requests[0];
    request.outcome = Outcome::Closed;
    request.ended_at = request.sent_at + 20_000;
    run.engine_lines.clear();
}

#[test_case(|run| killed(run, ProcessEnd::Killed), AllowedLoss::KilledOutright; "its gateway was killed outright")]
#[test_case(|run| {
    run.processes[0].terminated_at = Some(SECOND);
    killed(run, ProcessEnd::KilledAfterTerm);
}, AllowedLoss::LateAfterTerm; "it arrived a second after the signal")]
#[test_case(crossed, AllowedLoss::CrossedClose; "it crossed the close of a resting connection")]
fn a_loss_that_is_allowed_is_counted_apart(plant: fn(&mut Observations), loss: AllowedLoss) {
    let mut run = in_order();
    plant(&mut run);
    let verdict = judge(&run);
    assert!(verdict.holds(), "{verdict}");
    assert_eq!(verdict.allowed.get(&loss), Some(&1));
}

#[test]
fn a_request_that_came_before_the_drain_period_ended_is_not_lost_to_the_kill() {
    let mut run = in_order();
    run.processes[0].terminated_at = Some(2 * SECOND - SECOND / 2);
    killed(&mut run, ProcessEnd::KilledAfterTerm);
    let verdict = judge(&run);
    assert!(
        verdict.broken.contains_key(&FindingKind::LostAnswer),
        "{verdict}"
    );
}
