//! What gateways share, on fleets of real gateways with a relay on every link between them. Engines
//! count what they get.

use ivypitch_testbed::processes::relay::LinkEnd;
use ivypitch_testbed::processes::{Fleet, FleetConfig, FleetEngines};
use ivypitch_testbed::test_servers::*;
use serde_json::Value;

const LONGEST: u64 = 6000;
/// Patient enough that nobody is taken for lost because the machine is busy.
const PEERS: &str = r#""period_ms":200,"suspicion_ms":700,"custody":{"enabled":false},
    "shares":{"enabled":true,"span_ms":1000}"#;

fn start(gateways: usize, held: &[&ControlledEngine], direct_engines: bool) -> Fleet {
    let engines = FleetEngines::External(held.iter().map(|held| held.addresses.clone()).collect());
    let setup = FleetConfig {
        gateways,
        engines,
        peer_settings: Some(PEERS.into()),
        max_statement_timeout_ms: LONGEST,
        direct_engines,
        // A customer whose whole allowance is small enough to ask for more than a part of it.
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

/// Looked at until it is so: a view, not a span of time, ends the wait.
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
            client.execute(&statement("lookup", req, LONGEST)),
            Answer::Rows(_)
        )
    };
    reqs.map(|n| (1 << 32) + n)
        .map(rows)
        .filter(|&served| served)
        .count()
}

#[test]
fn a_drain_told_to_one_member_only_reaches_all() {
    let (first, second) = (ControlledEngine::start(4), ControlledEngine::start(4));
    let fleet = start(4, &[&first, &second], true);
    // The others' journals have fallen silent.
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
        "nothing goes to a draining engine"
    );
    // The journal speaks again and tells the same event: it is one.
    fleet.network.unblock(LinkEnd::Journal, LinkEnd::Gateway(1));
    fleet.publish_engine_state_to(1, 0, "terminating");
    fleet.publish_engine_state_to(1, 0, "in_service");
    wait_view(&fleet, 3, "third event", |v| v["journal"] == 3);
    lookups(&fleet, 3, 900..930);
    assert!(
        first.start_count_by_gateway(0) > before,
        "back in service by a later event of a number of its own"
    );
}

#[test]
fn a_failing_engine_is_left_out_by_one_that_never_met_it() {
    let held = [
        ControlledEngine::start(5),
        ControlledEngine::start(5),
        ControlledEngine::start(5),
    ];
    let fleet = start(5, &[&held[0], &held[1], &held[2]], false);
    held[0].set_starts_failing(true);
    // Four that have traffic find out; the fifth has none.
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
    let before = held[0].start_count_by_gateway(4);
    assert_eq!(before, 0, "it never met it");
    // Kept warm by the others while it begins.
    lookups(&fleet, 4, 10_000..10_010);
    assert!(
        held[0].start_count_by_gateway(4) <= 1,
        "no more than a trial"
    );
    // Well again: all use it again.
    held[0].set_starts_failing(false);
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
fn parts_follow_the_traffic_and_both_sides_of_a_cut_hold_no_more_than_the_whole() {
    let held = ControlledEngine::start(4);
    let mut fleet = start(4, &[&held], false);
    // Of the customer's allowance; all gateways began a loan's span ago.
    let bound = |v: &Value| v["bounds"][1].clone();
    for g in 0..4 {
        wait_view(&fleet, g, "home", |v| bound(v)["away"] == 0);
    }
    let sum = |fleet: &Fleet| {
        (0..4)
            .map(|g| bound(&view(fleet, g))["held"].as_u64().unwrap())
            .sum::<u64>()
    };
    let mut n = 0;
    let mut busy = |fleet: &Fleet, is: &dyn Fn(u64) -> bool| {
        for _ in 0..2000 {
            lookups(fleet, 0, n..n + 5);
            n += 5;
            let all = sum(fleet);
            assert!(all <= 400, "{all} of 400 held");
            if is(bound(&view(fleet, 0))["held"].as_u64().unwrap()) {
                return;
            }
        }
        panic!("{}", view(fleet, 0));
    };
    // All traffic is at one gateway, and more than its even part.
    busy(&fleet, &|held| held > 150);
    // Cut off, it goes back to its home as the loans end, and no further.
    fleet.set_partition(|a, b| a == 0 || b == 0, true);
    busy(&fleet, &|held| held == 100);
    for g in 1..4 {
        wait_view(&fleet, g, "floor", |v| {
            bound(v)["held"].as_u64() >= Some(10)
        });
    }
    // Healed: it borrows again. A lender that is killed takes nothing back early.
    fleet.set_partition(|a, b| a == 0 || b == 0, false);
    busy(&fleet, &|held| held > 150);
    fleet.kill(1);
    let rest = |fleet: &Fleet| {
        [0, 2, 3]
            .map(|g| bound(&view(fleet, g))["held"].as_u64().unwrap())
            .iter()
            .sum::<u64>()
    };
    assert!(rest(&fleet) <= 400);
    // One that is back under its name begins at its floor.
    fleet.start_gateway(1).unwrap();
    let back = bound(&view(&fleet, 1));
    assert!(back["held"] == 10 || back["away"] == 0, "{back}");
    assert!(sum(&fleet) <= 400);
}

#[test]
fn without_the_own_file_nothing_is_shown_and_nobody_is_spoken_to() {
    let held = ControlledEngine::start(1);
    let setup = FleetConfig {
        gateways: 1,
        engines: FleetEngines::External(vec![held.addresses.clone()]),
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
