//! Between the module's actor and `ivypitch_coordination`: keeps what it asked for until the module's actor does it. Nothing is
//! decided here.

use std::collections::VecDeque;

use async_channel::Sender;
use bytes::Bytes;
use ivypitch_coordination::{
    AttemptHealth, CoordinationMessage, CoordinationOutput, CoordinationView, Coordinator,
    GossipMessage, QuotaIndex,
};
use ivypitch_scheduler::OutlierStatus;
use ivypitch_types::{Incarnation, MemberId, Nanos, Outcome, ProcessId};

use super::discovery::ListMessage;
use super::peer_links::PeersMessage;

/// The bound on cores; behind it those of the customers' allowances, in their order.
pub const CORES: usize = 0;
pub const FIRST_ALLOWANCE: usize = 1;

/// What the module's actor is asked to do.
#[derive(Debug)]
pub enum Action {
    SetQuota(usize, f64),
    SetOutlierStatus(u64, OutlierStatus),
}

struct ActionQueue {
    pending: VecDeque<Action>,
    peers: Sender<PeersMessage>,
    list: Sender<ListMessage>,
}

impl CoordinationOutput for ActionQueue {
    fn send(&mut self, to: MemberId, message: CoordinationMessage) {
        let _ = self.peers.try_send(PeersMessage::Say { to: to.0, message });
    }
    fn send_gossip(&mut self, to: MemberId, gossip: GossipMessage) {
        let _ = self
            .peers
            .try_send(PeersMessage::Gossip { to: to.0, gossip });
    }
    fn on_quota_changed(&mut self, quota: QuotaIndex, share: f64) {
        self.pending.push_back(Action::SetQuota(quota.0, share));
    }
    fn on_outlier_status(&mut self, engine: u64, advice: OutlierStatus) {
        self.pending
            .push_back(Action::SetOutlierStatus(engine, advice));
    }
    fn on_endpoint_event(&mut self, _number: u64, line: &[u8]) {
        let _ = self
            .list
            .try_send(ListMessage::Event(Bytes::copy_from_slice(line)));
    }
    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}

fn process(place: u16, birth: u64) -> ProcessId {
    ProcessId {
        member: MemberId(place),
        incarnation: Incarnation(birth),
    }
}

pub struct CoordinationDriver {
    shares: Coordinator,
    actions: ActionQueue,
}

impl CoordinationDriver {
    pub fn new(
        shares: Coordinator,
        peers: Sender<PeersMessage>,
        list: Sender<ListMessage>,
    ) -> CoordinationDriver {
        CoordinationDriver {
            shares,
            actions: ActionQueue {
                pending: VecDeque::new(),
                peers,
                list,
            },
        }
    }

    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pending.pop_front()
    }

    pub fn has_actions(&self) -> bool {
        !self.actions.pending.is_empty()
    }

    pub fn on_member_up(&mut self, now: Nanos, place: u16, birth: u64) {
        self.shares
            .on_member_up(now, process(place, birth), &mut self.actions);
    }

    pub fn on_member_down(&mut self, now: Nanos, place: u16, birth: u64) {
        self.shares
            .on_member_down(now, process(place, birth), &mut self.actions);
    }

    pub fn on_message(&mut self, now: Nanos, from: u16, message: CoordinationMessage) {
        self.shares
            .on_message(now, MemberId(from), message, &mut self.actions);
    }

    pub fn on_gossip(&mut self, now: Nanos, gossip: GossipMessage) {
        self.shares.on_gossip(now, gossip, &mut self.actions);
    }

    pub fn on_endpoints_updated(&mut self, ready: &[u64]) {
        self.shares.set_ready_engines(ready);
    }

    /// A customer's statement came; of its whole allowance a second.
    pub fn on_statement_arrived(&mut self, tenant: usize, quota_per_second: f64) {
        let bound = QuotaIndex(FIRST_ALLOWANCE + tenant);
        let units = f64::from(self.shares.total_units(bound));
        if quota_per_second > 0.0 {
            self.shares.record_demand(bound, units / quota_per_second);
        }
    }

    /// The teams' queues hold and want so many of all cores.
    pub fn set_core_demand(&mut self, now: Nanos, cores: f64, all: f64) {
        let units = f64::from(self.shares.total_units(QuotaIndex(CORES)));
        self.shares.set_demand_level(
            now,
            QuotaIndex(CORES),
            units * (cores / all.max(1.0)).min(1.0),
        );
    }

    /// `is_first`: of its statement.
    pub fn on_attempt_ended(&mut self, now: Nanos, engine: u64, outcome: Outcome, is_first: bool) {
        if let Some(health) = AttemptHealth::from_outcome(outcome, is_first) {
            self.shares.on_attempt_ended(now, engine, health);
        }
    }

    pub fn on_journal_read(&mut self, now: Nanos, event: Option<(u64, Bytes)>) {
        match event {
            Some((number, line)) => self.shares.on_endpoint_event(now, number, &line),
            None => self.shares.on_event_source_heard(now),
        }
    }

    pub fn next_timer(&self) -> Nanos {
        self.shares.next_timer()
    }

    pub fn on_timer(&mut self, now: Nanos) {
        if self.shares.next_timer() <= now {
            self.shares.on_timer(now, &mut self.actions);
        }
    }

    pub fn view(&self, now: Nanos) -> CoordinationView {
        self.shares.view(now)
    }
}
