//! One execution at its engine: started, asked for until its end, given up. It ends with one [`End`].

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use ivypitch::interface::{Note, Outcome};

use super::engine::{CallFault, Link};
use super::{End, ExecutionKey, ExecutionMail, ModuleMail};
use crate::memory::rows::Rows;
use crate::wire::http::{self, Answer, Start};

/// An engine drops a query that has not been asked for in 2 s.
const DROPPED_UNASKED: Duration = Duration::from_secs(2);
/// An ask is answered after 250 ms at the latest; one without an answer is repeated well within the 2 s.
const ASK_AGAIN: Duration = Duration::from_secs(1);
/// The bench's times run 50 ms wide: so long an answer to a give-up may take before another way is tried.
const GIVE_UP_ANSWER: Duration = Duration::from_millis(100);
const BREATHER: Duration = Duration::from_millis(50);

pub struct Execution {
    pub key: ExecutionKey,
    pub start: Start,
    pub report_fields: Rc<Vec<String>>,
    pub mailbox: Receiver<ExecutionMail>,
    /// A priority that has not been passed on yet.
    pub priority: Cell<Option<u8>>,
    pub module: Sender<ModuleMail>,
}

/// What a step of an execution leads to.
enum Step {
    Answered(Answer),
    Fault(CallFault),
    Mail(ExecutionMail),
}

impl Execution {
    pub async fn run(self, link: Rc<Link>) {
        let end = self.to_its_end(&link).await;
        let _ = self.module.try_send(ModuleMail::Ended { key: self.key, end });
    }

    async fn to_its_end(&self, link: &Rc<Link>) -> End {
        let mut answer = match self.start(link).await {
            Ok(answer) => answer,
            Err(end) => return end,
        };
        loop {
            if answer.status != 202 {
                return self.ended(link, answer).await;
            }
            self.tell_note(&answer);
            if let Some(priority) = self.priority.take() {
                let call = http::write_priority(&self.start.id, priority, &link.host());
                let _ = within(ASK_AGAIN, self.fresh_call(link, &call)).await;
            }
            let asked_at = Instant::now();
            answer = match self.ask(link).await {
                Step::Answered(answer) => answer,
                Step::Fault(CallFault::Refused) => return bare(Outcome::Reset),
                Step::Fault(_) => {
                    Timer::after(BREATHER).await;
                    Answer { status: 202, ..Answer::default() }
                }
                Step::Mail(ExecutionMail::GiveUp) => return self.give_up(link, asked_at).await,
                Step::Mail(ExecutionMail::Priority(priority)) => {
                    self.priority.set(Some(priority));
                    Answer { status: 202, ..Answer::default() }
                }
            };
        }
    }

    async fn fresh_call(&self, link: &Link, call: &[u8]) -> Result<Answer, CallFault> {
        let connection = link.connection().await?;
        link.call(connection, call).await
    }

    async fn mail(&self) -> ExecutionMail {
        self.mailbox.recv().await.unwrap_or(ExecutionMail::GiveUp)
    }

    /// Returns once it is given up; what comes before that is kept for later.
    async fn given_up(&self) {
        while let ExecutionMail::Priority(priority) = self.mail().await {
            self.priority.set(Some(priority));
        }
    }

    /// The start, up to its answer. Given up meanwhile, its answer is still awaited for a while: a give-up on
    /// another connection might overtake the start.
    async fn start(&self, link: &Rc<Link>) -> Result<Answer, End> {
        let connect = async { link.connection().await.map_err(|_| bare(Outcome::ConnectFailed)) };
        let given_up = async {
            self.given_up().await;
            Err(bare(Outcome::Cancelled))
        };
        let mut connection = connect.or(given_up).await?;
        let call = http::write_start(&self.start, &link.host());
        if connection.write(&call).await.is_err() {
            // It has not gone out whole.
            return Err(bare(Outcome::ConnectFailed));
        }
        let sent_at = Instant::now();
        let wanted = Cell::new(true);
        let answered = async { Some(connection.answer().await) };
        let given_up = async {
            self.given_up().await;
            wanted.set(false);
            Timer::after(ASK_AGAIN / 2).await;
            None
        };
        // One that broke off may run all the same: it is asked for on another connection.
        let mut start = Answer { status: 202, ..Answer::default() };
        if let Some(Ok(answer)) = answered.or(given_up).await {
            link.keep(connection, &answer);
            start = answer;
        }
        if start.status == 202 && !wanted.get() {
            return Err(self.give_up(link, sent_at).await);
        }
        Ok(start)
    }

    async fn ask(&self, link: &Rc<Link>) -> Step {
        let call = http::write_get(&self.start.id, 0, &link.host());
        let asked = async {
            match within(ASK_AGAIN, self.fresh_call(link, &call)).await {
                Ok(answer) => Step::Answered(answer),
                Err(fault) => Step::Fault(fault),
            }
        };
        asked.or(async { Step::Mail(self.mail().await) }).await
    }

    fn tell_note(&self, answer: &Answer) {
        let Some((name, figure)) = &answer.note else { return };
        let note = match (name.as_str(), *figure) {
            ("done", share) => Note::ShareDone(share),
            ("spills", mb) => Note::SpillsMb(mb),
            ("waits", 1.0) => Note::WaitsForMemory,
            ("waits", _) => Note::WaitsForLoad,
            _ => return,
        };
        let _ = self.module.try_send(ModuleMail::Noted { key: self.key, note });
    }

    /// The answer that ends it, in the module's terms; after a good end with all its pages.
    async fn ended(&self, link: &Rc<Link>, answer: Answer) -> End {
        let report = http::load_report(&answer.load, &self.report_fields);
        let outcome = match (answer.status, answer.never_ran) {
            (200, _) => Outcome::Completed,
            (503, true) => Outcome::Full,
            (504, true) => Outcome::Moot,
            _ => Outcome::Error,
        };
        if outcome != Outcome::Completed {
            return End { outcome, true_cost: None, report, rows: None };
        }
        let true_cost = answer.work_ms.map(|work| (work, answer.peak_mb.unwrap_or(0.0)));
        match self.pages(link, answer).await {
            Ok(rows) => End { outcome, true_cost, report, rows: Some(rows) },
            Err(outcome) => End { outcome, true_cost: None, report, rows: None },
        }
    }

    async fn pages(&self, link: &Rc<Link>, first: Answer) -> Result<Rows, Outcome> {
        let mut rows = Rows::default();
        let count = first.page_count.unwrap_or(1);
        rows.add(first.body).map_err(|_| Outcome::Error)?;
        while rows.pages() < count {
            let number = rows.pages();
            let call = http::write_get(&self.start.id, number, &link.host());
            let asked = async { Ok(within(ASK_AGAIN, self.fresh_call(link, &call)).await) };
            let given_up = async {
                self.given_up().await;
                Err(Outcome::Cancelled)
            };
            match asked.or(given_up).await? {
                Ok(answer) if answer.status == 200 && answer.page == Some(number) => {
                    rows.add(answer.body).map_err(|_| Outcome::Error)?;
                }
                Ok(_) => return Err(Outcome::Error),
                Err(CallFault::Refused) => return Err(Outcome::Reset),
                Err(_) => {
                    Timer::after(BREATHER).await;
                }
            }
        }
        Ok(rows)
    }

    /// Gives it up; it is no longer out when this returns: the engine has the whole call, has no process, or
    /// has long dropped the query since nobody asked for it.
    async fn give_up(&self, link: &Rc<Link>, last_asked: Instant) -> End {
        let call = http::write_delete(&self.start.id, &link.host());
        let kept = within(GIVE_UP_ANSWER, self.fresh_call(link, &call)).await;
        if matches!(kept, Ok(_) | Err(CallFault::Refused)) {
            return bare(Outcome::Cancelled);
        }
        // On a new connection a call that has gone out whole comes whole: the machine is there.
        if let Ok(mut connection) = link.connect().await
            && connection.write(&call).await.is_ok()
        {
            let _ = within(GIVE_UP_ANSWER, connection.answer()).await;
            return bare(Outcome::Cancelled);
        }
        Timer::at(last_asked + DROPPED_UNASKED + BREATHER).await;
        bare(Outcome::Cancelled)
    }
}

fn bare(outcome: Outcome) -> End {
    End { outcome, true_cost: None, report: Vec::new(), rows: None }
}

async fn within(
    limit: Duration,
    call: impl Future<Output = Result<Answer, CallFault>>,
) -> Result<Answer, CallFault> {
    call.or(async {
        Timer::after(limit).await;
        Err(CallFault::NoAnswer)
    })
    .await
}
