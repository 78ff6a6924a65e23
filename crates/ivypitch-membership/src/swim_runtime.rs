//! Collects what the SWIM library asks for: datagrams to send, timers to set, notices to act on.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use foca::{Notification, Runtime, Timer};
use ivypitch_types::{MemberId, Nanos};

use crate::MemberIdentity;

/// Datagrams that wait to be sent; beyond it the oldest are dropped, as a network would.
const MAX_WAITING_DATAGRAMS: usize = 4096;

/// A datagram for another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The member that it is for.
    pub to: MemberId,
    /// Its content.
    pub data: Vec<u8>,
}

/// What the library has noticed.
pub(crate) enum SwimNotice {
    Up(MemberIdentity),
    Down(MemberIdentity),
    /// A member goes by another identity.
    Renamed {
        from: MemberIdentity,
        to: MemberIdentity,
    },
}

/// A timer's due time; timers of the same time fire in the order in which they were set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    at: Nanos,
    serial: u64,
}

pub(crate) struct SwimRuntime {
    pub(crate) now: Nanos,
    timers: BTreeMap<TimerKey, Timer<MemberIdentity>>,
    last_serial: u64,
    datagrams: VecDeque<OutgoingDatagram>,
    notices: Vec<SwimNotice>,
}

impl SwimRuntime {
    pub(crate) fn new(now: Nanos) -> SwimRuntime {
        SwimRuntime {
            now,
            timers: BTreeMap::new(),
            last_serial: 0,
            datagrams: VecDeque::new(),
            notices: Vec::new(),
        }
    }

    pub(crate) fn next_timer(&self) -> Nanos {
        self.timers
            .first_key_value()
            .map_or(Nanos::MAX, |(key, _)| key.at)
    }

    /// The next timer that is due.
    pub(crate) fn take_due_timer(&mut self) -> Option<Timer<MemberIdentity>> {
        let first = self.timers.first_entry()?;
        (first.key().at <= self.now).then(|| first.remove())
    }

    pub(crate) fn take_notices(&mut self) -> Vec<SwimNotice> {
        std::mem::take(&mut self.notices)
    }

    pub(crate) fn take_datagram(&mut self) -> Option<OutgoingDatagram> {
        self.datagrams.pop_front()
    }

    pub(crate) fn drop_excess_datagrams(&mut self) {
        while self.datagrams.len() > MAX_WAITING_DATAGRAMS {
            self.datagrams.pop_front();
        }
    }
}

impl Runtime<MemberIdentity> for &mut SwimRuntime {
    fn notify(&mut self, notification: Notification<'_, MemberIdentity>) {
        let notice = match notification {
            Notification::MemberUp(identity) => SwimNotice::Up(*identity),
            Notification::MemberDown(identity) => SwimNotice::Down(*identity),
            Notification::Rename(from, to) => SwimNotice::Renamed {
                from: *from,
                to: *to,
            },
            _ => return,
        };
        self.notices.push(notice);
    }

    fn send_to(&mut self, to: MemberIdentity, data: &[u8]) {
        self.datagrams.push_back(OutgoingDatagram {
            to: to.member,
            data: data.to_vec(),
        });
    }

    fn submit_after(&mut self, event: Timer<MemberIdentity>, after: Duration) {
        self.last_serial += 1;
        let key = TimerKey {
            at: self.now + after.as_nanos() as Nanos,
            serial: self.last_serial,
        };
        self.timers.insert(key, event);
    }
}
