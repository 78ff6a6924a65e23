//! One attempt of a statement at its engine: started, polled until its end, or cancelled. It ends
//! with one [`AttemptEnd`].
//!
//! Every wait also watches the attempt's mailbox: a cancellation takes effect at once, whether or
//! not the engine responds.

mod cancellation;
mod polling;
mod result;
mod start;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use ivypitch_scheduler::Scheduler;
use ivypitch_types::{Nanos, Outcome};

use super::engine_client::EngineClient;
use super::engine_connection::EngineConnection;
use super::messages::{AttemptEnd, AttemptKey, AttemptMessage, ClientPresence, SchedulerMessage};
use crate::lifecycle::clock::Clock;
use crate::wire::http::StartRequest;

const NANOS_PER_MS: Nanos = 1_000_000;
/// Backoff before a request is retried; polls and pages use it from the second failure in a row on.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// The state of an attempt's task.
pub struct Attempt {
    /// Identifies the attempt in messages to the scheduler.
    pub key: AttemptKey,
    /// The start request to the engine.
    pub start: StartRequest,
    /// Whether another gateway started the attempt, which is then only polled.
    pub is_already_started: bool,
    /// Names of the fields in a load report, in the order of the settings.
    pub report_fields: Rc<Vec<String>>,
    /// Messages to this attempt. The attempt is cancelled when the channel closes.
    pub mailbox: Receiver<AttemptMessage>,
    /// A priority that is still to be sent to the engine.
    pub unsent_priority: Cell<Option<u8>>,
    /// The scheduler's mailbox.
    pub scheduler: Sender<SchedulerMessage>,
    /// Confirms that the start request may be sent.
    pub gate: SendGate,
    /// When the attempt times out.
    pub times_out_at: Nanos,
    /// The client whose disconnection stops the start; `None` if the statement may outlive it.
    pub client: Option<Rc<ClientPresence>>,
}

/// Asks the scheduler for confirmation just before the first byte of a start request is sent.
#[derive(Clone)]
pub struct SendGate {
    /// The scheduler that chose the engine.
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
    /// Runs the attempt to its end and notifies the scheduler.
    pub async fn run(self, engine: Rc<EngineClient>) {
        let mut run = AttemptRun {
            attempt: &self,
            engine: &engine,
            connection: None,
            lost_first_page: None,
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

    /// Waits until the attempt is cancelled or detached. A priority that arrives first is stored.
    async fn wait_for_withdrawal(&self) -> Withdrawal {
        loop {
            match self.next_message().await {
                AttemptMessage::Priority(priority) => self.unsent_priority.set(Some(priority)),
                AttemptMessage::Cancel => return Withdrawal::Cancelled,
                AttemptMessage::Detach => return Withdrawal::Detached,
            }
        }
    }
}

/// Why this gateway no longer runs an attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Withdrawal {
    /// The attempt is cancelled, at its engine too.
    Cancelled,
    /// Another gateway takes the attempt over.
    Detached,
}

/// An attempt while it runs, with its engine.
struct AttemptRun<'a> {
    attempt: &'a Attempt,
    engine: &'a EngineClient,
    /// The connection of the last call, if nothing but a complete response arrived on it.
    connection: Option<EngineConnection>,
    /// The first page of the result as it was received on a connection that broke then.
    lost_first_page: Option<Bytes>,
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
        match self.confirm_failure(response).await {
            Ok(response) => self.poll_until_end(response).await,
            Err(end) => end,
        }
    }

    /// Releases the connection, or closes it if a response may still arrive on it.
    fn release_connection(self, outcome: Outcome) {
        if matches!(
            outcome,
            Outcome::Completed | Outcome::Overloaded | Outcome::NeverDispatched | Outcome::Error
        ) {
            self.engine.release(self.connection);
        }
    }
}
