//! Memory beside hundreds and thousands of connections that hold as much of it as they can.

use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use ivypitch_gateway::wire::peer_frames::MAX_FRAME_BYTES;
use ivypitch_testbed::test_servers::*;
use test_case::test_case;

use crate::common::*;

/// How long the connections stay open once all have sent their part.
const HOLD: Duration = Duration::from_millis(500);
/// Nearly the longest message that a gateway with 32 MB reads.
const LARGE_MESSAGE_BYTES: usize = 40_000;
/// Pieces in which a slow client writes.
const SLOW_PIECE_BYTES: usize = 1000;

/// A port of the gateway.
#[derive(Clone, Copy)]
enum Port {
    Clients,
    Peers,
}

impl Port {
    fn address(self, limited: &LimitedGateway) -> SocketAddr {
        match self {
            Port::Clients => limited.gateway.address,
            Port::Peers => limited.peers_port,
        }
    }
}

fn large_query(fill: &str) -> Vec<u8> {
    let fields = fill.repeat(LARGE_MESSAGE_BYTES / fill.len());
    let text = format!("/* {fields}kind=lookup */ SELECT a FROM sales_1.orders");
    [login("app"), query(&text)].concat()
}

/// All of a large request but its last byte.
fn large_request_without_end() -> Vec<u8> {
    let mut request = large_query("x");
    request.pop();
    request
}

/// A large request whose fields are very many and short.
fn short_fields() -> Vec<u8> {
    large_query("a=,")
}

/// All of the longest frame but its last byte.
fn frame_without_end() -> Vec<u8> {
    let mut frame = (MAX_FRAME_BYTES as u32).to_le_bytes().to_vec();
    frame.resize(MAX_FRAME_BYTES + 3, 0);
    frame
}

/// Guards against a process that uses more memory than its limit beside connections that stop half
/// way through a large request, or send very many short fields.
#[test_case(Port::Clients, large_request_without_end, 300; "300 clients that stop half way")]
#[test_case(Port::Clients, large_request_without_end, 3000; "3000 clients that stop half way")]
#[test_case(Port::Clients, short_fields, 300; "300 clients with very many short fields")]
#[test_case(Port::Clients, short_fields, 3000; "3000 clients with very many short fields")]
#[test_case(Port::Peers, frame_without_end, 300; "300 peers that stop half way")]
#[test_case(Port::Peers, frame_without_end, 3000; "3000 peers that stop half way")]
fn connections_that_stop_half_way_stay_within_the_memory(
    port: Port,
    bytes: fn() -> Vec<u8>,
    connections: usize,
) {
    let limited = LimitedGateway::start();
    let (address, bytes) = (port.address(&limited), bytes());
    let mut open: Vec<TcpStream> = Vec::new();
    for _ in 0..connections {
        if let Some(mut stream) = connect(address) {
            write_some(&mut stream, &bytes);
            open.push(stream);
        }
    }
    thread::sleep(HOLD);
    limited.check_memory();
    drop(open);
    let longest = limited.serve_usual_client_for(HOLD);
    println!("longest answer: {longest:?}");
}

/// Guards against a process of a large fleet that uses more memory than its limit, or cannot accept
/// its clients, beside connections to its port for peers.
#[test_case(300; "300 connections")]
#[test_case(3000; "3000 connections")]
fn connections_to_a_member_of_a_large_fleet_stay_within_the_memory(connections: usize) {
    const MEMBERS: u16 = 300;
    let limited = LimitedGateway::start_with_members(MEMBERS);
    let bytes = frame_without_end();
    let mut open: Vec<TcpStream> = Vec::new();
    for _ in 0..connections {
        if let Some(mut stream) = connect(limited.peers_port) {
            write_some(&mut stream, &bytes);
            open.push(stream);
        }
    }
    let longest = limited.serve_usual_client_for(HOLD);
    println!("longest answer: {longest:?}");
    limited.check_memory();
    drop(open);
}

/// Guards against a process that uses more memory than its limit beside connections that write
/// their request slowly.
#[test_case(Port::Clients, large_request_without_end, 300; "300 clients")]
#[test_case(Port::Clients, large_request_without_end, 3000; "3000 clients")]
#[test_case(Port::Peers, frame_without_end, 300; "300 peers")]
#[test_case(Port::Peers, frame_without_end, 3000; "3000 peers")]
fn connections_that_write_slowly_stay_within_the_memory(
    port: Port,
    bytes: fn() -> Vec<u8>,
    connections: usize,
) {
    let limited = LimitedGateway::start();
    let (address, bytes) = (port.address(&limited), bytes());
    let mut open: Vec<TcpStream> = (0..connections).filter_map(|_| connect(address)).collect();
    for piece in bytes.chunks(SLOW_PIECE_BYTES) {
        for stream in &mut open {
            write_some(stream, piece);
        }
    }
    limited.check_memory();
    drop(open);
    let longest = limited.serve_usual_client_for(HOLD);
    println!("longest answer: {longest:?}");
}
