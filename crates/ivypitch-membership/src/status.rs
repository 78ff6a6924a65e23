//! Status of one member, and its transitions.

use ivypitch_types::{Incarnation, Nanos, ProcessId};

use crate::MemberIdentity;

/// State of a member according to the failure detector.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberState {
    /// The failure detector has not reported on it yet.
    #[default]
    Unknown,
    /// It answers this gateway or other members.
    Reachable,
    /// It did not answer some member's probe, but may still refute that it is lost.
    Suspected,
    /// It did not refute the suspicion, or announced that it ends.
    Lost,
}

impl MemberState {
    /// Whether the member is suspected and may still refute the suspicion.
    pub fn is_suspected(self) -> bool {
        self == MemberState::Suspected
    }

    /// Whether the member counts as reachable, which includes a suspected member.
    pub fn is_reachable(self) -> bool {
        matches!(self, MemberState::Reachable | MemberState::Suspected)
    }
}

/// Status of one member.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemberStatus {
    /// State of its process.
    pub state: MemberState,
    /// Incarnation of the process that the state belongs to.
    pub incarnation: Incarnation,
    /// Time since which the member has been in this state.
    pub since: Nanos,
    /// Protocol version of the process.
    pub protocol_version: u16,
}

/// A change that the failure detector reports for a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LivenessChange {
    Up,
    Down,
}

/// Events that result from a liveness change, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Transition {
    /// The process that is no longer reachable.
    pub(crate) down: Option<ProcessId>,
    /// Whether the loss that was reported before was wrong.
    pub(crate) is_refuted: bool,
    /// The process that has become reachable.
    pub(crate) up: Option<ProcessId>,
}

impl MemberStatus {
    /// Applies a change that the failure detector reports; nothing else changes the process.
    /// Returns `None` for a process earlier than the known one.
    pub(crate) fn transition(
        &mut self,
        now: Nanos,
        identity: MemberIdentity,
        change: LivenessChange,
    ) -> Option<Transition> {
        if identity.incarnation < self.incarnation {
            return None;
        }
        let process = identity.process();
        let is_same_process = identity.incarnation == self.incarnation;
        let previous_process = ProcessId {
            incarnation: self.incarnation,
            ..process
        };
        // No loss is reported for a process that was never known.
        let replaced_process = (self.incarnation > Incarnation(0)).then_some(previous_process);
        let transition = match (self.state, is_same_process, change) {
            (MemberState::Reachable | MemberState::Suspected, true, LivenessChange::Up) => {
                Transition::default()
            }
            (MemberState::Reachable | MemberState::Suspected, true, LivenessChange::Down) => {
                Transition {
                    down: Some(process),
                    ..Transition::default()
                }
            }
            (MemberState::Reachable | MemberState::Suspected, false, LivenessChange::Up) => {
                Transition {
                    down: replaced_process,
                    up: Some(process),
                    ..Transition::default()
                }
            }
            (MemberState::Reachable | MemberState::Suspected, false, LivenessChange::Down) => {
                Transition {
                    down: replaced_process,
                    ..Transition::default()
                }
            }
            (MemberState::Unknown | MemberState::Lost, _, LivenessChange::Up) => Transition {
                is_refuted: is_same_process && self.state == MemberState::Lost,
                up: Some(process),
                ..Transition::default()
            },
            (MemberState::Unknown | MemberState::Lost, _, LivenessChange::Down) => {
                Transition::default()
            }
        };
        *self = MemberStatus {
            state: match change {
                LivenessChange::Up => MemberState::Reachable,
                LivenessChange::Down => MemberState::Lost,
            },
            incarnation: identity.incarnation,
            since: now,
            protocol_version: identity.protocol_version,
        };
        Some(transition)
    }

    /// Sets whether the failure detector suspects a reachable process.
    pub(crate) fn set_suspected(&mut self, now: Nanos, is_suspected: bool) {
        let next_state = match (self.state, is_suspected) {
            (MemberState::Reachable, true) => MemberState::Suspected,
            (MemberState::Suspected, false) => MemberState::Reachable,
            _ => return,
        };
        self.state = next_state;
        self.since = now;
    }
}
