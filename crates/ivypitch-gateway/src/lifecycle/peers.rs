//! Starts what gateways do together: links among them, ownership of statements and coordination.

use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use ivypitch_coordination::{Coordinator, CoordinatorParams};
use ivypitch_ownership::Ownership;
use ivypitch_types::{Incarnation, Nanos, ProcessId};

use super::clock::Clock;
use super::operator_config::LoadedOperatorConfig;
use super::startup::StartupError;
use crate::actors::coordination::CoordinationDriver;
use crate::actors::discovery::DiscoveryMessage;
use crate::actors::messages::SchedulerMessage;
use crate::actors::ownership::OwnershipDriver;
use crate::actors::peer_links;
use crate::state::traffic::Traffic;

const NANOS_PER_MS: Nanos = 1_000_000;

/// What the scheduler's actor drives; none of it without other gateways.
#[derive(Default)]
pub(super) struct PeerDrivers {
    pub(super) ownership: Option<OwnershipDriver>,
    pub(super) coordination: Option<CoordinationDriver>,
}

/// What they are started with.
pub(super) struct PeersStart<'a> {
    /// This gateway's name in the fleet.
    pub(super) name: &'a str,
    pub(super) seed: u64,
    /// The position of the endpoint list to begin with.
    pub(super) position: u64,
    pub(super) tenants: &'a [String],
    pub(super) max_statement_timeout: Nanos,
    pub(super) clock: Clock,
    pub(super) scheduler: Sender<SchedulerMessage>,
    pub(super) discovery: Sender<DiscoveryMessage>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) traffic: Rc<Traffic>,
}

impl PeersStart<'_> {
    /// Binds the sockets for other gateways and sets up what the operators' settings turn on.
    pub(super) fn start(
        self,
        operator: Option<&LoadedOperatorConfig>,
    ) -> Result<PeerDrivers, StartupError> {
        let Some(LoadedOperatorConfig { file, config }) = operator else {
            return Ok(PeerDrivers::default());
        };
        let Some(peers) = config.peers.as_ref().filter(|peers| peers.enabled) else {
            return Ok(PeerDrivers::default());
        };
        let network = peers
            .network(self.name)
            .map_err(|errors| file.settings_error(errors))?;
        let now = self.clock.now();
        let process = ProcessId {
            member: network.own_member,
            incarnation: Incarnation(self.clock.now() / NANOS_PER_MS),
        };
        let zones = network.members.zones_by_member();
        let start = peer_links::Start {
            members: network.members,
            process,
            listen: network.listen,
            membership: network.membership,
            seed: self.seed,
            traffic: self.traffic,
        };
        let links = peer_links::Peers::start(start, self.clock, self.scheduler, self.executor)
            .map_err(|error| StartupError::Peers(error.to_string()))?;
        let mut drivers = PeerDrivers::default();
        if peers.coordination.enabled {
            let coordinator = Coordinator::new(CoordinatorParams {
                process,
                zones: zones.clone(),
                config: peers.coordination.config(zones.len(), self.tenants),
                last_event: self.position,
                seed: self.seed,
                now,
            });
            let driver = CoordinationDriver::new(coordinator, links.clone(), self.discovery);
            drivers.coordination = Some(driver);
        }
        if peers.ownership.enabled {
            let config = peers.ownership.config(self.max_statement_timeout);
            let ownership = Ownership::new(process, zones, config, now);
            let min_lookup_work = peers.ownership.min_lookup_work();
            drivers.ownership = Some(OwnershipDriver::new(ownership, links, min_lookup_work));
        }
        Ok(drivers)
    }
}
