//! Clients: each submits one statement, and comes back to any gateway until it has an answer.

use ivypitch_ownership::{Arrival, ArrivalDecision, FinalAnswer, StatementId, StatementSpec};
use ivypitch_types::{MILLISECOND, Nanos};
use rand::Rng;

use super::action::{Action, Actions};
use super::event::Event;
use super::simulation::Simulation;

/// A client with less time than this left does not come back any more.
const MIN_REMAINING: Nanos = 50 * MILLISECOND;
/// Statements with more work than this are looked up before they run.
const MIN_LOOKUP_WORK: Nanos = 200 * MILLISECOND;

/// What a client was told.
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

/// Where a client is.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Session {
    gateway: usize,
    incarnation: u64,
    token: u64,
}

pub(super) struct SubmittedStatement {
    pub(super) id: StatementId,
    pub(super) spec: StatementSpec,
    pub(super) work: Nanos,
    pub(super) first_arrival: Nanos,
    deadline: Nanos,
    /// How often engines have started it.
    pub(super) starts: u32,
    /// The same when its gateway was lost while it ran.
    pub(super) starts_at_loss: Option<u32>,
    pub(super) has_returned: bool,
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
            has_returned: false,
            answers: Vec::new(),
            session: None,
            is_over: false,
        }
    }
}

/// A client that waits at a gateway.
#[derive(Clone, Copy)]
pub(super) struct WaitingClient {
    pub(super) statement: usize,
    pub(super) token: u64,
}

impl Simulation<'_> {
    /// A client that got no answer will come back.
    pub(super) fn return_later(&mut self, statement: usize) {
        self.statements[statement].session = None;
        let delay = self.random_delay(20, 600);
        if !self.statements[statement].is_over {
            self.statements[statement].has_returned = true;
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
        // A gateway that is stopped takes nothing; the client has patience for a while.
        let patience = remaining.min(self.random_delay(5000, 7000));
        if self.gateways[gateway].is_stopped {
            let delay = self.random_delay(600, 1800);
            self.schedule_after(delay, Event::ClientGivesUp { statement, token });
            return;
        }
        self.schedule_after(patience, Event::ClientGivesUp { statement, token });
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
        self.trace(|| format!("client of {id:x} comes to {gateway}"));
        let Some(ownership) = self.gateways[gateway].ownership.as_mut() else {
            self.start_local(gateway, id, spec, Some(token));
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
            ArrivalDecision::Proceed => self.start_local(gateway, id, spec, Some(token)),
            ArrivalDecision::Answer(answer) => actions.0.push(Action::Answer {
                waiter: token,
                answer,
            }),
            // Held until the ownership says that it proceeds.
            ArrivalDecision::Wait => self.hold_local(gateway, id, spec, Some(token)),
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
        if gateway.incarnation == session.incarnation && !gateway.is_stopped {
            self.with_ownership(session.gateway, |ownership, _, _| {
                ownership.on_client_stopped_waiting(id, token);
            });
        }
        self.return_later(statement);
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
        let is_here = self.statements[statement].session == Some(session);
        if !is_here || self.statements[statement].is_over {
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
