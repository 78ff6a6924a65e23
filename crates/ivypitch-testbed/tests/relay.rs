//! What the relay says it does to a link it does whatever its own thread has come to.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

use ivypitch_testbed::processes::relay::{LinkEnd, RelayNetwork};
use ivypitch_testbed::test_servers::{EventLog, WAIT_TIMEOUT};
use test_case::test_case;

const FROM: LinkEnd = LinkEnd::Gateway(0);
const TO: LinkEnd = LinkEnd::Engine(0);
const ROUNDS: usize = 20;

/// Reads one connection after the other to its end.
fn sink() -> (std::net::SocketAddr, EventLog<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, seen) = (listener.local_addr().unwrap(), EventLog::new());
    let all = seen.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut came = Vec::new();
            let _ = stream.read_to_end(&mut came);
            all.push(String::from_utf8(came).unwrap());
        }
    });
    (address, seen)
}

fn written(at: std::net::SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// `held`: the relay's thread waits at its table while the link is dialled and written to, so that the reset meets a dial
/// that it has not taken up.
#[test_case(false; "a link that it holds a byte of")]
#[test_case(true; "a dial that it has not taken up")]
fn a_reset_loses_what_waits_though_the_way_is_open_at_once(held: bool) {
    let (target, seen) = sink();
    let net = RelayNetwork::start(1);
    let at = net.open(FROM, TO, target, false).unwrap();
    for round in 1..=ROUNDS {
        let text = format!("lost {round}.");
        net.block(FROM, TO);
        let mut lost = if held {
            let mut dialled = None;
            net.change(FROM, TO, |_| dialled = Some(written(at, &text)));
            dialled.unwrap()
        } else {
            let lost = written(at, &text);
            net.wait_for_blocked_data(FROM, TO, &text);
            lost
        };
        net.reset(FROM, TO);
        net.unblock(FROM, TO);
        assert!(!matches!(lost.read(&mut [0]), Ok(1)));
        // A link that is made after the reset is whole.
        drop(written(at, "whole"));
        seen.wait_for_nth("whole link", round, |came| came == "whole");
    }
    let arrived = seen
        .all()
        .into_iter()
        .filter(|came| came.contains("lost"))
        .count();
    assert_eq!(arrived, 0, "of {ROUNDS} that were to be lost");
}
