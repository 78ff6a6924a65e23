//! Open-loop traffic drawn from a seed: workloads, teams and the arrivals of their statements.
//! Arrivals do not wait for answers.

use ivypitch_scheduler::Idempotency;
use ivypitch_types::{Nanos, SECOND};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

/// Properties of the statements of one workload.
#[derive(Clone, Debug)]
pub struct WorkloadParams {
    /// Name of the workload.
    pub name: &'static str,
    /// Weight of a statement of this workload among all workloads.
    pub priority_weight: f64,
    /// Latency objective of a statement without work.
    pub latency_objective: Nanos,
    /// The latency objective grows by this multiple of work divided by threads.
    pub latency_objective_stretch: f64,
    /// Statement timeout.
    pub timeout: Nanos,
    /// Whether statements may run more than once.
    pub idempotency: Idempotency,
    /// Threads of a statement.
    pub threads: f64,
    /// Mean work of a statement in core-seconds.
    pub mean_work_core_s: f64,
    /// Coefficient of variation of the work.
    pub work_variation: f64,
    /// Relative frequency of this workload among all statements.
    pub statement_weight: f64,
}

/// The workloads of lookups, reports and loads, with all times and work multiplied by `scale`.
pub fn workloads(scale: f64) -> Vec<WorkloadParams> {
    let scaled = |seconds: f64| (seconds * scale * SECOND as f64) as Nanos;
    vec![
        WorkloadParams {
            name: "lookup",
            priority_weight: 1.0,
            latency_objective: scaled(0.8),
            latency_objective_stretch: 2.0,
            timeout: scaled(4.0),
            idempotency: Idempotency::Idempotent,
            threads: 1.0,
            mean_work_core_s: 0.14 * scale,
            work_variation: 1.0,
            statement_weight: 13.0,
        },
        WorkloadParams {
            name: "report",
            priority_weight: 8.0,
            latency_objective: scaled(3.0),
            latency_objective_stretch: 2.5,
            timeout: scaled(25.0),
            idempotency: Idempotency::Idempotent,
            threads: 2.0,
            mean_work_core_s: 4.0 * scale,
            work_variation: 1.2,
            statement_weight: 2.5,
        },
        WorkloadParams {
            name: "load",
            priority_weight: 8.0,
            latency_objective: scaled(4.0),
            latency_objective_stretch: 2.5,
            timeout: scaled(25.0),
            idempotency: Idempotency::NonIdempotent,
            threads: 2.0,
            mean_work_core_s: 2.2 * scale,
            work_variation: 0.6,
            statement_weight: 0.9,
        },
    ]
}

/// A temporary rise of a team's arrival rate above its usual rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Flood {
    /// The usual rate.
    None,
    /// The usual rate times `rate_factor` from `from` until `until`.
    Step {
        rate_factor: f64,
        from: Nanos,
        until: Nanos,
    },
    /// A linear rise from the usual rate to `rate_factor` times the usual rate.
    Ramp {
        rate_factor: f64,
        from: Nanos,
        until: Nanos,
    },
    /// The usual rate times `rate_factor` during the first 200 ms of each second.
    Pulses {
        rate_factor: f64,
        from: Nanos,
        until: Nanos,
    },
}

impl Flood {
    fn rate_factor(self, at: Nanos) -> f64 {
        match self {
            Flood::Step {
                rate_factor,
                from,
                until,
            } if (from..until).contains(&at) => rate_factor,
            Flood::Ramp {
                rate_factor,
                from,
                until,
            } if (from..until).contains(&at) => {
                1.0 + (rate_factor - 1.0) * (at - from) as f64 / (until - from) as f64
            }
            Flood::Pulses {
                rate_factor,
                from,
                until,
            } if (from..until).contains(&at) && (at - from) % SECOND < SECOND / 5 => rate_factor,
            _ => 1.0,
        }
    }

    fn max_rate_factor(self) -> f64 {
        match self {
            Flood::None => 1.0,
            Flood::Step { rate_factor, .. }
            | Flood::Ramp { rate_factor, .. }
            | Flood::Pulses { rate_factor, .. } => rate_factor,
        }
    }
}

/// A team and its traffic.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Usual demand, in core-seconds per second.
    pub demand_cores: f64,
    /// Rise of the rate above the usual one.
    pub flood: Flood,
    /// Ratio of the estimated work to the work of its statements, before random errors; 0: it gives
    /// no estimates.
    pub estimate_factor: f64,
}

/// One statement of the traffic.
#[derive(Clone, Debug)]
pub struct Statement {
    /// Time of the first arrival.
    pub arrives_at: Nanos,
    /// Index of the team.
    pub team: usize,
    /// Index of the workload.
    pub workload: usize,
    /// Table group that it reads.
    pub table_group: u32,
    /// Work in core-seconds with a good plan and a cold table group.
    pub work_core_s: f64,
    /// Estimate of the work that the client gives, in core-seconds; 0: none.
    pub estimated_work_core_s: f64,
    /// Latency objective of this statement.
    pub latency_objective: Nanos,
}

/// Number of table groups. It must be several times the largest number of engines, or a few engines
/// would get all the work.
const TABLE_GROUPS: u32 = 240;
/// Standard deviation of the logarithm of an estimate's error.
const ESTIMATE_ERROR_SIGMA: f64 = 0.3;

/// Draws all statements that arrive within `span`, in order of arrival. A team's usual statements
/// depend neither on its own flood nor on the other teams.
pub fn draw_statements(
    workloads: &[WorkloadParams],
    teams: &[Team],
    span: Nanos,
    seed: u64,
) -> Vec<Statement> {
    let total_weight: f64 = workloads
        .iter()
        .map(|workload| workload.statement_weight)
        .sum();
    let mean_work_core_s: f64 = workloads
        .iter()
        .map(|workload| workload.mean_work_core_s * workload.statement_weight / total_weight)
        .sum();
    let mut statements = Vec::new();
    for (team_index, team) in teams.iter().enumerate() {
        let mut rng =
            ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(team_index as u64));
        let mut flood_rng =
            ChaCha8Rng::seed_from_u64(seed.wrapping_mul(7_000_003).wrapping_add(team_index as u64));
        let rate = team.demand_cores / mean_work_core_s;
        draw_team(
            workloads,
            team,
            team_index,
            rate,
            span,
            &mut rng,
            &mut statements,
            |_| 1.0,
        );
        if team.flood != Flood::None {
            let max_extra_rate_factor = team.flood.max_rate_factor() - 1.0;
            draw_team(
                workloads,
                team,
                team_index,
                rate * max_extra_rate_factor,
                span,
                &mut flood_rng,
                &mut statements,
                |at| (team.flood.rate_factor(at) - 1.0) / max_extra_rate_factor,
            );
        }
    }
    statements.sort_by_key(|statement| (statement.arrives_at, statement.team));
    statements
}

#[expect(clippy::too_many_arguments)]
fn draw_team(
    workloads: &[WorkloadParams],
    team: &Team,
    team_index: usize,
    rate: f64,
    span: Nanos,
    rng: &mut ChaCha8Rng,
    statements: &mut Vec<Statement>,
    keep_probability: impl Fn(Nanos) -> f64,
) {
    let Ok(gap_distribution) = Exp::new(rate) else {
        return;
    };
    let total_weight: f64 = workloads
        .iter()
        .map(|workload| workload.statement_weight)
        .sum();
    let mut at_s = 0.0;
    loop {
        at_s += gap_distribution.sample(rng);
        let arrives_at = (at_s * 1e9) as Nanos;
        if arrives_at >= span {
            return;
        }
        let mut drawn_weight = rng.random_range(0.0..total_weight);
        let workload = workloads
            .iter()
            .position(|workload| {
                drawn_weight -= workload.statement_weight;
                drawn_weight < 0.0
            })
            .unwrap_or(0);
        let params = &workloads[workload];
        let sigma_squared = (1.0 + params.work_variation * params.work_variation).ln();
        let work_distribution = LogNormal::new(
            params.mean_work_core_s.ln() - sigma_squared / 2.0,
            sigma_squared.sqrt(),
        );
        let work_core_s = work_distribution.map_or(params.mean_work_core_s, |distribution| {
            distribution.sample(rng)
        });
        let error_factor = LogNormal::new(0.0, ESTIMATE_ERROR_SIGMA)
            .map_or(1.0, |distribution| distribution.sample(rng));
        let table_group = rng
            .random_range(0..TABLE_GROUPS)
            .min(rng.random_range(0..TABLE_GROUPS));
        if rng.random_bool(keep_probability(arrives_at).clamp(0.0, 1.0)) {
            let latency_objective = params.latency_objective
                + (params.latency_objective_stretch * work_core_s / params.threads * 1e9) as Nanos;
            let estimated_work_core_s = work_core_s * error_factor * team.estimate_factor;
            statements.push(Statement {
                arrives_at,
                team: team_index,
                workload,
                table_group,
                work_core_s,
                estimated_work_core_s,
                latency_objective,
            });
        }
    }
}
