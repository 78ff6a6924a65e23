//! Driver of `ivypitch_ownership`: passes events to it, sends its messages, and queues what it asks the scheduler's
//! actor to do. It holds the attempts that wait for a grant and the clients that wait for another gateway's answer, and
//! decides nothing.

use std::collections::{BTreeMap, VecDeque};

use async_channel::Sender;
use bytes::Bytes;
use ivypitch_ownership::{
    Arrival, ArrivalDecision, FinalAnswer, GrantDecision, GrantDenial, Message, Output, Ownership,
    StatementId, StatementSpec,
};
use ivypitch_types::{MILLISECOND, MemberId, Nanos};
use serde_bytes::ByteBuf;

use super::attempt::Attempt;
use super::messages::{Answer, ClientHandle, ClientStatement, StartPermission};
use super::peer_links::{PeerEvent, PeerLinksMessage};
use crate::state::rows::Rows;

/// What the scheduler's actor is asked to do.
#[derive(Debug)]
pub enum Action {
    /// A quorum granted the attempt: it may start.
    StartAttempt {
        /// The statement.
        id: StatementId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The attempt must not start.
    DenyAttempt {
        /// The statement.
        id: StatementId,
        /// Number of the attempt.
        attempt: u32,
        /// Why.
        denial: GrantDenial,
    },
    /// No other gateway knows the statement: it goes on as a new one.
    Proceed {
        /// The statement.
        id: StatementId,
    },
    /// This gateway acts for another's statement from now on.
    TakeOver(Takeover),
    /// A client that waits here gets its answer.
    Answer {
        /// The client, by the token that it waits under.
        waiter_token: u64,
        /// Its answer.
        answer: FinalAnswer,
    },
}

/// A statement that another gateway has acted for until now.
#[derive(Debug)]
pub struct Takeover {
    /// The statement.
    pub id: StatementId,
    /// The statement and its fields, as its client sent them.
    pub text: Vec<u8>,
    /// What is left of its timeout.
    pub remaining: Nanos,
    /// Hash of the id of the engine where an attempt may be running: that one is polled and nothing is started.
    /// `None` starts the statement.
    pub engine_hash: Option<u64>,
}

struct OwnershipOutput {
    actions: VecDeque<Action>,
    peers: Sender<PeerLinksMessage>,
}

impl Output for OwnershipOutput {
    fn send(&mut self, to: MemberId, message: Message) {
        let _ = self
            .peers
            .try_send(PeerLinksMessage::SendOwnership { to, message });
    }

    fn on_attempt_granted(&mut self, id: StatementId, attempt: u32) {
        self.actions.push_back(Action::StartAttempt { id, attempt });
    }

    fn on_attempt_denied(&mut self, id: StatementId, attempt: u32, denial: GrantDenial) {
        self.actions.push_back(Action::DenyAttempt {
            id,
            attempt,
            denial,
        });
    }

    fn proceed(&mut self, id: StatementId) {
        self.actions.push_back(Action::Proceed { id });
    }

    fn take_over(
        &mut self,
        id: StatementId,
        spec: &StatementSpec,
        remaining: Nanos,
        engine: Option<u64>,
    ) {
        self.actions.push_back(Action::TakeOver(Takeover {
            id,
            text: spec.request.clone(),
            remaining,
            engine_hash: engine,
        }));
    }

    fn answer(&mut self, waiter_token: u64, answer: &FinalAnswer) {
        self.actions.push_back(Action::Answer {
            waiter_token,
            answer: answer.clone(),
        });
    }

    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}

/// A client whose statement the scheduler does not have.
pub struct WaitingClient {
    /// Its statement.
    pub id: StatementId,
    /// Its connection.
    pub connection: u32,
    /// When its statement's timeout ends.
    pub deadline: Nanos,
    /// Where its answer goes.
    pub client: ClientHandle,
    /// The statement, while it may still proceed here.
    pub pending_statement: Option<PendingStatement>,
}

/// A statement that other gateways are asked about.
pub struct PendingStatement {
    /// What the client sent.
    pub statement: ClientStatement,
    /// Whether it may start here if no gateway knows it.
    pub start: StartPermission,
}

/// A client to be answered whose statement the scheduler still had.
struct UnclaimedAnswer {
    token: u64,
    answer: FinalAnswer,
}

/// Connects ownership of statements to this gateway's actors.
pub struct OwnershipDriver {
    ownership: Ownership,
    output: OwnershipOutput,
    /// By token. A client leaves with its answer, as it disconnects, or at its deadline.
    waiting_clients: BTreeMap<u64, WaitingClient>,
    /// An attempt leaves as it is granted, denied or over.
    pending_attempts: BTreeMap<StatementId, Attempt>,
    /// Emptied once no action is left.
    unclaimed_answers: Vec<UnclaimedAnswer>,
    last_token: u64,
    min_lookup_work: Nanos,
}

impl OwnershipDriver {
    /// Creates a driver. `peers` sends messages to other gateways. A statement with at least `min_lookup_work` is looked up at the other
    /// gateways before it starts.
    pub fn new(
        ownership: Ownership,
        peers: Sender<PeerLinksMessage>,
        min_lookup_work: Nanos,
    ) -> OwnershipDriver {
        OwnershipDriver {
            ownership,
            output: OwnershipOutput {
                actions: VecDeque::new(),
                peers,
            },
            waiting_clients: BTreeMap::new(),
            pending_attempts: BTreeMap::new(),
            unclaimed_answers: Vec::new(),
            last_token: 0,
            min_lookup_work,
        }
    }

    /// Takes the next action, in the order in which they were asked for.
    pub fn next_action(&mut self) -> Option<Action> {
        self.output.actions.pop_front()
    }

    /// Whether an action waits to be taken.
    pub fn has_actions(&self) -> bool {
        !self.output.actions.is_empty()
    }

    /// Queues a denial behind the actions that wait already.
    pub fn defer_denial(&mut self, id: StatementId, attempt: u32, denial: GrantDenial) {
        self.output.actions.push_back(Action::DenyAttempt {
            id,
            attempt,
            denial,
        });
    }

    /// A token under which a client may wait.
    pub fn new_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// Whether a statement of this much estimated work is worth asking the others first. One that is to be rejected is:
    /// its client is told that it did not run.
    pub fn is_worth_lookup(&self, estimated_work: Nanos, start: StartPermission) -> bool {
        start == StartPermission::ShuttingDown || estimated_work >= self.min_lookup_work
    }

    /// A client sent a statement.
    pub fn on_statement_arrived(&mut self, now: Nanos, arrival: Arrival) -> ArrivalDecision {
        self.ownership.on_arrival(now, arrival, &mut self.output)
    }

    /// Asks whether an attempt may start at the engine with this hash.
    pub fn request_attempt_grant(
        &mut self,
        now: Nanos,
        id: StatementId,
        attempt: u32,
        engine_hash: u64,
    ) -> GrantDecision {
        self.ownership
            .request_attempt(now, id, attempt, engine_hash, &mut self.output)
    }

    /// Keeps an attempt until it is granted or denied.
    pub fn await_grant(&mut self, id: StatementId, attempt: Attempt) {
        self.pending_attempts.insert(id, attempt);
    }

    /// Takes the statement's attempt, which does not wait for a grant any more; `None` if it is not this one.
    pub fn take_pending_attempt(&mut self, id: StatementId, attempt: u32) -> Option<Attempt> {
        self.pending_attempts
            .remove(&id)
            .filter(|pending| pending.key.number == attempt)
    }

    /// Drops the statement's attempt if one waits for a grant.
    pub fn drop_pending_attempt(&mut self, id: StatementId) {
        self.pending_attempts.remove(&id);
    }

    /// An attempt is over; `never_ran` if that is proven.
    pub fn on_attempt_ended(&mut self, now: Nanos, id: StatementId, attempt: u32, never_ran: bool) {
        self.pending_attempts.remove(&id);
        self.ownership.on_attempt_ended(now, id, attempt, never_ran);
    }

    /// The statement has its answer. `Some`: its client is answered later, under this token.
    pub fn on_answered(&mut self, now: Nanos, id: StatementId, answer: &Answer) -> Option<u64> {
        self.ownership
            .on_answered(now, id, final_answer(answer), &mut self.output)
    }

    /// This gateway does not know the engine of a statement that it was to take over.
    pub fn on_engine_unknown(&mut self, now: Nanos, id: StatementId) {
        self.ownership.on_engine_unknown(now, id, &mut self.output);
    }

    /// Whether the statement goes on though its client has disconnected.
    pub fn continues_without_client(&self, id: StatementId) -> bool {
        self.ownership.continues_without_client(id)
    }

    /// Keeps a client until its answer comes.
    pub fn add_waiting_client(&mut self, token: u64, waiting: WaitingClient) {
        self.waiting_clients.insert(token, waiting);
    }

    /// Takes a client to answer it.
    pub fn take_waiting_client(&mut self, token: u64) -> Option<WaitingClient> {
        self.waiting_clients.remove(&token)
    }

    /// Keeps the answer to a client whose statement the scheduler has until an action that is still to come takes it off
    /// there.
    pub fn keep_unclaimed_answer(&mut self, token: u64, answer: FinalAnswer) {
        self.unclaimed_answers
            .push(UnclaimedAnswer { token, answer });
    }

    /// Takes the answer that was kept for a client.
    pub fn take_unclaimed_answer(&mut self, token: u64) -> Option<FinalAnswer> {
        let index = self
            .unclaimed_answers
            .iter()
            .position(|unclaimed| unclaimed.token == token)?;
        Some(self.unclaimed_answers.swap_remove(index).answer)
    }

    /// No action is left: answers that were kept are for clients that have gone.
    pub fn drop_unclaimed_answers(&mut self) {
        self.unclaimed_answers.clear();
    }

    /// Takes the first client whose statement may still proceed here, with its token.
    pub fn take_client_to_proceed(&mut self, id: StatementId) -> Option<(u64, WaitingClient)> {
        let (&token, _) = self
            .waiting_clients
            .iter()
            .find(|(_, waiting)| waiting.id == id && waiting.pending_statement.is_some())?;
        let waiting = self.waiting_clients.remove(&token)?;
        Some((token, waiting))
    }

    /// The client of this connection waits no longer. Returns it if it waited here.
    pub fn on_client_disconnected(&mut self, connection: u32) -> Option<WaitingClient> {
        let (&token, _) = self
            .waiting_clients
            .iter()
            .find(|(_, waiting)| waiting.connection == connection)?;
        self.remove_waiting_client(token)
    }

    /// Removes the clients whose deadline has passed.
    pub fn remove_expired_clients(&mut self, now: Nanos) -> Vec<WaitingClient> {
        let expired: Vec<u64> = self
            .waiting_clients
            .iter()
            .filter(|(_, waiting)| waiting.deadline <= now)
            .map(|(&token, _)| token)
            .collect();
        let mut removed = Vec::new();
        for token in expired {
            removed.extend(self.remove_waiting_client(token));
        }
        removed
    }

    fn remove_waiting_client(&mut self, token: u64) -> Option<WaitingClient> {
        let waiting = self.waiting_clients.remove(&token)?;
        self.ownership.on_client_stopped_waiting(waiting.id, token);
        Some(waiting)
    }

    /// Another gateway sent a message, or its membership has changed.
    pub fn on_peer_event(&mut self, now: Nanos, event: &PeerEvent) {
        match event {
            PeerEvent::Ownership { from, message, .. } => {
                self.on_message(now, *from, (**message).clone());
            }
            PeerEvent::MemberUp(process) => {
                self.ownership.on_member_up(now, *process);
            }
            PeerEvent::MemberDown(process) => {
                self.ownership
                    .on_member_down(now, *process, &mut self.output);
            }
            PeerEvent::MemberSuspected(member) => self.ownership.on_member_suspected(*member),
            PeerEvent::SuspicionCleared(member) => self.ownership.on_suspicion_cleared(*member),
            PeerEvent::Coordination { .. } | PeerEvent::Gossip { .. } => {}
        }
    }

    /// Another gateway sent a message.
    pub fn on_message(&mut self, now: Nanos, from: MemberId, message: Message) {
        self.ownership
            .on_message(now, from, message, &mut self.output);
    }

    /// When [`Self::on_timer`] is to be called next; `Nanos::MAX` for never.
    pub fn next_timer(&self) -> Nanos {
        let next_deadline = self
            .waiting_clients
            .values()
            .map(|waiting| waiting.deadline)
            .min()
            .unwrap_or(Nanos::MAX);
        self.ownership.next_timer().min(next_deadline)
    }

    /// To be called at [`Self::next_timer`]; does nothing before.
    pub fn on_timer(&mut self, now: Nanos) {
        if self.ownership.next_timer() <= now {
            self.ownership.on_timer(now, &mut self.output);
        }
    }

    /// The gateway shuts down soon. Returns the statements that other gateways are to go on with.
    pub fn hand_off(&mut self, now: Nanos) -> Vec<StatementId> {
        self.ownership.hand_off(now, &mut self.output)
    }

    /// This process ends: the other gateways are notified, behind all that was sent before.
    pub fn leave(&self) {
        let _ = self.output.peers.try_send(PeerLinksMessage::Leave);
    }

    /// Logs what ownership has done since the process started.
    pub fn log_totals(&self) {
        let counters = self.ownership.counters();
        log::info!(
            orphaned = counters.orphaned, taken_over = counters.taken_over, polled = counters.polled,
            cached = counters.cached, delivered = counters.delivered, unknown = counters.unknown,
            no_quorum = counters.no_quorum, owned_elsewhere = counters.owned_elsewhere;
            "ownership totals"
        );
    }
}

/// An answer as other gateways are told it.
fn final_answer(answer: &Answer) -> FinalAnswer {
    match answer {
        Answer::Completed(rows) => FinalAnswer::Rows(
            rows.clone()
                .into_pages()
                .map(|page| ByteBuf::from(page.to_vec()))
                .collect(),
        ),
        Answer::Rejected { retry_after } => FinalAnswer::Rejected {
            retry_after_ms: (retry_after / MILLISECOND) as u32,
        },
        Answer::Aborted | Answer::EndedBefore | Answer::IdTaken | Answer::Killed => {
            FinalAnswer::Aborted
        }
    }
}

/// Another gateway's answer as a client gets it.
pub fn client_answer(answer: FinalAnswer) -> Answer {
    match answer {
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
            retry_after: u64::from(retry_after_ms) * MILLISECOND,
        },
        FinalAnswer::Aborted => Answer::Aborted,
        FinalAnswer::IdReused => Answer::IdTaken,
    }
}
