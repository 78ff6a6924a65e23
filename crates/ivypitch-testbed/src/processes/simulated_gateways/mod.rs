//! Simulated gateways: many in one process, each with the real actors for other gateways (`actors/peer_links`) and for the
//! discovery service (`actors/discovery.rs`), ownership and coordination behind their real codecs and sockets, and nothing
//! else: no clients, no scheduler, no engines. For a real gateway each is an ordinary peer.
//!
//! What simulated gateways send each other on links is encoded and decoded as usual and handed over within the process: a
//! link for each pair would grow with the square of their number. Their datagrams all go through sockets.

mod gateway;
mod links;
mod startup;

use std::io::{self, BufRead};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use ivypitch_config::operator;
use ivypitch_gateway::lifecycle::clock::Clock;
use serde::{Deserialize, Serialize};
use smol::channel::{self, Receiver, Sender};
use smol::{LocalExecutor, Timer};

use links::{Inbox, LinkMessage, SharedState};
use startup::{GatewayStart, StartError};

/// With more gateways on one core, their answers are so late that peers suspect them.
pub const GATEWAYS_PER_THREAD: usize = 100;
/// Interval between starts; the experiments measure the steady state, not a simultaneous start.
const START_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between starts with more than one thread: late answers at a cold start cause suspicions, which all gateways
/// forward to all others, and on a busy machine this load causes further late answers.
const START_INTERVAL_OF_MANY: Duration = Duration::from_millis(100);

/// What to simulate. One line of JSON, the first that the process reads.
#[derive(Debug, Serialize, Deserialize)]
pub struct SimulatedGateways {
    /// The operator's settings of all; addresses of the member list as simulated gateways reach each other.
    pub operator_settings: String,
    /// The members from this position on are simulated.
    pub first: usize,
    /// For each simulated gateway: how it reaches each of those that are real.
    pub routes: Vec<Vec<SocketAddr>>,
    /// The discovery service.
    pub discovery: SocketAddr,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// The longest statement timeout.
    pub max_statement_timeout_ms: u64,
    /// For random choices.
    pub seed: u64,
    /// Whether to print a line for each event that each accepts: `TIME event MEMBER NUMBER`.
    pub prints_events: bool,
}

/// Counters of a simulated gateway; printed on the command `count`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Its position in the member list.
    pub member: usize,
    /// Other members that it reaches.
    pub reachable: usize,
    /// The last event that it has accepted.
    pub last_event: u64,
    /// Statements that it was to take over; it cannot run them and aborts them.
    pub takeovers: u64,
    /// Messages to other simulated gateways.
    pub handed_over: u64,
    /// Bytes of these messages as frames.
    pub handed_over_bytes: u64,
    /// Dropped messages to other simulated gateways.
    pub dropped: u64,
}

/// Error that ends the process.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    #[error("cannot read the first line: {0}")]
    Read(#[from] io::Error),
    #[error("invalid first line: {0}")]
    Parse(#[from] serde_json::Error),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error("a gateway thread ended")]
    Thread,
}

/// `ivypitch lab hollow-gateways`: reads a [`SimulatedGateways`], then commands; ends with its input.
pub fn serve() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulated gateways: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), ServeError> {
    let mut first_line = String::new();
    io::stdin().lock().read_line(&mut first_line)?;
    let config: SimulatedGateways = serde_json::from_str(&first_line)?;
    let members: Vec<usize> = (config.first..config.first + config.routes.len()).collect();
    let (shared, inboxes) = SharedState::new(&config);
    let shared = Arc::new(shared);
    let started = start_threads(config, &members, inboxes, &shared);
    for result in started {
        result.recv_blocking().map_err(|_| ServeError::Thread)??;
    }
    println!("ready");
    smol::block_on(super::testbed_process::handle_commands(
        |command| match command {
            "count" => println!("counts {}", shared.counts_as_json()),
            other => eprintln!("simulated gateways: unknown command {other:?}"),
        },
    ));
    Ok(())
}

/// Returns a receiver per thread for the result of starting its gateways.
fn start_threads(
    config: SimulatedGateways,
    members: &[usize],
    inboxes: Vec<Inbox>,
    shared: &Arc<SharedState>,
) -> Vec<Receiver<Result<(), StartError>>> {
    let config = Arc::new(config);
    let clock = Clock::start();
    let mut inboxes = inboxes.into_iter();
    let mut started = Vec::new();
    for members in members.chunks(GATEWAYS_PER_THREAD) {
        let thread = GatewayThread {
            config: config.clone(),
            gateways: members.iter().copied().zip(inboxes.by_ref()).collect(),
            shared: shared.clone(),
            clock,
        };
        let (report, result) = channel::bounded(1);
        thread::spawn(move || thread.run(&report));
        started.push(result);
    }
    started
}

/// The gateways of one thread; they end with the process.
struct GatewayThread {
    config: Arc<SimulatedGateways>,
    /// Members and their inboxes.
    gateways: Vec<(usize, Receiver<LinkMessage>)>,
    shared: Arc<SharedState>,
    clock: Clock,
}

impl GatewayThread {
    fn run(self, report: &Sender<Result<(), StartError>>) {
        let executor = Rc::new(LocalExecutor::new());
        smol::block_on(executor.run(async {
            let started = self.start_all(&executor).await;
            let _ = report.send(started).await;
            std::future::pending::<()>().await;
        }));
    }

    async fn start_all(self, executor: &Rc<LocalExecutor<'static>>) -> Result<(), StartError> {
        let interval = if self.config.routes.len() > GATEWAYS_PER_THREAD {
            START_INTERVAL_OF_MANY
        } else {
            START_INTERVAL
        };
        let operator = operator::read(self.config.operator_settings.as_bytes())
            .map_err(|errors| StartError::Settings(format!("{errors:?}")))?;
        for (member, inbox) in self.gateways {
            let start = GatewayStart {
                config: &self.config,
                operator: &operator,
                member,
                inbox,
                shared: &self.shared,
                clock: self.clock,
                executor,
            };
            start.start()?;
            Timer::after(interval).await;
        }
        Ok(())
    }
}
