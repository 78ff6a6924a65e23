//! Starts what gateways do together: links among them, ownership of statements and coordination.

use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use ivypitch_types::Nanos;

use super::clock::Clock;
use super::operator_config::LoadedOperatorConfig;
use super::startup::StartupError;
use crate::actors::coordination::CoordinationDriver;
use crate::actors::discovery::ListMessage;
use crate::actors::messages::SchedulerMessage;
use crate::actors::ownership::OwnershipDriver;
use crate::actors::peer_links;
use crate::state::traffic::Traffic;

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
    pub(super) discovery: Sender<ListMessage>,
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
        let peering = peers
            .peering(self.name)
            .map_err(|errors| file.settings_error(errors))?;
        let now = self.clock.now();
        let incarnation = self.clock.now() / 1_000_000;
        let zones: Vec<u16> = peering.roster.seats.iter().map(|seat| seat.zone).collect();
        let place = peering.place;
        let start = peer_links::Start {
            roster: peering.roster,
            place,
            listen: peering.listen,
            terms: peering.terms,
            birth: incarnation,
            seed: self.seed,
            traffic: self.traffic,
        };
        let links = peer_links::Peers::start(start, self.clock, self.scheduler, self.executor)
            .map_err(|error| StartupError::Peers(error.to_string()))?;
        let mut drivers = PeerDrivers::default();
        if peers.shares.enabled {
            let coordinator = ivypitch_coordination::Shares::new(
                ivypitch_coordination::Process {
                    place,
                    birth: incarnation,
                },
                zones.clone(),
                peers.shares.terms(zones.len(), self.tenants),
                self.position,
                self.seed,
                now,
            );
            let driver = CoordinationDriver::new(coordinator, links.clone(), self.discovery);
            drivers.coordination = Some(driver);
        }
        if peers.custody.enabled {
            let config = peers.custody.terms(self.max_statement_timeout);
            let ownership =
                ivypitch_ownership::Ownership::new(place, incarnation, zones, config, now);
            let driver = OwnershipDriver::new(ownership, links, peers.custody.asks_from());
            drivers.ownership = Some(driver);
        }
        Ok(drivers)
    }
}
