//! The simulation: its event queue, the gateways and the calls of their ownership.

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

/// Time at which the first client can submit a statement. The first processes start long before,
/// since voters do not vote right after a start.
const FIRST_CLIENT_AT: Nanos = 10_000 * MILLISECOND;
/// Maximum time that the run continues after clients have stopped submitting, in milliseconds.
const MAX_OVERTIME_MS: u64 = 30_000;
/// Size of a request if bytes are not counted.
const REQUEST_BYTES: usize = 4;
/// Realistic size of a request, for runs that count bytes.
const COUNTED_REQUEST_BYTES: usize = 200;

/// The state of one gateway.
pub(super) struct Gateway {
    /// `None` while the gateway is down, and always in a fleet without peers.
    pub(super) ownership: Option<Ownership>,
    /// Incarnation of the process; 0 while the gateway is down.
    pub(super) incarnation: u64,
    /// Statements at the scheduler of the gateway.
    pub(super) local: BTreeMap<StatementId, LocalStatement>,
    pub(super) is_suspended: bool,
    /// Events that arrived while the process was suspended.
    pub(super) held_events: Vec<Event>,
    /// By member: the incarnation that the gateway is connected to.
    pub(super) connected: Vec<Option<u64>>,
    pub(super) is_shutting_down: bool,
    /// Time of the earliest scheduled timer.
    pub(super) timer: Nanos,
}

pub(super) struct Simulation<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) plan: &'a FaultPlan,
    pub(super) now: Nanos,
    pub(super) rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    /// Events by serial. A fault may remove scheduled events.
    pub(super) events: BTreeMap<u64, Event>,
    last_serial: u64,
    pub(super) gateways: Vec<Gateway>,
    pub(super) engines: Vec<Engine>,
    pub(super) statements: Vec<SubmittedStatement>,
    pub(super) by_id: BTreeMap<StatementId, usize>,
    pub(super) by_token: BTreeMap<u64, usize>,
    pub(super) last_token: u64,
    last_incarnation: u64,
    /// Number of faults that break the link from one gateway to another.
    pub(super) broken_links: BTreeMap<(usize, usize), u32>,
    /// Number of partitions between two gateways, which membership detects in contrast to broken
    /// links.
    pub(super) partitions: BTreeMap<(usize, usize), u32>,
    pub(super) delays: BTreeMap<(usize, usize), Nanos>,
    /// Time of the last delivery on each link, so that links keep the order of messages.
    pub(super) last_delivery: BTreeMap<(usize, usize), Nanos>,
    /// Number of statements whose clients have no answer yet.
    pub(super) open_statements: usize,
    /// Time at which a running statement lost its gateway.
    pub(super) lost_at: BTreeMap<StatementId, Nanos>,
    pub(super) first_polls_ms: Vec<u64>,
    pub(super) messages: u64,
    pub(super) bytes: u64,
    pub(super) max_vote_log_entries: usize,
    /// Counters of the processes that have ended.
    pub(super) counters: Vec<OwnershipCounters>,
    is_tracing: bool,
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
            is_tracing: std::env::var_os("IVYPITCH_LAB_TRACE").is_some(),
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
        self.into_verdict()
    }

    /// Connects all gateways and lets them transfer their state to each other before the first
    /// client arrives.
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
            is_suspended: false,
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
        // Events of a suspended process are kept until it resumes.
        if let Some(gateway) = event.handled_by()
            && self.gateways[gateway].is_suspended
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
                // A link that has broken since the message was sent does not deliver it.
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
        if self.is_tracing {
            let now_ms = self.now as f64 / MILLISECOND as f64;
            eprintln!("{now_ms:>9.3} {}", line());
        }
    }

    /// Calls a gateway's ownership and applies the actions that it requests.
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
            Action::Dispatch { id, attempt } => self.schedule_dispatch(gateway, id, attempt),
            Action::Deny(
                id,
                GrantDenial::NoQuorum {
                    is_provably_unsent: true,
                },
            ) => {
                self.answer_statement(gateway, id, ClientAnswer::Rejected);
            }
            Action::Deny(
                id,
                GrantDenial::NoQuorum {
                    is_provably_unsent: false,
                },
            ) => {
                self.answer_statement(gateway, id, ClientAnswer::Aborted);
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

/// The ownership settings of all gateways.
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
