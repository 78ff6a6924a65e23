//! Leases of one quota at one member: ensures that the members never exceed a shared quota.
//!
//! Each member owns a base allocation. It keeps a reserved minimum and may lease the rest to others
//! for a limited time. At every instant each unit is usable by at most one member, whatever
//! messages are lost, delayed, duplicated or reordered, and whichever processes crash. Hence all
//! members together never use more than the quota.
//!
//! The holder counts a lease's duration from its request, which precedes the grant. The grantor
//! counts from the grant, and longer by the maximum drift between two clocks. Hence the holder
//! stops using a lease before the grantor takes it back.

mod grantor;
mod holder;

use std::collections::{BTreeMap, VecDeque};

use ivypitch_types::{Incarnation, MemberId, Nanos, ProcessId, SECOND};

use crate::config::QuotaLeaseConfig;
use crate::message::RequestId;

/// Maximum time that one step of the clock counts as elapsed. A longer step may mean that the clock
/// was set or the process suspended.
const MAX_CLOCK_STEP: Nanos = SECOND;

/// Identifies a lease that this member granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantedLease {
    /// The process that holds it.
    pub holder: ProcessId,
    /// Id of the lease, assigned by the holder.
    pub lease: RequestId,
}

/// Identifies a lease that this member holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeldLease {
    /// The member that granted it.
    pub grantor: MemberId,
    /// Id of the lease, assigned by this member.
    pub lease: RequestId,
}

/// A held lease that expires soon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiringLease {
    /// The lease.
    pub held: HeldLease,
    /// Units of the lease.
    pub units: u32,
}

/// Units by which the usable units differ from the base allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeasedUnits {
    /// Units leased to other members.
    pub granted: u32,
    /// Units leased from other members.
    pub held: u32,
    /// Own units that are not usable yet: after a restart, leases that the previous process granted
    /// may still be in use.
    pub withheld: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedLeaseState {
    units: u32,
    /// Expiry, in elapsed time.
    expires_at: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLeaseState {
    units: u32,
    /// Expiry, by this member's clock.
    expires_at: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    grantor: MemberId,
    requested_at: Nanos,
    /// The lease to extend; `None`: a new lease is requested.
    extends: Option<RequestId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SpentUnits {
    /// Time of spending, in elapsed time.
    spent_at: Nanos,
    units: u32,
}

/// One member's leases of one quota.
///
/// Times are those of the member's own clock. Every entry point that takes the time first advances
/// the state to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaLeases {
    member: MemberId,
    base_units: u32,
    reserved_units: u32,
    spend_window: Nanos,
    grantor_duration: Nanos,
    holder_duration: Nanos,
    /// The latest time that was passed in.
    latest_time: Nanos,
    /// Time since the start. One step of the clock counts as at most [`MAX_CLOCK_STEP`], because
    /// the clock may have been set.
    elapsed: Nanos,
    /// Until this elapsed time, leases granted by this member's previous process may be in use.
    recovery_ends_at: Nanos,
    /// Granted leases. Removed when released and when expired.
    granted: BTreeMap<GrantedLease, GrantedLeaseState>,
    /// Latest request of each member; a request that is not newer is a duplicate.
    latest_requests: BTreeMap<MemberId, (Incarnation, RequestId)>,
    /// Held leases. Removed when released and when expired.
    held: BTreeMap<HeldLease, HeldLeaseState>,
    /// Own requests. Removed on the reply, and when a lease granted for it would have expired.
    pending_requests: BTreeMap<RequestId, PendingRequest>,
    last_request_id: RequestId,
    /// Units that were spent, or passed from one member to another, within the spend window.
    spent_units: VecDeque<SpentUnits>,
    spent_in_window: u32,
}

impl QuotaLeases {
    /// Creates the leases of a process that starts at `now`.
    pub fn new(member: MemberId, config: &QuotaLeaseConfig, now: Nanos) -> QuotaLeases {
        let base_units = config.base_units(member);
        let mut leases = QuotaLeases {
            member,
            base_units,
            reserved_units: config.reserved_units(member),
            spend_window: config.own_spend_window(),
            grantor_duration: config.grantor_duration(),
            holder_duration: config.holder_duration(),
            latest_time: now,
            elapsed: 0,
            recovery_ends_at: config.grantor_duration(),
            granted: BTreeMap::new(),
            latest_requests: BTreeMap::new(),
            held: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            last_request_id: RequestId(0),
            spent_units: VecDeque::new(),
            spent_in_window: 0,
        };
        // The previous process may have spent its whole allocation just before it ended.
        leases.record_spent(base_units);
        leases
    }

    /// Base allocation of this member, in units.
    pub fn base_units(&self) -> u32 {
        self.base_units
    }

    /// Units that this member never leases out.
    pub fn reserved_units(&self) -> u32 {
        self.reserved_units
    }

    /// Units by which the usable units differ from the base allocation.
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

    /// Units that this member may use, as of the latest time that was passed in.
    pub fn usable_units(&self) -> u32 {
        let leased = self.leased_units();
        self.base_units - leased.granted - leased.withheld + leased.held
    }

    /// Usable units that were not spent within the spend window.
    pub fn unspent_units(&self) -> u32 {
        self.usable_units().saturating_sub(self.spent_in_window)
    }

    /// Advances the time to `now` and removes expired leases, requests and spent units. Must be
    /// called before decisions that read the state.
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

    /// Spends units if enough are unspent within the spend window. Returns whether they were spent.
    pub fn try_spend(&mut self, now: Nanos, units: u32) -> bool {
        self.advance(now);
        let is_allowed = units <= self.unspent_units();
        if is_allowed {
            self.record_spent(units);
        }
        is_allowed
    }

    fn is_recovering(&self) -> bool {
        self.elapsed < self.recovery_ends_at
    }

    fn granted_units(&self) -> u32 {
        self.granted.values().map(|granted| granted.units).sum()
    }

    fn held_units(&self) -> u32 {
        self.held.values().map(|held| held.units).sum()
    }

    fn advance_clock(&mut self, now: Nanos) {
        let step = now.saturating_sub(self.latest_time);
        self.elapsed += step.min(MAX_CLOCK_STEP);
        self.latest_time = self.latest_time.max(now);
    }

    /// Removes expired granted leases and returns their units.
    fn expire_granted(&mut self) -> u32 {
        let elapsed = self.elapsed;
        let units_before = self.granted_units();
        self.granted
            .retain(|_, granted| elapsed < granted.expires_at);
        units_before - self.granted_units()
    }

    fn expire_held(&mut self) {
        let latest_time = self.latest_time;
        self.held.retain(|_, held| latest_time < held.expires_at);
    }

    fn expire_requests(&mut self) {
        let latest_time = self.latest_time;
        let holder_duration = self.holder_duration;
        self.pending_requests
            .retain(|_, request| latest_time < request.requested_at + holder_duration);
    }

    fn expire_spent(&mut self) {
        while let Some(oldest) = self.spent_units.front()
            && oldest.spent_at + self.spend_window <= self.elapsed
        {
            self.spent_in_window -= oldest.units;
            self.spent_units.pop_front();
        }
    }

    fn record_spent(&mut self, units: u32) {
        if units > 0 && self.spend_window > 0 {
            let spent_at = self.elapsed;
            self.spent_units.push_back(SpentUnits { spent_at, units });
            self.spent_in_window += units;
        }
    }
}
