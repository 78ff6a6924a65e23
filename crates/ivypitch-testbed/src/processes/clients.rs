//! Clients that come back: each has a statement at its time, takes it to a gateway, and where it hears nothing or
//! nothing certain takes it to another with the same `req` as long as it has time. What each heard, and where, is kept.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol::future::FutureExt;
use smol::{LocalExecutor, Timer};

use super::engine::timestamp_us;
use crate::processes::session::{Reply, Session, first_column, retry_after_ms};

/// One statement of the traffic.
#[derive(Clone, Debug)]
pub struct PlannedStatement {
    /// Milliseconds from the start of the traffic.
    pub at_ms: u64,
    pub req: u64,
    pub is_bulk_load: bool,
    pub work_ms: u64,
    pub timeout_ms: u64,
    /// A second client asks under the same id once the first has its end.
    pub has_second_client: bool,
    /// Weight of each gateway in the client's choice; empty: all alike.
    pub gateway_weights: Arc<Vec<f64>>,
    pub owner: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The first column of the first row.
    Rows(String),
    /// It completed; its rows are kept no more.
    Completed,
    /// Nothing ran, nothing will.
    Refused,
    /// It failed and may have run.
    Unknown,
    /// Any other error.
    Other(u16),
    /// The gateway refused the connection, or it broke.
    Gone,
    /// No word in time.
    Silence,
}

/// One visit of a client to a gateway.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub gateway: usize,
    /// The id under which it asked: a refused one asks anew under another.
    pub req: u64,
    pub started_us: u64,
    pub ended_us: u64,
    pub outcome: Outcome,
}

/// What became of one statement.
#[derive(Clone, Debug, Default)]
pub struct StatementHistory {
    pub attempts: Vec<Attempt>,
    /// Microseconds from its time to its rows.
    pub served_after_us: Option<u64>,
    /// What its second client heard.
    pub second_client: Option<Attempt>,
}

#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    /// A client takes a gateway that says nothing for so long for lost.
    pub answer_timeout: Duration,
    pub seed: u64,
}

/// All stories, once the last client is done. `from`: when the traffic's time begins.
pub fn run_clients(
    asks: &[PlannedStatement],
    gateways: &[SocketAddr],
    manners: ClientConfig,
    from: Instant,
) -> Vec<StatementHistory> {
    let executor = Rc::new(LocalExecutor::new());
    let stories = Rc::new(RefCell::new(vec![StatementHistory::default(); asks.len()]));
    smol::block_on(executor.clone().run(async {
        let mut tasks = Vec::new();
        for (i, ask) in asks.iter().enumerate() {
            let (ask, gateways, stories) = (ask.clone(), gateways.to_vec(), stories.clone());
            tasks.push(executor.spawn(async move {
                let due = from + Duration::from_millis(ask.at_ms);
                Timer::at(due).await;
                let client = Client {
                    ask,
                    gateways,
                    manners,
                    due,
                };
                let story = client.live(i as u64).await;
                stories.borrow_mut()[i] = story;
            }));
        }
        for task in tasks {
            task.await;
        }
    }));
    stories.take()
}

struct Client {
    ask: PlannedStatement,
    gateways: Vec<SocketAddr>,
    manners: ClientConfig,
    due: Instant,
}

impl Client {
    async fn live(&self, serial: u64) -> StatementHistory {
        let mut rng = ChaCha8Rng::seed_from_u64(self.manners.seed ^ serial << 8);
        let mut story = StatementHistory::default();
        let deadline = self.due + Duration::from_millis(self.ask.timeout_ms);
        let (mut req, mut last) = (self.ask.req, usize::MAX);
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left < Duration::from_millis(30) {
                return story;
            }
            let gateway = self.choose(&mut rng, last);
            last = gateway;
            let visit = self.visit(gateway, req, left).await;
            let heard = visit.outcome.clone();
            story.attempts.push(visit);
            match heard {
                Outcome::Rows(_) | Outcome::Completed => {
                    story.served_after_us = Some(self.due.elapsed().as_micros() as u64);
                    if self.ask.has_second_client {
                        Timer::after(Duration::from_millis(rng.random_range(0..150))).await;
                        let other = self.choose(&mut rng, last);
                        story.second_client =
                            Some(self.visit(other, req, Duration::from_secs(2)).await);
                    }
                    return story;
                }
                Outcome::Refused => {
                    Timer::after(Duration::from_millis(rng.random_range(30..120))).await;
                    req = req.wrapping_add(1 << 40);
                }
                Outcome::Unknown | Outcome::Silence => {
                    Timer::after(Duration::from_millis(rng.random_range(20..300))).await;
                }
                Outcome::Gone => {
                    Timer::after(Duration::from_millis(rng.random_range(5..200))).await;
                }
                Outcome::Other(_) => return story,
            }
        }
    }

    fn choose(&self, rng: &mut ChaCha8Rng, not: usize) -> usize {
        let weight = |g: usize| match self.ask.gateway_weights.get(g) {
            _ if g == not && self.gateways.len() > 1 => 0.0,
            None if self.ask.gateway_weights.is_empty() => 1.0,
            weight => weight.copied().unwrap_or(0.0),
        };
        let all: f64 = (0..self.gateways.len()).map(weight).sum();
        let mut drawn = rng.random::<f64>() * all;
        for g in 0..self.gateways.len() {
            drawn -= weight(g);
            if drawn < 0.0 {
                return g;
            }
        }
        (not.wrapping_add(1)) % self.gateways.len()
    }

    async fn visit(&self, gateway: usize, req: u64, left: Duration) -> Attempt {
        let begun = timestamp_us();
        let asked = async {
            self.asked(gateway, req, left)
                .await
                .unwrap_or_else(|e| match e.kind() {
                    io::ErrorKind::InvalidData => Outcome::Other(0),
                    _ => Outcome::Gone,
                })
        };
        let late = async {
            Timer::after(
                self.manners
                    .answer_timeout
                    .min(left + Duration::from_millis(500)),
            )
            .await;
            Outcome::Silence
        };
        let heard = asked.or(late).await;
        Attempt {
            gateway,
            req,
            started_us: begun,
            ended_us: timestamp_us(),
            outcome: heard,
        }
    }

    async fn asked(&self, gateway: usize, req: u64, left: Duration) -> io::Result<Outcome> {
        let mut session = Session::connect(self.gateways[gateway]).await?;
        let PlannedStatement { work_ms, owner, .. } = self.ask;
        let kind = if self.ask.is_bulk_load {
            "load"
        } else {
            "lookup"
        };
        let text = format!(
            "/* kind={kind},req={req:016x},timeout={},owner={owner},ms={work_ms}.0,space=32 */ SELECT a FROM sales_{}.orders WHERE work = {work_ms} ",
            left.as_millis().max(1),
            req % 7
        );
        Ok(match session.execute(&text).await? {
            Reply::Rows(rows) => {
                Outcome::Rows(rows.first().map_or(String::new(), |row| first_column(row)))
            }
            Reply::Error(1040 | 1203 | 1226, text) => {
                // As told, within reason: the client's own time goes on.
                Timer::after(Duration::from_millis(retry_after_ms(&text).min(300))).await;
                Outcome::Refused
            }
            Reply::Error(1105, text) if text.contains("completed before") => Outcome::Completed,
            Reply::Error(1105, _) => Outcome::Unknown,
            Reply::Error(code, _) => Outcome::Other(code),
        })
    }
}
