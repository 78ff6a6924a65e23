//! Leases that this member holds.

use ivypitch_types::{MemberId, Nanos, SECOND};

use super::{ExpiringLease, Held, HeldLease, PendingRequest, QuotaLeases};
use crate::message::{LeaseGrant, LeaseRequest, RequestId};

/// A reachable grantor has replied by then.
const RESPONSE_TIMEOUT: Nanos = SECOND * 3 / 10;

impl QuotaLeases {
    /// Starts a request to `grantor`: for a new lease, or to extend one.
    pub fn request(
        &mut self,
        now: Nanos,
        grantor: MemberId,
        units: u32,
        extends: Option<RequestId>,
    ) -> LeaseRequest {
        self.advance(now);
        self.last_request.0 += 1;
        let request = self.last_request;
        let pending = PendingRequest {
            grantor,
            requested_at: self.latest,
            extends,
        };
        self.pending.insert(request, pending);
        LeaseRequest {
            request,
            units,
            extends,
        }
    }

    /// Takes a grant. False: it answers no pending request, or the lease that it extends is gone.
    pub fn on_grant(&mut self, now: Nanos, grantor: MemberId, grant: LeaseGrant) -> bool {
        self.advance(now);
        let Some(request) = self
            .pending
            .get(&grant.request)
            .copied()
            .filter(|request| request.grantor == grantor)
        else {
            return false;
        };
        self.pending.remove(&grant.request);
        let lease = HeldLease {
            grantor,
            lease: grant.lease,
        };
        let expires_at = request.requested_at + self.holder_duration;
        if request.extends == Some(grant.lease) {
            // If it was released or expired in the meantime, the grantor waits for its end.
            let Some(held) = self.held.get_mut(&lease) else {
                return false;
            };
            held.expires_at = held.expires_at.max(expires_at);
            return true;
        }
        let is_new = grant.lease == grant.request;
        if is_new {
            // What was spent of it at the grantor was counted there: it leases out no spent unit.
            let units = grant.units;
            self.held.insert(lease, Held { units, expires_at });
        }
        is_new
    }

    /// Stops using leases, those that expire first, as long as at least `keep` held units remain. Returns the leases
    /// to release at their grantors.
    pub fn release_down_to(&mut self, now: Nanos, keep: u32) -> Vec<HeldLease> {
        self.advance(now);
        let mut held_units = self.held_units();
        let mut by_expiry: Vec<(Nanos, HeldLease, u32)> = self
            .held
            .iter()
            .map(|(&lease, held)| (held.expires_at, lease, held.units))
            .collect();
        by_expiry.sort_unstable();
        let mut released = Vec::new();
        for (_, lease, units) in by_expiry {
            if held_units.saturating_sub(units) < keep {
                continue;
            }
            held_units -= units;
            self.drop_held(lease);
            released.push(lease);
        }
        released
    }

    /// The grantor needs this lease back. False: it is not held.
    pub fn on_revoke(&mut self, now: Nanos, grantor: MemberId, lease: RequestId) -> bool {
        self.advance(now);
        let lease = HeldLease { grantor, lease };
        let is_held = self.held.contains_key(&lease);
        if is_held {
            self.drop_held(lease);
        }
        is_held
    }

    /// The grantor has nothing to lease.
    pub fn on_rejection(&mut self, request: RequestId) {
        self.pending.remove(&request);
    }

    /// Whether this member holds the lease.
    pub fn holds(&self, grantor: MemberId, lease: RequestId) -> bool {
        self.held.contains_key(&HeldLease { grantor, lease })
    }

    /// Held leases that expire within this duration and that no pending request extends.
    pub fn expiring_leases(&self, within: Nanos) -> Vec<ExpiringLease> {
        let expiring = self
            .held
            .iter()
            .filter(|(lease, held)| {
                held.expires_at <= self.latest + within && !self.is_extending(**lease)
            })
            .map(|(&lease, held)| ExpiringLease {
                held: lease,
                units: held.units,
            });
        expiring.collect()
    }

    /// Requests for new leases that may be answered soon. A later grant counts all the same.
    pub fn awaited_requests(&self) -> usize {
        self.pending
            .values()
            .filter(|request| self.is_awaited(request))
            .count()
    }

    /// Whether a request for a new lease to this member may be answered soon.
    pub fn is_requesting_from(&self, grantor: MemberId) -> bool {
        self.pending
            .values()
            .any(|request| request.grantor == grantor && self.is_awaited(request))
    }

    fn is_awaited(&self, request: &PendingRequest) -> bool {
        request.extends.is_none() && self.latest < request.requested_at + RESPONSE_TIMEOUT
    }

    fn is_extending(&self, lease: HeldLease) -> bool {
        self.pending
            .values()
            .any(|request| request.grantor == lease.grantor && request.extends == Some(lease.lease))
    }

    fn drop_held(&mut self, lease: HeldLease) {
        self.held.remove(&lease);
        // A grant that extends it is to find no request.
        self.pending.retain(|_, request| {
            request.extends != Some(lease.lease) || request.grantor != lease.grantor
        });
    }
}
