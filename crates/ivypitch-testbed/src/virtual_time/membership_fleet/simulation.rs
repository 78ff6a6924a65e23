//! The simulation: the members and the network between them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use ivypitch_membership::{
    MemberAddress, MemberList, Membership, MembershipParams, OutgoingDatagram,
};
use ivypitch_types::{Incarnation, MILLISECOND, MemberId, Nanos, ProcessId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Fleet;
use super::measurements::Measurements;

const PROTOCOL_VERSION: u16 = 1;

enum EventKind {
    Datagram(Vec<u8>),
    Timer,
}

struct Event {
    member: usize,
    kind: EventKind,
}

pub(super) struct Simulation {
    pub(super) fleet: Fleet,
    pub(super) now: Nanos,
    /// The process of each member; `None` while it is down.
    members: Vec<Option<Membership>>,
    incarnations: Vec<u64>,
    /// Time and serial of each event. Events of the same time are handled in the order in which
    /// they were scheduled.
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: BTreeMap<u64, Event>,
    last_serial: u64,
    /// Earliest timer that is scheduled, by member.
    timers: Vec<Nanos>,
    pub(super) rng: ChaCha8Rng,
    /// Whether the first zone is partitioned from the others.
    pub(super) is_partitioned: bool,
    pub(super) sent_datagrams: u64,
    pub(super) sent_bytes: u64,
}

impl Simulation {
    pub(super) fn new(fleet: Fleet, seed: u64) -> Simulation {
        Simulation {
            fleet,
            now: 0,
            members: (0..fleet.members).map(|_| None).collect(),
            incarnations: vec![0; fleet.members],
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_serial: 0,
            timers: vec![Nanos::MAX; fleet.members],
            rng: ChaCha8Rng::seed_from_u64(seed),
            is_partitioned: false,
            sent_datagrams: 0,
            sent_bytes: 0,
        }
    }

    pub(super) fn start_all(&mut self) {
        for member in 0..self.fleet.members {
            self.start(member);
        }
    }

    /// Starts the member's next process.
    pub(super) fn start(&mut self, member: usize) {
        self.incarnations[member] += 1;
        let seed = self.rng.random();
        let membership = Membership::new(MembershipParams {
            member_list: self.member_list(),
            process: ProcessId {
                member: MemberId(member as u16),
                incarnation: Incarnation(self.incarnations[member]),
            },
            protocol_version: PROTOCOL_VERSION,
            config: self.fleet.config,
            seed,
            now: self.now,
        });
        self.members[member] = Some(membership);
        self.timers[member] = Nanos::MAX;
        self.after_call(member);
    }

    /// Ends the member's process, if one runs, and returns its incarnation.
    pub(super) fn kill(&mut self, member: usize) -> Option<u64> {
        self.members[member].take()?;
        Some(self.incarnations[member])
    }

    /// Whether this is the member's latest process.
    pub(super) fn is_latest(&self, member: usize, incarnation: u64) -> bool {
        self.incarnations[member] == incarnation
    }

    /// Whether the member is in the zone that a partition cuts off.
    pub(super) fn is_in_cut_zone(&self, member: usize) -> bool {
        member.is_multiple_of(self.fleet.zones)
    }

    /// Whether all members reach each other.
    pub(super) fn is_complete(&self) -> bool {
        self.members.iter().flatten().all(|membership| {
            let reachable = membership.connectivity().reachable_members();
            usize::from(reachable) == self.fleet.members
        })
    }

    /// Runs until the given time. Membership events are measured if `measurements` is given.
    pub(super) fn run(&mut self, until: Nanos, mut measurements: Option<&mut Measurements>) {
        while let Some(&Reverse((at, serial))) = self.queue.peek()
            && at <= until
        {
            self.queue.pop();
            let Some(event) = self.events.remove(&serial) else {
                continue;
            };
            self.now = at;
            if self.handle(event.member, event.kind) {
                self.after_call(event.member);
                self.take_events(event.member, measurements.as_deref_mut());
            }
        }
        self.now = until;
    }

    /// Passes an event to a member. Returns false if the member is down or the timer is outdated.
    fn handle(&mut self, member: usize, kind: EventKind) -> bool {
        let Some(membership) = &mut self.members[member] else {
            return false;
        };
        match kind {
            EventKind::Datagram(data) => membership.on_datagram(self.now, &data),
            EventKind::Timer if self.timers[member] == self.now => {
                self.timers[member] = Nanos::MAX;
                membership.on_timer(self.now);
            }
            // The timer has been replaced.
            EventKind::Timer => return false,
        }
        true
    }

    /// Sends the member's datagrams and sets its timer.
    fn after_call(&mut self, member: usize) {
        while let Some(datagram) = self.members[member]
            .as_mut()
            .and_then(Membership::pop_datagram)
        {
            self.send(member, datagram);
        }
        let Some(timer) = self.members[member].as_ref().map(Membership::next_timer) else {
            return;
        };
        if timer < self.timers[member] {
            let at = timer.max(self.now + 1);
            self.timers[member] = at;
            self.schedule(at, member, EventKind::Timer);
        }
    }

    fn send(&mut self, from: usize, datagram: OutgoingDatagram) {
        let to = datagram.to.as_usize();
        self.sent_datagrams += 1;
        self.sent_bytes += datagram.data.len() as u64;
        let is_cut = self.is_partitioned && self.is_in_cut_zone(from) != self.is_in_cut_zone(to);
        if is_cut || self.rng.random_bool(self.fleet.datagram_loss) {
            return;
        }
        let transit = self.fleet.transit;
        let transit_ms = self.rng.random_range(transit.min_ms..transit.max_ms);
        let arrival = self.now + (transit_ms * MILLISECOND as f64) as Nanos;
        self.schedule(arrival, to, EventKind::Datagram(datagram.data));
    }

    fn take_events(&mut self, member: usize, mut measurements: Option<&mut Measurements>) {
        while let Some(event) = self.members[member]
            .as_mut()
            .and_then(Membership::pop_event)
        {
            if let Some(measurements) = &mut measurements {
                measurements.on_event(self, member, event);
            }
        }
    }

    fn schedule(&mut self, at: Nanos, member: usize, kind: EventKind) {
        self.last_serial += 1;
        self.events.insert(self.last_serial, Event { member, kind });
        self.queue.push(Reverse((at, self.last_serial)));
    }

    fn member_list(&self) -> MemberList {
        let address = |index: usize| MemberAddress {
            name: format!("n{index}"),
            zone: (index % self.fleet.zones) as u16,
            address: ([127, 0, 0, 1], 1000 + index as u16).into(),
        };
        MemberList {
            members: (0..self.fleet.members).map(address).collect(),
            zones: (0..self.fleet.zones)
                .map(|zone| format!("z{zone}"))
                .collect(),
        }
    }
}
