//! The scheduler's actor. It owns the scheduler, passes events to it and carries out its output. It
//! stores the open statements and all timers, and never waits for a network peer.
//!
//! A statement passes these stages in order: ownership, if several gateways run together; its
//! team's queue, if the operators' configuration file defines teams; the scheduler. The actor
//! passes them one event at a time, and then `SchedulerActor::apply_actions` carries out their
//! actions until none is left.

mod context;
mod coordination;
mod disconnects;
mod endpoints;
mod output;
mod ownership;
mod queueing;
mod statements;
mod timers;

use std::cell::RefCell;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use ivypitch_config::DeploymentConfig;
use ivypitch_queueing::Budgets;
use ivypitch_scheduler::{EndpointUpdateKind, Scheduler};
use ivypitch_types::{MILLISECOND, Nanos};

use self::context::Context;
use self::timers::TimerEvent;
use crate::actors::coordination::CoordinationDriver;
use crate::actors::messages::SchedulerMessage;
use crate::actors::ownership::OwnershipDriver;
use crate::actors::queueing::QueueingDriver;
use crate::lifecycle::clock::Clock;
use crate::state::connections::ConnectionCounters;
use crate::state::permits::ConnectionPermits;
use crate::state::statements::NewStatement;
use crate::state::traffic::Traffic;
use crate::wire::discovery::Snapshot;

/// How long before the end of the shutdown statements are handed off: time for a takeover, a poll
/// at the engine and the answer.
const HANDOFF_LEAD_TIME: Nanos = 400 * MILLISECOND;
/// Maximum number of messages handled before timers are checked again.
const MAX_MESSAGES_PER_TURN: usize = 256;

/// Parameters of a [`SchedulerActor`].
pub struct SchedulerActorParams {
    /// The deployment's settings.
    pub deployment: DeploymentConfig,
    /// Budgets of the teams; `None` without team queues.
    pub budgets: Option<Budgets>,
    /// The ownership driver; `None` without ownership among gateways.
    pub ownership: Option<OwnershipDriver>,
    /// The coordination driver; `None` without coordination among gateways.
    pub coordination: Option<CoordinationDriver>,
    /// Limits the connections to all engines together.
    pub permits: Rc<ConnectionPermits>,
    /// Counts connections to engines.
    pub connection_counters: Rc<ConnectionCounters>,
    /// Counts sent and received bytes.
    pub traffic: Rc<Traffic>,
    /// Seed of the random numbers that the scheduler and the queues draw.
    pub seed: u64,
    /// The gateway's clock.
    pub clock: Clock,
    /// The actor's own mailbox, for the attempts that it starts.
    pub mailbox: Sender<SchedulerMessage>,
    /// Runs the actors of engines and their attempts.
    pub executor: Rc<LocalExecutor<'static>>,
}

/// The actor that owns the scheduler.
pub struct SchedulerActor {
    queueing: Option<QueueingDriver>,
    /// Shared with the attempts, which ask it for confirmation before they send their first byte.
    scheduler: Rc<RefCell<Scheduler>>,
    context: Context,
    traffic: Rc<Traffic>,
    kill_counters: KillQueryCounters,
}

/// Counts `KILL QUERY`s for known connections, with and without an open statement.
#[derive(Default)]
struct KillQueryCounters {
    found: u64,
    without_statement: u64,
}

impl SchedulerActor {
    /// Creates an actor without engines and statements.
    pub fn new(mut params: SchedulerActorParams) -> SchedulerActor {
        let now = params.clock.now();
        let scheduler = Rc::new(RefCell::new(Scheduler::new(
            params.deployment.scheduler.clone(),
            params.seed,
            now,
        )));
        let tenants = params.deployment.names.tenants.clone();
        let queueing = params
            .budgets
            .take()
            .map(|budgets| QueueingDriver::new(budgets, tenants, params.seed, now));
        let traffic = params.traffic.clone();
        let mut context = Context::new(params, &scheduler, now);
        context.ended_statements = queueing.is_some().then(Vec::new);
        SchedulerActor {
            queueing,
            scheduler,
            context,
            traffic,
            kill_counters: KillQueryCounters::default(),
        }
    }

    /// Runs until the mailbox closes. Starts with the engines of the snapshot, which the endpoint
    /// watch updates.
    pub async fn run(mut self, mailbox: Receiver<SchedulerMessage>, snapshot: Snapshot) {
        self.start(&snapshot);
        loop {
            match self.next_message(&mailbox).await {
                Ok(Some(message)) => self.on_message(message),
                Ok(None) => {}
                Err(_) => return,
            }
            for _ in 0..MAX_MESSAGES_PER_TURN {
                let Ok(message) = mailbox.try_recv() else {
                    break;
                };
                self.on_message(message);
            }
            self.on_timers();
        }
    }

    /// Starts the scheduler with the engines of the snapshot.
    fn start(&mut self, snapshot: &Snapshot) {
        let context = &mut self.context;
        self.scheduler.borrow_mut().start(context.now, context);
        let mut kind = EndpointUpdateKind::Snapshot;
        for event in &snapshot.events {
            if let Some(update) = &event.update {
                self.apply_endpoints(update, kind);
                kind = EndpointUpdateKind::Delta;
            }
        }
        self.apply_actions();
    }

    /// Waits for the next message. Returns `None` when a timer fires, and an error when the mailbox
    /// is closed.
    async fn next_message(
        &self,
        mailbox: &Receiver<SchedulerMessage>,
    ) -> Result<Option<SchedulerMessage>, async_channel::RecvError> {
        let timer_at = self.next_timer().map(|at| self.context.clock.instant(at));
        let message = async { mailbox.recv().await.map(Some) };
        let timer = async {
            match timer_at {
                Some(at) => Timer::at(at).await,
                None => std::future::pending().await,
            };
            Ok(None)
        };
        message.or(timer).await
    }

    /// When the next timer of the scheduler or of a driver fires.
    fn next_timer(&self) -> Option<Nanos> {
        let context = &self.context;
        let queueing = self.queueing.as_ref().and_then(QueueingDriver::next_timer);
        let ownership = context
            .ownership
            .as_ref()
            .map(OwnershipDriver::next_timer)
            .filter(|&at| at < Nanos::MAX);
        let coordination = context
            .coordination
            .as_ref()
            .map(CoordinationDriver::next_timer);
        [context.timers.next(), queueing, ownership, coordination]
            .into_iter()
            .flatten()
            .min()
    }

    /// Handles all expired timers, including those of the drivers.
    fn on_timers(&mut self) {
        self.context.now = self.context.clock.now();
        while let Some(event) = self.context.timers.pop_expired(self.context.now) {
            self.on_timer(event);
        }
        if let Some(queueing) = &mut self.queueing {
            queueing.on_timer(self.context.now);
        }
        self.on_ownership_timer();
        self.on_coordination_timer();
        self.apply_actions();
    }

    fn on_timer(&mut self, event: TimerEvent) {
        match event {
            TimerEvent::Scheduler { token } => {
                let context = &mut self.context;
                self.scheduler
                    .borrow_mut()
                    .on_timer(context.now, token, context);
            }
            TimerEvent::AttemptTimeout {
                statement,
                serial,
                attempt,
            } => self.on_attempt_timeout(statement, serial, attempt),
            TimerEvent::Handoff => self.hand_off(),
            TimerEvent::StatementDeadline { statement, serial } => {
                self.on_statement_deadline(statement, serial);
            }
        }
        self.apply_actions();
    }

    /// Handles one message and the actions that result from it.
    fn on_message(&mut self, message: SchedulerMessage) {
        self.context.now = self.context.clock.now();
        match message {
            SchedulerMessage::StatementArrived {
                connection,
                statement,
                arrived_at,
                start,
                client,
            } => {
                let timeout = statement.fields.timeout_ms * MILLISECOND;
                let new = NewStatement {
                    connection,
                    statement,
                    deadline: (arrived_at + timeout).min(self.context.answer_by),
                    client,
                };
                self.on_statement_arrived(new, start);
            }
            SchedulerMessage::ClientDisconnected { connection } => {
                self.on_client_disconnected(connection);
            }
            SchedulerMessage::KillQuery { connection } => self.on_kill_query(connection),
            SchedulerMessage::AttemptProgressed { key, progress } => {
                self.on_attempt_progressed(key, progress);
            }
            SchedulerMessage::AttemptEnded { key, end } => self.on_attempt_ended(key, end),
            SchedulerMessage::EndpointsUpdated { update } => self.on_endpoints_updated(&update),
            SchedulerMessage::WatchLineRead { event } => self.on_watch_line_read(event),
            SchedulerMessage::PeerEvent(peer) => self.on_peer_event(peer),
            SchedulerMessage::Shutdown { answer_by } => self.on_shutdown(answer_by),
            SchedulerMessage::LeaveFleet { reply } => {
                let _ = reply.try_send(self.leave_fleet());
            }
            SchedulerMessage::ReloadBudgets { budgets } => self.reload_budgets(*budgets),
            SchedulerMessage::ShowFleet { reply } => {
                let _ = reply.try_send(self.fleet_view());
            }
            SchedulerMessage::ShowQueue {
                statement_id,
                reply,
            } => {
                let _ = reply.try_send(self.queue_rows(statement_id));
            }
        }
        self.apply_actions();
    }

    /// Begins the shutdown: every open statement must be answered by `answer_by`.
    fn on_shutdown(&mut self, answer_by: Nanos) {
        let kill_counters = &self.kill_counters;
        log::info!(
            found = kill_counters.found, without_statement = kill_counters.without_statement;
            "kill totals"
        );
        let context = &mut self.context;
        context.answer_by = answer_by;
        self.scheduler.borrow_mut().begin_shutdown(answer_by);
        if let Some(ownership) = &mut context.ownership {
            ownership.on_shutdown(answer_by);
            let handoff_at = answer_by.saturating_sub(HANDOFF_LEAD_TIME);
            context.timers.set(handoff_at, TimerEvent::Handoff);
        }
        if let Some(queueing) = &mut self.queueing {
            queueing.on_shutdown(context.now, answer_by);
            queueing.log_totals();
        }
    }

    /// Hands off the remaining statements and notifies the other gateways. Returns whether there
    /// are other gateways.
    fn leave_fleet(&mut self) -> bool {
        self.hand_off();
        let context = &self.context;
        if let Some(ownership) = &context.ownership {
            ownership.leave();
        } else if let Some(coordination) = &context.coordination {
            coordination.leave();
        } else {
            return false;
        }
        true
    }

    /// Applies the actions of the queues, ownership and coordination until none is left.
    fn apply_actions(&mut self) {
        self.apply_queueing_actions();
        while self.context.has_actions() {
            self.apply_ownership_actions();
            self.apply_coordination_actions();
            self.apply_queueing_actions();
        }
    }
}
