//! What a run came to, by team.

use hdrhistogram::Histogram;
use ivypitch_types::Nanos;
use serde::Serialize;

#[derive(Clone, Debug, Serialize)]
pub struct TeamFigures {
    pub name: String,
    #[serde(rename = "asked")]
    pub statements: u64,
    pub served: u64,
    #[serde(rename = "in_time")]
    pub served_in_time: u64,
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Importance asked for, and served within the SLO time.
    #[serde(rename = "importance")]
    pub priority_weight: f64,
    #[serde(rename = "kept")]
    pub served_priority_weight: f64,
    /// Core-seconds that engines did for it, to a good end.
    #[serde(rename = "used")]
    pub completed_core_s: f64,
    /// Refusals by the queues and by the module, where the run can tell them apart.
    #[serde(rename = "refused_waiting")]
    pub rejected_by_queues: u64,
    #[serde(rename = "refused_later")]
    pub rejected_by_scheduler: u64,
    #[serde(skip)]
    pub latency_ms: Histogram<u64>,
}

impl TeamFigures {
    pub fn new(name: &str) -> TeamFigures {
        let latency = Histogram::new_with_bounds(1, 600_000, 3);
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
            latency_ms: latency.unwrap_or_else(|_| unreachable!()),
        }
    }

    /// One statement: how long its client waited from when it was meant to ask, where it was served.
    pub fn record_statement(
        &mut self,
        priority_weight: f64,
        slo: Nanos,
        took: Option<Nanos>,
        tries: u32,
    ) {
        self.statements += 1;
        self.attempts += u64::from(tries);
        self.priority_weight += priority_weight;
        let Some(took) = took else { return };
        self.served += 1;
        self.latency_ms.saturating_record(took / 1_000_000);
        if took <= slo {
            self.served_in_time += 1;
            self.served_priority_weight += priority_weight;
        }
    }

    /// The part of its importance that it was served within the SLO time.
    pub fn service_ratio(&self) -> f64 {
        self.served_priority_weight / self.priority_weight.max(1e-9)
    }

    pub fn latency_quantile_ms(&self, quantile: f64) -> u64 {
        self.latency_ms.value_at_quantile(quantile)
    }
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub teams: Vec<TeamFigures>,
    /// Loads that were started again though they may have run.
    #[serde(rename = "doubled")]
    pub repeated_bulk_loads: u64,
    /// Statements with no answer, and with more than one.
    pub unanswered: u64,
    #[serde(rename = "twice")]
    pub answered_twice: u64,
    /// Estimates of waits: how many, how many good, and the median error as a part of the wait.
    #[serde(rename = "told")]
    pub wait_estimates: u64,
    #[serde(rename = "good")]
    pub good_wait_estimates: u64,
    #[serde(rename = "median_error")]
    pub median_wait_estimate_error: f64,
    /// Core-seconds that came to nothing.
    #[serde(rename = "wasted")]
    pub wasted_core_s: f64,
    /// CPU seconds of the gateway, on sockets.
    #[serde(rename = "cpu_s")]
    pub gateway_cpu_s: f64,
}
