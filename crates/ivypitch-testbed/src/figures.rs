//! What a run came to, by team.

use hdrhistogram::Histogram;
use ivypitch_types::Nanos;
use serde::Serialize;

#[derive(Clone, Debug, Serialize)]
pub struct TeamFigures {
    pub name: String,
    pub asked: u64,
    pub served: u64,
    pub in_time: u64,
    pub tries: u64,
    /// Importance asked for, and served within the SLO time.
    #[serde(rename = "importance")]
    pub priority_weight: f64,
    pub kept: f64,
    /// Core-seconds that engines did for it, to a good end.
    pub used: f64,
    /// Refusals by the queues and by the module, where the run can tell them apart.
    pub refused_waiting: u64,
    pub refused_later: u64,
    #[serde(skip)]
    pub latency_ms: Histogram<u64>,
}

impl TeamFigures {
    pub fn new(name: &str) -> TeamFigures {
        let latency = Histogram::new_with_bounds(1, 600_000, 3);
        TeamFigures {
            name: name.to_owned(),
            asked: 0,
            served: 0,
            in_time: 0,
            tries: 0,
            priority_weight: 0.0,
            kept: 0.0,
            used: 0.0,
            refused_waiting: 0,
            refused_later: 0,
            latency_ms: latency.unwrap_or_else(|_| unreachable!()),
        }
    }

    /// One statement: how long its client waited from when it was meant to ask, where it was served.
    pub fn count(&mut self, priority_weight: f64, slo: Nanos, took: Option<Nanos>, tries: u32) {
        self.asked += 1;
        self.tries += u64::from(tries);
        self.priority_weight += priority_weight;
        let Some(took) = took else { return };
        self.served += 1;
        self.latency_ms.saturating_record(took / 1_000_000);
        if took <= slo {
            self.in_time += 1;
            self.kept += priority_weight;
        }
    }

    /// The part of its importance that it was served within the SLO time.
    pub fn service(&self) -> f64 {
        self.kept / self.priority_weight.max(1e-9)
    }

    pub fn p(&self, quantile: f64) -> u64 {
        self.latency_ms.value_at_quantile(quantile)
    }
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub teams: Vec<TeamFigures>,
    /// Loads that were started again though they may have run.
    pub doubled: u64,
    /// Statements with no answer, and with more than one.
    pub unanswered: u64,
    pub twice: u64,
    /// Estimates of waits: how many, how many good, and the median error as a part of the wait.
    pub told: u64,
    pub good: u64,
    pub median_error: f64,
    /// Core-seconds that came to nothing.
    pub wasted: f64,
    /// CPU seconds of the gateway, on sockets.
    pub cpu_s: f64,
}
