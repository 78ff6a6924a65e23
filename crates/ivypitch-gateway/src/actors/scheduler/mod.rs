//! The module's actor: it alone owns the module, tells it what happens and does what it asks for. It keeps
//! the open statements and all timers, and never waits for a peer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use ivypitch_config::{DeploymentConfig, Limits, Names, estimated_mb, table_group};
use ivypitch_queueing::{Budgets, Claim};
use ivypitch_scheduler::Scheduler;
use ivypitch_scheduler::*;
use ivypitch_types::*;

use ivypitch_ownership::{ArrivalDecision, GrantDecision, GrantDenial, StatementId, StatementSpec};

use crate::actors::attempt::{Attempt, SendGate};
use crate::actors::coordination::{self, CoordinationDriver};
use crate::actors::engine::{self, EngineMessage};
use crate::actors::engine_client::{EngineClient, EngineClientParams};
use crate::actors::messages::{
    Answer, AttemptEnd, AttemptKey, AttemptMessage, ClientHandle, ClientStatement, QueueRow,
    SchedulerMessage,
};
use crate::actors::ownership::{self, OwnershipDriver, Ready, Waiting};
use crate::actors::peer_links::Peer;
use crate::actors::queueing::{Action, QueueingDriver};
use crate::lifecycle::clock::Clock;
use crate::state::connections::ConnectionCounters;
use crate::state::engines::{EngineIds, engine_id_hash};
use crate::state::permits::ConnectionPermits;
use crate::state::statements::{InFlightAttempt, StatementTable};
use crate::state::traffic::Traffic;
use crate::wire::discovery::{Endpoint, EndpointUpdate, Snapshot};
use crate::wire::fields::{self, Fields};
use crate::wire::http::Start;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const MS: Nanos = 1_000_000;
/// So long before the program's end others take over: a claim, a question to the engine and its answer.
const HAND_OVER: Nanos = 400 * MS;
/// How many letters are taken before the timers are looked at again.
const LETTERS_AT_ONCE: usize = 256;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake {
        mark: u64,
    },
    AttemptTimesOut {
        stmt: usize,
        serial: u64,
        number: u32,
    },
    /// The program ends: what is still open goes to other gateways.
    HandOver,
    /// The statement timeout has passed: normally the module has answered by then.
    StatementOver {
        stmt: usize,
        serial: u64,
    },
}

/// What is to happen when; entries leave as they come due or are no longer wanted.
#[derive(Default)]
struct Timers {
    due: BTreeMap<(Nanos, Due), ()>,
}

impl Timers {
    fn set(&mut self, at: Nanos, what: Due) {
        self.due.insert((at, what), ());
    }
    fn unset(&mut self, at: Nanos, what: Due) {
        self.due.remove(&(at, what));
    }
    fn next(&self) -> Option<Nanos> {
        self.due.first_key_value().map(|((at, _), ())| *at)
    }
    fn pop(&mut self, now: Nanos) -> Option<Due> {
        let entry = self.due.first_entry().filter(|e| e.key().0 <= now)?;
        Some(entry.remove_entry().0.1)
    }
}

/// Everything that the module acts on.
struct World {
    clock: Clock,
    now: Nanos,
    stmts: StatementTable,
    timers: Timers,
    engines: EngineIds,
    /// By index, as the ids.
    mailboxes: Vec<Option<EngineActor>>,
    names: Names,
    report_fields: Rc<Vec<String>>,
    limits: Limits,
    answer_grace: Nanos,
    /// The program ends: everything has to be answered by then.
    answer_by: Nanos,
    /// Of each workload's statements.
    threads: Vec<f64>,
    idempotent: Vec<bool>,
    /// Cores by kind, and by engine where it is ready.
    kind_cores: Vec<f64>,
    cores: Vec<f64>,
    /// This gateway's part of them: an even one, or what it holds.
    cores_part: f64,
    gateways: f64,
    /// Statements that the module has dropped, for the teams' queues; with their work and time.
    over: Vec<(StatementIndex, Option<Nanos>, Option<Nanos>)>,
    has_queues: bool,
    /// Where gateways talk.
    keeper: Option<OwnershipDriver>,
    sharing: Option<CoordinationDriver>,
    allowances: Vec<f64>,
    /// Of the engines' ids, by index; and whether they are ready by the list.
    numbers: Vec<u64>,
    ready: Vec<bool>,
    permits: Rc<ConnectionPermits>,
    connects: Rc<ConnectionCounters>,
    traffic: Rc<Traffic>,
    module: Sender<SchedulerMessage>,
    executor: Rc<LocalExecutor<'static>>,
    gate: SendGate,
}

/// The row of `SHOW FLEET`.
#[derive(serde::Serialize)]
struct ShownFleet<'a> {
    #[serde(flatten)]
    view: ivypitch_coordination::CoordinationView,
    traffic: &'a Traffic,
}

/// What stands beside the module: the first two only where the own file sets them up.
pub struct SchedulerParts {
    pub budgets: Option<Budgets>,
    pub keeper: Option<OwnershipDriver>,
    pub sharing: Option<CoordinationDriver>,
    pub permits: Rc<ConnectionPermits>,
    pub connects: Rc<ConnectionCounters>,
    pub traffic: Rc<Traffic>,
}

struct EngineActor {
    address: SocketAddr,
    mailbox: Sender<EngineMessage>,
}

/// The order in which a statement meets what decides on it stands here and in [`SchedulerActor::settle`]: first its team's
/// queue, where the own file sets up teams, then the module.
pub struct SchedulerActor {
    queues: Option<QueueingDriver>,
    gateway: Rc<RefCell<Scheduler>>,
    world: World,
}

impl SchedulerActor {
    pub fn new(
        given: DeploymentConfig,
        parts: SchedulerParts,
        seed: u64,
        clock: Clock,
        module: Sender<SchedulerMessage>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> SchedulerActor {
        let SchedulerParts {
            budgets,
            keeper,
            sharing,
            permits,
            connects,
            traffic,
        } = parts;
        let now = clock.now();
        let has_queues = budgets.is_some();
        let tenants = given.names.tenants.clone();
        let gateway = Rc::new(RefCell::new(Scheduler::new(given.facts.clone(), seed, now)));
        SchedulerActor {
            queues: budgets.map(|budgets| QueueingDriver::new(budgets, tenants, seed, now)),
            world: World {
                clock,
                now,
                stmts: StatementTable::default(),
                timers: Timers::default(),
                engines: EngineIds::default(),
                mailboxes: Vec::new(),
                report_fields: Rc::new(given.names.report_fields.clone()),
                names: given.names,
                limits: given.limits,
                answer_grace: given.facts.answer_grace,
                answer_by: Nanos::MAX,
                idempotent: given
                    .facts
                    .workloads
                    .iter()
                    .map(|w| w.idempotency == Idempotency::Idempotent)
                    .collect(),
                threads: given
                    .facts
                    .workloads
                    .iter()
                    .map(|w| w.threads.max(1.0))
                    .collect(),
                kind_cores: given
                    .facts
                    .kinds
                    .iter()
                    .map(|kind| kind.cores.max(1.0))
                    .collect(),
                cores: Vec::new(),
                gateways: given.facts.gateways.max(1) as f64,
                over: Vec::new(),
                has_queues,
                keeper,
                sharing,
                allowances: given
                    .facts
                    .tenants
                    .iter()
                    .map(|c| c.quota_per_second)
                    .collect(),
                cores_part: 1.0 / given.facts.gateways.max(1) as f64,
                numbers: Vec::new(),
                ready: Vec::new(),
                permits,
                connects,
                traffic,
                module,
                executor,
                gate: SendGate {
                    scheduler: gateway.clone(),
                    clock,
                },
            },
            gateway,
        }
    }

    pub async fn run(mut self, mailbox: Receiver<SchedulerMessage>, snapshot: Snapshot) {
        self.gateway
            .borrow_mut()
            .start(self.world.now, &mut self.world);
        let mut kind = EndpointUpdateKind::Snapshot;
        for update in snapshot.events.into_iter().filter_map(|event| event.update) {
            self.listed(update, Some(kind));
            kind = EndpointUpdateKind::Delta;
        }
        self.settle();
        loop {
            let wake = self.queues.as_ref().and_then(QueueingDriver::next_timer);
            let keeper = self
                .world
                .keeper
                .as_ref()
                .map(OwnershipDriver::next_timer)
                .filter(|&at| at < Nanos::MAX);
            let sharing = self
                .world
                .sharing
                .as_ref()
                .map(CoordinationDriver::next_timer);
            let due = self
                .world
                .timers
                .next()
                .into_iter()
                .chain(wake)
                .chain(keeper)
                .chain(sharing)
                .min();
            let due = due.map(|at| self.world.clock.instant(at));
            let timer = async {
                match due {
                    Some(at) => Timer::at(at).await,
                    None => std::future::pending().await,
                };
                Ok(None)
            };
            match async { mailbox.recv().await.map(Some) }.or(timer).await {
                Ok(Some(mail)) => self.take(mail),
                Ok(None) => {}
                Err(_) => return,
            }
            for _ in 0..LETTERS_AT_ONCE {
                let Ok(mail) = mailbox.try_recv() else { break };
                self.take(mail);
            }
            self.world.now = self.world.clock.now();
            while let Some(due) = self.world.timers.pop(self.world.now) {
                self.come_due(due);
            }
            if let Some(queues) = &mut self.queues {
                queues.on_timer(self.world.now);
            }
            self.keeper_woken();
            self.sharing_woken();
            self.settle();
        }
    }

    fn sharing_woken(&mut self) {
        let SchedulerActor { queues, world, .. } = self;
        let World {
            sharing: Some(sharing),
            now,
            cores,
            ..
        } = world
        else {
            return;
        };
        if let Some(queues) = queues {
            sharing.set_core_demand(*now, queues.cores_wanted(), cores.iter().sum());
        }
        sharing.on_timer(*now);
    }

    /// Does what sharing asks for.
    fn settle_sharing(&mut self) {
        let SchedulerActor {
            queues,
            gateway,
            world,
        } = self;
        while let Some(act) = world
            .sharing
            .as_mut()
            .and_then(CoordinationDriver::next_action)
        {
            match act {
                coordination::Action::SetCoreQuota { fraction: part } => {
                    world.cores_part = part;
                    if let Some(queues) = queues {
                        queues.set_capacity(world.now, world.cores.iter().sum::<f64>() * part);
                    }
                }
                coordination::Action::SetTenantQuota {
                    tenant,
                    fraction: part,
                } => gateway.borrow_mut().set_quota_share(tenant, part),
                coordination::Action::SetOutlierStatus {
                    engine_hash: engine,
                    status: advice,
                } => {
                    if let Some(ix) = world.numbers.iter().position(|&number| number == engine) {
                        gateway
                            .borrow_mut()
                            .on_outlier_status(EngineIndex(ix), advice, world);
                    }
                }
            }
        }
    }

    fn keeper_woken(&mut self) {
        let World {
            keeper: Some(keeper),
            now,
            ..
        } = &mut self.world
        else {
            return;
        };
        keeper.on_timer(*now);
        for late in keeper.remove_expired_waiters(*now) {
            late.client.send(Answer::Aborted);
        }
    }

    /// Does what custody asks for, until nothing is left.
    fn settle_custody(&mut self) {
        while let Some(act) = self
            .world
            .keeper
            .as_mut()
            .and_then(OwnershipDriver::next_action)
        {
            match act {
                ownership::Action::Go(id, number) => self.go(id, number),
                ownership::Action::Denied(id, number, why) => self.denied(id, number, why),
                ownership::Action::Proceed(id) => {
                    let Some(keeper) = self.world.keeper.as_mut() else {
                        continue;
                    };
                    let token = keeper
                        .waiting
                        .iter()
                        .find(|(_, w)| w.id == id && w.going.is_some());
                    let Some(waiting) = token
                        .map(|(&t, _)| t)
                        .and_then(|t| keeper.waiting.remove(&t))
                    else {
                        continue;
                    };
                    let Waiting {
                        connection,
                        deadline,
                        client,
                        going,
                        ..
                    } = waiting;
                    if let Some((fields, workload, tenant)) = going {
                        self.begin(connection, fields, (workload, tenant), deadline, client);
                    }
                }
                ownership::Action::Adopt {
                    id,
                    text,
                    left,
                    engine,
                } => self.adopt(id, text, left, engine),
                ownership::Action::Answer(token, word) => {
                    let waiting = self
                        .world
                        .keeper
                        .as_mut()
                        .and_then(|keeper| keeper.waiting.remove(&token));
                    if let Some(waiting) = waiting {
                        waiting.client.send(ownership::answer_of(word));
                    }
                }
            }
        }
    }

    /// An execution has leave. What has changed meanwhile is asked for as its first byte leaves.
    fn go(&mut self, id: StatementId, number: u32) {
        let world = &mut self.world;
        let Some(keeper) = world.keeper.as_mut() else {
            return;
        };
        let Some(ready) = keeper
            .ready
            .remove(&id)
            .filter(|ready| ready.number == number)
        else {
            return;
        };
        if world.out(ready.attempt.key).is_some() {
            world.post(ready.engine, ready.attempt);
        }
    }

    fn denied(&mut self, id: StatementId, number: u32, why: GrantDenial) {
        let world = &mut self.world;
        let Some(stmt) = world.stmts.of_req(id) else {
            return;
        };
        let Some(open) = world.stmts.get(stmt) else {
            return;
        };
        let (serial, token, connection, deadline) =
            (open.serial, open.token, open.connection, open.deadline);
        let engine = open
            .out
            .as_ref()
            .map_or(EngineIndex(usize::MAX), |out| out.engine);
        match why {
            GrantDenial::NoQuorum { clean: true } => {}
            GrantDenial::NoQuorum { clean: false } => world.answer(stmt, Answer::Aborted),
            GrantDenial::OwnedElsewhere => {
                if let Some(client) = world.stmts.answer(stmt)
                    && let Some(keeper) = world.keeper.as_mut()
                {
                    keeper.waiting.insert(
                        token,
                        Waiting {
                            id,
                            connection,
                            deadline,
                            client,
                            going: None,
                        },
                    );
                }
            }
        }
        if let Some(keeper) = world.keeper.as_mut() {
            keeper.ready.remove(&id);
        }
        let key = AttemptKey {
            statement: stmt,
            serial,
            number,
            engine,
        };
        let end = AttemptEnd {
            outcome: Outcome::NeverDispatched,
            measured_cost: None,
            load_report: Vec::new(),
            rows: None,
        };
        self.ended(key, end);
    }

    /// Another gateway's statement is this one's now.
    fn adopt(&mut self, id: StatementId, text: Vec<u8>, left: Nanos, engine: Option<u64>) {
        let SchedulerActor { gateway, world, .. } = self;
        let now = world.now;
        let at = engine.map(|number| {
            world
                .numbers
                .iter()
                .position(|&n| n == number)
                .map(EngineIndex)
        });
        let is_there = |at: &EngineIndex| matches!(world.mailboxes.get(at.0), Some(Some(_)));
        let Some(keeper) = &mut world.keeper else {
            return;
        };
        if at.is_some_and(|at| !at.as_ref().is_some_and(is_there)) {
            return keeper.on_engine_unknown(now, id);
        }
        let Ok(fields) = fields::parse(&Bytes::from(text)) else {
            log::warn!("custody: statement {id:016x} can't be read again");
            let _ = keeper.on_answered(now, id, &Answer::Aborted);
            return;
        };
        let index =
            |list: &[String], name: &Bytes| list.iter().position(|n| n.as_bytes() == &name[..]);
        let workload = index(&world.names.workloads, &fields.workload).unwrap_or(0);
        let tenant = fields
            .tenant
            .as_ref()
            .and_then(|tenant| index(&world.names.tenants, tenant))
            .unwrap_or(0);
        let deadline = (now + left).min(world.answer_by);
        let arrival = arrival(&fields, workload, tenant, deadline.saturating_sub(now));
        // Nobody waits for it here but those that custody knows of.
        let (answer, _) = async_channel::bounded(1);
        let nobody = ClientHandle {
            answer,
            presence: None,
        };
        let Ok(stmt) = world
            .stmts
            .open(0, fields, (workload, tenant), deadline, nobody)
        else {
            // An execution of it is still out here, under the same id.
            log::warn!("custody: statement {id:016x} is open here still");
            let _ = keeper.on_answered(now, id, &Answer::Aborted);
            return;
        };
        world.watch_statement(stmt);
        match at.flatten() {
            None => gateway
                .borrow_mut()
                .on_statement_arrived(now, stmt, arrival, world),
            Some(at) => {
                gateway
                    .borrow_mut()
                    .adopt_statement(now, stmt, arrival, at, world);
                world.watch_attempt(stmt, at);
            }
        }
    }

    /// A client's statement goes on its way.
    fn begin(
        &mut self,
        connection: u32,
        fields: Fields,
        (workload, tenant): (usize, usize),
        deadline: Nanos,
        client: ClientHandle,
    ) {
        let SchedulerActor {
            queues,
            gateway,
            world,
        } = self;
        let now = world.now;
        let arrival = arrival(&fields, workload, tenant, deadline.saturating_sub(now));
        let (bytes, id) = (fields.statement.len(), fields.statement_id_number());
        match world
            .stmts
            .open(connection, fields, (workload, tenant), deadline, client)
        {
            Ok(stmt) => {
                world.watch_statement(stmt);
                if let Some(queues) = queues {
                    let told_work = arrival.estimated_work;
                    let claim = Claim {
                        team: tenant,
                        workload,
                        told_work,
                        bytes,
                        deadline,
                    };
                    queues.on_statement_queued(now, stmt, claim);
                } else {
                    gateway
                        .borrow_mut()
                        .on_statement_arrived(now, stmt, arrival, world);
                }
            }
            Err(client) => {
                if let Some(keeper) = &mut world.keeper {
                    let _ = keeper.on_answered(now, id, &Answer::IdTaken);
                }
                client.send(Answer::IdTaken);
            }
        }
    }

    /// A client's statement where gateways talk: whether it is known comes first.
    fn arrive_known(
        &mut self,
        connection: u32,
        fields: Fields,
        (workload, tenant): (usize, usize),
        deadline: Nanos,
        client: ClientHandle,
    ) {
        let world = &mut self.world;
        let now = world.now;
        let Some(keeper) = world.keeper.as_mut() else {
            return;
        };
        let id = fields.statement_id_number();
        let left_ms = deadline.saturating_sub(now) / MS;
        let facts = StatementSpec {
            digest: fields.digest(),
            workload: workload as u16,
            tenant: tenant as u16,
            idempotent: world.idempotent.get(workload).copied().unwrap_or(false),
            remaining_ms: left_ms as u32,
            request: fields.write(left_ms.max(1)),
        };
        let work = fields.work_ms.map_or(0, |ms| (ms * MS as f64) as Nanos);
        let token = keeper.next_waiter_token();
        match keeper.on_statement_arrived(now, id, facts, work, token) {
            ArrivalDecision::Proceed => {
                self.begin(connection, fields, (workload, tenant), deadline, client);
                if let Some(open) = self
                    .world
                    .stmts
                    .of_req(id)
                    .and_then(|stmt| self.world.stmts.get(stmt))
                {
                    open.token = token;
                }
            }
            ArrivalDecision::Answer(word) => client.send(ownership::answer_of(word)),
            ArrivalDecision::Wait => {
                let going = Some((fields, workload, tenant));
                keeper.waiting.insert(
                    token,
                    Waiting {
                        id,
                        connection,
                        deadline,
                        client,
                        going,
                    },
                );
            }
        }
    }

    /// What can't end in the time that is left goes to others.
    fn hand_over(&mut self) {
        let now = self.world.now;
        let Some(keeper) = self.world.keeper.as_mut() else {
            return;
        };
        keeper.log_totals();
        let handed = keeper.hand_off(now);
        for id in handed {
            let world = &mut self.world;
            let Some(stmt) = world.stmts.of_req(id) else {
                continue;
            };
            let Some(open) = world.stmts.get(stmt) else {
                continue;
            };
            let (token, connection, deadline) = (open.token, open.connection, open.deadline);
            let key = open.out.as_ref().map(|out| {
                let _ = out.mailbox.try_send(AttemptMessage::Detach);
                AttemptKey {
                    statement: stmt,
                    serial: open.serial,
                    number: out.number,
                    engine: out.engine,
                }
            });
            if let Some(client) = world.stmts.answer(stmt)
                && let Some(keeper) = world.keeper.as_mut()
            {
                keeper.waiting.insert(
                    token,
                    Waiting {
                        id,
                        connection,
                        deadline,
                        client,
                        going: None,
                    },
                );
            }
            match key {
                Some(key) => {
                    let end = AttemptEnd {
                        outcome: Outcome::NeverDispatched,
                        measured_cost: None,
                        load_report: Vec::new(),
                        rows: None,
                    };
                    self.ended(key, end);
                }
                None => self.expire(stmt),
            }
        }
    }

    /// Does what the teams' queues ask for, and tells them what came of it, until nothing is left.
    fn settle(&mut self) {
        self.settle_queues();
        while self
            .world
            .keeper
            .as_ref()
            .is_some_and(OwnershipDriver::has_actions)
            || self
                .world
                .sharing
                .as_ref()
                .is_some_and(CoordinationDriver::has_actions)
        {
            self.settle_custody();
            self.settle_sharing();
            self.settle_queues();
        }
    }

    fn settle_queues(&mut self) {
        let SchedulerActor {
            queues: Some(queues),
            gateway,
            world,
        } = self
        else {
            return;
        };
        let now = world.now;
        loop {
            if let Some((stmt, real, took)) = world.over.pop() {
                queues.on_statement_ended(now, stmt, real, took);
                continue;
            }
            match queues.next_action() {
                Some(Action::Release(stmt, within)) => {
                    let by = world.answer_by;
                    let Some(open) = world.stmts.get(stmt) else {
                        continue;
                    };
                    let left = open.deadline.min(by).saturating_sub(now);
                    // A team within its share has no allowance to go over: the own file's shares stand in for it.
                    let tenant = if within { usize::MAX } else { open.tenant };
                    let arrival = arrival(&open.fields, open.workload, tenant, left);
                    gateway
                        .borrow_mut()
                        .on_statement_arrived(now, stmt, arrival, world);
                }
                Some(Action::Reject(stmt, retry_after)) => {
                    world.answer(stmt, Answer::Rejected { retry_after });
                    world.drop_statement(stmt);
                }
                None => return,
            }
        }
    }

    /// Its client waits no more, or has its answer. Where it is still queued, that is all; else the module is told.
    fn expire(&mut self, stmt: StatementIndex) {
        let SchedulerActor {
            queues,
            gateway,
            world,
        } = self;
        if queues
            .as_mut()
            .is_some_and(|queues| queues.remove(world.now, stmt))
        {
            world.stmts.answer(stmt);
            world.drop_statement(stmt);
        } else {
            gateway
                .borrow_mut()
                .on_statement_expired(world.now, stmt, world);
        }
    }

    fn take(&mut self, mail: SchedulerMessage) {
        let SchedulerActor {
            queues,
            gateway,
            world,
        } = self;
        world.now = world.clock.now();
        let now = world.now;
        match mail {
            SchedulerMessage::StatementArrived {
                connection,
                statement,
                arrived_at: at,
                client,
            } => {
                let ClientStatement {
                    fields,
                    workload,
                    tenant,
                } = statement;
                let deadline = (at + fields.timeout_ms * MS).min(world.answer_by);
                if let Some(sharing) = &mut world.sharing {
                    let allowance = world.allowances.get(tenant).copied().unwrap_or(0.0);
                    sharing.on_statement_arrived(tenant, allowance);
                }
                if world.keeper.is_some() {
                    self.arrive_known(connection, fields, (workload, tenant), deadline, client);
                } else {
                    self.begin(connection, fields, (workload, tenant), deadline, client);
                }
            }
            SchedulerMessage::ClientDisconnected { connection } => {
                if let Some(keeper) = &mut world.keeper
                    && keeper.on_client_disconnected(connection).is_some()
                {
                    return self.settle();
                }
                if let Some(stmt) = world.stmts.of_connection(connection) {
                    let id = world
                        .stmts
                        .get(stmt)
                        .map_or(0, |open| open.fields.statement_id_number());
                    if world
                        .keeper
                        .as_ref()
                        .is_some_and(|keeper| keeper.outlives_client(id))
                    {
                        // Its end is kept for when the client comes back, here or elsewhere.
                        return self.settle();
                    }
                    if let Some(keeper) = &mut world.keeper {
                        let _ = keeper.on_answered(now, id, &Answer::Killed);
                    }
                    world.stmts.answer(stmt);
                    self.expire(stmt);
                }
            }
            SchedulerMessage::PeerEvent(peer) => {
                if let Some(keeper) = &mut world.keeper {
                    keeper.on_peer_event(now, &peer);
                }
                if let Some(sharing) = &mut world.sharing {
                    match peer {
                        Peer::Up { place, birth } => sharing.on_member_up(now, place, birth),
                        Peer::Down { place, birth } => sharing.on_member_down(now, place, birth),
                        Peer::Shared {
                            from,
                            message,
                            _receipt,
                        } => sharing.on_message(now, from, *message),
                        Peer::Gossip(gossip, _taken) => sharing.on_gossip(now, *gossip),
                        Peer::Heard { .. } | Peer::Suspected { .. } => {}
                    }
                }
            }
            SchedulerMessage::WatchLineRead { event } => {
                if let Some(sharing) = &mut world.sharing {
                    sharing.on_watch_line_read(now, event);
                }
            }
            SchedulerMessage::ShowFleet { reply: client } => {
                let traffic = &*world.traffic;
                let view = world.sharing.as_ref().map(|sharing| ShownFleet {
                    view: sharing.view(now),
                    traffic,
                });
                let text = view
                    .and_then(|view| serde_json::to_string(&view).ok())
                    .unwrap_or_default();
                let _ = client.try_send(text);
            }
            SchedulerMessage::KillQuery { connection } => {
                if let Some(stmt) = world.stmts.of_connection(connection) {
                    world.answer(stmt, Answer::Killed);
                    self.expire(stmt);
                }
            }
            SchedulerMessage::AttemptProgressed {
                key,
                progress: note,
            } => {
                if world.out(key).is_some() {
                    gateway
                        .borrow_mut()
                        .on_progress(now, key.statement, key.number, note, world);
                }
            }
            SchedulerMessage::AttemptEnded { key, end } => self.ended(key, end),
            SchedulerMessage::EndpointsUpdated { update } => self.listed(update, None),
            SchedulerMessage::Shutdown { answer_by: by } => {
                world.answer_by = by;
                gateway.borrow_mut().begin_shutdown(by);
                if world.keeper.is_some() {
                    world
                        .timers
                        .set(by.saturating_sub(HAND_OVER), Due::HandOver);
                }
                if let Some(queues) = queues {
                    queues.on_shutdown(now, by);
                    queues.log_totals();
                }
            }
            SchedulerMessage::ReloadBudgets { budgets } => {
                if let Some(queues) = queues {
                    queues.reload(now, *budgets);
                }
            }
            SchedulerMessage::ShowQueue {
                statement_id: req,
                reply: client,
            } => {
                let _ = client.try_send(self.shown(req));
            }
        }
        self.settle();
    }

    fn shown(&mut self, req: Option<u64>) -> Vec<QueueRow> {
        let SchedulerActor {
            queues: Some(queues),
            world,
            ..
        } = self
        else {
            return Vec::new();
        };
        let now = world.now;
        let shown = |stmts: &mut StatementTable, stmt: StatementIndex| {
            let open = stmts.get(stmt)?;
            Some(QueueRow {
                statement_id: String::from_utf8_lossy(&open.fields.statement_id).into_owned(),
                team: open.tenant,
                workload: open.workload,
                queued: queues.row(now, stmt),
            })
        };
        match req {
            Some(req) => {
                let stmt = world.stmts.of_req(req);
                stmt.and_then(|stmt| shown(&mut world.stmts, stmt))
                    .into_iter()
                    .collect()
            }
            None => queues
                .rows(now)
                .iter()
                .filter_map(|row| shown(&mut world.stmts, row.stmt))
                .collect(),
        }
    }

    fn come_due(&mut self, due: Due) {
        let SchedulerActor {
            gateway,
            world,
            queues,
        } = self;
        let now = world.now;
        match due {
            Due::Wake { mark } => gateway.borrow_mut().on_timer(now, mark, world),
            Due::HandOver => self.hand_over(),
            Due::AttemptTimesOut {
                stmt,
                serial,
                number,
            } => self.time_out(StatementIndex(stmt), serial, number),
            Due::StatementOver { stmt, serial } => {
                let stmt = StatementIndex(stmt);
                if world
                    .stmts
                    .get_same(stmt, serial)
                    .is_some_and(|open| open.client.is_some())
                {
                    let queued = queues.as_ref().is_some_and(|queues| queues.is_queued(stmt));
                    let late = if queued {
                        Answer::Rejected { retry_after: 0 }
                    } else {
                        Answer::Aborted
                    };
                    world.answer(stmt, late);
                    self.expire(stmt);
                }
            }
        }
        self.settle();
    }

    /// An execution's time is over: it is given up, and over for the module with the statement's own time,
    /// however silent the engine is. What is left in between is no time for another, nor may one go out beside it.
    fn time_out(&mut self, stmt: StatementIndex, serial: u64, number: u32) {
        let world = &mut self.world;
        let Some(open) = world.stmts.get_same(stmt, serial) else {
            return;
        };
        let Some(out) = open.out.as_mut().filter(|out| out.number == number) else {
            return;
        };
        let _ = out.mailbox.try_send(AttemptMessage::Cancel);
        let key = AttemptKey {
            statement: stmt,
            serial,
            number,
            engine: out.engine,
        };
        if open.deadline > world.now {
            out.timed_out = true;
            out.times_out_at = open.deadline;
            world.timers.set(
                open.deadline,
                Due::AttemptTimesOut {
                    stmt: stmt.0,
                    serial,
                    number,
                },
            );
        } else {
            let end = AttemptEnd {
                outcome: Outcome::TimedOut,
                measured_cost: None,
                load_report: Vec::new(),
                rows: None,
            };
            self.ended(key, end);
        }
    }

    /// Ends an execution for the module, unless that has been done.
    fn ended(&mut self, key: AttemptKey, end: AttemptEnd) {
        let SchedulerActor { gateway, world, .. } = self;
        let Some(out) = world.out(key) else { return };
        let over = matches!(end.outcome, Outcome::Cancelled | Outcome::NotSent);
        let cancelled = over && out.as_ref().is_some_and(|out| out.timed_out);
        let Some(out) = out.take_if(|_| !cancelled) else {
            return;
        };
        let due = Due::AttemptTimesOut {
            stmt: key.statement.0,
            serial: key.serial,
            number: key.number,
        };
        world.timers.unset(out.times_out_at, due);
        world.tell_custody(key, end.outcome.never_ran());
        if let Some(sharing) = &mut world.sharing
            && let Some(&number) = world.numbers.get(key.engine.0)
        {
            sharing.on_attempt_ended(world.now, number, end.outcome, key.number == 0);
        }
        if let Some(rows) = end.rows {
            world.answer(key.statement, Answer::Completed(rows));
        }
        let took = world.now.saturating_sub(out.sent_at);
        if world.has_queues
            && let Some(open) = world.stmts.get(key.statement)
        {
            let threads = world.threads.get(open.workload).copied().unwrap_or(1.0);
            if !end.outcome.never_ran() {
                let on_engine = (took as f64 * threads) as Nanos;
                let work = end
                    .measured_cost
                    .map_or(on_engine, |cost| (cost.work_ms * MS as f64) as Nanos);
                open.real = Some(open.real.unwrap_or(0) + work);
            }
            open.took = (end.outcome == Outcome::Completed).then_some(took);
        }
        let closed = world
            .stmts
            .get(key.statement)
            .is_none_or(|open| open.client.is_none());
        let ended = AttemptEnded {
            attempt: key.number,
            engine: key.engine,
            outcome: end.outcome,
            took,
            closed,
            true_cost: end.measured_cost.map(|cost| (cost.work_ms, cost.peak_mb)),
            report: &end.load_report,
        };
        gateway
            .borrow_mut()
            .on_attempt_ended(world.now, key.statement, &ended, world);
    }

    fn listed(&mut self, update: EndpointUpdate, kind: Option<EndpointUpdateKind>) {
        let SchedulerActor {
            queues,
            gateway,
            world,
        } = self;
        let kind = kind.unwrap_or(if update.is_full {
            EndpointUpdateKind::Full
        } else {
            EndpointUpdateKind::Delta
        });
        let rows: Vec<EngineEndpoint> = update
            .endpoints
            .iter()
            .filter_map(|server| world.row(server))
            .collect();
        if kind != EndpointUpdateKind::Delta {
            // An engine that the whole list lacks has gone.
            for (ix, actor) in world.mailboxes.iter_mut().enumerate() {
                actor.take_if(|_| rows.iter().all(|row| row.engine.0 != ix));
            }
        }
        gateway
            .borrow_mut()
            .on_endpoints_updated(world.now, kind, &rows, world);
        if let Some(queues) = queues {
            let cores = world.cores_listed(kind, &rows);
            queues.set_capacity(world.now, cores * world.cores_part);
        }
        for row in &rows {
            let ready = row.phase == EngineState::Ready;
            world
                .ready
                .resize(world.ready.len().max(row.engine.0 + 1), false);
            world.ready[row.engine.0] = ready;
        }
        if kind != EndpointUpdateKind::Delta {
            for (ix, ready) in world.ready.iter_mut().enumerate() {
                *ready &= rows.iter().any(|row| row.engine.0 == ix);
            }
        }
        if let Some(sharing) = &mut world.sharing {
            let all = world.numbers.iter().zip(&world.ready);
            let ready: Vec<u64> = all
                .filter(|(_, ready)| **ready)
                .map(|(&number, _)| number)
                .collect();
            sharing.on_endpoints_updated(&ready);
        }
        let World {
            engines, mailboxes, ..
        } = world;
        engines.retain(|ix| {
            gateway.borrow().is_engine_referenced(ix)
                || mailboxes.get(ix.0).is_some_and(Option::is_some)
        });
    }
}

fn arrival(fields: &Fields, workload: usize, tenant: usize, time_left: Nanos) -> Arrival {
    Arrival {
        workload,
        key: fields.ordering_key_number(),
        table_group: table_group(fields.table_group as f32),
        time_left,
        is_repeat: fields.is_repeat,
        tenant,
        estimated_mb: fields.memory_mb.map_or(0.0, estimated_mb),
        estimated_work: fields.work_ms.map_or(0, |ms| (ms * MS as f64) as Nanos),
    }
}

impl World {
    fn out(&mut self, key: AttemptKey) -> Option<&mut Option<InFlightAttempt>> {
        let open = self.stmts.get_same(key.statement, key.serial)?;
        open.out
            .as_ref()
            .is_some_and(|out| out.number == key.number)
            .then_some(&mut open.out)
    }

    fn watch_statement(&mut self, stmt: StatementIndex) {
        let Some(open) = self.stmts.get(stmt) else {
            return;
        };
        let due = Due::StatementOver {
            stmt: stmt.0,
            serial: open.serial,
        };
        self.timers.set(open.deadline + self.answer_grace, due);
    }

    /// The cores of the engines that are ready, after these rows of the list.
    fn cores_listed(&mut self, kind: EndpointUpdateKind, rows: &[EngineEndpoint]) -> f64 {
        if kind != EndpointUpdateKind::Delta {
            self.cores.clear();
        }
        for row in rows {
            self.cores
                .resize(self.cores.len().max(row.engine.0 + 1), 0.0);
            let cores = self
                .kind_cores
                .get(usize::from(row.kind))
                .copied()
                .unwrap_or(1.0);
            self.cores[row.engine.0] = if row.phase == EngineState::Ready {
                cores
            } else {
                0.0
            };
        }
        self.cores.iter().sum()
    }

    /// What no longer concerns anybody; its index is free.
    fn drop_statement(&mut self, stmt: StatementIndex) {
        let Some(open) = self.stmts.get(stmt) else {
            return;
        };
        let due = Due::StatementOver {
            stmt: stmt.0,
            serial: open.serial,
        };
        let at = open.deadline + self.answer_grace;
        self.timers.unset(at, due);
        self.stmts.close(stmt);
    }

    fn answer(&mut self, stmt: StatementIndex, answer: Answer) {
        let Some(open) = self.stmts.get(stmt) else {
            return;
        };
        let (id, connection, deadline) = (
            open.fields.statement_id_number(),
            open.connection,
            open.deadline,
        );
        let Some(client) = self.stmts.answer(stmt) else {
            return;
        };
        if let Some(keeper) = &mut self.keeper
            && let Some(token) = keeper.on_answered(self.now, id, &answer)
        {
            keeper.waiting.insert(
                token,
                Waiting {
                    id,
                    connection,
                    deadline,
                    client,
                    going: None,
                },
            );
            return;
        }
        client.send(answer);
    }

    fn tell_custody(&mut self, key: AttemptKey, never_ran: bool) {
        let id = self
            .stmts
            .get(key.statement)
            .map(|open| open.fields.statement_id_number());
        if let (Some(keeper), Some(id)) = (&mut self.keeper, id) {
            keeper.ready.remove(&id);
            keeper.on_attempt_ended(self.now, id, key.number, never_ran);
        }
    }

    fn post(&mut self, engine: EngineIndex, attempt: Attempt) {
        let key = attempt.key;
        match self.mailboxes.get(engine.0) {
            Some(Some(actor)) => drop(
                actor
                    .mailbox
                    .try_send(EngineMessage::Start(Box::new(attempt))),
            ),
            // The engine has gone meanwhile: nothing was sent.
            _ => self.unsent(key),
        }
    }

    fn unsent(&mut self, key: AttemptKey) {
        let end = AttemptEnd {
            outcome: Outcome::NotSent,
            measured_cost: None,
            load_report: Vec::new(),
            rows: None,
        };
        let _ = self
            .module
            .try_send(SchedulerMessage::AttemptEnded { key, end });
    }

    /// The execution of an adopted statement: asked for, never started.
    fn watch_attempt(&mut self, stmt: StatementIndex, engine: EngineIndex) {
        let Some(open) = self.stmts.get(stmt) else {
            return;
        };
        let timeout = open.deadline.saturating_sub(self.now).max(1);
        if let Some(attempt) = self.attempt(stmt, engine, timeout, true) {
            self.post(engine, attempt);
        }
    }

    /// A row of the list, and an actor for its engine; none where it names nothing that is known.
    fn row(&mut self, server: &Endpoint) -> Option<EngineEndpoint> {
        let index =
            |names: &[String], name: &str| names.iter().position(|n| n == name).map(|i| i as u16);
        let phase = match server.state.as_str() {
            "in_service" => EngineState::Ready,
            "terminating" => EngineState::Draining,
            _ => EngineState::Gone,
        };
        let ix = self.engines.index_of(&server.id);
        self.numbers.resize(self.numbers.len().max(ix.0 + 1), 0);
        self.numbers[ix.0] = engine_id_hash(&server.id);
        if self.mailboxes.len() <= ix.0 {
            self.mailboxes.resize_with(ix.0 + 1, || None);
        }
        match server.address.parse() {
            Ok(address) if phase != EngineState::Gone => self.engine_at(ix, &server.id, address),
            Ok(_) => {}
            Err(_) if phase != EngineState::Gone => {
                log::warn!(
                    "engine {} {}: address {:?} not understood",
                    ix.0,
                    server.id,
                    server.address
                );
                return None;
            }
            Err(_) => {}
        }
        if phase == EngineState::Gone {
            // Its actor ends with its mailbox.
            self.mailboxes[ix.0] = None;
        }
        Some(EngineEndpoint {
            engine: ix,
            id: engine_id_hash(&server.id),
            zone: index(&self.names.zones, &server.zone).unwrap_or(u16::MAX),
            kind: index(&self.names.kinds, &server.kind).unwrap_or(u16::MAX),
            cell: server.cell,
            phase,
            weight: server.weight,
            started_at: server.started_ms * MS,
        })
    }

    fn engine_at(&mut self, ix: EngineIndex, id: &str, address: SocketAddr) {
        if let Some(actor) = &mut self.mailboxes[ix.0] {
            if actor.address != address {
                actor.address = address;
                let _ = actor.mailbox.try_send(EngineMessage::Address(address));
            }
            return;
        }
        log::info!("engine {} is {id} at {address}", ix.0);
        let stated = |limit: Nanos, or: Duration| {
            if limit > 0 {
                Duration::from_nanos(limit)
            } else {
                or
            }
        };
        let connect_timeout = stated(self.limits.connect_timeout, CONNECT_TIMEOUT);
        let lines = ivypitch_connection_pool::PoolParams::new(
            self.gateways as usize,
            self.limits.idle_close,
        );
        let client = EngineClient::new(EngineClientParams {
            address,
            connect_timeout,
            pool: lines,
            clock: self.clock,
            permits: self.permits.clone(),
            connects: self.connects.clone(),
            traffic: self.traffic.clone(),
        });
        let (mailbox, letters) = async_channel::unbounded();
        self.executor
            .spawn(engine::run(client, letters, self.executor.clone()))
            .detach();
        self.mailboxes[ix.0] = Some(EngineActor { address, mailbox });
    }
}

impl World {
    /// The next execution of a statement, entered as out.
    fn attempt(
        &mut self,
        stmt: StatementIndex,
        engine: EngineIndex,
        timeout: Nanos,
        is_watched: bool,
    ) -> Option<Attempt> {
        let now = self.now;
        let is_outlived = self.keeper.is_some();
        let open = self.stmts.get(stmt)?;
        // Where gateways talk, a statement may have to go on for the client that comes back.
        let client = open
            .client
            .as_ref()
            .filter(|_| !is_outlived)
            .and_then(|c| c.presence.clone());
        let timeout = timeout.min(open.deadline.saturating_sub(now)).max(1);
        let key = AttemptKey {
            statement: stmt,
            serial: open.serial,
            number: open.attempts,
            engine,
        };
        let start = Start {
            statement_id: open.fields.statement_id.clone(),
            workload: open.fields.workload.clone(),
            remaining_ms: (timeout / MS).max(1),
            priority: open.priority,
            grant_mb: open.grant_mb.ceil() as u64,
            idempotency_key: open.fields.idempotency_key.clone(),
            ordering_key: open.fields.ordering_key.clone(),
            statement: open.fields.statement.clone(),
        };
        let (mailbox, letters) = async_channel::unbounded();
        let times_out_at = now + timeout;
        open.attempts += 1;
        open.out = Some(InFlightAttempt {
            number: key.number,
            engine,
            sent_at: now,
            times_out_at,
            timed_out: false,
            mailbox,
        });
        let due = Due::AttemptTimesOut {
            stmt: stmt.0,
            serial: key.serial,
            number: key.number,
        };
        self.timers.set(times_out_at, due);
        Some(Attempt {
            key,
            start,
            is_already_started: is_watched,
            report_fields: self.report_fields.clone(),
            mailbox: letters,
            unsent_priority: Cell::new(None),
            scheduler: self.module.clone(),
            gate: self.gate.clone(),
            times_out_at,
            client,
        })
    }
}

impl Output for World {
    fn send(&mut self, stmt: StatementIndex, engine: EngineIndex, timeout: Nanos) {
        let Some(attempt) = self.attempt(stmt, engine, timeout, false) else {
            return;
        };
        let id = self
            .stmts
            .get(stmt)
            .map_or(0, |open| open.fields.statement_id_number());
        let Some(keeper) = &mut self.keeper else {
            return self.post(engine, attempt);
        };
        let number = attempt.key.number;
        match keeper.request_attempt_grant(
            self.now,
            id,
            number,
            self.numbers.get(engine.0).copied().unwrap_or(0),
        ) {
            GrantDecision::Granted => self.post(engine, attempt),
            GrantDecision::Pending => drop(keeper.ready.insert(
                id,
                Ready {
                    number,
                    engine,
                    attempt,
                },
            )),
            GrantDecision::Denied(why) => keeper.defer_denial(id, number, why),
        }
    }

    fn cancel(&mut self, stmt: StatementIndex, attempt: u32) {
        let out = self.stmts.get(stmt).and_then(|open| open.out.as_ref());
        if let Some(out) = out.filter(|out| out.number == attempt) {
            let _ = out.mailbox.try_send(AttemptMessage::Cancel);
        }
    }

    fn set_resources(&mut self, stmt: StatementIndex, grant_mb: f64, priority: u8) {
        let Some(open) = self.stmts.get(stmt) else {
            return;
        };
        open.grant_mb = grant_mb;
        open.priority = priority;
        if let Some(out) = &open.out {
            let _ = out.mailbox.try_send(AttemptMessage::Priority(priority));
        }
    }

    fn reject(&mut self, stmt: StatementIndex, retry_after: Nanos) {
        self.answer(stmt, Answer::Rejected { retry_after });
    }

    fn abort(&mut self, stmt: StatementIndex) {
        self.answer(stmt, Answer::Aborted);
    }

    fn forget(&mut self, stmt: StatementIndex) {
        if self.has_queues
            && let Some(open) = self.stmts.get(stmt)
        {
            self.over.push((stmt, open.real, open.took));
        }
        self.drop_statement(stmt);
    }

    fn set_timer(&mut self, mark: u64, after: Nanos) {
        self.timers.set(self.now + after, Due::Wake { mark });
    }

    /// No page of the sockets' protocol has probes, words between gateways or a list that must be asked for.
    fn request_load_report(&mut self, _engine: EngineIndex) {}
    fn broadcast(&mut self, _bytes: &[u8]) {}
    fn watch_endpoints(&mut self) {}

    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}
