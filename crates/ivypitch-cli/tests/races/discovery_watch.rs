//! The watch on the endpoint list: silence, unusable events, changes of the service.

use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;
use test_case::test_case;

use super::common::{
    STATEMENT_TIMEOUT_MS, respond_success, rows, send_statement, start_gateway,
    with_long_connect_timeout,
};

fn assert_only_new_engine_serves(gateway: &Gateway, old: &FakeEngine, new: &FakeEngine) {
    assert_eq!(
        Client::connect(gateway).execute(&statement("lookup", 1, STATEMENT_TIMEOUT_MS)),
        rows()
    );
    assert_eq!((old.start_count(), new.start_count()), (0, 1));
}

#[test]
fn a_watch_that_is_silent_from_the_start_is_reopened() {
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    let endpoints = [old.row("s-1", "terminating"), new.row("s-2", "in_service")];
    let discovery_server =
        FakeDiscoveryServer::start(&[String::new(), endpoint_event(2, false, &endpoints)]);
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&discovery_server),
        1024,
    );
    gateway.log.wait("loss", |line| {
        is_event(
            line,
            "endpoint watch lost",
            &[("position", "1"), ("reason", "silent")],
        )
    });
    gateway.log.wait("the endpoint event", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
    assert_only_new_engine_serves(&gateway, &old, &new);
}

#[test]
fn an_unusable_event_does_not_hide_later_events() {
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    let endpoints = [old.row("s-1", "terminating"), new.row("s-3", "in_service")];
    let script = "{\"pos\":2,\"hosts\":17}\n".to_owned() + &endpoint_event(3, false, &endpoints);
    let discovery_server = FakeDiscoveryServer::start(&vec![script; 8]);
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&discovery_server),
        1024,
    );
    gateway.log.wait("the endpoint event", |line| {
        is_event(line, "engine added", &[("id", "s-3")])
    });
    assert_eq!(
        discovery_server.watch_requests.all(),
        vec!["tail 1\n"; 4],
        "it is requested three times more, then skipped"
    );
    assert_only_new_engine_serves(&gateway, &old, &new);
}

#[test]
fn a_position_reported_before_its_events_does_not_lose_them() {
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    let endpoints = [old.row("s-1", "terminating"), new.row("s-2", "in_service")];
    let discovery_server =
        FakeDiscoveryServer::start(&[format!("2\n{}", endpoint_event(2, false, &endpoints))]);
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&discovery_server),
        1024,
    );
    gateway.log.wait("the endpoint event", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
    assert_eq!(
        discovery_server.watch_requests.all().len(),
        1,
        "on the same connection"
    );
    let never = FakeDiscoveryServer::start(&[
        "9\n".into(),
        "9\n".into(),
        endpoint_event(2, false, &endpoints),
    ]);
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&never),
        1024,
    );
    gateway.log.wait("the endpoint event", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
    assert_eq!(
        never.watch_requests.all().len(),
        3,
        "requested again if the events do not arrive"
    );
}

#[test]
fn events_of_the_old_service_are_ignored_once_the_new_one_is_watched() {
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    let (first, second) = (
        FakeDiscoveryServer::without_script(),
        FakeDiscoveryServer::without_script(),
    );
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[old.row("s-1", "in_service")],
        Some(&first),
        1024,
    );
    first.watch_requests.wait("tail", |t| t == "tail 1\n");
    gateway.while_stopped(|| {
        gateway.write_discovery_address(&second);
        gateway.signal("HUP");
        // The event is unread as the new configuration is loaded.
        first.send(&endpoint_event(2, false, &[old.row("s-1", "terminated")]));
    });
    let send_statement = second
        .watch_requests
        .wait("tail", |t| t.starts_with("tail "));
    // Positions continue: events accepted from the old service before the change are not requested
    // again, and later ones are ignored. If event 2 of the old service was accepted, the new
    // service continues with event 3.
    let is_late = send_statement == "tail 1\n";
    second.send(&endpoint_event(
        2,
        false,
        &[if is_late {
            new.row("s-2", "in_service")
        } else {
            old.row("s-1", "terminated")
        }],
    ));
    second.send(&endpoint_event(
        3,
        false,
        &[old.row("s-1", "terminated"), new.row("s-2", "in_service")],
    ));
    gateway.log.wait("the new engine", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
    first.send(&endpoint_event(
        4,
        false,
        &[old.row("s-1", "in_service"), new.row("s-2", "terminated")],
    ));
    for req in 1..=5 {
        assert_eq!(
            Client::connect(&gateway).execute(&statement("lookup", req, STATEMENT_TIMEOUT_MS)),
            rows()
        );
    }
    assert_eq!((old.start_count(), new.start_count()), (0, 5));
}

/// A full list is an event with a position like any other: deltas before it that are repeated, or
/// that arrive late from the previous service, do not change its result.
#[test]
fn a_full_list_is_not_changed_by_earlier_deltas_or_late_events_of_the_old_service() {
    let [gone, drained, new] = [(); 3].map(|()| FakeEngine::completing());
    let (first, second) = (
        FakeDiscoveryServer::without_script(),
        FakeDiscoveryServer::without_script(),
    );
    let gateway = Gateway::start_with(
        "127.0.0.1:0",
        &[gone.row("s-1", "in_service")],
        Some(&first),
        1024,
    );
    first.watch_requests.wait("tail", |t| t == "tail 1\n");
    let delta = endpoint_event(2, false, &[drained.row("s-2", "in_service")]);
    let whole = endpoint_event(
        3,
        true,
        &[
            drained.row("s-2", "terminating"),
            new.row("s-3", "in_service"),
        ],
    );
    gateway.while_stopped(|| {
        gateway.write_discovery_address(&second);
        gateway.signal("HUP");
        // Both events are unread as the new configuration is loaded.
        first.send(&delta);
        first.send(&whole);
    });
    second
        .watch_requests
        .wait("tail", |t| t.starts_with("tail "));
    // The new service repeats both events, and the delta once more after the full list.
    second.send(&[delta.clone(), whole, delta.clone()].concat());
    gateway.log.wait("the new engine", |line| {
        is_event(line, "engine added", &[("id", "s-3")])
    });
    first.send(&delta);
    first.send(&endpoint_event(
        4,
        false,
        &[
            gone.row("s-1", "in_service"),
            drained.row("s-2", "in_service"),
        ],
    ));
    first.send(&endpoint_event(5, true, &[gone.row("s-1", "in_service")]));
    // The next event of the new service follows all of these.
    let next = FakeEngine::completing();
    second.send(&endpoint_event(4, false, &[next.row("s-4", "terminating")]));
    gateway.log.wait("the event behind it", |line| {
        is_event(line, "engine added", &[("id", "s-4")])
    });
    for req in 1..=8 {
        assert_eq!(
            Client::connect(&gateway).execute(&statement("load", req, STATEMENT_TIMEOUT_MS)),
            rows()
        );
    }
    assert_eq!(
        [&gone, &drained, &new, &next].map(FakeEngine::start_count),
        [0, 0, 8, 0]
    );
}

/// Each silent watch connection is closed after 2 s: six of them take over 12 s.
#[test]
fn a_drain_published_after_thirteen_seconds_of_silence_applies_to_a_pending_start() {
    let (listener, other) = (BlockedListener::start(), FakeEngine::completing());
    let endpoints = [
        row_at(listener.address, "s-1", "terminating", 0),
        other.row("s-2", "in_service"),
    ];
    let discovery_server = FakeDiscoveryServer::without_script();
    let gateway = start_gateway(
        &[row_at(listener.address, "s-1", "in_service", 0)],
        Some(&discovery_server),
        with_long_connect_timeout,
    );
    let began = Instant::now();
    let mut client = send_statement(&gateway, "load", 1, 3 * STATEMENT_TIMEOUT_MS);
    listener.wait_for_connection_attempt();
    discovery_server
        .watch_requests
        .wait_for_nth("the seventh time that it asks", 7, |t| t == "tail 1\n");
    assert!(
        began.elapsed() > Duration::from_secs(12),
        "{:?}",
        began.elapsed()
    );
    discovery_server.send(&endpoint_event(2, false, &endpoints));
    gateway.log.wait("the endpoint event", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
    let engine = FakeEngine::on_listener(listener.unblock(), respond_success);
    assert_eq!(client.read_answer(1), rows());
    assert_eq!(
        client.execute(&statement("lookup", 2, STATEMENT_TIMEOUT_MS)),
        rows()
    );
    assert_eq!((engine.start_count(), other.start_count()), (0, 2));
    engine
        .closed_connections
        .wait("close of the connection", |_| true);
}

/// Guards against a drain that is never read, because its event takes longer to arrive than a watch
/// may be silent.
#[test_case(8, false; "four seconds")]
#[test_case(8, true; "four seconds behind its position")]
#[test_case(32, false; "sixteen seconds")]
fn a_drain_whose_event_arrives_slowly_is_read(pieces: usize, is_announced: bool) {
    const INTERVAL: Duration = Duration::from_millis(500);
    let (old, new) = (FakeEngine::completing(), FakeEngine::completing());
    let endpoints = [old.row("s-1", "terminating"), new.row("s-2", "in_service")];
    let event = endpoint_event(2, false, &endpoints);
    // Each connection gets the event from its beginning, a piece at a time.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let event = event.clone();
            thread::spawn(move || {
                if is_announced && stream.write_all(b"2\n").is_err() {
                    return;
                }
                for piece in event.as_bytes().chunks(event.len().div_ceil(pieces)) {
                    if stream.write_all(piece).is_err() {
                        return;
                    }
                    thread::sleep(INTERVAL);
                }
                while stream.write_all(b"2\n").is_ok() {
                    thread::sleep(INTERVAL);
                }
            });
        }
    });
    let config = configuration("127.0.0.1:0", &[old.row("s-1", "in_service")], None, 1024);
    let journal = format!("\"journal\":\"{address}\"");
    let gateway = Gateway::start_with_config(config.replace("\"journal\":\"\"", &journal));
    gateway.log.wait("the endpoint event", |line| {
        is_event(line, "engine added", &[("id", "s-2")])
    });
    assert_only_new_engine_serves(&gateway, &old, &new);
}
