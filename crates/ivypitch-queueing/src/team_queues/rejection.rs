//! Limits of the queues, preemption of less important statements, and rejection.

use ivypitch_types::{Nanos, StatementIndex, hash_to_unit_interval};

use super::{EntryState, MODE_END_DELAY, Output, TeamQueues, virtual_span};

/// Maximum number of waiting statements that one arrival preempts; their own arrivals amortize
/// the cost.
const MAX_PREEMPTIONS_PER_ARRIVAL: usize = 8;
const MIN_RETRY_AFTER: Nanos = 20_000_000;
/// Random addition to a retry-after, as a fraction of it.
const RETRY_AFTER_JITTER_FRACTION: f64 = 0.5;

impl TeamQueues {
    pub(super) fn is_within_limits(&self, statement: StatementIndex) -> bool {
        let Some(entry) = &self.entries[statement.0] else {
            return false;
        };
        let (team, workload) = (entry.team as usize, usize::from(entry.workload));
        self.is_team_within_limits(team, workload) && self.is_total_within_limits()
    }

    pub(super) fn is_team_within_limits(&self, team: usize, workload: usize) -> bool {
        let (team_state, budget) = (&self.teams[team], self.budgets.team(team));
        team_state.queued_count <= budget.max_queued
            && team_state.queued_bytes <= budget.max_queued_bytes
            && team_state.lanes[workload].len() <= budget.max_queued_in(workload)
    }

    pub(super) fn is_total_within_limits(&self) -> bool {
        self.queued_count <= self.budgets.max_queued
            && self.queued_bytes <= self.budgets.max_queued_bytes
    }

    // ---- preemption ----

    pub(super) fn can_preempt(&self, workload: usize) -> bool {
        self.budgets.workloads[workload].priority_weight
            >= self.budgets.preempts_from_priority_weight
    }

    /// Preempts waiting statements for one that exceeds a limit: less important ones of its own
    /// team if the team exceeds its own limits, else those of the team with the most waiting work
    /// for its share. Released statements are never preempted.
    pub(super) fn preempt_for(
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
    pub(super) fn least_important_queued(
        &self,
        team: usize,
        workload: usize,
    ) -> Option<StatementIndex> {
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
    pub(super) fn newest_of_fullest_team(
        &self,
        fullest: usize,
        team: usize,
    ) -> Option<StatementIndex> {
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

    pub(super) fn reject(
        &mut self,
        now: Nanos,
        statement: StatementIndex,
        output: &mut dyn Output,
    ) {
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
    pub(super) fn assign_retry_after(
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
}
