//! Addresses that refuse connections or hold them back.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;

use super::waiting::wait_until;

/// An address that refuses connections as long as the returned socket is open: the socket is bound and never listens,
/// so that no other listener can get the port.
pub fn refusing_address() -> (OwnedFd, SocketAddr) {
    use rustix::net::{AddressFamily, SocketType, bind, getsockname, socket};
    let held = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    bind(&held, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = SocketAddr::try_from(getsockname(&held).unwrap()).unwrap();
    (held, address)
}

/// A listener with a full backlog: connections to it are not established until it is unblocked.
pub struct BlockedListener {
    pub address: SocketAddr,
    listener: TcpListener,
    filler: TcpStream,
}

impl BlockedListener {
    pub fn start() -> BlockedListener {
        use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
        let held = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        bind(&held, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        listen(&held, 0).unwrap();
        let listener = TcpListener::from(held);
        let address = listener.local_addr().unwrap();
        BlockedListener {
            address,
            listener,
            filler: TcpStream::connect(address).unwrap(),
        }
    }

    /// Waits until a connection attempt is pending.
    pub fn wait_for_connection_attempt(&self) {
        wait_until("connection attempt", || has_connection(self.address, "02"));
    }

    /// Lets connections be established when their SYN is sent again. Returns once the pending attempt has succeeded.
    pub fn unblock(self) -> TcpListener {
        drop(self.filler);
        self.listener.accept().unwrap();
        wait_until("connection of the pending attempt", || {
            !has_connection(self.address, "02")
        });
        self.listener
    }
}

/// Whether `/proc/net/tcp` has a connection to this address in this state.
fn has_connection(address: SocketAddr, state: &str) -> bool {
    let to = format!(
        "{:08X}:{:04X}",
        u32::from_le_bytes([127, 0, 0, 1]),
        address.port()
    );
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.get(2) == Some(&to.as_str()) && fields.get(3) == Some(&state)
    })
}
