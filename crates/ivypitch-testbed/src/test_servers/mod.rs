//! Fake engines, discovery servers and clients for tests, and the gateway itself as a process. Tests wait for
//! conditions, never for a fixed time.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::log_lines;

/// Time after which a wait fails the test; far longer than any step takes on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Events in order of arrival; other threads can wait for an event.
pub struct EventLog<T>(Arc<(Mutex<Vec<T>>, Condvar)>);

impl<T> Clone for EventLog<T> {
    fn clone(&self) -> Self {
        EventLog(self.0.clone())
    }
}

impl<T> Default for EventLog<T> {
    fn default() -> Self {
        EventLog(Arc::new((Mutex::new(Vec::new()), Condvar::new())))
    }
}

impl<T: Clone> EventLog<T> {
    pub fn new() -> Self {
        EventLog::default()
    }
    /// Ignores poisoning by a wait that failed: the failed test's fleet has to be shut down, or its processes would
    /// remain.
    fn lock(&self) -> MutexGuard<'_, Vec<T>> {
        self.0
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
    pub fn push(&self, event: T) {
        self.lock().push(event);
        self.0.1.notify_all();
    }
    pub fn all(&self) -> Vec<T> {
        self.lock().clone()
    }
    /// Waits for the first event that matches; `description` names it in the panic message.
    pub fn wait(&self, description: &str, matches: impl Fn(&T) -> bool) -> T {
        self.wait_for_nth(description, 1, matches)
    }
    /// Waits until `count` events match and returns the last of them.
    pub fn wait_for_nth(&self, description: &str, count: usize, matches: impl Fn(&T) -> bool) -> T {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut events = self.lock();
        loop {
            if let Some(found) = events.iter().filter(|event| matches(event)).nth(count - 1) {
                return found.clone();
            }
            let remaining = deadline
                .checked_duration_since(Instant::now())
                .unwrap_or_else(|| panic!("no {description}"));
            events = self
                .0
                .1
                .wait_timeout(events, remaining)
                .unwrap_or_else(|poisoned| poisoned.into_inner())
                .0;
        }
    }
}

/// A gateway's HTTP request to an engine.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub head: String,
    pub body: String,
    /// Number of the engine's connection that the request arrived on.
    pub connection: usize,
}

impl Call {
    pub fn has_method(&self, method: &str) -> bool {
        self.method == method
    }
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|l| {
            Some(
                l.split_once(": ")
                    .filter(|(n, _)| n.eq_ignore_ascii_case(name))?
                    .1,
            )
        })
    }
}

/// Reaction of a fake engine to a call.
pub enum Reply {
    Response(String),
    /// Sends this and closes the connection.
    LastResponse(String),
    /// Sends nothing and keeps the connection open.
    NoResponse,
    /// Closes the connection without a response.
    Close,
}

/// HTTP response of an engine.
pub fn response(status: u16, headers: &str, body: &str) -> Reply {
    Reply::Response(format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Response of a query that has completed with one page.
pub fn success_response(body: &str) -> Reply {
    response(
        200,
        "Page-Count: 1\r\nWork-Ms: 12.5\r\nPeak-Mb: 64\r\nSrv-Load: waiting:0;active:1;x0:0.1\r\n",
        body,
    )
}

/// HTTP server with the protocol of an engine; a closure chooses its responses.
pub struct FakeEngine {
    pub address: SocketAddr,
    pub calls: EventLog<Call>,
    /// Numbers of its connections, in the order in which they closed.
    pub closed_connections: EventLog<usize>,
}

impl FakeEngine {
    /// Answers each call with the result of `reply`, whose second argument is the number of earlier calls.
    pub fn start(reply: impl Fn(&Call, usize) -> Reply + Send + Sync + 'static) -> FakeEngine {
        FakeEngine::on_listener(TcpListener::bind("127.0.0.1:0").unwrap(), reply)
    }

    /// As `start`, on an existing listener.
    pub fn on_listener(
        listener: TcpListener,
        reply: impl Fn(&Call, usize) -> Reply + Send + Sync + 'static,
    ) -> FakeEngine {
        let address = listener.local_addr().unwrap();
        let engine = FakeEngine {
            address,
            calls: EventLog::new(),
            closed_connections: EventLog::new(),
        };
        let (calls, reply, count) = (
            engine.calls.clone(),
            Arc::new(reply),
            Arc::new(AtomicUsize::new(0)),
        );
        let ended = engine.closed_connections.clone();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (calls, reply, count, ended) =
                    (calls.clone(), reply.clone(), count.clone(), ended.clone());
                thread::spawn(move || {
                    let mut writer = stream.try_clone().unwrap();
                    let mut reader = BufReader::new(stream);
                    while let Some(call) = read_call(&mut reader, connection) {
                        let number = count.fetch_add(1, Ordering::SeqCst);
                        calls.push(call.clone());
                        match reply(&call, number) {
                            Reply::Response(text) => {
                                writer.write_all(text.as_bytes()).unwrap_or_default()
                            }
                            Reply::LastResponse(text) => {
                                writer.write_all(text.as_bytes()).unwrap_or_default();
                                break;
                            }
                            Reply::NoResponse => {}
                            Reply::Close => break,
                        }
                    }
                    let _ = writer.shutdown(Shutdown::Both);
                    ended.push(connection);
                });
            }
        });
        engine
    }

    /// Completes each statement at once.
    pub fn completing() -> FakeEngine {
        FakeEngine::start(|call, _| {
            if call.has_method("DELETE") {
                response(204, "", "")
            } else {
                success_response("a\tb\tc\n")
            }
        })
    }

    /// Accepts each statement and never completes it.
    pub fn never_completing() -> FakeEngine {
        FakeEngine::start(|call, _| {
            response(if call.has_method("DELETE") { 204 } else { 202 }, "", "")
        })
    }

    /// This engine's row of the endpoint list.
    pub fn row(&self, id: &str, state: &str) -> String {
        row_at(self.address, id, state, 0)
    }

    /// Number of start calls so far.
    pub fn start_count(&self) -> usize {
        self.calls
            .all()
            .iter()
            .filter(|c| c.has_method("POST"))
            .count()
    }
}

/// Delay of a response that reports no progress.
const NO_PROGRESS_DELAY: Duration = Duration::from_millis(20);

/// An engine whose queries complete when the test asks for it. It listens on one address per gateway, which identifies
/// the caller. Queries with ids from 1 << 32 on complete at once.
pub struct ControlledEngine {
    pub addresses: Vec<SocketAddr>,
    /// The calling gateway and its call.
    pub calls: EventLog<(usize, Call)>,
    shared: Arc<Mutex<ControlledQueries>>,
}

#[derive(Default)]
struct ControlledQueries {
    /// By query id: the result pages, once the query has completed.
    queries: BTreeMap<u64, Option<Vec<String>>>,
    leaves_starts_unanswered: bool,
    /// Responses to starts wait for the first event of this log.
    starts_released: Option<EventLog<()>>,
    leaves_later_pages_unanswered: bool,
    closes_polls: bool,
    fails_starts: bool,
}

impl ControlledQueries {
    fn reply(&mut self, call: &Call) -> Reply {
        let path: Vec<&str> = call.path.split('/').collect();
        let id = call
            .header("Via-Id")
            .or(path.get(2).copied())
            .unwrap_or_default()
            .to_owned();
        let number = u64::from_str_radix(&id, 16).unwrap_or(0);
        if call.has_method("DELETE") {
            self.queries.remove(&number);
            return response(204, "", "");
        }
        if call.has_method("POST") && self.fails_starts {
            return response(500, "", "");
        }
        if call.has_method("GET") && self.closes_polls {
            return Reply::Close;
        }
        if call.has_method("POST") {
            let completed = (number >= 1 << 32).then(|| vec![format!("{id}\tb\tc\n")]);
            self.queries.entry(number).or_insert(completed);
            if self.leaves_starts_unanswered {
                return Reply::NoResponse;
            }
        }
        let page = path
            .get(3)
            .and_then(|page| page.parse::<usize>().ok())
            .unwrap_or(0);
        match self.queries.get(&number) {
            None => response(500, "", ""),
            Some(None) => response(202, "", ""),
            Some(Some(_)) if page > 0 && self.leaves_later_pages_unanswered => Reply::NoResponse,
            Some(Some(pages)) => {
                let count = pages.len();
                let head = format!(
                    "Page-Count: {count}\r\nPage-No: {page}\r\nWork-Ms: 5\r\nPeak-Mb: 1\r\n"
                );
                pages
                    .get(page)
                    .map_or_else(|| response(500, "", ""), |body| response(200, &head, body))
            }
        }
    }
}

impl ControlledEngine {
    pub fn start(gateways: usize) -> ControlledEngine {
        let shared: Arc<Mutex<ControlledQueries>> = Arc::default();
        let calls = EventLog::new();
        let start_for = |gateway: usize| {
            let (shared, calls) = (shared.clone(), calls.clone());
            let engine = FakeEngine::start(move |call, _| {
                let (reply, released) = {
                    let mut queries = shared.lock().unwrap();
                    (queries.reply(call), queries.starts_released.clone())
                };
                calls.push((gateway, call.clone()));
                if let Some(released) = released.filter(|_| call.has_method("POST")) {
                    released.wait("release of the answers to starts", |_| true);
                }
                if matches!(&reply, Reply::Response(text) if text.contains(" 202 ")) {
                    // Long poll: an engine delays a response that reports no progress.
                    thread::sleep(NO_PROGRESS_DELAY);
                }
                reply
            });
            engine.address
        };
        ControlledEngine {
            addresses: (0..gateways).map(start_for).collect(),
            calls,
            shared,
        }
    }

    /// Completes the query with one page.
    pub fn complete(&self, req: u64) {
        self.complete_with_pages(req, vec![format!("{req:016x}\tb\tc\n")]);
    }

    pub fn complete_with_pages(&self, req: u64, pages: Vec<String>) {
        self.shared.lock().unwrap().queries.insert(req, Some(pages));
    }

    /// While enabled, starts take effect and get no response.
    pub fn set_starts_unanswered(&self, is_enabled: bool) {
        self.shared.lock().unwrap().leaves_starts_unanswered = is_enabled;
    }

    /// Starts take effect at once; their responses wait until an event is pushed to the returned log.
    pub fn delay_start_responses(&self) -> EventLog<()> {
        let released = EventLog::new();
        self.shared.lock().unwrap().starts_released = Some(released.clone());
        released
    }

    /// While enabled, starts get an error response.
    pub fn set_starts_failing(&self, is_enabled: bool) {
        self.shared.lock().unwrap().fails_starts = is_enabled;
    }

    /// While enabled, each poll closes its connection.
    pub fn set_polls_closing(&self, is_enabled: bool) {
        self.shared.lock().unwrap().closes_polls = is_enabled;
    }

    /// Number of starts at this gateway's address.
    pub fn start_count_by_gateway(&self, gateway: usize) -> usize {
        self.calls
            .all()
            .iter()
            .filter(|(by, c)| *by == gateway && c.has_method("POST"))
            .count()
    }

    /// While enabled, requests for pages after the first get no response.
    pub fn set_later_pages_unanswered(&self, is_enabled: bool) {
        self.shared.lock().unwrap().leaves_later_pages_unanswered = is_enabled;
    }

    /// Forgets all queries, as a restart of the engine process does.
    pub fn forget_queries(&self) {
        self.shared.lock().unwrap().queries.clear();
    }

    /// Number of starts of this statement.
    pub fn start_count(&self, req: u64) -> usize {
        let id = format!("{req:016x}");
        self.calls
            .all()
            .iter()
            .filter(|(_, c)| c.has_method("POST") && c.header("Via-Id") == Some(&id))
            .count()
    }

    /// Waits for the start of this statement and returns the gateway that sent it.
    pub fn wait_for_start(&self, req: u64) -> usize {
        let id = format!("{req:016x}");
        self.calls
            .wait("start", |(_, c)| {
                c.has_method("POST") && c.header("Via-Id") == Some(&id)
            })
            .0
    }

    /// Waits for a poll of this page by a gateway that is not among `excluded`, and returns that gateway.
    pub fn wait_for_poll(&self, req: u64, page: usize, excluded: &[usize]) -> usize {
        let path = format!("/c/{req:016x}/{page}");
        self.calls
            .wait("poll", |(by, c)| {
                c.has_method("GET") && c.path == path && !excluded.contains(by)
            })
            .0
    }
}

fn read_call(reader: &mut BufReader<TcpStream>, connection: usize) -> Option<Call> {
    let (mut first, mut head) = (String::new(), String::new());
    reader.read_line(&mut first).ok().filter(|&n| n > 0)?;
    while !head.ends_with("\r\n\r\n") && head != "\r\n" {
        reader.read_line(&mut head).ok().filter(|&n| n > 0)?;
    }
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.into(), words.next()?.into());
    let mut call = Call {
        method,
        path,
        head,
        body: String::new(),
        connection,
    };
    let mut body = vec![
        0;
        call.header("Content-Length")
            .map_or(0, |n| n.parse().unwrap())
    ];
    reader.read_exact(&mut body).ok()?;
    call.body = String::from_utf8(body).unwrap();
    Some(call)
}

/// An address that refuses connections as long as the returned socket is open: the socket is bound and never listens,
/// so that no other listener can get the port.
pub fn refusing_address() -> (OwnedFd, SocketAddr) {
    use rustix::net::{AddressFamily, SocketType, bind, getsockname, socket};
    let held = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    bind(&held, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = SocketAddr::try_from(getsockname(&held).unwrap()).unwrap();
    (held, address)
}

/// A listener with a full backlog: connections to it are not established until it is unblocked.
pub struct BlockedListener {
    pub address: SocketAddr,
    listener: TcpListener,
    filler: TcpStream,
}

impl BlockedListener {
    pub fn start() -> BlockedListener {
        use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
        let held = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        bind(&held, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        listen(&held, 0).unwrap();
        let listener = TcpListener::from(held);
        let address = listener.local_addr().unwrap();
        BlockedListener {
            address,
            listener,
            filler: TcpStream::connect(address).unwrap(),
        }
    }

    /// Waits until a connection attempt is pending.
    pub fn wait_for_connection_attempt(&self) {
        wait_until("connection attempt", || has_connection(self.address, "02"));
    }

    /// Lets connections be established when their SYN is sent again. Returns once the pending attempt has succeeded.
    pub fn unblock(self) -> TcpListener {
        drop(self.filler);
        self.listener.accept().unwrap();
        wait_until("connection of the pending attempt", || {
            !has_connection(self.address, "02")
        });
        self.listener
    }
}

/// Whether `/proc/net/tcp` has a connection to this address in this state.
fn has_connection(address: SocketAddr, state: &str) -> bool {
    let to = format!(
        "{:08X}:{:04X}",
        u32::from_le_bytes([127, 0, 0, 1]),
        address.port()
    );
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.get(2) == Some(&to.as_str()) && fields.get(3) == Some(&state)
    })
}

/// Waits until the peer has read all bytes sent on this connection.
pub fn wait_until_read(stream: &TcpStream) {
    let (from, to) = (stream.peer_addr().unwrap(), stream.local_addr().unwrap());
    let ends = format!(
        ":{:04X} {:08X}:{:04X} 01 ",
        from.port(),
        u32::from_le_bytes([127, 0, 0, 1]),
        to.port()
    );
    wait_until("reader", || {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        table
            .lines()
            .any(|line| line.contains(&ends) && line.contains(":00000000 00:"))
    });
}

/// Polls until a condition holds; `description` names it in the panic message.
pub fn wait_until(description: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "no {description}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// A discovery server that records the first line of each connection and answers it with the next script, then with
/// the events of the test.
pub struct FakeDiscoveryServer {
    pub address: SocketAddr,
    pub watch_requests: EventLog<String>,
    scripts: Arc<Mutex<VecDeque<String>>>,
    sent: Arc<Mutex<SentLines>>,
}

/// Lines sent to each connection, and the current connection.
#[derive(Default)]
struct SentLines {
    lines: String,
    stream: Option<TcpStream>,
}

impl FakeDiscoveryServer {
    /// `scripts`: lines for the first connection, the second and so on; a script that ends in `!` closes the connection.
    pub fn start(scripts: &[String]) -> FakeDiscoveryServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = FakeDiscoveryServer {
            address,
            watch_requests: EventLog::new(),
            scripts: Arc::new(Mutex::new(scripts.iter().cloned().collect())),
            sent: Arc::default(),
        };
        let (watch_requests, scripts) = (server.watch_requests.clone(), server.scripts.clone());
        let sent = server.sent.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut line = String::new();
                let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut line);
                watch_requests.push(line);
                let script = scripts.lock().unwrap().pop_front().unwrap_or_default();
                let _ = stream.write_all(script.trim_end_matches('!').as_bytes());
                if !script.ends_with('!') {
                    // Stays open; only the test sends further lines.
                    let mut sent = sent.lock().unwrap();
                    let _ = stream.write_all(sent.lines.as_bytes());
                    sent.stream = stream.try_clone().ok();
                    thread::spawn(move || stream.read(&mut [0]));
                }
            }
        });
        server
    }

    /// Sends only what the test passes to `send`.
    pub fn without_script() -> FakeDiscoveryServer {
        FakeDiscoveryServer::start(&[])
    }

    /// Sends a line on the current connection and on each later one.
    pub fn send(&self, line: &str) {
        let mut sent = self.sent.lock().unwrap();
        sent.lines += line;
        if let Some(stream) = &mut sent.stream {
            let _ = stream.write_all(line.as_bytes());
        }
    }
}

/// One event of the discovery service as a line of JSON.
pub fn endpoint_event(pos: u64, full: bool, rows: &[String]) -> String {
    format!(
        "{{\"pos\":{pos},\"hosts\":{{\"version\":{pos},\"full\":{full},\"servers\":[{}]}}}}\n",
        rows.join(",")
    )
}

/// Platform settings of the gateways under test.
pub const SETTINGS: &str = r#"{"balancers":1,"tick-ns":1000000,"zones":["z"],"host-types":["std"],
 "categories":[
  {"name":"lookup","goal-time-ns":300000000,"give-up-ns":20000000000,"effect":"safe","key-scope":"all","worth":1},
  {"name":"load","goal-time-ns":600000000,"give-up-ns":20000000000,"effect":"unsafe","key-scope":"all","worth":8}],
 "customers":[{"name":"acme","allowance-per-s":100000}],
 "contract":{"cold-from":0.3,"drain-grace-ns":250000000,"grace-to-answer-ns":5000000,"warm-up-ns":14000000000},
 "extra":{"cores-by-kind":[64],"dop":[1,2],"loads":[false,true],"tells-cost":true,"ranks-heeded":true,
  "progress-pace-ns":500000000},
 "load-info":{"fields":["waiting","active","x0"],"how":"piggyback"},
 "permissions":{"connect-timeout-ns":250000000,"idle-close-ns":30000000000,"max-attempts":4,"may-cancel":true,
  "most-held":20000,"retry-after":true,"max-retry-after-ns":2000000000}}"#;

/// Row of the endpoint list for an engine at this address.
pub fn row_at(address: SocketAddr, id: &str, state: &str, started_ms: u64) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"z","kind":"std","cell":0,"state":"{state}","weight":1,"started_ms":{started_ms}}}"#
    )
}

/// A gateway process; killed when dropped.
pub struct Gateway {
    child: Child,
    config_path: PathBuf,
    config: String,
    pub address: SocketAddr,
    pub log: EventLog<String>,
}

impl Gateway {
    /// Starts a gateway whose configuration has the endpoint list `rows`, and waits until it serves.
    pub fn start(rows: &[String]) -> Gateway {
        Gateway::start_with("127.0.0.1:0", rows, None, 1024)
    }

    /// As `start`, with a listen address, a discovery server and a limit of open sockets.
    pub fn start_with(
        listen: &str,
        rows: &[String],
        discovery: Option<&FakeDiscoveryServer>,
        sockets: usize,
    ) -> Gateway {
        Gateway::spawn(configuration(listen, rows, discovery, sockets), None)
    }

    fn spawn(config: String, own: Option<(&str, &str)>) -> Gateway {
        let (mut child, log, config_path) = spawn_with_settings_file(&config, own);
        let line = log.wait("line of the start", |l| {
            l.contains("gateway started") || l.contains("ERROR")
        });
        let address = log_lines::field(&line, "address").and_then(|address| address.parse().ok());
        let address = address.unwrap_or_else(|| {
            let _ = child.kill();
            panic!("not started: {line}")
        });
        Gateway {
            child,
            config_path,
            config,
            address,
            log,
        }
    }

    /// Starts a gateway for these engines, with a configuration changed by `change` and operator settings as JSON.
    pub fn start_with_own_settings(
        rows: &[String],
        change: impl Fn(String) -> String,
        own: Option<&str>,
    ) -> Gateway {
        let config = change(configuration("127.0.0.1:0", rows, None, 1024));
        Gateway::spawn(config, own.map(|own| ("json", own)))
    }

    /// Starts a gateway with a complete configuration of the test.
    pub fn start_with_config(config: String) -> Gateway {
        Gateway::spawn(config, None)
    }

    /// Runs `meanwhile` while the process is stopped; the process then finds all events of that time at once.
    pub fn while_stopped<T>(&self, meanwhile: impl FnOnce() -> T) -> T {
        self.signal("STOP");
        wait_until("the stop", || {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
            stat.rsplit(") ")
                .next()
                .is_some_and(|rest| rest.starts_with('T'))
        });
        let result = meanwhile();
        self.signal("CONT");
        result
    }

    /// As `start_with_own_settings`, with a settings file of this extension.
    pub fn start_with_own_settings_file(
        rows: &[String],
        change: impl Fn(String) -> String,
        extension: &str,
        own: &str,
    ) -> Gateway {
        let config = change(configuration("127.0.0.1:0", rows, None, 1024));
        Gateway::spawn(config, Some((extension, own)))
    }

    /// Replaces the operator's settings file.
    pub fn write_own_settings(&self, own: &str) {
        std::fs::write(self.config_path.with_extension("own.json"), own).unwrap();
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([&format!("-{name}"), &pid])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Replaces the configuration file.
    pub fn write_config(&self, config: &str) {
        std::fs::write(&self.config_path, config).unwrap();
    }

    /// Replaces the configuration file by one with the address of this discovery server.
    pub fn write_discovery_address(&self, discovery: &FakeDiscoveryServer) {
        let (head, rest) = self.config.split_once("\"journal\":\"").unwrap();
        let tail = rest.split_once('"').unwrap().1;
        self.write_config(&format!(
            "{head}\"journal\":\"{}\"{tail}",
            discovery.address
        ));
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Configuration of a gateway for the engines of these rows.
pub fn configuration(
    listen: &str,
    rows: &[String],
    discovery: Option<&FakeDiscoveryServer>,
    sockets: usize,
) -> String {
    let discovery_address =
        discovery.map_or(String::new(), |discovery| discovery.address.to_string());
    let entry = endpoint_event(1, true, rows);
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"sockets":{sockets}}},
         "journal":"{discovery_address}","known":{{"pos":1,"entries":[{entry}]}},"settings":{SETTINGS}}}"#
    )
}

/// Path of the `ivypitch` binary: next to this test's folder, or the current executable.
pub fn ivypitch_program() -> PathBuf {
    let current = std::env::current_exe().unwrap();
    let sibling = current
        .parent()
        .and_then(Path::parent)
        .map(|folder| folder.join("ivypitch"));
    sibling
        .filter(|program| program.is_file())
        .unwrap_or(current)
}

/// Starts a gateway process; returns it with its log and the path of its configuration file.
pub fn spawn_gateway(config: &str) -> (Child, EventLog<String>, PathBuf) {
    spawn_gateway_with_settings(config, None)
}

/// As `spawn_gateway`, with operator settings as JSON.
pub fn spawn_gateway_with_settings(
    config: &str,
    own: Option<&str>,
) -> (Child, EventLog<String>, PathBuf) {
    spawn_with_settings_file(config, own.map(|own| ("json", own)))
}

/// `own`: extension and text of the operator's settings file.
fn spawn_with_settings_file(
    config: &str,
    own: Option<(&str, &str)>,
) -> (Child, EventLog<String>, PathBuf) {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let name = format!(
        "gateway-{}-{}.json",
        std::process::id(),
        NUMBER.fetch_add(1, Ordering::SeqCst)
    );
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(ivypitch_program());
    command.arg("serve").env("PROXY_CONFIG", &path);
    let own_path = path.with_extension(format!(
        "own.{}",
        own.map_or("json", |(extension, _)| extension)
    ));
    if let Some((_, own)) = own {
        std::fs::write(&own_path, own).unwrap();
        command.env("IVYPITCH_OWN", &own_path);
    }
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let log = EventLog::new();
    let (lines, events, file) = (
        BufReader::new(child.stderr.take().unwrap()).lines(),
        log.clone(),
        path.clone(),
    );
    thread::spawn(move || {
        lines
            .map_while(Result::ok)
            .for_each(|line| events.push(line));
        let _ = std::fs::remove_file(file);
        let _ = std::fs::remove_file(own_path);
    });
    (child, log, path)
}

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
