//! The sessions that are there, up to their bound. A seat is emptied as its session ends, or for another.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// One that has come just now may be about to ask; one that has done nothing for longer is silent.
const FRESH: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Done {
    /// Connected, perhaps logged in, with no statement answered.
    Nothing,
    LoggedIn,
    Answered,
}

/// How far a session is; the session itself keeps it up to date.
pub struct Standing {
    pub done: Cell<Done>,
    pub since: Cell<Instant>,
    /// A command has been taken and not been answered yet.
    pub busy: Cell<bool>,
}

impl Standing {
    pub fn new(now: Instant) -> Rc<Standing> {
        Rc::new(Standing { done: Cell::new(Done::Nothing), since: Cell::new(now), busy: Cell::new(false) })
    }

    pub fn has(&self, done: Done, now: Instant) {
        self.done.set(done);
        self.since.set(now);
    }

    /// Who loses least by being closed: the silent, then those that have their answer, then the newly come.
    fn rank(&self, now: Instant) -> (u8, Instant) {
        let since = self.since.get();
        let rank = match self.done.get() {
            Done::Answered => 1,
            _ if now.saturating_duration_since(since) < FRESH => 2,
            _ => 0,
        };
        (rank, since)
    }
}

/// `T` is what ends the session as it is dropped.
pub struct Seats<T> {
    bound: usize,
    seats: BTreeMap<u32, (Rc<Standing>, T)>,
}

impl<T> Seats<T> {
    pub fn new(bound: usize) -> Self {
        Seats { bound, seats: BTreeMap::new() }
    }

    /// Where there is no more room, empties the seat whose session loses least and has nothing open. False: all
    /// have.
    pub fn make_room(&mut self, now: Instant) -> bool {
        if self.seats.len() < self.bound {
            return true;
        }
        let idle = self.seats.iter().filter(|(_, (standing, _))| !standing.busy.get());
        let least =
            idle.min_by_key(|(_, (standing, _))| standing.rank(now)).map(|(&connection, _)| connection);
        least.and_then(|connection| self.seats.remove(&connection)).is_some()
    }

    pub fn insert(&mut self, connection: u32, standing: Rc<Standing>, session: T) {
        self.seats.insert(connection, (standing, session));
    }

    pub fn remove(&mut self, connection: u32) -> Option<T> {
        Some(self.seats.remove(&connection)?.1)
    }

    pub fn len(&self) -> usize {
        self.seats.len()
    }

    pub fn is_empty(&self) -> bool {
        self.seats.is_empty()
    }

    pub fn any_busy(&self) -> bool {
        self.seats.values().any(|(standing, _)| standing.busy.get())
    }
}
