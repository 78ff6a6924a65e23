//! One execution at its engine: started, asked for until its end, given up. It ends with one [`AttemptEnd`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use ivypitch_scheduler::AttemptProgress;
use ivypitch_scheduler::Scheduler;
use ivypitch_types::{Nanos, Outcome};

use super::engine::{AT_ONCE, CallFault, Connection, Link, NEWS};
use super::messages::{AttemptEnd, AttemptKey, AttemptMessage, ClientPresence, SchedulerMessage};
use crate::lifecycle::clock::Clock;
use crate::state::connections::ConnectPurpose;
use crate::state::rows::Rows;
use crate::wire::http::{self, Answer, Start};

/// An engine drops a query that has not been asked for in 2 s; the bench's times run 50 ms wide.
const DROPPED_UNASKED: Duration = Duration::from_millis(2050);
/// Before what brought no answer twice is asked again.
const BREATHER: Duration = Duration::from_millis(50);
/// A start that is given up is awaited for so long: a give-up on another connection might overtake it.
const START_ANSWER: Duration = Duration::from_millis(500);
/// So many connections are tried before a start that close or speak before anything was asked of them.
const MOST_UNFIT: usize = 3;

pub struct Attempt {
    pub key: AttemptKey,
    pub start: Start,
    /// Another gateway has started it: it is asked for only.
    pub is_watched: bool,
    pub report_fields: Rc<Vec<String>>,
    pub mailbox: Receiver<AttemptMessage>,
    /// A priority that has not been passed on yet.
    pub priority: Cell<Option<u8>>,
    pub module: Sender<SchedulerMessage>,
    pub gate: Gate,
    /// When its time is over.
    pub until: Nanos,
    /// Whose it is, where it is to be sent for that client alone.
    pub client: Option<Rc<ClientPresence>>,
}

/// Asks the module as the first byte of a start is about to leave.
#[derive(Clone)]
pub struct Gate {
    pub gateway: Rc<RefCell<Scheduler>>,
    pub clock: Clock,
}

impl Gate {
    fn lets(&self, key: AttemptKey) -> bool {
        self.gateway
            .borrow_mut()
            .confirm_send(self.clock.now(), key.stmt, key.number)
    }

    fn left_ms(&self, until: Nanos) -> u64 {
        (until.saturating_sub(self.clock.now()) / 1_000_000).max(1)
    }
}

/// What a step of an execution leads to.
enum Step {
    Answered(Answer),
    Fault(CallFault),
    Message(AttemptMessage),
}

impl Attempt {
    pub async fn run(self, link: Rc<Link>) {
        let end = self.to_its_end(&link).await;
        let _ = self
            .module
            .try_send(SchedulerMessage::AttemptEnded { key: self.key, end });
    }

    async fn to_its_end(&self, link: &Link) -> AttemptEnd {
        let mut connection = None;
        let end = self.on_connection(link, &mut connection).await;
        // What is over has no answer to come on its connection.
        if matches!(
            end.outcome,
            Outcome::Completed | Outcome::Overloaded | Outcome::NeverDispatched | Outcome::Error
        ) {
            link.give(&mut connection);
        }
        end
    }

    async fn on_connection(&self, link: &Link, connection: &mut Option<Connection>) -> AttemptEnd {
        let mut answer = match self.is_watched {
            true => None,
            false => match self.start(link, connection).await {
                Ok(answer) => answer,
                Err(end) => return end,
            },
        };
        if connection
            .as_ref()
            .is_some_and(|connection| connection.is_used)
            && let Some(end) = answer.as_ref().filter(|end| end.status != 202)
        {
            // On a connection that served another statement before, an end counts once it has come twice.
            match self.ask(link, connection, 0, AT_ONCE).await {
                Step::Answered(again) if is_same_end(end, &again) => {}
                Step::Message(AttemptMessage::Cancel) => return self.cancel(link).await,
                Step::Message(AttemptMessage::Detach) => return bare(Outcome::Cancelled),
                _ => (answer, *connection) = (None, None),
            }
        }
        let mut faults = 0;
        loop {
            match &answer {
                Some(news) if news.status == 202 => self.tell_note(news),
                Some(end) if matches!(end.status, 500 | 503 | 504) => return self.ended(end, None),
                Some(end) => {
                    if let Some(rows) = first_page(end) {
                        return match self
                            .pages(link, connection, rows, end.page_count.unwrap_or(1))
                            .await
                        {
                            Ok(rows) => self.ended(end, Some(rows)),
                            Err(end) => end,
                        };
                    }
                    // No answer to a start or to this question: asked for again, as one that did not come whole.
                    *connection = None;
                }
                None => {}
            }
            let first = self.is_watched && answer.is_none() && faults == 0;
            faults = if first || answer.as_ref().is_some_and(|a| a.status == 202) {
                0
            } else {
                faults + 1
            };
            if faults > 1 {
                Timer::after(BREATHER).await;
            }
            if let Some(priority) = self.priority.take() {
                let call = http::write_priority(&self.start.statement_id, priority, &link.host());
                let _ = link
                    .call(&mut None, &call, AT_ONCE, ConnectPurpose::Priority)
                    .await;
            }
            answer = match self.ask(link, connection, 0, NEWS * (1 + faults)).await {
                Step::Answered(answer) => Some(answer),
                Step::Fault(CallFault::Refused) => return bare(Outcome::Reset),
                Step::Fault(_) => None,
                Step::Message(AttemptMessage::Cancel) => return self.cancel(link).await,
                Step::Message(AttemptMessage::Detach) => return bare(Outcome::Cancelled),
                Step::Message(AttemptMessage::Priority(priority)) => {
                    self.priority.set(Some(priority));
                    Some(Answer {
                        status: 202,
                        ..Answer::default()
                    })
                }
            };
        }
    }

    async fn mail(&self) -> AttemptMessage {
        self.mailbox.recv().await.unwrap_or(AttemptMessage::Cancel)
    }

    /// Returns once it is given up; what comes before that is kept for later.
    async fn cancelled(&self) {
        while let AttemptMessage::Priority(priority) = self.mail().await {
            self.priority.set(Some(priority));
        }
    }

    /// The start, up to its answer; `None` where none came whole: it may run all the same and is asked for.
    /// Whether it is wanted is asked once it has its connection: nothing waits between that and its first byte.
    async fn start(
        &self,
        link: &Link,
        own: &mut Option<Connection>,
    ) -> Result<Option<Answer>, AttemptEnd> {
        let mut unfit = 0;
        let connection = loop {
            let connect = async {
                link.connection(&self.start.statement_id)
                    .await
                    .map_err(|_| bare(Outcome::ConnectFailed))
            };
            let cancelled = async {
                self.cancelled().await;
                Err(bare(Outcome::NotSent))
            };
            let mut connection = cancelled.or(connect).await?;
            if !link.is_fit(&mut connection) {
                // Something came on it, or its engine went elsewhere meanwhile: another one, and the question anew.
                unfit += 1;
                if unfit == MOST_UNFIT {
                    return Err(bare(Outcome::ConnectFailed));
                }
                continue;
            }
            if !self.is_wanted() || !self.gate.lets(self.key) {
                link.give_unused(connection);
                return Err(bare(Outcome::NotSent));
            }
            break connection;
        };
        let start = Start {
            remaining_ms: self.gate.left_ms(self.until),
            ..self.start.clone()
        };
        let call = http::write_start(&start, &link.host());
        let wanted = Cell::new(true);
        let answered = async { Some(link.exchange(connection, own, &call, NEWS).await) };
        let cancelled = async {
            self.cancelled().await;
            wanted.set(false);
            Timer::after(START_ANSWER).await;
            None
        };
        match answered.or(cancelled).await {
            // It has not gone out whole.
            Some(Err(CallFault::Unsent | CallFault::Refused)) => Err(bare(Outcome::ConnectFailed)),
            Some(Ok(answer)) if answer.status != 202 || wanted.get() => Ok(Some(answer)),
            _ if wanted.get() => Ok(None),
            _ => Err(self.cancel(link).await),
        }
    }

    /// Nobody has called it back, and its client, where it has one here, has neither closed nor sent anything more: a
    /// client that does is about to be let go.
    fn is_wanted(&self) -> bool {
        while let Ok(message) = self.mailbox.try_recv() {
            match message {
                AttemptMessage::Priority(priority) => self.priority.set(Some(priority)),
                AttemptMessage::Cancel | AttemptMessage::Detach => return false,
            }
        }
        self.client
            .as_ref()
            .is_none_or(|client| client.is_waiting())
    }

    /// Asks for the news (0) or for a page.
    async fn ask(
        &self,
        link: &Link,
        connection: &mut Option<Connection>,
        page: usize,
        limit: Duration,
    ) -> Step {
        let call = http::write_get(&self.start.statement_id, page, &link.host());
        let asked = async {
            match link
                .call(connection, &call, limit, ConnectPurpose::Poll)
                .await
            {
                Ok(answer) => Step::Answered(answer),
                Err(fault) => Step::Fault(fault),
            }
        };
        asked.or(async { Step::Message(self.mail().await) }).await
    }

    fn tell_note(&self, answer: &Answer) {
        let Some((name, figure)) = &answer.note else {
            return;
        };
        let note = match (name.as_str(), *figure) {
            ("done", share) => AttemptProgress::FractionDone(share),
            ("spills", mb) => AttemptProgress::SpilledMb(mb),
            ("waits", 1.0) => AttemptProgress::WaitingForMemory,
            ("waits", _) => AttemptProgress::WaitingForBulkLoad,
            _ => return,
        };
        let _ = self.module.try_send(SchedulerMessage::AttemptProgressed {
            key: self.key,
            note,
        });
    }

    /// What the answer that ends it proves, in the module's terms; after a good end with all its rows.
    fn ended(&self, answer: &Answer, rows: Option<Rows>) -> AttemptEnd {
        let outcome = match (answer.status, answer.never_ran) {
            (200, _) => Outcome::Completed,
            (503, true) => Outcome::Overloaded,
            (504, true) => Outcome::NeverDispatched,
            _ => Outcome::Error,
        };
        let cost = answer
            .work_ms
            .map(|work| (work, answer.peak_mb.unwrap_or(0.0)));
        AttemptEnd {
            outcome,
            true_cost: cost.filter(|_| rows.is_some()),
            report: http::load_report(&answer.load, &self.report_fields),
            rows,
        }
    }

    /// The pages after the first. One that did not come whole, or is no page of such a result, is asked for again.
    async fn pages(
        &self,
        link: &Link,
        connection: &mut Option<Connection>,
        mut rows: Rows,
        count: usize,
    ) -> Result<Rows, AttemptEnd> {
        let mut faults = 0;
        while rows.page_count() < count {
            let number = rows.page_count();
            match self
                .ask(link, connection, number, AT_ONCE * (1 + faults))
                .await
            {
                Step::Answered(page) if page.status == 500 => return Err(self.ended(&page, None)),
                Step::Answered(page)
                    if page.page == Some(number) && rows.push_page(page.body.clone()).is_ok() =>
                {
                    faults = 0
                }
                Step::Fault(CallFault::Refused) => return Err(bare(Outcome::Reset)),
                Step::Message(AttemptMessage::Cancel) => return Err(self.cancel(link).await),
                Step::Message(AttemptMessage::Detach) => return Err(bare(Outcome::Cancelled)),
                Step::Message(AttemptMessage::Priority(_)) => {}
                Step::Answered(_) | Step::Fault(_) => {
                    *connection = None;
                    faults += 1;
                    if faults > 1 {
                        Timer::after(BREATHER).await;
                    }
                }
            }
        }
        Ok(rows)
    }

    /// Gives it up; it is no longer out when this returns: the engine has answered to that, has no process, or has
    /// long dropped the query since nobody asked for it.
    async fn cancel(&self, link: &Link) -> AttemptEnd {
        let dropped = Instant::now() + DROPPED_UNASKED;
        let call = http::write_delete(&self.start.statement_id, &link.host());
        let mut connection = None;
        let told = async {
            loop {
                match link
                    .call(&mut connection, &call, AT_ONCE, ConnectPurpose::Cancel)
                    .await
                {
                    Ok(Answer {
                        status: 204 | 500, ..
                    })
                    | Err(CallFault::Refused) => return,
                    Ok(_) | Err(_) => Timer::after(BREATHER).await,
                };
            }
        };
        told.or(async {
            Timer::at(dropped).await;
        })
        .await;
        link.give(&mut connection);
        bare(Outcome::Cancelled)
    }
}

/// The engine says the same end again. What never ran there, or went wrong, it does not know when asked.
fn is_same_end(end: &Answer, again: &Answer) -> bool {
    match end.status {
        200 => again.status == 200 && end.page_count == again.page_count && end.body == again.body,
        _ => again.status == end.status || again.status == 500,
    }
}

/// The first page of a good end, if it is one.
fn first_page(end: &Answer) -> Option<Rows> {
    let mut rows = Rows::default();
    let first = end.status == 200 && end.page_count.is_some() && matches!(end.page, None | Some(0));
    (first && rows.push_page(end.body.clone()).is_ok()).then_some(rows)
}

fn bare(outcome: Outcome) -> AttemptEnd {
    AttemptEnd {
        outcome,
        true_cost: None,
        report: Vec::new(),
        rows: None,
    }
}
