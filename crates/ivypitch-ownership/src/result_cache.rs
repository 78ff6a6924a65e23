//! Results cached for clients that return. Every tenant has its own budget in bytes, so that its
//! results evict only each other, oldest first.

use std::collections::BTreeMap;

use crate::message::StatementId;

/// A result's pages as received from the engine.
pub type Pages = Vec<serde_bytes::ByteBuf>;

/// Memory of a cached result in addition to its pages.
const ENTRY_OVERHEAD_BYTES: usize = 128;
/// Memory of a cached page in addition to its contents.
const PAGE_OVERHEAD_BYTES: usize = 24;

struct CachedResult {
    tenant: u16,
    pages: Pages,
    sequence: u64,
}

#[derive(Default)]
struct TenantResults {
    /// By sequence number, oldest first.
    by_age: BTreeMap<u64, StatementId>,
    bytes: usize,
}

/// Cached results by statement, bounded per tenant.
pub struct ResultCache {
    /// Entries are removed when their statement is removed or newer results of the tenant need the
    /// space.
    results: BTreeMap<StatementId, CachedResult>,
    tenants: BTreeMap<u16, TenantResults>,
    max_bytes_per_tenant: usize,
    last_sequence: u64,
}

impl ResultCache {
    /// Creates an empty cache that holds up to `max_bytes_per_tenant` for each tenant.
    pub fn new(max_bytes_per_tenant: usize) -> ResultCache {
        ResultCache {
            results: BTreeMap::new(),
            tenants: BTreeMap::new(),
            max_bytes_per_tenant,
            last_sequence: 0,
        }
    }

    /// Number of cached results.
    pub fn len(&self) -> usize {
        self.results.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.results.is_empty()
    }

    /// Bytes of all cached results, including overhead.
    pub fn bytes(&self) -> usize {
        self.tenants.values().map(|tenant| tenant.bytes).sum()
    }

    /// Caches a result and evicts older ones of the same tenant as needed. A result larger than the
    /// tenant's whole budget is not cached.
    pub fn insert(&mut self, id: StatementId, tenant: u16, pages: Pages) {
        self.remove(id);
        let bytes = result_bytes(&pages);
        if bytes > self.max_bytes_per_tenant {
            return;
        }
        while let Some(oldest) = self.oldest_if_over_budget(tenant, bytes) {
            self.remove(oldest);
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let tenant_results = self.tenants.entry(tenant).or_default();
        tenant_results.by_age.insert(sequence, id);
        tenant_results.bytes += bytes;
        let result = CachedResult {
            tenant,
            pages,
            sequence,
        };
        self.results.insert(id, result);
    }

    /// The result's pages, if they are cached.
    pub fn get(&self, id: StatementId) -> Option<&Pages> {
        self.results.get(&id).map(|result| &result.pages)
    }

    /// Removes a result.
    pub fn remove(&mut self, id: StatementId) {
        let Some(result) = self.results.remove(&id) else {
            return;
        };
        if let Some(tenant_results) = self.tenants.get_mut(&result.tenant) {
            tenant_results.by_age.remove(&result.sequence);
            tenant_results.bytes -= result_bytes(&result.pages);
        }
    }

    fn oldest_if_over_budget(&self, tenant: u16, added_bytes: usize) -> Option<StatementId> {
        let tenant_results = self.tenants.get(&tenant)?;
        if tenant_results.bytes + added_bytes <= self.max_bytes_per_tenant {
            return None;
        }
        let (_, &oldest) = tenant_results.by_age.first_key_value()?;
        Some(oldest)
    }
}

fn result_bytes(pages: &Pages) -> usize {
    let page_bytes: usize = pages
        .iter()
        .map(|page| page.len() + PAGE_OVERHEAD_BYTES)
        .sum();
    ENTRY_OVERHEAD_BYTES + page_bytes
}
