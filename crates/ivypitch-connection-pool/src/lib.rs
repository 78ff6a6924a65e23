//! Which idle connections to an engine stay open for the next statement: how many, for how long, and when none.
//!
//! A reused connection must never bring one statement's answer to another, nor occupy a connection slot of the engine that
//! others need. There is no I/O and no clock.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

use std::collections::VecDeque;

use ivypitch_types::{Nanos, SECOND};

/// So many answers in a row must have been exact before connections to an engine are reused. One will do: where many
/// gateways share many engines, each uses an engine a few times a minute, and a reused connection is checked anyway.
const MIN_EXACT_ANSWERS: u32 = 1;
/// After an unexpected answer so many are needed: an engine that corrupts one answer in fifty is then hardly ever trusted.
const MIN_EXACT_ANSWERS_AFTER_FAULT: u32 = 50;
/// Bytes that follow an answer arrive within this time, or are found by the check before the next use.
const MIN_IDLE_TIME: Nanos = SECOND / 50;
/// A connection is closed at this fraction of the time after which the engine would close it.
const MAX_IDLE_FRACTION: f64 = 0.8;
/// Connections that an engine is assumed to hold for all gateways together.
const MAX_CONNECTIONS_PER_ENGINE: usize = 1024;
/// Idle connections of one gateway to one engine.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// What holds for all engines of a gateway.
#[derive(Clone, Copy, Debug)]
pub struct PoolParams {
    /// Idle connections to each engine at most.
    pub max_idle: usize,
    /// How long a connection may be idle.
    pub max_idle_time: Nanos,
}

impl PoolParams {
    /// `idle_close`: after which time engines close idle connections. 0: it is unknown, and no connection is reused.
    pub fn new(gateways: usize, idle_close: Nanos) -> PoolParams {
        let fair_share = MAX_CONNECTIONS_PER_ENGINE / gateways.max(1);
        PoolParams {
            max_idle: if idle_close == 0 {
                0
            } else {
                fair_share.clamp(1, MAX_IDLE_CONNECTIONS)
            },
            max_idle_time: (idle_close as f64 * MAX_IDLE_FRACTION) as Nanos,
        }
    }
}

struct IdleConnection<T> {
    connection: T,
    idle_since: Nanos,
}

/// The idle connections to one engine.
pub struct ConnectionPool<T> {
    params: PoolParams,
    /// The one that is idle for longest first. Removed when used, expired and after an unexpected answer.
    idle: VecDeque<IdleConnection<T>>,
    /// Since the last unexpected answer.
    exact_answers: u32,
    min_exact_answers: u32,
    is_closed: bool,
}

impl<T> ConnectionPool<T> {
    /// An empty pool.
    pub fn new(params: PoolParams) -> ConnectionPool<T> {
        ConnectionPool {
            params,
            idle: VecDeque::new(),
            exact_answers: 0,
            min_exact_answers: MIN_EXACT_ANSWERS,
            is_closed: false,
        }
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.len()
    }

    /// Whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }

    /// An answer was exactly what was asked for, with nothing beside it.
    pub fn on_exact_answer(&mut self) {
        self.exact_answers = self.exact_answers.saturating_add(1);
    }

    /// An answer was not asked for, incomplete or missing: the idle connections may be as bad. Returns them to be closed.
    #[must_use]
    pub fn on_unexpected_answer(&mut self) -> Vec<T> {
        self.exact_answers = 0;
        self.min_exact_answers = MIN_EXACT_ANSWERS_AFTER_FAULT;
        self.take_all()
    }

    /// The engine is gone: no connection is kept any more. Returns the idle ones to be closed.
    #[must_use]
    pub fn close(&mut self) -> Vec<T> {
        self.is_closed = true;
        self.take_all()
    }

    /// Returns all idle connections to be closed: their slots are needed elsewhere.
    #[must_use]
    pub fn take_all(&mut self) -> Vec<T> {
        self.idle.drain(..).map(|idle| idle.connection).collect()
    }

    /// Keeps a connection that has completed its statement; `Some`: it is not kept and has to be closed.
    #[must_use]
    pub fn release(&mut self, now: Nanos, connection: T) -> Option<T> {
        let is_trusted = self.exact_answers >= self.min_exact_answers;
        let is_full = self.idle.len() >= self.params.max_idle;
        if self.is_closed || !is_trusted || is_full {
            return Some(connection);
        }
        self.idle.push_back(IdleConnection {
            connection,
            idle_since: now,
        });
        None
    }

    /// The connection that is idle for longest, if it is for long enough and not for too long.
    pub fn acquire(&mut self, now: Nanos) -> Option<T> {
        let first = self.idle.front()?;
        let idle_time = now.saturating_sub(first.idle_since);
        if idle_time < MIN_IDLE_TIME || idle_time > self.params.max_idle_time {
            return None;
        }
        self.idle.pop_front().map(|idle| idle.connection)
    }

    /// Returns the connections that have been idle for too long, to be closed.
    #[must_use]
    pub fn take_expired(&mut self, now: Nanos) -> Vec<T> {
        let max_idle_time = self.params.max_idle_time;
        let expired = self
            .idle
            .partition_point(|idle| now >= idle.idle_since + max_idle_time);
        self.idle
            .drain(..expired)
            .map(|idle| idle.connection)
            .collect()
    }

    /// When [`ConnectionPool::take_expired`] is due.
    pub fn next_expiry(&self) -> Option<Nanos> {
        self.idle
            .front()
            .map(|idle| idle.idle_since + self.params.max_idle_time)
    }
}
