//! The endpoint list: the indices of engines, and one actor for each listed engine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::LocalExecutor;
use ivypitch_config::Names;
use ivypitch_connection_pool::PoolParams;
use ivypitch_scheduler::{EndpointUpdateKind, EngineEndpoint, EngineState};
use ivypitch_types::{EngineIndex, MILLISECOND};

use super::SchedulerActor;
use crate::actors::engine::{self, EngineMessage};
use crate::actors::engine_client::{EngineClient, EngineClientParams};
use crate::lifecycle::clock::Clock;
use crate::state::connections::ConnectionCounters;
use crate::state::engines::{EngineIds, engine_id_hash};
use crate::state::permits::ConnectionPermits;
use crate::state::traffic::Traffic;
use crate::wire::discovery::{Endpoint, EndpointUpdate};

/// Index of a zone or kind whose name is not in the settings.
const UNKNOWN_NAME_INDEX: u16 = u16::MAX;
/// Number of cores assumed for an engine whose kind is not in the settings.
const UNKNOWN_KIND_CORES: f64 = 1.0;

/// Starts the actors of engines, with the parameters that they share.
pub(super) struct EngineActorSpawner {
    pub(super) connect_timeout: Duration,
    pub(super) pool: PoolParams,
    pub(super) clock: Clock,
    pub(super) permits: Rc<ConnectionPermits>,
    pub(super) connection_counters: Rc<ConnectionCounters>,
    pub(super) traffic: Rc<Traffic>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
}

impl EngineActorSpawner {
    fn spawn(&self, address: SocketAddr) -> EngineHandle {
        let client = EngineClient::new(EngineClientParams {
            address,
            connect_timeout: self.connect_timeout,
            pool: self.pool,
            clock: self.clock,
            permits: self.permits.clone(),
            connects: self.connection_counters.clone(),
            traffic: self.traffic.clone(),
        });
        let (mailbox, messages) = async_channel::unbounded();
        self.executor
            .spawn(engine::run(client, messages, self.executor.clone()))
            .detach();
        EngineHandle { address, mailbox }
    }
}

/// Handle of an engine's actor, which ends when the handle is dropped.
struct EngineHandle {
    address: SocketAddr,
    mailbox: Sender<EngineMessage>,
}

/// The engine at one index.
#[derive(Default)]
struct EngineEntry {
    id_hash: u64,
    is_ready: bool,
    /// Number of cores while the engine is ready, else 0.
    cores: f64,
    /// The engine's actor while the engine is listed.
    handle: Option<EngineHandle>,
}

/// The engines that are listed or still referenced, by index.
pub(super) struct EngineTable {
    ids: EngineIds,
    entries: Vec<EngineEntry>,
    names: Names,
    /// Number of cores of each engine kind, by the kind's index in the settings.
    cores_by_kind: Vec<f64>,
    spawner: EngineActorSpawner,
}

impl EngineTable {
    pub(super) fn new(names: Names, cores_by_kind: Vec<f64>, spawner: EngineActorSpawner) -> Self {
        EngineTable {
            ids: EngineIds::default(),
            entries: Vec::new(),
            names,
            cores_by_kind,
            spawner,
        }
    }

    /// Returns the mailbox of an engine's actor; `None` if the engine is not listed.
    pub(super) fn mailbox(&self, engine: EngineIndex) -> Option<&Sender<EngineMessage>> {
        let handle = self.entries.get(engine.0)?.handle.as_ref()?;
        Some(&handle.mailbox)
    }

    /// Returns the hash of an engine's id.
    pub(super) fn id_hash(&self, engine: EngineIndex) -> Option<u64> {
        self.entries.get(engine.0).map(|entry| entry.id_hash)
    }

    /// Finds the engine with this hash of its id.
    pub(super) fn find_by_hash(&self, id_hash: u64) -> Option<EngineIndex> {
        self.entries
            .iter()
            .position(|entry| entry.id_hash == id_hash)
            .map(EngineIndex)
    }

    /// Finds the listed engine with this hash of its id.
    pub(super) fn find_listed(&self, id_hash: u64) -> Option<EngineIndex> {
        self.find_by_hash(id_hash)
            .filter(|&engine| self.mailbox(engine).is_some())
    }

    /// Returns the cores of all ready engines.
    pub(super) fn total_cores(&self) -> f64 {
        self.entries.iter().map(|entry| entry.cores).sum()
    }

    /// Returns the hashes of the ids of all ready engines.
    pub(super) fn ready_hashes(&self) -> Vec<u64> {
        self.entries
            .iter()
            .filter(|entry| entry.is_ready)
            .map(|entry| entry.id_hash)
            .collect()
    }

    /// Frees the indices of engines that are neither listed nor referenced.
    fn release_unreferenced(&mut self, is_referenced: impl Fn(EngineIndex) -> bool) {
        let entries = &self.entries;
        self.ids.retain(|engine| {
            is_referenced(engine)
                || entries
                    .get(engine.0)
                    .is_some_and(|entry| entry.handle.is_some())
        });
    }

    /// Applies one endpoint: starts, updates or ends its engine's actor. Returns `None` if its
    /// address is malformed.
    fn update_endpoint(&mut self, endpoint: &Endpoint) -> Option<EngineEndpoint> {
        let engine = self.ids.index_of(&endpoint.id);
        if self.entries.len() <= engine.0 {
            self.entries.resize_with(engine.0 + 1, EngineEntry::default);
        }
        let id_hash = engine_id_hash(&endpoint.id);
        self.entries[engine.0].id_hash = id_hash;
        let state = engine_state(&endpoint.state);
        if state == EngineState::Gone {
            self.entries[engine.0].handle = None;
        } else {
            let Ok(address) = endpoint.address.parse() else {
                log::warn!(
                    engine = engine.0, id = endpoint.id.as_str(), address = endpoint.address.as_str();
                    "engine endpoint has a malformed address"
                );
                return None;
            };
            self.connect(engine, &endpoint.id, address);
        }
        Some(EngineEndpoint {
            engine,
            id: id_hash,
            zone: index_of_name(&self.names.zones, &endpoint.zone),
            kind: index_of_name(&self.names.engine_kinds, &endpoint.kind),
            cell: endpoint.cell,
            state,
            weight: endpoint.weight,
            started_at: endpoint.started_ms * MILLISECOND,
        })
    }

    /// Starts the actor of an engine, or sends it the new address.
    fn connect(&mut self, engine: EngineIndex, id: &str, address: SocketAddr) {
        let slot = &mut self.entries[engine.0].handle;
        match slot {
            Some(handle) if handle.address == address => {}
            Some(handle) => {
                handle.address = address;
                let _ = handle.mailbox.try_send(EngineMessage::Address(address));
            }
            None => {
                log::info!(
                    engine = engine.0, id, address:% = address;
                    "engine added"
                );
                *slot = Some(self.spawner.spawn(address));
            }
        }
    }

    /// Ends the actors of engines that are missing from a complete list.
    fn remove_unlisted(&mut self, listed: &[EngineEndpoint]) {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if listed.iter().all(|endpoint| endpoint.engine.0 != index) {
                entry.handle = None;
            }
        }
    }

    /// Updates the cores of the listed engines; with a complete list, all others have none.
    fn update_cores(&mut self, kind: EndpointUpdateKind, listed: &[EngineEndpoint]) {
        if kind != EndpointUpdateKind::Delta {
            for entry in &mut self.entries {
                entry.cores = 0.0;
            }
        }
        for endpoint in listed {
            self.entries[endpoint.engine.0].cores = if endpoint.state == EngineState::Ready {
                self.cores_by_kind
                    .get(usize::from(endpoint.kind))
                    .copied()
                    .unwrap_or(UNKNOWN_KIND_CORES)
            } else {
                0.0
            };
        }
    }

    /// Updates whether the listed engines are ready. Engines that are missing from a complete list
    /// are not.
    fn update_readiness(&mut self, kind: EndpointUpdateKind, listed: &[EngineEndpoint]) {
        for endpoint in listed {
            self.entries[endpoint.engine.0].is_ready = endpoint.state == EngineState::Ready;
        }
        if kind == EndpointUpdateKind::Delta {
            return;
        }
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if listed.iter().all(|endpoint| endpoint.engine.0 != index) {
                entry.is_ready = false;
            }
        }
    }
}

fn engine_state(name: &str) -> EngineState {
    match name {
        "in_service" => EngineState::Ready,
        "terminating" => EngineState::Draining,
        _ => EngineState::Gone,
    }
}

fn index_of_name(names: &[String], name: &str) -> u16 {
    names
        .iter()
        .position(|known| known == name)
        .map_or(UNKNOWN_NAME_INDEX, |index| index as u16)
}

impl SchedulerActor {
    /// The endpoint watch delivered a change of the endpoint list.
    pub(super) fn on_endpoints_updated(&mut self, update: &EndpointUpdate) {
        let kind = if update.is_full {
            EndpointUpdateKind::Full
        } else {
            EndpointUpdateKind::Delta
        };
        self.apply_endpoints(update, kind);
    }

    /// Applies an update to the actors of engines first, then to the scheduler, the queues and
    /// coordination.
    pub(super) fn apply_endpoints(&mut self, update: &EndpointUpdate, kind: EndpointUpdateKind) {
        let context = &mut self.context;
        let listed: Vec<EngineEndpoint> = update
            .endpoints
            .iter()
            .filter_map(|endpoint| context.engines.update_endpoint(endpoint))
            .collect();
        if kind != EndpointUpdateKind::Delta {
            context.engines.remove_unlisted(&listed);
        }
        self.scheduler
            .borrow_mut()
            .on_endpoints_updated(context.now, kind, &listed, context);
        context.engines.update_cores(kind, &listed);
        context.engines.update_readiness(kind, &listed);
        if let Some(queueing) = &mut self.queueing {
            let cores = context.engines.total_cores() * context.quotas.cores_share;
            queueing.set_capacity(context.now, cores);
        }
        if let Some(coordination) = &mut context.coordination {
            coordination.on_endpoints_updated(&context.engines.ready_hashes());
        }
        let scheduler = self.scheduler.borrow();
        context
            .engines
            .release_unreferenced(|engine| scheduler.is_engine_referenced(engine));
    }
}
