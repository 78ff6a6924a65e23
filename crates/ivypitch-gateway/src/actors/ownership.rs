//! Between the module's actor and `ivypitch_ownership`: keeps what it asked for until the module's actor does it, the
//! executions that wait for leave, and the clients that wait for another gateway's word. Nothing is decided here.

use std::collections::{BTreeMap, VecDeque};

use async_channel::Sender;
use bytes::Bytes;
use ivypitch_ownership::{
    Arrival, ArrivalDecision, FinalAnswer, GrantDecision, GrantDenial, Message, Output, Ownership,
    StatementId, StatementSpec,
};
use ivypitch_types::{EngineIndex, Incarnation, MemberId, Nanos, ProcessId};
use serde_bytes::ByteBuf;

use super::attempt::Attempt;
use super::messages::{Answer, ClientHandle};
use super::peer_links::{Peer, PeersMessage};
use crate::state::rows::Rows;
use crate::wire::fields::Fields;

/// What custody asks the module's actor to do.
#[derive(Debug)]
pub enum Action {
    Go(StatementId, u32),
    Denied(StatementId, u32, GrantDenial),
    Proceed(StatementId),
    Adopt {
        id: StatementId,
        text: Vec<u8>,
        left: Nanos,
        engine: Option<u64>,
    },
    Answer(u64, FinalAnswer),
}

struct ActionQueue {
    pending: VecDeque<Action>,
    peers: Sender<PeersMessage>,
}

impl Output for ActionQueue {
    fn send(&mut self, to: MemberId, message: Message) {
        let _ = self
            .peers
            .try_send(PeersMessage::Tell { to: to.0, message });
    }
    fn on_attempt_granted(&mut self, id: StatementId, number: u32) {
        self.pending.push_back(Action::Go(id, number));
    }
    fn on_attempt_denied(&mut self, id: StatementId, number: u32, why: GrantDenial) {
        self.pending.push_back(Action::Denied(id, number, why));
    }
    fn proceed(&mut self, id: StatementId) {
        self.pending.push_back(Action::Proceed(id));
    }
    fn take_over(
        &mut self,
        id: StatementId,
        facts: &StatementSpec,
        left: Nanos,
        engine: Option<u64>,
    ) {
        self.pending.push_back(Action::Adopt {
            id,
            text: facts.request.clone(),
            left,
            engine,
        });
    }
    fn answer(&mut self, waiter: u64, word: &FinalAnswer) {
        self.pending.push_back(Action::Answer(waiter, word.clone()));
    }
    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}

/// A client whose statement is not with the module.
pub struct Waiting {
    pub id: StatementId,
    pub connection: u32,
    pub deadline: Nanos,
    pub client: ClientHandle,
    /// What it takes to go on, where it has not gone on yet.
    pub going: Option<(Fields, usize, usize)>,
}

/// An execution that is ready and has no leave yet.
pub struct Ready {
    pub number: u32,
    pub engine: EngineIndex,
    pub attempt: Attempt,
}

pub struct OwnershipDriver {
    ownership: Ownership,
    actions: ActionQueue,
    /// Emptied by the answer, the client's going or the deadline.
    pub waiting: BTreeMap<u64, Waiting>,
    /// Emptied by leave or its denial, within the grant's wait.
    pub ready: BTreeMap<StatementId, Ready>,
    last_token: u64,
    asks_from: Nanos,
}

impl OwnershipDriver {
    pub fn new(
        ownership: Ownership,
        peers: Sender<PeersMessage>,
        asks_from: Nanos,
    ) -> OwnershipDriver {
        OwnershipDriver {
            ownership,
            actions: ActionQueue {
                pending: VecDeque::new(),
                peers,
            },
            waiting: BTreeMap::new(),
            ready: BTreeMap::new(),
            last_token: 0,
            asks_from,
        }
    }

    pub fn next_waiter_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pending.pop_front()
    }

    pub fn has_actions(&self) -> bool {
        !self.actions.pending.is_empty()
    }

    pub fn defer_denial(&mut self, id: StatementId, number: u32, why: GrantDenial) {
        self.actions
            .pending
            .push_back(Action::Denied(id, number, why));
    }

    pub fn on_statement_arrived(
        &mut self,
        now: Nanos,
        id: StatementId,
        facts: StatementSpec,
        work: Nanos,
        token: u64,
    ) -> ArrivalDecision {
        let arrival = Arrival {
            id,
            spec: facts,
            worth_lookup: work >= self.asks_from,
            waiter: token,
        };
        self.ownership.on_arrival(now, arrival, &mut self.actions)
    }

    pub fn request_attempt_grant(
        &mut self,
        now: Nanos,
        id: StatementId,
        number: u32,
        engine: u64,
    ) -> GrantDecision {
        self.ownership
            .request_attempt(now, id, number, engine, &mut self.actions)
    }

    pub fn on_attempt_ended(&mut self, now: Nanos, id: StatementId, number: u32, never_ran: bool) {
        self.ownership.on_attempt_ended(now, id, number, never_ran);
    }

    /// `Some`: the client of this token hears later.
    pub fn on_answered(&mut self, now: Nanos, id: StatementId, answer: &Answer) -> Option<u64> {
        let word = match answer {
            Answer::Completed(rows) => FinalAnswer::Rows(
                rows.clone()
                    .into_pages()
                    .map(|page| ByteBuf::from(page.to_vec()))
                    .collect(),
            ),
            Answer::Rejected { retry_after } => FinalAnswer::Rejected {
                retry_after_ms: (retry_after / 1_000_000) as u32,
            },
            _ => FinalAnswer::Aborted,
        };
        self.ownership.on_answered(now, id, word, &mut self.actions)
    }

    pub fn on_engine_unknown(&mut self, now: Nanos, id: StatementId) {
        self.ownership.on_engine_unknown(now, id, &mut self.actions);
    }

    pub fn outlives_client(&self, id: StatementId) -> bool {
        self.ownership.outlives_client(id)
    }

    /// The client of this connection has gone, if it waits here; its statement, if it was to go on.
    pub fn on_client_disconnected(&mut self, connection: u32) -> Option<Waiting> {
        let token = self
            .waiting
            .iter()
            .find(|(_, w)| w.connection == connection)
            .map(|(&token, _)| token)?;
        let waiting = self.waiting.remove(&token)?;
        self.ownership.on_client_gone(waiting.id, token);
        Some(waiting)
    }

    pub fn remove_expired_waiters(&mut self, now: Nanos) -> Vec<Waiting> {
        let late: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.deadline <= now)
            .map(|(&token, _)| token)
            .collect();
        let mut over = Vec::new();
        for token in late {
            if let Some(waiting) = self.waiting.remove(&token) {
                self.ownership.on_client_gone(waiting.id, token);
                over.push(waiting);
            }
        }
        over
    }

    pub fn on_peer_event(&mut self, now: Nanos, peer: &Peer) {
        match peer {
            Peer::Heard { from, message, .. } => self.on_message(now, *from, (**message).clone()),
            Peer::Up { place, birth } => self.ownership.on_member_up(now, process(*place, *birth)),
            Peer::Down { place, birth } => {
                self.ownership
                    .on_member_down(now, process(*place, *birth), &mut self.actions)
            }
            Peer::Suspected { place, is: true } => {
                self.ownership.on_member_suspected(MemberId(*place));
            }
            Peer::Suspected { place, is: false } => {
                self.ownership.on_suspicion_cleared(MemberId(*place));
            }
            Peer::Shared { .. } | Peer::Gossip(..) => {}
        }
    }

    pub fn on_message(&mut self, now: Nanos, from: u16, message: Message) {
        self.ownership
            .on_message(now, MemberId(from), message, &mut self.actions);
    }

    pub fn next_timer(&self) -> Nanos {
        let late = self
            .waiting
            .values()
            .map(|w| w.deadline)
            .min()
            .unwrap_or(Nanos::MAX);
        self.ownership.next_timer().min(late)
    }

    pub fn on_timer(&mut self, now: Nanos) {
        if self.ownership.next_timer() <= now {
            self.ownership.on_timer(now, &mut self.actions);
        }
    }

    pub fn hand_off(&mut self, now: Nanos) -> Vec<StatementId> {
        self.ownership.hand_off(now, &mut self.actions)
    }

    pub fn leave_fleet(&self) {
        let _ = self.actions.peers.try_send(PeersMessage::GrantDecision);
    }

    /// One line as the program ends.
    pub fn log_totals(&self) {
        let t = self.ownership.counters();
        log::info!(
            "custody: {} orphaned, {} claimed, {} watched, {} kept, {} given to clients that came back, {} in doubt, \
             {} without a majority, {} elsewhere",
            t.orphaned,
            t.taken_over,
            t.polled,
            t.cached,
            t.delivered,
            t.unknown,
            t.no_quorum,
            t.owned_elsewhere
        );
    }
}

fn process(place: u16, birth: u64) -> ProcessId {
    ProcessId {
        member: MemberId(place),
        incarnation: Incarnation(birth),
    }
}

/// A word of custody as a client's answer.
pub fn answer_of(word: FinalAnswer) -> Answer {
    match word {
        FinalAnswer::Rows(pages) => {
            let mut rows = Rows::default();
            for page in pages {
                if rows.push_page(Bytes::from(page.into_vec())).is_err() {
                    return Answer::EndedBefore;
                }
            }
            Answer::Completed(rows)
        }
        FinalAnswer::CompletedWithoutRows => Answer::EndedBefore,
        FinalAnswer::Rejected { retry_after_ms } => Answer::Rejected {
            retry_after: u64::from(retry_after_ms) * 1_000_000,
        },
        FinalAnswer::Aborted => Answer::Aborted,
        FinalAnswer::IdReused => Answer::IdTaken,
    }
}
