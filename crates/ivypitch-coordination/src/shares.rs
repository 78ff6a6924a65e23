//! What one gateway shares with the others, as one object: its parts of the bounds, what it saw of engines and what all
//! say of them, and news of the roster. It is told the time, who is heard and what comes; what is to be said and done
//! comes out through [`Output`].

use std::collections::{BTreeMap, VecDeque};

use ivypitch_scheduler::OutlierStatus;
use ivypitch_types::{MemberId, Nanos, Outcome, SECOND};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::escrow::{self, Process};
use crate::journal;
use crate::market::{Bound, LOOK, Word};
use crate::sights::{LIFE, Sight, Table};
use crate::spread::{Gossip, Item, Known, Spread, age_ms};
use crate::verdicts::{Verdict, Verdicts, tries};

const MS: Nanos = 1_000_000;

/// Of these messages: members of another version are not spoken to.
pub const VERSION: u16 = 1;

/// Units of a gateway's even part of a bound: the least that is lent is one of them.
pub const UNITS_EACH: u32 = 100;
/// Events of the journal that are kept for members, and their bytes.
pub const MOST_EVENTS: usize = 512;
pub const MOST_EVENT_BYTES: usize = 1 << 20;
/// Engines of which words are kept.
pub const MOST_ENGINES: usize = 1024;

#[derive(Clone, Debug)]
pub struct BoundTerms {
    /// For whoever looks on.
    pub name: String,
    pub terms: escrow::Terms,
    /// What is wanted is counted over so long; 0: the need is told as a level.
    pub counts_over: Nanos,
}

#[derive(Clone, Debug)]
pub struct Terms {
    pub bounds: Vec<BoundTerms>,
    pub bytes_a_second: f64,
    pub most_engines: usize,
    pub most_events: usize,
    pub most_event_bytes: usize,
}

/// On the links.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// `to`: the birth of the process that they are for; its successor must not take them for its own.
    Words {
        to: u64,
        words: Vec<(u16, Word)>,
    },
    /// The events behind this number are asked for.
    Tail(u64),
    Events(Vec<(u64, Vec<u8>)>),
}

/// What came of an execution, as far as it speaks for or against its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Saw {
    Success,
    Failure,
    /// No connection, or it broke: engine or way.
    Unreached,
}

impl Saw {
    /// What an outcome says of its engine, if anything. A statement that is wrong itself fails wherever it runs: of its
    /// errors only that of its first execution counts.
    pub fn of(outcome: Outcome, is_first: bool) -> Option<Saw> {
        match outcome {
            Outcome::Completed => Some(Saw::Success),
            Outcome::Error if !is_first => None,
            Outcome::Error | Outcome::TimedOut => Some(Saw::Failure),
            Outcome::ConnectFailed | Outcome::Reset => Some(Saw::Unreached),
            Outcome::Overloaded
            | Outcome::Cancelled
            | Outcome::NeverDispatched
            | Outcome::NotSent => None,
        }
    }
}

/// What the coordinator asks of its driver.
pub trait CoordinationOutput {
    /// Sends a message over the link to this member, if there is one.
    fn send(&mut self, to: MemberId, message: Message);
    /// Sends a gossip datagram to this member.
    fn send_gossip(&mut self, to: MemberId, gossip: Gossip);
    /// From now on this member may use the fraction `share` of the quota, 0 to 1.
    fn on_quota_changed(&mut self, quota: usize, share: f64);
    /// What the fleet thinks of an engine has changed.
    fn on_outlier_status(&mut self, engine: u64, status: OutlierStatus);
    /// Another member relayed the next event of the endpoint list.
    fn on_endpoint_event(&mut self, number: u64, line: &[u8]);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}

/// How much of the fleet is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub enum Hearing {
    /// More than half of the seats.
    Most,
    /// Some: what they say counts as long as it is fresh, and bounds are what is held.
    Few,
    /// Nobody: own knowledge, and the own home once what was lent has ended.
    Alone,
}

#[derive(Default)]
struct Own {
    /// The last few outcomes; older ones leave with the life of a word.
    outcomes: VecDeque<(Nanos, Saw)>,
    told_at: Nanos,
    told: Sight,
}

const LAST_FEW: usize = 3;
/// A member speaks of an engine no more often than so.
const WORDS_APART: Nanos = SECOND / 10;
/// Once so many others have said the same of an engine, one more need not.
const ENOUGH: usize = 8;
/// Verdicts are made anew so often.
const JUDGE: Nanos = SECOND / 20;
/// An engine that is well again is used again by all within this span, by each at a moment of its own.
const RETURNS: Nanos = 2 * SECOND;
/// Members and words in a datagram that repairs, and bounds of which each datagram tells what could be lent: so that it
/// stays under the size that is read.
const MOST_REPAIRED: usize = 16;
const MOST_ITEMS: usize = 40;
const MOST_SPARES: usize = 64;
/// Words on links to one member that go together.
const MOST_TOGETHER: usize = 64;

pub struct Shares {
    me: Process,
    zones: Vec<u16>,
    terms: Terms,
    /// By place: the process that is heard.
    heard: Vec<Option<u64>>,
    places: Vec<u16>,
    hearing: Hearing,
    bounds: Vec<Bound>,
    parts: Vec<f64>,
    table: Table,
    verdicts: Verdicts,
    own: BTreeMap<u64, Own>,
    version: u32,
    listed: Vec<u64>,
    advised: BTreeMap<u64, OutlierStatus>,
    /// When this member uses an engine again that is well again.
    returns: BTreeMap<u64, Nanos>,
    spread: Spread,
    news: journal::News,
    next_look: Nanos,
    next_judge: Nanos,
    seed: u64,
    rng: ChaCha8Rng,
    shown: Vec<Verdict>,
}

impl Shares {
    /// `zones`: of each seat of the list. `journal`: the number of the last event that is known.
    pub fn new(
        me: Process,
        zones: Vec<u16>,
        terms: Terms,
        journal: u64,
        seed: u64,
        now: Nanos,
    ) -> Shares {
        let members = zones.len();
        let bounds = terms
            .bounds
            .iter()
            .map(|bound| Bound::new(me.place, &bound.terms, now))
            .collect();
        Shares {
            me,
            heard: vec![None; members],
            places: Vec::new(),
            hearing: if members > 1 {
                Hearing::Alone
            } else {
                Hearing::Most
            },
            bounds,
            parts: vec![-1.0; terms.bounds.len()],
            table: Table::new(members, terms.most_engines, now),
            verdicts: Verdicts::default(),
            own: BTreeMap::new(),
            version: 0,
            listed: Vec::new(),
            advised: BTreeMap::new(),
            returns: BTreeMap::new(),
            spread: Spread::new(me, members, terms.bytes_a_second, now),
            news: journal::News::new(journal, terms.most_events, terms.most_event_bytes, now),
            next_look: now,
            next_judge: now,
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed ^ u64::from(me.place) << 40),
            shown: Vec::new(),
            zones,
            terms,
        }
    }

    // ---- the members ----

    pub fn member_up(
        &mut self,
        now: Nanos,
        place: u16,
        birth: u64,
        out: &mut dyn CoordinationOutput,
    ) {
        let Some(seat) = self
            .heard
            .get_mut(usize::from(place))
            .filter(|_| place != self.me.place)
        else {
            return;
        };
        let before = seat.replace(birth);
        if before.is_some_and(|before| before != birth) {
            self.forget(Process {
                place,
                birth: before.unwrap_or_default(),
            });
        }
        // What a former process of that place said counts its versions apart.
        if self
            .spread
            .known_of(place)
            .is_some_and(|known| known.of.birth != birth)
        {
            self.table.forget_member(place);
        }
        self.heard_changed(now, out);
    }

    pub fn member_down(
        &mut self,
        now: Nanos,
        place: u16,
        birth: u64,
        out: &mut dyn CoordinationOutput,
    ) {
        let seat = self.heard.get_mut(usize::from(place));
        if seat
            .and_then(|seat| seat.take_if(|held| *held == birth))
            .is_some()
        {
            self.forget(Process { place, birth });
            self.heard_changed(now, out);
        }
    }

    fn forget(&mut self, process: Process) {
        self.bounds
            .iter_mut()
            .for_each(|bound| bound.lost(process.place));
        self.news.lost(process.place);
    }

    fn heard_changed(&mut self, now: Nanos, out: &mut dyn CoordinationOutput) {
        let places = self
            .heard
            .iter()
            .enumerate()
            .filter(|(_, seat)| seat.is_some());
        self.places = places.map(|(place, _)| place as u16).collect();
        let (heard, seats) = (self.places.len() + 1, self.heard.len());
        let hearing = match heard {
            _ if 2 * heard > seats => Hearing::Most,
            1 => Hearing::Alone,
            _ => Hearing::Few,
        };
        if hearing != self.hearing {
            self.hearing = hearing;
            let held: Vec<String> = self
                .bounds
                .iter()
                .zip(&self.terms.bounds)
                .map(|(bound, BoundTerms { name, terms, .. })| {
                    format!(
                        "{name} {:.4}",
                        f64::from(bound.escrow.held()) / f64::from(terms.units.max(1))
                    )
                })
                .collect();
            out.log(&format!(
                "shares: {hearing:?} heard, {heard} of {seats}, parts held: {}",
                held.join(", ")
            ));
        }
        self.next_look = self.next_look.min(now + LOOK);
    }

    // ---- bounds ----

    /// So much of the bound's units would be used now, whether they are there or not.
    pub fn wanted(&mut self, bound: usize, units: f64) {
        if let Some(bound) = self.bounds.get_mut(bound) {
            bound.wanted(units);
        }
    }

    /// The need as a level, where what is used is held and not spent.
    pub fn needs(&mut self, now: Nanos, bound: usize, units: f64) {
        if let Some(bound) = self.bounds.get_mut(bound) {
            bound.needs(now, units);
        }
    }

    /// One of those that are counted over a window.
    pub fn spend(&mut self, now: Nanos, bound: usize, units: u32) -> bool {
        self.bounds.get_mut(bound).is_none_or(|bound| {
            bound.wanted(f64::from(units));
            bound.escrow.spend(now, units)
        })
    }

    /// As of that instant.
    pub fn held_at(&mut self, now: Nanos, bound: usize) -> u32 {
        self.bounds.get_mut(bound).map_or(0, |bound| {
            bound.escrow.tick(now);
            bound.escrow.held()
        })
    }

    pub fn held(&self, bound: usize) -> u32 {
        self.bounds
            .get(bound)
            .map_or(0, |bound| bound.escrow.held())
    }

    /// Units of the whole bound.
    pub fn units(&self, bound: usize) -> u32 {
        self.terms
            .bounds
            .get(bound)
            .map_or(0, |bound| bound.terms.units)
    }

    fn look(&mut self, now: Nanos, out: &mut dyn CoordinationOutput) {
        let mut said: BTreeMap<u16, Vec<(u16, Word)>> = BTreeMap::new();
        for (i, bound) in self.bounds.iter_mut().enumerate() {
            let counts_over = self.terms.bounds[i].counts_over;
            let mut say = |to: u16, word: Word| said.entry(to).or_default().push((i as u16, word));
            bound.look(now, counts_over, &self.places, &mut self.rng, &mut say);
        }
        self.send(said, out);
        self.tell_parts(out);
    }

    fn send(&self, said: BTreeMap<u16, Vec<(u16, Word)>>, out: &mut dyn CoordinationOutput) {
        for (place, words) in said {
            let Some(to) = self.heard.get(usize::from(place)).copied().flatten() else {
                continue;
            };
            for words in words.chunks(MOST_TOGETHER) {
                out.send(
                    MemberId(place),
                    Message::Words {
                        to,
                        words: words.to_vec(),
                    },
                );
            }
        }
    }

    fn tell_parts(&mut self, out: &mut dyn CoordinationOutput) {
        for (i, bound) in self.bounds.iter().enumerate() {
            let part =
                f64::from(bound.escrow.held()) / f64::from(self.terms.bounds[i].terms.units.max(1));
            if part != self.parts[i] {
                self.parts[i] = part;
                out.on_quota_changed(i, part);
            }
        }
    }

    // ---- engines ----

    /// The engines that are ready by the roster.
    pub fn listed(&mut self, engines: &[u64]) {
        self.listed = engines.to_vec();
        let there = |engine: u64| engines.contains(&engine);
        self.table.keep(there);
        self.own.retain(|&engine, _| there(engine));
        self.advised.retain(|&engine, _| there(engine));
        self.returns.retain(|&engine, _| there(engine));
    }

    /// This member's own execution there ended.
    pub fn saw(&mut self, now: Nanos, engine: u64, saw: Saw) {
        if !self.listed.contains(&engine) {
            return;
        }
        let own = self.own.entry(engine).or_default();
        own.outcomes.push_back((now, saw));
        while own.outcomes.len() > LAST_FEW
            || own.outcomes.front().is_some_and(|&(at, _)| at + LIFE < now)
        {
            own.outcomes.pop_front();
        }
        let count = |what: Saw| own.outcomes.iter().filter(|(_, saw)| *saw == what).count() as u8;
        let sight = Sight {
            successes: count(Saw::Success),
            failures: count(Saw::Failure),
            unreached: count(Saw::Unreached),
        };
        if now < own.told_at + WORDS_APART || !self.worth_a_word(now, engine, saw, sight) {
            return;
        }
        let Some(own) = self.own.get_mut(&engine) else {
            return;
        };
        (own.told_at, own.told) = (now, sight);
        self.version += 1;
        let item = Item {
            of: self.me,
            engine,
            version: self.version,
            age_ms: 0,
            sight,
        };
        self.table
            .put(engine, self.me.place, self.version, sight, now);
        self.spread.pass_on(now, item, now);
    }

    /// A fault is told at once; that all is well only where somebody finds fault. Neither where enough say the same.
    fn worth_a_word(&self, now: Nanos, engine: u64, saw: Saw, sight: Sight) -> bool {
        let (mut accuse, mut defend) = (0, 0);
        for (member, word, _) in self.table.fresh(engine, now) {
            if member != self.me.place {
                accuse += usize::from(word.failures + word.unreached > word.successes);
                defend += usize::from(word.successes > word.failures + word.unreached);
            }
        }
        let told_fault = self
            .own
            .get(&engine)
            .is_some_and(|own| own.told.failures + own.told.unreached > 0);
        match saw {
            Saw::Success => (accuse > 0 || told_fault) && defend < ENOUGH,
            // One among many that went well is no news of the engine.
            _ => accuse < ENOUGH && sight.failures + sight.unreached >= sight.successes / 2,
        }
    }

    fn judge(&mut self, now: Nanos, out: &mut dyn CoordinationOutput) {
        self.next_judge = now + JUDGE;
        let before = self.verdicts.out().len();
        self.shown = self
            .verdicts
            .judge(now, &self.table, &self.zones, &self.listed);
        let heard = self.places.len() + 1;
        for verdict in &self.shown {
            let engine = verdict.engine;
            let was = self.advised.get(&engine).copied().unwrap_or_default();
            if was.is_out && !verdict.is_out && !self.returns.contains_key(&engine) {
                // Not all at the moment at which all hear it.
                let after = tries_at(engine, self.me.place, self.seed);
                self.returns
                    .insert(engine, now + (RETURNS as f64 * after) as Nanos);
            }
            if verdict.is_out || self.returns.get(&engine).is_some_and(|&at| now >= at) {
                self.returns.remove(&engine);
            }
            let is_out = verdict.is_out || self.returns.contains_key(&engine);
            let tries = verdict.is_out && tries(now, engine, self.me.place, heard, self.seed);
            let is_well = verdict.is_well && !is_out;
            let advice = OutlierStatus {
                is_out,
                tries,
                is_well,
            };
            if advice != was {
                self.advised.insert(engine, advice);
                out.on_outlier_status(engine, advice);
            }
        }
        let after = self.verdicts.out().len();
        if before != after {
            let (all, heard) = (self.listed.len(), self.places.len() + 1);
            out.log(&format!(
                "shares: {after} of {all} engines left out, by {heard} members heard"
            ));
        }
    }

    // ---- the roster ----

    pub fn journal_heard(&mut self, now: Nanos) {
        self.news.heard(now);
    }

    /// The journal, or a member, told the next event and it was taken.
    pub fn event_taken(&mut self, now: Nanos, number: u64, line: &[u8]) {
        if number > self.news.last() {
            self.news.taken(number, line);
            // Others may not hear the journal: that there is news goes out at once.
            self.spread.hurry(now);
        }
    }

    // ---- what is heard ----

    pub fn heard(
        &mut self,
        now: Nanos,
        from: u16,
        message: Message,
        out: &mut dyn CoordinationOutput,
    ) {
        let Some(birth) = self.heard.get(usize::from(from)).copied().flatten() else {
            return;
        };
        let process = Process { place: from, birth };
        match message {
            Message::Words { to, words } if to == self.me.birth => {
                let mut said: BTreeMap<u16, Vec<(u16, Word)>> = BTreeMap::new();
                for (bound, word) in words {
                    let Some(held) = self.bounds.get_mut(usize::from(bound)) else {
                        continue;
                    };
                    held.heard(now, process, word, &mut |to, word| {
                        said.entry(to).or_default().push((bound, word));
                    });
                }
                self.send(said, out);
                self.tell_parts(out);
            }
            Message::Words { .. } => {}
            Message::Tail(number) => {
                let events = self.news.behind(number);
                if !events.is_empty() {
                    out.send(MemberId(from), Message::Events(events));
                }
            }
            Message::Events(events) => {
                for (number, line) in events {
                    if number == self.news.last() + 1 {
                        self.news.by_members += 1;
                        self.event_taken(now, number, &line);
                        out.on_endpoint_event(number, &line);
                    }
                }
            }
        }
    }

    /// A datagram of the spread.
    pub fn gossip(&mut self, now: Nanos, gossip: Gossip, out: &mut dyn CoordinationOutput) {
        let (from, said_ms) = gossip.from();
        if from.place == self.me.place
            || self.heard.get(usize::from(from.place)).copied().flatten() != Some(from.birth)
        {
            return;
        }
        let Some(delay) = self.spread.delay(now, from, said_ms) else {
            return;
        };
        match gossip {
            Gossip::News {
                journal,
                spares,
                items,
                upto,
                ..
            } => {
                if journal > 0 {
                    self.news.member_at(from.place, journal);
                }
                for (bound, &spare) in self.bounds.iter_mut().zip(&spares) {
                    bound.heard_spare(now, from.place, spare);
                }
                for item in items {
                    self.hear_item(now, delay, item);
                }
                self.spread.known_upto(&upto);
            }
            Gossip::Digest { parts, .. } => {
                if let Some(versions) = self.spread.differing(now, &parts) {
                    out.send_gossip(MemberId(from.place), versions);
                }
            }
            Gossip::Versions { known, .. } => {
                let newer = self.spread.newer_than(&known);
                if !newer.is_empty() {
                    let (items, upto) = self.items_behind(now, &newer);
                    out.send_gossip(MemberId(from.place), self.spread.repair(now, items, upto));
                }
                // They know more of some: they are told what is known here.
                if self.spread.older_than(&known) {
                    out.send_gossip(MemberId(from.place), self.spread.own_versions(now, &known));
                }
            }
        }
        self.next_judge = self.next_judge.min(now + JUDGE);
    }

    /// As many as go into a datagram; members whose words are all among them are told as complete, the others are asked
    /// for again with the next digest.
    fn items_behind(&self, now: Nanos, known: &[Known]) -> (Vec<Item>, Vec<Known>) {
        let (mut items, mut upto) = (Vec::new(), Vec::new());
        for of in known.iter().take(MOST_REPAIRED) {
            let before = items.len();
            for &engine in self.table.engines() {
                let held = self.table.get(engine, of.of.place);
                let Some((version, sight, seen_at)) = held.filter(|held| held.0 > of.version)
                else {
                    continue;
                };
                if now < seen_at + LIFE {
                    items.push(Item {
                        of: of.of,
                        engine,
                        version,
                        age_ms: age_ms(now, seen_at),
                        sight,
                    });
                }
            }
            if items.len() > MOST_ITEMS {
                items.truncate(if before == 0 { MOST_ITEMS } else { before });
                break;
            }
            upto.extend(self.spread.known_of(of.of.place));
        }
        (items, upto)
    }

    fn hear_item(&mut self, now: Nanos, delay: Nanos, item: Item) {
        let place = usize::from(item.of.place);
        if item.of.place == self.me.place || place >= self.heard.len() {
            return;
        }
        let age = Nanos::from(item.age_ms) * MS + delay;
        // Of a process that is not heard nothing is taken: it is lost, or its successor speaks for itself.
        if self.heard[place] != Some(item.of.birth) || age >= LIFE {
            return;
        }
        let seen_at = now.saturating_sub(age);
        let listed = self.listed.contains(&item.engine);
        if listed
            && self.table.put(
                item.engine,
                item.of.place,
                item.version,
                item.sight,
                seen_at,
            )
        {
            self.spread.pass_on(now, item, seen_at);
        }
    }

    // ---- time ----

    pub fn next_wake(&self) -> Nanos {
        let look = if self.bounds.is_empty() {
            Nanos::MAX
        } else {
            self.next_look
        };
        look.min(self.next_judge)
            .min(self.spread.next_wake())
            .min(self.news.next_ask())
    }

    pub fn woken(&mut self, now: Nanos, out: &mut dyn CoordinationOutput) {
        if now >= self.next_look {
            self.next_look = now + LOOK;
            self.look(now, out);
        }
        if now >= self.next_judge {
            self.judge(now, out);
        }
        if now >= self.spread.next_wake() {
            let spares: Vec<u32> = self
                .bounds
                .iter()
                .take(MOST_SPARES)
                .map(Bound::spare)
                .collect();
            let journal = self.news.last();
            for (to, gossip) in
                self.spread
                    .woken(now, &self.places, journal, &spares, &mut self.rng)
            {
                out.send_gossip(MemberId(to), gossip);
            }
        }
        if let Some(to) = self.news.to_ask(now) {
            out.send(MemberId(to), Message::Tail(self.news.last()));
        }
    }

    // ---- for whoever looks on ----

    pub fn view(&self, now: Nanos) -> View {
        let bound = |(bound, BoundTerms { name, terms, .. }): (&Bound, &BoundTerms)| {
            let (lent, borrowed, away) = bound.escrow.parts();
            BoundView {
                name: name.clone(),
                units: terms.units,
                home: bound.escrow.home(),
                floor: bound.escrow.floor(),
                held: bound.escrow.held(),
                lent,
                borrowed,
                away,
                need: bound.need(),
            }
        };
        let engine = |verdict: &Verdict| EngineView {
            engine: verdict.engine,
            out: verdict.is_out,
            tries: self
                .advised
                .get(&verdict.engine)
                .is_some_and(|advice| advice.tries),
            unreached: verdict.unreached,
            failures: verdict.failures,
            outcomes: verdict.outcomes,
            by: self
                .table
                .fresh(verdict.engine, now)
                .map(|(member, sight, weight)| Said {
                    member,
                    age_ms: age_of(weight),
                    sight,
                })
                .collect(),
        };
        View {
            place: self.me.place,
            birth: self.me.birth,
            hearing: self.hearing,
            heard: self.places.clone(),
            journal: self.news.last(),
            journal_silent: self.news.is_silent(now),
            bounds: self
                .bounds
                .iter()
                .zip(&self.terms.bounds)
                .map(bound)
                .collect(),
            engines: self
                .shown
                .iter()
                .filter(|v| v.members > 0)
                .map(engine)
                .collect(),
            sent_bytes: self.spread.sent_bytes,
            late: self.spread.late,
            events_by_members: self.news.by_members,
        }
    }
}

fn age_of(weight: f64) -> u32 {
    ((1.0 - weight) * (LIFE / MS) as f64) as u32
}

/// A moment within the span of the return, of each member its own, 0 to 1.
fn tries_at(engine: u64, place: u16, seed: u64) -> f64 {
    use std::hash::Hasher;
    let mut hasher = siphasher::sip::SipHasher13::new_with_keys(engine, seed ^ 0x7e7);
    hasher.write_u16(place);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}

/// One gateway's view of what is shared, to be laid beside another's.
#[derive(Clone, Debug, serde::Serialize)]
pub struct View {
    pub place: u16,
    pub birth: u64,
    pub hearing: Hearing,
    pub heard: Vec<u16>,
    pub journal: u64,
    pub journal_silent: bool,
    pub bounds: Vec<BoundView>,
    pub engines: Vec<EngineView>,
    pub sent_bytes: u64,
    pub late: u64,
    pub events_by_members: u64,
}

#[derive(Clone, Debug, serde::Serialize)]
pub struct BoundView {
    pub name: String,
    pub units: u32,
    pub home: u32,
    pub floor: u32,
    pub held: u32,
    pub lent: u32,
    pub borrowed: u32,
    /// At home and out of reach, since this process began lately.
    pub away: u32,
    pub need: u32,
}

#[derive(Clone, Debug, serde::Serialize)]
pub struct EngineView {
    pub engine: u64,
    pub out: bool,
    pub tries: bool,
    pub unreached: bool,
    pub failures: f64,
    pub outcomes: f64,
    pub by: Vec<Said>,
}

#[derive(Clone, Debug, serde::Serialize)]
pub struct Said {
    pub member: u16,
    pub age_ms: u32,
    pub sight: Sight,
}
