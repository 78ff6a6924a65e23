//! Who asks for what: workloads, teams, and when their statements come, by a seed. Arrivals don't wait for answers.

use ivypitch_scheduler::Idempotency;
use ivypitch_types::{Nanos, SECOND};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

#[derive(Clone, Debug)]
pub struct WorkloadParams {
    pub name: &'static str,
    pub priority_weight: f64,
    pub latency_objective: Nanos,
    /// The SLO time grows by this multiple of work over threads.
    pub latency_objective_stretch: f64,
    pub timeout: Nanos,
    pub idempotency: Idempotency,
    pub threads: f64,
    /// Mean core-seconds, and the coefficient of variation.
    pub mean_work_core_s: f64,
    pub work_variation: f64,
    /// Part of the statements.
    pub statement_weight: f64,
}

/// Lookups, reports and loads; `scale` shortens all alike.
pub fn workloads(scale: f64) -> Vec<WorkloadParams> {
    let s = |seconds: f64| (seconds * scale * SECOND as f64) as Nanos;
    vec![
        WorkloadParams {
            name: "lookup",
            priority_weight: 1.0,
            latency_objective: s(0.8),
            latency_objective_stretch: 2.0,
            timeout: s(4.0),
            idempotency: Idempotency::Idempotent,
            threads: 1.0,
            mean_work_core_s: 0.14 * scale,
            work_variation: 1.0,
            statement_weight: 13.0,
        },
        WorkloadParams {
            name: "report",
            priority_weight: 8.0,
            latency_objective: s(3.0),
            latency_objective_stretch: 2.5,
            timeout: s(25.0),
            idempotency: Idempotency::Idempotent,
            threads: 2.0,
            mean_work_core_s: 4.0 * scale,
            work_variation: 1.2,
            statement_weight: 2.5,
        },
        WorkloadParams {
            name: "load",
            priority_weight: 8.0,
            latency_objective: s(4.0),
            latency_objective_stretch: 2.5,
            timeout: s(25.0),
            idempotency: Idempotency::NonIdempotent,
            threads: 2.0,
            mean_work_core_s: 2.2 * scale,
            work_variation: 0.6,
            statement_weight: 0.9,
        },
    ]
}

/// How a team's traffic goes beyond its usual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Flood {
    None,
    /// So many times its rate from a time on until another.
    Step {
        rate_factor: f64,
        from: Nanos,
        until: Nanos,
    },
    /// Rising to that over the whole time.
    Ramp {
        rate_factor: f64,
        from: Nanos,
        until: Nanos,
    },
    /// That for 200 ms in each second.
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

#[derive(Clone, Debug)]
pub struct Team {
    pub name: String,
    /// Core-seconds a second that it usually asks for.
    pub demand_cores: f64,
    pub flood: Flood,
    /// What it says its statements cost, against what they do; 0: says nothing.
    pub estimate_factor: f64,
}

#[derive(Clone, Debug)]
pub struct Statement {
    pub arrives_at: Nanos,
    pub team: usize,
    pub workload: usize,
    pub table_group: u32,
    /// Core-seconds.
    pub work_core_s: f64,
    pub estimated_work_core_s: f64,
    pub latency_objective: Nanos,
}

/// Several for each engine at the largest size, or few engines would have all the work.
const GROUPS: u32 = 240;
/// Told estimates scatter by so much.
const TOLD_SCATTER: f64 = 0.3;

/// All statements of a time, in the order of their coming. A team's usual ones are the same whether it floods or
/// not, and whatever others do.
pub fn draw_statements(
    works: &[WorkloadParams],
    teams: &[Team],
    span: Nanos,
    seed: u64,
) -> Vec<Statement> {
    let parts: f64 = works.iter().map(|w| w.statement_weight).sum();
    let mean: f64 = works
        .iter()
        .map(|w| w.mean_work_core_s * w.statement_weight / parts)
        .sum();
    let mut all = Vec::new();
    for (t, team) in teams.iter().enumerate() {
        let mut rng =
            ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(t as u64));
        let mut extra =
            ChaCha8Rng::seed_from_u64(seed.wrapping_mul(7_000_003).wrapping_add(t as u64));
        let rate = team.demand_cores / mean;
        draw(works, team, t, rate, span, &mut rng, &mut all, |_| 1.0);
        if team.flood != Flood::None {
            let max_extra = team.flood.max_rate_factor() - 1.0;
            draw(
                works,
                team,
                t,
                rate * max_extra,
                span,
                &mut extra,
                &mut all,
                |at| (team.flood.rate_factor(at) - 1.0) / max_extra,
            );
        }
    }
    all.sort_by_key(|s| (s.arrives_at, s.team));
    all
}

#[expect(clippy::too_many_arguments)]
fn draw(
    works: &[WorkloadParams],
    team: &Team,
    t: usize,
    rate: f64,
    span: Nanos,
    rng: &mut ChaCha8Rng,
    all: &mut Vec<Statement>,
    keep_probability: impl Fn(Nanos) -> f64,
) {
    let Ok(gap) = Exp::new(rate) else { return };
    let parts: f64 = works.iter().map(|w| w.statement_weight).sum();
    let mut at_s = 0.0;
    loop {
        at_s += gap.sample(rng);
        let arrives_at = (at_s * 1e9) as Nanos;
        if arrives_at >= span {
            return;
        }
        let mut pick = rng.random_range(0.0..parts);
        let workload = works
            .iter()
            .position(|w| {
                pick -= w.statement_weight;
                pick < 0.0
            })
            .unwrap_or(0);
        let params = &works[workload];
        let sigma2 = (1.0 + params.work_variation * params.work_variation).ln();
        let lognormal = LogNormal::new(params.mean_work_core_s.ln() - sigma2 / 2.0, sigma2.sqrt());
        let work_core_s = lognormal.map_or(params.mean_work_core_s, |d| d.sample(rng));
        let error_factor = LogNormal::new(0.0, TOLD_SCATTER).map_or(1.0, |d| d.sample(rng));
        let table_group = rng.random_range(0..GROUPS).min(rng.random_range(0..GROUPS));
        if rng.random_bool(keep_probability(arrives_at).clamp(0.0, 1.0)) {
            let latency_objective = params.latency_objective
                + (params.latency_objective_stretch * work_core_s / params.threads * 1e9) as Nanos;
            let estimated_work_core_s = work_core_s * error_factor * team.estimate_factor;
            all.push(Statement {
                arrives_at,
                team: t,
                workload,
                table_group,
                work_core_s,
                estimated_work_core_s,
                latency_objective,
            });
        }
    }
}
