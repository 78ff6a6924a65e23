//! The witness: a register for each statement. It gives its vote to one epoch at a time and never takes a grant back.
//! A witness that began lately has forgotten its votes, so it gives none until it has learned again what it may have
//! voted on, or until nothing of that time can be open any more.

use std::collections::{BTreeMap, BTreeSet};

use ivypitch_types::Nanos;

use crate::message::{
    AttemptGrant, Epoch, StatementEnd, StatementId, StatementRecord, StatementSpec,
    VoteLogCompleteness,
};
use crate::voters::VoterAssignment;

/// A copy of what stands in the register.

/// Why a vote was not given.
#[derive(Clone, Debug, PartialEq)]
pub enum VoteRefusal {
    /// This witness began lately.
    Abstained,
    /// Another may act, or it has ended; what stands.
    Conflict(Box<StatementRecord>),
    /// No room for another statement.
    Full,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    promised: Epoch,
    facts: Option<StatementSpec>,
    /// When its client's time is over.
    deadline: Nanos,
    grants: Vec<AttemptGrant>,
    end: Option<StatementEnd>,
    forget_at: Nanos,
}

impl Entry {
    fn told(&self, now: Nanos, id: StatementId) -> StatementRecord {
        let left_ms = (self.deadline.saturating_sub(now) / 1_000_000) as u32;
        let facts = self
            .facts
            .clone()
            .map(|facts| StatementSpec { left_ms, ..facts });
        StatementRecord {
            id,
            epoch: self.promised,
            facts,
            grants: self.grants.clone(),
            end: self.end,
        }
    }

    fn learn(&mut self, now: Nanos, told: &StatementRecord) {
        if self.facts.is_none()
            && let Some(facts) = &told.facts
        {
            self.deadline = now + u64::from(facts.left_ms) * 1_000_000;
            self.facts = Some(facts.clone());
        }
        for grant in &told.grants {
            match self
                .grants
                .iter_mut()
                .find(|g| (g.epoch, g.number) == (grant.epoch, grant.number))
            {
                Some(held) => held.void |= grant.void,
                None => self.grants.push(*grant),
            }
        }
        self.grants.sort_unstable();
        // That it completed is a fact, whoever says so; no other end stands over it.
        match (self.end, told.end) {
            (None | Some(StatementEnd::Aborted), Some(end @ StatementEnd::Completed { .. })) => {
                self.end = Some(end)
            }
            (None, Some(end)) if told.epoch >= self.promised => self.end = Some(end),
            _ => {}
        }
        // That of a completed one is wanted as long as its engine may still have the rows.
        if self
            .end
            .is_some_and(|end| !matches!(end, StatementEnd::Completed { .. }))
        {
            self.drop_text();
        }
    }

    fn drop_text(&mut self) {
        if let Some(facts) = &mut self.facts {
            facts.text = Vec::new();
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoteLog {
    place: u16,
    /// Emptied as a statement's client can't come back any more.
    entries: BTreeMap<StatementId, Entry>,
    forget: BTreeSet<(Nanos, StatementId)>,
    most: usize,
    /// How long after its client's time a statement may be asked for.
    remembered: Nanos,
    /// Before then nothing is voted on; after `all_from` everything is.
    votes_from: Nanos,
    all_from: Nanos,
    /// Who has told all that it knows since this witness began, and what that is worth.
    told_by: BTreeMap<u16, VoteLogCompleteness>,
    /// How often that changed.
    lessons: u64,
}

impl VoteLog {
    /// `grant_lives`: a grant is not used later than so after it was asked for. `longest`: no client waits longer.
    pub fn new(
        place: u16,
        now: Nanos,
        grant_lives: Nanos,
        longest: Nanos,
        remembered: Nanos,
        most: usize,
    ) -> VoteLog {
        VoteLog {
            place,
            entries: BTreeMap::new(),
            forget: BTreeSet::new(),
            most,
            remembered,
            votes_from: now + grant_lives,
            all_from: now + grant_lives + longest + remembered,
            told_by: BTreeMap::new(),
            lessons: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A peer has told all that this witness may have voted on. What was told while a grant that this one's former self
    /// voted on could still find its majority counts for nothing: it may be told of that one too early.
    pub fn told_all(&mut self, now: Nanos, by: u16, memory: VoteLogCompleteness) {
        if now >= self.votes_from && self.told_by.get(&by) != Some(&memory) {
            self.told_by.insert(by, memory);
            self.lessons += 1;
        }
    }

    /// Goes up as this witness learns more of what it forgot; what it told others before is worth less then.
    pub fn lessons(&self) -> u64 {
        self.lessons
    }

    /// Another process stands at that place now.
    pub fn replaced(&mut self, place: u16) {
        // What the former one told stays true.
        if let Some(VoteLogCompleteness::RestoredFrom(_)) = self.told_by.get(&place) {
            self.told_by.remove(&place);
            self.lessons += 1;
        }
    }

    pub fn memory(&self, now: Nanos) -> VoteLogCompleteness {
        if now >= self.all_from {
            VoteLogCompleteness::Complete
        } else {
            VoteLogCompleteness::RestoredFrom(self.told_by.keys().copied().collect())
        }
    }

    /// Votes that this witness gave before it began are known again: of every majority that it was in, somebody who
    /// knows of it has told it.
    pub fn may_vote(&self, now: Nanos, id: StatementId, witnesses: &VoterAssignment) -> bool {
        if now >= self.all_from {
            return true;
        }
        if now < self.votes_from || self.told_by.is_empty() {
            return false;
        }
        let all = witnesses.of(id);
        let enough = witnesses.count() - witnesses.majority() + 1;
        let knows = |w: u16| match self.told_by.get(&w) {
            Some(VoteLogCompleteness::Complete) => true,
            // It began lately too: it knows what enough of its own fellow witnesses had told it.
            Some(VoteLogCompleteness::RestoredFrom(by)) => {
                all.iter().filter(|&&f| f != w && by.contains(&f)).count() >= enough
            }
            None => false,
        };
        all.iter().filter(|&&w| w != self.place && knows(w)).count() >= enough
    }

    pub fn get(&self, now: Nanos, id: StatementId) -> Option<StatementRecord> {
        Some(self.entries.get(&id)?.told(now, id))
    }

    /// News that need no vote. What a higher epoch has overtaken changes no epoch, but its facts are kept.
    pub fn tell(&mut self, now: Nanos, told: &StatementRecord) {
        if told.end == Some(StatementEnd::Rejected) {
            // It had no effect: whoever comes with the id next begins anew.
            if self
                .entries
                .get(&told.id)
                .is_some_and(|e| e.promised <= told.epoch && e.end.is_none())
            {
                self.remove(told.id);
            }
            return;
        }
        if self.entry(now, told.id, told).is_some()
            && let Some(entry) = self.entries.get_mut(&told.id)
        {
            entry.promised = entry.promised.max(told.epoch);
        }
    }

    /// Leave to send one execution under its epoch.
    pub fn grant(
        &mut self,
        now: Nanos,
        told: &StatementRecord,
        grant: AttemptGrant,
        witnesses: &VoterAssignment,
    ) -> Result<(), VoteRefusal> {
        if !self.may_vote(now, told.id, witnesses) {
            return Err(VoteRefusal::Abstained);
        }
        if let Some(entry) = self.entries.get(&told.id) {
            let same = match (&entry.facts, &told.facts) {
                (Some(mine), Some(theirs)) => mine.digest == theirs.digest,
                _ => true,
            };
            // Asked for twice under one number, it was given before to what this gateway has forgotten.
            let twice = entry
                .grants
                .iter()
                .any(|g| (g.epoch, g.number) == (grant.epoch, grant.number));
            // A grant that the asker was not told of: its claim was read before that was given.
            let knows = |g: &AttemptGrant| {
                told.grants
                    .iter()
                    .any(|t| (t.epoch, t.number) == (g.epoch, g.number))
            };
            let unknown = entry.grants.iter().any(|g| !g.void && !knows(g));
            if entry.promised != grant.epoch || entry.end.is_some() || !same || twice || unknown {
                return Err(VoteRefusal::Conflict(Box::new(entry.told(now, told.id))));
            }
        }
        let told = StatementRecord {
            grants: [told.grants.as_slice(), &[grant]].concat(),
            ..told.clone()
        };
        self.entry(now, told.id, &told).ok_or(VoteRefusal::Full)
    }

    /// The next one that may act: no lower epoch gets a grant here from now on.
    pub fn claim(
        &mut self,
        now: Nanos,
        id: StatementId,
        epoch: Epoch,
        witnesses: &VoterAssignment,
    ) -> Result<Option<StatementRecord>, VoteRefusal> {
        if !self.may_vote(now, id, witnesses) {
            return Err(VoteRefusal::Abstained);
        }
        let known = self.get(now, id);
        if let Some(told) = &known
            && told.epoch >= epoch
        {
            return Err(VoteRefusal::Conflict(Box::new(told.clone())));
        }
        let bare = StatementRecord {
            id,
            epoch,
            facts: None,
            grants: Vec::new(),
            end: None,
        };
        self.entry(now, id, &bare).ok_or(VoteRefusal::Full)?;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.promised = epoch;
        }
        Ok(known)
    }

    /// What stands of the id, made where nothing does, after these news; `None` where there is no room.
    fn entry(&mut self, now: Nanos, id: StatementId, told: &StatementRecord) -> Option<()> {
        if !self.entries.contains_key(&id) {
            if self.entries.len() >= self.most {
                return None;
            }
            let entry = Entry {
                promised: told.epoch,
                facts: None,
                deadline: now,
                grants: Vec::new(),
                end: None,
                forget_at: 0,
            };
            self.entries.insert(id, entry);
        }
        let remembered = self.remembered;
        let entry = self.entries.get_mut(&id)?;
        entry.learn(now, told);
        let at = entry.deadline.max(now) + remembered;
        if at > entry.forget_at {
            self.forget.remove(&(entry.forget_at, id));
            entry.forget_at = at;
            self.forget.insert((at, id));
        }
        Some(())
    }

    /// Nobody can need to ask its engine again.
    pub fn drop_text(&mut self, id: StatementId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.drop_text();
        }
    }

    pub fn remove(&mut self, id: StatementId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.forget.remove(&(entry.forget_at, id));
        }
    }

    /// Drops what no client can ask for any more.
    pub fn tidy(&mut self, now: Nanos) {
        while let Some(&(at, id)) = self.forget.first().filter(|(at, _)| *at <= now) {
            self.forget.remove(&(at, id));
            self.entries.remove(&id);
        }
    }

    pub fn next_forget(&self) -> Nanos {
        self.forget.first().map_or(Nanos::MAX, |&(at, _)| at)
    }

    /// The statements whose acting gateway is this process.
    pub fn acted_for_by(&self, place: u16, birth: u64) -> Vec<StatementId> {
        let by = |entry: &Entry| (entry.promised.place, entry.promised.birth) == (place, birth);
        self.entries
            .iter()
            .filter(|(_, entry)| by(entry))
            .map(|(&id, _)| id)
            .collect()
    }

    /// All that stands, for a witness that has begun anew.
    pub fn all(&self, now: Nanos) -> impl Iterator<Item = StatementRecord> {
        self.entries
            .iter()
            .map(move |(&id, entry)| entry.told(now, id))
    }
}
