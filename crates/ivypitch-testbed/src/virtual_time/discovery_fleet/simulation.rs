//! The simulation: its event queue and the handling of events.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use ivypitch_discovery::{EndpointWatch, WatchDecision, WatchLine};
use ivypitch_types::{MILLISECOND, Nanos, SECOND};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::gateway::{Connection, Gateway, Process};
use super::{Fleet, Outage, Verdict};

/// Connect timeout of a gateway, as in `actors/discovery.rs`.
const CONNECT_TIMEOUT: Nanos = 500 * MILLISECOND;
/// Interval in which the discovery service sends the position of its last event.
const POSITION_INTERVAL: Nanos = SECOND;
/// Size of such a message, in bytes.
const POSITION_BYTES: u64 = 12;
/// Time for which a restarting gateway is down.
const RESTART_TIME: Nanos = 3 * SECOND / 2;
/// Time of the first change.
const START: Nanos = 5 * SECOND;
/// Time after the last second of changes in which they can still arrive, in seconds.
const DELIVERY_SECONDS: u64 = 12;
/// Time until the discovery service detects the loss of a zone's engines.
const ZONE_LOSS_DETECTION_TIME: Nanos = SECOND;
/// The first second with a burst of changes.
const FIRST_BURST_SECOND: u64 = 5;
/// Interval between bursts, in seconds.
const BURST_INTERVAL_SECONDS: u64 = 10;

#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// `rows` rows of the list change in one event.
    Change {
        rows: u64,
    },
    /// The discovery service sends the position of its last event.
    Position,
    Line {
        to: Connection,
        line: WatchLine,
    },
    SilenceTimer(Connection),
    MissingEventsTimer(Connection),
    Connect(Process),
    Down {
        gateway: usize,
        until: Nanos,
    },
    Up {
        gateway: usize,
    },
    RestartRandom,
    RegionOutageBegins,
    RegionOutageEnds,
}

/// A change of the endpoint list.
#[derive(Clone, Copy)]
pub(super) struct Change {
    pub(super) made_at: Nanos,
    pub(super) bytes: u64,
}

pub(super) struct Simulation {
    pub(super) fleet: Fleet,
    pub(super) now: Nanos,
    pub(super) rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: BTreeMap<u64, Event>,
    last_serial: u64,
    pub(super) gateways: Vec<Gateway>,
    /// Changes by position, the first at position 1.
    pub(super) changes: Vec<Change>,
    pub(super) server_free_at: Vec<Nanos>,
    pub(super) bytes_by_server_second: BTreeMap<(usize, u64), u64>,
    pub(super) connects_by_second: BTreeMap<u64, u64>,
    pub(super) has_region_outage: bool,
    pub(super) verdict: Verdict,
}

impl Simulation {
    pub(super) fn new(fleet: Fleet, seed: u64) -> Simulation {
        let gateway_seed = |gateway: usize| seed ^ ((gateway as u64) << 20);
        let mut simulation = Simulation {
            fleet,
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_serial: 0,
            gateways: (0..fleet.gateways)
                .map(|gateway| Gateway::new(gateway_seed(gateway)))
                .collect(),
            changes: Vec::new(),
            server_free_at: vec![0; fleet.servers],
            bytes_by_server_second: BTreeMap::new(),
            connects_by_second: BTreeMap::new(),
            has_region_outage: false,
            verdict: Verdict::default(),
        };
        for gateway in 0..fleet.gateways {
            simulation.on_connected(gateway);
        }
        simulation.schedule_changes();
        simulation.schedule_faults();
        simulation
    }

    fn end(&self) -> Nanos {
        START + (self.fleet.seconds + DELIVERY_SECONDS) * SECOND
    }

    fn schedule_changes(&mut self) {
        for second in 0..self.fleet.seconds {
            let is_burst = second % BURST_INTERVAL_SECONDS == FIRST_BURST_SECOND;
            let changes = if is_burst { self.fleet.burst } else { 1 };
            for _ in 0..changes {
                self.schedule(START + second * SECOND, Event::Change { rows: 1 });
            }
        }
        for interval in 1..self.end() / POSITION_INTERVAL {
            let at = interval * POSITION_INTERVAL + POSITION_INTERVAL / 2;
            self.schedule(at, Event::Position);
        }
    }

    fn schedule_faults(&mut self) {
        let at = |second: u64| START + second * SECOND;
        if let Some(outage) = self.fleet.region_outage {
            self.schedule(at(outage.from_second), Event::RegionOutageBegins);
            self.schedule(at(outage.until_second), Event::RegionOutageEnds);
        }
        if let Some(Outage {
            from_second,
            until_second,
        }) = self.fleet.zone_outage
        {
            self.schedule_zone_outage(at(from_second), at(until_second));
        }
        if self.fleet.restarts_per_second > 0.0 {
            self.schedule(START, Event::RestartRandom);
        }
    }

    /// Takes zone 1 down and up again; its engines return together with its gateways.
    fn schedule_zone_outage(&mut self, from: Nanos, until: Nanos) {
        for gateway in 0..self.fleet.gateways {
            if gateway % self.fleet.zones == 1 {
                self.schedule(from, Event::Down { gateway, until });
            }
        }
        let rows = self.fleet.zone_rows;
        self.schedule(from + ZONE_LOSS_DETECTION_TIME, Event::Change { rows });
        self.schedule(until, Event::Change { rows });
    }

    pub(super) fn schedule(&mut self, at: Nanos, event: Event) {
        self.last_serial += 1;
        self.events.insert(self.last_serial, event);
        self.queue.push(Reverse((at, self.last_serial)));
    }

    pub(super) fn schedule_connect(&mut self, gateway: usize, after: Nanos) {
        let process = Process {
            gateway,
            serial: self.gateways[gateway].process,
        };
        self.schedule(self.now + after, Event::Connect(process));
    }

    pub(super) fn change(&self, position: u64) -> Change {
        self.changes[position as usize - 1]
    }

    pub(super) fn run(mut self) -> Verdict {
        let end = self.end();
        while let Some(Reverse((at, serial))) = self.queue.pop()
            && at <= end
        {
            self.now = at;
            if let Some(event) = self.events.remove(&serial) {
                self.on_event(event);
            }
        }
        self.into_verdict()
    }

    fn into_verdict(self) -> Verdict {
        let changes = self.changes.len() as u64;
        let is_behind = |gateway: &&Gateway| gateway.watch.last_position() < changes;
        let behind = self.gateways.iter().filter(is_behind).count() as u64;
        let mut verdict = self.verdict;
        verdict.changes = changes;
        verdict.behind = behind;
        verdict.peak_server_bytes = max_value(&self.bytes_by_server_second);
        verdict.peak_connects = max_value(&self.connects_by_second);
        verdict.latencies_ms.sort_unstable();
        verdict
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Change { rows } => self.on_change(rows),
            Event::Position => {
                let position = WatchLine::LastPosition(self.changes.len() as u64);
                self.send_to_all(position, POSITION_BYTES);
            }
            Event::Line { to, line } => self.on_line(to, line),
            Event::SilenceTimer(connection) => self.on_silence_timer(connection),
            Event::MissingEventsTimer(connection) => self.on_missing_events_timer(connection),
            Event::Connect(process) => self.connect(process),
            Event::Down { gateway, until } => self.on_down(gateway, until),
            Event::Up { gateway } => self.on_up(gateway),
            Event::RestartRandom => self.restart_random(),
            Event::RegionOutageBegins => self.has_region_outage = true,
            Event::RegionOutageEnds => self.on_region_outage_ended(),
        }
    }

    fn on_change(&mut self, rows: u64) {
        let bytes = self.fleet.change_bytes * rows;
        let made_at = self.now;
        self.changes.push(Change { made_at, bytes });
        let position = self.changes.len() as u64;
        self.send_to_all(WatchLine::Event(position), bytes);
    }

    fn on_line(&mut self, to: Connection, line: WatchLine) {
        let now = self.now;
        if !self.gateways[to.gateway].is_current(to) || self.is_partitioned(to.gateway) {
            return;
        }
        self.postpone_silence(to.gateway);
        let gateway = &mut self.gateways[to.gateway];
        if std::mem::take(&mut gateway.needs_list) {
            gateway.apply(now, self.fleet.apply_list);
        }
        match (gateway.watch.on_line(now, line), line) {
            (WatchDecision::Accept | WatchDecision::AcceptOverGap, WatchLine::Event(position)) => {
                gateway.apply(now, self.fleet.apply_change);
                let applied_at = gateway.busy_until;
                let reachable_since = gateway.reachable_since;
                let made_at = self.change(position).made_at;
                let latency = applied_at - made_at.max(reachable_since);
                self.verdict
                    .latencies_ms
                    .push((latency / MILLISECOND) as u32);
            }
            (WatchDecision::Resubscribe, _) => self.on_disconnected(to.gateway),
            _ => {
                if let Some(deadline) = gateway.watch.missing_events_deadline() {
                    self.schedule(deadline, Event::MissingEventsTimer(to));
                }
            }
        }
    }

    fn on_silence_timer(&mut self, connection: Connection) {
        let gateway = &self.gateways[connection.gateway];
        if !gateway.is_current(connection) {
            return;
        }
        let silent_at = gateway.silent_at;
        if self.now < silent_at {
            self.schedule(silent_at, Event::SilenceTimer(connection));
        } else {
            self.on_disconnected(connection.gateway);
        }
    }

    fn on_missing_events_timer(&mut self, connection: Connection) {
        let gateway = &mut self.gateways[connection.gateway];
        let has_expired = gateway
            .watch
            .missing_events_deadline()
            .is_some_and(|deadline| deadline <= self.now);
        if gateway.is_current(connection) && has_expired {
            gateway.watch.on_events_missing();
            self.on_disconnected(connection.gateway);
        }
    }

    fn connect(&mut self, process: Process) {
        let is_partitioned = self.is_partitioned(process.gateway);
        let gateway = &mut self.gateways[process.gateway];
        if !gateway.is_up || gateway.process != process.serial || gateway.is_connected {
            return;
        }
        if is_partitioned {
            let retry_after = CONNECT_TIMEOUT + gateway.watch.next_backoff();
            self.schedule_connect(process.gateway, retry_after);
        } else {
            self.on_connected(process.gateway);
        }
    }

    fn on_down(&mut self, gateway: usize, until: Nanos) {
        let down = &mut self.gateways[gateway];
        if !down.is_up {
            return;
        }
        down.is_up = false;
        down.is_connected = false;
        down.connection += 1;
        down.process += 1;
        self.schedule(until, Event::Up { gateway });
    }

    fn on_up(&mut self, gateway: usize) {
        let seed = self.rng.random();
        let up = &mut self.gateways[gateway];
        up.is_up = true;
        up.watch = EndpointWatch::new(0, seed);
        up.reachable_since = self.now;
        up.busy_until = self.now;
        up.needs_list = true;
        self.schedule_connect(gateway, 0);
    }

    fn restart_random(&mut self) {
        let gateway = self.rng.random_range(0..self.gateways.len());
        self.verdict.restarts += 1;
        let until = self.now + RESTART_TIME;
        self.schedule(self.now, Event::Down { gateway, until });
        let interval = SECOND as f64 / self.fleet.restarts_per_second;
        let next = self.now + interval as Nanos;
        if next < START + self.fleet.seconds * SECOND {
            self.schedule(next, Event::RestartRandom);
        }
    }

    fn on_region_outage_ended(&mut self) {
        self.has_region_outage = false;
        for gateway in 0..self.gateways.len() {
            if self.region(gateway) == 0 {
                let reachable_since = &mut self.gateways[gateway].reachable_since;
                *reachable_since = self.now.max(*reachable_since);
            }
        }
    }
}

fn max_value<K>(counts: &BTreeMap<K, u64>) -> u64 {
    counts.values().copied().max().unwrap_or(0)
}
