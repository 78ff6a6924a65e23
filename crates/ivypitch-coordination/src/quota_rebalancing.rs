//! How one member's part of a quota follows its demand: whom it asks for how much, and what it gives back.
//!
//! A member requests leases when its expected demand exceeds what it may use, grants what it does not need itself, and
//! releases what it no longer needs. All of it is paced, so that a healed partition causes no burst of messages.

use std::collections::BTreeMap;

use ivypitch_types::{MemberId, Nanos, ProcessId, SECOND};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::config::SharedQuotaConfig;
use crate::message::{LeaseGrant, LeaseRequest, QuotaMessage, RequestId};
use crate::quota_lease::QuotaLeases;

/// How often [`QuotaRebalancer::rebalance`] is to be called.
pub(crate) const REBALANCE_INTERVAL: Nanos = SECOND / 20;
/// Time constant of the average over recorded demand.
const DEMAND_SMOOTHING: Nanos = SECOND / 4;
/// Demand is expected to grow to this multiple of what was measured.
const DEMAND_HEADROOM: f64 = 1.15;
/// Demand that falls counts as before for so long.
const DEMAND_PEAK_HOLD: Nanos = SECOND / 2;
/// Requests for new leases that are awaited at once.
const MAX_AWAITED_REQUESTS: usize = 24;
/// A member is asked again for a new lease no sooner than this.
const REQUEST_INTERVAL: Nanos = SECOND / 5;
/// A lease is extended once this fraction of its duration is left.
const EXTEND_AT_FRACTION: f64 = 0.4;
/// Surplus units are released once they amount to this fraction of the base allocation.
const MIN_RELEASE_FRACTION: f64 = 0.25;
/// What a grantor keeps above its own demand, as a fraction of its base allocation: its next statements are not to wait
/// for a revocation.
const KEEP_FRACTION: f64 = 0.05;

/// A message for another member, about the quota of the rebalancer that wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OutgoingQuotaMessage {
    pub(crate) to: MemberId,
    pub(crate) message: QuotaMessage,
}

/// What is known of a member as a grantor.
#[derive(Clone, Copy, Debug, Default)]
struct Offer {
    leasable_units: u32,
    /// When it may be asked again.
    next_request_at: Nanos,
}

/// Demand for a quota's units, used or not.
#[derive(Clone, Copy, Debug)]
struct DemandEstimate {
    /// Units recorded since the last measurement.
    recorded: f64,
    measured_at: Nanos,
    /// Units over the demand window, smoothed; or the level that was reported.
    current: f64,
    /// The highest of late.
    peak: f64,
    peak_at: Nanos,
}

impl DemandEstimate {
    fn new(now: Nanos) -> DemandEstimate {
        DemandEstimate {
            recorded: 0.0,
            measured_at: now,
            current: 0.0,
            peak: 0.0,
            peak_at: now,
        }
    }

    fn set_level(&mut self, now: Nanos, units: f64) {
        self.current = units;
        self.update_peak(now);
    }

    /// Folds what was recorded into the average.
    fn measure(&mut self, now: Nanos, window: Nanos) {
        let elapsed = now.saturating_sub(self.measured_at);
        if elapsed < REBALANCE_INTERVAL / 2 || window == 0 {
            return;
        }
        let measured = self.recorded * window as f64 / elapsed as f64;
        let weight = (elapsed as f64 / DEMAND_SMOOTHING as f64).min(1.0);
        self.current += (measured - self.current) * weight;
        self.recorded = 0.0;
        self.measured_at = now;
        self.update_peak(now);
    }

    fn update_peak(&mut self, now: Nanos) {
        if self.current >= self.peak || now >= self.peak_at + DEMAND_PEAK_HOLD {
            self.peak = self.current;
            self.peak_at = now;
        }
    }

    fn expected_units(&self) -> u32 {
        (self.peak * DEMAND_HEADROOM)
            .ceil()
            .min(f64::from(u32::MAX / 4)) as u32
    }
}

/// One quota as one member sees it: its leases and its demand.
pub(crate) struct QuotaRebalancer {
    leases: QuotaLeases,
    lease_duration: Nanos,
    demand_window: Nanos,
    demand: DemandEstimate,
    /// By grantor.
    offers: BTreeMap<MemberId, Offer>,
    /// When held leases may be released again.
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

    /// So many units would be used now, whether they are available or not.
    pub(crate) fn record_demand(&mut self, units: f64) {
        self.demand.recorded += units;
    }

    /// The demand itself, where it is known as a level.
    pub(crate) fn set_demand_level(&mut self, now: Nanos, units: f64) {
        self.demand.set_level(now, units);
    }

    /// Units that this member is likely to use.
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

    /// What others may request from this member.
    pub(crate) fn leasable_units(&self) -> u32 {
        self.leases.leasable_units(self.units_to_keep())
    }

    fn units_to_keep(&self) -> u32 {
        let margin = (f64::from(self.leases.base_units()) * KEEP_FRACTION) as u32;
        self.expected_demand_units() + margin
    }

    /// A member announced what it could lease out.
    pub(crate) fn on_offer(&mut self, member: MemberId, leasable_units: u32) {
        self.offers.entry(member).or_default().leasable_units = leasable_units;
    }

    /// A member is gone, and its offer with it. Leases to and from it expire by themselves.
    pub(crate) fn on_member_down(&mut self, member: MemberId) {
        self.offers.remove(&member);
    }

    /// Adapts the leases to the demand. `reachable`: the other members that are up, in order.
    pub(crate) fn rebalance(
        &mut self,
        now: Nanos,
        reachable: &[MemberId],
        rng: &mut ChaCha8Rng,
        outgoing: &mut Vec<OutgoingQuotaMessage>,
    ) {
        self.leases.advance(now);
        self.demand.measure(now, self.demand_window);
        let demand = self.expected_demand_units();
        let usable = self.leases.usable_units();
        if demand > usable {
            self.request_units(now, demand - usable, reachable, rng, outgoing);
            self.revoke_own_units(demand, outgoing);
        }
        let surplus = usable.saturating_sub(demand);
        self.extend_leases(now, surplus, reachable, outgoing);
        self.release_surplus(now, surplus, outgoing);
    }

    fn request_units(
        &mut self,
        now: Nanos,
        mut missing: u32,
        reachable: &[MemberId],
        rng: &mut ChaCha8Rng,
        outgoing: &mut Vec<OutgoingQuotaMessage>,
    ) {
        if reachable.is_empty() {
            return;
        }
        for (grantor, offered) in self.grantors_by_offer(now, reachable, rng) {
            if missing == 0 || self.leases.awaited_requests() >= MAX_AWAITED_REQUESTS {
                return;
            }
            // A member that announced nothing is expected to have an even share.
            let expected = if offered > 0 {
                offered
            } else {
                self.leases.base_units()
            };
            let units = missing.min(expected.max(1));
            let request = self.leases.request(now, grantor, units, None);
            self.offers.entry(grantor).or_default().next_request_at = now + REQUEST_INTERVAL;
            outgoing.push(OutgoingQuotaMessage {
                to: grantor,
                message: QuotaMessage::Request(request),
            });
            missing -= units;
        }
    }

    /// A random window of the members that may be asked now, with their offers, the largest offer first.
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
            .map(|(offered, _, member)| (member, offered))
            .collect()
    }

    /// Units of the base allocation return before any are needed from others: they need no lease.
    fn revoke_own_units(&self, demand: u32, outgoing: &mut Vec<OutgoingQuotaMessage>) {
        let base = self.leases.base_units();
        let at_hand = base - self.leases.leased_units().granted;
        let missing = demand.min(base).saturating_sub(at_hand);
        for granted in self.leases.leases_to_revoke(missing) {
            outgoing.push(OutgoingQuotaMessage {
                to: granted.holder.member,
                message: QuotaMessage::Revoke(granted.lease),
            });
        }
    }

    fn extend_leases(
        &mut self,
        now: Nanos,
        mut surplus: u32,
        reachable: &[MemberId],
        outgoing: &mut Vec<OutgoingQuotaMessage>,
    ) {
        let within = (self.lease_duration as f64 * EXTEND_AT_FRACTION) as Nanos;
        for expiring in self.leases.expiring_leases(within) {
            if surplus >= expiring.units {
                surplus -= expiring.units;
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
        surplus: u32,
        outgoing: &mut Vec<OutgoingQuotaMessage>,
    ) {
        let held = self.leases.leased_units().held;
        let base = f64::from(self.leases.base_units());
        let min_release = (base * MIN_RELEASE_FRACTION).max(1.0) as u32;
        if held == 0 || surplus < min_release || now < self.next_release {
            return;
        }
        self.next_release = now + REBALANCE_INTERVAL * 2;
        // At most half at a time.
        let keep = held.saturating_sub(surplus.min(held.div_ceil(2)));
        for released in self.leases.release_down_to(now, keep) {
            outgoing.push(OutgoingQuotaMessage {
                to: released.grantor,
                message: QuotaMessage::Release(released.lease),
            });
        }
    }

    /// Acts on another member's message; returns the reply, if any.
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
        let keep = self.units_to_keep();
        match self.leases.on_request(now, from, request, keep) {
            Some(grant) => QuotaMessage::Grant(grant),
            None => QuotaMessage::Reject {
                request: request.request,
            },
        }
    }

    /// A grant that comes too late is released, so that the grantor need not wait for its expiry. The duplicate of one
    /// that was taken must release nothing.
    fn on_grant(&mut self, now: Nanos, from: ProcessId, grant: LeaseGrant) -> Option<QuotaMessage> {
        let is_taken = self.leases.on_grant(now, from.member, grant);
        if is_taken || self.leases.holds(from.member, grant.lease) {
            return None;
        }
        Some(QuotaMessage::Release(grant.lease))
    }

    fn on_rejection(&mut self, now: Nanos, from: ProcessId, request: RequestId) {
        self.leases.on_rejection(request);
        let offer = self.offers.entry(from.member).or_default();
        offer.leasable_units = 0;
        offer.next_request_at = now + REQUEST_INTERVAL;
    }
}
