//! Results of one run, in total and by team.

use hdrhistogram::Histogram;
use ivypitch_types::Nanos;
use serde::Serialize;

/// Results of one team.
#[derive(Clone, Debug, Serialize)]
pub struct TeamFigures {
    pub name: String,
    #[serde(rename = "asked")]
    pub statements: u64,
    pub served: u64,
    /// Statements answered within their latency objective.
    #[serde(rename = "in_time")]
    pub served_in_time: u64,
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Sum of the priority weights of all statements.
    #[serde(rename = "importance")]
    pub priority_weight: f64,
    /// Sum of the priority weights of the statements answered within their latency objective.
    #[serde(rename = "kept")]
    pub served_priority_weight: f64,
    /// Core-seconds of engine work that completed successfully.
    #[serde(rename = "used")]
    pub completed_core_s: f64,
    /// Attempts that the team queues rejected.
    #[serde(rename = "refused_waiting")]
    pub rejected_by_queues: u64,
    /// Attempts that the scheduler rejected; over sockets, all other failed attempts.
    #[serde(rename = "refused_later")]
    pub rejected_by_scheduler: u64,
    #[serde(skip)]
    pub latency_ms: Histogram<u64>,
}

impl TeamFigures {
    pub fn new(name: &str) -> TeamFigures {
        let latency_ms = Histogram::new_with_bounds(1, 600_000, 3);
        TeamFigures {
            name: name.to_owned(),
            statements: 0,
            served: 0,
            served_in_time: 0,
            attempts: 0,
            priority_weight: 0.0,
            served_priority_weight: 0.0,
            completed_core_s: 0.0,
            rejected_by_queues: 0,
            rejected_by_scheduler: 0,
            latency_ms: latency_ms.unwrap_or_else(|_| unreachable!()),
        }
    }

    /// Records one statement. `latency` counts from its scheduled arrival; `None`: it was not
    /// served.
    pub fn record_statement(
        &mut self,
        priority_weight: f64,
        latency_objective: Nanos,
        latency: Option<Nanos>,
        attempts: u32,
    ) {
        self.statements += 1;
        self.attempts += u64::from(attempts);
        self.priority_weight += priority_weight;
        let Some(latency) = latency else { return };
        self.served += 1;
        self.latency_ms.saturating_record(latency / 1_000_000);
        if latency <= latency_objective {
            self.served_in_time += 1;
            self.served_priority_weight += priority_weight;
        }
    }

    /// Fraction of the priority weight that was served within the latency objective.
    pub fn service_ratio(&self) -> f64 {
        self.served_priority_weight / self.priority_weight.max(1e-9)
    }

    pub fn latency_quantile_ms(&self, quantile: f64) -> u64 {
        self.latency_ms.value_at_quantile(quantile)
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub teams: Vec<TeamFigures>,
    /// Bulk loads that were started again although an earlier attempt may have run.
    #[serde(rename = "doubled")]
    pub repeated_bulk_loads: u64,
    /// Statements with fewer answers than attempts.
    pub unanswered: u64,
    /// Statements with more answers than attempts.
    #[serde(rename = "twice")]
    pub answered_twice: u64,
    /// Wait estimates given to clients.
    #[serde(rename = "told")]
    pub wait_estimates: u64,
    /// Wait estimates close enough to the actual wait.
    #[serde(rename = "good")]
    pub good_wait_estimates: u64,
    /// Median error of the wait estimates, as a fraction of the actual wait.
    #[serde(rename = "median_error")]
    pub median_wait_estimate_error: f64,
    /// Core-seconds of engine work that did not lead to a result.
    #[serde(rename = "wasted")]
    pub wasted_core_s: f64,
    /// CPU seconds of the gateway process; 0 in virtual time.
    #[serde(rename = "cpu_s")]
    pub gateway_cpu_s: f64,
}
