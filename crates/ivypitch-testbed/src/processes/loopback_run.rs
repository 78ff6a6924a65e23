//! The same over sockets: emulated engines that speak the platform's HTTP, real gateways as processes, open-loop
//! clients of the MySQL protocol, all on loopback. One thread a run holds its engines and clients.

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
/// An engine holds its news back for so long.
const NEWS: Duration = Duration::from_millis(250);
/// What has not been asked for in so long is dropped.
const UNASKED: Duration = Duration::from_secs(2);
/// A refused client tries so often in all.
const TRIES: u32 = 3;
const LARGEST: usize = 1 << 20;
/// Sessions that a team's clients keep idle.
const KEPT: usize = 64;
/// And for how long.
const IDLE: Duration = Duration::from_secs(4);

pub struct RunPlan {
    pub engines: usize,
    pub model: EngineConfig,
    pub workloads: Vec<WorkloadParams>,
    pub teams: Vec<String>,
    pub statements: Vec<Statement>,
    /// The own settings of the gateway, as JSON.
    pub own_settings: Option<String>,
    pub quota_cores: Vec<f64>,
    /// Every statement comes on a connection of its own.
    pub new_connections: bool,
    pub seed: u64,
    /// A line a second.
    pub prints_progress: bool,
}

// ---- engines ----

struct Asked {
    number: u64,
    asked_at: Instant,
    ended: Option<QueryEnd>,
}

struct Emulated {
    engine: RefCell<Engine>,
    queries: RefCell<HashMap<String, Asked>>,
    ids: RefCell<HashMap<u64, String>>,
    last: Cell<u64>,
    changed: Event,
    ended: Event,
    shared: Rc<Shared>,
}

/// What the run's engines and clients have in common.
struct Shared {
    started: Instant,
    statements: Vec<Statement>,
    works: Vec<WorkloadParams>,
    /// Starts of each statement at engines, and core-seconds done by team.
    starts: RefCell<Vec<u32>>,
    used: RefCell<Vec<f64>>,
}

impl Shared {
    fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }
}

impl Emulated {
    /// Moves the engine on; tells those who wait what has ended.
    fn advance(&self) {
        let ended = self.engine.borrow_mut().take_ended(self.shared.now());
        if ended.is_empty() {
            return;
        }
        for (number, end) in ended {
            let Some(id) = self.ids.borrow_mut().remove(&number) else {
                continue;
            };
            if let Some(asked) = self.queries.borrow_mut().get_mut(&id) {
                asked.ended = Some(end);
            }
        }
        self.ended.notify(usize::MAX);
    }

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
                .map_or(UNASKED / 4, Duration::from_nanos)
                .min(UNASKED / 4);
            let timer = async {
                Timer::after(span.max(Duration::from_micros(100))).await;
            };
            changed.or(timer).await;
            self.drop_unasked();
        }
    }

    fn drop_unasked(&self) {
        let old = |asked: &Asked| asked.asked_at.elapsed() > UNASKED;
        let gone: Vec<(String, u64)> = self
            .queries
            .borrow()
            .iter()
            .filter(|(_, asked)| old(asked))
            .map(|(id, asked)| (id.clone(), asked.number))
            .collect();
        for (id, number) in gone {
            self.give_up(&id, number);
        }
    }

    fn give_up(&self, id: &str, number: u64) {
        self.queries.borrow_mut().remove(id);
        self.ids.borrow_mut().remove(&number);
        self.engine.borrow_mut().cancel(self.shared.now(), number);
        self.changed.notify(usize::MAX);
    }

    fn start(&self, call: &Call) -> String {
        let id = call.header("Via-Id");
        if self.queries.borrow().contains_key(&id) {
            return answer(202, "", "");
        }
        let figure = |name: &str| {
            let at = call.body.find(name)? + name.len();
            call.body[at..]
                .split_whitespace()
                .next()?
                .parse::<f64>()
                .ok()
        };
        let Some(stmt) = figure("stmt = ")
            .map(|n| n as usize)
            .filter(|&n| n < self.shared.statements.len())
        else {
            return answer(500, "", "");
        };
        let asked = &self.shared.statements[stmt];
        let number = self.last.get() + 1;
        self.last.set(number);
        let query = Query {
            id: number,
            work_core_s: asked.work_core_s,
            threads: self.shared.works[asked.workload].threads,
            priority: call.header("Rank").parse().unwrap_or(1),
            table_group: asked.table_group,
        };
        self.advance();
        if !self.engine.borrow_mut().start(self.shared.now(), query) {
            return answer(503, "Srv-Untouched: 1\r\n", "");
        }
        self.shared.starts.borrow_mut()[stmt] += 1;
        self.ids.borrow_mut().insert(number, id.clone());
        self.queries.borrow_mut().insert(
            id,
            Asked {
                number,
                asked_at: Instant::now(),
                ended: None,
            },
        );
        self.changed.notify(usize::MAX);
        String::new()
    }

    /// The end, or 202 once the news have been held back for their time.
    async fn news(&self, id: &str, stmt_team: Option<usize>) -> String {
        let until = Instant::now() + NEWS;
        loop {
            let ended = self.ended.listen();
            let end = {
                let mut queries = self.queries.borrow_mut();
                let Some(asked) = queries.get_mut(id) else {
                    return answer(500, "", "");
                };
                asked.asked_at = Instant::now();
                asked.ended
            };
            match end {
                Some(QueryEnd::Completed(work)) => {
                    if let Some(team) = stmt_team {
                        self.shared.used.borrow_mut()[team] += work;
                    }
                    let head = format!(
                        "Page-Count: 1\r\nWork-Ms: {:.3}\r\nPeak-Mb: 16\r\nSrv-Load: active:{}\r\n",
                        work * 1000.0,
                        self.engine.borrow().running()
                    );
                    return answer(200, &head, "a\tb\tc\n");
                }
                Some(QueryEnd::Error) => return answer(500, "", ""),
                None if Instant::now() >= until => return answer(202, "", ""),
                None => {
                    let late = async {
                        Timer::at(until).await;
                    };
                    ended.or(late).await;
                }
            }
        }
    }
}

pub(crate) struct Call {
    pub method: String,
    pub path: String,
    headers: Vec<(String, String)>,
    pub body: String,
    /// Of head and body as they came.
    pub bytes: usize,
}

impl Call {
    pub fn header(&self, name: &str) -> String {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or(String::new(), |(_, value)| value.clone())
    }
}

pub(crate) fn answer(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub(crate) async fn next_call(
    stream: &Async<TcpStream>,
    input: &mut BytesMut,
) -> io::Result<Option<Call>> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        let bad = |_| io::Error::from(io::ErrorKind::InvalidData);
        if let httparse::Status::Complete(head) = request.parse(input).map_err(bad)? {
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
                .min(LARGEST);
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
        if input.len() > LARGEST || read_some(stream, input).await? == 0 {
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
        let said = match call.method.as_str() {
            "POST" => {
                let stmt = call
                    .body
                    .split("stmt = ")
                    .nth(1)
                    .and_then(|n| n.split_whitespace().next()?.parse().ok());
                if let Some(asked) = stmt.and_then(|n: usize| emulated.shared.statements.get(n)) {
                    teams.insert(id.clone(), asked.team);
                }
                let said = emulated.start(&call);
                if said.is_empty() {
                    emulated.news(&id, teams.get(&id).copied()).await
                } else {
                    said
                }
            }
            "GET" => emulated.news(&id, teams.get(&id).copied()).await,
            "PUT" => {
                let number = emulated.queries.borrow().get(&id).map(|asked| asked.number);
                if let Some(number) = number {
                    let priority = call.body.trim().parse().unwrap_or(1);
                    let now = emulated.shared.now();
                    emulated
                        .engine
                        .borrow_mut()
                        .set_priority(now, number, priority);
                    emulated.changed.notify(usize::MAX);
                }
                answer(204, "", "")
            }
            _ => {
                let number = emulated.queries.borrow().get(&id).map(|asked| asked.number);
                if let Some(number) = number {
                    emulated.give_up(&id, number);
                }
                answer(204, "", "")
            }
        };
        (&stream).write_all(said.as_bytes()).await?;
    }
    Ok(())
}

// ---- clients ----

enum Answered {
    Rows,
    /// Refused; when to come back.
    Refused(Nanos),
    Failed,
}

async fn ask(session: &mut Session, text: &str) -> io::Result<Answered> {
    Ok(match session.execute(text).await? {
        Reply::Rows(_) => Answered::Rows,
        Reply::Error(1040 | 1203 | 1226, text) => Answered::Refused(retry_after_ms(&text) * MS),
        Reply::Error(..) => Answered::Failed,
    })
}

#[derive(Clone, Copy, Default)]
struct Told {
    tries: u32,
    answers: u32,
    served: Option<Nanos>,
    refused: u32,
    failed: u32,
}

struct Clients {
    shared: Rc<Shared>,
    address: SocketAddr,
    names: Vec<String>,
    idle: RefCell<Vec<Vec<Session>>>,
    told: RefCell<Vec<Told>>,
    new_connections: bool,
    open: Cell<usize>,
}

impl Clients {
    async fn ask(self: Rc<Self>, stmt: usize) {
        self.open.set(self.open.get() + 1);
        let asked = &self.shared.statements[stmt];
        let work = &self.shared.works[asked.workload];
        let by = asked.arrives_at + work.timeout;
        for attempt in 0..TRIES {
            self.told.borrow_mut()[stmt].tries += 1;
            let left = by.saturating_sub(self.shared.now()) / MS;
            let late = async {
                Timer::after(Duration::from_millis(left + 1000)).await;
                Err(io::ErrorKind::TimedOut.into())
            };
            let answered = self.once(stmt, attempt, left.max(1)).or(late).await;
            if answered.is_ok() {
                self.told.borrow_mut()[stmt].answers += 1;
            }
            match &answered {
                Ok(Answered::Refused(_)) => self.told.borrow_mut()[stmt].refused += 1,
                Ok(Answered::Failed) => self.told.borrow_mut()[stmt].failed += 1,
                _ => {}
            }
            match answered {
                Ok(Answered::Rows) => {
                    self.told.borrow_mut()[stmt].served = Some(self.shared.now());
                    break;
                }
                Ok(Answered::Refused(after))
                    if self.shared.now() + after < asked.arrives_at + work.timeout / 2 =>
                {
                    Timer::after(Duration::from_nanos(after.max(MS))).await;
                }
                _ => break,
            }
        }
        self.open.set(self.open.get() - 1);
    }

    async fn once(&self, stmt: usize, attempt: u32, left: u64) -> io::Result<Answered> {
        let asked = &self.shared.statements[stmt];
        let work = &self.shared.works[asked.workload];
        let kept = {
            let mut idle = self.idle.borrow_mut();
            idle[asked.team].retain(|session| session.used_at.elapsed() < IDLE);
            idle[asked.team].pop()
        };
        let was_kept = kept.is_some();
        let mut session = match kept {
            Some(session) => session,
            None => Session::connect(self.address).await?,
        };
        let id = (stmt as u64) << 8 | u64::from(attempt);
        let text = format!(
            "/* kind={},req={id:016x},timeout={left},owner={},ms={:.3} */ SELECT a FROM sales_{}.orders WHERE stmt = {stmt} ",
            work.name,
            self.names[asked.team],
            asked.estimated_work_core_s * 1000.0,
            asked.table_group
        );
        let answered = match ask(&mut session, &text).await {
            // It crossed the close of a connection that had been idle: once more, on a new one.
            Err(_) if was_kept => {
                session = Session::connect(self.address).await?;
                ask(&mut session, &text).await?
            }
            answered => answered?,
        };
        session.used_at = Instant::now();
        let mut idle = self.idle.borrow_mut();
        if !self.new_connections && idle[asked.team].len() < KEPT {
            idle[asked.team].push(session);
        }
        Ok(answered)
    }
}

// ---- a run ----

/// The platform's configuration of a gateway before these engines.
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

/// Plays the plan against a gateway of its own; `None` where that did not start.
pub fn run(plan: RunPlan) -> Result<Figures, String> {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async move {
        let shared = Rc::new(Shared {
            started: Instant::now(),
            starts: RefCell::new(vec![0; plan.statements.len()]),
            used: RefCell::new(vec![0.0; plan.teams.len()]),
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
                last: Cell::new(0),
                changed: Event::new(),
                ended: Event::new(),
                shared: shared.clone(),
            });
            engines.push(emulated.clone());
            executor.spawn(emulated.clone().run()).detach();
            let on = executor.clone();
            executor
                .spawn(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        let emulated = emulated.clone();
                        on.spawn(async move {
                            // A gateway that has gone is no fault here.
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
            names: plan.teams.clone(),
            idle: RefCell::new(plan.teams.iter().map(|_| Vec::new()).collect()),
            told: RefCell::new(vec![Told::default(); plan.statements.len()]),
            new_connections: plan.new_connections,
            open: Cell::new(0),
        });
        // Statements count from here.
        let begun = shared.now();
        let mut second = 1;
        let mut shown = vec![(0u64, 0u64); plan.teams.len()];
        for stmt in 0..plan.statements.len() {
            let at =
                shared.started + Duration::from_nanos(begun + plan.statements[stmt].arrives_at);
            if at > Instant::now() {
                Timer::at(at).await;
            }
            executor.spawn(clients.clone().ask(stmt)).detach();
            if plan.prints_progress && plan.statements[stmt].arrives_at >= second * SECOND {
                live(second, &clients, &shared, begun, &mut shown);
                second += 1;
            }
        }
        let patience = Instant::now() + Duration::from_secs(60);
        while clients.open.get() > 0 && Instant::now() < patience {
            Timer::after(Duration::from_millis(20)).await;
        }
        let figures = count(&plan, &clients, &shared, &engines, begun);
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

/// CPU seconds of a process so far, as the system counts them in hundredths; 0 where it doesn't tell.
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

fn live(second: u64, clients: &Clients, shared: &Shared, begun: Nanos, shown: &mut [(u64, u64)]) {
    let mut now = vec![(0u64, 0u64); shown.len()];
    for (told, asked) in clients.told.borrow().iter().zip(&shared.statements) {
        let served = told
            .served
            .is_some_and(|at| at <= begun + asked.arrives_at + asked.latency_objective);
        now[asked.team].0 += u64::from(told.tries > 0);
        now[asked.team].1 += u64::from(served);
    }
    let parts: Vec<String> = clients
        .names
        .iter()
        .zip(now.iter().zip(shown.iter()))
        .map(|(name, (now, was))| {
            format!("{name} {} asked {} in time", now.0 - was.0, now.1 - was.1)
        })
        .collect();
    println!(
        "{second:>3} s  {}  ({} open)",
        parts.join(", "),
        clients.open.get()
    );
    shown.copy_from_slice(&now);
}

fn count(
    plan: &RunPlan,
    clients: &Clients,
    shared: &Shared,
    engines: &[Rc<Emulated>],
    begun: Nanos,
) -> Figures {
    let mut teams: Vec<TeamFigures> = plan
        .teams
        .iter()
        .map(|name| TeamFigures::new(name))
        .collect();
    let mut figures = Figures::default();
    let starts = shared.starts.borrow();
    for (stmt, told) in clients.told.borrow().iter().enumerate() {
        let asked = &plan.statements[stmt];
        let work = &plan.workloads[asked.workload];
        let took = told
            .served
            .map(|at| at.saturating_sub(begun + asked.arrives_at));
        teams[asked.team].record_statement(
            work.priority_weight,
            asked.latency_objective,
            took,
            told.tries,
        );
        teams[asked.team].rejected_by_queues += u64::from(told.refused);
        teams[asked.team].rejected_by_scheduler += u64::from(told.failed);
        figures.repeated_bulk_loads +=
            u64::from(work.idempotency == Idempotency::NonIdempotent && starts[stmt] > 1);
        figures.unanswered += u64::from(told.answers < told.tries);
    }
    for (team, used) in teams.iter_mut().zip(shared.used.borrow().iter()) {
        team.completed_core_s = *used;
    }
    figures.wasted_core_s = engines
        .iter()
        .map(|e| e.engine.borrow().wasted_core_s)
        .sum();
    figures.teams = teams;
    figures
}

/// What the gateway says of its estimates as it ends.
fn with_estimates(mut figures: Figures, log: &[String]) -> Figures {
    let Some(line) = log
        .iter()
        .find(|line| line.contains("wait estimate totals"))
    else {
        return figures;
    };
    let number =
        |key: &str| log_lines::field(line, key).and_then(|value| value.parse::<u64>().ok());
    if let (Some(told), Some(good), Some(median)) = (
        number("estimates"),
        number("good"),
        number("median_error_percent"),
    ) {
        figures.wait_estimates = told;
        figures.good_wait_estimates = good;
        figures.median_wait_estimate_error = median as f64 / 100.0;
    }
    figures
}

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
