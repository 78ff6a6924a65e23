//! Connections to engines that are kept for the next statement, over sockets.

use std::collections::HashSet;
use std::sync::Mutex;

use ivypitch_testbed::test_servers::*;

/// The rows of a statement: its id, so that another's can be told apart.
fn rows_of(id: &str) -> String {
    format!("{id}\tb\tc\n")
}

fn id_of(call: &Call) -> String {
    call.header("Via-Id")
        .or(call.path.split('/').nth(2))
        .unwrap_or_default()
        .to_owned()
}

/// An engine that knows the queries that were started there, and no others. `spoil` changes an
/// answer; it is told how many starts came before on that connection.
fn knowing(
    spoil: impl Fn(&Call, String, usize) -> Option<Reply> + Send + Sync + 'static,
) -> FakeEngine {
    let known = Mutex::new(HashSet::new());
    let starts = Mutex::new(Vec::new());
    FakeEngine::start(move |call, _| {
        let id = id_of(call);
        let before = starts
            .lock()
            .unwrap()
            .iter()
            .filter(|&&c| c == call.connection)
            .count();
        if call.has_method("POST") {
            known.lock().unwrap().insert(id.clone());
            starts.lock().unwrap().push(call.connection);
        }
        if let Some(reply) = spoil(call, id.clone(), before) {
            return reply;
        }
        match known.lock().unwrap().contains(&id) {
            _ if call.has_method("DELETE") => response(204, "", ""),
            true => success_response(&rows_of(&id)),
            false => response(500, "", ""),
        }
    })
}

fn asked(gateway: &Gateway, count: u64) {
    let mut client = Client::connect(gateway);
    for req in 1..=count {
        let id = format!("{req:016x}");
        let answer = client.execute(&statement("lookup", req, 5000));
        assert_eq!(
            answer,
            Answer::Rows(vec![vec![id, "b".into(), "c".into()]]),
            "statement {req}"
        );
        // Kept connections are used once they have been quiet: so long as the next statement takes
        // to come here.
        std::thread::sleep(std::time::Duration::from_millis(25));
    }
}

fn connections(engine: &FakeEngine) -> usize {
    engine
        .calls
        .all()
        .iter()
        .map(|call| call.connection)
        .collect::<HashSet<_>>()
        .len()
}

fn carried_twice(engine: &FakeEngine) -> bool {
    let calls = engine.calls.all();
    let starts: Vec<usize> = calls
        .iter()
        .filter(|c| c.has_method("POST"))
        .map(|c| c.connection)
        .collect();
    starts
        .iter()
        .any(|c| starts.iter().filter(|d| *d == c).count() > 1)
}

#[test]
fn one_statement_after_the_other_shares_a_connection_and_each_runs_once() {
    let engine = knowing(|_, _, _| None);
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    asked(&gateway, 20);
    assert_eq!(engine.start_count(), 20);
    assert!(
        connections(&engine) <= 2,
        "{} connections",
        connections(&engine)
    );
}

#[test]
fn a_late_copy_of_an_answer_is_never_another_statements() {
    // What the engine sends to a start on a used connection is the answer of the one before; its
    // own answer comes to the next call there, and so on.
    let last = Mutex::new(String::new());
    let engine = knowing(move |call, id, before| {
        if !call.has_method("POST") {
            return None;
        }
        let mut last = last.lock().unwrap();
        let stale = std::mem::replace(&mut *last, id);
        (before > 0).then(|| success_response(&rows_of(&stale)))
    });
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    asked(&gateway, 12);
    assert_eq!(engine.start_count(), 12);
    assert!(carried_twice(&engine), "a kept connection was tried");
}

#[test]
fn a_kept_connection_that_says_anything_unasked_is_given_up_before_a_start() {
    // The question before a start on a used connection is answered by a copy of what came before.
    let engine = knowing(|call, _, before| {
        (call.has_method("GET") && before > 0).then(|| success_response("late\tcopy\tof another\n"))
    });
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    asked(&gateway, 12);
    assert_eq!(engine.start_count(), 12);
    assert!(
        !carried_twice(&engine),
        "none of those connections carries a second statement"
    );
}

#[test]
fn a_kept_connection_that_is_dead_costs_a_question_and_no_start() {
    // Engines that fall silent on used connections: nothing is started there.
    let engine = knowing(|call, _, before| {
        (call.has_method("GET") && before > 0).then_some(Reply::NoResponse)
    });
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    asked(&gateway, 8);
    assert_eq!(engine.start_count(), 8);
    assert!(!carried_twice(&engine));
}

#[test]
fn none_is_kept_of_an_engine_that_is_gone_or_past_its_time() {
    let engine = knowing(|_, _, _| None);
    let short =
        |config: String| config.replace("\"idle-close-ns\":30000000000", "\"idle-close-ns\":0");
    let gateway = Gateway::start_with_own_settings(&[engine.row("s-1", "in_service")], short, None);
    asked(&gateway, 6);
    assert!(
        !carried_twice(&engine),
        "where the idle time is not told nothing is kept"
    );
}
