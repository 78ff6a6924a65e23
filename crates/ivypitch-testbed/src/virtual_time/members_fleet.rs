//! Membership of a whole fleet in virtual time: how soon a loss is known to all, and who is taken for lost that lives.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use ivypitch_membership::{
    MemberAddress, MemberList, Membership, MembershipConfig, MembershipEvent, MembershipParams,
    OutgoingDatagram, PartitionSuspicion,
};
use ivypitch_types::{Incarnation, MemberId, Nanos, ProcessId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::cost;

const MS: Nanos = 1_000_000;

#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub members: usize,
    pub zones: usize,
    /// Part of the datagrams that are lost.
    pub drop: f64,
    /// Milliseconds that a datagram takes, from and to.
    pub way: (f64, f64),
    /// Seconds after all have found each other that are not counted, as the news of the start still go round; and
    /// those that are.
    pub settles: u64,
    pub seconds: u64,
    /// One is killed each so many milliseconds, and comes back 1.5 s later; 0: none.
    pub kill_each: u64,
    /// For so many milliseconds in the middle a zone is cut off; 0: none.
    pub cut: u64,
    pub config: MembershipConfig,
}

#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Told {
    pub kills: u64,
    /// Milliseconds from a kill until a living member knows, over all pairs.
    pub p50_ms: u64,
    pub p99_ms: u64,
    pub most_ms: u64,
    /// Pairs that did not hear of it before it was back.
    pub unheard: u64,
    /// Members told lost though they lived and could be reached: distinct ones, and the words of it.
    pub false_lost: u64,
    pub false_words: u64,
    pub datagrams_a_member_s: f64,
    pub bytes_a_member_s: f64,
    /// Until all heard all, from the first start.
    pub joined_ms: u64,
    /// Bytes that a member sent until what is counted begins; and in the busiest second of it.
    pub started_bytes_a_member: f64,
    pub busiest_bytes_a_member_s: f64,
    /// Processor time of a member a second, once all hear all; this simulator's queue is in it.
    pub cpu_a_member_s: f64,
    /// Memory of a member as all hear all, the datagrams under way in it.
    pub memory_a_member: f64,
    /// Of a cut: members on the smaller side that doubted themselves, of all there, and of the others.
    pub doubted: u64,
    pub doubted_elsewhere: u64,
}

/// From whom, and what; `None`: a wake.
type Datagram = Option<(usize, Vec<u8>)>;

struct Sim {
    fleet: Fleet,
    now: Nanos,
    members: Vec<Option<Membership>>,
    births: Vec<u64>,
    /// Datagrams under way and wakes, in the order of their time.
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: BTreeMap<u64, (usize, Datagram)>,
    serial: u64,
    wakes: Vec<Nanos>,
    rng: ChaCha8Rng,
    is_cut: bool,
    sent: u64,
    bytes: u64,
}

impl Sim {
    fn member_list(&self) -> MemberList {
        let member = |i: usize| MemberAddress {
            name: format!("n{i}"),
            zone: (i % self.fleet.zones) as u16,
            address: ([127, 0, 0, 1], 1000 + i as u16).into(),
        };
        MemberList {
            members: (0..self.fleet.members).map(member).collect(),
            zones: (0..self.fleet.zones).map(|z| format!("z{z}")).collect(),
        }
    }

    fn start(&mut self, i: usize) {
        self.births[i] += 1;
        let seed = self.rng.random();
        let membership = Membership::new(MembershipParams {
            members: self.member_list(),
            process: ProcessId {
                member: MemberId(i as u16),
                incarnation: Incarnation(self.births[i]),
            },
            protocol_version: 1,
            config: self.fleet.config,
            seed,
            now: self.now,
        });
        self.members[i] = Some(membership);
        self.wakes[i] = Nanos::MAX;
        self.carry(i);
    }

    fn push(&mut self, at: Nanos, to: usize, datagram: Datagram) {
        self.serial += 1;
        self.events.insert(self.serial, (to, datagram));
        self.queue.push(Reverse((at, self.serial)));
    }

    fn carry(&mut self, i: usize) {
        let cut = self.fleet.zones;
        while let Some(OutgoingDatagram { to, data }) =
            self.members[i].as_mut().and_then(Membership::next_datagram)
        {
            let to = to.as_usize();
            self.sent += 1;
            self.bytes += data.len() as u64;
            let apart = self.is_cut && i.is_multiple_of(cut) != to.is_multiple_of(cut);
            if apart || self.rng.random_bool(self.fleet.drop) {
                continue;
            }
            let (low, high) = self.fleet.way;
            let way = (self.rng.random_range(low..high) * MS as f64) as Nanos;
            self.push(self.now + way, to, Some((i, data)));
        }
        let Some(next) = self.members[i].as_ref().map(Membership::next_timer) else {
            return;
        };
        if next < self.wakes[i] {
            self.wakes[i] = next.max(self.now + 1);
            self.push(self.wakes[i], i, None);
        }
    }

    /// Until then; each piece of news goes to `news`.
    fn run(&mut self, until: Nanos, news: &mut impl FnMut(&Sim, Nanos, usize, MembershipEvent)) {
        while let Some(&Reverse((at, serial))) =
            self.queue.peek().filter(|Reverse((at, _))| *at <= until)
        {
            self.queue.pop();
            let Some((to, datagram)) = self.events.remove(&serial) else {
                continue;
            };
            self.now = at;
            let now = at;
            let Some(members) = self.members[to].as_mut() else {
                continue;
            };
            match datagram {
                Some((_, data)) => members.on_datagram(now, &data),
                None if self.wakes[to] == at => {
                    self.wakes[to] = Nanos::MAX;
                    members.on_timer(now);
                }
                None => continue,
            }
            self.carry(to);
            while let Some(what) = self.members[to].as_mut().and_then(Membership::next_event) {
                news(self, now, to, what);
            }
        }
        self.now = until;
    }
}

pub fn play(fleet: Fleet, seed: u64) -> Told {
    let n = fleet.members;
    let mut sim = Sim {
        fleet,
        now: 0,
        members: (0..n).map(|_| None).collect(),
        births: vec![0; n],
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        serial: 0,
        wakes: vec![Nanos::MAX; n],
        rng: ChaCha8Rng::seed_from_u64(seed),
        is_cut: false,
        sent: 0,
        bytes: 0,
    };
    let mut told = Told::default();
    let held = cost::resident();
    for i in 0..n {
        sim.start(i);
    }
    // Until all hear all, and the news of it have gone round.
    let all = |sim: &Sim| {
        sim.members
            .iter()
            .flatten()
            .all(|m| usize::from(m.connectivity().reachable_members()) == n)
    };
    let mut settled = Nanos::MAX;
    let mut by_second: BTreeMap<Nanos, u64> = BTreeMap::new();
    while sim.now < settled {
        if settled == Nanos::MAX && (all(&sim) || sim.now >= 60_000 * MS) {
            told.joined_ms = sim.now / MS;
            settled = sim.now + fleet.settles * 1000 * MS;
            continue;
        }
        let (until, before) = (sim.now + 100 * MS, sim.bytes);
        sim.run(until, &mut |_, _, _, _| {});
        *by_second.entry(sim.now / (1000 * MS)).or_default() += sim.bytes - before;
    }
    told.busiest_bytes_a_member_s =
        by_second.values().copied().max().unwrap_or(0) as f64 / n as f64;
    told.started_bytes_a_member = sim.bytes as f64 / n as f64;
    told.memory_a_member = (cost::resident() - held).max(0.0) / n as f64;
    (sim.sent, sim.bytes) = (0, 0);
    let worked = cost::thread_s();
    let begun = sim.now;
    let end = begun + fleet.seconds * 1000 * MS;
    let mut killed: BTreeMap<(usize, u64), (Nanos, u64)> = BTreeMap::new();
    let mut back: Vec<(Nanos, usize)> = Vec::new();
    let mut times: Vec<u64> = Vec::new();
    let mut falsely: BTreeMap<usize, u64> = BTreeMap::new();
    let mut doubts = (0, 0);
    let mut next_kill = if fleet.kill_each > 0 {
        begun + fleet.kill_each * MS
    } else {
        Nanos::MAX
    };
    let (cut_from, cut_to) = match fleet.cut {
        0 => (Nanos::MAX, Nanos::MAX),
        span => (
            begun + fleet.seconds * 500 * MS,
            begun + (fleet.seconds * 500 + span) * MS,
        ),
    };
    while sim.now < end {
        let next_back = back.first().map_or(Nanos::MAX, |b| b.0);
        let mut until = end.min(next_kill).min(next_back);
        for edge in [cut_from, cut_to] {
            if edge > sim.now {
                until = until.min(edge);
            }
        }
        sim.run(until, &mut |sim, now, by, news| match news {
            MembershipEvent::MemberDown(ProcessId {
                member,
                incarnation: Incarnation(birth),
            }) => {
                let key = (member.as_usize(), birth);
                if let Some((at, heard)) = killed.get_mut(&key) {
                    times.push((now - *at) / MS);
                    *heard += 1;
                } else if sim.births[key.0] == birth && cut_from == Nanos::MAX {
                    *falsely.entry(key.0).or_default() += 1;
                }
            }
            MembershipEvent::PartitionSuspicionChanged(
                PartitionSuspicion::Minority | PartitionSuspicion::Isolated,
            ) if sim.is_cut => {
                if by % sim.fleet.zones == 0 {
                    doubts.0 += 1
                } else {
                    doubts.1 += 1
                }
            }
            _ => {}
        });
        if sim.now == next_back {
            let (_, i) = back.remove(0);
            sim.start(i);
        }
        if sim.now == next_kill {
            let i = sim.rng.random_range(0..n);
            next_kill += fleet.kill_each * MS;
            if sim.members[i].is_some() {
                killed.insert((i, sim.births[i]), (sim.now, 0));
                sim.members[i] = None;
                back.push((sim.now + 1500 * MS, i));
            }
        }
        sim.is_cut = sim.now >= cut_from && sim.now < cut_to;
    }
    times.sort_unstable();
    let at = |q: f64| {
        times
            .get(((times.len() as f64 * q) as usize).min(times.len().saturating_sub(1)))
            .copied()
    };
    told.kills = killed.len() as u64;
    told.p50_ms = at(0.5).unwrap_or(0);
    told.p99_ms = at(0.99).unwrap_or(0);
    told.most_ms = at(1.0).unwrap_or(0);
    // The last ones are not judged: the run may have ended before.
    let judged = killed.values().filter(|(at, _)| *at + 1500 * MS < end);
    told.unheard = judged
        .map(|(_, heard)| (n as u64 - 2).saturating_sub(*heard))
        .sum();
    told.false_lost = falsely.len() as u64;
    told.false_words = falsely.values().sum();
    let member_seconds = n as f64 * fleet.seconds as f64;
    told.cpu_a_member_s = (cost::thread_s() - worked) / member_seconds;
    told.datagrams_a_member_s = sim.sent as f64 / member_seconds;
    told.bytes_a_member_s = sim.bytes as f64 / member_seconds;
    (told.doubted, told.doubted_elsewhere) = doubts;
    told
}
