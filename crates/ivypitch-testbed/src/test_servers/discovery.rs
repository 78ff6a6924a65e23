//! A discovery server with scripted lines, and its events as JSON.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use super::waiting::EventLog;

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

/// Row of the endpoint list for an engine at this address.
pub fn row_at(address: SocketAddr, id: &str, state: &str, started_ms: u64) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"z","kind":"std","cell":0,"state":"{state}","weight":1,"started_ms":{started_ms}}}"#
    )
}
