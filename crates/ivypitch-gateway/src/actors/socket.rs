//! Reads from non-blocking sockets into buffers that take no memory while no data arrives.

use std::io;
use std::net::TcpStream;

use async_io::Async;
use bytes::BytesMut;

/// Maximum number of bytes that one read returns.
const READ_BYTES: usize = 8 << 10;

/// Waits for data, appends up to 8 KB of it to `into` and returns the number of bytes, 0 at the end
/// of the stream. Allocates no memory while no data arrives. Cancel safe: if the future is dropped
/// before it completes, the buffer is unchanged.
pub async fn read_some(stream: &Async<TcpStream>, into: &mut BytesMut) -> io::Result<usize> {
    loop {
        match read_now(stream, into) {
            Ok(Some(bytes_read)) => return Ok(bytes_read),
            Ok(None) => stream.readable().await?,
            Err(error) => return Err(error),
        }
    }
}

/// Reads like [`read_some`] but does not wait; returns `None` if no data has arrived.
pub fn read_now(stream: &Async<TcpStream>, into: &mut BytesMut) -> io::Result<Option<usize>> {
    loop {
        let start = into.len();
        into.resize(start + READ_BYTES, 0);
        let bytes_read = io::Read::read(&mut stream.get_ref(), &mut into[start..]);
        into.truncate(start + bytes_read.as_ref().copied().unwrap_or(0));
        match bytes_read {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                if into.is_empty() {
                    *into = BytesMut::new();
                }
                return Ok(None);
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            read => return read.map(Some),
        }
    }
}
