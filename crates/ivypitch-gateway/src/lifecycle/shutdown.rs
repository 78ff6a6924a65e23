//! Graceful shutdown: the drain period, the last answers, and the end of all sessions.

use std::time::{Duration, Instant};

use async_executor::Task;
use async_io::Timer;
use futures_lite::FutureExt;
use ivypitch_types::Nanos;

use super::Phase;
use super::accept::accept_pending;
use super::gateway::Gateway;
use crate::actors::messages::SchedulerMessage;

/// After SIGTERM new connections go on coming for 0.4 s and requests on open ones for 0.2 s more.
const DRAIN_PERIOD: Duration = Duration::from_millis(700);
/// SIGKILL comes no sooner than so long after SIGTERM: the longest statement timeout, 3 s at most, and the drain period.
const MAX_AWAITED_TIMEOUT: Nanos = 3_000_000_000;
/// Reserved for the last answers to be written.
const LAST_ANSWERS_PERIOD: Nanos = 150_000_000;
/// In which the last messages to other gateways leave.
const LAST_MESSAGES_PERIOD: Duration = Duration::from_millis(50);

impl Gateway {
    /// From SIGTERM to the end; `accepting` is the task that accepts connections.
    pub(super) async fn shut_down(&mut self, accepting: Task<()>) {
        self.enter(Phase::Draining);
        let awaited = self.max_statement_timeout.min(MAX_AWAITED_TIMEOUT);
        let kill_at = self.clock.now() + awaited + DRAIN_PERIOD.as_nanos() as Nanos;
        let answer_by = kill_at - LAST_ANSWERS_PERIOD;
        let _ = self
            .scheduler
            .try_send(SchedulerMessage::Shutdown { answer_by });
        self.handle_signals_until(async {
            Timer::after(DRAIN_PERIOD).await;
        })
        .await;
        // From here on commands are rejected; whoever connects gets an error, and every session closes in order.
        self.enter(Phase::Finishing);
        self.sessions.end_all();
        let give_up_at = self.clock.instant(kill_at);
        self.wait_until_closed(give_up_at).await;
        accepting.cancel().await;
        // What the system has accepted by now gets that error, too.
        while accept_pending(&self.listener, &self.sessions, &self.executor) > 0
            && Instant::now() < give_up_at
        {
            self.wait_until_closed(give_up_at).await;
        }
        self.leave_fleet(give_up_at).await;
        self.enter(Phase::Stopped);
        self.connections.log_totals();
    }

    /// Where gateways talk to each other, the others go on with what has no session here, and hear that this one ends.
    async fn leave_fleet(&self, give_up_at: Instant) {
        let (reply, has_peers) = async_channel::bounded(1);
        let _ = self
            .scheduler
            .try_send(SchedulerMessage::LeaveFleet { reply });
        if has_peers.recv().await == Ok(true) {
            Timer::at(give_up_at.min(Instant::now() + LAST_MESSAGES_PERIOD)).await;
        }
    }

    async fn wait_until_closed(&mut self, give_up_at: Instant) {
        let sessions = self.sessions.clone();
        let timed_out = async {
            Timer::at(give_up_at).await;
        };
        self.handle_signals_until(sessions.all_closed().or(timed_out))
            .await;
    }
}
