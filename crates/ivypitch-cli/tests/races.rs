//! Two events that cross, over real connections, in the bad order each time: a stand-in holds the dial, the byte or the
//! answer until it is told, or the gateway's process is stopped while both happen, so that it meets them at once.
//! `docs/races.md` lists the pairs.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use ivypitch_gateway::log_events::ACCEPT_FAILED;
use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;
use test_case::test_case;

const LONG: u64 = 20_000;

fn served(call: &Call, _: usize) -> Reply {
    if call.has_method("DELETE") {
        response(204, "", "")
    } else {
        success_response("a\tb\tc\n")
    }
}

fn rows() -> Answer {
    Answer::Rows(vec![["a", "b", "c"].map(str::to_owned).to_vec()])
}

/// Dials may take as long as a test holds them.
fn patient(config: String) -> String {
    config.replace(
        "\"connect-timeout-ns\":250000000",
        "\"connect-timeout-ns\":30000000000",
    )
}

/// Loads may be sent again within this window of milliseconds.
fn deduplicated(config: String, window_ms: u64) -> String {
    let window = format!(
        "\"effect\":\"keyed\",\"window-ns\":{}",
        window_ms * 1_000_000
    );
    config.replace("\"effect\":\"unsafe\"", &window)
}

/// A gateway that follows this journal.
fn gateway_with(
    rows: &[String],
    journal: Option<&FakeDiscoveryServer>,
    change: impl Fn(String) -> String,
) -> Gateway {
    Gateway::start_with_config(change(configuration("127.0.0.1:0", rows, journal, 1024)))
}

fn asked(gateway: &Gateway, kind: &str, req: u64, timeout_ms: u64) -> Client {
    let mut client = Client::connect(gateway);
    client.send(&query(&statement(kind, req, timeout_ms)));
    client
}

fn starts_of(engine: &FakeEngine, req: u64) -> usize {
    let id = format!("{req:016x}");
    engine
        .calls
        .all()
        .iter()
        .filter(|c| c.has_method("POST") && c.header("Via-Id") == Some(&id))
        .count()
}

// ---- a start against a client that has gone ----

#[test_case(|c| drop(c.stream.shutdown(Shutdown::Both)); "it closes")]
#[test_case(|c| drop(c.stream.shutdown(Shutdown::Write)); "it closes its half")]
#[test_case(|c| c.send(&packet(0, &[1])); "it quits")]
#[test_case(|c| c.send(&[1, 0]); "it begins to quit")]
fn a_dial_that_comes_up_as_its_client_goes_carries_no_start(leave: fn(&mut Client)) {
    let door = BlockedListener::start();
    let gateway = gateway_with(
        &[row_at(door.address, "s-1", "in_service", 0)],
        None,
        patient,
    );
    let mut client = asked(&gateway, "load", 1, LONG);
    door.wait_for_connection_attempt();
    let engine = gateway.while_stopped(|| {
        leave(&mut client);
        FakeEngine::on_listener(door.unblock(), served)
    });
    engine
        .closed_connections
        .wait("end of the dial that nobody wants", |_| true);
    assert_eq!(engine.calls.all().len(), 0, "nothing was said on it");
    assert_eq!(
        Client::connect(&gateway).execute(&statement("load", 2, LONG)),
        rows()
    );
    assert_eq!((engine.start_count(), starts_of(&engine, 1)), (1, 0));
}

#[test]
fn a_dial_that_comes_up_as_its_statement_is_killed_carries_no_start() {
    let door = BlockedListener::start();
    let gateway = gateway_with(
        &[row_at(door.address, "s-1", "in_service", 0)],
        None,
        patient,
    );
    let mut client = asked(&gateway, "load", 1, LONG);
    let mut killer = Client::connect(&gateway);
    door.wait_for_connection_attempt();
    assert_eq!(
        killer.execute(&format!("KILL QUERY {}", client.connection)),
        Answer::Rows(vec![])
    );
    let engine = gateway.while_stopped(|| FakeEngine::on_listener(door.unblock(), served));
    assert_eq!(client.read_answer(1).error_code(), 1317);
    assert_eq!(killer.execute(&statement("load", 2, LONG)), rows());
    assert_eq!(starts_of(&engine, 1), 0);
}

#[test]
fn a_place_that_comes_free_as_its_waiter_goes_carries_no_start() {
    let (engine, end) = held_engine();
    // One connection to all engines.
    let rows_of = [engine.row("s-1", "in_service")];
    let config = configuration("127.0.0.1:0", &rows_of, None, 72).replace("30000000000", "0");
    let gateway = Gateway::start_with_config(config);
    let mut first = asked(&gateway, "load", 1, LONG);
    engine.calls.wait("start", |c| c.has_method("POST"));
    let mut second = asked(&gateway, "lookup", 2, LONG);
    let mut other = Client::connect(&gateway);
    wait_until_read(&second.stream);
    assert_eq!(other.ping(), Answer::Rows(vec![]));
    gateway.while_stopped(|| {
        second.send(&packet(0, &[1]));
        end.push(());
    });
    assert_eq!(first.read_answer(1), rows());
    assert_eq!(other.execute(&statement("load", 3, LONG)), rows());
    assert_eq!(starts_of(&engine, 2), 0);
}

/// A client that has only just been let in asks, and the word to kill that is there too, on a session that was there
/// before or with its own login: the word is not taken before what it is about.
#[test_case(true; "by one that was there")]
#[test_case(false; "by one that comes with it")]
fn a_kill_right_behind_an_accept_finds_its_statement(there: bool) {
    let engine = FakeEngine::never_completing();
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    for req in 1..=20 {
        let mut killer = there.then(|| Client::connect(&gateway));
        let mut client = Client::connect_without_login(&gateway);
        client.read_greeting();
        let text = query(&format!("KILL QUERY {}", client.connection));
        let mut killer = gateway.while_stopped(|| {
            client.send(&[login("app"), query(&statement("load", req, LONG))].concat());
            let mut killer = killer
                .take()
                .unwrap_or_else(|| Client::connect_without_login(&gateway));
            killer.send(&if there {
                text
            } else {
                [login("app"), text].concat()
            });
            killer
        });
        if !there {
            assert_eq!(killer.finish_login(), Answer::Rows(vec![]));
        }
        assert_eq!(killer.read_answer(1), Answer::Rows(vec![]));
        assert_eq!(client.read_answer(2), Answer::Rows(vec![]));
        assert_eq!(
            client.read_answer(1).error_code(),
            1317,
            "the kill of {req}"
        );
        assert!(starts_of(&engine, req) <= 1);
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
fn a_kill_right_by_an_engines_accept_ends_the_query_there(behind: bool) {
    let accept = EventLog::<()>::new();
    let wait = accept.clone();
    let engine = FakeEngine::start(move |call, n| {
        if !call.has_method("DELETE") && id_of(call) == 1 {
            wait.wait("word to accept", |_| true);
            return response(202, "", "");
        }
        served(call, n)
    });
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let mut client = asked(&gateway, "load", 1, LONG);
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
    engine.calls.wait("the word to give it up", |c| {
        c.has_method("DELETE") && id_of(c) == 1
    });
    assert_eq!(client.execute(&statement("load", 2, LONG)), rows());
    assert_eq!((engine.start_count(), starts_of(&engine, 1)), (2, 1));
}

// ---- the other rules, as the bytes leave ----

#[test_case("terminating"; "it begins to drain")]
#[test_case("terminated"; "it is gone")]
fn an_engine_that_the_list_takes_away_during_the_dial_gets_no_start(state: &str) {
    let (door, other) = (BlockedListener::start(), FakeEngine::completing());
    let news = [
        row_at(door.address, "s-1", state, 0),
        other.row("s-2", "in_service"),
    ];
    let journal = FakeDiscoveryServer::without_script();
    let gateway = gateway_with(
        &[row_at(door.address, "s-1", "in_service", 0)],
        Some(&journal),
        patient,
    );
    let mut client = asked(&gateway, "load", 1, LONG);
    door.wait_for_connection_attempt();
    journal.send(&endpoint_event(2, false, &news));
    gateway.log.wait("the news", |l| {
        is_event(l, "engine added", &[("id", "s-2")])
    });
    let engine = FakeEngine::on_listener(door.unblock(), served);
    assert_eq!(
        client.read_answer(1),
        rows(),
        "a load that never left is harmless to send elsewhere"
    );
    assert_eq!((engine.start_count(), other.start_count()), (0, 1));
    engine.closed_connections.wait("end of the dial", |_| true);
}

#[test]
fn a_dial_to_where_its_engine_no_longer_is_carries_nothing() {
    let (door, moved, other) = (
        BlockedListener::start(),
        FakeEngine::completing(),
        FakeEngine::never_completing(),
    );
    let news = [
        moved.row("s-1", "in_service"),
        other.row("s-2", "terminating"),
    ];
    let journal = FakeDiscoveryServer::without_script();
    let gateway = gateway_with(
        &[row_at(door.address, "s-1", "in_service", 0)],
        Some(&journal),
        patient,
    );
    let mut client = asked(&gateway, "load", 1, LONG);
    door.wait_for_connection_attempt();
    journal.send(&endpoint_event(2, false, &news));
    gateway.log.wait("the news", |l| {
        is_event(l, "engine added", &[("id", "s-2")])
    });
    let engine = FakeEngine::on_listener(door.unblock(), served);
    assert_eq!(client.read_answer(1), rows());
    engine.closed_connections.wait("end of the dial", |_| true);
    assert_eq!((engine.start_count(), moved.start_count()), (0, 1));
}

#[test]
fn a_window_of_repeats_that_closes_during_the_dial_is_closed_for_its_bytes() {
    let (door, listed) = (BlockedListener::start(), EventLog::<()>::new());
    let wait = listed.clone();
    // It takes the start, and knows nothing of it once the test has gone on.
    let first = FakeEngine::start(move |call, _| {
        wait.wait("list", |_| true);
        if call.has_method("DELETE") {
            response(204, "", "")
        } else {
            response(500, "", "")
        }
    });
    let journal = FakeDiscoveryServer::without_script();
    let one = [first.row("s-1", "in_service")];
    let gateway = gateway_with(&one, Some(&journal), |config| {
        deduplicated(patient(config), 1500)
    });
    let sent = Instant::now();
    let mut client = asked(&gateway, "load", 1, LONG);
    first.calls.wait("start", |c| c.has_method("POST"));
    let news = [
        first.row("s-1", "terminating"),
        row_at(door.address, "s-2", "in_service", 0),
    ];
    journal.send(&endpoint_event(2, false, &news));
    gateway.log.wait("the news", |l| {
        is_event(l, "engine added", &[("id", "s-2")])
    });
    listed.push(());
    door.wait_for_connection_attempt();
    wait_until("the end of the window", || {
        sent.elapsed() > Duration::from_millis(1600)
    });
    let second = FakeEngine::on_listener(door.unblock(), served);
    assert_eq!(
        client.read_answer(1).error_code(),
        1203,
        "engines drop repeats, so it is harmless to ask for it later"
    );
    second.closed_connections.wait("end of the dial", |_| true);
    assert_eq!((first.start_count(), second.start_count()), (1, 0));
}

#[test]
fn a_repeat_within_its_window_carries_the_same_mark_and_key() {
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
    let gateway = gateway_with(&list, None, |config| deduplicated(config, 20_000));
    let mut client = Client::connect(&gateway);
    // The first that meets the failing engine is told all.
    for req in 1.. {
        let text = statement("load", req, LONG)
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
    let bad = statement("load", 9000, LONG).replace(" */", ",opkey=a\u{1}b */");
    assert_eq!(
        client.execute(&bad).error_code(),
        1064,
        "what can't go on as it is, goes nowhere"
    );
}

#[test]
fn statements_of_one_key_go_out_one_at_a_time_in_the_order_taken() {
    let ended = EventLog::<u64>::new();
    let over = ended.clone();
    let engine = FakeEngine::start(move |call, n| {
        match call.has_method("DELETE") || over.all().contains(&id_of(call)) {
            true => served(call, n),
            false => response(202, "", ""),
        }
    });
    let ordered = |config: String| {
        config.replace(
            "\"effect\":\"unsafe\"",
            "\"effect\":\"unsafe\",\"keep-order\":true",
        )
    };
    let gateway = gateway_with(&[engine.row("s-1", "in_service")], None, ordered);
    // Each on tables of its own: loads of one group wait for each other anyway.
    let keyed = |req: u64, key: &str| {
        let text = statement("load", req, LONG).replace(" */", &format!(",subject={key} */"));
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
        starts_of(&engine, 2),
        0,
        "its key is taken; another key is not"
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

// ---- the end of the program ----

/// An engine whose first statement ends when it is told to: it keeps a gateway in its last phase.
fn held_engine() -> (FakeEngine, EventLog<()>) {
    let end = EventLog::<()>::new();
    let over = end.clone();
    let engine = FakeEngine::start(move |call, n| {
        let is_held = !call.has_method("DELETE") && id_of(call) == 1 && over.all().is_empty();
        if is_held {
            response(202, "", "")
        } else {
            served(call, n)
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

/// In its last phase, with a statement open.
fn finishing(engine: &FakeEngine) -> (Gateway, Client) {
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let client = asked(&gateway, "load", 1, LONG);
    engine.calls.wait("start", |c| c.has_method("POST"));
    gateway.terminate();
    gateway.log.wait("last phase", |l| {
        is_event(
            l,
            "lifecycle phase changed",
            &[("from", "draining"), ("to", "finishing")],
        )
    });
    (gateway, client)
}

#[test]
fn who_comes_after_the_overlap_is_refused_and_never_sent_on() {
    let (engine, end) = held_engine();
    let (mut gateway, mut open) = finishing(&engine);
    // Login and statement at once, as clients may.
    let mut late = Client::connect_without_login(&gateway);
    late.send(&[login("app"), query(&statement("lookup", 2, LONG))].concat());
    assert_eq!(late.finish_login(), Answer::Rows(vec![]));
    assert_eq!(late.read_answer(1).error_code(), 1203);
    assert_eq!(late.read_answer(1), Answer::Closed);
    // A statement that is open may still be called back.
    let mut killer = Client::connect(&gateway);
    assert_eq!(
        killer.execute(&format!("KILL QUERY {}", open.connection)),
        Answer::Rows(vec![])
    );
    assert_eq!(open.read_answer(1).error_code(), 1317);
    end.push(());
    assert_eq!(gateway.exit_code(), Some(0));
    assert_eq!((engine.start_count(), starts_of(&engine, 2)), (1, 0));
}

#[test]
fn a_command_that_is_half_read_as_the_overlap_ends_is_refused_and_not_reset() {
    let engine = FakeEngine::completing();
    let mut gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let mut client = Client::connect(&gateway);
    assert_eq!(client.execute(&statement("lookup", 1, LONG)), rows());
    let whole = query(&statement("lookup", 2, LONG));
    client.send(&whole[..40]);
    gateway.terminate();
    gateway.log.wait("last phase", |l| {
        is_event(
            l,
            "lifecycle phase changed",
            &[("from", "draining"), ("to", "finishing")],
        )
    });
    client.send(&whole[40..]);
    assert_eq!(client.read_answer(1).error_code(), 1203);
    assert_eq!(client.read_answer(1), Answer::Closed);
    assert_eq!(gateway.exit_code(), Some(0));
    assert_eq!(starts_of(&engine, 2), 0);
}

#[test]
fn a_request_that_arrives_in_the_moment_of_the_end_is_answered() {
    let engine = FakeEngine::completing();
    let mut gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let mut clients: Vec<Client> = (0..12).map(|_| Client::connect(&gateway)).collect();
    let mut bare: Vec<Client> = Vec::new();
    for (req, client) in (1..).zip(&mut clients) {
        assert_eq!(client.execute(&statement("lookup", req, LONG)), rows());
    }
    gateway.terminate();
    gateway.log.wait("overlap", |l| {
        is_event(
            l,
            "lifecycle phase changed",
            &[("from", "serving"), ("to", "draining")],
        )
    });
    let began = Instant::now();
    gateway.while_stopped(|| {
        // All that happens in the rest of the overlap is met together with its end.
        for (req, client) in (101..).zip(&mut clients) {
            client.send(&query(&statement("lookup", req, LONG)));
        }
        for req in 201..206 {
            let mut client = Client::connect_without_login(&gateway);
            client.send(&[login("app"), query(&statement("lookup", req, LONG))].concat());
            bare.push(client);
        }
        wait_until("the end of the overlap", || {
            began.elapsed() > Duration::from_millis(800)
        });
    });
    let served = |answer: Answer| answer == rows() || answer.error_code() == 1203;
    for client in &mut clients {
        assert!(served(client.read_answer(1)), "one that rested");
    }
    for client in &mut bare {
        assert_eq!(client.finish_login(), Answer::Rows(vec![]));
        assert!(served(client.read_answer(1)), "one that had just come");
    }
    assert_eq!(gateway.exit_code(), Some(0));
}

/// All but the microseconds between the last look at the queue and the close of the listener.
#[test]
fn who_waits_in_the_queue_as_the_last_session_closes_is_told() {
    let end = EventLog::<()>::new();
    let wait = end.clone();
    let engine = FakeEngine::start(move |call, n| {
        if call.has_method("GET") {
            wait.wait("word to end", |_| true);
        }
        if call.has_method("POST") {
            response(202, "", "")
        } else {
            served(call, n)
        }
    });
    let (mut gateway, mut open) = finishing(&engine);
    engine
        .calls
        .wait("the question that is answered with the end", |c| {
            c.has_method("GET")
        });
    let mut late: Vec<Client> = gateway.while_stopped(|| {
        end.push(());
        let one = |req| {
            let mut client = Client::connect_without_login(&gateway);
            client.send(&[login("app"), query(&statement("lookup", req, LONG))].concat());
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
fn a_session_that_rests_ends_in_order_and_bytes_that_cross_reset_nothing() {
    let (engine, end) = held_engine();
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let mut resting: Vec<Client> = (0..4).map(|_| Client::connect(&gateway)).collect();
    let mut open = asked(&gateway, "lookup", 1, LONG);
    engine.calls.wait("start", |c| c.has_method("POST"));
    gateway.terminate();
    gateway.log.wait("last phase", |l| {
        is_event(
            l,
            "lifecycle phase changed",
            &[("from", "draining"), ("to", "finishing")],
        )
    });
    // The gateway's half is closed; what crosses is read and dropped, and never sent on.
    for client in &mut resting {
        assert_eq!(client.read_answer(1), Answer::Closed);
        client
            .stream
            .write_all(&query(&statement("lookup", 9, LONG)))
            .unwrap();
        assert_eq!(client.stream.read(&mut [0]).unwrap(), 0, "no reset");
    }
    end.push(());
    assert_eq!(open.read_answer(1), rows());
    assert_eq!(starts_of(&engine, 9), 0);
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
            wait.wait("word to end", |_| true);
            response(200, "Page-Count: 8\r\n", &page("0"))
        }
    });
    let mut gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let mut client = asked(&gateway, "lookup", 1, LONG);
    engine.calls.wait("start", |c| c.has_method("POST"));
    gateway.terminate();
    gateway.log.wait("last phase", |l| {
        is_event(
            l,
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
    let (engine, end) = held_engine();
    let (mut gateway, mut open) = finishing(&engine);
    for signal in ["TERM", "HUP", "INT", "TERM"] {
        gateway.signal(signal);
    }
    gateway.log.wait("reload", |l| {
        ["configuration reloaded", "configuration not reloaded"]
            .iter()
            .any(|event| is_event(l, event, &[("phase", "finishing")]))
    });
    end.push(());
    assert_eq!(open.read_answer(1), rows());
    assert_eq!(gateway.exit_code(), Some(0));
}

#[test]
fn a_second_start_waits_for_the_address_of_the_one_that_ends() {
    let (engine, end) = held_engine();
    let (mut gateway, mut open) = finishing(&engine);
    let config = configuration(
        &gateway.address.to_string(),
        &[engine.row("s-1", "in_service")],
        None,
        1024,
    );
    let (mut child, log, _) = spawn_gateway(&config);
    log.wait("its wait", |l| {
        l.contains("listen address is in use, retrying")
    });
    end.push(());
    assert_eq!(open.read_answer(1), rows());
    assert_eq!(gateway.exit_code(), Some(0));
    log.wait("its start", |l| {
        is_event(
            l,
            "lifecycle phase changed",
            &[("from", "starting"), ("to", "serving")],
        )
    });
    assert_eq!(
        Client::connect(&gateway).execute(&statement("lookup", 2, LONG)),
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
    log.wait("its wait", |l| {
        l.contains("listen address is in use, retrying")
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

// ---- room for others ----

/// 16 clients and 3 more that may be told.
const FEW: usize = 48;

#[test]
fn a_session_whose_next_request_is_there_is_not_closed_for_another() {
    let engine = FakeEngine::completing();
    let gateway = Gateway::start_with("127.0.0.1:0", &[engine.row("s-1", "in_service")], None, FEW);
    let mut clients: Vec<Client> = (0..19).map(|_| Client::connect(&gateway)).collect();
    for (req, client) in (1..).zip(&mut clients) {
        assert_eq!(client.execute(&statement("lookup", req, LONG)), rows());
    }
    // The six that have rested longest ask again as as many others come.
    let mut others = gateway.while_stopped(|| {
        let others: Vec<Client> = (0..6)
            .map(|_| Client::connect_without_login(&gateway))
            .collect();
        for (req, client) in (101..107).zip(&mut clients) {
            client.send(&query(&statement("lookup", req, LONG)));
        }
        others
    });
    for client in &mut clients[..6] {
        assert_eq!(client.read_answer(1), rows());
    }
    for (req, other) in (201..).zip(&mut others) {
        other.send(&[login("app"), query(&statement("lookup", req, LONG))].concat());
        assert_eq!(other.finish_login(), Answer::Rows(vec![]));
        assert_eq!(other.read_answer(1), rows());
    }
}

#[test]
fn a_session_closed_for_another_has_its_last_answer_whole_and_no_reset() {
    let engine = FakeEngine::completing();
    let gateway = Gateway::start_with("127.0.0.1:0", &[engine.row("s-1", "in_service")], None, FEW);
    let mut first = Client::connect(&gateway);
    first.send(&query(&statement("lookup", 1, LONG)));
    engine.calls.wait("start", |c| c.has_method("POST"));
    // Its answer is there and not read.
    wait_until("the answer", || {
        first.stream.peek(&mut [0; 200]).is_ok_and(|n| n > 100)
    });
    let crowd: Vec<Client> = (0..19).map(|_| Client::connect(&gateway)).collect();
    // What crosses the close resets nothing either.
    assert_eq!(first.read_answer(1), rows());
    assert_eq!(first.read_answer(1), Answer::Closed);
    first
        .stream
        .write_all(&query(&statement("lookup", 9, LONG)))
        .unwrap();
    assert_eq!(first.stream.read(&mut [0]).unwrap(), 0, "no reset");
    assert_eq!(starts_of(&engine, 9), 0);
    drop(crowd);
}

/// The gateway closes a session that has rested for 5 s, and one that asks nothing within 2 s of its connection.
#[test_case(5, usize::MAX; "a whole request as the idle time ends")]
#[test_case(5, 30; "a piece of one")]
#[test_case(5, 1; "its first byte")]
#[test_case(2, usize::MAX; "a whole request as the time for the first ends")]
fn a_request_that_comes_with_the_end_of_its_sessions_time_is_served(seconds: u64, piece: usize) {
    let engine = FakeEngine::completing();
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let came = Instant::now();
    let mut client = Client::connect(&gateway);
    if seconds == 5 {
        assert_eq!(client.execute(&statement("load", 1, LONG)), rows());
    }
    let rested = Instant::now();
    let (time, text) = (
        Duration::from_secs(seconds),
        query(&statement("load", 2, LONG)),
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
    assert_eq!(starts_of(&engine, 2), 1);
}

#[test]
fn idle_clients_fill_every_place_while_the_journal_is_down_and_its_return_is_heard() {
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    // Refuses until it listens.
    let (held, address) = refusing_address();
    let list = [old.row("s-1", "in_service")];
    let config = configuration("127.0.0.1:0", &list, None, FEW);
    let gateway = Gateway::start_with_config(
        config.replace("\"journal\":\"\"", &format!("\"journal\":\"{address}\"")),
    );
    gateway.log.wait("loss", |l| {
        is_event(l, "endpoint watch lost", &[("position", "1")])
    });
    let mut idle: Vec<Client> = (0..60).map(|_| Client::connect(&gateway)).collect();
    rustix::net::listen(&held, 16).unwrap();
    let listener = TcpListener::from(held);
    let (mut stream, _) = listener.accept().unwrap();
    let news = [old.row("s-1", "terminating"), new.row("s-2", "in_service")];
    stream
        .write_all(endpoint_event(2, false, &news).as_bytes())
        .unwrap();
    gateway.log.wait("the news", |l| {
        is_event(l, "engine added", &[("id", "s-2")])
    });
    let mut client = Client::connect(&gateway);
    assert_eq!(client.execute(&statement("lookup", 1, LONG)), rows());
    assert_eq!((old.start_count(), new.start_count()), (0, 1));
    idle.retain_mut(|client| client.stream.set_nonblocking(true).is_ok());
    assert!(
        gateway
            .log
            .all()
            .iter()
            .all(|l| !is_event(l, ACCEPT_FAILED, &[])),
        "descriptors were never short"
    );
}

#[test]
fn where_all_places_are_open_the_next_is_refused_in_words() {
    let engine = FakeEngine::never_completing();
    let gateway = Gateway::start_with("127.0.0.1:0", &[engine.row("s-1", "in_service")], None, FEW);
    let open: Vec<Client> = (1..=16)
        .map(|req| asked(&gateway, "lookup", req, LONG))
        .collect();
    open.iter()
        .for_each(|client| wait_until_read(&client.stream));
    // There is one connection to engines.
    engine.calls.wait("start", |c| c.has_method("POST"));
    for req in 17..24 {
        let refused = Client::connect(&gateway)
            .execute(&statement("lookup", req, LONG))
            .error_code();
        assert!([1040, 1203].contains(&refused), "{refused}");
    }
    assert!((17..24).all(|req| starts_of(&engine, req) == 0));
}

// ---- the journal ----

fn only_the_new_one_serves(gateway: &Gateway, old: &FakeEngine, new: &FakeEngine) {
    assert_eq!(
        Client::connect(gateway).execute(&statement("lookup", 1, LONG)),
        rows()
    );
    assert_eq!((old.start_count(), new.start_count()), (0, 1));
}

#[test]
fn a_journal_that_is_silent_from_the_first_moment_is_asked_again() {
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    let news = [old.row("s-1", "terminating"), new.row("s-2", "in_service")];
    let journal = FakeDiscoveryServer::start(&[String::new(), endpoint_event(2, false, &news)]);
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&journal),
        1024,
    );
    gateway.log.wait("loss", |l| {
        is_event(
            l,
            "endpoint watch lost",
            &[("position", "1"), ("reason", "silent")],
        )
    });
    gateway.log.wait("the news", |l| {
        is_event(l, "engine added", &[("id", "s-2")])
    });
    only_the_new_one_serves(&gateway, &old, &new);
}

#[test]
fn a_line_that_can_never_be_used_does_not_hide_those_behind_it() {
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    let news = [old.row("s-1", "terminating"), new.row("s-3", "in_service")];
    let script = "{\"pos\":2,\"hosts\":17}\n".to_owned() + &endpoint_event(3, false, &news);
    let journal = FakeDiscoveryServer::start(&vec![script; 8]);
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&journal),
        1024,
    );
    gateway.log.wait("the news", |l| {
        is_event(l, "engine added", &[("id", "s-3")])
    });
    assert_eq!(
        journal.watch_requests.all(),
        vec!["tail 1\n"; 4],
        "it is asked for three times more, then passed over"
    );
    only_the_new_one_serves(&gateway, &old, &new);
}

#[test]
fn a_number_told_ahead_of_its_events_does_not_lose_them() {
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    let news = [old.row("s-1", "terminating"), new.row("s-2", "in_service")];
    let journal = FakeDiscoveryServer::start(&[format!("2\n{}", endpoint_event(2, false, &news))]);
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&journal),
        1024,
    );
    gateway.log.wait("the news", |l| {
        is_event(l, "engine added", &[("id", "s-2")])
    });
    assert_eq!(
        journal.watch_requests.all().len(),
        1,
        "on the same connection"
    );
    let never =
        FakeDiscoveryServer::start(&["9\n".into(), "9\n".into(), endpoint_event(2, false, &news)]);
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&never),
        1024,
    );
    gateway.log.wait("the news", |l| {
        is_event(l, "engine added", &[("id", "s-2")])
    });
    assert_eq!(
        never.watch_requests.all().len(),
        3,
        "asked for again where they do not come"
    );
}

#[test]
fn the_old_service_is_not_heard_once_the_new_one_is_followed() {
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
        // It is there, unread, as the new configuration comes.
        first.send(&endpoint_event(2, false, &[old.row("s-1", "terminated")]));
    });
    let asked = second
        .watch_requests
        .wait("tail", |t| t.starts_with("tail "));
    // The numbers go on: what was taken of the old one before the change is not asked for again, and nothing of it
    // counts after. The new one's event 2 is the old one's where that was taken, and then the next is 3.
    let is_late = asked == "tail 1\n";
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
    gateway.log.wait("the new engine", |l| {
        is_event(l, "engine added", &[("id", "s-2")])
    });
    first.send(&endpoint_event(
        4,
        false,
        &[old.row("s-1", "in_service"), new.row("s-2", "terminated")],
    ));
    for req in 1..=5 {
        assert_eq!(
            Client::connect(&gateway).execute(&statement("lookup", req, LONG)),
            rows()
        );
    }
    assert_eq!((old.start_count(), new.start_count()), (0, 5));
}

/// Numbered as it is told, a whole list is one event among others: deltas from before it, told again or late by the
/// service that was followed before, change nothing of it.
#[test]
fn a_whole_list_that_crosses_deltas_and_the_old_services_words_is_the_last_word() {
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
        // Both are there, unread, as the new configuration comes.
        first.send(&delta);
        first.send(&whole);
    });
    second
        .watch_requests
        .wait("tail", |t| t.starts_with("tail "));
    // The new service tells all again, and the delta once more behind the whole list.
    second.send(&[delta.clone(), whole, delta.clone()].concat());
    gateway.log.wait("the new engine", |l| {
        is_event(l, "engine added", &[("id", "s-3")])
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
    // The next of the new one comes behind all that.
    let next = FakeEngine::completing();
    second.send(&endpoint_event(4, false, &[next.row("s-4", "terminating")]));
    gateway.log.wait("the event behind it", |l| {
        is_event(l, "engine added", &[("id", "s-4")])
    });
    for req in 1..=8 {
        assert_eq!(
            Client::connect(&gateway).execute(&statement("load", req, LONG)),
            rows()
        );
    }
    assert_eq!(
        [&gone, &drained, &new, &next].map(FakeEngine::start_count),
        [0, 0, 8, 0]
    );
}

/// Each silent connection is given up after 2 s, and the next one is silent too: six of them are over 12 s.
#[test]
fn a_drain_told_after_thirteen_seconds_of_silence_counts_for_what_waits_to_leave() {
    let (door, other) = (BlockedListener::start(), FakeEngine::completing());
    let news = [
        row_at(door.address, "s-1", "terminating", 0),
        other.row("s-2", "in_service"),
    ];
    let journal = FakeDiscoveryServer::without_script();
    let gateway = gateway_with(
        &[row_at(door.address, "s-1", "in_service", 0)],
        Some(&journal),
        patient,
    );
    let began = Instant::now();
    let mut client = asked(&gateway, "load", 1, 3 * LONG);
    door.wait_for_connection_attempt();
    journal
        .watch_requests
        .wait_for_nth("the seventh time that it asks", 7, |t| t == "tail 1\n");
    assert!(
        began.elapsed() > Duration::from_secs(12),
        "{:?}",
        began.elapsed()
    );
    journal.send(&endpoint_event(2, false, &news));
    gateway.log.wait("the news", |l| {
        is_event(l, "engine added", &[("id", "s-2")])
    });
    let engine = FakeEngine::on_listener(door.unblock(), served);
    assert_eq!(client.read_answer(1), rows());
    assert_eq!(client.execute(&statement("lookup", 2, LONG)), rows());
    assert_eq!((engine.start_count(), other.start_count()), (0, 2));
    engine.closed_connections.wait("end of the dial", |_| true);
}

// ---- answers of engines ----

#[test]
fn an_answer_that_never_ends_holds_no_place() {
    let engine = FakeEngine::start(|call, n| match call.method.as_str() {
        "POST" => Reply::Response(
            "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 6000\r\n\r\na".into(),
        ),
        _ => served(call, n),
    });
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let mut client = Client::connect(&gateway);
    for req in 1..=5 {
        assert_eq!(client.execute(&statement("load", req, LONG)), rows());
        assert_eq!(starts_of(&engine, req), 1);
    }
    engine
        .closed_connections
        .wait_for_nth("ends of the spoilt connections", 5, |_| true);
}

/// Bytes that an engine sends in the moment in which a kept connection is to be used again.
#[test_case("HTTP/1.1 2"; "half a line")]
#[test_case(""; "its close")]
fn a_kept_connection_that_speaks_or_closes_as_it_is_taken_carries_no_start(bytes: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let said = EventLog::<(usize, String)>::new();
    let held = EventLog::<TcpStream2>::new();
    let (saw, hold) = (said.clone(), held.clone());
    std::thread::spawn(move || {
        for (n, stream) in listener.incoming().flatten().enumerate() {
            let (saw, hold) = (saw.clone(), hold.clone());
            hold.push(TcpStream2(std::sync::Arc::new(stream.try_clone().unwrap())));
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
    assert_eq!(client.execute(&statement("lookup", 1, LONG)), rows());
    let kept = held.wait("connection", |_| true).0;
    gateway.while_stopped(|| {
        match bytes {
            "" => kept.shutdown(Shutdown::Write).unwrap(),
            _ => (&*kept).write_all(bytes.as_bytes()).unwrap(),
        }
        client.send(&query(&statement("lookup", 2, LONG)));
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
        "each start on a connection of its own, once"
    );
}

#[derive(Clone)]
struct TcpStream2(std::sync::Arc<TcpStream>);
