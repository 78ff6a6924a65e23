//! Events of the simulation.

use ivypitch_coordination::{AttemptHealth, CoordinationMessage, GossipMessage};

use super::gateway::Process;
use crate::virtual_time::faults::Fault;

pub(super) enum Event {
    /// A message arrives on a link.
    Message {
        to: Process,
        from: Process,
        message: CoordinationMessage,
    },
    /// A gossip datagram arrives.
    Gossip {
        to: Process,
        gossip: GossipMessage,
    },
    /// The coordinator's timer fires.
    Timer(Process),
    /// A gateway updates its view of whether a member is reachable.
    CheckMember {
        by: usize,
        member: usize,
    },
    /// Quotas and engines are measured.
    Measure,
    FaultBegins(Fault),
    FaultEnds(Fault),
    Restart {
        gateway: usize,
    },
    /// A gateway sends a statement.
    Send(Process),
    /// An attempt has ended.
    AttemptEnded {
        by: Process,
        engine: usize,
        health: AttemptHealth,
    },
}

impl Event {
    /// The gateway that handles the event, if it is for one gateway.
    pub(super) fn gateway(&self) -> Option<usize> {
        match self {
            Event::Message { to, .. } | Event::Gossip { to, .. } => Some(to.gateway),
            Event::Timer(process) | Event::Send(process) => Some(process.gateway),
            Event::AttemptEnded { by, .. } => Some(by.gateway),
            Event::CheckMember { by, .. } => Some(*by),
            Event::Measure
            | Event::FaultBegins(_)
            | Event::FaultEnds(_)
            | Event::Restart { .. } => None,
        }
    }
}
