//! An emulated engine as a process of its own: the model of [`crate::virtual_time::engine`] behind the platform's HTTP. It listens at
//! one address for each gateway, so that it knows who asks, and says each start, first question of another gateway and
//! end on its standard output before it acts on it: what a killed engine had begun is known all the same.

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

use crate::processes::loopback_run::{Call, answer, next_call};
use crate::virtual_time::engine::{Engine, EngineConfig, Query, QueryEnd};

const NEWS: Duration = Duration::from_millis(250);
const UNASKED: Duration = Duration::from_secs(2);

/// One emulated engine; the laboratory starts it.
#[derive(Args)]
pub struct EngineProcess {
    /// Where it listens for each gateway.
    #[arg(long, value_delimiter = ',', required = true)]
    listen: Vec<SocketAddr>,
    #[arg(long, default_value_t = 16.0)]
    cores: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// It begins cold and takes so many milliseconds to be warm.
    #[arg(long, default_value_t = 0)]
    warm_up: u64,
}

struct Held {
    id: String,
    asked_at: Instant,
    by: usize,
    ended: Option<QueryEnd>,
}

struct Emulated {
    engine: RefCell<Engine>,
    /// By the number that the model knows it by. Emptied by a give-up and by 2 s without a question.
    held: RefCell<BTreeMap<u64, Held>>,
    last: Cell<u64>,
    began: Instant,
    changed: Event,
    ended: Event,
    /// What the laboratory has told it to do: part of the starts that fail, and answers that are held back.
    fails: Cell<f64>,
    mute: Cell<bool>,
}

/// Microseconds of the system's clock: the laboratory lays events of several processes beside each other.
pub fn timestamp_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| span.as_micros() as u64)
}

fn say(what: &str, id: &str, by: usize) {
    // Who reads it may have gone.
    let _ = writeln!(io::stdout().lock(), "{} {what} {id} {by}", timestamp_us());
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
        let started = u64::from(self.warm_up > 0);
        let emulated = Rc::new(Emulated {
            engine: RefCell::new(Engine::new(
                model,
                ChaCha8Rng::seed_from_u64(self.seed),
                started,
            )),
            held: RefCell::default(),
            last: Cell::new(0),
            began: Instant::now(),
            changed: Event::new(),
            ended: Event::new(),
            fails: Cell::new(0.0),
            mute: Cell::new(false),
        });
        let executor = Rc::new(LocalExecutor::new());
        for (by, address) in self.listen.iter().enumerate() {
            let listener = Async::new(bind(*address)?)?;
            let (on, emulated) = (executor.clone(), emulated.clone());
            let task = async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let emulated = emulated.clone();
                    on.spawn(async move {
                        // A gateway that has gone is no fault here.
                        let _ = emulated.converse(stream, by).await;
                    })
                    .detach();
                }
            };
            executor.spawn(task).detach();
        }
        // Ends with the laboratory: its end of the pipe closes.
        let (told, orders) = smol::channel::unbounded();
        std::thread::spawn(move || {
            for line in io::stdin().lock().lines().map_while(Result::ok) {
                let _ = told.try_send(line);
            }
        });
        println!("{} ready - 0", timestamp_us());
        smol::block_on(executor.run(async {
            let model = emulated.clone().run();
            let heeding = async {
                while let Ok(line) = orders.recv().await {
                    emulated.heed(&line);
                }
            };
            model.or(heeding).await;
        }));
        Ok(())
    }
}

/// The port of a process that died a moment ago may be taken still.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let until = Instant::now() + Duration::from_secs(5);
    loop {
        match TcpListener::bind(address) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < until => {
                std::thread::sleep(Duration::from_millis(20));
            }
            bound => return bound,
        }
    }
}

impl Emulated {
    fn now(&self) -> Nanos {
        self.began.elapsed().as_nanos() as Nanos + 1
    }

    fn heed(&self, line: &str) {
        let mut words = line.split_whitespace();
        match (
            words.next(),
            words.next().and_then(|n| n.parse::<f64>().ok()),
        ) {
            (Some("fails"), Some(part)) => self.fails.set(part.clamp(0.0, 1.0)),
            (Some("mute"), Some(is)) => self.mute.set(is > 0.0),
            _ => eprintln!("engine: {line:?} not understood"),
        }
        self.ended.notify(usize::MAX);
    }

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
                .map_or(UNASKED / 4, Duration::from_nanos)
                .min(UNASKED / 4);
            let timer = async {
                Timer::after(span.max(Duration::from_micros(200))).await;
            };
            changed.or(timer).await;
            let old: Vec<u64> = self
                .held
                .borrow()
                .iter()
                .filter(|(_, held)| held.asked_at.elapsed() > UNASKED)
                .map(|(&number, _)| number)
                .collect();
            old.into_iter()
                .for_each(|number| self.give_up(number, "drop"));
        }
    }

    fn advance(&self) {
        let ended = self.engine.borrow_mut().take_ended(self.now());
        for (number, end) in ended {
            if let Some(held) = self.held.borrow_mut().get_mut(&number) {
                let well = matches!(end, QueryEnd::Completed(_));
                say(if well { "end" } else { "fail" }, &held.id, held.by);
                held.ended = Some(end);
            }
            self.ended.notify(usize::MAX);
        }
    }

    fn give_up(&self, number: u64, why: &str) {
        let Some(held) = self.held.borrow_mut().remove(&number) else {
            return;
        };
        if held.ended.is_none() {
            say(why, &held.id, held.by);
        }
        self.engine.borrow_mut().cancel(self.now(), number);
        self.changed.notify(usize::MAX);
    }

    fn number_of(&self, id: &str) -> Option<u64> {
        self.held
            .borrow()
            .iter()
            .find(|(_, held)| held.id == id)
            .map(|(&number, _)| number)
    }

    /// `None`: it runs from now on.
    fn start(&self, call: &Call, id: &str, by: usize) -> Option<String> {
        if self.number_of(id).is_some() {
            return None;
        }
        let figure = |name: &str| {
            let at = call.body.find(name)? + name.len();
            call.body[at..]
                .split_whitespace()
                .next()?
                .parse::<f64>()
                .ok()
        };
        let Some(work) = figure("work = ") else {
            return Some(answer(500, "", ""));
        };
        let number = self.last.get() + 1;
        self.last.set(number);
        let query = Query {
            id: number,
            work_core_s: work / 1000.0,
            threads: 1.0,
            priority: call.header("Rank").parse().unwrap_or(1),
            table_group: 0,
        };
        self.advance();
        say("start", id, by);
        if !self.engine.borrow_mut().start(self.now(), query) {
            return Some(answer(503, "Srv-Untouched: 1\r\n", ""));
        }
        // By its id, so that it fails wherever the seed is the same.
        let draw = (id
            .bytes()
            .fold(7u64, |h, b| h.wrapping_mul(31) + u64::from(b))
            % 1000) as f64
            / 1000.0;
        let ended = (draw < self.fails.get()).then_some(QueryEnd::Error);
        let held = Held {
            id: id.to_owned(),
            asked_at: Instant::now(),
            by,
            ended,
        };
        self.held.borrow_mut().insert(number, held);
        self.changed.notify(usize::MAX);
        None
    }

    async fn news(&self, id: &str, by: usize) -> String {
        let until = Instant::now() + NEWS;
        loop {
            let ended = self.ended.listen();
            let end = {
                let Some(number) = self.number_of(id) else {
                    return answer(500, "", "");
                };
                let mut all = self.held.borrow_mut();
                let Some(held) = all.get_mut(&number) else {
                    return answer(500, "", "");
                };
                held.asked_at = Instant::now();
                if held.by != by {
                    held.by = by;
                    say("ask", id, by);
                }
                held.ended
            };
            match end {
                _ if self.mute.get() => {}
                Some(QueryEnd::Completed(work)) => {
                    let head = format!(
                        "Page-Count: 1\r\nWork-Ms: {:.3}\r\nPeak-Mb: 16\r\nSrv-Load: waiting:0;active:{};x0:0.1\r\n",
                        work * 1000.0,
                        self.engine.borrow().running()
                    );
                    return answer(200, &head, &format!("{id}\tb\tc\n"));
                }
                Some(QueryEnd::Error) => return answer(500, "", ""),
                None if Instant::now() >= until => return answer(202, "", ""),
                None => {}
            }
            let late = async {
                Timer::at(until.max(Instant::now() + Duration::from_millis(20))).await;
            };
            ended.or(late).await;
        }
    }

    async fn converse(&self, stream: Async<TcpStream>, by: usize) -> io::Result<()> {
        let mut input = BytesMut::new();
        while let Some(call) = next_call(&stream, &mut input).await? {
            let id = match call.method.as_str() {
                "POST" => call.header("Via-Id"),
                _ => call.path.split('/').nth(2).unwrap_or_default().to_owned(),
            };
            let said = match call.method.as_str() {
                "POST" => match self.start(&call, &id, by) {
                    Some(said) => said,
                    None => self.news(&id, by).await,
                },
                "GET" => self.news(&id, by).await,
                "PUT" => {
                    if let (Some(number), Ok(priority)) =
                        (self.number_of(&id), call.body.trim().parse())
                    {
                        self.engine
                            .borrow_mut()
                            .set_priority(self.now(), number, priority);
                        self.changed.notify(usize::MAX);
                    }
                    answer(204, "", "")
                }
                _ => {
                    if let Some(number) = self.number_of(&id) {
                        self.give_up(number, "stop");
                    }
                    answer(204, "", "")
                }
            };
            (&stream).write_all(said.as_bytes()).await?;
        }
        Ok(())
    }
}
