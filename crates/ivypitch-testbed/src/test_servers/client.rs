//! A client of the MySQL protocol.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use super::gateway::Gateway;
use super::waiting::WAIT_TIMEOUT;

/// Answer of a gateway to one command of a client.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Rows(Vec<Vec<String>>),
    Error(u16, String),
    Closed,
}

impl Answer {
    /// Code of the error; 0 otherwise.
    pub fn error_code(&self) -> u16 {
        if let Answer::Error(code, _) = self {
            *code
        } else {
            0
        }
    }
}

/// MySQL packet with this sequence number.
pub fn packet(sequence: u8, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    [&[length[0], length[1], length[2], sequence], payload].concat()
}

/// Login packet of the MySQL protocol.
pub fn login(user: &str) -> Vec<u8> {
    let flags: u32 = 1 << 3 | 1 << 9 | 1 << 15 | 1 << 19;
    let mut payload = [
        &flags.to_le_bytes()[..],
        &[0, 0, 0, 1, 45],
        &[0; 23],
        user.as_bytes(),
        &[0, 0],
    ]
    .concat();
    payload.extend(b"dw\0mysql_native_password\0");
    packet(1, &payload)
}

/// Query packet of the MySQL protocol.
pub fn query(text: &str) -> Vec<u8> {
    packet(0, &[&[3], text.as_bytes()].concat())
}

/// Text of a statement with its comment of fields.
pub fn statement(kind: &str, req: u64, timeout_ms: u64) -> String {
    format!(
        "/* kind={kind},req={req:016x},timeout={timeout_ms},owner=acme,ms=20.0,space=32 */ SELECT a FROM sales_17.orders"
    )
}

/// A blocking client of the MySQL protocol.
pub struct Client {
    pub stream: TcpStream,
    pub connection: u32,
}

impl Client {
    /// Connects and logs in.
    pub fn connect(gateway: &Gateway) -> Client {
        Client::connect_to(gateway.address)
    }

    pub fn connect_to(address: SocketAddr) -> Client {
        let mut client = Client::connect_without_login_to(address);
        client.send(&login("app"));
        client.finish_login();
        client
    }

    /// Connects without writing or reading.
    pub fn connect_without_login(gateway: &Gateway) -> Client {
        Client::connect_without_login_to(gateway.address)
    }

    fn connect_without_login_to(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        // Nagle's algorithm would delay small writes until earlier ones are acknowledged.
        stream.set_nodelay(true).unwrap();
        Client {
            stream,
            connection: 0,
        }
    }

    /// Reads the greeting and the answer to the login.
    pub fn finish_login(&mut self) -> Answer {
        self.read_greeting();
        self.read_answer(2)
    }

    pub fn read_greeting(&mut self) {
        let greeting = self.read_packet().expect("a greeting").1;
        let version = greeting.iter().position(|&b| b == 0).unwrap();
        self.connection =
            u32::from_le_bytes(greeting[version + 1..version + 5].try_into().unwrap());
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Sends a statement and reads its answer.
    pub fn execute(&mut self, text: &str) -> Answer {
        self.send(&query(text));
        self.read_answer(1)
    }

    /// Connects and logs in; `None` if no gateway accepts the client.
    pub fn try_connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut client = Client {
            stream,
            connection: 0,
        };
        client.stream.write_all(&login("app")).ok()?;
        client
            .read_packet()
            .filter(|(_, payload)| payload.first() == Some(&10))?;
        (client.read_answer(2).error_code() == 0).then_some(client)
    }

    /// Sends login and statement in one write, as clients may do, and reads the answer to the statement.
    pub fn login_and_execute(address: SocketAddr, text: &str) -> Answer {
        let mut client = Client::connect_without_login_to(address);
        client.send(&[login("app"), query(text)].concat());
        client.finish_login();
        client.read_answer(1)
    }

    /// `None`: the connection is closed.
    pub fn try_execute(&mut self, text: &str) -> Option<Answer> {
        self.stream.write_all(&query(text)).ok()?;
        Some(self.read_answer(1))
    }

    pub fn ping(&mut self) -> Answer {
        self.send(&packet(0, &[0x0e]));
        self.read_answer(1)
    }

    pub fn read_packet(&mut self) -> Option<(u8, Vec<u8>)> {
        let mut head = [0; 4];
        self.stream.read_exact(&mut head).ok()?;
        let mut payload = vec![0; u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize];
        self.stream.read_exact(&mut payload).ok()?;
        Some((head[3], payload))
    }

    /// Reads the answer to one command, whose packets are numbered from `sequence`. An OK packet is read as no rows.
    pub fn read_answer(&mut self, mut sequence: u8) -> Answer {
        let (mut rows, mut eof_count) = (Vec::new(), 0);
        loop {
            let Some((number, payload)) = self.read_packet() else {
                return Answer::Closed;
            };
            assert_eq!(number, sequence, "sequence number");
            sequence = sequence.wrapping_add(1);
            match payload[0] {
                0xff => {
                    let text = String::from_utf8_lossy(&payload[9..]).into_owned();
                    return Answer::Error(u16::from_le_bytes([payload[1], payload[2]]), text);
                }
                0 if rows.is_empty() && eof_count == 0 => return Answer::Rows(rows),
                0xfe if payload.len() < 9 => {
                    eof_count += 1;
                    if eof_count == 2 {
                        return Answer::Rows(rows);
                    }
                }
                _ if eof_count == 1 => rows.push(columns(&payload)),
                _ => {}
            }
        }
    }
}

/// Decodes the columns of a row.
fn columns(mut row: &[u8]) -> Vec<String> {
    let mut columns = Vec::new();
    while let Some((&first, rest)) = row.split_first() {
        let (length, rest) = match first {
            0xfc => (
                usize::from(u16::from_le_bytes([rest[0], rest[1]])),
                &rest[2..],
            ),
            short => (usize::from(short), rest),
        };
        columns.push(String::from_utf8(rest[..length].to_vec()).unwrap());
        row = &rest[length..];
    }
    columns
}
