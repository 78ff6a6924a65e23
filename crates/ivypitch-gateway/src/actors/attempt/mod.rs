//! One attempt of a statement at its engine: started, polled until its end, or cancelled. It ends with one [`AttemptEnd`].
//!
//! Every wait also listens to the attempt's mailbox: a cancellation is acted on at once, whatever the engine does.

mod cancellation;
mod polling;
mod result;
mod start;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use ivypitch_scheduler::Scheduler;
use ivypitch_types::{Nanos, Outcome};

use super::engine_client::EngineClient;
use super::engine_connection::EngineConnection;
use super::messages::{AttemptEnd, AttemptKey, AttemptMessage, ClientPresence, SchedulerMessage};
use crate::lifecycle::clock::Clock;
use crate::wire::http::StartRequest;

const NANOS_PER_MS: Nanos = 1_000_000;
/// Before what brought no response twice is asked for again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What an attempt's task is made of.
pub struct Attempt {
    /// Names it in messages.
    pub key: AttemptKey,
    /// The request to the engine.
    pub start: StartRequest,
    /// Another gateway has started it: it is only polled for.
    pub is_already_started: bool,
    /// The fields of a load report, in the order of the settings.
    pub report_fields: Rc<Vec<String>>,
    /// Messages to this attempt; once closed, the attempt is cancelled.
    pub mailbox: Receiver<AttemptMessage>,
    /// A priority that has not been sent to the engine yet.
    pub unsent_priority: Cell<Option<u8>>,
    /// The scheduler's mailbox.
    pub scheduler: Sender<SchedulerMessage>,
    /// Asked as the start is about to leave.
    pub gate: SendGate,
    /// When its time is over.
    pub times_out_at: Nanos,
    /// Whose it is, where it is to be sent for that client alone.
    pub client: Option<Rc<ClientPresence>>,
}

/// Asks the scheduler once more as the first byte of a start is about to leave.
#[derive(Clone)]
pub struct SendGate {
    /// The same scheduler that chose the engine.
    pub scheduler: Rc<RefCell<Scheduler>>,
    /// The gateway's clock.
    pub clock: Clock,
}

impl SendGate {
    fn allows_send(&self, key: AttemptKey) -> bool {
        self.scheduler
            .borrow_mut()
            .confirm_send(self.clock.now(), key.statement, key.number)
    }

    fn remaining_ms(&self, times_out_at: Nanos) -> u64 {
        (times_out_at.saturating_sub(self.clock.now()) / NANOS_PER_MS).max(1)
    }
}

impl Attempt {
    /// Runs it to its end, of which the scheduler is notified.
    pub async fn run(self, engine: Rc<EngineClient>) {
        let mut run = AttemptRun {
            attempt: &self,
            engine: &engine,
            connection: None,
        };
        let end = run.run_to_end().await;
        run.release_connection(end.outcome);
        let _ = self
            .scheduler
            .try_send(SchedulerMessage::AttemptEnded { key: self.key, end });
    }

    async fn next_message(&self) -> AttemptMessage {
        self.mailbox.recv().await.unwrap_or(AttemptMessage::Cancel)
    }

    /// Returns once it is withdrawn; a priority that comes before that is kept for later.
    async fn withdrawn(&self) -> Withdrawal {
        loop {
            match self.next_message().await {
                AttemptMessage::Priority(priority) => self.unsent_priority.set(Some(priority)),
                AttemptMessage::Cancel => return Withdrawal::Cancelled,
                AttemptMessage::Detach => return Withdrawal::Detached,
            }
        }
    }
}

/// Why an attempt is not wanted here any more.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Withdrawal {
    /// It is to end at its engine too.
    Cancelled,
    /// Another gateway goes on with it.
    Detached,
}

/// An attempt that runs at its engine.
struct AttemptRun<'a> {
    attempt: &'a Attempt,
    engine: &'a EngineClient,
    /// The connection of the last call, if it can be used again.
    connection: Option<EngineConnection>,
}

impl AttemptRun<'_> {
    async fn run_to_end(&mut self) -> AttemptEnd {
        let started = if self.attempt.is_already_started {
            Ok(None)
        } else {
            self.start().await
        };
        let response = match started {
            Ok(response) => response,
            Err(end) => return end,
        };
        match self.confirm_end(response).await {
            Ok(response) => self.poll_until_end(response).await,
            Err(end) => end,
        }
    }

    /// Returns the connection for other attempts, or closes it where a response may be to come on it still.
    fn release_connection(self, outcome: Outcome) {
        if matches!(
            outcome,
            Outcome::Completed | Outcome::Overloaded | Outcome::NeverDispatched | Outcome::Error
        ) {
            self.engine.release(self.connection);
        }
    }
}
