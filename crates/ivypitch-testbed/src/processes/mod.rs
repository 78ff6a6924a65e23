//! Fleets of real processes: gateways and emulated engines as child processes, discovery servers, and a relay on every
//! link between them. Faults of processes and links follow a plan; events of engines and injected faults are recorded
//! with their time. Only processes that were started here are signalled, by their id.

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

/// A line that an engine process printed, with its time in microseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEvent {
    pub at_us: u64,
    pub engine: usize,
    pub kind: String,
    pub id: String,
    /// The gateway at whose address of the engine it happened.
    pub gateway: usize,
}

/// A fault that was injected into a process or a link, with its time in microseconds since the Unix epoch.
#[derive(Clone, Copy, Debug)]
pub struct InjectedFault {
    pub at_us: u64,
    pub fault: Fault,
}

/// Size, settings and engines of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub gateways: usize,
    pub zones: usize,
    pub engines: FleetEngines,
    /// Statement timeout of all workloads.
    pub max_statement_timeout_ms: u64,
    /// JSON fields of the operator's record `peers` besides the member list; `None`: gateways without peers.
    pub peer_settings: Option<String>,
    /// Further records of the operator's settings file, each followed by a comma.
    pub own_settings: String,
    pub seed: u64,
    /// Changes the configuration of each gateway.
    pub change_config: fn(String) -> String,
    /// Gateways connect to the engines without a relay, all at the address for the first gateway, so that the endpoint
    /// events are the same for all gateways.
    pub direct_engines: bool,
    /// Number of simulated gateways; they follow the real ones in the member list.
    pub simulated_gateways: usize,
    /// Simulated gateways print each event that they accept, simulated engines each start.
    pub prints_simulated_events: bool,
}

/// Engines of a fleet.
#[derive(Clone, Debug)]
pub enum FleetEngines {
    /// Emulated engines with this number of cores, each in a process.
    Processes { count: usize, cores: f64 },
    /// Simulated engines, each with one address for all gateways; `unlisted` more are started without an entry in the
    /// endpoint list.
    Simulated { count: usize, unlisted: usize },
    /// Engines that the test runs: for each engine its address for each gateway.
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

/// Addresses, files and log of one gateway of the fleet; they outlast its process.
pub struct GatewaySlot {
    pub address: SocketAddr,
    pub peer_address: SocketAddr,
    config_path: PathBuf,
    /// The last complete configuration; empty until the file has been rewritten.
    complete_config: String,
    own_settings_path: Option<PathBuf>,
    /// Address at which this gateway reaches each engine.
    engine_addresses: Vec<SocketAddr>,
    /// Each gateway has a discovery server of its own, since it reaches the engines at addresses of its own.
    discovery: DiscoveryServer,
    /// Address at which this gateway reaches its discovery server.
    discovery_address: SocketAddr,
    child: Option<Child>,
    /// Log lines of all its processes so far.
    pub log: EventLog<String>,
    pub is_stopped: bool,
}

struct EngineSlot {
    listen_addresses: Vec<SocketAddr>,
    child: Option<Child>,
    commands: Option<ChildStdin>,
}

/// A running fleet; its processes are killed when it is dropped.
pub struct Fleet {
    pub config: FleetConfig,
    pub network: RelayNetwork,
    pub gateways: Vec<GatewaySlot>,
    engines: Vec<EngineSlot>,
    /// Process of the simulated gateways, if the fleet has any.
    pub simulated_gateways: Option<TestbedProcess>,
    /// Process of the simulated engines, if the fleet has any.
    pub simulated_engines: Option<TestbedProcess>,
    simulated_gateways_discovery: Option<DiscoveryServer>,
    /// Simulated engines without an entry in the endpoint list; their numbers follow those of the listed ones.
    pub unlisted_engines: Vec<SocketAddr>,
    pub engine_events: EventLog<EngineEvent>,
    pub injected_faults: Vec<InjectedFault>,
    /// Processes that ended outside the fault plan, and log lines of panics.
    pub crashes: Vec<String>,
}

/// Row of the endpoint list.
pub fn row(id: &str, address: SocketAddr, zone: usize, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"z{zone}","kind":"std","cell":0,"state":"{state}","weight":1,"started_ms":0}}"#
    )
}

impl Fleet {
    /// Starts all processes and waits until each gateway reaches all others.
    pub fn start(config: FleetConfig) -> Result<Fleet, String> {
        let net = RelayNetwork::start(config.seed);
        let to_text = |e: std::io::Error| e.to_string();
        let count = match &config.engines {
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
            config,
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
        if let FleetEngines::Simulated { unlisted, .. } = fleet.config.engines {
            fleet.unlisted_engines = (0..unlisted).map(|_| free_port()).collect();
            let listed = fleet
                .engines
                .iter()
                .map(|engine| engine.listen_addresses[0]);
            let listen = listed
                .chain(fleet.unlisted_engines.iter().copied())
                .collect();
            let engines = SimulatedEngines {
                listen,
                tells_starts: fleet.config.prints_simulated_events,
            };
            let first_line = serde_json::to_string(&engines).map_err(|e| e.to_string())?;
            fleet.simulated_engines = Some(TestbedProcess::start("hollow-engines", &first_line)?);
        }
        let peer_addresses: Vec<SocketAddr> = (0..gateways + fleet.config.simulated_gateways)
            .map(|_| free_port())
            .collect();
        for gateway in 0..gateways {
            let slot = fleet
                .gateway_slot(gateway, &peer_addresses)
                .map_err(to_text)?;
            fleet.gateways.push(slot);
        }
        (0..gateways).try_for_each(|gateway| fleet.start_gateway(gateway))?;
        fleet.start_simulated_gateways(&peer_addresses)?;
        if fleet.config.peer_settings.is_some() {
            fleet.wait_until_joined()?;
        }
        Ok(fleet)
    }

    /// Waits until each gateway has logged each other member as up.
    fn wait_until_joined(&self) -> Result<(), String> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        for (gateway, slot) in self.gateways.iter().enumerate() {
            for other in (0..self.config.gateways + self.config.simulated_gateways)
                .filter(|&other| other != gateway)
            {
                let name = format!("n{other}");
                let is_up = |line: &String| is_event(line, "member is up", &[("member", &name)]);
                while !slot.log.all().iter().any(is_up) {
                    if Instant::now() > deadline {
                        let log = slot.log.all().join("\n");
                        return Err(format!(
                            "n{gateway} has not reported n{other} as up; its log:\n{log}"
                        ));
                    }
                    thread::sleep(Duration::from_millis(5));
                }
            }
        }
        if let Some(process) = &self.simulated_gateways {
            process.lines.wait_for_nth(
                "joins of the simulated gateways",
                self.config.simulated_gateways,
                |line| line.contains(" joined "),
            );
        }
        Ok(())
    }

    /// The operator's settings of a gateway that reaches each member at the address `at`.
    fn own_settings_json(
        &self,
        at: impl Fn(usize) -> std::io::Result<SocketAddr>,
    ) -> std::io::Result<String> {
        let mut members = Vec::new();
        for other in 0..self.config.gateways + self.config.simulated_gateways {
            let (at, zone) = (at(other)?, other % self.config.zones);
            members.push(format!(
                r#"{{"name":"n{other}","zone":"z{zone}","address":"{at}"}}"#
            ));
        }
        let (own, members, peers) = (
            &self.config.own_settings,
            members.join(","),
            self.config.peer_settings.as_deref().unwrap_or(""),
        );
        Ok(format!(
            r#"{{{own}"peers":{{"gateways":[{members}],{peers}}}}}"#
        ))
    }

    /// The simulated gateways share one discovery server; each reaches each real gateway through a relay of its own.
    fn start_simulated_gateways(&mut self, peer_addresses: &[SocketAddr]) -> Result<(), String> {
        let to_text = |e: std::io::Error| e.to_string();
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
        let discovery = DiscoveryServer::start(&rows).map_err(to_text)?;
        let mut routes = Vec::new();
        for simulated in first..first + self.config.simulated_gateways {
            let open_route = |gateway: usize| {
                self.network.open(
                    LinkEnd::Gateway(simulated),
                    LinkEnd::Gateway(gateway),
                    peer_addresses[gateway],
                    true,
                )
            };
            routes.push(
                (0..first)
                    .map(open_route)
                    .collect::<std::io::Result<Vec<_>>>()
                    .map_err(to_text)?,
            );
        }
        let simulated = SimulatedGateways {
            operator_settings: self
                .own_settings_json(|member| Ok(peer_addresses[member]))
                .map_err(to_text)?,
            first,
            routes,
            discovery: discovery.address,
            tenants: vec!["acme".into()],
            max_statement_timeout_ms: self.config.max_statement_timeout_ms,
            seed: self.config.seed,
            prints_events: self.config.prints_simulated_events,
        };
        let line = serde_json::to_string(&simulated).map_err(|e| e.to_string())?;
        self.simulated_gateways = Some(TestbedProcess::start("hollow-gateways", &line)?);
        self.simulated_gateways_discovery = Some(discovery);
        Ok(())
    }

    /// Resource use and traffic of a real gateway now; `None` if it does not run, or answers `SHOW FLEET` without a view
    /// because it has no coordination.
    pub fn sample(&mut self, gateway: usize) -> Option<Sample> {
        let slot = &self.gateways[gateway];
        let Answer::Rows(rows) = Client::try_connect(slot.address)?.try_execute("SHOW FLEET")?
        else {
            return None;
        };
        let traffic = GatewayTraffic::read(&serde_json::from_str(rows.first()?.first()?).ok()?)?;
        let usage = Usage::of(slot.child.as_ref()?.id())?;
        let relay = self.network.totals(LinkEnd::Gateway(gateway));
        let mut engines = EngineTraffic::default();
        if let Some(process) = &mut self.simulated_engines {
            let counts: Vec<simulated_engines::Counts> =
                serde_json::from_str(&process.request("count", "counts ")).ok()?;
            for counts in counts.iter().filter(|counts| counts.gateway == gateway) {
                engines.starts += counts.starts;
                engines.bytes_in += counts.bytes_in;
                engines.bytes_out += counts.bytes_out;
                engines.open += counts.open;
            }
        }
        let lost_members = self.gateways[gateway]
            .log
            .all()
            .iter()
            .filter(|line| is_event(line, MEMBER_LOST, &[]))
            .count() as u64;
        Some(Sample {
            usage,
            traffic,
            relay,
            engines,
            lost_members,
        })
    }

    /// Opens a gateway's relays and writes its files.
    fn gateway_slot(
        &self,
        gateway: usize,
        peer_addresses: &[SocketAddr],
    ) -> std::io::Result<GatewaySlot> {
        static NEXT_FILE_NUMBER: AtomicUsize = AtomicUsize::new(0);
        let (zones, own_end) = (self.config.zones, LinkEnd::Gateway(gateway));
        let mut engine_addresses = Vec::new();
        for (e, engine) in self.engines.iter().enumerate() {
            engine_addresses.push(match self.config.direct_engines {
                true => engine.listen_addresses[0],
                false => self.network.open(
                    own_end,
                    LinkEnd::Engine(e),
                    engine.listen_addresses[gateway],
                    false,
                )?,
            });
        }
        let rows: Vec<String> = engine_addresses
            .iter()
            .enumerate()
            .map(|(e, &at)| row(&format!("s-{e}"), at, e % zones, "in_service"))
            .collect();
        let discovery = DiscoveryServer::start(&rows)?;
        let discovery_address =
            self.network
                .open(own_end, LinkEnd::Journal, discovery.address, false)?;
        let address = free_port();
        let names: Vec<String> = (0..zones).map(|z| format!("\"z{z}\"")).collect();
        let config = configuration(&address.to_string(), &rows, None, 1024)
            .replace("\"name\":\"n0\"", &format!("\"name\":\"n{gateway}\""))
            .replace(
                "\"zones\":[\"z\"]",
                &format!("\"zones\":[{}]", names.join(",")),
            )
            .replace(
                "\"journal\":\"\"",
                &format!("\"journal\":\"{discovery_address}\""),
            )
            .replace(
                "\"balancers\":1",
                &format!(
                    "\"balancers\":{}",
                    self.config.gateways + self.config.simulated_gateways
                ),
            )
            .replace(
                "8c1f30d27a5be964",
                &format!("{:016x}", self.config.seed ^ (gateway as u64) << 32),
            )
            .replace(
                "\"give-up-ns\":20000000000",
                &format!(
                    "\"give-up-ns\":{}000000",
                    self.config.max_statement_timeout_ms
                ),
            );
        let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("fleet-{}-{number}.json", std::process::id()));
        std::fs::write(&path, (self.config.change_config)(config))?;
        let mut own = None;
        if self.config.peer_settings.is_some() {
            let text = self.own_settings_json(|other| match other == gateway {
                true => Ok(peer_addresses[gateway]),
                false => self.network.open(
                    own_end,
                    LinkEnd::Gateway(other),
                    peer_addresses[other],
                    true,
                ),
            })?;
            let own_path = path.with_extension("own.json");
            std::fs::write(&own_path, text)?;
            own = Some(own_path);
        }
        let log = EventLog::new();
        Ok(GatewaySlot {
            address,
            peer_address: peer_addresses[gateway],
            config_path: path,
            complete_config: String::new(),
            own_settings_path: own,
            engine_addresses,
            discovery,
            discovery_address,
            child: None,
            log,
            is_stopped: false,
        })
    }

    /// Starts the gateway's process and waits until it serves or cannot listen.
    pub fn start_gateway(&mut self, gateway: usize) -> Result<(), String> {
        let is_started =
            |line: &String| line.contains("gateway started") || line.contains("ERROR listen");
        let started_before = self.gateways[gateway]
            .log
            .all()
            .iter()
            .filter(|l| is_started(l))
            .count();
        self.spawn_gateway(gateway)?;
        self.gateways[gateway]
            .log
            .wait_for_nth("start", started_before + 1, is_started);
        Ok(())
    }

    /// Starts the gateway's process.
    pub fn spawn_gateway(&mut self, gateway: usize) -> Result<(), String> {
        let slot = &mut self.gateways[gateway];
        let mut command = Command::new(ivypitch_program());
        command
            .arg("serve")
            .env("PROXY_CONFIG", &slot.config_path)
            .stdin(Stdio::null());
        match &slot.own_settings_path {
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
        let log = slot.log.clone();
        thread::spawn(move || {
            lines
                .into_iter()
                .flatten()
                .map_while(Result::ok)
                .for_each(|line| log.push(line));
        });
        slot.child = Some(child);
        Ok(())
    }

    /// Starts an emulated engine's process and waits until it is ready; does nothing for other kinds of engines.
    pub fn start_engine(&mut self, engine: usize) -> Result<(), String> {
        let FleetEngines::Processes { cores, .. } = self.config.engines else {
            return Ok(());
        };
        let slot = &mut self.engines[engine];
        let listen: Vec<String> = slot
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
        slot.commands = child.stdin.take();
        slot.child = Some(child);
        let events = self.engine_events.clone();
        let started_before = events
            .all()
            .iter()
            .filter(|event| event.engine == engine && event.kind == "ready")
            .count();
        thread::spawn(move || {
            for line in lines.into_iter().flatten().map_while(Result::ok) {
                let mut words = line.split(' ');
                let mut word = || words.next().unwrap_or_default().to_owned();
                let (at_us, kind, id, gateway) = (word(), word(), word(), word());
                let (at_us, gateway) = (at_us.parse().unwrap_or(0), gateway.parse().unwrap_or(0));
                events.push(EngineEvent {
                    at_us,
                    engine,
                    kind,
                    id,
                    gateway,
                });
            }
        });
        self.engine_events
            .wait_for_nth("engine", started_before + 1, |event| {
                event.engine == engine && event.kind == "ready"
            });
        Ok(())
    }

    /// Sends a command such as `fails 0.5` or `mute 1` to an engine that is a process.
    pub fn send_command(&mut self, engine: usize, line: &str) {
        if let Some(commands) = &mut self.engines[engine].commands {
            let _ = writeln!(commands, "{line}");
        }
    }

    /// Sends a signal to the gateway's process.
    pub fn signal(&self, gateway: usize, signal: Signal) {
        let Some(child) = &self.gateways[gateway].child else {
            return;
        };
        if let Some(pid) = Pid::from_raw(child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the gateway has a process.
    pub fn is_up(&self, gateway: usize) -> bool {
        self.gateways[gateway].child.is_some()
    }

    /// Kills the gateway's process by SIGKILL.
    pub fn kill(&mut self, gateway: usize) {
        self.record_unexpected_exit(gateway);
        if let Some(mut child) = self.gateways[gateway].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.gateways[gateway].is_stopped = false;
    }

    /// Kills the engine's process by SIGKILL.
    pub fn kill_engine(&mut self, engine: usize) {
        if let Some(mut child) = self.engines[engine].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends the gateway by SIGTERM and returns its exit code.
    pub fn terminate(&mut self, gateway: usize) -> Option<i32> {
        self.signal(gateway, Signal::TERM);
        let code = self.gateways[gateway].child.take()?.wait().ok()?.code();
        if code != Some(0) {
            self.crashes
                .push(format!("n{gateway} ended with {code:?} at SIGTERM"));
        }
        code
    }

    /// Stops the gateway by SIGSTOP.
    pub fn stop(&mut self, gateway: usize) {
        self.signal(gateway, Signal::STOP);
        self.gateways[gateway].is_stopped = true;
    }

    /// Resumes a stopped gateway by SIGCONT.
    pub fn resume(&mut self, gateway: usize) {
        self.signal(gateway, Signal::CONT);
        self.gateways[gateway].is_stopped = false;
    }

    /// Records a crash if the gateway's process has ended by itself.
    fn record_unexpected_exit(&mut self, gateway: usize) {
        let ended = self.gateways[gateway]
            .child
            .as_mut()
            .and_then(|child| child.try_wait().ok().flatten());
        if let Some(code) = ended {
            self.gateways[gateway].child = None;
            self.crashes
                .push(format!("n{gateway} ended by itself: {code}"));
        }
    }

    /// Blocks or unblocks the path from each gateway to each other one for which `is_separated` holds.
    pub fn set_partition(&self, is_separated: impl Fn(usize, usize) -> bool, begins: bool) {
        let members = self.config.gateways + self.config.simulated_gateways;
        for a in 0..members {
            for b in (0..members).filter(|&b| b != a && is_separated(a, b)) {
                let (a, b) = (LinkEnd::Gateway(a), LinkEnd::Gateway(b));
                if begins {
                    self.network.block(a, b)
                } else {
                    self.network.unblock(a, b)
                }
            }
        }
    }

    /// Begins or ends a fault.
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

    /// Publishes an engine's state to all gateways.
    pub fn publish_engine_state(&self, engine: usize, state: &str) {
        (0..self.config.gateways)
            .for_each(|gateway| self.publish_engine_state_to(gateway, engine, state));
        if let Some(discovery) = &self.simulated_gateways_discovery {
            let at = self.engines[engine].listen_addresses[0];
            discovery.publish(&[row(
                &format!("s-{engine}"),
                at,
                engine % self.config.zones,
                state,
            )]);
        }
    }

    /// Publishes the same row to all gateways; for fleets whose gateways reach the engines at the same addresses.
    pub fn publish_endpoint(&self, row: &str) {
        let servers = self
            .gateways
            .iter()
            .map(|slot| &slot.discovery)
            .chain(&self.simulated_gateways_discovery);
        servers.for_each(|server| server.publish(&[row.to_owned()]));
    }

    /// Publishes an engine's state to one gateway.
    pub fn publish_engine_state_to(&self, gateway: usize, engine: usize, state: &str) {
        let slot = &self.gateways[gateway];
        let (id, zone) = (format!("s-{engine}"), engine % self.config.zones);
        slot.discovery
            .publish(&[row(&id, slot.engine_addresses[engine], zone, state)]);
    }

    /// Injects the plan's faults at their times after `start`; returns when the last is over.
    pub fn inject_faults(&mut self, plan: &FaultPlan, start: Instant) {
        let mut steps: Vec<(u64, bool, Fault)> = Vec::new();
        for &fault in &plan.faults {
            steps.push((fault.at_ms, true, fault));
            if let Some(span) = fault.duration_ms() {
                steps.push((fault.at_ms + span, false, fault));
            }
        }
        steps.sort_by_key(|&(at, begins, _)| (at, begins));
        for (at, begins, fault) in steps {
            let due = start + Duration::from_millis(at);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            self.apply_fault(fault, begins);
        }
    }

    /// Ends all gateways by SIGTERM and records crashes and panics.
    pub fn shut_down(&mut self) {
        for gateway in 0..self.config.gateways {
            self.record_unexpected_exit(gateway);
            if self.gateways[gateway].is_stopped {
                self.resume(gateway);
            }
            self.signal(gateway, Signal::TERM);
        }
        for gateway in 0..self.config.gateways {
            if self.is_up(gateway) {
                self.terminate(gateway);
            }
            let panics = self.gateways[gateway]
                .log
                .all()
                .into_iter()
                .filter(|line| line.contains("panicked"));
            self.crashes
                .extend(panics.map(|line| format!("n{gateway}: {line}")));
        }
        for (name, process) in [
            ("gateways", &mut self.simulated_gateways),
            ("engines", &mut self.simulated_engines),
        ] {
            if process.as_mut().is_some_and(TestbedProcess::has_ended) {
                self.crashes
                    .push(format!("the simulated {name} ended by themselves"));
            }
        }
    }

    /// CPU time of the gateways that are running, in microseconds.
    pub fn cpu_time_us(&self) -> u64 {
        let used = |child: &Child| usage::cpu_ticks_ns(child.id()).map(|ns| ns / 1000);
        self.gateways
            .iter()
            .filter_map(|slot| used(slot.child.as_ref()?))
            .sum()
    }
}

/// Number of last log lines of each gateway that a failed test prints.
const PRINTED_LOG_LINES: usize = 25;

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            for (gateway, slot) in self.gateways.iter().enumerate() {
                let lines = slot.log.all();
                let last = lines.len().saturating_sub(PRINTED_LOG_LINES);
                lines[last..]
                    .iter()
                    .for_each(|line| eprintln!("n{gateway} {line}"));
            }
        }
        for gateway in 0..self.gateways.len() {
            self.kill(gateway);
            let _ = std::fs::remove_file(&self.gateways[gateway].config_path);
            if let Some(own) = &self.gateways[gateway].own_settings_path {
                let _ = std::fs::remove_file(own);
            }
        }
        (0..self.engines.len()).for_each(|e| self.kill_engine(e));
        self.simulated_gateways = None;
        self.simulated_engines = None;
    }
}
