//! Clients of the soak: each keeps its connection for one statement after the other as long as that lasts, also at a gateway
//! that was told to end. Some write slowly, leave, cancel, send many commands at once, or fill descriptors and say nothing.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol::future::FutureExt;
use smol::{Async, LocalExecutor, Timer};

use super::frontend::Frontend;
use super::observations::{Outcome, Request};
use crate::processes::engine::timestamp_us;
use crate::processes::session::{Reply, Session, first_column};
use crate::test_servers::query;

/// A client that has less time left does not come back.
const MIN_TIME_TO_RETURN: Duration = Duration::from_millis(30);
/// A client waits for its answer so much longer than its statement's timeout.
const WAIT_BEYOND_TIMEOUT: Duration = Duration::from_millis(1200);
/// A client that cancelled closes its own connection after this time.
const CLOSE_AFTER_CANCEL: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CONNECT_RETRY_PAUSE: Duration = Duration::from_millis(20);
const REJECTED: [u16; 3] = [1040, 1203, 1226];
/// Idle connections to each gateway of a crowd: more than it has places for.
const CROWD_OF_A_GATEWAY: usize = 110;
const CROWD_PAUSE_MS: std::ops::Range<u64> = 30..300;

/// What the clients are given.
#[derive(Clone)]
pub struct ClientParams {
    pub addresses: Vec<SocketAddr>,
    pub frontend: Arc<Frontend>,
    pub clients: usize,
    /// No client begins a statement later.
    pub until: Instant,
    pub max_timeout_ms: u64,
    pub has_peers: bool,
    pub has_crowd: bool,
    pub seed: u64,
}

/// How a client behaves with one statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Ordinary,
    /// Writes the statement in so many pieces.
    InPieces(usize),
    /// Closes its connection after so many milliseconds.
    Leaves(u64),
    /// Cancels on another connection after so many milliseconds.
    Cancels(u64),
    /// Sends login and statement at once, and cancels right behind.
    CancelsAtOnce,
    /// Sends several statements without waiting for an answer.
    ManyCommands,
    /// Says nothing for so many milliseconds.
    Rests(u64),
}

impl Behaviour {
    fn draw(rng: &mut ChaCha8Rng) -> Behaviour {
        match rng.random_range(0..100) {
            0..8 => Behaviour::InPieces(rng.random_range(2..6)),
            8..14 => Behaviour::Leaves(rng.random_range(0..120)),
            14..20 => Behaviour::Cancels(rng.random_range(0..120)),
            20..24 => Behaviour::CancelsAtOnce,
            24..27 => Behaviour::ManyCommands,
            27..33 => Behaviour::Rests(rng.random_range(100..1500)),
            _ => Behaviour::Ordinary,
        }
    }
}

/// Plays all clients; returns every request.
pub fn play(params: ClientParams) -> Vec<Request> {
    let executor = Rc::new(LocalExecutor::new());
    let requests = Rc::new(RefCell::new(Vec::new()));
    smol::block_on(executor.clone().run(async {
        let mut tasks = Vec::new();
        for number in 0..params.clients {
            let client = Client {
                params: params.clone(),
                rng: ChaCha8Rng::seed_from_u64(params.seed ^ (number as u64) << 20),
                session: None,
                gateway: 0,
                requests: requests.clone(),
            };
            tasks.push(executor.spawn(client.live()));
        }
        if params.has_crowd {
            for gateway in 0..params.addresses.len() {
                for number in 0..CROWD_OF_A_GATEWAY {
                    let seed = params.seed ^ (1 << 60 | gateway << 20 | number) as u64;
                    let idle = stay_idle(params.clone(), gateway, seed);
                    tasks.push(executor.spawn(idle));
                }
            }
        }
        for task in tasks {
            task.await;
        }
    }));
    requests.take()
}

/// Holds a connection open and says nothing, again and again.
async fn stay_idle(params: ClientParams, gateway: usize, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while Instant::now() < params.until {
        Timer::after(Duration::from_millis(rng.random_range(CROWD_PAUSE_MS))).await;
        if !params.frontend.accepts(gateway) {
            continue;
        }
        let Ok(stream) = Async::<TcpStream>::connect(params.addresses[gateway]).await else {
            continue;
        };
        let closed = async {
            let mut greeting_or_end = bytes::BytesMut::new();
            while ivypitch_gateway::actors::socket::read_some(&stream, &mut greeting_or_end)
                .await
                .is_ok_and(|bytes| bytes > 0)
            {}
        };
        let over = async {
            Timer::at(params.until).await;
        };
        closed.or(over).await;
    }
}

struct Client {
    params: ClientParams,
    rng: ChaCha8Rng,
    session: Option<Session>,
    /// Where the session is.
    gateway: usize,
    requests: Rc<RefCell<Vec<Request>>>,
}

/// A statement that a client is to send.
struct NewStatement {
    id: u64,
    is_load: bool,
    timeout_ms: u64,
    work_ms: u64,
}

impl NewStatement {
    fn draw(rng: &mut ChaCha8Rng, max_timeout_ms: u64) -> NewStatement {
        let is_load = rng.random_bool(0.4);
        let work_ms = if is_load {
            rng.random_range(20..400)
        } else {
            rng.random_range(3..80)
        };
        NewStatement {
            id: rng.random(),
            is_load,
            timeout_ms: rng.random_range(max_timeout_ms / 3..max_timeout_ms),
            work_ms,
        }
    }

    fn text(&self) -> String {
        let kind = if self.is_load { "load" } else { "lookup" };
        let NewStatement {
            id,
            timeout_ms,
            work_ms,
            ..
        } = self;
        format!(
            "/* kind={kind},req={id:016x},timeout={timeout_ms},owner=acme,ms={work_ms}.0,space=32 */ \
             SELECT a FROM sales_{}.orders WHERE work = {work_ms} ",
            id % 7
        )
    }
}

/// A `KILL QUERY` on another connection.
struct SentKill {
    at: u64,
    /// It was written; otherwise that connection did not come up.
    is_sent: bool,
}

/// An answer, or why there is none.
struct Answered {
    outcome: Outcome,
    left_at: Option<u64>,
    /// The session can be used again.
    is_open: bool,
}

impl Answered {
    fn without_session(outcome: Outcome) -> Answered {
        Answered {
            outcome,
            left_at: None,
            is_open: false,
        }
    }

    fn left_at(at: u64) -> Answered {
        Answered {
            left_at: Some(at),
            ..Answered::without_session(Outcome::Left)
        }
    }
}

impl Client {
    async fn live(mut self) {
        while Instant::now() < self.params.until {
            let statement = NewStatement::draw(&mut self.rng, self.params.max_timeout_ms);
            let behaviour = Behaviour::draw(&mut self.rng);
            let outcome = self.send(statement, behaviour).await;
            let retries_at_once = outcome == Some(Outcome::Rejected) && self.rng.random_bool(0.3);
            if !retries_at_once {
                Timer::after(Duration::from_millis(self.rng.random_range(5..60))).await;
            }
        }
    }

    /// One statement; where gateways talk its client comes back with it within its time, as long as nobody can say.
    async fn send(&mut self, mut statement: NewStatement, behaviour: Behaviour) -> Option<Outcome> {
        let deadline = Instant::now() + Duration::from_millis(statement.timeout_ms);
        let mut request = self.try_once(&statement, behaviour).await?;
        self.requests.borrow_mut().push(request.clone());
        while self.params.has_peers && is_uncertain(&request) {
            Timer::after(Duration::from_millis(self.rng.random_range(10..200))).await;
            let left = deadline.saturating_duration_since(Instant::now());
            if left < MIN_TIME_TO_RETURN {
                break;
            }
            statement.timeout_ms = left.as_millis() as u64;
            self.session = None;
            request = self.try_once(&statement, Behaviour::Ordinary).await?;
            self.requests.borrow_mut().push(request.clone());
        }
        Some(request.outcome)
    }

    /// `None`: nothing was sent, or nothing that counts.
    async fn try_once(
        &mut self,
        statement: &NewStatement,
        behaviour: Behaviour,
    ) -> Option<Request> {
        if behaviour == Behaviour::CancelsAtOnce {
            return self.cancel_at_once(statement).await;
        }
        let is_first = self.take_open_session().is_none();
        if is_first {
            self.connect().await?;
        }
        let mut session = self.session.take()?;
        match behaviour {
            Behaviour::Rests(ms) => {
                Timer::after(Duration::from_millis(ms)).await;
                self.session = Some(session);
                return None;
            }
            Behaviour::ManyCommands => {
                self.send_many(&session, statement).await;
                return None;
            }
            _ => {}
        }
        let message = query(&statement.text());
        let pieces = match behaviour {
            Behaviour::InPieces(pieces) => pieces,
            _ => 1,
        };
        let written = session.write_in_pieces(&message, pieces).await;
        let sent_at = timestamp_us();
        let answered = match (written, behaviour) {
            (Err(_), _) => Answered::without_session(Outcome::Closed),
            (Ok(()), Behaviour::Leaves(ms)) => leave(&mut session, statement, ms).await,
            (Ok(()), Behaviour::Cancels(ms)) => self.cancel(&mut session, statement, ms).await,
            (Ok(()), _) => wait_for_answer(&mut session, statement).await,
        };
        if answered.is_open {
            session.used_at = Instant::now();
            self.session = Some(session);
        }
        Some(self.request(statement, sent_at, answered, is_first))
    }

    fn request(
        &self,
        statement: &NewStatement,
        sent_at: u64,
        answered: Answered,
        is_first: bool,
    ) -> Request {
        Request {
            id: statement.id,
            is_load: statement.is_load,
            gateway: self.gateway,
            sent_at,
            timeout: statement.timeout_ms * 1000,
            outcome: answered.outcome,
            ended_at: timestamp_us(),
            left_at: answered.left_at,
            is_first,
        }
    }

    /// The session, unless its gateway has closed it.
    fn take_open_session(&mut self) -> Option<&Session> {
        if self.session.as_mut().is_some_and(Session::is_closed) {
            self.session = None;
        }
        self.session.as_ref()
    }

    /// Opens a session at a gateway that gets connections; `None`: the run is over.
    async fn connect(&mut self) -> Option<()> {
        while Instant::now() < self.params.until {
            let gateway = self.rng.random_range(0..self.params.addresses.len());
            if self.params.frontend.accepts(gateway) {
                let opened = Session::connect(self.params.addresses[gateway]);
                if let Ok(session) = in_time(CONNECT_TIMEOUT, opened).await {
                    self.gateway = gateway;
                    self.session = Some(session);
                    return Some(());
                }
            }
            Timer::after(CONNECT_RETRY_PAUSE).await;
        }
        None
    }

    /// Several statements in one write; what becomes of them is not owed to this client.
    async fn send_many(&mut self, session: &Session, statement: &NewStatement) {
        let messages: Vec<u8> = (0..3)
            .flat_map(|number| {
                let id = statement.id ^ 1 << number;
                query(&NewStatement { id, ..*statement }.text())
            })
            .collect();
        // Whether the gateway takes it or closes is the same to this client.
        let _ = session.write(&messages).await;
        Timer::after(Duration::from_millis(self.rng.random_range(0..100))).await;
        session.close();
    }

    async fn cancel(
        &self,
        session: &mut Session,
        statement: &NewStatement,
        after_ms: u64,
    ) -> Answered {
        let answer = async { Some(wait_for_answer(session, statement).await) };
        let time_to_cancel = async {
            Timer::after(Duration::from_millis(after_ms)).await;
            None
        };
        match answer.or(time_to_cancel).await {
            Some(answered) => answered,
            None => self.cancel_now(session, statement).await,
        }
    }

    /// `KILL QUERY` on another connection; on which nothing else is sent.
    async fn kill(&self, connection: u32) -> SentKill {
        let address = self.params.addresses[self.gateway];
        let kill = query(&format!("KILL QUERY {connection}"));
        let killed = async {
            let killer = Session::connect(address).await?;
            killer.write(&kill).await?;
            Ok(killer)
        };
        let killer = in_time(CONNECT_TIMEOUT, killed).await;
        SentKill {
            at: timestamp_us(),
            is_sent: killer.is_ok(),
        }
    }

    async fn cancel_now(&self, session: &mut Session, statement: &NewStatement) -> Answered {
        let kill = self.kill(session.connection).await;
        if !kill.is_sent {
            session.close();
            return Answered::left_at(kill.at);
        }
        let answer = wait_for_answer(session, statement);
        let answered = answer_of_cancelled(answer, kill.at).await;
        session.close();
        answered
    }

    async fn cancel_at_once(&mut self, statement: &NewStatement) -> Option<Request> {
        self.session = None;
        let gateway = self.rng.random_range(0..self.params.addresses.len());
        if !self.params.frontend.accepts(gateway) {
            return None;
        }
        let address = self.params.addresses[gateway];
        let text = statement.text();
        let opened = in_time(CONNECT_TIMEOUT, Session::connect_and_send(address, &text)).await;
        let mut session = opened.ok()?;
        self.gateway = gateway;
        let sent_at = timestamp_us();
        let kill = self.kill(session.connection).await;
        let answer = async {
            match session.read_login_answer().await {
                Ok(()) => wait_for_answer(&mut session, statement).await,
                Err(_) => Answered::without_session(Outcome::Closed),
            }
        };
        let answered = answer_of_cancelled(answer, kill.at).await;
        session.close();
        Some(self.request(statement, sent_at, answered, true))
    }
}

fn is_uncertain(request: &Request) -> bool {
    match request.outcome {
        Outcome::Failed(1105) | Outcome::Closed | Outcome::Silence => request.left_at.is_none(),
        _ => false,
    }
}

/// The answer to a client that cancelled, if it comes before that closes. None is owed.
async fn answer_of_cancelled(answer: impl Future<Output = Answered>, left_at: u64) -> Answered {
    let closes = async {
        Timer::after(CLOSE_AFTER_CANCEL).await;
        Answered::without_session(Outcome::Left)
    };
    let mut answered = answer.or(closes).await;
    answered.is_open = false;
    answered.left_at = Some(left_at);
    if matches!(answered.outcome, Outcome::Closed | Outcome::Silence) {
        answered.outcome = Outcome::Left;
    }
    answered
}

/// Closes the connection after so many milliseconds, unless the answer comes first.
async fn leave(session: &mut Session, statement: &NewStatement, after_ms: u64) -> Answered {
    let answer = async { Some(wait_for_answer(session, statement).await) };
    let time_to_leave = async {
        Timer::after(Duration::from_millis(after_ms)).await;
        None
    };
    if let Some(answered) = answer.or(time_to_leave).await {
        return answered;
    }
    session.close();
    Answered::left_at(timestamp_us())
}

async fn wait_for_answer(session: &mut Session, statement: &NewStatement) -> Answered {
    let wait = Duration::from_millis(statement.timeout_ms) + WAIT_BEYOND_TIMEOUT;
    let silent = async {
        Timer::after(wait).await;
        None
    };
    let answer = async { Some(session.read_answer().await) };
    match answer.or(silent).await {
        None => Answered::without_session(Outcome::Silence),
        Some(Err(_)) => Answered::without_session(Outcome::Closed),
        Some(Ok(reply)) => Answered {
            outcome: outcome(&reply),
            left_at: None,
            is_open: true,
        },
    }
}

fn outcome(reply: &Reply) -> Outcome {
    match reply {
        Reply::Rows(rows) => Outcome::Rows(rows.first().map_or(String::new(), |r| first_column(r))),
        Reply::Error(code, _) if REJECTED.contains(code) => Outcome::Rejected,
        Reply::Error(code, _) => Outcome::Failed(*code),
    }
}

async fn in_time<T>(timeout: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let timed_out = async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    work.or(timed_out).await
}
