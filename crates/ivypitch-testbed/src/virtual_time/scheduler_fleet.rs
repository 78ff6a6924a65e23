//! Gateways, engines and clients at large size in virtual time: the decision module and the teams' queues as they
//! are, the engines as [`crate::virtual_time::engine::Engine`], a network of fixed delay. A seed replays a run exactly. It counts
//! at the clients and at the engines what no rule may allow.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hdrhistogram::Histogram;
use ivypitch_queueing::{Budgets, QueueArrival, TeamQueues};
use ivypitch_scheduler::Scheduler;
use ivypitch_scheduler::{
    Arrival, AttemptEnded, DeduplicationScope, Deployment, EndpointUpdateKind, EngineEndpoint,
    EngineKind, EngineState, Idempotency, LoadReporting, Output, ReportField, RetryBudget, Tenant,
    Workload,
};
use ivypitch_types::{EngineIndex, Nanos, Outcome, SECOND, StatementIndex};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::figures::{Figures, TeamFigures};
use crate::virtual_time::engine::{Engine, EngineConfig, Query, QueryEnd};
use crate::virtual_time::traffic::{Statement, WorkloadParams};

const NETWORK: Nanos = 500_000;
/// A refused client tries so often in all.
const TRIES: u32 = 3;
/// After the last arrival the run goes on for so long.
const AFTER: Nanos = 30 * SECOND;

pub struct FleetConfig<'a> {
    pub gateways: usize,
    pub engines: usize,
    pub engine_config: EngineConfig,
    pub workloads: &'a [WorkloadParams],
    pub teams: Vec<String>,
    pub statements: &'a [Statement],
    /// `None`: without the teams' queues.
    pub budgets: Option<Budgets>,
    pub seed: u64,
    /// Core-seconds a second that each customer may ask for without being worth less: the module's own allowance.
    pub tenant_quotas: Vec<f64>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive {
        stmt: usize,
    },
    AtEngine {
        attempt: usize,
    },
    EngineEnds {
        engine: usize,
    },
    GiveUp {
        attempt: usize,
    },
    Told {
        attempt: usize,
        how: u8,
    },
    TimedOut {
        attempt: usize,
    },
    Wake {
        gateway: usize,
        mark: u64,
    },
    TeamsWake {
        gateway: usize,
    },
    Over {
        gateway: usize,
        slot: usize,
        serial: u64,
    },
}

const HOW_GOOD: u8 = 0;
const HOW_ERROR: u8 = 1;
const HOW_FULL: u8 = 2;
const HOW_CANCELLED: u8 = 3;
const HOW_TIMED_OUT: u8 = 4;

struct Open {
    stmt: usize,
    serial: u64,
    deadline: Nanos,
    out: Option<usize>,
    attempts: u32,
    priority: u8,
    answered: bool,
    real: Option<Nanos>,
    took: Option<Nanos>,
}

struct Attempt {
    gateway: usize,
    slot: usize,
    stmt: usize,
    number: u32,
    engine: usize,
    priority: u8,
    sent: Nanos,
    timeout: Nanos,
    work: f64,
    running: bool,
    told: bool,
}

enum Act {
    Send {
        slot: usize,
        engine: usize,
        timeout: Nanos,
    },
    Withdraw {
        slot: usize,
        attempt: u32,
    },
    Reject {
        slot: usize,
        retry_after: Nanos,
    },
    Abort {
        slot: usize,
    },
    Forget {
        slot: usize,
    },
    Wake {
        mark: u64,
        after: Nanos,
    },
}

/// What a module asks for; emptied after each call.
#[derive(Default)]
struct Desk {
    acts: Vec<Act>,
    priorities: Vec<u8>,
}

impl Output for Desk {
    fn send(&mut self, stmt: StatementIndex, engine: EngineIndex, timeout: Nanos) {
        self.acts.push(Act::Send {
            slot: stmt.0,
            engine: engine.0,
            timeout,
        });
    }
    fn cancel(&mut self, stmt: StatementIndex, attempt: u32) {
        self.acts.push(Act::Withdraw {
            slot: stmt.0,
            attempt,
        });
    }
    fn set_resources(&mut self, stmt: StatementIndex, _grant_mb: f64, priority: u8) {
        self.priorities
            .resize(self.priorities.len().max(stmt.0 + 1), 1);
        self.priorities[stmt.0] = priority;
    }
    fn reject(&mut self, stmt: StatementIndex, retry_after: Nanos) {
        self.acts.push(Act::Reject {
            slot: stmt.0,
            retry_after,
        });
    }
    fn abort(&mut self, stmt: StatementIndex) {
        self.acts.push(Act::Abort { slot: stmt.0 });
    }
    fn forget(&mut self, stmt: StatementIndex) {
        self.acts.push(Act::Forget { slot: stmt.0 });
    }
    fn set_timer(&mut self, mark: u64, after: Nanos) {
        self.acts.push(Act::Wake { mark, after });
    }
    fn request_load_report(&mut self, _engine: EngineIndex) {}
    fn broadcast(&mut self, _bytes: &[u8]) {}
    fn watch_endpoints(&mut self) {}
    fn log(&mut self, _line: &str) {}
}

#[derive(Default)]
struct TeamsDesk {
    released: Vec<(StatementIndex, bool)>,
    rejected: Vec<(StatementIndex, Nanos)>,
}

impl ivypitch_queueing::Output for TeamsDesk {
    fn release(&mut self, stmt: StatementIndex, within: bool) {
        self.released.push((stmt, within));
    }
    fn reject(&mut self, stmt: StatementIndex, retry_after: Nanos) {
        self.rejected.push((stmt, retry_after));
    }
    fn log_mode_change(&mut self, _team: Option<usize>, _line: &str) {}
}

struct Node {
    module: Scheduler,
    teams: Option<TeamQueues>,
    desk: Desk,
    teams_desk: TeamsDesk,
    slots: Vec<Option<Open>>,
    free: Vec<usize>,
    over: Vec<(StatementIndex, Option<Nanos>, Option<Nanos>)>,
    woken_at: Option<Nanos>,
}

/// What a statement's client knows, and what engines did for it.
#[derive(Clone, Copy, Default)]
struct Client {
    tries: u32,
    answers: u32,
    served: Option<Nanos>,
    may_have_run: bool,
    doubled: bool,
}

pub struct Fleet<'a> {
    plan: FleetConfig<'a>,
    now: Nanos,
    events: BinaryHeap<Reverse<(Nanos, u64, Event)>>,
    order: u64,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    /// When each engine is next looked at.
    engine_due: Vec<Option<Nanos>>,
    attempts: Vec<Attempt>,
    clients: Vec<Client>,
    serial: u64,
    rng: ChaCha8Rng,
    used: Vec<f64>,
    /// Refusals by the queues and by the modules, by team.
    refused: Vec<(u64, u64)>,
}

/// The facts that a deployment of this plan would be told.
pub fn deployment(plan: &FleetConfig, me: usize) -> Deployment {
    let workload = |w: &WorkloadParams| Workload {
        latency_objective: w.latency_objective,
        latency_objective_stretch: w.latency_objective_stretch,
        statement_timeout: w.timeout,
        priority_weight: w.priority_weight,
        idempotency: w.idempotency,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0,
        is_ordered_by_key: false,
        allowed_zones: None,
        allowed_engine_kinds: None,
        threads: w.threads,
        is_bulk_load: w.idempotency == Idempotency::NonIdempotent,
        waits_for_bulk_loads: false,
    };
    let rate = |core_s: &f64| {
        let parts: f64 = plan.workloads.iter().map(|w| w.statement_weight).sum();
        let mean: f64 = plan
            .workloads
            .iter()
            .map(|w| w.mean_work_core_s * w.statement_weight / parts)
            .sum();
        Tenant {
            quota_per_second: core_s / mean,
        }
    };
    Deployment {
        gateways: plan.gateways,
        member_index: me,
        tick: SECOND / 1000,
        workloads: plan.workloads.iter().map(workload).collect(),
        engine_kinds: vec![EngineKind {
            cores: plan.engine_config.cores,
            memory_mb: 65536.0,
        }],
        tenants: plan.tenant_quotas.iter().map(rate).collect(),
        over_quota_priority_weight: 0.1,
        max_open_statements: usize::MAX,
        report_fields: vec![ReportField::InFlightAttempts],
        load_reporting: LoadReporting::WithResults,
        honors_priorities: true,
        reports_measured_cost: true,
        can_cancel: true,
        honors_retry_after: true,
        max_retry_after: 2 * SECOND,
        max_attempts: 4,
        drain_grace: SECOND / 4,
        answer_grace: 5_000_000,
        slow_start_initial_fraction: plan.engine_config.cold_speed_fraction,
        slow_start_duration: plan.engine_config.warm_up_duration,
        overload_factor: 2.5,
        overload_window: 3 * SECOND,
        retry_budget: Some(RetryBudget {
            window: 5 * SECOND,
            base: 5.0,
            per_statement: 0.2,
        }),
        ..Deployment::default()
    }
}

impl<'a> Fleet<'a> {
    pub fn new(plan: FleetConfig<'a>) -> Fleet<'a> {
        let rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let rows: Vec<EngineEndpoint> = (0..plan.engines)
            .map(|e| EngineEndpoint {
                engine: EngineIndex(e),
                id: e as u64 * 7919 + 17,
                state: EngineState::Ready,
                weight: 1.0,
                ..EngineEndpoint::default()
            })
            .collect();
        let engine = |e: usize| {
            let seed = plan.seed.wrapping_mul(31).wrapping_add(e as u64);
            Engine::new(
                plan.engine_config.clone(),
                ChaCha8Rng::seed_from_u64(seed),
                0,
            )
        };
        let mut fleet = Fleet {
            now: 0,
            events: BinaryHeap::new(),
            order: 0,
            nodes: Vec::new(),
            engines: (0..plan.engines).map(engine).collect(),
            engine_due: vec![None; plan.engines],
            attempts: Vec::new(),
            clients: vec![Client::default(); plan.statements.len()],
            serial: 0,
            rng,
            used: vec![0.0; plan.teams.len()],
            refused: vec![(0, 0); plan.teams.len()],
            plan,
        };
        for me in 0..fleet.plan.gateways {
            let seed = fleet.plan.seed.wrapping_mul(1_000).wrapping_add(me as u64);
            let module = Scheduler::new(deployment(&fleet.plan, me), seed, 0);
            let teams = fleet
                .plan
                .budgets
                .clone()
                .map(|budgets| TeamQueues::new(budgets, seed, 0));
            fleet.nodes.push(Node {
                module,
                teams,
                desk: Desk::default(),
                teams_desk: TeamsDesk::default(),
                slots: Vec::new(),
                free: Vec::new(),
                over: Vec::new(),
                woken_at: None,
            });
            let node = &mut fleet.nodes[me];
            node.module
                .on_endpoints_updated(0, EndpointUpdateKind::Full, &rows, &mut node.desk);
            if let Some(teams) = &mut node.teams {
                let cores = fleet.plan.engines as f64 * fleet.plan.engine_config.cores
                    / fleet.plan.gateways as f64;
                teams.set_capacity(0, cores, &mut node.teams_desk);
            }
            fleet.settle(me);
        }
        for stmt in 0..fleet.plan.statements.len() {
            fleet.at(
                fleet.plan.statements[stmt].arrives_at,
                Event::Arrive { stmt },
            );
        }
        fleet
    }

    pub fn run(mut self) -> Figures {
        let last = self.plan.statements.last().map_or(0, |s| s.arrives_at);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > last + AFTER {
                break;
            }
            self.now = at;
            self.happen(event);
        }
        self.figures()
    }

    fn at(&mut self, when: Nanos, event: Event) {
        self.order += 1;
        self.events
            .push(Reverse((when.max(self.now), self.order, event)));
    }

    fn happen(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrive { stmt } => self.arrive(stmt),
            Event::AtEngine { attempt } => self.at_engine(attempt),
            Event::EngineEnds { engine } => {
                // Another look was set since, at an earlier time.
                if self.engine_due[engine] == Some(now) {
                    self.engine_due[engine] = None;
                    self.engine_moves(engine);
                }
            }
            Event::GiveUp { attempt } => {
                let engine = self.attempts[attempt].engine;
                if std::mem::take(&mut self.attempts[attempt].running) {
                    self.engines[engine].cancel(now, attempt as u64);
                    self.engine_moves(engine);
                }
                self.tell(attempt, HOW_CANCELLED);
            }
            Event::TimedOut { attempt } => {
                if !self.attempts[attempt].told {
                    let engine = self.attempts[attempt].engine;
                    if std::mem::take(&mut self.attempts[attempt].running) {
                        self.engines[engine].cancel(now, attempt as u64);
                        self.engine_moves(engine);
                    }
                    self.told(attempt, HOW_TIMED_OUT);
                }
            }
            Event::Told { attempt, how } => self.told(attempt, how),
            Event::Wake { gateway, mark } => {
                let node = &mut self.nodes[gateway];
                node.module.on_timer(now, mark, &mut node.desk);
                self.settle(gateway);
            }
            Event::TeamsWake { gateway } => {
                let node = &mut self.nodes[gateway];
                node.woken_at = None;
                if let Some(teams) = &mut node.teams {
                    teams.on_timer(now, &mut node.teams_desk);
                }
                self.settle(gateway);
            }
            Event::Over {
                gateway,
                slot,
                serial,
            } => {
                let node = &mut self.nodes[gateway];
                let same = node.slots[slot]
                    .as_ref()
                    .filter(|open| open.serial == serial && !open.answered);
                if let Some(stmt) = same.map(|open| open.stmt) {
                    self.clients[stmt].answers += 1;
                    self.expire(gateway, slot);
                }
            }
        }
    }

    fn arrive(&mut self, stmt: usize) {
        let now = self.now;
        let asked = &self.plan.statements[stmt];
        let gateway = self.rng.random_range(0..self.plan.gateways);
        let deadline = asked.arrives_at + self.plan.workloads[asked.workload].timeout;
        self.clients[stmt].tries += 1;
        self.serial += 1;
        let serial = self.serial;
        let node = &mut self.nodes[gateway];
        let slot = node.free.pop().unwrap_or_else(|| {
            node.slots.push(None);
            node.slots.len() - 1
        });
        node.slots[slot] = Some(Open {
            stmt,
            serial,
            deadline,
            out: None,
            attempts: 0,
            priority: 1,
            answered: false,
            real: None,
            took: None,
        });
        let (team, workload) = (asked.team, asked.workload);
        if let Some(teams) = &mut node.teams {
            let estimated_work = (asked.estimated_work_core_s * 1e9) as Nanos;
            let claim = QueueArrival {
                team,
                workload,
                estimated_work,
                bytes: 200,
                deadline,
            };
            teams.on_statement_arrived(now, StatementIndex(slot), claim, &mut node.teams_desk);
        } else {
            self.pass_on(gateway, slot, false);
        }
        self.at(
            deadline + 5_000_000,
            Event::Over {
                gateway,
                slot,
                serial,
            },
        );
        self.settle(gateway);
    }

    fn pass_on(&mut self, gateway: usize, slot: usize, within: bool) {
        let node = &mut self.nodes[gateway];
        let Some(open) = &node.slots[slot] else {
            return;
        };
        let asked = &self.plan.statements[open.stmt];
        let arrival = Arrival {
            workload: asked.workload,
            key: 0,
            table_group: asked.table_group,
            time_left: open.deadline.saturating_sub(self.now),
            is_repeat: false,
            // A team within its share has no allowance to go over.
            tenant: if within { usize::MAX } else { asked.team },
            estimated_memory_mb: 0.0,
            estimated_work: (asked.estimated_work_core_s * 1e9) as Nanos,
        };
        node.module
            .on_statement_arrived(self.now, StatementIndex(slot), arrival, &mut node.desk);
    }

    /// Does all that module and queues of a gateway ask for.
    fn settle(&mut self, gateway: usize) {
        loop {
            let node = &mut self.nodes[gateway];
            if let Some((ix, real, took)) = node.over.pop() {
                if let Some(teams) = &mut node.teams {
                    teams.on_statement_ended(self.now, ix, real, took, &mut node.teams_desk);
                }
            } else if let Some((ix, within)) = node.teams_desk.released.pop() {
                self.pass_on(gateway, ix.0, within);
            } else if let Some((ix, retry_after)) = node.teams_desk.rejected.pop() {
                if let Some(open) = &self.nodes[gateway].slots[ix.0] {
                    self.refused[self.plan.statements[open.stmt].team].0 += 1;
                }
                self.answer(gateway, ix.0, Some(retry_after));
                self.free(gateway, ix.0);
            } else if !node.desk.acts.is_empty() {
                for act in std::mem::take(&mut node.desk.acts) {
                    self.act(gateway, act);
                }
            } else {
                break;
            }
        }
        let node = &mut self.nodes[gateway];
        let wake = node.teams.as_ref().and_then(TeamQueues::next_timer);
        if let Some(at) = wake.filter(|&at| node.woken_at.is_none_or(|set| at < set)) {
            node.woken_at = Some(at);
            self.at(at, Event::TeamsWake { gateway });
        }
    }

    fn act(&mut self, gateway: usize, act: Act) {
        let now = self.now;
        match act {
            Act::Send {
                slot,
                engine,
                timeout,
            } => {
                let priority = self.nodes[gateway]
                    .desk
                    .priorities
                    .get(slot)
                    .copied()
                    .unwrap_or(1);
                let attempt = self.attempts.len();
                let Some(open) = &mut self.nodes[gateway].slots[slot] else {
                    return;
                };
                open.priority = priority;
                open.out = Some(attempt);
                self.attempts.push(Attempt {
                    gateway,
                    slot,
                    stmt: open.stmt,
                    number: open.attempts,
                    engine,
                    priority,
                    sent: now,
                    timeout: now + timeout,
                    work: 0.0,
                    running: false,
                    told: false,
                });
                open.attempts += 1;
                self.at(now + NETWORK, Event::AtEngine { attempt });
                self.at(now + timeout, Event::TimedOut { attempt });
            }
            Act::Withdraw { slot, attempt } => {
                let out = self.nodes[gateway].slots[slot]
                    .as_ref()
                    .and_then(|open| open.out);
                if let Some(out) = out.filter(|&out| self.attempts[out].number == attempt) {
                    self.at(now + NETWORK, Event::GiveUp { attempt: out });
                }
            }
            Act::Reject { slot, retry_after } => {
                if let Some(open) = &self.nodes[gateway].slots[slot] {
                    self.refused[self.plan.statements[open.stmt].team].1 += 1;
                }
                self.answer(gateway, slot, Some(retry_after));
            }
            Act::Abort { slot } => self.answer(gateway, slot, None),
            Act::Forget { slot } => {
                let node = &mut self.nodes[gateway];
                if let Some(open) = &node.slots[slot] {
                    node.over.push((StatementIndex(slot), open.real, open.took));
                }
                self.free(gateway, slot);
            }
            Act::Wake { mark, after } => self.at(now + after, Event::Wake { gateway, mark }),
        }
    }

    fn free(&mut self, gateway: usize, slot: usize) {
        let node = &mut self.nodes[gateway];
        if node.slots[slot].take().is_some() {
            node.free.push(slot);
        }
    }

    /// A final answer that is no result: `Some`: refused, and when to come back.
    fn answer(&mut self, gateway: usize, slot: usize, refused: Option<Nanos>) {
        let Some(open) = &mut self.nodes[gateway].slots[slot] else {
            return;
        };
        if std::mem::replace(&mut open.answered, true) {
            self.clients[open.stmt].answers += 2;
            return;
        }
        let stmt = open.stmt;
        self.clients[stmt].answers += 1;
        let asked = &self.plan.statements[stmt];
        let Some(retry_after) = refused else { return };
        let again = self.now + 2 * NETWORK + retry_after;
        let in_time = again < asked.arrives_at + self.plan.workloads[asked.workload].timeout / 2;
        if self.clients[stmt].tries < TRIES && in_time {
            self.at(again, Event::Arrive { stmt });
        }
    }

    fn expire(&mut self, gateway: usize, slot: usize) {
        let node = &mut self.nodes[gateway];
        if let Some(open) = &mut node.slots[slot] {
            open.answered = true;
        }
        let left = node
            .teams
            .as_mut()
            .is_some_and(|t| t.remove(self.now, StatementIndex(slot), &mut node.teams_desk));
        if left {
            self.free(gateway, slot);
        } else {
            node.module
                .on_statement_expired(self.now, StatementIndex(slot), &mut node.desk);
        }
        self.settle(gateway);
    }

    fn at_engine(&mut self, attempt: usize) {
        let now = self.now;
        let e = &self.attempts[attempt];
        if e.told || now >= e.timeout {
            return;
        }
        let (stmt, engine) = (e.stmt, e.engine);
        let asked = &self.plan.statements[stmt];
        let work = &self.plan.workloads[asked.workload];
        let query = Query {
            id: attempt as u64,
            work_core_s: asked.work_core_s,
            threads: work.threads,
            priority: e.priority,
            table_group: asked.table_group,
        };
        if self.engines[engine].start(now, query) {
            let client = &mut self.clients[stmt];
            client.doubled |= client.may_have_run && work.idempotency == Idempotency::NonIdempotent;
            client.may_have_run = true;
            self.attempts[attempt].running = true;
            self.engine_moves(engine);
        } else {
            self.tell(attempt, HOW_FULL);
        }
    }

    /// Takes out what has ended at an engine and looks again at its next end.
    fn engine_moves(&mut self, engine: usize) {
        for (id, end) in self.engines[engine].take_ended(self.now) {
            let attempt = id as usize;
            self.attempts[attempt].running = false;
            let how = match end {
                QueryEnd::Completed(work) => {
                    self.attempts[attempt].work = work;
                    self.used[self.plan.statements[self.attempts[attempt].stmt].team] += work;
                    HOW_GOOD
                }
                QueryEnd::Error => HOW_ERROR,
            };
            self.tell(attempt, how);
        }
        let next = self.engines[engine].next_end();
        if let Some(at) = next.filter(|&at| self.engine_due[engine].is_none_or(|due| at < due)) {
            self.engine_due[engine] = Some(at);
            self.at(at, Event::EngineEnds { engine });
        }
    }

    fn tell(&mut self, attempt: usize, how: u8) {
        self.at(self.now + NETWORK, Event::Told { attempt, how });
    }

    fn told(&mut self, attempt: usize, how: u8) {
        let now = self.now;
        let e = &mut self.attempts[attempt];
        if std::mem::replace(&mut e.told, true) {
            return;
        }
        let (gateway, slot, engine, work) = (e.gateway, e.slot, e.engine, e.work);
        let took = now - e.sent;
        let outcome = match how {
            HOW_GOOD => Outcome::Completed,
            HOW_ERROR => Outcome::Error,
            HOW_FULL => Outcome::Overloaded,
            HOW_CANCELLED => Outcome::Cancelled,
            _ => Outcome::TimedOut,
        };
        let node = &mut self.nodes[gateway];
        let Some(open) = node.slots[slot]
            .as_mut()
            .filter(|open| open.out == Some(attempt))
        else {
            return;
        };
        open.out = None;
        let threads = self.plan.workloads[self.plan.statements[open.stmt].workload].threads;
        if !outcome.never_ran() {
            let on_engine = (took as f64 * threads) as Nanos;
            let real = if how == HOW_GOOD {
                (work * 1e9) as Nanos
            } else {
                on_engine
            };
            open.real = Some(open.real.unwrap_or(0) + real);
        }
        if how == HOW_GOOD {
            open.took = Some(took);
            if !std::mem::replace(&mut open.answered, true) {
                self.clients[open.stmt].answers += 1;
                self.clients[open.stmt].served = Some(now + NETWORK);
            }
        }
        let report = [self.engines[engine].running() as f32];
        let ended = AttemptEnded {
            attempt: e.number,
            engine: EngineIndex(engine),
            outcome,
            duration: took,
            has_final_answer: open.answered,
            measured_cost: (how == HOW_GOOD).then_some((work * 1000.0, 0.0)),
            load_report: if matches!(how, HOW_GOOD | HOW_ERROR) {
                &report
            } else {
                &[]
            },
        };
        node.module
            .on_attempt_ended(now, StatementIndex(slot), &ended, &mut node.desk);
        self.settle(gateway);
    }

    fn figures(self) -> Figures {
        let mut teams: Vec<TeamFigures> = self
            .plan
            .teams
            .iter()
            .map(|name| TeamFigures::new(name))
            .collect();
        let (mut doubled, mut unanswered, mut twice) = (0, 0, 0);
        for (client, asked) in self.clients.iter().zip(self.plan.statements) {
            let work = &self.plan.workloads[asked.workload];
            let took = client.served.map(|at| at - asked.arrives_at);
            teams[asked.team].record_statement(
                work.priority_weight,
                asked.latency_objective,
                took,
                client.tries,
            );
            doubled += u64::from(client.doubled);
            unanswered += u64::from(client.answers < client.tries);
            twice += u64::from(client.answers > client.tries);
        }
        for ((team, used), refused) in teams.iter_mut().zip(&self.used).zip(&self.refused) {
            team.completed_core_s = *used;
            (team.rejected_by_queues, team.rejected_by_scheduler) = *refused;
        }
        let mut figures = Figures {
            teams,
            repeated_bulk_loads: doubled,
            unanswered,
            answered_twice: twice,
            ..Figures::default()
        };
        let errors = Histogram::new_with_bounds(1, 10_000, 2);
        let mut errors = errors.unwrap_or_else(|_| unreachable!());
        for node in &self.nodes {
            if let Some(teams) = &node.teams {
                figures.wait_estimates += teams.wait_statistics().estimates;
                figures.good_wait_estimates += teams.wait_statistics().good_estimates;
                let _ = errors.add(&teams.wait_statistics().errors_percent);
            }
        }
        figures.median_wait_estimate_error = errors.value_at_quantile(0.5) as f64 / 100.0;
        figures.wasted_core_s = self.engines.iter().map(|e| e.wasted_core_s).sum();
        figures
    }
}
