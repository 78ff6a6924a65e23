//! Suspicion that this gateway itself is partitioned. A member that receives no datagrams, or that
//! lost most of the other members within a short time, cannot tell whether they have failed, so it
//! suspects that it is partitioned itself.

use std::collections::VecDeque;
use std::fmt;

use ivypitch_types::{Nanos, SECOND};

/// Whether this gateway may be partitioned from the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionSuspicion {
    /// There is no sign of a partition.
    None,
    /// It has received no datagram for a while: it was suspended, or is partitioned from all
    /// members.
    Isolated,
    /// It lost more members within a short time than it still reaches: it is in the smaller part of
    /// the fleet.
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

/// Time within which losses count as one event.
const LOSS_WINDOW: Nanos = 3 * SECOND;
/// Number of probe intervals without a datagram after which the gateway counts as isolated. With a
/// probe and its answer in each interval, the probability that this happens by chance is 1 in 10^9.
const MAX_SILENT_PROBE_INTERVALS: u64 = 4;

/// Derives the partition suspicion from received datagrams and lost members.
#[derive(Debug)]
pub(crate) struct PartitionDetector {
    probe_interval: Nanos,
    last_datagram_at: Nanos,
    /// Times of the latest losses; older ones are dropped when a loss is added.
    loss_times: VecDeque<Nanos>,
}

impl PartitionDetector {
    pub(crate) fn new(now: Nanos, probe_interval: Nanos) -> PartitionDetector {
        PartitionDetector {
            probe_interval,
            last_datagram_at: now,
            loss_times: VecDeque::new(),
        }
    }

    pub(crate) fn on_datagram(&mut self, now: Nanos) {
        self.last_datagram_at = now;
    }

    pub(crate) fn on_loss(&mut self, now: Nanos) {
        self.loss_times.push_back(now);
        self.drop_old_losses(now);
    }

    /// Removes the latest loss, because a lost member has refuted its loss.
    pub(crate) fn on_loss_refuted(&mut self, now: Nanos) {
        self.loss_times.pop_back();
        self.drop_old_losses(now);
    }

    fn drop_old_losses(&mut self, now: Nanos) {
        while self
            .loss_times
            .front()
            .is_some_and(|&at| at + LOSS_WINDOW < now)
        {
            self.loss_times.pop_front();
        }
    }

    /// Returns the current suspicion. `reachable`: the number of other reachable members.
    pub(crate) fn suspicion(&self, now: Nanos, reachable: usize) -> PartitionSuspicion {
        let recent_losses = self
            .loss_times
            .iter()
            .filter(|&&at| at + LOSS_WINDOW >= now)
            .count();
        let has_others = reachable + recent_losses > 0;
        let silence_deadline =
            self.last_datagram_at + MAX_SILENT_PROBE_INTERVALS * self.probe_interval;
        if has_others && now >= silence_deadline {
            PartitionSuspicion::Isolated
        } else if recent_losses > reachable + 1 {
            // The number of members that this gateway reaches includes itself.
            PartitionSuspicion::Minority
        } else {
            PartitionSuspicion::None
        }
    }
}
