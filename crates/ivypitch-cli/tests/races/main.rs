//! Races of two events over real connections, always in the unfavourable order: a test server
//! holds back the connection, the byte or the answer, or the gateway process is stopped while both
//! events happen, so that it observes them together. `docs/races.md` lists the races.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use ivypitch_gateway::log_events::ACCEPT_FAILED;
use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;
use test_case::test_case;

const STATEMENT_TIMEOUT_MS: u64 = 20_000;

fn respond_success(call: &Call, _: usize) -> Reply {
    if call.has_method("DELETE") {
        response(204, "", "")
    } else {
        success_response("a\tb\tc\n")
    }
}

fn rows() -> Answer {
    Answer::Rows(vec![["a", "b", "c"].map(str::to_owned).to_vec()])
}

/// Connection attempts may take as long as a test blocks them.
fn with_long_connect_timeout(config: String) -> String {
    config.replace(
        "\"connect-timeout-ns\":250000000",
        "\"connect-timeout-ns\":30000000000",
    )
}

/// Loads may be retried within this window, in milliseconds.
fn with_deduplication_window(config: String, window_ms: u64) -> String {
    let window = format!(
        "\"effect\":\"keyed\",\"window-ns\":{}",
        window_ms * 1_000_000
    );
    config.replace("\"effect\":\"unsafe\"", &window)
}

/// Starts a gateway that watches this discovery service.
fn start_gateway(
    rows: &[String],
    discovery_server: Option<&FakeDiscoveryServer>,
    change: impl Fn(String) -> String,
) -> Gateway {
    Gateway::start_with_config(change(configuration(
        "127.0.0.1:0",
        rows,
        discovery_server,
        1024,
    )))
}

fn send_statement(gateway: &Gateway, kind: &str, req: u64, timeout_ms: u64) -> Client {
    let mut client = Client::connect(gateway);
    client.send(&query(&statement(kind, req, timeout_ms)));
    client
}

fn start_count_of(engine: &FakeEngine, req: u64) -> usize {
    let id = format!("{req:016x}");
    engine
        .calls
        .all()
        .iter()
        .filter(|c| c.has_method("POST") && c.header("Via-Id") == Some(&id))
        .count()
}

// ---- start against client disconnect ----

#[test_case(|c| drop(c.stream.shutdown(Shutdown::Both)); "it closes")]
#[test_case(|c| drop(c.stream.shutdown(Shutdown::Write)); "it closes its half")]
#[test_case(|c| c.send(&packet(0, &[1])); "it sends COM_QUIT")]
#[test_case(|c| c.send(&[1, 0]); "it sends a part of COM_QUIT")]
fn a_connection_established_as_its_client_leaves_carries_no_start(leave: fn(&mut Client)) {
    let listener = BlockedListener::start();
    let gateway = start_gateway(
        &[row_at(listener.address, "s-1", "in_service", 0)],
        None,
        with_long_connect_timeout,
    );
    let mut client = send_statement(&gateway, "load", 1, STATEMENT_TIMEOUT_MS);
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
        Client::connect(&gateway).execute(&statement("load", 2, STATEMENT_TIMEOUT_MS)),
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

// ---- rules checked when a request is written ----

#[test_case("terminating"; "it begins to drain")]
#[test_case("terminated"; "it is gone")]
fn an_engine_removed_by_discovery_while_connecting_gets_no_start(state: &str) {
    let (listener, other) = (BlockedListener::start(), FakeEngine::completing());
    let endpoints = [
        row_at(listener.address, "s-1", state, 0),
        other.row("s-2", "in_service"),
    ];
    let discovery_server = FakeDiscoveryServer::without_script();
    let gateway = start_gateway(
        &[row_at(listener.address, "s-1", "in_service", 0)],
        Some(&discovery_server),
        with_long_connect_timeout,
    );
    let mut client = send_statement(&gateway, "load", 1, STATEMENT_TIMEOUT_MS);
    listener.wait_for_connection_attempt();
    discovery_server.send(&endpoint_event(2, false, &endpoints));
    gateway.log.wait("the endpoint event", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
    let engine = FakeEngine::on_listener(listener.unblock(), respond_success);
    assert_eq!(
        client.read_answer(1),
        rows(),
        "a load that was never sent may go to another engine"
    );
    assert_eq!((engine.start_count(), other.start_count()), (0, 1));
    engine
        .closed_connections
        .wait("close of the connection", |_| true);
}

#[test]
fn a_connection_to_a_former_address_of_an_engine_carries_nothing() {
    let (listener, moved, other) = (
        BlockedListener::start(),
        FakeEngine::completing(),
        FakeEngine::never_completing(),
    );
    let endpoints = [
        moved.row("s-1", "in_service"),
        other.row("s-2", "terminating"),
    ];
    let discovery_server = FakeDiscoveryServer::without_script();
    let gateway = start_gateway(
        &[row_at(listener.address, "s-1", "in_service", 0)],
        Some(&discovery_server),
        with_long_connect_timeout,
    );
    let mut client = send_statement(&gateway, "load", 1, STATEMENT_TIMEOUT_MS);
    listener.wait_for_connection_attempt();
    discovery_server.send(&endpoint_event(2, false, &endpoints));
    gateway.log.wait("the endpoint event", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
    let engine = FakeEngine::on_listener(listener.unblock(), respond_success);
    assert_eq!(client.read_answer(1), rows());
    engine
        .closed_connections
        .wait("close of the connection", |_| true);
    assert_eq!((engine.start_count(), moved.start_count()), (0, 1));
}

#[test]
fn no_repeat_is_sent_if_the_deduplication_window_ends_while_connecting() {
    let (listener, listed) = (BlockedListener::start(), EventLog::<()>::new());
    let wait = listed.clone();
    // It accepts the start and no longer knows it once the test continues.
    let first = FakeEngine::start(move |call, _| {
        wait.wait("list", |_| true);
        if call.has_method("DELETE") {
            response(204, "", "")
        } else {
            response(500, "", "")
        }
    });
    let discovery_server = FakeDiscoveryServer::without_script();
    let one = [first.row("s-1", "in_service")];
    let gateway = start_gateway(&one, Some(&discovery_server), |config| {
        with_deduplication_window(with_long_connect_timeout(config), 1500)
    });
    let sent = Instant::now();
    let mut client = send_statement(&gateway, "load", 1, STATEMENT_TIMEOUT_MS);
    first.calls.wait("start", |c| c.has_method("POST"));
    let endpoints = [
        first.row("s-1", "terminating"),
        row_at(listener.address, "s-2", "in_service", 0),
    ];
    discovery_server.send(&endpoint_event(2, false, &endpoints));
    gateway.log.wait("the endpoint event", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
    listed.push(());
    listener.wait_for_connection_attempt();
    wait_until("the end of the window", || {
        sent.elapsed() > Duration::from_millis(1600)
    });
    let second = FakeEngine::on_listener(listener.unblock(), respond_success);
    assert_eq!(
        client.read_answer(1).error_code(),
        1203,
        "engines drop repeats, so it is harmless to ask for it later"
    );
    second
        .closed_connections
        .wait("close of the connection", |_| true);
    assert_eq!((first.start_count(), second.start_count()), (1, 0));
}

#[test]
fn a_repeat_within_its_window_carries_the_same_token_and_key() {
    let second = FakeEngine::completing();
    let first = FakeEngine::start(|call, _| {
        if call.has_method("DELETE") {
            response(204, "", "")
        } else {
            response(500, "", "")
        }
    });
    let list = [
        first.row("s-1", "in_service"),
        second.row("s-2", "in_service"),
    ];
    let gateway = start_gateway(&list, None, |config| {
        with_deduplication_window(config, 20_000)
    });
    let mut client = Client::connect(&gateway);
    // The first statement sent to the failing engine is checked.
    for req in 1.. {
        let text = statement("load", req, STATEMENT_TIMEOUT_MS)
            .replace(" */", &format!(",opkey=b3{req:04},subject=0a{req:04} */"));
        assert_eq!(client.execute(&text), rows());
        if first.start_count() > 0 {
            break;
        }
    }
    let failed = first.calls.wait("start", |c| c.has_method("POST"));
    let id = failed.header("Via-Id").unwrap().to_owned();
    let again = second.calls.wait("repeat", |c| {
        c.has_method("POST") && c.header("Via-Id") == Some(&id)
    });
    let req = u64::from_str_radix(&id, 16).unwrap();
    for start in [failed, again] {
        assert_eq!(
            start.header("Via-Token"),
            Some(format!("b3{req:04}").as_str())
        );
        assert_eq!(
            start.header("Via-Key"),
            Some(format!("0a{req:04}").as_str())
        );
    }
    let bad = statement("load", 9000, STATEMENT_TIMEOUT_MS).replace(" */", ",opkey=a\u{1}b */");
    assert_eq!(
        client.execute(&bad).error_code(),
        1064,
        "a value that cannot be forwarded unchanged is rejected"
    );
}

#[test]
fn statements_of_one_key_go_out_one_at_a_time_in_the_order_taken() {
    let ended = EventLog::<u64>::new();
    let over = ended.clone();
    let engine = FakeEngine::start(move |call, n| {
        match call.has_method("DELETE") || over.all().contains(&id_of(call)) {
            true => respond_success(call, n),
            false => response(202, "", ""),
        }
    });
    let ordered = |config: String| {
        config.replace(
            "\"effect\":\"unsafe\"",
            "\"effect\":\"unsafe\",\"keep-order\":true",
        )
    };
    let gateway = start_gateway(&[engine.row("s-1", "in_service")], None, ordered);
    // Each load has its own table group, since loads of one group wait for each other.
    let keyed = |req: u64, key: &str| {
        let text = statement("load", req, STATEMENT_TIMEOUT_MS)
            .replace(" */", &format!(",subject={key} */"));
        text.replace("sales_17", &format!("sales_{req}"))
    };
    let mut clients: Vec<Client> = Vec::new();
    for (req, key) in [
        (1, "000200dc17aa5a17"),
        (2, "000200dc17aa5a17"),
        (3, "00084a60f518bcc9"),
    ] {
        let mut client = Client::connect(&gateway);
        client.send(&query(&keyed(req, key)));
        if req != 2 {
            engine.calls.wait("start", |c| {
                c.has_method("POST") && c.header("Via-Id") == Some(&format!("{req:016x}"))
            });
        } else {
            wait_until_read(&client.stream);
        }
        clients.push(client);
    }
    assert_eq!(
        start_count_of(&engine, 2),
        0,
        "only statements of the same key wait"
    );
    ended.push(1);
    engine.calls.wait("the next of the key", |c| {
        c.has_method("POST") && c.header("Via-Id") == Some("0000000000000002")
    });
    ended.push(2);
    ended.push(3);
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.read_answer(1), rows()));
}

// ---- shutdown ----

/// An engine that completes its first statement on request, to keep a gateway in "finishing".
fn engine_with_held_statement() -> (FakeEngine, EventLog<()>) {
    let end = EventLog::<()>::new();
    let over = end.clone();
    let engine = FakeEngine::start(move |call, n| {
        let is_held = !call.has_method("DELETE") && id_of(call) == 1 && over.all().is_empty();
        if is_held {
            response(202, "", "")
        } else {
            respond_success(call, n)
        }
    });
    (engine, end)
}

fn id_of(call: &Call) -> u64 {
    let id = call
        .header("Via-Id")
        .or(call.path.split('/').nth(2))
        .unwrap_or_default();
    u64::from_str_radix(id, 16).unwrap_or(0)
}

/// A gateway in the phase "finishing", with a statement open.
fn gateway_in_finishing_phase(engine: &FakeEngine) -> (Gateway, Client) {
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let client = send_statement(&gateway, "load", 1, STATEMENT_TIMEOUT_MS);
    engine.calls.wait("start", |c| c.has_method("POST"));
    gateway.terminate();
    gateway.log.wait("finishing phase", |line| {
        is_event(
            line,
            "lifecycle phase changed",
            &[("from", "draining"), ("to", "finishing")],
        )
    });
    (gateway, client)
}

#[test]
fn a_statement_after_the_drain_period_is_rejected_and_not_forwarded() {
    let (engine, end) = engine_with_held_statement();
    let (mut gateway, mut open) = gateway_in_finishing_phase(&engine);
    // Clients may send login and statement together.
    let mut late = Client::connect_without_login(&gateway);
    late.send(
        &[
            login("app"),
            query(&statement("lookup", 2, STATEMENT_TIMEOUT_MS)),
        ]
        .concat(),
    );
    assert_eq!(late.finish_login(), Answer::Rows(vec![]));
    assert_eq!(late.read_answer(1).error_code(), 1203);
    assert_eq!(late.read_answer(1), Answer::Closed);
    // An open statement may still be killed.
    let mut killer = Client::connect(&gateway);
    assert_eq!(
        killer.execute(&format!("KILL QUERY {}", open.connection)),
        Answer::Rows(vec![])
    );
    assert_eq!(open.read_answer(1).error_code(), 1317);
    end.push(());
    assert_eq!(gateway.exit_code(), Some(0));
    assert_eq!((engine.start_count(), start_count_of(&engine, 2)), (1, 0));
}

#[test]
fn a_command_half_read_at_the_end_of_the_drain_period_is_rejected_without_reset() {
    let engine = FakeEngine::completing();
    let mut gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let mut client = Client::connect(&gateway);
    assert_eq!(
        client.execute(&statement("lookup", 1, STATEMENT_TIMEOUT_MS)),
        rows()
    );
    let whole = query(&statement("lookup", 2, STATEMENT_TIMEOUT_MS));
    client.send(&whole[..40]);
    gateway.terminate();
    gateway.log.wait("finishing phase", |line| {
        is_event(
            line,
            "lifecycle phase changed",
            &[("from", "draining"), ("to", "finishing")],
        )
    });
    client.send(&whole[40..]);
    assert_eq!(client.read_answer(1).error_code(), 1203);
    assert_eq!(client.read_answer(1), Answer::Closed);
    assert_eq!(gateway.exit_code(), Some(0));
    assert_eq!(start_count_of(&engine, 2), 0);
}

#[test]
fn a_request_that_arrives_in_the_moment_of_the_end_is_answered() {
    let engine = FakeEngine::completing();
    let mut gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let mut clients: Vec<Client> = (0..12).map(|_| Client::connect(&gateway)).collect();
    let mut bare: Vec<Client> = Vec::new();
    for (req, client) in (1..).zip(&mut clients) {
        assert_eq!(
            client.execute(&statement("lookup", req, STATEMENT_TIMEOUT_MS)),
            rows()
        );
    }
    gateway.terminate();
    gateway.log.wait("drain period", |line| {
        is_event(
            line,
            "lifecycle phase changed",
            &[("from", "serving"), ("to", "draining")],
        )
    });
    let began = Instant::now();
    gateway.while_stopped(|| {
        // The gateway observes all events of the rest of the drain period together with its end.
        for (req, client) in (101..).zip(&mut clients) {
            client.send(&query(&statement("lookup", req, STATEMENT_TIMEOUT_MS)));
        }
        for req in 201..206 {
            let mut client = Client::connect_without_login(&gateway);
            client.send(
                &[
                    login("app"),
                    query(&statement("lookup", req, STATEMENT_TIMEOUT_MS)),
                ]
                .concat(),
            );
            bare.push(client);
        }
        wait_until("the end of the drain period", || {
            began.elapsed() > Duration::from_millis(800)
        });
    });
    let is_final = |answer: Answer| answer == rows() || answer.error_code() == 1203;
    for client in &mut clients {
        assert!(is_final(client.read_answer(1)), "an idle session");
    }
    for client in &mut bare {
        assert_eq!(client.finish_login(), Answer::Rows(vec![]));
        assert!(is_final(client.read_answer(1)), "a new session");
    }
    assert_eq!(gateway.exit_code(), Some(0));
}

/// Covers all but the microseconds between the last accept and the close of the listener.
#[test]
fn a_client_in_the_accept_queue_as_the_last_session_closes_is_rejected() {
    let end = EventLog::<()>::new();
    let wait = end.clone();
    let engine = FakeEngine::start(move |call, n| {
        if call.has_method("GET") {
            wait.wait("permission to complete", |_| true);
        }
        if call.has_method("POST") {
            response(202, "", "")
        } else {
            respond_success(call, n)
        }
    });
    let (mut gateway, mut open) = gateway_in_finishing_phase(&engine);
    engine
        .calls
        .wait("the question that is answered with the end", |c| {
            c.has_method("GET")
        });
    let mut late: Vec<Client> = gateway.while_stopped(|| {
        end.push(());
        let one = |req| {
            let mut client = Client::connect_without_login(&gateway);
            client.send(
                &[
                    login("app"),
                    query(&statement("lookup", req, STATEMENT_TIMEOUT_MS)),
                ]
                .concat(),
            );
            client
        };
        (101..141).map(one).collect()
    });
    for client in &mut late {
        assert_eq!(client.finish_login(), Answer::Rows(vec![]));
        assert_eq!(client.read_answer(1).error_code(), 1203);
        assert_eq!(client.read_answer(1), Answer::Closed);
    }
    assert_eq!(open.read_answer(1), rows());
    assert_eq!(gateway.exit_code(), Some(0));
    assert_eq!(engine.start_count(), 1);
}

#[test]
fn an_idle_session_closes_in_order_and_crossing_bytes_cause_no_reset() {
    let (engine, end) = engine_with_held_statement();
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let mut resting: Vec<Client> = (0..4).map(|_| Client::connect(&gateway)).collect();
    let mut open = send_statement(&gateway, "lookup", 1, STATEMENT_TIMEOUT_MS);
    engine.calls.wait("start", |c| c.has_method("POST"));
    gateway.terminate();
    gateway.log.wait("finishing phase", |line| {
        is_event(
            line,
            "lifecycle phase changed",
            &[("from", "draining"), ("to", "finishing")],
        )
    });
    // The gateway has closed its half; bytes that cross are discarded and never forwarded.
    for client in &mut resting {
        assert_eq!(client.read_answer(1), Answer::Closed);
        client
            .stream
            .write_all(&query(&statement("lookup", 9, STATEMENT_TIMEOUT_MS)))
            .unwrap();
        assert_eq!(client.stream.read(&mut [0]).unwrap(), 0, "no reset");
    }
    end.push(());
    assert_eq!(open.read_answer(1), rows());
    assert_eq!(start_count_of(&engine, 9), 0);
}

#[test]
fn the_last_answer_is_whole_though_its_client_reads_late_and_has_sent_more() {
    let page = |_: &str| {
        format!(
            "{}\t{}\t{}\n",
            "a".repeat(300),
            "b".repeat(3000),
            "c".repeat(2697)
        )
    };
    let end = EventLog::<()>::new();
    let wait = end.clone();
    let engine = FakeEngine::start(move |call, _| match call.path.rsplit('/').next() {
        Some(n) if call.has_method("GET") => response(200, &format!("Page-No: {n}\r\n"), &page(n)),
        _ => {
            wait.wait("permission to complete", |_| true);
            response(200, "Page-Count: 8\r\n", &page("0"))
        }
    });
    let mut gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let mut client = send_statement(&gateway, "lookup", 1, STATEMENT_TIMEOUT_MS);
    engine.calls.wait("start", |c| c.has_method("POST"));
    gateway.terminate();
    gateway.log.wait("finishing phase", |line| {
        is_event(
            line,
            "lifecycle phase changed",
            &[("from", "draining"), ("to", "finishing")],
        )
    });
    end.push(());
    assert_eq!(gateway.exit_code(), Some(0));
    let Answer::Rows(rows) = client.read_answer(1) else {
        panic!("no rows")
    };
    assert_eq!(
        rows.iter().flatten().map(|c| c.len() + 1).sum::<usize>(),
        48_000
    );
    assert_eq!(client.read_answer(1), Answer::Closed);
}

#[test]
fn further_signals_while_it_ends_change_nothing() {
    let (engine, end) = engine_with_held_statement();
    let (mut gateway, mut open) = gateway_in_finishing_phase(&engine);
    for signal in ["TERM", "HUP", "INT", "TERM"] {
        gateway.signal(signal);
    }
    gateway.log.wait("reload", |line| {
        ["configuration reloaded", "configuration not reloaded"]
            .iter()
            .any(|event| is_event(line, event, &[("phase", "finishing")]))
    });
    end.push(());
    assert_eq!(open.read_answer(1), rows());
    assert_eq!(gateway.exit_code(), Some(0));
}

#[test]
fn a_second_start_waits_for_the_address_of_the_one_that_ends() {
    let (engine, end) = engine_with_held_statement();
    let (mut gateway, mut open) = gateway_in_finishing_phase(&engine);
    let config = configuration(
        &gateway.address.to_string(),
        &[engine.row("s-1", "in_service")],
        None,
        1024,
    );
    let (mut child, log, _) = spawn_gateway(&config);
    log.wait("its wait", |line| {
        line.contains("listen address is in use, retrying")
    });
    end.push(());
    assert_eq!(open.read_answer(1), rows());
    assert_eq!(gateway.exit_code(), Some(0));
    log.wait("its start", |line| {
        is_event(
            line,
            "lifecycle phase changed",
            &[("from", "starting"), ("to", "serving")],
        )
    });
    assert_eq!(
        Client::connect(&gateway).execute(&statement("lookup", 2, STATEMENT_TIMEOUT_MS)),
        rows()
    );
    child.kill().unwrap();
    child.wait().unwrap();
}

#[test]
fn sigterm_before_it_is_ready_ends_it_with_code_0() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let engine = FakeEngine::completing();
    let address = taken.local_addr().unwrap().to_string();
    let config = configuration(&address, &[engine.row("s-1", "in_service")], None, 1024);
    let (mut child, log, _) = spawn_gateway(&config);
    log.wait("its wait", |line| {
        line.contains("listen address is in use, retrying")
    });
    let id = child.id().to_string();
    assert!(
        std::process::Command::new("kill")
            .args(["-TERM", &id])
            .status()
            .unwrap()
            .success()
    );
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

// ---- session limits ----

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

// ---- discovery watch ----

fn assert_only_new_engine_serves(gateway: &Gateway, old: &FakeEngine, new: &FakeEngine) {
    assert_eq!(
        Client::connect(gateway).execute(&statement("lookup", 1, STATEMENT_TIMEOUT_MS)),
        rows()
    );
    assert_eq!((old.start_count(), new.start_count()), (0, 1));
}

#[test]
fn a_watch_that_is_silent_from_the_start_is_reopened() {
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    let endpoints = [old.row("s-1", "terminating"), new.row("s-2", "in_service")];
    let discovery_server =
        FakeDiscoveryServer::start(&[String::new(), endpoint_event(2, false, &endpoints)]);
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&discovery_server),
        1024,
    );
    gateway.log.wait("loss", |line| {
        is_event(
            line,
            "endpoint watch lost",
            &[("position", "1"), ("reason", "silent")],
        )
    });
    gateway.log.wait("the endpoint event", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
    assert_only_new_engine_serves(&gateway, &old, &new);
}

#[test]
fn an_unusable_event_does_not_hide_later_events() {
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    let endpoints = [old.row("s-1", "terminating"), new.row("s-3", "in_service")];
    let script = "{\"pos\":2,\"hosts\":17}\n".to_owned() + &endpoint_event(3, false, &endpoints);
    let discovery_server = FakeDiscoveryServer::start(&vec![script; 8]);
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&discovery_server),
        1024,
    );
    gateway.log.wait("the endpoint event", |line| {
        is_event(line, "engine added", &[("id", "s-3")])
    });
    assert_eq!(
        discovery_server.watch_requests.all(),
        vec!["tail 1\n"; 4],
        "it is requested three times more, then skipped"
    );
    assert_only_new_engine_serves(&gateway, &old, &new);
}

#[test]
fn a_position_reported_before_its_events_does_not_lose_them() {
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    let endpoints = [old.row("s-1", "terminating"), new.row("s-2", "in_service")];
    let discovery_server =
        FakeDiscoveryServer::start(&[format!("2\n{}", endpoint_event(2, false, &endpoints))]);
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&discovery_server),
        1024,
    );
    gateway.log.wait("the endpoint event", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
    assert_eq!(
        discovery_server.watch_requests.all().len(),
        1,
        "on the same connection"
    );
    let never = FakeDiscoveryServer::start(&[
        "9\n".into(),
        "9\n".into(),
        endpoint_event(2, false, &endpoints),
    ]);
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&never),
        1024,
    );
    gateway.log.wait("the endpoint event", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
    assert_eq!(
        never.watch_requests.all().len(),
        3,
        "requested again if the events do not arrive"
    );
}

#[test]
fn events_of_the_old_service_are_ignored_once_the_new_one_is_watched() {
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    let (first, second) = (
        FakeDiscoveryServer::without_script(),
        FakeDiscoveryServer::without_script(),
    );
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&first),
        1024,
    );
    first.watch_requests.wait("tail", |t| t == "tail 1\n");
    gateway.while_stopped(|| {
        gateway.write_discovery_address(&second);
        gateway.signal("HUP");
        // The event is unread as the new configuration is loaded.
        first.send(&endpoint_event(2, false, &[old.row("s-1", "terminated")]));
    });
    let send_statement = second
        .watch_requests
        .wait("tail", |t| t.starts_with("tail "));
    // Positions continue: events accepted from the old service before the change are not requested
    // again, and later ones are ignored. If event 2 of the old service was accepted, the new
    // service continues with event 3.
    let is_late = send_statement == "tail 1\n";
    second.send(&endpoint_event(
        2,
        false,
        &[if is_late {
            new.row("s-2", "in_service")
        } else {
            old.row("s-1", "terminated")
        }],
    ));
    second.send(&endpoint_event(
        3,
        false,
        &[old.row("s-1", "terminated"), new.row("s-2", "in_service")],
    ));
    gateway.log.wait("the new engine", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
    first.send(&endpoint_event(
        4,
        false,
        &[old.row("s-1", "in_service"), new.row("s-2", "terminated")],
    ));
    for req in 1..=5 {
        assert_eq!(
            Client::connect(&gateway).execute(&statement("lookup", req, STATEMENT_TIMEOUT_MS)),
            rows()
        );
    }
    assert_eq!((old.start_count(), new.start_count()), (0, 5));
}

/// A full list is an event with a position like any other: deltas before it that are repeated, or
/// that arrive late from the previous service, do not change its result.
#[test]
fn a_full_list_is_not_changed_by_earlier_deltas_or_late_events_of_the_old_service() {
    let [gone, drained, new] = [(); 3].map(|()| FakeEngine::completing());
    let (first, second) = (
        FakeDiscoveryServer::without_script(),
        FakeDiscoveryServer::without_script(),
    );
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[gone.row("s-1", "in_service")],
        Some(&first),
        1024,
    );
    first.watch_requests.wait("tail", |t| t == "tail 1\n");
    let delta = endpoint_event(2, false, &[drained.row("s-2", "in_service")]);
    let whole = endpoint_event(
        3,
        true,
        &[
            drained.row("s-2", "terminating"),
            new.row("s-3", "in_service"),
        ],
    );
    gateway.while_stopped(|| {
        gateway.write_discovery_address(&second);
        gateway.signal("HUP");
        // Both events are unread as the new configuration is loaded.
        first.send(&delta);
        first.send(&whole);
    });
    second
        .watch_requests
        .wait("tail", |t| t.starts_with("tail "));
    // The new service repeats both events, and the delta once more after the full list.
    second.send(&[delta.clone(), whole, delta.clone()].concat());
    gateway.log.wait("the new engine", |line| {
        is_event(line, "engine added", &[("id", "s-3")])
    });
    first.send(&delta);
    first.send(&endpoint_event(
        4,
        false,
        &[
            gone.row("s-1", "in_service"),
            drained.row("s-2", "in_service"),
        ],
    ));
    first.send(&endpoint_event(5, true, &[gone.row("s-1", "in_service")]));
    // The next event of the new service follows all of these.
    let next = FakeEngine::completing();
    second.send(&endpoint_event(4, false, &[next.row("s-4", "terminating")]));
    gateway.log.wait("the event behind it", |line| {
        is_event(line, "engine added", &[("id", "s-4")])
    });
    for req in 1..=8 {
        assert_eq!(
            Client::connect(&gateway).execute(&statement("load", req, STATEMENT_TIMEOUT_MS)),
            rows()
        );
    }
    assert_eq!(
        [&gone, &drained, &new, &next].map(FakeEngine::start_count),
        [0, 0, 8, 0]
    );
}

/// Each silent watch connection is closed after 2 s: six of them take over 12 s.
#[test]
fn a_drain_published_after_thirteen_seconds_of_silence_applies_to_a_pending_start() {
    let (listener, other) = (BlockedListener::start(), FakeEngine::completing());
    let endpoints = [
        row_at(listener.address, "s-1", "terminating", 0),
        other.row("s-2", "in_service"),
    ];
    let discovery_server = FakeDiscoveryServer::without_script();
    let gateway = start_gateway(
        &[row_at(listener.address, "s-1", "in_service", 0)],
        Some(&discovery_server),
        with_long_connect_timeout,
    );
    let began = Instant::now();
    let mut client = send_statement(&gateway, "load", 1, 3 * STATEMENT_TIMEOUT_MS);
    listener.wait_for_connection_attempt();
    discovery_server
        .watch_requests
        .wait_for_nth("the seventh time that it asks", 7, |t| t == "tail 1\n");
    assert!(
        began.elapsed() > Duration::from_secs(12),
        "{:?}",
        began.elapsed()
    );
    discovery_server.send(&endpoint_event(2, false, &endpoints));
    gateway.log.wait("the endpoint event", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
    let engine = FakeEngine::on_listener(listener.unblock(), respond_success);
    assert_eq!(client.read_answer(1), rows());
    assert_eq!(
        client.execute(&statement("lookup", 2, STATEMENT_TIMEOUT_MS)),
        rows()
    );
    assert_eq!((engine.start_count(), other.start_count()), (0, 2));
    engine
        .closed_connections
        .wait("close of the connection", |_| true);
}

// ---- engine responses ----

#[test]
fn an_answer_that_never_ends_holds_no_connection_slot() {
    let engine = FakeEngine::start(|call, n| match call.method.as_str() {
        "POST" => Reply::Response(
            "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 6000\r\n\r\na".into(),
        ),
        _ => respond_success(call, n),
    });
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let mut client = Client::connect(&gateway);
    for req in 1..=5 {
        assert_eq!(
            client.execute(&statement("load", req, STATEMENT_TIMEOUT_MS)),
            rows()
        );
        assert_eq!(start_count_of(&engine, req), 1);
    }
    engine
        .closed_connections
        .wait_for_nth("closes of the invalid connections", 5, |_| true);
}

/// Bytes that an engine sends as an idle connection is about to be reused.
#[test_case("HTTP/1.1 2"; "half a line")]
#[test_case(""; "its close")]
fn an_idle_connection_with_data_or_close_at_its_reuse_carries_no_start(bytes: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let said = EventLog::<(usize, String)>::new();
    let held = EventLog::<SharedStream>::new();
    let (saw, hold) = (said.clone(), held.clone());
    std::thread::spawn(move || {
        for (n, stream) in listener.incoming().flatten().enumerate() {
            let (saw, hold) = (saw.clone(), hold.clone());
            hold.push(SharedStream(std::sync::Arc::new(
                stream.try_clone().unwrap(),
            )));
            std::thread::spawn(move || {
                let mut stream = stream;
                let mut bytes = [0; 4096];
                while let Ok(length @ 1..) = stream.read(&mut bytes) {
                    let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
                    saw.push((n, text.clone()));
                    let Reply::Response(answer) = success_response("a\tb\tc\n") else {
                        return;
                    };
                    let unknown = "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n".to_owned();
                    let answer = if text.starts_with("POST") {
                        answer
                    } else {
                        unknown
                    };
                    stream.write_all(answer.as_bytes()).unwrap();
                }
            });
        }
    });
    let gateway = Gateway::start(&[row_at(address, "s-1", "in_service", 0)]);
    let mut client = Client::connect(&gateway);
    assert_eq!(
        client.execute(&statement("lookup", 1, STATEMENT_TIMEOUT_MS)),
        rows()
    );
    let kept = held.wait("connection", |_| true).0;
    gateway.while_stopped(|| {
        match bytes {
            "" => kept.shutdown(Shutdown::Write).unwrap(),
            _ => (&*kept).write_all(bytes.as_bytes()).unwrap(),
        }
        client.send(&query(&statement("lookup", 2, STATEMENT_TIMEOUT_MS)));
        std::thread::sleep(Duration::from_millis(30));
    });
    assert_eq!(client.read_answer(1), rows());
    let starts: Vec<usize> = said
        .all()
        .iter()
        .filter(|(_, t)| t.starts_with("POST"))
        .map(|(n, _)| *n)
        .collect();
    assert_eq!(
        starts,
        [0, 1],
        "each start is sent once, on a connection of its own"
    );
}

#[derive(Clone)]
struct SharedStream(std::sync::Arc<TcpStream>);
