//! Driver of `ivypitch_coordination`. It passes events to it, sends its messages, and queues the
//! actions that it requests from the scheduler's actor. The driver makes no decisions.

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

/// The quota of the engines' cores.
const CORES_QUOTA: QuotaIndex = QuotaIndex(0);
/// Index of the quota of the first tenant's statement rate. The other tenants' quotas follow in the
/// order of the settings.
const FIRST_TENANT_QUOTA: usize = 1;

/// An action that coordination requests from the scheduler's actor.
#[derive(Debug)]
pub enum Action {
    /// Sets this gateway's share of the cores of all engines.
    SetCoreQuotaShare {
        /// Between 0 and 1.
        share: f64,
    },
    /// Sets this gateway's share of a tenant's statement rate.
    SetTenantQuotaShare {
        /// Index of the tenant in the settings.
        tenant: usize,
        /// Between 0 and 1.
        share: f64,
    },
    /// Sets an engine's outlier status, on which the gateways agreed.
    SetOutlierStatus {
        /// Hash of the engine's id.
        engine_hash: u64,
        /// The status.
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

    fn on_quota_share_changed(&mut self, quota: QuotaIndex, share: f64) {
        self.actions.push_back(match quota {
            CORES_QUOTA => Action::SetCoreQuotaShare { share },
            _ => Action::SetTenantQuotaShare {
                tenant: quota.0 - FIRST_TENANT_QUOTA,
                share,
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
    /// Notifies the other gateways that this process shuts down.
    pub fn leave(&self) {
        let _ = self.output.peers.try_send(PeerLinksMessage::Leave);
    }

    /// Creates a driver. Messages to other gateways go to `peers`, watch events that other gateways
    /// relayed go to `discovery`.
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

    /// Takes the next action, in the order of the requests.
    pub fn next_action(&mut self) -> Option<Action> {
        self.output.actions.pop_front()
    }

    /// Whether an action is queued.
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

    /// A message from another gateway arrived on its link.
    pub fn on_message(&mut self, now: Nanos, from: MemberId, message: CoordinationMessage) {
        self.coordinator
            .on_message(now, from, message, &mut self.output);
    }

    /// A gossip datagram arrived.
    pub fn on_gossip(&mut self, now: Nanos, gossip: GossipMessage) {
        self.coordinator.on_gossip(now, gossip, &mut self.output);
    }

    /// The endpoint list has changed. `ready` holds the hashes of the ids of the ready engines.
    pub fn on_endpoints_updated(&mut self, ready: &[u64]) {
        self.coordinator.set_ready_engines(ready);
    }

    /// A statement of this tenant arrived. `quota_per_second` is the tenant's quota in the whole
    /// fleet, in statements per second.
    pub fn on_statement_arrived(&mut self, tenant: usize, quota_per_second: f64) {
        let quota = QuotaIndex(FIRST_TENANT_QUOTA + tenant);
        let units = f64::from(self.coordinator.total_units(quota));
        if quota_per_second > 0.0 {
            self.coordinator
                .record_demand(quota, units / quota_per_second);
        }
    }

    /// Sets the demand of the teams' running and queued statements here, in `cores` of `all_cores`.
    pub fn set_core_demand(&mut self, now: Nanos, cores: f64, all_cores: f64) {
        let units = f64::from(self.coordinator.total_units(CORES_QUOTA));
        let fraction = (cores / all_cores.max(1.0)).min(1.0);
        self.coordinator
            .set_demand_level(now, CORES_QUOTA, units * fraction);
    }

    /// An attempt at an engine has ended. `is_first_attempt` is whether it was its statement's
    /// first.
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

    /// The endpoint watch delivered a line; `event` is set if the line contained a new event.
    pub fn on_watch_line_read(&mut self, now: Nanos, event: Option<WatchEventLine>) {
        match event {
            Some(event) => self
                .coordinator
                .on_endpoint_event(now, event.position, &event.line),
            None => self.coordinator.on_event_source_activity(now),
        }
    }

    /// When [`Self::on_timer`] must be called next.
    pub fn next_timer(&self) -> Nanos {
        self.coordinator.next_timer()
    }

    /// Handles the timer at [`Self::next_timer`]. Does nothing if it is called earlier.
    pub fn on_timer(&mut self, now: Nanos) {
        if self.coordinator.next_timer() <= now {
            self.coordinator.on_timer(now, &mut self.output);
        }
    }

    /// Returns this gateway's view of the fleet.
    pub fn view(&self, now: Nanos) -> CoordinationView {
        self.coordinator.view(now)
    }
}
