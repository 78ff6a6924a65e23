//! The program from start to exit.

use std::fmt;
use std::future::Future;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt, future::yield_now};
use ivypitch_config::DeploymentConfig;
use ivypitch_config::operator::OperatorConfig;
use ivypitch_config::schema::SettingsError;
use ivypitch_coordination::{Coordinator, CoordinatorParams};
use ivypitch_discovery::EndpointWatch;
use ivypitch_queueing::Budgets;
use ivypitch_types::{Incarnation, Nanos, ProcessId};

use super::clock::Clock;
use super::configuration::{self, Configuration};
use super::own::OwnFile;
use crate::actors::coordination::CoordinationDriver;
use crate::actors::discovery::{DiscoveryActor, DiscoveryMessage, DiscoveryParams};
use crate::actors::messages::SchedulerMessage;
use crate::actors::ownership::OwnershipDriver;
use crate::actors::peer_links;
use crate::actors::{scheduler, session};
use crate::state::connections::ConnectionCounters;
use crate::state::permits::ConnectionPermits;
use crate::state::traffic::Traffic;

/// After SIGTERM new connections go on coming for 0.4 s and requests on open ones for 0.2 s more.
const OVERLAP: Duration = Duration::from_millis(700);
/// SIGKILL comes no sooner than so long after SIGTERM: the longest statement timeout, 3 s at most, and 0.7 s.
const KILL_WAITS_AT_MOST: Nanos = 3_000_000_000;
/// Connections that the system holds until they are accepted: a second of a busy day's new ones.
const BACKLOG: i32 = 1024;
/// So many are accepted before what came with them is read.
const ACCEPTED_AT_ONCE: usize = 16;
/// A gateway that was told to end has ended after 3.7 s.
const ADDRESS_IN_USE: Duration = Duration::from_secs(8);
const ADDRESS_AGAIN: Duration = Duration::from_millis(20);
/// Left for the last answers to be written.
const LAST_ANSWERS: Nanos = 150_000_000;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    Starting,
    Serving,
    /// SIGTERM came: what comes in the overlap is still taken.
    Overlap,
    /// Nothing new is taken; what was taken is answered.
    Finishing,
    Stopped,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Phase::Starting => "starting",
            Phase::Serving => "serving",
            Phase::Overlap => "overlap",
            Phase::Finishing => "finishing",
            Phase::Stopped => "stopped",
        })
    }
}

pub struct Program {
    phase: Phase,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    sessions: Rc<session::Sessions>,
    connects: Rc<ConnectionCounters>,
    listener: Rc<Async<TcpListener>>,
    module: Sender<SchedulerMessage>,
    list: Sender<DiscoveryMessage>,
    signals: Signals,
    configuration: PathBuf,
    journal: Option<SocketAddr>,
    longest_timeout: Nanos,
    /// The project's own settings, the deployment and the places for clients that they are read against.
    own: Option<OwnFile>,
    given: Rc<DeploymentConfig>,
    places: usize,
    has_queues: bool,
    /// The own file being read again.
    reading: Option<Task<()>>,
}

/// The signals that the program heeds. From here on none of them ends it unasked; each waits to be read.
pub fn signals() -> Result<Signals, String> {
    Signals::new([Signal::Hup, Signal::Term, Signal::Int]).map_err(|e| format!("signals: {e}"))
}

impl Program {
    /// Brings everything up; an error ends the program before it has taken anything, `None`: SIGTERM came first. Without
    /// an own file all that it could set up is off.
    pub fn start(
        configuration: Configuration,
        own: Option<(OwnFile, OperatorConfig)>,
        clock: Clock,
        mut signals: Signals,
    ) -> Result<Option<Program>, String> {
        let Configuration {
            path,
            name,
            listen,
            seed,
            bounds,
            journal,
            known,
            mut given,
        } = configuration;
        let Some(listener) = bind(listen, &mut signals)? else {
            return Ok(None);
        };
        // The library asks for 128, which a burst of new connections overflows within 0.1 s.
        rustix::net::listen(listener.get_ref(), BACKLOG)
            .map_err(|e| format!("listen on {listen}: {e}"))?;
        let listen = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        let executor = Rc::new(LocalExecutor::new());
        let (module, mailbox) = async_channel::unbounded();
        let workloads = given.facts.workloads.len();
        let longest_timeout = given
            .facts
            .workloads
            .iter()
            .map(|w| w.statement_timeout)
            .max()
            .unwrap_or(0);
        given.facts.max_open_statements = given.facts.max_open_statements.min(bounds.clients);
        let budgets = own
            .as_ref()
            .map(|(file, own)| budgets(file, own, &given, bounds.clients))
            .transpose()?;
        let budgets = budgets.flatten();
        let has_queues = budgets.is_some();
        let show = own
            .as_ref()
            .is_some_and(|(_, own)| own.teams.as_ref().is_some_and(|t| t.show));
        let kept = Rc::new(given.clone());
        let sessions =
            session::Sessions::new(bounds, given.names.clone(), clock, module.clone(), seed);
        sessions.show(show && has_queues);
        let sharing_on = own.as_ref().is_some_and(|(_, own)| {
            own.peers
                .as_ref()
                .is_some_and(|p| p.enabled && p.coordination.enabled)
        });
        sessions.show_fleet(sharing_on);
        let traffic = Rc::new(Traffic::default());
        let follower = DiscoveryActor::new(DiscoveryParams {
            watch: EndpointWatch::new(known.position, seed),
            clock,
            max_line_bytes: bounds.journal_line,
            scheduler: module.clone(),
            reports_lines: sharing_on,
            traffic: traffic.clone(),
        });
        let (list, list_mail) = async_channel::unbounded();
        let permits = ConnectionPermits::new(bounds.engines);
        let talk = own
            .as_ref()
            .and_then(|(file, own)| Some((file, own.peers.as_ref().filter(|p| p.enabled)?)));
        let (mut keeper, mut sharing) = (None, None);
        if let Some((file, own)) = talk {
            let peering = own.network(&name).map_err(|faults| told(file, faults))?;
            let (now, birth) = (clock.now(), clock.now() / 1_000_000);
            let zones = peering.members.zones_by_member();
            let process = ProcessId {
                member: peering.own_member,
                incarnation: Incarnation(birth),
            };
            let start = peer_links::Start {
                members: peering.members,
                process,
                listen: peering.listen,
                membership: peering.membership,
                seed,
                traffic: traffic.clone(),
            };
            let mailbox = peer_links::Peers::start(start, clock, module.clone(), executor.clone())?;
            if own.coordination.enabled {
                let terms = own.coordination.config(zones.len(), &given.names.tenants);
                let coordinator = Coordinator::new(CoordinatorParams {
                    process,
                    zones: zones.clone(),
                    config: terms,
                    last_event: known.position,
                    seed,
                    now,
                });
                sharing = Some(CoordinationDriver::new(
                    coordinator,
                    mailbox.clone(),
                    list.clone(),
                ));
            }
            if own.ownership.enabled {
                let terms = own.ownership.config(longest_timeout);
                let custody = ivypitch_ownership::Ownership::new(process, zones, terms, now);
                keeper = Some(OwnershipDriver::new(
                    custody,
                    mailbox,
                    own.ownership.min_lookup_work(),
                ));
            }
        }
        let connects = Rc::new(ConnectionCounters::default());
        let parts = scheduler::SchedulerParts {
            budgets,
            keeper,
            sharing,
            permits,
            connects: connects.clone(),
            traffic,
        };
        let actor = scheduler::SchedulerActor::new(
            given,
            parts,
            seed,
            clock,
            module.clone(),
            executor.clone(),
        );
        executor.spawn(actor.run(mailbox, known)).detach();
        executor.spawn(follower.run(journal, list_mail)).detach();
        let program = Program {
            phase: Phase::Starting,
            clock,
            executor,
            sessions,
            connects,
            listener: Rc::new(listener),
            module,
            list,
            signals,
            configuration: path,
            journal,
            longest_timeout,
            own: own.map(|(file, _)| file),
            given: kept,
            places: bounds.clients,
            has_queues,
            reading: None,
        };
        log::info!(
            "{name} {}: listens on {listen}, {workloads} workloads, {} clients, {} engine connections",
            program.phase,
            bounds.clients,
            bounds.engines
        );
        Ok(Some(program))
    }

    /// Serves until SIGTERM, then answers all that was taken.
    pub fn run(mut self) -> Result<(), String> {
        let executor = self.executor.clone();
        async_io::block_on(executor.run(async move {
            let accepting = self.executor.spawn(accept(
                self.listener.clone(),
                self.sessions.clone(),
                self.executor.clone(),
            ));
            self.enter(Phase::Serving);
            self.until_shutdown(std::future::pending()).await;
            self.enter(Phase::Overlap);
            let longest =
                self.longest_timeout.min(KILL_WAITS_AT_MOST) + OVERLAP.as_nanos() as Nanos;
            let by = self.clock.now() + longest - LAST_ANSWERS;
            let _ = self
                .module
                .try_send(SchedulerMessage::Shutdown { answer_by: by });
            self.until_shutdown(async {
                Timer::after(OVERLAP).await;
            })
            .await;
            // From here on commands are refused; whoever comes is told so, and every session closes in order.
            self.enter(Phase::Finishing);
            self.sessions.end_all();
            let late = self.clock.instant(by + LAST_ANSWERS);
            self.until_closed(late).await;
            accepting.cancel().await;
            // What the system has accepted by now is told too.
            while accept_waiting(&self.listener, &self.sessions, &self.executor) > 0
                && Instant::now() < late
            {
                self.until_closed(late).await;
            }
            self.enter(Phase::Stopped);
            log::info!("connections to engines opened: {}", self.connects);
            Ok(())
        }))
    }

    async fn until_closed(&mut self, late: Instant) {
        let sessions = self.sessions.clone();
        self.until_shutdown(sessions.all_closed().or(async {
            Timer::at(late).await;
        }))
        .await;
    }

    /// Until `done`, or, while the program serves, until SIGTERM; SIGHUP reloads in every phase.
    async fn until_shutdown(&mut self, done: impl Future<Output = ()>) {
        let mut done = pin!(done);
        loop {
            let signal = async { self.signals.next().await.and_then(Result::ok) };
            let over = async {
                done.as_mut().await;
                None
            };
            match signal.or(over).await {
                Some(Signal::Hup) => self.reload(),
                Some(_) if self.phase != Phase::Serving => {}
                _ => return,
            }
        }
    }

    /// Reads the configuration again: the journal service is followed at its new address. And the own file, beside
    /// all that goes on: new budgets take effect once it has been read.
    fn reload(&mut self) {
        if let Some(file) = self.own.clone() {
            let (given, places, has_queues) = (self.given.clone(), self.places, self.has_queues);
            let (module, sessions) = (self.module.clone(), self.sessions.clone());
            let task = async move {
                let read = file.load_beside().await;
                match read.and_then(|own| Ok((budgets(&file, &own, &given, places)?, own))) {
                    Ok((Some(budgets), own)) if has_queues => {
                        log::info!("reload: budgets of {} teams", budgets.teams.len());
                        sessions.show(own.teams.is_some_and(|teams| teams.show));
                        let _ = module.try_send(SchedulerMessage::ReloadBudgets {
                            budgets: Box::new(budgets),
                        });
                    }
                    Ok((budgets, _)) if budgets.is_some() != has_queues => {
                        log::warn!(
                            "reload: queues of teams are turned on and off by a restart only"
                        );
                    }
                    Ok(_) => {}
                    Err(why) => log::error!("reload: own settings stay: {why}"),
                }
            };
            // One child at a time: a later signal ends the reading of an earlier one.
            self.reading = Some(self.executor.spawn(task));
        }
        let journal = configuration::from_file(&self.configuration)
            .and_then(|new| new.journal.ok_or_else(|| "it names no journal".into()));
        match journal {
            Ok(journal) => {
                log::info!("reload while {}: journal at {journal}", self.phase);
                if self.journal != Some(journal) {
                    self.journal = Some(journal);
                    let _ = self.list.try_send(DiscoveryMessage::SetAddress(journal));
                }
            }
            Err(why) => log::error!("reload while {}: nothing changed: {why}", self.phase),
        }
    }

    /// The one function that changes the phase.
    fn enter(&mut self, phase: Phase) {
        let (sessions, open) = self.sessions.counts();
        log::info!(
            "{} -> {phase}: {sessions} sessions, {open} statements open",
            self.phase
        );
        self.phase = phase;
    }
}

/// The address of a gateway that ends may be in use until it has ended: it is waited for, longer than that takes.
fn bind(listen: SocketAddr, signals: &mut Signals) -> Result<Option<Async<TcpListener>>, String> {
    let until = Instant::now() + ADDRESS_IN_USE;
    let mut is_told = false;
    loop {
        match Async::<TcpListener>::bind(listen) {
            Ok(listener) => return Ok(Some(listener)),
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                if !is_told {
                    log::warn!("listen on {listen}: in use, tried again");
                }
                is_told = true;
                let again = async {
                    Timer::after(ADDRESS_AGAIN).await;
                    None
                };
                let signal = async { signals.next().await.and_then(Result::ok) };
                if let Some(Signal::Term | Signal::Int) = async_io::block_on(signal.or(again)) {
                    log::info!(
                        "{} -> {}: SIGTERM came first",
                        Phase::Starting,
                        Phase::Stopped
                    );
                    return Ok(None);
                }
            }
            Err(e) => return Err(format!("listen on {listen}: {e}")),
        }
    }
}

/// The budgets that an own file sets up; none where it has no teams, or has them off.
fn budgets(
    file: &OwnFile,
    own: &OperatorConfig,
    given: &DeploymentConfig,
    places: usize,
) -> Result<Option<Budgets>, String> {
    let Some(teams) = own.teams.as_ref().filter(|teams| teams.enabled) else {
        return Ok(None);
    };
    teams
        .budgets(given, places)
        .map(Some)
        .map_err(|faults| told(file, faults))
}

fn told(file: &OwnFile, faults: Vec<SettingsError>) -> String {
    let all: Vec<String> = faults
        .iter()
        .map(|f| format!("{}: {f}", file.path.display()))
        .collect();
    all.join("; ")
}

/// Takes the connections that wait to be accepted, without waiting for one; their number.
fn accept_waiting(
    listener: &Async<TcpListener>,
    sessions: &Rc<session::Sessions>,
    executor: &LocalExecutor<'static>,
) -> usize {
    let mut accepted = 0;
    while accepted < BACKLOG as usize
        && let Ok((stream, _)) = listener.get_ref().accept()
    {
        let _ = stream.set_nodelay(true);
        if let Ok(stream) = Async::new(stream) {
            sessions.admit(stream, executor);
        }
        accepted += 1;
    }
    accepted
}

/// Never waits for a place: the sessions make one.
async fn accept(
    listener: Rc<Async<TcpListener>>,
    sessions: Rc<session::Sessions>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let mut well = true;
    let mut accepted = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.get_ref().set_nodelay(true);
                sessions.admit(stream, &executor);
                well = true;
                accepted += 1;
                if accepted % ACCEPTED_AT_ONCE == 0 {
                    yield_now().await;
                }
            }
            Err(e) => {
                // Descriptors or memory are short for a moment, or the client has gone already.
                if well {
                    log::warn!("accept: {e}");
                }
                well = false;
                Timer::after(Duration::from_millis(10)).await;
            }
        }
    }
}
