//! Messages between the actors of a gateway, and the handles used to answer them.

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
    /// The statement of the attempt.
    pub statement: StatementIndex,
    /// Serial number of the statement. It distinguishes statements that had the same index.
    pub serial: u64,
    /// Number of the attempt among those of its statement, starting at 0.
    pub number: u32,
    /// The engine to which the attempt is sent.
    pub engine: EngineIndex,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The outcome reported to the scheduler.
    pub outcome: Outcome,
    /// The cost that the engine measured, if its response contains it.
    pub measured_cost: Option<MeasuredCost>,
    /// The load report in the engine's response; empty without one.
    pub load_report: Vec<f32>,
    /// The result of a completed attempt.
    pub rows: Option<Rows>,
}

impl AttemptEnd {
    /// Creates an end with an outcome and nothing else, for an attempt without a final response.
    pub fn without_answer(outcome: Outcome) -> AttemptEnd {
        AttemptEnd {
            outcome,
            measured_cost: None,
            load_report: Vec::new(),
            rows: None,
        }
    }
}

/// Measured cost of an attempt at its engine.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct MeasuredCost {
    /// CPU time over all threads, in milliseconds.
    pub work_ms: f64,
    /// Peak memory use, in MB.
    pub peak_mb: f64,
}

/// A statement as its client sent it, with the indices of its workload and tenant in the settings.
#[derive(Debug)]
pub struct ClientStatement {
    /// The fields in the comment before the statement, and the statement itself.
    pub fields: Fields,
    /// Index of its workload in the settings.
    pub workload: usize,
    /// Index of its tenant in the settings.
    pub tenant: usize,
}

/// Whether a statement that no gateway knows yet may start.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StartPermission {
    /// The statement may start here.
    Granted,
    /// The gateway is shutting down, and the statement is rejected.
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
        /// When the statement was read. Its timeout starts then.
        arrived_at: Nanos,
        /// Whether the statement may start here.
        start: StartPermission,
        /// Receives the answer.
        client: ClientHandle,
    },
    /// The client of this connection no longer waits for its answer.
    ClientDisconnected {
        /// The client's connection.
        connection: u32,
    },
    /// A client requested that the statement of this connection be ended.
    KillQuery {
        /// The connection whose statement is to end.
        connection: u32,
    },
    /// An engine reported the progress of an attempt.
    AttemptProgressed {
        /// The attempt.
        key: AttemptKey,
        /// The reported progress.
        progress: AttemptProgress,
    },
    /// An attempt has ended.
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
    /// The gateway is shutting down.
    Shutdown {
        /// Deadline for the answers to all open statements.
        answer_by: Nanos,
    },
    /// All sessions have ended: the remaining statements are handed off to other gateways, which
    /// are notified that this one leaves.
    LeaveFleet {
        /// Receives whether there are other gateways, which were sent messages.
        reply: Sender<bool>,
    },
    /// The endpoint watch delivered a line that other gateways may not have yet.
    WatchLineRead {
        /// The event, if the line contained one that is new to this gateway.
        event: Option<WatchEventLine>,
    },
    /// A client requested this gateway's view of the fleet.
    ShowFleet {
        /// Receives the view as JSON; empty without coordination among gateways.
        reply: Sender<String>,
    },
    /// The membership changed, or a message from another gateway arrived.
    PeerEvent(PeerEvent),
    /// The operators' configuration file was reloaded and has new budgets for the teams.
    ReloadBudgets {
        /// The complete new budgets.
        budgets: Box<Budgets>,
    },
    /// A client requested the statements in the teams' queues.
    ShowQueue {
        /// Limits the rows to the statement with this id; `None` for all statements.
        statement_id: Option<u64>,
        /// Receives the rows.
        reply: Sender<Vec<QueueRow>>,
    },
}

/// An event of the endpoint watch, as it was read.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct WatchEventLine {
    /// Position of the event in the sequence of all events.
    pub position: u64,
    /// The line with its line end.
    pub line: Bytes,
}

/// One row of the answer to `SHOW QUEUE`.
#[derive(Debug)]
pub struct QueueRow {
    /// The statement's id as the client sent it.
    pub statement_id: String,
    /// Index of the statement's team, which is its tenant.
    pub team: usize,
    /// Index of its workload.
    pub workload: usize,
    /// The statement's position in its queue; `None` once it is released to the scheduler.
    pub queued: Option<QueuedStatement>,
}

/// Delivers the answer to a statement's client.
pub struct ClientHandle {
    /// Accepts one answer.
    pub answer: Sender<Answer>,
    /// The state of the client's connection; `None` if no client waits at this gateway.
    pub presence: Option<Rc<ClientPresence>>,
}

impl ClientHandle {
    /// Creates the handle of a statement without a client at this gateway: ownership stores the
    /// clients that wait for its answer.
    pub fn absent() -> ClientHandle {
        let (answer, _) = async_channel::bounded(1);
        ClientHandle {
            answer,
            presence: None,
        }
    }

    /// Sends the answer. Does nothing if the session has ended.
    pub fn send(&self, answer: Answer) {
        let _ = self.answer.try_send(answer);
    }
}

/// Shows whether the client of an open statement still waits for its answer.
///
/// The check looks at the socket itself, so that a disconnect or a further command counts as soon
/// as it arrives, even before the session or the scheduler reads it.
pub struct ClientPresence {
    /// The client's connection; dropped when its session ends.
    pub stream: Weak<Async<TcpStream>>,
    /// Set when the session finds that its client no longer waits.
    pub has_disconnected: Cell<bool>,
}

impl ClientPresence {
    /// Returns whether the client has neither closed the connection nor sent anything after its
    /// statement.
    pub fn is_waiting(&self) -> bool {
        if self.has_disconnected.get() {
            return false;
        }
        let Some(stream) = self.stream.upgrade() else {
            return false;
        };
        let peek_result = stream.get_ref().peek(&mut [0]);
        peek_result.is_err_and(|error| {
            matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
        })
    }
}

/// The answer to a client's statement, which gets exactly one.
#[derive(Debug)]
pub enum Answer {
    /// The statement completed.
    Completed(Rows),
    /// The statement was rejected and did not run.
    Rejected {
        /// How long the client should wait before it retries the statement; 0 for no advice.
        retry_after: Nanos,
    },
    /// The statement failed and may have run.
    Aborted,
    /// The statement completed earlier, and its result is no longer cached.
    ResultNotCached,
    /// Another open statement has the same id.
    DuplicateId,
    /// A client ended the statement with `KILL QUERY`.
    Killed,
}

/// A message to an attempt.
pub enum AttemptMessage {
    /// The statement's priority at the engine has changed.
    Priority(u8),
    /// The attempt must be cancelled at the engine.
    Cancel,
    /// Another gateway takes the attempt over: this task ends without cancelling it at the engine.
    Detach,
}
