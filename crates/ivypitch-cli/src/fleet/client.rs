//! A MySQL client for a single statement, `SHOW FLEET`.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ivypitch_gateway::wire::mysql::{ProtocolError, next_packet};
use serde_json::Value;

/// Timeout for connecting and for each read.
const IO_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_PACKET_BYTES: usize = 4 << 20;
const READ_BUFFER_BYTES: usize = 8192;

const CONNECT_WITH_DB: u32 = 1 << 3;
const PROTOCOL_41: u32 = 1 << 9;
const SECURE_CONNECTION: u32 = 1 << 15;
const PLUGIN_AUTH: u32 = 1 << 19;
/// Maximum packet size of 16 MB (little-endian) and character set 45, UTF-8.
const MAX_PACKET_AND_CHARSET: [u8; 5] = [0, 0, 0, 1, 45];
const RESERVED: [u8; 23] = [0; 23];
/// User `app`, an empty password, database `dw`.
const CREDENTIALS: &[u8] = b"app\0\0dw\0mysql_native_password\0";
const SHOW_FLEET: &[u8] = b"\x03SHOW FLEET";

const OK_HEADER: u8 = 0;
const EOF_HEADER: u8 = 0xfe;
const ERROR_HEADER: u8 = 0xff;
/// A longer packet that starts with the EOF header is a row.
const MAX_EOF_BYTES: usize = 8;

/// Why no view was received from a gateway.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The connection could not be opened, or it failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The reply does not follow the client protocol.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The server is not a gateway, or requires other credentials.
    #[error("login refused")]
    LoginRefused,
    /// Coordination is not enabled at the gateway.
    #[error("no shared state: peers.shares is not enabled at this gateway")]
    NotEnabled,
    /// The first column of the row cannot be decoded.
    #[error("malformed row")]
    MalformedRow,
    /// The result has no rows.
    #[error("result has no rows")]
    NoRow,
    /// The view is not valid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Returns the only row of `SHOW FLEET`, as JSON.
pub(super) fn fetch_view(address: SocketAddr) -> Result<Value, FleetError> {
    let mut connection = Connection::open(address)?;
    connection.log_in()?;
    connection.send(0, SHOW_FLEET)?;
    let row = connection.read_first_row()?;
    let text = first_column(&row).ok_or(FleetError::MalformedRow)?;
    Ok(serde_json::from_slice(text)?)
}

struct Connection {
    stream: TcpStream,
    input: BytesMut,
}

impl Connection {
    fn open(address: SocketAddr) -> Result<Connection, FleetError> {
        let stream = TcpStream::connect_timeout(&address, IO_TIMEOUT)?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        Ok(Connection {
            stream,
            input: BytesMut::new(),
        })
    }

    fn log_in(&mut self) -> Result<(), FleetError> {
        // The greeting is skipped: the reply to its challenge is empty for an empty password.
        self.read_packet()?;
        let flags = CONNECT_WITH_DB | PROTOCOL_41 | SECURE_CONNECTION | PLUGIN_AUTH;
        let login = [
            &flags.to_le_bytes()[..],
            &MAX_PACKET_AND_CHARSET,
            &RESERVED,
            CREDENTIALS,
        ];
        self.send(1, &login.concat())?;
        if self.read_packet()?.first() != Some(&OK_HEADER) {
            return Err(FleetError::LoginRefused);
        }
        Ok(())
    }

    /// Reads the first row of a result, which follows the EOF packet after the columns.
    fn read_first_row(&mut self) -> Result<Bytes, FleetError> {
        let mut eof_packets = 0;
        loop {
            let payload = self.read_packet()?;
            match payload.first() {
                Some(&ERROR_HEADER) => return Err(FleetError::NotEnabled),
                Some(&EOF_HEADER) if payload.len() <= MAX_EOF_BYTES => eof_packets += 1,
                _ if eof_packets == 1 => return Ok(payload),
                _ => {}
            }
            if eof_packets > 1 {
                return Err(FleetError::NoRow);
            }
        }
    }

    /// Sends one packet, which must be shorter than 16 MB, with this sequence number.
    fn send(&mut self, sequence: u8, payload: &[u8]) -> Result<(), FleetError> {
        let length = (payload.len() as u32).to_le_bytes();
        let header = [length[0], length[1], length[2], sequence];
        self.stream.write_all(&[&header, payload].concat())?;
        Ok(())
    }

    /// Reads the payload of the next packet.
    fn read_packet(&mut self) -> Result<Bytes, FleetError> {
        loop {
            if let Some(packet) = next_packet(&mut self.input, MAX_PACKET_BYTES)? {
                return Ok(packet.payload);
            }
            let mut buffer = [0; READ_BUFFER_BYTES];
            let bytes = self.stream.read(&mut buffer)?;
            if bytes == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
            self.input.extend_from_slice(&buffer[..bytes]);
        }
    }
}

/// Decodes the first column of a row: a length of one, three, four or nine bytes, then the text.
/// Returns `None` if the row is truncated.
pub fn first_column(row: &[u8]) -> Option<&[u8]> {
    let (&first, rest) = row.split_first()?;
    let length_bytes = match first {
        0xfc => 2,
        0xfd => 3,
        0xfe => 8,
        _ => return rest.get(..usize::from(first)),
    };
    let mut length = [0; 8];
    length[..length_bytes].copy_from_slice(rest.get(..length_bytes)?);
    let text = rest.get(length_bytes..)?;
    text.get(..u64::from_le_bytes(length) as usize)
}
