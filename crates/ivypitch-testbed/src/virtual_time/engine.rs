//! An engine as a value in virtual time: queries share its cores by priority, get slower together beyond a level of
//! threads, read warm table groups faster, and draw bad plans now and then. It can start cold, be full, stall, fail
//! and die. Its constants are the laboratory's own.

use std::collections::VecDeque;

use ivypitch_types::{Nanos, SECOND};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Threads a core up to which work done rises, and what more of them cost.
const KNEE: f64 = 1.8;
const THRASH: f64 = 0.6;
/// Shares of cores by priority, 0 to 3.
const WEIGHTS: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// Table groups that stay warm, and what of its work a query on one of them saves.
const WARM_GROUPS: usize = 4;
const WARM_GAIN: f64 = 0.3;
const BAD_PLAN: std::ops::Range<f64> = 5.0..15.0;

#[derive(Clone, Debug)]
pub struct EngineConfig {
    pub cores: f64,
    /// Queries at once; more are refused as full.
    pub max_queries: usize,
    /// Part of queries with a bad plan, and of those that end in an error.
    pub bad_plan_fraction: f64,
    pub error_fraction: f64,
    /// A new process begins at this part of its speed and takes so long to be warm.
    pub cold_speed_fraction: f64,
    pub warm_up_duration: Nanos,
}

impl Default for EngineConfig {
    fn default() -> Self {
        EngineConfig {
            cores: 8.0,
            max_queries: 200,
            bad_plan_fraction: 0.0,
            error_fraction: 0.0,
            cold_speed_fraction: 0.4,
            warm_up_duration: 10 * SECOND,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Query {
    pub id: u64,
    /// Core-seconds of all its threads on a warm engine with this group cold.
    pub work_core_s: f64,
    pub threads: f64,
    pub priority: u8,
    pub table_group: u32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QueryEnd {
    /// With its true work in core-seconds.
    Completed(f64),
    Error,
}

struct Running {
    query: Query,
    left: f64,
    true_work: f64,
    rate: f64,
    fails: bool,
}

pub struct Engine {
    model: EngineConfig,
    running: Vec<Running>,
    /// The newest last.
    warm: VecDeque<u32>,
    at: Nanos,
    started: Nanos,
    stalled_until: Nanos,
    rng: ChaCha8Rng,
    /// Core-seconds done, of queries that ended well and of others.
    pub useful_core_s: f64,
    pub wasted_core_s: f64,
}

impl Engine {
    pub fn new(model: EngineConfig, rng: ChaCha8Rng, started: Nanos) -> Engine {
        Engine {
            model,
            running: Vec::new(),
            warm: VecDeque::new(),
            at: started,
            started,
            stalled_until: 0,
            rng,
            useful_core_s: 0.0,
            wasted_core_s: 0.0,
        }
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn has_query(&self, id: u64) -> bool {
        self.running.iter().any(|r| r.query.id == id)
    }

    pub fn cores(&self) -> f64 {
        self.model.cores
    }

    /// Nothing moves until then.
    pub fn stall(&mut self, until: Nanos) {
        self.stalled_until = until;
    }

    /// The process dies, and a new one begins cold; what ran is lost and told.
    pub fn restart(&mut self, now: Nanos) -> Vec<u64> {
        self.advance_to(now);
        self.started = now;
        self.warm.clear();
        let lost: Vec<u64> = self.running.iter().map(|r| r.query.id).collect();
        self.wasted_core_s += self
            .running
            .iter()
            .map(|r| r.true_work - r.left)
            .sum::<f64>();
        self.running.clear();
        lost
    }

    /// False: full, it never ran.
    pub fn start(&mut self, now: Nanos, query: Query) -> bool {
        self.advance_to(now);
        if self.running.len() >= self.model.max_queries || self.has_query(query.id) {
            return false;
        }
        let warm = self.warm.contains(&query.table_group);
        self.warm.retain(|&group| group != query.table_group);
        self.warm.push_back(query.table_group);
        if self.warm.len() > WARM_GROUPS {
            self.warm.pop_front();
        }
        let bad = self.rng.random_bool(self.model.bad_plan_fraction);
        let times = if bad {
            self.rng.random_range(BAD_PLAN)
        } else {
            1.0
        };
        let true_work = query.work_core_s * times * if warm { 1.0 - WARM_GAIN } else { 1.0 };
        let fails = self.rng.random_bool(self.model.error_fraction);
        self.running.push(Running {
            query,
            left: true_work,
            true_work,
            rate: 0.0,
            fails,
        });
        self.allocate_cores();
        true
    }

    pub fn cancel(&mut self, now: Nanos, id: u64) {
        self.advance_to(now);
        if let Some(ix) = self.running.iter().position(|r| r.query.id == id) {
            let gone = self.running.swap_remove(ix);
            self.wasted_core_s += gone.true_work - gone.left;
        }
        self.allocate_cores();
    }

    pub fn set_priority(&mut self, now: Nanos, id: u64, priority: u8) {
        self.advance_to(now);
        for running in self.running.iter_mut().filter(|r| r.query.id == id) {
            running.query.priority = priority;
        }
        self.allocate_cores();
    }

    /// What has ended by now.
    pub fn take_ended(&mut self, now: Nanos) -> Vec<(u64, QueryEnd)> {
        self.advance_to(now);
        let mut ended = Vec::new();
        self.running.retain(|r| {
            if r.left > 1e-9 {
                return true;
            }
            ended.push((r.query.id, r.true_work, r.fails));
            false
        });
        if !ended.is_empty() {
            self.allocate_cores();
        }
        let mut told = Vec::new();
        for (id, work, fails) in ended {
            if fails {
                self.wasted_core_s += work;
                told.push((id, QueryEnd::Error));
            } else {
                self.useful_core_s += work;
                told.push((id, QueryEnd::Completed(work)));
            }
        }
        told
    }

    /// When the next query ends, as things stand.
    pub fn next_end(&self) -> Option<Nanos> {
        let soonest = self
            .running
            .iter()
            .filter(|r| r.rate > 0.0)
            .map(|r| r.left / r.rate);
        let soonest = soonest.min_by(f64::total_cmp)?;
        Some(self.at.max(self.stalled_until) + (soonest.max(0.0) * 1e9) as Nanos + 1)
    }

    /// Moves work on; ends are taken out by [`Engine::take_ended`] alone.
    fn advance_to(&mut self, now: Nanos) {
        let from = self.at.max(self.stalled_until.min(now));
        let span = now.saturating_sub(from) as f64 / 1e9;
        self.at = self.at.max(now);
        for running in &mut self.running {
            running.left = (running.left - running.rate * span).max(0.0);
        }
        if self.at < self.started + self.model.warm_up_duration {
            self.allocate_cores();
        }
    }

    fn speed(&self) -> f64 {
        if self.started == 0 || self.model.warm_up_duration == 0 {
            return 1.0;
        }
        let age = (self.at - self.started) as f64 / self.model.warm_up_duration as f64;
        (self.model.cold_speed_fraction + (1.0 - self.model.cold_speed_fraction) * age).min(1.0)
    }

    /// Cores go to queries by priority and threads; nobody gets more than a core a thread, and what that leaves
    /// goes to the others.
    fn allocate_cores(&mut self) {
        let threads: f64 = self.running.iter().map(|r| r.query.threads).sum();
        let crowd = (threads / self.model.cores / KNEE - 1.0).max(0.0);
        let speed = self.speed();
        let mut left = self.model.cores * speed / (1.0 + THRASH * crowd);
        let weight = |r: &Running| WEIGHTS[usize::from(r.query.priority.min(3))] * r.query.threads;
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        // Those that are bound by their threads first: highest weight a thread.
        order.sort_by_key(|&i| std::cmp::Reverse(self.running[i].query.priority));
        let mut weights: f64 = self.running.iter().map(weight).sum();
        for i in order {
            let running = &self.running[i];
            let own = weight(running);
            let rate = (left * own / weights.max(1e-9)).min(running.query.threads * speed);
            left -= rate;
            weights -= own;
            self.running[i].rate = rate;
        }
    }
}
