//! Fleets of gateways before one engine whose queries end when the test says so.

use ivypitch_gateway::log_events::MEMBER_LOST;
use ivypitch_ownership::VoterAssignment;
use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::processes::Fleet;
use ivypitch_testbed::processes::FleetConfig;
use ivypitch_testbed::processes::FleetEngines;
use ivypitch_testbed::processes::relay::LinkEnd;
use ivypitch_testbed::test_servers::*;

pub const ENGINE: LinkEnd = LinkEnd::Engine(0);

pub fn gateway(g: usize) -> LinkEnd {
    LinkEnd::Gateway(g)
}

/// Of each statement's time, in milliseconds.
pub const LONGEST: u64 = 20_000;
/// Patient enough that nobody is taken for lost because the machine is busy.
pub const PEERS: &str =
    r#""period_ms":200,"suspicion_ms":700,"custody":{"remembered_ms":400,"asks_from_ms":0}"#;
pub const SLOW_PEERS: &str =
    r#""period_ms":500,"suspicion_ms":1500,"custody":{"remembered_ms":400,"asks_from_ms":0}"#;

pub fn fleet(gateways: usize, held: &[&ControlledEngine], peers: &str) -> Fleet {
    let engines = FleetEngines::External(held.iter().map(|held| held.addresses.clone()).collect());
    let peers = Some(peers.to_owned());
    Fleet::start(FleetConfig {
        gateways,
        engines,
        peer_settings: peers,
        max_statement_timeout_ms: LONGEST,
        ..FleetConfig::default()
    })
    .unwrap()
}

pub struct Scene {
    pub fleet: Fleet,
    pub held: ControlledEngine,
}

/// Gateways before one engine whose queries end when the test says so.
pub fn scene(gateways: usize) -> Scene {
    scene_of(gateways, PEERS)
}

pub fn scene_of(gateways: usize, peers: &str) -> Scene {
    let held = ControlledEngine::start(gateways);
    let fleet = fleet(gateways, &[&held], peers);
    Scene { fleet, held }
}

impl Scene {
    /// The same once witnesses vote: those that began lately do not.
    pub fn voting(self) -> Scene {
        for g in 0..self.fleet.config.gateways {
            ask_until_votes(&self.fleet, g);
        }
        self
    }

    pub fn client(&self, g: usize) -> Client {
        Client::connect_to(self.fleet.gateways[g].address)
    }

    /// A client that has sent its statement and waits.
    pub fn sent(&self, g: usize, kind: &str, req: u64) -> Client {
        let mut client = self.client(g);
        client.send(&query(&statement(kind, req, LONGEST)));
        client
    }

    /// A load whose execution runs, sent by this gateway.
    pub fn running(&self, g: usize, req: u64) -> Client {
        let client = self.sent(g, "load", req);
        assert_eq!(self.held.wait_for_start(req), g);
        client
    }

    pub fn wait_lost(&self, at: usize, lost: usize) {
        self.fleet.gateways[at].log.wait("loss", |l| {
            is_event(l, MEMBER_LOST, &[("member", &format!("n{lost}"))])
        });
    }
}

pub fn ask_until_votes(fleet: &Fleet, g: usize) {
    for req in (1 << 32) + (g as u64) * 1000.. {
        let answer =
            Client::connect_to(fleet.gateways[g].address).execute(&statement("load", req, LONGEST));
        if matches!(answer, Answer::Rows(_)) {
            return;
        }
        assert!(req % 1000 < 900, "{answer:?}");
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}

pub fn rows(req: u64) -> Answer {
    Answer::Rows(vec![vec![format!("{req:016x}"), "b".into(), "c".into()]])
}

pub fn voters_of(assignment: &VoterAssignment, id: u64) -> Vec<u16> {
    let voters = assignment.voters_of(id);
    voters.into_iter().map(|voter| voter.0).collect()
}

/// An id whose witnesses, the first in rank first, are as wanted.
pub fn id_where(gateways: usize, is: impl Fn(&[u16]) -> bool) -> (u64, Vec<u16>) {
    let witnesses = VoterAssignment::new((0..gateways as u16).map(|g| g % 3).collect(), 5);
    let found = (1..10_000)
        .map(|id| (id, voters_of(&witnesses, id)))
        .find(|(_, all)| is(all));
    found.unwrap()
}

/// Others take a member for lost only long after a test has failed, unless it says that it leaves.
pub const VERY_PATIENT_PEERS: &str =
    r#""period_ms":200,"suspicion_ms":600000,"custody":{"remembered_ms":400,"asks_from_ms":0}"#;

/// What is on its way to the engine as its gateway is killed: the question that proves a kept connection, and, once that
/// has brought no answer, the start on a new one.
pub const PROOF: &str = "GET /c/0000000000000001/0";
pub const START: &str = "POST /c ";
