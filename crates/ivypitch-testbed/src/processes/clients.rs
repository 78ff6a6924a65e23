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

use super::engine::stamp;
use crate::processes::session::{Reply, Session, first_column, holdoff_ms};

/// One statement of the traffic.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Milliseconds from the start of the traffic.
    pub at: u64,
    pub req: u64,
    pub load: bool,
    pub work_ms: u64,
    pub timeout_ms: u64,
    /// A second client asks under the same id once the first has its end.
    pub asked_twice: bool,
    /// Weight of each gateway in the client's choice; empty: all alike.
    pub prefers: Arc<Vec<f64>>,
    pub owner: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
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
pub struct Visit {
    pub gateway: usize,
    /// The id under which it asked: a refused one asks anew under another.
    pub req: u64,
    pub begun: u64,
    pub ended: u64,
    pub heard: Heard,
}

/// What became of one statement.
#[derive(Clone, Debug, Default)]
pub struct Story {
    pub visits: Vec<Visit>,
    /// Microseconds from its time to its rows.
    pub served: Option<u64>,
    /// What its second client heard.
    pub second: Option<Visit>,
}

#[derive(Clone, Copy, Debug)]
pub struct Manners {
    /// A client takes a gateway that says nothing for so long for lost.
    pub patience: Duration,
    pub seed: u64,
}

/// All stories, once the last client is done. `from`: when the traffic's time begins.
pub fn play(asks: &[Ask], gateways: &[SocketAddr], manners: Manners, from: Instant) -> Vec<Story> {
    let executor = Rc::new(LocalExecutor::new());
    let stories = Rc::new(RefCell::new(vec![Story::default(); asks.len()]));
    smol::block_on(executor.clone().run(async {
        let mut tasks = Vec::new();
        for (i, ask) in asks.iter().enumerate() {
            let (ask, gateways, stories) = (ask.clone(), gateways.to_vec(), stories.clone());
            tasks.push(executor.spawn(async move {
                let due = from + Duration::from_millis(ask.at);
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
    ask: Ask,
    gateways: Vec<SocketAddr>,
    manners: Manners,
    due: Instant,
}

impl Client {
    async fn live(&self, serial: u64) -> Story {
        let mut rng = ChaCha8Rng::seed_from_u64(self.manners.seed ^ serial << 8);
        let mut story = Story::default();
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
            let heard = visit.heard.clone();
            story.visits.push(visit);
            match heard {
                Heard::Rows(_) | Heard::Completed => {
                    story.served = Some(self.due.elapsed().as_micros() as u64);
                    if self.ask.asked_twice {
                        Timer::after(Duration::from_millis(rng.random_range(0..150))).await;
                        let other = self.choose(&mut rng, last);
                        story.second = Some(self.visit(other, req, Duration::from_secs(2)).await);
                    }
                    return story;
                }
                Heard::Refused => {
                    Timer::after(Duration::from_millis(rng.random_range(30..120))).await;
                    req = req.wrapping_add(1 << 40);
                }
                Heard::Unknown | Heard::Silence => {
                    Timer::after(Duration::from_millis(rng.random_range(20..300))).await;
                }
                Heard::Gone => {
                    Timer::after(Duration::from_millis(rng.random_range(5..200))).await;
                }
                Heard::Other(_) => return story,
            }
        }
    }

    fn choose(&self, rng: &mut ChaCha8Rng, not: usize) -> usize {
        let weight = |g: usize| match self.ask.prefers.get(g) {
            _ if g == not && self.gateways.len() > 1 => 0.0,
            None if self.ask.prefers.is_empty() => 1.0,
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

    async fn visit(&self, gateway: usize, req: u64, left: Duration) -> Visit {
        let begun = stamp();
        let asked = async {
            self.asked(gateway, req, left)
                .await
                .unwrap_or_else(|e| match e.kind() {
                    io::ErrorKind::InvalidData => Heard::Other(0),
                    _ => Heard::Gone,
                })
        };
        let late = async {
            Timer::after(self.manners.patience.min(left + Duration::from_millis(500))).await;
            Heard::Silence
        };
        let heard = asked.or(late).await;
        Visit {
            gateway,
            req,
            begun,
            ended: stamp(),
            heard,
        }
    }

    async fn asked(&self, gateway: usize, req: u64, left: Duration) -> io::Result<Heard> {
        let mut session = Session::open(self.gateways[gateway]).await?;
        let Ask { work_ms, owner, .. } = self.ask;
        let kind = if self.ask.load { "load" } else { "lookup" };
        let text = format!(
            "/* kind={kind},req={req:016x},timeout={},owner={owner},ms={work_ms}.0,space=32 */ SELECT a FROM sales_{}.orders WHERE work = {work_ms} ",
            left.as_millis().max(1),
            req % 7
        );
        Ok(match session.reply(&text).await? {
            Reply::Rows(rows) => {
                Heard::Rows(rows.first().map_or(String::new(), |row| first_column(row)))
            }
            Reply::Error(1040 | 1203 | 1226, text) => {
                // As told, within reason: the client's own time goes on.
                Timer::after(Duration::from_millis(holdoff_ms(&text).min(300))).await;
                Heard::Refused
            }
            Reply::Error(1105, text) if text.contains("completed before") => Heard::Completed,
            Reply::Error(1105, _) => Heard::Unknown,
            Reply::Error(code, _) => Heard::Other(code),
        })
    }
}
