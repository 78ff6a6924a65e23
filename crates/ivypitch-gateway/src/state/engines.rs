//! Ids of engines and the indices that stand for them.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use ivypitch_types::EngineIndex;

/// Emptied as nothing names an engine that has gone; its index is then given to another.
#[derive(Default)]
pub struct EngineIds {
    ids: Vec<Option<String>>,
    index: HashMap<String, usize>,
}

impl EngineIds {
    pub fn index_of(&mut self, id: &str) -> EngineIndex {
        if let Some(&ix) = self.index.get(id) {
            return EngineIndex(ix);
        }
        let ix = self
            .ids
            .iter()
            .position(Option::is_none)
            .unwrap_or(self.ids.len());
        if ix == self.ids.len() {
            self.ids.push(None);
        }
        self.ids[ix] = Some(id.to_owned());
        self.index.insert(id.to_owned(), ix);
        EngineIndex(ix)
    }

    /// Drops the ids whose index nothing names any more.
    pub fn keep(&mut self, named: impl Fn(EngineIndex) -> bool) {
        for (ix, id) in self.ids.iter_mut().enumerate() {
            if let Some(id) = id.take_if(|_| !named(EngineIndex(ix))) {
                self.index.remove(&id);
            }
        }
    }
}

/// The id as a number, the same at every gateway.
pub fn engine_id_hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
