//! Rebalancing of a quota: adapts the leases of one member to its demand.
//!
//! A member requests leases when its expected demand exceeds its usable units, grants units that it
//! does not need itself, and releases units that it no longer needs. All of it is rate-limited, so
//! that a healed partition causes no burst of messages.

use std::collections::BTreeMap;

use ivypitch_types::{MemberId, Nanos, ProcessId, SECOND};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::config::SharedQuotaConfig;
use crate::message::{LeaseGrant, LeaseRequest, QuotaMessage, RequestId};
use crate::quota_lease::QuotaLeases;

/// Time between two calls of [`QuotaRebalancer::rebalance`].
pub(crate) const REBALANCE_INTERVAL: Nanos = SECOND / 20;
/// Time constant of the moving average of the recorded demand.
const DEMAND_TIME_CONSTANT: Nanos = SECOND / 4;
/// Factor by which the expected demand exceeds the measured demand, to allow for growth.
const DEMAND_HEADROOM_FACTOR: f64 = 1.15;
/// Time for which a peak of the demand still counts after the demand has fallen.
const DEMAND_PEAK_HOLD_TIME: Nanos = SECOND / 2;
/// Maximum number of requests for new leases that await a reply at the same time.
const MAX_AWAITED_REQUESTS: usize = 24;
/// Minimum time between two requests for new leases to the same member.
const MIN_REQUEST_INTERVAL: Nanos = SECOND / 5;
/// A lease is extended once at most this fraction of its duration remains.
const EXTEND_AT_REMAINING_FRACTION: f64 = 0.4;
/// Surplus units are released once they amount to this fraction of the base allocation.
const MIN_RELEASE_FRACTION: f64 = 0.25;
/// Units that a grantor keeps beyond its own demand, as a fraction of its base allocation, so that
/// its next statements do not wait for a revocation.
const KEPT_MARGIN_FRACTION: f64 = 0.05;

/// A message to another member about the rebalancer's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OutgoingQuotaMessage {
    pub(crate) to: MemberId,
    pub(crate) message: QuotaMessage,
}

/// State of another member as a grantor.
#[derive(Clone, Copy, Debug, Default)]
struct Offer {
    leasable_units: u32,
    /// Earliest time of the next request to it.
    next_request_at: Nanos,
}

/// Estimate of the demand for a quota's units, whether they were available or not.
#[derive(Clone, Copy, Debug)]
struct DemandEstimate {
    /// Units recorded since the last measurement.
    recorded_units: f64,
    measured_at: Nanos,
    /// Smoothed units per demand window, or the level that was set.
    current_units: f64,
    /// Peak of `current_units` within [`DEMAND_PEAK_HOLD_TIME`].
    peak_units: f64,
    peak_at: Nanos,
}

impl DemandEstimate {
    fn new(now: Nanos) -> DemandEstimate {
        DemandEstimate {
            recorded_units: 0.0,
            measured_at: now,
            current_units: 0.0,
            peak_units: 0.0,
            peak_at: now,
        }
    }

    fn set_level(&mut self, now: Nanos, units: f64) {
        self.current_units = units;
        self.update_peak(now);
    }

    /// Adds the recorded units to the moving average.
    fn measure(&mut self, now: Nanos, window: Nanos) {
        let elapsed = now.saturating_sub(self.measured_at);
        if elapsed < REBALANCE_INTERVAL / 2 || window == 0 {
            return;
        }
        let measured_units = self.recorded_units * window as f64 / elapsed as f64;
        let weight = (elapsed as f64 / DEMAND_TIME_CONSTANT as f64).min(1.0);
        self.current_units += (measured_units - self.current_units) * weight;
        self.recorded_units = 0.0;
        self.measured_at = now;
        self.update_peak(now);
    }

    fn update_peak(&mut self, now: Nanos) {
        if self.current_units >= self.peak_units || now >= self.peak_at + DEMAND_PEAK_HOLD_TIME {
            self.peak_units = self.current_units;
            self.peak_at = now;
        }
    }

    fn expected_units(&self) -> u32 {
        (self.peak_units * DEMAND_HEADROOM_FACTOR)
            .ceil()
            .min(f64::from(u32::MAX / 4)) as u32
    }
}

/// Leases and demand of one quota at one member.
pub(crate) struct QuotaRebalancer {
    leases: QuotaLeases,
    lease_duration: Nanos,
    demand_window: Nanos,
    demand: DemandEstimate,
    /// Offers by grantor.
    offers: BTreeMap<MemberId, Offer>,
    /// Earliest time of the next release of held leases.
    next_release: Nanos,
}

impl QuotaRebalancer {
    pub(crate) fn new(member: MemberId, config: &SharedQuotaConfig, now: Nanos) -> QuotaRebalancer {
        QuotaRebalancer {
            leases: QuotaLeases::new(member, &config.leases, now),
            lease_duration: config.leases.lease_duration,
            demand_window: config.demand_window,
            demand: DemandEstimate::new(now),
            offers: BTreeMap::new(),
            next_release: now,
        }
    }

    pub(crate) fn leases(&self) -> &QuotaLeases {
        &self.leases
    }

    /// Records that `units` are wanted now, whether they are available or not.
    pub(crate) fn record_demand(&mut self, units: f64) {
        self.demand.recorded_units += units;
    }

    /// Sets the current demand, for a quota whose demand is known as a level.
    pub(crate) fn set_demand_level(&mut self, now: Nanos, units: f64) {
        self.demand.set_level(now, units);
    }

    /// Units that this member is expected to use.
    pub(crate) fn expected_demand_units(&self) -> u32 {
        self.demand.expected_units()
    }

    pub(crate) fn try_spend(&mut self, now: Nanos, units: u32) -> bool {
        self.record_demand(f64::from(units));
        self.leases.try_spend(now, units)
    }

    pub(crate) fn usable_units_at(&mut self, now: Nanos) -> u32 {
        self.leases.advance(now);
        self.leases.usable_units()
    }

    /// Units that other members may request from this member.
    pub(crate) fn leasable_units(&self) -> u32 {
        self.leases.leasable_units(self.units_to_keep())
    }

    fn units_to_keep(&self) -> u32 {
        let margin_units = (f64::from(self.leases.base_units()) * KEPT_MARGIN_FRACTION) as u32;
        self.expected_demand_units() + margin_units
    }

    /// Handles the announcement of the units that a member can lease out.
    pub(crate) fn on_offer(&mut self, member: MemberId, leasable_units: u32) {
        self.offers.entry(member).or_default().leasable_units = leasable_units;
    }

    /// Removes the offer of a member that is no longer reachable. Leases to and from it expire by
    /// themselves.
    pub(crate) fn on_member_down(&mut self, member: MemberId) {
        self.offers.remove(&member);
    }

    /// Adapts the leases to the demand. `reachable`: the other reachable members, in ascending
    /// order.
    pub(crate) fn rebalance(
        &mut self,
        now: Nanos,
        reachable: &[MemberId],
        rng: &mut ChaCha8Rng,
        outgoing: &mut Vec<OutgoingQuotaMessage>,
    ) {
        self.leases.advance(now);
        self.demand.measure(now, self.demand_window);
        let demand_units = self.expected_demand_units();
        let usable_units = self.leases.usable_units();
        if demand_units > usable_units {
            self.request_units(now, demand_units - usable_units, reachable, rng, outgoing);
            self.revoke_own_units(demand_units, outgoing);
        }
        let surplus_units = usable_units.saturating_sub(demand_units);
        self.extend_leases(now, surplus_units, reachable, outgoing);
        self.release_surplus(now, surplus_units, outgoing);
    }

    fn request_units(
        &mut self,
        now: Nanos,
        mut missing_units: u32,
        reachable: &[MemberId],
        rng: &mut ChaCha8Rng,
        outgoing: &mut Vec<OutgoingQuotaMessage>,
    ) {
        if reachable.is_empty() {
            return;
        }
        for (grantor, offered_units) in self.grantors_by_offer(now, reachable, rng) {
            if missing_units == 0 || self.leases.awaited_request_count() >= MAX_AWAITED_REQUESTS {
                return;
            }
            // A member without an announced offer is assumed to have an even share to lease.
            let expected_units = if offered_units > 0 {
                offered_units
            } else {
                self.leases.base_units()
            };
            let units = missing_units.min(expected_units.max(1));
            let request = self.leases.request(now, grantor, units, None);
            self.offers.entry(grantor).or_default().next_request_at = now + MIN_REQUEST_INTERVAL;
            outgoing.push(OutgoingQuotaMessage {
                to: grantor,
                message: QuotaMessage::Request(request),
            });
            missing_units -= units;
        }
    }

    /// Returns the members that may be asked now out of a random window of the reachable ones, with
    /// their offers, the largest offer first.
    fn grantors_by_offer(
        &self,
        now: Nanos,
        reachable: &[MemberId],
        rng: &mut ChaCha8Rng,
    ) -> Vec<(MemberId, u32)> {
        let mut candidates: Vec<(u32, u32, MemberId)> = Vec::new();
        let first = rng.random_range(0..reachable.len());
        for i in 0..reachable.len().min(4 * MAX_AWAITED_REQUESTS) {
            let member = reachable[(first + i) % reachable.len()];
            let offer = self.offers.get(&member).copied().unwrap_or_default();
            if offer.next_request_at <= now && !self.leases.is_requesting_from(member) {
                candidates.push((offer.leasable_units, rng.random(), member));
            }
        }
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        candidates
            .into_iter()
            .map(|(offered_units, _, member)| (member, offered_units))
            .collect()
    }

    /// Revokes leases on units of the base allocation that this member needs itself: unlike leased
    /// units, its own units need no lease that can expire.
    fn revoke_own_units(&self, demand_units: u32, outgoing: &mut Vec<OutgoingQuotaMessage>) {
        let base_units = self.leases.base_units();
        let available_base_units = base_units - self.leases.leased_units().granted;
        let missing_units = demand_units
            .min(base_units)
            .saturating_sub(available_base_units);
        for granted in self.leases.leases_to_revoke(missing_units) {
            outgoing.push(OutgoingQuotaMessage {
                to: granted.holder.member,
                message: QuotaMessage::Revoke(granted.lease),
            });
        }
    }

    fn extend_leases(
        &mut self,
        now: Nanos,
        mut surplus_units: u32,
        reachable: &[MemberId],
        outgoing: &mut Vec<OutgoingQuotaMessage>,
    ) {
        let max_remaining = (self.lease_duration as f64 * EXTEND_AT_REMAINING_FRACTION) as Nanos;
        for expiring in self.leases.expiring_leases(max_remaining) {
            if surplus_units >= expiring.units {
                surplus_units -= expiring.units;
                continue;
            }
            let grantor = expiring.held.grantor;
            if reachable.contains(&grantor) {
                let lease = Some(expiring.held.lease);
                let request = self.leases.request(now, grantor, expiring.units, lease);
                outgoing.push(OutgoingQuotaMessage {
                    to: grantor,
                    message: QuotaMessage::Request(request),
                });
            }
        }
    }

    fn release_surplus(
        &mut self,
        now: Nanos,
        surplus_units: u32,
        outgoing: &mut Vec<OutgoingQuotaMessage>,
    ) {
        let held_units = self.leases.leased_units().held;
        let base_units = f64::from(self.leases.base_units());
        let min_release = (base_units * MIN_RELEASE_FRACTION).max(1.0) as u32;
        if held_units == 0 || surplus_units < min_release || now < self.next_release {
            return;
        }
        self.next_release = now + REBALANCE_INTERVAL * 2;
        // At most half of the held units are released at a time.
        let units_to_keep = held_units.saturating_sub(surplus_units.min(held_units.div_ceil(2)));
        for released in self.leases.release_down_to(now, units_to_keep) {
            outgoing.push(OutgoingQuotaMessage {
                to: released.grantor,
                message: QuotaMessage::Release(released.lease),
            });
        }
    }

    /// Handles a message of another member and returns the reply, if any.
    pub(crate) fn on_message(
        &mut self,
        now: Nanos,
        from: ProcessId,
        message: QuotaMessage,
    ) -> Option<QuotaMessage> {
        match message {
            QuotaMessage::Request(request) => Some(self.on_request(now, from, request)),
            QuotaMessage::Grant(grant) => self.on_grant(now, from, grant),
            QuotaMessage::Reject { request } => {
                self.on_rejection(now, from, request);
                None
            }
            QuotaMessage::Release(lease) => {
                self.leases.on_release(now, from, lease);
                None
            }
            QuotaMessage::Revoke(lease) => {
                let was_held = self.leases.on_revoke(now, from.member, lease);
                was_held.then_some(QuotaMessage::Release(lease))
            }
        }
    }

    fn on_request(&mut self, now: Nanos, from: ProcessId, request: LeaseRequest) -> QuotaMessage {
        let units_to_keep = self.units_to_keep();
        match self.leases.on_request(now, from, request, units_to_keep) {
            Some(grant) => QuotaMessage::Grant(grant),
            None => QuotaMessage::Reject {
                request: request.request,
            },
        }
    }

    /// Releases a lease whose grant arrived too late, so that the grantor need not wait for its
    /// expiry. A duplicate of an accepted grant must not release the lease.
    fn on_grant(&mut self, now: Nanos, from: ProcessId, grant: LeaseGrant) -> Option<QuotaMessage> {
        let is_accepted = self.leases.on_grant(now, from.member, grant);
        if is_accepted || self.leases.is_holding(from.member, grant.lease) {
            return None;
        }
        Some(QuotaMessage::Release(grant.lease))
    }

    fn on_rejection(&mut self, now: Nanos, from: ProcessId, request: RequestId) {
        self.leases.on_rejection(request);
        let offer = self.offers.entry(from.member).or_default();
        offer.leasable_units = 0;
        offer.next_request_at = now + MIN_REQUEST_INTERVAL;
    }
}
