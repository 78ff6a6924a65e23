//! Maps the simulator's ids to the scheduler's indices, for one instance.

use crate::codec::EngineId;
use ivypitch_types::{EngineIndex, StatementIndex};
use std::collections::HashMap;

/// The simulator's id of a statement.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Default, Debug)]
pub(crate) struct RequestId(pub u32);

/// The ids and indices of one instance.
#[derive(Default)]
pub(crate) struct Ids {
    engines: Vec<EngineId>,
    engine_indices: HashMap<EngineId, EngineIndex>,
    requests: Vec<RequestId>,
    /// Indices that the scheduler has dropped; the last one is reused first.
    free_statements: Vec<StatementIndex>,
    statement_indices: HashMap<RequestId, StatementIndex>,
}

impl Ids {
    /// Returns the index of an engine; assigns one to a new engine.
    pub fn engine_index_or_insert(&mut self, id: EngineId) -> EngineIndex {
        let next = EngineIndex(self.engines.len());
        let index = *self.engine_indices.entry(id).or_insert(next);
        if index == next {
            self.engines.push(id);
        }
        index
    }

    pub fn engine_index(&self, id: &EngineId) -> Option<EngineIndex> {
        self.engine_indices.get(id).copied()
    }

    pub fn engine(&self, index: EngineIndex) -> EngineId {
        self.engines[index.0]
    }

    /// Assigns an index to a statement that arrives.
    pub fn insert_statement(&mut self, request: RequestId) -> StatementIndex {
        let index = self.free_statements.pop().unwrap_or_else(|| {
            self.requests.push(RequestId::default());
            StatementIndex(self.requests.len() - 1)
        });
        self.requests[index.0] = request;
        self.statement_indices.insert(request, index);
        index
    }

    /// Returns the index of a statement, unless the scheduler has dropped it.
    pub fn statement_index(&self, request: RequestId) -> Option<StatementIndex> {
        self.statement_indices.get(&request).copied()
    }

    pub fn request(&self, index: StatementIndex) -> RequestId {
        self.requests[index.0]
    }

    pub fn forget_statement(&mut self, index: StatementIndex) {
        self.statement_indices.remove(&self.requests[index.0]);
        self.free_statements.push(index);
    }
}
