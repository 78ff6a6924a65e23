//! The scheduler's state of each engine, and the state machine of its health.

use crate::cost_model::EngineSlowness;
use crate::events::{EngineEndpoint, EngineState};
use crate::outlier_detection::RecentOutcomes;
use crate::output::Output;
use crate::placement::{Point, hash_to_point};
use crate::sliding_window::SlidingWindow;
use crate::subset::EngineRank;
use ivypitch_types::Nanos;
use std::fmt;

/// Health of an engine according to the outcomes of this gateway's own attempts.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) enum EngineHealth {
    #[default]
    Healthy,
    /// The engine gets probes only.
    Ejected,
}

/// The reason for a change of an engine's health.
#[derive(Clone, Copy)]
pub(crate) enum HealthEvidence {
    /// The engine's process was restarted, so that earlier faults no longer count.
    Restarted,
    /// Attempts of other gateways succeeded on the engine.
    RecoveredAtPeers,
    /// Fraction of successes among the recent outcomes.
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

/// The scheduler's state of one engine.
#[derive(Default)]
pub(crate) struct Engine {
    pub endpoint: EngineEndpoint,
    /// Whether the endpoint list contains the engine.
    pub is_listed: bool,
    /// Sort key among the engines at this gateway.
    pub rank: EngineRank,
    /// The paper's EMA\[s\].
    pub ema_point: Point,
    /// Number of this gateway's attempts that run on the engine.
    pub in_flight: u32,
    pub threads: ThreadsInUse,
    /// Threads of other gateways' attempts, according to the last load report.
    pub other_gateways_threads: f64,
    pub reported_at: Nanos,
    /// Time of a request for a load report that has no reply yet.
    pub report_requested_at: Option<Nanos>,
    pub health: EngineHealth,
    /// Whether the fleet's common decision has ejected the engine.
    pub is_ejected_by_fleet: bool,
    /// Whether the fleet lets this gateway probe the engine now.
    pub is_probe_assigned: bool,
    pub outcomes: RecentOutcomes,
    pub next_probe_at: Nanos,
    pub slowness: EngineSlowness,
    /// End of the period in which the engine counts as under pressure.
    pub pressure_until: Nanos,
    /// End of the period in which the engine gets no attempts because it has rejected one.
    pub overloaded_until: Nanos,
    /// Number of this gateway's recent sends that went to the engine.
    pub recent_sends: usize,
    /// Work sent to the engine by this gateway within the overload window.
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

    /// Whether this gateway's own outcomes or the fleet have ejected the engine.
    pub fn is_ejected(&self) -> bool {
        self.health == EngineHealth::Ejected || self.is_ejected_by_fleet
    }

    /// Changes the engine's health. No other function does.
    pub fn transition(
        &mut self,
        to: EngineHealth,
        evidence: HealthEvidence,
        output: &mut dyn Output,
    ) {
        let event = match (self.health, to) {
            (EngineHealth::Healthy, EngineHealth::Ejected) => "engine ejected",
            (EngineHealth::Ejected, EngineHealth::Healthy) => "engine readmitted",
            (EngineHealth::Healthy, EngineHealth::Healthy)
            | (EngineHealth::Ejected, EngineHealth::Ejected) => return,
        };
        self.health = to;
        let engine = self.endpoint.engine.0;
        output.log(&format!("{event}: engine={engine} {evidence}"));
    }

    /// Prepares the engine for a changed entry of the endpoint list: resets the EMA point of an
    /// engine that is new in the list, and the health of an engine that has restarted.
    pub fn on_endpoint_changed(&mut self, endpoint: &EngineEndpoint, output: &mut dyn Output) {
        if !self.is_listed {
            self.ema_point = hash_to_point(endpoint.id);
        }
        if endpoint.started_at > self.endpoint.started_at {
            self.outcomes.clear();
            self.transition(EngineHealth::Healthy, HealthEvidence::Restarted, output);
        }
    }

    /// Whether an entry of the endpoint list leaves the engine's eligibility for workloads
    /// unchanged.
    pub fn has_same_eligibility(&self, endpoint: &EngineEndpoint) -> bool {
        self.is_listed
            && self.endpoint.state == endpoint.state
            && self.endpoint.zone == endpoint.zone
            && self.endpoint.kind == endpoint.kind
    }
}
