//! Encoding of answers as packets: results, errors, and the results of `SHOW` statements.

use ivypitch_config::Names;
use ivypitch_types::Nanos;

use super::commands::REJECTED_CODE;
use super::{Session, SessionEnd};
use crate::actors::messages::{Answer, QueueRow};
use crate::state::rows::{COLUMNS, Rows};
use crate::wire::mysql::ErrorPacket;

/// A result is sent in chunks of about this size.
const RESULT_FLUSH_BYTES: usize = 16 << 10;
const NANOS_PER_MS: Nanos = 1_000_000;

const REJECTED_WITHOUT_RETRY: ErrorPacket =
    ErrorPacket::new(REJECTED_CODE, "42000", "Refused; the statement did not run");
const DUPLICATE_ID: ErrorPacket =
    ErrorPacket::new(1062, "23000", "A statement with this req is open");
const KILLED: ErrorPacket = ErrorPacket::new(1317, "70100", "Query execution was interrupted");
const ABORTED: ErrorPacket =
    ErrorPacket::new(1105, "HY000", "The statement failed and may have run");
const RESULT_NOT_CACHED: ErrorPacket = ErrorPacket::new(
    1105,
    "HY000",
    "The statement completed before; its result is no longer kept",
);

/// The columns of `SHOW QUEUE` and `SHOW WAIT`.
const QUEUE_COLUMNS: [&[u8]; 9] = [
    b"req",
    b"team",
    b"workload",
    b"state",
    b"position",
    b"low_ms",
    b"mid_ms",
    b"high_ms",
    b"age_ms",
];
/// The column of `SHOW FLEET`.
const FLEET_COLUMNS: [&[u8]; 1] = [b"view"];

impl Session {
    /// Writes the answer to a statement. Only large results are partly sent before the end.
    pub(super) async fn write_answer(&mut self, answer: Answer) -> Result<(), SessionEnd> {
        let error = match answer {
            Answer::Completed(rows) => return self.write_result(rows).await,
            Answer::Rejected { retry_after: 0 } => REJECTED_WITHOUT_RETRY,
            Answer::Rejected { retry_after } => rejected_with_retry_after(retry_after),
            Answer::Aborted => ABORTED,
            Answer::ResultNotCached => RESULT_NOT_CACHED,
            Answer::DuplicateId => DUPLICATE_ID,
            Answer::Killed => KILLED,
        };
        self.writer().error(&error);
        Ok(())
    }

    async fn write_result(&mut self, rows: Rows) -> Result<(), SessionEnd> {
        let mut writer = self.writer();
        writer.columns(&COLUMNS);
        let mut sequence = writer.sequence;
        for page in rows.into_pages() {
            let mut writer = self.writer_from(sequence);
            for row in Rows::rows_of_page(&page) {
                writer.row(row);
            }
            sequence = writer.sequence;
            drop(page);
            if self.output.len() >= RESULT_FLUSH_BYTES {
                self.flush().await?;
            }
        }
        self.writer_from(sequence).eof();
        Ok(())
    }

    /// Writes this gateway's view of the fleet as one row of JSON, which other programs use to
    /// compare the views of two gateways.
    pub(super) fn write_fleet_view(&mut self, view: &str) {
        let mut writer = self.writer();
        writer.columns(&FLEET_COLUMNS);
        writer.row([view.as_bytes()].into_iter());
        writer.eof();
    }

    /// Writes the statements in the teams' queues, one row each.
    pub(super) fn write_queue(&mut self, rows: &[QueueRow]) {
        let sessions = self.sessions.clone();
        let mut writer = self.writer();
        writer.columns(&QUEUE_COLUMNS);
        for row in rows {
            let columns = queue_columns(row, sessions.names());
            writer.row(columns.iter().map(String::as_bytes));
        }
        writer.eof();
    }
}

fn rejected_with_retry_after(retry_after: Nanos) -> ErrorPacket {
    let ms = retry_after / NANOS_PER_MS;
    ErrorPacket {
        code: REJECTED_CODE,
        sql_state: "42000",
        message: format!("Refused; the statement did not run, holdoff={ms}").into(),
    }
}

/// Returns a statement's values for [`QUEUE_COLUMNS`]. A statement that was released to the
/// scheduler is in no queue and is shown as running.
fn queue_columns(row: &QueueRow, names: &Names) -> [String; QUEUE_COLUMNS.len()] {
    let name = |names: &[String], index: usize| names.get(index).cloned().unwrap_or_default();
    let ms = |span: Nanos| (span / NANOS_PER_MS).to_string();
    let (state, position, [low, mid, high, age]) = match &row.queued {
        Some(queued) => {
            let wait = &queued.wait;
            let spans = [wait.low, wait.mid, wait.high, queued.age];
            ("waiting", queued.position, spans)
        }
        None => ("running", 0, [0; 4]),
    };
    [
        row.statement_id.clone(),
        name(&names.tenants, row.team),
        name(&names.workloads, row.workload),
        state.to_owned(),
        position.to_string(),
        ms(low),
        ms(mid),
        ms(high),
        ms(age),
    ]
}
