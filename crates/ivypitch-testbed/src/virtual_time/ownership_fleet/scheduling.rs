//! A simple substitute for a gateway's scheduler: dispatches attempts to engines and polls them.

use ivypitch_ownership::{FinalAnswer, GrantDecision, StatementId, StatementSpec};
use ivypitch_types::{MILLISECOND, Nanos};
use rand::Rng;

use super::action::{Action, Actions};
use super::clients::ClientAnswer;
use super::engine::{MAX_POLL_GAP, Poller, Query};
use super::event::Event;
use super::simulation::Simulation;

/// Interval in which a gateway polls an attempt.
const POLL_INTERVAL: Nanos = 60 * MILLISECOND;
/// Time from a takeover until the first poll of the attempt.
const FIRST_POLL_DELAY: Nanos = MILLISECOND / 2;
/// Time from the decision to dispatch until the dispatch. The process may be suspended in between.
const DISPATCH_DELAY: Nanos = MILLISECOND / 10;
/// Maximum number of attempts of a statement at one gateway.
const MAX_ATTEMPTS: u32 = 4;

/// A statement at the scheduler of a gateway.
pub(super) struct LocalStatement {
    spec: StatementSpec,
    deadline: Nanos,
    /// Number of the next attempt; a statement that was taken over with an attempt starts at 1.
    next_attempt: u32,
    engine: usize,
    pub(super) is_dispatched: bool,
    may_have_run: bool,
    /// Attempts requested at this gateway.
    requested_attempts: u32,
    /// Token of the client that submitted the statement at this gateway.
    token: Option<u64>,
    /// Distinguishes the statement from earlier ones with the same id, so that their events are
    /// ignored.
    serial: u64,
}

impl Simulation<'_> {
    pub(super) fn insert_statement(
        &mut self,
        gateway: usize,
        id: StatementId,
        spec: StatementSpec,
        token: Option<u64>,
    ) {
        if self.gateways[gateway].local.contains_key(&id) {
            return;
        }
        let serial = self.next_serial();
        let deadline = self.now + u64::from(spec.remaining_ms) * MILLISECOND;
        let local = LocalStatement {
            spec,
            deadline,
            next_attempt: 0,
            engine: 0,
            is_dispatched: false,
            may_have_run: false,
            requested_attempts: 0,
            token,
            serial,
        };
        self.gateways[gateway].local.insert(id, local);
    }

    pub(super) fn start_statement(
        &mut self,
        gateway: usize,
        id: StatementId,
        spec: StatementSpec,
        token: Option<u64>,
    ) {
        self.gateways[gateway].local.remove(&id);
        self.insert_statement(gateway, id, spec, token);
        self.try_attempt(gateway, id);
    }

    pub(super) fn take_over(
        &mut self,
        gateway: usize,
        id: StatementId,
        spec: StatementSpec,
        remaining: Nanos,
        engine: Option<u64>,
    ) {
        self.trace(|| format!("{gateway} takes over {id:x}, at engine {engine:?}"));
        let spec = StatementSpec {
            remaining_ms: (remaining / MILLISECOND) as u32,
            ..spec
        };
        self.gateways[gateway].local.remove(&id);
        self.insert_statement(gateway, id, spec, None);
        let Some(engine) = engine else {
            self.try_attempt(gateway, id);
            return;
        };
        if let Some(local) = self.gateways[gateway].local.get_mut(&id) {
            local.engine = engine as usize;
            local.is_dispatched = true;
            local.may_have_run = true;
            local.next_attempt = 1;
            self.schedule_deadline(gateway, id);
            self.schedule_poll(gateway, id, FIRST_POLL_DELAY);
        }
    }

    fn schedule_deadline(&mut self, gateway: usize, id: StatementId) {
        let incarnation = self.gateways[gateway].incarnation;
        if let Some(local) = self.gateways[gateway].local.get(&id) {
            let serial = local.serial;
            let deadline = Event::Deadline {
                gateway,
                incarnation,
                id,
                serial,
            };
            self.schedule_at(local.deadline, deadline);
        }
    }

    fn schedule_poll(&mut self, gateway: usize, id: StatementId, delay: Nanos) {
        let incarnation = self.gateways[gateway].incarnation;
        if let Some(local) = self.gateways[gateway].local.get(&id) {
            let serial = local.serial;
            let poll = Event::Poll {
                gateway,
                incarnation,
                id,
                serial,
            };
            self.schedule_after(delay, poll);
        }
    }

    /// Requests the next attempt at a random engine, or gives up.
    pub(super) fn try_attempt(&mut self, gateway: usize, id: StatementId) {
        let engines: Vec<usize> = (0..self.engines.len())
            .filter(|&engine| !self.engines[engine].is_draining)
            .collect();
        let now = self.now;
        let Some(local) = self.gateways[gateway].local.get_mut(&id) else {
            return;
        };
        if engines.is_empty() || local.requested_attempts >= MAX_ATTEMPTS || now >= local.deadline {
            self.give_up(gateway, id);
            return;
        }
        local.requested_attempts += 1;
        let attempt = local.next_attempt;
        local.next_attempt += 1;
        let engine = engines[self.rng.random_range(0..engines.len())];
        local.engine = engine;
        if attempt == 0 {
            self.schedule_deadline(gateway, id);
        }
        let mut actions = Actions::default();
        let ownership = self.gateways[gateway].ownership.as_mut();
        let decision = match ownership.filter(|_| self.fleet.requires_grants) {
            Some(ownership) => {
                ownership.request_attempt(now, id, attempt, engine as u64, &mut actions)
            }
            None => GrantDecision::Granted,
        };
        match decision {
            GrantDecision::Granted => self.schedule_dispatch(gateway, id, attempt),
            GrantDecision::Pending => {}
            GrantDecision::Denied(denial) => actions.0.push(Action::Deny(id, denial)),
        }
        self.apply_actions(gateway, actions);
    }

    pub(super) fn schedule_dispatch(&mut self, gateway: usize, id: StatementId, attempt: u32) {
        let dispatch = Event::Dispatch {
            gateway,
            incarnation: self.gateways[gateway].incarnation,
            id,
            attempt,
        };
        self.schedule_after(DISPATCH_DELAY, dispatch);
    }

    pub(super) fn on_dispatch(&mut self, gateway: usize, id: StatementId, attempt: u32) {
        let now = self.now;
        let incarnation = self.gateways[gateway].incarnation;
        let statement = self.by_id[&id];
        let Some(local) = self.gateways[gateway].local.get_mut(&id) else {
            return;
        };
        if local.next_attempt != attempt + 1 || now >= local.deadline {
            return;
        }
        local.is_dispatched = true;
        local.may_have_run = true;
        let engine = local.engine;
        self.statements[statement].starts += 1;
        self.trace(|| format!("{gateway} starts {id:x} at engine {engine}"));
        let query = Query {
            ends_at: now + self.statements[statement].work,
            polled_at: now,
            polled_by: Poller {
                gateway,
                incarnation,
            },
        };
        self.engines[engine].queries.insert(id, query);
        self.schedule_poll(gateway, id, POLL_INTERVAL);
    }

    pub(super) fn on_poll(&mut self, gateway: usize, id: StatementId, serial: u64) {
        let now = self.now;
        let Some(local) = self.gateways[gateway].local.get(&id) else {
            return;
        };
        if !local.is_dispatched || local.serial != serial {
            return;
        }
        let engine = local.engine;
        let poller = Poller {
            gateway,
            incarnation: self.gateways[gateway].incarnation,
        };
        let query = self.engines[engine]
            .queries
            .get_mut(&id)
            .filter(|query| now <= query.polled_at + MAX_POLL_GAP);
        let Some(query) = query else {
            self.on_query_unknown(gateway, id, engine);
            return;
        };
        query.polled_at = now;
        let is_first_poll = query.polled_by != poller;
        query.polled_by = poller;
        let is_completed = now >= query.ends_at;
        if is_first_poll && let Some(lost_at) = self.lost_at.remove(&id) {
            self.first_polls_ms.push((now - lost_at) / MILLISECOND);
        }
        if is_completed {
            self.answer_statement(gateway, id, ClientAnswer::Rows);
        } else {
            self.schedule_poll(gateway, id, POLL_INTERVAL);
        }
    }

    /// Handles a poll of a query that the engine does not know.
    fn on_query_unknown(&mut self, gateway: usize, id: StatementId, engine: usize) {
        self.engines[engine].queries.remove(&id);
        let Some(local) = self.gateways[gateway].local.get_mut(&id) else {
            return;
        };
        local.is_dispatched = false;
        if local.spec.is_idempotent {
            self.try_attempt(gateway, id);
        } else {
            self.give_up(gateway, id);
        }
    }

    pub(super) fn on_deadline(&mut self, gateway: usize, id: StatementId, serial: u64) {
        let is_current = self.gateways[gateway]
            .local
            .get(&id)
            .is_some_and(|local| local.serial == serial);
        if is_current {
            self.give_up(gateway, id);
        }
    }

    fn give_up(&mut self, gateway: usize, id: StatementId) {
        let Some(local) = self.gateways[gateway].local.get(&id) else {
            return;
        };
        let answer = if local.spec.is_idempotent || !local.may_have_run {
            ClientAnswer::Rejected
        } else {
            ClientAnswer::Aborted
        };
        self.answer_statement(gateway, id, answer);
    }

    pub(super) fn answer_statement(
        &mut self,
        gateway: usize,
        id: StatementId,
        answer: ClientAnswer,
    ) {
        let Some(local) = self.gateways[gateway].local.remove(&id) else {
            return;
        };
        let mut deferred = None;
        self.with_ownership(gateway, |ownership, now, out| {
            deferred = ownership.on_answered(now, id, final_answer(answer), out);
        });
        if let Some(token) = local.token.filter(|_| deferred.is_none()) {
            self.answer_client(gateway, token, answer);
        }
    }
}

fn final_answer(answer: ClientAnswer) -> FinalAnswer {
    match answer {
        ClientAnswer::Rows => {
            FinalAnswer::Rows(vec![serde_bytes::ByteBuf::from(b"a\tb\tc\n".to_vec())])
        }
        ClientAnswer::Completed => FinalAnswer::CompletedWithoutRows,
        ClientAnswer::Rejected => FinalAnswer::Rejected { retry_after_ms: 0 },
        ClientAnswer::Aborted => FinalAnswer::Aborted,
    }
}
