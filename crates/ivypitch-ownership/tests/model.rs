//! Grants, takeovers, restarts and owners that resume, explored exhaustively: three members that vote on each other's
//! statements, with the real vote logs. Messages are votes that come in any order or never; an owner that is taken for
//! lost may be dead, or stopped and running again at any later step. Each safeguard that is removed must let a
//! statement be dispatched twice.

use ivypitch_ownership::{
    AttemptGrant, Epoch, StatementEnd, StatementId, StatementRecord, StatementSpec, VoteLog,
    VoteLogCompleteness, VoteLogConfig, VoterAssignment,
};
use ivypitch_types::{Incarnation, MemberId, ProcessId};
use stateright::{Checker, Model, Property};
use test_case::test_case;

const MEMBERS: usize = 3;
/// Past the first votes of processes that started at 0, and past all that they may have forgotten.
const NOW: u64 = 1_000;
const LATER: u64 = 400;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// A voter lets a lower epoch act after it has promised a higher one.
    Promise,
    /// One vote is enough.
    Quorum,
    /// Whoever takes over ignores the grants that its voters know of.
    KnownGrants,
    /// A voter that restarted votes at once.
    Abstention,
    /// A grant is used however long ago its votes were requested.
    GrantValidity,
}

/// One that may act for a statement: its owner, or a member that takes it over.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Actor {
    /// Voters that let it act (the owner needs none).
    promises: Vec<usize>,
    /// A voter told it of a grant that may have been used.
    knows_grant: bool,
    /// Voters that gave it the grant.
    votes: Vec<usize>,
    /// It polls an attempt, or has dispatched one.
    done: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    vote_logs: Vec<VoteLog>,
    alive: Vec<bool>,
    /// Processes that restarted, and who transferred their state to them.
    restarted: Vec<Option<Vec<usize>>>,
    /// By statement, then by member.
    actors: Vec<Vec<Option<Actor>>>,
    dispatched: Vec<u8>,
    losses: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    VoteOnGrant {
        statement: usize,
        by: usize,
        at: usize,
    },
    Dispatch {
        statement: usize,
        by: usize,
    },
    Crash(usize),
    Restart(usize),
    TransferState {
        by: usize,
        to: usize,
    },
    RequestTakeover {
        statement: usize,
        by: usize,
    },
    VoteOnTakeover {
        statement: usize,
        by: usize,
        at: usize,
    },
    PollEngine {
        statement: usize,
        by: usize,
    },
}

struct Fleet {
    without: Without,
    statements: usize,
    losses: u8,
    /// Only the member after the owner takes over.
    has_one_successor: bool,
}

fn id(statement: usize) -> StatementId {
    7 + statement as StatementId
}

fn epoch(by: usize, owner: usize) -> Epoch {
    Epoch {
        number: u32::from(by != owner) + by as u32 * u32::from(by != owner),
        process: process(by as u16),
    }
}

fn process(member: u16) -> ProcessId {
    ProcessId {
        member: MemberId(member),
        incarnation: Incarnation(1),
    }
}

fn record_of(statement: usize, epoch: Epoch) -> StatementRecord {
    let spec = StatementSpec {
        digest: 1,
        workload: 0,
        tenant: 0,
        is_idempotent: false,
        remaining_ms: 1,
        request: Vec::new(),
    };
    StatementRecord {
        id: id(statement),
        epoch,
        spec: Some(spec),
        grants: Vec::new(),
        end: None,
    }
}

impl Fleet {
    fn voters(&self) -> VoterAssignment {
        VoterAssignment::new((0..MEMBERS as u16).collect(), MEMBERS)
    }

    fn quorum(&self) -> usize {
        if self.without == Without::Quorum {
            1
        } else {
            self.voters().quorum()
        }
    }

    fn owner(&self, statement: usize) -> usize {
        statement % MEMBERS
    }

    fn vote_log(&self, member: usize, is_restarted: bool) -> VoteLog {
        // After a restart it takes long until it needs to remember nothing.
        let max_statement_timeout = if is_restarted && self.without != Without::Abstention {
            1_000_000
        } else {
            0
        };
        let config = VoteLogConfig {
            grant_validity: 0,
            max_statement_timeout,
            retention: 0,
            max_entries: 100,
        };
        VoteLog::new(MemberId(member as u16), 0, config)
    }

    fn now(&self) -> u64 {
        if self.without == Without::Promise {
            LATER
        } else {
            NOW
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let actor = |statement: usize, m: usize| (m == self.owner(statement)).then(Actor::default);
        vec![State {
            vote_logs: (0..MEMBERS).map(|m| self.vote_log(m, false)).collect(),
            alive: vec![true; MEMBERS],
            restarted: vec![None; MEMBERS],
            actors: (0..self.statements)
                .map(|s| (0..MEMBERS).map(|m| actor(s, m)).collect())
                .collect(),
            dispatched: vec![0; self.statements],
            losses: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for m in 0..MEMBERS {
            if state.alive[m] && state.losses < self.losses {
                actions.push(Action::Crash(m));
            }
            if !state.alive[m] {
                actions.push(Action::Restart(m));
            }
            if let Some(by) = &state.restarted[m] {
                let knows = |b: usize| state.restarted[b].is_none() && state.alive[b] && b != m;
                let sources = (0..MEMBERS).filter(|&b| knows(b) && !by.contains(&b));
                actions.extend(sources.map(|b| Action::TransferState { by: b, to: m }));
            }
        }
        for statement in 0..self.statements {
            for by in (0..MEMBERS).filter(|&m| state.alive[m]) {
                let Some(actor) = &state.actors[statement][by] else {
                    // Any member may take the owner for lost at any time.
                    if !self.has_one_successor || by == (self.owner(statement) + 1) % MEMBERS {
                        actions.push(Action::RequestTakeover { statement, by });
                    }
                    continue;
                };
                if actor.done {
                    continue;
                }
                let is_owner = by == self.owner(statement);
                let may_act = is_owner || actor.promises.len() >= self.quorum();
                for at in (0..MEMBERS).filter(|&m| state.alive[m]) {
                    if !is_owner && !may_act && !actor.promises.contains(&at) {
                        actions.push(Action::VoteOnTakeover { statement, by, at });
                    }
                    if may_act && !actor.knows_grant && !actor.votes.contains(&at) {
                        actions.push(Action::VoteOnGrant { statement, by, at });
                    }
                }
                if may_act && actor.knows_grant {
                    actions.push(Action::PollEngine { statement, by });
                }
                if may_act && actor.votes.len() >= self.quorum() {
                    actions.push(Action::Dispatch { statement, by });
                }
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let voters = self.voters();
        match action {
            Action::Crash(m) => {
                state.alive[m] = false;
                state.losses += 1;
                for statement in 0..self.statements {
                    // What it acted for is forgotten with it.
                    if let Some(actor) = &mut state.actors[statement][m] {
                        actor.done = true;
                    }
                }
            }
            Action::Restart(m) => {
                state.alive[m] = true;
                state.vote_logs[m] = self.vote_log(m, true);
                state.restarted[m] = Some(Vec::new());
            }
            Action::TransferState { by, to } => {
                let records: Vec<StatementRecord> =
                    state.vote_logs[by].records(self.now()).collect();
                for record in &records {
                    state.vote_logs[to].apply(self.now(), record);
                }
                state.vote_logs[to].on_state_transferred(
                    self.now(),
                    MemberId(by as u16),
                    VoteLogCompleteness::Complete,
                );
                state.restarted[to].as_mut()?.push(by);
                // No process gets a transfer before a grant's validity after its start has passed: what its former self
                // voted on, and has not been dispatched by now, never is.
                if self.without != Without::GrantValidity {
                    let awaits_vote = |actor: &&mut Actor| !actor.done && actor.votes.contains(&to);
                    let all = state.actors.iter_mut().flatten().flatten();
                    let before = |actor: &Actor| {
                        last.restarted[to].as_ref().is_some_and(Vec::is_empty) && !actor.done
                    };
                    all.filter(awaits_vote)
                        .filter(|actor| before(actor))
                        .for_each(|actor| actor.done = true);
                }
            }
            Action::VoteOnGrant { statement, by, at } => {
                let epoch = epoch(by, self.owner(statement));
                let grant = AttemptGrant {
                    epoch,
                    attempt: 0,
                    engine: 1,
                    never_ran: false,
                };
                if self.without == Without::Promise {
                    // The vote log as it would be if it kept no promise.
                    let known = state.vote_logs[at]
                        .get(self.now(), id(statement))
                        .map(|record| record.epoch);
                    if known.is_none_or(|held| held > epoch) {
                        state.actors[statement][by].as_mut()?.votes.push(at);
                        return Some(state);
                    }
                }
                let mut record = record_of(statement, epoch);
                if self.without == Without::KnownGrants {
                    // It passes on what it learned and dispatches all the same.
                    record.grants = state.vote_logs[at]
                        .get(self.now(), id(statement))
                        .map_or(Vec::new(), |known| known.grants);
                }
                state.vote_logs[at]
                    .vote_on_grant(self.now(), &record, grant, &voters)
                    .ok()?;
                state.actors[statement][by].as_mut()?.votes.push(at);
            }
            Action::Dispatch { statement, by } => {
                state.dispatched[statement] += 1;
                state.actors[statement][by].as_mut()?.done = true;
            }
            Action::RequestTakeover { statement, by } => {
                state.actors[statement][by] = Some(Actor::default());
            }
            Action::VoteOnTakeover { statement, by, at } => {
                let epoch = epoch(by, self.owner(statement));
                let record = state.vote_logs[at]
                    .vote_on_takeover(self.now(), id(statement), epoch, &voters)
                    .ok()?;
                let actor = state.actors[statement][by].as_mut()?;
                actor.promises.push(at);
                actor.promises.sort_unstable();
                let granted =
                    record.is_some_and(|record| record.grants.iter().any(|grant| !grant.never_ran));
                actor.knows_grant |= granted && self.without != Without::KnownGrants;
            }
            Action::PollEngine { statement, by } => {
                state.actors[statement][by].as_mut()?.done = true;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never dispatched twice", |_, state: &State| {
                state.dispatched.iter().all(|&n| n <= 1)
            }),
            Property::sometimes("a takeover completes", |model: &Fleet, state: &State| {
                let has_taken_over = |statement: usize, m: usize, a: &Actor| {
                    m != model.owner(statement) && a.done && state.alive[m]
                };
                let ended = |(statement, all): (usize, &Vec<Option<Actor>>)| {
                    all.iter()
                        .enumerate()
                        .any(|(m, a)| a.as_ref().is_some_and(|a| has_taken_over(statement, m, a)))
                };
                state.losses > 0 && state.actors.iter().enumerate().any(ended)
            }),
        ]
    }
}

fn explored(fleet: Fleet) -> (Option<usize>, usize) {
    let checker = fleet.checker().threads(2).spawn_bfs().join();
    let path = checker
        .discovery("never dispatched twice")
        .map(|path| path.into_actions());
    if let Some(path) = &path {
        println!("shortest: {path:?}");
    }
    println!("{} states", checker.unique_state_count());
    (path.map(|path| path.len()), checker.unique_state_count())
}

#[test]
fn with_all_safeguards_no_statement_is_dispatched_twice() {
    let fleet = Fleet {
        without: Without::Nothing,
        statements: 1,
        losses: 2,
        has_one_successor: false,
    };
    let checker = fleet.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test_case(Without::Promise)]
#[test_case(Without::Quorum)]
#[test_case(Without::KnownGrants)]
#[test_case(Without::Abstention)]
#[test_case(Without::GrantValidity)]
fn without_one_safeguard_a_statement_is_dispatched_twice(without: Without) {
    let (shortest, _) = explored(Fleet {
        without,
        statements: 1,
        losses: 2,
        has_one_successor: false,
    });
    assert!(shortest.is_some(), "{without:?} safeguards nothing");
}

/// Two statements of two owners and one loss, exhaustively: 9,236,867 states, a minute on six cores. With two losses
/// there are too many; [`votes_on_one_statement_do_not_depend_on_others`] lets the exploration of one statement stand
/// for any number.
#[test]
#[ignore = "takes a minute; run with --ignored"]
fn with_all_safeguards_neither_of_two_statements_is_dispatched_twice() {
    let fleet = Fleet {
        without: Without::Nothing,
        statements: 2,
        losses: 1,
        has_one_successor: true,
    };
    let checker = fleet.checker().threads(6).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_no_discovery("never dispatched twice");
}

/// What a vote log answers about one statement is the same whatever it is asked about others in between, as long as it
/// has space: the runs of many statements are those of each alone, side by side.
#[test]
fn votes_on_one_statement_do_not_depend_on_others() {
    use rand::{Rng, SeedableRng};
    let voters = VoterAssignment::new((0..MEMBERS as u16).collect(), MEMBERS);
    for seed in 0..400 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let config = VoteLogConfig {
            grant_validity: 400,
            max_statement_timeout: 2_000,
            retention: 500,
            max_entries: 100,
        };
        let mut mixed = VoteLog::new(MemberId(0), 0, config);
        let mut alone = VoteLog::new(MemberId(0), 0, config);
        for step in 0..300u64 {
            let now = step * 10;
            let statement = rng.random_range(0..3);
            let (by, number) = (rng.random_range(0..3u16), rng.random_range(0..3));
            let epoch = Epoch {
                number,
                process: process(by),
            };
            let grant = AttemptGrant {
                epoch,
                attempt: rng.random_range(0..2),
                engine: 1,
                never_ran: rng.random_bool(0.1),
            };
            let mut news = record_of(statement, epoch);
            if rng.random_bool(0.3) {
                news.grants.push(grant);
            }
            let ends = [
                StatementEnd::Aborted,
                StatementEnd::Rejected,
                StatementEnd::Completed {
                    rows_at: process(by),
                },
            ];
            news.end = rng.random_bool(0.1).then(|| ends[rng.random_range(0..3)]);
            let what = rng.random_range(0..6);
            let ask = |log: &mut VoteLog| match what {
                0 => format!("{:?}", log.vote_on_grant(now, &news, grant, &voters)),
                1 => format!(
                    "{:?}",
                    log.vote_on_takeover(now, id(statement), epoch, &voters)
                ),
                2 => {
                    log.apply(now, &news);
                    String::new()
                }
                3 => format!("{:?}", log.get(now, id(statement))),
                // These concern all statements alike.
                4 => {
                    log.on_state_transferred(now, MemberId(by), VoteLogCompleteness::Complete);
                    String::new()
                }
                _ => {
                    log.evict_expired(now);
                    String::new()
                }
            };
            let answer = ask(&mut mixed);
            if statement == 0 || what >= 4 {
                assert_eq!(answer, ask(&mut alone), "seed {seed}, step {step}");
                assert_eq!(
                    mixed.get(now, id(0)),
                    alone.get(now, id(0)),
                    "seed {seed}, step {step}"
                );
            }
        }
    }
}
