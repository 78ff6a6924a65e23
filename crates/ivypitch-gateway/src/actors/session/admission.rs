//! All sessions together: admission, the limit on open statements, and shutdown.

use std::cell::{Cell, RefCell};
use std::hash::Hasher;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use bytes::BytesMut;
use ivypitch_config::Names;
use ivypitch_types::Nanos;
use siphasher::sip::SipHasher13;

use super::Session;
use crate::actors::messages::{ClientPresence, SchedulerMessage};
use crate::lifecycle::bounds::Bounds;
use crate::lifecycle::clock::Clock;
use crate::state::sessions::{SessionState, SessionTable};

/// All sessions, and the number of their open statements.
pub struct Sessions {
    bounds: Bounds,
    names: Names,
    clock: Clock,
    scheduler: Sender<SchedulerMessage>,
    seed: u64,
    /// Distinguishes the connection ids of this process from those of an earlier one.
    process_salt: u32,
    last_connection_number: Cell<u32>,
    /// Sessions by connection id. A session ends when its task is dropped.
    table: RefCell<SessionTable<SessionHandle>>,
    open_statements: Cell<usize>,
    can_show_queue: Cell<bool>,
    can_show_fleet: Cell<bool>,
    has_ownership: Cell<bool>,
    /// Signalled when a session has ended.
    session_ended: (Sender<()>, Receiver<()>),
}

/// Numbers of sessions and open statements.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SessionCounts {
    /// Number of sessions, without those that are closing to make room.
    pub sessions: usize,
    /// Number of statements that were accepted and are not answered yet.
    pub open_statements: usize,
}

/// Error: no session has the connection id of a `KILL QUERY`.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct UnknownConnection;

/// A session's entry in the table.
struct SessionHandle {
    task: Task<()>,
    presence: Rc<ClientPresence>,
}

impl Sessions {
    /// Creates the table without sessions. Each session sends its statements to `scheduler`.
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
            process_salt: process_salt(seed, clock.now()),
            last_connection_number: Cell::new(0),
            table: RefCell::new(SessionTable::new(bounds.clients + bounds.surplus_sessions)),
            open_statements: Cell::new(0),
            can_show_queue: Cell::new(false),
            can_show_fleet: Cell::new(false),
            has_ownership: Cell::new(false),
            session_ended: async_channel::bounded(1),
        })
    }

    /// Sets whether `SHOW FLEET` is served.
    pub fn set_can_show_fleet(&self, can: bool) {
        self.can_show_fleet.set(can);
    }

    /// Sets whether other gateways may have run a statement that arrives here.
    pub fn set_has_ownership(&self, has: bool) {
        self.has_ownership.set(has);
    }

    /// Sets whether `SHOW QUEUE` and `SHOW WAIT` are served.
    pub fn set_can_show_queue(&self, can: bool) {
        self.can_show_queue.set(can);
    }

    /// Returns the current numbers of sessions and open statements.
    pub fn counts(&self) -> SessionCounts {
        SessionCounts {
            sessions: self.table.borrow().len(),
            open_statements: self.open_statements.get(),
        }
    }

    /// Starts a session on a new connection. At the limit, another session ends to make room; if
    /// all of them have open statements, the client receives an error. Never waits.
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
            let task = executor.spawn(session.reject());
            table.insert_closing(connection, state, SessionHandle { task, presence });
        }
    }

    fn new_session(self: &Rc<Self>, stream: Async<TcpStream>, now: Instant) -> Session {
        self.last_connection_number
            .set(self.last_connection_number.get().wrapping_add(1));
        let stream = Rc::new(stream);
        let presence = Rc::new(ClientPresence {
            stream: Rc::downgrade(&stream),
            has_disconnected: Cell::new(false),
        });
        Session {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            connection: connection_id(self.process_salt, self.last_connection_number.get()),
            connected_at: now,
            sequence: 0,
            state: SessionState::new(now),
            presence,
            sessions: self.clone(),
        }
    }

    /// Begins the shutdown: commands are rejected from now on, and each session closes as soon as
    /// no statement is open on it.
    pub fn end_all(&self) {
        self.table.borrow_mut().end_all();
    }

    /// Waits until there are no sessions, not even closing ones.
    pub async fn all_closed(&self) {
        while !self.table.borrow().is_empty() {
            let _ = self.session_ended.1.recv().await;
        }
    }

    pub(super) fn on_closed(&self, connection: u32) {
        let handle = self.table.borrow_mut().remove(connection);
        if let Some(handle) = handle {
            handle.task.detach();
        }
        let _ = self.session_ended.0.try_send(());
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
        // The scheduler's mailbox is unbounded and stays open while sessions run.
        let _ = self.scheduler.try_send(message);
    }

    /// Ends the statement of a connection. One that was sent but not read yet ends when it is read,
    /// so that the outcome does not depend on the order in which two sessions read.
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

    /// Counts a statement as open until its answer is written. Returns `None` at the limit, the
    /// number of clients. The limit is checked per statement: a session admitted while others were
    /// still closing has the same rights as any other.
    pub(super) fn open_statement(&self) -> Option<OpenStatementGuard<'_>> {
        if self.open_statements.get() >= self.bounds.clients {
            return None;
        }
        self.open_statements.set(self.open_statements.get() + 1);
        Some(OpenStatementGuard { sessions: self })
    }
}

/// Counts a statement as open until its answer is written.
pub(super) struct OpenStatementGuard<'a> {
    sessions: &'a Sessions,
}

impl Drop for OpenStatementGuard<'_> {
    fn drop(&mut self) {
        let open = &self.sessions.open_statements;
        open.set(open.get() - 1);
    }
}

/// Derives a process's salt from its seed, which is the same after a restart, and its start.
fn process_salt(seed: u64, started_at: Nanos) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(seed);
    hasher.write_u64(started_at);
    hasher.finish() as u32
}

/// Derives a connection id. Ids do not repeat within a process, and an id of an earlier process at
/// the same address is as unlikely as any other: a client that lost its process may still send a
/// `KILL QUERY` for it.
fn connection_id(process_salt: u32, number: u32) -> u32 {
    number
        .wrapping_mul(0x9e37_79b1)
        .rotate_left(15)
        .wrapping_add(process_salt)
        .wrapping_mul(0x85eb_ca6b)
        ^ process_salt.rotate_left(13)
}
