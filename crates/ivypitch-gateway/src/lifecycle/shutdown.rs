//! Graceful shutdown: the drain period, the last answers and the end of all sessions.

use std::time::{Duration, Instant};

use async_executor::Task;
use async_io::Timer;
use futures_lite::FutureExt;
use ivypitch_types::Nanos;

use super::Phase;
use super::accept::accept_pending;
use super::gateway::Gateway;
use crate::actors::messages::SchedulerMessage;

/// How long requests are still served. New connections arrive for up to 0.4 s after SIGTERM, and
/// requests on open ones for 0.2 s more.
const DRAIN_PERIOD: Duration = Duration::from_millis(700);
/// Cap on the statement timeout in the shutdown deadline: SIGKILL follows SIGTERM no sooner than
/// after the longest statement timeout, at most 3 s, plus the drain period.
const MAX_STATEMENT_TIMEOUT: Nanos = 3_000_000_000;
/// Time before the deadline that is reserved for writing the last answers.
const LAST_ANSWERS_TIME: Nanos = 150_000_000;
/// Time for sending the last messages to other gateways.
const LAST_MESSAGES_TIME: Duration = Duration::from_millis(50);

impl Gateway {
    /// Runs the shutdown from SIGTERM to the end; `accept_task` accepts connections.
    pub(super) async fn shut_down(&mut self, accept_task: Task<()>) {
        self.enter(Phase::Draining);
        let max_timeout = self.max_statement_timeout.min(MAX_STATEMENT_TIMEOUT);
        let kill_at = self.clock.now() + max_timeout + DRAIN_PERIOD.as_nanos() as Nanos;
        let answer_by = kill_at - LAST_ANSWERS_TIME;
        let _ = self
            .scheduler
            .try_send(SchedulerMessage::Shutdown { answer_by });
        self.handle_signals_until(async {
            Timer::after(DRAIN_PERIOD).await;
        })
        .await;
        // From here on commands are rejected, new connections get an error, and sessions close
        // gracefully.
        self.enter(Phase::Finishing);
        self.sessions.end_all();
        let deadline = self.clock.instant(kill_at);
        self.wait_until_closed(deadline).await;
        accept_task.cancel().await;
        // Connections still in the listen backlog get the same error.
        while accept_pending(&self.listener, &self.sessions, &self.executor) > 0
            && Instant::now() < deadline
        {
            self.wait_until_closed(deadline).await;
        }
        self.leave_fleet(deadline).await;
        self.enter(Phase::Stopped);
        self.connections.log_totals();
    }

    /// With other gateways, hands off statements that have no session here and announces the end of
    /// this gateway.
    async fn leave_fleet(&self, deadline: Instant) {
        let (reply, has_peers) = async_channel::bounded(1);
        let _ = self
            .scheduler
            .try_send(SchedulerMessage::LeaveFleet { reply });
        if has_peers.recv().await == Ok(true) {
            Timer::at(deadline.min(Instant::now() + LAST_MESSAGES_TIME)).await;
        }
    }

    async fn wait_until_closed(&mut self, deadline: Instant) {
        let sessions = self.sessions.clone();
        let timed_out = async {
            Timer::at(deadline).await;
        };
        self.handle_signals_until(sessions.all_closed().or(timed_out))
            .await;
    }
}
