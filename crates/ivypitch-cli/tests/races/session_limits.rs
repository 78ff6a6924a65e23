//! Sessions at their limits: evictions, timeouts, rejections.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

use ivypitch_gateway::log_events::ACCEPT_FAILED;
use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;
use test_case::test_case;

use super::common::{STATEMENT_TIMEOUT_MS, rows, send_statement, start_count_of};

/// Sockets for 16 clients and 3 more that can be rejected.
const FEW_SOCKETS: usize = 48;

#[test]
fn a_session_whose_next_request_is_there_is_not_closed_for_another() {
    let engine = FakeEngine::completing();
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[engine.row("s-1", "in_service")],
        None,
        FEW_SOCKETS,
    );
    let mut clients: Vec<Client> = (0..19).map(|_| Client::connect(&gateway)).collect();
    for (req, client) in (1..).zip(&mut clients) {
        assert_eq!(
            client.execute(&statement("lookup", req, STATEMENT_TIMEOUT_MS)),
            rows()
        );
    }
    // The six sessions that were idle longest send again as six other clients connect.
    let mut others = gateway.while_stopped(|| {
        let others: Vec<Client> = (0..6)
            .map(|_| Client::connect_without_login(&gateway))
            .collect();
        for (req, client) in (101..107).zip(&mut clients) {
            client.send(&query(&statement("lookup", req, STATEMENT_TIMEOUT_MS)));
        }
        others
    });
    for client in &mut clients[..6] {
        assert_eq!(client.read_answer(1), rows());
    }
    for (req, other) in (201..).zip(&mut others) {
        other.send(
            &[
                login("app"),
                query(&statement("lookup", req, STATEMENT_TIMEOUT_MS)),
            ]
            .concat(),
        );
        assert_eq!(other.finish_login(), Answer::Rows(vec![]));
        assert_eq!(other.read_answer(1), rows());
    }
}

#[test]
fn a_session_closed_for_another_has_its_last_answer_whole_and_no_reset() {
    let engine = FakeEngine::completing();
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[engine.row("s-1", "in_service")],
        None,
        FEW_SOCKETS,
    );
    let mut first = Client::connect(&gateway);
    first.send(&query(&statement("lookup", 1, STATEMENT_TIMEOUT_MS)));
    engine.calls.wait("start", |c| c.has_method("POST"));
    // Its answer has arrived and is not read.
    wait_until("the answer", || {
        first.stream.peek(&mut [0; 200]).is_ok_and(|n| n > 100)
    });
    let crowd: Vec<Client> = (0..19).map(|_| Client::connect(&gateway)).collect();
    // Bytes that cross the close cause no reset.
    assert_eq!(first.read_answer(1), rows());
    assert_eq!(first.read_answer(1), Answer::Closed);
    first
        .stream
        .write_all(&query(&statement("lookup", 9, STATEMENT_TIMEOUT_MS)))
        .unwrap();
    assert_eq!(first.stream.read(&mut [0]).unwrap(), 0, "no reset");
    assert_eq!(start_count_of(&engine, 9), 0);
    drop(crowd);
}

/// The gateway closes a session that is idle for 5 s, or sends no request within 2 s of its
/// connection.
#[test_case(5, usize::MAX; "a whole request as the idle time ends")]
#[test_case(5, 30; "a piece of one")]
#[test_case(5, 1; "its first byte")]
#[test_case(2, usize::MAX; "a whole request as the time for the first ends")]
fn a_request_at_the_end_of_the_session_timeout_is_served(seconds: u64, piece: usize) {
    let engine = FakeEngine::completing();
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let came = Instant::now();
    let mut client = Client::connect(&gateway);
    if seconds == 5 {
        assert_eq!(
            client.execute(&statement("load", 1, STATEMENT_TIMEOUT_MS)),
            rows()
        );
    }
    let rested = Instant::now();
    let (time, text) = (
        Duration::from_secs(seconds),
        query(&statement("load", 2, STATEMENT_TIMEOUT_MS)),
    );
    let (first, rest) = text.split_at(piece.min(text.len()));
    let since = if seconds == 5 { rested } else { came };
    wait_until("most of its time", || {
        since.elapsed() > time - Duration::from_millis(300)
    });
    gateway.while_stopped(|| {
        client.send(first);
        wait_until("the end of its time", || {
            rested.elapsed() > time + Duration::from_millis(50)
        });
    });
    client.send(rest);
    assert_eq!(client.read_answer(1), rows());
    assert_eq!(start_count_of(&engine, 2), 1);
}

#[test]
fn idle_clients_at_the_session_limit_do_not_block_the_discovery_watch_after_an_outage() {
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    // Connections are refused until the socket listens.
    let (held, address) = refusing_address();
    let list = [old.row("s-1", "in_service")];
    let config = configuration("127.0.0.1:0", &list, None, FEW_SOCKETS);
    let gateway = Gateway::start_with_config(
        config.replace("\"journal\":\"\"", &format!("\"journal\":\"{address}\"")),
    );
    gateway.log.wait("loss", |line| {
        is_event(line, "endpoint watch lost", &[("position", "1")])
    });
    let mut idle: Vec<Client> = (0..60).map(|_| Client::connect(&gateway)).collect();
    rustix::net::listen(&held, 16).unwrap();
    let listener = TcpListener::from(held);
    let (mut stream, _) = listener.accept().unwrap();
    let endpoints = [old.row("s-1", "terminating"), new.row("s-2", "in_service")];
    stream
        .write_all(endpoint_event(2, false, &endpoints).as_bytes())
        .unwrap();
    gateway.log.wait("the endpoint event", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
    let mut client = Client::connect(&gateway);
    assert_eq!(
        client.execute(&statement("lookup", 1, STATEMENT_TIMEOUT_MS)),
        rows()
    );
    assert_eq!((old.start_count(), new.start_count()), (0, 1));
    idle.retain_mut(|client| client.stream.set_nonblocking(true).is_ok());
    assert!(
        gateway
            .log
            .all()
            .iter()
            .all(|line| !is_event(line, ACCEPT_FAILED, &[])),
        "file descriptors never ran out"
    );
}

#[test]
fn where_all_places_are_open_the_next_is_refused_in_words() {
    let engine = FakeEngine::never_completing();
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[engine.row("s-1", "in_service")],
        None,
        FEW_SOCKETS,
    );
    let open: Vec<Client> = (1..=16)
        .map(|req| send_statement(&gateway, "lookup", req, STATEMENT_TIMEOUT_MS))
        .collect();
    open.iter()
        .for_each(|client| wait_until_read(&client.stream));
    // The gateway has one connection to engines.
    engine.calls.wait("start", |c| c.has_method("POST"));
    for req in 17..24 {
        let refused = Client::connect(&gateway)
            .execute(&statement("lookup", req, STATEMENT_TIMEOUT_MS))
            .error_code();
        assert!([1040, 1203].contains(&refused), "{refused}");
    }
    assert!((17..24).all(|req| start_count_of(&engine, req) == 0));
}
