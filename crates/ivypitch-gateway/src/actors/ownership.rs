//! Driver of `ivypitch_ownership`. It passes events to it, sends its messages, and queues the
//! actions that it requests from the scheduler's actor. It also stores the attempts that wait for a
//! grant and the clients that wait for another gateway's answer. The driver makes no decisions.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use async_channel::Sender;
use bytes::Bytes;
use ivypitch_ownership::{
    Arrival, ArrivalDecision, DisconnectDecision, FinalAnswer, GrantDecision, GrantDenial, Message,
    Output, Ownership, StatementId, StatementSpec,
};
use ivypitch_types::{MILLISECOND, MemberId, Nanos};
use serde_bytes::ByteBuf;

use super::attempt::Attempt;
use super::messages::{Answer, ClientHandle, ClientPresence, ClientStatement, StartPermission};
use super::peer_links::{PeerEvent, PeerLinksMessage};
use crate::state::rows::Rows;

/// An action that ownership requests from the scheduler's actor.
#[derive(Debug)]
pub enum Action {
    /// Starts an attempt that a quorum granted.
    StartAttempt {
        /// The statement.
        id: StatementId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Ends an attempt that must not start.
    DenyAttempt {
        /// The statement.
        id: StatementId,
        /// Number of the attempt.
        attempt: u32,
        /// Why the grant was denied.
        denial: GrantDenial,
    },
    /// Processes the statement as a new one, since no other gateway knows it.
    Proceed {
        /// The statement.
        id: StatementId,
    },
    /// Takes over a statement from another gateway.
    TakeOver(Takeover),
    /// Answers a client that waits here.
    Answer {
        /// Token of the waiting client.
        waiter_token: u64,
        /// The answer.
        answer: FinalAnswer,
    },
}

/// A statement that another gateway owned until now.
#[derive(Debug)]
pub struct Takeover {
    /// The statement.
    pub id: StatementId,
    /// Text of the statement with its fields, as its client sent them.
    pub text: Vec<u8>,
    /// Remaining time until the statement's deadline.
    pub remaining: Nanos,
    /// Hash of the id of the engine where an attempt may be running. That engine is polled and no
    /// attempt is started. With `None` the statement is started.
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

/// A client that waits for an answer without a statement in the scheduler.
pub struct WaitingClient {
    /// The client's statement.
    pub id: StatementId,
    /// The client's connection.
    pub connection: u32,
    /// The statement's deadline.
    pub deadline: Nanos,
    /// Receives the answer.
    pub client: ClientHandle,
    /// The statement, while it may still be processed here.
    pub pending_statement: Option<PendingStatement>,
}

/// A statement that is being looked up at other gateways.
pub struct PendingStatement {
    /// The statement as the client sent it.
    pub statement: ClientStatement,
    /// Whether the statement may start here if no gateway knows it.
    pub start: StartPermission,
}

/// An answer that arrived for a client while its statement was still in the scheduler.
struct UnclaimedAnswer {
    token: u64,
    answer: FinalAnswer,
}

/// Connects ownership of statements to this gateway's actors.
pub struct OwnershipDriver {
    ownership: Ownership,
    output: OwnershipOutput,
    /// Waiting clients by token. A client is removed when it is answered, when it disconnects, at
    /// its deadline, or at the end of a shutdown.
    waiting_clients: BTreeMap<u64, WaitingClient>,
    /// Deadline for all answers during a shutdown; [`Nanos::MAX`] before.
    answer_by: Nanos,
    /// Attempts that wait for a grant. An attempt is removed when it is granted or denied or has
    /// ended.
    pending_attempts: BTreeMap<StatementId, Attempt>,
    /// Answers whose client has not been moved here yet. Cleared when no action is left.
    unclaimed_answers: Vec<UnclaimedAnswer>,
    last_token: u64,
    min_lookup_work: Nanos,
}

impl OwnershipDriver {
    /// Creates a driver. Messages to other gateways go to `peers`. A statement with at least
    /// `min_lookup_work` estimated work is looked up at the other gateways before it starts.
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
            answer_by: Nanos::MAX,
            pending_attempts: BTreeMap::new(),
            unclaimed_answers: Vec::new(),
            last_token: 0,
            min_lookup_work,
        }
    }

    /// Takes the next action, in the order of the requests.
    pub fn next_action(&mut self) -> Option<Action> {
        self.output.actions.pop_front()
    }

    /// Whether an action is queued.
    pub fn has_actions(&self) -> bool {
        !self.output.actions.is_empty()
    }

    /// Queues a denial after the actions that are already queued.
    pub fn defer_denial(&mut self, id: StatementId, attempt: u32, denial: GrantDenial) {
        self.output.actions.push_back(Action::DenyAttempt {
            id,
            attempt,
            denial,
        });
    }

    /// Returns a new token for a waiting client.
    pub fn new_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// Whether a statement of this estimated work is looked up at the other gateways first. A
    /// statement that will be rejected always is, since a rejection tells the client that it did
    /// not run.
    pub fn is_worth_lookup(&self, estimated_work: Nanos, start: StartPermission) -> bool {
        start == StartPermission::ShuttingDown || estimated_work >= self.min_lookup_work
    }

    /// A client sent a statement.
    pub fn on_statement_arrived(&mut self, now: Nanos, arrival: Arrival) -> ArrivalDecision {
        self.ownership.on_arrival(now, arrival, &mut self.output)
    }

    /// Requests a grant for an attempt at the engine with this hash of its id.
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

    /// Stores an attempt until it is granted or denied.
    pub fn add_pending_attempt(&mut self, id: StatementId, attempt: Attempt) {
        self.pending_attempts.insert(id, attempt);
    }

    /// Removes the statement's attempt, which no longer waits for a grant. Returns `None` if its
    /// number is another.
    pub fn take_pending_attempt(&mut self, id: StatementId, attempt: u32) -> Option<Attempt> {
        self.pending_attempts
            .remove(&id)
            .filter(|pending| pending.key.number == attempt)
    }

    /// Drops the statement's attempt that waits for a grant, if there is one.
    pub fn drop_pending_attempt(&mut self, id: StatementId) {
        self.pending_attempts.remove(&id);
    }

    /// An attempt has ended. `never_ran` is true if this is proven.
    pub fn on_attempt_ended(&mut self, now: Nanos, id: StatementId, attempt: u32, never_ran: bool) {
        self.pending_attempts.remove(&id);
        self.ownership.on_attempt_ended(now, id, attempt, never_ran);
    }

    /// The statement has its answer. Returns the token for the client if it is to be answered
    /// later.
    pub fn on_answered(&mut self, now: Nanos, id: StatementId, answer: &Answer) -> Option<u64> {
        self.ownership
            .on_answered(now, id, to_final_answer(answer), &mut self.output)
    }

    /// This gateway does not know the engine of a statement that it was asked to take over.
    pub fn on_engine_unknown(&mut self, now: Nanos, id: StatementId) {
        self.ownership.on_engine_unknown(now, id, &mut self.output);
    }

    /// A client of a statement that is open in the scheduler has disconnected.
    pub fn on_client_disconnected(
        &mut self,
        now: Nanos,
        id: StatementId,
        token: u64,
    ) -> DisconnectDecision {
        self.ownership
            .on_client_disconnected(now, id, token, &mut self.output)
    }

    /// The connection of the first client that waits here for the statement.
    pub fn waiting_client_presence(&self, id: StatementId) -> Option<Rc<ClientPresence>> {
        let waiting = self
            .waiting_clients
            .values()
            .find(|waiting| waiting.id == id)?;
        waiting.client.presence.clone()
    }

    /// Stores a client until its answer arrives.
    pub fn add_waiting_client(&mut self, token: u64, waiting: WaitingClient) {
        self.waiting_clients.insert(token, waiting);
    }

    /// Removes a client so that it can be answered.
    pub fn take_waiting_client(&mut self, token: u64) -> Option<WaitingClient> {
        self.waiting_clients.remove(&token)
    }

    /// Stores the answer to a client whose statement is still in the scheduler. An action that is
    /// still queued moves the client out of the scheduler.
    pub fn add_unclaimed_answer(&mut self, token: u64, answer: FinalAnswer) {
        self.unclaimed_answers
            .push(UnclaimedAnswer { token, answer });
    }

    /// Removes the answer that was stored for a client.
    pub fn take_unclaimed_answer(&mut self, token: u64) -> Option<FinalAnswer> {
        let index = self
            .unclaimed_answers
            .iter()
            .position(|unclaimed| unclaimed.token == token)?;
        Some(self.unclaimed_answers.swap_remove(index).answer)
    }

    /// Drops the stored answers when no action is left: their clients have disconnected.
    pub fn drop_unclaimed_answers(&mut self) {
        self.unclaimed_answers.clear();
    }

    /// Removes the first client whose statement may still be processed here, with its token.
    pub fn take_client_to_proceed(&mut self, id: StatementId) -> Option<(u64, WaitingClient)> {
        let (&token, _) = self
            .waiting_clients
            .iter()
            .find(|(_, waiting)| waiting.id == id && waiting.pending_statement.is_some())?;
        let waiting = self.waiting_clients.remove(&token)?;
        Some((token, waiting))
    }

    /// The client of this connection no longer waits. Removes and returns it with its token if it
    /// waited here.
    pub fn remove_disconnected_client(&mut self, connection: u32) -> Option<(u64, WaitingClient)> {
        let (&token, _) = self
            .waiting_clients
            .iter()
            .find(|(_, waiting)| waiting.connection == connection)?;
        let waiting = self.remove_waiting_client(token)?;
        Some((token, waiting))
    }

    /// Begins the shutdown: every waiting client must be answered by `answer_by`, whenever its own
    /// deadline is, because no other gateway can answer on its connection.
    pub fn on_shutdown(&mut self, answer_by: Nanos) {
        self.answer_by = answer_by;
    }

    fn deadline_of(&self, waiting: &WaitingClient) -> Nanos {
        waiting.deadline.min(self.answer_by)
    }

    /// Removes the clients whose deadline has passed.
    pub fn remove_expired_clients(&mut self, now: Nanos) -> Vec<WaitingClient> {
        let expired: Vec<u64> = self
            .waiting_clients
            .iter()
            .filter(|(_, waiting)| self.deadline_of(waiting) <= now)
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

    /// A message from another gateway arrived, or the membership changed.
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

    /// A message from another gateway arrived.
    pub fn on_message(&mut self, now: Nanos, from: MemberId, message: Message) {
        self.ownership
            .on_message(now, from, message, &mut self.output);
    }

    /// When [`Self::on_timer`] must be called next; `Nanos::MAX` for never.
    pub fn next_timer(&self) -> Nanos {
        let next_deadline = self
            .waiting_clients
            .values()
            .map(|waiting| self.deadline_of(waiting))
            .min()
            .unwrap_or(Nanos::MAX);
        self.ownership.next_timer().min(next_deadline)
    }

    /// Handles the timer at [`Self::next_timer`]. Does nothing if it is called earlier.
    pub fn on_timer(&mut self, now: Nanos) {
        if self.ownership.next_timer() <= now {
            self.ownership.on_timer(now, &mut self.output);
        }
    }

    /// Begins the handoff before the shutdown. Returns the statements that other gateways take
    /// over.
    pub fn hand_off(&mut self, now: Nanos) -> Vec<StatementId> {
        self.ownership.hand_off(now, &mut self.output)
    }

    /// Notifies the other gateways that this process shuts down, after all earlier messages.
    pub fn leave(&self) {
        let _ = self.output.peers.try_send(PeerLinksMessage::Leave);
    }

    /// Logs the counters of ownership since the process started.
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

/// Converts an answer to the form that is sent to other gateways.
fn to_final_answer(answer: &Answer) -> FinalAnswer {
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
        Answer::Aborted | Answer::ResultNotCached | Answer::DuplicateId | Answer::Killed => {
            FinalAnswer::Aborted
        }
    }
}

/// Converts another gateway's answer to the answer for a client.
pub fn to_client_answer(answer: FinalAnswer) -> Answer {
    match answer {
        FinalAnswer::Rows(pages) => {
            let mut rows = Rows::default();
            for page in pages {
                if rows.push_page(Bytes::from(page.into_vec())).is_err() {
                    return Answer::ResultNotCached;
                }
            }
            Answer::Completed(rows)
        }
        FinalAnswer::CompletedWithoutRows => Answer::ResultNotCached,
        FinalAnswer::Rejected { retry_after_ms } => Answer::Rejected {
            retry_after: u64::from(retry_after_ms) * MILLISECOND,
        },
        FinalAnswer::Aborted => Answer::Aborted,
        FinalAnswer::IdReused => Answer::DuplicateId,
    }
}
