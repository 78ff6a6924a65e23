//! Connectivity of the other members' processes.

use std::collections::BTreeSet;

use ivypitch_types::{Incarnation, MemberId, Nanos, ProcessId, SECOND};

/// Maximum time after a loss during which new statements are looked up, because they may come from
/// the lost member's clients.
const MAX_LOOKUP_WINDOW_AFTER_LOSS: Nanos = 5 * SECOND;

pub(crate) struct Members {
    own_process: ProcessId,
    /// Incarnations of the connected members, by member id.
    connected: Vec<Option<Incarnation>>,
    suspected: BTreeSet<MemberId>,
    /// When the last loss was detected.
    last_loss: Option<Nanos>,
}

impl Members {
    pub(crate) fn new(own_process: ProcessId, count: usize) -> Members {
        Members {
            own_process,
            connected: vec![None; count],
            suspected: BTreeSet::new(),
            last_loss: None,
        }
    }

    pub(crate) fn own_process(&self) -> ProcessId {
        self.own_process
    }

    pub(crate) fn is_process_connected(&self, process: ProcessId) -> bool {
        if process.member == self.own_process.member {
            return process == self.own_process;
        }
        self.connected
            .get(process.member.as_usize())
            .is_some_and(|&connected| connected == Some(process.incarnation))
    }

    pub(crate) fn is_connected(&self, member: MemberId) -> bool {
        member == self.own_process.member
            || self
                .connected
                .get(member.as_usize())
                .is_some_and(Option::is_some)
    }

    /// Whether the member is connected and not suspected.
    pub(crate) fn is_healthy(&self, member: MemberId) -> bool {
        self.is_connected(member) && !self.suspected.contains(&member)
    }

    pub(crate) fn on_up(&mut self, process: ProcessId) {
        if let Some(connected) = self.connected.get_mut(process.member.as_usize()) {
            *connected = Some(process.incarnation);
        }
        self.suspected.remove(&process.member);
    }

    /// Returns whether the process was connected.
    pub(crate) fn on_down(&mut self, now: Nanos, process: ProcessId) -> bool {
        let Some(connected) = self
            .connected
            .get_mut(process.member.as_usize())
            .filter(|connected| **connected == Some(process.incarnation))
        else {
            return false;
        };
        *connected = None;
        self.suspected.remove(&process.member);
        self.last_loss = Some(now);
        true
    }

    pub(crate) fn on_suspected(&mut self, member: MemberId) {
        self.suspected.insert(member);
    }

    pub(crate) fn on_suspicion_cleared(&mut self, member: MemberId) {
        self.suspected.remove(&member);
    }

    /// Whether a member may have been lost whose statements are not known here yet.
    pub(crate) fn has_recent_loss(&self, now: Nanos, max_statement_timeout: Nanos) -> bool {
        let window = max_statement_timeout.min(MAX_LOOKUP_WINDOW_AFTER_LOSS);
        self.is_any_suspected() || self.last_loss.is_some_and(|at| now < at + window)
    }

    /// Whether no member was lost within the last `window` and none is suspected.
    pub(crate) fn has_been_stable_for(&self, now: Nanos, window: Nanos) -> bool {
        self.last_loss.is_none_or(|at| now >= at + window) && !self.is_any_suspected()
    }

    fn is_any_suspected(&self) -> bool {
        !self.suspected.is_empty()
    }
}
