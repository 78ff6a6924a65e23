//! The gateway as one object: its parts, phases and signal handling.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;

use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use ivypitch_types::Nanos;

use super::Phase;
use super::accept::accept;
use super::clock::Clock;
use super::reload::TeamBudgets;
use crate::actors::discovery::DiscoveryMessage;
use crate::actors::messages::SchedulerMessage;
use crate::actors::session::Sessions;
use crate::state::connections::ConnectionCounters;

/// A started gateway; [`Gateway::run`] serves clients.
pub struct Gateway {
    pub(super) phase: Phase,
    pub(super) clock: Clock,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) sessions: Rc<Sessions>,
    pub(super) connections: Rc<ConnectionCounters>,
    pub(super) listener: Rc<Async<TcpListener>>,
    pub(super) scheduler: Sender<SchedulerMessage>,
    pub(super) discovery: Sender<DiscoveryMessage>,
    pub(super) signals: Signals,
    /// The platform's configuration file, read again on SIGHUP.
    pub(super) configuration_path: PathBuf,
    pub(super) discovery_address: Option<SocketAddr>,
    pub(super) max_statement_timeout: Nanos,
    /// Read again on SIGHUP; `None` without an operators' settings file.
    pub(super) team_budgets: Option<TeamBudgets>,
    /// The running reload of the operators' settings file.
    pub(super) reload: Option<Task<()>>,
}

impl Gateway {
    /// Serves until SIGTERM or SIGINT, then answers all accepted statements and returns.
    pub fn run(self) {
        let executor = self.executor.clone();
        async_io::block_on(executor.run(self.serve()));
    }

    async fn serve(mut self) {
        let accept_task = self.executor.spawn(accept(
            self.listener.clone(),
            self.sessions.clone(),
            self.executor.clone(),
        ));
        self.enter(Phase::Serving);
        self.handle_signals_until(std::future::pending()).await;
        self.shut_down(accept_task).await;
    }

    /// Handles signals until `done` completes or, in the serving phase, until SIGTERM or SIGINT.
    /// SIGHUP reloads in every phase.
    pub(super) async fn handle_signals_until(&mut self, done: impl Future<Output = ()>) {
        let mut done = pin!(done);
        loop {
            let signal = async { self.signals.next().await.and_then(Result::ok) };
            let done = async {
                done.as_mut().await;
                None
            };
            match signal.or(done).await {
                Some(Signal::Hup) => self.reload(),
                Some(_) if self.phase != Phase::Serving => {}
                _ => return,
            }
        }
    }

    /// Changes the phase and logs it; nothing else changes the phase.
    pub(super) fn enter(&mut self, phase: Phase) {
        let counts = self.sessions.counts();
        log::info!(
            from:% = self.phase, to:% = phase,
            sessions = counts.sessions, statements = counts.open_statements;
            "lifecycle phase changed"
        );
        self.phase = phase;
    }
}
