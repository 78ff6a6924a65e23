//! Settings of teams: budgets, queues and waits.

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
    /// Bounds on one workload of a team.
    struct TeamWorkloadSettings, TEAM_WORKLOAD_FIELDS {
        /// Threads of this team's statements of the workload that are released at once.
        "most_released_threads" => max_released_threads: Option<f64>, THREADS, default "";
        /// Statements of the workload that may wait.
        "most_queued" => max_queued: Option<usize>, STATEMENTS, default "";
        /// In place of the workload's own.
        "longest_wait_ms" => max_wait_ms: Option<f64>, WAIT_MS, default "";
    }
}

settings_record! {
    /// Budget and bounds of a team.
    struct TeamSettings, TEAM_FIELDS {
        /// Weight against the other teams; 0: only what nobody else wants.
        "share" => share: f64, Kind::Number { min: 0.0, max: 1e6 }, default "1";
        /// Core-seconds a second that it may use, at this gateway, idle neighbours or not.
        "work_cores" => work_cores: Option<f64>, THREADS, default "";
        /// Core-seconds that it may run ahead of work_cores; left out: one second of it.
        "burst_core_s" => burst_core_seconds: Option<f64>,
            Kind::Number { min: 0.0, max: 1e9 }, default "";
        /// Threads of its statements that are released at once.
        "most_released_threads" => max_released_threads: Option<f64>, THREADS, default "";
        /// Statements that may wait.
        "most_queued" => max_queued: Option<usize>, STATEMENTS, default "";
        /// Text of the statements that may wait, in KB.
        "most_queued_kb" => max_queued_kb: Option<usize>, QUEUED_KB, default "";
        /// Bounds on single workloads of the team.
        "workloads" => workloads: BTreeMap<String, TeamWorkloadSettings>,
            Kind::Map(TEAM_WORKLOAD_FIELDS), default "{}";
    }
}

settings_record! {
    /// Waits and estimates of a workload.
    struct WorkloadSettings, WORKLOAD_FIELDS {
        /// What has waited so long is rejected; left out: wait_part of the SLO time.
        "longest_wait_ms" => max_wait_ms: Option<f64>, WAIT_MS, default "";
        /// Head start of others over this workload; left out: 0.4 of the SLO time over the importance.
        "slack_ms" => slack_ms: Option<f64>, WAIT_MS, default "";
        /// Work of a statement, all threads, until the first are over; left out: a third of the SLO time.
        "usual_work_ms" => usual_work_ms: Option<f64>,
            Kind::Number { min: 0.001, max: MAX_WAIT_MS }, default "";
    }
}

settings_record! {
    /// Budgets and queues by team.
    pub struct TeamsSettings, TEAMS_FIELDS {
        /// Queues before the module.
        "enabled" => pub enabled: bool, Kind::Bool, default "true";
        /// Clients may ask SHOW QUEUE and SHOW WAIT 'id'.
        "show" => pub show: bool, Kind::Bool, default "false";
        /// How the number of threads released at once follows what executions show.
        "window" => window: String,
            Kind::OneOf(&["gradient", "additive", "fixed"]), default "\"gradient\"";
        /// Part of the SLO time that a statement may wait.
        "wait_part" => wait_fraction: f64, Kind::Number { min: 0.0, max: 100.0 }, default "0.4";
        /// From this importance on, statements push out waiting ones that matter less.
        "preempts_from_importance" => preempts_from_priority_weight: f64,
            Kind::Number { min: 0.0, max: 1e9 }, default "8";
        /// Statements of all teams that may wait; left out: as many as clients may have open.
        "most_queued" => max_queued: Option<usize>, STATEMENTS, default "";
        /// Text of all statements that may wait, in KB.
        "most_queued_kb" => max_queued_kb: Option<usize>, QUEUED_KB, default "";
        /// Terms by workload.
        "workloads" => workloads: BTreeMap<String, WorkloadSettings>,
            Kind::Map(WORKLOAD_FIELDS), default "{}";
        /// For customers that by_name does not name.
        "other" => other: TeamSettings, Kind::Record(TEAM_FIELDS), default "{}";
        /// Budgets by customer.
        "by_name" => by_name: BTreeMap<String, TeamSettings>, Kind::Map(TEAM_FIELDS), default "{}";
    }
}

impl TeamsSettings {
    /// The budgets for a deployment in which `max_open_statements` may be open at this gateway.
    ///
    /// # Errors
    ///
    /// Every name of a workload or team that the deployment does not have.
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
            settings.budget(&names.workloads)
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
            workloads: self.workload_terms(config),
            teams: teams.collect(),
            other: self.other.budget(&names.workloads),
            max_queued: self.max_queued.unwrap_or(max_open_statements),
            max_queued_bytes: max_bytes(self.max_queued_kb),
            preempts_from_priority_weight: self.preempts_from_priority_weight,
            max_retry_after,
            window_policy,
        })
    }

    fn check_names(&self, config: &DeploymentConfig) -> Result<(), Vec<SettingsError>> {
        let mut check = NameCheck {
            names: &config.names,
            errors: Vec::new(),
        };
        check.workloads("teams.workloads", self.workloads.keys());
        for (team, settings) in &self.by_name {
            check.team(team);
            let path = format!("teams.by_name.{team}.workloads");
            check.workloads(&path, settings.workloads.keys());
        }
        check.workloads("teams.other.workloads", self.other.workloads.keys());
        if config.scheduler.workloads.is_empty() {
            let error = SettingsError::new("teams", Problem::NoWorkloads);
            check.errors.push(error);
        }
        if check.errors.is_empty() {
            Ok(())
        } else {
            Err(check.errors)
        }
    }

    fn workload_terms(&self, config: &DeploymentConfig) -> Vec<WorkloadQueueParams> {
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
                self.terms_of(workload, settings, min_priority_weight)
            })
            .collect()
    }

    fn terms_of(
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
    fn budget(&self, workload_names: &[String]) -> TeamBudget {
        let lanes = workload_names
            .iter()
            .map(|name| match self.workloads.get(name) {
                Some(settings) => settings.budget(),
                None => LaneLimits::default(),
            });
        let work_per_second = self.work_cores.unwrap_or(f64::INFINITY);
        TeamBudget {
            share: self.share,
            work_cores: work_per_second,
            burst_core_seconds: self.burst_core_seconds.unwrap_or(work_per_second),
            max_released_threads: self.max_released_threads.unwrap_or(f64::INFINITY),
            max_queued: self.max_queued.unwrap_or(usize::MAX),
            max_queued_bytes: max_bytes(self.max_queued_kb),
            lanes: lanes.collect(),
        }
    }
}

impl TeamWorkloadSettings {
    fn budget(&self) -> LaneLimits {
        LaneLimits {
            max_released_threads: self.max_released_threads.unwrap_or(f64::INFINITY),
            max_queued: self.max_queued.unwrap_or(usize::MAX),
            max_wait: self.max_wait_ms.map(nanos_from_millis),
        }
    }
}

/// Collects the names that the platform's settings do not have.
struct NameCheck<'a> {
    names: &'a Names,
    errors: Vec<SettingsError>,
}

impl NameCheck<'_> {
    fn workloads<'a>(&mut self, path: &str, used: impl Iterator<Item = &'a String>) {
        for name in used {
            let known = &self.names.workloads;
            if !known.contains(name) {
                self.report(path, name, "workload", known.clone());
            }
        }
    }

    fn team(&mut self, name: &String) {
        let known = &self.names.tenants;
        if !known.contains(name) {
            self.report("teams.by_name", name, "customer", known.clone());
        }
    }

    fn report(&mut self, path: &str, name: &str, what: &'static str, known: Vec<String>) {
        let problem = Problem::UnknownName { what, known };
        let error = SettingsError::new(format!("{path}.{name}"), problem);
        self.errors.push(error);
    }
}

fn max_bytes(kb: Option<usize>) -> usize {
    kb.map_or(usize::MAX, |kb| kb.saturating_mul(BYTES_PER_KB))
}
