//! The sessions that are there, up to their bound. A place is emptied as its session ends, or for another. One that
//! has to make room closes in order, beside the table; few do so at a time.

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};

/// One that has come just now may be about to ask; one that has done nothing for longer is silent.
pub const FRESH: Duration = Duration::from_millis(200);
/// So many close beside the table; the descriptors kept for that are `DESCRIPTORS_KEPT`'s.
const MOST_CLOSING: usize = 24;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum SessionStage {
    /// Connected, perhaps logged in, with no statement answered.
    Nothing,
    LoggedIn,
    Answered,
}

/// How far a session is; the session itself keeps it up to date.
pub struct SessionState {
    pub stage: Cell<SessionStage>,
    pub since: Cell<Instant>,
    /// A command has been taken and not been answered yet.
    pub busy: Cell<bool>,
    /// Part of a message is there.
    pub has_begun: Cell<bool>,
    /// It takes nothing more: nobody loses by its being closed.
    pub is_over: Cell<bool>,
    end: (Sender<()>, Receiver<()>),
}

impl SessionState {
    pub fn new(now: Instant) -> Rc<SessionState> {
        Rc::new(SessionState {
            stage: Cell::new(SessionStage::Nothing),
            since: Cell::new(now),
            busy: Cell::new(false),
            has_begun: Cell::new(false),
            is_over: Cell::new(false),
            end: async_channel::bounded(1),
        })
    }

    pub fn has(&self, stage: SessionStage, now: Instant) {
        self.stage.set(stage);
        self.since.set(now);
    }

    /// It is to end once nothing of its client's is open or unread.
    pub fn end(&self) {
        self.end.0.close();
    }

    pub fn is_to_end(&self) -> bool {
        self.end.0.is_closed()
    }

    pub async fn told_to_end(&self) {
        let _ = self.end.1.recv().await;
    }

    /// Who loses least by being closed: those that are over, the silent, then those that have their answer, then the
    /// newly come and those that are in the middle of a message.
    fn rank(&self, now: Instant) -> (u8, Instant) {
        let since = self.since.get();
        let fresh = now.saturating_duration_since(since) < FRESH;
        let rank = match self.stage.get() {
            _ if self.is_over.get() => 0,
            SessionStage::Answered if self.has_begun.get() => 3,
            SessionStage::Answered => 2,
            _ if fresh => 3,
            _ => 1,
        };
        (rank, since)
    }
}

struct Entry<T> {
    state: Rc<SessionState>,
    session: T,
}

/// `T` is what ends the session as it is dropped.
pub struct SessionTable<T> {
    bound: usize,
    sessions: BTreeMap<u32, Entry<T>>,
    /// Emptied by their end, or by the next ones. The oldest first.
    closing: VecDeque<(u32, Entry<T>)>,
    is_ending: bool,
}

impl<T> SessionTable<T> {
    pub fn new(bound: usize) -> Self {
        SessionTable {
            bound,
            sessions: BTreeMap::new(),
            closing: VecDeque::new(),
            is_ending: false,
        }
    }

    /// Where there is no more room, tells the session to end that loses least and has nothing open; `is_quiet` tells
    /// whether none of what its client sent is unread. False: all have.
    pub fn make_room(&mut self, now: Instant, is_quiet: impl Fn(&T) -> bool) -> bool {
        if self.sessions.len() < self.bound {
            return true;
        }
        let idle = self
            .sessions
            .iter()
            .filter(|(_, entry)| !entry.state.busy.get());
        let mut idle: Vec<_> = idle
            .map(|(&connection, e)| (e.state.rank(now), connection))
            .collect();
        idle.sort_unstable();
        let over = |e: &Entry<T>| e.state.is_over.get();
        let quiet = |&(_, c): &(_, u32)| {
            self.sessions
                .get(&c)
                .is_some_and(|e| over(e) || is_quiet(&e.session))
        };
        let Some((_, connection)) = idle.into_iter().find(quiet) else {
            return false;
        };
        if let Some(entry) = self.sessions.remove(&connection) {
            entry.state.end();
            self.close_beside(connection, entry.state, entry.session);
        }
        true
    }

    /// Closes beside the table. Past the bound the one is dropped that has had the longest time for that; where a
    /// request came on all of them as they were to close, this one is.
    pub fn close_beside(&mut self, connection: u32, state: Rc<SessionState>, session: T) {
        if self.closing.len() == MOST_CLOSING {
            let Some(at) = self.closing.iter().position(|(_, e)| !e.state.busy.get()) else {
                return;
            };
            self.closing.remove(at);
        }
        self.closing
            .push_back((connection, Entry { state, session }));
    }

    pub fn insert(&mut self, connection: u32, state: Rc<SessionState>, session: T) {
        if self.is_ending {
            state.end();
        }
        self.sessions.insert(connection, Entry { state, session });
    }

    pub fn remove(&mut self, connection: u32) -> Option<T> {
        if let Some(entry) = self.sessions.remove(&connection) {
            return Some(entry.session);
        }
        let at = self
            .closing
            .iter()
            .position(|(number, _)| *number == connection)?;
        self.closing.remove(at).map(|(_, entry)| entry.session)
    }

    /// All sessions end, and those that come from now on.
    pub fn end_all(&mut self) {
        self.is_ending = true;
        self.sessions.values().for_each(|entry| entry.state.end());
    }

    pub fn is_ending(&self) -> bool {
        self.is_ending
    }

    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// None is there, not even one that closes.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty() && self.closing.is_empty()
    }
}
