//! Results cached for clients that come back. Every tenant has its own budget in bytes, so that its results evict only
//! each other; the oldest go first.

use std::collections::BTreeMap;

use crate::message::StatementId;

/// A result's pages, as they came from the engine.
pub type Pages = Vec<serde_bytes::ByteBuf>;

/// Memory of a cached result beside its pages.
const ENTRY_OVERHEAD_BYTES: usize = 128;
const PAGE_OVERHEAD_BYTES: usize = 24;

struct CachedResult {
    tenant: u16,
    pages: Pages,
    sequence: u64,
}

#[derive(Default)]
struct TenantResults {
    /// By sequence number, so the oldest comes first.
    by_age: BTreeMap<u64, StatementId>,
    bytes: usize,
}

/// Cached results by statement, bounded by tenant.
pub struct ResultCache {
    /// An entry leaves when its statement is forgotten or newer results of its tenant need the space.
    results: BTreeMap<StatementId, CachedResult>,
    tenants: BTreeMap<u16, TenantResults>,
    max_bytes_per_tenant: usize,
    last_sequence: u64,
}

impl ResultCache {
    /// An empty cache that holds up to `max_bytes_per_tenant` for each tenant.
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

    /// Whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.results.is_empty()
    }

    /// Bytes of all cached results, with their overhead.
    pub fn bytes(&self) -> usize {
        self.tenants.values().map(|tenant| tenant.bytes).sum()
    }

    /// Caches a result and evicts older ones of the same tenant as needed. A result that is larger than the tenant's
    /// whole budget is not cached.
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

    /// Drops a result.
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
