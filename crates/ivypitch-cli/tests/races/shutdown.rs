//! Sessions, statements and signals while the gateway shuts down.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;

use super::common::{
    STATEMENT_TIMEOUT_MS, engine_with_held_statement, respond_success, rows, send_statement,
    start_count_of,
};

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
