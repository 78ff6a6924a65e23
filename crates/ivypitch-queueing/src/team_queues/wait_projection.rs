//! Projected waits of queued statements.

use ivypitch_types::{Nanos, StatementIndex};

use super::{
    IN_SHARE, MAX_PACED_WINDOW_FACTOR, MAX_REFUND_FRACTION, MAX_WITHIN_SHARE_WINDOW_FACTOR,
    MIN_SHARE, PACED, QueueEntry, SETTLED_FRACTION_PER_RELEASE, TeamQueues, TimerEvent,
    USABLE_FRACTION,
};

/// A waiting statement is rejected when less than this part (1 / divisor) of the time from its
/// arrival to its deadline is left: once released, it could not meet the deadline.
const RUN_TIME_RESERVE_DIVISOR: u64 = 8;

impl TeamQueues {
    pub(super) fn wait_deadline(&self, entry: &QueueEntry) -> Nanos {
        let (team, workload) = (entry.team as usize, usize::from(entry.workload));
        let lane_max_wait = self.budgets.team(team).lane(workload).max_wait;
        let max_wait = lane_max_wait.unwrap_or(self.budgets.workloads[workload].max_wait);
        let time_to_deadline = entry.deadline.saturating_sub(entry.arrived_at);
        entry
            .arrived_at
            .saturating_add(max_wait)
            .min(entry.deadline - (time_to_deadline / RUN_TIME_RESERVE_DIVISOR).min(entry.deadline))
    }

    pub(super) fn set_wait_timer(&mut self, statement: StatementIndex, wait_deadline: Nanos) {
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
    pub(super) fn team_work_rate(&self, now: Nanos, team: usize) -> f64 {
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
    pub(super) fn time_until_capacity(
        &self,
        now: Nanos,
        workload: usize,
        max_window_factor: f64,
    ) -> f64 {
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
    pub(super) fn estimate_wait(&self, now: Nanos, statement: StatementIndex) -> Nanos {
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
