//! Events of a run.

use ivypitch_ownership::{Message, StatementId};

/// Events of a gateway name its incarnation, and pass by any other.
#[derive(Clone, Debug)]
pub(super) enum Event {
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
    /// One gateway comes to see another as it is.
    ViewUpdate {
        by: usize,
        of: usize,
    },
    ClientArrival {
        statement: usize,
    },
    /// A client has waited long enough for a silent gateway.
    ClientGivesUp {
        statement: usize,
        token: u64,
    },
    /// The dispatch that was decided happens.
    Dispatch {
        gateway: usize,
        incarnation: u64,
        id: StatementId,
        attempt: u32,
    },
    Poll {
        gateway: usize,
        incarnation: u64,
        id: StatementId,
        serial: u64,
    },
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
