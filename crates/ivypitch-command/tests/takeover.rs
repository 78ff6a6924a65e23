//! Work in hand outlives its gateway: several real gateways on loopback that talk, one of which is lost.

use std::collections::HashMap;
use std::net::{TcpListener, UdpSocket};
use std::sync::{Arc, Mutex};

use ivypitch_lab::stand_ins::*;

/// An engine whose queries end when the test says so; it counts starts by id.
struct Held {
    engine: Engine,
    over: Arc<Mutex<HashMap<String, bool>>>,
}

fn id_of(call: &Call) -> String {
    call.header("Via-Id").or(call.path.split('/').nth(2)).unwrap_or_default().to_owned()
}

impl Held {
    fn start() -> Held {
        let over: Arc<Mutex<HashMap<String, bool>>> = Arc::default();
        let known = over.clone();
        let engine = Engine::start(move |call, _| {
            let id = id_of(call);
            let mut known = known.lock().unwrap();
            if call.is("POST") {
                known.entry(id.clone()).or_insert(false);
            }
            match known.get(&id) {
                _ if call.is("DELETE") => {
                    known.remove(&id);
                    say(204, "", "")
                }
                Some(true) => good(&format!("{id}\tb\tc\n")),
                Some(false) => say(202, "", ""),
                None => say(500, "", ""),
            }
        });
        Held { engine, over }
    }

    fn end(&self, req: u64) {
        self.over.lock().unwrap().insert(format!("{req:016x}"), true);
    }

    /// Starts of this id.
    fn starts(&self, req: u64) -> usize {
        let id = format!("{req:016x}");
        self.engine.calls.all().iter().filter(|c| c.is("POST") && c.header("Via-Id") == Some(&id)).count()
    }
}

/// A port that is free for both kinds of socket.
fn free_address() -> String {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        if UdpSocket::bind(address).is_ok() {
            return address.to_string();
        }
    }
}

struct Fleet {
    gateways: Vec<Gateway>,
    own: String,
    rows: Vec<String>,
}

/// The settings of the stand-ins with times short enough that witnesses vote soon after their start.
fn short(config: String) -> String {
    config.replace("\"give-up-ns\":20000000000", "\"give-up-ns\":4000000000")
}

impl Fleet {
    fn start(count: usize, engines: &[&Engine]) -> Fleet {
        let addresses: Vec<String> = (0..count).map(|_| free_address()).collect();
        let list: Vec<String> = addresses
            .iter()
            .enumerate()
            .map(|(i, a)| format!(r#"{{"name":"n{i}","zone":"z{}","address":"{a}"}}"#, i % 3))
            .collect();
        let own = format!(
            r#"{{"peers":{{"gateways":[{}],"custody":{{"remembered_ms":400,"asks_from_ms":0}}}}}}"#,
            list.join(",")
        );
        let rows: Vec<String> =
            engines.iter().enumerate().map(|(i, e)| e.row(&format!("s-{i}"), "in_service")).collect();
        let mut fleet = Fleet { gateways: Vec::new(), own, rows };
        for i in 0..count {
            let gateway = fleet.one(i);
            fleet.gateways.push(gateway);
        }
        for gateway in &fleet.gateways {
            gateway.log.wait_for("members", count - 1, |l| l.contains("is up"));
        }
        fleet
    }

    fn one(&self, i: usize) -> Gateway {
        let named = |config: String| short(config).replace("\"name\":\"n0\"", &format!("\"name\":\"n{i}\""));
        Gateway::owned(&self.rows, named, Some(&self.own))
    }
}

/// Asked again until the witnesses vote: those that began lately give no votes.
fn ask_until_votes(gateway: &Gateway, from: u64) {
    for req in from.. {
        let answer = Client::connect(gateway).ask(&statement("load", req, 4000));
        if matches!(answer, Answer::Rows(_)) {
            return;
        }
        assert!(req < from + 400, "{answer:?}");
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}

#[test]
fn a_load_outlives_its_gateway_and_its_client_gets_the_rows_at_another() {
    let held = Held::start();
    for req in 1000..1400 {
        held.end(req);
    }
    let mut fleet = Fleet::start(5, &[&held.engine]);
    ask_until_votes(&fleet.gateways[0], 1000);
    let mut client = Client::connect(&fleet.gateways[0]);
    client.send(&query(&statement("load", 1, 4000)));
    held.engine.calls.wait("start", |c| c.is("POST") && c.header("Via-Id") == Some("0000000000000001"));
    fleet.gateways[0].kill();
    // It comes back before the loss is known, twice at once at two gateways.
    let mut back = Client::connect(&fleet.gateways[1]);
    let mut also = Client::connect(&fleet.gateways[2]);
    back.send(&query(&statement("load", 1, 4000)));
    also.send(&query(&statement("load", 1, 4000)));
    fleet.gateways[1].log.wait("loss", |l| l.contains("member n0 is lost"));
    held.end(1);
    let rows = Answer::Rows(vec![vec![format!("{:016x}", 1), "b".into(), "c".into()]]);
    assert_eq!(back.answer(1), rows);
    assert_eq!(also.answer(1), rows);
    // Later, anywhere, the same; and another statement under the id is refused.
    assert_eq!(Client::connect(&fleet.gateways[3]).ask(&statement("load", 1, 4000)), rows);
    assert_eq!(held.starts(1), 1, "it ran once");
}

#[test]
fn a_planned_stop_hands_over_what_it_cannot_end() {
    let held = Held::start();
    for req in 1000..1400 {
        held.end(req);
    }
    let mut fleet = Fleet::start(3, &[&held.engine]);
    ask_until_votes(&fleet.gateways[0], 1000);
    let mut client = Client::connect(&fleet.gateways[0]);
    client.send(&query(&statement("load", 2, 4000)));
    held.engine.calls.wait("start", |c| c.is("POST") && c.header("Via-Id") == Some("0000000000000002"));
    fleet.gateways[0].terminate();
    fleet.gateways[0].log.wait("hand over", |l| l.contains("custody hands 1 statements over"));
    held.end(2);
    assert_eq!(fleet.gateways[0].exit_code(), Some(0));
    let rows = Answer::Rows(vec![vec![format!("{:016x}", 2), "b".into(), "c".into()]]);
    assert_eq!(Client::connect(&fleet.gateways[1]).ask(&statement("load", 2, 4000)), rows);
    assert_eq!(held.starts(2), 1, "it ran once");
    assert!(!held.engine.calls.all().iter().any(|c| c.is("DELETE") && c.path.ends_with("0000000000000002")));
}

#[test]
fn a_gateway_without_peers_sends_no_load_that_another_might_have_sent() {
    let held = Held::start();
    for req in 1000..1400 {
        held.end(req);
    }
    let mut fleet = Fleet::start(3, &[&held.engine]);
    ask_until_votes(&fleet.gateways[0], 1000);
    fleet.gateways[1].kill();
    fleet.gateways[2].kill();
    fleet.gateways[0].log.wait_for("losses", 2, |l| l.contains("is lost"));
    let mut client = Client::connect(&fleet.gateways[0]);
    assert_eq!(client.ask(&statement("load", 3, 4000)).code(), 1105);
    assert_eq!(held.starts(3), 0);
    // What is harmless goes on.
    held.end(4);
    assert!(matches!(client.ask(&statement("lookup", 4, 4000)), Answer::Rows(_)));
}

#[test]
fn a_gateway_that_the_list_does_not_name_does_not_start() {
    let own = r#"{"peers":{"gateways":[{"name":"a","address":"127.0.0.1:1"},{"name":"a","address":"x"}],"custody":{"witnesses":4}}}"#;
    let config = configuration("127.0.0.1:0", &[], None, 1024);
    let (mut child, log, _) = spawn_with(&config, Some(own));
    assert_eq!(child.wait().unwrap().code(), Some(1));
    let line = log.wait("line", |_| true);
    for word in ["peers.gateways[1].name", "stands twice", "peers.gateways[1].address", "custody.witnesses"] {
        assert!(line.contains(word), "{line}");
    }
}
