//! Hollow gateways: many in one process, each with the real actors of members and links (`actors/peers.rs`), of the
//! journal (`actors/list.rs`), custody and shares behind their real codecs and sockets, and nothing else: no clients, no
//! module, no engines. To a real gateway each is a peer like any other. What hollow gateways say to each other on links
//! is written and read by the real codec and handed over in the process: a link of each pair would be the square of
//! their number. Their datagrams all go through sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use bytes::BytesMut;
use ivypitch_config::operator::{self, OperatorConfig};
use ivypitch_coordination::{Coordinator, CoordinatorParams};
use ivypitch_discovery::EndpointWatch;
use ivypitch_gateway::actors::coordination::CoordinationDriver;
use ivypitch_gateway::actors::discovery::{DiscoveryActor, DiscoveryParams};
use ivypitch_gateway::actors::messages::{Answer, SchedulerMessage};
use ivypitch_gateway::actors::ownership::{Action, OwnershipDriver};
use ivypitch_gateway::actors::peer_links::{
    PeerEvent, PeerLinks, PeerLinksMessage, PeerLinksParams,
};
use ivypitch_gateway::lifecycle::clock::Clock;
use ivypitch_gateway::state::engines::engine_id_hash;
use ivypitch_gateway::state::traffic::Traffic;
use ivypitch_gateway::wire::discovery::EndpointUpdate;
use ivypitch_gateway::wire::peer_frames::{Frame, decode_frame, encode_frame};
use ivypitch_ownership::Ownership;
use ivypitch_types::{Incarnation, MemberId, Nanos, ProcessId};
use serde::{Deserialize, Serialize};
use smol::channel::{self, Receiver, Sender};
use smol::future::FutureExt;
use smol::{LocalExecutor, Timer};

use super::engine::stamp;

/// As a gateway's configuration has it, at a memory of 1 GB.
const JOURNAL_LINE: usize = 32 << 20;
/// Messages handed over in the process that a hollow gateway has not taken yet; more are dropped, as by a link whose
/// peer does not read.
const MOST_HANDED: usize = 4096;
/// More on one core are heard too late to be taken for alive.
pub const EACH_THREAD: usize = 100;
/// Gateways of a fleet do not all start in the same moment: what is measured here is their rest.
/// Beyond one thread they start slower still: late answers at a cold start are suspicions, which all tell all, and on a
/// busy machine that goes on by itself.
const START_APART: Duration = Duration::from_millis(20);
const MANY_START_APART: Duration = Duration::from_millis(100);

/// One line of JSON: the process' first.
#[derive(Debug, Serialize, Deserialize)]
pub struct Crowd {
    /// The own file of all; addresses of the list as hollow gateways reach each other.
    pub own: String,
    /// The places from here on are hollow.
    pub first: usize,
    /// For each hollow gateway: how it reaches each of those that are not.
    pub ways: Vec<Vec<SocketAddr>>,
    pub journal: SocketAddr,
    pub tenants: Vec<String>,
    /// Longest statement timeout.
    pub longest_ms: u64,
    pub seed: u64,
    /// A line for each event that each takes: `TIME event PLACE NUMBER`.
    pub tells_events: bool,
}

/// What a hollow gateway came to, on the order `count`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    pub place: usize,
    /// Other members that it hears.
    pub heard: usize,
    /// Events of the journal that it has taken.
    pub events: u64,
    /// Statements that it was to take over; it has no module and aborts them.
    pub adopted: u64,
    /// Messages on links: handed over in the process, and their bytes as frames.
    pub handed: u64,
    pub handed_bytes: u64,
    pub dropped: u64,
}

/// What other hollow gateways say to one on links.
type Handed = Receiver<(u16, Frame)>;

enum Mail {
    Module(SchedulerMessage),
    Handed(u16, Frame),
}

/// What all hollow gateways of the process have in common.
struct Shared {
    first: u16,
    /// By place behind the first.
    inboxes: Vec<Sender<(u16, Frame)>>,
    counts: Mutex<Vec<Counts>>,
    seats: usize,
    tells_events: bool,
}

impl Shared {
    fn counts(&self) -> MutexGuard<'_, Vec<Counts>> {
        self.counts
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn count(&self, place: u16, change: impl FnOnce(&mut Counts)) {
        if let Some(counts) = self.counts().get_mut(usize::from(place - self.first)) {
            change(counts);
        }
    }

    /// What is said on a link to another hollow gateway.
    fn hand(&self, from: u16, to: u16, frame: &Frame) {
        let mut bytes = BytesMut::from(&encode_frame(frame)[..]);
        let length = bytes.len() as u64;
        let Ok(Some(frame)) = decode_frame(&mut bytes) else {
            return;
        };
        let is_taken = self
            .inboxes
            .get(usize::from(to - self.first))
            .is_some_and(|inbox| {
                inbox.len() < MOST_HANDED && inbox.try_send((from, frame)).is_ok()
            });
        self.count(from, |counts| {
            counts.handed += 1;
            counts.handed_bytes += length;
            counts.dropped += u64::from(!is_taken);
        });
    }
}

/// In the place of the module's actor.
struct Hollow {
    place: u16,
    clock: Clock,
    keeper: Option<OwnershipDriver>,
    sharing: Option<CoordinationDriver>,
    /// Births of those that are heard.
    heard: BTreeMap<u16, u64>,
    /// Those that it has heard at any time.
    met: BTreeSet<u16>,
    /// Engines of the list and whether they are ready.
    engines: BTreeMap<u64, bool>,
    shared: Arc<Shared>,
}

impl Hollow {
    async fn run(mut self, module: Receiver<SchedulerMessage>, inbox: Handed) {
        loop {
            let keeper = self
                .keeper
                .as_ref()
                .map_or(Nanos::MAX, OwnershipDriver::next_timer);
            let sharing = self
                .sharing
                .as_ref()
                .map_or(Nanos::MAX, CoordinationDriver::next_timer);
            let due = keeper.min(sharing);
            let clock = self.clock;
            let timer = async {
                if due == Nanos::MAX {
                    return std::future::pending().await;
                }
                Timer::at(clock.instant(due)).await;
                Ok(None)
            };
            let told = async { module.recv().await.map(|mail| Some(Mail::Module(mail))) };
            let handed = async {
                inbox
                    .recv()
                    .await
                    .map(|(from, frame)| Some(Mail::Handed(from, frame)))
            };
            let Ok(mail) = told.or(handed).or(timer).await else {
                return;
            };
            let now = self.clock.now();
            match mail {
                Some(Mail::Module(mail)) => self.take(now, mail),
                Some(Mail::Handed(from, Frame::Ownership(message))) => {
                    if let Some(keeper) = &mut self.keeper {
                        keeper.on_message(now, MemberId(from), message);
                    }
                }
                Some(Mail::Handed(from, Frame::Coordination(message))) => {
                    if let Some(sharing) = &mut self.sharing {
                        sharing.on_message(now, MemberId(from), message);
                    }
                }
                Some(Mail::Handed(..)) | None => {}
            }
            if let Some(keeper) = &mut self.keeper {
                keeper.on_timer(now);
            }
            if let Some(sharing) = &mut self.sharing {
                sharing.on_timer(now);
            }
            self.settle(now);
        }
    }

    fn take(&mut self, now: Nanos, mail: SchedulerMessage) {
        match mail {
            SchedulerMessage::PeerEvent(peer) => self.peer(now, peer),
            SchedulerMessage::WatchLineRead { event } => {
                if let Some(event) = &event {
                    self.shared
                        .count(self.place, |counts| counts.events = event.position);
                    if self.shared.tells_events {
                        println!("{} event {} {}", stamp(), self.place, event.position);
                    }
                }
                if let Some(sharing) = &mut self.sharing {
                    sharing.on_watch_line_read(now, event);
                }
            }
            SchedulerMessage::EndpointsUpdated { update } => self.listed(update),
            // Of clients and executions: here are none.
            _ => {}
        }
    }

    fn peer(&mut self, now: Nanos, peer: PeerEvent) {
        if let Some(keeper) = &mut self.keeper {
            keeper.on_peer_event(now, &peer);
        }
        match peer {
            PeerEvent::MemberUp(process) => {
                let place = process.member.0;
                self.heard.insert(place, process.incarnation.0);
                if self.met.insert(place) && self.met.len() + 1 == self.shared.seats {
                    println!("{} joined {}", stamp(), self.place);
                }
            }
            PeerEvent::MemberDown(process)
                if self.heard.get(&process.member.0) == Some(&process.incarnation.0) =>
            {
                self.heard.remove(&process.member.0);
            }
            _ => {}
        }
        let heard = self.heard.len();
        self.shared.count(self.place, |counts| counts.heard = heard);
        let Some(sharing) = &mut self.sharing else {
            return;
        };
        match peer {
            PeerEvent::MemberUp(process) => sharing.on_member_up(now, process),
            PeerEvent::MemberDown(process) => sharing.on_member_down(now, process),
            PeerEvent::Coordination {
                from,
                message,
                receipt: _receipt,
            } => sharing.on_message(now, from, *message),
            PeerEvent::Gossip {
                gossip,
                receipt: _receipt,
            } => sharing.on_gossip(now, *gossip),
            PeerEvent::Ownership { .. }
            | PeerEvent::MemberSuspected(_)
            | PeerEvent::SuspicionCleared(_) => {}
        }
    }

    fn listed(&mut self, update: EndpointUpdate) {
        if update.is_full {
            self.engines.clear();
        }
        for server in update.endpoints {
            let number = engine_id_hash(&server.id);
            match server.state.as_str() {
                "terminated" => drop(self.engines.remove(&number)),
                state => drop(self.engines.insert(number, state == "in_service")),
            }
        }
        let ready: Vec<u64> = self
            .engines
            .iter()
            .filter(|(_, is)| **is)
            .map(|(&engine, _)| engine)
            .collect();
        if let Some(sharing) = &mut self.sharing {
            sharing.on_endpoints_updated(&ready);
        }
    }

    /// What sharing asks for changes nothing where no statement runs; custody is answered for what it would run here.
    fn settle(&mut self, now: Nanos) {
        while self
            .sharing
            .as_mut()
            .and_then(CoordinationDriver::next_action)
            .is_some()
        {}
        let Some(keeper) = &mut self.keeper else {
            return;
        };
        while let Some(act) = keeper.next_action() {
            if let Action::TakeOver(takeover) = act {
                self.shared.count(self.place, |counts| counts.adopted += 1);
                let _ = keeper.on_answered(now, takeover.id, &Answer::Aborted);
            }
        }
    }
}

/// Takes what a hollow gateway says: to one of this process at once, else to its real actor of peers.
async fn sort(
    said: Receiver<PeerLinksMessage>,
    peers: Sender<PeerLinksMessage>,
    from: u16,
    shared: Arc<Shared>,
) {
    while let Ok(message) = said.recv().await {
        match message {
            PeerLinksMessage::SendOwnership { to, message } if to.0 >= shared.first => {
                shared.hand(from, to.0, &Frame::Ownership(message));
            }
            PeerLinksMessage::SendCoordination { to, message } if to.0 >= shared.first => {
                shared.hand(from, to.0, &Frame::Coordination(message));
            }
            other => drop(peers.try_send(other)),
        }
    }
}

fn start(
    crowd: &Crowd,
    own: &OperatorConfig,
    place: usize,
    handed: Handed,
    shared: &Arc<Shared>,
    clock: Clock,
    executor: &Rc<LocalExecutor<'static>>,
) -> Result<(), String> {
    let told = |what: &str| format!("hollow gateway {place}: {what}");
    let own = own
        .peers
        .as_ref()
        .ok_or_else(|| told("no peers in the own file"))?;
    let mut peering = own
        .network(&format!("n{place}"))
        .map_err(|faults| told(&format!("{faults:?}")))?;
    let ways = &crowd.ways[place - crowd.first];
    for (member, &way) in peering.members.members.iter_mut().zip(ways) {
        member.address = way;
    }
    let (now, birth) = (clock.now(), clock.now() / 1_000_000);
    let zones = peering.members.zones_by_member();
    let (traffic, at) = (Rc::new(Traffic::default()), place as u16);
    let seed = crowd.seed ^ (place as u64) << 32;
    let (module, to_module) = channel::unbounded();
    let process = ProcessId {
        member: MemberId(at),
        incarnation: Incarnation(birth),
    };
    let params = PeerLinksParams {
        members: peering.members,
        process,
        listen: peering.listen,
        membership: peering.membership,
        seed,
        traffic: traffic.clone(),
        clock,
        scheduler: module.clone(),
        executor: executor.clone(),
    };
    let mailbox = PeerLinks::start(params).map_err(|error| error.to_string())?;
    let (say, said) = channel::unbounded();
    executor
        .spawn(sort(said, mailbox, at, shared.clone()))
        .detach();
    let (list, list_mail) = channel::unbounded();
    let sharing = own.coordination.enabled.then(|| {
        let terms = own.coordination.config(zones.len(), &crowd.tenants);
        let shares = Coordinator::new(CoordinatorParams {
            process,
            zones: zones.clone(),
            config: terms,
            last_event: 0,
            seed,
            now,
        });
        CoordinationDriver::new(shares, say.clone(), list.clone())
    });
    let keeper = own.ownership.enabled.then(|| {
        let terms = own.ownership.config(crowd.longest_ms * 1_000_000);
        let custody = Ownership::new(process, zones.clone(), terms, now);
        OwnershipDriver::new(custody, say.clone(), own.ownership.min_lookup_work())
    });
    let follower = DiscoveryActor::new(DiscoveryParams {
        watch: EndpointWatch::new(0, seed),
        clock,
        max_line_bytes: JOURNAL_LINE,
        scheduler: module,
        reports_lines: true,
        traffic,
    });
    executor
        .spawn(follower.run(Some(crowd.journal), list_mail))
        .detach();
    let hollow = Hollow {
        place: at,
        clock,
        keeper,
        sharing,
        heard: BTreeMap::new(),
        met: BTreeSet::new(),
        engines: BTreeMap::new(),
        shared: shared.clone(),
    };
    // What a hollow gateway keeps for the list stays open as long as it runs.
    let task = async move {
        let _list = list;
        hollow.run(to_module, handed).await;
    };
    executor.spawn(task).detach();
    Ok(())
}

/// `ivypitch lab hollow-gateways`: a [`Crowd`] on the first line, then orders; ends as they end.
pub fn serve() -> ExitCode {
    match served() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("hollow gateways: {e}");
            ExitCode::FAILURE
        }
    }
}

fn served() -> Result<(), String> {
    let mut first = String::new();
    io::stdin()
        .lock()
        .read_line(&mut first)
        .map_err(|e| e.to_string())?;
    let crowd: Crowd = serde_json::from_str(&first).map_err(|e| e.to_string())?;
    let places: Vec<usize> = (crowd.first..crowd.first + crowd.ways.len()).collect();
    let (inboxes, handed): (Vec<_>, Vec<_>) = places.iter().map(|_| channel::unbounded()).unzip();
    let shared = Arc::new(Shared {
        first: crowd.first as u16,
        inboxes,
        counts: Mutex::new(
            places
                .iter()
                .map(|&place| Counts {
                    place,
                    ..Counts::default()
                })
                .collect(),
        ),
        seats: crowd.first + places.len(),
        tells_events: crowd.tells_events,
    });
    let (crowd, clock) = (Arc::new(crowd), Clock::start());
    let mut handed = handed.into_iter();
    let mut started = Vec::new();
    for places in places.chunks(EACH_THREAD) {
        let theirs: Vec<_> = places.iter().copied().zip(handed.by_ref()).collect();
        let (crowd, shared) = (crowd.clone(), shared.clone());
        let (tell, told) = channel::bounded(1);
        thread::spawn(move || run(&crowd, theirs, &shared, clock, &tell));
        started.push(told);
    }
    for told in started {
        told.recv_blocking()
            .unwrap_or_else(|_| Err("a thread failed".into()))?;
    }
    println!("ready");
    smol::block_on(super::child::heed(|line| match line {
        "count" => println!(
            "counts {}",
            serde_json::to_string(&*shared.counts()).unwrap_or_default()
        ),
        other => eprintln!("hollow gateways: {other:?} not understood"),
    }));
    Ok(())
}

/// One thread's hollow gateways; they end with the process.
fn run(
    crowd: &Crowd,
    theirs: Vec<(usize, Handed)>,
    shared: &Arc<Shared>,
    clock: Clock,
    tell: &Sender<Result<(), String>>,
) {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let started = async {
            let apart = if crowd.ways.len() > EACH_THREAD {
                MANY_START_APART
            } else {
                START_APART
            };
            let own =
                operator::read(crowd.own.as_bytes()).map_err(|faults| format!("{faults:?}"))?;
            for (place, handed) in theirs {
                start(crowd, &own, place, handed, shared, clock, &executor)?;
                Timer::after(apart).await;
            }
            Ok(())
        };
        let _ = tell.send(started.await).await;
        std::future::pending::<()>().await;
    }));
}
