//! What gateways share, in virtual time: the deciding crate of a whole fleet over a fault plan, demand that is uneven and
//! moves, engines that fail and come back. Bounds are counted where they are used, not by any member's own word.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use ivypitch_coordination::{
    AttemptHealth, CoordinationConfig, CoordinationMessage, CoordinationOutput, Coordinator,
    CoordinatorParams, GossipMessage, QuotaIndex, QuotaLeaseConfig, SharedQuotaConfig,
};
use ivypitch_gateway::wire::peer_frames::{Frame, encode_frame, encode_gossip};
use ivypitch_scheduler::OutlierStatus;
use ivypitch_types::{Incarnation, MemberId, Nanos, ProcessId, SECOND};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::virtual_time::faults::{Fault, Field, Plan, What};

const MS: Nanos = 1_000_000;
/// The bound that is a level, and the one that is counted over a window.
const LEVEL: QuotaIndex = QuotaIndex(0);
const WINDOW: QuotaIndex = QuotaIndex(1);
const UNITS_PER_MEMBER: u32 = 100;
const STEP: Nanos = 20 * MS;

#[derive(Clone, Debug)]
pub struct Fleet {
    pub gateways: usize,
    pub zones: usize,
    pub engines: usize,
    /// Milliseconds.
    pub span: u64,
    pub fault_gap: u64,
    /// Statements a second of a gateway in the mean.
    pub rate: f64,
    /// Part of the datagrams that are lost.
    pub drop: f64,
    /// False: even parts and own judgements.
    pub shares: bool,
    /// One in ten gateways asks for ten times as much as the others; who does changes in the middle.
    pub uneven: bool,
    /// Engines that fail from a third of the span to two thirds.
    pub failing: usize,
    /// One member sees all engines as failing, another sees failing ones as good, half can't reach one engine.
    pub liars: bool,
    pub clocks_apart: bool,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            gateways: 30,
            zones: 3,
            engines: 20,
            span: 9_000,
            fault_gap: 700,
            rate: 20.0,
            drop: 0.05,
            shares: true,
            uneven: true,
            failing: 2,
            liars: false,
            clocks_apart: true,
        }
    }
}

pub fn draw(fleet: &Fleet, seed: u64) -> Plan {
    let field = Field {
        gateways: fleet.gateways,
        zones: fleet.zones,
        engines: fleet.engines,
        span: fleet.span,
        gap: fleet.fault_gap,
        losses_only: false,
    };
    Plan::draw(field, seed)
}

#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Verdict {
    /// Instants at which all held more than the bound, and windows in which more was spent.
    pub passed_level: u64,
    pub passed_window: u64,
    /// The most that was held, and spent within a window, as a part of the bound.
    pub max_open_statements: f64,
    pub most_spent: f64,
    pub under_floor: u64,
    /// Of what was asked for and would fit the bound, the part that could be used, from 2 s on.
    pub usable: f64,
    /// Milliseconds from an engine's failure until 99 in 100 gateways send it nothing but trials, and from its return
    /// until 99 in 100 use it again.
    pub out_ms: u64,
    pub back_ms: u64,
    /// The most that was sent to a returned engine in a quarter second, over its usual.
    pub herd: f64,
    /// Statements sent to a failing engine, as a part of all.
    pub lost: f64,
    /// Engines that were left out by some gateway though nothing was wrong, in engine-seconds a gateway.
    pub falsely_out: f64,
    /// Bytes and messages a gateway a second.
    pub gossip_bytes: f64,
    pub link_bytes: f64,
    pub sent: u64,
}

impl Verdict {
    pub fn holds(&self) -> bool {
        self.passed_level + self.passed_window + self.under_floor == 0
    }
}

enum Event {
    Say {
        to: usize,
        birth: u64,
        from: usize,
        from_birth: u64,
        message: CoordinationMessage,
    },
    Gossip {
        to: usize,
        birth: u64,
        gossip: GossipMessage,
    },
    Wake {
        at: usize,
        birth: u64,
    },
    Look {
        by: usize,
        at: usize,
    },
    Step,
    Fault(Fault),
    Heal(Fault),
    Restart(usize),
    Send {
        by: usize,
        birth: u64,
    },
    Over {
        by: usize,
        birth: u64,
        engine: usize,
        health: AttemptHealth,
    },
}

#[derive(Default)]
struct Acts(Vec<Act>);

enum Act {
    Say(u16, CoordinationMessage),
    Gossip(u16, GossipMessage),
    Advise(u64, OutlierStatus),
}

impl CoordinationOutput for Acts {
    fn send(&mut self, to: MemberId, message: CoordinationMessage) {
        self.0.push(Act::Say(to.0, message));
    }
    fn send_gossip(&mut self, to: MemberId, gossip: GossipMessage) {
        self.0.push(Act::Gossip(to.0, gossip));
    }
    fn on_quota_changed(&mut self, _quota: QuotaIndex, _share: f64) {}
    fn on_outlier_status(&mut self, engine: u64, advice: OutlierStatus) {
        self.0.push(Act::Advise(engine, advice));
    }
    fn on_endpoint_event(&mut self, _number: u64, _line: &[u8]) {}
    fn log(&mut self, _line: &str) {}
}

struct Node {
    shares: Coordinator,
    birth: u64,
    /// Its clock, over the true one.
    rate: f64,
    began: Nanos,
    up: bool,
    stopped: bool,
    held_back: Vec<Event>,
    view: Vec<Option<u64>>,
    wake: Nanos,
    /// What it would use of the level bound, in units; and of the window bound, a second.
    level: f64,
    spends: f64,
    owed: f64,
    sends: f64,
    advice: BTreeMap<u64, OutlierStatus>,
    /// Own judgement, as the module's: the last few outcomes by engine, and when a failing one is tried again.
    own: BTreeMap<usize, VecDeque<(Nanos, bool)>>,
    failing: BTreeSet<usize>,
    next_trial: BTreeMap<usize, Nanos>,
    /// Own sends since one was a trial.
    since_trial: u32,
}

struct Sim<'a> {
    fleet: &'a Fleet,
    now: Nanos,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: BTreeMap<u64, Event>,
    serial: u64,
    nodes: Vec<Node>,
    births: u64,
    cuts: BTreeMap<(usize, usize), u32>,
    mute: BTreeMap<(usize, usize), u32>,
    late: BTreeMap<(usize, usize), Nanos>,
    last_on_link: BTreeMap<(usize, usize), Nanos>,
    bad: BTreeSet<usize>,
    verdict: Verdict,
    /// Spent of the window bound: when and how much.
    spent: VecDeque<(Nanos, u32)>,
    in_window: u32,
    asked: f64,
    used: f64,
    sent_bad: u64,
    /// Sends to each engine in the current quarter second, and the usual.
    quarter: Vec<u32>,
    out_at: Option<Nanos>,
    back_at: Option<Nanos>,
    false_out: f64,
    /// Asked for and used, by quarter second; only where it is to be printed.
    series: Vec<(f64, f64)>,
    trace: bool,
}

const LEASE_DURATION: Nanos = 2 * SECOND;
const WINDOW_SPAN: Nanos = SECOND;

pub fn terms(gateways: usize) -> CoordinationConfig {
    let quota = |name: &str, window| SharedQuotaConfig {
        name: name.into(),
        leases: QuotaLeaseConfig {
            total_units: UNITS_PER_MEMBER * gateways as u32,
            members: gateways as u16,
            reserved_fraction: 0.1,
            spend_window: window,
            lease_duration: LEASE_DURATION,
            max_clock_drift: 0.01,
        },
        demand_window: window,
    };
    CoordinationConfig {
        quotas: vec![quota("level", 0), quota("window", WINDOW_SPAN)],
        gossip_bytes_per_second: 40_000.0,
        max_engines: 200,
        max_events: 256,
        max_event_bytes: 1 << 20,
    }
}

fn process(member: usize, birth: u64) -> ProcessId {
    ProcessId {
        member: MemberId(member as u16),
        incarnation: Incarnation(birth),
    }
}

fn id(engine: usize) -> u64 {
    1000 + engine as u64
}

pub fn play(fleet: &Fleet, plan: &Plan, seed: u64) -> Verdict {
    // The first processes began long ago.
    let first = 20 * SECOND;
    let mut sim = Sim {
        fleet,
        now: 0,
        rng: ChaCha8Rng::seed_from_u64(seed),
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        serial: 0,
        nodes: Vec::new(),
        births: 0,
        cuts: BTreeMap::new(),
        mute: BTreeMap::new(),
        late: BTreeMap::new(),
        last_on_link: BTreeMap::new(),
        bad: BTreeSet::new(),
        verdict: Verdict::default(),
        spent: VecDeque::new(),
        in_window: 0,
        asked: 0.0,
        used: 0.0,
        sent_bad: 0,
        quarter: vec![0; fleet.engines],
        out_at: None,
        back_at: None,
        false_out: 0.0,
        series: Vec::new(),
        trace: std::env::var_os("IVYPITCH_LAB_TRACE").is_some(),
    };
    for g in 0..fleet.gateways {
        let node = sim.new_node(g, 0);
        sim.nodes.push(node);
    }
    sim.now = first;
    // All hear all, and have had the time to be whole.
    for by in 0..fleet.gateways {
        for step in 1..=30 {
            let at = sim.clock(by, first * step / 30);
            let mut acts = Acts::default();
            sim.nodes[by].shares.set_demand_level(at, LEVEL, 0.0);
            sim.nodes[by].shares.on_timer(at, &mut acts);
        }
        for at in (0..fleet.gateways).filter(|&at| at != by) {
            let (now, birth) = (sim.clock(by, first), sim.nodes[at].birth);
            sim.nodes[by].view[at] = Some(birth);
            sim.nodes[by]
                .shares
                .on_member_up(now, process(at, birth), &mut Acts::default());
        }
        let birth = sim.nodes[by].birth;
        sim.at(first + 1 + by as u64, Event::Wake { at: by, birth });
        sim.at(first + 1 + by as u64, Event::Send { by, birth });
    }
    sim.draw_demand(false);
    sim.at(first, Event::Step);
    for fault in &plan.faults {
        sim.at(first + fault.at * MS, Event::Fault(*fault));
    }
    sim.run(first)
}

impl Sim<'_> {
    fn at(&mut self, at: Nanos, event: Event) {
        self.serial += 1;
        self.events.insert(self.serial, event);
        self.queue.push(Reverse((at, self.serial)));
    }

    fn clock(&self, g: usize, at: Nanos) -> Nanos {
        let node = &self.nodes[g];
        node.began + ((at.saturating_sub(node.began)) as f64 * node.rate) as Nanos
    }

    fn true_time(&self, g: usize, local: Nanos) -> Nanos {
        let node = &self.nodes[g];
        if local == Nanos::MAX {
            return Nanos::MAX;
        }
        node.began + (local.saturating_sub(node.began) as f64 / node.rate) as Nanos + 1
    }

    fn new_node(&mut self, g: usize, began: Nanos) -> Node {
        self.births += 1;
        let birth = self.births;
        let zones = (0..self.fleet.gateways)
            .map(|g| (g % self.fleet.zones) as u16)
            .collect();
        let mut shares = Coordinator::new(CoordinatorParams {
            process: process(g, birth),
            zones,
            config: terms(self.fleet.gateways),
            last_event: 1,
            seed: 7,
            now: began,
        });
        let listed: Vec<u64> = (0..self.fleet.engines).map(id).collect();
        shares.set_ready_engines(&listed);
        let rate = if self.fleet.clocks_apart {
            0.995 + 0.01 * (g % 11) as f64 / 10.0
        } else {
            1.0
        };
        Node {
            shares,
            birth,
            rate,
            began,
            up: true,
            stopped: false,
            held_back: Vec::new(),
            view: vec![None; self.fleet.gateways],
            wake: Nanos::MAX,
            level: 0.0,
            spends: 0.0,
            owed: 0.0,
            sends: self.fleet.rate,
            advice: BTreeMap::new(),
            own: BTreeMap::new(),
            failing: BTreeSet::new(),
            next_trial: BTreeMap::new(),
            since_trial: 16,
        }
    }

    /// Who asks for how much: nine tenths of the bound in all.
    fn draw_demand(&mut self, moved: bool) {
        let n = self.fleet.gateways;
        let heavy =
            |g: usize| self.fleet.uneven && (g + if moved { 5 } else { 0 }).is_multiple_of(10);
        let weights: Vec<f64> = (0..n).map(|g| if heavy(g) { 10.0 } else { 1.0 }).collect();
        let all: f64 = weights.iter().sum();
        let units = f64::from(UNITS_PER_MEMBER) * n as f64;
        for (node, weight) in self.nodes.iter_mut().zip(weights) {
            node.level = 0.9 * units * weight / all;
            node.spends = 0.8 * units * weight / all * SECOND as f64 / WINDOW_SPAN as f64;
            node.sends = self.fleet.rate * n as f64 * weight / all;
        }
    }

    fn run(mut self, first: Nanos) -> Verdict {
        let span = self.fleet.span * MS;
        let (fails, well, moves) = (first + span / 3, first + span * 2 / 3, first + span / 2);
        let mut phase = 0;
        while let Some(Reverse((at, key))) = self.queue.pop() {
            if at > first + span {
                break;
            }
            self.now = at;
            if phase == 0 && at >= fails {
                phase = 1;
                self.bad = (0..self.fleet.failing).collect();
            }
            if phase == 1 && at >= moves {
                phase = 2;
                self.draw_demand(true);
            }
            if phase == 2 && at >= well {
                phase = 3;
                self.bad.clear();
            }
            if let Some(event) = self.events.remove(&key) {
                self.take(event, first, (fails, well));
            }
        }
        if self.trace {
            let parts: Vec<String> = self
                .series
                .iter()
                .map(|(asked, used)| format!("{:.2}", used / asked.max(1e-9)))
                .collect();
            eprintln!("usable by quarter second: {}", parts.join(" "));
        }
        let seconds = span as f64 / SECOND as f64 * self.fleet.gateways as f64;
        let verdict = &mut self.verdict;
        verdict.usable = self.used / self.asked.max(1e-9);
        verdict.gossip_bytes /= seconds;
        verdict.link_bytes /= seconds;
        verdict.lost = self.sent_bad as f64 / verdict.sent.max(1) as f64;
        verdict.falsely_out = self.false_out / self.fleet.gateways as f64;
        let after =
            |at: Option<Nanos>, from: Nanos| at.map_or(u64::MAX, |at| at.saturating_sub(from) / MS);
        (verdict.out_ms, verdict.back_ms) = (after(self.out_at, fails), after(self.back_at, well));
        self.verdict
    }

    fn take(&mut self, event: Event, first: Nanos, (fails, well): (Nanos, Nanos)) {
        let whose = match &event {
            Event::Say { to, .. } | Event::Gossip { to, .. } => Some(*to),
            Event::Wake { at, .. } => Some(*at),
            Event::Look { by, .. } | Event::Send { by, .. } | Event::Over { by, .. } => Some(*by),
            _ => None,
        };
        if let Some(g) = whose {
            if !self.nodes[g].up {
                return;
            }
            if self.nodes[g].stopped {
                return self.nodes[g].held_back.push(event);
            }
        }
        match event {
            Event::Say {
                to,
                birth,
                from,
                from_birth,
                message,
            } => {
                let alive = self.nodes[to].birth == birth && self.nodes[from].birth == from_birth;
                if alive && !self.is_cut(from, to) {
                    self.with(to, |shares, now, out| {
                        shares.on_message(now, MemberId(from as u16), message, out)
                    });
                }
            }
            Event::Gossip { to, birth, gossip } => {
                if self.nodes[to].birth == birth {
                    self.with(to, |shares, now, out| shares.on_gossip(now, gossip, out));
                }
            }
            Event::Wake { at, birth } => {
                if self.nodes[at].birth == birth {
                    self.nodes[at].wake = Nanos::MAX;
                    self.with(at, |shares, now, out| shares.on_timer(now, out));
                }
            }
            Event::Look { by, at } => self.look(by, at),
            Event::Step => self.step(first, (fails, well)),
            Event::Fault(fault) => self.fault(fault),
            Event::Heal(fault) => self.heal(fault),
            Event::Restart(g) => {
                if !self.nodes[g].up {
                    let (level, spends, sends) = (
                        self.nodes[g].level,
                        self.nodes[g].spends,
                        self.nodes[g].sends,
                    );
                    let node = self.new_node(g, self.now);
                    let birth = node.birth;
                    self.nodes[g] = Node {
                        level,
                        spends,
                        sends,
                        ..node
                    };
                    self.look_soon(&BTreeSet::from([g]), 20, 300);
                    self.at(self.now + 1, Event::Wake { at: g, birth });
                    self.at(self.now + 1, Event::Send { by: g, birth });
                }
            }
            Event::Send { by, birth } => self.send(by, birth),
            Event::Over {
                by,
                birth,
                engine,
                health,
            } => self.over(by, birth, engine, health),
        }
    }

    fn with(
        &mut self,
        g: usize,
        call: impl FnOnce(&mut Coordinator, Nanos, &mut dyn CoordinationOutput),
    ) {
        if !self.fleet.shares {
            return;
        }
        let now = self.clock(g, self.now);
        let mut acts = Acts::default();
        call(&mut self.nodes[g].shares, now, &mut acts);
        for act in acts.0 {
            match act {
                Act::Say(to, message) => self.say(g, usize::from(to), message),
                Act::Gossip(to, gossip) => self.tell(g, usize::from(to), gossip),
                Act::Advise(engine, advice) => {
                    let node = &mut self.nodes[g];
                    node.advice.insert(engine, advice);
                    if advice.is_well {
                        let engine = engine as usize - 1000;
                        node.failing.remove(&engine);
                        node.own.remove(&engine);
                    }
                }
            }
        }
        let next = self.true_time(g, self.nodes[g].shares.next_timer());
        if next < self.nodes[g].wake {
            let (at, birth) = (next.max(self.now + 1), self.nodes[g].birth);
            self.nodes[g].wake = at;
            self.at(at, Event::Wake { at: g, birth });
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let some = |map: &BTreeMap<(usize, usize), u32>| map.get(&(a, b)).is_some_and(|&n| n > 0);
        some(&self.cuts) || some(&self.mute)
    }

    fn say(&mut self, from: usize, to: usize, message: CoordinationMessage) {
        self.verdict.link_bytes += encode_frame(&Frame::Coordination(message.clone())).len() as f64;
        if self.is_cut(from, to) || !self.nodes[to].up {
            return;
        }
        let late = self.late.get(&(from, to)).copied().unwrap_or(0);
        let mut at = self.now + self.rng.random_range(MS / 5..2 * MS) + late;
        let last = self.last_on_link.entry((from, to)).or_default();
        at = at.max(*last + 1);
        *last = at;
        let (birth, from_birth) = (self.nodes[to].birth, self.nodes[from].birth);
        self.at(
            at,
            Event::Say {
                to,
                birth,
                from,
                from_birth,
                message,
            },
        );
    }

    fn tell(&mut self, from: usize, to: usize, gossip: GossipMessage) {
        self.verdict.gossip_bytes += encode_gossip(&gossip).len() as f64;
        if self.is_cut(from, to) || !self.nodes[to].up || self.rng.random_bool(self.fleet.drop) {
            return;
        }
        let late = self.late.get(&(from, to)).copied().unwrap_or(0);
        let at = self.now + self.rng.random_range(MS / 5..3 * MS) + late;
        let birth = self.nodes[to].birth;
        // Now and then a datagram comes twice, the second time much later.
        if self.rng.random_bool(0.002) {
            let gossip = gossip.clone();
            self.at(at + 800 * MS, Event::Gossip { to, birth, gossip });
        }
        self.at(at, Event::Gossip { to, birth, gossip });
    }

    // ---- members ----

    fn look(&mut self, by: usize, at: usize) {
        let truth = self.truth(by, at);
        let held = self.nodes[by].view[at];
        if truth == held {
            return;
        }
        self.nodes[by].view[at] = truth;
        if let Some(birth) = held {
            self.with(by, |shares, now, out| {
                shares.on_member_down(now, process(at, birth), out)
            });
        }
        if let Some(birth) = truth {
            self.with(by, |shares, now, out| {
                shares.on_member_up(now, process(at, birth), out)
            });
        }
    }

    /// The process that stands there, if it can be heard.
    fn truth(&self, by: usize, at: usize) -> Option<u64> {
        let both = self.cuts.get(&(by, at)).is_none_or(|&n| n == 0);
        let node = &self.nodes[at];
        (node.up && !node.stopped && both).then_some(node.birth)
    }

    fn look_soon(&mut self, gateways: &BTreeSet<usize>, low: u64, high: u64) {
        for by in 0..self.fleet.gateways {
            for at in 0..self.fleet.gateways {
                let concerns = gateways.contains(&by) || gateways.contains(&at);
                if by != at && concerns && self.truth(by, at) != self.nodes[by].view[at] {
                    let span = self.rng.random_range(low * MS..high * MS);
                    self.at(self.now + span, Event::Look { by, at });
                }
            }
        }
    }

    // ---- faults ----

    fn pairs(&self, what: What) -> Vec<(usize, usize)> {
        let zones = self.fleet.zones;
        let apart = |a: usize, b: usize| match what {
            What::CutZone { zone, .. } => (a % zones == zone) != (b % zones == zone),
            What::CutOff { gateway, .. } => (a == gateway) != (b == gateway),
            _ => false,
        };
        let n = self.fleet.gateways;
        (0..n * n)
            .map(|i| (i / n, i % n))
            .filter(|&(a, b)| apart(a, b))
            .collect()
    }

    fn fault(&mut self, fault: Fault) {
        let all: BTreeSet<usize> = (0..self.fleet.gateways).collect();
        match fault.what {
            What::Kill { gateway, back } | What::End { gateway, back } => {
                if self.nodes[gateway].up {
                    self.nodes[gateway].up = false;
                    self.nodes[gateway].stopped = false;
                    self.nodes[gateway].held_back.clear();
                    self.look_soon(&BTreeSet::from([gateway]), 300, 1000);
                    self.at(self.now + back * MS, Event::Restart(gateway));
                }
                return;
            }
            What::Stop { gateway, .. } if self.nodes[gateway].up => {
                self.nodes[gateway].stopped = true;
                self.look_soon(&BTreeSet::from([gateway]), 300, 1000);
            }
            What::CutZone { .. } | What::CutOff { .. } => {
                for pair in self.pairs(fault.what) {
                    *self.cuts.entry(pair).or_default() += 1;
                }
                self.look_soon(&all, 300, 1000);
            }
            What::Mute { from, to, .. } => *self.mute.entry((from, to)).or_default() += 1,
            What::Late { from, to, by, .. } => drop(self.late.insert((from, to), by * MS)),
            _ => {}
        }
        let span = fault.span().unwrap_or(0);
        self.at(self.now + span * MS, Event::Heal(fault));
    }

    fn heal(&mut self, fault: Fault) {
        match fault.what {
            What::Stop { gateway, .. } if self.nodes[gateway].stopped => {
                self.nodes[gateway].stopped = false;
                for event in std::mem::take(&mut self.nodes[gateway].held_back) {
                    let span = self.rng.random_range(0..MS);
                    self.at(self.now + span, event);
                }
                self.look_soon(&BTreeSet::from([gateway]), 20, 300);
            }
            What::CutZone { .. } | What::CutOff { .. } => {
                for pair in self.pairs(fault.what) {
                    *self.cuts.entry(pair).or_default() -= 1;
                }
                self.look_soon(&(0..self.fleet.gateways).collect(), 20, 400);
            }
            What::Mute { from, to, .. } => *self.mute.entry((from, to)).or_default() -= 1,
            What::Late { from, to, .. } => drop(self.late.remove(&(from, to))),
            _ => {}
        }
    }

    // ---- use ----

    /// Each 20 ms: what all hold and use is counted; what is needed is told.
    fn step(&mut self, first: Nanos, (fails, well): (Nanos, Nanos)) {
        self.at(self.now + STEP, Event::Step);
        let units = UNITS_PER_MEMBER * self.fleet.gateways as u32;
        let settled = self.now >= first + 2 * SECOND;
        let mut held_by_all = 0;
        for g in 0..self.fleet.gateways {
            if !self.nodes[g].up {
                continue;
            }
            let now = self.clock(g, self.now);
            let node = &mut self.nodes[g];
            // A stopped process uses nothing; it looks at the time before it goes on.
            let (held, level) = match self.fleet.shares {
                true => {
                    let bound = node.shares.usable_units_at(now, LEVEL);
                    (bound, node.level)
                }
                false => (UNITS_PER_MEMBER, node.level),
            };
            held_by_all += if node.stopped { 0 } else { held };
            if node.stopped {
                continue;
            }
            if self.fleet.shares && held < UNITS_PER_MEMBER / 10 {
                self.verdict.under_floor += 1;
            }
            node.shares.set_demand_level(now, LEVEL, level);
            node.owed += node.spends * STEP as f64 / SECOND as f64;
            let wants = node.owed.floor() as u32;
            node.owed -= f64::from(wants);
            let mut spent = 0;
            if self.fleet.shares {
                for _ in 0..wants {
                    spent += u32::from(node.shares.try_spend(now, WINDOW, 1));
                }
            }
            if self.trace {
                let second = ((self.now - first) / (SECOND / 4)) as usize;
                let series = &mut self.series;
                series.resize(series.len().max(second + 1), (0.0, 0.0));
                series[second].0 += level;
                series[second].1 += level.min(f64::from(held));
            }
            if settled {
                self.asked += level;
                self.used += level.min(f64::from(held));
            }
            if spent > 0 {
                self.spent.push_back((self.now, spent));
                self.in_window += spent;
            }
        }
        while self
            .spent
            .front()
            .is_some_and(|&(at, _)| at + WINDOW_SPAN <= self.now)
        {
            self.in_window -= self.spent.pop_front().map_or(0, |(_, spent)| spent);
        }
        let verdict = &mut self.verdict;
        verdict.max_open_statements = verdict
            .max_open_statements
            .max(f64::from(held_by_all) / f64::from(units));
        verdict.most_spent = verdict
            .most_spent
            .max(f64::from(self.in_window) / f64::from(units));
        verdict.passed_level += u64::from(held_by_all > units);
        verdict.passed_window += u64::from(self.in_window > units);
        self.watch_engines(fails, well);
    }

    fn leaves_out(&self, g: usize, engine: usize) -> bool {
        let node = &self.nodes[g];
        let advised = node
            .advice
            .get(&id(engine))
            .is_some_and(|advice| advice.is_out);
        node.failing.contains(&engine) || advised
    }

    fn watch_engines(&mut self, fails: Nanos, well: Nanos) {
        let up: Vec<usize> = (0..self.fleet.gateways)
            .filter(|&g| self.nodes[g].up && !self.nodes[g].stopped)
            .collect();
        let part = |engine: usize| {
            up.iter().filter(|&&g| self.leaves_out(g, engine)).count() as f64
                / up.len().max(1) as f64
        };
        let failing = 0..self.fleet.failing;
        // The one that sees it as good goes on; it is one.
        let blind = if self.fleet.liars {
            1.0 / up.len().max(1) as f64
        } else {
            0.0
        };
        let all_out = failing.clone().all(|e| part(e) >= 0.99 - blind);
        let all_back = failing.clone().all(|e| part(e) <= 0.01 + blind);
        if self.out_at.is_none() && self.now >= fails && all_out {
            self.out_at = Some(self.now);
        }
        if self.back_at.is_none() && self.now >= well && all_back {
            self.back_at = Some(self.now);
        }
        let mut false_out = 0;
        for engine in self.fleet.failing..self.fleet.engines {
            // Not by one that is ill, nor by those that can't reach it.
            let rightly = |g: usize| {
                self.fleet.liars
                    && (g == 3 || engine == self.fleet.engines - 1 && g.is_multiple_of(2))
            };
            false_out += up
                .iter()
                .filter(|&&g| !rightly(g) && self.leaves_out(g, engine))
                .count();
        }
        self.false_out += false_out as f64 * STEP as f64 / SECOND as f64;
        if (self.now / STEP).is_multiple_of(12) {
            let usual =
                self.fleet.rate * self.fleet.gateways as f64 / self.fleet.engines as f64 * 0.24;
            if self.now >= well {
                for engine in failing {
                    let over = f64::from(self.quarter[engine]) / usual.max(1.0);
                    self.verdict.herd = self.verdict.herd.max(over);
                }
            }
            self.quarter.iter_mut().for_each(|n| *n = 0);
        }
    }

    fn send(&mut self, by: usize, birth: u64) {
        let node = &mut self.nodes[by];
        if node.birth != birth {
            return;
        }
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / node.sends.max(0.01);
        let next = self.now + (gap * SECOND as f64) as Nanos + 1;
        self.at(next, Event::Send { by, birth });
        // Any engine that is not left out; a trial now and then, as the module does.
        let engine = self.rng.random_range(0..self.fleet.engines);
        let advice = self.nodes[by]
            .advice
            .get(&id(engine))
            .copied()
            .unwrap_or_default();
        let node = &mut self.nodes[by];
        node.since_trial += 1;
        if node.failing.contains(&engine) || advice.is_out {
            let may = node.since_trial > 16 && (!advice.is_out || advice.tries);
            if !may || self.now < node.next_trial.get(&engine).copied().unwrap_or(0) {
                return;
            }
            node.since_trial = 0;
            node.next_trial.insert(engine, self.now + SECOND);
        }
        self.quarter[engine] += 1;
        self.verdict.sent += 1;
        let is_bad = self.bad.contains(&engine);
        self.sent_bad += u64::from(is_bad);
        let (ill, blind) = (self.fleet.liars && by == 3, self.fleet.liars && by == 4);
        let no_way = self.fleet.liars && engine == self.fleet.engines - 1 && by.is_multiple_of(2);
        let health = if ill {
            AttemptHealth::Failure
        } else if no_way {
            AttemptHealth::Unreachable
        } else if is_bad && !blind {
            AttemptHealth::Failure
        } else {
            AttemptHealth::Success
        };
        let span = self.rng.random_range(2 * MS..120 * MS);
        self.at(
            self.now + span,
            Event::Over {
                by,
                birth,
                engine,
                health,
            },
        );
    }

    fn over(&mut self, by: usize, birth: u64, engine: usize, health: AttemptHealth) {
        if self.nodes[by].birth != birth {
            return;
        }
        let now = self.now;
        let node = &mut self.nodes[by];
        let own = node.own.entry(engine).or_default();
        own.push_back((now, health == AttemptHealth::Success));
        while own.len() > 8 || own.front().is_some_and(|&(at, _)| at + 10 * SECOND < now) {
            own.pop_front();
        }
        let part = own.iter().filter(|o| o.1).count() as f64 / own.len() as f64;
        if part < 0.375 {
            node.failing.insert(engine);
        } else if health == AttemptHealth::Success {
            node.failing.remove(&engine);
        }
        self.with(by, |shares, now, _| {
            shares.on_attempt_ended(now, id(engine), health)
        });
    }
}
