//! The table of sessions, up to its bound.
//!
//! A session leaves the table as it ends, or to make room for another. One that has to make room closes in order, outside
//! the table; few do so at a time.

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};

/// A session without an answer that has done something within this time may be about to send its statement; one that has
/// not is silent.
pub const RECENT_ACTIVITY_PERIOD: Duration = Duration::from_millis(200);
/// So many close outside the table; the descriptors reserved for that are `RESERVED_DESCRIPTORS`'s.
const MAX_CLOSING: usize = 24;

/// How far a session has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SessionStage {
    /// Connected, not logged in yet.
    Connected,
    /// Logged in, with no statement answered.
    LoggedIn,
    /// At least one statement was answered.
    Answered,
}

/// What the table sees of a session; the session itself keeps it up to date.
pub struct SessionState {
    /// How far it has come.
    pub stage: Cell<SessionStage>,
    /// When it came so far, or answered last.
    pub last_progress_at: Cell<Instant>,
    /// A command has been taken and not been answered yet.
    pub is_busy: Cell<bool>,
    /// Part of a message is there.
    pub has_partial_message: Cell<bool>,
    /// It takes nothing more: nobody loses by its being closed.
    pub is_closing: Cell<bool>,
    /// It has handled all that it read, and waits for more.
    pub is_waiting_for_input: Cell<bool>,
    /// A `KILL QUERY` came before all that its client had sent was read: it ends the statement among that, if there is one.
    pub is_kill_pending: Cell<bool>,
    /// Closed to request the session's end.
    end: (Sender<()>, Receiver<()>),
}

impl SessionState {
    /// Of a session that has just connected.
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

    /// It has come so far at this time.
    pub fn set_stage(&self, stage: SessionStage, now: Instant) {
        self.stage.set(stage);
        self.last_progress_at.set(now);
    }

    /// Nothing that its client sent is unread: it waits for more from now on, and a kill that came before has found no
    /// statement.
    pub fn on_input_taken(&self) {
        self.is_waiting_for_input.set(true);
        self.is_kill_pending.set(false);
    }

    /// It is to end once nothing of its client's is open or unread.
    pub fn request_end(&self) {
        self.end.0.close();
    }

    /// Whether it is to end.
    pub fn is_end_requested(&self) -> bool {
        self.end.0.is_closed()
    }

    /// Returns once it is to end.
    pub async fn end_requested(&self) {
        let _ = self.end.1.recv().await;
    }

    fn closing_rank(&self, now: Instant) -> ClosingRank {
        let is_recent =
            now.saturating_duration_since(self.last_progress_at.get()) < RECENT_ACTIVITY_PERIOD;
        match self.stage.get() {
            _ if self.is_closing.get() => ClosingRank::Over,
            SessionStage::Answered if self.has_partial_message.get() => {
                ClosingRank::RecentOrReceiving
            }
            SessionStage::Answered => ClosingRank::Answered,
            _ if is_recent => ClosingRank::RecentOrReceiving,
            _ => ClosingRank::Silent,
        }
    }
}

/// Who loses least by being closed, in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ClosingRank {
    Over,
    /// Without an answer, and has done nothing for a while.
    Silent,
    /// Has its answer.
    Answered,
    /// Newly come, or in the middle of a message.
    RecentOrReceiving,
}

struct Entry<T> {
    state: Rc<SessionState>,
    session: T,
}

/// The sessions by connection id. `T` is what ends a session as it is dropped.
pub struct SessionTable<T> {
    limit: usize,
    sessions: BTreeMap<u32, Entry<T>>,
    /// Emptied by their end, or by the next ones. The oldest first.
    closing: VecDeque<(u32, Entry<T>)>,
    is_ending: bool,
}

impl<T> SessionTable<T> {
    /// An empty table for up to `limit` sessions.
    pub fn new(limit: usize) -> Self {
        SessionTable {
            limit,
            sessions: BTreeMap::new(),
            closing: VecDeque::new(),
            is_ending: false,
        }
    }

    /// Where the table is full, requests the end of the session that loses least and has nothing open. `has_read_all` says
    /// whether none of what a session's client sent is unread. Returns false if there is no such session.
    pub fn evict_if_full(&mut self, now: Instant, has_read_all: impl Fn(&T) -> bool) -> bool {
        if self.sessions.len() < self.limit {
            return true;
        }
        let Some(connection) = self.loses_least(now, has_read_all) else {
            return false;
        };
        if let Some(entry) = self.sessions.remove(&connection) {
            entry.state.request_end();
            self.insert_closing(connection, entry.state, entry.session);
        }
        true
    }

    fn loses_least(&self, now: Instant, has_read_all: impl Fn(&T) -> bool) -> Option<u32> {
        let idle = self
            .sessions
            .iter()
            .filter(|(_, entry)| !entry.state.is_busy.get());
        let mut candidates: Vec<_> = idle
            .map(|(&connection, entry)| {
                let state = &entry.state;
                (
                    state.closing_rank(now),
                    state.last_progress_at.get(),
                    connection,
                )
            })
            .collect();
        candidates.sort_unstable();
        let can_close = |connection: u32| {
            self.sessions
                .get(&connection)
                .is_some_and(|entry| entry.state.is_closing.get() || has_read_all(&entry.session))
        };
        candidates
            .into_iter()
            .map(|(_, _, connection)| connection)
            .find(|&connection| can_close(connection))
    }

    /// Adds a session that closes outside the table. Past the bound the one is dropped that has had the longest time for
    /// that and no request; where a request came on all of them as they were to close, this one is.
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

    /// Adds a session; the caller has made room.
    pub fn insert(&mut self, connection: u32, state: Rc<SessionState>, session: T) {
        if self.is_ending {
            state.request_end();
        }
        self.sessions.insert(connection, Entry { state, session });
    }

    /// The session of this connection, whether it is in the table or closes outside.
    pub fn get(&self, connection: u32) -> Option<(&SessionState, &T)> {
        let closing = || {
            let (_, entry) = self
                .closing
                .iter()
                .find(|(number, _)| *number == connection)?;
            Some(entry)
        };
        let entry = self.sessions.get(&connection).or_else(closing)?;
        Some((&entry.state, &entry.session))
    }

    /// Removes a session, whether it is in the table or closes outside.
    pub fn remove(&mut self, connection: u32) -> Option<T> {
        if let Some(entry) = self.sessions.remove(&connection) {
            return Some(entry.session);
        }
        let index = self
            .closing
            .iter()
            .position(|(number, _)| *number == connection)?;
        self.closing.remove(index).map(|(_, entry)| entry.session)
    }

    /// Requests the end of all sessions, and of those that come from now on.
    pub fn end_all(&mut self) {
        self.is_ending = true;
        for entry in self.sessions.values() {
            entry.state.request_end();
        }
    }

    /// Whether all sessions are to end.
    pub fn is_ending(&self) -> bool {
        self.is_ending
    }

    /// The number of sessions, without those that close outside the table.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// There is none, not even one that closes outside the table.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty() && self.closing.is_empty()
    }
}
