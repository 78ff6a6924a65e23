//! Lending, prolonging, giving back, asking back, death and return, explored whole on the real escrow: three members, one
//! of them with a slow clock and one with a fast one. Messages come in any order, as often as they like, or never. At
//! every instant all hold no more than the bound; each guard taken away makes it fail.

use std::collections::BTreeSet;

use ivypitch_coordination::escrow::{Ask, Escrow, Process, Terms, Yes};
use stateright::{Checker, HasDiscoveries, Model, Property};
use test_case::test_case;

const MEMBERS: usize = 3;
/// Local time that passes in a tick: clocks run half as fast again and half as slow as the middle one.
const RATES: [u64; MEMBERS] = [1, 2, 3];
const TICKS: u64 = 5;
/// Of the middle clock.
const SPAN: u64 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Clocks are taken to run alike.
    Drift,
    /// A loan's span begins with the yes.
    AskTime,
    /// A message for a process is taken by its successor.
    Birth,
    /// A process that began anew has its whole home at once.
    Youth,
    /// The second copy of a yes is answered with the return.
    Copies,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Word {
    Ask(Ask),
    Yes(Yes),
    Return(u32),
    Recall(u32),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Letter {
    from: Process,
    to: Process,
    word: Word,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    members: Vec<Option<Escrow>>,
    births: Vec<u64>,
    /// All that was ever said: any of it may come now, again, or never.
    letters: BTreeSet<Letter>,
    tick: u64,
    asks: u8,
    prolongs: u8,
    returns: u8,
    recalls: u8,
    deaths: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Ask { by: usize, of: usize },
    Prolong { by: usize },
    GiveBack { by: usize },
    Recall { by: usize },
    Deliver(Letter),
    Die(usize),
    Return(usize),
}

struct Fleet {
    without: Without,
}

impl Fleet {
    fn terms(&self) -> Terms {
        let drift = if self.without == Without::Drift {
            0.0
        } else {
            0.5
        };
        Terms {
            units: 6,
            members: MEMBERS as u16,
            floor: 0.5,
            window: 0,
            span: SPAN,
            drift,
        }
    }

    fn now(&self, state: &State, m: usize) -> u64 {
        100 + state.tick * RATES[m]
    }

    fn process(&self, state: &State, m: usize) -> Process {
        Process {
            place: m as u16,
            birth: state.births[m],
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        // They began long ago.
        let grown = |m: usize| {
            let mut escrow = Escrow::new(m as u16, &self.terms(), 0);
            escrow.tick(100);
            Some(escrow)
        };
        vec![State {
            members: (0..MEMBERS).map(grown).collect(),
            births: vec![1; MEMBERS],
            letters: BTreeSet::new(),
            tick: 0,
            asks: 0,
            prolongs: 0,
            returns: 0,
            recalls: 0,
            deaths: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.tick < TICKS {
            actions.push(Action::Tick);
        }
        for m in 0..MEMBERS {
            let Some(escrow) = &state.members[m] else {
                actions.push(Action::Return(m));
                continue;
            };
            if state.deaths < 1 {
                actions.push(Action::Die(m));
            }
            let (lent, borrowed, _) = escrow.parts();
            if state.asks < 2 {
                // Of one whose clock runs faster: it is the sooner to take its units back.
                actions.extend((m + 1..MEMBERS).map(|of| Action::Ask { by: m, of }));
            }
            if state.prolongs < 1 && borrowed > 0 {
                actions.push(Action::Prolong { by: m });
            }
            if state.returns < 1 && borrowed > 0 {
                actions.push(Action::GiveBack { by: m });
            }
            if state.recalls < 1 && lent > 0 {
                actions.push(Action::Recall { by: m });
            }
        }
        for &letter in &state.letters {
            let to = usize::from(letter.to.place);
            let there = state.members[to].is_some()
                && (state.births[to] == letter.to.birth || self.without == Without::Birth);
            if there {
                actions.push(Action::Deliver(letter));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = |m: usize| self.now(last, m);
        match action {
            Action::Tick => state.tick += 1,
            Action::Die(m) => {
                state.members[m] = None;
                state.deaths += 1;
            }
            Action::Return(m) => {
                let terms = match self.without {
                    Without::Youth => Terms {
                        span: 0,
                        drift: 0.0,
                        ..self.terms()
                    },
                    _ => self.terms(),
                };
                let mut escrow = Escrow::new(m as u16, &terms, now(m).saturating_sub(1));
                escrow.tick(now(m));
                state.members[m] = Some(escrow);
                state.births[m] += 1;
            }
            Action::Ask { by, of } => {
                let from = self.process(last, by);
                let to = self.process(last, of);
                let ask = state.members[by].as_mut()?.ask(now(by), of as u16, 1, None);
                state.letters.insert(Letter {
                    from,
                    to,
                    word: Word::Ask(ask),
                });
                state.asks += 1;
            }
            Action::Prolong { by } => {
                let from = self.process(last, by);
                let escrow = state.members[by].as_mut()?;
                escrow.tick(now(by));
                let &(lender, loan, units) = escrow.ending(SPAN).first()?;
                let ask = escrow.ask(now(by), lender, units, Some(loan));
                let to = self.process(last, usize::from(lender));
                state.letters.insert(Letter {
                    from,
                    to,
                    word: Word::Ask(ask),
                });
                state.prolongs += 1;
            }
            Action::GiveBack { by } => {
                state.returns += 1;
                let from = self.process(last, by);
                for (lender, loan) in state.members[by].as_mut()?.give_back(now(by), 0, None) {
                    let to = self.process(last, usize::from(lender));
                    state.letters.insert(Letter {
                        from,
                        to,
                        word: Word::Return(loan),
                    });
                }
            }
            Action::Recall { by } => {
                state.recalls += 1;
                let from = self.process(last, by);
                for (to, loan) in state.members[by].as_ref()?.to_recall(6) {
                    state.letters.insert(Letter {
                        from,
                        to,
                        word: Word::Recall(loan),
                    });
                }
            }
            Action::Deliver(Letter { from, to, word }) => {
                let m = usize::from(to.place);
                let me = self.process(last, m);
                let escrow = state.members[m].as_mut()?;
                let answer = match word {
                    Word::Ask(ask) => escrow.answer(now(m), from, ask, 0).map(Word::Yes),
                    Word::Yes(mut yes) => {
                        if self.without == Without::AskTime && yes.loan == yes.serial {
                            // Asked for now, as far as its end goes.
                            if escrow.holds(from.place, yes.loan) || !escrow.is_asking(from.place) {
                                return None;
                            }
                            let again = escrow.ask(now(m), from.place, 1, None);
                            yes = Yes {
                                serial: again.serial,
                                loan: again.serial,
                                ..yes
                            };
                        }
                        let taken = escrow.lent_to(now(m), from.place, yes);
                        let returns = match self.without {
                            Without::Copies => !taken,
                            _ => !taken && !escrow.holds(from.place, yes.loan),
                        };
                        returns.then_some(Word::Return(yes.loan))
                    }
                    Word::Return(loan) => {
                        escrow.returned(now(m), from, loan);
                        None
                    }
                    Word::Recall(loan) => escrow
                        .recalled(now(m), from.place, loan)
                        .then_some(Word::Return(loan)),
                };
                if let Some(word) = answer {
                    state.letters.insert(Letter {
                        from: me,
                        to: from,
                        word,
                    });
                }
            }
        }
        for m in 0..MEMBERS {
            let now = self.now(&state, m);
            if let Some(escrow) = &mut state.members[m] {
                escrow.tick(now);
            }
        }
        if self.without != Without::Birth {
            // What is for a process that is gone is taken by nobody.
            let births = state.births.clone();
            state
                .letters
                .retain(|letter| births[usize::from(letter.to.place)] == letter.to.birth);
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("all hold no more than the bound", |_, state: &State| {
                state
                    .members
                    .iter()
                    .flatten()
                    .map(Escrow::held)
                    .sum::<u32>()
                    <= 6
            }),
            Property::always("nobody holds less than its floor", |_, state: &State| {
                state
                    .members
                    .iter()
                    .flatten()
                    .all(|escrow| escrow.held() >= escrow.floor())
            }),
            Property::sometimes("something is lent and used", |_, state: &State| {
                state
                    .members
                    .iter()
                    .flatten()
                    .any(|escrow| escrow.held() > escrow.home())
            }),
        ]
    }
}

#[test]
fn with_all_guards_the_sum_holds_in_every_state() {
    let checker = Fleet {
        without: Without::Nothing,
    }
    .checker()
    .threads(4)
    .target_state_count(4_000_000)
    .spawn_bfs()
    .join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test_case(Without::Drift)]
#[test_case(Without::AskTime)]
#[test_case(Without::Birth)]
#[test_case(Without::Youth)]
#[test_case(Without::Copies)]
fn without_a_guard_it_does_not(without: Without) {
    let fails = HasDiscoveries::AnyFailures;
    let checker = Fleet { without }
        .checker()
        .threads(4)
        .finish_when(fails)
        .spawn_bfs()
        .join();
    let path = checker.discovery("all hold no more than the bound");
    println!(
        "{} states, {:?}",
        checker.unique_state_count(),
        path.clone().map(|path| path.into_actions())
    );
    assert!(path.is_some(), "{without:?} guards against nothing");
}
