//! Fleets of 24 and 30 gateway processes that share only their engines. The tests check the counts
//! of engines and clients.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ivypitch_testbed::test_servers::*;

const GATEWAYS: usize = 24;
/// In the skewed fleets every eighth gateway is busy.
const BUSY_GATEWAY_INTERVAL: usize = 8;
/// Clients of each busy gateway; the others have one client.
const CLIENTS_OF_BUSY_GATEWAY: usize = 16;
/// Pause of the client of a gateway that is not busy.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// An engine of 8 cores starts at 0.3 of its speed, and is overloaded by 2.5 times its capacity
/// over one second.
const SLOW_START_SETTINGS: &str =
    r#""cold-from":0.3,"overload-factor":2.5,"tip-after-ns":1000000000,"#;
const WINDOW: Duration = Duration::from_secs(1);
const ALLOWED_WORK_CORE_S: f64 = 2.5 * 8.0 * 0.3;
/// Nine lookups of 20 ms and one load of 3 s have a mean of 0.318 s.
const LOOKUP_MS: f64 = 20.0;
const LOAD_MS: f64 = 3000.0;
const MEAN_WORK_S: f64 = (9.0 * LOOKUP_MS + LOAD_MS) / 10.0 / 1000.0;

fn fleet_config(config: String, gateways: usize, me: usize) -> String {
    let config = config.replace(
        "\"balancers\":1",
        &format!("\"balancers\":{gateways},\"me\":{me}"),
    );
    config
        .replace("\"cold-from\":0.3,", SLOW_START_SETTINGS)
        .replace("\"cores-by-kind\":[64]", "\"cores-by-kind\":[8]")
}

/// An engine that completes each statement at once and reports its cost.
fn engine(arrived: Option<Arc<Mutex<Vec<Instant>>>>) -> FakeEngine {
    FakeEngine::start(move |call, _| {
        if call.has_method("DELETE") {
            return response(204, "", "");
        }
        if let Some(arrived) = arrived.as_ref().filter(|_| call.has_method("POST")) {
            arrived.lock().unwrap().push(Instant::now());
        }
        let work = if call.header("Via-Class") == Some("load") {
            LOAD_MS
        } else {
            LOOKUP_MS
        };
        response(
            200,
            &format!("Page-Count: 1\r\nWork-Ms: {work}\r\nPeak-Mb: 1\r\n"),
            "a\tb\tc\n",
        )
    })
}

/// Clients of one gateway that send statements with a pause after each answer, and reconnect at
/// once if the gateway is gone.
fn clients(
    at: SocketAddr,
    (count, pause): (usize, Duration),
    number: &Arc<AtomicU64>,
    is_over: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<usize>> {
    let one = || {
        let (number, is_over) = (number.clone(), is_over.clone());
        thread::spawn(move || {
            let mut answered = 0;
            while !is_over.load(Ordering::Relaxed) {
                let Some(mut client) = Client::try_connect(at) else {
                    thread::sleep(Duration::from_millis(5));
                    continue;
                };
                while !is_over.load(Ordering::Relaxed) {
                    let req = number.fetch_add(1, Ordering::Relaxed);
                    let (kind, ms) = if req % 10 == 0 {
                        ("load", LOAD_MS)
                    } else {
                        ("lookup", LOOKUP_MS)
                    };
                    let text =
                        statement(kind, req, 20_000).replace("ms=20.0", &format!("ms={ms:.1}"));
                    match client.try_execute(&text) {
                        Some(Answer::Rows(_)) => answered += 1,
                        Some(Answer::Error(..)) => {}
                        Some(Answer::Closed) | None => break,
                    }
                    thread::sleep(pause);
                }
            }
            answered
        })
    };
    (0..count).map(|_| one()).collect()
}

#[test]
fn a_cold_engine_gets_no_more_than_its_budget_of_calls_from_all_gateways_also_as_half_begin_anew() {
    cold_engine(GATEWAYS, |_| (2, Duration::ZERO));
}

#[test]
fn nor_from_thirty() {
    cold_engine(30, |_| (2, Duration::ZERO));
}

#[test]
fn a_cold_engine_stays_within_its_budget_if_a_few_gateways_send_most_calls() {
    let few = |me| {
        if me % BUSY_GATEWAY_INTERVAL == 1 {
            (CLIENTS_OF_BUSY_GATEWAY, Duration::ZERO)
        } else {
            (1, IDLE_PAUSE)
        }
    };
    cold_engine(GATEWAYS, few);
    cold_engine(30, few);
}

/// Runs `count` gateways with the given clients; every second gateway is killed and restarted.
fn cold_engine(count: usize, load: impl Fn(usize) -> (usize, Duration)) {
    let arrived = Arc::new(Mutex::new(Vec::new()));
    let (warm, cold) = (engine(None), engine(Some(arrived.clone())));
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    // The cold engine starts once all gateways run.
    let started = unix + Duration::from_secs(4);
    let list = [
        warm.row("s-1", "in_service"),
        row_at(
            cold.address,
            "s-2",
            "in_service",
            started.as_millis() as u64,
        ),
    ];
    let config =
        |listen: &str, me: usize| fleet_config(configuration(listen, &list, None, 1024), count, me);
    let mut gateways: Vec<Gateway> = (0..count)
        .map(|me| Gateway::start_with_config(config("127.0.0.1:0", me)))
        .collect();
    let until_started =
        started.saturating_sub(SystemTime::now().duration_since(UNIX_EPOCH).unwrap());
    let began = Instant::now() + until_started;
    let (number, is_over) = (
        Arc::new(AtomicU64::new(1)),
        Arc::new(AtomicBool::new(false)),
    );
    let running: Vec<_> = (0..count)
        .flat_map(|me| clients(gateways[me].address, load(me), &number, &is_over))
        .collect();
    wait_until("two seconds of the cold engine", || {
        began.elapsed() > Duration::from_secs(2)
    });
    for me in (0..count).step_by(2) {
        let address = gateways[me].address.to_string();
        gateways[me].kill();
        gateways[me] = Gateway::start_with_config(config(&address, me));
    }
    wait_until("five seconds of the cold engine", || {
        began.elapsed() > Duration::from_secs(5)
    });
    is_over.store(true, Ordering::Relaxed);
    let answered: usize = running
        .into_iter()
        .map(|client| client.join().unwrap())
        .sum();
    let arrived: Vec<Instant> = arrived
        .lock()
        .unwrap()
        .iter()
        .copied()
        .filter(|at| *at >= began)
        .collect();
    let in_window = |from: &Instant| {
        arrived
            .iter()
            .filter(|at| *at >= from && **at < *from + WINDOW)
            .count()
    };
    let max_calls = arrived.iter().map(in_window).max().unwrap_or(0);
    let calls = ALLOWED_WORK_CORE_S / MEAN_WORK_S;
    let bound = calls + 2.0 * calls.sqrt() + 2.0;
    println!(
        "{count} gateways: {answered} answered; cold: {} calls, {max_calls} in the worst second, {bound:.1} at most",
        arrived.len()
    );
    assert!(
        max_calls as f64 <= bound,
        "{max_calls} calls in a second, {bound:.1} at most"
    );
    assert!(
        arrived.len() > 20,
        "too few calls to the cold engine: {}",
        arrived.len()
    );
}

#[test]
fn nine_in_ten_are_ready_within_ten_seconds_while_discovery_is_down_and_clients_come_at_once() {
    let engine = engine(None);
    let (_held, discovery_server) = refusing_address();
    let list = [engine.row("s-1", "in_service")];
    let config = |listen: &str, me: usize| {
        let config = fleet_config(configuration(listen, &list, None, 256), GATEWAYS, me);
        config.replace(
            "\"journal\":\"\"",
            &format!("\"journal\":\"{discovery_server}\""),
        )
    };
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|me| Gateway::start_with_config(config("127.0.0.1:0", me)))
        .collect();
    let (number, is_over) = (
        Arc::new(AtomicU64::new(1)),
        Arc::new(AtomicBool::new(false)),
    );
    let running: Vec<_> = gateways
        .iter()
        .flat_map(|g| clients(g.address, (4, Duration::ZERO), &number, &is_over))
        .collect();
    // Half of the gateways get SIGTERM, half are killed; each is restarted at once at its address.
    let ready: Vec<Duration> = thread::scope(|scope| {
        let mut all = Vec::new();
        for (me, gateway) in gateways.iter_mut().enumerate() {
            let config = config(&gateway.address.to_string(), me);
            all.push(scope.spawn(move || {
                let began = Instant::now();
                let mut next = match me % 2 {
                    0 => {
                        gateway.kill();
                        Gateway::start_with_config(config)
                    }
                    _ => {
                        gateway.terminate();
                        Gateway::start_with_config(config)
                    }
                };
                let mut client = Client::connect(&next);
                assert_eq!(client.ping(), Answer::Rows(vec![]));
                let took = began.elapsed();
                std::mem::swap(gateway, &mut next);
                if me % 2 == 1 {
                    assert_eq!(next.exit_code(), Some(0));
                }
                took
            }));
        }
        all.into_iter().map(|one| one.join().unwrap()).collect()
    });
    is_over.store(true, Ordering::Relaxed);
    let answered: usize = running
        .into_iter()
        .map(|client| client.join().unwrap())
        .sum();
    let late = ready
        .iter()
        .filter(|took| **took > Duration::from_secs(10))
        .count();
    println!(
        "{answered} answered; the last was ready after {:?}",
        ready.iter().max().unwrap()
    );
    assert!(
        late * 10 <= GATEWAYS,
        "{late} of {GATEWAYS} were late: {ready:?}"
    );
}
