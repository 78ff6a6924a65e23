//! Clients that close their connection with statements unread, and ids that come again.

use std::time::Duration;

use ivypitch_testbed::test_servers::*;
use rustix::net::sockopt::set_socket_linger;
use test_case::test_case;

use crate::common::*;

/// Statements that a client sends at once.
const STATEMENTS: u64 = 100;

fn statements_of(client: u64, kind: &str) -> Vec<u8> {
    let ids = (1..=STATEMENTS).map(|n| client << 16 | n);
    let statements = ids.map(|id| query(&statement(kind, id, STATEMENT_TIMEOUT_MS)));
    statements.collect::<Vec<_>>().concat()
}

/// Guards against statements that are sent to an engine though their client had closed its
/// connection before they were read.
#[test_case("load", 1, false; "loads of one client")]
#[test_case("lookup", 8, false; "lookups of eight clients")]
#[test_case("lookup", 80, false; "lookups of eighty clients")]
#[test_case("lookup", 80, true; "lookups of eighty clients that reset")]
fn statements_unread_at_the_close_of_their_client_are_not_sent(
    kind: &str,
    clients: u64,
    is_reset: bool,
) {
    let limited = LimitedGateway::start();
    let before = limited.engine.start_count();
    let mut connected: Vec<Client> = (0..clients)
        .map(|_| Client::connect(&limited.gateway))
        .collect();
    limited.gateway.while_stopped(|| {
        for (n, client) in (0..).zip(&mut connected) {
            client.send(&statements_of(n, kind));
            if is_reset {
                set_socket_linger(&client.stream, Some(Duration::ZERO)).unwrap();
            }
        }
        drop(connected);
    });
    limited.serve_usual_client_for(Duration::from_millis(500));
    let is_unread = |call: &Call| {
        let id = call.header("Via-Id").unwrap_or_default();
        u64::from_str_radix(id, 16).is_ok_and(|id| id < clients << 16)
    };
    let calls = limited.engine.calls.all();
    let sent = calls[before..].iter().filter(|call| is_unread(call));
    assert_eq!(sent.count(), 0, "of clients that had closed");
}

/// How the client of a load leaves.
#[derive(Clone, Copy)]
enum Leave {
    Close,
    Kill,
}

/// Guards against a load that runs twice because its id comes again after its client has left.
#[test_case(Leave::Close, 1; "it closes")]
#[test_case(Leave::Kill, 1; "it is killed")]
#[test_case(Leave::Close, 40; "forty close")]
fn a_load_whose_id_comes_again_after_its_client_has_left_runs_once(leave: Leave, clients: u64) {
    let engine = FakeEngine::never_completing();
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let load = |id: u64| statement("load", id, 20_000);
    for id in 1..=clients {
        let mut client = Client::connect(&gateway);
        client.send(&query(&load(id)));
        let text = format!("{id:016x}");
        // A load that was cancelled may keep the tables of the next for a while.
        engine.calls.wait("start", |call| {
            call.has_method("POST") && call.header("Via-Id") == Some(&text)
        });
        if let Leave::Kill = leave {
            let kill = format!("KILL QUERY {}", client.connection);
            Client::connect(&gateway).execute(&kill);
        }
        drop(client);
        // It comes again at once, and once its attempt has been cancelled.
        let again = Client::connect(&gateway).execute(&load(id));
        assert!(!matches!(again.error_code(), 0 | 1203), "{again:?}");
        engine.calls.wait("the cancel request", |call| {
            call.has_method("DELETE") && call.path.ends_with(&text)
        });
        let again = Client::connect(&gateway).execute(&load(id));
        assert!(!matches!(again.error_code(), 0 | 1203), "{again:?}");
    }
    assert_eq!(engine.start_count() as u64, clients);
}

/// Guards against a load that runs twice because its id comes again after its end.
#[test]
fn a_load_whose_id_comes_again_after_its_end_runs_once() {
    let engine = FakeEngine::completing();
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let load = statement("load", 1, 20_000);
    let first = Client::connect(&gateway).execute(&load);
    assert!(matches!(first, Answer::Rows(_)), "{first:?}");
    let again = Client::connect(&gateway).execute(&load);
    assert!(!matches!(again.error_code(), 0 | 1203), "{again:?}");
    assert_eq!(engine.start_count(), 1);
    // What can run twice may.
    let lookup = statement("lookup", 2, 20_000);
    for _ in 0..2 {
        let answer = Client::connect(&gateway).execute(&lookup);
        assert!(matches!(answer, Answer::Rows(_)), "{answer:?}");
    }
}
