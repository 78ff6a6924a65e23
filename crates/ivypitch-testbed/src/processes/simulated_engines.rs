//! Simulated engines: many in one process, each at an address of its own on loopback, with the platform's protocol and
//! without work: a query completes at once and is known for 2 s. They count connections, calls and bytes by gateway; the
//! highest byte of a query's id is the gateway that its client used.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, BufRead};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use serde::{Deserialize, Serialize};
use smol::io::AsyncWriteExt;
use smol::{Async, LocalExecutor};

use super::engine::timestamp_us;
use super::loopback_run::{next_call, response};

/// Time for which a completed query is known.
const RETENTION_PERIOD: Duration = Duration::from_secs(2);

/// What to simulate: the first line that the process reads, as JSON.
#[derive(Debug, Serialize, Deserialize)]
pub struct SimulatedEngines {
    pub listen: Vec<SocketAddr>,
    /// Whether to print a line for each start: `TIME start ENGINE ID`.
    pub tells_starts: bool,
}

/// Counters of one engine for one gateway; printed on the command `count`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub engine: usize,
    pub gateway: usize,
    pub starts: u64,
    pub calls: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// Connections that are open.
    pub open: u64,
}

/// The gateway that the statement's client used.
pub fn gateway_of_id(id: &str) -> usize {
    u64::from_str_radix(id, 16).map_or(0, |id| (id >> 56) as usize)
}

/// Id of a statement whose client uses this gateway.
pub fn id_for_gateway(gateway: usize, number: u64) -> u64 {
    (gateway as u64) << 56 | number
}

/// Completed queries; removed 2 s after their end.
#[derive(Default)]
struct CompletedQueries {
    ids: BTreeSet<String>,
    /// The same ids in order of time.
    order: VecDeque<(Instant, String)>,
}

#[derive(Default)]
struct Engine {
    number: usize,
    completed: RefCell<CompletedQueries>,
    counts: RefCell<BTreeMap<usize, Counts>>,
    tells_starts: bool,
}

impl Engine {
    fn count(&self, gateway: usize, change: impl FnOnce(&mut Counts)) {
        let new = Counts {
            engine: self.number,
            gateway,
            ..Counts::default()
        };
        change(self.counts.borrow_mut().entry(gateway).or_insert(new));
    }

    fn knows(&self, id: &str) -> bool {
        let CompletedQueries { ids, order } = &mut *self.completed.borrow_mut();
        while let Some((_, old)) = order.pop_front_if(|(at, _)| at.elapsed() > RETENTION_PERIOD) {
            ids.remove(&old);
        }
        ids.contains(id)
    }

    fn start(&self, id: &str, gateway: usize) {
        if self.knows(id) {
            return;
        }
        let CompletedQueries { ids, order } = &mut *self.completed.borrow_mut();
        ids.insert(id.to_owned());
        order.push_back((Instant::now(), id.to_owned()));
        self.count(gateway, |counts| counts.starts += 1);
        if self.tells_starts {
            println!("{} start {} {id}", timestamp_us(), self.number);
        }
    }

    /// Response to a poll.
    fn poll(&self, id: &str) -> String {
        if !self.knows(id) {
            return response(500, "", "");
        }
        let head = "Page-Count: 1\r\nWork-Ms: 1.0\r\nPeak-Mb: 16\r\nSrv-Load: waiting:0;active:1;x0:0.1\r\n";
        response(200, head, &format!("{id}\tb\tc\n"))
    }

    /// Serves one connection; the first call identifies its gateway.
    async fn serve_connection(&self, stream: Async<TcpStream>) -> io::Result<()> {
        let _ = stream.get_ref().set_nodelay(true);
        let mut input = BytesMut::new();
        let mut caller = None;
        let serving = async {
            while let Some(call) = next_call(&stream, &mut input).await? {
                let id = match call.method.as_str() {
                    "POST" => call.header("Via-Id"),
                    _ => call.path.split('/').nth(2).unwrap_or_default().to_owned(),
                };
                let gateway = gateway_of_id(&id);
                if caller.is_none() {
                    caller = Some(gateway);
                    self.count(gateway, |counts| counts.open += 1);
                }
                let response = match call.method.as_str() {
                    "POST" => {
                        self.start(&id, gateway);
                        self.poll(&id)
                    }
                    "GET" => self.poll(&id),
                    _ => response(204, "", ""),
                };
                self.count(gateway, |counts| {
                    counts.calls += 1;
                    counts.bytes_in += call.bytes as u64;
                    counts.bytes_out += response.len() as u64;
                });
                (&stream).write_all(response.as_bytes()).await?;
            }
            Ok(())
        };
        let result = serving.await;
        if let Some(gateway) = caller {
            self.count(gateway, |counts| counts.open -= 1);
        }
        result
    }
}

/// `ivypitch lab hollow-engines`: reads a [`SimulatedEngines`], then commands; ends with its input.
pub fn serve() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("simulated engines: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut first_line = String::new();
    io::stdin()
        .lock()
        .read_line(&mut first_line)
        .map_err(|e| e.to_string())?;
    let config: SimulatedEngines = serde_json::from_str(&first_line).map_err(|e| e.to_string())?;
    let executor = Rc::new(LocalExecutor::new());
    let mut engines = Vec::new();
    for (number, address) in config.listen.iter().enumerate() {
        let listener = TcpListener::bind(address).and_then(Async::new);
        let listener = listener.map_err(|e| format!("{address}: {e}"))?;
        let engine = Rc::new(Engine {
            number,
            tells_starts: config.tells_starts,
            ..Engine::default()
        });
        engines.push(engine.clone());
        let spawner = executor.clone();
        let task = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let engine = engine.clone();
                // A closed connection is not an error.
                spawner
                    .spawn(async move { drop(engine.serve_connection(stream).await) })
                    .detach();
            }
        };
        executor.spawn(task).detach();
    }
    println!("ready");
    smol::block_on(
        executor.run(super::testbed_process::handle_commands(|line| match line {
            "count" => {
                let counts: Vec<Counts> = engines
                    .iter()
                    .flat_map(|e| e.counts.borrow().values().copied().collect::<Vec<_>>())
                    .collect();
                println!(
                    "counts {}",
                    serde_json::to_string(&counts).unwrap_or_default()
                );
            }
            other => eprintln!("simulated engines: unknown command {other:?}"),
        })),
    );
    Ok(())
}
