//! Settings of teams: budgets, queues and the times that statements may wait.

use std::collections::BTreeMap;

use ivypitch_queueing::budgets::LaneLimits;
use ivypitch_queueing::window::WindowPolicy;
use ivypitch_queueing::{Budgets, TeamBudget, WorkloadQueueParams};
use ivypitch_scheduler::Workload;
use ivypitch_types::Nanos;

use super::nanos_from_millis;
use crate::schema::{Kind, Problem, SettingsError, settings_record};
use crate::{DeploymentConfig, Names};

const MAX_WAIT_MS: f64 = 86_400_000.0;
const MAX_THREADS: f64 = 1e6;
const MAX_STATEMENTS: u64 = 10_000_000;
const MAX_QUEUED_KB: u64 = 1 << 30;
const BYTES_PER_KB: usize = 1024;

const WAIT_MS: Kind = Kind::Number {
    min: 0.0,
    max: MAX_WAIT_MS,
};
const THREADS: Kind = Kind::Number {
    min: 0.0,
    max: MAX_THREADS,
};
const STATEMENTS: Kind = Kind::Integer {
    min: 0,
    max: MAX_STATEMENTS,
};
const QUEUED_KB: Kind = Kind::Integer {
    min: 0,
    max: MAX_QUEUED_KB,
};

settings_record! {
    /// Limits of one workload of a team.
    struct TeamWorkloadSettings, TEAM_WORKLOAD_FIELDS {
        /// Maximum threads of this team's statements of the workload that are released at once.
        "most_released_threads" => max_released_threads: Option<f64>, THREADS, default "";
        /// Maximum queued statements of the workload.
        "most_queued" => max_queued: Option<usize>, STATEMENTS, default "";
        /// Maximum time in the queue; default: longest_wait_ms of the workload.
        "longest_wait_ms" => max_wait_ms: Option<f64>, WAIT_MS, default "";
    }
}

settings_record! {
    /// Budget and limits of a team.
    struct TeamSettings, TEAM_FIELDS {
        /// Weight relative to the other teams; 0: only capacity that no other team uses.
        "share" => share: f64, Kind::Number { min: 0.0, max: 1e6 }, default "1";
        /// Maximum core-seconds per second at this gateway, even while other teams are idle.
        "work_cores" => work_cores: Option<f64>, THREADS, default "";
        /// Core-seconds that it may use ahead of work_cores; default: one second of work_cores.
        "burst_core_s" => burst_core_seconds: Option<f64>,
            Kind::Number { min: 0.0, max: 1e9 }, default "";
        /// Maximum threads of the team's statements that are released at once.
        "most_released_threads" => max_released_threads: Option<f64>, THREADS, default "";
        /// Maximum queued statements of the team.
        "most_queued" => max_queued: Option<usize>, STATEMENTS, default "";
        /// Maximum text of the team's queued statements, in KB.
        "most_queued_kb" => max_queued_kb: Option<usize>, QUEUED_KB, default "";
        /// Limits of single workloads of the team.
        "workloads" => workloads: BTreeMap<String, TeamWorkloadSettings>,
            Kind::Map(TEAM_WORKLOAD_FIELDS), default "{}";
    }
}

settings_record! {
    /// Waiting times and work estimate of a workload.
    struct WorkloadSettings, WORKLOAD_FIELDS {
        /// Wait after which a statement is rejected; default: wait_part of the latency objective.
        "longest_wait_ms" => max_wait_ms: Option<f64>, WAIT_MS, default "";
        /// Delay added for queue order; default: 0.4 * latency objective / relative importance.
        "slack_ms" => slack_ms: Option<f64>, WAIT_MS, default "";
        /// Work of a statement until measured, all threads; default: 1/3 of the latency objective.
        "usual_work_ms" => usual_work_ms: Option<f64>,
            Kind::Number { min: 0.001, max: MAX_WAIT_MS }, default "";
    }
}

settings_record! {
    /// Budgets and queues by team.
    pub struct TeamsSettings, TEAMS_FIELDS {
        /// Queue statements by team before they reach the scheduler.
        "enabled" => pub enabled: bool, Kind::Bool, default "true";
        /// Allow clients to use SHOW QUEUE and SHOW WAIT 'id'.
        "show" => pub show: bool, Kind::Bool, default "false";
        /// How the limit on threads released at once adapts to the latency of attempts.
        "window" => window: String,
            Kind::OneOf(&["gradient", "additive", "fixed"]), default "\"gradient\"";
        /// Fraction of the latency objective that a statement may wait in the queue.
        "wait_part" => wait_fraction: f64, Kind::Number { min: 0.0, max: 100.0 }, default "0.4";
        /// Minimum importance of a statement that evicts less important ones from a full queue.
        "preempts_from_importance" => preempts_from_priority_weight: f64,
            Kind::Number { min: 0.0, max: 1e9 }, default "8";
        /// Maximum queued statements of all teams; default: as many as clients may have open.
        "most_queued" => max_queued: Option<usize>, STATEMENTS, default "";
        /// Maximum text of all queued statements, in KB.
        "most_queued_kb" => max_queued_kb: Option<usize>, QUEUED_KB, default "";
        /// Waiting times and work estimates by workload.
        "workloads" => workloads: BTreeMap<String, WorkloadSettings>,
            Kind::Map(WORKLOAD_FIELDS), default "{}";
        /// Budget of each customer that by_name does not list.
        "other" => other: TeamSettings, Kind::Record(TEAM_FIELDS), default "{}";
        /// Budgets by customer.
        "by_name" => by_name: BTreeMap<String, TeamSettings>, Kind::Map(TEAM_FIELDS), default "{}";
    }
}

impl TeamsSettings {
    /// Returns the budgets for a deployment. `max_open_statements` is the limit on statements that
    /// clients may have open at this gateway.
    ///
    /// # Errors
    ///
    /// An error for each workload or team that the deployment does not have.
    pub fn budgets(
        &self,
        config: &DeploymentConfig,
        max_open_statements: usize,
    ) -> Result<Budgets, Vec<SettingsError>> {
        self.check_names(config)?;
        let deployment = &config.scheduler;
        let names = &config.names;
        let teams = names.tenants.iter().map(|tenant| {
            let settings = self.by_name.get(tenant).unwrap_or(&self.other);
            settings.to_budget(&names.workloads)
        });
        let max_retry_after = if deployment.honors_retry_after {
            deployment.max_retry_after
        } else {
            0
        };
        let window_policy = match self.window.as_str() {
            "fixed" => WindowPolicy::Fixed,
            "additive" => WindowPolicy::Additive,
            _ => WindowPolicy::Gradient,
        };
        Ok(Budgets {
            workloads: self.workload_queue_params(config),
            teams: teams.collect(),
            other: self.other.to_budget(&names.workloads),
            max_queued: self.max_queued.unwrap_or(max_open_statements),
            max_queued_bytes: max_bytes(self.max_queued_kb),
            preempts_from_priority_weight: self.preempts_from_priority_weight,
            max_retry_after,
            window_policy,
        })
    }

    fn check_names(&self, config: &DeploymentConfig) -> Result<(), Vec<SettingsError>> {
        let mut checker = NameChecker {
            names: &config.names,
            errors: Vec::new(),
        };
        checker.check_workloads("teams.workloads", self.workloads.keys());
        for (team, settings) in &self.by_name {
            checker.check_team(team);
            let path = format!("teams.by_name.{team}.workloads");
            checker.check_workloads(&path, settings.workloads.keys());
        }
        checker.check_workloads("teams.other.workloads", self.other.workloads.keys());
        if config.scheduler.workloads.is_empty() {
            let error = SettingsError::new("teams", Problem::NoWorkloads);
            checker.errors.push(error);
        }
        if checker.errors.is_empty() {
            Ok(())
        } else {
            Err(checker.errors)
        }
    }

    fn workload_queue_params(&self, config: &DeploymentConfig) -> Vec<WorkloadQueueParams> {
        let workloads = &config.scheduler.workloads;
        let min_priority_weight = workloads
            .iter()
            .map(|workload| workload.priority_weight)
            .fold(f64::INFINITY, f64::min);
        workloads
            .iter()
            .zip(&config.names.workloads)
            .map(|(workload, name)| {
                let settings = self.workloads.get(name);
                self.queue_params_of_workload(workload, settings, min_priority_weight)
            })
            .collect()
    }

    fn queue_params_of_workload(
        &self,
        workload: &Workload,
        settings: Option<&WorkloadSettings>,
        min_priority_weight: f64,
    ) -> WorkloadQueueParams {
        let configured = |field: fn(&WorkloadSettings) -> Option<f64>| {
            settings.and_then(field).map(nanos_from_millis)
        };
        let objective = workload.latency_objective;
        let default_slack = WorkloadQueueParams::default_slack(
            objective,
            workload.priority_weight,
            min_priority_weight,
        );
        let default_wait = (objective as f64 * self.wait_fraction) as Nanos;
        WorkloadQueueParams {
            priority_weight: workload.priority_weight,
            latency_objective: objective,
            threads: workload.threads,
            is_bulk_load: workload.is_bulk_load,
            usual_work: configured(|settings| settings.usual_work_ms).unwrap_or(objective / 3),
            slack: configured(|settings| settings.slack_ms).unwrap_or(default_slack),
            max_wait: configured(|settings| settings.max_wait_ms).unwrap_or(default_wait),
        }
    }
}

impl TeamSettings {
    fn to_budget(&self, workload_names: &[String]) -> TeamBudget {
        let lanes = workload_names
            .iter()
            .map(|name| match self.workloads.get(name) {
                Some(settings) => settings.to_lane_limits(),
                None => LaneLimits::default(),
            });
        let max_work_cores = self.work_cores.unwrap_or(f64::INFINITY);
        TeamBudget {
            share: self.share,
            work_cores: max_work_cores,
            burst_core_seconds: self.burst_core_seconds.unwrap_or(max_work_cores),
            max_released_threads: self.max_released_threads.unwrap_or(f64::INFINITY),
            max_queued: self.max_queued.unwrap_or(usize::MAX),
            max_queued_bytes: max_bytes(self.max_queued_kb),
            lanes: lanes.collect(),
        }
    }
}

impl TeamWorkloadSettings {
    fn to_lane_limits(&self) -> LaneLimits {
        LaneLimits {
            max_released_threads: self.max_released_threads.unwrap_or(f64::INFINITY),
            max_queued: self.max_queued.unwrap_or(usize::MAX),
            max_wait: self.max_wait_ms.map(nanos_from_millis),
        }
    }
}

/// Collects an error for each name that the platform's settings do not have.
struct NameChecker<'a> {
    names: &'a Names,
    errors: Vec<SettingsError>,
}

impl NameChecker<'_> {
    fn check_workloads<'a>(&mut self, path: &str, used: impl Iterator<Item = &'a String>) {
        for name in used {
            let known = &self.names.workloads;
            if !known.contains(name) {
                self.report(path, name, "workload", known.clone());
            }
        }
    }

    fn check_team(&mut self, name: &String) {
        let known = &self.names.tenants;
        if !known.contains(name) {
            self.report("teams.by_name", name, "customer", known.clone());
        }
    }

    fn report(&mut self, path: &str, name: &str, kind: &'static str, known: Vec<String>) {
        let problem = Problem::UnknownName { kind, known };
        let error = SettingsError::new(format!("{path}.{name}"), problem);
        self.errors.push(error);
    }
}

fn max_bytes(kb: Option<usize>) -> usize {
    kb.map_or(usize::MAX, |kb| kb.saturating_mul(BYTES_PER_KB))
}
