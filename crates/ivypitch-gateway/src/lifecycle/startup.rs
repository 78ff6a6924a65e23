//! Creates a gateway from its configuration: binds the listener, and creates and connects the
//! actors.

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
use super::peers::{PeerDrivers, PeerStartup};
use super::reload::TeamBudgets;
use crate::actors::discovery::{DiscoveryActor, DiscoveryMessage, DiscoveryParams};
use crate::actors::messages::SchedulerMessage;
use crate::actors::peer_links::{BindError, MAX_UNIDENTIFIED_CONNECTIONS};
use crate::actors::scheduler::{SchedulerActor, SchedulerActorParams};
use crate::actors::session::Sessions;
use crate::state::connections::ConnectionCounters;
use crate::state::permits::ConnectionPermits;
use crate::state::traffic::Traffic;

/// Why a gateway cannot start, with messages for the operator.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// The signal handlers cannot be registered.
    #[error("cannot register signal handlers: {0}")]
    Signals(io::Error),
    /// The platform's configuration cannot be used.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The operators' settings cannot be used.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigError),
    /// The listen address for clients cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The sockets for other gateways cannot be bound.
    #[error(transparent)]
    Peers(#[from] BindError),
}

/// Registers handlers for SIGHUP, SIGTERM and SIGINT. From here on none of them ends the process by
/// itself; each is queued until read.
pub fn catch_signals() -> Result<Signals, StartupError> {
    Signals::new([Signal::Hup, Signal::Term, Signal::Int]).map_err(StartupError::Signals)
}

impl Gateway {
    /// Starts all parts. An error ends the process before it accepts connections; `None` means that
    /// SIGTERM or SIGINT arrived first. Without `operator`, all features that it configures are
    /// off.
    pub fn start(
        mut configuration: Configuration,
        operator: Option<LoadedOperatorConfig>,
        clock: Clock,
        mut signals: Signals,
    ) -> Result<Option<Gateway>, StartupError> {
        configuration
            .bounds
            .reserve_peer_links(max_peer_links(operator.as_ref()));
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

/// Features that the operators' settings enable.
struct OperatorFeatures {
    /// Team budgets at the start.
    budgets: Option<Budgets>,
    /// Reads the team budgets again on SIGHUP.
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
        let can_show_queue = config.teams.as_ref().is_some_and(|teams| teams.show);
        let peers = config.peers.as_ref().filter(|peers| peers.enabled);
        Ok(OperatorFeatures {
            can_show_queue: can_show_queue && budgets.is_some(),
            has_coordination: peers.is_some_and(|peers| peers.coordination.enabled),
            has_ownership: peers.is_some_and(|peers| peers.ownership.enabled),
            budgets,
            team_budgets: Some(team_budgets),
        })
    }
}

/// Values shared by the parts of a gateway while they are created.
struct GatewayBuilder {
    seed: u64,
    /// Position of the initial endpoint list.
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

impl GatewayBuilder {
    fn create_sessions(
        &self,
        deployment: &DeploymentConfig,
        features: &OperatorFeatures,
    ) -> Rc<Sessions> {
        let names = deployment.names.clone();
        let scheduler = self.scheduler.clone();
        let sessions = Sessions::new(self.bounds, names, self.clock, scheduler, self.seed);
        sessions.set_can_show_queue(features.can_show_queue);
        sessions.set_can_show_fleet(features.has_coordination);
        sessions.set_has_ownership(features.has_ownership);
        sessions
    }

    fn create_discovery_actor(&self, has_coordination: bool) -> DiscoveryActor {
        DiscoveryActor::new(DiscoveryParams {
            watch: EndpointWatch::new(self.position, self.seed),
            clock: self.clock,
            max_line_bytes: self.bounds.discovery_line_bytes,
            scheduler: self.scheduler.clone(),
            reports_lines: has_coordination,
            traffic: self.traffic.clone(),
        })
    }

    fn start_peers(
        &self,
        name: &str,
        tenants: &[String],
        operator: Option<&LoadedOperatorConfig>,
    ) -> Result<PeerDrivers, StartupError> {
        let startup = PeerStartup {
            name,
            seed: self.seed,
            position: self.position,
            tenants,
            max_statement_timeout: self.max_statement_timeout,
            ownership_bytes: self.bounds.ownership_bytes,
            clock: self.clock,
            scheduler: self.scheduler.clone(),
            discovery: self.discovery.clone(),
            executor: self.executor.clone(),
            traffic: self.traffic.clone(),
        };
        startup.start(operator)
    }

    fn create_scheduler_actor(
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
    let builder = GatewayBuilder {
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
    let sessions = builder.create_sessions(&deployment, &features);
    let discovery_actor = builder.create_discovery_actor(features.has_coordination);
    let tenants = &deployment.names.tenants;
    let peers = builder.start_peers(&configuration.name, tenants, operator.as_ref())?;
    let scheduler_actor = builder.create_scheduler_actor(deployment, features.budgets, peers);
    let executor = builder.executor;
    executor
        .spawn(scheduler_actor.run(scheduler_mailbox, snapshot))
        .detach();
    executor
        .spawn(discovery_actor.run(configuration.discovery, discovery_mailbox))
        .detach();
    Ok(Gateway {
        phase: Phase::Starting,
        clock,
        executor,
        sessions,
        connections: builder.connections,
        listener: Rc::new(listener),
        scheduler: builder.scheduler,
        discovery: builder.discovery,
        signals,
        configuration_path: configuration.path,
        discovery_address: configuration.discovery,
        max_statement_timeout: builder.max_statement_timeout,
        team_budgets: features.team_budgets,
        reload: None,
    })
}

/// Links to other gateways, and connections that have not said from which one they are.
fn max_peer_links(operator: Option<&LoadedOperatorConfig>) -> usize {
    let peers = operator.and_then(|operator| operator.config.peers.as_ref());
    peers.filter(|peers| peers.enabled).map_or(0, |peers| {
        peers.member_count() + MAX_UNIDENTIFIED_CONNECTIONS
    })
}

/// Limits open statements to the maximum number of clients with one.
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
