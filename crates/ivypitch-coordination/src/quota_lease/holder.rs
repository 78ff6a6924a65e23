//! Holder side of quota leases: the leases that this member holds.

use ivypitch_types::{MemberId, Nanos, SECOND};

use super::{ExpiringLease, HeldLease, HeldLeaseState, PendingRequest, QuotaLeases};
use crate::message::{LeaseGrant, LeaseRequest, RequestId};

/// Time within which a reply of a reachable grantor is expected.
const RESPONSE_TIMEOUT: Nanos = SECOND * 3 / 10;

impl QuotaLeases {
    /// Creates a request to `grantor` for a new lease, or to extend one.
    pub fn request(
        &mut self,
        now: Nanos,
        grantor: MemberId,
        units: u32,
        extends: Option<RequestId>,
    ) -> LeaseRequest {
        self.advance(now);
        self.last_request_id.0 += 1;
        let request = self.last_request_id;
        let pending = PendingRequest {
            grantor,
            requested_at: self.latest_time,
            extends,
        };
        self.pending_requests.insert(request, pending);
        LeaseRequest {
            request,
            units,
            extends,
        }
    }

    /// Handles a grant. Returns false if it answers no pending request, or if the lease that it
    /// extends is no longer held.
    pub fn on_grant(&mut self, now: Nanos, grantor: MemberId, grant: LeaseGrant) -> bool {
        self.advance(now);
        let Some(request) = self
            .pending_requests
            .get(&grant.request)
            .copied()
            .filter(|request| request.grantor == grantor)
        else {
            return false;
        };
        self.pending_requests.remove(&grant.request);
        let lease = HeldLease {
            grantor,
            lease: grant.lease,
        };
        let expires_at = request.requested_at + self.holder_duration;
        if request.extends == Some(grant.lease) {
            // If the lease was released or expired in the meantime, the grantor waits for the
            // extended lease to expire.
            let Some(held) = self.held.get_mut(&lease) else {
                return false;
            };
            held.expires_at = held.expires_at.max(expires_at);
            return true;
        }
        let is_new = grant.lease == grant.request;
        if is_new {
            // No unit of a new lease counts as spent here: the grantor leases out no unit that was
            // spent within the spend window.
            let units = grant.units;
            self.held
                .insert(lease, HeldLeaseState { units, expires_at });
        }
        is_new
    }

    /// Stops using leases, the ones that expire first, as long as at least `units_to_keep` held
    /// units remain. Returns the leases to release at their grantors.
    pub fn release_down_to(&mut self, now: Nanos, units_to_keep: u32) -> Vec<HeldLease> {
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
            if held_units.saturating_sub(units) < units_to_keep {
                continue;
            }
            held_units -= units;
            self.remove_held(lease);
            released.push(lease);
        }
        released
    }

    /// Stops using a lease that the grantor revokes. Returns false if it is not held.
    pub fn on_revoke(&mut self, now: Nanos, grantor: MemberId, lease: RequestId) -> bool {
        self.advance(now);
        let lease = HeldLease { grantor, lease };
        let is_held = self.held.contains_key(&lease);
        if is_held {
            self.remove_held(lease);
        }
        is_held
    }

    /// Removes a request that the grantor rejected.
    pub fn on_rejection(&mut self, request: RequestId) {
        self.pending_requests.remove(&request);
    }

    /// Whether this member holds the lease.
    pub fn is_holding(&self, grantor: MemberId, lease: RequestId) -> bool {
        self.held.contains_key(&HeldLease { grantor, lease })
    }

    /// Returns the held leases that expire within `max_remaining` and that no pending request
    /// extends.
    pub fn expiring_leases(&self, max_remaining: Nanos) -> Vec<ExpiringLease> {
        let expiring = self
            .held
            .iter()
            .filter(|(lease, held)| {
                held.expires_at <= self.latest_time + max_remaining && !self.is_extending(**lease)
            })
            .map(|(&lease, held)| ExpiringLease {
                held: lease,
                units: held.units,
            });
        expiring.collect()
    }

    /// Number of requests for new leases that are within the response timeout. A later grant is
    /// still accepted.
    pub fn awaited_request_count(&self) -> usize {
        self.pending_requests
            .values()
            .filter(|request| self.is_awaited(request))
            .count()
    }

    /// Whether a request for a new lease to this grantor is within the response timeout.
    pub fn is_requesting_from(&self, grantor: MemberId) -> bool {
        self.pending_requests
            .values()
            .any(|request| request.grantor == grantor && self.is_awaited(request))
    }

    fn is_awaited(&self, request: &PendingRequest) -> bool {
        request.extends.is_none() && self.latest_time < request.requested_at + RESPONSE_TIMEOUT
    }

    fn is_extending(&self, lease: HeldLease) -> bool {
        self.pending_requests
            .values()
            .any(|request| request.grantor == lease.grantor && request.extends == Some(lease.lease))
    }

    fn remove_held(&mut self, lease: HeldLease) {
        self.held.remove(&lease);
        // A later grant that extends the lease must not find a pending request.
        self.pending_requests.retain(|_, request| {
            request.extends != Some(lease.lease) || request.grantor != lease.grantor
        });
    }
}
