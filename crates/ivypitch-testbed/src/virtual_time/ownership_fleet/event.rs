//! Events of the simulation.

use ivypitch_ownership::{Message, StatementId};

/// An event. Events of a gateway's process name its incarnation and are ignored by any other.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A message between gateways arrives.
    Delivery {
        to: usize,
        incarnation: u64,
        from: usize,
        from_incarnation: u64,
        message: Message,
    },
    Timer {
        gateway: usize,
        incarnation: u64,
    },
    /// A gateway updates its view of another one.
    ViewUpdate {
        by: usize,
        of: usize,
    },
    ClientArrival {
        statement: usize,
    },
    /// A client gives up waiting for a gateway.
    ClientGivesUp {
        statement: usize,
        token: u64,
    },
    /// A decided attempt is dispatched to its engine.
    Dispatch {
        gateway: usize,
        incarnation: u64,
        id: StatementId,
        attempt: u32,
    },
    /// A gateway polls an attempt.
    Poll {
        gateway: usize,
        incarnation: u64,
        id: StatementId,
        serial: u64,
    },
    /// The deadline of a statement has passed.
    Deadline {
        gateway: usize,
        incarnation: u64,
        id: StatementId,
        serial: u64,
    },
    /// The fault of the plan with this index begins.
    FaultBegins(usize),
    FaultEnds(usize),
    Restart {
        gateway: usize,
    },
}

impl Event {
    /// The gateway whose process handles the event.
    pub(super) fn handled_by(&self) -> Option<usize> {
        match self {
            Event::Delivery { to, .. } => Some(*to),
            Event::ViewUpdate { by, .. } => Some(*by),
            Event::Timer { gateway, .. }
            | Event::Dispatch { gateway, .. }
            | Event::Poll { gateway, .. }
            | Event::Deadline { gateway, .. } => Some(*gateway),
            Event::ClientArrival { .. }
            | Event::ClientGivesUp { .. }
            | Event::FaultBegins(_)
            | Event::FaultEnds(_)
            | Event::Restart { .. } => None,
        }
    }
}
