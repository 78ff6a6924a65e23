//! Between the module's actor and `ivypitch_coordination`: keeps what it asked for until the module's actor does it. Nothing is
//! decided here.

use std::collections::VecDeque;

use async_channel::Sender;
use bytes::Bytes;
use ivypitch_coordination::{CoordinationOutput, Gossip, Message, Saw, Shares, View};
use ivypitch_scheduler::OutlierStatus;
use ivypitch_types::{MemberId, Nanos, Outcome};

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
    fn send(&mut self, to: MemberId, message: Message) {
        let _ = self.peers.try_send(PeersMessage::Say { to: to.0, message });
    }
    fn send_gossip(&mut self, to: MemberId, gossip: Gossip) {
        let _ = self
            .peers
            .try_send(PeersMessage::Gossip { to: to.0, gossip });
    }
    fn on_quota_changed(&mut self, bound: usize, part: f64) {
        self.pending.push_back(Action::SetQuota(bound, part));
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

pub struct CoordinationDriver {
    shares: Shares,
    actions: ActionQueue,
}

impl CoordinationDriver {
    pub fn new(
        shares: Shares,
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
        self.shares.member_up(now, place, birth, &mut self.actions);
    }

    pub fn on_member_down(&mut self, now: Nanos, place: u16, birth: u64) {
        self.shares
            .member_down(now, place, birth, &mut self.actions);
    }

    pub fn on_message(&mut self, now: Nanos, from: u16, message: Message) {
        self.shares.heard(now, from, message, &mut self.actions);
    }

    pub fn on_gossip(&mut self, now: Nanos, gossip: Gossip) {
        self.shares.gossip(now, gossip, &mut self.actions);
    }

    pub fn on_endpoints_updated(&mut self, ready: &[u64]) {
        self.shares.listed(ready);
    }

    /// A customer's statement came; of its whole allowance a second.
    pub fn on_statement_arrived(&mut self, tenant: usize, quota_per_second: f64) {
        let bound = FIRST_ALLOWANCE + tenant;
        let units = f64::from(self.shares.units(bound));
        if quota_per_second > 0.0 {
            self.shares.wanted(bound, units / quota_per_second);
        }
    }

    /// The teams' queues hold and want so many of all cores.
    pub fn set_core_demand(&mut self, now: Nanos, cores: f64, all: f64) {
        let units = f64::from(self.shares.units(CORES));
        self.shares
            .needs(now, CORES, units * (cores / all.max(1.0)).min(1.0));
    }

    /// `is_first`: of its statement.
    pub fn on_attempt_ended(&mut self, now: Nanos, engine: u64, outcome: Outcome, is_first: bool) {
        if let Some(saw) = Saw::of(outcome, is_first) {
            self.shares.saw(now, engine, saw);
        }
    }

    pub fn on_journal_read(&mut self, now: Nanos, event: Option<(u64, Bytes)>) {
        match event {
            Some((number, line)) => self.shares.event_taken(now, number, &line),
            None => self.shares.journal_heard(now),
        }
    }

    pub fn next_timer(&self) -> Nanos {
        self.shares.next_wake()
    }

    pub fn on_timer(&mut self, now: Nanos) {
        if self.shares.next_wake() <= now {
            self.shares.woken(now, &mut self.actions);
        }
    }

    pub fn view(&self, now: Nanos) -> View {
        self.shares.view(now)
    }
}
