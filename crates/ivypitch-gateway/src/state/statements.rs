//! The open statements: from their arrival until the module forgets them.

use std::collections::HashMap;

use async_channel::Sender;
use ivypitch_types::{EngineIndex, Nanos, StatementIndex};

use crate::actors::messages::{AttemptMessage, ClientHandle};
use crate::wire::fields::Fields;

/// One execution that is out.
pub struct InFlightAttempt {
    pub number: u32,
    pub engine: EngineIndex,
    pub sent_at: Nanos,
    pub times_out_at: Nanos,
    /// Its time is over and it is being given up.
    pub timed_out: bool,
    pub mailbox: Sender<AttemptMessage>,
}

pub struct OpenStatement {
    /// Distinguishes the statements that held one index in turn.
    pub serial: u64,
    pub connection: u32,
    pub fields: Fields,
    pub workload: usize,
    pub tenant: usize,
    pub deadline: Nanos,
    /// Taken by the answer.
    pub client: Option<ClientHandle>,
    pub attempts: u32,
    /// What custody calls its client by.
    pub token: u64,
    pub out: Option<InFlightAttempt>,
    pub grant_mb: f64,
    pub priority: u8,
    /// Work of its executions so far that may have run: as their answers tell it, else threads times time.
    pub real: Option<Nanos>,
    /// The time of its good execution.
    pub took: Option<Nanos>,
}

/// A place is emptied as the module forgets its statement, and then used again.
#[derive(Default)]
pub struct StatementTable {
    places: Vec<Option<OpenStatement>>,
    free: Vec<usize>,
    by_connection: HashMap<u32, StatementIndex>,
    /// The ids of the statements in `places`.
    reqs: HashMap<u64, StatementIndex>,
    serial: u64,
}

impl StatementTable {
    /// `None`, and the client back, where a statement is open, or out, under the same id: at the engines the id
    /// names the query.
    pub fn open(
        &mut self,
        connection: u32,
        fields: Fields,
        (workload, tenant): (usize, usize),
        deadline: Nanos,
        client: ClientHandle,
    ) -> Result<StatementIndex, ClientHandle> {
        let req = fields.statement_id_number();
        if self.reqs.contains_key(&req) {
            return Err(client);
        }
        let ix = self.free.pop().unwrap_or_else(|| {
            self.places.push(None);
            self.places.len() - 1
        });
        self.reqs.insert(req, StatementIndex(ix));
        self.serial += 1;
        self.places[ix] = Some(OpenStatement {
            serial: self.serial,
            connection,
            fields,
            workload,
            tenant,
            deadline,
            client: Some(client),
            attempts: 0,
            token: 0,
            out: None,
            grant_mb: 0.0,
            priority: 1,
            real: None,
            took: None,
        });
        self.by_connection.insert(connection, StatementIndex(ix));
        Ok(StatementIndex(ix))
    }

    pub fn get(&mut self, ix: StatementIndex) -> Option<&mut OpenStatement> {
        self.places.get_mut(ix.0)?.as_mut()
    }

    /// As [`StatementTable::get`], unless another has taken the index since.
    pub fn get_same(&mut self, ix: StatementIndex, serial: u64) -> Option<&mut OpenStatement> {
        self.get(ix).filter(|open| open.serial == serial)
    }

    pub fn of_req(&self, req: u64) -> Option<StatementIndex> {
        self.reqs.get(&req).copied()
    }

    /// The statement of a connection that still waits for its answer.
    pub fn of_connection(&mut self, connection: u32) -> Option<StatementIndex> {
        let ix = *self.by_connection.get(&connection)?;
        self.get(ix)
            .filter(|open| open.client.is_some())
            .map(|_| ix)
    }

    /// Takes the place where the answer goes; only the first call gets it.
    pub fn answer(&mut self, ix: StatementIndex) -> Option<ClientHandle> {
        let open = self.get(ix)?;
        let client = open.client.take()?;
        let connection = open.connection;
        self.by_connection.remove(&connection);
        Some(client)
    }

    pub fn close(&mut self, ix: StatementIndex) {
        self.answer(ix);
        if let Some(open) = self.places.get_mut(ix.0).and_then(Option::take) {
            self.reqs.remove(&open.fields.statement_id_number());
            self.free.push(ix.0);
        }
    }
}
