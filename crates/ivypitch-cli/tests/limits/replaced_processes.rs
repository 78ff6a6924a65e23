//! New processes at the addresses of old ones.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ivypitch_testbed::test_servers::*;
use test_case::test_case;

const STATEMENT_TIMEOUT_MS: u64 = 20_000;

/// Guards against a statement that is killed in place of one whose gateway process, at the same
/// address, has ended.
#[test_case(1; "one client")]
#[test_case(40; "forty clients")]
fn a_kill_for_a_connection_of_an_earlier_process_ends_no_statement(clients: u64) {
    let engine = FakeEngine::never_completing();
    let rows = [engine.row("s-1", "in_service")];
    let mut old = Gateway::start(&rows);
    let old_connections: Vec<u32> = (0..clients)
        .map(|_| Client::connect(&old).connection)
        .collect();
    old.kill();
    let new = Gateway::start_with(&old.address.to_string(), &rows, None, 1024);
    let mut waiting: Vec<Client> = (1..=clients)
        .map(|req| {
            let mut client = Client::connect(&new);
            client.send(&query(&statement("lookup", req, STATEMENT_TIMEOUT_MS)));
            client
        })
        .collect();
    engine
        .calls
        .wait_for_nth("starts", clients as usize, |c| c.has_method("POST"));
    let mut killer = Client::connect(&new);
    for connection in old_connections {
        let answer = killer.execute(&format!("KILL QUERY {connection}"));
        assert_eq!(answer.error_code(), 1094, "{answer:?}");
    }
    for client in &mut waiting {
        client.stream.set_nonblocking(true).unwrap();
        assert!(client.stream.peek(&mut [0]).is_err(), "it has an answer");
    }
}

/// Guards against a load that runs twice, or a result of another process, where a new engine process
/// has taken the address of the one that ran the load.
#[test_case(true; "that discovery has reported")]
#[test_case(false; "that discovery has not reported")]
fn a_load_does_not_run_again_at_a_new_engine_with_the_old_address(is_reported: bool) {
    let is_replaced = Arc::new(AtomicBool::new(false));
    let is_new = is_replaced.clone();
    let engine = FakeEngine::start(move |call, earlier_calls| {
        match (call.method.as_str(), is_new.load(Ordering::SeqCst)) {
            ("DELETE", _) => response(204, "", ""),
            // The old process has read the first start.
            ("POST", _) if earlier_calls == 0 => response(202, "", ""),
            ("POST", true) => success_response("of\tanother\tprocess\n"),
            // The new process does not know the statements of the old one.
            (_, true) => response(500, "", ""),
            (_, false) => response(202, "", ""),
        }
    });
    let discovery = FakeDiscoveryServer::without_script();
    let rows = [engine.row("s-1", "in_service")];
    let gateway = Gateway::start_with("127.0.0.1:0", &rows, Some(&discovery), 1024);
    let mut client = Client::connect(&gateway);
    client.send(&query(&statement("load", 1, STATEMENT_TIMEOUT_MS)));
    engine.calls.wait("start", |c| c.has_method("POST"));
    is_replaced.store(true, Ordering::SeqCst);
    if is_reported {
        let rows = [
            engine.row("s-1", "terminated"),
            engine.row("s-2", "in_service"),
        ];
        discovery.send(&endpoint_event(2, false, &rows));
    }
    let answer = client.read_answer(1);
    assert_eq!(answer.error_code(), 1105, "{answer:?}");
    assert_eq!(engine.start_count(), 1);
}
