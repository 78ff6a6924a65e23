//! Messages among the actors of a gateway, and the handles through which they are answered.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::rc::{Rc, Weak};

use async_channel::Sender;
use async_io::Async;
use bytes::Bytes;
use ivypitch_queueing::{Budgets, QueuedStatement};
use ivypitch_scheduler::AttemptProgress;
use ivypitch_types::{EngineIndex, Nanos, Outcome, StatementIndex};

use super::peer_links::PeerEvent;
use crate::state::rows::Rows;
use crate::wire::discovery::EndpointUpdate;
use crate::wire::fields::Fields;

/// Identifies one attempt for the lifetime of the process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AttemptKey {
    /// The statement that the attempt is made for.
    pub statement: StatementIndex,
    /// Serial number of the statement: tells apart the statements that have had the same index.
    pub serial: u64,
    /// Number of the attempt, from 0 on for each statement.
    pub number: u32,
    /// The engine that the attempt is made at.
    pub engine: EngineIndex,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The outcome that the scheduler is told.
    pub outcome: Outcome,
    /// What the engine measured, where its answer says so.
    pub measured_cost: Option<MeasuredCost>,
    /// The load report of the engine's answer; empty without one.
    pub load_report: Vec<f32>,
    /// The result of a completed attempt.
    pub rows: Option<Rows>,
}

impl AttemptEnd {
    /// An end of which nothing but the outcome is known.
    pub fn without_answer(outcome: Outcome) -> AttemptEnd {
        AttemptEnd {
            outcome,
            measured_cost: None,
            load_report: Vec::new(),
            rows: None,
        }
    }
}

/// What an attempt has cost its engine.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct MeasuredCost {
    /// Processor time over all threads, in milliseconds.
    pub work_ms: f64,
    /// Largest memory in use, in MB.
    pub peak_mb: f64,
}

/// A statement as its client sent it, with its workload and tenant looked up in the settings.
#[derive(Debug)]
pub struct ClientStatement {
    /// The fields ahead of the statement and the statement itself.
    pub fields: Fields,
    /// Index of its workload in the settings.
    pub workload: usize,
    /// Index of its tenant in the settings.
    pub tenant: usize,
}

/// What may become of a statement that no gateway knows yet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StartPermission {
    /// It may start here.
    Granted,
    /// The gateway shuts down: it is rejected.
    ShuttingDown,
}

/// A message to the scheduler's actor.
pub enum SchedulerMessage {
    /// A client sent a statement.
    StatementArrived {
        /// The client's connection.
        connection: u32,
        /// The statement.
        statement: ClientStatement,
        /// When it was read; its timeout starts here.
        arrived_at: Nanos,
        /// Whether it may start here.
        start: StartPermission,
        /// Where the answer goes.
        client: ClientHandle,
    },
    /// The client of this connection does not wait for its answer any more.
    ClientDisconnected {
        /// The client's connection.
        connection: u32,
    },
    /// A client asked to end the statement of this connection.
    KillQuery {
        /// The connection whose statement is to end.
        connection: u32,
    },
    /// An engine reported how far an attempt has come.
    AttemptProgressed {
        /// The attempt.
        key: AttemptKey,
        /// What the engine reported.
        progress: AttemptProgress,
    },
    /// An attempt is over.
    AttemptEnded {
        /// The attempt.
        key: AttemptKey,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The endpoint list has changed.
    EndpointsUpdated {
        /// The change.
        update: EndpointUpdate,
    },
    /// The gateway shuts down.
    Shutdown {
        /// All open statements are answered by then.
        answer_by: Nanos,
    },
    /// All sessions have ended: other gateways are to go on with what is left.
    LeaveFleet {
        /// Gets whether there are other gateways that were sent anything.
        reply: Sender<bool>,
    },
    /// The watch on the endpoint list delivered a line, which other gateways may not have yet.
    WatchLineRead {
        /// The event, where the line was one that this gateway did not have.
        event: Option<WatchEventLine>,
    },
    /// A client asked for this gateway's view of the fleet.
    ShowFleet {
        /// Gets the view as JSON; empty without coordination among gateways.
        reply: Sender<String>,
    },
    /// The membership or a message of the other gateways changed something.
    PeerEvent(PeerEvent),
    /// The operators' file sets new budgets for the teams.
    ReloadBudgets {
        /// All of the new budgets.
        budgets: Box<Budgets>,
    },
    /// A client asked for the statements in the teams' queues.
    ShowQueue {
        /// Only the statement with this id; `None` for all.
        statement_id: Option<u64>,
        /// Gets the rows.
        reply: Sender<Vec<QueueRow>>,
    },
}

/// An event of the watch on the endpoint list, as it was read.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct WatchEventLine {
    /// Its number.
    pub position: u64,
    /// Its line, with the line end.
    pub line: Bytes,
}

/// One statement in the answer to `SHOW QUEUE`.
#[derive(Debug)]
pub struct QueueRow {
    /// The statement's id as its client wrote it.
    pub statement_id: String,
    /// Index of its team, which is its tenant.
    pub team: usize,
    /// Index of its workload.
    pub workload: usize,
    /// Its place in the queue; `None` once the scheduler has it.
    pub queued: Option<QueuedStatement>,
}

/// Where the answer to a statement goes.
pub struct ClientHandle {
    /// Takes one answer.
    pub answer: Sender<Answer>,
    /// `None`: no client waits at this gateway.
    pub presence: Option<Rc<ClientPresence>>,
}

impl ClientHandle {
    /// Sends the answer. Does nothing if the session is over.
    pub fn send(&self, answer: Answer) {
        let _ = self.answer.try_send(answer);
    }
}

/// Tells whether the client of an open statement still waits for it.
///
/// It looks at the connection itself: what a client does counts from the moment it arrives, not from when its session or
/// the scheduler get to read it.
pub struct ClientPresence {
    /// The client's connection; gone once its session has ended.
    pub stream: Weak<Async<TcpStream>>,
    /// Set once the session knows that its client does not wait any more.
    pub has_left: Cell<bool>,
}

impl ClientPresence {
    /// Whether the client has neither closed the connection nor sent anything since its statement.
    pub fn is_waiting(&self) -> bool {
        if self.has_left.get() {
            return false;
        }
        let Some(stream) = self.stream.upgrade() else {
            return false;
        };
        let peeked = stream.get_ref().peek(&mut [0]);
        peeked.is_err_and(|error| {
            matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
        })
    }
}

/// The one answer to a client's statement.
#[derive(Debug)]
pub enum Answer {
    /// The statement completed.
    Completed(Rows),
    /// The statement did not run.
    Rejected {
        /// How long the client should wait before it sends the statement again; 0 says nothing.
        retry_after: Nanos,
    },
    /// The statement failed and may have run.
    Aborted,
    /// The statement completed before, and its result is not cached any more.
    EndedBefore,
    /// Another open statement has the same id.
    IdTaken,
    /// A client ended the statement.
    Killed,
}

/// A message to an attempt.
pub enum AttemptMessage {
    /// The statement's priority at the engine has changed.
    Priority(u8),
    /// The attempt is to be cancelled at the engine.
    Cancel,
    /// Another gateway goes on with the attempt: this one ends without cancelling it at the engine.
    Detach,
}
