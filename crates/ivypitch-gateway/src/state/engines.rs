//! Assigns indices to engines by their ids in the endpoint list.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use ivypitch_types::EngineIndex;

/// Ids of the known engines and their indices.
#[derive(Default)]
pub struct EngineIds {
    /// By index; `None` is free for reuse.
    ids: Vec<Option<String>>,
    indices: HashMap<String, EngineIndex>,
}

impl EngineIds {
    /// The index of the engine with this id. An id that is not known yet gets the lowest free index.
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

    /// Frees the indices of all engines that are not referenced any more.
    pub fn retain(&mut self, is_referenced: impl Fn(EngineIndex) -> bool) {
        for (index, slot) in self.ids.iter_mut().enumerate() {
            if let Some(id) = slot.take_if(|_| !is_referenced(EngineIndex(index))) {
                self.indices.remove(&id);
            }
        }
    }
}

/// Hash of an engine's id, the same in every gateway. Gateways name engines by it when they talk to each other.
pub fn engine_id_hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
