//! Cancelling an attempt at its engine.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use ivypitch_types::Outcome;

use super::{AttemptRun, RETRY_BACKOFF};
use crate::actors::engine_client::RESPONSE_TIMEOUT;
use crate::actors::engine_connection::{CallError, EngineConnection};
use crate::actors::messages::AttemptEnd;
use crate::state::connections::ConnectPurpose;
use crate::wire::http::{self, Response, status};

/// An engine drops a statement that is not polled for 2 s; engine timers are accurate to 50 ms.
const UNPOLLED_STATEMENT_LIFETIME: Duration = Duration::from_millis(2050);

impl AttemptRun<'_> {
    /// Cancels the attempt at its engine. The statement no longer runs there when this returns: the
    /// engine confirmed the cancellation, refused the connection because it has no process, or
    /// dropped the statement because it was not polled. The request does not use the attempt's own
    /// connection, on which a response may still arrive.
    pub(super) async fn cancel(&self) -> AttemptEnd {
        let dropped_at = Instant::now() + UNPOLLED_STATEMENT_LIFETIME;
        let mut connection = None;
        let confirmed = self.cancel_until_confirmed(&mut connection);
        let dropped_by_engine = async {
            Timer::at(dropped_at).await;
        };
        confirmed.or(dropped_by_engine).await;
        self.engine.release(connection);
        AttemptEnd::without_answer(Outcome::Cancelled)
    }

    async fn cancel_until_confirmed(&self, connection: &mut Option<EngineConnection>) {
        let statement_id = &self.attempt.start.statement_id;
        let request = http::write_delete(statement_id, &self.engine.host());
        let purpose = ConnectPurpose::Cancel;
        loop {
            let call = self
                .engine
                .call(connection, &request, RESPONSE_TIMEOUT, purpose);
            match call.await {
                Ok(Response {
                    status: status::CANCELLED | status::FAILED,
                    ..
                })
                | Err(CallError::ConnectionRefused) => return,
                Ok(_) | Err(_) => {
                    Timer::after(RETRY_BACKOFF).await;
                }
            }
        }
    }
}
