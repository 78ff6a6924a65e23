//! A client's session with a gateway over a socket: login, statements, partial writes and close.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use ivypitch_gateway::actors::socket::{read_now, read_some};
use ivypitch_gateway::wire::mysql;
use smol::io::AsyncWriteExt;
use smol::{Async, Timer};

use crate::test_servers::{login, query};

const MAX_PACKET_BYTES: usize = 1 << 20;
/// Pause between the pieces of a message that is written slowly.
const PIECE_PAUSE: Duration = Duration::from_millis(3);
/// An EOF packet is shorter than this.
const EOF_PACKET_LIMIT_BYTES: usize = 9;

/// One logged-in connection.
pub(crate) struct Session {
    stream: Async<TcpStream>,
    input: BytesMut,
    /// The connection id of the greeting.
    pub connection: u32,
    /// Time when the session was opened or its last statement ended.
    pub used_at: Instant,
}

/// Answer to a statement.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Reply {
    /// Payloads of the row packets.
    Rows(Vec<Bytes>),
    /// Code and text of an error.
    Error(u16, String),
}

impl Session {
    /// Connects and logs in.
    pub async fn connect(address: SocketAddr) -> io::Result<Session> {
        let mut session = Session::connect_without_login(address).await?;
        session.write(&login("app")).await?;
        session.read_login_answer().await?;
        Ok(session)
    }

    /// Connects, and sends the login together with the first statement.
    pub async fn connect_and_send(address: SocketAddr, text: &str) -> io::Result<Session> {
        let session = Session::connect_without_login(address).await?;
        session.write(&[login("app"), query(text)].concat()).await?;
        Ok(session)
    }

    /// Connects and reads the greeting.
    async fn connect_without_login(address: SocketAddr) -> io::Result<Session> {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        let mut session = Session {
            stream,
            input: BytesMut::new(),
            connection: 0,
            used_at: Instant::now(),
        };
        let greeting = session.read_packet().await?;
        session.connection =
            connection_id(&greeting).ok_or(io::Error::from(io::ErrorKind::ConnectionRefused))?;
        Ok(session)
    }

    /// Reads the answer to the login.
    pub async fn read_login_answer(&mut self) -> io::Result<()> {
        match self.read_packet().await?.first() {
            Some(0) => Ok(()),
            _ => Err(io::ErrorKind::ConnectionRefused.into()),
        }
    }

    /// Whether the gateway has closed the connection, without waiting.
    pub fn is_closed(&mut self) -> bool {
        matches!(
            read_now(&self.stream, &mut self.input),
            Ok(Some(0)) | Err(_)
        )
    }

    /// Closes the connection as a client that disconnects.
    pub fn close(&self) {
        // The connection may be closed already.
        let _ = self.stream.get_ref().shutdown(Shutdown::Both);
    }

    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes).await
    }

    /// Writes a message in several pieces with a pause between them.
    pub async fn write_in_pieces(&self, bytes: &[u8], pieces: usize) -> io::Result<()> {
        for piece in bytes.chunks(bytes.len().div_ceil(pieces.max(1)).max(1)) {
            self.write(piece).await?;
            Timer::after(PIECE_PAUSE).await;
        }
        Ok(())
    }

    async fn read_packet(&mut self) -> io::Result<Bytes> {
        loop {
            let to_io_error = |_| io::Error::from(io::ErrorKind::InvalidData);
            if let Some(packet) =
                mysql::next_packet(&mut self.input, MAX_PACKET_BYTES).map_err(to_io_error)?
            {
                return Ok(packet.payload);
            }
            if read_some(&self.stream, &mut self.input).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Sends a statement and reads its answer.
    pub async fn execute(&mut self, text: &str) -> io::Result<Reply> {
        self.write(&query(text)).await?;
        self.read_answer().await
    }

    /// Reads the answer to the last statement; an OK packet is read as no rows.
    pub async fn read_answer(&mut self) -> io::Result<Reply> {
        let mut rows = Vec::new();
        let mut eof_count = 0;
        loop {
            let payload = self.read_packet().await?;
            match payload.first() {
                Some(0xff) if payload.len() >= 3 => {
                    let code = u16::from_le_bytes([payload[1], payload[2]]);
                    let text = String::from_utf8_lossy(&payload[3..]).into_owned();
                    return Ok(Reply::Error(code, text));
                }
                Some(0) if eof_count == 0 => return Ok(Reply::Rows(rows)),
                Some(0xfe) if payload.len() < EOF_PACKET_LIMIT_BYTES => {
                    eof_count += 1;
                    if eof_count == 2 {
                        return Ok(Reply::Rows(rows));
                    }
                }
                _ if eof_count == 1 => rows.push(payload),
                _ => {}
            }
        }
    }
}

/// The connection id follows the protocol version and the zero-terminated server version.
fn connection_id(greeting: &[u8]) -> Option<u32> {
    let is_greeting = greeting.first() == Some(&10);
    let version_end = greeting.iter().position(|&byte| byte == 0)?;
    let id = greeting.get(version_end + 1..version_end + 5)?;
    let id = u32::from_le_bytes(id.try_into().ok()?);
    is_greeting.then_some(id)
}

/// The first column of a row.
pub(crate) fn first_column(row: &[u8]) -> String {
    let length = row.first().map_or(0, |&length| usize::from(length));
    String::from_utf8_lossy(row.get(1..1 + length).unwrap_or_default()).into_owned()
}

/// Retry-after of a rejection in milliseconds; 0 if the text has none.
pub(crate) fn retry_after_ms(text: &str) -> u64 {
    text.split("holdoff=")
        .nth(1)
        .and_then(|n| n.trim().parse().ok())
        .unwrap_or(0)
}
