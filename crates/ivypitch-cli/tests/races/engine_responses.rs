//! Responses of engines that never end, or arrive as a connection is reused.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

use ivypitch_testbed::test_servers::*;
use test_case::test_case;

use super::common::{STATEMENT_TIMEOUT_MS, respond_success, rows, start_count_of};

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
