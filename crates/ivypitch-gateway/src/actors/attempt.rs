//! One attempt of a statement at its engine: started, polled until its end, or cancelled. It ends with one [`AttemptEnd`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use ivypitch_scheduler::AttemptProgress;
use ivypitch_scheduler::Scheduler;
use ivypitch_types::{Nanos, Outcome};

use super::engine_client::{EngineClient, POLL_TIMEOUT, RESPONSE_TIMEOUT};
use super::engine_connection::{CallError, EngineConnection};
use super::messages::{
    AttemptEnd, AttemptKey, AttemptMessage, ClientPresence, MeasuredCost, SchedulerMessage,
};
use crate::lifecycle::clock::Clock;
use crate::state::connections::ConnectPurpose;
use crate::state::rows::Rows;
use crate::wire::http::{self, Response, Start, status};

/// An engine drops a query that has not been polled for in 2 s; the engines' times run 50 ms wide.
const ENGINE_DROPS_UNPOLLED_AFTER: Duration = Duration::from_millis(2050);
/// Before what brought no response twice is asked for again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The response to a start that is cancelled is awaited for so long: a cancellation on another connection might
/// overtake the start.
const CANCELLED_START_TIMEOUT: Duration = Duration::from_millis(500);
/// So many connections in a row may close, or bring bytes, before the start has left.
const MAX_UNFIT_CONNECTIONS: usize = 3;

/// What an attempt's task is made of.
pub struct Attempt {
    /// Names it in messages.
    pub key: AttemptKey,
    /// What the start tells the engine.
    pub start: Start,
    /// Another gateway has started it: it is only polled for.
    pub is_already_started: bool,
    /// The fields of a load report, in the order of the settings.
    pub report_fields: Rc<Vec<String>>,
    /// Messages to this attempt; once closed, the attempt is cancelled.
    pub mailbox: Receiver<AttemptMessage>,
    /// A priority that the engine has not been told yet.
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
        (times_out_at.saturating_sub(self.clock.now()) / 1_000_000).max(1)
    }
}

/// What came first while an attempt waited for a response.
enum PollOutcome {
    Response(Response),
    Error(CallError),
    Message(AttemptMessage),
}

impl Attempt {
    /// Runs it to its end, of which the scheduler is notified.
    pub async fn run(self, engine: Rc<EngineClient>) {
        let end = self.run_and_release(&engine).await;
        let _ = self
            .scheduler
            .try_send(SchedulerMessage::AttemptEnded { key: self.key, end });
    }

    async fn run_and_release(&self, engine: &EngineClient) -> AttemptEnd {
        let mut connection = None;
        let end = self.run_on(engine, &mut connection).await;
        // With these outcomes no response is to come on the connection any more.
        if matches!(
            end.outcome,
            Outcome::Completed | Outcome::Overloaded | Outcome::NeverDispatched | Outcome::Error
        ) {
            engine.release(connection);
        }
        end
    }

    async fn run_on(
        &self,
        engine: &EngineClient,
        connection: &mut Option<EngineConnection>,
    ) -> AttemptEnd {
        let started = if self.is_already_started {
            Ok(None)
        } else {
            self.start(engine, connection).await
        };
        let response = match started {
            Ok(response) => response,
            Err(end) => return end,
        };
        match self.confirm_end(engine, connection, response).await {
            Ok(response) => self.poll_until_end(engine, connection, response).await,
            Err(end) => end,
        }
    }

    /// The start, up to its response; `None` where none came complete: it may run all the same and is polled for.
    async fn start(
        &self,
        engine: &EngineClient,
        held: &mut Option<EngineConnection>,
    ) -> Result<Option<Response>, AttemptEnd> {
        let connection = self.connection_for_start(engine).await?;
        let start = Start {
            remaining_ms: self.gate.remaining_ms(self.times_out_at),
            ..self.start.clone()
        };
        let request = http::write_start(&start, &engine.host());
        let is_wanted = Cell::new(true);
        let responded = async {
            let response = engine.exchange(connection, held, &request, POLL_TIMEOUT);
            Some(response.await)
        };
        let cancelled = async {
            self.cancelled().await;
            is_wanted.set(false);
            Timer::after(CANCELLED_START_TIMEOUT).await;
            None
        };
        match responded.or(cancelled).await {
            Some(Err(CallError::NotSent | CallError::ConnectionRefused)) => {
                Err(AttemptEnd::without_answer(Outcome::ConnectFailed))
            }
            Some(Ok(response)) if response.status != status::RUNNING || is_wanted.get() => {
                Ok(Some(response))
            }
            _ if is_wanted.get() => Ok(None),
            _ => Err(self.cancel(engine).await),
        }
    }

    /// A connection on which the start may leave now. Whether it is wanted is asked once the connection is there:
    /// nothing waits between that and the first byte.
    async fn connection_for_start(
        &self,
        engine: &EngineClient,
    ) -> Result<EngineConnection, AttemptEnd> {
        let mut unfit = 0;
        loop {
            let connect = async {
                engine
                    .acquire(&self.start.statement_id)
                    .await
                    .map_err(|_| AttemptEnd::without_answer(Outcome::ConnectFailed))
            };
            let cancelled = async {
                self.cancelled().await;
                Err(AttemptEnd::without_answer(Outcome::NotSent))
            };
            let connection = cancelled.or(connect).await?;
            if !engine.is_fit(&connection) {
                // Something came on it, or its engine has moved meanwhile: another one, and the question anew.
                unfit += 1;
                if unfit == MAX_UNFIT_CONNECTIONS {
                    return Err(AttemptEnd::without_answer(Outcome::ConnectFailed));
                }
                continue;
            }
            if !self.is_wanted() || !self.gate.allows_send(self.key) {
                engine.release_unused(connection);
                return Err(AttemptEnd::without_answer(Outcome::NotSent));
            }
            return Ok(connection);
        }
    }

    /// Nobody has cancelled it, and its client, where it has one here, has neither closed nor sent anything more: a
    /// client that does is about to be disconnected.
    fn is_wanted(&self) -> bool {
        while let Ok(message) = self.mailbox.try_recv() {
            match message {
                AttemptMessage::Priority(priority) => self.unsent_priority.set(Some(priority)),
                AttemptMessage::Cancel | AttemptMessage::Detach => return false,
            }
        }
        self.client
            .as_ref()
            .is_none_or(|client| client.is_waiting())
    }

    /// On a connection that served another statement before, an end counts once the engine has repeated it; `None`:
    /// it has not, and the attempt is polled for.
    async fn confirm_end(
        &self,
        engine: &EngineClient,
        connection: &mut Option<EngineConnection>,
        response: Option<Response>,
    ) -> Result<Option<Response>, AttemptEnd> {
        let is_used = connection.as_ref().is_some_and(EngineConnection::is_used);
        let Some(end) = response
            .as_ref()
            .filter(|response| is_used && response.status != status::RUNNING)
        else {
            return Ok(response);
        };
        match self.poll(engine, connection, 0, RESPONSE_TIMEOUT).await {
            PollOutcome::Response(again) if is_same_end(end, &again) => Ok(response),
            PollOutcome::Message(AttemptMessage::Cancel) => Err(self.cancel(engine).await),
            PollOutcome::Message(AttemptMessage::Detach) => {
                Err(AttemptEnd::without_answer(Outcome::Cancelled))
            }
            _ => {
                *connection = None;
                Ok(None)
            }
        }
    }

    /// Polls, from the response to the start on, until the engine reports the end.
    async fn poll_until_end(
        &self,
        engine: &EngineClient,
        connection: &mut Option<EngineConnection>,
        mut response: Option<Response>,
    ) -> AttemptEnd {
        let mut failures = 0;
        loop {
            if let Some(response) = &response
                && let Some(end) = self.on_response(engine, connection, response).await
            {
                return end;
            }
            // An attempt that another gateway started has no response to begin with.
            let is_first_poll = self.is_already_started && response.is_none() && failures == 0;
            let is_running = response.is_some_and(|r| r.status == status::RUNNING);
            failures = if is_first_poll || is_running {
                0
            } else {
                failures + 1
            };
            if failures > 1 {
                Timer::after(RETRY_PAUSE).await;
            }
            self.send_priority(engine).await;
            let timeout = POLL_TIMEOUT * (1 + failures);
            response = match self.poll(engine, connection, 0, timeout).await {
                PollOutcome::Response(response) => Some(response),
                PollOutcome::Error(CallError::ConnectionRefused) => {
                    return AttemptEnd::without_answer(Outcome::Reset);
                }
                PollOutcome::Error(_) => None,
                PollOutcome::Message(AttemptMessage::Cancel) => return self.cancel(engine).await,
                PollOutcome::Message(AttemptMessage::Detach) => {
                    return AttemptEnd::without_answer(Outcome::Cancelled);
                }
                PollOutcome::Message(AttemptMessage::Priority(priority)) => {
                    self.unsent_priority.set(Some(priority));
                    Some(Response {
                        status: status::RUNNING,
                        ..Response::default()
                    })
                }
            };
        }
    }

    /// Handles the response to a start or a poll; `Some`: the attempt has ended. A response that is neither progress
    /// nor an end counts as one that did not come complete, and its connection is closed.
    async fn on_response(
        &self,
        engine: &EngineClient,
        connection: &mut Option<EngineConnection>,
        response: &Response,
    ) -> Option<AttemptEnd> {
        match response.status {
            status::RUNNING => {
                self.report_progress(response);
                None
            }
            status::FAILED | status::UNAVAILABLE | status::TIMED_OUT => {
                Some(self.end(response, None))
            }
            _ => {
                let Some(rows) = first_page(response) else {
                    *connection = None;
                    return None;
                };
                let page_count = response.page_count.unwrap_or(1);
                let fetched = self.fetch_pages(engine, connection, rows, page_count).await;
                Some(match fetched {
                    Ok(rows) => self.end(response, Some(rows)),
                    Err(end) => end,
                })
            }
        }
    }

    /// Tells the engine a new priority, if there is one; what it responds is of no account.
    async fn send_priority(&self, engine: &EngineClient) {
        let Some(priority) = self.unsent_priority.take() else {
            return;
        };
        let request = http::write_priority(&self.start.statement_id, priority, &engine.host());
        let _ = engine
            .call(
                &mut None,
                &request,
                RESPONSE_TIMEOUT,
                ConnectPurpose::Priority,
            )
            .await;
    }

    async fn next_message(&self) -> AttemptMessage {
        self.mailbox.recv().await.unwrap_or(AttemptMessage::Cancel)
    }

    /// Returns once it is cancelled; a priority that comes before that is kept for later.
    async fn cancelled(&self) {
        while let AttemptMessage::Priority(priority) = self.next_message().await {
            self.unsent_priority.set(Some(priority));
        }
    }

    /// Asks for the attempt's progress or end (page 0), or for a further page.
    async fn poll(
        &self,
        engine: &EngineClient,
        connection: &mut Option<EngineConnection>,
        page: usize,
        timeout: Duration,
    ) -> PollOutcome {
        let request = http::write_get(&self.start.statement_id, page, &engine.host());
        let responded = async {
            match engine
                .call(connection, &request, timeout, ConnectPurpose::Poll)
                .await
            {
                Ok(response) => PollOutcome::Response(response),
                Err(error) => PollOutcome::Error(error),
            }
        };
        let message = async { PollOutcome::Message(self.next_message().await) };
        responded.or(message).await
    }

    fn report_progress(&self, response: &Response) {
        let Some((name, figure)) = &response.note else {
            return;
        };
        let progress = match (name.as_str(), *figure) {
            ("done", fraction) => AttemptProgress::FractionDone(fraction),
            ("spills", mb) => AttemptProgress::SpilledMb(mb),
            ("waits", 1.0) => AttemptProgress::WaitingForMemory,
            ("waits", _) => AttemptProgress::WaitingForBulkLoad,
            _ => return,
        };
        let _ = self
            .scheduler
            .try_send(SchedulerMessage::AttemptProgressed {
                key: self.key,
                progress,
            });
    }

    /// What the response that ends it proves, in the scheduler's terms; with `rows` once all of them are there.
    fn end(&self, response: &Response, rows: Option<Rows>) -> AttemptEnd {
        let outcome = match (response.status, response.never_ran) {
            (status::COMPLETED, _) => Outcome::Completed,
            (status::UNAVAILABLE, true) => Outcome::Overloaded,
            (status::TIMED_OUT, true) => Outcome::NeverDispatched,
            _ => Outcome::Error,
        };
        let measured_cost = response.work_ms.map(|work_ms| MeasuredCost {
            work_ms,
            peak_mb: response.peak_mb.unwrap_or(0.0),
        });
        AttemptEnd {
            outcome,
            measured_cost: measured_cost.filter(|_| rows.is_some()),
            load_report: http::load_report(&response.load, &self.report_fields),
            rows,
        }
    }

    /// The pages after the first. One that did not come complete, or is no page of such a result, is asked for again.
    async fn fetch_pages(
        &self,
        engine: &EngineClient,
        connection: &mut Option<EngineConnection>,
        mut rows: Rows,
        page_count: usize,
    ) -> Result<Rows, AttemptEnd> {
        let mut failures = 0;
        while rows.page_count() < page_count {
            let number = rows.page_count();
            let timeout = RESPONSE_TIMEOUT * (1 + failures);
            match self.poll(engine, connection, number, timeout).await {
                PollOutcome::Response(page) if page.status == status::FAILED => {
                    return Err(self.end(&page, None));
                }
                PollOutcome::Response(page)
                    if page.page == Some(number) && rows.push_page(page.body.clone()).is_ok() =>
                {
                    failures = 0;
                }
                PollOutcome::Error(CallError::ConnectionRefused) => {
                    return Err(AttemptEnd::without_answer(Outcome::Reset));
                }
                PollOutcome::Message(AttemptMessage::Cancel) => {
                    return Err(self.cancel(engine).await);
                }
                PollOutcome::Message(AttemptMessage::Detach) => {
                    return Err(AttemptEnd::without_answer(Outcome::Cancelled));
                }
                PollOutcome::Message(AttemptMessage::Priority(_)) => {}
                PollOutcome::Response(_) | PollOutcome::Error(_) => {
                    *connection = None;
                    failures += 1;
                    if failures > 1 {
                        Timer::after(RETRY_PAUSE).await;
                    }
                }
            }
        }
        Ok(rows)
    }

    /// Cancels it. It no longer runs when this returns: the engine has confirmed that, has no process, or has long
    /// dropped the query since nobody polled for it.
    async fn cancel(&self, engine: &EngineClient) -> AttemptEnd {
        let dropped_at = Instant::now() + ENGINE_DROPS_UNPOLLED_AFTER;
        let mut connection = None;
        let confirmed = self.cancel_until_confirmed(engine, &mut connection);
        let dropped = async {
            Timer::at(dropped_at).await;
        };
        confirmed.or(dropped).await;
        engine.release(connection);
        AttemptEnd::without_answer(Outcome::Cancelled)
    }

    async fn cancel_until_confirmed(
        &self,
        engine: &EngineClient,
        connection: &mut Option<EngineConnection>,
    ) {
        let request = http::write_delete(&self.start.statement_id, &engine.host());
        loop {
            let purpose = ConnectPurpose::Cancel;
            match engine
                .call(connection, &request, RESPONSE_TIMEOUT, purpose)
                .await
            {
                Ok(Response {
                    status: status::CANCELLED | status::FAILED,
                    ..
                })
                | Err(CallError::ConnectionRefused) => return,
                Ok(_) | Err(_) => {
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }
}

/// The engine reports the same end again. What never ran there, or failed, it does not know when asked.
fn is_same_end(end: &Response, again: &Response) -> bool {
    match end.status {
        status::COMPLETED => {
            again.status == status::COMPLETED
                && end.page_count == again.page_count
                && end.body == again.body
        }
        _ => again.status == end.status || again.status == status::FAILED,
    }
}

/// The first page of a completed result, if this is one.
fn first_page(response: &Response) -> Option<Rows> {
    let is_first = response.status == status::COMPLETED
        && response.page_count.is_some()
        && matches!(response.page, None | Some(0));
    let mut rows = Rows::default();
    (is_first && rows.push_page(response.body.clone()).is_ok()).then_some(rows)
}
