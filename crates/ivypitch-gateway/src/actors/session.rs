//! A client's session: login, one statement at a time, its one answer.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bytes::{Bytes, BytesMut};
use futures_lite::{AsyncWriteExt, FutureExt};
use ivypitch_deployment::Names;

use super::{Answer, ModuleMail};
use crate::life::clock::Clock;
use crate::memory::rows::COLUMNS;
use crate::wire::fields;
use crate::wire::mysql::{self, Command, Fault, Packet, Writer};

const USER: &[u8] = b"app";
const DATABASE: &[u8] = b"dw";
/// Clients close idle connections after 4 s; one idle for twice as long has been left behind.
const IDLE: Duration = Duration::from_secs(8);
const READ: usize = 8 << 10;

const TOO_MANY: Fault = (1040, "08004", "Too many connections");
const UNKNOWN_COMMAND: Fault = (1047, "08S01", "Unknown command");
const DENIED: Fault = (1045, "28000", "Access denied: user app with an empty password is expected");
const NO_DATABASE: Fault = (1049, "42000", "Unknown database: dw is expected");
const KILLED: Fault = (1317, "70100", "Query execution was interrupted");
const ABORTED: Fault = (1105, "HY000", "The statement failed and may have run");
const NOT_UNDERSTOOD: u16 = 1064;
const REJECTED: u16 = 1203;

/// All sessions: their number and that of the statements taken and not yet answered.
pub struct Sessions {
    clients: usize,
    told: usize,
    names: Names,
    clock: Clock,
    module: Sender<ModuleMail>,
    seed: u64,
    last_connection: Cell<u32>,
    here: Cell<usize>,
    open: Cell<usize>,
    fewer: (Sender<()>, Receiver<()>),
}

impl Sessions {
    /// Statements of `clients` sessions are served at once; `told` more sessions may be there, and are told that
    /// there are too many where that is so.
    pub fn new(
        clients: usize,
        told: usize,
        names: Names,
        clock: Clock,
        module: Sender<ModuleMail>,
        seed: u64,
    ) -> Rc<Sessions> {
        Rc::new(Sessions {
            clients,
            told,
            names,
            clock,
            module,
            seed,
            last_connection: Cell::new(0),
            here: Cell::new(0),
            open: Cell::new(0),
            fewer: async_channel::bounded(1),
        })
    }

    pub fn counts(&self) -> (usize, usize) {
        (self.here.get(), self.open.get())
    }

    /// More statements are open than clients may be served at once. Asked for each statement: a session that
    /// came while others were still closing is as good as any.
    fn too_many(&self) -> bool {
        self.open.get() > self.clients
    }

    async fn until(&self, done: impl Fn(&Sessions) -> bool) {
        while !done(self) {
            let _ = self.fewer.1.recv().await;
        }
    }

    /// Waits until one more session may be there.
    pub async fn place(self: &Rc<Self>) -> Place {
        self.until(|s| s.here.get() < s.clients + s.told).await;
        self.here.set(self.here.get() + 1);
        Place(self.clone())
    }

    pub async fn all_answered(&self) {
        self.until(|s| s.open.get() == 0).await;
    }

    fn one_less(&self, of: &Cell<usize>) {
        of.set(of.get() - 1);
        let _ = self.fewer.0.try_send(());
    }
}

/// A session's place among all; it is free again once this is dropped.
pub struct Place(Rc<Sessions>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.one_less(&self.0.here);
    }
}

/// Stands for a statement until its answer is written.
struct OpenMark<'a>(&'a Sessions);

impl<'a> OpenMark<'a> {
    fn new(sessions: &'a Sessions) -> Self {
        sessions.open.set(sessions.open.get() + 1);
        OpenMark(sessions)
    }
}

impl Drop for OpenMark<'_> {
    fn drop(&mut self) {
        self.0.one_less(&self.0.open);
    }
}

struct Session<'a> {
    stream: Async<TcpStream>,
    input: BytesMut,
    output: BytesMut,
    connection: u32,
    sessions: &'a Sessions,
}

/// Why a session ends. None of it is worth a log line.
enum Over {
    Closed,
    Broken,
    Quit,
}

impl From<io::Error> for Over {
    fn from(_: io::Error) -> Self {
        Over::Broken
    }
}

impl From<mysql::Broken> for Over {
    fn from(_: mysql::Broken) -> Self {
        Over::Broken
    }
}

pub async fn serve(stream: Async<TcpStream>, place: Place, sessions: Rc<Sessions>) {
    let connection = sessions.last_connection.get().wrapping_add(1).max(1);
    sessions.last_connection.set(connection);
    let mut session =
        Session { stream, input: BytesMut::new(), output: BytesMut::new(), connection, sessions: &sessions };
    let Err(_over) = session.run().await;
    let _ = session.stream.get_ref().shutdown(Shutdown::Both);
    drop(place);
}

impl Session<'_> {
    async fn run(&mut self) -> Result<std::convert::Infallible, Over> {
        let connection = self.connection;
        let scramble = scramble(self.sessions.seed, connection);
        self.writer(0).greeting(connection, &scramble);
        self.flush().await?;
        let login = self.next_packet().await?;
        let refused = match mysql::read_login(&login.payload)? {
            l if l.user != USER || l.password_given => Some(DENIED),
            l if l.database.is_some_and(|d| d != DATABASE) => Some(NO_DATABASE),
            _ => None,
        };
        let mut writer = self.writer(login.sequence.wrapping_add(1));
        match refused {
            Some(fault) => writer.error(fault),
            None => writer.ok(),
        }
        self.flush().await?;
        if refused.is_some() {
            return Err(Over::Closed);
        }
        loop {
            let packet = self.next_packet().await?;
            let sequence = packet.sequence.wrapping_add(1);
            let at = self.sessions.clock.now();
            let _open = OpenMark::new(self.sessions);
            match mysql::read_command(packet.payload)? {
                Command::Quit => return Err(Over::Quit),
                Command::Query(_) if self.sessions.too_many() => self.writer(sequence).error(TOO_MANY),
                Command::Query(text) => self.query(text, sequence, at).await?,
                Command::Ping | Command::ResetConnection => self.writer(sequence).ok(),
                Command::UseDatabase(name) if name[..] == *DATABASE => self.writer(sequence).ok(),
                Command::UseDatabase(_) => self.writer(sequence).error(NO_DATABASE),
                Command::Unknown(_) => self.writer(sequence).error(UNKNOWN_COMMAND),
            }
            self.flush().await?;
        }
    }

    async fn query(&mut self, text: Bytes, sequence: u8, at: u64) -> Result<(), Over> {
        let module = &self.sessions.module;
        if let Some(connection) = mysql::kill_query(&text) {
            let _ = module.try_send(ModuleMail::Kill { connection });
            self.writer(sequence).ok();
            return Ok(());
        }
        let names = &self.sessions.names;
        let index = |list: &[String], name: &Bytes| list.iter().position(|n| n.as_bytes() == &name[..]);
        let read = fields::read(&text).and_then(|fields| {
            let workload = index(&names.workloads, &fields.kind).ok_or("kind is none of the deployment's")?;
            let customer = match &fields.owner {
                Some(owner) => index(&names.customers, owner).ok_or("owner is none of the deployment's")?,
                None => 0,
            };
            Ok((fields, workload, customer))
        });
        let (fields, workload, customer) = match read {
            Ok(read) => read,
            Err(what) => {
                self.writer(sequence).error((NOT_UNDERSTOOD, "42000", what));
                return Ok(());
            }
        };
        let (client, answer) = async_channel::bounded(1);
        let connection = self.connection;
        let _ = module.try_send(ModuleMail::Arrived { connection, fields, workload, customer, at, client });
        let answer = match self.wait(answer).await {
            Ok(answer) => answer,
            Err(over) => {
                let _ = self.sessions.module.try_send(ModuleMail::Gone { connection });
                return Err(over);
            }
        };
        let mut writer = self.writer(sequence);
        match answer {
            Answer::Completed(rows) => writer.result(&COLUMNS, rows.iter()),
            Answer::Rejected { come_back: 0 } => {
                writer.error((REJECTED, "42000", "Refused; the statement did not run"));
            }
            Answer::Rejected { come_back } => {
                let text = format!("Refused; the statement did not run, holdoff={}", come_back / 1_000_000);
                writer.error((REJECTED, "42000", &text));
            }
            Answer::Aborted => writer.error(ABORTED),
            Answer::Killed => writer.error(KILLED),
        }
        Ok(())
    }

    /// The answer, unless the client goes first. What else it writes meanwhile is kept for later.
    async fn wait(&mut self, answer: Receiver<Answer>) -> Result<Answer, Over> {
        let answered = async { answer.recv().await.map_err(|_| Over::Broken) };
        let gone = async {
            loop {
                if self.input.len() > mysql::LARGEST_PACKET {
                    // Enough is kept; its end shows when the answer is written.
                    std::future::pending::<()>().await;
                }
                if read_some(&self.stream, &mut self.input).await? == 0 {
                    return Err(Over::Closed);
                }
                if self.input[..] == *b"\x01\0\0\0\x01" {
                    return Err(Over::Quit);
                }
            }
        };
        answered.or(gone).await
    }

    fn writer(&mut self, sequence: u8) -> Writer<'_> {
        Writer { out: &mut self.output, sequence }
    }

    async fn flush(&mut self) -> Result<(), Over> {
        let mut stream = &self.stream;
        within(IDLE, async { Ok(stream.write_all(&self.output).await?) }).await?;
        self.output = BytesMut::new();
        Ok(())
    }

    async fn next_packet(&mut self) -> Result<Packet, Over> {
        loop {
            if let Some(packet) = mysql::next_packet(&mut self.input)? {
                return Ok(packet);
            }
            let read = within(IDLE, async { Ok(read_some(&self.stream, &mut self.input).await?) });
            if read.await? == 0 {
                return Err(Over::Closed);
            }
        }
    }
}

async fn within<T>(limit: Duration, work: impl Future<Output = Result<T, Over>>) -> Result<T, Over> {
    work.or(async {
        Timer::after(limit).await;
        Err(Over::Closed)
    })
    .await
}

/// Reads what is there into the buffer's free end. Dropped before it is done, it leaves the buffer as it was.
pub async fn read_some(stream: &Async<TcpStream>, into: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        let start = into.len();
        into.resize(start + READ, 0);
        let n = io::Read::read(&mut stream.get_ref(), &mut into[start..]);
        into.truncate(start + n.as_ref().copied().unwrap_or(0));
        match n {
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
            done => return done,
        }
    }
}

/// The greeting's random bytes, none of them zero. With an empty password nothing hangs on them.
fn scramble(seed: u64, connection: u32) -> [u8; 20] {
    let mut state = seed ^ u64::from(connection).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    [0; 20].map(|_: u8| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        33 + (state >> 32) as u8 % 94
    })
}
