//! Usual clients beside clients that send long messages which cannot be used, again and again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use ivypitch_testbed::test_servers::*;
use test_case::test_case;

const BAD_CLIENTS: usize = 8;
const USUAL_STATEMENTS: u64 = 10;
const STATEMENT_TIMEOUT_MS: u64 = 4000;
/// Nearly as long as the longest message that the gateway reads.
const BAD_STATEMENT_BYTES: usize = 60_000;

/// Repeats what `part` makes of a counter up to the length of a bad statement.
fn repeated(part: impl Fn(usize) -> String) -> String {
    let mut text = String::new();
    for n in 0.. {
        text += &part(n);
        if text.len() > BAD_STATEMENT_BYTES {
            break;
        }
    }
    text
}

fn comment_with(fields: &str) -> String {
    format!("/* {fields}kind=lookup */ SELECT a FROM sales_1.orders")
}

fn statement_with(text: &str) -> String {
    format!("/* kind=lookup,req=9b1f03aa5c7e2d41,timeout=1500 */ SELECT {text}")
}

/// Sends the statement until the end, on a new connection where the gateway has closed the last.
fn send_again_and_again(address: SocketAddr, bad_statement: &str, has_ended: &AtomicBool) {
    let mut client = None;
    while !has_ended.load(Ordering::SeqCst) {
        let connected = client.get_or_insert_with(|| Client::connect_to(address));
        match connected.try_execute(bad_statement) {
            None | Some(Answer::Closed) => client = None,
            Some(answer) => assert_eq!(answer.error_code(), 1064),
        }
    }
}

/// Guards against statements without an answer beside clients whose messages take long to read: each
/// usual statement is answered before its client's time is up.
#[test_case(comment_with(&repeated(|n| format!("x{n}=,"))); "unknown fields")]
#[test_case(comment_with(&repeated(|_| "x,".into())); "fields without a value")]
#[test_case(comment_with(&repeated(|n| format!("{n}"))); "one long field")]
#[test_case(repeated(|_| "/*".into()); "comments without an end")]
#[test_case(repeated(|_| "KILL ".into()); "words of a KILL")]
#[test_case(statement_with(&repeated(|_| "/**/'".into())); "strings and comments")]
#[test_case(statement_with(&repeated(|_| "a_.".into())); "names of schemas")]
fn usual_statements_are_answered_in_time_beside_bad_clients(bad_statement: String) {
    let engine = FakeEngine::completing();
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    let has_ended = Arc::new(AtomicBool::new(false));
    let address = gateway.address;
    let bad_clients: Vec<_> = (0..BAD_CLIENTS)
        .map(|_| {
            let (bad_statement, has_ended) = (bad_statement.clone(), has_ended.clone());
            thread::spawn(move || send_again_and_again(address, &bad_statement, &has_ended))
        })
        .collect();
    let mut client = Client::connect(&gateway);
    for req in 1..=USUAL_STATEMENTS {
        let answer = client.execute(&statement("lookup", req, STATEMENT_TIMEOUT_MS));
        assert!(matches!(answer, Answer::Rows(_)), "{req}: {answer:?}");
    }
    has_ended.store(true, Ordering::SeqCst);
    for client in bad_clients {
        client.join().unwrap();
    }
}
