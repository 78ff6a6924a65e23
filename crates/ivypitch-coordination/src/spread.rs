//! How words travel: each new one goes on at once to a few members drawn by chance, so often that all but few hear it,
//! and digests laid beside each other repair what was missed. Bytes a second are bounded; the newest words go first.
//!
//! A word carries how old it was as it left; what its datagram took on the way is added by the receiver, which knows
//! the quickest datagram of that sender: one that lay somewhere for a minute is not taken for news.

use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;

use ivypitch_types::{Nanos, SECOND};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use siphasher::sip::SipHasher13;

use crate::escrow::Process;
use crate::sights::Sight;

const MS: Nanos = 1_000_000;
/// Members to which each datagram with news goes.
const FANOUT: usize = 3;
/// A new word is passed on after so long, with what else has come by then.
const EAGER: Nanos = 20 * MS;
/// And so often at most: words wait for each other.
const ROUND: Nanos = 50 * MS;
/// Digests are laid beside each other so often.
const REPAIR: Nanos = SECOND;
/// In one datagram.
pub const MOST_BYTES: usize = 1100;
/// Of words on the wire, about: member, engine, version, age, sight.
const WORD_BYTES: usize = 24;
const MOST_WORDS: usize = MOST_BYTES / WORD_BYTES;
/// Parts of the members in a digest.
const BUCKETS: usize = 16;
/// What came so much later than the quickest of its sender is no news.
const LATE: Nanos = SECOND / 2;
/// Clocks run apart by no more than this part.
const DRIFT: f64 = 0.02;

/// A member's word on an engine, on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Item {
    pub of: Process,
    pub engine: u64,
    pub version: u32,
    pub age_ms: u32,
    pub sight: Sight,
}

/// Up to which version all words of a member are known, or overtaken by later ones on the same engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Known {
    pub of: Process,
    pub version: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Gossip {
    /// `said_ms`: by the sender's own clock. `spares`: what it might lend, by bound.
    News {
        said_ms: u64,
        from: Process,
        journal: u64,
        spares: Vec<u32>,
        items: Vec<Item>,
        /// Of these members all words up to the version are among the items or overtaken.
        upto: Vec<Known>,
    },
    /// What stands here of all members, part by part.
    Digest {
        said_ms: u64,
        from: Process,
        parts: Vec<u32>,
    },
    /// Of the members of parts that differ.
    Versions {
        said_ms: u64,
        from: Process,
        known: Vec<Known>,
    },
}

impl Gossip {
    pub fn from(&self) -> (Process, u64) {
        match self {
            Gossip::News { from, said_ms, .. }
            | Gossip::Digest { from, said_ms, .. }
            | Gossip::Versions { from, said_ms, .. } => (*from, *said_ms),
        }
    }
}

struct Passing {
    item: Item,
    /// When it was seen, by this member's clock.
    seen_at: Nanos,
    /// How often it still goes out.
    left: u32,
}

/// What a datagram took longer than the quickest of its sender.
#[derive(Clone, Copy, Debug)]
struct Quickest {
    birth: u64,
    offset: i64,
    at: Nanos,
}

pub struct Spread {
    me: Process,
    began: Nanos,
    members: usize,
    /// Words that still go out, the newest last. Emptied as they have gone out often enough, and from the front.
    passing: VecDeque<Passing>,
    most_passing: usize,
    /// By place.
    newest: BTreeMap<u16, Known>,
    quickest: BTreeMap<u16, Quickest>,
    next_news: Nanos,
    last_round: Nanos,
    next_repair: Nanos,
    /// Bytes that may still be sent, filled with time.
    allowance: f64,
    allowed_at: Nanos,
    bytes_a_second: f64,
    pub sent_bytes: u64,
    pub late: u64,
}

impl Spread {
    pub fn new(me: Process, members: usize, bytes_a_second: f64, now: Nanos) -> Spread {
        Spread {
            me,
            began: now,
            members,
            passing: VecDeque::new(),
            most_passing: 4096,
            newest: BTreeMap::new(),
            quickest: BTreeMap::new(),
            next_news: Nanos::MAX,
            last_round: 0,
            next_repair: now + REPAIR,
            allowance: bytes_a_second,
            allowed_at: now,
            bytes_a_second,
            sent_bytes: 0,
            late: 0,
        }
    }

    /// So often a word goes out from each member that hears it: three each time, until all but one in some thousands
    /// have it with one in twenty lost.
    fn times(&self) -> u32 {
        let rounds = (self.members.max(2) as f64).log2();
        (0.75 * rounds).ceil() as u32 + 1
    }

    fn ms(&self, now: Nanos) -> u64 {
        now.saturating_sub(self.began) / MS
    }

    /// A new word, of this member or another: it goes on.
    pub fn pass_on(&mut self, now: Nanos, item: Item, seen_at: Nanos) {
        let known = self.newest.entry(item.of.place).or_insert(Known {
            of: item.of,
            version: 0,
        });
        if known.of != item.of {
            *known = Known {
                of: item.of,
                version: 0,
            };
        }
        // One that is missing in between leaves a gap, which the digests show.
        if item.version == known.version + 1 {
            known.version = item.version;
        }
        // An older word of the same member on the same engine need not travel any more.
        self.passing
            .retain(|held| (held.item.of, held.item.engine) != (item.of, item.engine));
        self.passing.push_back(Passing {
            item,
            seen_at,
            left: self.times(),
        });
        if self.passing.len() > self.most_passing {
            self.passing.pop_front();
        }
        let soon = (now + EAGER).max(self.last_round + ROUND);
        self.next_news = self.next_news.min(soon);
    }

    /// Something beside words is new: the next datagrams go out soon.
    pub fn hurry(&mut self, now: Nanos) {
        self.next_news = self.next_news.min(now + EAGER);
    }

    /// Told by a member that repaired a gap here.
    pub fn known_upto(&mut self, upto: &[Known]) {
        for known in upto {
            let held = self.newest.entry(known.of.place).or_insert(*known);
            if held.of == known.of {
                held.version = held.version.max(known.version);
            } else if held.of.birth < known.of.birth {
                *held = *known;
            }
        }
    }

    /// A process that is gone: what is known of its versions ends with it.
    pub fn forget(&mut self, process: Process) {
        if self
            .newest
            .get(&process.place)
            .is_some_and(|known| known.of == process)
        {
            self.newest.remove(&process.place);
        }
        if self
            .quickest
            .get(&process.place)
            .is_some_and(|quickest| quickest.birth == process.birth)
        {
            self.quickest.remove(&process.place);
        }
    }

    /// How long this datagram was under way beyond the quickest of its sender; `None`: it is no news any more.
    pub fn delay(&mut self, now: Nanos, from: Process, said_ms: u64) -> Option<Nanos> {
        let offset = now as i64 - (said_ms * MS) as i64;
        let quickest = self.quickest.entry(from.place).or_insert(Quickest {
            birth: from.birth,
            offset,
            at: now,
        });
        if quickest.birth > from.birth {
            return None;
        }
        if quickest.birth < from.birth {
            *quickest = Quickest {
                birth: from.birth,
                offset,
                at: now,
            };
        }
        let drifted = (now.saturating_sub(quickest.at) as f64 * DRIFT) as i64;
        if offset <= quickest.offset + drifted {
            (quickest.offset, quickest.at) = (offset, now);
            return Some(0);
        }
        let late = (offset - quickest.offset) as Nanos;
        if late > LATE + drifted as Nanos {
            self.late += 1;
            return None;
        }
        Some(late)
    }

    pub fn next_wake(&self) -> Nanos {
        self.next_news.min(self.next_repair)
    }

    /// What goes out now, and to whom.
    pub fn woken(
        &mut self,
        now: Nanos,
        heard: &[u16],
        journal: u64,
        spares: &[u32],
        rng: &mut ChaCha8Rng,
    ) -> Vec<(u16, Gossip)> {
        let mut out = Vec::new();
        let since = now.saturating_sub(self.allowed_at) as f64 / SECOND as f64;
        self.allowance = (self.allowance + since * self.bytes_a_second).min(self.bytes_a_second);
        self.allowed_at = now;
        let (from, said_ms) = (self.me, self.ms(now));
        if now >= self.next_news {
            self.next_news = Nanos::MAX;
            self.last_round = now;
            for to in few(heard, FANOUT, rng) {
                let items = self.next_items(now);
                let size = 24 + spares.len() * 3 + items.len() * WORD_BYTES;
                if self.allowance < size as f64 {
                    break;
                }
                self.allowance -= size as f64;
                let spares = spares.to_vec();
                let news = Gossip::News {
                    said_ms,
                    from,
                    journal,
                    spares,
                    items,
                    upto: Vec::new(),
                };
                out.push((to, news));
            }
            self.passing.retain(|passing| passing.left > 0);
            if !self.passing.is_empty() {
                self.next_news = now + ROUND;
            }
        }
        if now >= self.next_repair {
            self.next_repair = now + REPAIR / 2 + rng.random_range(0..REPAIR);
            if let Some(to) = few(heard, 1, rng).pop()
                && self.allowance >= 4.0 * BUCKETS as f64
            {
                self.allowance -= 4.0 * BUCKETS as f64;
                out.push((
                    to,
                    Gossip::Digest {
                        said_ms,
                        from,
                        parts: self.parts(),
                    },
                ));
                // Spares and the journal's number are told in quiet times too.
                let news = Gossip::News {
                    said_ms,
                    from,
                    journal,
                    spares: spares.to_vec(),
                    items: Vec::new(),
                    upto: Vec::new(),
                };
                out.push((to, news));
            }
        }
        out
    }

    /// The words that have gone out least; each is counted.
    fn next_items(&mut self, now: Nanos) -> Vec<Item> {
        let mut order: Vec<usize> = (0..self.passing.len()).collect();
        order.sort_by_key(|&i| std::cmp::Reverse(self.passing[i].left));
        order.truncate(MOST_WORDS);
        let mut items = Vec::with_capacity(order.len());
        for i in order {
            let passing = &mut self.passing[i];
            if passing.left == 0 {
                continue;
            }
            passing.left -= 1;
            items.push(Item {
                age_ms: age_ms(now, passing.seen_at),
                ..passing.item
            });
        }
        items
    }

    fn parts(&self) -> Vec<u32> {
        let mut parts = vec![0u32; BUCKETS];
        for (place, known) in &self.newest {
            let mut hasher = SipHasher13::new();
            hasher.write_u16(*place);
            hasher.write_u64(known.of.birth);
            hasher.write_u32(known.version);
            parts[usize::from(*place) % BUCKETS] ^= hasher.finish() as u32;
        }
        parts
    }

    /// The answer to a digest: what is known here of the parts that differ.
    pub fn differing(&self, now: Nanos, parts: &[u32]) -> Option<Gossip> {
        let own = self.parts();
        let differs = |place: u16| {
            let part = usize::from(place) % BUCKETS;
            parts.get(part) != own.get(part)
        };
        if parts == own {
            return None;
        }
        let known = self
            .newest
            .values()
            .filter(|known| differs(known.of.place))
            .copied();
        let known = known.take(MOST_BYTES / 14).collect();
        Some(Gossip::Versions {
            said_ms: self.ms(now),
            from: self.me,
            known,
        })
    }

    /// Of which members the other knows less than this one: from which version on.
    pub fn newer_than(&self, theirs: &[Known]) -> Vec<Known> {
        let known_there = |known: &Known| {
            theirs
                .iter()
                .find(|t| t.of.place == known.of.place)
                .map(|t| if t.of == known.of { t.version } else { 0 })
        };
        let less = |known: &Known| {
            let version = known_there(known)?;
            (version < known.version).then_some(Known {
                of: known.of,
                version,
            })
        };
        self.newest.values().filter_map(less).collect()
    }

    /// Members of which the other knows more.
    pub fn older_than(&self, theirs: &[Known]) -> bool {
        theirs.iter().any(|t| match self.newest.get(&t.of.place) {
            Some(own) => t.of.birth > own.of.birth || (t.of == own.of && t.version > own.version),
            None => true,
        })
    }

    pub fn own_versions(&self, now: Nanos, of: &[Known]) -> Gossip {
        let known = of
            .iter()
            .map(|t| {
                let own = self.newest.get(&t.of.place).filter(|own| own.of == t.of);
                Known {
                    of: t.of,
                    version: own.map_or(0, |own| own.version),
                }
            })
            .collect();
        Gossip::Versions {
            said_ms: self.ms(now),
            from: self.me,
            known,
        }
    }

    /// What closes the other's gaps.
    pub fn repair(&self, now: Nanos, items: Vec<Item>, upto: Vec<Known>) -> Gossip {
        let (said_ms, from) = (self.ms(now), self.me);
        Gossip::News {
            said_ms,
            from,
            journal: 0,
            spares: Vec::new(),
            items,
            upto,
        }
    }

    pub fn known_of(&self, place: u16) -> Option<Known> {
        self.newest.get(&place).copied()
    }
}

pub fn age_ms(now: Nanos, seen_at: Nanos) -> u32 {
    (now.saturating_sub(seen_at) / MS).min(u64::from(u32::MAX)) as u32
}

/// So many different ones, by chance.
fn few(heard: &[u16], count: usize, rng: &mut ChaCha8Rng) -> Vec<u16> {
    let mut chosen = Vec::with_capacity(count);
    while chosen.len() < count.min(heard.len()) {
        let place = heard[rng.random_range(0..heard.len())];
        if !chosen.contains(&place) {
            chosen.push(place);
        }
    }
    chosen
}
