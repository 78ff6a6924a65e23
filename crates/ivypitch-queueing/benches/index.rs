//! The index of waiting statements against a plain one (one binary heap of due times a team, all teams and a heap
//! scanned): push, take the next, take out of the middle, sum what is ahead; and the wheel against a binary heap.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use ivypitch_queueing::lane::Lane;
use ivypitch_queueing::team_heap::TeamHeap;
use ivypitch_queueing::timing_wheel::TimingWheel;
use ivypitch_queueing::window::WindowPolicy;
use ivypitch_queueing::{
    Budgets, Output, QueueArrival, TeamBudget, TeamQueues, WorkloadQueueParams,
};
use ivypitch_types::StatementIndex;

const SIZES: [(usize, usize); 4] = [(1_000, 3), (1_000, 1_000), (100_000, 3), (100_000, 1_000)];

struct Index {
    lanes: Vec<Lane>,
    ranks: TeamHeap,
    tags: Vec<u64>,
    numbers: Vec<u64>,
}

impl Index {
    fn filled(waiting: usize, teams: usize) -> Index {
        let mut index = Index {
            lanes: (0..teams).map(|_| Lane::default()).collect(),
            ranks: TeamHeap::default(),
            tags: vec![0; teams],
            numbers: vec![0; waiting + 1],
        };
        (0..waiting).for_each(|n| index.push(n, n % teams));
        index
    }
    fn push(&mut self, n: usize, team: usize) {
        let numbers = &mut self.numbers;
        let number = self.lanes[team].push(StatementIndex(n), n as u64, 100, |ix, number| {
            numbers[ix.0] = number
        });
        self.numbers[n] = number;
        self.ranks.set(team, (0, self.tags[team]));
    }
    fn pop(&mut self) -> Option<StatementIndex> {
        let team = self.ranks.first()?;
        let (ix, number, _) = self.lanes[team].front()?;
        self.lanes[team].remove(number);
        self.tags[team] += 100;
        self.ranks.set(team, (0, self.tags[team]));
        Some(ix)
    }
}

/// What one would write first.
struct Plain {
    teams: Vec<BinaryHeap<Reverse<(u64, usize)>>>,
    tags: Vec<u64>,
}

impl Plain {
    fn filled(waiting: usize, teams: usize) -> Plain {
        let mut plain = Plain {
            teams: vec![BinaryHeap::new(); teams],
            tags: vec![0; teams],
        };
        (0..waiting).for_each(|n| plain.teams[n % teams].push(Reverse((n as u64, n))));
        plain
    }
    fn pop(&mut self) -> Option<usize> {
        let filled = (0..self.teams.len()).filter(|&t| !self.teams[t].is_empty());
        let team = filled.min_by_key(|&t| self.tags[t])?;
        self.tags[team] += 100;
        self.teams[team].pop().map(|Reverse((_, n))| n)
    }
    fn remove(&mut self, team: usize, n: usize) {
        self.teams[team].retain(|Reverse((_, m))| *m != n);
    }
    fn ahead(&self, team: usize, n: u64) -> usize {
        self.teams[team]
            .iter()
            .filter(|Reverse((due, _))| *due < n)
            .count()
    }
}

fn index(c: &mut Criterion) {
    for (waiting, teams) in SIZES {
        let name = |what| format!("{what}, {waiting} waiting, {teams} teams");
        let (mut made, mut plain) = (Index::filled(waiting, teams), Plain::filled(waiting, teams));
        c.bench_function(&name("made: pop and push"), |b| {
            b.iter(|| {
                let ix = made.pop().unwrap_or(StatementIndex(0));
                made.push(ix.0, ix.0 % teams);
            });
        });
        let mut last = waiting as u64;
        c.bench_function(&name("plain: pop and push"), |b| {
            b.iter(|| {
                let n = plain.pop().unwrap_or(0);
                last += 1;
                plain.teams[n % teams].push(Reverse((last, n)));
            });
        });
        let (mut made, mut plain) = (Index::filled(waiting, teams), Plain::filled(waiting, teams));
        let mut n = waiting / 2;
        c.bench_function(&name("made: remove from the middle and push"), |b| {
            b.iter(|| {
                n = (n + 7919) % waiting;
                let number = made.numbers[n];
                made.lanes[n % teams].remove(number);
                made.push(n, n % teams);
            });
        });
        c.bench_function(&name("plain: remove from the middle and push"), |b| {
            b.iter(|| {
                n = (n + 7919) % waiting;
                last += 1;
                plain.remove(n % teams, n);
                plain.teams[n % teams].push(Reverse((last, n)));
            });
        });
        let (made, plain) = (Index::filled(waiting, teams), Plain::filled(waiting, teams));
        c.bench_function(&name("made: work ahead"), |b| {
            b.iter(|| {
                n = (n + 7919) % waiting;
                black_box(made.lanes[n % teams].totals_ahead_of(made.numbers[n]))
            });
        });
        c.bench_function(&name("plain: number ahead"), |b| {
            b.iter(|| {
                n = (n + 7919) % waiting;
                black_box(plain.ahead(n % teams, n as u64))
            });
        });
        let bytes: usize = made.lanes.iter().map(Lane::memory_bytes).sum();
        println!(
            "{waiting} waiting, {teams} teams: {} bytes a statement in the lanes",
            bytes / waiting
        );
    }
}

/// Acts of the whole are dropped, counts kept.
#[derive(Default)]
struct Count(u64);

impl Output for Count {
    fn release(&mut self, _statement: StatementIndex, _is_within_share: bool) {
        self.0 += 1;
    }
    fn reject(&mut self, _statement: StatementIndex, _retry_after: u64) {
        self.0 += 1;
    }
    fn log_mode_change(&mut self, _team: Option<usize>, _line: &str) {}
}

/// The whole decision: one statement comes and, its team over its share, waits or is sent away; one that waits leaves.
fn decisions(c: &mut Criterion) {
    for (waiting, teams) in SIZES {
        let terms = |priority_weight| WorkloadQueueParams {
            priority_weight,
            latency_objective: 800_000_000,
            threads: 1.0,
            is_bulk_load: false,
            usual_work: 100_000_000,
            slack: 320_000_000,
            max_wait: u64::MAX / 8,
        };
        let budgets = Budgets {
            workloads: vec![terms(1.0), terms(8.0), terms(8.0)],
            teams: vec![TeamBudget::default(); teams],
            other: TeamBudget::default(),
            max_queued: usize::MAX,
            max_queued_bytes: usize::MAX,
            preempts_from_priority_weight: 100.0,
            max_retry_after: 2_000_000_000,
            window_policy: WindowPolicy::Fixed,
        };
        let (mut all, mut out) = (TeamQueues::new(budgets, 7, 0), Count::default());
        // Too little to serve any of it: all of it waits.
        all.set_capacity(0, 0.001, &mut out);
        let claim = |n: usize| QueueArrival {
            team: n % teams,
            workload: n % 3,
            estimated_work: 1_000,
            bytes: 100,
            deadline: u64::MAX / 4,
        };
        (0..waiting)
            .for_each(|n| all.on_statement_arrived(0, StatementIndex(n), claim(n), &mut out));
        let (mut n, mut now) = (0, 0);
        c.bench_function(
            &format!("decision: one comes, one leaves, {waiting} waiting, {teams} teams"),
            |b| {
                b.iter(|| {
                    n = (n + 7919) % waiting;
                    now += 1_000;
                    all.remove(now, StatementIndex(n), &mut out);
                    all.on_statement_arrived(now, StatementIndex(n), claim(n), &mut out);
                });
            },
        );
        println!(
            "{} waiting, {teams} teams: {} bytes a statement",
            all.queued_count(),
            all.memory_bytes() / waiting
        );
    }
}

fn wheel(c: &mut Criterion) {
    for count in [1_000usize, 100_000] {
        let name = |what| format!("{what}, {count} timers");
        let mut wheel = TimingWheel::new(0);
        let far = |n: usize| (n as u64 * 7919 % 4_000) * 1_000_000;
        let mut handles: Vec<_> = (0..count).map(|n| wheel.insert(far(n), n)).collect();
        let mut n = 0;
        c.bench_function(&name("wheel: unset and set"), |b| {
            b.iter(|| {
                n = (n + 31) % count;
                wheel.remove(handles[n]);
                handles[n] = wheel.insert(far(n), n);
            });
        });
        let mut tree = std::collections::BTreeMap::new();
        tree.extend((0..count).map(|n| ((far(n), n), ())));
        c.bench_function(&name("tree: unset and set"), |b| {
            b.iter(|| {
                n = (n + 31) % count;
                tree.remove(&(far(n), n));
                tree.insert((far(n), n), ());
            });
        });
        c.bench_function(&name("wheel: fire all"), |b| {
            let fill = || {
                let mut wheel = TimingWheel::new(0);
                for n in 0..count {
                    wheel.insert(far(n), n);
                }
                wheel
            };
            b.iter_batched(
                fill,
                |mut wheel| while black_box(wheel.pop_expired(5_000_000_000)).is_some() {},
                BatchSize::LargeInput,
            );
        });
        c.bench_function(&name("heap: fire all"), |b| {
            let fill = || {
                (0..count)
                    .map(|n| Reverse((far(n), n)))
                    .collect::<BinaryHeap<_>>()
            };
            b.iter_batched(
                fill,
                |mut heap| while black_box(heap.pop()).is_some() {},
                BatchSize::LargeInput,
            );
        });
    }
}

criterion_group! {
    name = all;
    config = Criterion::default().sample_size(20).without_plots()
        .warm_up_time(std::time::Duration::from_millis(200))
        .measurement_time(std::time::Duration::from_millis(600));
    targets = decisions, index, wheel
}
criterion_main!(all);
