//! The server side of the MySQL client/server protocol 4.1: packets, login, commands and results on
//! buffers, without sockets. No TLS, only empty passwords, and EOF packets instead of OK.

use std::borrow::Cow;

use bytes::{BufMut, Bytes, BytesMut};

/// Three bytes of payload length and one byte of sequence number.
const HEADER_BYTES: usize = 4;
const PROTOCOL_VERSION: u8 = 10;
const SERVER_VERSION: &[u8] = b"8.0.0-ivypitch\0";
const AUTH_PLUGIN: &[u8] = b"mysql_native_password\0";
/// Length of the greeting's random bytes and their terminating zero.
const AUTH_DATA_BYTES: u8 = 21;

const LONG_PASSWORD: u32 = 1;
const CONNECT_WITH_DB: u32 = 1 << 3;
const PROTOCOL_41: u32 = 1 << 9;
const TRANSACTIONS: u32 = 1 << 13;
const SECURE_CONNECTION: u32 = 1 << 15;
const PLUGIN_AUTH: u32 = 1 << 19;
const PLUGIN_AUTH_LENENC: u32 = 1 << 21;
const CAPABILITIES: u32 =
    LONG_PASSWORD | CONNECT_WITH_DB | PROTOCOL_41 | TRANSACTIONS | SECURE_CONNECTION | PLUGIN_AUTH;
const AUTOCOMMIT: u16 = 2;
const UTF8MB4: u8 = 45;
const TYPE_VAR_STRING: u8 = 253;
/// Marks NULL in place of a length.
const NULL: u8 = 0xfb;

const OK_HEADER: u8 = 0;
const EOF_HEADER: u8 = 0xfe;
const ERROR_HEADER: u8 = 0xff;

/// An error as sent to a client.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ErrorPacket {
    /// The MySQL error code.
    pub code: u16,
    /// The SQLSTATE, five characters.
    pub sql_state: &'static str,
    /// The error message.
    pub message: Cow<'static, str>,
}

impl ErrorPacket {
    /// Creates an error with a constant message.
    pub const fn new(code: u16, sql_state: &'static str, message: &'static str) -> Self {
        ErrorPacket {
            code,
            sql_state,
            message: Cow::Borrowed(message),
        }
    }
}

/// Why bytes from a client violate the protocol; the connection must be closed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum ProtocolError {
    /// The payload length in the header exceeds the limit.
    #[error("packet too large")]
    PacketTooLarge,
    /// The login packet ends early.
    #[error("login packet truncated")]
    LoginTruncated,
    /// The client does not support protocol 4.1.
    #[error("client does not support protocol 4.1")]
    ClientTooOld,
    /// The password is longer than 250 bytes.
    #[error("password too long")]
    PasswordTooLong,
    /// The command packet has no command code.
    #[error("empty command")]
    EmptyCommand,
}

/// One packet; the payload is a slice of the receive buffer.
#[derive(Debug, PartialEq)]
pub struct Packet {
    /// Sequence number of the packet within its command.
    pub sequence: u8,
    /// The bytes after the header.
    pub payload: Bytes,
}

/// Removes the next complete packet from the front of `input`; `None` if it is incomplete. A
/// payload longer than `max_bytes` is an error as soon as the header has arrived.
pub fn next_packet(
    input: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<Packet>, ProtocolError> {
    let Some(&[a, b, c, sequence]) = input.first_chunk::<HEADER_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes([a, b, c, 0]) as usize;
    if length > max_bytes {
        return Err(ProtocolError::PacketTooLarge);
    }
    if input.len() < HEADER_BYTES + length {
        return Ok(None);
    }
    let mut packet = input.split_to(HEADER_BYTES + length);
    Ok(Some(Packet {
        sequence,
        payload: packet.split_off(HEADER_BYTES).freeze(),
    }))
}

/// Writes the packets that answer one command, with consecutive sequence numbers.
pub struct Writer<'a> {
    /// Packets are appended here.
    pub out: &'a mut BytesMut,
    /// Sequence number of the next packet.
    pub sequence: u8,
}

impl Writer<'_> {
    fn write_packet(&mut self, fill: impl FnOnce(&mut BytesMut)) {
        let start = self.out.len();
        self.out.put_slice(&[0, 0, 0, self.sequence]);
        fill(self.out);
        let length = (self.out.len() - start - HEADER_BYTES) as u32;
        self.out[start..start + 3].copy_from_slice(&length.to_le_bytes()[..3]);
        self.sequence = self.sequence.wrapping_add(1);
    }

    /// Writes the first packet of a connection; `scramble` is random and has no zero bytes.
    pub fn greeting(&mut self, connection: u32, scramble: &[u8; 20]) {
        self.write_packet(|p| {
            p.put_u8(PROTOCOL_VERSION);
            p.put_slice(SERVER_VERSION);
            p.put_u32_le(connection);
            p.put_slice(&scramble[..8]);
            p.put_u8(0);
            p.put_u16_le(CAPABILITIES as u16);
            p.put_u8(UTF8MB4);
            p.put_u16_le(AUTOCOMMIT);
            p.put_u16_le((CAPABILITIES >> 16) as u16);
            p.put_u8(AUTH_DATA_BYTES);
            p.put_bytes(0, 10);
            p.put_slice(&scramble[8..]);
            p.put_u8(0);
            p.put_slice(AUTH_PLUGIN);
        });
    }

    /// Writes an OK packet, which ends the answer.
    pub fn ok(&mut self) {
        self.write_packet(|p| {
            p.put_slice(&[OK_HEADER, 0, 0]);
            p.put_u16_le(AUTOCOMMIT);
            p.put_u16_le(0);
        });
    }

    /// Writes an error packet, which ends the answer.
    pub fn error(&mut self, error: &ErrorPacket) {
        self.write_packet(|p| {
            p.put_u8(ERROR_HEADER);
            p.put_u16_le(error.code);
            p.put_u8(b'#');
            p.put_slice(error.sql_state.as_bytes());
            p.put_slice(error.message.as_bytes());
        });
    }

    /// Writes an EOF packet, which ends the columns or the rows.
    pub fn eof(&mut self) {
        self.write_packet(|p| {
            p.put_slice(&[EOF_HEADER, 0, 0]);
            p.put_u16_le(AUTOCOMMIT);
        });
    }

    fn write_column(&mut self, name: &[u8]) {
        self.write_packet(|p| {
            for text in [&b"def"[..], b"", b"", b"", name, name] {
                put_lenenc_bytes(p, text);
            }
            p.put_u8(0x0c);
            p.put_u16_le(u16::from(UTF8MB4));
            p.put_u32_le(u32::MAX >> 8);
            p.put_u8(TYPE_VAR_STRING);
            p.put_slice(&[0, 0, 0, 0, 0]);
        });
    }

    /// Writes the start of a result set: its column names. Rows follow, then [`Writer::eof`].
    pub fn columns(&mut self, columns: &[&[u8]]) {
        self.write_packet(|p| put_lenenc(p, columns.len() as u64));
        for name in columns {
            self.write_column(name);
        }
        self.eof();
    }

    /// Writes one row; the caller has checked that it has one value per column.
    pub fn row<'r>(&mut self, row: impl Iterator<Item = &'r [u8]>) {
        self.write_packet(|p| row.for_each(|value| put_lenenc_bytes(p, value)));
    }
}

/// Appends a length-encoded integer.
fn put_lenenc(p: &mut BytesMut, n: u64) {
    match n {
        0..=0xfa => p.put_u8(n as u8),
        0xfb..=0xffff => {
            p.put_u8(0xfc);
            p.put_u16_le(n as u16);
        }
        0x1_0000..=0xff_ffff => {
            p.put_u8(0xfd);
            p.put_uint_le(n, 3);
        }
        _ => {
            p.put_u8(0xfe);
            p.put_u64_le(n);
        }
    }
}

/// Appends a length-encoded string.
fn put_lenenc_bytes(p: &mut BytesMut, bytes: &[u8]) {
    put_lenenc(p, bytes.len() as u64);
    p.put_slice(bytes);
}

/// A client's login.
#[derive(Debug, PartialEq)]
pub struct Login<'a> {
    /// The user name.
    pub user: &'a [u8],
    /// Whether the password is not empty.
    pub has_password: bool,
    /// The initial database, if given.
    pub database: Option<&'a [u8]>,
}

/// Parses the client's response to the greeting.
pub fn parse_login(payload: &[u8]) -> Result<Login<'_>, ProtocolError> {
    const TRUNCATED: ProtocolError = ProtocolError::LoginTruncated;
    let (flags, rest) = payload.split_first_chunk::<4>().ok_or(TRUNCATED)?;
    let flags = u32::from_le_bytes(*flags);
    if flags & PROTOCOL_41 == 0 {
        return Err(ProtocolError::ClientTooOld);
    }
    // Skip the maximum packet size, the character set and 23 reserved bytes.
    let rest = rest.get(4 + 1 + 23..).ok_or(TRUNCATED)?;
    let (user, rest) = split_at_nul(rest).ok_or(TRUNCATED)?;
    let (password, rest) = if flags & (SECURE_CONNECTION | PLUGIN_AUTH_LENENC) != 0 {
        let (&length, rest) = rest.split_first().ok_or(TRUNCATED)?;
        if length >= NULL {
            return Err(ProtocolError::PasswordTooLong);
        }
        rest.split_at_checked(usize::from(length))
            .ok_or(TRUNCATED)?
    } else {
        split_at_nul(rest).ok_or(TRUNCATED)?
    };
    let database = if flags & CONNECT_WITH_DB != 0 && !rest.is_empty() {
        Some(split_at_nul(rest).map_or(rest, |(name, _)| name)).filter(|name| !name.is_empty())
    } else {
        None
    };
    Ok(Login {
        user,
        has_password: !password.is_empty(),
        database,
    })
}

fn split_at_nul(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|&b| b == 0)?;
    Some((&bytes[..end], &bytes[end + 1..]))
}

/// A command of a logged-in client.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Close the connection.
    Quit,
    /// Switch to the database of this name.
    UseDatabase(Bytes),
    /// Run this statement.
    Query(Bytes),
    /// Answer without doing anything.
    Ping,
    /// Reset the session state.
    ResetConnection,
    /// A command that the gateway does not support, by its code.
    Unknown(u8),
}

/// Parses the payload of a command packet.
pub fn parse_command(payload: Bytes) -> Result<Command, ProtocolError> {
    let Some(&code) = payload.first() else {
        return Err(ProtocolError::EmptyCommand);
    };
    let rest = payload.slice(1..);
    Ok(match code {
        0x01 => Command::Quit,
        0x02 => Command::UseDatabase(rest),
        0x03 => Command::Query(rest),
        0x0e => Command::Ping,
        0x1f => Command::ResetConnection,
        other => Command::Unknown(other),
    })
}
