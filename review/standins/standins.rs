//! Stand-ins for the cases: gateway processes, a client, an engine and the journal service. Only the
//! standard library is used. All addresses are loopback addresses.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The case could not run.
pub const EXIT_NOT_RUN: i32 = 2;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Reproducible random numbers (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }
    /// A number from 0 to `end - 1`.
    pub fn below(&mut self, end: u64) -> u64 {
        (self.next() >> 11) % end.max(1)
    }
}

/// Writes `record.txt`; each line begins with the milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("{}: {error}", path.display());
            std::process::exit(EXIT_NOT_RUN)
        });
        Record(Arc::new((Mutex::new(file), Instant::now())))
    }
    pub fn write(&self, line: &str) {
        let ms = self.elapsed_ms();
        let _ = writeln!(lock(&self.0.0), "{ms:>7} {line}");
    }
    pub fn elapsed_ms(&self) -> u64 {
        self.0.1.elapsed().as_millis() as u64
    }
}

/// What a case is given by `run.sh`.
pub struct Case {
    pub root: PathBuf,
    pub temp: PathBuf,
    pub run_command: String,
    pub has_trouble: bool,
    pub record: Record,
}

/// Process ids of all gateways that were started, so that a case that takes too long can end them.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends all gateways of this case.
pub fn end_all() {
    for pid in lock(&STARTED).drain(..) {
        unsafe { kill(pid, SIGKILL) };
    }
}

impl Case {
    /// Reads the environment. After 110 s the case ends as one that could not run.
    pub fn from_environment() -> Case {
        let variable = |name: &str| {
            std::env::var(name).unwrap_or_else(|_| {
                eprintln!("{name} is not set: start the case by run.sh");
                std::process::exit(EXIT_NOT_RUN)
            })
        };
        let record = Record::create(&PathBuf::from(variable("CASE_RECORD")));
        let watched = record.clone();
        thread::spawn(move || {
            sleep_ms(110_000);
            watched.write("not finished after 110 s");
            end_all();
            std::process::exit(EXIT_NOT_RUN);
        });
        let default_hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            default_hook(info);
            end_all();
            std::process::exit(EXIT_NOT_RUN);
        }));
        Case {
            root: variable("CASE_ROOT").into(),
            temp: variable("CASE_TEMP").into(),
            run_command: variable("CASE_RUN"),
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            record,
        }
    }

    /// Ends all gateways and the case.
    pub fn finish(&self, broken: bool) -> ! {
        end_all();
        let verdict = if broken { "the rule was broken" } else { "the rule held" };
        self.record.write(verdict);
        println!("{verdict}");
        std::process::exit(i32::from(broken))
    }

    pub fn cannot_run(&self, why: &str) -> ! {
        end_all();
        self.record.write(&format!("could not run: {why}"));
        println!("could not run: {why}");
        std::process::exit(EXIT_NOT_RUN)
    }

    /// Starts a gateway with the command of the deploy file and waits until it answers COM_PING.
    pub fn start_gateway(&self, start: &GatewayStart) -> Gateway {
        let path = self.temp.join(format!("{}.json", start.name));
        let gateway = Gateway::spawn(self, start, path);
        let deadline = Instant::now() + Duration::from_secs(30);
        while Instant::now() < deadline {
            if let Some(mut client) = Client::connect(start.listen)
                && client.ping()
            {
                self.record.write(&format!("gateway {} is ready", start.name));
                return gateway;
            }
            sleep_ms(20);
        }
        self.cannot_run(&format!("gateway {} is not ready after 30 s", start.name))
    }
}

/// Configuration of one start of a gateway.
pub struct GatewayStart {
    pub name: String,
    pub listen: SocketAddr,
    pub journal: SocketAddr,
    /// The numbered events up to now, as JSON objects.
    pub known: Vec<String>,
    pub settings: String,
    /// The operator's settings file as JSON, if there is one.
    pub own: Option<String>,
}

/// A gateway process. It is killed when dropped.
pub struct Gateway {
    child: Child,
    pub pid: i32,
    pub address: SocketAddr,
}

impl Gateway {
    fn spawn(case: &Case, start: &GatewayStart, path: PathBuf) -> Gateway {
        let config = format!(
            r#"{{"name":"{}","listen":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"journal":"{}","known":{{"pos":{},"entries":[{}]}},"settings":{}}}"#,
            start.name,
            start.listen,
            unix_ms(),
            start.journal,
            start.known.len(),
            start.known.join(","),
            start.settings
        );
        let log = File::options()
            .create(true)
            .append(true)
            .open(case.temp.join(format!("{}.log", start.name)));
        let Ok(log) = log else {
            case.cannot_run("the log file cannot be written")
        };
        if std::fs::write(&path, config).is_err() {
            case.cannot_run("the configuration cannot be written")
        }
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &case.run_command])
            .current_dir(&case.root)
            .env("PROXY_CONFIG", &path)
            .env("PROXY_NAME", &start.name)
            .env("PROXY_LISTEN", start.listen.to_string())
            .env("TMPDIR", &case.temp)
            .env_remove("IVYPITCH_OWN")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(own) = &start.own {
            let own_path = path.with_extension("own.json");
            if std::fs::write(&own_path, own).is_err() {
                case.cannot_run("the operator's settings cannot be written")
            }
            command.env("IVYPITCH_OWN", own_path);
        }
        let Ok(child) = command.spawn() else {
            case.cannot_run("the gateway cannot be started")
        };
        let pid = child.id() as i32;
        lock(&STARTED).push(pid);
        case.record.write(&format!(
            "gateway {} started, listens on {}",
            start.name, start.listen
        ));
        Gateway {
            child,
            pid,
            address: start.listen,
        }
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.pid, signal) };
    }

    /// Waits for the end of the process; `None` after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                lock(&STARTED).retain(|&pid| pid != self.pid);
                return Some(status.code().unwrap_or(-1));
            }
            sleep_ms(5);
        }
        None
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Ok(None) = self.child.try_wait() {
            self.signal(SIGCONT);
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
        lock(&STARTED).retain(|&pid| pid != self.pid);
    }
}

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

// ---- client ----

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Rows(Vec<[String; 3]>),
    Error(u16, String),
    /// The connection ended, or the client's own time was over.
    None,
}

impl Answer {
    pub fn describe(&self) -> String {
        match self {
            Answer::Rows(rows) => format!("served, {} rows", rows.len()),
            Answer::Error(code, text) => format!("error {code} {text}"),
            Answer::None => "no answer".to_owned(),
        }
    }
    /// A refusal: trying again is harmless.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Answer::Error(1040 | 1203 | 1226, _))
    }
}

/// A client of the MySQL protocol 4.1.
pub struct Client {
    pub stream: TcpStream,
}

fn packet(sequence: u8, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    [&[length[0], length[1], length[2], sequence], payload].concat()
}

fn login() -> Vec<u8> {
    let flags: u32 = 1 << 3 | 1 << 9 | 1 << 15 | 1 << 19;
    let mut payload = [&flags.to_le_bytes()[..], &[0, 0, 0, 1, 45], &[0; 23], b"app\0\0"].concat();
    payload.extend(b"dw\0mysql_native_password\0");
    packet(1, &payload)
}

impl Client {
    /// Connects and logs in.
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let mut client = Client { stream };
        client.stream.write_all(&login()).ok()?;
        let (_, greeting) = client.read_packet()?;
        let (_, ok) = client.read_packet()?;
        (greeting.first() == Some(&10) && ok.first() == Some(&0)).then_some(client)
    }

    /// Connects and writes login and first query before the greeting has been read.
    pub fn connect_and_send(address: SocketAddr, text: &str) -> Option<Client> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        let query = packet(0, &[&[3], text.as_bytes()].concat());
        stream.write_all(&[login(), query].concat()).ok()?;
        Some(Client { stream })
    }

    /// Reads the greeting, the answer to the login and that to the first query.
    pub fn read_first_answer(&mut self) -> Answer {
        match (self.read_packet(), self.read_packet()) {
            (Some((_, greeting)), Some((_, ok))) if greeting.first() == Some(&10) && ok.first() == Some(&0) => {
                self.read_answer()
            }
            _ => Answer::None,
        }
    }

    pub fn ping(&mut self) -> bool {
        let is_sent = self.stream.write_all(&packet(0, &[0x0e])).is_ok();
        is_sent && self.read_packet().is_some_and(|(_, payload)| payload.first() == Some(&0))
    }

    /// Sends COM_QUERY.
    pub fn send(&mut self, text: &str) -> bool {
        let query = packet(0, &[&[3], text.as_bytes()].concat());
        self.stream.write_all(&query).is_ok()
    }

    /// Sends a statement and waits for its whole answer, for at most `limit`.
    pub fn execute(&mut self, text: &str, limit: Duration) -> Answer {
        if self.stream.set_read_timeout(Some(limit)).is_err() || !self.send(text) {
            return Answer::None;
        }
        self.read_answer()
    }

    pub fn read_answer(&mut self) -> Answer {
        let (mut rows, mut ends) = (Vec::new(), 0);
        loop {
            let Some((_, payload)) = self.read_packet() else {
                return Answer::None;
            };
            match payload.first() {
                Some(0xff) if payload.len() >= 9 => {
                    let text = String::from_utf8_lossy(&payload[9..]).into_owned();
                    return Answer::Error(u16::from_le_bytes([payload[1], payload[2]]), text);
                }
                Some(0xfe) if payload.len() < 9 => {
                    ends += 1;
                    if ends == 2 {
                        return Answer::Rows(rows);
                    }
                }
                Some(_) if ends == 1 => match columns(&payload) {
                    Some(row) => rows.push(row),
                    None => return Answer::None,
                },
                Some(_) => {}
                None => return Answer::None,
            }
        }
    }

    fn read_packet(&mut self) -> Option<(u8, Vec<u8>)> {
        let mut head = [0; 4];
        self.stream.read_exact(&mut head).ok()?;
        let length = u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize;
        let mut payload = vec![0; length];
        self.stream.read_exact(&mut payload).ok()?;
        Some((head[3], payload))
    }
}

fn columns(mut row: &[u8]) -> Option<[String; 3]> {
    let mut columns = Vec::new();
    while let Some((&first, rest)) = row.split_first() {
        let (length, rest) = match first {
            0xfc => (usize::from(u16::from_le_bytes([*rest.first()?, *rest.get(1)?])), rest.get(2..)?),
            short => (usize::from(short), rest),
        };
        columns.push(String::from_utf8(rest.get(..length)?.to_vec()).ok()?);
        row = &rest[length..];
    }
    columns.try_into().ok()
}

// ---- engine ----

/// A request that a gateway sent to an engine.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    /// The id in a path `/c/ID/N` or `/c/ID`.
    pub fn path_id(&self) -> &str {
        self.path.split('/').nth(2).unwrap_or_default()
    }
    pub fn path_page(&self) -> Option<usize> {
        self.path.split('/').nth(3)?.parse().ok()
    }
}

pub fn read_call(reader: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|&n| n > 0)?;
    let mut words = first.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.to_owned(), value.trim().to_owned()));
    }
    let mut call = Call { method, path, headers, body: Vec::new() };
    let length = call.header("Content-Length").and_then(|n| n.parse().ok()).unwrap_or(0);
    call.body = vec![0; length];
    reader.read_exact(&mut call.body).ok()?;
    Some(call)
}

/// A whole response: head and body.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: String,
    pub body: String,
}

impl Response {
    pub fn new(status: u16, headers: &str, body: &str) -> Response {
        Response { status, headers: headers.to_owned(), body: body.to_owned() }
    }
    pub fn head(&self, length: usize) -> String {
        let length = match self.status {
            204 => String::new(),
            _ => format!("Content-Length: {length}\r\n"),
        };
        format!("HTTP/1.1 {} X\r\n{}{length}\r\n", self.status, self.headers)
    }
}

/// How an engine runs one statement.
#[derive(Clone)]
pub struct Plan {
    pub run_ms: u64,
    pub pages: Vec<String>,
}

/// One execution at an engine.
pub struct Execution {
    pub engine: String,
    pub id: String,
    pub class: String,
    /// The address at which it came, which tells the gateway.
    pub door: usize,
    pub started: Instant,
    plan: Plan,
    last_asked: Instant,
    /// When the execution ended, was given up or was dropped.
    pub over: Option<(Instant, &'static str)>,
}

impl Execution {
    fn end_at(&self) -> Instant {
        self.started + Duration::from_millis(self.plan.run_ms)
    }
}

type PlanFor = dyn Fn(&Call, usize) -> Result<Plan, Response> + Send + Sync;
type Deliver = dyn Fn(&mut TcpStream, &Response, usize) -> std::io::Result<()> + Send + Sync;

struct EngineState {
    executions: Vec<Execution>,
    /// Index of the last execution by id.
    by_id: HashMap<String, usize>,
    /// The process has ended.
    is_dead: bool,
    streams: Vec<TcpStream>,
}

/// An engine as the protocol page describes it. It can listen at several addresses (doors), one for
/// each gateway.
pub struct Engine {
    pub name: String,
    pub doors: Vec<SocketAddr>,
    state: Arc<(Mutex<EngineState>, Condvar)>,
    record: Record,
}

/// An engine answers a poll without news after this time.
const LONG_POLL: Duration = Duration::from_millis(250);
/// An engine drops a statement that was not asked for in this time.
const DROP_AFTER: Duration = Duration::from_secs(2);

impl Engine {
    /// `plan` says how a start is run, or how it is turned away; `deliver` writes a response.
    pub fn start(
        name: &str,
        doors: usize,
        record: &Record,
        plan: impl Fn(&Call, usize) -> Result<Plan, Response> + Send + Sync + 'static,
        deliver: impl Fn(&mut TcpStream, &Response, usize) -> std::io::Result<()> + Send + Sync + 'static,
    ) -> Arc<Engine> {
        let listeners: Vec<TcpListener> =
            (0..doors).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        let engine = Arc::new(Engine {
            name: name.to_owned(),
            doors: listeners.iter().map(|l| l.local_addr().expect("address")).collect(),
            state: Arc::new((
                Mutex::new(EngineState {
                    executions: Vec::new(),
                    by_id: HashMap::new(),
                    is_dead: false,
                    streams: Vec::new(),
                }),
                Condvar::new(),
            )),
            record: record.clone(),
        });
        let plan: Arc<PlanFor> = Arc::new(plan);
        let deliver: Arc<Deliver> = Arc::new(deliver);
        for (door, listener) in listeners.into_iter().enumerate() {
            let (engine, plan, deliver) = (engine.clone(), plan.clone(), deliver.clone());
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    if lock(&engine.state.0).is_dead {
                        return;
                    }
                    let (engine, plan, deliver) = (engine.clone(), plan.clone(), deliver.clone());
                    thread::spawn(move || engine.serve(stream, door, &*plan, &*deliver));
                }
            });
        }
        let dropper = engine.clone();
        thread::spawn(move || {
            loop {
                sleep_ms(20);
                dropper.drop_unasked();
            }
        });
        engine
    }

    /// Writes whole responses.
    pub fn whole(stream: &mut TcpStream, response: &Response, _door: usize) -> std::io::Result<()> {
        let text = response.head(response.body.len()) + &response.body;
        stream.write_all(text.as_bytes())
    }

    fn serve(&self, mut stream: TcpStream, door: usize, plan: &PlanFor, deliver: &Deliver) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        if let Ok(kept) = stream.try_clone() {
            let mut state = lock(&self.state.0);
            state.streams.push(kept);
        }
        let mut reader = BufReader::new(reading);
        while let Some(call) = read_call(&mut reader) {
            if lock(&self.state.0).is_dead {
                return;
            }
            let response = self.answer(&call, door, plan);
            if lock(&self.state.0).is_dead || deliver(&mut stream, &response, door).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn answer(&self, call: &Call, door: usize, plan: &PlanFor) -> Response {
        match call.method.as_str() {
            "POST" => {
                let id = call.header("Via-Id").unwrap_or_default().to_owned();
                let class = call.header("Via-Class").unwrap_or_default().to_owned();
                let name = &self.name;
                match plan(call, door) {
                    Err(response) => {
                        let status = response.status;
                        self.record.write(&format!("engine {name} door {door}: start of {id} ({class}) turned away with {status}"));
                        return response;
                    }
                    Ok(plan) => {
                        self.record.write(&format!("engine {name} door {door}: start of {id} ({class})"));
                        let now = Instant::now();
                        let mut state = lock(&self.state.0);
                        let index = state.executions.len();
                        state.executions.push(Execution {
                            engine: name.clone(),
                            id: id.clone(),
                            class,
                            door,
                            started: now,
                            plan,
                            last_asked: now,
                            over: None,
                        });
                        state.by_id.insert(id.clone(), index);
                    }
                }
                self.news(&id)
            }
            "GET" => match call.path_page() {
                Some(0) => self.news(call.path_id()),
                Some(page) => self.page(call.path_id(), page),
                None => Response::new(500, "", ""),
            },
            "PUT" => Response::new(204, "", ""),
            "DELETE" => {
                let id = call.path_id().to_owned();
                self.record.write(&format!("engine {} door {door}: {id} given up by DELETE", self.name));
                let mut state = lock(&self.state.0);
                if let Some(index) = state.by_id.remove(&id) {
                    state.executions[index].over.get_or_insert((Instant::now(), "given up"));
                }
                self.state.1.notify_all();
                Response::new(204, "", "")
            }
            _ => Response::new(500, "", ""),
        }
    }

    /// Waits for the end of a statement, for at most 250 ms.
    fn news(&self, id: &str) -> Response {
        let until = Instant::now() + LONG_POLL;
        let mut state = lock(&self.state.0);
        loop {
            let Some(&index) = state.by_id.get(id) else {
                return Response::new(500, "", "");
            };
            let now = Instant::now();
            let execution = &mut state.executions[index];
            execution.last_asked = now;
            if now >= execution.end_at() {
                execution.over.get_or_insert((now, "ended"));
                let plan = execution.plan.clone();
                return Self::good(&plan, 0);
            }
            if now >= until {
                return Response::new(202, "", "");
            }
            let next = until.min(execution.end_at()).saturating_duration_since(now);
            state = self
                .state
                .1
                .wait_timeout(state, next.max(Duration::from_millis(1)))
                .unwrap_or_else(|poisoned| poisoned.into_inner())
                .0;
        }
    }

    fn page(&self, id: &str, page: usize) -> Response {
        let state = lock(&self.state.0);
        let execution = state.by_id.get(id).map(|&index| &state.executions[index]);
        match execution {
            Some(execution) if execution.over.is_some() && page < execution.plan.pages.len() => {
                Self::good(&execution.plan, page)
            }
            _ => Response::new(500, "", ""),
        }
    }

    fn good(plan: &Plan, page: usize) -> Response {
        let first = format!(
            "Page-Count: {}\r\nWork-Ms: {}\r\nPeak-Mb: 16\r\nSrv-Load: waiting:0;active:1;x0:0.1\r\n",
            plan.pages.len(),
            plan.run_ms.max(1)
        );
        let headers = if page == 0 { first } else { format!("Page-No: {page}\r\n") };
        Response::new(200, &headers, &plan.pages[page])
    }

    /// Statements that nobody asks for are dropped.
    fn drop_unasked(&self) {
        let now = Instant::now();
        let mut state = lock(&self.state.0);
        let dropped: Vec<String> = state
            .by_id
            .iter()
            .filter(|(_, index)| {
                let execution = &state.executions[**index];
                execution.over.is_none() && now > execution.last_asked + DROP_AFTER
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in dropped {
            if let Some(index) = state.by_id.remove(&id) {
                state.executions[index].over = Some((now, "dropped"));
                self.record.write(&format!("engine {}: {id} dropped, not asked for in 2 s", self.name));
            }
        }
    }

    /// The process ends: connections are reset, statements are lost, new connections are refused.
    pub fn die(&self) {
        let now = Instant::now();
        let mut state = lock(&self.state.0);
        state.is_dead = true;
        state.by_id.clear();
        for execution in &mut state.executions {
            execution.over.get_or_insert((now, "lost with its engine"));
        }
        for stream in state.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.state.1.notify_all();
        drop(state);
        for door in &self.doors {
            // Wakes the listener, which then closes.
            let _ = TcpStream::connect(door);
        }
        self.record.write(&format!("engine {} ended", self.name));
    }

    /// Reads all executions so far.
    pub fn with_executions<T>(&self, read: impl FnOnce(&[Execution]) -> T) -> T {
        read(&lock(&self.state.0).executions)
    }

    pub fn start_count(&self) -> usize {
        self.with_executions(<[Execution]>::len)
    }
}

/// A row of the list of engines.
pub fn row(id: &str, address: SocketAddr, zone: &str, kind: &str, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"{zone}","kind":"{kind}","cell":0,"state":"{state}","weight":1,"started_ms":0}}"#
    )
}

/// A numbered event of the journal service.
pub fn event(position: usize, is_full: bool, rows: &[String]) -> String {
    format!(
        r#"{{"pos":{position},"hosts":{{"version":{position},"full":{is_full},"servers":[{}]}}}}"#,
        rows.join(",")
    )
}

// ---- journal service ----

struct JournalState {
    /// Events of the present start of its gateway, from number 1.
    events: Vec<String>,
    /// Counts the starts of its gateway; connections of an earlier one end.
    starts: usize,
}

/// The journal service as one gateway sees it. Events are numbered from 1 at each start of the
/// gateway.
pub struct Journal {
    pub address: SocketAddr,
    name: String,
    state: Arc<(Mutex<JournalState>, Condvar)>,
    record: Record,
    is_open: AtomicBool,
    connections: AtomicUsize,
}

impl Journal {
    pub fn start(name: &str, record: &Record) -> Arc<Journal> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let journal = Arc::new(Journal {
            address: listener.local_addr().expect("address"),
            name: name.to_owned(),
            state: Arc::new((Mutex::new(JournalState { events: Vec::new(), starts: 0 }), Condvar::new())),
            record: record.clone(),
            is_open: AtomicBool::new(true),
            connections: AtomicUsize::new(0),
        });
        let serving = journal.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let journal = serving.clone();
                thread::spawn(move || journal.serve(stream));
            }
        });
        journal
    }

    /// The gateway of this journal starts: the numbers begin anew, and the first event holds the
    /// whole list. Returns the events up to now.
    pub fn gateway_starts(&self, rows: &[String]) -> Vec<String> {
        let mut state = lock(&self.state.0);
        state.starts += 1;
        state.events = vec![event(1, true, rows)];
        self.state.1.notify_all();
        state.events.clone()
    }

    /// Tells a change of the list.
    pub fn tell(&self, rows: &[String]) {
        let mut state = lock(&self.state.0);
        let position = state.events.len() + 1;
        let text = event(position, false, rows);
        self.record.write(&format!("journal of {}: tells {text}", self.name));
        state.events.push(text);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let mut next: usize = line.trim().strip_prefix("tail ")?.parse().ok()?;
        self.connections.fetch_add(1, Ordering::SeqCst);
        self.record.write(&format!("journal of {}: {}", self.name, line.trim()));
        let start = lock(&self.state.0).starts;
        let mut stream = stream;
        let mut number_at = Instant::now();
        let mut state = lock(&self.state.0);
        while state.starts == start && self.is_open.load(Ordering::SeqCst) {
            let mut text = String::new();
            while next < state.events.len() {
                text += &state.events[next];
                text += "\n";
                next += 1;
            }
            if Instant::now() >= number_at {
                text += &format!("{}\n", state.events.len());
                number_at = Instant::now() + Duration::from_secs(1);
            }
            if !text.is_empty() {
                drop(state);
                stream.write_all(text.as_bytes()).ok()?;
                state = lock(&self.state.0);
                continue;
            }
            let wait = number_at.saturating_duration_since(Instant::now());
            state = self
                .state
                .1
                .wait_timeout(state, wait.max(Duration::from_millis(1)))
                .unwrap_or_else(|poisoned| poisoned.into_inner())
                .0;
        }
        Some(())
    }
}
