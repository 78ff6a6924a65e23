//! An emulated engine as a process: the model of [`crate::virtual_time::engine`] behind the platform's HTTP protocol. It
//! listens at one address per gateway, which identifies the caller. It prints each start, each first poll by another
//! gateway and each end before it acts on it, so that the starts of a killed engine are known.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::BytesMut;
use clap::Args;
use event_listener::Event;
use ivypitch_types::Nanos;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol::future::FutureExt;
use smol::io::AsyncWriteExt;
use smol::{Async, LocalExecutor, Timer};

use crate::processes::loopback_run::{Call, next_call, response};
use crate::virtual_time::engine::{Engine, EngineConfig, Query, QueryEnd};

/// Maximum delay of a response that reports no progress.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(250);
/// A query that is not polled for this time is dropped.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// One emulated engine; the testbed starts it.
#[derive(Args)]
pub struct EngineProcess {
    /// Listen address for each gateway.
    #[arg(long, value_delimiter = ',', required = true)]
    listen: Vec<SocketAddr>,
    #[arg(long, default_value_t = 16.0)]
    cores: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Milliseconds from a cold start until it is warm.
    #[arg(long, default_value_t = 0)]
    warm_up: u64,
}

/// A query of the engine.
struct KnownQuery {
    id: String,
    last_poll: Instant,
    /// The gateway that polled last.
    gateway: usize,
    ended: Option<QueryEnd>,
}

struct Emulated {
    engine: RefCell<Engine>,
    /// By their number in the model; removed when cancelled, or after 2 s without a poll.
    queries: RefCell<BTreeMap<u64, KnownQuery>>,
    last_number: Cell<u64>,
    started: Instant,
    changed: Event,
    ended: Event,
    /// Fraction of the starts that fail, by command.
    failing_fraction: Cell<f64>,
    /// Whether results are withheld, by command.
    withholds_results: Cell<bool>,
}

/// System time in microseconds since the Unix epoch, comparable between processes.
pub fn timestamp_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| span.as_micros() as u64)
}

fn print_event(kind: &str, id: &str, gateway: usize) {
    // The reader may have ended.
    let _ = writeln!(
        io::stdout().lock(),
        "{} {kind} {id} {gateway}",
        timestamp_us()
    );
}

impl EngineProcess {
    pub fn run(self) -> ExitCode {
        match self.serve() {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("engine: {e}");
                ExitCode::FAILURE
            }
        }
    }

    fn serve(self) -> io::Result<()> {
        let model = EngineConfig {
            cores: self.cores,
            warm_up_duration: self.warm_up * 1_000_000,
            max_queries: 10_000,
            ..EngineConfig::default()
        };
        let started_at = u64::from(self.warm_up > 0);
        let emulated = Rc::new(Emulated {
            engine: RefCell::new(Engine::new(
                model,
                ChaCha8Rng::seed_from_u64(self.seed),
                started_at,
            )),
            queries: RefCell::default(),
            last_number: Cell::new(0),
            started: Instant::now(),
            changed: Event::new(),
            ended: Event::new(),
            failing_fraction: Cell::new(0.0),
            withholds_results: Cell::new(false),
        });
        let executor = Rc::new(LocalExecutor::new());
        for (gateway, address) in self.listen.iter().enumerate() {
            let listener = Async::new(bind(*address)?)?;
            let (spawner, emulated) = (executor.clone(), emulated.clone());
            let task = async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let emulated = emulated.clone();
                    spawner
                        .spawn(async move {
                            // A closed connection is not an error.
                            let _ = emulated.serve_connection(stream, gateway).await;
                        })
                        .detach();
                }
            };
            executor.spawn(task).detach();
        }
        // Ends with the parent process, which closes the pipe.
        let (sender, commands) = smol::channel::unbounded();
        std::thread::spawn(move || {
            for line in io::stdin().lock().lines().map_while(Result::ok) {
                let _ = sender.try_send(line);
            }
        });
        println!("{} ready - 0", timestamp_us());
        smol::block_on(executor.run(async {
            let model = emulated.clone().run();
            let handling = async {
                while let Ok(line) = commands.recv().await {
                    emulated.handle_command(&line);
                }
            };
            model.or(handling).await;
        }));
        Ok(())
    }
}

/// Retries for 5 s: the port of a process that has just ended may still be in use.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        match TcpListener::bind(address) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline => {
                std::thread::sleep(Duration::from_millis(20));
            }
            result => return result,
        }
    }
}

impl Emulated {
    fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos + 1
    }

    fn handle_command(&self, line: &str) {
        let mut words = line.split_whitespace();
        match (
            words.next(),
            words.next().and_then(|n| n.parse::<f64>().ok()),
        ) {
            (Some("fails"), Some(fraction)) => self.failing_fraction.set(fraction.clamp(0.0, 1.0)),
            (Some("mute"), Some(value)) => self.withholds_results.set(value > 0.0),
            _ => eprintln!("engine: unknown command {line:?}"),
        }
        self.ended.notify(usize::MAX);
    }

    /// Advances the model and drops queries that are no longer polled.
    async fn run(self: Rc<Self>) {
        loop {
            let changed = self.changed.listen();
            self.advance();
            let next = self
                .engine
                .borrow()
                .next_end()
                .map(|at| at.saturating_sub(self.now()));
            let span = next
                .map_or(POLL_TIMEOUT / 4, Duration::from_nanos)
                .min(POLL_TIMEOUT / 4);
            let timer = async {
                Timer::after(span.max(Duration::from_micros(200))).await;
            };
            changed.or(timer).await;
            let unpolled: Vec<u64> = self
                .queries
                .borrow()
                .iter()
                .filter(|(_, query)| query.last_poll.elapsed() > POLL_TIMEOUT)
                .map(|(&number, _)| number)
                .collect();
            unpolled
                .into_iter()
                .for_each(|number| self.remove(number, "drop"));
        }
    }

    /// Advances the model to the current time and prints the queries that have ended.
    fn advance(&self) {
        let ended = self.engine.borrow_mut().take_ended(self.now());
        for (number, end) in ended {
            if let Some(query) = self.queries.borrow_mut().get_mut(&number) {
                let is_completed = matches!(end, QueryEnd::Completed(_));
                print_event(
                    if is_completed { "end" } else { "fail" },
                    &query.id,
                    query.gateway,
                );
                query.ended = Some(end);
            }
            self.ended.notify(usize::MAX);
        }
    }

    /// Cancels a query; `kind`: the event to print.
    fn remove(&self, number: u64, kind: &str) {
        let Some(query) = self.queries.borrow_mut().remove(&number) else {
            return;
        };
        if query.ended.is_none() {
            print_event(kind, &query.id, query.gateway);
        }
        self.engine.borrow_mut().cancel(self.now(), number);
        self.changed.notify(usize::MAX);
    }

    fn number_of(&self, id: &str) -> Option<u64> {
        self.queries
            .borrow()
            .iter()
            .find(|(_, query)| query.id == id)
            .map(|(&number, _)| number)
    }

    /// Starts a query unless it is known; `Some`: the response of a failed start.
    fn start(&self, call: &Call, id: &str, gateway: usize) -> Option<String> {
        if self.number_of(id).is_some() {
            return None;
        }
        let number_after = |name: &str| {
            let at = call.body.find(name)? + name.len();
            call.body[at..]
                .split_whitespace()
                .next()?
                .parse::<f64>()
                .ok()
        };
        let Some(work) = number_after("work = ") else {
            return Some(response(500, "", ""));
        };
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let query = Query {
            id: number,
            work_core_s: work / 1000.0,
            threads: 1.0,
            priority: call.header("Rank").parse().unwrap_or(1),
            table_group: 0,
        };
        self.advance();
        print_event("start", id, gateway);
        if !self.engine.borrow_mut().start(self.now(), query) {
            return Some(response(503, "Srv-Untouched: 1\r\n", ""));
        }
        // Depends only on the id, so that it fails in each run with the same seed.
        let draw = (id
            .bytes()
            .fold(7u64, |h, b| h.wrapping_mul(31) + u64::from(b))
            % 1000) as f64
            / 1000.0;
        let ended = (draw < self.failing_fraction.get()).then_some(QueryEnd::Error);
        let known = KnownQuery {
            id: id.to_owned(),
            last_poll: Instant::now(),
            gateway,
            ended,
        };
        self.queries.borrow_mut().insert(number, known);
        self.changed.notify(usize::MAX);
        None
    }

    /// Response to a poll: the result, or 202 after the long-poll timeout.
    async fn poll(&self, id: &str, gateway: usize) -> String {
        let deadline = Instant::now() + LONG_POLL_TIMEOUT;
        loop {
            let ended = self.ended.listen();
            let end = {
                let Some(number) = self.number_of(id) else {
                    return response(500, "", "");
                };
                let mut queries = self.queries.borrow_mut();
                let Some(query) = queries.get_mut(&number) else {
                    return response(500, "", "");
                };
                query.last_poll = Instant::now();
                if query.gateway != gateway {
                    query.gateway = gateway;
                    print_event("ask", id, gateway);
                }
                query.ended
            };
            match end {
                _ if self.withholds_results.get() => {}
                Some(QueryEnd::Completed(work)) => {
                    let head = format!(
                        "Page-Count: 1\r\nWork-Ms: {:.3}\r\nPeak-Mb: 16\r\nSrv-Load: waiting:0;active:{};x0:0.1\r\n",
                        work * 1000.0,
                        self.engine.borrow().running()
                    );
                    return response(200, &head, &format!("{id}\tb\tc\n"));
                }
                Some(QueryEnd::Error) => return response(500, "", ""),
                None if Instant::now() >= deadline => return response(202, "", ""),
                None => {}
            }
            let timeout = async {
                Timer::at(deadline.max(Instant::now() + Duration::from_millis(20))).await;
            };
            ended.or(timeout).await;
        }
    }

    async fn serve_connection(&self, stream: Async<TcpStream>, gateway: usize) -> io::Result<()> {
        let mut input = BytesMut::new();
        while let Some(call) = next_call(&stream, &mut input).await? {
            let id = match call.method.as_str() {
                "POST" => call.header("Via-Id"),
                _ => call.path.split('/').nth(2).unwrap_or_default().to_owned(),
            };
            let response = match call.method.as_str() {
                "POST" => match self.start(&call, &id, gateway) {
                    Some(response) => response,
                    None => self.poll(&id, gateway).await,
                },
                "GET" => self.poll(&id, gateway).await,
                "PUT" => {
                    if let (Some(number), Ok(priority)) =
                        (self.number_of(&id), call.body.trim().parse())
                    {
                        self.engine
                            .borrow_mut()
                            .set_priority(self.now(), number, priority);
                        self.changed.notify(usize::MAX);
                    }
                    response(204, "", "")
                }
                _ => {
                    if let Some(number) = self.number_of(&id) {
                        self.remove(number, "stop");
                    }
                    response(204, "", "")
                }
            };
            (&stream).write_all(response.as_bytes()).await?;
        }
        Ok(())
    }
}
