//! Actions that a gateway's ownership requests, collected until its call has returned.

use ivypitch_ownership::{FinalAnswer, GrantDenial, Message, Output, StatementId, StatementSpec};
use ivypitch_types::{MemberId, Nanos};

/// An action that the ownership of a gateway requests.
pub(super) enum Action {
    Send(MemberId, Message),
    Dispatch {
        id: StatementId,
        attempt: u32,
    },
    Deny(StatementId, GrantDenial),
    Proceed(StatementId),
    TakeOver {
        id: StatementId,
        spec: StatementSpec,
        remaining: Nanos,
        engine: Option<u64>,
    },
    Answer {
        waiter: u64,
        answer: FinalAnswer,
    },
}

/// Collects the requested actions in order.
#[derive(Default)]
pub(super) struct Actions(pub(super) Vec<Action>);

impl Output for Actions {
    fn send(&mut self, to: MemberId, message: Message) {
        self.0.push(Action::Send(to, message));
    }

    fn on_attempt_granted(&mut self, id: StatementId, attempt: u32) {
        self.0.push(Action::Dispatch { id, attempt });
    }

    fn on_attempt_denied(&mut self, id: StatementId, _attempt: u32, denial: GrantDenial) {
        self.0.push(Action::Deny(id, denial));
    }

    fn proceed(&mut self, id: StatementId) {
        self.0.push(Action::Proceed(id));
    }

    fn take_over(
        &mut self,
        id: StatementId,
        spec: &StatementSpec,
        remaining: Nanos,
        engine: Option<u64>,
    ) {
        self.0.push(Action::TakeOver {
            id,
            spec: spec.clone(),
            remaining,
            engine,
        });
    }

    fn answer(&mut self, waiter: u64, answer: &FinalAnswer) {
        self.0.push(Action::Answer {
            waiter,
            answer: answer.clone(),
        });
    }

    fn log(&mut self, _line: &str) {}
}
