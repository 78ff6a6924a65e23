//! All decisions of one gateway: where a statement runs, when it waits, runs again, is rejected or aborted.
//! One call for each thing that happens, with its time; it acts through [`Output`] before it returns. The
//! ordinary path is BEMA (`docs/design.md`): `pick`, `send`. Departures: `room`, `has_place`, `ask_first`,
//! `cores_left` (load), `judge`, `listen`, `noted` (health). `permitted` is the gate for the seven rules.

use crate::interface::*;
use crate::state::*;
use crate::units::*;
use ivypitch_types::{
    EngineIndex, Nanos, Outcome, SECOND, StatementIndex, nanos_from_secs, secs_from_nanos,
    unit_hash,
};
use std::collections::{BTreeMap, VecDeque};

/// How far the winner's EMA point moves towards the query point (the paper's best is near 0.1).
const ALPHA: f64 = 0.1;
/// N: how many of the own last sends count as load, for each engine that they go to.
const RECENT_SENDS: usize = 9;
/// The subset: engines that own statements make heard of so often while a report is fresh, no more than the
/// cost of a statement allows; the fewest leave a choice where some are bad, the holders even out the load.
const HEARD: f64 = 2.0;
const MOST_KEPT: f64 = 80.0;
const FEWEST_KEPT: f64 = 5.0;
const HOLDERS: f64 = 7.0;
const MOST_PART: f64 = 0.25;
/// Where it has no room it widens so many times, past no more than so many times that may not be sent to.
const WIDENS: usize = 2;
const LOOKS: usize = 4;
/// Half the side of the square around a group's point in which query points lie; the plane's side is 1.
const OFFSET: f64 = 0.04;
/// Distance counts at least this part of the plane's side.
const FLOOR: f64 = 0.1;
/// Threads per core that the long, the short and all workloads may hold on an engine under pressure.
const LONG_BOUND: f64 = 3.0;
const SHORT_BOUND: f64 = 3.5;
const TOTAL_BOUND: f64 = 3.5;
/// Under pressure these are full up to this part of a workload's usual work, then narrow as it grows to this.
const WORTH_FULL: f64 = 0.6;
const WORTH_LEAST: f64 = 0.3;
/// What is left of these bounds for a customer's statements beyond its share.
const OVER_SHARE_BOUND: f64 = 0.2;
/// A workload is long when its SLO time is this many times the shortest of the deployment.
const LONG_SLO: u64 = 2;
/// Pressure lasts this long after its last sign.
const PRESSURE_HOLD: Nanos = SECOND / 2;
/// Signs of pressure: latency against its best, reported CPU and memory, and threads per core.
const FAR_ABOVE_BEST: f64 = 3.0;
const BUSY: f64 = 0.93;
const BUSY_THREADS: f64 = 1.4;
/// Others' threads count so many times, since reports are late.
const LATE: f64 = 1.4;
const REPORT_FRESH: Nanos = SECOND * 3 / 10;
/// A statement waits for room this part of its SLO time, the work counted in.
const WAIT_PART: f64 = 0.4;
/// Loads hold one table group on no more than this part of the engines, so that its readers find room.
const MOST_HELD: f64 = 0.65;
/// An engine is judged by so many outcomes, none older than so, and stands well with this part successes.
const LAST_FEW: usize = 8;
const EVIDENCE_AGE: Nanos = SECOND * 10;
const FEWEST_SUCCESSES: f64 = 0.375;
/// A suspected engine is tried again, a silent one asked again, a full one used again after so long.
const TRIAL_GAP: Nanos = SECOND;
/// At most one of so many own sends is a trial.
const SENDS_PER_TRIAL: u32 = 16;
/// No more than this part of the engines open to it are left out as suspected.
const MOST_SUSPECTED: f64 = 0.5;
/// An execution is lost with no word for so many times its usual time, or 1.5 paces of notes; at least this.
const LOST: f64 = 3.0;
const LEAST_PATIENCE: Nanos = SECOND * 6 / 10;
/// A plan is bad when its projected time is this many times what its work should take.
const BAD_PLAN: f64 = 2.5;
/// Part of a cold engine's cores that its budget counts, and of an even pace at which it grows.
const COLD_SAFETY: f64 = 0.85;
const COLD_GROWTH: f64 = 0.7;
/// A customer may run ahead of its allowance by this many seconds of it.
const ALLOWANCE_BURST_S: f64 = 1.5;
/// Memory: the first factor on estimates, its step at a spill, spills wanted for each without, its upper end.
const ENGINES_OWN_FACTOR: f64 = 1.25;
const MEMORY_STEP: f64 = 0.2;
const SPILLS_WANTED: f64 = 0.12;
const MOST_MEMORY_FACTOR: f64 = 4.0;
/// Smoothing of what is learned of workloads and engines, and of what is asked for, by statement.
const LEARN: f64 = 0.05;
const DEMAND_LEARN: f64 = 0.01;
/// An engine counts at least this part of its cores.
const LEAST_LEFT: f64 = 0.3;
const MANY_WAITING: usize = 8;
/// This part of the places for statements is for all, the last for those that earn so many times the usual.
const PLACES_FREE: f64 = 0.95;
const EARNS_FULL: f64 = 1.4;
/// Further executions by own doubt, where no rule bounds them: if more seem lost or bad, all are slow.
const OWN_BUDGET: RetryBudget = RetryBudget {
    window: SECOND * 5,
    free: 5.0,
    per_statement: 0.3,
};
const HOUSEKEEPING: Nanos = SECOND / 100;
/// A long statement asks its engine first, where no report is fresh: so long, and no more than so many.
const ASK_WAIT: Nanos = SECOND * 3 / 100;
const ASKS: usize = 2;
const MARK_HOUSEKEEPING: u64 = 0;
const MARK_ASK: u64 = 1;

#[derive(Clone, Copy, PartialEq, Eq, Default)]
enum Stage {
    /// In its workload's queue, no execution out.
    #[default]
    Waiting,
    Running,
    /// Its execution was withdrawn; what came of it is not known yet.
    Withdrawing,
    /// The client has begun to get the answer.
    Streaming,
    /// It has its final answer; an execution may still be out.
    Answered,
}

#[derive(Clone, Copy, PartialEq)]
enum Act {
    Send(EngineIndex),
    /// The first byte of an execution that is out leaves.
    Begin(EngineIndex),
    Reject,
    Abort,
}

struct Attempt {
    engine: EngineIndex,
    since: Nanos,
    number: u32,
    cold_cost: f64,
    /// The last word of it; far in the future once it is taken for lost.
    word: Nanos,
}

#[derive(Default)]
struct Stmt {
    wlm: usize,
    key: u64,
    group: u32,
    point: [f64; 2],
    deadline: Nanos,
    /// Work of all threads in seconds, as far as it can be told, and its workload's usual.
    work: f64,
    cold_work: f64,
    estimated_mb: f64,
    spilled: bool,
    priority_weight: f64,
    stage: Stage,
    attempts: u32,
    unsent: u32,
    errors: u32,
    out: Option<Attempt>,
    /// Of the first execution that may have run.
    may_have_run: Option<(EngineIndex, Nanos)>,
    wait_until: Nanos,
    asks: usize,
}

#[derive(Default)]
struct WorkloadRow {
    long: bool,
    /// Smoothed: estimates, work where it is told, time taken against the time its work should take.
    estimate: f64,
    told_work: f64,
    slowness: f64,
    /// Memory to grant for each MB estimated: enough for most.
    memory_factor: f64,
    /// Work asked for, smoothed, and the cores of the ready engines open to it.
    demand: f64,
    open_cores: f64,
    /// Those engines; how many of them are this gateway's subset, and how many gateways hold each.
    open: OpenEngines,
    kept: usize,
    holders: f64,
    out: u32,
    /// Emptied as statements are sent or answered.
    queue: Vec<StatementIndex>,
}

#[derive(Default)]
struct Engine {
    row: EngineEndpoint,
    listed: bool,
    key: Key,
    ema_point: [f64; 2],
    /// Own executions out there and their threads, of short and of long workloads.
    out: u32,
    threads: [f64; 2],
    others: f64,
    reported_at: Nanos,
    /// When it was asked for a report that has not come.
    asked: Option<Nanos>,
    failing: bool,
    /// All gateways together leave it out, and whether this one tries it now.
    shunned: bool,
    may_try: bool,
    /// The last few outcomes; the oldest leaves as one comes.
    outcomes: VecDeque<(Nanos, bool)>,
    next_trial: Nanos,
    /// Time taken against the time the work should take, smoothed, and the least of it.
    slowness: f64,
    best: f64,
    pressure_until: Nanos,
    full_until: Nanos,
    /// Its number among the own last N sends.
    recent: usize,
    /// Work sent there; entries leave with the overload window.
    sends: Window,
}

#[derive(Default)]
pub struct Scheduler {
    facts: Deployment,
    seed: u64,
    chances: u64,
    /// By index; a place is emptied by `forget_if_over`.
    stmts: Vec<Option<Stmt>>,
    wlms: Vec<WorkloadRow>,
    /// By index; one that nothing names is given to another engine.
    engines: Vec<Engine>,
    /// Engine and table group of the own last N sends; the oldest leaves as one comes.
    recent: VecDeque<(EngineIndex, u32)>,
    keys: BTreeMap<u64, KeyLine>,
    loads: Loads,
    /// Times within the budget's window; older ones are dropped at each use.
    budget: RetryBudget,
    taken: Window,
    further: Window,
    allowances: Vec<Allowance>,
    /// This gateway's part of each allowance: an even one, or what it holds where gateways share.
    parts: Vec<f64>,
    loads_block_others: bool,
    dispatched: Nanos,
    in_hand: usize,
    /// How many engines the own sends go to.
    spread: usize,
    /// Importance of a statement, smoothed, and its work, which is never taken for less than settings tell.
    priority_weight: f64,
    mean_work: f64,
    lightest: f64,
    started: Nanos,
    listed: usize,
    /// Part of the reports that show pressure, smoothed.
    pressed: f64,
    /// Own sends since one was a trial.
    since_trial: u32,
    wake_is_set: bool,
}

impl Scheduler {
    pub fn new(mut facts: Deployment, seed: u64, now: Nanos) -> Self {
        facts.gateways = facts.gateways.max(1);
        let least_slo = facts
            .workloads
            .iter()
            .map(|w| w.latency_objective)
            .min()
            .unwrap_or(0);
        let row = |w: &Workload| WorkloadRow {
            long: w.latency_objective >= LONG_SLO * least_slo.max(1),
            estimate: secs_from_nanos(w.latency_objective) / 3.0,
            told_work: secs_from_nanos(w.latency_objective) / 3.0,
            slowness: 1.5,
            memory_factor: ENGINES_OWN_FACTOR,
            ..WorkloadRow::default()
        };
        let work = |w: &Workload| secs_from_nanos(w.latency_objective) * w.threads.max(1.0);
        let lightest = facts
            .workloads
            .iter()
            .map(work)
            .fold(1e6, f64::min)
            .max(1e-3);
        let burst = |c: &Tenant| Allowance {
            left: c.quota_per_second * ALLOWANCE_BURST_S,
            at: now,
        };
        Scheduler {
            wlms: facts.workloads.iter().map(row).collect(),
            allowances: facts.tenants.iter().map(burst).collect(),
            parts: vec![1.0 / facts.gateways as f64; facts.tenants.len()],
            loads_block_others: facts.workloads.iter().any(|w| w.waits_for_bulk_loads),
            mean_work: lightest,
            lightest,
            started: now,
            budget: facts.retry_budget.clone().unwrap_or(OWN_BUDGET),
            facts,
            seed,
            since_trial: SENDS_PER_TRIAL,
            ..Scheduler::default()
        }
    }

    pub fn start(&mut self, _now: Nanos, out: &mut dyn Output) {
        self.facts.must_ask_for_list.then(|| out.watch_endpoints());
    }

    pub fn on_endpoints_updated(
        &mut self,
        now: Nanos,
        kind: EndpointUpdateKind,
        rows: &[EngineEndpoint],
        out: &mut dyn Output,
    ) {
        if kind != EndpointUpdateKind::Delta {
            let told = indices(rows, self.engines.len());
            (0..told.len())
                .filter(|&at| !told[at])
                .for_each(|at| self.enlist(at, false));
        }
        for row in rows {
            let at = row.engine.0;
            self.engines
                .resize_with(self.engines.len().max(at + 1), Engine::default);
            if self.engines[at].row.id != row.id || self.engines[at].row.engine != row.engine {
                self.enlist(at, false);
                let key = Key::new(row.id, self.facts.me, self.facts.gateways, row.engine);
                self.engines[at] = Engine {
                    row: *row,
                    key,
                    best: f64::MAX,
                    ..Engine::default()
                };
            }
            let engine = &mut self.engines[at];
            (!engine.listed).then(|| engine.ema_point = point_of(row.id));
            if row.started_at > engine.row.started_at {
                // A restarted process has none of the old one's faults, nor its executions' answers to come.
                engine.outcomes.clear();
                engine.turn(false, "restarted", 0.0, out);
            }
            let open = |row: &EngineEndpoint| (row.phase, row.zone, row.kind);
            let stays = engine.listed && open(&engine.row) == open(row);
            (!stays).then(|| self.enlist(at, false));
            self.engines[at].row = *row;
            (!stays).then(|| self.enlist(at, row.phase != EngineState::Gone));
        }
        self.narrow(now);
        self.dispatch(now, out);
    }

    /// The one place where an engine comes to what is open to workloads, and leaves it.
    fn enlist(&mut self, at: usize, listed: bool) {
        let engine = &mut self.engines[at];
        self.listed = self.listed + usize::from(listed) - usize::from(engine.listed);
        engine.listed = listed;
        let (row, key, ready) = (engine.row, engine.key, engine.ready());
        for (wlm, _) in self
            .wlms
            .iter_mut()
            .zip(&self.facts.workloads)
            .filter(|(_, f)| placed(f, &row))
        {
            if ready {
                wlm.open.enter(key, row.kind)
            } else {
                wlm.open.leave(key, row.kind)
            }
        }
    }

    /// The subset of each workload's engines, by place: those that own traffic keeps heard of. Guards against
    /// traffic so thin that no report is fresh. Hurts where what few engines have warm is in few subsets.
    fn narrow(&mut self, now: Nanos) {
        let span = now
            .saturating_sub(self.started)
            .clamp(SECOND, self.budget.window.max(SECOND));
        let arrivals = self.taken.count_since(now - span.min(now)) as f64;
        let heard = arrivals / secs_from_nanos(span) * secs_from_nanos(REPORT_FRESH) / HEARD;
        for row in &mut self.wlms {
            row.open_cores = row.open.cores(&self.facts.kinds).max(1.0);
            let open = row.open.len() as f64;
            let fewest = FEWEST_KEPT.max(HOLDERS * open / self.facts.gateways as f64);
            let kept = heard.min(MOST_KEPT).max(fewest).ceil();
            // More than a part gains little, and table groups have their homes in all.
            let kept = if kept > MOST_PART * open { open } else { kept };
            (row.kept, row.holders) = (
                kept as usize,
                self.facts.gateways as f64 * kept / open.max(1.0),
            );
        }
        let narrowed = self
            .wlms
            .iter()
            .filter(|row| row.kept < row.open.len())
            .map(|row| row.kept);
        self.spread = narrowed.max().unwrap_or(self.listed);
    }

    /// Asks the rules once more as an execution begins to leave; windows count from then. Refused: unsent.
    pub fn confirm_send(&mut self, now: Nanos, ix: StatementIndex, attempt: u32) -> bool {
        let stmt = self
            .stmts
            .get(ix.0)
            .and_then(Option::as_ref)
            .filter(|stmt| stmt.stage == Stage::Running);
        let out = stmt
            .and_then(|stmt| stmt.out.as_ref())
            .filter(|e| e.number == attempt);
        let Some(&Attempt {
            engine: to,
            since,
            cold_cost: cost,
            ..
        }) = out
        else {
            return false;
        };
        let permitted = self.permitted(now, ix, Act::Begin(to));
        if permitted {
            let (sent, further) = self.uncount(ix, to, (since, cost));
            sent.then(|| self.engines[to.0].sends.push(now, cost));
            further.then(|| self.further.push(now, 0.0));
        }
        permitted
    }

    /// Takes a send out of its engine's window, and out of the budget's: whether it was there.
    fn uncount(
        &mut self,
        ix: StatementIndex,
        to: EngineIndex,
        (at, cost): (Nanos, f64),
    ) -> (bool, bool) {
        let again = self.stmts[ix.0]
            .as_ref()
            .is_some_and(|stmt| stmt.sent() > 1);
        (
            self.engines[to.0].sends.take(at, cost),
            again && self.further.take(at, 0.0),
        )
    }

    /// What all gateways together say of an engine. One that others found well again is judged anew.
    pub fn on_outlier_status(
        &mut self,
        ix: EngineIndex,
        advice: OutlierStatus,
        out: &mut dyn Output,
    ) {
        let Some(engine) = self.engines.get_mut(ix.0) else {
            return;
        };
        (engine.shunned, engine.may_try) = (advice.is_out, advice.tries);
        if advice.is_well {
            engine.outcomes.clear();
            engine.turn(false, "well with others", 1.0, out);
        }
    }

    pub fn set_quota_share(&mut self, tenant: usize, part: f64) {
        self.parts
            .get_mut(tenant)
            .into_iter()
            .for_each(|held| *held = part);
    }

    /// Something hangs on this engine; else its index may stand for another.
    pub fn is_engine_referenced(&self, ix: EngineIndex) -> bool {
        let ran_there = |s: &Stmt| s.may_have_run.is_some_and(|(first, _)| first == ix);
        self.engines
            .get(ix.0)
            .is_some_and(|e| e.listed || e.out > 0 || e.recent > 0)
            || self.stmts.iter().flatten().any(ran_there)
    }

    pub fn on_endpoint_watch_failed(&mut self, _now: Nanos, out: &mut dyn Output) {
        out.set_timer(
            MARK_ASK,
            TRIAL_GAP + (self.chance() * TRIAL_GAP as f64) as Nanos,
        );
    }

    pub fn on_load_report(
        &mut self,
        now: Nanos,
        ix: EngineIndex,
        report: &[f32],
        out: &mut dyn Output,
    ) {
        self.read_report(now, ix, report);
        self.dispatch(now, out);
    }

    /// A peer tells where a load of its own begins or ends: `load_tag` times two, plus one at its begin.
    pub fn on_peer_message(&mut self, now: Nanos, bytes: &[u8]) {
        let Ok(word) = bytes.try_into().map(u32::from_le_bytes) else {
            return;
        };
        self.note_load(now, word >> 1, word & 1 == 1);
    }

    fn load_moves(
        &mut self,
        now: Nanos,
        engine: EngineIndex,
        group: u32,
        begins: bool,
        out: &mut dyn Output,
    ) {
        let tag = load_tag(self.engines[engine.0].row.id, group);
        self.note_load(now, tag, begins);
        if self.facts.may_publish && self.facts.gateways > 1 {
            out.broadcast(&(tag << 1 | u32::from(begins)).to_le_bytes());
        }
    }

    fn note_load(&mut self, now: Nanos, tag: u32, begins: bool) {
        let longest = self
            .facts
            .workloads
            .iter()
            .map(|w| w.statement_timeout)
            .max()
            .unwrap_or(0);
        self.loads.note(now, tag, begins, longest);
    }

    fn holds(&self, now: Nanos, engine: &Engine, group: u32) -> bool {
        self.loads.hold(now, load_tag(engine.row.id, group))
    }

    fn read_report(&mut self, now: Nanos, ix: EngineIndex, report: &[f32]) {
        let cores = self.cores(ix);
        let (_, out, threads) = self.in_flight();
        let threads_each = (threads + 1.0) / f64::from(out + 1);
        let (engine, mut busy) = (&mut self.engines[ix.0], false);
        engine.asked = engine.asked.filter(|_| report.is_empty());
        for (field, &value) in self.facts.report_fields.iter().zip(report) {
            let value = f64::from(value);
            match field {
                ReportField::Cpu | ReportField::MemoryGranted => busy |= value >= BUSY,
                ReportField::Waiting => busy |= value >= 1.0,
                ReportField::Inflight => {
                    engine.others = (value - f64::from(engine.out)).max(0.0) * threads_each;
                    engine.reported_at = now;
                }
                _ => {}
            }
        }
        engine.pressure_until = if busy {
            now + PRESSURE_HOLD
        } else {
            engine.pressure_until
        };
        if !report.is_empty() {
            busy |= engine.threads[0] + engine.threads[1] + LATE * engine.others
                >= BUSY_THREADS * cores;
            self.pressed += LEARN * (f64::from(busy) - self.pressed);
        }
    }

    /// An engine is judged by the successes among its last few, recent outcomes. Guards against engines that
    /// fail fast and draw work, crashes, refused connections and lost executions before the list knows. Hurts
    /// when statements are at fault: then most of the fleet stays in use all the same.
    fn judge(&mut self, now: Nanos, ix: EngineIndex, success: bool, out: &mut dyn Output) {
        let engine = &mut self.engines[ix.0];
        engine.outcomes.push_back((now, success));
        while engine.outcomes.len() > LAST_FEW || engine.outcomes[0].0 + EVIDENCE_AGE < now {
            engine.outcomes.pop_front();
        }
        let part =
            engine.outcomes.iter().filter(|o| o.1).count() as f64 / engine.outcomes.len() as f64;
        if success || part < FEWEST_SUCCESSES {
            engine.turn(part < FEWEST_SUCCESSES, "successes", part, out);
        }
    }

    /// Lost executions: no word for far longer than such statements take. Guards against engines that answer
    /// nothing, lost answers, cut links and crashes the list has not told. Counts as a failure of the engine;
    /// an idempotent statement is tried elsewhere, once: where all are slow that doubles the work.
    fn listen(&mut self, now: Nanos, out: &mut dyn Output) {
        for s in 0..self.stmts.len() {
            let Some(stmt) = self.stmts[s].as_mut() else {
                continue;
            };
            let (facts, row) = (&self.facts.workloads[stmt.wlm], &self.wlms[stmt.wlm]);
            let Some(attempt) = stmt.out.as_mut() else {
                continue;
            };
            let usual = stmt.work / facts.threads.max(1.0) * LOST * row.slowness;
            let pace = self.facts.progress_pace * 3 / 2 + SECOND / 2;
            let silent = attempt.word == attempt.since;
            let patience = if silent {
                nanos_from_secs(usual).max(LEAST_PATIENCE)
            } else {
                Nanos::MAX
            };
            let patience = if self.facts.progress_pace > 0 {
                patience.min(pace)
            } else {
                patience
            };
            if now.saturating_sub(attempt.word) < patience {
                continue;
            }
            attempt.word = Nanos::MAX;
            let (engine, again) = (
                attempt.engine,
                facts.effect == Idempotency::Idempotent && stmt.sent() == 1,
            );
            self.judge(now, engine, false, out);
            if again && self.within_budget(now, 1) {
                self.withdraw(StatementIndex(s), out);
            }
        }
    }

    // ---- statements ----

    pub fn on_statement_arrived(
        &mut self,
        now: Nanos,
        ix: StatementIndex,
        arrival: Arrival,
        out: &mut dyn Output,
    ) {
        if self.enter(now, ix, arrival, out) {
            self.dispatch(now, out);
            self.set_wake(out);
        }
    }

    /// A statement whose execution a lost gateway sent to this engine: out here from now on, a further one in
    /// the budget; nothing more is judged by its first error.
    pub fn adopt_statement(
        &mut self,
        now: Nanos,
        ix: StatementIndex,
        arrival: Arrival,
        at: EngineIndex,
        out: &mut dyn Output,
    ) {
        if !self.enter(now, ix, arrival, out) {
            return;
        }
        self.turn(ix, Stage::Running);
        let Some(stmt) = self.stmts[ix.0].as_mut() else {
            return;
        };
        stmt.out = Some(Attempt {
            engine: at,
            since: now,
            number: 0,
            cold_cost: 0.0,
            word: now,
        });
        (stmt.attempts, stmt.errors, stmt.may_have_run) = (1, 1, Some((at, now)));
        let (wlm, group) = (stmt.wlm, stmt.group);
        self.engines[at.0].out += 1;
        self.wlms[wlm].out += 1;
        self.engines[at.0].threads[usize::from(self.wlms[wlm].long)] +=
            self.facts.workloads[wlm].threads;
        self.further.push(now, 0.0);
        if self.facts.workloads[wlm].is_load {
            self.load_moves(now, at, group, true, out);
        }
        self.set_wake(out);
    }

    fn enter(
        &mut self,
        now: Nanos,
        ix: StatementIndex,
        arrival: Arrival,
        out: &mut dyn Output,
    ) -> bool {
        let wlm = arrival.workload;
        let Some(facts) = self.facts.workloads.get(wlm) else {
            out.abort(ix);
            out.forget(ix);
            return false;
        };
        let row = &mut self.wlms[wlm];
        let mut work = row.told_work;
        if arrival.estimated_work > 0 {
            let estimate = secs_from_nanos(arrival.estimated_work);
            row.estimate += LEARN * (estimate - row.estimate);
            if !self.facts.tells_cost {
                row.told_work = row.estimate;
            }
            work = estimate * row.told_work / row.estimate.max(1e-6);
        }
        for (w, row) in self.wlms.iter_mut().enumerate() {
            row.demand += DEMAND_LEARN * (if w == wlm { work } else { 0.0 } - row.demand);
        }
        let mut priority_weight = facts.priority_weight;
        if let Some(allowance) = self.allowances.get_mut(arrival.tenant) {
            let rate =
                self.facts.tenants[arrival.tenant].quota_per_second * self.parts[arrival.tenant];
            if !allowance.take(now, rate, (rate * ALLOWANCE_BURST_S).max(1.0)) {
                priority_weight *= self.facts.over_quota_priority_weight;
            }
        }
        self.priority_weight += DEMAND_LEARN * (priority_weight - self.priority_weight);
        let (told, estimate) = (self.wlms[wlm].told_work, self.wlms[wlm].estimate);
        self.mean_work =
            (self.mean_work + DEMAND_LEARN * (told - self.mean_work)).max(self.lightest);
        let apart = u64::from(self.loads_block_others && facts.is_load);
        let group = point_of(u64::from(arrival.table_group) | apart << 32);
        let slo = secs_from_nanos(facts.latency_objective)
            + facts.latency_objective_stretch * work / facts.threads.max(1.0);
        let key = if facts.is_ordered_by_key {
            arrival.key
        } else {
            0
        };
        let stmt = Stmt {
            wlm,
            key,
            group: arrival.table_group,
            point: [0, 1].map(|axis| group[axis] + OFFSET * (2.0 * self.chance() - 1.0)),
            deadline: now.saturating_add(arrival.time_left),
            work: work.max(1e-4),
            cold_work: told.max(estimate),
            estimated_mb: arrival.estimated_mb,
            priority_weight,
            wait_until: now + nanos_from_secs(WAIT_PART * slo).min(arrival.time_left / 2),
            ..Stmt::default()
        };
        if stmt.key != 0 {
            self.keys.entry(stmt.key).or_default().line.push_back(ix);
        }
        self.stmts
            .resize_with(self.stmts.len().max(ix.0 + 1), || None);
        self.stmts[ix.0] = Some(stmt);
        self.in_hand += 1;
        self.taken.push(now, 0.0);
        for times in [&mut self.taken, &mut self.further] {
            times.drop_before(now.saturating_sub(self.budget.window));
        }
        self.narrow(now);
        self.wlms[wlm].queue.push(ix);
        true
    }

    pub fn on_response_started(&mut self, _now: Nanos, ix: StatementIndex, attempt: u32) {
        let stmt = self
            .stmts
            .get(ix.0)
            .and_then(Option::as_ref)
            .filter(|s| s.stage != Stage::Answered);
        if stmt
            .and_then(|s| s.out.as_ref())
            .is_some_and(|e| e.number == attempt)
        {
            self.turn(ix, Stage::Streaming);
        }
    }

    /// Guards against bad plans: one projected to take many times what its work should take is withdrawn and
    /// drawn anew; covers executions that stand still. Hurts when estimates are far too low: work is lost.
    pub fn on_progress(
        &mut self,
        now: Nanos,
        ix: StatementIndex,
        attempt: u32,
        note: AttemptProgress,
        out: &mut dyn Output,
    ) {
        let Some(stmt) = self.stmts.get_mut(ix.0).and_then(Option::as_mut) else {
            return;
        };
        let Some(e) = stmt.out.as_mut().filter(|e| e.number == attempt) else {
            return;
        };
        e.word = now;
        if let AttemptProgress::SpilledMb(missing) = note {
            return self.learn_memory(ix, missing);
        }
        let AttemptProgress::FractionDone(done) = note else {
            return;
        };
        let facts = &self.facts.workloads[stmt.wlm];
        let elapsed = secs_from_nanos(now - e.since);
        let left = elapsed * (1.0 - done).max(0.0) / done.max(0.01);
        let usual = stmt.work / facts.threads.max(1.0) * self.wlms[stmt.wlm].slowness;
        let again = stmt.stage == Stage::Running && facts.effect == Idempotency::Idempotent;
        let bad = again && left > 2.0 * usual && elapsed + left > BAD_PLAN * usual;
        if bad && stmt.sent() < self.facts.max_attempts && self.within_budget(now, 1) {
            self.withdraw(ix, out);
        }
    }

    pub fn on_attempt_ended(
        &mut self,
        now: Nanos,
        ix: StatementIndex,
        ended: &AttemptEnded,
        out: &mut dyn Output,
    ) {
        let Some(stmt) = self.stmts.get_mut(ix.0).and_then(Option::as_mut) else {
            return;
        };
        let Some(attempt) = stmt.out.take_if(|e| e.number == ended.attempt) else {
            return;
        };
        let (wlm, group, threads) = (stmt.wlm, stmt.group, self.facts.workloads[stmt.wlm].threads);
        let engine = &mut self.engines[attempt.engine.0];
        engine.out -= 1;
        self.wlms[wlm].out -= 1;
        engine.threads[usize::from(self.wlms[wlm].long)] -= threads;
        if !ended.outcome.never_ran() {
            stmt.may_have_run
                .get_or_insert((attempt.engine, attempt.since));
        }
        // Where two good engines answer with errors the statement may be at fault: one is judged by it.
        stmt.errors += u32::from(ended.outcome == Outcome::Error && !engine.failing);
        let faulty = ended.outcome == Outcome::Error && stmt.errors < 2
            || matches!(ended.outcome, Outcome::Reset | Outcome::ConnectFailed);
        let doubt = matches!(
            ended.outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        if doubt && let Some(line) = self.keys.get_mut(&stmt.key) {
            line.rest_until = now + self.facts.key_rest.unwrap_or(0);
        }
        match ended.outcome {
            Outcome::Completed => self.learn(now, ix, &attempt, ended),
            Outcome::Overloaded => engine.full_until = now + TRIAL_GAP,
            Outcome::NotSent => {
                self.uncount(ix, attempt.engine, (attempt.since, attempt.cold_cost));
                self.stmts[ix.0]
                    .iter_mut()
                    .for_each(|stmt| stmt.unsent += 1);
            }
            _ => {}
        }
        let completed = ended.outcome == Outcome::Completed;
        if completed || faulty {
            self.judge(now, attempt.engine, completed, out);
        }
        if self.facts.workloads[wlm].is_load {
            self.load_moves(now, attempt.engine, group, false, out);
        }
        self.read_report(now, attempt.engine, ended.report);
        let Some(stmt) = self.stmts[ix.0].as_mut() else {
            return;
        };
        if ended.closed {
            self.turn(ix, Stage::Answered);
        } else if stmt.stage != Stage::Answered {
            stmt.wait_until = now + stmt.deadline.saturating_sub(now) / 8;
            let facts = &self.facts.workloads[wlm];
            let ran_at = stmt
                .may_have_run
                .filter(|_| facts.effect != Idempotency::Idempotent)
                .map(|(_, at)| at);
            let in_window = |at| now + self.facts.tick < at + facts.deduplication_window;
            let dropped = |at| facts.effect == Idempotency::IdempotentWithKey && in_window(at);
            let left =
                stmt.sent() < self.facts.max_attempts && ended.outcome != Outcome::NeverDispatched;
            if left && ran_at.is_none_or(dropped) {
                self.turn(ix, Stage::Waiting);
                self.wlms[wlm].queue.push(ix);
            } else {
                self.give_up(now, ix, out);
            }
        }
        self.forget_if_over(ix, out);
        self.dispatch(now, out);
    }

    pub fn on_statement_expired(&mut self, now: Nanos, ix: StatementIndex, out: &mut dyn Output) {
        if self.stmts.get(ix.0).is_some_and(Option::is_some) {
            self.withdraw(ix, out);
            self.turn(ix, Stage::Answered);
            self.forget_if_over(ix, out);
            self.dispatch(now, out);
        }
    }

    /// The gateway ends: what is open has to be answered by then.
    pub fn begin_shutdown(&mut self, by: Nanos) {
        self.stmts
            .iter_mut()
            .flatten()
            .for_each(|stmt| stmt.deadline = stmt.deadline.min(by));
    }

    pub fn on_timer(&mut self, now: Nanos, mark: u64, out: &mut dyn Output) {
        if mark == MARK_ASK {
            return out.watch_endpoints();
        }
        self.wake_is_set = false;
        self.listen(now, out);
        // Rule 1: whatever is still without an answer at the last moment gets one, here at the latest.
        let last_moment = now + 2 * self.facts.tick.max(SECOND / 1000);
        for s in 0..self.stmts.len() {
            let open = |s: &&Stmt| !matches!(s.stage, Stage::Answered | Stage::Streaming);
            if self.stmts[s]
                .as_ref()
                .filter(open)
                .is_some_and(|stmt| stmt.deadline <= last_moment)
            {
                self.give_up(now, StatementIndex(s), out);
            }
        }
        self.dispatch(now, out);
        self.keys.retain(|_, line| !line.is_over(now));
        self.set_wake(out);
    }

    fn set_wake(&mut self, out: &mut dyn Output) {
        if self.in_hand > 0 && !self.wake_is_set {
            self.wake_is_set = true;
            out.set_timer(MARK_HOUSEKEEPING, HOUSEKEEPING);
        }
    }

    /// Follows the factor on the estimates that is enough for most statements of a workload. Guards against
    /// estimates too low or too high by workload: the one spills, the other takes memory from others.
    fn learn_memory(&mut self, ix: StatementIndex, missing: f64) {
        let Some(stmt) = &mut self.stmts[ix.0] else {
            return;
        };
        if !stmt.spilled {
            let step = if missing > 0.0 {
                MEMORY_STEP
            } else {
                -MEMORY_STEP * SPILLS_WANTED
            };
            let factor = &mut self.wlms[stmt.wlm].memory_factor;
            *factor = (*factor * (1.0 + step)).clamp(0.5, MOST_MEMORY_FACTOR);
        }
        stmt.spilled |= missing > 0.0;
    }

    fn learn(&mut self, now: Nanos, ix: StatementIndex, attempt: &Attempt, ended: &AttemptEnded) {
        self.learn_memory(ix, 0.0);
        let Some(stmt) = &self.stmts[ix.0] else {
            return;
        };
        let (row, facts) = (&mut self.wlms[stmt.wlm], &self.facts.workloads[stmt.wlm]);
        if let Some((work_ms, _)) = ended.true_cost {
            row.told_work += LEARN * (work_ms / 1000.0 - row.told_work);
        }
        let took = secs_from_nanos(ended.took);
        let ratio = (took * facts.threads.max(1.0) / stmt.work).clamp(0.2, 10.0);
        row.slowness += LEARN * (ratio - row.slowness);
        if row.long {
            return;
        }
        let engine = &mut self.engines[attempt.engine.0];
        engine.slowness += 0.1 * (ratio - engine.slowness);
        engine.best = (engine.best * 1.001).min(engine.slowness);
        if engine.slowness > FAR_ABOVE_BEST * engine.best {
            engine.pressure_until = now + PRESSURE_HOLD;
        }
    }

    pub fn in_flight(&self) -> (usize, u32, f64) {
        let threads = |(row, facts): (&WorkloadRow, &Workload)| f64::from(row.out) * facts.threads;
        let all = self
            .wlms
            .iter()
            .zip(&self.facts.workloads)
            .map(threads)
            .sum();
        (self.in_hand, self.wlms.iter().map(|row| row.out).sum(), all)
    }

    /// Sends what waits, most importance per work first; what has waited its part is sent or rejected.
    fn dispatch(&mut self, now: Nanos, out: &mut dyn Output) {
        // Once for each time of the clock where many wait: the cost must not grow with their square.
        let many = self.wlms.iter().map(|w| w.queue.len()).sum::<usize>() > MANY_WAITING;
        if many && self.dispatched == now {
            return;
        }
        self.dispatched = now;
        let value = |ix: &StatementIndex| {
            Some((
                self.stmts[ix.0]
                    .as_ref()
                    .map(|s| s.priority_weight / s.work)?,
                *ix,
            ))
        };
        let mut waiting: Vec<_> = self
            .wlms
            .iter()
            .flat_map(|w| &w.queue)
            .filter_map(value)
            .collect();
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        // Where one of a kind finds no room, none that earns less does; looking would cost the day its CPU.
        let mut no_room = Vec::new();
        for (_, ix) in waiting {
            let Some(stmt) = &self.stmts[ix.0] else {
                continue;
            };
            let facts = &self.facts.workloads[stmt.wlm];
            let kind = (
                stmt.wlm,
                stmt.priority_weight < facts.priority_weight,
                stmt.asks,
            );
            let alike =
                stmt.key == 0 && stmt.sent() == 0 && !facts.is_load && !facts.waits_for_bulk_loads;
            let place = self.has_place(stmt);
            if place && (!alike || !no_room.contains(&kind)) {
                if let Some(engine) = self.pick(now, ix) {
                    if !self.ask_first(now, ix, engine, out) {
                        self.send(now, ix, engine, out);
                    }
                    continue;
                }
                no_room.extend(alike.then_some(kind));
            }
            let Some(stmt) = &self.stmts[ix.0] else {
                continue;
            };
            let line = self.keys.get(&stmt.key);
            let held = line.is_some_and(|l| !l.is_first(ix) || now < l.rest_until);
            if !place || now >= stmt.wait_until && !(held && now + SECOND < stmt.deadline) {
                self.give_up(now, ix, out);
            }
        }
    }

    /// A long statement learns how loaded its engine is before it goes there. Guards against gateways so many
    /// that each sees little of what an engine holds; also tells one that answers nothing; a round trip.
    fn ask_first(
        &mut self,
        now: Nanos,
        ix: StatementIndex,
        at: EngineIndex,
        out: &mut dyn Output,
    ) -> bool {
        let Some(stmt) = self.stmts[ix.0].as_mut() else {
            return false;
        };
        let engine = &mut self.engines[at.0];
        let known = now < engine.reported_at + REPORT_FRESH || engine.unanswered(now);
        let ask = !known && self.facts.may_probe && self.wlms[stmt.wlm].long;
        if ask && engine.asked.is_none_or(|t| now >= t + TRIAL_GAP) {
            out.request_load_report(at);
            engine.asked = Some(now);
            stmt.asks += 1;
        }
        ask
    }

    /// The design's pick within the subset: distance, at least the floor, times the own recent sends a core;
    /// the next best where one has no room. Suspects and what may not be sent to make place for the next.
    fn pick(&self, now: Nanos, ix: StatementIndex) -> Option<EngineIndex> {
        let stmt = self.stmts[ix.0].as_ref()?;
        let row = &self.wlms[stmt.wlm];
        // A repeat that only some engines drop may leave the subset: all of them are looked at.
        let looks = if stmt.may_have_run.is_some() {
            usize::MAX
        } else {
            LOOKS * row.kept
        };
        let permitted = |at: &EngineIndex| self.permitted(now, ix, Act::Send(*at));
        let open = row
            .open
            .iter()
            .take(looks)
            .filter(permitted)
            .take(WIDENS * row.kept);
        let open: Vec<&Engine> = open.map(|at| &self.engines[at.0]).collect();
        let good = open
            .iter()
            .filter(|e| !e.failing && !e.shunned && !e.unanswered(now))
            .count();
        let trust_all = (good as f64) < (1.0 - MOST_SUSPECTED) * open.len() as f64;
        let apart = self.loads_block_others && self.facts.workloads[stmt.wlm].is_load;
        let held = open
            .iter()
            .filter(|e| apart && self.holds(now, e, stmt.group))
            .count();
        if held > 0 && (held + 1) as f64 > MOST_HELD * open.len() as f64 {
            return None;
        }
        let (facts, long) = (&self.facts.workloads[stmt.wlm], self.wlms[stmt.wlm].long);
        let cheap = !long && facts.effect == Idempotency::Idempotent && stmt.sent() == 0;
        let trial = cheap && self.since_trial >= SENDS_PER_TRIAL;
        let unanswered = open.iter().filter(|e| e.unanswered(now)).count();
        let asked_out = self.facts.may_probe && long && stmt.asks >= ASKS + unanswered;
        let mut best: Option<(bool, f64, EngineIndex)> = None;
        let mut used = 0;
        for engine in &open {
            if used >= row.kept && best.is_some() {
                break;
            }
            let at = engine.row.engine;
            let tried = trial && now >= engine.next_trial;
            let shunned = engine.shunned && !(tried && engine.may_try);
            let out = engine.failing && !tried || shunned || engine.unanswered(now);
            if out && !trust_all {
                continue;
            }
            used += 1;
            let Some(pressed) = self.room(now, stmt, engine) else {
                continue;
            };
            if asked_out && engine.asked.is_none() && now >= engine.reported_at + REPORT_FRESH {
                continue;
            }
            let away = [0, 1].map(|axis| engine.ema_point[axis] - stmt.point[axis]);
            let distance = away[0].hypot(away[1]).max(FLOOR);
            let mut weighted =
                distance * (engine.recent + 1) as f64 / self.cores_left(stmt.wlm, engine);
            if apart {
                weighted *= 1.0
                    + self
                        .recent
                        .iter()
                        .filter(|&&s| s == (at, stmt.group))
                        .count() as f64;
            }
            if best.is_none_or(|least| (pressed, weighted, at) < least) {
                best = Some((pressed, weighted, at));
            }
        }
        best.map(|(_, _, engine)| engine)
    }

    /// The companion bounds: under pressure a workload's kind holds so many threads on an engine: this
    /// gateway's share, or what others leave by a fresh report. None: no room, else whether the engine is
    /// pressed.
    fn room(&self, now: Nanos, stmt: &Stmt, engine: &Engine) -> Option<bool> {
        let facts = &self.facts.workloads[stmt.wlm];
        let held =
            (facts.waits_for_bulk_loads || facts.is_load) && self.holds(now, engine, stmt.group);
        if held || now < engine.full_until {
            return None;
        }
        let cores = self.cores(engine.row.engine);
        // Threads beyond the cores are pressure too, the others' as last reported, or by the own share.
        let own = engine.threads[0] + engine.threads[1];
        let gateways = self.wlms[stmt.wlm].holders;
        let fresh = now < engine.reported_at + REPORT_FRESH;
        let all = if fresh {
            own + LATE * engine.others
        } else {
            own * gateways
        };
        if now >= engine.pressure_until && all < BUSY_THREADS * cores {
            return Some(false);
        }
        let long = self.wlms[stmt.wlm].long;
        let over_share = if stmt.priority_weight < facts.priority_weight {
            OVER_SHARE_BOUND
        } else {
            1.0
        };
        let usual = self.wlms[stmt.wlm].told_work;
        let worth_it = (WORTH_FULL * usual / stmt.work)
            .clamp(WORTH_LEAST, 1.0)
            .powf(self.pressed);
        let kind_bound = over_share * worth_it * if long { LONG_BOUND } else { SHORT_BOUND };
        let within = |held: f64, per_core: f64| {
            let bound = per_core * cores;
            let left = if fresh {
                bound - engine.others
            } else {
                facts.threads
            };
            held + facts.threads <= left.max(bound / gateways)
        };
        (within(engine.threads[usize::from(long)], kind_bound) && within(own, TOTAL_BOUND))
            .then_some(true)
    }

    /// The last of the places are for what earns much for its time. Guards against few that run long keeping
    /// out many. Hurts where estimates mislead.
    fn has_place(&self, stmt: &Stmt) -> bool {
        let time = |work: f64, wlm: usize| work / self.facts.workloads[wlm].threads.max(1.0);
        let usual: f64 = (0..self.wlms.len())
            .map(|w| time(self.wlms[w].demand, w))
            .sum();
        let earns = stmt.priority_weight / time(stmt.work, stmt.wlm);
        let part = (earns * usual / self.priority_weight.max(1e-9) / EARNS_FULL).min(1.0);
        self.in_hand as f64
            <= self.facts.max_open_statements as f64 * (PLACES_FREE + (1.0 - PLACES_FREE) * part)
    }

    /// An engine's cores, less what workloads bound to fewer engines need there. Guards against statements
    /// that may run anywhere filling the only engines of others. Hurts for a while when the mix changes.
    fn cores_left(&self, wlm: usize, engine: &Engine) -> f64 {
        let all = self.wlms.iter().map(|r| r.demand).sum::<f64>().max(1e-9);
        let open = self.wlms[wlm].open_cores;
        let bound = self.wlms.iter().zip(&self.facts.workloads);
        let bound = bound.filter(|(r, f)| r.open_cores < open && placed(f, &engine.row));
        let taken: f64 = bound
            .map(|(r, _)| r.demand / all * open / r.open_cores)
            .sum();
        self.cores(engine.row.engine) * (1.0 - taken).max(LEAST_LEFT)
    }

    fn cores(&self, ix: EngineIndex) -> f64 {
        let kind = self
            .facts
            .kinds
            .get(usize::from(self.engines[ix.0].row.kind));
        kind.map_or(1.0, |k| k.cores).max(1.0)
    }

    fn send(&mut self, now: Nanos, ix: StatementIndex, to: EngineIndex, out: &mut dyn Output) {
        if !self.permitted(now, ix, Act::Send(to)) {
            return;
        }
        self.turn(ix, Stage::Running);
        let Some(stmt) = &mut self.stmts[ix.0] else {
            return;
        };
        let (wlm, facts) = (&self.wlms[stmt.wlm], &self.facts.workloads[stmt.wlm]);
        (stmt.sent() > 0).then(|| self.further.push(now, 0.0));
        if self.facts.priority_heeded || self.facts.memory_heeded {
            let over_share = stmt.priority_weight < facts.priority_weight;
            let grant_mb = if self.facts.memory_heeded {
                stmt.estimated_mb * wlm.memory_factor
            } else {
                0.0
            };
            let priority = if wlm.long { 1 } else { 3 };
            out.set_resources(ix, grant_mb, if over_share { 0 } else { priority });
        }
        let timeout = stmt
            .deadline
            .saturating_sub(now + 2 * self.facts.tick)
            .max(1);
        out.send(ix, to, timeout);
        let (group, is_load, wlm_ix, cold_cost) =
            (stmt.group, facts.is_load, stmt.wlm, stmt.cold_work);
        stmt.out = Some(Attempt {
            engine: to,
            since: now,
            number: stmt.attempts,
            cold_cost,
            word: now,
        });
        stmt.attempts += 1;
        let engine = &mut self.engines[to.0];
        engine.out += 1;
        engine.threads[usize::from(wlm.long)] += facts.threads;
        engine.next_trial = now + TRIAL_GAP;
        self.since_trial = if engine.failing || engine.shunned {
            0
        } else {
            self.since_trial + 1
        };
        engine.ema_point =
            [0, 1].map(|i| ALPHA * stmt.point[i] + (1.0 - ALPHA) * engine.ema_point[i]);
        engine.sends.push(now, cold_cost);
        engine
            .sends
            .drop_before(now.saturating_sub(self.facts.overload_window));
        self.wlms[wlm_ix].out += 1;
        if is_load {
            self.load_moves(now, to, group, true, out);
        }
        self.recent.push_back((to, group));
        self.engines[to.0].recent += 1;
        while self.recent.len() > RECENT_SENDS * self.spread {
            if let Some((oldest, _)) = self.recent.pop_front() {
                self.engines[oldest.0].recent -= 1;
            }
        }
    }

    fn withdraw(&mut self, ix: StatementIndex, out: &mut dyn Output) {
        let Some(stmt) = self.stmts[ix.0]
            .as_ref()
            .filter(|s| s.stage == Stage::Running)
        else {
            return;
        };
        if let Some(attempt) = stmt.out.as_ref().filter(|_| self.facts.may_withdraw) {
            out.cancel(ix, attempt.number);
            self.turn(ix, Stage::Withdrawing);
        }
    }

    /// The final answer to a statement that will not be completed, at once: a rejection where the rules allow
    /// it, with a time to come back, else an abort.
    fn give_up(&mut self, now: Nanos, ix: StatementIndex, out: &mut dyn Output) {
        if self.permitted(now, ix, Act::Reject) {
            let retry_after = if self.facts.come_back_heeded {
                self.facts.longest_come_back
            } else {
                0
            };
            out.reject(ix, retry_after);
        } else if self.permitted(now, ix, Act::Abort) {
            out.abort(ix);
        } else {
            return;
        }
        self.withdraw(ix, out);
        self.turn(ix, Stage::Answered);
        self.forget_if_over(ix, out);
    }

    /// The one function that changes a statement's state.
    fn turn(&mut self, ix: StatementIndex, to: Stage) {
        let Some(stmt) = &mut self.stmts[ix.0] else {
            return;
        };
        if stmt.stage == Stage::Waiting && to != Stage::Waiting {
            self.wlms[stmt.wlm].queue.retain(|&q| q != ix);
        }
        stmt.stage = to;
    }

    fn forget_if_over(&mut self, ix: StatementIndex, out: &mut dyn Output) {
        let over = |s: &Stmt| s.stage == Stage::Answered && s.out.is_none();
        let Some(stmt) = self.stmts[ix.0].take_if(|s| over(s)) else {
            return;
        };
        if let Some(line) = self.keys.get_mut(&stmt.key) {
            line.line.retain(|&s| s != ix);
        }
        self.in_hand -= 1;
        out.forget(ix);
    }

    // ---- the gate ----

    /// The seven rules, asked before every send, rejection and abort.
    fn permitted(&self, now: Nanos, ix: StatementIndex, act: Act) -> bool {
        let Some(stmt) = &self.stmts[ix.0] else {
            return false;
        };
        let facts = &self.facts.workloads[stmt.wlm];
        // Rule 1: one final answer, and nothing after it.
        if matches!(stmt.stage, Stage::Answered | Stage::Streaming) {
            return false;
        }
        let to = match act {
            Act::Abort => return true,
            // Rule 2: a rejection says that trying again is harmless.
            Act::Reject => {
                let clean = stmt.out.is_none() && stmt.may_have_run.is_none();
                return match facts.effect {
                    Idempotency::Idempotent => true,
                    Idempotency::IdempotentWithKey => {
                        clean || facts.deduplication_scope == DeduplicationScope::All
                    }
                    Idempotency::NonIdempotent => clean,
                };
            }
            Act::Send(to) | Act::Begin(to) => to,
        };
        let begins = matches!(act, Act::Begin(_));
        let before = stmt.sent() - u32::from(begins);
        // Rule 1 and second copies: never two executions out, none after the client's time.
        if stmt.out.is_some() != begins || before >= self.facts.max_attempts || stmt.deadline <= now
        {
            return false;
        }
        let engine = &self.engines[to.0];
        // Rule 2: no second effect.
        if let Some((first, at)) = stmt.may_have_run {
            let first = &self.engines[first.0].row;
            let same_group = match facts.deduplication_scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => first.zone == engine.row.zone,
                DeduplicationScope::Cell => first.cell == engine.row.cell,
            };
            let in_window = now + self.facts.tick < at + facts.deduplication_window;
            let dropped = facts.effect == Idempotency::IdempotentWithKey && same_group && in_window;
            if facts.effect != Idempotency::Idempotent && !dropped {
                return false;
            }
        }
        // Rule 3: an engine that drains or is gone gets nothing new; the grace is not used.
        if !engine.ready() {
            return false;
        }
        // Rule 4: in each window a cold engine gets its budget of work, and no more calls than that over mean
        // work; parts by gateways' places. One that began later doesn't know what its former self sent.
        if engine.row.started_at > 0
            && now < engine.row.started_at.saturating_add(self.facts.warm_up)
        {
            let age = secs_from_nanos(now.saturating_sub(engine.row.started_at))
                / secs_from_nanos(self.facts.warm_up);
            let warm =
                self.facts.cold_from + COLD_GROWTH * (1.0 - self.facts.cold_from).max(0.0) * age;
            let window = secs_from_nanos(self.facts.overload_window);
            let budget = COLD_SAFETY * self.facts.overload_factor * self.cores(to) * warm * window;
            let (gateways, calls) = (
                self.facts.gateways as f64,
                (budget / self.mean_work).floor().max(1.0),
            );
            let sharing = calls.min(gateways);
            let place = f64::from(engine.key.place());
            let part = ((calls + place) / sharing).floor();
            let from = now.saturating_sub(self.facts.overload_window);
            let more = if begins {
                (0, 0.0)
            } else {
                (1, stmt.cold_work)
            };
            let sent = (engine.sends.count_since(from) + more.0) as f64;
            let work = engine.sends.cost_since(from) + more.1;
            let knows = engine.row.started_at.max(from) >= self.started;
            if !knows || place >= sharing || sent > part || work > budget / sharing {
                return false;
            }
        }
        // Rule 5: a key's statements one at a time, in turn, and after a doubt the key rests.
        if let Some(line) = self.keys.get(&stmt.key).filter(|_| stmt.key != 0)
            && (!line.is_first(ix) || (before == 0 && now < line.rest_until))
        {
            return false;
        }
        // Rule 6: placement, also when all allowed engines are down or full.
        if !placed(facts, &engine.row) {
            return false;
        }
        // Rule 7: further executions within their budget.
        let rationed = before > 0 && self.facts.retry_budget.is_some();
        !rationed || self.within_budget(now, usize::from(!begins))
    }

    fn within_budget(&self, now: Nanos, more: usize) -> bool {
        let (window, ticks) = (self.budget.window, 2 * self.facts.tick);
        let taken =
            self.taken
                .count_since(now.saturating_sub(window.saturating_sub(ticks))) as f64;
        let further = self.further.count_since(now.saturating_sub(window)) + more;
        further as f64 <= self.budget.free + self.budget.per_statement * taken
    }

    fn chance(&mut self) -> f64 {
        self.chances += 1;
        unit_hash(&(self.seed, self.chances))
    }
}

impl Stmt {
    fn sent(&self) -> u32 {
        self.attempts - self.unsent
    }
}

impl Engine {
    fn turn(&mut self, failing: bool, why: &str, figure: f64, out: &mut dyn Output) {
        if self.failing != failing {
            let mode = if failing {
                "Good -> Failing"
            } else {
                "Failing -> Good"
            };
            out.log(&format!(
                "engine {} {mode}: {why} {figure:.2}",
                self.row.engine.0
            ));
        }
        self.failing = failing;
    }

    fn ready(&self) -> bool {
        self.listed && self.row.phase == EngineState::Ready
    }

    fn unanswered(&self, now: Nanos) -> bool {
        self.asked
            .is_some_and(|t| now >= t + ASK_WAIT && now < t + TRIAL_GAP)
    }
}

fn placed(facts: &Workload, row: &EngineEndpoint) -> bool {
    let allowed = |list: &Option<Vec<u16>>, at: u16| list.as_ref().is_none_or(|l| l.contains(&at));
    allowed(&facts.allowed_zones, row.zone) && allowed(&facts.allowed_engine_kinds, row.kind)
}
