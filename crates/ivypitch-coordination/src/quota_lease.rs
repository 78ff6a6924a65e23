//! Leases of one quota as one member sees them: the safety of quota sharing.
//!
//! Each member owns a base allocation. It keeps a reserved minimum and may lease the rest to others for a limited time.
//! At every instant each unit is usable by at most one member, whatever messages are lost, delayed, duplicated or
//! reordered, and whichever processes crash; so all members together never use more than the quota.
//!
//! The holder counts a lease's duration from its request, which precedes the grant; the grantor counts from the grant,
//! and longer by what two clocks may run apart. So the holder stops using a lease before the grantor takes it back.

use std::collections::{BTreeMap, VecDeque};

use ivypitch_types::{Incarnation, MemberId, Nanos, ProcessId, SECOND};

use crate::config::QuotaLeaseConfig;
use crate::message::{LeaseGrant, LeaseRequest, RequestId};

/// A clock that steps further than this at once may have been set or suspended: only so much counts as elapsed.
const MAX_CLOCK_STEP: Nanos = SECOND;
/// A reachable grantor has replied by then.
const RESPONSE_TIMEOUT: Nanos = SECOND * 3 / 10;

/// Names a lease that this member granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantedLease {
    /// The process that holds it.
    pub holder: ProcessId,
    /// Its id, given by the holder.
    pub lease: RequestId,
}

/// Names a lease that this member holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeldLease {
    /// The member that granted it.
    pub grantor: MemberId,
    /// Its id, given by this member.
    pub lease: RequestId,
}

/// A held lease that expires soon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiringLease {
    /// Which lease.
    pub held: HeldLease,
    /// Its units.
    pub units: u32,
}

/// Where the units are that differ from the base allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeasedUnits {
    /// Leased to others.
    pub granted: u32,
    /// Leased from others.
    pub held: u32,
    /// Not usable yet: after a restart, leases that the previous process granted may still be in use.
    pub withheld: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Granted {
    units: u32,
    /// In elapsed time.
    expires_at: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    units: u32,
    expires_at: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    grantor: MemberId,
    requested_at: Nanos,
    /// The lease that it would extend.
    extends: Option<RequestId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SpentUnits {
    /// In elapsed time.
    at: Nanos,
    units: u32,
}

/// One member's leases of one quota.
///
/// Times are those of the member's own clock. Every entry point first brings the state up to the time it is given.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaLeases {
    member: MemberId,
    base_units: u32,
    reserved_units: u32,
    spend_window: Nanos,
    grantor_duration: Nanos,
    holder_duration: Nanos,
    /// The latest time seen.
    latest: Nanos,
    /// Time that has certainly passed since the start, whatever the clock did.
    elapsed: Nanos,
    /// In elapsed time: until then, leases granted by this member's previous process may be in use.
    recovered_at: Nanos,
    /// Removed when released and when expired.
    granted: BTreeMap<GrantedLease, Granted>,
    /// The latest request of each member: one that is not newer is a duplicate.
    latest_requests: BTreeMap<MemberId, (Incarnation, RequestId)>,
    /// Removed when released and when expired.
    held: BTreeMap<HeldLease, Held>,
    /// Removed with the reply, and when a lease granted for it would have expired.
    pending: BTreeMap<RequestId, PendingRequest>,
    last_request: RequestId,
    /// Units spent within the window, and units that changed hands within it.
    spent: VecDeque<SpentUnits>,
    spent_in_window: u32,
}

impl QuotaLeases {
    /// The leases of a process that starts `now`.
    pub fn new(member: MemberId, config: &QuotaLeaseConfig, now: Nanos) -> QuotaLeases {
        let base_units = config.base_units(member);
        let mut leases = QuotaLeases {
            member,
            base_units,
            reserved_units: config.reserved_units(member),
            spend_window: config.own_spend_window(),
            grantor_duration: config.grantor_duration(),
            holder_duration: config.holder_duration(),
            latest: now,
            elapsed: 0,
            recovered_at: config.grantor_duration(),
            granted: BTreeMap::new(),
            latest_requests: BTreeMap::new(),
            held: BTreeMap::new(),
            pending: BTreeMap::new(),
            last_request: RequestId(0),
            spent: VecDeque::new(),
            spent_in_window: 0,
        };
        // The previous process may have spent its whole allocation a moment ago.
        leases.record_spent(base_units);
        leases
    }

    /// Units that belong to this member.
    pub fn base_units(&self) -> u32 {
        self.base_units
    }

    /// Units that this member never leases out.
    pub fn reserved_units(&self) -> u32 {
        self.reserved_units
    }

    /// How the usable units differ from the base allocation.
    pub fn leased_units(&self) -> LeasedUnits {
        LeasedUnits {
            granted: self.granted_units(),
            held: self.held_units(),
            withheld: if self.is_recovering() {
                self.base_units - self.reserved_units
            } else {
                0
            },
        }
    }

    /// Units that this member may use, as of the latest time seen.
    pub fn usable_units(&self) -> u32 {
        let leased = self.leased_units();
        self.base_units - leased.granted - leased.withheld + leased.held
    }

    /// Usable units that were not spent within the window.
    pub fn unspent_units(&self) -> u32 {
        self.usable_units().saturating_sub(self.spent_in_window)
    }

    /// Removes what has expired. To be called before decisions that read the state.
    pub fn advance(&mut self, now: Nanos) {
        let was_recovering = self.is_recovering();
        self.advance_clock(now);
        let mut regained_units = self.expire_granted();
        if was_recovering && !self.is_recovering() {
            regained_units += self.base_units - self.reserved_units;
        }
        self.record_spent(regained_units);
        self.expire_held();
        self.expire_requests();
        self.expire_spent();
    }

    /// Spends units of the window if there are enough.
    pub fn try_spend(&mut self, now: Nanos, units: u32) -> bool {
        self.advance(now);
        let is_allowed = units <= self.unspent_units();
        if is_allowed {
            self.record_spent(units);
        }
        is_allowed
    }

    // As a grantor.

    /// Units that could be leased out now if this member keeps so many for itself.
    pub fn leasable_units(&self, keep: u32) -> u32 {
        if self.is_recovering() {
            return 0;
        }
        let own_units = self.base_units - self.granted_units();
        let spare_units = own_units.saturating_sub(keep.max(self.reserved_units));
        // A unit that was spent within the window is not leased out: its holder could spend it again.
        if self.spend_window > 0 {
            spare_units.min(own_units.saturating_sub(self.spent_in_window))
        } else {
            spare_units
        }
    }

    /// Answers a lease request. `None`: nothing is granted, or the request is a duplicate.
    pub fn on_request(
        &mut self,
        now: Nanos,
        from: ProcessId,
        request: LeaseRequest,
        keep: u32,
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
            Some(lease) => self.extend(lease, request.request, keep),
            None => self.grant(from, request, keep),
        }
    }

    /// Extends a lease unless this member needs all of it; then it expires as it would have.
    fn extend(&mut self, lease: GrantedLease, request: RequestId, keep: u32) -> Option<LeaseGrant> {
        let own_units = self.base_units - self.granted_units();
        let missing_units = keep.max(self.reserved_units).saturating_sub(own_units);
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

    fn grant(&mut self, holder: ProcessId, request: LeaseRequest, keep: u32) -> Option<LeaseGrant> {
        let units = request.units.min(self.leasable_units(keep));
        if units == 0 {
            return None;
        }
        let lease = GrantedLease {
            holder,
            lease: request.request,
        };
        let expires_at = self.elapsed + self.grantor_duration;
        self.granted.insert(lease, Granted { units, expires_at });
        Some(LeaseGrant {
            request: request.request,
            lease: request.request,
            units,
        })
    }

    /// The holder no longer uses this lease.
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

    /// Leases to revoke, the largest first, until so many units would return.
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

    // As a holder.

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

    // The parts of the above.

    fn is_recovering(&self) -> bool {
        self.elapsed < self.recovered_at
    }

    fn granted_units(&self) -> u32 {
        self.granted.values().map(|granted| granted.units).sum()
    }

    fn held_units(&self) -> u32 {
        self.held.values().map(|held| held.units).sum()
    }

    fn is_awaited(&self, request: &PendingRequest) -> bool {
        request.extends.is_none() && self.latest < request.requested_at + RESPONSE_TIMEOUT
    }

    fn is_extending(&self, lease: HeldLease) -> bool {
        self.pending
            .values()
            .any(|request| request.grantor == lease.grantor && request.extends == Some(lease.lease))
    }

    fn advance_clock(&mut self, now: Nanos) {
        let step = now.saturating_sub(self.latest);
        self.elapsed += step.min(MAX_CLOCK_STEP);
        self.latest = self.latest.max(now);
    }

    /// Returns the units of the leases that have expired.
    fn expire_granted(&mut self) -> u32 {
        let elapsed = self.elapsed;
        let units_before = self.granted_units();
        self.granted
            .retain(|_, granted| elapsed < granted.expires_at);
        units_before - self.granted_units()
    }

    fn expire_held(&mut self) {
        let latest = self.latest;
        self.held.retain(|_, held| latest < held.expires_at);
    }

    fn expire_requests(&mut self) {
        let latest = self.latest;
        let holder_duration = self.holder_duration;
        self.pending
            .retain(|_, request| latest < request.requested_at + holder_duration);
    }

    fn expire_spent(&mut self) {
        while let Some(oldest) = self.spent.front()
            && oldest.at + self.spend_window <= self.elapsed
        {
            self.spent_in_window -= oldest.units;
            self.spent.pop_front();
        }
    }

    fn record_spent(&mut self, units: u32) {
        if units > 0 && self.spend_window > 0 {
            let at = self.elapsed;
            self.spent.push_back(SpentUnits { at, units });
            self.spent_in_window += units;
        }
    }

    fn drop_held(&mut self, lease: HeldLease) {
        self.held.remove(&lease);
        // A grant that extends it is to find no request.
        self.pending.retain(|_, request| {
            request.extends != Some(lease.lease) || request.grantor != lease.grantor
        });
    }
}
