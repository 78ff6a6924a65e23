//! Encodes the scheduler's actions as records of the reply.

use crate::codec::Reply;
use crate::ids::Ids;
use ivypitch_scheduler::Output;
use ivypitch_types::{EngineIndex, Nanos, StatementIndex};

/// Record codes, named as in the simulator's documentation.
mod code {
    pub const TERMS: u8 = 10;
    pub const PUBLISH: u8 = 20;
    pub const WAKE_AT: u8 = 40;
    pub const GIVE_IN: u8 = 50;
    pub const PROBE: u8 = 60;
    pub const ISSUE: u8 = 70;
    pub const WITHDRAW: u8 = 90;
    pub const STREAM_CHANGES: u8 = 100;
    pub const WRITE_LOG: u8 = 110;
    pub const NOT_NOW: u8 = 120;
    pub const FINISH_ERROR: u8 = 130;
}

/// Timeouts are signed on the wire; a negative one would expire at once.
const MAX_TIMEOUT: Nanos = i64::MAX as u64;
/// Target that addresses a message to every peer.
const EVERY_PEER: u32 = u32::MAX;
const MAX_MESSAGE_BYTES: usize = 256;
const SUBSCRIBE: u8 = 1;

/// Reports that an instance has failed.
pub(crate) fn report_failure(reply: &mut Reply, instance: u32, text: &str) {
    reply
        .record(code::GIVE_IN, instance)
        .put_counted(text.as_bytes());
}

/// Writes the actions of the scheduler of one instance to the reply.
pub(crate) struct WireOutput<'a> {
    pub reply: &'a mut Reply,
    pub instance: u32,
    pub ids: &'a mut Ids,
}

impl WireOutput<'_> {
    /// Starts a record about a statement.
    fn start_statement_record(&mut self, code: u8, statement: StatementIndex) -> &mut Reply {
        let request = self.ids.request(statement);
        self.reply
            .record(code, self.instance)
            .put(&request.0.to_le_bytes())
    }
}

impl Output for WireOutput<'_> {
    fn send(&mut self, statement: StatementIndex, engine: EngineIndex, timeout: Nanos) {
        let engine = self.ids.engine(engine);
        self.start_statement_record(code::ISSUE, statement)
            .put(&engine)
            .put(&timeout.min(MAX_TIMEOUT).to_le_bytes());
    }

    fn cancel(&mut self, statement: StatementIndex, attempt: u32) {
        self.start_statement_record(code::WITHDRAW, statement)
            .put(&(attempt as u16).to_le_bytes());
    }

    fn set_resources(&mut self, statement: StatementIndex, grant_mb: f64, priority: u8) {
        self.start_statement_record(code::TERMS, statement)
            .put(&(grant_mb as f32).to_le_bytes())
            .put(&[priority]);
    }

    fn reject(&mut self, statement: StatementIndex, retry_after: Nanos) {
        self.start_statement_record(code::NOT_NOW, statement)
            .put(&retry_after.to_le_bytes());
    }

    fn abort(&mut self, statement: StatementIndex) {
        self.start_statement_record(code::FINISH_ERROR, statement);
    }

    fn forget(&mut self, statement: StatementIndex) {
        self.ids.forget_statement(statement);
    }

    fn set_timer(&mut self, timer: u64, after: Nanos) {
        self.reply
            .record(code::WAKE_AT, self.instance)
            .put(&timer.to_le_bytes())
            .put(&after.to_le_bytes());
    }

    fn request_load_report(&mut self, engine: EngineIndex) {
        let engine = self.ids.engine(engine);
        self.reply.record(code::PROBE, self.instance).put(&engine);
    }

    fn broadcast(&mut self, message: &[u8]) {
        let message = &message[..message.len().min(MAX_MESSAGE_BYTES)];
        self.reply
            .record(code::PUBLISH, self.instance)
            .put(&EVERY_PEER.to_le_bytes())
            .put_counted(message);
    }

    fn watch_endpoints(&mut self) {
        self.reply
            .record(code::STREAM_CHANGES, self.instance)
            .put(&[SUBSCRIBE]);
    }

    fn log(&mut self, line: &str) {
        self.reply
            .record(code::WRITE_LOG, self.instance)
            .put_counted(line.as_bytes());
    }
}
