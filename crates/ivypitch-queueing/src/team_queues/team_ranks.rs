//! The order of teams and of the workloads within a team: shares, virtual starts and ranks.

use ivypitch_types::Nanos;

use crate::lane::Lane;

use super::{
    DEMAND_TIME_CONSTANT_S, IN_SHARE, MIN_SHARE, NO_SHARE, PACED, TeamQueues, virtual_span,
};

/// Allowance above the share, in the team's costliest usual statements: a single report must not
/// put the team over its share.
const DEMAND_ALLOWANCE_STATEMENTS: f64 = 6.0;
/// A team is within its share again when its demand falls below this fraction of the limit.
const RETURN_DEMAND_FRACTION: f64 = 0.9;
/// After this many releases in a row of a preempting lane, another lane of its team goes first
/// once.
const MAX_URGENT_RELEASES_IN_ROW: u8 = 3;
/// Minimum fraction of its team's share that a preempting lane has while the team is paced.
const MIN_URGENT_SHARE_FRACTION: f64 = 0.5;

impl TeamQueues {
    /// The workload of a team whose statement goes next; `None` if the team's limits on released
    /// threads hold back all of them.
    pub(super) fn next_workload(&self, team: usize, is_paced: bool) -> Option<usize> {
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
    pub(super) fn lane_share(&self, now: Nanos, team: usize, workload: usize) -> f64 {
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
    pub(super) fn next_virtual_start(&self, team: usize) -> u64 {
        let team_state = &self.teams[team];
        (0..team_state.lanes.len())
            .filter(|&workload| !team_state.lanes[workload].is_empty())
            .map(|workload| team_state.virtual_starts[workload])
            .min()
            .unwrap_or(0)
    }

    /// Threads of the window that a team's share entitles it to.
    pub(super) fn window_share(&self, team: usize) -> f64 {
        let share = self.budgets.team(team).share;
        if share <= 0.0 {
            0.0
        } else {
            self.window.threads() * share / self.total_share
        }
    }

    /// Ranks a team by its waiting statements; removes it from the ranking if it has none.
    pub(super) fn update_rank(&mut self, team: usize) {
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

    pub(super) fn still_exceeds_window_share(&mut self, team: usize) -> bool {
        if self.teams[team].exceeds_window_share
            && self.teams[team].released_threads < self.window_share(team)
        {
            self.teams[team].exceeds_window_share = false;
        }
        self.teams[team].exceeds_window_share
    }

    pub(super) fn set_class(&mut self, team: usize, class: u8) {
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

    pub(super) fn remove_rank(&mut self, team: usize) {
        if self
            .ranked_teams
            .rank(team)
            .is_some_and(|(class, _)| class == PACED)
        {
            self.subtract_paced_share(team);
        }
        self.ranked_teams.remove(team);
    }

    pub(super) fn subtract_paced_share(&mut self, team: usize) {
        self.paced_share -= self.budgets.team(team).share;
        if self.paced_share < MIN_SHARE {
            // Rounding errors of additions and subtractions leave a remainder.
            self.paced_share = 0.0;
        }
    }

    /// Decides whether a team's demand is within its share.
    pub(super) fn update_is_within_share(&mut self, now: Nanos, team: usize) {
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
}
