//! Plays the text scenarios. `;` or a new line ends a step, `#` begins a comment, times are milliseconds.
//!
//! `workload NAME importance= slo= work= threads= load=1 wait= slack=`, `team NAME share= rate= burst= released=
//! queue= bytes=`, `other ..` and `all queue= bytes= back=` set up; `cores N` starts at first use. `at T` plays the
//! clock, with its wakes and the ends of what was released, which takes `real` over the workload's threads, more
//! where more threads are out than cores; `vary=0.5` scatters it by half. `jump T` moves the clock first and wakes once. `come TEAM WORKLOAD [xN]
//! [as=NAME] [told=] [real=] [left=] [bytes=]`, `flood TEAM WORKLOAD every= for= [again=1] ..` (again: the rejected
//! come back as they were told), `leave NAME`, `stop BY`, `budget TEAM k=v ..` reloads. Asked are `is NAME
//! waiting|out|rejected|done|gone`, `count TEAM|all waiting|out|rejected|done LOW HIGH`, `used TEAM LOW HIGH`
//! (core-seconds), `longest TEAM WORKLOAD MS`, `order NAMES`, `estimates LEAST-PERCENT`, `said WORDS`.

use ivypitch_queueing::budgets::LaneLimits;
use ivypitch_queueing::window::WindowPolicy;
use ivypitch_queueing::{
    Budgets, Output, QueueArrival, TeamBudget, TeamQueues, WorkloadQueueParams,
};
use ivypitch_types::{Nanos, StatementIndex};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use test_case::test_case;

const MS: Nanos = 1_000_000;

struct Fields<'a>(Vec<&'a str>);

impl<'a> Fields<'a> {
    fn text(&self, name: &str) -> Option<&'a str> {
        self.0
            .iter()
            .find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
    }
    fn number(&self, name: &str, otherwise: f64) -> f64 {
        self.text(name)
            .map_or(otherwise, |v| v.parse().expect(name))
    }
    fn ms(&self, name: &str, otherwise: f64) -> Nanos {
        (self.number(name, otherwise) * MS as f64) as Nanos
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum State {
    Waiting,
    Out,
    Rejected,
    Done,
    Gone,
}

#[derive(Clone)]
struct Stmt {
    name: String,
    team: usize,
    workload: usize,
    came: Nanos,
    real: Nanos,
    claim: QueueArrival,
    state: State,
    again: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End(usize, Nanos),
    Come(usize),
}

#[derive(Default)]
struct World {
    now: Nanos,
    stmts: Vec<Stmt>,
    events: BinaryHeap<Reverse<(Nanos, Event)>>,
    threads: Vec<f64>,
    out: f64,
    cores: f64,
    longest: HashMap<(usize, usize), Nanos>,
    order: Vec<String>,
    said: Vec<String>,
}

impl Output for World {
    fn release(&mut self, ix: StatementIndex, _is_within_share: bool) {
        let stmt = &mut self.stmts[ix.0];
        assert_eq!(stmt.state, State::Waiting, "{} released", stmt.name);
        stmt.state = State::Out;
        let threads = self.threads[stmt.workload];
        self.out += threads;
        let crowd = (self.out / self.cores.max(1e-9)).max(1.0);
        let took = (stmt.real as f64 / threads * crowd) as Nanos;
        let longest = self.longest.entry((stmt.team, stmt.workload)).or_default();
        *longest = (*longest).max(self.now - stmt.came);
        self.order.push(stmt.name.clone());
        self.events
            .push(Reverse((self.now + took, Event::End(ix.0, took))));
    }
    fn reject(&mut self, ix: StatementIndex, retry_after: Nanos) {
        let stmt = &mut self.stmts[ix.0];
        assert_eq!(stmt.state, State::Waiting, "{} rejected", stmt.name);
        stmt.state = State::Rejected;
        if stmt.again && retry_after > 0 {
            let again = Stmt {
                came: self.now + retry_after,
                state: State::Waiting,
                ..stmt.clone()
            };
            self.stmts.push(again);
            self.events.push(Reverse((
                self.now + retry_after,
                Event::Come(self.stmts.len() - 1),
            )));
        }
    }
    fn log_mode_change(&mut self, team: Option<usize>, line: &str) {
        self.said.push(format!(
            "{} {line}",
            team.map_or("all".into(), |t| t.to_string())
        ));
    }
}

struct Player {
    budgets: Budgets,
    workloads: Vec<String>,
    teams: Vec<String>,
    started: Option<TeamQueues>,
    world: World,
}

impl Player {
    fn now(&self) -> Nanos {
        self.world.now
    }

    fn team(&self, name: &str) -> usize {
        // One that our file does not name has a number behind the others.
        self.teams
            .iter()
            .position(|t| t == name)
            .unwrap_or_else(|| {
                self.teams.len()
                    + name
                        .trim_start_matches('t')
                        .parse::<usize>()
                        .unwrap_or_default()
            })
    }

    fn workload(&self, name: &str) -> usize {
        self.workloads.iter().position(|w| w == name).expect(name)
    }

    fn wake_and_end(&mut self, until: Nanos) {
        let Some(teams) = &mut self.started else {
            return;
        };
        loop {
            let wake = teams.next_timer().map(|at| at.max(self.world.now));
            let event = self.world.events.peek().map(|Reverse((at, _))| *at);
            let at = wake
                .into_iter()
                .chain(event)
                .min()
                .filter(|&at| at <= until);
            let Some(at) = at else { break };
            self.world.now = self.world.now.max(at);
            if event == Some(at) {
                let Some(Reverse((_, event))) = self.world.events.pop() else {
                    break;
                };
                match event {
                    Event::End(ix, took) => {
                        let stmt = &mut self.world.stmts[ix];
                        stmt.state = State::Done;
                        let real = stmt.real;
                        self.world.out -= self.world.threads[stmt.workload];
                        teams.on_statement_ended(
                            self.world.now,
                            StatementIndex(ix),
                            Some(real),
                            Some(took),
                            &mut self.world,
                        );
                    }
                    Event::Come(ix) => {
                        let stmt = &self.world.stmts[ix];
                        if stmt.claim.deadline > self.world.now {
                            let claim = stmt.claim;
                            teams.on_statement_arrived(
                                self.world.now,
                                StatementIndex(ix),
                                claim,
                                &mut self.world,
                            );
                        } else {
                            self.world.stmts[ix].state = State::Gone;
                        }
                    }
                }
            } else {
                teams.on_timer(self.world.now, &mut self.world);
            }
        }
        self.world.now = self.world.now.max(until);
        teams.on_timer(self.world.now, &mut self.world);
    }

    fn stmt(&mut self, team: &str, workload: &str, fields: &Fields, at: Nanos) -> usize {
        let (team, workload) = (self.team(team), self.workload(workload));
        let usual = self.budgets.workloads[workload].usual_work as f64 / MS as f64;
        let claim = QueueArrival {
            team,
            workload,
            estimated_work: fields.ms("told", 0.0),
            bytes: fields.number("bytes", 100.0) as usize,
            deadline: at + fields.ms("left", 20_000.0),
        };
        let name = fields
            .text("as")
            .map_or_else(|| format!("#{}", self.world.stmts.len()), str::to_owned);
        // Work scatters by the statement's number, alike at every run.
        let scatter = fields.number("vary", 0.0);
        let chance = (self.world.stmts.len() as f64 * 0.618_033_988_7).fract() - 0.5;
        let real = (fields.ms("real", usual) as f64 * (1.0 + 2.0 * scatter * chance)) as Nanos;
        let again = fields.number("again", 0.0) > 0.0;
        let stmt = Stmt {
            name,
            team,
            workload,
            came: at,
            real,
            claim,
            state: State::Waiting,
            again,
        };
        self.world.stmts.push(stmt);
        self.world.stmts.len() - 1
    }

    fn named(&self, name: &str) -> usize {
        self.world
            .stmts
            .iter()
            .rposition(|s| s.name == name)
            .expect(name)
    }

    fn step(&mut self, words: &[&str]) {
        let fields = Fields(words.to_vec());
        let budget = |old: TeamBudget| {
            let rate = fields.number("rate", old.work_cores);
            TeamBudget {
                share: fields.number("share", old.share),
                work_cores: rate,
                burst_core_seconds: fields.number(
                    "burst",
                    if rate.is_finite() {
                        rate
                    } else {
                        old.burst_core_seconds
                    },
                ),
                max_released_threads: fields.number("released", old.max_released_threads),
                max_queued: fields.number("queue", old.max_queued as f64) as usize,
                max_queued_bytes: fields.number("bytes", old.max_queued_bytes as f64) as usize,
                lanes: fields.text("lane-queue").map_or(old.lanes, |most| {
                    let max_queued = most.parse().unwrap();
                    let lane = LaneLimits {
                        max_queued,
                        ..LaneLimits::default()
                    };
                    vec![lane; self.workloads.len()]
                }),
            }
        };
        match words {
            ["workload", name, ..] => {
                let priority_weight = fields.number("importance", 1.0);
                let slo = fields.ms("slo", 800.0);
                self.workloads.push(name.to_string());
                self.world.threads.push(fields.number("threads", 1.0));
                self.budgets.workloads.push(WorkloadQueueParams {
                    priority_weight,
                    latency_objective: slo,
                    threads: fields.number("threads", 1.0),
                    is_bulk_load: fields.number("load", 0.0) > 0.0,
                    usual_work: fields.ms("work", 100.0),
                    slack: fields.text("slack").map_or(
                        WorkloadQueueParams::default_slack(slo, priority_weight, 1.0),
                        |_| fields.ms("slack", 0.0),
                    ),
                    max_wait: fields.ms("wait", 400.0),
                });
            }
            ["team", name, ..] => {
                self.teams.push(name.to_string());
                self.budgets.teams.push(budget(TeamBudget::default()));
            }
            ["other", ..] => self.budgets.other = budget(TeamBudget::default()),
            ["all", ..] => {
                self.budgets.max_queued = fields.number("queue", 1e9) as usize;
                self.budgets.max_queued_bytes = fields.number("bytes", 1e12) as usize;
                self.budgets.max_retry_after = fields.ms("back", 0.0);
            }
            ["cores", cores] => {
                let cores: f64 = cores.parse().unwrap();
                self.world.cores = cores;
                let (budgets, now) = (&self.budgets, self.world.now);
                let teams = self
                    .started
                    .get_or_insert_with(|| TeamQueues::new(budgets.clone(), 7, now));
                teams.set_capacity(now, cores, &mut self.world);
            }
            ["at", at] => self.wake_and_end(at.parse::<u64>().unwrap() * MS),
            ["jump", at] => {
                self.world.now = at.parse::<u64>().unwrap() * MS;
                let now = self.world.now;
                self.started
                    .as_mut()
                    .unwrap()
                    .on_timer(now, &mut self.world);
                self.wake_and_end(now);
            }
            ["come", team, workload, ..] => {
                let times = words
                    .iter()
                    .find_map(|w| w.strip_prefix('x')?.parse().ok())
                    .unwrap_or(1);
                for _ in 0..times {
                    let ix = self.stmt(team, workload, &fields, self.now());
                    let claim = self.world.stmts[ix].claim;
                    let now = self.world.now;
                    self.started.as_mut().unwrap().on_statement_arrived(
                        now,
                        StatementIndex(ix),
                        claim,
                        &mut self.world,
                    );
                }
            }
            ["flood", team, workload, ..] => {
                let (every, span) = (fields.ms("every", 1.0), fields.ms("for", 1000.0));
                let from = self.now() + fields.ms("after", 0.0);
                for n in 0..span / every {
                    let at = from + n * every;
                    let ix = self.stmt(team, workload, &fields, at);
                    self.world.events.push(Reverse((at, Event::Come(ix))));
                }
            }
            ["leave", name] => {
                let ix = self.named(name);
                let now = self.world.now;
                let left =
                    self.started
                        .as_mut()
                        .unwrap()
                        .remove(now, StatementIndex(ix), &mut self.world);
                assert_eq!(
                    left,
                    self.world.stmts[ix].state == State::Waiting,
                    "{name} leaves"
                );
                if left {
                    self.world.stmts[ix].state = State::Gone;
                }
            }
            ["stop", by] => {
                let (now, by) = (self.world.now, by.parse::<u64>().unwrap() * MS);
                self.started
                    .as_mut()
                    .unwrap()
                    .on_shutdown(now, by, &mut self.world);
            }
            ["budget", team, ..] => {
                let team = self.team(team);
                self.budgets.teams[team] = budget(self.budgets.teams[team].clone());
                let (budgets, now) = (self.budgets.clone(), self.world.now);
                self.started
                    .as_mut()
                    .unwrap()
                    .reload(now, budgets, &mut self.world);
            }
            ["is", name, state] => {
                let found =
                    format!("{:?}", self.world.stmts[self.named(name)].state).to_lowercase();
                assert_eq!(found, *state, "{name} at {} ms", self.now() / MS);
            }
            ["count", team, state, low, high] => {
                let only = (*team != "all").then(|| self.team(team));
                let fits = |s: &&Stmt| {
                    only.is_none_or(|team| s.team == team)
                        && format!("{:?}", s.state).to_lowercase() == *state
                        && s.came <= self.world.now
                };
                let found = self.world.stmts.iter().filter(fits).count();
                let bounds = low.parse::<usize>().unwrap()..=high.parse().unwrap();
                assert!(
                    bounds.contains(&found),
                    "{team} {state}: {found}, at {} ms",
                    self.now() / MS
                );
            }
            ["used", team, low, high] => {
                let used = self
                    .started
                    .as_ref()
                    .unwrap()
                    .used_core_seconds(self.team(team));
                let bounds = low.parse::<f64>().unwrap()..=high.parse().unwrap();
                assert!(bounds.contains(&used), "{team} used {used:.2}");
            }
            ["longest", team, workload, most] => {
                let key = (self.team(team), self.workload(workload));
                let longest = self.world.longest.get(&key).copied().unwrap_or(Nanos::MAX) / MS;
                assert!(
                    longest <= most.parse::<u64>().unwrap(),
                    "{team} {workload}: longest {longest} ms"
                );
            }
            ["order", names @ ..] => {
                let found: Vec<&str> = self
                    .world
                    .order
                    .iter()
                    .map(String::as_str)
                    .filter(|n| names.contains(n))
                    .collect();
                assert_eq!(found, names);
            }
            ["estimates", least] => {
                let record = self.started.as_ref().unwrap().wait_statistics();
                assert!(record.estimates > 20, "{} estimates", record.estimates);
                let percent = record.good_estimates * 100 / record.estimates;
                assert!(
                    percent >= least.parse::<u64>().unwrap(),
                    "{percent}% of {} good",
                    record.estimates
                );
            }
            ["said", words @ ..] => {
                let words = words.join(" ");
                assert!(
                    self.world.said.iter().any(|l| l.starts_with(&words)),
                    "{:?}",
                    self.world.said
                );
            }
            other => panic!("step not understood: {other:?}"),
        }
        if let Some(teams) = &self.started {
            let count = |state| self.world.stmts.iter().filter(|s| s.state == state).count();
            assert_eq!(
                count(State::Out) > 0,
                teams.released_threads() > 1e-9,
                "threads out"
            );
            assert!(teams.queued_count() <= count(State::Waiting), "waiting");
        }
    }
}

const USUAL: &str = "workload lookup importance=1 slo=800 work=100 wait=400
workload report importance=8 slo=3000 work=1000 threads=2 wait=1200
workload load importance=8 slo=4000 work=1000 threads=2 load=1 wait=1600
all back=2000";

// Shares.
#[test_case("team a; team b; cores 4; come a lookup x6; count a out 6 6; come a lookup; count a waiting 1 1";
    "the window holds one and a half threads a core")]
#[test_case("team a share=3; team b share=1; cores 4
 flood a lookup every=5 for=20000; flood b lookup every=5 for=20000; at 20000; used a 53 62; used b 17 23";
    "two floods are served by their shares")]
#[test_case("team a; team b; team c; cores 6; flood a lookup every=4 for=10000; flood b lookup every=50 for=10000
 flood c lookup every=50 for=10000; at 10500; count b done 198 200; count c done 198 200; used b 19 21
 longest b lookup 60; used a 18 24; said 0 Within -> Over";
    "one team at ten times its rate delays nobody else")]
#[test_case("team a; team b; cores 4; flood a lookup every=4 for=6000; at 3000; come b lookup as=x; is x out";
    "a share lent out is called back at once for the first statement")]
#[test_case("team a; team b; cores 4; flood a lookup every=4 for=6000; at 3000; come b lookup x3; at 3001
 count b out 3 3"; "a team that comes back gets its own part of the window beyond it")]
#[test_case("team a; cores 4; flood t0 lookup every=10 for=3000; flood a lookup every=10 for=3000; at 3000
 used t0 5 7; used a 5 7"; "a team that has no row has the row of the others")]
#[test_case("team a; team b share=0; cores 4; flood a lookup every=40 for=4000; flood b lookup every=10 for=4000
 at 4200; longest a lookup 60; used a 9.9 10.1; used b 4 6.5"; "a team without a share gets what is left")]
#[test_case("team a; team b share=0; cores 4; flood a lookup every=10 for=4000; flood b lookup every=10 for=4000
 at 4000; used b 0 1"; "and nothing where nothing is left")]
// Budgets of work and bounds on what is released.
#[test_case("team a rate=1 burst=1; cores 8; flood a lookup every=10 for=10000; at 10000; used a 10 11.5";
    "a budget of work holds while all else is idle")]
#[test_case("team a released=2; cores 8; come a lookup x5; count a out 2 2; at 100; count a out 2 2; at 350
 count a done 5 5"; "a bound on what is released at once")]
#[test_case("team a rate=0 burst=0; cores 8; come a lookup as=x; is x waiting; at 450; is x rejected";
    "a budget of nothing lets nothing through")]
#[test_case("team a; team b; cores 4; flood a lookup every=5 for=20000 told=1; flood b lookup every=5 for=20000 told=100
 at 20000; used a 34 46; used b 34 46"; "one that tells each costs 1 ms gains nothing that lasts")]
#[test_case("team a rate=1 burst=1; cores 8; flood a lookup every=10 for=20000 told=1; at 20000; used a 20 23.5";
    "nor beyond its budget but what was out before it was known")]
#[test_case("team a; team b; cores 4; flood a lookup every=5 for=20000 told=1000; flood b lookup every=5 for=20000
 at 20000; used a 34 46"; "one that tells too much loses nothing that lasts")]
// Order and ageing within a team.
#[test_case("team a; cores 3; come a lookup x4; come a lookup as=l; come a report as=r; at 2000; order r l";
    "what matters more goes first of two that came together")]
#[test_case("team a; cores 2; flood a report every=300 for=20000 left=25000; come a lookup as=l; at 3000; is l done";
    "a lookup ages past reports that come later")]
#[test_case("team a; cores 1; come a report; flood a lookup every=30 for=5000; at 100; come a load as=x left=20000
 at 2600; is x done"; "a load is not held back by its own team's flood of lookups")]
#[test_case("team a; cores 1; come a lookup x2; come a lookup as=1; come a lookup as=2; come a lookup as=3
 leave 2; at 1000; order 1 3; is 2 gone"; "one that leaves from the middle")]
// Bounds on what waits, and pre-emption.
#[test_case("team a queue=0; cores 2; come a lookup x3; count a out 3 3; come a lookup as=x; is x rejected";
    "a queue of nothing")]
#[test_case("team a queue=3; cores 1; come a lookup x2; come a lookup x3; count a waiting 2 3; come a report as=r
 is r waiting; count a waiting 3 3; count a rejected 1 2; at 3000; is r done";
    "a report of importance 8 pushes out the newest lookup")]
#[test_case("team a queue=2; cores 1; come a report; come a load x2 told=100; come a report as=r; is r rejected
 count a rejected 1 1; count a waiting 2 2"; "loads and equals are never pushed out")]
#[test_case("team a bytes=1000; cores 1; come a report; come a lookup bytes=600; come a lookup bytes=600 as=x
 is x rejected"; "bytes are bounded")]
#[test_case("team a lane-queue=1; cores 1; come a report; come a lookup; come a lookup as=x; is x rejected
 come a report as=r; is r waiting"; "each workload of a team has its own bound")]
#[test_case("all queue=4 back=2000; team a; team b; cores 1; come a report told=100; come a lookup x4 told=10; come b lookup told=10; come b lookup as=x told=10; is x waiting
 count a rejected 1 1; come a lookup as=y; is y rejected"; "where all places are taken the fullest gives way")]
#[test_case("team a; cores 4; come a lookup x10000 left=60000; come a report as=r left=60000; count a waiting 5 200
 is r waiting; at 1200; is r done";
    "a report behind ten thousand lookups")]
// Time and the ways out.
#[test_case("team a; cores 1; come a report x2 told=50 real=5000; come a lookup as=x left=300 told=1; at 200; is x waiting; at 264; is x rejected";
    "nothing waits until its time is over")]
#[test_case("team a; cores 0; come a lookup x2 as=x; is x waiting; at 390; is x waiting; at 402; is x rejected
 flood a lookup every=100 for=30000; at 30000; count a done 0 0; cores 4; come a lookup as=y; at 30200; is y done";
    "thirty seconds without any engine, and back")]
#[test_case("team a; cores 4; come a lookup x10; jump 0; count a out 6 6; jump 60000; count a waiting 0 0
 at 61000; count a done 6 10; come a lookup as=y; is y out"; "time stands still, then jumps by a minute")]
#[test_case("team a; cores 4; come a lookup x20; cores 1; count a out 6 6; at 90; count a out 6 6; at 320
 count a out 1 3"; "a window that shrinks below what is out")]
#[test_case("team a; team b; cores 1; come a report; come a report x2 left=20000; come b lookup; stop 1500
 at 1500; count all waiting 0 0; count a rejected 1 2"; "at the end what can't be met is rejected at once")]
#[test_case("team a; team b; cores 2; flood a lookup every=5 for=10000; at 2000; count a waiting 5 40; budget a queue=2
 count a waiting 5 40; at 2300; count a waiting 0 2; at 10000; count b rejected 0 0";
    "a bound that shrinks drops nothing that waits")]
#[test_case("team a; team b; cores 4; flood a lookup every=5 for=8000; flood b lookup every=5 for=8000; at 4000
 budget a share=3; at 8000; used a 17 23"; "shares change while they bind")]
// Estimates, and coming back.
#[test_case("team a; team b; cores 40; flood a lookup every=0.5 for=6000 vary=0.6; flood b lookup every=9 for=6000 vary=0.6; at 6500
 estimates 90"; "waits are told within a quarter while one floods")]
#[test_case("team a; team b; cores 40; flood a lookup every=1 for=6000 vary=0.6; flood b lookup every=1 for=6000 vary=0.6; at 6500
 estimates 90"; "and while two do")]
#[test_case("team a; team b; cores 40; flood a lookup every=2 for=6000 vary=0.6; flood a report every=90 for=6000 vary=0.6
 flood b lookup every=6 for=6000 vary=0.6; at 6500; estimates 85"; "and with reports among them")]
#[test_case("team a; team b; cores 4; flood a lookup every=5 for=10000 again=1 left=4000; flood b lookup every=50 for=10000
 at 10100; count b done 198 201; longest b lookup 60; used a 15 35.5"; "refusals that all come back as told")]
fn scenario(text: &str) {
    let mut player = Player {
        budgets: Budgets {
            workloads: Vec::new(),
            teams: Vec::new(),
            other: TeamBudget::default(),
            max_queued: usize::MAX,
            max_queued_bytes: usize::MAX,
            preempts_from_priority_weight: 8.0,
            max_retry_after: 0,
            window_policy: WindowPolicy::Fixed,
        },
        workloads: Vec::new(),
        teams: Vec::new(),
        started: None,
        world: World::default(),
    };
    for line in USUAL.lines().chain(text.lines()) {
        let line = line.split('#').next().unwrap_or("");
        for step in line.split(';') {
            let words: Vec<&str> = step.split_whitespace().collect();
            if !words.is_empty() {
                player.step(&words);
            }
        }
    }
}
