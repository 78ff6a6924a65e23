//! Rules that are checked again as a request is written.

use std::time::{Duration, Instant};

use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;
use test_case::test_case;

use super::common::{
    STATEMENT_TIMEOUT_MS, id_of, respond_success, rows, send_statement, start_count_of,
    start_gateway, with_deduplication_window, with_long_connect_timeout,
};

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
