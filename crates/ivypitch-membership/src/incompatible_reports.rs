//! Which processes with another protocol version or member list are reported.

use ivypitch_types::{Incarnation, MemberId, Nanos, SECOND};

/// Least time between two reports of one member, however many processes claim to be it.
const MIN_REPORT_INTERVAL: Nanos = 10 * SECOND;

/// The last report of one member.
#[derive(Clone, Copy, Debug)]
struct Report {
    incarnation: Incarnation,
    at: Nanos,
}

/// The last reports of all members.
#[derive(Clone, Debug)]
pub struct IncompatibleReports {
    by_member: Vec<Option<Report>>,
}

impl IncompatibleReports {
    /// Nothing has been reported yet, of a list of this many members.
    pub fn new(member_count: usize) -> IncompatibleReports {
        IncompatibleReports {
            by_member: vec![None; member_count],
        }
    }

    /// Whether to report the incompatible process now: each process once, and each member at most
    /// once in ten seconds.
    pub fn should_report(
        &mut self,
        now: Nanos,
        member: MemberId,
        incarnation: Incarnation,
    ) -> bool {
        let Some(last) = self.by_member.get_mut(member.as_usize()) else {
            return false;
        };
        let is_known = last.is_some_and(|last| {
            last.incarnation == incarnation || now < last.at + MIN_REPORT_INTERVAL
        });
        if !is_known {
            *last = Some(Report {
                incarnation,
                at: now,
            });
        }
        !is_known
    }
}
