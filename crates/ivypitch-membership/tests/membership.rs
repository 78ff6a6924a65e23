//! Membership over a simulated network: reachable, lost and incompatible members, and partition
//! suspicion.

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

struct TestNetwork {
    now: Nanos,
    /// Running process of each member; `None`: none runs.
    members: Vec<Option<Membership>>,
    /// Events in order of their occurrence, each with the member that reported it.
    events: Vec<(usize, MembershipEvent)>,
}

impl TestNetwork {
    fn new(names: &[&str]) -> TestNetwork {
        TestNetwork {
            now: 0,
            members: (0..names.len())
                .map(|i| Some(membership(names, process(i, 1), 9, 0)))
                .collect(),
            events: Vec::new(),
        }
    }

    /// Runs the members for `duration`; each datagram arrives within one millisecond.
    fn run(&mut self, duration: Nanos) {
        let end = self.now + duration;
        while self.now < end {
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

    fn position(&self, reporter: usize, event: MembershipEvent) -> Option<usize> {
        self.events
            .iter()
            .position(|known| *known == (reporter, event))
    }
}

#[test]
fn members_find_each_other_and_detect_a_loss_within_a_second() {
    let mut network = TestNetwork::new(&["a", "b", "c", "d"]);
    network.run(SECOND);
    assert!(
        network
            .members
            .iter()
            .flatten()
            .all(|m| m.connectivity().reachable_members() == 4)
    );
    network.members[2] = None;
    network.run(SECOND);
    for reporter in [0, 1, 3] {
        let down = MembershipEvent::MemberDown(process(2, 1));
        assert!(
            network.position(reporter, down).is_some(),
            "{reporter}: {:?}",
            network.events
        );
    }
    assert!(
        network.members[0]
            .as_ref()
            .is_some_and(|m| m.connectivity().is_majority())
    );
}

#[test]
fn a_restarted_member_is_reported_lost_and_then_up_at_once() {
    let mut network = TestNetwork::new(&["a", "b", "c"]);
    network.run(SECOND);
    network.members[1] = Some(membership(&["a", "b", "c"], process(1, 2), 4, network.now));
    network.run(SECOND / 2);
    for reporter in [0, 2] {
        let down = network.position(reporter, MembershipEvent::MemberDown(process(1, 1)));
        let up = network.position(reporter, MembershipEvent::MemberUp(process(1, 2)));
        assert!(
            down.is_some() && down < up,
            "{reporter}: {:?}",
            network.events
        );
    }
}

#[test]
fn a_member_that_receives_no_datagrams_suspects_a_partition() {
    let mut network = TestNetwork::new(&["a", "b", "c"]);
    network.run(SECOND);
    (network.members[1], network.members[2]) = (None, None);
    network.run(SECOND);
    let has_suspected = network.events.iter().any(|(reporter, event)| {
        *reporter == 0
            && matches!(event, MembershipEvent::PartitionSuspicionChanged(suspicion)
                if *suspicion != PartitionSuspicion::None)
    });
    assert!(has_suspected, "{:?}", network.events);
    assert!(
        !network.members[0]
            .as_ref()
            .is_some_and(|m| m.connectivity().is_majority())
    );
}

#[test]
fn a_member_with_another_list_is_reported_once_and_ignored() {
    let mut network = TestNetwork::new(&["a", "b"]);
    network.members[1] = Some(membership(&["a", "x"], process(1, 1), 4, 0));
    network.run(2 * SECOND);
    let incompatible = network.events.iter().filter(|(reporter, event)| {
        *reporter == 0
            && matches!(
                event,
                MembershipEvent::IncompatibleMember {
                    member: MemberId(1),
                    ..
                }
            )
    });
    assert_eq!(incompatible.count(), 1);
    let reaches_incompatible_member = |m: &Membership| m.is_reachable(MemberId(1));
    assert!(
        !network.members[0]
            .as_ref()
            .is_some_and(reaches_incompatible_member)
    );
    // Datagrams that cannot be decoded are ignored.
    for undecodable in [&b""[..], &[0xff; 40], &[0; 1500]] {
        network.members[0]
            .as_mut()
            .unwrap()
            .on_datagram(network.now, undecodable);
    }
}

/// All members start at once, or one by one while running members send to members that have not
/// started.
#[test]
fn all_members_of_a_large_fleet_reach_each_other_at_any_start_interval() {
    let names: Vec<String> = (0..30).map(|i| format!("n{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    for start_interval_ms in [0, 8, 40, 400] {
        let mut network = TestNetwork::new(&names);
        network.members.iter_mut().for_each(|member| *member = None);
        for i in 0..names.len() {
            let incarnation = 1_796_171_261_574 + network.now / MILLISECOND;
            let seed = 9 + i as u64;
            let started = membership(&names, process(i, incarnation), seed, network.now);
            network.members[i] = Some(started);
            network.run(start_interval_ms * MILLISECOND);
        }
        network.run(8 * SECOND);
        let reachable: Vec<u16> = network
            .members
            .iter()
            .flatten()
            .map(|m| m.connectivity().reachable_members())
            .collect();
        assert!(
            reachable.iter().all(|&n| n == 30),
            "started every {start_interval_ms} ms: {reachable:?}"
        );
    }
}
