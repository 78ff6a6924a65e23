//! Reading from non-blocking sockets into buffers that take memory only while bytes come.

use std::io;
use std::net::TcpStream;

use async_io::Async;
use bytes::BytesMut;

/// The most that one read takes.
const READ_BYTES: usize = 8 << 10;

/// Waits until bytes are there and appends up to 8 KB of them to `into`; returns their number, 0 at the peer's end of
/// stream. No memory is held for the read while nothing comes. Cancel safe: dropped before it is done, it leaves the
/// buffer as it was.
pub async fn read_some(stream: &Async<TcpStream>, into: &mut BytesMut) -> io::Result<usize> {
    loop {
        match read_now(stream, into) {
            Ok(Some(n)) => return Ok(n),
            Ok(None) => stream.readable().await?,
            Err(e) => return Err(e),
        }
    }
}

/// Like [`read_some`] without waiting; `None`: nothing is there.
pub fn read_now(stream: &Async<TcpStream>, into: &mut BytesMut) -> io::Result<Option<usize>> {
    loop {
        let start = into.len();
        into.resize(start + READ_BYTES, 0);
        let n = io::Read::read(&mut stream.get_ref(), &mut into[start..]);
        into.truncate(start + n.as_ref().copied().unwrap_or(0));
        match n {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                if into.is_empty() {
                    *into = BytesMut::new();
                }
                return Ok(None);
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            read => return read.map(Some),
        }
    }
}
