//! The coordination of one gateway with the others, as one state machine.
//!
//! The driver passes in the time, membership changes and received messages, and carries out the
//! actions that the coordinator requests through [`CoordinationOutput`].

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

/// Time between two evaluations of engine health.
const HEALTH_EVALUATION_INTERVAL: Nanos = SECOND / 20;
/// Maximum number of quotas whose leasable units a gossip datagram announces, which bounds its
/// size.
const MAX_ANNOUNCED_QUOTAS: usize = 64;
/// Maximum number of quota messages in one message on a link.
const MAX_MESSAGES_PER_QUOTA_BATCH: usize = 64;

/// Parameters of a new [`Coordinator`].
pub struct CoordinatorParams {
    /// The process that the coordinator runs in.
    pub process: ProcessId,
    /// Zone of each member, in the order of the member list.
    pub zones: Vec<u16>,
    /// Configuration, the same at every member.
    pub config: CoordinationConfig,
    /// Number of the last known endpoint event.
    pub last_event: u64,
    /// Seed of random choices; the same at every member, so that all agree on which members probe
    /// an engine.
    pub seed: u64,
    /// Current time.
    pub now: Nanos,
}

/// Quota leases, engine health, gossip and endpoint event relay of one gateway.
pub struct Coordinator {
    own_process: ProcessId,
    /// By member: the incarnation of its reachable process, if any.
    reachable_incarnations: Vec<Option<Incarnation>>,
    /// The other reachable members, in ascending order.
    reachable_members: Vec<MemberId>,
    reach: FleetReach,
    quotas: SharedQuotas,
    health: EngineHealthMonitor,
    gossip: Gossiper,
    relay: EventRelay,
    next_rebalance: Nanos,
    next_health_evaluation: Nanos,
    rng: ChaCha8Rng,
}

impl Coordinator {
    /// Creates a coordinator that reaches no other member yet.
    pub fn new(params: CoordinatorParams) -> Coordinator {
        let CoordinatorParams {
            process: own_process,
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
            own_process,
            reachable_incarnations: vec![None; members],
            reachable_members: Vec::new(),
            reach: if members > 1 {
                FleetReach::Isolated
            } else {
                FleetReach::Majority
            },
            quotas: SharedQuotas::new(own_process.member, &config.quotas, now),
            health: EngineHealthMonitor::new(own_process, zones, config.max_engines, seed, now),
            gossip: Gossiper::new(own_process, members, config.gossip_bytes_per_second, now),
            relay: EventRelay::new(last_event, retention, now),
            next_rebalance: now,
            next_health_evaluation: now,
            rng: ChaCha8Rng::seed_from_u64(seed ^ (u64::from(own_process.member.0) << 40)),
        }
    }

    // Membership.

    /// Marks a process of another member as reachable.
    pub fn on_member_up(
        &mut self,
        now: Nanos,
        process: ProcessId,
        output: &mut dyn CoordinationOutput,
    ) {
        let ProcessId {
            member,
            incarnation,
        } = process;
        if member == self.own_process.member {
            return;
        }
        let Some(entry) = self.reachable_incarnations.get_mut(member.as_usize()) else {
            return;
        };
        let previous = entry.replace(incarnation);
        if previous.is_some_and(|previous| previous != incarnation) {
            self.forget_announcements(member);
        }
        // A new process of a member numbers its observations from 1 again.
        if self
            .gossip
            .known_version(member)
            .is_some_and(|known| known.observer.incarnation != incarnation)
        {
            self.health.clear_member(member);
        }
        self.on_reachable_members_changed(now, output);
    }

    /// Marks a process of another member as no longer reachable.
    pub fn on_member_down(
        &mut self,
        now: Nanos,
        process: ProcessId,
        output: &mut dyn CoordinationOutput,
    ) {
        if self.reachable_process(process.member) != Some(process) {
            return;
        }
        self.reachable_incarnations[process.member.as_usize()] = None;
        self.forget_announcements(process.member);
        self.on_reachable_members_changed(now, output);
    }

    fn reachable_process(&self, member: MemberId) -> Option<ProcessId> {
        let incarnation = self
            .reachable_incarnations
            .get(member.as_usize())
            .copied()
            .flatten()?;
        Some(ProcessId {
            member,
            incarnation,
        })
    }

    fn forget_announcements(&mut self, member: MemberId) {
        self.quotas.on_member_down(member);
        self.relay.on_member_down(member);
    }

    fn on_reachable_members_changed(&mut self, now: Nanos, output: &mut dyn CoordinationOutput) {
        self.reachable_members = (0..self.reachable_incarnations.len())
            .filter(|&i| self.reachable_incarnations[i].is_some())
            .map(|i| MemberId(i as u16))
            .collect();
        let reachable = self.reachable_member_count();
        let members = self.reachable_incarnations.len();
        let reach = if 2 * reachable > members {
            FleetReach::Majority
        } else if reachable == 1 {
            FleetReach::Isolated
        } else {
            FleetReach::Minority
        };
        if reach != self.reach {
            self.reach = reach;
            output.log(&format!(
                "fleet reach changed: reach={} reachable={reachable} members={members} quota_shares=\"{}\"",
                reach.as_str(),
                self.quotas.describe_shares(),
            ));
        }
        self.next_rebalance = self.next_rebalance.min(now + REBALANCE_INTERVAL);
    }

    /// Number of reachable members, including this one.
    fn reachable_member_count(&self) -> usize {
        self.reachable_members.len() + 1
    }

    // Quotas.

    /// Records that `units` of a quota are wanted now, whether they are available or not.
    pub fn record_demand(&mut self, quota: QuotaIndex, units: f64) {
        if let Some(rebalancer) = self.quotas.rebalancer_mut(quota) {
            rebalancer.record_demand(units);
        }
    }

    /// Sets the current demand for a quota whose units are occupied and released instead of spent.
    pub fn set_demand_level(&mut self, now: Nanos, quota: QuotaIndex, units: f64) {
        if let Some(rebalancer) = self.quotas.rebalancer_mut(quota) {
            rebalancer.set_demand_level(now, units);
        }
    }

    /// Spends units of a quota with a spend window if enough are unspent. An unknown quota is
    /// unlimited.
    pub fn try_spend(&mut self, now: Nanos, quota: QuotaIndex, units: u32) -> bool {
        self.quotas
            .rebalancer_mut(quota)
            .is_none_or(|rebalancer| rebalancer.try_spend(now, units))
    }

    /// Units of a quota that this member may use at `now`, after expiring leases.
    pub fn usable_units_at(&mut self, now: Nanos, quota: QuotaIndex) -> u32 {
        self.quotas
            .rebalancer_mut(quota)
            .map_or(0, |rebalancer| rebalancer.usable_units_at(now))
    }

    /// Units of a quota that this member could use when its leases were last updated.
    pub fn usable_units(&self, quota: QuotaIndex) -> u32 {
        self.quotas.usable_units(quota)
    }

    /// Total units of a quota, over all members.
    pub fn total_units(&self, quota: QuotaIndex) -> u32 {
        self.quotas.total_units(quota)
    }

    fn rebalance(&mut self, now: Nanos, output: &mut dyn CoordinationOutput) {
        let outbox = self
            .quotas
            .rebalance(now, &self.reachable_members, &mut self.rng);
        self.send_quota_messages(outbox, output);
        self.report_changed_shares(output);
    }

    fn send_quota_messages(&self, outbox: QuotaOutbox, output: &mut dyn CoordinationOutput) {
        for (member, messages) in outbox.into_messages() {
            let Some(process) = self.reachable_process(member) else {
                continue;
            };
            for messages in messages.chunks(MAX_MESSAGES_PER_QUOTA_BATCH) {
                let message = CoordinationMessage::Quotas {
                    to: process.incarnation,
                    messages: messages.to_vec(),
                };
                output.send(member, message);
            }
        }
    }

    fn report_changed_shares(&mut self, output: &mut dyn CoordinationOutput) {
        for change in self.quotas.take_changed_shares() {
            output.on_quota_share_changed(change.quota, change.share);
        }
    }

    // Engine health.

    /// Replaces the set of engines that are ready according to the endpoint list.
    pub fn set_ready_engines(&mut self, engines: &[EngineNumber]) {
        self.health.set_ready_engines(engines);
    }

    /// Handles the end of an attempt of this gateway.
    pub fn on_attempt_ended(&mut self, now: Nanos, engine: EngineNumber, health: AttemptHealth) {
        if let Some(update) = self.health.on_attempt_ended(now, engine, health) {
            self.gossip.on_new_observation(now, update, now);
        }
    }

    fn evaluate_health(&mut self, now: Nanos, output: &mut dyn CoordinationOutput) {
        self.next_health_evaluation = now + HEALTH_EVALUATION_INTERVAL;
        let reachable = self.reachable_member_count();
        let previously_ejected = self.health.ejected_engine_count();
        for change in self.health.evaluate(now, reachable) {
            output.on_outlier_status(change.engine, change.status);
        }
        let ejected = self.health.ejected_engine_count();
        if ejected != previously_ejected {
            let engines = self.health.ready_engine_count();
            output.log(&format!(
                "ejected engines changed: ejected={ejected} engines={engines} reachable={reachable}"
            ));
        }
    }

    // Endpoint events.

    /// Handles any input from the event source, which shows that it is alive.
    pub fn on_event_source_activity(&mut self, now: Nanos) {
        self.relay.on_source_activity(now);
    }

    /// Handles an endpoint event that the gateway has applied.
    pub fn on_endpoint_event(&mut self, now: Nanos, number: u64, line: &[u8]) {
        if number > self.relay.last_number() {
            let line = line.to_vec();
            self.relay.on_event(EndpointEvent { number, line });
            // Members without a connection to the source must be notified of a new event at once.
            self.gossip.on_announcement_changed(now);
        }
    }

    fn on_relayed_events(
        &mut self,
        now: Nanos,
        events: Vec<EndpointEvent>,
        output: &mut dyn CoordinationOutput,
    ) {
        for event in events {
            if self.relay.on_relayed_event(event.clone()) {
                self.gossip.on_announcement_changed(now);
                output.on_endpoint_event(event.number, &event.line);
            }
        }
    }

    // Messages.

    /// Handles a message that arrived on the link from another member.
    pub fn on_message(
        &mut self,
        now: Nanos,
        from: MemberId,
        message: CoordinationMessage,
        output: &mut dyn CoordinationOutput,
    ) {
        let Some(from) = self.reachable_process(from) else {
            return;
        };
        match message {
            CoordinationMessage::Quotas { to, messages } if to == self.own_process.incarnation => {
                self.on_quota_messages(now, from, messages, output);
            }
            CoordinationMessage::Quotas { .. } => {}
            CoordinationMessage::FetchEvents(after) => {
                let events = self.relay.events_after(after);
                if !events.is_empty() {
                    output.send(from.member, CoordinationMessage::Events(events));
                }
            }
            CoordinationMessage::Events(events) => self.on_relayed_events(now, events, output),
        }
    }

    fn on_quota_messages(
        &mut self,
        now: Nanos,
        from: ProcessId,
        messages: Vec<QuotaEnvelope>,
        output: &mut dyn CoordinationOutput,
    ) {
        let outbox = self.quotas.on_messages(now, from, messages);
        self.send_quota_messages(outbox, output);
        self.report_changed_shares(output);
    }

    /// Handles a gossip datagram.
    pub fn on_gossip(
        &mut self,
        now: Nanos,
        gossip: GossipMessage,
        output: &mut dyn CoordinationOutput,
    ) {
        let from = gossip.sender();
        if from.member == self.own_process.member
            || self.reachable_process(from.member) != Some(from)
        {
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
                    output.send_gossip(from.member, versions);
                }
            }
            GossipMessage::Versions { known, .. } => {
                let replies = self.gossip.on_versions(now, &known, self.health.table());
                for reply in replies {
                    output.send_gossip(from.member, reply);
                }
            }
        }
        self.next_health_evaluation = self
            .next_health_evaluation
            .min(now + HEALTH_EVALUATION_INTERVAL);
    }

    fn on_observation_update(&mut self, now: Nanos, delay: Nanos, update: ObservationUpdate) {
        // Observations of an unreachable process are ignored: it has ended, or its successor
        // reports its own.
        let observer = update.observer;
        if observer.member == self.own_process.member
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

    /// The time at which [`Coordinator::on_timer`] must be called next.
    pub fn next_timer(&self) -> Nanos {
        let rebalance = if self.quotas.is_empty() {
            Nanos::MAX
        } else {
            self.next_rebalance
        };
        rebalance
            .min(self.next_health_evaluation)
            .min(self.gossip.next_timer())
            .min(self.relay.next_fetch())
    }

    /// Runs the periodic work whose time has come. Must be called at [`Coordinator::next_timer`];
    /// earlier calls do no harm.
    pub fn on_timer(&mut self, now: Nanos, output: &mut dyn CoordinationOutput) {
        if now >= self.next_rebalance {
            self.next_rebalance = now + REBALANCE_INTERVAL;
            self.rebalance(now, output);
        }
        if now >= self.next_health_evaluation {
            self.evaluate_health(now, output);
        }
        if now >= self.gossip.next_timer() {
            self.send_gossip(now, output);
        }
        if let Some(member) = self.relay.member_to_fetch_from(now) {
            let after = self.relay.last_number();
            output.send(member, CoordinationMessage::FetchEvents(after));
        }
    }

    fn send_gossip(&mut self, now: Nanos, output: &mut dyn CoordinationOutput) {
        let announcement = Announcement {
            last_event: self.relay.last_number(),
            leasable_units: self.quotas.leasable_units(MAX_ANNOUNCED_QUOTAS),
        };
        let outgoing =
            self.gossip
                .on_timer(now, &self.reachable_members, &announcement, &mut self.rng);
        for datagram in outgoing {
            output.send_gossip(datagram.to, datagram.message);
        }
    }

    // Inspection.

    /// This member's view of the shared state.
    pub fn view(&self, now: Nanos) -> CoordinationView {
        CoordinationView {
            member: self.own_process.member,
            incarnation: self.own_process.incarnation,
            reach: self.reach,
            reachable: self.reachable_members.clone(),
            last_event: self.relay.last_number(),
            is_event_source_silent: self.relay.is_source_silent(now),
            quotas: self.quotas.views(),
            engines: self.health.views(now),
            sent_bytes: 0,
            late_datagrams: self.gossip.late_datagrams(),
            relayed_events: self.relay.relayed_count(),
        }
    }
}
