//! The server's side of the MySQL client/server protocol 4.1: packets, login, commands, results. No TLS, an empty
//! password, EOF packets. Reads and writes buffers, no sockets.

use std::borrow::Cow;

use bytes::{BufMut, Bytes, BytesMut};

/// Three bytes of length and the sequence number.
const HEADER_BYTES: usize = 4;
const PROTOCOL_VERSION: u8 = 10;
const SERVER_VERSION: &[u8] = b"8.0.0-ivypitch\0";
const AUTH_PLUGIN: &[u8] = b"mysql_native_password\0";
/// The length of the greeting's random bytes, and of the zero behind them.
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
/// Stands for NULL where a length is expected.
const NULL: u8 = 0xfb;

const OK_HEADER: u8 = 0;
const EOF_HEADER: u8 = 0xfe;
const ERROR_HEADER: u8 = 0xff;

/// An error as a client reads it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ErrorPacket {
    /// MySQL's error code.
    pub code: u16,
    /// Five characters.
    pub sql_state: &'static str,
    /// In words.
    pub message: Cow<'static, str>,
}

impl ErrorPacket {
    /// An error with a constant message.
    pub const fn new(code: u16, sql_state: &'static str, message: &'static str) -> Self {
        ErrorPacket {
            code,
            sql_state,
            message: Cow::Borrowed(message),
        }
    }
}

/// Why a client's bytes can't be the protocol; its connection is of no use any more.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum ProtocolError {
    /// The header states a length over the bound.
    #[error("packet too large")]
    PacketTooLarge,
    /// A login that ends too soon.
    #[error("login cut short")]
    LoginCutShort,
    /// It does not speak protocol 4.1.
    #[error("client older than protocol 4.1")]
    ClientTooOld,
    /// Over 250 bytes.
    #[error("password too long")]
    PasswordTooLong,
    /// A packet without a command code.
    #[error("empty command")]
    EmptyCommand,
}

/// One packet: its sequence number and its payload, a slice of the buffer that it was read into.
#[derive(Debug, PartialEq)]
pub struct Packet {
    /// The number of the packet in its exchange.
    pub sequence: u8,
    /// What stands behind the header.
    pub payload: Bytes,
}

/// Takes the next complete packet off the front of `input`; `None` until all of it is there. One whose payload is longer
/// than `max_bytes` is an error as soon as its header is there.
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

/// Writes packets that answer one command: each takes the next sequence number.
pub struct Writer<'a> {
    /// Packets are appended here.
    pub out: &'a mut BytesMut,
    /// Of the next packet.
    pub sequence: u8,
}

impl Writer<'_> {
    fn packet(&mut self, fill: impl FnOnce(&mut BytesMut)) {
        let start = self.out.len();
        self.out.put_slice(&[0, 0, 0, self.sequence]);
        fill(self.out);
        let length = (self.out.len() - start - HEADER_BYTES) as u32;
        self.out[start..start + 3].copy_from_slice(&length.to_le_bytes()[..3]);
        self.sequence = self.sequence.wrapping_add(1);
    }

    /// The first packet on a connection; `scramble` are its random bytes, none of them zero.
    pub fn greeting(&mut self, connection: u32, scramble: &[u8; 20]) {
        self.packet(|p| {
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

    /// The command was carried out; nothing follows.
    pub fn ok(&mut self) {
        self.packet(|p| {
            p.put_slice(&[OK_HEADER, 0, 0]);
            p.put_u16_le(AUTOCOMMIT);
            p.put_u16_le(0);
        });
    }

    /// The command failed; nothing follows.
    pub fn error(&mut self, error: &ErrorPacket) {
        self.packet(|p| {
            p.put_u8(ERROR_HEADER);
            p.put_u16_le(error.code);
            p.put_u8(b'#');
            p.put_slice(error.sql_state.as_bytes());
            p.put_slice(error.message.as_bytes());
        });
    }

    /// The end of the columns or of the rows.
    pub fn eof(&mut self) {
        self.packet(|p| {
            p.put_slice(&[EOF_HEADER, 0, 0]);
            p.put_u16_le(AUTOCOMMIT);
        });
    }

    fn column(&mut self, name: &[u8]) {
        self.packet(|p| {
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

    /// The begin of a result set: the names of its columns. Rows follow, then [`Writer::eof`].
    pub fn columns(&mut self, columns: &[&[u8]]) {
        self.packet(|p| put_lenenc(p, columns.len() as u64));
        for name in columns {
            self.column(name);
        }
        self.eof();
    }

    /// One row, with a value for each column: the caller has checked their number.
    pub fn row<'r>(&mut self, row: impl Iterator<Item = &'r [u8]>) {
        self.packet(|p| row.for_each(|value| put_lenenc_bytes(p, value)));
    }
}

/// A length-encoded integer.
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

/// A length-encoded string.
fn put_lenenc_bytes(p: &mut BytesMut, bytes: &[u8]) {
    put_lenenc(p, bytes.len() as u64);
    p.put_slice(bytes);
}

/// What a client says of itself as it logs in.
#[derive(Debug, PartialEq)]
pub struct Login<'a> {
    /// The user's name.
    pub user: &'a [u8],
    /// The password is not empty.
    pub has_password: bool,
    /// The database to use, if it names one.
    pub database: Option<&'a [u8]>,
}

/// Parses the client's answer to the greeting.
pub fn parse_login(payload: &[u8]) -> Result<Login<'_>, ProtocolError> {
    const CUT: ProtocolError = ProtocolError::LoginCutShort;
    let (flags, rest) = payload.split_first_chunk::<4>().ok_or(CUT)?;
    let flags = u32::from_le_bytes(*flags);
    if flags & PROTOCOL_41 == 0 {
        return Err(ProtocolError::ClientTooOld);
    }
    // The client's largest packet, its character set and 23 reserved bytes.
    let rest = rest.get(4 + 1 + 23..).ok_or(CUT)?;
    let (user, rest) = until_nul(rest).ok_or(CUT)?;
    let (password, rest) = if flags & (SECURE_CONNECTION | PLUGIN_AUTH_LENENC) != 0 {
        let (&length, rest) = rest.split_first().ok_or(CUT)?;
        if length >= NULL {
            return Err(ProtocolError::PasswordTooLong);
        }
        rest.split_at_checked(usize::from(length)).ok_or(CUT)?
    } else {
        until_nul(rest).ok_or(CUT)?
    };
    let database = if flags & CONNECT_WITH_DB != 0 && !rest.is_empty() {
        Some(until_nul(rest).map_or(rest, |(name, _)| name)).filter(|name| !name.is_empty())
    } else {
        None
    };
    Ok(Login {
        user,
        has_password: !password.is_empty(),
        database,
    })
}

fn until_nul(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|&b| b == 0)?;
    Some((&bytes[..end], &bytes[end + 1..]))
}

/// What a client asks for once it is logged in.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// The client closes the connection.
    Quit,
    /// Use the database of this name.
    UseDatabase(Bytes),
    /// Run this statement.
    Query(Bytes),
    /// Nothing but an answer.
    Ping,
    /// Forget the session's state.
    ResetConnection,
    /// A command code that the gateway does not serve.
    Unknown(u8),
}

/// Parses a command's packet.
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
