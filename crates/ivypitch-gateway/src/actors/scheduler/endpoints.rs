//! The endpoint list: indices of engines, and one actor for each engine that is listed.

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

/// Zone or kind of an engine whose name is not in the settings.
const UNKNOWN_NAME: u16 = u16::MAX;
/// Cores of an engine whose kind is not in the settings.
const UNKNOWN_KIND_CORES: f64 = 1.0;

/// What the actors of engines have in common.
pub(super) struct EngineSpawner {
    pub(super) connect_timeout: Duration,
    pub(super) pool: PoolParams,
    pub(super) clock: Clock,
    pub(super) permits: Rc<ConnectionPermits>,
    pub(super) connection_counters: Rc<ConnectionCounters>,
    pub(super) traffic: Rc<Traffic>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
}

impl EngineSpawner {
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

/// The actor of an engine, which ends as its handle is dropped.
struct EngineHandle {
    address: SocketAddr,
    mailbox: Sender<EngineMessage>,
}

/// What is known of the engine at one index.
#[derive(Default)]
struct EngineEntry {
    id_hash: u64,
    is_ready: bool,
    /// While it is ready.
    cores: f64,
    /// While it is listed.
    handle: Option<EngineHandle>,
}

/// The engines that are listed, or that are still referenced, by index.
pub(super) struct EngineTable {
    ids: EngineIds,
    entries: Vec<EngineEntry>,
    names: Names,
    /// By the kinds' index in the settings.
    cores_by_kind: Vec<f64>,
    spawner: EngineSpawner,
}

impl EngineTable {
    pub(super) fn new(names: Names, cores_by_kind: Vec<f64>, spawner: EngineSpawner) -> Self {
        EngineTable {
            ids: EngineIds::default(),
            entries: Vec::new(),
            names,
            cores_by_kind,
            spawner,
        }
    }

    /// The mailbox of an engine's actor; `None` if the engine is not listed.
    pub(super) fn mailbox(&self, engine: EngineIndex) -> Option<&Sender<EngineMessage>> {
        let handle = self.entries.get(engine.0)?.handle.as_ref()?;
        Some(&handle.mailbox)
    }

    /// Hash of an engine's id.
    pub(super) fn id_hash(&self, engine: EngineIndex) -> Option<u64> {
        self.entries.get(engine.0).map(|entry| entry.id_hash)
    }

    /// The engine with this hash of its id.
    pub(super) fn find_by_hash(&self, id_hash: u64) -> Option<EngineIndex> {
        self.entries
            .iter()
            .position(|entry| entry.id_hash == id_hash)
            .map(EngineIndex)
    }

    /// The engine with this hash of its id, while it is listed.
    pub(super) fn find_listed(&self, id_hash: u64) -> Option<EngineIndex> {
        self.find_by_hash(id_hash)
            .filter(|&engine| self.mailbox(engine).is_some())
    }

    /// Cores of all ready engines.
    pub(super) fn total_cores(&self) -> f64 {
        self.entries.iter().map(|entry| entry.cores).sum()
    }

    /// Hashes of the ready engines' ids.
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

    /// Enters one endpoint and starts, moves or ends its engine's actor. `None` if its address is malformed.
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

    /// Starts the actor of an engine, or tells it of a new address.
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

    /// Ends the actors of engines that a complete list lacks.
    fn remove_unlisted(&mut self, listed: &[EngineEndpoint]) {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if listed.iter().all(|endpoint| endpoint.engine.0 != index) {
                entry.handle = None;
            }
        }
    }

    /// Sets the cores of the listed engines; a complete list sets those of all.
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

    /// Sets whether the listed engines are ready; engines that a complete list lacks are not.
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
        .map_or(UNKNOWN_NAME, |index| index as u16)
}

impl SchedulerActor {
    /// The endpoint list has changed, as the watch on it says.
    pub(super) fn on_endpoints_updated(&mut self, update: &EndpointUpdate) {
        let kind = if update.is_full {
            EndpointUpdateKind::Full
        } else {
            EndpointUpdateKind::Delta
        };
        self.apply_endpoints(update, kind);
    }

    /// Applies an update to the engines' actors first, then to the scheduler, the queues and coordination.
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
            let cores = context.engines.total_cores() * context.quotas.cores_fraction;
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
