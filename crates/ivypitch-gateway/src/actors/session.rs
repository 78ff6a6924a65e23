//! A client's session: login, one statement at a time, its one answer. Whatever a client sends or leaves out, a
//! session's buffers, counts and waits have bounds, and all sessions together have theirs.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use bytes::{Bytes, BytesMut};
use futures_lite::{AsyncWriteExt, FutureExt, future::yield_now};
use ivypitch_config::Names;

use super::messages::{
    Answer, ClientHandle, ClientPresence, ClientStatement, QueueRow, SchedulerMessage,
};
use super::socket::{read_now, read_some};
use crate::lifecycle::bounds::Bounds;
use crate::lifecycle::clock::Clock;
use crate::state::rows::{COLUMNS, Rows};
use crate::state::sessions::{FRESH, SessionStage, SessionState, SessionTable};
use crate::wire::fields;
use crate::wire::mysql::{self, Command, Fault, Packet, ShowWaits, Writer};

const USER: &[u8] = b"app";
const DATABASE: &[u8] = b"dw";
/// A connection is owed an answer or a close within 3 s: so long it may take to log in and give its first command.
const FIRST_COMMAND: Duration = Duration::from_secs(2);
/// And so long for the rest of a message that it has begun.
const REST_OF_MESSAGE: Duration = Duration::from_secs(1);
/// Clients close idle connections after 4 s; one that is idle for longer has been left behind.
const IDLE: Duration = Duration::from_secs(5);
/// A client that reads nothing for so long has gone.
const UNREAD: Duration = Duration::from_secs(3);
/// Behind the last byte to a client so much is read and dropped, for so long: a close over unread bytes resets the
/// connection, and what the client has not read yet is gone.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 256 << 10;
/// An answer is written in pieces of about this size.
const WRITE: usize = 16 << 10;

const TOO_MANY: Fault = (1040, "08004", "Too many connections");
const BAD_HANDSHAKE: Fault = (1043, "08S01", "Bad handshake");
const UNKNOWN_COMMAND: Fault = (1047, "08S01", "Unknown command");
const DENIED: Fault = (
    1045,
    "28000",
    "Access denied: user app with an empty password is expected",
);
const NO_DATABASE: Fault = (1049, "42000", "Unknown database: dw is expected");
const ID_TAKEN: Fault = (1062, "23000", "A statement with this req is open");
const KILLED: Fault = (1317, "70100", "Query execution was interrupted");
const ABORTED: Fault = (1105, "HY000", "The statement failed and may have run");
const ENDED_BEFORE: Fault = (
    1105,
    "HY000",
    "The statement completed before; its result is no longer kept",
);
const OUT_OF_ORDER: Fault = (
    1156,
    "08S01",
    "One command at a time: the answer to the last had not been read",
);
const MALFORMED: u16 = 1835;
const NOT_UNDERSTOOD: u16 = 1064;
const REJECTED: u16 = 1203;
const ENDING: Fault = (
    REJECTED,
    "42000",
    "Refused; the gateway is ending and the statement did not run",
);

/// All sessions, and the number of the statements taken and not yet answered.
pub struct Sessions {
    bounds: Bounds,
    names: Names,
    clock: Clock,
    module: Sender<SchedulerMessage>,
    seed: u64,
    last: Cell<u32>,
    /// By connection number; a session ends as its task is dropped.
    table: RefCell<SessionTable<Open>>,
    open: Cell<usize>,
    /// Clients may ask what waits.
    show: Cell<bool>,
    show_fleet: Cell<bool>,
    fewer: (Sender<()>, Receiver<()>),
}

impl Sessions {
    pub fn new(
        bounds: Bounds,
        names: Names,
        clock: Clock,
        module: Sender<SchedulerMessage>,
        seed: u64,
    ) -> Rc<Sessions> {
        Rc::new(Sessions {
            bounds,
            names,
            clock,
            module,
            seed,
            last: Cell::new(0),
            table: RefCell::new(SessionTable::new(bounds.clients + bounds.told)),
            open: Cell::new(0),
            show: Cell::new(false),
            show_fleet: Cell::new(false),
            fewer: async_channel::bounded(1),
        })
    }

    pub fn show_fleet(&self, on: bool) {
        self.show_fleet.set(on);
    }

    pub fn show(&self, on: bool) {
        self.show.set(on);
    }

    pub fn counts(&self) -> (usize, usize) {
        (self.table.borrow().len(), self.open.get())
    }

    /// A new session. Past the bound another ends for it; where all have statements open, it is told so.
    pub fn admit(self: &Rc<Self>, stream: Async<TcpStream>, executor: &LocalExecutor<'static>) {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let has_room = table.make_room(now, |open| open.presence.is_waiting());
        self.last.set(self.last.get().wrapping_add(1));
        let connection = connection_id(self.seed, self.last.get());
        let state = SessionState::new(now);
        let stream = Rc::new(stream);
        let presence = Rc::new(ClientPresence {
            stream: Rc::downgrade(&stream),
            has_left: Cell::new(false),
        });
        let session = Session {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            connection,
            connected_at: now,
            sequence: 0,
            state: state.clone(),
            presence: presence.clone(),
            sessions: self.clone(),
        };
        if has_room {
            let task = executor.spawn(session.serve());
            table.insert(connection, state, Open { task, presence });
        } else {
            let task = executor.spawn(session.refuse());
            table.close_beside(connection, state, Open { task, presence });
        }
    }

    /// So many statements are open as clients may have. Asked for each statement: a session that came while
    /// others were still closing is as good as any.
    fn too_many(&self) -> bool {
        self.open.get() >= self.bounds.clients
    }

    /// The program ends: commands are refused from now on, and sessions close as soon as nothing is open on them.
    pub fn end_all(&self) {
        self.table.borrow_mut().end_all();
    }

    pub async fn all_closed(&self) {
        while !self.table.borrow().is_empty() {
            let _ = self.fewer.1.recv().await;
        }
    }

    fn closed(&self, connection: u32) {
        let open = self.table.borrow_mut().remove(connection);
        if let Some(open) = open {
            open.task.detach();
        }
        let _ = self.fewer.0.try_send(());
    }
}

/// A session's place in the table.
struct Open {
    task: Task<()>,
    presence: Rc<ClientPresence>,
}

/// Stands for a statement that the module has, until its answer is written.
struct OpenMark<'a>(&'a Sessions);

impl<'a> OpenMark<'a> {
    fn new(sessions: &'a Sessions) -> Self {
        sessions.open.set(sessions.open.get() + 1);
        OpenMark(sessions)
    }
}

impl Drop for OpenMark<'_> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

struct Session {
    stream: Rc<Async<TcpStream>>,
    input: BytesMut,
    output: BytesMut,
    connection: u32,
    connected_at: Instant,
    /// Of the next packet to the client.
    sequence: u8,
    state: Rc<SessionState>,
    presence: Rc<ClientPresence>,
    sessions: Rc<Sessions>,
}

/// Why a session ends. None of it is worth a log line.
enum SessionEnd {
    /// The client has gone or reads nothing: there is nothing more to say.
    Disconnected,
    /// Nothing is open, and the client has been silent for too long, makes room, or the program ends.
    Quiet,
    /// It is told, then its connection is closed.
    Told(Fault<'static>),
}

impl From<io::Error> for SessionEnd {
    fn from(_: io::Error) -> Self {
        SessionEnd::Disconnected
    }
}

impl From<mysql::Broken> for SessionEnd {
    fn from(mysql::Broken(what): mysql::Broken) -> Self {
        SessionEnd::Told((MALFORMED, "HY000", what))
    }
}

impl Session {
    async fn serve(mut self) {
        let Err(end) = self.run().await;
        self.close(end).await;
    }

    /// There is no room for it.
    async fn refuse(mut self) {
        self.close(SessionEnd::Told(TOO_MANY)).await;
    }

    /// The one way in which a session closes, whatever the reason: no command is read any more; the last answer, with
    /// the error where one is due; our half is closed; what the client still sends is read and dropped until it has
    /// closed too, for a while; only then the connection.
    async fn close(&mut self, end: SessionEnd) {
        self.presence.has_left.set(true);
        self.state.busy.set(false);
        self.state.is_over.set(true);
        self.input = BytesMut::new();
        let said = match end {
            SessionEnd::Disconnected => Err(SessionEnd::Disconnected),
            SessionEnd::Quiet => Ok(()),
            SessionEnd::Told(fault) => {
                self.writer(self.sequence).error(fault);
                self.flush().await
            }
        };
        let said = said.and_then(|()| Ok(self.stream.get_ref().shutdown(Shutdown::Write)?));
        if said.is_ok() {
            let dropped = async {
                let mut bytes = 0;
                while bytes < LINGER_BYTES {
                    self.input.clear();
                    match read_some(&self.stream, &mut self.input).await? {
                        0 => break,
                        n => bytes += n,
                    }
                }
                Ok(())
            };
            let _ = within(Instant::now() + LINGER, dropped).await;
        }
        let _ = self.stream.get_ref().shutdown(Shutdown::Both);
        self.sessions.closed(self.connection);
    }

    async fn run(&mut self) -> Result<Infallible, SessionEnd> {
        let connection = self.connection;
        let scramble = scramble(self.sessions.seed, connection);
        self.writer(0).greeting(connection, &scramble);
        self.flush().await?;
        let login = self.next_packet().await?;
        match mysql::read_login(&login.payload) {
            Err(_) => return Err(SessionEnd::Told(BAD_HANDSHAKE)),
            Ok(l) if l.user != USER || l.password_given => return Err(SessionEnd::Told(DENIED)),
            Ok(l) if l.database.is_some_and(|d| d != DATABASE) => {
                return Err(SessionEnd::Told(NO_DATABASE));
            }
            Ok(_) => self.writer(self.sequence).ok(),
        }
        self.flush().await?;
        self.state.has(SessionStage::LoggedIn, Instant::now());
        loop {
            let packet = self.next_packet().await?;
            self.state.busy.set(true);
            let sequence = self.sequence;
            let at = self.sessions.clock.now();
            match mysql::read_command(packet.payload)? {
                Command::Quit => return Err(SessionEnd::Disconnected),
                Command::Query(_) if !self.input.is_empty() => {
                    return Err(SessionEnd::Told(OUT_OF_ORDER));
                }
                Command::Query(text) => self.query(text, sequence, at).await?,
                Command::Ping | Command::ResetConnection => self.writer(sequence).ok(),
                Command::UseDatabase(name) if name[..] == *DATABASE => self.writer(sequence).ok(),
                Command::UseDatabase(_) => self.writer(sequence).error(NO_DATABASE),
                Command::Unknown(_) => self.writer(sequence).error(UNKNOWN_COMMAND),
            }
            self.flush().await?;
            self.state.busy.set(false);
            // Others come first, however much has come at once on this one.
            yield_now().await;
        }
    }

    async fn query(&mut self, text: Bytes, sequence: u8, at: u64) -> Result<(), SessionEnd> {
        let sessions = self.sessions.clone();
        if let Some(connection) = mysql::kill_query(&text) {
            let _ = sessions
                .module
                .try_send(SchedulerMessage::KillQuery { connection });
            self.writer(sequence).ok();
            return Ok(());
        }
        // What is read once the program ends is never sent on.
        if sessions.table.borrow().is_ending() {
            self.writer(sequence).error(ENDING);
            return Ok(());
        }
        if let Some(asked) = mysql::show_waits(&text).filter(|_| sessions.show.get()) {
            return self.show(asked, sequence).await;
        }
        if sessions.show_fleet.get() && mysql::is_show_fleet(&text) {
            return self.show_fleet(sequence).await;
        }
        let names = &sessions.names;
        let index =
            |list: &[String], name: &Bytes| list.iter().position(|n| n.as_bytes() == &name[..]);
        let read = fields::parse(&text).and_then(|fields| {
            let workload = index(&names.workloads, &fields.workload)
                .ok_or("kind is none of the deployment's")?;
            let tenant = match &fields.tenant {
                Some(tenant) => {
                    index(&names.tenants, tenant).ok_or("owner is none of the deployment's")?
                }
                None => 0,
            };
            Ok((fields, workload, tenant))
        });
        let (fields, workload, tenant) = match read {
            Ok(read) => read,
            Err(what) => {
                self.writer(sequence).error((NOT_UNDERSTOOD, "42000", what));
                return Ok(());
            }
        };
        if sessions.too_many() {
            self.writer(sequence).error(TOO_MANY);
            return Ok(());
        }
        let _open = OpenMark::new(&sessions);
        let (sender, answer) = async_channel::bounded(1);
        let client = ClientHandle {
            answer: sender,
            presence: Some(self.presence.clone()),
        };
        let connection = self.connection;
        let arrived = SchedulerMessage::StatementArrived {
            connection,
            statement: ClientStatement {
                fields,
                workload,
                tenant,
            },
            arrived_at: at,
            client,
        };
        let _ = sessions.module.try_send(arrived);
        let answer = match self.wait(answer).await {
            Ok(answer) => answer,
            Err(over) => {
                self.presence.has_left.set(true);
                let _ = sessions
                    .module
                    .try_send(SchedulerMessage::ClientDisconnected { connection });
                return Err(over);
            }
        };
        self.state.has(SessionStage::Answered, Instant::now());
        match answer {
            Answer::Completed(rows) => return self.result(rows, sequence).await,
            Answer::Rejected { retry_after: 0 } => {
                let text = "Refused; the statement did not run";
                self.writer(sequence).error((REJECTED, "42000", text));
            }
            Answer::Rejected { retry_after } => {
                let text = format!(
                    "Refused; the statement did not run, holdoff={}",
                    retry_after / 1_000_000
                );
                self.writer(sequence).error((REJECTED, "42000", &text));
            }
            Answer::Aborted => self.writer(sequence).error(ABORTED),
            Answer::EndedBefore => self.writer(sequence).error(ENDED_BEFORE),
            Answer::IdTaken => self.writer(sequence).error(ID_TAKEN),
            Answer::Killed => self.writer(sequence).error(KILLED),
        }
        Ok(())
    }

    /// What waits in the teams' queues; no engine hears of it.
    /// What is shared, as one row of JSON: other programs lay two gateways' views beside each other.
    async fn show_fleet(&mut self, sequence: u8) -> Result<(), SessionEnd> {
        let (reply, shown) = async_channel::bounded(1);
        let _ = self
            .sessions
            .module
            .try_send(SchedulerMessage::ShowFleet { reply });
        let view = shown.recv().await.map_err(|_| SessionEnd::Disconnected)?;
        let mut writer = self.writer(sequence);
        writer.columns(&[b"view"]);
        writer.row([view.as_bytes()].into_iter());
        writer.eof();
        Ok(())
    }

    async fn show(&mut self, asked: ShowWaits, sequence: u8) -> Result<(), SessionEnd> {
        let (reply, shown) = async_channel::bounded(1);
        let req = match asked {
            ShowWaits::All => None,
            ShowWaits::One(req) => Some(req),
        };
        let _ = self.sessions.module.try_send(SchedulerMessage::ShowQueue {
            statement_id: req,
            reply,
        });
        let shown = shown.recv().await.map_err(|_| SessionEnd::Disconnected)?;
        let names = self.sessions.names.clone();
        let mut writer = self.writer(sequence);
        writer.columns(&SHOWN);
        for row in &shown {
            let row = row_of(row, &names);
            writer.row(row.iter().map(String::as_bytes));
        }
        writer.eof();
        Ok(())
    }

    async fn result(&mut self, rows: Rows, mut sequence: u8) -> Result<(), SessionEnd> {
        let mut writer = self.writer(sequence);
        writer.columns(&COLUMNS);
        sequence = writer.sequence;
        for page in rows.into_pages() {
            let mut writer = self.writer(sequence);
            Rows::rows_of_page(&page).for_each(|row| writer.row(row));
            sequence = writer.sequence;
            drop(page);
            if self.output.len() >= WRITE {
                self.flush().await?;
            }
        }
        self.writer(sequence).eof();
        Ok(())
    }

    /// The answer, unless the client goes first or sends more, which it must not before it has the answer.
    async fn wait(&mut self, answer: Receiver<Answer>) -> Result<Answer, SessionEnd> {
        let answered = async { answer.recv().await.map_err(|_| SessionEnd::Disconnected) };
        let gone = async {
            if read_some(&self.stream, &mut self.input).await? == 0
                || self.input[..] == *b"\x01\0\0\0\x01"
            {
                return Err(SessionEnd::Disconnected);
            }
            Err(SessionEnd::Told(OUT_OF_ORDER))
        };
        answered.or(gone).await
    }

    fn writer(&mut self, sequence: u8) -> Writer<'_> {
        Writer {
            out: &mut self.output,
            sequence,
        }
    }

    async fn flush(&mut self) -> Result<(), SessionEnd> {
        let mut stream = &*self.stream;
        let unread = Instant::now() + UNREAD;
        within(unread, async { Ok(stream.write_all(&self.output).await?) }).await?;
        self.output = BytesMut::new();
        Ok(())
    }

    /// The next whole message, in time. A session that is to end, or whose time is over, looks once more at what has
    /// come: a request that arrived in that very moment is served, or refused, and not reset.
    async fn next_packet(&mut self) -> Result<Packet, SessionEnd> {
        let idle_since = Instant::now();
        let mut begun = None;
        loop {
            if let Some(&[_, _, _, sequence]) = self.input.first_chunk() {
                self.sequence = sequence.wrapping_add(1);
            }
            if let Some(packet) = mysql::next_packet(&mut self.input, self.sessions.bounds.message)?
            {
                self.state.has_begun.set(false);
                return Ok(packet);
            }
            if !self.input.is_empty() {
                begun.get_or_insert_with(Instant::now);
                self.state.has_begun.set(true);
            }
            let mut until = match (self.state.stage.get(), begun) {
                (SessionStage::Nothing | SessionStage::LoggedIn, _) => {
                    self.connected_at + FIRST_COMMAND
                }
                (SessionStage::Answered, Some(begun)) => begun + REST_OF_MESSAGE,
                (SessionStage::Answered, None) => idle_since + IDLE,
            };
            let to_end = self.state.is_to_end();
            if to_end && begun.is_none() {
                // One that has come just now may be about to ask.
                let fresh = self.state.stage.get() != SessionStage::Answered;
                until = if fresh {
                    until.min(self.state.since.get() + FRESH)
                } else {
                    idle_since
                };
            }
            let late = async {
                Timer::at(until).await;
                Ok(None)
            };
            let told = async {
                if to_end {
                    std::future::pending::<()>().await;
                }
                self.state.told_to_end().await;
                Ok(Some(None))
            };
            let read = async {
                let read: Result<usize, SessionEnd> =
                    Ok(read_some(&self.stream, &mut self.input).await?);
                read.map(|n| Some(Some(n)))
            };
            match read.or(told).or(late).await? {
                Some(Some(0)) => return Err(SessionEnd::Disconnected),
                Some(_) => {}
                None => match read_now(&self.stream, &mut self.input)? {
                    Some(0) => return Err(SessionEnd::Disconnected),
                    // More of a message whose time is over, or a message that came as the time was over.
                    Some(_) if begun.is_none() => {}
                    _ => return Err(SessionEnd::Quiet),
                },
            }
        }
    }
}

const SHOWN: [&[u8]; 9] = [
    b"req",
    b"team",
    b"workload",
    b"state",
    b"position",
    b"low_ms",
    b"mid_ms",
    b"high_ms",
    b"age_ms",
];

fn row_of(row: &QueueRow, names: &Names) -> [String; 9] {
    let name = |names: &[String], ix: usize| names.get(ix).cloned().unwrap_or_default();
    let ms = |span: u64| (span / 1_000_000).to_string();
    let (state, position, [low, mid, high, age]) = match &row.queued {
        Some(q) => (
            "waiting",
            q.position,
            [q.wait.low, q.wait.mid, q.wait.high, q.age].map(ms),
        ),
        None => ("running", 0, [0; 4].map(ms)),
    };
    [
        row.statement_id.clone(),
        name(&names.tenants, row.team),
        name(&names.workloads, row.workload),
        state.into(),
        position.to_string(),
        low,
        mid,
        high,
        age,
    ]
}

async fn within<T>(
    until: Instant,
    work: impl Future<Output = Result<T, SessionEnd>>,
) -> Result<T, SessionEnd> {
    work.or(async {
        Timer::at(until).await;
        Err(SessionEnd::Disconnected)
    })
    .await
}

/// Numbers of connections, each once, that a client can't guess from its own.
fn connection_id(seed: u64, number: u32) -> u32 {
    number
        .wrapping_mul(0x9e37_79b1)
        .rotate_left(15)
        .wrapping_mul(0x85eb_ca6b)
        ^ (seed >> 16) as u32
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
