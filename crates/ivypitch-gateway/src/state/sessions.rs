//! The table of client sessions, limited in size.
//!
//! A session is removed when it ends, or evicted for a new one. An evicted session closes
//! gracefully outside the table, where the number of closing sessions is limited as well.

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};

/// A session without an answer that made progress within this time may be about to send its
/// statement; otherwise it counts as inactive.
pub const RECENT_ACTIVITY_PERIOD: Duration = Duration::from_millis(200);
/// Maximum sessions that close outside the table; `RESERVED_DESCRIPTORS` covers their descriptors.
const MAX_CLOSING: usize = 24;

/// The progress of a session.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SessionStage {
    /// Connected but not logged in.
    Connected,
    /// Logged in, no statement answered yet.
    LoggedIn,
    /// At least one statement was answered.
    Answered,
}

/// The part of a session's state that the table reads; the session keeps it up to date.
pub struct SessionState {
    /// The stage that the session has reached.
    pub stage: Cell<SessionStage>,
    /// When the session reached its stage, or sent its last answer.
    pub last_progress_at: Cell<Instant>,
    /// A command was received and is not answered yet.
    pub is_busy: Cell<bool>,
    /// An incomplete message has been received.
    pub has_partial_message: Cell<bool>,
    /// The session accepts no more commands, so that closing it loses nothing.
    pub is_closing: Cell<bool>,
    /// All input that was read is handled, and the session waits for more.
    pub is_waiting_for_input: Cell<bool>,
    /// A `KILL QUERY` arrived while input of this client was unread: it ends the statement in that
    /// input, if there is one.
    pub is_kill_pending: Cell<bool>,
    /// Closing the channel requests the end of the session.
    end: (Sender<()>, Receiver<()>),
}

impl SessionState {
    /// The state of a session that has just connected.
    pub fn new(now: Instant) -> Rc<SessionState> {
        Rc::new(SessionState {
            stage: Cell::new(SessionStage::Connected),
            last_progress_at: Cell::new(now),
            is_busy: Cell::new(false),
            has_partial_message: Cell::new(false),
            is_closing: Cell::new(false),
            is_waiting_for_input: Cell::new(false),
            is_kill_pending: Cell::new(false),
            end: async_channel::bounded(1),
        })
    }

    /// Records the stage reached at `now`.
    pub fn set_stage(&self, stage: SessionStage, now: Instant) {
        self.stage.set(stage);
        self.last_progress_at.set(now);
    }

    /// Records that no input of the client is unread: the session waits for more, and a pending
    /// kill has found no statement.
    pub fn on_input_taken(&self) {
        self.is_waiting_for_input.set(true);
        self.is_kill_pending.set(false);
    }

    /// Requests the session to end once no statement is open and no input is unread.
    pub fn request_end(&self) {
        self.end.0.close();
    }

    /// Whether the end of the session was requested.
    pub fn is_end_requested(&self) -> bool {
        self.end.0.is_closed()
    }

    /// Waits until the end of the session is requested.
    pub async fn end_requested(&self) {
        let _ = self.end.1.recv().await;
    }

    fn eviction_rank(&self, now: Instant) -> EvictionRank {
        let is_recent =
            now.saturating_duration_since(self.last_progress_at.get()) < RECENT_ACTIVITY_PERIOD;
        match self.stage.get() {
            _ if self.is_closing.get() => EvictionRank::Closing,
            SessionStage::Answered if self.has_partial_message.get() => {
                EvictionRank::RecentOrReceiving
            }
            SessionStage::Answered => EvictionRank::Answered,
            _ if is_recent => EvictionRank::RecentOrReceiving,
            _ => EvictionRank::Inactive,
        }
    }
}

/// Order in which sessions are evicted: those that lose least come first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Accepts no more commands.
    Closing,
    /// Has no answer and made no recent progress.
    Inactive,
    /// Has received an answer.
    Answered,
    /// Recently connected or logged in, or in the middle of a message.
    RecentOrReceiving,
}

struct Entry<T> {
    state: Rc<SessionState>,
    session: T,
}

/// The sessions by connection id. Dropping a `T` ends its session.
pub struct SessionTable<T> {
    limit: usize,
    sessions: BTreeMap<u32, Entry<T>>,
    /// Sessions that close outside the table, oldest first. Each is removed when it ends, or
    /// dropped when the list is full.
    closing: VecDeque<(u32, Entry<T>)>,
    is_ending: bool,
}

impl<T> SessionTable<T> {
    /// Creates an empty table for up to `limit` sessions.
    pub fn new(limit: usize) -> Self {
        SessionTable {
            limit,
            sessions: BTreeMap::new(),
            closing: VecDeque::new(),
            is_ending: false,
        }
    }

    /// If the table is full, evicts the first session in `EvictionRank` order that has no open
    /// statement. `has_read_all` tells whether all input from a session's client was read. Returns
    /// false if no session can be evicted.
    pub fn evict_if_full(&mut self, now: Instant, has_read_all: impl Fn(&T) -> bool) -> bool {
        if self.sessions.len() < self.limit {
            return true;
        }
        let Some(connection) = self.find_session_to_evict(now, has_read_all) else {
            return false;
        };
        if let Some(entry) = self.sessions.remove(&connection) {
            entry.state.request_end();
            self.insert_closing(connection, entry.state, entry.session);
        }
        true
    }

    fn find_session_to_evict(
        &self,
        now: Instant,
        has_read_all: impl Fn(&T) -> bool,
    ) -> Option<u32> {
        let idle = self
            .sessions
            .iter()
            .filter(|(_, entry)| !entry.state.is_busy.get());
        let mut candidates: Vec<_> = idle
            .map(|(&connection, entry)| {
                let state = &entry.state;
                (
                    state.eviction_rank(now),
                    state.last_progress_at.get(),
                    connection,
                )
            })
            .collect();
        candidates.sort_unstable();
        let can_evict = |connection: u32| {
            self.sessions
                .get(&connection)
                .is_some_and(|entry| entry.state.is_closing.get() || has_read_all(&entry.session))
        };
        candidates
            .into_iter()
            .map(|(_, _, connection)| connection)
            .find(|&connection| can_evict(connection))
    }

    /// Adds a session that closes outside the table. At the limit, the one that has been closing
    /// for longest without an open request is dropped; if all of them have one, the new one is
    /// dropped.
    pub fn insert_closing(&mut self, connection: u32, state: Rc<SessionState>, session: T) {
        if self.closing.len() == MAX_CLOSING {
            let idle = self
                .closing
                .iter()
                .position(|(_, entry)| !entry.state.is_busy.get());
            let Some(index) = idle else {
                return;
            };
            self.closing.remove(index);
        }
        self.closing
            .push_back((connection, Entry { state, session }));
    }

    /// Adds a session; the caller has evicted another if the table was full.
    pub fn insert(&mut self, connection: u32, state: Rc<SessionState>, session: T) {
        if self.is_ending {
            state.request_end();
        }
        self.sessions.insert(connection, Entry { state, session });
    }

    /// Returns the session of a connection, whether it is in the table or closing outside it.
    pub fn get(&self, connection: u32) -> Option<(&SessionState, &T)> {
        let closing = || {
            let (_, entry) = self.closing.iter().find(|(id, _)| *id == connection)?;
            Some(entry)
        };
        let entry = self.sessions.get(&connection).or_else(closing)?;
        Some((&entry.state, &entry.session))
    }

    /// Removes a session, whether it is in the table or closing outside it.
    pub fn remove(&mut self, connection: u32) -> Option<T> {
        if let Some(entry) = self.sessions.remove(&connection) {
            return Some(entry.session);
        }
        let index = self.closing.iter().position(|(id, _)| *id == connection)?;
        self.closing.remove(index).map(|(_, entry)| entry.session)
    }

    /// Requests the end of all sessions, including those inserted from now on.
    pub fn end_all(&mut self) {
        self.is_ending = true;
        for entry in self.sessions.values() {
            entry.state.request_end();
        }
    }

    /// Whether the end of all sessions was requested.
    pub fn is_ending(&self) -> bool {
        self.is_ending
    }

    /// The number of sessions, without those closing outside the table.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether there is no session, including those closing outside the table.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty() && self.closing.is_empty()
    }
}
