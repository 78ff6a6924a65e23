//! Assignment of voters to statements.
//!
//! Rendezvous hashing of the statement's id over the whole member list, connected or not, so that
//! all members choose the same voters whatever their connectivity.

use std::cell::RefCell;
use std::hash::Hasher;

use ivypitch_types::MemberId;
use siphasher::sip::SipHasher13;

use crate::message::StatementId;

/// Size of the assignment cache. The voters of a statement are looked up about ten times, and
/// choosing them ranks the whole member list.
const CACHE_ENTRIES: usize = 1024;

/// Assigns voters to statements.
pub struct VoterAssignment {
    /// Zone of each member, by member id.
    zones: Vec<u16>,
    voters_per_statement: usize,
    max_per_zone: usize,
    /// Recent assignments, by the id's low bits.
    cache: RefCell<Vec<Option<CachedAssignment>>>,
}

#[derive(Clone)]
struct CachedAssignment {
    id: StatementId,
    voters: Vec<MemberId>,
}

impl VoterAssignment {
    /// `zones` lists the zones of all members, by member id. Each statement gets
    /// `voters_per_statement` voters, rounded down to an odd number, or fewer if there are fewer
    /// members. With three zones or more, no zone holds a quorum; with two, both hold a voter.
    pub fn new(zones: Vec<u16>, voters_per_statement: usize) -> VoterAssignment {
        let voters_per_statement =
            round_down_to_odd(voters_per_statement.clamp(1, zones.len().max(1)));
        let max_per_zone = match count_distinct(&zones) {
            0 | 1 => voters_per_statement,
            2 => (voters_per_statement / 2 + 1)
                .min(voters_per_statement.saturating_sub(1))
                .max(1),
            _ => (voters_per_statement / 2).max(1),
        };
        VoterAssignment {
            zones,
            voters_per_statement,
            max_per_zone,
            cache: RefCell::new(vec![None; CACHE_ENTRIES]),
        }
    }

    /// Number of voters of each statement.
    pub fn voters_per_statement(&self) -> usize {
        self.voters_per_statement
    }

    /// Number of votes that make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters_per_statement / 2 + 1
    }

    /// The voters of a statement, highest rank first.
    pub fn voters_of(&self, id: StatementId) -> Vec<MemberId> {
        let position = (id % CACHE_ENTRIES as u64) as usize;
        if let Some(cached) = &self.cache.borrow()[position]
            && cached.id == id
        {
            return cached.voters.clone();
        }
        let voters = self.choose(id);
        let cached = CachedAssignment {
            id,
            voters: voters.clone(),
        };
        self.cache.borrow_mut()[position] = Some(cached);
        voters
    }

    fn choose(&self, id: StatementId) -> Vec<MemberId> {
        let ranked = self.ranked_members(id);
        let mut voters = Vec::with_capacity(self.voters_per_statement);
        let mut used_zones: Vec<u16> = Vec::with_capacity(self.voters_per_statement);
        for &member in &ranked {
            let zone = self.zones[member.as_usize()];
            let voters_in_zone = used_zones.iter().filter(|&&used| used == zone).count();
            if voters_in_zone < self.max_per_zone {
                used_zones.push(zone);
                voters.push(member);
            }
            if voters.len() == self.voters_per_statement {
                return voters;
            }
        }
        // The zones are too uneven for the limit: the rest is chosen by rank alone.
        for &member in &ranked {
            if voters.len() < self.voters_per_statement && !voters.contains(&member) {
                voters.push(member);
            }
        }
        voters
    }

    fn ranked_members(&self, id: StatementId) -> Vec<MemberId> {
        let mut ranked: Vec<(u64, MemberId)> = (0..self.zones.len())
            .map(|member| MemberId(member as u16))
            .map(|member| (rendezvous_weight(id, member), member))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, member)| member).collect()
    }
}

fn rendezvous_weight(id: StatementId, member: MemberId) -> u64 {
    let member = u64::from(member.0);
    let mut hasher = SipHasher13::new_with_keys(id, member);
    hasher.write_u64(id ^ member.rotate_left(32));
    hasher.finish()
}

fn round_down_to_odd(count: usize) -> usize {
    if count == 0 {
        1
    } else {
        count - (count + 1) % 2
    }
}

fn count_distinct(zones: &[u16]) -> usize {
    let mut distinct = zones.to_vec();
    distinct.sort_unstable();
    distinct.dedup();
    distinct.len()
}
