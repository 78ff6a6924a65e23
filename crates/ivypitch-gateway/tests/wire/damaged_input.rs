//! All parsers, with damaged messages.

use bytes::{Bytes, BytesMut};
use ivypitch_gateway::wire::discovery::parse_line;
use ivypitch_gateway::wire::{fields, gateway_statements, http, mysql};

/// Valid messages with bytes changed, removed and duplicated, from a fixed seed: no parser panics,
/// consumes more than its input, or returns a value beyond its limits.
#[test]
fn parsers_do_not_panic_on_damaged_input() {
    let mut state = 0x9e37_79b9_7f4a_7c15_u64;
    let mut random = move |below: usize| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 33) as usize % below
    };
    let valid: [&[u8]; 5] = [
        b"HTTP/1.1 200 OK\r\nPage-Count: 2\r\nWork-Ms: 12.5\r\nSrv-Load: active:7;x0:0.5\r\nContent-Length: 6\r\n\r\na\tb\tc\n",
        b"\x4a\0\0\0\x03/* kind=a,req=9b1f03aa5c7e2d41,timeout=1500,ms=8.5,space=9 */ SELECT 'x' FROM s_1.o",
        b"/* kind=a,req=9b1f03aa5c7e2d41,timeout=1500,ms=8.5,space=9 */ SELECT `b`.c, 'x' FROM s_1.o -- y",
        b"{\"pos\":41,\"hosts\":{\"version\":7,\"full\":false,\"servers\":[{\"id\":\"s\",\"state\":\"in_service\"}]}}",
        b"\x08\x82\x08\0\0\0\0\0\x2d\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0app\0\0dw\0",
    ];
    let mut parsed = 0;
    for round in 0..20_000 {
        let mut bytes = valid[round % valid.len()].to_vec();
        for _ in 0..random(4) {
            let at = random(bytes.len());
            match random(3) {
                0 => bytes[at] = random(256) as u8,
                1 => drop(bytes.drain(at..(at + 1 + random(8)).min(bytes.len()))),
                _ => bytes.extend_from_within(at..),
            }
            bytes.push(b'\n');
        }
        let mut input = BytesMut::from(&bytes[..]);
        while let Ok(Some(answer)) = http::next_response(&mut input) {
            assert!(answer.body.len() <= http::MAX_BODY_BYTES);
            parsed += 1;
        }
        let mut input = BytesMut::from(&bytes[..]);
        while let Ok(Some(packet)) = mysql::next_packet(&mut input, 100) {
            assert!(packet.payload.len() <= 100);
            let _ = gateway_statements::parse_kill_query(&packet.payload);
            parsed += usize::from(mysql::parse_command(packet.payload).is_ok());
        }
        if let Ok(fields) = fields::parse(&Bytes::from(bytes.clone())) {
            assert!(
                (1..=86_400_000).contains(&fields.timeout_ms) && fields.statement_id.len() == 16
            );
            parsed += 1;
        }
        parsed += usize::from(parse_line(&bytes).is_ok())
            + usize::from(mysql::parse_login(&bytes).is_ok());
    }
    assert!(parsed > 10_000, "only {parsed} messages were parsed");
}
