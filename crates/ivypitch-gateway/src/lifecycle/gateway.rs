//! The gateway as one object: what it is made of, its phases and its signals.

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

/// A gateway that has started; [`Gateway::run`] serves.
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
    /// Read again on SIGHUP.
    pub(super) configuration_path: PathBuf,
    pub(super) discovery_address: Option<SocketAddr>,
    pub(super) max_statement_timeout: Nanos,
    /// Read again on SIGHUP, where the operators have a file.
    pub(super) team_budgets: Option<TeamBudgets>,
    /// The operators' file being read again.
    pub(super) reload: Option<Task<()>>,
}

impl Gateway {
    /// Serves until SIGTERM, then answers all that was accepted.
    pub fn run(self) {
        let executor = self.executor.clone();
        async_io::block_on(executor.run(self.serve()));
    }

    async fn serve(mut self) {
        let accepting = self.executor.spawn(accept(
            self.listener.clone(),
            self.sessions.clone(),
            self.executor.clone(),
        ));
        self.enter(Phase::Serving);
        self.handle_signals_until(std::future::pending()).await;
        self.shut_down(accepting).await;
    }

    /// Until `done`, or, while the gateway serves, until SIGTERM; SIGHUP reloads in every phase.
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

    /// The one function that changes the phase.
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
