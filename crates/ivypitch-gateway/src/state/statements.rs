//! The table of open statements: from arrival until the scheduler has removed them.

use std::collections::HashMap;

use async_channel::Sender;
use ivypitch_scheduler::Effect;
use ivypitch_types::{EngineIndex, Nanos, Outcome, StatementIndex};

use crate::actors::messages::{AttemptKey, AttemptMessage, ClientHandle, ClientStatement};

/// A statement's attempt that is in flight.
pub struct InFlightAttempt {
    /// Number of the attempt, counted from 0 for each statement.
    pub number: u32,
    /// The engine that runs the attempt.
    pub engine: EngineIndex,
    /// When the attempt was sent to its engine's actor.
    pub sent_at: Nanos,
    /// When the timer of the attempt fires.
    pub times_out_at: Nanos,
    /// The attempt has timed out and is being cancelled.
    pub has_timed_out: bool,
    /// Mailbox of the attempt.
    pub mailbox: Sender<AttemptMessage>,
}

/// A statement that the scheduler or its team's queue holds.
pub struct OpenStatement {
    /// Distinguishes statements that have used the same index.
    pub serial: u64,
    /// The client's connection id; 0 for a statement taken over from another gateway.
    pub connection: u32,
    /// The statement as the client sent it.
    pub statement: ClientStatement,
    /// When the statement's timeout ends.
    pub deadline: Nanos,
    /// Receives the answer; `None` once the answer was sent.
    pub client: Option<ClientHandle>,
    /// The token by which ownership identifies the client.
    pub client_token: u64,
    /// Number of attempts made.
    pub attempt_count: u32,
    /// The attempt in flight.
    pub attempt: Option<InFlightAttempt>,
    /// Memory that attempts may use, in MB; 0 lets the engine decide.
    pub memory_grant_mb: f64,
    /// Priority at the engine.
    pub priority: u8,
    /// Work of all attempts that may have run, as measured by the engines or else threads times
    /// duration.
    pub work: Option<Nanos>,
    /// Duration of the successful attempt.
    pub run_time: Option<Nanos>,
    /// What its attempts have done, as far as is known.
    pub effect: Effect,
}

impl OpenStatement {
    /// The statement id that the client chose.
    pub fn id(&self) -> u64 {
        self.statement.fields.statement_id_number()
    }

    /// Whether the client has not received its answer yet.
    pub fn is_unanswered(&self) -> bool {
        self.client.is_some()
    }
}

/// A statement to add to the table.
pub struct NewStatement {
    /// The client's connection id; 0 without a client.
    pub connection: u32,
    /// The statement as the client sent it.
    pub statement: ClientStatement,
    /// When the statement's timeout ends.
    pub deadline: Nanos,
    /// Receives the answer.
    pub client: ClientHandle,
}

/// All open statements by index, by id and by the connection that waits for the answer.
#[derive(Default)]
pub struct StatementTable {
    /// A closed statement leaves `None`, which is reused.
    entries: Vec<Option<OpenStatement>>,
    /// Indices of the `None` entries.
    free_indices: Vec<usize>,
    by_connection: HashMap<u32, StatementIndex>,
    by_id: HashMap<u64, StatementIndex>,
    last_serial: u64,
}

impl StatementTable {
    /// Opens a statement. If another open statement has the same id, the client handle is returned
    /// instead, because engines identify queries by the statement id.
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
            effect: Effect::None,
        });
        self.by_id.insert(id, index);
        self.by_connection.insert(new.connection, index);
        Ok(index)
    }

    fn free_index(&mut self) -> StatementIndex {
        if let Some(index) = self.free_indices.pop() {
            return StatementIndex(index);
        }
        self.entries.push(None);
        StatementIndex(self.entries.len() - 1)
    }

    /// Returns the statement at an index.
    pub fn get(&self, index: StatementIndex) -> Option<&OpenStatement> {
        self.entries.get(index.0)?.as_ref()
    }

    /// Returns the statement at an index.
    pub fn get_mut(&mut self, index: StatementIndex) -> Option<&mut OpenStatement> {
        self.entries.get_mut(index.0)?.as_mut()
    }

    /// Returns the statement at an index, unless the index has been reused by another statement.
    pub fn get_by_serial(&self, index: StatementIndex, serial: u64) -> Option<&OpenStatement> {
        self.get(index).filter(|open| open.serial == serial)
    }

    /// Whether this attempt is in flight.
    pub fn is_in_flight(&self, key: AttemptKey) -> bool {
        self.attempt_in_flight(key).is_some()
    }

    /// Removes an attempt that has ended from its statement. Returns `None` if the attempt was no
    /// longer in flight, or must stay in flight.
    ///
    /// An attempt that timed out and was cancelled stays, so that its statement gets no other
    /// attempt before its deadline.
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

    /// Finds the statement with an id chosen by a client.
    pub fn find_by_id(&self, id: u64) -> Option<StatementIndex> {
        self.by_id.get(&id).copied()
    }

    /// Finds the statement whose answer a connection waits for.
    pub fn find_by_connection(&self, connection: u32) -> Option<StatementIndex> {
        let index = *self.by_connection.get(&connection)?;
        let open = self.get(index)?;
        open.is_unanswered().then_some(index)
    }

    /// Replaces the handle of a client that has disconnected, unless the statement was answered.
    pub fn replace_client(&mut self, index: StatementIndex, client: ClientHandle) {
        if self.take_client(index).is_some()
            && let Some(open) = self.get_mut(index)
        {
            open.client = Some(client);
        }
    }

    /// Takes the handle for the statement's only answer; `None` if it was taken before.
    pub fn take_client(&mut self, index: StatementIndex) -> Option<ClientHandle> {
        let open = self.get_mut(index)?;
        let client = open.client.take()?;
        let connection = open.connection;
        self.by_connection.remove(&connection);
        Some(client)
    }

    /// Removes a statement and frees its index.
    pub fn close(&mut self, index: StatementIndex) {
        self.take_client(index);
        let Some(closed) = self.entries.get_mut(index.0).and_then(Option::take) else {
            return;
        };
        self.by_id.remove(&closed.id());
        self.free_indices.push(index.0);
    }
}
