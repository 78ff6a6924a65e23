//! Starts one simulated gateway.

use std::rc::Rc;
use std::sync::Arc;

use ivypitch_config::operator::{OperatorConfig, PeerNetwork, PeersSettings};
use ivypitch_coordination::{Coordinator, CoordinatorParams};
use ivypitch_discovery::EndpointWatch;
use ivypitch_gateway::actors::coordination::CoordinationDriver;
use ivypitch_gateway::actors::discovery::{DiscoveryActor, DiscoveryMessage, DiscoveryParams};
use ivypitch_gateway::actors::messages::SchedulerMessage;
use ivypitch_gateway::actors::ownership::OwnershipDriver;
use ivypitch_gateway::actors::peer_links::{
    BindError, PeerLinks, PeerLinksMessage, PeerLinksParams,
};
use ivypitch_gateway::lifecycle::clock::Clock;
use ivypitch_gateway::state::traffic::Traffic;
use ivypitch_ownership::Ownership;
use ivypitch_types::{Incarnation, MILLISECOND, MemberId, Nanos, ProcessId};
use smol::LocalExecutor;
use smol::channel::{self, Receiver, Sender};

use super::SimulatedGateways;
use super::gateway::SimulatedGateway;
use super::links::{Inbox, SharedState, route};

/// The limit of a gateway with 1 GB of memory.
const MAX_LINE_BYTES: usize = 32 << 20;

/// A simulated gateway cannot start.
#[derive(Debug, thiserror::Error)]
pub(super) enum StartError {
    #[error("{0}")]
    Settings(String),
    #[error("simulated gateway {member}: no peers in the operator's settings")]
    NoPeers { member: usize },
    #[error("simulated gateway {member}: {errors}")]
    Network { member: usize, errors: String },
    #[error(transparent)]
    Bind(#[from] BindError),
}

/// Inputs of the start of a simulated gateway.
pub(super) struct GatewayStart<'a> {
    pub(super) config: &'a SimulatedGateways,
    pub(super) operator: &'a OperatorConfig,
    /// Its position in the member list.
    pub(super) member: usize,
    pub(super) inbox: Inbox,
    pub(super) shared: &'a Arc<SharedState>,
    pub(super) clock: Clock,
    pub(super) executor: &'a Rc<LocalExecutor<'static>>,
}

/// Values shared by its components.
struct Shared {
    process: ProcessId,
    now: Nanos,
    zones: Vec<u16>,
    seed: u64,
    outgoing: Sender<PeerLinksMessage>,
}

impl GatewayStart<'_> {
    pub(super) fn start(self) -> Result<(), StartError> {
        let member = self.member;
        let peers = self.operator.peers.as_ref();
        let peers = peers.ok_or(StartError::NoPeers { member })?;
        let network = self.network(peers)?;
        let now = self.clock.now();
        let process = ProcessId {
            member: MemberId(member as u16),
            incarnation: Incarnation(self.clock.now() / MILLISECOND),
        };
        let zones = network.members.zones_by_member();
        let seed = self.config.seed ^ ((member as u64) << 32);
        let traffic = Rc::new(Traffic::default());
        let (scheduler, events) = channel::unbounded();
        let params = PeerLinksParams {
            members: network.members,
            process,
            listen: network.listen,
            membership: network.membership,
            seed,
            traffic: traffic.clone(),
            clock: self.clock,
            scheduler: scheduler.clone(),
            executor: self.executor.clone(),
        };
        let peer_links = PeerLinks::start(params)?;
        let (outgoing, to_route) = channel::unbounded();
        let routing = route(to_route, peer_links, process.member, self.shared.clone());
        self.executor.spawn(routing).detach();
        let (discovery, relayed_events) = channel::unbounded();
        self.follow_discovery(seed, scheduler, traffic, relayed_events);
        let shared_values = Shared {
            process,
            now,
            zones,
            seed,
            outgoing,
        };
        self.run(peers, &shared_values, discovery, events);
        Ok(())
    }

    /// The member list, with the real gateways at the addresses of their relays.
    fn network(&self, peers: &PeersSettings) -> Result<PeerNetwork, StartError> {
        let mut network = peers
            .network(&format!("n{}", self.member))
            .map_err(|errors| StartError::Network {
                member: self.member,
                errors: format!("{errors:?}"),
            })?;
        let routes = &self.config.routes[self.member - self.config.first];
        for (member, &address) in network.members.members.iter_mut().zip(routes) {
            member.address = address;
        }
        Ok(network)
    }

    fn follow_discovery(
        &self,
        seed: u64,
        scheduler: Sender<SchedulerMessage>,
        traffic: Rc<Traffic>,
        relayed_events: Receiver<DiscoveryMessage>,
    ) {
        let actor = DiscoveryActor::new(DiscoveryParams {
            watch: EndpointWatch::new(0, seed),
            clock: self.clock,
            max_line_bytes: MAX_LINE_BYTES,
            scheduler,
            reports_lines: true,
            traffic,
        });
        let following = actor.run(Some(self.config.discovery), relayed_events);
        self.executor.spawn(following).detach();
    }

    fn run(
        self,
        peers: &PeersSettings,
        shared_values: &Shared,
        discovery: Sender<DiscoveryMessage>,
        events: Receiver<SchedulerMessage>,
    ) {
        let coordination = peers
            .coordination
            .enabled
            .then(|| self.coordination(peers, shared_values, discovery.clone()));
        let ownership = peers
            .ownership
            .enabled
            .then(|| self.ownership(peers, shared_values));
        let gateway = SimulatedGateway::new(
            shared_values.process.member,
            self.clock,
            ownership,
            coordination,
            self.shared.clone(),
        );
        let inbox = self.inbox;
        // The mailbox of the discovery actor stays open as long as the gateway runs.
        let task = async move {
            let _discovery = discovery;
            gateway.run(events, inbox).await;
        };
        self.executor.spawn(task).detach();
    }

    fn coordination(
        &self,
        peers: &PeersSettings,
        shared_values: &Shared,
        discovery: Sender<DiscoveryMessage>,
    ) -> CoordinationDriver {
        let members = shared_values.zones.len();
        let coordinator = Coordinator::new(CoordinatorParams {
            process: shared_values.process,
            zones: shared_values.zones.clone(),
            config: peers.coordination.config(members, &self.config.tenants),
            last_event: 0,
            seed: shared_values.seed,
            now: shared_values.now,
        });
        CoordinationDriver::new(coordinator, shared_values.outgoing.clone(), discovery)
    }

    fn ownership(&self, peers: &PeersSettings, shared_values: &Shared) -> OwnershipDriver {
        let max_statement_timeout = self.config.max_statement_timeout_ms * MILLISECOND;
        let config = peers.ownership.config(max_statement_timeout);
        let ownership = Ownership::new(
            shared_values.process,
            shared_values.zones.clone(),
            config,
            shared_values.now,
        );
        let min_lookup_work = peers.ownership.min_lookup_work();
        OwnershipDriver::new(ownership, shared_values.outgoing.clone(), min_lookup_work)
    }
}
