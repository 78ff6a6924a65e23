//! Driver of `ivypitch_coordination`: passes events to it, sends its messages, and queues what it asks the scheduler's
//! actor to do. It decides nothing.

use std::collections::VecDeque;

use async_channel::Sender;
use bytes::Bytes;
use ivypitch_coordination::{
    AttemptHealth, CoordinationMessage, CoordinationOutput, CoordinationView, Coordinator,
    GossipMessage, QuotaIndex,
};
use ivypitch_scheduler::OutlierStatus;
use ivypitch_types::{MemberId, Nanos, Outcome, ProcessId};

use super::discovery::DiscoveryMessage;
use super::messages::WatchEventLine;
use super::peer_links::PeerLinksMessage;

/// Quota of the engines' cores.
const CORES_QUOTA: QuotaIndex = QuotaIndex(0);
/// Quota of the first tenant's statement rate; those of the others follow in the settings' order.
const FIRST_TENANT_QUOTA: usize = 1;

/// What the scheduler's actor is asked to do.
#[derive(Debug)]
pub enum Action {
    /// This gateway may use a fraction of all cores.
    SetCoreQuota {
        /// Between 0 and 1.
        fraction: f64,
    },
    /// This gateway may use a fraction of a tenant's statement rate.
    SetTenantQuota {
        /// Index of the tenant in the settings.
        tenant: usize,
        /// Between 0 and 1.
        fraction: f64,
    },
    /// The gateways agree on an engine's health.
    SetOutlierStatus {
        /// Hash of the engine's id.
        engine_hash: u64,
        /// What is known of it.
        status: OutlierStatus,
    },
}

struct Output {
    actions: VecDeque<Action>,
    peers: Sender<PeerLinksMessage>,
    discovery: Sender<DiscoveryMessage>,
}

impl CoordinationOutput for Output {
    fn send(&mut self, to: MemberId, message: CoordinationMessage) {
        let _ = self
            .peers
            .try_send(PeerLinksMessage::SendCoordination { to, message });
    }

    fn send_gossip(&mut self, to: MemberId, gossip: GossipMessage) {
        let _ = self
            .peers
            .try_send(PeerLinksMessage::SendGossip { to, gossip });
    }

    fn on_quota_share_changed(&mut self, quota: QuotaIndex, fraction: f64) {
        self.actions.push_back(match quota {
            CORES_QUOTA => Action::SetCoreQuota { fraction },
            _ => Action::SetTenantQuota {
                tenant: quota.0 - FIRST_TENANT_QUOTA,
                fraction,
            },
        });
    }

    fn on_outlier_status(&mut self, engine_hash: u64, status: OutlierStatus) {
        self.actions.push_back(Action::SetOutlierStatus {
            engine_hash,
            status,
        });
    }

    fn on_endpoint_event(&mut self, _position: u64, line: &[u8]) {
        let _ = self
            .discovery
            .try_send(DiscoveryMessage::RelayedEvent(Bytes::copy_from_slice(line)));
    }

    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}

/// Connects coordination among gateways to this gateway's actors.
pub struct CoordinationDriver {
    coordinator: Coordinator,
    output: Output,
}

impl CoordinationDriver {
    /// This process ends: the other gateways are notified.
    pub fn leave(&self) {
        let _ = self.output.peers.try_send(PeerLinksMessage::Leave);
    }

    /// Creates a driver. `peers` sends messages to other gateways; `discovery` takes watch events that other gateways relay.
    pub fn new(
        coordinator: Coordinator,
        peers: Sender<PeerLinksMessage>,
        discovery: Sender<DiscoveryMessage>,
    ) -> CoordinationDriver {
        CoordinationDriver {
            coordinator,
            output: Output {
                actions: VecDeque::new(),
                peers,
                discovery,
            },
        }
    }

    /// Takes the next action, in the order in which they were asked for.
    pub fn next_action(&mut self) -> Option<Action> {
        self.output.actions.pop_front()
    }

    /// Whether an action waits to be taken.
    pub fn has_actions(&self) -> bool {
        !self.output.actions.is_empty()
    }

    /// A gateway has joined.
    pub fn on_member_up(&mut self, now: Nanos, process: ProcessId) {
        self.coordinator
            .on_member_up(now, process, &mut self.output);
    }

    /// A gateway has left or failed.
    pub fn on_member_down(&mut self, now: Nanos, process: ProcessId) {
        self.coordinator
            .on_member_down(now, process, &mut self.output);
    }

    /// Another gateway sent a message on its link.
    pub fn on_message(&mut self, now: Nanos, from: MemberId, message: CoordinationMessage) {
        self.coordinator
            .on_message(now, from, message, &mut self.output);
    }

    /// Another gateway sent a datagram.
    pub fn on_gossip(&mut self, now: Nanos, gossip: GossipMessage) {
        self.coordinator.on_gossip(now, gossip, &mut self.output);
    }

    /// The endpoint list has changed: these engines, by the hashes of their ids, are ready.
    pub fn on_endpoints_updated(&mut self, ready: &[u64]) {
        self.coordinator.set_ready_engines(ready);
    }

    /// A statement of this tenant arrived; the tenant's quota is so many statements a second in the whole fleet.
    pub fn on_statement_arrived(&mut self, tenant: usize, quota_per_second: f64) {
        let quota = QuotaIndex(FIRST_TENANT_QUOTA + tenant);
        let units = f64::from(self.coordinator.total_units(quota));
        if quota_per_second > 0.0 {
            self.coordinator
                .record_demand(quota, units / quota_per_second);
        }
    }

    /// The teams' statements that run or wait here would use so many of all the cores.
    pub fn set_core_demand(&mut self, now: Nanos, cores: f64, all_cores: f64) {
        let units = f64::from(self.coordinator.total_units(CORES_QUOTA));
        let fraction = (cores / all_cores.max(1.0)).min(1.0);
        self.coordinator
            .set_demand_level(now, CORES_QUOTA, units * fraction);
    }

    /// An attempt at an engine has ended; `is_first_attempt` of its statement.
    pub fn on_attempt_ended(
        &mut self,
        now: Nanos,
        engine_hash: u64,
        outcome: Outcome,
        is_first_attempt: bool,
    ) {
        if let Some(health) = AttemptHealth::from_outcome(outcome, is_first_attempt) {
            self.coordinator.on_attempt_ended(now, engine_hash, health);
        }
    }

    /// The watch on the endpoint list delivered a line, with an event where it was a new one.
    pub fn on_watch_line_read(&mut self, now: Nanos, event: Option<WatchEventLine>) {
        match event {
            Some(event) => self
                .coordinator
                .on_endpoint_event(now, event.position, &event.line),
            None => self.coordinator.on_event_source_activity(now),
        }
    }

    /// When [`Self::on_timer`] is to be called next.
    pub fn next_timer(&self) -> Nanos {
        self.coordinator.next_timer()
    }

    /// To be called at [`Self::next_timer`]; does nothing before.
    pub fn on_timer(&mut self, now: Nanos) {
        if self.coordinator.next_timer() <= now {
            self.coordinator.on_timer(now, &mut self.output);
        }
    }

    /// This gateway's view of the fleet.
    pub fn view(&self, now: Nanos) -> CoordinationView {
        self.coordinator.view(now)
    }
}
