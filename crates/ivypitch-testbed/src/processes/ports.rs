//! Ports for processes that are started later, or anew: reserved among all programs of the testbed on this machine.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};

/// Below the ports that the system gives to outgoing connections, so that none of those takes one while a process is
/// away.
const FIRST_PORT: u16 = 18_000;
const PORTS: u16 = 14_000;
/// A reservation is a socket on the same port of this address, on which nothing else of the testbed listens.
const RESERVATIONS_AT: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Keeps a port for this process until it ends.
pub struct Reservation {
    _socket: UdpSocket,
}

/// Reserves a port; `None`: another program of the testbed has it.
pub fn reserve(port: u16) -> Option<Reservation> {
    let socket = UdpSocket::bind((RESERVATIONS_AT, port)).ok()?;
    Some(Reservation { _socket: socket })
}

/// An address on which nothing listens, reserved until this process ends.
pub fn free_port() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    static RESERVED: Mutex<Vec<Reservation>> = Mutex::new(Vec::new());
    loop {
        let place = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (std::process::id() as u16 % 97 * 131 + place) % PORTS;
        let Some(reservation) = reserve(port) else {
            continue;
        };
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let is_free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        RESERVED
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(reservation);
        if is_free {
            return address;
        }
    }
}
