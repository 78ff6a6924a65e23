//! Exhaustive model check of the real quota leases: request, grant, extend, release, revoke, crash and restart among three
//! members, one of them with a slow clock and one with a fast one. Messages arrive in any order, any number of times, or
//! never. At every instant all members together use no more than the quota; without any one of the guards they do not.

use std::collections::BTreeSet;

use ivypitch_coordination::{
    HeldLease, LeaseGrant, LeaseRequest, LeasedUnits, QuotaLeaseConfig, QuotaLeases, RequestId,
};
use ivypitch_types::{Incarnation, MemberId, ProcessId};
use stateright::{Checker, HasDiscoveries, Model, Property};
use test_case::test_case;

const MEMBERS: usize = 3;
/// Local time that passes in a tick: clocks run half as fast again and half as slow as the middle one.
const RATES: [u64; MEMBERS] = [1, 2, 3];
const TICKS: u64 = 5;
/// Of the middle clock.
const LEASE_DURATION: u64 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Clocks are taken to run alike.
    Drift,
    /// The holder counts a lease's duration from the grant.
    RequestTime,
    /// A message for a process is taken by its successor.
    Incarnation,
    /// A process that restarted uses its whole base allocation at once.
    Recovery,
    /// A duplicate of a grant is answered with a release.
    Duplicates,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Content {
    Request(LeaseRequest),
    Grant(LeaseGrant),
    Release(RequestId),
    Revoke(RequestId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Message {
    from: ProcessId,
    to: ProcessId,
    content: Content,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    members: Vec<Option<QuotaLeases>>,
    incarnations: Vec<u64>,
    /// All that was ever sent: any of it may arrive now, again, or never.
    messages: BTreeSet<Message>,
    tick: u64,
    requests: u8,
    extensions: u8,
    releases: u8,
    revocations: u8,
    crashes: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Request { by: usize, of: usize },
    Extend { by: usize },
    Release { by: usize },
    Revoke { by: usize },
    Deliver(Message),
    Crash(usize),
    Restart(usize),
}

struct Fleet {
    without: Without,
}

impl Fleet {
    fn config(&self) -> QuotaLeaseConfig {
        let max_clock_drift = if self.without == Without::Drift {
            0.0
        } else {
            0.5
        };
        QuotaLeaseConfig {
            total_units: 6,
            member_count: MEMBERS as u16,
            reserved_fraction: 0.5,
            spend_window: 0,
            lease_duration: LEASE_DURATION,
            max_clock_drift,
        }
    }

    fn now(&self, state: &State, m: usize) -> u64 {
        100 + state.tick * RATES[m]
    }

    fn process(&self, state: &State, m: usize) -> ProcessId {
        ProcessId {
            member: member(m),
            incarnation: Incarnation(state.incarnations[m]),
        }
    }

    /// `None`: the message cannot arrive in this model.
    fn deliver(&self, last: &State, state: &mut State, message: Message) -> Option<()> {
        let Message { from, to, content } = message;
        let m = to.member.as_usize();
        let me = self.process(last, m);
        let leases = state.members[m].as_mut()?;
        let reply = match content {
            Content::Request(request) => leases
                .on_request(self.now(last, m), from, request, 0)
                .map(Content::Grant),
            Content::Grant(mut grant) => {
                if self.without == Without::RequestTime && grant.lease == grant.request {
                    // Requested now, as far as its expiry goes.
                    if leases.holds(from.member, grant.lease)
                        || !leases.is_requesting_from(from.member)
                    {
                        return None;
                    }
                    let again = leases.request(self.now(last, m), from.member, 1, None);
                    grant = LeaseGrant {
                        request: again.request,
                        lease: again.request,
                        ..grant
                    };
                }
                let taken = leases.on_grant(self.now(last, m), from.member, grant);
                let releases = match self.without {
                    Without::Duplicates => !taken,
                    _ => !taken && !leases.holds(from.member, grant.lease),
                };
                releases.then_some(Content::Release(grant.lease))
            }
            Content::Release(lease) => {
                leases.on_release(self.now(last, m), from, lease);
                None
            }
            Content::Revoke(lease) => leases
                .on_revoke(self.now(last, m), from.member, lease)
                .then_some(Content::Release(lease)),
        };
        if let Some(content) = reply {
            state.messages.insert(Message {
                from: me,
                to: from,
                content,
            });
        }
        Some(())
    }
}

fn member(m: usize) -> MemberId {
    MemberId(m as u16)
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        // They started long ago.
        let recovered = |m: usize| {
            let mut leases = QuotaLeases::new(member(m), &self.config(), 0);
            leases.advance(100);
            Some(leases)
        };
        vec![State {
            members: (0..MEMBERS).map(recovered).collect(),
            incarnations: vec![1; MEMBERS],
            messages: BTreeSet::new(),
            tick: 0,
            requests: 0,
            extensions: 0,
            releases: 0,
            revocations: 0,
            crashes: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.tick < TICKS {
            actions.push(Action::Tick);
        }
        for m in 0..MEMBERS {
            let Some(leases) = &state.members[m] else {
                actions.push(Action::Restart(m));
                continue;
            };
            if state.crashes < 1 {
                actions.push(Action::Crash(m));
            }
            let LeasedUnits { granted, held, .. } = leases.leased_units();
            if state.requests < 2 {
                // Of one whose clock runs faster: it is the sooner to take its units back.
                actions.extend((m + 1..MEMBERS).map(|of| Action::Request { by: m, of }));
            }
            if state.extensions < 1 && held > 0 {
                actions.push(Action::Extend { by: m });
            }
            if state.releases < 1 && held > 0 {
                actions.push(Action::Release { by: m });
            }
            if state.revocations < 1 && granted > 0 {
                actions.push(Action::Revoke { by: m });
            }
        }
        for &message in &state.messages {
            let to = message.to.member.as_usize();
            let is_there = state.members[to].is_some()
                && (state.incarnations[to] == message.to.incarnation.0
                    || self.without == Without::Incarnation);
            if is_there {
                actions.push(Action::Deliver(message));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = |m: usize| self.now(last, m);
        match action {
            Action::Tick => state.tick += 1,
            Action::Crash(m) => {
                state.members[m] = None;
                state.crashes += 1;
            }
            Action::Restart(m) => {
                let config = match self.without {
                    Without::Recovery => QuotaLeaseConfig {
                        lease_duration: 0,
                        max_clock_drift: 0.0,
                        ..self.config()
                    },
                    _ => self.config(),
                };
                let started_at = now(m).saturating_sub(1);
                let mut leases = QuotaLeases::new(member(m), &config, started_at);
                leases.advance(now(m));
                state.members[m] = Some(leases);
                state.incarnations[m] += 1;
            }
            Action::Request { by, of } => {
                let from = self.process(last, by);
                let to = self.process(last, of);
                let leases = state.members[by].as_mut()?;
                let request = leases.request(now(by), member(of), 1, None);
                let content = Content::Request(request);
                state.messages.insert(Message { from, to, content });
                state.requests += 1;
            }
            Action::Extend { by } => {
                let from = self.process(last, by);
                let leases = state.members[by].as_mut()?;
                leases.advance(now(by));
                let expiring = *leases.expiring_leases(LEASE_DURATION).first()?;
                let HeldLease { grantor, lease } = expiring.held;
                let request = leases.request(now(by), grantor, expiring.units, Some(lease));
                let to = self.process(last, grantor.as_usize());
                let content = Content::Request(request);
                state.messages.insert(Message { from, to, content });
                state.extensions += 1;
            }
            Action::Release { by } => {
                state.releases += 1;
                let from = self.process(last, by);
                let released = state.members[by].as_mut()?.release_down_to(now(by), 0);
                for HeldLease { grantor, lease } in released {
                    let to = self.process(last, grantor.as_usize());
                    let content = Content::Release(lease);
                    state.messages.insert(Message { from, to, content });
                }
            }
            Action::Revoke { by } => {
                state.revocations += 1;
                let from = self.process(last, by);
                for granted in state.members[by].as_ref()?.leases_to_revoke(6) {
                    let to = granted.holder;
                    let content = Content::Revoke(granted.lease);
                    state.messages.insert(Message { from, to, content });
                }
            }
            Action::Deliver(message) => self.deliver(last, &mut state, message)?,
        }
        for m in 0..MEMBERS {
            let now = self.now(&state, m);
            if let Some(leases) = &mut state.members[m] {
                leases.advance(now);
            }
        }
        if self.without != Without::Incarnation {
            // What is for a process that is gone is taken by nobody.
            let incarnations = state.incarnations.clone();
            state.messages.retain(|message| {
                incarnations[message.to.member.as_usize()] == message.to.incarnation.0
            });
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(WITHIN_QUOTA, |_, state: &State| {
                let usable = state
                    .members
                    .iter()
                    .flatten()
                    .map(QuotaLeases::usable_units);
                usable.sum::<u32>() <= 6
            }),
            Property::always(
                "nobody may use less than its reserved minimum",
                |_, state: &State| {
                    let mut members = state.members.iter().flatten();
                    members.all(|leases| leases.usable_units() >= leases.reserved_units())
                },
            ),
            Property::sometimes("units are leased and usable", |_, state: &State| {
                let mut members = state.members.iter().flatten();
                members.any(|leases| leases.usable_units() > leases.base_units())
            }),
        ]
    }
}

const WITHIN_QUOTA: &str = "all members together use no more than the quota";

#[test]
fn with_all_guards_the_quota_holds_in_every_state() {
    let checker = Fleet {
        without: Without::Nothing,
    }
    .checker()
    .threads(4)
    .target_state_count(4_000_000)
    .spawn_bfs()
    .join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test_case(Without::Drift)]
#[test_case(Without::RequestTime)]
#[test_case(Without::Incarnation)]
#[test_case(Without::Recovery)]
#[test_case(Without::Duplicates)]
fn without_a_guard_the_quota_is_exceeded(without: Without) {
    let fails = HasDiscoveries::AnyFailures;
    let checker = Fleet { without }
        .checker()
        .threads(4)
        .finish_when(fails)
        .spawn_bfs()
        .join();
    let path = checker.discovery(WITHIN_QUOTA);
    println!(
        "{} states, {:?}",
        checker.unique_state_count(),
        path.clone().map(|path| path.into_actions())
    );
    assert!(path.is_some(), "{without:?} guards against nothing");
}
