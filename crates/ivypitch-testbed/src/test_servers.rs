//! Stand-ins for everything that a gateway talks to, and the gateway itself as a process. They wait on
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

/// Far longer than anything takes on a busy machine; a test that waits so long has failed.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Things that happened, in order, for others to wait for.
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
    /// Also after a wait that failed: else the failed test's fleet could not be ended, and its processes would stay.
    fn lock(&self) -> MutexGuard<'_, Vec<T>> {
        self.0
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
    pub fn push(&self, what: T) {
        self.lock().push(what);
        self.0.1.notify_all();
    }
    pub fn all(&self) -> Vec<T> {
        self.lock().clone()
    }
    /// The first that fits, waited for.
    pub fn wait(&self, what: &str, fits: impl Fn(&T) -> bool) -> T {
        self.wait_for_nth(what, 1, fits)
    }
    /// The last of so many that fit.
    pub fn wait_for_nth(&self, what: &str, count: usize, fits: impl Fn(&T) -> bool) -> T {
        let until = Instant::now() + WAIT_TIMEOUT;
        let mut seen = self.lock();
        loop {
            if let Some(found) = seen.iter().filter(|t| fits(t)).nth(count - 1) {
                return found.clone();
            }
            let left = until
                .checked_duration_since(Instant::now())
                .unwrap_or_else(|| panic!("no {what}"));
            seen = self
                .0
                .1
                .wait_timeout(seen, left)
                .unwrap_or_else(|poisoned| poisoned.into_inner())
                .0;
        }
    }
}

#[derive(Clone, Debug)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub head: String,
    pub body: String,
    /// Which of the engine's connections it came on.
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

pub enum Reply {
    Response(String),
    /// Nothing, the connection stays open.
    NoResponse,
    /// The connection is closed with no answer.
    Close,
}

/// An answer of an engine.
pub fn response(status: u16, headers: &str, body: &str) -> Reply {
    Reply::Response(format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// A good end with one page.
pub fn success_response(body: &str) -> Reply {
    response(
        200,
        "Page-Count: 1\r\nWork-Ms: 12.5\r\nPeak-Mb: 64\r\nSrv-Load: waiting:0;active:1;x0:0.1\r\n",
        body,
    )
}

pub struct FakeEngine {
    pub address: SocketAddr,
    pub calls: EventLog<Call>,
    /// Its connections, as they end.
    pub closed_connections: EventLog<usize>,
}

impl FakeEngine {
    /// Answers each call as `reply` says; it is also told how many calls came before.
    pub fn start(reply: impl Fn(&Call, usize) -> Reply + Send + Sync + 'static) -> FakeEngine {
        FakeEngine::on_listener(TcpListener::bind("127.0.0.1:0").unwrap(), reply)
    }

    /// The same behind a listener that is there already.
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

    pub fn completing() -> FakeEngine {
        FakeEngine::start(|call, _| {
            if call.has_method("DELETE") {
                response(204, "", "")
            } else {
                success_response("a\tb\tc\n")
            }
        })
    }

    /// Takes the statement and never ends it.
    pub fn never_completing() -> FakeEngine {
        FakeEngine::start(|call, _| {
            response(if call.has_method("DELETE") { 204 } else { 202 }, "", "")
        })
    }

    pub fn row(&self, id: &str, state: &str) -> String {
        row_at(self.address, id, state, 0)
    }

    pub fn start_count(&self) -> usize {
        self.calls
            .all()
            .iter()
            .filter(|c| c.has_method("POST"))
            .count()
    }
}

const NO_NEWS: Duration = Duration::from_millis(20);

/// An engine whose queries end when the test says so. It has an address for each gateway, so that it knows who calls.
/// Ids from 1 << 32 on end at once.
pub struct ControlledEngine {
    pub addresses: Vec<SocketAddr>,
    /// Who called, and what.
    pub calls: EventLog<(usize, Call)>,
    shared: Arc<Mutex<ControlledQueries>>,
}

#[derive(Default)]
struct ControlledQueries {
    /// By id: the pages of its end, where it has ended.
    known: BTreeMap<u64, Option<Vec<String>>>,
    mute_starts: bool,
    /// Answers to starts wait for this.
    starts_released: Option<EventLog<()>>,
    mute_pages: bool,
    close_polls: bool,
    fail_starts: bool,
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
            self.known.remove(&number);
            return response(204, "", "");
        }
        if call.has_method("POST") && self.fail_starts {
            return response(500, "", "");
        }
        if call.has_method("GET") && self.close_polls {
            return Reply::Close;
        }
        if call.has_method("POST") {
            let auto = (number >= 1 << 32).then(|| vec![format!("{id}\tb\tc\n")]);
            self.known.entry(number).or_insert(auto);
            if self.mute_starts {
                return Reply::NoResponse;
            }
        }
        let page = path
            .get(3)
            .and_then(|page| page.parse::<usize>().ok())
            .unwrap_or(0);
        match self.known.get(&number) {
            None => response(500, "", ""),
            Some(None) => response(202, "", ""),
            Some(Some(_)) if page > 0 && self.mute_pages => Reply::NoResponse,
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
        let one = |gateway: usize| {
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
                    // An engine holds back that there is no news.
                    thread::sleep(NO_NEWS);
                }
                reply
            });
            engine.address
        };
        ControlledEngine {
            addresses: (0..gateways).map(one).collect(),
            calls,
            shared,
        }
    }

    pub fn complete(&self, req: u64) {
        self.complete_with_pages(req, vec![format!("{req:016x}\tb\tc\n")]);
    }

    pub fn complete_with_pages(&self, req: u64, pages: Vec<String>) {
        self.shared.lock().unwrap().known.insert(req, Some(pages));
    }

    /// Starts are taken and not answered.
    pub fn set_starts_unanswered(&self, is: bool) {
        self.shared.lock().unwrap().mute_starts = is;
    }

    /// Starts are taken, and answered once the returned is pushed to.
    pub fn delay_start_responses(&self) -> EventLog<()> {
        let released = EventLog::new();
        self.shared.lock().unwrap().starts_released = Some(released.clone());
        released
    }

    /// Starts end in an error.
    pub fn set_starts_failing(&self, is: bool) {
        self.shared.lock().unwrap().fail_starts = is;
    }

    /// Connections close at every question.
    pub fn set_polls_closing(&self, is: bool) {
        self.shared.lock().unwrap().close_polls = is;
    }

    /// Starts that came through this gateway's address.
    pub fn start_count_by_gateway(&self, gateway: usize) -> usize {
        self.calls
            .all()
            .iter()
            .filter(|(by, c)| *by == gateway && c.has_method("POST"))
            .count()
    }

    /// Pages but the first are not answered.
    pub fn set_later_pages_unanswered(&self, is: bool) {
        self.shared.lock().unwrap().mute_pages = is;
    }

    /// Its process begins anew.
    pub fn forget_queries(&self) {
        self.shared.lock().unwrap().known.clear();
    }

    pub fn start_count(&self, req: u64) -> usize {
        let id = format!("{req:016x}");
        self.calls
            .all()
            .iter()
            .filter(|(_, c)| c.has_method("POST") && c.header("Via-Id") == Some(&id))
            .count()
    }

    pub fn wait_for_start(&self, req: u64) -> usize {
        let id = format!("{req:016x}");
        self.calls
            .wait("start", |(_, c)| {
                c.has_method("POST") && c.header("Via-Id") == Some(&id)
            })
            .0
    }

    /// A question for this page by a gateway that is none of these.
    pub fn wait_for_poll(&self, req: u64, page: usize, not: &[usize]) -> usize {
        let path = format!("/c/{req:016x}/{page}");
        self.calls
            .wait("question", |(by, c)| {
                c.has_method("GET") && c.path == path && !not.contains(by)
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

/// An address that refuses connections for as long as the socket is held: bound and never listened on, so that no
/// other listener can come by it.
pub fn refusing_address() -> (OwnedFd, SocketAddr) {
    use rustix::net::{AddressFamily, SocketType, bind, getsockname, socket};
    let held = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    bind(&held, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = SocketAddr::try_from(getsockname(&held).unwrap()).unwrap();
    (held, address)
}

/// A way to an engine whose dials do not come up until it is opened: its queue of connections is full.
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

    /// Waits until somebody dials it.
    pub fn wait_for_connection_attempt(&self) {
        wait_until("a dial", || dials(self.address, "02"));
    }

    /// Dials come up from now on, as they are tried again. Returns once the one has that waits.
    pub fn unblock(self) -> TcpListener {
        drop(self.filler);
        self.listener.accept().unwrap();
        wait_until("the dial that waited", || !dials(self.address, "02"));
        self.listener
    }
}

/// A connection to this address is in this state, as the system counts them.
fn dials(address: SocketAddr, state: &str) -> bool {
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

/// Waits until the other side has read all that was sent on this connection.
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

/// Waits for a condition that nobody tells of.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "no {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// The journal service: each connection's first line is kept, and gets the next of the scripts; then a line
/// with the last number each tenth of a second, until it is told to close.
pub struct FakeDiscoveryServer {
    pub address: SocketAddr,
    pub watch_requests: EventLog<String>,
    scripts: Arc<Mutex<VecDeque<String>>>,
    sent: Arc<Mutex<Told>>,
}

/// What each connection is told, and the one that is there.
#[derive(Default)]
struct Told {
    lines: String,
    stream: Option<TcpStream>,
}

impl FakeDiscoveryServer {
    /// `scripts`: what one connection after the other is told; a script that ends in `!` closes it.
    pub fn start(scripts: &[String]) -> FakeDiscoveryServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let journal = FakeDiscoveryServer {
            address,
            watch_requests: EventLog::new(),
            scripts: Arc::new(Mutex::new(scripts.iter().cloned().collect())),
            sent: Arc::default(),
        };
        let (tails, scripts) = (journal.watch_requests.clone(), journal.scripts.clone());
        let told = journal.sent.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut line = String::new();
                let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut line);
                tails.push(line);
                let script = scripts.lock().unwrap().pop_front().unwrap_or_default();
                let _ = stream.write_all(script.trim_end_matches('!').as_bytes());
                if !script.ends_with('!') {
                    // Held open, and silent but for what the test tells.
                    let mut told = told.lock().unwrap();
                    let _ = stream.write_all(told.lines.as_bytes());
                    told.stream = stream.try_clone().ok();
                    thread::spawn(move || stream.read(&mut [0]));
                }
            }
        });
        journal
    }

    /// Tells nothing but what the test does.
    pub fn without_script() -> FakeDiscoveryServer {
        FakeDiscoveryServer::start(&[])
    }

    /// On the connection that is there, and on each that follows.
    pub fn send(&self, line: &str) {
        let mut told = self.sent.lock().unwrap();
        told.lines += line;
        if let Some(stream) = &mut told.stream {
            let _ = stream.write_all(line.as_bytes());
        }
    }
}

pub fn endpoint_event(pos: u64, full: bool, rows: &[String]) -> String {
    format!(
        "{{\"pos\":{pos},\"hosts\":{{\"version\":{pos},\"full\":{full},\"servers\":[{}]}}}}\n",
        rows.join(",")
    )
}

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

/// A row of the list for an engine at any address.
pub fn row_at(address: SocketAddr, id: &str, state: &str, started_ms: u64) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"z","kind":"std","cell":0,"state":"{state}","weight":1,"started_ms":{started_ms}}}"#
    )
}

pub struct Gateway {
    child: Child,
    path: PathBuf,
    config: String,
    pub address: SocketAddr,
    pub log: EventLog<String>,
}

impl Gateway {
    /// Starts the program with the list `rows` known to it, and waits until it serves.
    pub fn start(rows: &[String]) -> Gateway {
        Gateway::start_with("127.0.0.1:0", rows, None, 1024)
    }

    pub fn start_with(
        listen: &str,
        rows: &[String],
        journal: Option<&FakeDiscoveryServer>,
        sockets: usize,
    ) -> Gateway {
        Gateway::spawn(configuration(listen, rows, journal, sockets), None)
    }

    fn spawn(config: String, own: Option<(&str, &str)>) -> Gateway {
        let (mut child, log, path) = spawn_own(&config, own);
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
            path,
            config,
            address,
            log,
        }
    }

    /// Before these engines, with a configuration changed by `change` and own settings as JSON.
    pub fn start_with_own_settings(
        rows: &[String],
        change: impl Fn(String) -> String,
        own: Option<&str>,
    ) -> Gateway {
        let config = change(configuration("127.0.0.1:0", rows, None, 1024));
        Gateway::spawn(config, own.map(|own| ("json", own)))
    }

    /// The same as a fleet's member or with a journal: the whole configuration is the test's.
    pub fn start_with_config(config: String) -> Gateway {
        Gateway::spawn(config, None)
    }

    /// Stops the process as it stands: what happens meanwhile it meets all at once.
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

    /// The same with a file of this ending.
    pub fn start_with_own_settings_file(
        rows: &[String],
        change: impl Fn(String) -> String,
        ending: &str,
        own: &str,
    ) -> Gateway {
        let config = change(configuration("127.0.0.1:0", rows, None, 1024));
        Gateway::spawn(config, Some((ending, own)))
    }

    /// Replaces the file of its own settings.
    pub fn write_own_settings(&self, own: &str) {
        std::fs::write(self.path.with_extension("own.json"), own).unwrap();
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

    /// Replaces the file of its configuration.
    pub fn write_config(&self, config: &str) {
        std::fs::write(&self.path, config).unwrap();
    }

    pub fn write_discovery_address(&self, journal: &FakeDiscoveryServer) {
        let (head, rest) = self.config.split_once("\"journal\":\"").unwrap();
        let tail = rest.split_once('"').unwrap().1;
        self.write_config(&format!("{head}\"journal\":\"{}\"{tail}", journal.address));
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

/// The configuration of a gateway before the engines of these rows.
pub fn configuration(
    listen: &str,
    rows: &[String],
    journal: Option<&FakeDiscoveryServer>,
    sockets: usize,
) -> String {
    let journal = journal.map_or(String::new(), |j| j.address.to_string());
    let entry = endpoint_event(1, true, rows);
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"sockets":{sockets}}},
         "journal":"{journal}","known":{{"pos":1,"entries":[{entry}]}},"settings":{SETTINGS}}}"#
    )
}

/// The command `ivypitch` that was built beside this test or is this program.
pub fn ivypitch_program() -> PathBuf {
    let this = std::env::current_exe().unwrap();
    let beside = this
        .parent()
        .and_then(Path::parent)
        .map(|folder| folder.join("ivypitch"));
    beside.filter(|program| program.is_file()).unwrap_or(this)
}

/// The program with this configuration, its log, and where the configuration is.
pub fn spawn_gateway(config: &str) -> (Child, EventLog<String>, PathBuf) {
    spawn_gateway_with_settings(config, None)
}

/// The same with own settings, as JSON.
pub fn spawn_gateway_with_settings(
    config: &str,
    own: Option<&str>,
) -> (Child, EventLog<String>, PathBuf) {
    spawn_own(config, own.map(|own| ("json", own)))
}

/// Own settings by the ending of their file and its text.
fn spawn_own(config: &str, own: Option<(&str, &str)>) -> (Child, EventLog<String>, PathBuf) {
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
    let own_path = path.with_extension(format!("own.{}", own.map_or("json", |(ending, _)| ending)));
    if let Some((_, own)) = own {
        std::fs::write(&own_path, own).unwrap();
        command.env("IVYPITCH_OWN", &own_path);
    }
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let log = EventLog::new();
    let (lines, seen, file) = (
        BufReader::new(child.stderr.take().unwrap()).lines(),
        log.clone(),
        path.clone(),
    );
    thread::spawn(move || {
        lines.map_while(Result::ok).for_each(|line| seen.push(line));
        let _ = std::fs::remove_file(file);
        let _ = std::fs::remove_file(own_path);
    });
    (child, log, path)
}

#[derive(Debug, PartialEq)]
pub enum Answer {
    Rows(Vec<Vec<String>>),
    Error(u16, String),
    Closed,
}

impl Answer {
    pub fn error_code(&self) -> u16 {
        if let Answer::Error(code, _) = self {
            *code
        } else {
            0
        }
    }
}

pub fn packet(sequence: u8, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    [&[length[0], length[1], length[2], sequence], payload].concat()
}

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

pub fn query(text: &str) -> Vec<u8> {
    packet(0, &[&[3], text.as_bytes()].concat())
}

/// A statement with its fields.
pub fn statement(kind: &str, req: u64, timeout_ms: u64) -> String {
    format!(
        "/* kind={kind},req={req:016x},timeout={timeout_ms},owner=acme,ms=20.0,space=32 */ SELECT a FROM sales_17.orders"
    )
}

pub struct Client {
    pub stream: TcpStream,
    pub connection: u32,
}

impl Client {
    pub fn connect(gateway: &Gateway) -> Client {
        Client::connect_to(gateway.address)
    }

    pub fn connect_to(address: SocketAddr) -> Client {
        let mut client = Client::connect_without_login_to(address);
        client.send(&login("app"));
        client.finish_login();
        client
    }

    /// Connected, nothing written or read.
    pub fn connect_without_login(gateway: &Gateway) -> Client {
        Client::connect_without_login_to(gateway.address)
    }

    fn connect_without_login_to(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        // Else the system holds small writes back, behind what was not acknowledged yet.
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

    pub fn execute(&mut self, text: &str) -> Answer {
        self.send(&query(text));
        self.read_answer(1)
    }

    /// Logged in, where a gateway is there and takes it in.
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

    /// Login and statement in one write, as clients may send them, and the answer to the statement.
    pub fn login_and_execute(address: SocketAddr, text: &str) -> Answer {
        let mut client = Client::connect_without_login_to(address);
        client.send(&[login("app"), query(text)].concat());
        client.finish_login();
        client.read_answer(1)
    }

    /// `None`: its gateway has gone.
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

    /// The answer to one command; its packets are numbered from `sequence`. OK reads as no rows.
    pub fn read_answer(&mut self, mut sequence: u8) -> Answer {
        let (mut rows, mut ends) = (Vec::new(), 0);
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
                0 if rows.is_empty() && ends == 0 => return Answer::Rows(rows),
                0xfe if payload.len() < 9 => {
                    ends += 1;
                    if ends == 2 {
                        return Answer::Rows(rows);
                    }
                }
                _ if ends == 1 => rows.push(columns(&payload)),
                _ => {}
            }
        }
    }
}

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
