//! Results kept for clients that come back: so many bytes for each customer, so that one customer's results push out
//! only its own; the oldest leave first.

use std::collections::BTreeMap;

use crate::message::StatementId;

/// A result's pages, as they came from the engine.
pub type Pages = Vec<serde_bytes::ByteBuf>;

struct Result {
    tenant: u16,
    pages: Pages,
    serial: u64,
}

pub struct ResultCache {
    /// Emptied as the statement is forgotten, and by newer results of the same customer.
    results: BTreeMap<StatementId, Result>,
    /// By customer: its results in the order they came, and their bytes.
    lines: BTreeMap<u16, (BTreeMap<u64, StatementId>, usize)>,
    most_bytes: usize,
    serial: u64,
}

/// A result costs at least so much beside its pages.
const OVERHEAD: usize = 128;

fn weight(pages: &Pages) -> usize {
    OVERHEAD + pages.iter().map(|page| page.len() + 24).sum::<usize>()
}

impl ResultCache {
    /// `most_bytes` for each customer.
    pub fn new(most_bytes: usize) -> ResultCache {
        ResultCache {
            results: BTreeMap::new(),
            lines: BTreeMap::new(),
            most_bytes,
            serial: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.results.len()
    }

    pub fn is_empty(&self) -> bool {
        self.results.is_empty()
    }

    pub fn bytes(&self) -> usize {
        self.lines.values().map(|line| line.1).sum()
    }

    /// False: larger than all that the customer may have.
    pub fn put(&mut self, id: StatementId, tenant: u16, pages: Pages) -> bool {
        self.drop_one(id);
        let bytes = weight(&pages);
        if bytes > self.most_bytes {
            return false;
        }
        while self
            .lines
            .get(&tenant)
            .is_some_and(|line| line.1 + bytes > self.most_bytes)
        {
            let oldest = self
                .lines
                .get(&tenant)
                .and_then(|line| line.0.first_key_value().map(|(_, &id)| id));
            let Some(oldest) = oldest else { break };
            self.drop_one(oldest);
        }
        self.serial += 1;
        let line = self.lines.entry(tenant).or_default();
        line.0.insert(self.serial, id);
        line.1 += bytes;
        self.results.insert(
            id,
            Result {
                tenant,
                pages,
                serial: self.serial,
            },
        );
        true
    }

    pub fn get(&self, id: StatementId) -> Option<&Pages> {
        self.results.get(&id).map(|result| &result.pages)
    }

    pub fn drop_one(&mut self, id: StatementId) {
        let Some(result) = self.results.remove(&id) else {
            return;
        };
        if let Some(line) = self.lines.get_mut(&result.tenant) {
            line.0.remove(&result.serial);
            line.1 -= weight(&result.pages);
        }
    }
}
