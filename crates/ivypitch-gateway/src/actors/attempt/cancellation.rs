//! Cancelling an attempt at its engine.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use ivypitch_types::Outcome;

use super::{AttemptRun, RETRY_PAUSE};
use crate::actors::engine_client::RESPONSE_TIMEOUT;
use crate::actors::engine_connection::{CallError, EngineConnection};
use crate::actors::messages::AttemptEnd;
use crate::state::connections::ConnectPurpose;
use crate::wire::http::{self, Response, status};

/// An engine drops a query that has not been polled for in 2 s; the engines' times run 50 ms wide.
const ENGINE_DROPS_UNPOLLED_AFTER: Duration = Duration::from_millis(2050);

impl AttemptRun<'_> {
    /// Cancels it. It no longer runs when this returns: the engine has confirmed that, has no process, or has long
    /// dropped the query since nobody polled for it. The attempt's own connection is left alone: a response may be to
    /// come on it still.
    pub(super) async fn cancel(&self) -> AttemptEnd {
        let dropped_at = Instant::now() + ENGINE_DROPS_UNPOLLED_AFTER;
        let mut connection = None;
        let confirmed = self.cancel_until_confirmed(&mut connection);
        let dropped = async {
            Timer::at(dropped_at).await;
        };
        confirmed.or(dropped).await;
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
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }
}
