//! The journal's changes on their way to a whole fleet: each gateway's real watch over connections with loss and
//! restarts, with a region cut off or a zone lost, from servers that share the connections evenly. Counted: from the
//! journal's event until each gateway that can be reached acts by it.
//!
//! Taken as given: a lost segment comes again after 0.2 s, twice that after a second loss, and so on, and holds up what
//! is behind it; a connection over which nothing came for 2 s is given up (`actors/discovery.rs`); the module takes
//! [`Fleet::act`] for each change, one after the other; who restarts is told a whole list first, and all changes behind it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use ivypitch_discovery::{EndpointWatch, WatchDecision, WatchLine};
use ivypitch_types::{Nanos, SECOND};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: Nanos = 1_000_000;
/// As in `actors/discovery.rs`.
const SILENT: Nanos = 2 * SECOND;
const CONNECT: Nanos = 500 * MS;
const COMES_AGAIN: Nanos = 200 * MS;
/// The number of the last event, once a second.
const LAST: Nanos = SECOND;
const LAST_BYTES: u64 = 12;
/// A gateway that is restarted is away for so long.
const AWAY: Nanos = 3 * SECOND / 2;

#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub gateways: usize,
    pub zones: usize,
    pub regions: usize,
    /// Machines that serve the journal, each with so many bytes a second.
    pub servers: usize,
    pub bytes_a_second: f64,
    /// Part of the segments that are lost.
    pub loss: f64,
    /// Seconds with a change each, a burst of so many in every tenth of them.
    pub seconds: u64,
    pub burst: usize,
    /// Bytes of a change, and of the whole list.
    pub change: u64,
    pub whole_list: u64,
    /// Rows of a zone, told in one change as it is lost and as it is back.
    pub zone_rows: u64,
    /// The module takes so long for a change, and for a whole list.
    pub act: Nanos,
    pub act_whole: Nanos,
    /// Restarts of gateways a second.
    pub restarts: f64,
    /// Seconds from and to which region 0 reaches nobody, and zone 1 is gone; the same: never.
    pub cut: (u64, u64),
    pub zone_lost: (u64, u64),
}

#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Reached {
    pub changes: u64,
    /// Milliseconds, sorted: each change at each gateway that could be reached.
    #[serde(skip)]
    pub times: Vec<u32>,
    /// Gateways that at the end do not act by the last change.
    pub behind: u64,
    pub restarts: u64,
    /// Bytes from all servers, and of the busiest in its busiest second.
    pub bytes: u64,
    pub busiest_server_s: u64,
    pub connects: u64,
    pub busiest_connects_s: u64,
}

impl Reached {
    pub fn ms(&self, quantile: f64) -> u32 {
        let last = self.times.len().saturating_sub(1);
        self.times
            .get((last as f64 * quantile).round() as usize)
            .copied()
            .unwrap_or(0)
    }
}

#[derive(Clone, Copy, Debug)]
enum What {
    /// That many rows change.
    Change(u64),
    Last,
    Line {
        to: usize,
        connection: u64,
        line: WatchLine,
    },
    Silent {
        at: usize,
        connection: u64,
    },
    Ahead {
        at: usize,
        connection: u64,
    },
    Connect {
        at: usize,
        process: u64,
    },
    Down {
        at: usize,
        until: Nanos,
    },
    Up {
        at: usize,
    },
    RestartOne,
    Cut(bool),
}

struct Node {
    watch: EndpointWatch,
    /// Counts connections and processes; what is of an older one is passed over.
    connection: u64,
    process: u64,
    /// It began anew and has not been told the whole list yet.
    anew: bool,
    connected: bool,
    up: bool,
    /// Since when it can be reached.
    since: Nanos,
    silent_at: Nanos,
    last_arrival: Nanos,
    busy: Nanos,
}

struct Sim {
    fleet: Fleet,
    now: Nanos,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: BTreeMap<u64, What>,
    serial: u64,
    nodes: Vec<Node>,
    /// When each change was made, its bytes.
    changes: Vec<(Nanos, u64)>,
    free: Vec<Nanos>,
    sent: BTreeMap<(usize, u64), u64>,
    connects: BTreeMap<u64, u64>,
    is_cut: bool,
    reached: Reached,
}

pub fn play(fleet: Fleet, seed: u64) -> Reached {
    let watch = |g: usize| EndpointWatch::new(0, seed ^ (g as u64) << 20);
    let node = |g: usize| Node {
        watch: watch(g),
        connection: 0,
        process: 0,
        anew: false,
        connected: false,
        up: true,
        since: 0,
        silent_at: 0,
        last_arrival: 0,
        busy: 0,
    };
    let mut sim = Sim {
        fleet,
        now: 0,
        rng: ChaCha8Rng::seed_from_u64(seed),
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        serial: 0,
        nodes: (0..fleet.gateways).map(node).collect(),
        changes: Vec::new(),
        free: vec![0; fleet.servers],
        sent: BTreeMap::new(),
        connects: BTreeMap::new(),
        is_cut: false,
        reached: Reached::default(),
    };
    for g in 0..fleet.gateways {
        sim.connected(g);
    }
    let begin = 5 * SECOND;
    for second in 0..fleet.seconds {
        let at = begin + second * SECOND;
        let changes = if second % 10 == 5 { fleet.burst } else { 1 };
        (0..changes).for_each(|_| sim.at(at, What::Change(1)));
    }
    let end = begin + (fleet.seconds + 12) * SECOND;
    (1..end / LAST).for_each(|second| sim.at(second * LAST + LAST / 2, What::Last));
    if fleet.cut.1 > fleet.cut.0 {
        sim.at(begin + fleet.cut.0 * SECOND, What::Cut(true));
        sim.at(begin + fleet.cut.1 * SECOND, What::Cut(false));
    }
    if fleet.zone_lost.1 > fleet.zone_lost.0 {
        let (from, until) = (
            begin + fleet.zone_lost.0 * SECOND,
            begin + fleet.zone_lost.1 * SECOND,
        );
        (0..fleet.gateways)
            .filter(|g| g % fleet.zones == 1)
            .for_each(|at| sim.at(from, What::Down { at, until }));
        // The engines' loss is known a second later, and they are back with the gateways.
        sim.at(from + SECOND, What::Change(fleet.zone_rows));
        sim.at(until, What::Change(fleet.zone_rows));
    }
    if fleet.restarts > 0.0 {
        sim.at(begin, What::RestartOne);
    }
    let last_restart = begin + fleet.seconds * SECOND;
    while let Some(Reverse((at, serial))) = sim.queue.pop().filter(|Reverse((at, _))| *at <= end) {
        sim.now = at;
        if let Some(what) = sim.events.remove(&serial) {
            sim.take(what, last_restart);
        }
    }
    let last = sim.changes.len() as u64;
    sim.reached.behind = sim
        .nodes
        .iter()
        .filter(|node| node.watch.last_position() < last)
        .count() as u64;
    sim.reached.changes = last;
    sim.reached.busiest_server_s = sim.sent.values().copied().max().unwrap_or(0);
    sim.reached.busiest_connects_s = sim.connects.values().copied().max().unwrap_or(0);
    sim.reached.times.sort_unstable();
    sim.reached
}

impl Sim {
    fn at(&mut self, at: Nanos, what: What) {
        self.serial += 1;
        self.events.insert(self.serial, what);
        self.queue.push(Reverse((at, self.serial)));
    }

    fn region(&self, g: usize) -> usize {
        g % self.fleet.zones % self.fleet.regions
    }

    fn is_apart(&self, g: usize) -> bool {
        self.is_cut && self.region(g) == 0
    }

    /// Milliseconds one way: near the server, or in another region.
    fn way(&mut self, g: usize) -> Nanos {
        let far = 10 * self.region(g) as u64;
        (far * MS) + self.rng.random_range(MS / 5..3 * MS)
    }

    fn send(&mut self, to: usize, line: WatchLine, bytes: u64) {
        let server = to % self.fleet.servers;
        let takes = (bytes as f64 / self.fleet.bytes_a_second * SECOND as f64) as Nanos;
        let leaves = self.free[server].max(self.now) + takes;
        self.free[server] = leaves;
        self.reached.bytes += bytes;
        *self.sent.entry((server, leaves / SECOND)).or_default() += bytes;
        let mut arrives = leaves + self.way(to);
        let mut again = COMES_AGAIN;
        while self.rng.random_bool(self.fleet.loss) {
            arrives += again;
            again *= 2;
        }
        let node = &mut self.nodes[to];
        arrives = arrives.max(node.last_arrival + 1);
        node.last_arrival = arrives;
        let connection = node.connection;
        self.at(
            arrives,
            What::Line {
                to,
                connection,
                line,
            },
        );
    }

    /// A connection stands: what is behind the last event held comes at once.
    fn connected(&mut self, g: usize) {
        *self.connects.entry(self.now / SECOND).or_default() += 1;
        self.reached.connects += 1;
        let now = self.now;
        let node = &mut self.nodes[g];
        node.watch.on_subscribed();
        node.connected = true;
        (node.silent_at, node.last_arrival) = (now + SILENT, now);
        let (from, connection, silent_at) =
            (node.watch.last_position(), node.connection, node.silent_at);
        self.at(silent_at, What::Silent { at: g, connection });
        if self.nodes[g].anew {
            self.send(g, WatchLine::LastPosition(0), self.fleet.whole_list);
        }
        for number in from + 1..=self.changes.len() as u64 {
            let bytes = self.changes[number as usize - 1].1;
            self.send(g, WatchLine::Event(number), bytes);
        }
    }

    /// The connection is over; the watch says when the next one is tried.
    fn lost(&mut self, g: usize) {
        let node = &mut self.nodes[g];
        (node.connected, node.connection) = (false, node.connection + 1);
        let (wait, process) = (node.watch.next_backoff(), node.process);
        self.at(self.now + wait, What::Connect { at: g, process });
    }

    fn take(&mut self, what: What, last_restart: Nanos) {
        let now = self.now;
        match what {
            What::Change(rows) => {
                let bytes = self.fleet.change * rows;
                self.changes.push((now, bytes));
                self.tell_all(WatchLine::Event(self.changes.len() as u64), bytes);
            }
            What::Last => self.tell_all(
                WatchLine::LastPosition(self.changes.len() as u64),
                LAST_BYTES,
            ),
            What::Line {
                to,
                connection,
                line,
            } => {
                let apart = self.is_apart(to);
                let node = &mut self.nodes[to];
                if !node.up || node.connection != connection || apart {
                    return;
                }
                node.silent_at = now + SILENT;
                if std::mem::take(&mut node.anew) {
                    node.busy = node.busy.max(now) + self.fleet.act_whole;
                }
                match (node.watch.on_line(now, line), line) {
                    (
                        WatchDecision::Accept | WatchDecision::AcceptOverGap,
                        WatchLine::Event(number),
                    ) => {
                        node.busy = node.busy.max(now) + self.fleet.act;
                        let made = self.changes[number as usize - 1].0;
                        let took = node.busy - made.max(node.since);
                        self.reached.times.push((took / MS) as u32);
                    }
                    (WatchDecision::Resubscribe, _) => self.lost(to),
                    _ => {
                        if let Some(until) = node.watch.missing_events_deadline() {
                            self.at(until, What::Ahead { at: to, connection });
                        }
                    }
                }
            }
            What::Silent { at, connection } => {
                let node = &self.nodes[at];
                if !node.up || node.connection != connection {
                    return;
                }
                if now < node.silent_at {
                    let again = node.silent_at;
                    self.at(again, What::Silent { at, connection });
                } else {
                    self.lost(at);
                }
            }
            What::Ahead { at, connection } => {
                let node = &mut self.nodes[at];
                let is_late = node
                    .watch
                    .missing_events_deadline()
                    .is_some_and(|until| until <= now);
                if node.up && node.connection == connection && is_late {
                    node.watch.on_events_missing();
                    self.lost(at);
                }
            }
            What::Connect { at, process } => {
                if !self.nodes[at].up
                    || self.nodes[at].process != process
                    || self.nodes[at].connected
                {
                    return;
                }
                if self.is_apart(at) {
                    let again = now + CONNECT + self.nodes[at].watch.next_backoff();
                    self.at(again, What::Connect { at, process });
                } else {
                    self.connected(at);
                }
            }
            What::Down { at, until } => {
                let node = &mut self.nodes[at];
                if node.up {
                    (node.up, node.connected) = (false, false);
                    (node.connection, node.process) = (node.connection + 1, node.process + 1);
                    self.at(until, What::Up { at });
                }
            }
            What::Up { at } => {
                let seed = self.rng.random();
                let node = &mut self.nodes[at];
                (node.up, node.watch, node.since, node.busy) =
                    (true, EndpointWatch::new(0, seed), now, now);
                node.anew = true;
                let process = node.process;
                self.at(now, What::Connect { at, process });
            }
            What::RestartOne => {
                let at = self.rng.random_range(0..self.nodes.len());
                self.reached.restarts += 1;
                self.at(
                    now,
                    What::Down {
                        at,
                        until: now + AWAY,
                    },
                );
                let next = now + (SECOND as f64 / self.fleet.restarts) as Nanos;
                if next < last_restart {
                    self.at(next, What::RestartOne);
                }
            }
            What::Cut(is_cut) => {
                self.is_cut = is_cut;
                if !is_cut {
                    let apart: Vec<usize> = (0..self.nodes.len())
                        .filter(|&g| self.region(g) == 0)
                        .collect();
                    apart
                        .into_iter()
                        .for_each(|g| self.nodes[g].since = self.nodes[g].since.max(now));
                }
            }
        }
    }

    fn tell_all(&mut self, line: WatchLine, bytes: u64) {
        for g in 0..self.nodes.len() {
            if self.nodes[g].up && self.nodes[g].connected {
                self.send(g, line, bytes);
            }
        }
    }
}
