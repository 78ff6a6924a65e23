//! Which connections to an engine are kept for the next statement: how many, how long, and when none are. A kept one
//! must never bring one statement's answer to another, nor hold an engine's place that others need. No I/O, no clock.

use std::collections::VecDeque;

use ivypitch_types::{Nanos, SECOND};

/// So many answers in a row must have been exact before connections of an engine are kept. One will do: where many
/// gateways share many engines, each meets an engine a few times in a minute, and a used connection proves itself anyway.
const EXACT_RUN: u32 = 1;
/// After a surprise so many are wanted: one engine that spoils one answer in fifty is then hardly ever trusted.
const EXACT_AFTER_SURPRISE: u32 = 50;
/// What comes late behind an answer comes within this time, or is found by the question before the next use.
const QUIET: Nanos = SECOND / 50;
/// A connection is given up well before the engine closes it as idle.
const OF_IDLE_CLOSE: f64 = 0.8;
/// Connections that a process holds for one kind of peer without being told of another bound, over all gateways.
const AT_AN_ENGINE: usize = 1024;
const MOST_EACH: usize = 8;

/// What holds for all engines of a gateway.
#[derive(Clone, Copy, Debug)]
pub struct PoolParams {
    /// So many for each engine.
    pub most: usize,
    /// And so long.
    pub longest: Nanos,
}

impl PoolParams {
    /// `idle_close`: when engines close idle connections; 0: not told, and none is kept.
    pub fn new(gateways: usize, idle_close: Nanos) -> PoolParams {
        PoolParams {
            most: if idle_close == 0 {
                0
            } else {
                (AT_AN_ENGINE / gateways.max(1)).clamp(1, MOST_EACH)
            },
            longest: (idle_close as f64 * OF_IDLE_CLOSE) as Nanos,
        }
    }
}

struct Kept<T> {
    connection: T,
    since: Nanos,
}

/// The kept connections of one engine.
pub struct Pool<T> {
    params: PoolParams,
    /// The longest quiet first. Emptied by use, time and surprise.
    kept: VecDeque<Kept<T>>,
    /// Exact answers since the last surprise, and how many are wanted.
    exact: u32,
    wanted: u32,
    is_over: bool,
}

impl<T> Pool<T> {
    pub fn new(params: PoolParams) -> Pool<T> {
        Pool {
            params,
            kept: VecDeque::new(),
            exact: 0,
            wanted: EXACT_RUN,
            is_over: false,
        }
    }

    pub fn len(&self) -> usize {
        self.kept.len()
    }

    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// An answer came that was exactly what was asked for, and nothing beside it.
    pub fn exact(&mut self) {
        self.exact = self.exact.saturating_add(1);
    }

    /// Something came that was not asked for, or not whole, or nothing came: what else is kept may be as bad.
    pub fn surprise(&mut self) -> Vec<T> {
        self.exact = 0;
        self.wanted = EXACT_AFTER_SURPRISE;
        self.take_all()
    }

    /// The engine is gone: nothing more is kept.
    pub fn close(&mut self) -> Vec<T> {
        self.is_over = true;
        self.take_all()
    }

    /// All of them, to be closed: others need the places.
    pub fn take_all(&mut self) -> Vec<T> {
        self.kept.drain(..).map(|kept| kept.connection).collect()
    }

    /// One that has served its statement to the end; `Some`: it is not kept and has to be closed.
    pub fn give(&mut self, now: Nanos, connection: T) -> Option<T> {
        let trusted = self.exact >= self.wanted && !self.is_over;
        if !trusted || self.kept.len() >= self.params.most {
            return Some(connection);
        }
        self.kept.push_back(Kept {
            connection,
            since: now,
        });
        None
    }

    /// The one that has been quiet for longest, if it has been for long enough.
    pub fn take(&mut self, now: Nanos) -> Option<T> {
        let first = self.kept.front()?;
        let quiet = now.saturating_sub(first.since);
        if quiet < QUIET || quiet > self.params.longest {
            return None;
        }
        self.kept.pop_front().map(|kept| kept.connection)
    }

    /// Those whose time is over, to be closed.
    pub fn over(&mut self, now: Nanos) -> Vec<T> {
        let longest = self.params.longest;
        let old = self
            .kept
            .partition_point(|kept| now >= kept.since + longest);
        self.kept.drain(..old).map(|kept| kept.connection).collect()
    }

    pub fn next_over(&self) -> Option<Nanos> {
        self.kept
            .front()
            .map(|kept| kept.since + self.params.longest)
    }
}
