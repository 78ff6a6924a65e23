//! Ids of engines and the indices that stand for them.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use ivypitch::interface::EngineIx;

/// Grows with the engines ever listed, as the module's own table does; a start begins from nothing.
#[derive(Default)]
pub struct EngineIds {
    ids: Vec<String>,
    index: HashMap<String, usize>,
}

impl EngineIds {
    pub fn index_of(&mut self, id: &str) -> EngineIx {
        if let Some(&ix) = self.index.get(id) {
            return EngineIx(ix);
        }
        self.ids.push(id.to_owned());
        self.index.insert(id.to_owned(), self.ids.len() - 1);
        EngineIx(self.ids.len() - 1)
    }

    pub fn id(&self, ix: EngineIx) -> &str {
        &self.ids[ix.0]
    }
}

/// The id as a number, the same at every gateway.
pub fn id_as_number(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
