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

use ivypitch_types::hash_to_unit_interval;
use ivypitch_types::{Nanos, StatementIndex};

use crate::budgets::{Budgets, WorkBudget};
use crate::lane::Lane;
use crate::team_heap::TeamHeap;
use crate::timing_wheel::{TimerHandle, TimingWheel};
use crate::wait_estimates::{DecayingRate, ServiceRate, WaitEstimate, WaitStatistics};
use crate::window::Window;

/// Under contention, the first statement in the order is released at once and uncharged up to
/// this fraction of the window: engines must not idle only to keep to the order.
const UNCHARGED_WINDOW_FRACTION: f64 = 0.6;
/// Virtual time releases statements up to this multiple of the window.
const MAX_PACED_WINDOW_FACTOR: f64 = 1.4;
/// Teams within their share release up to this multiple of the window: they regain lent capacity
/// without waiting for the statements of the teams that borrowed it.
const MAX_WITHIN_SHARE_WINDOW_FACTOR: f64 = 2.0;
/// A team within its share may release up to this multiple of its share of the window.
const MAX_TEAM_WINDOW_SHARE_FACTOR: f64 = 1.5;
/// Statements of the widest workload that a team within its share may release in any case.
const MIN_TEAM_WIDEST_STATEMENTS: f64 = 3.0;
/// Time constant of the demand that decides whether a team is within its share, as a share is an
/// average.
const DEMAND_TIME_CONSTANT_S: f64 = 10.0;
/// Allowance above the share, in the team's costliest usual statements: a single report must not
/// put the team over its share.
const DEMAND_ALLOWANCE_STATEMENTS: f64 = 6.0;
/// A team is within its share again when its demand falls below this fraction of the limit.
const RETURN_DEMAND_FRACTION: f64 = 0.9;
/// Relative change of the rate of virtual time for each relative deviation of the released
/// threads from the window.
const WINDOW_DEVIATION_GAIN: f64 = 0.5;
/// Fraction of the cores' time that statements can use.
const USABLE_FRACTION: f64 = 0.95;
/// Minimum rate of work for paced teams, as a fraction of the cores' time.
const MIN_PACED_CORE_FRACTION: f64 = 0.05;
/// Fraction of a workload's unsettled work that each of its next releases settles: one
/// statement's misprediction does not hold back all behind it.
const SETTLED_FRACTION_PER_RELEASE: f64 = 0.1;
/// Maximum refund of a release, as a fraction of its charge.
const MAX_REFUND_FRACTION: f64 = 0.5;
/// After this many releases in a row of a preempting lane, another lane of its team goes first
/// once.
const MAX_URGENT_RELEASES_IN_ROW: u8 = 3;
/// Minimum fraction of its team's share that a preempting lane has while the team is paced.
const MIN_URGENT_SHARE_FRACTION: f64 = 0.5;
/// Maximum number of waiting statements that one arrival preempts; their own arrivals amortize
/// the cost.
const MAX_PREEMPTIONS_PER_ARRIVAL: usize = 8;
/// Weight that earlier statements keep in the ratio of measured to estimated work, at each new one.
/// The ratio starts as 1, with the weight of one usual statement.
const WORK_EVIDENCE_DECAY: f64 = 0.95;
const MIN_RETRY_AFTER: Nanos = 20_000_000;
/// Random addition to a retry-after, as a fraction of it.
const RETRY_AFTER_JITTER_FRACTION: f64 = 0.5;
/// A statement is admitted if its estimated wait is within this fraction of its maximum wait, so
/// that few admitted statements have to be rejected later.
const ADMISSION_WAIT_FRACTION: f64 = 0.8;
/// A waiting statement is rejected when less than this part (1 / divisor) of the time from its
/// arrival to its deadline is left: once released, it could not meet the deadline.
const RUN_TIME_RESERVE_DIVISOR: u64 = 8;
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

    /// Releases the statements that virtual time, the window and the budgets allow.
    fn dispatch(&mut self, now: Nanos, output: &mut dyn Output) {
        self.advance_virtual_time(now);
        self.is_blocked = false;
        while let Some(team) = self.ranked_teams.first() {
            let budget = self.budgets.team(team);
            let team_state = &mut self.teams[team];
            team_state.work_budget.refill(budget, now);
            let time_until_refilled = team_state.work_budget.time_until_positive(budget);
            if time_until_refilled > 0 {
                if team_state.refill_timer.is_none() {
                    team_state.refill_timer = Some(self.timers.insert(
                        now + time_until_refilled,
                        TimerEvent::BudgetRefilled(team as u32),
                    ));
                }
                self.remove_rank(team);
                continue;
            }
            let class = self
                .ranked_teams
                .rank(team)
                .map_or(PACED, |(class, _)| class);
            let Some(workload) = self.next_workload(team, class == PACED) else {
                // The team's own limits on released threads hold it back: it is ranked again when
                // one of its statements ends.
                self.remove_rank(team);
                continue;
            };
            let threads = self.budgets.workloads[workload].threads.max(1.0);
            let (released_after, window) = (
                self.released_threads + threads,
                self.window.threads() + 1e-9,
            );
            let mut is_charged = false;
            if class == IN_SHARE {
                // The team's share of the window is guaranteed, whatever other teams have
                // borrowed; it may release more while there is capacity.
                let team_released_after = self.teams[team].released_threads + threads;
                let window_share = self.window_share(team);
                let max_team_threads = (MAX_TEAM_WINDOW_SHARE_FACTOR * window_share)
                    .max(MIN_TEAM_WIDEST_STATEMENTS * self.window.max_statement_threads());
                let is_guaranteed = team_released_after <= window_share;
                let has_capacity = released_after - self.over_share_threads <= window
                    && team_released_after <= max_team_threads;
                if !is_guaranteed && !has_capacity {
                    // By its released threads the team is over its share now: it is paced.
                    self.teams[team].exceeds_window_share = true;
                    self.set_class(team, PACED);
                    continue;
                }
                if released_after > MAX_WITHIN_SHARE_WINDOW_FACTOR * window {
                    self.is_blocked = true;
                    break;
                }
            } else if released_after
                > if self.is_contended {
                    UNCHARGED_WINDOW_FRACTION
                } else {
                    1.0
                } * window
            {
                // Without contention only the window counts.
                if released_after > window {
                    self.window.on_full();
                }
                if released_after > MAX_PACED_WINDOW_FACTOR * window
                    || class == NO_SHARE && released_after > window
                {
                    self.is_blocked = true;
                    break;
                }
                if class == PACED && self.teams[team].virtual_starts[workload] > self.virtual_time {
                    self.set_virtual_start_timer(now, self.teams[team].virtual_starts[workload]);
                    break;
                }
                is_charged = true;
            }
            let Some((statement, _, _)) = self.teams[team].lanes[workload].front() else {
                break;
            };
            self.release(now, statement, team, workload, is_charged, output);
        }
        self.is_contended = self.paced_share > 0.0;
        if self.queued_count == 0
            && self.queueing_since.is_some()
            && now >= self.last_queued_at + MODE_END_DELAY
        {
            let since = self.queueing_since.take().unwrap_or(now);
            let line = format!(
                "Queueing -> Direct: after {:.1} s",
                (now - since) as f64 / 1e9
            );
            output.log_mode_change(None, &line);
        }
    }

    /// Virtual time (ns) per second: the work rate for paced teams over the sum of their shares,
    /// corrected so that the released threads approach the window.
    fn virtual_time_rate(&self, now: Nanos) -> f64 {
        let window = self.window.threads().max(1e-9);
        let deviation = ((window - self.released_threads) / window).clamp(-1.0, 1.0);
        self.uncorrected_virtual_time_rate(now) * (1.0 + WINDOW_DEVIATION_GAIN * deviation)
    }

    /// Virtual time (ns) per second without the correction by the window, for estimates of waits.
    fn uncorrected_virtual_time_rate(&self, now: Nanos) -> f64 {
        self.service_rate.per_s(self.expected_paced_work_rate(now))
            / self.paced_share.max(MIN_SHARE)
    }

    /// Work (ns) per second that the cores can do for paced teams: what the other teams leave.
    fn expected_paced_work_rate(&self, now: Nanos) -> f64 {
        let cores = self.window.cores() * 1e9;
        (cores * USABLE_FRACTION - self.other_work_rate.per_s(now))
            .max(cores * MIN_PACED_CORE_FRACTION)
    }

    fn advance_virtual_time(&mut self, now: Nanos) {
        let elapsed = now.saturating_sub(self.virtual_time_updated_at);
        self.virtual_time_updated_at = self.virtual_time_updated_at.max(now);
        let ended_work = std::mem::take(&mut self.ended_paced_work);
        if !self.is_contended {
            return;
        }
        self.service_rate.record(ended_work, elapsed);
        if !self.is_blocked {
            let advance = self.virtual_time_rate(now) * elapsed as f64 / 1e9;
            self.virtual_time = self.virtual_time.saturating_add(advance as u64);
        }
    }

    fn set_virtual_start_timer(&mut self, now: Nanos, virtual_start: u64) {
        let virtual_time_left = virtual_start.saturating_sub(self.virtual_time) as f64;
        let time_left =
            (virtual_time_left / self.virtual_time_rate(now).max(1.0) * 1e9).min(1e15) as Nanos;
        if let Some(old_timer) = self.virtual_start_timer.replace(
            self.timers
                .insert(now + time_left, TimerEvent::VirtualStartReached),
        ) {
            self.timers.remove(old_timer);
        }
    }

    fn release(
        &mut self,
        now: Nanos,
        statement: StatementIndex,
        team: usize,
        workload: usize,
        is_charged: bool,
        output: &mut dyn Output,
    ) {
        let is_within_share = self
            .ranked_teams
            .rank(team)
            .is_some_and(|(class, _)| class == IN_SHARE);
        let Some(entry) = &self.entries[statement.0] else {
            return;
        };
        let (work, estimated_wait, arrived_at) =
            (entry.charged_work, entry.estimated_wait, entry.arrived_at);
        if estimated_wait > 0 {
            let uncorrected_wait = entry.uncorrected_wait;
            self.wait_statistics.record_wait(
                now,
                estimated_wait,
                uncorrected_wait,
                now.saturating_sub(arrived_at),
            );
        }
        let share = self.lane_share(now, team, workload);
        let team_state = &mut self.teams[team];
        if is_charged {
            let settled = (team_state.unsettled_work[workload] * SETTLED_FRACTION_PER_RELEASE)
                .max(-MAX_REFUND_FRACTION * work as f64);
            team_state.unsettled_work[workload] -= settled;
            let advance = virtual_span((work as f64 + settled) as u64, share);
            team_state.virtual_starts[workload] =
                team_state.virtual_starts[workload].saturating_add(advance);
        }
        team_state.work_budget.charge(work as f64 / 1e9);
        if estimated_wait > 0 {
            team_state.service_rate.record(
                work as f64,
                now.saturating_sub(team_state.service_rate_updated_at),
            );
            team_state.service_rate_updated_at = now;
        }
        match team_state.urgent_workload {
            Some(urgent) if urgent == workload => team_state.urgent_releases += 1,
            _ => team_state.urgent_releases = 0,
        }
        self.transition(
            now,
            statement,
            if is_within_share {
                EntryState::ReleasedWithinShare
            } else {
                EntryState::ReleasedOverShare
            },
        );
        output.release(statement, is_within_share);
    }

    /// The workload of a team whose statement goes next; `None` if the team's limits on released
    /// threads hold back all of them.
    fn next_workload(&self, team: usize, is_paced: bool) -> Option<usize> {
        let (team_state, budget) = (&self.teams[team], self.budgets.team(team));
        let may_release = |workload: usize| {
            let threads = self.budgets.workloads[workload].threads.max(1.0);
            // A statement may always go when none is released: a limit below its threads would
            // hold it back forever.
            let is_within = |released: f64, max: f64| {
                max > 0.0 && (released <= 0.0 || released + threads <= max)
            };
            is_within(team_state.released_threads, budget.max_released_threads)
                && is_within(
                    team_state.released_threads_by_workload[workload],
                    budget.max_released_threads_in(workload),
                )
        };
        let candidates = (0..team_state.lanes.len())
            .filter(|&workload| !team_state.lanes[workload].is_empty() && may_release(workload));
        let due_at = |workload: usize| {
            let arrived_at = team_state.lanes[workload]
                .front()
                .map_or(Nanos::MAX, |(_, _, arrived_at)| arrived_at);
            arrived_at.saturating_add(self.budgets.workloads[workload].slack)
        };
        if is_paced {
            return candidates
                .min_by_key(|&workload| (team_state.virtual_starts[workload], due_at(workload)));
        }
        let urgent = team_state
            .urgent_workload
            .filter(|&workload| !team_state.lanes[workload].is_empty() && may_release(workload));
        match urgent {
            Some(urgent) if team_state.urgent_releases < MAX_URGENT_RELEASES_IN_ROW => Some(urgent),
            Some(urgent) => candidates
                .clone()
                .filter(|&workload| workload != urgent)
                .min_by_key(|&workload| due_at(workload))
                .or(Some(urgent)),
            None => candidates.min_by_key(|&workload| due_at(workload)),
        }
    }

    /// A workload's fraction of its team's share: by the priority weight of its demand, among
    /// itself and the workloads that have waiting statements or a virtual start in the future. An
    /// urgent workload has at least half of the share; the others divide the rest.
    fn lane_share(&self, now: Nanos, team: usize, workload: usize) -> f64 {
        let (team_state, share) = (&self.teams[team], self.budgets.team(team).share);
        let weight_demand =
            |other: usize| team_state.weight_demand[other].per_s(now).max(MIN_SHARE);
        // Until virtual time reaches the virtual start of an empty lane, its last release still
        // uses a part of the share.
        let is_active = |other: usize| {
            !team_state.lanes[other].is_empty()
                || team_state.virtual_starts[other] > self.virtual_time
        };
        let counts = |other: &usize| *other == workload || is_active(*other);
        let total: f64 = (0..team_state.lanes.len())
            .filter(counts)
            .map(weight_demand)
            .sum();
        let fraction = weight_demand(workload) / total;
        let Some(urgent) = team_state.urgent_workload.filter(counts) else {
            return share * fraction;
        };
        let urgent_demand_fraction = weight_demand(urgent) / total;
        let urgent_fraction = urgent_demand_fraction.max(MIN_URGENT_SHARE_FRACTION);
        share
            * if urgent == workload {
                urgent_fraction
            } else {
                fraction * (1.0 - urgent_fraction) / (1.0 - urgent_demand_fraction).max(1e-9)
            }
    }

    /// Virtual start of the team's next statement.
    fn next_virtual_start(&self, team: usize) -> u64 {
        let team_state = &self.teams[team];
        (0..team_state.lanes.len())
            .filter(|&workload| !team_state.lanes[workload].is_empty())
            .map(|workload| team_state.virtual_starts[workload])
            .min()
            .unwrap_or(0)
    }

    /// Threads of the window that a team's share entitles it to.
    fn window_share(&self, team: usize) -> f64 {
        let share = self.budgets.team(team).share;
        if share <= 0.0 {
            0.0
        } else {
            self.window.threads() * share / self.total_share
        }
    }

    /// Ranks a team by its waiting statements; removes it from the ranking if it has none.
    fn update_rank(&mut self, team: usize) {
        let team_state = &mut self.teams[team];
        let share = self.budgets.team(team).share;
        if team_state.queued_count == 0 {
            team_state.urgent_workload = None;
            team_state.exceeds_window_share = false;
            self.fullest_teams.remove(team);
            return self.remove_rank(team);
        }
        let fullness = virtual_span(team_state.queued_work, share);
        self.fullest_teams.set(team, (0, u64::MAX - fullness));
        if team_state.refill_timer.is_none() {
            let class = if share <= 0.0 {
                NO_SHARE
            } else if self.teams[team].is_within_share && !self.still_exceeds_window_share(team) {
                IN_SHARE
            } else {
                PACED
            };
            self.set_class(team, class);
        }
    }

    fn still_exceeds_window_share(&mut self, team: usize) -> bool {
        if self.teams[team].exceeds_window_share
            && self.teams[team].released_threads < self.window_share(team)
        {
            self.teams[team].exceeds_window_share = false;
        }
        self.teams[team].exceeds_window_share
    }

    fn set_class(&mut self, team: usize, class: u8) {
        let old_class = self.ranked_teams.rank(team).map(|(class, _)| class);
        let team_state = &mut self.teams[team];
        if old_class != Some(PACED) && class == PACED {
            // The window is full: the first paced team waits for the virtual time that its first
            // statement costs.
            let front = team_state
                .lanes
                .iter()
                .filter_map(Lane::front)
                .map(|(statement, _, _)| statement)
                .next();
            let work = front
                .and_then(|statement| self.entries[statement.0].as_ref())
                .map_or(0, |entry| entry.charged_work);
            let delay = if self.is_contended {
                0
            } else {
                virtual_span(work, self.budgets.team(team).share)
            };
            let min_start = self.virtual_time.saturating_add(delay);
            team_state
                .virtual_starts
                .iter_mut()
                .for_each(|virtual_start| *virtual_start = (*virtual_start).max(min_start));
            self.paced_share += self.budgets.team(team).share;
        }
        if old_class == Some(PACED) && class != PACED {
            self.subtract_paced_share(team);
        }
        self.ranked_teams
            .set(team, (class, self.next_virtual_start(team)));
    }

    fn remove_rank(&mut self, team: usize) {
        if self
            .ranked_teams
            .rank(team)
            .is_some_and(|(class, _)| class == PACED)
        {
            self.subtract_paced_share(team);
        }
        self.ranked_teams.remove(team);
    }

    fn subtract_paced_share(&mut self, team: usize) {
        self.paced_share -= self.budgets.team(team).share;
        if self.paced_share < MIN_SHARE {
            // Rounding errors of additions and subtractions leave a remainder.
            self.paced_share = 0.0;
        }
    }

    /// Decides whether a team's demand is within its share.
    fn update_is_within_share(&mut self, now: Nanos, team: usize) {
        let share = self.budgets.team(team).share;
        let fraction = if self.total_share > 0.0 {
            share / self.total_share
        } else {
            0.0
        };
        let team_state = &mut self.teams[team];
        let costliest_work = team_state
            .work_evidence
            .iter()
            .map(|evidence| evidence.usual)
            .fold(0.0, f64::max);
        let share_limit = self.window.cores() * fraction * 1e9
            + DEMAND_ALLOWANCE_STATEMENTS * costliest_work / DEMAND_TIME_CONSTANT_S;
        let limit = if team_state.is_within_share {
            share_limit
        } else {
            share_limit * RETURN_DEMAND_FRACTION
        };
        team_state.is_within_share = team_state.work_demand.per_s(now) <= limit;
    }

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

    fn is_within_limits(&self, statement: StatementIndex) -> bool {
        let Some(entry) = &self.entries[statement.0] else {
            return false;
        };
        let (team, workload) = (entry.team as usize, usize::from(entry.workload));
        self.is_team_within_limits(team, workload) && self.is_total_within_limits()
    }

    fn is_team_within_limits(&self, team: usize, workload: usize) -> bool {
        let (team_state, budget) = (&self.teams[team], self.budgets.team(team));
        team_state.queued_count <= budget.max_queued
            && team_state.queued_bytes <= budget.max_queued_bytes
            && team_state.lanes[workload].len() <= budget.max_queued_in(workload)
    }

    fn is_total_within_limits(&self) -> bool {
        self.queued_count <= self.budgets.max_queued
            && self.queued_bytes <= self.budgets.max_queued_bytes
    }

    // ---- preemption ----

    fn can_preempt(&self, workload: usize) -> bool {
        self.budgets.workloads[workload].priority_weight
            >= self.budgets.preempts_from_priority_weight
    }

    /// Preempts waiting statements for one that exceeds a limit: less important ones of its own
    /// team if the team exceeds its own limits, else those of the team with the most waiting work
    /// for its share. Released statements are never preempted.
    fn preempt_for(
        &mut self,
        now: Nanos,
        statement: StatementIndex,
        output: &mut dyn Output,
    ) -> bool {
        let Some(entry) = &self.entries[statement.0] else {
            return false;
        };
        let (team, workload) = (entry.team as usize, usize::from(entry.workload));
        for _ in 0..MAX_PREEMPTIONS_PER_ARRIVAL {
            if self.is_within_limits(statement) {
                return true;
            }
            let victim = if !self.is_team_within_limits(team, workload) {
                if self.teams[team].lanes[workload].len()
                    > self.budgets.team(team).max_queued_in(workload)
                {
                    return false;
                }
                self.can_preempt(workload)
                    .then(|| self.least_important_queued(team, workload))
                    .flatten()
            } else {
                self.fullest_teams.first().and_then(|fullest| {
                    if fullest == team {
                        self.can_preempt(workload)
                            .then(|| self.least_important_queued(team, workload))
                            .flatten()
                    } else {
                        self.newest_of_fullest_team(fullest, team)
                    }
                })
            };
            match victim {
                Some(victim) if victim != statement => self.reject(now, victim, output),
                _ => return false,
            }
        }
        self.is_within_limits(statement)
    }

    /// The newest waiting statement of the team's least important workload, if that workload is
    /// less important than `workload`. Bulk loads are exempt.
    fn least_important_queued(&self, team: usize, workload: usize) -> Option<StatementIndex> {
        let params = &self.budgets.workloads;
        let candidates = (0..params.len()).filter(|&other| {
            !params[other].is_bulk_load
                && params[other].priority_weight < params[workload].priority_weight
                && !self.teams[team].lanes[other].is_empty()
        });
        let least_important = candidates.min_by(|&a, &b| {
            params[a]
                .priority_weight
                .total_cmp(&params[b].priority_weight)
        })?;
        self.teams[team].lanes[least_important]
            .back()
            .map(|(statement, _)| statement)
    }

    /// The newest waiting statement of the least important workload of `fullest`, if that team has
    /// more waiting work for its share than `team`. Bulk loads are exempt.
    fn newest_of_fullest_team(&self, fullest: usize, team: usize) -> Option<StatementIndex> {
        let fullness =
            |team: usize| virtual_span(self.teams[team].queued_work, self.budgets.team(team).share);
        if fullness(fullest) <= fullness(team) {
            return None;
        }
        let params = &self.budgets.workloads;
        let candidates = (0..params.len()).filter(|&workload| {
            !params[workload].is_bulk_load && !self.teams[fullest].lanes[workload].is_empty()
        });
        let least_important = candidates.min_by(|&a, &b| {
            params[a]
                .priority_weight
                .total_cmp(&params[b].priority_weight)
        })?;
        self.teams[fullest].lanes[least_important]
            .back()
            .map(|(statement, _)| statement)
    }

    // ---- rejection ----

    fn reject(&mut self, now: Nanos, statement: StatementIndex, output: &mut dyn Output) {
        let Some(entry) = &self.entries[statement.0] else {
            return;
        };
        let (team, work) = (entry.team as usize, entry.charged_work);
        let retry_after = self.assign_retry_after(now, statement, team, work);
        self.transition(now, statement, EntryState::Ended);
        let team_state = &mut self.teams[team];
        if team_state.rejecting_since.is_some()
            && now >= team_state.last_rejected_at + MODE_END_DELAY
        {
            team_state.rejecting_since = None;
        }
        team_state.last_rejected_at = now;
        team_state.rejected_count += 1;
        if team_state.rejecting_since.is_none() {
            team_state.rejecting_since = Some(now);
            let (queued, released, rejected_before) = (
                team_state.queued_count,
                team_state.released_threads,
                team_state.rejected_count - 1,
            );
            let window_share = self.window_share(team);
            let line = format!(
                "Within -> Over: {queued} waiting, {released:.1} of its {window_share:.1} threads out, {rejected_before} rejected before"
            );
            output.log_mode_change(Some(team), &line);
        }
        output.reject(statement, retry_after);
    }

    /// Time until there is capacity for the rejected statement: after the waiting statements and
    /// those rejected earlier, with jitter so that the clients do not return together.
    fn assign_retry_after(
        &mut self,
        now: Nanos,
        statement: StatementIndex,
        team: usize,
        work: u64,
    ) -> Nanos {
        let max_retry_after = self.budgets.max_retry_after;
        if max_retry_after == 0 {
            return 0;
        }
        // Without engines the wait is unknown.
        let wait = if self.window.threads() > 0.0 {
            self.estimate_wait(now, statement).min(max_retry_after)
        } else {
            max_retry_after
        };
        let core_seconds_per_s = (self.team_work_rate(now, team) / 1e9).max(1e-9);
        let team_state = &mut self.teams[team];
        let service_time =
            (work as f64 / 1e9 / core_seconds_per_s * 1e9).min(max_retry_after as f64) as Nanos;
        team_state.last_retry_at = team_state
            .last_retry_at
            .max(now)
            .saturating_add(service_time)
            .min(now + max_retry_after);
        let retry_after = wait
            .max(team_state.last_retry_at - now)
            .max(MIN_RETRY_AFTER);
        self.random_draws += 1;
        let random = hash_to_unit_interval(&(self.seed, self.random_draws));
        // Close to the maximum the jitter is subtracted, or all clients would return at that time.
        let jitter = (retry_after as f64 * RETRY_AFTER_JITTER_FRACTION * random) as Nanos;
        if retry_after + jitter > max_retry_after {
            max_retry_after.saturating_sub(jitter)
        } else {
            retry_after + jitter
        }
    }

    fn wait_deadline(&self, entry: &QueueEntry) -> Nanos {
        let (team, workload) = (entry.team as usize, usize::from(entry.workload));
        let lane_max_wait = self.budgets.team(team).lane(workload).max_wait;
        let max_wait = lane_max_wait.unwrap_or(self.budgets.workloads[workload].max_wait);
        let time_to_deadline = entry.deadline.saturating_sub(entry.arrived_at);
        entry
            .arrived_at
            .saturating_add(max_wait)
            .min(entry.deadline - (time_to_deadline / RUN_TIME_RESERVE_DIVISOR).min(entry.deadline))
    }

    fn set_wait_timer(&mut self, statement: StatementIndex, wait_deadline: Nanos) {
        let timer = self
            .timers
            .insert(wait_deadline, TimerEvent::MaxWaitReached(statement));
        let old_timer = self.entries[statement.0]
            .as_mut()
            .and_then(|entry| entry.timer.replace(timer));
        if let Some(old_timer) = old_timer {
            self.timers.remove(old_timer);
        }
    }

    // ---- wait estimates ----

    /// Work (ns) per second at which a team is served while it has waiting statements.
    fn team_work_rate(&self, now: Nanos, team: usize) -> f64 {
        let share = self.budgets.team(team).share.max(MIN_SHARE);
        let limit = self.budgets.team(team).work_cores * 1e9;
        let paced_rate = (self.uncorrected_virtual_time_rate(now) * share).min(limit);
        match self.ranked_teams.rank(team) {
            // Teams within their share are served as fast as the engines work.
            Some((IN_SHARE, _)) => return (self.window.cores() * USABLE_FRACTION * 1e9).min(limit),
            Some(_) => return paced_rate,
            None => {}
        }
        // The team's own limits hold it back: its recent service rate counts.
        self.teams[team].service_rate.per_s(paced_rate)
    }

    /// Time (ns) until enough released threads have ended for a statement of this workload to fit
    /// into this multiple of the window.
    fn time_until_capacity(&self, now: Nanos, workload: usize, max_window_factor: f64) -> f64 {
        let threads = self.budgets.workloads[workload].threads.max(1.0);
        let excess_threads =
            self.released_threads + threads - max_window_factor * self.window.threads();
        if excess_threads <= 0.0 {
            return 0.0;
        }
        // Until statements have ended, the released ones are expected to end within the longest
        // usual run time.
        let usual_run_times_s = self
            .budgets
            .workloads
            .iter()
            .map(|workload| workload.usual_work as f64 / 1e9 / workload.threads.max(1.0));
        let expected_rate = self.released_threads / usual_run_times_s.fold(1e-3, f64::max);
        excess_threads / self.freed_threads.per_s(now).max(expected_rate).max(1e-3) * 1e9
    }

    /// Remaining wait of a queued statement, from the work ahead of it and its team's service rate.
    fn estimate_wait(&self, now: Nanos, statement: StatementIndex) -> Nanos {
        let Some(entry) = &self.entries[statement.0] else {
            return 0;
        };
        let (team, workload) = (entry.team as usize, usize::from(entry.workload));
        if self.window.threads() <= 0.0 {
            return 0;
        }
        let team_state = &self.teams[team];
        let mut work_ahead = team_state.lanes[workload]
            .totals_ahead_of(entry.sequence)
            .work as f64;
        let wait_by_order = if self
            .ranked_teams
            .rank(team)
            .is_some_and(|(class, _)| class == PACED)
        {
            // The workload has its own fraction of the share, however many statements of other
            // workloads arrive.
            let share = self.lane_share(now, team, workload).max(MIN_SHARE);
            let virtual_time_left =
                team_state.virtual_starts[workload].saturating_sub(self.virtual_time) as f64;
            // The statements ahead settle a part of the work that was charged too little or too
            // much before.
            let count_ahead = team_state.lanes[workload]
                .totals_ahead_of(entry.sequence)
                .count
                .min(1_000) as i32;
            let settled = team_state.unsettled_work[workload]
                * (1.0 - (1.0 - SETTLED_FRACTION_PER_RELEASE).powi(count_ahead));
            work_ahead += settled.max(-MAX_REFUND_FRACTION * work_ahead);
            let paced_wait = (work_ahead / share + virtual_time_left)
                / self.uncorrected_virtual_time_rate(now).max(1e-9)
                * 1e9;
            paced_wait.max(self.time_until_capacity(now, workload, MAX_PACED_WINDOW_FACTOR))
        } else {
            let due_at = entry
                .arrived_at
                .saturating_add(self.budgets.workloads[workload].slack);
            for (other, lane) in team_state
                .lanes
                .iter()
                .enumerate()
                .filter(|&(other, _)| other != workload)
            {
                let arrived_before = due_at.saturating_sub(self.budgets.workloads[other].slack);
                work_ahead += lane.totals_arrived_before(arrived_before).work as f64;
            }
            let service_time = work_ahead / self.team_work_rate(now, team).max(1.0) * 1e9;
            service_time.max(self.time_until_capacity(
                now,
                workload,
                MAX_WITHIN_SHARE_WINDOW_FACTOR,
            ))
        };
        let budget = self.budgets.team(team);
        let wait_by_budget = if budget.work_cores.is_finite() {
            ((work_ahead / 1e9 - team_state.work_budget.balance()) / budget.work_cores.max(1e-9)
                * 1e9)
                .max(0.0)
        } else {
            0.0
        };
        (wait_by_order.max(wait_by_budget) * self.wait_statistics.correction_factor(now))
            .min(Nanos::MAX as f64 / 4.0) as Nanos
    }
}

/// Virtual time that this work takes a team or workload with this share.
fn virtual_span(work: u64, share: f64) -> u64 {
    (work as f64 / share.max(MIN_SHARE)) as u64
}
