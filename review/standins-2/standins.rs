//! Stand-ins for the cases 6 to 10: engines, the journal service, clients, and the gateway as a process.
//! They follow the protocol page and use the standard library only.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// An engine answers a poll after this time at the latest.
const LONG_POLL: Duration = Duration::from_millis(250);
/// An engine drops a query that was not asked for in this time.
const UNASKED: Duration = Duration::from_millis(2000);

/// Settings as `kandy-merchant` would have them, with three gateways; `ME` is the index of the gateway and of its hall.
pub const KANDY_MERCHANT: &str = r#"{"balancers":3,"me":ME,"zone":ME,"tier":0,"tick-ns":5000000,"family":"queries","tiers":["merchant-engines"],
 "zones":["hall-a","hall-b","hall-c"],"host-types":["node-16c","node-12c"],"registry-mode":"pushed","worth-by":"request",
 "categories":[
  {"name":"payout-lookup","goal-time-ns":500000000,"aim-stretch":1.5,"give-up-ns":2500000000,"effect":"safe","key-scope":"all",
   "worth":1.0,"late-value":0.1,"stream":false,"window-ns":5000000000},
  {"name":"settle-report","goal-time-ns":3000000000,"aim-stretch":2.5,"give-up-ns":25000000000,"effect":"safe","key-scope":"all",
   "worth":7.5,"late-value":0.4,"stream":false,"window-ns":5000000000,"host-types-allowed":[0]},
  {"name":"settle-load","goal-time-ns":3000000000,"aim-stretch":2.5,"give-up-ns":25000000000,"effect":"unsafe","key-scope":"all",
   "worth":10.0,"late-value":0.5,"stream":false,"window-ns":5000000000}],
 "customers":[],"clients":{"marks-retry":true},
 "contract":{"cold-from":0.3,"drain-grace-ns":2000000000,"grace-to-answer-ns":20000000,"must-ask-in-ns":10000000000,
  "overload-factor":3.0,"tip-after-ns":1500000000,"warm-up-ns":15000000000},
 "extra":{"cores-by-kind":[16,12],"dop":[1,2,2],"loads":[false,false,true],"memory-heeded":true,"most-grant":0.4,
  "progress-pace-ns":2000000000,"ranks-heeded":true,"size-mb":[32768.0,24576.0],"tells-cost":false,"when-short":"trim",
  "yields-to-loads":[true,false,false]},
 "load-info":{"fields":["cpu","active"],"how":"pull"},
 "permissions":{"connect-timeout-ns":250000000,"idle-close-ns":15000000000,"max-attempts":6,"max-retry-after-ns":2000000000,
  "max-streams":100,"may-cancel":true,"may-probe":true,"most-held":20000,"peers":true,"retry-after":true,"second-copies":false},
 "prices":{"waste":0.05}}"#;
/// Settings as `conteo-santiago` would have them, with one gateway.
pub const CONTEO_SANTIAGO: &str = r#"{"balancers":1,"me":0,"zone":0,"tier":0,"tick-ns":5000000,"family":"queries","tiers":["motores-consulta"],
 "zones":["sala-norte","sala-sur"],"host-types":["gen-a","gen-b"],"registry-mode":"pushed","worth-by":"request","over-share-worth":0.1,
 "categories":[
  {"name":"mesa-lookup","goal-time-ns":1000000000,"aim-stretch":1.5,"give-up-ns":5000000000,"effect":"safe","key-scope":"all",
   "worth":1.0,"late-value":0.1,"stream":false,"window-ns":5000000000},
  {"name":"distrito-report","goal-time-ns":3000000000,"aim-stretch":2.5,"give-up-ns":25000000000,"effect":"safe","key-scope":"all",
   "worth":7.5,"late-value":0.4,"stream":false,"window-ns":5000000000},
  {"name":"acta-load","goal-time-ns":3000000000,"aim-stretch":2.5,"give-up-ns":25000000000,"effect":"keyed","key-scope":"all",
   "worth":5.0,"late-value":0.5,"stream":false,"window-ns":25000000000,"keep-order":true}],
 "customers":[{"allowance-per-s":6.0,"name":"canal-nueve-valle","share":0.39},{"allowance-per-s":4.0,"name":"diario-la-quebrada","share":0.27},
  {"allowance-per-s":4.0,"name":"radio-el-litoral","share":0.25},{"allowance-per-s":1.5,"name":"portal-tres-rios","share":0.09}],
 "clients":{"marks-retry":false},
 "contract":{"cold-from":0.32,"drain-grace-ns":500000000,"grace-to-answer-ns":20000000,"must-ask-in-ns":10000000000,
  "overload-factor":2.0,"settle-after-doubt-ns":0,"tip-after-ns":1000000000,"warm-up-ns":14000000000},
 "extra":{"cores-by-kind":[8,8],"dop":[1,3,2],"loads":[false,false,true],"memory-heeded":true,"most-grant":0.4,
  "progress-pace-ns":0,"ranks-heeded":false,"size-mb":[16384.0,16384.0],"tells-cost":false,"when-short":"queue",
  "yields-to-loads":[true,false,false]},
 "load-info":{"fields":["cpu","waiting","x0","x1"],"how":"pull"},
 "permissions":{"connect-timeout-ns":250000000,"idle-close-ns":30000000000,"max-attempts":5,"max-retry-after-ns":2000000000,
  "max-streams":32,"may-cancel":false,"may-probe":true,"most-held":20000,"peers":false,"retry-after":true,"second-copies":false},
 "prices":{"waste":0.05}}"#;
/// The halls of `kandy-merchant`.
pub const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption is played: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case: it couldn't run.
pub fn cannot_run(why: &str) -> ! {
    println!("cannot run: {why}");
    std::process::exit(2)
}

/// `record.txt`: a line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(File, u64)>>);

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).unwrap_or_else(|error| cannot_run(&error.to_string()));
        Record(Arc::new(Mutex::new((file, unix_ms()))))
    }

    /// Writes a line with the milliseconds since the start of the case.
    pub fn line(&self, text: &str) {
        let mut inner = self.0.lock().unwrap();
        let at = unix_ms() - inner.1;
        let _ = writeln!(inner.0, "{at:>7} {text}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    /// Milliseconds of the record for a Unix time.
    pub fn at(&self, unix: u64) -> i64 {
        unix as i64 - self.0.lock().unwrap().1 as i64
    }
}

// ---- engines ----

/// A start that came whole to an engine.
#[derive(Clone, Debug)]
pub struct Start {
    pub id: String,
    pub class: String,
    pub statement: String,
    pub engine: String,
    /// When the first byte of the call arrived, Unix ms.
    pub first_byte_at: u64,
    /// When the call had come whole, Unix ms.
    pub at: u64,
    /// The engine turned it away as full: it did not run.
    pub turned_away: bool,
    /// When its end was reached, or when it was given up or dropped; 0 while it runs.
    pub ended_at: u64,
}

/// What engines tell, as the settings say.
#[derive(Clone, Copy)]
pub struct Manners {
    /// Time between notes of progress in milliseconds; 0: no notes (`progress-pace-ns`).
    pub note_ms: u64,
    /// A good end tells the work and the memory that it needed (`tells-cost`).
    pub tells_cost: bool,
    /// Answers hold the load report `waiting`, `active`, `x0` (`load-info`, `piggyback`).
    pub reports_load: bool,
}

/// Set once, before the engines start; without it notes come every 2 s and nothing else is told.
pub static MANNERS: OnceLock<Manners> = OnceLock::new();

fn manners() -> Manners {
    *MANNERS.get_or_init(|| Manners { note_ms: 2_000, tells_cost: false, reports_load: false })
}

struct Query {
    began: Instant,
    ends: Instant,
    asked: Instant,
    start: usize,
    is_done: bool,
    rows: String,
}

#[derive(Default)]
struct EngineState {
    queries: HashMap<String, Query>,
}

/// All starts at all engines, in order of arrival.
pub type Starts = Arc<Mutex<Vec<Start>>>;

/// An engine: takes everything, and works on each statement for the time that its text names.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    /// While true, it turns new statements away as full.
    pub is_full: Arc<AtomicBool>,
}

impl Engine {
    pub fn start(id: &str, zone: &str, kind: &str, starts: &Starts, record: &Record) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(EngineState::default()));
        let is_full = Arc::new(AtomicBool::new(false));
        let engine = Engine {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            kind: kind.to_owned(),
            is_full: is_full.clone(),
        };
        let (id, starts, record) = (id.to_owned(), starts.clone(), record.clone());
        {
            let (state, starts, record, id) = (state.clone(), starts.clone(), record.clone(), id.clone());
            thread::spawn(move || loop {
                sleep_ms(20);
                expire(&state, &starts, &record, &id);
            });
        }
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, state, starts) = (id.clone(), state.clone(), starts.clone());
                let (record, is_full) = (record.clone(), is_full.clone());
                thread::spawn(move || serve_engine(stream, &id, &state, &starts, &record, &is_full));
            }
        });
        engine
    }

    /// The engine as a list entry.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"kind\":\"{}\",\"cell\":0,\"state\":\"{state}\",\"weight\":1,\"started_ms\":0}}",
            self.id, self.address, self.zone, self.kind
        )
    }
}

/// Ends the queries whose work is done, and drops those that nobody asked for.
fn expire(state: &Mutex<EngineState>, starts: &Starts, record: &Record, engine: &str) {
    let now = Instant::now();
    let mut state = state.lock().unwrap();
    let mut dropped = Vec::new();
    for (id, query) in &mut state.queries {
        if !query.is_done && now >= query.ends {
            query.is_done = true;
            starts.lock().unwrap()[query.start].ended_at = unix_ms();
            record.line(&format!("{engine} ends {id}"));
        }
        if now.saturating_duration_since(query.asked) > UNASKED {
            dropped.push(id.clone());
        }
    }
    for id in dropped {
        if let Some(query) = state.queries.remove(&id)
            && !query.is_done
        {
            starts.lock().unwrap()[query.start].ended_at = unix_ms();
            record.line(&format!("{engine} drops {id}: not asked for in 2 s"));
        }
    }
}

struct Request {
    method: String,
    path: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
    first_byte_at: u64,
}

fn read_request(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<Request> {
    let mut first_byte_at = if input.is_empty() { 0 } else { unix_ms() };
    loop {
        if let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut words = lines.next()?.split(' ');
            let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
            let headers: HashMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length: usize = headers.get("content-length").map_or(Some(0), |v| v.parse().ok())?;
            if input.len() >= end + 4 + length {
                let body = input[end + 4..end + 4 + length].to_vec();
                input.drain(..end + 4 + length);
                return Some(Request { method, path, headers, body, first_byte_at });
            }
        }
        let mut buffer = [0; 16 << 10];
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => {
                if first_byte_at == 0 {
                    first_byte_at = unix_ms();
                }
                input.extend_from_slice(&buffer[..count]);
            }
        }
    }
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}

/// The milliseconds of work that a statement's text names: the digits after `n = `.
pub fn work_ms(statement: &str) -> u64 {
    let digits: String = statement
        .split("n = ")
        .nth(1)
        .unwrap_or("")
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().unwrap_or(50)
}

fn serve_engine(
    mut stream: TcpStream,
    engine: &str,
    state: &Mutex<EngineState>,
    starts: &Starts,
    record: &Record,
    is_full: &AtomicBool,
) {
    let _ = stream.set_nodelay(true);
    let mut input = Vec::new();
    // When this connection was last told a note, by query: each one that asks is told all notes.
    let mut noted = HashMap::new();
    while let Some(request) = read_request(&mut stream, &mut input) {
        let mut parts = request.path.trim_start_matches('/').split('/').skip(1);
        let id = parts.next().unwrap_or("").to_owned();
        let page = parts.next().map(|page| page.parse::<usize>().unwrap_or(usize::MAX));
        let answered = match (request.method.as_str(), page) {
            ("POST", _) => {
                let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
                let id = header("via-id");
                let statement = String::from_utf8_lossy(&request.body).into_owned();
                let turned_away = is_full.load(Ordering::SeqCst);
                let work = Duration::from_millis(work_ms(&statement));
                let index = {
                    let mut starts = starts.lock().unwrap();
                    starts.push(Start {
                        id: id.clone(),
                        class: header("via-class"),
                        statement: statement.clone(),
                        engine: engine.to_owned(),
                        first_byte_at: request.first_byte_at,
                        at: unix_ms(),
                        turned_away,
                        ended_at: 0,
                    });
                    starts.len() - 1
                };
                let class = header("via-class");
                if turned_away {
                    starts.lock().unwrap()[index].ended_at = unix_ms();
                    record.line(&format!("{engine} turns away {id} {class}: full"));
                    respond(&mut stream, "503 Full", "Srv-Untouched: 1\r\n", "")
                } else {
                    record.line(&format!("{engine} starts {id} {class}"));
                    let now = Instant::now();
                    let query = Query {
                        began: now,
                        ends: now + work,
                        asked: now,
                        start: index,
                        is_done: false,
                        rows: format!("{id}\t{}\tv\n", work.as_millis()),
                    };
                    let replaced = state.lock().unwrap().queries.insert(id.clone(), query);
                    if let Some(replaced) = replaced.filter(|replaced| !replaced.is_done) {
                        starts.lock().unwrap()[replaced.start].ended_at = unix_ms();
                        record.line(&format!("{engine} had {id} running already: the new start replaces it"));
                    }
                    noted.remove(&id);
                    answer_poll(&mut stream, state, &id, &mut noted)
                }
            }
            ("GET", Some(0)) => answer_poll(&mut stream, state, &id, &mut noted),
            ("PUT", _) => respond(&mut stream, "204 Done", "", ""),
            ("DELETE", _) => {
                if let Some(query) = state.lock().unwrap().queries.remove(&id)
                    && !query.is_done
                {
                    starts.lock().unwrap()[query.start].ended_at = unix_ms();
                    record.line(&format!("{engine} gives up {id}"));
                }
                respond(&mut stream, "204 Done", "", "")
            }
            _ => respond(&mut stream, "500 Error", "", ""),
        };
        if answered.is_err() {
            return;
        }
    }
}

/// Answers a start or a poll: the end, a note, or after 250 ms nothing.
fn answer_poll(
    stream: &mut TcpStream,
    state: &Mutex<EngineState>,
    id: &str,
    noted: &mut HashMap<String, Instant>,
) -> io::Result<()> {
    let until = Instant::now() + LONG_POLL;
    let manners = manners();
    loop {
        let now = Instant::now();
        let (rows, note, headers) = {
            let mut state = state.lock().unwrap();
            let mut headers = String::new();
            if manners.reports_load {
                let active = state.queries.values().filter(|query| !query.is_done).count();
                let granted = (active as f64 * 0.02).min(1.0);
                headers = format!("Srv-Load: waiting:0;active:{active};x0:{granted:.2}\r\n");
            }
            let Some(query) = state.queries.get_mut(id) else {
                drop(state);
                return respond(stream, "500 Error", &headers, "");
            };
            query.asked = now;
            let mut note = None;
            if !query.is_done
                && manners.note_ms > 0
                && now.duration_since(*noted.get(id).unwrap_or(&query.began)) >= Duration::from_millis(manners.note_ms)
            {
                noted.insert(id.to_owned(), now);
                let whole = query.ends.duration_since(query.began).as_secs_f64().max(0.001);
                note = Some(now.duration_since(query.began).as_secs_f64() / whole);
            }
            if query.is_done && manners.tells_cost {
                let work = query.ends.duration_since(query.began).as_millis();
                headers += &format!("Work-Ms: {work}\r\nPeak-Mb: 32\r\n");
            }
            (query.is_done.then(|| query.rows.clone()), note, headers)
        };
        if let Some(rows) = rows {
            return respond(stream, "200 OK", &format!("Page-Count: 1\r\n{headers}"), &rows);
        }
        if let Some(done) = note {
            let note = format!("Srv-Note: done\r\nFigure: {:.3}\r\n{headers}", done.min(1.0));
            return respond(stream, "202 Running", &note, "");
        }
        if now >= until {
            return respond(stream, "202 Running", &headers, "");
        }
        sleep_ms(5);
    }
}

// ---- the journal service ----

#[derive(Default)]
struct JournalState {
    /// Event lines, from position 1.
    events: Vec<String>,
}

/// The journal service: tells all events after the position that a gateway names, and each second the last number.
pub struct Journal {
    pub address: SocketAddr,
    state: Arc<(Mutex<JournalState>, Condvar)>,
    /// Bytes of an event line that it writes in 100 ms; 0: all at once.
    pub pace: Arc<AtomicU64>,
    /// How often a gateway asked since the start.
    pub asked: Arc<AtomicU64>,
}

impl Journal {
    pub fn start(first_event: String, record: &Record) -> Journal {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let state = JournalState { events: vec![first_event] };
        let journal = Journal {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            pace: Arc::default(),
            asked: Arc::default(),
        };
        let (state, pace, asked) = (journal.state.clone(), journal.pace.clone(), journal.asked.clone());
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, pace, record) = (state.clone(), pace.clone(), record.clone());
                asked.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || serve_journal(stream, &state, &pace, &record));
            }
        });
        journal
    }

    /// Adds an event about these list entries; it is told from now on.
    pub fn add(&self, full: bool, entries: &[String]) {
        let mut state = self.state.0.lock().unwrap();
        let event = event_line(state.events.len() as u64 + 1, full, entries);
        state.events.push(event);
        self.state.1.notify_all();
    }

    /// `known` for a configuration.
    pub fn known(&self) -> String {
        let state = self.state.0.lock().unwrap();
        format!("{{\"pos\":{},\"entries\":[{}]}}", state.events.len(), state.events.join(","))
    }
}

/// An event as a line without its end.
pub fn event_line(position: u64, full: bool, entries: &[String]) -> String {
    format!(
        "{{\"pos\":{position},\"hosts\":{{\"version\":{position},\"full\":{full},\"servers\":[{}]}}}}",
        entries.join(",")
    )
}

fn serve_journal(
    mut stream: TcpStream,
    state: &(Mutex<JournalState>, Condvar),
    pace: &AtomicU64,
    record: &Record,
) {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\n") {
        match stream.read(&mut byte) {
            Ok(1) => line.push(byte[0]),
            _ => return,
        }
    }
    let text = String::from_utf8_lossy(&line).into_owned();
    let Some(mut position) = text.trim().strip_prefix("tail ").and_then(|n| n.parse::<usize>().ok()) else {
        return;
    };
    record.line(&format!("journal is asked: {}", text.trim()));
    let mut next_number = Instant::now() + Duration::from_secs(1);
    loop {
        let (event, last) = {
            let guard = state.0.lock().unwrap();
            let wait = next_number.saturating_duration_since(Instant::now());
            let guard = if guard.events.len() > position {
                guard
            } else {
                state.1.wait_timeout(guard, wait).unwrap().0
            };
            (guard.events.get(position).cloned(), guard.events.len())
        };
        if let Some(event) = event {
            position += 1;
            let bytes = format!("{event}\n").into_bytes();
            if write_paced(&mut stream, &bytes, pace).is_err() {
                record.line(&format!("journal: the gateway ended the connection within event {position}"));
                return;
            }
            record.line(&format!("journal has written event {position} whole"));
        } else if Instant::now() >= next_number {
            if stream.write_all(format!("{last}\n").as_bytes()).is_err() {
                return;
            }
        } else {
            continue;
        }
        next_number = Instant::now() + Duration::from_secs(1);
    }
}

fn write_paced(stream: &mut TcpStream, bytes: &[u8], pace: &AtomicU64) -> io::Result<()> {
    let mut rest = bytes;
    loop {
        let pace = pace.load(Ordering::SeqCst) as usize;
        if pace == 0 || rest.len() <= pace {
            return stream.write_all(rest);
        }
        stream.write_all(&rest[..pace])?;
        rest = &rest[pace..];
        thread::sleep(Duration::from_millis(100));
        // A connection that the gateway has closed.
        stream.set_nonblocking(true)?;
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false)?;
        if !matches!(&peeked, Err(error) if error.kind() == ErrorKind::WouldBlock) {
            return Err(ErrorKind::ConnectionAborted.into());
        }
    }
}

// ---- clients ----

/// What a client got for a statement.
#[derive(Clone, PartialEq, Debug)]
pub enum Answer {
    Rows(Vec<String>),
    Error(u16, String),
    /// The connection ended without a whole answer.
    Closed,
    /// No whole answer came while the client waited.
    Nothing,
}

impl Answer {
    pub fn short(&self) -> String {
        match self {
            Answer::Rows(rows) => format!("served, {} rows", rows.len()),
            Answer::Error(code, text) => format!("error {code} {text}"),
            Answer::Closed => "the connection ended with no answer".to_owned(),
            Answer::Nothing => "no answer".to_owned(),
        }
    }

    /// An error that says: trying again is harmless.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Answer::Error(1040 | 1203 | 1226, _))
    }
}

/// A client's session.
pub struct Client {
    pub stream: TcpStream,
    pub connection: u32,
    input: Vec<u8>,
}

impl Client {
    /// Connects and logs in.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let mut client = Client { stream, connection: 0, input: Vec::new() };
        let until = Instant::now() + Duration::from_secs(3);
        let greeting = client.packet(until)?;
        let name_end = greeting[1..].iter().position(|&b| b == 0).ok_or(ErrorKind::InvalidData)? + 2;
        let id = greeting.get(name_end..name_end + 4).ok_or(ErrorKind::InvalidData)?;
        client.connection = u32::from_le_bytes([id[0], id[1], id[2], id[3]]);
        client.write_packet(1, &login())?;
        let ok = client.packet(until)?;
        if ok.first() != Some(&0) {
            return Err(ErrorKind::PermissionDenied.into());
        }
        Ok(client)
    }

    /// Connects, and writes login and first statement before the greeting has been read; the answer is read later.
    pub fn connect_and_send(address: SocketAddr, text: &str) -> io::Result<EarlyClient> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let mut client = Client { stream, connection: 0, input: Vec::new() };
        client.write_packet(1, &login())?;
        client.send(text)?;
        Ok(EarlyClient(client))
    }

    fn write_packet(&mut self, sequence: u8, payload: &[u8]) -> io::Result<()> {
        let mut packet = (payload.len() as u32).to_le_bytes()[..3].to_vec();
        packet.push(sequence);
        packet.extend_from_slice(payload);
        self.stream.write_all(&packet)
    }

    fn packet(&mut self, until: Instant) -> io::Result<Vec<u8>> {
        loop {
            if self.input.len() >= 4 {
                let length = u32::from_le_bytes([self.input[0], self.input[1], self.input[2], 0]) as usize;
                if self.input.len() >= 4 + length {
                    let payload = self.input[4..4 + length].to_vec();
                    self.input.drain(..4 + length);
                    return Ok(payload);
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
            let mut buffer = [0; 16 << 10];
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => self.input.extend_from_slice(&buffer[..count]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(ErrorKind::TimedOut.into());
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Sends COM_PING; true once it is answered with OK.
    pub fn ping(&mut self) -> bool {
        let until = Instant::now() + Duration::from_secs(2);
        self.write_packet(0, &[0x0e]).is_ok() && self.packet(until).is_ok_and(|p| p.first() == Some(&0))
    }

    /// Writes a statement.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        let mut payload = vec![3];
        payload.extend_from_slice(text.as_bytes());
        self.write_packet(0, &payload)
    }

    /// Waits for the answer to a statement.
    pub fn answer(&mut self, wait: Duration) -> Answer {
        let until = Instant::now() + wait;
        match self.try_answer(until) {
            Ok(answer) => answer,
            Err(error) if error.kind() == ErrorKind::TimedOut => Answer::Nothing,
            Err(_) => Answer::Closed,
        }
    }

    fn try_answer(&mut self, until: Instant) -> io::Result<Answer> {
        let first = self.packet(until)?;
        match first.first() {
            Some(0xff) => {
                let code = u16::from_le_bytes([first[1], first[2]]);
                let text = String::from_utf8_lossy(first.get(9..).unwrap_or(b"")).into_owned();
                return Ok(Answer::Error(code, text));
            }
            Some(0) => return Ok(Answer::Rows(Vec::new())),
            _ => {}
        }
        while !is_eof(&self.packet(until)?) {}
        let mut rows = Vec::new();
        loop {
            let packet = self.packet(until)?;
            if is_eof(&packet) {
                return Ok(Answer::Rows(rows));
            }
            rows.push(String::from_utf8_lossy(&packet).into_owned());
        }
    }

    /// Closes the connection as a client that ends does.
    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// A client that has sent its first statement ahead of the greeting.
pub struct EarlyClient(Client);

impl EarlyClient {
    /// Waits for the greeting, the end of the login and the answer.
    pub fn answer(&mut self, wait: Duration) -> Answer {
        let until = Instant::now() + wait;
        for _ in 0..2 {
            match self.0.packet(until) {
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::TimedOut => return Answer::Nothing,
                Err(_) => return Answer::Closed,
            }
        }
        self.0.answer(until.saturating_duration_since(Instant::now()))
    }
}

/// The login packet: user `app`, no password, database `dw`.
fn login() -> Vec<u8> {
    // Long password, with a database, protocol 4.1, transactions, secure connection.
    let flags: u32 = 1 | 8 | 1 << 9 | 1 << 13 | 1 << 15;
    let mut login = flags.to_le_bytes().to_vec();
    login.extend_from_slice(&(16u32 << 20).to_le_bytes());
    login.push(45);
    login.extend_from_slice(&[0; 23]);
    login.extend_from_slice(b"app\0\0dw\0");
    login
}

fn is_eof(packet: &[u8]) -> bool {
    packet.first() == Some(&0xfe) && packet.len() < 9
}

static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// A statement's id: 16 hex digits, new with every request.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst) + 1;
    let mixed = (number ^ unix_ms() << 20).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{:016x}", mixed ^ mixed >> 29)
}

/// A statement with its fields. `more` holds further fields, each with a comma ahead.
pub fn statement(kind: &str, id: &str, timeout_ms: u64, work_ms: u64, group: u32, more: &str) -> String {
    format!(
        "/* kind={kind},req={id},timeout={timeout_ms},ms={work_ms}.0,space=32{more} */ \
         SELECT a, b, c FROM sales_{group}.orders WHERE n = {work_ms}"
    )
}

// ---- the gateway ----

/// Sends a signal to a process that the case started.
pub fn signal(pid: u32, name: &str) {
    let status = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status();
    if !status.is_ok_and(|status| status.success()) {
        cannot_run(&format!("kill -{name} failed"));
    }
}

/// A gateway that the line `run` of the deploy file started.
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    pub pid: u32,
    child: Child,
    folder: PathBuf,
}

/// What a gateway is told.
pub struct Configuration<'a> {
    pub name: &'a str,
    pub address: SocketAddr,
    pub journal: SocketAddr,
    pub known: String,
    pub settings: String,
    /// The operator's settings file, as JSON.
    pub own: Option<String>,
}

/// The repository's folder, where the scripts start the cases.
pub fn run_line() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|error| cannot_run(&error.to_string()));
    text.lines()
        .find_map(|line| line.strip_prefix("run = \""))
        .and_then(|rest| rest.rsplit_once('"'))
        .map(|(line, _)| line.to_owned())
        .unwrap_or_else(|| cannot_run("the deploy file has no line `run`"))
}

/// A free port of 127.0.0.1. Ports of one case differ.
pub fn free_address() -> SocketAddr {
    static TAKEN: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let mut taken = TAKEN.lock().unwrap();
        if !taken.contains(&address.port()) {
            taken.push(address.port());
            return address;
        }
    }
}

impl Gateway {
    /// Starts a gateway and waits until it answers COM_PING.
    pub fn start(configuration: &Configuration, log_folder: &Path) -> Gateway {
        let folder = std::env::temp_dir().join(format!("review-{}-{}-{}", std::process::id(), configuration.name, unix_ms()));
        fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let file = folder.join("config.json");
        let text = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"seed\":\"{:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
             \"journal\":\"{}\",\"known\":{},\"settings\":{}}}",
            configuration.name,
            configuration.address,
            unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(configuration.address.port()),
            configuration.journal,
            configuration.known,
            configuration.settings,
        );
        fs::write(&file, text).unwrap();
        let mut line = run_line();
        if let Some(own) = &configuration.own {
            let own_file = folder.join("own.json");
            fs::write(&own_file, own).unwrap();
            line += &format!(" --own {}", own_file.display());
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(log_folder.join(format!("{}.log", configuration.name)))
            .unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &line])
            .env("PROXY_CONFIG", &file)
            .env("PROXY_NAME", configuration.name)
            .env("PROXY_LISTEN", configuration.address.to_string())
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&error.to_string()));
        let mut gateway = Gateway {
            name: configuration.name.to_owned(),
            address: configuration.address,
            pid: child.id(),
            child,
            folder,
        };
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Ok(Some(status)) = gateway.child.try_wait() {
                cannot_run(&format!("{} ended at its start: {status}", gateway.name));
            }
            if Client::connect(gateway.address).is_ok_and(|mut client| client.ping()) {
                return gateway;
            }
            sleep_ms(50);
        }
        cannot_run("a gateway is not ready after 30 s")
    }

    /// Sends a signal: TERM, KILL, STOP, CONT or HUP.
    pub fn signal(&self, name: &str) {
        signal(self.pid, name);
    }

    /// Whether the process has ended; its status as text.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The folder of the case: the program's only argument.
pub fn case_folder() -> PathBuf {
    PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder is given")))
}

/// A folder for the gateways' logs, made anew below the temporary folder of the run.
pub fn log_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-logs-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
    folder
}
