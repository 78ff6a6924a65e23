//! Records of a soak run: requests as seen by clients, processes, drains, and log lines of engines.
//! All times are microseconds of the system clock.

use crate::processes::EngineEvent;

/// Outcome of a request as seen by its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Rows; holds the first column of the first row.
    Rows(String),
    /// Error 1040, 1203 or 1226: nothing ran.
    Rejected,
    /// Any other error.
    Failed(u16),
    /// The connection ended without an answer.
    Closed,
    /// No answer arrived in time.
    NoAnswer,
    /// The client closed its connection before there was an answer.
    Abandoned,
}

/// One request on one connection.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: u64,
    pub is_load: bool,
    pub gateway: usize,
    /// Time at which the last byte was written.
    pub sent_at: u64,
    pub timeout: u64,
    pub outcome: Outcome,
    pub ended_at: u64,
    /// Time at which the client cancelled the request or closed the connection.
    pub abandoned_at: Option<u64>,
    /// The request is the first one on its connection.
    pub is_first: bool,
}

impl Request {
    /// The request had been sent and had not ended at this time.
    pub fn is_open_at(&self, at: u64) -> bool {
        self.sent_at <= at && at < self.ended_at
    }
}

/// How a gateway process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEnd {
    /// Exited with this code; `None`: without being told to, or by a signal that the operator did
    /// not send.
    Exited(Option<i32>),
    /// Killed by a planned SIGKILL.
    Killed,
    /// Killed after a SIGTERM because the drain time was over.
    KilledAfterTerm,
}

/// One gateway process.
#[derive(Clone, Debug)]
pub struct Process {
    pub gateway: usize,
    pub spawned_at: u64,
    /// Time at which the process was ready to serve; `None`: it never was.
    pub ready_at: Option<u64>,
    /// Time of the first SIGTERM.
    pub terminated_at: Option<u64>,
    pub ended_at: Option<u64>,
    pub end: Option<ProcessEnd>,
    /// Open descriptors at the SIGTERM.
    pub descriptors: u64,
    /// Resident memory at the SIGTERM.
    pub resident_bytes: u64,
}

/// An announced drain of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    pub engine: usize,
    pub announced_at: u64,
    pub until: u64,
}

/// Resource limits of each gateway.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub descriptors: u64,
    pub resident_bytes: u64,
    /// Time from SIGTERM to SIGKILL.
    pub kill_after: u64,
}

/// Everything recorded of a soak run.
#[derive(Clone, Debug)]
pub struct Observations {
    pub has_peers: bool,
    /// Idle client connections exhausted the descriptors of the gateways.
    pub has_idle_connections: bool,
    pub limits: Limits,
    pub requests: Vec<Request>,
    pub processes: Vec<Process>,
    pub drains: Vec<Drain>,
    pub engine_lines: Vec<EngineEvent>,
}
