//! The members as this gateway sees them: `foca` drives, this turns what it says into news.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use foca::{Foca, Notification, PostcardCodec, Runtime, Timer};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::doubt::Doubts;
use crate::{Doubt, Hearing, Roster, Terms, Who};
use ivypitch_types::Nanos;

/// What this gateway holds of one seat of the roster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Never heard of.
    #[default]
    Unknown,
    Heard,
    /// Asked in vain by somebody; it may still answer.
    Suspected,
    Lost,
    /// It said that it ends.
    Left,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Life {
    pub state: State,
    /// The process that the state is about.
    pub birth: u64,
    /// Since when it is so.
    pub since: Nanos,
    pub version: u16,
}

/// What has changed, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// A process is there that was not.
    Up {
        place: u16,
        birth: u64,
    },
    /// A process is gone: lost, or another stands in its place, or (`left`) it said so.
    Down {
        place: u16,
        birth: u64,
        left: bool,
    },
    Doubts(Doubt),
    /// A member speaks for another list or version of messages; it is not heard. Once for each birth.
    Stranger {
        place: u16,
        version: u16,
        roster: u32,
    },
}

/// Collects what the library asks for.
struct Asked {
    now: Nanos,
    timers: BTreeMap<(Nanos, u64), Timer<Who>>,
    serial: u64,
    sends: VecDeque<(u16, Vec<u8>)>,
    said: Vec<Said>,
}

enum Said {
    Up(Who),
    Down(Who),
    Renamed(Who, Who),
}

impl Runtime<Who> for &mut Asked {
    fn notify(&mut self, notification: Notification<'_, Who>) {
        self.said.push(match notification {
            Notification::MemberUp(who) => Said::Up(*who),
            Notification::MemberDown(who) => Said::Down(*who),
            Notification::Rename(was, is) => Said::Renamed(*was, *is),
            _ => return,
        });
    }

    fn send_to(&mut self, to: Who, data: &[u8]) {
        self.sends.push_back((to.place, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Who>, after: Duration) {
        self.serial += 1;
        let at = self.now + after.as_nanos() as Nanos;
        self.timers.insert((at, self.serial), event);
    }
}

/// Datagrams that wait to be carried away; more are dropped, as a network would.
const MOST_SENDS: usize = 4096;
/// Seats asked at the start and while nobody is heard; else one.
const ASKED_AT_ONCE: usize = 5;
const ASK_AGAIN: Nanos = ivypitch_types::SECOND / 4;

pub struct Members {
    foca: Foca<Who, PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    asked: Asked,
    roster: Roster,
    me: Who,
    /// By place.
    lives: Vec<Life>,
    /// Births of strangers that were told.
    strangers: Vec<u64>,
    doubts: Doubts,
    doubt: Doubt,
    changed: Nanos,
    news: VecDeque<News>,
    next_ask: Nanos,
    asks: usize,
    left: bool,
}

impl Members {
    /// `birth`: Unix milliseconds of this process' start.
    pub fn new(
        roster: Roster,
        place: u16,
        birth: u64,
        version: u16,
        terms: Terms,
        seed: u64,
        now: Nanos,
    ) -> Members {
        let me = Who {
            place,
            birth,
            bump: 0,
            version,
            roster: roster.mark(),
        };
        let rng =
            ChaCha8Rng::seed_from_u64(seed ^ u64::from(place).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let config = terms.of_library(roster.seats.len());
        let seats = roster.seats.len();
        Members {
            foca: Foca::new(me, config, rng, PostcardCodec),
            asked: Asked {
                now,
                timers: BTreeMap::new(),
                serial: 0,
                sends: VecDeque::new(),
                said: Vec::new(),
            },
            me,
            lives: vec![Life::default(); seats],
            strangers: vec![0; seats],
            roster,
            doubts: Doubts::new(now, terms.period),
            doubt: Doubt::None,
            changed: now,
            news: VecDeque::new(),
            next_ask: now,
            asks: 0,
            left: false,
        }
    }

    pub fn me(&self) -> Who {
        self.me
    }

    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    pub fn life(&self, place: u16) -> Life {
        self.lives
            .get(usize::from(place))
            .copied()
            .unwrap_or_default()
    }

    /// Its process is there, as far as is known.
    pub fn is_heard(&self, place: u16) -> bool {
        place == self.me.place || matches!(self.life(place).state, State::Heard | State::Suspected)
    }

    /// A datagram came. What can't be read, or comes from another list, is dropped.
    pub fn datagram(&mut self, now: Nanos, data: &[u8]) {
        if self.left {
            return;
        }
        self.asked.now = now;
        let Some(from) = self.sender(data) else {
            return;
        };
        if from.place == self.me.place || usize::from(from.place) >= self.lives.len() {
            return;
        }
        if from.roster != self.me.roster || from.version != self.me.version {
            let told = &mut self.strangers[usize::from(from.place)];
            if *told != from.birth {
                *told = from.birth;
                let (place, version, roster) = (from.place, from.version, from.roster);
                self.news.push_back(News::Stranger {
                    place,
                    version,
                    roster,
                });
            }
            return;
        }
        self.doubts.heard(now);
        // A datagram that the library can't use leaves it as it was.
        let _ = self.foca.handle_data(data, &mut self.asked);
        self.settle(now);
    }

    fn sender(&self, data: &[u8]) -> Option<Who> {
        use foca::Codec;
        PostcardCodec
            .decode_header(data)
            .ok()
            .map(|header: foca::Header<Who>| header.src)
    }

    pub fn woken(&mut self, now: Nanos) {
        self.asked.now = now;
        while let Some(entry) = self.asked.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            let _ = self.foca.handle_timer(timer, &mut self.asked);
        }
        if now >= self.next_ask && !self.left {
            self.next_ask = now + ASK_AGAIN;
            // Whoever is heard passes on whom it hears, but two parts of a fleet that each hear their own would never
            // meet: the seats that are not heard are asked as long as there are any.
            let alone = self.foca.num_members() == 0;
            self.ask_seats(if alone { ASKED_AT_ONCE } else { 1 });
        }
        self.settle(now);
    }

    /// The next seats of the list that are not heard are asked who is there, starting behind this one's.
    fn ask_seats(&mut self, most: usize) {
        let seats = self.roster.seats.len();
        let mut asked = 0;
        for _ in 1..seats {
            if asked == most {
                return;
            }
            self.asks = self.asks % (seats - 1) + 1;
            let place = ((usize::from(self.me.place) + self.asks) % seats) as u16;
            if self.is_heard(place) {
                continue;
            }
            asked += 1;
            // Any process there may answer.
            let any = Who {
                place,
                birth: 0,
                bump: 0,
                ..self.me
            };
            let _ = self.foca.announce(any, &mut self.asked);
        }
    }

    pub fn next_wake(&self) -> Nanos {
        let timer = self
            .asked
            .timers
            .first_key_value()
            .map_or(Nanos::MAX, |((at, _), _)| *at);
        if self.left {
            timer
        } else {
            timer.min(self.next_ask)
        }
    }

    /// Tells the others that this process ends; nothing is heard after.
    pub fn leave(&mut self, now: Nanos) {
        if !self.left {
            self.asked.now = now;
            let _ = self.foca.leave_cluster(&mut self.asked);
            self.left = true;
        }
    }

    /// The next datagram to be sent: to whom, and what.
    pub fn next_send(&mut self) -> Option<(u16, Vec<u8>)> {
        self.asked.sends.pop_front()
    }

    pub fn next_news(&mut self) -> Option<News> {
        self.news.pop_front()
    }

    pub fn hearing(&self) -> Hearing {
        let zones = self.roster.zones.len().max(1);
        let (mut heard, mut seats) = (vec![0; zones], vec![0; zones]);
        for (place, seat) in self.roster.seats.iter().enumerate() {
            let zone = usize::from(seat.zone).min(zones - 1);
            seats[zone] += 1;
            heard[zone] += u16::from(self.is_heard(place as u16));
        }
        Hearing {
            heard,
            seats,
            since: self.changed,
            doubt: self.doubt,
        }
    }

    /// Turns what the library said into news.
    fn settle(&mut self, now: Nanos) {
        while self.asked.sends.len() > MOST_SENDS {
            self.asked.sends.pop_front();
        }
        for said in std::mem::take(&mut self.asked.said) {
            match said {
                Said::Up(who) => self.turn(now, who, State::Heard),
                Said::Down(who) => self.turn(now, who, State::Lost),
                Said::Renamed(was, is) => {
                    // The same process under another name of its own is no loss.
                    if was.birth != is.birth {
                        self.turn(now, was, State::Lost);
                    }
                    let there = self.foca.iter_members().any(|member| *member.id() == is);
                    if there {
                        self.turn(now, is, State::Heard);
                    }
                }
            }
        }
        self.read_suspicions(now);
        let others = self
            .lives
            .iter()
            .filter(|l| matches!(l.state, State::Heard | State::Suspected))
            .count();
        let doubt = self.doubts.doubt(now, others);
        if doubt != self.doubt {
            self.doubt = doubt;
            self.news.push_back(News::Doubts(doubt));
        }
    }

    /// The library does not say whom it suspects; it is read off its list.
    fn read_suspicions(&mut self, now: Nanos) {
        for member in self.foca.iter_members() {
            let Some(life) = self.lives.get_mut(usize::from(member.id().place)) else {
                continue;
            };
            let is = match (member.state(), life.state) {
                (foca::State::Suspect, State::Heard) => State::Suspected,
                (foca::State::Alive, State::Suspected) => State::Heard,
                _ => continue,
            };
            life.state = is;
            life.since = now;
        }
    }

    /// The one function that changes what is held of a member's life.
    fn turn(&mut self, now: Nanos, who: Who, to: State) {
        let place = who.place;
        let Some(life) = self.lives.get_mut(usize::from(place)) else {
            return;
        };
        if place == self.me.place || who.birth < life.birth {
            return;
        }
        let was_there = matches!(life.state, State::Heard | State::Suspected);
        let other = who.birth != life.birth;
        if other && was_there && life.birth > 0 {
            self.news.push_back(News::Down {
                place,
                birth: life.birth,
                left: false,
            });
            self.doubts.lost(now);
        }
        let is_there = to == State::Heard;
        if is_there && (other || !was_there) {
            if !other && life.state == State::Lost {
                self.doubts.back(now);
            }
            self.news.push_back(News::Up {
                place,
                birth: who.birth,
            });
        } else if !is_there && was_there && !other {
            self.news.push_back(News::Down {
                place,
                birth: who.birth,
                left: to == State::Left,
            });
            self.doubts.lost(now);
        }
        *life = Life {
            state: to,
            birth: who.birth,
            since: now,
            version: who.version,
        };
        self.changed = now;
    }
}
