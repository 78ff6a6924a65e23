//! Benchmarks of the index of waiting statements against a baseline (a binary heap of due times
//! per team; all teams and a heap are scanned): push, pop, removal from the middle, totals ahead.
//! Also of the timing wheel against a binary tree and a binary heap.

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

struct LaneIndex {
    lanes: Vec<Lane>,
    team_heap: TeamHeap,
    virtual_starts: Vec<u64>,
    sequences: Vec<u64>,
}

impl LaneIndex {
    fn filled(waiting: usize, teams: usize) -> LaneIndex {
        let mut index = LaneIndex {
            lanes: (0..teams).map(|_| Lane::default()).collect(),
            team_heap: TeamHeap::default(),
            virtual_starts: vec![0; teams],
            sequences: vec![0; waiting + 1],
        };
        (0..waiting).for_each(|n| index.push(n, n % teams));
        index
    }
    fn push(&mut self, index: usize, team: usize) {
        let sequences = &mut self.sequences;
        let sequence = self.lanes[team].push(
            StatementIndex(index),
            index as u64,
            100,
            |moved, sequence| sequences[moved.0] = sequence,
        );
        self.sequences[index] = sequence;
        self.team_heap.set(team, (0, self.virtual_starts[team]));
    }
    fn pop(&mut self) -> Option<StatementIndex> {
        let team = self.team_heap.first()?;
        let (statement, sequence, _) = self.lanes[team].front()?;
        self.lanes[team].remove(sequence);
        self.virtual_starts[team] += 100;
        self.team_heap.set(team, (0, self.virtual_starts[team]));
        Some(statement)
    }
}

/// The baseline: a binary heap of due times per team.
struct HeapIndex {
    teams: Vec<BinaryHeap<Reverse<(u64, usize)>>>,
    virtual_starts: Vec<u64>,
}

impl HeapIndex {
    fn filled(waiting: usize, teams: usize) -> HeapIndex {
        let mut plain = HeapIndex {
            teams: vec![BinaryHeap::new(); teams],
            virtual_starts: vec![0; teams],
        };
        (0..waiting).for_each(|n| plain.teams[n % teams].push(Reverse((n as u64, n))));
        plain
    }
    fn pop(&mut self) -> Option<usize> {
        let filled = (0..self.teams.len()).filter(|&t| !self.teams[t].is_empty());
        let team = filled.min_by_key(|&t| self.virtual_starts[t])?;
        self.virtual_starts[team] += 100;
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
        let name = |operation| format!("{operation}, {waiting} waiting, {teams} teams");
        let (mut lanes, mut heaps) = (
            LaneIndex::filled(waiting, teams),
            HeapIndex::filled(waiting, teams),
        );
        c.bench_function(&name("made: pop and push"), |b| {
            b.iter(|| {
                let statement = lanes.pop().unwrap_or(StatementIndex(0));
                lanes.push(statement.0, statement.0 % teams);
            });
        });
        let mut last_due = waiting as u64;
        c.bench_function(&name("plain: pop and push"), |b| {
            b.iter(|| {
                let n = heaps.pop().unwrap_or(0);
                last_due += 1;
                heaps.teams[n % teams].push(Reverse((last_due, n)));
            });
        });
        let (mut lanes, mut heaps) = (
            LaneIndex::filled(waiting, teams),
            HeapIndex::filled(waiting, teams),
        );
        let mut n = waiting / 2;
        c.bench_function(&name("made: remove from the middle and push"), |b| {
            b.iter(|| {
                n = (n + 7919) % waiting;
                let sequence = lanes.sequences[n];
                lanes.lanes[n % teams].remove(sequence);
                lanes.push(n, n % teams);
            });
        });
        c.bench_function(&name("plain: remove from the middle and push"), |b| {
            b.iter(|| {
                n = (n + 7919) % waiting;
                last_due += 1;
                heaps.remove(n % teams, n);
                heaps.teams[n % teams].push(Reverse((last_due, n)));
            });
        });
        let (lanes, heaps) = (
            LaneIndex::filled(waiting, teams),
            HeapIndex::filled(waiting, teams),
        );
        c.bench_function(&name("made: work ahead"), |b| {
            b.iter(|| {
                n = (n + 7919) % waiting;
                black_box(lanes.lanes[n % teams].totals_ahead_of(lanes.sequences[n]))
            });
        });
        c.bench_function(&name("plain: number ahead"), |b| {
            b.iter(|| {
                n = (n + 7919) % waiting;
                black_box(heaps.ahead(n % teams, n as u64))
            });
        });
        let bytes: usize = lanes.lanes.iter().map(Lane::memory_bytes).sum();
        println!(
            "{waiting} waiting, {teams} teams: {} bytes a statement in the lanes",
            bytes / waiting
        );
    }
}

/// Counts the decisions of the queues.
#[derive(Default)]
struct OutputCounter(u64);

impl Output for OutputCounter {
    fn release(&mut self, _statement: StatementIndex, _is_within_share: bool) {
        self.0 += 1;
    }
    fn reject(&mut self, _statement: StatementIndex, _retry_after: u64) {
        self.0 += 1;
    }
    fn log_mode_change(&mut self, _team: Option<usize>, _line: &str) {}
}

/// The complete decision: a waiting statement is removed, and one of a team over its share arrives
/// and is queued or rejected.
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
        let (mut queues, mut output) = (TeamQueues::new(budgets, 7, 0), OutputCounter::default());
        // Too little capacity to release a statement: all of them wait.
        queues.set_capacity(0, 0.001, &mut output);
        let arrival = |n: usize| QueueArrival {
            team: n % teams,
            workload: n % 3,
            estimated_work: 1_000,
            bytes: 100,
            deadline: u64::MAX / 4,
        };
        (0..waiting).for_each(|n| {
            queues.on_statement_arrived(0, StatementIndex(n), arrival(n), &mut output)
        });
        let (mut n, mut now) = (0, 0);
        c.bench_function(
            &format!("decision: one comes, one leaves, {waiting} waiting, {teams} teams"),
            |b| {
                b.iter(|| {
                    n = (n + 7919) % waiting;
                    now += 1_000;
                    queues.remove(now, StatementIndex(n), &mut output);
                    queues.on_statement_arrived(now, StatementIndex(n), arrival(n), &mut output);
                });
            },
        );
        println!(
            "{} waiting, {teams} teams: {} bytes a statement",
            queues.queued_count(),
            queues.memory_bytes() / waiting
        );
    }
}

fn timing_wheel(c: &mut Criterion) {
    for count in [1_000usize, 100_000] {
        let name = |operation| format!("{operation}, {count} timers");
        let mut timing_wheel = TimingWheel::new(0);
        let expiry = |n: usize| (n as u64 * 7919 % 4_000) * 1_000_000;
        let mut handles: Vec<_> = (0..count)
            .map(|n| timing_wheel.insert(expiry(n), n))
            .collect();
        let mut n = 0;
        c.bench_function(&name("wheel: unset and set"), |b| {
            b.iter(|| {
                n = (n + 31) % count;
                timing_wheel.remove(handles[n]);
                handles[n] = timing_wheel.insert(expiry(n), n);
            });
        });
        let mut tree = std::collections::BTreeMap::new();
        tree.extend((0..count).map(|n| ((expiry(n), n), ())));
        c.bench_function(&name("tree: unset and set"), |b| {
            b.iter(|| {
                n = (n + 31) % count;
                tree.remove(&(expiry(n), n));
                tree.insert((expiry(n), n), ());
            });
        });
        c.bench_function(&name("wheel: fire all"), |b| {
            let fill = || {
                let mut timing_wheel = TimingWheel::new(0);
                for n in 0..count {
                    timing_wheel.insert(expiry(n), n);
                }
                timing_wheel
            };
            b.iter_batched(
                fill,
                |mut timing_wheel| {
                    while black_box(timing_wheel.pop_expired(5_000_000_000)).is_some() {}
                },
                BatchSize::LargeInput,
            );
        });
        c.bench_function(&name("heap: fire all"), |b| {
            let fill = || {
                (0..count)
                    .map(|n| Reverse((expiry(n), n)))
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
    targets = decisions, index, timing_wheel
}
criterion_main!(all);
