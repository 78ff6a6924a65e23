//! Assigns an index to each engine id of the endpoint list.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use ivypitch_types::EngineIndex;

/// The known engine ids and their indices.
#[derive(Default)]
pub struct EngineIds {
    /// Engine ids by index; `None` marks a free index.
    ids: Vec<Option<String>>,
    indices: HashMap<String, EngineIndex>,
}

impl EngineIds {
    /// Returns the index of the engine with this id. An unknown id gets the lowest free index.
    pub fn index_of(&mut self, id: &str) -> EngineIndex {
        if let Some(&index) = self.indices.get(id) {
            return index;
        }
        let index = self.free_index();
        self.ids[index.0] = Some(id.to_owned());
        self.indices.insert(id.to_owned(), index);
        index
    }

    fn free_index(&mut self) -> EngineIndex {
        if let Some(index) = self.ids.iter().position(Option::is_none) {
            return EngineIndex(index);
        }
        self.ids.push(None);
        EngineIndex(self.ids.len() - 1)
    }

    /// Frees the indices of all engines that are no longer referenced.
    pub fn retain(&mut self, is_referenced: impl Fn(EngineIndex) -> bool) {
        for (index, slot) in self.ids.iter_mut().enumerate() {
            if let Some(id) = slot.take_if(|_| !is_referenced(EngineIndex(index))) {
                self.indices.remove(&id);
            }
        }
    }
}

/// Hash of an engine id, equal in all gateways. Messages between gateways identify engines by it.
pub fn engine_id_hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
