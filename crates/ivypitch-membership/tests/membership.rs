//! A few members without a network between them: who is up, who is lost, who is incompatible.

use ivypitch_membership::{
    MemberAddress, MemberList, Membership, MembershipConfig, MembershipEvent, MembershipParams,
    OutgoingDatagram, PartitionSuspicion,
};
use ivypitch_types::{Incarnation, MILLISECOND, MemberId, Nanos, ProcessId, SECOND};

fn member_list(names: &[&str]) -> MemberList {
    let member = |(i, name): (usize, &&str)| MemberAddress {
        name: (*name).to_owned(),
        zone: i as u16 % 2,
        address: ([127, 0, 0, 1], 1 + i as u16).into(),
    };
    MemberList {
        members: names.iter().enumerate().map(member).collect(),
        zones: vec!["a".into(), "b".into()],
    }
}

fn process(member: usize, incarnation: u64) -> ProcessId {
    ProcessId {
        member: MemberId(member as u16),
        incarnation: Incarnation(incarnation),
    }
}

fn membership(names: &[&str], process: ProcessId, seed: u64, now: Nanos) -> Membership {
    Membership::new(MembershipParams {
        member_list: member_list(names),
        process,
        protocol_version: 1,
        config: MembershipConfig::default(),
        seed,
        now,
    })
}

struct Net {
    now: Nanos,
    /// By member; `None`: no process.
    members: Vec<Option<Membership>>,
    /// Of each member.
    events: Vec<(usize, MembershipEvent)>,
}

impl Net {
    fn new(names: &[&str]) -> Net {
        Net {
            now: 0,
            members: (0..names.len())
                .map(|i| Some(membership(names, process(i, 1), 9, 0)))
                .collect(),
            events: Vec::new(),
        }
    }

    /// Each datagram arrives within the millisecond.
    fn run(&mut self, span: Nanos) {
        let until = self.now + span;
        while self.now < until {
            self.now += MILLISECOND;
            for i in 0..self.members.len() {
                let Some(member) = self.members[i].as_mut() else {
                    continue;
                };
                if member.next_timer() <= self.now {
                    member.on_timer(self.now);
                }
                while let Some(OutgoingDatagram { to, data }) =
                    self.members[i].as_mut().and_then(Membership::pop_datagram)
                {
                    if let Some(to) = self.members.get_mut(to.as_usize()).and_then(Option::as_mut) {
                        to.on_datagram(self.now, &data);
                    }
                }
                while let Some(event) = self.members[i].as_mut().and_then(Membership::pop_event) {
                    self.events.push((i, event));
                }
            }
        }
    }

    fn position(&self, by: usize, event: MembershipEvent) -> Option<usize> {
        self.events.iter().position(|known| *known == (by, event))
    }
}

#[test]
fn members_find_each_other_and_notice_a_loss_within_a_second() {
    let mut net = Net::new(&["a", "b", "c", "d"]);
    net.run(SECOND);
    assert!(
        net.members
            .iter()
            .flatten()
            .all(|m| m.connectivity().reachable_members() == 4)
    );
    net.members[2] = None;
    net.run(SECOND);
    for by in [0, 1, 3] {
        let down = MembershipEvent::MemberDown(process(2, 1));
        assert!(net.position(by, down).is_some(), "{by}: {:?}", net.events);
    }
    assert!(
        net.members[0]
            .as_ref()
            .is_some_and(|m| m.connectivity().is_majority())
    );
}

#[test]
fn a_restarted_member_is_reported_lost_and_then_up_at_once() {
    let mut net = Net::new(&["a", "b", "c"]);
    net.run(SECOND);
    net.members[1] = Some(membership(&["a", "b", "c"], process(1, 2), 4, net.now));
    net.run(SECOND / 2);
    for by in [0, 2] {
        let down = net.position(by, MembershipEvent::MemberDown(process(1, 1)));
        let up = net.position(by, MembershipEvent::MemberUp(process(1, 2)));
        assert!(down.is_some() && down < up, "{by}: {:?}", net.events);
    }
}

#[test]
fn a_member_that_hears_from_nobody_suspects_a_partition() {
    let mut net = Net::new(&["a", "b", "c"]);
    net.run(SECOND);
    (net.members[1], net.members[2]) = (None, None);
    net.run(SECOND);
    let suspects = net.events.iter().any(|(by, event)| {
        *by == 0
            && matches!(event, MembershipEvent::PartitionSuspicionChanged(suspicion)
                if *suspicion != PartitionSuspicion::None)
    });
    assert!(suspects, "{:?}", net.events);
    assert!(
        !net.members[0]
            .as_ref()
            .is_some_and(|m| m.connectivity().is_majority())
    );
}

#[test]
fn a_member_with_another_list_is_reported_once_and_ignored() {
    let mut net = Net::new(&["a", "b"]);
    net.members[1] = Some(membership(&["a", "x"], process(1, 1), 4, 0));
    net.run(2 * SECOND);
    let incompatible = net.events.iter().filter(|(by, event)| {
        *by == 0
            && matches!(
                event,
                MembershipEvent::IncompatibleMember {
                    member: MemberId(1),
                    ..
                }
            )
    });
    assert_eq!(incompatible.count(), 1);
    let reaches_it = |m: &Membership| m.is_reachable(MemberId(1));
    assert!(!net.members[0].as_ref().is_some_and(reaches_it));
    // Noise changes nothing.
    for noise in [&b""[..], &[0xff; 40], &[0; 1500]] {
        net.members[0].as_mut().unwrap().on_datagram(net.now, noise);
    }
}

/// At once, or one by one while others send to members that have not started.
#[test]
fn a_large_fleet_is_complete_soon_however_its_members_start() {
    let names: Vec<String> = (0..30).map(|i| format!("n{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    for gap in [0, 8, 40, 400] {
        let mut net = Net::new(&names);
        net.members.iter_mut().for_each(|member| *member = None);
        for i in 0..names.len() {
            let incarnation = 1_796_171_261_574 + net.now / MILLISECOND;
            let seed = 9 + i as u64;
            let started = membership(&names, process(i, incarnation), seed, net.now);
            net.members[i] = Some(started);
            net.run(gap * MILLISECOND);
        }
        net.run(8 * SECOND);
        let reachable: Vec<u16> = net
            .members
            .iter()
            .flatten()
            .map(|m| m.connectivity().reachable_members())
            .collect();
        assert!(
            reachable.iter().all(|&n| n == 30),
            "started each {gap} ms: {reachable:?}"
        );
    }
}
