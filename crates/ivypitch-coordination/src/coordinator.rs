//! All that one gateway shares with the others, as one state machine.
//!
//! The driver tells it the time, which members are up and what arrives; what is to be sent and done comes out through
//! [`CoordinationOutput`].

use ivypitch_types::{Incarnation, MILLISECOND, MemberId, Nanos, ProcessId, SECOND};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::config::{CoordinationConfig, QuotaIndex};
use crate::engine_health::EngineHealthMonitor;
use crate::event_relay::{EventRelay, RetentionLimits};
use crate::gossip::{Announcement, Gossiper};
use crate::message::{
    CoordinationMessage, EndpointEvent, GossipMessage, ObservationUpdate, QuotaEnvelope,
};
use crate::observations::{AttemptHealth, EngineNumber, OBSERVATION_TTL};
use crate::output::CoordinationOutput;
use crate::quota_rebalancing::REBALANCE_INTERVAL;
use crate::shared_quotas::{QuotaOutbox, SharedQuotas};
use crate::view::{CoordinationView, FleetReach};

/// How often engine health is evaluated.
const EVALUATION_INTERVAL: Nanos = SECOND / 20;
/// Quotas whose leasable units are announced in each gossip datagram, so that it stays within its size.
const MAX_ANNOUNCED_QUOTAS: usize = 64;
/// Quota messages in one message on a link.
const MAX_QUOTA_MESSAGES: usize = 64;

/// What a coordinator starts with.
pub struct CoordinatorParams {
    /// This process.
    pub process: ProcessId,
    /// The zone of each member, in the order of the member list.
    pub zones: Vec<u16>,
    /// The configuration, the same at every member.
    pub config: CoordinationConfig,
    /// The number of the last endpoint event that is known.
    pub last_event: u64,
    /// For random choices; the same at every member, so that they agree on who probes.
    pub seed: u64,
    /// The time.
    pub now: Nanos,
}

/// One gateway's quota leases, engine health, gossip and relay of endpoint events.
pub struct Coordinator {
    me: ProcessId,
    /// By member: the process that is reachable.
    processes: Vec<Option<Incarnation>>,
    /// The other members that are reachable, in order.
    reachable: Vec<MemberId>,
    reach: FleetReach,
    quotas: SharedQuotas,
    health: EngineHealthMonitor,
    gossip: Gossiper,
    relay: EventRelay,
    next_rebalance: Nanos,
    next_evaluation: Nanos,
    rng: ChaCha8Rng,
}

impl Coordinator {
    /// A coordinator that has heard from nobody.
    pub fn new(params: CoordinatorParams) -> Coordinator {
        let CoordinatorParams {
            process: me,
            zones,
            config,
            last_event,
            seed,
            now,
        } = params;
        let members = zones.len();
        let retention = RetentionLimits {
            max_events: config.max_events,
            max_bytes: config.max_event_bytes,
        };
        Coordinator {
            me,
            processes: vec![None; members],
            reachable: Vec::new(),
            reach: if members > 1 {
                FleetReach::Isolated
            } else {
                FleetReach::Majority
            },
            quotas: SharedQuotas::new(me.member, &config.quotas, now),
            health: EngineHealthMonitor::new(me, zones, config.max_engines, seed, now),
            gossip: Gossiper::new(me, members, config.gossip_bytes_per_second, now),
            relay: EventRelay::new(last_event, retention, now),
            next_rebalance: now,
            next_evaluation: now,
            rng: ChaCha8Rng::seed_from_u64(seed ^ (u64::from(me.member.0) << 40)),
        }
    }

    // Membership.

    /// A process of another member is reachable.
    pub fn on_member_up(
        &mut self,
        now: Nanos,
        process: ProcessId,
        out: &mut dyn CoordinationOutput,
    ) {
        let ProcessId {
            member,
            incarnation,
        } = process;
        if member == self.me.member {
            return;
        }
        let Some(entry) = self.processes.get_mut(member.as_usize()) else {
            return;
        };
        let previous = entry.replace(incarnation);
        if previous.is_some_and(|previous| previous != incarnation) {
            self.forget_offers(member);
        }
        // Another process of that member counts the versions of its observations anew.
        if self
            .gossip
            .known_version(member)
            .is_some_and(|known| known.observer.incarnation != incarnation)
        {
            self.health.forget_member(member);
        }
        self.on_reachable_changed(now, out);
    }

    /// A process of another member is no longer reachable.
    pub fn on_member_down(
        &mut self,
        now: Nanos,
        process: ProcessId,
        out: &mut dyn CoordinationOutput,
    ) {
        if self.reachable_process(process.member) != Some(process) {
            return;
        }
        self.processes[process.member.as_usize()] = None;
        self.forget_offers(process.member);
        self.on_reachable_changed(now, out);
    }

    fn reachable_process(&self, member: MemberId) -> Option<ProcessId> {
        let incarnation = self.processes.get(member.as_usize()).copied().flatten()?;
        Some(ProcessId {
            member,
            incarnation,
        })
    }

    fn forget_offers(&mut self, member: MemberId) {
        self.quotas.on_member_down(member);
        self.relay.on_member_down(member);
    }

    fn on_reachable_changed(&mut self, now: Nanos, out: &mut dyn CoordinationOutput) {
        self.reachable = (0..self.processes.len())
            .filter(|&i| self.processes[i].is_some())
            .map(|i| MemberId(i as u16))
            .collect();
        let reachable = self.reachable_members();
        let members = self.processes.len();
        let reach = if 2 * reachable > members {
            FleetReach::Majority
        } else if reachable == 1 {
            FleetReach::Isolated
        } else {
            FleetReach::Minority
        };
        if reach != self.reach {
            self.reach = reach;
            out.log(&format!(
                "fleet reach changed: reach={} reachable={reachable} members={members} quota_shares=\"{}\"",
                reach.as_str(),
                self.quotas.describe_shares(),
            ));
        }
        self.next_rebalance = self.next_rebalance.min(now + REBALANCE_INTERVAL);
    }

    /// Including this one.
    fn reachable_members(&self) -> usize {
        self.reachable.len() + 1
    }

    // Quotas.

    /// So many units of a quota would be used now, whether they are available or not.
    pub fn record_demand(&mut self, quota: QuotaIndex, units: f64) {
        if let Some(rebalancer) = self.quotas.rebalancer_mut(quota) {
            rebalancer.record_demand(units);
        }
    }

    /// The demand for a quota as a level, where units are occupied and released instead of spent.
    pub fn set_demand_level(&mut self, now: Nanos, quota: QuotaIndex, units: f64) {
        if let Some(rebalancer) = self.quotas.rebalancer_mut(quota) {
            rebalancer.set_demand_level(now, units);
        }
    }

    /// Spends units of a quota with a spend window, if there are enough. An unknown quota is unlimited.
    pub fn try_spend(&mut self, now: Nanos, quota: QuotaIndex, units: u32) -> bool {
        self.quotas
            .rebalancer_mut(quota)
            .is_none_or(|rebalancer| rebalancer.try_spend(now, units))
    }

    /// Units of a quota that this member may use at `now`.
    pub fn usable_units_at(&mut self, now: Nanos, quota: QuotaIndex) -> u32 {
        self.quotas
            .rebalancer_mut(quota)
            .map_or(0, |rebalancer| rebalancer.usable_units_at(now))
    }

    /// Units of a quota that this member could use when it last changed.
    pub fn usable_units(&self, quota: QuotaIndex) -> u32 {
        self.quotas.usable_units(quota)
    }

    /// Units of a whole quota, over all members.
    pub fn total_units(&self, quota: QuotaIndex) -> u32 {
        self.quotas.total_units(quota)
    }

    fn rebalance(&mut self, now: Nanos, out: &mut dyn CoordinationOutput) {
        let outbox = self.quotas.rebalance(now, &self.reachable, &mut self.rng);
        self.send_quota_messages(outbox, out);
        self.report_shares(out);
    }

    fn send_quota_messages(&self, outbox: QuotaOutbox, out: &mut dyn CoordinationOutput) {
        for (member, messages) in outbox.into_messages() {
            let Some(process) = self.reachable_process(member) else {
                continue;
            };
            for messages in messages.chunks(MAX_QUOTA_MESSAGES) {
                let message = CoordinationMessage::Quotas {
                    to: process.incarnation,
                    messages: messages.to_vec(),
                };
                out.send(member, message);
            }
        }
    }

    fn report_shares(&mut self, out: &mut dyn CoordinationOutput) {
        for change in self.quotas.take_changed_shares() {
            out.on_quota_share_changed(change.quota, change.share);
        }
    }

    // Engine health.

    /// The engines that are ready according to the endpoint list.
    pub fn set_ready_engines(&mut self, engines: &[EngineNumber]) {
        self.health.set_ready_engines(engines);
    }

    /// An attempt of this gateway has ended.
    pub fn on_attempt_ended(&mut self, now: Nanos, engine: EngineNumber, health: AttemptHealth) {
        if let Some(update) = self.health.on_attempt_ended(now, engine, health) {
            self.gossip.on_new_observation(now, update, now);
        }
    }

    fn evaluate_health(&mut self, now: Nanos, out: &mut dyn CoordinationOutput) {
        self.next_evaluation = now + EVALUATION_INTERVAL;
        let reachable = self.reachable_members();
        let ejected_before = self.health.ejected_engines();
        for change in self.health.evaluate(now, reachable) {
            out.on_outlier_status(change.engine, change.status);
        }
        let ejected = self.health.ejected_engines();
        if ejected != ejected_before {
            let engines = self.health.ready_engines();
            out.log(&format!(
                "ejected engines changed: ejected={ejected} engines={engines} reachable={reachable}"
            ));
        }
    }

    // Endpoint events.

    /// The event source said something, an event or not.
    pub fn on_event_source_activity(&mut self, now: Nanos) {
        self.relay.on_source_heard(now);
    }

    /// The gateway has taken an event of the endpoint list.
    pub fn on_endpoint_event(&mut self, now: Nanos, number: u64, line: &[u8]) {
        if number > self.relay.last() {
            let line = line.to_vec();
            self.relay.on_event(EndpointEvent { number, line });
            // Others may not hear the source: they are to learn at once that there is an event.
            self.gossip.expedite(now);
        }
    }

    fn on_relayed_events(
        &mut self,
        now: Nanos,
        events: Vec<EndpointEvent>,
        out: &mut dyn CoordinationOutput,
    ) {
        for event in events {
            if self.relay.on_relayed_event(event.clone()) {
                self.gossip.expedite(now);
                out.on_endpoint_event(event.number, &event.line);
            }
        }
    }

    // Messages.

    /// A message arrived on the link from another member.
    pub fn on_message(
        &mut self,
        now: Nanos,
        from: MemberId,
        message: CoordinationMessage,
        out: &mut dyn CoordinationOutput,
    ) {
        let Some(from) = self.reachable_process(from) else {
            return;
        };
        match message {
            CoordinationMessage::Quotas { to, messages } if to == self.me.incarnation => {
                self.on_quota_messages(now, from, messages, out);
            }
            CoordinationMessage::Quotas { .. } => {}
            CoordinationMessage::FetchEvents(after) => {
                let events = self.relay.events_after(after);
                if !events.is_empty() {
                    out.send(from.member, CoordinationMessage::Events(events));
                }
            }
            CoordinationMessage::Events(events) => self.on_relayed_events(now, events, out),
        }
    }

    fn on_quota_messages(
        &mut self,
        now: Nanos,
        from: ProcessId,
        messages: Vec<QuotaEnvelope>,
        out: &mut dyn CoordinationOutput,
    ) {
        let outbox = self.quotas.on_messages(now, from, messages);
        self.send_quota_messages(outbox, out);
        self.report_shares(out);
    }

    /// A gossip datagram arrived.
    pub fn on_gossip(
        &mut self,
        now: Nanos,
        gossip: GossipMessage,
        out: &mut dyn CoordinationOutput,
    ) {
        let from = gossip.sender();
        if from.member == self.me.member || self.reachable_process(from.member) != Some(from) {
            return;
        }
        let Some(delay) = self.gossip.transit_delay(now, from, gossip.sent_at_ms()) else {
            return;
        };
        match gossip {
            GossipMessage::Update {
                last_event,
                leasable_units,
                updates,
                complete_up_to,
                ..
            } => {
                if last_event > 0 {
                    self.relay.on_member_progress(from.member, last_event);
                }
                self.quotas.on_offers(from.member, &leasable_units);
                for update in updates {
                    self.on_observation_update(now, delay, update);
                }
                self.gossip.on_repaired(&complete_up_to);
            }
            GossipMessage::Digest { buckets, .. } => {
                if let Some(versions) = self.gossip.on_digest(now, &buckets) {
                    out.send_gossip(from.member, versions);
                }
            }
            GossipMessage::Versions { known, .. } => {
                let replies = self.gossip.on_versions(now, &known, self.health.table());
                for reply in replies {
                    out.send_gossip(from.member, reply);
                }
            }
        }
        self.next_evaluation = self.next_evaluation.min(now + EVALUATION_INTERVAL);
    }

    fn on_observation_update(&mut self, now: Nanos, delay: Nanos, update: ObservationUpdate) {
        // Of a process that is not reachable nothing is taken: it is gone, or its successor speaks for itself.
        let observer = update.observer;
        if observer.member == self.me.member
            || self.reachable_process(observer.member) != Some(observer)
        {
            return;
        }
        let age = Nanos::from(update.age_ms) * MILLISECOND + delay;
        if age >= OBSERVATION_TTL {
            return;
        }
        let observed_at = now.saturating_sub(age);
        if self.health.on_update(&update, observed_at) {
            self.gossip.on_new_observation(now, update, observed_at);
        }
    }

    // Time.

    /// When [`Coordinator::on_timer`] is due.
    pub fn next_timer(&self) -> Nanos {
        let rebalance = if self.quotas.is_empty() {
            Nanos::MAX
        } else {
            self.next_rebalance
        };
        rebalance
            .min(self.next_evaluation)
            .min(self.gossip.next_timer())
            .min(self.relay.next_fetch())
    }

    /// Does what is due. To be called at [`Coordinator::next_timer`]; earlier calls do no harm.
    pub fn on_timer(&mut self, now: Nanos, out: &mut dyn CoordinationOutput) {
        if now >= self.next_rebalance {
            self.next_rebalance = now + REBALANCE_INTERVAL;
            self.rebalance(now, out);
        }
        if now >= self.next_evaluation {
            self.evaluate_health(now, out);
        }
        if now >= self.gossip.next_timer() {
            self.send_gossip(now, out);
        }
        if let Some(member) = self.relay.member_to_fetch_from(now) {
            let after = self.relay.last();
            out.send(member, CoordinationMessage::FetchEvents(after));
        }
    }

    fn send_gossip(&mut self, now: Nanos, out: &mut dyn CoordinationOutput) {
        let announcement = Announcement {
            last_event: self.relay.last(),
            leasable_units: self.quotas.leasable_units(MAX_ANNOUNCED_QUOTAS),
        };
        let outgoing = self
            .gossip
            .on_timer(now, &self.reachable, &announcement, &mut self.rng);
        for datagram in outgoing {
            out.send_gossip(datagram.to, datagram.message);
        }
    }

    // Inspection.

    /// This member's view of the shared state.
    pub fn view(&self, now: Nanos) -> CoordinationView {
        CoordinationView {
            member: self.me.member,
            incarnation: self.me.incarnation,
            reach: self.reach,
            reachable: self.reachable.clone(),
            last_event: self.relay.last(),
            is_event_source_silent: self.relay.is_source_silent(now),
            quotas: self.quotas.views(),
            engines: self.health.views(now),
            sent_bytes: 0,
            late_datagrams: self.gossip.late_datagrams(),
            relayed_events: self.relay.relayed(),
        }
    }
}
