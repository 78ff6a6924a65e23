//! Records the scheduler's actions as text.

use ivypitch_scheduler::Output;
use ivypitch_types::{EngineIndex, MILLISECOND, Nanos, StatementIndex};
use std::collections::{BTreeMap, BTreeSet};

/// The last attempt of a statement.
#[derive(Clone, Copy)]
pub struct LastAttempt {
    pub engine: EngineIndex,
    pub number: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timer {
    pub at: Nanos,
    pub timer: u64,
}

#[derive(Default)]
pub struct Recorder {
    /// Actions that no check has removed yet.
    pub actions: Vec<String>,
    /// Names of the statements, by index.
    pub statements: Vec<String>,
    /// Names of the engines, by index.
    pub engines: Vec<String>,
    /// Last attempts, by statement index.
    pub attempts: BTreeMap<usize, LastAttempt>,
    pub engines_used: BTreeSet<EngineIndex>,
    pub timers: Vec<Timer>,
    pub now: Nanos,
}

impl Recorder {
    fn record(&mut self, action: &str, statement: StatementIndex, details: &str) {
        let name = &self.statements[statement.0];
        self.actions.push(format!("{action} {name} {details}"));
    }

    /// Removes the actions up to the first that begins with `words`; panics if there is none.
    pub fn expect(&mut self, words: &str) {
        let position = self
            .actions
            .iter()
            .position(|action| begins_with(action, words));
        let position = position.unwrap_or_else(|| panic!("no {words:?} in {:#?}", self.actions));
        self.actions.drain(..=position);
    }

    /// Panics if a recorded action begins with `words`.
    pub fn expect_never(&self, words: &str) {
        let found = self
            .actions
            .iter()
            .find(|action| begins_with(action, words));
        assert!(found.is_none(), "{found:?} in {:#?}", self.actions);
    }
}

/// Whether the first words of the action are exactly `words`.
fn begins_with(action: &str, words: &str) -> bool {
    format!("{} ", action.trim_end()).starts_with(&format!("{words} "))
}

impl Output for Recorder {
    fn send(&mut self, statement: StatementIndex, engine: EngineIndex, _timeout: Nanos) {
        let last = self.attempts.get(&statement.0);
        let number = last.map_or(0, |last| last.number + 1);
        self.attempts
            .insert(statement.0, LastAttempt { engine, number });
        self.engines_used.insert(engine);
        let name = self.engines[engine.0].clone();
        self.record("send", statement, &name);
    }

    fn cancel(&mut self, statement: StatementIndex, _attempt: u32) {
        self.record("cancel", statement, "");
    }

    fn set_resources(&mut self, statement: StatementIndex, grant_mb: f64, priority: u8) {
        self.record(
            "set_resources",
            statement,
            &format!("{grant_mb:.0} {priority}"),
        );
    }

    fn reject(&mut self, statement: StatementIndex, retry_after: Nanos) {
        self.record(
            "reject",
            statement,
            &format!("{}", retry_after / MILLISECOND),
        );
    }

    fn abort(&mut self, statement: StatementIndex) {
        self.record("abort", statement, "");
    }

    fn forget(&mut self, statement: StatementIndex) {
        self.record("forget", statement, "");
    }

    fn set_timer(&mut self, timer: u64, delay: Nanos) {
        let at = self.now + delay;
        self.timers.push(Timer { at, timer });
    }

    fn request_load_report(&mut self, engine: EngineIndex) {
        let name = &self.engines[engine.0];
        self.actions.push(format!("request_load_report {name}"));
    }

    fn broadcast(&mut self, message: &[u8]) {
        self.actions.push(format!("broadcast {}", message[0] & 1));
    }

    fn watch_endpoints(&mut self) {
        self.actions.push("watch_endpoints".into());
    }

    fn log(&mut self, line: &str) {
        self.actions.push(format!("log {line}"));
    }
}
