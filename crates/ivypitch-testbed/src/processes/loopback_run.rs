//! Runs in real time over loopback sockets: emulated engines with the platform's HTTP protocol, a gateway process, and
//! open-loop clients of the MySQL protocol. One thread per run serves its engines and clients.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, BytesMut};
use event_listener::Event;
use ivypitch_gateway::actors::socket::read_some;
use ivypitch_scheduler::Idempotency;
use ivypitch_types::{Nanos, SECOND};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol::future::FutureExt;
use smol::io::AsyncWriteExt;
use smol::{Async, LocalExecutor, Timer};

use crate::figures::{Figures, TeamFigures};
use crate::log_lines;
use crate::processes::session::{Reply, Session, retry_after_ms};
use crate::test_servers::spawn_gateway_with_settings;
use crate::virtual_time::engine::{Engine, EngineConfig, Query, QueryEnd};
use crate::virtual_time::traffic::{Statement, WorkloadParams};

const MS: Nanos = 1_000_000;
/// Maximum delay of a response that reports no progress.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(250);
/// A query that is not polled for this time is dropped.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum attempts of a client whose statement is rejected.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum bytes of a request's head, and of its body.
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Maximum number of idle sessions of a team's clients.
const MAX_IDLE_SESSIONS: usize = 64;
/// Time after which an idle session is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Traffic, engines and settings of a run.
pub struct RunPlan {
    pub engines: usize,
    pub model: EngineConfig,
    pub workloads: Vec<WorkloadParams>,
    pub teams: Vec<String>,
    pub statements: Vec<Statement>,
    /// The operator's settings of the gateway as JSON.
    pub own_settings: Option<String>,
    /// Quota of each team in cores.
    pub quota_cores: Vec<f64>,
    /// Each statement uses a connection of its own.
    pub new_connections: bool,
    pub seed: u64,
    /// Prints a line per second.
    pub prints_progress: bool,
}

// ---- engines ----

/// A query of an engine.
struct KnownQuery {
    /// Its number in the model.
    number: u64,
    last_poll: Instant,
    ended: Option<QueryEnd>,
}

struct Emulated {
    engine: RefCell<Engine>,
    queries: RefCell<HashMap<String, KnownQuery>>,
    ids: RefCell<HashMap<u64, String>>,
    last_number: Cell<u64>,
    changed: Event,
    ended: Event,
    shared: Rc<Shared>,
}

/// State shared by the run's engines and clients.
struct Shared {
    started: Instant,
    statements: Vec<Statement>,
    works: Vec<WorkloadParams>,
    /// Number of starts of each statement at engines.
    starts: RefCell<Vec<u32>>,
    /// Core-seconds of completed work by team.
    used_core_s: RefCell<Vec<f64>>,
}

impl Shared {
    fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }
}

impl Emulated {
    /// Advances the model and notifies the waiting polls of queries that have ended.
    fn advance(&self) {
        let ended = self.engine.borrow_mut().take_ended(self.shared.now());
        if ended.is_empty() {
            return;
        }
        for (number, end) in ended {
            let Some(id) = self.ids.borrow_mut().remove(&number) else {
                continue;
            };
            if let Some(query) = self.queries.borrow_mut().get_mut(&id) {
                query.ended = Some(end);
            }
        }
        self.ended.notify(usize::MAX);
    }

    /// Advances the model and drops queries that are no longer polled.
    async fn run(self: Rc<Self>) {
        loop {
            let changed = self.changed.listen();
            self.advance();
            let now = self.shared.now();
            let next = self
                .engine
                .borrow()
                .next_end()
                .map(|at| at.saturating_sub(now));
            let span = next
                .map_or(POLL_TIMEOUT / 4, Duration::from_nanos)
                .min(POLL_TIMEOUT / 4);
            let timer = async {
                Timer::after(span.max(Duration::from_micros(100))).await;
            };
            changed.or(timer).await;
            self.drop_unpolled();
        }
    }

    fn drop_unpolled(&self) {
        let is_unpolled = |query: &KnownQuery| query.last_poll.elapsed() > POLL_TIMEOUT;
        let unpolled: Vec<(String, u64)> = self
            .queries
            .borrow()
            .iter()
            .filter(|(_, query)| is_unpolled(query))
            .map(|(id, query)| (id.clone(), query.number))
            .collect();
        for (id, number) in unpolled {
            self.cancel(&id, number);
        }
    }

    /// Cancels a query.
    fn cancel(&self, id: &str, number: u64) {
        self.queries.borrow_mut().remove(id);
        self.ids.borrow_mut().remove(&number);
        self.engine.borrow_mut().cancel(self.shared.now(), number);
        self.changed.notify(usize::MAX);
    }

    /// Starts a query; returns the response, or an empty text if the query now runs.
    fn start(&self, call: &Call) -> String {
        let id = call.header("Via-Id");
        if self.queries.borrow().contains_key(&id) {
            return response(202, "", "");
        }
        let number_after = |name: &str| {
            let at = call.body.find(name)? + name.len();
            call.body[at..]
                .split_whitespace()
                .next()?
                .parse::<f64>()
                .ok()
        };
        let Some(statement) = number_after("stmt = ")
            .map(|n| n as usize)
            .filter(|&n| n < self.shared.statements.len())
        else {
            return response(500, "", "");
        };
        let planned = &self.shared.statements[statement];
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let query = Query {
            id: number,
            work_core_s: planned.work_core_s,
            threads: self.shared.works[planned.workload].threads,
            priority: call.header("Rank").parse().unwrap_or(1),
            table_group: planned.table_group,
        };
        self.advance();
        if !self.engine.borrow_mut().start(self.shared.now(), query) {
            return response(503, "Srv-Untouched: 1\r\n", "");
        }
        self.shared.starts.borrow_mut()[statement] += 1;
        self.ids.borrow_mut().insert(number, id.clone());
        self.queries.borrow_mut().insert(
            id,
            KnownQuery {
                number,
                last_poll: Instant::now(),
                ended: None,
            },
        );
        self.changed.notify(usize::MAX);
        String::new()
    }

    /// Response to a poll: the result, or 202 after the long-poll timeout.
    async fn poll(&self, id: &str, team: Option<usize>) -> String {
        let deadline = Instant::now() + LONG_POLL_TIMEOUT;
        loop {
            let ended = self.ended.listen();
            let end = {
                let mut queries = self.queries.borrow_mut();
                let Some(query) = queries.get_mut(id) else {
                    return response(500, "", "");
                };
                query.last_poll = Instant::now();
                query.ended
            };
            match end {
                Some(QueryEnd::Completed(work)) => {
                    if let Some(team) = team {
                        self.shared.used_core_s.borrow_mut()[team] += work;
                    }
                    let head = format!(
                        "Page-Count: 1\r\nWork-Ms: {:.3}\r\nPeak-Mb: 16\r\nSrv-Load: active:{}\r\n",
                        work * 1000.0,
                        self.engine.borrow().running()
                    );
                    return response(200, &head, "a\tb\tc\n");
                }
                Some(QueryEnd::Error) => return response(500, "", ""),
                None if Instant::now() >= deadline => return response(202, "", ""),
                None => {
                    let timeout = async {
                        Timer::at(deadline).await;
                    };
                    ended.or(timeout).await;
                }
            }
        }
    }
}

/// An HTTP request to an engine.
pub(crate) struct Call {
    pub method: String,
    pub path: String,
    headers: Vec<(String, String)>,
    pub body: String,
    /// Size of head and body as received.
    pub bytes: usize,
}

impl Call {
    /// Value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> String {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or(String::new(), |(_, value)| value.clone())
    }
}

/// HTTP response of an engine.
pub(crate) fn response(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads the next request; `None`: the connection is closed, or the request is too large.
pub(crate) async fn next_call(
    stream: &Async<TcpStream>,
    input: &mut BytesMut,
) -> io::Result<Option<Call>> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        let to_io_error = |_| io::Error::from(io::ErrorKind::InvalidData);
        if let httparse::Status::Complete(head) = request.parse(input).map_err(to_io_error)? {
            let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
            let headers = request
                .headers
                .iter()
                .map(|h| (h.name.to_owned(), text(h.value)))
                .collect();
            let mut call = Call {
                method: request.method.unwrap_or_default().to_owned(),
                path: request.path.unwrap_or_default().to_owned(),
                headers,
                body: String::new(),
                bytes: head,
            };
            let length = call
                .header("Content-Length")
                .parse()
                .unwrap_or(0usize)
                .min(MAX_REQUEST_BYTES);
            while input.len() < head + length {
                if read_some(stream, input).await? == 0 {
                    return Ok(None);
                }
            }
            input.advance(head);
            call.body = text(&input.split_to(length));
            call.bytes += length;
            return Ok(Some(call));
        }
        if input.len() > MAX_REQUEST_BYTES || read_some(stream, input).await? == 0 {
            return Ok(None);
        }
    }
}

async fn serve_engine(emulated: Rc<Emulated>, stream: Async<TcpStream>) -> io::Result<()> {
    let mut input = BytesMut::new();
    let mut teams: HashMap<String, usize> = HashMap::new();
    while let Some(call) = next_call(&stream, &mut input).await? {
        let id = match call.method.as_str() {
            "POST" => call.header("Via-Id"),
            _ => call.path.split('/').nth(2).unwrap_or_default().to_owned(),
        };
        let response_text = match call.method.as_str() {
            "POST" => {
                let statement = call
                    .body
                    .split("stmt = ")
                    .nth(1)
                    .and_then(|n| n.split_whitespace().next()?.parse().ok());
                if let Some(planned) =
                    statement.and_then(|n: usize| emulated.shared.statements.get(n))
                {
                    teams.insert(id.clone(), planned.team);
                }
                let start_response = emulated.start(&call);
                if start_response.is_empty() {
                    emulated.poll(&id, teams.get(&id).copied()).await
                } else {
                    start_response
                }
            }
            "GET" => emulated.poll(&id, teams.get(&id).copied()).await,
            "PUT" => {
                let number = emulated.queries.borrow().get(&id).map(|query| query.number);
                if let Some(number) = number {
                    let priority = call.body.trim().parse().unwrap_or(1);
                    let now = emulated.shared.now();
                    emulated
                        .engine
                        .borrow_mut()
                        .set_priority(now, number, priority);
                    emulated.changed.notify(usize::MAX);
                }
                response(204, "", "")
            }
            _ => {
                let number = emulated.queries.borrow().get(&id).map(|query| query.number);
                if let Some(number) = number {
                    emulated.cancel(&id, number);
                }
                response(204, "", "")
            }
        };
        (&stream).write_all(response_text.as_bytes()).await?;
    }
    Ok(())
}

// ---- clients ----

/// Outcome of one attempt.
enum AttemptOutcome {
    Rows,
    /// Rejected, with the retry-after.
    Rejected(Nanos),
    Failed,
}

async fn execute(session: &mut Session, text: &str) -> io::Result<AttemptOutcome> {
    Ok(match session.execute(text).await? {
        Reply::Rows(_) => AttemptOutcome::Rows,
        Reply::Error(1040 | 1203 | 1226, text) => {
            AttemptOutcome::Rejected(retry_after_ms(&text) * MS)
        }
        Reply::Error(..) => AttemptOutcome::Failed,
    })
}

/// Attempts and answers of one statement.
#[derive(Clone, Copy, Default)]
struct StatementCounts {
    attempts: u32,
    answers: u32,
    served_at: Option<Nanos>,
    rejected: u32,
    failed: u32,
}

struct Clients {
    shared: Rc<Shared>,
    address: SocketAddr,
    team_names: Vec<String>,
    idle: RefCell<Vec<Vec<Session>>>,
    counts: RefCell<Vec<StatementCounts>>,
    new_connections: bool,
    /// Number of statements in flight.
    in_flight: Cell<usize>,
}

impl Clients {
    /// Sends a statement and retries rejections within half of its timeout.
    async fn send_statement(self: Rc<Self>, statement: usize) {
        self.in_flight.set(self.in_flight.get() + 1);
        let planned = &self.shared.statements[statement];
        let work = &self.shared.works[planned.workload];
        let deadline = planned.arrives_at + work.timeout;
        for attempt in 0..MAX_ATTEMPTS {
            self.counts.borrow_mut()[statement].attempts += 1;
            let remaining_ms = deadline.saturating_sub(self.shared.now()) / MS;
            let timeout = async {
                Timer::after(Duration::from_millis(remaining_ms + 1000)).await;
                Err(io::ErrorKind::TimedOut.into())
            };
            let outcome = self
                .attempt(statement, attempt, remaining_ms.max(1))
                .or(timeout)
                .await;
            if outcome.is_ok() {
                self.counts.borrow_mut()[statement].answers += 1;
            }
            match &outcome {
                Ok(AttemptOutcome::Rejected(_)) => {
                    self.counts.borrow_mut()[statement].rejected += 1
                }
                Ok(AttemptOutcome::Failed) => self.counts.borrow_mut()[statement].failed += 1,
                _ => {}
            }
            match outcome {
                Ok(AttemptOutcome::Rows) => {
                    self.counts.borrow_mut()[statement].served_at = Some(self.shared.now());
                    break;
                }
                Ok(AttemptOutcome::Rejected(after))
                    if self.shared.now() + after < planned.arrives_at + work.timeout / 2 =>
                {
                    Timer::after(Duration::from_nanos(after.max(MS))).await;
                }
                _ => break,
            }
        }
        self.in_flight.set(self.in_flight.get() - 1);
    }

    /// Makes one attempt.
    async fn attempt(
        &self,
        statement: usize,
        attempt: u32,
        remaining_ms: u64,
    ) -> io::Result<AttemptOutcome> {
        let planned = &self.shared.statements[statement];
        let work = &self.shared.works[planned.workload];
        let idle_session = {
            let mut idle = self.idle.borrow_mut();
            idle[planned.team].retain(|session| session.used_at.elapsed() < IDLE_TIMEOUT);
            idle[planned.team].pop()
        };
        let was_idle = idle_session.is_some();
        let mut session = match idle_session {
            Some(session) => session,
            None => Session::connect(self.address).await?,
        };
        let id = (statement as u64) << 8 | u64::from(attempt);
        let text = format!(
            "/* kind={},req={id:016x},timeout={remaining_ms},owner={},ms={:.3} */ SELECT a FROM sales_{}.orders WHERE stmt = {statement} ",
            work.name,
            self.team_names[planned.team],
            planned.estimated_work_core_s * 1000.0,
            planned.table_group
        );
        let outcome = match execute(&mut session, &text).await {
            // The gateway closed the idle connection meanwhile: retries on a new connection.
            Err(_) if was_idle => {
                session = Session::connect(self.address).await?;
                execute(&mut session, &text).await?
            }
            outcome => outcome?,
        };
        session.used_at = Instant::now();
        let mut idle = self.idle.borrow_mut();
        if !self.new_connections && idle[planned.team].len() < MAX_IDLE_SESSIONS {
            idle[planned.team].push(session);
        }
        Ok(outcome)
    }
}

// ---- a run ----

/// Configuration of a gateway for these engines.
pub fn configuration(plan: &RunPlan, engines: &[SocketAddr]) -> String {
    let ns = |span: Nanos| span.to_string();
    let parts: f64 = plan.workloads.iter().map(|w| w.statement_weight).sum();
    let mean: f64 = plan
        .workloads
        .iter()
        .map(|w| w.mean_work_core_s * w.statement_weight / parts)
        .sum();
    let categories: Vec<String> = plan
        .workloads
        .iter()
        .map(|w| {
            let effect = if w.idempotency == Idempotency::NonIdempotent { "unsafe" } else { "safe" };
            format!(
                r#"{{"name":"{}","goal-time-ns":{},"aim-stretch":{},"give-up-ns":{},"effect":"{effect}","key-scope":"all","worth":{}}}"#,
                w.name,
                ns(w.latency_objective),
                w.latency_objective_stretch,
                ns(w.timeout),
                w.priority_weight
            )
        })
        .collect();
    let tenants: Vec<String> = plan
        .teams
        .iter()
        .zip(&plan.quota_cores)
        .map(|(name, cores)| {
            format!(
                r#"{{"name":"{name}","allowance-per-s":{:.3}}}"#,
                cores / mean
            )
        })
        .collect();
    let rows: Vec<String> = engines
        .iter()
        .enumerate()
        .map(|(i, address)| {
            format!(
                r#"{{"id":"s-{i}","addr":"{address}","zone":"z","kind":"std","cell":0,"state":"in_service","weight":1,"started_ms":0}}"#
            )
        })
        .collect();
    let dop: Vec<String> = plan
        .workloads
        .iter()
        .map(|w| w.threads.to_string())
        .collect();
    let loads: Vec<String> = plan
        .workloads
        .iter()
        .map(|w| (w.idempotency == Idempotency::NonIdempotent).to_string())
        .collect();
    format!(
        r#"{{"name":"lab","listen":"127.0.0.1:0","seed":"{:x}","limits":{{"sockets":2048,"memory_mb":192}},
"journal":"","known":{{"pos":1,"entries":[{{"pos":1,"hosts":{{"version":1,"full":true,"servers":[{}]}}}}]}},
"settings":{{"balancers":1,"tick-ns":1000000,"zones":["z"],"host-types":["std"],"categories":[{}],"customers":[{}],
"over-share-worth":0.1,
"contract":{{"cold-from":0.4,"drain-grace-ns":250000000,"grace-to-answer-ns":5000000,"warm-up-ns":10000000000,
"budget-free":5,"repeat-ratio":0.2,"resend-span-ns":5000000000}},
"extra":{{"cores-by-kind":[{}],"dop":[{}],"loads":[{}],"tells-cost":true,"ranks-heeded":true,"progress-pace-ns":0}},
"load-info":{{"fields":["active"],"how":"piggyback"}},
"permissions":{{"connect-timeout-ns":250000000,"idle-close-ns":30000000000,"max-attempts":4,"may-cancel":true,
"most-held":20000,"retry-after":true,"max-retry-after-ns":2000000000}}}}}}"#,
        plan.seed,
        rows.join(","),
        categories.join(","),
        tenants.join(","),
        plan.model.cores,
        dop.join(","),
        loads.join(","),
    )
}

/// Starts a gateway and runs the plan against it; an error if the gateway does not start or ends with a failure.
pub fn run(plan: RunPlan) -> Result<Figures, String> {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async move {
        let shared = Rc::new(Shared {
            started: Instant::now(),
            starts: RefCell::new(vec![0; plan.statements.len()]),
            used_core_s: RefCell::new(vec![0.0; plan.teams.len()]),
            statements: plan.statements.clone(),
            works: plan.workloads.clone(),
        });
        let mut addresses = Vec::new();
        let mut engines = Vec::new();
        for e in 0..plan.engines {
            let listener =
                Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).map_err(|e| e.to_string())?;
            addresses.push(listener.get_ref().local_addr().map_err(|e| e.to_string())?);
            let rng = ChaCha8Rng::seed_from_u64(plan.seed.wrapping_mul(31).wrapping_add(e as u64));
            let emulated = Rc::new(Emulated {
                engine: RefCell::new(Engine::new(plan.model.clone(), rng, 0)),
                queries: RefCell::default(),
                ids: RefCell::default(),
                last_number: Cell::new(0),
                changed: Event::new(),
                ended: Event::new(),
                shared: shared.clone(),
            });
            engines.push(emulated.clone());
            executor.spawn(emulated.clone().run()).detach();
            let spawner = executor.clone();
            executor
                .spawn(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        let emulated = emulated.clone();
                        spawner
                            .spawn(async move {
                                // A closed connection is not an error.
                                let _ = serve_engine(emulated, stream).await;
                            })
                            .detach();
                    }
                })
                .detach();
        }
        let (mut child, log, _) = spawn_gateway_with_settings(
            &configuration(&plan, &addresses),
            plan.own_settings.as_deref(),
        );
        let line = smol::unblock({
            let log = log.clone();
            move || {
                log.wait("start", |l| {
                    l.contains("gateway started") || l.contains("ERROR")
                })
            }
        })
        .await;
        let address = log_lines::field(&line, "address").and_then(|address| address.parse().ok());
        let Some(address) = address else {
            return Err(line);
        };
        let clients = Rc::new(Clients {
            shared: shared.clone(),
            address,
            team_names: plan.teams.clone(),
            idle: RefCell::new(plan.teams.iter().map(|_| Vec::new()).collect()),
            counts: RefCell::new(vec![StatementCounts::default(); plan.statements.len()]),
            new_connections: plan.new_connections,
            in_flight: Cell::new(0),
        });
        // The statements' times count from here.
        let traffic_start = shared.now();
        let mut second = 1;
        let mut shown = vec![(0u64, 0u64); plan.teams.len()];
        for statement in 0..plan.statements.len() {
            let at = shared.started
                + Duration::from_nanos(traffic_start + plan.statements[statement].arrives_at);
            if at > Instant::now() {
                Timer::at(at).await;
            }
            executor
                .spawn(clients.clone().send_statement(statement))
                .detach();
            if plan.prints_progress && plan.statements[statement].arrives_at >= second * SECOND {
                print_progress(second, &clients, &shared, traffic_start, &mut shown);
                second += 1;
            }
        }
        let deadline = Instant::now() + Duration::from_secs(60);
        while clients.in_flight.get() > 0 && Instant::now() < deadline {
            Timer::after(Duration::from_millis(20)).await;
        }
        let figures = collect_figures(&plan, &clients, &shared, &engines, traffic_start);
        let mut figures = figures;
        figures.gateway_cpu_s = cpu_s(child.id());
        let pid = child.id().to_string();
        let _ = smol::unblock(move || {
            std::process::Command::new("kill")
                .args(["-TERM", &pid])
                .status()
        })
        .await;
        let code = smol::unblock(move || child.wait())
            .await
            .map_err(|e| e.to_string())?;
        if !code.success() {
            return Err(format!("the gateway ended with {code}"));
        }
        Ok(with_estimates(figures, &log.all()))
    }))
}

/// CPU seconds of a process so far, in steps of 0.01 s; 0 if they cannot be read.
fn cpu_s(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
    fields
        .skip(11)
        .take(2)
        .filter_map(|n| n.parse::<f64>().ok())
        .sum::<f64>()
        / 100.0
}

/// Prints the counts of the last second by team.
fn print_progress(
    second: u64,
    clients: &Clients,
    shared: &Shared,
    traffic_start: Nanos,
    shown: &mut [(u64, u64)],
) {
    let mut now = vec![(0u64, 0u64); shown.len()];
    for (counts, planned) in clients.counts.borrow().iter().zip(&shared.statements) {
        let served = counts
            .served_at
            .is_some_and(|at| at <= traffic_start + planned.arrives_at + planned.latency_objective);
        now[planned.team].0 += u64::from(counts.attempts > 0);
        now[planned.team].1 += u64::from(served);
    }
    let parts: Vec<String> = clients
        .team_names
        .iter()
        .zip(now.iter().zip(shown.iter()))
        .map(|(name, (now, was))| {
            format!("{name} {} asked {} in time", now.0 - was.0, now.1 - was.1)
        })
        .collect();
    println!(
        "{second:>3} s  {}  ({} open)",
        parts.join(", "),
        clients.in_flight.get()
    );
    shown.copy_from_slice(&now);
}

/// Sums up the run.
fn collect_figures(
    plan: &RunPlan,
    clients: &Clients,
    shared: &Shared,
    engines: &[Rc<Emulated>],
    traffic_start: Nanos,
) -> Figures {
    let mut teams: Vec<TeamFigures> = plan
        .teams
        .iter()
        .map(|name| TeamFigures::new(name))
        .collect();
    let mut figures = Figures::default();
    let starts = shared.starts.borrow();
    for (statement, counts) in clients.counts.borrow().iter().enumerate() {
        let planned = &plan.statements[statement];
        let work = &plan.workloads[planned.workload];
        let latency = counts
            .served_at
            .map(|at| at.saturating_sub(traffic_start + planned.arrives_at));
        teams[planned.team].record_statement(
            work.priority_weight,
            planned.latency_objective,
            latency,
            counts.attempts,
        );
        teams[planned.team].rejected_by_queues += u64::from(counts.rejected);
        teams[planned.team].rejected_by_scheduler += u64::from(counts.failed);
        figures.repeated_bulk_loads +=
            u64::from(work.idempotency == Idempotency::NonIdempotent && starts[statement] > 1);
        figures.unanswered += u64::from(counts.answers < counts.attempts);
    }
    for (team, used) in teams.iter_mut().zip(shared.used_core_s.borrow().iter()) {
        team.completed_core_s = *used;
    }
    figures.wasted_core_s = engines
        .iter()
        .map(|e| e.engine.borrow().wasted_core_s)
        .sum();
    figures.teams = teams;
    figures
}

/// Adds the estimate totals that the gateway logs when it ends.
fn with_estimates(mut figures: Figures, log: &[String]) -> Figures {
    let Some(line) = log
        .iter()
        .find(|line| line.contains("wait estimate totals"))
    else {
        return figures;
    };
    let number =
        |key: &str| log_lines::field(line, key).and_then(|value| value.parse::<u64>().ok());
    if let (Some(estimates), Some(good), Some(median)) = (
        number("estimates"),
        number("good"),
        number("median_error_percent"),
    ) {
        figures.wait_estimates = estimates;
        figures.good_wait_estimates = good;
        figures.median_wait_estimate_error = median as f64 / 100.0;
    }
    figures
}

/// The operator's settings with the shares of the teams, as JSON.
pub fn team_settings(shares: &[(&str, f64)]) -> String {
    let teams: Vec<String> = shares
        .iter()
        .map(|(name, share)| format!(r#""{name}":{{"share":{share}}}"#))
        .collect();
    format!(
        r#"{{"teams":{{"show":true,"by_name":{{{}}}}}}}"#,
        teams.join(",")
    )
}
