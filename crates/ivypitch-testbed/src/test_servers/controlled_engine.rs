//! An engine whose statements complete when a test asks for it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::engine::{Call, FakeEngine, Reply, response};
use super::waiting::EventLog;

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
    rejects_starts: bool,
    /// Ids of the queries that were started, in order; without those that were rejected.
    accepted_starts: Vec<u64>,
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
        if call.has_method("POST") && self.rejects_starts {
            return response(503, "Srv-Untouched: 1\r\n", "");
        }
        if call.has_method("GET") && self.closes_polls {
            return Reply::Close;
        }
        if call.has_method("POST") {
            let completed = (number >= 1 << 32).then(|| vec![format!("{id}\tb\tc\n")]);
            self.queries.entry(number).or_insert(completed);
            self.accepted_starts.push(number);
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

    /// While enabled, the engine is full: starts are rejected and do not run.
    pub fn set_starts_rejected(&self, is_enabled: bool) {
        let mut queries = self.shared.lock().unwrap();
        queries.rejects_starts = is_enabled;
        queries.accepted_starts.clear();
    }

    /// Ids of the queries that have started since the engine was last full, in order.
    pub fn accepted_starts(&self) -> Vec<u64> {
        self.shared.lock().unwrap().accepted_starts.clone()
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
