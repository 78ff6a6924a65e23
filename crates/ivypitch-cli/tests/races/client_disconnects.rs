//! Starts against clients that disconnect or send KILL.

use std::net::Shutdown;

use ivypitch_testbed::test_servers::*;
use test_case::test_case;

use super::common::{
    STATEMENT_TIMEOUT_MS, engine_with_held_statement, id_of, respond_success, rows, send_statement,
    start_count_of, start_gateway, start_gateway_with_peers, with_long_connect_timeout,
};

/// Starts a gateway for one engine, with or without peers.
fn start_gateway_for(listener: &BlockedListener, has_peers: bool) -> Gateway {
    let rows = [row_at(listener.address, "s-1", "in_service", 0)];
    if has_peers {
        start_gateway_with_peers(&rows, with_long_connect_timeout)
    } else {
        start_gateway(&rows, None, with_long_connect_timeout)
    }
}

#[test_case(|c| drop(c.stream.shutdown(Shutdown::Both)), false; "it closes")]
#[test_case(|c| drop(c.stream.shutdown(Shutdown::Write)), false; "it closes its half")]
#[test_case(|c| c.send(&packet(0, &[1])), false; "it sends COM_QUIT")]
#[test_case(|c| c.send(&[1, 0]), false; "it sends a part of COM_QUIT")]
#[test_case(|c| drop(c.stream.shutdown(Shutdown::Both)), true; "it closes at a gateway with peers")]
#[test_case(|c| drop(c.stream.shutdown(Shutdown::Write)), true; "it closes its half at a gateway with peers")]
#[test_case(|c| c.send(&packet(0, &[1])), true; "it sends COM_QUIT to a gateway with peers")]
#[test_case(|c| c.send(&[1, 0]), true; "it sends a part of COM_QUIT to a gateway with peers")]
fn a_connection_established_as_its_client_leaves_carries_no_start(
    leave: fn(&mut Client),
    has_peers: bool,
) {
    let listener = BlockedListener::start();
    let gateway = start_gateway_for(&listener, has_peers);
    // A member that has just started grants no load.
    let kind = if has_peers { "lookup" } else { "load" };
    let mut client = send_statement(&gateway, kind, 1, STATEMENT_TIMEOUT_MS);
    listener.wait_for_connection_attempt();
    let engine = gateway.while_stopped(|| {
        leave(&mut client);
        FakeEngine::on_listener(listener.unblock(), respond_success)
    });
    engine
        .closed_connections
        .wait("close of the unused connection", |_| true);
    assert_eq!(engine.calls.all().len(), 0, "no bytes were sent on it");
    assert_eq!(
        Client::connect(&gateway).execute(&statement(kind, 2, STATEMENT_TIMEOUT_MS)),
        rows()
    );
    assert_eq!((engine.start_count(), start_count_of(&engine, 1)), (1, 0));
}

#[test]
fn a_dial_that_comes_up_as_its_statement_is_killed_carries_no_start() {
    let listener = BlockedListener::start();
    let gateway = start_gateway(
        &[row_at(listener.address, "s-1", "in_service", 0)],
        None,
        with_long_connect_timeout,
    );
    let mut client = send_statement(&gateway, "load", 1, STATEMENT_TIMEOUT_MS);
    let mut killer = Client::connect(&gateway);
    listener.wait_for_connection_attempt();
    assert_eq!(
        killer.execute(&format!("KILL QUERY {}", client.connection)),
        Answer::Rows(vec![])
    );
    let engine =
        gateway.while_stopped(|| FakeEngine::on_listener(listener.unblock(), respond_success));
    assert_eq!(client.read_answer(1).error_code(), 1317);
    assert_eq!(
        killer.execute(&statement("load", 2, STATEMENT_TIMEOUT_MS)),
        rows()
    );
    assert_eq!(start_count_of(&engine, 1), 0);
}

#[test]
fn a_connection_slot_freed_as_its_waiter_leaves_carries_no_start() {
    let (engine, end) = engine_with_held_statement();
    // One connection to all engines.
    let rows_of = [engine.row("s-1", "in_service")];
    let config = configuration("127.0.0.1:0", &rows_of, None, 72).replace("30000000000", "0");
    let gateway = Gateway::start_with_config(config);
    let mut first = send_statement(&gateway, "load", 1, STATEMENT_TIMEOUT_MS);
    engine.calls.wait("start", |c| c.has_method("POST"));
    let mut second = send_statement(&gateway, "lookup", 2, STATEMENT_TIMEOUT_MS);
    let mut other = Client::connect(&gateway);
    wait_until_read(&second.stream);
    assert_eq!(other.ping(), Answer::Rows(vec![]));
    gateway.while_stopped(|| {
        second.send(&packet(0, &[1]));
        end.push(());
    });
    assert_eq!(first.read_answer(1), rows());
    assert_eq!(
        other.execute(&statement("load", 3, STATEMENT_TIMEOUT_MS)),
        rows()
    );
    assert_eq!(start_count_of(&engine, 2), 0);
}

/// A KILL, on an existing session or with its own login, arrives together with the statement of a
/// new session: the statement is processed first.
#[test_case(true; "by a session that exists")]
#[test_case(false; "by a session that logs in with it")]
fn a_kill_right_behind_an_accept_finds_its_statement(is_connected: bool) {
    let engine = FakeEngine::never_completing();
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    for req in 1..=20 {
        let mut killer = is_connected.then(|| Client::connect(&gateway));
        let mut client = Client::connect_without_login(&gateway);
        client.read_greeting();
        let text = query(&format!("KILL QUERY {}", client.connection));
        let mut killer = gateway.while_stopped(|| {
            client.send(
                &[
                    login("app"),
                    query(&statement("load", req, STATEMENT_TIMEOUT_MS)),
                ]
                .concat(),
            );
            let mut killer = killer
                .take()
                .unwrap_or_else(|| Client::connect_without_login(&gateway));
            killer.send(&if is_connected {
                text
            } else {
                [login("app"), text].concat()
            });
            killer
        });
        if !is_connected {
            assert_eq!(killer.finish_login(), Answer::Rows(vec![]));
        }
        assert_eq!(killer.read_answer(1), Answer::Rows(vec![]));
        assert_eq!(client.read_answer(2), Answer::Rows(vec![]));
        assert_eq!(
            client.read_answer(1).error_code(),
            1317,
            "the kill of {req}"
        );
        assert!(start_count_of(&engine, req) <= 1);
    }
}

#[test]
fn a_kill_of_a_connection_that_is_not_there_is_an_error() {
    let gateway = Gateway::start(&[FakeEngine::never_completing().row("s-1", "in_service")]);
    let mut killer = Client::connect(&gateway);
    let other = Client::connect(&gateway).connection;
    wait_until("the end of the other session", || {
        let answer = Client::connect(&gateway).execute(&format!("KILL QUERY {other}"));
        answer.error_code() == 1094
    });
    assert_eq!(
        killer.execute(&format!("KILL QUERY {}", killer.connection)),
        Answer::Rows(vec![])
    );
}

#[test_case(true; "behind it")]
#[test_case(false; "before it")]
fn a_kill_at_the_accept_of_an_engine_cancels_the_query(behind: bool) {
    let accept = EventLog::<()>::new();
    let wait = accept.clone();
    let engine = FakeEngine::start(move |call, n| {
        if !call.has_method("DELETE") && id_of(call) == 1 {
            wait.wait("permission to accept", |_| true);
            return response(202, "", "");
        }
        respond_success(call, n)
    });
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let mut client = send_statement(&gateway, "load", 1, STATEMENT_TIMEOUT_MS);
    let mut killer = Client::connect(&gateway);
    engine.calls.wait("start", |c| c.has_method("POST"));
    gateway.while_stopped(|| {
        if behind {
            accept.push(());
        }
        killer.send(&query(&format!("KILL QUERY {}", client.connection)));
    });
    assert_eq!(killer.read_answer(1), Answer::Rows(vec![]));
    assert_eq!(client.read_answer(1).error_code(), 1317);
    if !behind {
        accept.push(());
    }
    engine.calls.wait("the cancel request", |c| {
        c.has_method("DELETE") && id_of(c) == 1
    });
    assert_eq!(
        client.execute(&statement("load", 2, STATEMENT_TIMEOUT_MS)),
        rows()
    );
    assert_eq!((engine.start_count(), start_count_of(&engine, 1)), (2, 1));
}
