//! Hollow engines: many in one process, each at an address of its own on loopback, with the platform's protocol and no
//! work: a query ends well as it comes, and is known for 2 s. They count connections, calls and bytes; who asks is read
//! from the id, whose highest byte is the gateway to which its client took it.

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
use super::loopback_run::{answer, next_call};

const KNOWN_FOR: Duration = Duration::from_secs(2);

/// One line of JSON: the process' first.
#[derive(Debug, Serialize, Deserialize)]
pub struct SimulatedEngines {
    pub listen: Vec<SocketAddr>,
    /// A line for each start: `TIME start ENGINE ID`.
    pub tells_starts: bool,
}

/// Of one engine with one gateway, on the order `count`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub engine: usize,
    pub gateway: usize,
    pub starts: u64,
    pub calls: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// Connections that are open now.
    pub open: u64,
}

/// The gateway to which this statement's client went.
pub fn gateway_of_id(id: &str) -> usize {
    u64::from_str_radix(id, 16).map_or(0, |id| (id >> 56) as usize)
}

pub fn id_for_gateway(gateway: usize, number: u64) -> u64 {
    (gateway as u64) << 56 | number
}

/// Ids that have ended, and the same in order of time. Emptied 2 s after their end.
#[derive(Default)]
struct Known {
    ids: BTreeSet<String>,
    order: VecDeque<(Instant, String)>,
}

#[derive(Default)]
struct Engine {
    number: usize,
    known: RefCell<Known>,
    counts: RefCell<BTreeMap<usize, Counts>>,
    tells_starts: bool,
}

impl Engine {
    fn count(&self, gateway: usize, change: impl FnOnce(&mut Counts)) {
        let fresh = Counts {
            engine: self.number,
            gateway,
            ..Counts::default()
        };
        change(self.counts.borrow_mut().entry(gateway).or_insert(fresh));
    }

    fn knows(&self, id: &str) -> bool {
        let Known { ids, order } = &mut *self.known.borrow_mut();
        while let Some((_, old)) = order.pop_front_if(|(at, _)| at.elapsed() > KNOWN_FOR) {
            ids.remove(&old);
        }
        ids.contains(id)
    }

    fn start(&self, id: &str, gateway: usize) {
        if self.knows(id) {
            return;
        }
        let Known { ids, order } = &mut *self.known.borrow_mut();
        ids.insert(id.to_owned());
        order.push_back((Instant::now(), id.to_owned()));
        self.count(gateway, |counts| counts.starts += 1);
        if self.tells_starts {
            println!("{} start {} {id}", timestamp_us(), self.number);
        }
    }

    fn news(&self, id: &str) -> String {
        if !self.knows(id) {
            return answer(500, "", "");
        }
        let head = "Page-Count: 1\r\nWork-Ms: 1.0\r\nPeak-Mb: 16\r\nSrv-Load: waiting:0;active:1;x0:0.1\r\n";
        answer(200, head, &format!("{id}\tb\tc\n"))
    }

    /// One connection, of the gateway that its first call names.
    async fn converse(&self, stream: Async<TcpStream>) -> io::Result<()> {
        let _ = stream.get_ref().set_nodelay(true);
        let mut input = BytesMut::new();
        let mut by = None;
        let conversing = async {
            while let Some(call) = next_call(&stream, &mut input).await? {
                let id = match call.method.as_str() {
                    "POST" => call.header("Via-Id"),
                    _ => call.path.split('/').nth(2).unwrap_or_default().to_owned(),
                };
                let gateway = gateway_of_id(&id);
                if by.is_none() {
                    by = Some(gateway);
                    self.count(gateway, |counts| counts.open += 1);
                }
                let said = match call.method.as_str() {
                    "POST" => {
                        self.start(&id, gateway);
                        self.news(&id)
                    }
                    "GET" => self.news(&id),
                    _ => answer(204, "", ""),
                };
                self.count(gateway, |counts| {
                    counts.calls += 1;
                    counts.bytes_in += call.bytes as u64;
                    counts.bytes_out += said.len() as u64;
                });
                (&stream).write_all(said.as_bytes()).await?;
            }
            Ok(())
        };
        let result = conversing.await;
        if let Some(gateway) = by {
            self.count(gateway, |counts| counts.open -= 1);
        }
        result
    }
}

/// `ivypitch lab hollow-engines`: a [`Park`] on the first line, then orders; ends as they end.
pub fn serve() -> ExitCode {
    match served() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("hollow engines: {e}");
            ExitCode::FAILURE
        }
    }
}

fn served() -> Result<(), String> {
    let mut first = String::new();
    io::stdin()
        .lock()
        .read_line(&mut first)
        .map_err(|e| e.to_string())?;
    let park: SimulatedEngines = serde_json::from_str(&first).map_err(|e| e.to_string())?;
    let executor = Rc::new(LocalExecutor::new());
    let mut engines = Vec::new();
    for (number, address) in park.listen.iter().enumerate() {
        let listener = TcpListener::bind(address).and_then(Async::new);
        let listener = listener.map_err(|e| format!("{address}: {e}"))?;
        let engine = Rc::new(Engine {
            number,
            tells_starts: park.tells_starts,
            ..Engine::default()
        });
        engines.push(engine.clone());
        let on = executor.clone();
        let task = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let engine = engine.clone();
                // A gateway that has gone is no fault here.
                on.spawn(async move { drop(engine.converse(stream).await) })
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
            other => eprintln!("hollow engines: {other:?} not understood"),
        })),
    );
    Ok(())
}
