//! Runs text scenarios against the queues in virtual time. `;` or a new line ends a step, `#`
//! starts a comment, times are in milliseconds.
//!
//! Setup: `workload NAME importance= slo= work= threads= load=1 wait= slack=`, `team NAME share=
//! rate= burst= released= queue= lane-queue= bytes=`, `other ..` (teams without a `team` step),
//! `all queue= bytes= back=` (`back`: maximum retry-after). `cores N` creates the queues at its
//! first use and sets their capacity.
//!
//! Events: `at T` advances the clock and runs timers and ends of released statements. A statement
//! runs for its work `real` over the threads of its workload, longer while more threads are
//! released than there are cores; `vary=0.5` varies the work by half. `jump T` sets the clock and
//! runs the timers once. `come TEAM WORKLOAD [xN] [as=NAME] [told=] [real=] [left=] [bytes=]`
//! (`told`: estimated work, `left`: time to deadline), `flood TEAM WORKLOAD every= for= [after=]
//! [again=1] ..` (`again`: rejected statements return after their retry-after), `leave NAME`,
//! `stop BY` (shutdown), `budget TEAM k=v ..` (reload).
//!
//! Checks: `is NAME waiting|out|rejected|done|gone`, `count TEAM|all waiting|out|rejected|done LOW
//! HIGH`, `used TEAM LOW HIGH` (core-seconds), `longest TEAM WORKLOAD MS` (wait), `order NAMES` (of
//! release), `estimates MIN-PERCENT` (good wait estimates), `said WORDS` (start of a mode line).

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
            .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
    }
    fn number(&self, name: &str, default: f64) -> f64 {
        self.text(name)
            .map_or(default, |value| value.parse().expect(name))
    }
    fn ms(&self, name: &str, default: f64) -> Nanos {
        (self.number(name, default) * MS as f64) as Nanos
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
struct TestStatement {
    name: String,
    team: usize,
    workload: usize,
    arrived_at: Nanos,
    measured_work: Nanos,
    arrival: QueueArrival,
    state: State,
    returns_after_rejection: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    AttemptEnd(usize, Nanos),
    Arrival(usize),
}

#[derive(Default)]
struct Simulation {
    now: Nanos,
    statements: Vec<TestStatement>,
    events: BinaryHeap<Reverse<(Nanos, Event)>>,
    threads: Vec<f64>,
    released_threads: f64,
    cores: f64,
    max_waits: HashMap<(usize, usize), Nanos>,
    release_order: Vec<String>,
    mode_lines: Vec<String>,
}

impl Output for Simulation {
    fn release(&mut self, statement: StatementIndex, _is_within_share: bool) {
        let entry = &mut self.statements[statement.0];
        assert_eq!(entry.state, State::Waiting, "{} released", entry.name);
        entry.state = State::Out;
        let threads = self.threads[entry.workload];
        self.released_threads += threads;
        let slowdown = (self.released_threads / self.cores.max(1e-9)).max(1.0);
        let run_time = (entry.measured_work as f64 / threads * slowdown) as Nanos;
        let max_wait = self
            .max_waits
            .entry((entry.team, entry.workload))
            .or_default();
        *max_wait = (*max_wait).max(self.now - entry.arrived_at);
        self.release_order.push(entry.name.clone());
        self.events.push(Reverse((
            self.now + run_time,
            Event::AttemptEnd(statement.0, run_time),
        )));
    }
    fn reject(&mut self, statement: StatementIndex, retry_after: Nanos) {
        let entry = &mut self.statements[statement.0];
        assert_eq!(entry.state, State::Waiting, "{} rejected", entry.name);
        entry.state = State::Rejected;
        if entry.returns_after_rejection && retry_after > 0 {
            let retry = TestStatement {
                arrived_at: self.now + retry_after,
                state: State::Waiting,
                ..entry.clone()
            };
            self.statements.push(retry);
            self.events.push(Reverse((
                self.now + retry_after,
                Event::Arrival(self.statements.len() - 1),
            )));
        }
    }
    fn log_mode_change(&mut self, team: Option<usize>, line: &str) {
        self.mode_lines.push(format!(
            "{} {line}",
            team.map_or("all".into(), |t| t.to_string())
        ));
    }
}

struct ScenarioRunner {
    budgets: Budgets,
    workloads: Vec<String>,
    teams: Vec<String>,
    queues: Option<TeamQueues>,
    simulation: Simulation,
}

impl ScenarioRunner {
    fn now(&self) -> Nanos {
        self.simulation.now
    }

    fn team(&self, name: &str) -> usize {
        // A team without a `team` step is `tN`: its index is N after the named teams.
        self.teams
            .iter()
            .position(|team| team == name)
            .unwrap_or_else(|| {
                self.teams.len()
                    + name
                        .trim_start_matches('t')
                        .parse::<usize>()
                        .unwrap_or_default()
            })
    }

    fn workload(&self, name: &str) -> usize {
        self.workloads
            .iter()
            .position(|workload| workload == name)
            .expect(name)
    }

    fn advance_to(&mut self, until: Nanos) {
        let Some(queues) = &mut self.queues else {
            return;
        };
        loop {
            let timer = queues.next_timer().map(|at| at.max(self.simulation.now));
            let event = self.simulation.events.peek().map(|Reverse((at, _))| *at);
            let at = timer
                .into_iter()
                .chain(event)
                .min()
                .filter(|&at| at <= until);
            let Some(at) = at else { break };
            self.simulation.now = self.simulation.now.max(at);
            if event == Some(at) {
                let Some(Reverse((_, event))) = self.simulation.events.pop() else {
                    break;
                };
                match event {
                    Event::AttemptEnd(index, run_time) => {
                        let statement = &mut self.simulation.statements[index];
                        statement.state = State::Done;
                        let measured_work = statement.measured_work;
                        self.simulation.released_threads -=
                            self.simulation.threads[statement.workload];
                        queues.on_statement_ended(
                            self.simulation.now,
                            StatementIndex(index),
                            Some(measured_work),
                            Some(run_time),
                            &mut self.simulation,
                        );
                    }
                    Event::Arrival(index) => {
                        let statement = &self.simulation.statements[index];
                        if statement.arrival.deadline > self.simulation.now {
                            let arrival = statement.arrival;
                            queues.on_statement_arrived(
                                self.simulation.now,
                                StatementIndex(index),
                                arrival,
                                &mut self.simulation,
                            );
                        } else {
                            self.simulation.statements[index].state = State::Gone;
                        }
                    }
                }
            } else {
                queues.on_timer(self.simulation.now, &mut self.simulation);
            }
        }
        self.simulation.now = self.simulation.now.max(until);
        queues.on_timer(self.simulation.now, &mut self.simulation);
    }

    fn add_statement(&mut self, team: &str, workload: &str, fields: &Fields, at: Nanos) -> usize {
        let (team, workload) = (self.team(team), self.workload(workload));
        let usual_work_ms = self.budgets.workloads[workload].usual_work as f64 / MS as f64;
        let arrival = QueueArrival {
            team,
            workload,
            estimated_work: fields.ms("told", 0.0),
            bytes: fields.number("bytes", 100.0) as usize,
            deadline: at + fields.ms("left", 20_000.0),
        };
        let name = fields.text("as").map_or_else(
            || format!("#{}", self.simulation.statements.len()),
            str::to_owned,
        );
        // The variation depends on the statement's index alone, so that every run is the same.
        let variation = fields.number("vary", 0.0);
        let random_offset =
            (self.simulation.statements.len() as f64 * 0.618_033_988_7).fract() - 0.5;
        let measured_work = (fields.ms("real", usual_work_ms) as f64
            * (1.0 + 2.0 * variation * random_offset)) as Nanos;
        let returns_after_rejection = fields.number("again", 0.0) > 0.0;
        let statement = TestStatement {
            name,
            team,
            workload,
            arrived_at: at,
            measured_work,
            arrival,
            state: State::Waiting,
            returns_after_rejection,
        };
        self.simulation.statements.push(statement);
        self.simulation.statements.len() - 1
    }

    fn find_statement(&self, name: &str) -> usize {
        self.simulation
            .statements
            .iter()
            .rposition(|statement| statement.name == name)
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
                lanes: fields.text("lane-queue").map_or(old.lanes, |max| {
                    let max_queued = max.parse().unwrap();
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
                let objective = fields.ms("slo", 800.0);
                self.workloads.push(name.to_string());
                self.simulation.threads.push(fields.number("threads", 1.0));
                self.budgets.workloads.push(WorkloadQueueParams {
                    priority_weight,
                    latency_objective: objective,
                    threads: fields.number("threads", 1.0),
                    is_bulk_load: fields.number("load", 0.0) > 0.0,
                    usual_work: fields.ms("work", 100.0),
                    slack: fields.text("slack").map_or(
                        WorkloadQueueParams::default_slack(objective, priority_weight, 1.0),
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
                self.simulation.cores = cores;
                let (budgets, now) = (&self.budgets, self.simulation.now);
                let queues = self
                    .queues
                    .get_or_insert_with(|| TeamQueues::new(budgets.clone(), 7, now));
                queues.set_capacity(now, cores, &mut self.simulation);
            }
            ["at", at] => self.advance_to(at.parse::<u64>().unwrap() * MS),
            ["jump", at] => {
                self.simulation.now = at.parse::<u64>().unwrap() * MS;
                let now = self.simulation.now;
                self.queues
                    .as_mut()
                    .unwrap()
                    .on_timer(now, &mut self.simulation);
                self.advance_to(now);
            }
            ["come", team, workload, ..] => {
                let times = words
                    .iter()
                    .find_map(|word| word.strip_prefix('x')?.parse().ok())
                    .unwrap_or(1);
                for _ in 0..times {
                    let index = self.add_statement(team, workload, &fields, self.now());
                    let arrival = self.simulation.statements[index].arrival;
                    let now = self.simulation.now;
                    self.queues.as_mut().unwrap().on_statement_arrived(
                        now,
                        StatementIndex(index),
                        arrival,
                        &mut self.simulation,
                    );
                }
            }
            ["flood", team, workload, ..] => {
                let (every, span) = (fields.ms("every", 1.0), fields.ms("for", 1000.0));
                let from = self.now() + fields.ms("after", 0.0);
                for number in 0..span / every {
                    let at = from + number * every;
                    let index = self.add_statement(team, workload, &fields, at);
                    self.simulation
                        .events
                        .push(Reverse((at, Event::Arrival(index))));
                }
            }
            ["leave", name] => {
                let index = self.find_statement(name);
                let now = self.simulation.now;
                let left = self.queues.as_mut().unwrap().remove(
                    now,
                    StatementIndex(index),
                    &mut self.simulation,
                );
                assert_eq!(
                    left,
                    self.simulation.statements[index].state == State::Waiting,
                    "{name} removed"
                );
                if left {
                    self.simulation.statements[index].state = State::Gone;
                }
            }
            ["stop", by] => {
                let (now, by) = (self.simulation.now, by.parse::<u64>().unwrap() * MS);
                self.queues
                    .as_mut()
                    .unwrap()
                    .on_shutdown(now, by, &mut self.simulation);
            }
            ["budget", team, ..] => {
                let team = self.team(team);
                self.budgets.teams[team] = budget(self.budgets.teams[team].clone());
                let (budgets, now) = (self.budgets.clone(), self.simulation.now);
                self.queues
                    .as_mut()
                    .unwrap()
                    .reload(now, budgets, &mut self.simulation);
            }
            ["is", name, state] => {
                let found = format!(
                    "{:?}",
                    self.simulation.statements[self.find_statement(name)].state
                )
                .to_lowercase();
                assert_eq!(found, *state, "{name} at {} ms", self.now() / MS);
            }
            ["count", team, state, low, high] => {
                let only_team = (*team != "all").then(|| self.team(team));
                let is_counted = |statement: &&TestStatement| {
                    only_team.is_none_or(|team| statement.team == team)
                        && format!("{:?}", statement.state).to_lowercase() == *state
                        && statement.arrived_at <= self.simulation.now
                };
                let found = self.simulation.statements.iter().filter(is_counted).count();
                let bounds = low.parse::<usize>().unwrap()..=high.parse().unwrap();
                assert!(
                    bounds.contains(&found),
                    "{team} {state}: {found}, at {} ms",
                    self.now() / MS
                );
            }
            ["used", team, low, high] => {
                let used = self
                    .queues
                    .as_ref()
                    .unwrap()
                    .used_core_seconds(self.team(team));
                let bounds = low.parse::<f64>().unwrap()..=high.parse().unwrap();
                assert!(bounds.contains(&used), "{team} used {used:.2}");
            }
            ["longest", team, workload, max] => {
                let key = (self.team(team), self.workload(workload));
                let max_wait = self
                    .simulation
                    .max_waits
                    .get(&key)
                    .copied()
                    .unwrap_or(Nanos::MAX)
                    / MS;
                assert!(
                    max_wait <= max.parse::<u64>().unwrap(),
                    "{team} {workload}: longest wait {max_wait} ms"
                );
            }
            ["order", names @ ..] => {
                let found: Vec<&str> = self
                    .simulation
                    .release_order
                    .iter()
                    .map(String::as_str)
                    .filter(|number| names.contains(number))
                    .collect();
                assert_eq!(found, names);
            }
            ["estimates", min_percent] => {
                let statistics = self.queues.as_ref().unwrap().wait_statistics();
                assert!(
                    statistics.estimates > 20,
                    "{} estimates",
                    statistics.estimates
                );
                let percent = statistics.good_estimates * 100 / statistics.estimates;
                assert!(
                    percent >= min_percent.parse::<u64>().unwrap(),
                    "{percent}% of {} good",
                    statistics.estimates
                );
            }
            ["said", words @ ..] => {
                let words = words.join(" ");
                assert!(
                    self.simulation
                        .mode_lines
                        .iter()
                        .any(|line| line.starts_with(&words)),
                    "{:?}",
                    self.simulation.mode_lines
                );
            }
            other => panic!("unknown step: {other:?}"),
        }
        if let Some(queues) = &self.queues {
            let count = |state| {
                self.simulation
                    .statements
                    .iter()
                    .filter(|statement| statement.state == state)
                    .count()
            };
            assert_eq!(
                count(State::Out) > 0,
                queues.released_threads() > 1e-9,
                "threads out"
            );
            assert!(queues.queued_count() <= count(State::Waiting), "waiting");
        }
    }
}

const USUAL_SETUP: &str = "workload lookup importance=1 slo=800 work=100 wait=400
workload report importance=8 slo=3000 work=1000 threads=2 wait=1200
workload load importance=8 slo=4000 work=1000 threads=2 load=1 wait=1600
all back=2000";

// Shares.
#[test_case("team a; team b; cores 4; come a lookup x6; count a out 6 6; come a lookup; count a waiting 1 1";
    "fixed window releases one and a half threads per core")]
#[test_case("team a share=3; team b share=1; cores 4
 flood a lookup every=5 for=20000; flood b lookup every=5 for=20000; at 20000; used a 53 62; used b 17 23";
    "two flooding teams are served in proportion to their shares")]
#[test_case("team a; team b; team c; cores 6; flood a lookup every=4 for=10000; flood b lookup every=50 for=10000
 flood c lookup every=50 for=10000; at 10500; count b done 198 200; count c done 198 200; used b 19 21
 longest b lookup 60; used a 18 24; said 0 Within -> Over";
    "team at ten times its rate does not delay other teams")]
#[test_case("team a; team b; cores 4; flood a lookup every=4 for=6000; at 3000; come b lookup as=x; is x out";
    "first statement of a returning team is released at once although its share is lent")]
#[test_case("team a; team b; cores 4; flood a lookup every=4 for=6000; at 3000; come b lookup x3; at 3001
 count b out 3 3"; "returning team gets its share of the window although the window is full")]
#[test_case("team a; cores 4; flood t0 lookup every=10 for=3000; flood a lookup every=10 for=3000; at 3000
 used t0 5 7; used a 5 7"; "team without a budget of its own has the budget of the other teams")]
#[test_case("team a; team b share=0; cores 4; flood a lookup every=40 for=4000; flood b lookup every=10 for=4000
 at 4200; longest a lookup 60; used a 9.9 10.1; used b 4 6.5"; "team without a share gets the capacity that is left")]
#[test_case("team a; team b share=0; cores 4; flood a lookup every=10 for=4000; flood b lookup every=10 for=4000
 at 4000; used b 0 1"; "team without a share gets nothing when no capacity is left")]
// Work budgets and limits on released threads.
#[test_case("team a rate=1 burst=1; cores 8; flood a lookup every=10 for=10000; at 10000; used a 10 11.5";
    "work budget limits a team while all others are idle")]
#[test_case("team a released=2; cores 8; come a lookup x5; count a out 2 2; at 100; count a out 2 2; at 350
 count a done 5 5"; "limit on released threads holds back further statements")]
#[test_case("team a rate=0 burst=0; cores 8; come a lookup as=x; is x waiting; at 450; is x rejected";
    "work budget of zero releases nothing")]
#[test_case("team a; team b; cores 4; flood a lookup every=5 for=20000 told=1; flood b lookup every=5 for=20000 told=100
 at 20000; used a 34 46; used b 34 46"; "team that estimates 1 ms for each statement has no lasting gain")]
#[test_case("team a rate=1 burst=1; cores 8; flood a lookup every=10 for=20000 told=1; at 20000; used a 20 23.5";
    "team that estimates too little exceeds its budget only by what was released before that was known")]
#[test_case("team a; team b; cores 4; flood a lookup every=5 for=20000 told=1000; flood b lookup every=5 for=20000
 at 20000; used a 34 46"; "team that estimates too much has no lasting loss")]
// Order and aging within a team.
#[test_case("team a; cores 3; come a lookup x4; come a lookup as=l; come a report as=r; at 2000; order r l";
    "more important of two statements that arrive together goes first")]
#[test_case("team a; cores 2; flood a report every=300 for=20000 left=25000; come a lookup as=l; at 3000; is l done";
    "aging lookup goes before reports that arrive later")]
#[test_case("team a; cores 1; come a report; flood a lookup every=30 for=5000; at 100; come a load as=x left=20000
 at 2600; is x done"; "flood of lookups does not hold back a bulk load of the same team")]
#[test_case("team a; cores 1; come a lookup x2; come a lookup as=1; come a lookup as=2; come a lookup as=3
 leave 2; at 1000; order 1 3; is 2 gone"; "removal from the middle keeps the order of the others")]
// Limits on waiting statements, and preemption.
#[test_case("team a queue=0; cores 2; come a lookup x3; count a out 3 3; come a lookup as=x; is x rejected";
    "queue limit of zero rejects what cannot be released at once")]
#[test_case("team a queue=3; cores 1; come a lookup x2; come a lookup x3; count a waiting 2 3; come a report as=r
 is r waiting; count a waiting 3 3; count a rejected 1 2; at 3000; is r done";
    "report of priority weight 8 preempts the newest lookup")]
#[test_case("team a queue=2; cores 1; come a report; come a load x2 told=100; come a report as=r; is r rejected
 count a rejected 1 1; count a waiting 2 2"; "bulk loads and equally important statements are never preempted")]
#[test_case("team a bytes=1000; cores 1; come a report; come a lookup bytes=600; come a lookup bytes=600 as=x
 is x rejected"; "limit on queued bytes rejects a statement")]
#[test_case("team a lane-queue=1; cores 1; come a report; come a lookup; come a lookup as=x; is x rejected
 come a report as=r; is r waiting"; "queue limit of one workload does not reject another")]
#[test_case("all queue=4 back=2000; team a; team b; cores 1; come a report told=100; come a lookup x4 told=10; come b lookup told=10; come b lookup as=x told=10; is x waiting
 count a rejected 1 1; come a lookup as=y; is y rejected"; "total queue limit preempts a statement of the fullest team")]
#[test_case("team a; cores 4; come a lookup x10000 left=60000; come a report as=r left=60000; count a waiting 5 200
 is r waiting; at 1200; is r done";
    "report behind ten thousand lookups is answered in time")]
// Deadlines, jumps of the clock, changes of capacity, shutdown and reload.
#[test_case("team a; cores 1; come a report x2 told=50 real=5000; come a lookup as=x left=300 told=1; at 200; is x waiting; at 264; is x rejected";
    "statement is rejected before its deadline")]
#[test_case("team a; cores 0; come a lookup x2 as=x; is x waiting; at 390; is x waiting; at 402; is x rejected
 flood a lookup every=100 for=30000; at 30000; count a done 0 0; cores 4; come a lookup as=y; at 30200; is y done";
    "statements are rejected during 30 s without engines and served afterwards")]
#[test_case("team a; cores 4; come a lookup x10; jump 0; count a out 6 6; jump 60000; count a waiting 0 0
 at 61000; count a done 6 10; come a lookup as=y; is y out"; "clock that stands still and then jumps by a minute leaves the queues usable")]
#[test_case("team a; cores 4; come a lookup x20; cores 1; count a out 6 6; at 90; count a out 6 6; at 320
 count a out 1 3"; "window that shrinks below the released threads releases nothing until they end")]
#[test_case("team a; team b; cores 1; come a report; come a report x2 left=20000; come b lookup; stop 1500
 at 1500; count all waiting 0 0; count a rejected 1 2"; "shutdown rejects at once what cannot be answered in time")]
#[test_case("team a; team b; cores 2; flood a lookup every=5 for=10000; at 2000; count a waiting 5 40; budget a queue=2
 count a waiting 5 40; at 2300; count a waiting 0 2; at 10000; count b rejected 0 0";
    "lowered queue limit drops no waiting statement")]
#[test_case("team a; team b; cores 4; flood a lookup every=5 for=8000; flood b lookup every=5 for=8000; at 4000
 budget a share=3; at 8000; used a 17 23"; "changed shares take effect while both teams flood")]
// Wait estimates, and retries of rejected statements.
#[test_case("team a; team b; cores 40; flood a lookup every=0.5 for=6000 vary=0.6; flood b lookup every=9 for=6000 vary=0.6; at 6500
 estimates 90"; "wait estimates are within a quarter while one team floods")]
#[test_case("team a; team b; cores 40; flood a lookup every=1 for=6000 vary=0.6; flood b lookup every=1 for=6000 vary=0.6; at 6500
 estimates 90"; "wait estimates are within a quarter while two teams flood")]
#[test_case("team a; team b; cores 40; flood a lookup every=2 for=6000 vary=0.6; flood a report every=90 for=6000 vary=0.6
 flood b lookup every=6 for=6000 vary=0.6; at 6500; estimates 85"; "wait estimates are within a quarter with reports among the lookups")]
#[test_case("team a; team b; cores 4; flood a lookup every=5 for=10000 again=1 left=4000; flood b lookup every=50 for=10000
 at 10100; count b done 198 201; longest b lookup 60; used a 15 35.5"; "rejected statements that all return as told do not delay another team")]
fn scenario(text: &str) {
    let mut runner = ScenarioRunner {
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
        queues: None,
        simulation: Simulation::default(),
    };
    for line in USUAL_SETUP.lines().chain(text.lines()) {
        let line = line.split('#').next().unwrap_or("");
        for step in line.split(';') {
            let words: Vec<&str> = step.split_whitespace().collect();
            if !words.is_empty() {
                runner.step(&words);
            }
        }
    }
}
