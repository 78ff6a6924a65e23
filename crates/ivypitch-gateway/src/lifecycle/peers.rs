//! Starts the links to other gateways, ownership of statements and coordination.

use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use ivypitch_config::operator::{CoordinationSettings, OwnershipSettings};
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
use crate::actors::peer_links::{PeerLinks, PeerLinksMessage, PeerLinksParams};
use crate::state::traffic::Traffic;

const NANOS_PER_MS: Nanos = 1_000_000;

/// The drivers that the scheduler's actor uses; all `None` without other gateways.
#[derive(Default)]
pub(super) struct PeerDrivers {
    pub(super) ownership: Option<OwnershipDriver>,
    pub(super) coordination: Option<CoordinationDriver>,
}

/// Parameters for starting the links and drivers.
pub(super) struct PeerStartup<'a> {
    /// Name of this gateway in the fleet.
    pub(super) name: &'a str,
    pub(super) seed: u64,
    /// Position of the initial endpoint list.
    pub(super) position: u64,
    pub(super) tenants: &'a [String],
    pub(super) max_statement_timeout: Nanos,
    /// Maximum bytes of all that is kept for other gateways.
    pub(super) ownership_bytes: usize,
    pub(super) clock: Clock,
    pub(super) scheduler: Sender<SchedulerMessage>,
    pub(super) discovery: Sender<DiscoveryMessage>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) traffic: Rc<Traffic>,
}

impl PeerStartup<'_> {
    /// Binds the sockets for other gateways and creates the drivers that the operators' settings
    /// enable.
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
        let params = PeerLinksParams {
            members: network.members,
            process,
            listen: network.listen,
            membership: network.membership,
            seed: self.seed,
            traffic: self.traffic.clone(),
            clock: self.clock,
            scheduler: self.scheduler.clone(),
            executor: self.executor.clone(),
        };
        let links = PeerLinks::start(params)?;
        let fleet = Fleet {
            process,
            zones,
            links,
            now,
        };
        let has_coordination = peers.coordination.enabled;
        let has_ownership = peers.ownership.enabled;
        Ok(PeerDrivers {
            coordination: has_coordination
                .then(|| self.create_coordination(&peers.coordination, &fleet)),
            ownership: has_ownership.then(|| self.create_ownership(&peers.ownership, &fleet)),
        })
    }

    fn create_coordination(
        &self,
        settings: &CoordinationSettings,
        fleet: &Fleet,
    ) -> CoordinationDriver {
        let coordinator = Coordinator::new(CoordinatorParams {
            process: fleet.process,
            zones: fleet.zones.clone(),
            config: settings.config(fleet.zones.len(), self.tenants),
            last_event: self.position,
            seed: self.seed,
            now: fleet.now,
        });
        CoordinationDriver::new(coordinator, fleet.links.clone(), self.discovery.clone())
    }

    fn create_ownership(&self, settings: &OwnershipSettings, fleet: &Fleet) -> OwnershipDriver {
        let mut config = settings.config(self.max_statement_timeout);
        config.limit_memory(self.ownership_bytes, self.tenants.len());
        let ownership = Ownership::new(fleet.process, fleet.zones.clone(), config, fleet.now);
        let min_lookup_work = settings.min_lookup_work();
        OwnershipDriver::new(ownership, fleet.links.clone(), min_lookup_work)
    }
}

/// The fleet that this process joins.
struct Fleet {
    process: ProcessId,
    /// Availability zones by member id.
    zones: Vec<u16>,
    links: Sender<PeerLinksMessage>,
    now: Nanos,
}
