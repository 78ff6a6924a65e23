//! The hub: what comes in, waits, goes on to the decision module, is pushed out or turned away.
//!
//! Across teams: those whose asking is within their share go before all others. Those beyond it are served by
//! start-time fair queueing in virtual time, by share; virtual time goes by a clock, at the pace at which the engines
//! get their work done, so that a wait can be told. Beyond it, a team's workloads have parts of its share, by the
//! importance that they ask for, and starts of their own: a report holds back no lookup. Within it, the workload goes
//! first whose first statement is due first, where due is its coming and the workload's slack.

use ivypitch_types::unit_hash;
use ivypitch_types::{Nanos, StatementIndex};

use crate::budgets::{Budgets, WorkBudget};
use crate::lane::Lane;
use crate::team_heap::TeamHeap;
use crate::timing_wheel::{TimerHandle, TimingWheel};
use crate::wait_estimates::{DecayingRate, ServiceRate, WaitEstimate, WaitStatistics};
use crate::window::Window;

/// Below this part of the window whoever is first of those who wait goes at once, uncharged: engines are not left
/// idle for the order's sake.
const RELAXED: f64 = 0.6;
/// Up to these parts of it the clock lets statements go, and teams within their share get back what they lent without
/// waiting for those who borrowed it; each of these has so many times its own part of the window.
const FULL: f64 = 1.4;
const CALLED_BACK: f64 = 2.0;
const OWN_PART: f64 = 1.5;
/// And room for so many of the widest statements at least.
const OWN_STATEMENTS: f64 = 3.0;
/// A team is within its share by what it asked for in about so many seconds, and may have asked for so many of its
/// costliest usual statements more: a share is an average, and one report no flood.
const ASKED_FADE: f64 = 10.0;
const LUMPS: f64 = 6.0;
/// And it is within it again once it asks for less than this part of that.
const BACK_WITHIN: f64 = 0.9;
/// What the clock's pace is corrected by, as a part, where what is out is off the window by so much of it.
const PULL: f64 = 0.5;
/// Part of the cores' promise that can be had, and the least of it that the pace falls to.
const PROMISE: f64 = 0.95;
const LEAST_PACE: f64 = 0.05;
/// Of what a team's charges were wrong by, this part goes with each of its next releases, but no more back than
/// half of the charge: one statement's surprise does not hold all behind it.
const SETTLED_AT_ONCE: f64 = 0.1;
const MOST_BACK: f64 = 0.5;
/// A lane that preempts goes first in so many of so many releases; the others' first one goes in between.
const URGENT_IN_A_ROW: u8 = 3;
/// Where the clock paces its team, such a lane has at least this part of its share.
const URGENT_PART: f64 = 0.5;
/// A preempting statement pushes out so many waiting ones at most: each was paid for by its own arrival.
const MOST_PUSHED_OUT: usize = 8;
/// Smoothing of the ratio of true to told work, and the evidence that the told one counts at first.
const RATIO_KEEP: f64 = 0.95;
/// Time to come back: at least this, and spread up to so many times itself.
const SOONEST_BACK: Nanos = 20_000_000;
const SPREAD_BACK: f64 = 0.5;
/// A statement is taken into line where its estimate is within this part of the longest wait, so that few of those
/// taken in have to be sent away after all.
const ADMIT_PART: f64 = 0.8;
/// What has so little of its time left can't be met once released.
const LAST_PART: u64 = 8;
/// What was measured of a team's pace holds so long after it last had something waiting.
const PACE_HOLDS: Nanos = 2_000_000_000;
/// What comes and what is done fades in so many seconds.
const COMING_FADE: f64 = 5.0;
/// A mode of the log is over after so long without its sign.
const CALM_AFTER: Nanos = 5_000_000_000;
/// The classes of ranks: teams within their share, those that the clock paces, and those without a share.
const WITHIN: u8 = 0;
const PACED: u8 = 1;
const LEFT_OVER: u8 = 2;
/// Virtual time counts work over share; a share of 1 alone moves it as fast as work.
const LEAST_SHARE: f64 = 1e-6;

/// A statement as it comes to the queues.
#[derive(Clone, Copy, Debug)]
pub struct QueueArrival {
    pub team: usize,
    pub workload: usize,
    /// Work of all its threads as its client tells it; 0: not told.
    pub estimated_work: Nanos,
    pub bytes: usize,
    pub deadline: Nanos,
}

pub trait Output {
    /// It goes to the decision module now; its team asks for no more than its share, or for more.
    fn release(&mut self, statement: StatementIndex, is_within_share: bool);
    /// Final: it never left the queue, so trying again is harmless, after `retry_after` where that is above 0. The
    /// index may be given to another.
    fn reject(&mut self, statement: StatementIndex, retry_after: Nanos);
    /// A change of mode: of a team, or of all.
    fn log_mode_change(&mut self, team: Option<usize>, line: &str);
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Place {
    /// Told of, not yet in line.
    Coming,
    Queued,
    /// Gone on to the module, its team within its share.
    Released,
    /// The same beyond its team's share, on room that others leave idle.
    Lent,
    /// Answered, left or rejected: its ticket is dropped.
    Over,
}

struct Ticket {
    team: u32,
    workload: u16,
    place: Place,
    /// In its lane while it is queued.
    number: u64,
    came: Nanos,
    deadline: Nanos,
    /// What is charged for it, and what its client told.
    work: u64,
    told: u64,
    bytes: usize,
    timer: Option<TimerHandle>,
    /// What it was told of its wait; 0: it did not queue.
    told_wait: Nanos,
    /// The same before its correction by how such words came true.
    estimated: Nanos,
}

#[derive(Clone, Copy)]
enum Due {
    /// A queued statement has waited as long as it may.
    Waited(StatementIndex),
    /// The clock has come to the first team's turn.
    Turn,
    /// A team's budget of work holds something again.
    Filled(u32),
}

/// Sums of true and told work, fading by statement.
#[derive(Clone, Copy)]
struct Learned {
    real: f64,
    told: f64,
    usual: f64,
}

struct Row {
    lanes: Vec<Lane>,
    /// Threads released, by workload.
    out_in: Vec<f64>,
    out: f64,
    learned: Vec<Learned>,
    /// Virtual start of each workload's next statement.
    tags: Vec<u64>,
    /// What was charged too little, in ns of work, to be settled with the workload's next releases.
    debts: Vec<f64>,
    /// Importance asked for, by workload.
    wanted: Vec<DecayingRate>,
    /// Charged work that it asked for.
    asked: DecayingRate,
    within: bool,
    /// It held more than its part as the window was full; in line with others until it holds less.
    beyond_by_hold: bool,
    bucket: WorkBudget,
    filling: Option<TimerHandle>,
    queued: usize,
    bytes: usize,
    /// Work that waits.
    work: u64,
    /// Releases since another lane than the urgent one had its turn.
    urgent: u8,
    urgent_lane: Option<usize>,
    /// What it really used, in core-seconds, since the start.
    used: f64,
    /// The last time that one of its refused was told to come back.
    appointment: Nanos,
    /// How fast it is served while it has something waiting.
    pace: ServiceRate,
    paced_at: Nanos,
    refusing_since: Option<Nanos>,
    refused_at: Nanos,
    refused: u64,
}

/// One row of what a client may ask to see.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedStatement {
    pub statement: StatementIndex,
    pub team: usize,
    pub workload: usize,
    /// Of its workload's line in its team; the next to go is 1.
    pub position: u64,
    pub wait: WaitEstimate,
    pub age: Nanos,
}

pub struct TeamQueues {
    budgets: Budgets,
    /// By statement index; emptied as the statement is over.
    tickets: Vec<Option<Ticket>>,
    /// By team index; as many as the deployment has customers.
    rows: Vec<Row>,
    ranks: TeamHeap,
    /// Teams with something queued, the one with most for its share first.
    fullest: TeamHeap,
    /// Held back by their own bounds on what is released; looked at again as one of theirs is over.
    wheel: TimingWheel<Due>,
    window: Window,
    out: f64,
    /// Of these, released beyond their teams' shares.
    lent: f64,
    queued: usize,
    threads_queued: f64,
    bytes: usize,
    virtual_now: u64,
    shares: f64,
    /// Work done (ns) for teams while they had something waiting, and the rate of all others' work.
    pace: ServiceRate,
    done_for_waiting: f64,
    done_for_others: DecayingRate,
    /// Threads that come free.
    freed: DecayingRate,
    clock_at: Nanos,
    /// Somebody waited for room when last looked at, and whether the clock stood since there was none.
    contended: bool,
    blocked: bool,
    /// The shares of those who wait.
    waiting_shares: f64,
    turn: Option<TimerHandle>,
    record: WaitStatistics,
    seed: u64,
    chances: u64,
    /// Queueing since, or not; and when somebody last waited.
    queueing: Option<Nanos>,
    waited_at: Nanos,
}

impl TeamQueues {
    pub fn new(budgets: Budgets, seed: u64, now: Nanos) -> TeamQueues {
        let widest = budgets
            .workloads
            .iter()
            .map(|w| w.threads)
            .fold(1.0, f64::max);
        let mut teams = TeamQueues {
            tickets: Vec::new(),
            rows: Vec::new(),
            ranks: TeamHeap::default(),
            fullest: TeamHeap::default(),
            wheel: TimingWheel::new(now),
            window: Window::new(budgets.window_policy, widest),
            out: 0.0,
            lent: 0.0,
            queued: 0,
            threads_queued: 0.0,
            bytes: 0,
            virtual_now: 0,
            shares: 0.0,
            pace: ServiceRate::default(),
            done_for_waiting: 0.0,
            done_for_others: DecayingRate::new(COMING_FADE),
            freed: DecayingRate::new(COMING_FADE),
            clock_at: now,
            contended: false,
            blocked: false,
            waiting_shares: 0.0,
            turn: None,
            record: WaitStatistics::default(),
            seed,
            chances: 0,
            queueing: None,
            waited_at: now,
            budgets,
        };
        teams.have_rows(teams.budgets.teams.len(), now);
        teams
    }

    // ---- what happens ----

    /// The cores of the engines that are ready, this gateway's share of them.
    pub fn set_capacity(&mut self, now: Nanos, cores: f64, out: &mut dyn Output) {
        self.window.set_cores(cores);
        self.dispatch(now, out);
    }

    pub fn on_statement_arrived(
        &mut self,
        now: Nanos,
        ix: StatementIndex,
        claim: QueueArrival,
        out: &mut dyn Output,
    ) {
        self.have_rows(claim.team + 1, now);
        let workload = claim.workload.min(self.budgets.workloads.len() - 1);
        let work = self.charge(claim.team, workload, claim.estimated_work);
        let ticket = Ticket {
            team: claim.team as u32,
            workload: workload as u16,
            place: Place::Coming,
            number: 0,
            came: now,
            deadline: claim.deadline,
            work,
            told: claim.estimated_work,
            bytes: claim.bytes,
            timer: None,
            told_wait: 0,
            estimated: 0,
        };
        if self.tickets.len() <= ix.0 {
            self.tickets.resize_with(ix.0 + 1, || None);
        }
        self.tickets[ix.0] = Some(ticket);
        let row = &mut self.rows[claim.team];
        row.asked.add(now, work as f64);
        row.wanted[workload].add(now, self.budgets.workloads[workload].priority_weight);
        self.see_whether_within(now, claim.team);
        self.turn(now, ix, Place::Queued);
        self.dispatch(now, out);
        if self.is_queued(ix) {
            self.keep_or_reject(now, ix, out);
        }
    }

    /// It did not go at once: it may stay where bounds and its time allow.
    fn keep_or_reject(&mut self, now: Nanos, ix: StatementIndex, out: &mut dyn Output) {
        if !self.within_bounds(ix) && !self.push_out_for(now, ix, out) {
            return self.reject(now, ix, out);
        }
        let Some(ticket) = &self.tickets[ix.0] else {
            return;
        };
        let (team, workload) = (ticket.team as usize, usize::from(ticket.workload));
        let until = self.may_wait_until(ticket);
        let mut wait = self.wait(now, ix);
        let told_until = now + ((until.saturating_sub(now)) as f64 * ADMIT_PART) as Nanos;
        if now.saturating_add(wait) > told_until && self.preempts(workload) {
            // Its lane goes ahead of what matters less; that goes back in line.
            let row = &mut self.rows[team];
            if row
                .urgent_lane
                .is_none_or(|urgent| row.lanes[urgent].is_empty())
            {
                row.urgent_lane = Some(workload);
            }
            wait = self.wait(now, ix);
        }
        if now.saturating_add(wait) > told_until {
            return self.reject(now, ix, out);
        }
        let timer = self.wheel.insert(until, Due::Waited(ix));
        if let Some(ticket) = &mut self.tickets[ix.0] {
            ticket.told_wait = wait.max(1);
            ticket.estimated = (wait as f64 / self.record.correction_factor(now)) as Nanos;
            ticket.timer = Some(timer);
        }
        self.waited_at = now;
        if self.queueing.is_none() {
            self.queueing = Some(now);
            let line = format!(
                "Direct -> Queueing: {:.1} of {:.1} threads out, {} waiting",
                self.out,
                self.window.threads(),
                self.queued
            );
            out.log_mode_change(None, &line);
        }
    }

    /// Its client has gone or has killed it. False: it is no longer in the queues.
    pub fn remove(&mut self, now: Nanos, ix: StatementIndex, out: &mut dyn Output) -> bool {
        if !self.is_queued(ix) {
            return false;
        }
        self.turn(now, ix, Place::Over);
        self.dispatch(now, out);
        true
    }

    /// A released statement is over: answered, and no execution of it is out. `real` is its work where answers tell
    /// it, else threads times time on engines; `None`: it never ran. `took` is the time of its good execution.
    pub fn on_statement_ended(
        &mut self,
        now: Nanos,
        ix: StatementIndex,
        real: Option<Nanos>,
        took: Option<Nanos>,
        out: &mut dyn Output,
    ) {
        let Some(ticket) = self.tickets.get(ix.0).and_then(Option::as_ref) else {
            return;
        };
        if !matches!(ticket.place, Place::Released | Place::Lent) {
            return;
        }
        let (team, workload, charged) = (
            ticket.team as usize,
            usize::from(ticket.workload),
            ticket.work,
        );
        let (told, lent) = (ticket.told, ticket.place == Place::Lent);
        let threads = self.budgets.workloads[workload].threads.max(1.0);
        self.turn(now, ix, Place::Over);
        self.settle(now, (team, workload), lent, charged, real.unwrap_or(0));
        if let Some(real) = real {
            self.learn(team, workload, told, real);
            if let Some(took) = took {
                self.window
                    .on_attempt_succeeded(now, took, real, (real as f64 / threads) as Nanos);
            }
        }
        self.rank(team);
        self.dispatch(now, out);
    }

    /// New budgets. What waits stays; bounds that it is now over only keep out what comes.
    pub fn reload(&mut self, now: Nanos, budgets: Budgets, out: &mut dyn Output) {
        let widest = budgets
            .workloads
            .iter()
            .map(|w| w.threads)
            .fold(1.0, f64::max);
        self.window.set_policy(budgets.window_policy, widest);
        self.budgets = budgets;
        self.have_rows(self.budgets.teams.len(), now);
        for team in 0..self.rows.len() {
            let budget = self.budgets.team(team);
            self.rows[team].bucket.refill(budget, now);
            let row = &mut self.rows[team];
            if let Some(timer) = row.filling.take() {
                self.wheel.remove(timer);
            }
            self.rank(team);
        }
        let paced = |&team: &usize| {
            self.ranks
                .rank(team)
                .is_some_and(|(class, _)| class == PACED)
        };
        let waiting = (0..self.rows.len()).filter(paced);
        self.waiting_shares = waiting.map(|team| self.budgets.team(team).share).sum();
        self.count_shares();
        self.dispatch(now, out);
    }

    /// The program ends: what can't be met by then is rejected now.
    pub fn on_shutdown(&mut self, now: Nanos, by: Nanos, out: &mut dyn Output) {
        let queued: Vec<StatementIndex> = (0..self.tickets.len())
            .map(StatementIndex)
            .filter(|&ix| self.is_queued(ix))
            .collect();
        for ix in queued {
            let Some(ticket) = &mut self.tickets[ix.0] else {
                continue;
            };
            ticket.deadline = ticket.deadline.min(by);
            let until = self.tickets[ix.0]
                .as_ref()
                .map_or(0, |ticket| self.may_wait_until(ticket));
            if now.saturating_add(self.wait(now, ix)) > until {
                self.reject(now, ix, out);
            } else {
                self.time(ix, until);
            }
        }
        self.dispatch(now, out);
    }

    pub fn on_timer(&mut self, now: Nanos, out: &mut dyn Output) {
        while let Some(due) = self.wheel.pop_expired(now) {
            match due {
                Due::Waited(ix) => {
                    if let Some(ticket) = &mut self.tickets[ix.0] {
                        ticket.timer = None;
                        self.reject(now, ix, out);
                    }
                }
                Due::Turn => self.turn = None,
                Due::Filled(team) => {
                    self.rows[team as usize].filling = None;
                    self.rank(team as usize);
                }
            }
        }
        self.dispatch(now, out);
    }

    /// When [`TeamQueues::on_timer`] is wanted at the latest.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.wheel.next_timer()
    }

    // ---- what can be seen ----

    pub fn is_queued(&self, ix: StatementIndex) -> bool {
        self.tickets
            .get(ix.0)
            .and_then(Option::as_ref)
            .is_some_and(|t| t.place == Place::Queued)
    }

    pub fn queued(&self) -> usize {
        self.queued
    }

    pub fn released_threads(&self) -> f64 {
        self.out
    }

    /// Of all that waits.
    pub fn queued_threads(&self) -> f64 {
        self.threads_queued
    }

    pub fn window_threads(&self) -> f64 {
        self.window.threads()
    }

    pub fn wait_statistics(&self) -> &WaitStatistics {
        &self.record
    }

    /// Core-seconds that a team really used since the start.
    pub fn used(&self, team: usize) -> f64 {
        self.rows.get(team).map_or(0.0, |row| row.used)
    }

    /// Bytes held for what waits, its text not counted.
    pub fn bytes_held(&self) -> usize {
        let lanes: usize = self
            .rows
            .iter()
            .flat_map(|row| &row.lanes)
            .map(Lane::memory_bytes)
            .sum();
        lanes + self.tickets.capacity() * size_of::<Option<Ticket>>()
    }

    pub fn queued_statement(&self, now: Nanos, ix: StatementIndex) -> Option<QueuedStatement> {
        let ticket = self
            .tickets
            .get(ix.0)?
            .as_ref()
            .filter(|t| t.place == Place::Queued)?;
        let (team, workload) = (ticket.team as usize, usize::from(ticket.workload));
        Some(QueuedStatement {
            statement: ix,
            team,
            workload,
            position: self.rows[team].lanes[workload]
                .totals_ahead_of(ticket.number)
                .count
                + 1,
            wait: self.record.estimate_range(self.wait(now, ix)),
            age: now.saturating_sub(ticket.came),
        })
    }

    /// What waits, line by line, `most` rows at most.
    pub fn queued_statements(&self, now: Nanos, most: usize) -> Vec<QueuedStatement> {
        let lanes = self.rows.iter().flat_map(|row| &row.lanes);
        let waiting = lanes.flat_map(|lane| lane.iter().map(|(ix, _)| ix));
        waiting
            .take(most)
            .filter_map(|ix| self.queued_statement(now, ix))
            .collect()
    }

    // ---- the order ----

    /// Releases what the clock, the window and the budgets let go.
    fn dispatch(&mut self, now: Nanos, out: &mut dyn Output) {
        self.move_clock(now);
        self.blocked = false;
        while let Some(team) = self.ranks.first() {
            let budget = self.budgets.team(team);
            let row = &mut self.rows[team];
            row.bucket.refill(budget, now);
            let empty_for = row.bucket.time_until_positive(budget);
            if empty_for > 0 {
                if row.filling.is_none() {
                    row.filling =
                        Some(self.wheel.insert(now + empty_for, Due::Filled(team as u32)));
                }
                self.unrank(team);
                continue;
            }
            let class = self.ranks.rank(team).map_or(PACED, |(class, _)| class);
            let Some(workload) = self.next_lane(team, class == PACED) else {
                // Its own bounds on what is released hold it back: ranked again as one of its own is over.
                self.unrank(team);
                continue;
            };
            let threads = self.budgets.workloads[workload].threads.max(1.0);
            let (out_then, window) = (self.out + threads, self.window.threads() + 1e-9);
            let mut charged = false;
            if class == WITHIN {
                // Its own part of the window is kept for it, whatever others have borrowed; more while there is room.
                let own = self.rows[team].out + threads;
                let part = self.part(team);
                let most =
                    (OWN_PART * part).max(OWN_STATEMENTS * self.window.max_statement_threads());
                let guaranteed = own <= part;
                let room = out_then - self.lent <= window && own <= most;
                if !guaranteed && !room {
                    // By what it holds it is beyond its share now: in line with the others.
                    self.rows[team].beyond_by_hold = true;
                    self.put(team, PACED);
                    continue;
                }
                if out_then > CALLED_BACK * window {
                    self.blocked = true;
                    break;
                }
            } else if out_then > if self.contended { RELAXED } else { 1.0 } * window {
                // While nobody waits the window alone counts.
                if out_then > window {
                    self.window.on_full();
                }
                if out_then > FULL * window || class == LEFT_OVER && out_then > window {
                    self.blocked = true;
                    break;
                }
                if class == PACED && self.rows[team].tags[workload] > self.virtual_now {
                    self.await_turn(now, self.rows[team].tags[workload]);
                    break;
                }
                charged = true;
            }
            let Some((ix, _, _)) = self.rows[team].lanes[workload].front() else {
                break;
            };
            self.release(now, ix, team, workload, charged, out);
        }
        self.contended = self.waiting_shares > 0.0;
        if self.queued == 0 && self.queueing.is_some() && now >= self.waited_at + CALM_AFTER {
            let since = self.queueing.take().unwrap_or(now);
            let line = format!(
                "Queueing -> Direct: after {:.1} s",
                (now - since) as f64 / 1e9
            );
            out.log_mode_change(None, &line);
        }
    }

    /// Virtual time a second (ns): the work that is to be had for those who wait, over their shares.
    fn clock_pace(&self, now: Nanos) -> f64 {
        let window = self.window.threads().max(1e-9);
        let off = ((window - self.out) / window).clamp(-1.0, 1.0);
        self.usual_pace(now) * (1.0 + PULL * off)
    }

    /// The same without the pull of the moment: what a wait is told by.
    fn usual_pace(&self, now: Nanos) -> f64 {
        self.pace.per_s(self.promise(now)) / self.waiting_shares.max(LEAST_SHARE)
    }

    /// Work (ns) a second that the cores promise to those who wait: what the others leave.
    fn promise(&self, now: Nanos) -> f64 {
        let cores = self.window.cores() * 1e9;
        (cores * PROMISE - self.done_for_others.per_s(now)).max(cores * LEAST_PACE)
    }

    fn move_clock(&mut self, now: Nanos) {
        let span = now.saturating_sub(self.clock_at);
        self.clock_at = self.clock_at.max(now);
        let done = std::mem::take(&mut self.done_for_waiting);
        if !self.contended {
            return;
        }
        self.pace.record(done, span);
        if !self.blocked {
            let went = self.clock_pace(now) * span as f64 / 1e9;
            self.virtual_now = self.virtual_now.saturating_add(went as u64);
        }
    }

    fn await_turn(&mut self, now: Nanos, tag: u64) {
        let away = tag.saturating_sub(self.virtual_now) as f64;
        let span = (away / self.clock_pace(now).max(1.0) * 1e9).min(1e15) as Nanos;
        if let Some(old) = self.turn.replace(self.wheel.insert(now + span, Due::Turn)) {
            self.wheel.remove(old);
        }
    }

    fn release(
        &mut self,
        now: Nanos,
        ix: StatementIndex,
        team: usize,
        workload: usize,
        charged: bool,
        out: &mut dyn Output,
    ) {
        let within = self
            .ranks
            .rank(team)
            .is_some_and(|(class, _)| class == WITHIN);
        let Some(ticket) = &self.tickets[ix.0] else {
            return;
        };
        let (work, told_wait, came) = (ticket.work, ticket.told_wait, ticket.came);
        if told_wait > 0 {
            let estimated = ticket.estimated;
            self.record
                .record_wait(now, told_wait, estimated, now.saturating_sub(came));
        }
        let share = self.lane_share(now, team, workload);
        let row = &mut self.rows[team];
        if charged {
            let settled = (row.debts[workload] * SETTLED_AT_ONCE).max(-MOST_BACK * work as f64);
            row.debts[workload] -= settled;
            let went = span((work as f64 + settled) as u64, share);
            row.tags[workload] = row.tags[workload].saturating_add(went);
        }
        row.bucket.charge(work as f64 / 1e9);
        if told_wait > 0 {
            row.pace
                .record(work as f64, now.saturating_sub(row.paced_at));
            row.paced_at = now;
        }
        match row.urgent_lane {
            Some(urgent) if urgent == workload => row.urgent += 1,
            _ => row.urgent = 0,
        }
        self.turn(now, ix, if within { Place::Released } else { Place::Lent });
        out.release(ix, within);
    }

    /// The workload of a team whose turn it is; none where its bounds on what is released hold all back.
    fn next_lane(&self, team: usize, paced: bool) -> Option<usize> {
        let (row, budget) = (&self.rows[team], self.budgets.team(team));
        let may_go = |workload: usize| {
            let threads = self.budgets.workloads[workload].threads.max(1.0);
            // One is always let through where nothing is out: a bound below its threads would hold it for good.
            let within = |out: f64, most: f64| most > 0.0 && (out <= 0.0 || out + threads <= most);
            within(row.out, budget.max_released_threads)
                && within(
                    row.out_in[workload],
                    budget.max_released_threads_in(workload),
                )
        };
        let filled = (0..row.lanes.len()).filter(|&w| !row.lanes[w].is_empty() && may_go(w));
        let due = |w: usize| {
            let came = row.lanes[w].front().map_or(Nanos::MAX, |(_, _, came)| came);
            came.saturating_add(self.budgets.workloads[w].slack)
        };
        if paced {
            return filled.min_by_key(|&w| (row.tags[w], due(w)));
        }
        let urgent = row
            .urgent_lane
            .filter(|&w| !row.lanes[w].is_empty() && may_go(w));
        match urgent {
            Some(lane) if row.urgent < URGENT_IN_A_ROW => Some(lane),
            Some(lane) => filled
                .clone()
                .filter(|&w| w != lane)
                .min_by_key(|&w| due(w))
                .or(Some(lane)),
            None => filled.min_by_key(|&w| due(w)),
        }
    }

    /// A workload's part of its team's share: by the importance asked for, among those that wait or pay and
    /// itself. An urgent one has half of it at least, the others what that leaves.
    fn lane_share(&self, now: Nanos, team: usize, workload: usize) -> f64 {
        let (row, share) = (&self.rows[team], self.budgets.team(team).share);
        let wanted = |w: usize| row.wanted[w].per_s(now).max(LEAST_SHARE);
        // One that is empty still pays for what it released last.
        let pays = |w: usize| !row.lanes[w].is_empty() || row.tags[w] > self.virtual_now;
        let waits = |w: &usize| *w == workload || pays(*w);
        let all: f64 = (0..row.lanes.len()).filter(waits).map(wanted).sum();
        let part = wanted(workload) / all;
        let Some(urgent) = row.urgent_lane.filter(waits) else {
            return share * part;
        };
        let its = wanted(urgent) / all;
        let most = its.max(URGENT_PART);
        share
            * if urgent == workload {
                most
            } else {
                part * (1.0 - most) / (1.0 - its).max(1e-9)
            }
    }

    /// The virtual start of the team's next statement.
    fn tag(&self, team: usize) -> u64 {
        let row = &self.rows[team];
        (0..row.lanes.len())
            .filter(|&w| !row.lanes[w].is_empty())
            .map(|w| row.tags[w])
            .min()
            .unwrap_or(0)
    }

    /// A team's own part of the window.
    fn part(&self, team: usize) -> f64 {
        let share = self.budgets.team(team).share;
        if share <= 0.0 {
            0.0
        } else {
            self.window.threads() * share / self.shares
        }
    }

    /// Ranks a team by what it has waiting, or takes it out.
    fn rank(&mut self, team: usize) {
        let row = &mut self.rows[team];
        let share = self.budgets.team(team).share;
        if row.queued == 0 {
            row.urgent_lane = None;
            row.beyond_by_hold = false;
            self.fullest.remove(team);
            return self.unrank(team);
        }
        let fullness = span(row.work, share);
        self.fullest.set(team, (0, u64::MAX - fullness));
        if row.filling.is_none() {
            let class = if share <= 0.0 {
                LEFT_OVER
            } else if self.rows[team].within && !self.holds_more(team) {
                WITHIN
            } else {
                PACED
            };
            self.put(team, class);
        }
    }

    fn holds_more(&mut self, team: usize) -> bool {
        if self.rows[team].beyond_by_hold && self.rows[team].out < self.part(team) {
            self.rows[team].beyond_by_hold = false;
        }
        self.rows[team].beyond_by_hold
    }

    fn put(&mut self, team: usize, class: u8) {
        let was = self.ranks.rank(team).map(|(class, _)| class);
        let row = &mut self.rows[team];
        if was != Some(PACED) && class == PACED {
            // The first of all to wait does so as long as it costs: the window is full.
            let front = row
                .lanes
                .iter()
                .filter_map(Lane::front)
                .map(|(ix, _, _)| ix)
                .next();
            let work = front
                .and_then(|ix| self.tickets[ix.0].as_ref())
                .map_or(0, |ticket| ticket.work);
            let first = if self.contended {
                0
            } else {
                span(work, self.budgets.team(team).share)
            };
            let least = self.virtual_now.saturating_add(first);
            row.tags.iter_mut().for_each(|tag| *tag = (*tag).max(least));
            self.waiting_shares += self.budgets.team(team).share;
        }
        if was == Some(PACED) && class != PACED {
            self.no_longer_paced(team);
        }
        self.ranks.set(team, (class, self.tag(team)));
    }

    fn unrank(&mut self, team: usize) {
        if self
            .ranks
            .rank(team)
            .is_some_and(|(class, _)| class == PACED)
        {
            self.no_longer_paced(team);
        }
        self.ranks.remove(team);
    }

    fn no_longer_paced(&mut self, team: usize) {
        self.waiting_shares -= self.budgets.team(team).share;
        if self.waiting_shares < LEAST_SHARE {
            // Sums of what was added and taken again end in a remainder.
            self.waiting_shares = 0.0;
        }
    }

    /// Whether a team asks for no more than its share.
    fn see_whether_within(&mut self, now: Nanos, team: usize) {
        let share = self.budgets.team(team).share;
        let part = if self.shares > 0.0 {
            share / self.shares
        } else {
            0.0
        };
        let row = &mut self.rows[team];
        let costliest = row.learned.iter().map(|l| l.usual).fold(0.0, f64::max);
        let own = self.window.cores() * part * 1e9 + LUMPS * costliest / ASKED_FADE;
        let limit = if row.within { own } else { own * BACK_WITHIN };
        row.within = row.asked.per_s(now) <= limit;
    }

    /// The one function that changes a statement's place.
    fn turn(&mut self, now: Nanos, ix: StatementIndex, to: Place) {
        let Some(ticket) = &mut self.tickets[ix.0] else {
            return;
        };
        let from = ticket.place;
        ticket.place = to;
        let (team, workload) = (ticket.team as usize, usize::from(ticket.workload));
        let (work, bytes, number) = (ticket.work, ticket.bytes, ticket.number);
        let threads = self.budgets.workloads[workload].threads.max(1.0);
        let timer = if to == Place::Queued {
            None
        } else {
            ticket.timer.take()
        };
        if let Some(timer) = timer {
            self.wheel.remove(timer);
        }
        let row = &mut self.rows[team];
        match from {
            Place::Queued => {
                row.lanes[workload].remove(number);
                row.queued -= 1;
                row.bytes -= bytes;
                row.work -= work;
                self.queued -= 1;
                self.threads_queued -= threads;
                self.bytes -= bytes;
            }
            Place::Released | Place::Lent => {
                row.out -= threads;
                row.out_in[workload] -= threads;
                self.out -= threads;
                self.freed.add(now, threads);
                self.lent -= if from == Place::Lent { threads } else { 0.0 };
            }
            Place::Coming | Place::Over => {}
        }
        match to {
            Place::Queued => {
                if row.lanes[workload].is_empty() {
                    // What it did not use while nothing of it waited is gone.
                    row.tags[workload] = row.tags[workload].max(self.virtual_now);
                }
                let tickets = &mut self.tickets;
                let number = row.lanes[workload].push(ix, now, work, |moved, number| {
                    if let Some(ticket) = &mut tickets[moved.0] {
                        ticket.number = number;
                    }
                });
                if let Some(ticket) = &mut self.tickets[ix.0] {
                    ticket.number = number;
                }
                if row.queued == 0 {
                    row.urgent = 0;
                    if now > row.paced_at + PACE_HOLDS {
                        row.pace = ServiceRate::default();
                    }
                    row.paced_at = now;
                }
                row.queued += 1;
                row.bytes += bytes;
                row.work += work;
                self.queued += 1;
                self.threads_queued += threads;
                self.bytes += bytes;
            }
            Place::Released | Place::Lent => {
                row.out += threads;
                row.out_in[workload] += threads;
                self.out += threads;
                self.lent += if to == Place::Lent { threads } else { 0.0 };
            }
            Place::Over => self.tickets[ix.0] = None,
            Place::Coming => {}
        }
        self.rank(team);
    }

    // ---- budgets ----

    fn have_rows(&mut self, count: usize, now: Nanos) {
        let workloads = &self.budgets.workloads;
        while self.rows.len() < count {
            let budget = self.budgets.team(self.rows.len());
            self.rows.push(Row {
                lanes: workloads.iter().map(|_| Lane::default()).collect(),
                out_in: vec![0.0; workloads.len()],
                out: 0.0,
                learned: workloads
                    .iter()
                    .map(|w| {
                        let usual = w.usual_work.max(1) as f64;
                        Learned {
                            real: usual,
                            told: usual,
                            usual,
                        }
                    })
                    .collect(),
                tags: vec![self.virtual_now; workloads.len()],
                debts: vec![0.0; workloads.len()],
                wanted: vec![DecayingRate::new(ASKED_FADE); workloads.len()],
                asked: DecayingRate::new(ASKED_FADE),
                within: true,
                beyond_by_hold: false,
                bucket: WorkBudget::new(budget, now),
                filling: None,
                queued: 0,
                bytes: 0,
                work: 0,
                urgent: 0,
                urgent_lane: None,
                used: 0.0,
                appointment: 0,
                pace: ServiceRate::default(),
                paced_at: now,
                refusing_since: None,
                refused_at: 0,
                refused: 0,
            });
        }
        self.count_shares();
    }

    fn count_shares(&mut self) {
        self.shares = (0..self.rows.len())
            .map(|team| self.budgets.team(team).share)
            .sum();
    }

    /// What a statement is charged: its estimate, as its team's estimates of that workload have proved, or the
    /// usual. So a team whose estimates are too low gains only until its first few statements are over.
    fn charge(&self, team: usize, workload: usize, told: Nanos) -> u64 {
        let learned = &self.rows[team].learned[workload];
        let work = if told == 0 {
            learned.usual
        } else {
            told as f64 * learned.real / learned.told.max(1.0)
        };
        (work as u64).max(1)
    }

    fn learn(&mut self, team: usize, workload: usize, told: u64, real: u64) {
        let learned = &mut self.rows[team].learned[workload];
        learned.usual += (1.0 - RATIO_KEEP) * (real as f64 - learned.usual);
        if told > 0 {
            learned.real = learned.real * RATIO_KEEP + real as f64;
            learned.told = learned.told * RATIO_KEEP + told as f64;
        }
    }

    /// Sets what was charged right by what it really was: in the budget at once, in the order with what the team
    /// releases next.
    fn settle(
        &mut self,
        now: Nanos,
        (team, workload): (usize, usize),
        lent: bool,
        charged: u64,
        real: u64,
    ) {
        if lent || !self.rows[team].within || self.rows[team].beyond_by_hold {
            self.done_for_waiting += real as f64;
        } else {
            self.done_for_others.add(now, real as f64);
        }
        let row = &mut self.rows[team];
        row.used += real as f64 / 1e9;
        // What is owed to it fades as it is not in line; what it owes stays until it is.
        let debt = row.debts[workload] + real as f64 - charged as f64;
        row.debts[workload] = if row.within { 0.0 } else { debt };
        row.bucket.refill(self.budgets.team(team), now);
        row.bucket.charge(real as f64 / 1e9 - charged as f64 / 1e9);
        if let Some(filling) = row.filling.take() {
            // The time at which it holds something again has moved.
            self.wheel.remove(filling);
        }
    }

    fn within_bounds(&self, ix: StatementIndex) -> bool {
        let Some(ticket) = &self.tickets[ix.0] else {
            return false;
        };
        let (team, workload) = (ticket.team as usize, usize::from(ticket.workload));
        self.team_within(team, workload) && self.all_within()
    }

    fn team_within(&self, team: usize, workload: usize) -> bool {
        let (row, budget) = (&self.rows[team], self.budgets.team(team));
        row.queued <= budget.max_queued
            && row.bytes <= budget.max_queued_bytes
            && row.lanes[workload].len() <= budget.max_queued_in(workload)
    }

    fn all_within(&self) -> bool {
        self.queued <= self.budgets.max_queued && self.bytes <= self.budgets.max_queued_bytes
    }

    // ---- pre-emption ----

    fn preempts(&self, workload: usize) -> bool {
        self.budgets.workloads[workload].priority_weight
            >= self.budgets.preempts_from_priority_weight
    }

    /// Makes room for one that is over a bound: by what matters less in its own team, where that is over its own
    /// bounds, else by the team that has most waiting for its share. Only what was never released is touched.
    fn push_out_for(&mut self, now: Nanos, ix: StatementIndex, out: &mut dyn Output) -> bool {
        let Some(ticket) = &self.tickets[ix.0] else {
            return false;
        };
        let (team, workload) = (ticket.team as usize, usize::from(ticket.workload));
        for _ in 0..MOST_PUSHED_OUT {
            if self.within_bounds(ix) {
                return true;
            }
            let victim = if !self.team_within(team, workload) {
                if self.rows[team].lanes[workload].len()
                    > self.budgets.team(team).max_queued_in(workload)
                {
                    return false;
                }
                self.preempts(workload)
                    .then(|| self.least_waiting(team, workload))
                    .flatten()
            } else {
                self.fullest.first().and_then(|fullest| {
                    if fullest == team {
                        self.preempts(workload)
                            .then(|| self.least_waiting(team, workload))
                            .flatten()
                    } else {
                        self.newest_of_fullest(fullest, team)
                    }
                })
            };
            match victim {
                Some(victim) if victim != ix => self.reject(now, victim, out),
                _ => return false,
            }
        }
        self.within_bounds(ix)
    }

    /// The newest waiting statement of the least important workload below this one's, loads left alone.
    fn least_waiting(&self, team: usize, workload: usize) -> Option<StatementIndex> {
        let terms = &self.budgets.workloads;
        let lanes = (0..terms.len()).filter(|&w| {
            !terms[w].is_bulk_load
                && terms[w].priority_weight < terms[workload].priority_weight
                && !self.rows[team].lanes[w].is_empty()
        });
        let least = lanes.min_by(|&a, &b| {
            terms[a]
                .priority_weight
                .total_cmp(&terms[b].priority_weight)
        })?;
        self.rows[team].lanes[least].back().map(|(ix, _)| ix)
    }

    /// Where another team has more waiting for its share than this one, its newest: no load, the least important.
    fn newest_of_fullest(&self, fullest: usize, team: usize) -> Option<StatementIndex> {
        let load = |t: usize| span(self.rows[t].work, self.budgets.team(t).share);
        if load(fullest) <= load(team) {
            return None;
        }
        let terms = &self.budgets.workloads;
        let lanes = (0..terms.len())
            .filter(|&w| !terms[w].is_bulk_load && !self.rows[fullest].lanes[w].is_empty());
        let least = lanes.min_by(|&a, &b| {
            terms[a]
                .priority_weight
                .total_cmp(&terms[b].priority_weight)
        })?;
        self.rows[fullest].lanes[least].back().map(|(ix, _)| ix)
    }

    // ---- turning away ----

    fn reject(&mut self, now: Nanos, ix: StatementIndex, out: &mut dyn Output) {
        let Some(ticket) = &self.tickets[ix.0] else {
            return;
        };
        let (team, work) = (ticket.team as usize, ticket.work);
        let retry_after = self.retry_after(now, ix, team, work);
        self.turn(now, ix, Place::Over);
        let row = &mut self.rows[team];
        if row.refusing_since.is_some() && now >= row.refused_at + CALM_AFTER {
            row.refusing_since = None;
        }
        row.refused_at = now;
        row.refused += 1;
        if row.refusing_since.is_none() {
            row.refusing_since = Some(now);
            let (queued, held, before) = (row.queued, row.out, row.refused - 1);
            let part = self.part(team);
            let line = format!(
                "Within -> Over: {queued} waiting, {held:.1} of its {part:.1} threads out, {before} rejected before"
            );
            out.log_mode_change(Some(team), &line);
        }
        out.reject(ix, retry_after);
    }

    /// When there is room again for as much: behind what waits and behind those sent away before, spread by chance
    /// so that they do not come together.
    fn retry_after(&mut self, now: Nanos, ix: StatementIndex, team: usize, work: u64) -> Nanos {
        let most = self.budgets.max_retry_after;
        if most == 0 {
            return 0;
        }
        // Without engines nobody can tell.
        let wait = if self.window.threads() > 0.0 {
            self.wait(now, ix).min(most)
        } else {
            most
        };
        let per_s = (self.pace_of(now, team) / 1e9).max(1e-9);
        let row = &mut self.rows[team];
        let its_turn = (work as f64 / 1e9 / per_s * 1e9).min(most as f64) as Nanos;
        row.appointment = row
            .appointment
            .max(now)
            .saturating_add(its_turn)
            .min(now + most);
        let back = wait.max(row.appointment - now).max(SOONEST_BACK);
        self.chances += 1;
        let chance = unit_hash(&(self.seed, self.chances));
        // At the longest the spread goes below it, or all of them would come back at once then.
        let spread = (back as f64 * SPREAD_BACK * chance) as Nanos;
        if back + spread > most {
            most.saturating_sub(spread)
        } else {
            back + spread
        }
    }

    fn may_wait_until(&self, ticket: &Ticket) -> Nanos {
        let (team, workload) = (ticket.team as usize, usize::from(ticket.workload));
        let own = self.budgets.team(team).lane(workload).max_wait;
        let longest = own.unwrap_or(self.budgets.workloads[workload].max_wait);
        let left = ticket.deadline.saturating_sub(ticket.came);
        ticket
            .came
            .saturating_add(longest)
            .min(ticket.deadline - (left / LAST_PART).min(ticket.deadline))
    }

    fn time(&mut self, ix: StatementIndex, until: Nanos) {
        let timer = self.wheel.insert(until, Due::Waited(ix));
        let old = self.tickets[ix.0]
            .as_mut()
            .and_then(|ticket| ticket.timer.replace(timer));
        if let Some(old) = old {
            self.wheel.remove(old);
        }
    }

    // ---- waits ----

    /// Work (ns) a second that a team is served with while it waits.
    fn pace_of(&self, now: Nanos, team: usize) -> f64 {
        let share = self.budgets.team(team).share.max(LEAST_SHARE);
        let budget = self.budgets.team(team).work_cores * 1e9;
        let in_order = (self.usual_pace(now) * share).min(budget);
        match self.ranks.rank(team) {
            // Those within their share are served as fast as engines work.
            Some((WITHIN, _)) => return (self.window.cores() * PROMISE * 1e9).min(budget),
            Some(_) => return in_order,
            None => {}
        }
        // Its own bounds hold it back: how it was served of late.
        self.rows[team].pace.per_s(in_order)
    }

    /// How long (ns) until threads that are out beyond all bounds have come free.
    fn until_room(&self, now: Nanos, workload: usize, most: f64) -> f64 {
        let threads = self.budgets.workloads[workload].threads.max(1.0);
        let over = self.out + threads - most * self.window.threads();
        if over <= 0.0 {
            return 0.0;
        }
        // Before the first are over, what is out will be in the longest usual time.
        let usual = self
            .budgets
            .workloads
            .iter()
            .map(|w| w.usual_work as f64 / 1e9 / w.threads.max(1.0));
        let promised = self.out / usual.fold(1e-3, f64::max);
        over / self.freed.per_s(now).max(promised).max(1e-3) * 1e9
    }

    /// How long a queued statement will wait from now, by what is ahead of it and the pace of its team.
    fn wait(&self, now: Nanos, ix: StatementIndex) -> Nanos {
        let Some(ticket) = &self.tickets[ix.0] else {
            return 0;
        };
        let (team, workload) = (ticket.team as usize, usize::from(ticket.workload));
        if self.window.threads() <= 0.0 {
            return 0;
        }
        let row = &self.rows[team];
        let mut ahead = row.lanes[workload].totals_ahead_of(ticket.number).work as f64;
        let in_order = if self
            .ranks
            .rank(team)
            .is_some_and(|(class, _)| class == PACED)
        {
            // Its workload's own part of the share, however much of others comes.
            let share = self.lane_share(now, team, workload).max(LEAST_SHARE);
            let behind = row.tags[workload].saturating_sub(self.virtual_now) as f64;
            // Those ahead settle a part of what was charged too little before, or too much.
            let count = row.lanes[workload]
                .totals_ahead_of(ticket.number)
                .count
                .min(1_000) as i32;
            let settles = row.debts[workload] * (1.0 - (1.0 - SETTLED_AT_ONCE).powi(count));
            ahead += settles.max(-MOST_BACK * ahead);
            let turn = (ahead / share + behind) / self.usual_pace(now).max(1e-9) * 1e9;
            turn.max(self.until_room(now, workload, FULL))
        } else {
            let due = ticket
                .came
                .saturating_add(self.budgets.workloads[workload].slack);
            for (w, lane) in row.lanes.iter().enumerate().filter(|&(w, _)| w != workload) {
                let earlier = due.saturating_sub(self.budgets.workloads[w].slack);
                ahead += lane.totals_arrived_before(earlier).work as f64;
            }
            let served = ahead / self.pace_of(now, team).max(1.0) * 1e9;
            served.max(self.until_room(now, workload, CALLED_BACK))
        };
        let budget = self.budgets.team(team);
        let by_budget = if budget.work_cores.is_finite() {
            ((ahead / 1e9 - row.bucket.balance()) / budget.work_cores.max(1e-9) * 1e9).max(0.0)
        } else {
            0.0
        };
        (in_order.max(by_budget) * self.record.correction_factor(now)).min(Nanos::MAX as f64 / 4.0)
            as Nanos
    }
}

/// Work in virtual time.
fn span(work: u64, share: f64) -> u64 {
    (work as f64 / share.max(LEAST_SHARE)) as u64
}
