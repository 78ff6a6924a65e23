//! The state of one gateway of the fleet.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ivypitch_coordination::{
    CoordinationMessage, CoordinationOutput, Coordinator, GossipMessage, QuotaIndex,
};
use ivypitch_scheduler::OutlierStatus;
use ivypitch_types::{Incarnation, MemberId, Nanos, ProcessId};

use super::event::Event;

/// One process of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Process {
    pub(super) gateway: usize,
    pub(super) incarnation: u64,
}

impl Process {
    pub(super) fn id(self) -> ProcessId {
        ProcessId {
            member: MemberId(self.gateway as u16),
            incarnation: Incarnation(self.incarnation),
        }
    }
}

/// Demand of a gateway for the quotas, and its rate of statements.
#[derive(Clone, Copy, Default)]
pub(super) struct Demand {
    /// Demand for the level quota, in units.
    pub(super) level_units: f64,
    /// Demand for the window quota, in units per second.
    pub(super) spent_per_second: f64,
    pub(super) statements_per_second: f64,
}

/// The outcome of an attempt as the gateway's own outlier detection records it.
#[derive(Clone, Copy)]
pub(super) struct OwnOutcome {
    pub(super) at: Nanos,
    pub(super) is_success: bool,
}

pub(super) struct Gateway {
    pub(super) coordinator: Coordinator,
    pub(super) process: Process,
    /// Rate of the gateway's clock relative to true time.
    pub(super) clock_rate: f64,
    /// True time at which the process and its clock started.
    pub(super) started_at: Nanos,
    pub(super) is_up: bool,
    pub(super) is_suspended: bool,
    /// Events that arrived while the process was suspended.
    pub(super) held_events: Vec<Event>,
    /// By member: the incarnation that the gateway considers reachable.
    pub(super) reachable: Vec<Option<u64>>,
    pub(super) next_timer: Nanos,
    pub(super) demand: Demand,
    /// Demand for the window quota that does not yet add up to a unit.
    pub(super) unspent_demand: f64,
    /// Status of each engine as the fleet has agreed on it, by engine number.
    pub(super) fleet_status: BTreeMap<u64, OutlierStatus>,
    /// Recent outcomes by engine, for the gateway's own outlier detection, which follows the
    /// scheduler's.
    pub(super) own_outcomes: BTreeMap<usize, VecDeque<OwnOutcome>>,
    /// Engines that the gateway's own outlier detection has ejected.
    pub(super) own_ejected: BTreeSet<usize>,
    /// Earliest time of the next engine probe, by engine.
    pub(super) next_probe: BTreeMap<usize, Nanos>,
    pub(super) sends_since_probe: u32,
}

impl Gateway {
    /// Converts true time to the time of the gateway's clock.
    pub(super) fn local_time(&self, at: Nanos) -> Nanos {
        self.started_at + (at.saturating_sub(self.started_at) as f64 * self.clock_rate) as Nanos
    }

    /// Converts a time of the gateway's clock to true time.
    pub(super) fn true_time(&self, local: Nanos) -> Nanos {
        if local == Nanos::MAX {
            return Nanos::MAX;
        }
        let elapsed = local.saturating_sub(self.started_at) as f64 / self.clock_rate;
        self.started_at + elapsed as Nanos + 1
    }

    pub(super) fn is_running(&self) -> bool {
        self.is_up && !self.is_suspended
    }
}

/// An action that a coordinator requests.
pub(super) enum Action {
    Send(MemberId, CoordinationMessage),
    SendGossip(MemberId, GossipMessage),
    SetStatus(u64, OutlierStatus),
}

/// Collects the requested actions in order.
#[derive(Default)]
pub(super) struct Actions(pub(super) Vec<Action>);

impl CoordinationOutput for Actions {
    fn send(&mut self, to: MemberId, message: CoordinationMessage) {
        self.0.push(Action::Send(to, message));
    }
    fn send_gossip(&mut self, to: MemberId, gossip: GossipMessage) {
        self.0.push(Action::SendGossip(to, gossip));
    }
    fn on_quota_share_changed(&mut self, _quota: QuotaIndex, _share: f64) {}
    fn on_outlier_status(&mut self, engine: u64, status: OutlierStatus) {
        self.0.push(Action::SetStatus(engine, status));
    }
    fn on_endpoint_event(&mut self, _number: u64, _line: &[u8]) {}
    fn log(&mut self, _line: &str) {}
}
