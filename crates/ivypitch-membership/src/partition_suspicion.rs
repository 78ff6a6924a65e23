//! Whether this gateway is the one that is partitioned. A member that hears from nobody, or has lost most of the others
//! at once, can say nothing about them: it suspects itself.

use std::collections::VecDeque;
use std::fmt;

use ivypitch_types::{Nanos, SECOND};

/// Whether this gateway may be partitioned from the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionSuspicion {
    /// Nothing speaks for it.
    None,
    /// It has heard from nobody for a while: it was suspended, or is cut off from all.
    Isolated,
    /// Within a short time it lost more members than it still reaches: it is in the smaller part.
    Minority,
}

impl fmt::Display for PartitionSuspicion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PartitionSuspicion::None => "none",
            PartitionSuspicion::Isolated => "isolated",
            PartitionSuspicion::Minority => "minority",
        })
    }
}

/// Losses within this time count as one event.
const LOSS_WINDOW: Nanos = 3 * SECOND;
/// So many probe intervals without a datagram: with a probe and its answer in each, chance alone needs 1 in 10^9.
const MAX_SILENT_PROBES: u64 = 4;

/// What the suspicion follows from.
#[derive(Debug)]
pub(crate) struct PartitionDetector {
    probe_interval: Nanos,
    last_datagram: Nanos,
    /// Times of the latest losses; older ones are dropped as others come.
    losses: VecDeque<Nanos>,
}

impl PartitionDetector {
    pub(crate) fn new(now: Nanos, probe_interval: Nanos) -> PartitionDetector {
        PartitionDetector {
            probe_interval,
            last_datagram: now,
            losses: VecDeque::new(),
        }
    }

    pub(crate) fn on_datagram(&mut self, now: Nanos) {
        self.last_datagram = now;
    }

    pub(crate) fn on_loss(&mut self, now: Nanos) {
        self.losses.push_back(now);
        self.drop_old_losses(now);
    }

    /// A lost member is back: its loss was wrong.
    pub(crate) fn on_loss_refuted(&mut self, now: Nanos) {
        self.losses.pop_back();
        self.drop_old_losses(now);
    }

    fn drop_old_losses(&mut self, now: Nanos) {
        while self
            .losses
            .front()
            .is_some_and(|&at| at + LOSS_WINDOW < now)
        {
            self.losses.pop_front();
        }
    }

    /// `reachable`: the other members that are.
    pub(crate) fn suspicion(&self, now: Nanos, reachable: usize) -> PartitionSuspicion {
        let recent_losses = self
            .losses
            .iter()
            .filter(|&&at| at + LOSS_WINDOW >= now)
            .count();
        let has_others = reachable + recent_losses > 0;
        let silent_from = self.last_datagram + MAX_SILENT_PROBES * self.probe_interval;
        if has_others && now >= silent_from {
            PartitionSuspicion::Isolated
        } else if recent_losses > reachable + 1 {
            // This gateway counts among those that it reaches.
            PartitionSuspicion::Minority
        } else {
            PartitionSuspicion::None
        }
    }
}
