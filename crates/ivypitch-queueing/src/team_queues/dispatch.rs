//! Release of statements to the scheduler: which team and workload goes next, and virtual time.

use ivypitch_types::{Nanos, StatementIndex};

use super::{
    EntryState, IN_SHARE, MAX_PACED_WINDOW_FACTOR, MAX_REFUND_FRACTION,
    MAX_WITHIN_SHARE_WINDOW_FACTOR, MIN_SHARE, MODE_END_DELAY, NO_SHARE, Output, PACED,
    SETTLED_FRACTION_PER_RELEASE, TeamQueues, TimerEvent, USABLE_FRACTION, virtual_span,
};

/// Under contention, the first statement in the order is released at once and uncharged up to
/// this fraction of the window: engines must not idle only to keep to the order.
const UNCHARGED_WINDOW_FRACTION: f64 = 0.6;
/// A team within its share may release up to this multiple of its share of the window.
const MAX_TEAM_WINDOW_SHARE_FACTOR: f64 = 1.5;
/// Statements of the widest workload that a team within its share may release in any case.
const MIN_TEAM_WIDEST_STATEMENTS: f64 = 3.0;
/// Relative change of the rate of virtual time for each relative deviation of the released
/// threads from the window.
const WINDOW_DEVIATION_GAIN: f64 = 0.5;
/// Minimum rate of work for paced teams, as a fraction of the cores' time.
const MIN_PACED_CORE_FRACTION: f64 = 0.05;

impl TeamQueues {
    /// Releases the statements that virtual time, the window and the budgets allow.
    pub(super) fn dispatch(&mut self, now: Nanos, output: &mut dyn Output) {
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
    pub(super) fn virtual_time_rate(&self, now: Nanos) -> f64 {
        let window = self.window.threads().max(1e-9);
        let deviation = ((window - self.released_threads) / window).clamp(-1.0, 1.0);
        self.uncorrected_virtual_time_rate(now) * (1.0 + WINDOW_DEVIATION_GAIN * deviation)
    }

    /// Virtual time (ns) per second without the correction by the window, for estimates of waits.
    pub(super) fn uncorrected_virtual_time_rate(&self, now: Nanos) -> f64 {
        self.service_rate.per_s(self.expected_paced_work_rate(now))
            / self.paced_share.max(MIN_SHARE)
    }

    /// Work (ns) per second that the cores can do for paced teams: what the other teams leave.
    pub(super) fn expected_paced_work_rate(&self, now: Nanos) -> f64 {
        let cores = self.window.cores() * 1e9;
        (cores * USABLE_FRACTION - self.other_work_rate.per_s(now))
            .max(cores * MIN_PACED_CORE_FRACTION)
    }

    pub(super) fn advance_virtual_time(&mut self, now: Nanos) {
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

    pub(super) fn set_virtual_start_timer(&mut self, now: Nanos, virtual_start: u64) {
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

    pub(super) fn release(
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
}
