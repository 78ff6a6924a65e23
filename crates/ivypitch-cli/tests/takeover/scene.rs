//! Fleets of gateways with one engine that completes queries on request of the test.

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

/// Upper limit of a statement timeout.
pub const MAX_STATEMENT_TIMEOUT_MS: u64 = 20_000;
/// Long enough that a busy machine does not cause false member losses.
pub const PEER_SETTINGS: &str =
    r#""period_ms":200,"suspicion_ms":700,"custody":{"remembered_ms":400,"asks_from_ms":0}"#;
/// Longer periods, for thirty gateways on one machine.
pub const SLOW_PEER_SETTINGS: &str =
    r#""period_ms":500,"suspicion_ms":1500,"custody":{"remembered_ms":400,"asks_from_ms":0}"#;

pub fn fleet(gateways: usize, controlled_engines: &[&ControlledEngine], peers: &str) -> Fleet {
    let engines = FleetEngines::External(
        controlled_engines
            .iter()
            .map(|engine| engine.addresses.clone())
            .collect(),
    );
    let peers = Some(peers.to_owned());
    Fleet::start(FleetConfig {
        gateways,
        engines,
        peer_settings: peers,
        max_statement_timeout_ms: MAX_STATEMENT_TIMEOUT_MS,
        ..FleetConfig::default()
    })
    .unwrap()
}

pub struct TestSetup {
    pub fleet: Fleet,
    pub engine: ControlledEngine,
}

/// Starts gateways with one engine that completes queries on request of the test.
pub fn set_up(gateways: usize) -> TestSetup {
    set_up_with(gateways, PEER_SETTINGS)
}

pub fn set_up_with(gateways: usize, peer_settings: &str) -> TestSetup {
    let engine = ControlledEngine::start(gateways);
    let fleet = fleet(gateways, &[&engine], peer_settings);
    TestSetup { fleet, engine }
}

impl TestSetup {
    /// Waits until all voters vote: a voter that has just started denies its vote.
    pub fn wait_until_voting(self) -> TestSetup {
        for g in 0..self.fleet.config.gateways {
            execute_until_served(&self.fleet, g);
        }
        self
    }

    pub fn client(&self, g: usize) -> Client {
        Client::connect_to(self.fleet.gateways[g].address)
    }

    /// Returns a client that has sent its statement and waits.
    pub fn send_statement(&self, g: usize, kind: &str, req: u64) -> Client {
        let mut client = self.client(g);
        client.send(&query(&statement(kind, req, MAX_STATEMENT_TIMEOUT_MS)));
        client
    }

    /// Sends a load through a gateway and waits until it runs at the engine.
    pub fn start_load(&self, g: usize, req: u64) -> Client {
        let client = self.send_statement(g, "load", req);
        assert_eq!(self.engine.wait_for_start(req), g);
        client
    }

    /// Waits until a gateway has noticed that all its clients have left: it lists no open socket of
    /// its listener but the listener itself.
    pub fn wait_for_sessions_to_end(&self, g: usize) {
        let local = format!(":{:04X} ", self.fleet.gateways[g].address.port());
        wait_until("end of the sessions", || {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            let is_session = |line: &str| {
                let fields: Vec<&str> = line.split_whitespace().collect();
                let is_local = fields
                    .get(1)
                    .is_some_and(|address| format!("{address} ").ends_with(&local));
                is_local && !matches!(fields.get(3), Some(&"0A" | &"06"))
            };
            !table.lines().any(is_session)
        });
    }

    pub fn wait_for_loss(&self, at: usize, lost: usize) {
        self.fleet.gateways[at].log.wait("member loss", |line| {
            is_event(line, MEMBER_LOST, &[("member", &format!("n{lost}"))])
        });
    }
}

pub fn execute_until_served(fleet: &Fleet, g: usize) {
    for req in (1 << 32) + (g as u64) * 1000.. {
        let answer = Client::connect_to(fleet.gateways[g].address).execute(&statement(
            "load",
            req,
            MAX_STATEMENT_TIMEOUT_MS,
        ));
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

/// Finds a statement id whose voters, in order of rank, satisfy the predicate.
pub fn find_statement(gateways: usize, matches_voters: impl Fn(&[u16]) -> bool) -> (u64, Vec<u16>) {
    let assignment = VoterAssignment::new((0..gateways as u16).map(|g| g % 3).collect(), 5);
    let found = (1..10_000)
        .map(|id| (id, voters_of(&assignment, id)))
        .find(|(_, voters)| matches_voters(voters));
    found.unwrap()
}

/// Members are reported lost only if they announce that they leave: the suspicion timeout exceeds
/// the test.
pub const PEER_SETTINGS_WITHOUT_FAILURE_DETECTION: &str =
    r#""period_ms":200,"suspicion_ms":600000,"custody":{"remembered_ms":400,"asks_from_ms":0}"#;

/// The poll that checks a reused connection; if it stays unanswered, the start is sent on a new
/// connection.
pub const CONNECTION_CHECK_REQUEST: &str = "GET /c/0000000000000001/0";
/// The start of a statement.
pub const START_REQUEST: &str = "POST /c ";
