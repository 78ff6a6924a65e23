//! Records the output of one gateway of five.

use ivypitch_ownership::*;
use ivypitch_types::{Incarnation, MemberId, Nanos, ProcessId, SECOND};

pub const ID: StatementId = 7;
pub const CLIENT: u64 = 1;
pub const MEMBERS: u16 = 5;
/// After this time no voter abstains.
pub const START: Nanos = 60 * SECOND;

#[derive(Default)]
pub struct Recorder {
    pub sent: Vec<(MemberId, Message)>,
    pub answers: Vec<FinalAnswer>,
    pub granted: Vec<u32>,
    pub denied: Vec<GrantDenial>,
    pub taken_over: usize,
}

impl Output for Recorder {
    fn send(&mut self, to: MemberId, message: Message) {
        self.sent.push((to, message));
    }
    fn on_attempt_granted(&mut self, _: StatementId, attempt: u32) {
        self.granted.push(attempt);
    }
    fn on_attempt_denied(&mut self, _: StatementId, _: u32, denial: GrantDenial) {
        self.denied.push(denial);
    }
    fn proceed(&mut self, _: StatementId) {}
    fn take_over(&mut self, _: StatementId, _: &StatementSpec, _: Nanos, _: Option<u64>) {
        self.taken_over += 1;
    }
    fn answer(&mut self, _: u64, answer: &FinalAnswer) {
        self.answers.push(answer.clone());
    }
    fn log(&mut self, _: &str) {}
}

impl Recorder {
    pub fn has_rejected(&self) -> bool {
        let is_rejected = |answer: &FinalAnswer| matches!(answer, FinalAnswer::Rejected { .. });
        self.answers.iter().any(is_rejected)
    }
}

pub fn process(member: u16) -> ProcessId {
    ProcessId {
        member: MemberId(member),
        incarnation: Incarnation(10 + u64::from(member)),
    }
}

pub fn spec() -> StatementSpec {
    StatementSpec {
        digest: 1,
        workload: 0,
        tenant: 0,
        is_idempotent: false,
        remaining_ms: 20_000,
        request: vec![1],
    }
}

/// Fires all timers that expire by `until`.
pub fn run_timers(ownership: &mut Ownership, until: Nanos, out: &mut Recorder) {
    while ownership.next_timer() <= until {
        let now = ownership.next_timer();
        ownership.on_timer(now, out);
    }
}

/// Member 1 of five in three zones, connected to all others.
pub fn gateway() -> Ownership {
    let zones = (0..MEMBERS).map(|member| member % 3).collect();
    let mut ownership = Ownership::new(process(1), zones, OwnershipConfig::default(), 0);
    for member in (0..MEMBERS).filter(|&member| member != 1) {
        ownership.on_member_up(SECOND, process(member));
    }
    ownership
}

pub fn arrival(is_worth_lookup: bool) -> Arrival {
    Arrival {
        id: ID,
        spec: spec(),
        is_worth_lookup,
        waiter_token: CLIENT,
    }
}
