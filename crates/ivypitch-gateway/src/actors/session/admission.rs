//! All sessions together: who is admitted, how many statements may be open, and the end of all of them.

use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use bytes::BytesMut;
use ivypitch_config::Names;

use super::Session;
use crate::actors::messages::{ClientPresence, SchedulerMessage};
use crate::lifecycle::bounds::Bounds;
use crate::lifecycle::clock::Clock;
use crate::state::sessions::{SessionState, SessionTable};

/// All sessions, and the number of the statements taken and not yet answered.
pub struct Sessions {
    bounds: Bounds,
    names: Names,
    clock: Clock,
    scheduler: Sender<SchedulerMessage>,
    seed: u64,
    last_number: Cell<u32>,
    /// By connection id; a session ends as its task is dropped.
    table: RefCell<SessionTable<SessionHandle>>,
    open_statements: Cell<usize>,
    can_show_queue: Cell<bool>,
    can_show_fleet: Cell<bool>,
    has_ownership: Cell<bool>,
    /// Notified as a session has ended.
    ended: (Sender<()>, Receiver<()>),
}

/// How much is going on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SessionCounts {
    /// Sessions, without those that are closing to make room.
    pub sessions: usize,
    /// Statements that were taken and are not answered yet.
    pub open_statements: usize,
}

/// No session has the connection id of a `KILL QUERY`.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct UnknownConnection;

/// What the table holds of a session.
struct SessionHandle {
    task: Task<()>,
    presence: Rc<ClientPresence>,
}

impl Sessions {
    /// No sessions yet; each is to send its statements to `scheduler`.
    pub fn new(
        bounds: Bounds,
        names: Names,
        clock: Clock,
        scheduler: Sender<SchedulerMessage>,
        seed: u64,
    ) -> Rc<Sessions> {
        Rc::new(Sessions {
            bounds,
            names,
            clock,
            scheduler,
            seed,
            last_number: Cell::new(0),
            table: RefCell::new(SessionTable::new(bounds.clients + bounds.surplus_sessions)),
            open_statements: Cell::new(0),
            can_show_queue: Cell::new(false),
            can_show_fleet: Cell::new(false),
            has_ownership: Cell::new(false),
            ended: async_channel::bounded(1),
        })
    }

    /// Whether `SHOW FLEET` is served.
    pub fn set_can_show_fleet(&self, can: bool) {
        self.can_show_fleet.set(can);
    }

    /// Whether other gateways may have run a statement that comes here.
    pub fn set_has_ownership(&self, has: bool) {
        self.has_ownership.set(has);
    }

    /// Whether `SHOW QUEUE` and `SHOW WAIT` are served.
    pub fn set_can_show_queue(&self, can: bool) {
        self.can_show_queue.set(can);
    }

    /// How much is going on now.
    pub fn counts(&self) -> SessionCounts {
        SessionCounts {
            sessions: self.table.borrow().len(),
            open_statements: self.open_statements.get(),
        }
    }

    /// Starts a session on a new connection. Past the bound another ends for it; where all have statements open, the
    /// client is sent an error. Never waits.
    pub fn admit(self: &Rc<Self>, stream: Async<TcpStream>, executor: &LocalExecutor<'static>) {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let has_room = table.evict_if_full(now, |handle| handle.presence.is_waiting());
        let session = self.new_session(stream, now);
        let connection = session.connection;
        let state = session.state.clone();
        let presence = session.presence.clone();
        if has_room {
            let task = executor.spawn(session.serve());
            table.insert(connection, state, SessionHandle { task, presence });
        } else {
            let task = executor.spawn(session.refuse());
            table.insert_closing(connection, state, SessionHandle { task, presence });
        }
    }

    fn new_session(self: &Rc<Self>, stream: Async<TcpStream>, now: Instant) -> Session {
        self.last_number.set(self.last_number.get().wrapping_add(1));
        let stream = Rc::new(stream);
        let presence = Rc::new(ClientPresence {
            stream: Rc::downgrade(&stream),
            has_left: Cell::new(false),
        });
        Session {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            connection: connection_id(self.seed, self.last_number.get()),
            connected_at: now,
            sequence: 0,
            state: SessionState::new(now),
            presence,
            sessions: self.clone(),
        }
    }

    /// The gateway shuts down: commands are rejected from now on, and sessions close as soon as nothing is open on them.
    pub fn end_all(&self) {
        self.table.borrow_mut().end_all();
    }

    /// Returns once there are no sessions, not even closing ones.
    pub async fn all_closed(&self) {
        while !self.table.borrow().is_empty() {
            let _ = self.ended.1.recv().await;
        }
    }

    pub(super) fn on_closed(&self, connection: u32) {
        let handle = self.table.borrow_mut().remove(connection);
        if let Some(handle) = handle {
            handle.task.detach();
        }
        let _ = self.ended.0.try_send(());
    }

    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    pub(super) fn names(&self) -> &Names {
        &self.names
    }

    pub(super) fn seed(&self) -> u64 {
        self.seed
    }

    pub(super) fn max_message_bytes(&self) -> usize {
        self.bounds.message_bytes
    }

    pub(super) fn is_ending(&self) -> bool {
        self.table.borrow().is_ending()
    }

    pub(super) fn can_show_queue(&self) -> bool {
        self.can_show_queue.get()
    }

    pub(super) fn can_show_fleet(&self) -> bool {
        self.can_show_fleet.get()
    }

    pub(super) fn has_ownership(&self) -> bool {
        self.has_ownership.get()
    }

    pub(super) fn notify_scheduler(&self, message: SchedulerMessage) {
        // The scheduler's mailbox is unbounded, and open as long as sessions run.
        let _ = self.scheduler.try_send(message);
    }

    /// Ends the statement of a connection. One that its client has sent and that is not read yet ends as it is read: in
    /// which order two sessions get to read does not decide.
    pub(super) fn kill_query(&self, connection: u32) -> Result<(), UnknownConnection> {
        let table = self.table.borrow();
        let (state, handle) = table.get(connection).ok_or(UnknownConnection)?;
        let has_read_all = state.is_waiting_for_input.get() && handle.presence.is_waiting();
        if state.is_busy.get() || state.is_closing.get() || has_read_all {
            self.notify_scheduler(SchedulerMessage::KillQuery { connection });
        } else {
            state.is_kill_pending.set(true);
        }
        Ok(())
    }

    /// Counts a statement as open until its answer is written; `None`: as many are open as clients may have. Asked for
    /// each statement: a session that came while others were still closing is as good as any.
    pub(super) fn open_statement(&self) -> Option<OpenStatement<'_>> {
        if self.open_statements.get() >= self.bounds.clients {
            return None;
        }
        self.open_statements.set(self.open_statements.get() + 1);
        Some(OpenStatement { sessions: self })
    }
}

/// Stands for a statement that the scheduler has, until its answer is written.
pub(super) struct OpenStatement<'a> {
    sessions: &'a Sessions,
}

impl Drop for OpenStatement<'_> {
    fn drop(&mut self) {
        let open = &self.sessions.open_statements;
        open.set(open.get() - 1);
    }
}

/// Connection ids, each once, that a client can't guess from its own.
fn connection_id(seed: u64, number: u32) -> u32 {
    number
        .wrapping_mul(0x9e37_79b1)
        .rotate_left(15)
        .wrapping_mul(0x85eb_ca6b)
        ^ (seed >> 16) as u32
}
