//! Requests to engines, their responses, and results assembled from them.

use bytes::{Bytes, BytesMut};
use ivypitch_gateway::state::rows::Rows;
use ivypitch_gateway::wire::http::{self, Response, StartRequest};
use test_case::test_case;

#[test]
fn requests_carry_their_fields_and_the_statement_unchanged() {
    let start = StartRequest {
        statement_id: Bytes::from("9b1f03aa5c7e2d41"),
        workload: Bytes::from("report"),
        remaining_ms: 1490,
        priority: 1,
        grant_mb: 0,
        idempotency_key: None,
        ordering_key: None,
        statement: Bytes::from("SELECT 1"),
    };
    let text = "POST /c HTTP/1.1\r\nHost: e:1\r\nVia-Id: 9b1f03aa5c7e2d41\r\nVia-Class: report\r\nVia-Wait: \
                1490\r\nRank: 1\r\nContent-Length: 8\r\n\r\nSELECT 1";
    assert_eq!(http::write_start(&start, "e:1"), text);
    let keyed = StartRequest {
        idempotency_key: Some(Bytes::from("b35f")),
        ordering_key: Some(Bytes::from("0002")),
        ..start
    };
    let text = text.replace("Content", "Via-Token: b35f\r\nVia-Key: 0002\r\nContent");
    assert_eq!(http::write_start(&keyed, "e:1"), text);
    assert_eq!(
        http::write_delete(b"ab", "e:1"),
        "DELETE /c/ab HTTP/1.1\r\nHost: e:1\r\n\r\n"
    );
    assert_eq!(
        http::write_get(b"ab", 2, "e:1"),
        "GET /c/ab/2 HTTP/1.1\r\nHost: e:1\r\n\r\n"
    );
    assert!(http::write_priority(b"ab", 9, "e:1").ends_with(b"Content-Length: 1\r\n\r\n3"));
}

#[test]
fn a_response_is_parsed_however_its_bytes_arrive_and_leaves_what_follows() {
    let text =
        b"HTTP/1.1 200 OK\r\npage-count: 2\r\nWork-Ms: 12.5\r\nPeak-Mb: 64\r\nSrv-Load: active:7;x0:0.5\r\n\
                 Srv-Note: stage\r\nFigure: 0.25\r\nX-Other: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\nrest";
    for cut in 0..text.len() - 4 {
        let mut input = BytesMut::from(&text[..cut]);
        assert_eq!(
            http::next_response(&mut input).unwrap(),
            None,
            "cut at {cut}"
        );
        input.extend_from_slice(&text[cut..]);
        let response = http::next_response(&mut input).unwrap().unwrap();
        let expected = Response {
            status: 200,
            page_count: Some(2),
            work_ms: Some(12.5),
            peak_mb: Some(64.0),
            note: Some(("stage".into(), 0.25)),
            load: "active:7;x0:0.5".into(),
            body: Bytes::from("a\tb\tc\n"),
            ..Response::default()
        };
        assert_eq!((response, &input[..]), (expected, &b"rest"[..]));
    }
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 6001\r\n\r\n"; "body over the limit")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"; "negative length")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc"; "a body of 3 GB")]
#[test_case("HTTP/1.1 200 OK\r\nPage-Count: 16001\r\nContent-Length: 0\r\n\r\n"; "more pages than rows")]
#[test_case("HTTP/1.1 302 Found\r\nContent-Length: 0\r\n\r\n"; "unknown status")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n"; "no length")]
#[test_case("nonsense\r\n\r\n"; "not HTTP")]
#[test_case(&format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(9000)); "unterminated head")]
fn a_malformed_response_is_an_error(text: &str) {
    assert!(http::next_response(&mut BytesMut::from(text)).is_err());
}

#[test_case("waiting:1;active:7;x0:0.5", &[7.0, 0.5]; "in the settings' order")]
#[test_case("x0:0.5; active:7", &[7.0, 0.5]; "another order")]
#[test_case("active:7", &[]; "a field is missing")]
#[test_case("active:nan;x0:1", &[]; "not a number")]
#[test_case("", &[]; "none")]
fn a_load_report_without_all_fields_is_empty(load: &str, values: &[f32]) {
    assert_eq!(
        http::parse_load_report(load, &["active".into(), "x0".into()]),
        values
    );
}

#[test_case(&["a\tb\tc\n", ""], true; "whole rows and an empty page")]
#[test_case(&["a\tb\tc"], false; "truncated row")]
#[test_case(&["a\tb\tc\td\n"], false; "four columns")]
#[test_case(&[&*"a\tb\tc\n".repeat(1000); 9], false; "over 48000 bytes")]
fn results_hold_complete_rows_within_their_size(pages: &[&str], is_valid: bool) {
    let mut rows = Rows::default();
    let added = pages.iter().all(|page| {
        rows.push_page(Bytes::copy_from_slice(page.as_bytes()))
            .is_ok()
    });
    assert_eq!(added, is_valid);
}
