//! Clients of the soak run. Each sends one statement after the other on one connection for as long
//! as that stays open, also at a gateway that is shutting down. Some write slowly, disconnect,
//! cancel, send many commands at once, or hold idle connections that exhaust descriptors.

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

use super::load_balancer::LoadBalancer;
use super::observations::{Outcome, Request};
use crate::processes::engine::timestamp_us;
use crate::processes::session::{Reply, Session, first_column};
use crate::test_servers::query;

/// A client with less time left does not retry.
const MIN_TIME_FOR_RETRY: Duration = Duration::from_millis(30);
/// Time beyond the statement timeout that a client waits for its answer.
const ANSWER_WAIT_BEYOND_TIMEOUT: Duration = Duration::from_millis(1200);
/// A client that cancelled closes its own connection after this time.
const CLOSE_DELAY_AFTER_CANCEL: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CONNECT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Error codes of a rejection.
const REJECTION_CODES: [u16; 3] = [1040, 1203, 1226];
/// Idle connections to each gateway: more than its descriptors allow.
const IDLE_CONNECTIONS_PER_GATEWAY: usize = 110;
/// Pause before an idle client connects again.
const RECONNECT_PAUSE_MS: std::ops::Range<u64> = 30..300;

/// Parameters of the clients.
#[derive(Clone)]
pub struct ClientParams {
    pub addresses: Vec<SocketAddr>,
    pub load_balancer: Arc<LoadBalancer>,
    pub clients: usize,
    /// No client begins a statement after this time.
    pub until: Instant,
    pub max_timeout_ms: u64,
    pub has_peers: bool,
    pub has_idle_connections: bool,
    pub seed: u64,
}

/// Behaviour of a client for one statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Ordinary,
    /// Writes the statement in this many pieces.
    InPieces(usize),
    /// Closes its connection after this many milliseconds.
    Disconnects(u64),
    /// Cancels on another connection after this many milliseconds.
    Cancels(u64),
    /// Sends login and statement in one write and cancels immediately.
    CancelsAtOnce,
    /// Sends several statements without waiting for an answer.
    ManyCommands,
    /// Sends nothing for this many milliseconds.
    Idles(u64),
}

impl Behaviour {
    fn draw(rng: &mut ChaCha8Rng) -> Behaviour {
        match rng.random_range(0..100) {
            0..8 => Behaviour::InPieces(rng.random_range(2..6)),
            8..14 => Behaviour::Disconnects(rng.random_range(0..120)),
            14..20 => Behaviour::Cancels(rng.random_range(0..120)),
            20..24 => Behaviour::CancelsAtOnce,
            24..27 => Behaviour::ManyCommands,
            27..33 => Behaviour::Idles(rng.random_range(100..1500)),
            _ => Behaviour::Ordinary,
        }
    }
}

/// Runs all clients; returns every request.
pub fn run_clients(params: ClientParams) -> Vec<Request> {
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
            tasks.push(executor.spawn(client.run()));
        }
        if params.has_idle_connections {
            for gateway in 0..params.addresses.len() {
                for number in 0..IDLE_CONNECTIONS_PER_GATEWAY {
                    let seed = params.seed ^ (1 << 60 | gateway << 20 | number) as u64;
                    let idle = hold_idle_connections(params.clone(), gateway, seed);
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

/// Repeatedly opens a connection and keeps it open without sending anything.
async fn hold_idle_connections(params: ClientParams, gateway: usize, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while Instant::now() < params.until {
        Timer::after(Duration::from_millis(rng.random_range(RECONNECT_PAUSE_MS))).await;
        if !params.load_balancer.accepts(gateway) {
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
        let run_over = async {
            Timer::at(params.until).await;
        };
        closed.or(run_over).await;
    }
}

struct Client {
    params: ClientParams,
    rng: ChaCha8Rng,
    session: Option<Session>,
    /// The gateway that the session is connected to.
    gateway: usize,
    requests: Rc<RefCell<Vec<Request>>>,
}

/// A statement to send.
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
    /// The command was written; otherwise its connection could not be opened.
    is_sent: bool,
}

/// The result of waiting for an answer.
struct AnswerResult {
    outcome: Outcome,
    abandoned_at: Option<u64>,
    /// The session can be used again.
    is_open: bool,
}

impl AnswerResult {
    fn without_session(outcome: Outcome) -> AnswerResult {
        AnswerResult {
            outcome,
            abandoned_at: None,
            is_open: false,
        }
    }

    fn abandoned_at(at: u64) -> AnswerResult {
        AnswerResult {
            abandoned_at: Some(at),
            ..AnswerResult::without_session(Outcome::Abandoned)
        }
    }
}

impl Client {
    async fn run(mut self) {
        while Instant::now() < self.params.until {
            let statement = NewStatement::draw(&mut self.rng, self.params.max_timeout_ms);
            let behaviour = Behaviour::draw(&mut self.rng);
            let outcome = self.send(statement, behaviour).await;
            let retries_immediately =
                outcome == Some(Outcome::Rejected) && self.rng.random_bool(0.3);
            if !retries_immediately {
                Timer::after(Duration::from_millis(self.rng.random_range(5..60))).await;
            }
        }
    }

    /// Sends one statement. With peers, the client retries it within its timeout while its outcome
    /// is unknown.
    async fn send(&mut self, mut statement: NewStatement, behaviour: Behaviour) -> Option<Outcome> {
        let deadline = Instant::now() + Duration::from_millis(statement.timeout_ms);
        let mut request = self.send_once(&statement, behaviour).await?;
        self.requests.borrow_mut().push(request.clone());
        while self.params.has_peers && is_uncertain(&request) {
            Timer::after(Duration::from_millis(self.rng.random_range(10..200))).await;
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left < MIN_TIME_FOR_RETRY {
                break;
            }
            statement.timeout_ms = time_left.as_millis() as u64;
            self.session = None;
            request = self.send_once(&statement, Behaviour::Ordinary).await?;
            self.requests.borrow_mut().push(request.clone());
        }
        Some(request.outcome)
    }

    /// Sends the statement once. `None`: no request that has to be checked was sent.
    async fn send_once(
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
            Behaviour::Idles(ms) => {
                Timer::after(Duration::from_millis(ms)).await;
                self.session = Some(session);
                return None;
            }
            Behaviour::ManyCommands => {
                self.send_many_commands(&session, statement).await;
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
        let result = match (written, behaviour) {
            (Err(_), _) => AnswerResult::without_session(Outcome::Closed),
            (Ok(()), Behaviour::Disconnects(ms)) => disconnect(&mut session, statement, ms).await,
            (Ok(()), Behaviour::Cancels(ms)) => self.cancel(&mut session, statement, ms).await,
            (Ok(()), _) => wait_for_answer(&mut session, statement).await,
        };
        if result.is_open {
            session.used_at = Instant::now();
            self.session = Some(session);
        }
        Some(self.request(statement, sent_at, result, is_first))
    }

    fn request(
        &self,
        statement: &NewStatement,
        sent_at: u64,
        result: AnswerResult,
        is_first: bool,
    ) -> Request {
        Request {
            id: statement.id,
            is_load: statement.is_load,
            gateway: self.gateway,
            sent_at,
            timeout: statement.timeout_ms * 1000,
            outcome: result.outcome,
            ended_at: timestamp_us(),
            abandoned_at: result.abandoned_at,
            is_first,
        }
    }

    /// The session, unless the gateway has closed it.
    fn take_open_session(&mut self) -> Option<&Session> {
        if self.session.as_mut().is_some_and(Session::is_closed) {
            self.session = None;
        }
        self.session.as_ref()
    }

    /// Opens a session at a gateway that gets new connections; `None`: the run is over.
    async fn connect(&mut self) -> Option<()> {
        while Instant::now() < self.params.until {
            let gateway = self.rng.random_range(0..self.params.addresses.len());
            if self.params.load_balancer.accepts(gateway) {
                let opened = Session::connect(self.params.addresses[gateway]);
                if let Ok(session) = with_timeout(CONNECT_TIMEOUT, opened).await {
                    self.gateway = gateway;
                    self.session = Some(session);
                    return Some(());
                }
            }
            Timer::after(CONNECT_RETRY_PAUSE).await;
        }
        None
    }

    /// Sends several statements in one write; no answer to them is required.
    async fn send_many_commands(&mut self, session: &Session, statement: &NewStatement) {
        let messages: Vec<u8> = (0..3)
            .flat_map(|number| {
                let id = statement.id ^ 1 << number;
                query(&NewStatement { id, ..*statement }.text())
            })
            .collect();
        // A write error is ignored: the gateway may close the connection instead of accepting the
        // statements.
        let _ = session.write(&messages).await;
        Timer::after(Duration::from_millis(self.rng.random_range(0..100))).await;
        session.close();
    }

    async fn cancel(
        &self,
        session: &mut Session,
        statement: &NewStatement,
        after_ms: u64,
    ) -> AnswerResult {
        let answer = async { Some(wait_for_answer(session, statement).await) };
        let cancel_delay = async {
            Timer::after(Duration::from_millis(after_ms)).await;
            None
        };
        match answer.or(cancel_delay).await {
            Some(result) => result,
            None => self.cancel_now(session, statement).await,
        }
    }

    /// Sends `KILL QUERY` on another connection, on which nothing else is sent.
    async fn kill(&self, connection: u32) -> SentKill {
        let address = self.params.addresses[self.gateway];
        let kill = query(&format!("KILL QUERY {connection}"));
        let send_kill = async {
            let killer = Session::connect(address).await?;
            killer.write(&kill).await?;
            Ok(killer)
        };
        let killer = with_timeout(CONNECT_TIMEOUT, send_kill).await;
        SentKill {
            at: timestamp_us(),
            is_sent: killer.is_ok(),
        }
    }

    async fn cancel_now(&self, session: &mut Session, statement: &NewStatement) -> AnswerResult {
        let kill = self.kill(session.connection).await;
        if !kill.is_sent {
            session.close();
            return AnswerResult::abandoned_at(kill.at);
        }
        let answer = wait_for_answer(session, statement);
        let result = answer_of_cancelled(answer, kill.at).await;
        session.close();
        result
    }

    async fn cancel_at_once(&mut self, statement: &NewStatement) -> Option<Request> {
        self.session = None;
        let gateway = self.rng.random_range(0..self.params.addresses.len());
        if !self.params.load_balancer.accepts(gateway) {
            return None;
        }
        let address = self.params.addresses[gateway];
        let text = statement.text();
        let opened = with_timeout(CONNECT_TIMEOUT, Session::connect_and_send(address, &text)).await;
        let mut session = opened.ok()?;
        self.gateway = gateway;
        let sent_at = timestamp_us();
        let kill = self.kill(session.connection).await;
        let answer = async {
            match session.read_login_answer().await {
                Ok(()) => wait_for_answer(&mut session, statement).await,
                Err(_) => AnswerResult::without_session(Outcome::Closed),
            }
        };
        let result = answer_of_cancelled(answer, kill.at).await;
        session.close();
        Some(self.request(statement, sent_at, result, true))
    }
}

fn is_uncertain(request: &Request) -> bool {
    match request.outcome {
        Outcome::Failed(1105) | Outcome::Closed | Outcome::NoAnswer => {
            request.abandoned_at.is_none()
        }
        _ => false,
    }
}

/// The answer to a client that cancelled, if it arrives before the client closes the connection.
/// None is required.
async fn answer_of_cancelled(
    answer: impl Future<Output = AnswerResult>,
    abandoned_at: u64,
) -> AnswerResult {
    let close_delay = async {
        Timer::after(CLOSE_DELAY_AFTER_CANCEL).await;
        AnswerResult::without_session(Outcome::Abandoned)
    };
    let mut result = answer.or(close_delay).await;
    result.is_open = false;
    result.abandoned_at = Some(abandoned_at);
    if matches!(result.outcome, Outcome::Closed | Outcome::NoAnswer) {
        result.outcome = Outcome::Abandoned;
    }
    result
}

/// Closes the connection after `after_ms`, unless the answer arrives first.
async fn disconnect(
    session: &mut Session,
    statement: &NewStatement,
    after_ms: u64,
) -> AnswerResult {
    let answer = async { Some(wait_for_answer(session, statement).await) };
    let disconnect_delay = async {
        Timer::after(Duration::from_millis(after_ms)).await;
        None
    };
    if let Some(result) = answer.or(disconnect_delay).await {
        return result;
    }
    session.close();
    AnswerResult::abandoned_at(timestamp_us())
}

async fn wait_for_answer(session: &mut Session, statement: &NewStatement) -> AnswerResult {
    let wait = Duration::from_millis(statement.timeout_ms) + ANSWER_WAIT_BEYOND_TIMEOUT;
    let timed_out = async {
        Timer::after(wait).await;
        None
    };
    let answer = async { Some(session.read_answer().await) };
    match answer.or(timed_out).await {
        None => AnswerResult::without_session(Outcome::NoAnswer),
        Some(Err(_)) => AnswerResult::without_session(Outcome::Closed),
        Some(Ok(reply)) => AnswerResult {
            outcome: outcome(&reply),
            abandoned_at: None,
            is_open: true,
        },
    }
}

fn outcome(reply: &Reply) -> Outcome {
    match reply {
        Reply::Rows(rows) => Outcome::Rows(rows.first().map_or(String::new(), |r| first_column(r))),
        Reply::Error(code, _) if REJECTION_CODES.contains(code) => Outcome::Rejected,
        Reply::Error(code, _) => Outcome::Failed(*code),
    }
}

async fn with_timeout<T>(
    timeout: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let timed_out = async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    work.or(timed_out).await
}
