//! The open statements: from their arrival until the scheduler forgets them.

use std::collections::HashMap;

use async_channel::Sender;
use ivypitch_types::{EngineIndex, Nanos, Outcome, StatementIndex};

use crate::actors::messages::{AttemptKey, AttemptMessage, ClientHandle, ClientStatement};

/// The attempt of a statement that is in flight.
pub struct InFlightAttempt {
    /// Number of the attempt, from 0 on for each statement.
    pub number: u32,
    /// The engine that it is made at.
    pub engine: EngineIndex,
    /// When it was handed to its engine's actor.
    pub sent_at: Nanos,
    /// When its timer fires.
    pub times_out_at: Nanos,
    /// Its timeout has passed and it is being cancelled.
    pub has_timed_out: bool,
    /// Messages to the attempt.
    pub mailbox: Sender<AttemptMessage>,
}

/// A statement that the scheduler or its team's queue has.
pub struct OpenStatement {
    /// Tells apart the statements that have had the same index.
    pub serial: u64,
    /// The connection of its client; 0 for one that was taken over from another gateway.
    pub connection: u32,
    /// What the client sent.
    pub statement: ClientStatement,
    /// When its timeout ends.
    pub deadline: Nanos,
    /// Where the answer goes, until it has gone there.
    pub client: Option<ClientHandle>,
    /// The token under which ownership knows its client.
    pub client_token: u64,
    /// How many attempts have been made.
    pub attempt_count: u32,
    /// The attempt in flight.
    pub attempt: Option<InFlightAttempt>,
    /// Memory that its attempts may use, in MB; 0 leaves it to the engine.
    pub memory_grant_mb: f64,
    /// Its priority at the engine.
    pub priority: u8,
    /// Work of its attempts that may have run, as engines measured it or else threads times duration.
    pub work: Option<Nanos>,
    /// How long its successful attempt took.
    pub run_time: Option<Nanos>,
}

impl OpenStatement {
    /// The client's id of the statement.
    pub fn id(&self) -> u64 {
        self.statement.fields.statement_id_number()
    }

    /// Whether its client has not been answered yet.
    pub fn is_unanswered(&self) -> bool {
        self.client.is_some()
    }
}

/// A statement to be opened.
pub struct NewStatement {
    /// The connection of its client; 0 without one.
    pub connection: u32,
    /// What the client sent.
    pub statement: ClientStatement,
    /// When its timeout ends.
    pub deadline: Nanos,
    /// Where the answer goes.
    pub client: ClientHandle,
}

/// All open statements, by index, by id and by the connection that waits for the answer.
#[derive(Default)]
pub struct StatementTable {
    /// An entry is emptied as its statement is closed, and then used again.
    entries: Vec<Option<OpenStatement>>,
    free: Vec<usize>,
    by_connection: HashMap<u32, StatementIndex>,
    by_id: HashMap<u64, StatementIndex>,
    last_serial: u64,
}

impl StatementTable {
    /// Opens a statement. Engines name queries by the statement's id: where another open statement has the same one,
    /// the client is given back.
    pub fn open(&mut self, new: NewStatement) -> Result<StatementIndex, ClientHandle> {
        let id = new.statement.fields.statement_id_number();
        if self.by_id.contains_key(&id) {
            return Err(new.client);
        }
        let index = self.free_index();
        self.last_serial += 1;
        self.entries[index.0] = Some(OpenStatement {
            serial: self.last_serial,
            connection: new.connection,
            statement: new.statement,
            deadline: new.deadline,
            client: Some(new.client),
            client_token: 0,
            attempt_count: 0,
            attempt: None,
            memory_grant_mb: 0.0,
            priority: 1,
            work: None,
            run_time: None,
        });
        self.by_id.insert(id, index);
        self.by_connection.insert(new.connection, index);
        Ok(index)
    }

    fn free_index(&mut self) -> StatementIndex {
        if let Some(index) = self.free.pop() {
            return StatementIndex(index);
        }
        self.entries.push(None);
        StatementIndex(self.entries.len() - 1)
    }

    /// The statement at an index.
    pub fn get(&self, index: StatementIndex) -> Option<&OpenStatement> {
        self.entries.get(index.0)?.as_ref()
    }

    /// The statement at an index.
    pub fn get_mut(&mut self, index: StatementIndex) -> Option<&mut OpenStatement> {
        self.entries.get_mut(index.0)?.as_mut()
    }

    /// The statement at an index, unless another has taken the index since.
    pub fn get_by_serial(&self, index: StatementIndex, serial: u64) -> Option<&OpenStatement> {
        self.get(index).filter(|open| open.serial == serial)
    }

    /// Whether this attempt is in flight.
    pub fn is_in_flight(&self, key: AttemptKey) -> bool {
        self.attempt_in_flight(key).is_some()
    }

    /// Takes an attempt that has ended off its statement; `None` if it was not in flight any more, or is to stay.
    ///
    /// An attempt that timed out and has been cancelled stays: its statement takes no other until its deadline.
    pub fn take_attempt(&mut self, key: AttemptKey, outcome: Outcome) -> Option<InFlightAttempt> {
        self.attempt_in_flight(key)?;
        let slot = &mut self.get_mut(key.statement)?.attempt;
        let is_withdrawn = matches!(outcome, Outcome::Cancelled | Outcome::NotSent);
        slot.take_if(|attempt| !(is_withdrawn && attempt.has_timed_out))
    }

    fn attempt_in_flight(&self, key: AttemptKey) -> Option<&InFlightAttempt> {
        let open = self.get_by_serial(key.statement, key.serial)?;
        open.attempt
            .as_ref()
            .filter(|attempt| attempt.number == key.number)
    }

    /// The statement with a client's id.
    pub fn find_by_id(&self, id: u64) -> Option<StatementIndex> {
        self.by_id.get(&id).copied()
    }

    /// The statement whose answer the client of a connection waits for.
    pub fn find_by_connection(&self, connection: u32) -> Option<StatementIndex> {
        let index = *self.by_connection.get(&connection)?;
        let open = self.get(index)?;
        open.is_unanswered().then_some(index)
    }

    /// Takes the handle for the statement's one answer; `None` if that was taken before.
    pub fn take_client(&mut self, index: StatementIndex) -> Option<ClientHandle> {
        let open = self.get_mut(index)?;
        let client = open.client.take()?;
        let connection = open.connection;
        self.by_connection.remove(&connection);
        Some(client)
    }

    /// Forgets a statement; its index is free again.
    pub fn close(&mut self, index: StatementIndex) {
        self.take_client(index);
        let Some(closed) = self.entries.get_mut(index.0).and_then(Option::take) else {
            return;
        };
        self.by_id.remove(&closed.id());
        self.free.push(index.0);
    }
}
