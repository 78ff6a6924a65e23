//! Who asks for what: workloads, teams, and when their statements come, by a seed. Arrivals don't wait for answers.

use ivypitch_scheduler::Idempotency;
use ivypitch_types::{Nanos, SECOND};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

#[derive(Clone, Debug)]
pub struct Work {
    pub name: &'static str,
    pub priority_weight: f64,
    pub slo: Nanos,
    /// The SLO time grows by this multiple of work over threads.
    pub stretch: f64,
    pub timeout: Nanos,
    pub effect: Idempotency,
    pub threads: f64,
    /// Mean core-seconds, and the coefficient of variation.
    pub work: f64,
    pub scatter: f64,
    /// Part of the statements.
    pub part: f64,
}

/// Lookups, reports and loads; `scale` shortens all alike.
pub fn workloads(scale: f64) -> Vec<Work> {
    let s = |seconds: f64| (seconds * scale * SECOND as f64) as Nanos;
    vec![
        Work {
            name: "lookup",
            priority_weight: 1.0,
            slo: s(0.8),
            stretch: 2.0,
            timeout: s(4.0),
            effect: Idempotency::Idempotent,
            threads: 1.0,
            work: 0.14 * scale,
            scatter: 1.0,
            part: 13.0,
        },
        Work {
            name: "report",
            priority_weight: 8.0,
            slo: s(3.0),
            stretch: 2.5,
            timeout: s(25.0),
            effect: Idempotency::Idempotent,
            threads: 2.0,
            work: 4.0 * scale,
            scatter: 1.2,
            part: 2.5,
        },
        Work {
            name: "load",
            priority_weight: 8.0,
            slo: s(4.0),
            stretch: 2.5,
            timeout: s(25.0),
            effect: Idempotency::NonIdempotent,
            threads: 2.0,
            work: 2.2 * scale,
            scatter: 0.6,
            part: 0.9,
        },
    ]
}

/// How a team's traffic goes beyond its usual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Flood {
    None,
    /// So many times its rate from a time on until another.
    Step {
        times: f64,
        from: Nanos,
        until: Nanos,
    },
    /// Rising to that over the whole time.
    Ramp {
        times: f64,
        from: Nanos,
        until: Nanos,
    },
    /// That for 200 ms in each second.
    Pulses {
        times: f64,
        from: Nanos,
        until: Nanos,
    },
}

impl Flood {
    fn times(self, at: Nanos) -> f64 {
        match self {
            Flood::Step { times, from, until } if (from..until).contains(&at) => times,
            Flood::Ramp { times, from, until } if (from..until).contains(&at) => {
                1.0 + (times - 1.0) * (at - from) as f64 / (until - from) as f64
            }
            Flood::Pulses { times, from, until }
                if (from..until).contains(&at) && (at - from) % SECOND < SECOND / 5 =>
            {
                times
            }
            _ => 1.0,
        }
    }

    fn most(self) -> f64 {
        match self {
            Flood::None => 1.0,
            Flood::Step { times, .. } | Flood::Ramp { times, .. } | Flood::Pulses { times, .. } => {
                times
            }
        }
    }
}

#[derive(Clone, Debug)]
pub struct Team {
    pub name: String,
    /// Core-seconds a second that it usually asks for.
    pub demand: f64,
    pub flood: Flood,
    /// What it says its statements cost, against what they do; 0: says nothing.
    pub tells: f64,
}

#[derive(Clone, Debug)]
pub struct Statement {
    pub at: Nanos,
    pub team: usize,
    pub workload: usize,
    pub group: u32,
    /// Core-seconds.
    pub work: f64,
    pub told_work: f64,
    pub slo: Nanos,
}

/// Several for each engine at the largest size, or few engines would have all the work.
const GROUPS: u32 = 240;
/// Told estimates scatter by so much.
const TOLD_SCATTER: f64 = 0.3;

/// All statements of a time, in the order of their coming. A team's usual ones are the same whether it floods or
/// not, and whatever others do.
pub fn statements(works: &[Work], teams: &[Team], span: Nanos, seed: u64) -> Vec<Statement> {
    let parts: f64 = works.iter().map(|w| w.part).sum();
    let mean: f64 = works.iter().map(|w| w.work * w.part / parts).sum();
    let mut all = Vec::new();
    for (t, team) in teams.iter().enumerate() {
        let mut rng =
            ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(t as u64));
        let mut extra =
            ChaCha8Rng::seed_from_u64(seed.wrapping_mul(7_000_003).wrapping_add(t as u64));
        let rate = team.demand / mean;
        draw(works, team, t, rate, span, &mut rng, &mut all, |_| 1.0);
        if team.flood != Flood::None {
            let most = team.flood.most() - 1.0;
            draw(
                works,
                team,
                t,
                rate * most,
                span,
                &mut extra,
                &mut all,
                |at| (team.flood.times(at) - 1.0) / most,
            );
        }
    }
    all.sort_by_key(|s| (s.at, s.team));
    all
}

#[expect(clippy::too_many_arguments)]
fn draw(
    works: &[Work],
    team: &Team,
    t: usize,
    rate: f64,
    span: Nanos,
    rng: &mut ChaCha8Rng,
    all: &mut Vec<Statement>,
    kept: impl Fn(Nanos) -> f64,
) {
    let Ok(gap) = Exp::new(rate) else { return };
    let parts: f64 = works.iter().map(|w| w.part).sum();
    let mut at = 0.0;
    loop {
        at += gap.sample(rng);
        let when = (at * 1e9) as Nanos;
        if when >= span {
            return;
        }
        let mut pick = rng.random_range(0.0..parts);
        let workload = works
            .iter()
            .position(|w| {
                pick -= w.part;
                pick < 0.0
            })
            .unwrap_or(0);
        let w = &works[workload];
        let sigma2 = (1.0 + w.scatter * w.scatter).ln();
        let lognormal = LogNormal::new(w.work.ln() - sigma2 / 2.0, sigma2.sqrt());
        let work = lognormal.map_or(w.work, |d| d.sample(rng));
        let told = LogNormal::new(0.0, TOLD_SCATTER).map_or(1.0, |d| d.sample(rng));
        let group = rng.random_range(0..GROUPS).min(rng.random_range(0..GROUPS));
        if rng.random_bool(kept(when).clamp(0.0, 1.0)) {
            let slo = w.slo + (w.stretch * work / w.threads * 1e9) as Nanos;
            let told_work = work * told * team.tells;
            all.push(Statement {
                at: when,
                team: t,
                workload,
                group,
                work,
                told_work,
                slo,
            });
        }
    }
}
