//! Reuse of idle engine connections over sockets.

use std::collections::HashSet;
use std::sync::Mutex;

use ivypitch_testbed::test_servers::*;

/// The rows of a statement contain its id, which identifies them.
fn rows_of(id: &str) -> String {
    format!("{id}\tb\tc\n")
}

fn id_of(call: &Call) -> String {
    call.header("Via-Id")
        .or(call.path.split('/').nth(2))
        .unwrap_or_default()
        .to_owned()
}

/// An engine that knows only the queries that were started there. `override_reply` may change an
/// answer; it gets the number of earlier starts on the connection.
fn engine_with_known_queries(
    override_reply: impl Fn(&Call, String, usize) -> Option<Reply> + Send + Sync + 'static,
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
        if let Some(reply) = override_reply(call, id.clone(), before) {
            return reply;
        }
        match known.lock().unwrap().contains(&id) {
            _ if call.has_method("DELETE") => response(204, "", ""),
            true => success_response(&rows_of(&id)),
            false => response(500, "", ""),
        }
    })
}

fn execute_lookups(gateway: &Gateway, count: u64) {
    let mut client = Client::connect(gateway);
    for req in 1..=count {
        let id = format!("{req:016x}");
        let answer = client.execute(&statement("lookup", req, 5000));
        assert_eq!(
            answer,
            Answer::Rows(vec![vec![id, "b".into(), "c".into()]]),
            "statement {req}"
        );
        // An idle connection is reused after a quiet period, during which the next statement
        // arrives.
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
    let engine = engine_with_known_queries(|_, _, _| None);
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    execute_lookups(&gateway, 20);
    assert_eq!(engine.start_count(), 20);
    assert!(
        connections(&engine) <= 2,
        "{} connections",
        connections(&engine)
    );
}

#[test]
fn a_late_copy_of_an_answer_is_never_another_statements() {
    // On a used connection the engine answers a start with the answer of the previous statement;
    // its own answer follows on the next call, and so on.
    let last = Mutex::new(String::new());
    let engine = engine_with_known_queries(move |call, id, before| {
        if !call.has_method("POST") {
            return None;
        }
        let mut last = last.lock().unwrap();
        let stale = std::mem::replace(&mut *last, id);
        (before > 0).then(|| success_response(&rows_of(&stale)))
    });
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    execute_lookups(&gateway, 12);
    assert_eq!(engine.start_count(), 12);
    assert!(carried_twice(&engine), "an idle connection was reused");
}

#[test]
fn an_idle_connection_with_unexpected_data_is_closed_before_a_start() {
    // The poll before a start on a used connection is answered by a copy of an earlier answer.
    let engine = engine_with_known_queries(|call, _, before| {
        (call.has_method("GET") && before > 0).then(|| success_response("late\tcopy\tof another\n"))
    });
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    execute_lookups(&gateway, 12);
    assert_eq!(engine.start_count(), 12);
    assert!(
        !carried_twice(&engine),
        "no such connection carries a second statement"
    );
}

#[test]
fn a_silent_idle_connection_costs_one_poll_and_no_start() {
    // The engine is silent on used connections: nothing is started there.
    let engine = engine_with_known_queries(|call, _, before| {
        (call.has_method("GET") && before > 0).then_some(Reply::NoResponse)
    });
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    execute_lookups(&gateway, 8);
    assert_eq!(engine.start_count(), 8);
    assert!(!carried_twice(&engine));
}

#[test]
fn no_connection_is_kept_beyond_its_idle_timeout() {
    let engine = engine_with_known_queries(|_, _, _| None);
    let short =
        |config: String| config.replace("\"idle-close-ns\":30000000000", "\"idle-close-ns\":0");
    let gateway = Gateway::start_with_own_settings(&[engine.row("s-1", "in_service")], short, None);
    execute_lookups(&gateway, 6);
    assert!(
        !carried_twice(&engine),
        "without an idle timeout no connection is kept"
    );
}
