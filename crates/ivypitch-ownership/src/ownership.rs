//! The statements that this gateway acts for, waits for, or may have to take over. One state for each, changed in one
//! function; what is to be done comes out through [`Output`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ivypitch_types::{Nanos, SECOND};

use crate::message::{
    AttemptGrant, Epoch, FinalAnswer, LookupAnswer, Message, StatementEnd, StatementId,
    StatementRecord, StatementSpec, VoteLogCompleteness,
};
use crate::result_cache::ResultCache;
use crate::vote_log::{VoteLog, VoteRefusal};
use crate::voters::VoterAssignment;

const MS: Nanos = 1_000_000;

/// What becomes of a non-idempotent statement whose grant finds no majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoQuorumPolicy {
    /// Rejected at once.
    Reject,
    /// Sent as without peers, and not taken over later. Where its client comes to the other side of a cut meanwhile,
    /// that side knows nothing of it.
    ProceedAlone,
}

#[derive(Clone, Debug)]
pub struct OwnershipConfig {
    /// Witnesses of each statement.
    pub witnesses: usize,
    /// Of these, so many hear of statements that need no grant.
    pub told: usize,
    /// A grant finds its majority in this time, or there is none.
    pub grant_wait: Nanos,
    /// A grant is used within so long after it was asked for, or not at all.
    pub grant_lives: Nanos,
    /// The second witness claims so long after the first was to, the third twice so long.
    pub claim_step: Nanos,
    pub claim_wait: Nanos,
    /// A witness that was asked for a statement answers in this time.
    pub ask_wait: Nanos,
    /// What was asked of the gateway that has it is asked again after so long.
    pub ask_again: Nanos,
    pub tell_every: Nanos,
    /// No client waits longer for a statement.
    pub longest: Nanos,
    /// After its time a client may come back for so long.
    pub remembered: Nanos,
    pub policy: NoQuorumPolicy,
    pub result_cache_bytes_per_tenant: usize,
    pub most_entries: usize,
}

impl Default for OwnershipConfig {
    fn default() -> OwnershipConfig {
        OwnershipConfig {
            witnesses: 5,
            told: 3,
            grant_wait: 100 * MS,
            grant_lives: 400 * MS,
            claim_step: 120 * MS,
            claim_wait: 150 * MS,
            ask_wait: 40 * MS,
            ask_again: 400 * MS,
            tell_every: 20 * MS,
            longest: 25 * SECOND,
            remembered: 5 * SECOND,
            policy: NoQuorumPolicy::Reject,
            result_cache_bytes_per_tenant: 4 << 20,
            most_entries: 200_000,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StatementState {
    /// A client came; witnesses are asked whether it is known.
    LookingUp,
    /// This gateway acts for it; no grant of this epoch stands.
    Owned,
    /// This gateway acts for it, and a grant stands.
    Replicated,
    /// Its gateway was lost; this one's turn to claim may come.
    Orphaned,
    /// This gateway has asked for leave to act for it.
    TakingOver,
    /// Taken over: this gateway acts for an execution that another sent.
    TakenOver,
    /// Another gateway acts for it; clients here wait for its word.
    OwnedElsewhere,
    /// Its end is known here, with its rows as long as they are kept.
    Cached,
    /// A client that came back has had the end.
    Delivered,
    /// Over, or another's.
    Closed,
    /// Its execution may have run and nobody can say more.
    Unknown,
}

/// What is said to a client's arrival.
#[derive(Clone, Debug, PartialEq)]
pub enum ArrivalDecision {
    /// New: it goes on its way; this gateway acts for it.
    Proceed,
    /// An answer or [`Output::proceed`] follows.
    Wait,
    Answer(FinalAnswer),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantDenial {
    /// No majority of its witnesses can be had, and the own file says refuse. `clean`: nobody else can have sent it;
    /// where a member was lost lately, its client may have come from there.
    NoQuorum { clean: bool },
    /// Another acts for it: the execution is not sent, and the client waits here for the other's word.
    OwnedElsewhere,
}

/// What a send is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantDecision {
    Granted,
    /// [`Output::on_attempt_granted`] or [`Output::on_attempt_denied`] follows.
    Pending,
    Denied(GrantDenial),
}

/// What the decisions ask of their caller, in the order in which it is to be carried out.
pub trait Output {
    /// Sends a message to another member. It may be lost; nothing waits for it to arrive.
    fn send(&mut self, to: u16, message: Message);
    /// A quorum granted the attempt: it may be dispatched.
    fn on_attempt_granted(&mut self, id: StatementId, attempt: u32);
    /// The attempt must not be dispatched.
    fn on_attempt_denied(&mut self, id: StatementId, attempt: u32, denial: GrantDenial);
    /// No other gateway knows the statement: it proceeds as a new one.
    fn proceed(&mut self, id: StatementId);
    /// This gateway acts for the statement from now on. `engine` is where an attempt may be running: that engine is
    /// polled for it and nothing is started. `None` starts the statement.
    fn take_over(
        &mut self,
        id: StatementId,
        spec: &StatementSpec,
        remaining: Nanos,
        engine: Option<u64>,
    );
    /// Answers a client that waits here.
    fn answer(&mut self, waiter: u64, answer: &FinalAnswer);
    /// One line for the log.
    fn log(&mut self, line: &str);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiter {
    Local(u64),
    Remote { place: u16, serial: u64 },
}

/// A member that began lately.
struct Pupil {
    /// When it is told all next, and until when it may need that.
    at: Nanos,
    until: Nanos,
    birth: u64,
    /// What this witness had learned itself as it told it last.
    lessons: Option<u64>,
}

struct Pending {
    grant: AttemptGrant,
    asked_at: Nanos,
    stands: BTreeSet<u16>,
    refused: BTreeMap<u16, Option<StatementRecord>>,
}

struct Case {
    stage: StatementState,
    /// Under which this gateway acts, or asks to.
    epoch: Epoch,
    facts: StatementSpec,
    deadline: Nanos,
    grants: Vec<AttemptGrant>,
    pending: Option<Pending>,
    promises: BTreeMap<u16, Option<StatementRecord>>,
    /// The token of the client whose statement is on its way here.
    own: Option<u64>,
    waiters: Vec<Waiter>,
    /// Witnesses that are still to be asked.
    to_ask: Vec<u16>,
    /// Where it is, or whom was asked last.
    at: u16,
    serial: u64,
    /// Witnesses have heard of it.
    is_told: bool,
    /// A majority let this gateway act under its epoch: no other gets a grant under a lower one.
    sealed: bool,
    /// Refused here; told once it is sealed that no other has sent it.
    rejecting: Option<u32>,
    tries: u32,
    wake: Nanos,
    until: Nanos,
}

impl Case {
    fn is_open(&self) -> bool {
        self.stage <= StatementState::OwnedElsewhere
    }

    /// This gateway acts for it.
    fn acts(&self) -> bool {
        matches!(
            self.stage,
            StatementState::Owned | StatementState::Replicated | StatementState::TakenOver
        )
    }

    fn told(&self, now: Nanos, id: StatementId, with_text: bool) -> StatementRecord {
        let text = if with_text {
            self.facts.text.clone()
        } else {
            Vec::new()
        };
        let left_ms = (self.deadline.saturating_sub(now) / MS) as u32;
        let facts = Some(StatementSpec {
            left_ms,
            text,
            ..self.facts.clone()
        });
        StatementRecord {
            id,
            epoch: self.epoch,
            facts,
            grants: self.grants.clone(),
            end: None,
        }
    }
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnershipCounters {
    pub orphaned: u64,
    pub claimed: u64,
    pub watched: u64,
    pub kept: u64,
    pub delivered: u64,
    pub in_doubt: u64,
    pub no_majority: u64,
    /// Word of a client that found another gateway acting.
    pub elsewhere: u64,
}

/// After its loss an engine may still have the answer of a statement that ended so lately.
const STILL_AT_ENGINE: Nanos = 3 * SECOND / 2;
/// A process that began has heard the others in this time, or they are not there.
const JOINS: Nanos = SECOND;
/// So often whoever had a statement is looked for anew at once; then after so many waits for an answer at most.
const QUICK_TRIES: u32 = 2;
const SLOWEST: u32 = 10;
const TOLD_AT_ONCE: usize = 64;
/// A member that came up is told all so long after a grant's life; one that began lately tells again after so long.
const TEACH_SLACK: Nanos = 50 * MS;
const TEACH_AGAIN: Nanos = 400 * MS;
/// A member lost so soon after it was told all may not have read it.
const TEACH_LOST: Nanos = 2 * SECOND;

pub struct Ownership {
    place: u16,
    birth: u64,
    terms: OwnershipConfig,
    witnesses: VoterAssignment,
    ledger: VoteLog,
    cases: BTreeMap<StatementId, Case>,
    wakes: BTreeSet<(Nanos, StatementId)>,
    kept: ResultCache,
    /// Births of the members that are heard, by place.
    heard: Vec<Option<u64>>,
    suspected: BTreeSet<u16>,
    /// When the newest loss was heard of.
    last_loss: Option<Nanos>,
    /// When each end was heard of, while its rows may still be at an engine; and the same in order of time.
    ended: BTreeMap<StatementId, Nanos>,
    ended_in_order: VecDeque<(Nanos, StatementId)>,
    /// Cases that are over, the oldest first; beyond `most_entries` they are forgotten before their time.
    over: VecDeque<StatementId>,
    /// What the next batch tells, by statement: its end, where it has one.
    news: BTreeMap<StatementId, Option<StatementEnd>>,
    next_tell: Nanos,
    /// Members that came up and may have forgotten their votes.
    to_teach: BTreeMap<u16, Pupil>,
    /// By place: the process that was told all, and when.
    taught: Vec<Option<(u64, Nanos)>>,
    began: Nanos,
    serial: u64,
    totals: OwnershipCounters,
}

impl Ownership {
    /// `zones`: of each seat of the list, by place.
    pub fn new(
        place: u16,
        birth: u64,
        zones: Vec<u16>,
        terms: OwnershipConfig,
        now: Nanos,
    ) -> Ownership {
        let seats = zones.len();
        let witnesses = VoterAssignment::new(zones, terms.witnesses);
        let ledger = VoteLog::new(
            place,
            now,
            terms.grant_lives,
            terms.longest,
            terms.remembered,
            terms.most_entries,
        );
        Ownership {
            place,
            birth,
            kept: ResultCache::new(terms.result_cache_bytes_per_tenant),
            witnesses,
            ledger,
            cases: BTreeMap::new(),
            wakes: BTreeSet::new(),
            heard: vec![None; seats],
            suspected: BTreeSet::new(),
            last_loss: None,
            ended: BTreeMap::new(),
            ended_in_order: VecDeque::new(),
            over: VecDeque::new(),
            news: BTreeMap::new(),
            next_tell: Nanos::MAX,
            to_teach: BTreeMap::new(),
            taught: vec![None; seats],
            began: now,
            serial: 0,
            totals: OwnershipCounters::default(),
            terms,
        }
    }

    pub fn totals(&self) -> OwnershipCounters {
        self.totals
    }

    /// Open cases, entries as a witness, and bytes of kept results.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (
            self.cases.values().filter(|case| case.is_open()).count(),
            self.ledger.len(),
            self.kept.bytes(),
        )
    }

    pub fn stage(&self, id: StatementId) -> Option<StatementState> {
        self.cases.get(&id).map(|case| case.stage)
    }

    /// An execution whose client has gone goes on: the client may come back to another gateway.
    pub fn outlives_client(&self, id: StatementId) -> bool {
        self.cases
            .get(&id)
            .is_some_and(|case| case.acts() && (case.is_told || !case.facts.idempotent))
    }

    fn is_heard(&self, place: u16, birth: u64) -> bool {
        if place == self.place {
            return birth == self.birth;
        }
        self.heard
            .get(usize::from(place))
            .is_some_and(|&b| b == Some(birth))
    }

    fn is_there(&self, place: u16) -> bool {
        place == self.place
            || self
                .heard
                .get(usize::from(place))
                .is_some_and(Option::is_some)
    }

    // ---- the own clients ----

    /// A client's statement has come. `asks`: its work is worth a question whether it is known elsewhere.
    pub fn arrive(
        &mut self,
        now: Nanos,
        id: StatementId,
        facts: StatementSpec,
        asks: bool,
        waiter: u64,
        out: &mut dyn Output,
    ) -> ArrivalDecision {
        self.tidy(now);
        let mut count = 0;
        if let Some(case) = self.cases.get_mut(&id) {
            let is_over = matches!(case.stage, StatementState::Closed);
            if !is_over && case.facts.digest != facts.digest {
                return ArrivalDecision::Answer(FinalAnswer::IdReused);
            }
            if case.is_open() {
                case.waiters.push(Waiter::Local(waiter));
                return ArrivalDecision::Wait;
            }
            let stage = case.stage;
            count = case.epoch.count;
            if let Some(word) = self.last_word(id, stage, facts.idempotent) {
                if matches!(
                    word,
                    FinalAnswer::Rows(_) | FinalAnswer::CompletedWithoutRows
                ) {
                    self.totals.delivered += 1;
                    self.turn(id, StatementState::Delivered);
                }
                return ArrivalDecision::Answer(word);
            }
            self.forget(id);
        }
        let known = self.ledger.get(now, id);
        if let Some(told) = known.filter(|told| told.facts.is_some() || told.end.is_some()) {
            count = count.max(told.epoch.count + 1);
            if told
                .facts
                .as_ref()
                .is_some_and(|known| known.digest != facts.digest)
            {
                return ArrivalDecision::Answer(FinalAnswer::IdReused);
            }
            let case = self.new_case(now, facts.clone(), StatementState::LookingUp);
            match self.whereabouts(&told) {
                Whereabouts::At(place) => {
                    self.insert(
                        id,
                        Case {
                            waiters: vec![Waiter::Local(waiter)],
                            ..case
                        },
                    );
                    self.wait_at(now, id, place, out);
                    return ArrivalDecision::Wait;
                }
                Whereabouts::Orphan => {
                    let grants = told.grants.clone();
                    self.insert(
                        id,
                        Case {
                            waiters: vec![Waiter::Local(waiter)],
                            grants,
                            ..case
                        },
                    );
                    self.turn(id, StatementState::Orphaned);
                    self.claim(now, id, told.epoch.count + 1, out);
                    return ArrivalDecision::Wait;
                }
                Whereabouts::Over(word) if !facts.idempotent => {
                    return ArrivalDecision::Answer(word);
                }
                Whereabouts::Over(_) | Whereabouts::Nowhere => {}
            }
        }
        let joins = self.joins(now, id);
        if asks || joins || self.in_doubt(now) {
            let mut heard: Vec<u16> = self
                .others(id)
                .into_iter()
                .filter(|&w| self.is_there(w))
                .collect();
            heard.reverse();
            if joins || !heard.is_empty() {
                let mut case = self.new_case(now, facts, StatementState::LookingUp);
                case.own = Some(waiter);
                case.to_ask = heard;
                case.epoch.count = count;
                self.insert(id, case);
                if joins {
                    self.wake_case(id, now + self.terms.ask_wait);
                } else {
                    self.ask_next(now, id, out);
                }
                return ArrivalDecision::Wait;
            }
        }
        let mut case = self.new_case(now, facts, StatementState::Owned);
        case.own = Some(waiter);
        case.epoch.count = count;
        self.insert(id, case);
        ArrivalDecision::Proceed
    }

    /// No client that comes now can have been at a gateway that is lost, as far as this one can know.
    fn is_first(&self, now: Nanos) -> bool {
        let span = self.terms.longest + self.terms.remembered;
        now >= self.began + span
            && self.last_loss.is_none_or(|at| now >= at + span)
            && self.suspected.is_empty()
    }

    /// This process began a moment ago and does not hear a majority of the id's witnesses yet: what comes to it now
    /// is asked about once it does.
    fn joins(&self, now: Nanos, id: StatementId) -> bool {
        now < self.began + JOINS && self.witnesses_heard(id) < self.witnesses.majority()
    }

    /// Somebody may have been lost whose statements are not known here yet.
    fn in_doubt(&self, now: Nanos) -> bool {
        let window = self.terms.longest.min(5 * SECOND);
        !self.suspected.is_empty() || self.last_loss.is_some_and(|at| now < at + window)
    }

    /// A client here waits no more.
    pub fn leave(&mut self, id: StatementId, waiter: u64) {
        if let Some(case) = self.cases.get_mut(&id) {
            case.waiters.retain(|&held| held != Waiter::Local(waiter));
            case.own = case.own.filter(|&own| own != waiter);
        }
    }

    /// An execution is about to be sent.
    pub fn grant(
        &mut self,
        now: Nanos,
        id: StatementId,
        number: u32,
        engine: u64,
        out: &mut dyn Output,
    ) -> GrantDecision {
        let Some(case) = self.cases.get_mut(&id) else {
            return GrantDecision::Granted;
        };
        let grant = AttemptGrant {
            epoch: case.epoch,
            number,
            engine,
            void: false,
        };
        if case.facts.idempotent {
            case.grants.push(grant);
            self.tell_later(now, id, None);
            return GrantDecision::Granted;
        }
        // The module sends such a one anew only where what went before is proved never to have run.
        if case.grants.iter().any(|grant| !grant.void) {
            self.word(id, &FinalAnswer::Aborted, out);
            self.turn(id, StatementState::Unknown);
            return GrantDecision::Denied(GrantDenial::OwnedElsewhere);
        }
        let told = case.told(now, id, true);
        case.pending = Some(Pending {
            grant,
            asked_at: now,
            stands: BTreeSet::new(),
            refused: BTreeMap::new(),
        });
        for to in self.witnesses.of(id) {
            if to == self.place {
                let vote = self.ledger.grant(now, &told, grant, &self.witnesses);
                self.count_vote(id, self.place, vote.map_err(|why| stands(&why)));
            } else if self.is_there(to) {
                out.send(
                    to,
                    Message::GrantRequest {
                        told: told.clone(),
                        grant,
                    },
                );
            } else {
                self.count_vote(id, to, Err(None));
            }
        }
        self.wake_case(id, now + self.terms.grant_wait);
        self.judge_votes(now, id, out)
    }

    fn count_vote(
        &mut self,
        id: StatementId,
        from: u16,
        vote: Result<(), Option<StatementRecord>>,
    ) {
        let Some(pending) = self
            .cases
            .get_mut(&id)
            .and_then(|case| case.pending.as_mut())
        else {
            return;
        };
        match vote {
            Ok(()) => drop(pending.stands.insert(from)),
            Err(against) => drop(pending.refused.insert(from, against)),
        }
    }

    fn judge_votes(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) -> GrantDecision {
        let majority = self.witnesses.majority();
        let Some(case) = self.cases.get_mut(&id) else {
            return GrantDecision::Granted;
        };
        let Some(pending) = &case.pending else {
            return GrantDecision::Pending;
        };
        let late = now > pending.asked_at + self.terms.grant_lives;
        if pending.stands.len() >= majority && !late {
            let grant = pending.grant;
            case.grants.push(grant);
            case.pending = None;
            case.is_told = true;
            if case.stage == StatementState::Owned {
                self.turn(id, StatementState::Replicated);
            }
            return GrantDecision::Granted;
        }
        let open = self.witnesses.count() - pending.stands.len() - pending.refused.len();
        let hopeless = pending.stands.len() + open < majority;
        if !hopeless && !late && now < pending.asked_at + self.terms.grant_wait {
            return GrantDecision::Pending;
        }
        let against = pending
            .refused
            .values()
            .flatten()
            .cloned()
            .collect::<Vec<StatementRecord>>();
        let grant = AttemptGrant {
            void: true,
            ..pending.grant
        };
        case.pending = None;
        case.grants.push(grant);
        // Witnesses that are heard and say nothing may be the first sign of a cut: its client may come from beyond it.
        self.denied(now, id, against, open == 0, out)
    }

    /// No majority: another acts for it, it is over, or the witnesses can't be reached.
    fn denied(
        &mut self,
        now: Nanos,
        id: StatementId,
        against: Vec<StatementRecord>,
        all_answered: bool,
        out: &mut dyn Output,
    ) -> GrantDecision {
        self.tell_later(now, id, None);
        let Some(case) = self.cases.get(&id) else {
            return GrantDecision::Granted;
        };
        let (digest, mine) = (case.facts.digest, case.epoch);
        let known = |g: &AttemptGrant| {
            g.void
                || case
                    .grants
                    .iter()
                    .any(|t| (t.epoch, t.number) == (g.epoch, g.number))
        };
        let strongest = against.into_iter().filter(|told| {
            told.epoch != mine || told.end.is_some() || !told.grants.iter().all(known)
        });
        let strongest = strongest.max_by_key(|told| (told.end.is_some(), told.epoch));
        let Some(told) = strongest else {
            self.totals.no_majority += 1;
            if self.terms.policy == NoQuorumPolicy::ProceedAlone {
                return GrantDecision::Granted;
            }
            return GrantDecision::Denied(GrantDenial::NoQuorum {
                clean: all_answered && self.is_first(now),
            });
        };
        self.totals.elsewhere += 1;
        if let Some(case) = self.cases.get_mut(&id)
            && let Some(own) = case.own.take()
        {
            case.waiters.push(Waiter::Local(own));
        }
        if told
            .facts
            .as_ref()
            .is_some_and(|facts| facts.digest != digest)
        {
            self.word(id, &FinalAnswer::IdReused, out);
            self.turn(id, StatementState::Closed);
            return GrantDecision::Denied(GrantDenial::OwnedElsewhere);
        }
        match self.whereabouts(&told) {
            Whereabouts::At(place) => self.wait_at(now, id, place, out),
            Whereabouts::Over(word) => {
                self.word(id, &word, out);
                self.turn(
                    id,
                    if word == FinalAnswer::Aborted {
                        StatementState::Unknown
                    } else {
                        StatementState::Closed
                    },
                );
            }
            Whereabouts::Orphan | Whereabouts::Nowhere => {
                self.turn(id, StatementState::Orphaned);
                self.claim(now, id, told.epoch.count + 1, out);
            }
        }
        GrantDecision::Denied(GrantDenial::OwnedElsewhere)
    }

    /// What came of an execution, told before the module hears of it. Where this gateway acts for the statement no more it
    /// proves nothing: one that was handed over ends here as never sent and runs on at its engine, and a witness that took
    /// its grant for void would let it be sent again.
    pub fn on_attempt_ended(&mut self, now: Nanos, id: StatementId, number: u32, never_ran: bool) {
        let Some(case) = self.cases.get_mut(&id).filter(|case| case.acts()) else {
            return;
        };
        let mine = (case.epoch, number);
        let Some(grant) = case.grants.iter_mut().find(|g| (g.epoch, g.number) == mine) else {
            return;
        };
        if never_ran && !grant.void {
            grant.void = true;
            self.tell_later(now, id, None);
        }
    }

    /// The module has answered the statement for which this gateway acts. Clients that wait beside the first get the
    /// same. `Some`: the client of this token hears later: that nothing ran is said of a non-idempotent statement only once
    /// it is sealed, since its client may have come from another gateway, which may have sent it.
    pub fn answered(
        &mut self,
        now: Nanos,
        id: StatementId,
        word: FinalAnswer,
        out: &mut dyn Output,
    ) -> Option<u64> {
        let alone = self.witnesses.count() == 1;
        let case = self.cases.get_mut(&id).filter(|case| case.acts())?;
        if let FinalAnswer::Rejected { come_back_ms } = word
            && !case.facts.idempotent
            && !case.sealed
            && !alone
            && let Some(own) = case.own.take()
        {
            case.waiters.push(Waiter::Local(own));
            case.rejecting = Some(come_back_ms);
            let count = case.epoch.count + 1;
            self.turn(id, StatementState::Orphaned);
            self.claim(now, id, count, out);
            return Some(own);
        }
        let (tenant, idempotent, told) = (case.facts.tenant, case.facts.idempotent, case.is_told);
        let taken_over = case.stage == StatementState::TakenOver;
        // No grant that was used stands here: what became of it is elsewhere, if anywhere, and whoever comes back has that
        // asked for anew instead of hearing the same for the rest of its time.
        // Without a majority a single one sends all the same, under none.
        let sent = self.terms.policy == NoQuorumPolicy::ProceedAlone
            || case.grants.iter().any(|grant| !grant.void);
        case.own = None;
        case.pending = None;
        let waited = !case.waiters.is_empty();
        self.word(id, &word, out);
        let end = match word {
            FinalAnswer::Rows(pages) => {
                self.kept.put(id, tenant, pages);
                self.totals.kept += u64::from(taken_over);
                self.turn(
                    id,
                    if waited {
                        StatementState::Delivered
                    } else {
                        StatementState::Cached
                    },
                );
                StatementEnd::Completed {
                    rows_at: self.place,
                    birth: self.birth,
                }
            }
            FinalAnswer::CompletedWithoutRows => {
                self.turn(id, StatementState::Cached);
                StatementEnd::Completed {
                    rows_at: self.place,
                    birth: self.birth,
                }
            }
            FinalAnswer::Rejected { .. } => {
                self.turn(id, StatementState::Closed);
                StatementEnd::Rejected
            }
            FinalAnswer::Aborted | FinalAnswer::IdReused => {
                self.totals.in_doubt += u64::from(!idempotent);
                self.turn(
                    id,
                    if idempotent || !sent {
                        StatementState::Closed
                    } else {
                        StatementState::Unknown
                    },
                );
                StatementEnd::Aborted
            }
        };
        if told || !idempotent {
            self.tell_later(now, id, Some(end));
        } else {
            self.news.remove(&id);
        }
        if end == StatementEnd::Rejected && !told {
            self.forget(id);
        }
        None
    }

    /// The same word to all who wait here and elsewhere.
    fn word(&mut self, id: StatementId, word: &FinalAnswer, out: &mut dyn Output) {
        let Some(case) = self.cases.get_mut(&id) else {
            return;
        };
        for waiter in std::mem::take(&mut case.waiters) {
            match waiter {
                Waiter::Local(waiter) => out.answer(waiter, word),
                Waiter::Remote { place, serial } => {
                    let answered = LookupAnswer::Final(word.clone());
                    out.send(
                        place,
                        Message::LookupReply {
                            serial,
                            id,
                            answered,
                        },
                    );
                }
            }
        }
    }

    // ---- the members ----

    pub fn member_up(&mut self, now: Nanos, place: u16, birth: u64) {
        if place == self.place {
            return;
        }
        if let Some(seat) = self.heard.get_mut(usize::from(place)) {
            *seat = Some(birth);
        }
        self.suspected.remove(&place);
        // A process that was away and is back has forgotten nothing.
        let taught = self.taught.get(usize::from(place)).copied().flatten();
        if taught.is_some_and(|(known, _)| known == birth) {
            return;
        }
        self.ledger.replaced(place);
        // What it is told sooner does not count there.
        let young = self.terms.longest + self.terms.remembered + self.terms.grant_lives;
        let at = now + self.terms.grant_lives + TEACH_SLACK;
        self.to_teach.insert(
            place,
            Pupil {
                at,
                until: now + young,
                birth,
                lessons: None,
            },
        );
    }

    pub fn member_suspected(&mut self, place: u16, is: bool) {
        if is {
            self.suspected.insert(place);
        } else {
            self.suspected.remove(&place);
        }
    }

    /// A process is gone. What it acted for has no keeper; the first witness that is heard claims it.
    pub fn member_down(&mut self, now: Nanos, place: u16, birth: u64, out: &mut dyn Output) {
        let Some(seat) = self
            .heard
            .get_mut(usize::from(place))
            .filter(|seat| **seat == Some(birth))
        else {
            return;
        };
        *seat = None;
        self.suspected.remove(&place);
        self.to_teach.remove(&place);
        // What it was told a moment before may have been lost with it.
        if let Some(taught) = self.taught.get_mut(usize::from(place)) {
            taught.take_if(|(_, at)| now < *at + TEACH_LOST);
        }
        self.last_loss = Some(now);
        let (mut orphans, mut first) = (0, 0);
        for id in self.ledger.acted_for_by(place, birth) {
            let Some(told) = self.ledger.get(now, id) else {
                continue;
            };
            let lately = self
                .ended
                .get(&id)
                .is_some_and(|&at| now < at + STILL_AT_ENGINE);
            let sent = told.grants.iter().any(|grant| !grant.void);
            let is_orphan = match told.end {
                None => true,
                Some(StatementEnd::Completed { rows_at, birth: by }) => {
                    (rows_at, by) == (place, birth) && lately && sent
                }
                Some(_) => false,
            };
            let Some(facts) = told.facts.clone().filter(|_| is_orphan) else {
                continue;
            };
            if self
                .cases
                .get(&id)
                .is_some_and(|case| case.acts() || case.stage == StatementState::TakingOver)
            {
                continue;
            }
            let rank = self.rank(id);
            orphans += 1;
            first += u64::from(rank == 0);
            let mut case = self.new_case(now, facts, StatementState::LookingUp);
            if let Some(before) = self.cases.get_mut(&id) {
                case.waiters = std::mem::take(&mut before.waiters);
                case.facts.text = std::mem::take(&mut before.facts.text);
                if case.facts.text.is_empty() {
                    case.facts.text = told.facts.map(|facts| facts.text).unwrap_or_default();
                }
            }
            case.grants = told.grants;
            case.epoch.count = told.epoch.count + 1;
            self.insert(id, case);
            self.turn(id, StatementState::Orphaned);
            self.totals.orphaned += 1;
            self.wake_case(id, now + rank as u64 * self.terms.claim_step);
        }
        if orphans > 0 {
            out.log(&format!(
                "custody member {place} lost: {orphans} statements in hand, first witness of {first}"
            ));
        }
        // Clients here that waited for its word ask anew.
        let waiting =
            |case: &Case| case.stage == StatementState::OwnedElsewhere && case.at == place;
        let again: Vec<StatementId> = self
            .cases
            .iter()
            .filter(|(_, case)| waiting(case))
            .map(|(&id, _)| id)
            .collect();
        for id in again {
            self.look_again(now, id, out);
        }
        self.run_due(now, out);
    }

    /// This one's rank among the witnesses that are heard.
    fn rank(&self, id: StatementId) -> usize {
        let heard = self
            .witnesses
            .of(id)
            .into_iter()
            .filter(|&w| self.is_there(w));
        heard.take_while(|&w| w != self.place).count()
    }

    fn witnesses_heard(&self, id: StatementId) -> usize {
        self.witnesses
            .of(id)
            .into_iter()
            .filter(|&w| self.is_there(w))
            .count()
    }

    fn others(&self, id: StatementId) -> Vec<u16> {
        self.witnesses
            .of(id)
            .into_iter()
            .filter(|&w| w != self.place)
            .collect()
    }

    /// All that this gateway may know of votes that a member which began lately has forgotten. One that began lately
    /// itself tells again as it learns more.
    fn teach(&mut self, now: Nanos, out: &mut dyn Output) {
        let is_due = |(_, pupil): &(&u16, &Pupil)| pupil.at <= now;
        let due: Vec<u16> = self
            .to_teach
            .iter()
            .filter(is_due)
            .map(|(&to, _)| to)
            .collect();
        if due.is_empty() {
            return;
        }
        let (memory, lessons) = (self.ledger.memory(now), self.ledger.lessons());
        for to in due {
            let Some(pupil) = self.to_teach.get_mut(&to) else {
                continue;
            };
            let news = pupil.lessons != Some(lessons);
            pupil.lessons = Some(lessons);
            if news && let Some(taught) = self.taught.get_mut(usize::from(to)) {
                *taught = Some((pupil.birth, now));
            }
            if memory != VoteLogCompleteness::Complete && now < pupil.until {
                pupil.at = now + TEACH_AGAIN;
            } else {
                self.to_teach.remove(&to);
            }
            if news {
                self.tell_all(now, to, &memory, out);
            }
        }
    }

    /// All that this gateway knows of statements of which that one bears witness, and what its word is worth.
    fn tell_all(
        &mut self,
        now: Nanos,
        to: u16,
        memory: &VoteLogCompleteness,
        out: &mut dyn Output,
    ) {
        let mut told: Vec<StatementRecord> = self.ledger.all(now).collect();
        let open = self
            .cases
            .iter()
            .filter(|(_, case)| case.acts() && case.is_told);
        told.extend(open.map(|(&id, case)| case.told(now, id, true)));
        told.retain(|told| self.witnesses.of(told.id).contains(&to));
        let mut parts = told
            .chunks(TOLD_AT_ONCE)
            .map(<[StatementRecord]>::to_vec)
            .collect::<Vec<_>>();
        let rest = parts.pop().unwrap_or_default();
        for told in parts {
            out.send(to, Message::StateTransfer { told, last: None });
        }
        out.send(
            to,
            Message::StateTransfer {
                told: rest,
                last: Some(memory.clone()),
            },
        );
    }

    // ---- messages ----

    pub fn heard(&mut self, now: Nanos, from: u16, message: Message, out: &mut dyn Output) {
        match message {
            Message::Update(all) => all.iter().for_each(|told| self.hear_told(now, told)),
            Message::GrantRequest { told, grant } => {
                let id = told.id;
                match self.ledger.grant(now, &told, grant, &self.witnesses) {
                    Ok(()) => out.send(
                        from,
                        Message::GrantReply {
                            id,
                            grant,
                            against: None,
                        },
                    ),
                    Err(VoteRefusal::Conflict(told)) => out.send(
                        from,
                        Message::GrantReply {
                            id,
                            grant,
                            against: Some(*told),
                        },
                    ),
                    Err(_) => out.send(
                        from,
                        Message::Abstention {
                            id,
                            epoch: grant.epoch,
                        },
                    ),
                }
            }
            Message::GrantReply { id, grant, against } => {
                let is_asked =
                    |case: &&mut Case| case.pending.as_ref().is_some_and(|p| p.grant == grant);
                if self.cases.get_mut(&id).filter(is_asked).is_some() {
                    self.count_vote(id, from, against.map_or(Ok(()), |told| Err(Some(told))));
                    self.after_vote(now, id, out);
                }
            }
            Message::TakeoverRequest { id, epoch } => {
                match self.ledger.claim(now, id, epoch, &self.witnesses) {
                    Ok(told) => {
                        self.superseded(now, id, epoch, out);
                        out.send(
                            from,
                            Message::TakeoverReply {
                                id,
                                epoch,
                                promised: true,
                                told,
                            },
                        );
                    }
                    Err(VoteRefusal::Conflict(told)) => out.send(
                        from,
                        Message::TakeoverReply {
                            id,
                            epoch,
                            promised: false,
                            told: Some(*told),
                        },
                    ),
                    Err(_) => out.send(from, Message::Abstention { id, epoch }),
                }
            }
            Message::TakeoverReply {
                id,
                epoch,
                promised,
                told,
            } => self.hear_promise(now, id, epoch, from, promised, told, out),
            Message::Abstention { id, epoch } => {
                let Some(case) = self.cases.get(&id).filter(|case| case.epoch == epoch) else {
                    return;
                };
                if case.pending.is_some() {
                    self.count_vote(id, from, Err(None));
                    self.after_vote(now, id, out);
                }
            }
            Message::LookupRequest { id, digest, serial } => {
                if let Some(answered) = self.asked(now, from, id, digest, serial, out) {
                    out.send(
                        from,
                        Message::LookupReply {
                            serial,
                            id,
                            answered,
                        },
                    );
                }
            }
            Message::LookupReply {
                serial,
                id,
                answered,
            } => self.hear_answer(now, id, serial, answered, out),
            Message::Handoff(told) => self.take_from(now, told, out),
            Message::StateTransfer { told, last } => {
                told.iter().for_each(|told| self.hear_told(now, told));
                if let Some(memory) = last {
                    self.ledger.told_all(now, from, memory);
                }
            }
        }
    }

    fn hear_told(&mut self, now: Nanos, told: &StatementRecord) {
        self.ledger.tell(now, told);
        if matches!(told.end, Some(StatementEnd::Completed { .. })) {
            self.ended.insert(told.id, now);
            self.ended_in_order.push_back((now, told.id));
        }
    }

    fn after_vote(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let Some(number) = self
            .cases
            .get(&id)
            .and_then(|c| Some(c.pending.as_ref()?.grant.number))
        else {
            return;
        };
        match self.judge_votes(now, id, out) {
            GrantDecision::Granted => out.on_attempt_granted(id, number),
            GrantDecision::Pending => {}
            GrantDecision::Denied(why) => out.on_attempt_denied(id, number, why),
        }
    }

    /// Another has leave to act: what this one acts for goes on at its engine and its clients get its end, but it gets
    /// no further grant; a claim of this one's own is over.
    fn superseded(&mut self, now: Nanos, id: StatementId, epoch: Epoch, out: &mut dyn Output) {
        let Some(case) = self.cases.get(&id) else {
            return;
        };
        if !matches!(
            case.stage,
            StatementState::TakingOver | StatementState::Orphaned
        ) || case.epoch >= epoch
        {
            return;
        }
        if case.waiters.is_empty() {
            self.turn(id, StatementState::Closed);
        } else {
            self.wait_at(now, id, epoch.place, out);
        }
    }

    // ---- claiming ----

    fn claim(&mut self, now: Nanos, id: StatementId, count: u32, out: &mut dyn Output) {
        let epoch = Epoch {
            count,
            place: self.place,
            birth: self.birth,
        };
        let Some(case) = self.cases.get_mut(&id) else {
            return;
        };
        case.epoch = epoch;
        case.promises.clear();
        // What was tried before the claim does not count.
        case.tries = if case.stage == StatementState::TakingOver {
            case.tries + 1
        } else {
            1
        };
        // No longer than a grant's life: a promise counts no more once its witness may have begun anew and voted.
        let wait =
            (self.terms.claim_wait * u64::from(case.tries.min(4))).min(self.terms.grant_lives);
        self.turn(id, StatementState::TakingOver);
        self.wake_case(id, now + wait);
        let all = self.witnesses.of(id);
        for &to in all.iter().filter(|&&to| to != self.place) {
            if self.is_there(to) {
                out.send(to, Message::TakeoverRequest { id, epoch });
            }
        }
        if all.contains(&self.place) {
            match self.ledger.claim(now, id, epoch, &self.witnesses) {
                Ok(told) => self.hear_promise(now, id, epoch, self.place, true, told, out),
                Err(VoteRefusal::Conflict(told)) => {
                    self.hear_promise(now, id, epoch, self.place, false, Some(*told), out)
                }
                Err(_) => {}
            }
        }
    }

    #[expect(clippy::too_many_arguments)]
    fn hear_promise(
        &mut self,
        now: Nanos,
        id: StatementId,
        epoch: Epoch,
        from: u16,
        promised: bool,
        told: Option<StatementRecord>,
        out: &mut dyn Output,
    ) {
        let majority = self.witnesses.majority();
        let asked =
            |case: &&mut Case| case.stage == StatementState::TakingOver && case.epoch == epoch;
        let Some(case) = self.cases.get_mut(&id).filter(asked) else {
            return;
        };
        if !promised {
            let Some(told) = told else { return };
            match self.whereabouts(&told) {
                Whereabouts::At(place) if place != self.place => {
                    let waits = self
                        .cases
                        .get(&id)
                        .is_some_and(|case| !case.waiters.is_empty());
                    if waits {
                        self.wait_at(now, id, place, out);
                    } else {
                        self.turn(id, StatementState::Closed);
                    }
                }
                // A lower claim of one that is lost too: the next try goes over it.
                _ => {
                    if let Some(case) = self.cases.get_mut(&id) {
                        case.epoch.count = case.epoch.count.max(told.epoch.count);
                    }
                }
            }
            return;
        }
        case.promises.insert(from, told);
        if case.promises.len() < majority {
            return;
        }
        self.totals.claimed += 1;
        self.take(now, id, out);
    }

    /// A majority lets this one act: all grants that any majority gave are among what it told.
    fn take(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let Some(case) = self.cases.get_mut(&id) else {
            return;
        };
        let mut grants: BTreeMap<(Epoch, u32), AttemptGrant> = BTreeMap::new();
        let (mut end, mut is_known) = (None, false);
        let all = std::mem::take(&mut case.promises);
        let own = std::mem::take(&mut case.grants);
        for grant in all
            .values()
            .flatten()
            .flat_map(|told| &told.grants)
            .chain(&own)
        {
            let held = grants.entry((grant.epoch, grant.number)).or_insert(*grant);
            held.void |= grant.void;
        }
        for told in all.into_values().flatten() {
            end = match (end, told.end) {
                (Some(StatementEnd::Completed { .. }), _) | (_, None) => end,
                (_, new) => new,
            };
            if let Some(facts) = told.facts {
                is_known = true;
                if case.facts.text.is_empty() {
                    case.facts.text = facts.text;
                }
                if case.waiters.is_empty() {
                    let left = u64::from(facts.left_ms) * MS;
                    case.deadline = case.deadline.max(now + left.min(self.terms.longest));
                }
            }
        }
        case.grants = grants.into_values().collect();
        let sent = case.grants.iter().rev().find(|grant| !grant.void).copied();
        let (waits, idempotent) = (!case.waiters.is_empty(), case.facts.idempotent);
        case.sealed = true;
        let rejecting = case.rejecting.take();
        let left = case.deadline.saturating_sub(now);
        let facts = case.facts.clone();
        let lost_rows = match end {
            Some(StatementEnd::Completed { rows_at, birth }) => !self.is_heard(rows_at, birth),
            _ => false,
        };
        match (end, sent) {
            (Some(StatementEnd::Completed { rows_at, .. }), _) if !lost_rows => {
                if waits && rows_at != self.place {
                    self.wait_at(now, id, rows_at, out);
                } else {
                    self.turn(id, StatementState::Closed);
                }
            }
            (Some(StatementEnd::Aborted), _) if !idempotent => {
                self.word(id, &FinalAnswer::Aborted, out);
                self.turn(id, StatementState::Unknown);
            }
            // Out at an engine, or over there a moment ago: asked for, never started.
            (None | Some(StatementEnd::Completed { .. }), Some(grant)) if left > 0 || waits => {
                self.totals.watched += 1;
                self.turn(id, StatementState::TakenOver);
                self.set_told(id);
                out.take_over(id, &facts, left.max(SECOND), Some(grant.engine));
            }
            (Some(StatementEnd::Completed { .. }), _) => {
                self.word(id, &FinalAnswer::CompletedWithoutRows, out);
                self.turn(id, StatementState::Cached);
            }
            _ if left == 0 && !waits => self.turn(id, StatementState::Closed),
            // Never granted anywhere, and none can be any more: what was refused here has not run.
            _ if rejecting.is_some() => {
                let come_back_ms = rejecting.unwrap_or_default();
                self.word(id, &FinalAnswer::Rejected { come_back_ms }, out);
                self.tell_later(now, id, Some(StatementEnd::Rejected));
                self.set_told(id);
                self.turn(id, StatementState::Closed);
            }
            // Never granted. What is harmless runs at once; else only once its client has come back: it may have been
            // told that it was refused, and then comes under another id.
            _ if idempotent || waits => {
                self.turn(id, StatementState::Owned);
                out.take_over(id, &facts, left, None);
            }
            _ => {
                debug_assert!(is_known || !waits);
                self.turn(id, StatementState::Closed);
            }
        }
    }

    fn set_told(&mut self, id: StatementId) {
        if let Some(case) = self.cases.get_mut(&id) {
            case.is_told = true;
        }
    }

    /// The engine at which it may be ([`Output::take_over`]) is none that is known here: nobody can be asked. What is
    /// harmless runs anew; of anything else nobody can say more.
    pub fn engine_unknown(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let Some(case) = self.cases.get(&id).filter(|case| case.acts()) else {
            return;
        };
        if case.facts.idempotent {
            let (facts, left) = (case.facts.clone(), case.deadline.saturating_sub(now));
            out.take_over(id, &facts, left, None);
        } else {
            let _ = self.answered(now, id, FinalAnswer::Aborted, out);
        }
    }

    /// Another gateway ends and hands this over.
    fn take_from(&mut self, now: Nanos, told: StatementRecord, out: &mut dyn Output) {
        let id = told.id;
        self.ledger.tell(now, &told);
        let Some(facts) = told.facts.clone() else {
            return;
        };
        if self
            .cases
            .get(&id)
            .is_some_and(|case| case.acts() || case.stage == StatementState::TakingOver)
        {
            return;
        }
        let mut case = self.new_case(now, facts, StatementState::LookingUp);
        if let Some(before) = self.cases.get_mut(&id) {
            case.waiters = std::mem::take(&mut before.waiters);
        }
        case.grants = told.grants;
        self.insert(id, case);
        self.turn(id, StatementState::Orphaned);
        self.totals.orphaned += 1;
        self.claim(now, id, told.epoch.count + 1, out);
    }

    /// This gateway ends: what it acts for goes to the first other witness that is heard, with no gap in asking. Its
    /// own clients wait for that one's word as long as this process lives. These were handed over.
    pub fn hand_over(&mut self, now: Nanos, out: &mut dyn Output) -> Vec<StatementId> {
        let acted = |(_, case): &(&StatementId, &Case)| {
            case.acts() && !case.grants.iter().all(|grant| grant.void)
        };
        let open: Vec<StatementId> = self.cases.iter().filter(acted).map(|(&id, _)| id).collect();
        let mut handed = Vec::new();
        for id in open {
            let Some(to) = self.others(id).into_iter().find(|&w| self.is_there(w)) else {
                continue;
            };
            let Some(case) = self.cases.get_mut(&id) else {
                continue;
            };
            if case.pending.is_some() {
                continue;
            }
            let told = case.told(now, id, true);
            if let Some(own) = case.own.take() {
                case.waiters.push(Waiter::Local(own));
            }
            out.send(to, Message::Handoff(told));
            self.turn(id, StatementState::OwnedElsewhere);
            if let Some(case) = self.cases.get_mut(&id) {
                case.at = to;
            }
            // Asked for once the other has had the time to claim it.
            self.wake_case(id, now + self.terms.ask_again / 2);
            handed.push(id);
        }
        if !handed.is_empty() {
            out.log(&format!("custody hands {} statements over", handed.len()));
        }
        handed
    }

    // ---- clients that come back ----

    /// What a gateway is told whose client asks for the id; `None`: once it is known.
    fn asked(
        &mut self,
        now: Nanos,
        from: u16,
        id: StatementId,
        digest: u64,
        serial: u64,
        out: &mut dyn Output,
    ) -> Option<LookupAnswer> {
        if let Some(case) = self
            .cases
            .get_mut(&id)
            .filter(|case| case.stage != StatementState::Closed)
        {
            if case.facts.digest != digest {
                return Some(LookupAnswer::Final(FinalAnswer::IdReused));
            }
            match case.stage {
                StatementState::LookingUp => return Some(LookupAnswer::Unknown),
                StatementState::OwnedElsewhere => return Some(LookupAnswer::HeldBy(case.at)),
                stage if stage < StatementState::OwnedElsewhere => {
                    let waiter = Waiter::Remote {
                        place: from,
                        serial,
                    };
                    if !case.waiters.contains(&waiter) {
                        case.waiters.push(waiter);
                    }
                    if stage == StatementState::Orphaned {
                        self.wake_case(id, now);
                        self.run_due(now, out);
                    }
                    return None;
                }
                stage => {
                    let idempotent = case.facts.idempotent;
                    let Some(word) = self.last_word(id, stage, idempotent) else {
                        return Some(LookupAnswer::Unknown);
                    };
                    self.totals.delivered += 1;
                    self.turn(id, StatementState::Delivered);
                    return Some(LookupAnswer::Final(word));
                }
            }
        }
        let told = self
            .ledger
            .get(now, id)
            .filter(|told| told.facts.is_some() || told.end.is_some());
        let Some(told) = told else {
            return Some(LookupAnswer::Unknown);
        };
        if told
            .facts
            .as_ref()
            .is_some_and(|facts| facts.digest != digest)
        {
            return Some(LookupAnswer::Final(FinalAnswer::IdReused));
        }
        match self.whereabouts(&told) {
            Whereabouts::At(place) => Some(LookupAnswer::HeldBy(place)),
            Whereabouts::Over(word) => Some(LookupAnswer::Final(word)),
            Whereabouts::Nowhere => Some(LookupAnswer::Unknown),
            Whereabouts::Orphan => {
                let facts = told.facts.clone()?;
                let mut case = self.new_case(now, facts, StatementState::LookingUp);
                case.waiters.push(Waiter::Remote {
                    place: from,
                    serial,
                });
                case.grants = told.grants;
                self.insert(id, case);
                self.turn(id, StatementState::Orphaned);
                self.totals.orphaned += 1;
                self.claim(now, id, told.epoch.count + 1, out);
                None
            }
        }
    }

    /// The end of what is over here; `None` where it can as well run anew.
    fn last_word(
        &self,
        id: StatementId,
        stage: StatementState,
        idempotent: bool,
    ) -> Option<FinalAnswer> {
        match (stage, self.kept.get(id)) {
            (StatementState::Cached | StatementState::Delivered, Some(pages)) => {
                Some(FinalAnswer::Rows(pages.clone()))
            }
            (StatementState::Cached | StatementState::Delivered, None) if !idempotent => {
                Some(FinalAnswer::CompletedWithoutRows)
            }
            (StatementState::Unknown, _) if !idempotent => Some(FinalAnswer::Aborted),
            _ => None,
        }
    }

    /// Where a statement is, by what a witness has of it.
    fn whereabouts(&self, told: &StatementRecord) -> Whereabouts {
        match told.end {
            Some(StatementEnd::Completed { rows_at, birth }) => {
                if rows_at != self.place && self.is_heard(rows_at, birth) {
                    Whereabouts::At(rows_at)
                } else {
                    Whereabouts::Over(FinalAnswer::CompletedWithoutRows)
                }
            }
            Some(StatementEnd::Aborted) => Whereabouts::Over(FinalAnswer::Aborted),
            Some(StatementEnd::Rejected) => Whereabouts::Nowhere,
            None if told.epoch.place == self.place && told.epoch.birth == self.birth => {
                Whereabouts::Nowhere
            }
            None if self.is_heard(told.epoch.place, told.epoch.birth) => {
                Whereabouts::At(told.epoch.place)
            }
            None => Whereabouts::Orphan,
        }
    }

    /// Its clients here wait for the word of that gateway.
    fn wait_at(&mut self, now: Nanos, id: StatementId, place: u16, out: &mut dyn Output) {
        self.serial += 1;
        let serial = self.serial;
        let Some(case) = self.cases.get_mut(&id) else {
            return;
        };
        case.at = place;
        case.serial = serial;
        // What another says of it stands over a refusal here.
        case.rejecting = None;
        let digest = case.facts.digest;
        self.turn(id, StatementState::OwnedElsewhere);
        self.wake_case(id, now + self.terms.ask_again);
        out.send(place, Message::LookupRequest { id, digest, serial });
    }

    /// The next witness is asked; none left: it goes on as a new statement.
    fn ask_next(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        self.serial += 1;
        let serial = self.serial;
        let Some(case) = self.cases.get_mut(&id) else {
            return;
        };
        let Some(to) = case.to_ask.pop() else {
            if case.waiters.is_empty() && case.own.is_none() {
                return self.turn(id, StatementState::Closed);
            }
            // Sent under a grant before, and nobody knows its end: asked for under a new epoch, never sent again.
            if !case.facts.idempotent && case.grants.iter().any(|grant| !grant.void) {
                let count = case.epoch.count + 1;
                self.turn(id, StatementState::Orphaned);
                return self.claim(now, id, count, out);
            }
            if case.own.is_some() {
                self.turn(id, StatementState::Owned);
                out.proceed(id);
            } else {
                let (facts, left) = (case.facts.clone(), case.deadline.saturating_sub(now));
                self.turn(id, StatementState::Owned);
                out.take_over(id, &facts, left, None);
            }
            return;
        };
        (case.at, case.serial) = (to, serial);
        let digest = case.facts.digest;
        self.wake_case(id, now + self.terms.ask_wait);
        out.send(to, Message::LookupRequest { id, digest, serial });
    }

    /// The gateway that clients here waited for knows nothing or is lost: the witnesses are asked anew.
    fn look_again(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let mut heard: Vec<u16> = self
            .others(id)
            .into_iter()
            .filter(|&w| self.is_there(w))
            .collect();
        heard.reverse();
        let mine = self.ledger.get(now, id).filter(|told| told.facts.is_some());
        let Some(case) = self.cases.get_mut(&id) else {
            return;
        };
        case.tries += 1;
        let tries = case.tries;
        if case.waiters.is_empty() || now >= case.deadline {
            return self.turn(id, StatementState::Closed);
        }
        case.to_ask = heard;
        if let Some(told) = mine
            && let Whereabouts::Orphan = self.whereabouts(&told)
        {
            self.turn(id, StatementState::Orphaned);
            return self.claim(now, id, told.epoch.count + 1, out);
        }
        self.turn(id, StatementState::LookingUp);
        if tries <= QUICK_TRIES {
            return self.ask_next(now, id, out);
        }
        // Two that each name the other would be asked in turn without an end.
        self.wake_case(
            id,
            now + self.terms.ask_wait * u64::from(tries.min(SLOWEST)),
        );
    }

    fn hear_answer(
        &mut self,
        now: Nanos,
        id: StatementId,
        serial: u64,
        answered: LookupAnswer,
        out: &mut dyn Output,
    ) {
        let there = matches!(answered, LookupAnswer::HeldBy(place) if self.is_there(place));
        let Some(case) = self.cases.get_mut(&id).filter(|case| case.serial == serial) else {
            return;
        };
        let (stage, idempotent) = (case.stage, case.facts.idempotent);
        if !matches!(
            stage,
            StatementState::LookingUp | StatementState::OwnedElsewhere
        ) {
            return;
        }
        match answered {
            LookupAnswer::Unknown if stage == StatementState::LookingUp => {
                self.ask_next(now, id, out)
            }
            LookupAnswer::Unknown => self.look_again(now, id, out),
            LookupAnswer::HeldBy(place) if place != self.place && there => {
                if let Some(own) = case.own.take() {
                    case.waiters.push(Waiter::Local(own));
                }
                self.wait_at(now, id, place, out);
            }
            // That one is lost and the witness does not know yet: it is asked again, after the others.
            LookupAnswer::HeldBy(_) => {
                if stage == StatementState::LookingUp && now < case.deadline {
                    case.tries += 1;
                    case.to_ask.insert(0, case.at);
                }
                self.wake_case(id, now + self.terms.ask_wait);
            }
            // What is harmless runs anew rather than being told that its rows are gone.
            LookupAnswer::Final(FinalAnswer::CompletedWithoutRows | FinalAnswer::Aborted)
                if idempotent =>
            {
                if let Some(case) = self.cases.get_mut(&id) {
                    case.to_ask.clear();
                }
                self.turn(id, StatementState::LookingUp);
                self.ask_next(now, id, out);
            }
            LookupAnswer::Final(word) => {
                if let Some(own) = case.own.take() {
                    case.waiters.push(Waiter::Local(own));
                }
                self.word(id, &word, out);
                self.turn(id, StatementState::Closed);
            }
        }
    }

    // ---- time ----

    pub fn next_wake(&self) -> Nanos {
        let case = self.wakes.first().map_or(Nanos::MAX, |&(at, _)| at);
        let teach = self
            .to_teach
            .values()
            .map(|pupil| pupil.at)
            .min()
            .unwrap_or(Nanos::MAX);
        case.min(self.next_tell)
            .min(self.ledger.next_forget())
            .min(teach)
    }

    pub fn woken(&mut self, now: Nanos, out: &mut dyn Output) {
        self.run_due(now, out);
        if now >= self.next_tell {
            self.tell_now(now, out);
        }
        self.teach(now, out);
        self.tidy(now);
    }

    fn run_due(&mut self, now: Nanos, out: &mut dyn Output) {
        while let Some(&(at, id)) = self.wakes.first().filter(|(at, _)| *at <= now) {
            self.wakes.remove(&(at, id));
            let Some(case) = self.cases.get_mut(&id) else {
                continue;
            };
            case.wake = 0;
            if case.pending.is_some() {
                self.after_vote(now, id, out);
                continue;
            }
            let (joins, too_few) = (
                self.joins(now, id),
                self.witnesses_heard(id) < self.witnesses.majority(),
            );
            let Some(case) = self.cases.get_mut(&id) else {
                continue;
            };
            match case.stage {
                StatementState::LookingUp if joins => self.wake_case(id, now + self.terms.ask_wait),
                StatementState::LookingUp if case.serial == 0 => {
                    // The first question of one that came while this process joined.
                    let mut heard: Vec<u16> = self
                        .others(id)
                        .into_iter()
                        .filter(|&w| self.is_there(w))
                        .collect();
                    heard.reverse();
                    if let Some(case) = self.cases.get_mut(&id) {
                        case.to_ask = heard;
                    }
                    self.ask_next(now, id, out);
                }
                StatementState::LookingUp => self.ask_next(now, id, out),
                StatementState::Orphaned => {
                    let count = case.epoch.count;
                    let epoch = self
                        .ledger
                        .get(now, id)
                        .map_or(0, |told| told.epoch.count + 1);
                    self.claim(now, id, count.max(epoch), out);
                }
                StatementState::TakingOver => {
                    if now < case.deadline && too_few {
                        // Nobody may act for it now. Whoever waits hears so at once and may come back; it is tried on.
                        self.word(id, &FinalAnswer::Aborted, out);
                    }
                    let Some(case) = self.cases.get(&id) else {
                        continue;
                    };
                    if case.rejecting.is_some() {
                        // Nobody can say that it did not run; its client may come back with the same id.
                        self.word(id, &FinalAnswer::Aborted, out);
                        self.turn(id, StatementState::Closed);
                        continue;
                    }
                    if now >= case.deadline {
                        let word = if case.facts.idempotent {
                            FinalAnswer::Rejected { come_back_ms: 0 }
                        } else {
                            FinalAnswer::Aborted
                        };
                        self.word(id, &word, out);
                        self.turn(id, StatementState::Closed);
                    } else {
                        let count = case.epoch.count + 1;
                        self.claim(now, id, count, out);
                    }
                }
                StatementState::OwnedElsewhere => {
                    let (at, waits) = (case.at, !case.waiters.is_empty());
                    if !waits {
                        self.turn(id, StatementState::Closed);
                    } else if self.is_there(at) {
                        self.wait_at(now, id, at, out);
                    } else {
                        self.look_again(now, id, out);
                    }
                }
                // Whatever became of it here: nobody can ask for it any more.
                StatementState::Owned | StatementState::Replicated | StatementState::TakenOver
                    if now >= case.until =>
                {
                    self.turn(id, StatementState::Closed);
                }
                StatementState::Owned | StatementState::Replicated | StatementState::TakenOver => {
                    let until = case.until;
                    self.wake_case(id, until);
                }
                StatementState::Cached
                | StatementState::Delivered
                | StatementState::Closed
                | StatementState::Unknown => {
                    if now >= case.until {
                        self.forget(id);
                    }
                }
            }
        }
    }

    fn tidy(&mut self, now: Nanos) {
        self.ledger.tidy(now);
        let (most, late) = (self.terms.most_entries, now.saturating_sub(STILL_AT_ENGINE));
        let is_old = |&(at, _): &(Nanos, StatementId)| at < late;
        while self.ended_in_order.front().is_some_and(is_old) || self.ended_in_order.len() > most {
            let Some((at, id)) = self.ended_in_order.pop_front() else {
                break;
            };
            if self.ended.get(&id) == Some(&at) {
                self.ended.remove(&id);
                self.ledger.drop_text(id);
            }
        }
        // Their witnesses still know the end.
        while self.over.len() > most {
            let Some(id) = self.over.pop_front() else {
                break;
            };
            if self.cases.get(&id).is_some_and(|case| !case.is_open()) {
                self.forget(id);
            }
        }
    }

    /// Witnesses hear of it with the next batch.
    fn tell_later(&mut self, now: Nanos, id: StatementId, end: Option<StatementEnd>) {
        let held = self.news.entry(id).or_default();
        *held = end.or(*held);
        if self.next_tell == Nanos::MAX {
            self.next_tell = now + self.terms.tell_every;
        }
    }

    /// One message a witness for all that is new.
    fn tell_now(&mut self, now: Nanos, out: &mut dyn Output) {
        self.next_tell = Nanos::MAX;
        let mut batches: BTreeMap<u16, Vec<StatementRecord>> = BTreeMap::new();
        for (id, end) in std::mem::take(&mut self.news) {
            let Some(case) = self.cases.get_mut(&id) else {
                continue;
            };
            let first = !case.is_told;
            if first && (end.is_some() || !case.is_open()) {
                continue;
            }
            let mut told = case.told(now, id, first && end.is_none());
            told.end = end;
            if end.is_some() && !case.facts.idempotent {
                told.facts = None;
            }
            let all = self.witnesses.of(id);
            let count = if case.facts.idempotent {
                self.terms.told
            } else {
                all.len()
            };
            case.is_told = true;
            for &to in all.iter().take(count) {
                if to == self.place {
                    self.hear_told(now, &told);
                } else if self.is_there(to) {
                    batches.entry(to).or_default().push(told.clone());
                }
            }
        }
        for (to, told) in batches {
            for part in told.chunks(TOLD_AT_ONCE) {
                out.send(to, Message::Update(part.to_vec()));
            }
        }
    }

    // ---- the table ----

    fn new_case(&self, now: Nanos, facts: StatementSpec, stage: StatementState) -> Case {
        let deadline = now + (u64::from(facts.left_ms) * MS).min(self.terms.longest);
        Case {
            stage,
            epoch: Epoch {
                count: 0,
                place: self.place,
                birth: self.birth,
            },
            facts,
            deadline,
            grants: Vec::new(),
            pending: None,
            promises: BTreeMap::new(),
            own: None,
            waiters: Vec::new(),
            to_ask: Vec::new(),
            at: self.place,
            serial: 0,
            is_told: false,
            sealed: false,
            rejecting: None,
            tries: 0,
            wake: 0,
            until: deadline + self.terms.remembered,
        }
    }

    fn insert(&mut self, id: StatementId, case: Case) {
        let until = case.until;
        if let Some(before) = self.cases.insert(id, case) {
            self.wakes.remove(&(before.wake, id));
            self.kept.drop_one(id);
        }
        self.wake_case(id, until);
    }

    fn forget(&mut self, id: StatementId) {
        if let Some(case) = self.cases.remove(&id) {
            self.wakes.remove(&(case.wake, id));
            self.kept.drop_one(id);
        }
    }

    fn wake_case(&mut self, id: StatementId, at: Nanos) {
        let Some(case) = self.cases.get_mut(&id) else {
            return;
        };
        self.wakes.remove(&(case.wake, id));
        case.wake = at;
        self.wakes.insert((at, id));
    }

    /// The one function that changes a statement's stage.
    fn turn(&mut self, id: StatementId, to: StatementState) {
        use StatementState::*;
        let Some(case) = self.cases.get_mut(&id) else {
            return;
        };
        let may = match (case.stage, to) {
            (from, to) if from == to => true,
            (LookingUp, Owned | OwnedElsewhere | Orphaned | Closed) => true,
            (
                Owned,
                Replicated | OwnedElsewhere | Orphaned | Cached | Delivered | Closed | Unknown,
            ) => true,
            (
                Replicated | TakenOver,
                OwnedElsewhere | Orphaned | Cached | Delivered | Closed | Unknown,
            ) => true,
            (Orphaned, TakingOver | OwnedElsewhere | Closed) => true,
            (TakingOver, Owned | TakenOver | OwnedElsewhere | Cached | Closed | Unknown) => true,
            (OwnedElsewhere, LookingUp | Orphaned | Closed) => true,
            (Cached | Unknown, Delivered) => true,
            _ => false,
        };
        debug_assert!(may, "{:?} -> {to:?}", case.stage);
        if !may {
            return;
        }
        case.stage = to;
        if !case.is_open() {
            case.pending = None;
            case.facts.text = Vec::new();
            let until = case.until;
            self.wake_case(id, until);
            self.over.push_back(id);
        }
    }
}

enum Whereabouts {
    /// That gateway acts for it or has its end.
    At(u16),
    /// It is over and nobody that is heard has more of it.
    Over(FinalAnswer),
    /// Who acted for it is not heard any more.
    Orphan,
    Nowhere,
}

fn stands(refusal: &VoteRefusal) -> Option<StatementRecord> {
    match refusal {
        VoteRefusal::Conflict(told) => Some((**told).clone()),
        VoteRefusal::Abstained | VoteRefusal::Full => None,
    }
}
