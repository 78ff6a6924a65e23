//! Faults that the relay applies to a link take effect regardless of the progress of the relay
//! thread.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

use ivypitch_testbed::processes::relay::{LinkEnd, RelayNetwork};
use ivypitch_testbed::test_servers::{EventLog, WAIT_TIMEOUT};
use test_case::test_case;

const FROM: LinkEnd = LinkEnd::Gateway(0);
const TO: LinkEnd = LinkEnd::Engine(0);
const ROUNDS: usize = 20;

/// Starts a server that reads one connection after the other to its end.
fn start_server() -> (std::net::SocketAddr, EventLog<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, received) = (listener.local_addr().unwrap(), EventLog::new());
    let all_received = received.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut message = Vec::new();
            let _ = stream.read_to_end(&mut message);
            all_received.push(String::from_utf8(message).unwrap());
        }
    });
    (address, received)
}

fn connect_and_write(address: std::net::SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// `is_blocked`: the relay thread waits for the lock of its table while the link is opened and
/// written to, so that the reset happens before the relay has accepted the connection.
#[test_case(false; "a link with buffered bytes")]
#[test_case(true; "a connection not yet accepted")]
fn a_reset_discards_waiting_bytes_even_if_the_link_reopens_at_once(is_blocked: bool) {
    let (target, received) = start_server();
    let network = RelayNetwork::start(1);
    let relay = network.open(FROM, TO, target, false).unwrap();
    for round in 1..=ROUNDS {
        let text = format!("lost {round}.");
        network.block(FROM, TO);
        let mut lost = if is_blocked {
            let mut stream = None;
            network.change(FROM, TO, |_| stream = Some(connect_and_write(relay, &text)));
            stream.unwrap()
        } else {
            let lost = connect_and_write(relay, &text);
            network.wait_for_blocked_data(FROM, TO, &text);
            lost
        };
        network.reset(FROM, TO);
        network.unblock(FROM, TO);
        assert!(!matches!(lost.read(&mut [0]), Ok(1)));
        // A link opened after the reset is intact.
        drop(connect_and_write(relay, "whole"));
        received.wait_for_nth("intact link", round, |message| message == "whole");
    }
    let arrived = received
        .all()
        .into_iter()
        .filter(|message| message.contains("lost"))
        .count();
    assert_eq!(
        arrived, 0,
        "of {ROUNDS} messages that the reset must discard"
    );
}
