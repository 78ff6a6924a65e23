//! All shared quotas at one member.

use std::collections::BTreeMap;

use ivypitch_types::{MemberId, Nanos, ProcessId};
use rand_chacha::ChaCha8Rng;

use crate::config::{QuotaIndex, SharedQuotaConfig};
use crate::message::{QuotaEnvelope, QuotaMessage};
use crate::quota_rebalancing::{OutgoingQuotaMessage, QuotaRebalancer};
use crate::view::QuotaView;

/// Outgoing messages about quotas, by recipient.
#[derive(Default)]
pub(crate) struct QuotaOutbox {
    by_member: BTreeMap<MemberId, Vec<QuotaEnvelope>>,
}

impl QuotaOutbox {
    fn push(&mut self, to: MemberId, quota: u16, message: QuotaMessage) {
        let envelope = QuotaEnvelope { quota, message };
        self.by_member.entry(to).or_default().push(envelope);
    }

    pub(crate) fn into_messages(self) -> impl Iterator<Item = (MemberId, Vec<QuotaEnvelope>)> {
        self.by_member.into_iter()
    }
}

/// A change of this member's quota share: the fraction of a quota that it may use.
pub(crate) struct ShareChange {
    pub(crate) quota: QuotaIndex,
    /// The new share, 0 to 1.
    pub(crate) share: f64,
}

struct SharedQuota {
    name: String,
    total_units: u32,
    rebalancer: QuotaRebalancer,
    /// The share that was last reported; `None` before the first report.
    reported_share: Option<f64>,
}

impl SharedQuota {
    fn share(&self) -> f64 {
        f64::from(self.rebalancer.leases().usable_units()) / f64::from(self.total_units.max(1))
    }

    fn view(&self) -> QuotaView {
        let leases = self.rebalancer.leases();
        let leased = leases.leased_units();
        QuotaView {
            name: self.name.clone(),
            total_units: self.total_units,
            base_units: leases.base_units(),
            reserved_units: leases.reserved_units(),
            usable_units: leases.usable_units(),
            granted_units: leased.granted,
            held_units: leased.held,
            withheld_units: leased.withheld,
            expected_demand_units: self.rebalancer.expected_demand_units(),
        }
    }
}

/// The shared quotas of one member.
pub(crate) struct SharedQuotas {
    quotas: Vec<SharedQuota>,
}

impl SharedQuotas {
    pub(crate) fn new(
        own_member: MemberId,
        configs: &[SharedQuotaConfig],
        now: Nanos,
    ) -> SharedQuotas {
        let quota = |config: &SharedQuotaConfig| SharedQuota {
            name: config.name.clone(),
            total_units: config.leases.total_units,
            rebalancer: QuotaRebalancer::new(own_member, config, now),
            reported_share: None,
        };
        SharedQuotas {
            quotas: configs.iter().map(quota).collect(),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.quotas.is_empty()
    }

    pub(crate) fn rebalancer_mut(&mut self, quota: QuotaIndex) -> Option<&mut QuotaRebalancer> {
        self.quotas
            .get_mut(quota.0)
            .map(|quota| &mut quota.rebalancer)
    }

    pub(crate) fn usable_units(&self, quota: QuotaIndex) -> u32 {
        self.quotas
            .get(quota.0)
            .map_or(0, |quota| quota.rebalancer.leases().usable_units())
    }

    pub(crate) fn total_units(&self, quota: QuotaIndex) -> u32 {
        self.quotas
            .get(quota.0)
            .map_or(0, |quota| quota.total_units)
    }

    /// Units that other members may request, for the first `max_quotas` quotas.
    pub(crate) fn leasable_units(&self, max_quotas: usize) -> Vec<u32> {
        self.quotas
            .iter()
            .take(max_quotas)
            .map(|quota| quota.rebalancer.leasable_units())
            .collect()
    }

    pub(crate) fn on_offers(&mut self, from: MemberId, leasable_units: &[u32]) {
        for (quota, &units) in self.quotas.iter_mut().zip(leasable_units) {
            quota.rebalancer.on_offer(from, units);
        }
    }

    pub(crate) fn on_member_down(&mut self, member: MemberId) {
        for quota in &mut self.quotas {
            quota.rebalancer.on_member_down(member);
        }
    }

    pub(crate) fn rebalance(
        &mut self,
        now: Nanos,
        reachable: &[MemberId],
        rng: &mut ChaCha8Rng,
    ) -> QuotaOutbox {
        let mut outbox = QuotaOutbox::default();
        for (i, quota) in self.quotas.iter_mut().enumerate() {
            let mut outgoing: Vec<OutgoingQuotaMessage> = Vec::new();
            quota
                .rebalancer
                .rebalance(now, reachable, rng, &mut outgoing);
            for OutgoingQuotaMessage { to, message } in outgoing {
                outbox.push(to, i as u16, message);
            }
        }
        outbox
    }

    pub(crate) fn on_messages(
        &mut self,
        now: Nanos,
        from: ProcessId,
        messages: Vec<QuotaEnvelope>,
    ) -> QuotaOutbox {
        let mut outbox = QuotaOutbox::default();
        for QuotaEnvelope { quota, message } in messages {
            let index = QuotaIndex(usize::from(quota));
            let Some(rebalancer) = self.rebalancer_mut(index) else {
                continue;
            };
            if let Some(reply) = rebalancer.on_message(now, from, message) {
                outbox.push(from.member, quota, reply);
            }
        }
        outbox
    }

    /// Returns the shares that have changed since the last call.
    pub(crate) fn take_changed_shares(&mut self) -> Vec<ShareChange> {
        let mut changes = Vec::new();
        for (i, quota) in self.quotas.iter_mut().enumerate() {
            let share = quota.share();
            if quota.reported_share != Some(share) {
                quota.reported_share = Some(share);
                let quota = QuotaIndex(i);
                changes.push(ShareChange { quota, share });
            }
        }
        changes
    }

    /// Formats the name and share of each quota for a log line.
    pub(crate) fn describe_shares(&self) -> String {
        let described: Vec<String> = self
            .quotas
            .iter()
            .map(|quota| format!("{} {:.4}", quota.name, quota.share()))
            .collect();
        described.join(", ")
    }

    pub(crate) fn views(&self) -> Vec<QuotaView> {
        self.quotas.iter().map(SharedQuota::view).collect()
    }
}
