//! Runtime of the SWIM library: collects its outgoing datagrams, timers and notifications.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use foca::{Notification, Runtime, Timer};
use ivypitch_types::{MemberId, Nanos};

use crate::MemberIdentity;

/// Maximum number of queued datagrams; beyond it the oldest are dropped, as a congested network
/// would.
const MAX_QUEUED_DATAGRAMS: usize = 4096;

/// A datagram for another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The receiving member.
    pub to: MemberId,
    /// Content of the datagram.
    pub data: Vec<u8>,
}

/// A notification of the SWIM library.
pub(crate) enum SwimNotification {
    Up(MemberIdentity),
    Down(MemberIdentity),
    /// A member has changed its identity.
    Renamed {
        from: MemberIdentity,
        to: MemberIdentity,
    },
}

/// Expiry time of a timer. Timers with the same expiry time fire in the order in which they were
/// set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    expires_at: Nanos,
    serial: u64,
}

/// Time, timers, outgoing datagrams and notifications of the SWIM library.
pub(crate) struct SwimRuntime {
    pub(crate) now: Nanos,
    timers: BTreeMap<TimerKey, Timer<MemberIdentity>>,
    last_serial: u64,
    datagrams: VecDeque<OutgoingDatagram>,
    notifications: Vec<SwimNotification>,
}

impl SwimRuntime {
    pub(crate) fn new(now: Nanos) -> SwimRuntime {
        SwimRuntime {
            now,
            timers: BTreeMap::new(),
            last_serial: 0,
            datagrams: VecDeque::new(),
            notifications: Vec::new(),
        }
    }

    pub(crate) fn next_timer(&self) -> Nanos {
        self.timers
            .first_key_value()
            .map_or(Nanos::MAX, |(key, _)| key.expires_at)
    }

    /// Removes and returns the next expired timer.
    pub(crate) fn pop_expired_timer(&mut self) -> Option<Timer<MemberIdentity>> {
        let first = self.timers.first_entry()?;
        (first.key().expires_at <= self.now).then(|| first.remove())
    }

    pub(crate) fn take_notifications(&mut self) -> Vec<SwimNotification> {
        std::mem::take(&mut self.notifications)
    }

    pub(crate) fn pop_datagram(&mut self) -> Option<OutgoingDatagram> {
        self.datagrams.pop_front()
    }

    pub(crate) fn drop_excess_datagrams(&mut self) {
        while self.datagrams.len() > MAX_QUEUED_DATAGRAMS {
            self.datagrams.pop_front();
        }
    }
}

impl Runtime<MemberIdentity> for &mut SwimRuntime {
    fn notify(&mut self, notification: Notification<'_, MemberIdentity>) {
        let swim_notification = match notification {
            Notification::MemberUp(identity) => SwimNotification::Up(*identity),
            Notification::MemberDown(identity) => SwimNotification::Down(*identity),
            Notification::Rename(from, to) => SwimNotification::Renamed {
                from: *from,
                to: *to,
            },
            _ => return,
        };
        self.notifications.push(swim_notification);
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
            expires_at: self.now + after.as_nanos() as Nanos,
            serial: self.last_serial,
        };
        self.timers.insert(key, event);
    }
}
