//! Waits for conditions and events, which fail the test after a timeout.

use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

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
