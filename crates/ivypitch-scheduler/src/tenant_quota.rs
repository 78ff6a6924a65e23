//! Tenant quotas: one token bucket per tenant, refilled at this gateway's share of the tenant's
//! quota.

use crate::deployment::Tenant;
use ivypitch_types::{Nanos, secs_from_nanos};

/// Capacity of a token bucket in seconds of its refill rate.
const QUOTA_BURST_S: f64 = 1.5;

struct TokenBucket {
    tokens: f64,
    refilled_at: Nanos,
    /// This gateway's share of the tenant's quota, 0 to 1.
    quota_share: f64,
}

impl TokenBucket {
    /// Refills at `rate` tokens per second up to `capacity`, then takes one token if there is one.
    fn try_take(&mut self, now: Nanos, rate: f64, capacity: f64) -> bool {
        let refill = rate * secs_from_nanos(now - self.refilled_at);
        self.tokens = (self.tokens + refill).min(capacity);
        self.refilled_at = now;
        let is_taken = self.tokens >= 1.0;
        self.tokens -= f64::from(is_taken);
        is_taken
    }
}

/// The token buckets of all tenants, indexed by tenant.
#[derive(Default)]
pub(crate) struct TenantQuotas(Vec<TokenBucket>);

impl TenantQuotas {
    /// Creates full buckets with an equal share for each gateway.
    pub fn new(tenants: &[Tenant], gateways: usize, now: Nanos) -> Self {
        let bucket = |tenant: &Tenant| TokenBucket {
            tokens: tenant.quota_per_second * QUOTA_BURST_S,
            refilled_at: now,
            quota_share: 1.0 / gateways as f64,
        };
        TenantQuotas(tenants.iter().map(bucket).collect())
    }

    /// Sets this gateway's share of the tenant's quota. An unknown tenant is ignored.
    pub fn set_quota_share(&mut self, tenant: usize, share: f64) {
        if let Some(bucket) = self.0.get_mut(tenant) {
            bucket.quota_share = share;
        }
    }

    /// Takes a token for a statement that arrives now. Returns whether the statement is within its
    /// tenant's quota; an unknown tenant has no limit.
    pub fn try_take(&mut self, now: Nanos, tenants: &[Tenant], tenant: usize) -> bool {
        let Some(bucket) = self.0.get_mut(tenant) else {
            return true;
        };
        let rate = tenants[tenant].quota_per_second * bucket.quota_share;
        bucket.try_take(now, rate, (rate * QUOTA_BURST_S).max(1.0))
    }
}
