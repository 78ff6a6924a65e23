//! Fleets of real processes: gateways and emulated engines as children of this one, a journal service, and a relay on
//! every way between them. Faults of processes and links follow a plan; what engines and clients counted is kept with
//! its time. Only processes that were started here are signalled, by their id.

pub mod child;
pub mod clients;
pub mod engine;
pub mod hollow_engines;
pub mod journal;
pub mod ports;
pub mod relay;
pub mod restarts;
pub(crate) mod session;
pub mod simulated_gateways;
pub mod sockets;
pub mod story;
pub mod usage;

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::log_lines::is_event;
use crate::stand_ins::{Answer, Client, PATIENCE, Seen, configuration, program};
use crate::virtual_time::faults::{Fault, FaultKind, FaultPlan};
use child::LabProcess;
use engine::stamp;
use hollow_engines::Park;
use ivypitch_gateway::log_events::MEMBER_LOST;
use journal::Journal;
use ports::free_port;
use relay::{End, Net};
use simulated_gateways::SimulatedGateways;
use usage::{Engines as EngineCounts, Own, Sample, Usage};

/// What a process said, with its microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Said {
    pub at: u64,
    pub engine: usize,
    pub what: String,
    pub id: String,
    /// The gateway at whose address it was said.
    pub by: usize,
}

/// What was done to a process or a link.
#[derive(Clone, Copy, Debug)]
pub struct Done {
    pub at: u64,
    pub fault: Fault,
}

#[derive(Clone, Debug)]
pub struct Setup {
    pub gateways: usize,
    pub zones: usize,
    pub engines: Engines,
    /// Longest statement timeout.
    pub longest_ms: u64,
    /// Own settings as JSON: what stands in `peers` beside the list; `None`: gateways without peers.
    pub peers: Option<String>,
    /// Further records of the own file, each with a comma behind it.
    pub own: String,
    pub seed: u64,
    /// Changes the settings of the deployment.
    pub settings: fn(String) -> String,
    /// Gateways reach the engines with no relay between, all by the address for the first: then what the journal says is
    /// the same for all.
    pub direct_engines: bool,
    /// So many hollow gateways beside, at the places behind the real ones.
    pub hollow: usize,
    /// Hollow gateways say each event that they take, hollow engines each start.
    pub hollow_tell: bool,
}

#[derive(Clone, Debug)]
pub enum Engines {
    /// Emulated ones of so many cores.
    Processes { count: usize, cores: f64 },
    /// Hollow ones, at the same address for all gateways; `spare` more are there and not listed.
    Hollow { count: usize, spare: usize },
    /// A test's own: the address of each for each gateway.
    At(Vec<Vec<SocketAddr>>),
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            gateways: 5,
            zones: 3,
            engines: Engines::Processes {
                count: 3,
                cores: 16.0,
            },
            longest_ms: 3000,
            peers: Some(r#""custody":{"remembered_ms":400,"asks_from_ms":0}"#.into()),
            own: String::new(),
            seed: 1,
            settings: |settings| settings,
            direct_engines: false,
            hollow: 0,
            hollow_tell: false,
        }
    }
}

/// A gateway's seat; its process comes and goes.
pub struct Seat {
    pub address: SocketAddr,
    pub peers_at: SocketAddr,
    config: PathBuf,
    /// The configuration, where it was written anew.
    whole_config: String,
    own: Option<PathBuf>,
    /// Each engine as this gateway reaches it.
    engines_at: Vec<SocketAddr>,
    /// Each gateway has a journal service of its own, since it reaches the engines by its own ways.
    journal: Journal,
    /// Where this gateway reaches its journal service.
    journal_at: SocketAddr,
    child: Option<Child>,
    /// The lines of all its processes.
    pub log: Seen<String>,
    pub stopped: bool,
}

struct EngineSeat {
    listen: Vec<SocketAddr>,
    child: Option<Child>,
    orders: Option<ChildStdin>,
}

pub struct Fleet {
    pub setup: Setup,
    pub net: Net,
    pub seats: Vec<Seat>,
    engines: Vec<EngineSeat>,
    /// Hollow gateways and engines, where there are any.
    pub crowd: Option<LabProcess>,
    pub park: Option<LabProcess>,
    crowd_journal: Option<Journal>,
    /// Hollow engines that are not listed; their numbers follow those of the listed ones.
    pub spare: Vec<SocketAddr>,
    pub said: Seen<Said>,
    pub done: Vec<Done>,
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
    pub fn start(setup: Setup) -> Result<Fleet, String> {
        let net = Net::start(setup.seed);
        let told = |e: std::io::Error| e.to_string();
        let count = match &setup.engines {
            Engines::Processes { count, .. } | Engines::Hollow { count, .. } => *count,
            Engines::At(all) => all.len(),
        };
        let engines = (0..count).map(|_| EngineSeat {
            listen: Vec::new(),
            child: None,
            orders: None,
        });
        let mut fleet = Fleet {
            net,
            seats: Vec::new(),
            engines: engines.collect(),
            crowd: None,
            park: None,
            crowd_journal: None,
            spare: Vec::new(),
            said: Seen::new(),
            done: Vec::new(),
            crashes: Vec::new(),
            setup,
        };
        let gateways = fleet.setup.gateways;
        for e in 0..count {
            fleet.engines[e].listen = match &fleet.setup.engines {
                Engines::Processes { .. } => (0..gateways).map(|_| free_port()).collect(),
                Engines::Hollow { .. } => vec![free_port(); gateways],
                Engines::At(all) => all[e].clone(),
            };
            fleet.start_engine(e)?;
        }
        if let Engines::Hollow { spare, .. } = fleet.setup.engines {
            fleet.spare = (0..spare).map(|_| free_port()).collect();
            let listed = fleet.engines.iter().map(|engine| engine.listen[0]);
            let listen = listed.chain(fleet.spare.iter().copied()).collect();
            let park = Park {
                listen,
                tells_starts: fleet.setup.hollow_tell,
            };
            let first = serde_json::to_string(&park).map_err(|e| e.to_string())?;
            fleet.park = Some(LabProcess::start("hollow-engines", &first)?);
        }
        let peers_at: Vec<SocketAddr> = (0..gateways + fleet.setup.hollow)
            .map(|_| free_port())
            .collect();
        for g in 0..gateways {
            let seat = fleet.seat(g, &peers_at).map_err(told)?;
            fleet.seats.push(seat);
        }
        (0..gateways).try_for_each(|g| fleet.start_gateway(g))?;
        fleet.start_hollow(&peers_at)?;
        if fleet.setup.peers.is_some() {
            fleet.wait_joined()?;
        }
        Ok(fleet)
    }

    /// Each gateway has heard each other.
    fn wait_joined(&self) -> Result<(), String> {
        let until = Instant::now() + PATIENCE;
        for (g, seat) in self.seats.iter().enumerate() {
            for other in (0..self.setup.gateways + self.setup.hollow).filter(|&other| other != g) {
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
        if let Some(crowd) = &self.crowd {
            crowd
                .lines
                .wait_for("hollow gateways", self.setup.hollow, |line| {
                    line.contains(" joined ")
                });
        }
        Ok(())
    }

    /// The list of the own file; `at`: where each of the places is reached.
    fn own(&self, at: impl Fn(usize) -> std::io::Result<SocketAddr>) -> std::io::Result<String> {
        let mut list = Vec::new();
        for other in 0..self.setup.gateways + self.setup.hollow {
            let (at, zone) = (at(other)?, other % self.setup.zones);
            list.push(format!(
                r#"{{"name":"n{other}","zone":"z{zone}","address":"{at}"}}"#
            ));
        }
        let (own, list, peers) = (
            &self.setup.own,
            list.join(","),
            self.setup.peers.as_deref().unwrap_or(""),
        );
        Ok(format!(
            r#"{{{own}"peers":{{"gateways":[{list}],{peers}}}}}"#
        ))
    }

    /// The hollow gateways follow one journal, and reach the real ones by a relay each.
    fn start_hollow(&mut self, peers_at: &[SocketAddr]) -> Result<(), String> {
        let told = |e: std::io::Error| e.to_string();
        let (first, zones) = (self.setup.gateways, self.setup.zones);
        if self.setup.hollow == 0 {
            return Ok(());
        }
        let rows: Vec<String> = (self.engines.iter().enumerate())
            .map(|(e, engine)| row(&format!("s-{e}"), engine.listen[0], e % zones, "in_service"))
            .collect();
        let journal = Journal::start(&rows).map_err(told)?;
        let mut ways = Vec::new();
        for hollow in first..first + self.setup.hollow {
            let way = |g: usize| {
                self.net
                    .open(End::Gateway(hollow), End::Gateway(g), peers_at[g], true)
            };
            ways.push(
                (0..first)
                    .map(way)
                    .collect::<std::io::Result<Vec<_>>>()
                    .map_err(told)?,
            );
        }
        let crowd = SimulatedGateways {
            operator_settings: self.own(|place| Ok(peers_at[place])).map_err(told)?,
            first,
            routes: ways,
            discovery: journal.address,
            tenants: vec!["acme".into()],
            max_statement_timeout_ms: self.setup.longest_ms,
            seed: self.setup.seed,
            prints_events: self.setup.hollow_tell,
        };
        let line = serde_json::to_string(&crowd).map_err(|e| e.to_string())?;
        self.crowd = Some(LabProcess::start("hollow-gateways", &line)?);
        self.crowd_journal = Some(journal);
        Ok(())
    }

    /// What is known of a real gateway now; `None`: it is not there, or shares nothing and so shows nothing.
    pub fn sample(&mut self, g: usize) -> Option<Sample> {
        let seat = &self.seats[g];
        let Answer::Rows(rows) = Client::reach(seat.address)?.try_ask("SHOW FLEET")? else {
            return None;
        };
        let own = Own::read(&serde_json::from_str(rows.first()?.first()?).ok()?)?;
        let usage = Usage::of(seat.child.as_ref()?.id())?;
        let relay = self.net.sums(End::Gateway(g));
        let mut engines = EngineCounts::default();
        if let Some(park) = &mut self.park {
            let counts: Vec<hollow_engines::Counts> =
                serde_json::from_str(&park.ask("count", "counts ")).ok()?;
            for counts in counts.iter().filter(|counts| counts.gateway == g) {
                engines.starts += counts.starts;
                engines.bytes_in += counts.bytes_in;
                engines.bytes_out += counts.bytes_out;
                engines.open += counts.open;
            }
        }
        let lost = self.seats[g]
            .log
            .all()
            .iter()
            .filter(|line| is_event(line, MEMBER_LOST, &[]))
            .count() as u64;
        Some(Sample {
            usage,
            own,
            relay,
            engines,
            lost,
        })
    }

    fn seat(&self, g: usize, peers_at: &[SocketAddr]) -> std::io::Result<Seat> {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let (zones, me) = (self.setup.zones, End::Gateway(g));
        let mut engines_at = Vec::new();
        for (e, engine) in self.engines.iter().enumerate() {
            engines_at.push(match self.setup.direct_engines {
                true => engine.listen[0],
                false => self.net.open(me, End::Engine(e), engine.listen[g], false)?,
            });
        }
        let rows: Vec<String> = engines_at
            .iter()
            .enumerate()
            .map(|(e, &at)| row(&format!("s-{e}"), at, e % zones, "in_service"))
            .collect();
        let journal = Journal::start(&rows)?;
        let journal_at = self.net.open(me, End::Journal, journal.address, false)?;
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
                &format!("\"balancers\":{}", self.setup.gateways + self.setup.hollow),
            )
            .replace(
                "8c1f30d27a5be964",
                &format!("{:016x}", self.setup.seed ^ (g as u64) << 32),
            )
            .replace(
                "\"give-up-ns\":20000000000",
                &format!("\"give-up-ns\":{}000000", self.setup.longest_ms),
            );
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("fleet-{}-{number}.json", std::process::id()));
        std::fs::write(&path, (self.setup.settings)(config))?;
        let mut own = None;
        if self.setup.peers.is_some() {
            let text = self.own(|other| match other == g {
                true => Ok(peers_at[g]),
                false => self
                    .net
                    .open(me, End::Gateway(other), peers_at[other], true),
            })?;
            let own_path = path.with_extension("own.json");
            std::fs::write(&own_path, text)?;
            own = Some(own_path);
        }
        let log = Seen::new();
        Ok(Seat {
            address,
            peers_at: peers_at[g],
            config: path,
            whole_config: String::new(),
            own,
            engines_at,
            journal,
            journal_at,
            child: None,
            log,
            stopped: false,
        })
    }

    /// Starts its process and waits until that serves.
    pub fn start_gateway(&mut self, g: usize) -> Result<(), String> {
        let is_started =
            |line: &String| line.contains("gateway started") || line.contains("ERROR listen");
        let begun = self.seats[g]
            .log
            .all()
            .iter()
            .filter(|l| is_started(l))
            .count();
        self.spawn_gateway(g)?;
        self.seats[g].log.wait_for("start", begun + 1, is_started);
        Ok(())
    }

    /// Starts its process.
    pub fn spawn_gateway(&mut self, g: usize) -> Result<(), String> {
        let seat = &mut self.seats[g];
        let mut command = Command::new(program());
        command
            .arg("serve")
            .env("PROXY_CONFIG", &seat.config)
            .stdin(Stdio::null());
        match &seat.own {
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
        let Engines::Processes { cores, .. } = self.setup.engines else {
            return Ok(());
        };
        let seat = &mut self.engines[e];
        let listen: Vec<String> = seat.listen.iter().map(SocketAddr::to_string).collect();
        let mut child = Command::new(program())
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
        seat.orders = child.stdin.take();
        seat.child = Some(child);
        let said = self.said.clone();
        let begun = said
            .all()
            .iter()
            .filter(|s| s.engine == e && s.what == "ready")
            .count();
        thread::spawn(move || {
            for line in lines.into_iter().flatten().map_while(Result::ok) {
                let mut words = line.split(' ');
                let mut word = || words.next().unwrap_or_default().to_owned();
                let (at, what, id, by) = (word(), word(), word(), word());
                let (at, by) = (at.parse().unwrap_or(0), by.parse().unwrap_or(0));
                said.push(Said {
                    at,
                    engine: e,
                    what,
                    id,
                    by,
                });
            }
        });
        self.said
            .wait_for("engine", begun + 1, |s| s.engine == e && s.what == "ready");
        Ok(())
    }

    /// `fails 0.5`, `mute 1`: to an engine that is a process.
    pub fn order(&mut self, e: usize, line: &str) {
        if let Some(orders) = &mut self.engines[e].orders {
            let _ = writeln!(orders, "{line}");
        }
    }

    pub fn signal(&self, g: usize, signal: Signal) {
        let Some(child) = &self.seats[g].child else {
            return;
        };
        if let Some(pid) = Pid::from_raw(child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    pub fn is_up(&self, g: usize) -> bool {
        self.seats[g].child.is_some()
    }

    pub fn kill(&mut self, g: usize) {
        self.check(g);
        if let Some(mut child) = self.seats[g].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.seats[g].stopped = false;
    }

    pub fn kill_engine(&mut self, e: usize) {
        if let Some(mut child) = self.engines[e].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGTERM, and its exit code.
    pub fn end(&mut self, g: usize) -> Option<i32> {
        self.signal(g, Signal::TERM);
        let code = self.seats[g].child.take()?.wait().ok()?.code();
        if code != Some(0) {
            self.crashes
                .push(format!("n{g} ended with {code:?} at SIGTERM"));
        }
        code
    }

    pub fn stop(&mut self, g: usize) {
        self.signal(g, Signal::STOP);
        self.seats[g].stopped = true;
    }

    pub fn go_on(&mut self, g: usize) {
        self.signal(g, Signal::CONT);
        self.seats[g].stopped = false;
    }

    /// A process that has ended by itself is a crash.
    fn check(&mut self, g: usize) {
        let ended = self.seats[g]
            .child
            .as_mut()
            .and_then(|child| child.try_wait().ok().flatten());
        if let Some(code) = ended {
            self.seats[g].child = None;
            self.crashes.push(format!("n{g} ended by itself: {code}"));
        }
    }

    /// Nothing passes between those of which `apart` holds, both ways or one.
    pub fn cut(&self, apart: impl Fn(usize, usize) -> bool, begins: bool) {
        let places = self.setup.gateways + self.setup.hollow;
        for a in 0..places {
            for b in (0..places).filter(|&b| b != a && apart(a, b)) {
                let (a, b) = (End::Gateway(a), End::Gateway(b));
                if begins {
                    self.net.silence(a, b)
                } else {
                    self.net.hear(a, b)
                }
            }
        }
    }

    pub fn apply(&mut self, fault: Fault, begins: bool) {
        let zones = self.setup.zones;
        if begins {
            self.done.push(Done { at: stamp(), fault });
        }
        match fault.kind {
            FaultKind::Kill { gateway, .. } if begins => self.kill(gateway),
            FaultKind::Suspend { gateway, .. } if begins => self.stop(gateway),
            FaultKind::Suspend { gateway, .. } => self.go_on(gateway),
            FaultKind::ShutDown { gateway, .. } if begins => {
                self.check(gateway);
                self.signal(gateway, Signal::TERM);
            }
            FaultKind::Kill { gateway, .. } | FaultKind::ShutDown { gateway, .. } => {
                if let FaultKind::ShutDown { .. } = fault.kind
                    && let Some(code) = self.seats[gateway]
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
                self.cut(|a, b| (a % zones == zone) != (b % zones == zone), begins);
            }
            FaultKind::PartitionGateway { gateway, .. } => {
                self.cut(|a, b| (a == gateway) != (b == gateway), begins)
            }
            FaultKind::DropMessages { from, to, .. } => {
                self.cut(|a, b| (a, b) == (from, to), begins)
            }
            FaultKind::DelayMessages {
                from,
                to,
                delay_ms: by,
                ..
            } => {
                let late = Duration::from_millis(if begins { by } else { 0 });
                self.net
                    .change(End::Gateway(from), End::Gateway(to), |way| way.late = late);
            }
            FaultKind::ResetLinks { from, to } if begins => {
                self.net.reset(End::Gateway(from), End::Gateway(to))
            }
            FaultKind::CrashEngine { engine } if begins => {
                self.kill_engine(engine);
                if let Err(e) = self.start_engine(engine) {
                    self.crashes
                        .push(format!("engine {engine} did not start again: {e}"));
                }
            }
            FaultKind::DrainEngine { engine, .. } => {
                let state = if begins { "terminating" } else { "in_service" };
                self.tell_state(engine, state);
            }
            FaultKind::ResetLinks { .. } | FaultKind::CrashEngine { .. } => {}
        }
    }

    /// The journal's word on an engine, to all gateways.
    pub fn tell_state(&self, engine: usize, state: &str) {
        (0..self.setup.gateways).for_each(|g| self.tell_state_to(g, engine, state));
        if let Some(journal) = &self.crowd_journal {
            let at = self.engines[engine].listen[0];
            journal.tell(&[row(
                &format!("s-{engine}"),
                at,
                engine % self.setup.zones,
                state,
            )]);
        }
    }

    /// Another event to all, the same to each: only where all reach the engines by the same address.
    pub fn tell_row(&self, row: &str) {
        let journals = self
            .seats
            .iter()
            .map(|seat| &seat.journal)
            .chain(&self.crowd_journal);
        journals.for_each(|journal| journal.tell(&[row.to_owned()]));
    }

    pub fn tell_state_to(&self, g: usize, engine: usize, state: &str) {
        let seat = &self.seats[g];
        let (id, zone) = (format!("s-{engine}"), engine % self.setup.zones);
        seat.journal
            .tell(&[row(&id, seat.engines_at[engine], zone, state)]);
    }

    /// Plays the plan's faults at their times, counted from `from`, until the last is over.
    pub fn play(&mut self, plan: &FaultPlan, from: Instant) {
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
            self.apply(fault, begins);
        }
    }

    /// Ends all gateways as planned stops would, and tells what the fleet came to.
    pub fn finish(&mut self) {
        for g in 0..self.setup.gateways {
            self.check(g);
            if self.seats[g].stopped {
                self.go_on(g);
            }
            self.signal(g, Signal::TERM);
        }
        for g in 0..self.setup.gateways {
            if self.is_up(g) {
                self.end(g);
            }
            let panics = self.seats[g]
                .log
                .all()
                .into_iter()
                .filter(|line| line.contains("panicked"));
            self.crashes
                .extend(panics.map(|line| format!("n{g}: {line}")));
        }
        for (name, hollow) in [("gateways", &mut self.crowd), ("engines", &mut self.park)] {
            if hollow.as_mut().is_some_and(LabProcess::has_ended) {
                self.crashes
                    .push(format!("the hollow {name} ended by themselves"));
            }
        }
    }

    /// Microseconds of processor time that gateways which run now have used.
    pub fn cpu(&self) -> u64 {
        let used = |child: &Child| usage::cpu_ticks_ns(child.id()).map(|ns| ns / 1000);
        self.seats
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
            for (g, seat) in self.seats.iter().enumerate() {
                let lines = seat.log.all();
                let last = lines.len().saturating_sub(LAST_LINES);
                lines[last..]
                    .iter()
                    .for_each(|line| eprintln!("n{g} {line}"));
            }
        }
        for g in 0..self.seats.len() {
            self.kill(g);
            let _ = std::fs::remove_file(&self.seats[g].config);
            if let Some(own) = &self.seats[g].own {
                let _ = std::fs::remove_file(own);
            }
        }
        (0..self.engines.len()).for_each(|e| self.kill_engine(e));
        self.crowd = None;
        self.park = None;
    }
}
