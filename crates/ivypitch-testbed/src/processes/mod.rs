//! Fleets of real processes: gateways and emulated engines as children of this one, a journal service, and a relay on
//! every way between them. Faults of processes and links follow a plan; what engines and clients counted is kept with
//! its time. Only processes that were started here are signalled, by their id.

pub mod clients;
pub mod discovery_server;
pub mod engine;
pub mod loopback_run;
pub mod ports;
pub mod relay;
pub mod restarts;
pub(crate) mod session;
pub mod simulated_engines;
pub mod simulated_gateways;
pub mod testbed_process;
pub mod usage;
pub mod verdict;

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::log_lines::is_event;
use crate::test_servers::{
    Answer, Client, EventLog, WAIT_TIMEOUT, configuration, ivypitch_program,
};
use crate::virtual_time::faults::{Fault, FaultKind, FaultPlan};
use discovery_server::DiscoveryServer;
use engine::timestamp_us;
use ivypitch_gateway::log_events::MEMBER_LOST;
use ports::free_port;
use relay::{LinkEnd, RelayNetwork};
use simulated_engines::SimulatedEngines;
use simulated_gateways::SimulatedGateways;
use testbed_process::TestbedProcess;
use usage::{EngineTraffic, GatewayTraffic, Sample, Usage};

/// What a process said, with its microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEvent {
    pub at_us: u64,
    pub engine: usize,
    pub kind: String,
    pub id: String,
    /// The gateway at whose address it was said.
    pub gateway: usize,
}

/// What was done to a process or a link.
#[derive(Clone, Copy, Debug)]
pub struct InjectedFault {
    pub at_us: u64,
    pub fault: Fault,
}

#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub gateways: usize,
    pub zones: usize,
    pub engines: FleetEngines,
    /// Longest statement timeout.
    pub max_statement_timeout_ms: u64,
    /// Own settings as JSON: what stands in `peers` beside the list; `None`: gateways without peers.
    pub peer_settings: Option<String>,
    /// Further records of the own file, each with a comma behind it.
    pub own_settings: String,
    pub seed: u64,
    /// Changes the settings of the deployment.
    pub change_config: fn(String) -> String,
    /// Gateways reach the engines with no relay between, all by the address for the first: then what the journal says is
    /// the same for all.
    pub direct_engines: bool,
    /// So many hollow gateways beside, at the places behind the real ones.
    pub simulated_gateways: usize,
    /// Hollow gateways say each event that they take, hollow engines each start.
    pub prints_simulated_events: bool,
}

#[derive(Clone, Debug)]
pub enum FleetEngines {
    /// Emulated ones of so many cores.
    Processes { count: usize, cores: f64 },
    /// Hollow ones, at the same address for all gateways; `spare` more are there and not listed.
    Simulated { count: usize, unlisted: usize },
    /// A test's own: the address of each for each gateway.
    External(Vec<Vec<SocketAddr>>),
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig {
            gateways: 5,
            zones: 3,
            engines: FleetEngines::Processes {
                count: 3,
                cores: 16.0,
            },
            max_statement_timeout_ms: 3000,
            peer_settings: Some(r#""custody":{"remembered_ms":400,"asks_from_ms":0}"#.into()),
            own_settings: String::new(),
            seed: 1,
            change_config: |settings| settings,
            direct_engines: false,
            simulated_gateways: 0,
            prints_simulated_events: false,
        }
    }
}

/// A gateway's seat; its process comes and goes.
pub struct GatewaySlot {
    pub address: SocketAddr,
    pub peer_address: SocketAddr,
    config_path: PathBuf,
    /// The configuration, where it was written anew.
    complete_config: String,
    own_settings_path: Option<PathBuf>,
    /// Each engine as this gateway reaches it.
    engine_addresses: Vec<SocketAddr>,
    /// Each gateway has a journal service of its own, since it reaches the engines by its own ways.
    discovery: DiscoveryServer,
    /// Where this gateway reaches its journal service.
    discovery_address: SocketAddr,
    child: Option<Child>,
    /// The lines of all its processes.
    pub log: EventLog<String>,
    pub is_stopped: bool,
}

struct EngineSlot {
    listen_addresses: Vec<SocketAddr>,
    child: Option<Child>,
    commands: Option<ChildStdin>,
}

pub struct Fleet {
    pub config: FleetConfig,
    pub network: RelayNetwork,
    pub gateways: Vec<GatewaySlot>,
    engines: Vec<EngineSlot>,
    /// Hollow gateways and engines, where there are any.
    pub simulated_gateways: Option<TestbedProcess>,
    pub simulated_engines: Option<TestbedProcess>,
    simulated_gateways_discovery: Option<DiscoveryServer>,
    /// Hollow engines that are not listed; their numbers follow those of the listed ones.
    pub unlisted_engines: Vec<SocketAddr>,
    pub engine_events: EventLog<EngineEvent>,
    pub injected_faults: Vec<InjectedFault>,
    /// Processes that ended without the plan, and lines of the log that no program may write.
    pub crashes: Vec<String>,
}

pub fn row(id: &str, address: SocketAddr, zone: usize, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"z{zone}","kind":"std","cell":0,"state":"{state}","weight":1,"started_ms":0}}"#
    )
}

impl Fleet {
    /// All processes started, and each gateway hears all others.
    pub fn start(setup: FleetConfig) -> Result<Fleet, String> {
        let net = RelayNetwork::start(setup.seed);
        let told = |e: std::io::Error| e.to_string();
        let count = match &setup.engines {
            FleetEngines::Processes { count, .. } | FleetEngines::Simulated { count, .. } => *count,
            FleetEngines::External(all) => all.len(),
        };
        let engines = (0..count).map(|_| EngineSlot {
            listen_addresses: Vec::new(),
            child: None,
            commands: None,
        });
        let mut fleet = Fleet {
            network: net,
            gateways: Vec::new(),
            engines: engines.collect(),
            simulated_gateways: None,
            simulated_engines: None,
            simulated_gateways_discovery: None,
            unlisted_engines: Vec::new(),
            engine_events: EventLog::new(),
            injected_faults: Vec::new(),
            crashes: Vec::new(),
            config: setup,
        };
        let gateways = fleet.config.gateways;
        for e in 0..count {
            fleet.engines[e].listen_addresses = match &fleet.config.engines {
                FleetEngines::Processes { .. } => (0..gateways).map(|_| free_port()).collect(),
                FleetEngines::Simulated { .. } => vec![free_port(); gateways],
                FleetEngines::External(all) => all[e].clone(),
            };
            fleet.start_engine(e)?;
        }
        if let FleetEngines::Simulated {
            unlisted: spare, ..
        } = fleet.config.engines
        {
            fleet.unlisted_engines = (0..spare).map(|_| free_port()).collect();
            let listed = fleet
                .engines
                .iter()
                .map(|engine| engine.listen_addresses[0]);
            let listen = listed
                .chain(fleet.unlisted_engines.iter().copied())
                .collect();
            let park = SimulatedEngines {
                listen,
                tells_starts: fleet.config.prints_simulated_events,
            };
            let first = serde_json::to_string(&park).map_err(|e| e.to_string())?;
            fleet.simulated_engines = Some(TestbedProcess::start("hollow-engines", &first)?);
        }
        let peers_at: Vec<SocketAddr> = (0..gateways + fleet.config.simulated_gateways)
            .map(|_| free_port())
            .collect();
        for g in 0..gateways {
            let seat = fleet.gateway_slot(g, &peers_at).map_err(told)?;
            fleet.gateways.push(seat);
        }
        (0..gateways).try_for_each(|g| fleet.start_gateway(g))?;
        fleet.start_simulated_gateways(&peers_at)?;
        if fleet.config.peer_settings.is_some() {
            fleet.wait_until_joined()?;
        }
        Ok(fleet)
    }

    /// Each gateway has heard each other.
    fn wait_until_joined(&self) -> Result<(), String> {
        let until = Instant::now() + WAIT_TIMEOUT;
        for (g, seat) in self.gateways.iter().enumerate() {
            for other in (0..self.config.gateways + self.config.simulated_gateways)
                .filter(|&other| other != g)
            {
                let name = format!("n{other}");
                let is_up = |line: &String| is_event(line, "member is up", &[("member", &name)]);
                while !seat.log.all().iter().any(is_up) {
                    if Instant::now() > until {
                        let log = seat.log.all().join("\n");
                        return Err(format!("n{g} has not heard n{other}; its log:\n{log}"));
                    }
                    thread::sleep(Duration::from_millis(5));
                }
            }
        }
        if let Some(crowd) = &self.simulated_gateways {
            crowd
                .lines
                .wait_for_nth("hollow gateways", self.config.simulated_gateways, |line| {
                    line.contains(" joined ")
                });
        }
        Ok(())
    }

    /// The list of the own file; `at`: where each of the places is reached.
    fn own_settings_json(
        &self,
        at: impl Fn(usize) -> std::io::Result<SocketAddr>,
    ) -> std::io::Result<String> {
        let mut list = Vec::new();
        for other in 0..self.config.gateways + self.config.simulated_gateways {
            let (at, zone) = (at(other)?, other % self.config.zones);
            list.push(format!(
                r#"{{"name":"n{other}","zone":"z{zone}","address":"{at}"}}"#
            ));
        }
        let (own, list, peers) = (
            &self.config.own_settings,
            list.join(","),
            self.config.peer_settings.as_deref().unwrap_or(""),
        );
        Ok(format!(
            r#"{{{own}"peers":{{"gateways":[{list}],{peers}}}}}"#
        ))
    }

    /// The hollow gateways follow one journal, and reach the real ones by a relay each.
    fn start_simulated_gateways(&mut self, peers_at: &[SocketAddr]) -> Result<(), String> {
        let told = |e: std::io::Error| e.to_string();
        let (first, zones) = (self.config.gateways, self.config.zones);
        if self.config.simulated_gateways == 0 {
            return Ok(());
        }
        let rows: Vec<String> = (self.engines.iter().enumerate())
            .map(|(e, engine)| {
                row(
                    &format!("s-{e}"),
                    engine.listen_addresses[0],
                    e % zones,
                    "in_service",
                )
            })
            .collect();
        let journal = DiscoveryServer::start(&rows).map_err(told)?;
        let mut ways = Vec::new();
        for hollow in first..first + self.config.simulated_gateways {
            let way = |g: usize| {
                self.network.open(
                    LinkEnd::Gateway(hollow),
                    LinkEnd::Gateway(g),
                    peers_at[g],
                    true,
                )
            };
            ways.push(
                (0..first)
                    .map(way)
                    .collect::<std::io::Result<Vec<_>>>()
                    .map_err(told)?,
            );
        }
        let crowd = SimulatedGateways {
            operator_settings: self
                .own_settings_json(|place| Ok(peers_at[place]))
                .map_err(told)?,
            first,
            routes: ways,
            discovery: journal.address,
            tenants: vec!["acme".into()],
            max_statement_timeout_ms: self.config.max_statement_timeout_ms,
            seed: self.config.seed,
            prints_events: self.config.prints_simulated_events,
        };
        let line = serde_json::to_string(&crowd).map_err(|e| e.to_string())?;
        self.simulated_gateways = Some(TestbedProcess::start("hollow-gateways", &line)?);
        self.simulated_gateways_discovery = Some(journal);
        Ok(())
    }

    /// What is known of a real gateway now; `None`: it is not there, or shares nothing and so shows nothing.
    pub fn sample(&mut self, g: usize) -> Option<Sample> {
        let seat = &self.gateways[g];
        let Answer::Rows(rows) = Client::try_connect(seat.address)?.try_execute("SHOW FLEET")?
        else {
            return None;
        };
        let own = GatewayTraffic::read(&serde_json::from_str(rows.first()?.first()?).ok()?)?;
        let usage = Usage::of(seat.child.as_ref()?.id())?;
        let relay = self.network.totals(LinkEnd::Gateway(g));
        let mut engines = EngineTraffic::default();
        if let Some(park) = &mut self.simulated_engines {
            let counts: Vec<simulated_engines::Counts> =
                serde_json::from_str(&park.request("count", "counts ")).ok()?;
            for counts in counts.iter().filter(|counts| counts.gateway == g) {
                engines.starts += counts.starts;
                engines.bytes_in += counts.bytes_in;
                engines.bytes_out += counts.bytes_out;
                engines.open += counts.open;
            }
        }
        let lost = self.gateways[g]
            .log
            .all()
            .iter()
            .filter(|line| is_event(line, MEMBER_LOST, &[]))
            .count() as u64;
        Some(Sample {
            usage,
            traffic: own,
            relay,
            engines,
            lost_members: lost,
        })
    }

    fn gateway_slot(&self, g: usize, peers_at: &[SocketAddr]) -> std::io::Result<GatewaySlot> {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let (zones, me) = (self.config.zones, LinkEnd::Gateway(g));
        let mut engines_at = Vec::new();
        for (e, engine) in self.engines.iter().enumerate() {
            engines_at.push(match self.config.direct_engines {
                true => engine.listen_addresses[0],
                false => {
                    self.network
                        .open(me, LinkEnd::Engine(e), engine.listen_addresses[g], false)?
                }
            });
        }
        let rows: Vec<String> = engines_at
            .iter()
            .enumerate()
            .map(|(e, &at)| row(&format!("s-{e}"), at, e % zones, "in_service"))
            .collect();
        let journal = DiscoveryServer::start(&rows)?;
        let journal_at = self
            .network
            .open(me, LinkEnd::Journal, journal.address, false)?;
        let address = free_port();
        let names: Vec<String> = (0..zones).map(|z| format!("\"z{z}\"")).collect();
        let config = configuration(&address.to_string(), &rows, None, 1024)
            .replace("\"name\":\"n0\"", &format!("\"name\":\"n{g}\""))
            .replace(
                "\"zones\":[\"z\"]",
                &format!("\"zones\":[{}]", names.join(",")),
            )
            .replace("\"journal\":\"\"", &format!("\"journal\":\"{journal_at}\""))
            .replace(
                "\"balancers\":1",
                &format!(
                    "\"balancers\":{}",
                    self.config.gateways + self.config.simulated_gateways
                ),
            )
            .replace(
                "8c1f30d27a5be964",
                &format!("{:016x}", self.config.seed ^ (g as u64) << 32),
            )
            .replace(
                "\"give-up-ns\":20000000000",
                &format!(
                    "\"give-up-ns\":{}000000",
                    self.config.max_statement_timeout_ms
                ),
            );
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("fleet-{}-{number}.json", std::process::id()));
        std::fs::write(&path, (self.config.change_config)(config))?;
        let mut own = None;
        if self.config.peer_settings.is_some() {
            let text = self.own_settings_json(|other| match other == g {
                true => Ok(peers_at[g]),
                false => self
                    .network
                    .open(me, LinkEnd::Gateway(other), peers_at[other], true),
            })?;
            let own_path = path.with_extension("own.json");
            std::fs::write(&own_path, text)?;
            own = Some(own_path);
        }
        let log = EventLog::new();
        Ok(GatewaySlot {
            address,
            peer_address: peers_at[g],
            config_path: path,
            complete_config: String::new(),
            own_settings_path: own,
            engine_addresses: engines_at,
            discovery: journal,
            discovery_address: journal_at,
            child: None,
            log,
            is_stopped: false,
        })
    }

    /// Starts its process and waits until that serves.
    pub fn start_gateway(&mut self, g: usize) -> Result<(), String> {
        let is_started =
            |line: &String| line.contains("gateway started") || line.contains("ERROR listen");
        let begun = self.gateways[g]
            .log
            .all()
            .iter()
            .filter(|l| is_started(l))
            .count();
        self.spawn_gateway(g)?;
        self.gateways[g]
            .log
            .wait_for_nth("start", begun + 1, is_started);
        Ok(())
    }

    /// Starts its process.
    pub fn spawn_gateway(&mut self, g: usize) -> Result<(), String> {
        let seat = &mut self.gateways[g];
        let mut command = Command::new(ivypitch_program());
        command
            .arg("serve")
            .env("PROXY_CONFIG", &seat.config_path)
            .stdin(Stdio::null());
        match &seat.own_settings_path {
            Some(own) => command.env("IVYPITCH_OWN", own),
            None => command.env_remove("IVYPITCH_OWN"),
        };
        let mut child = command
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| e.to_string())?;
        let lines = child
            .stderr
            .take()
            .map(|stderr| BufReader::new(stderr).lines());
        let log = seat.log.clone();
        thread::spawn(move || {
            lines
                .into_iter()
                .flatten()
                .map_while(Result::ok)
                .for_each(|line| log.push(line));
        });
        seat.child = Some(child);
        Ok(())
    }

    pub fn start_engine(&mut self, e: usize) -> Result<(), String> {
        let FleetEngines::Processes { cores, .. } = self.config.engines else {
            return Ok(());
        };
        let seat = &mut self.engines[e];
        let listen: Vec<String> = seat
            .listen_addresses
            .iter()
            .map(SocketAddr::to_string)
            .collect();
        let mut child = Command::new(ivypitch_program())
            .args([
                "lab",
                "engine",
                "--cores",
                &cores.to_string(),
                "--listen",
                &listen.join(","),
            ])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| e.to_string())?;
        let lines = child
            .stdout
            .take()
            .map(|stdout| BufReader::new(stdout).lines());
        seat.commands = child.stdin.take();
        seat.child = Some(child);
        let said = self.engine_events.clone();
        let begun = said
            .all()
            .iter()
            .filter(|s| s.engine == e && s.kind == "ready")
            .count();
        thread::spawn(move || {
            for line in lines.into_iter().flatten().map_while(Result::ok) {
                let mut words = line.split(' ');
                let mut word = || words.next().unwrap_or_default().to_owned();
                let (at, what, id, by) = (word(), word(), word(), word());
                let (at, by) = (at.parse().unwrap_or(0), by.parse().unwrap_or(0));
                said.push(EngineEvent {
                    at_us: at,
                    engine: e,
                    kind: what,
                    id,
                    gateway: by,
                });
            }
        });
        self.engine_events
            .wait_for_nth("engine", begun + 1, |s| s.engine == e && s.kind == "ready");
        Ok(())
    }

    /// `fails 0.5`, `mute 1`: to an engine that is a process.
    pub fn send_command(&mut self, e: usize, line: &str) {
        if let Some(orders) = &mut self.engines[e].commands {
            let _ = writeln!(orders, "{line}");
        }
    }

    pub fn signal(&self, g: usize, signal: Signal) {
        let Some(child) = &self.gateways[g].child else {
            return;
        };
        if let Some(pid) = Pid::from_raw(child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    pub fn is_up(&self, g: usize) -> bool {
        self.gateways[g].child.is_some()
    }

    pub fn kill(&mut self, g: usize) {
        self.record_unexpected_exit(g);
        if let Some(mut child) = self.gateways[g].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.gateways[g].is_stopped = false;
    }

    pub fn kill_engine(&mut self, e: usize) {
        if let Some(mut child) = self.engines[e].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGTERM, and its exit code.
    pub fn terminate(&mut self, g: usize) -> Option<i32> {
        self.signal(g, Signal::TERM);
        let code = self.gateways[g].child.take()?.wait().ok()?.code();
        if code != Some(0) {
            self.crashes
                .push(format!("n{g} ended with {code:?} at SIGTERM"));
        }
        code
    }

    pub fn stop(&mut self, g: usize) {
        self.signal(g, Signal::STOP);
        self.gateways[g].is_stopped = true;
    }

    pub fn resume(&mut self, g: usize) {
        self.signal(g, Signal::CONT);
        self.gateways[g].is_stopped = false;
    }

    /// A process that has ended by itself is a crash.
    fn record_unexpected_exit(&mut self, g: usize) {
        let ended = self.gateways[g]
            .child
            .as_mut()
            .and_then(|child| child.try_wait().ok().flatten());
        if let Some(code) = ended {
            self.gateways[g].child = None;
            self.crashes.push(format!("n{g} ended by itself: {code}"));
        }
    }

    /// Nothing passes between those of which `apart` holds, both ways or one.
    pub fn set_partition(&self, apart: impl Fn(usize, usize) -> bool, begins: bool) {
        let places = self.config.gateways + self.config.simulated_gateways;
        for a in 0..places {
            for b in (0..places).filter(|&b| b != a && apart(a, b)) {
                let (a, b) = (LinkEnd::Gateway(a), LinkEnd::Gateway(b));
                if begins {
                    self.network.block(a, b)
                } else {
                    self.network.unblock(a, b)
                }
            }
        }
    }

    pub fn apply_fault(&mut self, fault: Fault, begins: bool) {
        let zones = self.config.zones;
        if begins {
            self.injected_faults.push(InjectedFault {
                at_us: timestamp_us(),
                fault,
            });
        }
        match fault.kind {
            FaultKind::Kill { gateway, .. } if begins => self.kill(gateway),
            FaultKind::Suspend { gateway, .. } if begins => self.stop(gateway),
            FaultKind::Suspend { gateway, .. } => self.resume(gateway),
            FaultKind::ShutDown { gateway, .. } if begins => {
                self.record_unexpected_exit(gateway);
                self.signal(gateway, Signal::TERM);
            }
            FaultKind::Kill { gateway, .. } | FaultKind::ShutDown { gateway, .. } => {
                if let FaultKind::ShutDown { .. } = fault.kind
                    && let Some(code) = self.gateways[gateway]
                        .child
                        .take()
                        .and_then(|mut c| c.wait().ok())
                    && !code.success()
                {
                    self.crashes
                        .push(format!("n{gateway} ended with {code} at SIGTERM"));
                }
                if !self.is_up(gateway)
                    && let Err(e) = self.start_gateway(gateway)
                {
                    self.crashes
                        .push(format!("n{gateway} did not start again: {e}"));
                }
            }
            FaultKind::PartitionZone { zone, .. } => {
                self.set_partition(|a, b| (a % zones == zone) != (b % zones == zone), begins);
            }
            FaultKind::PartitionGateway { gateway, .. } => {
                self.set_partition(|a, b| (a == gateway) != (b == gateway), begins)
            }
            FaultKind::DropMessages { from, to, .. } => {
                self.set_partition(|a, b| (a, b) == (from, to), begins)
            }
            FaultKind::DelayMessages {
                from, to, delay_ms, ..
            } => {
                let late = Duration::from_millis(if begins { delay_ms } else { 0 });
                self.network
                    .change(LinkEnd::Gateway(from), LinkEnd::Gateway(to), |way| {
                        way.delay = late
                    });
            }
            FaultKind::ResetLinks { from, to } if begins => self
                .network
                .reset(LinkEnd::Gateway(from), LinkEnd::Gateway(to)),
            FaultKind::CrashEngine { engine } if begins => {
                self.kill_engine(engine);
                if let Err(e) = self.start_engine(engine) {
                    self.crashes
                        .push(format!("engine {engine} did not start again: {e}"));
                }
            }
            FaultKind::DrainEngine { engine, .. } => {
                let state = if begins { "terminating" } else { "in_service" };
                self.publish_engine_state(engine, state);
            }
            FaultKind::ResetLinks { .. } | FaultKind::CrashEngine { .. } => {}
        }
    }

    /// The journal's word on an engine, to all gateways.
    pub fn publish_engine_state(&self, engine: usize, state: &str) {
        (0..self.config.gateways).for_each(|g| self.publish_engine_state_to(g, engine, state));
        if let Some(journal) = &self.simulated_gateways_discovery {
            let at = self.engines[engine].listen_addresses[0];
            journal.publish(&[row(
                &format!("s-{engine}"),
                at,
                engine % self.config.zones,
                state,
            )]);
        }
    }

    /// Another event to all, the same to each: only where all reach the engines by the same address.
    pub fn publish_endpoint(&self, row: &str) {
        let journals = self
            .gateways
            .iter()
            .map(|seat| &seat.discovery)
            .chain(&self.simulated_gateways_discovery);
        journals.for_each(|journal| journal.publish(&[row.to_owned()]));
    }

    pub fn publish_engine_state_to(&self, g: usize, engine: usize, state: &str) {
        let seat = &self.gateways[g];
        let (id, zone) = (format!("s-{engine}"), engine % self.config.zones);
        seat.discovery
            .publish(&[row(&id, seat.engine_addresses[engine], zone, state)]);
    }

    /// Plays the plan's faults at their times, counted from `from`, until the last is over.
    pub fn inject_faults(&mut self, plan: &FaultPlan, from: Instant) {
        let mut steps: Vec<(u64, bool, Fault)> = Vec::new();
        for &fault in &plan.faults {
            steps.push((fault.at_ms, true, fault));
            if let Some(span) = fault.duration_ms() {
                steps.push((fault.at_ms + span, false, fault));
            }
        }
        steps.sort_by_key(|&(at, begins, _)| (at, begins));
        for (at, begins, fault) in steps {
            let due = from + Duration::from_millis(at);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            self.apply_fault(fault, begins);
        }
    }

    /// Ends all gateways as planned stops would, and tells what the fleet came to.
    pub fn shut_down(&mut self) {
        for g in 0..self.config.gateways {
            self.record_unexpected_exit(g);
            if self.gateways[g].is_stopped {
                self.resume(g);
            }
            self.signal(g, Signal::TERM);
        }
        for g in 0..self.config.gateways {
            if self.is_up(g) {
                self.terminate(g);
            }
            let panics = self.gateways[g]
                .log
                .all()
                .into_iter()
                .filter(|line| line.contains("panicked"));
            self.crashes
                .extend(panics.map(|line| format!("n{g}: {line}")));
        }
        for (name, hollow) in [
            ("gateways", &mut self.simulated_gateways),
            ("engines", &mut self.simulated_engines),
        ] {
            if hollow.as_mut().is_some_and(TestbedProcess::has_ended) {
                self.crashes
                    .push(format!("the hollow {name} ended by themselves"));
            }
        }
    }

    /// Microseconds of processor time that gateways which run now have used.
    pub fn cpu_time_us(&self) -> u64 {
        let used = |child: &Child| usage::cpu_ticks_ns(child.id()).map(|ns| ns / 1000);
        self.gateways
            .iter()
            .filter_map(|seat| used(seat.child.as_ref()?))
            .sum()
    }
}

/// Lines of each process that a failed test prints.
const LAST_LINES: usize = 25;

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            for (g, seat) in self.gateways.iter().enumerate() {
                let lines = seat.log.all();
                let last = lines.len().saturating_sub(LAST_LINES);
                lines[last..]
                    .iter()
                    .for_each(|line| eprintln!("n{g} {line}"));
            }
        }
        for g in 0..self.gateways.len() {
            self.kill(g);
            let _ = std::fs::remove_file(&self.gateways[g].config_path);
            if let Some(own) = &self.gateways[g].own_settings_path {
                let _ = std::fs::remove_file(own);
            }
        }
        (0..self.engines.len()).for_each(|e| self.kill_engine(e));
        self.simulated_gateways = None;
        self.simulated_engines = None;
    }
}
