//! Ports for processes that are started later or restarted, reserved among all testbed programs on this machine.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};

/// The range lies below the ephemeral ports, so that no outgoing connection takes a port while its process is down.
const FIRST_PORT: u16 = 18_000;
const PORT_COUNT: u16 = 14_000;
/// A reservation is a UDP socket on the same port of this address, which the testbed uses for nothing else.
const RESERVATION_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// A reserved port; released when dropped.
pub struct Reservation {
    _socket: UdpSocket,
}

/// Reserves a port; `None`: another testbed program has reserved it.
pub fn reserve(port: u16) -> Option<Reservation> {
    let socket = UdpSocket::bind((RESERVATION_ADDRESS, port)).ok()?;
    Some(Reservation { _socket: socket })
}

/// Returns an address on which nothing listens; the port is reserved until this process ends.
pub fn free_port() -> SocketAddr {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    static RESERVED: Mutex<Vec<Reservation>> = Mutex::new(Vec::new());
    loop {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (std::process::id() as u16 % 97 * 131 + offset) % PORT_COUNT;
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
