//! Grant, claim, seal and wake, explored whole: three members that bear witness of each other's statements, their
//! registers the real ones. Messages are votes that come in any order or never; an owner that is taken for lost may be
//! dead, or stopped and awake again at any later step. Each guard taken away must let a statement be sent twice.

use ivypitch_ownership::{
    AttemptGrant, Epoch, StatementEnd, StatementId, StatementRecord, StatementSpec, VoteLog,
    VoteLogCompleteness, VoterAssignment,
};
use stateright::{Checker, Model, Property};
use test_case::test_case;

const MEMBERS: usize = 3;
/// Past the first votes of processes that began at 0, and past all that they may have forgotten.
const NOW: u64 = 1_000;
const LATER: u64 = 400;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// A witness lets a lower epoch act after it has let a higher one.
    Fence,
    /// One vote is enough.
    Majority,
    /// Whoever claims does not look at the grants it is told of.
    Grants,
    /// A witness that began anew votes at once.
    Abstaining,
    /// A grant is used however long ago its votes were asked for.
    GrantLives,
}

/// One who may act for a statement: its owner, or one that claims it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Actor {
    /// Witnesses that let it act (the owner needs none).
    promises: Vec<usize>,
    /// It was told of a grant that may have been used.
    knows_grant: bool,
    /// Witnesses at which its grant stands.
    votes: Vec<usize>,
    /// The claim ended: it watches, or sent.
    done: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    ledgers: Vec<VoteLog>,
    alive: Vec<bool>,
    /// Processes that began anew, and who has told them all.
    young: Vec<Option<Vec<usize>>>,
    /// By statement, then by member.
    actors: Vec<Vec<Option<Actor>>>,
    sent: Vec<u8>,
    losses: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Vote { stmt: usize, by: usize, at: usize },
    Send { stmt: usize, by: usize },
    Die(usize),
    Restart(usize),
    Teach { by: usize, to: usize },
    Claim { stmt: usize, by: usize },
    Promise { stmt: usize, by: usize, at: usize },
    Take { stmt: usize, by: usize },
}

struct Fleet {
    without: Without,
    statements: usize,
    losses: u8,
    /// Only the member behind the owner claims.
    one_claimer: bool,
}

fn id(stmt: usize) -> StatementId {
    7 + stmt as StatementId
}

fn epoch(by: usize, owner: usize) -> Epoch {
    Epoch {
        count: u32::from(by != owner) + by as u32 * u32::from(by != owner),
        place: by as u16,
        birth: 1,
    }
}

fn told(stmt: usize, epoch: Epoch) -> StatementRecord {
    let facts = StatementSpec {
        digest: 1,
        workload: 0,
        tenant: 0,
        idempotent: false,
        left_ms: 1,
        text: Vec::new(),
    };
    StatementRecord {
        id: id(stmt),
        epoch,
        facts: Some(facts),
        grants: Vec::new(),
        end: None,
    }
}

impl Fleet {
    fn witnesses(&self) -> VoterAssignment {
        VoterAssignment::new((0..MEMBERS as u16).collect(), MEMBERS)
    }

    fn majority(&self) -> usize {
        if self.without == Without::Majority {
            1
        } else {
            self.witnesses().majority()
        }
    }

    fn owner(&self, stmt: usize) -> usize {
        stmt % MEMBERS
    }

    fn ledger(&self, place: usize, young: bool) -> VoteLog {
        // A young one has long to go until it has nothing to remember.
        let remembered = if young && self.without != Without::Abstaining {
            1_000_000
        } else {
            0
        };
        VoteLog::new(place as u16, 0, 0, remembered, 0, 100)
    }

    fn now(&self) -> u64 {
        if self.without == Without::Fence {
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
        let actor = |stmt: usize, m: usize| (m == self.owner(stmt)).then(Actor::default);
        vec![State {
            ledgers: (0..MEMBERS).map(|m| self.ledger(m, false)).collect(),
            alive: vec![true; MEMBERS],
            young: vec![None; MEMBERS],
            actors: (0..self.statements)
                .map(|s| (0..MEMBERS).map(|m| actor(s, m)).collect())
                .collect(),
            sent: vec![0; self.statements],
            losses: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for m in 0..MEMBERS {
            if state.alive[m] && state.losses < self.losses {
                actions.push(Action::Die(m));
            }
            if !state.alive[m] {
                actions.push(Action::Restart(m));
            }
            if let Some(by) = &state.young[m] {
                let knows = |b: usize| state.young[b].is_none() && state.alive[b] && b != m;
                let teachers = (0..MEMBERS).filter(|&b| knows(b) && !by.contains(&b));
                actions.extend(teachers.map(|b| Action::Teach { by: b, to: m }));
            }
        }
        for stmt in 0..self.statements {
            for by in (0..MEMBERS).filter(|&m| state.alive[m]) {
                let Some(actor) = &state.actors[stmt][by] else {
                    // Anybody may take the owner for lost at any time.
                    if !self.one_claimer || by == (self.owner(stmt) + 1) % MEMBERS {
                        actions.push(Action::Claim { stmt, by });
                    }
                    continue;
                };
                if actor.done {
                    continue;
                }
                let is_owner = by == self.owner(stmt);
                let may_act = is_owner || actor.promises.len() >= self.majority();
                for at in (0..MEMBERS).filter(|&m| state.alive[m]) {
                    if !is_owner && !may_act && !actor.promises.contains(&at) {
                        actions.push(Action::Promise { stmt, by, at });
                    }
                    if may_act && !actor.knows_grant && !actor.votes.contains(&at) {
                        actions.push(Action::Vote { stmt, by, at });
                    }
                }
                if may_act && actor.knows_grant {
                    actions.push(Action::Take { stmt, by });
                }
                if may_act && actor.votes.len() >= self.majority() {
                    actions.push(Action::Send { stmt, by });
                }
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let witnesses = self.witnesses();
        match action {
            Action::Die(m) => {
                state.alive[m] = false;
                state.losses += 1;
                for stmt in 0..self.statements {
                    // What it acted for is forgotten with it.
                    if let Some(actor) = &mut state.actors[stmt][m] {
                        actor.done = true;
                    }
                }
            }
            Action::Restart(m) => {
                state.alive[m] = true;
                state.ledgers[m] = self.ledger(m, true);
                state.young[m] = Some(Vec::new());
            }
            Action::Teach { by, to } => {
                let all: Vec<StatementRecord> = state.ledgers[by].all(self.now()).collect();
                all.iter()
                    .for_each(|told| state.ledgers[to].tell(self.now(), told));
                state.ledgers[to].told_all(self.now(), by as u16, VoteLogCompleteness::Complete);
                state.young[to].as_mut()?.push(by);
                // A process is taught no sooner than a grant's life after its start: what its former self voted on, and
                // has not been sent by now, never is.
                if self.without != Without::GrantLives {
                    let waits = |actor: &&mut Actor| !actor.done && actor.votes.contains(&to);
                    let all = state.actors.iter_mut().flatten().flatten();
                    let before = |actor: &Actor| {
                        last.young[to].as_ref().is_some_and(Vec::is_empty) && !actor.done
                    };
                    all.filter(waits)
                        .filter(|actor| before(actor))
                        .for_each(|actor| actor.done = true);
                }
            }
            Action::Vote { stmt, by, at } => {
                let epoch = epoch(by, self.owner(stmt));
                let grant = AttemptGrant {
                    epoch,
                    number: 0,
                    engine: 1,
                    void: false,
                };
                if self.without == Without::Fence {
                    // The register as it would be if it kept no promise.
                    let known = state.ledgers[at]
                        .get(self.now(), id(stmt))
                        .map(|told| told.epoch);
                    if known.is_none_or(|held| held > epoch) {
                        state.actors[stmt][by].as_mut()?.votes.push(at);
                        return Some(state);
                    }
                }
                let mut told = told(stmt, epoch);
                if self.without == Without::Grants {
                    // It passes on what it was told of and sends all the same.
                    told.grants = state.ledgers[at]
                        .get(self.now(), id(stmt))
                        .map_or(Vec::new(), |t| t.grants);
                }
                state.ledgers[at]
                    .grant(self.now(), &told, grant, &witnesses)
                    .ok()?;
                state.actors[stmt][by].as_mut()?.votes.push(at);
            }
            Action::Send { stmt, by } => {
                state.sent[stmt] += 1;
                state.actors[stmt][by].as_mut()?.done = true;
            }
            Action::Claim { stmt, by } => {
                state.actors[stmt][by] = Some(Actor::default());
            }
            Action::Promise { stmt, by, at } => {
                let epoch = epoch(by, self.owner(stmt));
                let told = state.ledgers[at]
                    .claim(self.now(), id(stmt), epoch, &witnesses)
                    .ok()?;
                let actor = state.actors[stmt][by].as_mut()?;
                actor.promises.push(at);
                actor.promises.sort_unstable();
                let granted = told.is_some_and(|told| told.grants.iter().any(|grant| !grant.void));
                actor.knows_grant |= granted && self.without != Without::Grants;
            }
            Action::Take { stmt, by } => {
                state.actors[stmt][by].as_mut()?.done = true;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never sent twice", |_, state: &State| {
                state.sent.iter().all(|&n| n <= 1)
            }),
            Property::sometimes("a claim ends", |model: &Fleet, state: &State| {
                let claimed = |stmt: usize, m: usize, a: &Actor| {
                    m != model.owner(stmt) && a.done && state.alive[m]
                };
                let ended = |(stmt, all): (usize, &Vec<Option<Actor>>)| {
                    all.iter()
                        .enumerate()
                        .any(|(m, a)| a.as_ref().is_some_and(|a| claimed(stmt, m, a)))
                };
                state.losses > 0 && state.actors.iter().enumerate().any(ended)
            }),
        ]
    }
}

fn explored(fleet: Fleet) -> (Option<usize>, usize) {
    let checker = fleet.checker().threads(2).spawn_bfs().join();
    let path = checker
        .discovery("never sent twice")
        .map(|path| path.into_actions());
    if let Some(path) = &path {
        println!("shortest: {path:?}");
    }
    println!("{} states", checker.unique_state_count());
    (path.map(|path| path.len()), checker.unique_state_count())
}

#[test]
fn with_all_guards_no_statement_is_ever_sent_twice() {
    let fleet = Fleet {
        without: Without::Nothing,
        statements: 1,
        losses: 2,
        one_claimer: false,
    };
    let checker = fleet.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test_case(Without::Fence)]
#[test_case(Without::Majority)]
#[test_case(Without::Grants)]
#[test_case(Without::Abstaining)]
#[test_case(Without::GrantLives)]
fn without_a_guard_one_is(without: Without) {
    let (shortest, _) = explored(Fleet {
        without,
        statements: 1,
        losses: 2,
        one_claimer: false,
    });
    assert!(shortest.is_some(), "{without:?} guards against nothing");
}

/// Two statements of two owners, one loss, whole: 7,956,979 states, a minute on six cores. With two losses it is too
/// large; there [`a_statement_sees_nothing_of_another`] lets the whole exploration of one stand for any number.
#[test]
#[ignore = "takes a minute; run with --ignored"]
fn two_statements_with_all_guards() {
    let fleet = Fleet {
        without: Without::Nothing,
        statements: 2,
        losses: 1,
        one_claimer: true,
    };
    let checker = fleet.checker().threads(6).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_no_discovery("never sent twice");
}

/// What a register answers about one statement is the same whatever is asked of it about others in between, as long as
/// it has room: the runs of many statements are those of each alone, side by side.
#[test]
fn a_statement_sees_nothing_of_another() {
    use rand::{Rng, SeedableRng};
    let witnesses = VoterAssignment::new((0..MEMBERS as u16).collect(), MEMBERS);
    for seed in 0..400 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let ledger = || VoteLog::new(0, 0, 400, 2_000, 500, 100);
        let (mut mixed, mut alone) = (ledger(), ledger());
        for step in 0..300u64 {
            let now = step * 10;
            let stmt = rng.random_range(0..3);
            let (by, count) = (rng.random_range(0..3u16), rng.random_range(0..3));
            let epoch = Epoch {
                count,
                place: by,
                birth: 1,
            };
            let grant = AttemptGrant {
                epoch,
                number: rng.random_range(0..2),
                engine: 1,
                void: rng.random_bool(0.1),
            };
            let mut news = told(stmt, epoch);
            if rng.random_bool(0.3) {
                news.grants.push(grant);
            }
            let ends = [
                StatementEnd::Aborted,
                StatementEnd::Rejected,
                StatementEnd::Completed {
                    rows_at: by,
                    birth: 1,
                },
            ];
            news.end = rng.random_bool(0.1).then(|| ends[rng.random_range(0..3)]);
            let what = rng.random_range(0..6);
            let ask = |ledger: &mut VoteLog| match what {
                0 => format!("{:?}", ledger.grant(now, &news, grant, &witnesses)),
                1 => format!("{:?}", ledger.claim(now, id(stmt), epoch, &witnesses)),
                2 => {
                    ledger.tell(now, &news);
                    String::new()
                }
                3 => format!("{:?}", ledger.get(now, id(stmt))),
                // These concern all statements alike.
                4 => {
                    ledger.told_all(now, by, VoteLogCompleteness::Complete);
                    String::new()
                }
                _ => {
                    ledger.tidy(now);
                    String::new()
                }
            };
            let said = ask(&mut mixed);
            if stmt == 0 || what >= 4 {
                assert_eq!(said, ask(&mut alone), "seed {seed}, step {step}");
                assert_eq!(
                    mixed.get(now, id(0)),
                    alone.get(now, id(0)),
                    "seed {seed}, step {step}"
                );
            }
        }
    }
}
