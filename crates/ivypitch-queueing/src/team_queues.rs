//! The queues of all teams: arrival, waiting, release to the scheduler, preemption and rejection.
//!
//! Across teams: teams whose demand is within their share go before all others. Teams over their
//! share are served by start-time fair queueing in virtual time, by share. Virtual time advances
//! with the clock, at the rate at which the engines complete work for the waiting teams, so that
//! waits can be estimated.
//!
//! In a team over its share, each workload has a fraction of the share, by the priority weight of
//! its demand, and virtual starts of its own: a long report does not delay a short lookup. In a
//! team within its share, the workload goes first whose first statement is due first; a statement
//! is due at its arrival plus the slack of its workload.

mod dispatch;
mod rejection;
mod team_ranks;
mod wait_projection;

use ivypitch_types::{Nanos, StatementIndex};

use crate::budgets::{Budgets, WorkBudget};
use crate::lane::Lane;
use crate::team_heap::TeamHeap;
use crate::timing_wheel::{TimerHandle, TimingWheel};
use crate::wait_estimates::{DecayingRate, ServiceRate, WaitEstimate, WaitStatistics};
use crate::window::Window;

/// Virtual time releases statements up to this multiple of the window.
const MAX_PACED_WINDOW_FACTOR: f64 = 1.4;
/// Teams within their share release up to this multiple of the window: they regain lent capacity
/// without waiting for the statements of the teams that borrowed it.
const MAX_WITHIN_SHARE_WINDOW_FACTOR: f64 = 2.0;
/// Time constant of the demand that decides whether a team is within its share, as a share is an
/// average.
const DEMAND_TIME_CONSTANT_S: f64 = 10.0;
/// Fraction of the cores' time that statements can use.
const USABLE_FRACTION: f64 = 0.95;
/// Fraction of a workload's unsettled work that each of its next releases settles: one
/// statement's misprediction does not hold back all behind it.
const SETTLED_FRACTION_PER_RELEASE: f64 = 0.1;
/// Maximum refund of a release, as a fraction of its charge.
const MAX_REFUND_FRACTION: f64 = 0.5;
/// Weight that earlier statements keep in the ratio of measured to estimated work, at each new one.
/// The ratio starts as 1, with the weight of one usual statement.
const WORK_EVIDENCE_DECAY: f64 = 0.95;
/// A statement is admitted if its estimated wait is within this fraction of its maximum wait, so
/// that few admitted statements have to be rejected later.
const ADMISSION_WAIT_FRACTION: f64 = 0.8;
/// The measured service rate of a team is kept for this time after it last had waiting statements.
const SERVICE_RATE_RETENTION: Nanos = 2_000_000_000;
/// Time constant of the rates of ended work and of freed threads.
const COMPLETION_TIME_CONSTANT_S: f64 = 5.0;
/// The queueing mode and a team's rejecting mode, which are logged, end this time after the last
/// statement was queued or rejected.
const MODE_END_DELAY: Nanos = 5_000_000_000;
/// Class of ranks of teams within their share.
const IN_SHARE: u8 = 0;
/// Class of ranks of teams that virtual time paces.
const PACED: u8 = 1;
/// Class of ranks of teams without a share.
const NO_SHARE: u8 = 2;
/// Smallest divisor for shares. Virtual time is work over share: for a share of 1 it advances as
/// fast as work.
const MIN_SHARE: f64 = 1e-6;

/// A statement that arrives at the queues.
#[derive(Clone, Copy, Debug)]
pub struct QueueArrival {
    /// Team index.
    pub team: usize,
    /// Workload index.
    pub workload: usize,
    /// Work over all threads as its client estimates it; 0 without an estimate.
    pub estimated_work: Nanos,
    /// Length of its text.
    pub bytes: usize,
    /// Time by which it must be answered.
    pub deadline: Nanos,
}

/// Receives the decisions of the queues.
pub trait Output {
    /// Releases a statement to the scheduler. `is_within_share` says whether its team's demand is
    /// within its share.
    fn release(&mut self, statement: StatementIndex, is_within_share: bool);
    /// Rejects a statement for good. It never left the queue, so a retry is safe, after
    /// `retry_after` if that is above 0. The index may be reused.
    fn reject(&mut self, statement: StatementIndex, retry_after: Nanos);
    /// Logs that the mode of a team changed, or of all teams together.
    fn log_mode_change(&mut self, team: Option<usize>, line: &str);
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum EntryState {
    /// Has arrived and is not in a lane yet.
    Arriving,
    Queued,
    /// Released while its team was within its share.
    ReleasedWithinShare,
    /// Released while its team was over its share, on capacity that other teams left idle.
    ReleasedOverShare,
    /// Answered, removed or rejected: its entry is dropped.
    Ended,
}

struct QueueEntry {
    team: u32,
    workload: u16,
    state: EntryState,
    /// Sequence number in its lane while it is queued.
    sequence: u64,
    arrived_at: Nanos,
    deadline: Nanos,
    charged_work: u64,
    /// Work as its client estimated it.
    estimated_work: u64,
    bytes: usize,
    timer: Option<TimerHandle>,
    /// Wait that was estimated when it was queued; 0 if it was not queued.
    estimated_wait: Nanos,
    /// `estimated_wait` before the correction by the accuracy of earlier estimates.
    uncorrected_wait: Nanos,
}

#[derive(Clone, Copy)]
enum TimerEvent {
    /// A queued statement has reached its maximum wait.
    MaxWaitReached(StatementIndex),
    /// Virtual time has reached the virtual start of the first team.
    VirtualStartReached,
    /// A team's work budget is positive again.
    BudgetRefilled(u32),
}

/// Sums of measured and of estimated work that decay with each statement, and the usual work.
#[derive(Clone, Copy)]
struct WorkEvidence {
    measured: f64,
    estimated: f64,
    usual: f64,
}

struct TeamState {
    lanes: Vec<Lane>,
    /// Threads of released statements, by workload.
    released_threads_by_workload: Vec<f64>,
    released_threads: f64,
    /// By workload.
    work_evidence: Vec<WorkEvidence>,
    /// Virtual start of each workload's next statement.
    virtual_starts: Vec<u64>,
    /// By workload, nanoseconds of work that were charged too little. The next releases of the
    /// workload settle them.
    unsettled_work: Vec<f64>,
    /// Priority weight of arriving statements, by workload.
    weight_demand: Vec<DecayingRate>,
    /// Charged work of arriving statements.
    work_demand: DecayingRate,
    is_within_share: bool,
    /// Whether the team had released more than its share of the window when the window was full.
    /// It is paced like a team over its share until it has released less than that.
    exceeds_window_share: bool,
    work_budget: WorkBudget,
    refill_timer: Option<TimerHandle>,
    queued_count: usize,
    queued_bytes: usize,
    queued_work: u64,
    /// Releases of the urgent lane since another lane had its turn.
    urgent_releases: u8,
    /// Workload of the lane that preempts the team's others.
    urgent_workload: Option<usize>,
    /// Measured work of the team since the start.
    used_core_seconds: f64,
    /// Latest time at which a rejected statement of the team was asked to return.
    last_retry_at: Nanos,
    /// Rate of work (ns) for the team while it has waiting statements.
    service_rate: ServiceRate,
    service_rate_updated_at: Nanos,
    rejecting_since: Option<Nanos>,
    last_rejected_at: Nanos,
    rejected_count: u64,
}

/// A waiting statement as clients may see it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedStatement {
    /// The statement.
    pub statement: StatementIndex,
    /// Team index.
    pub team: usize,
    /// Workload index.
    pub workload: usize,
    /// Position in the lane of its team and workload; the next to be released has 1.
    pub position: u64,
    /// Estimate of its remaining wait.
    pub wait: WaitEstimate,
    /// Time since its arrival.
    pub age: Nanos,
}

/// The queues of all teams.
pub struct TeamQueues {
    budgets: Budgets,
    /// By statement index; `None` once the statement has ended.
    entries: Vec<Option<QueueEntry>>,
    /// By team index; at least as many as the deployment has tenants.
    teams: Vec<TeamState>,
    /// Teams that have waiting statements, by rank. A team that its budget or its own limits on
    /// released threads hold back is ranked again when the budget is refilled or one of its
    /// statements ends.
    ranked_teams: TeamHeap,
    /// Teams with waiting statements; the first has the most waiting work for its share.
    fullest_teams: TeamHeap,
    timers: TimingWheel<TimerEvent>,
    window: Window,
    released_threads: f64,
    /// The part of the released threads that was released over the teams' shares.
    over_share_threads: f64,
    queued_count: usize,
    queued_threads: f64,
    queued_bytes: usize,
    virtual_time: u64,
    total_share: f64,
    /// Rate of work (ns) for paced teams while there are any.
    service_rate: ServiceRate,
    /// Work (ns) that ended for paced teams since virtual time advanced.
    ended_paced_work: f64,
    /// Rate of work (ns) for all other teams.
    other_work_rate: DecayingRate,
    freed_threads: DecayingRate,
    virtual_time_updated_at: Nanos,
    /// Whether teams were paced after the last dispatch.
    is_contended: bool,
    /// Whether the last dispatch ended for lack of capacity; virtual time stands still then.
    is_blocked: bool,
    /// Sum of the shares of paced teams.
    paced_share: f64,
    virtual_start_timer: Option<TimerHandle>,
    wait_statistics: WaitStatistics,
    seed: u64,
    random_draws: u64,
    /// Start of the queueing mode; `None` in direct mode.
    queueing_since: Option<Nanos>,
    last_queued_at: Nanos,
}

impl TeamQueues {
    /// Queues without statements and without capacity. `seed` determines the jitter of retries.
    pub fn new(budgets: Budgets, seed: u64, now: Nanos) -> TeamQueues {
        let max_statement_threads = budgets
            .workloads
            .iter()
            .map(|workload| workload.threads)
            .fold(1.0, f64::max);
        let mut queues = TeamQueues {
            entries: Vec::new(),
            teams: Vec::new(),
            ranked_teams: TeamHeap::default(),
            fullest_teams: TeamHeap::default(),
            timers: TimingWheel::new(now),
            window: Window::new(budgets.window_policy, max_statement_threads),
            released_threads: 0.0,
            over_share_threads: 0.0,
            queued_count: 0,
            queued_threads: 0.0,
            queued_bytes: 0,
            virtual_time: 0,
            total_share: 0.0,
            service_rate: ServiceRate::default(),
            ended_paced_work: 0.0,
            other_work_rate: DecayingRate::new(COMPLETION_TIME_CONSTANT_S),
            freed_threads: DecayingRate::new(COMPLETION_TIME_CONSTANT_S),
            virtual_time_updated_at: now,
            is_contended: false,
            is_blocked: false,
            paced_share: 0.0,
            virtual_start_timer: None,
            wait_statistics: WaitStatistics::default(),
            seed,
            random_draws: 0,
            queueing_since: None,
            last_queued_at: now,
            budgets,
        };
        queues.ensure_teams(queues.budgets.teams.len(), now);
        queues
    }

    // ---- events ----

    /// Sets this gateway's share of the cores of ready engines.
    pub fn set_capacity(&mut self, now: Nanos, cores: f64, output: &mut dyn Output) {
        self.window.set_cores(cores);
        self.dispatch(now, output);
    }

    /// A statement arrived: it is released, queued or rejected.
    pub fn on_statement_arrived(
        &mut self,
        now: Nanos,
        statement: StatementIndex,
        arrival: QueueArrival,
        output: &mut dyn Output,
    ) {
        self.ensure_teams(arrival.team + 1, now);
        let workload = arrival.workload.min(self.budgets.workloads.len() - 1);
        let charged_work = self.charged_work(arrival.team, workload, arrival.estimated_work);
        let entry = QueueEntry {
            team: arrival.team as u32,
            workload: workload as u16,
            state: EntryState::Arriving,
            sequence: 0,
            arrived_at: now,
            deadline: arrival.deadline,
            charged_work,
            estimated_work: arrival.estimated_work,
            bytes: arrival.bytes,
            timer: None,
            estimated_wait: 0,
            uncorrected_wait: 0,
        };
        if self.entries.len() <= statement.0 {
            self.entries.resize_with(statement.0 + 1, || None);
        }
        self.entries[statement.0] = Some(entry);
        let team_state = &mut self.teams[arrival.team];
        team_state.work_demand.add(now, charged_work as f64);
        team_state.weight_demand[workload]
            .add(now, self.budgets.workloads[workload].priority_weight);
        self.update_is_within_share(now, arrival.team);
        self.transition(now, statement, EntryState::Queued);
        self.dispatch(now, output);
        if self.is_queued(statement) {
            self.keep_or_reject(now, statement, output);
        }
    }

    /// Keeps a statement that was not released at once if the limits and its maximum wait allow
    /// it, else rejects it.
    fn keep_or_reject(&mut self, now: Nanos, statement: StatementIndex, output: &mut dyn Output) {
        if !self.is_within_limits(statement) && !self.preempt_for(now, statement, output) {
            return self.reject(now, statement, output);
        }
        let Some(entry) = &self.entries[statement.0] else {
            return;
        };
        let (team, workload) = (entry.team as usize, usize::from(entry.workload));
        let wait_deadline = self.wait_deadline(entry);
        let mut wait = self.estimate_wait(now, statement);
        let admission_deadline =
            now + ((wait_deadline.saturating_sub(now)) as f64 * ADMISSION_WAIT_FRACTION) as Nanos;
        if now.saturating_add(wait) > admission_deadline && self.can_preempt(workload) {
            // Its lane goes ahead of less important lanes of the team, which wait longer.
            let team_state = &mut self.teams[team];
            if team_state
                .urgent_workload
                .is_none_or(|urgent| team_state.lanes[urgent].is_empty())
            {
                team_state.urgent_workload = Some(workload);
            }
            wait = self.estimate_wait(now, statement);
        }
        if now.saturating_add(wait) > admission_deadline {
            return self.reject(now, statement, output);
        }
        let timer = self
            .timers
            .insert(wait_deadline, TimerEvent::MaxWaitReached(statement));
        if let Some(entry) = &mut self.entries[statement.0] {
            entry.estimated_wait = wait.max(1);
            entry.uncorrected_wait =
                (wait as f64 / self.wait_statistics.correction_factor(now)) as Nanos;
            entry.timer = Some(timer);
        }
        self.last_queued_at = now;
        if self.queueing_since.is_none() {
            self.queueing_since = Some(now);
            let line = format!(
                "Direct -> Queueing: {:.1} of {:.1} threads out, {} waiting",
                self.released_threads,
                self.window.threads(),
                self.queued_count
            );
            output.log_mode_change(None, &line);
        }
    }

    /// Removes a statement whose client disconnected or killed it. Returns false if it is not in
    /// a queue any more.
    pub fn remove(
        &mut self,
        now: Nanos,
        statement: StatementIndex,
        output: &mut dyn Output,
    ) -> bool {
        if !self.is_queued(statement) {
            return false;
        }
        self.transition(now, statement, EntryState::Ended);
        self.dispatch(now, output);
        true
    }

    /// A released statement has been answered and none of its attempts runs any more.
    /// `measured_work` is its work as the answers report it, else threads times time on engines;
    /// `None` if it never ran. `run_time` is that of its successful attempt.
    pub fn on_statement_ended(
        &mut self,
        now: Nanos,
        statement: StatementIndex,
        measured_work: Option<Nanos>,
        run_time: Option<Nanos>,
        output: &mut dyn Output,
    ) {
        let Some(entry) = self.entries.get(statement.0).and_then(Option::as_ref) else {
            return;
        };
        if !matches!(
            entry.state,
            EntryState::ReleasedWithinShare | EntryState::ReleasedOverShare
        ) {
            return;
        }
        let (team, workload, charged_work) = (
            entry.team as usize,
            usize::from(entry.workload),
            entry.charged_work,
        );
        let (estimated_work, was_over_share) = (
            entry.estimated_work,
            entry.state == EntryState::ReleasedOverShare,
        );
        let threads = self.budgets.workloads[workload].threads.max(1.0);
        self.transition(now, statement, EntryState::Ended);
        self.settle(
            now,
            (team, workload),
            was_over_share,
            charged_work,
            measured_work.unwrap_or(0),
        );
        if let Some(measured_work) = measured_work {
            self.update_work_evidence(team, workload, estimated_work, measured_work);
            if let Some(run_time) = run_time {
                self.window.on_attempt_succeeded(
                    now,
                    run_time,
                    measured_work,
                    (measured_work as f64 / threads) as Nanos,
                );
            }
        }
        self.update_rank(team);
        self.dispatch(now, output);
    }

    /// Replaces the budgets. Waiting statements stay; limits that they exceed now only affect
    /// arriving ones.
    pub fn reload(&mut self, now: Nanos, budgets: Budgets, output: &mut dyn Output) {
        let max_statement_threads = budgets
            .workloads
            .iter()
            .map(|workload| workload.threads)
            .fold(1.0, f64::max);
        self.window
            .set_policy(budgets.window_policy, max_statement_threads);
        self.budgets = budgets;
        self.ensure_teams(self.budgets.teams.len(), now);
        for team in 0..self.teams.len() {
            let budget = self.budgets.team(team);
            self.teams[team].work_budget.refill(budget, now);
            let team_state = &mut self.teams[team];
            if let Some(timer) = team_state.refill_timer.take() {
                self.timers.remove(timer);
            }
            self.update_rank(team);
        }
        let is_paced = |&team: &usize| {
            self.ranked_teams
                .rank(team)
                .is_some_and(|(class, _)| class == PACED)
        };
        let paced_teams = (0..self.teams.len()).filter(is_paced);
        self.paced_share = paced_teams.map(|team| self.budgets.team(team).share).sum();
        self.update_total_share();
        self.dispatch(now, output);
    }

    /// The gateway shuts down: rejects the statements that cannot be released in time to be
    /// answered by `answer_by`.
    pub fn on_shutdown(&mut self, now: Nanos, answer_by: Nanos, output: &mut dyn Output) {
        let queued: Vec<StatementIndex> = (0..self.entries.len())
            .map(StatementIndex)
            .filter(|&statement| self.is_queued(statement))
            .collect();
        for statement in queued {
            let Some(entry) = &mut self.entries[statement.0] else {
                continue;
            };
            entry.deadline = entry.deadline.min(answer_by);
            let wait_deadline = self.entries[statement.0]
                .as_ref()
                .map_or(0, |entry| self.wait_deadline(entry));
            if now.saturating_add(self.estimate_wait(now, statement)) > wait_deadline {
                self.reject(now, statement, output);
            } else {
                self.set_wait_timer(statement, wait_deadline);
            }
        }
        self.dispatch(now, output);
    }

    /// Handles the timers that have expired.
    pub fn on_timer(&mut self, now: Nanos, output: &mut dyn Output) {
        while let Some(event) = self.timers.pop_expired(now) {
            match event {
                TimerEvent::MaxWaitReached(statement) => {
                    if let Some(entry) = &mut self.entries[statement.0] {
                        entry.timer = None;
                        self.reject(now, statement, output);
                    }
                }
                TimerEvent::VirtualStartReached => self.virtual_start_timer = None,
                TimerEvent::BudgetRefilled(team) => {
                    self.teams[team as usize].refill_timer = None;
                    self.update_rank(team as usize);
                }
            }
        }
        self.dispatch(now, output);
    }

    /// When [`TeamQueues::on_timer`] is to be called at the latest.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.timers.next_timer()
    }

    // ---- state ----

    /// Whether a statement waits in a queue.
    pub fn is_queued(&self, statement: StatementIndex) -> bool {
        self.entries
            .get(statement.0)
            .and_then(Option::as_ref)
            .is_some_and(|entry| entry.state == EntryState::Queued)
    }

    /// Number of waiting statements.
    pub fn queued_count(&self) -> usize {
        self.queued_count
    }

    /// Threads of the statements that are released and have not ended.
    pub fn released_threads(&self) -> f64 {
        self.released_threads
    }

    /// Threads of the waiting statements.
    pub fn queued_threads(&self) -> f64 {
        self.queued_threads
    }

    /// Threads that may be released at once.
    pub fn window_threads(&self) -> f64 {
        self.window.threads()
    }

    /// Waits and the accuracy of their estimates.
    pub fn wait_statistics(&self) -> &WaitStatistics {
        &self.wait_statistics
    }

    /// Core-seconds that a team used since the start.
    pub fn used_core_seconds(&self, team: usize) -> f64 {
        self.teams
            .get(team)
            .map_or(0.0, |team_state| team_state.used_core_seconds)
    }

    /// Bytes of memory for the queues, without the text of the statements.
    pub fn memory_bytes(&self) -> usize {
        let lanes: usize = self
            .teams
            .iter()
            .flat_map(|team_state| &team_state.lanes)
            .map(Lane::memory_bytes)
            .sum();
        lanes + self.entries.capacity() * size_of::<Option<QueueEntry>>()
    }

    /// One statement as clients may see it; `None` if it does not wait.
    pub fn queued_statement(&self, now: Nanos, index: StatementIndex) -> Option<QueuedStatement> {
        let entry = self
            .entries
            .get(index.0)?
            .as_ref()
            .filter(|entry| entry.state == EntryState::Queued)?;
        let (team, workload) = (entry.team as usize, usize::from(entry.workload));
        Some(QueuedStatement {
            statement: index,
            team,
            workload,
            position: self.teams[team].lanes[workload]
                .totals_ahead_of(entry.sequence)
                .count
                + 1,
            wait: self
                .wait_statistics
                .estimate_range(self.estimate_wait(now, index)),
            age: now.saturating_sub(entry.arrived_at),
        })
    }

    /// The waiting statements, lane by lane, at most `max_count`.
    pub fn queued_statements(&self, now: Nanos, max_count: usize) -> Vec<QueuedStatement> {
        let lanes = self.teams.iter().flat_map(|team_state| &team_state.lanes);
        let waiting = lanes.flat_map(|lane| lane.iter().map(|(statement, _)| statement));
        waiting
            .take(max_count)
            .filter_map(|statement| self.queued_statement(now, statement))
            .collect()
    }

    // ---- order ----

    /// Changes the state of a statement; no other function does.
    fn transition(&mut self, now: Nanos, statement: StatementIndex, to: EntryState) {
        let Some(entry) = &mut self.entries[statement.0] else {
            return;
        };
        let from = entry.state;
        entry.state = to;
        let (team, workload) = (entry.team as usize, usize::from(entry.workload));
        let (work, bytes, sequence) = (entry.charged_work, entry.bytes, entry.sequence);
        let threads = self.budgets.workloads[workload].threads.max(1.0);
        let timer = if to == EntryState::Queued {
            None
        } else {
            entry.timer.take()
        };
        if let Some(timer) = timer {
            self.timers.remove(timer);
        }
        let team_state = &mut self.teams[team];
        match from {
            EntryState::Queued => {
                team_state.lanes[workload].remove(sequence);
                team_state.queued_count -= 1;
                team_state.queued_bytes -= bytes;
                team_state.queued_work -= work;
                self.queued_count -= 1;
                self.queued_threads -= threads;
                self.queued_bytes -= bytes;
            }
            EntryState::ReleasedWithinShare | EntryState::ReleasedOverShare => {
                team_state.released_threads -= threads;
                team_state.released_threads_by_workload[workload] -= threads;
                self.released_threads -= threads;
                self.freed_threads.add(now, threads);
                self.over_share_threads -= if from == EntryState::ReleasedOverShare {
                    threads
                } else {
                    0.0
                };
            }
            EntryState::Arriving | EntryState::Ended => {}
        }
        match to {
            EntryState::Queued => {
                if team_state.lanes[workload].is_empty() {
                    // A workload accumulates no unused share while none of its statements waits.
                    team_state.virtual_starts[workload] =
                        team_state.virtual_starts[workload].max(self.virtual_time);
                }
                let entries = &mut self.entries;
                let sequence =
                    team_state.lanes[workload].push(statement, now, work, |moved, sequence| {
                        if let Some(entry) = &mut entries[moved.0] {
                            entry.sequence = sequence;
                        }
                    });
                if let Some(entry) = &mut self.entries[statement.0] {
                    entry.sequence = sequence;
                }
                if team_state.queued_count == 0 {
                    team_state.urgent_releases = 0;
                    if now > team_state.service_rate_updated_at + SERVICE_RATE_RETENTION {
                        team_state.service_rate = ServiceRate::default();
                    }
                    team_state.service_rate_updated_at = now;
                }
                team_state.queued_count += 1;
                team_state.queued_bytes += bytes;
                team_state.queued_work += work;
                self.queued_count += 1;
                self.queued_threads += threads;
                self.queued_bytes += bytes;
            }
            EntryState::ReleasedWithinShare | EntryState::ReleasedOverShare => {
                team_state.released_threads += threads;
                team_state.released_threads_by_workload[workload] += threads;
                self.released_threads += threads;
                self.over_share_threads += if to == EntryState::ReleasedOverShare {
                    threads
                } else {
                    0.0
                };
            }
            EntryState::Ended => self.entries[statement.0] = None,
            EntryState::Arriving => {}
        }
        self.update_rank(team);
    }

    // ---- budgets ----

    fn ensure_teams(&mut self, count: usize, now: Nanos) {
        let workloads = &self.budgets.workloads;
        while self.teams.len() < count {
            let budget = self.budgets.team(self.teams.len());
            self.teams.push(TeamState {
                lanes: workloads.iter().map(|_| Lane::default()).collect(),
                released_threads_by_workload: vec![0.0; workloads.len()],
                released_threads: 0.0,
                work_evidence: workloads
                    .iter()
                    .map(|workload| {
                        let usual = workload.usual_work.max(1) as f64;
                        WorkEvidence {
                            measured: usual,
                            estimated: usual,
                            usual,
                        }
                    })
                    .collect(),
                virtual_starts: vec![self.virtual_time; workloads.len()],
                unsettled_work: vec![0.0; workloads.len()],
                weight_demand: vec![DecayingRate::new(DEMAND_TIME_CONSTANT_S); workloads.len()],
                work_demand: DecayingRate::new(DEMAND_TIME_CONSTANT_S),
                is_within_share: true,
                exceeds_window_share: false,
                work_budget: WorkBudget::new(budget, now),
                refill_timer: None,
                queued_count: 0,
                queued_bytes: 0,
                queued_work: 0,
                urgent_releases: 0,
                urgent_workload: None,
                used_core_seconds: 0.0,
                last_retry_at: 0,
                service_rate: ServiceRate::default(),
                service_rate_updated_at: now,
                rejecting_since: None,
                last_rejected_at: 0,
                rejected_count: 0,
            });
        }
        self.update_total_share();
    }

    fn update_total_share(&mut self) {
        self.total_share = (0..self.teams.len())
            .map(|team| self.budgets.team(team).share)
            .sum();
    }

    /// Work that a statement is charged: its estimate times the ratio of measured to estimated
    /// work of the team's earlier statements of that workload, or without an estimate the usual
    /// work. A team whose estimates are too low gains only until its first few statements have
    /// ended.
    fn charged_work(&self, team: usize, workload: usize, estimated_work: Nanos) -> u64 {
        let evidence = &self.teams[team].work_evidence[workload];
        let work = if estimated_work == 0 {
            evidence.usual
        } else {
            estimated_work as f64 * evidence.measured / evidence.estimated.max(1.0)
        };
        (work as u64).max(1)
    }

    fn update_work_evidence(
        &mut self,
        team: usize,
        workload: usize,
        estimated_work: u64,
        measured_work: u64,
    ) {
        let evidence = &mut self.teams[team].work_evidence[workload];
        evidence.usual += (1.0 - WORK_EVIDENCE_DECAY) * (measured_work as f64 - evidence.usual);
        if estimated_work > 0 {
            evidence.measured = evidence.measured * WORK_EVIDENCE_DECAY + measured_work as f64;
            evidence.estimated = evidence.estimated * WORK_EVIDENCE_DECAY + estimated_work as f64;
        }
    }

    /// Replaces charged by measured work: in the work budget at once, in virtual time with the
    /// team's next releases.
    fn settle(
        &mut self,
        now: Nanos,
        (team, workload): (usize, usize),
        was_over_share: bool,
        charged_work: u64,
        measured_work: u64,
    ) {
        if was_over_share
            || !self.teams[team].is_within_share
            || self.teams[team].exceeds_window_share
        {
            self.ended_paced_work += measured_work as f64;
        } else {
            self.other_work_rate.add(now, measured_work as f64);
        }
        let team_state = &mut self.teams[team];
        team_state.used_core_seconds += measured_work as f64 / 1e9;
        // A team within its share keeps no unsettled work, neither as credit nor as debt.
        let unsettled =
            team_state.unsettled_work[workload] + measured_work as f64 - charged_work as f64;
        team_state.unsettled_work[workload] = if team_state.is_within_share {
            0.0
        } else {
            unsettled
        };
        team_state.work_budget.refill(self.budgets.team(team), now);
        team_state
            .work_budget
            .charge(measured_work as f64 / 1e9 - charged_work as f64 / 1e9);
        if let Some(timer) = team_state.refill_timer.take() {
            // The time at which the balance becomes positive has changed.
            self.timers.remove(timer);
        }
    }
}

/// Virtual time that this work takes a team or workload with this share.
fn virtual_span(work: u64, share: f64) -> u64 {
    (work as f64 / share.max(MIN_SHARE)) as u64
}
