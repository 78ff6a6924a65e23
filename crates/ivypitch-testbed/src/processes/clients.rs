//! Clients that retry: each sends its statement to a gateway at a planned time. After no answer or an uncertain one it
//! tries another gateway with the same `req` until its timeout. All attempts and their outcomes are recorded.

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
    /// Time in milliseconds from the start of the traffic.
    pub at_ms: u64,
    pub req: u64,
    pub is_bulk_load: bool,
    pub work_ms: u64,
    pub timeout_ms: u64,
    /// A second client sends the same id after the first has its result.
    pub has_second_client: bool,
    /// Weight of each gateway in the client's random choice; empty: equal weights.
    pub gateway_weights: Arc<Vec<f64>>,
    pub owner: &'static str,
}

/// Outcome of an attempt; reports contain the names of the variants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The first column of the first row.
    Rows(String),
    /// The statement completed; its rows are no longer available.
    Completed,
    /// Rejected: the statement did not run and will not run.
    Refused,
    /// The statement failed and may have run.
    Unknown,
    /// Any other error.
    Other(u16),
    /// The gateway refused the connection, or the connection broke.
    Gone,
    /// No answer before the timeout.
    Silence,
}

/// One attempt of a client at a gateway; times in microseconds since the Unix epoch.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub gateway: usize,
    /// Id of the statement; after a rejection the client uses a new one.
    pub req: u64,
    pub started_us: u64,
    pub ended_us: u64,
    pub outcome: Outcome,
}

/// All attempts of one statement and its result.
#[derive(Clone, Debug, Default)]
pub struct StatementHistory {
    pub attempts: Vec<Attempt>,
    /// Microseconds from the planned time to the result.
    pub served_after_us: Option<u64>,
    /// The attempt of the second client.
    pub second_client: Option<Attempt>,
}

/// Settings of the clients of a run.
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    /// Time without an answer after which a client gives up on a gateway.
    pub answer_timeout: Duration,
    pub seed: u64,
}

/// Runs all clients and returns their histories. `start`: the zero of the planned times.
pub fn run_clients(
    statements: &[PlannedStatement],
    gateways: &[SocketAddr],
    config: ClientConfig,
    start: Instant,
) -> Vec<StatementHistory> {
    let executor = Rc::new(LocalExecutor::new());
    let histories = Rc::new(RefCell::new(vec![
        StatementHistory::default();
        statements.len()
    ]));
    smol::block_on(executor.clone().run(async {
        let mut tasks = Vec::new();
        for (i, statement) in statements.iter().enumerate() {
            let (statement, gateways, histories) =
                (statement.clone(), gateways.to_vec(), histories.clone());
            tasks.push(executor.spawn(async move {
                let planned_at = start + Duration::from_millis(statement.at_ms);
                Timer::at(planned_at).await;
                let client = Client {
                    statement,
                    gateways,
                    config,
                    planned_at,
                };
                let history = client.run(i as u64).await;
                histories.borrow_mut()[i] = history;
            }));
        }
        for task in tasks {
            task.await;
        }
    }));
    histories.take()
}

struct Client {
    statement: PlannedStatement,
    gateways: Vec<SocketAddr>,
    config: ClientConfig,
    planned_at: Instant,
}

impl Client {
    /// Tries gateways until the statement has a result or its timeout expires.
    async fn run(&self, serial: u64) -> StatementHistory {
        let mut rng = ChaCha8Rng::seed_from_u64(self.config.seed ^ serial << 8);
        let mut history = StatementHistory::default();
        let deadline = self.planned_at + Duration::from_millis(self.statement.timeout_ms);
        let (mut req, mut last_gateway) = (self.statement.req, usize::MAX);
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining < Duration::from_millis(30) {
                return history;
            }
            let gateway = self.choose(&mut rng, last_gateway);
            last_gateway = gateway;
            let attempt = self.attempt(gateway, req, remaining).await;
            let outcome = attempt.outcome.clone();
            history.attempts.push(attempt);
            match outcome {
                Outcome::Rows(_) | Outcome::Completed => {
                    history.served_after_us = Some(self.planned_at.elapsed().as_micros() as u64);
                    if self.statement.has_second_client {
                        Timer::after(Duration::from_millis(rng.random_range(0..150))).await;
                        let other = self.choose(&mut rng, last_gateway);
                        history.second_client =
                            Some(self.attempt(other, req, Duration::from_secs(2)).await);
                    }
                    return history;
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
                Outcome::Other(_) => return history,
            }
        }
    }

    /// Draws a gateway by weight, other than `excluded` if possible.
    fn choose(&self, rng: &mut ChaCha8Rng, excluded: usize) -> usize {
        let weight = |gateway: usize| match self.statement.gateway_weights.get(gateway) {
            _ if gateway == excluded && self.gateways.len() > 1 => 0.0,
            None if self.statement.gateway_weights.is_empty() => 1.0,
            weight => weight.copied().unwrap_or(0.0),
        };
        let total: f64 = (0..self.gateways.len()).map(weight).sum();
        let mut remaining_weight = rng.random::<f64>() * total;
        for gateway in 0..self.gateways.len() {
            remaining_weight -= weight(gateway);
            if remaining_weight < 0.0 {
                return gateway;
            }
        }
        (excluded.wrapping_add(1)) % self.gateways.len()
    }

    /// Makes one attempt, limited by the answer timeout.
    async fn attempt(&self, gateway: usize, req: u64, remaining: Duration) -> Attempt {
        let started_us = timestamp_us();
        let outcome = async {
            self.send_statement(gateway, req, remaining)
                .await
                .unwrap_or_else(|e| match e.kind() {
                    io::ErrorKind::InvalidData => Outcome::Other(0),
                    _ => Outcome::Gone,
                })
        };
        let timeout = async {
            Timer::after(
                self.config
                    .answer_timeout
                    .min(remaining + Duration::from_millis(500)),
            )
            .await;
            Outcome::Silence
        };
        let outcome = outcome.or(timeout).await;
        Attempt {
            gateway,
            req,
            started_us,
            ended_us: timestamp_us(),
            outcome,
        }
    }

    /// Connects, sends the statement and reads the outcome.
    async fn send_statement(
        &self,
        gateway: usize,
        req: u64,
        remaining: Duration,
    ) -> io::Result<Outcome> {
        let mut session = Session::connect(self.gateways[gateway]).await?;
        let PlannedStatement { work_ms, owner, .. } = self.statement;
        let kind = if self.statement.is_bulk_load {
            "load"
        } else {
            "lookup"
        };
        let text = format!(
            "/* kind={kind},req={req:016x},timeout={},owner={owner},ms={work_ms}.0,space=32 */ SELECT a FROM sales_{}.orders WHERE work = {work_ms} ",
            remaining.as_millis().max(1),
            req % 7
        );
        Ok(match session.execute(&text).await? {
            Reply::Rows(rows) => {
                Outcome::Rows(rows.first().map_or(String::new(), |row| first_column(row)))
            }
            Reply::Error(1040 | 1203 | 1226, text) => {
                // Waits for the retry-after, at most 300 ms: the client's timeout goes on.
                Timer::after(Duration::from_millis(retry_after_ms(&text).min(300))).await;
                Outcome::Refused
            }
            Reply::Error(1105, text) if text.contains("completed before") => Outcome::Completed,
            Reply::Error(1105, _) => Outcome::Unknown,
            Reply::Error(code, _) => Outcome::Other(code),
        })
    }
}
