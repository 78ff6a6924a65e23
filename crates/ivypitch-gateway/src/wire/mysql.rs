//! The server's side of the MySQL client protocol 4.1: packets, login, commands, results. No TLS, empty
//! password, EOF packets.

use bytes::{BufMut, Bytes, BytesMut};

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
const NULL: u8 = 0xfb;

/// An error as the client is told it: code, SQL state, text.
pub type Fault<'a> = (u16, &'a str, &'a str);

#[derive(Debug, PartialEq)]
pub struct Broken(pub &'static str);

/// One packet: its sequence number and its payload, a slice of the buffer that it was read into.
#[derive(Debug, PartialEq)]
pub struct Packet {
    pub sequence: u8,
    pub payload: Bytes,
}

/// Takes the next whole packet off the front of `input`; `None` until all of it is there. One that is longer than
/// `largest` is judged from its header.
pub fn next_packet(input: &mut BytesMut, largest: usize) -> Result<Option<Packet>, Broken> {
    let Some(&[a, b, c, sequence]) = input.first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes([a, b, c, 0]) as usize;
    if length > largest {
        return Err(Broken("packet too large"));
    }
    if input.len() < 4 + length {
        return Ok(None);
    }
    let mut packet = input.split_to(4 + length);
    Ok(Some(Packet {
        sequence,
        payload: packet.split_off(4).freeze(),
    }))
}

/// Writes packets that answer one command: each takes the next sequence number.
pub struct Writer<'a> {
    pub out: &'a mut BytesMut,
    pub sequence: u8,
}

impl Writer<'_> {
    fn packet(&mut self, fill: impl FnOnce(&mut BytesMut)) {
        let start = self.out.len();
        self.out.put_slice(&[0, 0, 0, self.sequence]);
        fill(self.out);
        let length = (self.out.len() - start - 4) as u32;
        self.out[start..start + 3].copy_from_slice(&length.to_le_bytes()[..3]);
        self.sequence = self.sequence.wrapping_add(1);
    }

    pub fn greeting(&mut self, connection: u32, scramble: &[u8; 20]) {
        self.packet(|p| {
            p.put_u8(10);
            p.put_slice(b"8.0.0-ivypitch\0");
            p.put_u32_le(connection);
            p.put_slice(&scramble[..8]);
            p.put_u8(0);
            p.put_u16_le(CAPABILITIES as u16);
            p.put_u8(UTF8MB4);
            p.put_u16_le(AUTOCOMMIT);
            p.put_u16_le((CAPABILITIES >> 16) as u16);
            p.put_u8(21);
            p.put_bytes(0, 10);
            p.put_slice(&scramble[8..]);
            p.put_u8(0);
            p.put_slice(b"mysql_native_password\0");
        });
    }

    pub fn ok(&mut self) {
        self.packet(|p| {
            p.put_slice(&[0, 0, 0]);
            p.put_u16_le(AUTOCOMMIT);
            p.put_u16_le(0);
        });
    }

    pub fn error(&mut self, (code, state, text): Fault) {
        self.packet(|p| {
            p.put_u8(0xff);
            p.put_u16_le(code);
            p.put_u8(b'#');
            p.put_slice(state.as_bytes());
            p.put_slice(text.as_bytes());
        });
    }

    pub fn eof(&mut self) {
        self.packet(|p| {
            p.put_slice(&[0xfe, 0, 0]);
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

    /// The begin of a result set: its columns. Rows follow, then [`Writer::eof`].
    pub fn columns(&mut self, columns: &[&[u8]]) {
        self.packet(|p| put_lenenc(p, columns.len() as u64));
        for name in columns {
            self.column(name);
        }
        self.eof();
    }

    /// The caller has checked the number of values.
    pub fn row<'r>(&mut self, row: impl Iterator<Item = &'r [u8]>) {
        self.packet(|p| row.for_each(|value| put_lenenc_bytes(p, value)));
    }
}

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

fn put_lenenc_bytes(p: &mut BytesMut, bytes: &[u8]) {
    put_lenenc(p, bytes.len() as u64);
    p.put_slice(bytes);
}

/// What a client says of itself as it logs in.
#[derive(Debug, PartialEq)]
pub struct Login<'a> {
    pub user: &'a [u8],
    pub password_given: bool,
    pub database: Option<&'a [u8]>,
}

pub fn read_login(payload: &[u8]) -> Result<Login<'_>, Broken> {
    const CUT: Broken = Broken("login cut short");
    let (flags, rest) = payload.split_first_chunk::<4>().ok_or(CUT)?;
    let flags = u32::from_le_bytes(*flags);
    if flags & PROTOCOL_41 == 0 {
        return Err(Broken("client older than protocol 4.1"));
    }
    // Largest packet, character set and 23 bytes kept free.
    let rest = rest.get(4 + 1 + 23..).ok_or(CUT)?;
    let (user, rest) = until_nul(rest).ok_or(CUT)?;
    let (password, rest) = if flags & (SECURE_CONNECTION | PLUGIN_AUTH_LENENC) != 0 {
        let (&length, rest) = rest.split_first().ok_or(CUT)?;
        if length >= NULL {
            return Err(Broken("password too long"));
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
        password_given: !password.is_empty(),
        database,
    })
}

fn until_nul(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|&b| b == 0)?;
    Some((&bytes[..end], &bytes[end + 1..]))
}

#[derive(Debug, PartialEq)]
pub enum Command {
    Quit,
    UseDatabase(Bytes),
    Query(Bytes),
    Ping,
    ResetConnection,
    Unknown(u8),
}

pub fn read_command(payload: Bytes) -> Result<Command, Broken> {
    let Some(&code) = payload.first() else {
        return Err(Broken("empty command"));
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

/// The connection id of a `KILL QUERY n`.
pub fn kill_query(statement: &[u8]) -> Option<u32> {
    let mut words = statement
        .split(|b| b.is_ascii_whitespace() || *b == b';')
        .filter(|w| !w.is_empty());
    let (kill, query) = (words.next()?, words.next()?);
    if !kill.eq_ignore_ascii_case(b"KILL") || !query.eq_ignore_ascii_case(b"QUERY") {
        return None;
    }
    let id = std::str::from_utf8(words.next()?).ok()?.parse().ok()?;
    words.next().is_none().then_some(id)
}

/// A question about what waits.
#[derive(Debug, PartialEq)]
pub enum ShowWaits {
    All,
    /// The statement of this id.
    One(u64),
}

/// `SHOW FLEET`.
pub fn is_show_fleet(statement: &[u8]) -> bool {
    let text = std::str::from_utf8(statement.get(..64).unwrap_or(statement)).unwrap_or_default();
    let mut words = text
        .trim_end_matches([';', ' ', '\n'])
        .split_ascii_whitespace();
    let mut is = |word: &str| words.next().is_some_and(|w| w.eq_ignore_ascii_case(word));
    is("SHOW") && is("FLEET") && words.next().is_none()
}

/// `SHOW QUEUE` or `SHOW WAIT 'id'`.
pub fn show_waits(statement: &[u8]) -> Option<ShowWaits> {
    let text = std::str::from_utf8(statement.get(..64).unwrap_or(statement)).ok()?;
    let mut words = text
        .trim_end_matches([';', ' ', '\n'])
        .split_ascii_whitespace();
    if !words.next()?.eq_ignore_ascii_case("SHOW") {
        return None;
    }
    let what = words.next()?;
    let asked = if what.eq_ignore_ascii_case("QUEUE") {
        ShowWaits::All
    } else if what.eq_ignore_ascii_case("WAIT") {
        let id = words.next()?.trim_matches(['\'', '"']);
        let hex = id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit());
        ShowWaits::One(u64::from_str_radix(id, 16).ok().filter(|_| hex)?)
    } else {
        return None;
    };
    words.next().is_none().then_some(asked)
}
