//! What is known of one member.

use ivypitch_types::{Incarnation, Nanos, ProcessId};

use crate::MemberIdentity;

/// Whether a member is there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberState {
    /// Nothing was ever received from it.
    #[default]
    Unknown,
    /// It answers, to this gateway or to others.
    Reachable,
    /// Some member's probe was not answered; it may still refute that it is lost.
    Suspected,
    /// It did not refute it, or said that it ends.
    Lost,
}

impl MemberState {
    /// Whether a suspicion waits to be refuted.
    pub fn is_suspected(self) -> bool {
        self == MemberState::Suspected
    }

    /// Whether the member counts as there: as long as it may refute a suspicion.
    pub fn is_reachable(self) -> bool {
        matches!(self, MemberState::Reachable | MemberState::Suspected)
    }
}

/// What is known of one member.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemberStatus {
    /// Whether its process is there.
    pub state: MemberState,
    /// The process that the state is about.
    pub incarnation: Incarnation,
    /// Since when it is so.
    pub since: Nanos,
    /// Version of its messages.
    pub protocol_version: u16,
}

/// What the failure detector says about a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Notice {
    Up,
    Down,
}

/// What a notice changes for others, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Transition {
    /// This process is gone.
    pub(crate) down: Option<ProcessId>,
    /// The loss reported before was wrong.
    pub(crate) is_refuted: bool,
    /// This process is there.
    pub(crate) up: Option<ProcessId>,
}

impl MemberStatus {
    /// The one function that applies what the failure detector says. `None`: the process is an earlier one.
    pub(crate) fn transition(
        &mut self,
        now: Nanos,
        identity: MemberIdentity,
        notice: Notice,
    ) -> Option<Transition> {
        if identity.incarnation < self.incarnation {
            return None;
        }
        let process = identity.process();
        let is_same_process = identity.incarnation == self.incarnation;
        let previous = ProcessId {
            incarnation: self.incarnation,
            ..process
        };
        // A process that was never known needs no loss.
        let replaced = (self.incarnation > Incarnation(0)).then_some(previous);
        let transition = match (self.state, is_same_process, notice) {
            (MemberState::Reachable | MemberState::Suspected, true, Notice::Up) => {
                Transition::default()
            }
            (MemberState::Reachable | MemberState::Suspected, true, Notice::Down) => Transition {
                down: Some(process),
                ..Transition::default()
            },
            (MemberState::Reachable | MemberState::Suspected, false, Notice::Up) => Transition {
                down: replaced,
                up: Some(process),
                ..Transition::default()
            },
            (MemberState::Reachable | MemberState::Suspected, false, Notice::Down) => Transition {
                down: replaced,
                ..Transition::default()
            },
            (MemberState::Unknown | MemberState::Lost, _, Notice::Up) => Transition {
                is_refuted: is_same_process && self.state == MemberState::Lost,
                up: Some(process),
                ..Transition::default()
            },
            (MemberState::Unknown | MemberState::Lost, _, Notice::Down) => Transition::default(),
        };
        *self = MemberStatus {
            state: match notice {
                Notice::Up => MemberState::Reachable,
                Notice::Down => MemberState::Lost,
            },
            incarnation: identity.incarnation,
            since: now,
            protocol_version: identity.protocol_version,
        };
        Some(transition)
    }

    /// Takes over whether the failure detector suspects a process that is there.
    pub(crate) fn set_suspected(&mut self, now: Nanos, is_suspected: bool) {
        let next = match (self.state, is_suspected) {
            (MemberState::Reachable, true) => MemberState::Suspected,
            (MemberState::Suspected, false) => MemberState::Reachable,
            _ => return,
        };
        self.state = next;
        self.since = now;
    }
}
