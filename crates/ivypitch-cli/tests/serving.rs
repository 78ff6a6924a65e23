//! Runs a gateway process with clients, engines and a discovery service on loopback sockets.

use std::net::Shutdown;

use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;
use test_case::test_case;

fn rows(values: &[[&str; 3]]) -> Answer {
    Answer::Rows(
        values
            .iter()
            .map(|row| row.map(str::to_owned).to_vec())
            .collect(),
    )
}

fn endpoints_of(engine: &FakeEngine) -> Vec<String> {
    vec![engine.row("s-00c41f7a", "in_service")]
}

const OK: Answer = Answer::Rows(Vec::new());

#[test]
fn a_statement_is_passed_on_unchanged_and_all_its_pages_come_back_whole() {
    let engine =
        FakeEngine::start(
            |call, _| match (call.method.as_str(), call.path.rsplit('/').next()) {
                ("POST", _) => response(202, "Srv-Note: done\r\nFigure: 0.5\r\n", ""),
                ("GET", Some("0")) => response(
                    200,
                    "Page-Count: 3\r\nWork-Ms: 4\r\nPeak-Mb: 8\r\n",
                    "1\ta\t\n",
                ),
                ("GET", Some(page)) => response(
                    200,
                    &format!("Page-No: {page}\r\n"),
                    &format!("{page}\tx y\tz\n2\t2\t2\n"),
                ),
                _ => response(204, "", ""),
            },
        );
    let gateway = Gateway::start(&endpoints_of(&engine));
    let mut client = Client::connect(&gateway);
    let answer = client.execute(&statement("lookup", 0x9b1f, 5000));
    let expected = [
        ["1", "a", ""],
        ["1", "x y", "z"],
        ["2", "2", "2"],
        ["2", "x y", "z"],
        ["2", "2", "2"],
    ];
    assert_eq!(answer, rows(&expected));
    let start = engine.calls.wait("start", |c| c.has_method("POST"));
    assert_eq!(start.path, "/c");
    assert_eq!(start.body, "SELECT a FROM sales_17.orders");
    assert_eq!(start.header("Via-Id"), Some("0000000000009b1f"));
    assert_eq!(start.header("Via-Class"), Some("lookup"));
    assert_eq!(start.header("Rank"), Some("3"));
    let wait: u64 = start.header("Via-Wait").unwrap().parse().unwrap();
    assert!((1..=5000).contains(&wait), "{wait}");
    assert_eq!(client.ping(), OK);
}

#[test]
fn login_and_query_may_come_ahead_of_the_greeting_and_in_any_pieces() {
    let engine = FakeEngine::completing();
    let gateway = Gateway::start(&endpoints_of(&engine));
    let bytes = [login("app"), query(&statement("lookup", 1, 5000))].concat();
    let mut whole = Client::connect_without_login(&gateway);
    whole.send(&bytes);
    assert_eq!(whole.finish_login(), OK);
    assert_eq!(whole.read_answer(1), rows(&[["a", "b", "c"]]));
    let mut pieces = Client::connect_without_login(&gateway);
    pieces.stream.set_nodelay(true).unwrap();
    bytes.iter().for_each(|byte| pieces.send(&[*byte]));
    assert_eq!(pieces.finish_login(), OK);
    assert_eq!(pieces.read_answer(1), rows(&[["a", "b", "c"]]));
}

#[test]
fn a_result_of_48000_bytes_comes_whole() {
    let page = |_: &str| {
        format!(
            "{}\t{}\t{}\n",
            "a".repeat(300),
            "b".repeat(3000),
            "c".repeat(2697)
        )
    };
    let engine = FakeEngine::start(move |call, _| match call.path.rsplit('/').next() {
        Some(n) if call.has_method("GET") => response(200, &format!("Page-No: {n}\r\n"), &page(n)),
        _ => response(200, "Page-Count: 8\r\n", &page("0")),
    });
    let gateway = Gateway::start(&endpoints_of(&engine));
    let Answer::Rows(rows) = Client::connect(&gateway).execute(&statement("lookup", 1, 20000))
    else {
        panic!("no rows")
    };
    assert_eq!(
        rows.iter().flatten().map(|c| c.len() + 1).sum::<usize>(),
        48_000
    );
}

/// The response of an engine to the start, and the error code of the load, which must never run
/// twice.
#[test_case(500, "", "", 1105; "an error may have run")]
#[test_case(503, "Srv-Untouched: 1\r\n", "", 1203; "full never ran")]
#[test_case(503, "", "", 1105; "full without its proof")]
#[test_case(504, "Srv-Untouched: 1\r\n", "", 1203; "over before it ran")]
#[test_case(200, "Page-Count: 1\r\n", "a\tb\tc", 1105; "a row cut short")]
#[test_case(200, "Page-Count: 1\r\n", "a\tb\n", 1105; "a row without three columns")]
#[test_case(200, "Page-Count: 2\r\n", "a\tb\tc\n", 1105; "a page that is missing")]
#[test_case(200, "Page-Count: x\r\n", "a\tb\tc\n", 1105; "a page count that is no number")]
#[test_case(200, "Content-Length: 1\r\n", "a\tb\tc\n", 1105; "two lengths")]
#[test_case(200, "Transfer-Encoding: chunked\r\n", "a\tb\tc\n", 1105; "an encoding not understood")]
fn a_load_is_reported_as_rejected_only_if_the_response_proves_it_did_not_run(
    status: u16,
    headers: &'static str,
    body: &'static str,
    code: u16,
) {
    let engine = FakeEngine::start(move |call, _| match call.method.as_str() {
        "POST" => response(status, headers, body),
        "DELETE" => response(204, "", ""),
        _ => response(500, "", ""),
    });
    let gateway = Gateway::start(&endpoints_of(&engine));
    let mut client = Client::connect(&gateway);
    assert_eq!(
        client.execute(&statement("load", 1, 2500)).error_code(),
        code
    );
    if code == 1105 {
        assert_eq!(
            engine.start_count(),
            1,
            "it may have run, so it is not retried"
        );
    }
    assert_eq!(client.ping(), OK);
}

#[test]
fn a_load_whose_start_breaks_off_is_asked_for_and_not_started_again() {
    let engine = FakeEngine::start(|call, _| match call.method.as_str() {
        "POST" => Reply::Close,
        _ => success_response("a\tb\tc\n"),
    });
    let gateway = Gateway::start(&endpoints_of(&engine));
    assert_eq!(
        Client::connect(&gateway).execute(&statement("load", 1, 5000)),
        rows(&[["a", "b", "c"]])
    );
    assert_eq!(engine.start_count(), 1);
}

#[test]
fn a_refused_connection_rejects_the_statement_with_a_retry_after_time() {
    let (_held, address) = refusing_address();
    let engine = FakeEngine {
        address,
        calls: EventLog::new(),
        closed_connections: EventLog::new(),
    };
    let gateway = Gateway::start(&endpoints_of(&engine));
    let answer = Client::connect(&gateway).execute(&statement("load", 1, 2000));
    let Answer::Error(1203, text) = answer else {
        panic!("{answer:?}")
    };
    assert!(text.contains("holdoff=2000"), "{text}");
}

#[test_case("lookup", 1203; "an idempotent statement is rejected")]
#[test_case("load", 1105; "a load fails")]
fn a_statement_that_never_ends_is_cancelled_in_time_and_started_once(kind: &str, code: u16) {
    let engine = FakeEngine::never_completing();
    let gateway = Gateway::start(&endpoints_of(&engine));
    assert_eq!(
        Client::connect(&gateway)
            .execute(&statement(kind, 1, 400))
            .error_code(),
        code
    );
    engine.calls.wait("cancel", |c| {
        c.has_method("DELETE") && c.path == "/c/0000000000000001"
    });
    assert_eq!(engine.start_count(), 1);
}

#[test]
fn a_statement_on_a_silent_engine_is_answered_in_time() {
    let engine = FakeEngine::start(|_, _| Reply::NoResponse);
    let gateway = Gateway::start(&endpoints_of(&engine));
    assert_eq!(
        Client::connect(&gateway)
            .execute(&statement("load", 1, 400))
            .error_code(),
        1105
    );
}

#[test]
fn an_idempotent_statement_that_is_lost_runs_on_another_engine_after_the_first_gave_it_up() {
    let (silent, served) = (
        FakeEngine::start(|_, _| Reply::NoResponse),
        FakeEngine::completing(),
    );
    let list = [
        silent.row("s-1", "in_service"),
        served.row("s-2", "in_service"),
    ];
    let gateway = Gateway::start(&list);
    for req in 1..=8 {
        let answer = Client::connect(&gateway).execute(&statement("lookup", req, 20_000));
        assert_eq!(answer, rows(&[["a", "b", "c"]]));
    }
    let given_up = silent
        .calls
        .all()
        .iter()
        .filter(|c| c.has_method("DELETE"))
        .count();
    assert!(
        given_up >= silent.start_count(),
        "each started statement is cancelled"
    );
}

#[test]
fn kill_query_ends_the_statement_and_cancels_its_execution() {
    let engine = FakeEngine::never_completing();
    let gateway = Gateway::start(&endpoints_of(&engine));
    let (mut client, mut killer) = (Client::connect(&gateway), Client::connect(&gateway));
    client.send(&query(&statement("load", 1, 20_000)));
    engine.calls.wait("start", |c| c.has_method("POST"));
    assert_eq!(
        killer.execute(&format!("KILL QUERY {}", client.connection)),
        OK
    );
    assert_eq!(client.read_answer(1).error_code(), 1317);
    engine.calls.wait("cancel", |c| c.has_method("DELETE"));
    assert_eq!(client.ping(), OK);
}

#[test]
fn a_cancel_during_the_start_takes_effect_when_the_start_is_answered() {
    let killed = EventLog::<()>::new();
    let wait = killed.clone();
    let engine = FakeEngine::start(move |call, _| {
        if call.has_method("POST") {
            wait.wait("kill", |_| true);
        }
        response(if call.has_method("DELETE") { 204 } else { 202 }, "", "")
    });
    let gateway = Gateway::start(&endpoints_of(&engine));
    let (mut client, mut killer) = (Client::connect(&gateway), Client::connect(&gateway));
    client.send(&query(&statement("load", 1, 20_000)));
    engine.calls.wait("start", |c| c.has_method("POST"));
    assert_eq!(
        killer.execute(&format!("KILL QUERY {}", client.connection)),
        OK
    );
    assert_eq!(client.read_answer(1).error_code(), 1317);
    killed.push(());
    engine.calls.wait("cancel", |c| c.has_method("DELETE"));
}

#[test_case(|c| drop(c.stream.shutdown(Shutdown::Write)); "its half is closed")]
#[test_case(|c| c.send(&packet(0, &[1])); "it sends COM_QUIT")]
fn the_execution_of_a_client_that_leaves_is_cancelled(leave: fn(&mut Client)) {
    let engine = FakeEngine::never_completing();
    let gateway = Gateway::start(&endpoints_of(&engine));
    let mut client = Client::connect(&gateway);
    client.send(&query(&statement("lookup", 1, 20_000)));
    engine.calls.wait("start", |c| c.has_method("POST"));
    leave(&mut client);
    engine.calls.wait("cancel", |c| c.has_method("DELETE"));
}

#[test]
fn sigterm_serves_the_drain_period_answers_all_and_exits_with_0() {
    let engine = FakeEngine::never_completing();
    let mut gateway = Gateway::start(&endpoints_of(&engine));
    let mut client = Client::connect(&gateway);
    client.send(&query(&statement("lookup", 1, 20_000)));
    engine.calls.wait("start", |c| c.has_method("POST"));
    gateway.terminate();
    gateway.log.wait("drain period", |line| {
        is_event(
            line,
            "lifecycle phase changed",
            &[("from", "serving"), ("to", "draining")],
        )
    });
    let mut late = Client::connect(&gateway);
    assert_eq!(
        late.execute(&statement("load", 2, 20_000)).error_code(),
        1105
    );
    assert_eq!(client.read_answer(1).error_code(), 1203);
    assert_eq!(gateway.exit_code(), Some(0));
    gateway.log.wait("stop", |line| {
        is_event(
            line,
            "lifecycle phase changed",
            &[
                ("from", "finishing"),
                ("to", "stopped"),
                ("sessions", "2"),
                ("statements", "0"),
            ],
        )
    });
}

#[test]
fn a_gateway_that_was_killed_starts_again_at_its_address() {
    let engine = FakeEngine::completing();
    let mut gateway = Gateway::start(&endpoints_of(&engine));
    assert_eq!(
        Client::connect(&gateway).execute(&statement("lookup", 1, 5000)),
        rows(&[["a", "b", "c"]])
    );
    gateway.kill();
    let again = Gateway::start_with(
        &gateway.address.to_string(),
        &endpoints_of(&engine),
        None,
        1024,
    );
    assert_eq!(
        Client::connect(&again).execute(&statement("lookup", 2, 5000)),
        rows(&[["a", "b", "c"]])
    );
}

#[test]
fn the_watch_resumes_from_the_last_valid_position_after_broken_lines_and_gaps() {
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    let changed = [old.row("s-1", "terminating"), new.row("s-2", "in_service")];
    let discovery_server = FakeDiscoveryServer::start(&[
        format!(
            "{}{{\"pos\":3,",
            endpoint_event(2, false, &[new.row("s-2", "in_service")])
        ) + "\nbroken\n!",
        endpoint_event(5, false, &[old.row("s-1", "terminated")]),
        "{\"pos\":3,\"hosts!".into(),
        endpoint_event(3, false, &changed)
            + &endpoint_event(1, false, &[])
            + &endpoint_event(2, false, &[])
            + "3\n",
    ]);
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&discovery_server),
        1024,
    );
    gateway.log.wait("loss", |line| {
        is_event(line, "endpoint watch lost", &[("position", "2")])
    });
    gateway.log.wait("recovery", |line| {
        is_event(line, "endpoint watch resumed", &[("position", "3")])
    });
    assert_eq!(
        discovery_server.watch_requests.all()[..4],
        ["tail 1\n", "tail 2\n", "tail 2\n", "tail 2\n"]
    );
    let before = old.start_count();
    for req in 1..=20 {
        let answer = Client::connect(&gateway).execute(&statement("lookup", req, 5000));
        assert_eq!(answer, rows(&[["a", "b", "c"]]));
    }
    assert_eq!(
        old.start_count(),
        before,
        "a draining engine gets no new statements"
    );
}

#[test_case("SELECT a FROM sales_17.orders"; "no comment")]
#[test_case("/* kind=lookup,req=0000000000000001,timeout=100 SELECT a FROM sales_17.orders"; "no end of the comment")]
#[test_case("/* kind=nope,req=0000000000000001,timeout=100 */ SELECT a FROM sales_17.orders"; "unknown workload")]
#[test_case("/* kind=lookup,req=0000000000000001,timeout=100,owner=x */ SELECT a FROM sales_17.o"; "unknown customer")]
#[test_case("/* kind=lookup,req=00000000000000zz,timeout=100 */ SELECT a FROM sales_17.orders"; "id not hex")]
#[test_case("/* kind=lookup,req=1,timeout=100 */ SELECT a FROM sales_17.orders"; "id too short")]
#[test_case("/* kind=lookup,req=0000000000000001,timeout=0 */ SELECT a FROM sales_17.orders"; "no time")]
#[test_case("/* kind=lookup,req=0000000000000001,timeout=9e99 */ SELECT a FROM sales_17.orders"; "absurd time")]
#[test_case("/* kind=lookup,req=0000000000000001 */ SELECT a FROM sales_17.orders"; "time missing")]
#[test_case("/* kind=lookup,req=0000000000000001,timeout=100,ms=nan */ SELECT a FROM sales_17.o"; "estimate no number")]
#[test_case("/* kind=lookup,req=0000000000000001,timeout=100,ms=1e300 */ SELECT a FROM sales_17.o"; "absurd work")]
#[test_case("/* kind=lookup,req=0000000000000001,timeout=100,space=-1 */ SELECT a FROM sales_17.o"; "memory below zero")]
#[test_case("/* kind=lookup,req=0000000000000001,timeout=100,space=99999999 */ SELECT a FROM s_1.o"; "absurd memory")]
#[test_case("/* kind=lookup,kind=load,req=0000000000000001,timeout=100 */ SELECT a FROM s_1.o"; "a field twice")]
#[test_case("/* kind=lookup,req=0000000000000001,timeout=100 */ SELECT 'sales_17.orders' FROM x"; "group in a string")]
#[test_case("/* kind=lookup,req=0000000000000001,timeout=100 */ SELECT a FROM staging.orders"; "staging alone")]
#[test_case(""; "empty")]
fn an_invalid_statement_gets_an_error_reaches_no_engine_and_keeps_the_session(text: &str) {
    let engine = FakeEngine::completing();
    let gateway = Gateway::start(&endpoints_of(&engine));
    let mut client = Client::connect(&gateway);
    assert_eq!(client.execute(text).error_code(), 1064);
    client.send(&packet(0, &[0x16, 1, 2, 3]));
    assert_eq!(
        client.read_answer(1).error_code(),
        1047,
        "an unknown command"
    );
    assert_eq!(
        client.execute(&statement("lookup", 2, 5000)),
        rows(&[["a", "b", "c"]])
    );
    assert_eq!(engine.start_count(), 1);
}

#[test_case(&[0xff, 0xff, 0xff, 0, 3, 3, 3], 1835; "an oversized packet")]
#[test_case(&[0, 0, 0, 0], 1835; "an empty command")]
#[test_case(&query(&statement("lookup", 1, 5000)).repeat(300), 1156; "hundreds of statements at once")]
#[test_case(&[2, 0, 0, 0, 3], 0; "a message that never ends")]
fn a_protocol_violation_closes_only_its_own_session(bytes: &[u8], code: u16) {
    let engine = FakeEngine::completing();
    let gateway = Gateway::start(&endpoints_of(&engine));
    let mut broken = Client::connect(&gateway);
    broken.send(bytes);
    if code > 0 {
        assert_eq!(broken.read_answer(1).error_code(), code);
    }
    assert_eq!(broken.read_answer(1), Answer::Closed);
    let mut denied = Client::connect_without_login(&gateway);
    denied.send(&login("root"));
    assert_eq!(denied.finish_login().error_code(), 1045);
    assert_eq!(
        Client::connect(&gateway).execute(&statement("lookup", 1, 5000)),
        rows(&[["a", "b", "c"]])
    );
}

#[test]
fn a_session_above_the_session_limit_is_served() {
    let engine = FakeEngine::completing();
    // Sockets for 16 clients and 3 more that can be rejected.
    let gateway = Gateway::start_with("127.0.0.1:0", &endpoints_of(&engine), None, 48);
    let mut clients: Vec<Client> = (0..19).map(|_| Client::connect(&gateway)).collect();
    let last = clients.last_mut().unwrap();
    assert_eq!(
        last.execute(&statement("lookup", 1, 5000)),
        rows(&[["a", "b", "c"]])
    );
}

#[test]
fn silent_sessions_are_closed_and_active_clients_served() {
    let crowd_is_there = EventLog::<()>::new();
    let wait = crowd_is_there.clone();
    let engine = FakeEngine::start(move |call, _| {
        if call.header("Via-Id") == Some("0000000000000001") {
            wait.wait("crowd", |_| true);
        }
        success_response("a\tb\tc\n")
    });
    // Sockets for 16 clients and 3 more that can be rejected.
    let gateway = Gateway::start_with("127.0.0.1:0", &endpoints_of(&engine), None, 48);
    let mut usual = Client::connect(&gateway);
    usual.send(&query(&statement("lookup", 1, 20_000)));
    engine.calls.wait("start", |c| c.has_method("POST"));
    let mut crowd: Vec<Client> = (0..200)
        .map(|_| Client::connect_without_login(&gateway))
        .collect();
    for req in 2..=20 {
        let answer = Client::connect(&gateway).execute(&statement("lookup", req, 5000));
        assert_eq!(answer, rows(&[["a", "b", "c"]]));
    }
    // A session with an open statement is not closed.
    crowd_is_there.push(());
    assert_eq!(usual.read_answer(1), rows(&[["a", "b", "c"]]));
    for silent in &mut crowd {
        while silent.read_packet().is_some() {}
    }
}

#[test]
fn the_id_of_an_open_statement_is_not_taken_twice() {
    let engine = FakeEngine::never_completing();
    let gateway = Gateway::start(&endpoints_of(&engine));
    let (mut client, mut other) = (Client::connect(&gateway), Client::connect(&gateway));
    client.send(&query(&statement("load", 1, 20_000)));
    engine.calls.wait("start", |c| c.has_method("POST"));
    assert_eq!(
        other.execute(&statement("lookup", 1, 5000)).error_code(),
        1062
    );
    assert_eq!(engine.start_count(), 1);
    assert_eq!(
        other.execute(&format!("KILL QUERY {}", client.connection)),
        OK
    );
    assert_eq!(client.read_answer(1).error_code(), 1317);
}

/// The first answer to each call is invalid; the result is still complete, and the load runs once.
#[test_case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n{}"; "1xx answers in front")]
#[test_case("{}{}"; "a second copy")]
#[test_case("{}\u{1}noise"; "noise behind")]
#[test_case("noise without end"; "noise")]
#[test_case("HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 3000000000\r\n\r\na\tb\tc\n"; "3 GB")]
#[test_case("HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\nd\te\tf\n"; "a length too short")]
#[test_case("HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 9\r\n\r\na\tb\t"; "cut short, the connection open")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\na\tb\tc\n"; "no count of pages")]
#[test_case("HTTP/1.1 204 No Content\r\n\r\n"; "no answer to this")]
#[test_case("!"; "a reset")]
#[test_case(""; "silence")]
fn an_invalid_answer_is_requested_again_and_never_served(invalid_response: &'static str) {
    let answered = std::sync::Mutex::new(std::collections::HashSet::new());
    let engine = FakeEngine::start(move |call, _| {
        let (status, headers, body) = match call.path.rsplit('/').next() {
            Some("1") => (200, "Page-No: 1\r\n", "d\te\tf\n"),
            _ => (200, "Page-Count: 2\r\n", "a\tb\tc\n"),
        };
        let Reply::Response(good) = response(status, headers, body) else {
            panic!()
        };
        match invalid_response {
            _ if !answered
                .lock()
                .unwrap()
                .insert((call.method.clone(), call.path.clone())) =>
            {
                Reply::Response(good)
            }
            "!" => Reply::Close,
            "" => Reply::NoResponse,
            _ => Reply::Response(invalid_response.replace("{}", &good)),
        }
    });
    let gateway = Gateway::start(&endpoints_of(&engine));
    let answer = Client::connect(&gateway).execute(&statement("load", 1, 20_000));
    assert_eq!(answer, rows(&[["a", "b", "c"], ["d", "e", "f"]]));
    assert_eq!(engine.start_count(), 1);
}

#[test]
fn an_engine_that_answers_for_what_it_cannot_know_has_no_connection_kept() {
    let engine = FakeEngine::completing();
    let gateway = Gateway::start(&endpoints_of(&engine));
    let mut client = Client::connect(&gateway);
    for req in 1..=5 {
        assert_eq!(
            client.execute(&statement("lookup", req, 5000)),
            rows(&[["a", "b", "c"]])
        );
    }
    let calls = engine.calls.all();
    let carried = |c: usize| {
        calls
            .iter()
            .filter(|call| call.connection == c && call.has_method("POST"))
            .count()
    };
    assert!((0..5).all(|connection| carried(connection) == 1));
}

#[test]
fn an_execution_at_an_engine_whose_address_passes_to_another_ends_as_the_answers_prove() {
    let (engine, later) = (
        FakeEngine::start(|_, _| Reply::NoResponse),
        FakeEngine::completing(),
    );
    let there = |id: &str, state: &str| engine.row(id, state);
    let discovery_server = FakeDiscoveryServer::start(&[endpoint_event(
        2,
        false,
        &[
            there("s-1", "terminated"),
            there("s-2", "in_service"),
            later.row("s-3", "in_service"),
        ],
    )]);
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[there("s-1", "in_service")],
        Some(&discovery_server),
        1024,
    );
    let mut client = Client::connect(&gateway);
    client.send(&query(&statement("lookup", 1, 20_000)));
    assert_eq!(client.read_answer(1), rows(&[["a", "b", "c"]]));
    gateway.log.wait("the new engine", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
}

#[test]
fn the_engine_table_reuses_the_slots_of_removed_engines() {
    let engine = FakeEngine::completing();
    let id = |n: u64| format!("s-{n}");
    let events = (2..2000).map(|n| {
        endpoint_event(
            n,
            false,
            &[
                engine.row(&id(n - 1), "terminated"),
                engine.row(&id(n), "in_service"),
            ],
        )
    });
    let discovery_server = FakeDiscoveryServer::start(&[events.collect::<String>()]);
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[engine.row("s-1", "in_service")],
        Some(&discovery_server),
        1024,
    );
    let last = gateway.log.wait("the last engine", |line| {
        is_event(line, "engine added", &[("id", "s-1999")])
    });
    assert!(
        ["0", "1"]
            .iter()
            .any(|index| is_event(&last, "engine added", &[("engine", index)])),
        "{last}"
    );
    assert_eq!(
        Client::connect(&gateway).execute(&statement("lookup", 1, 5000)),
        rows(&[["a", "b", "c"]])
    );
}

#[test]
fn a_repeated_event_is_passed_over_and_its_connection_kept() {
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    let third = [old.row("s-1", "terminated"), new.row("s-3", "in_service")];
    let twice = endpoint_event(2, false, &[new.row("s-2", "in_service")]).repeat(2);
    let discovery_server = FakeDiscoveryServer::start(&[twice
        + &endpoint_event(3, false, &third)
        + &endpoint_event(2, false, &[])]);
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&discovery_server),
        1024,
    );
    gateway.log.wait("the last engine", |line| {
        is_event(line, "engine added", &[("id", "s-3")])
    });
    // The test server is silent after its script, and the watch is opened again; it is lost for no
    // other reason.
    let lost = gateway
        .log
        .wait("loss", |line| line.contains("endpoint watch lost"));
    let fields = [("position", "3"), ("reason", "silent")];
    assert!(is_event(&lost, "endpoint watch lost", &fields), "{lost}");
    discovery_server
        .watch_requests
        .wait("the next watch request", |t| t == "tail 3\n");
}

#[test]
fn a_cancel_with_an_invalid_answer_is_repeated() {
    let engine = FakeEngine::start(|call, _| match call.method.as_str() {
        "DELETE" => Reply::Response("noise\r\n\r\n".into()),
        _ => response(202, "", ""),
    });
    let gateway = Gateway::start(&endpoints_of(&engine));
    assert_eq!(
        Client::connect(&gateway)
            .execute(&statement("load", 1, 400))
            .error_code(),
        1105
    );
    engine
        .calls
        .wait_for_nth("cancels", 2, |c| c.has_method("DELETE"));
}

#[test]
fn a_reload_watches_discovery_at_its_new_address_from_the_same_position() {
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    let first = FakeDiscoveryServer::start(&[
        endpoint_event(1, false, &[]) + &endpoint_event(2, false, &[])
    ]);
    let second = FakeDiscoveryServer::start(&[endpoint_event(
        3,
        false,
        &[old.row("s-1", "terminated"), new.row("s-2", "in_service")],
    )]);
    let mut gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&first),
        1024,
    );
    first.watch_requests.wait("tail", |t| t == "tail 1\n");
    gateway.write_config("{ half");
    gateway.signal("HUP");
    gateway.log.wait("a reload that changes nothing", |line| {
        line.contains("configuration not reloaded")
    });
    gateway.write_discovery_address(&second);
    gateway.signal("HUP");
    second
        .watch_requests
        .wait("tail", |t| t == "tail 2\n" || t == "tail 1\n");
    gateway.log.wait("the new engine", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
    assert_eq!(
        Client::connect(&gateway).execute(&statement("lookup", 1, 5000)),
        rows(&[["a", "b", "c"]])
    );
    assert_eq!((old.start_count(), new.start_count()), (0, 1));
    gateway.signal("HUP");
    gateway.terminate();
    gateway.log.wait("drain period", |line| {
        is_event(
            line,
            "lifecycle phase changed",
            &[("from", "serving"), ("to", "draining")],
        )
    });
    gateway.signal("HUP");
    assert_eq!(gateway.exit_code(), Some(0));
}

#[test_case("{", "EOF"; "no JSON")]
#[test_case(r#"{"listen":"nowhere","settings":{}}"#, "listen"; "no address")]
#[test_case(r#"{"listen":"127.0.0.1:0","settings":{}}"#, "settings"; "no settings")]
fn a_configuration_that_cannot_be_used_ends_the_program_with_one_line(config: &str, word: &str) {
    let (mut child, log, _) = spawn_gateway(config);
    assert_eq!(child.wait().unwrap().code(), Some(1));
    let line = log.wait("line", |_| true);
    assert!(line.contains("ERROR") && line.contains(word), "{line}");
    assert_eq!(log.all().len(), 1);
}
