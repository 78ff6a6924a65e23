//! What a scheduler keeps for each engine, and the state machine of its health.

use crate::cost_model::EngineSlowness;
use crate::events::{EngineEndpoint, EngineState};
use crate::outlier_detection::RecentOutcomes;
use crate::output::Output;
use crate::placement::{Point, point_of};
use crate::sliding_window::SlidingWindow;
use crate::subset::EngineRank;
use ivypitch_types::Nanos;
use std::fmt;

/// Whether this gateway's own outcomes keep the engine in use.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) enum EngineHealth {
    #[default]
    Healthy,
    /// It gets trials only.
    Ejected,
}

/// Why an engine's health was decided anew.
#[derive(Clone, Copy)]
pub(crate) enum HealthEvidence {
    /// A restarted process has none of the former one's faults.
    Restarted,
    /// Other gateways had success with it.
    RecoveredAtPeers,
    /// Part of successes among the recent outcomes.
    SuccessRate(f64),
}

impl fmt::Display for HealthEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HealthEvidence::Restarted => write!(f, "reason=restarted"),
            HealthEvidence::RecoveredAtPeers => write!(f, "reason=recovered_at_peers"),
            HealthEvidence::SuccessRate(rate) => write!(f, "success_rate={rate:.2}"),
        }
    }
}

/// Threads of this gateway's attempts on one engine, by class of workload.
#[derive(Clone, Copy, Default)]
pub(crate) struct ThreadsInUse {
    short: f64,
    long: f64,
}

impl ThreadsInUse {
    pub fn of_class(&self, is_long: bool) -> f64 {
        if is_long { self.long } else { self.short }
    }

    pub fn of_class_mut(&mut self, is_long: bool) -> &mut f64 {
        if is_long {
            &mut self.long
        } else {
            &mut self.short
        }
    }

    pub fn total(&self) -> f64 {
        self.short + self.long
    }
}

/// The state of one engine.
#[derive(Default)]
pub(crate) struct Engine {
    pub endpoint: EngineEndpoint,
    /// The endpoint list has it.
    pub is_listed: bool,
    /// Order among the engines at this gateway.
    pub rank: EngineRank,
    /// The paper's EMA\[s\].
    pub ema_point: Point,
    /// This gateway's attempts that run there.
    pub in_flight: u32,
    pub threads: ThreadsInUse,
    /// Threads of other gateways' attempts, by the last load report.
    pub threads_of_others: f64,
    pub reported_at: Nanos,
    /// When a load report was requested that has not come.
    pub report_requested_at: Option<Nanos>,
    pub health: EngineHealth,
    /// The fleet's common decision, and whether this gateway sends trials now.
    pub is_ejected_by_fleet: bool,
    pub is_probe_assigned: bool,
    pub outcomes: RecentOutcomes,
    pub next_trial_at: Nanos,
    pub slowness: EngineSlowness,
    /// It shows signs of pressure until then.
    pub pressure_until: Nanos,
    /// It has rejected an attempt and is left alone until then.
    pub overloaded_until: Nanos,
    /// Number of this gateway's recent sends that went there.
    pub recent_sends: usize,
    /// Work sent there within the overload window.
    pub sends: SlidingWindow,
}

impl Engine {
    pub fn new(endpoint: EngineEndpoint, rank: EngineRank) -> Self {
        Engine {
            endpoint,
            rank,
            slowness: EngineSlowness::new(),
            ..Engine::default()
        }
    }

    /// Whether the engine takes new statements.
    pub fn is_ready(&self) -> bool {
        self.is_listed && self.endpoint.state == EngineState::Ready
    }

    /// Whether own outcomes or the fleet have ejected it.
    pub fn is_suspected(&self) -> bool {
        self.health == EngineHealth::Ejected || self.is_ejected_by_fleet
    }

    /// The one place where the engine's health changes.
    pub fn transition(&mut self, to: EngineHealth, evidence: HealthEvidence, out: &mut dyn Output) {
        let event = match (self.health, to) {
            (EngineHealth::Healthy, EngineHealth::Ejected) => "engine ejected",
            (EngineHealth::Ejected, EngineHealth::Healthy) => "engine readmitted",
            (EngineHealth::Healthy, EngineHealth::Healthy)
            | (EngineHealth::Ejected, EngineHealth::Ejected) => return,
        };
        self.health = to;
        let engine = self.endpoint.engine.0;
        out.log(&format!("{event}: engine={engine} {evidence}"));
    }

    /// Applies a changed row of the endpoint list.
    pub fn on_endpoint_changed(&mut self, endpoint: &EngineEndpoint, out: &mut dyn Output) {
        if !self.is_listed {
            self.ema_point = point_of(endpoint.id);
        }
        if endpoint.started_at > self.endpoint.started_at {
            self.outcomes.clear();
            self.transition(EngineHealth::Healthy, HealthEvidence::Restarted, out);
        }
    }

    /// Whether a row of the endpoint list leaves the engine where it is in the subsets.
    pub fn has_same_eligibility(&self, endpoint: &EngineEndpoint) -> bool {
        self.is_listed
            && self.endpoint.state == endpoint.state
            && self.endpoint.zone == endpoint.zone
            && self.endpoint.kind == endpoint.kind
    }
}
