//! Messages among the actors of a gateway.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::rc::{Rc, Weak};

use async_channel::Sender;
use async_io::Async;
use bytes::Bytes;
use ivypitch_scheduler::AttemptProgress;
use ivypitch_types::{EngineIndex, Nanos, Outcome, StatementIndex};

use ivypitch_queueing::{Budgets, Queued};

use crate::state::rows::Rows;
use crate::wire::discovery::EndpointUpdate;
use crate::wire::fields::Fields;

/// Names one execution for as long as anybody speaks of it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AttemptKey {
    pub stmt: StatementIndex,
    pub serial: u64,
    pub number: u32,
    pub engine: EngineIndex,
}

/// What came of an execution, in the module's terms.
#[derive(Debug)]
pub struct AttemptEnd {
    pub outcome: Outcome,
    /// Work in ms and memory in MB, where the answer tells them.
    pub true_cost: Option<(f64, f64)>,
    pub report: Vec<f32>,
    /// With a completed execution only.
    pub rows: Option<Rows>,
}

/// To the module's actor.
pub enum SchedulerMessage {
    StatementArrived {
        connection: u32,
        fields: Fields,
        workload: usize,
        tenant: usize,
        at: Nanos,
        client: ClientHandle,
    },
    /// The client of this connection no longer waits.
    ClientDisconnected {
        connection: u32,
    },
    KillQuery {
        connection: u32,
    },
    AttemptProgressed {
        key: AttemptKey,
        note: AttemptProgress,
    },
    AttemptEnded {
        key: AttemptKey,
        end: AttemptEnd,
    },
    EndpointsUpdated {
        update: EndpointUpdate,
    },
    /// Everything taken has to be answered by then.
    Drain {
        by: Nanos,
    },
    /// The journal said something; an event, where one was taken: its number and line.
    JournalRead {
        event: Option<(u64, Bytes)>,
    },
    /// What this gateway shares with the others, as JSON; empty where it shares nothing.
    ShowFleet {
        client: Sender<String>,
    },
    /// Of the other gateways.
    PeerEvent(super::peer_links::Peer),
    /// New budgets of the teams.
    ReloadBudgets {
        budgets: Box<Budgets>,
    },
    /// What waits in the teams' queues: all of it, or the statement of this id.
    ShowQueue {
        req: Option<u64>,
        client: Sender<Vec<QueueRow>>,
    },
}

/// A row of what waits, as a client is shown it; times in milliseconds.
#[derive(Debug)]
pub struct QueueRow {
    pub req: String,
    pub team: usize,
    pub workload: usize,
    /// `None`: it has gone on to the module.
    pub queued: Option<Queued>,
}

/// Where the answer to a statement goes.
pub struct ClientHandle {
    pub answer: Sender<Answer>,
    /// `None`: nobody waits for it here.
    pub presence: Option<Rc<ClientPresence>>,
}

impl ClientHandle {
    pub fn send(&self, answer: Answer) {
        let _ = self.answer.try_send(answer);
    }
}

/// Whether the client of an open statement still waits for it: asked of its connection itself, since what a client
/// does counts from when it came, not from when its session or the module get to it.
pub struct ClientPresence {
    pub stream: Weak<Async<TcpStream>>,
    /// Its session has seen it go.
    pub has_left: Cell<bool>,
}

impl ClientPresence {
    pub fn is_waiting(&self) -> bool {
        let Some(stream) = self.stream.upgrade().filter(|_| !self.has_left.get()) else {
            return false;
        };
        let looked = stream.get_ref().peek(&mut [0]);
        looked.is_err_and(|e| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted))
    }
}

/// To a client's session: the one answer to its statement.
#[derive(Debug)]
pub enum Answer {
    Completed(Rows),
    Rejected {
        retry_after: Nanos,
    },
    Aborted,
    /// It completed before; its rows are kept no more.
    EndedBefore,
    /// Another open statement has its id.
    IdTaken,
    Killed,
}

/// To an execution's task.
pub enum AttemptMessage {
    Priority(u8),
    Cancel,
    /// Another gateway goes on with it: it is not given up at the engine.
    Detach,
}
