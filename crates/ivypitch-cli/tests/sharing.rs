//! Shared endpoint events, engine health and quotas in fleets of real gateways with a relay on
//! every link between them. Engines count the requests they receive.

use ivypitch_testbed::processes::relay::LinkEnd;
use ivypitch_testbed::processes::{Fleet, FleetConfig, FleetEngines};
use ivypitch_testbed::test_servers::*;
use serde_json::Value;

const MAX_STATEMENT_TIMEOUT_MS: u64 = 6000;
/// Long enough that a busy machine does not cause false member losses.
const PEER_SETTINGS: &str = r#""period_ms":200,"suspicion_ms":700,"custody":{"enabled":false},
    "shares":{"enabled":true,"span_ms":1000}"#;

fn start(gateways: usize, engines: &[&ControlledEngine], direct_engines: bool) -> Fleet {
    let engines = FleetEngines::External(
        engines
            .iter()
            .map(|engine| engine.addresses.clone())
            .collect(),
    );
    let setup = FleetConfig {
        gateways,
        engines,
        peer_settings: Some(PEER_SETTINGS.into()),
        max_statement_timeout_ms: MAX_STATEMENT_TIMEOUT_MS,
        direct_engines,
        // A tenant quota small enough that one gateway needs more than its even share.
        change_config: |settings| {
            settings.replace("\"allowance-per-s\":100000", "\"allowance-per-s\":100")
        },
        ..FleetConfig::default()
    };
    Fleet::start(setup).unwrap()
}

fn view(fleet: &Fleet, g: usize) -> Value {
    let Answer::Rows(rows) = Client::connect_to(fleet.gateways[g].address).execute("SHOW FLEET")
    else {
        panic!("no view")
    };
    serde_json::from_str(&rows[0][0]).unwrap()
}

/// Polls the view of a gateway until the condition holds.
fn wait_view(fleet: &Fleet, g: usize, what: &str, is: impl Fn(&Value) -> bool) -> Value {
    let until = std::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        let seen = view(fleet, g);
        if is(&seen) {
            return seen;
        }
        assert!(std::time::Instant::now() < until, "{what}: {seen}");
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
}

fn lookups(fleet: &Fleet, g: usize, reqs: std::ops::Range<u64>) -> usize {
    let mut client = Client::connect_to(fleet.gateways[g].address);
    let rows = |req| {
        matches!(
            client.execute(&statement("lookup", req, MAX_STATEMENT_TIMEOUT_MS)),
            Answer::Rows(_)
        )
    };
    reqs.map(|n| (1 << 32) + n)
        .map(rows)
        .filter(|&served| served)
        .count()
}

#[test]
fn a_drain_published_to_one_member_reaches_all() {
    let (first, second) = (ControlledEngine::start(4), ControlledEngine::start(4));
    let fleet = start(4, &[&first, &second], true);
    // The discovery watches of the other gateways are silent.
    for g in 1..4 {
        fleet.network.block(LinkEnd::Journal, LinkEnd::Gateway(g));
    }
    fleet.publish_engine_state_to(0, 0, "terminating");
    for g in 1..4 {
        wait_view(&fleet, g, "event", |v| v["journal"] == 2);
    }
    let before = first.start_count_by_gateway(0);
    for g in 0..4 {
        assert_eq!(lookups(&fleet, g, g as u64 * 100..g as u64 * 100 + 10), 10);
    }
    assert_eq!(
        first.start_count_by_gateway(0),
        before,
        "a draining engine gets no new statements"
    );
    // The watch works again and repeats the event, which counts once.
    fleet.network.unblock(LinkEnd::Journal, LinkEnd::Gateway(1));
    fleet.publish_engine_state_to(1, 0, "terminating");
    fleet.publish_engine_state_to(1, 0, "in_service");
    wait_view(&fleet, 3, "third event", |v| v["journal"] == 3);
    lookups(&fleet, 3, 900..930);
    assert!(
        first.start_count_by_gateway(0) > before,
        "back in service by a later event with its own position"
    );
}

#[test]
fn a_failing_engine_is_ejected_by_a_gateway_that_never_used_it() {
    let engines = [
        ControlledEngine::start(5),
        ControlledEngine::start(5),
        ControlledEngine::start(5),
    ];
    let fleet = start(5, &[&engines[0], &engines[1], &engines[2]], false);
    engines[0].set_starts_failing(true);
    // Four gateways with traffic detect the failures; the fifth has no traffic.
    let id = |v: &Value| {
        v["engines"]
            .as_array()
            .unwrap()
            .iter()
            .find(|e| e["out"] == true)
            .cloned()
    };
    let mut n = 0;
    while id(&view(&fleet, 4)).is_none() {
        for g in 0..4 {
            lookups(&fleet, g, n..n + 3);
            n += 3;
        }
        assert!(n < 3000, "{}", view(&fleet, 4));
    }
    let before = engines[0].start_count_by_gateway(4);
    assert_eq!(before, 0, "the gateway never used the engine");
    // The other gateways keep probing the engine while the fifth starts to serve.
    lookups(&fleet, 4, 10_000..10_010);
    assert!(
        engines[0].start_count_by_gateway(4) <= 1,
        "no more than one probe"
    );
    // The engine recovers and is readmitted by all gateways.
    engines[0].set_starts_failing(false);
    n = 20_000;
    while id(&view(&fleet, 4)).is_some() {
        for g in 0..4 {
            lookups(&fleet, g, n..n + 3);
            n += 3;
        }
        assert!(n < 30_000, "{}", view(&fleet, 4));
    }
}

#[test]
fn quota_shares_follow_the_traffic_and_never_exceed_the_quota_in_a_partition() {
    let engine = ControlledEngine::start(4);
    let mut fleet = start(4, &[&engine], false);
    // The quota of the tenant, once all gateways have run for the duration of a lease.
    let quota = |v: &Value| v["bounds"][1].clone();
    for g in 0..4 {
        wait_view(&fleet, g, "home", |v| quota(v)["away"] == 0);
    }
    let total_held = |fleet: &Fleet| {
        (0..4)
            .map(|g| quota(&view(fleet, g))["held"].as_u64().unwrap())
            .sum::<u64>()
    };
    let mut n = 0;
    let mut serve_until = |fleet: &Fleet, is: &dyn Fn(u64) -> bool| {
        for _ in 0..2000 {
            lookups(fleet, 0, n..n + 5);
            n += 5;
            let all = total_held(fleet);
            assert!(all <= 400, "{all} of 400 held");
            if is(quota(&view(fleet, 0))["held"].as_u64().unwrap()) {
                return;
            }
        }
        panic!("{}", view(fleet, 0));
    };
    // One gateway has all traffic, which exceeds its even share.
    serve_until(&fleet, &|held| held > 150);
    // Isolated, it falls back to its base share as its leases expire, and no further.
    fleet.set_partition(|a, b| a == 0 || b == 0, true);
    serve_until(&fleet, &|held| held == 100);
    for g in 1..4 {
        wait_view(&fleet, g, "floor", |v| {
            quota(v)["held"].as_u64() >= Some(10)
        });
    }
    // After the partition it gets leases again. A killed grantor revokes no lease early.
    fleet.set_partition(|a, b| a == 0 || b == 0, false);
    serve_until(&fleet, &|held| held > 150);
    fleet.kill(1);
    let held_by_others = |fleet: &Fleet| {
        [0, 2, 3]
            .map(|g| quota(&view(fleet, g))["held"].as_u64().unwrap())
            .iter()
            .sum::<u64>()
    };
    assert!(held_by_others(&fleet) <= 400);
    // A gateway restarted under its name starts at its minimum share.
    fleet.start_gateway(1).unwrap();
    let back = quota(&view(&fleet, 1));
    assert!(back["held"] == 10 || back["away"] == 0, "{back}");
    assert!(total_held(&fleet) <= 400);
}

#[test]
fn without_operator_settings_show_fleet_fails_and_the_peer_port_is_closed() {
    let engine = ControlledEngine::start(1);
    let setup = FleetConfig {
        gateways: 1,
        engines: FleetEngines::External(vec![engine.addresses.clone()]),
        peer_settings: None,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(setup).unwrap();
    assert_eq!(
        Client::connect_to(fleet.gateways[0].address)
            .execute("SHOW FLEET")
            .error_code(),
        1064
    );
    assert!(std::net::TcpStream::connect(fleet.gateways[0].peer_address).is_err());
}
