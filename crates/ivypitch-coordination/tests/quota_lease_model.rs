//! Exhaustive model check of the production quota leases: request, grant, extend, release, revoke,
//! crash and restart among three members, one of them with a slow clock and one with a fast clock.
//! Messages arrive in any order, any number of times, or never. At every instant all members
//! together use no more than the quota; with any one of the guards disabled they exceed it.

use std::collections::BTreeSet;

use ivypitch_coordination::{
    HeldLease, LeaseGrant, LeaseRequest, LeasedUnits, QuotaLeaseConfig, QuotaLeases, RequestId,
};
use ivypitch_types::{Incarnation, MemberId, ProcessId};
use stateright::{Checker, HasDiscoveries, Model, Property};
use test_case::test_case;

const MEMBERS: usize = 3;
/// Local time that passes in a tick, by member: the clocks run at 0.5, 1 and 1.5 times the rate of
/// the middle one.
const CLOCK_RATES: [u64; MEMBERS] = [1, 2, 3];
/// Number of ticks that the model runs for.
const TICKS: u64 = 5;
/// Lease duration by the middle clock.
const LEASE_DURATION: u64 = 4;

/// The guard that a model disables, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisabledGuard {
    None,
    /// Leases assume that all clocks run at the same rate.
    ClockDrift,
    /// The holder counts a lease's duration from the grant.
    RequestTime,
    /// A message to a process is accepted by its successor.
    Incarnation,
    /// A restarted process uses its whole base allocation immediately.
    Recovery,
    /// A duplicate of a grant is answered with a release.
    DuplicateGrants,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum MessageContent {
    Request(LeaseRequest),
    Grant(LeaseGrant),
    Release(RequestId),
    Revoke(RequestId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Message {
    from: ProcessId,
    to: ProcessId,
    content: MessageContent,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    members: Vec<Option<QuotaLeases>>,
    incarnations: Vec<u64>,
    /// All messages ever sent: each may arrive now, again later, or never.
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
    Request { by: usize, grantor: usize },
    Extend { by: usize },
    Release { by: usize },
    Revoke { by: usize },
    Deliver(Message),
    Crash(usize),
    Restart(usize),
}

struct Fleet {
    disabled_guard: DisabledGuard,
}

impl Fleet {
    fn config(&self) -> QuotaLeaseConfig {
        let max_clock_drift = if self.disabled_guard == DisabledGuard::ClockDrift {
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

    fn now(&self, state: &State, member: usize) -> u64 {
        100 + state.tick * CLOCK_RATES[member]
    }

    fn process(&self, state: &State, member: usize) -> ProcessId {
        ProcessId {
            member: member_id(member),
            incarnation: Incarnation(state.incarnations[member]),
        }
    }

    /// `None`: the message cannot arrive in this model.
    fn deliver(&self, last: &State, state: &mut State, message: Message) -> Option<()> {
        let Message { from, to, content } = message;
        let member = to.member.as_usize();
        let receiver = self.process(last, member);
        let leases = state.members[member].as_mut()?;
        let reply = match content {
            MessageContent::Request(request) => leases
                .on_request(self.now(last, member), from, request, 0)
                .map(MessageContent::Grant),
            MessageContent::Grant(mut grant) => {
                if self.disabled_guard == DisabledGuard::RequestTime && grant.lease == grant.request
                {
                    // Replaces the request by one made now, from which the expiry of the lease is
                    // counted.
                    if leases.is_holding(from.member, grant.lease)
                        || !leases.is_requesting_from(from.member)
                    {
                        return None;
                    }
                    let new_request = leases.request(self.now(last, member), from.member, 1, None);
                    grant = LeaseGrant {
                        request: new_request.request,
                        lease: new_request.request,
                        ..grant
                    };
                }
                let is_accepted = leases.on_grant(self.now(last, member), from.member, grant);
                let must_release = match self.disabled_guard {
                    DisabledGuard::DuplicateGrants => !is_accepted,
                    _ => !is_accepted && !leases.is_holding(from.member, grant.lease),
                };
                must_release.then_some(MessageContent::Release(grant.lease))
            }
            MessageContent::Release(lease) => {
                leases.on_release(self.now(last, member), from, lease);
                None
            }
            MessageContent::Revoke(lease) => leases
                .on_revoke(self.now(last, member), from.member, lease)
                .then_some(MessageContent::Release(lease)),
        };
        if let Some(content) = reply {
            state.messages.insert(Message {
                from: receiver,
                to: from,
                content,
            });
        }
        Some(())
    }
}

fn member_id(member: usize) -> MemberId {
    MemberId(member as u16)
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        // All members started long ago and have recovered.
        let recovered_leases = |member: usize| {
            let mut leases = QuotaLeases::new(member_id(member), &self.config(), 0);
            leases.advance(100);
            Some(leases)
        };
        vec![State {
            members: (0..MEMBERS).map(recovered_leases).collect(),
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
        for member in 0..MEMBERS {
            let Some(leases) = &state.members[member] else {
                actions.push(Action::Restart(member));
                continue;
            };
            if state.crashes < 1 {
                actions.push(Action::Crash(member));
            }
            let LeasedUnits { granted, held, .. } = leases.leased_units();
            if state.requests < 2 {
                // The grantor always has a faster clock, so that it takes its units back earlier.
                actions.extend((member + 1..MEMBERS).map(|grantor| Action::Request {
                    by: member,
                    grantor,
                }));
            }
            if state.extensions < 1 && held > 0 {
                actions.push(Action::Extend { by: member });
            }
            if state.releases < 1 && held > 0 {
                actions.push(Action::Release { by: member });
            }
            if state.revocations < 1 && granted > 0 {
                actions.push(Action::Revoke { by: member });
            }
        }
        for &message in &state.messages {
            let to = message.to.member.as_usize();
            let can_receive = state.members[to].is_some()
                && (state.incarnations[to] == message.to.incarnation.0
                    || self.disabled_guard == DisabledGuard::Incarnation);
            if can_receive {
                actions.push(Action::Deliver(message));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = |member: usize| self.now(last, member);
        match action {
            Action::Tick => state.tick += 1,
            Action::Crash(member) => {
                state.members[member] = None;
                state.crashes += 1;
            }
            Action::Restart(member) => {
                let config = match self.disabled_guard {
                    DisabledGuard::Recovery => QuotaLeaseConfig {
                        lease_duration: 0,
                        max_clock_drift: 0.0,
                        ..self.config()
                    },
                    _ => self.config(),
                };
                let started_at = now(member).saturating_sub(1);
                let mut leases = QuotaLeases::new(member_id(member), &config, started_at);
                leases.advance(now(member));
                state.members[member] = Some(leases);
                state.incarnations[member] += 1;
            }
            Action::Request { by, grantor } => {
                let from = self.process(last, by);
                let to = self.process(last, grantor);
                let leases = state.members[by].as_mut()?;
                let request = leases.request(now(by), member_id(grantor), 1, None);
                let content = MessageContent::Request(request);
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
                let content = MessageContent::Request(request);
                state.messages.insert(Message { from, to, content });
                state.extensions += 1;
            }
            Action::Release { by } => {
                state.releases += 1;
                let from = self.process(last, by);
                let released = state.members[by].as_mut()?.release_down_to(now(by), 0);
                for HeldLease { grantor, lease } in released {
                    let to = self.process(last, grantor.as_usize());
                    let content = MessageContent::Release(lease);
                    state.messages.insert(Message { from, to, content });
                }
            }
            Action::Revoke { by } => {
                state.revocations += 1;
                let from = self.process(last, by);
                for granted in state.members[by].as_ref()?.leases_to_revoke(6) {
                    let to = granted.holder;
                    let content = MessageContent::Revoke(granted.lease);
                    state.messages.insert(Message { from, to, content });
                }
            }
            Action::Deliver(message) => self.deliver(last, &mut state, message)?,
        }
        for member in 0..MEMBERS {
            let now = self.now(&state, member);
            if let Some(leases) = &mut state.members[member] {
                leases.advance(now);
            }
        }
        if self.disabled_guard != DisabledGuard::Incarnation {
            // Messages to a process that has ended are dropped.
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
                "no member may use less than its reserved minimum",
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
fn with_all_guards_the_quota_is_kept_in_every_state() {
    let checker = Fleet {
        disabled_guard: DisabledGuard::None,
    }
    .checker()
    .threads(4)
    .target_state_count(4_000_000)
    .spawn_bfs()
    .join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test_case(DisabledGuard::ClockDrift)]
#[test_case(DisabledGuard::RequestTime)]
#[test_case(DisabledGuard::Incarnation)]
#[test_case(DisabledGuard::Recovery)]
#[test_case(DisabledGuard::DuplicateGrants)]
fn with_one_guard_disabled_the_quota_is_exceeded(disabled_guard: DisabledGuard) {
    let fails = HasDiscoveries::AnyFailures;
    let checker = Fleet { disabled_guard }
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
    assert!(
        path.is_some(),
        "disabling {disabled_guard:?} violates nothing"
    );
}
