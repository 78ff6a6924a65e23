//! What happens at a point in time.

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
    /// The coordinator's timer is due.
    Timer(Process),
    /// Membership looks whether a member is there.
    CheckMember {
        by: usize,
        member: usize,
    },
    /// Quotas and engines are counted.
    Step,
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
    /// The gateway that handles it.
    pub(super) fn gateway(&self) -> Option<usize> {
        match self {
            Event::Message { to, .. } | Event::Gossip { to, .. } => Some(to.gateway),
            Event::Timer(process) | Event::Send(process) => Some(process.gateway),
            Event::AttemptEnded { by, .. } => Some(by.gateway),
            Event::CheckMember { by, .. } => Some(*by),
            Event::Step | Event::FaultBegins(_) | Event::FaultEnds(_) | Event::Restart { .. } => {
                None
            }
        }
    }
}
