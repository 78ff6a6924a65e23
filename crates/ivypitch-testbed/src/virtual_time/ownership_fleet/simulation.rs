//! The event loop: gateways, messages between them, and the calls of their ownership decisions.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use ivypitch_ownership::{
    GrantDenial, Output, Ownership, OwnershipConfig, OwnershipCounters, StatementId, StatementSpec,
};
use ivypitch_types::{Incarnation, MILLISECOND, MemberId, Nanos, ProcessId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Fleet;
use super::action::{Action, Actions};
use super::clients::{ClientAnswer, SubmittedStatement};
use super::engine::Engine;
use super::event::Event;
use super::scheduling::LocalStatement;
use super::verdict::Verdict;
use crate::virtual_time::faults::FaultPlan;

/// The first processes started long before the first client comes, so that their voters vote.
const FIRST_CLIENT_AT: Nanos = 10_000 * MILLISECOND;
/// The run ends at the latest so long after the last client was to come.
const MAX_OVERTIME_MS: u64 = 30_000;
const REQUEST_BYTES: usize = 4;
const COUNTED_REQUEST_BYTES: usize = 200;

pub(super) struct Gateway {
    /// `None` while it is down, and without peers.
    pub(super) ownership: Option<Ownership>,
    /// Zero while it is down.
    pub(super) incarnation: u64,
    /// Statements that are with its scheduler.
    pub(super) local: BTreeMap<StatementId, LocalStatement>,
    pub(super) is_stopped: bool,
    /// What came while it was stopped.
    pub(super) held_events: Vec<Event>,
    /// Incarnations of the other gateways that it is connected to.
    pub(super) connected: Vec<Option<u64>>,
    pub(super) is_shutting_down: bool,
    /// The earliest timer that is set.
    pub(super) timer: Nanos,
}

pub(super) struct Simulation<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) plan: &'a FaultPlan,
    pub(super) now: Nanos,
    pub(super) rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    /// By serial. A fault may remove events that are on their way.
    pub(super) events: BTreeMap<u64, Event>,
    last_serial: u64,
    pub(super) gateways: Vec<Gateway>,
    pub(super) engines: Vec<Engine>,
    pub(super) statements: Vec<SubmittedStatement>,
    pub(super) by_id: BTreeMap<StatementId, usize>,
    pub(super) by_token: BTreeMap<u64, usize>,
    pub(super) last_token: u64,
    last_incarnation: u64,
    /// Links from one gateway to another, with the number of faults that break them.
    pub(super) broken_links: BTreeMap<(usize, usize), u32>,
    /// The same for partitions, which the membership notices.
    pub(super) partitions: BTreeMap<(usize, usize), u32>,
    pub(super) delays: BTreeMap<(usize, usize), Nanos>,
    /// No message overtakes another on its link.
    pub(super) last_delivery: BTreeMap<(usize, usize), Nanos>,
    /// Statements whose clients have no answer yet.
    pub(super) open_statements: usize,
    /// When statements lost their gateway while they ran.
    pub(super) lost_at: BTreeMap<StatementId, Nanos>,
    pub(super) first_polls_ms: Vec<u64>,
    pub(super) messages: u64,
    pub(super) bytes: u64,
    pub(super) max_vote_log_entries: usize,
    /// Of processes that are gone.
    pub(super) counters: Vec<OwnershipCounters>,
    is_traced: bool,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(fleet: &'a Fleet, plan: &'a FaultPlan, seed: u64) -> Simulation<'a> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let statements = draw_statements(fleet, &mut rng);
        let by_id = statements
            .iter()
            .enumerate()
            .map(|(index, statement)| (statement.id, index))
            .collect();
        Simulation {
            fleet,
            plan,
            now: 0,
            rng,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_serial: 0,
            gateways: Vec::new(),
            engines: (0..fleet.engines).map(|_| Engine::default()).collect(),
            open_statements: statements.len(),
            statements,
            by_id,
            by_token: BTreeMap::new(),
            last_token: 0,
            last_incarnation: 0,
            broken_links: BTreeMap::new(),
            partitions: BTreeMap::new(),
            delays: BTreeMap::new(),
            last_delivery: BTreeMap::new(),
            lost_at: BTreeMap::new(),
            first_polls_ms: Vec::new(),
            messages: 0,
            bytes: 0,
            max_vote_log_entries: 0,
            counters: Vec::new(),
            is_traced: std::env::var_os("IVYPITCH_LAB_TRACE").is_some(),
        }
    }

    pub(super) fn run(mut self) -> Verdict {
        for gateway in 0..self.fleet.gateways {
            let started = self.start_gateway(gateway);
            self.gateways.push(started);
        }
        for statement in 0..self.statements.len() {
            let arrival = Event::ClientArrival { statement };
            self.schedule_at(self.statements[statement].first_arrival, arrival);
        }
        for (index, fault) in self.plan.faults.iter().enumerate() {
            let begins_at = FIRST_CLIENT_AT + fault.at_ms * MILLISECOND;
            self.schedule_at(begins_at, Event::FaultBegins(index));
        }
        self.connect_all();
        let max_duration = (self.fleet.duration_ms + MAX_OVERTIME_MS) * MILLISECOND;
        self.run_until(FIRST_CLIENT_AT + max_duration);
        self.verdict()
    }

    /// All gateways are connected and have transferred their state to each other before the first client comes.
    fn connect_all(&mut self) {
        self.now = FIRST_CLIENT_AT;
        for by in 0..self.fleet.gateways {
            for of in (0..self.fleet.gateways).filter(|&of| of != by) {
                let incarnation = self.gateways[of].incarnation;
                self.gateways[by].connected[of] = Some(incarnation);
                if let Some(ownership) = &mut self.gateways[by].ownership {
                    ownership.on_member_up(1, process(of, incarnation));
                }
            }
            if let Some(ownership) = &mut self.gateways[by].ownership {
                ownership.on_timer(FIRST_CLIENT_AT, &mut Actions::default());
            }
            let incarnation = self.gateways[by].incarnation;
            let timer = Event::Timer {
                gateway: by,
                incarnation,
            };
            self.schedule_at(FIRST_CLIENT_AT + 1, timer);
        }
    }

    fn run_until(&mut self, end: Nanos) {
        while let Some(Reverse((at, serial))) = self.queue.pop() {
            if at > end || self.open_statements == 0 {
                return;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&serial) {
                self.on_event(event);
            }
        }
    }

    pub(super) fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    pub(super) fn schedule_at(&mut self, at: Nanos, event: Event) {
        let serial = self.next_serial();
        self.events.insert(serial, event);
        self.queue.push(Reverse((at, serial)));
    }

    pub(super) fn schedule_after(&mut self, delay: Nanos, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    pub(super) fn random_delay(&mut self, min_ms: u64, max_ms: u64) -> Nanos {
        self.rng
            .random_range(min_ms * MILLISECOND..max_ms * MILLISECOND)
    }

    pub(super) fn start_gateway(&mut self, gateway: usize) -> Gateway {
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let zones = (0..self.fleet.gateways)
            .map(|gateway| (gateway % self.fleet.zones) as u16)
            .collect();
        let ownership = self.fleet.has_peers.then(|| {
            let config = ownership_config(self.fleet);
            Ownership::new(process(gateway, incarnation), zones, config, self.now)
        });
        Gateway {
            ownership,
            incarnation,
            local: BTreeMap::new(),
            is_stopped: false,
            held_events: Vec::new(),
            connected: vec![None; self.fleet.gateways],
            is_shutting_down: false,
            timer: Nanos::MAX,
        }
    }

    pub(super) fn is_up(&self, gateway: usize) -> bool {
        self.gateways[gateway].incarnation > 0
    }

    fn is_running_as(&self, gateway: usize, incarnation: u64) -> bool {
        self.gateways[gateway].incarnation == incarnation
    }

    fn on_event(&mut self, event: Event) {
        // A stopped process does nothing; all that concerns it waits.
        if let Some(gateway) = event.handled_by()
            && self.gateways[gateway].is_stopped
        {
            self.gateways[gateway].held_events.push(event);
            return;
        }
        match event {
            Event::Delivery {
                to,
                incarnation,
                from,
                from_incarnation,
                message,
            } => {
                let is_alive = self.is_running_as(to, incarnation)
                    && self.is_running_as(from, from_incarnation);
                // A link that broke meanwhile delivers nothing more.
                if is_alive && !self.is_link_down(from, to) {
                    self.trace(|| format!("{from} -> {to}: {message:?}"));
                    self.with_ownership(to, |ownership, now, out| {
                        ownership.on_message(now, MemberId(from as u16), message, out);
                    });
                }
            }
            Event::Timer {
                gateway,
                incarnation,
            } => {
                if self.is_running_as(gateway, incarnation) {
                    self.gateways[gateway].timer = Nanos::MAX;
                    self.with_ownership(gateway, |ownership, now, out| {
                        ownership.on_timer(now, out);
                    });
                }
            }
            Event::ViewUpdate { by, of } => self.on_view_update(by, of),
            Event::ClientArrival { statement } => self.on_client_arrival(statement),
            Event::ClientGivesUp { statement, token } => self.on_client_gives_up(statement, token),
            Event::Dispatch {
                gateway,
                incarnation,
                id,
                attempt,
            } => {
                if self.is_running_as(gateway, incarnation) {
                    self.on_dispatch(gateway, id, attempt);
                }
            }
            Event::Poll {
                gateway,
                incarnation,
                id,
                serial,
            } => {
                if self.is_running_as(gateway, incarnation) {
                    self.on_poll(gateway, id, serial);
                }
            }
            Event::Deadline {
                gateway,
                incarnation,
                id,
                serial,
            } => {
                if self.is_running_as(gateway, incarnation) {
                    self.on_deadline(gateway, id, serial);
                }
            }
            Event::FaultBegins(index) => self.on_fault_begins(index),
            Event::FaultEnds(index) => self.on_fault_ends(index),
            Event::Restart { gateway } => self.on_restart(gateway),
        }
    }

    pub(super) fn trace(&self, line: impl Fn() -> String) {
        if self.is_traced {
            let now_ms = self.now as f64 / MILLISECOND as f64;
            eprintln!("{now_ms:>9.3} {}", line());
        }
    }

    /// Calls a gateway's ownership, and does what it asks for.
    pub(super) fn with_ownership(
        &mut self,
        gateway: usize,
        call: impl FnOnce(&mut Ownership, Nanos, &mut dyn Output),
    ) {
        let now = self.now;
        let mut actions = Actions::default();
        let Some(ownership) = self.gateways[gateway].ownership.as_mut() else {
            return;
        };
        call(ownership, now, &mut actions);
        self.apply_actions(gateway, actions);
    }

    pub(super) fn apply_actions(&mut self, gateway: usize, actions: Actions) {
        for action in actions.0 {
            self.apply_action(gateway, action);
        }
        let next_timer = self.gateways[gateway]
            .ownership
            .as_ref()
            .map_or(Nanos::MAX, Ownership::next_timer);
        if next_timer < self.gateways[gateway].timer {
            let at = next_timer.max(self.now + 1);
            self.gateways[gateway].timer = at;
            let incarnation = self.gateways[gateway].incarnation;
            let timer = Event::Timer {
                gateway,
                incarnation,
            };
            self.schedule_at(at, timer);
        }
    }

    fn apply_action(&mut self, gateway: usize, action: Action) {
        match action {
            Action::Send(to, message) => self.send(gateway, to.as_usize(), message),
            Action::Dispatch { id, attempt } => self.dispatch_soon(gateway, id, attempt),
            Action::Deny(
                id,
                GrantDenial::NoQuorum {
                    is_provably_unsent: true,
                },
            ) => {
                self.answer_local(gateway, id, ClientAnswer::Rejected);
            }
            Action::Deny(
                id,
                GrantDenial::NoQuorum {
                    is_provably_unsent: false,
                },
            ) => {
                self.answer_local(gateway, id, ClientAnswer::Aborted);
            }
            Action::Deny(id, GrantDenial::OwnedElsewhere) => {
                self.gateways[gateway].local.remove(&id);
            }
            Action::Proceed(id) => self.try_attempt(gateway, id),
            Action::TakeOver {
                id,
                spec,
                remaining,
                engine,
            } => self.take_over(gateway, id, spec, remaining, engine),
            Action::Answer { waiter, answer } => {
                self.answer_client(gateway, waiter, ClientAnswer::from(&answer));
            }
        }
    }
}

/// The ownership configuration of all gateways.
fn ownership_config(fleet: &Fleet) -> OwnershipConfig {
    OwnershipConfig {
        max_statement_timeout: 6_000 * MILLISECOND,
        retention: 1_000 * MILLISECOND,
        no_quorum_policy: fleet.no_quorum,
        result_cache_bytes_per_tenant: 1 << 20,
        ..OwnershipConfig::default()
    }
}

pub(super) fn process(gateway: usize, incarnation: u64) -> ProcessId {
    ProcessId {
        member: MemberId(gateway as u16),
        incarnation: Incarnation(incarnation),
    }
}

fn draw_statements(fleet: &Fleet, rng: &mut ChaCha8Rng) -> Vec<SubmittedStatement> {
    let request_bytes = if fleet.counts_bytes {
        COUNTED_REQUEST_BYTES
    } else {
        REQUEST_BYTES
    };
    let mut statements = Vec::new();
    let mut at = FIRST_CLIENT_AT;
    while at < FIRST_CLIENT_AT + fleet.duration_ms * MILLISECOND {
        let is_load = rng.random_bool(fleet.load_fraction);
        let work_ms = if is_load {
            rng.random_range(100..2500)
        } else {
            rng.random_range(5..800)
        };
        let timeout_ms = rng.random_range(4000..6000);
        let spec = StatementSpec {
            digest: rng.random(),
            workload: u16::from(is_load),
            tenant: rng.random_range(0..3),
            is_idempotent: !is_load,
            remaining_ms: timeout_ms as u32,
            request: vec![b's'; request_bytes],
        };
        let id = rng.random();
        let deadline = at + timeout_ms * MILLISECOND;
        let work = work_ms * MILLISECOND;
        statements.push(SubmittedStatement::new(id, spec, work, at, deadline));
        at += rng.random_range(1..=2 * fleet.statement_gap_ms * MILLISECOND);
    }
    statements
}
