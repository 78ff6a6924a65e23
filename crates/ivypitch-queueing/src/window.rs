//! How much is released at once: a window in threads, so that queues form here, where they can be ordered, and not
//! at the engines. It starts at this gateway's share of the engines' cores and follows what executions show.

use ivypitch_types::Nanos;

/// Threads a core that the window starts with: engines are at work with so many, and still fast.
const START: f64 = 1.5;
/// And this many times the root of those threads: a small share needs more room for chance than a large one.
const HEADROOM: f64 = 0.5;
/// Its ends, as parts of where it starts.
const LEAST: f64 = 0.7;
const MOST: f64 = 2.0;
/// How often it is looked at, and by how many executions at least.
const PERIOD: Nanos = 100_000_000;
const FEWEST: u32 = 8;
/// Executions may be slower than the best by so much before the window closes.
const TOLERANCE: f64 = 2.5;
/// Below this part of the cores' time used, slow executions are no reason to close it: they wait for disks or for
/// others, and the cores have room.
const WELL_USED: f64 = 0.8;
/// The most that one look changes.
const STEP_DOWN: f64 = 0.9;
const STEP_UP: f64 = 1.05;
/// Smoothing of the slowness, and how fast the best is forgotten, by look.
const LEARN: f64 = 0.1;
const FORGET: f64 = 0.002;
/// The additive way: threads more where all is well, what is left of it where not.
const ADD: f64 = 1.0;
const KEEP: f64 = 0.85;

#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum WindowPolicy {
    /// Always the same threads a core.
    Fixed,
    /// Opens and closes in proportion to the best slowness over the present.
    #[default]
    Gradient,
    /// A step up while executions are fast, a part of it where they are slow.
    Additive,
}

pub struct Window {
    way: WindowPolicy,
    /// This gateway's share of the engines' cores.
    cores: f64,
    /// A statement needs at least so much room, or nothing would ever go.
    widest: f64,
    threads: f64,
    slowness: f64,
    best: f64,
    seen: u32,
    /// Work done (ns) since the last look, and the part of the cores' time used, smoothed.
    done: f64,
    used: f64,
    looked_at: Nanos,
    /// It was full since the last look: only then may it grow.
    bound: bool,
}

impl Window {
    pub fn new(way: WindowPolicy, widest: f64) -> Window {
        Window {
            way,
            cores: 0.0,
            widest,
            threads: 0.0,
            slowness: 1.0,
            best: f64::INFINITY,
            seen: 0,
            done: 0.0,
            used: 1.0,
            looked_at: 0,
            bound: false,
        }
    }

    pub fn threads(&self) -> f64 {
        self.threads
    }

    pub fn widest(&self) -> f64 {
        self.widest
    }

    pub fn cores(&self) -> f64 {
        self.cores
    }

    pub fn set_way(&mut self, way: WindowPolicy, widest: f64) {
        (self.way, self.widest) = (way, widest);
        self.set_cores(self.cores);
    }

    /// The engines that are ready have changed. Without any, nothing is released.
    pub fn set_cores(&mut self, cores: f64) {
        let keeps = self.cores > 0.0 && self.way != WindowPolicy::Fixed;
        let part = if keeps {
            self.threads / self.start()
        } else {
            1.0
        };
        self.cores = cores;
        self.threads = part * self.start();
        self.hold_ends();
    }

    fn start(&self) -> f64 {
        let threads = START * self.cores;
        if self.way == WindowPolicy::Fixed {
            threads
        } else {
            threads + HEADROOM * threads.sqrt()
        }
    }

    fn hold_ends(&mut self) {
        if self.cores <= 0.0 {
            self.threads = 0.0;
            return;
        }
        let start = self.start();
        self.threads = self
            .threads
            .clamp(LEAST * start, MOST * start)
            .max(self.widest);
    }

    pub fn was_full(&mut self) {
        self.bound = true;
    }

    /// An execution has ended well: its time on the engine, its work, and the time that should have taken there.
    pub fn ended(&mut self, now: Nanos, took: Nanos, work: Nanos, should: Nanos) {
        if should == 0 || took == 0 {
            return;
        }
        self.done += work as f64;
        let slowness = took as f64 / should as f64;
        self.slowness += LEARN * (slowness - self.slowness);
        self.seen += 1;
        if now < self.looked_at + PERIOD || self.seen < FEWEST {
            return;
        }
        // The best of smoothed figures: single quick ones (warm tables) set no mark that can't be kept.
        self.best = if self.best.is_finite() {
            (self.best + FORGET * (self.slowness - self.best)).min(self.slowness)
        } else {
            self.slowness
        };
        let span = now.saturating_sub(self.looked_at).max(1) as f64;
        if self.looked_at > 0 && self.bound {
            self.used += LEARN * (self.done / span / self.cores.max(1e-9) - self.used);
        }
        let ratio = TOLERANCE * self.best / self.slowness.max(1e-9);
        let ratio = if self.used < WELL_USED {
            ratio.max(STEP_UP)
        } else {
            ratio
        };
        match self.way {
            WindowPolicy::Fixed => {}
            WindowPolicy::Gradient => {
                let step = ratio.clamp(STEP_DOWN, STEP_UP);
                if step < 1.0 || self.bound {
                    self.threads *= step;
                }
            }
            WindowPolicy::Additive if ratio < 1.0 => self.threads *= KEEP,
            WindowPolicy::Additive if self.bound => self.threads += ADD,
            WindowPolicy::Additive => {}
        }
        self.hold_ends();
        (self.seen, self.done, self.looked_at, self.bound) = (0, 0.0, now, false);
    }
}
