//! Grantor side of quota leases: the leases that this member grants.

use ivypitch_types::{Nanos, ProcessId};

use super::{GrantedLease, GrantedLeaseState, QuotaLeases};
use crate::message::{LeaseGrant, LeaseRequest, RequestId};

impl QuotaLeases {
    /// Units that this member can lease out now if it keeps `units_to_keep` for itself.
    pub fn leasable_units(&self, units_to_keep: u32) -> u32 {
        if self.is_recovering() {
            return 0;
        }
        let own_units = self.base_units - self.granted_units();
        let spare_units = own_units.saturating_sub(units_to_keep.max(self.reserved_units));
        // A unit that was spent within the spend window is not leased out, because its holder could
        // spend it again.
        if self.spend_window > 0 {
            spare_units.min(own_units.saturating_sub(self.spent_in_window))
        } else {
            spare_units
        }
    }

    /// Handles a lease request. Returns `None` if nothing is granted or the request is a duplicate.
    pub fn on_request(
        &mut self,
        now: Nanos,
        from: ProcessId,
        request: LeaseRequest,
        units_to_keep: u32,
    ) -> Option<LeaseGrant> {
        self.advance(now);
        let newest = (from.incarnation, request.request);
        let is_duplicate = self
            .latest_requests
            .get(&from.member)
            .is_some_and(|&latest| latest >= newest);
        if is_duplicate || from.member == self.member {
            return None;
        }
        self.latest_requests.insert(from.member, newest);
        let extended = request
            .extends
            .map(|lease| GrantedLease {
                holder: from,
                lease,
            })
            .filter(|lease| self.granted.contains_key(lease));
        match extended {
            Some(lease) => self.extend(lease, request.request, units_to_keep),
            None => self.grant(from, request, units_to_keep),
        }
    }

    /// Extends a lease unless this member needs all of its units; then it keeps its expiry.
    fn extend(
        &mut self,
        lease: GrantedLease,
        request: RequestId,
        units_to_keep: u32,
    ) -> Option<LeaseGrant> {
        let own_units = self.base_units - self.granted_units();
        let missing_units = units_to_keep
            .max(self.reserved_units)
            .saturating_sub(own_units);
        let expires_at = self.elapsed + self.grantor_duration;
        let granted = self.granted.get_mut(&lease)?;
        if missing_units >= granted.units {
            return None;
        }
        granted.expires_at = expires_at;
        Some(LeaseGrant {
            request,
            lease: lease.lease,
            units: granted.units,
        })
    }

    fn grant(
        &mut self,
        holder: ProcessId,
        request: LeaseRequest,
        units_to_keep: u32,
    ) -> Option<LeaseGrant> {
        let units = request.units.min(self.leasable_units(units_to_keep));
        if units == 0 {
            return None;
        }
        let lease = GrantedLease {
            holder,
            lease: request.request,
        };
        let expires_at = self.elapsed + self.grantor_duration;
        self.granted
            .insert(lease, GrantedLeaseState { units, expires_at });
        Some(LeaseGrant {
            request: request.request,
            lease: request.request,
            units,
        })
    }

    /// Removes a lease that the holder no longer uses.
    pub fn on_release(&mut self, now: Nanos, from: ProcessId, lease: RequestId) {
        self.advance(now);
        let lease = GrantedLease {
            holder: from,
            lease,
        };
        if let Some(granted) = self.granted.remove(&lease) {
            self.record_spent(granted.units);
        }
    }

    /// Chooses leases to revoke, the largest first, until at least `units` would be returned.
    pub fn leases_to_revoke(&self, units: u32) -> Vec<GrantedLease> {
        let mut by_size: Vec<(u32, GrantedLease)> = self
            .granted
            .iter()
            .map(|(&lease, granted)| (granted.units, lease))
            .collect();
        by_size.sort_unstable_by(|a, b| b.cmp(a));
        let mut chosen = Vec::new();
        let mut chosen_units = 0;
        for (granted_units, lease) in by_size {
            if chosen_units >= units {
                break;
            }
            chosen_units += granted_units;
            chosen.push(lease);
        }
        chosen
    }
}
