//! Clients: each submits one statement and retries at a random gateway until it has an answer.

use ivypitch_ownership::{Arrival, ArrivalDecision, FinalAnswer, StatementId, StatementSpec};
use ivypitch_types::{MILLISECOND, Nanos};
use rand::Rng;

use super::action::{Action, Actions};
use super::event::Event;
use super::simulation::Simulation;

/// Minimum time until the deadline with which a client still retries.
const MIN_REMAINING: Nanos = 50 * MILLISECOND;
/// Work above which a statement is looked up at other gateways before it runs.
const MIN_LOOKUP_WORK: Nanos = 200 * MILLISECOND;

/// The answer that a client received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientAnswer {
    Rows,
    Completed,
    Rejected,
    Aborted,
}

impl From<&FinalAnswer> for ClientAnswer {
    fn from(answer: &FinalAnswer) -> ClientAnswer {
        match answer {
            FinalAnswer::Rows(_) => ClientAnswer::Rows,
            FinalAnswer::CompletedWithoutRows => ClientAnswer::Completed,
            FinalAnswer::Rejected { .. } => ClientAnswer::Rejected,
            FinalAnswer::Aborted | FinalAnswer::IdReused => ClientAnswer::Aborted,
        }
    }
}

/// The process at which a client waits.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Session {
    gateway: usize,
    incarnation: u64,
    token: u64,
}

/// A statement with the state of its client and its starts at engines.
pub(super) struct SubmittedStatement {
    pub(super) id: StatementId,
    pub(super) spec: StatementSpec,
    pub(super) work: Nanos,
    pub(super) first_arrival: Nanos,
    deadline: Nanos,
    /// Number of times that engines have started the statement.
    pub(super) starts: u32,
    /// Number of starts at the time when its gateway was lost while it ran.
    pub(super) starts_at_loss: Option<u32>,
    /// Whether the client has retried.
    pub(super) has_retried: bool,
    pub(super) answers: Vec<ClientAnswer>,
    session: Option<Session>,
    pub(super) is_over: bool,
}

impl SubmittedStatement {
    pub(super) fn new(
        id: StatementId,
        spec: StatementSpec,
        work: Nanos,
        first_arrival: Nanos,
        deadline: Nanos,
    ) -> SubmittedStatement {
        SubmittedStatement {
            id,
            spec,
            work,
            first_arrival,
            deadline,
            starts: 0,
            starts_at_loss: None,
            has_retried: false,
            answers: Vec::new(),
            session: None,
            is_over: false,
        }
    }
}

/// A client that is waiting at a gateway.
#[derive(Clone, Copy)]
pub(super) struct WaitingClient {
    pub(super) statement: usize,
    pub(super) token: u64,
}

impl Simulation<'_> {
    /// Ends a client's session without an answer and schedules its retry.
    pub(super) fn retry_later(&mut self, statement: usize) {
        self.statements[statement].session = None;
        let delay = self.random_delay(20, 600);
        if !self.statements[statement].is_over {
            self.statements[statement].has_retried = true;
            self.schedule_after(delay, Event::ClientArrival { statement });
        }
    }

    pub(super) fn on_client_arrival(&mut self, statement: usize) {
        let remaining = self.statements[statement].deadline.saturating_sub(self.now);
        if self.statements[statement].is_over {
            return;
        }
        if remaining < MIN_REMAINING {
            self.close_client(statement);
            return;
        }
        let gateway = self.rng.random_range(0..self.fleet.gateways);
        if !self.is_up(gateway) || self.gateways[gateway].is_shutting_down {
            let delay = self.random_delay(5, 60);
            self.schedule_after(delay, Event::ClientArrival { statement });
            return;
        }
        let token = self.open_session(statement, gateway);
        // A suspended gateway accepts nothing, and the client gives up sooner.
        let give_up_delay = remaining.min(self.random_delay(5000, 7000));
        if self.gateways[gateway].is_suspended {
            let delay = self.random_delay(600, 1800);
            self.schedule_after(delay, Event::ClientGivesUp { statement, token });
            return;
        }
        self.schedule_after(give_up_delay, Event::ClientGivesUp { statement, token });
        let spec = StatementSpec {
            remaining_ms: (remaining / MILLISECOND) as u32,
            ..self.statements[statement].spec.clone()
        };
        self.submit(statement, gateway, token, spec);
    }

    fn open_session(&mut self, statement: usize, gateway: usize) -> u64 {
        self.last_token += 1;
        let token = self.last_token;
        self.by_token.insert(token, statement);
        self.statements[statement].session = Some(Session {
            gateway,
            incarnation: self.gateways[gateway].incarnation,
            token,
        });
        token
    }

    fn submit(&mut self, statement: usize, gateway: usize, token: u64, spec: StatementSpec) {
        let now = self.now;
        let id = self.statements[statement].id;
        self.trace(|| format!("client of {id:x} submits to {gateway}"));
        let Some(ownership) = self.gateways[gateway].ownership.as_mut() else {
            self.start_statement(gateway, id, spec, Some(token));
            return;
        };
        let mut actions = Actions::default();
        let arrival = Arrival {
            id,
            spec: spec.clone(),
            is_worth_lookup: self.statements[statement].work > MIN_LOOKUP_WORK,
            waiter_token: token,
        };
        match ownership.on_arrival(now, arrival, &mut actions) {
            ArrivalDecision::Proceed => self.start_statement(gateway, id, spec, Some(token)),
            ArrivalDecision::Answer(answer) => actions.0.push(Action::Answer {
                waiter: token,
                answer,
            }),
            // The statement is kept until the ownership lets it proceed.
            ArrivalDecision::Wait => self.insert_statement(gateway, id, spec, Some(token)),
        }
        self.apply_actions(gateway, actions);
    }

    pub(super) fn on_client_gives_up(&mut self, statement: usize, token: u64) {
        let session = self.statements[statement].session;
        let Some(session) = session.filter(|session| session.token == token) else {
            return;
        };
        let id = self.statements[statement].id;
        let gateway = &self.gateways[session.gateway];
        if gateway.incarnation == session.incarnation && !gateway.is_suspended {
            self.with_ownership(session.gateway, |ownership, _, _| {
                ownership.on_client_stopped_waiting(id, token);
            });
        }
        self.retry_later(statement);
    }

    fn close_client(&mut self, statement: usize) {
        if !self.statements[statement].is_over {
            self.statements[statement].is_over = true;
            self.open_statements -= 1;
        }
    }

    pub(super) fn answer_client(&mut self, gateway: usize, token: u64, answer: ClientAnswer) {
        let Some(&statement) = self.by_token.get(&token) else {
            return;
        };
        let session = Session {
            gateway,
            incarnation: self.gateways[gateway].incarnation,
            token,
        };
        let is_waiting = self.statements[statement].session == Some(session);
        if !is_waiting || self.statements[statement].is_over {
            return;
        }
        let id = self.statements[statement].id;
        self.trace(|| format!("client of {id:x} at {gateway} gets {answer:?}"));
        self.statements[statement].answers.push(answer);
        self.close_client(statement);
    }

    pub(super) fn clients_at(&self, gateway: usize) -> Vec<WaitingClient> {
        let mut clients = Vec::new();
        for (statement, submitted) in self.statements.iter().enumerate() {
            let session = submitted
                .session
                .filter(|session| session.gateway == gateway);
            if let Some(session) = session {
                let token = session.token;
                clients.push(WaitingClient { statement, token });
            }
        }
        clients
    }
}
