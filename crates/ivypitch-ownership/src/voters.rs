//! Which members bear witness of a statement: rendezvous hashing of its id over all seats of the list, heard or not,
//! so that all members name the same ones whatever they see of each other.

use std::cell::RefCell;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::message::StatementId;

pub struct VoterAssignment {
    /// Zone of each seat, by place.
    zones: Vec<u16>,
    count: usize,
    most_of_a_zone: usize,
    /// Chosen lately, by the id's last bits: an id is asked about some ten times in its life, and choosing looks at all
    /// seats of the list.
    lately: RefCell<Vec<Choice>>,
}

type Choice = Option<(StatementId, Vec<u16>)>;

const LATELY: usize = 1024;

impl VoterAssignment {
    /// `count` of them for each statement, an odd number; fewer where there are fewer seats. Where the seats have three
    /// zones or more no zone holds a majority of them; where they have two, both hold some.
    pub fn new(zones: Vec<u16>, count: usize) -> VoterAssignment {
        let mut kinds = zones.clone();
        kinds.sort_unstable();
        kinds.dedup();
        let odd = |n: usize| if n == 0 { 1 } else { n - (n + 1) % 2 };
        let count = odd(count.clamp(1, zones.len().max(1)));
        let most_of_a_zone = match kinds.len() {
            0 | 1 => count,
            2 => (count / 2 + 1).min(count.saturating_sub(1)).max(1),
            _ => (count / 2).max(1),
        };
        VoterAssignment {
            zones,
            count,
            most_of_a_zone,
            lately: RefCell::new(vec![None; LATELY]),
        }
    }

    pub fn count(&self) -> usize {
        self.count
    }

    pub fn majority(&self) -> usize {
        self.count / 2 + 1
    }

    /// The witnesses of an id, the first in rank first.
    pub fn of(&self, id: StatementId) -> Vec<u16> {
        let place = (id % LATELY as u64) as usize;
        if let Some((known, chosen)) = &self.lately.borrow()[place]
            && *known == id
        {
            return chosen.clone();
        }
        let chosen = self.choose(id);
        self.lately.borrow_mut()[place] = Some((id, chosen.clone()));
        chosen
    }

    fn choose(&self, id: StatementId) -> Vec<u16> {
        let mut ranked: Vec<(u64, u16)> = (0..self.zones.len())
            .map(|place| (weight(id, place as u16), place as u16))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let mut chosen = Vec::with_capacity(self.count);
        let mut held: Vec<(u16, usize)> = Vec::new();
        for &(_, place) in &ranked {
            let zone = self.zones[usize::from(place)];
            let of_zone = held
                .iter()
                .position(|&(z, _)| z == zone)
                .unwrap_or_else(|| {
                    held.push((zone, 0));
                    held.len() - 1
                });
            if held[of_zone].1 < self.most_of_a_zone {
                held[of_zone].1 += 1;
                chosen.push(place);
            }
            if chosen.len() == self.count {
                return chosen;
            }
        }
        // Zones so uneven that the rule can't be kept: filled up by rank alone.
        for &(_, place) in &ranked {
            if chosen.len() < self.count && !chosen.contains(&place) {
                chosen.push(place);
            }
        }
        chosen
    }
}

fn weight(id: StatementId, place: u16) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(id, u64::from(place));
    hasher.write_u64(id ^ u64::from(place).rotate_left(32));
    hasher.finish()
}
