//! From configuration to a gateway that can serve: the listener, the actors and how they reach each other.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::{Signal, Signals};
use ivypitch_config::DeploymentConfig;
use ivypitch_discovery::EndpointWatch;
use ivypitch_queueing::Budgets;
use ivypitch_types::Nanos;

use super::Phase;
use super::accept;
use super::bounds::Bounds;
use super::clock::Clock;
use super::configuration::{Configuration, ConfigurationError};
use super::gateway::Gateway;
use super::operator_config::{LoadedOperatorConfig, OperatorConfigError};
use super::peers::{PeerDrivers, PeersStart};
use super::reload::TeamBudgets;
use crate::actors::discovery::{DiscoveryActor, DiscoveryMessage, DiscoveryParams};
use crate::actors::messages::SchedulerMessage;
use crate::actors::peer_links::BindError;
use crate::actors::scheduler::{SchedulerActor, SchedulerActorParams};
use crate::actors::session::Sessions;
use crate::state::connections::ConnectionCounters;
use crate::state::permits::ConnectionPermits;
use crate::state::traffic::Traffic;

/// Why a gateway can't start, in words for the operator.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// Signals can't be caught.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The platform's configuration.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The operators' settings.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigError),
    /// The address for clients can't be taken.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's reason.
        source: io::Error,
    },
    /// The sockets for other gateways.
    #[error(transparent)]
    Peers(#[from] BindError),
}

/// Catches the signals that the gateway heeds. From here on none of them ends it unasked; each waits to be read.
pub fn catch_signals() -> Result<Signals, StartupError> {
    Signals::new([Signal::Hup, Signal::Term, Signal::Int]).map_err(StartupError::Signals)
}

impl Gateway {
    /// Brings everything up; an error ends the process before it has accepted anything, `None`: SIGTERM came first. Without
    /// the operators' settings all that they could set up is off.
    pub fn start(
        configuration: Configuration,
        operator: Option<LoadedOperatorConfig>,
        clock: Clock,
        mut signals: Signals,
    ) -> Result<Option<Gateway>, StartupError> {
        let address = configuration.listen;
        let Some(listener) = accept::bind(address, &mut signals)? else {
            return Ok(None);
        };
        let address = listener
            .get_ref()
            .local_addr()
            .map_err(|source| StartupError::Listen { address, source })?;
        let name = configuration.name.clone();
        let bounds = configuration.bounds;
        let workloads = configuration.deployment.scheduler.workloads.len();
        let gateway = assemble(configuration, operator, clock, signals, listener)?;
        log::info!(
            name = name.as_str(), address:% = address, workloads = workloads,
            clients = bounds.clients, engine_connections = bounds.engine_connections;
            "gateway started"
        );
        Ok(Some(gateway))
    }
}

/// What the operators' settings turn on.
struct OperatorFeatures {
    /// Of the teams, as they are at the start.
    budgets: Option<Budgets>,
    /// To read them again.
    team_budgets: Option<TeamBudgets>,
    can_show_queue: bool,
    has_coordination: bool,
    has_ownership: bool,
}

impl OperatorFeatures {
    fn new(
        operator: Option<&LoadedOperatorConfig>,
        deployment: &DeploymentConfig,
        clients: usize,
    ) -> Result<OperatorFeatures, OperatorConfigError> {
        let Some(LoadedOperatorConfig { file, config }) = operator else {
            return Ok(OperatorFeatures {
                budgets: None,
                team_budgets: None,
                can_show_queue: false,
                has_coordination: false,
                has_ownership: false,
            });
        };
        let mut team_budgets = TeamBudgets {
            file: file.clone(),
            deployment: Rc::new(deployment.clone()),
            clients,
            has_queues: false,
        };
        let budgets = team_budgets.budgets(config)?;
        team_budgets.has_queues = budgets.is_some();
        let shows_queue = config.teams.as_ref().is_some_and(|teams| teams.show);
        let peers = config.peers.as_ref().filter(|peers| peers.enabled);
        Ok(OperatorFeatures {
            can_show_queue: shows_queue && budgets.is_some(),
            has_coordination: peers.is_some_and(|peers| peers.coordination.enabled),
            has_ownership: peers.is_some_and(|peers| peers.ownership.enabled),
            budgets,
            team_budgets: Some(team_budgets),
        })
    }
}

/// What the parts of a gateway have in common while they are created.
struct Assembly {
    seed: u64,
    /// Of the endpoint list to begin with.
    position: u64,
    max_statement_timeout: Nanos,
    bounds: Bounds,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    scheduler: Sender<SchedulerMessage>,
    discovery: Sender<DiscoveryMessage>,
    traffic: Rc<Traffic>,
    connections: Rc<ConnectionCounters>,
}

impl Assembly {
    fn sessions(&self, deployment: &DeploymentConfig, features: &OperatorFeatures) -> Rc<Sessions> {
        let names = deployment.names.clone();
        let scheduler = self.scheduler.clone();
        let sessions = Sessions::new(self.bounds, names, self.clock, scheduler, self.seed);
        sessions.set_can_show_queue(features.can_show_queue);
        sessions.set_can_show_fleet(features.has_coordination);
        sessions.set_has_ownership(features.has_ownership);
        sessions
    }

    fn watch(&self, has_coordination: bool) -> DiscoveryActor {
        DiscoveryActor::new(DiscoveryParams {
            watch: EndpointWatch::new(self.position, self.seed),
            clock: self.clock,
            max_line_bytes: self.bounds.discovery_line_bytes,
            scheduler: self.scheduler.clone(),
            reports_lines: has_coordination,
            traffic: self.traffic.clone(),
        })
    }

    fn peers(
        &self,
        name: &str,
        tenants: &[String],
        operator: Option<&LoadedOperatorConfig>,
    ) -> Result<PeerDrivers, StartupError> {
        let start = PeersStart {
            name,
            seed: self.seed,
            position: self.position,
            tenants,
            max_statement_timeout: self.max_statement_timeout,
            clock: self.clock,
            scheduler: self.scheduler.clone(),
            discovery: self.discovery.clone(),
            executor: self.executor.clone(),
            traffic: self.traffic.clone(),
        };
        start.start(operator)
    }

    fn scheduler_actor(
        &self,
        deployment: DeploymentConfig,
        budgets: Option<Budgets>,
        peers: PeerDrivers,
    ) -> SchedulerActor {
        SchedulerActor::new(SchedulerActorParams {
            deployment,
            budgets,
            ownership: peers.ownership,
            coordination: peers.coordination,
            permits: ConnectionPermits::new(self.bounds.engine_connections),
            connection_counters: self.connections.clone(),
            traffic: self.traffic.clone(),
            seed: self.seed,
            clock: self.clock,
            mailbox: self.scheduler.clone(),
            executor: self.executor.clone(),
        })
    }
}

/// Creates the actors and connects them.
fn assemble(
    configuration: Configuration,
    operator: Option<LoadedOperatorConfig>,
    clock: Clock,
    signals: Signals,
    listener: Async<TcpListener>,
) -> Result<Gateway, StartupError> {
    let bounds = configuration.bounds;
    let snapshot = configuration.snapshot;
    let mut deployment = configuration.deployment;
    limit_open_statements(&mut deployment, bounds.clients);
    let features = OperatorFeatures::new(operator.as_ref(), &deployment, bounds.clients)?;
    let (scheduler, scheduler_mailbox) = async_channel::unbounded();
    let (discovery, discovery_mailbox) = async_channel::unbounded();
    let assembly = Assembly {
        seed: configuration.seed,
        position: snapshot.position,
        max_statement_timeout: max_statement_timeout(&deployment),
        bounds,
        clock,
        executor: Rc::new(LocalExecutor::new()),
        scheduler,
        discovery,
        traffic: Rc::new(Traffic::default()),
        connections: Rc::new(ConnectionCounters::default()),
    };
    let sessions = assembly.sessions(&deployment, &features);
    let watch = assembly.watch(features.has_coordination);
    let tenants = &deployment.names.tenants;
    let peers = assembly.peers(&configuration.name, tenants, operator.as_ref())?;
    let actor = assembly.scheduler_actor(deployment, features.budgets, peers);
    let executor = assembly.executor;
    executor
        .spawn(actor.run(scheduler_mailbox, snapshot))
        .detach();
    executor
        .spawn(watch.run(configuration.discovery, discovery_mailbox))
        .detach();
    Ok(Gateway {
        phase: Phase::Starting,
        clock,
        executor,
        sessions,
        connections: assembly.connections,
        listener: Rc::new(listener),
        scheduler: assembly.scheduler,
        discovery: assembly.discovery,
        signals,
        configuration_path: configuration.path,
        discovery_address: configuration.discovery,
        max_statement_timeout: assembly.max_statement_timeout,
        team_budgets: features.team_budgets,
        reload: None,
    })
}

/// No more statements are open than clients may have.
fn limit_open_statements(deployment: &mut DeploymentConfig, clients: usize) {
    let limit = &mut deployment.scheduler.max_open_statements;
    *limit = (*limit).min(clients);
}

fn max_statement_timeout(deployment: &DeploymentConfig) -> Nanos {
    let workloads = deployment.scheduler.workloads.iter();
    workloads
        .map(|workload| workload.statement_timeout)
        .max()
        .unwrap_or(0)
}
