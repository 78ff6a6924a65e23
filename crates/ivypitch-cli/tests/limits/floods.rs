//! Usual clients beside one sender that sends small or unusable messages at full speed.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use ivypitch_gateway::wire::peer_frames::{Frame, encode_frame};
use ivypitch_testbed::test_servers::*;
use test_case::test_case;

use crate::common::*;

/// How long the sender sends.
const FLOOD: Duration = Duration::from_secs(3);
/// How long loads are sent, which peers remember.
const LOAD_FLOOD: Duration = Duration::from_secs(10);
/// Messages with a content of their own.
const MESSAGES: u64 = 20_000;
/// Bytes that the sender writes at a time.
const WRITE_BYTES: usize = 32 << 10;

/// Runs `senders` times `send` until the usual client has been served for `time`.
fn serve_beside(
    limited: &LimitedGateway,
    senders: usize,
    time: Duration,
    send: impl Fn(usize, &AtomicBool) + Send + Sync + 'static,
) {
    let has_ended = Arc::new(AtomicBool::new(false));
    let send = Arc::new(send);
    let threads: Vec<_> = (0..senders)
        .map(|n| {
            let (has_ended, send) = (has_ended.clone(), send.clone());
            thread::spawn(move || send(n, &has_ended))
        })
        .collect();
    let longest = limited.serve_usual_client_for(time);
    has_ended.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().unwrap();
    }
    println!("longest answer: {longest:?}");
    limited.check_memory();
}

/// Writes `bytes` again and again on one connection, on a new one where the last was closed.
/// Whatever is answered is read.
fn write_again_and_again(address: SocketAddr, first: &[u8], bytes: &[u8], has_ended: &AtomicBool) {
    let many = bytes.repeat(WRITE_BYTES.div_ceil(bytes.len()));
    let mut connection: Option<TcpStream> = None;
    while !has_ended.load(Ordering::SeqCst) {
        if let Some(stream) = &mut connection {
            if stream.write_all(&many).is_err() {
                connection = None;
            }
            continue;
        }
        let Some(mut stream) = connect(address) else {
            continue;
        };
        let _ = stream.set_write_timeout(Some(Duration::from_millis(500)));
        let mut reader = stream.try_clone().unwrap();
        thread::spawn(move || while reader.read(&mut [0; 65536]).is_ok_and(|n| n > 0) {});
        if stream.write_all(first).is_ok() {
            connection = Some(stream);
        }
    }
}

/// Guards against answers that come late or never beside a client that sends many commands at once.
#[test_case(packet(0, &[0x0e]), 1; "pings")]
#[test_case(packet(0, &[0x0e]), 10; "pings of ten clients")]
#[test_case(packet(0, &[0xfa]), 1; "unknown commands")]
#[test_case(packet(0, &[]), 1; "empty packets")]
#[test_case(query("SELECT"), 1; "statements without fields")]
#[test_case(vec![0xff; 64], 1; "packets that are too long")]
fn usual_clients_are_served_beside_one_that_sends_many_commands(command: Vec<u8>, senders: usize) {
    let limited = LimitedGateway::start();
    let address = limited.gateway.address;
    serve_beside(&limited, senders, FLOOD, move |_, has_ended| {
        write_again_and_again(address, &login("app"), &command, has_ended);
    });
}

/// Executes statements one after the other on one connection.
fn execute_again_and_again(
    address: SocketAddr,
    text: impl Fn(u64) -> String,
    has_ended: &AtomicBool,
) {
    let mut client = None;
    for n in 0.. {
        if has_ended.load(Ordering::SeqCst) {
            return;
        }
        let connected = client.get_or_insert_with(|| Client::connect_to(address));
        if let None | Some(Answer::Closed) = connected.try_execute(&text(n)) {
            client = None;
        }
    }
}

fn with_kind(n: u64) -> String {
    statement(&format!("kind-{n}"), n, STATEMENT_TIMEOUT_MS)
}

fn with_owner(n: u64) -> String {
    statement("lookup", n, STATEMENT_TIMEOUT_MS).replace("acme", &format!("owner-{n}"))
}

fn with_field(n: u64) -> String {
    statement("lookup", n, STATEMENT_TIMEOUT_MS).replace("space=", &format!("field-{n}="))
}

fn with_table_group(n: u64) -> String {
    statement("lookup", n, STATEMENT_TIMEOUT_MS).replace("sales_17", &format!("sales_{n}"))
}

fn with_ordering_key(n: u64) -> String {
    statement("lookup", n, STATEMENT_TIMEOUT_MS).replace("space=32", &format!("subject=key-{n}"))
}

fn kill(n: u64) -> String {
    format!("KILL QUERY {n}")
}

fn load(n: u64) -> String {
    statement("load", n, STATEMENT_TIMEOUT_MS)
}

/// Guards against memory that grows, or answers that come late, beside clients that send small
/// statements under ever new names.
#[test_case(with_kind, 1, FLOOD; "kinds")]
#[test_case(with_owner, 1, FLOOD; "owners")]
#[test_case(with_field, 1, FLOOD; "fields")]
#[test_case(with_table_group, 1, FLOOD; "table groups")]
#[test_case(with_table_group, 10, FLOOD; "table groups of ten clients")]
#[test_case(with_ordering_key, 1, FLOOD; "ordering keys")]
#[test_case(kill, 1, FLOOD; "connections to kill")]
#[test_case(load, 1, LOAD_FLOOD; "loads")]
#[test_case(load, 10, LOAD_FLOOD; "loads of ten clients")]
fn usual_clients_are_served_beside_ever_new_names(
    text: fn(u64) -> String,
    senders: usize,
    time: Duration,
) {
    let limited = LimitedGateway::start();
    let address = limited.gateway.address;
    serve_beside(&limited, senders, time, move |sender, has_ended| {
        let first = (sender as u64) << 32;
        execute_again_and_again(address, |n| text(first + n), has_ended);
    });
}

/// Guards against answers that come late beside a peer that sends many small frames.
#[test_case(1; "one peer")]
#[test_case(10; "ten peers")]
fn usual_clients_are_served_beside_a_peer_that_sends_many_frames(senders: usize) {
    let limited = LimitedGateway::start();
    let (address, hello) = (limited.peers_port, limited.hello(7));
    serve_beside(&limited, senders, FLOOD, move |_, has_ended| {
        let heartbeat = encode_frame(&Frame::Heartbeat);
        write_again_and_again(address, &hello, &heartbeat, has_ended);
    });
}

/// Guards against answers that come late, and log lines without end, beside links that begin with
/// ever new incarnations or with what is no frame.
#[test_case(true; "of another version")]
#[test_case(false; "without a frame")]
fn usual_clients_are_served_beside_links_that_are_rejected(is_frame: bool) {
    let limited = LimitedGateway::start();
    let address = limited.peers_port;
    let first_frames: Vec<Vec<u8>> = (1..=MESSAGES)
        .map(|n| match is_frame {
            true => limited.incompatible_hello(n),
            false => vec![0xff; 64],
        })
        .collect();
    serve_beside(&limited, 1, FLOOD, move |_, has_ended| {
        for bytes in first_frames.iter().cycle() {
            if has_ended.load(Ordering::SeqCst) {
                return;
            }
            if let Some(mut stream) = connect(address) {
                write_some(&mut stream, bytes);
            }
        }
    });
    check_log_lines(&limited);
}

/// The number of lines for the incompatible member does not depend on how often it tries.
fn check_log_lines(limited: &LimitedGateway) {
    const MAX_LINES: usize = 40;
    let lines = limited.gateway.log.all();
    println!("log lines: {}", lines.len());
    assert!(lines.len() <= MAX_LINES, "{} lines", lines.len());
}

/// What datagrams contain, by their number.
#[derive(Clone, Copy)]
enum Datagram {
    Noise,
    Gossip,
    EverNewIncarnations,
}

/// Guards against answers that come late, and log lines without end, beside a sender of datagrams at
/// full speed.
#[test_case(Datagram::Noise, 1; "noise")]
#[test_case(Datagram::Noise, 10; "noise of ten senders")]
#[test_case(Datagram::Gossip, 1; "gossip that cannot be read")]
#[test_case(Datagram::EverNewIncarnations, 1; "ever new incarnations of another version")]
fn usual_clients_are_served_beside_many_datagrams(datagram: Datagram, senders: usize) {
    let limited = LimitedGateway::start();
    let address = limited.peers_port;
    let datagrams: Vec<Vec<u8>> = (1..=MESSAGES)
        .map(|n| match datagram {
            Datagram::Noise => vec![0x55; 64],
            Datagram::Gossip => vec![0xff; 64],
            Datagram::EverNewIncarnations => limited.incompatible_datagram(n),
        })
        .collect();
    serve_beside(&limited, senders, FLOOD, move |_, has_ended| {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        for bytes in datagrams.iter().cycle() {
            if has_ended.load(Ordering::SeqCst) {
                return;
            }
            let _ = socket.send_to(bytes, address);
        }
    });
    check_log_lines(&limited);
}
