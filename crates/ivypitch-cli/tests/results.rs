//! Results whose pages have wrong lengths, or arrive on connections that close.

use std::collections::{HashMap, HashSet};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use ivypitch_testbed::test_servers::*;
use test_case::test_case;

const PAGES: [&str; 2] = ["a\tb\tc\nd\te\tf\n", "g\th\ti\nj\tk\tl\n"];

fn all_rows() -> Answer {
    let rows = PAGES.iter().flat_map(|page| page.lines());
    let columns = |row: &str| row.split('\t').map(str::to_owned).collect();
    Answer::Rows(rows.map(columns).collect())
}

fn page_of(call: &Call) -> usize {
    let page = call.path.split('/').nth(3).unwrap_or_default();
    page.parse().unwrap_or(0)
}

/// A page of the result with this content length.
fn page(number: usize, length: usize, more_headers: &str) -> String {
    let header = match number {
        0 => "Page-Count: 2".to_owned(),
        _ => format!("Page-No: {number}"),
    };
    let body = PAGES[number];
    format!("HTTP/1.1 200 X\r\n{header}\r\n{more_headers}Content-Length: {length}\r\n\r\n{body}")
}

fn whole_page(number: usize) -> String {
    page(number, PAGES[number].len(), "")
}

fn gateway_before(engine: &FakeEngine) -> Gateway {
    Gateway::start(&[engine.row("s-1", "in_service")])
}

/// Guards against results served without the rows behind a content length that is too small. The
/// rest of the body arrives later than any wait for it: with the next response of the connection.
#[test_case(0, 6; "the first page ends after a row")]
#[test_case(0, 0; "the first page is empty")]
#[test_case(1, 6; "the last page ends after a row")]
#[test_case(1, 0; "the last page is empty")]
fn a_page_with_a_length_too_small_is_never_served_without_its_rest(spoilt: usize, length: usize) {
    let served = Mutex::new(HashSet::new());
    let rests = Mutex::new(HashMap::new());
    let engine = FakeEngine::start(move |call, _| {
        let number = page_of(call);
        let rest: String = rests
            .lock()
            .unwrap()
            .remove(&call.connection)
            .unwrap_or_default();
        // The start and the first poll are both spoilt.
        let call_key = (call.method.clone(), number);
        if number != spoilt || !served.lock().unwrap().insert(call_key) {
            return Reply::Response(rest + &whole_page(number));
        }
        let mut text = page(number, length, "");
        let late = text.split_off(text.len() - PAGES[number].len() + length);
        rests.lock().unwrap().insert(call.connection, late);
        Reply::Response(rest + &text)
    });
    let gateway = gateway_before(&engine);
    let answer = Client::connect(&gateway).execute(&statement("load", 1, 20_000));
    assert_eq!(answer, all_rows());
    assert_eq!(engine.start_count(), 1);
}

/// Guards against a result that is never confirmed since its engine ends each connection.
#[test_case("Connection: close\r\n"; "and says so")]
#[test_case("Connection: close\r\nConnection: close\r\n"; "and says so twice")]
#[test_case(""; "and does not say so")]
fn an_engine_that_closes_after_each_response_is_served(header: &'static str) {
    let engine = FakeEngine::start(move |call, _| {
        let number = page_of(call);
        Reply::LastResponse(page(number, PAGES[number].len(), header))
    });
    let gateway = gateway_before(&engine);
    let answer = Client::connect(&gateway).execute(&statement("load", 1, 20_000));
    assert_eq!(answer, all_rows());
    assert_eq!(engine.start_count(), 1);
}

/// Guards against a confirmation that a slow engine never completes in time.
#[test]
fn an_engine_that_responds_slower_than_the_first_timeout_is_served() {
    let engine = FakeEngine::start(|call, _| {
        thread::sleep(Duration::from_millis(250));
        Reply::Response(whole_page(page_of(call)))
    });
    let gateway = gateway_before(&engine);
    let answer = Client::connect(&gateway).execute(&statement("load", 1, 20_000));
    assert_eq!(answer, all_rows());
    assert_eq!(engine.start_count(), 1);
}
