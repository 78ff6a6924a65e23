//! What a run of the soak recorded: requests as clients saw them, processes, drains, and the engines' lines. All times are
//! microseconds of the system's clock.

use crate::processes::EngineEvent;

/// What became of a request, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Rows; the first column of the first one.
    Rows(String),
    /// 1040, 1203 or 1226: nothing ran.
    Rejected,
    /// Any other error.
    Failed(u16),
    /// The connection ended without an answer.
    Closed,
    /// Nothing came.
    Silence,
    /// The client closed its connection before there was an answer.
    Left,
}

/// One request on one connection.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: u64,
    pub is_load: bool,
    pub gateway: usize,
    /// When its last byte was written.
    pub sent_at: u64,
    pub timeout: u64,
    pub outcome: Outcome,
    pub ended_at: u64,
    /// When its client cancelled it or closed the connection.
    pub left_at: Option<u64>,
    /// It is the first on its connection.
    pub is_first: bool,
}

impl Request {
    /// It was open at this time.
    pub fn is_open_at(&self, at: u64) -> bool {
        self.sent_at <= at && at < self.ended_at
    }
}

/// How a gateway's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEnd {
    /// By itself, with this exit code; `None`: by a signal that nobody sent.
    Exited(Option<i32>),
    /// It was killed outright.
    Killed,
    /// It was killed after a SIGTERM, as the time for that was over.
    KilledAfterTerm,
}

/// One process of a gateway.
#[derive(Clone, Debug)]
pub struct Process {
    pub gateway: usize,
    pub spawned_at: u64,
    /// When it served; `None`: it never did.
    pub ready_at: Option<u64>,
    /// The first SIGTERM.
    pub terminated_at: Option<u64>,
    pub ended_at: Option<u64>,
    pub end: Option<ProcessEnd>,
    /// What it used as it was told to end.
    pub descriptors: u64,
    pub resident_bytes: u64,
}

/// An engine that was said to drain.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    pub engine: usize,
    pub told_at: u64,
    pub until: u64,
}

/// Bounds of each gateway's machine.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub descriptors: u64,
    pub resident_bytes: u64,
    /// SIGKILL comes so long after SIGTERM.
    pub kill_after: u64,
}

/// A run of the soak.
#[derive(Clone, Debug)]
pub struct Observations {
    pub has_peers: bool,
    /// Idle clients filled the gateways' descriptors.
    pub has_crowd: bool,
    pub limits: Limits,
    pub requests: Vec<Request>,
    pub processes: Vec<Process>,
    pub drains: Vec<Drain>,
    pub engine_lines: Vec<EngineEvent>,
}
