//! Leases of one quota as one member sees them: the safety of quota sharing.
//!
//! Each member owns a base allocation. It keeps a reserved minimum and may lease the rest to others for a limited time.
//! At every instant each unit is usable by at most one member, whatever messages are lost, delayed, duplicated or
//! reordered, and whichever processes crash; so all members together never use more than the quota.
//!
//! The holder counts a lease's duration from its request, which precedes the grant; the grantor counts from the grant,
//! and longer by what two clocks may run apart. So the holder stops using a lease before the grantor takes it back.

mod grantor;
mod holder;

use std::collections::{BTreeMap, VecDeque};

use ivypitch_types::{Incarnation, MemberId, Nanos, ProcessId, SECOND};

use crate::config::QuotaLeaseConfig;
use crate::message::RequestId;

/// A clock that steps further than this at once may have been set or suspended: only so much counts as elapsed.
const MAX_CLOCK_STEP: Nanos = SECOND;

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

    fn is_recovering(&self) -> bool {
        self.elapsed < self.recovered_at
    }

    fn granted_units(&self) -> u32 {
        self.granted.values().map(|granted| granted.units).sum()
    }

    fn held_units(&self) -> u32 {
        self.held.values().map(|held| held.units).sum()
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
}
