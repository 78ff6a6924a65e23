//! A fleet's custody in virtual time: the deciding crate of many gateways over a fault plan, with engines that count
//! every start by id and clients that come back. What engines and clients counted is the verdict.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use ivypitch_gateway::wire::peer_frames::{Frame, encode_frame};
use ivypitch_ownership::{
    Arrival, ArrivalDecision, FinalAnswer, GrantDecision, GrantDenial, Message, NoQuorumPolicy,
    Output, Ownership, OwnershipConfig, OwnershipCounters, StatementId, StatementSpec,
};
use ivypitch_types::{Incarnation, MemberId, Nanos, ProcessId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::virtual_time::faults::{Plan, What};

const MS: Nanos = 1_000_000;
/// Engines drop what nobody asked for in so long.
const UNASKED: Nanos = 2000 * MS;
const POLL: Nanos = 60 * MS;

#[derive(Clone, Debug)]
pub struct Fleet {
    pub gateways: usize,
    pub zones: usize,
    pub engines: usize,
    /// Milliseconds in which clients begin statements; the run goes on until all have their word.
    pub span: u64,
    /// Mean milliseconds between statements, of the whole fleet.
    pub gap: u64,
    /// Mean milliseconds between faults.
    pub fault_gap: u64,
    /// Part of the statements that are loads.
    pub loads: f64,
    /// False: loads are sent without a grant, for the test that shows what it is for.
    pub grants: bool,
    pub policy: NoQuorumPolicy,
    /// False: as without peers.
    pub custody: bool,
    /// Statements have texts, and what is said is counted in bytes.
    pub measure: bool,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            gateways: 9,
            zones: 3,
            engines: 4,
            span: 12_000,
            gap: 12,
            fault_gap: 700,
            loads: 0.4,
            grants: true,
            policy: NoQuorumPolicy::Reject,
            custody: true,
            measure: false,
        }
    }
}

/// What a run came to.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Verdict {
    pub statements: u64,
    pub loads: u64,
    /// Loads started more than once at engines.
    pub doubled: u64,
    /// Loads whose clients heard that nothing had run, though it had.
    pub refused_and_ran: u64,
    /// Loads whose clients heard two ends that can't both be.
    pub two_ends: u64,
    /// Clients that never heard a word.
    pub unanswered: u64,
    pub served: u64,
    pub refused: u64,
    pub aborted: u64,
    /// Statements that ran at an engine as their gateway was lost and whose client came back: all, and those that
    /// completed without running again.
    pub caught: u64,
    pub carried: u64,
    /// Milliseconds from a loss to the first question to the engine by another, the longest of 99 in 100.
    pub first_ask_p99: u64,
    pub watched: u64,
    pub messages: u64,
    pub bytes: u64,
    /// Statements that one gateway held as a witness, at most.
    pub most_entries: usize,
    pub faults: u64,
}

impl Verdict {
    /// What may never be, whatever happens.
    pub fn holds(&self) -> bool {
        self.doubled == 0 && self.refused_and_ran == 0 && self.two_ends == 0 && self.unanswered == 0
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Rows,
    Completed,
    Rejected,
    Aborted,
}

struct Statement {
    id: StatementId,
    facts: StatementSpec,
    work: Nanos,
    deadline: Nanos,
    starts: u32,
    /// Starts when its gateway was lost, and when.
    caught: Option<(u32, Nanos)>,
    came_back: bool,
    told: Vec<Told>,
    /// Which gateway, of which birth, the client is at, and the token.
    at: Option<(usize, u64, u64)>,
    over: bool,
}

struct Query {
    ends_at: Nanos,
    asked_at: Nanos,
    /// The last asker: another one's first question is what a loss waits for.
    by: (usize, u64),
}

#[derive(Default)]
struct Engine {
    queries: BTreeMap<StatementId, Query>,
    drains: bool,
}

/// A statement on its way here.
struct Own {
    facts: StatementSpec,
    deadline: Nanos,
    numbers: u32,
    engine: usize,
    out: bool,
    may_have_run: bool,
    tries: u32,
    token: Option<u64>,
    serial: u64,
}

struct Node {
    custody: Option<Ownership>,
    birth: u64,
    own: BTreeMap<StatementId, Own>,
    stopped: bool,
    /// What came while it was stopped.
    held: Vec<Event>,
    /// Births of the others that it hears.
    view: Vec<Option<u64>>,
    ending: bool,
    /// The soonest wake that is set.
    wake: Nanos,
}

#[derive(Clone, Debug)]
enum Event {
    Deliver {
        to: usize,
        birth: u64,
        from: usize,
        from_birth: u64,
        message: Message,
    },
    Wake {
        at: usize,
        birth: u64,
    },
    Look {
        by: usize,
        at: usize,
    },
    Come {
        stmt: usize,
    },
    /// The start that was decided goes out.
    Send {
        by: usize,
        birth: u64,
        id: StatementId,
        number: u32,
    },
    Poll {
        by: usize,
        birth: u64,
        id: StatementId,
        serial: u64,
    },
    Deadline {
        by: usize,
        birth: u64,
        id: StatementId,
        serial: u64,
    },
    /// A client's patience with a silent gateway is over.
    ClientGivesUp {
        stmt: usize,
        token: u64,
    },
    Fault(usize),
    Heal(usize),
    Restart {
        gateway: usize,
    },
}

enum Act {
    Send(MemberId, Message),
    AttemptGranted(StatementId, u32),
    AttemptDenied(StatementId, GrantDenial),
    Proceed(StatementId),
    TakeOver(StatementId, StatementSpec, Nanos, Option<u64>),
    Answer(u64, FinalAnswer),
}

#[derive(Default)]
struct Acts(Vec<Act>);

impl Output for Acts {
    fn send(&mut self, to: MemberId, message: Message) {
        self.0.push(Act::Send(to, message));
    }
    fn on_attempt_granted(&mut self, id: StatementId, number: u32) {
        self.0.push(Act::AttemptGranted(id, number));
    }
    fn on_attempt_denied(&mut self, id: StatementId, _number: u32, why: GrantDenial) {
        self.0.push(Act::AttemptDenied(id, why));
    }
    fn proceed(&mut self, id: StatementId) {
        self.0.push(Act::Proceed(id));
    }
    fn take_over(&mut self, id: StatementId, facts: &StatementSpec, left: Nanos, at: Option<u64>) {
        self.0.push(Act::TakeOver(id, facts.clone(), left, at));
    }
    fn answer(&mut self, waiter: u64, word: &FinalAnswer) {
        self.0.push(Act::Answer(waiter, word.clone()));
    }
    fn log(&mut self, _line: &str) {}
}

fn process(gateway: usize, birth: u64) -> ProcessId {
    ProcessId {
        member: MemberId(gateway as u16),
        incarnation: Incarnation(birth),
    }
}

pub fn terms(fleet: &Fleet) -> OwnershipConfig {
    OwnershipConfig {
        max_statement_timeout: 6000 * MS,
        retention: 1000 * MS,
        no_quorum: fleet.policy,
        result_cache_bytes_per_tenant: 1 << 20,
        ..OwnershipConfig::default()
    }
}

struct Sim<'a> {
    fleet: &'a Fleet,
    plan: &'a Plan,
    now: Nanos,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Nanos, u64, usize)>>,
    events: BTreeMap<usize, Event>,
    serial: u64,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    stmts: Vec<Statement>,
    by_id: BTreeMap<StatementId, usize>,
    tokens: BTreeMap<u64, usize>,
    next_token: u64,
    births: u64,
    /// Pairs in order between which nothing goes now, with the number of faults that say so; and what comes late.
    broken: BTreeMap<(usize, usize), u32>,
    cuts: BTreeMap<(usize, usize), u32>,
    late: BTreeMap<(usize, usize), Nanos>,
    /// No message overtakes another on its link.
    last_on_link: BTreeMap<(usize, usize), Nanos>,
    open: usize,
    lost_at: BTreeMap<StatementId, Nanos>,
    first_asks: Vec<u64>,
    messages: u64,
    bytes: u64,
    most_entries: usize,
    totals: Vec<OwnershipCounters>,
    trace: bool,
}

/// The fault plan of a run of this fleet.
pub fn draw(fleet: &Fleet, seed: u64, losses_only: bool) -> Plan {
    Plan::draw(
        crate::virtual_time::faults::Field {
            gateways: fleet.gateways,
            zones: fleet.zones,
            engines: fleet.engines,
            span: fleet.span,
            gap: fleet.fault_gap,
            losses_only,
        },
        seed,
    )
}

pub fn play(fleet: &Fleet, plan: &Plan, seed: u64) -> Verdict {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // The first processes began long ago, so that their witnesses vote.
    let first = 10_000 * MS;
    let mut stmts = Vec::new();
    let mut at = first;
    let mut queue: Vec<(Nanos, Event)> = Vec::new();
    while at < first + fleet.span * MS {
        let load = rng.random_bool(fleet.loads);
        let work = if load {
            rng.random_range(100..2500)
        } else {
            rng.random_range(5..800)
        } * MS;
        let left = rng.random_range(4000..6000);
        let facts = StatementSpec {
            digest: rng.random(),
            workload: u16::from(load),
            tenant: rng.random_range(0..3),
            idempotent: !load,
            remaining_ms: left as u32,
            request: vec![b's'; if fleet.measure { 200 } else { 4 }],
        };
        queue.push((at, Event::Come { stmt: stmts.len() }));
        stmts.push(Statement {
            id: rng.random(),
            facts,
            work,
            deadline: at + left * MS,
            starts: 0,
            caught: None,
            came_back: false,
            told: Vec::new(),
            at: None,
            over: false,
        });
        at += rng.random_range(1..=2 * fleet.gap * MS);
    }
    let by_id = stmts
        .iter()
        .enumerate()
        .map(|(stmt, s)| (s.id, stmt))
        .collect();
    let trace = std::env::var_os("IVYPITCH_LAB_TRACE").is_some();
    let mut sim = Sim {
        fleet,
        plan,
        now: 0,
        rng,
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        serial: 0,
        nodes: Vec::new(),
        engines: (0..fleet.engines).map(|_| Engine::default()).collect(),
        open: stmts.len(),
        stmts,
        by_id,
        tokens: BTreeMap::new(),
        next_token: 0,
        births: 0,
        broken: BTreeMap::new(),
        cuts: BTreeMap::new(),
        late: BTreeMap::new(),
        last_on_link: BTreeMap::new(),
        lost_at: BTreeMap::new(),
        first_asks: Vec::new(),
        messages: 0,
        bytes: 0,
        most_entries: 0,
        totals: Vec::new(),
        trace,
    };
    for g in 0..fleet.gateways {
        let node = sim.new_node(g);
        sim.nodes.push(node);
    }
    for (at, event) in queue {
        sim.at(at, event);
    }
    for (i, fault) in plan.faults.iter().enumerate() {
        sim.at(first + fault.at * MS, Event::Fault(i));
    }
    // All have heard each other, and told each other all, before the first client comes.
    sim.now = first;
    for by in 0..fleet.gateways {
        for at in (0..fleet.gateways).filter(|&at| at != by) {
            let birth = sim.nodes[at].birth;
            sim.nodes[by].view[at] = Some(birth);
            if let Some(custody) = &mut sim.nodes[by].custody {
                custody.on_member_up(1, process(at, birth));
            }
        }
        if let Some(custody) = &mut sim.nodes[by].custody {
            custody.on_timer(first, &mut Acts::default());
        }
        let birth = sim.nodes[by].birth;
        sim.at(first + 1, Event::Wake { at: by, birth });
    }
    sim.run(first + (fleet.span + 30_000) * MS)
}

impl Sim<'_> {
    fn at(&mut self, at: Nanos, event: Event) {
        self.serial += 1;
        let key = self.serial as usize;
        self.events.insert(key, event);
        self.queue.push(Reverse((at, self.serial, key)));
    }

    fn after(&mut self, span: Nanos, event: Event) {
        self.at(self.now + span, event);
    }

    fn between(&mut self, low: u64, high: u64) -> Nanos {
        self.rng.random_range(low * MS..high * MS)
    }

    fn new_node(&mut self, g: usize) -> Node {
        self.births += 1;
        let birth = self.births;
        let zones = (0..self.fleet.gateways)
            .map(|g| (g % self.fleet.zones) as u16)
            .collect();
        let began = self.now;
        let custody = self
            .fleet
            .custody
            .then(|| Ownership::new(process(g, birth), zones, terms(self.fleet), began));
        Node {
            custody,
            birth,
            own: BTreeMap::new(),
            stopped: false,
            held: Vec::new(),
            view: vec![None; self.fleet.gateways],
            ending: false,
            wake: Nanos::MAX,
        }
    }

    fn is_up(&self, g: usize) -> bool {
        self.nodes[g].birth > 0
    }

    fn run(mut self, until: Nanos) -> Verdict {
        while let Some(Reverse((at, _, key))) = self.queue.pop() {
            if at > until || self.open == 0 {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&key) {
                self.take(event);
            }
        }
        self.verdict()
    }

    fn take(&mut self, event: Event) {
        // A stopped process does nothing; all that concerns it waits.
        let whose = match &event {
            Event::Deliver { to, .. } => Some(*to),
            Event::Wake { at, .. } => Some(*at),
            Event::Look { by, .. }
            | Event::Send { by, .. }
            | Event::Poll { by, .. }
            | Event::Deadline { by, .. } => Some(*by),
            _ => None,
        };
        if let Some(g) = whose.filter(|&g| self.nodes[g].stopped) {
            return self.nodes[g].held.push(event);
        }
        match event {
            Event::Deliver {
                to,
                birth,
                from,
                from_birth,
                message,
            } => {
                let alive = self.nodes[to].birth == birth && self.nodes[from].birth == from_birth;
                // A link that broke meanwhile brings nothing more.
                if alive && !self.is_cut(from, to) {
                    self.trace(|| format!("{from} -> {to}: {message:?}"));
                    self.with(to, |custody, now, out| {
                        custody.on_message(now, MemberId(from as u16), message, out)
                    });
                }
            }
            Event::Wake { at, birth } => {
                if self.nodes[at].birth == birth {
                    self.nodes[at].wake = Nanos::MAX;
                    self.with(at, |custody, now, out| custody.on_timer(now, out));
                }
            }
            Event::Look { by, at } => self.look(by, at),
            Event::Come { stmt } => self.come(stmt),
            Event::Send {
                by,
                birth,
                id,
                number,
            } => self.send(by, birth, id, number),
            Event::Poll {
                by,
                birth,
                id,
                serial,
            } => self.poll(by, birth, id, serial),
            Event::Deadline {
                by,
                birth,
                id,
                serial,
            } => {
                let same = self.nodes[by].birth == birth;
                if same
                    && self.nodes[by]
                        .own
                        .get(&id)
                        .is_some_and(|own| own.serial == serial)
                {
                    self.give_up(by, id);
                }
            }
            Event::ClientGivesUp { stmt, token } => {
                if let Some((g, birth, _)) = self.stmts[stmt].at.filter(|&(_, _, t)| t == token) {
                    let id = self.id_of(stmt);
                    if self.nodes[g].birth == birth && !self.nodes[g].stopped {
                        self.with(g, |custody, _, _| custody.on_client_gone(id, token));
                    }
                    self.come_again(stmt);
                }
            }
            Event::Fault(i) => self.fault(i),
            Event::Heal(i) => self.heal(i),
            Event::Restart { gateway } => self.restart(gateway),
        }
    }

    fn id_of(&self, stmt: usize) -> StatementId {
        self.stmts[stmt].id
    }

    fn trace(&self, line: impl Fn() -> String) {
        if self.trace {
            eprintln!("{:>9.3} {}", self.now as f64 / MS as f64, line());
        }
    }

    /// One call of a gateway's custody, and what it asks for.
    fn with(&mut self, g: usize, call: impl FnOnce(&mut Ownership, Nanos, &mut dyn Output)) {
        let now = self.now;
        let mut acts = Acts::default();
        let Some(custody) = self.nodes[g].custody.as_mut() else {
            return;
        };
        call(custody, now, &mut acts);
        self.carry_out(g, acts);
    }

    fn carry_out(&mut self, g: usize, acts: Acts) {
        for act in acts.0 {
            match act {
                Act::Send(to, message) => self.tell(g, to.as_usize(), message),
                Act::AttemptGranted(id, number) => self.go(g, id, number),
                Act::AttemptDenied(id, GrantDenial::NoQuorum { clean }) => {
                    self.answer_own(g, id, if clean { Told::Rejected } else { Told::Aborted })
                }
                Act::AttemptDenied(id, GrantDenial::OwnedElsewhere) => {
                    drop(self.nodes[g].own.remove(&id))
                }
                Act::Proceed(id) => self.try_attempt(g, id),
                Act::TakeOver(id, facts, left, engine) => self.adopt(g, id, facts, left, engine),
                Act::Answer(token, word) => {
                    let told = match word {
                        FinalAnswer::Rows(_) => Told::Rows,
                        FinalAnswer::CompletedWithoutRows => Told::Completed,
                        FinalAnswer::Rejected { .. } => Told::Rejected,
                        FinalAnswer::Aborted | FinalAnswer::IdReused => Told::Aborted,
                    };
                    self.tell_client(g, token, told);
                }
            }
        }
        let birth = self.nodes[g].birth;
        let next = self.nodes[g]
            .custody
            .as_ref()
            .map_or(Nanos::MAX, Ownership::next_timer);
        if next < self.nodes[g].wake {
            let at = next.max(self.now + 1);
            self.nodes[g].wake = at;
            self.at(at, Event::Wake { at: g, birth });
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.get(&(a, b)).is_some_and(|&n| n > 0)
            || self.broken.get(&(a, b)).is_some_and(|&n| n > 0)
    }

    fn tell(&mut self, from: usize, to: usize, message: Message) {
        self.messages += 1;
        if self.fleet.measure {
            self.bytes += encode_frame(&Frame::Ownership(message.clone())).len() as u64;
            let held = self.nodes[from]
                .custody
                .as_ref()
                .map_or(0, |custody| custody.sizes().vote_log_entries);
            self.most_entries = self.most_entries.max(held);
        }
        if self.is_cut(from, to) || !self.is_up(to) {
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
            Event::Deliver {
                to,
                birth,
                from,
                from_birth,
                message,
            },
        );
    }

    // ---- members ----

    /// What one holds of another comes to be what is true, some time after that changed.
    fn look(&mut self, by: usize, at: usize) {
        if !self.is_up(by) {
            return;
        }
        let truth = self.truth(by, at);
        let held = self.nodes[by].view[at];
        if truth == held {
            return;
        }
        self.nodes[by].view[at] = truth;
        if let Some(birth) = held {
            self.with(by, |custody, now, out| {
                custody.on_member_down(now, process(at, birth), out)
            });
        }
        if let Some(birth) = truth {
            self.with(by, |custody, now, _| {
                custody.on_member_up(now, process(at, birth))
            });
        }
    }

    /// The process that stands there, if it can be heard.
    fn truth(&self, by: usize, at: usize) -> Option<u64> {
        let both = self.cuts.get(&(by, at)).is_none_or(|&n| n == 0);
        let there = self.is_up(at) && !self.nodes[at].stopped && both;
        there.then_some(self.nodes[at].birth)
    }

    fn look_soon(&mut self, gateways: &BTreeSet<usize>, low: u64, high: u64) {
        for by in 0..self.fleet.gateways {
            for at in 0..self.fleet.gateways {
                let concerns = gateways.contains(&by) || gateways.contains(&at);
                if by != at && concerns && self.truth(by, at) != self.nodes[by].view[at] {
                    let span = self.between(low, high);
                    self.after(span, Event::Look { by, at });
                }
            }
        }
    }

    // ---- faults ----

    fn fault(&mut self, i: usize) {
        let fault = self.plan.faults[i];
        self.trace(|| format!("fault {fault}"));
        let pair = |from: usize, to: usize| vec![(from, to)];
        match fault.what {
            What::Kill { gateway, back } => {
                if self.is_up(gateway) {
                    self.die(gateway);
                    self.after(back * MS, Event::Restart { gateway });
                }
            }
            What::End { gateway, back } => {
                if self.is_up(gateway) && !self.nodes[gateway].stopped {
                    self.nodes[gateway].ending = true;
                    let now = self.now;
                    let mut acts = Acts::default();
                    let custody = self.nodes[gateway].custody.as_mut();
                    let handed = custody
                        .map(|custody| custody.hand_off(now, &mut acts))
                        .unwrap_or_default();
                    for id in handed {
                        self.nodes[gateway].own.remove(&id);
                    }
                    self.carry_out(gateway, acts);
                    self.after(300 * MS, Event::Heal(i));
                    self.after((300 + back) * MS, Event::Restart { gateway });
                }
            }
            What::Stop { gateway, span } => {
                if self.is_up(gateway) && !self.nodes[gateway].stopped {
                    self.nodes[gateway].stopped = true;
                    self.after(span * MS, Event::Heal(i));
                    self.look_soon(&BTreeSet::from([gateway]), 300, 1000);
                    // Clients that hear nothing go elsewhere after a while.
                    let there: Vec<(usize, u64)> = self.clients_of(gateway);
                    for (stmt, token) in there {
                        let span = self.between(600, 1800);
                        self.after(span, Event::ClientGivesUp { stmt, token });
                    }
                }
            }
            What::CutZone { .. } | What::CutOff { .. } => {
                for pair in self.cut_pairs(fault.what) {
                    *self.cuts.entry(pair).or_default() += 1;
                }
                self.look_soon(&(0..self.fleet.gateways).collect(), 300, 1000);
                self.heal_after(i);
            }
            What::Mute { from, to, .. } => {
                for pair in pair(from, to) {
                    *self.broken.entry(pair).or_default() += 1;
                }
                self.heal_after(i);
            }
            What::Late { from, to, by, .. } => {
                self.late.insert((from, to), by * MS);
                self.heal_after(i);
            }
            // What is on its way is lost.
            What::Reset { from, to } => {
                let lost = |e: &Event| matches!(e, Event::Deliver { to: t, from: f, .. } if (*f, *t) == (from, to) || (*t, *f) == (from, to));
                self.events.retain(|_, event| !lost(event));
            }
            What::EngineDies { engine } => self.engines[engine].queries.clear(),
            What::EngineDrains { engine, .. } => {
                self.engines[engine].drains = true;
                self.heal_after(i);
            }
        }
    }

    fn heal_after(&mut self, i: usize) {
        let span = self.plan.faults[i].span().unwrap_or(0);
        self.after(span * MS, Event::Heal(i));
    }

    fn cut_pairs(&self, what: What) -> Vec<(usize, usize)> {
        let zones = self.fleet.zones;
        let apart = |a: usize, b: usize| match what {
            What::CutZone { zone, .. } => (a % zones == zone) != (b % zones == zone),
            What::CutOff { gateway, .. } => (a == gateway) != (b == gateway),
            _ => false,
        };
        let all = 0..self.fleet.gateways;
        all.clone()
            .flat_map(|a| all.clone().map(move |b| (a, b)))
            .filter(|&(a, b)| apart(a, b))
            .collect()
    }

    fn heal(&mut self, i: usize) {
        let fault = self.plan.faults[i];
        match fault.what {
            What::Stop { gateway, .. } => {
                if !self.nodes[gateway].stopped {
                    return;
                }
                self.trace(|| format!("gateway {gateway} goes on"));
                self.nodes[gateway].stopped = false;
                let held = std::mem::take(&mut self.nodes[gateway].held);
                for event in held {
                    let span = self.rng.random_range(0..MS);
                    self.after(span, event);
                }
                self.look_soon(&BTreeSet::from([gateway]), 20, 300);
            }
            What::End { gateway, .. } if self.is_up(gateway) && self.nodes[gateway].ending => {
                self.die(gateway)
            }
            What::CutZone { .. } | What::CutOff { .. } => {
                for pair in self.cut_pairs(fault.what) {
                    *self.cuts.entry(pair).or_default() -= 1;
                }
                self.look_soon(&(0..self.fleet.gateways).collect(), 20, 400);
            }
            What::Mute { from, to, .. } => *self.broken.entry((from, to)).or_default() -= 1,
            What::Late { from, to, .. } => drop(self.late.remove(&(from, to))),
            What::EngineDrains { engine, .. } => self.engines[engine].drains = false,
            _ => {}
        }
    }

    fn clients_of(&self, gateway: usize) -> Vec<(usize, u64)> {
        let at = |s: &Statement| {
            s.at.filter(|&(g, ..)| g == gateway)
                .map(|(_, _, token)| token)
        };
        self.stmts
            .iter()
            .enumerate()
            .filter_map(|(i, s)| Some((i, at(s)?)))
            .collect()
    }

    fn die(&mut self, gateway: usize) {
        let node = &mut self.nodes[gateway];
        self.totals
            .extend(node.custody.as_ref().map(Ownership::counters));
        let out: Vec<StatementId> = node
            .own
            .iter()
            .filter(|(_, own)| own.out)
            .map(|(&id, _)| id)
            .collect();
        node.custody = None;
        node.birth = 0;
        node.own.clear();
        node.stopped = false;
        node.held.clear();
        node.ending = false;
        for id in out {
            let stmt = self.by_id[&id];
            let runs = self.engines.iter().any(|e| e.queries.contains_key(&id));
            if runs && !self.stmts[stmt].over {
                self.stmts[stmt].caught = Some((self.stmts[stmt].starts, self.now));
                self.lost_at.insert(id, self.now);
            }
        }
        self.look_soon(&BTreeSet::from([gateway]), 300, 1000);
        for (stmt, _) in self.clients_of(gateway) {
            self.come_again(stmt);
        }
    }

    fn restart(&mut self, gateway: usize) {
        if self.is_up(gateway) {
            return;
        }
        let node = self.new_node(gateway);
        let birth = node.birth;
        self.nodes[gateway] = node;
        self.look_soon(&BTreeSet::from([gateway]), 20, 300);
        self.after(1, Event::Wake { at: gateway, birth });
    }

    // ---- clients ----

    fn come_again(&mut self, stmt: usize) {
        self.stmts[stmt].at = None;
        let span = self.between(20, 600);
        if !self.stmts[stmt].over {
            self.stmts[stmt].came_back = true;
            self.after(span, Event::Come { stmt });
        }
    }

    fn come(&mut self, stmt: usize) {
        let left = self.stmts[stmt].deadline.saturating_sub(self.now);
        if self.stmts[stmt].over {
            return;
        }
        if left < 50 * MS {
            // It gives up by itself.
            return self.close_client(stmt);
        }
        let g = self.rng.random_range(0..self.fleet.gateways);
        if !self.is_up(g) || self.nodes[g].ending {
            let span = self.between(5, 60);
            return self.after(span, Event::Come { stmt });
        }
        self.next_token += 1;
        let token = self.next_token;
        self.tokens.insert(token, stmt);
        let id = self.id_of(stmt);
        let facts = StatementSpec {
            remaining_ms: (left / MS) as u32,
            ..self.stmts[stmt].facts.clone()
        };
        self.stmts[stmt].at = Some((g, self.nodes[g].birth, token));
        // A gateway that is stopped takes nothing; the client has patience for a while.
        let patience = left.min(self.between(5000, 7000));
        if self.nodes[g].stopped {
            let span = self.between(600, 1800);
            return self.after(span, Event::ClientGivesUp { stmt, token });
        }
        self.after(patience, Event::ClientGivesUp { stmt, token });
        let now = self.now;
        self.trace(|| format!("client of {id:x} comes to {g}"));
        if self.nodes[g].custody.is_none() {
            return self.begin(g, id, facts, Some(token));
        }
        let mut acts = Acts::default();
        let asks = self.stmts[stmt].work > 200 * MS;
        let arrival = Arrival {
            id,
            spec: facts.clone(),
            worth_lookup: asks,
            waiter: token,
        };
        let custody = self.nodes[g].custody.as_mut();
        let arrived = custody.map(|c| c.on_arrival(now, arrival, &mut acts));
        match arrived {
            Some(ArrivalDecision::Proceed) => self.begin(g, id, facts, Some(token)),
            Some(ArrivalDecision::Answer(word)) => acts.0.push(Act::Answer(token, word)),
            // Kept ready for when it is told to proceed.
            Some(ArrivalDecision::Wait) => self.keep(g, id, facts, Some(token)),
            None => {}
        }
        self.carry_out(g, acts);
    }

    fn close_client(&mut self, stmt: usize) {
        if !self.stmts[stmt].over {
            self.stmts[stmt].over = true;
            self.open -= 1;
        }
    }

    fn tell_client(&mut self, g: usize, token: u64, told: Told) {
        let Some(&stmt) = self.tokens.get(&token) else {
            return;
        };
        let here = self.stmts[stmt].at == Some((g, self.nodes[g].birth, token));
        if !here || self.stmts[stmt].over {
            return;
        }
        self.trace(|| format!("client of {:x} at {g} hears {told:?}", self.id_of(stmt)));
        self.stmts[stmt].told.push(told);
        self.close_client(stmt);
    }

    // ---- what stands for the module ----

    fn keep(&mut self, g: usize, id: StatementId, facts: StatementSpec, token: Option<u64>) {
        if self.nodes[g].own.contains_key(&id) {
            return;
        }
        self.serial += 1;
        let deadline = self.now + u64::from(facts.remaining_ms) * MS;
        let own = Own {
            facts,
            deadline,
            numbers: 0,
            engine: 0,
            out: false,
            may_have_run: false,
            tries: 0,
            token,
            serial: self.serial,
        };
        self.nodes[g].own.insert(id, own);
    }

    fn begin(&mut self, g: usize, id: StatementId, facts: StatementSpec, token: Option<u64>) {
        self.nodes[g].own.remove(&id);
        self.keep(g, id, facts, token);
        self.try_attempt(g, id);
    }

    fn adopt(
        &mut self,
        g: usize,
        id: StatementId,
        facts: StatementSpec,
        left: Nanos,
        engine: Option<u64>,
    ) {
        let remaining_ms = (left / MS) as u32;
        self.trace(|| format!("{g} takes {id:x} over, at engine {engine:?}"));
        self.nodes[g].own.remove(&id);
        self.keep(
            g,
            id,
            StatementSpec {
                remaining_ms,
                ..facts
            },
            None,
        );
        match engine {
            None => self.try_attempt(g, id),
            Some(engine) => {
                let birth = self.nodes[g].birth;
                let Some(own) = self.nodes[g].own.get_mut(&id) else {
                    return;
                };
                own.engine = engine as usize;
                own.out = true;
                own.may_have_run = true;
                own.numbers = 1;
                let (serial, deadline) = (own.serial, own.deadline);
                self.at(
                    deadline,
                    Event::Deadline {
                        by: g,
                        birth,
                        id,
                        serial,
                    },
                );
                self.after(
                    MS / 2,
                    Event::Poll {
                        by: g,
                        birth,
                        id,
                        serial,
                    },
                );
            }
        }
    }

    /// The next execution, as the module would.
    fn try_attempt(&mut self, g: usize, id: StatementId) {
        let engines: Vec<usize> = (0..self.engines.len())
            .filter(|&e| !self.engines[e].drains)
            .collect();
        let now = self.now;
        let birth = self.nodes[g].birth;
        let Some(own) = self.nodes[g].own.get_mut(&id) else {
            return;
        };
        if engines.is_empty() || own.tries > 3 || now >= own.deadline {
            return self.give_up(g, id);
        }
        own.tries += 1;
        let number = own.numbers;
        own.numbers += 1;
        let engine = engines[self.rng.random_range(0..engines.len())];
        own.engine = engine;
        let first = number == 0;
        let (serial, deadline) = (own.serial, own.deadline);
        if first {
            self.at(
                deadline,
                Event::Deadline {
                    by: g,
                    birth,
                    id,
                    serial,
                },
            );
        }
        let mut acts = Acts::default();
        let granted = self.fleet.grants;
        let leave = match self.nodes[g].custody.as_mut().filter(|_| granted) {
            Some(custody) => custody.request_attempt(now, id, number, engine as u64, &mut acts),
            None => GrantDecision::Granted,
        };
        match leave {
            GrantDecision::Granted => self.go(g, id, number),
            GrantDecision::Pending => {}
            GrantDecision::Denied(why) => acts.0.push(Act::AttemptDenied(id, why)),
        }
        self.carry_out(g, acts);
    }

    /// Decided; the process may be stopped before it is written.
    fn go(&mut self, g: usize, id: StatementId, number: u32) {
        let birth = self.nodes[g].birth;
        self.after(
            MS / 10,
            Event::Send {
                by: g,
                birth,
                id,
                number,
            },
        );
    }

    fn send(&mut self, g: usize, birth: u64, id: StatementId, number: u32) {
        let now = self.now;
        if self.nodes[g].birth != birth {
            return;
        }
        let stmt = self.by_id[&id];
        let Some(own) = self.nodes[g]
            .own
            .get_mut(&id)
            .filter(|own| own.numbers == number + 1)
        else {
            return;
        };
        if now >= own.deadline {
            return;
        }
        own.out = true;
        own.may_have_run = true;
        let (engine, serial) = (own.engine, own.serial);
        self.stmts[stmt].starts += 1;
        self.trace(|| format!("{g} starts {id:x} at engine {engine}"));
        let ends_at = now + self.stmts[stmt].work;
        self.engines[engine].queries.insert(
            id,
            Query {
                ends_at,
                asked_at: now,
                by: (g, birth),
            },
        );
        self.after(
            POLL,
            Event::Poll {
                by: g,
                birth,
                id,
                serial,
            },
        );
    }

    fn poll(&mut self, g: usize, birth: u64, id: StatementId, serial: u64) {
        let now = self.now;
        let same = self.nodes[g].birth == birth;
        let Some(own) = self.nodes[g]
            .own
            .get(&id)
            .filter(|own| same && own.out && own.serial == serial)
        else {
            return;
        };
        let engine = own.engine;
        let known = self.engines[engine]
            .queries
            .get_mut(&id)
            .filter(|q| now <= q.asked_at + UNASKED);
        let Some(query) = known else {
            // The engine knows nothing of it.
            self.engines[engine].queries.remove(&id);
            let Some(own) = self.nodes[g].own.get_mut(&id) else {
                return;
            };
            own.out = false;
            if own.facts.idempotent {
                return self.try_attempt(g, id);
            }
            return self.give_up(g, id);
        };
        query.asked_at = now;
        if query.by != (g, birth) {
            query.by = (g, birth);
            if let Some(lost) = self.lost_at.remove(&id) {
                self.first_asks.push((now - lost) / MS);
            }
        }
        if now >= query.ends_at {
            return self.answer_own(g, id, Told::Rows);
        }
        self.after(
            POLL,
            Event::Poll {
                by: g,
                birth,
                id,
                serial,
            },
        );
    }

    fn give_up(&mut self, g: usize, id: StatementId) {
        let Some(own) = self.nodes[g].own.get(&id) else {
            return;
        };
        let clean = own.facts.idempotent || !own.may_have_run;
        let told = if clean { Told::Rejected } else { Told::Aborted };
        self.answer_own(g, id, told);
    }

    fn answer_own(&mut self, g: usize, id: StatementId, told: Told) {
        let now = self.now;
        let Some(own) = self.nodes[g].own.remove(&id) else {
            return;
        };
        let word = match told {
            Told::Rows => {
                FinalAnswer::Rows(vec![serde_bytes::ByteBuf::from(b"a\tb\tc\n".to_vec())])
            }
            Told::Completed => FinalAnswer::CompletedWithoutRows,
            Told::Rejected => FinalAnswer::Rejected { retry_after_ms: 0 },
            Told::Aborted => FinalAnswer::Aborted,
        };
        let mut later = None;
        self.with(g, |custody, _, out| {
            later = custody.on_answered(now, id, word, out)
        });
        if let Some(token) = own.token.filter(|_| later.is_none()) {
            self.tell_client(g, token, told);
        }
    }

    // ---- the verdict ----

    fn verdict(mut self) -> Verdict {
        let mut verdict = Verdict {
            statements: self.stmts.len() as u64,
            messages: self.messages,
            bytes: self.bytes,
            most_entries: self.most_entries,
            faults: self.plan.faults.len() as u64,
            ..Verdict::default()
        };
        self.totals.extend(
            self.nodes
                .iter()
                .filter_map(|n| n.custody.as_ref().map(Ownership::counters)),
        );
        verdict.watched = self.totals.iter().map(|t| t.polled).sum();
        for stmt in &self.stmts {
            let id = stmt.id;
            let load = !stmt.facts.idempotent;
            let heard = |told: Told| stmt.told.contains(&told);
            let served = heard(Told::Rows) || heard(Told::Completed);
            verdict.loads += u64::from(load);
            if load && stmt.starts > 1 {
                self.trace(|| format!("load {id:x} started {} times", stmt.starts));
                verdict.doubled += 1;
            }
            if load && heard(Told::Rejected) && stmt.starts > 0 {
                self.trace(|| format!("load {id:x} refused and started"));
                verdict.refused_and_ran += 1;
            }
            if load && served && (heard(Told::Rejected) || heard(Told::Aborted)) {
                verdict.two_ends += 1;
            }
            verdict.unanswered += u64::from(!stmt.over);
            verdict.served += u64::from(served);
            verdict.refused += u64::from(heard(Told::Rejected));
            verdict.aborted += u64::from(heard(Told::Aborted));
            if let Some((starts, _)) = stmt.caught.filter(|_| stmt.came_back) {
                verdict.caught += 1;
                verdict.carried += u64::from(served && stmt.starts == starts);
                if !(served && stmt.starts == starts) {
                    self.trace(|| {
                        format!(
                            "not carried {id:x}: load {load}, work {}, told {:?}, starts {} after {starts}",
                            stmt.work / MS,
                            stmt.told,
                            stmt.starts
                        )
                    });
                }
            }
        }
        self.first_asks.sort_unstable();
        let at = self.first_asks.len().saturating_sub(1) * 99 / 100;
        verdict.first_ask_p99 = self.first_asks.get(at).copied().unwrap_or(0);
        verdict
    }
}
