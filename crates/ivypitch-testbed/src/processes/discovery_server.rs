//! A discovery server: sends each watcher all events after the position that it requests, and the last position ten
//! times a second.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::test_servers::endpoint_event;

/// Interval of the lines with the last position.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

type Events = Arc<(Mutex<Vec<String>>, Condvar)>;

/// A discovery server with its events; it runs until the process ends.
pub struct DiscoveryServer {
    pub address: SocketAddr,
    events: Events,
}

impl DiscoveryServer {
    /// Starts with one event, the complete endpoint list `rows`.
    pub fn start(rows: &[String]) -> std::io::Result<DiscoveryServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let events: Events = Arc::new((
            Mutex::new(vec![endpoint_event(1, true, rows)]),
            Condvar::new(),
        ));
        let shared = events.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let events = shared.clone();
                thread::spawn(move || serve_watcher(stream, &events));
            }
        });
        Ok(DiscoveryServer { address, events })
    }

    /// All events so far, as the snapshot of a configuration.
    pub fn snapshot(&self) -> String {
        let events = lock(&self.events);
        let entries: Vec<&str> = events.iter().map(|event| event.trim_end()).collect();
        format!(
            r#"{{"pos":{},"entries":[{}]}}"#,
            events.len(),
            entries.join(",")
        )
    }

    /// Appends an event: these rows have changed.
    pub fn publish(&self, rows: &[String]) {
        let mut events = lock(&self.events);
        let pos = events.len() as u64 + 1;
        events.push(endpoint_event(pos, false, rows));
        drop(events);
        self.events.1.notify_all();
    }
}

fn lock(events: &Events) -> std::sync::MutexGuard<'_, Vec<String>> {
    events
        .0
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Serves one watcher.
fn serve_watcher(mut stream: TcpStream, events: &Events) -> Option<()> {
    let mut line = String::new();
    BufReader::new(stream.try_clone().ok()?)
        .read_line(&mut line)
        .ok()?;
    let mut last: usize = line.trim().strip_prefix("tail ")?.parse().ok()?;
    loop {
        let lines = {
            let all_events = lock(events);
            let wait = events
                .1
                .wait_timeout_while(all_events, HEARTBEAT_INTERVAL, |all| all.len() <= last);
            let all_events = wait.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
            let new: String = all_events.iter().skip(last).cloned().collect();
            last = last.max(all_events.len());
            if new.is_empty() {
                format!("{last}\n")
            } else {
                new
            }
        };
        stream.write_all(lines.as_bytes()).ok()?;
    }
}
