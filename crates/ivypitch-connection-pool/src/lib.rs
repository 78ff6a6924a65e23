//! A pool of idle connections to one engine, kept for reuse by later statements.
//!
//! A reused connection must never deliver one statement's answer to another, nor occupy a
//! connection slot of the engine that other gateways need. The pool does no I/O and reads no clock.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

use std::collections::VecDeque;

use ivypitch_types::{Nanos, SECOND};

/// Consecutive exact answers before connections to an engine are reused. One is enough: where many
/// gateways share many engines, each calls an engine only a few times a minute, and a reused
/// connection is checked before use anyway.
const MIN_EXACT_ANSWERS: u32 = 1;
/// The same minimum after an unexpected answer: with 50, connections to an engine that corrupts one
/// answer in fifty are hardly ever reused.
const MIN_EXACT_ANSWERS_AFTER_FAULT: u32 = 50;
/// Minimum idle time before reuse. Stray bytes after an answer arrive within this time, or are
/// found by the check before the next use.
const MIN_IDLE_TIME: Nanos = SECOND / 50;
/// Fraction of the engine's own idle timeout after which the pool closes a connection.
const MAX_IDLE_FRACTION: f64 = 0.8;
/// Connections that an engine is assumed to accept from all gateways together.
const MAX_CONNECTIONS_PER_ENGINE: usize = 1024;
/// Maximum idle connections of one gateway to one engine.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Limits that apply to the pool of each engine.
#[derive(Clone, Copy, Debug)]
pub struct PoolParams {
    /// Maximum idle connections per engine.
    pub max_idle: usize,
    /// Maximum time that a connection may be idle.
    pub max_idle_time: Nanos,
}

impl PoolParams {
    /// `engine_idle_timeout` is the time after which engines close idle connections; 0 means that
    /// it is unknown and no connection is reused.
    pub fn new(gateways: usize, engine_idle_timeout: Nanos) -> PoolParams {
        let max_per_gateway = MAX_CONNECTIONS_PER_ENGINE / gateways.max(1);
        PoolParams {
            max_idle: if engine_idle_timeout == 0 {
                0
            } else {
                max_per_gateway.clamp(1, MAX_IDLE_CONNECTIONS)
            },
            max_idle_time: (engine_idle_timeout as f64 * MAX_IDLE_FRACTION) as Nanos,
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
    /// Ordered by idle time, longest first. Entries are removed on reuse, on expiry and
    /// after an unexpected answer.
    idle: VecDeque<IdleConnection<T>>,
    /// Exact answers since the last unexpected one.
    exact_answers: u32,
    min_exact_answers: u32,
    is_closed: bool,
}

impl<T> ConnectionPool<T> {
    /// Creates an empty pool.
    pub fn new(params: PoolParams) -> ConnectionPool<T> {
        ConnectionPool {
            params,
            idle: VecDeque::new(),
            exact_answers: 0,
            min_exact_answers: MIN_EXACT_ANSWERS,
            is_closed: false,
        }
    }

    /// The number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.len()
    }

    /// Whether the pool has no idle connection.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }

    /// Records an answer that matched its request, without stray bytes.
    pub fn on_exact_answer(&mut self) {
        self.exact_answers = self.exact_answers.saturating_add(1);
    }

    /// Records an answer that was unsolicited, incomplete or missing. The idle connections may be
    /// in the same state: they are returned for the caller to close.
    #[must_use]
    pub fn on_unexpected_answer(&mut self) -> Vec<T> {
        self.exact_answers = 0;
        self.min_exact_answers = MIN_EXACT_ANSWERS_AFTER_FAULT;
        self.take_all()
    }

    /// Stops keeping connections because the engine is gone. Returns the idle ones for the caller
    /// to close.
    #[must_use]
    pub fn close(&mut self) -> Vec<T> {
        self.is_closed = true;
        self.take_all()
    }

    /// Removes all idle connections, because their slots are needed elsewhere, and returns them for
    /// the caller to close.
    #[must_use]
    pub fn take_all(&mut self) -> Vec<T> {
        self.idle.drain(..).map(|idle| idle.connection).collect()
    }

    /// Returns a connection to the pool after its statement has completed. `Some` is a connection
    /// that the pool does not keep and the caller has to close.
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

    /// Takes the connection that has been idle for longest, if its idle time is within the limits.
    pub fn acquire(&mut self, now: Nanos) -> Option<T> {
        let longest_idle = self.idle.front()?;
        let idle_time = now.saturating_sub(longest_idle.idle_since);
        if idle_time < MIN_IDLE_TIME || idle_time > self.params.max_idle_time {
            return None;
        }
        self.idle.pop_front().map(|idle| idle.connection)
    }

    /// Removes the connections that have exceeded the maximum idle time and returns them for the
    /// caller to close.
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

    /// When the next connection expires; [`ConnectionPool::take_expired`] is to be called then.
    pub fn next_expiry(&self) -> Option<Nanos> {
        self.idle
            .front()
            .map(|idle| idle.idle_since + self.params.max_idle_time)
    }
}
